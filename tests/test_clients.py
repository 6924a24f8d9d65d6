"""Clients that send what they should not, over loopback sockets."""

from __future__ import annotations

import asyncio
import functools
import gc
import operator
import socket
import time
import weakref

import pytest

from sorrelfront.decisions.interface import Action
from sorrelfront.fronts import http1 as listener
from sorrelfront.lab.crowd import Peer
from sorrelfront.lab.http1 import gate
from sorrelfront.net.http import Wire
from tests.loopback import Backend, answer, connect, looped, request, until, world

OK = answer(b"served")
ERROR = answer(b"", "500 Internal Server Error")
CHUNKED = "Transfer-Encoding: chunked\r\n"
HIDDEN = b"0\r\n\r\n" + request("hidden", "pay")


def bad(name: str) -> bytes:
    """Requests that no backend may see."""
    return {
        "both lengths": request("a", "pay", HIDDEN, more=CHUNKED),
        "chunked in 1.0": request("a", "pay", more=CHUNKED)
        .replace(b"HTTP/1.1", b"HTTP/1.0")
        .replace(b"Content-Length: 0\r\n", b"")
        + HIDDEN,
        "a body in a GET": request("a", more="Content-Length: 5\r\n") + b"hello",
        "two lengths": request("a", "pay", b"hello", more="Content-Length: 4\r\n"),
        "negative length": request("a", "pay").replace(b"Length: 0", b"Length: -4"),
        "huge length": request("a", "pay").replace(b"Length: 0", b"Length: 99999999999999"),
        "no id": request("a").replace(b"X-Call-Id: a\r\n", b""),
        "no time": request("a", budget="soon"),
        "no class": request("a").replace(b"/look", b"/steal"),
        "method": request("a", "pay").replace(b"POST", b"GET"),
        "no key": request("a", "book").replace(b"Idempotency-Key: ka\r\n", b""),
        "noise": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        "a long body": request("a", "pay", bytes(200_000)).replace(b"200000", b"60000000"),
        "empty lines": b"\r\n" * 2_000,
        "a long head": b"GET /look HTTP/1.1\r\n" + b"X-Filler: yes\r\n" * 20_000,
    }[name]


@pytest.mark.parametrize(
    "name",
    [
        "both lengths", "chunked in 1.0", "a body in a GET", "two lengths", "negative length", "huge length",
        "no id", "no time", "no class", "method", "no key", "noise", "a long body", "a long head",
        "empty lines",
    ],
)  # fmt: skip
def test_what_cannot_be_served_is_answered_with_an_error_and_goes_nowhere(name: str) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with world(backend) as made:
            client = await made.client()
            client.send(bad(name))
            status, head, _ = await client.answer()
            assert 400 <= status < 600 and b"connection: close" in head.lower()
            assert await client.ended()
            usual = await made.client()
            usual.send(request("u"))
            assert (await usual.answer())[0] == 200
        assert len(backend.seen) == 1 and b"x-call-id: u" in backend.seen[0].lower()

    asyncio.run(play())


def test_the_id_of_an_open_request_is_refused_and_free_again_after_it() -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with world(backend) as made:
            first, second = await made.client(), await made.client()
            first.send(request("same"))
            await asyncio.wait_for(backend.arrived.wait(), 30)
            second.send(request("same", "pay", b"other"))
            assert (await second.answer())[0] == 409
            go.set()
            assert (await first.answer())[0] == 200
            first.send(request("same"))
            assert (await first.answer())[0] == 200
        assert len(backend.seen) == 2

    asyncio.run(play())


@pytest.mark.parametrize("begun", [b"", b"GET /look HTTP/1.1\r\nHost: a", request("a", "pay", b"xy")[:-1]])
def test_a_client_that_never_sends_a_whole_request_is_ended(begun: bytes) -> None:
    async def play() -> None:
        async with world(await Backend(OK).start()) as made:
            client = await made.client()
            client.send(begun)
            if begun:
                assert (await client.answer())[0] == 408
            assert await client.ended()
            await until(lambda: made.listener.connections == 0)
            assert made.listener.bodies.held == 0

    asyncio.run(play())


def test_more_at_once_than_a_connection_may_have_open_is_turned_away() -> None:
    async def play() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0)

        backend = await Backend(never).start()
        async with world(backend) as made:
            client = await made.client()
            client.send(b"".join(request(f"p{number}") for number in range(300)))
            statuses: list[int] = []
            while not statuses or statuses[-1] != 429:
                status, head, _ = await client.answer()
                statuses.append(status)
            assert b"retry-after" in head.lower()
            assert await client.ended()
            assert len(statuses) == 17

    asyncio.run(play())


@looped
async def test_a_client_that_goes_behind_much_that_is_read_past_is_seen_to_go() -> None:
    """It has asked, sent what cannot be served and a megabyte behind it, and closed: no more goes out."""
    go, script = gate(ERROR)
    backend = await Backend(script).start()
    async with world(backend) as made:
        client = await made.client()
        client.send(request("asked"))
        await until(lambda: len(backend.seen) == 1)
        client.send(b"GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n" + bytes(1_000_000))
        client.close()
        await until(lambda: made.agent.owed == 0)
        go.set()
        await until(lambda: made.agent.attempts == 0)
        assert len(backend.seen) == 1


@pytest.mark.parametrize("looks", [1, 2])
@looped
async def test_a_client_that_goes_between_two_looks_at_its_socket(
    looks: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whichever look was the last one that saw it: nothing goes wrong in the loop, and nothing is left."""
    look, wrong = Wire.hung_up, list[str]()
    asyncio.get_running_loop().set_exception_handler(lambda _, context: wrong.append(str(context)))
    seen: dict[Wire, int] = {}

    def leaving(wire: Wire) -> bool:
        gone = look(wire)
        seen[wire] = seen.get(wire, 0) + 1
        if seen[wire] == looks and wire is not first_wire:
            going.close()
        return gone

    backend = await Backend(OK).start()
    async with world(backend) as made:
        stays, going = await made.client(), Peer(made.listener.address)
        stays.send(request("first"))
        assert (await stays.answer())[0] == 200
        (first_wire,) = [one.wire for one in made.listener._clients if one._asked]
        monkeypatch.setattr(Wire, "hung_up", leaving)
        going.send(request("going", "pay", b"body"))
        await until(lambda: made.listener.connections == 1 and made.agent.owed == 0)
        stays.send(request("second"))
        assert (await stays.answer())[0] == 200
        assert seen and not wrong
        stays.close()


@pytest.mark.parametrize("more", ["", "Connection: close\r\n"])
@looped
async def test_a_client_that_goes_while_memory_is_short_for_its_next_body_is_seen_to_go(more: str) -> None:
    """It is not read while it waits for room, and what it asked before would be sent on."""
    go, script = gate(ERROR)
    backend = await Backend(script).start()
    async with world(backend) as made:
        made.listener.bodies.most = 1
        client = await made.client()
        client.send(request("asked"))
        await until(lambda: len(backend.seen) == 1)
        client.send(request("next", "pay", bytes(60_000), more=more)[:10_000])
        await until(lambda: made.listener.bodies.held > 4_096 or made.agent.owed == 0)
        client.close()
        await until(lambda: made.agent.owed == 0)
        go.set()
        await until(lambda: made.agent.attempts == 0)
        assert len(backend.seen) == 1 and made.listener.bodies.held == 0


@pytest.mark.parametrize("handler", ["on_request", "on_attempt_ended"])
@pytest.mark.parametrize("how", ["raises", "says nothing"])
@looped
async def test_a_decision_that_goes_wrong_costs_its_own_request_an_answer_and_nobody_else_theirs(
    handler: str, how: str
) -> None:
    backend = await Backend(ERROR).start()
    async with world(backend) as made:

        def wrong(event: object, now: int) -> list[Action]:
            if how == "raises":
                raise ZeroDivisionError
            return []

        usual = getattr(made.agent.balancer, handler)
        setattr(made.agent.balancer, handler, wrong)
        client = await made.client()
        client.send(request("a", "pay", b"x", budget="200m"))
        assert (await client.answer())[0] == 500
        setattr(made.agent.balancer, handler, usual)
        backend.script = OK
        assert made.agent.owed == 0
        client.send(request("a", "pay", b"x"))
        assert (await client.answer())[0] == 200


def test_a_client_that_sends_without_end_does_not_have_the_agent_to_itself() -> None:
    """What is sent past the last request is read to a limit, and the loop is let go on meanwhile."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with world(backend) as made:
            flood = await made.client()
            flood.send(request("a", "pay").replace(b"Length: 0", b"Length: 70000000"))
            sent = 0
            with pytest.raises(OSError):
                while sent < 64_000_000:
                    flood.send(bytes(1_000_000))
                    sent += 1_000_000
                    await flood.writer.drain()
            usual = await made.client()
            usual.send(request("u"))
            assert (await usual.answer())[0] == 200

    asyncio.run(play())


def test_a_silent_crowd_goes_before_clients_that_have_asked() -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with world(backend) as made:
            usual = await made.client()
            usual.send(request("u1"))
            assert (await usual.answer())[0] == 200
            crowd = [await connect(made.listener.address) for _ in range(300)]
            late = await made.client()
            late.send(request("late"))
            assert (await late.answer())[0] == 200
            usual.send(request("u2"))
            assert (await usual.answer())[0] == 200
            for client in crowd:
                client.close()

    asyncio.run(play())


def test_those_that_ask_once_and_stay_make_way_for_those_that_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients may hold a third of the descriptors for requests. If all of these rest, none is left to ask on
    until some are closed; those that rested longest go first, and one that goes on asking is kept."""
    monkeypatch.setattr(listener, "IDLE_S", 1_000.0)  # none goes for having rested too long

    async def play() -> None:
        backend = await Backend(OK).start()
        async with world(backend) as made:
            third = made.config.sockets // 3
            usual = await made.client()
            stay = []
            for number in range(third + 10):
                client = await made.client()
                client.send(request(f"once{number}"))
                assert (await client.answer())[0] == 200
                stay.append(client)
                usual.send(request(f"usual{number}"))
                assert (await usual.answer())[0] == 200
            assert await stay[0].ended()
            await until(lambda: made.listener.connections < third)
            usual.send(request("last"))
            assert (await usual.answer())[0] == 200
            assert len(backend.seen) == 2 * (third + 10) + 1

    asyncio.run(play())


def test_a_connection_that_has_rested_is_closed_while_another_client_may_need_it() -> None:
    """Asked once and kept for good, a few at a time, they would take all that clients may hold."""

    async def play() -> None:
        async with world(await Backend(OK).start()) as made:
            client = await made.client()
            client.send(request("once"))
            assert (await client.answer())[0] == 200
            (served,) = made.listener._resting
            assert served._until <= time.monotonic() + 2.0
            assert await client.ended()

    asyncio.run(play())


def test_a_body_in_one_byte_chunks_lets_others_go_on() -> None:
    """Parsing such a body is slow, and all of it may be there at once."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with world(backend) as made:
            order: list[str] = []

            async def ask(name: str, data: bytes) -> None:
                client = await made.client()
                client.send(data)
                assert (await client.answer())[0] == 200
                order.append(name)

            chunks = request("slow", "pay", more=CHUNKED).replace(b"Content-Length: 0\r\n", b"")
            slow = asyncio.create_task(ask("slow", chunks + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"))
            await until(lambda: made.listener.bodies.held > 0)
            assert made.listener.bodies.held < 5_000  # a read brings 10,000: the loop was let go on meanwhile
            await ask("usual", request("usual"))
            await slow
            assert len(backend.seen) == 2

    asyncio.run(play())


def test_a_client_that_is_ended_before_it_began_leaves_nothing_behind() -> None:
    """As those are that still wait to be accepted, and have said nothing, when the agent goes away."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with world(backend) as made:
            ours, theirs = socket.socketpair()
            with theirs:
                made.listener.begin(ours).cancel()
                await until(lambda: made.listener.connections == 0)
                assert ours.fileno() == -1

    asyncio.run(play())


def test_a_client_that_has_gone_is_freed_without_a_collection() -> None:
    """Its tasks, parser and socket go with it, or memory climbs from one full collection to the next."""

    async def play() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0)

        backend = await Backend(OK).start()
        async with world(backend) as made:
            for answered in (True, False):
                backend.script = OK if answered else never
                backend.arrived.clear()
                client = await made.client()
                client.send(request(f"r{answered}"))
                if answered:
                    assert (await client.answer())[0] == 200
                await asyncio.wait_for(backend.arrived.wait(), 30)
                served = weakref.WeakSet(made.listener._clients)
                assert len(served) == 1
                client.close()
                await until(functools.partial(operator.not_, served))

    gc.collect()
    gc.disable()
    try:
        asyncio.run(play())
    finally:
        gc.enable()


def test_a_refusal_by_the_agent_itself_says_when_to_come_back() -> None:
    """As the module's do; here all places for requests are taken."""

    async def play() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with world(backend, mostHeld=1) as made:
            first, second = await made.client(), await made.client()
            first.send(request("a"))
            await asyncio.wait_for(backend.arrived.wait(), 30)
            second.send(request("b"))
            status, head, _ = await second.answer()
            assert status == 503 and b"\r\nretry-after: 0.500\r\n" in head.lower()
            go.set()
            assert (await first.answer())[0] == 200

    asyncio.run(play())


def test_going_away_takes_on_what_still_comes_and_closes_after_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """After it is told to end, an agent's machine still accepts connections, and requests on them."""

    async def play() -> None:
        # Longer than the test may take, so that what comes late still comes within it.
        monkeypatch.setattr("sorrelfront.fronts.http1.GOING_AWAY_S", 60.0)
        backend = await Backend(OK).start()
        async with world(backend) as made:
            resting = await made.client()
            resting.send(request("before"))
            assert (await resting.answer())[0] == 200
            closing = asyncio.create_task(made.listener.close())
            assert await resting.ended()
            late = await made.client()
            late.send(request("late"))
            status, head, _ = await late.answer()
            assert status == 200 and b"connection: close" in head.lower()
            assert await late.ended()
            closing.cancel()

    asyncio.run(play())
