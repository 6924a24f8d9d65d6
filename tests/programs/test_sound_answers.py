"""The program before servers that are sound and slow, and before such that stop or break inside an answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from itertools import product
from pathlib import Path

import pytest

from tests.answering import FRAMINGS, PACES, Received, ask, body_bytes, scripted_answers, with_answer
from tests.loopback import Backend, Registry, async_test, make_config, member, request
from tests.test_process import Program

SERVERS = 4
ENDS = ("stop", "reset", "truncate")


@contextlib.asynccontextmanager
async def serving(folder: Path) -> AsyncIterator[tuple[Program, list[Backend]]]:
    """Run the program before servers that answer as each request says."""
    servers = [await Backend(scripted_answers()).start() for _ in range(SERVERS)]
    registry = await Registry().start()
    members = [member(f"b{at}", server.address) for at, server in enumerate(servers)]
    config = make_config(registry.address, members)
    config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1_024}
    made = Program(folder, config)
    await made.start()
    try:
        (await made.ready()).close()
        yield made, servers
    finally:
        await made.end()
        for server in servers:
            server.stop()
        registry.stop()


def attempts(servers: list[Backend], name: str) -> int:
    """Return how many servers have got the request of this name."""
    line = b"x-call-id: %b\r\n" % name.encode()
    return sum(line in whole.lower() for server in servers for whole in server.received)


# Guards against sound answers that are cut off (incident 3c4120): their server pauses, or gives no length.
@pytest.mark.parametrize("framing", FRAMINGS)
@async_test
async def test_a_sound_answer_is_passed_on_whole_whatever_its_pace(framing: str, tmp_path: Path) -> None:
    shapes = list(product(PACES, (3_000, 60_000, 200_000), ("look", "book", "pay")))
    async with serving(tmp_path) as (made, servers):

        async def play(pace: str, count: int, cls: str) -> str:
            name = f"{pace}-{count}-{cls}"
            body = b"x" if cls != "look" else b""
            answered = await ask(made.address, with_answer(request(name, cls, body), framing, pace, count))
            whole = answered.whole and answered.body == body_bytes(count)
            tries = attempts(servers, name)
            return "" if whole and tries == 1 else f"{name}: {answered.status}, {whole}, {tries} attempts"

        faults = [fault for fault in await asyncio.gather(*(play(*shape) for shape in shapes)) if fault]
    assert not faults, "; ".join(faults)


# Guards against answers that are cut off because their server still writes when the client's time is over.
@async_test
async def test_a_long_answer_that_has_begun_goes_on_past_its_clients_time(tmp_path: Path) -> None:
    shapes = [(framing, pace) for framing in FRAMINGS for pace in ("lumps", "growing")]
    async with serving(tmp_path) as (made, _):

        async def play(framing: str, pace: str) -> tuple[str, str, bool]:
            data = request(f"{framing}-{pace}", "pay", b"x", budget="1000m")
            answered = await ask(made.address, with_answer(data, framing, pace, 200_000))
            return framing, pace, answered.whole and answered.body == body_bytes(200_000)

        ended = await asyncio.gather(*(play(*shape) for shape in shapes))
    assert [(framing, pace) for framing, pace, whole in ended if not whole] == []


# Guards against a longer wait that passes on what is not whole, or never ends it.
@async_test
async def test_an_answer_that_stops_or_breaks_is_never_passed_on_as_whole(tmp_path: Path) -> None:
    shapes = [
        shape
        for shape in product(FRAMINGS, ("at-once", "lumps"), (3_000, 200_000), ("look", "pay"), ENDS)
        if (shape[0], shape[-1]) != ("close", "truncate")
    ]  # fmt: skip
    async with serving(tmp_path) as (made, _):

        async def play(framing: str, pace: str, count: int, cls: str, end: str) -> str:
            name = f"{framing}-{pace}-{count}-{cls}-{end}"
            data = request(name, cls, b"x" if cls == "pay" else b"", budget="2000m")
            answered = await ask(made.address, with_answer(data, framing, pace, count, end))
            broken = answered.status in (500, 503) or (answered.status == 200 and not answered.whole)
            return "" if broken and answered.ended else f"{name}: {_outcome(answered)}"

        faults = [fault for fault in await asyncio.gather(*(play(*shape) for shape in shapes)) if fault]
    assert not faults, "; ".join(faults)


def _outcome(answered: Received) -> str:
    whole = "whole" if answered.whole else "broken"
    return f"{answered.status} {whole} with {len(answered.body)} bytes after {answered.seconds:.3f} s"
