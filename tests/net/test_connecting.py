"""Requests whose situation changes during the connect to a backend: what may no longer be sent is not sent.

The tests check what the backends received. A connect takes as long as the test delays it.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import pytest

from sorrelfront import agent
from sorrelfront.messages import Address
from sorrelfront.net.http import Wire
from tests.loopback import (
    AgentHarness,
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
WINDOW_US = 4_000_000  # deduplication window of class book


class DelayedConnects:
    """Delays each connect to these addresses, or to all if none is given, until `go` is set."""

    def __init__(self, made: AgentHarness, *addresses: str) -> None:
        self.waiting = 0
        self.go = asyncio.Event()
        self._addresses = addresses
        self._connect: Callable[[Address], Awaitable[Wire]] = made.upstream.connect
        self._drop = made.upstream.drop
        made.upstream.connect = self  # type: ignore[method-assign]

    async def __call__(self, address: Address) -> Wire:
        wire = await self._connect(address)
        if not self._addresses or "{}:{}".format(*address) in self._addresses:
            self.waiting += 1
            try:
                await self.go.wait()
            except asyncio.CancelledError:
                self._drop(wire)
                raise
        return wire


@async_test
async def test_keyed_request_is_not_retried_if_the_connect_ends_after_its_window() -> None:
    """The first attempt may have run, and the second connect ends after the deduplication window."""

    async def resets(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    first, second = await Backend(resets).start(), await Backend(OK).start()
    async with running_agent(first, second, connectTimeoutUs=0) as made:
        delayed = DelayedConnects(made, second.address)
        made.agent.balancer.servers["b1"].observe(1_000.0, made.agent.now())  # tried second
        client = await made.client()
        client.send(request("a", "book", b"x"))
        await until(lambda: delayed.waiting == 1)
        real_now = made.agent.now
        made.agent.now = lambda: real_now() + WINDOW_US  # type: ignore[assignment]
        delayed.go.set()
        assert (await client.answer())[0] == 503
        await until(lambda: made.agent.attempts == 0)
        assert len(first.received) == 1 and second.received == []


@pytest.mark.parametrize("may_cancel", [True, False])
@async_test
async def test_nothing_is_sent_for_a_client_that_left_during_the_connect(may_cancel: bool) -> None:
    backend = await Backend(OK).start()
    async with running_agent(backend, connectTimeoutUs=0, mayCancel=may_cancel) as made:
        delayed = DelayedConnects(made)
        client = await made.client()
        client.send(request("a", "pay", b"x"))
        await until(lambda: delayed.waiting == 1)
        client.close()
        await until(lambda: made.agent.pending_requests == 0)
        delayed.go.set()
        await until(lambda: made.agent.attempts == 0)
        next_one = await made.client()
        next_one.send(request("b", "pay", b"x"))
        assert (await next_one.answer())[0] == 200
        assert [b"x-call-id: b\r" in seen.lower() for seen in backend.received] == [True]
        assert made.upstream.open_connections == 1  # the unused connection is closed


@async_test
async def test_nothing_is_sent_for_a_client_whose_close_is_not_reported_yet() -> None:
    """The client's close has arrived, but the event loop has not reported it before the connect completes."""
    backend = await Backend(OK).start()
    async with running_agent(backend, connectTimeoutUs=0) as made:
        delayed = DelayedConnects(made)
        client = await made.client()
        client.send(request("a", "pay", b"x"))
        await until(lambda: delayed.waiting == 1)
        (connection,) = made.listener._clients
        connection.wire._unwatch()  # the loop does not report input from here on
        client.close()
        await until(connection.wire.hung_up)
        delayed.go.set()
        await until(lambda: made.agent.attempts == 0)
        assert backend.received == [] and made.upstream.open_connections == 0
        connection.cancel()
        await until(lambda: made.listener.connections == 0)
        assert made.agent.pending_requests == 0


@pytest.mark.parametrize("more", ["", "Connection: close\r\n"])
@async_test
async def test_nothing_is_sent_for_a_client_that_left_before_it_was_accepted(more: str) -> None:
    """With no free descriptors, the request and the close wait in the accept queue.

    Depending on its headers, the request is then handled directly or by a task.
    """
    backend = await Backend(OK).start()
    async with running_agent(backend) as made:
        made.listener._pause()
        client = await made.client()
        client.send(request("a", "pay", b"x", more=more))
        client.close()
        await client.writer.wait_closed()
        made.listener._resume()
        await until(lambda: made.listener._accepted == 1 and made.listener.connections == 0)
        assert made.agent.requests_taken == 0 and backend.received == []


@async_test
async def test_nothing_is_sent_to_a_server_that_drains_by_the_end_of_the_connect() -> None:
    draining, other = await Backend(OK).start(), await Backend(OK).start()
    registry = await Registry().start()
    async with running_agent(draining, other, registry=registry, connectTimeoutUs=0) as made:
        delayed = DelayedConnects(made, draining.address)
        made.agent.balancer.servers["b1"].observe(1_000.0, made.agent.now())
        client = await made.client()
        client.send(request("a", "pay", b"x"))
        await until(lambda: delayed.waiting == 1)
        await registry.watch_opened.wait()
        registry.update(member("b0", draining.address, "draining"))
        await until(lambda: made.agent.balancer.servers["b0"] not in made.agent.balancer.ready)
        delayed.go.set()
        assert (await client.answer())[0] == 200
        assert draining.received == [] and len(other.received) == 1


@async_test
async def test_server_gets_the_budget_left_after_the_connect() -> None:
    backend = await Backend(OK).start()
    async with running_agent(backend, connectTimeoutUs=0) as made:
        delayed = DelayedConnects(made)
        client = await made.client()
        since = made.agent.now()
        client.send(request("a", "pay", b"x"))
        await until(lambda: delayed.waiting == 1)
        await until(lambda: made.agent.now() - since > 200_000)
        elapsed_us = made.agent.now() - since
        delayed.go.set()
        assert (await client.answer())[0] == 200
        (left,) = (
            int(line[10:-1]) for line in backend.received[0].split(b"\r\n") if line[:10] == b"X-Budget: "
        )
        assert 0 < left <= 4_500_000 - elapsed_us  # the client's own budget is the upper bound


@async_test
async def test_a_long_request_given_up_on_within_a_connect_is_refused(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a request that fails, and a descriptor that is held, because a connect is late."""
    monkeypatch.setattr(agent, "ANSWER_GRACE_US", 5_000_000)
    backend = await Backend(OK).start()
    async with running_agent(backend, connectTimeoutUs=0, mayCancel=False) as made:
        delayed = DelayedConnects(made)
        client = await made.client()
        client.send(request("a", "pay", bytes(500_000), budget="300m"))
        status, head, _ = await client.answer()
        assert status == 503 and b"retry-after" in head.lower()
        assert "by its deadline" not in caplog.text
        assert delayed.waiting == 1 and made.agent.attempts == 0 and made.upstream.open_connections == 0


@async_test
async def test_a_connection_that_came_up_while_this_process_paused_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request refused, and a server avoided, since the connect's time passed in a pause."""
    backend = await Backend(OK).start()
    async with running_agent(backend, connectTimeoutUs=50_000) as made:
        loop = asyncio.get_running_loop()
        sock_connect = loop.sock_connect

        async def connect_and_pause(sock: socket.socket, address: Address) -> None:
            await sock_connect(sock, address)
            time.sleep(0.2)  # the injected fault: the event loop is blocked
            for _ in range(
                2
            ):  # so that the time limit is noticed before the connection, as by a busy event loop
                await asyncio.sleep(0)

        client = await made.client()
        monkeypatch.setattr(loop, "sock_connect", connect_and_pause)
        client.send(request("a"))
        assert (await client.answer())[0] == 200
        assert (
            made.upstream.connections_opened == 1 and not made.agent.balancer.servers["b0"].breaker.failures
        )
