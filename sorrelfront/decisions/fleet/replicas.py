"""Replicated versioned maps, kept by the members of one fleet.

This module does no I/O: messages, times and confirmations of durable writes come in, actions go out.

A replica store holds versioned maps. Each map has one writer and a total order of its versions, (owner,
epoch, incarnation, seq). A version has one content, which its checksum identifies. Values that several
members may add to are read as a join over all maps, so the result is commutative, associative and idempotent
whatever the order of messages. Members compare digests with random peers (anti-entropy; Demers et al., 1987),
exchange the versions that differ, and pull entries in the order of their sequence from whoever is ahead, so
the cost is that of the difference. Each map keeps a bounded log of tombstones; a peer that is behind this log
pulls a full snapshot. The maps of members that have left for good leave owner tombstones. When one of these
expires the GC epoch rises, by which a member that was away for longer is recognised. docs/design/copies.md
compares this with dotted version vectors, CRDTs and Merkle trees.
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

from sorrelfront.decisions.fleet.messages import Count, MalformedMessage, Name

BUCKETS = 32  # digests in a message; only the maps of buckets that differ are compared
MAX_KEY_CHARS, MAX_VALUE_BYTES, MAX_HINT_BYTES = 256, 2_048, 64  # characters; bytes
MAX_REPLICAS = 16_384
MAX_ENTRIES = 131_072  # of one map
MAX_TOMBSTONES = 4_096  # of one map; a peer that is further behind pulls a full snapshot
MAX_OWNER_TOMBSTONES = 8_192  # of owners whose maps have ended
MAX_CHUNK_BYTES = 32 * 1024  # of entries in one Delta
MAX_VERSIONS = 4_096  # in one message; other differences follow with the next comparison
MAX_MESSAGE_ENTRIES = 4_096
MAX_FETCHES = 4  # concurrent
MAX_QUEUED_PULLS = 64  # of peers, waiting for the send budget
MAX_PENDING_ACKS = 1_024  # acknowledgements to peers that wait for the disk
MAX_FETCH_TRIES = 6  # of one chunk, each from another peer
MAX_REPLICA_BYTES = 64 * 1024 * 1024
LAST_KEY = "\U0010ffff"  # sorts after every key
ENDED_SEQ = 2**52  # the sequence that marks a map as ended
CAUGHT_UP_PEERS = 3  # peers to be in sync with before a member acts by its replicas
ENTRY_OVERHEAD = 24  # bytes of an entry in addition to its texts
MAX_INCARNATIONS = 1_024  # superseded ones that a member's map records
LIST_PREFIX = "list:"  # prefix of owners that are list services: any member that uses one writes its map
# Prefix of keys that record which versions of earlier incarnations are taken over
SUPERSEDED_PREFIX = "\x00covers:"


class Version(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identifies the version of a map that a member has."""

    owner: Name
    epoch: Count
    incarnation: Count
    seq: Count
    checksum: Count = 0

    @property
    def id(self) -> ReplicaId:
        """The identity of the map, without its sequence and checksum."""
        return ReplicaId(self.owner, self.epoch, self.incarnation)


class ReplicaId(NamedTuple):
    """Identifies one incarnation of an owner's map."""

    owner: str
    epoch: int
    incarnation: int


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An entry as it is sent and stored; without a value it is a tombstone.

    The hint is local to the sender and is not part of any checksum. `origin` is the epoch and sequence of the
    incarnation that wrote the entry first, so that an incarnation which only took it over does not count as
    having written it anew.
    """

    key: Annotated[str, Meta(max_length=MAX_KEY_CHARS)]
    seq: Count
    value: Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)] | None
    hint: Annotated[bytes, Meta(max_length=MAX_HINT_BYTES)] = b""
    origin: tuple[Count, Count] = (0, 0)


Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_MESSAGE_ENTRIES)]
VersionList = Annotated[tuple[Version, ...], Meta(max_length=MAX_VERSIONS)]


class Digests(msgspec.Struct, frozen=True, array_like=True, tag="b", gc=False):
    """Reports the sender's state as one digest for each bucket.

    `list_state`: epoch and sequence of the list that the sender's own service confirmed last, and how many
    milliseconds ago.
    """

    digests: Annotated[tuple[Count, ...], Meta(min_length=BUCKETS, max_length=BUCKETS)]
    gc_epoch: Count
    caught_up: bool
    list_state: tuple[Count, Count, Count] | None = None


class InSync(msgspec.Struct, frozen=True, array_like=True, tag="s", gc=False):
    """Answers that the sender's digests are the same."""

    gc_epoch: Count


class Versions(msgspec.Struct, frozen=True, array_like=True, tag="r", gc=False):
    """Lists all versions that the sender has in these buckets, as far as they fit.

    `wants_reply`: the receiver is asked for its own versions in the same buckets.
    """

    buckets: Annotated[tuple[Count, ...], Meta(max_length=BUCKETS)]
    versions: VersionList
    gc_epoch: Count
    wants_reply: bool
    complete: bool  # no version was left out because of the size limit


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="w", gc=False):
    """Requests the entries that follow this position of a map.

    `full`: a full snapshot is wanted, whatever the requester already has.
    """

    owner: Name
    epoch: Count
    incarnation: Count
    seq: Count
    key: Annotated[str, Meta(max_length=MAX_KEY_CHARS)]
    full: bool

    @property
    def id(self) -> ReplicaId:
        """The identity of the requested map."""
        return ReplicaId(self.owner, self.epoch, self.incarnation)


class Delta(msgspec.Struct, frozen=True, array_like=True, tag="g", gc=False):
    """One chunk of a map, in order of sequence and key.

    It has all that changed after (`after`, `after_key`) up to (`up_to`, `up_to_key`). `version` is the
    sender's own version of the map. `hops` is how often it was forwarded.
    """

    version: Version
    after: Count
    after_key: Annotated[str, Meta(max_length=MAX_KEY_CHARS)]
    up_to: Count
    up_to_key: Annotated[str, Meta(max_length=MAX_KEY_CHARS)]
    entries: Entries
    tombstone_floor: Count  # tombstones up to this sequence may have expired
    last: bool
    full: bool = False
    hops: Count = 0


class PersistRequest(msgspec.Struct, frozen=True, array_like=True, tag="h", gc=False):
    """Asks for an acknowledgement once this version is durable at the receiver."""

    version: Version


class PersistAck(msgspec.Struct, frozen=True, array_like=True, tag="d", gc=False):
    """Acknowledges that this version is durable at the sender."""

    version: Version


Message = Digests | InSync | Versions | Pull | Delta | PersistRequest | PersistAck
_decoder = msgspec.msgpack.Decoder(Message)
_encode = msgspec.msgpack.Encoder().encode


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises MalformedMessage, and nothing else whatever the bytes are.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise MalformedMessage(str(fault)) from None


# Actions


class Send(NamedTuple):
    """Send this message to a member."""

    to: str
    message: Message


class Write(NamedTuple):
    """Write this change to disk, then call `on_written` with its number."""

    number: int
    change: Change


class Changed(NamedTuple):
    """The values under these keys of this owner may have changed."""

    owner: str
    keys: tuple[str, ...]


class Durable(NamedTuple):
    """The own map is durable up to this sequence on so many hosts, this one included."""

    seq: int
    hosts: int


class Forked(NamedTuple):
    """One version has two contents, or one name has two incarnations at the same time."""

    owner: str
    epoch: int
    seq: int


class CaughtUp(NamedTuple):
    """This member has caught up with its peers."""


Action = Send | Write | Changed | Durable | Forked | CaughtUp


class Change(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A change to a map, as it is stored on disk.

    `full`: it replaces what was stored before.
    """

    version: Version | None  # None: only the GC epoch is stored
    entries: tuple[Entry, ...] = ()
    full: bool = False
    tombstone_floor: int = 0
    dropped: bool = False  # the map was removed; with ENDED_SEQ as sequence it left a tombstone
    gc_epoch: int = 0


# Replicas


def entry_checksum(key: str, value: bytes) -> int:
    """Return the checksum of an entry; a map's checksum is the XOR of those of its entries."""
    digest = hashlib.blake2b(key.encode(), digest_size=8, key=hashlib.blake2b(value, digest_size=16).digest())
    return int.from_bytes(digest.digest(), "big") >> 1


def _version_checksum(version: Version) -> int:
    text = f"{version.owner}/{version.epoch}/{version.incarnation}/{version.seq}/{version.checksum}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


def bucket_of(owner: str) -> int:
    """Return the digest bucket that an owner's maps belong to."""
    return hashlib.blake2b(owner.encode(), digest_size=1).digest()[0] % BUCKETS


class Replica:
    """A replica of one writer's versioned map, in one version."""

    __slots__ = (
        "_by_seq",
        "changed_us",
        "checksum",
        "entries",
        "id",
        "seq",
        "superseded",
        "tombstone_floor",
        "tombstones",
    )

    def __init__(self, id: ReplicaId, changed_us: int) -> None:
        self.id = id
        self.seq = 0
        self.checksum = 0
        self.changed_us = changed_us  # time of the last change at this member
        self.entries: dict[str, Entry] = {}
        self.tombstones: OrderedDict[str, Entry] = OrderedDict()  # oldest first
        self.tombstone_floor = 0  # tombstones up to this sequence may have expired
        self.superseded: dict[tuple[int, int], int] = {}  # versions of earlier incarnations taken over
        self._by_seq: SortedList[tuple[int, str]] = SortedList()

    @property
    def version(self) -> Version:
        """The version that this replica has."""
        return Version(*self.id, self.seq, self.checksum)

    def apply(self, entry: Entry) -> bool:
        """Apply a newer state of an entry; return False if this or a newer one is already here."""
        key = entry.key
        known = self.entries.get(key)
        if known is not None and known.seq >= entry.seq:
            return False
        tombstone = self.tombstones.get(key)
        if tombstone is not None and tombstone.seq >= entry.seq:
            return False
        if known is not None:
            self._by_seq.remove((known.seq, key))
            self.checksum ^= entry_checksum(key, known.value or b"")
            del self.entries[key]
        self.tombstones.pop(key, None)
        if entry.value is None:
            self.tombstones[key] = entry
            while len(self.tombstones) > MAX_TOMBSTONES:
                _, first = self.tombstones.popitem(last=False)
                self.tombstone_floor = max(self.tombstone_floor, first.seq)
        else:
            self.entries[key] = entry
            self._by_seq.add((entry.seq, key))
            self.checksum ^= entry_checksum(key, entry.value)
            if key.startswith(SUPERSEDED_PREFIX):
                self._record_superseded(key, entry.value)
        return True

    def _record_superseded(self, key: str, value: bytes) -> None:
        try:
            epoch, incarnation = key[len(SUPERSEDED_PREFIX) :].split("/")
            self.superseded[int(epoch), int(incarnation)] = int(value)
        except ValueError:
            return

    def after(self, seq: int, key: str) -> Iterator[Entry]:
        """Yield the entries and tombstones after this position, in order."""
        tombstones = [entry for entry in self.tombstones.values() if (entry.seq, entry.key) > (seq, key)]
        tombstones.sort(key=lambda entry: (entry.seq, entry.key))
        position = 0
        for at, name in self._by_seq.irange((seq, key), inclusive=(False, True)):
            while position < len(tombstones) and (tombstones[position].seq, tombstones[position].key) < (
                at,
                name,
            ):
                yield tombstones[position]
                position += 1
            yield self.entries[name]
        yield from tombstones[position:]


def _write_order(entry: Entry) -> tuple[tuple[int, int], bytes]:
    """Order two incarnations' values of one key: the one written later wins, the same at all members."""
    return entry.origin, entry.value or b""


def host_of(member: str) -> str:
    """Return the host part of a member's name."""
    return member.rpartition("/")[0] or member


def entry_size(entry: Entry) -> int:
    """Return the approximate size of an entry in bytes."""
    return len(entry.key) + len(entry.value or b"") + len(entry.hint) + ENTRY_OVERHEAD


@dataclass(frozen=True, slots=True)
class Settings:
    """Intervals and limits of replication; times in microseconds."""

    compare_us: int = 1_000_000  # between two digest exchanges with a random peer
    push_us: int = 50_000  # changes within this time are pushed together
    fetch_us: int = 2_000_000  # timeout for one chunk
    fanout: int = 3  # peers that a change is pushed to at each hop
    # A member without peers for this time starts its own map from what it has. A shorter time could miss
    # entries that peers still hold for it; a longer one delays its own entries.
    alone_us: int = 3_000_000
    keep_us: int = 3_600_000_000  # retention of owner tombstones
    send_bytes_s: int = 512 * 1024  # of entries, for all peers that catch up together
    # A list that no service confirmed for this long does not overrule the own one
    list_trust_us: int = 30_000_000


@dataclass(slots=True)
class _Fetch:
    """A map that is being pulled."""

    source: str
    timeout_us: int
    seq: int  # the position reached, with `key`
    key: str
    full: bool  # a full snapshot
    differs: bool  # this member has another content of the same version
    entries: list[Entry] = field(default_factory=list)
    bytes: int = 0
    tries: int = 0


@dataclass(slots=True)
class Counters:
    """Counts since the start; bytes are those of entries."""

    compared: int = 0
    taken: int = 0
    taken_bytes: int = 0
    given_bytes: int = 0
    pushed: int = 0
    forks: int = 0
    spoilt: int = 0  # maps whose checksum was wrong once they had arrived
    refused: int = 0
    resurrected: int = 0  # maps of an older GC epoch that were not accepted


MergeValues = Callable[[bytes, bytes], bytes]


class ReplicaStore:
    """One member's replica store.

    `disk`: the changes that an earlier incarnation stored, as `_restore` reads them.
    """

    def __init__(
        self,
        member_name: str,
        settings: Settings,
        random: Random,
        now: int,
        disk: Iterable[Change] = (),
        list_name: str = "",
        merge: MergeValues = max,
    ) -> None:
        """Restore the store from disk.

        `list_name`: the name of the list service that the members use. `merge`: joins two values of one
        server under one version of that list; commutative, associative and idempotent.
        """
        self.member_name = member_name
        self.settings = settings
        self.random = random
        self.now = now
        self.created_us = now
        self.replicas: dict[ReplicaId, Replica] = {}
        self._by_owner: dict[str, set[ReplicaId]] = {}
        self.owner_tombstones: OrderedDict[str, tuple[int, int]] = (
            OrderedDict()
        )  # owner -> epoch that ended, and when
        self.gc_epoch = 0
        self.caught_up = False
        self.counters = Counters()
        self.forks: OrderedDict[str, tuple[int, int]] = OrderedDict()  # owner -> epoch and sequence reported
        self.own_replica: Replica | None = None
        self.pending_puts: dict[str, bytes | None] = {}  # puts before this incarnation's map was started
        # Epoch, sequence and time of the last update from the own list service.
        self.own_list_state: tuple[int, int, int] | None = None
        # When any member's service confirmed the version of the list held here.
        self.list_confirmed_us: int | None = None
        self.peers: list[str] = []
        self._incarnation = random.getrandbits(52)
        self._incarnation_started_us = now - settings.compare_us
        self._merge = merge
        self.list_owner = LIST_PREFIX + list_name
        self._own_list: dict[str, tuple[bytes, bytes]] = {}  # the list from the own list service
        self._own_list_seq = 0  # its version; 0: no list was received
        self._in_sync_peers: set[str] = set()
        self._fetches: dict[ReplicaId, _Fetch] = {}
        self._queued_pulls: OrderedDict[tuple[str, ReplicaId], Pull] = OrderedDict()
        self._send_budget = float(settings.send_bytes_s)
        self._refilled_us = now
        self._unpushed: dict[ReplicaId, tuple[int, int]] = {}  # replica -> sequence before, most hops so far
        self._push_us: int | None = None
        self._next_compare_us = now + random.randrange(1 + settings.compare_us // 4)
        self._digests = [0] * BUCKETS
        self._writes = 0
        self._written = 0
        self._unwritten: dict[ReplicaId, int] = {}  # replica -> the write that has its version
        self._pending_acks: dict[
            tuple[str, ReplicaId], tuple[int, int]
        ] = {}  # requester and replica -> sequence, and the write that has it
        self._durable_seqs: dict[str, int] = {}  # host -> sequence of the own map that is durable there
        self.required_hosts = 1
        self._durable_seq = 0
        self._merged_list: tuple[ReplicaId, int, int] | None = None
        self._actions: list[Action] = []
        for change in disk:
            self._restore(change)
        for replica in self.replicas.values():
            replica.changed_us = now - settings.keep_us  # its real age is unknown: taken as the oldest
        self._drop_superseded()

    # Disk

    def _restore(self, change: Change) -> None:
        self.gc_epoch = max(self.gc_epoch, change.gc_epoch)
        version = change.version
        if version is None:
            return
        if change.dropped:
            if version.id in self.replicas:
                self._remove(version.id)
            if version.seq == ENDED_SEQ:
                self.owner_tombstones[version.owner] = (version.epoch, self.now)
            return
        replica = self.replicas.get(version.id)
        if replica is None or change.full:
            if replica is not None:
                self._remove(version.id)
            if len(self.replicas) >= MAX_REPLICAS:
                return
            replica = Replica(version.id, self.now)
        else:
            self._toggle_digest(replica)
        for entry in change.entries:
            replica.apply(entry)
        replica.seq = max(replica.seq, version.seq)
        replica.tombstone_floor = max(replica.tombstone_floor, change.tombstone_floor)
        if version.id in self.replicas:
            self._toggle_digest(replica)
        else:
            self._add(replica)

    def snapshot(self) -> Iterator[Change]:
        """Yield the full state as changes to be stored on disk."""
        yield Change(None, gc_epoch=self.gc_epoch)
        for replica in self.replicas.values():
            yield Change(
                replica.version,
                tuple(replica.after(0, "")),
                full=True,
                tombstone_floor=replica.tombstone_floor,
            )
        for owner, (epoch, _) in self.owner_tombstones.items():
            yield Change(Version(owner, epoch, 0, ENDED_SEQ), (), dropped=True)

    def _write(self, change: Change) -> int:
        self._writes += 1
        if change.version is not None and not change.dropped:
            self._unwritten[change.version.id] = self._writes
        self._actions.append(Write(self._writes, change))
        return self._writes

    def on_written(self, number: int, now: int) -> list[Action]:
        """Note that all writes up to this number are durable."""
        self.now = max(now, self.now)
        self._written = max(number, self._written)
        for id in [id for id, at in self._unwritten.items() if at <= self._written]:
            del self._unwritten[id]
        for (to, id), (seq, at) in list(self._pending_acks.items()):
            if at <= self._written:
                del self._pending_acks[to, id]
                replica = self.replicas.get(id)
                if replica is not None and replica.seq >= seq:
                    self._send(to, PersistAck(replica.version))
        self._report_durable()
        return self._take_actions()

    # This member's own map

    def put(self, key: str, value: bytes, now: int) -> int:
        """Put an entry into this member's own map.

        Returns the sequence of the entry, or 0 while the map has not been started. Raises ValueError if the
        entry is too large or there is no room.
        """
        if len(key) > MAX_KEY_CHARS or len(value) > MAX_VALUE_BYTES or key.startswith(SUPERSEDED_PREFIX):
            raise ValueError(f"entry too large or key reserved: {len(key)} characters, {len(value)} bytes")
        return self._write_own(key, value, now)

    def delete(self, key: str, now: int) -> int:
        """Delete an entry from this member's own map; return as `put` does."""
        return self._write_own(key, None, now)

    def _write_own(self, key: str, value: bytes | None, now: int) -> int:
        self.now = max(now, self.now)
        if self.own_replica is None:
            if len(self.pending_puts) >= MAX_MESSAGE_ENTRIES and key not in self.pending_puts:
                raise ValueError("too many entries before the own map was started")
            self.pending_puts[key] = value
            return 0
        known = self.own_replica.entries.get(key)
        if (known is None and value is None) or (known is not None and known.value == value):
            return self.own_replica.seq
        if known is None and len(self.own_replica.entries) >= MAX_ENTRIES:
            raise ValueError("the own map has its maximum number of entries")
        seq = self.own_replica.seq + 1
        self._commit(self.own_replica, [Entry(key, seq, value, origin=(self.own_replica.id.epoch, seq))], seq)
        return seq

    def _start_incarnation(self) -> None:
        """Start a new incarnation's map, with an epoch above all known ones and with their entries."""
        incarnations = sorted(
            (replica for replica in self.replicas.values() if replica.id.owner == self.member_name),
            key=lambda b: b.id,
        )
        ended = self.owner_tombstones.pop(self.member_name, (0, 0))[0]
        epoch = 1 + max([ended, *(replica.id.epoch for replica in incarnations)])
        fork = self.own_replica is not None and any(
            replica.id.epoch == self.own_replica.id.epoch and replica is not self.own_replica
            for replica in incarnations
        )
        if fork and self.own_replica is not None:
            self._report_fork(self.member_name, self.own_replica.id.epoch, self.own_replica.seq)
        latest: dict[str, Entry] = {}
        for replica in incarnations:  # the value written last wins, whichever incarnation took it over
            for entry in (*replica.entries.values(), *replica.tombstones.values()):
                known = latest.get(entry.key)
                if not entry.key.startswith(SUPERSEDED_PREFIX) and (
                    known is None or _write_order(entry) > _write_order(known)
                ):
                    latest[entry.key] = entry
        self._incarnation_started_us = self.now
        self._incarnation = self.random.getrandbits(52)
        self.own_replica = Replica(ReplicaId(self.member_name, epoch, self._incarnation), self.now)
        self._add(self.own_replica)
        superseded: dict[tuple[int, int], int] = {}
        for replica in incarnations:
            for incarnation, seq in (
                *replica.superseded.items(),
                ((replica.id.epoch, replica.id.incarnation), replica.seq),
            ):
                superseded[incarnation] = max(seq, superseded.get(incarnation, 0))
        entries = [
            Entry(
                f"{SUPERSEDED_PREFIX}{incarnation[0]}/{incarnation[1]}", at, b"%d" % superseded[incarnation]
            )
            for at, incarnation in enumerate(sorted(superseded)[-MAX_INCARNATIONS:], 1)
        ]
        for entry in sorted(latest.values(), key=_write_order):
            entries.append(msgspec.structs.replace(entry, seq=len(entries) + 1))
        for key, value in self.pending_puts.items():
            seq = len(entries) + 1
            entries.append(Entry(key, seq, value, origin=(epoch, seq)))
        self.pending_puts.clear()
        self._commit(self.own_replica, entries, len(entries))
        self._drop_superseded()

    def _take_over(self, replica: Replica) -> None:
        """Take over the entries of another incarnation of this member, whose map has arrived in full."""
        if self.own_replica is None:
            return
        if replica.id.epoch >= self.own_replica.id.epoch:
            # Two live members with one name would otherwise start a new incarnation at each other's every
            # message, until the view makes one of them withdraw. The rest is taken over with the next
            # comparison.
            if self.now - self._incarnation_started_us >= self.settings.compare_us:
                self._start_incarnation()
            return
        entries: list[Entry] = []
        seq = self.own_replica.seq
        for entry in (*replica.entries.values(), *replica.tombstones.values()):
            known = self.own_replica.entries.get(entry.key) or self.own_replica.tombstones.get(entry.key)
            if entry.key.startswith(SUPERSEDED_PREFIX) or (
                known is not None and _write_order(known) >= _write_order(entry)
            ):
                continue
            seq += 1
            entries.append(msgspec.structs.replace(entry, seq=seq))
        seq += 1
        entries.append(
            Entry(f"{SUPERSEDED_PREFIX}{replica.id.epoch}/{replica.id.incarnation}", seq, b"%d" % replica.seq)
        )
        self._commit(self.own_replica, entries, seq)
        self._drop_superseded()

    def is_superseded(self, version: Version) -> bool:
        """Whether a later incarnation of the owner has taken this version over.

        For a list service any map of a later epoch supersedes the earlier ones.
        """
        of_list = version.owner.startswith(LIST_PREFIX)
        return any(
            replica.id.epoch > version.epoch
            and (of_list or replica.superseded.get((version.epoch, version.incarnation), -1) >= version.seq)
            for replica in self._incarnations(version.owner)
        )

    def _incarnations(self, owner: str) -> list[Replica]:
        return [self.replicas[id] for id in self._by_owner.get(owner, ())]

    def _drop_superseded(self) -> None:
        for replica in list(self.replicas.values()):
            if (
                replica is not self.own_replica
                and len(self._by_owner[replica.id.owner]) > 1
                and self.is_superseded(replica.version)
            ):
                self._drop(replica)

    def _add(self, replica: Replica) -> None:
        self.replicas[replica.id] = replica
        self._by_owner.setdefault(replica.id.owner, set()).add(replica.id)
        self._toggle_digest(replica)

    def _drop(self, replica: Replica, leave_tombstone: bool = False) -> None:
        self._remove(replica.id)
        seq = ENDED_SEQ if leave_tombstone else replica.seq
        self._write(Change(Version(*replica.id, seq), dropped=True))
        self._actions.append(Changed(replica.id.owner, tuple(replica.entries)))

    def _remove(self, id: ReplicaId) -> None:
        replica = self.replicas.pop(id)
        self._toggle_digest(replica)
        incarnations = self._by_owner[id.owner]
        incarnations.discard(id)
        if not incarnations:
            del self._by_owner[id.owner]
        for table in (self._unpushed, self._fetches, self._unwritten):
            table.pop(id, None)

    def _toggle_digest(self, replica: Replica) -> None:
        """Add the version of a replica to the digests, or remove it (XOR)."""
        self._digests[bucket_of(replica.id.owner)] ^= _version_checksum(replica.version)

    def _commit(self, replica: Replica, entries: Iterable[Entry], seq: int) -> None:
        """Apply newer entries to a replica and set its sequence."""
        self._toggle_digest(replica)
        before = replica.seq
        taken = tuple(entry for entry in entries if replica.apply(entry))
        replica.seq = max(replica.seq, seq)
        replica.changed_us = self.now
        self._toggle_digest(replica)
        self._write(Change(replica.version, taken))
        self._actions.append(Changed(replica.id.owner, tuple(entry.key for entry in taken)))
        self._schedule_push(replica, before, 0)

    def _schedule_push(self, replica: Replica, before: int, hops: int) -> None:
        """Schedule a push to a few peers of the entries after this sequence."""
        first, known = self._unpushed.get(replica.id, (before, 0))
        self._unpushed[replica.id] = (first, max(known, hops))
        if self._push_us is None:
            self._push_us = self.now + self.settings.push_us

    def _report_fork(self, owner: str, epoch: int, seq: int) -> None:
        self.counters.forks += 1
        self.forks[owner] = (epoch, seq)
        self.forks.move_to_end(owner)
        if len(self.forks) > MAX_FETCHES * 16:
            self.forks.popitem(last=False)
        self._actions.append(Forked(owner, epoch, seq))

    # Time

    def next_us(self) -> int:
        """Return when `on_timer` is to be called next."""
        due = [self._next_compare_us]
        if self._push_us is not None:
            due.append(self._push_us)
        if self._fetches:
            due.append(min(fetch.timeout_us for fetch in self._fetches.values()))
        if self._queued_pulls:
            due.append(self._budget_available_us())
        if self.own_replica is None:
            due.append(self._start_deadline_us())
        return min(due)

    def _start_deadline_us(self) -> int:
        """Return when this incarnation's map is started at the latest.

        Without this limit, peers that never answer would hold this member's entries back for ever.
        """
        return self.created_us + self.settings.alone_us * (4 if self.peers else 1)

    def on_timer(self, now: int, peers: Iterable[str]) -> list[Action]:
        """Do what is due.

        `peers`: the living members according to the view, with or without this one.
        """
        lateness_us = now - self.next_us()
        self.now = max(now, self.now)
        self.peers = sorted(name for name in peers if name != self.member_name)
        if lateness_us > 2 * self.settings.compare_us and self.caught_up:
            self.caught_up = False  # the process was suspended: it may have missed changes
            self._in_sync_peers.clear()
        if self.own_replica is None and self._start_deadline_us() <= self.now:
            self._start_incarnation()
        for id, fetch in list(self._fetches.items()):
            if fetch.timeout_us <= self.now:
                self._retry_fetch(id, fetch)
        if self._push_us is not None and self._push_us <= self.now:
            self._push_changes()
        self._serve_pulls()
        if self._next_compare_us <= self.now:
            jitter = 0.5 + self.random.random()
            self._next_compare_us = self.now + int(self.settings.compare_us * jitter)
            if not self.caught_up:
                self._next_compare_us = self.now + int(self.settings.compare_us * jitter / 4)
            for replica in self._incarnations(self.member_name) if self.own_replica is not None else ():
                if replica is not self.own_replica and replica.id in self.replicas:
                    self._take_over(replica)
            self._send_digests()
            self._request_persistence()
            self._purge_tombstones()
        return self._take_actions()

    def _take_actions(self) -> list[Action]:
        out, self._actions = self._actions, []
        return out

    def _send(self, to: str, message: Message) -> None:
        self._actions.append(Send(to, message))

    def _send_digests(self) -> None:
        unsynced = (
            [name for name in self.peers if name not in self._in_sync_peers] if not self.caught_up else []
        )
        candidates = unsynced or self.peers
        if candidates:
            self._send(candidates[self.random.randrange(len(candidates))], self._digest_message())

    def _digest_message(self) -> Digests:
        list_state = None
        if self.own_list_state is not None:
            epoch, seq, at = self.own_list_state
            list_state = (epoch, seq, max(0, self.now - at) // 1_000)
        return Digests(tuple(self._digests), self.gc_epoch, self.caught_up, list_state)

    def _purge_tombstones(self) -> None:
        limit = self.now - self.settings.keep_us
        for owner in [owner for owner, (_, ended_us) in self.owner_tombstones.items() if ended_us <= limit]:
            del self.owner_tombstones[owner]
            self._raise_gc_epoch(self.gc_epoch + 1)

    def retire(self, owner: str, now: int) -> list[Action]:
        """Drop the maps of a member that has left for good, and leave a tombstone."""
        self.now = max(now, self.now)
        if owner != self.member_name:
            self._retire(owner, max((replica.id.epoch for replica in self._incarnations(owner)), default=-1))
        return self._take_actions()

    def _retire(self, owner: str, epoch: int) -> None:
        replicas = [replica for replica in self._incarnations(owner) if replica.id.epoch <= epoch]
        if not replicas:
            return
        self.owner_tombstones[owner] = (epoch, self.now)
        for replica in replicas:
            self._drop(replica, leave_tombstone=True)
        while len(self.owner_tombstones) > MAX_OWNER_TOMBSTONES:
            self.owner_tombstones.popitem(last=False)
            self._raise_gc_epoch(self.gc_epoch + 1)

    def _raise_gc_epoch(self, gc_epoch: int) -> None:
        if gc_epoch > self.gc_epoch:
            self.gc_epoch = gc_epoch
            self._write(Change(None, gc_epoch=gc_epoch))

    # Messages

    def on_message(self, sender: str, message: Message, now: int) -> list[Action]:
        """Handle a message from a member."""
        self.now = max(now, self.now)
        match message:
            case Digests():
                self._on_digests(sender, message)
            case InSync(gc_epoch):
                self._on_gc_epoch(sender, gc_epoch, None)
                self._on_in_sync(sender)
            case Versions():
                self._on_versions(sender, message)
            case Pull():
                self._on_pull(sender, message)
            case Delta():
                self._on_delta(sender, message)
            case PersistRequest(version):
                self._on_persist_request(sender, version)
            case PersistAck(version):
                self._on_persist_ack(sender, version)
        return self._take_actions()

    def _on_digests(self, sender: str, message: Digests) -> None:
        self._on_list_state(message.list_state)
        differing = tuple(at for at in range(BUCKETS) if message.digests[at] != self._digests[at])
        if differing and message.gc_epoch != self.gc_epoch:
            differing = tuple(range(BUCKETS))  # a member that is behind has to compare all buckets
        if not differing:
            self._on_gc_epoch(sender, message.gc_epoch, None)
            self._on_in_sync(sender)
            if not message.caught_up:
                self._send(sender, InSync(self.gc_epoch))
            return
        self._send(sender, self._version_message(differing, wants_reply=True))

    def _version_message(self, buckets: tuple[int, ...], wants_reply: bool) -> Versions:
        wanted = set(buckets)
        versions = [
            replica.version for replica in self.replicas.values() if bucket_of(replica.id.owner) in wanted
        ]
        versions += [
            Version(owner, epoch, 0, ENDED_SEQ)
            for owner, (epoch, _) in self.owner_tombstones.items()
            if bucket_of(owner) in wanted
        ]
        complete = len(versions) <= MAX_VERSIONS
        if not complete:
            versions = self.random.sample(versions, MAX_VERSIONS)
        return Versions(buckets, tuple(versions), self.gc_epoch, wants_reply, complete)

    def _on_versions(self, sender: str, message: Versions) -> None:
        self.counters.compared += 1
        remote_ids = {version.id for version in message.versions}
        if message.complete:
            self._on_gc_epoch(sender, message.gc_epoch, (remote_ids, set(message.buckets)))
        behind = ahead = False
        for version in message.versions:
            if version.seq == ENDED_SEQ:
                self._on_tombstone(version)
                continue
            if self._is_ended(version) or self.is_superseded(version):
                ahead = True
                continue
            if (
                message.gc_epoch < self.gc_epoch
                and version.id not in self.replicas
                and self._is_unknown_member(version.owner, sender)
            ):
                # Its tombstone may have expired: a member that was away must not bring the map back.
                self.counters.resurrected += 1
                continue
            replica = self.replicas.get(version.id)
            if replica is None or replica.seq < version.seq:
                behind = True
                self._start_fetch(sender, version)
            elif replica.seq == version.seq and replica.checksum != version.checksum:
                self._on_conflict(sender, replica, version)
                behind = True
            elif replica.seq > version.seq:
                ahead = True
        if not ahead:
            wanted = set(message.buckets)
            ahead = any(bucket_of(id.owner) in wanted and id not in remote_ids for id in self.replicas)
        if ahead and message.wants_reply:
            self._send(sender, self._version_message(message.buckets, wants_reply=False))
        if not behind and message.complete:
            self._on_in_sync(sender)

    def _is_unknown_member(self, owner: str, sender: str) -> bool:
        return (
            owner not in (self.member_name, sender)
            and owner not in self.peers
            and not owner.startswith(LIST_PREFIX)
        )

    def _is_ended(self, version: Version) -> bool:
        return (
            version.owner in self.owner_tombstones
            and version.epoch <= self.owner_tombstones[version.owner][0]
        )

    def _on_tombstone(self, version: Version) -> None:
        if version.owner == self.member_name:
            if self.own_replica is not None and version.epoch >= self.own_replica.id.epoch:
                self.owner_tombstones[self.member_name] = (version.epoch, self.now)
                self._start_incarnation()  # it was retired, and is back
            return
        self._retire(version.owner, version.epoch)

    def _on_gc_epoch(self, sender: str, gc_epoch: int, shown: tuple[set[ReplicaId], set[int]] | None) -> None:
        """Handle a peer's GC epoch.

        If it is higher, tombstones have expired that this member may never have received. Maps that did not
        change here for as long and that the peer does not have are then taken as ended.
        """
        if gc_epoch <= self.gc_epoch:
            return
        if shown is None:
            self._raise_gc_epoch(gc_epoch)
            return
        remote_ids, buckets = shown
        limit = self.now - self.settings.keep_us
        for replica in list(self.replicas.values()):
            id = replica.id
            old = replica.changed_us <= limit and id not in remote_ids and bucket_of(id.owner) in buckets
            if old and self._is_unknown_member(id.owner, sender):
                self.counters.resurrected += 1
                self._drop(replica)
        if len(buckets) == BUCKETS:
            self._raise_gc_epoch(gc_epoch)

    def _on_in_sync(self, sender: str) -> None:
        if self.caught_up or sender not in self.peers:
            return
        self._in_sync_peers.add(sender)
        if len(self._in_sync_peers & set(self.peers)) >= min(CAUGHT_UP_PEERS, len(self.peers)):
            self.caught_up = True
            if self.own_replica is None:
                self._start_incarnation()
            self._actions.append(CaughtUp())

    # Catching up

    def _start_fetch(self, source: str, version: Version, full: bool = False, differs: bool = False) -> None:
        """Start to pull a map from a peer, from the position that this member has reached."""
        id = version.id
        fetch = self._fetches.get(id)
        if fetch is not None and fetch.source:
            return
        if fetch is None:
            if len(self._fetches) >= MAX_FETCHES:
                return  # retried with the next comparison
            replica = self.replicas.get(id)
            if replica is None and len(self.replicas) >= MAX_REPLICAS:
                self.counters.refused += 1
                return
            full = full or replica is None
            seq = 0 if full or replica is None else replica.seq
            key = "" if full else LAST_KEY
            fetch = self._fetches[id] = _Fetch(source, 0, seq, key, full, differs)
        fetch.source = source
        self._send_pull(id, fetch)

    def _send_pull(self, id: ReplicaId, fetch: _Fetch) -> None:
        fetch.timeout_us = self.now + self.settings.fetch_us
        self._send(fetch.source, Pull(*id, fetch.seq, fetch.key, fetch.full))

    def _retry_fetch(self, id: ReplicaId, fetch: _Fetch) -> None:
        """Go on with another peer, from the same position, after a fetch has timed out."""
        fetch.tries += 1
        position = Version(*id, fetch.seq)
        if (
            fetch.tries > MAX_FETCH_TRIES
            or not self.peers
            or self._is_ended(position)
            or self.is_superseded(position)
        ):
            del self._fetches[id]
            return
        fetch.source = self.peers[self.random.randrange(len(self.peers))]
        self._send_pull(id, fetch)

    def _on_pull(self, sender: str, pull: Pull) -> None:
        if pull.id not in self.replicas:
            self._send(
                sender, self._version_message((bucket_of(pull.owner),), wants_reply=False)
            )  # it has ended, or was never here
            return
        if len(self._queued_pulls) >= MAX_QUEUED_PULLS and (sender, pull.id) not in self._queued_pulls:
            self.counters.refused += 1
            return
        self._queued_pulls[sender, pull.id] = pull
        self._serve_pulls()

    def _budget_available_us(self) -> int:
        """Return when the send budget allows a byte again."""
        missing = max(0.0, 1.0 - self._send_budget)
        return self._refilled_us + 1 + int(missing * 1e6 / self.settings.send_bytes_s)

    def _serve_pulls(self) -> None:
        """Answer the queued pulls as far as the send budget goes."""
        rate = float(self.settings.send_bytes_s)
        self._send_budget = min(rate, self._send_budget + (self.now - self._refilled_us) / 1e6 * rate)
        self._refilled_us = self.now
        while self._queued_pulls and self._send_budget >= 1.0:
            (sender, id), pull = self._queued_pulls.popitem(last=False)
            replica = self.replicas.get(id)
            if replica is not None:
                self._send_budget -= self._send_delta(sender, replica, pull)

    def _send_delta(self, to: str, replica: Replica, pull: Pull) -> int:
        """Send the next chunk that a pull asks for; return its size in bytes."""
        position, full = (pull.seq, pull.key), pull.full
        if pull.seq < replica.tombstone_floor and position != (0, ""):
            position, full = (0, ""), True  # tombstones after that position may have expired here
        entries, used, last = self._next_chunk(replica, position)
        up_to = (replica.seq, LAST_KEY) if last else (entries[-1].seq, entries[-1].key)
        self.counters.given_bytes += used
        self._send(
            to, Delta(replica.version, *position, *up_to, entries, replica.tombstone_floor, last, full)
        )
        return used + ENTRY_OVERHEAD

    def _next_chunk(self, replica: Replica, position: tuple[int, str]) -> tuple[tuple[Entry, ...], int, bool]:
        """Return the entries after a position that fit one message, their bytes, and if that is all."""
        entries: list[Entry] = []
        used = 0
        for entry in replica.after(*position):
            if entries and (
                used + entry_size(entry) > MAX_CHUNK_BYTES or len(entries) >= MAX_MESSAGE_ENTRIES
            ):
                return tuple(entries), used, False
            entries.append(entry)
            used += entry_size(entry)
        return tuple(entries), used, True

    def _push_changes(self) -> None:
        """Push new entries to a few peers, which forward them to a few more."""
        unpushed, self._unpushed, self._push_us = self._unpushed, {}, None
        max_hops = 2 + len(self.peers).bit_length()
        for id, (seq, hops) in unpushed.items():
            replica = self.replicas.get(id)
            if replica is None or hops >= max_hops or not self.peers:
                continue
            if seq < replica.tombstone_floor and seq:
                continue  # left to the next comparison
            entries, _, last = self._next_chunk(replica, (seq, LAST_KEY))
            if not last:
                continue
            delta = Delta(
                replica.version,
                seq,
                LAST_KEY,
                replica.seq,
                LAST_KEY,
                entries,
                replica.tombstone_floor,
                True,
                False,
                hops,
            )
            count = min(len(self.peers), self.settings.fanout)
            for name in self.random.sample(self.peers, count):
                self.counters.pushed += 1
                self._send(name, delta)

    def _on_delta(self, sender: str, delta: Delta) -> None:
        version = delta.version
        id = version.id
        if (
            self._is_ended(version)
            or self.is_superseded(version)
            or (version.owner == self.member_name and self._is_own(id))
        ):
            self._fetches.pop(id, None)
            return
        fetch = self._fetches.get(id)
        if fetch is not None and self._append_chunk(id, fetch, sender, delta):
            return
        if delta.last and not delta.full:
            self._on_push(sender, delta)

    def _is_own(self, id: ReplicaId) -> bool:
        return self.own_replica is not None and self.own_replica.id == id

    def _append_chunk(self, id: ReplicaId, fetch: _Fetch, sender: str, delta: Delta) -> bool:
        """Append a chunk to a fetch; return False if it does not continue it."""
        if delta.full and not fetch.full:  # the sender no longer has the tombstones for a delta
            fetch.full, fetch.seq, fetch.key = True, 0, ""
            fetch.entries.clear()
            fetch.bytes = 0
        if (delta.after, delta.after_key) != (fetch.seq, fetch.key) or delta.full != fetch.full:
            return False
        fetch.entries.extend(delta.entries)
        fetch.bytes += sum(map(entry_size, delta.entries))
        fetch.seq, fetch.key, fetch.tries = delta.up_to, delta.up_to_key, 0
        if len(fetch.entries) > 2 * MAX_ENTRIES or fetch.bytes > MAX_REPLICA_BYTES:
            self.counters.refused += 1
            del self._fetches[id]
            return True
        if not delta.last:
            fetch.source = sender
            self._send_pull(id, fetch)
            return True
        del self._fetches[id]
        self.counters.taken += 1
        self.counters.taken_bytes += fetch.bytes
        if fetch.full:
            self._apply_snapshot(sender, fetch, delta)
        else:
            self._apply_delta(sender, fetch.entries, delta, pushed=False)
        return True

    def _on_push(self, sender: str, delta: Delta) -> None:
        """Handle a pushed delta: all changes since a version, in one unrequested message."""
        replica = self.replicas.get(delta.version.id)
        if replica is None and delta.after == 0 and len(self.replicas) < MAX_REPLICAS:
            if self._is_unknown_member(delta.version.owner, sender) and self.gc_epoch:
                return  # a comparison shows whether it has ended
            replica = Replica(delta.version.id, self.now)
            self._add(replica)
        if replica is None or delta.after > replica.seq:
            self._start_fetch(sender, delta.version)
        elif delta.version.seq > replica.seq:
            self._apply_delta(sender, delta.entries, delta)

    def _apply_delta(self, sender: str, entries: Iterable[Entry], delta: Delta, pushed: bool = True) -> None:
        """Advance a replica to the sender's version.

        `pushed`: the delta came as a push and is forwarded.
        """
        replica = self.replicas.get(delta.version.id)
        if replica is None or delta.version.seq <= replica.seq:
            return
        self._toggle_digest(replica)
        before = replica.seq
        taken = tuple(entry for entry in entries if replica.apply(entry))
        matches = replica.checksum == delta.version.checksum
        self._toggle_digest(replica)
        if not matches:
            # The entries differ from the sender's, after a fork or a torn write: pull a full snapshot. The
            # sequence stays.
            self.counters.spoilt += 1
            self._write(Change(replica.version, taken))
            self._start_fetch(sender, delta.version, full=True)
            return
        self._toggle_digest(replica)
        replica.seq = delta.version.seq
        replica.changed_us = self.now
        self._toggle_digest(replica)
        self._write(Change(replica.version, taken))
        self._actions.append(Changed(replica.id.owner, tuple(entry.key for entry in taken)))
        if pushed:
            self._schedule_push(replica, before, delta.hops + 1)
        self._after_update(replica)

    def _apply_snapshot(self, sender: str, fetch: _Fetch, delta: Delta) -> None:
        """Replace a replica by a full snapshot."""
        id = delta.version.id
        updated = Replica(id, self.now)
        for entry in fetch.entries:
            updated.apply(entry)
        updated.seq, updated.tombstone_floor = (
            delta.version.seq,
            max(updated.tombstone_floor, delta.tombstone_floor),
        )
        if updated.checksum != delta.version.checksum:
            self.counters.spoilt += 1
            return
        known = self.replicas.get(id)
        if known is not None:
            if known.seq > updated.seq:
                return
            if known.seq == updated.seq and known.checksum != updated.checksum:
                updated = self._merge_contents(known, updated)
            self._toggle_digest(known)
            updated.superseded = {**known.superseded, **updated.superseded}
            self.replicas[id] = updated
            self._toggle_digest(updated)
            keys = {*known.entries, *updated.entries}
        else:
            self._add(updated)
            keys = set(updated.entries)
        self._write(
            Change(
                updated.version,
                tuple(updated.after(0, "")),
                full=True,
                tombstone_floor=updated.tombstone_floor,
            )
        )
        self._actions.append(Changed(id.owner, tuple(sorted(keys))))
        self._after_update(updated)

    def _after_update(self, replica: Replica) -> None:
        if replica.id.owner == self.member_name and replica is not self.own_replica:
            self._take_over(replica)
        elif len(self._by_owner[replica.id.owner]) > 1:
            self._drop_superseded()
            self._detect_duplicates(replica)

    def _detect_duplicates(self, replica: Replica) -> None:
        """Report two incarnations of one name in one epoch: a cloned name or a restored disk."""
        owner, epoch, _ = replica.id
        same = [id for id in self._by_owner.get(owner, ()) if id.epoch == epoch]
        if len(same) > 1 and self.forks.get(owner, (-1, 0))[0] < epoch:
            self._report_fork(owner, epoch, replica.seq)

    # Conflicting contents of one version

    def _on_conflict(self, sender: str, replica: Replica, version: Version) -> None:
        if self.forks.get(version.owner) != (version.epoch, version.seq):
            self._report_fork(version.owner, version.epoch, version.seq)
        if version.owner.startswith(LIST_PREFIX) or version.checksum > replica.checksum:
            self._start_fetch(sender, version, full=True, differs=True)

    def _merge_contents(self, known: Replica, other: Replica) -> Replica:
        """Merge two contents of one version, with the same result for any member and any order.

        For a list: the more cautious value of each server, and no entry for a server that either content
        lacks. For other maps: the content with the higher checksum.
        """
        if not known.id.owner.startswith(LIST_PREFIX):
            return known if known.checksum > other.checksum else other
        updated = Replica(known.id, self.now)
        for key, entry in known.entries.items():
            counterpart = other.entries.get(key)
            if counterpart is not None and entry.value is not None and counterpart.value is not None:
                value = self._merge(entry.value, counterpart.value)
                updated.apply(Entry(key, max(entry.seq, counterpart.seq), value, entry.hint))
        updated.seq, updated.tombstone_floor = (
            known.seq,
            known.seq,
        )  # a peer that is behind pulls a full snapshot
        return updated

    # Durability on several hosts

    def require_hosts(self, hosts: int, now: int) -> list[Action]:
        """Require that the own map is durable on so many hosts, this one included.

        `Durable` reports each sequence for which that is so.
        """
        self.now = max(now, self.now)
        self.required_hosts = hosts
        self._request_persistence()
        self._report_durable()
        return self._take_actions()

    def _request_persistence(self) -> None:
        mine = self.own_replica
        if mine is None or self.required_hosts < 2 or self._durable_seq >= mine.seq:
            return
        durable_on = {host for host, seq in self._durable_seqs.items() if seq >= mine.seq}
        missing = self.required_hosts - 1 - len(durable_on)
        hosts: dict[str, list[str]] = {}
        for name in self.peers:
            if host_of(name) != host_of(self.member_name) and host_of(name) not in durable_on:
                hosts.setdefault(host_of(name), []).append(name)
        for host in self.random.sample(sorted(hosts), min(max(0, missing), len(hosts))):
            name = hosts[host][self.random.randrange(len(hosts[host]))]
            self._send(name, PersistRequest(mine.version))

    def _on_persist_request(self, sender: str, version: Version) -> None:
        replica = self.replicas.get(version.id)
        if replica is None or replica.seq < version.seq:
            if not (self._is_ended(version) or self.is_superseded(version)):
                self._start_fetch(sender, version)
            return  # the sender asks again later
        at = self._unwritten.get(version.id, 0)
        if at <= self._written:
            self._send(sender, PersistAck(replica.version))
        elif len(self._pending_acks) < MAX_PENDING_ACKS:
            self._pending_acks[sender, version.id] = (replica.seq, at)

    def _on_persist_ack(self, sender: str, version: Version) -> None:
        if self.own_replica is not None and version.id == self.own_replica.id:
            host = host_of(sender)
            self._durable_seqs[host] = max(version.seq, self._durable_seqs.get(host, 0))
            self._report_durable()

    def _report_durable(self) -> None:
        mine = self.own_replica
        if mine is None or self._unwritten.get(mine.id, 0) > self._written or self.required_hosts < 1:
            return
        held = sorted(self._durable_seqs.values(), reverse=True)
        if len(held) < self.required_hosts - 1:
            return
        seq = mine.seq if self.required_hosts == 1 else min(mine.seq, held[self.required_hosts - 2])
        if seq > self._durable_seq:
            self._durable_seq = seq
            self._actions.append(Durable(seq, self.required_hosts))

    # The list

    def on_list(
        self, seq: int, complete: bool, servers: Mapping[str, tuple[bytes, bytes] | None], now: int
    ) -> list[Action]:
        """Handle an update of the list from this member's own list service.

        `servers` has each server's value and hint, None for one that was removed. `seq` counts the service's
        versions from 1.
        """
        self.now = max(now, self.now)
        if complete:
            self._own_list = {}
        for key, value_and_hint in servers.items():
            if value_and_hint is None:
                self._own_list.pop(key, None)
            else:
                self._own_list[key] = value_and_hint
        self._own_list_seq = seq
        self._confirm_list()
        return self._take_actions()

    def on_list_unchanged(self, now: int) -> list[Action]:
        """Note that the list service is reachable and has no further changes."""
        self.now = max(now, self.now)
        if self._own_list_seq:
            self._confirm_list()
        return self._take_actions()

    def list_replica(self) -> Replica | None:
        """Return the replica of the list with the highest epoch."""
        incarnations = self._incarnations(self.list_owner)
        return max(incarnations, key=lambda replica: replica.id.epoch) if incarnations else None

    def list_age_us(self) -> int | None:
        """Return how long ago any member's service confirmed the replica of the list.

        None if that has not happened in this incarnation.
        """
        return None if self.list_confirmed_us is None else max(0, self.now - self.list_confirmed_us)

    def _confirm_list(self) -> None:
        replica = self.list_replica()
        if replica is None:
            replica = Replica(ReplicaId(self.list_owner, 1, 0), self.now)
            self._add(replica)
        if self._own_list_seq < replica.seq:
            # The service lags, or was restored to an earlier version. It was restored if no member's service
            # has confirmed the newer version for `list_trust_us`.
            last_confirmed_us = max(
                self.created_us,
                self.list_confirmed_us if self.list_confirmed_us is not None else self.created_us,
            )
            if self.now - last_confirmed_us < self.settings.list_trust_us:
                return
            replica = Replica(ReplicaId(self.list_owner, replica.id.epoch + 1, 0), self.now)
            self._add(replica)
        if self._own_list_seq > replica.seq:
            entries = [
                Entry(key, self._own_list_seq, *value_and_hint)
                for key, value_and_hint in self._own_list.items()
                if key not in replica.entries or replica.entries[key].value != value_and_hint[0]
            ]
            entries += [
                Entry(key, self._own_list_seq, None) for key in replica.entries if key not in self._own_list
            ]
            self._commit(replica, entries, self._own_list_seq)
            self._drop_superseded()
        elif self._own_list_checksum() != replica.checksum and self._merged_list != (
            replica.id,
            replica.seq,
            replica.checksum,
        ):
            self._report_fork(self.list_owner, replica.id.epoch, replica.seq)
            other = Replica(replica.id, self.now)
            for key, value_and_hint in self._own_list.items():
                other.apply(Entry(key, self._own_list_seq, *value_and_hint))
            other.seq = self._own_list_seq
            updated = self._merge_contents(replica, other)
            self._toggle_digest(replica)
            self.replicas[replica.id] = updated
            self._toggle_digest(updated)
            self._write(
                Change(
                    updated.version,
                    tuple(updated.after(0, "")),
                    full=True,
                    tombstone_floor=updated.tombstone_floor,
                )
            )
            self._actions.append(Changed(self.list_owner, tuple(updated.entries)))
            self._merged_list = (updated.id, updated.seq, updated.checksum)
            replica = updated
        self.own_list_state = (replica.id.epoch, replica.seq, self.now)
        self.list_confirmed_us = self.now

    def _own_list_checksum(self) -> int:
        total = 0
        for key, (value, _) in self._own_list.items():
            total ^= entry_checksum(key, value)
        return total

    def _on_list_state(self, list_state: tuple[int, int, int] | None) -> None:
        replica = self.list_replica()
        if list_state is None or replica is None:
            return
        epoch, seq, age_ms = list_state
        if (epoch, seq) >= (replica.id.epoch, replica.seq):
            at = self.now - age_ms * 1_000
            self.list_confirmed_us = at if self.list_confirmed_us is None else max(at, self.list_confirmed_us)

    # Reading

    def owners(self) -> list[str]:
        """Return the owners of all maps, sorted."""
        return sorted(self._by_owner)

    def values(self, key: str) -> list[tuple[ReplicaId, bytes]]:
        """Return all members' values under this key, by map, for the caller to join."""
        found = []
        for id, replica in self.replicas.items():
            entry = replica.entries.get(key)
            if entry is not None and entry.value is not None:
                found.append((id, entry.value))
        return found

    def digest(self) -> str:
        """Return one digest of the whole state; the same at members that have the same state."""
        text = ",".join(f"{value:08x}" for value in self._digests)
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    @property
    def behind(self) -> int:
        """The number of maps that are being pulled because a peer is ahead."""
        return len(self._fetches)
