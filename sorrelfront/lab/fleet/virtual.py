"""Many members' views in one process, on a network and a clock that are only numbers.

The code under test is the program's own (`decisions.fleet.view`); what is here stands for sockets, disks and
time. A seed gives the same run, always. Processes may be killed, started again with any disk, stopped,
starved; links may be cut each way, lose, double and delay."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.view import Action, Exchange, Keep, Send, Settings, Told, View, bound_us
from sorrelfront.decisions.fleet.words import Address, News, State, Whole, Word, encode

INBOX_MOST = 512  # datagrams that the kernel keeps for a process that does not read
SECOND = 1_000_000
Maker = Callable[[News, Settings, Random, int, tuple[Address, ...]], View]


@dataclass
class Node:
    """One process of a member, and what lasts of it on disk."""

    name: str
    address: Address
    view: View
    up: bool = True
    frozen: bool = False
    slow: float = 1.0  # times the time that a step takes: 20 for 5% of a core
    busy: bool = False
    backlog: deque[Callable[[], list[Action]]] = field(default_factory=deque)
    disk: int = 0
    timer: int = 0  # the latest timer's number: earlier ones are void
    inbox: list[Word] = field(default_factory=list)
    bytes: int = 0
    sent: int = 0


@dataclass(frozen=True, slots=True)
class Line:
    """What a viewer was told of a member, and when."""

    t: int
    viewer: str
    what: str
    name: str


def make(me: News, settings: Settings, random: Random, now: int, join: tuple[Address, ...]) -> View:
    return View(me, settings, random, now, join)


class VirtualFleet:
    """Members by name, and the events that are still to come."""

    def __init__(
        self,
        count: int,
        seed: int,
        settings: Settings,
        maker: Maker = make,
        settled: bool = False,
        sizes: bool = False,
    ) -> None:
        """`settled`: all know each other from the start. `sizes`: count bytes, which takes time."""
        self.random = Random(seed)
        self.settings = settings
        self.now = 0
        self.nodes: dict[str, Node] = {}
        self.places: dict[Address, Node] = {}
        self.lines: list[Line] = []
        self.cut: Callable[[str, str], bool] = lambda src, dst: False
        self.loss = 0.0
        self.double = 0.0
        self.latency_us = (200, 2_000)
        self.step_us = 100  # of processor time for a datagram or a timer
        self._maker = maker
        self._sizes = sizes
        self._count = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self.last_fault = 0
        self.scheduled = 0  # the latest fault that is still to come
        first = [self._address(number) for number in range(min(3, count))]
        for number in range(count):
            self.start(f"m{number:04}", self._address(number), tuple(first), 0)
        if settled:
            everybody = [node.view.me for node in self.nodes.values()]
            for node in self.nodes.values():
                node.view.seeded(everybody)

    @staticmethod
    def _address(number: int) -> Address:
        return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7_946

    # Processes

    def start(self, name: str, address: Address, join: tuple[Address, ...], disk: int, key: str = "") -> None:
        """A new process of this name. `disk`: the incarnation that its disk remembers; 0 for none. `key`:
        what it goes by here, if not its name: two processes may have one."""
        me = News(name, *address, State.ALIVE, disk + 1, self.random.getrandbits(63))
        view = self._maker(me, self.settings, Random(self.random.getrandbits(64)), self.now, join)
        node = Node(name, address, view)
        node.disk = disk
        self.nodes[key or name] = node
        self.places[address] = node
        self._do(node, view._take())
        self._arm(node)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        node.up = False
        node.timer += 1
        if self.places.get(node.address) is node:
            del self.places[node.address]
        self.fault()

    def restart(self, name: str, disk: str = "kept", address: Address | None = None) -> None:
        """`disk`: kept, none, or older (rolled back)."""
        node = self.nodes[name]
        kept = {"kept": node.disk, "none": 0, "older": max(0, node.disk - self.random.randrange(1, 200))}[
            disk
        ]
        if node.up:
            self.kill(name)
        self.start(name, address or node.address, self.joins(name), kept)
        self.fault()

    def joins(self, but: str = "") -> tuple[Address, ...]:
        """Three that a new process may join by."""
        return tuple(item.address for item in self.nodes.values() if item.up and item.name != but)[:3]

    def freeze(self, name: str, frozen: bool) -> None:
        node = self.nodes[name]
        node.frozen = frozen
        self.fault()
        if not frozen and node.up:
            waiting, node.inbox = node.inbox, []
            for word in waiting:
                self._handle(node, partial(self._hear, node, word))
            self._arm(node)

    def leave(self, name: str) -> None:
        node = self.nodes[name]
        self._do(node, node.view.leave(self.now))
        self.kill(name)

    def fault(self) -> None:
        """Something changed: the view has to settle from here on."""
        self.last_fault = self.now

    def partition(self, *groups: Iterable[str]) -> None:
        """Only members of one group reach each other. None: all do."""
        of = {name: number for number, group in enumerate(groups) for name in group}
        self.cut = (lambda src, dst: of.get(src) != of.get(dst)) if groups else (lambda src, dst: False)
        self.fault()

    # Events

    def at(self, when: int, then: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, then))

    def later(self, after: int, fault: Callable[[], None]) -> None:
        """A fault that comes after so long."""
        self.scheduled = max(self.scheduled, self.now + after)
        self.at(self.now + after, fault)

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, then = heapq.heappop(self._heap)
            then()
        self.now = until

    def _arm(self, node: Node) -> None:
        node.timer += 1
        number = node.timer

        def due() -> None:
            if node.timer == number and node.up and not node.frozen:
                self._handle(node, lambda: node.view.on_time(self.now))

        self.at(max(node.view.next_us(), self.now + 1), due)

    def _handle(self, node: Node, step: Callable[[], list[Action]]) -> None:
        """Have the process take a step, once it gets to it."""
        if node.slow > 1.0 or node.backlog:
            if len(node.backlog) < INBOX_MOST:  # the kernel drops what comes beyond
                node.backlog.append(step)
            if not node.busy:
                node.busy = True
                self.at(self.now + int(self.step_us * node.slow), partial(self._work, node))
            return
        self._do(node, step())
        self._arm(node)

    def _work(self, node: Node) -> None:
        """A starved process takes its next step; one that is starved no more takes all that wait."""
        node.busy = False
        while node.backlog:
            step = node.backlog.popleft()
            if node.up and not node.frozen:
                self._do(node, step())
                self._arm(node)
            if node.slow > 1.0:
                break
        if node.backlog and not node.busy:
            node.busy = True
            self.at(self.now + int(self.step_us * node.slow), partial(self._work, node))

    def _do(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, word):
                    if self._sizes:
                        node.bytes += len(encode(word)) + 28 + 19  # UDP, IPv4 and the carrier's own
                    node.sent += 1
                    for _ in range(2 if self.double and self.random.random() < self.double else 1):
                        if not self.loss or self.random.random() >= self.loss:
                            self.at(self.now + self._latency(), partial(self._come, node.name, to, word))
                case Exchange(to):
                    self.at(self.now + self._latency(), partial(self._exchange, node, to))
                case Keep(incarnation):
                    node.disk = incarnation
                case Told(what, name, _, _, _):
                    self.lines.append(Line(self.now, node.name, what, name))

    def _hear(self, node: Node, word: Word) -> list[Action]:
        return node.view.on_word(word, self.now)

    def _latency(self) -> int:
        return self.random.randint(*self.latency_us)

    def _come(self, src: str, to: Address, word: Word) -> None:
        node = self.places.get(to)
        if node is None or not node.up or self.cut(src, node.name):
            return
        if node.frozen:
            if len(node.inbox) < INBOX_MOST:
                node.inbox.append(word)
            return
        self._handle(node, partial(self._hear, node, word))

    def _exchange(self, node: Node, to: Address) -> None:
        """A connection takes both ways, and a process that answers."""
        other = self.places.get(to)
        if other is None or not other.up or other.frozen or not node.up or node.frozen or other is node:
            return
        if self.cut(node.name, other.name) or self.cut(other.name, node.name):
            return
        asked = node.view.whole()
        self._handle(other, lambda: other.view.on_whole(asked, self.now))
        answer: Whole = other.view.whole(reply=True)

        def back() -> None:
            if node.up and not node.frozen:
                self._handle(node, lambda: node.view.on_whole(answer, self.now))

        self.at(self.now + self._latency(), back)

    # Verdict

    def _members(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.up and not node.view.back]

    def living(self) -> list[str]:
        return sorted({node.name for node in self._members()})

    def wrong(self) -> list[str]:
        """Living members whose view is not exactly the living ones."""
        living = self.living()
        found = [node.name for node in self._members() if node.view.alive() != living]
        return found or (["two under one name"] if len(living) < len(self._members()) else [])

    def settle(self, step_us: int = SECOND // 10, awake: bool = False) -> int | None:
        """Run until all views are right; how long after the last fault in microseconds, or None if the bound
        that the note derives passes before."""
        until = self.last_fault + bound_us(self.settings, len(self.nodes), awake)
        while self.wrong():
            if self.now >= until:
                return None
            self.run(self.now + step_us)
        return max(0, self.now - self.last_fault)
