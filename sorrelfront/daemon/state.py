"""State on disk: what a fleet restores after all processes have ended, also after a power cut.

There are two records in `state_dir`: `fleet` (generation, current configuration, failures of each instance)
and `learnt` (the instances' merged estimates of the servers). Both are written at a bounded rate by a
separate thread. The stored state is a hint: it is validated before use, and never prevents a start.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from pathlib import Path

import msgspec

from sorrelfront.daemon import records
from sorrelfront.daemon.configuration import MAX_FILE_BYTES, MAX_INSTANCES
from sorrelfront.daemon.fleet import Fleet, now_us
from sorrelfront.daemon.records import InvalidRecord, RecordKind, Writer, encode_record
from sorrelfront.daemon.replacement import request_estimates
from sorrelfront.decisions.snapshots import MAX_STORED_AGE_US, merge_snapshots

log = logging.getLogger("sorrelfront.daemon")

WRITE_TIMEOUT_S = 2.0  # for pending writes at a stop; a disk that hangs delays it no longer


class Failures(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive failures of one instance, and the time of the last one in Unix microseconds."""

    count: int
    at_us: int


class Remembered(msgspec.Struct, frozen=True):
    """Contents of the `fleet` record."""

    at_us: int
    generation: int
    document: bytes  # the current configuration file, as it was read
    failures: dict[str, Failures]


def unix_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


def decode(payload: bytes) -> Remembered:
    """Decode the payload of a `fleet` record. Raises InvalidRecord if it is invalid."""
    try:
        found = msgspec.msgpack.decode(payload, type=Remembered)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise InvalidRecord(str(fault)) from None
    if not 0 <= found.generation < 2**53 or len(found.failures) > MAX_INSTANCES:
        raise InvalidRecord("its figures are out of bounds")
    if len(found.document) > MAX_FILE_BYTES:
        raise InvalidRecord("its document is too long")
    return found


def read_fleet_record(folder: Path) -> Remembered | None:
    """Return the `fleet` record of this folder, or None if there is no valid one. Raises nothing."""
    payload = records.read_or_set_aside(folder / "fleet", RecordKind.FLEET)
    if payload is None:
        return None
    try:
        return decode(payload)
    except InvalidRecord as why:
        log.warning("%s is not used: %s", folder / "fleet", why)
        return None


class State:
    """Stores one fleet's state in a folder."""

    def __init__(self, folder: Path, fleet: Fleet, writer: Writer) -> None:
        self._folder = folder
        self._fleet = fleet
        self._writer = writer
        self._snapshots: dict[str, str] = {}  # newest snapshot by instance; "" for the one read from disk
        self._failures: dict[str, Failures] = {}
        self._last_written: bytes = b""
        self._next_index = 0
        self.restored = False

    def restore(self) -> None:
        """Restore the stored state, if there is a valid one. Raises nothing."""
        try:
            self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as fault:
            log.warning("%s: state is not kept: %s", self._folder, fault.strerror)
            return
        found = read_fleet_record(self._folder)
        if found is not None:
            self._fleet.generation = max(self._fleet.generation, found.generation)
            for name, failures in found.failures.items():
                age = unix_us() - failures.at_us
                self._fleet.supervisor.restore_failures(name, failures.count, age, now_us())
                self._failures[name] = failures
        payload = records.read_or_set_aside(self._folder / "learnt", RecordKind.LEARNT)
        if payload is not None:
            with contextlib.suppress(UnicodeDecodeError):
                text = merge_snapshots([payload.decode()], unix_us())
                if text:
                    self._snapshots[""] = text
                    self._fleet.estimates[""] = text
                    self.restored = True
                else:
                    log.warning("%s is not used: it is too old, or empty", self._folder / "learnt")

    async def keep(self) -> None:
        """Write changes every `state_every_ms` of the current configuration, until cancelled."""
        while True:
            await asyncio.sleep(self._fleet.document.daemon["state_every_ms"] / 1e3)
            await self.write()

    async def write(self) -> None:
        """Fetch the snapshot of the next instance in turn, and write the records that have changed."""
        ready = [name for name in self._fleet.supervisor.ready if name in self._fleet.runs]
        self._snapshots = {name: text for name, text in self._snapshots.items() if name in ("", *ready)}
        if ready:
            self._next_index = (self._next_index + 1) % len(ready)
            name = ready[self._next_index]
            text = await request_estimates(self._fleet, self._fleet.runs[name])
            if text:
                self._snapshots[name] = text
                combined = await asyncio.to_thread(merge_snapshots, [*self._snapshots.values()], unix_us())
                if combined:
                    # What one instance knew and none updates any more stays in this merged snapshot for an
                    # hour.
                    self._snapshots = {"": combined, name: text}
                    self._fleet.estimates[""] = combined  # also for instances that are restarted
                    self._writer.put(
                        self._folder / "learnt", encode_record(RecordKind.LEARNT, combined.encode())
                    )
        self.write_fleet()

    def write_fleet(self) -> None:
        """Write the `fleet` record if it has changed."""
        now = unix_us()
        for item in self._fleet.supervisor.instance_statuses():
            known = self._failures.get(item.name)
            if not item.failures:
                self._failures.pop(item.name, None)
            elif known is None or known.count != item.failures:
                self._failures[item.name] = Failures(item.failures, now)
        names = set(self._fleet.document.instance_names)
        self._failures = {name: seen for name, seen in self._failures.items() if name in names}
        record = Remembered(0, self._fleet.generation, self._fleet.document.text, dict(self._failures))
        compared = msgspec.msgpack.encode(record)
        if compared == self._last_written:
            return
        self._last_written = compared
        stamped = msgspec.structs.replace(record, at_us=now)
        self._writer.put(
            self._folder / "fleet", encode_record(RecordKind.FLEET, msgspec.msgpack.encode(stamped))
        )

    def status(self) -> dict[str, object]:
        """Return the state of the store for `ctl status`."""
        return {
            "folder": str(self._folder), "restored": self.restored, "written": self._writer.written,
            "failures": self._writer.failures, "fault": self._writer.fault,
            "kept_most_s": MAX_STORED_AGE_US // 1_000_000,
        }  # fmt: skip
