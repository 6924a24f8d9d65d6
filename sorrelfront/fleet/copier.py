"""One member's copies: carries words, time, disk and the list between `decisions.fleet.copies` and what is
around it. Decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

import msgspec

from sorrelfront.decisions.fleet import servers
from sorrelfront.decisions.fleet.copies import (
    Action,
    Change,
    Changed,
    Copies,
    Forked,
    Kept,
    Levelled,
    Say,
    Settings,
    Write,
    pack,
    unpack,
)
from sorrelfront.decisions.fleet.servers import DRAIN, Careful, Seen
from sorrelfront.decisions.fleet.words import Unreadable
from sorrelfront.decisions.interface import Backend, State
from sorrelfront.fleet.carrier import now_us
from sorrelfront.lists import Malformed, parse_address
from sorrelfront.messages import Address, Update

log = logging.getLogger("sorrelfront.fleet")

WRITES_MOST = 4_096  # changes that wait for the disk; beyond these a snapshot takes their place
DISK_AGAIN_S = 1.0  # after a disk that failed
# An entry on a drain stands for so long after its server left the list: longer than a rolling restart keeps
# an agent away from its service.
DRAIN_KEPT_US = 60_000_000

_change = msgspec.msgpack.Decoder(Change)
_encode = msgspec.msgpack.Encoder().encode


def changes(payloads: list[bytes]) -> list[Change]:
    """What a ledger has kept; what cannot be read ends it."""
    found = []
    for payload in payloads:
        try:
            found.append(_change.decode(payload))
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
            log.warning("a change of the copies is not used: %s", fault)
            break
    return found


def settings(table: dict[str, Any]) -> Settings:
    """The times of the file's [fleet]: a comparison for each probe."""
    probe_us = int(table["probe_ms"] * 1_000)
    return Settings(
        compare_us=probe_us,
        push_us=int(min(table["gossip_ms"] * 250, 50_000)),
        fetch_us=max(500_000, 2 * probe_us),
        lone_us=3 * probe_us,
        keep_us=int(table["keep_ms"] * 1_000),
        give_bytes_s=int(table["copies_kb_s"] * 1_000),
        trust_us=30 * probe_us,
    )


@dataclass(frozen=True, slots=True)
class Ports:
    """What a copier needs of what is around it."""

    say: Callable[[str, bytes], None]
    members: Callable[[], list[str]]  # that live, by the view
    known: Callable[[], set[str]]  # that the view knows, the dead among them
    write: Callable[[list[bytes]], Awaitable[None]]  # durable once it returns; raises OSError
    snapshot: Callable[[list[bytes]], Awaitable[None]]  # the same, in place of all that was
    wants_snapshot: Callable[[], bool]
    update: Callable[[Update], None]  # to the agent


class Copier:
    """`start` it, give it words and what the list service says, `close` it."""

    def __init__(
        self, name: str, list_name: str, settings: Settings, ports: Ports, disk: list[Change]
    ) -> None:
        """`list_name`: of the list service that the fleet's members hear; empty for none whose states can be
        compared between members."""
        random = Random()  # no two members act alike
        self.copies = Copies(name, settings, random, now_us(), disk, list_name, servers.merge)
        self.careful = Careful()
        self.by_copy = False  # the agent goes by the copy: its own service has not spoken in this life
        self._listed = bool(list_name)
        self._ports = ports
        self._queue: list[Write] = []
        self._overflow = False
        self._work = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._closed = False
        self._addresses: dict[str, Address] = {}
        self._unlisted: dict[str, int] = {}  # servers with an entry on a drain, and since when not listed
        self._forgotten: dict[str, int] = {}  # owners whom the view does not know -> since when
        self._stale = False  # copies have changed since the agent was told
        self._watches: dict[str, Callable[[str], None]] = {}  # beginnings of keys -> told of each change
        self.counts = dict.fromkeys(("heard", "unreadable", "written", "unwritten", "held_back"), 0)
        self.fault = ""

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._write())]
        self._tasks[0].add_done_callback(_ended)
        self._do(self.copies.hold(2, now_us()))

    def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    # What other parts have copied

    def watch(self, beginning: str, changed: Callable[[str], None]) -> None:
        """Have this called with each key of this beginning that may read otherwise, and with all that are
        there now."""
        self._watches[beginning] = changed
        keys = {key for book in self.copies.books.values() for key in book.entries}
        for key in sorted(keys):
            if key.startswith(beginning):
                changed(key)

    def put(self, key: str, value: bytes | None) -> None:
        """Have this in this member's own book; None: no such entry. What has no room is told in the log."""
        try:
            if value is None:
                self.copies.delete(key, now_us())
            else:
                self.copies.put(key, value, now_us())
        except ValueError as fault:
            log.warning("not copied: %s", fault)
        self._do(self.copies._take())

    # Words and time

    def hear(self, sender: str, data: bytes) -> None:
        try:
            word = unpack(data)
        except Unreadable:
            self.counts["unreadable"] += 1
            return
        self.counts["heard"] += 1
        self._do(self.copies.on_word(sender, word, now_us()))

    def _on_time(self) -> None:
        self._timer = None
        self._do(self.copies.on_time(now_us(), self._ports.members()))

    def _schedule(self) -> None:
        if self._closed:
            return
        due = self.copies.next_us()
        if self._timer is not None:
            if due == self._due_us:
                return
            self._timer.cancel()
        self._due_us = due
        delay_s = max(0.0, (due - now_us()) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_time)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Say(to, word):
                    self._ports.say(to, pack(word))
                case Write():
                    self._put(action)
                case Changed(owner, keys):
                    if owner == self.copies.list_owner or any(key.startswith(DRAIN) for key in keys):
                        self._stale = True
                    self._tell_watches(keys)
                case Forked(owner, epoch, seq):
                    log.error("two contents under one state: %s, epoch %d, sequence %d", owner, epoch, seq)
                case Levelled():
                    self._stale = True
                    log.info("the copies are level with the peers'")
                case Kept():
                    pass
        if self._stale:
            self._stale = False
            self._apply()
        self._schedule()

    def _tell_watches(self, keys: Iterable[str]) -> None:
        for beginning, changed in self._watches.items():
            for key in keys:
                if key.startswith(beginning):
                    changed(key)

    # Disk

    def _put(self, write: Write) -> None:
        if len(self._queue) >= WRITES_MOST:
            self._queue = [write]
            self._overflow = True
        else:
            self._queue.append(write)
        self._work.set()

    async def _write(self) -> None:
        """One write after the other, each of all that waits by then."""
        while True:
            await self._work.wait()
            self._work.clear()
            queue, self._queue = self._queue, []
            if not queue:
                continue
            try:
                if self._overflow or self._ports.wants_snapshot():
                    # It has what is in the queue too.
                    await self._ports.snapshot([_encode(change) for change in self.copies.snapshot()])
                    self._overflow = False
                else:
                    await self._ports.write([_encode(write.change) for write in queue])
            except (OSError, ValueError) as fault:
                self.counts["unwritten"] += 1
                if not self.fault:
                    log.warning("copies are not written: %s", fault)
                self.fault = str(fault)
                self._overflow = True
                self._queue = [queue[-1], *self._queue]
                self._work.set()
                await asyncio.sleep(DISK_AGAIN_S)
                continue
            self.fault = ""
            self.counts["written"] += len(queue)
            self._do(self.copies.on_written(queue[-1].number, now_us()))

    # The list

    def heard(self, update: Update) -> Update:
        """This member's own list service speaks. Returns what the agent is told of it."""
        self.by_copy = False
        if not self._listed:
            return update
        now, seq = now_us(), update.revision + 1
        self.careful.heard(seq, update.complete, update.backends)
        if update.complete:
            self._addresses = {}
        self._addresses.update(update.addresses)
        for backend in update.backends:
            self._note(seq, backend, now)
        said = {
            backend.id: None if backend.state is State.GONE else (
                servers.pack(backend), _hint(update.addresses.get(backend.id))
            )
            for backend in update.backends
        }  # fmt: skip
        actions = self.copies.heard(seq, update.complete, said, now)
        # What the agent is told by this update: of the servers in it, and of others what copies say anew.
        told = {backend.id: backend for backend in self.careful.changes(self._seen())}
        for backend in update.backends:
            told[backend.id] = self.careful.told.get(backend.id, backend)
        self._do(actions)
        return update._replace(backends=tuple(told.values()), addresses=self._reached(told.values()))

    def _note(self, seq: int, backend: Backend, now: int) -> None:
        """Tell all what this member was told: a drain told to any is told to all."""
        key = DRAIN + backend.id
        try:
            if backend.state is State.READY:
                if self.copies.mine is not None and key in self.copies.mine.entries:
                    self.copies.delete(key, now)
            else:
                self.copies.put(key, servers.pack_drain(seq, backend), now)
        except ValueError as fault:
            log.warning("a drain is not told to the fleet: %s", fault)

    def _reached(self, backends: Iterable[Backend]) -> dict[str, Address]:
        return {
            backend.id: self._addresses[backend.id]
            for backend in backends
            if backend.state is not State.GONE and backend.id in self._addresses
        }

    def current(self) -> None:
        """This member's own service is there, and has nothing further to say."""
        if self._listed and self.careful.seq:
            self._do(self.copies.current(now_us()))

    def _seen(self) -> dict[str, Seen]:
        """Each server as the copies have it, as long as somebody's service stands behind the list."""
        book = self.copies.listed()
        age_us = self.copies.list_age_us()
        fresh = book is not None and age_us is not None and age_us <= self.copies.settings.trust_us
        found: dict[str, Seen] = {}
        for name in self.careful.own:
            drains = []
            for _, value in self.copies.values(DRAIN + name):
                drain = servers.unpack_drain(value)
                if drain is not None:
                    drains.append(drain)
            listed, seq = None, 0
            if fresh and book is not None:
                seq = book.seq
                item = book.entries.get(name)
                listed = None if item is None or item.value is None else servers.unpack(name, item.value)
            if drains or seq > self.careful.seq:
                found[name] = Seen(seq, listed, tuple(drains))
        return found

    def _apply(self) -> None:
        """Tell the agent what follows from copies."""
        if self.careful.seq:
            changed = tuple(self.careful.changes(self._seen()))
            if changed:
                held = sum(backend.state is not State.READY for backend in changed)
                self.counts["held_back"] += held
                log.info("%d servers are held otherwise, by what others were told", len(changed))
                self._ports.update(Update(self.careful.seq, False, changed, self._reached(changed)))
            return
        book = self.copies.listed()
        # Risk: a copy that is older than the peers' would send to servers that have been told to drain since.
        if not self._listed or book is None or not self.copies.level:
            return
        backends, addresses = [], {}
        for name, item in sorted(book.entries.items()):
            backend = servers.unpack(name, item.value or b"")
            place = _place(item.hint)
            if backend is None or place is None:
                continue
            drains = [servers.unpack_drain(value) for _, value in self.copies.values(DRAIN + name)]
            if any(
                drain is not None and drain.seq > book.seq and drain.started_us >= backend.started_us
                for drain in drains
            ):
                backend = backend._replace(state=State.DRAINING)
            backends.append(backend)
            addresses[name] = place
        if not self.by_copy:
            age_us = self.copies.list_age_us()
            age = "of unknown age" if age_us is None else f"confirmed {age_us / 1e6:.1f} s ago"
            log.warning(
                "serving by the fleet's copy of the list, %s: the list service has not spoken; %d servers",
                age, len(backends),
            )  # fmt: skip
        self.by_copy = True
        self._ports.update(Update(book.seq - 1, True, tuple(backends), addresses))

    # Now and then

    def beat(self) -> None:
        """End books of members that the view has forgotten, and entries on drains that are of no use."""
        now = now_us()
        known = self._ports.known()
        for owner in self.copies.owners():
            if owner in known or owner == self.copies.list_owner:
                self._forgotten.pop(owner, None)
            elif now - self._forgotten.setdefault(owner, now) > self.copies.settings.keep_us:
                del self._forgotten[owner]
                self._do(self.copies.retire(owner, now))
        mine = self.copies.mine
        for key in [] if mine is None else [key for key in mine.entries if key.startswith(DRAIN)]:
            name = key[len(DRAIN) :]
            if name in self.careful.own:
                self._unlisted.pop(name, None)
            elif now - self._unlisted.setdefault(name, now) > DRAIN_KEPT_US:
                del self._unlisted[name]
                self.copies.delete(key, now)
        self._stale = bool(self.careful.seq)
        self._do(self.copies._take())

    def figures(self) -> dict[str, Any]:
        """For `ctl status`: how far it is, and what it found."""
        copies = self.copies
        age_us = copies.list_age_us()
        book = copies.listed()
        return {
            "level": copies.level, "behind": copies.behind, "digest": copies.digest(),
            "books": len(copies.books), "entries": sum(len(item.entries) for item in copies.books.values()),
            "forked": {owner: list(at) for owner, at in copies.forks.items()}, "era": copies.era,
            "list": None if book is None else [book.id.epoch, book.seq - 1],
            "list_age_ms": None if age_us is None else age_us // 1_000, "by_copy": self.by_copy,
            "waiting_for_disk": len(self._queue), "fault": self.fault,
            **self.counts, **asdict(copies.figures),
        }  # fmt: skip


def _ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("keeping copies failed", exc_info=task.exception())


def _hint(address: Address | None) -> bytes:
    return b"" if address is None else "{}:{}".format(*address).encode()


def _place(hint: bytes) -> Address | None:
    try:
        return parse_address(hint.decode())
    except (Malformed, UnicodeDecodeError):
        return None
