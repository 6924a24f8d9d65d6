"""When a server that has just started counts as warm, whatever its clock and ours say. No I/O.

Lists tell a server's start in Unix time, by a clock that may be an hour off from the one of this process,
either way. So a difference of the two is believed only where nothing better is known: a start that is told
while the list is followed is counted from when it is heard, and one that lies ahead of our clock from then as
well. What remains is the list that a process begins with, told by a clock far behind ours: its servers pass
for warm.
"""

from __future__ import annotations

from collections import OrderedDict

from sorrelfront.decisions.interface import Backend

MAX_DEPARTED = 4_096  # servers that have left the list and are remembered; the latest of a fleet of 3,200


class SlowStart:
    """The slow start of every server of one list."""

    def __init__(self) -> None:
        self._followed = False
        self._departed: OrderedDict[str, tuple[int, int]] = OrderedDict()  # started_us, warm at

    def followed(self) -> None:
        """The service has told its list: a start that is told from now on has just happened."""
        self._followed = True

    def warm_at(self, backend: Backend, now: int, cold_us: int) -> int:
        """When a server that is new on the list, or was started anew, has had its slow start.

        In microseconds on the clock of `now`; 0 for a server that started long ago. Harm: a start is counted
        later than it was by as much as the service was late to tell it.
        """
        if not backend.started_us:
            return 0
        started_us, warm_at = self._departed.pop(backend.id, (0, 0))
        if started_us == backend.started_us:
            return warm_at  # it was off the list, and has not been started since
        return (now if self._followed else min(now, backend.started_us)) + cold_us

    def departed(self, backend: Backend, warm_at: int) -> None:
        """A server has left the list, and may come back as it is."""
        self._departed[backend.id] = (backend.started_us, warm_at)
        self._departed.move_to_end(backend.id)
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)
