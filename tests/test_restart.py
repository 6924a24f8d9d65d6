"""Restarts under load: by the records of clients and servers, no request that was read is lost."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from sorrelfront.lab.load_generator import LoadGenerator
from tests.loopback import Backend, Registry, answer
from tests.test_process import program

CLIENTS = 200
OK = answer(b"served")


@pytest.mark.parametrize(
    ("sockets", "restarts"),
    [pytest.param(512, 20, id="descriptors for all"), pytest.param(256, 5, id="descriptors for 134 of 200")],
)
def test_restarts_under_load_lose_no_request_that_was_read(
    tmp_path: Path, sockets: int, restarts: int
) -> None:
    async def play() -> None:
        backend, registry = await Backend(OK).start(), await Registry().start()
        async with program(tmp_path, backend, registry, sockets) as made:
            crowd = LoadGenerator(made.address, CLIENTS)
            try:
                for _ in range(restarts):
                    await crowd.wait_for_answers(CLIENTS)
                    assert await made.end() == 0
                    await made.start()
                await crowd.wait_for_answers(CLIENTS)
            finally:
                await crowd.stop()
        assert crowd.outcomes[b"lost"] == 0, crowd.outcomes
        assert crowd.outcomes[b"HTTP/1.1 200 "] > restarts * CLIENTS // 2
        ran = Counter(
            seen.lower().split(b"x-call-id: ")[1].split(b"\r\n")[0]
            for seen in backend.received
            if seen.startswith(b"POST")
        )
        assert ran and max(ran.values()) == 1

    asyncio.run(play())
