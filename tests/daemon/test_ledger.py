"""The ledger: what was synced is there, and a tear loses what lies behind it alone."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from sorrelfront.daemon import ledger, records
from sorrelfront.daemon.ledger import Ledger


def begun(path: Path, *payloads: bytes) -> Ledger:
    made = Ledger(path)
    made.load()
    made.snapshot(list(payloads))
    return made


def test_a_snapshot_and_what_came_after_are_there_in_order(tmp_path: Path) -> None:
    made = begun(tmp_path / "c", b"one", b"two")
    made.write([b"three"])
    made.write([b"four", b""])
    assert Ledger(tmp_path / "c").load() == [b"one", b"two", b"three", b"four", b""]


@pytest.mark.parametrize("cut", range(1, 30))
def test_a_torn_tail_loses_the_tail_alone(tmp_path: Path, cut: int) -> None:
    made = begun(tmp_path / "c", b"one")
    made.write([b"two"])
    made.write([b"three"])
    (tail,) = tmp_path.glob("c.tail-*")
    data = tail.read_bytes()
    tail.write_bytes(data[:-cut])
    again = Ledger(tmp_path / "c")
    found = again.load()
    whole = [b"one", b"two", b"three"]
    frame = ledger.FRAME.size
    kept = 3 if cut == 0 else 2 if cut <= frame + 5 else 1
    assert found == whole[:kept]
    assert (again.torn > 0) == (cut not in (frame + 5, 2 * frame + 8))


def test_zeros_at_the_end_are_no_entries(tmp_path: Path) -> None:
    made = begun(tmp_path / "c", b"one")
    made.write([b"two"])
    (tail,) = tmp_path.glob("c.tail-*")
    tail.write_bytes(tail.read_bytes() + bytes(40))
    assert Ledger(tmp_path / "c").load() == [b"one", b"two"]


def test_a_new_snapshot_leaves_one_tail_and_takes_the_place_of_all_before(tmp_path: Path) -> None:
    made = begun(tmp_path / "c", b"one")
    made.write([b"two"])
    made.snapshot([b"both"])
    made.write([b"three"])
    assert Ledger(tmp_path / "c").load() == [b"both", b"three"]
    assert len([*tmp_path.glob("c.tail-*")]) == 1


def test_a_cut_between_tail_and_snapshot_leaves_the_state_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = begun(tmp_path / "c", b"one")
    made.write([b"two"])

    def full(path: Path, data: bytes) -> None:
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(records, "write", full)
    with pytest.raises(OSError):
        made.snapshot([b"both"])
    made.write([b"three"])
    assert Ledger(tmp_path / "c").load() == [b"one", b"two", b"three"]


def test_a_disk_that_fills_up_in_a_frame_gives_the_tail_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    made = begun(tmp_path / "c", b"one")

    class Full(records.Disk):
        def append(self, descriptor: int, data: bytes) -> None:
            super().append(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patch:
        patch.setattr(records, "disk", Full())
        with pytest.raises(OSError):
            made.write([b"two"])
    assert made.wants_snapshot
    made.snapshot([b"one", b"two"])
    assert Ledger(tmp_path / "c").load() == [b"one", b"two"]


def test_a_tail_that_grew_wants_a_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ledger, "TAIL_LEAST", 100)
    made = begun(tmp_path / "c", b"one")
    assert not made.wants_snapshot
    made.write([b"x" * 200])
    assert made.wants_snapshot


def test_a_spoilt_snapshot_is_set_aside(tmp_path: Path) -> None:
    begun(tmp_path / "c", b"one")
    (tmp_path / "c").write_bytes(b"nothing")
    assert Ledger(tmp_path / "c").load() == []
    assert (tmp_path / "c.bad").exists()
