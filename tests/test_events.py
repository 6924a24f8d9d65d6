"""Counting and logging of requests and connections that end."""

from __future__ import annotations

import logging

import pytest

from sorrelfront.decisions.interface import EndReason, Outcome
from sorrelfront.events import REPORT_INTERVAL_S, Event, EventCounter
from sorrelfront.fronts.request_head import RejectReason
from sorrelfront.upstreams.http1 import ServerCloseReason
from tests.loopback import Backend, answer, async_test, request, running_agent


def test_one_line_per_interval_has_each_reason_with_its_count_and_last_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    now = 0.0
    events = EventCounter(lambda: now)
    for number in range(3):
        events.add(Event.REFUSED, EndReason.INFEASIBLE, f"r{number}")
    events.add(Event.RETRIED, Outcome.RESET)
    events.report()
    assert not caplog.messages
    now = REPORT_INTERVAL_S
    events.report()
    assert caplog.messages == ["in 5.0 s: refused infeasible 3 (last r2); retried reset 1"]
    now = 2 * REPORT_INTERVAL_S
    events.report()
    assert len(caplog.messages) == 1


@async_test
async def test_malformed_requests_and_server_closes_are_counted_by_reason() -> None:
    async with running_agent(await Backend(answer(b"served")).start()) as running:
        client = await running.client()
        client.send(request("first"))
        assert (await client.answer())[0] == 200
        running.upstream.close()
        client.send(b"nonsense\r\n\r\n")
        assert (await client.answer())[0] == 400
        assert running.upstream.events.count(Event.CLOSED, ServerCloseReason.SHUTDOWN) == 1
        assert running.agent.events.count(Event.REFUSED, RejectReason.BAD_REQUEST) == 1
