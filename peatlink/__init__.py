"""peatlink: who plays, where and at what quality, decided by one gateway alone."""

from peatlink.control import Controller

__all__ = ["Controller"]
