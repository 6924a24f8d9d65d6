"""Asking for the list ahead of the module's time."""

from __future__ import annotations

import asyncio
from typing import Any

from sorrelfront.agent import Agent
from sorrelfront.decisions import interface as api
from sorrelfront.platform.config import parse
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import table


class Told:
    def __init__(self) -> None:
        self.asked = 0

    def subscribe(self) -> None:
        self.asked += 1

    def reload(self, config: Any) -> None:
        pass

    def close(self) -> None:
        pass


def test_what_was_asked_for_early_is_not_asked_for_again_unless_it_failed() -> None:
    async def play() -> None:
        for failed in (False, True):
            told = Told()
            config = parse(table("127.0.0.1:9", []))
            agent = Agent(config, Upstream(8, 1, 1), lambda *_, told=told: told)
            agent.ask()
            assert told.asked == 1
            if failed:
                agent._on_failure()
            agent._run([api.Subscribe()])
            assert told.asked == 1 + failed
            agent._run([api.Subscribe()])  # the watch broke later
            assert told.asked == 2 + failed
            agent.close()

    asyncio.run(play())


def test_a_timer_that_was_set_before_the_end_asks_for_nothing_behind_it() -> None:
    async def play() -> None:
        told = Told()
        agent = Agent(parse(table("127.0.0.1:9", [])), Upstream(8, 1, 1), lambda *_: told)
        due = asyncio.Event()
        agent.close()
        agent._run([api.SetTimer(0, "subscribe"), api.Subscribe()])
        agent._tell(agent.balancer.on_timer, api.Timer("subscribe"))
        agent._loop.call_soon(due.set)
        await due.wait()
        assert told.asked == 0

    asyncio.run(play())
