"""Nothing that was read from a socket is dropped by a close: each closer, at each turn of the loop between.

A request is answered, or its bytes were never read and the kernel resets the connection, by which the client
knows. An end without either is a lost request.
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
from sorrelfront.lab.crowd import Peer
from sorrelfront.lab.http1 import gate, member
from sorrelfront.lists import parse_update
from sorrelfront.messages import Answer, Call
from sorrelfront.net.budget import Descriptors
from sorrelfront.net.http import Payload, Wire
from sorrelfront.platform import __main__ as program
from sorrelfront.platform import service
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import PATIENCE_S, Backend, World, answer, looped, request, table, until, world

TURNS = 31  # of the loop, from none to 30
OK = answer(b"served")


class NoRoom(Descriptors):
    """Limits under which every client that may go has to."""

    def __init__(self, sockets: int) -> None:
        super().__init__(sockets)
        self.clients = 0


def stop(made: World, folder: Path) -> None:
    made.listener._end_resting()


def sweep(made: World, folder: Path) -> None:
    for client in [*made.listener._clients]:
        client._until = 0.0
        client.expire(time.monotonic())


def relieve(made: World, folder: Path) -> None:
    made.listener._asking_most = 0
    made.listener._relieve()


def evict(made: World, folder: Path) -> None:
    made.listener._evict()


def resize(made: World, folder: Path) -> None:
    made.listener.resize(NoRoom(256), 64 << 20)


def reload(made: World, folder: Path) -> None:
    path = folder / "config.json"
    path.write_text(json.dumps(table("127.0.0.1:9", [])))
    reloaded = service.Service(made.config, made.agent, made.upstream, None, None)
    reloaded.listener = made.listener
    program.reload({"BALANCER_CONFIG": str(path)}, reloaded)


CLOSERS: dict[str, Callable[[World, Path], None]] = {
    "stop": stop, "sweep": sweep, "relieve": relieve, "evict": evict, "resize": resize, "reload": reload,
}  # fmt: skip


async def turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def shapes(name: str) -> tuple[list[bytes], int]:
    """Pieces of requests, with a few turns between them, and how many requests they are."""
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
async def closable(backend: Backend) -> AsyncIterator[World]:
    async with world(backend) as made:
        yield made
        made.listener._sweeping.cancel()


@pytest.mark.parametrize("shape", ["whole", "new", "pieces", "pipelined", "behind"])
@pytest.mark.parametrize("closer", CLOSERS)
def test_no_close_drops_what_was_read(
    closer: str, shape: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener, "IDLE_S", 1_000.0)  # none goes for having rested too long
    monkeypatch.setattr(listener, "REST_S", 0.0)
    monkeypatch.setattr(service, "Descriptors", NoRoom)

    async def play() -> None:
        backend = await Backend(OK).start()
        async with closable(backend) as made:
            limits = made.listener._asking_most
            for count in range(TURNS):
                peer = Peer(made.listener.address)
                if shape != "new":
                    peer.send(request(f"first{count}"))
                    assert await peer.answer() == b"HTTP/1.1 200 "
                pieces, expected = shapes(f"{shape}-{count}")
                for piece in pieces[:-1]:
                    peer.send(piece)
                    await turns(3)
                peer.send(pieces[-1])
                await turns(count)
                CLOSERS[closer](made, tmp_path)
                made.listener._asking_most = limits
                made.listener.resize(Descriptors(256), 64 << 20)
                got = [await peer.answer() for _ in range(expected)]
                # Of one that has come in part so far, who must go may be told so.
                turned_away = shape == "pieces" and got[0][:12] in (b"HTTP/1.1 408", b"HTTP/1.1 503")
                whole = got in ([b"HTTP/1.1 200 "] * expected, [b"reset"] * expected)
                assert whole or turned_away, (count, got)
                peer.close()

    asyncio.run(play())


@pytest.mark.parametrize("closer", CLOSERS)
def test_a_close_between_the_pieces_of_a_request_is_answered(
    closer: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Who must go then is told so: the last byte may be on its way."""
    monkeypatch.setattr(listener, "IDLE_S", 1_000.0)
    monkeypatch.setattr(listener, "REST_S", 0.0)
    monkeypatch.setattr(service, "Descriptors", NoRoom)

    async def play() -> None:
        backend = await Backend(OK).start()
        async with closable(backend) as made:
            limits = made.listener._asking_most
            for count in range(TURNS):
                peer = Peer(made.listener.address)
                peer.send(request(f"first{count}"))
                assert await peer.answer() == b"HTTP/1.1 200 "
                seen = len(backend.seen)
                data = request(f"r{count}", "pay", b"x")
                peer.send(data[:40])
                await turns(count)
                CLOSERS[closer](made, tmp_path)
                with contextlib.suppress(ConnectionError):
                    peer.send(data[40:])
                got = await peer.answer()
                assert got[:12] in (b"HTTP/1.1 200", b"HTTP/1.1 408", b"HTTP/1.1 503", b"reset"), (count, got)
                assert len(backend.seen) - seen == got.startswith(b"HTTP/1.1 200")
                made.listener._asking_most = limits
                made.listener.resize(Descriptors(256), 64 << 20)
                peer.close()

    asyncio.run(play())


@pytest.mark.parametrize("shape", ["whole", "new", "pieces", "pipelined", "behind"])
def test_a_stop_answers_all_that_it_has_read(shape: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The whole of a stop, with no time in which clients are awaited."""
    monkeypatch.setattr(listener, "GOING_AWAY_S", 0.0)

    async def play() -> None:
        for count in range(TURNS):
            backend = await Backend(OK).start()
            async with closable(backend) as made:
                peer = Peer(made.listener.address)
                if shape != "new":
                    peer.send(request("first"))
                    assert await peer.answer() == b"HTTP/1.1 200 "
                pieces, expected = shapes(f"{shape}-{count}")
                for piece in pieces[:-1]:
                    peer.send(piece)
                    await turns(3)
                peer.send(pieces[-1])
                await turns(count)
                closing = asyncio.create_task(made.listener.close())
                got = [await peer.answer() for _ in range(expected)]
                assert got in ([b"HTTP/1.1 200 "] * expected, [b"reset"] * expected), (count, got)
                peer.close()
                await asyncio.wait_for(closing, PATIENCE_S)
                assert made.agent.owed == 0 and made.listener.connections == 0

    asyncio.run(play())


@looped
async def test_what_is_owed_when_no_time_is_left_is_answered_and_its_attempt_called_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that came late in a stop has a deadline behind the stop's end."""
    go, script = gate(OK)
    backend = await Backend(script).start()
    async with world(backend) as made:
        monkeypatch.setattr(listener, "GOING_AWAY_S", 0.0)
        monkeypatch.setattr(listener, "GOING_AWAY_MORE_S", -made.agent.longest_deadline_us / 1e6)
        monkeypatch.setattr(listener, "LAST_ANSWERS_S", PATIENCE_S)
        owed, begun = await made.client(), await made.client()
        owed.send(request("owed", "pay", b"x") + request("behind", "pay", b"x"))
        begun.send(request("begun", "pay", b"x")[:-1])
        await until(lambda: len(backend.seen) == 2 and any(one.unfinished for one in made.listener._clients))
        closing = asyncio.create_task(made.listener.close())
        assert [(await owed.answer())[0] for _ in range(2)] == [500, 500]
        assert (await begun.answer())[0] == 503
        for client in (owed, begun):
            assert await client.ended()
            client.close()
        await closing
        assert made.listener.connections == 0 and made.agent.owed == 0
        await until(lambda: made.agent.attempts == 0)
        go.set()


def test_what_crosses_the_end_of_a_resting_connection_is_reset_and_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It comes between the look and the close, as the end is on its way to the client."""
    monkeypatch.setattr(listener, "GOING_AWAY_S", 0.0)
    shutdown = Wire.shutdown

    async def play() -> None:
        backend = await Backend(OK).start()
        async with closable(backend) as made:
            peer = Peer(made.listener.address)
            peer.send(request("first"))
            assert await peer.answer() == b"HTTP/1.1 200 "

            def crossing(wire: Wire, how: int) -> None:
                shutdown(wire, how)
                if how == socket.SHUT_WR:
                    peer.send(request("crossing", "pay"))

            monkeypatch.setattr(Wire, "shutdown", crossing)
            closing = asyncio.create_task(made.listener.close())
            assert await peer.answer() == b"reset"
            await asyncio.wait_for(closing, PATIENCE_S)
            assert len(backend.seen) == 1
            peer.close()

    asyncio.run(play())


def test_what_a_cancelled_read_has_taken_is_had_by_the_next() -> None:
    async def play() -> None:
        for count in range(6):
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            with theirs:
                wire = Wire(ours)
                reading = asyncio.create_task(wire.receive())
                await turns(2)
                theirs.send(b"bytes")
                await turns(count)
                done = reading.done()
                reading.cancel()
                await asyncio.wait([reading])
                if done:
                    assert reading.result() == b"bytes"
                else:
                    assert not wire.quiet()
                    assert await asyncio.wait_for(wire.receive(), PATIENCE_S) == b"bytes"
                assert wire.quiet()
                wire.close()

    asyncio.run(play())


def test_an_answer_that_came_as_the_time_was_up_counts() -> None:
    """It was in the kernel before the time was up, and the loop, held up, learns of both in one turn."""

    async def play() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            upstream = Upstream(8, 30_000_000, 250_000)
            payload = Payload(b"POST", b"/pay", [(b"Host", b"a")], bytearray(b"x"))
            call = Call(b"a", "pay", 1_000_000, payload)
            attempt = asyncio.create_task(upstream.attempt(call, server.getsockname(), 300_000, lambda: True))
            sock, _ = await loop.sock_accept(server)
            seen = b""
            while not seen.endswith(b"\r\n\r\nx"):
                seen += await loop.sock_recv(sock, 65_536)
            await turns(5)
            sock.send(OK)
            time.sleep(0.4)  # the loop is held up, as on a busy core
            ended = await asyncio.wait_for(attempt, PATIENCE_S)
            assert ended.outcome is Outcome.OK and ended.answer is not None and ended.answer.body == b"served"
            assert upstream.open == 1
            upstream.close()
            sock.close()

    asyncio.run(play())


def test_nothing_behind_a_last_request_is_taken() -> None:
    """The client says that this request is its last, and then sends another: that one must not run."""

    async def play() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with world(backend) as made:
            peer = Peer(made.listener.address)
            peer.send(request("a", "pay", more="Connection: close\r\n"))
            await asyncio.wait_for(backend.arrived.wait(), PATIENCE_S)
            peer.send(request("b", "pay"))
            for _ in range(TURNS):
                await asyncio.sleep(0)
            assert made.agent.offered == 1  # it was read, and not taken
            go.set()
            assert (await peer.answer()).startswith(b"HTTP/1.1 200")
            assert peer.told_to_close and len(backend.seen) == 1
            peer.close()

    asyncio.run(play())


def test_a_server_that_leaves_the_list_before_the_first_step_of_its_attempt_costs_no_refusal() -> None:
    async def play() -> None:
        leaving, other = await Backend(OK).start(), await Backend(OK).start()
        async with world(leaving) as made:
            headers = [(b"host", b"a"), (b"x-call-id", b"r")]
            call = Call(b"r", "look", 4_000_000, Payload(b"GET", b"/look", headers), repeatable=True)
            held = made.agent.take(call)  # the only one listed is chosen; nothing has been sent
            members = [member("b1", other.address)]
            made.agent._on_update(parse_update({"revision": 9, "complete": True, "members": members}))
            async with asyncio.timeout(PATIENCE_S):
                answer = await held.answer
            assert isinstance(answer, Answer) and answer.status == 200
            assert len(other.seen) == 1 and not leaving.seen
        other.stop()

    asyncio.run(play())
