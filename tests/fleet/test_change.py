"""One policy change from its proposer's side: what blocks it, and how its outcome is reported."""

from __future__ import annotations

import contextlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelfront.decisions.fleet import policy as messages
from sorrelfront.decisions.fleet.change import (
    CHECK_TIMEOUT_US,
    LEASE_TIMEOUT_FACTOR,
    LOOK_TIMEOUT_US,
    Change,
    Stage,
    State,
)
from sorrelfront.decisions.fleet.messages import MalformedMessage
from sorrelfront.decisions.fleet.policy import (
    PolicyMessage,
    Prepare,
    Send,
    ValidationReply,
    ValidationRequest,
    Value,
    VoterState,
)
from sorrelfront.decisions.fleet.policy_codec import (
    MAX_POLICY_BYTES,
    MESSAGE_TYPES,
    decode_message,
    decode_record,
    decode_remembered,
    encode_message,
    encode_record,
    encode_remembered,
)

VOTERS = ("a", "b", "c")
LEASE_US = 1_000_000
VALUE = Value("new", b"N")


def change(
    members: tuple[str, ...] = ("a", "b", "c", "d"), value: Value = VALUE
) -> tuple[Change, list[Send]]:
    proposal = Change("a", VOTERS, value, 0, LEASE_US, list(members), Random(1), 0)
    return proposal, proposal.on_timer(0)


def nonce_of(sends: list[Send]) -> int:
    (found,) = {
        send.message.number
        for send in sends
        if isinstance(send.message, messages.StateQuery | ValidationRequest)
    }
    return found


def shown(
    nonce: int, voter: str, slot: int = 0, leases: tuple[tuple[str, int, int], ...] = (), blind: int = 0,
    change: str = "", under_way: str = "",
) -> VoterState:  # fmt: skip
    return VoterState(nonce, voter, slot, change, "", under_way, leases, blind, ())


def answer_query(proposal: Change, nonce: int, **more: object) -> list[Send]:
    """Two voters answer the first query."""
    proposal.on_message(shown(nonce, "a", **more), 1)  # type: ignore[arg-type]
    return proposal.on_message(shown(nonce, "b", **more), 1)  # type: ignore[arg-type]


def accepted(proposal: Change, nonce: int, *members: str) -> list[Send]:
    sends: list[Send] = []
    for member in members:
        sends += proposal.on_message(ValidationReply(nonce, member, ""), 2)
    return sends


def prepares(sends: list[Send]) -> list[Send]:
    return [send for send in sends if isinstance(send.message, Prepare)]


def test_every_member_is_asked_and_a_refusal_stops_the_change_before_it_is_proposed() -> None:
    proposal, sends = change()
    asked = answer_query(proposal, nonce_of(sends))
    assert {send.to for send in asked if isinstance(send.message, ValidationRequest)} == {"a", "b", "c", "d"}
    assert accepted(proposal, nonce_of(sends), "a", "b") == []
    assert (
        proposal.on_message(
            ValidationReply(nonce_of(sends), "d", "[limits] tries: is not a key known here"), 3
        )
        == []
    )
    outcome = proposal.outcome
    assert proposal.done and outcome.state is State.NOT_IN_FORCE and outcome.waits == ("d",)
    assert "d refuses it: [limits] tries" in outcome.why and outcome.answers["a"] == ""


def test_it_is_proposed_to_the_voters_once_all_members_accept_it() -> None:
    proposal, sends = change()
    answer_query(proposal, nonce_of(sends))
    assert prepares(accepted(proposal, nonce_of(sends), "a", "b", "c", "d"))
    assert proposal.outcome.stage is Stage.DECIDE


def test_a_silent_member_without_a_lease_is_skipped_after_a_timeout() -> None:
    proposal, sends = change()
    nonce = nonce_of(sends)
    answer_query(proposal, nonce)
    accepted(proposal, nonce, "a", "b", "c")
    assert proposal.outcome.waits == ("d",)
    later = CHECK_TIMEOUT_US + 2
    assert not prepares(proposal.on_timer(later))  # queries again which members may be serving
    proposal.on_message(shown(nonce, "a"), later)
    assert prepares(proposal.on_message(shown(nonce, "b"), later))


def test_a_silent_member_that_may_be_serving_blocks_the_change_until_its_lease_is_over() -> None:
    proposal, sends = change(("a", "b", "c"))
    nonce = nonce_of(sends)
    lease = (("x", 0, 500_000),)  # not in the view, and a voter has granted it a lease
    answer_query(proposal, nonce, leases=lease)
    accepted(proposal, nonce, "a", "b", "c")
    late = int(LEASE_TIMEOUT_FACTOR * LEASE_US)
    proposal.on_timer(late)
    proposal.on_message(shown(nonce, "a", leases=lease), late)
    assert not prepares(proposal.on_message(shown(nonce, "b", leases=lease), late))
    assert proposal.outcome.waits == ("x",)
    proposal.on_timer(late + 600_000)
    proposal.on_message(shown(nonce, "a", leases=lease), late + 600_000)
    proposal.on_message(shown(nonce, "b", leases=lease), late + 600_000)
    assert proposal.outcome.state is State.NOT_IN_FORCE and proposal.outcome.waits == ("x",)


def test_a_member_that_joins_during_the_check_is_asked_too() -> None:
    proposal, sends = change(("a", "b"))
    nonce = nonce_of(sends)
    answer_query(proposal, nonce)
    lease = (("late", 0, 500_000),)
    proposal.on_timer(400_000)
    proposal.on_message(shown(nonce, "a", leases=lease), 400_000)
    asked = proposal.on_message(shown(nonce, "b", leases=lease), 400_000)
    assert [send.to for send in asked if isinstance(send.message, ValidationRequest)] == ["late"]
    assert prepares(accepted(proposal, nonce, "a", "b", "late"))


def test_a_voter_that_has_just_restarted_does_not_count_for_who_may_be_serving() -> None:
    proposal, sends = change(("a", "b", "c"))
    nonce = nonce_of(sends)
    answer_query(proposal, nonce)
    proposal.on_timer(400_000)
    proposal.on_message(shown(nonce, "a"), 400_000)
    proposal.on_message(shown(nonce, "b", blind=10), 400_000)
    assert not prepares(accepted(proposal, nonce, "a", "b", "c"))
    assert prepares(proposal.on_message(shown(nonce, "c"), 400_000))


def test_another_change_that_was_chosen_first_ends_it() -> None:
    proposal, sends = change()
    answer_query(proposal, nonce_of(sends), slot=1, change="other")
    assert (
        proposal.outcome.state is State.NOT_IN_FORCE and "another change came first" in proposal.outcome.why
    )


def test_the_same_change_proposed_again_is_not_made_twice() -> None:
    proposal, sends = change()
    nonce = nonce_of(sends)
    sends = answer_query(proposal, nonce, slot=1, change="new")
    assert not prepares(sends) and proposal.outcome.stage is Stage.WAIT
    proposal.on_message(shown(nonce, "c", slot=1, change="new"), 5)
    assert proposal.outcome.state is State.IN_FORCE and proposal.outcome.version == 1


def test_without_a_quorum_it_fails_before_anything_is_proposed() -> None:
    proposal, sends = change()
    proposal.on_message(shown(nonce_of(sends), "a"), 1)
    proposal.on_timer(LOOK_TIMEOUT_US + 1)
    assert proposal.outcome.state is State.NOT_IN_FORCE and proposal.outcome.waits == ("b", "c")


def test_two_changes_of_one_member_never_use_the_same_ballot() -> None:
    ballots = set()
    for seed in range(2):
        proposal = Change("a", VOTERS, VALUE, 0, LEASE_US, ["a"], Random(seed), 0)
        nonce = nonce_of(proposal.on_timer(0))
        answer_query(proposal, nonce)
        (ballot,) = {
            send.message.ballot
            for send in accepted(proposal, nonce, "a")
            if isinstance(send.message, Prepare)
        }
        ballots.add(ballot)
    assert len(ballots) == 2


SAMPLES: list[PolicyMessage] = [
    messages.Prepare(1, (1, "p")),
    messages.Promise(1, (1, "p"), "a", (0, ""), None),
    messages.Accept(1, (1, "p"), VALUE),
    messages.Accepted(1, (1, "p"), "a"),
    messages.Reject(1, (2, "q"), "a"),
    messages.Chosen(1, VALUE),
    messages.Current(1, VALUE),
    messages.LearnRequest(1, "a"),
    messages.Renew("m", 1, 5),
    messages.Grant("a", 1, 5),
    messages.Release("m", 1),
    messages.RecoveryQuery("a"),
    messages.LatestSlot("a", 1),
    messages.Uninitialized("a"),
    messages.Initialize(0, None, "a"),
    messages.StateQuery(1, "m", True),
    VoterState(1, "a", 1, "new", "d", "", (("m", 1, 5),), 0, (VALUE,)),
    ValidationRequest(1, "m", b"x"),
    ValidationReply(1, "m", "no"),
]


@pytest.mark.parametrize("message", SAMPLES, ids=lambda message: type(message).__name__)
def test_each_message_is_unchanged_by_encoding_and_decoding(message: PolicyMessage) -> None:
    assert decode_message(*encode_message(message)) == message
    assert {type(item) for item in SAMPLES} == set(MESSAGE_TYPES)


@given(st.integers(-2, len(MESSAGE_TYPES) + 2), st.binary(max_size=80))
def test_any_bytes_decode_to_a_message_or_are_unreadable(kind: int, data: bytes) -> None:
    with contextlib.suppress(MalformedMessage):
        decode_message(kind, data)


@given(st.sampled_from(SAMPLES), st.integers(0, 200), st.integers(0, 255))
def test_a_corrupted_message_is_another_message_or_unreadable(
    message: PolicyMessage, at: int, byte: int
) -> None:
    kind, data = encode_message(message)
    corrupted = bytearray(data)
    corrupted[at % len(corrupted)] = byte
    for damaged in (bytes(corrupted), data[: at % len(data)]):
        try:
            decoded = decode_message(kind, damaged)
        except MalformedMessage:
            continue
        assert encode_message(decoded)[0] == kind  # and it can be encoded again


def test_what_is_out_of_bounds_is_unreadable() -> None:
    long = Value("x", b"y" * (MAX_POLICY_BYTES + 1))
    for message in (
        messages.LearnRequest(2**60, "a"),
        messages.LearnRequest(1, "a" * 600),
        messages.Chosen(1, long),
    ):
        with pytest.raises(MalformedMessage):
            decode_message(*encode_message(message))


def test_records_of_a_voter_and_of_a_member_round_trip_or_are_unreadable() -> None:
    record = messages.Record((VALUE,), 1, (2, "p"), (1, "p"), VALUE, 0, b"N")
    assert decode_record(encode_record(record)) == record
    assert decode_remembered(encode_remembered(3, b"N")) == (3, b"N")
    for read in (decode_record, decode_remembered):
        with pytest.raises(MalformedMessage):
            read(b"\x93\x01\x02")
