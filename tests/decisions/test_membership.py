"""Membership decided from ephemeral nodes: each rule by itself, then seeded schedules of all events."""

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
    FLAP_SUPPRESS_THRESHOLD,
    MAX_SERVER_IDS,
    MAX_SUPPRESSION_US,
    RETENTION_US,
    SETTLE_DELAY_US,
    Answering,
    Member,
    MembershipTracker,
    Reread,
    ServerChanges,
    ServiceState,
    Settings,
    Suspected,
    Wake,
)

MS, S = 1_000, 1_000_000
GRACE_US = 500 * MS
OLD = 1_000 * S  # start time of the servers, before all events of the tests
SETTINGS = Settings(suspect_us=20 * S, confirm_us=1 * S, doubt_us=10 * S)


def server(name: str, version: int = 1, started_us: int = OLD, port: int = 0, drains: bool = False) -> Member:
    number = int(name[1:])
    address = "127.0.0.1", port or 9_000 + number
    return Member(name, address, "a", "m", 0, 1.0, started_us, drains, version, version)


class Simulation:
    """Simulates the service, the source that reads it, and the list reported to the balancer."""

    def __init__(self, settings: Settings = SETTINGS, seed: int = 1) -> None:
        self.now = 10_000 * S
        self.nodes: dict[str, Member | None] = {}
        self.answering: dict[str, Answering] = {}
        self.tracker = MembershipTracker(
            settings, seed, lambda name, _: self.answering.get(name, Answering.UNKNOWN)
        )
        self.reported: dict[str, State] = {}
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

    def evaluate(self) -> None:
        for action in self.tracker.evaluate(self.now):
            match action:
                case ServerChanges(complete, servers):
                    if complete:
                        self.reported.clear()
                    for member, state in servers:
                        self.reported[member.id] = state
                        self.members[member.id] = member
                        self.history.append((self.now, member.id, state))
                case Wake(delay_us):
                    assert delay_us > 0
                    self.later(delay_us, self.evaluate)
                case Reread(delay_us):
                    self.rereads += 1
                    self.later(delay_us, self.reread)
                case Suspected(count, _):
                    self.suspected += count

    def read(self) -> None:
        """Read the children and all their records."""
        self.tracker.on_children(self.nodes, self.now, self.now)
        for node, member in self.nodes.items():
            self.tracker.on_record(node, member, self.now)
        self.tracker.on_first_read_complete(self.now)
        self.evaluate()

    def reread(self) -> None:
        if not self.silent:
            self.read()

    def begin(self, count: int) -> Simulation:
        self.nodes = {f"n{at}": server(f"b{at}") for at in range(count)}
        self.tracker.on_service_state(ServiceState.HEALTHY, self.now)
        self.read()
        return self

    def service(self, *states: ServiceState) -> None:
        for state in states:
            self.silent = state is ServiceState.DISCONNECTED
            self.tracker.on_service_state(state, self.now)
        self.evaluate()

    def ready(self) -> set[str]:
        return {name for name, state in self.reported.items() if state is State.READY}

    def vanish(self, *names: str) -> None:
        for name in names:
            self.nodes.pop("n" + name[1:], None)
        self.read()


def names(count: int, start: int = 0) -> set[str]:
    return {f"b{at}" for at in range(start, count)}


def test_nothing_is_reported_before_the_first_read_is_complete() -> None:
    sim = Simulation()
    sim.tracker.on_service_state(ServiceState.HEALTHY, sim.now)
    sim.tracker.on_children(["n0", "n1"], sim.now, sim.now)
    sim.tracker.on_record("n0", server("b0"), sim.now)
    sim.evaluate()
    assert not sim.history and sim.tracker.list_age_us(sim.now) is None
    sim.nodes = {"n0": server("b0"), "n1": server("b1")}
    sim.read()
    assert sim.ready() == names(2)


def test_a_record_that_says_draining_is_reported_in_the_same_step() -> None:
    sim = Simulation().begin(5)
    sim.service(ServiceState.DISCONNECTED)  # applies while the service is in doubt, too
    sim.tracker.on_record("n1", server("b1", 2, drains=True), sim.now)
    sim.evaluate()
    assert sim.reported["b1"] is State.DRAINING and sim.history[-1][0] == sim.now


@pytest.mark.parametrize("gone", [1, 2])
def test_few_that_vanish_are_drained_within_the_grace(gone: int) -> None:
    sim = Simulation().begin(10)
    at = sim.now
    sim.vanish(*sorted(names(gone)))
    sim.run(GRACE_US)
    assert sim.ready() == names(10, gone)
    assert all(when - at <= SETTLE_DELAY_US for when, name, state in sim.history if state is State.DRAINING)


def test_one_that_vanishes_while_the_service_is_in_doubt_is_drained_too() -> None:
    sim = Simulation().begin(10)
    sim.service(ServiceState.DISCONNECTED, ServiceState.HEALTHY)
    sim.vanish("b3")
    sim.run(GRACE_US)
    assert sim.ready() == names(10) - {"b3"}


def test_a_bulk_removal_in_doubt_is_kept_while_servers_answer_and_not_for_ever() -> None:
    sim = Simulation().begin(10)
    sim.service(ServiceState.DISCONNECTED, ServiceState.HEALTHY)
    sim.vanish(*names(4))
    sim.run(5 * S)
    assert sim.ready() == names(10) and sim.suspected == 4 and sim.tracker.suspects == 4
    sim.answering["b2"] = Answering.NO
    sim.run(1 * S)
    assert sim.ready() == names(10) - {"b2"}
    sim.run(SETTINGS.suspect_us)
    assert sim.ready() == names(10, 4) and sim.rereads


def test_suspects_that_come_back_were_never_away() -> None:
    sim = Simulation().begin(10)
    before = len(sim.history)
    sim.service(ServiceState.SESSION_LOST, ServiceState.HEALTHY)
    nodes = dict(sim.nodes)
    sim.nodes = {}
    sim.read()
    sim.run(5 * S)
    # The same processes register again: new sessions, new nodes.
    sim.nodes = {f"again-{node}": member for node, member in nodes.items()}
    sim.read()
    sim.run(SETTINGS.suspect_us * 2)
    assert sim.ready() == names(10) and len(sim.history) == before and sim.tracker.suspects == 0


def test_removal_of_most_of_the_list_is_doubted_by_itself() -> None:
    sim = Simulation().begin(10)
    sim.vanish(*names(7))
    sim.run(2 * S)
    assert sim.ready() == names(10)


def test_the_last_server_of_a_bulk_removal_to_return_is_not_a_single_removal() -> None:
    sim = Simulation().begin(8)
    sim.service(ServiceState.DISCONNECTED, ServiceState.HEALTHY)
    nodes, sim.nodes = sim.nodes, {}
    sim.read()
    sim.run(50 * MS)
    sim.nodes = {node: member for node, member in nodes.items() if node != "n0"}
    sim.read()
    sim.run(2 * S)
    assert sim.ready() == names(8)


def test_a_bulk_removal_of_a_minority_is_accepted_without_doubt() -> None:
    sim = Simulation().begin(10)
    sim.vanish(*names(4))
    sim.run(GRACE_US)
    assert sim.ready() == names(10, 4)


def test_a_drain_within_a_bulk_removal_is_a_drain() -> None:
    """A server that drains must not stay in use as a suspect when a bulk removal includes it.

    The drain is known from its earlier record, or from a change just before its node was deleted.
    """
    sim = Simulation().begin(10)
    sim.tracker.on_record("n1", server("b1", 2, drains=True), sim.now)
    sim.nodes["n1"] = server("b1", 2, drains=True)
    sim.service(ServiceState.SESSION_LOST, ServiceState.HEALTHY)
    sim.tracker.on_deleted_after_change("n2", sim.now)
    sim.nodes = {}
    sim.read()
    sim.run(2 * S)
    assert sim.ready() == names(10) - {"b1", "b2"}


def test_the_whole_list_stays_while_the_service_is_silent() -> None:
    sim = Simulation().begin(6)
    sim.service(ServiceState.DISCONNECTED, ServiceState.HEALTHY)
    sim.vanish(*names(6))
    sim.service(ServiceState.DISCONNECTED)
    sim.run(10 * SETTINGS.suspect_us)
    assert sim.ready() == names(6)
    age = sim.tracker.list_age_us(sim.now)
    assert age is not None and age > 9 * SETTINGS.suspect_us


def test_a_new_start_time_is_reported_and_the_same_one_is_not() -> None:
    sim = Simulation().begin(3)
    sim.nodes = {**sim.nodes, "n1": server("b1", 9)}
    sim.read()
    assert len([item for item in sim.history if item[1] == "b1"]) == 2  # its record has changed
    sim.nodes["n1"] = server("b1", 10, started_us=OLD + 5)
    sim.read()
    assert sim.members["b1"].started_us == OLD + 5 and sim.reported["b1"] is State.READY


def test_two_nodes_of_one_id_are_one_server_and_the_newest_record_counts() -> None:
    sim = Simulation().begin(3)
    sim.nodes["again"] = server("b1", 5)
    sim.read()
    before = len(sim.history)
    sim.nodes.pop("n1")  # the older session ends
    sim.read()
    sim.run(2 * S)
    assert sim.ready() == names(3) and len(sim.history) == before


def test_an_address_that_another_server_has_taken_is_left_at_once() -> None:
    sim = Simulation().begin(10)
    sim.service(ServiceState.DISCONNECTED, ServiceState.HEALTHY)
    for at in range(5):
        sim.nodes.pop(f"n{at}")
    sim.nodes["new"] = server("b20", 7, OLD + 9, port=9_002)
    at = sim.now
    sim.read()
    assert sim.reported["b2"] is State.GONE and sim.reported["b20"] is State.READY
    assert sim.history[-1][0] == at
    sim.run(5 * S)
    assert {"b0", "b1", "b3", "b4"} <= sim.ready() and "b2" not in sim.ready()


def test_a_record_that_cannot_be_read_is_left_out_and_hides_no_other() -> None:
    sim = Simulation()
    sim.nodes = {"n0": server("b0"), "n1": None, "n2": server("b2")}
    sim.tracker.on_service_state(ServiceState.HEALTHY, sim.now)
    sim.read()
    assert sim.ready() == {"b0", "b2"}
    sim.tracker.on_record("n0", None, sim.now)
    sim.evaluate()
    assert sim.ready() == {"b2"}


def test_a_list_that_flaps_twice_in_a_second_causes_no_reports() -> None:
    sim = Simulation().begin(8)
    before = len(sim.history)
    for _ in range(2):
        nodes, sim.nodes = sim.nodes, {}
        sim.read()
        sim.run(120 * MS)
        sim.nodes = nodes
        sim.read()
        sim.run(380 * MS)
    sim.run(60 * S)
    assert sim.ready() == names(8) and len(sim.history) == before


def test_a_server_that_flaps_for_a_minute_is_suppressed_for_a_bounded_time() -> None:
    sim = Simulation().begin(10)
    for _ in range(30):
        sim.vanish("b4")
        sim.run(1 * S)
        sim.nodes["n4"] = server("b4")
        sim.read()
        sim.run(1 * S)
    reported = [state for _, name, state in sim.history if name == "b4"]
    assert len(reported) < 2 * 30 / 2  # most of the flaps were not reported
    assert sim.ready() >= names(10) - {"b4"}
    sim.run(MAX_SUPPRESSION_US)
    assert sim.ready() == names(10)


def test_a_new_process_is_not_suppressed_for_flaps_of_the_old_one() -> None:
    sim = Simulation().begin(10)
    for _ in range(int(FLAP_SUPPRESS_THRESHOLD) + 3):
        sim.vanish("b4")
        sim.run(500 * MS)
        sim.nodes["n4"] = server("b4")
        sim.read()
    assert "b4" not in sim.ready()
    sim.nodes["n4"] = server("b4", 50, OLD + 77)
    sim.read()
    assert "b4" in sim.ready()


def test_entries_of_removed_servers_expire_and_the_table_is_bounded() -> None:
    sim = Simulation().begin(3)
    sim.vanish("b1")
    sim.run(RETENTION_US + 2 * S)
    assert sim.reported["b1"] is State.GONE and len(sim.tracker._entries) == 2
    for at in range(MAX_SERVER_IDS + 10):
        sim.tracker.on_record(f"x{at}", server(f"c{at}", port=1 + at % 60_000), sim.now)
    assert len(sim.tracker._entries) == MAX_SERVER_IDS and sim.tracker.rejected_records == 12


@pytest.mark.parametrize("part", range(10))
def test_drains_reach_the_balancer_in_time_in_a_thousand_schedules(part: int) -> None:
    """Drains must reach the balancer within the grace, whatever state the service is in.

    A drain is announced by a record or by the deletion of a single node; reads take up to 150 ms. No server
    is reported as ready again before its record says so.
    """
    for seed in range(part * 100, part * 100 + 100):
        schedule(seed)


def schedule(seed: int) -> None:
    random = Random(seed)
    sim = Simulation(seed=seed).begin(random.randint(4, 25))
    drained: dict[str, int] = {}
    alone: dict[str, int] = {}

    def drain(name: str) -> None:
        node = "n" + name[1:]
        if sim.nodes.get(node) is None:
            return
        sim.nodes[node] = server(name, 100 + seed, drains=True)
        drained[name] = sim.now
        sim.later(random.randint(0, 150 * MS), lambda: read_one(node))

    def vanish(name: str) -> None:
        if sim.nodes.pop("n" + name[1:], None) is not None:
            alone[name] = sim.now
            sim.later(random.randint(0, 150 * MS), sim.read)

    def read_one(node: str) -> None:
        if node in sim.nodes:
            sim.tracker.on_record(node, sim.nodes[node], sim.now)
        else:
            sim.tracker.on_deleted_after_change(node, sim.now)
        sim.evaluate()

    everyone = sorted(sim.ready())
    for _ in range(12):
        # One removal at a time, some seconds apart, so that it never counts as bulk.
        name = random.choice(everyone)
        if name not in drained and name not in alone:
            random.choice((drain, vanish))(name)
        if random.random() < 0.3:
            sim.service(random.choice((ServiceState.SLOW, ServiceState.DISCONNECTED)))
        sim.run(random.randint(200 * MS, 600 * MS))
        sim.service(ServiceState.HEALTHY)
        sim.run(random.randint(2 * S, 4 * S))
    for name, at in {**drained, **alone}.items():
        reported = [when for when, who, state in sim.history if who == name and state is not State.READY]
        assert reported and reported[0] - at <= GRACE_US, (seed, name, reported, at)
        again = [when for when, who, state in sim.history if who == name and state is State.READY]
        assert all(when <= at for when in again), (seed, name)


class MembershipMachine(RuleBasedStateMachine):
    """Checks invariants under random events.

    A server that says it drains is never ready, no address has two servers, and a server whose node stays
    missing leaves within a bounded time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sim = Simulation(Settings(suspect_us=3 * S, confirm_us=200 * MS, doubt_us=2 * S)).begin(6)
        self.version = 10
        self.missing: dict[str, int] = {}

    @rule(at=st.integers(0, 7), drains=st.booleans(), again=st.booleans(), port=st.integers(0, 7))
    def write(self, at: int, drains: bool, again: bool, port: int) -> None:
        self.version += 1
        started = OLD + self.version if again else OLD
        node = f"n{at}"
        self.sim.nodes[node] = server(f"b{at}", self.version, started, 9_000 + port, drains)
        self.sim.tracker.on_record(node, self.sim.nodes[node], self.sim.now)
        self.sim.evaluate()

    @rule(gone=st.sets(st.integers(0, 7), max_size=8))
    def vanish(self, gone: set[int]) -> None:
        self.sim.vanish(*(f"b{at}" for at in gone))

    @rule(states=st.lists(st.sampled_from(list(ServiceState)), max_size=3))
    def trouble(self, states: list[ServiceState]) -> None:
        self.sim.service(*states, ServiceState.HEALTHY)

    @rule(at=st.integers(0, 7), what=st.sampled_from(list(Answering)))
    def attempt(self, at: int, what: Answering) -> None:
        self.sim.answering[f"b{at}"] = what

    @rule(ms=st.integers(1, 4_000))
    def time(self, ms: int) -> None:
        self.sim.run(ms * MS)

    @invariant()
    def draining_servers_are_not_ready(self) -> None:
        for member in self.sim.nodes.values():
            if member is not None and member.draining:
                assert member.id not in self.sim.ready()

    @invariant()
    def an_address_has_one_server(self) -> None:
        addresses = [self.sim.members[name].address for name in self.sim.ready()]
        assert len(addresses) == len(set(addresses))

    @invariant()
    def missing_servers_leave(self) -> None:
        now = self.sim.now
        listed = {member.id for member in self.sim.nodes.values() if member is not None}
        self.missing = {name: self.missing.get(name, now) for name in self.sim.ready() if name not in listed}
        assert all(now - since <= 5 * S for since in self.missing.values())


MembershipMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestMembership = MembershipMachine.TestCase
