"""Servers with scripted trouble and one book of what really ran on any of them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from enum import Enum

from sorrelfront.lab.http1 import Backend, answer

DRAIN_S = 0.5  # nothing new later than this after the list said so
DRAIN_SLACK_S = 0.05  # sockets' own: the rules on sockets give each time limit so much more
ARRIVALS_MOST = 100_000  # remembered of each server, for the cold budget


class Mode(Enum):
    WELL = "well"
    SLOW = "slow"  # `slower` times its time
    HUNG = "hung"  # takes requests and answers none
    FAILING = "failing"  # answers 500 at once, and nothing has run


class Book:
    """What ran, over all servers. A request whose key is remembered is answered and does not run again."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.ran: Counter[str] = Counter()  # effects of unsafe and keyed requests, by name or key
        self._keys: dict[str, float] = {}

    def run(self, name: str, key: str) -> None:
        now = time.monotonic()
        if key:
            if now - self._keys.get(key, -1e9) < self.window_s:
                return
            self._keys[key] = now
        self.ran[key or name] += 1

    @property
    def doubled(self) -> list[str]:
        return [name for name, count in self.ran.items() if count > 1]


class Server(Backend):
    """`slots` requests in work at once, each for `service_s`; the others wait in a queue of their own."""

    def __init__(self, name: str, book: Book, service_s: float = 0.01, slots: int = 8) -> None:
        super().__init__(self._serve_one)
        self.name = name
        self.book = book
        self.mode = Mode.WELL
        self.slower = 10.0  # times its time, while it is slow
        self.gone = False  # killed: nothing that it holds runs any more
        self.requests = 0
        self.late_drains = 0
        self.service_s = service_s
        self.slots = slots
        self.drained_at: float | None = None
        self.began_at: float | None = None  # None: long ago, and warm
        self.arrivals: deque[float] = deque(maxlen=ARRIVALS_MOST)
        self._room = asyncio.Semaphore(slots)

    def drain(self) -> None:
        """The list says from now on that it wants nothing new."""
        self.drained_at = time.monotonic()

    def begin(self) -> None:
        """It has just been started, and is cold."""
        self.began_at = time.monotonic()

    async def _serve_one(self, whole: bytes, writer: asyncio.StreamWriter) -> None:
        self.seen.clear()  # the book holds what counts
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
        async with self._room:
            await asyncio.sleep(self.service_s * (self.slower if self.mode is Mode.SLOW else 1))
        if self.gone:
            return
        if whole.startswith(b"POST"):
            name, key = fields[b"x-call-id"].decode(), fields.get(b"idempotency-key", b"").decode()
            self.book.run(name, key)
        writer.write(answer(b"served"))

    def cold_overruns(self, cold_s: float, cold_from: float, multiple: float, span_s: float) -> int:
        """Windows of `span_s` in which more came than `multiple` x what a server as cold as this can do. The
        capacity is `slots / service_s`, and rises evenly from `cold_from` of it over `cold_s`."""
        if self.began_at is None:
            return 0
        full = self.slots / self.service_s
        overruns = 0
        window: deque[float] = deque()
        for at in self.arrivals:
            age = at - self.began_at
            if age >= cold_s:
                break
            window.append(at)
            while window[0] < at - span_s:
                window.popleft()
            capacity = full * (cold_from + (1 - cold_from) * age / cold_s)
            overruns += len(window) > multiple * capacity * span_s
        return overruns
