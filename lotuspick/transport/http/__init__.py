"""HTTP transports with CMCD and CMSD hints: the server for players and the client of media nodes."""
