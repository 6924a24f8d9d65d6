"""What a power cut leaves of files."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import numpy as np
import pytest

from sorrelfront.daemon import records
from sorrelfront.daemon.records import Kind, seal
from sorrelfront.lab.storm import disk
from sorrelfront.lab.storm.disk import (
    LoggedDisk,
    Trouble,
    after_cut,
    cut_power,
    read_log,
    steps_of,
    tell_trouble,
)

WRITE = (
    ("create", "1", "/d/.x.new"), ("write", "1", b"hello"), ("sync", "1"), ("rename", "/d/.x.new", "/d/x"),
    ("folder", "/d"), ("done", "/d/x", b"hello"),
)  # fmt: skip


def rng(seed: int) -> np.random.Generator:
    return np.random.default_rng(seed)


def test_what_was_promised_is_there_whatever_is_drawn() -> None:
    second = (
        ("create", "2", "/d/.x.new"),
        ("write", "2", b"later"),
        ("sync", "2"),
        ("rename", "/d/.x.new", "/d/x"),
    )
    for upto in range(len(second) + 1):
        for seed in range(30):
            left = after_cut(steps_of(*WRITE, *second[:upto]), rng(seed))
            assert left.files["/d/x"] in (b"hello", b"later")
            assert not left.broken


def test_the_first_write_ever_is_whole_or_not_there() -> None:
    seen = set()
    for upto in range(len(WRITE) - 1):
        for seed in range(30):
            left = after_cut(steps_of(*WRITE[:upto]), rng(seed))
            assert left.files.get("/d/x", b"hello") == b"hello"
            seen.add("/d/x" in left.files)
    assert seen == {True, False}


def test_a_rename_without_a_sync_of_the_content_is_found_out() -> None:
    unsynced = [step for step in WRITE if step[0] != "sync"]
    broken = [after_cut(steps_of(*unsynced), rng(seed)).broken for seed in range(40)]
    assert ("/d/x",) in broken  # torn, though the program held it for durable


def test_a_removal_may_come_back_until_its_folder_is_synced() -> None:
    there = {
        "/d/x" in after_cut(steps_of(*WRITE[:5], ("remove", "/d/x")), rng(seed)).files for seed in range(30)
    }
    assert there == {True, False}
    gone = steps_of(*WRITE[:5], ("remove", "/d/x"), ("folder", "/d"))
    assert all("/d/x" not in after_cut(gone, rng(seed)).files for seed in range(30))


@pytest.fixture
def logged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> LoggedDisk:
    made = LoggedDisk(tmp_path)
    monkeypatch.setattr(records, "disk", made)
    return made


def test_records_written_through_the_logged_disk_survive_cuts_twice_in_a_row(
    tmp_path: Path, logged: LoggedDisk
) -> None:
    place = tmp_path / "fleet"
    for count in range(20):
        data = seal(Kind.FLEET, b"%d" % count)
        records.write(place, data)
        assert not cut_power(tmp_path, rng(count)).broken
        assert not cut_power(tmp_path, rng(1_000 + count)).broken  # during the recovery from the first
        assert records.read(place, Kind.FLEET) == b"%d" % count


def test_a_program_that_leaves_its_syncs_out_is_caught(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(records, "disk", LoggedDisk(tmp_path, skip_sync=True))
    caught = 0
    for count in range(20):
        records.write(tmp_path / "fleet", seal(Kind.FLEET, b"%d" % count))
        caught += bool(cut_power(tmp_path, rng(count)).broken)
    assert caught >= 10


def test_a_cut_in_the_middle_of_a_write_leaves_the_one_before(
    tmp_path: Path, logged: LoggedDisk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At each step in turn, the rename among them: the process goes there, and then the power."""
    place = tmp_path / "fleet"

    class Gone(BaseException):
        pass

    def go(*_: object) -> None:
        raise Gone

    records.write(place, seal(Kind.FLEET, b"before"))
    for step in ("create", "append", "sync", "replace", "sync_folder"):
        for seed in range(10):
            with monkeypatch.context() as patch:
                patch.setattr(logged, step, go)
                with pytest.raises(Gone):
                    records.write(place, seal(Kind.FLEET, b"after"))
            left = cut_power(tmp_path, rng(seed))
            assert not left.broken
            assert records.read(place, Kind.FLEET) in (b"before", b"after")
        records.write(place, seal(Kind.FLEET, b"before"))


def test_a_disk_in_trouble_keeps_the_record_before(tmp_path: Path, logged: LoggedDisk) -> None:
    place = tmp_path / "fleet"
    records.write(place, seal(Kind.FLEET, b"before"))
    for trouble in (Trouble(full=True), Trouble(readonly=True)):
        tell_trouble(tmp_path, trouble)
        with pytest.raises(OSError):
            records.write(place, seal(Kind.FLEET, b"after"))
        assert records.read(place, Kind.FLEET) == b"before"
        assert not cut_power(tmp_path, rng(1)).broken
    tell_trouble(tmp_path, Trouble())
    records.write(place, seal(Kind.FLEET, b"after"))
    assert records.read(place, Kind.FLEET) == b"after"


def test_a_log_that_was_cut_off_is_read_up_to_there(tmp_path: Path, logged: LoggedDisk) -> None:
    records.write(tmp_path / "fleet", b"x")
    whole = read_log(tmp_path / disk.LOG)
    with (tmp_path / disk.LOG).open("ab") as file:
        file.write(b'{"op":"crea')
    assert read_log(tmp_path / disk.LOG) == whole
    assert [step.op for step in whole] == ["create", "write", "sync", "rename", "folder", "done"]


def test_descriptors_are_given_back(tmp_path: Path, logged: LoggedDisk) -> None:
    records.write(tmp_path / "fleet", b"x")
    before = len(os.listdir("/proc/self/fd"))
    for trouble in (Trouble(full=True), Trouble(), Trouble(readonly=True)):
        tell_trouble(tmp_path, trouble)
        for _ in range(5):
            with contextlib.suppress(OSError):
                records.write(tmp_path / "fleet", b"x")
    assert len(os.listdir("/proc/self/fd")) == before
