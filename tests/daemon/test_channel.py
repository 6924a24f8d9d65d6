"""Messages of any size up to the limit arrive; one that its sender could still change is refused."""

from __future__ import annotations

import array
import asyncio
import os
import socket
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.daemon.adopting import receive_within
from sorrelfront.daemon.channel import (
    MAX_MESSAGE_BYTES,
    MAX_PACKET_BYTES,
    BadMessage,
    receive,
    send,
    socket_pair,
)


@pytest.mark.parametrize(
    "size", [0, MAX_PACKET_BYTES - 100, MAX_PACKET_BYTES + 1, 4 * 1024 * 1024, MAX_MESSAGE_BYTES - 100]
)
def test_a_message_and_its_descriptors_arrive_whatever_its_size(size: int) -> None:
    ours, theirs = socket_pair()
    before = len(os.listdir("/proc/self/fd"))
    with ours, theirs, socket.create_server(("127.0.0.1", 0)) as sock:
        assert send(ours, {"op": "x", "text": "t" * size}, [sock.fileno()])
        got = receive(theirs)
        assert got is not None and got[0] == {"op": "x", "text": "t" * size}
        (descriptor,) = got[1]
        with socket.socket(fileno=descriptor) as copy:
            assert copy.getsockname() == sock.getsockname()
        assert len(os.listdir("/proc/self/fd")) == before + 1  # the listening socket
    with pytest.raises(ValueError, match="bytes"):
        send(ours, {"text": "t" * MAX_MESSAGE_BYTES})


def refused(data: bytes, descriptors: list[int]) -> None:
    """Send a packet in place of a sealed message: it is refused, and no descriptor is left open."""
    ours, theirs = socket_pair()
    with ours, theirs:
        before = len(os.listdir("/proc/self/fd"))
        rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))
        ours.sendmsg([data], [rights] if descriptors else [])
        with pytest.raises(BadMessage):
            receive(theirs)
        assert len(os.listdir("/proc/self/fd")) == before


def test_a_descriptor_that_is_not_sealed_or_not_memory_is_refused() -> None:
    memory = os.memfd_create("m", os.MFD_ALLOW_SEALING)
    os.write(memory, b"{}")
    reader, writer = os.pipe()
    try:
        message = b'{"op":"sealed","bytes":2}'
        refused(message, [memory])
        refused(message, [reader])
        refused(message, [])
        refused(b'{"op":"sealed","bytes":%d}' % (MAX_MESSAGE_BYTES + 1), [memory])
        refused(b'{"op":"sealed"}', [memory])
        refused(b"[]", [memory, reader])
    finally:
        for descriptor in (memory, reader, writer):
            os.close(descriptor)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(min_size=1, max_size=200))
def test_any_packet_is_a_message_or_refused(data: bytes) -> None:
    ours, theirs = socket_pair()
    with ours, theirs:
        ours.send(data)
        try:
            got = receive(theirs)
        except BadMessage:
            return
        assert got is not None and isinstance(got[0], dict) and not got[1]


def test_a_pause_of_this_process_does_not_use_up_the_timeout() -> None:
    """On a suspended host the peer is stopped too: it must not be killed before it can answer."""

    async def play() -> None:
        ours, theirs = socket_pair()
        with ours, theirs:
            waiting = asyncio.create_task(receive_within(ours, 0.5))
            await asyncio.sleep(0)
            time.sleep(0.7)  # the fault: this process is stopped, and its peer as well
            await asyncio.sleep(0.05)
            assert send(theirs, {"op": "hello"})
            assert await waiting == ({"op": "hello"}, [])
            with pytest.raises(TimeoutError):
                await receive_within(ours, 0.05)
            theirs.close()
            assert await receive_within(ours, 0.5) is None

    asyncio.run(play())
