"""Caller library: address lookup, failover and safe resends."""
