"""Logging of events as key=value lines on standard error; ``docs/logging.md`` lists the events."""

from __future__ import annotations

import logging
import sys
from typing import Any

from logfmter import Logfmter
from twisted.logger import STDLibLogObserver, globalLogBeginner

from lotuspick.program.log_handler import NonBlockingLogHandler

LEVELS = ("debug", "info", "warning", "error")


def start(level: str) -> NonBlockingLogHandler:
    """Send all log lines at ``level`` or above to standard error as ``when=... at=... msg=... key=value``.

    Returns:
        The handler; its ``flush`` must be called periodically to report dropped lines.
    """
    # A blocking write to a full pipe would stop the broker and all requests.
    handler = NonBlockingLogHandler(sys.stderr.fileno())
    handler.setFormatter(
        Logfmter(
            keys=["when", "at", "logger"], mapping={"when": "asctime", "at": "levelname", "logger": "name"}
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("twisted").setLevel(logging.WARNING)
    # Log errors of the reactor in the same format.
    observer: Any = STDLibLogObserver()
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
    return handler
