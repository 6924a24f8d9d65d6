"""Servers whose answers come in every pace and framing, and clients that tell a whole one from a broken one.

A request says how it is answered in its `X-Do` header: FRAMING,PACE,BYTES,END.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass

from sorrelfront.lab.http1 import Script

PACES = {
    # Seconds before each equal part of the body; the first counts from the head.
    "at-once": (0.0,),
    "late-body": (0.9,),
    "lumps": (0.0, 0.75, 0.75, 0.75),
    "steady": (0.1,) * 12,
    "growing": (0.0, 0.1, 0.35, 0.6, 0.85),
}
FRAMINGS = ("length", "chunked", "close")


def body_bytes(count: int) -> bytes:
    """Return a body in which a shift or a gap shows."""
    return (bytes(range(251)) * (count // 251 + 1))[:count]


def scripted_answers() -> Script:
    """Return the script of a server that answers as the request says, and then as `END` says.

    `end`: in the way of its framing; `stop`: half way, and nothing further; `reset`, `truncate`: half way,
    and the connection is reset or closed. An answer without a length that is truncated is a whole one.
    """

    async def script(whole: bytes, writer: asyncio.StreamWriter) -> None:
        fields = dict(line.split(b": ", 1) for line in whole.lower().split(b"\r\n\r\n")[0].split(b"\r\n")[1:])
        framing, pace, count, end = fields.get(b"x-do", b"length,at-once,6,end").decode().split(",")
        body = body_bytes(int(count))
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % _framing_line(framing, len(body)))
        pauses = PACES[pace]
        size = -(-len(body) // len(pauses))
        parts = [body[at * size : (at + 1) * size] for at in range(len(pauses))]
        if end != "end":
            parts = [*parts[: len(parts) // 2], parts[len(parts) // 2][: size // 2]]
        for pause_s, part in zip(pauses, parts, strict=False):
            await asyncio.sleep(pause_s)
            if framing == "chunked" and end != "end":
                writer.write(b"%x\r\n%b" % (2 * len(part), part))  # the chunk's rest never comes
            elif framing == "chunked":
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            else:
                writer.write(part)
            await writer.drain()
        await _end(framing, end, writer)

    return script


def _framing_line(framing: str, length: int) -> bytes:
    if framing == "length":
        return b"Content-Length: %d\r\n" % length
    return b"Transfer-Encoding: chunked\r\n" if framing == "chunked" else b"Connection: close\r\n"


async def _end(framing: str, end: str, writer: asyncio.StreamWriter) -> None:
    if end == "stop":
        await asyncio.Event().wait()
    if end == "reset":
        sock: socket.socket = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    elif end == "truncate" or framing == "close":
        writer.close()
    elif framing == "chunked":
        writer.write(b"0\r\n\r\n")


@dataclass
class Received:
    """What a client got."""

    status: int = 0  # 0: no answer
    body: bytes = b""
    whole: bool = False  # the answer has ended as its framing says
    ended: bool = True  # with an answer or a break, before the client gave up
    seconds: float = 0.0


async def ask(address: tuple[str, int], data: bytes, limit_s: float = 30.0) -> Received:
    """Send a request on a connection of its own and read its answer, for `limit_s` seconds at most."""
    began = time.monotonic()
    received = Received()
    reader, writer = await asyncio.open_connection(*address)
    try:
        async with asyncio.timeout(limit_s):
            writer.write(data)
            await _read(reader, received)
    except TimeoutError:
        received.ended = False
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()
    received.seconds = time.monotonic() - began
    return received


async def _read(reader: asyncio.StreamReader, received: Received) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    received.status = int(head.split(b" ")[1])
    if b"transfer-encoding: chunked" in head:
        while size := int(await reader.readline(), 16):
            await _read_bytes(reader, size, received)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        (length,) = [int(line[15:]) for line in head.split(b"\r\n") if line.startswith(b"content-length:")]
        await _read_bytes(reader, length, received)
    received.whole = True


async def _read_bytes(reader: asyncio.StreamReader, count: int, received: Received) -> None:
    """Read so many bytes, and keep also what came of them before a break."""
    while count > 0:
        piece = await reader.read(min(count, 65_536))
        if not piece:
            raise asyncio.IncompleteReadError(b"", count)
        received.body += piece
        count -= len(piece)


def with_answer(data: bytes, framing: str, pace: str, count: int, end: str = "end") -> bytes:
    """Return the request with the header that says how it is answered."""
    head, separator, body = data.partition(b"\r\n\r\n")
    return head + f"\r\nX-Do: {framing},{pace},{count},{end}".encode() + separator + body
