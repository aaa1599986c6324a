"""lotuspick: who plays, where and at what quality, decided by one gateway alone."""

from lotuspick.control import Controller

__all__ = ["Controller"]
