"""A replica log on disk: a snapshot and a tail of changes, bounded, checksummed and compacted.

The snapshot is a record (`records.py`) and names the tail that belongs to it. The tail is a file of frames
(length, BLAKE2b digest, payload) that is only appended to. What was synced survives a power cut; a torn tail
loses only what follows the tear. A new snapshot names a new tail, so a complete state is found whichever of
the two snapshots is on disk.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import os
import struct
from collections.abc import Iterable
from pathlib import Path

import msgspec

from sorrelfront.daemon import records

log = logging.getLogger("sorrelfront.daemon")

FRAME = struct.Struct(">I8s")  # length of the payload, digest
MAX_FRAME_BYTES = 16 * 1024 * 1024
MIN_COMPACTION_BYTES = 1024 * 1024  # of the tail, before it is compacted
MAX_TAIL_BYTES = 64 * 1024 * 1024  # read of a tail; the rest is ignored

Snapshot = tuple[int, list[bytes]]
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def _digest(payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=8, person=b"sorrelfront").digest()


class ReplicaLog:
    """A replica log, used by one thread at a time.

    Call `load` first; each `write` is durable once it returns.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._generation = 0  # of the snapshot, and of its tail
        self._descriptor: int | None = None
        self._tail_bytes = 0
        self._snapshot_bytes = 0
        self.torn_bytes = 0  # at the end of the tail, not used

    def _tail_path(self, generation: int) -> Path:
        return self.path.with_name(f"{self.path.name}.tail-{generation}")

    def load(self) -> list[bytes]:
        """Return the payloads written, in order, as far as their checksums are right. Raises nothing."""
        payload = records.read_or_set_aside(self.path, records.RecordKind.COPIES)
        found: list[bytes] = []
        if payload is not None:
            try:
                self._generation, found = _snapshot_decoder.decode(payload)
            except msgspec.DecodeError as fault:
                log.warning("%s is not used: %s", self.path, fault)
        found += self._read_tail(self._tail_path(self._generation))
        return found

    def _read_tail(self, path: Path) -> list[bytes]:
        try:
            descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
            with open(descriptor, "rb") as file:
                data = file.read(MAX_TAIL_BYTES)
        except OSError:
            return []
        found, offset = [], 0
        while offset + FRAME.size <= len(data):
            length, digest = FRAME.unpack_from(data, offset)
            payload = data[offset + FRAME.size : offset + FRAME.size + length]
            if length > MAX_FRAME_BYTES or len(payload) != length or _digest(payload) != digest:
                break
            found.append(payload)
            offset += FRAME.size + length
        self.torn_bytes = len(data) - offset
        if self.torn_bytes:
            log.warning("%s: %d bytes at its end are torn and not used", path, self.torn_bytes)
        return found

    @property
    def needs_snapshot(self) -> bool:
        """Whether the tail has outgrown the snapshot, or there is no tail to write to."""
        return self._descriptor is None or self._tail_bytes > max(MIN_COMPACTION_BYTES, self._snapshot_bytes)

    def snapshot(self, payloads: list[bytes]) -> None:
        """Replace the log by a snapshot of this state and an empty tail.

        Raises OSError, and ValueError if the snapshot is too long; the log is then as it was before.
        """
        generation = self._generation + 1
        data = records.encode_record(
            records.RecordKind.COPIES, msgspec.msgpack.encode((generation, payloads))
        )
        path = self._tail_path(generation)
        records.disk.remove(path)
        descriptor = records.disk.create(path)
        try:
            records.write(self.path, data)  # also syncs the directory, which makes the tail's name durable
        except OSError:
            records.disk.close(descriptor)
            with contextlib.suppress(OSError):
                records.disk.remove(path)
            raise
        self.close()
        with contextlib.suppress(OSError):
            records.disk.remove(self._tail_path(self._generation))
        self._generation, self._descriptor, self._tail_bytes, self._snapshot_bytes = (
            generation,
            descriptor,
            0,
            len(data),
        )

    def write(self, payloads: Iterable[bytes]) -> None:
        """Append these payloads to the tail and sync it.

        Raises OSError. The tail is then closed and a snapshot is needed, because nothing after a partial
        frame could be read.
        """
        descriptor = self._descriptor
        assert descriptor is not None
        frames = b"".join(FRAME.pack(len(item), _digest(item)) + item for item in payloads)
        try:
            records.disk.append(descriptor, frames)
            records.disk.sync(descriptor)
        except OSError:
            self.close()
            raise
        self._tail_bytes += len(frames)

    def close(self) -> None:
        """Close the tail; writing again needs a new snapshot."""
        if self._descriptor is not None:
            records.disk.close(self._descriptor)
            self._descriptor = None
