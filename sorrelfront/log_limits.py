"""How many log records of one kind are passed, in whichever program."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

SPAN_S = 10.0
BURST = 20  # records of one kind in a span: a peer that fails fast would fill a disk with its failures
MAX_KINDS = 512  # kinds that are counted apart; further ones share a count


class RateLimit(logging.Filter):
    """Passes at most BURST records of one kind (a place in the code) in SPAN_S seconds.

    The next one that is passed has `left_out`, how many of its kind were not.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._kinds: dict[tuple[str, int], tuple[float, int]] = {}  # since when, and how many

    def filter(self, record: logging.LogRecord) -> bool:
        kind = (record.pathname, record.lineno)
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = ("", 0)
        now = self._clock()
        began, count = self._kinds.get(kind, (now, 0))
        if now - began >= SPAN_S:
            if count > BURST:
                record.left_out = count - BURST
            began, count = now, 0
        self._kinds[kind] = (began, count + 1)
        return count < BURST
