"""The protocol between godwitflow's nodes."""
