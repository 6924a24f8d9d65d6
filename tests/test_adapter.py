"""The adapter as a subprocess on hand-written wire conversations, and the limits on the module's size."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
OPTIONS: dict[str, Any] = {
    "grades": [
        {"name": "look", "repeat": "pure", "aimUs": 400_000, "giveUpUs": 2_000_000, "credit": 1.0},
        {"name": "pay", "repeat": "side_effect", "aimUs": 400_000, "giveUpUs": 2_000_000, "credit": 3.0},
    ],
    "instances": 2,
    "ordinal": 0,
    "limits": {"mostTries": 3, "mayCancel": True, "maxRetryAfterUs": 500_000, "connectTimeoutUs": 100_000},
    "loadReport": {"how": "inline", "fields": ["outstanding", "something_new"]},
    "registryMode": "subscribe",
    "somethingNew": {"a": 1},
    "rules": {
        "answerSlackUs": 20_000,
        "askWithinUs": 10_000_000,
        "coldFrom": 0.3,
        "coldUs": 9_000_000,
        "overloadFactor": 3.0,
        "stopSendingWithinUs": 500_000,
        "tipAfterUs": 1_500_000,
    },
}


def boot(who: str = "a_0", seed: int = 7, options: dict[str, Any] | None = None) -> str:
    return f"BOOT\twho={who}\trngSeed={seed}\toptions={json.dumps(options or OPTIONS)}"


FLEET = [
    "INVENTORY\trosterId=3\thosts=2",
    "M\tbackend=10.0.0.1:80\tzone=z\tclassOfHost=k\tpack=0\tmode=2\tpowerHint=1",
    "M\tbackend=10.0.0.2:80\tmode=2\tpowerHint=1.5\tnew=x",
    "FLEET\twho=a_0\tscope=0\tgen=1\trosterId=3",
]


def batch(now: int, *lines: str) -> str:
    return "\n".join([f"TICK\twallUs={now}", *lines, "FLUSH", ""])


def talk(text: str, env: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sorrelfront.platform.adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **(env or {})},
        timeout=60,
        check=False,
    )


def ask(txn: int, lane: str = "look") -> str:
    return f"REQ\twho=a_0\ttxn={txn}\tvalidUntilUs=1500000\tlane={lane}\tsurprise=1"


def test_a_conversation() -> None:
    first = talk(batch(1_000, boot(), *FLEET, ask(11)))
    assert first.returncode == 0 and first.stderr == ""
    lines = first.stdout.splitlines()
    assert lines[0].startswith("SET_TIMER\twho=a_0\t") and lines[0].endswith("tag=subscribe")
    word, who, txn, backend, timeout = lines[1].split("\t")
    assert (word, who, txn, timeout) == ("DISPATCH", "who=a_0", "txn=11", "timeoutUs=1499000")
    assert backend in ("backend=10.0.0.1:80", "backend=10.0.0.2:80")
    assert lines[2:] == ["OK"]

    ended = (
        f"ENDED\twho=a_0\ttxn=11\thop=0\t{backend}\tover=0\telapsedUs=900\toutcome=429"
        "\tserverStats=outstanding:nan,junk:1,errors_per_s:oops"
    )
    more = talk(batch(1_000, boot(), *FLEET, ask(11)) + batch(2_000, ended))
    assert more.stdout.splitlines()[3].startswith("DISPATCH\twho=a_0\ttxn=11")
    done = f"ENDED\twho=a_0\ttxn=11\thop=0\t{backend}\tover=1\telapsedUs=900\toutcome=200"
    quiet = talk(batch(1_000, boot(), *FLEET, ask(11)) + batch(2_000, done))
    assert quiet.stdout.splitlines()[3:] == ["OK"]


def test_an_unknown_outcome_may_have_run() -> None:
    ended = "ENDED\twho=a_0\ttxn=5\thop=0\tbackend=x\tover=0\telapsedUs=900\toutcome=777"
    said = talk(batch(1_000, boot(), *FLEET, ask(5, "pay")) + batch(2_000, ended))
    assert said.stdout.splitlines()[3] == "LOSE\twho=a_0\ttxn=5"


def test_empty_batches_a_retired_instance_and_its_next_life() -> None:
    text = batch(1) + batch(5, boot(), *FLEET, "RETIRE\twho=a_0", boot(seed=8), FLEET[3], ask(2)) + batch(6)
    said = talk(text)
    assert said.returncode == 0
    assert sum(line.startswith("DISPATCH") for line in said.stdout.splitlines()) == 1
    gone = talk(batch(5, boot(), *FLEET, "RETIRE\twho=a_0", ask(2)))
    assert "DISPATCH" not in gone.stdout


def test_the_watch_is_asked_for_when_its_timer_comes_due() -> None:
    said = talk(batch(5, boot(), *FLEET) + batch(9_000_000, "WAKEUP\twho=a_0\ttag=subscribe"))
    assert "TRACK\twho=a_0\tenable=1" in said.stdout.splitlines()


def test_end_of_input_is_no_fault() -> None:
    said = talk("")
    assert (said.returncode, said.stdout, said.stderr) == (0, "", "")


@pytest.mark.parametrize(
    ("line", "what"),
    [
        ("REQ\twho=a_0\ttxn=x1\tvalidUntilUs=5\tlane=look", "x1"),
        ("REQ\twho=a_0\ttxn=1\tvalidUntilUs=5\tlane=nosuch", "nosuch"),
        ("REQ\twho=a_0\tvalidUntilUs=5\tlane=look", "txn"),
        ("ENDED\twho=a_0\ttxn=1\thop=0", "outcome"),
        ("FLEET\twho=a_0\tscope=9\trosterId=3", "scope"),
        ("FLEET\twho=a_0\tscope=1\trosterId=12", "rosterId"),
        ("INVENTORY\trosterId=1\thosts=1", "M line"),
        ("TICK\twallUs=soon", "soon"),
        ("REQ\twho", "REQ"),
        ("BOOT\twho=b\trngSeed=1\toptions={", "BOOT"),
    ],
)
def test_a_malformed_known_line_ends_with_a_plain_message(line: str, what: str) -> None:
    said = talk(batch(1_000, boot(), *FLEET) + f"TICK\twallUs=2000\n{line}\nFLUSH\n")
    assert said.returncode != 0
    assert what in said.stderr and "Traceback" not in said.stderr and "line " in said.stderr
    assert said.stdout.count("OK\n") == 1


def test_settings_without_a_rule_figure_are_named() -> None:
    options = {**OPTIONS, "rules": {key: v for key, v in OPTIONS["rules"].items() if key != "coldUs"}}
    said = talk(batch(1_000, boot(options=options)))
    assert said.returncode != 0 and "rules.coldUs" in said.stderr


def test_an_unknown_message_is_passed_over() -> None:
    said = talk(batch(1_000, boot(), *FLEET, "NOVELTY\twho=a_0\tx=1", ask(3)))
    assert said.returncode == 0 and "DISPATCH" in said.stdout


def test_an_error_in_the_decisions_is_reported_for_its_instance() -> None:
    code = (
        "import sorrelfront.decisions.balancer as r, sorrelfront.platform.adapter as a\n"
        "def broken(self, held, now): raise KeyError('inside')\n"
        "broken.__code__ = broken.__code__.replace(co_filename=r.__file__)\n"
        "r.Balancer._place = broken\n"
        "raise SystemExit(a.main())"
    )
    said = subprocess.run(
        [sys.executable, "-c", code],
        input=batch(1_000, boot(), *FLEET, ask(3)),
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert "BUG\twho=a_0\tmsg=KeyError" in said.stdout and said.stdout.endswith("OK\n")
    assert "Traceback" in said.stderr and said.returncode == 0


def long_talk(names: list[str]) -> str:
    text = batch(1_000, *[boot(who, seed=index) for index, who in enumerate(names)], *FLEET[:3])
    text += batch(1_001, *[FLEET[3].replace("a_0", who) for who in names])
    for number in range(300):
        lines = [ask(number).replace("a_0", who) for who in names]
        text += batch(2_000 + number * 500, *lines)
    return text


def test_same_actions_under_any_hash_seed_and_in_any_company() -> None:
    names = ["a_0", "a_1", "a_2"]
    together = [talk(long_talk(names), {"PYTHONHASHSEED": seed}).stdout for seed in ("0", "1", "77")]
    assert together[0] == together[1] == together[2] and "DISPATCH" in together[0]
    alone = talk(long_talk(names[:1])).stdout
    mine = [line for line in together[0].splitlines() if "who=a_0\t" in line]
    assert mine == [line for line in alone.splitlines() if "who=a_0\t" in line]


def test_the_module_stays_small_and_narrow() -> None:
    lines = (ROOT / "sorrelfront" / "decisions" / "balancer.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 600
    assert max(map(len, lines)) <= 110


def test_the_rules_know_no_wire_word() -> None:
    text = (ROOT / "sorrelfront" / "decisions" / "balancer.py").read_text()
    for word in ("DISPATCH", "txn", "hop", "FLEET", "grades", "who=", "side_effect", "lane"):
        assert word not in text.replace("hopeless", "")
