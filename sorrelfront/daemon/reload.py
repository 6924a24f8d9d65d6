"""Reload: another file at every instance or at none, while all of them serve."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path

from sorrelfront.daemon.channel import MESSAGE_MOST, Message, send
from sorrelfront.daemon.configuration import BadDocument, Document, read
from sorrelfront.daemon.fleet import CannotStart, Fleet, Terms, listen, now_us, policy_of
from sorrelfront.daemon.notify import notify
from sorrelfront.messages import Address

log = logging.getLogger("sorrelfront.daemon")

FIXED = (("daemon", "control"), ("daemon", "state_dir"), ("membership", "source"))  # these take a restart


class Reloading:
    """One reload at a time; one more may wait. `may` tells why there can be none now, `committed` is called
    once the new file is in force."""

    def __init__(
        self, path: Path, fleet: Fleet, may: Callable[[], str | None], committed: Callable[[], None]
    ) -> None:
        self._path = path
        self._fleet = fleet
        self._may = may
        self._committed = committed
        self._lock = asyncio.Lock()
        self._waits = False
        self._task: asyncio.Task[Message] | None = None
        self._signals: set[asyncio.Task[Message]] = set()

    @property
    def busy(self) -> bool:
        return self._lock.locked()

    def cancel(self) -> None:
        """The daemon stops: what has not been committed is not."""
        if self._task is not None:
            self._task.cancel()

    def by_signal(self) -> None:
        if self._waits:
            return
        task = asyncio.create_task(self.reload())
        self._signals.add(task)
        task.add_done_callback(self._signals.discard)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def reload(self) -> Message:
        """Put the file in force, at every instance or at none."""
        why = self._may()
        if why is not None:
            return {"ok": False, "faults": [why]}
        if self._waits:
            return {"ok": False, "faults": ["another reload waits already"]}
        self._waits = True
        try:
            await self._lock.acquire()
        finally:
            self._waits = False
        try:
            notify(os.environ, "RELOADING=1", f"MONOTONIC_USEC={now_us()}")
            self._task = asyncio.create_task(self._reload())
            try:
                answer = await self._task
            except asyncio.CancelledError:
                if not self._fleet.decide.stopping:
                    raise
                answer = {"ok": False, "faults": ["the daemon is stopping"]}
            self._task = None
            if not self._fleet.decide.stopping:
                notify(os.environ, "READY=1")
            for fault in answer.get("faults", []):
                log.warning("the new file is not used: %s", fault)
            return answer
        finally:
            self._lock.release()

    def _refused(self, document: Document) -> str | None:
        """Why this good file cannot be taken without a restart."""
        now = self._fleet.document
        for table, key in FIXED:
            if getattr(document, table)[key] != getattr(now, table)[key]:
                return f"[{table}] {key}: takes a restart"
        for table, keys in (
            ("fleet", ("name", "listen", "advertise", "voters", "lease_ms")),
            ("site", ("name", "listen", "gateway")),
        ):
            one, other = getattr(document, table), getattr(now, table)
            if (one is None) != (other is None):
                return f"[{table}]: takes a restart"
            for key in keys if one is not None else ():
                if one[key] != other[key]:
                    return f"[{table}] {key}: takes a restart"
        return None

    async def _reload(self) -> Message:
        began = time.monotonic()
        fleet = self._fleet
        try:
            document = await asyncio.to_thread(read, self._path)
        except BadDocument as bad:
            return {"ok": False, "faults": bad.lines()}
        refused = self._refused(document)
        if refused is not None:
            return {"ok": False, "faults": [f"{self._path}: {refused}"]}
        terms = await asyncio.to_thread(Terms, document)
        if terms.size > MESSAGE_MOST:
            return {"ok": False, "faults": [f"{self._path}: is too long for an instance to take"]}
        generation = fleet.generation + 1
        opened: dict[Address, socket.socket] = {}
        done: list[str] = []
        committed = False
        try:
            for name, address in document.addresses.items():
                if address not in fleet.sockets:
                    opened[address] = listen(address, name)
            sockets = {**fleet.sockets, **opened}
            for name in [name for name in fleet.decide.ready if name in document.names]:
                run = fleet.runs.get(name)
                if run is None:
                    continue
                done.append(name)  # from here on it may have taken the file
                fault = await fleet.give(run, name, terms, generation, sockets)
                if fault is not None:
                    return {"ok": False, "faults": [f"{self._path}: {name}: {fault}"]}
            committed = True
        except CannotStart as taken:
            return {"ok": False, "faults": [f"{self._path}: {taken}"]}
        finally:
            if not committed:
                self._go_back(done)
                for sock in opened.values():
                    sock.close()
        self._commit(terms, generation, sockets, done)
        return {"ok": True, "instances": len(done), "seconds": round(time.monotonic() - began, 6)}

    def _go_back(self, names: list[str]) -> None:
        fleet = self._fleet
        if fleet.decide.stopping:
            return  # the sockets are closed by now, and the instances drain by whichever file they have
        for name in names:
            run = fleet.runs.get(name)
            if run is not None:
                fleet.retake(name, run)

    def _commit(
        self, terms: Terms, generation: int, sockets: dict[Address, socket.socket], done: list[str]
    ) -> None:
        fleet = self._fleet
        fleet.terms = terms
        fleet.generation = generation
        fleet.sockets = sockets
        for name in done:
            if name in fleet.runs:
                fleet.runs[name].generation = generation
                send(fleet.runs[name].channel, {"op": "commit"})
        wanted = set(terms.document.addresses.values())
        fleet.close_sockets([address for address in fleet.sockets if address not in wanted])
        fleet.decide.on_policy(policy_of(terms.document), now_us())
        self._committed()
        fleet.do(fleet.decide.on_names(terms.document.names, now_us(), fleet.stop_within_us))
