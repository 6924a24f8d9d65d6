"""Keys, and the wire format of messages between sites."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.sites.offers import MAX_CHAINS, Chain, Offer, Relation
from sorrelfront.decisions.sites.routes import Advertisement, ChangeNotice
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.sites.keys import (
    BadSiteKey,
    Keys,
    create_key_file,
    load_private_key,
    parse_public_key,
    public_key_text,
)
from sorrelfront.sites.wire import LENGTH_BYTES, BadPartnerMessage, decode_frame, encode_frame

CHALLENGE = b"c" * 16


def pair(tmp_path: Path) -> tuple[Keys, Keys]:
    a, b = create_key_file(tmp_path / "a"), create_key_file(tmp_path / "b")
    return Keys(load_private_key(tmp_path / "a"), {"b": [b]}), Keys(
        load_private_key(tmp_path / "b"), {"a": [a]}
    )


def test_a_message_is_valid_from_its_signer_on_one_connection_only(tmp_path: Path) -> None:
    a, b = pair(tmp_path)
    frame = encode_frame("a", ChangeNotice("a"), CHALLENGE, a.sign)[LENGTH_BYTES:]
    assert decode_frame(frame, CHALLENGE, b.verify) == ChangeNotice("a")
    with pytest.raises(BadPartnerMessage, match="not signed"):
        decode_frame(frame, b"d" * 16, b.verify)
    with pytest.raises(BadPartnerMessage, match="not signed"):
        decode_frame(
            encode_frame("a", ChangeNotice("a"), CHALLENGE, b.sign)[LENGTH_BYTES:], CHALLENGE, b.verify
        )
    with pytest.raises(BadPartnerMessage, match="signed by a names b as its sender"):
        decode_frame(
            encode_frame("a", ChangeNotice("b"), CHALLENGE, a.sign)[LENGTH_BYTES:], CHALLENGE, b.verify
        )
    for at in range(len(frame)):
        spoilt = frame[:at] + bytes([frame[at] ^ 1]) + frame[at + 1 :]
        with pytest.raises(BadPartnerMessage):
            decode_frame(spoilt, CHALLENGE, b.verify)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_bad_partner_word(data: bytes) -> None:
    with pytest.raises(BadPartnerMessage):
        decode_frame(data, CHALLENGE, lambda *_: True)


def test_a_key_file_is_readable_by_its_owner_only(tmp_path: Path) -> None:
    text = create_key_file(tmp_path / "key")
    assert (
        public_key_text(load_private_key(tmp_path / "key")) == text
        and os.stat(tmp_path / "key").st_mode & 0o777 == 0o600
    )
    with pytest.raises(OSError):
        create_key_file(tmp_path / "key")  # an existing file is not overwritten
    (tmp_path / "key").chmod(0o640)
    with pytest.raises(BadSiteKey, match="others may read"):
        load_private_key(tmp_path / "key")
    (tmp_path / "key").chmod(0o600)
    for wrong in ("", "short", "x" * 500):
        (tmp_path / "key").write_text(wrong)
        with pytest.raises(BadSiteKey):
            load_private_key(tmp_path / "key")
    with pytest.raises(BadSiteKey):
        load_private_key(tmp_path / "none")
    for other in ("", "rsa:x", "ed25519:x"):
        with pytest.raises(BadSiteKey):
            parse_public_key(other)


def test_a_site_can_rotate_its_key_while_partners_know_both(tmp_path: Path) -> None:
    old, new = create_key_file(tmp_path / "old"), create_key_file(tmp_path / "new")
    own = load_private_key(tmp_path / "new")
    for known, good in (([old], False), ([old, new], True), ([new], True)):
        reader = Keys(own, {"a": known})
        assert reader.verify("a", own.sign(b"x"), b"x") == good
        assert not reader.verify("b", own.sign(b"x"), b"x")


def test_a_ticket_identifies_one_partner_at_all_gateways_of_a_site(tmp_path: Path) -> None:
    a, b = pair(tmp_path)
    again = Keys(load_private_key(tmp_path / "b"), {"a": [public_key_text(load_private_key(tmp_path / "a"))]})
    assert (
        b.check_ticket("a", again.ticket("a"))
        and not b.check_ticket("a", b.ticket("b"))
        and not b.check_ticket("z", b.ticket("z"))
    )
    assert a.ticket("b") != b.ticket("a")


def test_an_advertisement_with_too_many_chains_is_refused_whole(tmp_path: Path) -> None:
    a, b = pair(tmp_path)
    offer = Offer("a", "a/i", "x", 1, 1, 1, 0, 1, 1, "", terms(left_ms=9_000))
    for count, good in ((MAX_CHAINS, True), (MAX_CHAINS + 1, False)):
        chains = (Chain(offer),) * count
        tell = Advertisement(
            "a", "b", "a/i", "127.0.0.1:1", 1, 1, 1, 1, b"", chains, (0,) * count, Relation.PEER
        )
        frame = encode_frame("a", tell, CHALLENGE, a.sign)[LENGTH_BYTES:]
        if good:
            assert decode_frame(frame, CHALLENGE, b.verify) == tell
        else:
            with pytest.raises(BadPartnerMessage, match="cannot be read"):
                decode_frame(frame, CHALLENGE, b.verify)
