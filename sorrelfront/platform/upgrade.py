"""Hot upgrade: the next version of an agent starts while the current one serves, and takes over its clients.

Each version listens at a Unix socket in a folder that both share. The next version connects there and is sent
the clients' listening socket (unix(7), SCM_RIGHTS). Both then share one queue of connections, so none is
refused, reset or left behind when a version ends. When the next version is ready it says so. The current one
then accepts no more connections and closes each of its own after its next answer. If the next version ends
first, the current one continues as before.

    current -> next   hello, once, with the socket: {"version": 1, "listen": [host, port]}
    current -> next   every REPORT_INTERVAL_S: {"open": descriptors that it still needs}
    next -> current   {"ready": true}
    both ways         ids ID ID ...: of requests with an effect that the sender has sent to a server, or is
                      about to; a version that does not know this message ignores it
    the end of the connection: that process has ended

Both versions together may use no more descriptors and memory than one. Until the connection ends each takes
half, and the next version also takes the descriptors that the current one no longer needs.

Where no folder is shared, or no version answers there, the next version listens separately at the same
address with SO_REUSEPORT.
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

from sorrelfront.decisions.request_ids import RequestIds
from sorrelfront.messages import Address
from sorrelfront.platform.id_exchange import MAX_MESSAGE_BYTES, IdExchange, decode

log = logging.getLogger(__name__)

PROTOCOL_VERSION = 1
SOCKET_NAME = "next-version"  # in the shared folder
REPORT_INTERVAL_S = 0.1  # between reports of the descriptors that are still needed
HELLO_TIMEOUT_S = 1.0  # for the current version to answer; it may have to wait for its core
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid: struct ucred


@contextlib.contextmanager
def _socket_path(folder: Path) -> Iterator[str]:
    """Provide a short path to the socket, by way of a descriptor of its folder.

    A Unix socket's address has at most 107 bytes, and the path of a temporary folder may be longer.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


def _is_same_user(sock: socket.socket) -> bool:
    _, uid, _ = CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    return bool(uid == os.geteuid())


class Predecessor:
    """The connection of the next version to the current one."""

    def __init__(self, channel: socket.socket, listening: socket.socket) -> None:
        self._channel = channel
        self.listening = listening
        self._on_report: Callable[[int | None], None] | None = None
        self._exchange: IdExchange | None = None

    def watch(self, on_report: Callable[[int | None], None], ids: RequestIds) -> None:
        """Call `on_report` with the descriptors that the current version needs, and with None at its end.

        Request ids are exchanged with it meanwhile.
        """
        self._on_report = on_report
        self._exchange = IdExchange(self._channel, ids, self._handle)

    def ready(self) -> None:
        """Report that this version serves now."""
        with contextlib.suppress(OSError):
            self._channel.send(json.dumps({"ready": True}).encode())

    def close(self) -> None:
        """Close the connection to the current version."""
        if self._exchange is not None:
            self._exchange.close()
        self._channel.close()

    def _handle(self, message: dict[str, Any] | None) -> None:
        if self._channel.fileno() < 0:
            return  # closed meanwhile
        assert self._on_report is not None
        if message is None:
            self.close()
            self._on_report(None)
            return
        needed = message.get("open")
        if isinstance(needed, int) and not isinstance(needed, bool) and needed >= 0:
            self._on_report(needed)


def find_predecessor(folder: Path | None, listen: Address) -> Predecessor | None:
    """Connect to the version that serves at this address, if one answers within HELLO_TIMEOUT_S."""
    if folder is None:
        return None
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    descriptors: list[int] = []
    try:
        channel.settimeout(HELLO_TIMEOUT_S)
        with _socket_path(folder) as path:
            channel.connect(path)
        if _is_same_user(channel):
            data, descriptors, flags, _ = socket.recv_fds(channel, MAX_MESSAGE_BYTES, 1)
            hello = decode(data)
            expected = {"version": PROTOCOL_VERSION, "listen": [*listen]}
            if hello == expected and len(descriptors) == 1 and not flags & socket.MSG_CTRUNC:
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


class Successor:
    """The connection of the current version to the next one, and the socket where it is awaited."""

    def __init__(
        self,
        folder: Path,
        listen: Address,
        listening: Callable[[], int],
        needed: Callable[[], int],
        changed: Callable[[], None],
        ids: RequestIds,
    ) -> None:
        """Listen for the next version.

        Args:
            folder: The folder that both versions share.
            listen: The clients' address.
            listening: Returns the descriptor of the clients' listening socket.
            needed: Returns the number of descriptors that this version still needs.
            changed: Called when the next version connects, becomes ready and ends.
            ids: The request ids of this version, which are exchanged with the next one.

        Raises:
            OSError: The socket cannot be created.
        """
        self._folder = folder
        self._listen = listen
        self._listening = listening
        self._needed = needed
        self._changed = changed
        self._ids = ids
        self._exchange: IdExchange | None = None
        self._loop = asyncio.get_running_loop()
        self._acceptor: socket.socket | None = None
        self._next: socket.socket | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self.ready = False  # whether the next version serves
        self._start_accepting()

    @property
    def connected(self) -> bool:
        """Whether a next version is connected."""
        return self._next is not None

    def close(self) -> None:
        """Close the connection and stop listening.

        The socket's name is not removed: it belongs to the next version by now, or nobody listens there.
        """
        self._stop_accepting()
        if self._report_timer is not None:
            self._report_timer.cancel()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._next is not None:
            self._next.close()
            self._next = None

    def _start_accepting(self) -> None:
        """Listen at the socket's name, taking it from any other version."""
        acceptor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with _socket_path(self._folder) as path:
                temporary = f"{path}-{os.getpid()}"
                previous_umask = os.umask(0o177)
                try:
                    acceptor.bind(temporary)
                finally:
                    os.umask(previous_umask)
                acceptor.listen(1)
                os.replace(temporary, path)
        except OSError:
            acceptor.close()
            raise
        acceptor.setblocking(False)
        self._acceptor = acceptor
        self._loop.add_reader(acceptor.fileno(), self._accept)

    def _stop_accepting(self) -> None:
        if self._acceptor is not None:
            self._loop.remove_reader(self._acceptor.fileno())
            self._acceptor.close()
            self._acceptor = None

    def _accept(self) -> None:
        """Accept a next version and send the listening socket. Others are closed while one is connected."""
        assert self._acceptor is not None
        try:
            channel, _ = self._acceptor.accept()
        except OSError:
            return
        try:
            channel.setblocking(False)
            if self._next is not None or not _is_same_user(channel):
                channel.close()
                return
            hello = json.dumps({"version": PROTOCOL_VERSION, "listen": [*self._listen]}).encode()
            socket.send_fds(channel, [hello], [self._listening()])
        except OSError as fault:
            log.warning("handing over failed: %s", fault)
            channel.close()
            return
        self._next = channel
        self._send_report()
        self._exchange = IdExchange(channel, self._ids, self._handle)
        log.info("the next version has come")
        self._changed()

    def _send_report(self) -> None:
        if self._next is not None:
            with contextlib.suppress(OSError):  # its end is seen by the reader, and another report follows
                self._next.send(json.dumps({"open": self._needed()}).encode())
            self._report_timer = self._loop.call_later(REPORT_INTERVAL_S, self._send_report)

    def _handle(self, message: dict[str, Any] | None) -> None:
        if self._next is None:
            return  # closed meanwhile
        if message is not None:
            if message.get("ready") is True and not self.ready:
                self.ready = True
                self._stop_accepting()  # the name belongs to the next version now
                log.info("the next version serves")
                self._changed()
            return
        log.warning("the next version has ended; this one goes on")
        self._disconnect()
        if self.ready:
            self.ready = False
            try:
                self._start_accepting()
            except OSError as fault:
                log.error("no further version can take over: %s", fault)
        self._changed()
