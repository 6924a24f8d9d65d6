"""All processes that a storm started are ended, however the harness itself ends."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
import uuid
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from sorrelfront.lab.http1 import WAIT_TIMEOUT_S
from sorrelfront.lab.storm.harness import claim_block
from sorrelfront.lab.storm.processes import MARK, ManagedProcess, find_marked, kill_marked, signal_marked
from tests.loopback import async_test, until
from tests.test_process import ROOT

STORM_RUN = [sys.executable, "-m", "sorrelfront.cli.main", "storm", "run"]
SLEEPER = [sys.executable, "-c", "import time; print('up', flush=True); time.sleep(60)"]


@contextlib.asynccontextmanager
async def owned(words: list[str], mark: str) -> AsyncIterator[ManagedProcess]:
    made = ManagedProcess(words, {**os.environ, MARK: mark}, ROOT, 2)
    try:
        yield made
    finally:
        kill_marked(mark)
        await made.reap()


@async_test
async def test_a_stopped_process_is_found_and_killed() -> None:
    mark = uuid.uuid4().hex
    async with owned(SLEEPER, mark) as process:
        await until(lambda: process.pid in find_marked(mark))
        process.signal(signal.SIGSTOP)
        assert await process.reap(0.1) is None  # its pidfd does not become readable while it is stopped
        assert process.pid in find_marked(mark)
        assert kill_marked(mark)
        assert await process.reap() == -signal.SIGKILL
        assert not find_marked(mark)


@async_test
async def test_a_process_that_ends_at_once() -> None:
    async with owned([sys.executable, "-c", "raise SystemExit(7)"], uuid.uuid4().hex) as process:
        assert await process.reap(WAIT_TIMEOUT_S) == 7
        process.signal(signal.SIGKILL)  # the pidfd is closed: nothing is signalled
        assert process.pidfd == -1


@async_test
async def test_children_carry_the_mark_and_a_common_prefix_does_not_match() -> None:
    mark = uuid.uuid4().hex
    child = f"import subprocess, time; subprocess.Popen({SLEEPER}); time.sleep(60)"
    async with (
        owned([sys.executable, "-c", child], f"{mark}/h1") as process,
        owned(SLEEPER, f"{mark}/h11") as other,
    ):
        await until(lambda: len(find_marked(f"{mark}/h1")) == 2)
        await until(lambda: len(find_marked(mark)) == 3)
        process.signal(signal.SIGKILL)
        await process.reap()
        assert len(find_marked(f"{mark}/h1")) == 1  # its parent is gone, and it is still found
        assert kill_marked(f"{mark}/h1")
        assert list(find_marked(mark)) == [other.pid]


@async_test
async def test_a_reused_pid_is_not_signalled(monkeypatch: pytest.MonkeyPatch) -> None:
    mark = uuid.uuid4().hex
    async with owned(SLEEPER, mark) as process:
        await until(lambda: process.pid in find_marked(mark))
        from sorrelfront.lab.storm import processes

        # As if since the scan the pid had passed to a process with another start time.
        monkeypatch.setattr(processes, "find_marked", lambda _: {process.pid: 1})
        assert signal_marked(mark, signal.SIGKILL) == 0
        assert await process.reap(0.1) is None


STORM = """
[storm]
name = "long"
seconds = 60
hosts = 2
instances = 1
servers = 2
[load]
clients = 2
"""


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGINT, signal.SIGKILL])
def test_no_process_is_left_when_the_harness_is_ended(how: signal.Signals, tmp_path: Path) -> None:
    """The processes are found by an environment variable that only they have."""
    path, word = tmp_path / "long.toml", f"SORRELFRONT_TEST={uuid.uuid4().hex}"
    path.write_text(STORM)
    name, _, value = word.partition("=")
    harness = subprocess.Popen(
        [*STORM_RUN, str(path), "--keep", str(tmp_path / "kept")],
        cwd=ROOT, env={**os.environ, name: value}, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL,
    )  # fmt: skip
    try:
        _until(lambda: b'"kind":"load"' in _content(tmp_path / "kept" / "history.jsonl"))
        assert (
            len(_processes_with(word)) >= 6
        )  # the harness, its clean-up process, two daemons, two instances
        harness.send_signal(how)
        harness.wait(WAIT_TIMEOUT_S)
        _until(lambda: not _processes_with(word))
    finally:
        for pid in _processes_with(word):
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        harness.wait()
        assert harness.stderr is not None
        harness.stderr.close()


def _content(path: Path) -> bytes:
    return path.read_bytes() if path.exists() else b""


def _until(condition: object) -> None:
    assert callable(condition)
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.05)


def _processes_with(word: str) -> list[int]:
    """Return the pids of the live processes with this text in their environment."""
    found = []
    for entry in os.scandir("/proc"):
        with contextlib.suppress(OSError):
            if entry.name.isdigit() and word.encode() in Path(f"/proc/{entry.name}/environ").read_bytes():
                found.append(int(entry.name))
    return found


def test_two_storms_have_no_address_in_common() -> None:
    blocks = [claim_block(1) for _ in range(5)]
    try:
        assert len({block for block, _ in blocks}) == 5
    finally:
        for _, sock in blocks:
            sock.close()
    first, sock = claim_block(1)
    sock.close()
    assert first in {block for block, _ in blocks}  # freed when the socket is closed


def test_an_unreadable_scenario_starts_nothing(tmp_path: Path) -> None:
    """A storm whose file cannot be read exits with an error and starts no process."""
    done = subprocess.run(
        [*STORM_RUN, str(tmp_path / "none.toml")],
        cwd=ROOT, capture_output=True, timeout=WAIT_TIMEOUT_S,
    )  # fmt: skip
    assert done.returncode == 2 and b"No such file" in done.stderr
