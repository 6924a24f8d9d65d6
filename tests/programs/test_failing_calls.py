"""The program while system calls fail for a short time, by a shim that is loaded into it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from sorrelfront.lab.faults.system_calls import Call, SystemCalls
from tests.loopback import Backend, Registry, answer, async_test, connect, make_config, member, request, until
from tests.programs.test_lists import stop
from tests.test_process import Program, free_address

SLACK_US = 150_000  # tolerance of the budget that is passed to a server


@pytest.mark.parametrize("also_control", [False, True])
@async_test
async def test_a_start_retries_while_sockets_cannot_be_created(
    tmp_path: Path, calls: SystemCalls, also_control: bool
) -> None:
    """Without descriptors or memory for a socket at the start, the program ended instead of retrying."""
    server, registry = await Backend(answer(b"served")).start(), await Registry().start()
    config = make_config(registry.address, [member("b0", server.address)])
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


@async_test
async def test_the_budget_passed_to_a_server_excludes_the_wait_to_be_accepted(
    tmp_path: Path, calls: SystemCalls
) -> None:
    """Accepting fails for half a second, while the time of the client's deadline runs."""
    server, registry = await Backend(answer(b"served")).start(), await Registry().start()
    made = Program(tmp_path, make_config(registry.address, [member("b0", server.address)]), calls.environ)
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
        (budget,) = (line for line in server.received[0].split(b"\r\n") if line.startswith(b"X-Budget: "))
        assert 0 < int(budget[10:-1]) <= 4_000_000 - (accepted - sent) * 1e6 + SLACK_US
        assert await made.end() == 0
    finally:
        stop(made, server, registry)
