"""Which process is meant: start times, boots, and handles that never name another process."""

from __future__ import annotations

import contextlib
import os
import signal
from functools import cache
from pathlib import Path


def start_ticks(pid: int) -> int | None:
    """When this process started, in clock ticks since the boot (proc(5), field 22 of stat); None if it is not
    there, or has ended and is only waited for."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return None if fields[0] in ("Z", "X") else int(fields[19])
    except (OSError, ValueError, IndexError):
        return None


@cache
def boot_id() -> str:
    """Names this boot: a process number and its start time mean nothing after another one."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def open_process(pid: int, ticks: int | None = None) -> int | None:
    """A descriptor of this process that names no other one, ever (pidfd_open(2)); None if it is gone, or did
    not start then. The caller owns it."""
    try:
        descriptor = os.pidfd_open(pid)
    except (OSError, ValueError, OverflowError):
        return None
    # Risk: looked at before it is opened, the number may pass to another process in between.
    started = start_ticks(pid)
    if started is None or (ticks is not None and started != ticks):
        os.close(descriptor)
        return None
    return descriptor


def send_signal(descriptor: int, number: signal.Signals) -> None:
    """To the process that the descriptor names, if it is still there."""
    with contextlib.suppress(ProcessLookupError):
        signal.pidfd_send_signal(descriptor, number)
