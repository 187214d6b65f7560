"""Identifiers, errors and data types shared by all packages."""
