"""Scenario files: all errors are reported at once, and a seed always gives the same faults."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelfront.daemon.configuration import BadDocument
from sorrelfront.lab.storm.run import list_scenarios
from sorrelfront.lab.storm.scenario import KINDS, parse, read

FILE_PATH = Path("x.toml")
HEAD = "[storm]\nname = 'x'\nseconds = 8\nhosts = 3\n"


def errors(text: str) -> list[str]:
    with pytest.raises(BadDocument) as bad:
        parse((HEAD + text).encode(), FILE_PATH)
    return bad.value.lines()


def test_all_errors_of_a_file_are_reported_at_once() -> None:
    lines = "\n".join(
        errors(
            """
[load]
clinets = 3
[nonsense]
"""
        )
    )
    for wanted in (
        "[load] clinets: is not a key known here; the nearest is 'clients'",
        "nonsense: is not a key known here",
    ):
        assert wanted in lines
    fault_lines = "\n".join(
        errors(
            """
[[faults]]
what = "kil"
at = 1
[[faults]]
what = "freeze"
at = 1
hosts = ["h9"]
[[faults]]
what = "freeze"
at = 7
lasts = 2
[[faults]]
what = "reset"
at = 7
lasts = 1
to = ["list"]
[[faults]]
what = "cut"
at = 2
[[faults]]
what = "clock-step"
at = 2
[[faults]]
what = "late"
at = 2
[[faults]]
what = "kill-instance"
at = 2
part = 5
[[faults]]
what = "delay"
at = 1
lasts = 1
to = ["s1"]
size = 1
given_up = true
"""
        )
    )
    for wanted in (
        "[faults.1] kil: is not a key known here; the nearest is 'kill'",
        "[faults.2] h9: is not a key known here",
        "[faults.3] at: goes on after the end at 8 s",
        "[faults.4] lasts: does not go with 'reset'",
        "[faults.5] to: is missing",
        "[faults.6] size: is missing",
        "[faults.7] at: must be 0",
        "[faults.8] part: there are 2 instances",
        "[faults.9] given_up: needs a cut that lasts, and [storm] fleet",
    ):
        assert wanted in fault_lines, wanted


def test_faults_that_overlap_on_a_link_or_host_are_rejected() -> None:
    row = '[[faults]]\nwhat = "{}"\nat = {}\nlasts = 2\nhosts = ["h1"]\n{}\n'
    cut, slow = row.format("cut", 1, 'to = ["s1", "s2"]'), row.format("delay", 2, 'to = ["s2"]\nsize = 5')
    assert "[faults.2] at: overlaps with [faults.1] on link:h1>s2" in errors(cut + slow)[0]
    frozen, killed = row.format("freeze", 1, ""), row.format("kill", 3, "")
    assert "overlaps with [faults.1] on process:h1" in errors(frozen + killed)[0]
    # faults on other links, and on the host, do not overlap
    parse((HEAD + cut + row.format("cut", 1, 'to = ["s3"]') + frozen).encode(), FILE_PATH)


def test_arbitrary_bytes_are_rejected_or_accepted() -> None:
    @given(st.binary(max_size=200))
    def check(data: bytes) -> None:
        try:
            parse(data, FILE_PATH)
        except BadDocument as bad:
            assert bad.lines()

    check()


def test_a_seed_always_draws_the_same_faults_without_overlap() -> None:
    drawn = next(path for path in list_scenarios() if path.stem == "drawn")
    scenario = read(drawn)
    seen = set()
    for seed in range(300):
        plan = scenario.schedule(seed)
        assert plan == read(drawn).schedule(seed)
        seen |= {item.what for item in plan}
        for at, item in enumerate(plan):
            assert item.until <= scenario.storm["seconds"]
            assert not any(
                item.targets & other.targets and item.at <= other.until and other.at <= item.until
                for other in plan[:at]
            )
    assert seen == set(scenario.draw["kinds"] if scenario.draw else ())


def test_the_bundled_scenarios_are_valid() -> None:
    names = {path.stem for path in list_scenarios()}
    assert names >= {"calm", "host-dies", "cut-from-servers", "cut-from-list", "cut-from-both", "slow-host",
                     "rolling-restart", "power", "drawn", "policies"}  # fmt: skip
    for path in list_scenarios():
        scenario = read(path)
        assert scenario.storm["name"] == path.stem
        assert all(item.what in KINDS and item.describe() for item in scenario.schedule(1))
