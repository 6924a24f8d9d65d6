"""Small files that are whole or not taken: versioned, bounded, checksummed records, replaced in one step.

A record is a head (magic, version, kind, length, BLAKE2b of the rest) and a payload. It is written beside its
place, synced, and renamed over it, and the folder is synced: after a power cut either the old one is there
or the new one. Whatever else is found in its place is set aside and never trusted.
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
HEAD = struct.Struct(">4sHHI16s")  # magic, version, kind, length of the payload, digest
RECORD_MOST = 8 * 1024 * 1024  # bytes of a payload
FILES_MOST = 8  # places that one writer looks after


class Kind(IntEnum):
    JOURNAL = 1
    FLEET = 2
    LEARNT = 3
    INCARNATION = 4
    VOTE = 5
    HELD = 6
    COPIES = 7
    SITE = 8


class Spoilt(SorrelfrontError):
    """Not a record that can be trusted, and why."""

    remedy = (
        "Nothing has to be done: the file is set aside, and written anew; if it comes "
        "back, look at the disk."
    )


class Disk:
    """Every change that records make to files. Each step raises OSError."""

    def create(self, path: Path) -> int:
        """A new file, for this user alone; its descriptor, which `close` gives back."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)

    def append(self, descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:  # a disk that fills up takes a part first (write(2))
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        os.close(descriptor)

    def replace(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def sync_folder(self, path: Path) -> None:
        """Names that were made, changed or removed in it are durable from here on (fsync(2))."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


disk = Disk()  # the one of this process


def _digest(version: int, kind: int, payload: bytes) -> bytes:
    head = struct.pack(">HH", version, kind)
    return hashlib.blake2b(head + payload, digest_size=16, person=b"sorrelfront").digest()


def seal(kind: Kind, payload: bytes) -> bytes:
    """Raises ValueError if it is too long."""
    if len(payload) > RECORD_MOST:
        raise ValueError(f"a record of {len(payload)} bytes")
    return HEAD.pack(MAGIC, VERSION, kind, len(payload), _digest(VERSION, kind, payload)) + payload


def unseal(kind: Kind, data: bytes) -> bytes:
    """The payload. Raises Spoilt, and nothing else whatever the bytes are."""
    if len(data) < HEAD.size:
        raise Spoilt("it is shorter than a head")
    magic, version, found, length, digest = HEAD.unpack_from(data)
    payload = data[HEAD.size :]
    if magic != MAGIC:
        raise Spoilt("it is no record of this program")
    if version != VERSION:
        raise Spoilt(f"it is of version {version}, not {VERSION}")
    if found != kind:
        raise Spoilt(f"it is a record of kind {found}, not {int(kind)}")
    if length > RECORD_MOST or length != len(payload):
        raise Spoilt(f"it holds {len(payload)} bytes and says {length}")
    if digest != _digest(version, kind, payload):
        raise Spoilt("its checksum is wrong")
    return payload


def read(path: Path, kind: Kind) -> bytes | None:
    """The payload of the record at this place, or None if nothing is there. Raises Spoilt, also for a file
    that is not a plain one of this user's (a link, a pipe, a stranger's, one that others may write), and
    OSError."""
    try:
        # Risk: a pipe in its place would block for ever, and a link lead elsewhere.
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    except OSError as fault:
        raise Spoilt(f"it cannot be opened: {fault.strerror}") from None
    with open(descriptor, "rb") as file:
        told = os.fstat(descriptor)
        if not stat.S_ISREG(told.st_mode):
            raise Spoilt("it is not a plain file")
        if told.st_uid not in (0, os.geteuid()) or told.st_mode & 0o022:
            raise Spoilt("it is another user's, or others may write it")
        if told.st_size > HEAD.size + RECORD_MOST:
            raise Spoilt(f"it is {told.st_size} bytes long")
        return unseal(kind, file.read(HEAD.size + RECORD_MOST + 1))


def trusted(path: Path, kind: Kind) -> bytes | None:
    """The payload, or None: what cannot be trusted is set aside with one line in the log. Raises nothing."""
    try:
        return read(path, kind)
    except (Spoilt, OSError) as why:
        aside = path.with_name(path.name + ".bad")  # one is kept: the latest
        try:
            disk.replace(path, aside)
            done = f"set aside as {aside.name}"
        except OSError as fault:
            done = f"left where it is ({fault.strerror})"
        log.warning("%s is not used: %s; %s", path, why, done)
        return None


def write(path: Path, data: bytes) -> None:
    """Put these bytes in place, all or none, so that a power cut does not tear them. Raises OSError."""
    fresh = path.with_name(f".{path.name}.new")
    disk.remove(fresh)  # left behind by one that was killed, or laid there as a link
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
    """Writes records in one thread of its own, so that a slow disk holds up nobody.

    Each place has one waiting version at most: a newer one takes the place of one that was not begun. A
    failure is logged once and again only after a success; the old record stays.
    """

    def __init__(self, put: Callable[[Path, bytes], None] = write) -> None:
        self._put = put
        self._waiting: dict[Path, bytes | None] = {}  # None: remove it
        self._changed = threading.Condition()
        self._busy = False
        self._ended = False
        self.written = 0
        self.failures = 0
        self.fault: str | None = None  # of the last attempt
        # Risk: a thread that the interpreter waits for at its end, while the disk hangs.
        self._thread = threading.Thread(target=self._work, name="records", daemon=True)
        self._thread.start()

    def put(self, path: Path, data: bytes | None) -> None:
        """Have this written, or removed if None, as soon as the disk allows."""
        with self._changed:
            if path not in self._waiting and len(self._waiting) >= FILES_MOST:
                raise ValueError("a writer looks after few places")
            self._waiting[path] = data
            self._changed.notify_all()

    async def settled(self, within_s: float) -> bool:
        """Wait until nothing is left to write. Whether that was so in time."""
        return await asyncio.to_thread(self._settle, within_s)

    def _settle(self, within_s: float) -> bool:
        with self._changed:
            return self._changed.wait_for(lambda: not self._waiting and not self._busy, within_s)

    def close(self) -> None:
        """Begin nothing more. What the disk still holds up ends with the program."""
        with self._changed:
            self._ended = True
            self._changed.notify_all()

    def _work(self) -> None:
        while True:
            with self._changed:
                self._busy = False
                self._changed.notify_all()
                self._changed.wait_for(lambda: self._waiting or self._ended)
                if self._ended:
                    return
                path = next(iter(self._waiting))
                data = self._waiting.pop(path)
                self._busy = True
            self._one(path, data)

    def _one(self, path: Path, data: bytes | None) -> None:
        try:
            if data is None:
                disk.remove(path)
            else:
                self._put(path, data)
        except OSError as fault:
            self.failures += 1
            if self.fault is None:
                log.warning("%s is not written: %s; the one before stays", path, fault.strerror or fault)
            self.fault = fault.strerror or str(fault)
            return
        self.written += 1
        if self.fault is not None:
            log.info("%s is written again", path)
            self.fault = None
