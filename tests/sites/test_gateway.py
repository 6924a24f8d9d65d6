"""The interface that the gateway between two sites offers to a front."""

from __future__ import annotations

import asyncio
from typing import Any

from sorrelfront.agent import PendingRequest
from sorrelfront.messages import Call, Failed
from sorrelfront.sites.requests import Gateway
from tests.loopback import async_test


@async_test
async def test_an_abandoned_request_is_answered_and_cancelled_on_the_inner_side() -> None:
    """At a shutdown with no time left the front calls `Gateway.fail`, which once was missing."""
    nobody: Any = None
    gateway = Gateway(nobody, nobody, nobody, nobody)
    held = PendingRequest(1, Call(b"c", "read", 1_000, None), asyncio.get_running_loop().create_future())
    cancelled: list[int] = []
    gateway._cancel_by_id[1] = lambda: cancelled.append(1)
    gateway.fail(held)
    assert held.answer.result() == Failed() and cancelled == [1]
    gateway.fail(held)  # cancelled only once
    assert cancelled == [1]
