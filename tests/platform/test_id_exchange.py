"""The exchange of request ids between two versions, over a connection whose queue may be full."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from sorrelfront.decisions.request_ids import RequestIds
from sorrelfront.platform.id_exchange import MAX_MESSAGE_BYTES, IdExchange
from tests.loopback import async_test, until

LONGEST_ID = b"n" * 120


def channels() -> tuple[socket.socket, socket.socket]:
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


@async_test
async def test_all_ids_arrive_although_the_other_version_reads_late() -> None:
    """Guards against ids that are lost, and then run twice, when the connection's queue is full."""
    near, far = channels()
    with near, far:
        ids, others = RequestIds(40_000), RequestIds(40_000)
        names = [b"%b%06d" % (LONGEST_ID, number) for number in range(20_000)]
        for name in names[:10_000]:
            ids.claim(name)
        exchange = IdExchange(near, ids, lambda message: None)
        for name in names[10_000:]:
            assert ids.claim(name)
        assert exchange._unsent, "the queue was meant to be full"
        other = IdExchange(far, others, lambda message: None)
        await until(lambda: len(others) == len(names))
        assert all(others.known(name) for name in names) and not exchange._unsent
        assert not any(others.claim(name) for name in names)
        exchange.close()
        other.close()


@async_test
async def test_what_was_told_is_known_before_the_event_loop_runs() -> None:
    """Guards against two requests with one id that both versions take in the same moment."""
    near, far = channels()
    with near, far:
        ids, others = RequestIds(10), RequestIds(10)
        exchanges = [
            IdExchange(near, ids, lambda message: None),
            IdExchange(far, others, lambda message: None),
        ]
        assert ids.claim(b"one") and not others.claim(b"one")
        assert others.claim(b"two") and ids.known(b"two")
        for exchange in exchanges:
            exchange.close()


@pytest.mark.parametrize("noise", [b"[", b"{}", b'{"ids": ["x"]}', b"ids", b"\xff" * 4_000])
@async_test
async def test_messages_that_are_no_ids_are_left_to_the_caller_or_ignored(noise: bytes) -> None:
    near, far = channels()
    messages: list[dict[str, Any] | None] = []
    with near:
        ids = RequestIds(10)
        IdExchange(near, ids, messages.append)
        far.send(noise)
        far.send(b'{"ready": true}')
        far.send(b"ids a c")
        await until(lambda: {"ready": True} in messages and ids.known(b"a"))
        assert len(ids) == 2
        far.close()
        await until(lambda: None in messages)
        assert ids.claim(b"b") and messages.count(None) == 1


@async_test
async def test_a_message_is_never_longer_than_the_other_version_reads() -> None:
    near, far = channels()
    with near, far:
        ids = RequestIds(1_000)
        for number in range(400):
            ids.claim(b'%b\\"%05d' % (LONGEST_ID[: number % 100], number))
        exchange = IdExchange(near, ids, lambda message: None)
        far.setblocking(False)
        sizes = []
        with pytest.raises(BlockingIOError):
            while True:
                sizes.append(len(far.recv(1 << 20)))
        assert sizes and max(sizes) <= MAX_MESSAGE_BYTES
        exchange.close()
