"""The list's clock: how old what is known of the list may be, and when to ask again. No I/O.

Three ways bring a list: a watch, a call that is asked again and again, and a list that is pushed to this
machine. One clock serves all three. A call that says nothing for SILENCE_US is broken, whatever its
connection looks like; what it missed counts as told COUNTS_US after the silence began, and after a move to
another address MOVED_US later. Until then the clock asks again soon, by itself. A call that was heard may
end instead of telling, and is made again at once. Past that `BackOff` says when, and spares a service with
too many callers. Whatever came before, a change counts as told COUNTS_US after the service had it and could
be reached, so no wait is longer than leaves room for a call and its answer in that time.
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
SOON_US = 400_000  # between calls while that runs, drawn from half to one and a half
# The same for a list on this machine, which answers at no cost. Risk: while it is out each call fails at
# once, and a shorter wait would burn the core that requests need.
PUSHED_SOON_US = 200_000
# After a call that was heard has ended: what it ended for may be a drain. The service works through calls
# in turn, and who comes last waits for all the others: a third of a second each were seen.
AT_ONCE_US = 60_000
# Only one that has lasted so long. Risk: a service that answers and ends each call is called without a pause.
LASTED_US = 1_000_000
FIRST_SHARE = 0.5  # of the settings' time of asking, over which agents that start together are spread
# And no longer than this: a third of COUNTS_US, since the list that a process starts with may be old.
FIRST_MOST_US = 2_000_000
BACK_OFF_FIRST, BACK_OFF_MOST = 0.25, 2.0  # shares of that time, drawn from half to one and a half
# The most that is drawn around: a service that comes back right behind a failed call is asked 1.05 s later at
# the latest, and again so if it turns that call away, and 3.9 s are left of COUNTS_US for the answer.
BACK_OFF_LONGEST_US = 700_000
# The least that is drawn around, however short the settings' time of asking is. Risk: a service that is out
# refuses at once, and calls without a pause burn the core that requests need.
BACK_OFF_LEAST_US = 50_000
BACK_OFF_DOUBLINGS = 8  # from BACK_OFF_FIRST far past BACK_OFF_MOST. Risk: a power that grows for hours


class BackOff:
    """When to call a service that answers all agents: seeded, spread, backing off from one that fails."""

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self.failures = 0  # calls in a row that failed, BACK_OFF_DOUBLINGS at most

    def first(self, within_us: int) -> int:
        """The wait before a process's first call, in microseconds, `within_us` being the settings' time of
        asking. Risk: agents that restart together reach the service together."""
        return int(min(FIRST_SHARE * within_us, FIRST_MOST_US) * self._random())

    def failed(self, within_us: int) -> int:
        """The wait after a call that failed. Risk: hammering a slow service; hence it doubles. Harm: it stops
        doubling at BACK_OFF_LONGEST_US, and a service that is slow for longer is asked by each agent that
        often."""
        self.failures = min(self.failures + 1, BACK_OFF_DOUBLINGS)
        share = min(BACK_OFF_MOST, BACK_OFF_FIRST / 2 * 2**self.failures)
        around_us = max(BACK_OFF_LEAST_US, min(share * within_us, BACK_OFF_LONGEST_US))
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

    def __init__(self, pushed: bool, random: Callable[[], float]) -> None:
        """`pushed`: the list comes from this machine, and asking costs nothing."""
        self.pushed = pushed
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
            return self._drawn(PUSHED_SOON_US)
        if call.answered and not silent and now - call.opened >= LASTED_US:
            return self._drawn(AT_ONCE_US)
        if self.counts_at is None or now >= self.counts_at:
            self.counts_at = None
            return None
        return min(self._drawn(SOON_US), self.counts_at - now)

    def age_us(self, now: int) -> int | None:
        """How old what is known may be; None if nothing was heard yet."""
        return None if self._heard_at is None else max(0, now - self._heard_at)

    def _counts(self, at: int) -> None:
        self.counts_at = at if self.counts_at is None else min(at, self.counts_at)

    def _drawn(self, wait_us: int) -> int:
        return int(wait_us * (0.5 + self._random()))
