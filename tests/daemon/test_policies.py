"""A policy as a document: validated, compared, overlaid on a host's own file."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
import tomli_w

from sorrelfront.daemon import policies
from sorrelfront.daemon.configuration import BadDocument, Document, instance_table
from sorrelfront.daemon.configuration import parse as parse_file

FILE = """
[daemon]
control = "c.sock"
state_dir = "state"
[listeners.http]
address = "127.0.0.1:8080"
[classes.look]
repeat = "safe"
aim_ms = 300
deadline_ms = 2500
[membership]
address = "127.0.0.1:9"
[fleet]
name = "t"
listen = "127.0.0.1:7946"
voters = ["a/i0"]
"""


def document(more: str = "") -> Document:
    return parse_file((FILE + more).encode(), Path("/x/s.toml"))


def policy(text: str) -> policies.Policy:
    return policies.check(tomllib.loads(text), Path("p.toml"))


LOOK = '[classes.look]\nrepeat = "unsafe"\naim_ms = 300\ndeadline_ms = 2500\n'


def test_an_encoded_policy_round_trips_and_its_digest_ignores_who_proposed_it() -> None:
    made = policy('out = ["s2", "s1", "s1"]\n' + LOOK)
    found, envelope = policies.decode_envelope(policies.encode_envelope(made, "ann", 1.0, "p.toml"))
    assert found == made and found.digest == made.digest and made.out == ("s1", "s2")
    assert policies.check(tomllib.loads(tomli_w.dumps(made.table())), Path("shown")) == made
    assert (envelope.who, envelope.file) == ("ann", "p.toml")


@pytest.mark.parametrize("data", [b"", b"{", b'{"policy": 3}', b'{"policy": {}}', b"\xff", b"[" * 40_000])
def test_an_invalid_document_is_rejected_with_a_reason(data: bytes) -> None:
    assert policies.rejection_reason(data, instance_table(document(), 0))


def test_an_unknown_key_is_rejected_by_name() -> None:
    made = policies.encode_envelope(policy(LOOK), "ann", 1.0, "p.toml").replace(b'"tries"', b'"attempts"')
    assert "[limits] attempts: is not a key known here" in policies.rejection_reason(
        made, instance_table(document(), 0)
    )


def test_differences_are_listed_as_text() -> None:
    old, new = policies.from_document(document()), policy('out = ["s1"]\n' + LOOK + "[limits]\ntries = 2\n")
    assert policies.differences(old, new) == [
        "[classes.look] repeat: 'safe' -> 'unsafe'", "[limits] tries: 3 -> 2", "server s1 is out",
    ]  # fmt: skip
    assert policies.differences(new, new) == []


def test_an_unreadable_policy_changes_nothing_and_a_too_long_file_is_tolerated() -> None:
    classes = "".join(
        f'[classes.c{number}]\nrepeat = "safe"\naim_ms = 300\ndeadline_ms = 2500\n' for number in range(300)
    )
    table = instance_table(document(classes), 0)
    applied: list[object] = []
    governed = policies.PolicyOverlay(table, lambda terms, made: applied.append(made))
    assert governed.apply_version(1, b"{") and not applied
    made = policy(LOOK)
    assert governed.apply_version(2, policies.encode_envelope(made, "ann", 1.0, "")) == "" and applied == [
        made
    ]
    assert [item["name"] for item in governed.terms(table)["settings"]["grades"]] == ["look"]


def test_voters_are_odd_in_number_and_need_a_state_folder() -> None:
    for voters in ('["a/i0", "b/i0"]', '["a/i0", "a/i0", "b/i0"]', "[1]"):
        with pytest.raises(BadDocument, match="faults"):
            parse_file(FILE.replace('["a/i0"]', voters).encode(), Path("/x/s.toml"))
    with pytest.raises(BadDocument):
        parse_file(FILE.replace('state_dir = "state"', "").encode(), Path("/x/s.toml"))
