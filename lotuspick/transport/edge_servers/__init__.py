"""TCP connections to edge servers, which use the binary message protocol."""
