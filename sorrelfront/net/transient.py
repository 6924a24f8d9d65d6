"""Retries of system calls that fail for lack of resources."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

# Temporarily out of descriptors or memory, or interrupted; see accept(2) and socket(2).
TRANSIENT_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR})
RETRY_INTERVAL_S = 0.02
RETRY_TIMEOUT_S = 5.0  # an agent has 6 s to become ready


async def retry_transient(attempt: Callable[[], T], timeout_s: float = RETRY_TIMEOUT_S) -> T:
    """Call `attempt` until it raises no transient error, and return its result.

    Raises OSError: a non-transient one at once, a transient one if it persists after `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            return attempt()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
