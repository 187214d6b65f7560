"""Soak tests: real nodes run under random faults, then are checked."""
