"""Starts a program of the product with its seams set, and then runs the program's own main.

`python -m sorrelfront.lab.storm.launch -m MODULE ARGUMENTS`, with `SORRELFRONT_STORM_SEAMS` naming the host's
folder of the rig. Three seams: the clock (every part reads the standard library's `time` module by name, the
event loop too), the disk (`daemon.records.disk`), and the command by which the supervisor starts instances
(`daemon.fleet.INSTANCE`), so that these come through here as well. Planted defects, for tests of the
checkers, are set here as well and nowhere else."""

from __future__ import annotations

import mmap
import os
import runpy
import struct
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SEAMS = "SORRELFRONT_STORM_SEAMS"
PLANT = "SORRELFRONT_STORM_PLANT"
CLOCK = "clock"
# Rate, real monotonic ns and told monotonic ns since which it holds, and what the time of day is off by in
# ns.
CLOCK_LAYOUT = struct.Struct("dqqq")
PLANTS = (
    "repeats-unsafe", "forgets-drains", "skips-sync", "ignores-leases", "trusts-old-copies",
    "believes-widened", "wall-lifetimes", "asks-late", "sends-for-gone",
)  # fmt: skip
ASKS_LATE_US = 12_000_000  # of a planted defect: twice what a change may take to count as told
GONE_FOR_S = 2.0
HOSTILE = "hostile-partner"  # no defect of the program's: what a partner's program may do


@dataclass(frozen=True, slots=True)
class Clock:
    """A host's clock as a line over the machine's."""

    rate: float = 1.0
    since_ns: int = 0
    told_ns: int = 0
    off_ns: int = 0

    def monotonic_ns(self, real_ns: int) -> int:
        return self.told_ns + int((real_ns - self.since_ns) * self.rate)

    def stepped(self, by_s: float) -> Clock:
        """The time of day jumps; elapsed time does not."""
        return Clock(self.rate, self.since_ns, self.told_ns, self.off_ns + int(by_s * 1e9))

    def at_rate(self, rate: float, real_ns: int) -> Clock:
        """Runs at another rate from now on, without a jump."""
        return Clock(rate, real_ns, self.monotonic_ns(real_ns), self.off_ns)

    def write(self, folder: Path) -> None:
        data = CLOCK_LAYOUT.pack(self.rate, self.since_ns, self.told_ns, self.off_ns)
        path = folder / CLOCK
        if not path.exists():
            path.write_bytes(data)
        else:
            with path.open("r+b") as file:  # in place: it is mapped
                file.write(data)


def set_clock(folder: Path) -> None:
    """Have this process read time off the host's clock. Risk: a read while it is written mixes two lines; the
    next read is right again."""
    with (folder / CLOCK).open("rb") as file:
        page = mmap.mmap(file.fileno(), CLOCK_LAYOUT.size, access=mmap.ACCESS_READ)
    real_monotonic, real_time = time.monotonic_ns, time.time_ns
    unpack = CLOCK_LAYOUT.unpack_from

    def monotonic_ns() -> int:
        rate, since, told, _ = unpack(page)
        return int(told + (real_monotonic() - since) * rate)

    def time_ns() -> int:
        now = real_monotonic()
        return real_time() - now + monotonic_ns() + int(unpack(page)[3])

    time.monotonic_ns = monotonic_ns
    time.time_ns = time_ns
    time.monotonic = lambda: monotonic_ns() / 1e9
    time.time = lambda: time_ns() / 1e9


def plant(name: str) -> None:
    """Make this process faulty, for a test that the checkers see it."""
    if name == "repeats-unsafe":
        from sorrelfront.decisions import balancer as part
        from sorrelfront.decisions.interface import Outcome

        told = part.Balancer.on_attempt_ended

        def on_attempt_ended(self: Any, ended: Any, now: int) -> Any:
            """Holds every attempt that broke for one that never ran."""
            if ended.outcome not in (Outcome.OK, Outcome.REJECTED, Outcome.UNSENT) and not ended.finished:
                ended = ended._replace(outcome=Outcome.UNREACHABLE)
            return told(self, ended, now)

        part.Balancer.on_attempt_ended = on_attempt_ended  # type: ignore[method-assign,assignment]
    elif name == "forgets-drains":
        from sorrelfront.messages import Update
        from sorrelfront.sources.registry import Discovery

        made, subscribe = Discovery.__init__, Discovery.subscribe

        def make(self: Any, address: Any, revision: int, on_update: Any, *rest: Any) -> None:
            def heard(update: Update) -> None:
                self.storm_told = update if update.complete else getattr(self, "storm_told", update)
                on_update(update)

            made(self, address, revision, heard, *rest)

        def again(self: Any) -> None:
            """Goes back to the whole list that it heard first, once its watch is gone."""
            if getattr(self, "storm_told", None) is not None:
                self._on_update(self.storm_told._replace(complete=True))
            subscribe(self)

        Discovery.__init__ = make  # type: ignore[method-assign,assignment]
        Discovery.subscribe = again  # type: ignore[method-assign]
    elif name == "ignores-leases":
        from sorrelfront.fleet.council import Council, Standing

        def standing(self: Any) -> Standing:
            """Serves on by the version that it has, as if its lease had no end."""
            return Standing.LEASED

        Council.standing = standing  # type: ignore[method-assign]
        Council.may_go_on = lambda self, version: True  # type: ignore[method-assign]
    elif name == "trusts-old-copies":
        from sorrelfront.decisions.fleet.copies import Copies, Levelled

        made_copies = Copies.__init__

        def trusting(self: Any, *told: Any, **more: Any) -> None:
            """Acts by what its own disk has, before any peer was asked."""
            made_copies(self, *told, **more)
            self.level = True
            self._begin()
            self._out.append(Levelled())

        Copies.__init__ = trusting  # type: ignore[method-assign]
    elif name == "believes-widened":
        from sorrelfront.decisions.sites import offers, routes
        from sorrelfront.decisions.sites.offers import Why

        judged = offers.fault

        def fault(*told: Any) -> Any:
            """Takes whatever terms a chain ends with for what its owner gave."""
            why = judged(*told)
            return None if why in (Why.WIDENED, Why.NOT_PASSED_ON, Why.VALLEY) else why

        vars(routes)["fault"] = fault
    elif name == "wall-lifetimes":
        from sorrelfront.daemon import border
        from sorrelfront.sites import carrier, requests

        def now_us() -> int:
            """Counts lifetimes by the time of day."""
            return time.time_ns() // 1_000

        for module in (border, carrier, requests):
            module.now_us = now_us  # type: ignore[attr-defined]
    elif name == "asks-late":
        from sorrelfront.decisions.listing import BackOff

        def failed(self: Any, within_us: int, grace_us: int) -> int:
            """Backs off from the list service for as long as some do, whatever counts as told."""
            return ASKS_LATE_US

        BackOff.failed = failed  # type: ignore[method-assign]
    elif name == "sends-for-gone":
        import asyncio

        from sorrelfront.agent import Agent
        from sorrelfront.net.http import Wire

        abandon = Agent.abandon

        def late(self: Any, held: Any) -> None:
            """Goes on for a client that has left until its answer would have been of use."""
            asyncio.get_running_loop().call_later(GONE_FOR_S, abandon, self, held)

        Agent.abandon = late  # type: ignore[method-assign]
        Wire.hung_up = lambda self: False  # type: ignore[method-assign]
    elif name == HOSTILE:
        from random import Random

        from sorrelfront.decisions.sites.routes import Border
        from sorrelfront.lab.sites.hostile import Hostile

        on_ask = Border.on_ask

        def spoilt(self: Any, *told: Any) -> Any:
            tell = on_ask(self, *told)
            if not hasattr(self, "storm_hostile"):
                self.storm_hostile = Hostile(self._sign, Random(), flood=True)
            return None if tell is None else self.storm_hostile.spoil(self, tell)

        Border.on_ask = spoilt  # type: ignore[method-assign,assignment]
    elif name != "skips-sync":
        raise SystemExit(f"{PLANT}: no defect is called {name!r}; there are {', '.join(PLANTS)}")


def main() -> None:
    folder = Path(os.environ[SEAMS])
    if (folder / CLOCK).exists():
        set_clock(folder)
    from sorrelfront.daemon import fleet, records
    from sorrelfront.lab.storm.disk import LoggedDisk

    planted = os.environ.get(PLANT, "")
    records.disk = LoggedDisk(folder, skip_sync=planted == "skips-sync")
    fleet.INSTANCE = [
        sys.executable,
        "-m",
        "sorrelfront.lab.storm.launch",
        "-m",
        "sorrelfront.daemon.instance",
    ]
    if planted:
        plant(planted)
    _, flag, module, *rest = sys.argv
    assert flag == "-m"
    sys.argv = [module, *rest]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
