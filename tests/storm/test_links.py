"""Relays between hosts: what passes, what does not, and what each side observes."""

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

from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, answer, connect, request
from sorrelfront.lab.storm.links import MAX_BUFFERED_BYTES, Network, TcpRelay, UdpRelay
from tests.loopback import async_test, until

BOTH = [("a", "b"), ("b", "a")]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]


class RelayedService:
    """A service behind a relay, and the network of the relay."""

    def __init__(self, network: Network, relay: TcpRelay) -> None:
        self.network = network
        self.relay = relay

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.relay.address)

    async def answers(self, sock: socket.socket) -> bool:
        """Return whether a connection is made soon: a cut link leaves its SYN unanswered."""
        sock.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, self.relay.address), 0.3)
        except TimeoutError:
            return False
        return True


@contextlib.asynccontextmanager
async def relayed(serve: Serve) -> AsyncIterator[RelayedService]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1_024)
    network = Network(np.random.default_rng(1))
    relay = TcpRelay(network, "a", "b", server.sockets[0].getsockname())
    try:
        yield RelayedService(network, relay)
    finally:
        network.close()
        server.close()


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()


@async_test
async def test_bytes_pass_and_both_sides_are_closed() -> None:
    async with relayed(echo) as service:
        reader, writer = await service.open()
        writer.write(b"x" * 1_000_000)
        writer.write_eof()  # half-close: the reply still passes
        got = await asyncio.wait_for(reader.read(-1), WAIT_TIMEOUT_S)
        assert len(got) == 1_000_000
        writer.close()
        await until(lambda: service.relay.open == 0)
        assert not service.network.connections
        assert service.network.figures()["relayed"] > 0


@async_test
async def test_both_sides_close_at_once() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        await reader.read(1)

    async with relayed(take) as service:
        for _ in range(50):
            _, writer = await service.open()
            await until(lambda: bool(writers))
            writer.close()
            writers.pop().close()
        await until(lambda: service.relay.open == 0)


@async_test
async def test_a_reset_reaches_the_other_side_as_a_reset_with_bytes_still_queued() -> None:
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

    async with relayed(take) as service:
        service.network.change(BOTH, rate=50_000)
        _, writer = await service.open()
        writer.write(b"y" * 30_000)
        sock = writer.get_extra_info("socket")
        await until(lambda: service.relay.open == 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        service.network.change(BOTH, rate=0.0)
        await until(lambda: ended == ["reset"])
        await until(lambda: service.relay.open == 0)


@async_test
async def test_a_cut_holds_what_was_sent_and_leaves_new_connections_unanswered() -> None:
    async with relayed(echo) as service:
        reader, writer = await service.open()
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        service.network.change(BOTH, cut=True)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.2)
        with socket.socket() as late:
            assert not await service.answers(late)
            service.network.change(BOTH, cut=False)
            assert await asyncio.wait_for(reader.readexactly(3), WAIT_TIMEOUT_S) == b"two"
            # The kernel retransmits the SYN, as it would on a real link that works again.
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(late, service.relay.address), WAIT_TIMEOUT_S
            )
        writer.close()
        await until(lambda: service.relay.open == 0)


@async_test
async def test_a_one_way_cut() -> None:
    received: list[bytes] = []

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                received.append(data)
                writer.write(data)
        writer.close()

    async with relayed(take) as service:
        reader, writer = await service.open()
        writer.write(b"1")
        assert await reader.readexactly(1) == b"1"
        service.network.change([("b", "a")], cut=True)
        writer.write(b"2")
        await until(lambda: received[-1] == b"2")  # it arrives, and the reply is lost
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.1)
        writer.close()


@async_test
async def test_a_cut_sender_waits_once_the_buffer_is_full() -> None:
    async with relayed(echo) as service:
        _, writer = await service.open()
        await until(lambda: service.relay.open == 1)
        service.network.change(BOTH, cut=True)
        writer.write(b"z" * 50_000_000)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(writer.drain(), 0.3)
        (connection,) = service.relay._connections
        assert (
            connection.client_side.buffered <= MAX_BUFFERED_BYTES + 262_144
        )  # the data of one read may exceed the limit
        writer.transport.abort()


@async_test
async def test_refused_reset_and_half_open_connections() -> None:
    async with relayed(echo) as service:
        reader, writer = await service.open()
        writer.write(b"a")
        await reader.readexactly(1)
        service.network.change(BOTH, refuse=True)
        with pytest.raises(ConnectionRefusedError):
            await service.open()
        writer.write(b"b")
        assert await reader.readexactly(1) == b"b"  # open connections go on
        service.network.change(BOTH, refuse=False)
        assert service.network.reset(BOTH) == 1
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.readexactly(1), WAIT_TIMEOUT_S)

        reader, writer = await service.open()
        writer.write(b"c")
        await reader.readexactly(1)
        assert service.network.leave_half_open(BOTH) == 1
        writer.write(b"d")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.2)
        fresh, other = await service.open()  # new connections work
        other.write(b"e")
        assert await asyncio.wait_for(fresh.readexactly(1), WAIT_TIMEOUT_S) == b"e"
        writer.close()
        other.close()


@async_test
async def test_a_delay_keeps_the_order_of_bytes() -> None:
    async with relayed(echo) as service:
        service.network.change(BOTH, delay=0.002, spread=0.02)
        reader, writer = await service.open()
        sent = b"".join(b"%06d" % number for number in range(500))
        for at in range(0, len(sent), 100):
            writer.write(sent[at : at + 100])
            await asyncio.sleep(0)
        assert await asyncio.wait_for(reader.readexactly(len(sent)), WAIT_TIMEOUT_S) == sent
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


@async_test
async def test_five_thousand_connections_through_one_pair() -> None:
    """The service runs in its own process, because three descriptors of each connection are in this one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    count = min(5_000, (hard - 500) // 3)
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", ECHO, stdout=asyncio.subprocess.PIPE)
    assert process.stdout is not None
    try:
        port = int(await process.stdout.readline())
        network = Network(np.random.default_rng(1))
        service = RelayedService(network, TcpRelay(network, "a", "b", ("127.0.0.1", port)))
        with contextlib.closing(network):
            made: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            for _ in range(0, count, 100):
                made += await asyncio.gather(*(service.open() for _ in range(min(100, count - len(made)))))
            await until(lambda: service.relay.open == count)
            for number, (_, writer) in enumerate(made):
                writer.write(b"%08d" % number)
            for number, (reader, _) in enumerate(made):
                assert await asyncio.wait_for(reader.readexactly(8), WAIT_TIMEOUT_S) == b"%08d" % number
            assert service.network.reset(BOTH) == count
            await until(lambda: service.relay.open == 0)
            for _, writer in made:
                writer.close()
    finally:
        process.kill()
        await process.wait()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@async_test
async def test_a_cut_in_the_middle_of_a_request_leaves_the_sender_in_doubt() -> None:
    """A cut holds back the last byte: the request looks sent, but the server has not seen it."""
    backend = await Backend(answer(b"done")).start()
    network = Network(np.random.default_rng(1))
    host, _, port = backend.address.rpartition(":")
    relay = TcpRelay(network, "a", "b", (host, int(port)))
    try:
        client = await connect(relay.address)
        whole = request("n1", "pay", b"body")
        client.send(whole[:-1])
        await until(lambda: bool(network.connections))
        await until(lambda: backend.connections == 1)
        network.change(BOTH, cut=True)
        client.send(whole[-1:])  # accepted by the kernel: it looks sent
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(client.reader.read(1), 0.2)
        assert not backend.received
        network.change(BOTH, cut=False)
        status, _, _ = await client.answer()
        assert status == 200 and len(backend.received) == 1
        client.close()
    finally:
        network.close()
        backend.stop()


class ReceivingProtocol(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.DatagramTransport", transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        self.got.append(data)


class EchoProtocol(ReceivingProtocol):
    def datagram_received(self, data: bytes, peer: Any) -> None:
        super().datagram_received(data, peer)
        self.transport.sendto(data, peer)


@contextlib.asynccontextmanager
async def datagrams() -> AsyncIterator[tuple[Network, UdpRelay, ReceivingProtocol, EchoProtocol]]:
    loop = asyncio.get_running_loop()
    _, service = await loop.create_datagram_endpoint(EchoProtocol, local_addr=("127.0.0.1", 0))
    network = Network(np.random.default_rng(5))
    target = service.transport.get_extra_info("sockname")
    relay = await UdpRelay(network, "b", target, {"127.0.0.9": "a"}, loop).start()
    _, client = await loop.create_datagram_endpoint(
        ReceivingProtocol, local_addr=("127.0.0.9", 0), remote_addr=relay.address
    )
    try:
        yield network, relay, client, service
    finally:
        network.close()
        client.transport.close()
        service.transport.close()


@async_test
async def test_the_largest_datagram_passes_both_ways() -> None:
    async with datagrams() as (_, _, client, service):
        whole = bytes(range(256)) * 255 + b"x" * 227
        assert len(whole) == 65_507
        client.transport.sendto(whole)
        await until(lambda: client.got == [whole])
        assert service.got == [whole]


@async_test
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
        assert b"one way" not in client.got  # a cut drops datagrams, it does not delay them
