"""Simulate the replicated copies of many members in one process, with faults drawn from a seed.

The network, the disks and the clock are virtual. The code under test is the program's own
(`decisions.fleet.replicas`). The checker requires:

- After the last fault all live members have the same digest within `bound_us` and are in sync.
- An entry that was confirmed to its owner as kept at two hosts, and was not changed since, is neither lost
  nor, if it was deleted, restored, even if one host loses its disk.
- The copy of the server list equals what the list service returns.
- A book that has ended stays ended.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.replicas import (
    LIST_PREFIX,
    MAX_FETCH_TRIES,
    SUPERSEDED_PREFIX,
    Action,
    CaughtUp,
    Change,
    Durable,
    Forked,
    Message,
    Replica,
    ReplicaStore,
    Send,
    Settings,
    Version,
    Write,
    decode,
    encode,
    host_of,
)

SECOND = 1_000_000
FAST = Settings(
    compare_us=200_000, push_us=20_000, fetch_us=300_000, alone_us=500_000, keep_us=20 * SECOND,
    send_bytes_s=512 * 1024, list_trust_us=8 * SECOND,
)  # fmt: skip
REPLICA_HOSTS = 2  # number of hosts that hold an entry before it is confirmed as kept

CopiesFactory = Callable[..., ReplicaStore]


def bound_us(settings: Settings, members: int) -> int:
    """Return the time after the last fault within which connected live members share one digest.

    It is the sum, in microseconds, of the time until a lone member begins its book, the time until a fetch
    from a dead member is abandoned, and the comparisons that an epidemic takes to reach all members:
    2 log2 n, plus 15 so that the chance of missing a member is one in a million. Each comparison takes up to
    one and a half times its interval and one fetch.
    """
    rounds = 2 * math.ceil(math.log2(max(2, members))) + 15
    return (
        4 * settings.alone_us + MAX_FETCH_TRIES * settings.fetch_us
        + rounds * (3 * settings.compare_us // 2 + 2 * settings.push_us)
    )  # fmt: skip


@dataclass
class Disk:
    """The changes that are durable, and an earlier state that the disk can be rolled back to."""

    durable: list[Change] = field(default_factory=list)
    earlier: list[Change] = field(default_factory=list)


@dataclass
class Node:
    """A process of a member, with its disk and its timer."""

    key: str  # identifies the process; two processes may have the same name
    name: str
    copies: ReplicaStore
    disk: Disk
    up: bool = True
    timer: int = 0
    frozen: bool = False
    inbox: list[tuple[str, Message]] = field(default_factory=list)
    in_sync: bool = False
    disk_at: int = 0  # when the last queued write is durable


@dataclass
class Confirmed:
    """The entries of an owner's book that were confirmed to it as kept and not changed since.

    The value is None for a confirmed deletion.
    """

    values: dict[str, bytes | None] = field(default_factory=dict)


class Registry:
    """The list service: its servers and the sequence number of its state."""

    def __init__(self) -> None:
        self.seq = 1
        self.servers: dict[str, tuple[bytes, bytes]] = {f"s{number}": (b"0ready", b"") for number in range(6)}

    def change(self, random: Random) -> None:
        """Remove a random server, or add or update it, under the next sequence number."""
        self.seq += 1
        name = f"s{random.randrange(12)}"
        if name in self.servers and random.random() < 0.5:
            del self.servers[name]
        else:
            self.servers[name] = (random.choice((b"0ready", b"1draining")), b"")


class Fleet:
    """Members by name on a virtual network, with the faults in effect and the events still to come."""

    def __init__(
        self, count: int, seed: int, settings: Settings = FAST, make: CopiesFactory = ReplicaStore
    ) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.make = make
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.registry = Registry()
        self.forked_registry = Registry()
        self.forked_hosts: set[str] = set()  # hosts whose service has other contents under the same sequence
        self.loss = 0.0
        self.disk_us = (200, 30_000)
        self.partition: dict[str, int] = {}  # side of the partition, by host
        self.registry_down: set[str] = set()  # hosts that cannot reach their list service
        self.confirmed: dict[str, Confirmed] = {}
        self.damaged: set[str] = set()  # hosts whose disks lost data
        self.removed: set[str] = set()  # members that were removed for good
        self.breaches: list[str] = []
        self.sent: Counter[tuple[str, str]] = Counter()  # bytes, by sender and recipient
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        for number in range(count):
            self.start(f"h{number}/i0")

    # Processes

    def start(self, name: str, disk: Disk | None = None, key: str = "") -> None:
        """Start a process of this name, with this disk or an empty one.

        `key` identifies the process if another one has the same name.
        """
        disk = disk or Disk()
        random = Random(self.random.getrandbits(64))
        copies = self.make(name, self.settings, random, self.now, list(disk.durable), "reg", merge=max)
        node = self.nodes[key or name] = Node(key or name, name, copies, disk)
        self.perform(node, copies._take_actions())
        self.perform(node, copies.require_hosts(REPLICA_HOSTS, self.now))
        self.arm(node)
        self.at(self.now + self.random.randrange(100_000), lambda: self.poll_registry(node))

    def kill(self, key: str) -> None:
        """Stop the process at once and void its timer."""
        node = self.nodes[key]
        node.up = False
        node.timer += 1

    def restart(self, key: str, disk: str = "kept") -> None:
        """Restart the process.

        `disk` is its disk's state: "kept", "none" (empty), "older" (rolled back) or "torn" (the latest
        changes are lost).
        """
        node = self.nodes[key]
        if node.up:
            self.kill(key)
        if disk != "kept":
            self.damaged.add(host_of(node.name))
        if disk == "none":
            node.disk = Disk()
        elif disk == "older":
            node.disk = Disk(list(node.disk.earlier))
        elif disk == "torn":
            length = len(node.disk.durable)
            node.disk = Disk(node.disk.durable[: self.random.randint(length // 2, length)], node.disk.earlier)
        self.start(node.name, node.disk, key)

    def reaches(self, one: Node, other: Node) -> bool:
        """Return whether both are on the same side of the partition."""
        return self.partition.get(host_of(one.name)) == self.partition.get(host_of(other.name))

    def up(self) -> list[Node]:
        """Return the processes that run, frozen ones included."""
        return [node for node in self.nodes.values() if node.up]

    # Events

    def at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at this time (microseconds), or now if it has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, callback))

    def run(self, until: int) -> None:
        """Run all events up to this time (microseconds)."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until

    def arm(self, node: Node) -> None:
        """Set the node's timer to its next deadline; earlier timers become void."""
        node.timer += 1
        number = node.timer

        def due() -> None:
            if node.timer == number and node.up and not node.frozen:
                peers = [other.name for other in self.up() if self.reaches(node, other)]
                self.perform(node, node.copies.on_timer(self.now, peers))
                self.arm(node)

        self.at(max(node.copies.next_us(), self.now + 1), due)

    def perform(self, node: Node, actions: list[Action]) -> None:
        """Carry out the actions that the node's decisions returned."""
        for action in actions:
            match action:
                case Send(to, message):
                    self.send(node, to, message)
                case Write(number, change):
                    # Writes complete one after the other, as the program's own writer does them.
                    node.disk_at = max(self.now, node.disk_at) + self.random.randint(*self.disk_us)
                    self.at(node.disk_at, partial(self.complete_write, node, number, change))
                case Durable(seq, _):
                    self.record_kept(node, seq)
                case CaughtUp():
                    node.in_sync = True
                case Forked():
                    pass

    def complete_write(self, node: Node, number: int, change: Change) -> None:
        """Make the change durable and, unless the node is frozen, report it to the node."""
        if not node.up:
            return
        node.disk.durable.append(change)
        if node.frozen:
            return
        self.perform(node, node.copies.on_written(number, self.now))
        self.arm(node)

    def send(self, node: Node, to: str, message: Message) -> None:
        """Send the message to all other processes of this name, each time with loss and latency."""
        data = encode(message)
        self.sent[node.name, to] += len(data)
        for other in self.up():
            if other.name == to and other is not node and self.random.random() >= self.loss:
                latency = self.random.randint(200, 3_000)
                self.at(self.now + latency, partial(self.deliver, node, other, data))

    def deliver(self, src: Node, node: Node, data: bytes) -> None:
        """Deliver a message, or queue it if the node is frozen; drop it across a partition."""
        if not node.up or not self.reaches(src, node):
            return
        message = decode(data)
        if node.frozen:
            node.inbox.append((src.name, message))
            return
        self.perform(node, node.copies.on_message(src.name, message, self.now))
        self.arm(node)

    def freeze(self, key: str, on: bool) -> None:
        """Suspend or resume the process; on resuming it handles its first 64 queued messages."""
        node = self.nodes[key]
        node.frozen = on
        if not on and node.up:
            waiting, node.inbox = node.inbox, []
            for sender, message in waiting[:64]:
                self.perform(node, node.copies.on_message(sender, message, self.now))
            self.arm(node)

    def poll_registry(self, node: Node) -> None:
        """Report the list service's state to the node if it is reachable, and schedule the next poll."""
        if not node.up or self.nodes.get(node.key) is not node:
            return
        if host_of(node.name) not in self.registry_down and not node.frozen:
            copies = node.copies
            registry = self.forked_registry if host_of(node.name) in self.forked_hosts else self.registry
            if copies._own_list_seq != registry.seq or self.forked_hosts:
                actions = copies.on_list(registry.seq, True, registry.servers, self.now)
            else:
                actions = copies.on_list_unchanged(self.now)
            self.perform(node, actions)
            self.arm(node)
        self.at(self.now + self.random.randint(50_000, 400_000), lambda: self.poll_registry(node))

    # What members do

    def change(self, node: Node) -> None:
        """Have an owner put or delete one of its own entries."""
        if node.frozen:
            return
        key = f"k{self.random.randrange(8)}"
        value = None if self.random.random() < 0.3 else b"%d" % self.random.randrange(10**6)
        confirmed = self.confirmed.setdefault(node.name, Confirmed())
        confirmed.values.pop(key, None)
        if value is None:
            node.copies.delete(key, self.now)
        else:
            node.copies.put(key, value, self.now)
        self.perform(node, node.copies._take_actions())
        self.arm(node)

    def record_kept(self, node: Node, seq: int) -> None:
        """Record the entries up to this sequence number as confirmed to their owner."""
        mine = node.copies.own_replica
        if mine is None or node.key != node.name:
            return  # what a clone confirms is not the owner's latest state
        confirmed = self.confirmed.setdefault(node.name, Confirmed())
        for number in range(8):
            key = f"k{number}"
            item = mine.entries.get(key)
            if item is not None and item.seq <= seq:
                confirmed.values[key] = item.value
            elif item is None and key in mine.tombstones and mine.tombstones[key].seq <= seq:
                confirmed.values[key] = None

    # Verdict

    def unsettled_reason(self) -> str:
        """Return why the fleet has not settled; empty if it has."""
        nodes = self.up()
        digests = {node.copies.digest() for node in nodes}
        if len(digests) > 1:
            return f"{len(digests)} digests at {len(nodes)} members"
        unlevel = [node.key for node in nodes if not node.copies.caught_up]
        return f"{unlevel[0]} is not in sync" if unlevel and len(nodes) > 1 else ""

    def settle(self) -> int | None:
        """Run until all share one digest and are in sync; return the microseconds, or None past the bound."""
        began = self.now
        bound = bound_us(self.settings, len(self.nodes))
        while self.unsettled_reason():
            if self.now - began > bound:
                return None
            self.run(self.now + 50_000)
        return self.now - began

    def check(self) -> list[str]:
        """Return the violations: lost or restored entries, ended books that are back, wrong lists."""
        violations = list(self.breaches)
        for owner, confirmed in self.confirmed.items():
            if owner in self.removed:
                continue
            for key, value in confirmed.values.items():
                for node in self.up():
                    held = {stored for id, stored in node.copies.values(key) if id.owner == owner}
                    if held != (set() if value is None else {value}):
                        violations.append(
                            f"{node.key} has {held} for {owner} {key}, confirmed as kept was {value!r}"
                        )
                        break
        for owner in self.removed:
            for node in self.up():
                if owner in node.copies.owners():
                    violations.append(f"{node.key} has a book of {owner}, which was removed for good")
        connected = [node for node in self.up() if host_of(node.name) not in self.registry_down]
        for node in self.up() if connected else []:
            book = node.copies.list_replica()
            listed = {} if book is None else {key: item.value for key, item in book.entries.items()}
            if listed != {key: value for key, (value, _) in self.registry.servers.items()}:
                violations.append(f"{node.key} has a list that differs from the service's")
        return violations


def run_seed(
    seed: int, members: int = 0, make: CopiesFactory = ReplicaStore, settings: Settings = FAST
) -> tuple[list[str], Fleet]:
    """Run a fleet through six to twelve faults from the seed; return the violations and the fleet."""
    random = Random(seed ^ 0xC0)
    fleet = Fleet(members or random.choice((3, 3, 4, 5, 7)), seed, settings, make)
    fleet.run(2 * SECOND)
    for node in fleet.nodes.values():
        node.disk.earlier = list(node.disk.durable)
    victim = random.choice(list(fleet.nodes))  # the only host whose disk may lose data
    for _ in range(random.randint(6, 12)):
        for _ in range(random.randint(0, 6)):
            nodes = [node for node in fleet.up() if node.key == node.name]
            if nodes:
                fleet.change(random.choice(nodes))
            fleet.run(fleet.now + random.randint(1_000, 200_000))
        if random.random() < 0.5:
            fleet.registry.change(random)
        fault(fleet, random, victim)
        fleet.run(fleet.now + random.randint(10_000, 2 * SECOND))
    heal(fleet)
    violations = (
        _fork_list(fleet, random) if seed % 3 == 0 else _end_replica(fleet, random) if seed % 3 == 1 else []
    )
    if violations:
        return violations, fleet
    settle_us = fleet.settle()
    if settle_us is None:
        return [f"not settled: {fleet.unsettled_reason()}", *fleet.check()], fleet
    fleet.run(fleet.now + 2 * SECOND)
    if fleet.settle() is None:
        return [f"settled and then diverged: {fleet.unsettled_reason()}"], fleet
    return fleet.check(), fleet


def _fork_list(fleet: Fleet, random: Random) -> list[str]:
    """Give half of the hosts a list service that was restored from a backup and diverged.

    There are then two contents under one sequence number. All members must settle on one list, in which a
    server is ready only if both services say so. After the service's next change they must settle on that.
    """
    fleet.settle()
    names = sorted(fleet.nodes)
    fleet.forked_hosts = {host_of(name) for name in names[: len(names) // 2]}
    fleet.forked_registry.seq = fleet.registry.seq = fleet.registry.seq + 1
    fleet.forked_registry.servers = dict(fleet.registry.servers)
    fleet.forked_registry.servers["s1"] = (b"1draining", b"")
    fleet.registry.servers["s2"] = (b"1draining", b"")
    fleet.forked_registry.servers.pop("s3", None)
    fleet.run(fleet.now + 2 * SECOND)
    if fleet.settle() is None:
        return [f"fork: {fleet.unsettled_reason()}"]
    before = {node.copies.digest() for node in fleet.up()}
    fleet.run(fleet.now + 2 * SECOND)
    if {node.copies.digest() for node in fleet.up()} != before:
        return ["fork: settled and then diverged"]
    stored = [node.copies.list_replica() for node in fleet.up()]
    wrongly_ready = [
        name
        for book in stored
        for name in ("s1", "s2", "s3")
        if book is not None and name in book.entries and book.entries[name].value == b"0ready"
    ]
    if wrongly_ready:
        return [f"fork: {wrongly_ready[0]} is ready, but one of the services says it is not"]
    fleet.forked_hosts = set()
    fleet.registry.change(random)
    return []


def _end_replica(fleet: Fleet, random: Random) -> list[str]:
    """Remove a member for good and end its book, while another member is down.

    The other member restarts with the ended book on its disk, in half of the cases after the tombstone has
    expired at the others.
    """
    fleet.settle()
    names = [node.name for node in fleet.up() if node.key == node.name]
    removed, away = random.sample(names, 2)
    fleet.kill(away)
    fleet.kill(removed)
    fleet.removed.add(removed)
    fleet.run(fleet.now + 3 * SECOND)
    for node in fleet.up():
        fleet.perform(node, node.copies.retire(removed, fleet.now))
        fleet.arm(node)
    longer = random.random() < 0.5
    fleet.run(fleet.now + (3 * fleet.settings.keep_us if longer else fleet.settings.keep_us // 2))
    fleet.restart(away)
    return []


def toggle_clone(fleet: Fleet, node: Node) -> None:
    """Start a clone of a host with the same name and a copy of its disk; remove it if it runs."""
    key = f"{node.key}'"
    if key in fleet.nodes and fleet.nodes[key].up:
        fleet.kill(key)
        fleet.nodes.pop(key)
    elif key not in fleet.nodes:
        fleet.start(node.name, Disk(list(node.disk.durable), list(node.disk.earlier)), key)


def fault(fleet: Fleet, random: Random, victim: str) -> None:
    """Inject one random fault, or end one; only the victim's disk may lose data."""
    up = fleet.up()
    down = [node for node in fleet.nodes.values() if not node.up and node.name not in fleet.removed]
    match random.randrange(11):
        case 0 | 1 if len(up) > 1:
            fleet.kill(random.choice(up).key)
        case 2 | 3 if down:
            node = random.choice(down)
            loses_data = node.key == victim and random.random() < 0.7
            fleet.restart(node.key, random.choice(("none", "older", "torn")) if loses_data else "kept")
        case 4:
            hosts = [host_of(name) for name in fleet.nodes]
            fleet.partition = {host: random.randrange(2) for host in hosts}
        case 5:
            fleet.partition = {}
        case 6 if up:
            fleet.loss = random.choice((0.0, 0.1, 0.3))
        case 7 if up:
            node = random.choice(up)
            fleet.freeze(node.key, not node.frozen)
        case 8:
            fleet.registry_down = {host_of(name) for name in fleet.nodes if random.random() < 0.5}
        case 10 if up and up[0].key == up[0].name:
            toggle_clone(fleet, up[0])
        case 9 if len(fleet.damaged) == 0 or victim in fleet.damaged:
            for node in up:  # power failure: all stop at once and restart
                fleet.kill(node.key)
            for node in up:
                fleet.restart(node.key)


def heal(fleet: Fleet) -> None:
    """End all faults: remove clones, resume frozen members and restart dead ones."""
    fleet.partition, fleet.loss, fleet.registry_down = {}, 0.0, set()
    for node in list(fleet.nodes.values()):
        if node.key != node.name:  # the membership view makes a clone step back
            fleet.kill(node.key)
            del fleet.nodes[node.key]
            continue
        if node.frozen:
            fleet.freeze(node.key, False)
        if not node.up and node.name not in fleet.removed:
            fleet.restart(node.key)


class _ForgetsDeletions(ReplicaStore):
    """Plant a defect: the end of a book leaves no tombstone."""

    def _retire(self, owner: str, epoch: int) -> None:
        super()._retire(owner, epoch)
        self.owner_tombstones.pop(owner, None)


class _LastArrivalWins(ReplicaStore):
    """Plant a defect: of two contents under one state the last to arrive wins."""

    def _merge_contents(self, known: Replica, other: Replica) -> Replica:
        return other


class _ConfirmsTooSoon(ReplicaStore):
    """Plant a defect: confirm other members' entries before they are on disk."""

    def _on_persist_request(self, sender: str, row: Version) -> None:
        self._unwritten.pop(row.id, None)
        super()._on_persist_request(sender, row)


DEFECTS: dict[str, CopiesFactory] = {
    "": ReplicaStore, "forgets-deletions": _ForgetsDeletions, "last-comer": _LastArrivalWins,
    "too-soon": _ConfirmsTooSoon,
}  # fmt: skip

__all__ = ["DEFECTS", "FAST", "LIST_PREFIX", "SUPERSEDED_PREFIX", "Fleet", "bound_us", "run_seed"]
