"""Stand-ins for the cases: servers, discovery and clients by PROTOCOL, and the agent as a process.

Only the standard library is used. All of them run in the event loop of the case; each agent is a process of
its own, started with the `run` line of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0  # an agent that is not ready after this long has failed to start
HEARTBEAT_S = 2.0  # PROTOCOL: "While nothing changes, an empty line comes every 2 s."
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer
LATE_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing


PR_SET_PDEATHSIG = 1  # prctl(2)
LIBC = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Have the kernel kill this process, a child about to start its program, when the case's process ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))


class CannotRun(Exception):
    """The case could not be carried out; this says nothing of the rule."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def grade(
    name: str, repeat: str, aim_ms: int, give_up_ms: int, credit: float, window_ms: int
) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "name": name,
        "repeat": repeat,
        "aimUs": aim_ms * 1000,
        "giveUpUs": give_up_ms * 1000,
        "credit": credit,
        "lateWorth": 0.0,
        "dedupScope": "all",
        "windowUs": window_ms * 1000,
        "stream": False,
    }


# The classes of addis-trade with aims and deadlines halved: "aims and deadlines are scaled to match" (DAYS),
# "the longest deadline (3 s at most)" (PROTOCOL).
GRADES = [
    grade("stock-lookup", "pure", 500, 2500, 1.0, 2500),
    grade("price-update", "pure", 750, 3000, 5.0, 2500),
    grade("consignment-book", "token", 750, 3000, 10.0, 2000),
    grade("excise-stamp", "side_effect", 1250, 3000, 3.0, 2500),
]


def config(
    listen: str,
    discovery: str,
    members: list[dict[str, Any]],
    memory_mb: int = 64,
    sockets: int = 256,
    grades: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return the configuration of one agent, with the figures of kit/sites/addis-trade.toml."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "grades": grades or GRADES,
            "instances": 1,
            "ordinal": 0,
            "registryMode": "subscribe",
            "valueBy": "work",
            "limits": {
                "connIdleUs": 30_000_000,
                "connectTimeoutUs": 250_000,
                "maxRetryAfterUs": 2_000_000,
                "mayCancel": True,
                "mostHeld": 20_000,
                "mostTries": 4,
                "peers": False,
                "probes": False,
                "retryAfter": True,
                "secondCopies": False,
                "streamsPerConn": 1,
            },
            "rules": {
                "answerSlackUs": 20_000,
                "askWithinUs": 10_000_000,
                "coldFrom": 0.32,
                "coldUs": 9_000_000,
                "overloadFactor": 3.0,
                "stopSendingWithinUs": 500_000,
                "tipAfterUs": 1_500_000,
            },
        },
    }


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Agent:
    """One agent, a process started with the deploy file's `run`."""

    def __init__(
        self,
        name: str,
        settings: dict[str, Any],
        folder: Path,
        record: Record,
        shared: Path | None = None,
        control: str = "",
    ) -> None:
        self.name, self.settings, self.record, self.control = name, settings, record, control
        self.folder = folder / name
        self.folder.mkdir()
        self.tmp = shared or self.folder / "tmp"
        self.tmp.mkdir(exist_ok=True)
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self) -> None:
        """Write the configuration file."""
        (self.folder / "config.json").write_text(json.dumps(self.settings))

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "TMPDIR": str(self.tmp),
            "BALANCER_NAME": self.settings["name"],
            "BALANCER_LISTEN": self.settings["listen"],
            "BALANCER_DISCOVERY": self.settings["discovery"],
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "BALANCER_CONTROL": self.control,
        }
        with (self.folder / "log.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        address, path = (
            (self.control, "/ready") if self.control else (self.settings["listen"], "/health/ready")
        )
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                if await self._ready(address, path):
                    self.record(f"{self.name}: ready, process {self.process.pid}")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {(self.folder / 'log.txt').read_text()[-500:]}")

    async def _ready(self, address: str, path: str) -> bool:
        host, port = address.split(":")
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".encode())
                return (await reader.readuntil(b"\r\n")).split()[1] == b"200"
            finally:
                writer.close()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def check_running(self) -> None:
        """Raise CannotRun if the process has ended by itself."""
        if self.process is None or self.process.returncode is not None:
            raise CannotRun(f"{self.name} has ended by itself")

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Request:
    """A request as a server has read it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        self.body = body
        self.id = self.headers.get("x-call-id", "")
        self.cls = self.target.split("?")[0].strip("/").split("/")[0]


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read a head and the body that its Content-Length or chunks announce."""
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return head, body
    for line in lower.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return head, await reader.readexactly(int(line[15:]))
    return head, b""


def whole(body: bytes, status: str = "200 OK") -> bytes:
    """Return an answer with a length."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


Script = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """A server: a connection carries one request at a time. The script answers; False ends the connection."""

    def __init__(self, name: str, record: Record, script: Script) -> None:
        self.name, self.record, self.script = name, record, script
        self.ran: list[tuple[float, Request]] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> dict[str, Any]:
        """Listen at a free port, and return the entry for the list."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        port = self._server.sockets[0].getsockname()[1]
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{port}",
            "locality": "addis-bole",
            "flavor": "fast-single",
            "cell": 0,
            "phase": "ready",
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                while True:
                    request = Request(*await read_message(reader))
                    self.ran.append((time.monotonic(), request))
                    self.record(
                        f"{self.name}: runs {request.method} {request.cls} {request.id}, "
                        f"body {len(request.body)}"
                    )
                    if not await self.script(self, request, writer):
                        break
                    await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for writer in [*self._writers]:
            writer.close()


class Discovery:
    """Discovery: each watch gets the whole list, then an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.members: list[dict[str, Any]] = []
        self._stopped = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen at a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                listed = json.dumps({"revision": 2, "complete": True, "members": self.members}).encode()
                if b"watch=1" not in target:
                    writer.write(whole(listed))
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = listed + b"\n"
                while not writer.is_closing() and not self._stopped.is_set():
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    await writer.drain()
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(HEARTBEAT_S):
                            await self._stopped.wait()
                    line = b"\n"
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and close all watches."""
        self._stopped.set()
        self._server.close()
        for writer in [*self._writers]:
            writer.close()


def request_bytes(call_id: str, cls: str, budget_ms: int, body: bytes = b"") -> bytes:
    """Return a request by PROTOCOL."""
    repeat = next(item["repeat"] for item in GRADES if item["name"] == cls)
    head = f"{'GET' if repeat == 'pure' else 'POST'} /{cls}?k=7f3a9c21 HTTP/1.1\r\nHost: app.svc\r\n"
    head += f"X-Call-Id: {call_id}\r\nX-Budget: {budget_ms}m\r\n"
    if repeat == "token":
        head += f"Idempotency-Key: key-{call_id}\r\n"
    if repeat != "pure":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    """Return status, whether the agent ends the connection, and body of an answer."""
    head, body = await read_message(reader)
    return int(head.split()[1]), b"connection: close" in head.lower(), body


def main(case: Callable[[Path, Record, bool], Awaitable[bool]], folder: Path, limit_s: float = 110) -> None:
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))

    async def limited() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(scratch, record, trouble)

    try:
        held = asyncio.run(limited())
    except CannotRun as fault:
        record(f"cannot run: {fault}")
        print(f"cannot run: {fault}")
        sys.exit(2)
    except (Exception, asyncio.CancelledError) as fault:
        record(f"cannot run: {type(fault).__name__}: {fault}")
        print(f"cannot run: {type(fault).__name__}: {fault}")
        sys.exit(2)
    finally:
        for log in sorted(scratch.glob("*/log.txt")):
            lines = [
                line for line in log.read_text(errors="replace").splitlines() if " settings " not in line
            ]
            for line in lines[:60]:
                record(f"log of {log.parent.name}: {line[:300]}")
        shutil.rmtree(scratch, ignore_errors=True)
    record("the rule held" if held else "the rule was broken")
    with contextlib.suppress(OSError):  # whoever reads the output may be gone
        print("the rule held" if held else "the rule was broken", flush=True)
    sys.exit(0 if held else 1)
