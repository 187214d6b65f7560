"""The protocol between godwitflow's own processes."""
