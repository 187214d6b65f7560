"""The components of a node of the query tier."""
