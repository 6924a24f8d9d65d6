"""Backends whose answers are malformed, broken off or unsolicited, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import pytest

from sorrelfront.upstreams import http1 as upstream
from tests.answering import ask
from tests.loopback import (
    WAIT_TIMEOUT_S,
    Backend,
    Registry,
    answer,
    async_test,
    member,
    request,
    running_agent,
    until,
)

OK = answer(b"served")
MALFORMED = {
    "noise": b"\x00\xff\x16 no answer at all\r\n\r\n",
    "a flood of a head": b"HTTP/1.1 200 OK\r\n" + b"X-Filler: yes\r\n" * 5_000,
    "very many fields": OK.replace(b"Content", b"a:b\r\n" * 300 + b"Content"),
    "two lengths": OK.replace(b"Content", b"Transfer-Encoding: chunked\r\nContent"),
    "3 GB": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(50_000),
    "1xx without end": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50,
    "a wrong length": OK.replace(b"Length: 6", b"Length: -6"),
}
# What a slow server sends looks the same.
UNFINISHED = {
    "a head without end": b"HTTP/1.1 200 OK\r\nX-Filler: yes\r\n",
    "longer than it is": OK.replace(b"Length: 6", b"Length: 600"),
    "no length, and no end": b"HTTP/1.1 200 OK\r\n\r\nserved",
    "chunks without end": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"400\r\n%s\r\n" % bytes(0x400) * 10,
}
PASSED_ON = ("no length, and no end", "chunks without end")  # in part: they may be long


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_answer_is_a_failed_attempt_that_may_have_run(name: str) -> None:
    """A safe request is retried at once, an unsafe one fails, and neither waits for its deadline."""

    async def scenario() -> None:
        async def first_malformed(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(MALFORMED[name] if len(backend.received) == 1 else OK)

        backend = await Backend(first_malformed).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(request("safe"))
            assert (await client.answer())[2] == b"served"
            assert len(backend.received) == 2 and made.upstream.open_connections == 1
            backend.received.clear()
            client.send(request("unsafe", "pay", b"x"))
            assert (await client.answer())[0] == 500
            assert len(backend.received) == 1 and made.upstream.open_connections == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("name", UNFINISHED)
@async_test
async def test_an_answer_that_stops_ends_with_its_clients_time(name: str) -> None:
    """Guards against half an answer passed on as whole, and against a wait without end for its rest."""
    backend = await Backend(UNFINISHED[name]).start()
    async with running_agent(backend) as made:
        safe, unsafe = await asyncio.gather(
            ask(made.listener.address, request("safe", budget="400m")),
            ask(made.listener.address, request("unsafe", "pay", b"x", budget="400m")),
        )
        assert safe.ended and unsafe.ended
        if name in PASSED_ON:
            assert (safe.status, safe.whole, unsafe.status, unsafe.whole) == (200, False, 200, False)
        else:
            assert (safe.status, unsafe.status) == (503, 500)
        assert len(backend.received) == 2
        await until(lambda: made.upstream.open_connections == 0)
        assert made.agent.attempts == 0 and made.upstream.memory.held == 0


# Guards against a safe request that fails where it is to be refused: the process stood still at its deadline.
@async_test
async def test_a_pause_of_this_process_at_a_deadline_leaves_the_answer_to_the_attempt() -> None:
    backend = await Backend(UNFINISHED["longer than it is"]).start()
    async with running_agent(backend) as made:
        asking = asyncio.create_task(ask(made.listener.address, request("safe", budget="400m")))
        await until(lambda: len(backend.received) == 1)
        (held,) = made.agent._pending.values()
        assert held.deadline_timer is not None
        asyncio.get_running_loop().call_at(held.deadline_timer.when() - 0.02, time.sleep, 0.1)
        assert (await asking).status == 503


@pytest.mark.parametrize("more", [OK, b"noise"])
def test_bytes_after_an_answer_reach_no_other_request(more: bytes) -> None:
    async def scenario() -> None:
        async def script(seen: bytes, writer: asyncio.StreamWriter) -> None:
            name = seen.lower().split(b"x-call-id: ")[1].split(b"\r\n")[0]
            writer.write(answer(name) + more.replace(b"served", name))

        backend = await Backend(script).start()
        async with running_agent(backend) as made:
            client = await made.client()
            for number in range(20):
                client.send(request(f"r{number}"))
                assert (await client.answer())[2] == b"r%d" % number

    asyncio.run(scenario())


def test_informational_answers_are_skipped_and_may_be_slow() -> None:
    async def scenario() -> None:
        go = asyncio.Event()

        async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
            await go.wait()
            writer.write(OK)

        backend = await Backend(script).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(request("a", "pay", b"x"))
            await asyncio.wait_for(backend.arrived.wait(), WAIT_TIMEOUT_S)
            asyncio.get_running_loop().call_later(0.8, go.set)  # longer than an answer may stall
            assert (await client.answer())[2] == b"served"

    asyncio.run(scenario())


def test_a_refusal_whose_body_never_arrives_is_reported_at_once() -> None:
    """The next attempt, or the final answer, does not wait for the rest of a refusal."""

    async def scenario() -> None:
        status = answer(b"", "503 Service Unavailable", "X-Rejected: 1\r\n").replace(b": 0", b": 60")

        async def first_refused(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(status if len(backend.received) == 1 else OK)

        backend = await Backend(first_refused).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(request("a", "pay", b"x"))
            await until(lambda: bool(made.upstream.connections_opened))
            assert (await client.answer())[2] == b"served"
            # The first was not reused: the rest of the refusal could still arrive on it.
            assert backend.connections == 2

    asyncio.run(scenario())


def test_connections_to_a_removed_backend_are_closed() -> None:
    async def scenario() -> None:
        backend, registry = await Backend(OK).start(), await Registry().start()
        async with running_agent(backend, registry=registry) as made:
            client = await made.client()
            client.send(request("a"))
            assert (await client.answer())[0] == 200
            assert made.upstream.open_connections == 1
            await asyncio.wait_for(registry.watch_opened.wait(), WAIT_TIMEOUT_S)
            # Another process at the same address, under another id.
            registry.send_update(2, member("b0", backend.address, "gone"), member("b9", backend.address))
            await until(lambda: made.upstream.open_connections == 0)
            client.send(request("b"))
            assert (await client.answer())[0] == 200
            assert backend.connections == 2

    asyncio.run(scenario())


def test_an_attempt_cancelled_before_it_starts_leaves_nothing_behind() -> None:
    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            for number in range(20):
                client = await made.client()
                client.send(request(f"r{number}", "pay", b"x"))
                client.close()
            await until(lambda: made.listener.connections == 0 and made.agent.attempts == 0)
            assert made.agent.pending_requests == 0

    asyncio.run(scenario())


def test_a_settled_idle_connection_is_preferred_to_one_just_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """On it a repeatable request is sent in one piece, without a short wait for a reset."""
    clock = SimpleNamespace(now=100.0)
    clock.monotonic = lambda: clock.now
    monkeypatch.setattr(upstream, "time", clock)

    async def scenario() -> None:
        go = asyncio.Event()
        used: list[asyncio.StreamWriter] = []

        async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
            used.append(writer)
            await go.wait()
            writer.write(OK)

        backend = await Backend(script).start()
        async with running_agent(backend) as made:
            clients = [await made.client(), await made.client()]
            for number, client in enumerate(clients):
                client.send(request(f"first{number}"))
            await until(lambda: len(used) == 2)
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200
            clock.now += 1.0
            for number in range(2):
                clients[0].send(request(f"next{number}"))
                assert (await clients[0].answer())[0] == 200
            assert backend.connections == 2 and used[2] is not used[3]
            # Neither has settled: the most recently used one is taken, so that the other could time out.
            clients[0].send(request("last"))
            assert (await clients[0].answer())[0] == 200
            assert used[4] is used[3]

    asyncio.run(scenario())
