"""The platform's program as a process, with a list service that pushes, indents or is unavailable.

Each test waits until the program reports that it is ready, and is judged by what the servers received.
"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

from sorrelfront.lab.http1 import gated_script
from sorrelfront.net.budget import Descriptors
from sorrelfront.platform.config import MIN_SOCKETS
from tests.loopback import (
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    Registry,
    answer,
    async_test,
    connect,
    make_config,
    member,
    request,
)
from tests.test_process import Program

OK = answer(b"served")


async def start_program(folder: Path, registry: Registry, known: list[dict[str, Any]], mode: str) -> Program:
    config = make_config(registry.address, known)
    config["settings"]["registryMode"] = mode
    # Longer than the test, so that polling alone would come too late.
    config["settings"]["rules"]["askWithinUs"] = 3_600_000_000
    made = Program(folder, config)
    await made.start()
    return made


@async_test
async def test_a_new_process_waits_for_a_pushed_list(tmp_path: Path) -> None:
    """The list in its configuration is old: by it, requests would go to a server that drains."""
    old, new = await Backend(OK).start(), await Backend(OK).start()

    class Late(Registry):
        async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)  # a program that does not wait is ready long before
            await super()._serve(reader, writer)

    registry = await Late().start()
    registry.update(member("b0", old.address, "draining"), member("b1", new.address))
    made = await start_program(tmp_path, registry, [member("b0", old.address)], "automatic")
    try:
        client = await made.ready()
        for number in range(20):
            client.send(request(f"r{number}"))
            assert (await client.answer())[0] == 200
        assert not old.received and len(new.received) == 20
        registry.update(member("b1", new.address, "draining"), member("b0", old.address))
        await wait_until_used(client, old)
        assert await made.end() == 0
    finally:
        stop(made, old, new, registry)


async def wait_until_used(client: Any, server: Backend) -> None:
    """Send requests until the server gets one, once a change was pushed on the open watch."""
    number = 0
    while not server.received:
        number += 1
        client.send(request(f"later{number}"))
        await client.answer()


@async_test
async def test_a_new_process_serves_while_a_pushed_list_is_unavailable(tmp_path: Path) -> None:
    """It serves by the list in its configuration, and applies missed changes once the service is back."""
    server = await Backend(OK).start()
    registry = await Registry().start()
    address = registry.address
    registry.stop()
    await registry.server.wait_closed()
    made = await start_program(tmp_path, registry, [member("b0", server.address)], "automatic")
    try:
        client = await made.ready()
        client.send(request("first"))
        assert (await client.answer())[0] == 200
        registry.members = [member("b0", server.address, "draining")]
        registry.server = await asyncio.start_server(registry._serve, *_parse_address(address))
        await asyncio.wait_for(registry.watch_opened.wait(), 30)
        while True:
            before = len(server.received)
            client.send(request(f"next{before}"))
            if (await client.answer())[0] == 503 and len(server.received) == before:
                break
        assert await made.end() == 0
    finally:
        stop(made, server, registry)


@async_test
async def test_idle_clients_that_use_up_the_descriptors_block_neither_discovery_nor_servers(
    tmp_path: Path,
) -> None:
    """Discovery is unavailable while many clients connect and stay idle.

    Without reserved descriptors the program could reach neither discovery nor servers. Once discovery is
    back, a drain has to be applied, and requests are served by the remaining server.
    """
    draining, remaining = await Backend(OK).start(), await Backend(OK).start()
    registry = await Registry().start()
    address = registry.address
    registry.stop()
    await registry.server.wait_closed()
    config = make_config(address, [member("b0", draining.address)])
    config["limits"]["sockets"] = MIN_SOCKETS
    made = Program(tmp_path, config)
    await made.start()
    idle_clients: list[Client] = []
    try:
        asker = await made.ready()
        descriptors = Path(f"/proc/{made.process.pid}/fd")
        at_rest = len([*descriptors.iterdir()])
        while len([*descriptors.iterdir()]) < at_rest + Descriptors(MIN_SOCKETS).clients - 1:
            idle_clients.append(await connect(made.address))
        registry.members = [member("b0", draining.address, "draining"), member("b1", remaining.address)]
        registry.server = await asyncio.start_server(registry._serve, *_parse_address(address))
        await asyncio.wait_for(registry.watch_opened.wait(), WAIT_TIMEOUT_S)
        number = 0
        while not remaining.received:  # until the list has been read
            number += 1
            asker = await _ask(asker, made, f"r{number}")
        draining.received.clear()
        for number in range(10):
            asker = await _ask(asker, made, f"s{number}")
        assert not draining.received and len(remaining.received) >= 10
        assert await made.end() == 0
    finally:
        for client in idle_clients:
            client.close()
        stop(made, draining, remaining, registry)


async def _ask(client: Client, made: Program, name: str) -> Client:
    """Send a request and check its answer, on a new connection if this one was closed as idle."""
    while True:
        client.send(request(name))
        try:
            assert (await client.answer())[0] == 200
        except (OSError, asyncio.IncompleteReadError):
            client = await connect(made.address)
            continue
        return client


@async_test
async def test_a_second_sigterm_does_not_abort_requests_in_flight(tmp_path: Path) -> None:
    go, script = gated_script(OK)
    server, registry = await Backend(script).start(), await Registry().start()
    made = await start_program(tmp_path, registry, [member("b0", server.address)], "subscribe")
    try:
        idle, client = await made.ready(), await made.ready()
        client.send(request("held", "pay", b"x"))
        await asyncio.wait_for(server.arrived.wait(), WAIT_TIMEOUT_S)
        made.process.send_signal(signal.SIGTERM)
        assert await idle.wait_closed()  # the first signal was handled
        made.process.send_signal(signal.SIGTERM)
        made.process.send_signal(signal.SIGHUP)
        await made.logged(b"a new configuration is in force")  # and so was the one after the second
        go.set()
        assert (await client.answer())[0] == 200
        assert await made.end() == 0 and len(server.received) == 1
    finally:
        stop(made, server, registry)


@async_test
async def test_after_a_kill_a_new_process_serves_at_the_same_address(tmp_path: Path) -> None:
    """The client's connection ends, and its repeated request is served by the next process."""
    go, script = gated_script(OK)
    server, registry = await Backend(script).start(), await Registry().start()
    made = await start_program(tmp_path, registry, [member("b0", server.address)], "subscribe")
    try:
        client = await made.ready()
        client.send(request("held"))
        await asyncio.wait_for(server.arrived.wait(), WAIT_TIMEOUT_S)
        made.process.kill()
        assert await client.wait_closed()
        await made.process.wait()
        go.set()
        await made.start()
        again = await made.ready()
        again.send(request("held"))
        assert (await again.answer())[0] == 200 and len(server.received) == 2
        assert await made.end() == 0
    finally:
        stop(made, server, registry)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@async_test
async def test_connections_that_send_during_a_shutdown_get_one_answer_per_request(tmp_path: Path) -> None:
    """After SIGTERM 40 clients go on sending every 20 ms on each connection that stays open.

    A request that was read has to be answered. One that crossed the close must never have been read, so that
    each id reaches the server once.
    """
    server = await Backend(OK).start()
    registry = await Registry().start()
    made = await start_program(tmp_path, registry, [member("b0", server.address)], "subscribe")
    sent: list[str] = []
    answered: dict[str, int] = {}
    unread: list[str] = []
    stopping = asyncio.Event()

    async def run_client(number: int) -> None:
        client = await connect(made.address)
        for count in range(1_000):
            name = f"c{number}-{count}"
            try:
                client.send(request(name, "pay", b"x"))
                sent.append(name)
                status, head, _ = await client.answer()
            except (OSError, asyncio.IncompleteReadError):
                unread.append(name)
                return
            assert name not in answered
            answered[name] = status
            if count == 3:
                stopping.set()
            if b"connection: close" in head.lower():
                return
            await asyncio.sleep(0.02)

    try:
        await made.ready()
        clients = [asyncio.create_task(run_client(number)) for number in range(40)]
        await stopping.wait()
        assert await made.end() == 0
        await asyncio.gather(*clients)
        ran = [
            line.split(b" ")[1]
            for seen in server.received
            for line in seen.split(b"\r\n")
            if b"X-Call-Id" in line
        ]
        assert len(ran) == len(set(ran))
        assert {name.decode() for name in ran} <= set(answered)
        assert set(sent) == set(answered) | set(unread)
        assert set(answered.values()) <= {200, 503} and len(answered) >= 160
    finally:
        stop(made, server, registry)


def stop(made: Program, *others: Any) -> None:
    if made.process.returncode is None:
        made.process.kill()
    for other in others:
        other.stop()


@async_test
async def test_the_program_reads_an_indented_list(tmp_path: Path) -> None:
    server, configured = await Backend(OK).start(), await Backend(OK).start()

    class Indented(Registry):
        def _line(self, writer: Any, revision: int, complete: bool, members: list[dict[str, Any]]) -> None:
            update = {"revision": revision, "complete": complete, "members": members}
            self._chunk(writer, json.dumps(update, indent=2).encode() + b"\n")

    registry = await Indented().start()
    registry.members = [member("b0", server.address)]
    made = await start_program(tmp_path, registry, [member("b1", configured.address)], "automatic")
    try:
        client = await made.ready()
        client.send(request("first"))
        assert (await client.answer())[0] == 200
        assert len(server.received) == 1 and not configured.received
        assert await made.end() == 0
    finally:
        stop(made, server, configured, registry)
