"""Two versions of one agent side by side: the next one is started while this one serves.

Each version listens at a socket in the folder that both share. The next one connects there and is sent the
listening socket of the clients (unix(7), SCM_RIGHTS), so that there is one queue of connections and none is
refused, reset or left behind as one version ends. Once it is ready it says so: this one then accepts nothing
more, and each of its connections ends with its next answer. If the next one ends first, this one goes on as
before.

    this one -> next   hello, once, with the socket: {"version": 1, "listen": [host, port]}
    this one -> next   every TELL_S: {"open": descriptors that it still needs}
    next -> this one   {"ready": true}
    the end of the connection: that process has ended

Both together may hold no more descriptors and memory than one: until the connection ends, each goes by half,
and the next one by what this one no longer needs.

Where no folder is shared, or nobody answers there, the next version listens beside this one by SO_REUSEPORT.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import struct
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from sorrelfront.messages import Address

log = logging.getLogger(__name__)

VERSION = 1
NAME = "next-version"  # of the socket in the shared folder
MESSAGE_MOST = 4_096  # bytes
TELL_S = 0.1  # between words on what this one still needs
ANSWER_WITHIN_S = 1.0  # for the version that serves to answer the next one; it may wait for its core
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid: struct ucred


@contextlib.contextmanager
def _short(folder: Path) -> Iterator[str]:
    """The socket's path by way of a descriptor. Risk: a Unix socket's address has 107 bytes at most, and a
    folder for temporary files may have a longer path."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}/{NAME}"
    finally:
        os.close(descriptor)


def _own_user(sock: socket.socket) -> bool:
    _, uid, _ = CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    return bool(uid == os.geteuid())


def _message(data: bytes) -> dict[str, Any] | None:
    """None if it is no object."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


class Predecessor:
    """The version that serves, seen from the next one."""

    def __init__(self, channel: socket.socket, listening: socket.socket) -> None:
        self._channel = channel
        self.listening = listening
        self._told: Callable[[int | None], None] | None = None

    def watch(self, told: Callable[[int | None], None]) -> None:
        """`told` is called with how many descriptors it still needs, and with None once it has ended."""
        self._told = told
        self._channel.setblocking(False)
        asyncio.get_running_loop().add_reader(self._channel.fileno(), self._heard)

    def ready(self) -> None:
        """This version serves now."""
        with contextlib.suppress(OSError):
            self._channel.send(json.dumps({"ready": True}).encode())

    def close(self) -> None:
        if self._told is not None and self._channel.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self._channel.fileno())
        self._channel.close()

    def _heard(self) -> None:
        try:
            data = self._channel.recv(MESSAGE_MOST)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        assert self._told is not None
        if not data:
            self.close()
            self._told(None)
            return
        needed = (_message(data) or {}).get("open")
        if isinstance(needed, int) and not isinstance(needed, bool) and needed >= 0:
            self._told(needed)


def find(folder: Path | None, listen: Address) -> Predecessor | None:
    """The version that serves at this address, if one answers."""
    if folder is None:
        return None
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    descriptors: list[int] = []
    try:
        channel.settimeout(ANSWER_WITHIN_S)
        with _short(folder) as path:
            channel.connect(path)
        if _own_user(channel):
            data, descriptors, flags, _ = socket.recv_fds(channel, MESSAGE_MOST, 1)
            hello = _message(data) or {}
            wanted = {"version": VERSION, "listen": [*listen]}
            if hello == wanted and len(descriptors) == 1 and not flags & socket.MSG_CTRUNC:
                listening = socket.socket(fileno=descriptors.pop())
                if listening.getsockname() == listen:
                    return Predecessor(channel, listening)
                listening.close()
            log.warning("another version answers for another address, or in other words: %.200r", data)
    except OSError as fault:
        if not isinstance(fault, FileNotFoundError):
            log.warning("no other version hands over: %s", fault)
    for descriptor in descriptors:
        os.close(descriptor)
    channel.close()
    return None


class Succession:
    """The next version, seen from the one that serves."""

    def __init__(
        self,
        folder: Path,
        listen: Address,
        listening: Callable[[], int],
        needed: Callable[[], int],
        changed: Callable[[], None],
    ) -> None:
        """`listening`: the descriptor of the clients' listening socket. `needed`: how many descriptors this
        version still needs. `changed` is called as the next one comes, is ready, and goes. Raises OSError."""
        self._folder = folder
        self._listen = listen
        self._listening = listening
        self._needed = needed
        self._changed = changed
        self._loop = asyncio.get_running_loop()
        self._door: socket.socket | None = None
        self._next: socket.socket | None = None
        self._tell: asyncio.TimerHandle | None = None
        self.ready = False  # the next one serves
        self._open()

    @property
    def here(self) -> bool:
        """Whether a next version has come."""
        return self._next is not None

    def close(self) -> None:
        """The end of this version. The socket's name stays: it is the next one's by now, or leads nowhere."""
        self._shut()
        if self._tell is not None:
            self._tell.cancel()
        if self._next is not None:
            self._loop.remove_reader(self._next.fileno())
            self._next.close()
            self._next = None

    def _open(self) -> None:
        """Listen under the name, whoever had it."""
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with _short(self._folder) as path:
                fresh = f"{path}-{os.getpid()}"
                before = os.umask(0o177)
                try:
                    door.bind(fresh)
                finally:
                    os.umask(before)
                door.listen(1)
                os.replace(fresh, path)
        except OSError:
            door.close()
            raise
        door.setblocking(False)
        self._door = door
        self._loop.add_reader(door.fileno(), self._come)

    def _shut(self) -> None:
        if self._door is not None:
            self._loop.remove_reader(self._door.fileno())
            self._door.close()
            self._door = None

    def _come(self) -> None:
        """Somebody has connected. One at a time: the next ones find nobody until it has gone."""
        assert self._door is not None
        try:
            channel, _ = self._door.accept()
        except OSError:
            return
        try:
            channel.setblocking(False)
            if self._next is not None or not _own_user(channel):
                channel.close()
                return
            hello = json.dumps({"version": VERSION, "listen": [*self._listen]}).encode()
            socket.send_fds(channel, [hello], [self._listening()])
        except OSError as fault:
            log.warning("handing over failed: %s", fault)
            channel.close()
            return
        self._next = channel
        self._loop.add_reader(channel.fileno(), self._heard)
        self._tell_on()
        log.info("the next version has come")
        self._changed()

    def _tell_on(self) -> None:
        if self._next is not None:
            with contextlib.suppress(OSError):  # its end shows by itself, and the next word comes soon
                self._next.send(json.dumps({"open": self._needed()}).encode())
            self._tell = self._loop.call_later(TELL_S, self._tell_on)

    def _heard(self) -> None:
        assert self._next is not None
        try:
            data = self._next.recv(MESSAGE_MOST)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if data:
            if (_message(data) or {}).get("ready") is True and not self.ready:
                self.ready = True
                self._shut()  # the name is the next one's
                log.info("the next version serves")
                self._changed()
            return
        log.warning("the next version has ended; this one goes on")
        self._loop.remove_reader(self._next.fileno())
        self._next.close()
        self._next = None
        if self.ready:
            self.ready = False
            try:
                self._open()
            except OSError as fault:
                log.error("no further version can be handed over to: %s", fault)
        self._changed()
