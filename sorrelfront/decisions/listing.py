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
# Waits before a call, as shares of the grace that a drain has. A change counts as known once a call that was
# made with it would have had its answer, whether or not one was made. So the waits in a row, with two calls
# that are turned away between them, fit in the grace and leave the time for which a process may be held up. A
# service that turns away more than that has too many callers, each of whom costs it something, and is spared.
FIRST_SHARE = 0.2  # drawn from nothing up to this before the first call of a process
BACK_OFF_SHARE = 0.1  # around which the first wait after a failed call is drawn; it doubles
UNREACHABLE_SHARE = 0.2  # the same where nobody listens, and no call costs the service anything
# The most that is drawn around. Of 32 agents, 18 that were turned away and called ten times a second each
# kept a service busy that answers seven calls a second, and none of them was heard.
BACK_OFF_LONGEST_US = 700_000
BACK_OFF_MOST = 2.0  # and no more than this share of the settings' time of asking
# The least that is drawn around, however short these times are. Risk: a service that is out refuses at once,
# and calls without a pause burn the core that requests need.
BACK_OFF_LEAST_US = 50_000
BACK_OFF_DOUBLINGS = 8  # counted at most. Risk: a power that grows for hours
# After a call that was heard has ended: what it ended for may be a drain. The service works through calls
# in turn, and who comes last waits for all the others: a third of a second each were seen.
AT_ONCE_US = 60_000
# Only one that has lasted so long. Risk: a service that answers and ends each call is called without a pause.
LASTED_US = 1_000_000


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
        """The wait after a call that failed, in microseconds."""
        around_us = BACK_OFF_SHARE * grace_us * 2**self.failures
        self.failures = min(self.failures + 1, BACK_OFF_DOUBLINGS)
        around_us = min(around_us, BACK_OFF_MOST * within_us, BACK_OFF_LONGEST_US)
        return int(max(BACK_OFF_LEAST_US, around_us) * (0.5 + self._random()))

    def unreachable(self, grace_us: int) -> int:
        """The wait after a call that nobody took, in microseconds. Harm: what is out for hours is tried some
        ten times a second by each agent."""
        return int(max(BACK_OFF_LEAST_US, UNREACHABLE_SHARE * grace_us) * (0.5 + self._random()))

    def heard(self) -> None:
        self.failures = 0


class DiscoveryCall:
    """One call to the service, from its start to its end."""

    __slots__ = ("answered", "number", "opened", "since")

    def __init__(self, now: int, number: int) -> None:
        self.number = number  # of this process's calls, from 1 on
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


class WatchTimer:
    """What one source knows of time: of its open call, and of what may have been missed."""

    def __init__(self, pushed: bool, random: Callable[[], float], within_us: int, grace_us: int) -> None:
        """`pushed`: the list comes from this machine, and asking costs nothing. `within_us`: the settings'
        time of asking. `grace_us`: of a drain."""
        self.pushed = pushed
        self.within_us = within_us
        self.grace_us = grace_us
        self._random = random
        self._back_off = BackOff(random)
        self._heard_at: int | None = None  # the last line of any call
        self._newest: DiscoveryCall | None = None
        self._count = 0  # calls so far
        self.counts_at: int | None = None  # when what may have been missed counts as told

    def opened(self, now: int) -> DiscoveryCall:
        """A call goes out; beside it, after a move, the one before may still be heard."""
        self._count += 1
        self._newest = DiscoveryCall(now, self._count)
        return self._newest

    def line(self, call: DiscoveryCall, now: int) -> None:
        """A whole line came, empty or not: what the service has to say up to now is known."""
        call.since = now
        call.answered = True
        self._heard_at = now
        if call is self._newest:
            self.counts_at = None
            self._back_off.heard()

    def moved(self, now: int) -> None:
        """Another address is asked from here on."""
        self._counts(now + MOVED_US)

    def ended(self, call: DiscoveryCall, now: int, silent: bool, unreachable: bool = False) -> int | None:
        """It is over; `silent`: nothing came until `due`; `unreachable`: nobody took it. The wait before the
        next one, or None: that is for `BackOff` to say."""
        if silent and call.answered:
            self._counts(call.since + COUNTS_US)  # the silence began at its last line at the soonest
        if self.pushed or unreachable:
            return self._back_off.unreachable(self.grace_us)
        if call.answered and not silent and now - call.opened >= LASTED_US:
            return int(AT_ONCE_US * (0.5 + self._random()))
        if self.counts_at is None or now >= self.counts_at:
            self.counts_at = None
            return None
        return min(self._back_off.failed(self.within_us, self.grace_us), self.counts_at - now)

    def age_us(self, now: int) -> int | None:
        """How old what is known may be; None if nothing was heard yet."""
        return None if self._heard_at is None else max(0, now - self._heard_at)

    def _counts(self, at: int) -> None:
        self.counts_at = at if self.counts_at is None else min(at, self.counts_at)
