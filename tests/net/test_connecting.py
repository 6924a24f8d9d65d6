"""What has changed by the time a connection to a backend is up: nothing begins on it that may not begin now.

Verdicts come from the backends' books. A connection is late for as long as the test holds it back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from sorrelfront.messages import Address
from sorrelfront.net.http import Wire
from tests.loopback import Backend, Registry, World, answer, looped, member, request, until, world

OK = answer(b"served")
WINDOW_US = 4_000_000  # of class book


class LateConnections:
    """Holds back each connection to these addresses, all of them if none is named, until told."""

    def __init__(self, made: World, *addresses: str) -> None:
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


@looped
async def test_a_keyed_request_is_not_repeated_on_a_connection_that_came_up_behind_its_window() -> None:
    async def resets(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    first, second = await Backend(resets).start(), await Backend(OK).start()
    async with world(first, second, connectTimeoutUs=0) as made:
        late = LateConnections(made, second.address)
        made.agent.balancer.servers["b1"].observe(1_000.0, made.agent.now())  # the other is asked first
        client = await made.client()
        client.send(request("a", "book", b"x"))
        await until(lambda: late.waiting == 1)
        real = made.agent.now
        made.agent.now = lambda: real() + WINDOW_US  # type: ignore[assignment]
        late.go.set()
        assert (await client.answer())[0] == 503
        await until(lambda: made.agent.attempts == 0)
        assert len(first.seen) == 1 and second.seen == []


@pytest.mark.parametrize("may_cancel", [True, False])
@looped
async def test_nothing_begins_for_a_client_that_left_while_its_connection_came_up(may_cancel: bool) -> None:
    backend = await Backend(OK).start()
    async with world(backend, connectTimeoutUs=0, mayCancel=may_cancel) as made:
        late = LateConnections(made)
        client = await made.client()
        client.send(request("a", "pay", b"x"))
        await until(lambda: late.waiting == 1)
        client.close()
        await until(lambda: made.agent.owed == 0)
        late.go.set()
        await until(lambda: made.agent.attempts == 0)
        next_one = await made.client()
        next_one.send(request("b", "pay", b"x"))
        assert (await next_one.answer())[0] == 200
        assert [b"x-call-id: b\r" in seen.lower() for seen in backend.seen] == [True]
        assert made.upstream.open == 1  # the one that came up for nobody is closed


@looped
async def test_nothing_begins_for_a_client_whose_end_waits_in_the_kernel() -> None:
    """Its end has come and nobody was told yet: the turn that would tell goes to the connection."""
    backend = await Backend(OK).start()
    async with world(backend, connectTimeoutUs=0) as made:
        late = LateConnections(made)
        client = await made.client()
        client.send(request("a", "pay", b"x"))
        await until(lambda: late.waiting == 1)
        (connection,) = made.listener._clients
        connection.wire._unwatch()  # the loop is not told of what comes from here on
        client.close()
        await until(connection.wire.hung_up)
        late.go.set()
        await until(lambda: made.agent.attempts == 0)
        assert backend.seen == [] and made.upstream.open == 0
        connection.cancel()
        await until(lambda: made.listener.connections == 0)
        assert made.agent.owed == 0


@pytest.mark.parametrize("more", ["", "Connection: close\r\n"])
@looped
async def test_who_asked_and_left_before_it_was_accepted_is_not_sent_for(more: str) -> None:
    """Descriptors were out, and its request and its end waited in the queue; taken at once, or by a task."""
    backend = await Backend(OK).start()
    async with world(backend) as made:
        made.listener._pause()
        client = await made.client()
        client.send(request("a", "pay", b"x", more=more))
        client.close()
        await client.writer.wait_closed()
        made.listener._resume()
        await until(lambda: made.listener._accepted == 1 and made.listener.connections == 0)
        assert made.agent.offered == 0 and backend.seen == []


@looped
async def test_nothing_begins_at_a_server_that_drains_by_the_time_its_connection_is_up() -> None:
    draining, other = await Backend(OK).start(), await Backend(OK).start()
    registry = await Registry().start()
    async with world(draining, other, registry=registry, connectTimeoutUs=0) as made:
        late = LateConnections(made, draining.address)
        made.agent.balancer.servers["b1"].observe(1_000.0, made.agent.now())
        client = await made.client()
        client.send(request("a", "pay", b"x"))
        await until(lambda: late.waiting == 1)
        await registry.asked.wait()
        registry.change(member("b0", draining.address, "draining"))
        await until(lambda: made.agent.balancer.servers["b0"] not in made.agent.balancer.ready)
        late.go.set()
        assert (await client.answer())[0] == 200
        assert draining.seen == [] and len(other.seen) == 1


@looped
async def test_a_server_is_told_what_is_left_when_its_connection_is_up() -> None:
    backend = await Backend(OK).start()
    async with world(backend, connectTimeoutUs=0) as made:
        late = LateConnections(made)
        client = await made.client()
        since = made.agent.now()
        client.send(request("a", "pay", b"x"))
        await until(lambda: late.waiting == 1)
        await until(lambda: made.agent.now() - since > 200_000)
        spent_us = made.agent.now() - since
        late.go.set()
        assert (await client.answer())[0] == 200
        (told,) = (int(line[10:-1]) for line in backend.seen[0].split(b"\r\n") if line[:10] == b"X-Budget: ")
        assert 0 < told <= 4_500_000 - spent_us  # of what the client said
