"""Sub-commands of the command line."""
