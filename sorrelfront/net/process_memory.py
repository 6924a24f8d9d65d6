"""How much memory this process uses, as the kernel counts it (proc(5)), and how the C library takes it."""

from __future__ import annotations

import ctypes
import mmap
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")
MAPPED_BLOCK_BYTES = 16 * 1024  # longer bodies are mapped one by one; shorter ones are cheaper in the heap
M_MMAP_THRESHOLD = -3  # malloc.h of the GNU C library


def map_long_blocks() -> bool:
    """Have the C library map each block of MAPPED_BLOCK_BYTES and more on its own (mallopt(3)).

    Long bodies that come and go leave gaps between the longer-lived blocks of the heap, which count as memory
    of this process. A block that is mapped on its own goes back to the system when it is freed.

    Returns False if the C library has no such setting; the process works without it.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) == 1


def anonymous_bytes() -> int | None:
    """Return the resident memory that no file backs, in bytes; None where the kernel does not tell.

    A memory limit covers at least these bytes. Shared memory and pages of files are left out.
    """
    try:
        _, resident, shared, *_ = STATM_PATH.read_text().split()
        return (int(resident) - int(shared)) * mmap.PAGESIZE
    except (OSError, ValueError):
        return None
