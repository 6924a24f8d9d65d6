"""How much memory this process uses, as the kernel counts it (proc(5))."""

from __future__ import annotations

import mmap
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")


def anonymous_bytes() -> int | None:
    """Return the resident memory that no file backs, in bytes; None where the kernel does not tell.

    A memory limit covers at least these bytes. Shared memory and pages of files are left out.
    """
    try:
        _, resident, shared, *_ = STATM_PATH.read_text().split()
        return (int(resident) - int(shared)) * mmap.PAGESIZE
    except (OSError, ValueError):
        return None
