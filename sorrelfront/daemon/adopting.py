"""Finds what an earlier supervisor has left running, has `decisions.adoption` judge it, and carries that
out."""

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

from sorrelfront.daemon.channel import BadMessage, Message, is_owner, peer, prepare, receive, send
from sorrelfront.daemon.fleet import Fleet, adopted_run, now_us
from sorrelfront.daemon.journal import Journal, RunFolder
from sorrelfront.daemon.processes import boot_id, open_process, send_signal, start_ticks
from sorrelfront.decisions.adoption import Adopt, Drain, End, Found, Leave, Life, judge

log = logging.getLogger("sorrelfront.daemon")

ADOPT_WITHIN_S = 2.0  # for one that has just said who it is
STEP_S = 0.1  # of a wait: the most that is counted of a time in which this program stood still
SOCKETS_MOST = 40  # listening sockets that one instance may hand over


@dataclass(slots=True)
class Candidate:
    """One process that was found, with what is held of it until it is adopted or let go."""

    found: Found
    ticks: int = 0
    channel: socket.socket | None = None
    pidfd: int | None = None
    sockets: list[socket.socket] = field(default_factory=list)

    def close(self) -> None:
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
class Adopted:
    """What came of it, for the log and status."""

    adopted: int = 0
    drained: int = 0
    killed: int = 0
    left: int = 0
    retaken: int = 0


async def receive_within(sock: socket.socket, within_s: float) -> tuple[Message, list[int]] | None:
    """The next message, waited for; None at the peer's end. Raises BadMessage, TimeoutError.

    Waited for in steps. Risk: who stood still together with its peer, on a host that was suspended, would
    find the time over on waking, and kill a peer that answers in the next moment.
    """
    loop, left_s = asyncio.get_running_loop(), within_s
    while True:
        try:
            return receive(sock)
        except BlockingIOError:
            if left_s <= 0:
                raise TimeoutError from None
        readable, step_s, began = asyncio.Event(), min(left_s, STEP_S), loop.time()
        loop.add_reader(sock.fileno(), readable.set)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(step_s):
                    await readable.wait()
        finally:
            loop.remove_reader(sock.fileno())
        left_s -= min(step_s, loop.time() - began)


def _split(path: Path) -> tuple[str, int]:
    """Name and process number of a door; 0 if it is none."""
    name, _, number = path.stem.rpartition("-")
    return name, int(number) if number.isascii() and number.isdigit() and len(number) < 10 else 0


async def _knock(path: Path, within_s: float) -> Candidate | None:
    """Ask who is behind a door. None if nobody is; then the door is taken away."""
    name, number = _split(path)
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    candidate = Candidate(Found(name, number, verified=False), channel=channel)
    try:
        prepare(channel)
        try:
            channel.connect(str(path))
        except BlockingIOError:  # its queue is full: it does not accept
            return candidate  # who it is cannot be asked of the kernel, so nothing is done to it
        except OSError:
            candidate.close()
            path.unlink(missing_ok=True)
            return None
        pid, _ = peer(channel)
        if not is_owner(channel) or pid != number:
            return candidate
        candidate.ticks = start_ticks(pid) or 0
        candidate.pidfd = open_process(pid, candidate.ticks)
        if candidate.pidfd is None:
            return candidate
        candidate.found = Found(name, pid)
        if not send(channel, {"op": "hello"}):
            return candidate
        got = await receive_within(channel, within_s)
        if got is not None:
            _introduced(candidate, *got)
    except (TimeoutError, BadMessage, OSError):
        pass
    except BaseException:
        candidate.close()
        raise
    return candidate


def _introduced(candidate: Candidate, message: Message, descriptors: list[int]) -> None:
    """Take in what it says, as far as the kernel says the same."""
    for descriptor in descriptors:
        candidate.sockets.append(socket.socket(fileno=descriptor))
    found = candidate.found
    said = (message.get("op"), message.get("name"), message.get("pid"), message.get("ticks"))
    if said != ("hello", found.name, found.pid, candidate.ticks) or len(descriptors) > SOCKETS_MOST:
        return
    try:
        life = Life(message.get("life"))
    except ValueError:
        return
    run, generation, protocol = message.get("run"), message.get("generation"), message.get("protocol")
    if type(run) is not int or type(generation) is not int or type(protocol) is not int:
        return
    candidate.found = Found(
        found.name, found.pid, run=run, life=life, orphan=message.get("orphan") is True, protocol=protocol,
        generation=generation, digest=str(message.get("digest")),
    )  # fmt: skip


def _by_journal(journal: Journal | None, seen: Collection[int]) -> list[Candidate]:
    """Processes that the journal names and that have no door any more. Another boot's are nobody's."""
    if journal is None or journal.boot != boot_id():
        return []
    found = []
    for entry in journal.entries:
        if entry.pid in seen:
            continue
        pidfd = open_process(entry.pid, entry.ticks)
        one = Found(entry.name, entry.pid, entry.run, verified=pidfd is not None, reachable=False)
        found.append(Candidate(one, entry.ticks, pidfd=pidfd))
    return found


async def survey(folder: RunFolder, journal: Journal | None, within_s: float) -> list[Candidate]:
    """All that can be found, each asked who it is; all at once, in this time at most."""
    asked = await asyncio.gather(*(_knock(path, within_s) for path in folder.doors()))
    candidates = [item for item in asked if item is not None]
    return candidates + _by_journal(journal, {item.found.pid for item in candidates})


async def adopt_all(fleet: Fleet, candidates: list[Candidate], taken: Collection[str] = ()) -> Adopted:
    """Have every process judged, and carry the verdicts out. Closes what is not adopted."""
    told = Adopted()
    by_pid = {item.found.pid: item for item in candidates}
    verdicts = judge([item.found for item in candidates], fleet.document.names, fleet.terms.digest, taken)
    fleet.generation = max([fleet.generation, *(item.found.generation for item in candidates)])
    for candidate in candidates:
        # Risk: one that is leaving still holds the address, so that it could not be bound anew.
        if candidate.found.orphan:
            for sock in candidate.sockets:
                fleet.take_socket(sock)
            candidate.sockets.clear()
    adopted = [item for item in verdicts if isinstance(item, Adopt)]
    if adopted and all(item.retake for item in adopted):
        fleet.generation += 1  # the file is another one than any of them knows
    try:
        for verdict in verdicts:
            found, candidate = verdict.found, by_pid[verdict.found.pid]
            match verdict:
                case Adopt(_, retake):
                    if await _adopt(fleet, candidate, found.name):
                        told.adopted += 1
                        if retake:
                            told.retaken += 1
                            fleet.retake(found.name, fleet.runs[found.name])
                        else:  # its supervisor may have ended between a reload and the word that it holds
                            send(fleet.runs[found.name].channel, {"op": "commit"})
                case Drain(_, why):
                    told.drained += 1
                    log.info("%s (%d) is drained: %s", found.name, found.pid, why)
                    await _drain(fleet, candidate)
                case End(_, why):
                    told.killed += 1
                    log.warning("%s (%d) is killed: %s", found.name, found.pid, why)
                    if candidate.pidfd is not None:
                        send_signal(candidate.pidfd, signal.SIGKILL)
                case Leave(_, why):
                    told.left += 1
                    log.info("%s (%d) is left alone: %s", found.name, found.pid, why)
                    if found.life is Life.LEAVING and found.orphan and candidate.channel is not None:
                        send(candidate.channel, {"op": "others"})
    finally:
        for candidate in candidates:
            candidate.close()
    return told


async def _adopt(fleet: Fleet, candidate: Candidate, name: str) -> bool:
    """Whether it is the fleet's from here on, under this name."""
    channel, found = candidate.channel, candidate.found
    assert channel is not None
    send(channel, {"op": "adopt", "id": 1})
    fault: object = "it did not answer in time"
    with contextlib.suppress(TimeoutError, BadMessage):
        got = await receive_within(channel, ADOPT_WITHIN_S)
        if got is not None:
            for descriptor in got[1]:
                os.close(descriptor)
            fault = got[0].get("fault")
            if fault is None and got[0].get("op") != "adopted":
                fault = "its answer is not known here"
    generation = fleet.generation if found.digest == fleet.terms.digest else found.generation
    run = None
    if fault is None:
        run = adopted_run(found.pid, candidate.ticks, channel, found.run, generation)
        if run is None:
            fault = "it has ended"
    if run is None:
        # Risk: its time ran out in this very moment; it drains, and another is started in its place.
        log.warning("%s (%d) is not adopted: %s", name, found.pid, fault)
        return False
    candidate.channel = None  # the run's from here on
    fleet.adopt(name, run, found.life is Life.READY)
    return True


async def _drain(fleet: Fleet, candidate: Candidate) -> None:
    """Have it finish what it owes, under a name of its own; by signal if it cannot be spoken to."""
    found = candidate.found
    if found.life is not None and candidate.channel is not None:
        surplus = f"{found.name}@{found.pid}"
        if await _adopt(fleet, candidate, surplus):
            fleet.do(fleet.decide.on_drain(surplus, now_us(), fleet.stop_within_us))
            return
    if candidate.pidfd is not None:
        send_signal(candidate.pidfd, signal.SIGTERM)
