"""The program: command line, configuration, logging and the assembly of all parts."""
