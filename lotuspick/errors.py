"""Base class of the package's deliberate errors."""

from __future__ import annotations


class LotuspickError(Exception):
    """A fault outside the program, for example in input, a file or a peer; the message is for operators.

    Handlers catch derived types to handle that fault only. Any other exception is a bug in the program. Where
    unrelated work must continue, such an exception is logged with its traceback.
    """
