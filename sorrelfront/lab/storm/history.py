"""What happened in a storm and when: JSON lines, in the order of one machine's monotonic clock.

Each event is an object with `t` (seconds since the storm began) and `kind`; what else it has goes with its
kind:

    storm      name, seed, hosts             the first line
    start      host, pids                    a daemon was started
    phase      host, instance, phase         an instance is in this phase, as its supervisor says
    ready      host, ready, wanted           so many of its instances say that they are ready
    end        host, code                    a daemon's own process ended
    fault      number, what, phase, hosts    a fault began, or (phase "over") ended
    told       host, server                  a watch of that host has been sent that the server drains
    watch      host                          a watch was opened at the list
    arrive     server, host, sent, call      a request reached a server; `sent`: when the host had sent it
    effect     server, key, call             it had its effect there
    cold       server, capacity, ...         a server was started, with what it can do
    ask        host, call, class             a caller asked
    left       host, call                    its caller has closed the connection, with no answer yet
    answer     host, call, status, ms        what became of it: a status, "reset", "lost", or "left"
    said       host, line                    a line of the daemon's log
    disk       host, ...                     what a power cut left of a disk
    view       host, member, living          an instance sees these members alive, from here on
    lag        ms                            the rig itself was late by so much (only above 20 ms)
    settled    ok, waited                    the end: whether every host serves again
    rig        ...                           the rig's own figures
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec

Event = dict[str, Any]

EVENTS_MOST = 2_000_000  # of one storm; further ones are counted and make it void
HISTORY = "history.jsonl"


class History:
    """One storm's events, kept in memory and, in steps, in a file."""

    def __init__(self, path: Path | None = None) -> None:
        self.began = time.monotonic()
        self.events: list[Event] = []
        self.left_out = 0
        self._file = None if path is None else path.open("wb")
        self._written = 0
        self._encoder = msgspec.json.Encoder()

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, kind: str, **what: Any) -> Event:
        event = {"t": round(time.monotonic() - self.began, 6), "kind": kind, **what}
        if len(self.events) >= EVENTS_MOST:
            self.left_out += 1
        else:
            self.events.append(event)
        return event

    def flush(self) -> None:
        """Write what came since the last time."""
        if self._file is not None:
            fresh = self.events[self._written :]
            self._file.write(b"".join(self._encoder.encode(event) + b"\n" for event in fresh))
            self._file.flush()
            self._written = len(self.events)

    def close(self) -> None:
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None


def read(path: Path) -> list[Event]:
    """A recorded history. Raises OSError, and ValueError if a line is none of its kind."""
    decoder = msgspec.json.Decoder(Event)
    events = []
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                event = decoder.decode(line)
            except msgspec.DecodeError as fault:
                raise ValueError(f"{path}: line {number}: {fault}") from None
            if "t" not in event or "kind" not in event:
                raise ValueError(f"{path}: line {number}: no time or no kind")
            events.append(event)
    return events
