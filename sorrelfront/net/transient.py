"""System calls that fail for a moment, and succeed if they are made again."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

# No descriptor or no memory just now; accept(2) and socket(2) name these.
TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
RETRY_S = 0.02
PATIENCE_S = 5.0  # an agent is given 6 s to be ready


async def until_possible(make: Callable[[], T], patience_s: float = PATIENCE_S) -> T:
    """What `make` returns, once it does not raise a transient error.

    Raises OSError: any other, at once, or the transient one that is still there after `patience_s` seconds.
    """
    until = time.monotonic() + patience_s
    while True:
        try:
            return make()
        except OSError as fault:
            if fault.errno not in TRANSIENT_ERRORS or time.monotonic() >= until:
                raise
        await asyncio.sleep(RETRY_S)
