"""Loopback stand-ins for tests, demo and benchmarks: HTTP backends, a registry and clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

WAIT_TIMEOUT_S = 30.0  # only a failing test waits this long

CLASSES = [
    {"name": "look", "repeat": "pure", "aimUs": 3_000_000, "giveUpUs": 5_000_000},
    {"name": "book", "repeat": "token", "aimUs": 3_000_000, "giveUpUs": 5_000_000, "windowUs": 4_000_000},
    {"name": "pay", "repeat": "side_effect", "aimUs": 3_000_000, "giveUpUs": 5_000_000},
]


def make_config(discovery: str, members: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Return a configuration; `changes` override the limits of its settings."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",  # taken from the environment, or any free port in AgentHarness
        "discovery": discovery,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "grades": CLASSES,
            "instances": 1,
            "ordinal": 0,
            "registryMode": "subscribe",
            "limits": {
                "mostTries": 3,
                "mayCancel": True,
                "maxRetryAfterUs": 500_000,
                "connectTimeoutUs": 250_000,
                "connIdleUs": 30_000_000,
                "mostHeld": 1_000,
                **changes,
            },
            "rules": {
                "answerSlackUs": 20_000,
                "askWithinUs": 200_000,
                "coldFrom": 0.3,
                "coldUs": 9_000_000,
                "overloadFactor": 3.0,
                "stopSendingWithinUs": 500_000,
                "tipAfterUs": 1_500_000,
            },
        },
    }


def member(name: str, address: str, phase: str = "ready") -> dict[str, Any]:
    """Return a registry record of a server."""
    return {"id": name, "host_port": address, "locality": "a", "flavor": "m", "cell": 0, "phase": phase}


def answer(body: bytes, status: str = "200 OK", headers: str = "") -> bytes:
    """Return an HTTP/1.1 answer; each line of `headers` ends with CRLF."""
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status.encode(), headers.encode(), len(body), body,
    )  # fmt: skip


Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


def gated_script(data: bytes) -> tuple[asyncio.Event, Script]:
    """Return an event and a script that answers with `data` once the event is set."""
    go = asyncio.Event()

    async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        writer.write(data)

    return go, later


class Backend:
    """Reads the requests of each connection in order and passes each to its script."""

    def __init__(self, script: Script | bytes) -> None:
        self.script = script
        self.received: list[bytes] = []  # whole requests, head and body
        self.connections = 0
        self.arrived = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Backend:
        """Listen on `host`:`port`; port 0 takes any free port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                for line in request.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        request += await reader.readexactly(int(line[15:]))
                self.received.append(request)
                self.arrived.set()
                if isinstance(self.script, bytes):
                    writer.write(self.script)
                else:
                    await self.script(request, writer)
        writer.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        for writer in self._writers:
            writer.close()


class Registry:
    """Discovery: every watch gets the complete list, if there is one, and then each update."""

    def __init__(self) -> None:
        self.watches = 0
        self.watch_opened = asyncio.Event()
        self.members: list[dict[str, Any]] = []  # the complete list, sent first on each watch unless empty
        self.revision = 1
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> Registry:
        """Listen on any free port of `host`."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches += 1
            self._open.add(writer)
            if self.members:
                self._line(writer, self.revision, True, self.members)
            self.watch_opened.set()
            while not writer.is_closing() and not reader.at_eof():
                self._chunk(writer, b"\n")
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), 0.2)
        self._open.discard(writer)
        writer.close()

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_update(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        """Send an update to every open watch, without storing it."""
        for writer in self._open:
            self._line(writer, revision, complete, list(members))

    def update(self, *members: dict[str, Any]) -> None:
        """Send these changed members to every watch, and store them for later watches."""
        self.revision += 1
        for changed in members:
            self.members = [item for item in self.members if item["id"] != changed["id"]]
            if changed["phase"] != "gone":
                self.members.append(changed)
        self.send_update(self.revision, *members)

    def _line(
        self, writer: asyncio.StreamWriter, revision: int, complete: bool, members: list[dict[str, Any]]
    ) -> None:
        update = {"revision": revision, "complete": complete, "members": members}
        self._chunk(writer, json.dumps(update).encode() + b"\n")

    @property
    def open_watches(self) -> int:
        """The number of open watches."""
        return len(self._open)

    def stop(self) -> None:
        """Stop listening and close all watches."""
        self.server.close()
        for writer in self._open:
            writer.close()


class Client:
    """One connection to an agent that sends arbitrary bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Queue `data` for sending."""
        self.writer.write(data)

    async def head(self) -> bytes:
        """Read the head of the next answer; raises TimeoutError after WAIT_TIMEOUT_S."""
        return await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)

    async def answer(self) -> tuple[int, bytes, bytes]:
        """Return status, head and body of the next answer."""
        head = await self.head()
        lines = head.lower().split(b"\r\n")
        (length,) = (int(line[15:]) for line in lines if line.startswith(b"content-length:"))
        body = await asyncio.wait_for(self.reader.readexactly(length), WAIT_TIMEOUT_S)
        return int(head.split()[1]), head, body

    async def wait_closed(self) -> bool:
        """Wait until the agent closes the connection, discarding any data before that."""
        with contextlib.suppress(OSError):
            while await asyncio.wait_for(self.reader.read(65_536), WAIT_TIMEOUT_S):
                pass
        return True

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def connect(address: tuple[str, int]) -> Client:
    """Open a connection to an agent."""
    return Client(*await asyncio.open_connection(*address))


def request(name: str, cls: str = "look", body: bytes = b"", budget: str = "4500m", more: str = "") -> bytes:
    """Return a request of class `cls`; `more` is added to its header lines."""
    method = "GET" if cls == "look" else "POST"
    key = f"Idempotency-Key: k{name}\r\n" if cls == "book" else ""
    length = f"Content-Length: {len(body)}\r\n" if cls != "look" else ""
    head = f"{method} /{cls}?k=1 HTTP/1.1\r\nHost: app\r\nX-Call-Id: {name}\r\nX-Budget: {budget}\r\n"
    return (head + key + length + more + "\r\n").encode() + body
