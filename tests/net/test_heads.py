"""Differential tests of the plain parser against h11, with generated, mutated and hostile heads.

What it accepts is a subset of what h11 accepts, with the same meaning. What it writes is what h11 writes.
"""

from __future__ import annotations

import random

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.net.heads import MAX_HEAD_BYTES, answer_head, frame_message, request_head

REQUEST = (
    b"POST /book/1?k=v HTTP/1.1\r\nHost: a.example\r\nX-Call-Id: r1\r\nX-Budget: 2000m\r\n"
    b"Idempotency-Key: k1\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 5\r\nX-Rejected: 1\r\n"
    b"Connection: close\r\n\r\n"
)
NAMES = st.sampled_from(
    [b"Host", b"host", b"X-A", b"Content-Length", b"content-length", b"Connection", b"Transfer-Encoding",
    b"Expect",
     b"Upgrade", b"X A", b"", b"X:", b" X", b"X\t", b"\xe9", b"(x)", b"X-Budget", b"Trailer", b"TE",
     b"Keep-Alive"]
)  # fmt: skip
VALUES = st.one_of(
    st.sampled_from(
        [b"a", b"", b" ", b"5", b"05", b"+5", b"5, 5", b"5,6", b"0x5", b"99999999999", b"close",
        b"Keep-Alive",
         b"close, keep-alive", b"upgrade", b"x-a", b"chunked", b"identity", b"100-continue", b"a\tb",
         b"a\x00",
         b"a\rb", b"a\nb", b"a\x7f", b"a\x0bb", b"\xff", b" a ", b"\ta\t", b"h2c"]
    ),
    st.binary(max_size=6),
)  # fmt: skip
SEPARATORS = st.sampled_from([b": "] * 8 + [b":", b" : ", b":\t", b" "])
ENDS = st.sampled_from([b"\r\n"] * 12 + [b"\n", b"\r", b"\r\n ", b"\r\r\n"])
LINES = st.lists(st.tuples(NAMES, SEPARATORS, VALUES, ENDS).map(b"".join), max_size=6).map(b"".join)
STARTS = st.sampled_from(
    [b"GET /look?k=1 HTTP/1.1\r\nHost: a\r\n", b"POST /pay HTTP/1.1\r\nHost: a\r\n", b"GET / HTTP/1.1\r\n",
     b"GET / HTTP/1.0\r\nHost: a\r\n", b"GET  / HTTP/1.1\r\nHost: a\r\n", b"get / HTTP/1.1\r\nHost: a\r\n",
     b"GET /a b HTTP/1.1\r\nHost: a\r\n", b"GET /\xe9 HTTP/1.1\r\nHost: a\r\n",
     b"GET / HTTP/1.2\r\nHost: a\r\n",
     b"GET http://b/x HTTP/1.1\r\nHost: a\r\n", b"GET /# HTTP/1.1\r\nHost: a\r\n",
     b"PUT / HTTP/1.1\r\nHost: a\r\n",
     b"GET / HTTP/1.1 \r\nHost: a\r\n", b"PRI * HTTP/2.0\r\n", b"GET * HTTP/1.1\r\nHost: a\r\n",
     b"POST /x\x7f HTTP/1.1\r\nHost: a\r\n", b"GET / HTTP/1.1\nHost: a\r\n",
     b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n"]
)  # fmt: skip
STATUSES = st.sampled_from(
    [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200\r\n", b"HTTP/1.1 200 \r\n", b"HTTP/1.1 503 No\r\n",
    b"HTTP/1.0 200 OK\r\n",
     b"HTTP/1.1 2000 OK\r\n", b"HTTP/1.1 20 OK\r\n", b"HTTP/1.1 100 C\r\n", b"HTTP/1.1 204 N\r\n",
     b"HTTP/1.1  200 O\r\n",
     b"HTTP/1.1 200 \xe9\r\n", b"HTTP/1.1 999 X\r\n", b"http/1.1 200 OK\r\n", b"HTTP/1.1 404 a\tb\r\n",
     b"\r\n"]
)  # fmt: skip


def h11_request(head: bytes, length: int) -> tuple[h11.Request, bytes, bool]:
    """Return what h11 parses from the head and a body of this length. Raises the errors of h11."""
    parser = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
    parser.receive_data(head + b"b" * length)
    request = parser.next_event()
    assert isinstance(request, h11.Request)
    body = b""
    while isinstance(event := parser.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage), event
    assert not parser.trailing_data[0]
    return request, body, parser.their_state is h11.MUST_CLOSE


def h11_answer(head: bytes, length: int) -> tuple[h11.Response, bytes, bool]:
    parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
    parser.send(h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(head + b"b" * length)
    response = parser.next_event()
    assert isinstance(response, h11.Response), response
    body = b""
    while isinstance(event := parser.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage), event
    assert not parser.trailing_data[0]
    return response, body, parser.their_state is not h11.DONE


def same_request(head: bytes) -> bool:
    """Return whether the plain parser accepts the head; then h11 must read the same."""
    plain = request_head(head)
    if plain is None:
        return False
    length = min(plain.length, 70_000)
    if plain.length != length:
        head = head.replace(b"%d" % plain.length, b"%d" % length)
        plain = request_head(head)
        assert plain is not None
    request, body, last = h11_request(head, length)
    assert (plain.method, plain.target, plain.last) == (request.method, request.target, last)
    assert plain.headers == list(request.headers) and len(body) == plain.length
    return True


def same_answer(head: bytes) -> bool:
    plain = answer_head(head)
    if plain is None:
        return False
    if plain.length > 70_000:
        return True
    response, body, last = h11_answer(head, plain.length)
    assert (plain.status, plain.last) == (response.status_code, last)
    assert plain.headers == list(response.headers) and len(body) == plain.length
    return True


def test_usual_messages_are_plain() -> None:
    assert same_request(REQUEST) and same_answer(ANSWER)
    assert same_request(b"GET /look?k=1 HTTP/1.1\r\nhost: a\r\nX-Empty:\r\n\r\n")
    assert same_answer(b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize(
    "line",
    [b"Transfer-Encoding: chunked", b"Content-Length: 5", b"Content-Length: 5, 5", b"Host: b",
    b"Expect: 100-continue",
     b"Upgrade: h2c", b"Connection: upgrade", b"X: a\x00", b"X : a", b" X: a", b"X: a\n", b"TE: trailers"],
)  # fmt: skip
def test_an_ambiguous_message_is_left_to_h11(line: bytes) -> None:
    for whole, parse in ((REQUEST, request_head), (ANSWER, answer_head)):
        if parse is answer_head and line.startswith(b"Host"):
            continue
        assert parse(whole) is not None
        assert parse(whole.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n")) is None


@settings(derandomize=True, deadline=None, max_examples=1_500)
@given(STARTS, LINES)
def test_no_request_is_accepted_that_h11_rejects_or_reads_differently(start: bytes, lines: bytes) -> None:
    same_request(start + lines + b"\r\n")


@settings(derandomize=True, deadline=None, max_examples=1_500)
@given(STATUSES, LINES)
def test_no_answer_is_accepted_that_h11_rejects_or_reads_differently(start: bytes, lines: bytes) -> None:
    same_answer(start + lines + b"\r\n")
    same_answer(start + b"Content-Length: 5\r\n" + lines + b"\r\n")


def test_no_mutated_message_is_accepted_that_h11_rejects_or_reads_differently() -> None:
    """Each byte replaced by many others, removed or doubled; and pieces moved or removed."""
    rng = random.Random(7)
    odd = [*range(0x21), 0x22, 0x2C, 0x3A, 0x3B, 0x5C, 0x7F, 0x80, 0xA0, 0xFF, 0x30, 0x39, 0x61, 0x5A]
    accepted = 0
    for whole, same in ((REQUEST, same_request), (ANSWER, same_answer)):
        for at in range(len(whole)):
            for byte in odd:
                accepted += same(whole[:at] + bytes([byte]) + whole[at + 1 :])
            accepted += same(whole[:at] + whole[at + 1 :])
            accepted += same(whole[:at] + whole[at : at + 1] + whole[at:])
        for _ in range(2_000):
            one, two = sorted(rng.sample(range(len(whole)), 2))
            three = rng.randrange(len(whole))
            accepted += same(whole[:three] + whole[one:two] + whole[three:])
            accepted += same(whole[:one] + whole[two:])
    assert accepted > 2_000  # most letters may be replaced


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.tuples(st.from_regex(rb"[a-z][a-z-]{0,8}", fullmatch=True), st.from_regex(rb"[!-~]{1,9}",
    fullmatch=True)),
             max_size=5),
    st.binary(max_size=40),
)  # fmt: skip
def test_messages_are_framed_as_h11_frames_them(headers: list[tuple[bytes, bytes]], body: bytes) -> None:
    reserved = (b"connection", b"content-length", b"transfer-encoding", b"host", b"expect")
    headers = [item for item in headers if item[0] not in reserved]
    headers.append((b"Content-Length", b"%d" % len(body)))
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    parser.next_event()
    events = (h11.Response(status_code=200, headers=headers), h11.Data(data=body), h11.EndOfMessage())
    whole = b"".join(parser.send(event) or b"" for event in events)
    assert frame_message(b"HTTP/1.1 200 \r\n", headers, body) == whole
