"""Memory held for clients and servers: freed as soon as nobody needs it, and bounded."""

from __future__ import annotations

import asyncio
import gc
import socket
import tracemalloc
from collections.abc import Iterator

import pytest

from sorrelfront.lab.http1 import make_config, member
from sorrelfront.messages import Call
from sorrelfront.platform.config import parse
from tests.loopback import (
    AgentHarness,
    Backend,
    Client,
    answer,
    async_test,
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
