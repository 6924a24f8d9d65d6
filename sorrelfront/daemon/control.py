"""Control socket: a Unix socket, usable by its owner only, with length-prefixed JSON.

A frame is a four-byte big-endian length and that many bytes of JSON, an object. A connection carries requests
and their answers in turn. An answer with a list that does not fit one frame (LIST_KEYS) is sent in several
frames; each but the last has the key `more`. Anything else closes the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import stat
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from sorrelfront.daemon.channel import Message, bind_private, is_owner
from sorrelfront.errors import SorrelfrontError
from sorrelfront.net.streams import close_stream

MAX_FRAME_BYTES = 64 * 1024  # in either direction
MAX_CONNECTIONS = 16  # concurrent ones; further connections are closed immediately
MAX_ANSWER_FRAMES = 256
EXCHANGE_TIMEOUT_S = 5.0  # for a peer to send a whole request, and to read each frame of the answer
LENGTH_PREFIX = struct.Struct(">I")
LIST_KEYS = ("instances", "members", "history")  # the lists of an answer that may be split over frames

Handler = Callable[[Message], Awaitable[Message]]


class DaemonUnavailable(SorrelfrontError):
    """No daemon answers at the control socket, or its answer is not valid."""

    remedy = (
        "Start the daemon by `sorrelfront serve FILE`, or name the FILE that the running "
        "one was started with."
    )


class DaemonNotRunning(DaemonUnavailable):
    """No daemon listens on the socket."""


class Control:
    """Serves the socket. Each connection has its own task, so that a slow peer does not delay others."""

    def __init__(self, path: Path, handler: Handler) -> None:
        """Bind the socket.

        Raises:
            OSError: The socket cannot be bound, or another daemon accepts connections on it.
        """
        self._path = path
        self._handler = handler
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._sock = _bind(path)
        self._inode = os.stat(path).st_ino

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_unix_server(self._serve, sock=self._sock, limit=MAX_FRAME_BYTES)

    async def close(self) -> None:
        """Stop accepting, remove the socket's file if it is still this one's, and end all connections."""
        self._server.close()
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:  # not the socket of a replacement
                self._path.unlink()
        for task in self._connection_tasks:
            task.cancel()
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        try:
            if len(self._connection_tasks) < MAX_CONNECTIONS and is_owner(writer.get_extra_info("socket")):
                self._connection_tasks.add(task)
                await self._serve_requests(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await close_stream(writer)
            self._connection_tasks.discard(task)

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                message = await _read_frame(reader)
            answer = await self._handler(message)
            for part in _split_answer(answer):
                writer.write(_encode_frame(part))
                async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                    await writer.drain()


def _bind(path: Path) -> socket.socket:
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.stat(path).st_mode) and not _accepts_connections(path):
            path.unlink()  # stale: its daemon was killed
    sock = bind_private(socket.SOCK_STREAM, path)
    sock.setblocking(False)
    sock.listen(MAX_CONNECTIONS)
    return sock


def _accepts_connections(path: Path) -> bool:
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(str(path))
        except TimeoutError:
            return True
        except OSError:
            return False
    return True


def _encode_frame(message: Message) -> bytes:
    data = json.dumps(message).encode()
    if len(data) > MAX_FRAME_BYTES:
        data = json.dumps({"ok": False, "fault": "the answer is too long"}).encode()
    return LENGTH_PREFIX.pack(len(data)) + data


def _split_answer(answer: Message) -> list[Message]:
    """Split an answer into frames that fit the limit, if it has a list that can be split."""
    key = next((name for name in LIST_KEYS if isinstance(answer.get(name), list)), LIST_KEYS[0])
    rows = answer.get(key)
    size = len(json.dumps(answer))
    if size <= MAX_FRAME_BYTES or not isinstance(rows, list) or not rows:
        return [answer]
    chunks: list[list[Any]] = [[]]
    remaining = MAX_FRAME_BYTES // 2  # the first frame also carries the rest of the answer
    for row in rows:
        length = len(json.dumps(row)) + 2
        if chunks[-1] and length > remaining:
            chunks.append([])
            remaining = MAX_FRAME_BYTES // 2
        chunks[-1].append(row)
        remaining -= length
    parts: list[Message] = [{**answer, key: chunks[0], "more": True}]
    parts += [{key: chunk, "more": True} for chunk in chunks[1:]]
    del parts[-1]["more"]
    return parts


async def _read_frame(reader: asyncio.StreamReader) -> Message:
    """Read one frame. Raises ValueError if it is malformed, IncompleteReadError at the end of the stream."""
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > MAX_FRAME_BYTES:
        raise ValueError("the frame is too long")
    try:
        message = json.loads(await reader.readexactly(length))
    except RecursionError:
        raise ValueError("the frame is nested too deeply") from None
    if not isinstance(message, dict):
        raise ValueError("the frame is not a JSON object")
    return message


async def send_request(path: Path, message: Message, within_s: float = 30.0) -> Message:
    """Send one request and return its answer.

    Raises:
        Unavailable: No daemon answers within `within_s` seconds, or its answer is not valid.
    """
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_unix_connection(path, limit=MAX_FRAME_BYTES)
            writer.write(_encode_frame(message))
            merged = answer = await _read_frame(reader)
            for _ in range(MAX_ANSWER_FRAMES):
                if not answer.get("more"):
                    merged.pop("more", None)
                    return merged
                answer = await _read_frame(reader)
                for key in LIST_KEYS:
                    if key in answer:
                        merged[key] += answer[key]
            raise ValueError("the answer has too many frames")
    except TimeoutError:
        raise DaemonUnavailable(f"{path}: no answer in {within_s:g} s") from None
    except (FileNotFoundError, ConnectionRefusedError):
        raise DaemonNotRunning(f"{path}: nobody answers") from None
    except (OSError, EOFError, ValueError, KeyError, TypeError) as fault:
        raise DaemonUnavailable(f"{path}: {fault or type(fault).__name__}") from None
    finally:
        if writer is not None:
            await close_stream(writer)
