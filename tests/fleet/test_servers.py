"""Replicated servers, and that they can only make an agent more cautious."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.fleet.servers import (
    PHASES,
    ConservativeView,
    Drain,
    ReplicatedServer,
    Server,
    decode,
    encode,
    merge,
)
from sorrelfront.decisions.interface import Backend, State

BACKEND = st.builds(
    Backend, id=st.just("s"), zone=st.sampled_from("ab"), cell=st.integers(0, 2),
    state=st.sampled_from(PHASES), started_us=st.integers(0, 3),
)  # fmt: skip
VALUE = BACKEND.map(encode) | st.binary(max_size=6)
EXAMPLES = settings(max_examples=300, derandomize=True, deadline=None)


@EXAMPLES
@given(VALUE, VALUE, VALUE)
def test_merging_is_commutative_associative_and_idempotent(a: bytes, b: bytes, c: bytes) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) in (a, merge(a, a)) and merge(merge(a, b), b) == merge(a, b)


@EXAMPLES
@given(BACKEND, BACKEND)
def test_merging_is_at_least_as_cautious_as_either(one: Backend, other: Backend) -> None:
    merged = decode("s", merge(encode(one), encode(other)))
    assert merged is not None
    for item in (one, other):
        assert PHASES.index(merged.state) >= PHASES.index(item.state)
        assert merged.started_us >= item.started_us


REPLICATED = st.builds(
    ReplicatedServer, seq=st.integers(0, 5), listed=st.none() | BACKEND,
    drains=st.lists(st.builds(Drain, st.integers(0, 5), st.integers(0, 3), st.integers(0, 2)), max_size=3)
    .map(tuple),
)  # fmt: skip


@EXAMPLES
@given(BACKEND, st.integers(1, 5), REPLICATED)
def test_replicas_never_make_an_agent_less_cautious_than_its_own_service(
    own: Backend, seq: int, replicated: ReplicatedServer
) -> None:
    agent = ConservativeView()
    agent.on_list(seq, True, [own])
    if own.state is State.GONE:
        assert agent.changes({"s": replicated}) == []
        return
    (effective,) = agent.changes({"s": replicated})
    assert PHASES.index(effective.state) >= PHASES.index(own.state)
    assert effective.started_us >= own.started_us
    if replicated.seq <= seq and all(drain.seq <= seq for drain in replicated.drains):
        assert effective == own  # its own service has sent a later version


def test_a_drain_told_to_another_member_applies_until_the_own_service_sends_a_later_version() -> None:
    agent = ConservativeView()
    agent.on_list(3, True, [Backend("s"), Backend("t")])
    assert {item.id for item in agent.changes({})} == {"s", "t"}
    replicated = {"s": ReplicatedServer(0, None, (Drain(4, 0, 1),))}
    (effective,) = agent.changes(replicated)
    assert effective.id == "s" and effective.state is State.DRAINING
    assert agent.changes(replicated) == []
    agent.on_list(5, False, [Backend("t", cell=1)])
    assert {(item.id, item.state) for item in agent.changes(replicated)} == {
        ("s", State.READY),
        ("t", State.READY),
    }


def test_a_later_start_counts_and_a_drain_of_an_earlier_start_does_not() -> None:
    agent = ConservativeView()
    agent.on_list(3, True, [Backend("s", started_us=10)])
    later = {"s": ReplicatedServer(4, Backend("s", started_us=20))}
    (effective,) = agent.changes(later)
    assert effective.started_us == 20 and effective.state is State.READY
    agent = ConservativeView()
    agent.on_list(3, True, [Backend("s", started_us=10)])
    (effective,) = agent.changes({"s": ReplicatedServer(0, None, (Drain(9, 5, 2),))})
    assert effective.state is State.READY


def test_a_process_that_a_later_list_has_replaced_gets_nothing_new_whatever_the_clocks_say() -> None:
    """The new one's start was before the old one's, by its clock: its drain was ignored."""
    agent = ConservativeView()
    agent.on_list(3, True, [Backend("s", started_us=10)])
    for state in (State.READY, State.DRAINING):
        replaced = {"s": ReplicatedServer(4, Backend("s", state=state, started_us=9))}
        effective = agent.effective("s", replaced["s"])
        assert effective.state is State.DRAINING and effective.started_us == 10
    agent.on_list(5, False, [Backend("s", started_us=9)])
    (effective,) = agent.changes(replaced)
    assert effective.state is State.READY and effective.started_us == 9


def test_a_server_missing_from_a_later_list_gets_nothing_new() -> None:
    agent = ConservativeView()
    agent.on_list(3, True, [Backend("s")])
    (effective,) = agent.changes({"s": ReplicatedServer(4, None)})
    assert effective.state is State.DRAINING


def test_a_value_of_another_version_decodes_to_none() -> None:
    assert decode("s", b"\x00") is None
    assert decode("s", msgspec.msgpack.encode(Server(1, 5, "z"))) == Backend(
        "s", "z", "", 0, State.DRAINING, 1.0, 5
    )
