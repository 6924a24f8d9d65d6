"""Runs an agent in the test's process, with fake clients, backends and discovery on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, ParamSpec

from sorrelfront.agent import Agent
from sorrelfront.agent_config import Config
from sorrelfront.fronts.http1 import Listener
from sorrelfront.lab.http1 import (
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    Registry,
    Script,
    answer,
    connect,
    make_config,
    member,
    request,
)
from sorrelfront.net.budget import Descriptors, MemoryBudget
from sorrelfront.platform.config import parse
from sorrelfront.sources.registry import watch
from sorrelfront.upstreams.http1 import Upstream

__all__ = [
    "WAIT_TIMEOUT_S",
    "AgentHarness",
    "Backend",
    "Client",
    "Registry",
    "Script",
    "answer",
    "async_test",
    "connect",
    "make_config",
    "member",
    "request",
    "running_agent",
    "until",
]  # fmt: skip

P = ParamSpec("P")


class AgentHarness:
    """An agent in this process with its listener and its upstream."""

    def __init__(self, config: Config) -> None:
        self.config = config
        descriptors = Descriptors(config.sockets)
        memory = MemoryBudget(config.memory_bytes, config.sockets)
        self.upstream = Upstream(
            descriptors.backends, config.idle_us, config.settings.connect_timeout_us, memory
        )
        self.agent = Agent(config, self.upstream, watch)
        self.listener = Listener(self.agent, ("127.0.0.1", 0), descriptors, memory)
        self.agent.start()

    async def client(self) -> Client:
        return await connect(self.listener.address)


@contextlib.asynccontextmanager
async def running_agent(
    *backends: Backend, registry: Registry | None = None, **changes: Any
) -> AsyncIterator[AgentHarness]:
    members = [member(f"b{index}", backend.address) for index, backend in enumerate(backends)]
    discovery = registry.address if registry else "127.0.0.1:9"
    made = AgentHarness(parse(make_config(discovery, members, **changes)))
    try:
        yield made
    finally:
        made.agent.close()
        for backend in backends:
            backend.stop()
        if registry:
            registry.stop()


def async_test(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Run a coroutine test to its end in its own event loop."""

    @functools.wraps(test)
    def run(*args: P.args, **more: P.kwargs) -> None:
        asyncio.run(test(*args, **more))

    return run


async def until(condition: Callable[[], bool]) -> None:
    """Poll until a condition holds that signals no event. Raises TimeoutError after WAIT_TIMEOUT_S."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
