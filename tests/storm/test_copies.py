"""Replication between real processes: a restarted host serves by its peers' state, and members converge."""

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
# Within which all members apply a drain that one member was told: one or two comparisons, and half a second.
SPREAD_S = 1.0


def storm(
    name: str, faults: str, seconds: float, folder: Path | None, hosts: int = 3, copies: bool = True,
    plant: str = "", seed: int = 1,
) -> tuple[dict[str, Any], list[Event]]:  # fmt: skip
    head = HEAD.format(name=name, seconds=seconds, hosts=hosts, copies=str(copies).lower(), plant=plant)
    verdict = play(parse((head + faults).encode(), Path(f"{name}.toml")), seed, folder)
    return verdict, read(folder / "history.jsonl") if folder is not None else []


def run_without_breach(name: str, faults: str, seconds: float, folder: Path, hosts: int = 3) -> list[Event]:
    verdict, events = storm(name, faults, seconds, folder, hosts)
    assert verdict["result"] == "held", json.dumps(verdict["rules"], indent=1)
    return events


def fault_time(events: list[Event], what: str, phase: str = "begin") -> float:
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


def test_all_hosts_restarted_while_the_list_is_down_serve_by_their_replicas(tmp_path: Path) -> None:
    events = run_without_breach("list-out", LIST_OUT, 8.0, tmp_path)
    list_back, hosts_up = fault_time(events, "list-down", "over"), fault_time(events, "power", "over")
    for host in ("h1", "h2", "h3"):
        assert served(events, host, hosts_up, list_back) > 20
    lines = [event["line"] for event in events if event["kind"] == "said"]
    assert sum("serving by the fleet's copy of the list" in line for line in lines) >= 6
    last = {(event["host"], event["instance"]): event for event in events if event["kind"] == "copies"}
    assert not any(event["by_copy"] for event in last.values())  # the list service is back


def test_without_replication_no_host_serves_until_the_list_is_back(tmp_path: Path) -> None:
    _, events = storm("list-out-alone", LIST_OUT, 8.0, tmp_path, copies=False)
    list_back, hosts_up = fault_time(events, "list-down", "over"), fault_time(events, "power", "over")
    assert not any(served(events, host, hosts_up, list_back) for host in ("h1", "h2", "h3"))


def test_a_drain_reaches_a_host_that_is_cut_off_from_the_list(tmp_path: Path) -> None:
    faults = fault("cut", 0.5, 6.0, "h1", "list") + fault("server-drain", 2.0, to="s1")
    events = run_without_breach("drain", faults, 7.0, tmp_path)
    drained, healed = fault_time(events, "server-drain"), fault_time(events, "cut", "over")
    assert arrivals(events, "h1", "s1", 0, drained) > 0
    assert arrivals(events, "h1", "s1", drained + SPREAD_S, healed) == 0
    assert arrivals(events, "h1", "s2", drained + SPREAD_S, healed) > 0


OLD_DISK = (
    fault("server-drain", 0.5, to="s1 s2")
    + fault("list-down", 1.5, 6.0)
    + fault("power", 2.0, 1.0, "h1 h2 h3")
    + fault("disk-back", 2.4, 0, "h1")
)


def test_an_older_disk_is_not_used_before_it_has_caught_up(tmp_path: Path) -> None:
    """A member with an older disk acts on nothing before it has caught up with its peers.

    The planted defect does: it sends requests to servers that its host was told to drain, and has to be
    found.
    """
    events = run_without_breach("old-disk", OLD_DISK, 8.0, tmp_path / "well")
    assert (
        served(events, "h1", fault_time(events, "power", "over"), fault_time(events, "list-down", "over"))
        > 20
    )
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
def test_members_converge_after_the_faults(name: str, tmp_path: Path) -> None:
    events = run_without_breach(name, STORMS[name], 5.0, tmp_path, hosts=4)
    last = {(event["host"], event["instance"]): event for event in events if event["kind"] == "copies"}
    assert len(last) == 8 and len({event["digest"] for event in last.values()}) == 1
