"""What goes into and comes out of a Balancer: settings, events, actions and outcomes.

Every time is an integer number of microseconds (`_us`). The hot events and actions are NamedTuples
because one is built for each request; settings are frozen dataclasses because they are checked once, and
final answers because their reason is for the log and takes no part in comparisons.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum, StrEnum
from typing import NamedTuple


class Effect(Enum):
    """What a second execution of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"  # carries a key by which a group of backends drops repeats for a while
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which backends share the memory that drops repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(Enum):
    """How an attempt ended. Only REJECTED, UNREACHABLE and UNSENT prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection was made in time
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    UNKNOWN = "unknown"  # a code this version does not know: it may have run


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.UNSENT})


class ListKind(Enum):
    CACHED = "cached"  # the whole list as last held before a restart, perhaps stale
    FULL = "full"
    DELTA = "delta"
    FAILED = "failed"  # a discovery call failed or the subscription broke


@dataclass(frozen=True, slots=True)
class RequestClass:
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
    """What a Balancer is told at its start. The rule figures have no default: guessing one breaks a rule."""

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
    """One entry of a list. `kind`, `zone` and `cell` are labels to group by and nothing more."""

    id: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    started_us: int = 0  # 0: long ago


# Events: each has one handler of the Balancer, called with the event and the clock.


class BackendList(NamedTuple):
    kind: ListKind
    backends: tuple[Backend, ...] = ()


class Request(NamedTuple):
    id: int
    class_name: str
    deadline_us: int  # clock time at which the client gives up this try
    cost_hint_us: int = 0
    tenant: str = ""
    key: str = ""
    is_retry: bool = False
    arriving: bool = False  # its body is still on its way, and goes on to the server while it comes


class Whole(NamedTuple):
    """The last byte of an arriving request has come: from now on its server works on it."""

    request_id: int
    deadline_us: int  # clock time at which the client gives up this try, counted from its last byte


class AttemptEnded(NamedTuple):
    request_id: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    finished: bool  # the client has its final answer


class StreamStarted(NamedTuple):
    request_id: int
    attempt: int


class ClientGone(NamedTuple):
    request_id: int


class Timer(NamedTuple):
    tag: str


# Actions


class Send(NamedTuple):
    """An attempt. It may be on its way to its backend for a while; nothing of it begins there once the clock
    is at `begin_before_us`."""

    request_id: int
    backend: str
    timeout_us: int
    begin_before_us: int


class EndReason(StrEnum):
    """Why a request got its final answer without having been served."""

    DEADLINE = "deadline"  # no time is left
    MAX_ATTEMPTS = "max-attempts"
    NO_BACKEND = "no-backend"  # the list is empty, and no time is left to wait for another
    UNAVAILABLE = "unavailable"  # no backend that it may go to takes anything now
    MAY_HAVE_RUN = "may-have-run"  # an attempt may have run, and it may not be sent again
    INFEASIBLE = "infeasible"  # an answer in time is not to be expected
    RETRY_BUDGET = "retry-budget"
    UNSENT = "unsent"  # this process has no room for an attempt


@dataclass(frozen=True, slots=True)
class Refuse:
    """A final answer that promises a retry does no harm."""

    request_id: int
    retry_after_us: int
    reason: EndReason = field(default=EndReason.UNAVAILABLE, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that promises nothing."""

    request_id: int
    reason: EndReason = field(default=EndReason.UNAVAILABLE, compare=False)


class CancelAttempt(NamedTuple):
    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    delay_us: int
    tag: str


class Subscribe(NamedTuple):
    pass


Action = Send | Refuse | Fail | CancelAttempt | SetTimer | Subscribe
