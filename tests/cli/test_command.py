"""Tests of the `sorrelfront` command in a process of its own, as a user runs it."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from sorrelfront.cli.main import _format_count
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, Registry, member
from tests.daemon.fleet import OK, Fleet, fleet
from tests.test_process import ROOT, free_address

SHIPPED = str(ROOT / "deploy" / "sorrelfront.toml")


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "sorrelfront.cli.main", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)


def test_check_prints_nothing_for_a_valid_file_and_one_line_per_fault(tmp_path: Path) -> None:
    good = run("check", SHIPPED)
    assert (good.returncode, good.stdout, good.stderr) == (0, "", "")
    bad = tmp_path / "bad.toml"
    bad.write_text(Path(SHIPPED).read_text().replace("instances = 2", "instanses = 2"))
    done = run("check", str(bad))
    assert done.returncode == 1 and done.stdout == ""
    assert done.stderr == f"{bad}: [daemon] instanses: is not a key known here; the nearest is 'instances'\n"
    report = json.loads(run("check", str(bad), "--json").stdout)
    assert not report["ok"] and report["faults"][0]["key"] == "instanses"
    assert run("check", str(tmp_path / "none.toml")).returncode == 1


def test_ctl_without_a_daemon_and_wrong_usage_have_distinct_exit_codes(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(Path(SHIPPED).read_text())
    result = run("ctl", str(file), "status")
    assert result.returncode == 1 and "sorrelfront.sock" in result.stderr and "Traceback" not in result.stderr
    assert run("ctl", str(file), "stats").returncode == 2
    assert run("serve").returncode == 2


def test_serve_exits_with_2_and_one_line_per_fault_if_it_cannot_start(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text("[daemon]\n")
    result = run("serve", str(file))
    assert result.returncode == 2
    assert all(line.startswith(f"{file}: ") for line in result.stderr.splitlines())


def test_the_demo_keeps_the_four_rules() -> None:
    result = run("demo", "--seconds", "6", "--json")
    figures: dict[str, Any] = json.loads(result.stdout)
    assert result.returncode == 0, figures
    assert figures["offered"] == figures["served"] + figures["refused"] + figures["failed"] + figures["lost"]
    assert figures["served"] > 100 and figures["reloads"] == 1 and figures["servers"]["b5"] > 0
    assert [figures[name] for name in ("lost", "doubled", "late_drains", "cold_overruns")] == [0, 0, 0, 0]


def test_status_is_readable_at_80_columns_and_through_a_pipe(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            command = [sys.executable, "-m", "sorrelfront.cli.main", "ctl", str(daemon.path), "status"]
            piped = await asyncio.to_thread(
                subprocess.run, command, cwd=ROOT, capture_output=True, text=True, timeout=60
            )
            parent_fd, child_fd = os.openpty()
            environ = {**os.environ, "COLUMNS": "80", "TERM": "xterm"}
            shown = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environ, stdin=child_fd, stdout=child_fd, stderr=child_fd
            )
            assert await shown.wait() == 0
            os.close(child_fd)
            screen = re.sub(r"\x1b\[[0-9;]*m", "", os.read(parent_fd, 65_536).decode())
            os.close(parent_fd)
        for text in (piped.stdout, screen):
            rows = [line.split() for line in text.splitlines()]
            heading = next(row for row in rows if row[:1] == ["name"])
            assert heading == ["name", "phase", "run", "pid", "asked", "served", "refused", "failed", "held",
                               "conns", "servers"]  # fmt: skip
            assert [row[0] for row in rows if row[1:2] == ["ready"]] == ["i0", "i1"]
            assert "…" not in text and "2 of 2 ready" in text
        assert max(len(line) for line in screen.splitlines()) <= 80

    asyncio.run(play())


def test_long_counts_are_shortened_in_a_terminal_only() -> None:
    assert [_format_count(value, True) for value in (None, 999_999, 1_234_567, 98_765_432_100)] == [
        "-", "999999", "1235k", "99G",
    ]  # fmt: skip
    assert _format_count(98_765_432_100, False) == "98765432100"


def test_ctl_reports_instances_that_serve_without_a_daemon(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(Path(SHIPPED).read_text())
    folder = tmp_path / "sorrelfront.sock.d"
    folder.mkdir()
    (folder / "i0-12.sock").touch()
    stderr = run("ctl", str(file), "status").stderr
    assert "no daemon runs by this file" in stderr and "1 instances may serve without one" in stderr


def test_members_shows_the_fleet_and_follows_its_changes(tmp_path: Path) -> None:
    """Guards `ctl members` and the reload of [fleet] keys, with two instances that find each other.

    A reload must accept a new key, and refuse a key file with the wrong mode or a change of the fleet's
    name. `--follow` must print a change of a member; here one instance is paused and resumed repeatedly.
    """

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            alone = await asyncio.to_thread(run, "ctl", str(daemon.path), "members")
            assert alone.returncode == 1 and "has no [fleet]" in alone.stderr
        port = free_address()[1]
        key = tmp_path / "fleet.key"
        key.write_text("0123456789abcdef\n")
        key.chmod(0o600)
        backend = await Backend(OK).start()
        registry = await Registry().start()
        registry.members = [member("b0", backend.address)]
        daemon = Fleet(tmp_path, registry.address)
        daemon.extra_tables = f"""
[fleet]
name = "f"
listen = "127.0.0.1:{port}"
join = ["127.0.0.1:{port}", "127.0.0.1:{port + 1}"]
key_file = "fleet.key"
probe_ms = 100
answer_ms = 50
recall_ms = 100
"""
        daemon.write()
        await daemon.start()
        try:
            await daemon.ready()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await daemon.ask("members")).get("agreeing") != 2:
                    await asyncio.sleep(0.05)
            result = await asyncio.to_thread(run, "ctl", str(daemon.path), "members", "--json")
            answer = json.loads(result.stdout)
            assert set(answer) == {"fleet", "self", "agreeing", "members"} and answer["fleet"] == "f"
            assert [row["name"] for row in answer["members"]] == ["sorrelfront/i0", "sorrelfront/i1"]
            assert {row["state"] for row in answer["members"]} == {"alive"}
            shown = await asyncio.to_thread(run, "ctl", str(daemon.path), "members", "--instance", "i1")
            assert "fleet f, seen by sorrelfront/i1: 2 living, 2 of them see the same" in shown.stdout
            figures = (await daemon.status())["i0"]["fleet"]
            assert figures["members"] == 2 and figures["strange"] == 0

            key.chmod(0o644)
            refused = await daemon.ask("reload")
            assert not refused["ok"] and "mode 0600" in refused["faults"][0]
            key.chmod(0o600)
            key.write_text("fedcba9876543210\n0123456789abcdef\n")
            assert (await daemon.ask("reload"))["ok"]
            daemon.extra_tables = daemon.extra_tables.replace('name = "f"', 'name = "g"')
            daemon.write()
            assert "takes a restart" in (await daemon.ask("reload"))["faults"][0]

            following = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "sorrelfront.cli.main", "ctl", str(daemon.path),
                "members", "--follow", "--json", "--instance", "i1", cwd=ROOT, stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            assert following.stdout is not None
            try:
                line = asyncio.create_task(following.stdout.readline())
                pid = (await daemon.status())["i0"]["pid"]
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while not line.done():  # a change before the command follows is not printed; repeat it
                        for number in (signal.SIGSTOP, signal.SIGCONT):
                            os.kill(pid, number)
                            await asyncio.wait({line}, timeout=1.0)
                event = json.loads(line.result())
                assert event["name"] == "sorrelfront/i0"
                assert event["what"] in ("suspected", "cleared", "died", "joined")
            finally:
                following.kill()
                await following.wait()
        finally:
            daemon.signal(signal.SIGTERM)
            assert await daemon.ended() == 0, daemon.log.read_text()
            registry.stop()
            backend.stop()

    asyncio.run(play())
