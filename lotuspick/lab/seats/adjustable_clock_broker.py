"""A real broker with an adjustable system clock, for tests of clock steps.

``python -m lotuspick.lab.seats.adjustable_clock_broker OFFSET_FILE ARGUMENTS`` runs ``lotuspick
ARGUMENTS``. It reads the offset of its clock, in seconds, from the file at the start and at SIGUSR1.
"""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

from lotuspick.transport import sockets


class OffsetClock:
    """The system clock plus an offset read from a file."""

    def __init__(self, offset_file: Path) -> None:
        self._offset_file = offset_file
        self._offset_s = 0.0
        if offset_file.exists():
            self.read_offset()

    def read_offset(self, *_: object) -> None:
        """Reload the offset; used as a signal handler."""
        self._offset_s = float(self._offset_file.read_text(encoding="ascii"))

    def now_s(self) -> float:
        """Return the broker's Unix time."""
        return time.time() + self._offset_s


def main() -> None:
    """Replace the broker's clock, then run its command line."""
    clock = OffsetClock(Path(sys.argv.pop(1)))
    signal.signal(signal.SIGUSR1, clock.read_offset)
    sockets.wall_s = clock.now_s
    from lotuspick.program import cli  # binds the clock at import

    cli.main()


if __name__ == "__main__":
    main()
