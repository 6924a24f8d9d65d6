"""Heads of plain HTTP/1.1 messages, parsed by llhttp (httptools) and judged here. No I/O.

A message is plain if its head is written as clients and servers write it in practice, and its body's length
is said once, in figures. Whatever is not plain is no fault: it is left to h11, which judges it as strictly as
ever. So what this module accepts is a part of what h11 accepts, with the same meaning; the differential
test holds it to that.

Sources: RFC 9112, 2 to 6; RFC 9110, 5 and 8.6.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import httptools

from sorrelfront.messages import Headers

HEAD_MOST = 16_384  # bytes of a head: heads here have hundreds of bytes, a flood has no end
HEAD_END = re.compile(rb"\n\r?\n")  # as h11 looks for it; a plain head ends with CR LF CR LF
TARGET = re.compile(rb"[!-~]+")
LENGTH = re.compile(rb"[0-9]{1,9}")
TEXT = bytes(byte for byte in range(256) if byte >= 0x20 and byte != 0x7F) + b"\t\r\n"
# A message with one of these is not plain.
NEVER = frozenset((b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"))


class RequestHead(NamedTuple):
    """A plain request's head; the names of its headers are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    length: int
    last: bool  # the client closes the connection after it


class AnswerHead(NamedTuple):
    """A plain answer's head; the names of its headers are in lower case."""

    status: int
    headers: Headers
    length: int
    last: bool  # the server closes the connection after it


class _Collected:
    """What llhttp calls back with."""

    __slots__ = ("headers", "target")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.target = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value.strip(b" \t")))


def _written_plainly(head: bytes) -> bool:
    """Whether each line ends with CR LF, none goes on in the next, and there are no control characters.
    Risk: two readers that take such a line differently see different messages."""
    lines = head.count(b"\r\n")
    return (
        lines == head.count(b"\n") == head.count(b"\r")
        and b"\r\n " not in head
        and b"\r\n\t" not in head
        and head.find(b"\r\n\r\n") == len(head) - 4
        and not head.translate(None, TEXT)
    )


def _judged(headers: Headers) -> tuple[int | None, bool] | None:
    """Length, if one is said, and whether the connection ends; None if this is not plain."""
    length: int | None = None
    last = False
    hosts = 0
    for name, value in headers:
        if name in NEVER:
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
    """The head, which ends with an empty line; None if it is not plain."""
    if len(head) > HEAD_MOST or not _written_plainly(head):
        return None
    found = _Collected()
    parser = httptools.HttpRequestParser(found)
    try:
        parser.feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    method = parser.get_method()
    judged = _judged(found.headers)
    if judged is None or parser.get_http_version() != "1.1" or method not in (b"GET", b"POST"):
        return None
    # llhttp takes some targets apart that h11 takes whole, and the other way round.
    start = b"%s %s HTTP/1.1\r\n" % (method, found.target)
    if TARGET.fullmatch(found.target) is None or not head.startswith(start):
        return None
    length, last = judged
    if (method == b"GET" and length) or not any(name == b"host" for name, _ in found.headers):
        return None
    return RequestHead(method, found.target, found.headers, length or 0, last)


def answer_head(head: bytes) -> AnswerHead | None:
    """The head, which ends with an empty line; None if it is not plain. An answer that does not say its
    length, or has none by its status, is not plain."""
    if len(head) > HEAD_MOST or not _written_plainly(head) or not head.startswith(b"HTTP/1.1 "):
        return None
    found = _Collected()
    parser = httptools.HttpResponseParser(found)
    try:
        parser.feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    status = parser.get_status_code()
    judged = _judged(found.headers)
    if judged is None or judged[0] is None or not (status == 200 or 400 <= status <= 599):
        return None
    # h11 wants the status in three figures and something behind it, if only a blank.
    if head[9:12] != b"%d" % status or head[12:13] not in (b" ", b"\r"):
        return None
    return AnswerHead(status, found.headers, judged[0], judged[1])


def framed(start: bytes, headers: Headers, body: bytes | bytearray) -> bytes:
    """A message on the wire, in one piece. `headers` were read from a message that was accepted, or are
    ours."""
    parts: list[bytes | bytearray] = [start]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    parts.append(body)
    return b"".join(parts)
