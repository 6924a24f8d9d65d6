"""Runs one member's replica store.

It connects `decisions.fleet.replicas` to the network, the clock, the disk and the list service, and decides
nothing.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

import msgspec

from sorrelfront.decisions.fleet import servers
from sorrelfront.decisions.fleet.messages import MalformedMessage
from sorrelfront.decisions.fleet.replicas import (
    Action,
    CaughtUp,
    Change,
    Changed,
    Durable,
    Forked,
    ReplicaStore,
    Send,
    Settings,
    Write,
    decode,
    encode,
)
from sorrelfront.decisions.fleet.servers import DRAIN_PREFIX, ConservativeView, ReplicatedServer
from sorrelfront.decisions.interface import Backend, State
from sorrelfront.fleet.transport import now_us
from sorrelfront.lists import MalformedList, parse_address
from sorrelfront.messages import Address, Update

log = logging.getLogger("sorrelfront.fleet")

MAX_QUEUED_WRITES = 4_096  # beyond these a snapshot replaces them
DISK_RETRY_S = 1.0  # after a failed write
# How long an entry on a drain is kept after its server left the list: longer than a rolling restart keeps an
# agent from its list service.
DRAIN_RETENTION_US = 60_000_000

_change_decoder = msgspec.msgpack.Decoder(Change)
_encode = msgspec.msgpack.Encoder().encode


def decode_changes(payloads: list[bytes]) -> list[Change]:
    """Decode the payloads of a replica log, up to the first one that cannot be read."""
    found = []
    for payload in payloads:
        try:
            found.append(_change_decoder.decode(payload))
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
            log.warning("a stored change and all after it are not used: %s", fault)
            break
    return found


def replication_settings(table: dict[str, Any]) -> Settings:
    """Derive the replication settings from the file's [fleet] table, with one comparison for each probe."""
    probe_us = int(table["probe_ms"] * 1_000)
    return Settings(
        compare_us=probe_us,
        push_us=int(min(table["gossip_ms"] * 250, 50_000)),
        fetch_us=max(500_000, 2 * probe_us),
        alone_us=3 * probe_us,
        keep_us=int(table["keep_ms"] * 1_000),
        send_bytes_s=int(table["copies_kb_s"] * 1_000),
        list_trust_us=30 * probe_us,
    )


@dataclass(frozen=True, slots=True)
class Ports:
    """What a replicator uses of its surroundings."""

    send: Callable[[str, bytes], None]
    live_members: Callable[[], list[str]]  # the living ones, according to the view
    known_members: Callable[[], set[str]]  # all that the view knows, dead ones included
    write: Callable[[list[bytes]], Awaitable[None]]  # durable once it returns; raises OSError
    snapshot: Callable[[list[bytes]], Awaitable[None]]  # the same, replacing all that was written
    needs_snapshot: Callable[[], bool]
    update_agent: Callable[[Update], None]  # to the agent


class Replicator:
    """Replicates state with the other members of the fleet.

    Call `start`, hand over messages and updates of the list service, and `close` it at the end.
    """

    def __init__(
        self, name: str, list_name: str, settings: Settings, ports: Ports, disk: list[Change]
    ) -> None:
        """Restore the store from `disk`.

        `list_name`: the name of the list service that the fleet's members use; empty if its versions cannot
        be compared between members.
        """
        random = Random()  # no two members act alike
        self.store = ReplicaStore(name, settings, random, now_us(), disk, list_name, servers.merge)
        self.conservative_view = ConservativeView()
        self.serving_from_replica = False  # its own service has sent nothing in this incarnation
        self._list_replicated = bool(list_name)
        self._ports = ports
        self._queue: list[Write] = []
        self._snapshot_needed = False
        self._has_work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._closed = False
        self._addresses: dict[str, Address] = {}
        self._unlisted_since: dict[str, int] = {}  # servers with an entry on a drain that left the list
        self._unknown_since: dict[str, int] = {}  # owners unknown to the view -> since when
        self._agent_outdated = False  # replicas have changed since the agent's last update
        self._watchers: dict[str, Callable[[str], None]] = {}  # prefix of keys -> called for each change
        self.counters = dict.fromkeys(("heard", "unreadable", "written", "unwritten", "held_back"), 0)
        self.write_error = ""

    def start(self) -> None:
        """Start the task that writes to disk, and replication to a second host."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._write_loop())]
        self._tasks[0].add_done_callback(_log_failure)
        self._perform(self.store.require_hosts(2, now_us()))

    def close(self) -> None:
        """Stop the timer and the tasks."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    # Entries of other components

    def watch(self, prefix: str, changed: Callable[[str], None]) -> None:
        """Call `changed` for each key of this prefix that may have changed, and now for all present ones."""
        self._watchers[prefix] = changed
        keys = {key for replica in self.store.replicas.values() for key in replica.entries}
        for key in sorted(keys):
            if key.startswith(prefix):
                changed(key)

    def put(self, key: str, value: bytes | None) -> None:
        """Put an entry into this member's own map; None deletes it. An entry without room is logged."""
        try:
            if value is None:
                self.store.delete(key, now_us())
            else:
                self.store.put(key, value, now_us())
        except ValueError as fault:
            log.warning("an entry is not replicated: %s", fault)
        self._perform(self.store._take_actions())

    # Messages and time

    def on_message(self, sender: str, data: bytes) -> None:
        """Handle an encoded message from a member."""
        try:
            message = decode(data)
        except MalformedMessage:
            self.counters["unreadable"] += 1
            return
        self.counters["heard"] += 1
        self._perform(self.store.on_message(sender, message, now_us()))

    def _on_time(self) -> None:
        self._timer = None
        self._perform(self.store.on_timer(now_us(), self._ports.live_members()))

    def _schedule(self) -> None:
        if self._closed:
            return
        due = self.store.next_us()
        if self._timer is not None:
            if due == self._due_us:
                return
            self._timer.cancel()
        self._due_us = due
        delay_s = max(0.0, (due - now_us()) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_time)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self._ports.send(to, encode(message))
                case Write():
                    self._enqueue(action)
                case Changed(owner, keys):
                    if owner == self.store.list_owner or any(key.startswith(DRAIN_PREFIX) for key in keys):
                        self._agent_outdated = True
                    self._notify_watchers(keys)
                case Forked(owner, epoch, seq):
                    log.error(
                        "conflicting contents of one version: owner %s, epoch %d, sequence %d",
                        owner,
                        epoch,
                        seq,
                    )
                case CaughtUp():
                    self._agent_outdated = True
                    log.info("the replicas have caught up with the peers")
                case Durable():
                    pass
        if self._agent_outdated:
            self._agent_outdated = False
            self._update_agent()
        self._schedule()

    def _notify_watchers(self, keys: Iterable[str]) -> None:
        for prefix, changed in self._watchers.items():
            for key in keys:
                if key.startswith(prefix):
                    changed(key)

    # Disk

    def _enqueue(self, write: Write) -> None:
        if len(self._queue) >= MAX_QUEUED_WRITES:
            self._queue = [write]
            self._snapshot_needed = True
        else:
            self._queue.append(write)
        self._has_work.set()

    async def _write_loop(self) -> None:
        """Write all queued changes at once, then those that were queued meanwhile."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            queue, self._queue = self._queue, []
            if not queue:
                continue
            try:
                if self._snapshot_needed or self._ports.needs_snapshot():
                    # The snapshot includes the queued changes.
                    await self._ports.snapshot([_encode(change) for change in self.store.snapshot()])
                    self._snapshot_needed = False
                else:
                    await self._ports.write([_encode(write.change) for write in queue])
            except (OSError, ValueError) as fault:
                self.counters["unwritten"] += 1
                if not self.write_error:
                    log.warning("replicas are not written to disk: %s", fault)
                self.write_error = str(fault)
                self._snapshot_needed = True
                self._queue = [queue[-1], *self._queue]
                self._has_work.set()
                await asyncio.sleep(DISK_RETRY_S)
                continue
            self.write_error = ""
            self.counters["written"] += len(queue)
            self._perform(self.store.on_written(queue[-1].number, now_us()))

    # The list

    def on_list(self, update: Update) -> Update:
        """Handle an update from this member's own list service; return the update for the agent."""
        self.serving_from_replica = False
        if not self._list_replicated:
            return update
        now, seq = now_us(), update.revision + 1
        self.conservative_view.on_list(seq, update.complete, update.backends)
        if update.complete:
            self._addresses = {}
        self._addresses.update(update.addresses)
        for backend in update.backends:
            self._replicate_drain(seq, backend, now)
        values = {
            backend.id: None if backend.state is State.GONE else (
                servers.encode(backend), _encode_hint(update.addresses.get(backend.id))
            )
            for backend in update.backends
        }  # fmt: skip
        actions = self.store.on_list(seq, update.complete, values, now)
        # The agent's update has the servers of this one and those whose replicated state has changed.
        updated = {
            backend.id: backend for backend in self.conservative_view.changes(self._replicated_servers())
        }
        for backend in update.backends:
            updated[backend.id] = self.conservative_view.delivered.get(backend.id, backend)
        self._perform(actions)
        return update._replace(
            backends=tuple(updated.values()), addresses=self._addresses_of(updated.values())
        )

    def _replicate_drain(self, seq: int, backend: Backend, now: int) -> None:
        """Put what this member was told of a server into its own map, so that all members apply a drain."""
        key = DRAIN_PREFIX + backend.id
        try:
            if backend.state is State.READY:
                if self.store.own_replica is not None and key in self.store.own_replica.entries:
                    self.store.delete(key, now)
            else:
                self.store.put(key, servers.encode_drain(seq, backend), now)
        except ValueError as fault:
            log.warning("a drain is not replicated: %s", fault)

    def _addresses_of(self, backends: Iterable[Backend]) -> dict[str, Address]:
        return {
            backend.id: self._addresses[backend.id]
            for backend in backends
            if backend.state is not State.GONE and backend.id in self._addresses
        }

    def on_list_unchanged(self) -> None:
        """Note that this member's own list service is reachable and has no further changes."""
        if self._list_replicated and self.conservative_view.seq:
            self._perform(self.store.on_list_unchanged(now_us()))

    def _replicated_servers(self) -> dict[str, ReplicatedServer]:
        """Return each listed server as the replicas have it.

        The replicated list is left out if no member's service has confirmed it lately.
        """
        replica = self.store.list_replica()
        age_us = self.store.list_age_us()
        confirmed = replica is not None and age_us is not None and age_us <= self.store.settings.list_trust_us
        found: dict[str, ReplicatedServer] = {}
        for name in self.conservative_view.own_list:
            drains = []
            for _, value in self.store.values(DRAIN_PREFIX + name):
                drain = servers.decode_drain(value)
                if drain is not None:
                    drains.append(drain)
            listed, seq = None, 0
            if confirmed and replica is not None:
                seq = replica.seq
                entry = replica.entries.get(name)
                listed = None if entry is None or entry.value is None else servers.decode(name, entry.value)
            if drains or seq > self.conservative_view.seq:
                found[name] = ReplicatedServer(seq, listed, tuple(drains))
        return found

    def _update_agent(self) -> None:
        """Tell the agent what follows from the replicas."""
        if self.conservative_view.seq:
            changed = tuple(self.conservative_view.changes(self._replicated_servers()))
            if changed:
                held_back = sum(backend.state is not State.READY for backend in changed)
                self.counters["held_back"] += held_back
                log.info("%d servers changed state by what other members were told", len(changed))
                self._ports.update_agent(
                    Update(self.conservative_view.seq, False, changed, self._addresses_of(changed))
                )
            return
        replica = self.store.list_replica()
        # A replica older than the peers' could send requests to servers that were told to drain since.
        if not self._list_replicated or replica is None or not self.store.caught_up:
            return
        backends, addresses = [], {}
        for name, entry in sorted(replica.entries.items()):
            backend = servers.decode(name, entry.value or b"")
            address = _decode_hint(entry.hint)
            if backend is None or address is None:
                continue
            drains = [servers.decode_drain(value) for _, value in self.store.values(DRAIN_PREFIX + name)]
            if any(
                drain is not None and drain.seq > replica.seq and drain.started_us >= backend.started_us
                for drain in drains
            ):
                backend = backend._replace(state=State.DRAINING)
            backends.append(backend)
            addresses[name] = address
        if not self.serving_from_replica:
            age_us = self.store.list_age_us()
            age = "of unknown age" if age_us is None else f"confirmed {age_us / 1e6:.1f} s ago"
            log.warning(
                "serving by the fleet's copy of the list, %s: the list service has sent nothing; %d servers",
                age, len(backends),
            )  # fmt: skip
        self.serving_from_replica = True
        self._ports.update_agent(Update(replica.seq - 1, True, tuple(backends), addresses))

    # Periodic work

    def maintain(self) -> None:
        """Retire the maps of members unknown to the view, and delete obsolete entries on drains."""
        now = now_us()
        known = self._ports.known_members()
        for owner in self.store.owners():
            if owner in known or owner == self.store.list_owner:
                self._unknown_since.pop(owner, None)
            elif now - self._unknown_since.setdefault(owner, now) > self.store.settings.keep_us:
                del self._unknown_since[owner]
                self._perform(self.store.retire(owner, now))
        mine = self.store.own_replica
        for key in [] if mine is None else [key for key in mine.entries if key.startswith(DRAIN_PREFIX)]:
            name = key[len(DRAIN_PREFIX) :]
            if name in self.conservative_view.own_list:
                self._unlisted_since.pop(name, None)
            elif now - self._unlisted_since.setdefault(name, now) > DRAIN_RETENTION_US:
                del self._unlisted_since[name]
                self.store.delete(key, now)
        self._agent_outdated = bool(self.conservative_view.seq)
        self._perform(self.store._take_actions())

    def status(self) -> dict[str, Any]:
        """Return the state and the counters for `ctl status`."""
        copies = self.store
        age_us = copies.list_age_us()
        replica = copies.list_replica()
        return {
            "level": copies.caught_up, "behind": copies.behind, "digest": copies.digest(),
            "books": len(copies.replicas),
            "entries": sum(len(replica.entries) for replica in copies.replicas.values()),
            "forked": {owner: list(at) for owner, at in copies.forks.items()}, "era": copies.gc_epoch,
            "list": None if replica is None else [replica.id.epoch, replica.seq - 1],
            "list_age_ms": None if age_us is None else age_us // 1_000, "by_copy": self.serving_from_replica,
            "waiting_for_disk": len(self._queue), "fault": self.write_error,
            **self.counters, **asdict(copies.counters),
        }  # fmt: skip


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("replication failed", exc_info=task.exception())


def _encode_hint(address: Address | None) -> bytes:
    return b"" if address is None else "{}:{}".format(*address).encode()


def _decode_hint(hint: bytes) -> Address | None:
    try:
        return parse_address(hint.decode())
    except (MalformedList, UnicodeDecodeError):
        return None
