"""The fleet's journal: which processes there are, for the supervisor that comes next.

It lies in the run folder beside the control socket, with the lock that only one supervisor holds and the
doors of the instances. It is a hint: whoever reads it asks the kernel whether each process is the one that
was meant. A second copy lies in a memory descriptor that a service manager may keep (`StateMemory`).
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import stat
import struct
from pathlib import Path

import msgspec

from sorrelfront.daemon import records
from sorrelfront.daemon.configuration import INSTANCES_MOST
from sorrelfront.errors import SorrelfrontError

log = logging.getLogger("sorrelfront.daemon")

ENTRIES_MOST = 4 * INSTANCES_MOST  # beside a fleet its replacement, and what drains of both
JOURNAL = "journal"
LOCK = "lock"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One process: instance, number of its run, process number, and its start in ticks since the boot."""

    name: str
    run: int
    pid: int
    ticks: int


class Journal(msgspec.Struct, frozen=True):
    """What one supervisor leaves to the next."""

    boot: str
    generation: int
    digest: str  # of the document in force
    entries: list[Entry]


class NoFolder(SorrelfrontError):
    """A run folder that cannot be used, in one line."""

    remedy = "Give the folder beside the control socket to the daemon's user alone, with mode 0700."


def encode(journal: Journal) -> bytes:
    return records.seal(records.Kind.JOURNAL, msgspec.msgpack.encode(journal))


def decode(payload: bytes) -> Journal:
    """Raises Spoilt."""
    try:
        journal = msgspec.msgpack.decode(payload, type=Journal)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise records.Spoilt(str(fault)) from None
    if len(journal.entries) > ENTRIES_MOST or not 0 <= journal.generation < 2**53:
        raise records.Spoilt("its figures are out of bounds")
    return journal


class RunFolder:
    """The folder of one daemon's doors, journal and lock."""

    def __init__(self, path: Path) -> None:
        """Makes it, for this user alone. Raises NoFolder."""
        self.path = path
        self._lock = -1
        try:
            path.mkdir(mode=0o700, exist_ok=True)
            told = path.lstat()
        except OSError as fault:
            raise NoFolder(f"{path}: {fault.strerror}") from None
        if not stat.S_ISDIR(told.st_mode) or told.st_uid != os.geteuid() or told.st_mode & 0o077:
            # Risk: another user lays a socket there that answers in an instance's place.
            raise NoFolder(f"{path}: must be a folder of this user's that nobody else may enter (mode 0700)")

    def lock(self) -> bool:
        """Whether this program is the one that looks after the fleet. The kernel drops the lock when it ends,
        however it ends (flock(2)). Raises NoFolder."""
        if self._lock >= 0:
            return True
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
            descriptor = os.open(self.path / LOCK, flags, 0o600)
        except OSError as fault:
            raise NoFolder(f"{self.path / LOCK}: {fault.strerror}") from None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self._lock = descriptor
        return True

    def unlock(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    @property
    def journal(self) -> Path:
        return self.path / JOURNAL

    def read(self) -> Journal | None:
        """Raises nothing; what cannot be trusted is set aside."""
        payload = records.trusted(self.journal, records.Kind.JOURNAL)
        if payload is None:
            return None
        try:
            return decode(payload)
        except records.Spoilt as why:
            log.warning("%s is not used: %s", self.journal, why)
            return None

    def doors(self) -> list[Path]:
        """The sockets that lie here, a bounded number."""
        try:
            return sorted(self.path.glob("*-*.sock"))[:ENTRIES_MOST]
        except OSError:
            return []


class StateMemory:
    """A journal in a memory descriptor, for a service manager to keep while no supervisor runs.

    It has two places that are written in turn, each with a count in front. Risk: a supervisor is killed in
    the middle of a write; then the other place is whole.
    """

    PLACE = 256 * 1024  # bytes of each
    HEAD = struct.Struct(">QI")  # count, length

    def __init__(self, descriptor: int = -1) -> None:
        """On a descriptor that was kept, or on a new one. Raises OSError."""
        self._count = 0
        if descriptor < 0:
            descriptor = os.memfd_create("sorrelfront-state", os.MFD_CLOEXEC)
            os.ftruncate(descriptor, 2 * self.PLACE)
        self.descriptor = descriptor

    def write(self, data: bytes) -> None:
        """Left out if it is too long for its place: then the one before stays."""
        if len(data) > self.PLACE - self.HEAD.size:
            return
        self._count += 1
        at = self._count % 2 * self.PLACE
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, self.HEAD.pack(self._count, len(data)) + data, at)

    def read(self) -> Journal | None:
        """The newest that is whole; None if neither is."""
        best: tuple[int, Journal] | None = None
        for at in (0, self.PLACE):
            try:
                count, length = self.HEAD.unpack(os.pread(self.descriptor, self.HEAD.size, at))
                if not 0 < length <= self.PLACE - self.HEAD.size or (best and best[0] >= count):
                    continue
                data = os.pread(self.descriptor, length, at + self.HEAD.size)
                best = (count, decode(records.unseal(records.Kind.JOURNAL, data)))
            except (OSError, struct.error, records.Spoilt):
                continue
        if best is None:
            return None
        self._count = min(best[0], 2**62)
        return best[1]

    def close(self) -> None:
        os.close(self.descriptor)
