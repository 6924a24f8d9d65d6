"""Identifies processes by start time and boot id, and holds them by descriptors that are never reused."""

from __future__ import annotations

import contextlib
import os
import signal
from functools import cache
from pathlib import Path


def start_ticks(pid: int) -> int | None:
    """Return when the process started, in clock ticks since boot (proc(5), field 22 of stat).

    None if there is no such process, or it is a zombie.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return None if fields[0] in ("Z", "X") else int(fields[19])
    except (OSError, ValueError, IndexError):
        return None


@cache
def boot_id() -> str:
    """Return the id of this boot, since process ids and start times are not valid after a reboot."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def open_process(pid: int, ticks: int | None = None) -> int | None:
    """Open a descriptor that never refers to another process (pidfd_open(2)).

    None if the process has ended, or did not start at `ticks`. The caller owns the descriptor.
    """
    try:
        descriptor = os.pidfd_open(pid)
    except (OSError, ValueError, OverflowError):
        return None
    # Checked after the open: before it, the process id could pass to another process in between.
    started = start_ticks(pid)
    if started is None or (ticks is not None and started != ticks):
        os.close(descriptor)
        return None
    return descriptor


def send_signal(descriptor: int, number: signal.Signals) -> None:
    """Send a signal to the process of this descriptor, if it still exists."""
    with contextlib.suppress(ProcessLookupError):
        signal.pidfd_send_signal(descriptor, number)
