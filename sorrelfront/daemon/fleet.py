"""Manage the instances' processes and their listening sockets.

Executes the actions of `decisions.supervision` and makes no decisions itself. Each process, whether a child
of this program or adopted, is referred to by a pidfd, which can never refer to another process.
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

from sorrelfront.daemon.channel import BadMessage, Message, receive, send, socket_pair
from sorrelfront.daemon.configuration import Document, instance_table
from sorrelfront.daemon.processes import open_process, send_signal, start_ticks
from sorrelfront.decisions import supervision
from sorrelfront.decisions.supervision import Kill, Phase, Policy, Report, Start, Stop, Supervisor
from sorrelfront.errors import SorrelfrontError
from sorrelfront.fronts.http1 import BACKLOG, SHUTDOWN_GRACE_S, SHUTDOWN_MARGIN_S
from sorrelfront.messages import Address

log = logging.getLogger("sorrelfront.daemon")

INSTANCE_COMMAND = [sys.executable, "-m", "sorrelfront.daemon.instance"]  # the command, before its arguments
# Added to the longest deadline and the listener's own close time, for a busy core and the final steps.
STOP_MARGIN_S = 1.0


class CannotStart(SorrelfrontError):
    """The daemon cannot start; the message is one line."""

    remedy = "Mend what is named, an address in use or a folder that cannot be written, and start again."


class InstanceUnavailable(SorrelfrontError):
    """An instance did not answer in time or, if `ended`, its process ended."""

    remedy = "Look at the instance's log and at the load of this machine; it is started again by itself."

    def __init__(self, ended: bool) -> None:
        super().__init__("it ended" if ended else "no answer in time")
        self.ended = ended


@dataclass(slots=True)
class Run:
    """One process of an instance.

    Attributes:
        number: The number of this run of the instance.
        generation: The generation of the document whose configuration it uses; -1 while it is not known.
        ticks: The process's start time in clock ticks, which tells it from a later process with the same pid.
        child: The process handle, None if the process was adopted.
        figures: The status of the latest heartbeat.
        pending: Requests without an answer so far, by id.
    """

    number: int
    pid: int
    pidfd: int
    channel: socket.socket
    generation: int
    ticks: int | None = None
    child: subprocess.Popen[bytes] | None = None
    figures: dict[str, Any] = field(default_factory=dict)
    pending: dict[int, asyncio.Future[Message]] = field(default_factory=dict)

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        send_signal(self.pidfd, signal.SIGKILL)


def now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


def supervision_policy(document: Document) -> Policy:
    """Return the supervision policy that the document's [daemon] table describes."""
    daemon = document.daemon
    return Policy(
        start_within_us=daemon["start_within_ms"] * 1000,
        silent_us=daemon["hang_after_ms"] * 1000,
        first_wait_us=daemon["restart_first_ms"] * 1000,
        longest_wait_us=daemon["restart_longest_ms"] * 1000,
    )


def bind_listener(address: Address, name: str) -> socket.socket:
    """Return a non-blocking socket that listens on `address`.

    Raises:
        CannotStart: The address cannot be bound.
    """
    try:
        sock = socket.create_server(address, backlog=BACKLOG)
    except OSError as fault:
        place = f"[listeners.{name}] address: {address[0]}:{address[1]}"
        raise CannotStart(f"{place}: {fault.strerror}") from None
    sock.setblocking(False)
    return sock


class InstanceConfig:
    """The configuration that a document gives to instances.

    The list of servers, which may be long, is encoded once for all instances.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        table = instance_table(document, 0)
        self._encoded_known = msgspec.Raw(msgspec.json.encode(table["known"]))
        encoded = msgspec.json.encode([table, document.daemon["orphan_ms"], document.log], order="sorted")
        self.size = len(encoded)  # bytes, approximately those of a message
        self.digest = hashlib.blake2b(encoded, digest_size=16).hexdigest()

    def message(self, op: str, name: str, generation: int) -> Message:
        """Return the message that configures one instance; its sockets are passed as descriptors."""
        number = self.document.instance_names.index(name)
        return {
            "op": op, "table": instance_table(self.document, number, self._encoded_known),
            "generation": generation, "digest": self.digest,
            "orphan_ms": self.document.daemon["orphan_ms"], "log": self.document.log,
        }  # fmt: skip


class Fleet:
    """The sockets and processes of one daemon.

    `on_change` is called after the actions of supervision have been executed, `on_processes_changed` after
    the set of processes has changed.
    """

    def __init__(self, document: Document, folder: Path) -> None:
        self.config = InstanceConfig(document)
        self.folder = folder
        self.generation = 0
        self.provisional = False  # the program to be replaced still controls the sockets
        self.handed_over = False  # a replacement accepts connections from now on
        self.estimates: dict[str, str] = {}  # estimates by instance, for its next start; "" is any
        self.sockets: dict[Address, socket.socket] = {}
        self.runs: dict[str, Run] = {}
        self.supervisor = Supervisor(
            document.instance_names, supervision_policy(document), document.daemon["seed"], now_us()
        )
        self.on_change: Callable[[], None] = lambda: None
        self.on_processes_changed: Callable[[], None] = lambda: None
        self._timer: asyncio.TimerHandle | None = None
        self._last_request_id = 0

    @property
    def document(self) -> Document:
        """The document in force."""
        return self.config.document

    @property
    def all_ready(self) -> bool:
        """Whether every instance of the document in force is ready."""
        return len(set(self.supervisor.ready) & set(self.document.instance_names)) == len(
            self.document.instance_names
        )

    @property
    def stop_timeout_us(self) -> int:
        """The time in microseconds within which an instance that was told to stop has to end."""
        margin_s = SHUTDOWN_GRACE_S + SHUTDOWN_MARGIN_S + STOP_MARGIN_S
        return self.document.longest_deadline_us + int(margin_s * 1e6)

    # Sockets

    def open_sockets(self, passed: list[tuple[str, socket.socket]]) -> None:
        """Open the sockets of all listeners that are not open yet.

        Sockets that the service manager passed are used first; those that no listener needs are closed.

        Raises:
            CannotStart: An address cannot be bound; all sockets are closed then.
        """
        wanted = self.document.listener_addresses
        for name, sock in passed:
            address = wanted.get(name)
            bound_to = sock.getsockname()
            if address is None and bound_to in wanted.values():
                address = bound_to
            if address is not None and address not in self.sockets:
                self.sockets[address] = sock
                continue
            if address is None:
                log.warning("the service manager passed a socket that no listener names: %s:%d", *bound_to)
            sock.close()
        try:
            for name, address in wanted.items():
                if address not in self.sockets:
                    self.sockets[address] = bind_listener(address, name)
        except CannotStart:
            self.close_sockets(list(self.sockets))
            raise

    def add_socket(self, sock: socket.socket) -> None:
        """Use a socket received from another process that listens on it too, or close it if not needed."""
        address = sock.getsockname()
        if address in self.document.listener_addresses.values() and address not in self.sockets:
            sock.setblocking(False)
            self.sockets[address] = sock
        else:
            sock.close()

    def close_sockets(self, addresses: list[Address]) -> None:
        """Close the listening sockets of these addresses. Raises KeyError if one is not open."""
        for address in addresses:
            self.sockets.pop(address).close()

    # Supervision

    def execute(self, actions: list[supervision.Action]) -> None:
        """Execute these actions and set the timer for the next decision."""
        for action in actions:
            match action:
                case Start(name, number):
                    self._start(name, number)
                case Stop(name, number):
                    run = self.find_run(name, number)
                    if run is not None:
                        others = self.handed_over or not self.supervisor.stopping
                        # A replaced instance does not leave the fleet: its successor has the same name.
                        leave = not self.handed_over
                        send(run.channel, {"op": "stop", "others": others, "leave": leave})
                case Kill(name, number, _):
                    run = self.find_run(name, number)
                    if run is not None:
                        run.kill()
                case Report(name, what):
                    log.warning("%s %s", name, what, extra={"instance": name})
        self._schedule()
        self.on_change()

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self.supervisor.next_us()
        if at is not None:
            delay = max(0.0, (at - now_us()) / 1e6)
            self._timer = asyncio.get_running_loop().call_later(
                delay, lambda: self.execute(self.supervisor.on_timer(now_us()))
            )

    def find_run(self, name: str, number: int) -> Run | None:
        """Return the instance's process if it is this run, else None."""
        run = self.runs.get(name)
        return run if run is not None and run.number == number else None

    def _start(self, name: str, number: int) -> None:
        ours, theirs = socket_pair()
        try:
            child = subprocess.Popen(
                [
                    *INSTANCE_COMMAND,
                    str(theirs.fileno()), name, str(number), str(self.folder),
                    self.document.log["format"], self.document.log["level"],
                ],
                pass_fds=[theirs.fileno()],
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        except OSError as fault:
            log.warning("%s cannot be started: %s", name, fault, extra={"instance": name})
            ours.close()
            asyncio.get_running_loop().call_soon(
                lambda: self.execute(self.supervisor.on_end(name, number, now_us()))
            )
            return
        finally:
            theirs.close()
        pidfd = os.pidfd_open(child.pid)  # not reaped yet, so the pid is still its own
        run = Run(number, child.pid, pidfd, ours, self.generation, start_ticks(child.pid), child)
        self._watch_process(name, run)
        message = self.config.message("start", name, self.generation)
        message["provisional"] = self.provisional
        learnt = self.estimates.get(name) or self.estimates.get("")
        if learnt:
            message["learnt"] = learnt
        started = self._request(run, message, [sock.fileno() for sock in self._listening_sockets()])
        started.add_done_callback(lambda done: self._on_started(name, run, done))

    def _listening_sockets(self) -> list[socket.socket]:
        return [
            self.sockets[item] for item in self.document.listener_addresses.values() if item in self.sockets
        ]

    def _watch_process(self, name: str, run: Run) -> None:
        """Record this process, and watch its channel and its end."""
        self.runs[name] = run
        loop = asyncio.get_running_loop()
        loop.add_reader(run.pidfd, self._on_end, name, run)
        loop.add_reader(run.channel.fileno(), self._on_readable, name, run)
        self.on_processes_changed()

    def adopt(self, name: str, run: Run, ready: bool) -> None:
        """Take charge of a process that an earlier supervisor started and that uses `run.channel` already.

        Raises:
            ValueError: The instance has a process already.
        """
        self.supervisor.on_adopted(name, run.number, ready, now_us())
        self._watch_process(name, run)
        if run.number and not ready:
            # Its configuration was sent already; its first heartbeat shows that it is in force.
            run.generation = -1

    def _on_started(self, name: str, run: Run, done: asyncio.Future[Message]) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        fault = done.result().get("fault")
        if fault is not None:
            log.warning("%s rejected its configuration: %s", name, fault, extra={"instance": name})
            run.kill()
            return
        self.execute(self.supervisor.on_ready(name, run.number, now_us()))
        if run.generation != self.generation and name in self.document.instance_names:
            # The file that it was started with has been replaced meanwhile.
            self.resend_config(name, run)

    def resend_config(self, name: str, run: Run) -> None:
        """Send it the configuration in force and commit it, without waiting for the answer."""
        run.generation = self.generation
        future = self._request(run, *self._reload_message(name, self.config, self.generation, self.sockets))
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        send(run.channel, {"op": "commit"})

    # Requests to instances

    def _request(
        self, run: Run, message: Message, descriptors: list[int] | None = None
    ) -> asyncio.Future[Message]:
        """Send a request. The returned future holds the answer and is cancelled when the process ends."""
        self._last_request_id += 1
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        run.pending[self._last_request_id] = answer
        if not send(run.channel, {**message, "id": self._last_request_id}, descriptors):
            del run.pending[self._last_request_id]
            answer.set_exception(InstanceUnavailable(ended=False))
        return answer

    async def ask(
        self, run: Run, message: Message, within_s: float, descriptors: list[int] | None = None
    ) -> Message:
        """Send a request and return its answer.

        Raises:
            Unanswered: There was no answer within `within_s` seconds, or the process ended.
        """
        answer = self._request(run, message, descriptors)
        try:
            async with asyncio.timeout(within_s):
                return await answer
        except TimeoutError:
            raise InstanceUnavailable(ended=False) from None
        except asyncio.CancelledError:
            if answer.cancelled() and run.channel.fileno() < 0:
                raise InstanceUnavailable(ended=True) from None
            raise
        finally:
            for number in [number for number, item in run.pending.items() if item is answer]:
                del run.pending[number]

    def _reload_message(
        self, name: str, config: InstanceConfig, generation: int, sockets: dict[Address, socket.socket]
    ) -> tuple[Message, list[int]]:
        listed = [sockets[item] for item in config.document.listener_addresses.values() if item in sockets]
        return config.message("reload", name, generation), [sock.fileno() for sock in listed]

    async def send_config(
        self,
        run: Run,
        name: str,
        config: InstanceConfig,
        generation: int,
        sockets: dict[Address, socket.socket],
    ) -> str | None:
        """Have one instance apply a configuration, and return the fault if it cannot.

        An instance that ends meanwhile has no fault: its next process starts with the file in force.

        Raises:
            asyncio.CancelledError: The instance ended because the daemon is stopping.
        """
        request = self._reload_message(name, config, generation, sockets)
        try:
            within_s = self.document.daemon["reload_within_ms"] / 1e3
            fault = (await self.ask(run, request[0], within_s, request[1])).get("fault")
            return None if fault is None else str(fault)
        except InstanceUnavailable as unanswered:
            if not unanswered.ended:
                return "it did not take the file in time"
            if self.supervisor.stopping:
                raise asyncio.CancelledError from None
            return None

    def _on_readable(self, name: str, run: Run) -> None:
        try:
            received = receive(run.channel)
        except BlockingIOError:
            return
        except BadMessage as fault:
            log.warning("%s: %s", name, fault, extra={"instance": name})
            return
        if received is None:
            asyncio.get_running_loop().remove_reader(run.channel.fileno())
            return
        message, descriptors = received
        for descriptor in descriptors:
            os.close(descriptor)
        if message.get("op") == "beat" and isinstance(message.get("figures"), dict):
            run.figures = message["figures"]
            if run.generation < 0:  # it was adopted while it started
                run.generation = self.generation
                self.execute(self.supervisor.on_ready(name, run.number, now_us()))
            self.execute(self.supervisor.on_heartbeat(name, run.number, now_us()))
        else:
            answer = run.pending.pop(message.get("id", 0), None)
            if answer is not None and not answer.done():
                answer.set_result(message)

    def _on_end(self, name: str, run: Run) -> None:
        loop = asyncio.get_running_loop()
        code = run.child.wait() if run.child is not None else None
        loop.remove_reader(run.pidfd)
        os.close(run.pidfd)
        loop.remove_reader(run.channel.fileno())
        run.channel.close()
        for answer in run.pending.values():
            answer.cancel()
        if self.runs.get(name) is run:
            del self.runs[name]
        with contextlib.suppress(OSError):
            (self.folder / f"{name.partition('@')[0]}-{run.pid}.sock").unlink(missing_ok=True)
        suffix = "" if code is None else f" with {code}"
        log.info("%s ended%s", name, suffix, extra={"instance": name, "run": run.number})
        self.on_processes_changed()
        self.execute(self.supervisor.on_end(name, run.number, now_us()))

    # All instances

    def send_to_all(self, message: Message) -> None:
        """Send a message to every process."""
        for run in self.runs.values():
            send(run.channel, message)

    def kill_all(self) -> None:
        """Send SIGKILL to every process."""
        for run in self.runs.values():
            run.kill()

    def instance_statuses(self) -> list[dict[str, Any]]:
        """Return one row for each instance, as `ctl status` shows it."""
        rows = []
        for item in self.supervisor.instance_statuses():
            run = self.runs.get(item.name)
            rows.append(
                {
                    "name": item.name, "phase": item.phase.value, "run": item.run, "failures": item.failures,
                    "crash_loop": item.in_crash_loop, "pid": run.pid if run else None,
                    "adopted": run is not None and run.child is None,
                    **(run.figures if run and item.phase is not Phase.STARTING else {}),
                }
            )  # fmt: skip
        return rows


def adopted_run(pid: int, ticks: int, channel: socket.socket, number: int, generation: int) -> Run | None:
    """Return a handle on a process that another supervisor started, or None if the process has ended."""
    pidfd = open_process(pid, ticks)
    return None if pidfd is None else Run(number, pid, pidfd, channel, generation, ticks)
