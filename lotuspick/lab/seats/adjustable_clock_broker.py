"""A real broker whose system clock can be set, for tests of clock steps.

``python -m lotuspick.lab.seats.adjustable_clock_broker OFFSET_FILE ARGUMENTS`` runs ``lotuspick
ARGUMENTS``. At the start and at SIGUSR1 it reads from the file by how many seconds its clock is off from
now on.
"""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

from lotuspick.transport import sockets


class OffsetClock:
    """The system clock, off by as much as a file says."""

    def __init__(self, offset_file: Path) -> None:
        self._offset_file = offset_file
        self._offset_s = 0.0
        if offset_file.exists():
            self.read_offset()

    def read_offset(self, *_: object) -> None:
        """Read the offset anew; a signal handler."""
        self._offset_s = float(self._offset_file.read_text(encoding="ascii"))

    def now_s(self) -> float:
        """Unix time as the broker sees it."""
        return time.time() + self._offset_s


def main() -> None:
    """Replace the broker's clock, then run its command line."""
    clock = OffsetClock(Path(sys.argv.pop(1)))
    signal.signal(signal.SIGUSR1, clock.read_offset)
    sockets.wall_s = clock.now_s
    from lotuspick.program import cli  # takes the clock when it is imported

    cli.main()


if __name__ == "__main__":
    main()
