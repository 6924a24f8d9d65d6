"""Launcher for storms: replaces parts of a program (seams), then runs the program's own main.

`python -m sorrelfront.lab.storm.launch -m MODULE ARGUMENTS`, with `SORRELFRONT_STORM_SEAMS` naming the host's
folder in the harness. There are three seams: the clock (all code, including the event loop, looks up the
functions of the standard library's `time` module by name), the disk (`daemon.records.disk`), and the command
with which the supervisor starts instances (`daemon.fleet.INSTANCE_COMMAND`), so that they use this launcher
as well. Planted defects, which test the checkers, are set only here.
"""

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
# Rate, real and simulated monotonic time in ns from which the rate applies, offset of the time of day in ns.
CLOCK_LAYOUT = struct.Struct("dqqq")
PLANTS = (
    "repeats-unsafe", "forgets-drains", "skips-sync", "ignores-leases", "trusts-old-copies",
    "believes-widened", "wall-lifetimes", "asks-late", "sends-for-gone",
)  # fmt: skip
ASKS_LATE_US = 12_000_000  # of a planted defect: twice the time after which a change counts as told
ABANDON_DELAY_S = 2.0
HOSTILE = "hostile-partner"  # not a defect of the program: what the program of a partner might do


@dataclass(frozen=True, slots=True)
class Clock:
    """A host's clock as a linear function of the machine's monotonic clock."""

    rate: float = 1.0
    since_ns: int = 0
    simulated_ns: int = 0
    offset_ns: int = 0

    def monotonic_ns(self, real_ns: int) -> int:
        """Return the host's monotonic time at this real monotonic time, both in ns."""
        return self.simulated_ns + int((real_ns - self.since_ns) * self.rate)

    def stepped(self, by_s: float) -> Clock:
        """Return a clock whose time of day is stepped by `by_s` seconds; its monotonic time is not."""
        return Clock(self.rate, self.since_ns, self.simulated_ns, self.offset_ns + int(by_s * 1e9))

    def at_rate(self, rate: float, real_ns: int) -> Clock:
        """Return a clock that runs at another rate from `real_ns` on, without a step."""
        return Clock(rate, real_ns, self.monotonic_ns(real_ns), self.offset_ns)

    def write(self, folder: Path) -> None:
        """Write the clock to the file that the programs of the host have mapped."""
        data = CLOCK_LAYOUT.pack(self.rate, self.since_ns, self.simulated_ns, self.offset_ns)
        path = folder / CLOCK
        if not path.exists():
            path.write_bytes(data)
        else:
            with path.open("r+b") as file:  # in place, because programs have the file mapped
                file.write(data)


def set_clock(folder: Path) -> None:
    """Make this process use the host's clock.

    A read during a write of the clock can mix old and new values; the next read is right again.
    """
    with (folder / CLOCK).open("rb") as file:
        page = mmap.mmap(file.fileno(), CLOCK_LAYOUT.size, access=mmap.ACCESS_READ)
    real_monotonic, real_time = time.monotonic_ns, time.time_ns
    unpack = CLOCK_LAYOUT.unpack_from

    def monotonic_ns() -> int:
        rate, since, simulated, _ = unpack(page)
        return int(simulated + (real_monotonic() - since) * rate)

    def time_ns() -> int:
        now = real_monotonic()
        return real_time() - now + monotonic_ns() + int(unpack(page)[3])

    time.monotonic_ns = monotonic_ns
    time.time_ns = time_ns
    time.monotonic = lambda: monotonic_ns() / 1e9
    time.time = lambda: time_ns() / 1e9


def plant(name: str) -> None:
    """Plant a defect in this process, to test that the checkers find it."""
    if name == "repeats-unsafe":
        from sorrelfront.decisions import balancer as part
        from sorrelfront.decisions.interface import Outcome

        original = part.Balancer.on_attempt_ended

        def on_attempt_ended(self: Any, ended: Any, now: int) -> Any:
            """Treat every attempt that broke off as one that never ran."""
            if ended.outcome not in (Outcome.OK, Outcome.REJECTED, Outcome.UNSENT) and not ended.finished:
                ended = ended._replace(outcome=Outcome.UNREACHABLE)
            return original(self, ended, now)

        part.Balancer.on_attempt_ended = on_attempt_ended  # type: ignore[method-assign,assignment]
    elif name == "forgets-drains":
        from sorrelfront.messages import Update
        from sorrelfront.sources.registry import Discovery

        original_init, subscribe = Discovery.__init__, Discovery.subscribe

        def init_recording_list(self: Any, address: Any, revision: int, on_update: Any, *rest: Any) -> None:
            def on_list(update: Update) -> None:
                self.storm_first_list = (
                    update if update.complete else getattr(self, "storm_first_list", update)
                )
                on_update(update)

            original_init(self, address, revision, on_list, *rest)

        def subscribe_to_first_list(self: Any) -> None:
            """Go back to the first full list that was received, once the watch is lost."""
            if getattr(self, "storm_first_list", None) is not None:
                self._on_update(self.storm_first_list._replace(complete=True))
            subscribe(self)

        Discovery.__init__ = init_recording_list  # type: ignore[method-assign,assignment]
        Discovery.subscribe = subscribe_to_first_list  # type: ignore[method-assign]
    elif name == "ignores-leases":
        from sorrelfront.fleet.policy_member import LeaseStatus, PolicyMember

        def standing(self: Any) -> LeaseStatus:
            """Keep serving by the current version, as if its lease never expired."""
            return LeaseStatus.LEASED

        PolicyMember.lease_status = standing  # type: ignore[method-assign]
        PolicyMember.may_attempt = lambda self, version: True  # type: ignore[method-assign]
    elif name == "trusts-old-copies":
        from sorrelfront.decisions.fleet.replicas import CaughtUp, ReplicaStore

        original_init_copies = ReplicaStore.__init__

        def init_and_trust(self: Any, *args: Any, **more: Any) -> None:
            """Act on the copies from its own disk before any peer was asked."""
            original_init_copies(self, *args, **more)
            self.caught_up = True
            self._start_incarnation()
            self._actions.append(CaughtUp())

        ReplicaStore.__init__ = init_and_trust  # type: ignore[method-assign]
    elif name == "believes-widened":
        from sorrelfront.decisions.sites import offers, routes
        from sorrelfront.decisions.sites.offers import UnusedReason

        original_fault = offers.fault

        def fault(*args: Any) -> Any:
            """Accept the terms at the end of a chain as those that the owner gave."""
            why = original_fault(*args)
            return (
                None
                if why in (UnusedReason.WIDENED, UnusedReason.NOT_PASSED_ON, UnusedReason.VALLEY)
                else why
            )

        vars(routes)["fault"] = fault
    elif name == "wall-lifetimes":
        from sorrelfront.daemon import site_gateway
        from sorrelfront.sites import requests, transport

        def now_us() -> int:
            """Measure lifetimes by the time of day."""
            return time.time_ns() // 1_000

        for module in (site_gateway, transport, requests):
            module.now_us = now_us  # type: ignore[attr-defined]
    elif name == "asks-late":
        from sorrelfront.decisions.discovery_timing import BackOff

        def failed(self: Any, within_us: int, grace_us: int) -> int:
            """Back off from the list service as long as some programs do, whatever counts as told."""
            return ASKS_LATE_US

        BackOff.failed = failed  # type: ignore[method-assign]
    elif name == "sends-for-gone":
        import asyncio

        from sorrelfront.agent import Agent
        from sorrelfront.net.http import Wire

        abandon = Agent.abandon

        def abandon_late(self: Any, held: Any) -> None:
            """Keep working for a client that has left, for as long as its answer would have been useful."""
            asyncio.get_running_loop().call_later(ABANDON_DELAY_S, abandon, self, held)

        Agent.abandon = abandon_late  # type: ignore[method-assign]
        Wire.hung_up = lambda self: False  # type: ignore[method-assign]
    elif name == HOSTILE:
        from random import Random

        from sorrelfront.decisions.sites.routes import Border
        from sorrelfront.lab.sites.hostile import Hostile

        on_ask = Border.on_query

        def on_ask_spoilt(self: Any, *args: Any) -> Any:
            reply = on_ask(self, *args)
            if not hasattr(self, "storm_hostile"):
                self.storm_hostile = Hostile(self._sign, Random(), flood=True)
            return None if reply is None else self.storm_hostile.corrupt(self, reply)

        Border.on_query = on_ask_spoilt  # type: ignore[method-assign,assignment]
    elif name != "skips-sync":
        raise SystemExit(f"{PLANT}: no defect is called {name!r}; there are {', '.join(PLANTS)}")


def main() -> None:
    """Set the seams and the planted defect, then run the module from the command line."""
    folder = Path(os.environ[SEAMS])
    if (folder / CLOCK).exists():
        set_clock(folder)
    from sorrelfront.daemon import fleet, records
    from sorrelfront.lab.storm.disk import LoggedDisk

    planted = os.environ.get(PLANT, "")
    records.disk = LoggedDisk(folder, skip_sync=planted == "skips-sync")
    fleet.INSTANCE_COMMAND = [
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
