"""The platform's program by its real command, with a list service that pushes, indents or is out. Each test
waits for the program to say that it is ready, and goes by the servers' books."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

from sorrelfront.lab.http1 import gate
from sorrelfront.net.budget import Descriptors
from sorrelfront.platform.config import LEAST_SOCKETS
from tests.loopback import (
    PATIENCE_S,
    Backend,
    Client,
    Registry,
    answer,
    connect,
    looped,
    member,
    request,
    table,
)
from tests.test_process import Program

OK = answer(b"served")


async def started(folder: Path, registry: Registry, known: list[dict[str, Any]], mode: str) -> Program:
    config = table(registry.address, known)
    config["settings"]["registryMode"] = mode
    # Longer than the test: what is asked at this time only would come too late.
    config["settings"]["rules"]["askWithinUs"] = 3_600_000_000
    made = Program(folder, config)
    await made.start()
    return made


@looped
async def test_a_pushed_list_holds_from_the_first_moment_of_a_new_process(tmp_path: Path) -> None:
    """The list that it was started with is old: what this machine has been sent counts as told."""
    old, new = await Backend(OK).start(), await Backend(OK).start()

    class Late(Registry):
        async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)  # a program that does not wait for it is ready long before
            await super()._serve(reader, writer)

    registry = await Late().start()
    registry.change(member("b0", old.address, "draining"), member("b1", new.address))
    made = await started(tmp_path, registry, [member("b0", old.address)], "automatic")
    try:
        client = await made.ready()
        for number in range(20):
            client.send(request(f"r{number}"))
            assert (await client.answer())[0] == 200
        assert not old.seen and len(new.seen) == 20
        registry.change(member("b1", new.address, "draining"), member("b0", old.address))
        await old_takes(client, old)
        assert await made.end() == 0
    finally:
        stop(made, old, new, registry)


async def old_takes(client: Any, server: Backend) -> None:
    """A change that is pushed later is heard on the watch that stays open."""
    number = 0
    while not server.seen:
        number += 1
        client.send(request(f"later{number}"))
        await client.answer()


@looped
async def test_a_pushed_list_that_is_out_keeps_a_new_process_from_nothing_but_news(tmp_path: Path) -> None:
    """It serves by the list that it was started with, and hears what was pushed meanwhile at the return."""
    server = await Backend(OK).start()
    registry = await Registry().start()
    address = registry.address
    registry.stop()
    await registry.server.wait_closed()
    made = await started(tmp_path, registry, [member("b0", server.address)], "automatic")
    try:
        client = await made.ready()
        client.send(request("first"))
        assert (await client.answer())[0] == 200
        registry.known = [member("b0", server.address, "draining")]
        registry.server = await asyncio.start_server(registry._serve, *_place(address))
        await asyncio.wait_for(registry.asked.wait(), 30)
        while True:
            before = len(server.seen)
            client.send(request(f"next{before}"))
            if (await client.answer())[0] == 503 and len(server.seen) == before:
                break
        assert await made.end() == 0
    finally:
        stop(made, server, registry)


@looped
async def test_idle_clients_that_fill_the_descriptors_keep_it_neither_from_discovery_nor_from_servers(
    tmp_path: Path,
) -> None:
    """Discovery is out while a crowd connects and says nothing. At its return a drain is heard, and who asks
    is served at the server that is left."""
    draining, left = await Backend(OK).start(), await Backend(OK).start()
    registry = await Registry().start()
    address = registry.address
    registry.stop()
    await registry.server.wait_closed()
    config = table(address, [member("b0", draining.address)])
    config["limits"]["sockets"] = LEAST_SOCKETS
    made = Program(tmp_path, config)
    await made.start()
    crowd: list[Client] = []
    try:
        asker = await made.ready()
        descriptors = Path(f"/proc/{made.process.pid}/fd")
        at_rest = len([*descriptors.iterdir()])
        while len([*descriptors.iterdir()]) < at_rest + Descriptors(LEAST_SOCKETS).clients - 1:
            crowd.append(await connect(made.address))
        registry.known = [member("b0", draining.address, "draining"), member("b1", left.address)]
        registry.server = await asyncio.start_server(registry._serve, *_place(address))
        await asyncio.wait_for(registry.asked.wait(), PATIENCE_S)
        number = 0
        while not left.seen:  # until the list has been read
            number += 1
            asker = await _asks(asker, made, f"r{number}")
        draining.seen.clear()
        for number in range(10):
            asker = await _asks(asker, made, f"s{number}")
        assert not draining.seen and len(left.seen) >= 10
        assert await made.end() == 0
    finally:
        for client in crowd:
            client.close()
        stop(made, draining, left, registry)


async def _asks(client: Client, made: Program, name: str) -> Client:
    """A request gets its answer, on another connection if this one was closed for having rested."""
    while True:
        client.send(request(name))
        try:
            assert (await client.answer())[0] == 200
        except (OSError, asyncio.IncompleteReadError):
            client = await connect(made.address)
            continue
        return client


@looped
async def test_a_second_sigterm_changes_nothing_of_what_the_first_owes(tmp_path: Path) -> None:
    go, script = gate(OK)
    server, registry = await Backend(script).start(), await Registry().start()
    made = await started(tmp_path, registry, [member("b0", server.address)], "subscribe")
    try:
        resting, client = await made.ready(), await made.ready()
        client.send(request("held", "pay", b"x"))
        await asyncio.wait_for(server.arrived.wait(), PATIENCE_S)
        made.process.send_signal(signal.SIGTERM)
        assert await resting.ended()  # it has heard the first
        made.process.send_signal(signal.SIGTERM)
        made.process.send_signal(signal.SIGHUP)
        await made.logged(b"a new configuration is in force")  # and what came behind the second
        go.set()
        assert (await client.answer())[0] == 200
        assert await made.end() == 0 and len(server.seen) == 1
    finally:
        stop(made, server, registry)


@looped
async def test_a_process_that_is_killed_owes_nothing_and_the_next_one_takes_its_place(tmp_path: Path) -> None:
    """What it held is the client's to repeat, and who asks again at the same address is served."""
    go, script = gate(OK)
    server, registry = await Backend(script).start(), await Registry().start()
    made = await started(tmp_path, registry, [member("b0", server.address)], "subscribe")
    try:
        client = await made.ready()
        client.send(request("held"))
        await asyncio.wait_for(server.arrived.wait(), PATIENCE_S)
        made.process.kill()
        assert await client.ended()
        await made.process.wait()
        go.set()
        await made.start()
        again = await made.ready()
        again.send(request("held"))
        assert (await again.answer())[0] == 200 and len(server.seen) == 2
        assert await made.end() == 0
    finally:
        stop(made, server, registry)


def _place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@looped
async def test_forty_connections_that_send_to_the_end_get_one_answer_each(tmp_path: Path) -> None:
    """After SIGTERM clients go on sending every 20 ms on each connection that stays open. What was read is
    answered, and what crossed the close was never read: the server's book has each id once."""
    server = await Backend(OK).start()
    registry = await Registry().start()
    made = await started(tmp_path, registry, [member("b0", server.address)], "subscribe")
    sent: list[str] = []
    answered: dict[str, int] = {}
    unread: list[str] = []
    stopping = asyncio.Event()

    async def one(number: int) -> None:
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
        clients = [asyncio.create_task(one(number)) for number in range(40)]
        await stopping.wait()
        assert await made.end() == 0
        await asyncio.gather(*clients)
        ran = [
            line.split(b" ")[1]
            for seen in server.seen
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


@looped
async def test_an_indented_list_is_heard_by_the_program(tmp_path: Path) -> None:
    server, gone = await Backend(OK).start(), await Backend(OK).start()

    class Indented(Registry):
        def _line(self, writer: Any, revision: int, complete: bool, members: list[dict[str, Any]]) -> None:
            update = {"revision": revision, "complete": complete, "members": members}
            self._chunk(writer, json.dumps(update, indent=2).encode() + b"\n")

    registry = await Indented().start()
    registry.known = [member("b0", server.address)]
    made = await started(tmp_path, registry, [member("b1", gone.address)], "automatic")
    try:
        client = await made.ready()
        client.send(request("first"))
        assert (await client.answer())[0] == 200
        assert len(server.seen) == 1 and not gone.seen
        assert await made.end() == 0
    finally:
        stop(made, server, gone, registry)
