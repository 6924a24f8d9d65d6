"""Memory held for clients and servers: freed as soon as nobody needs it, and bounded."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import socket
import tracemalloc
from collections.abc import Iterator
from typing import Any

import pytest

from sorrelfront.agent import PendingRequest
from sorrelfront.events import Event
from sorrelfront.fronts import http1 as front
from sorrelfront.fronts.http1 import Listener
from sorrelfront.fronts.request_head import RejectReason
from sorrelfront.lab.http1 import make_config, member
from sorrelfront.messages import Call
from sorrelfront.net.budget import (
    MIN_BUDGET,
    MIN_READ_BYTES,
    SMALL_BODY,
    Descriptors,
    MemoryBudget,
    MemoryShare,
)
from sorrelfront.platform.config import parse
from sorrelfront.sites.requests import Gateway
from tests.loopback import (
    AgentHarness,
    Backend,
    Client,
    answer,
    async_test,
    connect,
    request,
    running_agent,
    until,
)

LONG = bytes(300_000)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG)
CUT = answer(LONG)[:200_000]


@pytest.fixture
def no_collector() -> Iterator[None]:
    """Keep the garbage collector from freeing what is not freed by itself."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def live_calls() -> int:
    """Return how many requests are in memory, answered or not."""
    return sum(isinstance(item, Call) for item in gc.get_objects())


async def cut(_: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(CUT)
    writer.close()


async def read_some(client: Client) -> None:
    """Read the head of an answer and some of its body."""
    await client.head()
    await client.reader.readexactly(1_000)


@pytest.fixture
def traced() -> Iterator[None]:
    """Count the bytes that Python allocates."""
    tracemalloc.start()
    yield
    tracemalloc.stop()


@pytest.mark.usefixtures("traced")
@pytest.mark.parametrize("parts", [1, 2])
def test_a_request_is_in_memory_once_while_its_server_works(parts: int) -> None:
    """Guards against copies of requests that the variables of waiting coroutines keep."""

    async def scenario() -> None:
        count, body = 20, bytes(60_000)
        silent = socket.create_server(("127.0.0.1", 0), backlog=count)  # the kernel takes what is sent
        host, port = silent.getsockname()
        made = AgentHarness(parse(make_config("127.0.0.1:9", [member("b0", f"{host}:{port}")])))
        clients = [await made.client() for _ in range(count)]
        before = tracemalloc.get_traced_memory()[0]
        for part in range(parts):
            for number, client in enumerate(clients):
                data = request(f"r{number}", "book", body)
                client.send(data[part * len(data) // parts : (part + 1) * len(data) // parts])
                await client.writer.drain()
            if part + 1 < parts:
                await until(lambda: made.listener.memory.held > count * len(body) // 3)
                assert tracemalloc.get_traced_memory()[0] - before < 1.5 * made.listener.memory.held
        await until(lambda: made.upstream.requests_written == count)
        used = tracemalloc.get_traced_memory()[0] - before
        assert made.listener.memory.held == count * len(body)
        assert used < 1.5 * made.listener.memory.held
        made.agent.close()
        silent.close()
        for client in clients:
            client.close()

    asyncio.run(scenario())


@pytest.mark.usefixtures("traced")
def test_half_an_answer_is_in_memory_once() -> None:
    """Guards against a second copy of an answer's last read, kept while the next one is awaited."""

    async def scenario() -> None:
        count, whole, rest = 20, answer(bytes(64_000)), asyncio.Event()

        async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(whole[:60_000])
            await rest.wait()
            writer.write(whole[60_000:])

        async with running_agent(await Backend(script).start()) as made:
            clients = [await made.client() for _ in range(count)]
            before = tracemalloc.get_traced_memory()[0]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}"))
            await until(lambda: made.listener.memory.answers_held == count * 60_000)
            assert tracemalloc.get_traced_memory()[0] - before < 1.5 * made.listener.memory.held
            rest.set()
            assert [(await client.answer())[0] for client in clients] == [200] * count

    asyncio.run(scenario())


@pytest.mark.usefixtures("traced")
def test_what_is_discarded_is_not_in_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the last read of each rejected request, kept until its connection closes."""
    monkeypatch.setattr(front, "LINGER_S", 60.0)

    async def scenario() -> None:
        count = 20
        async with running_agent(await Backend(answer(b"served")).start()) as made:
            clients = [await made.client() for _ in range(count)]
            for client in clients:
                client.send(b"POST /book HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                assert (await client.answer())[0] == 400
            before = tracemalloc.get_traced_memory()[0]
            for client in clients:
                client.send(bytes(60_000))
                await client.writer.drain()
            await until(lambda: all(item.wire.nothing_unread() for item in made.listener._clients))
            assert tracemalloc.get_traced_memory()[0] - before < count * SMALL_BODY

    asyncio.run(scenario())


@pytest.mark.usefixtures("no_collector")
@pytest.mark.parametrize("reply", [answer(LONG), CHUNKED], ids=["length", "chunked"])
def test_a_request_with_a_long_answer_is_freed_when_it_is_answered(reply: bytes) -> None:
    """Guards against bodies that stay in memory after their answers until the collector comes."""

    async def scenario() -> None:
        backend = await Backend(reply).start()
        async with running_agent(backend) as made:
            client = await made.client()
            for number in range(5):
                client.send(request(f"r{number}", "book", bytes(30_000)))
                await client.head()
                assert len(await client.reader.readexactly(len(LONG))) == len(LONG)
                if reply is CHUNKED:
                    await client.reader.readuntil(b"\r\n0\r\n\r\n")
            await until(lambda: made.listener.in_flight == 0)
            assert live_calls() == 0
            client.close()

    asyncio.run(scenario())


@pytest.mark.usefixtures("no_collector")
@async_test
async def test_a_request_whose_long_answer_breaks_off_is_freed() -> None:
    """Guards against bodies that stay in memory if server or client ends a long answer."""
    backend, whole = await Backend(cut).start(), await Backend(answer(bytes(20_000_000))).start()
    async with running_agent(backend) as made, running_agent(whole) as other:
        client = await made.client()
        client.send(request("r0", "book", bytes(30_000)))
        assert await client.wait_closed()
        leaving = await other.client()
        leaving.send(request("r1", "book", bytes(30_000)))
        await read_some(leaving)
        leaving.writer.transport.abort()
        await until(lambda: made.listener.connections + other.listener.connections == 0)
        await until(lambda: other.upstream.open_connections == 0)
        assert live_calls() == 0
        client.close()


class SilentGateway(Gateway):
    """Admits every request and answers none."""

    def submit(self, call: Call) -> PendingRequest:
        """Admit a request."""
        return PendingRequest(1, call, asyncio.get_running_loop().create_future())


@pytest.mark.usefixtures("no_collector")
@async_test
async def test_a_request_of_a_partner_that_leaves_is_freed() -> None:
    """Guards against requests whose client has left kept by the callback for their answers.

    The gateway of a site does not remove the callback, as the agent does: the front that set it has to.
    """
    nobody: Any = None
    async with running_agent(await Backend(answer(b"served")).start()) as made:
        gateway = SilentGateway(nobody, nobody, nobody, nobody)
        gateway._agent = made.agent  # type: ignore[assignment]
        memory = MemoryBudget(64 << 20, 256)
        listener = Listener(gateway, ("127.0.0.1", 0), Descriptors(256), memory)
        client = await connect(listener.address)
        client.send(request("r0", "book", bytes(30_000)))
        await until(lambda: listener.in_flight == 1)
        assert memory.held == 30_000
        client.writer.transport.abort()
        await until(lambda: listener.connections == 0)
        assert memory.held == 0 and live_calls() == 0
        await listener.close()


@pytest.mark.parametrize("long", [False, True])
@async_test
async def test_an_incomplete_trailer_section_is_counted(long: bool) -> None:
    """Guards against a limit exceeded by bytes that the parser of each connection keeps until a line ends."""
    body, trailer = bytes(90_000 if long else 100), b"0\r\nX-Long: " + b"t" * 15_000
    sent = asyncio.Event()

    async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
        await sent.wait()
        writer.write(answer(b"served"))

    async with running_agent(await Backend(script).start()) as made:
        memory, client = made.listener.memory, await made.client()
        whole = request("r", "book", body).replace(
            b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked"
        )
        head = whole[: len(whole) - len(body)]
        client.send(head + b"%x\r\n%b\r\n" % (len(body), body) + trailer)
        await until(lambda: memory.requests_held == len(trailer) - 3 + len(body))
        client.send(b"\r\n\r\n")
        await until(lambda: made.upstream.requests_written == 1)
        sent.set()
        assert (await client.answer())[0] == 200
        await until(lambda: memory.held == 0)


@async_test
async def test_an_incomplete_chunk_line_of_a_long_answer_is_counted() -> None:
    """Guards against a limit exceeded by bytes that the parser of each answer keeps until a line ends."""
    rest = asyncio.Event()
    line = b"%x;" % 5 + b"e" * 12_000

    async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(CHUNKED.removesuffix(b"0\r\n\r\n") + line)
        await rest.wait()
        writer.write(b"\r\nabcde\r\n0\r\n\r\n")

    async with running_agent(await Backend(script).start()) as made:
        client = await made.client()
        client.send(request("r"))
        await client.head()
        await client.reader.readexactly(len(LONG))
        await until(lambda: made.listener.memory.answers_held == len(line))
        rest.set()
        await client.reader.readuntil(b"abcde")
        await until(lambda: made.listener.memory.held == 0)


def fill(made: AgentHarness) -> MemoryShare:
    """Return a share that holds all the memory."""
    share = made.listener.memory.share()
    share.add(made.listener.memory.max_bytes)
    return share


@async_test
async def test_long_requests_are_not_read_before_there_is_room_for_them() -> None:
    """Guards against a limit exceeded by the first read of each request, of up to 64 KiB."""
    async with running_agent(await Backend(answer(b"served")).start()) as made:
        memory, share = made.listener.memory, fill(made)
        clients = [await made.client() for _ in range(8)]
        for number, client in enumerate(clients):
            client.send(request(f"r{number}", "book", bytes(60_000)))
        await until(lambda: len(memory._growing) == len(clients))
        assert memory.held - share.held <= len(clients) * (SMALL_BODY + MIN_READ_BYTES)
        small = await made.client()
        small.send(request("small", "book", bytes(3_000)))
        assert (await small.answer())[0] == 200
        share.release()
        assert [(await client.answer())[0] for client in clients] == [200] * len(clients)
        await until(lambda: memory.held == 0)


@async_test
async def test_answers_that_wait_for_an_earlier_one_are_counted() -> None:
    """Guards against a limit exceeded by answers to pipelined requests, 16 of 64 KiB a connection."""
    first = asyncio.Event()

    async def script(whole: bytes, writer: asyncio.StreamWriter) -> None:
        if b"r0" in whole:
            await first.wait()
        writer.write(answer(bytes(50_000)))

    async with running_agent(await Backend(script).start()) as made:
        client = await made.client()
        client.send(b"".join(request(f"r{number}") for number in range(4)))
        await until(lambda: made.listener.memory.answers_held == 3 * 50_000)
        first.set()
        for _ in range(4):
            assert len((await client.answer())[2]) == 50_000
        await until(lambda: made.listener.memory.held == 0)


@pytest.mark.parametrize("chunked", [False, True])
@async_test
async def test_an_answer_without_room_is_passed_on_as_it_comes(chunked: bool) -> None:
    """Guards against a limit exceeded by answers of up to 64 KiB that are buffered whole."""
    rest = asyncio.Event()
    whole = answer(bytes(30_000))
    if chunked:
        whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n%b\r\n0\r\n\r\n" % bytes(
            30_000
        )

    async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(whole[:15_000])
        await rest.wait()
        writer.write(whole[15_000:])

    async with running_agent(await Backend(script).start()) as made:
        share, client = fill(made), await made.client()
        client.send(request("r"))
        await client.head()
        await client.reader.readexactly(10_000)
        assert made.listener.memory.answers_held <= 2 * SMALL_BODY
        rest.set()
        await client.reader.readexactly(20_000)
        share.release()
        await until(lambda: made.listener.memory.held == 0)


@async_test
async def test_a_short_answer_is_retried_though_there_is_no_room() -> None:
    """Guards against short answers that can no longer be retried if memory is short."""
    attempts = 0

    async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
        nonlocal attempts
        attempts += 1
        whole = answer(bytes(3_000))
        writer.write(whole[:1_000] if attempts == 1 else whole)
        if attempts == 1:
            writer.close()

    backends = [await Backend(script).start() for _ in range(2)]
    async with running_agent(*backends) as made:
        fill(made)
        client = await made.client()
        client.send(request("r"))
        assert (await client.answer())[0] == 200 and attempts == 2


@async_test
async def test_a_request_behind_another_is_refused_without_room() -> None:
    """Guards against a limit exceeded by pipelined requests, none of which is long."""
    gate = asyncio.Event()

    async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        writer.write(answer(b"served"))

    backend = await Backend(script).start()
    async with running_agent(backend) as made:
        client = await made.client()
        client.send(request("r0"))
        await until(lambda: made.listener.in_flight == 1)
        fill(made)
        client.send(request("r1"))
        await until(lambda: made.agent.events.count(Event.REFUSED, RejectReason.NO_ROOM) == 1)
        gate.set()
        assert (await client.answer())[0] == 200
        status, head, _ = await client.answer()
        assert status == 503 and b"connection: close" in head.lower()
        assert len(backend.received) == 1


@async_test
async def test_a_lowered_limit_holds_for_what_comes_next() -> None:
    """Guards against a reload that lowers the limit while more than that is held."""
    gate = asyncio.Event()

    async def script(whole: bytes, writer: asyncio.StreamWriter) -> None:
        if len(whole) > 50_000:
            await gate.wait()
        writer.write(answer(b"served"))

    async with running_agent(await Backend(script).start()) as made:
        memory = made.listener.memory
        clients = [await made.client() for _ in range(40)]
        for number, client in enumerate(clients):
            client.send(request(f"r{number}", "book", bytes(60_000)))
        await until(lambda: memory.requests_held == 40 * 60_000)
        memory.resize(1 << 20, 256)
        assert memory.max_bytes == MIN_BUDGET < memory.held
        late = await made.client()
        late.send(request("late", "book", bytes(40_000)))
        await until(lambda: len(memory._growing) == 1)
        assert memory.held <= 40 * 60_000 + SMALL_BODY + MIN_READ_BYTES
        gate.set()
        for client in [*clients, late]:
            assert (await client.answer())[0] == 200
        await until(lambda: memory.held == 0)


async def misbehave(made: AgentHarness, number: int, draw: random.Random) -> None:
    """Send a request of a random kind, and leave at a random moment or stay for the answer."""
    client = await made.client()
    body = bytes(draw.choice([0, 2_000, 60_000, 150_000]))
    data = request(f"r{number}", draw.choice(["book", "pay"]), body, "900m")
    if draw.random() < 0.3:
        length = b"Content-Length: %d" % len(body)
        data = data.replace(length, b"Transfer-Encoding: chunked").removesuffix(body)
        data += b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
    if draw.random() < 0.2:
        data += request(f"p{number}")
    end = len(data) if draw.random() < 0.6 else draw.randrange(len(data))
    client.send(data[: end // 2])
    await asyncio.sleep(draw.random() * 0.02)
    client.send(data[end // 2 : end])
    if draw.random() < 0.5:
        await asyncio.sleep(draw.random() * 0.3)
        client.writer.transport.abort()
        return
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(1.5):
            await client.wait_closed()
    client.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("short", [False, True])
def test_all_memory_is_freed_whatever_ends_a_request(seed: int, short: bool) -> None:
    """Guards against bytes that stay counted after their request, which would use up the budget."""

    async def scenario() -> None:
        draw = random.Random(seed)

        async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
            whole = answer(
                bytes(draw.choice([10, 30_000, 200_000])), draw.choice(["200 OK", "200 OK", "503 No"])
            )
            first = draw.randrange(len(whole)) if draw.random() < 0.5 else len(whole)
            writer.write(whole[:first])
            await asyncio.sleep(draw.random() * 0.05)
            if draw.random() < 0.2:
                writer.transport.abort()
            writer.write(whole[first:])

        backends = [await Backend(script).start() for _ in range(3)]
        async with running_agent(*backends) as made:
            memory = made.listener.memory
            if short:
                memory.max_bytes = 100_000
            await asyncio.gather(*(misbehave(made, number, draw) for number in range(60)))
            await until(lambda: made.listener.connections == 0 and not made.agent.attempts)
            assert (memory.requests_held, memory.answers_held) == (0, 0)

    asyncio.run(scenario())
