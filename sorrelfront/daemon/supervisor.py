"""The daemon: puts sockets, processes, reload, replacement, adoption, state and control together.

It serves no request itself. If it dies the instances serve on for a while, and the next one adopts them.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from sorrelfront.daemon import logs
from sorrelfront.daemon.adopting import Adopted, adopt_all, survey
from sorrelfront.daemon.channel import Message
from sorrelfront.daemon.configuration import BadDocument, Document, parse, read
from sorrelfront.daemon.control import Control
from sorrelfront.daemon.fleet import CannotStart, Fleet, Unanswered, now_us
from sorrelfront.daemon.journal import Entry, Journal, NoFolder, RunFolder, StateMemory, encode
from sorrelfront.daemon.notify import SOCKETS_NAME, STATE_NAME, Passed, keep, notify, passed
from sorrelfront.daemon.processes import boot_id
from sorrelfront.daemon.records import Writer
from sorrelfront.daemon.reload import Reloading
from sorrelfront.daemon.replacement import Replacing
from sorrelfront.daemon.state import SETTLE_S, State, remembered
from sorrelfront.daemon.takeover import Bereft, Heir, NoTakeover
from sorrelfront.signals import ignore_from_here, on_signal

log = logging.getLogger("sorrelfront.daemon")

ABORT_WITHIN_S = 2.0  # for owed requests to be answered as failed, when there is no time left
LOCK_WITHIN_S = 5.0  # for a program that hands over, or was killed doing so, to let go of the lock
MEMBERS_WITHIN_S = 2.0  # for an instance to tell what it knows of the fleet
POLICY_WITHIN_S = 5.0  # for an instance to have asked the voters
MEMBERS_KEYS = ("fleet", "self", "agreeing", "events", "members")
SURVEY_MOST_S = 5.0  # for one that was found to say who it is; `hang_after_ms` if that is shorter


class Daemon:
    """One fleet and what looks after it."""

    def __init__(self, path: Path, document: Document, replace: bool = False) -> None:
        """`replace`: take over from the daemon that runs by the same control socket. Raises CannotStart."""
        self._replaces = replace
        self._heir = Heir(document.control) if replace else None
        try:
            self._folder = RunFolder(document.run_folder)
        except NoFolder as fault:
            raise CannotStart(f"[daemon] control: {fault}") from None
        self.fleet = Fleet(document, self._folder.path)
        self.fleet.provisional = replace
        self.fleet.changed = self._changed
        self.fleet.spawned = self._note
        self._writer = Writer()
        self._state = None
        if document.state_folder is not None:
            self._state = State(document.state_folder, self.fleet, self._writer)
        self._memory: StateMemory | None = None
        self._control: Control | None = None
        self.reloading = Reloading(path, self.fleet, self._may_change, self._committed)
        self.replacing = Replacing(self.fleet, self._may_hand_over, self._release, self.stop)
        self._adopted: Adopted | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failure: str | None = None
        self._ended = asyncio.Event()
        self._begun = False
        self._stop_asked = False
        self._interrupted = False
        self._was_ready = False
        self._began = time.monotonic()

    # Life

    async def run(self) -> None:
        """Until it is told to stop and every instance has ended. Raises CannotStart."""
        on_signal(signal.SIGTERM, self.stop)
        on_signal(signal.SIGINT, self._interrupt)
        on_signal(signal.SIGHUP, self._reload_by_signal)
        try:
            given = passed(os.environ)
            if self._heir is not None:
                await self._inherit(self._heir)
            if self._heir is None:
                await self._take_charge(given)
            self.fleet.open(given.sockets)
            if self._heir is None:
                await self._start_control()
                self._keep_by_manager()
            self._begun = True
            if self._stop_asked:
                self.stop()
            self.fleet.do(self.fleet.decide.start(now_us()))
            if self._heir is not None:
                self._spawn(self._succeed(self._heir))
            elif self._state is not None:
                self._spawn(self._state.keep())
            await self._ended.wait()
            if not self.fleet.handed_over:
                self._writer.put(self._folder.journal, None)
            await self._writer.settled(SETTLE_S)
        finally:
            await self._close()
            ignore_from_here(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)

    async def _close(self) -> None:
        self.fleet.kill_all()
        self.reloading.cancel()
        for task in self._tasks:
            task.cancel()
        if self._heir is not None:
            self._heir.close()
        self.replacing.close()
        if self._control is not None:
            await self._control.close()
        self.fleet.close_sockets(list(self.fleet.sockets))
        self._writer.close()
        if self._memory is not None:
            self._memory.close()
        self._folder.unlock()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_control(self) -> None:
        path = self.fleet.document.control
        try:
            self._control = Control(path, self._handle)
        except OSError as fault:
            raise CannotStart(f"[daemon] control: {path}: {fault.strerror}") from None
        await self._control.start()

    async def _take_charge(self, given: Passed) -> None:
        """Be the one that looks after the fleet, and adopt what runs already. Raises CannotStart."""
        try:
            if not await self._lock(LOCK_WITHIN_S if self._replaces else 0.0):
                raise CannotStart(f"[daemon] control: another daemon runs by this file ({self._folder.path})")
        except NoFolder as fault:
            raise CannotStart(f"[daemon] control: {fault}") from None
        if self._state is not None:
            self._state.restore()
        journal = self._folder.read()
        kept = StateMemory(given.state) if given.state >= 0 else None
        if kept is not None:
            journal = journal or kept.read()
        self._memory = kept
        await self._adopt(journal)

    async def _lock(self, within_s: float) -> bool:
        """Whether this is the program that looks after the fleet, within this time. Raises NoFolder.

        Risk: the kernel closes what a killed program had one by one, so its connections are seen to end
        before its lock is free. Harm: its heir takes that for another program, gives up, and nobody looks
        after the fleet."""
        until = time.monotonic() + within_s
        told = False
        while not self._folder.lock():
            if time.monotonic() >= until:
                return False
            if not told:
                log.info("waiting for the program before to let go of the lock, for %g s", within_s)
                told = True
            await asyncio.sleep(0.01)
        return True

    async def _adopt(self, journal: Journal | None) -> None:
        if journal is not None:
            self.fleet.generation = max(self.fleet.generation, journal.generation)
        if not self._begun:
            self.fleet.decide.hold()
        within_s = min(SURVEY_MOST_S, self.fleet.document.daemon["hang_after_ms"] / 1e3)
        found = await survey(self._folder, journal, within_s)
        if not found:
            return
        began = time.monotonic()
        told = self._adopted = await adopt_all(self.fleet, found, [*self.fleet.runs])
        log.info(
            "of %d processes found %d are adopted, %d of them by another file, %d drained, %d killed, "
            "%d left, in %.3f s",
            len(found), told.adopted, told.retaken, told.drained, told.killed, told.left,
            time.monotonic() - began,
        )  # fmt: skip

    # What the next supervisor finds

    @property
    def _in_charge(self) -> bool:
        return not self.fleet.provisional and not self.fleet.handed_over

    def _note(self) -> None:
        """The set of processes, or the file in force, is another one."""
        if not self._in_charge:
            return  # the program that is in charge writes its own
        fleet = self.fleet
        entries = [
            Entry(name.partition("@")[0], run.number, run.pid, run.ticks)
            for name, run in fleet.runs.items()
            if run.ticks is not None
        ]
        data = encode(Journal(boot_id(), fleet.generation, fleet.terms.digest, entries))
        self._writer.put(self._folder.journal, data)
        if self._memory is not None:
            self._memory.write(data)

    def _committed(self) -> None:
        """Another file is in force."""
        log_by = self.fleet.document.log
        logs.configure(log_by["format"], log_by["level"], generation=self.fleet.generation)
        self._note()
        self._keep_by_manager()
        if self._state is not None:
            self._state.write_fleet()

    def _keep_by_manager(self) -> None:
        """Have the service manager keep the listening sockets and the journal, if there is one."""
        if "NOTIFY_SOCKET" not in os.environ:
            return
        keep(os.environ, SOCKETS_NAME, [sock.fileno() for sock in self.fleet.sockets.values()])
        if self._memory is None:
            with contextlib.suppress(OSError):
                self._memory = StateMemory()
        if self._memory is not None:
            self._note()
            keep(os.environ, STATE_NAME, [self._memory.descriptor])

    # Being the new program of a replacement

    async def _inherit(self, heir: Heir) -> None:
        """The first step: the old program's sockets and estimates. If it ends while it hands them over, there
        is nothing to replace: this one starts as any other, and adopts what is left."""
        try:
            estate = await heir.ask()
        except Bereft as fault:
            log.warning("%s; starting in its place", fault)
            self._heir = None
            self.fleet.provisional = False
            return
        except NoTakeover as fault:
            raise CannotStart(f"[daemon] control: {self.fleet.document.control}: {fault}") from None
        self.fleet.learnt = estate.learnt
        for sock in estate.sockets.values():
            self.fleet.take_socket(sock)

    async def _succeed(self, heir: Heir) -> None:
        """Wait until all instances are ready, then have the old program drain. Too late, or if that program
        is told to stop meanwhile, this one ends and the old one goes on as it was. If the old one is killed
        meanwhile, this one goes on in its place, and what it has left drains once all are ready."""
        until = time.monotonic() + self.fleet.document.daemon["start_within_ms"] / 1e3
        why = None
        while why is None and not self.fleet.all_ready:
            if time.monotonic() > until and not heir.bereft:
                why = "not all instances became ready in time"
            await asyncio.sleep(0.01)
            why = why or heir.gone()
            if heir.bereft and not await self._lock(LOCK_WITHIN_S):
                why = "the running program is gone, and another has taken its place"
        if why is not None:
            self.failure = why
            log.warning("the replacement is off: %s", why)
            self.fleet.handed_over = True  # the old program's instances go on accepting
            self.stop()
            return
        # Risk: killed once the old program drains and before its instances are told, nobody would serve.
        self.fleet.provisional = False
        self.fleet.tell_all({"op": "charge"})
        if not heir.bereft and not await heir.ready():
            log.warning("the program before did not say that it drains")
        heir.close()
        self._heir = None
        self.fleet.learnt = {}
        await self._settle_in()

    async def _settle_in(self) -> None:
        """In charge after a replacement: lock, control socket, journal, and what else runs."""
        await self._lock(LOCK_WITHIN_S)
        try:
            await self._start_control()
        except CannotStart as fault:
            log.error("%s", fault)
        self._note()
        self._keep_by_manager()
        if self._state is not None:
            self._state.restore()
            self._spawn(self._state.keep())
        await self._adopt(self._folder.read())
        self._tell_ready()

    # Being replaced

    def _may_hand_over(self) -> str | None:
        if self.fleet.decide.stopping or self.reloading.busy:
            return "the daemon is stopping or reloading"
        return None

    async def _release(self) -> None:
        """Another program is in charge from here on."""
        control, self._control = self._control, None
        if control is not None:
            await control.close()
        self._folder.unlock()

    # Stopping

    def stop(self) -> None:
        """Drain and end. Told again, it changes nothing."""
        if not self._begun:
            self._stop_asked = True
            return
        fleet = self.fleet
        if fleet.decide.stopping:
            return
        if not fleet.handed_over:
            notify(os.environ, "STOPPING=1")
            keep(os.environ, SOCKETS_NAME, [])
            keep(os.environ, STATE_NAME, [])
        self.replacing.call_off("the running program was told to stop")
        log.info("stopping")
        self.reloading.cancel()
        fleet.do(fleet.decide.on_stop(now_us(), fleet.stop_within_us))
        # The instances hold the sockets too: once the last of them closes its own, connects are refused.
        fleet.close_sockets(list(fleet.sockets))

    def _interrupt(self) -> None:
        """SIGINT: once as SIGTERM, twice at once, with what is owed answered as failed."""
        if not self._interrupted:
            self._interrupted = True
            self.stop()
            return
        self.fleet.tell_all({"op": "abort"})
        asyncio.get_running_loop().call_later(ABORT_WITHIN_S, self.fleet.kill_all)

    # Told by the fleet

    def _changed(self) -> None:
        if self.fleet.decide.ended:
            self._ended.set()
        elif not self._was_ready and self.fleet.all_ready and self._heir is None and self._begun:
            self._tell_ready()

    def _tell_ready(self) -> None:
        self._was_ready = True
        count = len(self.fleet.decide.ready)
        states = ["READY=1", f"STATUS={count} instances are ready"]
        if self._replaces:
            states.append(f"MAINPID={os.getpid()}")
        notify(os.environ, *states)
        log.info("ready after %.3f s: %d instances", time.monotonic() - self._began, count)

    # Control

    def _may_change(self) -> str | None:
        if not self._begun or self.fleet.decide.stopping or self.replacing.busy or self._heir is not None:
            return "the daemon is stopping, or being replaced"
        return None

    def _reload_by_signal(self) -> None:
        if self._begun:
            self.reloading.by_signal()

    async def _handle(self, message: Message) -> Message:
        match message.get("op"):
            case "status":
                return self.status()
            case "reload":
                return await self.reloading.reload()
            case "drain":
                name = message.get("instance")
                decide = self.fleet.decide
                if not isinstance(name, str) or name not in [item.name for item in decide.standings()]:
                    return {"ok": False, "faults": [f"there is no instance {str(name)[:64]!r}"]}
                self.fleet.do(decide.on_drain(name, now_us(), self.fleet.stop_within_us))
                return {"ok": True}
            case "members":
                return await self._members(message.get("after", 0), message.get("instance"))
            case "policy":
                return await self._policy(message)
            case "takeover" if isinstance(message.get("to"), str):
                return self.replacing.begin(message["to"])
            case "stop":
                asyncio.get_running_loop().call_soon(self.stop)
                return {"ok": True}
        return {"ok": False, "faults": ["the operation is not known here: " + repr(message.get("op"))[:64]]}

    async def _members(self, after: object, wanted: object) -> Message:
        """The fleet as one of the instances sees it: the one that is wanted, or any."""
        if self.fleet.document.fleet is None:
            return {"ok": False, "faults": ["this file has no [fleet]: its instances know of nobody"]}
        for name in self.fleet.decide.ready:
            run = self.fleet.runs.get(name)
            if run is None or wanted not in (None, name):
                continue
            with contextlib.suppress(Unanswered):
                told = await self.fleet.ask(run, {"op": "members", "after": after}, MEMBERS_WITHIN_S)
                if told.get("members"):
                    return {"ok": True, **{key: told[key] for key in MEMBERS_KEYS}}
        return {"ok": False, "faults": ["no instance answers"]}

    async def _policy(self, message: Message) -> Message:
        """Have one of the instances, the one that is wanted or any, do this about the fleet's policy."""
        fleet = self.fleet.document.fleet
        if fleet is None or not fleet["voters"]:
            return {"ok": False, "faults": ["this file has no [fleet] voters: each host goes by its file"]}
        wanted = message.get("instance")
        words = {key: item for key, item in message.items() if key not in ("op", "id", "instance")}
        for name in self.fleet.decide.ready:
            run = self.fleet.runs.get(name)
            if run is None or wanted not in (None, name):
                continue
            with contextlib.suppress(Unanswered):
                told = await self.fleet.ask(run, {**words, "op": "policy"}, POLICY_WITHIN_S)
                fault = told.get("fault")
                return {**told, "ok": bool(told.get("policy_ok")), "instance": name,
                        "faults": [fault] if fault else []}  # fmt: skip
        return {"ok": False, "faults": ["no instance answers"]}

    def status(self) -> Message:
        """What `ctl status` shows."""
        fleet = self.fleet
        adopted = self._adopted
        return {
            "ok": True,
            "name": fleet.document.daemon["name"],
            "pid": os.getpid(),
            "up_s": round(time.monotonic() - self._began, 3),
            "generation": fleet.generation,
            "stopping": fleet.decide.stopping,
            "reloading": self.reloading.busy,
            "replacing": self.replacing.busy,
            "adopted": 0 if adopted is None else adopted.adopted,
            "state": None if self._state is None else self._state.figures(),
            "listeners": {
                name: "{}:{}".format(*address) for name, address in fleet.document.addresses.items()
            },
            "instances": fleet.instances(),
        }


def _last_good(path: Path, folder: Path | None) -> Document | None:
    """The file that was in force last, by the state in this folder; None if there is none that is good."""
    found = remembered(folder) if folder is not None else None
    if found is None:
        return None
    try:
        return parse(found.document, path)
    except BadDocument:  # another version wrote it
        return None


def serve(
    path: Path, tell: Callable[[str], None], replace: bool = False, last_good: Path | None = None
) -> int:
    """Run the daemon that the file describes, in place of the one that runs if `replace`. If the file is
    faulty and `last_good` names a state folder, run by the file that was in force last. Returns its exit
    code: 0; 1 for a replacement that is off; 2 for a start that cannot be made, after one line a fault to
    `tell`."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        document = read(path)
    except BadDocument as bad:
        for line in bad.lines():
            tell(line)
        good = _last_good(path, last_good)
        if good is None:
            return 2
        tell(f"{path}: starting by the file that was in force last")
        document = good
    logs.configure(document.log["format"], document.log["level"])

    async def run() -> int:
        daemon = Daemon(path, document, replace)
        await daemon.run()
        return 0 if daemon.failure is None else 1

    try:
        return asyncio.run(run())
    except KeyboardInterrupt:  # before there was anything to stop
        return 130
    except CannotStart as fault:
        tell(f"{path}: {fault.told()}")
        return 2
