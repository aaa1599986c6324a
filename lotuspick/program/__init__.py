"""The program: command line, configuration, logging, and the daemon that assembles all parts."""
