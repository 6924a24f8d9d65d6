"""The harness of a storm: real daemons on loopback addresses, simulated servers and callers, and relays.

Each host has one loopback address. A host's daemon, its instances and all their child processes carry the
host's mark in their environment. The harness ends all of them; a separate keeper process does so if the
harness cannot.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import numpy as np

from sorrelfront.daemon import control
from sorrelfront.daemon.processes import open_process, send_signal
from sorrelfront.decisions.fleet.view import Settings
from sorrelfront.decisions.fleet.view import convergence_bound_us as view_bound_us
from sorrelfront.errors import SorrelfrontError
from sorrelfront.fleet.replicator import replication_settings
from sorrelfront.lab.fleet.copies import bound_us
from sorrelfront.lab.http1 import Registry, make_config, member
from sorrelfront.lab.load_generator import LEFT, LoadGenerator, SocketClient
from sorrelfront.lab.scripted_servers import Ledger, Mode, Server
from sorrelfront.lab.storm import disk, launch, sites
from sorrelfront.lab.storm.history import History
from sorrelfront.lab.storm.links import Network, TcpRelay, UdpRelay
from sorrelfront.lab.storm.processes import (
    MARK,
    CleanupProcess,
    ManagedProcess,
    find_marked,
    kill_marked,
    signal_marked,
)
from sorrelfront.lab.storm.scenario import KINDS, PlannedFault, Scenario

CLAIM_PORT = 20_001
BLOCKS = range(1, 250)  # N in 127.0.N.*: one block for each storm on this machine
CLIENT_PORT = 18_080  # the listener of each host, for its callers
DEDUP_WINDOW_S = 4.0  # how long servers remember an idempotency key
COLD_S, COLD_FROM, COLD_MULTIPLE, COLD_SPAN_S = 9.0, 0.3, 3.0, 1.5
MEMORY_DIRECTORY = "/dev/shm"
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.1
LAG_INTERVAL_S = 0.01
MIN_RECORDED_LAG_MS = 20.0
STOP_TIMEOUT_S = 40.0
MAX_LINE_BYTES = 4_000  # of a log line that are kept: enough for a whole traceback
DESCRIPTOR_LIMIT = 16_384

CONFIG_TEMPLATE = """
[daemon]
name = "{name}"
control = "c.sock"
instances = {instances}
seed = {seed}
{state}
state_every_ms = 200
restart_first_ms = 100
hang_after_ms = {hang_ms}
[log]
format = "json"
[listeners.http]
address = "{address}"
[classes.look]
repeat = "safe"
aim_ms = 300
deadline_ms = {deadline_ms}
[classes.book]
repeat = "keyed"
aim_ms = 500
deadline_ms = {deadline_ms}
window_ms = 4000
[classes.pay]
repeat = "unsafe"
aim_ms = 500
deadline_ms = {deadline_ms}
[limits]
held = {held}
[membership]
address = "{registry}"
{fleet}
"""
VIEW_PORT, VIEW_RELAY_PORT = 17_000, 17_100  # of a host's first instance and of the relay to it
FLEET_TEMPLATE = """
[fleet]
name = "{name}"
listen = "{ip}:{listen}"
advertise = "{ip}:{advertise}"
join = [{join}]
key_file = "key"
probe_ms = {probe_ms}
answer_ms = {answer_ms}
gossip_ms = 50
exchange_ms = 5000
recall_ms = 500
"""
VOTERS_TEMPLATE = """
voters = [{voters}]
lease_ms = {lease_ms}
policy_header = true
"""
FIRST_UNSAFE_PROPOSAL = 100  # proposals from this number on make the safe class unsafe
RETRIABLE_REASONS = ("another change", "no majority")  # reasons after which a change is proposed again
MAX_PROPOSALS = 20  # of one change, by default
FIRST_LONG_PROPOSAL, LONG_CLASSES = 1_000, 205  # from this number on: nearly the maximum size
COMMAND_TIMEOUT_S = 40.0  # for the policy command to report the outcome
VIEW_POLL_S = 0.25
PORT_OFFSET = 1_000  # added to the ports of a second daemon on a host, and of moved members


class StormSetupError(SorrelfrontError):
    """Raised when a storm cannot be set up; the message is one line."""

    remedy = (
        "Look at the last lines of the log that are named; with processes left over, "
        "play the storm again later."
    )


class _RecordingBook(Ledger):
    """One server's access to the book shared by all servers; records effects in the history."""

    def __init__(self, server: str, whole: Ledger, history: History) -> None:
        super().__init__(whole.window_s)
        self.ran, self._keys = whole.ran, whole._keys
        self._server = server
        self._history = history

    def run(self, name: str, key: str) -> None:
        before = self.ran[key or name]
        super().run(name, key)
        if self.ran[key or name] > before:
            cls = "book" if key else "pay"
            self._history.add("effect", server=self._server, key=key or name, call=name, **{"class": cls})


class _RecordingServer(Server):
    """A server that records each arriving request in the history, with its sender and sending time."""

    def __init__(self, name: str, stage: Harness) -> None:
        load = stage.scenario.load
        super().__init__(
            name, _RecordingBook(name, stage.book, stage.history), load["service_ms"] / 1e3, load["slots"]
        )
        self._stage = stage

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the storm is being torn down
            await super()._serve(reader, writer)

    async def _handle_request(self, whole: bytes, writer: asyncio.StreamWriter) -> None:
        stage = self._stage
        origin = stage.network.origin(writer.get_extra_info("peername"))
        sent = origin.sent_at - stage.history.began if origin else stage.history.now()
        lines = whole.partition(b"\r\n\r\n")[0].split(b"\r\n")
        calls = [line[11:].strip() for line in lines if line[:11].lower() == b"x-call-id: "]
        call = calls[0].decode("latin-1") if calls else ""
        host = origin.host if origin else ""
        if stage.scenario.storm["copies"]:
            host = call.partition("-")[0]  # an address from a copy leads through another host's relay
        stage.history.add("arrive", server=self.name, host=host, sent=round(sent, 6), call=call)
        await super()._handle_request(whole, writer)

    def start_cold(self) -> None:
        """Start the cold period and record its limits in the history."""
        self.mark_started()
        self._stage.history.add(
            "cold", server=self.name, capacity=self.slots / self.service_s, multiple=COLD_MULTIPLE,
            span_s=COLD_SPAN_S, cold_s=COLD_S, **{"from": COLD_FROM},
        )  # fmt: skip


class _HostRegistry(Registry):
    """The list service as one host sees it: each server has the address of this host's relay to it."""

    def __init__(self, host: str, history: History) -> None:
        super().__init__()
        self._host = host
        self._history = history

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._history.add("watch", host=self._host)
        with contextlib.suppress(asyncio.CancelledError):  # the storm is being torn down
            await super()._serve(reader, writer)


class _WatchRecorder:
    """Records the server phases sent to a host's watches, parsed line by line as they pass the relay."""

    def __init__(self, host: str, history: History) -> None:
        self._host = host
        self._history = history
        self._rest: dict[int, bytes] = {}
        self._known: dict[tuple[int, str], str] = {}

    def __call__(self, connection: int, data: bytes) -> None:
        *lines, rest = (self._rest.pop(connection, b"") + data).split(b"\n")
        self._rest[connection] = rest
        for line in lines:
            if line.startswith(b'{"revision"'):
                for item in json.loads(line)["members"]:
                    self._record_phase(connection, item["id"], item["phase"])

    def _record_phase(self, connection: int, server: str, phase: str) -> None:
        if self._known.get((connection, server)) != phase:
            self._known[connection, server] = phase
            self._history.add("told", host=self._host, server=server, phase=phase)


class _Clients(LoadGenerator):
    """The callers of one host's daemon."""

    def __init__(self, host: Host) -> None:
        self._host = host.name
        self._history = host.stage.history
        load = self._load = host.stage.scenario.load
        self._rng = np.random.default_rng([host.stage.seed, 2, host.number])
        super().__init__(host.address, load["clients"], load["pause_ms"] / 1e3, name=f"{host.name}-c")

    def on_request_sent(self, name: str, cls: str) -> None:
        """Record that a caller sends a request."""
        self._history.add("ask", host=self._host, call=name, **{"class": cls})

    async def await_answer(self, peer: SocketClient, name: str) -> bytes:
        """Wait for the answer; a random share of callers closes the connection after a random time.

        The share is the load's `leave`; the time is uniform up to `leave_ms`.
        """
        leaves, share = self._rng.random(2)
        if leaves >= self._load["leave"]:
            return await super().await_answer(peer, name)
        try:
            async with asyncio.timeout(share * self._load["leave_ms"] / 1e3):
                return await super().await_answer(peer, name)
        except TimeoutError:
            peer.abandon()
            self._history.add("left", host=self._host, call=name)
            return LEFT

    def on_outcome(self, name: str, cls: str, got: bytes, seconds: float) -> None:
        """Record an answer with its status, latency and, if present, its policy version."""
        status = got.split(b" ")[1].decode() if got.startswith(b"HTTP/1.1 ") else got.decode()
        extra: dict[str, Any] = {"class": cls}
        for line in self.head.lower().split(b"\r\n") if status == "200" else ():
            if line.startswith(b"x-sorrelfront-policy: "):
                version, _, outside = line[22:].decode().partition(" ")
                extra |= {"version": int(version), "inside": not outside}
        self._history.add(
            "answer", host=self._host, call=name, status=status, ms=round(seconds * 1e3, 3), **extra
        )


class Host:
    """One simulated host: its daemon, disk, clock and callers."""

    def __init__(self, stage: Harness, number: int) -> None:
        self.stage = stage
        self.number = number
        self.name = f"h{number}"
        self.ip = f"127.0.{stage.block}.{number}"
        self.address = (self.ip, CLIENT_PORT)
        self.folder = stage.folder / self.name
        self.folder.mkdir(mode=0o700)
        self.path = self.folder / "sorrelfront.toml"
        self.mark = f"{stage.mark}/{self.name}"
        self.clock = launch.Clock()
        self.launched = stage.needs_launcher(self.name)
        if self.launched:
            self.clock.write(self.folder)
        self.registry = _HostRegistry(self.name, stage.history)
        # By server name, and "list"; in a storm with sites also "words HOST N" and "requests HOST N".
        self.relays: dict[str, TcpRelay] = {}
        self.daemons: list[ManagedProcess] = []
        self.clients: _Clients | None = None
        self.expected_up = True  # whether it is expected to be up
        self.ready = -1
        self.views: dict[str, list[str]] = {}
        self.policies: dict[str, tuple[int, str]] = {}  # by instance: version and standing
        # By instance: digest, whether it is level with the others, whether it serves by a copy of the list.
        self.copies: dict[str, tuple[str, bool, bool]] = {}
        self.phases: dict[str, str] = {}  # by instance, as last reported
        self.twin: ManagedProcess | None = None
        self.held = 1_000
        self.offers_state = 0  # which state of its site's offers its file contains
        self.moved = False  # whether its members use their second set of addresses
        self._spinners: list[ManagedProcess] = []
        self._pipes: list[asyncio.ReadTransport] = []

    @property
    def wanted(self) -> int:
        """Number of instances that have to be ready."""
        return 1 if self.stage.platform else int(self.stage.scenario.storm["instances"])

    @property
    def site(self) -> int:
        """Number of the host's site, from 1; 0 in a storm without sites."""
        storm = self.stage.scenario.storm
        return sites.site_of(self.number, storm["hosts"], storm["sites"]) if storm["sites"] else 0

    @property
    def state(self) -> Path:
        """State directory of the daemon."""
        return self.folder / "state"

    def remember_disk(self) -> None:
        """Save the state that `disk-back` restores, without files that are being replaced at this moment."""
        first = self.folder / "state.first"
        first.mkdir(mode=0o700, exist_ok=True)
        for path in self.state.glob("[!.]*") if self.state.exists() else ():
            with contextlib.suppress(FileNotFoundError):
                shutil.copy2(path, first / path.name)

    def write(self) -> None:
        """Write the configuration file of the daemon or of the platform's program."""
        scenario = self.stage.scenario
        if self.stage.platform:
            config = make_config(self._relay_address("list"), [])
            for cls in config["settings"]["grades"]:
                cls["giveUpUs"] = int(scenario.load["deadline_ms"] * 1000)
            text = json.dumps(config)
        else:
            text = CONFIG_TEMPLATE.format(
                name=self.name,
                instances=scenario.storm["instances"],
                seed=self.stage.seed * 100 + self.number,
                state='state_dir = "state"' if scenario.storm["state"] else "",
                held=self.held,
                hang_ms=int(scenario.storm["hang_ms"]),
                address=f"{self.ip}:{CLIENT_PORT}",
                fleet=self._fleet_table() if scenario.storm["fleet"] else "",
                deadline_ms=scenario.load["deadline_ms"],
                registry=self._relay_address("list"),
            )
            if self.site:
                text += self._partner_tables()
            if scenario.storm["voters"]:
                text = text.replace("repeat =", f'on_isolation = "{scenario.storm["isolation"]}"\nrepeat =')
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.path)

    def start_twin(self) -> None:
        """Start a second daemon under the same name, as on a cloned host.

        It has its own control socket, listener and fleet addresses, and no state.
        """
        folder = self.folder / "twin"
        folder.mkdir(mode=0o700, exist_ok=True)
        shutil.copy2(self.folder / "key", folder / "key")
        text = self.path.read_text().replace('state_dir = "state"', "")
        for port in (CLIENT_PORT, VIEW_PORT, VIEW_RELAY_PORT):
            text = text.replace(f'"{self.ip}:{port}"', f'"{self.ip}:{port + PORT_OFFSET}"')
        path = folder / "sorrelfront.toml"
        path.write_text(text)
        self.twin = self.start(path=path)
        self.daemons.remove(self.twin)

    async def stop_twin(self) -> None:
        """Stop the second daemon with SIGTERM, if there is one."""
        if self.twin is not None:
            self.twin.stop_requested = True
            self.twin.signal(signal.SIGTERM)
            await self.twin.reap(STOP_TIMEOUT_S)

    def move(self) -> None:
        """Switch its members to their other set of addresses, from their next start on."""
        self.moved = not self.moved
        self.write()

    def rekey(self, step: int) -> None:
        """Write the key file for one step of a key rotation.

        Step 0 has only the first key. Step 1 also accepts the second. Step 2 sends with the second and still
        accepts the first. Step 3 sends with the second and accepts the third.
        """
        spoken, also = step // 2, step // 2 + (1 if step % 2 else -1)
        lines = [f"{self.stage.mark}-{number}\n" for number in (spoken, also) if number >= 0]
        fresh = self.folder / "key.new"
        fresh.write_text("".join(lines))
        fresh.chmod(0o600)
        fresh.replace(self.folder / "key")

    def _fleet_table(self) -> str:
        if not (self.folder / "key").exists():
            self.rekey(0)
        # Join through two hosts, so that no single one has to be up. They are far apart, so that each side of
        # a partition has one.
        count = len(self.stage.scenario.hosts)
        numbers = [number for number in range(1, count + 1) if self.stage.same_site(number, self.number)]
        others = [f"127.0.{self.stage.block}.{number}" for number in numbers]
        others.remove(self.ip)
        others = [*others[:1], *others[1:][-1:]]
        probe_ms = self.stage.scenario.storm["probe_ms"]
        offset = PORT_OFFSET if self.moved else 0
        text = FLEET_TEMPLATE.format(
            name=f"{self.stage.mark}{self.site or ''}", ip=self.ip, listen=VIEW_PORT + offset,
            advertise=VIEW_RELAY_PORT + offset,
            join=", ".join(f'"{ip}:{VIEW_RELAY_PORT}"' for ip in others), probe_ms=probe_ms,
            answer_ms=probe_ms / 2,
        )  # fmt: skip
        if self.stage.scenario.storm["copies"]:
            text += "copies = true\n"
        voters = self.stage.scenario.storm["voters"]
        if voters:
            names = ", ".join(f'"h{number}/i0"' for number in range(1, voters + 1))
            text += VOTERS_TEMPLATE.format(voters=names, lease_ms=self.stage.scenario.storm["lease_ms"])
        return text

    def _partner_tables(self) -> str:
        """Return its site's tables; other sites' gateways have the addresses of this host's relays."""
        storm = self.stage.scenario.storm
        places: dict[int, list[tuple[str, str]]] = {}
        for other in self.stage.hosts.values():
            for at in range(storm["instances"]):
                if other.site != self.site:
                    pair = (f"words {other.name} {at}", f"requests {other.name} {at}")
                    places.setdefault(other.site, []).append(
                        (self._relay_address(pair[0]), self._relay_address(pair[1]))
                    )
        assert self.stage.keyring is not None
        key = self.stage.keyring.folder / f"site{self.site}.key"
        return sites.site_tables(
            self.site, storm["sites"], self.ip, key, self.stage.keyring, self.offers_state, places
        )

    def open_gateway_relays(self) -> None:
        """Open relays from this host to the gateways of all other sites."""
        network, add = self.stage.network, self.stage.history.add
        for other in self.stage.hosts.values():
            if other.site == self.site:
                continue
            for at in range(self.stage.scenario.storm["instances"]):
                target = (other.ip, sites.MESSAGES_PORT + at)
                messages = TcpRelay(network, self.name, other.name + sites.MESSAGES_SUFFIX, target)
                self.relays[f"words {other.name} {at}"] = messages
                target = (other.ip, sites.REQUESTS_PORT + at)
                relay = TcpRelay(network, self.name, other.name, target)
                relay.on_client_data = sites.CrossingRecorder(self.name, other.name, add)
                self.relays[f"requests {other.name} {at}"] = relay

    async def change_offers(self, state: int) -> None:
        """Write its site's offers in this state to its file and have the daemon reload it."""
        self.offers_state = state
        self.write()
        written = self.stage.history.now()
        ok = False
        with contextlib.suppress(control.DaemonUnavailable, OSError, TimeoutError):
            reply = await control.send_request(self.folder / "c.sock", {"op": "reload"}, 10.0)
            ok = bool(reply.get("ok"))
        # A daemon that is down reads the file at its next start, so `ok` does not depend on the reload.
        self.stage.history.add("terms", host=self.name, state=state, ok=True, reloaded=ok, written=written)

    async def open_member_relays(self) -> None:
        """Open relays to its members for all other hosts; they identify the sender by its address."""
        loop = asyncio.get_running_loop()
        hosts = {host.ip: host.name for host in self.stage.hosts.values()}
        for number in range(self.stage.scenario.storm["instances"]):
            for offset in (0, PORT_OFFSET):
                target = (self.ip, VIEW_PORT + number + offset)
                address = (self.ip, VIEW_RELAY_PORT + number + offset)
                await UdpRelay(self.stage.network, self.name, target, hosts, loop).start(address)
                TcpRelay(self.stage.network, "", self.name, target, hosts=hosts, address=address)

    async def follow_views(self) -> None:
        """Record each instance's view of the living members whenever it changes."""
        last: dict[str, list[str]] = {}
        while True:
            for number in range(self.wanted):
                name = f"{self.name}/i{number}"
                living = await self._read_view(number)
                if living is not None and last.get(name) != living:
                    last[name] = living
                    self.views[name] = living
                    self.stage.history.add("view", host=self.name, member=name, living=living)
            await asyncio.sleep(VIEW_POLL_S)

    async def _read_view(self, number: int) -> list[str] | None:
        try:
            reply = await control.send_request(
                self.folder / "c.sock", {"op": "members", "instance": f"i{number}"}, 1.0
            )
            rows = reply["members"] if reply.get("ok") else None
        except (control.DaemonUnavailable, OSError, TimeoutError, KeyError):
            return None
        if rows is None:
            return None
        return sorted(row["name"] for row in rows if row["state"] in ("alive", "suspect"))

    def _relay_address(self, name: str) -> str:
        return "{}:{}".format(*self.relays[name].address)

    def start(self, *arguments: str, path: Path | None = None) -> ManagedProcess:
        """Start the program by its real command line, with `arguments` as further arguments.

        It goes through the lab's launcher if this storm replaces the clock or the disk or plants a defect.
        `path` is the configuration file if it is not the host's own.
        """
        environ = {**os.environ, MARK: self.mark}
        if self.stage.platform:
            command = ["-m", "sorrelfront.platform"]
            environ |= {
                "BALANCER_CONFIG": str(self.path), "BALANCER_LISTEN": f"{self.ip}:{CLIENT_PORT}",
                "BALANCER_DISCOVERY": self._relay_address("list"), "BALANCER_NAME": self.name,
            }  # fmt: skip
        else:
            command = ["-m", "sorrelfront.cli.main", "serve", str(path or self.path), *arguments]
        if self.launched:
            command = ["-m", "sorrelfront.lab.storm.launch", *command]
            environ[launch.SEAMS] = str(self.folder)
            environ[launch.PLANT] = self.stage.scenario.storm["plant"]
            if self.site and self.site == self.stage.scenario.storm["hostile"]:
                environ[launch.PLANT] = launch.HOSTILE
        read, write = os.pipe()
        try:
            owned = ManagedProcess([sys.executable, *command], environ, Path.cwd(), write)
        finally:
            os.close(write)
        self.stage.spawn(self._record_log(read))
        self.daemons.append(owned)
        self.stage.history.add("start", host=self.name, pid=owned.pid, more=list(arguments))
        self.stage.spawn(self._await_end(owned))
        return owned

    async def _await_end(self, owned: ManagedProcess) -> None:
        await owned.ended.wait()
        if owned in self.daemons:
            self.daemons.remove(owned)
        self.stage.history.add(
            "end", host=self.name, pid=owned.pid, code=owned.code, asked=owned.stop_requested
        )

    async def _record_log(self, read: int) -> None:
        """Record its log line by line."""
        reader = asyncio.StreamReader(limit=1024 * 1024)
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(read, "rb", 0)
        )
        try:
            while line := await reader.readline():
                self.stage.history.add(
                    "said", host=self.name, line=line[:MAX_LINE_BYTES].decode(errors="replace").rstrip()
                )
        except ValueError:
            self.stage.history.add("said", host=self.name, line="(a line without end)")
        finally:
            transport.close()

    async def look(self) -> None:
        """Record the number of ready instances whenever it changes."""
        while True:
            ready = await self._count_ready()
            if ready != self.ready:
                self.ready = ready
                self.stage.history.add("ready", host=self.name, ready=ready, wanted=self.wanted)
            await asyncio.sleep(READY_POLL_S)

    async def _count_ready(self) -> int:
        if self.stage.platform:
            return await self._platform_ready()
        try:
            status = await control.send_request(self.folder / "c.sock", {"op": "status"}, 1.0)
            for item in status["instances"]:
                section = item.get("fleet", {}).get("policy")
                if section is not None:
                    self._record_policy(item["name"], section)
                section = item.get("fleet", {}).get("copies")
                if section is not None:
                    self._record_copies(item["name"], section)
                if self.phases.get(item["name"]) != item["phase"]:
                    self.phases[item["name"]] = item["phase"]
                    self.stage.history.add(
                        "phase", host=self.name, instance=item["name"], phase=item["phase"]
                    )
            return sum(
                item["phase"] == "ready" and item.get("ready_servers", 0) > 0 for item in status["instances"]
            )
        except (control.DaemonUnavailable, OSError, TimeoutError, KeyError):
            return 0

    def _record_policy(self, instance: str, section: dict[str, Any]) -> None:
        """Record the policy version and standing of one instance if they changed."""
        now = (int(section["version"]), str(section["standing"]))
        if self.policies.get(instance) != now:
            self.policies[instance] = now
            self.stage.history.add(
                "policy", host=self.name, instance=instance, version=now[0], standing=now[1]
            )

    def _record_copies(self, instance: str, section: dict[str, Any]) -> None:
        """Record the state of one instance's copies if it changed."""
        now = (str(section["digest"]), bool(section["level"]), bool(section["by_copy"]))
        if self.copies.get(instance) != now:
            self.copies[instance] = now
            self.stage.history.add(
                "copies", host=self.name, instance=instance, digest=now[0], level=now[1],
                by_copy=now[2], list=section["list"], forked=sorted(section["forked"]),
            )  # fmt: skip

    async def command(self, *arguments: str) -> tuple[int | None, dict[str, Any]]:
        """Run `sorrelfront policy FILE ... --json`; return its exit code and its last JSON line."""
        read, write = os.pipe()
        program = [sys.executable, "-m", "sorrelfront.cli.main"]
        command = [*program, "policy", str(self.path), *arguments, "--json"]
        try:
            environ = {**os.environ, MARK: f"{self.stage.mark}/{self.name}-ctl"}
            owned = ManagedProcess(command, environ, Path.cwd(), write)
        finally:
            os.close(write)
        with os.fdopen(read, "rb") as pipe:
            output = await asyncio.to_thread(pipe.read)
        await owned.reap(COMMAND_TIMEOUT_S)
        lines = [line for line in output.decode(errors="replace").splitlines() if line.startswith("{")]
        return owned.code, json.loads(lines[-1]) if lines else {"said": output.decode(errors="replace")[:400]}

    async def propose(self, number: int, times: int) -> None:
        """Propose another policy to the fleet, as an operator would on this host.

        Proposes again if another change came first, if there was no quorum, or if the outcome is unknown, up
        to `times` times in all.
        """
        stage = self.stage
        path = self.folder / f"policy-{number}.toml"
        path.write_text(stage.policy(number))
        change = f"{self.name}-{number}"
        stage.history.add("propose", host=self.name, change=change, unsafe=number >= FIRST_UNSAFE_PROPOSAL)
        for _ in range(times):
            code, reply = await self.command("propose", str(path), "--id", change)
            why = str(reply.get("why", reply.get("said", "")))[:300]
            stage.history.add(
                "change", host=self.name, change=change, code=code, state=reply.get("state", ""),
                version=reply.get("version", 0), why=why, waits=reply.get("waits", []),
            )  # fmt: skip
            if code == 0 or (reply.get("state") == "not in force" and not why.startswith(RETRIABLE_REASONS)):
                return
            await asyncio.sleep(0.3)

    async def abandon(self) -> None:
        """Abandon the pending change of policy, as an operator would on this host."""
        code, reply = await self.command("abandon")
        self.stage.history.add(
            "change", host=self.name, change=reply.get("change", ""), code=code, state=reply.get("state", ""),
            version=reply.get("version", 0), why=str(reply.get("why", reply.get("said", "")))[:300], waits=[],
        )  # fmt: skip

    async def _platform_ready(self) -> int:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n")
                    return int((await reader.readline()).startswith(b"HTTP/1.1 200"))
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0

    async def stop(self, within_s: float = STOP_TIMEOUT_S) -> None:
        """Stop all its daemons with SIGTERM and wait for their end."""
        daemons = list(self.daemons)
        for owned in daemons:
            owned.stop_requested = True
            owned.signal(signal.SIGTERM)
        for owned in daemons:
            await owned.reap(within_s)

    async def kill(self) -> None:
        """Kill all its processes at once with SIGKILL."""
        for owned in self.daemons:
            owned.stop_requested = False  # an earlier request to stop no longer explains its end
        await asyncio.to_thread(kill_marked, self.mark)
        for owned in list(self.daemons):
            await owned.reap()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to all its processes."""
        signal_marked(self.mark, number)

    async def status(self) -> list[dict[str, Any]]:
        """Return the status of its instances from the control socket."""
        found = await control.send_request(self.folder / "c.sock", {"op": "status"}, 2.0)
        return list(found["instances"])

    def starve(self, core: int) -> None:
        """Pin all its threads to one core and run two busy loops there."""
        for pid in find_marked(self.mark):
            _pin(pid, {core})
        for _ in range(2):
            command = [
                sys.executable,
                "-c",
                "import time\nend = time.monotonic() + 600\nwhile time.monotonic() < end: pass",
            ]
            spinner = ManagedProcess(
                command, {**os.environ, MARK: f"{self.stage.mark}/spinner"}, Path.cwd(), 2
            )
            _pin(spinner.pid, {core})
            self._spinners.append(spinner)

    async def stop_starving(self) -> None:
        """Stop the busy loops and let its threads use all cores again."""
        for spinner in self._spinners:
            spinner.signal(signal.SIGKILL)
            await spinner.reap()
        self._spinners.clear()
        for pid in find_marked(self.mark):
            _pin(pid, set(range(os.cpu_count() or 1)))


def _pin(pid: int, cores: set[int]) -> None:
    with contextlib.suppress(OSError):
        for task in os.listdir(f"/proc/{pid}/task"):
            with contextlib.suppress(OSError):
                os.sched_setaffinity(int(task), cores)


class Harness:
    """Sets up a storm, plays it and tears everything down again."""

    def __init__(self, scenario: Scenario, seed: int, history: History) -> None:
        self.scenario = scenario
        self.seed = seed
        self.history = history
        self.schedule = scenario.schedule(seed)
        self.platform = bool(scenario.storm["platform"])
        self.rng = np.random.default_rng([seed, 2])
        self.network = Network(np.random.default_rng([seed, 3]))
        self.book = Ledger(DEDUP_WINDOW_S)
        self.mark = uuid.uuid4().hex
        self.servers: dict[str, _RecordingServer] = {}
        self.hosts: dict[str, Host] = {}
        self.lags: list[float] = []
        self.failed: str = ""
        self.keyring: sites.Keyring | None = None
        self.pending_commands = 0  # policy commands that have not returned
        self._phases: dict[str, dict[str, Any]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._active: dict[int, PlannedFault] = {}

    def same_site(self, one: int, other: int) -> bool:
        """Return whether two hosts, by their numbers, belong to the same site."""
        hosts, count = self.scenario.storm["hosts"], self.scenario.storm["sites"]
        return not count or sites.site_of(one, hosts, count) == sites.site_of(other, hosts, count)

    def _site_of_server(self, name: str) -> int:
        """Return a server's site, 0 without sites; a server added by a fault belongs to site 1."""
        storm = self.scenario.storm
        if not storm["sites"]:
            return 0
        if name.startswith("sx"):
            return 1
        return sites.site_of(int(name[1:]), storm["servers"], storm["sites"])

    def needs_launcher(self, host: str) -> bool:
        """Return whether the host's daemon has to be started through the lab's launcher."""
        seams = ("clock-", "disk-", "power")
        storm = self.scenario.storm
        return bool(storm["plant"] or storm["hostile"]) or any(
            item.what.startswith(seams) and host in item.hosts for item in self.schedule
        )

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that ends with the storm; its failure makes the storm fail."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed = self.failed or f"the rig failed: {task.exception()!r}"

    # Setup

    async def play(self, show: Callable[[str], None] = lambda _: None) -> None:
        """Play the whole storm; `show` receives lines about its progress.

        Raises:
            StormSetupError: The storm could not be set up, or the harness failed.
        """
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < DESCRIPTOR_LIMIT:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTOR_LIMIT, hard), hard))
        self.block, claim = claim_block(self.seed)
        self.folder = Path(tempfile.mkdtemp(prefix="storm-", dir=_scratch_directory()))
        keeper = CleanupProcess(self.mark, self.folder)
        try:
            await self._set_up()
            await self._storm(show)
        finally:
            await self._take_down()
            keeper.close()
            claim.close()
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _set_up(self) -> None:
        storm = self.scenario.storm
        self.history.add(
            "storm",
            name=storm["name"],
            seed=self.seed,
            hosts=self.scenario.hosts,
            block=self.block,
            view_bound_s=self._view_bound_s(),
            copies_bound_s=self._copies_bound_s(),
            deadline_ms=self.scenario.load["deadline_ms"],
            instances=1 if self.platform else storm["instances"],
            servers=storm["servers"],
            sites=storm["sites"],
            hostile=storm["hostile"],
            site_of_hosts={
                name: sites.site_of(at, storm["hosts"], storm["sites"]) if storm["sites"] else 0
                for at, name in enumerate(self.scenario.hosts, 1)
            },
            site_of_servers={name: self._site_of_server(name) for name in self.scenario.servers},
            plan=[
                {
                    "what": item.what,
                    "at": item.at,
                    "lasts": item.lasts,
                    "hosts": item.hosts,
                    "to": item.to,
                    "size": item.size,
                    "part": item.part,
                }
                for item in self.schedule
            ],
        )
        for number in range(1, storm["hosts"] + 1):
            host = Host(self, number)
            self.hosts[host.name] = host
            await host.registry.start(f"127.0.{self.block}.200")
            host.relays["list"] = TcpRelay(
                self.network,
                host.name,
                "list",
                _parse_address(host.registry.address),
                _WatchRecorder(host.name, self.history),
            )
        for name in self.scenario.servers:
            await self._add_server(name, cold=False)
        late = {name for item in self.schedule if item.what == "late" for name in item.hosts}
        self.spawn(self._measure_lag())
        if storm["sites"]:
            self.keyring = sites.Keyring(self.folder, storm["sites"])
            for host in self.hosts.values():
                host.open_gateway_relays()
        for host in self.hosts.values():
            if storm["fleet"]:
                await host.open_member_relays()
                self.spawn(host.follow_views())
            host.write()
            self.spawn(host.look())
            if host.name not in late:
                host.start()
            else:
                host.expected_up = False
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while any(host.expected_up and host.ready < host.wanted for host in self.hosts.values()):
                    self._raise_if_failed()
                    await asyncio.sleep(0.02)
        except TimeoutError:
            said = [event["line"] for event in self.history.events if event["kind"] == "said"][-3:]
            raise StormSetupError(f"the daemons did not become ready: {' / '.join(said)}") from None
        if storm["voters"]:
            await self._establish_policy()
        for host in self.hosts.values():
            host.remember_disk()

    async def _establish_policy(self) -> None:
        """Found the fleet's policy, as an operator does once for a new fleet; retry until it is in force."""
        first = next(iter(self.hosts.values()))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                self._raise_if_failed()
                code, _ = await first.command("found")
                if code == 0 and not self._policy_mismatch(list(self.hosts.values()), 0):
                    break
                await asyncio.sleep(0.1)

    def _policy_mismatch(self, hosts: list[Host], least: int = 0) -> str:
        """Describe the first instance without a lease on the newest version; empty if all have one."""
        if not self.scenario.storm["voters"]:
            return ""
        if self.pending_commands:
            return "a change is being proposed"
        running = [host for host in hosts if host.expected_up]
        newest = max([least, *(version for host in running for version, _ in host.policies.values())])
        for host in running:
            for number in range(host.wanted):
                version, standing = host.policies.get(f"i{number}", (-1, "unknown"))
                if (version, standing) != (newest, "leased"):
                    return f"{host.name}/i{number} goes by {version}, {standing}; {newest} is the newest"
        return ""

    def policy(self, number: int) -> str:
        """Return the text of the policy file with this number; it differs from that of every other."""
        scenario = self.scenario
        base = (
            CONFIG_TEMPLATE.partition("[classes.look]")[2]
            .partition("[membership]")[0]
            .format(deadline_ms=scenario.load["deadline_ms"], held=1_000 + number)
        )
        text = f"[classes.look]{base}tries = {1 + number % 3}\n"
        if number >= FIRST_UNSAFE_PROPOSAL:
            text = text.replace('repeat = "safe"', 'repeat = "unsafe"')
        if number >= FIRST_LONG_PROPOSAL:
            more = 'repeat = "safe"\naim_ms = 300\ndeadline_ms = 2500\n'
            text += "".join(f"[classes.c{item}]\n{more}" for item in range(LONG_CLASSES))
        return text.replace("repeat =", f'on_isolation = "{scenario.storm["isolation"]}"\nrepeat =')

    def _view_bound_s(self) -> float:
        """Return the time within which the view has to settle, by its design note; 0 without a fleet."""
        storm = self.scenario.storm
        if not storm["fleet"]:
            return 0.0
        probe_us = int(storm["probe_ms"] * 1_000)
        times = Settings(
            probe_interval_us=probe_us,
            probe_timeout_us=probe_us // 2,
            gossip_interval_us=50_000,
            push_pull_interval_us=5_000_000,
            reconnect_interval_us=500_000,
        )
        impaired = any(item.what in ("freeze", "starve") for item in self.schedule)
        return view_bound_us(times, storm["hosts"] * storm["instances"], healthy=not impaired) / 1e6

    def _copies_bound_s(self) -> float:
        """Return the time, by the design note, in which copies become equal once the view has settled."""
        storm = self.scenario.storm
        if not storm["copies"]:
            return 0.0
        table = {"probe_ms": storm["probe_ms"], "gossip_ms": 50, "keep_ms": 3_600_000, "copies_kb_s": 512}
        times = replication_settings(table)
        return bound_us(times, storm["hosts"] * storm["instances"]) / 1e6

    async def _add_server(self, name: str, cold: bool) -> None:
        server = self.servers[name] = _RecordingServer(name, self)
        await server.start(f"127.0.{self.block}.{100 + len(self.servers)}")
        for host in self.hosts.values():
            host.relays[name] = TcpRelay(self.network, host.name, name, _parse_address(server.address))
        if cold:
            server.start_cold()
        self._publish_phase(name, "ready", cold)

    def _publish_phase(self, name: str, phase: str, cold: bool = False) -> None:
        """Publish a server's phase in the list, to each host with the address of its own relay."""
        known = self._phases.setdefault(name, {})
        known["phase"] = phase
        if cold:
            known["up_since_ms"] = int(time.time() * 1000)
        site = self._site_of_server(name)
        for host in self.hosts.values():
            if host.site == site:
                host.registry.update({**member(name, host._relay_address(name)), **known})

    async def _measure_lag(self) -> None:
        """Measure the event loop's delay: a busy harness would make the program look slow."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            late = time.monotonic() - before - LAG_INTERVAL_S
            self.lags.append(late)
            if late * 1e3 > MIN_RECORDED_LAG_MS:
                self.history.add("lag", ms=round(late * 1e3, 1))

    def _raise_if_failed(self) -> None:
        if self.failed:
            raise StormSetupError(self.failed)

    # The storm

    async def _storm(self, show: Callable[[str], None]) -> None:
        for host in self.hosts.values() if self.scenario.load["clients"] else ():
            host.clients = _Clients(host)
        began = time.monotonic()
        self.history.add("load", hosts=[host.name for host in self.hosts.values()])
        for number, item in enumerate(self.schedule):
            self.spawn(self._run_fault(number, item, began, show))
        seconds = self.scenario.storm["seconds"]
        waiting = [number for number, item in enumerate(self.schedule) if item.given_up]
        while time.monotonic() - began < seconds or self._active.keys() & waiting:
            self._raise_if_failed()
            self.history.flush()
            await asyncio.sleep(0.05)
        await self._finish_all(show)
        await self._settle(show)
        for host in self.hosts.values():
            if host.clients is not None:
                await host.clients.finish()
        await asyncio.gather(*(host.stop() for host in self.hosts.values()))
        await asyncio.sleep(0)
        self._raise_if_failed()
        self.history.add("rig", **self.figures())

    async def _run_fault(
        self, number: int, item: PlannedFault, began: float, show: Callable[[str], None]
    ) -> None:
        await asyncio.sleep(max(0.0, began + item.at - time.monotonic()))
        self.history.add(
            "fault", number=number, what=item.what, phase="begin", hosts=list(item.hosts), to=list(item.to),
            size=item.size, words=item.describe(),
        )  # fmt: skip
        show(f"{time.monotonic() - began:6.2f} s  {item.describe()}")
        self._active[number] = item
        await self._begin_fault(item)
        if not KINDS[item.what].lasts:
            await self._finish_fault(number)
        elif item.lasts:
            await asyncio.sleep(max(0.0, began + item.until - time.monotonic()))
            if item.given_up:
                await self._wait_until_given_up(item)
            await self._finish_fault(number)
            show(f"{time.monotonic() - began:6.2f} s  over: {item.describe()}")

    async def _wait_until_given_up(self, item: PlannedFault) -> None:
        """Wait until the members on each side see exactly that side, for `settle_s` at most."""
        until = time.monotonic() + self.scenario.expect["settle_s"]
        names = item.hosts, item.to
        sides = [[self.hosts[name] for name in side if name in self.hosts] for side in names]
        while time.monotonic() < until and any(self._view_mismatch(side) for side in sides):
            await asyncio.sleep(0.05)

    async def _finish_all(self, show: Callable[[str], None]) -> None:
        """End all faults that are still active, except for hosts that are meant to stay down."""
        for number, item in list(self._active.items()):
            if item.what in ("kill", "power") and not item.lasts:
                continue
            await self._finish_fault(number)
        show(f"{self.scenario.storm['seconds']:6.2f} s  the storm is over")

    async def _finish_fault(self, number: int) -> None:
        item = self._active.pop(number, None)
        if item is not None:
            await self._revert_fault(item)
            self.history.add("fault", number=number, what=item.what, phase="over", hosts=list(item.hosts))

    async def _settle(self, show: Callable[[str], None]) -> None:
        """Wait until every host that should be up is ready and serves again, and record the result."""
        expect = self.scenario.expect
        began = time.monotonic()
        hosts = [host for host in self.hosts.values() if host.expected_up]
        wanted = {
            host.name: len(host.clients.latencies) + expect["answers"]
            for host in hosts
            if host.clients is not None
        }
        why = ""
        while time.monotonic() - began < expect["settle_s"]:
            self._raise_if_failed()
            self.history.flush()
            why = "; ".join(
                f"{host.name}: {host.ready} of {host.wanted} ready, "
                f"{len(host.clients.latencies) if host.clients else 0} of {wanted[host.name]} answers"
                for host in hosts
                if host.ready < host.wanted
                or (host.clients and len(host.clients.latencies) < wanted[host.name])
            )
            why = (
                why
                or self._view_mismatch(hosts)
                or self._policy_mismatch(hosts)
                or self._copies_mismatch(hosts)
            )
            if not why:
                break
            await asyncio.sleep(0.02)
        if self.scenario.storm["voters"] and hosts:
            _, reply = await hosts[0].command("history")
            self.history.add("decided", host=hosts[0].name, history=reply.get("history", []))
        waited = round(time.monotonic() - began, 3)
        self.history.add("settled", ok=not why, waited=waited, why=why)
        show(f"settled after {waited:.2f} s" if not why else f"not settled: {why}")

    def _view_mismatch(self, hosts: list[Host]) -> str:
        """Describe the first member whose view is not the living members; empty if all agree."""
        if not self.scenario.storm["fleet"]:
            return ""
        for host in hosts:
            same_site = [other for other in hosts if other.site == host.site]
            living = sorted(
                f"{other.name}/i{number}" for other in same_site for number in range(other.wanted)
            )
            for number in range(host.wanted):
                name = f"{host.name}/i{number}"
                if host.views.get(name) != living:
                    return f"{name} sees {len(host.views.get(name, []))} members, {len(living)} live"
        return ""

    def _copies_mismatch(self, hosts: list[Host]) -> str:
        """Describe why the copies of the hosts' instances differ; empty if they are equal."""
        if not self.scenario.storm["copies"]:
            return ""
        for site in sorted({host.site for host in hosts}):
            why = self._copies_mismatch_among([host for host in hosts if host.site == site])
            if why:
                return why
        return ""

    def _copies_mismatch_among(self, hosts: list[Host]) -> str:
        held = {
            f"{host.name}/i{at}": host.copies.get(f"i{at}") for host in hosts for at in range(host.wanted)
        }
        digests = {state[0] for state in held.values() if state is not None}
        unlevel = [name for name, state in held.items() if state is None or not state[1]]
        if len(digests) > 1:
            return f"{len(digests)} digests of copies at {len(held)} members"
        if unlevel and len(held) > 1:
            return f"{unlevel[0]} is not level with the others' copies"
        left = [name for name, state in held.items() if state is not None and state[2]]
        return f"{left[0]} still serves by its copies" if left else ""

    def figures(self) -> dict[str, Any]:
        """Return the harness's own measurements, which show whether it was the bottleneck."""
        lags = np.array(self.lags or [0.0]) * 1e3
        return {
            **self.network.figures(), "lag_p50_ms": round(float(np.percentile(lags, 50)), 2),
            "lag_p99_ms": round(float(np.percentile(lags, 99)), 2), "lag_max_ms": round(float(lags.max()), 2),
            "left_out": self.history.dropped_events, "relay_refused": self.network.refused,
        }  # fmt: skip

    # Faults

    def _hosts(self, item: PlannedFault) -> list[Host]:
        return [self.hosts[name] for name in item.hosts if name in self.hosts]

    async def _begin_fault(self, item: PlannedFault) -> None:
        match item.what:
            case "kill" | "move":
                for host in self._hosts(item):
                    host.expected_up = False
                await asyncio.gather(*(host.kill() for host in self._hosts(item)))
                for host in self._hosts(item) if item.what == "move" else ():
                    host.move()
            case "power":
                await self._cut_power(item)
            case "kill-supervisor":
                for host in self._hosts(item):
                    for owned in list(host.daemons):
                        owned.signal(signal.SIGKILL)
                        await owned.reap()
            case "kill-instance":
                for host in self._hosts(item):
                    await self._kill_instance(host, item.part)
            case "freeze":
                for host in self._hosts(item):
                    host.signal(signal.SIGSTOP)
            case "starve":
                for host in self._hosts(item):
                    host.starve((os.cpu_count() or 1) - host.number % max(1, (os.cpu_count() or 1) - 1) - 1)
            case "restart":
                for host in self._hosts(item):
                    await host.stop()
                    host.start()
            case "replace":
                for host in self._hosts(item):
                    await self._replace(host)
            case "reload":
                for host in self._hosts(item):
                    host.held += 1
                    host.write()
                    with contextlib.suppress(control.DaemonUnavailable):
                        reply = await control.send_request(host.folder / "c.sock", {"op": "reload"}, 10.0)
                        self.history.add("reload", host=host.name, ok=bool(reply.get("ok")))
            case "twin":
                for host in self._hosts(item):
                    host.start_twin()
            case "terms":
                await asyncio.gather(*(host.change_offers(int(item.size)) for host in self._hosts(item)))
            case "propose" | "abandon":
                self.pending_commands += 1
                try:
                    times = item.part or MAX_PROPOSALS
                    for host in self._hosts(item):
                        if item.what == "propose":
                            await host.propose(int(item.size), times)
                        else:
                            await host.abandon()
                finally:
                    self.pending_commands -= 1
            case "rekey":
                for host in self._hosts(item):
                    host.rekey(int(item.size))
                    with contextlib.suppress(control.DaemonUnavailable):
                        reply = await control.send_request(host.folder / "c.sock", {"op": "reload"}, 10.0)
                        self.history.add("reload", host=host.name, ok=bool(reply.get("ok")))
            case "clock-step":
                for host in self._hosts(item):
                    host.clock = host.clock.stepped(item.size)
                    host.clock.write(host.folder)
            case "clock-fast":
                for host in self._hosts(item):
                    host.clock = host.clock.at_rate(1 + item.size / 1e6, time.monotonic_ns())
                    host.clock.write(host.folder)
            case "disk-full" | "disk-readonly" | "disk-slow":
                trouble = disk.DiskFaults(
                    item.what == "disk-full",
                    item.what == "disk-readonly",
                    item.size / 1e3 if item.what == "disk-slow" else 0,
                )
                for host in self._hosts(item):
                    disk.set_disk_faults(host.folder, trouble)
            case "disk-torn" | "disk-back" | "disk-gone":
                for host in self._hosts(item):
                    self._damage_disk(host, item.what)
            case "cut" | "island" | "one-way" | "ring" | "deaf":
                self.network.change(_links(item), cut=True)
            case "refuse":
                self.network.change(_links(item), refuse=True)
            case "reset":
                self.network.reset(_links(item))
            case "forget":
                self.network.leave_half_open(_links(item))
            case "delay":
                self.network.change(_links(item), delay=item.size / 1e3, spread=item.size / 1e3)
            case "narrow":
                self.network.change(_links(item), rate=item.size)
            case "datagrams":
                self.network.change(_links(item), loss=item.size, double=item.size / 3, reorder=item.size / 3)
            case "server-kill":
                for name in item.to:
                    self._kill_server(name)
            case "server-slow" | "server-hang" | "server-fail":
                mode = {"server-slow": Mode.SLOW, "server-hang": Mode.HUNG, "server-fail": Mode.FAILING}[
                    item.what
                ]
                for name in item.to:
                    self.servers[name].slow_factor = item.size or 10.0
                    self.servers[name].mode = mode
            case "server-drain":
                for name in item.to:
                    self._publish_phase(name, "draining")
            case "server-new":
                for name in item.to:
                    await self._add_server(name, cold=True)
            case "list-down":
                self._list_down()

    async def _revert_fault(self, item: PlannedFault) -> None:
        match item.what:
            case "kill" | "late" | "move" | "kill-supervisor":
                for host in self._hosts(item):
                    host.expected_up = True
                    host.start()
            case "power":
                await self._restore_power(item)
            case "twin":
                for host in self._hosts(item):
                    await host.stop_twin()
            case "freeze":
                for host in self._hosts(item):
                    host.signal(signal.SIGCONT)
            case "starve":
                for host in self._hosts(item):
                    await host.stop_starving()
            case "clock-fast":
                for host in self._hosts(item):
                    host.clock = host.clock.at_rate(1.0, time.monotonic_ns())
                    host.clock.write(host.folder)
            case "disk-full" | "disk-readonly" | "disk-slow":
                for host in self._hosts(item):
                    disk.set_disk_faults(host.folder, disk.DiskFaults())
            case "cut" | "island" | "one-way" | "ring" | "deaf":
                self.network.change(_links(item), cut=False)
            case "refuse":
                self.network.change(_links(item), refuse=False)
            case "delay":
                self.network.change(_links(item), delay=0.0, spread=0.0)
            case "narrow":
                self.network.change(_links(item), rate=0.0)
            case "datagrams":
                self.network.change(_links(item), loss=0.0, double=0.0, reorder=0.0)
            case "server-kill":
                for name in item.to:
                    await self._start_server(name)
            case "server-slow" | "server-hang" | "server-fail":
                for name in item.to:
                    self.servers[name].mode = Mode.HEALTHY
            case "list-down":
                await self._list_up()

    async def _cut_power(self, item: PlannedFault) -> None:
        """Kill everything at the same moment, then leave on the disks what survives a power cut."""
        hosts = self._hosts(item)
        for name in item.to:
            if name in self.servers:
                self._kill_server(name)
        if "list" in item.to:
            self._list_down()
        for host in hosts:
            host.expected_up = False
        every = len(hosts) == len(self.hosts)
        for owned in [owned for host in hosts for owned in host.daemons]:
            owned.stop_requested = False
        for mark in [self.mark] if every else [host.mark for host in hosts]:
            signal_marked(mark, signal.SIGKILL)
        await asyncio.gather(*(host.kill() for host in hosts))
        for host in hosts:
            left = await asyncio.to_thread(disk.cut_power, host.folder, self.rng)
            self.history.add(
                "disk", host=host.name, files=len(left.files), gone=len(left.known) - len(left.files),
                broken=[Path(path).name for path in left.broken],
            )  # fmt: skip

    async def _restore_power(self, item: PlannedFault) -> None:
        if "list" in item.to:
            await self._list_up()
        for name in item.to:
            if name in self.servers:
                await self._start_server(name)
        for host in self._hosts(item):
            host.expected_up = True
            host.start()

    async def _kill_instance(self, host: Host, part: int) -> None:
        with contextlib.suppress(control.DaemonUnavailable, OSError):
            instances = await host.status()
            pid = instances[part]["pid"] if part < len(instances) else None
            handle = open_process(pid) if pid else None
            if handle is not None:
                send_signal(handle, signal.SIGKILL)
                os.close(handle)

    async def _replace(self, host: Host) -> None:
        """Start the next version with `--replace`; if it does not take over, the one before continues."""
        before = list(host.daemons)
        for owned in before:
            owned.stop_requested = True
        fresh = host.start("--replace")
        ends = [asyncio.create_task(owned.ended.wait()) for owned in [*before, fresh]]
        await asyncio.wait(ends, timeout=STOP_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for task in ends:
            task.cancel()

    def _damage_disk(self, host: Host, what: str) -> None:
        if what == "disk-gone":
            shutil.rmtree(host.state, ignore_errors=True)
        elif what == "disk-back" and (host.folder / "state.first").exists():
            shutil.rmtree(host.state, ignore_errors=True)
            shutil.copytree(host.folder / "state.first", host.state)
        elif what == "disk-torn" and host.state.exists():
            for path in sorted(host.state.iterdir()):
                share = float(self.rng.random())
                with contextlib.suppress(FileNotFoundError):  # it was replaced in the meantime
                    data = path.read_bytes()
                    path.write_bytes(data[: int(share * len(data))])
        (host.folder / disk.LOG_FILE).write_bytes(b"")

    def _kill_server(self, name: str) -> None:
        server = self.servers[name]
        server.killed = True
        server.stop()
        for host in self.hosts.values():
            host.relays[name].set_service_listening(False)

    async def _start_server(self, name: str) -> None:
        before = self.servers[name]
        server = self.servers[name] = _RecordingServer(name, self)
        await server.start(before.address.partition(":")[0])
        for host in self.hosts.values():
            host.relays[name].target = _parse_address(server.address)
            host.relays[name].set_service_listening(True)
        server.start_cold()
        self._publish_phase(name, self._phases[name]["phase"], cold=True)

    def _list_down(self) -> None:
        for host in self.hosts.values():
            host.relays["list"].set_service_listening(False)
            host.registry.stop()

    async def _list_up(self) -> None:
        for host in self.hosts.values():
            await host.registry.start(f"127.0.{self.block}.200")
            host.relays["list"].target = _parse_address(host.registry.address)
            host.relays["list"].set_service_listening(True)

    # Teardown

    async def _take_down(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for host in self.hosts.values():
            if host.clients is not None:
                with contextlib.suppress(Exception):
                    await host.clients.stop()
        if not await asyncio.to_thread(kill_marked, self.mark):
            self.failed = self.failed or "processes were left behind"
        self.network.close()
        for host in self.hosts.values():
            host.registry.stop()
        for server in self.servers.values():
            server.killed = True
            server.stop()
        self.history.flush()


def _links(item: PlannedFault) -> set[tuple[str, str]]:
    """Return the directed links that a fault affects.

    Messages between sites have links separate from those of requests. `deaf` affects only the links of
    messages, all other faults affect both.
    """
    messages = {(src, dst + sites.MESSAGES_SUFFIX) for src, dst in item.pairs} | {
        (src + sites.MESSAGES_SUFFIX, dst) for src, dst in item.pairs
    }
    return messages if item.what == "deaf" else item.pairs | messages


def _scratch_directory() -> str | None:
    """Return a directory in memory, or None if TMPDIR names another place.

    The harness simulates what a power cut leaves, so no real disk is needed, and on a disk shared by all
    storms of a machine each would wait for the others' fsyncs.
    """
    return MEMORY_DIRECTORY if not os.environ.get("TMPDIR") and os.access(MEMORY_DIRECTORY, os.W_OK) else None


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def claim_block(seed: int) -> tuple[int, socket.socket]:
    """Claim a block of loopback addresses that no other storm on this machine uses.

    Returns the block and the socket that holds the claim; the kernel releases it when the process ends.

    Raises:
        StormSetupError: All blocks are in use.
    """
    first = (seed * 7 + os.getpid()) % len(BLOCKS)
    for step in range(len(BLOCKS)):
        block = BLOCKS[(first + step) % len(BLOCKS)]
        sock = socket.socket()
        try:
            sock.bind((f"127.0.{block}.254", CLAIM_PORT))
            sock.listen(1)
            return block, sock
        except OSError:
            sock.close()
    raise StormSetupError("no block of loopback addresses is free")
