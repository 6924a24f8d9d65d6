"""However a stream ends, its descriptor is closed and no unretrieved exception is logged."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
from typing import Any

import pytest

from sorrelfront.net import streams
from sorrelfront.net.streams import close_stream
from tests.loopback import until

LARGE = b"x" * 8_000_000  # more than the kernel buffers for a peer that reads nothing


async def accepted() -> tuple[asyncio.StreamWriter, socket.socket]:
    """Return one end as a stream, the other as a plain socket."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        _, writer = await asyncio.open_connection(*listening.getsockname())
        peer, _ = listening.accept()
    return writer, peer


def is_closed(writer: asyncio.StreamWriter) -> bool:
    return bool(writer.get_extra_info("socket").fileno() == -1)


def test_a_peer_that_reads_nothing_keeps_no_descriptor_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "CLOSE_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        writer, peer = await accepted()
        with peer:
            writer.write(LARGE)
            await close_stream(writer)
            await until(lambda: is_closed(writer))

    asyncio.run(scenario())


def test_unsent_data_reaches_a_peer_that_reads() -> None:
    async def scenario() -> None:
        writer, peer = await accepted()
        peer.setblocking(False)
        with peer:
            writer.write(LARGE)
            ending = asyncio.create_task(close_stream(writer))
            got = 0
            while data := await asyncio.get_running_loop().sock_recv(peer, 1_000_000):
                got += len(data)
            assert got == len(LARGE)
            await ending
            assert is_closed(writer)

    asyncio.run(scenario())


@pytest.mark.parametrize("abort", [False, True])
def test_a_cancelled_or_aborted_close_drops_unsent_data(abort: bool) -> None:
    async def scenario() -> None:
        writer, peer = await accepted()
        with peer:
            writer.write(LARGE)
            ending = asyncio.create_task(close_stream(writer, abort))
            await asyncio.sleep(0)
            if not abort:
                assert not is_closed(writer)
                ending.cancel()
            await asyncio.wait([ending])
            await until(lambda: is_closed(writer))

    asyncio.run(scenario())


@pytest.mark.parametrize("how", ["reset", "closed"])
def test_a_peer_that_has_gone_raises_and_logs_nothing(how: str) -> None:
    reported: list[dict[str, Any]] = []

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: reported.append(context))
        writer, peer = await accepted()
        if how == "reset":
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            writer.write(b"unread")  # a close with unread data is a reset as well
        peer.close()
        for _ in range(3):
            writer.write(LARGE)
            await asyncio.sleep(0)
        await close_stream(writer)
        assert is_closed(writer)
        del writer
        gc.collect()

    asyncio.run(scenario())
    assert not reported
