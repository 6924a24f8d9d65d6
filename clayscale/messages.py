"""What the parts of the agent hand to each other: a request as taken, and the answer to it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from aspentrail import interface as api

Headers = list[tuple[bytes, bytes]]
Address = tuple[str, int]


@dataclass(slots=True)
class Call:
    """A client's request, read to its last byte: what the module is told, and what backends are sent."""

    client_id: bytes
    class_name: str
    budget_us: int
    method: bytes
    target: bytes
    headers: Headers  # the end-to-end ones that go on unchanged
    key: str = ""
    tenant: str = ""
    cost_hint_us: int = 0
    is_retry: bool = False
    body: bytearray = field(default_factory=bytearray)


class Stream(ABC):
    """The rest of a long answer, read from the backend only as fast as the client takes it."""

    length: int | None  # of the whole body, where the backend said it

    @abstractmethod
    async def read(self) -> bytes:
        """The next piece, empty at the end. Raises BrokenAnswer if the backend breaks off or stalls."""

    @abstractmethod
    def close(self) -> None:
        """No more will be read. Without effect after the end."""


class BrokenAnswer(Exception):
    """A backend did not finish an answer that it had begun."""


@dataclass(slots=True)
class Answer:
    """A final answer to a client."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    stream: Stream | None = None


@dataclass(slots=True)
class Ended:
    """How an attempt ended; a 200 carries the answer to pass on."""

    outcome: api.Outcome
    answer: Answer | None = None
