"""Take-over: a new program receives the sockets and estimates of the running one.

The new program sends a request over the control socket that names a socket of its own. The old one connects
to it and sends the listening sockets and one snapshot per instance, one packet each. The new one starts its
instances with them and reports once all are ready; the old one then releases the control socket, confirms
that, and drains. Until then the old one continues: if the connection ends or a timeout expires, nothing
changes.
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
from sorrelfront.daemon.channel import BadMessage, bind_private, configure_socket, receive, send
from sorrelfront.errors import SorrelfrontError
from sorrelfront.messages import Address

ANSWER_TIMEOUT_S = 10.0  # for the old program to send its state, or to release the control socket
MAX_PACKETS = 512  # one per instance, and one with the sockets


class TakeoverError(SorrelfrontError):
    """The running program cannot be replaced now; the text is one line."""

    remedy = "Look at `sorrelfront ctl FILE status` of the running program, and replace it once it is ready."


class PredecessorEnded(TakeoverError):
    """The running program ended during the handover."""


@dataclass(slots=True)
class Handover:
    """State received from the old program: its sockets, and the snapshots by name of the instance."""

    sockets: dict[Address, socket.socket] = field(default_factory=dict)
    snapshots: dict[str, str] = field(default_factory=dict)

    def close(self) -> None:
        """Close the received sockets."""
        for sock in self.sockets.values():
            sock.close()
        self.sockets.clear()


class Successor:
    """The new program's side of a take-over."""

    def __init__(self, control_path: Path) -> None:
        self._control = control_path
        self._sock: socket.socket | None = None
        self.predecessor_ended = False  # the old program has ended without a message

    async def request_handover(self) -> Handover:
        """Request and receive the old program's state. Raises TakeoverError."""
        path = self._control.parent / f".takeover-{os.getpid()}"
        handover = Handover()
        try:
            inbox = bind_private(socket.SOCK_SEQPACKET, path)
        except OSError as fault:
            raise TakeoverError(f"{path}: {fault.strerror}") from None
        with inbox, contextlib.ExitStack() as clean:
            clean.callback(path.unlink, missing_ok=True)
            inbox.listen(1)
            inbox.setblocking(False)
            try:
                asked = {"op": "takeover", "to": str(path)}
                answer = await control.send_request(self._control, asked, ANSWER_TIMEOUT_S)
                if not answer.get("ok"):
                    raise TakeoverError("; ".join(map(str, answer.get("faults", ["no answer known here"]))))
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    self._sock, _ = await asyncio.get_running_loop().sock_accept(inbox)
                configure_socket(self._sock)
                await self._read(handover)
            except TakeoverError:
                handover.close()
                self.close()
                raise
            except (control.DaemonUnavailable, BadMessage, TimeoutError, OSError) as fault:
                handover.close()
                self.close()
                raise TakeoverError(str(fault) or type(fault).__name__) from None
        return handover

    async def _read(self, handover: Handover) -> None:
        assert self._sock is not None
        for _ in range(MAX_PACKETS):
            got = await receive_within(self._sock, ANSWER_TIMEOUT_S)
            if got is None:
                raise PredecessorEnded("the running program ended during the take-over")
            message, descriptors = got
            for descriptor in descriptors:
                sock = socket.socket(fileno=descriptor)
                sock.setblocking(False)
                handover.sockets[sock.getsockname()] = sock
            match message:
                case {"op": "learnt", "instance": str(name), "text": str(text)}:
                    handover.snapshots[name] = text
                case {"op": "end"}:
                    return
                case {"op": "off", "why": str(why)}:
                    # The old program was told to stop during the handover. If that were taken for a crash,
                    # this program would start in place of one that an operator has stopped.
                    raise TakeoverError(why)
        raise BadMessage("the running program sends too many packets")

    async def ready(self) -> bool:
        """Tell the old program to drain; return whether it has released the control socket."""
        if self._sock is None or not send(self._sock, {"op": "ready"}):
            return False
        with contextlib.suppress(BadMessage, TimeoutError):
            got = await receive_within(self._sock, ANSWER_TIMEOUT_S)
            return got is not None and got[0].get("op") == "released"
        return False

    def call_off_reason(self) -> str | None:
        """Return why the old program has called the take-over off, or None.

        Sets `predecessor_ended` if the old program has ended.
        """
        if self._sock is None:
            return None
        try:
            got = receive(self._sock)
        except (BlockingIOError, BadMessage):
            return None
        if got is not None:
            return str(got[0].get("why", "it is off"))
        self.predecessor_ended = True
        self.close()
        return None

    def close(self) -> None:
        """Close the connection to the old program."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class HandoverSender:
    """The old program's side of a take-over: a connection to the new one.

    It lasts until the new program is ready, ends or exceeds its timeout.
    """

    def __init__(self, path: str) -> None:
        """Connect to the socket of the new program. Raises OSError."""
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self.sock.connect(path)
            configure_socket(self.sock)
        except BaseException:
            self.sock.close()
            raise

    def send_handover(self, sockets: dict[Address, socket.socket], snapshots: dict[str, str]) -> bool:
        """Send the sockets and snapshots; return whether the sockets and the end mark were sent."""
        sent = send(self.sock, {"op": "listeners"}, [sock.fileno() for sock in sockets.values()])
        for name, text in snapshots.items():
            # A snapshot is dropped if the new program's queue is full: it then learns the estimates again.
            send(self.sock, {"op": "learnt", "instance": name, "text": text})
        return sent and send(self.sock, {"op": "end"})

    def read_message(self) -> dict[str, Any] | None:
        """Return the new program's message, None at end of file. Raises BlockingIOError if there is none."""
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
        """Close the connection to the new program."""
        self.sock.close()
