"""The command as a user calls it."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from tests.test_process import ROOT

SHIPPED = str(ROOT / "deploy" / "sorrelfront.toml")


def run(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "sorrelfront.cli.main", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)


def test_check_tells_nothing_of_a_good_file_and_one_line_a_fault_of_a_bad_one(tmp_path: Path) -> None:
    good = run("check", SHIPPED)
    assert (good.returncode, good.stdout, good.stderr) == (0, "", "")
    bad = tmp_path / "bad.toml"
    bad.write_text(Path(SHIPPED).read_text().replace("instances = 2", "instanses = 2"))
    told = run("check", str(bad))
    assert told.returncode == 1 and told.stdout == ""
    assert told.stderr == f"{bad}: [daemon] instanses: is not a key known here; the nearest is 'instances'\n"
    answered = json.loads(run("check", str(bad), "--json").stdout)
    assert not answered["ok"] and answered["faults"][0]["key"] == "instanses"
    assert run("check", str(tmp_path / "none.toml")).returncode == 1


def test_ctl_without_a_daemon_and_wrong_words_have_exit_codes_of_their_own(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(Path(SHIPPED).read_text())
    told = run("ctl", str(file), "status")
    assert told.returncode == 1 and "sorrelfront.sock" in told.stderr and "Traceback" not in told.stderr
    assert run("ctl", str(file), "stats").returncode == 2
    assert run("serve").returncode == 2


def test_serve_ends_with_2_and_one_line_a_fault_where_it_cannot_start(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text("[daemon]\n")
    told = run("serve", str(file))
    assert told.returncode == 2
    assert all(line.startswith(f"{file}: ") for line in told.stderr.splitlines())


def test_the_demo_keeps_the_four_rules() -> None:
    played = run("demo", "--seconds", "6", "--json")
    figures: dict[str, Any] = json.loads(played.stdout)
    assert played.returncode == 0, figures
    assert figures["offered"] == figures["served"] + figures["refused"] + figures["failed"] + figures["lost"]
    assert figures["served"] > 100 and figures["reloads"] == 1 and figures["servers"]["b5"] > 0
    assert [figures[name] for name in ("lost", "doubled", "late_drains", "cold_overruns")] == [0, 0, 0, 0]
