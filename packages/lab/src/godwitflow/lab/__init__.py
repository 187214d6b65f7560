"""Load, measurement and experiment tools."""
