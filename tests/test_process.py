"""The program as a process: configuration, reload and termination by signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
from collections.abc import AsyncIterator, Mapping
from pathlib import Path
from typing import Any

from tests.loopback import (
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    Registry,
    answer,
    connect,
    make_config,
    member,
    request,
    until,
)

ROOT = Path(__file__).parent.parent
OK = answer(b"served")


def free_address() -> tuple[str, int]:
    """Return an address that nobody listens at, below the machine's range of ephemeral ports.

    A port of that range could be given to a concurrent test's connection before it is listened at here.
    """
    while True:
        address = ("127.0.0.1", random.SystemRandom().randrange(10_000, 32_000))
        with contextlib.suppress(OSError), socket.create_server(address):
            return address


class Program:
    """The agent's process and its configuration file."""

    def __init__(
        self, folder: Path, config: dict[str, Any], environ: Mapping[str, str] | None = None
    ) -> None:
        self.environ = environ or {}
        self.path = folder / "config.json"
        self.address = free_address()
        self.config = config
        self.write(config)

    def write(self, config: dict[str, Any]) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(config) if config else "{")
        fresh.replace(self.path)

    async def start(self) -> None:
        environ = {
            **os.environ,
            "BALANCER_CONFIG": str(self.path),
            "BALANCER_LISTEN": "{}:{}".format(*self.address),
            "BALANCER_DISCOVERY": self.config["discovery"],
            **self.environ,
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sorrelfront.platform",
            cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stderr is not None
        self.stderr = self.process.stderr

    async def ready(self) -> Client:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    client = await connect(self.address)
                    client.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                    if (await client.answer())[0] == 200:
                        return client
                await asyncio.sleep(0.02)

    async def logged(self, text: bytes) -> bytes:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while line := await self.stderr.readline():
                if text in line:
                    return line
        raise AssertionError(f"it ended without logging {text!r}")

    async def end(self) -> int:
        if self.process.returncode is None:
            # Not by the process object: it would poll the process, and might reap it before asyncio does.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGTERM)
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)


@contextlib.asynccontextmanager
async def program(
    folder: Path, backend: Backend, registry: Registry, sockets: int = 256
) -> AsyncIterator[Program]:
    config = make_config(registry.address, [member("b0", backend.address)])
    config["limits"]["sockets"] = sockets
    made = Program(folder, config)
    await made.start()
    try:
        yield made
        assert await made.end() == 0
    finally:
        if made.process.returncode is None:
            made.process.kill()
            await made.process.wait()
        backend.stop()
        registry.stop()


def test_a_reload_moves_the_watch_and_loses_no_request(tmp_path: Path) -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend, other = await Backend(later).start(), await Backend(OK).start()
        old, new = await Registry().start(), await Registry().start()
        async with program(tmp_path, backend, old) as made:
            client = await made.ready()
            await asyncio.wait_for(old.watch_opened.wait(), WAIT_TIMEOUT_S)
            client.send(request("held", "pay", b"x"))
            await asyncio.wait_for(backend.arrived.wait(), WAIT_TIMEOUT_S)
            made.write({**made.config, "discovery": new.address})
            made.process.send_signal(signal.SIGHUP)
            await asyncio.wait_for(new.watch_opened.wait(), WAIT_TIMEOUT_S)
            await until(lambda: old.open_watches == 0)
            go.set()
            assert (await client.answer())[2] == b"served"
            # The new service's list applies: the old backend is gone, another one is listed.
            new.send_update(9, member("b1", other.address), complete=True)
            count = 0
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not other.received:
                    count += 1
                    client.send(request(f"after{count}"))
                    assert (await client.answer())[0] == 200
        other.stop()
        new.stop()

    asyncio.run(play())


def test_an_invalid_new_configuration_is_logged_in_one_line_and_the_old_one_stays(tmp_path: Path) -> None:
    async def play() -> None:
        backend, registry = await Backend(OK).start(), await Registry().start()
        async with program(tmp_path, backend, registry) as made:
            client = await made.ready()
            await asyncio.wait_for(registry.watch_opened.wait(), WAIT_TIMEOUT_S)
            good = made.config
            unlimited = {**good, "limits": {"memory_mb": float("inf"), "sockets": 256}}
            for config in ({}, {**good, "discovery": "nowhere"}, {**good, "settings": {}}, unlimited):
                made.write(config)
                made.process.send_signal(signal.SIGHUP)
                line = await made.logged(b"the new configuration is not used")
                assert b"Traceback" not in line
                client.send(request("a"))
                assert (await client.answer())[0] == 200
            assert registry.watches == 1

    asyncio.run(play())


def test_an_invalid_configuration_at_the_start_prints_one_line_and_exits(tmp_path: Path) -> None:
    async def play() -> None:
        made = Program(tmp_path, make_config("127.0.0.1:9", []))
        for config in ({}, {**made.config, "limits": {"memory_mb": float("inf"), "sockets": 256}}):
            made.write(config)
            await made.start()
            output = await asyncio.wait_for(made.stderr.read(), WAIT_TIMEOUT_S)
            assert await asyncio.wait_for(made.process.wait(), WAIT_TIMEOUT_S) == 2
            assert output.count(b"\n") == 1 and output.startswith(b"sorrelfront: ")

    asyncio.run(play())


def test_sigterm_ends_the_program_after_the_requests_in_flight(tmp_path: Path) -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend, registry = await Backend(later).start(), await Registry().start()
        async with program(tmp_path, backend, registry) as made:
            idle, client = await made.ready(), await made.ready()
            client.send(request("held", "pay", b"x"))
            await asyncio.wait_for(backend.arrived.wait(), WAIT_TIMEOUT_S)
            made.process.send_signal(signal.SIGTERM)
            assert await idle.wait_closed()
            go.set()
            status, head, body = await client.answer()
            assert (status, body) == (200, b"served") and b"connection: close" in head.lower()
            assert await client.wait_closed()

    asyncio.run(play())
