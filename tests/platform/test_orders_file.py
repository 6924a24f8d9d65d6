"""The file of orders: shared, replaced whole, and checked before it is believed."""

from __future__ import annotations

import fcntl
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sorrelfront.decisions.orders import ID_MOST, OUT_MOST
from sorrelfront.platform import orders_file
from sorrelfront.platform.orders_file import Full, OrdersFile
from tests.test_process import ROOT

NAME = "out-by-hand.json"


def test_orders_are_seen_by_another_and_by_one_that_comes_later(tmp_path: Path) -> None:
    one, two = OrdersFile(tmp_path), OrdersFile(tmp_path)
    one.change("a", True)
    assert two.look() and two.out == {"a"}
    assert not two.look()
    two.change("b", True)
    one.change("a", False)  # without having looked: it changes what there is, not what it knew
    assert two.look() and two.out == {"b"}
    assert OrdersFile(tmp_path).out == {"b"}


def test_of_many_at_once_none_is_lost(tmp_path: Path) -> None:
    """Several processes, each with orders of its own."""
    code = (
        "import sys; from pathlib import Path\n"
        "from sorrelfront.platform.orders_file import OrdersFile\n"
        "made, number = OrdersFile(Path(sys.argv[1])), 0\n"
        "while number < 50:\n"
        "    try:\n"
        "        made.change(f'{sys.argv[2]}-{number}', True)\n"
        "        number += 1\n"
        "    except TimeoutError:\n"  # said, and tried again: the machine may be busy
        "        pass\n"
    )
    started = [sys.executable, "-c", code, str(tmp_path)]
    running = [subprocess.Popen([*started, str(name)], cwd=ROOT) for name in range(4)]
    assert [process.wait(60) for process in running] == [0] * 4
    assert len(OrdersFile(tmp_path).out) == 200


def test_without_a_folder_orders_are_kept_in_memory() -> None:
    made = OrdersFile(None)
    made.change("a", True)
    assert made.out == {"a"} and not made.look()


@pytest.mark.parametrize("data", [
    b"", b"{", b"{}", b"[1]", b"null", b"[" * 100_000, b'["\xff"]',
    json.dumps(["x" * (ID_MOST + 1)]).encode(),
    json.dumps([str(number) for number in range(OUT_MOST + 1)]).encode(), b" " * (4 * 1024 * 1024 + 1),
])  # fmt: skip
def test_a_file_that_cannot_be_read_puts_nobody_back(data: bytes, tmp_path: Path) -> None:
    made = OrdersFile(tmp_path)
    made.change("a", True)
    (tmp_path / NAME).write_bytes(data)
    assert not made.look() and made.out == {"a"}
    assert OrdersFile(tmp_path).out == frozenset()  # one that never knew starts with nobody out
    made.change("b", True)  # and the next order writes it whole again
    assert OrdersFile(tmp_path).out == {"a", "b"}


def test_a_file_that_goes_puts_nobody_back(tmp_path: Path) -> None:
    made = OrdersFile(tmp_path)
    made.change("a", True)
    (tmp_path / NAME).unlink()
    assert not made.look() and made.out == {"a"}


def test_who_cannot_write_it_is_told_so_and_nothing_has_changed(tmp_path: Path) -> None:
    folder = tmp_path / "gone"
    folder.mkdir()
    made = OrdersFile(folder)
    folder.rmdir()
    with pytest.raises(OSError):
        made.change("a", True)
    assert made.out == frozenset()


def test_a_lock_that_is_never_let_go_stops_nobody(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(orders_file, "LOCK_TRIES", 3)
    made = OrdersFile(tmp_path)
    made.change("a", True)
    holder = os.open(tmp_path / "out-by-hand.lock", os.O_RDWR)
    fcntl.flock(holder, fcntl.LOCK_EX)
    with pytest.raises(TimeoutError):
        made.change("b", True)
    assert made.out == {"a"}
    os.close(holder)
    made.change("b", True)
    assert made.out == {"a", "b"}


def test_there_is_a_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(orders_file, "OUT_MOST", 2)
    made = OrdersFile(None)
    made.change("a", True)
    made.change("b", True)
    with pytest.raises(Full):
        made.change("c", True)
    with pytest.raises(Full):
        made.change("x" * (ID_MOST + 1), True)
    made.change("a", False)
    made.change("c", True)
    assert made.out == {"b", "c"}
