"""Versioned, bounded, checksummed records in small files that are replaced atomically.

A record is a header (magic, version, kind, length, BLAKE2b of the rest) and a payload. It is written to a
temporary file, synced and renamed over the old one, and the folder is synced: after a power cut either the
old or the new record is there. Anything else found at its path is renamed (`.bad`) and never used.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import os
import stat
import struct
import threading
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path

from sorrelfront.errors import SorrelfrontError

log = logging.getLogger("sorrelfront.daemon")

MAGIC = b"SRLF"
VERSION = 1
HEADER = struct.Struct(">4sHHI16s")  # magic, version, kind, length of the payload, digest
MAX_PAYLOAD_BYTES = 8 * 1024 * 1024  # bytes of a payload
MAX_PENDING_FILES = 8  # files with pending writes per writer


class RecordKind(IntEnum):
    """Type of a record; the numbers are stored."""

    JOURNAL = 1
    FLEET = 2
    LEARNT = 3
    INCARNATION = 4
    VOTE = 5
    HELD = 6
    COPIES = 7
    SITE = 8


class InvalidRecord(SorrelfrontError):
    """A record is invalid; the text says why."""

    remedy = (
        "Nothing has to be done: the file is set aside, and written anew; if it comes back, look at the disk."
    )


class Disk:
    """The file operations of records. Each one raises OSError.

    A subclass in `disk` can inject faults.
    """

    def create(self, path: Path) -> int:
        """Create a file with mode 0600 and return its descriptor, to be closed by `close`."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)

    def append(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        view = memoryview(data)
        while view:  # a disk that fills up accepts only a part (write(2))
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make the contents of the file durable."""
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a descriptor from `create`."""
        os.close(descriptor)

    def replace(self, old: Path, new: Path) -> None:
        """Rename `old` to `new` atomically, replacing it."""
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        """Remove the file, if it exists."""
        path.unlink(missing_ok=True)

    def sync_folder(self, path: Path) -> None:
        """Make created, renamed and removed names in the folder durable (fsync(2))."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


disk = Disk()  # shared by the whole process


def _digest(version: int, kind: int, payload: bytes) -> bytes:
    head = struct.pack(">HH", version, kind)
    return hashlib.blake2b(head + payload, digest_size=16, person=b"sorrelfront").digest()


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Encode a record. Raises ValueError if the payload is too long."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"the payload of a record is too long: {len(payload)} bytes")
    return HEADER.pack(MAGIC, VERSION, kind, len(payload), _digest(VERSION, kind, payload)) + payload


def decode_record(kind: RecordKind, data: bytes) -> bytes:
    """Decode a record and return its payload. Raises InvalidRecord, and nothing else for any input."""
    if len(data) < HEADER.size:
        raise InvalidRecord("it is shorter than a head")
    magic, version, found, length, digest = HEADER.unpack_from(data)
    payload = data[HEADER.size :]
    if magic != MAGIC:
        raise InvalidRecord("it is no record of this program")
    if version != VERSION:
        raise InvalidRecord(f"it is of version {version}, not {VERSION}")
    if found != kind:
        raise InvalidRecord(f"it is a record of kind {found}, not {int(kind)}")
    if length > MAX_PAYLOAD_BYTES or length != len(payload):
        raise InvalidRecord(f"it holds {len(payload)} bytes and says {length}")
    if digest != _digest(version, kind, payload):
        raise InvalidRecord("its checksum is wrong")
    return payload


def read(path: Path, kind: RecordKind) -> bytes | None:
    """Return the payload of the record in this file, or None if there is no file.

    Raises InvalidRecord, also unless it is a regular file of this user or root that others cannot write (so
    not for a link, a pipe, or another user's file), and OSError.
    """
    try:
        # O_NONBLOCK and O_NOFOLLOW: a pipe would block for ever, and a link could lead to another file.
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise InvalidRecord(f"it cannot be opened: {fault.strerror}") from None
    with open(descriptor, "rb") as file:
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode):
            raise InvalidRecord("it is not a plain file")
        if status.st_uid not in (0, os.geteuid()) or status.st_mode & 0o022:
            raise InvalidRecord("it is another user's, or others may write it")
        if status.st_size > HEADER.size + MAX_PAYLOAD_BYTES:
            raise InvalidRecord(f"it is {status.st_size} bytes long")
        return decode_record(kind, file.read(HEADER.size + MAX_PAYLOAD_BYTES + 1))


def read_or_set_aside(path: Path, kind: RecordKind) -> bytes | None:
    """Return the payload, or None. An invalid file is logged and renamed to `.bad`. Raises nothing."""
    try:
        return read(path, kind)
    except (InvalidRecord, OSError) as why:
        aside = path.with_name(path.name + ".bad")  # only the latest is kept
        try:
            disk.replace(path, aside)
            done = f"set aside as {aside.name}"
        except OSError as fault:
            done = f"left where it is ({fault.strerror})"
        log.warning("%s is not used: %s; %s", path, why, done)
        return None


def write(path: Path, data: bytes) -> None:
    """Replace the file with these bytes atomically, also in case of a power cut. Raises OSError."""
    fresh = path.with_name(f".{path.name}.new")
    disk.remove(fresh)  # left by a killed process, or placed there as a link
    descriptor = disk.create(fresh)
    try:
        try:
            disk.append(descriptor, data)
            disk.sync(descriptor)
        finally:
            disk.close(descriptor)
        disk.replace(fresh, path)
    except OSError:
        with contextlib.suppress(OSError):
            disk.remove(fresh)
        raise
    disk.sync_folder(path.parent)


class Writer:
    """Writes records in a separate thread, so that a slow disk does not block the event loop.

    Each file has at most one pending version: a newer one replaces one whose write has not begun. Consecutive
    failures are logged only once; the old record stays.
    """

    def __init__(self, put: Callable[[Path, bytes], None] = write) -> None:
        self._put = put
        self._pending: dict[Path, bytes | None] = {}  # None removes the file
        self._condition = threading.Condition()
        self._busy = False
        self._closed = False
        self.written = 0
        self.failures = 0
        self.fault: str | None = None  # error of the last write, None after a success
        # A daemon thread: the interpreter would otherwise wait for it at exit while the disk hangs.
        self._thread = threading.Thread(target=self._run, name="records", daemon=True)
        self._thread.start()

    def put(self, path: Path, data: bytes | None) -> None:
        """Queue the data to be written; None removes the file. Raises ValueError for too many files."""
        with self._condition:
            if path not in self._pending and len(self._pending) >= MAX_PENDING_FILES:
                raise ValueError("too many files have pending writes")
            self._pending[path] = data
            self._condition.notify_all()

    async def wait_written(self, within_s: float) -> bool:
        """Wait until all writes are done; return whether that was so within `within_s` seconds."""
        return await asyncio.to_thread(self._wait_written, within_s)

    def _wait_written(self, within_s: float) -> bool:
        with self._condition:
            return self._condition.wait_for(lambda: not self._pending and not self._busy, within_s)

    def close(self) -> None:
        """Begin no further write. One that the disk still blocks ends with the program."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _run(self) -> None:
        while True:
            with self._condition:
                self._busy = False
                self._condition.notify_all()
                self._condition.wait_for(lambda: self._pending or self._closed)
                if self._closed:
                    return
                path = next(iter(self._pending))
                data = self._pending.pop(path)
                self._busy = True
            self._write_one(path, data)

    def _write_one(self, path: Path, data: bytes | None) -> None:
        try:
            if data is None:
                disk.remove(path)
            else:
                self._put(path, data)
        except OSError as fault:
            self.failures += 1
            if self.fault is None:
                log.warning("%s is not written: %s; the previous one stays", path, fault.strerror or fault)
            self.fault = fault.strerror or str(fault)
            return
        self.written += 1
        if self.fault is not None:
            log.info("%s is written again", path)
            self.fault = None
