"""Tests of the daemon's file: every fault is reported, and no input raises anything but `BadDocument`."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.daemon.channel import MAX_MESSAGE_BYTES, receive, send, socket_pair
from sorrelfront.daemon.configuration import (
    MAX_FILE_BYTES,
    MAX_SERVERS,
    BadDocument,
    Document,
    check,
    instance_table,
    parse,
    read,
)
from sorrelfront.daemon.fleet import InstanceConfig
from sorrelfront.platform import config

SHIPPED = Path(__file__).parents[2] / "deploy" / "sorrelfront.toml"
PATH = Path("/etc/sorrelfront.toml")
GOOD = """
[daemon]
control = "c.sock"
[listeners.http]
address = "127.0.0.1:8080"
[classes.look]
repeat = "safe"
aim_ms = 100
deadline_ms = 1000
[membership]
source = "fixed"
servers = [{ id = "a", address = "127.0.0.1:9001" }]
"""


def faults(text: str) -> list[str]:
    with pytest.raises(BadDocument) as caught:
        parse(text.encode(), PATH)
    return caught.value.lines()


def test_the_shipped_file_is_valid_and_an_instance_accepts_its_terms() -> None:
    document = read(SHIPPED)
    for number in range(document.daemon["instances"]):
        terms = config.parse(instance_table(document, number))
        assert terms.settings.number == number and terms.settings.agents == 2
        assert {cls.name for cls in terms.settings.classes} == set(document.classes)
        assert terms.settings.drain_grace_us == 500_000
    seeds = {instance_table(document, number)["seed"] for number in range(2)}
    assert len(seeds) == 2


def test_a_fixed_list_becomes_the_instances_known_servers() -> None:
    terms = config.parse(instance_table(parse(GOOD.encode(), PATH), 0))
    assert [backend.id for backend in terms.cached_list.backends] == ["a"]
    assert terms.cached_list.addresses == {"a": ("127.0.0.1", 9001)} and not terms.settings.subscribe


def test_all_faults_are_reported_at_once_with_file_table_and_key() -> None:
    text = """
    [daemon]
    contol = 1
    instances = 0
    [listeners.x]
    address = "nowhere"
    [classes.a]
    repeat = "keyed"
    aim_ms = 5
    deadline_ms = 1
    [limts]
    """
    lines = faults(text)
    for part in (
        "[] limts: is not a key known here; the nearest is 'limits'",
        "[daemon] contol: is not a key known here; the nearest is 'control'",
        "[daemon] control: is missing",
        "[daemon] instances: must be at least 1: 0",
        "[listeners.x] address: is not an IPv4 address",
        "[classes.a] window_ms: is missing",
        "[classes.a] aim_ms: must not be above deadline_ms",
        "[membership] address: is missing",
    ):
        assert any(line.startswith(f"{PATH}: ") and part in line for line in lines), (part, lines)


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('control = "c.sock"', 'control = "c.sock"\nseed = true', "[daemon] seed: is not a whole number"),
        ('control = "c.sock"', f'control = "{"c" * 200}"', "[daemon] control: is too long"),
        ("aim_ms = 100", "aim_ms = nan", "[classes.look] aim_ms: must be at least"),
        ("aim_ms = 100", "aim_ms = inf", "[classes.look] aim_ms: must be at most"),
        ('repeat = "safe"', 'repeat = "sometimes"', "[classes.look] repeat: must be one of"),
        ('repeat = "safe"', 'repeat = "safe"\nwindow_ms = 5', "[classes.look] window_ms: goes with"),
        ('"127.0.0.1:9001" }', '"127.0.0.1:9001" }, { id = "a", address = "127.0.0.1:2" }', "is there twice"),
        ("[classes.look]", "[listeners.b]\naddress='127.0.0.1:8080'\n[classes.look]", "listeners.http too"),
        ('source = "fixed"', "", "goes with source = 'fixed' only"),
    ],
)
def test_a_key_is_checked_for_type_range_and_against_other_keys(old: str, new: str, fault: str) -> None:
    assert old in GOOD
    assert any(fault in line for line in faults(GOOD.replace(old, new, 1)))


def test_the_largest_file_and_list_reach_an_instance_complete() -> None:
    """Guards the documented limits: 10,000 servers, a file of 4 MiB, and terms that fit one message.

    Terms that exceed the size of a message could not be sent to an instance.
    """

    def text(count: int, length: int) -> bytes:
        name = "n" * length
        rows = ",\n".join(
            f'{{ id = "{n:05d}{name}", address = "127.0.0.1:{1024 + n}" }}' for n in range(count)
        )
        return GOOD.replace('{ id = "a", address = "127.0.0.1:9001" }', rows).encode()

    longest = 123  # of an id's 128 characters, after five digits
    while len(text(MAX_SERVERS, longest)) > MAX_FILE_BYTES:
        longest -= 1
    document = parse(text(MAX_SERVERS, longest), PATH)
    terms = InstanceConfig(document)
    assert terms.size < MAX_MESSAGE_BYTES
    sender, receiver = socket_pair()
    with sender, receiver:
        assert send(sender, terms.message("start", "i0", 1))
        message = receive(receiver)
        assert message is not None
        assert len(config.parse(message[0]["table"]).cached_list.backends) == MAX_SERVERS
    assert any("must be at most 10000" in line for line in faults(text(MAX_SERVERS + 1, 0).decode()))
    assert any("is longer than" in line for line in faults("#" * (MAX_FILE_BYTES + 1)))


VALUES: st.SearchStrategy[Any] = st.recursive(
    st.one_of(st.booleans(), st.integers(), st.floats(), st.text(max_size=8)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def outcome(data: bytes) -> Document | list[str]:
    try:
        document = parse(data, PATH)
    except BadDocument as bad:
        lines = bad.lines()
        assert lines and all(line.startswith(f"{PATH}: ") and "\n" not in line for line in lines)
        return lines
    for number in range(2):  # an instance must accept the terms of a valid file
        config.parse(instance_table(document, min(number, document.daemon["instances"] - 1)))
    return document


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_reported_as_faults(data: bytes) -> None:
    outcome(data)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.data())
def test_a_mutated_valid_file_gives_faults_or_valid_terms(data: st.DataObject) -> None:
    text = SHIPPED.read_text()
    lines = text.split("\n")
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(lines) - 1))
        mutation = data.draw(st.sampled_from(["drop", "twice", "value", "noise"]))
        if mutation == "drop":
            del lines[index]
        elif mutation == "twice":
            lines.insert(index, lines[index])
        elif mutation == "value" and "=" in lines[index]:
            odd = ["-1", "0", "1e400", "nan", "true", '""', "[]", "{}", "9" * 30]
            value = data.draw(st.sampled_from(odd))
            lines[index] = f"{lines[index].split('=')[0]}= {value}"
        else:
            lines[index] = data.draw(st.text(max_size=20))
    outcome("\n".join(lines).encode("utf-8", "surrogatepass"))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.sampled_from(["daemon", "listeners", "classes", "limits", "rules", "membership"]), VALUES)
def test_any_value_in_place_of_a_table_raises_only_bad_document(table: str, value: Any) -> None:
    top = tomllib.loads(GOOD)
    top[table] = value
    try:
        check(top, PATH)
    except BadDocument as bad:
        assert bad.lines()


FLEET = """
[fleet]
name = "f"
listen = "127.0.0.1:7946"
join = ["127.0.0.2:7946"]
"""


def test_fleet_members_have_their_own_ports_names_and_records() -> None:
    daemon_keys = 'control = "c.sock"\ninstances = 3\nstate_dir = "s"\nname = "a"'
    text = GOOD.replace('control = "c.sock"', daemon_keys)
    document = parse((text + FLEET + 'advertise = "127.9.0.1:100"\nkey_file = "k"\n').encode(), PATH)
    fleet_terms = [instance_table(document, number)["fleet"] for number in range(3)]
    assert [item["member"] for item in fleet_terms] == ["a/i0", "a/i1", "a/i2"]
    assert [item["listen"] for item in fleet_terms] == ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"]
    assert [item["advertise"] for item in fleet_terms] == ["127.9.0.1:100", "127.9.0.1:101", "127.9.0.1:102"]
    assert fleet_terms[1]["record"] == "/etc/s/view-i1" and fleet_terms[1]["key_file"] == "/etc/k"
    assert instance_table(parse(GOOD.encode(), PATH), 0)["fleet"] is None
    plain = parse((GOOD + FLEET).encode(), PATH)
    assert plain.fleet is not None and plain.fleet["advertise"] == plain.fleet["listen"]


@pytest.mark.parametrize(
    ("changed", "fault"),
    [
        ('listen = "127.0.0.1:65535"', "[fleet] listen: has no 2 ports from 65535 on"),
        ('listen = "10.0.0.1:7946"', "[fleet] key_file: is missing"),
        ('listen = "127.0.0.1:8079"', "[fleet] listen: with the ports that follow is that of a listener too"),
        ('listen = "nowhere"', "[fleet] listen: is not an IPv4 address and a port"),
        ('listen = "127.0.0.1:7946"\nanswer_ms = 1000', "[fleet] answer_ms: must be below probe_ms"),
        ('listen = "127.0.0.1:7946"\nprobe_ms = 1', "[fleet] probe_ms: must be at least 20"),
        ('listen = "127.0.0.1:7946"\nport = 3', "[fleet] port: is not a key known here"),
    ],
)
def test_an_invalid_fleet_table_is_reported(changed: str, fault: str) -> None:
    lines = faults(GOOD + FLEET.replace('listen = "127.0.0.1:7946"', changed))
    assert any(fault in line for line in lines), lines
    assert faults(GOOD + FLEET.replace('"127.0.0.2:7946"', '"here"'))[0].count("[fleet] join: has 'here'")
