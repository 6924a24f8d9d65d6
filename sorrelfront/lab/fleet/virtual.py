"""Simulate many members' views in one process, on a virtual network and clock.

The code under test is the program's own (`decisions.fleet.view`); this module replaces sockets, disks and
time. A seed always gives the same run. Processes may be killed, restarted with any disk, suspended or
starved. Links may be cut in either direction, and may lose, duplicate and delay datagrams.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.messages import Address, FullState, MemberUpdate, Message, State, encode
from sorrelfront.decisions.fleet.view import (
    Action,
    MemberEvent,
    PersistIncarnation,
    PushPull,
    Send,
    Settings,
    View,
    convergence_bound_us,
)

MAX_INBOX = 512  # datagrams that the kernel queues for a process that does not read
SECOND = 1_000_000
ViewFactory = Callable[[MemberUpdate, Settings, Random, int, tuple[Address, ...]], View]


@dataclass
class Node:
    """A process of a member, and the incarnation on its disk."""

    name: str
    address: Address
    view: View
    up: bool = True
    frozen: bool = False
    slowdown: float = 1.0  # factor on the time that a step takes: 20 for 5% of a core
    busy: bool = False
    backlog: deque[Callable[[], list[Action]]] = field(default_factory=deque)
    stored_incarnation: int = 0
    timer: int = 0  # number of the latest timer; earlier ones are void
    inbox: list[Message] = field(default_factory=list)
    sent_bytes: int = 0
    sent: int = 0


@dataclass(frozen=True, slots=True)
class ViewEvent:
    """An event that a viewer's view reported about a member; `at_us` is in microseconds."""

    at_us: int
    viewer: str
    what: str
    name: str


def make_view(
    me: MemberUpdate, settings: Settings, random: Random, now: int, join: tuple[Address, ...]
) -> View:
    """Create the product's view, without a planted defect."""
    return View(me, settings, random, now, join)


class VirtualFleet:
    """Members by name, the faults in effect, and the events still to come."""

    def __init__(
        self,
        count: int,
        seed: int,
        settings: Settings,
        view_factory: ViewFactory = make_view,
        settled: bool = False,
        count_bytes: bool = False,
    ) -> None:
        """`settled`: all know each other from the start. `count_bytes`: count sent bytes, which is slow."""
        self.random = Random(seed)
        self.settings = settings
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.nodes_by_address: dict[Address, Node] = {}
        self.events: list[ViewEvent] = []
        self.cut: Callable[[str, str], bool] = lambda src, dst: False
        self.loss = 0.0
        self.duplicate_rate = 0.0
        self.latency_us = (200, 2_000)
        self.step_us = 100  # processor time for a datagram or a timer
        self._view_factory = view_factory
        self._sizes = count_bytes
        self._count = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self.last_fault = 0
        self.scheduled = 0  # time of the last fault that is scheduled
        first = [self._address(number) for number in range(min(3, count))]
        for number in range(count):
            self.start(f"m{number:04}", self._address(number), tuple(first), 0)
        if settled:
            all_members = [node.view.me for node in self.nodes.values()]
            for node in self.nodes.values():
                node.view.seed_members(all_members)

    @staticmethod
    def _address(number: int) -> Address:
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7_946

    # Processes

    def start(self, name: str, address: Address, join: tuple[Address, ...], disk: int, key: str = "") -> None:
        """Start a new process of this name.

        `disk` is the incarnation that its disk holds; 0 for none. `key` identifies the process if another one
        has the same name.
        """
        me = MemberUpdate(name, *address, State.ALIVE, disk + 1, self.random.getrandbits(63))
        view = self._view_factory(me, self.settings, Random(self.random.getrandbits(64)), self.now, join)
        node = Node(name, address, view)
        node.stored_incarnation = disk
        self.nodes[key or name] = node
        self.nodes_by_address[address] = node
        self._perform(node, view._take_actions())
        self._arm(node)

    def kill(self, name: str) -> None:
        """Stop the process at once and void its timer."""
        node = self.nodes[name]
        node.up = False
        node.timer += 1
        if self.nodes_by_address.get(node.address) is node:
            del self.nodes_by_address[node.address]
        self.note_fault()

    def restart(self, name: str, disk: str = "kept", address: Address | None = None) -> None:
        """Restart the process; `disk` is "kept", "none" or "older" (rolled back)."""
        node = self.nodes[name]
        kept = {
            "kept": node.stored_incarnation,
            "none": 0,
            "older": max(0, node.stored_incarnation - self.random.randrange(1, 200)),
        }[disk]
        if node.up:
            self.kill(name)
        self.start(name, address or node.address, self.join_addresses(name), kept)
        self.note_fault()

    def join_addresses(self, exclude: str = "") -> tuple[Address, ...]:
        """Return the addresses of up to three live processes that a new one may join by."""
        return tuple(item.address for item in self.nodes.values() if item.up and item.name != exclude)[:3]

    def freeze(self, name: str, frozen: bool) -> None:
        """Suspend or resume the process; on resuming it handles its queued datagrams."""
        node = self.nodes[name]
        node.frozen = frozen
        self.note_fault()
        if not frozen and node.up:
            waiting, node.inbox = node.inbox, []
            for message in waiting:
                self._handle(node, partial(self._receive, node, message))
            self._arm(node)

    def leave(self, name: str) -> None:
        """Have the member announce that it leaves, and stop it."""
        node = self.nodes[name]
        self._perform(node, node.view.leave(self.now))
        self.kill(name)

    def note_fault(self) -> None:
        """Note a fault now: the time within which the view has to settle starts anew."""
        self.last_fault = self.now

    def partition(self, *groups: Iterable[str]) -> None:
        """Let only members of the same group reach each other; without groups all do."""
        group_of = {name: number for number, group in enumerate(groups) for name in group}
        self.cut = (
            (lambda src, dst: group_of.get(src) != group_of.get(dst)) if groups else (lambda src, dst: False)
        )
        self.note_fault()

    # Events

    def at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at this time (microseconds), or now if it has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, callback))

    def schedule_fault(self, after: int, fault: Callable[[], None]) -> None:
        """Schedule a fault after this many microseconds."""
        self.scheduled = max(self.scheduled, self.now + after)
        self.at(self.now + after, fault)

    def run(self, until: int) -> None:
        """Run all events up to this time (microseconds)."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until

    def _arm(self, node: Node) -> None:
        node.timer += 1
        number = node.timer

        def due() -> None:
            if node.timer == number and node.up and not node.frozen:
                self._handle(node, lambda: node.view.on_timer(self.now))

        self.at(max(node.view.next_timer_us(), self.now + 1), due)

    def _handle(self, node: Node, step: Callable[[], list[Action]]) -> None:
        """Have the process take a step, or queue it if the process is starved."""
        if node.slowdown > 1.0 or node.backlog:
            if len(node.backlog) < MAX_INBOX:  # the kernel drops what exceeds the queue
                node.backlog.append(step)
            if not node.busy:
                node.busy = True
                self.at(self.now + int(self.step_us * node.slowdown), partial(self._process_backlog, node))
            return
        self._perform(node, step())
        self._arm(node)

    def _process_backlog(self, node: Node) -> None:
        """Take the next queued step; a process that is no longer starved takes all of them."""
        node.busy = False
        while node.backlog:
            step = node.backlog.popleft()
            if node.up and not node.frozen:
                self._perform(node, step())
                self._arm(node)
            if node.slowdown > 1.0:
                break
        if node.backlog and not node.busy:
            node.busy = True
            self.at(self.now + int(self.step_us * node.slowdown), partial(self._process_backlog, node))

    def _perform(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    if self._sizes:
                        # 28 and 19: headers of UDP and IPv4, and the transport's own.
                        node.sent_bytes += len(encode(message)) + 28 + 19
                    node.sent += 1
                    for _ in range(
                        2 if self.duplicate_rate and self.random.random() < self.duplicate_rate else 1
                    ):
                        if not self.loss or self.random.random() >= self.loss:
                            self.at(
                                self.now + self._latency(), partial(self._deliver, node.name, to, message)
                            )
                case PushPull(to):
                    self.at(self.now + self._latency(), partial(self._exchange, node, to))
                case PersistIncarnation(incarnation):
                    node.stored_incarnation = incarnation
                case MemberEvent(what, name, _, _, _):
                    self.events.append(ViewEvent(self.now, node.name, what, name))

    def _receive(self, node: Node, message: Message) -> list[Action]:
        return node.view.on_message(message, self.now)

    def _latency(self) -> int:
        return self.random.randint(*self.latency_us)

    def _deliver(self, src: str, to: Address, message: Message) -> None:
        node = self.nodes_by_address.get(to)
        if node is None or not node.up or self.cut(src, node.name):
            return
        if node.frozen:
            if len(node.inbox) < MAX_INBOX:
                node.inbox.append(message)
            return
        self._handle(node, partial(self._receive, node, message))

    def _exchange(self, node: Node, to: Address) -> None:
        """Exchange whole states; needs both directions of the link and a peer that runs."""
        other = self.nodes_by_address.get(to)
        if other is None or not other.up or other.frozen or not node.up or node.frozen or other is node:
            return
        if self.cut(node.name, other.name) or self.cut(other.name, node.name):
            return
        asked = node.view.full_state()
        self._handle(other, lambda: other.view.on_full_state(asked, self.now))
        answer: FullState = other.view.full_state(reply=True)

        def deliver_answer() -> None:
            if node.up and not node.frozen:
                self._handle(node, lambda: node.view.on_full_state(answer, self.now))

        self.at(self.now + self._latency(), deliver_answer)

    # Checks

    def _members(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.up and not node.view.yielded]

    def living(self) -> list[str]:
        """Return the names of the live members, sorted."""
        return sorted({node.name for node in self._members()})

    def wrong_views(self) -> list[str]:
        """Return the live members whose view is not exactly the set of live members."""
        living = self.living()
        differing = [node.name for node in self._members() if node.view.alive() != living]
        return differing or (["two under one name"] if len(living) < len(self._members()) else [])

    def settle(self, step_us: int = SECOND // 10, awake: bool = False) -> int | None:
        """Run until all views are correct, in steps of `step_us`.

        Return the microseconds since the last fault, or None if the bound of the design note passes first.
        """
        until = self.last_fault + convergence_bound_us(self.settings, len(self.nodes), awake)
        while self.wrong_views():
            if self.now >= until:
                return None
            self.run(self.now + step_us)
        return max(0, self.now - self.last_fault)
