"""Entry point that serves viewers, for ``lotuspick serve`` and for the platform's ``run`` command.

``python -m lotuspick.program.serve`` takes no arguments: the platform configures a broker by the environment
and the files under ``deploy/``. This module does not import the command line and its library, which would
stay in memory while the broker serves.
"""

from __future__ import annotations

import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from lotuspick.program import configuration, logging
from lotuspick.program.configuration import ConfigError

LOG_FLUSH_S = 1.0  # interval at which the log handler reports dropped lines
SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


@dataclass(frozen=True, slots=True)
class ConfigFiles:
    """Paths of the configuration files.

    None stands for the file that ``PROXY_CONFIG`` names (``broker``) or the default path under ``deploy/``.
    """

    broker: Path | None = None
    hints: Path | None = None
    tenants: Path | None = None
    cells: Path | None = None
    seats: Path | None = None
    peers: Path | None = None

    def load(self) -> configuration.Config:
        """Read and validate all files.

        Raises:
            ConfigError: a file is invalid; the text names the file and the key.
        """
        return configuration.load(
            os.environ, self.broker, self.hints, self.tenants, self.cells, self.seats, self.peers
        )


def serve(files: ConfigFiles, log_level: str = "info") -> None:
    """Serve viewers until SIGTERM or SIGINT.

    Raises:
        ConfigError: the configuration is invalid.
    """
    # Without the block, a signal that arrives before the handlers are installed would be lost or end the
    # process. The kernel keeps blocked signals pending; a SIGHUP that arrives while the configuration is read
    # causes a reload.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    loaded = files.load()
    log_handler = logging.start(log_level)
    from twisted.internet import reactor  # the import installs the reactor
    from twisted.internet.task import LoopingCall

    from lotuspick.program.daemon import Daemon

    LoopingCall(log_handler.flush).start(LOG_FLUSH_S, now=False)
    Daemon(loaded, reactor, files.load).run(SIGNALS)


def main() -> None:
    """Serve without arguments, as the platform starts a broker; exit 2 if the configuration is invalid."""
    if sys.argv[1:]:
        sys.exit("lotuspick: this module takes no arguments; use lotuspick serve")
    try:
        serve(ConfigFiles())
    except ConfigError as error:
        print(f"lotuspick: {error}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
