"""Input and output types of a Balancer: settings, events, actions and outcomes.

Every time is an integer number of microseconds (`_us`). Events and actions on the hot path are NamedTuples
because one is built for each request. Settings are frozen dataclasses because they are validated once. Final
answers are dataclasses too because their reason is only for the log and takes no part in comparisons.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum, StrEnum
from typing import NamedTuple


class Effect(Enum):
    """The effect of executing a request a second time."""

    SAFE = "safe"
    KEYED = "keyed"  # carries an idempotency key by which a group of backends drops repeats for a while
    UNSAFE = "unsafe"


class Scope(Enum):
    """The group of backends that share the deduplication memory for keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """State of a backend on the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """Outcome of an attempt. Only REJECTED, UNREACHABLE and UNSENT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection was made in time
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    UNKNOWN = "unknown"  # a code that this version does not know; the attempt may have run


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.UNSENT})


class ListKind(Enum):
    """Kind of a list update."""

    CACHED = "cached"  # the whole list as stored before a restart, possibly stale
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"  # a discovery call failed or the subscription was lost


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings of one class of requests.

    An answer within `aim_us` earns `worth`, a later one `late_worth` of it. Repeats of a keyed request are
    dropped within `scope` for `dedup_window_us`.
    """

    name: str
    effect: Effect
    aim_us: int
    deadline_us: int
    scope: Scope = Scope.ALL
    dedup_window_us: int = 0
    worth: float = 1.0
    late_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a Balancer.

    The limits set by the rules have no default, because a guessed value would break a rule.
    """

    classes: tuple[RequestClass, ...]
    drain_grace_us: int
    cold_from: float
    cold_us: int
    cold_multiple: float
    cold_span_us: int
    answer_slack_us: int
    max_attempts: int = 1
    number: int = 0
    agents: int = 1
    may_cancel: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    subscribe: bool = False
    ask_within_us: int = 10_000_000
    worth_by_work: bool = False

    def __post_init__(self) -> None:
        """Check all values. Raises ValueError that names the bad setting."""
        for item in fields(self):
            value = getattr(self, item.name)
            if isinstance(value, (int, float)) and not value >= 0:
                raise ValueError(f"{item.name} must not be negative: {value}")
        if not self.classes:
            raise ValueError("classes must not be empty")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from must lie above 0 and at most at 1: {self.cold_from}")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts must be at least 1: {self.max_attempts}")
        if self.number >= self.agents:
            raise ValueError(f"number must lie below agents: {self.number} of {self.agents}")
        for cls in self.classes:
            if cls.aim_us <= 0 or cls.deadline_us <= 0:
                raise ValueError(f"classes[{cls.name}] aim_us and deadline_us must be positive")
            if cls.dedup_window_us < 0:
                raise ValueError(f"classes[{cls.name}] dedup_window_us must not be negative")


class Backend(NamedTuple):
    """One entry of a list. `kind`, `zone` and `cell` are only labels to group by."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    started_us: int = 0  # Unix time; 0: long ago


# Events. Each has one handler in Balancer, called with the event and the current time.


class BackendList(NamedTuple):
    """An update of the list of backends, or its failure."""

    kind: ListKind
    backends: tuple[Backend, ...] = ()


class Request(NamedTuple):
    """A request received from a client."""

    id: int
    class_name: str
    deadline_us: int  # clock time at which the client gives up this try
    cost_hint_us: int = 0
    tenant: str = ""
    key: str = ""
    is_retry: bool = False
    arriving: bool = False  # its body is still being received, and is streamed to the server meanwhile


class BodyReceived(NamedTuple):
    """The last byte of an arriving request was received, and its server works on it from now on."""

    request_id: int
    deadline_us: int  # clock time at which the client gives up this try, counted from its last byte


class DeadlineMoved(NamedTuple):
    """The client of a request gives up at another time than was said."""

    request_id: int
    deadline_us: int  # clock time at which the client gives up this try


class AttemptEnded(NamedTuple):
    """An attempt ended, `elapsed_us` after it was sent."""

    request_id: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    finished: bool  # the client has its final answer


class StreamStarted(NamedTuple):
    """The answer to an attempt is being streamed to the client."""

    request_id: int
    attempt: int


class ClientGone(NamedTuple):
    """The client of a request disconnected."""

    request_id: int


class Timer(NamedTuple):
    """A timer set by SetTimer expired."""

    tag: str


# Actions


class Send(NamedTuple):
    """Send an attempt to a backend.

    Setting it up may take a while. It must not begin at the backend once the clock has reached
    `begin_before_us`.
    """

    request_id: int
    backend: str
    timeout_us: int
    begin_before_us: int


class EndReason(StrEnum):
    """Reason for a final answer to a request that was not served."""

    DEADLINE = "deadline"  # no time is left
    MAX_ATTEMPTS = "max-attempts"
    NO_BACKEND = "no-backend"  # the list is empty, and no time is left to wait for the next one
    UNAVAILABLE = "unavailable"  # none of the backends allowed for it accepts requests now
    MAY_HAVE_RUN = "may-have-run"  # an attempt may have run, and it may not be sent again
    INFEASIBLE = "infeasible"  # an answer in time is not expected
    RETRY_BUDGET = "retry-budget"  # the retry budget is used up
    UNSENT = "unsent"  # this process has no room for an attempt


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the request finally, stating that the client may retry it safely."""

    request_id: int
    retry_after_us: int
    reason: EndReason = field(default=EndReason.UNAVAILABLE, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the request finally, without stating that a retry is safe."""

    request_id: int
    reason: EndReason = field(default=EndReason.UNAVAILABLE, compare=False)


class CancelAttempt(NamedTuple):
    """Cancel an attempt in flight."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver a Timer event with this tag after `delay_us`."""

    delay_us: int
    tag: str


class Subscribe(NamedTuple):
    """Call the discovery service for the list of backends."""


Action = Send | Refuse | Fail | CancelAttempt | SetTimer | Subscribe
