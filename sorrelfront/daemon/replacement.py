"""Replacement: the running program's side of a takeover by a new program, until its success or end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sorrelfront.daemon.channel import Message, send
from sorrelfront.daemon.fleet import Fleet, InstanceUnavailable, Run
from sorrelfront.daemon.takeover import HandoverSender

log = logging.getLogger("sorrelfront.daemon")

TAKEOVER_TIMEOUT_S = 60.0  # for the new program to be ready; its own limit is usually shorter
ESTIMATES_TIMEOUT_S = 1.0  # for an instance to send its estimates


async def request_estimates(fleet: Fleet, run: Run) -> str:
    """Return a snapshot of the instance's estimates, empty if it does not answer in time."""
    try:
        return str((await fleet.ask(run, {"op": "learnt"}, ESTIMATES_TIMEOUT_S)).get("text", ""))
    except InstanceUnavailable:
        return ""


class Replacement:
    """Runs at most one replacement at a time.

    `refusal_reason` returns why no replacement is possible now, or None. `release` releases what the new
    program needs and is called before the new program is told. `drain` makes this program drain and end.
    """

    def __init__(
        self,
        fleet: Fleet,
        refusal_reason: Callable[[], str | None],
        release: Callable[[], Awaitable[None]],
        drain: Callable[[], None],
    ) -> None:
        self._fleet = fleet
        self._refusal_reason = refusal_reason
        self._release = release
        self._drain = drain
        self._handover: HandoverSender | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether a replacement is under way."""
        return self._handover is not None

    def begin(self, to: str) -> Message:
        """Start to send sockets and estimates to the program that listens at `to`.

        Once that program is ready, this one drains. Returns the answer of the `replace` operation.
        """
        if self._handover is not None:
            return {"ok": False, "faults": ["another replacement is under way"]}
        why = self._refusal_reason()
        if why is not None:
            return {"ok": False, "faults": [why]}
        try:
            handover = self._handover = HandoverSender(to)
        except OSError as fault:
            return {"ok": False, "faults": [f"the new program's socket: {fault.strerror}"]}
        self._spawn(self._send_state(handover))
        return {"ok": True}

    def cancel(self, why: str) -> None:
        """Cancel the replacement and tell the new program.

        Without this, when the running program is told to stop during a replacement, the new one would go on
        in its place.
        """
        if self._handover is not None:
            send(self._handover.sock, {"op": "off", "why": why})
            self.disconnect()

    def close(self) -> None:
        """Cancel all tasks and close the connection to the new program."""
        for task in self._tasks:
            task.cancel()
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection to the new program, if there is one; this program goes on serving."""
        handover, self._handover = self._handover, None
        if handover is not None:
            asyncio.get_running_loop().remove_reader(handover.sock.fileno())
            handover.close()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_state(self, handover: HandoverSender) -> None:
        runs = {
            name: run for name, run in self._fleet.runs.items() if name in self._fleet.document.instance_names
        }
        texts = await asyncio.gather(*(request_estimates(self._fleet, run) for run in runs.values()))
        learnt = dict(zip(runs, texts, strict=True))
        if self._handover is not handover:
            return
        if not handover.send_handover(
            self._fleet.sockets, {name: text for name, text in learnt.items() if text}
        ):
            self.disconnect()
            return
        loop = asyncio.get_running_loop()
        loop.add_reader(handover.sock.fileno(), self._on_readable)
        self._timer = loop.call_later(TAKEOVER_TIMEOUT_S, self.disconnect)

    def _on_readable(self) -> None:
        handover = self._handover
        if handover is None:
            return
        try:
            message = handover.read_message()
        except BlockingIOError:
            return
        if message is None:
            log.warning("the replacement ended before it was ready; nothing has changed")
            self.disconnect()
        elif message.get("op") == "ready" and not self._fleet.supervisor.stopping:
            self._spawn(self._hand_over(handover))

    async def _hand_over(self, handover: HandoverSender) -> None:
        """Release what the new program needs, now that it accepts connections, and drain."""
        self._fleet.handed_over = True
        await self._release()
        send(handover.sock, {"op": "released"})
        self.disconnect()
        log.info("replaced by another program; draining")
        self._drain()
