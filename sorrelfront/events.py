"""Counts of what ended and why: one line of the log for all of a span, however many events it had."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from enum import Enum, StrEnum

log = logging.getLogger(__name__)

SPAN_S = 5.0  # between two lines
EXAMPLE_LENGTH = 64  # characters of the latest request's id that a line shows


class Event(StrEnum):
    """What happened to a request, an attempt or a connection."""

    REFUSED = "refused"
    FAILED = "failed"
    RETRIED = "retried"
    ATTEMPT = "attempt"  # one that ended without an answer to pass on
    CLOSED = "closed"


class EventCounter:
    """Counts events by kind and reason, and reports them at most once in SPAN_S seconds.

    Reasons are members of an enum of whoever reports, so the table is bounded by the program's text.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._began = clock()
        self._counts: dict[tuple[Event, str], int] = {}
        self._latest: dict[tuple[Event, str], str] = {}

    def add(self, event: Event, reason: Enum, example: str = "") -> None:
        """Count one event. `example` names the request that it happened to."""
        key = (event, str(reason.value))
        self._counts[key] = self._counts.get(key, 0) + 1
        if example:
            self._latest[key] = example[:EXAMPLE_LENGTH]

    def count(self, event: Event, reason: Enum) -> int:
        """How many of these there were since the last line."""
        return self._counts.get((event, str(reason.value)), 0)

    def report(self) -> None:
        """Log what was counted since the last line, if the span is over and there is anything."""
        now = self._clock()
        if now - self._began < SPAN_S:
            return
        if self._counts:
            counts = "; ".join(self._described(key) for key in sorted(self._counts))
            log.info("in %.1f s: %s", now - self._began, counts)
        self._began = now
        self._counts.clear()
        self._latest.clear()

    def _described(self, key: tuple[Event, str]) -> str:
        event, reason = key
        example = f" (last {self._latest[key]})" if key in self._latest else ""
        return f"{event.value} {reason} {self._counts[key]}{example}"
