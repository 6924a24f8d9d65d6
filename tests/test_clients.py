"""Malformed, excessive and abandoned client input, over loopback sockets."""

from __future__ import annotations

import asyncio
import functools
import gc
import operator
import socket
import time
import weakref
from typing import Any

import pytest

from sorrelfront.decisions.interface import Action
from sorrelfront.events import Event
from sorrelfront.fronts import http1 as listener
from sorrelfront.lab.http1 import gated_script
from sorrelfront.lab.load_generator import SocketClient
from sorrelfront.net.http import Wire
from sorrelfront.upstreams.http1 import SETTLED_S
from tests.loopback import Backend, answer, async_test, connect, request, running_agent, until

OK = answer(b"served")
ERROR = answer(b"", "500 Internal Server Error")
CHUNKED = "Transfer-Encoding: chunked\r\n"
HIDDEN = b"0\r\n\r\n" + request("hidden", "pay")


def malformed_request(name: str) -> bytes:
    """Return a request that must not reach a backend."""
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
def test_a_malformed_request_is_answered_with_an_error_and_not_forwarded(name: str) -> None:
    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(malformed_request(name))
            status, head, _ = await client.answer()
            assert 400 <= status < 600 and b"connection: close" in head.lower()
            assert await client.wait_closed()
            usual = await made.client()
            usual.send(request("u"))
            assert (await usual.answer())[0] == 200
        assert len(backend.received) == 1 and b"x-call-id: u" in backend.received[0].lower()

    asyncio.run(scenario())


# Guards against an id that runs twice since it comes again after its client has left, or has its answer.
@pytest.mark.parametrize("cls", ["pay", "book"])
@pytest.mark.parametrize("answered", [True, False])
@async_test
async def test_an_id_that_may_have_run_is_rejected_when_it_comes_again(cls: str, answered: bool) -> None:
    go, script = gated_script(OK)
    backend = await Backend(script).start()
    async with running_agent(backend) as made:
        first, second = await made.client(), await made.client()
        first.send(request("same", cls, b"x"))
        await until(lambda: len(backend.received) == 1)
        if answered:
            go.set()
            assert (await first.answer())[0] == 200
        first.close()
        await until(lambda: made.listener.connections == 1)
        go.set()
        second.send(request("same", cls, b"x"))
        assert (await second.answer())[0] == 409
        other = await made.client()
        other.send(request("other", cls, b"x"))
        assert (await other.answer())[0] == 200
        assert len(backend.received) == 2


# Guards against a client that gets no answer when another process tells of its id between two looks at it.
@async_test
async def test_an_id_that_becomes_known_as_its_request_is_taken_is_looked_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    wrong: list[str] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: wrong.append(str(context)))
    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        looks = iter([False])
        monkeypatch.setattr(made.agent, "has_seen", lambda call: next(looks, True))
        client = await made.client()
        client.send(request("one", "pay", b"x"))
        assert (await client.answer())[0] == 200 and not wrong


@async_test
async def test_an_id_whose_attempts_never_ran_may_come_again() -> None:
    refusals = iter([answer(b"", "503 Busy", "X-Rejected: 1\r\n")] * 3)

    async def first_busy(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(next(refusals, OK))

    backend = await Backend(first_busy).start()
    async with running_agent(backend) as made:
        client = await made.client()
        statuses = []
        for _ in range(3):
            client.send(request("same", "pay", b"x"))
            statuses.append((await client.answer())[0])
            if statuses[-1] == 409:
                break
        assert statuses[0] == 503 and 200 in statuses


def test_the_id_of_a_request_in_flight_is_rejected_until_it_is_answered() -> None:
    async def scenario() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with running_agent(backend) as made:
            first, second = await made.client(), await made.client()
            first.send(request("same"))
            await asyncio.wait_for(backend.arrived.wait(), 30)
            second.send(request("same", "pay", b"other"))
            assert (await second.answer())[0] == 409
            go.set()
            assert (await first.answer())[0] == 200
            first.send(request("same"))
            assert (await first.answer())[0] == 200
        assert len(backend.received) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("start", [b"", b"GET /look HTTP/1.1\r\nHost: a", request("a", "pay", b"xy")[:-1]])
def test_a_client_that_never_sends_a_complete_request_is_disconnected(start: bytes) -> None:
    async def scenario() -> None:
        async with running_agent(await Backend(OK).start()) as made:
            client = await made.client()
            client.send(start)
            if start:
                assert (await client.answer())[0] == 408
            assert await client.wait_closed()
            await until(lambda: made.listener.connections == 0)
            assert made.listener.memory.held == 0

    asyncio.run(scenario())


def test_too_many_pipelined_requests_are_rejected() -> None:
    async def scenario() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0)

        backend = await Backend(never).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(b"".join(request(f"p{number}") for number in range(300)))
            statuses: list[int] = []
            while not statuses or statuses[-1] != 429:
                status, head, _ = await client.answer()
                statuses.append(status)
            assert b"retry-after" in head.lower()
            assert await client.wait_closed()
            assert len(statuses) == 17

    asyncio.run(scenario())


@async_test
async def test_a_disconnect_after_much_discarded_input_is_noticed() -> None:
    """The client sends a request, an invalid one and a megabyte, and closes: its request is not retried."""
    go, script = gated_script(ERROR)
    backend = await Backend(script).start()
    async with running_agent(backend) as made:
        client = await made.client()
        client.send(request("asked"))
        await until(lambda: len(backend.received) == 1)
        client.send(b"GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n" + bytes(1_000_000))
        client.close()
        await until(lambda: made.agent.pending_requests == 0)
        go.set()
        await until(lambda: made.agent.attempts == 0)
        assert len(backend.received) == 1


# Guards against requests that are sent on for a client whose close lies behind more that it has sent.
@pytest.mark.parametrize("more", ["", "Connection: keep-alive, x\r\n"])
@async_test
async def test_nothing_is_sent_for_a_client_that_closes_behind_unread_requests(more: str) -> None:
    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        stays = await made.client()
        stays.send(request("before"))
        assert (await stays.answer())[0] == 200
        await asyncio.sleep(2 * SETTLED_S)  # on such a connection the next request is sent at once
        gone = SocketClient(made.listener.address)
        gone.send(b"".join(request(f"r{number}", "book", bytes(30_000), more=more) for number in range(4)))
        gone.close()  # before the agent, in this event loop, has read anything
        await until(lambda: made.agent.events.count(Event.CLOSED, listener.CloseReason.CLIENT) == 1)
        await until(lambda: made.agent.attempts == 0)
        stays.send(request("after"))
        assert (await stays.answer())[0] == 200
        assert len(backend.received) == 2 and made.agent.pending_requests == 0
        assert made.upstream.memory.held == 0


@pytest.mark.parametrize("checks", [1, 2])
@async_test
async def test_a_client_that_disconnects_between_two_checks_of_its_socket(
    checks: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whichever check was the last to see it connected: no error in the event loop, and nothing is leaked."""
    check, wrong = Wire.hung_up, list[str]()
    asyncio.get_running_loop().set_exception_handler(lambda _, context: wrong.append(str(context)))
    seen: dict[Wire, int] = {}

    def leaving(wire: Wire) -> bool:
        gone = check(wire)
        seen[wire] = seen.get(wire, 0) + 1
        if seen[wire] == checks and wire is not first_wire:
            going.close()
        return gone

    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        stays, going = await made.client(), SocketClient(made.listener.address)
        stays.send(request("first"))
        assert (await stays.answer())[0] == 200
        (first_wire,) = [one.wire for one in made.listener._clients if one._had_request]
        monkeypatch.setattr(Wire, "hung_up", leaving)
        going.send(request("going", "pay", b"body"))
        await until(lambda: made.listener.connections == 1 and made.agent.pending_requests == 0)
        stays.send(request("second"))
        assert (await stays.answer())[0] == 200
        assert seen and not wrong
        stays.close()


@pytest.mark.parametrize("more", ["", "Connection: close\r\n"])
@async_test
async def test_a_disconnect_while_memory_is_short_for_the_next_body_is_noticed(more: str) -> None:
    """A client that waits for memory is not read: its disconnect could be missed and its request retried."""
    go, script = gated_script(ERROR)
    backend = await Backend(script).start()
    async with running_agent(backend) as made:
        made.listener.memory.max_bytes = 1
        client = await made.client()
        client.send(request("asked"))
        await until(lambda: len(backend.received) == 1)
        client.send(request("next", "pay", bytes(60_000), more=more)[:10_000])
        await until(lambda: made.listener.memory.held > 4_096 or made.agent.pending_requests == 0)
        client.close()
        await until(lambda: made.agent.pending_requests == 0)
        go.set()
        await until(lambda: made.agent.attempts == 0)
        assert len(backend.received) == 1 and made.listener.memory.held == 0


@pytest.mark.parametrize("handler", ["on_request", "on_attempt_ended"])
@pytest.mark.parametrize("how", ["raises", "says nothing"])
@async_test
async def test_a_failing_decision_fails_only_its_own_request(handler: str, how: str) -> None:
    backend = await Backend(ERROR).start()
    async with running_agent(backend) as made:

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
        assert made.agent.pending_requests == 0
        client.send(request("b", "pay", b"x"))
        assert (await client.answer())[0] == 200


# Guards against a process that goes over its memory limit when many clients send heads of many short fields.
@pytest.mark.parametrize("more", ["", "TE: x\r\n"])
@async_test
async def test_a_head_with_very_many_fields_is_rejected_and_one_with_many_is_counted(more: str) -> None:
    go, script = gated_script(OK)
    backend = await Backend(script).start()
    async with running_agent(backend) as made:
        client, other = await made.client(), await made.client()
        client.send(request("very-many", "pay", b"x", more=more + "a:b\r\n" * 300))
        assert (await client.answer())[0] == 431
        other.send(request("many", "pay", b"x", more=more + "a:b\r\n" * 200))
        await until(lambda: len(backend.received) == 1)
        assert made.upstream.memory.requests_held > 200 * 150
        go.set()
        assert (await other.answer())[0] == 200
        assert made.upstream.memory.held == 0 and b"x-call-id: many" in backend.received[0].lower()


@async_test
async def test_a_head_with_many_fields_is_refused_without_memory_for_it() -> None:
    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        made.listener.memory.max_bytes = 1
        client = await made.client()
        client.send(request("many", "pay", b"x", more="a:b\r\n" * 200))
        assert (await client.answer())[0] == 503
        assert backend.received == [] and made.upstream.memory.held == 0


# Guards against other clients that wait while one sends readiness checks at full speed on one connection.
@pytest.mark.parametrize("more", ["", "TE: x\r\n"])
@async_test
async def test_many_short_requests_of_one_read_do_not_block_the_event_loop(
    more: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    answer_text = listener._Client._enqueue_text
    answered_in_turns = [0]

    def counting(*arguments: Any) -> None:
        answered_in_turns[-1] += 1
        answer_text(*arguments)

    async def count_turns() -> None:
        while True:
            await asyncio.sleep(0)
            answered_in_turns.append(0)

    monkeypatch.setattr(listener._Client, "_enqueue_text", counting)
    async with running_agent() as made:
        client = await made.client()
        check = f"GET /health/ready HTTP/1.1\r\nHost: a\r\n{more}\r\n".encode()
        count = 65_536 // len(check)
        turns = asyncio.create_task(count_turns())
        client.send(check * count)
        assert [(await client.answer())[0] for _ in range(count)] == [200] * count
        turns.cancel()
        assert max(answered_in_turns) <= listener.MAX_REQUESTS_PER_TURN


def test_a_client_that_sends_endlessly_does_not_block_the_agent() -> None:
    """Input after the last request is discarded up to a limit, and the event loop serves others meanwhile."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
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

    asyncio.run(scenario())


def test_silent_connections_are_evicted_before_clients_that_have_sent_requests() -> None:
    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
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

    asyncio.run(scenario())


def test_idle_connections_are_shed_for_clients_that_send_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients may hold a third of the descriptors for requests.

    If all of these are idle, no other client can send a request until some are closed. The longest idle are
    closed first, and a connection that keeps sending requests is kept.
    """
    monkeypatch.setattr(listener, "IDLE_S", 1_000.0)  # no idle timeouts

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
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
            assert await stay[0].wait_closed()
            await until(lambda: made.listener.connections < third)
            usual.send(request("last"))
            assert (await usual.answer())[0] == 200
            assert len(backend.received) == 2 * (third + 10) + 1

    asyncio.run(scenario())


def test_an_idle_connection_is_closed_after_its_timeout() -> None:
    """Connections used once and kept open would in time use up all that clients may hold."""

    async def scenario() -> None:
        async with running_agent(await Backend(OK).start()) as made:
            client = await made.client()
            client.send(request("once"))
            assert (await client.answer())[0] == 200
            (served,) = made.listener._idle
            assert served._deadline <= time.monotonic() + 2.0
            assert await client.wait_closed()

    asyncio.run(scenario())


def test_a_body_in_one_byte_chunks_does_not_block_other_requests() -> None:
    """Parsing such a body is slow, and all of it may have arrived at once."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            order: list[str] = []

            async def ask(name: str, data: bytes) -> None:
                client = await made.client()
                client.send(data)
                assert (await client.answer())[0] == 200
                order.append(name)

            chunks = request("slow", "pay", more=CHUNKED).replace(b"Content-Length: 0\r\n", b"")
            slow = asyncio.create_task(ask("slow", chunks + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"))
            await until(lambda: made.listener.memory.held > 0)
            assert made.listener.memory.held < 5_000  # a read holds 10,000: the loop ran others meanwhile
            await ask("usual", request("usual"))
            await slow
            assert len(backend.received) == 2

    asyncio.run(scenario())


def test_a_client_cancelled_before_its_first_step_leaves_nothing_behind() -> None:
    """This happens to silent connections that still wait to be accepted when the agent shuts down."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            ours, theirs = socket.socketpair()
            with theirs:
                made.listener.serve(ours).cancel()
                await until(lambda: made.listener.connections == 0)
                assert ours.fileno() == -1

    asyncio.run(scenario())


def test_a_disconnected_client_is_freed_without_garbage_collection() -> None:
    """Reference cycles would keep its tasks, parser and socket until the next full collection."""

    async def scenario() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0)

        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
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
        asyncio.run(scenario())
    finally:
        gc.enable()


def test_a_refusal_by_the_agent_itself_has_retry_after() -> None:
    """As refusals by the module do. Here the maximum number of requests is in flight."""

    async def scenario() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with running_agent(backend, mostHeld=1) as made:
            first, second = await made.client(), await made.client()
            first.send(request("a"))
            await asyncio.wait_for(backend.arrived.wait(), 30)
            second.send(request("b"))
            status, head, _ = await second.answer()
            assert status == 503 and b"\r\nretry-after: 0.500\r\n" in head.lower()
            go.set()
            assert (await first.answer())[0] == 200

    asyncio.run(scenario())


def test_a_shutdown_serves_late_requests_and_closes_after_them(monkeypatch: pytest.MonkeyPatch) -> None:
    """After SIGTERM, new connections and requests still arrive for a while."""

    async def scenario() -> None:
        # Longer than the test may take, so that the late request arrives within it.
        monkeypatch.setattr("sorrelfront.fronts.http1.SHUTDOWN_GRACE_S", 60.0)
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            resting = await made.client()
            resting.send(request("before"))
            assert (await resting.answer())[0] == 200
            closing = asyncio.create_task(made.listener.close())
            assert await resting.wait_closed()
            late = await made.client()
            late.send(request("late"))
            status, head, _ = await late.answer()
            assert status == 200 and b"connection: close" in head.lower()
            assert await late.wait_closed()
            closing.cancel()

    asyncio.run(scenario())
