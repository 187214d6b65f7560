"""Pure decisions under load: no input or output, time an argument."""
