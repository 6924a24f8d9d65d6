"""The daemon: combines sockets, processes, reload, replacement, adoption, state and control.

It serves no requests itself. If it dies, the instances go on serving for `orphan_ms`, and the next daemon
adopts them.
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
from sorrelfront.daemon.adopting import AdoptionCounts, adopt_all, find_processes
from sorrelfront.daemon.channel import Message
from sorrelfront.daemon.configuration import BadDocument, Document, parse, read
from sorrelfront.daemon.control import Control
from sorrelfront.daemon.fleet import CannotStart, Fleet, InstanceUnavailable, now_us
from sorrelfront.daemon.journal import Entry, Journal, RunFolder, RunFolderError, StateMemory, encode
from sorrelfront.daemon.notify import (
    SOCKETS_FDNAME,
    STATE_FDNAME,
    PassedDescriptors,
    notify,
    store_descriptors,
    take_passed_descriptors,
)
from sorrelfront.daemon.processes import boot_id
from sorrelfront.daemon.records import Writer
from sorrelfront.daemon.reload import Reloader
from sorrelfront.daemon.replacement import Replacement
from sorrelfront.daemon.state import WRITE_TIMEOUT_S, State, read_fleet_record
from sorrelfront.daemon.takeover import PredecessorEnded, Successor, TakeoverError
from sorrelfront.signals import ignore_until_exit, on_signal

log = logging.getLogger("sorrelfront.daemon")

ABORT_TIMEOUT_S = 2.0  # for in-flight requests to be answered as failed, at an abort
LOCK_TIMEOUT_S = 5.0  # for the previous program to release the lock after a handover, or after it was killed
MEMBERS_TIMEOUT_S = 2.0  # for an instance to send its view of the fleet
POLICY_TIMEOUT_S = 5.0  # for an instance to get the answers of the voters
MEMBERS_KEYS = ("fleet", "self", "agreeing", "events", "members")
MAX_FIND_TIMEOUT_S = 5.0  # for a found process to identify itself; `hang_after_ms` if that is shorter


class Daemon:
    """Supervises one fleet, and answers its control socket."""

    def __init__(self, path: Path, document: Document, replace: bool = False) -> None:
        """Prepare the daemon; `replace` takes over from the running one. Raises CannotStart."""
        self._replacing_running = replace
        self._successor = Successor(document.control) if replace else None
        try:
            self._folder = RunFolder(document.run_folder)
        except RunFolderError as fault:
            raise CannotStart(f"[daemon] control: {fault}") from None
        self.fleet = Fleet(document, self._folder.path)
        self.fleet.provisional = replace
        self.fleet.on_change = self._on_fleet_changed
        self.fleet.on_processes_changed = self._write_journal
        self._writer = Writer()
        self._state = None
        if document.state_folder is not None:
            self._state = State(document.state_folder, self.fleet, self._writer)
        self._memory: StateMemory | None = None
        self._control: Control | None = None
        self.reloading = Reloader(path, self.fleet, self._may_change, self._on_reloaded)
        self.replacing = Replacement(self.fleet, self._may_hand_over, self._release_control, self.stop)
        self._adoption: AdoptionCounts | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failure: str | None = None
        self._ended = asyncio.Event()
        self._started = False
        self._stop_asked = False
        self._interrupted = False
        self._was_ready = False
        self._started_at = time.monotonic()

    # Lifecycle

    async def run(self) -> None:
        """Run until told to stop and every instance has ended. Raises CannotStart."""
        on_signal(signal.SIGTERM, self.stop)
        on_signal(signal.SIGINT, self._on_interrupt)
        on_signal(signal.SIGHUP, self._reload_by_signal)
        try:
            inherited = take_passed_descriptors(os.environ)
            if self._successor is not None:
                await self._receive_handover(self._successor)
            if self._successor is None:
                await self._become_supervisor(inherited)
            self.fleet.open_sockets(inherited.sockets)
            if self._successor is None:
                await self._start_control()
                self._store_with_manager()
            self._started = True
            if self._stop_asked:
                self.stop()
            self.fleet.execute(self.fleet.supervisor.start(now_us()))
            if self._successor is not None:
                self._spawn(self._complete_takeover(self._successor))
            elif self._state is not None:
                self._spawn(self._state.keep())
            await self._ended.wait()
            if not self.fleet.handed_over:
                self._writer.put(self._folder.journal, None)
            await self._writer.wait_written(WRITE_TIMEOUT_S)
        finally:
            await self._close()
            ignore_until_exit(signal.SIGTERM, signal.SIGHUP, signal.SIGINT)

    async def _close(self) -> None:
        self.fleet.kill_all()
        self.reloading.cancel()
        for task in self._tasks:
            task.cancel()
        if self._successor is not None:
            self._successor.close()
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

    async def _become_supervisor(self, inherited: PassedDescriptors) -> None:
        """Take the lock, restore state and adopt running instances. Raises CannotStart."""
        try:
            if not await self._lock(LOCK_TIMEOUT_S if self._replacing_running else 0.0):
                raise CannotStart(f"[daemon] control: another daemon runs by this file ({self._folder.path})")
        except RunFolderError as fault:
            raise CannotStart(f"[daemon] control: {fault}") from None
        if self._state is not None:
            self._state.restore()
        journal = self._folder.read()
        kept = StateMemory(inherited.state_descriptor) if inherited.state_descriptor >= 0 else None
        if kept is not None:
            journal = journal or kept.read()
        self._memory = kept
        await self._adopt(journal)

    async def _lock(self, within_s: float) -> bool:
        """Wait for the lock of the run folder; return whether it was acquired in time. Raises RunFolderError.

        The kernel closes the descriptors of a killed program one by one, so its connections may end before
        its lock is free. Without the wait its successor would conclude that another program holds the lock
        and give up, and the fleet would be left without a supervisor.
        """
        until = time.monotonic() + within_s
        logged = False
        while not self._folder.lock():
            if time.monotonic() >= until:
                return False
            if not logged:
                log.info("waiting up to %g s for the previous program to let go of the lock", within_s)
                logged = True
            await asyncio.sleep(0.01)
        return True

    async def _adopt(self, journal: Journal | None) -> None:
        if journal is not None:
            self.fleet.generation = max(self.fleet.generation, journal.generation)
        if not self._started:
            self.fleet.supervisor.hold()
        within_s = min(MAX_FIND_TIMEOUT_S, self.fleet.document.daemon["hang_after_ms"] / 1e3)
        found = await find_processes(self._folder, journal, within_s)
        if not found:
            return
        began = time.monotonic()
        counts = self._adoption = await adopt_all(self.fleet, found, [*self.fleet.runs])
        log.info(
            "of %d processes found %d are adopted, %d of them reconfigured, %d drained, %d killed, "
            "%d left alone, in %.3f s",
            len(found), counts.adopted, counts.reconfigured, counts.drained, counts.killed, counts.left,
            time.monotonic() - began,
        )  # fmt: skip

    # Journal for the next supervisor

    @property
    def _is_active(self) -> bool:
        return not self.fleet.provisional and not self.fleet.handed_over

    def _write_journal(self) -> None:
        """Write the journal after the set of processes or the configuration has changed."""
        if not self._is_active:
            return  # the active program writes the journal
        fleet = self.fleet
        entries = [
            Entry(name.partition("@")[0], run.number, run.pid, run.ticks)
            for name, run in fleet.runs.items()
            if run.ticks is not None
        ]
        data = encode(Journal(boot_id(), fleet.generation, fleet.config.digest, entries))
        self._writer.put(self._folder.journal, data)
        if self._memory is not None:
            self._memory.write(data)

    def _on_reloaded(self) -> None:
        """Apply what depends on the configuration after a reload."""
        log_settings = self.fleet.document.log
        logs.configure(log_settings["format"], log_settings["level"], generation=self.fleet.generation)
        self._write_journal()
        self._store_with_manager()
        if self._state is not None:
            self._state.write_fleet()

    def _store_with_manager(self) -> None:
        """Store the listening sockets and the journal with the service manager, if there is one."""
        if "NOTIFY_SOCKET" not in os.environ:
            return
        store_descriptors(os.environ, SOCKETS_FDNAME, [sock.fileno() for sock in self.fleet.sockets.values()])
        if self._memory is None:
            with contextlib.suppress(OSError):
                self._memory = StateMemory()
        if self._memory is not None:
            self._write_journal()
            store_descriptors(os.environ, STATE_FDNAME, [self._memory.descriptor])

    # Replacing another program

    async def _receive_handover(self, successor: Successor) -> None:
        """Receive the old program's sockets and estimates, the first step of a take-over.

        If the old program ends during the handover, there is nothing to replace: this one starts normally,
        and adopts the instances that are left.
        """
        try:
            handover = await successor.request_handover()
        except PredecessorEnded as fault:
            log.warning("%s; starting in its place", fault)
            self._successor = None
            self.fleet.provisional = False
            return
        except TakeoverError as fault:
            raise CannotStart(f"[daemon] control: {self.fleet.document.control}: {fault}") from None
        self.fleet.estimates = handover.snapshots
        for sock in handover.sockets.values():
            self.fleet.add_socket(sock)

    async def _complete_takeover(self, successor: Successor) -> None:
        """Wait until all instances are ready, then have the old program drain.

        After a timeout, or if the old program is told to stop meanwhile, this one ends and the old one
        continues unchanged. If the old one is killed meanwhile, this one takes its place, and the instances
        that it left drain once all new ones are ready.
        """
        until = time.monotonic() + self.fleet.document.daemon["start_within_ms"] / 1e3
        why = None
        while why is None and not self.fleet.all_ready:
            if time.monotonic() > until and not successor.predecessor_ended:
                why = "not all instances became ready in time"
            await asyncio.sleep(0.01)
            why = why or successor.call_off_reason()
            if successor.predecessor_ended and not await self._lock(LOCK_TIMEOUT_S):
                why = "the running program has ended, and another one has replaced it"
        if why is not None:
            self.failure = why
            log.warning("the replacement is off: %s", why)
            self.fleet.handed_over = True  # the old program's instances still accept connections
            self.stop()
            return
        # Activate the instances first: if this program were killed after the old one has begun to drain and
        # before its own instances were activated, nothing would serve.
        self.fleet.provisional = False
        self.fleet.send_to_all({"op": "charge"})
        if not successor.predecessor_ended and not await successor.ready():
            log.warning("the previous program did not confirm that it drains")
        successor.close()
        self._successor = None
        self.fleet.estimates = {}
        await self._start_after_takeover()

    async def _start_after_takeover(self) -> None:
        """Complete a take-over: lock, control socket, journal, and adoption of other running instances."""
        await self._lock(LOCK_TIMEOUT_S)
        try:
            await self._start_control()
        except CannotStart as fault:
            log.error("%s", fault)
        self._write_journal()
        self._store_with_manager()
        if self._state is not None:
            self._state.restore()
            self._spawn(self._state.keep())
        await self._adopt(self._folder.read())
        self._notify_ready()

    # Being replaced

    def _may_hand_over(self) -> str | None:
        if self.fleet.supervisor.stopping or self.reloading.busy:
            return "the daemon is stopping or reloading"
        return None

    async def _release_control(self) -> None:
        """Release the control socket and the lock to the new program."""
        control, self._control = self._control, None
        if control is not None:
            await control.close()
        self._folder.unlock()

    # Stopping

    def stop(self) -> None:
        """Drain all instances and end. A second call changes nothing."""
        if not self._started:
            self._stop_asked = True
            return
        fleet = self.fleet
        if fleet.supervisor.stopping:
            return
        if not fleet.handed_over:
            notify(os.environ, "STOPPING=1")
            store_descriptors(os.environ, SOCKETS_FDNAME, [])
            store_descriptors(os.environ, STATE_FDNAME, [])
        self.replacing.cancel("the running program was told to stop")
        log.info("stopping")
        self.reloading.cancel()
        fleet.execute(fleet.supervisor.on_stop(now_us(), fleet.stop_timeout_us))
        # The instances hold the sockets too: new connections are refused once the last one has closed them.
        fleet.close_sockets(list(fleet.sockets))

    def _on_interrupt(self) -> None:
        """Handle SIGINT: the first acts like SIGTERM, the second aborts and fails the requests in flight."""
        if not self._interrupted:
            self._interrupted = True
            self.stop()
            return
        self.fleet.send_to_all({"op": "abort"})
        asyncio.get_running_loop().call_later(ABORT_TIMEOUT_S, self.fleet.kill_all)

    # Fleet events

    def _on_fleet_changed(self) -> None:
        if self.fleet.supervisor.ended:
            self._ended.set()
        elif not self._was_ready and self.fleet.all_ready and self._successor is None and self._started:
            self._notify_ready()

    def _notify_ready(self) -> None:
        self._was_ready = True
        count = len(self.fleet.supervisor.ready)
        states = ["READY=1", f"STATUS={count} instances are ready"]
        if self._replacing_running:
            states.append(f"MAINPID={os.getpid()}")
        notify(os.environ, *states)
        log.info("ready after %.3f s: %d instances", time.monotonic() - self._started_at, count)

    # Control

    def _may_change(self) -> str | None:
        if (
            not self._started or self.fleet.supervisor.stopping or self.replacing.busy
            or self._successor is not None
        ):  # fmt: skip
            return "the daemon is stopping, or being replaced"
        return None

    def _reload_by_signal(self) -> None:
        if self._started:
            self.reloading.reload_on_signal()

    async def _handle(self, message: Message) -> Message:
        match message.get("op"):
            case "status":
                return self.status()
            case "reload":
                return await self.reloading.reload()
            case "drain":
                name = message.get("instance")
                decide = self.fleet.supervisor
                if not isinstance(name, str) or name not in [
                    item.name for item in decide.instance_statuses()
                ]:
                    return {"ok": False, "faults": [f"there is no instance {str(name)[:64]!r}"]}
                self.fleet.execute(decide.on_drain(name, now_us(), self.fleet.stop_timeout_us))
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
        """Return the view of the fleet of one instance: the requested one, or any."""
        if self.fleet.document.fleet is None:
            return {"ok": False, "faults": ["this file has no [fleet]: its instances know of nobody"]}
        for name in self.fleet.supervisor.ready:
            run = self.fleet.runs.get(name)
            if run is None or wanted not in (None, name):
                continue
            with contextlib.suppress(InstanceUnavailable):
                reply = await self.fleet.ask(run, {"op": "members", "after": after}, MEMBERS_TIMEOUT_S)
                if reply.get("members"):
                    return {"ok": True, **{key: reply[key] for key in MEMBERS_KEYS}}
        return {"ok": False, "faults": ["no instance answers"]}

    async def _policy(self, message: Message) -> Message:
        """Forward a policy operation to one instance: the requested one, or any."""
        fleet = self.fleet.document.fleet
        if fleet is None or not fleet["voters"]:
            return {"ok": False, "faults": ["this file has no [fleet] voters: each host goes by its file"]}
        wanted = message.get("instance")
        request = {key: item for key, item in message.items() if key not in ("op", "id", "instance")}
        for name in self.fleet.supervisor.ready:
            run = self.fleet.runs.get(name)
            if run is None or wanted not in (None, name):
                continue
            with contextlib.suppress(InstanceUnavailable):
                reply = await self.fleet.ask(run, {**request, "op": "policy"}, POLICY_TIMEOUT_S)
                fault = reply.get("fault")
                return {**reply, "ok": bool(reply.get("policy_ok")), "instance": name,
                        "faults": [fault] if fault else []}  # fmt: skip
        return {"ok": False, "faults": ["no instance answers"]}

    def status(self) -> Message:
        """Return what `ctl status` shows."""
        fleet = self.fleet
        adopted = self._adoption
        return {
            "ok": True,
            "name": fleet.document.daemon["name"],
            "pid": os.getpid(),
            "up_s": round(time.monotonic() - self._started_at, 3),
            "generation": fleet.generation,
            "stopping": fleet.supervisor.stopping,
            "reloading": self.reloading.busy,
            "replacing": self.replacing.busy,
            "adopted": 0 if adopted is None else adopted.adopted,
            "state": None if self._state is None else self._state.status(),
            "listeners": {
                name: "{}:{}".format(*address) for name, address in fleet.document.listener_addresses.items()
            },
            "instances": fleet.instance_statuses(),
        }


def _last_valid(path: Path, folder: Path | None) -> Document | None:
    """Return the last valid configuration stored in this state folder; None if there is none."""
    found = read_fleet_record(folder) if folder is not None else None
    if found is None:
        return None
    try:
        return parse(found.document, path)
    except BadDocument:  # another version wrote it
        return None


def serve(
    path: Path, tell: Callable[[str], None], replace: bool = False, last_good: Path | None = None
) -> int:
    """Run the daemon with this configuration file, and return its exit code.

    `replace` takes over from the running daemon. If the file is faulty and `last_good` names a state folder,
    the last valid configuration from there is used. The exit code is 0; 1 if a replacement was called off; 2
    if the daemon cannot start, after one line per fault to `tell`; 130 if interrupted before the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until a reload is possible
    try:
        document = read(path)
    except BadDocument as bad:
        for line in bad.lines():
            tell(line)
        good = _last_valid(path, last_good)
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
        tell(f"{path}: {fault.message_with_remedy()}")
        return 2
