"""The list's clock: how old what is known of the list may be, and when to ask again. No I/O.

Three ways bring a list: a watch, a call that is asked again and again, and a list that is pushed to this
machine. One clock serves all three. A call that says nothing for SILENCE_US is broken, whatever its
connection looks like; what it missed counts as told COUNTS_US after the silence began, and after a move to
another address MOVED_US later. Until then the clock asks again soon, by itself. A call that was heard may
end instead of telling, and is made again at once. Past that `BackOff` says when. No wait without an open call
is longer than a part of a drain's grace.
Times are integer microseconds on any clock that never goes back.
"""

from __future__ import annotations

from collections.abc import Callable

HEARTBEAT_US = 2_000_000  # while nothing changes an empty line comes this often
# Without a whole line for so long a call is broken: a heartbeat, and one second for a busy machine. Half of
# the time until what it missed counts is left for asking again.
SILENCE_US = HEARTBEAT_US + 1_000_000
COUNTS_US = 6_000_000  # after a silence began, what it missed counts as told
MOVED_US = 4_000_000  # after a move to another address, what is told there counts
# The wait before the next call, as a share of the grace that a drain has, drawn from half to one and a half.
# A change counts as known once a call that was open as it was made would have had its answer, whether or not
# one was open. So the waits in a row, with two calls that are turned away between them, have to fit in the
# grace and leave the time for which a process may be held up. This goes before sparing the service.
CALL_SHARE = 0.2
FIRST_SHARE = 0.2  # the same for the first call of a process, drawn from nothing on
# After a call that was heard has ended: what it ended for may be a drain. The service works through calls
# in turn, and who comes last waits for all the others: a third of a second each were seen.
AT_ONCE_US = 60_000
# Only one that has lasted so long. Risk: a service that answers and ends each call is called without a pause.
LASTED_US = 1_000_000
BACK_OFF_FIRST = 0.25  # of the settings' time of asking; it doubles, up to CALL_SHARE of the grace
# The least that is drawn around, however short these times are. Risk: a service that is out refuses at once,
# and calls without a pause burn the core that requests need.
BACK_OFF_LEAST_US = 50_000
BACK_OFF_DOUBLINGS = 8  # counted at most. Risk: a power that grows for hours


def _longest_us(grace_us: int) -> int:
    """What a wait before a call is drawn around at most."""
    return max(BACK_OFF_LEAST_US, int(CALL_SHARE * grace_us))


class BackOff:
    """When to call a service that answers all agents: seeded, spread, backing off from one that fails.

    `within_us` is the settings' time of asking, `grace_us` that of a drain, both in microseconds."""

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self.failures = 0  # calls in a row that failed, BACK_OFF_DOUBLINGS at most

    def first(self, within_us: int, grace_us: int) -> int:
        """The wait before a process's first call, in microseconds. Its list may be old, and what it missed
        counts as known at once. Harm: agents that start together call together, and the service turns away
        those that it cannot answer in time."""
        return int(min(within_us, grace_us) * FIRST_SHARE * self._random())

    def failed(self, within_us: int, grace_us: int) -> int:
        """The wait after a call that failed, in microseconds. Harm: it hardly doubles, and a service that is
        out is asked by each agent several times a second."""
        self.failures = min(self.failures + 1, BACK_OFF_DOUBLINGS)
        growing_us = BACK_OFF_FIRST / 2 * 2**self.failures * within_us
        around_us = max(BACK_OFF_LEAST_US, min(growing_us, _longest_us(grace_us)))
        return int(around_us * (0.5 + self._random()))

    def heard(self) -> None:
        self.failures = 0


class Call:
    """One call to the service, from its start to its end."""

    __slots__ = ("answered", "opened", "since")

    def __init__(self, now: int) -> None:
        self.opened = now
        self.since = now  # its start, or its last whole line
        self.answered = False  # it has said something of the list, if only that nothing changed

    def began(self, now: int) -> None:
        """The head of its answer is here."""
        self.since = now

    @property
    def due(self) -> int:
        """When it is broken if no whole line comes until then. Risk: counted by bytes, a call that drips a
        byte a second would pass for a good one and hide every drain."""
        return self.since + SILENCE_US


class ListClock:
    """What one source knows of time: of its open call, and of what may have been missed."""

    def __init__(self, pushed: bool, random: Callable[[], float], grace_us: int) -> None:
        """`pushed`: the list comes from this machine, and asking costs nothing. `grace_us`: of a drain."""
        self.pushed = pushed
        self.grace_us = grace_us
        self._random = random
        self._heard_at: int | None = None  # the last line of any call
        self._newest: Call | None = None
        self.counts_at: int | None = None  # when what may have been missed counts as told

    def opened(self, now: int) -> Call:
        """A call goes out; beside it, after a move, the one before may still be heard."""
        self._newest = Call(now)
        return self._newest

    def line(self, call: Call, now: int) -> None:
        """A whole line came, empty or not: what the service has to say up to now is known."""
        call.since = now
        call.answered = True
        self._heard_at = now
        if call is self._newest:
            self.counts_at = None

    def moved(self, now: int) -> None:
        """Another address is asked from here on."""
        self._counts(now + MOVED_US)

    def ended(self, call: Call, now: int, silent: bool) -> int | None:
        """It is over; `silent`: nothing came until `due`. The wait before the next one, or None: that is for
        `BackOff` to say."""
        if silent and call.answered:
            self._counts(call.since + COUNTS_US)  # the silence began at its last line at the soonest
        if self.pushed:
            return self._drawn(_longest_us(self.grace_us))
        if call.answered and not silent and now - call.opened >= LASTED_US:
            return self._drawn(AT_ONCE_US)
        if self.counts_at is None or now >= self.counts_at:
            self.counts_at = None
            return None
        return min(self._drawn(_longest_us(self.grace_us)), self.counts_at - now)

    def age_us(self, now: int) -> int | None:
        """How old what is known may be; None if nothing was heard yet."""
        return None if self._heard_at is None else max(0, now - self._heard_at)

    def _counts(self, at: int) -> None:
        self.counts_at = at if self.counts_at is None else min(at, self.counts_at)

    def _drawn(self, wait_us: int) -> int:
        return int(wait_us * (0.5 + self._random()))
