"""Request bodies that wait for memory: their clients' time runs on, and somebody ends the wait."""

from __future__ import annotations

import asyncio
import re
import time

import pytest

from sorrelfront.events import Event
from sorrelfront.fronts import http1 as front
from sorrelfront.fronts.request_head import RejectReason
from sorrelfront.net import budget
from sorrelfront.net.bodies import MAX_UNSEEN_BYTES, UnreadTime
from sorrelfront.net.budget import MAX_BUFFERED_BODY, MemoryShare
from tests.loopback import AgentHarness, Backend, Client, answer, async_test, request, running_agent, until

OK = answer(b"served")
BODY = bytes(24_000)
FIRST = 12_000  # bytes of a request that are read before memory is short


def chunked(name: str, budget: str) -> bytes:
    head = request(name, "book", budget=budget).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)


def use_all_room(made: AgentHarness) -> MemoryShare:
    share = made.listener.memory.share()
    share.add(made.listener.memory.max_bytes)
    return share


async def send_in_two(made: AgentHarness, client: Client, data: bytes) -> MemoryShare:
    """Send a request of which only the first part is read; the share returned takes all the memory."""
    share = use_all_room(made)
    client.send(data[:FIRST])
    await until(lambda: made.listener.memory.held > share.held)
    client.send(data[FIRST:])
    await client.writer.drain()
    return share


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_body_without_room_is_refused_within_its_clients_time(framing: str) -> None:
    """Guards against a request without an answer in time, since other clients' bodies hold the memory."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            client = await made.client()
            data = chunked("r", "300m") if framing == "chunked" else request("r", "book", BODY, "300m")
            await send_in_two(made, client, data)
            status, head, _ = await client.answer()
            assert status == 503 and b"connection: close" in head.lower()
            assert made.agent.events.count(Event.REFUSED, RejectReason.NO_ROOM) == 1
            assert not backend.received
            assert await client.wait_closed()

    asyncio.run(scenario())


@async_test
async def test_the_wait_for_room_is_not_given_to_the_server_again() -> None:
    """Guards against a server that is told, and an agent that waits for, time that is not left."""
    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        client = await made.client()
        share = await send_in_two(made, client, request("r", "book", BODY, "4000m"))
        await until(lambda: len(made.listener.memory._growing) == 1)
        began = time.monotonic()
        await asyncio.sleep(0.5)
        waited_us = (time.monotonic() - began) * 1e6
        share.release()
        assert (await client.answer())[0] == 200
        told = re.search(rb"x-budget: (\d+)u", backend.received[0].lower())
        assert told is not None and int(told[1]) <= 4_000_000 - waited_us


@async_test
async def test_a_refusal_without_room_behind_another_request_ends_the_connection() -> None:
    """Guards against a next request that is discarded without an answer."""
    go = asyncio.Event()

    async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        writer.write(OK)

    backend = await Backend(later).start()
    async with running_agent(backend) as made:
        client = await made.client()
        client.send(request("first"))
        await backend.arrived.wait()
        use_all_room(made)
        client.send(request("second", "book", BODY)[:FIRST])
        go.set()
        assert (await client.answer())[0] == 200
        status, head, _ = await client.answer()
        assert status == 503 and b"connection: close" in head.lower()


def test_a_pause_counts_only_where_the_last_byte_may_have_been_written() -> None:
    length = MAX_UNSEEN_BYTES + 1_000
    unread = UnreadTime(length)
    unread.pause(10.0, 999)  # more is missing than kernels hold
    assert unread.seconds(13.0) == 0.0
    unread.resume(13.0)
    unread.pause(20.0, 1_000)
    assert unread.seconds(21.0) == 1.0
    unread.resume(22.0)
    unread.pause(30.0, length - 1)
    assert unread.seconds(31.0) == 3.0
    unread.resume(31.0)
    unread.client_was_read_dry()
    assert unread.seconds(40.0) == 0.0


def test_of_a_body_without_a_length_the_pauses_at_its_end_count() -> None:
    unread = UnreadTime(None)
    for span in range(4):
        unread.pause(10.0 * span, span * MAX_UNSEEN_BYTES)
        unread.resume(10.0 * span + 1.0)
    assert unread.seconds(40.0) == 2.0
    unread.pause(50.0, 9 * MAX_UNSEEN_BYTES)
    assert unread.seconds(50.5) == 0.5


async def stalled_client(made: AgentHarness, name: str, length: int, sent: int) -> Client:
    """Return a client that has stopped in the middle of a body, all of whose bytes have been read."""
    client = await made.client()
    before = made.listener.memory.held
    client.send(request(name, "book", bytes(length))[: sent - length])
    await until(lambda: made.listener.memory.held >= before + min(sent, MAX_BUFFERED_BODY))
    return client


@pytest.mark.parametrize(("length", "sent"), [(64_000, 63_000), (100_000, MAX_BUFFERED_BODY)])
def test_stalled_bodies_make_room_for_those_that_come(
    length: int, sent: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against usual clients refused because clients that stop in the middle of a body hold the memory.

    Bodies that are buffered, and those that are streamed to a server, which hold what an attempt sends first.
    """
    monkeypatch.setattr(budget, "MIN_STALL_S", 0.0)
    monkeypatch.setattr(front, "REQUEST_TIMEOUT_S", 60.0)
    monkeypatch.setattr(front, "MAX_BODY_PAUSE_S", 60.0)

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            bodies = made.listener.memory
            stalled = [await stalled_client(made, f"s{at}", length, sent) for at in range(3)]
            bodies.max_bytes = bodies.held
            client = await made.client()
            client.send(request("r", "book", BODY, "4000m"))
            assert (await client.answer())[0] == 200
            if length <= MAX_BUFFERED_BODY:
                status, head, _ = await stalled[0].answer()
                assert status == 503 and b"connection: close" in head.lower()
            else:
                assert await stalled[0].wait_closed()
            assert not any(body.endswith(bytes(length)) for body in backend.received)

    asyncio.run(scenario())


@async_test
async def test_a_body_that_waits_unread_is_not_taken_for_stalled() -> None:
    """Guards against usual clients that are ended for each other while all of them wait for room."""
    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        clients = [await made.client() for _ in range(4)]
        share = use_all_room(made)
        data = [request(f"r{at}", "book", BODY) for at in range(4)]
        for client, whole in zip(clients, data, strict=True):
            client.send(whole[:FIRST])
        await until(lambda: made.listener.memory.held > share.held + 4 * (budget.SMALL_BODY - 1_000))
        for client, whole in zip(clients, data, strict=True):
            client.send(whole[FIRST:])
        await until(lambda: len(made.listener.memory._growing) == 4)
        await asyncio.sleep(2 * budget.MIN_STALL_S)
        share.release()
        for client in clients:
            assert (await client.answer())[0] == 200


@async_test
async def test_a_rejected_body_frees_its_room_though_its_client_stays(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory held for a second more by a client that is told to go and does not."""
    monkeypatch.setattr(front, "LINGER_S", 60.0)
    async with running_agent(await Backend(OK).start()) as made:
        client = await stalled_client(made, "s", 64_000, 63_000)
        assert (await client.answer())[0] == 408
        assert made.listener.memory.held == 0 and made.listener.connections == 1
