"""Reload: apply a new file at every instance or at none, while all of them serve."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path

from sorrelfront.daemon.channel import MAX_MESSAGE_BYTES, Message, send
from sorrelfront.daemon.configuration import BadDocument, Document, read
from sorrelfront.daemon.fleet import (
    CannotStart,
    Fleet,
    InstanceConfig,
    bind_listener,
    now_us,
    supervision_policy,
)
from sorrelfront.daemon.notify import notify
from sorrelfront.messages import Address

log = logging.getLogger("sorrelfront.daemon")

# A change of one of these takes a restart.
RESTART_KEYS = (("daemon", "control"), ("daemon", "state_dir"), ("membership", "source"))


class Reloader:
    """Runs one reload at a time; one more may wait.

    `refusal_reason` returns why no reload is possible now, or None. `committed` is called once
    the new file is in force.
    """

    def __init__(
        self,
        path: Path,
        fleet: Fleet,
        refusal_reason: Callable[[], str | None],
        committed: Callable[[], None],
    ) -> None:
        self._path = path
        self._fleet = fleet
        self._refusal_reason = refusal_reason
        self._committed = committed
        self._lock = asyncio.Lock()
        self._queued = False
        self._task: asyncio.Task[Message] | None = None
        self._signal_tasks: set[asyncio.Task[Message]] = set()

    @property
    def busy(self) -> bool:
        """Whether a reload is running."""
        return self._lock.locked()

    def cancel(self) -> None:
        """Cancel the running reload, because the daemon stops; what was not committed is not applied."""
        if self._task is not None:
            self._task.cancel()

    def reload_on_signal(self) -> None:
        """Start a reload in the background, unless one waits already."""
        if self._queued:
            return
        task = asyncio.create_task(self.reload())
        self._signal_tasks.add(task)
        task.add_done_callback(self._signal_tasks.discard)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def reload(self) -> Message:
        """Apply the file at every instance or at none, and return the answer of the `reload` operation."""
        why = self._refusal_reason()
        if why is not None:
            return {"ok": False, "faults": [why]}
        if self._queued:
            return {"ok": False, "faults": ["another reload waits already"]}
        self._queued = True
        try:
            await self._lock.acquire()
        finally:
            self._queued = False
        try:
            notify(os.environ, "RELOADING=1", f"MONOTONIC_USEC={now_us()}")
            self._task = asyncio.create_task(self._reload())
            try:
                answer = await self._task
            except asyncio.CancelledError:
                if not self._fleet.supervisor.stopping:
                    raise
                answer = {"ok": False, "faults": ["the daemon is stopping"]}
            self._task = None
            if not self._fleet.supervisor.stopping:
                notify(os.environ, "READY=1")
            for fault in answer.get("faults", []):
                log.warning("the new file is not used: %s", fault)
            return answer
        finally:
            self._lock.release()

    def _restart_reason(self, document: Document) -> str | None:
        """Return why this valid file cannot be applied without a restart, or None."""
        now = self._fleet.document
        for table, key in RESTART_KEYS:
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
        refused = self._restart_reason(document)
        if refused is not None:
            return {"ok": False, "faults": [f"{self._path}: {refused}"]}
        config = await asyncio.to_thread(InstanceConfig, document)
        if config.size > MAX_MESSAGE_BYTES:
            return {"ok": False, "faults": [f"{self._path}: is too long for an instance to take"]}
        generation = fleet.generation + 1
        opened: dict[Address, socket.socket] = {}
        done: list[str] = []
        committed = False
        try:
            for name, address in document.listener_addresses.items():
                if address not in fleet.sockets:
                    opened[address] = bind_listener(address, name)
            sockets = {**fleet.sockets, **opened}
            for name in [name for name in fleet.supervisor.ready if name in document.instance_names]:
                run = fleet.runs.get(name)
                if run is None:
                    continue
                done.append(name)  # from now on it may have applied the file
                fault = await fleet.send_config(run, name, config, generation, sockets)
                if fault is not None:
                    return {"ok": False, "faults": [f"{self._path}: {name}: {fault}"]}
            committed = True
        except CannotStart as error:
            return {"ok": False, "faults": [f"{self._path}: {error}"]}
        finally:
            if not committed:
                self._roll_back(done)
                for sock in opened.values():
                    sock.close()
        self._commit(config, generation, sockets, done)
        return {"ok": True, "instances": len(done), "seconds": round(time.monotonic() - began, 6)}

    def _roll_back(self, names: list[str]) -> None:
        fleet = self._fleet
        if fleet.supervisor.stopping:
            return  # the sockets are closed already, and the instances drain with either file
        for name in names:
            run = fleet.runs.get(name)
            if run is not None:
                fleet.resend_config(name, run)

    def _commit(
        self, config: InstanceConfig, generation: int, sockets: dict[Address, socket.socket], done: list[str]
    ) -> None:
        fleet = self._fleet
        fleet.config = config
        fleet.generation = generation
        fleet.sockets = sockets
        for name in done:
            if name in fleet.runs:
                fleet.runs[name].generation = generation
                send(fleet.runs[name].channel, {"op": "commit"})
        wanted = set(config.document.listener_addresses.values())
        fleet.close_sockets([address for address in fleet.sockets if address not in wanted])
        fleet.supervisor.on_policy(supervision_policy(config.document), now_us())
        self._committed()
        fleet.execute(
            fleet.supervisor.on_names(config.document.instance_names, now_us(), fleet.stop_timeout_us)
        )
