"""The error of the stores on disk."""

from __future__ import annotations


class StoreError(Exception):
    """The store cannot be used, or did not take a record; the text says why."""
