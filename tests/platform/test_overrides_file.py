"""The file of administrative overrides: shared between processes, replaced atomically, and validated."""

from __future__ import annotations

import fcntl
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sorrelfront.decisions.overrides import MAX_DISABLED_SERVERS, MAX_ID_LENGTH
from sorrelfront.platform import overrides_file
from sorrelfront.platform.overrides_file import OverridesFile, TooManyDisabled
from tests.test_process import ROOT

NAME = "out-by-hand.json"


def test_overrides_are_seen_by_another_process_and_by_a_later_one(tmp_path: Path) -> None:
    first, second = OverridesFile(tmp_path), OverridesFile(tmp_path)
    first.set_disabled("a", True)
    assert second.refresh() and second.disabled == {"a"}
    assert not second.refresh()
    second.set_disabled("b", True)
    first.set_disabled("a", False)  # changes the content of the file, not the set known before
    assert second.refresh() and second.disabled == {"b"}
    assert OverridesFile(tmp_path).disabled == {"b"}


def test_concurrent_overrides_of_several_processes_are_all_kept(tmp_path: Path) -> None:
    """Without the lock, one process would overwrite what another has added between its read and its write."""
    code = (
        "import sys; from pathlib import Path\n"
        "from sorrelfront.platform.overrides_file import OverridesFile\n"
        "made, number = OverridesFile(Path(sys.argv[1])), 0\n"
        "while number < 50:\n"
        "    try:\n"
        "        made.set_disabled(f'{sys.argv[2]}-{number}', True)\n"
        "        number += 1\n"
        "    except TimeoutError:\n"  # the machine may be busy: retry
        "        pass\n"
    )
    started = [sys.executable, "-c", code, str(tmp_path)]
    running = [subprocess.Popen([*started, str(name)], cwd=ROOT) for name in range(4)]
    assert [process.wait(60) for process in running] == [0] * 4
    assert len(OverridesFile(tmp_path).disabled) == 200


def test_without_a_folder_overrides_are_kept_in_memory() -> None:
    made = OverridesFile(None)
    made.set_disabled("a", True)
    assert made.disabled == {"a"} and not made.refresh()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"{}",
        b"[1]",
        b"null",
        b"[" * 100_000,
        b'["\xff"]',
        json.dumps(["x" * (MAX_ID_LENGTH + 1)]).encode(),
        json.dumps([str(number) for number in range(MAX_DISABLED_SERVERS + 1)]).encode(),
        b" " * (4 * 1024 * 1024 + 1),
    ],
)
def test_an_unreadable_file_enables_no_server(data: bytes, tmp_path: Path) -> None:
    made = OverridesFile(tmp_path)
    made.set_disabled("a", True)
    (tmp_path / NAME).write_bytes(data)
    assert not made.refresh() and made.disabled == {"a"}
    assert OverridesFile(tmp_path).disabled == frozenset()  # a new process starts with no server disabled
    made.set_disabled("b", True)  # the next override writes a valid file again
    assert OverridesFile(tmp_path).disabled == {"a", "b"}


def test_a_removed_file_enables_no_server(tmp_path: Path) -> None:
    made = OverridesFile(tmp_path)
    made.set_disabled("a", True)
    (tmp_path / NAME).unlink()
    assert not made.refresh() and made.disabled == {"a"}


def test_a_failed_write_raises_and_changes_nothing(tmp_path: Path) -> None:
    folder = tmp_path / "gone"
    folder.mkdir()
    made = OverridesFile(folder)
    folder.rmdir()
    with pytest.raises(OSError):
        made.set_disabled("a", True)
    assert made.disabled == frozenset()


def test_a_lock_that_is_never_released_does_not_block(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(overrides_file, "LOCK_ATTEMPTS", 3)
    made = OverridesFile(tmp_path)
    made.set_disabled("a", True)
    holder = os.open(tmp_path / "out-by-hand.lock", os.O_RDWR)
    fcntl.flock(holder, fcntl.LOCK_EX)
    with pytest.raises(TimeoutError):
        made.set_disabled("b", True)
    assert made.disabled == {"a"}
    os.close(holder)
    made.set_disabled("b", True)
    assert made.disabled == {"a", "b"}


def test_the_number_of_disabled_servers_and_their_ids_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(overrides_file, "MAX_DISABLED_SERVERS", 2)
    made = OverridesFile(None)
    made.set_disabled("a", True)
    made.set_disabled("b", True)
    with pytest.raises(TooManyDisabled):
        made.set_disabled("c", True)
    with pytest.raises(TooManyDisabled):
        made.set_disabled("x" * (MAX_ID_LENGTH + 1), True)
    made.set_disabled("a", False)
    made.set_disabled("c", True)
    assert made.disabled == {"b", "c"}
