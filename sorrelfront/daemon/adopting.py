"""Finds the processes of an earlier supervisor, and adopts, drains or kills them.

`decisions.adoption` decides what is done with each.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import socket
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

from sorrelfront.daemon.channel import (
    BadMessage,
    Message,
    configure_socket,
    is_owner,
    peer_credentials,
    receive,
    send,
)
from sorrelfront.daemon.fleet import Fleet, adopted_run, now_us
from sorrelfront.daemon.journal import Journal, RunFolder
from sorrelfront.daemon.processes import boot_id, open_process, send_signal, start_ticks
from sorrelfront.decisions.adoption import (
    Adopt,
    Drain,
    FoundProcess,
    Kill,
    Leave,
    LifecycleState,
    decide_each,
)

log = logging.getLogger("sorrelfront.daemon")

ADOPT_TIMEOUT_S = 2.0  # for an answer to `adopt`, from a process that has just identified itself
MAX_WAIT_STEP_S = 0.1  # step of a wait: at most so much of a pause of this program counts towards the timeout
MAX_SOCKETS = 40  # listening sockets that one instance may send


@dataclass(slots=True)
class Candidate:
    """One found process and the descriptors for it, which are held until it is adopted or released."""

    found: FoundProcess
    ticks: int = 0
    channel: socket.socket | None = None
    pidfd: int | None = None
    sockets: list[socket.socket] = field(default_factory=list)

    def close(self) -> None:
        """Close every descriptor that is still held."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None
        if self.pidfd is not None:
            os.close(self.pidfd)
            self.pidfd = None
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()


@dataclass(slots=True)
class AdoptionCounts:
    """Counts of an adoption, for the log and status."""

    adopted: int = 0
    drained: int = 0
    killed: int = 0
    left: int = 0
    reconfigured: int = 0


async def receive_within(sock: socket.socket, within_s: float) -> tuple[Message, list[int]] | None:
    """Wait for the next message; None at end of file. Raises BadMessage, TimeoutError.

    The wait is divided into steps. On a host that was suspended, both this program and its peer were stopped:
    a single timeout would have expired on resuming, and a peer about to answer would be killed.
    """
    loop, left_s = asyncio.get_running_loop(), within_s
    while True:
        try:
            return receive(sock)
        except BlockingIOError:
            if left_s <= 0:
                raise TimeoutError from None
        readable, step_s, began = asyncio.Event(), min(left_s, MAX_WAIT_STEP_S), loop.time()
        loop.add_reader(sock.fileno(), readable.set)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(step_s):
                    await readable.wait()
        finally:
            loop.remove_reader(sock.fileno())
        left_s -= min(step_s, loop.time() - began)


def _parse_socket_path(path: Path) -> tuple[str, int]:
    """Return instance name and process id from the path of a socket; 0 if it has no valid id."""
    name, _, number = path.stem.rpartition("-")
    return name, int(number) if number.isascii() and number.isdigit() and len(number) < 10 else 0


async def _query(path: Path, within_s: float) -> Candidate | None:
    """Ask the process behind a socket to identify itself.

    If no process listens, the socket is removed and None is returned.
    """
    name, number = _parse_socket_path(path)
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    candidate = Candidate(FoundProcess(name, number, verified=False), channel=channel)
    try:
        configure_socket(channel)
        try:
            channel.connect(str(path))
        except BlockingIOError:  # its listen queue is full: it does not accept
            return candidate  # without a connection its identity cannot be verified: left alone
        except OSError:
            candidate.close()
            path.unlink(missing_ok=True)
            return None
        pid, _ = peer_credentials(channel)
        if not is_owner(channel) or pid != number:
            return candidate
        candidate.ticks = start_ticks(pid) or 0
        candidate.pidfd = open_process(pid, candidate.ticks)
        if candidate.pidfd is None:
            return candidate
        candidate.found = FoundProcess(name, pid)
        if not send(channel, {"op": "hello"}):
            return candidate
        got = await receive_within(channel, within_s)
        if got is not None:
            _apply_hello(candidate, *got)
    except (TimeoutError, BadMessage, OSError):
        pass
    except BaseException:
        candidate.close()
        raise
    return candidate


def _apply_hello(candidate: Candidate, message: Message, descriptors: list[int]) -> None:
    """Apply the `hello` answer if it agrees with what the kernel says."""
    for descriptor in descriptors:
        candidate.sockets.append(socket.socket(fileno=descriptor))
    found = candidate.found
    reported = (message.get("op"), message.get("name"), message.get("pid"), message.get("ticks"))
    if reported != ("hello", found.name, found.pid, candidate.ticks) or len(descriptors) > MAX_SOCKETS:
        return
    try:
        life = LifecycleState(message.get("life"))
    except ValueError:
        return
    run, generation, protocol = message.get("run"), message.get("generation"), message.get("protocol")
    if type(run) is not int or type(generation) is not int or type(protocol) is not int:
        return
    candidate.found = FoundProcess(
        found.name,
        found.pid,
        run=run,
        lifecycle=life,
        orphan=message.get("orphan") is True,
        protocol=protocol,
        generation=generation,
        digest=str(message.get("digest")),
    )


def _from_journal(journal: Journal | None, seen: Collection[int]) -> list[Candidate]:
    """Return processes in the journal without a socket. A journal of another boot is ignored."""
    if journal is None or journal.boot != boot_id():
        return []
    found = []
    for entry in journal.entries:
        if entry.pid in seen:
            continue
        pidfd = open_process(entry.pid, entry.ticks)
        one = FoundProcess(entry.name, entry.pid, entry.run, verified=pidfd is not None, reachable=False)
        found.append(Candidate(one, entry.ticks, pidfd=pidfd))
    return found


async def find_processes(folder: RunFolder, journal: Journal | None, within_s: float) -> list[Candidate]:
    """Find running instances and query them concurrently, each within `within_s` seconds."""
    asked = await asyncio.gather(*(_query(path, within_s) for path in folder.instance_sockets()))
    candidates = [item for item in asked if item is not None]
    return candidates + _from_journal(journal, {item.found.pid for item in candidates})


async def adopt_all(fleet: Fleet, candidates: list[Candidate], taken: Collection[str] = ()) -> AdoptionCounts:
    """Decide on every process and carry the decisions out. Closes the descriptors of those not adopted."""
    counts = AdoptionCounts()
    by_pid = {item.found.pid: item for item in candidates}
    decisions = decide_each(
        [item.found for item in candidates], fleet.document.instance_names, fleet.config.digest, taken
    )
    fleet.generation = max([fleet.generation, *(item.found.generation for item in candidates)])
    for candidate in candidates:
        # An instance that is leaving still holds the address, so it could not be bound again.
        if candidate.found.orphan:
            for sock in candidate.sockets:
                fleet.add_socket(sock)
            candidate.sockets.clear()
    adopted = [item for item in decisions if isinstance(item, Adopt)]
    if adopted and all(item.reconfigure for item in adopted):
        fleet.generation += 1  # none of them has the current configuration
    try:
        for decision in decisions:
            found, candidate = decision.found, by_pid[decision.found.pid]
            match decision:
                case Adopt(_, reconfigure):
                    if await _adopt(fleet, candidate, found.name):
                        counts.adopted += 1
                        if reconfigure:
                            counts.reconfigured += 1
                            fleet.resend_config(found.name, fleet.runs[found.name])
                        else:  # its supervisor may have ended between a reload and the commit
                            send(fleet.runs[found.name].channel, {"op": "commit"})
                case Drain(_, why):
                    counts.drained += 1
                    log.info("%s (%d) is drained: %s", found.name, found.pid, why)
                    await _drain(fleet, candidate)
                case Kill(_, why):
                    counts.killed += 1
                    log.warning("%s (%d) is killed: %s", found.name, found.pid, why)
                    if candidate.pidfd is not None:
                        send_signal(candidate.pidfd, signal.SIGKILL)
                case Leave(_, why):
                    counts.left += 1
                    log.info("%s (%d) is left alone: %s", found.name, found.pid, why)
                    if (
                        found.lifecycle is LifecycleState.LEAVING
                        and found.orphan
                        and candidate.channel is not None
                    ):
                        send(candidate.channel, {"op": "others"})
    finally:
        for candidate in candidates:
            candidate.close()
    return counts


async def _adopt(fleet: Fleet, candidate: Candidate, name: str) -> bool:
    """Adopt the process under this name; return whether that succeeded."""
    channel, found = candidate.channel, candidate.found
    assert channel is not None
    send(channel, {"op": "adopt", "id": 1})
    fault: object = "it did not answer in time"
    with contextlib.suppress(TimeoutError, BadMessage):
        got = await receive_within(channel, ADOPT_TIMEOUT_S)
        if got is not None:
            for descriptor in got[1]:
                os.close(descriptor)
            fault = got[0].get("fault")
            if fault is None and got[0].get("op") != "adopted":
                fault = "its answer is not known here"
    generation = fleet.generation if found.digest == fleet.config.digest else found.generation
    run = None
    if fault is None:
        run = adopted_run(found.pid, candidate.ticks, channel, found.run, generation)
        if run is None:
            fault = "it has ended"
    if run is None:
        # Its orphan timeout may expire at this moment: then it drains, and a new process is started instead.
        log.warning("%s (%d) is not adopted: %s", name, found.pid, fault)
        return False
    candidate.channel = None  # now owned by the run
    fleet.adopt(name, run, found.lifecycle is LifecycleState.READY)
    return True


async def _drain(fleet: Fleet, candidate: Candidate) -> None:
    """Drain the process under a unique name, or by signal if it cannot be adopted."""
    found = candidate.found
    if found.lifecycle is not None and candidate.channel is not None:
        surplus = f"{found.name}@{found.pid}"
        if await _adopt(fleet, candidate, surplus):
            fleet.execute(fleet.supervisor.on_drain(surplus, now_us(), fleet.stop_timeout_us))
            return
    if candidate.pidfd is not None:
        send_signal(candidate.pidfd, signal.SIGTERM)
