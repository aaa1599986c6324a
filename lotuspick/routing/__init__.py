"""Routing: a broker's sessions, the dispatcher around the decisions, and the reasons of terminations."""
