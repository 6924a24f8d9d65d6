"""Exchange of request ids between two versions of an agent that serve at one address.

Each tells the other of the ids of its requests with an effect (`decisions/request_ids.py`), over the
connection of `upgrade.py`. What is told lies in the connection's queue from the moment `tell` returns, unless
that queue is full: then it is kept here, as many as are remembered at most, and sent as there is room.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from sorrelfront.decisions.request_ids import RequestIds

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 4_096
IDS = b"ids "  # begins a message of ids, which are tokens of visible characters, with a blank between them


def decode(data: bytes) -> dict[str, Any]:
    """Decode a message; empty if it is not a JSON object."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}


class IdExchange:
    """One end of the connection to another version: reads all its messages, and sends ids."""

    def __init__(
        self, channel: socket.socket, ids: RequestIds, on_message: Callable[[dict[str, Any] | None], None]
    ) -> None:
        """Send all ids known so far, and those to come.

        `on_message` is called with each message of the other version, and with None once it has ended, in a
        step of the event loop of its own.
        """
        self._channel = channel
        self._ids = ids
        self._on_message = on_message
        self._loop = asyncio.get_running_loop()
        self._unsent: deque[bytes] = deque(ids, ids.max_ids)  # the other version remembers no more
        self._writing = False
        self._ended = False
        channel.setblocking(False)
        ids.connect(self)
        self._loop.add_reader(channel.fileno(), self.listen)
        self._flush()

    def tell(self, request_id: bytes) -> None:
        """Tell the other version of an id, without waiting."""
        self._unsent.append(request_id)
        self._flush()

    def listen(self) -> None:
        """Take in all that the other version has sent so far."""
        while not self._ended:
            try:
                data = self._channel.recv(MAX_MESSAGE_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data = b""
            if not data:
                self.close()
                self._loop.call_soon(self._on_message, None)
                return
            if data.startswith(IDS):
                for request_id in data[len(IDS) :].split(b" "):
                    self._ids.add_told(request_id, self)
            else:
                self._loop.call_soon(self._on_message, decode(data))

    def close(self) -> None:
        """Exchange no more ids. The connection itself stays open."""
        if self._ended:
            return
        self._ended = True
        self._ids.disconnect(self)
        self._loop.remove_reader(self._channel.fileno())
        if self._writing:
            self._loop.remove_writer(self._channel.fileno())
        self._unsent.clear()

    def _flush(self) -> None:
        """Send what is unsent as far as the connection takes it; the rest as it has room."""
        while self._unsent and not self._ended:
            batch = [*self._next_batch()]
            try:
                self._channel.send(IDS + b" ".join(batch))
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                return  # its end is seen by the reader
            for _ in batch:
                self._unsent.popleft()
        self._watch_writable(bool(self._unsent) and not self._ended)

    def _next_batch(self) -> Iterator[bytes]:
        size = 0
        for one in self._unsent:
            size += len(one) + 1
            if size > MAX_MESSAGE_BYTES - len(IDS):
                return
            yield one

    def _watch_writable(self, on: bool) -> None:
        if on and not self._writing:
            self._loop.add_writer(self._channel.fileno(), self._flush)
        elif self._writing and not on:
            self._loop.remove_writer(self._channel.fileno())
        self._writing = on
