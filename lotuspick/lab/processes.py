"""Child processes that do not outlive the lab, and what they use."""

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
"""Of the variables that the platform sets for a broker; the lab's brokers take none of the caller's."""
_LIBC = ctypes.CDLL(None)


def _die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends; called in the child, before its program."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start_module(
    module: str,
    *arguments: str,
    stdout: int | IO[str] = subprocess.DEVNULL,
    stderr: IO[str] | None = None,
) -> subprocess.Popen[str]:
    """Start a Python module as a child process that dies with this one."""
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
    """Wait for one line that a process prints; its output must be a pipe."""
    assert process.stdout is not None
    return process.stdout.readline()


def processor_time_s(process_id: int) -> float:
    """Processor time of a process so far, its threads included."""
    stat = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()  # after the command's name, which may contain blanks
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
