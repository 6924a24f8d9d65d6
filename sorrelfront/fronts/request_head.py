"""Heads of requests: what a client's request is, and whether it may be taken."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Protocol
from urllib.parse import parse_qs, unquote

import h11

from sorrelfront.decisions.interface import Effect, RequestClass
from sorrelfront.messages import Call
from sorrelfront.net.http import Payload, end_to_end

TOKEN = re.compile(rb"[!-~]{1,128}")
BUDGET = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")
BUDGET_UNITS_US = {b"m": 1000.0, b"u": 1.0}


class Head(Protocol):
    """What this module reads of the head of a request, whichever parser made it."""

    @property
    def method(self) -> bytes:
        """The request method."""
        ...

    @property
    def target(self) -> bytes:
        """The request target, undecoded."""
        ...

    @property
    def headers(self) -> Iterable[tuple[bytes, bytes]]:
        """The headers in order of arrival, names in lower case."""
        ...


class Classes(Protocol):
    """The request classes that are served."""

    def request_class(self, name: str) -> RequestClass | None:
        """Return the request class of this name, None if there is none."""
        ...


class RejectReason(StrEnum):
    """Why a request was answered before it was accepted."""

    INCOMPLETE = "incomplete"  # it did not arrive in time
    NO_ROOM = "no-room"
    STALLED = "stalled"  # it stopped in the middle of its body while others needed the memory
    GOING_AWAY = "going-away"
    REPEATED_ID = "repeated-id"  # its id is that of a request in flight, or of one that may have run
    BAD_REQUEST = "bad-request"  # it cannot be parsed, is not allowed, or is too long


class BadRequest(Exception):
    """A request that is rejected before it reaches the module, with the status and the reason."""

    def __init__(self, status: int, text: str, reason: RejectReason = RejectReason.BAD_REQUEST) -> None:
        super().__init__(text)
        self.status = status
        self.reason = reason


def path_of(head: Head) -> bytes:
    """Return the path of the request target, undecoded and without its query."""
    return head.target.partition(b"?")[0]


def check_framing(head: h11.Request) -> None:
    """Reject a head whose body another parser could end elsewhere. Raises BadRequest.

    What this parser takes for a body, another could take for the next request: request smuggling (RFC 9112,
    6.1 and 11.2). h11 accepts both of these forms.
    """
    items = list(head.headers)
    chunked = any(name == b"transfer-encoding" for name, _ in items)
    lengths = [int(value) for name, value in items if name == b"content-length"]
    if chunked and (lengths or head.http_version != b"1.1"):
        raise BadRequest(400, "the length of the body is ambiguous")
    if head.method == b"GET" and (chunked or any(lengths)):
        raise BadRequest(400, "a GET here has no body")


def parse_call(head: Head, classes: Classes) -> Call:
    """Build the call that the module decides on and that is forwarded to a backend.

    Raises BadRequest if the request does not fit its class or lacks a required header.
    """
    if head.method not in (b"GET", b"POST"):
        raise BadRequest(405, "the method is neither GET nor POST")
    values = _header_values(head)
    path, _, query = head.target.partition(b"?")
    whole_path = path.decode("ascii")
    if "%" in whole_path:
        whole_path = unquote(whole_path)
    class_name = whole_path.removeprefix("/").partition("/")[0]
    cls = classes.request_class(class_name)
    if not path.startswith(b"/") or cls is None:
        raise BadRequest(404, "the path names no class of request")
    if values.get(b"host") is None:
        raise BadRequest(400, "Host is missing")  # optional in HTTP/1.0; the forwarded request is HTTP/1.1
    client_id = values.get(b"x-call-id") or b""
    if not TOKEN.fullmatch(client_id):
        raise BadRequest(400, "X-Call-Id is missing or unreadable")
    budget = BUDGET.fullmatch(values.get(b"x-budget") or b"")
    if budget is None:
        raise BadRequest(400, "X-Budget is missing or unreadable")
    _check_effect(head.method, values, cls)
    cost = values.get(b"x-call-cost") or b""
    return Call(
        client_id=client_id,
        class_name=class_name,
        # An unbounded budget would keep the request, its body and its attempts for as long.
        budget_us=min(int(float(budget[1]) * BUDGET_UNITS_US[budget[2]]), cls.deadline_us),
        payload=Payload(
            head.method,
            head.target,
            [(name, value) for name, value in end_to_end(head.headers) if name != b"x-budget"],
        ),
        key=_first_key(query),
        tenant=(values.get(b"x-caller") or b"").decode("latin-1"),
        cost_hint_us=int(cost) if cost.isdigit() and len(cost) <= 12 else 0,
        is_retry=values.get(b"x-again") == b"1",
        repeatable=cls.effect is not Effect.UNSAFE,
        has_effect=cls.effect is not Effect.SAFE,
    )


def _first_key(query: bytes) -> str:
    """Return the first value of `k` that is not empty."""
    if not query:
        return ""
    if b"%" in query or b"+" in query:
        return parse_qs(query.decode("ascii")).get("k", [""])[0]
    for pair in query.split(b"&"):
        if pair[:2] == b"k=" and len(pair) > 2:
            return pair[2:].decode("ascii")
    return ""


def _check_effect(method: bytes, values: Mapping[bytes, bytes | None], cls: RequestClass) -> None:
    """Check that method and idempotency key fit the class. Raises BadRequest.

    A keyed request without its key would be repeated like one whose repeats are deduplicated, and would run
    twice.
    """
    if (method == b"GET") != (cls.effect is Effect.SAFE):
        raise BadRequest(405, "the method is not that of the class")
    keyed = TOKEN.fullmatch(values.get(b"idempotency-key") or b"") is not None
    if keyed != (cls.effect is Effect.KEYED):
        raise BadRequest(400, "Idempotency-Key is missing, unreadable or out of place")


def _header_values(head: Head) -> dict[bytes, bytes | None]:
    """Return the value of each header, None for one that occurs more than once.

    Built once, because iterating over the header list of h11 is slow.
    """
    values: dict[bytes, bytes | None] = {}
    for name, value in head.headers:
        values[name] = None if name in values else value
    return values
