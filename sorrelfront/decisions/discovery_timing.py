"""Timing of the discovery list: how stale it may be, and when to call the service again. No I/O.

A list comes from a watch, from a call that is repeated, or is pushed to this machine. The same timing serves
all three. A call without a line for SILENCE_US is broken, whatever its connection looks like. The changes
that it missed count as known KNOWN_AFTER_SILENCE_US after the silence began, and KNOWN_AFTER_MOVE_US after a
change to another address. Until then `WatchTimer` has calls repeated soon. A call that received something may
end in place of reporting a change, and is repeated at once. After that `BackOff` sets the wait. No wait
without an open call is longer than a part of the drain grace.
Times are integer microseconds on any monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable

HEARTBEAT_US = 2_000_000  # interval of the empty lines that are sent while nothing changes
# A call without a whole line for this long is broken: a heartbeat, and one second for a busy machine. That
# leaves half of the time until the missed changes count as known for calling again.
READ_TIMEOUT_US = HEARTBEAT_US + 1_000_000
KNOWN_AFTER_SILENCE_US = 6_000_000  # from the start of a silence until the changes it missed count as known
KNOWN_AFTER_MOVE_US = 4_000_000  # from a change of address until the changes reported there count as known
# Waits before a call, as shares of the drain grace. A change counts as known once a call made at the time of
# the change would have been answered, whether or not one was made. So the waits in a row, with two rejected
# calls between them, must fit in the grace and leave the time for which a process may be stalled. A service
# that rejects more calls than that has too many callers, and each call costs it something, so the wait grows.
FIRST_CALL_SHARE = 0.2  # upper bound of the random wait before the first call of a process
BACK_OFF_SHARE = 0.1  # mean of the first random wait after a failed call; it doubles with each failure
UNREACHABLE_SHARE = 0.2  # the same if nobody listens, since then a call costs the service nothing
# Upper bound of the mean wait. With 32 agents, the 18 whose calls were rejected called ten times a second
# each. That kept a service busy that answers seven calls a second, and none of them got an answer.
MAX_BACK_OFF_US = 700_000
MAX_BACK_OFF_SHARE = 2.0  # upper bound of the mean wait, as a share of the settings' `ask_within_us`
# Lower bound of the mean wait, however short these times are. A service that is down refuses at once, and
# calls without a pause would use up the CPU core that requests need.
MIN_BACK_OFF_US = 50_000
MAX_BACK_OFF_DOUBLINGS = 8  # without a bound the power would grow for hours
# Mean wait after a call that received lines has ended, since the reason may be a drain. The service handles
# calls in turn, and the last caller waits for all others: a third of a second each was observed.
REOPEN_DELAY_US = 60_000
# Only a call that lasted this long is repeated at once. Otherwise a service that answers and ends each call
# would be called without a pause.
MIN_CALL_DURATION_US = 1_000_000


class BackOff:
    """Randomized waits between calls to a service shared by all agents, with exponential back-off.

    `within_us` is the settings' `ask_within_us`, `grace_us` the drain grace, both in microseconds.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self.failures = 0  # calls in a row that failed, MAX_BACK_OFF_DOUBLINGS at most

    def first(self, within_us: int, grace_us: int) -> int:
        """Return the wait before the first call of a process, in microseconds.

        It is short because the list may be old, and the changes it lacks count as known at once. Agents that
        start together therefore call together, and the service rejects those it cannot answer in time.
        """
        return int(min(within_us, grace_us) * FIRST_CALL_SHARE * self._random())

    def failed(self, within_us: int, grace_us: int) -> int:
        """Return the wait after a call that failed, in microseconds."""
        mean_us = BACK_OFF_SHARE * grace_us * 2**self.failures
        self.failures = min(self.failures + 1, MAX_BACK_OFF_DOUBLINGS)
        mean_us = min(mean_us, MAX_BACK_OFF_SHARE * within_us, MAX_BACK_OFF_US)
        return int(max(MIN_BACK_OFF_US, mean_us) * (0.5 + self._random()))

    def unreachable(self, grace_us: int) -> int:
        """Return the wait after a call that nobody accepted, in microseconds.

        It does not grow, so each agent calls a service that is down for hours some ten times a second.
        """
        return int(max(MIN_BACK_OFF_US, UNREACHABLE_SHARE * grace_us) * (0.5 + self._random()))

    def reset(self) -> None:
        """Reset the back-off after a successful call."""
        self.failures = 0


class DiscoveryCall:
    """State of one call to the service."""

    __slots__ = ("answered", "last_line_at", "number", "opened_at")

    def __init__(self, now: int, number: int) -> None:
        self.number = number  # sequence number in this process, from 1
        self.opened_at = now
        self.last_line_at = now  # its start, the head of its answer, or its last whole line
        self.answered = False  # at least one whole line was received, if only an empty one

    def response_started(self, now: int) -> None:
        """Note that the head of the answer was received."""
        self.last_line_at = now

    @property
    def timeout_at(self) -> int:
        """Time at which the call counts as broken if no whole line is received before.

        Counted by bytes, a call that delivers one byte a second would pass for a good one and hide every
        drain.
        """
        return self.last_line_at + READ_TIMEOUT_US


class WatchTimer:
    """Timing of one source: of its open call, and of the changes that it may have missed."""

    def __init__(self, pushed: bool, random: Callable[[], float], within_us: int, grace_us: int) -> None:
        """Initialize without a call.

        `pushed`: the list comes from this machine, so a call costs nothing. `within_us`: the settings'
        `ask_within_us`. `grace_us`: the drain grace.
        """
        self.pushed = pushed
        self.within_us = within_us
        self.grace_us = grace_us
        self._random = random
        self._back_off = BackOff(random)
        self._last_line_at: int | None = None  # time of the last line of any call
        self._newest_call: DiscoveryCall | None = None
        self._count = 0  # calls made so far
        self.known_at: int | None = None  # when the changes that may have been missed count as known

    def call_opened(self, now: int) -> DiscoveryCall:
        """Register a new call. After a change of address the previous call may still receive lines."""
        self._count += 1
        self._newest_call = DiscoveryCall(now, self._count)
        return self._newest_call

    def line_received(self, call: DiscoveryCall, now: int) -> None:
        """Register a whole line, empty or not: all changes up to now are known."""
        call.last_line_at = now
        call.answered = True
        self._last_line_at = now
        if call is self._newest_call:
            self.known_at = None
            self._back_off.reset()

    def address_changed(self, now: int) -> None:
        """Register a change to another address."""
        self._set_known_at(now + KNOWN_AFTER_MOVE_US)

    def call_ended(
        self, call: DiscoveryCall, now: int, silent: bool, unreachable: bool = False
    ) -> int | None:
        """Return the wait before the next call after this one ended; None leaves it to `BackOff`.

        `silent`: nothing was received until `due`. `unreachable`: nobody accepted the call.
        """
        if silent and call.answered:
            self._set_known_at(
                call.last_line_at + KNOWN_AFTER_SILENCE_US
            )  # the silence cannot have begun before its last line
        if self.pushed or unreachable:
            return self._back_off.unreachable(self.grace_us)
        if call.answered and not silent and now - call.opened_at >= MIN_CALL_DURATION_US:
            return int(REOPEN_DELAY_US * (0.5 + self._random()))
        if self.known_at is None or now >= self.known_at:
            self.known_at = None
            return None
        return min(self._back_off.failed(self.within_us, self.grace_us), self.known_at - now)

    def age_us(self, now: int) -> int | None:
        """Return the maximum age of the list in microseconds; None before the first line."""
        return None if self._last_line_at is None else max(0, now - self._last_line_at)

    def _set_known_at(self, at: int) -> None:
        self.known_at = at if self.known_at is None else min(at, self.known_at)
