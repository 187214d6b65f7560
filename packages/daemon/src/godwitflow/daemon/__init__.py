"""The godwitflowd process: front, dispatcher, journal and control."""
