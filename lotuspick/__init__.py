"""A playback broker: picks a media node and a rung for each session, and holds the session while it plays."""

from lotuspick.core.controller import Controller

__all__ = ["Controller"]
