"""Why an answer of a server was not passed on, or not to its end: the reasons, their counts and their log."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from enum import StrEnum

import h11

from sorrelfront.events import Event, EventCounter
from sorrelfront.messages import Address
from sorrelfront.net.bodies import BodyAborted

log = logging.getLogger(__name__)

MAX_ID_CHARACTERS = 64  # of a request's id in the log


class AnswerFault(StrEnum):
    """Why an answer that had begun was not passed on whole."""

    MALFORMED = "malformed"
    AMBIGUOUS_LENGTH = "ambiguous-length"
    TOO_LONG = "too-long"
    EARLY = "early"  # it came before the request was complete
    TRUNCATED = "truncated"  # its connection ended, or its body is shorter than declared
    RESET = "reset"  # its connection broke
    PAUSED = "paused"  # nothing more came for too long, or until the client's time was over
    CANCELLED = "cancelled"  # the request has ended, or its client has left or does not read
    UNEXPECTED_DATA = "unexpected-data"  # it came before its request was sent: it belongs to another one


class InvalidAnswer(Exception):
    """The data received is not a valid answer. The request may have run, and the backend is up."""

    def __init__(self, fault: AnswerFault, text: str) -> None:
        super().__init__(text)
        self.fault = fault


class TruncatedAnswer(BodyAborted):
    """A streamed answer broke off, or is longer than it may be."""

    def __init__(self, fault: AnswerFault, text: str) -> None:
        super().__init__(text)
        self.fault = fault


def fault_of(error: BaseException) -> AnswerFault:
    """Return why an answer ended that this error has ended."""
    if isinstance(error, (InvalidAnswer, TruncatedAnswer)):
        return error.fault
    if isinstance(error, TimeoutError):
        return AnswerFault.PAUSED
    if isinstance(error, OSError):
        return AnswerFault.RESET
    if isinstance(error, h11.RemoteProtocolError):
        return AnswerFault.MALFORMED
    return AnswerFault.CANCELLED


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer that ended before it was whole."""

    fault: AnswerFault
    request_id: bytes
    server: Address
    received: int  # bytes of the body
    since_first_s: float  # since its first byte
    since_last_s: float  # since its last byte so far
    left_s: float  # of the client's time
    streamed: bool  # part of it has been passed on


class AnswerLog:
    """Counts answers that were not passed on whole, and logs each, within the log's own rate limit."""

    def __init__(self, events: EventCounter) -> None:
        self._events = events
        self.unfinished = 0  # answers of which nothing was passed on
        self.cut = 0  # answers that were passed on in part

    def add(self, broken: BrokenAnswer) -> None:
        """Count and log one answer."""
        if broken.streamed:
            self.cut += 1
        else:
            self.unfinished += 1
        name = broken.request_id.decode("latin-1")[:MAX_ID_CHARACTERS]
        self._events.add(Event.ANSWER, broken.fault, name)
        log.info(
            "the answer to %s from %s:%d ended as %s%s: %d bytes, the first %.3f s, the last %.3f s before; "
            "the client had %.3f s left",
            name, *broken.server, broken.fault, " (passed on in part)" if broken.streamed else "",
            broken.received, broken.since_first_s, broken.since_last_s, broken.left_s,
        )  # fmt: skip
