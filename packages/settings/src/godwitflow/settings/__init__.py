"""Configuration folders and process settings, checked and merged."""
