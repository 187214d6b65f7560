"""A caller library: address answers, fail-over, safe resends."""
