"""Decides which processes of an earlier supervisor are adopted, drained, killed or left alone. No I/O.

A supervisor that starts looks for running instances, collects what it can about each (`FoundProcess`), and
passes it to `decide_each`. Missing instances are started only afterwards. What a process reports about itself
counts only if the kernel confirms its identity: process id, start time, and which process listens on its
socket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

# Version of the messages with an instance; one with another version is drained, not adopted
PROTOCOL_VERSION = 1


class LifecycleState(Enum):
    """Lifecycle state that an instance reports."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class FoundProcess:
    """What is known about one process; `lifecycle` is None if it did not answer in time."""

    name: str
    pid: int
    run: int = 0
    verified: bool = True  # the kernel confirms that it is the expected process
    reachable: bool = True  # its own socket exists
    lifecycle: LifecycleState | None = None
    orphan: bool = True  # no running supervisor manages it
    protocol: int = PROTOCOL_VERSION
    generation: int = 0
    digest: str = ""


class Adopt(NamedTuple):
    """Adopt the process as the instance of its name.

    `reconfigure`: it runs with another configuration and must be given the current one.
    """

    found: FoundProcess
    reconfigure: bool


class Drain(NamedTuple):
    """Have the process finish its requests and exit."""

    found: FoundProcess
    why: str


class Kill(NamedTuple):
    """Kill the process: it belongs to this fleet, and it hangs."""

    found: FoundProcess
    why: str


class Leave(NamedTuple):
    """Leave the process alone."""

    found: FoundProcess
    why: str


Decision = Adopt | Drain | Kill | Leave


def decide_each(
    found: Iterable[FoundProcess], wanted: Collection[str], digest: str, taken: Collection[str] = ()
) -> list[Decision]:
    """Decide on each process.

    `wanted` are the names in the current configuration, `taken` those of them that already have a process,
    and `digest` is that of the current configuration.

    Of several processes that claim one name at most one is adopted: one with the current configuration is
    preferred, then one that is ready, then the latest configuration and run.
    """
    decisions: list[Decision] = []
    claims: dict[str, list[FoundProcess]] = {}
    for item in found:
        decision = _decide_alone(item, wanted, taken)
        if decision is None:
            claims.setdefault(item.name, []).append(item)
        else:
            decisions.append(decision)
    for items in claims.values():
        items.sort(
            key=lambda item: (
                item.digest == digest,
                item.lifecycle is LifecycleState.READY,
                item.generation,
                item.run,
            ),
            reverse=True,
        )
        best, *others = items
        decisions.append(Adopt(best, best.digest != digest))
        decisions += [Drain(item, "another process of its name is adopted") for item in others]
    return decisions


def _decide_alone(item: FoundProcess, wanted: Collection[str], taken: Collection[str]) -> Decision | None:
    """Return the decision that does not depend on other processes; None if it may be adopted."""
    if not item.verified:
        # The process id may by now belong to another program, which a signal would kill.
        return Leave(item, "its process number belongs to another program, or to none")
    if not item.reachable:
        return Drain(item, "its socket is gone")
    if item.lifecycle is None:
        return Kill(item, "it did not answer in time")
    if not item.orphan:
        return Leave(item, "it has a supervisor")
    if item.lifecycle is LifecycleState.LEAVING:
        return Leave(item, "it is leaving already")
    if item.protocol != PROTOCOL_VERSION:
        return Drain(item, "it is of another version")
    if item.name not in wanted:
        return Drain(item, "the file does not name it")
    if item.name in taken:
        return Drain(item, "its name has a process already")
    return None
