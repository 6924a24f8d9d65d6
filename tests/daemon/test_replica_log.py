"""The replica log: what was synced is there, and a tear loses only what follows it."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from sorrelfront.daemon import records, replica_log
from sorrelfront.daemon.replica_log import ReplicaLog


def start_log(path: Path, *payloads: bytes) -> ReplicaLog:
    log = ReplicaLog(path)
    log.load()
    log.snapshot(list(payloads))
    return log


def test_a_snapshot_and_later_changes_are_loaded_in_order(tmp_path: Path) -> None:
    log = start_log(tmp_path / "c", b"one", b"two")
    log.write([b"three"])
    log.write([b"four", b""])
    assert ReplicaLog(tmp_path / "c").load() == [b"one", b"two", b"three", b"four", b""]


@pytest.mark.parametrize("cut", range(1, 30))
def test_a_torn_tail_loses_only_what_follows_the_tear(tmp_path: Path, cut: int) -> None:
    log = start_log(tmp_path / "c", b"one")
    log.write([b"two"])
    log.write([b"three"])
    (tail,) = tmp_path.glob("c.tail-*")
    data = tail.read_bytes()
    tail.write_bytes(data[:-cut])
    again = ReplicaLog(tmp_path / "c")
    found = again.load()
    whole = [b"one", b"two", b"three"]
    frame = replica_log.FRAME.size
    kept = 3 if cut == 0 else 2 if cut <= frame + 5 else 1
    assert found == whole[:kept]
    assert (again.torn_bytes > 0) == (cut not in (frame + 5, 2 * frame + 8))


def test_zeros_at_the_end_are_not_entries(tmp_path: Path) -> None:
    log = start_log(tmp_path / "c", b"one")
    log.write([b"two"])
    (tail,) = tmp_path.glob("c.tail-*")
    tail.write_bytes(tail.read_bytes() + bytes(40))
    assert ReplicaLog(tmp_path / "c").load() == [b"one", b"two"]


def test_a_new_snapshot_leaves_one_tail_and_replaces_all_earlier_changes(tmp_path: Path) -> None:
    log = start_log(tmp_path / "c", b"one")
    log.write([b"two"])
    log.snapshot([b"both"])
    log.write([b"three"])
    assert ReplicaLog(tmp_path / "c").load() == [b"both", b"three"]
    assert len([*tmp_path.glob("c.tail-*")]) == 1


def test_a_failure_between_tail_and_snapshot_leaves_the_earlier_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = start_log(tmp_path / "c", b"one")
    log.write([b"two"])

    def full(path: Path, data: bytes) -> None:
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(records, "write", full)
    with pytest.raises(OSError):
        log.snapshot([b"both"])
    log.write([b"three"])
    assert ReplicaLog(tmp_path / "c").load() == [b"one", b"two", b"three"]


def test_a_disk_that_fills_up_within_a_frame_closes_the_tail(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = start_log(tmp_path / "c", b"one")

    class Full(records.Disk):
        def append(self, descriptor: int, data: bytes) -> None:
            super().append(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patch:
        patch.setattr(records, "disk", Full())
        with pytest.raises(OSError):
            log.write([b"two"])
    assert log.needs_snapshot
    log.snapshot([b"one", b"two"])
    assert ReplicaLog(tmp_path / "c").load() == [b"one", b"two"]


def test_a_tail_that_has_grown_needs_a_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replica_log, "MIN_COMPACTION_BYTES", 100)
    log = start_log(tmp_path / "c", b"one")
    assert not log.needs_snapshot
    log.write([b"x" * 200])
    assert log.needs_snapshot


def test_a_corrupt_snapshot_is_set_aside(tmp_path: Path) -> None:
    start_log(tmp_path / "c", b"one")
    (tmp_path / "c").write_bytes(b"nothing")
    assert ReplicaLog(tmp_path / "c").load() == []
    assert (tmp_path / "c.bad").exists()
