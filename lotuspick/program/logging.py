"""Logging: one key=value line for each event, on standard error. ``docs/logging.md`` lists the events."""

from __future__ import annotations

import logging
import sys
from typing import Any

from logfmter import Logfmter
from twisted.logger import STDLibLogObserver, globalLogBeginner

LEVELS = ("debug", "info", "warning", "error")


def start(level: str) -> None:
    """Send all log lines at ``level`` or above to standard error as ``when=... at=... msg=... key=value``."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        Logfmter(
            keys=["when", "at", "logger"], mapping={"when": "asctime", "at": "levelname", "logger": "name"}
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("twisted").setLevel(logging.WARNING)
    # Errors inside the reactor are logged in the same form.
    observer: Any = STDLibLogObserver()
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False, discardBuffer=True)
