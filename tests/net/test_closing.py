"""No close drops bytes that were read from a socket: each kind of close, at each event loop iteration.

A request is answered, or its bytes are never read and the kernel resets the connection, so that the client
knows. A close without either loses a request.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from sorrelfront.decisions.interface import Outcome
from sorrelfront.fronts import http1 as listener
from sorrelfront.lab.http1 import gated_script, member
from sorrelfront.lab.load_generator import SocketClient
from sorrelfront.lists import parse_update
from sorrelfront.messages import Answer, Call
from sorrelfront.net.budget import Descriptors, MemoryBudget
from sorrelfront.net.http import Payload, Wire
from sorrelfront.platform import __main__ as program
from sorrelfront.platform import service
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import (
    WAIT_TIMEOUT_S,
    AgentHarness,
    Backend,
    answer,
    async_test,
    make_config,
    request,
    running_agent,
    until,
)

MAX_ITERATIONS = 31  # of the event loop: 0 to 30
OK = answer(b"served")


class NoRoom(Descriptors):
    """Limits under which every connection that may be closed is closed."""

    def __init__(self, sockets: int) -> None:
        super().__init__(sockets)
        self.clients = 0


def stop(made: AgentHarness, folder: Path) -> None:
    made.listener._close_idle()


def sweep(made: AgentHarness, folder: Path) -> None:
    for client in [*made.listener._clients]:
        client._deadline = 0.0
        client.check_timeout(time.monotonic())


def shed_idle(made: AgentHarness, folder: Path) -> None:
    made.listener._max_active = 0
    made.listener._shed_idle()


def evict(made: AgentHarness, folder: Path) -> None:
    made.listener._evict()


def resize(made: AgentHarness, folder: Path) -> None:
    made.listener.resize(NoRoom(256))


def reload(made: AgentHarness, folder: Path) -> None:
    path = folder / "config.json"
    path.write_text(json.dumps(make_config("127.0.0.1:9", [])))
    reloaded = service.Service(made.config, made.agent, made.upstream, None, None)
    reloaded.listener = made.listener
    program.reload({"BALANCER_CONFIG": str(path)}, reloaded)


CLOSERS: dict[str, Callable[[AgentHarness, Path], None]] = {
    "stop": stop, "sweep": sweep, "shed_idle": shed_idle, "evict": evict, "resize": resize, "reload": reload,
}  # fmt: skip


async def iterations(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def request_pieces(name: str) -> tuple[list[bytes], int]:
    """Return the pieces to send, with a few loop iterations in between, and how many requests they are."""
    first, second = request(f"{name}a", "pay", b"x"), request(f"{name}b")
    match name.partition("-")[0]:
        case "whole" | "new":
            return [first], 1
        case "pieces":
            return [first[:40], first[40:]], 1
        case "pipelined":
            return [first + second], 2
        case "behind":
            return [first, second], 2
    raise AssertionError(name)


@contextlib.asynccontextmanager
async def closable(backend: Backend) -> AsyncIterator[AgentHarness]:
    async with running_agent(backend) as made:
        yield made
        made.listener._sweeping.cancel()


@pytest.mark.parametrize("shape", ["whole", "new", "pieces", "pipelined", "behind"])
@pytest.mark.parametrize("closer", CLOSERS)
def test_no_close_drops_received_bytes(
    closer: str, shape: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener, "IDLE_S", 1_000.0)  # no idle timeouts
    monkeypatch.setattr(listener, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(service, "Descriptors", NoRoom)

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with closable(backend) as made:
            limits = made.listener._max_active
            for count in range(MAX_ITERATIONS):
                peer = SocketClient(made.listener.address)
                if shape != "new":
                    peer.send(request(f"first{count}"))
                    assert await peer.answer() == b"HTTP/1.1 200 "
                pieces, expected = request_pieces(f"{shape}-{count}")
                for piece in pieces[:-1]:
                    peer.send(piece)
                    await iterations(3)
                peer.send(pieces[-1])
                await iterations(count)
                CLOSERS[closer](made, tmp_path)
                made.listener._max_active = limits
                made.listener.resize(Descriptors(256))
                got = [await peer.answer() for _ in range(expected)]
                # A partial request may be answered with an error instead.
                rejected = shape == "pieces" and got[0][:12] in (b"HTTP/1.1 408", b"HTTP/1.1 503")
                whole = got in ([b"HTTP/1.1 200 "] * expected, [b"reset"] * expected)
                assert whole or rejected, (count, got)
                peer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("closer", CLOSERS)
def test_a_close_in_the_middle_of_a_request_is_answered(
    closer: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close without an answer would lose a request whose last byte is on its way."""
    monkeypatch.setattr(listener, "IDLE_S", 1_000.0)
    monkeypatch.setattr(listener, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(service, "Descriptors", NoRoom)

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with closable(backend) as made:
            limits = made.listener._max_active
            for count in range(MAX_ITERATIONS):
                peer = SocketClient(made.listener.address)
                peer.send(request(f"first{count}"))
                assert await peer.answer() == b"HTTP/1.1 200 "
                seen = len(backend.received)
                data = request(f"r{count}", "pay", b"x")
                peer.send(data[:40])
                await iterations(count)
                CLOSERS[closer](made, tmp_path)
                with contextlib.suppress(ConnectionError):
                    peer.send(data[40:])
                got = await peer.answer()
                assert got[:12] in (b"HTTP/1.1 200", b"HTTP/1.1 408", b"HTTP/1.1 503", b"reset"), (count, got)
                assert len(backend.received) - seen == got.startswith(b"HTTP/1.1 200")
                made.listener._max_active = limits
                made.listener.resize(Descriptors(256))
                peer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("shape", ["whole", "new", "pieces", "pipelined", "behind"])
def test_a_shutdown_answers_every_request_it_has_read(shape: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A whole shutdown, without the time in which new connections are still awaited."""
    monkeypatch.setattr(listener, "SHUTDOWN_GRACE_S", 0.0)

    async def scenario() -> None:
        for count in range(MAX_ITERATIONS):
            backend = await Backend(OK).start()
            async with closable(backend) as made:
                peer = SocketClient(made.listener.address)
                if shape != "new":
                    peer.send(request("first"))
                    assert await peer.answer() == b"HTTP/1.1 200 "
                pieces, expected = request_pieces(f"{shape}-{count}")
                for piece in pieces[:-1]:
                    peer.send(piece)
                    await iterations(3)
                peer.send(pieces[-1])
                await iterations(count)
                closing = asyncio.create_task(made.listener.close())
                got = [await peer.answer() for _ in range(expected)]
                assert got in ([b"HTTP/1.1 200 "] * expected, [b"reset"] * expected), (count, got)
                peer.close()
                await asyncio.wait_for(closing, WAIT_TIMEOUT_S)
                assert made.agent.pending_requests == 0 and made.listener.connections == 0

    asyncio.run(scenario())


@async_test
async def test_requests_in_flight_at_the_end_of_a_shutdown_are_answered_and_their_attempts_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that arrives late in a shutdown has a deadline past the end of the shutdown."""
    go, script = gated_script(OK)
    backend = await Backend(script).start()
    async with running_agent(backend) as made:
        monkeypatch.setattr(listener, "SHUTDOWN_GRACE_S", 0.0)
        monkeypatch.setattr(listener, "SHUTDOWN_MARGIN_S", -made.agent.longest_deadline_us / 1e6)
        monkeypatch.setattr(listener, "LAST_ANSWERS_S", WAIT_TIMEOUT_S)
        in_flight, partial = await made.client(), await made.client()
        in_flight.send(request("in_flight", "pay", b"x") + request("behind", "pay", b"x"))
        partial.send(request("partial", "pay", b"x")[:-1])
        await until(
            lambda: len(backend.received) == 2 and any(one.unfinished for one in made.listener._clients)
        )
        closing = asyncio.create_task(made.listener.close())
        assert [(await in_flight.answer())[0] for _ in range(2)] == [500, 500]
        assert (await partial.answer())[0] == 503
        for client in (in_flight, partial):
            assert await client.wait_closed()
            client.close()
        await closing
        assert made.listener.connections == 0 and made.agent.pending_requests == 0
        await until(lambda: made.agent.attempts == 0)
        go.set()


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request arrives between check and close, while the end of stream is on its way to the client."""
    monkeypatch.setattr(listener, "SHUTDOWN_GRACE_S", 0.0)
    shutdown = Wire.shutdown

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with closable(backend) as made:
            peer = SocketClient(made.listener.address)
            peer.send(request("first"))
            assert await peer.answer() == b"HTTP/1.1 200 "

            def crossing(wire: Wire, how: int) -> None:
                shutdown(wire, how)
                if how == socket.SHUT_WR:
                    peer.send(request("crossing", "pay"))

            monkeypatch.setattr(Wire, "shutdown", crossing)
            closing = asyncio.create_task(made.listener.close())
            assert await peer.answer() == b"reset"
            await asyncio.wait_for(closing, WAIT_TIMEOUT_S)
            assert len(backend.received) == 1
            peer.close()

    asyncio.run(scenario())


def test_bytes_of_a_cancelled_read_are_returned_by_the_next() -> None:
    async def scenario() -> None:
        for count in range(6):
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            with theirs:
                wire = Wire(ours)
                reading = asyncio.create_task(wire.receive())
                await iterations(2)
                theirs.send(b"bytes")
                await iterations(count)
                done = reading.done()
                reading.cancel()
                await asyncio.wait([reading])
                if done:
                    assert reading.result() == b"bytes"
                else:
                    assert not wire.nothing_unread()
                    assert await asyncio.wait_for(wire.receive(), WAIT_TIMEOUT_S) == b"bytes"
                assert wire.nothing_unread()
                wire.close()

    asyncio.run(scenario())


def test_an_answer_that_arrived_as_the_timeout_expired_counts() -> None:
    """It was in the kernel in time, but a blocked event loop sees answer and timeout in one iteration."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            upstream = Upstream(8, 30_000_000, 250_000, MemoryBudget(1 << 26, 256))
            payload = Payload(b"POST", b"/pay", [(b"Host", b"a")], bytearray(b"x"))
            call = Call(b"a", "pay", 1_000_000, payload)
            attempt = asyncio.create_task(upstream.attempt(call, server.getsockname(), 300_000, lambda: True))
            sock, _ = await loop.sock_accept(server)
            seen = b""
            while not seen.endswith(b"\r\n\r\nx"):
                seen += await loop.sock_recv(sock, 65_536)
            await iterations(5)
            sock.send(OK)
            time.sleep(0.4)  # blocks the event loop, as a busy core would
            ended = await asyncio.wait_for(attempt, WAIT_TIMEOUT_S)
            assert ended.outcome is Outcome.OK and ended.answer is not None and ended.answer.body == b"served"
            assert upstream.open_connections == 1
            upstream.close()
            sock.close()

    asyncio.run(scenario())


def test_no_request_after_a_last_one_is_accepted() -> None:
    """A request sent after one with `Connection: close` must not run."""

    async def scenario() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with running_agent(backend) as made:
            peer = SocketClient(made.listener.address)
            peer.send(request("a", "pay", more="Connection: close\r\n"))
            await asyncio.wait_for(backend.arrived.wait(), WAIT_TIMEOUT_S)
            peer.send(request("b", "pay"))
            for _ in range(MAX_ITERATIONS):
                await asyncio.sleep(0)
            assert made.agent.requests_taken == 1  # it was read, and not accepted
            go.set()
            assert (await peer.answer()).startswith(b"HTTP/1.1 200")
            assert peer.close_requested and len(backend.received) == 1
            peer.close()

    asyncio.run(scenario())


def test_a_server_removed_before_the_first_step_of_its_attempt_causes_no_refusal() -> None:
    async def scenario() -> None:
        leaving, other = await Backend(OK).start(), await Backend(OK).start()
        async with running_agent(leaving) as made:
            headers = [(b"host", b"a"), (b"x-call-id", b"r")]
            call = Call(b"r", "look", 4_000_000, Payload(b"GET", b"/look", headers), repeatable=True)
            held = made.agent.submit(call)  # chooses the only server listed; nothing is sent yet
            members = [member("b1", other.address)]
            made.agent._on_update(parse_update({"revision": 9, "complete": True, "members": members}))
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                answer = await held.answer
            assert isinstance(answer, Answer) and answer.status == 200
            assert len(other.received) == 1 and not leaving.received
        other.stop()

    asyncio.run(scenario())
