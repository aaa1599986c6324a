"""Connections between the brokers of a fleet, and the daemon's driver of state machines."""
