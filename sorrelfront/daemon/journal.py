"""The fleet's journal: a list of its processes, for the next supervisor.

It is stored in the run folder beside the control socket, with the lock that only one supervisor holds and the
sockets of the instances. It is a hint: the reader verifies with the kernel that each process is still the one
that was recorded. A second copy is in a memory descriptor that a service manager may keep (`StateMemory`).
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
from sorrelfront.daemon.configuration import MAX_INSTANCES
from sorrelfront.errors import SorrelfrontError

log = logging.getLogger("sorrelfront.daemon")

MAX_ENTRIES = 4 * MAX_INSTANCES  # a fleet, its replacement, and the draining instances of both
JOURNAL = "journal"
LOCK = "lock"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One process: instance name, run number, process id, and start time in clock ticks since boot."""

    name: str
    run: int
    pid: int
    ticks: int


class Journal(msgspec.Struct, frozen=True):
    """Processes and configuration that one supervisor records for the next."""

    boot: str
    generation: int
    digest: str  # of the current configuration
    entries: list[Entry]


class RunFolderError(SorrelfrontError):
    """The run folder cannot be used; the text is one line."""

    remedy = "Give the folder beside the control socket to the daemon's user alone, with mode 0700."


def encode(journal: Journal) -> bytes:
    """Encode a journal as a record."""
    return records.encode_record(records.RecordKind.JOURNAL, msgspec.msgpack.encode(journal))


def decode(payload: bytes) -> Journal:
    """Decode the payload of a journal record. Raises InvalidRecord if it is invalid."""
    try:
        journal = msgspec.msgpack.decode(payload, type=Journal)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise records.InvalidRecord(str(fault)) from None
    if len(journal.entries) > MAX_ENTRIES or not 0 <= journal.generation < 2**53:
        raise records.InvalidRecord("its figures are out of bounds")
    return journal


class RunFolder:
    """The folder with one daemon's instance sockets, journal and lock."""

    def __init__(self, path: Path) -> None:
        """Create the folder with access for this user only. Raises RunFolderError."""
        self.path = path
        self._lock = -1
        try:
            path.mkdir(mode=0o700, exist_ok=True)
            status = path.lstat()
        except OSError as fault:
            raise RunFolderError(f"{path}: {fault.strerror}") from None
        if not stat.S_ISDIR(status.st_mode) or status.st_uid != os.geteuid() or status.st_mode & 0o077:
            # Otherwise another user could place a socket there that answers instead of an instance.
            raise RunFolderError(
                f"{path}: must be a folder of this user's that nobody else may enter (mode 0700)"
            )

    def lock(self) -> bool:
        """Try to take the lock of the fleet's supervisor; return whether this program holds it.

        The kernel releases the lock when the program ends, however it ends (flock(2)). Raises RunFolderError.
        """
        if self._lock >= 0:
            return True
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
            descriptor = os.open(self.path / LOCK, flags, 0o600)
        except OSError as fault:
            raise RunFolderError(f"{self.path / LOCK}: {fault.strerror}") from None
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self._lock = descriptor
        return True

    def unlock(self) -> None:
        """Release the lock, if it is held."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    @property
    def journal(self) -> Path:
        """Path of the journal."""
        return self.path / JOURNAL

    def read(self) -> Journal | None:
        """Read the journal; None if there is no valid one. An unreadable file is renamed. Raises nothing."""
        payload = records.read_or_set_aside(self.journal, records.RecordKind.JOURNAL)
        if payload is None:
            return None
        try:
            return decode(payload)
        except records.InvalidRecord as why:
            log.warning("%s is not used: %s", self.journal, why)
            return None

    def instance_sockets(self) -> list[Path]:
        """Return the paths of the instance sockets, at most `MAX_ENTRIES`."""
        try:
            return sorted(self.path.glob("*-*.sock"))[:MAX_ENTRIES]
        except OSError:
            return []


class StateMemory:
    """A journal in a memory descriptor that a service manager keeps while no supervisor runs.

    It has two slots that are written in turn, each with a sequence number. If a supervisor is killed during a
    write, the other slot is still valid.
    """

    SLOT_BYTES = 256 * 1024  # bytes per slot
    SLOT_HEADER = struct.Struct(">QI")  # sequence number, length

    def __init__(self, descriptor: int = -1) -> None:
        """Use a descriptor that was kept, or create a new one. Raises OSError."""
        self._sequence = 0
        if descriptor < 0:
            descriptor = os.memfd_create("sorrelfront-state", os.MFD_CLOEXEC)
            os.ftruncate(descriptor, 2 * self.SLOT_BYTES)
        self.descriptor = descriptor

    def write(self, data: bytes) -> None:
        """Write an encoded journal; one that is too long is skipped, and the previous one stays."""
        if len(data) > self.SLOT_BYTES - self.SLOT_HEADER.size:
            return
        self._sequence += 1
        at = self._sequence % 2 * self.SLOT_BYTES
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, self.SLOT_HEADER.pack(self._sequence, len(data)) + data, at)

    def read(self) -> Journal | None:
        """Return the newest valid journal; None if neither slot is valid."""
        best: tuple[int, Journal] | None = None
        for at in (0, self.SLOT_BYTES):
            try:
                count, length = self.SLOT_HEADER.unpack(os.pread(self.descriptor, self.SLOT_HEADER.size, at))
                if not 0 < length <= self.SLOT_BYTES - self.SLOT_HEADER.size or (best and best[0] >= count):
                    continue
                data = os.pread(self.descriptor, length, at + self.SLOT_HEADER.size)
                best = (count, decode(records.decode_record(records.RecordKind.JOURNAL, data)))
            except (OSError, struct.error, records.InvalidRecord):
                continue
        if best is None:
            return None
        self._sequence = min(best[0], 2**62)
        return best[1]

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self.descriptor)
