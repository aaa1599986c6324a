"""Routing: the session table, the one loop round the decisions, and every way in which things end."""
