"""What copies say of servers, and that they may only hold an agent back."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.fleet.servers import (
    PHASES,
    Careful,
    Drain,
    Seen,
    Server,
    merge,
    pack,
    unpack,
)
from sorrelfront.decisions.interface import Backend, State

BACKEND = st.builds(
    Backend, id=st.just("s"), zone=st.sampled_from("ab"), cell=st.integers(0, 2),
    state=st.sampled_from(PHASES), started_us=st.integers(0, 3),
)  # fmt: skip
VALUE = BACKEND.map(pack) | st.binary(max_size=6)
QUIET = settings(max_examples=300, derandomize=True, deadline=None)


@QUIET
@given(VALUE, VALUE, VALUE)
def test_merging_is_commutative_associative_and_idempotent(a: bytes, b: bytes, c: bytes) -> None:
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) in (a, merge(a, a)) and merge(merge(a, b), b) == merge(a, b)


@QUIET
@given(BACKEND, BACKEND)
def test_merging_is_never_bolder_than_either(one: Backend, other: Backend) -> None:
    merged = unpack("s", merge(pack(one), pack(other)))
    assert merged is not None
    for item in (one, other):
        assert PHASES.index(merged.state) >= PHASES.index(item.state)
        assert merged.started_us >= item.started_us


SEEN = st.builds(
    Seen, seq=st.integers(0, 5), listed=st.none() | BACKEND,
    drains=st.lists(st.builds(Drain, st.integers(0, 5), st.integers(0, 3), st.integers(0, 2)), max_size=3)
    .map(tuple),
)  # fmt: skip


@QUIET
@given(BACKEND, st.integers(1, 5), SEEN)
def test_copies_never_make_a_server_bolder_than_its_own_service_says(
    own: Backend, seq: int, seen: Seen
) -> None:
    agent = Careful()
    agent.heard(seq, True, [own])
    if own.state is State.GONE:
        assert agent.changes({"s": seen}) == []
        return
    (held,) = agent.changes({"s": seen})
    assert PHASES.index(held.state) >= PHASES.index(own.state)
    assert held.started_us >= own.started_us
    if seen.seq <= seq and all(drain.seq <= seq for drain in seen.drains):
        assert held == own  # its own service has spoken since


def test_a_drain_told_to_another_holds_until_the_own_service_speaks_of_a_later_state() -> None:
    agent = Careful()
    agent.heard(3, True, [Backend("s"), Backend("t")])
    assert {item.id for item in agent.changes({})} == {"s", "t"}
    seen = {"s": Seen(0, None, (Drain(4, 0, 1),))}
    (held,) = agent.changes(seen)
    assert held.id == "s" and held.state is State.DRAINING
    assert agent.changes(seen) == []
    agent.heard(5, False, [Backend("t", cell=1)])
    assert {(item.id, item.state) for item in agent.changes(seen)} == {("s", State.READY), ("t", State.READY)}


def test_a_later_start_counts_and_an_earlier_ones_drain_does_not() -> None:
    agent = Careful()
    agent.heard(3, True, [Backend("s", started_us=10)])
    later = {"s": Seen(4, Backend("s", started_us=20))}
    (held,) = agent.changes(later)
    assert held.started_us == 20 and held.state is State.READY
    agent = Careful()
    agent.heard(3, True, [Backend("s", started_us=10)])
    (held,) = agent.changes({"s": Seen(0, None, (Drain(9, 5, 2),))})
    assert held.state is State.READY


def test_a_server_that_a_later_list_lacks_is_sent_nothing_new() -> None:
    agent = Careful()
    agent.heard(3, True, [Backend("s")])
    (held,) = agent.changes({"s": Seen(4, None)})
    assert held.state is State.DRAINING


def test_what_another_version_wrote_is_none() -> None:
    assert unpack("s", b"\x00") is None
    assert unpack("s", msgspec.msgpack.encode(Server(1, 5, "z"))) == Backend(
        "s", "z", "", 0, State.DRAINING, 1.0, 5
    )
