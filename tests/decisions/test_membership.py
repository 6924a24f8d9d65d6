"""How far a list of ephemeral nodes is believed: each rule by itself, then seeded schedules of everything."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sorrelfront.decisions.interface import State
from sorrelfront.decisions.membership import (
    FLAP_HELD,
    HOLD_MOST_US,
    KNOWN_MOST,
    REMEMBER_US,
    SETTLE_US,
    Answering,
    Member,
    Reread,
    Service,
    Suspected,
    Terms,
    Told,
    Trust,
    Wake,
)

MS, S = 1_000, 1_000_000
GRACE_US = 500 * MS
OLD = 1_000 * S  # when the servers started, before all that happens here
TERMS = Terms(suspect_us=20 * S, confirm_us=1 * S, doubt_us=10 * S)


def server(name: str, version: int = 1, started_us: int = OLD, port: int = 0, drains: bool = False) -> Member:
    number = int(name[1:])
    return Member(name, ("127.0.0.1", port or 9_000 + number), "a", "m", 0, 1.0, started_us, drains, version)


class World:
    """The service as it is, the source that reads it, and the balancer as it has been told."""

    def __init__(self, terms: Terms = TERMS, seed: int = 1) -> None:
        self.now = 10_000 * S
        self.nodes: dict[str, Member | None] = {}
        self.answering: dict[str, Answering] = {}
        self.trust = Trust(terms, seed, lambda name, _: self.answering.get(name, Answering.UNKNOWN))
        self.told: dict[str, State] = {}
        self.members: dict[str, Member] = {}
        self.history: list[tuple[int, str, State]] = []
        self.rereads = 0
        self.silent = False
        self.suspected = 0
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0

    def later(self, delay_us: int, do: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self.due, (self.now + delay_us, self._count, do))

    def run(self, us: int) -> None:
        until = self.now + us
        while self.due and self.due[0][0] <= until:
            at, _, do = heapq.heappop(self.due)
            self.now = max(self.now, at)
            do()
        self.now = until

    def settle(self) -> None:
        for action in self.trust.settle(self.now):
            match action:
                case Told(complete, servers):
                    if complete:
                        self.told.clear()
                    for member, state in servers:
                        self.told[member.id] = state
                        self.members[member.id] = member
                        self.history.append((self.now, member.id, state))
                case Wake(delay_us):
                    assert delay_us > 0
                    self.later(delay_us, self.settle)
                case Reread(delay_us):
                    self.rereads += 1
                    self.later(delay_us, self.reread)
                case Suspected(count, _):
                    self.suspected += count

    def read(self) -> None:
        """The children, and the records that are new."""
        self.trust.on_children(self.nodes, self.now, self.now)
        for node, member in self.nodes.items():
            self.trust.on_record(node, member, self.now)
        self.trust.on_whole(self.now)
        self.settle()

    def reread(self) -> None:
        if not self.silent:
            self.read()

    def begin(self, count: int) -> World:
        self.nodes = {f"n{at}": server(f"b{at}") for at in range(count)}
        self.trust.on_service(Service.WELL, self.now)
        self.read()
        return self

    def service(self, *states: Service) -> None:
        for state in states:
            self.silent = state is Service.SILENT
            self.trust.on_service(state, self.now)
        self.settle()

    def ready(self) -> set[str]:
        return {name for name, state in self.told.items() if state is State.READY}

    def vanish(self, *names: str) -> None:
        for name in names:
            self.nodes.pop("n" + name[1:], None)
        self.read()


def names(count: int, start: int = 0) -> set[str]:
    return {f"b{at}" for at in range(start, count)}


def test_nothing_is_told_before_the_first_list_is_whole() -> None:
    world = World()
    world.trust.on_service(Service.WELL, world.now)
    world.trust.on_children(["n0", "n1"], world.now, world.now)
    world.trust.on_record("n0", server("b0"), world.now)
    world.settle()
    assert not world.history and world.trust.age_us(world.now) is None
    world.nodes = {"n0": server("b0"), "n1": server("b1")}
    world.read()
    assert world.ready() == names(2)


def test_a_record_that_says_draining_is_told_in_the_same_step() -> None:
    world = World().begin(5)
    world.service(Service.SILENT)  # also while the service is in doubt
    world.trust.on_record("n1", server("b1", 2, drains=True), world.now)
    world.settle()
    assert world.told["b1"] is State.DRAINING and world.history[-1][0] == world.now


@pytest.mark.parametrize("gone", [1, 2])
def test_few_that_vanish_are_drained_within_the_grace(gone: int) -> None:
    world = World().begin(10)
    at = world.now
    world.vanish(*sorted(names(gone)))
    world.run(GRACE_US)
    assert world.ready() == names(10, gone)
    assert all(when - at <= SETTLE_US for when, name, state in world.history if state is State.DRAINING)


def test_one_that_vanishes_while_the_service_is_in_doubt_is_drained_too() -> None:
    world = World().begin(10)
    world.service(Service.SILENT, Service.WELL)
    world.vanish("b3")
    world.run(GRACE_US)
    assert world.ready() == names(10) - {"b3"}


def test_a_crowd_that_vanishes_in_doubt_is_kept_while_it_answers_and_not_for_ever() -> None:
    world = World().begin(10)
    world.service(Service.SILENT, Service.WELL)
    world.vanish(*names(4))
    world.run(5 * S)
    assert world.ready() == names(10) and world.suspected == 4 and world.trust.suspects == 4
    world.answering["b2"] = Answering.NO
    world.run(1 * S)
    assert world.ready() == names(10) - {"b2"}
    world.run(TERMS.suspect_us)
    assert world.ready() == names(10, 4) and world.rereads


def test_suspects_that_come_back_were_never_away() -> None:
    world = World().begin(10)
    before = len(world.history)
    world.service(Service.LOST, Service.WELL)
    nodes = dict(world.nodes)
    world.nodes = {}
    world.read()
    world.run(5 * S)
    # New sessions, new nodes, the same processes.
    world.nodes = {f"again-{node}": member for node, member in nodes.items()}
    world.read()
    world.run(TERMS.suspect_us * 2)
    assert world.ready() == names(10) and len(world.history) == before and world.trust.suspects == 0


def test_most_of_a_list_vanishing_at_once_is_doubt_by_itself() -> None:
    world = World().begin(10)
    world.vanish(*names(7))
    world.run(2 * S)
    assert world.ready() == names(10)


def test_the_last_of_a_crowd_to_come_back_has_not_gone_alone() -> None:
    world = World().begin(8)
    world.service(Service.SILENT, Service.WELL)
    nodes, world.nodes = world.nodes, {}
    world.read()
    world.run(50 * MS)
    world.nodes = {node: member for node, member in nodes.items() if node != "n0"}
    world.read()
    world.run(2 * S)
    assert world.ready() == names(8)


def test_a_crowd_without_doubt_that_is_not_most_is_believed() -> None:
    world = World().begin(10)
    world.vanish(*names(4))
    world.run(GRACE_US)
    assert world.ready() == names(10, 4)


def test_a_drain_hidden_in_a_crowd_is_a_drain() -> None:
    """Told by its record before, or by a change on the way out."""
    world = World().begin(10)
    world.trust.on_record("n1", server("b1", 2, drains=True), world.now)
    world.nodes["n1"] = server("b1", 2, drains=True)
    world.service(Service.LOST, Service.WELL)
    world.trust.on_changed_away("n2", world.now)
    world.nodes = {}
    world.read()
    world.run(2 * S)
    assert world.ready() == names(10) - {"b1", "b2"}


def test_the_whole_list_stays_while_the_service_is_silent() -> None:
    world = World().begin(6)
    world.service(Service.SILENT, Service.WELL)
    world.vanish(*names(6))
    world.service(Service.SILENT)
    world.run(10 * TERMS.suspect_us)
    assert world.ready() == names(6)
    age = world.trust.age_us(world.now)
    assert age is not None and age > 9 * TERMS.suspect_us


def test_a_new_start_time_is_told_and_the_same_one_is_not() -> None:
    world = World().begin(3)
    world.nodes = {**world.nodes, "n1": server("b1", 9)}
    world.read()
    assert len([item for item in world.history if item[1] == "b1"]) == 2  # its record is another
    world.nodes["n1"] = server("b1", 10, started_us=OLD + 5)
    world.read()
    assert world.members["b1"].started_us == OLD + 5 and world.told["b1"] is State.READY


def test_two_nodes_of_one_id_are_one_server_and_the_newest_speaks() -> None:
    world = World().begin(3)
    world.nodes["again"] = server("b1", 5)
    world.read()
    before = len(world.history)
    world.nodes.pop("n1")  # the older session ends
    world.read()
    world.run(2 * S)
    assert world.ready() == names(3) and len(world.history) == before


def test_an_address_that_another_server_has_taken_is_left_at_once() -> None:
    world = World().begin(10)
    world.service(Service.SILENT, Service.WELL)
    for at in range(5):
        world.nodes.pop(f"n{at}")
    world.nodes["new"] = server("b20", 7, OLD + 9, port=9_002)
    at = world.now
    world.read()
    assert world.told["b2"] is State.GONE and world.told["b20"] is State.READY
    assert world.history[-1][0] == at
    world.run(5 * S)
    assert {"b0", "b1", "b3", "b4"} <= world.ready() and "b2" not in world.ready()


def test_a_record_that_cannot_be_read_is_left_out_and_hides_no_other() -> None:
    world = World()
    world.nodes = {"n0": server("b0"), "n1": None, "n2": server("b2")}
    world.trust.on_service(Service.WELL, world.now)
    world.read()
    assert world.ready() == {"b0", "b2"}
    world.trust.on_record("n0", None, world.now)
    world.settle()
    assert world.ready() == {"b2"}


def test_a_list_that_flaps_twice_in_a_second_is_not_felt() -> None:
    world = World().begin(8)
    before = len(world.history)
    for _ in range(2):
        nodes, world.nodes = world.nodes, {}
        world.read()
        world.run(120 * MS)
        world.nodes = nodes
        world.read()
        world.run(380 * MS)
    world.run(60 * S)
    assert world.ready() == names(8) and len(world.history) == before


def test_one_that_flaps_for_a_minute_is_held_out_and_comes_back_in_bounded_time() -> None:
    world = World().begin(10)
    for _ in range(30):
        world.vanish("b4")
        world.run(1 * S)
        world.nodes["n4"] = server("b4")
        world.read()
        world.run(1 * S)
    told = [state for _, name, state in world.history if name == "b4"]
    assert len(told) < 2 * 30 / 2  # most of the flaps were not passed on
    assert world.ready() >= names(10) - {"b4"}
    world.run(HOLD_MOST_US)
    assert world.ready() == names(10)


def test_a_new_process_is_not_held_out_for_what_the_old_one_did() -> None:
    world = World().begin(10)
    for _ in range(int(FLAP_HELD) + 3):
        world.vanish("b4")
        world.run(500 * MS)
        world.nodes["n4"] = server("b4")
        world.read()
    assert "b4" not in world.ready()
    world.nodes["n4"] = server("b4", 50, OLD + 77)
    world.read()
    assert "b4" in world.ready()


def test_what_has_gone_for_long_is_forgotten_and_the_table_is_bounded() -> None:
    world = World().begin(3)
    world.vanish("b1")
    world.run(REMEMBER_US + 2 * S)
    assert world.told["b1"] is State.GONE and len(world.trust._known) == 2
    for at in range(KNOWN_MOST + 10):
        world.trust.on_record(f"x{at}", server(f"c{at}", port=1 + at % 60_000), world.now)
    assert len(world.trust._known) == KNOWN_MOST and world.trust.left_out == 12


@pytest.mark.parametrize("part", range(10))
def test_drains_reach_the_balancer_in_time_in_a_thousand_schedules(part: int) -> None:
    """A drain told by its record, or by a single node's going, amid trouble of every kind; reads take up to
    150 ms. Nothing is told as ready again until its record says so."""
    for seed in range(part * 100, part * 100 + 100):
        schedule(seed)


def schedule(seed: int) -> None:
    random = Random(seed)
    world = World(seed=seed).begin(random.randint(4, 25))
    drained: dict[str, int] = {}
    alone: dict[str, int] = {}

    def drain(name: str) -> None:
        node = "n" + name[1:]
        if world.nodes.get(node) is None:
            return
        world.nodes[node] = server(name, 100 + seed, drains=True)
        drained[name] = world.now
        world.later(random.randint(0, 150 * MS), lambda: read_one(node))

    def vanish(name: str) -> None:
        if world.nodes.pop("n" + name[1:], None) is not None:
            alone[name] = world.now
            world.later(random.randint(0, 150 * MS), world.read)

    def read_one(node: str) -> None:
        if node in world.nodes:
            world.trust.on_record(node, world.nodes[node], world.now)
        else:
            world.trust.on_changed_away(node, world.now)
        world.settle()

    everyone = sorted(world.ready())
    for _ in range(12):
        # One or two a step, some seconds apart: what goes alone.
        name = random.choice(everyone)
        if name not in drained and name not in alone:
            random.choice((drain, vanish))(name)
        if random.random() < 0.3:
            world.service(random.choice((Service.SLOW, Service.SILENT)))
        world.run(random.randint(200 * MS, 600 * MS))
        world.service(Service.WELL)
        world.run(random.randint(2 * S, 4 * S))
    for name, at in {**drained, **alone}.items():
        told = [when for when, who, state in world.history if who == name and state is not State.READY]
        assert told and told[0] - at <= GRACE_US, (seed, name, told, at)
        again = [when for when, who, state in world.history if who == name and state is State.READY]
        assert all(when <= at for when in again), (seed, name)


class Believing(RuleBasedStateMachine):
    """Whatever happens: what says that it drains is never drawn on, no address has two servers, and nothing
    that is missed for good stays for longer than its time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(Terms(suspect_us=3 * S, confirm_us=200 * MS, doubt_us=2 * S)).begin(6)
        self.version = 10
        self.missing: dict[str, int] = {}

    @rule(at=st.integers(0, 7), drains=st.booleans(), again=st.booleans(), port=st.integers(0, 7))
    def write(self, at: int, drains: bool, again: bool, port: int) -> None:
        self.version += 1
        started = OLD + self.version if again else OLD
        node = f"n{at}"
        self.world.nodes[node] = server(f"b{at}", self.version, started, 9_000 + port, drains)
        self.world.trust.on_record(node, self.world.nodes[node], self.world.now)
        self.world.settle()

    @rule(gone=st.sets(st.integers(0, 7), max_size=8))
    def vanish(self, gone: set[int]) -> None:
        self.world.vanish(*(f"b{at}" for at in gone))

    @rule(states=st.lists(st.sampled_from(list(Service)), max_size=3))
    def trouble(self, states: list[Service]) -> None:
        self.world.service(*states, Service.WELL)

    @rule(at=st.integers(0, 7), what=st.sampled_from(list(Answering)))
    def attempt(self, at: int, what: Answering) -> None:
        self.world.answering[f"b{at}"] = what

    @rule(ms=st.integers(1, 4_000))
    def time(self, ms: int) -> None:
        self.world.run(ms * MS)

    @invariant()
    def what_drains_is_not_drawn_on(self) -> None:
        for member in self.world.nodes.values():
            if member is not None and member.draining:
                assert member.id not in self.world.ready()

    @invariant()
    def an_address_has_one_server(self) -> None:
        places = [self.world.members[name].address for name in self.world.ready()]
        assert len(places) == len(set(places))

    @invariant()
    def what_is_missed_goes(self) -> None:
        now = self.world.now
        listed = {member.id for member in self.world.nodes.values() if member is not None}
        self.missing = {
            name: self.missing.get(name, now) for name in self.world.ready() if name not in listed
        }
        assert all(now - since <= 5 * S for since in self.missing.values())


Believing.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestBelieving = Believing.TestCase
