"""State on disk: what a fleet is to know again after everything has ended, a power cut included.

Two records in `state_dir`: `fleet` (generation, file in force, failures of each instance) and `learnt`
(what the instances know of the servers, merged). Both are written at a bounded rate by a thread of their
own. What is found there is a hint: it is never trusted unchecked, and never a reason not to start.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from pathlib import Path

import msgspec

from sorrelfront.daemon import records
from sorrelfront.daemon.configuration import FILE_MOST, INSTANCES_MOST
from sorrelfront.daemon.fleet import Fleet, now_us
from sorrelfront.daemon.records import Kind, Spoilt, Writer, seal
from sorrelfront.daemon.replacement import learnt_of
from sorrelfront.decisions.learnt import KEPT_MOST_US, merged

log = logging.getLogger("sorrelfront.daemon")

SETTLE_S = 2.0  # at a stop, for what waits to be written; a disk that hangs holds up nothing for longer


class Failures(msgspec.Struct, frozen=True, array_like=True):
    """Of one instance: failures in a row, and when the last one was seen, in Unix microseconds."""

    count: int
    at_us: int


class Remembered(msgspec.Struct, frozen=True):
    """The `fleet` record."""

    at_us: int
    generation: int
    document: bytes  # the file in force, as it was read
    failures: dict[str, Failures]


def unix_us() -> int:
    return time.time_ns() // 1000


def decode(payload: bytes) -> Remembered:
    """Raises Spoilt."""
    try:
        found = msgspec.msgpack.decode(payload, type=Remembered)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise Spoilt(str(fault)) from None
    if not 0 <= found.generation < 2**53 or len(found.failures) > INSTANCES_MOST:
        raise Spoilt("its figures are out of bounds")
    if len(found.document) > FILE_MOST:
        raise Spoilt("its document is too long")
    return found


def remembered(folder: Path) -> Remembered | None:
    """The `fleet` record of this folder, if it can be trusted. Raises nothing."""
    payload = records.trusted(folder / "fleet", Kind.FLEET)
    if payload is None:
        return None
    try:
        return decode(payload)
    except Spoilt as why:
        log.warning("%s is not used: %s", folder / "fleet", why)
        return None


class State:
    """Keeps one fleet's state in a folder."""

    def __init__(self, folder: Path, fleet: Fleet, writer: Writer) -> None:
        self._folder = folder
        self._fleet = fleet
        self._writer = writer
        self._texts: dict[str, str] = {}  # by instance; the newest of each, and "" for what was found on disk
        self._seen: dict[str, Failures] = {}
        self._last: bytes = b""
        self._next = 0
        self.restored = False

    def restore(self) -> None:
        """Take up what is there. Raises nothing."""
        try:
            self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        except OSError as fault:
            log.warning("%s: state is not kept: %s", self._folder, fault.strerror)
            return
        found = remembered(self._folder)
        if found is not None:
            self._fleet.generation = max(self._fleet.generation, found.generation)
            for name, failures in found.failures.items():
                age = unix_us() - failures.at_us
                self._fleet.decide.on_remembered(name, failures.count, age, now_us())
                self._seen[name] = failures
        payload = records.trusted(self._folder / "learnt", Kind.LEARNT)
        if payload is not None:
            with contextlib.suppress(UnicodeDecodeError):
                text = merged([payload.decode()], unix_us())
                if text:
                    self._texts[""] = text
                    self._fleet.learnt[""] = text
                    self.restored = True
                else:
                    log.warning("%s is not used: it is too old, or says nothing", self._folder / "learnt")

    async def keep(self) -> None:
        """Write what has changed, at the rate that the file in force states, until cancelled."""
        while True:
            await asyncio.sleep(self._fleet.document.daemon["state_every_ms"] / 1e3)
            await self.write()

    async def write(self) -> None:
        """One round: the next instance in turn is asked what it has learnt."""
        ready = [name for name in self._fleet.decide.ready if name in self._fleet.runs]
        self._texts = {name: text for name, text in self._texts.items() if name in ("", *ready)}
        if ready:
            self._next = (self._next + 1) % len(ready)
            name = ready[self._next]
            text = await learnt_of(self._fleet, self._fleet.runs[name])
            if text:
                self._texts[name] = text
                whole = await asyncio.to_thread(merged, [*self._texts.values()], unix_us())
                if whole:
                    # Harm: what one instance knew and none asks for any more goes on in this text, for an
                    # hour.
                    self._texts = {"": whole, name: text}
                    self._fleet.learnt[""] = whole  # for an instance that is started again, too
                    self._writer.put(self._folder / "learnt", seal(Kind.LEARNT, whole.encode()))
        self.write_fleet()

    def write_fleet(self) -> None:
        """Write the `fleet` record if it says something new."""
        now = unix_us()
        for item in self._fleet.decide.standings():
            known = self._seen.get(item.name)
            if not item.failures:
                self._seen.pop(item.name, None)
            elif known is None or known.count != item.failures:
                self._seen[item.name] = Failures(item.failures, now)
        names = set(self._fleet.document.names)
        self._seen = {name: seen for name, seen in self._seen.items() if name in names}
        told = Remembered(0, self._fleet.generation, self._fleet.document.text, dict(self._seen))
        compared = msgspec.msgpack.encode(told)
        if compared == self._last:
            return
        self._last = compared
        whole = msgspec.structs.replace(told, at_us=now)
        self._writer.put(self._folder / "fleet", seal(Kind.FLEET, msgspec.msgpack.encode(whole)))

    def figures(self) -> dict[str, object]:
        """For status."""
        return {
            "folder": str(self._folder), "restored": self.restored, "written": self._writer.written,
            "failures": self._writer.failures, "fault": self._writer.fault,
            "kept_most_s": KEPT_MOST_US // 1_000_000,
        }  # fmt: skip
