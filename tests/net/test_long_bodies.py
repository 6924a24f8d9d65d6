"""Bodies too long to be buffered: they are streamed, in both directions."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator

import pytest

from sorrelfront import agent
from sorrelfront.fronts import http1 as front
from sorrelfront.lab.http1 import member
from sorrelfront.net import bodies
from sorrelfront.net.budget import MAX_BUFFERED_BODY, MAX_STREAMED_BODY
from sorrelfront.platform.config import parse
from sorrelfront.upstreams import http1 as upstream
from sorrelfront.upstreams import pace
from tests.loopback import (
    WAIT_TIMEOUT_S,
    AgentHarness,
    Backend,
    Client,
    answer,
    async_test,
    make_config,
    request,
    running_agent,
    until,
)

LONG = bytes(range(256)) * 8_192  # 2 MB, so that a shift or a gap shows
# As on an Ethernet: with the 64 kB of the loopback interface the kernels buffer megabytes between sockets.
SEGMENT_BYTES = 1_448
SMALL_BUFFER_BYTES = 32_768


class Server:
    """A scripted server that records the bodies it received completely."""

    def __init__(self, *, reply: bytes = answer(b"served"), early: bytes = b"", after: int = 0) -> None:
        self.reply = reply
        self.early = early  # sent once `after` bytes of a body have arrived; then nothing more is read
        self.after = after
        self.bodies: list[bytes] = []
        self.heads: list[bytes] = []
        self.began = asyncio.Event()
        self.go = asyncio.Event()
        self.go.set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, small_buffers: bool = False) -> Server:
        """Listen; with small buffers, the kernels hold little of a body that is not read here."""
        sock = socket.socket()
        if small_buffers:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                self.heads.append(head)
                self.began.set()
                if self.early:
                    await reader.readexactly(self.after)
                    writer.write(self.early)
                    await writer.drain()
                    await asyncio.Event().wait()
                await self.go.wait()
                self.bodies.append(await self._body(head, reader))
                writer.write(self.reply or answer(b"%d" % len(self.bodies[-1])))
                await writer.drain()
        writer.close()

    async def _body(self, head: bytes, reader: asyncio.StreamReader) -> bytes:
        if b"transfer-encoding: chunked" in head:
            body = b""
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return body
        for line in head.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return await reader.readexactly(int(line[15:]))
        return b""

    def stop(self) -> None:
        self.server.close()
        for writer in self._writers:
            writer.close()


@contextlib.asynccontextmanager
async def world_of(*servers: Server, **changes: int) -> AsyncIterator[AgentHarness]:
    members = [member(f"b{at}", server.address) for at, server in enumerate(servers)]
    made = AgentHarness(parse(make_config("127.0.0.1:9", members, **changes)))
    try:
        yield made
    finally:
        made.agent.close()
        for server in servers:
            server.stop()


async def body_of(client: Client) -> tuple[int, bytes]:
    """Return status and body of an answer, however it is framed."""
    head = (await client.head()).lower()
    status = int(head.split()[1])
    for line in head.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            wanted = client.reader.readexactly(int(line[15:]))
            return status, await asyncio.wait_for(wanted, WAIT_TIMEOUT_S)
    if b"transfer-encoding: chunked" not in head:
        return status, await asyncio.wait_for(client.reader.read(-1), WAIT_TIMEOUT_S)
    body = b""
    while size := int(await asyncio.wait_for(client.reader.readline(), WAIT_TIMEOUT_S), 16):
        body += await asyncio.wait_for(client.reader.readexactly(size), WAIT_TIMEOUT_S)
        await client.reader.readexactly(2)
    await client.reader.readexactly(2)
    return status, body


def chunks(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def chunked(name: str, cls: str, body: bytes, size: int = 10_000) -> bytes:
    head = request(name, cls).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + chunks(body, size)


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("length", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, len(LONG)])
def test_a_long_answer_arrives_unchanged_and_its_connections_are_reused(framing: str, length: int) -> None:
    async def scenario() -> None:
        body = LONG[:length]
        reply = answer(body)
        if framing == "chunked":
            reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body, 9_000)
        server = await Server(reply=reply).start()
        async with world_of(server) as made:
            client = await made.client()
            for number in range(3):
                client.send(request(f"r{number}"))
                assert await body_of(client) == (200, body)
            assert made.upstream.connections_opened == 1  # the same connection each time
            assert made.agent.served == 3

    asyncio.run(scenario())


def test_a_long_answer_to_an_http_1_0_client_ends_with_its_connection() -> None:
    async def scenario() -> None:
        reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 9_000)
        server = await Server(reply=reply).start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("old").replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert await body_of(client) == (200, LONG)

    asyncio.run(scenario())


def test_the_first_bytes_of_a_long_answer_do_not_wait_for_the_rest() -> None:
    async def scenario() -> None:
        server = await Server(reply=answer(LONG)[:1_000]).start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("r"))
            head = await client.head()
            assert b"%d" % len(LONG) in head
            assert await asyncio.wait_for(client.reader.readexactly(500), WAIT_TIMEOUT_S) == LONG[:500]

    asyncio.run(scenario())


def test_a_long_answer_that_breaks_off_never_looks_complete() -> None:
    async def scenario() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(LONG)[:300_000])
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        made = AgentHarness(parse(make_config("127.0.0.1:9", [member("b0", address)])))
        client = await made.client()
        client.send(request("r"))
        await client.head()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(client.reader.readexactly(len(LONG)), WAIT_TIMEOUT_S)
        await until(lambda: made.upstream.open_connections == 0)
        made.agent.close()
        server.close()

    asyncio.run(scenario())


def test_a_client_that_disconnects_in_a_long_answer_frees_the_server_connection() -> None:
    async def scenario() -> None:
        server = await Server(reply=answer(LONG * 16)).start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("r"))
            await client.head()
            await asyncio.sleep(0.5)  # until the kernel buffers are full and the agent waits to write
            client.writer.transport.abort()
            await until(lambda: made.upstream.open_connections == 0 and made.listener.connections == 0)
            assert made.listener.in_flight == 0

    asyncio.run(scenario())


def test_an_answer_above_the_maximum_length_is_a_failed_attempt() -> None:
    async def scenario() -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_STREAMED_BODY + 1)
        server = await Server(reply=head + bytes(1_000)).start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("r", "pay"))
            assert (await client.answer())[0] == 500

    asyncio.run(scenario())


@pytest.mark.parametrize("length", [MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, len(LONG)])
@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("cls", ["book", "pay"])
def test_a_long_request_reaches_one_server_once_and_unchanged(cls: str, framing: str, length: int) -> None:
    async def scenario() -> None:
        body = LONG[:length]
        servers = [await Server().start() for _ in range(3)]
        async with world_of(*servers) as made:
            client = await made.client()
            for number in range(3):
                name = f"r{number}"
                client.send(chunked(name, cls, body) if framing == "chunked" else request(name, cls, body))
                assert await body_of(client) == (200, b"served")
            assert [got == body for server in servers for got in server.bodies] == [True] * 3
            assert made.upstream.requests_written == 3
            await until(lambda: not made.listener.uploading)

    asyncio.run(scenario())


def test_requests_pipelined_after_a_long_one_are_served_in_order() -> None:
    async def scenario() -> None:
        server = await Server(reply=b"").start()  # answers with the length of what it got
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("a", "pay", LONG) + request("b") + request("c", "pay", b"x"))
            for length in (len(LONG), 0, 1):
                assert await body_of(client) == (200, b"%d" % length)
            assert len(server.bodies) == 3

    asyncio.run(scenario())


def test_backpressure_from_a_server_reaches_its_client() -> None:
    """Otherwise the bodies for one slow server would accumulate in memory."""

    async def scenario() -> None:
        server = Server()
        server.go.clear()
        await server.start()
        async with world_of(server) as made:
            client = await made.client()
            body = LONG * 12
            client.send(request("r", "pay", body))
            await asyncio.wait_for(server.began.wait(), WAIT_TIMEOUT_S)
            (one,) = made.listener._clients
            before = -1
            # Until nothing is received for a quarter of a second: the kernel buffers are full then.
            while one._upload is not None and before != one._upload.received:
                before = one._upload.received
                await asyncio.sleep(0.25)
            assert one._upload is not None and one._upload.received < len(body) // 2
            server.go.set()
            assert await body_of(client) == (200, b"served")
            assert server.bodies == [body]

    asyncio.run(scenario())


def test_a_refusal_within_a_long_request_says_that_it_never_ran() -> None:
    """The server refuses it early. The prefix is dropped by then, so no other server can get the request."""

    async def scenario() -> None:
        early = answer(b"full", "503 Full", "X-Rejected: 1\r\n")
        servers = [await Server(early=early, after=1_000_000).start() for _ in range(2)]
        async with world_of(*servers) as made:
            client = await made.client()
            client.send(request("r", "pay", LONG))
            status, head, _ = await client.answer()
            assert status == 503 and b"retry-after" in head.lower()
            assert sum(len(server.heads) for server in servers) == 1
            assert not any(server.bodies for server in servers)
            # The connection stays usable after the discarded body.
            for server in servers:
                server.early = b""
            client.send(request("again"))
            assert (await client.answer())[0] == 200

    asyncio.run(scenario())


def test_a_long_request_that_is_refused_at_once_is_read_to_its_end() -> None:
    async def scenario() -> None:
        server = Server()
        server.go.clear()
        await server.start()
        async with world_of(server, mostHeld=1) as made:
            first, client = await made.client(), await made.client()
            first.send(request("first", "pay", b"x"))
            await until(lambda: made.agent.pending_requests == 1)
            client.send(request("r", "pay", LONG))
            assert (await client.answer())[0] == 503
            server.go.set()
            assert (await first.answer())[0] == 200
            client.send(request("again"))
            assert (await client.answer())[0] == 200
            assert server.bodies == [b"x", b""]

    asyncio.run(scenario())


def test_a_server_that_fails_before_the_body_is_streamed_costs_only_another_attempt() -> None:
    async def scenario() -> None:
        servers = [await Server().start() for _ in range(4)]
        servers[0].server.close()  # connections are refused
        servers[1].server.close()
        async with world_of(*servers) as made:
            client = await made.client()
            for number in range(8):
                client.send(request(f"r{number}", "pay", LONG))
                assert await body_of(client) == (200, b"served")
            assert sum(len(server.bodies) for server in servers) == 8

    asyncio.run(scenario())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_long_request_that_its_client_aborts_has_not_run(may_cancel: bool) -> None:
    async def scenario() -> None:
        server = await Server().start()
        async with world_of(server, mayCancel=may_cancel) as made:
            client = await made.client()
            client.send(request("r", "pay", LONG)[:-1])
            await asyncio.wait_for(server.began.wait(), WAIT_TIMEOUT_S)
            client.close()
            await until(lambda: made.agent.pending_requests == 0 and made.agent.attempts == 0)
            await until(lambda: made.upstream.open_connections == 0)
            assert server.bodies == [] and made.upstream.requests_written == 0

    asyncio.run(scenario())


def test_a_stalled_long_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(front, "MAX_BODY_PAUSE_S", 0.3)

    async def scenario() -> None:
        server = await Server().start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("r", "pay", LONG)[:-1])
            assert await client.wait_closed()
            await until(lambda: made.agent.pending_requests == 0 and not made.listener.uploading)
            assert server.bodies == []

    asyncio.run(scenario())


def test_a_slow_body_that_keeps_arriving_does_not_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """It takes several times the request timeout, at more than the minimum rate throughout."""
    monkeypatch.setattr(front, "REQUEST_TIMEOUT_S", 0.3)
    monkeypatch.setattr(front, "MAX_BODY_PAUSE_S", 5.0)
    monkeypatch.setattr(front, "MIN_UPLOAD_RATE", 1_000)
    monkeypatch.setattr(front, "SWEEP_S", 0.05)

    async def scenario() -> None:
        server = await Server().start()
        async with world_of(server) as made:
            for length in (20_000, 100_000):
                client = await made.client()
                data = request(f"r{length}", "pay", LONG[:length])
                step = len(data) // 20
                for at in range(0, len(data), step):
                    client.send(data[at : at + step])
                    await asyncio.sleep(0.05)
                assert await body_of(client) == (200, b"served")
            assert server.bodies == [LONG[:20_000], LONG[:100_000]]

    asyncio.run(scenario())


def test_a_long_request_does_not_make_its_server_look_slow() -> None:
    """The measured latency of the server starts at the last byte of the request."""

    async def scenario() -> None:
        server = await Server().start()
        async with world_of(server) as made:
            client = await made.client()
            data = request("r", "pay", LONG)
            client.send(data[:200_000])
            await asyncio.wait_for(server.began.wait(), WAIT_TIMEOUT_S)
            await asyncio.sleep(1.0)
            client.send(data[200_000:])
            assert await body_of(client) == (200, b"served")
            (one,) = made.agent.balancer.servers.values()
            assert one.mean * made.agent.balancer.baselines["pay"].value < 900_000

    asyncio.run(scenario())


def test_a_long_request_is_pending_once_it_is_complete() -> None:
    async def scenario() -> None:
        server = await Server(reply=b"HTTP/1.1 103 Early Hints\r\n\r\n").start()
        async with world_of(server) as made:
            client = await made.client()
            data = request("r", "pay", LONG)
            client.send(data[:-1])
            await asyncio.wait_for(server.began.wait(), WAIT_TIMEOUT_S)
            (one,) = made.agent.balancer.servers.values()
            assert not one.pending
            client.send(data[-1:])
            await until(lambda: len(server.bodies) == 1)
            assert len(one.pending) == 1
            client.close()
            await until(lambda: not one.pending)

    asyncio.run(scenario())


def test_a_server_silent_after_a_long_request_fails_at_the_end_of_the_budget(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        server = await Server(reply=b"HTTP/1.1 103 Early Hints\r\n\r\n").start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("r", "pay", LONG, budget="300m"))
            assert (await client.answer())[0] == 500
            assert server.bodies == [LONG]
            assert "by its deadline" not in caplog.text  # the attempt timed out, not the fallback

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def stuck_upload(
    body: bytes, budget: str, **changes: int
) -> AsyncIterator[tuple[AgentHarness, Server, Client]]:
    """A client has sent a long request of class "pay" whose server takes no bytes; the agent waits for it."""
    server = Server()
    server.go.clear()
    await server.start(small_buffers=True)
    async with world_of(server, **changes) as made:
        client = await made.client()
        client.send(request("r", "pay", body, budget))
        await asyncio.wait_for(server.began.wait(), WAIT_TIMEOUT_S)
        (one,) = made.listener._clients
        before = -1
        # Until nothing is received for a quarter of a second: the kernels' buffers are full then.
        while one._upload is not None and before != one._upload.received:
            before = one._upload.received
            await asyncio.sleep(0.25)
        assert one._upload is not None, "the kernels hold all of the body"
        yield made, server, client


@async_test
async def test_a_long_request_whose_server_takes_no_bytes_is_refused_within_its_time(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a request that is complete, unread behind a hung server, and gets no answer in time."""
    monkeypatch.setattr(agent, "ANSWER_GRACE_US", 5_000_000)
    monkeypatch.setattr(upstream, "STREAM_IDLE_TIMEOUT_S", 3_600.0)
    async with stuck_upload(LONG, "1000m") as (made, server, client):
        status, head, _ = await client.answer()
        assert status == 503 and b"retry-after" in head.lower()
        assert "by its deadline" not in caplog.text  # the attempt ended and was counted, not the fallback
        assert made.agent.balancer.servers["b0"].breaker.failures == 1
        assert made.upstream.requests_written == 0
        server.go.set()
        client.send(request("next"))  # the connection stays in use behind what is left of the body
        assert (await client.answer())[0] in (200, 503)  # 503 while the only server is left alone
        assert LONG not in server.bodies


@async_test
async def test_time_that_a_long_request_lies_unread_is_not_given_again() -> None:
    """Guards against a server that pauses within a body, and then gets the client's whole time once more."""
    async with stuck_upload(LONG, "4000m") as (made, server, _):
        server.reply = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        (held,) = made.agent.balancer.held.values()
        began = time.monotonic()
        await asyncio.sleep(0.5)
        paused_us = (time.monotonic() - began) * 1e6
        server.go.set()
        await until(lambda: not held.arriving)
        assert held.request.deadline_us <= made.agent.now() + 4_000_000 - paused_us


@async_test
async def test_a_pause_of_a_server_does_not_end_a_body_that_its_client_still_sends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More of the body is missing than the kernels hold, so its client's time has not begun."""
    monkeypatch.setattr(bodies, "MAX_UNSEEN_BYTES", 1_000)
    server = Server()
    server.go.clear()
    await server.start(small_buffers=True)
    async with world_of(server) as made:
        client = await made.client()
        client.send(request("r", "pay", LONG, "2000m"))
        await asyncio.sleep(2.5)
        server.go.set()
        assert await body_of(client) == (200, b"served")
        assert server.bodies == [LONG]


@async_test
async def test_a_long_request_given_up_on_frees_its_hung_server_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a descriptor that is held by a server that takes no bytes, for nobody."""
    monkeypatch.setattr(agent, "ANSWER_GRACE_US", 5_000_000)
    monkeypatch.setattr(upstream, "STREAM_IDLE_TIMEOUT_S", 3_600.0)
    async with stuck_upload(LONG, "1000m", mayCancel=False) as (made, _, client):
        assert (await client.answer())[0] == 503
        await until(lambda: made.upstream.open_connections == 0 and made.agent.attempts == 0)


@pytest.mark.parametrize("may_cancel", [True, False])
@async_test
async def test_a_long_request_whose_client_left_while_it_lay_unread_does_not_run(may_cancel: bool) -> None:
    """Guards against an attempt that begins for a client that closed behind what it had sent."""
    async with stuck_upload(LONG, "4000m", mayCancel=may_cancel) as (made, server, client):
        client.close()
        await client.writer.wait_closed()
        server.go.set()
        await until(lambda: made.agent.attempts == 0 and made.upstream.open_connections == 0)
        assert made.upstream.requests_written == 0 and server.bodies == []


def test_a_long_pause_in_a_long_answer_does_not_end_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a limit on pauses while the client still has time."""
    monkeypatch.setattr(pace, "MIN_PAUSE_S", 0.05)
    monkeypatch.setattr(pace, "LATE_S", 0.0)

    async def scenario() -> None:
        whole = answer(LONG)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(whole[:100_000])
                await asyncio.sleep(0.5)
                writer.write(whole[100_000:])
                await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        made = AgentHarness(parse(make_config("127.0.0.1:9", [member("b0", address)])))
        client = await made.client()
        client.send(request("r"))
        assert await body_of(client) == (200, LONG)
        made.agent.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_a_long_answer_that_hangs_is_ended_with_its_clients_time(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client that learns long after its time that the rest of its answer does not come."""
    monkeypatch.setattr(pace, "MAX_LATE_WAIT_S", 3_600.0)
    reply = answer(LONG)[:300_000]
    if framing == "chunked":
        reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 9_000)[:300_000]
    server = await Server(reply=reply).start()
    async with world_of(server) as made:
        client = await made.client()
        client.send(request("r", budget="600m"))
        await client.head()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(client.reader.readexactly(len(LONG)), WAIT_TIMEOUT_S)
        assert made.upstream.open_connections == 0


# Guards against part of an answer that looks whole: to an HTTP/1.0 client its only end is the close.
@async_test
async def test_an_answer_in_progress_is_reset_when_its_connection_is_closed() -> None:
    reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 9_000)[:300_000]
    server = await Server(reply=reply).start()
    async with world_of(server) as made:
        client = await made.client()
        client.send(request("r").replace(b"HTTP/1.1", b"HTTP/1.0"))
        await client.head()
        await client.reader.readexactly(100_000)
        (connection,) = made.listener._clients
        connection.cancel()  # as at the end of the process
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(client.reader.read(-1), WAIT_TIMEOUT_S)


def test_a_stream_whose_writer_never_started_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client disconnects in the event loop step in which its answer arrives."""
    flush = front._Client._flush

    def flush_and_finish(client: front._Client) -> None:
        flush(client)
        if client._writer is not None:
            client._finish()

    monkeypatch.setattr(front._Client, "_flush", flush_and_finish)

    async def scenario() -> None:
        server = await Server(reply=answer(LONG)).start()
        async with world_of(server) as made:
            client = await made.client()
            client.send(request("r"))
            assert await client.wait_closed()
            await until(lambda: made.upstream.open_connections == 0)

    asyncio.run(scenario())


def test_a_server_that_writes_slowly_is_measured_by_its_first_byte() -> None:
    async def scenario() -> None:
        async def slowly(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(b"served")[:10])
            await asyncio.sleep(1.0)
            writer.write(answer(b"served")[10:])

        backend = await Backend(slowly).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(request("r"))
            assert (await client.answer())[0] == 200
            assert made.agent.balancer.baselines["look"].value < 900_000

    asyncio.run(scenario())


@pytest.mark.parametrize("length", [MAX_BUFFERED_BODY // 2, 300_000])
@pytest.mark.parametrize("sent_before_pause", [True, False])
def test_a_pause_of_this_process_does_not_time_out_a_sending_client(
    length: int, sent_before_pause: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The pause exceeds the request timeout; the rest of the request is unread by then, or arrives later."""
    for name, seconds in (("REQUEST_TIMEOUT_S", 0.5), ("MAX_BODY_PAUSE_S", 0.2), ("SWEEP_S", 0.05)):
        monkeypatch.setattr(front, name, seconds)

    async def scenario() -> None:
        server = await Server(reply=b"").start()
        async with world_of(server) as made:
            await made.client()
            body = LONG[:length]
            whole = request("paused", "pay", body)
            half = len(whole) - length // 2
            with socket.create_connection(made.listener.address) as peer:
                peer.sendall(whole[:half])
                await until(lambda: made.listener.memory.held > 0 or server.began.is_set())
                rest = threading.Thread(target=peer.sendall, args=(whole[half:],))
                if sent_before_pause:
                    rest.start()
                time.sleep(1.0)  # the injected fault: the event loop is blocked
                if not sent_before_pause:
                    await asyncio.sleep(0.1)  # several timeout sweeps
                    rest.start()
                peer.setblocking(False)
                got = await asyncio.wait_for(
                    asyncio.get_running_loop().sock_recv(peer, 4_096), WAIT_TIMEOUT_S
                )
                await asyncio.to_thread(rest.join)
            assert got.startswith(b"HTTP/1.1 200"), got
            assert server.bodies == [body]

    asyncio.run(scenario())
