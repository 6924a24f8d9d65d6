"""The list's clock: how old what is known of the list may be, and when to ask again. No I/O.

Three ways bring a list: a watch, a call that is asked again and again, and a list that is pushed to this
machine. One clock serves all three. A call that says nothing for SILENCE_US is broken, whatever its
connection looks like; what it missed counts as told COUNTS_US after the silence began, and after a move to
another address MOVED_US later. Until then the clock asks again soon, by itself; past that, and after ends
that were seen at once, `Asking` says when, with a back-off that spares a service with too many callers.
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
FIRST_SHARE = 0.5  # of the settings' time of asking, over which agents that start together are spread
BACK_OFF_FIRST, BACK_OFF_MOST = 0.25, 2.0  # shares of that time, drawn from half to one and a half


class Asking:
    """When to call a service that answers all agents: seeded, spread, backing off from one that fails."""

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self.failures = 0  # calls in a row that failed

    def first(self, within_us: int) -> int:
        """The wait before a process's first call. Risk: agents that restart together reach the service
        together."""
        return int(FIRST_SHARE * self._random() * within_us)

    def failed(self, within_us: int) -> int:
        """The wait after a call that failed. Risk: hammering a slow service; hence it doubles."""
        self.failures += 1
        share = min(BACK_OFF_MOST, BACK_OFF_FIRST / 2 * 2**self.failures)
        return int(share * (0.5 + self._random()) * within_us)

    def heard(self) -> None:
        self.failures = 0


class Call:
    """One call to the service, from its start to its end."""

    __slots__ = ("answered", "since")

    def __init__(self, now: int) -> None:
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
        `Asking` to say."""
        if silent and call.answered:
            self._counts(call.since + COUNTS_US)  # the silence began at its last line at the soonest
        if self.pushed:
            return self._drawn(PUSHED_SOON_US)
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
