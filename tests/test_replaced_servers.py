"""A server that is listed again as another process: nothing that belongs to the one before is used for it."""

from __future__ import annotations

from typing import Any

import pytest

from sorrelfront.lab.http1 import gated_script
from tests.loopback import Backend, Registry, answer, async_test, member, request, running_agent, until
from tests.net.test_connecting import DelayedConnects

OLD, NEW = answer(b"old"), answer(b"new")


def restarted(address: str, phase: str = "ready", started_ms: int = 0) -> dict[str, Any]:
    """Return the record of server b0 after its process was replaced."""
    return {**member("b0", address, phase), "up_since_ms": started_ms}


@pytest.mark.parametrize("started_ms", [0, 1_000])
@async_test
async def test_nothing_is_sent_to_a_process_that_was_replaced_during_the_connect(started_ms: int) -> None:
    """The server is ready again at another address; the attempt went on to the address before."""
    old, new = await Backend(OLD).start(), await Backend(NEW).start()
    registry = await Registry().start()
    async with running_agent(old, registry=registry, connectTimeoutUs=0) as made:
        delayed = DelayedConnects(made, old.address)
        client = await made.client()
        client.send(request("a"))
        await until(lambda: delayed.waiting == 1)
        await registry.watch_opened.wait()
        registry.update(restarted(new.address, started_ms=started_ms))
        await until(lambda: made.agent.list_received)
        delayed.go.set()
        assert (await client.answer())[2] == b"new"
        assert old.received == []
    new.stop()


@async_test
async def test_a_connection_in_use_when_its_process_is_replaced_is_not_used_for_the_next_one() -> None:
    """Both listen at one address for a while; the connection went back to the pool of that address."""
    go, answers_late = gated_script(OLD)
    old = await Backend(answers_late).start()
    registry = await Registry().start()
    async with running_agent(old, registry=registry) as made:
        client = await made.client()
        client.send(request("a"))
        await old.arrived.wait()
        await registry.watch_opened.wait()
        registry.update(restarted(old.address, started_ms=1_000))
        await until(lambda: made.agent.balancer.servers["b0"].info.started_us == 1_000_000)
        go.set()
        assert (await client.answer())[2] == b"old"
        client.send(request("b"))
        assert (await client.answer())[0] == 200
        assert old.connections == 2
