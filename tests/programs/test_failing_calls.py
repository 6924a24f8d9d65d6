"""The program where system calls fail for a moment, by a library that is loaded into it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from sorrelfront.lab.faults.system_calls import Call, SystemCalls
from tests.loopback import Backend, Registry, answer, connect, looped, member, request, table, until
from tests.programs.test_lists import stop
from tests.test_process import Program, free_address

SLACK_US = 150_000  # of the time that a server is told


@pytest.mark.parametrize("also_control", [False, True])
@looped
async def test_a_start_waits_for_sockets_that_cannot_be_had_for_a_moment(
    tmp_path: Path, calls: SystemCalls, also_control: bool
) -> None:
    """The machine has no descriptors or no memory for a socket as the program begins to listen. It ended."""
    server, registry = await Backend(answer(b"served")).start(), await Registry().start()
    config = table(registry.address, [member("b0", server.address)])
    if also_control:
        config["control"] = "{}:{}".format(*free_address())
    made = Program(tmp_path, config, calls.environ)
    calls.set(Call.SOCKET, 1.0)
    await made.start()
    try:
        await until(lambda: calls.hits(Call.SOCKET) >= 3 or made.process.returncode is not None)
        calls.set(Call.SOCKET, 0.0)
        ready = asyncio.create_task(made.ready())
        ended = asyncio.create_task(made.process.wait())
        await asyncio.wait({ready, ended}, return_when=asyncio.FIRST_COMPLETED)
        assert ready.done(), f"it ended with {made.process.returncode}"
        client = ready.result()
        client.send(request("first"))
        assert (await client.answer())[0] == 200
        assert await made.end() == 0
    finally:
        stop(made, server, registry)


@looped
async def test_the_time_for_which_a_request_waits_to_be_accepted_is_not_told_to_its_server(
    tmp_path: Path, calls: SystemCalls
) -> None:
    """Accepting fails for half a second, in which the client's time runs."""
    server, registry = await Backend(answer(b"served")).start(), await Registry().start()
    made = Program(tmp_path, table(registry.address, [member("b0", server.address)]), calls.environ)
    await made.start()
    try:
        (await made.ready()).close()
        calls.set(Call.ACCEPT, 1.0)
        client = await connect(made.address)
        client.send(request("late", budget="4000m"))
        sent = time.monotonic()
        before = calls.hits(Call.ACCEPT)
        await until(lambda: time.monotonic() > sent + 0.5 and calls.hits(Call.ACCEPT) > before)
        calls.set(Call.ACCEPT, 0.0)
        accepted = time.monotonic()
        assert (await client.answer())[0] == 200
        (told,) = (line for line in server.seen[0].split(b"\r\n") if line.startswith(b"X-Budget: "))
        assert 0 < int(told[10:-1]) <= 4_000_000 - (accepted - sent) * 1e6 + SLACK_US
        assert await made.end() == 0
    finally:
        stop(made, server, registry)
