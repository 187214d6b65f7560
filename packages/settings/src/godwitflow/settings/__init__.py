"""Reads, merges and checks configuration folders and process settings."""
