"""The daemon: owns the listening sockets, runs the instances, and carries out what `supervision` decides.

It serves no request itself. If it dies, the instances see the end of their channels, finish what they owe and
end.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sorrelfront.daemon.channel import PACKET_MOST, BadMessage, Message, pair, receive, send
from sorrelfront.daemon.configuration import TABLE_MOST, BadDocument, Document, instance_table, read
from sorrelfront.daemon.control import Control
from sorrelfront.daemon.notify import notify, passed_sockets
from sorrelfront.daemon.takeover import Bequest, Heir, NoTakeover
from sorrelfront.decisions import supervision
from sorrelfront.decisions.supervision import Kill, Phase, Policy, Report, Start, Stop, Supervisor
from sorrelfront.fronts.http1 import BACKLOG, GOING_AWAY_MORE_S, GOING_AWAY_S
from sorrelfront.messages import Address
from sorrelfront.signals import ignore_from_here, on_signal

log = logging.getLogger("sorrelfront.daemon")

STOP_MORE_S = 1.0  # past the longest deadline and the listener's own time: a busy core, and the last steps
TAKEOVER_WITHIN_S = 60.0  # for a new program to be ready; its own limit is shorter as a rule
LEARNT_WITHIN_S = 1.0  # for an instance to tell what it has learnt
ABORT_WITHIN_S = 2.0  # for owed requests to be answered as failed, when there is no time left


class CannotStart(Exception):
    """A start that cannot be made, in one line."""


@dataclass(slots=True)
class _Run:
    """One process of an instance."""

    number: int
    process: subprocess.Popen[bytes]
    channel: socket.socket
    pidfd: int
    generation: int  # of the document that it goes by
    figures: dict[str, Any] = field(default_factory=dict)
    taken: dict[int, asyncio.Future[str | None]] = field(default_factory=dict)


def _now() -> int:
    return time.monotonic_ns() // 1000


def _policy(document: Document) -> Policy:
    daemon = document.daemon
    return Policy(
        start_within_us=daemon["start_within_ms"] * 1000,
        silent_us=daemon["hang_after_ms"] * 1000,
        first_wait_us=daemon["restart_first_ms"] * 1000,
        longest_wait_us=daemon["restart_longest_ms"] * 1000,
    )


class Daemon:
    """Sockets, processes, signals and the control socket of one fleet."""

    def __init__(self, path: Path, document: Document, replace: bool = False) -> None:
        """`replace`: take over from the daemon that runs by the same control socket."""
        self._path = path
        self._replaces = replace
        self._heir = Heir(document.control) if replace else None
        self._learnt: dict[str, str] = {}
        self._control: Control | None = None
        self._bequest: Bequest | None = None
        self._released = False  # another program accepts from here on
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failure: str | None = None
        self._bequest_timer: asyncio.TimerHandle | None = None
        self._document = document
        self._generation = 0
        self._sockets: dict[Address, socket.socket] = {}
        self._runs: dict[str, _Run] = {}
        self._decide = Supervisor(document.names, _policy(document), document.daemon["seed"], _now())
        self._timer: asyncio.TimerHandle | None = None
        self._asked = 0
        self._reloading = asyncio.Lock()
        self._reload_waits = False
        self._reload_task: asyncio.Task[Message] | None = None
        self._ended = asyncio.Event()
        self._interrupted = False
        self._was_ready = False
        self._began = time.monotonic()

    # Life

    async def run(self) -> None:
        """Until it is told to stop and every instance has ended. Raises CannotStart."""
        if self._heir is not None:
            await self._inherit(self._heir)
        self._open(passed_sockets(os.environ))
        if self._heir is None:
            await self._start_control()
        on_signal(signal.SIGTERM, self.stop)
        on_signal(signal.SIGINT, self._interrupt)
        on_signal(signal.SIGHUP, self._reload_by_signal)
        try:
            self._do(self._decide.start(_now()))
            if self._heir is not None:
                self._spawn(self._succeed(self._heir))
            await self._ended.wait()
        finally:
            for run in self._runs.values():
                run.process.kill()
            for task in [*self._tasks, *([self._reload_task] if self._reload_task else [])]:
                task.cancel()
            if self._heir is not None:
                self._heir.close()
            self._drop_bequest()
            if self._control is not None:
                await self._control.close()
            self._close_sockets(list(self._sockets))
            ignore_from_here(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)

    async def _start_control(self) -> None:
        try:
            self._control = Control(self._document.control, self._handle)
        except OSError as fault:
            raise CannotStart(f"[daemon] control: {self._document.control}: {fault.strerror}") from None
        await self._control.start()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Replacement

    async def _inherit(self, heir: Heir) -> None:
        """The new program's first step: the old one's sockets and estimates."""
        try:
            estate = await heir.ask()
        except NoTakeover as fault:
            raise CannotStart(f"[daemon] control: {self._document.control}: {fault}") from None
        self._learnt = estate.learnt
        for address, sock in estate.sockets.items():
            if address in self._document.addresses.values():
                self._sockets[address] = sock
            else:
                sock.close()

    async def _succeed(self, heir: Heir) -> None:
        """Wait until all instances are ready, then have the old program drain. Too late, or if that program
        is told to stop meanwhile, this one ends and the old one goes on as it was."""
        until = time.monotonic() + self._document.daemon["start_within_ms"] / 1e3
        why = None
        while why is None and not self._all_ready:
            if time.monotonic() > until:
                why = "not all instances became ready in time"
            await asyncio.sleep(0.01)
            why = why or heir.gone()
        if why is not None:
            self.failure = why
            log.warning("the replacement is off: %s", why)
            self._released = True  # the old program's instances go on accepting
            self.stop()
            return
        if not await heir.ready():
            log.warning("the program before did not say that it drains")
        heir.close()
        self._heir = None
        self._learnt = {}
        try:
            await self._start_control()
        except CannotStart as fault:
            log.error("%s", fault)
        self._tell_ready()

    async def _bequeath(self, to: str) -> Message:
        """The old program's side: send what there is, then wait for the new one in a task."""
        if self._bequest is not None:
            return {"ok": False, "faults": ["another replacement is under way"]}
        if self._decide.stopping or self._reloading.locked():
            return {"ok": False, "faults": ["the daemon is stopping or reloading"]}
        try:
            bequest = self._bequest = Bequest(to)
        except OSError as fault:
            return {"ok": False, "faults": [f"the new program's socket: {fault.strerror}"]}
        self._spawn(self._give_all(bequest))
        return {"ok": True}

    async def _give_all(self, bequest: Bequest) -> None:
        runs = dict(self._runs)
        texts = await asyncio.gather(*map(self._learnt_of, runs.values()))
        learnt = dict(zip(runs, texts, strict=True))
        if self._bequest is not bequest:
            return
        if not bequest.give(self._sockets, {name: text for name, text in learnt.items() if text}):
            self._drop_bequest()
            return
        loop = asyncio.get_running_loop()
        loop.add_reader(bequest.sock.fileno(), self._heir_said)
        self._bequest_timer = loop.call_later(TAKEOVER_WITHIN_S, self._drop_bequest)

    async def _learnt_of(self, run: _Run) -> str:
        """What this instance has learnt; empty if it does not say so in time."""
        self._asked += 1
        number = self._asked
        answer = run.taken[number] = asyncio.get_running_loop().create_future()
        try:
            send(run.channel, {"op": "learnt", "id": number})
            async with asyncio.timeout(LEARNT_WITHIN_S):
                return await answer or ""
        except (TimeoutError, asyncio.CancelledError):
            return ""
        finally:
            run.taken.pop(number, None)

    def _heir_said(self) -> None:
        bequest = self._bequest
        if bequest is None:
            return
        try:
            word = bequest.heard()
        except BlockingIOError:
            return
        if word is None:
            log.warning("the replacement ended before it was ready; nothing has changed")
            self._drop_bequest()
        elif word.get("op") == "ready" and not self._decide.stopping:
            self._spawn(self._release(bequest))

    async def _release(self, bequest: Bequest) -> None:
        """The new program accepts: let go of the control socket, and drain."""
        self._released = True
        control, self._control = self._control, None
        if control is not None:
            await control.close()
        send(bequest.sock, {"op": "released"})
        self._drop_bequest()
        log.info("replaced by another program; draining")
        self.stop()

    def _drop_bequest(self) -> None:
        bequest, self._bequest = self._bequest, None
        if bequest is not None:
            asyncio.get_running_loop().remove_reader(bequest.sock.fileno())
            bequest.close()
        if self._bequest_timer is not None:
            self._bequest_timer.cancel()
            self._bequest_timer = None

    def _open(self, passed: list[tuple[str, socket.socket]]) -> None:
        """The sockets of all listeners, those that the service manager has passed first."""
        for name, sock in passed:
            wanted = self._document.addresses.get(name)
            address = sock.getsockname()
            if address in self._document.addresses.values() or wanted is not None:
                self._sockets[address if wanted is None else wanted] = sock
            else:
                log.warning("the service manager passed a socket that no listener names: %s:%d", *address)
                sock.close()
        try:
            for name, address in self._document.addresses.items():
                if address not in self._sockets:
                    self._sockets[address] = _listen(address, name)
        except CannotStart:
            self._close_sockets(list(self._sockets))
            raise

    def _close_sockets(self, addresses: list[Address]) -> None:
        for address in addresses:
            self._sockets.pop(address).close()

    @property
    def _stop_within_us(self) -> int:
        more_s = GOING_AWAY_S + GOING_AWAY_MORE_S + STOP_MORE_S
        return self._document.longest_deadline_us + int(more_s * 1e6)

    def stop(self) -> None:
        """Drain and end. Told again, it changes nothing."""
        if self._decide.stopping:
            return
        if not self._released:
            notify(os.environ, "STOPPING=1")
        if self._bequest is not None:
            # Risk: told to stop in the middle of a replacement, the new program would go on in its place.
            send(self._bequest.sock, {"op": "off", "why": "the running program was told to stop"})
            self._drop_bequest()
        log.info("stopping")
        if self._reload_task is not None:
            self._reload_task.cancel()
        self._do(self._decide.on_stop(_now(), self._stop_within_us))
        # The instances hold the sockets too: once the last of them closes its own, connects are refused.
        self._close_sockets(list(self._sockets))

    def _interrupt(self) -> None:
        """SIGINT: once as SIGTERM, twice at once, with what is owed answered as failed."""
        if not self._interrupted:
            self._interrupted = True
            self.stop()
            return
        for run in self._runs.values():
            send(run.channel, {"op": "abort"})
        asyncio.get_running_loop().call_later(ABORT_WITHIN_S, self._kill_all)

    def _kill_all(self) -> None:
        for run in self._runs.values():
            run.process.kill()

    # Deciding and doing

    def _do(self, actions: list[supervision.Action]) -> None:
        for action in actions:
            match action:
                case Start(name, number):
                    self._start(name, number)
                case Stop(name, number):
                    run = self._run_of(name, number)
                    if run is not None:
                        others = self._released or not self._decide.stopping
                        send(run.channel, {"op": "stop", "others": others})
                case Kill(name, number, _):
                    run = self._run_of(name, number)
                    if run is not None:
                        run.process.kill()
                case Report(name, what):
                    log.warning("%s %s", name, what)
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._decide.ended:
            self._ended.set()
            return
        at = self._decide.next_us()
        if at is not None:
            delay = max(0.0, (at - _now()) / 1e6)
            self._timer = asyncio.get_running_loop().call_later(delay, self._on_time)
        if not self._was_ready and self._all_ready and self._heir is None:
            self._tell_ready()

    @property
    def _all_ready(self) -> bool:
        return len(self._decide.ready) == len(self._document.names)

    def _tell_ready(self) -> None:
        self._was_ready = True
        count = len(self._decide.ready)
        states = ["READY=1", f"STATUS={count} instances are ready"]
        if self._replaces:
            states.append(f"MAINPID={os.getpid()}")
        notify(os.environ, *states)
        log.info("ready after %.3f s: %d instances", time.monotonic() - self._began, count)

    def _on_time(self) -> None:
        self._do(self._decide.on_time(_now()))

    def _run_of(self, name: str, number: int) -> _Run | None:
        run = self._runs.get(name)
        return run if run is not None and run.number == number else None

    def _start(self, name: str, number: int) -> None:
        ours, theirs = pair()
        try:
            process = subprocess.Popen(
                [sys.executable, "-m", "sorrelfront.daemon.instance", str(theirs.fileno()), name],
                pass_fds=[theirs.fileno()],
                stdin=subprocess.DEVNULL,
            )
        except OSError as fault:
            log.warning("%s cannot be started: %s", name, fault)
            ours.close()
            asyncio.get_running_loop().call_soon(
                lambda: self._do(self._decide.on_end(name, number, _now()))
            )
            return
        finally:
            theirs.close()
        run = _Run(number, process, ours, os.pidfd_open(process.pid), self._generation)
        self._runs[name] = run
        loop = asyncio.get_running_loop()
        loop.add_reader(run.pidfd, self._on_end, name, run)
        loop.add_reader(ours.fileno(), self._heard, name, run)
        self._asked += 1
        started: asyncio.Future[str | None] = loop.create_future()
        run.taken[self._asked] = started
        started.add_done_callback(lambda done: self._on_taken_start(name, run, done))
        self._tell(run, "start", self._asked, self._document, name, self._sockets)

    def _tell(
        self,
        run: _Run,
        op: str,
        number: int,
        document: Document,
        name: str,
        sockets: dict[Address, socket.socket],
    ) -> bool:
        table = instance_table(document, document.names.index(name))
        listed = [sockets[address].fileno() for address in document.addresses.values() if address in sockets]
        message = {"op": op, "id": number, "table": table}
        if op == "start" and name in self._learnt:
            # A message holds so much. Harm: beside a very long list, what was learnt is left out.
            learnt = {**message, "learnt": self._learnt[name]}
            if len(json.dumps(learnt)) <= PACKET_MOST:
                message = learnt
        return send(run.channel, message, listed)

    def _on_taken_start(self, name: str, run: _Run, done: asyncio.Future[str | None]) -> None:
        if done.cancelled():
            return
        if done.result() is not None:
            log.warning("%s cannot take its terms: %s", name, done.result())
            run.process.kill()
            return
        self._do(self._decide.on_ready(name, run.number, _now()))
        if run.generation != self._generation and name in self._document.names:
            # It was started by a file that has been replaced meanwhile.
            self._asked += 1
            run.generation = self._generation
            self._tell(run, "reload", self._asked, self._document, name, self._sockets)
            send(run.channel, {"op": "commit"})

    def _heard(self, name: str, run: _Run) -> None:
        try:
            got = receive(run.channel)
        except BlockingIOError:
            return
        except BadMessage as fault:
            log.warning("%s: %s", name, fault)
            return
        if got is None:
            asyncio.get_running_loop().remove_reader(run.channel.fileno())
            return
        message, descriptors = got
        for descriptor in descriptors:
            os.close(descriptor)
        if message.get("op") == "beat" and isinstance(message.get("figures"), dict):
            run.figures = message["figures"]
            self._do(self._decide.on_beat(name, run.number, _now()))
        elif message.get("op") == "learnt":
            learnt = run.taken.pop(message.get("id", 0), None)
            if learnt is not None and not learnt.done():
                learnt.set_result(str(message.get("text", "")))
        elif message.get("op") == "taken":
            future = run.taken.pop(message.get("id", 0), None)
            if future is not None and not future.done():
                why_not = message.get("fault")
                future.set_result(None if why_not is None else str(why_not))

    def _on_end(self, name: str, run: _Run) -> None:
        loop = asyncio.get_running_loop()
        code = run.process.wait()
        loop.remove_reader(run.pidfd)
        os.close(run.pidfd)
        loop.remove_reader(run.channel.fileno())
        run.channel.close()
        for future in run.taken.values():
            future.cancel()
        if self._runs.get(name) is run:
            del self._runs[name]
        log.info("%s ended with %d", name, code)
        self._do(self._decide.on_end(name, run.number, _now()))

    # Another file

    def _reload_by_signal(self) -> None:
        if self._reload_waits:
            return
        task = asyncio.create_task(self.reload())
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def reload(self) -> Message:
        """Put the file in force, at every instance or at none. One at a time; one more may wait."""
        if self._decide.stopping or self._bequest is not None or self._heir is not None:
            return {"ok": False, "faults": ["the daemon is stopping, or being replaced"]}
        if self._reload_waits:
            return {"ok": False, "faults": ["another reload waits already"]}
        self._reload_waits = True
        try:
            await self._reloading.acquire()
        finally:
            self._reload_waits = False
        try:
            notify(os.environ, "RELOADING=1", f"MONOTONIC_USEC={_now()}")
            self._reload_task = asyncio.create_task(self._reload())
            try:
                answer = await self._reload_task
            except asyncio.CancelledError:
                if not self._decide.stopping:
                    raise
                answer = {"ok": False, "faults": ["the daemon is stopping"]}
            self._reload_task = None
            if not self._decide.stopping:
                notify(os.environ, "READY=1")
            for fault in answer.get("faults", []):
                log.warning("the new file is not used: %s", fault)
            return answer
        finally:
            self._reloading.release()

    async def _reload(self) -> Message:
        began = time.monotonic()
        try:
            document = read(self._path)
        except BadDocument as bad:
            return {"ok": False, "faults": bad.lines()}
        if document.control != self._document.control:
            return {"ok": False, "faults": [f"{self._path}: [daemon] control: takes a restart"]}
        if document.membership["source"] != self._document.membership["source"]:
            return {"ok": False, "faults": [f"{self._path}: [membership] source: takes a restart"]}
        if len(json.dumps(instance_table(document, 0))) > TABLE_MOST:
            return {"ok": False, "faults": [f"{self._path}: is too long for an instance to take"]}
        opened: dict[Address, socket.socket] = {}
        done: list[str] = []
        committed = False
        try:
            for name, address in document.addresses.items():
                if address not in self._sockets:
                    opened[address] = _listen(address, name)
            sockets = {**self._sockets, **opened}
            for name in [name for name in self._decide.ready if name in document.names]:
                run = self._runs.get(name)
                if run is None:
                    continue
                done.append(name)  # from here on it may have taken the file
                refused = await self._give(run, document, name, sockets)
                if refused is not None:
                    return {"ok": False, "faults": [f"{self._path}: {name}: {refused}"]}
            committed = True
        except CannotStart as taken:
            return {"ok": False, "faults": [f"{self._path}: {taken}"]}
        finally:
            if not committed:
                self._go_back(done)
                for sock in opened.values():
                    sock.close()
        self._commit(document, sockets, done)
        return {"ok": True, "instances": len(done), "seconds": round(time.monotonic() - began, 6)}

    async def _give(
        self, run: _Run, document: Document, name: str, sockets: dict[Address, socket.socket]
    ) -> str | None:
        """Have one instance take a file; the fault if it cannot. One that ends meanwhile has none: what comes
        in its place starts by the file in force."""
        self._asked += 1
        number = self._asked
        answer: asyncio.Future[str | None] = asyncio.get_running_loop().create_future()
        run.taken[number] = answer
        try:
            if not self._tell(run, "reload", number, document, name, sockets):
                return "it does not listen to its supervisor"
            async with asyncio.timeout(self._document.daemon["reload_within_ms"] / 1e3):
                return await answer
        except TimeoutError:
            return "it did not take the file in time"
        except asyncio.CancelledError:
            if answer.cancelled() and run.process.poll() is not None and not self._decide.stopping:
                return None
            raise
        finally:
            run.taken.pop(number, None)

    def _go_back(self, names: list[str]) -> None:
        if self._decide.stopping:
            return  # the sockets are closed by now, and the instances drain by whichever file they have
        for name in names:
            run = self._runs.get(name)
            if run is not None:
                self._asked += 1
                self._tell(run, "reload", self._asked, self._document, name, self._sockets)
                send(run.channel, {"op": "commit"})

    def _commit(self, document: Document, sockets: dict[Address, socket.socket], done: list[str]) -> None:
        self._document = document
        self._generation += 1
        self._sockets = sockets
        for name in done:
            if name in self._runs:
                self._runs[name].generation = self._generation
                send(self._runs[name].channel, {"op": "commit"})
        wanted = set(document.addresses.values())
        self._close_sockets([address for address in self._sockets if address not in wanted])
        self._decide.policy = _policy(document)
        self._do(self._decide.on_names(document.names, _now(), self._stop_within_us))

    # Control

    async def _handle(self, message: Message) -> Message:
        match message.get("op"):
            case "status":
                return self.status()
            case "reload":
                return await self.reload()
            case "drain":
                name = message.get("instance")
                if not isinstance(name, str) or name not in [item.name for item in self._decide.standings()]:
                    return {"ok": False, "faults": [f"there is no instance {str(name)[:64]!r}"]}
                self._do(self._decide.on_drain(name, _now(), self._stop_within_us))
                return {"ok": True}
            case "takeover" if isinstance(message.get("to"), str):
                return await self._bequeath(message["to"])
            case "stop":
                asyncio.get_running_loop().call_soon(self.stop)
                return {"ok": True}
        return {"ok": False, "faults": ["the operation is not known here: " + repr(message.get("op"))[:64]]}

    def status(self) -> Message:
        """What `ctl status` shows."""
        instances = []
        for item in self._decide.standings():
            run = self._runs.get(item.name)
            instances.append(
                {
                    "name": item.name, "phase": item.phase.value, "run": item.run, "failures": item.failures,
                    "crash_loop": item.looping, "pid": run.process.pid if run else None,
                    **(run.figures if run and item.phase is not Phase.STARTING else {}),
                }
            )  # fmt: skip
        return {
            "ok": True,
            "name": self._document.daemon["name"],
            "pid": os.getpid(),
            "up_s": round(time.monotonic() - self._began, 3),
            "generation": self._generation,
            "stopping": self._decide.stopping,
            "reloading": self._reloading.locked(),
            "replacing": self._bequest is not None,
            "listeners": {
                name: "{}:{}".format(*address) for name, address in self._document.addresses.items()
            },
            "instances": instances,
        }


def _listen(address: Address, name: str) -> socket.socket:
    try:
        sock = socket.create_server(address, backlog=BACKLOG)
    except OSError as fault:
        place = f"[listeners.{name}] address: {address[0]}:{address[1]}"
        raise CannotStart(f"{place}: {fault.strerror}") from None
    sock.setblocking(False)
    return sock


def serve(path: Path, tell: Callable[[str], None], replace: bool = False) -> int:
    """Run the daemon that the file describes, in place of the one that runs if `replace`. Returns its exit
    code: 0; 1 for a replacement that is off; 2 for a start that cannot be made, after one line a fault to
    `tell`."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        document = read(path)
    except BadDocument as bad:
        for line in bad.lines():
            tell(line)
        return 2

    async def run() -> int:
        daemon = Daemon(path, document, replace)
        await daemon.run()
        return 0 if daemon.failure is None else 1

    try:
        return asyncio.run(run())
    except KeyboardInterrupt:  # before there was anything to stop
        return 130
    except CannotStart as fault:
        tell(f"{path}: {fault}")
        return 2
