"""Slow start: computes when a newly started server counts as warm, despite clock skew. No I/O.

Lists give a server's start in Unix time, by a clock that may be an hour ahead of or behind the clock of this
process. The difference of the two clocks is therefore used only for the first list. A start that is reported
after that list counts from when it is received, and so does one that lies in the future of this process. One
case remains: if the clock of the first list is far behind, its servers count as warm too early.
"""

from __future__ import annotations

from collections import OrderedDict

from sorrelfront.decisions.interface import Backend

MAX_DEPARTED = 4_096  # servers remembered after they left the list, most recent ones; covers a fleet of 3,200


class SlowStart:
    """Slow-start times of the servers on one list."""

    def __init__(self) -> None:
        self._list_known = False
        self._departed: OrderedDict[str, tuple[int, int]] = OrderedDict()  # started_us, warm_at

    def list_received(self) -> None:
        """Note that the service has sent its list: a start reported after this has just happened."""
        self._list_known = True

    def warm_at(self, backend: Backend, now: int, cold_us: int) -> int:
        """Return when a server that is new on the list, or was restarted, ends its slow start.

        In microseconds on the clock of `now`; 0 for a server that started long ago. If the service reports a
        start late, the slow start ends later by the same time.
        """
        if not backend.started_us:
            return 0
        started_us, warm_at = self._departed.pop(backend.id, (0, 0))
        if started_us == backend.started_us:
            return warm_at  # it was off the list, and has not been restarted since
        return (now if self._list_known else min(now, backend.started_us)) + cold_us

    def remember(self, backend: Backend, warm_at: int) -> None:
        """Remember a server that left the list, since it may return without a restart."""
        self._departed[backend.id] = (backend.started_us, warm_at)
        self._departed.move_to_end(backend.id)
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)
