"""A log handler that never blocks.

Standard error may be a pipe whose reader is slow or stopped, or has closed it. A write to a full pipe blocks
the process, so :class:`NonBlockingLogHandler` first polls whether the pipe is writable, and drops the line if
it is not. The number of dropped lines is logged once the pipe is writable again.
"""

from __future__ import annotations

import logging
import os
import select

DROPPED_EVENT = "log_lines_dropped"
MALFORMED_EVENT = "log_line_malformed"


class NonBlockingLogHandler(logging.Handler):
    """Writes lines to a descriptor, and drops lines while it is not writable.

    The descriptor stays in blocking mode, since other processes may share it. Writes do not block because of
    their size: a pipe that polls as writable accepts ``PIPE_BUF`` bytes at once.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        """Lines dropped since the last report."""
        self._remainder = b""  # unwritten rest of a partly written line
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        try:
            line = self.format(record)
        except Exception as error:  # noqa: BLE001  # logging's own error report could block on the pipe
            line = f"at=ERROR msg={MALFORMED_EVENT} logger={record.name} error={type(error).__name__}"
        if not (self._report_dropped() and self._write_line(line)):
            self.dropped += 1

    def flush(self) -> None:
        """Write the rest of a line and report dropped lines, as far as the descriptor is writable."""
        self.acquire()
        try:
            self._report_dropped()
        finally:
            self.release()

    def _report_dropped(self) -> bool:
        """Write the pending rest and report; return whether another line can be written."""
        if not self._write_remainder():
            return False
        if not self.dropped:
            return True
        record = logging.LogRecord(__name__, logging.WARNING, __file__, 0, DROPPED_EVENT, None, None)
        record.__dict__["lines"] = self.dropped
        if not self._write_line(self.format(record)):
            return False
        self.dropped = 0
        return True

    def _write_line(self, line: str) -> bool:
        """Write a line as far as possible; return False if nothing of it was written."""
        data = (line + "\n").encode("utf-8", "backslashreplace")
        self._remainder = data
        self._write_remainder()
        if len(self._remainder) == len(data):
            self._remainder = b""
            return False
        return True

    def _write_remainder(self) -> bool:
        """Write the rest of a line; return whether it is complete."""
        while self._remainder and self._is_writable():
            try:
                written = os.write(self.descriptor, self._remainder[: select.PIPE_BUF])
            except OSError:  # the reader closed the pipe
                return False
            self._remainder = self._remainder[written:]
        return not self._remainder

    def _is_writable(self) -> bool:
        events = self._poll.poll(0)
        return bool(events and events[0][1] & select.POLLOUT)
