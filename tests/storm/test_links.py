"""Relays between hosts: what passes, what does not, and what each side is left to believe."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import struct
import sys
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import numpy as np
import pytest

from sorrelfront.lab.http1 import PATIENCE_S, Backend, answer, connect, request
from sorrelfront.lab.storm.links import HELD_MOST, Network, TcpRelay, UdpRelay
from tests.loopback import looped, until

BOTH = [("a", "b"), ("b", "a")]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]


class Way:
    """A service, a relay before it, and the network that they are on."""

    def __init__(self, network: Network, relay: TcpRelay) -> None:
        self.network = network
        self.relay = relay

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.relay.address)

    async def answers(self, sock: socket.socket) -> bool:
        """Whether a connection is made soon: a cut link leaves its first packet unanswered."""
        sock.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, self.relay.address), 0.3)
        except TimeoutError:
            return False
        return True


@contextlib.asynccontextmanager
async def way(serve: Serve) -> AsyncIterator[Way]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1_024)
    network = Network(np.random.default_rng(1))
    relay = TcpRelay(network, "a", "b", server.sockets[0].getsockname())
    try:
        yield Way(network, relay)
    finally:
        network.close()
        server.close()


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()


@looped
async def test_bytes_pass_and_both_ends_are_closed() -> None:
    async with way(echo) as there:
        reader, writer = await there.open()
        writer.write(b"x" * 1_000_000)
        writer.write_eof()  # a half-close: what comes back still passes
        got = await asyncio.wait_for(reader.read(-1), PATIENCE_S)
        assert len(got) == 1_000_000
        writer.close()
        await until(lambda: there.relay.open == 0)
        assert not there.network.places
        assert there.network.figures()["relayed"] > 0


@looped
async def test_both_sides_end_at_once() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.read(1)

    async with way(take) as there:
        for _ in range(50):
            _, writer = await there.open()
            await until(lambda: bool(writers))
            writer.close()
            writers.pop().close()
        await until(lambda: there.relay.open == 0)


@looped
async def test_a_reset_reaches_the_other_side_as_one_with_bytes_still_queued() -> None:
    ended: list[str] = []

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.read(10):
                await asyncio.sleep(0)
            ended.append("closed")
        except ConnectionResetError:
            ended.append("reset")
        finally:
            writer.close()

    async with way(take) as there:
        there.network.change(BOTH, rate=50_000)
        _, writer = await there.open()
        writer.write(b"y" * 30_000)
        sock = writer.get_extra_info("socket")
        await until(lambda: there.relay.open == 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        there.network.change(BOTH, rate=0.0)
        await until(lambda: ended == ["reset"])
        await until(lambda: there.relay.open == 0)


@looped
async def test_a_cut_holds_what_was_sent_and_leaves_new_connections_unanswered() -> None:
    async with way(echo) as there:
        reader, writer = await there.open()
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        there.network.change(BOTH, cut=True)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.2)
        with socket.socket() as late:
            assert not await there.answers(late)
            there.network.change(BOTH, cut=False)
            assert await asyncio.wait_for(reader.readexactly(3), PATIENCE_S) == b"two"
            # The kernel repeats the first packet, as it would on a real link that is whole again.
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(late, there.relay.address), PATIENCE_S
            )
        writer.close()
        await until(lambda: there.relay.open == 0)


@looped
async def test_one_way_only() -> None:
    heard: list[bytes] = []

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                heard.append(data)
                writer.write(data)
        writer.close()

    async with way(take) as there:
        reader, writer = await there.open()
        writer.write(b"1")
        assert await reader.readexactly(1) == b"1"
        there.network.change([("b", "a")], cut=True)
        writer.write(b"2")
        await until(lambda: heard[-1] == b"2")  # it is heard, and its answer does not come back
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.1)
        writer.close()


@looped
async def test_a_cut_sender_waits_once_the_relay_holds_enough() -> None:
    async with way(echo) as there:
        _, writer = await there.open()
        await until(lambda: there.relay.open == 1)
        there.network.change(BOTH, cut=True)
        writer.write(b"z" * 50_000_000)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(writer.drain(), 0.3)
        (pair,) = there.relay._pairs
        assert pair.near.held <= HELD_MOST + 262_144  # what one read brings comes on top
        writer.transport.abort()


@looped
async def test_refused_reset_and_forgotten() -> None:
    async with way(echo) as there:
        reader, writer = await there.open()
        writer.write(b"a")
        await reader.readexactly(1)
        there.network.change(BOTH, refuse=True)
        with pytest.raises(ConnectionRefusedError):
            await there.open()
        writer.write(b"b")
        assert await reader.readexactly(1) == b"b"  # what is open goes on
        there.network.change(BOTH, refuse=False)
        assert there.network.reset(BOTH) == 1
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), PATIENCE_S)

        reader, writer = await there.open()
        writer.write(b"c")
        await reader.readexactly(1)
        assert there.network.forget(BOTH) == 1
        writer.write(b"d")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.2)
        fresh, other = await there.open()  # new ones are well
        other.write(b"e")
        assert await asyncio.wait_for(fresh.readexactly(1), PATIENCE_S) == b"e"
        writer.close()
        other.close()


@looped
async def test_a_delay_keeps_the_order_of_bytes() -> None:
    async with way(echo) as there:
        there.network.change(BOTH, delay=0.002, spread=0.02)
        reader, writer = await there.open()
        sent = b"".join(b"%06d" % number for number in range(500))
        for at in range(0, len(sent), 100):
            writer.write(sent[at : at + 100])
            await asyncio.sleep(0)
        assert await asyncio.wait_for(reader.readexactly(len(sent)), PATIENCE_S) == sent
        writer.close()


ECHO = """
import asyncio, resource
_, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
async def echo(reader, writer):
    try:
        while data := await reader.read(1000):
            writer.write(data)
    except OSError:
        pass
    writer.close()
async def main():
    server = await asyncio.start_server(echo, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()
asyncio.run(main())
"""


@looped
async def test_five_thousand_connections_through_one_pair() -> None:
    """The service is a process of its own, for the sake of descriptors: three of each connection are here."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    count = min(5_000, (hard - 500) // 3)
    service = await asyncio.create_subprocess_exec(sys.executable, "-c", ECHO, stdout=asyncio.subprocess.PIPE)
    assert service.stdout is not None
    try:
        port = int(await service.stdout.readline())
        network = Network(np.random.default_rng(1))
        there = Way(network, TcpRelay(network, "a", "b", ("127.0.0.1", port)))
        with contextlib.closing(network):
            made: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            for _ in range(0, count, 100):
                made += await asyncio.gather(*(there.open() for _ in range(min(100, count - len(made)))))
            await until(lambda: there.relay.open == count)
            for number, (_, writer) in enumerate(made):
                writer.write(b"%08d" % number)
            for number, (reader, _) in enumerate(made):
                assert await asyncio.wait_for(reader.readexactly(8), PATIENCE_S) == b"%08d" % number
            assert there.network.reset(BOTH) == count
            await until(lambda: there.relay.open == 0)
            for _, writer in made:
                writer.close()
    finally:
        service.kill()
        await service.wait()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@looped
async def test_a_cut_in_the_middle_of_a_request_leaves_the_sender_in_doubt() -> None:
    """The last byte has not passed: the sender believes that all is sent, and the server's book has
    nothing."""
    backend = await Backend(answer(b"done")).start()
    network = Network(np.random.default_rng(1))
    host, _, port = backend.address.rpartition(":")
    relay = TcpRelay(network, "a", "b", (host, int(port)))
    try:
        client = await connect(relay.address)
        whole = request("n1", "pay", b"body")
        client.send(whole[:-1])
        await until(lambda: bool(network.places))
        await until(lambda: backend.connections == 1)
        network.change(BOTH, cut=True)
        client.send(whole[-1:])  # taken by the kernel: as good as sent
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.2)
        assert not backend.seen
        network.change(BOTH, cut=False)
        status, _, _ = await client.answer()
        assert status == 200 and len(backend.seen) == 1
        client.close()
    finally:
        network.close()
        backend.stop()


class Heard(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.DatagramTransport", transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        self.got.append(data)


class Echoing(Heard):
    def datagram_received(self, data: bytes, peer: Any) -> None:
        super().datagram_received(data, peer)
        self.transport.sendto(data, peer)


@contextlib.asynccontextmanager
async def datagrams() -> AsyncIterator[tuple[Network, UdpRelay, Heard, Echoing]]:
    loop = asyncio.get_running_loop()
    _, service = await loop.create_datagram_endpoint(Echoing, local_addr=("127.0.0.1", 0))
    network = Network(np.random.default_rng(5))
    target = service.transport.get_extra_info("sockname")
    relay = await UdpRelay(network, "b", target, {"127.0.0.9": "a"}, loop).start()
    _, client = await loop.create_datagram_endpoint(
        Heard, local_addr=("127.0.0.9", 0), remote_addr=relay.address
    )
    try:
        yield network, relay, client, service
    finally:
        network.close()
        client.transport.close()
        service.transport.close()


@looped
async def test_the_largest_datagram_passes_both_ways() -> None:
    async with datagrams() as (_, _, client, service):
        whole = bytes(range(256)) * 255 + b"x" * 227
        assert len(whole) == 65_507
        client.transport.sendto(whole)
        await until(lambda: client.got == [whole])
        assert service.got == [whole]


@looped
async def test_datagrams_are_lost_doubled_reordered_and_cut_each_way_by_itself() -> None:
    async with datagrams() as (network, relay, client, service):
        network.change([("a", "b")], loss=0.3, double=0.2, reorder=0.2)
        for number in range(400):
            client.transport.sendto(b"%04d" % number)
            if number % 20 == 0:
                await asyncio.sleep(0.001)
        await until(lambda: relay.lost + len(set(service.got)) == 400)
        numbers = [int(item) for item in service.got]
        assert 80 < relay.lost < 160
        assert len(numbers) > len(set(numbers))
        assert numbers != sorted(numbers)
        network.change([("a", "b")], loss=0.0, double=0.0, reorder=0.0)
        network.change([("b", "a")], cut=True)
        await asyncio.sleep(0.06)
        service.got.clear()
        client.got.clear()
        client.transport.sendto(b"one way")
        await until(lambda: service.got == [b"one way"])
        network.change([("b", "a")], cut=False)
        client.transport.sendto(b"again")
        await until(lambda: b"again" in client.got)
        assert b"one way" not in client.got  # a datagram does not wait for a link
