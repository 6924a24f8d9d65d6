"""What a front may ask of the gateway between two sites."""

from __future__ import annotations

import asyncio
from typing import Any

from sorrelfront.agent import Held
from sorrelfront.messages import Call, Failed
from sorrelfront.sites.requests import Gateway
from tests.loopback import looped


@looped
async def test_a_request_that_is_given_up_is_answered_and_called_off_inside() -> None:
    """At a stop with no time left; the gateway had no such method, and its front failed."""
    nobody: Any = None
    gateway = Gateway(nobody, nobody, nobody, nobody)
    held = Held(1, Call(b"c", "read", 1_000, None), asyncio.get_running_loop().create_future())
    called_off: list[int] = []
    gateway._call_off[1] = lambda: called_off.append(1)
    gateway.fail(held)
    assert held.answer.result() == Failed() and called_off == [1]
    gateway.fail(held)  # once is enough
    assert called_off == [1]
