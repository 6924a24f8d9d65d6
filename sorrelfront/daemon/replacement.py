"""Replacement: the running program's side of a take-over (`takeover.Bequest`), until it is done or off."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sorrelfront.daemon.channel import Message, send
from sorrelfront.daemon.fleet import Fleet, Run, Unanswered
from sorrelfront.daemon.takeover import Bequest

log = logging.getLogger("sorrelfront.daemon")

TAKEOVER_WITHIN_S = 60.0  # for a new program to be ready; its own limit is shorter as a rule
LEARNT_WITHIN_S = 1.0  # for an instance to tell what it has learnt


async def learnt_of(fleet: Fleet, run: Run) -> str:
    """What this instance has learnt; empty if it does not say so in time."""
    try:
        return str((await fleet.ask(run, {"op": "learnt"}, LEARNT_WITHIN_S)).get("text", ""))
    except Unanswered:
        return ""


class Replacing:
    """At most one at a time. `may` tells why there can be none now, `release` lets go of what the new program
    needs, before it is told so, and `drain` has this one end."""

    def __init__(
        self,
        fleet: Fleet,
        may: Callable[[], str | None],
        release: Callable[[], Awaitable[None]],
        drain: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._may = may
        self._release = release
        self._drain = drain
        self._bequest: Bequest | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        return self._bequest is not None

    def begin(self, to: str) -> Message:
        """Send what there is to the program that listens there, then wait for its word."""
        if self._bequest is not None:
            return {"ok": False, "faults": ["another replacement is under way"]}
        why = self._may()
        if why is not None:
            return {"ok": False, "faults": [why]}
        try:
            bequest = self._bequest = Bequest(to)
        except OSError as fault:
            return {"ok": False, "faults": [f"the new program's socket: {fault.strerror}"]}
        self._spawn(self._give_all(bequest))
        return {"ok": True}

    def call_off(self, why: str) -> None:
        """Risk: told to stop in the middle of a replacement, the new program would go on in its place."""
        if self._bequest is not None:
            send(self._bequest.sock, {"op": "off", "why": why})
            self.drop()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.drop()

    def drop(self) -> None:
        bequest, self._bequest = self._bequest, None
        if bequest is not None:
            asyncio.get_running_loop().remove_reader(bequest.sock.fileno())
            bequest.close()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _give_all(self, bequest: Bequest) -> None:
        runs = {name: run for name, run in self._fleet.runs.items() if name in self._fleet.document.names}
        texts = await asyncio.gather(*(learnt_of(self._fleet, run) for run in runs.values()))
        learnt = dict(zip(runs, texts, strict=True))
        if self._bequest is not bequest:
            return
        if not bequest.give(self._fleet.sockets, {name: text for name, text in learnt.items() if text}):
            self.drop()
            return
        loop = asyncio.get_running_loop()
        loop.add_reader(bequest.sock.fileno(), self._heard)
        self._timer = loop.call_later(TAKEOVER_WITHIN_S, self.drop)

    def _heard(self) -> None:
        bequest = self._bequest
        if bequest is None:
            return
        try:
            word = bequest.heard()
        except BlockingIOError:
            return
        if word is None:
            log.warning("the replacement ended before it was ready; nothing has changed")
            self.drop()
        elif word.get("op") == "ready" and not self._fleet.decide.stopping:
            self._spawn(self._let_go(bequest))

    async def _let_go(self, bequest: Bequest) -> None:
        """The new program accepts: let go of what it needs, and drain."""
        self._fleet.handed_over = True
        await self._release()
        send(bequest.sock, {"op": "released"})
        self.drop()
        log.info("replaced by another program; draining")
        self._drain()
