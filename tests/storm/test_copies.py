"""Copies between real processes: what neighbours know serves one that returns; those that differ settle."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from sorrelfront.lab.storm.history import read
from sorrelfront.lab.storm.run import play
from sorrelfront.lab.storm.scenario import parse
from tests.storm.test_storms import fault

HEAD = """
[storm]
name = "{name}"
seconds = {seconds}
hosts = {hosts}
instances = 2
servers = 4
fleet = true
copies = {copies}
hang_ms = 20000
plant = "{plant}"
[load]
clients = 4
pause_ms = 20
[expect]
settle_s = 60
answers = 10
[void]
lag_ms = 5000
relay_us = 1000000
"""
Event = dict[str, Any]
SPREAD_S = (
    1.0  # for a drain that one member was told to be held to by all: a comparison or two, and half a second
)


def storm(
    name: str, faults: str, seconds: float, folder: Path | None, hosts: int = 3, copies: bool = True,
    plant: str = "", seed: int = 1,
) -> tuple[dict[str, Any], list[Event]]:  # fmt: skip
    head = HEAD.format(name=name, seconds=seconds, hosts=hosts, copies=str(copies).lower(), plant=plant)
    verdict = play(parse((head + faults).encode(), Path(f"{name}.toml")), seed, folder)
    return verdict, read(folder / "history.jsonl") if folder is not None else []


def held(name: str, faults: str, seconds: float, folder: Path, hosts: int = 3) -> list[Event]:
    verdict, events = storm(name, faults, seconds, folder, hosts)
    assert verdict["result"] == "held", json.dumps(verdict["rules"], indent=1)
    return events


def at(events: list[Event], what: str, phase: str = "begin") -> float:
    return next(
        float(event["t"])
        for event in events
        if event["kind"] == "fault" and event["what"] == what and event["phase"] == phase
    )


def served(events: list[Event], host: str, since: float, until: float) -> int:
    return sum(
        event["kind"] == "answer" and event["host"] == host and event["status"] == "200"
        and since < event["t"] < until
        for event in events
    )  # fmt: skip


def arrivals(events: list[Event], host: str, server: str, since: float, until: float) -> int:
    return sum(
        event["kind"] == "arrive" and event["host"] == host and event["server"] == server
        and since < event["sent"] < until
        for event in events
    )  # fmt: skip


LIST_OUT = fault("list-down", 1.0, 6.5) + fault("power", 1.5, 0.5, "h1 h2 h3")


def test_all_are_started_while_the_list_is_out_and_serve_by_their_copies(tmp_path: Path) -> None:
    events = held("list-out", LIST_OUT, 8.0, tmp_path)
    back, up = at(events, "list-down", "over"), at(events, "power", "over")
    for host in ("h1", "h2", "h3"):
        assert served(events, host, up, back) > 20
    told = [event["line"] for event in events if event["kind"] == "said"]
    assert sum("serving by the fleet's copy of the list" in line for line in told) >= 6
    last = {(event["host"], event["instance"]): event for event in events if event["kind"] == "copies"}
    assert not any(event["by_copy"] for event in last.values())  # the service's own word came back


def test_without_copies_nobody_serves_until_the_list_is_back(tmp_path: Path) -> None:
    _, events = storm("list-out-alone", LIST_OUT, 8.0, tmp_path, copies=False)
    back, up = at(events, "list-down", "over"), at(events, "power", "over")
    assert not any(served(events, host, up, back) for host in ("h1", "h2", "h3"))


def test_a_drain_told_to_any_is_told_to_one_whose_list_is_cut_off(tmp_path: Path) -> None:
    faults = fault("cut", 0.5, 6.0, "h1", "list") + fault("server-drain", 2.0, to="s1")
    events = held("drain", faults, 7.0, tmp_path)
    drained, healed = at(events, "server-drain"), at(events, "cut", "over")
    assert arrivals(events, "h1", "s1", 0, drained) > 0
    assert arrivals(events, "h1", "s1", drained + SPREAD_S, healed) == 0
    assert arrivals(events, "h1", "s2", drained + SPREAD_S, healed) > 0


OLD_DISK = (
    fault("server-drain", 0.5, to="s1 s2")
    + fault("list-down", 1.5, 6.0)
    + fault("power", 2.0, 1.0, "h1 h2 h3")
    + fault("disk-back", 2.4, 0, "h1")
)


def test_an_older_disk_acts_on_nothing_before_it_is_level(tmp_path: Path) -> None:
    """And a planted defect that does is found: it sends to servers that its host was told to drain."""
    events = held("old-disk", OLD_DISK, 8.0, tmp_path / "well")
    assert served(events, "h1", at(events, "power", "over"), at(events, "list-down", "over")) > 20
    for seed in range(1, 6):
        verdict, _ = storm("old-disk", OLD_DISK, 8.0, None, plant="trusts-old-copies", seed=seed)
        if verdict["rules"]["drains"]["breaches"]:
            return
    pytest.fail("the planted defect was not found within five seeds")


STORMS = {
    "old-torn-none": fault("kill", 0.5, 1.5, "h1 h2 h4") + fault("disk-back", 1.0, 0, "h1")
    + fault("disk-torn", 1.0, 0, "h2") + fault("disk-gone", 1.0, 0, "h4")
    + fault("server-drain", 0.8, to="s1"),
    "clone": fault("twin", 0.8, 3.0, "h2") + fault("server-drain", 1.5, to="s1"),
    "parted": fault("cut", 0.5, 3.0, "h1 h2", "h3 h4") + fault("cut", 0.5, 3.0, "h1 h2", "list")
    + fault("server-drain", 1.0, to="s1") + fault("restart", 3.3, 0, "h3"),
    "frozen": fault("freeze", 0.5, 3.5, "h2") + fault("server-drain", 1.0, to="s1"),
    "giver-killed": fault("kill", 0.5, 1.0, "h1") + fault("kill", 1.55, 0.5, "h2")
    + fault("kill", 2.1, 0.5, "h3") + fault("disk-gone", 1.0, 0, "h1"),
    "everything": fault("power", 1.0, 0.5, "h1 h2 h3 h4"),
}  # fmt: skip


@pytest.mark.parametrize("name", STORMS)
def test_members_hold_the_same_copies_after(name: str, tmp_path: Path) -> None:
    events = held(name, STORMS[name], 5.0, tmp_path, hosts=4)
    last = {(event["host"], event["instance"]): event for event in events if event["kind"] == "copies"}
    assert len(last) == 8 and len({event["digest"] for event in last.values()}) == 1
