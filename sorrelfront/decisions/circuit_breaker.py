"""Circuit breaker of one server: leaves it alone after failures, for longer and longer."""

from __future__ import annotations

MAX_BREAKER_TIMEOUTS = 16  # upper bound of the breaker's doubling back-off, in connect time-outs


class CircuitBreaker:
    """Circuit breaker with a doubling back-off, after which a single trial decides whether it closes."""

    __slots__ = ("failures", "open_until")

    def __init__(self) -> None:
        self.failures = self.open_until = 0

    def record_failure(self, now: int, unit_us: int) -> None:
        """Open for a back-off that doubles with each failure, in multiples of `unit_us`."""
        self.open_until = now + min(MAX_BREAKER_TIMEOUTS, 2**self.failures) * unit_us
        self.failures = min(self.failures + 1, MAX_BREAKER_TIMEOUTS)

    def reset(self) -> None:
        """Close after a success."""
        self.failures = self.open_until = 0

    def start_trial(self, now: int, unit_us: int) -> None:
        """If it was open, make this attempt the trial: no other until its outcome or the longest back-off."""
        if self.open_until:
            self.open_until = now + unit_us * MAX_BREAKER_TIMEOUTS
