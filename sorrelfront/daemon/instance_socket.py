"""An instance's own socket, by which a starting supervisor finds and identifies it.

It is a Unix socket (SOCK_SEQPACKET, mode 0600) for the instance's own user and root, as the kernel reports
them. A client may send `hello` and receives a description of the instance and its listening sockets. `adopt`
makes the connection the instance's channel; `others` tells an instance that is leaving that another process
now has its sockets; `ids` is another instance that exchanges request ids. No other message changes anything.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable
from pathlib import Path

from sorrelfront.daemon.channel import (
    BadMessage,
    Message,
    bind_private,
    configure_socket,
    is_owner,
    receive,
    send,
)

MAX_CONNECTIONS = 4  # concurrent connections; further ones are closed immediately
CONNECTION_TIMEOUT_S = 10.0  # for a client to send `adopt`

HelloHandler = Callable[[], tuple[Message, list[int]]]
AdoptHandler = Callable[[Message, socket.socket], str | None]
IdsHandler = Callable[[socket.socket], None]


class InstanceSocket:
    """Listens in the run folder as NAME-PID.sock.

    `adopt` receives the message and the connection, and returns the reason of a refusal, or None if it now
    owns the connection. `ids` owns the connection that it receives.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        hello: HelloHandler,
        adopt: AdoptHandler,
        others: Callable[[], None],
        ids: IdsHandler,
    ) -> None:
        """Create the socket and accept connections. Raises OSError."""
        self.path = folder / f"{name}-{os.getpid()}.sock"
        self._hello = hello
        self._adopt = adopt
        self._others = others
        self._ids = ids
        self._connections: dict[socket.socket, asyncio.TimerHandle] = {}
        self._loop = asyncio.get_running_loop()
        self.path.unlink(missing_ok=True)  # left by an earlier process with the same id
        # Renamed only once it listens: a socket found between bind and listen refuses connections, and would
        # be removed as one of an ended process.
        hidden = folder / f".{name}-{os.getpid()}"
        hidden.unlink(missing_ok=True)
        self._sock = bind_private(socket.SOCK_SEQPACKET, hidden)
        self._sock.listen(MAX_CONNECTIONS)
        hidden.rename(self.path)
        self._sock.setblocking(False)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def close(self) -> None:
        """Remove the socket and close all connections."""
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()
        with contextlib.suppress(OSError):
            self.path.unlink(missing_ok=True)
        for connection in [*self._connections]:
            self._drop(connection)

    def _accept(self) -> None:
        try:
            connection, _ = self._sock.accept()
        except OSError:
            return
        if len(self._connections) >= MAX_CONNECTIONS or not is_owner(connection):
            connection.close()
            return
        configure_socket(connection)
        self._connections[connection] = self._loop.call_later(CONNECTION_TIMEOUT_S, self._drop, connection)
        self._loop.add_reader(connection.fileno(), self._on_message, connection)

    def _release(self, connection: socket.socket) -> None:
        self._connections.pop(connection).cancel()
        self._loop.remove_reader(connection.fileno())

    def _drop(self, connection: socket.socket) -> None:
        self._release(connection)
        connection.close()

    def _on_message(self, connection: socket.socket) -> None:
        try:
            got = receive(connection)
        except BlockingIOError:
            return
        except BadMessage:
            got = None
        if got is None:
            self._drop(connection)
            return
        message, descriptors = got
        for descriptor in descriptors:
            os.close(descriptor)
        match message.get("op"):
            case "hello":
                answer, sockets = self._hello()
                send(connection, answer, sockets)
            case "others":
                self._others()
            case "ids":
                self._release(connection)
                self._ids(connection)
            case "adopt":
                why = self._adopt(message, connection)
                send(connection, {"op": "adopted", "id": message.get("id"), "fault": why})
                if why is None:
                    self._release(connection)
                else:
                    self._drop(connection)
            case _:
                self._drop(connection)
