"""The fleet's processes and listening sockets: started, adopted, told, asked, and seen to end.

Carries out what `decisions.supervision` decides and decides nothing itself. A process is held by a descriptor
that never names another one (pidfd), whether it is this program's child or was adopted.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from sorrelfront.daemon.channel import BadMessage, Message, pair, receive, send
from sorrelfront.daemon.configuration import Document, instance_table
from sorrelfront.daemon.processes import open_process, send_signal, start_ticks
from sorrelfront.decisions import supervision
from sorrelfront.decisions.supervision import Kill, Phase, Policy, Report, Start, Stop, Supervisor
from sorrelfront.errors import SorrelfrontError
from sorrelfront.fronts.http1 import BACKLOG, GOING_AWAY_MORE_S, GOING_AWAY_S
from sorrelfront.messages import Address

log = logging.getLogger("sorrelfront.daemon")

INSTANCE = [sys.executable, "-m", "sorrelfront.daemon.instance"]  # the command, before its arguments
STOP_MORE_S = 1.0  # past the longest deadline and the listener's own time: a busy core, and the last steps


class CannotStart(SorrelfrontError):
    """A start that cannot be made, in one line."""

    remedy = "Mend what is named, an address in use or a folder that cannot be written, and start again."


class Unanswered(SorrelfrontError):
    """An instance did not say in time; or it ended, if `ended`."""

    remedy = "Look at the instance's log and at the load of this machine; it is started again by itself."

    def __init__(self, ended: bool) -> None:
        super().__init__("it ended" if ended else "no answer in time")
        self.ended = ended


@dataclass(slots=True)
class Run:
    """One process of an instance."""

    number: int
    pid: int
    pidfd: int
    channel: socket.socket
    generation: int  # of the document that it goes by
    ticks: int | None = None
    child: subprocess.Popen[bytes] | None = None  # None: adopted
    figures: dict[str, Any] = field(default_factory=dict)
    asked: dict[int, asyncio.Future[Message]] = field(default_factory=dict)

    def kill(self) -> None:
        send_signal(self.pidfd, signal.SIGKILL)


def now_us() -> int:
    return time.monotonic_ns() // 1000


def policy_of(document: Document) -> Policy:
    daemon = document.daemon
    return Policy(
        start_within_us=daemon["start_within_ms"] * 1000,
        silent_us=daemon["hang_after_ms"] * 1000,
        first_wait_us=daemon["restart_first_ms"] * 1000,
        longest_wait_us=daemon["restart_longest_ms"] * 1000,
    )


def listen(address: Address, name: str) -> socket.socket:
    """Raises CannotStart."""
    try:
        sock = socket.create_server(address, backlog=BACKLOG)
    except OSError as fault:
        place = f"[listeners.{name}] address: {address[0]}:{address[1]}"
        raise CannotStart(f"{place}: {fault.strerror}") from None
    sock.setblocking(False)
    return sock


class Terms:
    """What a document has an instance do; the list of servers, which may be long, is worded once for all."""

    def __init__(self, document: Document) -> None:
        self.document = document
        table = instance_table(document, 0)
        self._known = msgspec.Raw(msgspec.json.encode(table["known"]))
        whole = msgspec.json.encode([table, document.daemon["orphan_ms"], document.log], order="sorted")
        self.size = len(whole)  # bytes, as good as
        self.digest = hashlib.blake2b(whole, digest_size=16).hexdigest()

    def message(self, op: str, name: str, generation: int) -> Message:
        """Everything but the listening sockets, which travel beside it."""
        number = self.document.names.index(name)
        return {
            "op": op, "table": instance_table(self.document, number, self._known), "generation": generation,
            "digest": self.digest, "orphan_ms": self.document.daemon["orphan_ms"], "log": self.document.log,
        }  # fmt: skip


class Fleet:
    """Sockets and processes of one daemon.

    `changed` is called whenever what supervision decided has been carried out, `spawned` when the set of
    processes is another one.
    """

    def __init__(self, document: Document, folder: Path) -> None:
        self.terms = Terms(document)
        self.folder = folder
        self.generation = 0
        self.provisional = False  # another program is still in charge of the sockets
        self.handed_over = False  # another program accepts from here on
        self.learnt: dict[str, str] = {}  # by instance, for its next start; "" is for any
        self.sockets: dict[Address, socket.socket] = {}
        self.runs: dict[str, Run] = {}
        self.decide = Supervisor(document.names, policy_of(document), document.daemon["seed"], now_us())
        self.changed: Callable[[], None] = lambda: None
        self.spawned: Callable[[], None] = lambda: None
        self._timer: asyncio.TimerHandle | None = None
        self._count = 0

    @property
    def document(self) -> Document:
        return self.terms.document

    @property
    def all_ready(self) -> bool:
        return len(set(self.decide.ready) & set(self.document.names)) == len(self.document.names)

    @property
    def stop_within_us(self) -> int:
        more_s = GOING_AWAY_S + GOING_AWAY_MORE_S + STOP_MORE_S
        return self.document.longest_deadline_us + int(more_s * 1e6)

    # Sockets

    def open(self, passed: list[tuple[str, socket.socket]]) -> None:
        """The sockets of all listeners that are not held yet, those that the service manager has passed
        first. Raises CannotStart."""
        wanted = self.document.addresses
        for name, sock in passed:
            address = wanted.get(name)
            held = sock.getsockname()
            if address is None and held in wanted.values():
                address = held
            if address is not None and address not in self.sockets:
                self.sockets[address] = sock
                continue
            if address is None:
                log.warning("the service manager passed a socket that no listener names: %s:%d", *held)
            sock.close()
        try:
            for name, address in wanted.items():
                if address not in self.sockets:
                    self.sockets[address] = listen(address, name)
        except CannotStart:
            self.close_sockets(list(self.sockets))
            raise

    def take_socket(self, sock: socket.socket) -> None:
        """One that another process listens on too; it is this program's from here on, or closed."""
        address = sock.getsockname()
        if address in self.document.addresses.values() and address not in self.sockets:
            sock.setblocking(False)
            self.sockets[address] = sock
        else:
            sock.close()

    def close_sockets(self, addresses: list[Address]) -> None:
        for address in addresses:
            self.sockets.pop(address).close()

    # Deciding and doing

    def do(self, actions: list[supervision.Action]) -> None:
        for action in actions:
            match action:
                case Start(name, number):
                    self._start(name, number)
                case Stop(name, number):
                    run = self.run_of(name, number)
                    if run is not None:
                        others = self.handed_over or not self.decide.stopping
                        # Whoever is replaced does not leave the fleet: another goes by its name at once.
                        leave = not self.handed_over
                        send(run.channel, {"op": "stop", "others": others, "leave": leave})
                case Kill(name, number, _):
                    run = self.run_of(name, number)
                    if run is not None:
                        run.kill()
                case Report(name, what):
                    log.warning("%s %s", name, what, extra={"instance": name})
        self._schedule()
        self.changed()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self.decide.next_us()
        if at is not None:
            delay = max(0.0, (at - now_us()) / 1e6)
            self._timer = asyncio.get_running_loop().call_later(
                delay, lambda: self.do(self.decide.on_time(now_us()))
            )

    def run_of(self, name: str, number: int) -> Run | None:
        run = self.runs.get(name)
        return run if run is not None and run.number == number else None

    def _start(self, name: str, number: int) -> None:
        ours, theirs = pair()
        try:
            child = subprocess.Popen(
                [
                    *INSTANCE,
                    str(theirs.fileno()), name, str(number), str(self.folder),
                    self.document.log["format"], self.document.log["level"],
                ],
                pass_fds=[theirs.fileno()],
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        except OSError as fault:
            log.warning("%s cannot be started: %s", name, fault, extra={"instance": name})
            ours.close()
            asyncio.get_running_loop().call_soon(lambda: self.do(self.decide.on_end(name, number, now_us())))
            return
        finally:
            theirs.close()
        pidfd = os.pidfd_open(child.pid)  # not reaped yet, so it is this one
        run = Run(number, child.pid, pidfd, ours, self.generation, start_ticks(child.pid), child)
        self._attend(name, run)
        message = self.terms.message("start", name, self.generation)
        message["provisional"] = self.provisional
        learnt = self.learnt.get(name) or self.learnt.get("")
        if learnt:
            message["learnt"] = learnt
        started = self._request(run, message, [sock.fileno() for sock in self._listed()])
        started.add_done_callback(lambda done: self._on_started(name, run, done))

    def _listed(self) -> list[socket.socket]:
        return [self.sockets[item] for item in self.document.addresses.values() if item in self.sockets]

    def _attend(self, name: str, run: Run) -> None:
        """Listen to this process, and for its end."""
        self.runs[name] = run
        loop = asyncio.get_running_loop()
        loop.add_reader(run.pidfd, self._on_end, name, run)
        loop.add_reader(run.channel.fileno(), self._heard, name, run)
        self.spawned()

    def adopt(self, name: str, run: Run, ready: bool) -> None:
        """A process that an earlier supervisor started; it has taken `run.channel` as its own. Raises
        ValueError if the instance has a process already."""
        self.decide.on_adopted(name, run.number, ready, now_us())
        self._attend(name, run)
        if run.number and not ready:
            # It has its terms, and tells when it has them in force by its first sign of life.
            run.generation = -1

    def _on_started(self, name: str, run: Run, done: asyncio.Future[Message]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        fault = done.result().get("fault")
        if fault is not None:
            log.warning("%s cannot take its terms: %s", name, fault, extra={"instance": name})
            run.kill()
            return
        self.do(self.decide.on_ready(name, run.number, now_us()))
        if run.generation != self.generation and name in self.document.names:
            # It was started by a file that has been replaced meanwhile.
            self.retake(name, run)

    def retake(self, name: str, run: Run) -> None:
        """Have it go by the file in force, without waiting for it."""
        run.generation = self.generation
        future = self._request(run, *self._reload_words(name, self.terms, self.generation, self.sockets))
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        send(run.channel, {"op": "commit"})

    # Asking

    def _request(
        self, run: Run, message: Message, descriptors: list[int] | None = None
    ) -> asyncio.Future[Message]:
        """Say it, and have the answer in a future, which is cancelled at the process's end."""
        self._count += 1
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        run.asked[self._count] = answer
        if not send(run.channel, {**message, "id": self._count}, descriptors):
            del run.asked[self._count]
            answer.set_exception(Unanswered(ended=False))
        return answer

    async def ask(
        self, run: Run, message: Message, within_s: float, descriptors: list[int] | None = None
    ) -> Message:
        """Raises Unanswered."""
        answer = self._request(run, message, descriptors)
        try:
            async with asyncio.timeout(within_s):
                return await answer
        except TimeoutError:
            raise Unanswered(ended=False) from None
        except asyncio.CancelledError:
            if answer.cancelled() and run.channel.fileno() < 0:
                raise Unanswered(ended=True) from None
            raise
        finally:
            for number in [number for number, item in run.asked.items() if item is answer]:
                del run.asked[number]

    def _reload_words(
        self, name: str, terms: Terms, generation: int, sockets: dict[Address, socket.socket]
    ) -> tuple[Message, list[int]]:
        listed = [sockets[item] for item in terms.document.addresses.values() if item in sockets]
        return terms.message("reload", name, generation), [sock.fileno() for sock in listed]

    async def give(
        self, run: Run, name: str, terms: Terms, generation: int, sockets: dict[Address, socket.socket]
    ) -> str | None:
        """Have one instance take a file; the fault if it cannot. One that ends meanwhile has none: what comes
        in its place starts by the file in force."""
        words = self._reload_words(name, terms, generation, sockets)
        try:
            within_s = self.document.daemon["reload_within_ms"] / 1e3
            fault = (await self.ask(run, words[0], within_s, words[1])).get("fault")
            return None if fault is None else str(fault)
        except Unanswered as silent:
            if not silent.ended:
                return "it did not take the file in time"
            if self.decide.stopping:
                raise asyncio.CancelledError from None
            return None

    def _heard(self, name: str, run: Run) -> None:
        try:
            got = receive(run.channel)
        except BlockingIOError:
            return
        except BadMessage as fault:
            log.warning("%s: %s", name, fault, extra={"instance": name})
            return
        if got is None:
            asyncio.get_running_loop().remove_reader(run.channel.fileno())
            return
        message, descriptors = got
        for descriptor in descriptors:
            os.close(descriptor)
        if message.get("op") == "beat" and isinstance(message.get("figures"), dict):
            run.figures = message["figures"]
            if run.generation < 0:  # adopted while it started
                run.generation = self.generation
                self.do(self.decide.on_ready(name, run.number, now_us()))
            self.do(self.decide.on_beat(name, run.number, now_us()))
        else:
            answer = run.asked.pop(message.get("id", 0), None)
            if answer is not None and not answer.done():
                answer.set_result(message)

    def _on_end(self, name: str, run: Run) -> None:
        loop = asyncio.get_running_loop()
        code = run.child.wait() if run.child is not None else None
        loop.remove_reader(run.pidfd)
        os.close(run.pidfd)
        loop.remove_reader(run.channel.fileno())
        run.channel.close()
        for answer in run.asked.values():
            answer.cancel()
        if self.runs.get(name) is run:
            del self.runs[name]
        with contextlib.suppress(OSError):
            (self.folder / f"{name.partition('@')[0]}-{run.pid}.sock").unlink(missing_ok=True)
        how = "" if code is None else f" with {code}"
        log.info("%s ended%s", name, how, extra={"instance": name, "run": run.number})
        self.spawned()
        self.do(self.decide.on_end(name, run.number, now_us()))

    # All of them

    def tell_all(self, message: Message) -> None:
        for run in self.runs.values():
            send(run.channel, message)

    def kill_all(self) -> None:
        for run in self.runs.values():
            run.kill()

    def instances(self) -> list[dict[str, Any]]:
        """For status."""
        told = []
        for item in self.decide.standings():
            run = self.runs.get(item.name)
            told.append(
                {
                    "name": item.name, "phase": item.phase.value, "run": item.run, "failures": item.failures,
                    "crash_loop": item.looping, "pid": run.pid if run else None,
                    "adopted": run is not None and run.child is None,
                    **(run.figures if run and item.phase is not Phase.STARTING else {}),
                }
            )  # fmt: skip
        return told


def adopted_run(pid: int, ticks: int, channel: socket.socket, number: int, generation: int) -> Run | None:
    """A handle on a process that another supervisor started; None if it is gone by now."""
    pidfd = open_process(pid, ticks)
    return None if pidfd is None else Run(number, pid, pidfd, channel, generation, ticks)
