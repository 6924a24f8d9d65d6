"""Counts events by kind and reason, and logs all events of an interval in one line."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from enum import Enum, StrEnum

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 5.0  # minimum time between two log lines
MAX_EXAMPLE_LENGTH = 64  # characters of the last request's id that are logged


class Event(StrEnum):
    """Kind of event of a request, an attempt or a connection."""

    REFUSED = "refused"
    FAILED = "failed"
    RETRIED = "retried"
    ATTEMPT = "attempt"  # an attempt that ended without an answer to pass on
    ANSWER = "answer"  # an answer that had begun and was not passed on whole
    CLOSED = "closed"
    WAITED = "waited"  # a client was not read for a noticeable time


class EventCounter:
    """Counts events by kind and reason, and logs them at most once in REPORT_INTERVAL_S seconds.

    Reasons are enum members, so the size of the table is bounded.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._interval_start = clock()
        self._counts: dict[tuple[Event, str], int] = {}
        self._latest: dict[tuple[Event, str], str] = {}

    def add(self, event: Event, reason: Enum, example: str = "") -> None:
        """Count one event. `example` is the id of the request it belongs to, if any."""
        key = (event, str(reason.value))
        self._counts[key] = self._counts.get(key, 0) + 1
        if example:
            self._latest[key] = example[:MAX_EXAMPLE_LENGTH]

    def count(self, event: Event, reason: Enum) -> int:
        """Return the number of these events since the last log line."""
        return self._counts.get((event, str(reason.value)), 0)

    def report(self) -> None:
        """Log the counts since the last log line and reset them, if REPORT_INTERVAL_S seconds have passed."""
        now = self._clock()
        if now - self._interval_start < REPORT_INTERVAL_S:
            return
        if self._counts:
            counts = "; ".join(self._format(key) for key in sorted(self._counts))
            log.info("in %.1f s: %s", now - self._interval_start, counts)
        self._interval_start = now
        self._counts.clear()
        self._latest.clear()

    def _format(self, key: tuple[Event, str]) -> str:
        event, reason = key
        example = f" (last {self._latest[key]})" if key in self._latest else ""
        return f"{event.value} {reason} {self._counts[key]}{example}"
