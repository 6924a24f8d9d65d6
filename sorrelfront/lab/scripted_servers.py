"""Servers with scripted faults and one ledger of the requests that really ran on any of them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from enum import Enum

from sorrelfront.lab.http1 import Backend, answer

DRAIN_S = 0.5  # a drained server gets no new request later than this after the list said so
DRAIN_SLACK_S = 0.05  # tolerance that the rules for sockets add to each time limit
MAX_ARRIVALS = 100_000  # kept of each server, to check the cold start limit


class Mode(Enum):
    """How a server handles requests."""

    HEALTHY = "well"
    SLOW = "slow"  # the service time is multiplied by `slow_factor`
    HUNG = "hung"  # reads requests and answers none
    FAILING = "failing"  # answers 500 at once without running the request


class Ledger:
    """A ledger of what ran on all servers; a key seen within `window_s` does not run again."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.ran: Counter[str] = Counter()  # executions of unsafe and keyed requests, by name or key
        self._keys: dict[str, float] = {}

    def run(self, name: str, key: str) -> None:
        """Record an execution, unless `key` was seen within the window; an empty key is none."""
        now = time.monotonic()
        if key:
            if now - self._keys.get(key, -1e9) < self.window_s:
                return
            self._keys[key] = now
        self.ran[key or name] += 1

    @property
    def duplicates(self) -> list[str]:
        """The names or keys that ran more than once."""
        return [name for name, count in self.ran.items() if count > 1]


class Server(Backend):
    """Runs up to `slots` requests at once, each for `service_s` seconds; the others wait in a queue."""

    def __init__(self, name: str, ledger: Ledger, service_s: float = 0.01, slots: int = 8) -> None:
        super().__init__(self._handle_request)
        self.name = name
        self.ledger = ledger
        self.mode = Mode.HEALTHY
        self.slow_factor = 10.0  # factor on the service time in Mode.SLOW
        self.killed = False  # killed: queued and running requests have no effect any more
        self.requests = 0
        self.late_drains = 0
        self.service_s = service_s
        self.slots = slots
        self.drained_at: float | None = None
        self.started_at: float | None = None  # None: started long ago and warm
        self.arrivals: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self._free_slots = asyncio.Semaphore(slots)

    def mark_draining(self) -> None:
        """Note that the list now shows this server as draining."""
        self.drained_at = time.monotonic()

    def mark_started(self) -> None:
        """Note that the server has just started and is cold."""
        self.started_at = time.monotonic()

    async def _handle_request(self, whole: bytes, writer: asyncio.StreamWriter) -> None:
        self.received.clear()  # the ledger holds what is checked
        now = time.monotonic()
        self.requests += 1
        self.arrivals.append(now)
        if self.drained_at is not None and now - self.drained_at > DRAIN_S + DRAIN_SLACK_S:
            self.late_drains += 1
        fields = dict(
            line.split(b": ", 1) for line in whole.partition(b"\r\n\r\n")[0].lower().split(b"\r\n")[1:]
        )
        if self.mode is Mode.FAILING:
            writer.write(answer(b"", "500 Internal Server Error"))
            return
        if self.mode is Mode.HUNG:
            while self.mode is Mode.HUNG and not writer.is_closing():
                await asyncio.sleep(0.02)
        async with self._free_slots:
            await asyncio.sleep(self.service_s * (self.slow_factor if self.mode is Mode.SLOW else 1))
        if self.killed:
            return
        if whole.startswith(b"POST"):
            name, key = fields[b"x-call-id"].decode(), fields.get(b"idempotency-key", b"").decode()
            self.ledger.run(name, key)
        writer.write(answer(b"served"))

    def cold_overruns(self, cold_s: float, cold_from: float, multiple: float, span_s: float) -> int:
        """Count the arrivals at which more than `multiple` times the cold capacity came within `span_s`.

        The full capacity is `slots / service_s`. That of a cold server rises linearly from the share
        `cold_from` of it to all of it over `cold_s` seconds.
        """
        if self.started_at is None:
            return 0
        full = self.slots / self.service_s
        overruns = 0
        window: deque[float] = deque()
        for at in self.arrivals:
            age = at - self.started_at
            if age >= cold_s:
                break
            window.append(at)
            while window[0] < at - span_s:
                window.popleft()
            capacity = full * (cold_from + (1 - cold_from) * age / cold_s)
            overruns += len(window) > multiple * capacity * span_s
        return overruns
