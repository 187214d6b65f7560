"""The tasks of a node of the query tier."""
