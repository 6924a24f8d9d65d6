"""Simulated power cuts, the operation log and injected disk faults."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import numpy as np
import pytest

from sorrelfront.daemon import records
from sorrelfront.daemon.records import RecordKind, encode_record
from sorrelfront.lab.storm import disk
from sorrelfront.lab.storm.disk import (
    DiskFaults,
    LoggedDisk,
    cut_power,
    make_ops,
    read_log,
    set_disk_faults,
    state_after_cut,
)

WRITE = (
    ("create", "1", "/d/.x.new"), ("write", "1", b"hello"), ("sync", "1"), ("rename", "/d/.x.new", "/d/x"),
    ("folder", "/d"), ("done", "/d/x", b"hello"),
)  # fmt: skip


def rng(seed: int) -> np.random.Generator:
    return np.random.default_rng(seed)


def test_durable_content_survives_every_draw() -> None:
    second = (
        ("create", "2", "/d/.x.new"),
        ("write", "2", b"later"),
        ("sync", "2"),
        ("rename", "/d/.x.new", "/d/x"),
    )
    for upto in range(len(second) + 1):
        for seed in range(30):
            left = state_after_cut(make_ops(*WRITE, *second[:upto]), rng(seed))
            assert left.files["/d/x"] in (b"hello", b"later")
            assert not left.broken


def test_the_first_write_is_whole_or_absent() -> None:
    seen = set()
    for upto in range(len(WRITE) - 1):
        for seed in range(30):
            left = state_after_cut(make_ops(*WRITE[:upto]), rng(seed))
            assert left.files.get("/d/x", b"hello") == b"hello"
            seen.add("/d/x" in left.files)
    assert seen == {True, False}


def test_a_rename_without_a_sync_of_the_content_is_detected() -> None:
    unsynced = [step for step in WRITE if step[0] != "sync"]
    broken = [state_after_cut(make_ops(*unsynced), rng(seed)).broken for seed in range(40)]
    assert ("/d/x",) in broken  # torn, though the program took it to be durable


def test_a_removal_may_be_undone_until_its_folder_is_synced() -> None:
    there = {
        "/d/x" in state_after_cut(make_ops(*WRITE[:5], ("remove", "/d/x")), rng(seed)).files
        for seed in range(30)
    }
    assert there == {True, False}
    gone = make_ops(*WRITE[:5], ("remove", "/d/x"), ("folder", "/d"))
    assert all("/d/x" not in state_after_cut(gone, rng(seed)).files for seed in range(30))


@pytest.fixture
def logged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> LoggedDisk:
    made = LoggedDisk(tmp_path)
    monkeypatch.setattr(records, "disk", made)
    return made


def test_records_written_through_the_logged_disk_survive_cuts_twice_in_a_row(
    tmp_path: Path, logged: LoggedDisk
) -> None:
    target = tmp_path / "fleet"
    for count in range(20):
        data = encode_record(RecordKind.FLEET, b"%d" % count)
        records.write(target, data)
        assert not cut_power(tmp_path, rng(count)).broken
        assert not cut_power(tmp_path, rng(1_000 + count)).broken  # during the recovery from the first
        assert records.read(target, RecordKind.FLEET) == b"%d" % count


def test_a_program_that_skips_syncs_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(records, "disk", LoggedDisk(tmp_path, skip_sync=True))
    detected = 0
    for count in range(20):
        records.write(tmp_path / "fleet", encode_record(RecordKind.FLEET, b"%d" % count))
        detected += bool(cut_power(tmp_path, rng(count)).broken)
    assert detected >= 10


def test_a_cut_during_a_write_leaves_the_previous_record(
    tmp_path: Path, logged: LoggedDisk, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At each step in turn, including the rename, the process dies and then the power is cut."""
    target = tmp_path / "fleet"

    class Killed(BaseException):
        pass

    def die(*_: object) -> None:
        raise Killed

    records.write(target, encode_record(RecordKind.FLEET, b"before"))
    for step in ("create", "append", "sync", "replace", "sync_folder"):
        for seed in range(10):
            with monkeypatch.context() as patch:
                patch.setattr(logged, step, die)
                with pytest.raises(Killed):
                    records.write(target, encode_record(RecordKind.FLEET, b"after"))
            left = cut_power(tmp_path, rng(seed))
            assert not left.broken
            assert records.read(target, RecordKind.FLEET) in (b"before", b"after")
        records.write(target, encode_record(RecordKind.FLEET, b"before"))


def test_a_full_or_readonly_disk_keeps_the_previous_record(tmp_path: Path, logged: LoggedDisk) -> None:
    target = tmp_path / "fleet"
    records.write(target, encode_record(RecordKind.FLEET, b"before"))
    for faults in (DiskFaults(full=True), DiskFaults(readonly=True)):
        set_disk_faults(tmp_path, faults)
        with pytest.raises(OSError):
            records.write(target, encode_record(RecordKind.FLEET, b"after"))
        assert records.read(target, RecordKind.FLEET) == b"before"
        assert not cut_power(tmp_path, rng(1)).broken
    set_disk_faults(tmp_path, DiskFaults())
    records.write(target, encode_record(RecordKind.FLEET, b"after"))
    assert records.read(target, RecordKind.FLEET) == b"after"


def test_a_truncated_log_is_read_up_to_the_last_whole_line(tmp_path: Path, logged: LoggedDisk) -> None:
    records.write(tmp_path / "fleet", b"x")
    whole = read_log(tmp_path / disk.LOG_FILE)
    with (tmp_path / disk.LOG_FILE).open("ab") as file:
        file.write(b'{"op":"crea')
    assert read_log(tmp_path / disk.LOG_FILE) == whole
    assert [step.op for step in whole] == ["create", "write", "sync", "rename", "folder", "done"]


def test_descriptors_are_closed_after_faults(tmp_path: Path, logged: LoggedDisk) -> None:
    records.write(tmp_path / "fleet", b"x")
    before = len(os.listdir("/proc/self/fd"))
    for faults in (DiskFaults(full=True), DiskFaults(), DiskFaults(readonly=True)):
        set_disk_faults(tmp_path, faults)
        for _ in range(5):
            with contextlib.suppress(OSError):
                records.write(tmp_path / "fleet", b"x")
    assert len(os.listdir("/proc/self/fd")) == before
