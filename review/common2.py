"""What the cases 6 to 10 share: stand-ins, a client, processes and the record. Standard library only."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType

ROOT = Path(__file__).resolve().parent.parent
PYTHON = str(ROOT / ".venv" / "bin" / "python")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.monotonic()
LIMIT_S = 100.0  # for a case to be played; its end takes END_S more at most


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def now() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - BEGAN


_taken: set[int] = set()


def free_port(count: int = 1) -> int:
    """Return the first of `count` free ports in a row on the loopback address.

    They lie below those that the kernel gives to outgoing connections, which could take them meanwhile,
    and are drawn at random, so that scripts that run side by side do not choose the same.
    """
    while True:
        port = random.randrange(20_000, 30_000)
        ports = range(port, port + count)
        if not _taken.intersection(ports) and all(_is_free(item) for item in ports):
            _taken.update(ports)
            return port


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Record:
    """Writes what was sent, answered and run to record.txt of the case, line by line."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)

    def __call__(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{now():8.3f} {text}\n")


class Request:
    """One request as a server or the discovery stand-in has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.at = now()

    @property
    def id(self) -> str:
        """The X-Call-Id."""
        return self.headers.get("x-call-id", "-")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a message with a length or chunks; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            while size := int((await reader.readline()).strip() or b"0", 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return first, headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


# What a server does with a request: the status and body of its answer; None: it breaks the connection.
Behaviour = Callable[["Server", Request], Awaitable[tuple[int, bytes] | None]]


class Server:
    """A scripted backend: keeps connections, answers one request at a time on each, notes what it began."""

    def __init__(self, name: str, record: Record, behave: Behaviour) -> None:
        self.name, self.record, self.behave = name, record, behave
        self.ran: list[Request] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def reset(self) -> None:
        """Reset all connections, as a process that is killed and started again at once."""
        for writer in [*self._writers]:
            writer.transport.abort()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ")
                request = Request(method, target, message[1], message[2])
                self.ran.append(request)
                self.record(f"server {self.name} begins {method} {target} id {request.id} "
                            f"key {request.headers.get('idempotency-key', '-')}")  # fmt: skip
                answer = await self.behave(self, request)
                if answer is None:
                    self.record(f"server {self.name} breaks the connection of {request.id}")
                    writer.transport.abort()
                    return
                status, body = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
                self.record(f"server {self.name} answers {request.id} with {status}")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def sound(server: Server, request: Request) -> tuple[int, bytes] | None:
    """Serve the request after a short while."""
    await asyncio.sleep(0.02)
    return 200, f"{server.name} served {request.id}".encode()


class Discovery:
    """A list service: whole lists and watches, with an empty line every 2 s, as the protocol page has it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.members: dict[str, dict[str, object]] = {}
        self._log: list[tuple[int, dict[str, object]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def put(self, name: str, address: str, phase: str = "ready") -> None:
        """Change a member."""
        self.revision += 1
        entry: dict[str, object] = {
            "id": name, "host_port": address, "locality": "a", "flavor": "m", "cell": 0, "phase": phase,
            "size": 1.0, "up_since_ms": 0,
        }  # fmt: skip
        self.members[name] = entry
        self._log.append((self.revision, entry))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        return {"revision": self.revision, "complete": True, "members": [*self.members.values()]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            message = await read_message(reader)
            if message is None:
                return
            target = message[0].split(" ")[1]
            if "watch=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            after = int(target.partition("after=")[2].partition("&")[0] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, self.whole())
            after = self.revision
            while True:
                changed = self._changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 2.0)
                entries = [entry for revision, entry in self._log if revision > after]
                after = self.revision
                update = {"revision": after, "complete": False, "members": entries}
                self._line(writer, update if entries else None)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _line(self, writer: asyncio.StreamWriter, value: dict[str, object] | None) -> None:
        line = (b"" if value is None else json.dumps(value).encode()) + b"\n"
        writer.write(b"%x\r\n" % len(line) + line + b"\r\n")


class Answer:
    """The final answer of a request; status 0: none, with what came instead in `why`."""

    def __init__(self, status: int, body: bytes, headers: dict[str, str], why: str = "") -> None:
        self.status, self.body, self.headers, self.why = status, body, headers, why
        self.at = now()


class Connection:
    """A client's connection, with one request at a time."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect. Raises OSError."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def send(
        self, method: str, path: str, call_id: str, budget_ms: int, key: str = "", again: bool = False
    ) -> None:
        """Write one request."""
        if self.writer is None:
            await self.open()
        assert self.writer is not None
        lines = [f"{method} {path} HTTP/1.1", "Host: app.svc", f"X-Call-Id: {call_id}",
                 f"X-Budget: {budget_ms}m"]  # fmt: skip
        if key:
            lines.append(f"Idempotency-Key: {key}")
        if again:
            lines.append("X-Again: 1")
        if method == "POST":
            lines.append("Content-Length: 0")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self.writer.drain()
        self.record(f"client sends {method} {path} id {call_id} budget {budget_ms} ms")

    async def receive(self, call_id: str, within_s: float) -> Answer:
        """Wait for the answer."""
        assert self.reader is not None
        try:
            async with asyncio.timeout(within_s):
                message = await read_message(self.reader)
        except TimeoutError:
            answer = Answer(0, b"", {}, "no answer in time")
        else:
            if message is None:
                answer = Answer(0, b"", {}, "the connection ended without an answer")
            else:
                answer = Answer(int(message[0].split(" ")[1]), message[2], message[1])
        self.record(f"client has for {call_id}: {answer.status or answer.why} {answer.body[:60]!r}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


# Kills the process groups that it was told of, and removes the temporary folder, if the script ends without
# saying that it has done so itself, as after SIGKILL.
REAPER = """
import os, shutil, signal, sys, time
groups = set()
for line in sys.stdin:
    if line.strip() == "done":
        sys.exit()
    number = int(line)
    groups.add(number) if number > 0 else groups.discard(-number)
for group in groups:
    try:
        os.killpg(group, signal.SIGKILL)
    except (ProcessLookupError, PermissionError):
        pass
time.sleep(0.5)
shutil.rmtree(sys.argv[1], ignore_errors=True)
"""
END_S = 5.0  # for killed processes to be gone


class Case:
    """A running case: its record, its temporary folder and the processes that it started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="case-", dir="/tmp"))
        self.groups: dict[int, asyncio.subprocess.Process] = {}
        self._reaper = subprocess.Popen(
            [sys.executable, "-c", REAPER, str(self.temporary)], stdin=subprocess.PIPE, text=True,
            start_new_session=True,
        )  # fmt: skip

    def _tell_reaper(self, text: str) -> None:
        assert self._reaper.stdin is not None
        with contextlib.suppress(OSError):
            self._reaper.stdin.write(f"{text}\n")
            self._reaper.stdin.flush()

    def _add(self, process: asyncio.subprocess.Process) -> None:
        self.groups[process.pid] = process
        self._tell_reaper(str(process.pid))

    async def start(
        self, arguments: list[str], log: str, environment: dict[str, str] | None = None
    ) -> asyncio.subprocess.Process:
        """Start a process from the project's root, in a process group of its own."""
        with (self.temporary / log).open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *arguments, cwd=ROOT, env={**os.environ, **(environment or {})},
                stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output, start_new_session=True,
            )  # fmt: skip
        self._add(process)
        self.record(f"started process {process.pid}: {' '.join(arguments[-4:])}")
        return process

    async def output_of(self, arguments: list[str], within_s: float = 20.0) -> tuple[int, str]:
        """Run a command and return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            *arguments, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT, start_new_session=True,
        )  # fmt: skip
        self._add(process)
        try:
            text, _ = await asyncio.wait_for(process.communicate(), within_s)
        except TimeoutError:
            return -1, "no end in time"
        del self.groups[process.pid]  # it has ended, and its number may be another's soon
        self._tell_reaper(str(-process.pid))
        return process.returncode or 0, text.decode(errors="replace").strip()

    async def finish(self) -> None:
        """Kill all processes that were started, and theirs: each has a group. Remove the temporary folder."""
        for group in self.groups:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(group, signal.SIGKILL)
        for process in self.groups.values():
            await process.wait()
        until = time.monotonic() + END_S
        while time.monotonic() < until and any(_is_alive(group) for group in self.groups):
            await asyncio.sleep(0.02)
        logs = self.folder / "logs"
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, logs, dirs_exist_ok=True,
                            ignore=shutil.ignore_patterns("*.sock", "next-version*"))  # fmt: skip
        shutil.rmtree(self.temporary, ignore_errors=True)
        self._tell_reaper("done")
        self._reaper.wait()


def _is_alive(group: int) -> bool:
    try:
        os.killpg(group, 0)
    except (ProcessLookupError, PermissionError):
        return False
    return True


async def wait_ready(port: int, within_s: float = 15.0) -> None:
    """Wait until GET /health/ready is answered with 200. Raises CannotRun."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                async with asyncio.timeout(1.0):
                    message = await read_message(reader)
                if message is not None and " 200" in message[0]:
                    return
            finally:
                writer.close()
        await asyncio.sleep(0.05)
    raise CannotRun(f"port {port} did not become ready")


def _cannot_run(kind: type[BaseException], fault: BaseException, trace: TracebackType | None) -> None:
    """End with 2 after an exception that nothing has handled; the interpreter's own code, 1, means broken."""
    traceback.print_exception(kind, fault, trace)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = _cannot_run


def run_case(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case, print its verdict and exit with 0 (held), 1 (broken) or 2 (could not run)."""

    async def whole() -> list[str]:
        case = Case(folder)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        # What stand-ins leave open at the end is no part of the verdict.
        loop.set_exception_handler(lambda *_: None)
        try:
            async with asyncio.timeout(LIMIT_S):
                breaches = await play(case)
            for breach in breaches:
                case.record(f"BROKEN {breach}")
            if not breaches:
                case.record("the rule held")
            return breaches
        except (Exception, asyncio.CancelledError) as fault:
            case.record(f"could not run: {type(fault).__name__}: {fault}")
            raise CannotRun(f"{type(fault).__name__}: {fault}") from None
        finally:
            await case.finish()

    try:
        breaches = asyncio.run(whole())
    except CannotRun as fault:
        print(f"could not run: {fault}")
        sys.exit(2)
    for breach in breaches[:10]:
        print(f"BROKEN {breach}")
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
