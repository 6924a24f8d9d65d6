"""Start a daemon as a process, with a registry and backends of the test around it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from sorrelfront.daemon import control
from sorrelfront.daemon.channel import send
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, Registry, answer, member
from tests.test_process import ROOT, free_address

OK = answer(b"served")
DEADLINE_MS = 25_000  # for requests held while programs start on a busy machine; below `WAIT_TIMEOUT_S`


def hello(path: Path) -> dict[str, object]:
    """Return the `hello` answer that an instance gives on its adoption socket."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.settimeout(WAIT_TIMEOUT_S)
        sock.connect(str(path))
        assert send(sock, {"op": "hello"})
        data, descriptors, _, _ = socket.recv_fds(sock, 65_536, 40)
        for descriptor in descriptors:
            os.close(descriptor)
    reply = json.loads(data)
    assert isinstance(reply, dict)
    return reply


class Fleet:
    """A daemon's process, configuration file and control socket."""

    def __init__(self, folder: Path, registry: str, instances: int = 2) -> None:
        self.folder = folder
        self.path = folder / "sorrelfront.toml"
        self.address = free_address()
        self.instances = instances
        self.registry = registry
        self.log = folder / "log"
        self.environ: dict[str, str] = {}
        self.orphan_ms = 0  # so that a test that ends early leaves no process behind
        self.extra_daemon_lines = ""  # further lines of [daemon]
        self.extra_tables = ""  # further tables
        self.servers: list[tuple[str, str]] = []  # a fixed list, instead of the registry
        self.update_registry: Callable[..., None] = print
        self.write()

    def text(self, **changes: Any) -> str:
        """Return the configuration file's text, with these changes."""
        address = changes.get("address", self.address)
        classes = changes.get("classes", ("look", "book", "pay"))
        repeats = {"look": "safe", "book": "keyed", "pay": "unsafe"}
        tables = "".join(
            f"[classes.{name}]\nrepeat = '{repeats[name]}'\naim_ms = 3000\ndeadline_ms = {DEADLINE_MS}\n"
            + ("window_ms = 4000\n" if name == "book" else "")
            for name in classes
        )
        membership = f'address = "{self.registry}"'
        if self.servers:
            rows = ",\n".join(f'{{ id = "{name}", address = "{place}" }}' for name, place in self.servers)
            membership = f'source = "fixed"\nservers = [\n{rows}\n]'
        return f"""
[daemon]
control = "c.sock"
instances = {changes.get("instances", self.instances)}
sockets = {changes.get("sockets", 512)}
reload_within_ms = {changes.get("reload_within_ms", 10_000)}
hang_after_ms = {changes.get("hang_after_ms", 20_000)}
orphan_ms = {changes.get("orphan_ms", self.orphan_ms)}
{self.extra_daemon_lines}
restart_first_ms = 50
[listeners.http]
address = "{address[0]}:{address[1]}"
{tables}
[membership]
{membership}
{self.extra_tables}
"""

    def write(self, **changes: Any) -> None:
        """Replace the configuration file atomically."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(self.text(**changes))
        fresh.replace(self.path)

    async def start(self, before: str = "", more: tuple[str, ...] = ()) -> None:
        """Start the process. `before` is a statement that it runs first, to inject a fault into it."""
        words = ["-m", "sorrelfront.cli.main"]
        if before:
            words = ["-c", f"{before}\nfrom sorrelfront.cli.main import main\nmain()"]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *words, "serve", str(self.path), *more,
                cwd=ROOT, env={**os.environ, **self.environ}, stderr=log,
            )  # fmt: skip

    async def ask(self, op: str, **more: Any) -> dict[str, Any]:
        """Send one operation to the control socket and return the answer."""
        return await control.send_request(self.folder / "c.sock", {"op": op, **more}, WAIT_TIMEOUT_S)

    async def status(self) -> dict[str, dict[str, Any]]:
        """Return the rows of `status` by instance name."""
        return {item["name"]: item for item in (await self.ask("status"))["instances"]}

    async def ready(
        self, count: int | None = None, within_s: float = WAIT_TIMEOUT_S
    ) -> dict[str, dict[str, Any]]:
        """Wait until `count` instances are ready and each knows a ready server; return their status."""
        async with asyncio.timeout(within_s):
            while True:
                with contextlib.suppress(control.DaemonUnavailable):
                    found = await self.status()
                    ready = [item for item in found.values() if item["phase"] == "ready"]
                    wanted = self.instances if count is None else count
                    if len(ready) == wanted and all(item.get("ready_servers", 0) for item in ready):
                        return found
                await asyncio.sleep(0.02)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the supervisor, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    def orphans(self) -> list[int]:
        """Return the pids of the instances whose adoption sockets exist in the run folder."""
        numbers = [path.stem.rpartition("-")[2] for path in self.folder.glob("c.sock.d/*-*.sock")]
        return [int(number) for number in numbers if number.isdigit()]

    async def kill(self) -> None:
        """Kill the supervisor alone, so that it cannot tell its instances."""
        self.process.kill()
        await self.process.wait()

    async def ended(self) -> int:
        """Wait for the supervisor to end and return its exit status."""
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)


@contextlib.asynccontextmanager
async def fleet(folder: Path, *backends: Backend, instances: int = 2) -> AsyncIterator[Fleet]:
    """Run a daemon that knows these servers; check at the end that it stopped cleanly."""
    registry = await Registry().start()
    daemon = Fleet(folder, registry.address, instances)
    daemon.update_registry = registry.update
    registry.members = [member(f"b{at}", backend.address) for at, backend in enumerate(backends)]
    await daemon.start()
    try:
        await daemon.ready()
        yield daemon
        daemon.signal(signal.SIGTERM)
        assert await daemon.ended() == 0, daemon.log.read_text()
        assert "Traceback" not in daemon.log.read_text(), daemon.log.read_text()
    finally:
        if daemon.process.returncode is None:
            daemon.process.kill()
            await daemon.process.wait()
        for pid in daemon.orphans():
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        registry.stop()
        for backend in backends:
            backend.stop()
