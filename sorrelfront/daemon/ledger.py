"""A snapshot and a tail of changes on disk: bounded, checksummed, compacted.

The snapshot is a record (`records.py`) and names the tail that belongs to it; the tail is a file of frames
(length, BLAKE2b, payload) that is only appended to. What was synced is there after a power cut; a tail that
is torn loses what lies behind the tear and nothing else. A new snapshot names a new tail, so whichever of
the two is found, a whole state is."""

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
FRAME_MOST = 16 * 1024 * 1024  # bytes
TAIL_LEAST = 1024 * 1024  # bytes, before a tail is worth a new snapshot
TAIL_MOST = 64 * 1024 * 1024  # bytes that are read of one

Snapshot = tuple[int, list[bytes]]
_snapshot = msgspec.msgpack.Decoder(Snapshot)


def _digest(payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=8, person=b"sorrelfront").digest()


class Ledger:
    """Used by one thread at a time. `load` first; each `write` is durable once it returns."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._number = 0  # of the snapshot, and of its tail
        self._descriptor: int | None = None
        self._tail = 0  # bytes
        self._base = 0  # bytes of the snapshot
        self.torn = 0  # bytes of a tail that were not used

    def _tail_path(self, number: int) -> Path:
        return self.path.with_name(f"{self.path.name}.tail-{number}")

    def load(self) -> list[bytes]:
        """What was written, in order, as far as it can be trusted. Raises nothing."""
        payload = records.trusted(self.path, records.Kind.COPIES)
        found: list[bytes] = []
        if payload is not None:
            try:
                self._number, found = _snapshot.decode(payload)
            except msgspec.DecodeError as fault:
                log.warning("%s is not used: %s", self.path, fault)
        found += self._read_tail(self._tail_path(self._number))
        return found

    def _read_tail(self, path: Path) -> list[bytes]:
        try:
            descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
            with open(descriptor, "rb") as file:
                data = file.read(TAIL_MOST)
        except OSError:
            return []
        found, at = [], 0
        while at + FRAME.size <= len(data):
            length, digest = FRAME.unpack_from(data, at)
            payload = data[at + FRAME.size : at + FRAME.size + length]
            if length > FRAME_MOST or len(payload) != length or _digest(payload) != digest:
                break
            found.append(payload)
            at += FRAME.size + length
        self.torn = len(data) - at
        if self.torn:
            log.warning("%s: %d bytes at its end are torn and not used", path, self.torn)
        return found

    @property
    def wants_snapshot(self) -> bool:
        """Whether the tail has grown past its use, or there is none to write to."""
        return self._descriptor is None or self._tail > max(TAIL_LEAST, self._base)

    def snapshot(self, payloads: list[bytes]) -> None:
        """Begin anew with this state. Raises OSError, and ValueError if it is too long; the one before holds
        then."""
        number = self._number + 1
        data = records.seal(records.Kind.COPIES, msgspec.msgpack.encode((number, payloads)))
        path = self._tail_path(number)
        records.disk.remove(path)
        descriptor = records.disk.create(path)
        try:
            records.write(self.path, data)  # syncs the folder, and with it the tail's name
        except OSError:
            records.disk.close(descriptor)
            with contextlib.suppress(OSError):
                records.disk.remove(path)
            raise
        self.close()
        with contextlib.suppress(OSError):
            records.disk.remove(self._tail_path(self._number))
        self._number, self._descriptor, self._tail, self._base = number, descriptor, 0, len(data)

    def write(self, payloads: Iterable[bytes]) -> None:
        """Append these. Raises OSError; the tail is then given up, and a snapshot wanted. Risk: behind half a
        frame nothing could be read."""
        descriptor = self._descriptor
        assert descriptor is not None
        frames = b"".join(FRAME.pack(len(item), _digest(item)) + item for item in payloads)
        try:
            records.disk.append(descriptor, frames)
            records.disk.sync(descriptor)
        except OSError:
            self.close()
            raise
        self._tail += len(frames)

    def close(self) -> None:
        if self._descriptor is not None:
            records.disk.close(self._descriptor)
            self._descriptor = None
