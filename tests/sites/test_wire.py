"""Keys, and the wire format of messages between sites."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.sites.offers import CHAINS_MOST, Chain, Offer, Relation
from sorrelfront.decisions.sites.routes import News, Tell
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.sites.keys import BadSiteKey, Keys, make, parse_public_key, private, public_key_text
from sorrelfront.sites.wire import LENGTH_BYTES, BadPartnerWord, pack, unpack

CHALLENGE = b"c" * 16


def pair(tmp_path: Path) -> tuple[Keys, Keys]:
    a, b = make(tmp_path / "a"), make(tmp_path / "b")
    return Keys(private(tmp_path / "a"), {"b": [b]}), Keys(private(tmp_path / "b"), {"a": [a]})


def test_a_message_is_valid_from_its_signer_on_one_connection_only(tmp_path: Path) -> None:
    a, b = pair(tmp_path)
    frame = pack("a", News("a"), CHALLENGE, a.sign)[LENGTH_BYTES:]
    assert unpack(frame, CHALLENGE, b.verify) == News("a")
    with pytest.raises(BadPartnerWord, match="not signed"):
        unpack(frame, b"d" * 16, b.verify)
    with pytest.raises(BadPartnerWord, match="not signed"):
        unpack(pack("a", News("a"), CHALLENGE, b.sign)[LENGTH_BYTES:], CHALLENGE, b.verify)
    with pytest.raises(BadPartnerWord, match="signed by a names b as its sender"):
        unpack(pack("a", News("b"), CHALLENGE, a.sign)[LENGTH_BYTES:], CHALLENGE, b.verify)
    for at in range(len(frame)):
        spoilt = frame[:at] + bytes([frame[at] ^ 1]) + frame[at + 1 :]
        with pytest.raises(BadPartnerWord):
            unpack(spoilt, CHALLENGE, b.verify)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_bad_partner_word(data: bytes) -> None:
    with pytest.raises(BadPartnerWord):
        unpack(data, CHALLENGE, lambda *_: True)


def test_a_key_file_is_readable_by_its_owner_only(tmp_path: Path) -> None:
    text = make(tmp_path / "key")
    assert (
        public_key_text(private(tmp_path / "key")) == text
        and os.stat(tmp_path / "key").st_mode & 0o777 == 0o600
    )
    with pytest.raises(OSError):
        make(tmp_path / "key")  # an existing file is not overwritten
    (tmp_path / "key").chmod(0o640)
    with pytest.raises(BadSiteKey, match="others may read"):
        private(tmp_path / "key")
    (tmp_path / "key").chmod(0o600)
    for wrong in ("", "short", "x" * 500):
        (tmp_path / "key").write_text(wrong)
        with pytest.raises(BadSiteKey):
            private(tmp_path / "key")
    with pytest.raises(BadSiteKey):
        private(tmp_path / "none")
    for other in ("", "rsa:x", "ed25519:x"):
        with pytest.raises(BadSiteKey):
            parse_public_key(other)


def test_a_site_can_rotate_its_key_while_partners_know_both(tmp_path: Path) -> None:
    old, new = make(tmp_path / "old"), make(tmp_path / "new")
    own = private(tmp_path / "new")
    for known, good in (([old], False), ([old, new], True), ([new], True)):
        reader = Keys(own, {"a": known})
        assert reader.verify("a", own.sign(b"x"), b"x") == good
        assert not reader.verify("b", own.sign(b"x"), b"x")


def test_a_ticket_identifies_one_partner_at_all_gateways_of_a_site(tmp_path: Path) -> None:
    a, b = pair(tmp_path)
    again = Keys(private(tmp_path / "b"), {"a": [public_key_text(private(tmp_path / "a"))]})
    assert (
        b.shows("a", again.ticket("a"))
        and not b.shows("a", b.ticket("b"))
        and not b.shows("z", b.ticket("z"))
    )
    assert a.ticket("b") != b.ticket("a")


def test_an_advertisement_with_too_many_chains_is_refused_whole(tmp_path: Path) -> None:
    a, b = pair(tmp_path)
    offer = Offer("a", "a/i", "x", 1, 1, 1, 0, 1, 1, "", terms(left_ms=9_000))
    for count, good in ((CHAINS_MOST, True), (CHAINS_MOST + 1, False)):
        chains = (Chain(offer),) * count
        tell = Tell("a", "b", "a/i", "127.0.0.1:1", 1, 1, 1, 1, b"", chains, (0,) * count, Relation.PEER)
        frame = pack("a", tell, CHALLENGE, a.sign)[LENGTH_BYTES:]
        if good:
            assert unpack(frame, CHALLENGE, b.verify) == tell
        else:
            with pytest.raises(BadPartnerWord, match="cannot be read"):
                unpack(frame, CHALLENGE, b.verify)
