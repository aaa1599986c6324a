"""Child processes that end with the lab, and their processor time."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

PR_SET_PDEATHSIG = 1
ENVIRONMENT_PREFIX = "PROXY_"
"""Prefix of the variables that the platform sets for a broker; child processes do not inherit them."""
_LIBC = ctypes.CDLL(None)


def _die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends; called in the child before ``exec``."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start_module(
    module: str,
    *arguments: str,
    stdout: int | IO[str] = subprocess.DEVNULL,
    stderr: IO[str] | None = None,
) -> subprocess.Popen[str]:
    """Start a Python module as a child process that is killed when this process ends."""
    environment = {key: value for key, value in os.environ.items() if not key.startswith(ENVIRONMENT_PREFIX)}
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=stdout,
        stderr=stderr,
        text=True,
        env=environment,
        preexec_fn=_die_with_parent,
    )


def read_line(process: subprocess.Popen[str]) -> str:
    """Wait for a line from a process; its standard output must be a pipe."""
    assert process.stdout is not None
    return process.stdout.readline()


def processor_time_s(process_id: int) -> float:
    """Return the processor time that a process has used, including all its threads."""
    stat = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()  # the command name comes before and may contain spaces
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
