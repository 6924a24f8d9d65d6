"""What is logged and counted of answers that end before they are whole."""

from __future__ import annotations

import asyncio
import logging

import pytest

from sorrelfront.events import Event
from sorrelfront.upstreams.answer_faults import AnswerFault
from tests.answering import ask, scripted_answers, with_answer
from tests.loopback import Backend, async_test, request, running_agent


@pytest.mark.parametrize(
    ("framing", "end", "count", "fault"),
    [
        ("length", "truncate", 3_000, AnswerFault.TRUNCATED),
        ("chunked", "truncate", 3_000, AnswerFault.TRUNCATED),
        ("length", "reset", 3_000, AnswerFault.RESET),
        ("length", "truncate", 200_000, AnswerFault.TRUNCATED),
        ("chunked", "truncate", 200_000, AnswerFault.TRUNCATED),
        ("length", "reset", 200_000, AnswerFault.RESET),
        ("length", "stop", 200_000, AnswerFault.PAUSED),
    ],
)
@async_test
async def test_an_answer_that_ends_early_is_logged_with_its_reason_server_and_size(
    framing: str, end: str, count: int, fault: AnswerFault, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "sorrelfront.upstreams.answer_faults")
    server = await Backend(scripted_answers()).start()
    async with running_agent(server) as made:
        data = request("cut", "pay", b"x", budget="500m")
        answered = await ask(made.listener.address, with_answer(data, framing, "at-once", count, end))
        assert not (answered.status == 200 and answered.whole)
        answers, streamed = made.upstream.answers, count > 65_536
        assert (answers.unfinished, answers.cut) == (int(not streamed), int(streamed))
        assert made.upstream.events.count(Event.ANSWER, fault) == 1
        (line,) = [text for text in caplog.messages if text.startswith("the answer to")]
        assert line.startswith(f"the answer to cut from {server.address} ended as {fault}")
        assert f"{count // 2} bytes" in line and ("passed on in part" in line) == streamed


@async_test
async def test_an_answer_whose_client_leaves_is_counted_as_cancelled() -> None:
    server = await Backend(scripted_answers()).start()
    async with running_agent(server) as made:
        client = await made.client()
        client.send(with_answer(request("left"), "length", "steady", 200_000))
        await client.head()
        client.close()
        async with asyncio.timeout(30.0):
            while not made.upstream.answers.cut:
                await asyncio.sleep(0.01)
        assert made.upstream.events.count(Event.ANSWER, AnswerFault.CANCELLED) == 1
