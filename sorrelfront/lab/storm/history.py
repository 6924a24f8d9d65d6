"""The recorded history of a storm: JSON lines in the order of one machine's monotonic clock.

Each event is an object with `t` (seconds since the storm began) and `kind`. Its other keys depend on the
kind:

    storm      name, seed, hosts             the first line
    start      host, pids                    a daemon was started
    phase      host, instance, phase         an instance is in this phase, as its supervisor reports
    ready      host, ready, wanted           this many of its instances report that they are ready
    end        host, code                    the process of a daemon ended
    fault      number, what, phase, hosts    a fault began, or (phase "over") ended
    told       host, server                  a watch of that host was sent the server's phase (draining)
    watch      host                          a watch was opened at the list service
    arrive     server, host, sent, call      a request reached a server; `sent`: when the host had sent it
    effect     server, key, call             the request took effect there
    cold       server, capacity, ...         a server was started, with its capacity
    ask        host, call, class             a caller sent a request
    left       host, call                    the caller closed its connection before an answer came
    answer     host, call, status, ms        the outcome: a status, "reset", "lost", or "left"
    said       host, line                    a line of the daemon's log
    disk       host, ...                     what is left on a disk after a power cut
    view       host, member, living          from now on an instance sees these members alive
    lag        ms                            scheduling delay of the harness itself (only above 20 ms)
    settled    ok, waited                    the end: whether every host serves again
    rig        ...                           measurements of the harness itself
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec

Event = dict[str, Any]

MAX_EVENTS = 2_000_000  # per storm; further ones are counted, and they make the storm void
HISTORY = "history.jsonl"


class History:
    """The events of one storm, kept in memory and appended to a file on each flush."""

    def __init__(self, path: Path | None = None) -> None:
        """Start the clock of the history; without a `path` the events stay in memory only."""
        self.began = time.monotonic()
        self.events: list[Event] = []
        self.dropped_events = 0
        self._file = None if path is None else path.open("wb")
        self._written = 0
        self._encoder = msgspec.json.Encoder()

    def now(self) -> float:
        """Return the seconds since the storm began."""
        return time.monotonic() - self.began

    def add(self, kind: str, **what: Any) -> Event:
        """Append an event with the current time; beyond `MAX_EVENTS` it is only counted."""
        event = {"t": round(time.monotonic() - self.began, 6), "kind": kind, **what}
        if len(self.events) >= MAX_EVENTS:
            self.dropped_events += 1
        else:
            self.events.append(event)
        return event

    def flush(self) -> None:
        """Write the events that were added since the last flush."""
        if self._file is not None:
            fresh = self.events[self._written :]
            self._file.write(b"".join(self._encoder.encode(event) + b"\n" for event in fresh))
            self._file.flush()
            self._written = len(self.events)

    def close(self) -> None:
        """Flush, and close the file."""
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None


def read(path: Path) -> list[Event]:
    """Read a recorded history.

    Raises OSError, and ValueError if a line is not an event.
    """
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
