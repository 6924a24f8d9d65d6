"""The control socket: Unix, for its owner alone, length-framed JSON.

A frame is a length of four bytes, most significant first, and as many bytes of JSON, an object. A connection
carries requests and their answers in turn. An answer whose `instances` are too many for a frame comes in
parts: each but the last says `more`. Whatever else comes closes the connection.
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
from sorrelfront.net.streams import end_stream

FRAME_MOST = 64 * 1024  # bytes, either way
PEERS_MOST = 16  # connections at once; more are closed at once
PARTS_MOST = 256  # frames of one answer
SPEAK_S = 5.0  # for a peer's whole request, and for it to take the answer
HEAD = struct.Struct(">I")
ROWS = ("instances", "members", "history")  # of an answer: lists that may come in several frames

Handler = Callable[[Message], Awaitable[Message]]


class Unavailable(SorrelfrontError):
    """No daemon answers there, or not as one does."""

    remedy = (
        "Start the daemon by `sorrelfront serve FILE`, or name the FILE that the running "
        "one was started with."
    )


class NobodyThere(Unavailable):
    """No daemon has the socket."""


class Control:
    """Serves the socket. Each peer has a task of its own, so a slow one holds up nobody."""

    def __init__(self, path: Path, handler: Handler) -> None:
        """Raises OSError, also if another daemon answers there."""
        self._path = path
        self._handler = handler
        self._peers: set[asyncio.Task[None]] = set()
        self._sock = _bind(path)
        self._inode = os.stat(path).st_ino

    async def start(self) -> None:
        self._server = await asyncio.start_unix_server(self._serve, sock=self._sock, limit=FRAME_MOST)

    async def close(self) -> None:
        self._server.close()
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:  # not that of one who took over
                self._path.unlink()
        for task in self._peers:
            task.cancel()
        if self._peers:
            await asyncio.wait(self._peers)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        try:
            if len(self._peers) < PEERS_MOST and is_owner(writer.get_extra_info("socket")):
                self._peers.add(task)
                await self._converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await end_stream(writer)
            self._peers.discard(task)

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            async with asyncio.timeout(SPEAK_S):
                message = await _read(reader)
            answer = await self._handler(message)
            for part in _parts(answer):
                writer.write(_frame(part))
                async with asyncio.timeout(SPEAK_S):
                    await writer.drain()


def _bind(path: Path) -> socket.socket:
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.stat(path).st_mode) and not _answers(path):
            path.unlink()  # left behind by one that was killed
    sock = bind_private(socket.SOCK_STREAM, path)
    sock.setblocking(False)
    sock.listen(PEERS_MOST)
    return sock


def _answers(path: Path) -> bool:
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(str(path))
        except TimeoutError:
            return True
        except OSError:
            return False
    return True


def _frame(message: Message) -> bytes:
    data = json.dumps(message).encode()
    if len(data) > FRAME_MOST:
        data = json.dumps({"ok": False, "fault": "the answer is too long"}).encode()
    return HEAD.pack(len(data)) + data


def _parts(answer: Message) -> list[Message]:
    """The answer in pieces that fit a frame, if its rows can be spread over several."""
    key = next((name for name in ROWS if isinstance(answer.get(name), list)), ROWS[0])
    rows = answer.get(key)
    size = len(json.dumps(answer))
    if size <= FRAME_MOST or not isinstance(rows, list) or not rows:
        return [answer]
    chunks: list[list[Any]] = [[]]
    room = FRAME_MOST // 2  # the rest of the answer goes with the first of them
    for row in rows:
        length = len(json.dumps(row)) + 2
        if chunks[-1] and length > room:
            chunks.append([])
            room = FRAME_MOST // 2
        chunks[-1].append(row)
        room -= length
    parts: list[Message] = [{**answer, key: chunks[0], "more": True}]
    parts += [{key: chunk, "more": True} for chunk in chunks[1:]]
    del parts[-1]["more"]
    return parts


async def _read(reader: asyncio.StreamReader) -> Message:
    """One frame. Raises ValueError if it is none."""
    (length,) = HEAD.unpack(await reader.readexactly(HEAD.size))
    if length > FRAME_MOST:
        raise ValueError("the frame is too long")
    try:
        message = json.loads(await reader.readexactly(length))
    except RecursionError:
        raise ValueError("the frame is nested too deep") from None
    if not isinstance(message, dict):
        raise ValueError("the frame holds no object")
    return message


async def ask(path: Path, message: Message, within_s: float = 30.0) -> Message:
    """One request and its answer. Raises Unavailable."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_unix_connection(path, limit=FRAME_MOST)
            writer.write(_frame(message))
            whole = answer = await _read(reader)
            for _ in range(PARTS_MOST):
                if not answer.get("more"):
                    whole.pop("more", None)
                    return whole
                answer = await _read(reader)
                for key in ROWS:
                    if key in answer:
                        whole[key] += answer[key]
            raise ValueError("an answer without end")
    except TimeoutError:
        raise Unavailable(f"{path}: no answer in {within_s:g} s") from None
    except (FileNotFoundError, ConnectionRefusedError):
        raise NobodyThere(f"{path}: nobody answers") from None
    except (OSError, EOFError, ValueError, KeyError, TypeError) as fault:
        raise Unavailable(f"{path}: {fault or type(fault).__name__}") from None
    finally:
        if writer is not None:
            await end_stream(writer)
