"""Copies of the state that matters, kept by the members of one fleet. No I/O: words, times and what is
durable come in, actions go out.

A copy is made of books. Each book has one writer and a total order of its states, (owner, epoch, birth, seq);
a state has one content, which its sum tells. What several may add to is read as a join over all books, so it
is commutative, associative and idempotent whatever the order of words. Members compare digests at random
(anti-entropy; Demers et al., 1987), exchange rows of what differs, and take entries in the order of their
sequence from whoever is ahead: the cost is that of the difference. Deletions are remembered in a bounded log
for each book, and whoever is behind it takes the book whole; books of members that are gone for good leave
marks, and when a mark is forgotten the era rises, by which a member that was away for longer is known.
docs/design/copies.md weighs this against vectors with dots, CRDTs and trees.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta
from sortedcontainers import SortedList

from sorrelfront.decisions.fleet.words import Count, Name, Unreadable

BUCKETS = 32  # digests in a Beat: what differs is looked for in one part of the books
KEY_MOST, VALUE_MOST, HINT_MOST = 256, 2_048, 64  # characters; bytes
BOOKS_MOST = 16_384
ENTRIES_MOST = 131_072  # of one book
DELETED_MOST = 4_096  # deletions that a book remembers; whoever is further behind takes it whole
MARKS_MOST = 8_192  # books that ended and are remembered
CHUNK = 32 * 1024  # bytes of entries in one Give
ROWS_MOST = 4_096  # in one word; the rest of what differs comes with the next comparison
ITEMS_MOST = 4_096
FETCHES_MOST = 4  # books that are being taken at once
WANTS_MOST = 64  # of others, that wait for bytes to be given
HOLDS_MOST = 1_024  # promises of others that wait for the disk
FETCH_TRIES = 6  # of one part, each at another giver
BOOK_BYTES_MOST = 64 * 1024 * 1024
LAST = "\U0010ffff"  # behind every key
TOP = 2**52  # the sequence of a book that has ended
FEW = 3  # peers that a member has to be level with before it acts by a copy
ENTRY_OVERHEAD = 24  # bytes of an entry beside its texts
LIVES_MOST = 1_024  # earlier ones of a member that its book says it has taken over
LIST = "list:"  # owners of this beginning are list services: any member that hears one writes its book
COVERS = "\x00covers:"  # keys by which a later life of a member says what of an earlier one it has taken over


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Which state of a book somebody has."""

    owner: Name
    epoch: Count
    birth: Count
    seq: Count
    sum: Count = 0

    @property
    def id(self) -> BookId:
        return BookId(self.owner, self.epoch, self.birth)


class BookId(NamedTuple):
    owner: str
    epoch: int
    birth: int


class Item(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An entry as it is sent and kept on disk; without a value it was deleted. The hint is the teller's own
    and counts for no sum. `stamp`: epoch and sequence of the life that wrote it first, so that of two lives
    that took it over none counts as having written it anew."""

    key: Annotated[str, Meta(max_length=KEY_MOST)]
    seq: Count
    value: Annotated[bytes, Meta(max_length=VALUE_MOST)] | None
    hint: Annotated[bytes, Meta(max_length=HINT_MOST)] = b""
    stamp: tuple[Count, Count] = (0, 0)


Items = Annotated[tuple[Item, ...], Meta(max_length=ITEMS_MOST)]
Rows_ = Annotated[tuple[Row, ...], Meta(max_length=ROWS_MOST)]


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="b", gc=False):
    """What I have, by digests. `live`: epoch and sequence of the list that my own service confirmed last, and
    how many milliseconds ago."""

    digests: Annotated[tuple[Count, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]
    era: Count
    level: bool
    live: tuple[Count, Count, Count] | None = None


class Same(msgspec.Struct, frozen=True, array_like=True, tag="s", gc=False):
    """I have just that."""

    era: Count


class Rows(msgspec.Struct, frozen=True, array_like=True, tag="r", gc=False):
    """All that I have in these buckets, if it fits. `asks`: tell me what you have there."""

    buckets: Annotated[tuple[Count, ...], Meta(max_length=BUCKETS)]
    rows: Rows_
    era: Count
    asks: bool
    whole: bool  # nothing was left out for want of room


class Want(msgspec.Struct, frozen=True, array_like=True, tag="w", gc=False):
    """Give me what comes behind this place of the book. `whole`: what I had before I asked does not count."""

    owner: Name
    epoch: Count
    birth: Count
    seq: Count
    key: Annotated[str, Meta(max_length=KEY_MOST)]
    whole: bool

    @property
    def id(self) -> BookId:
        return BookId(self.owner, self.epoch, self.birth)


class Give(msgspec.Struct, frozen=True, array_like=True, tag="g", gc=False):
    """A part of a book: all that changed after (`after`, `after_key`) up to (`upto`, `upto_key`), in this
    order; `goal` is the giver's own state. `hops`: how often it was passed on."""

    goal: Row
    after: Count
    after_key: Annotated[str, Meta(max_length=KEY_MOST)]
    upto: Count
    upto_key: Annotated[str, Meta(max_length=KEY_MOST)]
    items: Items
    floor: Count  # deletions up to here may be forgotten
    last: bool
    whole: bool = False
    hops: Count = 0


class Hold(msgspec.Struct, frozen=True, array_like=True, tag="h", gc=False):
    """Tell me once you hold this durably."""

    row: Row


class Held(msgspec.Struct, frozen=True, array_like=True, tag="d", gc=False):
    """I do."""

    row: Row


Word = Beat | Same | Rows | Want | Give | Hold | Held
_decoder = msgspec.msgpack.Decoder(Word)
_encode = msgspec.msgpack.Encoder().encode


def pack(word: Word) -> bytes:
    return _encode(word)


def unpack(data: bytes) -> Word:
    """Raises Unreadable, and nothing else whatever the bytes are."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Unreadable(str(fault)) from None


# Actions


class Say(NamedTuple):
    to: str
    word: Word


class Write(NamedTuple):
    """Put this change on disk, and then call `on_written` with its number."""

    number: int
    change: Change


class Changed(NamedTuple):
    """These keys of this owner's may read otherwise from now on."""

    owner: str
    keys: tuple[str, ...]


class Kept(NamedTuple):
    """What was put up to here is durable on so many hosts, this one among them."""

    seq: int
    hosts: int


class Forked(NamedTuple):
    """Two contents under one state, or two lives of one name at once."""

    owner: str
    epoch: int
    seq: int


class Levelled(NamedTuple):
    """This member has what its peers have."""


Action = Say | Write | Changed | Kept | Forked | Levelled


class Change(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a state became, as it stands on disk. `whole`: what was there before does not count."""

    row: Row | None  # None: it tells the era alone
    items: tuple[Item, ...] = ()
    whole: bool = False
    floor: int = 0
    dropped: bool = False  # the book is gone; with TOP for its sequence it left a mark
    era: int = 0


# Books


def mark(key: str, value: bytes) -> int:
    digest = hashlib.blake2b(key.encode(), digest_size=8, key=hashlib.blake2b(value, digest_size=16).digest())
    return int.from_bytes(digest.digest(), "big") >> 1


def _row_mark(row: Row) -> int:
    text = f"{row.owner}/{row.epoch}/{row.birth}/{row.seq}/{row.sum}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


def bucket(owner: str) -> int:
    return hashlib.blake2b(owner.encode(), digest_size=1).digest()[0] % BUCKETS


class Book:
    """One writer's entries, in a state."""

    __slots__ = ("_order", "covers", "deleted", "entries", "floor", "id", "seq", "since", "sum")

    def __init__(self, id: BookId, since: int) -> None:
        self.id = id
        self.seq = 0
        self.sum = 0
        self.since = since  # when it changed last here
        self.entries: dict[str, Item] = {}
        self.deleted: OrderedDict[str, Item] = OrderedDict()  # oldest first
        self.floor = 0  # deletions up to here may be forgotten
        self.covers: dict[tuple[int, int], int] = {}  # states of earlier lives that are taken over
        self._order: SortedList[tuple[int, str]] = SortedList()

    @property
    def row(self) -> Row:
        return Row(*self.id, self.seq, self.sum)

    def apply(self, item: Item) -> bool:
        """Take an entry's newer state; False if it has this one or a newer one."""
        key = item.key
        known = self.entries.get(key)
        if known is not None and known.seq >= item.seq:
            return False
        gone = self.deleted.get(key)
        if gone is not None and gone.seq >= item.seq:
            return False
        if known is not None:
            self._order.remove((known.seq, key))
            self.sum ^= mark(key, known.value or b"")
            del self.entries[key]
        self.deleted.pop(key, None)
        if item.value is None:
            self.deleted[key] = item
            while len(self.deleted) > DELETED_MOST:
                _, first = self.deleted.popitem(last=False)
                self.floor = max(self.floor, first.seq)
        else:
            self.entries[key] = item
            self._order.add((item.seq, key))
            self.sum ^= mark(key, item.value)
            if key.startswith(COVERS):
                self._cover(key, item.value)
        return True

    def _cover(self, key: str, value: bytes) -> None:
        try:
            epoch, birth = key[len(COVERS) :].split("/")
            self.covers[int(epoch), int(birth)] = int(value)
        except ValueError:
            return

    def after(self, seq: int, key: str) -> Iterator[Item]:
        """Entries and deletions behind this place, in order."""
        gone = [item for item in self.deleted.values() if (item.seq, item.key) > (seq, key)]
        gone.sort(key=lambda item: (item.seq, item.key))
        place = 0
        for at, name in self._order.irange((seq, key), inclusive=(False, True)):
            while place < len(gone) and (gone[place].seq, gone[place].key) < (at, name):
                yield gone[place]
                place += 1
            yield self.entries[name]
        yield from gone[place:]


def _rank(item: Item) -> tuple[tuple[int, int], bytes]:
    """Of two lives' words on one key the later written holds; the same everywhere."""
    return item.stamp, item.value or b""


def host_of(member: str) -> str:
    return member.rpartition("/")[0] or member


def size(item: Item) -> int:
    return len(item.key) + len(item.value or b"") + len(item.hint) + ENTRY_OVERHEAD


@dataclass(frozen=True, slots=True)
class Settings:
    """Times in microseconds."""

    compare_us: int = 1_000_000  # between two comparisons with a random peer
    push_us: int = 50_000  # what changed in this time goes out together
    fetch_us: int = 2_000_000  # for a part of a book to come
    fanout: int = 3  # peers that a change is pushed to, and by each of them once more
    # A member alone for so long begins its own book by what it has. Risk: sooner, it would not know of what
    # others still hold for it; harm: its own words wait for so long.
    lone_us: int = 3_000_000
    keep_us: int = 3_600_000_000  # for which the mark of a book that ended is remembered
    give_bytes_s: int = 512 * 1024  # of entries, given to all that catch up together
    trust_us: int = 30_000_000  # a list that no service confirmed for so long only fills in


@dataclass(slots=True)
class _Fetch:
    """A book on its way here."""

    giver: str
    ends_us: int
    seq: int  # the place up to which it is here
    key: str
    whole: bool  # begun from nothing
    differs: bool  # this member has another content of the same state
    items: list[Item] = field(default_factory=list)
    bytes: int = 0
    tries: int = 0


@dataclass(slots=True)
class Figures:
    """Counts since the start; bytes are of entries."""

    compared: int = 0
    taken: int = 0
    taken_bytes: int = 0
    given_bytes: int = 0
    pushed: int = 0
    forks: int = 0
    spoilt: int = 0  # books whose sum was wrong once they had come
    refused: int = 0
    resurrected: int = 0  # books of an older era that were not taken


Merge = Callable[[bytes, bytes], bytes]


class Copies:
    """One member's copies. `disk`: what an earlier life left, as `restore` reads it."""

    def __init__(
        self,
        me: str,
        settings: Settings,
        random: Random,
        now: int,
        disk: Iterable[Change] = (),
        list_name: str = "",
        merge: Merge = max,
    ) -> None:
        """`list_name`: of the list service that the members hear. `merge`: of two values of one server under
        one state of that list, what holds: commutative, associative, idempotent."""
        self.me = me
        self.settings = settings
        self.random = random
        self.now = now
        self.began_us = now
        self.books: dict[BookId, Book] = {}
        self._by_owner: dict[str, set[BookId]] = {}
        self.marks: OrderedDict[str, tuple[int, int]] = OrderedDict()  # owner -> epoch that ended, since when
        self.era = 0
        self.level = False
        self.figures = Figures()
        self.forks: OrderedDict[str, tuple[int, int]] = OrderedDict()  # owner -> epoch and sequence, told
        self.mine: Book | None = None
        self.waiting: dict[str, bytes | None] = {}  # what was put before this life's book began
        self.live: tuple[int, int, int] | None = None  # epoch, sequence, when: of this member's own service
        self.confirmed: int | None = None  # when some member's service confirmed the list's state held here
        self.peers: list[str] = []
        self._birth = random.getrandbits(52)
        self._begun_us = now - settings.compare_us
        self._merge = merge
        self.list_owner = LIST + list_name
        self._heard: dict[str, tuple[bytes, bytes]] = {}  # the list as this member's own service has it
        self._heard_seq = 0  # of that; 0: nothing was heard
        self._level_with: set[str] = set()
        self._fetches: dict[BookId, _Fetch] = {}
        self._wants: OrderedDict[tuple[str, BookId], Want] = OrderedDict()
        self._allowance = float(settings.give_bytes_s)
        self._refilled_us = now
        self._fresh: dict[BookId, tuple[int, int]] = {}  # book -> sequence before, hops of the longest way
        self._push_us: int | None = None
        self._next_compare_us = now + random.randrange(1 + settings.compare_us // 4)
        self._digests = [0] * BUCKETS
        self._writes = 0
        self._written = 0
        self._unwritten: dict[BookId, int] = {}  # book -> the write that has its state
        self._holds: dict[
            tuple[str, BookId], tuple[int, int]
        ] = {}  # who waits for which state, and its write
        self._keepers: dict[str, int] = {}  # host -> sequence of this member's book that it holds
        self.hosts_wanted = 1
        self._kept = 0
        self._settled: tuple[BookId, int, int] | None = None
        self._out: list[Action] = []
        for change in disk:
            self._restore(change)
        for book in self.books.values():
            book.since = now - settings.keep_us  # nobody can tell for how long it has stood like this
        self._drop_covered()

    # Disk

    def _restore(self, change: Change) -> None:
        self.era = max(self.era, change.era)
        row = change.row
        if row is None:
            return
        if change.dropped:
            if row.id in self.books:
                self._forget(row.id)
            if row.seq == TOP:
                self.marks[row.owner] = (row.epoch, self.now)
            return
        book = self.books.get(row.id)
        if book is None or change.whole:
            if book is not None:
                self._forget(row.id)
            if len(self.books) >= BOOKS_MOST:
                return
            book = Book(row.id, self.now)
        else:
            self._digest(book)
        for item in change.items:
            book.apply(item)
        book.seq = max(book.seq, row.seq)
        book.floor = max(book.floor, change.floor)
        if row.id in self.books:
            self._digest(book)
        else:
            self._add(book)

    def snapshot(self) -> Iterator[Change]:
        """All of it, as it stands on disk."""
        yield Change(None, era=self.era)
        for book in self.books.values():
            yield Change(book.row, tuple(book.after(0, "")), whole=True, floor=book.floor)
        for owner, (epoch, _) in self.marks.items():
            yield Change(Row(owner, epoch, 0, TOP), (), dropped=True)

    def _write(self, change: Change) -> int:
        self._writes += 1
        if change.row is not None and not change.dropped:
            self._unwritten[change.row.id] = self._writes
        self._out.append(Write(self._writes, change))
        return self._writes

    def on_written(self, number: int, now: int) -> list[Action]:
        """Everything up to this write is durable."""
        self.now = max(now, self.now)
        self._written = max(number, self._written)
        for id in [id for id, at in self._unwritten.items() if at <= self._written]:
            del self._unwritten[id]
        for (to, id), (seq, at) in list(self._holds.items()):
            if at <= self._written:
                del self._holds[to, id]
                book = self.books.get(id)
                if book is not None and book.seq >= seq:
                    self._say(to, Held(book.row))
        self._tell_kept()
        return self._take()

    # This member's own book

    def put(self, key: str, value: bytes, now: int) -> int:
        """Have this entry in this member's book. Returns the sequence that has it, 0 while the book has not
        begun. Raises ValueError if it is too large or there is no room."""
        if len(key) > KEY_MOST or len(value) > VALUE_MOST or key.startswith(COVERS):
            raise ValueError(f"an entry of {len(key)} characters and {len(value)} bytes")
        return self._own(key, value, now)

    def delete(self, key: str, now: int) -> int:
        """Have no such entry in it."""
        return self._own(key, None, now)

    def _own(self, key: str, value: bytes | None, now: int) -> int:
        self.now = max(now, self.now)
        if self.mine is None:
            if len(self.waiting) >= ITEMS_MOST and key not in self.waiting:
                raise ValueError("too many entries before the book has begun")
            self.waiting[key] = value
            return 0
        known = self.mine.entries.get(key)
        if (known is None and value is None) or (known is not None and known.value == value):
            return self.mine.seq
        if known is None and len(self.mine.entries) >= ENTRIES_MOST:
            raise ValueError("the book is full")
        seq = self.mine.seq + 1
        self._commit(self.mine, [Item(key, seq, value, stamp=(self.mine.id.epoch, seq))], seq)
        return seq

    def _begin(self) -> None:
        """A new life's book, above all that is known of earlier ones, with what they had."""
        lives = sorted((book for book in self.books.values() if book.id.owner == self.me), key=lambda b: b.id)
        ended = self.marks.pop(self.me, (0, 0))[0]
        epoch = 1 + max([ended, *(book.id.epoch for book in lives)])
        fork = self.mine is not None and any(
            book.id.epoch == self.mine.id.epoch and book is not self.mine for book in lives
        )
        if fork and self.mine is not None:
            self._fork(self.me, self.mine.id.epoch, self.mine.seq)
        latest: dict[str, Item] = {}
        for book in lives:  # the latest written word holds, whichever life took it over
            for item in (*book.entries.values(), *book.deleted.values()):
                known = latest.get(item.key)
                if not item.key.startswith(COVERS) and (known is None or _rank(item) > _rank(known)):
                    latest[item.key] = item
        self._begun_us = self.now
        self._birth = self.random.getrandbits(52)
        self.mine = Book(BookId(self.me, epoch, self._birth), self.now)
        self._add(self.mine)
        covers: dict[tuple[int, int], int] = {}
        for book in lives:
            for life, seq in (*book.covers.items(), ((book.id.epoch, book.id.birth), book.seq)):
                covers[life] = max(seq, covers.get(life, 0))
        items = [
            Item(f"{COVERS}{life[0]}/{life[1]}", at, b"%d" % covers[life])
            for at, life in enumerate(sorted(covers)[-LIVES_MOST:], 1)
        ]
        for item in sorted(latest.values(), key=_rank):
            items.append(msgspec.structs.replace(item, seq=len(items) + 1))
        for key, value in self.waiting.items():
            seq = len(items) + 1
            items.append(Item(key, seq, value, stamp=(epoch, seq)))
        self.waiting.clear()
        self._commit(self.mine, items, len(items))
        self._drop_covered()

    def _adopt(self, book: Book) -> None:
        """A book of this member's that another life wrote has come whole."""
        if self.mine is None:
            return
        if book.id.epoch >= self.mine.id.epoch:
            # Risk: two that go by one name and live would begin anew with each other's every word, until the
            # view has one of them stand back. What waits is taken up with the next comparison.
            if self.now - self._begun_us >= self.settings.compare_us:
                self._begin()
            return
        items: list[Item] = []
        seq = self.mine.seq
        for item in (*book.entries.values(), *book.deleted.values()):
            known = self.mine.entries.get(item.key) or self.mine.deleted.get(item.key)
            if item.key.startswith(COVERS) or (known is not None and _rank(known) >= _rank(item)):
                continue
            seq += 1
            items.append(msgspec.structs.replace(item, seq=seq))
        seq += 1
        items.append(Item(f"{COVERS}{book.id.epoch}/{book.id.birth}", seq, b"%d" % book.seq))
        self._commit(self.mine, items, seq)
        self._drop_covered()

    def covered(self, row: Row) -> bool:
        """Whether a later life of its owner has taken this state over; of a list's, its next beginning."""
        of_list = row.owner.startswith(LIST)
        return any(
            book.id.epoch > row.epoch and (of_list or book.covers.get((row.epoch, row.birth), -1) >= row.seq)
            for book in self._lives(row.owner)
        )

    def _lives(self, owner: str) -> list[Book]:
        return [self.books[id] for id in self._by_owner.get(owner, ())]

    def _drop_covered(self) -> None:
        for book in list(self.books.values()):
            if book is not self.mine and len(self._by_owner[book.id.owner]) > 1 and self.covered(book.row):
                self._drop(book)

    def _add(self, book: Book) -> None:
        self.books[book.id] = book
        self._by_owner.setdefault(book.id.owner, set()).add(book.id)
        self._digest(book)

    def _drop(self, book: Book, mark: bool = False) -> None:
        self._forget(book.id)
        seq = TOP if mark else book.seq
        self._write(Change(Row(*book.id, seq), dropped=True))
        self._out.append(Changed(book.id.owner, tuple(book.entries)))

    def _forget(self, id: BookId) -> None:
        book = self.books.pop(id)
        self._digest(book)
        lives = self._by_owner[id.owner]
        lives.discard(id)
        if not lives:
            del self._by_owner[id.owner]
        for table in (self._fresh, self._fetches, self._unwritten):
            table.pop(id, None)

    def _digest(self, book: Book) -> None:
        """Take its row into the digests, or out of them."""
        self._digests[bucket(book.id.owner)] ^= _row_mark(book.row)

    def _commit(self, book: Book, items: Iterable[Item], seq: int) -> None:
        """The book has these newer entries, and this state."""
        self._digest(book)
        before = book.seq
        taken = tuple(item for item in items if book.apply(item))
        book.seq = max(book.seq, seq)
        book.since = self.now
        self._digest(book)
        self._write(Change(book.row, taken))
        self._out.append(Changed(book.id.owner, tuple(item.key for item in taken)))
        self._pass_on(book, before, 0)

    def _pass_on(self, book: Book, before: int, hops: int) -> None:
        """Have what came behind this sequence told to a few peers."""
        first, known = self._fresh.get(book.id, (before, 0))
        self._fresh[book.id] = (first, max(known, hops))
        if self._push_us is None:
            self._push_us = self.now + self.settings.push_us

    def _fork(self, owner: str, epoch: int, seq: int) -> None:
        self.figures.forks += 1
        self.forks[owner] = (epoch, seq)
        self.forks.move_to_end(owner)
        if len(self.forks) > FETCHES_MOST * 16:
            self.forks.popitem(last=False)
        self._out.append(Forked(owner, epoch, seq))

    # Time

    def next_us(self) -> int:
        """When to call `on_time` next."""
        due = [self._next_compare_us]
        if self._push_us is not None:
            due.append(self._push_us)
        if self._fetches:
            due.append(min(item.ends_us for item in self._fetches.values()))
        if self._wants:
            due.append(self._affordable_us())
        if self.mine is None:
            due.append(self._begins_us())
        return min(due)

    def _begins_us(self) -> int:
        """When this life's book begins in any case. Risk: peers that never answer would keep its words back
        for ever."""
        return self.began_us + self.settings.lone_us * (4 if self.peers else 1)

    def on_time(self, now: int, peers: Iterable[str]) -> list[Action]:
        """Do what is due. `peers`: the living members as the view has them, with or without this one."""
        late = now - self.next_us()
        self.now = max(now, self.now)
        self.peers = sorted(name for name in peers if name != self.me)
        if late > 2 * self.settings.compare_us and self.level:
            self.level = False  # it was stopped: what went on meanwhile it has yet to hear
            self._level_with.clear()
        if self.mine is None and self._begins_us() <= self.now:
            self._begin()
        for id, fetch in list(self._fetches.items()):
            if fetch.ends_us <= self.now:
                self._overdue(id, fetch)
        if self._push_us is not None and self._push_us <= self.now:
            self._push()
        self._serve()
        if self._next_compare_us <= self.now:
            spread = 0.5 + self.random.random()
            self._next_compare_us = self.now + int(self.settings.compare_us * spread)
            if not self.level:
                self._next_compare_us = self.now + int(self.settings.compare_us * spread / 4)
            for book in self._lives(self.me) if self.mine is not None else ():
                if book is not self.mine and book.id in self.books:
                    self._adopt(book)
            self._compare()
            self._ask_keepers()
            self._sweep()
        return self._take()

    def _take(self) -> list[Action]:
        out, self._out = self._out, []
        return out

    def _say(self, to: str, word: Word) -> None:
        self._out.append(Say(to, word))

    def _compare(self) -> None:
        fresh = [name for name in self.peers if name not in self._level_with] if not self.level else []
        among = fresh or self.peers
        if among:
            self._say(among[self.random.randrange(len(among))], self._beat())

    def _beat(self) -> Beat:
        live = None
        if self.live is not None:
            epoch, seq, at = self.live
            live = (epoch, seq, max(0, self.now - at) // 1_000)
        return Beat(tuple(self._digests), self.era, self.level, live)

    def _sweep(self) -> None:
        limit = self.now - self.settings.keep_us
        for owner in [owner for owner, (_, since) in self.marks.items() if since <= limit]:
            del self.marks[owner]
            self._raise_era(self.era + 1)

    def retire(self, owner: str, now: int) -> list[Action]:
        """This member is gone for good: its books end, and leave a mark."""
        self.now = max(now, self.now)
        if owner != self.me:
            self._retire(owner, max((book.id.epoch for book in self._lives(owner)), default=-1))
        return self._take()

    def _retire(self, owner: str, epoch: int) -> None:
        books = [book for book in self._lives(owner) if book.id.epoch <= epoch]
        if not books:
            return
        self.marks[owner] = (epoch, self.now)
        for book in books:
            self._drop(book, mark=True)
        while len(self.marks) > MARKS_MOST:
            self.marks.popitem(last=False)
            self._raise_era(self.era + 1)

    def _raise_era(self, era: int) -> None:
        if era > self.era:
            self.era = era
            self._write(Change(None, era=era))

    # Words

    def on_word(self, sender: str, word: Word, now: int) -> list[Action]:
        """What a member says."""
        self.now = max(now, self.now)
        match word:
            case Beat():
                self._on_beat(sender, word)
            case Same(era):
                self._on_era(sender, era, None)
                self._levelled_with(sender)
            case Rows():
                self._on_rows(sender, word)
            case Want():
                self._on_want(sender, word)
            case Give():
                self._on_give(sender, word)
            case Hold(row):
                self._on_hold(sender, row)
            case Held(row):
                self._on_held(sender, row)
        return self._take()

    def _on_beat(self, sender: str, beat: Beat) -> None:
        self._on_live(beat.live)
        differ = tuple(at for at in range(BUCKETS) if beat.digests[at] != self._digests[at])
        if differ and beat.era != self.era:
            differ = tuple(range(BUCKETS))  # who is behind has to look at all of it
        if not differ:
            self._on_era(sender, beat.era, None)
            self._levelled_with(sender)
            if not beat.level:
                self._say(sender, Same(self.era))
            return
        self._say(sender, self._rows(differ, asks=True))

    def _rows(self, buckets: tuple[int, ...], asks: bool) -> Rows:
        wanted = set(buckets)
        rows = [book.row for book in self.books.values() if bucket(book.id.owner) in wanted]
        rows += [
            Row(owner, epoch, 0, TOP) for owner, (epoch, _) in self.marks.items() if bucket(owner) in wanted
        ]
        whole = len(rows) <= ROWS_MOST
        if not whole:
            rows = self.random.sample(rows, ROWS_MOST)
        return Rows(buckets, tuple(rows), self.era, asks, whole)

    def _on_rows(self, sender: str, word: Rows) -> None:
        self.figures.compared += 1
        theirs = {row.id for row in word.rows}
        if word.whole:
            self._on_era(sender, word.era, (theirs, set(word.buckets)))
        behind = ahead = False
        for row in word.rows:
            if row.seq == TOP:
                self._on_mark(row)
                continue
            if self._ended(row) or self.covered(row):
                ahead = True
                continue
            if word.era < self.era and row.id not in self.books and self._stranger(row.owner, sender):
                # Risk: a book whose end nobody remembers any more would come back with one that was away.
                self.figures.resurrected += 1
                continue
            book = self.books.get(row.id)
            if book is None or book.seq < row.seq:
                behind = True
                self._want(sender, row)
            elif book.seq == row.seq and book.sum != row.sum:
                self._differ(sender, book, row)
                behind = True
            elif book.seq > row.seq:
                ahead = True
        if not ahead:
            wanted = set(word.buckets)
            ahead = any(bucket(id.owner) in wanted and id not in theirs for id in self.books)
        if ahead and word.asks:
            self._say(sender, self._rows(word.buckets, asks=False))
        if not behind and word.whole:
            self._levelled_with(sender)

    def _stranger(self, owner: str, sender: str) -> bool:
        return owner not in (self.me, sender) and owner not in self.peers and not owner.startswith(LIST)

    def _ended(self, row: Row) -> bool:
        return row.owner in self.marks and row.epoch <= self.marks[row.owner][0]

    def _on_mark(self, row: Row) -> None:
        if row.owner == self.me:
            if self.mine is not None and row.epoch >= self.mine.id.epoch:
                self.marks[self.me] = (row.epoch, self.now)
                self._begin()  # it was given up, and is back
            return
        self._retire(row.owner, row.epoch)

    def _on_era(self, sender: str, era: int, shown: tuple[set[BookId], set[int]] | None) -> None:
        """Marks were forgotten that this member may never have heard of: what stood unchanged here for as
        long and is not there has ended."""
        if era <= self.era:
            return
        if shown is None:
            self._raise_era(era)
            return
        theirs, buckets = shown
        limit = self.now - self.settings.keep_us
        for book in list(self.books.values()):
            id = book.id
            old = book.since <= limit and id not in theirs and bucket(id.owner) in buckets
            if old and self._stranger(id.owner, sender):
                self.figures.resurrected += 1
                self._drop(book)
        if len(buckets) == BUCKETS:
            self._raise_era(era)

    def _levelled_with(self, sender: str) -> None:
        if self.level or sender not in self.peers:
            return
        self._level_with.add(sender)
        if len(self._level_with & set(self.peers)) >= min(FEW, len(self.peers)):
            self.level = True
            if self.mine is None:
                self._begin()
            self._out.append(Levelled())

    # Catching up

    def _want(self, giver: str, row: Row, whole: bool = False, differs: bool = False) -> None:
        """Take this book from there, from where this member stands in it."""
        id = row.id
        fetch = self._fetches.get(id)
        if fetch is not None and fetch.giver:
            return
        if fetch is None:
            if len(self._fetches) >= FETCHES_MOST:
                return  # with the next comparison
            book = self.books.get(id)
            if book is None and len(self.books) >= BOOKS_MOST:
                self.figures.refused += 1
                return
            whole = whole or book is None
            seq = 0 if whole or book is None else book.seq
            key = "" if whole else LAST
            fetch = self._fetches[id] = _Fetch(giver, 0, seq, key, whole, differs)
        fetch.giver = giver
        self._ask(id, fetch)

    def _ask(self, id: BookId, fetch: _Fetch) -> None:
        fetch.ends_us = self.now + self.settings.fetch_us
        self._say(fetch.giver, Want(*id, fetch.seq, fetch.key, fetch.whole))

    def _overdue(self, id: BookId, fetch: _Fetch) -> None:
        """A giver went away in the middle: go on by another one, from where it stopped."""
        fetch.tries += 1
        place = Row(*id, fetch.seq)
        if fetch.tries > FETCH_TRIES or not self.peers or self._ended(place) or self.covered(place):
            del self._fetches[id]
            return
        fetch.giver = self.peers[self.random.randrange(len(self.peers))]
        self._ask(id, fetch)

    def _on_want(self, sender: str, want: Want) -> None:
        if want.id not in self.books:
            self._say(
                sender, self._rows((bucket(want.owner),), asks=False)
            )  # it has ended, or never was here
            return
        if len(self._wants) >= WANTS_MOST and (sender, want.id) not in self._wants:
            self.figures.refused += 1
            return
        self._wants[sender, want.id] = want
        self._serve()

    def _affordable_us(self) -> int:
        """When a byte may be given again."""
        lacking = max(0.0, 1.0 - self._allowance)
        return self._refilled_us + 1 + int(lacking * 1e6 / self.settings.give_bytes_s)

    def _serve(self) -> None:
        """Give what was asked for, as far as the bytes of this second go."""
        rate = float(self.settings.give_bytes_s)
        self._allowance = min(rate, self._allowance + (self.now - self._refilled_us) / 1e6 * rate)
        self._refilled_us = self.now
        while self._wants and self._allowance >= 1.0:
            (sender, id), want = self._wants.popitem(last=False)
            book = self.books.get(id)
            if book is not None:
                self._allowance -= self._give(sender, book, want)

    def _give(self, to: str, book: Book, want: Want) -> int:
        """The next part of it. Returns its size in bytes."""
        place, whole = (want.seq, want.key), want.whole
        if want.seq < book.floor and place != (0, ""):
            place, whole = (0, ""), True  # deletions behind that place may be forgotten here
        items, used, last = self._part(book, place)
        upto = (book.seq, LAST) if last else (items[-1].seq, items[-1].key)
        self.figures.given_bytes += used
        self._say(to, Give(book.row, *place, *upto, items, book.floor, last, whole))
        return used + ENTRY_OVERHEAD

    def _part(self, book: Book, place: tuple[int, str]) -> tuple[tuple[Item, ...], int, bool]:
        """What comes behind the place, as much as goes into one word; its bytes; whether that is all."""
        items: list[Item] = []
        used = 0
        for item in book.after(*place):
            if items and (used + size(item) > CHUNK or len(items) >= ITEMS_MOST):
                return tuple(items), used, False
            items.append(item)
            used += size(item)
        return tuple(items), used, True

    def _push(self) -> None:
        """Tell a few peers what is new; they tell a few more."""
        fresh, self._fresh, self._push_us = self._fresh, {}, None
        most = 2 + len(self.peers).bit_length()
        for id, (seq, hops) in fresh.items():
            book = self.books.get(id)
            if book is None or hops >= most or not self.peers:
                continue
            if seq < book.floor and seq:
                continue  # a comparison brings it
            items, _, last = self._part(book, (seq, LAST))
            if not last:
                continue
            give = Give(book.row, seq, LAST, book.seq, LAST, items, book.floor, True, False, hops)
            count = min(len(self.peers), self.settings.fanout)
            for name in self.random.sample(self.peers, count):
                self.figures.pushed += 1
                self._say(name, give)

    def _on_give(self, sender: str, give: Give) -> None:
        row = give.goal
        id = row.id
        if self._ended(row) or self.covered(row) or (row.owner == self.me and self._is_mine(id)):
            self._fetches.pop(id, None)
            return
        fetch = self._fetches.get(id)
        if fetch is not None and self._gather(id, fetch, sender, give):
            return
        if give.last and not give.whole:
            self._pushed(sender, give)

    def _is_mine(self, id: BookId) -> bool:
        return self.mine is not None and self.mine.id == id

    def _gather(self, id: BookId, fetch: _Fetch, sender: str, give: Give) -> bool:
        """Put a part to the others. False if it does not go with them."""
        if give.whole and not fetch.whole:  # the giver has forgotten what this member would need to know
            fetch.whole, fetch.seq, fetch.key = True, 0, ""
            fetch.items.clear()
            fetch.bytes = 0
        if (give.after, give.after_key) != (fetch.seq, fetch.key) or give.whole != fetch.whole:
            return False
        fetch.items.extend(give.items)
        fetch.bytes += sum(map(size, give.items))
        fetch.seq, fetch.key, fetch.tries = give.upto, give.upto_key, 0
        if len(fetch.items) > 2 * ENTRIES_MOST or fetch.bytes > BOOK_BYTES_MOST:
            self.figures.refused += 1
            del self._fetches[id]
            return True
        if not give.last:
            fetch.giver = sender
            self._ask(id, fetch)
            return True
        del self._fetches[id]
        self.figures.taken += 1
        self.figures.taken_bytes += fetch.bytes
        if fetch.whole:
            self._take_whole(sender, fetch, give)
        else:
            self._take_more(sender, fetch.items, give, pushed=False)
        return True

    def _pushed(self, sender: str, give: Give) -> None:
        """All that is new since a state, in one word that nobody asked for."""
        book = self.books.get(give.goal.id)
        if book is None and give.after == 0 and len(self.books) < BOOKS_MOST:
            if self._stranger(give.goal.owner, sender) and self.era:
                return  # a comparison tells whether it ended
            book = Book(give.goal.id, self.now)
            self._add(book)
        if book is None or give.after > book.seq:
            self._want(sender, give.goal)
        elif give.goal.seq > book.seq:
            self._take_more(sender, give.items, give)

    def _take_more(self, sender: str, items: Iterable[Item], give: Give, pushed: bool = True) -> None:
        """The book gets from its state to that of the giver. `pushed`: it is news, and passed on."""
        book = self.books.get(give.goal.id)
        if book is None or give.goal.seq <= book.seq:
            return
        self._digest(book)
        before = book.seq
        taken = tuple(item for item in items if book.apply(item))
        good = book.sum == give.goal.sum
        self._digest(book)
        if not good:
            # Other entries than the giver's, from a fork or a torn copy: all of it anew. Its sequence stays.
            self.figures.spoilt += 1
            self._write(Change(book.row, taken))
            self._want(sender, give.goal, whole=True)
            return
        self._digest(book)
        book.seq = give.goal.seq
        book.since = self.now
        self._digest(book)
        self._write(Change(book.row, taken))
        self._out.append(Changed(book.id.owner, tuple(item.key for item in taken)))
        if pushed:
            self._pass_on(book, before, give.hops + 1)
        self._after_arrival(book)

    def _take_whole(self, sender: str, fetch: _Fetch, give: Give) -> None:
        """A book that came from its start takes the place of the one that is here."""
        id = give.goal.id
        fresh = Book(id, self.now)
        for item in fetch.items:
            fresh.apply(item)
        fresh.seq, fresh.floor = give.goal.seq, max(fresh.floor, give.floor)
        if fresh.sum != give.goal.sum:
            self.figures.spoilt += 1
            return
        known = self.books.get(id)
        if known is not None:
            if known.seq > fresh.seq:
                return
            if known.seq == fresh.seq and known.sum != fresh.sum:
                fresh = self._settle(known, fresh)
            self._digest(known)
            fresh.covers = {**known.covers, **fresh.covers}
            self.books[id] = fresh
            self._digest(fresh)
            keys = {*known.entries, *fresh.entries}
        else:
            self._add(fresh)
            keys = set(fresh.entries)
        self._write(Change(fresh.row, tuple(fresh.after(0, "")), whole=True, floor=fresh.floor))
        self._out.append(Changed(id.owner, tuple(sorted(keys))))
        self._after_arrival(fresh)

    def _after_arrival(self, book: Book) -> None:
        if book.id.owner == self.me and book is not self.mine:
            self._adopt(book)
        elif len(self._by_owner[book.id.owner]) > 1:
            self._drop_covered()
            self._look_for_twins(book)

    def _look_for_twins(self, book: Book) -> None:
        """Two lives of one name in one epoch: a cloned name, or a disk that was put back."""
        owner, epoch, _ = book.id
        same = [id for id in self._by_owner.get(owner, ()) if id.epoch == epoch]
        if len(same) > 1 and self.forks.get(owner, (-1, 0))[0] < epoch:
            self._fork(owner, epoch, book.seq)

    # Contents that differ under one state

    def _differ(self, sender: str, book: Book, row: Row) -> None:
        if self.forks.get(row.owner) != (row.epoch, row.seq):
            self._fork(row.owner, row.epoch, row.seq)
        if row.owner.startswith(LIST) or row.sum > book.sum:
            self._want(sender, row, whole=True, differs=True)

    def _settle(self, known: Book, other: Book) -> Book:
        """One content of two, the same whoever settles it and in whatever order: of a list the more careful
        word on each server, and none on one that either has not; else the higher sum."""
        if not known.id.owner.startswith(LIST):
            return known if known.sum > other.sum else other
        fresh = Book(known.id, self.now)
        for key, item in known.entries.items():
            twin = other.entries.get(key)
            if twin is not None and item.value is not None and twin.value is not None:
                value = self._merge(item.value, twin.value)
                fresh.apply(Item(key, max(item.seq, twin.seq), value, item.hint))
        fresh.seq, fresh.floor = known.seq, known.seq  # who is behind takes it whole
        return fresh

    # Durable at several hosts

    def hold(self, hosts: int, now: int) -> list[Action]:
        """Have what this member has put held at so many hosts, its own among them; `Kept` tells when."""
        self.now = max(now, self.now)
        self.hosts_wanted = hosts
        self._ask_keepers()
        self._tell_kept()
        return self._take()

    def _ask_keepers(self) -> None:
        mine = self.mine
        if mine is None or self.hosts_wanted < 2 or self._kept >= mine.seq:
            return
        have = {host for host, seq in self._keepers.items() if seq >= mine.seq}
        lacking = self.hosts_wanted - 1 - len(have)
        hosts: dict[str, list[str]] = {}
        for name in self.peers:
            if host_of(name) != host_of(self.me) and host_of(name) not in have:
                hosts.setdefault(host_of(name), []).append(name)
        for host in self.random.sample(sorted(hosts), min(max(0, lacking), len(hosts))):
            name = hosts[host][self.random.randrange(len(hosts[host]))]
            self._say(name, Hold(mine.row))

    def _on_hold(self, sender: str, row: Row) -> None:
        book = self.books.get(row.id)
        if book is None or book.seq < row.seq:
            if not (self._ended(row) or self.covered(row)):
                self._want(sender, row)
            return  # asked again, once it is here
        at = self._unwritten.get(row.id, 0)
        if at <= self._written:
            self._say(sender, Held(book.row))
        elif len(self._holds) < HOLDS_MOST:
            self._holds[sender, row.id] = (book.seq, at)

    def _on_held(self, sender: str, row: Row) -> None:
        if self.mine is not None and row.id == self.mine.id:
            host = host_of(sender)
            self._keepers[host] = max(row.seq, self._keepers.get(host, 0))
            self._tell_kept()

    def _tell_kept(self) -> None:
        mine = self.mine
        if mine is None or self._unwritten.get(mine.id, 0) > self._written or self.hosts_wanted < 1:
            return
        held = sorted(self._keepers.values(), reverse=True)
        if len(held) < self.hosts_wanted - 1:
            return
        seq = mine.seq if self.hosts_wanted == 1 else min(mine.seq, held[self.hosts_wanted - 2])
        if seq > self._kept:
            self._kept = seq
            self._out.append(Kept(seq, self.hosts_wanted))

    # The list

    def heard(
        self, seq: int, complete: bool, servers: Mapping[str, tuple[bytes, bytes] | None], now: int
    ) -> list[Action]:
        """What this member's own list service says: each server's value and hint, None for one that is gone.
        `seq` counts the service's states from 1."""
        self.now = max(now, self.now)
        if complete:
            self._heard = {}
        for key, told in servers.items():
            if told is None:
                self._heard.pop(key, None)
            else:
                self._heard[key] = told
        self._heard_seq = seq
        self._confirm()
        return self._take()

    def current(self, now: int) -> list[Action]:
        """The service is there and has nothing further to say."""
        self.now = max(now, self.now)
        if self._heard_seq:
            self._confirm()
        return self._take()

    def listed(self) -> Book | None:
        """The list's copy: its latest beginning."""
        lives = self._lives(self.list_owner)
        return max(lives, key=lambda book: book.id.epoch) if lives else None

    def list_age_us(self) -> int | None:
        """How long ago any member's service confirmed the copy of the list; None if this life never heard."""
        return None if self.confirmed is None else max(0, self.now - self.confirmed)

    def _confirm(self) -> None:
        book = self.listed()
        if book is None:
            book = Book(BookId(self.list_owner, 1, 0), self.now)
            self._add(book)
        if self._heard_seq < book.seq:
            # Behind, or put back to an earlier state: that is told by nobody's service being ahead of it.
            since = max(self.began_us, self.confirmed if self.confirmed is not None else self.began_us)
            if self.now - since < self.settings.trust_us:
                return
            book = Book(BookId(self.list_owner, book.id.epoch + 1, 0), self.now)
            self._add(book)
        if self._heard_seq > book.seq:
            items = [
                Item(key, self._heard_seq, *told)
                for key, told in self._heard.items()
                if key not in book.entries or book.entries[key].value != told[0]
            ]
            items += [Item(key, self._heard_seq, None) for key in book.entries if key not in self._heard]
            self._commit(book, items, self._heard_seq)
            self._drop_covered()
        elif self._heard_sum() != book.sum and self._settled != (book.id, book.seq, book.sum):
            self._fork(self.list_owner, book.id.epoch, book.seq)
            other = Book(book.id, self.now)
            for key, told in self._heard.items():
                other.apply(Item(key, self._heard_seq, *told))
            other.seq = self._heard_seq
            fresh = self._settle(book, other)
            self._digest(book)
            self.books[book.id] = fresh
            self._digest(fresh)
            self._write(Change(fresh.row, tuple(fresh.after(0, "")), whole=True, floor=fresh.floor))
            self._out.append(Changed(self.list_owner, tuple(fresh.entries)))
            self._settled = (fresh.id, fresh.seq, fresh.sum)
            book = fresh
        self.live = (book.id.epoch, book.seq, self.now)
        self.confirmed = self.now

    def _heard_sum(self) -> int:
        total = 0
        for key, (value, _) in self._heard.items():
            total ^= mark(key, value)
        return total

    def _on_live(self, live: tuple[int, int, int] | None) -> None:
        book = self.listed()
        if live is None or book is None:
            return
        epoch, seq, age_ms = live
        if (epoch, seq) >= (book.id.epoch, book.seq):
            at = self.now - age_ms * 1_000
            self.confirmed = at if self.confirmed is None else max(at, self.confirmed)

    # Reading

    def owners(self) -> list[str]:
        return sorted(self._by_owner)

    def values(self, key: str) -> list[tuple[BookId, bytes]]:
        """What anybody says under this key, by book: to be joined."""
        found = []
        for id, book in self.books.items():
            item = book.entries.get(key)
            if item is not None and item.value is not None:
                found.append((id, item.value))
        return found

    def digest(self) -> str:
        """Of all that is held here: the same at members that have the same."""
        text = ",".join(f"{value:08x}" for value in self._digests)
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    @property
    def behind(self) -> int:
        """Books that are known to be ahead elsewhere and are being taken."""
        return len(self._fetches)
