"""Ids of requests whose execution may have an effect: none of them may run again under the same id.

A client gives each request an id of its own, also a retry. An id that comes again is that of a client that
repeats itself after it has left, or that uses another's. The ids are kept in two generations of equal size:
when the newer one is full, the older one is forgotten. So at least half of `max_ids` are known at any time.

Two processes that serve at one address, as during an upgrade, tell each other of every id before its request
is sent, and look at what the other has told after that. So of two requests with one id that come to both at
once, at least one of the processes knows of the other's.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol


class OtherProcess(Protocol):
    """A process that serves at the same address."""

    def tell(self, request_id: bytes) -> None:
        """Tell it of an id, without waiting."""
        ...

    def listen(self) -> None:
        """Take in, by `add_told`, all ids that it has told of so far."""
        ...


class RequestIds:
    """The ids of one process, bounded in number."""

    def __init__(self, max_ids: int) -> None:
        self.max_ids = max_ids
        self._max_generation = max(1, max_ids // 2)
        self._newer: set[bytes] = set()
        self._older: set[bytes] = set()
        self._told: set[bytes] = set()  # of these, which came from another process, newer generation only
        self._others: list[OtherProcess] = []
        self.passes_on = True  # what one process tells, to the others; not needed if each is told by each

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over all ids, the longest known ones first."""
        yield from self._older
        yield from self._newer

    def connect(self, other: OtherProcess) -> None:
        """Exchange ids with another process from now on."""
        self._others.append(other)

    def disconnect(self, other: OtherProcess) -> None:
        """Stop exchanging ids with a process. What it has told stays known."""
        if other in self._others:
            self._others.remove(other)

    def known(self, request_id: bytes) -> bool:
        """Return whether a request with this id may have run, here or at another process."""
        if self._others:
            self._listen()
        return request_id in self._newer or request_id in self._older

    def claim(self, request_id: bytes) -> bool:
        """Note that a request is about to be sent; return False if another process sent one with this id."""
        if len(self._newer) >= self._max_generation:
            self._forget_older()
        self._newer.add(request_id)
        if not self._others:
            return request_id not in self._told
        for other in tuple(self._others):
            other.tell(request_id)
        self._listen()
        return request_id not in self._told

    def forget(self, request_id: bytes) -> None:
        """Note that none of a request's attempts has run."""
        if request_id not in self._told:
            self._newer.discard(request_id)
            self._older.discard(request_id)

    def add_told(self, request_id: bytes, by: OtherProcess) -> None:
        """Note an id that another process has told of, and pass it on to further ones if it is new."""
        known = request_id in self._newer or request_id in self._older
        if len(self._newer) >= self._max_generation:
            self._forget_older()
        self._newer.add(request_id)
        self._told.add(request_id)
        if known or not self.passes_on:
            return
        for other in self._others:
            if other is not by:
                other.tell(request_id)

    def _listen(self) -> None:
        for other in tuple(self._others):  # one that has ended leaves the list
            other.listen()

    def _forget_older(self) -> None:
        self._older, self._newer = self._newer, set()
        self._told &= self._older
