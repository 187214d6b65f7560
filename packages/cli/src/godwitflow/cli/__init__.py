"""The operator's verbs and command line."""
