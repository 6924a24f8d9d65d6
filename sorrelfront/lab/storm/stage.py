"""The stage of a storm: real daemons on loopback addresses of their own, stand-ins around them, relays
between.

One address stands for one host. A host's daemon, its instances and whatever they start carry the host's mark;
the stage ends them all, and a keeper does if the stage cannot."""

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
from sorrelfront.decisions.fleet.view import bound_us as view_bound_us
from sorrelfront.errors import SorrelfrontError
from sorrelfront.fleet.copier import settings
from sorrelfront.lab.crowd import LEFT, Crowd, Peer
from sorrelfront.lab.fleet.copies import bound_us
from sorrelfront.lab.http1 import Registry, member, table
from sorrelfront.lab.shop import Book, Mode, Server
from sorrelfront.lab.storm import disk, launch, sites
from sorrelfront.lab.storm.history import History
from sorrelfront.lab.storm.links import Network, TcpRelay, UdpRelay
from sorrelfront.lab.storm.processes import MARK, Keeper, Owned, kill_all, marked, signal_all
from sorrelfront.lab.storm.scenario import KINDS, Planned, Scenario

CLAIM_PORT = 20_001
BLOCKS = range(1, 250)  # 127.0.N.*: one for each storm on this machine
PORT = 18_080  # of each host's callers
WINDOW_S = 4.0  # for how long servers remember a key
COLD_S, COLD_FROM, COLD_MULTIPLE, COLD_SPAN_S = 9.0, 0.3, 3.0, 1.5
MEMORY = "/dev/shm"
READY_WITHIN_S = 60.0
POLL_S = 0.1
LAG_EVERY_S = 0.01
LAG_TOLD_MS = 20.0
END_WITHIN_S = 40.0
LINE_MOST = 4_000  # bytes of a line of a log that are kept: a whole traceback
DESCRIPTORS = 16_384

FILE = """
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
VIEW_PORT, VIEW_RELAY_PORT = 17_000, 17_100  # of a host's first instance, and of the relays to it
FLEET = """
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
VOTERS = """
voters = [{voters}]
lease_ms = {lease_ms}
policy_header = true
"""
LOOK_UNSAFE = 100  # proposals from this number on have what was safe be unsafe
AGAIN_AFTER = ("another change", "no majority")  # what a patient operator waits out
AGAIN_MOST = 20  # proposals of one change, by an operator who wants it
LONG, LONG_CLASSES = 1_000, 205  # proposals from this number on are nearly as long as a policy may be
PROPOSE_WITHIN_S = 40.0  # for the command to say what came of it
VIEWS_EVERY_S = 0.25
TWIN = 1_000  # further on are the ports of a second daemon on a host


class CannotPlay(SorrelfrontError):
    """A storm that could not be set up, in one line."""

    remedy = (
        "Look at the last lines of the log that are named; with processes left over, "
        "play the storm again later."
    )


class _Book(Book):
    """The one book of all servers, as one of them writes it."""

    def __init__(self, server: str, whole: Book, history: History) -> None:
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


class _Server(Server):
    """A server that tells the history of what comes, and who sent it when."""

    def __init__(self, name: str, stage: Stage) -> None:
        load = stage.scenario.load
        super().__init__(
            name, _Book(name, stage.book, stage.history), load["service_ms"] / 1e3, load["slots"]
        )
        self._stage = stage

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # the storm is taken down
            await super()._serve(reader, writer)

    async def _serve_one(self, whole: bytes, writer: asyncio.StreamWriter) -> None:
        stage = self._stage
        origin = stage.network.origin(writer.get_extra_info("peername"))
        sent = origin.sent_at - stage.history.began if origin else stage.history.now()
        lines = whole.partition(b"\r\n\r\n")[0].split(b"\r\n")
        calls = [line[11:].strip() for line in lines if line[:11].lower() == b"x-call-id: "]
        call = calls[0].decode("latin-1") if calls else ""
        host = origin.host if origin else ""
        if stage.scenario.storm["copies"]:
            host = call.partition("-")[0]  # by a copy it is reached through another host's relay
        stage.history.add("arrive", server=self.name, host=host, sent=round(sent, 6), call=call)
        await super()._serve_one(whole, writer)

    def is_cold(self) -> None:
        self.begin()
        self._stage.history.add(
            "cold", server=self.name, capacity=self.slots / self.service_s, multiple=COLD_MULTIPLE,
            span_s=COLD_SPAN_S, cold_s=COLD_S, **{"from": COLD_FROM},
        )  # fmt: skip


class _List(Registry):
    """The list service as one host reaches it: servers stand in it by the addresses of this host's relays."""

    def __init__(self, host: str, history: History) -> None:
        super().__init__()
        self._host = host
        self._history = history

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._history.add("watch", host=self._host)
        with contextlib.suppress(asyncio.CancelledError):  # the storm is taken down
            await super()._serve(reader, writer)


class _Told:
    """Reads what a host's watches have been sent, line by line, as it passes the relay."""

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
                    self._one(connection, item["id"], item["phase"])

    def _one(self, connection: int, server: str, phase: str) -> None:
        if self._known.get((connection, server)) != phase:
            self._known[connection, server] = phase
            self._history.add("told", host=self._host, server=server, phase=phase)


class _Crowd(Crowd):
    """Callers beside one host's daemon."""

    def __init__(self, host: Host) -> None:
        self._host = host.name
        self._history = host.stage.history
        load = self._load = host.stage.scenario.load
        self._rng = np.random.default_rng([host.stage.seed, 2, host.number])
        super().__init__(host.address, load["clients"], load["pause_ms"] / 1e3, name=f"{host.name}-c")

    def asks(self, name: str, cls: str) -> None:
        self._history.add("ask", host=self._host, call=name, **{"class": cls})

    async def await_answer(self, peer: Peer, name: str) -> bytes:
        """Of those who may leave, whoever has no answer in a time that is drawn for it leaves."""
        leaves, share = self._rng.random(2)
        if leaves >= self._load["leave"]:
            return await super().await_answer(peer, name)
        try:
            async with asyncio.timeout(share * self._load["leave_ms"] / 1e3):
                return await super().await_answer(peer, name)
        except TimeoutError:
            peer.leave()
            self._history.add("left", host=self._host, call=name)
            return LEFT

    def heard(self, name: str, cls: str, got: bytes, seconds: float) -> None:
        status = got.split(b" ")[1].decode() if got.startswith(b"HTTP/1.1 ") else got.decode()
        told: dict[str, Any] = {"class": cls}
        for line in self.head.lower().split(b"\r\n") if status == "200" else ():
            if line.startswith(b"x-sorrelfront-policy: "):
                version, _, outside = line[22:].decode().partition(" ")
                told |= {"version": int(version), "inside": not outside}
        self._history.add(
            "answer", host=self._host, call=name, status=status, ms=round(seconds * 1e3, 3), **told
        )


class Host:
    """One host: its daemon, its disk and clock, its callers."""

    def __init__(self, stage: Stage, number: int) -> None:
        self.stage = stage
        self.number = number
        self.name = f"h{number}"
        self.ip = f"127.0.{stage.block}.{number}"
        self.address = (self.ip, PORT)
        self.folder = stage.folder / self.name
        self.folder.mkdir(mode=0o700)
        self.path = self.folder / "sorrelfront.toml"
        self.mark = f"{stage.mark}/{self.name}"
        self.clock = launch.Clock()
        self.launched = stage.needs_launcher(self.name)
        if self.launched:
            self.clock.write(self.folder)
        self.list = _List(self.name, stage.history)
        self.relays: dict[str, TcpRelay] = {}  # by server, and "list"
        self.daemons: list[Owned] = []
        self.crowd: _Crowd | None = None
        self.there = True  # it is to be up
        self.ready = -1
        self.views: dict[str, list[str]] = {}
        self.policies: dict[str, tuple[int, str]] = {}  # of its instances: version, and how it stands
        # Of its instances: digest, whether it is level, and whether it serves by the copy of the list.
        self.copies: dict[str, tuple[str, bool, bool]] = {}
        self.phases: dict[str, str] = {}  # of its instances, as they were told last
        self.twin: Owned | None = None
        self.held = 1_000
        self.terms = 0  # which state of its site's offers its file has
        self.moved = False  # its members have other addresses than at first
        self._spinners: list[Owned] = []
        self._pipes: list[asyncio.ReadTransport] = []

    @property
    def wanted(self) -> int:
        return 1 if self.stage.platform else int(self.stage.scenario.storm["instances"])

    @property
    def site(self) -> int:
        """From 1; 0 if there are none."""
        storm = self.stage.scenario.storm
        return sites.site_of(self.number, storm["hosts"], storm["sites"]) if storm["sites"] else 0

    @property
    def state(self) -> Path:
        return self.folder / "state"

    def remember_disk(self) -> None:
        """What `disk-back` puts it back to. A file that is just being replaced is left out."""
        first = self.folder / "state.first"
        first.mkdir(mode=0o700, exist_ok=True)
        for path in self.state.glob("[!.]*") if self.state.exists() else ():
            with contextlib.suppress(FileNotFoundError):
                shutil.copy2(path, first / path.name)

    def write(self) -> None:
        """The daemon's file, or the platform's."""
        scenario = self.stage.scenario
        if self.stage.platform:
            config = table(self._place("list"), [])
            for cls in config["settings"]["grades"]:
                cls["giveUpUs"] = int(scenario.load["deadline_ms"] * 1000)
            text = json.dumps(config)
        else:
            text = FILE.format(
                name=self.name,
                instances=scenario.storm["instances"],
                seed=self.stage.seed * 100 + self.number,
                state='state_dir = "state"' if scenario.storm["state"] else "",
                held=self.held,
                hang_ms=int(scenario.storm["hang_ms"]),
                address=f"{self.ip}:{PORT}",
                fleet=self._fleet() if scenario.storm["fleet"] else "",
                deadline_ms=scenario.load["deadline_ms"],
                registry=self._place("list"),
            )
            if self.site:
                text += self._partners()
            if scenario.storm["voters"]:
                text = text.replace("repeat =", f'on_isolation = "{scenario.storm["isolation"]}"\nrepeat =')
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.path)

    def start_twin(self) -> None:
        """A second daemon by the same name: as if a host had been cloned. Its control socket, its listener
        and its place in the fleet are its own; it has no state."""
        folder = self.folder / "twin"
        folder.mkdir(mode=0o700, exist_ok=True)
        shutil.copy2(self.folder / "key", folder / "key")
        text = self.path.read_text().replace('state_dir = "state"', "")
        for port in (PORT, VIEW_PORT, VIEW_RELAY_PORT):
            text = text.replace(f'"{self.ip}:{port}"', f'"{self.ip}:{port + TWIN}"')
        path = folder / "sorrelfront.toml"
        path.write_text(text)
        self.twin = self.start(path=path)
        self.daemons.remove(self.twin)

    async def stop_twin(self) -> None:
        if self.twin is not None:
            self.twin.asked = True
            self.twin.signal(signal.SIGTERM)
            await self.twin.reap(END_WITHIN_S)

    def move(self) -> None:
        """Its members go by other addresses from their next start on."""
        self.moved = not self.moved
        self.write()

    def rekey(self, step: int) -> None:
        """An operator's change of the key, in steps: 0 has the first key; 1 hears the second one as well, 2
        speaks it and hears the first; 3 hears the third."""
        spoken, also = step // 2, step // 2 + (1 if step % 2 else -1)
        lines = [f"{self.stage.mark}-{number}\n" for number in (spoken, also) if number >= 0]
        fresh = self.folder / "key.new"
        fresh.write_text("".join(lines))
        fresh.chmod(0o600)
        fresh.replace(self.folder / "key")

    def _fleet(self) -> str:
        if not (self.folder / "key").exists():
            self.rekey(0)
        # By two hosts, so that no one of them has to be there; far apart, so that each side of a cut has one.
        count = len(self.stage.scenario.hosts)
        numbers = [number for number in range(1, count + 1) if self.stage.same_site(number, self.number)]
        others = [f"127.0.{self.stage.block}.{number}" for number in numbers]
        others.remove(self.ip)
        others = [*others[:1], *others[1:][-1:]]
        probe_ms = self.stage.scenario.storm["probe_ms"]
        more = TWIN if self.moved else 0
        text = FLEET.format(
            name=f"{self.stage.mark}{self.site or ''}", ip=self.ip, listen=VIEW_PORT + more,
            advertise=VIEW_RELAY_PORT + more,
            join=", ".join(f'"{ip}:{VIEW_RELAY_PORT}"' for ip in others), probe_ms=probe_ms,
            answer_ms=probe_ms / 2,
        )  # fmt: skip
        if self.stage.scenario.storm["copies"]:
            text += "copies = true\n"
        voters = self.stage.scenario.storm["voters"]
        if voters:
            names = ", ".join(f'"h{number}/i0"' for number in range(1, voters + 1))
            text += VOTERS.format(voters=names, lease_ms=self.stage.scenario.storm["lease_ms"])
        return text

    def _partners(self) -> str:
        """Its site's tables; other sites' gateways stand in them by the addresses of this host's relays."""
        storm = self.stage.scenario.storm
        places: dict[int, list[tuple[str, str]]] = {}
        for other in self.stage.hosts.values():
            for at in range(storm["instances"]):
                if other.site != self.site:
                    pair = (f"words {other.name} {at}", f"requests {other.name} {at}")
                    places.setdefault(other.site, []).append((self._place(pair[0]), self._place(pair[1])))
        assert self.stage.keyring is not None
        key = self.stage.keyring.folder / f"site{self.site}.key"
        return sites.text(self.site, storm["sites"], self.ip, key, self.stage.keyring, self.terms, places)

    def open_border(self) -> None:
        """Relays to all other sites' gateways."""
        network, add = self.stage.network, self.stage.history.add
        for other in self.stage.hosts.values():
            if other.site == self.site:
                continue
            for at in range(self.stage.scenario.storm["instances"]):
                target = (other.ip, sites.WORDS_PORT + at)
                words = TcpRelay(network, self.name, other.name + sites.WORDS, target)
                self.relays[f"words {other.name} {at}"] = words
                target = (other.ip, sites.REQUESTS_PORT + at)
                relay = TcpRelay(network, self.name, other.name, target)
                relay.sent = sites.Crossing(self.name, other.name, add)
                self.relays[f"requests {other.name} {at}"] = relay

    async def go_by_terms(self, state: int) -> None:
        """Its file has its site's offers in this state from now on."""
        self.terms = state
        self.write()
        written = self.stage.history.now()
        ok = False
        with contextlib.suppress(control.Unavailable, OSError, TimeoutError):
            told = await control.ask(self.folder / "c.sock", {"op": "reload"}, 10.0)
            ok = bool(told.get("ok"))
        # One that is not up takes it with its next start.
        self.stage.history.add("terms", host=self.name, state=state, ok=True, reloaded=ok, written=written)

    async def open_view(self) -> None:
        """Relays to its members, for all other hosts; they tell the sender by its address."""
        loop = asyncio.get_running_loop()
        hosts = {host.ip: host.name for host in self.stage.hosts.values()}
        for number in range(self.stage.scenario.storm["instances"]):
            for more in (0, TWIN):
                target = (self.ip, VIEW_PORT + number + more)
                place = (self.ip, VIEW_RELAY_PORT + number + more)
                await UdpRelay(self.stage.network, self.name, target, hosts, loop).start(place)
                TcpRelay(self.stage.network, "", self.name, target, hosts=hosts, address=place)

    async def follow_views(self) -> None:
        """Each instance's view of who lives, whenever it is another one."""
        last: dict[str, list[str]] = {}
        while True:
            for number in range(self.wanted):
                name = f"{self.name}/i{number}"
                living = await self._view(number)
                if living is not None and last.get(name) != living:
                    last[name] = living
                    self.views[name] = living
                    self.stage.history.add("view", host=self.name, member=name, living=living)
            await asyncio.sleep(VIEWS_EVERY_S)

    async def _view(self, number: int) -> list[str] | None:
        try:
            told = await control.ask(self.folder / "c.sock", {"op": "members", "instance": f"i{number}"}, 1.0)
            rows = told["members"] if told.get("ok") else None
        except (control.Unavailable, OSError, TimeoutError, KeyError):
            return None
        if rows is None:
            return None
        return sorted(row["name"] for row in rows if row["state"] in ("alive", "suspect"))

    def _place(self, name: str) -> str:
        return "{}:{}".format(*self.relays[name].address)

    def start(self, *more: str, path: Path | None = None) -> Owned:
        """Start the program by its real command; through the lab's launcher if this storm sets its seams.
        `path`: by another file than the host's own."""
        environ = {**os.environ, MARK: self.mark}
        if self.stage.platform:
            words = ["-m", "sorrelfront.platform"]
            environ |= {
                "BALANCER_CONFIG": str(self.path), "BALANCER_LISTEN": f"{self.ip}:{PORT}",
                "BALANCER_DISCOVERY": self._place("list"), "BALANCER_NAME": self.name,
            }  # fmt: skip
        else:
            words = ["-m", "sorrelfront.cli.main", "serve", str(path or self.path), *more]
        if self.launched:
            words = ["-m", "sorrelfront.lab.storm.launch", *words]
            environ[launch.SEAMS] = str(self.folder)
            environ[launch.PLANT] = self.stage.scenario.storm["plant"]
            if self.site and self.site == self.stage.scenario.storm["hostile"]:
                environ[launch.PLANT] = launch.HOSTILE
        read, write = os.pipe()
        try:
            owned = Owned([sys.executable, *words], environ, Path.cwd(), write)
        finally:
            os.close(write)
        self.stage.spawn(self._listen(read))
        self.daemons.append(owned)
        self.stage.history.add("start", host=self.name, pid=owned.pid, more=list(more))
        self.stage.spawn(self._await_end(owned))
        return owned

    async def _await_end(self, owned: Owned) -> None:
        await owned.ended.wait()
        if owned in self.daemons:
            self.daemons.remove(owned)
        self.stage.history.add("end", host=self.name, pid=owned.pid, code=owned.code, asked=owned.asked)

    async def _listen(self, read: int) -> None:
        """Its log, line by line."""
        reader = asyncio.StreamReader(limit=1024 * 1024)
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(read, "rb", 0)
        )
        try:
            while line := await reader.readline():
                self.stage.history.add(
                    "said", host=self.name, line=line[:LINE_MOST].decode(errors="replace").rstrip()
                )
        except ValueError:
            self.stage.history.add("said", host=self.name, line="(a line without end)")
        finally:
            transport.close()

    async def look(self) -> None:
        """Follow how many instances are ready."""
        while True:
            ready = await self._count_ready()
            if ready != self.ready:
                self.ready = ready
                self.stage.history.add("ready", host=self.name, ready=ready, wanted=self.wanted)
            await asyncio.sleep(POLL_S)

    async def _count_ready(self) -> int:
        if self.stage.platform:
            return await self._platform_ready()
        try:
            status = await control.ask(self.folder / "c.sock", {"op": "status"}, 1.0)
            for item in status["instances"]:
                told = item.get("fleet", {}).get("policy")
                if told is not None:
                    self._governed(item["name"], told)
                told = item.get("fleet", {}).get("copies")
                if told is not None:
                    self._copied(item["name"], told)
                if self.phases.get(item["name"]) != item["phase"]:
                    self.phases[item["name"]] = item["phase"]
                    self.stage.history.add(
                        "phase", host=self.name, instance=item["name"], phase=item["phase"]
                    )
            return sum(
                item["phase"] == "ready" and item.get("ready_servers", 0) > 0 for item in status["instances"]
            )
        except (control.Unavailable, OSError, TimeoutError, KeyError):
            return 0

    def _governed(self, instance: str, told: dict[str, Any]) -> None:
        """By which version one of its instances goes."""
        now = (int(told["version"]), str(told["standing"]))
        if self.policies.get(instance) != now:
            self.policies[instance] = now
            self.stage.history.add(
                "policy", host=self.name, instance=instance, version=now[0], standing=now[1]
            )

    def _copied(self, instance: str, told: dict[str, Any]) -> None:
        """What one of its instances holds copies of."""
        now = (str(told["digest"]), bool(told["level"]), bool(told["by_copy"]))
        if self.copies.get(instance) != now:
            self.copies[instance] = now
            self.stage.history.add(
                "copies", host=self.name, instance=instance, digest=now[0], level=now[1],
                by_copy=now[2], list=told["list"], forked=sorted(told["forked"]),
            )  # fmt: skip

    async def command(self, *words: str) -> tuple[int | None, dict[str, Any]]:
        """What `sorrelfront policy FILE ... --json` says here, and its exit code."""
        read, write = os.pipe()
        program = [sys.executable, "-m", "sorrelfront.cli.main"]
        command = [*program, "policy", str(self.path), *words, "--json"]
        try:
            environ = {**os.environ, MARK: f"{self.stage.mark}/{self.name}-ctl"}
            owned = Owned(command, environ, Path.cwd(), write)
        finally:
            os.close(write)
        with os.fdopen(read, "rb") as pipe:
            said = await asyncio.to_thread(pipe.read)
        await owned.reap(PROPOSE_WITHIN_S)
        lines = [line for line in said.decode(errors="replace").splitlines() if line.startswith("{")]
        return owned.code, json.loads(lines[-1]) if lines else {"said": said.decode(errors="replace")[:400]}

    async def propose(self, number: int, times: int) -> None:
        """Have the fleet go by another policy, as an operator would at this host: again if another came
        first, if there is no quorum, or if it is not known what came of it, so many times at most."""
        stage = self.stage
        path = self.folder / f"policy-{number}.toml"
        path.write_text(stage.policy(number))
        change = f"{self.name}-{number}"
        stage.history.add("propose", host=self.name, change=change, unsafe=number >= LOOK_UNSAFE)
        for _ in range(times):
            code, told = await self.command("propose", str(path), "--id", change)
            why = str(told.get("why", told.get("said", "")))[:300]
            stage.history.add(
                "change", host=self.name, change=change, code=code, state=told.get("state", ""),
                version=told.get("version", 0), why=why, waits=told.get("waits", []),
            )  # fmt: skip
            if code == 0 or (told.get("state") == "not in force" and not why.startswith(AGAIN_AFTER)):
                return
            await asyncio.sleep(0.3)

    async def abandon(self) -> None:
        code, told = await self.command("abandon")
        self.stage.history.add(
            "change", host=self.name, change=told.get("change", ""), code=code, state=told.get("state", ""),
            version=told.get("version", 0), why=str(told.get("why", told.get("said", "")))[:300], waits=[],
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

    async def stop(self, within_s: float = END_WITHIN_S) -> None:
        """By SIGTERM, and wait for its end."""
        daemons = list(self.daemons)
        for owned in daemons:
            owned.asked = True
            owned.signal(signal.SIGTERM)
        for owned in daemons:
            await owned.reap(within_s)

    async def kill(self) -> None:
        """Every process of it, at once."""
        for owned in self.daemons:
            owned.asked = False  # what it was told before does not count any more
        await asyncio.to_thread(kill_all, self.mark)
        for owned in list(self.daemons):
            await owned.reap()

    def signal(self, number: signal.Signals) -> None:
        signal_all(self.mark, number)

    async def status(self) -> list[dict[str, Any]]:
        found = await control.ask(self.folder / "c.sock", {"op": "status"}, 2.0)
        return list(found["instances"])

    def starve(self, core: int) -> None:
        """Have all its threads share one core with two spinners."""
        for pid in marked(self.mark):
            _pin(pid, {core})
        for _ in range(2):
            words = [
                sys.executable,
                "-c",
                "import time\nend = time.monotonic() + 600\nwhile time.monotonic() < end: pass",
            ]
            spinner = Owned(words, {**os.environ, MARK: f"{self.stage.mark}/spinner"}, Path.cwd(), 2)
            _pin(spinner.pid, {core})
            self._spinners.append(spinner)

    async def feed(self) -> None:
        for spinner in self._spinners:
            spinner.signal(signal.SIGKILL)
            await spinner.reap()
        self._spinners.clear()
        for pid in marked(self.mark):
            _pin(pid, set(range(os.cpu_count() or 1)))


def _pin(pid: int, cores: set[int]) -> None:
    with contextlib.suppress(OSError):
        for task in os.listdir(f"/proc/{pid}/task"):
            with contextlib.suppress(OSError):
                os.sched_setaffinity(int(task), cores)


class Stage:
    """Sets a storm up, plays it, and takes everything down again."""

    def __init__(self, scenario: Scenario, seed: int, history: History) -> None:
        self.scenario = scenario
        self.seed = seed
        self.history = history
        self.schedule = scenario.schedule(seed)
        self.platform = bool(scenario.storm["platform"])
        self.rng = np.random.default_rng([seed, 2])
        self.network = Network(np.random.default_rng([seed, 3]))
        self.book = Book(WINDOW_S)
        self.mark = uuid.uuid4().hex
        self.servers: dict[str, _Server] = {}
        self.hosts: dict[str, Host] = {}
        self.lags: list[float] = []
        self.failed: str = ""
        self.keyring: sites.Keyring | None = None
        self.proposing = 0  # commands that have not come back
        self._phases: dict[str, dict[str, Any]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._holding: dict[int, Planned] = {}

    def same_site(self, one: int, other: int) -> bool:
        """Whether two hosts are of one site, by their numbers."""
        hosts, count = self.scenario.storm["hosts"], self.scenario.storm["sites"]
        return not count or sites.site_of(one, hosts, count) == sites.site_of(other, hosts, count)

    def _site_of_server(self, name: str) -> int:
        """0: of all. One that a fault adds is the first site's."""
        storm = self.scenario.storm
        if not storm["sites"]:
            return 0
        if name.startswith("sx"):
            return 1
        return sites.site_of(int(name[1:]), storm["servers"], storm["sites"])

    def needs_launcher(self, host: str) -> bool:
        seams = ("clock-", "disk-", "power")
        storm = self.scenario.storm
        return bool(storm["plant"] or storm["hostile"]) or any(
            item.what.startswith(seams) and host in item.hosts for item in self.schedule
        )

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failed = self.failed or f"the rig failed: {task.exception()!r}"

    # Up

    async def play(self, show: Callable[[str], None] = lambda _: None) -> None:
        """The whole storm. Raises CannotPlay."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < DESCRIPTORS:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTORS, hard), hard))
        self.block, claim = claim_block(self.seed)
        self.folder = Path(tempfile.mkdtemp(prefix="storm-", dir=_quick()))
        keeper = Keeper(self.mark, self.folder)
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
            view_bound_s=self._bound_s(),
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
            await host.list.start(f"127.0.{self.block}.200")
            host.relays["list"] = TcpRelay(
                self.network, host.name, "list", _address(host.list.address), _Told(host.name, self.history)
            )
        for name in self.scenario.servers:
            await self._add_server(name, cold=False)
        late = {name for item in self.schedule if item.what == "late" for name in item.hosts}
        self.spawn(self._measure_lag())
        if storm["sites"]:
            self.keyring = sites.Keyring(self.folder, storm["sites"])
            for host in self.hosts.values():
                host.open_border()
        for host in self.hosts.values():
            if storm["fleet"]:
                await host.open_view()
                self.spawn(host.follow_views())
            host.write()
            self.spawn(host.look())
            if host.name not in late:
                host.start()
            else:
                host.there = False
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                while any(host.there and host.ready < host.wanted for host in self.hosts.values()):
                    self._check()
                    await asyncio.sleep(0.02)
        except TimeoutError:
            said = [event["line"] for event in self.history.events if event["kind"] == "said"][-3:]
            raise CannotPlay(f"the daemons did not become ready: {' / '.join(said)}") from None
        if storm["voters"]:
            await self._found()
        for host in self.hosts.values():
            host.remember_disk()

    async def _found(self) -> None:
        """As an operator does once for a new fleet: when all voters see each other."""
        first = next(iter(self.hosts.values()))
        async with asyncio.timeout(READY_WITHIN_S):
            while True:
                self._check()
                code, _ = await first.command("found")
                if code == 0 and not self._wrong_policy(list(self.hosts.values()), 0):
                    break
                await asyncio.sleep(0.1)

    def _wrong_policy(self, hosts: list[Host], least: int = 0) -> str:
        """The first instance without a lease on the newest version that any has; empty if all have one."""
        if not self.scenario.storm["voters"]:
            return ""
        if self.proposing:
            return "a change is being proposed"
        there = [host for host in hosts if host.there]
        newest = max([least, *(version for host in there for version, _ in host.policies.values())])
        for host in there:
            for number in range(host.wanted):
                version, standing = host.policies.get(f"i{number}", (-1, "unknown"))
                if (version, standing) != (newest, "leased"):
                    return f"{host.name}/i{number} goes by {version}, {standing}; {newest} is the newest"
        return ""

    def policy(self, number: int) -> str:
        """A policy of this number, unlike that of any other: as a file."""
        scenario = self.scenario
        base = FILE.partition("[classes.look]")[2].partition("[membership]")[0].format(
            deadline_ms=scenario.load["deadline_ms"], held=1_000 + number
        )
        text = f"[classes.look]{base}tries = {1 + number % 3}\n"
        if number >= LOOK_UNSAFE:
            text = text.replace('repeat = "safe"', 'repeat = "unsafe"')
        if number >= LONG:
            more = 'repeat = "safe"\naim_ms = 300\ndeadline_ms = 2500\n'
            text += "".join(f"[classes.c{item}]\n{more}" for item in range(LONG_CLASSES))
        return text.replace("repeat =", f'on_isolation = "{scenario.storm["isolation"]}"\nrepeat =')

    def _bound_s(self) -> float:
        """Within which the view has to settle, by its design note."""
        storm = self.scenario.storm
        if not storm["fleet"]:
            return 0.0
        probe_us = int(storm["probe_ms"] * 1_000)
        times = Settings(
            interval_us=probe_us,
            timeout_us=probe_us // 2,
            gossip_us=50_000,
            exchange_us=5_000_000,
            recall_us=500_000,
        )
        sick = any(item.what in ("freeze", "starve") for item in self.schedule)
        return view_bound_us(times, storm["hosts"] * storm["instances"], awake=not sick) / 1e6

    def _copies_bound_s(self) -> float:
        """Within which the copies are the same once the view has settled, by their design note."""
        storm = self.scenario.storm
        if not storm["copies"]:
            return 0.0
        table = {"probe_ms": storm["probe_ms"], "gossip_ms": 50, "keep_ms": 3_600_000, "copies_kb_s": 512}
        times = settings(table)
        return bound_us(times, storm["hosts"] * storm["instances"]) / 1e6

    async def _add_server(self, name: str, cold: bool) -> None:
        server = self.servers[name] = _Server(name, self)
        await server.start(f"127.0.{self.block}.{100 + len(self.servers)}")
        for host in self.hosts.values():
            host.relays[name] = TcpRelay(self.network, host.name, name, _address(server.address))
        if cold:
            server.is_cold()
        self._tell(name, "ready", cold)

    def _tell(self, name: str, phase: str, cold: bool = False) -> None:
        """Have the list say so of this server, to each host with the address of its own relay."""
        known = self._phases.setdefault(name, {})
        known["phase"] = phase
        if cold:
            known["up_since_ms"] = int(time.time() * 1000)
        site = self._site_of_server(name)
        for host in self.hosts.values():
            if host.site == site:
                host.list.change({**member(name, host._place(name)), **known})

    async def _measure_lag(self) -> None:
        """How late the rig's own loop is: a busy rig would be taken for a slow program."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_EVERY_S)
            late = time.monotonic() - before - LAG_EVERY_S
            self.lags.append(late)
            if late * 1e3 > LAG_TOLD_MS:
                self.history.add("lag", ms=round(late * 1e3, 1))

    def _check(self) -> None:
        if self.failed:
            raise CannotPlay(self.failed)

    # The storm

    async def _storm(self, show: Callable[[str], None]) -> None:
        for host in self.hosts.values() if self.scenario.load["clients"] else ():
            host.crowd = _Crowd(host)
        began = time.monotonic()
        self.history.add("load", hosts=[host.name for host in self.hosts.values()])
        for number, item in enumerate(self.schedule):
            self.spawn(self._one(number, item, began, show))
        seconds = self.scenario.storm["seconds"]
        waiting = [number for number, item in enumerate(self.schedule) if item.given_up]
        while time.monotonic() - began < seconds or self._holding.keys() & waiting:
            self._check()
            self.history.flush()
            await asyncio.sleep(0.05)
        await self._undo(show)
        await self._settle(show)
        for host in self.hosts.values():
            if host.crowd is not None:
                await host.crowd.finish()
        await asyncio.gather(*(host.stop() for host in self.hosts.values()))
        await asyncio.sleep(0)
        self._check()
        self.history.add("rig", **self.figures())

    async def _one(self, number: int, item: Planned, began: float, show: Callable[[str], None]) -> None:
        await asyncio.sleep(max(0.0, began + item.at - time.monotonic()))
        self.history.add(
            "fault", number=number, what=item.what, phase="begin", hosts=list(item.hosts), to=list(item.to),
            size=item.size, words=item.words(),
        )  # fmt: skip
        show(f"{time.monotonic() - began:6.2f} s  {item.words()}")
        self._holding[number] = item
        await self._begin(item)
        if not KINDS[item.what].lasts:
            await self._over(number)
        elif item.lasts:
            await asyncio.sleep(max(0.0, began + item.until - time.monotonic()))
            if item.given_up:
                await self._given_up(item)
            await self._over(number)
            show(f"{time.monotonic() - began:6.2f} s  over: {item.words()}")

    async def _given_up(self, item: Planned) -> None:
        """Wait until the members of each side see exactly that side, or for `settle_s`."""
        until = time.monotonic() + self.scenario.expect["settle_s"]
        names = item.hosts, item.to
        sides = [[self.hosts[name] for name in side if name in self.hosts] for side in names]
        while time.monotonic() < until and any(self._wrong_view(side) for side in sides):
            await asyncio.sleep(0.05)

    async def _undo(self, show: Callable[[str], None]) -> None:
        """The end of the storm: what still holds is over, but for hosts that died for good."""
        for number, item in list(self._holding.items()):
            if item.what in ("kill", "power") and not item.lasts:
                continue
            await self._over(number)
        show(f"{self.scenario.storm['seconds']:6.2f} s  the storm is over")

    async def _over(self, number: int) -> None:
        item = self._holding.pop(number, None)
        if item is not None:
            await self._end(item)
            self.history.add("fault", number=number, what=item.what, phase="over", hosts=list(item.hosts))

    async def _settle(self, show: Callable[[str], None]) -> None:
        """Wait until every host that is there is ready and serves again."""
        expect = self.scenario.expect
        began = time.monotonic()
        hosts = [host for host in self.hosts.values() if host.there]
        wanted = {
            host.name: len(host.crowd.latencies) + expect["answers"]
            for host in hosts
            if host.crowd is not None
        }
        why = ""
        while time.monotonic() - began < expect["settle_s"]:
            self._check()
            self.history.flush()
            why = "; ".join(
                f"{host.name}: {host.ready} of {host.wanted} ready, "
                f"{len(host.crowd.latencies) if host.crowd else 0} of {wanted[host.name]} answers"
                for host in hosts
                if host.ready < host.wanted or (host.crowd and len(host.crowd.latencies) < wanted[host.name])
            )
            why = why or self._wrong_view(hosts) or self._wrong_policy(hosts) or self._wrong_copies(hosts)
            if not why:
                break
            await asyncio.sleep(0.02)
        if self.scenario.storm["voters"] and hosts:
            _, told = await hosts[0].command("history")
            self.history.add("decided", host=hosts[0].name, history=told.get("history", []))
        waited = round(time.monotonic() - began, 3)
        self.history.add("settled", ok=not why, waited=waited, why=why)
        show(f"settled after {waited:.2f} s" if not why else f"not settled: {why}")

    def _wrong_view(self, hosts: list[Host]) -> str:
        """The first member that does not see exactly the living ones; empty if all do."""
        if not self.scenario.storm["fleet"]:
            return ""
        for host in hosts:
            mates = [other for other in hosts if other.site == host.site]
            living = sorted(f"{other.name}/i{number}" for other in mates for number in range(other.wanted))
            for number in range(host.wanted):
                name = f"{host.name}/i{number}"
                if host.views.get(name) != living:
                    return f"{name} sees {len(host.views.get(name, []))} members, {len(living)} live"
        return ""

    def _wrong_copies(self, hosts: list[Host]) -> str:
        """Why the hosts' instances do not hold the same; empty if they do."""
        if not self.scenario.storm["copies"]:
            return ""
        for site in sorted({host.site for host in hosts}):
            why = self._wrong_copies_of([host for host in hosts if host.site == site])
            if why:
                return why
        return ""

    def _wrong_copies_of(self, hosts: list[Host]) -> str:
        held = {
            f"{host.name}/i{at}": host.copies.get(f"i{at}") for host in hosts for at in range(host.wanted)
        }
        digests = {told[0] for told in held.values() if told is not None}
        unlevel = [name for name, told in held.items() if told is None or not told[1]]
        if len(digests) > 1:
            return f"{len(digests)} digests of copies at {len(held)} members"
        if unlevel and len(held) > 1:
            return f"{unlevel[0]} is not level with the others' copies"
        left = [name for name, told in held.items() if told is not None and told[2]]
        return f"{left[0]} still serves by its copies" if left else ""

    def figures(self) -> dict[str, Any]:
        """The rig's own: whether it was the bottleneck."""
        lags = np.array(self.lags or [0.0]) * 1e3
        return {
            **self.network.figures(), "lag_p50_ms": round(float(np.percentile(lags, 50)), 2),
            "lag_p99_ms": round(float(np.percentile(lags, 99)), 2), "lag_max_ms": round(float(lags.max()), 2),
            "left_out": self.history.left_out, "relay_refused": self.network.refused,
        }  # fmt: skip

    # Faults

    def _hosts(self, item: Planned) -> list[Host]:
        return [self.hosts[name] for name in item.hosts if name in self.hosts]

    async def _begin(self, item: Planned) -> None:
        match item.what:
            case "kill" | "move":
                for host in self._hosts(item):
                    host.there = False
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
                    with contextlib.suppress(control.Unavailable):
                        told = await control.ask(host.folder / "c.sock", {"op": "reload"}, 10.0)
                        self.history.add("reload", host=host.name, ok=bool(told.get("ok")))
            case "twin":
                for host in self._hosts(item):
                    host.start_twin()
            case "terms":
                await asyncio.gather(*(host.go_by_terms(int(item.size)) for host in self._hosts(item)))
            case "propose" | "abandon":
                self.proposing += 1
                try:
                    times = item.part or AGAIN_MOST
                    for host in self._hosts(item):
                        if item.what == "propose":
                            await host.propose(int(item.size), times)
                        else:
                            await host.abandon()
                finally:
                    self.proposing -= 1
            case "rekey":
                for host in self._hosts(item):
                    host.rekey(int(item.size))
                    with contextlib.suppress(control.Unavailable):
                        told = await control.ask(host.folder / "c.sock", {"op": "reload"}, 10.0)
                        self.history.add("reload", host=host.name, ok=bool(told.get("ok")))
            case "clock-step":
                for host in self._hosts(item):
                    host.clock = host.clock.stepped(item.size)
                    host.clock.write(host.folder)
            case "clock-fast":
                for host in self._hosts(item):
                    host.clock = host.clock.at_rate(1 + item.size / 1e6, time.monotonic_ns())
                    host.clock.write(host.folder)
            case "disk-full" | "disk-readonly" | "disk-slow":
                trouble = disk.Trouble(
                    item.what == "disk-full",
                    item.what == "disk-readonly",
                    item.size / 1e3 if item.what == "disk-slow" else 0,
                )
                for host in self._hosts(item):
                    disk.tell_trouble(host.folder, trouble)
            case "disk-torn" | "disk-back" | "disk-gone":
                for host in self._hosts(item):
                    self._hurt_disk(host, item.what)
            case "cut" | "island" | "one-way" | "ring" | "deaf":
                self.network.change(_links(item), cut=True)
            case "refuse":
                self.network.change(_links(item), refuse=True)
            case "reset":
                self.network.reset(_links(item))
            case "forget":
                self.network.forget(_links(item))
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
                    self.servers[name].slower = item.size or 10.0
                    self.servers[name].mode = mode
            case "server-drain":
                for name in item.to:
                    self._tell(name, "draining")
            case "server-new":
                for name in item.to:
                    await self._add_server(name, cold=True)
            case "list-down":
                self._list_down()

    async def _end(self, item: Planned) -> None:
        match item.what:
            case "kill" | "late" | "move" | "kill-supervisor":
                for host in self._hosts(item):
                    host.there = True
                    host.start()
            case "power":
                await self._power_back(item)
            case "twin":
                for host in self._hosts(item):
                    await host.stop_twin()
            case "freeze":
                for host in self._hosts(item):
                    host.signal(signal.SIGCONT)
            case "starve":
                for host in self._hosts(item):
                    await host.feed()
            case "clock-fast":
                for host in self._hosts(item):
                    host.clock = host.clock.at_rate(1.0, time.monotonic_ns())
                    host.clock.write(host.folder)
            case "disk-full" | "disk-readonly" | "disk-slow":
                for host in self._hosts(item):
                    disk.tell_trouble(host.folder, disk.Trouble())
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
                    self.servers[name].mode = Mode.WELL
            case "list-down":
                await self._list_up()

    async def _cut_power(self, item: Planned) -> None:
        """All of it in one instant; then the disks are put to what a power cut leaves."""
        hosts = self._hosts(item)
        for name in item.to:
            if name in self.servers:
                self._kill_server(name)
        if "list" in item.to:
            self._list_down()
        for host in hosts:
            host.there = False
        every = len(hosts) == len(self.hosts)
        for owned in [owned for host in hosts for owned in host.daemons]:
            owned.asked = False
        for mark in [self.mark] if every else [host.mark for host in hosts]:
            signal_all(mark, signal.SIGKILL)
        await asyncio.gather(*(host.kill() for host in hosts))
        for host in hosts:
            left = await asyncio.to_thread(disk.cut_power, host.folder, self.rng)
            self.history.add(
                "disk", host=host.name, files=len(left.files), gone=len(left.known) - len(left.files),
                broken=[Path(path).name for path in left.broken],
            )  # fmt: skip

    async def _power_back(self, item: Planned) -> None:
        if "list" in item.to:
            await self._list_up()
        for name in item.to:
            if name in self.servers:
                await self._start_server(name)
        for host in self._hosts(item):
            host.there = True
            host.start()

    async def _kill_instance(self, host: Host, part: int) -> None:
        with contextlib.suppress(control.Unavailable, OSError):
            instances = await host.status()
            pid = instances[part]["pid"] if part < len(instances) else None
            handle = open_process(pid) if pid else None
            if handle is not None:
                send_signal(handle, signal.SIGKILL)
                os.close(handle)

    async def _replace(self, host: Host) -> None:
        """The next program takes over; if it does not, the one before goes on."""
        before = list(host.daemons)
        for owned in before:
            owned.asked = True
        fresh = host.start("--replace")
        ends = [asyncio.create_task(owned.ended.wait()) for owned in [*before, fresh]]
        await asyncio.wait(ends, timeout=END_WITHIN_S, return_when=asyncio.FIRST_COMPLETED)
        for task in ends:
            task.cancel()

    def _hurt_disk(self, host: Host, what: str) -> None:
        if what == "disk-gone":
            shutil.rmtree(host.state, ignore_errors=True)
        elif what == "disk-back" and (host.folder / "state.first").exists():
            shutil.rmtree(host.state, ignore_errors=True)
            shutil.copytree(host.folder / "state.first", host.state)
        elif what == "disk-torn" and host.state.exists():
            for path in sorted(host.state.iterdir()):
                share = float(self.rng.random())
                with contextlib.suppress(FileNotFoundError):  # it has just been replaced
                    data = path.read_bytes()
                    path.write_bytes(data[: int(share * len(data))])
        (host.folder / disk.LOG).write_bytes(b"")

    def _kill_server(self, name: str) -> None:
        server = self.servers[name]
        server.gone = True
        server.stop()
        for host in self.hosts.values():
            host.relays[name].serve(False)

    async def _start_server(self, name: str) -> None:
        before = self.servers[name]
        server = self.servers[name] = _Server(name, self)
        await server.start(before.address.partition(":")[0])
        for host in self.hosts.values():
            host.relays[name].target = _address(server.address)
            host.relays[name].serve(True)
        server.is_cold()
        self._tell(name, self._phases[name]["phase"], cold=True)

    def _list_down(self) -> None:
        for host in self.hosts.values():
            host.relays["list"].serve(False)
            host.list.stop()

    async def _list_up(self) -> None:
        for host in self.hosts.values():
            await host.list.start(f"127.0.{self.block}.200")
            host.relays["list"].target = _address(host.list.address)
            host.relays["list"].serve(True)

    # Down

    async def _take_down(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for host in self.hosts.values():
            if host.crowd is not None:
                with contextlib.suppress(Exception):
                    await host.crowd.stop()
        if not await asyncio.to_thread(kill_all, self.mark):
            self.failed = self.failed or "processes were left behind"
        self.network.close()
        for host in self.hosts.values():
            host.list.stop()
        for server in self.servers.values():
            server.gone = True
            server.stop()
        self.history.flush()


def _links(item: Planned) -> set[tuple[str, str]]:
    """The directed links that a fault is on. What sites say to each other has links of its own beside those
    of their requests: `deaf` is on these alone, all others on both."""
    words = {(src, dst + sites.WORDS) for src, dst in item.pairs} | {
        (src + sites.WORDS, dst) for src, dst in item.pairs
    }
    return words if item.what == "deaf" else item.pairs | words


def _quick() -> str | None:
    """In memory, unless somebody names another place: what a power cut leaves is the rig's to say, and a disk
    that all storms of a machine share makes each of them wait for the others' fsyncs."""
    return MEMORY if not os.environ.get("TMPDIR") and os.access(MEMORY, os.W_OK) else None


def _address(told: str) -> tuple[str, int]:
    host, _, port = told.rpartition(":")
    return host, int(port)


def claim_block(seed: int) -> tuple[int, socket.socket]:
    """A block of loopback addresses that no other storm on this machine has, held by a socket: the kernel
    drops the claim with the process. Raises CannotPlay."""
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
    raise CannotPlay("no block of loopback addresses is free")
