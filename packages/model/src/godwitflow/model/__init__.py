"""Ids, states, errors and values shared by every package."""
