"""Storms on a fleet in memory: faults drawn from a seed, and a checker of what the view promises.

Kinds are drawn evenly; times, lengths and victims as `play` states them. The checker holds the fleet to the
bound of the design note after the last fault, and, meanwhile, to this: no member that is up, awake and
reachable both ways is held dead by another such member for longer than that bound."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.view import Settings, bound_us
from sorrelfront.decisions.fleet.words import State
from sorrelfront.lab.fleet.virtual import SECOND, Maker, Node, VirtualFleet, make

FAST = Settings(
    interval_us=200_000, timeout_us=100_000, gossip_us=50_000, exchange_us=5_000_000, recall_us=500_000,
    keep_us=600_000_000,
)  # fmt: skip
JOIN = 3  # members that all others join by
LOOK_US = SECOND // 2  # between two looks of the checker

Fault = Callable[[VirtualFleet, Random], Callable[[], None] | None]


def _some(fleet: VirtualFleet, random: Random, share: float) -> list[str]:
    living = fleet.living()
    return random.sample(living, min(len(living), max(1, int(len(living) * share))))


def crash_half(fleet: VirtualFleet, random: Random) -> None:
    for name in _some(fleet, random, 0.5):
        fleet.kill(name)


def crash_all_but_one(fleet: VirtualFleet, random: Random) -> None:
    for name in fleet.living()[1:]:
        fleet.kill(name)


def crash_one(fleet: VirtualFleet, random: Random) -> None:
    if len(fleet.living()) > 2:
        fleet.kill(random.choice(fleet.living()))


def leave_one(fleet: VirtualFleet, random: Random) -> None:
    if len(fleet.living()) > 2:
        fleet.leave(random.choice(fleet.living()))


def replace_some(fleet: VirtualFleet, random: Random) -> None:
    """Three in ten are killed and back within seconds, under the same names."""
    for name in _some(fleet, random, 0.3):
        fleet.kill(name)
        disk = random.choice(("kept", "none", "older"))
        fleet.later(random.randrange(50_000, 3 * SECOND), partial(_back, fleet, name, disk))


def move_some(fleet: VirtualFleet, random: Random) -> None:
    """The same under other addresses."""
    for name in _some(fleet, random, 0.3):
        fleet.kill(name)
        address = (f"10.77.{random.randrange(256)}.{random.randrange(256)}", random.randrange(1_024, 65_000))
        disk = random.choice(("kept", "none", "older"))
        fleet.later(random.randrange(50_000, 3 * SECOND), partial(_back, fleet, name, disk, address))


def _back(fleet: VirtualFleet, name: str, disk: str, address: tuple[str, int] | None = None) -> None:
    if not fleet.nodes[name].up and (address or fleet.nodes[name].address) not in fleet.places:
        fleet.restart(name, disk, address)


def restart_dead(fleet: VirtualFleet, random: Random) -> None:
    for node in [node for node in fleet.nodes.values() if not node.up]:
        _back(fleet, node.name, random.choice(("kept", "none", "older")))


def _groups(fleet: VirtualFleet, random: Random, count: int) -> list[list[str]]:
    names = list(fleet.nodes)
    random.shuffle(names)
    return [names[number::count] for number in range(count)]


def halves(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    fleet.partition(*_groups(fleet, random, 2))
    return lambda: fleet.partition()


def thirds(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    fleet.partition(*_groups(fleet, random, 3))
    return lambda: fleet.partition()


def one_way(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Half of them are not heard by the others, and hear them."""
    mute = set(_groups(fleet, random, 2)[0])
    fleet.cut = lambda src, dst: src in mute and dst not in mute
    fleet.fault()
    return lambda: fleet.partition()


def unheard(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """One hears and is not heard."""
    one = random.choice(list(fleet.nodes))
    fleet.cut = lambda src, dst: src == one
    fleet.fault()
    return lambda: fleet.partition()


def ring(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Each reaches its two neighbours only."""
    place = {name: number for number, name in enumerate(fleet.nodes)}
    count = len(place)
    fleet.cut = lambda src, dst: (place.get(src, 0) - place.get(dst, 0)) % count not in (0, 1, count - 1)
    fleet.fault()
    return lambda: fleet.partition()


def flapping(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """In halves, healed and cut again every second."""
    groups = _groups(fleet, random, 2)
    for second in range(0, 20, 2):
        fleet.later(second * SECOND, lambda: fleet.partition(*groups))
        fleet.later((second + 1) * SECOND, lambda: fleet.partition())
    fleet.later(20 * SECOND, lambda: fleet.partition())
    return lambda: fleet.partition()


def joins_on_both_sides(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    groups = _groups(fleet, random, 2)
    number = len(fleet.nodes)
    for side, group in enumerate(groups):
        name = f"j{number:03}{side}"
        near = next((fleet.nodes[item].address for item in group if fleet.nodes[item].up), None)
        if near is not None:
            fleet.start(name, (f"10.88.{number % 256}.{side + 1}", 7_946), (near,), 0)
            group.append(name)
    fleet.partition(*groups)
    return lambda: fleet.partition()


def stopped(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    names = _some(fleet, random, 0.2)
    for name in names:
        fleet.freeze(name, True)

    def over() -> None:
        for name in names:
            if fleet.nodes[name].up and fleet.nodes[name].frozen:
                fleet.freeze(name, False)

    return over


def starved(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """At 5% of a core, where a step takes 2 ms of a whole one."""
    names = _some(fleet, random, 0.2)
    for name in names:
        fleet.nodes[name].slow = 400.0

    def over() -> None:
        for node in fleet.nodes.values():
            node.slow = 1.0
        fleet.fault()

    return over


def twin(fleet: VirtualFleet, random: Random) -> None:
    """A second process by the name of one that lives, at another address, with no disk."""
    name = random.choice(fleet.living() or list(fleet.nodes))
    place = (f"10.99.{random.randrange(256)}.{random.randrange(256)}", 7_946)
    fleet.start(name, place, fleet.joins(), 0, key=f"{name}~{fleet.now}")
    fleet.fault()


def lossy(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    fleet.loss, fleet.double = 0.3, 0.1

    def over() -> None:
        fleet.loss = fleet.double = 0.0
        fleet.fault()

    return over


FAULTS: tuple[Fault, ...] = (
    crash_half, crash_all_but_one, crash_one, leave_one, replace_some, move_some, restart_dead, halves,
    thirds, one_way, unheard, ring, flapping, joins_on_both_sides, stopped, starved, lossy, twin,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Result:
    """How one seed went. `why` is empty if all held."""

    seed: int
    members: int
    faults: tuple[str, ...]
    settled_us: int
    why: str


class Checker:
    """Follows who holds whom for dead."""

    def __init__(self, fleet: VirtualFleet, members: int) -> None:
        self._fleet = fleet
        self._bound = bound_us(fleet.settings, members, awake=False)
        self._since: dict[tuple[str, str], int] = {}
        self.why = ""

    def look(self) -> None:
        fleet = self._fleet
        if fleet.loss:
            self._since.clear()
            return
        sound = [node for node in fleet.nodes.values() if node.up and not node.frozen and node.slow == 1.0]
        seen: dict[tuple[str, str], int] = {}
        for viewer in sound:
            if viewer.view.back:
                continue
            for other in sound:
                if other is not viewer and not other.view.back and self._holds_dead(viewer, other):
                    key = (viewer.name, other.name)
                    seen[key] = self._since.get(key, fleet.now)
                    if fleet.now - max(seen[key], fleet.last_fault) > self._bound and not self.why:
                        self.why = f"{viewer.name} held {other.name} for dead past the bound"
        self._since = seen

    def _holds_dead(self, viewer: Node, other: Node) -> bool:
        news = viewer.view.members.get(other.name)
        if news is None or news.state < State.DEAD:
            return False
        cut = self._fleet.cut
        return not cut(viewer.name, other.name) and not cut(other.name, viewer.name)


def play(seed: int, maker: Maker = make, settings: Settings = FAST, most: int = 24) -> Result:
    """One seed: 3 to `most` members that start within a second, two to five faults, each for 0.5 to 15 s; the
    end of one and the next may overlap by half a second. Then everything is healed and has to settle."""
    random = Random(seed)
    count = random.randrange(3, most + 1)
    fleet = VirtualFleet(count, seed, settings, maker)
    checker = Checker(fleet, most + 8)
    names = []
    fleet.run(random.randrange(0, 3 * SECOND))
    for _ in range(random.randrange(2, 6)):
        fault = random.choice(FAULTS)
        names.append(fault.__name__)
        over = fault(fleet, random)
        until = fleet.now + random.randrange(SECOND // 2, 15 * SECOND)
        while fleet.now < until:
            fleet.run(min(until, fleet.now + LOOK_US))
            checker.look()
        if over is not None:
            over()
        if random.random() < 0.5:
            fleet.run(fleet.now + random.randrange(SECOND // 2))
    if fleet.scheduled > fleet.now:
        fleet.run(fleet.scheduled)
    fleet.partition()
    first = list(fleet.nodes)[:JOIN]
    if not any(fleet.nodes[name].up for name in first):
        # Who knew nobody when all its addresses to join by died cannot find anybody: one comes back.
        fleet.restart(first[0])
    took = fleet.settle()
    why = checker.why
    if took is None:
        wrong = fleet.wrong()[0]
        why = f"{wrong}: not the {len(fleet.living())} living ones after the bound"
    return Result(seed, count, tuple(names), took or 0, why)


def sick(seed: int, maker: Maker = make, settings: Settings = FAST, count: int = 12) -> list[str]:
    """A fleet in which one member is starved, one is stopped for 10 s and let go on, and links lose 10% for
    20 s: members that were declared dead while they were well."""
    fleet = VirtualFleet(count, seed, settings, maker, settled=True)
    names = list(fleet.nodes)
    ill = set(names[:2])
    fleet.nodes[names[0]].slow = 400.0
    fleet.freeze(names[1], True)
    fleet.loss, fleet.double = 0.1, 0.1
    fleet.run(10 * SECOND)
    fleet.freeze(names[1], False)
    fleet.run(20 * SECOND)
    return sorted({line.name for line in fleet.lines if line.what == "died"} - ill)
