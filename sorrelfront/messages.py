"""Data types shared by fronts, agent and upstreams: requests, answers, attempt results and list updates."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from sorrelfront.decisions import interface as api

Headers = list[tuple[bytes, bytes]]
Address = tuple[str, int]


class UnreadTime(Protocol):
    """Upper bound on how long a complete request may have lain unread while its client was not read."""

    @property
    def paused(self) -> bool:
        """Whether that time grows now."""
        ...

    def seconds(self, now: float) -> float:
        """Return it in seconds; `now` is on the monotonic clock."""
        ...


class Upload(Protocol):
    """A request body that is streamed from the client to the server."""

    @property
    def length(self) -> int | None:
        """Declared length in bytes; None if it is not declared."""
        ...

    @property
    def completed_at(self) -> float | None:
        """Monotonic time in seconds at which the last byte arrived; None until then."""

    @property
    def unread(self) -> UnreadTime:
        """How much of its client's time the complete request may have spent unread."""
        ...

    def expire(self) -> None:
        """Let nothing more of the body be sent: the time of its client is over."""

    def begin(self) -> bool:
        """Start to read from the beginning. Returns False if the beginning is no longer available."""

    def on_stop(self, callback: Callable[[], None] | None) -> None:
        """Have the callback called once nothing more of the body may be sent; None ends that."""

    async def read(self) -> bytes:
        """Return the next piece, empty at the end. Raises ConnectionError if the body is truncated."""


class Stream(Protocol):
    """The streamed body of an answer. Whoever holds it must close it in every case."""

    @property
    def length(self) -> int | None:
        """Declared length in bytes; None if it is not declared."""
        ...

    async def read(self) -> bytes:
        """Return the next piece, empty at the end. Raises OSError if the body is truncated."""

    def close(self) -> None:
        """Discard the rest of the body."""


@dataclass(slots=True)
class Call:
    """A client's request: the data for the decision module and the payload for backends.

    It is complete, except for a body that is streamed (`upload`). The payload is opaque to the agent: a front
    created it, and the upstream of the same protocol reads it.
    """

    client_id: bytes
    class_name: str
    budget_us: int
    payload: Any
    key: str = ""
    tenant: str = ""
    cost_hint_us: int = 0
    is_retry: bool = False
    repeatable: bool = False  # a second execution is harmless or is deduplicated
    has_effect: bool = True  # its execution changes something, if only the first one of its key
    upload: Upload | None = None  # the body, if it is too long to be buffered
    # Returns whether the client has disconnected, even if this has not been reported yet. None if the front
    # cannot detect it.
    client_gone: Callable[[], bool] | None = None


class Refused(NamedTuple):
    """A final answer: a retry cannot execute anything twice, and may succeed after this time."""

    retry_after_us: int


class Failed(NamedTuple):
    """A final answer without any guarantee: the request may have run."""


@dataclass(slots=True)
class Answer:
    """A final answer from a backend or from a front itself, in the terms of its protocol."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    stream: Stream | None = None  # the body, if it is too long to be buffered


@dataclass(slots=True)
class AttemptResult:
    """Result of an attempt; `answer` is set if it ended with a 200 that is to be passed on."""

    outcome: api.Outcome
    answer: Answer | None = None
    answer_duration_us: int = 0  # time from the first to the last byte of the answer


FinalAnswer = Answer | Refused | Failed


class Update(NamedTuple):
    """An update from a membership source: the whole list (`complete`) or only the changes."""

    revision: int
    complete: bool
    backends: tuple[api.Backend, ...]
    addresses: dict[str, Address]
