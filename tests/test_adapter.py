"""The adapter as a subprocess on hand-written wire messages, and the size limits of the balancer module."""

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


def boot_line(who: str = "a_0", seed: int = 7, options: dict[str, Any] | None = None) -> str:
    return f"BOOT\twho={who}\trngSeed={seed}\toptions={json.dumps(options or OPTIONS)}"


FLEET = [
    "INVENTORY\trosterId=3\thosts=2",
    "M\tbackend=10.0.0.1:80\tzone=z\tclassOfHost=k\tpack=0\tmode=2\tpowerHint=1",
    "M\tbackend=10.0.0.2:80\tmode=2\tpowerHint=1.5\tnew=x",
    "FLEET\twho=a_0\tscope=0\tgen=1\trosterId=3",
]


def batch(now: int, *lines: str) -> str:
    return "\n".join([f"TICK\twallUs={now}", *lines, "FLUSH", ""])


def run_adapter(text: str, env: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
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


def request_line(txn: int, lane: str = "look") -> str:
    return f"REQ\twho=a_0\ttxn={txn}\tvalidUntilUs=1500000\tlane={lane}\tsurprise=1"


def test_a_conversation() -> None:
    first = run_adapter(batch(1_000, boot_line(), *FLEET, request_line(11)))
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
    more = run_adapter(batch(1_000, boot_line(), *FLEET, request_line(11)) + batch(2_000, ended))
    assert more.stdout.splitlines()[3].startswith("DISPATCH\twho=a_0\ttxn=11")
    done = f"ENDED\twho=a_0\ttxn=11\thop=0\t{backend}\tover=1\telapsedUs=900\toutcome=200"
    quiet = run_adapter(batch(1_000, boot_line(), *FLEET, request_line(11)) + batch(2_000, done))
    assert quiet.stdout.splitlines()[3:] == ["OK"]


def test_an_unknown_outcome_may_have_run() -> None:
    ended = "ENDED\twho=a_0\ttxn=5\thop=0\tbackend=x\tover=0\telapsedUs=900\toutcome=777"
    result = run_adapter(batch(1_000, boot_line(), *FLEET, request_line(5, "pay")) + batch(2_000, ended))
    assert result.stdout.splitlines()[3] == "LOSE\twho=a_0\ttxn=5"


def test_empty_batches_and_a_retired_instance_that_boots_again() -> None:
    text = (
        batch(1)
        + batch(5, boot_line(), *FLEET, "RETIRE\twho=a_0", boot_line(seed=8), FLEET[3], request_line(2))
        + batch(6)
    )
    result = run_adapter(text)
    assert result.returncode == 0
    assert sum(line.startswith("DISPATCH") for line in result.stdout.splitlines()) == 1
    gone = run_adapter(batch(5, boot_line(), *FLEET, "RETIRE\twho=a_0", request_line(2)))
    assert "DISPATCH" not in gone.stdout


def test_the_subscription_is_requested_when_its_timer_expires() -> None:
    result = run_adapter(batch(5, boot_line(), *FLEET) + batch(9_000_000, "WAKEUP\twho=a_0\ttag=subscribe"))
    assert "TRACK\twho=a_0\tenable=1" in result.stdout.splitlines()


def test_the_end_of_input_is_not_an_error() -> None:
    result = run_adapter("")
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


@pytest.mark.parametrize(
    ("line", "expected"),
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
def test_a_malformed_known_line_ends_with_a_plain_message(line: str, expected: str) -> None:
    result = run_adapter(batch(1_000, boot_line(), *FLEET) + f"TICK\twallUs=2000\n{line}\nFLUSH\n")
    assert result.returncode != 0
    assert expected in result.stderr and "Traceback" not in result.stderr and "line " in result.stderr
    assert result.stdout.count("OK\n") == 1


def test_a_missing_rule_setting_is_named_in_the_error() -> None:
    options = {**OPTIONS, "rules": {key: v for key, v in OPTIONS["rules"].items() if key != "coldUs"}}
    result = run_adapter(batch(1_000, boot_line(options=options)))
    assert result.returncode != 0 and "rules.coldUs" in result.stderr


def test_an_unknown_message_is_ignored() -> None:
    result = run_adapter(batch(1_000, boot_line(), *FLEET, "NOVELTY\twho=a_0\tx=1", request_line(3)))
    assert result.returncode == 0 and "DISPATCH" in result.stdout


def test_an_error_in_the_decisions_is_reported_for_its_instance() -> None:
    code = (
        "import sorrelfront.decisions.balancer as r, sorrelfront.platform.adapter as a\n"
        "def broken(self, held, now): raise KeyError('inside')\n"
        "broken.__code__ = broken.__code__.replace(co_filename=r.__file__)\n"
        "r.Balancer._try_send = broken\n"
        "raise SystemExit(a.main())"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        input=batch(1_000, boot_line(), *FLEET, request_line(3)),
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert "BUG\twho=a_0\tmsg=KeyError" in result.stdout and result.stdout.endswith("OK\n")
    assert "Traceback" in result.stderr and result.returncode == 0


def long_conversation(names: list[str]) -> str:
    text = batch(1_000, *[boot_line(who, seed=index) for index, who in enumerate(names)], *FLEET[:3])
    text += batch(1_001, *[FLEET[3].replace("a_0", who) for who in names])
    for number in range(300):
        lines = [request_line(number).replace("a_0", who) for who in names]
        text += batch(2_000 + number * 500, *lines)
    return text


def test_same_actions_with_any_hash_seed_and_any_other_instances() -> None:
    names = ["a_0", "a_1", "a_2"]
    together = [
        run_adapter(long_conversation(names), {"PYTHONHASHSEED": seed}).stdout for seed in ("0", "1", "77")
    ]
    assert together[0] == together[1] == together[2] and "DISPATCH" in together[0]
    alone = run_adapter(long_conversation(names[:1])).stdout
    mine = [line for line in together[0].splitlines() if "who=a_0\t" in line]
    assert mine == [line for line in alone.splitlines() if "who=a_0\t" in line]


def test_the_module_stays_within_its_size_limits() -> None:
    lines = (ROOT / "sorrelfront" / "decisions" / "balancer.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 600
    assert max(map(len, lines)) <= 110


def test_the_balancer_contains_no_words_of_the_wire_format() -> None:
    text = (ROOT / "sorrelfront" / "decisions" / "balancer.py").read_text()
    for word in ("DISPATCH", "txn", "hop", "FLEET", "grades", "who=", "side_effect", "lane"):
        assert word not in text.replace("hopeless", "")
