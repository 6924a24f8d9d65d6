"""Heads of plain HTTP/1.1 messages, parsed by llhttp (httptools) and checked here. No I/O.

A message is plain if its head has the form that clients and servers use in practice, and the length of its
body is given once, in digits. A message that is not plain is not an error: it is left to h11, which checks it
strictly. So what this module accepts is a subset of what h11 accepts, with the same meaning. A differential
test checks that.

References: RFC 9112, 2 to 6; RFC 9110, 5 and 8.6.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import httptools

from sorrelfront.messages import Headers

MAX_HEAD_BYTES = 16_384  # bytes; usual heads have hundreds, and a hostile one has no end
# Header fields of a message; usual ones have ten. Each takes some 200 bytes of memory, however short it is.
MAX_FIELDS = 256
MIN_FIELD_BYTES = 3  # of a field, with a name of one byte and the least end of its line
SHORT_HEAD_BYTES = MAX_FIELDS * MIN_FIELD_BYTES  # no head of up to so many bytes has too many fields
HEAD_END = re.compile(rb"\n\r?\n")  # as h11 finds it; a plain head ends with CR LF CR LF
TARGET = re.compile(rb"[!-~]+")
LENGTH = re.compile(rb"[0-9]{1,9}")
ALLOWED_BYTES = bytes(byte for byte in range(256) if byte >= 0x20 and byte != 0x7F) + b"\t\r\n"
# A message with one of these headers is not plain.
NOT_PLAIN_HEADERS = frozenset((b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"))


class RequestHead(NamedTuple):
    """The head of a plain request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    length: int
    last: bool  # the client closes the connection after this request


class AnswerHead(NamedTuple):
    """The head of a plain answer; header names are in lower case."""

    status: int
    headers: Headers
    length: int
    last: bool  # the server closes the connection after this answer


class _HeadCollector:
    """Collects target and headers from the callbacks of llhttp."""

    __slots__ = ("headers", "target")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, its name in lower case and its value without surrounding blanks."""
        self.headers.append((name.lower(), value.strip(b" \t")))


def _has_plain_lines(head: bytes) -> bool:
    """Return whether each line ends with CR LF, none is folded, and there are no control characters.

    Two parsers that treat such a line differently would see different messages.
    """
    lines = head.count(b"\r\n")
    return (
        lines == head.count(b"\n") == head.count(b"\r")
        and b"\r\n " not in head
        and b"\r\n\t" not in head
        and head.find(b"\r\n\r\n") == len(head) - 4
        and not head.translate(None, ALLOWED_BYTES)
    )


def count_fields(head: bytes) -> int:
    """Return how many fields a head has that begins with its start line and ends with the empty line."""
    return head.count(b"\n") - 2


def has_too_many_fields(head: bytes) -> bool:
    """Return whether a head has more than MAX_FIELDS fields."""
    return count_fields(head) > MAX_FIELDS


def _parse_framing(headers: Headers) -> tuple[int | None, bool] | None:
    """Return the length, if one is given, and whether the connection ends; None if this is not plain."""
    length: int | None = None
    last = False
    hosts = 0
    for name, value in headers:
        if name in NOT_PLAIN_HEADERS:
            return None
        if name == b"content-length":
            if length is not None or LENGTH.fullmatch(value) is None:
                return None
            length = int(value)
        elif name == b"connection":
            for option in value.lower().split(b","):
                word = option.strip()
                if word == b"close":
                    last = True
                elif word != b"keep-alive":
                    return None
        elif name == b"host":
            hosts += 1
    if hosts > 1:
        return None
    return length, last


def request_head(head: bytes) -> RequestHead | None:
    """Parse the head of a request, which ends with an empty line. Returns None if it is not plain."""
    if len(head) > SHORT_HEAD_BYTES and (len(head) > MAX_HEAD_BYTES or has_too_many_fields(head)):
        return None
    if not _has_plain_lines(head):
        return None
    collector = _HeadCollector()
    parser = httptools.HttpRequestParser(collector)
    try:
        parser.feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    method = parser.get_method()
    framing = _parse_framing(collector.headers)
    if framing is None or parser.get_http_version() != "1.1" or method not in (b"GET", b"POST"):
        return None
    # llhttp splits some targets that h11 takes whole, and the other way round.
    start = b"%s %s HTTP/1.1\r\n" % (method, collector.target)
    if TARGET.fullmatch(collector.target) is None or not head.startswith(start):
        return None
    length, last = framing
    if (method == b"GET" and length) or not any(name == b"host" for name, _ in collector.headers):
        return None
    return RequestHead(method, collector.target, collector.headers, length or 0, last)


def answer_head(head: bytes) -> AnswerHead | None:
    """Parse the head of an answer, which ends with an empty line. Returns None if it is not plain.

    An answer that does not give its length, or has no body because of its status, is not plain.
    """
    if len(head) > MAX_HEAD_BYTES or not _has_plain_lines(head) or not head.startswith(b"HTTP/1.1 "):
        return None
    collector = _HeadCollector()
    parser = httptools.HttpResponseParser(collector)
    try:
        parser.feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    status = parser.get_status_code()
    framing = _parse_framing(collector.headers)
    if framing is None or framing[0] is None or not (status == 200 or 400 <= status <= 599):
        return None
    # h11 requires a status of three digits and something after it, if only a blank.
    if head[9:12] != b"%d" % status or head[12:13] not in (b" ", b"\r"):
        return None
    return AnswerHead(status, collector.headers, framing[0], framing[1])


def frame_message(start: bytes, headers: Headers, body: bytes | bytearray) -> bytes:
    """Return a whole message as bytes: start line, headers and body.

    `headers` are not checked: they come from a message that was accepted, or from this program.
    """
    parts: list[bytes | bytearray] = [start]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)
