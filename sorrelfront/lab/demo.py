"""`sorrelfront demo`: a daemon between stand-ins with injected faults, and a count of the failures.

Lost requests are counted from the clients' records, and requests that ran twice or came too late from those
of the servers; never from the daemon's own figures.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from sorrelfront.daemon import control
from sorrelfront.errors import SorrelfrontError
from sorrelfront.lab.listing import EphemeralListing, Listing, RegistryListing
from sorrelfront.lab.load_generator import CLASSES, LOST, LoadGenerator
from sorrelfront.lab.scripted_servers import Ledger, Mode, Server

CLIENTS = 24
PAUSE_S = 0.05  # between a client's answer and its next request
SERVERS = 5
WINDOW_S = 4.0
COLD_S, COLD_FROM, COLD_MULTIPLE, COLD_SPAN_S = 9.0, 0.3, 3.0, 1.5
READY_WITHIN_S = 30.0
END_WITHIN_S = 30.0

CONFIG_TEMPLATE = """
[daemon]
control = "control.sock"
instances = {instances}
seed = {seed}
[listeners.http]
address = "127.0.0.1:{port}"
[classes.look]
repeat = "safe"
aim_ms = 300
deadline_ms = 2000
[classes.book]
repeat = "keyed"
aim_ms = 500
deadline_ms = 3000
window_ms = 4000
[classes.pay]
repeat = "unsafe"
aim_ms = 500
deadline_ms = 3000
[limits]
held = {held}
[membership]
{membership}
"""


class CannotRun(SorrelfrontError):
    """The demo could not be started; the message is one line."""

    remedy = "Free the ports that are named, or run the demo on a machine with less beside it."


@dataclass(frozen=True, slots=True)
class Step:
    """A scripted event, at a share (0 to 1) of the demo's duration."""

    at: float
    description: str
    action: Callable[[Demo], Any]


class Demo:
    """Runs the stand-ins, the daemon and the load."""

    def __init__(
        self, folder: Path, seconds: float, instances: int, seed: int, membership: str = "registry"
    ) -> None:
        self.folder = folder
        self.listing: Listing = RegistryListing()
        self.steps: tuple[Step, ...] = STEPS
        if membership == "zookeeper":
            self.listing = EphemeralListing()
            self.steps = tuple(sorted((*STEPS, *EPHEMERAL_STEPS), key=lambda step: step.at))
        self.seconds = seconds
        self.instances = instances
        self.seed = seed
        self.path = folder / "demo.toml"
        self.log = folder / "daemon.log"
        self.servers: dict[str, Server] = {}
        self.ledger = Ledger(WINDOW_S)
        self.events: list[str] = []
        self.reloads = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, show: Callable[[Demo], None]) -> dict[str, Any]:
        """Run the demo, calling `show` ten times a second, and return the figures. Raises CannotRun."""
        await self.listing.start()
        for number in range(SERVERS):
            server = await self.add(f"b{number}")
            await self.listing.add(server.name, server.address)
        self.port = _free_port()
        self.write(1_000)
        with self.log.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "sorrelfront.cli.main", "serve", str(self.path), stderr=log, stdout=log
            )
        try:
            await self._ready(process)
            self.load = LoadGenerator(("127.0.0.1", self.port), CLIENTS, PAUSE_S)
            await self._run_steps(show)
            await self.load.finish()
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
            async with asyncio.timeout(END_WITHIN_S):
                code = await process.wait()
        finally:
            for task in self._tasks:
                task.cancel()
            if process.returncode is None:
                process.kill()
                await process.wait()
            await self.listing.stop()
            for server in self.servers.values():
                server.stop()
        return self.figures(code)

    async def _ready(self, process: asyncio.subprocess.Process) -> None:
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until and process.returncode is None:
            with contextlib.suppress(control.DaemonUnavailable):
                status = await control.send_request(self.folder / "control.sock", {"op": "status"}, 1.0)
                if all(item.get("ready_servers") == SERVERS for item in status["instances"]):
                    return
            await asyncio.sleep(0.02)
        raise CannotRun(f"the daemon did not become ready: {self.log.read_text()[-500:].strip()}")

    async def _run_steps(self, show: Callable[[Demo], None]) -> None:
        began = time.monotonic()
        steps = list(self.steps)
        while (now := time.monotonic() - began) < self.seconds:
            while steps and now >= steps[0].at * self.seconds:
                step = steps.pop(0)
                self.events.append(f"{now:5.1f} s  {step.description}")
                done = step.action(self)
                if asyncio.iscoroutine(done):
                    task = asyncio.create_task(done)
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            show(self)
            await asyncio.sleep(0.1)

    # Scripted events

    def write(self, held: int) -> None:
        """Write the daemon's file; it is replaced atomically, so that the daemon never reads a part of it."""
        text = CONFIG_TEMPLATE.format(
            instances=self.instances, seed=self.seed, port=self.port, held=held,
            membership=self.listing.toml(),
        )  # fmt: skip
        new_path = self.path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self.path)

    async def add(self, name: str) -> Server:
        """Start a server, without listing it."""
        server = self.servers[name] = Server(name, self.ledger)
        await server.start()
        return server

    def set_mode(self, name: str, mode: Mode) -> None:
        """Change how a server handles requests."""
        self.servers[name].mode = mode

    async def drain(self, name: str) -> None:
        """List a server as draining, and count its late requests from then on."""
        await self.listing.drain(name)
        self.servers[name].mark_draining()

    async def start_cold_server(self, name: str) -> None:
        """Start a cold server and list it."""
        server = await self.add(name)
        server.mark_started()
        await self.listing.add(name, server.address, cold=True)

    def expire_all(self) -> None:
        """Expire the sessions of all servers, which then register again."""
        assert isinstance(self.listing, EphemeralListing)
        self.listing.expire_all()

    async def stall(self, seconds: float) -> None:
        """Make the coordination service answer no requests for `seconds`."""
        assert isinstance(self.listing, EphemeralListing)
        self.listing.ensemble.stall()
        await asyncio.sleep(seconds)
        self.listing.ensemble.resume()

    def stop_member(self, at: int) -> None:
        """Stop the ensemble member with index `at`."""
        assert isinstance(self.listing, EphemeralListing)
        self.listing.ensemble.members[at].vanish()

    async def reload(self) -> None:
        """Change a limit in the daemon's file and have the daemon reload it."""
        self.write(900)
        answered = await control.send_request(self.folder / "control.sock", {"op": "reload"})
        self.reloads += bool(answered.get("ok"))

    # Figures

    def counts(self, cls: str | None = None) -> dict[str, int]:
        """Count the outcomes that clients saw, of one class or of all."""
        found = {"offered": 0, "served": 0, "refused": 0, "failed": 0}
        for (name, got), count in self.load.by_class.items():
            if cls is not None and name != cls:
                continue
            found["offered"] += count
            if got.startswith(b"HTTP/1.1 200"):
                found["served"] += count
            elif got[:12] in (b"HTTP/1.1 429", b"HTTP/1.1 503"):
                found["refused"] += count
            else:
                found["failed"] += count
        return found

    def figures(self, code: int) -> dict[str, Any]:
        """Return the figures; `code` is the daemon's exit code."""
        ms = sorted(1000 * latency for latency in self.load.latencies)
        cuts = statistics.quantiles(ms, n=100) if len(ms) > 1 else [0.0] * 99
        servers = self.servers.values()
        return {
            **self.counts(),
            "lost": self.load.outcomes[LOST],
            "doubled": len(self.ledger.duplicates),
            "late_drains": sum(server.late_drains for server in servers),
            "cold_overruns": sum(
                server.cold_overruns(COLD_S, COLD_FROM, COLD_MULTIPLE, COLD_SPAN_S) for server in servers
            ),
            "p50_ms": round(cuts[49], 3),
            "p99_ms": round(cuts[98], 3),
            "longest_gap_ms": round(self.load.longest_gap_s * 1000, 3),
            "reloads": self.reloads,
            "daemon_exit": code,
            "classes": {cls: self.counts(cls) for cls in CLASSES},
            "servers": {server.name: server.requests for server in servers},
            "seconds": self.seconds,
        }


STEPS = (
    Step(0.15, "b0 takes ten times as long", lambda demo: demo.set_mode("b0", Mode.SLOW)),
    Step(0.30, "b0 is well again", lambda demo: demo.set_mode("b0", Mode.HEALTHY)),
    Step(0.32, "b1 drains", lambda demo: demo.drain("b1")),
    Step(0.40, "the file is changed and reloaded", lambda demo: demo.reload()),
    Step(0.50, "b2 hangs", lambda demo: demo.set_mode("b2", Mode.HUNG)),
    Step(0.65, "b2 is well again", lambda demo: demo.set_mode("b2", Mode.HEALTHY)),
    Step(0.67, "b5 is started, cold", lambda demo: demo.start_cold_server("b5")),
    Step(0.80, "b3 fails everything", lambda demo: demo.set_mode("b3", Mode.FAILING)),
    Step(0.90, "b3 is well again", lambda demo: demo.set_mode("b3", Mode.HEALTHY)),
)


EPHEMERAL_STEPS = (
    Step(0.10, "the service stalls for 2 s", lambda demo: demo.stall(2.0)),
    Step(0.45, "a member of the service vanishes", lambda demo: demo.stop_member(0)),
    Step(0.55, "the sessions of all servers expire", lambda demo: demo.expire_all()),
)


def broken_rules(figures: dict[str, Any]) -> list[str]:
    """Return the names of the figures that show a broken rule."""
    return [name for name in ("lost", "doubled", "late_drains", "cold_overruns") if figures[name]]


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def _render(demo: Demo) -> Group:
    classes = Table("class", "offered", "served", "refused", "failed")
    for cls in (*CLASSES, None):
        counts = demo.counts(cls)
        classes.add_row(cls or "all", *(str(count) for count in counts.values()))
    servers = Table("server", "requests", "state")
    for server in demo.servers.values():
        state = "draining" if server.drained_at is not None else server.mode.value
        servers.add_row(server.name, str(server.requests), state)
    return Group(classes, servers, "\n".join(demo.events))


def run_demo(
    seconds: float, instances: int, seed: int, quiet: bool, membership: str = "registry"
) -> dict[str, Any]:
    """Run the demo; unless `quiet`, with a live table. Raises CannotRun."""

    async def run() -> dict[str, Any]:
        with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
            demo = Demo(Path(folder), seconds, instances, seed, membership)
            if quiet:
                return await demo.run(lambda _: None)
            with Live(console=Console(), refresh_per_second=5) as live:
                return await demo.run(lambda playing: live.update(_render(playing)))

    return asyncio.run(run())
