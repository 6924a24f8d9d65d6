"""How long a server may pause within an answer that is passed on as it comes. Without I/O or a clock.

Until its client's time is over, an answer may pause as long as it likes: a slow server and one that hangs
look the same, and the client waits for either. Past that time nobody is promised anything, but a client
that still reads gets the rest of an answer whose server still writes. So a pause may then be somewhat longer
than those that the answer has had, and a server that only trickles is given up after MAX_LATE_WAIT_S.
"""

from __future__ import annotations

from dataclasses import dataclass

LATE_S = 0.4  # past its time an answer is waited for at least; half a second past it one counts as lost
MIN_PAUSE_S = 1.0  # the shortest limit of a pause past the client's time
MAX_PAUSE_S = 2.5  # the longest one
PAUSE_FACTOR = 2.0  # how much longer the next pause may be than the longest so far
MAX_LATE_WAIT_S = 10.0  # of all pauses past the client's time, for a server that is slower than MIN_LATE_RATE
MIN_LATE_RATE = 16_000  # bytes per second, as for request bodies


@dataclass(slots=True)
class AnswerPace:
    """The pauses of one answer so far."""

    received: int = 0  # bytes past the first read
    longest_s: float = 0.0
    late_s: float = 0.0  # waited past the client's time

    def limit_s(self, left_s: float, paused_s: float = 0.0) -> float:
        """Return for how many seconds from now a pause may last.

        `left_s` of the client's time are left, and the pause has lasted for `paused_s` so far.
        """
        late_left_s = MAX_LATE_WAIT_S + self.received / MIN_LATE_RATE - self.late_s
        usual_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, PAUSE_FACTOR * self.longest_s))
        late_pause_s = max(LATE_S, usual_s - paused_s - max(0.0, left_s))
        return max(0.0, left_s) + max(0.0, min(late_pause_s, late_left_s))

    def paused(self, seconds: float, left_s: float, received: int) -> None:
        """Note a pause, what was left of the client's time as it began, and the bytes that ended it."""
        self.received += received
        self.longest_s = max(self.longest_s, seconds)
        self.late_s += max(0.0, seconds - max(0.0, left_s))
