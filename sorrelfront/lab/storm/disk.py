"""Simulated power cuts that lose unsynced writes, drawn from a seed, and a disk with injected faults.

The model does no I/O: it takes a log of what a program did to its files, in order, and of what had certainly
reached the disk. Content is durable up to the last completed fsync of the file; a directory entry (creation,
rename, removal) is durable once its folder has been synced after it. Later changes may or may not survive:
directory entries up to some step and none after it, because journalling file systems keep them in order, and
content as any prefix, or not at all, or as zeros. Sources: fsync(2), rename(2); Pillai et al., "All File
Systems Are Not Created Equal" (OSDI 2014).
"""

from __future__ import annotations

import contextlib
import errno
import hashlib
import os
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import msgspec
import numpy as np

from sorrelfront.daemon.records import Disk

LOG_FILE = "disk.log"
FAULTS_FILE = "disk.json"
MAX_LOG_BYTES = 64 * 1024 * 1024  # a storm whose programs log more is void


class Op(msgspec.Struct, omit_defaults=True):
    """One logged file operation.

    `create`, `write` and `sync` name a file by its number; `rename`, `remove` and `folder` use paths. `done`
    says that from here on the program relies on this path having these bytes (by digest) durably.
    """

    op: Literal["base", "create", "write", "sync", "rename", "remove", "folder", "done"]
    file: str = ""
    path: str = ""
    to: str = ""
    data: bytes = b""


@dataclass(slots=True)
class _File:
    content: bytearray = field(default_factory=bytearray)
    durable: int = 0


@dataclass(frozen=True, slots=True)
class Left:
    """The files that are left after a power cut."""

    files: dict[str, bytes]
    known: frozenset[str]  # every path that was ever in use; one that is not in `files` was lost
    broken: tuple[str, ...]  # paths with neither the content that was reported durable nor a newer one


def state_after_cut(ops: Iterable[Op], rng: np.random.Generator) -> Left:
    """Return what is left after a power cut that follows the last of these operations."""
    files: dict[str, _File] = {}
    names: dict[str, str] = {}  # path to file, as the program sees it
    durable: dict[str, str] = {}
    pending: list[tuple[str, str, str | None]] = []  # folder, path, file or None: unsynced names
    known: set[str] = set()
    written: dict[str, list[bytes]] = {}  # digests of each path's contents, in order
    reported_durable: dict[str, bytes] = {}

    def name(path: str, file: str | None) -> None:
        known.add(path)
        if file is None:
            names.pop(path, None)
        else:
            names[path] = file
            written.setdefault(path, []).append(_digest(files[file].content))
        pending.append((str(Path(path).parent), path, file))

    for step in ops:
        match step.op:
            case "base":
                files[step.path] = _File(bytearray(step.data), len(step.data))
                known.add(step.path)
                names[step.path] = durable[step.path] = step.path
                written.setdefault(step.path, []).append(_digest(step.data))
            case "create":
                files[step.file] = _File()
                name(step.path, step.file)
            case "write":
                files[step.file].content += step.data
            case "sync":
                files[step.file].durable = len(files[step.file].content)
            case "rename":
                moved = names.get(step.path)
                name(step.path, None)
                if moved is not None:
                    name(step.to, moved)
            case "remove":
                name(step.path, None)
            case "folder":
                _apply_names(durable, [item for item in pending if item[0] == step.path])
                pending = [item for item in pending if item[0] != step.path]
            case "done":
                reported_durable[step.path] = step.data
    _apply_names(durable, pending[: int(rng.integers(0, len(pending) + 1))])
    left = {path: _surviving_content(files[file], rng) for path, file in durable.items()}
    broken = []
    for path, digest in reported_durable.items():
        after = written.get(path, [])
        newest = len(after) - 1 - after[::-1].index(digest) if digest in after else len(after)
        if path not in left or _digest(left[path]) not in after[newest:]:
            broken.append(path)
    return Left(left, frozenset(known), tuple(sorted(broken)))


def _apply_names(durable: dict[str, str], steps: list[tuple[str, str, str | None]]) -> None:
    for _, path, file in steps:
        if file is None:
            durable.pop(path, None)
        else:
            durable[path] = file


def _surviving_content(file: _File, rng: np.random.Generator) -> bytes:
    """Return what is left of a file's content: at least what was synced."""
    whole = bytes(file.content)
    extra = len(whole) - file.durable
    if not extra:
        return whole
    kept = file.durable + int(rng.integers(0, extra + 1))
    match int(rng.integers(0, 3)):
        case 0:
            return whole[: file.durable]
        case 1:
            return whole[:kept]
        case _:
            return whole[:kept] + bytes(len(whole) - kept)  # the length was written, the data was not


def _digest(data: bytes | bytearray) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


def read_log(path: Path) -> list[Op]:
    """Read the operations that the programs of a host logged; a truncated last line is ignored.

    Raises ValueError if the log is longer than `MAX_LOG_BYTES`.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    if len(data) > MAX_LOG_BYTES:
        raise ValueError(f"{path} is longer than {MAX_LOG_BYTES} bytes")
    decoder = msgspec.json.Decoder(Op)
    return [decoder.decode(line) for line in data.split(b"\n")[:-1]]


def cut_power(folder: Path, rng: np.random.Generator) -> Left:
    """Replace a host's files by what a power cut leaves, and restart its log from that state.

    All processes of the host must have ended.
    """
    left = state_after_cut(read_log(folder / LOG_FILE), rng)
    for path in left.known:
        target = Path(path)
        with contextlib.suppress(OSError):
            target.unlink(missing_ok=True)
        if path in left.files and target.parent.is_dir():
            target.write_bytes(left.files[path])
            target.chmod(0o600)
    lines = [
        msgspec.json.encode(Op("base", path=path, data=data)) + b"\n" for path, data in left.files.items()
    ]
    (folder / LOG_FILE).write_bytes(b"".join(lines))
    return left


@dataclass(frozen=True, slots=True)
class DiskFaults:
    """The faults that a disk has for its writers."""

    full: bool = False
    readonly: bool = False
    sync_s: float = 0.0  # how long a sync takes


def set_disk_faults(folder: Path, faults: DiskFaults) -> None:
    """Apply these faults to the programs of this host from their next operation on."""
    temporary = folder / f"{FAULTS_FILE}.new"
    temporary.write_bytes(msgspec.json.encode(faults))
    temporary.replace(folder / FAULTS_FILE)


class LoggedDisk(Disk):
    """The disk of a program in a storm: does real I/O, logs each operation and injects faults.

    An operation is logged before it is done and a sync after it. So at any moment of a power cut the log
    claims no more durability than there was.
    """

    def __init__(self, folder: Path, skip_sync: bool = False) -> None:
        """Open the log in `folder`; `skip_sync` plants a defect, a program that leaves out its syncs."""
        self._folder = folder
        self._log = os.open(folder / LOG_FILE, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self._files: dict[int, str] = {}
        self._content: dict[str, bytes] = {}  # by file: its content
        self._paths: dict[str, str] = {}  # by path: the file there
        # by path: digest of what was renamed to it since the last sync of its folder
        self._renamed: dict[str, bytes] = {}
        self._count = 0
        self._skip_sync = skip_sync

    def _append_log(self, op: Op) -> None:
        # A single write with O_APPEND, so that lines stay whole and in order.
        os.write(self._log, msgspec.json.encode(op) + b"\n")

    def _read_faults(self) -> DiskFaults:
        try:
            return msgspec.json.decode((self._folder / FAULTS_FILE).read_bytes(), type=DiskFaults)
        except FileNotFoundError:
            return DiskFaults()

    def _require_writable(self) -> DiskFaults:
        faults = self._read_faults()
        if faults.readonly:
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))
        return faults

    def create(self, path: Path) -> int:
        """Log and create a file; raises OSError (EROFS) on a read-only disk."""
        self._require_writable()
        descriptor = super().create(path)
        self._count += 1
        file = self._files[descriptor] = f"{os.getpid()}.{time.monotonic_ns()}.{self._count}"
        self._content[file], self._paths[str(path)] = b"", file
        self._append_log(Op("create", file=file, path=str(path)))
        return descriptor

    def append(self, descriptor: int, data: bytes) -> None:
        """Log and write the data; a full disk takes half of it and raises OSError (ENOSPC)."""
        if self._require_writable().full:
            part = data[: len(data) // 2]
            self._append_log(Op("write", file=self._files[descriptor], data=part))
            super().append(descriptor, part)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._content[self._files[descriptor]] += data
        self._append_log(Op("write", file=self._files[descriptor], data=data))
        super().append(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Sync the file, after the delay of a slow disk, and log it."""
        if self._skip_sync:
            return
        faults = self._read_faults()
        if faults.sync_s:
            time.sleep(faults.sync_s)
        super().sync(descriptor)
        self._append_log(Op("sync", file=self._files[descriptor]))

    def close(self, descriptor: int) -> None:
        """Close the descriptor and forget which file it was."""
        self._files.pop(descriptor, None)
        super().close(descriptor)

    def replace(self, old: Path, new: Path) -> None:
        """Log and do a rename; raises OSError (EROFS) on a read-only disk."""
        self._require_writable()
        self._append_log(Op("rename", path=str(old), to=str(new)))
        super().replace(old, new)
        file = self._paths.pop(str(old), None)
        if file is not None:
            self._renamed[str(new)] = _digest(self._content.pop(file))

    def remove(self, path: Path) -> None:
        """Log and remove the file, if there is one; raises OSError (EROFS) on a read-only disk."""
        self._require_writable()
        if path.exists():
            self._append_log(Op("remove", path=str(path)))
            self._renamed.pop(str(path), None)
        super().remove(path)

    def sync_folder(self, path: Path) -> None:
        """Sync the folder, and log it and what the program now relies on."""
        faults = self._read_faults()
        if faults.sync_s:
            time.sleep(faults.sync_s)
        super().sync_folder(path)
        self._append_log(Op("folder", path=str(path)))
        # The folder sync is a program's last step: from now on it relies on what it renamed into the folder.
        for target in [target for target in self._renamed if Path(target).parent == path]:
            self._append_log(Op("done", path=target, data=self._renamed.pop(target)))


def make_ops(*steps: tuple[Any, ...]) -> list[Op]:
    """Build operations from short tuples.

    Forms: ("create", "1", "/a/x"), ("write", "1", b"..."), ("sync", "1"), ("rename", "/a/x", "/a/y"),
    ("remove", path), ("folder", path), ("done", path, content).
    """
    ops = []
    for kind, *rest in steps:
        match kind:
            case "create":
                ops.append(Op("create", file=rest[0], path=rest[1]))
            case "write":
                ops.append(Op("write", file=rest[0], data=rest[1]))
            case "sync":
                ops.append(Op("sync", file=rest[0]))
            case "rename":
                ops.append(Op("rename", path=rest[0], to=rest[1]))
            case "done":
                ops.append(Op("done", path=rest[0], data=_digest(rest[1])))
            case _:
                ops.append(Op(kind, path=rest[0], data=rest[1] if len(rest) > 1 else b""))
    return ops
