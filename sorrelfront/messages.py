"""What the parts of the agent hand to each other: a request as taken, and the answer to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from sorrelfront.decisions import interface as api

Headers = list[tuple[bytes, bytes]]
Address = tuple[str, int]


class Upload(Protocol):
    """A body that is passed on while it comes."""

    @property
    def length(self) -> int | None: ...

    @property
    def whole_at(self) -> float | None:
        """When its last byte came, on the monotonic clock; None while more is to come."""

    def begin(self) -> bool:
        """Take it from its start. False if that is no longer to be had."""

    async def read(self) -> bytes:
        """The next piece, empty at the end. Raises ConnectionError."""


class Stream(Protocol):
    """The body of an answer that goes on while it comes. Whoever has it closes it, whatever happens."""

    @property
    def length(self) -> int | None: ...

    async def read(self) -> bytes:
        """The next piece, empty at the end. Raises OSError if the rest does not come."""

    def close(self) -> None:
        """Nobody wants more of it."""


@dataclass(slots=True)
class Call:
    """A client's request, read to its last byte: what the module is told, and what backends are sent. The
    payload is opaque to the agent: a front made it, and the upstream of the same protocol reads it."""

    client_id: bytes
    class_name: str
    budget_us: int
    payload: Any
    key: str = ""
    tenant: str = ""
    cost_hint_us: int = 0
    is_retry: bool = False
    repeatable: bool = False  # a second execution does no harm, or is dropped
    upload: Upload | None = None  # the body, if it is too long to be held
    # Whether the client has left by now, though nobody has been told yet. None: the front cannot tell.
    left: Callable[[], bool] | None = None


class Refused(NamedTuple):
    """A final answer: nothing has run that a repeat could double. Trying again may help after this time."""

    retry_after_us: int


class Failed(NamedTuple):
    """A final answer that promises nothing: it may have run."""


@dataclass(slots=True)
class Answer:
    """A final answer of a backend's, or of a front's own, in the words of its protocol."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    stream: Stream | None = None  # the body, if it is too long to be held


@dataclass(slots=True)
class Ended:
    """How an attempt ended; a 200 carries the answer to pass on."""

    outcome: api.Outcome
    answer: Answer | None = None
    tail_us: int = 0  # from the answer's first byte to its last


Final = Answer | Refused | Failed


class Update(NamedTuple):
    """What a membership source has heard: the whole list or what changed in it."""

    revision: int
    complete: bool
    backends: tuple[api.Backend, ...]
    addresses: dict[str, Address]
