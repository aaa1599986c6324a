"""A playback broker: selects media node and rung for each session and holds it during playback."""

from lotuspick.core.controller import Controller

__all__ = ["Controller"]
