"""Early subscription to the list, and no subscription after the agent was closed."""

from __future__ import annotations

import asyncio
from typing import Any

from sorrelfront.agent import Agent
from sorrelfront.decisions import interface as api
from sorrelfront.net.budget import MemoryBudget
from sorrelfront.platform.config import parse
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import make_config


class CountingSource:
    """Counts the subscriptions to the list."""

    def __init__(self) -> None:
        self.subscriptions = 0

    def subscribe(self) -> None:
        self.subscriptions += 1

    def reload(self, config: Any) -> None:
        pass

    def close(self) -> None:
        pass


def test_early_subscription_is_not_repeated_unless_it_failed() -> None:
    """A list that was requested early would be requested twice, or not again after a failure."""

    async def scenario() -> None:
        for failed in (False, True):
            source = CountingSource()
            config = parse(make_config("127.0.0.1:9", []))
            agent = Agent(
                config, Upstream(8, 1, 1, MemoryBudget(1 << 26, 256)), lambda *_, source=source: source
            )
            agent.subscribe_early()
            assert source.subscriptions == 1
            if failed:
                agent._on_failure()
            agent._execute([api.Subscribe()])
            assert source.subscriptions == 1 + failed
            agent._execute([api.Subscribe()])  # the subscription broke later
            assert source.subscriptions == 2 + failed
            agent.close()

    asyncio.run(scenario())


def test_timer_set_before_close_does_not_subscribe_after_it() -> None:
    """A timer set before `close` fires after it and would open a request that is never closed."""

    async def scenario() -> None:
        source = CountingSource()
        agent = Agent(
            parse(make_config("127.0.0.1:9", [])),
            Upstream(8, 1, 1, MemoryBudget(1 << 26, 256)),
            lambda *_: source,
        )
        timer_fired = asyncio.Event()
        agent.close()
        agent._execute([api.SetTimer(0, "subscribe"), api.Subscribe()])
        agent._dispatch(agent.balancer.on_timer, api.Timer("subscribe"))
        agent._loop.call_soon(timer_fired.set)
        await timer_fired.wait()
        assert source.subscriptions == 0

    asyncio.run(scenario())
