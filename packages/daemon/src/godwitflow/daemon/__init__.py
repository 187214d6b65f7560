"""The query tier's process: front, dispatcher and control."""
