"""Validation of received messages: corrupt, cut, replayed, oversized, foreign and older datagrams."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    FullState,
    Gossip,
    MalformedMessage,
    MemberUpdate,
    Message,
    Nack,
    NameConflict,
    Ping,
    PingRequest,
    State,
    decode,
    decode_stream,
    encode,
)
from sorrelfront.decisions.fleet.view import Send, Settings, View
from sorrelfront.fleet.envelope import ENVELOPE_BYTES, EnvelopeCodec, InvalidKeyFile, read_keys
from tests.fleet.test_view import make_view, member_update

MESSAGES: list[Message] = [
    Ping(
        1, member_update("a"), "me", 5, [member_update("b", State.SUSPECT), member_update("c", State.LEFT, 9)]
    ),
    Ack(2, "a", 5, [member_update("me", State.DEAD, 3, process_nonce=1)]),
    PingRequest(3, member_update("a"), "b", "10.0.0.1", 80, [member_update("d")]),
    Nack(4, "b"),
    Gossip([member_update(f"m{number}") for number in range(20)]),
    NameConflict("me", "10.0.0.1", 80, 77, 1_000, False),
]
CODEC = EnvelopeCodec("f", (b"k" * 16,))
MUTATIONS = int(os.environ.get("SORRELFRONT_MUTATIONS", "20000"))  # a long run uses a million


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_messages_round_trip(message: Message) -> None:
    assert decode(encode(message)) == message
    state = FullState(member_update("a"), [member_update(f"m{number}") for number in range(300)], True)
    assert decode_stream(encode(state)) == state


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=1_500))
def test_any_bytes_decode_or_raise_the_expected_error(data: bytes) -> None:
    for read in (decode, decode_stream):
        try:
            read(data)
        except MalformedMessage as error:
            assert str(error)
    assert CODEC.unwrap(data) is None


def test_mutated_datagrams_neither_raise_nor_exceed_bounds() -> None:
    """Corrupt payloads are handled behind the hash too, as from a faulty member that has the key."""
    view = make_view(max_members=64)
    random = Random(1)
    encoded = [encode(message) for message in MESSAGES]
    now = read = 0
    for _ in range(MUTATIONS):
        data = bytearray(random.choice(encoded))
        for _ in range(random.randrange(1, 5)):
            match random.randrange(4):
                case 0:
                    data[random.randrange(len(data))] = random.randrange(256)
                case 1:
                    del data[random.randrange(len(data)) :]
                case 2:
                    data[random.randrange(len(data) + 1) : 0] = random.randbytes(random.randrange(9))
                case 3:
                    data += random.choice(encoded)
            if not data:
                data = bytearray(b"\x00")
        now += random.randrange(20_000)
        assert CODEC.unwrap(bytes(data)) is None
        try:
            message = decode(bytes(data))
        except MalformedMessage:
            continue
        read += 1
        if view.yielded:  # this process yielded its name: go on with another one
            view = make_view(now, max_members=64)
        view.on_message(message, now)
        if view.next_timer_us() <= now:
            view.on_timer(now)
        assert len(view.members) <= 64 and len(view._relayed_pings) <= 256
        assert len(view._broadcasts) <= 128 and len(view._conflicts) <= 16
    assert read > MUTATIONS // 50  # enough of them decoded


def test_replayed_datagram_changes_nothing_and_costs_one_reply() -> None:
    view = make_view()
    ping = Ping(1, member_update("a"), "me", 0, [member_update("b", State.SUSPECT)])
    view.on_message(ping, 0)
    before = dict(view.members)
    for _ in range(1_000):
        assert len([item for item in view.on_message(ping, 0) if isinstance(item, Send)]) == 1
    assert view.members == before


def test_older_reader_ignores_appended_fields() -> None:
    import msgspec

    items = msgspec.msgpack.decode(encode(Nack(4, "b")))
    assert decode(msgspec.msgpack.encode([*items, "from a later version"])) == Nack(4, "b")


def test_every_datagram_fits_with_the_largest_updates() -> None:
    view = View(
        MemberUpdate("n" * 128, "255.255.255.255", 65_535, State.ALIVE, 2**62, 2**62),
        Settings(),
        Random(1),
        0,
    )
    view.seed_members(
        [
            MemberUpdate(f"{number}" * 40, "255.255.255.255", 65_535, State.ALIVE, 2**62, 2**62)
            for number in range(9)
        ]
    )
    for number in range(200):
        view.on_message(
            Gossip(
                [
                    MemberUpdate(
                        f"{number:0128}", "255.255.255.255", 65_535, State.SUSPECT, 2**62, 2**62, "b" * 128
                    )
                ]
            ),
            0,
        )
    now = 0
    sizes = []
    for _ in range(300):
        now = view.next_timer_us()
        sizes += [
            len(encode(item.message)) + ENVELOPE_BYTES
            for item in view.on_timer(now)
            if isinstance(item, Send)
        ]
    assert sizes and max(sizes) <= MAX_DATAGRAM_BYTES


def test_envelope_rejects_other_fleets_keys_versions_and_cut_data() -> None:
    data = CODEC.wrap(b"payload")
    assert CODEC.unwrap(data) == b"payload"
    assert EnvelopeCodec("g", CODEC.keys).unwrap(data) is None
    assert EnvelopeCodec("f", (b"x" * 16,)).unwrap(data) is None
    # The previous key is still accepted.
    assert EnvelopeCodec("f", (b"x" * 16, b"k" * 16)).unwrap(data) == b"payload"
    assert CODEC.unwrap(bytes([2]) + data[1:]) is None
    for at in range(len(data)):
        assert CODEC.unwrap(data[:at]) is None
        assert CODEC.unwrap(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]) is None


def test_key_file_must_be_private_to_its_owner(tmp_path: Path) -> None:
    path = tmp_path / "key"
    path.write_text("0123456789abcdef\nfedcba9876543210\n")
    path.chmod(0o644)
    with pytest.raises(InvalidKeyFile, match="0600"):
        read_keys(str(path))
    path.chmod(0o600)
    assert read_keys(str(path)) == (b"0123456789abcdef", b"fedcba9876543210")
    path.write_text("short\n")
    with pytest.raises(InvalidKeyFile, match="16 to 64"):
        read_keys(str(path))
    with pytest.raises(InvalidKeyFile, match="No such file"):
        read_keys(str(tmp_path / "none"))
    (tmp_path / "link").symlink_to(path)
    with pytest.raises(InvalidKeyFile):
        read_keys(str(tmp_path / "link"))
