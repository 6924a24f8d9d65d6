"""Exchange of request ids between the instances that accept from one queue, also those of a next program.

Every instance has a socket in the run folder (`instance_socket.py`). One that starts connects to all others
there and sends `ids`; from then on both ends of the connection tell each other of the ids of their requests
(`platform/id_exchange.py`). An instance of a version that does not know `ids` closes the connection.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from functools import partial
from pathlib import Path
from typing import Any

from sorrelfront.daemon.channel import configure_socket, is_owner, peer_credentials, send
from sorrelfront.decisions.request_ids import RequestIds
from sorrelfront.platform.id_exchange import IdExchange

log = logging.getLogger("sorrelfront.daemon")

MAX_EXCHANGES = 256  # instances of a file, twice during a replacement
RETRY_S = 0.1  # after an instance has accepted too many connections at once
MAX_TRIES = 20


class InstanceIds:
    """The connections of one instance to all others, over which request ids are exchanged."""

    def __init__(self, ids: RequestIds, own_path: Path) -> None:
        """Connect to all instances whose sockets lie beside `own_path`."""
        self._ids = ids
        self._loop = asyncio.get_running_loop()
        self._exchanges: dict[socket.socket, IdExchange] = {}
        self._closed = False
        for path in sorted(own_path.parent.glob("[!.]*-*.sock")):
            if path != own_path:
                self._connect(path, MAX_TRIES)

    def __len__(self) -> int:
        return len(self._exchanges)

    def add(self, sock: socket.socket) -> None:
        """Exchange ids over a connection that another instance has opened; it is owned from here on."""
        self._exchange(sock, None, 0)

    def close(self) -> None:
        """Close all connections."""
        self._closed = True
        for sock in [*self._exchanges]:
            self._drop(sock)

    def _connect(self, path: Path, tries: int) -> None:
        if self._closed:
            return
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            sock.connect(str(path))
            if not is_owner(sock):
                raise PermissionError("it belongs to another user")
            configure_socket(sock)
        except BlockingIOError:
            sock.close()
            self._retry(path, tries)
        except OSError:  # the instance has ended, or leaves
            sock.close()
        else:
            if send(sock, {"op": "ids"}):
                self._exchange(sock, path, tries)
            else:
                sock.close()

    def _retry(self, path: Path, tries: int) -> None:
        pids = {peer_credentials(sock)[0] for sock in self._exchanges}
        if tries > 1 and path.exists() and path.stem.rpartition("-")[2] not in map(str, pids):
            self._loop.call_later(RETRY_S, self._connect, path, tries - 1)

    def _exchange(self, sock: socket.socket, path: Path | None, tries: int) -> None:
        if self._closed or len(self._exchanges) >= MAX_EXCHANGES:
            sock.close()
            return
        on_message = partial(self._on_message, sock, path, tries)
        self._exchanges[sock] = IdExchange(sock, self._ids, on_message)

    def _on_message(
        self, sock: socket.socket, path: Path | None, tries: int, message: dict[str, Any] | None
    ) -> None:
        if message is None and sock in self._exchanges:
            self._drop(sock)
            if path is not None:
                self._retry(path, tries)

    def _drop(self, sock: socket.socket) -> None:
        self._exchanges.pop(sock).close()
        sock.close()
