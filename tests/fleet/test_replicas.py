"""The replica store in memory: seeded fleets with faults, planted defects, guarantees of each part."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.copies import fleet_with_entries
from sorrelfront.decisions.fleet import replicas
from sorrelfront.decisions.fleet.messages import MalformedMessage
from sorrelfront.decisions.fleet.replicas import (
    Delta,
    Durable,
    Entry,
    PersistAck,
    PersistRequest,
    Pull,
    Replica,
    ReplicaId,
    ReplicaStore,
    Send,
    Settings,
    Version,
    Write,
    decode,
)
from sorrelfront.lab.fleet.copies import DEFECTS, run_seed
from sorrelfront.lab.fleet.copies_explorer import explore

SEEDS = 15
FOUND_WITHIN = 30  # seeds; a third of them have the kind of fault that reveals the defect


def make_store(name: str = "a/i0", **changes: int) -> ReplicaStore:
    return ReplicaStore(name, Settings(**changes), Random(1), 0, (), "reg")


def start_store(name: str, **changes: int) -> ReplicaStore:
    store = make_store(name, **changes)
    store.on_timer(store.settings.alone_us, [])
    assert store.own_replica is not None
    return store


@pytest.mark.parametrize("seed", range(1, SEEDS + 1))
def test_a_fleet_converges_and_keeps_acknowledged_entries(seed: int) -> None:
    found, _ = run_seed(seed)
    assert not found


@pytest.mark.parametrize("plant", [name for name in DEFECTS if name not in ("", "too-soon")])
def test_planted_defects_are_found(plant: str) -> None:
    assert any(run_seed(seed, make=DEFECTS[plant])[0] for seed in range(1, FOUND_WITHIN + 1))


def test_a_version_is_durable_before_it_is_acknowledged() -> None:
    owner, peer = start_store("a/i0"), start_store("b/i0")
    owner.on_timer(owner.now + 1, ["a/i0", "b/i0"])
    owner.put("k", b"v", owner.now)
    assert owner.own_replica is not None
    version = owner.own_replica.version
    delta = Delta(
        version, 0, "", version.seq, replicas.LAST_KEY, tuple(owner.own_replica.after(0, "")), 0, True, True
    )
    peer.on_message(
        "a/i0", Delta(version, 0, "", version.seq, replicas.LAST_KEY, delta.entries, 0, True), peer.now
    )
    assert peer.replicas[version.id].version == version
    assert not [
        item for item in peer.on_message("a/i0", PersistRequest(version), peer.now) if isinstance(item, Send)
    ]
    last = peer._writes
    messages = [item.message for item in peer.on_written(last, peer.now) if isinstance(item, Send)]
    assert messages == [PersistAck(version)]
    owner.require_hosts(2, owner.now)
    actions = owner.on_message("b/i0", PersistAck(version), owner.now)
    assert not [item for item in actions if isinstance(item, Durable)]  # its own write has not finished
    actions = owner.on_written(owner._writes, owner.now)
    assert [item for item in actions if isinstance(item, Durable)] == [Durable(version.seq, 2)]


def test_sent_entries_are_bounded_in_bytes_per_second() -> None:
    source = start_store("a/i0", send_bytes_s=10_000)
    for number in range(100):
        source.put(f"k{number}", b"x" * 1_000, source.now)
    source._take_actions()
    assert source.own_replica is not None
    pull = Pull(*source.own_replica.id, 0, "", True)
    given = 0
    for step in range(100):  # ten seconds
        actions = source.on_message("b/i0", pull, source.now + 100_000)
        given += sum(replicas.entry_size(item) for message in _deltas(actions) for item in message.entries)
        assert given <= 10_000 * (step + 1) / 10 + 10_000 + replicas.MAX_CHUNK_BYTES
    assert given > 50_000


def _deltas(actions: list[replicas.Action]) -> list[Delta]:
    return [item.message for item in actions if isinstance(item, Send) and isinstance(item.message, Delta)]


def test_a_peer_behind_the_tombstones_gets_a_full_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replicas, "MAX_TOMBSTONES", 2)
    source = start_store("a/i0")
    for number in range(8):
        source.put(f"k{number}", b"v", source.now)
    for number in range(6):
        source.delete(f"k{number}", source.now)
    assert source.own_replica is not None and source.own_replica.tombstone_floor > 9
    (behind,) = _deltas(
        source.on_message("b/i0", Pull(*source.own_replica.id, 8, replicas.LAST_KEY, False), source.now)
    )
    assert behind.full and {item.key for item in behind.entries if item.value} == {"k6", "k7"}
    recent = Pull(*source.own_replica.id, source.own_replica.tombstone_floor, replicas.LAST_KEY, False)
    (close,) = _deltas(source.on_message("b/i0", recent, source.now))
    assert not close.full and [item.key for item in close.entries] == ["k4", "k5"]


def test_a_restored_store_is_what_was_written() -> None:
    store = start_store("a/i0")
    written = [item.change for item in store._take_actions() if isinstance(item, Write)]
    for number in range(20):
        store.put(f"k{number % 7}", b"%d" % number, store.now)
        if number % 3 == 0:
            store.delete(f"k{number % 7}", store.now)
    store.on_list(5, True, {"s1": (b"x", b"here")}, store.now)
    written += [item.change for item in store._take_actions() if isinstance(item, Write)]
    full = [*store.snapshot()]
    for disk in (written, full):
        other = ReplicaStore("b/i0", Settings(), Random(2), 0, disk, "reg")
        versions = {replica.version for replica in store.replicas.values()}
        assert {replica.version for replica in other.replicas.values()} >= versions if disk is full else True
    again = ReplicaStore("b/i0", Settings(), Random(2), 0, full, "reg")
    assert again.digest() == store.digest()
    assert {id: replica.entries for id, replica in again.replicas.items()} == {
        id: replica.entries for id, replica in store.replicas.items()
    }


ENTRY = st.tuples(st.sampled_from("abcd"), st.integers(1, 30), st.none() | st.sampled_from([b"x", b"y"]))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(ENTRY, max_size=12, unique_by=lambda item: item[1]), st.randoms(use_true_random=False))
def test_a_replica_is_the_same_whatever_the_order_of_its_entries(
    entries: list[tuple[str, int, bytes | None]], random: Random
) -> None:
    items = [Entry(key, seq, value) for key, seq, value in entries]
    replica, other = Replica(ReplicaId("a", 1, 1), 0), Replica(ReplicaId("a", 1, 1), 0)
    for item in items:
        replica.apply(item)
    random.shuffle(items)
    for item in (*items, *items):
        other.apply(item)
    assert replica.entries == other.entries and replica.checksum == other.checksum
    seqs = [(item.seq, item.key) for item in replica.after(0, "")]
    assert seqs == sorted(seqs)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_invalid_bytes_raise_unreadable_and_nothing_else(data: bytes) -> None:
    try:
        message = decode(data)
    except MalformedMessage:
        return
    make_store().on_message("b/i0", message, 1)


def test_a_version_from_a_retired_member_does_not_restore_its_map() -> None:
    store = start_store("a/i0")
    store.on_timer(store.now + 1, ["a/i0", "b/i0"])
    retired = Version("c/i0", 3, 77, 5, 9)
    store.replicas[retired.id] = replica = Replica(retired.id, 0)
    replica.seq = 5
    store._by_owner["c/i0"] = {retired.id}
    store._toggle_digest(replica)
    store.retire("c/i0", store.now)
    assert "c/i0" not in store.owners()
    versions = replicas.Versions(tuple(range(replicas.BUCKETS)), (retired,), 0, True, True)
    actions = store.on_message("b/i0", versions, store.now)
    assert not [item for item in actions if isinstance(item, Send) and isinstance(item.message, Pull)]


def test_a_map_of_many_chunks_is_fetched_while_all_other_members_lack_it() -> None:
    """A map of many chunks is fetched although the other members lack it too.

    Members without the map have equal digests. Being in sync with each other must not end a fetch that is
    under way.
    """
    fleet = fleet_with_entries(3_000, 4)
    assert all(max(replica.seq for replica in node.copies.replicas.values()) >= 3_000 for node in fleet.up())


def test_every_order_of_two_events_is_consistent() -> None:
    found = explore(2)
    assert not found.violation and found.states == 100


def test_exploring_finds_an_incarnation_that_forgets_the_earlier_one() -> None:
    class ForgetsEarlierIncarnations(ReplicaStore):
        def _start_incarnation(self) -> None:
            for replica in [
                replica for replica in self._incarnations(self.member_name) if replica is not self.own_replica
            ]:
                replica.entries.clear()
            super()._start_incarnation()

    assert explore(3, ForgetsEarlierIncarnations).violation
