"""Peers that take what is sent to them slowly, or not at all."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sorrelfront.net.http import Wire
from tests.loopback import WAIT_TIMEOUT_S, async_test

SMALL_BUFFER_BYTES = 8_192
SEGMENT_BYTES = 1_448  # as on an Ethernet


def connection() -> tuple[Wire, socket.socket]:
    """Return a connection whose kernels hold little, and its other end."""
    with socket.socket() as listening:
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        peer.connect(listening.getsockname())
        own, _ = listening.accept()
    own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 * SMALL_BUFFER_BYTES)
    for sock in (own, peer):
        sock.setblocking(False)
    return Wire(own), peer


# Guards against a sound client that is cut off since it reads slower than 64 KiB in the time of a stall.
@async_test
async def test_a_peer_that_reads_slowly_is_waited_for() -> None:
    wire, peer = connection()
    count = 0

    async def read_slowly() -> None:
        nonlocal count
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(peer, 2_048):
            count += len(data)
            await asyncio.sleep(0.1)

    reading = asyncio.create_task(read_slowly())
    await asyncio.wait_for(wire.send(bytes(180_000), stall_s=1.0), WAIT_TIMEOUT_S)
    wire.shutdown(socket.SHUT_WR)
    reading.cancel()
    assert count > 40_000, "it was meant to wait for the peer"
    wire.close()
    peer.close()


@async_test
async def test_a_peer_that_reads_nothing_has_stalled() -> None:
    wire, peer = connection()
    with pytest.raises(TimeoutError):
        await wire.send(bytes(1_000_000), stall_s=0.1)
    wire.close()
    peer.close()
