"""An instance's own socket: a supervisor that starts finds it here and asks who it is.

Unix, SOCK_SEQPACKET, mode 0600, for the instance's own user and root by the kernel's word. Whoever connects
may ask `hello` and is told what the instance is, with its listening sockets beside. `adopt` makes the
connection the instance's channel; `others` tells one that is leaving that somebody else has its sockets by
now. Until then nothing that is said here changes anything.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from pathlib import Path

from sorrelfront.daemon.channel import BadMessage, Message, bind_private, is_owner, prepare, receive, send

CANDIDATES_MOST = 4  # connections at once; more are closed at once
CANDIDATE_S = 10.0  # for a candidate to say what it wants

Hello = Callable[[], tuple[Message, list[int]]]
Adopt = Callable[[Message, socket.socket], str | None]


class Door:
    """Listens in the run folder as NAME-PID.sock. `adopt` is given the message and the connection, and
    returns why not, or None if it has taken the connection over."""

    def __init__(
        self, folder: Path, name: str, hello: Hello, adopt: Adopt, others: Callable[[], None]
    ) -> None:
        """Raises OSError."""
        self.path = folder / f"{name}-{os.getpid()}.sock"
        self._hello = hello
        self._adopt = adopt
        self._others = others
        self._candidates: dict[socket.socket, asyncio.TimerHandle] = {}
        self._loop = asyncio.get_running_loop()
        self.path.unlink(missing_ok=True)  # of a process that had this number before
        # Risk: found between bind and listen it refuses connections, and passes for one left behind.
        hidden = folder / f".{name}-{os.getpid()}"
        hidden.unlink(missing_ok=True)
        self._sock = bind_private(socket.SOCK_SEQPACKET, hidden)
        self._sock.listen(CANDIDATES_MOST)
        hidden.rename(self.path)
        self._sock.setblocking(False)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def close(self) -> None:
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()
        with contextlib.suppress(OSError):
            self.path.unlink(missing_ok=True)
        for candidate in [*self._candidates]:
            self._drop(candidate)

    def _accept(self) -> None:
        try:
            candidate, _ = self._sock.accept()
        except OSError:
            return
        if len(self._candidates) >= CANDIDATES_MOST or not is_owner(candidate):
            candidate.close()
            return
        prepare(candidate)
        self._candidates[candidate] = self._loop.call_later(CANDIDATE_S, self._drop, candidate)
        self._loop.add_reader(candidate.fileno(), self._heard, candidate)

    def _release(self, candidate: socket.socket) -> None:
        self._candidates.pop(candidate).cancel()
        self._loop.remove_reader(candidate.fileno())

    def _drop(self, candidate: socket.socket) -> None:
        self._release(candidate)
        candidate.close()

    def _heard(self, candidate: socket.socket) -> None:
        try:
            got = receive(candidate)
        except BlockingIOError:
            return
        except BadMessage:
            got = None
        if got is None:
            self._drop(candidate)
            return
        message, descriptors = got
        for descriptor in descriptors:
            os.close(descriptor)
        match message.get("op"):
            case "hello":
                answer, sockets = self._hello()
                send(candidate, answer, sockets)
            case "others":
                self._others()
            case "adopt":
                why = self._adopt(message, candidate)
                send(candidate, {"op": "adopted", "id": message.get("id"), "fault": why})
                if why is None:
                    self._release(candidate)
                else:
                    self._drop(candidate)
            case _:
                self._drop(candidate)
