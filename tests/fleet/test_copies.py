"""Copies in memory: fleets through faults from seeds, planted defects, and what each part of it promises."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.copies import filled
from sorrelfront.decisions.fleet import copies
from sorrelfront.decisions.fleet.copies import (
    Book,
    BookId,
    Copies,
    Give,
    Held,
    Hold,
    Item,
    Kept,
    Row,
    Say,
    Settings,
    Want,
    Write,
    unpack,
)
from sorrelfront.decisions.fleet.words import Unreadable
from sorrelfront.lab.fleet.copies import PLANTS, play
from sorrelfront.lab.fleet.copies_explorer import explore

SEEDS = 15
FOUND_WITHIN = 30  # seeds; a third of them play the kind of fault that shows it


def made(name: str = "a/i0", **changes: int) -> Copies:
    return Copies(name, Settings(**changes), Random(1), 0, (), "reg")


def started(name: str, **changes: int) -> Copies:
    one = made(name, **changes)
    one.on_time(one.settings.lone_us, [])
    assert one.mine is not None
    return one


@pytest.mark.parametrize("seed", range(1, SEEDS + 1))
def test_a_fleet_settles_and_keeps_what_it_told(seed: int) -> None:
    found, _ = play(seed)
    assert not found


@pytest.mark.parametrize("plant", [name for name in PLANTS if name not in ("", "too-soon")])
def test_planted_defects_are_found(plant: str) -> None:
    assert any(play(seed, make=PLANTS[plant])[0] for seed in range(1, FOUND_WITHIN + 1))


def test_what_is_held_for_another_is_durable_before_that_is_told() -> None:
    owner, keeper = started("a/i0"), started("b/i0")
    owner.on_time(owner.now + 1, ["a/i0", "b/i0"])
    owner.put("k", b"v", owner.now)
    assert owner.mine is not None
    row = owner.mine.row
    give = Give(row, 0, "", row.seq, copies.LAST, tuple(owner.mine.after(0, "")), 0, True, True)
    keeper.on_word("a/i0", Give(row, 0, "", row.seq, copies.LAST, give.items, 0, True), keeper.now)
    assert keeper.books[row.id].row == row
    assert not [item for item in keeper.on_word("a/i0", Hold(row), keeper.now) if isinstance(item, Say)]
    last = keeper._writes
    said = [item.word for item in keeper.on_written(last, keeper.now) if isinstance(item, Say)]
    assert said == [Held(row)]
    owner.hold(2, owner.now)
    told = owner.on_word("b/i0", Held(row), owner.now)
    assert not [item for item in told if isinstance(item, Kept)]  # its own disk is still at it
    told = owner.on_written(owner._writes, owner.now)
    assert [item for item in told if isinstance(item, Kept)] == [Kept(row.seq, 2)]


def test_what_is_given_is_bounded_in_bytes_a_second() -> None:
    giver = started("a/i0", give_bytes_s=10_000)
    for number in range(100):
        giver.put(f"k{number}", b"x" * 1_000, giver.now)
    giver._take()
    assert giver.mine is not None
    want = Want(*giver.mine.id, 0, "", True)
    given = 0
    for step in range(100):  # ten seconds
        actions = giver.on_word("b/i0", want, giver.now + 100_000)
        given += sum(copies.size(item) for word in _gives(actions) for item in word.items)
        assert given <= 10_000 * (step + 1) / 10 + 10_000 + copies.CHUNK
    assert given > 50_000


def _gives(actions: list[copies.Action]) -> list[Give]:
    return [item.word for item in actions if isinstance(item, Say) and isinstance(item.word, Give)]


def test_who_is_behind_what_is_remembered_takes_the_book_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(copies, "DELETED_MOST", 2)
    giver = started("a/i0")
    for number in range(8):
        giver.put(f"k{number}", b"v", giver.now)
    for number in range(6):
        giver.delete(f"k{number}", giver.now)
    assert giver.mine is not None and giver.mine.floor > 9
    (behind,) = _gives(giver.on_word("b/i0", Want(*giver.mine.id, 8, copies.LAST, False), giver.now))
    assert behind.whole and {item.key for item in behind.items if item.value} == {"k6", "k7"}
    near = Want(*giver.mine.id, giver.mine.floor, copies.LAST, False)
    (close,) = _gives(giver.on_word("b/i0", near, giver.now))
    assert not close.whole and [item.key for item in close.items] == ["k4", "k5"]


def test_a_restored_copy_is_what_was_written() -> None:
    one = started("a/i0")
    written = [item.change for item in one._take() if isinstance(item, Write)]
    for number in range(20):
        one.put(f"k{number % 7}", b"%d" % number, one.now)
        if number % 3 == 0:
            one.delete(f"k{number % 7}", one.now)
    one.heard(5, True, {"s1": (b"x", b"here")}, one.now)
    written += [item.change for item in one._take() if isinstance(item, Write)]
    full = [*one.snapshot()]
    for disk in (written, full):
        other = Copies("b/i0", Settings(), Random(2), 0, disk, "reg")
        rows = {book.row for book in one.books.values()}
        assert {book.row for book in other.books.values()} >= rows if disk is full else True
    again = Copies("b/i0", Settings(), Random(2), 0, full, "reg")
    assert again.digest() == one.digest()
    assert {id: book.entries for id, book in again.books.items()} == {
        id: book.entries for id, book in one.books.items()
    }


ENTRY = st.tuples(st.sampled_from("abcd"), st.integers(1, 30), st.none() | st.sampled_from([b"x", b"y"]))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(ENTRY, max_size=12, unique_by=lambda item: item[1]), st.randoms(use_true_random=False))
def test_a_book_is_the_same_whatever_the_order_of_its_entries(
    entries: list[tuple[str, int, bytes | None]], random: Random
) -> None:
    items = [Item(key, seq, value) for key, seq, value in entries]
    one, other = Book(BookId("a", 1, 1), 0), Book(BookId("a", 1, 1), 0)
    for item in items:
        one.apply(item)
    random.shuffle(items)
    for item in (*items, *items):
        other.apply(item)
    assert one.entries == other.entries and one.sum == other.sum
    seqs = [(item.seq, item.key) for item in one.after(0, "")]
    assert seqs == sorted(seqs)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_bytes_that_are_no_word_are_unreadable_and_nothing_else(data: bytes) -> None:
    try:
        word = unpack(data)
    except Unreadable:
        return
    made().on_word("b/i0", word, 1)


def test_a_row_of_a_member_that_went_for_good_does_not_bring_its_book_back() -> None:
    one = started("a/i0")
    one.on_time(one.now + 1, ["a/i0", "b/i0"])
    gone = Row("c/i0", 3, 77, 5, 9)
    one.books[gone.id] = book = Book(gone.id, 0)
    book.seq = 5
    one._by_owner["c/i0"] = {gone.id}
    one._digest(book)
    one.retire("c/i0", one.now)
    assert "c/i0" not in one.owners()
    rows = copies.Rows(tuple(range(copies.BUCKETS)), (gone,), 0, True, True)
    told = one.on_word("b/i0", rows, one.now)
    assert not [item for item in told if isinstance(item, Say) and isinstance(item.word, Want)]


def test_a_book_of_many_parts_is_taken_while_all_others_lack_it_too() -> None:
    """Three that have nothing are alike, and that says nothing of what each is being given."""
    fleet = filled(3_000, 4)
    assert all(max(book.seq for book in node.copies.books.values()) >= 3_000 for node in fleet.up())


def test_every_order_of_two_events_holds() -> None:
    found = explore(2)
    assert not found.broken and found.states == 100


def test_a_life_that_forgets_the_one_before_is_found_by_exploring() -> None:
    class Forgets(Copies):
        def _begin(self) -> None:
            for book in [book for book in self._lives(self.me) if book is not self.mine]:
                book.entries.clear()
            super()._begin()

    assert explore(3, Forgets).broken
