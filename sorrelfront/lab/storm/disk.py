"""What a power cut leaves of files, drawn from a seed, and a disk that fails as it is told.

The model, without I/O: a log of what a program did to its files, in order, and what of it had surely reached
the disk. Content is durable up to the last completed fsync of the file; a name (creation, rename, removal) is
durable once its folder has been synced after it. What came later may be there or not: names as far as some
step and no further, as journalling file systems keep them in order, and of content any first part, or none,
or zeros. Sources: fsync(2), rename(2); Pillai et al., "All File Systems Are Not Created Equal" (OSDI 2014).
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

LOG = "disk.log"
TROUBLE = "disk.json"
LOG_MOST = 64 * 1024 * 1024  # bytes; a storm whose programs write more is void


class Op(msgspec.Struct, omit_defaults=True):
    """One step. `create` and `write` name a file by its number; `rename`, `remove` and `folder` by paths.
    `done`: the program holds that this path has durably these bytes (by digest) from here on."""

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
    """What is there after the cut."""

    files: dict[str, bytes]
    known: frozenset[str]  # every path that was ever in use: what is not in `files` is gone
    broken: tuple[str, ...]  # paths whose promise was broken: neither what was held to be durable nor newer


def after_cut(ops: Iterable[Op], rng: np.random.Generator) -> Left:
    """What a power cut right after the last of these steps leaves."""
    files: dict[str, _File] = {}
    names: dict[str, str] = {}  # by path: which file, as the program sees it
    durable: dict[str, str] = {}
    pending: list[tuple[str, str, str | None]] = []  # folder, path, file or None: names since the last sync
    known: set[str] = set()
    written: dict[str, list[bytes]] = {}  # digests that each path has had, in order
    promised: dict[str, bytes] = {}

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
                _settle(durable, [item for item in pending if item[0] == step.path])
                pending = [item for item in pending if item[0] != step.path]
            case "done":
                promised[step.path] = step.data
    _settle(durable, pending[: int(rng.integers(0, len(pending) + 1))])
    left = {path: _cut(files[file], rng) for path, file in durable.items()}
    broken = []
    for path, digest in promised.items():
        after = written.get(path, [])
        newest = len(after) - 1 - after[::-1].index(digest) if digest in after else len(after)
        if path not in left or _digest(left[path]) not in after[newest:]:
            broken.append(path)
    return Left(left, frozenset(known), tuple(sorted(broken)))


def _settle(durable: dict[str, str], steps: list[tuple[str, str, str | None]]) -> None:
    for _, path, file in steps:
        if file is None:
            durable.pop(path, None)
        else:
            durable[path] = file


def _cut(file: _File, rng: np.random.Generator) -> bytes:
    """The content that is left of a file: at least what was synced."""
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
            return whole[:kept] + bytes(len(whole) - kept)  # its length got there, its content did not


def _digest(data: bytes | bytearray) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


def read_log(path: Path) -> list[Op]:
    """The steps that a host's programs logged; a last line that is cut off is left out. Raises ValueError if
    there are too many."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return []
    if len(data) > LOG_MOST:
        raise ValueError(f"{path} is longer than {LOG_MOST} bytes")
    decoder = msgspec.json.Decoder(Op)
    return [decoder.decode(line) for line in data.split(b"\n")[:-1]]


def cut_power(folder: Path, rng: np.random.Generator) -> Left:
    """Put a host's files to what a power cut leaves, now that all its processes are gone, and begin its log
    anew from there."""
    left = after_cut(read_log(folder / LOG), rng)
    for path in left.known:
        place = Path(path)
        with contextlib.suppress(OSError):
            place.unlink(missing_ok=True)
        if path in left.files and place.parent.is_dir():
            place.write_bytes(left.files[path])
            place.chmod(0o600)
    lines = [
        msgspec.json.encode(Op("base", path=path, data=data)) + b"\n" for path, data in left.files.items()
    ]
    (folder / LOG).write_bytes(b"".join(lines))
    return left


@dataclass(frozen=True, slots=True)
class Trouble:
    """What a disk does to whoever writes."""

    full: bool = False
    readonly: bool = False
    sync_s: float = 0.0  # how long a sync takes


def tell_trouble(folder: Path, trouble: Trouble) -> None:
    """Have the programs of this host meet it from their next step on."""
    fresh = folder / f"{TROUBLE}.new"
    fresh.write_bytes(msgspec.json.encode(trouble))
    fresh.replace(folder / TROUBLE)


class LoggedDisk(Disk):
    """The program's disk in a storm: does as the real one, logs each step, and fails as it is told.

    A step that may have reached the disk is logged before it is done, a sync after it: whatever moment the
    power goes, the log claims no more than was so.
    """

    def __init__(self, folder: Path, skip_sync: bool = False) -> None:
        """`skip_sync`: a planted defect, a program that leaves its syncs out."""
        self._folder = folder
        self._log = os.open(folder / LOG, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self._files: dict[int, str] = {}
        self._content: dict[str, bytes] = {}  # by file, what it has been given
        self._paths: dict[str, str] = {}  # by path, the file that lies there
        # by path: digest of what was put there since its folder's last sync
        self._renamed: dict[str, bytes] = {}
        self._count = 0
        self._skip_sync = skip_sync

    def _note(self, op: Op) -> None:
        os.write(self._log, msgspec.json.encode(op) + b"\n")  # one write: whole, in order (O_APPEND)

    def _trouble(self) -> Trouble:
        try:
            return msgspec.json.decode((self._folder / TROUBLE).read_bytes(), type=Trouble)
        except FileNotFoundError:
            return Trouble()

    def _writable(self) -> Trouble:
        trouble = self._trouble()
        if trouble.readonly:
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))
        return trouble

    def create(self, path: Path) -> int:
        self._writable()
        descriptor = super().create(path)
        self._count += 1
        file = self._files[descriptor] = f"{os.getpid()}.{time.monotonic_ns()}.{self._count}"
        self._content[file], self._paths[str(path)] = b"", file
        self._note(Op("create", file=file, path=str(path)))
        return descriptor

    def append(self, descriptor: int, data: bytes) -> None:
        if self._writable().full:
            part = data[: len(data) // 2]
            self._note(Op("write", file=self._files[descriptor], data=part))
            super().append(descriptor, part)
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._content[self._files[descriptor]] += data
        self._note(Op("write", file=self._files[descriptor], data=data))
        super().append(descriptor, data)

    def sync(self, descriptor: int) -> None:
        if self._skip_sync:
            return
        trouble = self._trouble()
        if trouble.sync_s:
            time.sleep(trouble.sync_s)
        super().sync(descriptor)
        self._note(Op("sync", file=self._files[descriptor]))

    def close(self, descriptor: int) -> None:
        self._files.pop(descriptor, None)
        super().close(descriptor)

    def replace(self, old: Path, new: Path) -> None:
        self._writable()
        self._note(Op("rename", path=str(old), to=str(new)))
        super().replace(old, new)
        file = self._paths.pop(str(old), None)
        if file is not None:
            self._renamed[str(new)] = _digest(self._content.pop(file))

    def remove(self, path: Path) -> None:
        self._writable()
        if path.exists():
            self._note(Op("remove", path=str(path)))
            self._renamed.pop(str(path), None)
        super().remove(path)

    def sync_folder(self, path: Path) -> None:
        trouble = self._trouble()
        if trouble.sync_s:
            time.sleep(trouble.sync_s)
        super().sync_folder(path)
        self._note(Op("folder", path=str(path)))
        # A program that syncs a folder last holds what it has put there for durable from here on.
        for place in [place for place in self._renamed if Path(place).parent == path]:
            self._note(Op("done", path=place, data=self._renamed.pop(place)))


def steps_of(*steps: tuple[Any, ...]) -> list[Op]:
    """Shorthand: ("create", "1", "/a/x"), ("write", "1", b"..."), ("sync", "1"), ("rename", "/a/x", "/a/y"),
    ("remove", path), ("folder", path), ("done", path, content)."""
    made = []
    for kind, *rest in steps:
        match kind:
            case "create":
                made.append(Op("create", file=rest[0], path=rest[1]))
            case "write":
                made.append(Op("write", file=rest[0], data=rest[1]))
            case "sync":
                made.append(Op("sync", file=rest[0]))
            case "rename":
                made.append(Op("rename", path=rest[0], to=rest[1]))
            case "done":
                made.append(Op("done", path=rest[0], data=_digest(rest[1])))
            case _:
                made.append(Op(kind, path=rest[0], data=rest[1] if len(rest) > 1 else b""))
    return made
