"""Routing: the sessions of a broker, the dispatcher and the reasons of terminations."""
