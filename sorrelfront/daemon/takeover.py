"""Replacement: a new program takes over the sockets and estimates of one that runs.

The new one asks over the control socket and names a socket of its own, where the old one connects and sends
the listening sockets and one snapshot an instance, each in a packet. The new one starts its instances with
them. Once all are ready it says so; the old one lets go of the control socket, says that it has, and drains.
Until then the old one goes on: if the connection ends, or it takes too long, nothing has happened.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sorrelfront.daemon import control
from sorrelfront.daemon.adopting import receive_within
from sorrelfront.daemon.channel import BadMessage, bind_private, prepare, receive, send
from sorrelfront.errors import SorrelfrontError
from sorrelfront.messages import Address

ANSWER_WITHIN_S = 10.0  # for the old program to send what it has, or to let go
PACKETS_MOST = 512  # one an instance, and the sockets


class NoTakeover(SorrelfrontError):
    """The running program cannot be replaced now, in one line."""

    remedy = (
        "Look at `sorrelfront ctl FILE status` of the running program, and replace it "
        "once it is ready."
    )


class Bereft(NoTakeover):
    """The running program ended while it handed over."""


@dataclass(slots=True)
class Estate:
    """What the old program has left: its sockets, and the snapshots by the name of the instance."""

    sockets: dict[Address, socket.socket] = field(default_factory=dict)
    learnt: dict[str, str] = field(default_factory=dict)

    def close(self) -> None:
        for sock in self.sockets.values():
            sock.close()
        self.sockets.clear()


class Heir:
    """The new program's side."""

    def __init__(self, control_path: Path) -> None:
        self._control = control_path
        self._sock: socket.socket | None = None
        self.bereft = False  # the old program has ended without a word

    async def ask(self) -> Estate:
        """Have the old program send what it has. Raises NoTakeover."""
        path = self._control.parent / f".takeover-{os.getpid()}"
        estate = Estate()
        try:
            inbox = bind_private(socket.SOCK_SEQPACKET, path)
        except OSError as fault:
            raise NoTakeover(f"{path}: {fault.strerror}") from None
        with inbox, contextlib.ExitStack() as clean:
            clean.callback(path.unlink, missing_ok=True)
            inbox.listen(1)
            inbox.setblocking(False)
            try:
                asked = {"op": "takeover", "to": str(path)}
                answer = await control.ask(self._control, asked, ANSWER_WITHIN_S)
                if not answer.get("ok"):
                    raise NoTakeover("; ".join(map(str, answer.get("faults", ["no answer known here"]))))
                async with asyncio.timeout(ANSWER_WITHIN_S):
                    self._sock, _ = await asyncio.get_running_loop().sock_accept(inbox)
                prepare(self._sock)
                await self._read(estate)
            except NoTakeover:
                estate.close()
                self.close()
                raise
            except (control.Unavailable, BadMessage, TimeoutError, OSError) as fault:
                estate.close()
                self.close()
                raise NoTakeover(str(fault) or type(fault).__name__) from None
        return estate

    async def _read(self, estate: Estate) -> None:
        assert self._sock is not None
        for _ in range(PACKETS_MOST):
            got = await receive_within(self._sock, ANSWER_WITHIN_S)
            if got is None:
                raise Bereft("the running program ended the take-over")
            message, descriptors = got
            for descriptor in descriptors:
                sock = socket.socket(fileno=descriptor)
                sock.setblocking(False)
                estate.sockets[sock.getsockname()] = sock
            match message:
                case {"op": "learnt", "instance": str(name), "text": str(text)}:
                    estate.learnt[name] = text
                case {"op": "end"}:
                    return
                case {"op": "off", "why": str(why)}:
                    # Risk: told to stop while it hands over, its end is taken for a kill. Harm: this program
                    # starts in the place of one that an operator has stopped.
                    raise NoTakeover(why)
        raise BadMessage("the running program sends without end")

    async def ready(self) -> bool:
        """Tell the old program to drain. Whether it has let go of the control socket."""
        if self._sock is None or not send(self._sock, {"op": "ready"}):
            return False
        with contextlib.suppress(BadMessage, TimeoutError):
            got = await receive_within(self._sock, ANSWER_WITHIN_S)
            return got is not None and got[0].get("op") == "released"
        return False

    def gone(self) -> str | None:
        """What the old program says before it is told anything: why the take-over is off, if it is."""
        if self._sock is None:
            return None
        try:
            got = receive(self._sock)
        except (BlockingIOError, BadMessage):
            return None
        if got is not None:
            return str(got[0].get("why", "it is off"))
        self.bereft = True
        self.close()
        return None

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class Bequest:
    """The old program's side: a connection to the new one, until that is ready, ends or takes too long."""

    def __init__(self, path: str) -> None:
        """Raises OSError."""
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self.sock.connect(path)
            prepare(self.sock)
        except BaseException:
            self.sock.close()
            raise

    def give(self, sockets: dict[Address, socket.socket], learnt: dict[str, str]) -> bool:
        """Whether all went."""
        sent = send(self.sock, {"op": "listeners"}, [sock.fileno() for sock in sockets.values()])
        for name, text in learnt.items():
            # Left out if the new program's queue is full: it then learns anew.
            send(self.sock, {"op": "learnt", "instance": name, "text": text})
        return sent and send(self.sock, {"op": "end"})

    def heard(self) -> dict[str, Any] | None:
        """The new program's word, None at its end. Raises BlockingIOError."""
        try:
            got = receive(self.sock)
        except BadMessage:
            return {}
        if got is None:
            return None
        for descriptor in got[1]:
            os.close(descriptor)
        return got[0]

    def close(self) -> None:
        self.sock.close()
