"""Inject faults drawn from a seed into a fleet in memory and check the guarantees of the membership view.

Kinds of faults are drawn evenly; `play` states the times, durations and victims. The checker requires that
the fleet settles within the bound of the design note after the last fault. Until then, no member that is up,
running and reachable both ways may be considered dead by another such member for longer than that bound.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from sorrelfront.decisions.fleet.messages import State
from sorrelfront.decisions.fleet.view import Settings, convergence_bound_us
from sorrelfront.lab.fleet.virtual import SECOND, Node, ViewFactory, VirtualFleet, make_view

FAST = Settings(
    probe_interval_us=200_000,
    probe_timeout_us=100_000,
    gossip_interval_us=50_000,
    push_pull_interval_us=5_000_000,
    reconnect_interval_us=500_000,
    dead_retention_us=600_000_000,
)
JOIN_MEMBERS = 3  # number of members that all others join by
CHECK_INTERVAL_US = SECOND // 2  # between two runs of the checker

Fault = Callable[[VirtualFleet, Random], Callable[[], None] | None]


def _sample(fleet: VirtualFleet, random: Random, share: float) -> list[str]:
    living = fleet.living()
    return random.sample(living, min(len(living), max(1, int(len(living) * share))))


def crash_half(fleet: VirtualFleet, random: Random) -> None:
    """Kill half of the members."""
    for name in _sample(fleet, random, 0.5):
        fleet.kill(name)


def crash_all_but_one(fleet: VirtualFleet, random: Random) -> None:
    """Kill all members except the first by name."""
    for name in fleet.living()[1:]:
        fleet.kill(name)


def crash_one(fleet: VirtualFleet, random: Random) -> None:
    """Kill one member if more than two are alive."""
    if len(fleet.living()) > 2:
        fleet.kill(random.choice(fleet.living()))


def leave_one(fleet: VirtualFleet, random: Random) -> None:
    """Have one member leave if more than two are alive."""
    if len(fleet.living()) > 2:
        fleet.leave(random.choice(fleet.living()))


def replace_some(fleet: VirtualFleet, random: Random) -> None:
    """Kill three in ten members and restart them within 3 s under the same names."""
    for name in _sample(fleet, random, 0.3):
        fleet.kill(name)
        disk = random.choice(("kept", "none", "older"))
        fleet.schedule_fault(random.randrange(50_000, 3 * SECOND), partial(_restart, fleet, name, disk))


def move_some(fleet: VirtualFleet, random: Random) -> None:
    """Kill three in ten members and restart them within 3 s under other addresses."""
    for name in _sample(fleet, random, 0.3):
        fleet.kill(name)
        address = (f"10.77.{random.randrange(256)}.{random.randrange(256)}", random.randrange(1_024, 65_000))
        disk = random.choice(("kept", "none", "older"))
        fleet.schedule_fault(
            random.randrange(50_000, 3 * SECOND), partial(_restart, fleet, name, disk, address)
        )


def _restart(fleet: VirtualFleet, name: str, disk: str, address: tuple[str, int] | None = None) -> None:
    if not fleet.nodes[name].up and (address or fleet.nodes[name].address) not in fleet.nodes_by_address:
        fleet.restart(name, disk, address)


def restart_dead(fleet: VirtualFleet, random: Random) -> None:
    """Restart all dead processes, each with a random state of its disk."""
    for node in [node for node in fleet.nodes.values() if not node.up]:
        _restart(fleet, node.name, random.choice(("kept", "none", "older")))


def _groups(fleet: VirtualFleet, random: Random, count: int) -> list[list[str]]:
    names = list(fleet.nodes)
    random.shuffle(names)
    return [names[number::count] for number in range(count)]


def halves(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Partition the fleet into two random groups."""
    fleet.partition(*_groups(fleet, random, 2))
    return lambda: fleet.partition()


def thirds(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Partition the fleet into three random groups."""
    fleet.partition(*_groups(fleet, random, 3))
    return lambda: fleet.partition()


def one_way(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Drop what one half sends to the other; the opposite direction works."""
    muted = set(_groups(fleet, random, 2)[0])
    fleet.cut = lambda src, dst: src in muted and dst not in muted
    fleet.note_fault()
    return lambda: fleet.partition()


def unheard(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Drop all that one member sends; it still receives."""
    one = random.choice(list(fleet.nodes))
    fleet.cut = lambda src, dst: src == one
    fleet.note_fault()
    return lambda: fleet.partition()


def ring(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Let each member reach only its two neighbours in a ring."""
    place = {name: number for number, name in enumerate(fleet.nodes)}
    count = len(place)
    fleet.cut = lambda src, dst: (place.get(src, 0) - place.get(dst, 0)) % count not in (0, 1, count - 1)
    fleet.note_fault()
    return lambda: fleet.partition()


def flapping(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Partition the fleet into halves for every other second, over 20 s."""
    groups = _groups(fleet, random, 2)
    for second in range(0, 20, 2):
        fleet.schedule_fault(second * SECOND, lambda: fleet.partition(*groups))
        fleet.schedule_fault((second + 1) * SECOND, lambda: fleet.partition())
    fleet.schedule_fault(20 * SECOND, lambda: fleet.partition())
    return lambda: fleet.partition()


def joins_on_both_sides(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Partition the fleet into halves, each of which a new member joins."""
    groups = _groups(fleet, random, 2)
    number = len(fleet.nodes)
    for side, group in enumerate(groups):
        name = f"j{number:03}{side}"
        join_address = next((fleet.nodes[item].address for item in group if fleet.nodes[item].up), None)
        if join_address is not None:
            fleet.start(name, (f"10.88.{number % 256}.{side + 1}", 7_946), (join_address,), 0)
            group.append(name)
    fleet.partition(*groups)
    return lambda: fleet.partition()


def stopped(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Suspend a fifth of the members."""
    names = _sample(fleet, random, 0.2)
    for name in names:
        fleet.freeze(name, True)

    def undo() -> None:
        for name in names:
            if fleet.nodes[name].up and fleet.nodes[name].frozen:
                fleet.freeze(name, False)

    return undo


def starved(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Starve a fifth of the members: 5% of a core, where a step takes 2 ms of a full one."""
    names = _sample(fleet, random, 0.2)
    for name in names:
        fleet.nodes[name].slowdown = 400.0

    def undo() -> None:
        for node in fleet.nodes.values():
            node.slowdown = 1.0
        fleet.note_fault()

    return undo


def twin(fleet: VirtualFleet, random: Random) -> None:
    """Start a second process under a live member's name, at another address, with no disk."""
    name = random.choice(fleet.living() or list(fleet.nodes))
    place = (f"10.99.{random.randrange(256)}.{random.randrange(256)}", 7_946)
    fleet.start(name, place, fleet.join_addresses(), 0, key=f"{name}~{fleet.now}")
    fleet.note_fault()


def lossy(fleet: VirtualFleet, random: Random) -> Callable[[], None]:
    """Lose 30% of the datagrams and duplicate 10%."""
    fleet.loss, fleet.duplicate_rate = 0.3, 0.1

    def undo() -> None:
        fleet.loss = fleet.duplicate_rate = 0.0
        fleet.note_fault()

    return undo


FAULTS: tuple[Fault, ...] = (
    crash_half, crash_all_but_one, crash_one, leave_one, replace_some, move_some, restart_dead, halves,
    thirds, one_way, unheard, ring, flapping, joins_on_both_sides, stopped, starved, lossy, twin,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one seed; `why` is the violation, empty if there is none."""

    seed: int
    members: int
    faults: tuple[str, ...]
    settled_us: int
    why: str


class Checker:
    """Check that no healthy member considers another one dead for too long."""

    def __init__(self, fleet: VirtualFleet, members: int) -> None:
        self._fleet = fleet
        self._bound = convergence_bound_us(fleet.settings, members, healthy=False)
        self._since: dict[tuple[str, str], int] = {}
        self.why = ""

    def check(self) -> None:
        """Compare all healthy members' views now; set `why` at the first violation."""
        fleet = self._fleet
        if fleet.loss:
            self._since.clear()
            return
        healthy = [
            node for node in fleet.nodes.values() if node.up and not node.frozen and node.slowdown == 1.0
        ]
        seen: dict[tuple[str, str], int] = {}
        for viewer in healthy:
            if viewer.view.yielded:
                continue
            for other in healthy:
                if other is not viewer and not other.view.yielded and self._considers_dead(viewer, other):
                    key = (viewer.name, other.name)
                    seen[key] = self._since.get(key, fleet.now)
                    if fleet.now - max(seen[key], fleet.last_fault) > self._bound and not self.why:
                        self.why = f"{viewer.name} considered {other.name} dead for longer than the bound"
        self._since = seen

    def _considers_dead(self, viewer: Node, other: Node) -> bool:
        news = viewer.view.members.get(other.name)
        if news is None or news.state < State.DEAD:
            return False
        cut = self._fleet.cut
        return not cut(viewer.name, other.name) and not cut(other.name, viewer.name)


def run_seed(
    seed: int, view_factory: ViewFactory = make_view, settings: Settings = FAST, max_members: int = 24
) -> Result:
    """Run one seed and return its result.

    3 to `max_members` members start within a second. Two to five faults follow, each for 0.5 to 15 s; the
    next may begin up to half a second after the end of one. Then everything is healed and has to settle.
    """
    random = Random(seed)
    count = random.randrange(3, max_members + 1)
    fleet = VirtualFleet(count, seed, settings, view_factory)
    checker = Checker(fleet, max_members + 8)
    names = []
    fleet.run(random.randrange(0, 3 * SECOND))
    for _ in range(random.randrange(2, 6)):
        fault = random.choice(FAULTS)
        names.append(fault.__name__)
        undo = fault(fleet, random)
        until = fleet.now + random.randrange(SECOND // 2, 15 * SECOND)
        while fleet.now < until:
            fleet.run(min(until, fleet.now + CHECK_INTERVAL_US))
            checker.check()
        if undo is not None:
            undo()
        if random.random() < 0.5:
            fleet.run(fleet.now + random.randrange(SECOND // 2))
    if fleet.scheduled > fleet.now:
        fleet.run(fleet.scheduled)
    fleet.partition()
    first = list(fleet.nodes)[:JOIN_MEMBERS]
    if not any(fleet.nodes[name].up for name in first):
        # A member that knew no other when all its join addresses died cannot find any: one restarts.
        fleet.restart(first[0])
    settle_us = fleet.settle()
    why = checker.why
    if settle_us is None:
        wrong = fleet.wrong_views()[0]
        why = f"{wrong}: the view is not the {len(fleet.living())} live members after the bound"
    return Result(seed, count, tuple(names), settle_us or 0, why)


def false_deaths(
    seed: int, view_factory: ViewFactory = make_view, settings: Settings = FAST, count: int = 12
) -> list[str]:
    """Return the healthy members that were declared dead in a fleet with two faulty ones.

    One member is starved throughout, one is suspended for the first 10 s, and links lose 10% of the datagrams
    and duplicate 10% throughout the 30 s.
    """
    fleet = VirtualFleet(count, seed, settings, view_factory, settled=True)
    names = list(fleet.nodes)
    faulty = set(names[:2])
    fleet.nodes[names[0]].slowdown = 400.0
    fleet.freeze(names[1], True)
    fleet.loss, fleet.duplicate_rate = 0.1, 0.1
    fleet.run(10 * SECOND)
    fleet.freeze(names[1], False)
    fleet.run(20 * SECOND)
    return sorted({line.name for line in fleet.events if line.what == "died"} - faulty)
