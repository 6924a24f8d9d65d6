"""Which processes of an earlier supervisor are adopted, drained, ended or left alone. No I/O.

A supervisor that starts looks for what serves already, finds out what it can of each (`Found`), and asks
here. It starts what is missing only afterwards. What a process says of itself counts only if the kernel
says the same of its identity: process number, start time, and who listens on its socket.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

PROTOCOL = 1  # of the words between a supervisor and an instance; another one is drained, not adopted


class Life(Enum):
    """How an instance says that it stands."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Found:
    """What is known of one process. `life` is None if it did not answer in time."""

    name: str
    pid: int
    run: int = 0
    verified: bool = True  # the kernel says that it is the process that was meant
    reachable: bool = True  # its own socket is there
    life: Life | None = None
    orphan: bool = True  # no living supervisor has it
    protocol: int = PROTOCOL
    generation: int = 0
    digest: str = ""


class Adopt(NamedTuple):
    """Take it as this name's instance. `retake`: it goes by another file; give it the one in force."""

    found: Found
    retake: bool


class Drain(NamedTuple):
    """Have it finish what it owes and end."""

    found: Found
    why: str


class End(NamedTuple):
    """Kill it: it is ours, and it hangs."""

    found: Found
    why: str


class Leave(NamedTuple):
    """Do nothing to it."""

    found: Found
    why: str


Verdict = Adopt | Drain | End | Leave


def judge(
    found: Iterable[Found], wanted: Collection[str], digest: str, taken: Collection[str] = ()
) -> list[Verdict]:
    """A verdict on each process. `wanted`: the names that the file in force has; `taken`: those of them that
    have a process already; `digest`: of the file in force.

    Of several processes that claim one name at most one is adopted: one that goes by the file in force before
    others, then one that is ready, then the latest run.
    """
    verdicts: list[Verdict] = []
    claims: dict[str, list[Found]] = {}
    for item in found:
        verdict = _alone(item, wanted, taken)
        if verdict is None:
            claims.setdefault(item.name, []).append(item)
        else:
            verdicts.append(verdict)
    for items in claims.values():
        items.sort(
            key=lambda item: (item.digest == digest, item.life is Life.READY, item.generation, item.run),
            reverse=True,
        )
        best, *others = items
        verdicts.append(Adopt(best, best.digest != digest))
        verdicts += [Drain(item, "another process of its name is adopted") for item in others]
    return verdicts


def _alone(item: Found, wanted: Collection[str], taken: Collection[str]) -> Verdict | None:
    """The verdict that does not depend on others; None for one that may be adopted."""
    if not item.verified:
        # Risk: the number belongs to another program by now, which a signal would end.
        return Leave(item, "its process number belongs to another program, or to none")
    if not item.reachable:
        return Drain(item, "its socket is gone")
    if item.life is None:
        return End(item, "it did not answer in time")
    if not item.orphan:
        return Leave(item, "it has a supervisor")
    if item.life is Life.LEAVING:
        return Leave(item, "it is leaving already")
    if item.protocol != PROTOCOL:
        return Drain(item, "it is of another version")
    if item.name not in wanted:
        return Drain(item, "the file does not name it")
    if item.name in taken:
        return Drain(item, "its name has a process already")
    return None
