"""The base of the errors that this package raises on purpose."""

from __future__ import annotations


class LotuspickError(Exception):
    """Something outside the program is at fault: input, a file, a peer. The text names it for operators.

    Whoever catches a type derived from it treats that fault alone; any other exception is a fault of the
    program, and is logged with its traceback where the work of others has to go on.
    """
