"""Rate limit for log records, used by all programs of the package."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

WINDOW_S = 10.0
# Records of one kind in WINDOW_S; a peer that fails often could otherwise fill the disk
MAX_RECORDS_PER_WINDOW = 20
MAX_KINDS = 512  # kinds that are counted separately; all others share one count


class RateLimit(logging.Filter):
    """Passes at most MAX_RECORDS_PER_WINDOW records of one kind (one place in the code) in WINDOW_S seconds.

    The next record that passes has the attribute `left_out`: the number of suppressed records of its kind.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._kinds: dict[tuple[str, int], tuple[float, int]] = {}  # start of the window, and count

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is within the limit of its kind."""
        kind = (record.pathname, record.lineno)
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = ("", 0)
        now = self._clock()
        began, count = self._kinds.get(kind, (now, 0))
        if now - began >= WINDOW_S:
            if count > MAX_RECORDS_PER_WINDOW:
                record.left_out = count - MAX_RECORDS_PER_WINDOW
            began, count = now, 0
        self._kinds[kind] = (began, count + 1)
        return count < MAX_RECORDS_PER_WINDOW
