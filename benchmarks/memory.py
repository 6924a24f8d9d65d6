"""Measure the peak memory of the agent against its limit, under load of one kind or of several at once.

    .venv/bin/python -m benchmarks.memory                              # every load at 32, 64 and 192 MB
    .venv/bin/python -m benchmarks.memory --limits 32:512 --loads stalled mixed --tree ../other --seconds 8
    .venv/bin/python -m benchmarks.memory --limits 64:1024 --connections 480

Clients and servers run in this process, the agent in its own. As many clients as a deployment guarantees, a
third of the descriptors, make the load, or as many as `--connections` says; USUAL_CLIENTS of them send usual
requests, and what becomes of these is counted. Memory is anonymous resident memory, sampled every SAMPLE_S.
The agent is not killed over its limit. Prints one JSON object a run; the exit code is 1 if a peak is over
PEAK_SHARE of its limit, or a usual request had no answer in time.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.request_cpu import cpu_us
from sorrelfront.lab.http1 import make_config, member
from tests.test_process import free_address

DEFAULT_LIMITS = ("32:256", "32:512", "64:512", "64:1024", "192:1024")  # MB and descriptors
PEAK_SHARE = 0.9  # of the limit
SERVERS = 8
USUAL_CLIENTS = 8
USUAL_BODY = bytes(24_000)
USUAL_BUDGET_S = 2.0
LATE_S = 0.5  # past its time an answer counts as late only; later as none
SAMPLE_S = 0.02
LONG_ANSWERS = (300_000, 450_000, 600_000, 800_000, 1_000_000)  # bytes
SEGMENT_BYTES = 1_448  # as on an Ethernet; on the loopback interface the kernels buffer megabytes
SMALL_BUFFER_BYTES = 8_192
PIECE_BYTES = 16_384
CHUNK = bytes(4_000)
CHUNKS = 16  # of a body
LONG_HEAD_BYTES = 15_000
SHORT_FIELD = "a:b\r\n"
MANY_FIELDS = 2_900  # so many short ones make a head of nearly 16 KiB
MOST_FIELDS = 240  # of a head that is taken
HALF_ANSWER_S = 0.25  # between the halves of an answer in chunks
RETRY_S = 0.5  # after an answer other than 200

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def request(name: str, body: bytes, length: int | None = None, *, more: str = "", **headers: Any) -> bytes:
    """Return a keyed request; `more` are header lines, and `headers` tell the server what to do (`serve`)."""
    lines = [
        "POST /book HTTP/1.1", "Host: app", f"X-Call-Id: {name}", f"Idempotency-Key: k-{name}",
        f"X-Budget: {int(USUAL_BUDGET_S * 1_000)}m",
        f"Content-Length: {len(body) if length is None else length}",
        *(f"X-Do-{key.capitalize()}: {value}" for key, value in headers.items()),
    ]  # fmt: skip
    return ("\r\n".join([*lines, ""]) + more + "\r\n").encode() + body


def chunked_request(name: str, body: bytes, **headers: Any) -> bytes:
    """Return a keyed request with an encoded body."""
    head = request(name, b"", None, **headers).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers of a message."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def skip(reader: asyncio.StreamReader, length: int, pause_s: float = 0.0) -> None:
    """Read and drop so many bytes, with a pause after each piece."""
    while length > 0:
        piece = await reader.read(min(length, PIECE_BYTES))
        if not piece:
            raise ConnectionError
        length -= len(piece)
        if pause_s:
            await asyncio.sleep(pause_s)


async def skip_body(reader: asyncio.StreamReader, headers: dict[str, str], pause_s: float) -> None:
    """Read and drop the body of a message, with a pause after each piece."""
    if "transfer-encoding" not in headers:
        await skip(reader, int(headers.get("content-length", "0")), pause_s)
        return
    while size := int(await reader.readline(), 16):
        await skip(reader, size + 2, pause_s)
    await reader.readline()


async def send_chunks(writer: asyncio.StreamWriter, count: int) -> None:
    """Send an answer in so many chunks, in two halves."""
    chunk = b"%x\r\n%b\r\n" % (len(CHUNK), CHUNK)
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk * (count // 2))
    await asyncio.sleep(HALF_ANSWER_S)
    writer.write(chunk * (count - count // 2) + b"0\r\n\r\n")
    await writer.drain()


async def skip_answer(reader: asyncio.StreamReader, pause_s: float = 0.0) -> int:
    """Read and drop an answer; return its status. Raises LastAnswer if the connection closes."""
    first, headers = await read_head(reader)
    await skip_body(reader, headers, pause_s)
    status = int(first.split(" ")[1])
    if "close" in headers.get("connection", ""):
        raise LastAnswer(status)
    return status


class LastAnswer(ConnectionError):
    """The connection closes after an answer with this status."""

    def __init__(self, status: int) -> None:
        self.status = status


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests one after another, as their X-Do headers say.

    `read`: seconds between pieces of the body; `wait`: seconds before the answer; `answer`: its length in
    bytes; `halt`: seconds in the middle of it; `chunks`: how many chunks it has; `fields`: of its head.
    """
    try:
        while True:
            _, headers = await read_head(reader)
            await skip_body(reader, headers, float(headers.get("x-do-read", "0")))
            await asyncio.sleep(float(headers.get("x-do-wait", "0.01")))
            if "x-do-chunks" in headers:
                await send_chunks(writer, int(headers["x-do-chunks"]))
                continue
            body = bytes(int(headers.get("x-do-answer", "100")))
            halt_s = float(headers.get("x-do-halt", "0"))
            first = len(body) // 2 if halt_s else len(body)
            more = SHORT_FIELD.encode() * int(headers.get("x-do-fields", "0"))
            writer.write(
                b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n" % (more, len(body)) + body[:first]
            )
            await asyncio.sleep(halt_s)
            writer.write(body[first:])
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()


def listening_socket() -> socket.socket:
    """Return a server's socket whose connections have small buffers."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * SMALL_BUFFER_BYTES)
    sock.bind(("127.0.0.1", 0))
    sock.listen(1_024)
    return sock


class Load:
    """Clients of one agent."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.statuses: Counter[str] = Counter()
        self.usual: Counter[str] = Counter()
        self._count = 0

    def name(self) -> str:
        """Return a new request id."""
        self._count += 1
        return f"r{self._count}"

    async def open(self, small: bool = False) -> Connection:
        """Open a connection; with small buffers the kernels hold little of what is not read."""
        sock = socket.socket()
        sock.setblocking(False)
        if small:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, self.address)
        return await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)

    async def repeat(self, play: Callable[[Connection], Awaitable[None]], small: bool = False) -> None:
        """Play on a connection again and again, and on a new one when it ends."""
        while True:
            writer = None
            try:
                connection = await self.open(small)
                writer = connection[1]
                while True:
                    await play(connection)
            except LastAnswer:
                await asyncio.sleep(RETRY_S)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                self.statuses["broken"] += 1
                await asyncio.sleep(RETRY_S)
            finally:
                if writer is not None:
                    writer.transport.abort()

    async def exchange(
        self, connection: Connection, data: bytes, answers: int = 1, pause_s: float = 0.0
    ) -> None:
        """Send requests and read their answers, with a pause after each piece."""
        reader, writer = connection
        writer.write(data)
        for _ in range(answers):
            try:
                status = await skip_answer(reader, pause_s)
            except LastAnswer as last:
                self.statuses[str(last.status)] += 1
                raise
            self.statuses[str(status)] += 1
        if status != 200:
            await asyncio.sleep(RETRY_S)

    # Kinds of load

    async def bodies(self, connection: Connection) -> None:
        """Send a body just short enough to be buffered whole."""
        await self.exchange(connection, request(self.name(), bytes(64_000), wait=0.6))

    async def heap(self, connection: Connection) -> None:
        """Send a body that the C library does not map on its own, and get such an answer in two halves."""
        data = request(self.name(), bytes(15_000), wait=0.6, answer=15_000, halt=0.25)
        await self.exchange(connection, data)

    async def stalled(self, connection: Connection) -> None:
        """Send most of a body, and stop."""
        await self.exchange(connection, request(self.name(), bytes(63_000), 64_000))

    async def answers(self, connection: Connection) -> None:
        """Get a long answer to a usual body."""
        length = LONG_ANSWERS[self._count % len(LONG_ANSWERS)]
        await self.exchange(connection, request(self.name(), bytes(36_000), wait=0.3, answer=length))

    async def halves(self, connection: Connection) -> None:
        """Get an answer just short enough to be buffered whole, whose second half comes later."""
        await self.exchange(connection, request(self.name(), b"", answer=64_000, halt=0.25))

    async def slow(self, connection: Connection) -> None:
        """Read a long answer slowly."""
        await self.exchange(connection, request(self.name(), b"", answer=1_000_000), pause_s=0.5)

    async def pipelined(self, connection: Connection) -> None:
        """Send many requests at once, whose answers come before that of the first."""
        more = [request(self.name(), b"", answer=60_000) for _ in range(15)]
        await self.exchange(connection, b"".join([request(self.name(), b"", wait=1.0), *more]), 16)

    async def uploads(self, connection: Connection) -> None:
        """Send a long body to a server that reads it slowly."""
        await self.exchange(connection, request(self.name(), bytes(500_000), read=0.05))

    async def chunked(self, connection: Connection) -> None:
        """Send a body in chunks, and get an answer in chunks."""
        body = b"".join(b"%x\r\n%b\r\n" % (len(CHUNK), CHUNK) for _ in range(CHUNKS)) + b"0\r\n\r\n"
        await self.exchange(connection, chunked_request(self.name(), body, wait=0.6, chunks=CHUNKS))

    async def trailers(self, connection: Connection) -> None:
        """Send a body in chunks, and stop in the middle of a long trailer section."""
        body = b"%x\r\n%b\r\n0\r\nX-Long: " % (len(CHUNK), CHUNK)
        await self.exchange(connection, chunked_request(self.name(), body + b"t" * LONG_HEAD_BYTES))

    async def heads(self, connection: Connection) -> None:
        """Send most of a long head, and stop."""
        data = request(self.name(), b"").removesuffix(b"\r\n") + b"X-Long: "
        await self.exchange(connection, data + b"h" * LONG_HEAD_BYTES)

    async def fields(self, connection: Connection) -> None:
        """Send a head of very many short fields."""
        await self.exchange(connection, request(self.name(), b"", more=SHORT_FIELD * MANY_FIELDS, wait=0.6))

    async def most_fields(self, connection: Connection) -> None:
        """Send a head with as many fields as are taken, of the greatest length, that is not plain."""
        more = "TE: x\r\n" + f"a:{'b' * 50}\r\n" * MOST_FIELDS
        await self.exchange(connection, request(self.name(), b"", more=more, wait=0.6))

    async def half_fields(self, connection: Connection) -> None:
        """Send most of a head of very many short fields, and stop."""
        data = request(self.name(), b"", more=SHORT_FIELD * MANY_FIELDS)
        await self.exchange(connection, data.removesuffix(b"\r\n"))

    async def answer_fields(self, connection: Connection) -> None:
        """Get an answer with very many short fields, whose body comes later."""
        data = request(self.name(), b"", answer=64_000, halt=0.6, fields=MANY_FIELDS)
        await self.exchange(connection, data)

    async def answer_most_fields(self, connection: Connection) -> None:
        """Get an answer with as many fields as are taken, whose body comes later."""
        data = request(self.name(), b"", answer=64_000, halt=0.6, fields=MOST_FIELDS)
        await self.exchange(connection, data)

    async def dribble(self, connection: Connection) -> None:
        """Write a long body slowly, but fast enough to be waited for."""
        data = request(self.name(), bytes(60_000), wait=0.6)
        for start in range(0, len(data), 2_000):
            connection[1].write(data[start : start + 2_000])
            await asyncio.sleep(0.06)
        await self.exchange(connection, b"")

    async def unread(self, connection: Connection) -> None:
        """Send a body to a server that reads it too slowly."""
        await self.exchange(connection, request(self.name(), bytes(64_000), read=1.0))

    async def usual_client(self) -> None:
        """Send usual requests one after another."""
        while True:
            await self.usual_request()

    async def usual_request(self) -> None:
        """Send a usual request on a connection of its own and note what became of it.

        An idle connection may be closed, and a request that crosses the close would count as broken.
        """
        began = time.monotonic()
        reader, writer = await self.open()
        writer.write(request(self.name(), USUAL_BODY))
        outcome = "broken"
        try:
            async with asyncio.timeout(USUAL_BUDGET_S + LATE_S):
                outcome = str(await skip_answer(reader))
        except LastAnswer as last:
            outcome = str(last.status)
        except TimeoutError:
            outcome = "none"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()
        late = outcome.isdigit() and time.monotonic() - began > USUAL_BUDGET_S
        self.usual["late" if late else outcome] += 1
        await asyncio.sleep(0.05 if outcome == "200" else RETRY_S)


LOADS = {
    "none": (), "bodies": ("bodies",), "stalled": ("stalled",), "answers": ("answers",),
    "halves": ("halves",), "slow": ("slow",), "pipelined": ("pipelined",), "uploads": ("uploads",),
    "chunked": ("chunked",), "trailers": ("trailers",), "heads": ("heads",),
    "heap": ("heap",), "unread": ("unread",), "fields": ("fields",), "most_fields": ("most_fields",),
    "half_fields": ("half_fields",), "answer_fields": ("answer_fields",),
    "answer_most_fields": ("answer_most_fields",), "dribble": ("dribble",),
    "mixed": ("stalled", "answers", "slow", "bodies"),
}  # fmt: skip
SMALL_BUFFERS = ("slow",)


def anonymous_kb(pid: int) -> int:
    """Return the anonymous resident memory of a process in kB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    raise RuntimeError("the kernel does not tell the memory of the agent")


@dataclass(frozen=True)
class Setup:
    """What is measured."""

    memory_mb: int
    sockets: int
    load: str
    seconds: float
    tree: str = "."  # the source tree whose agent is measured
    connections: int = 0  # of clients; 0: as many as a deployment guarantees
    lowered_mb: int = 0  # the limit after a reload under the load; 0: no reload


@dataclass(frozen=True)
class Measured:
    """One run: the peak, and how the requests ended, by status or in a word."""

    setup: Setup
    peak_kb: int
    share: float  # of the memory limit, the lowered one if there is one
    cpu_s: float  # of the agent
    usual: dict[str, int]
    others: dict[str, int]


class MeasuredAgent:
    """The agent's process, its servers and its configuration."""

    def __init__(self, setup: Setup, folder: Path) -> None:
        self.setup = setup
        self.address = free_address()
        self._folder = folder
        self._config_file = folder / "config.json"

    async def start(self) -> None:
        """Start the servers, and the agent; return when it accepts clients."""
        listening = [listening_socket() for _ in range(SERVERS)]
        self._servers = [
            await asyncio.start_server(serve, sock=sock, limit=PIECE_BYTES * 2) for sock in listening
        ]
        addresses = ["{}:{}".format(*sock.getsockname()) for sock in listening]
        self._members = [member(f"b{at}", address) for at, address in enumerate(addresses)]
        self._configure(self.setup.memory_mb)
        environ = {
            **os.environ, "BALANCER_CONFIG": str(self._config_file), "BALANCER_DISCOVERY": "127.0.0.1:9",
            "BALANCER_LISTEN": "{}:{}".format(*self.address), "TMPDIR": str(self._folder),
        }  # fmt: skip
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sorrelfront.platform", cwd=self.setup.tree, env=environ,
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        while True:
            with contextlib.suppress(OSError):
                (await asyncio.open_connection(*self.address))[1].close()
                return
            await asyncio.sleep(0.02)

    def _configure(self, memory_mb: int) -> None:
        config = make_config("127.0.0.1:9", self._members)
        config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": self.setup.sockets}
        self._config_file.write_text(json.dumps(config))

    def lower_limit(self) -> None:
        """Reload with the lower limit."""
        self._configure(self.setup.lowered_mb)
        self._process.send_signal(signal.SIGHUP)

    def cpu_s(self) -> float:
        """Return the CPU time used so far."""
        return round(cpu_us(self._process.pid) / 1e6, 2)

    async def peak_kb(self, seconds: float) -> int:
        """Return the highest anonymous memory in so many seconds from now."""
        peak_kb, until = 0, time.monotonic() + seconds
        while time.monotonic() < until:
            peak_kb = max(peak_kb, anonymous_kb(self._process.pid))
            await asyncio.sleep(SAMPLE_S)
        return peak_kb

    async def stop(self) -> None:
        """End the agent and its servers."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        for server in self._servers:
            server.close()


async def start_clients(load: Load, setup: Setup) -> list[asyncio.Task[None]]:
    """Start the clients of a load, some of which send usual requests."""
    kinds, connections = LOADS[setup.load], setup.connections or setup.sockets // 3
    tasks = [asyncio.create_task(load.usual_client()) for _ in range(USUAL_CLIENTS)]
    for at in range(connections - USUAL_CLIENTS if kinds else 0):
        kind = kinds[at % len(kinds)]
        tasks.append(asyncio.create_task(load.repeat(getattr(load, kind), kind in SMALL_BUFFERS)))
        await asyncio.sleep(0.002)
    return tasks


async def measure(setup: Setup) -> Measured:
    """Start the agent of a tree, put it under a load and return the figures.

    With a lowered limit, the peak is that of `seconds` under the same load, once what came before the reload
    has ended.
    """
    with tempfile.TemporaryDirectory() as folder:
        agent = MeasuredAgent(setup, Path(folder))
        await agent.start()
        load = Load(agent.address)
        try:
            tasks = await start_clients(load, setup)
            peak_kb = await agent.peak_kb(setup.seconds)
            if setup.lowered_mb:
                agent.lower_limit()
                await asyncio.sleep(USUAL_BUDGET_S + LATE_S)
                peak_kb = await agent.peak_kb(setup.seconds)
            cpu_s = agent.cpu_s()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            await agent.stop()
    share = round(peak_kb / (setup.lowered_mb or setup.memory_mb) / 1_024, 3)
    return Measured(setup, peak_kb, share, cpu_s, dict(load.usual), dict(load.statuses))


def setups(args: argparse.Namespace) -> Iterator[Setup]:
    """Yield what the command line asks for."""
    for limit in args.limits:
        memory_mb, sockets = (int(item) for item in limit.split(":"))
        for load in args.loads:
            yield Setup(memory_mb, sockets, load, args.seconds, args.tree, args.connections, args.lowered_mb)


async def run(args: argparse.Namespace) -> int:
    """Measure every load at every limit. Returns the exit code."""
    exceeded = False
    for setup in setups(args):
        result = await measure(setup)
        print(json.dumps(asdict(result)), flush=True)
        exceeded |= result.share > PEAK_SHARE or not result.usual.keys() <= {"200", "503"}
    return int(exceeded)


def main() -> int:
    """Measure, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limits", nargs="+", default=DEFAULT_LIMITS, metavar="MB:DESCRIPTORS")
    parser.add_argument("--loads", nargs="+", default=list(LOADS), choices=list(LOADS))
    parser.add_argument("--tree", default=".", help="the source tree whose agent is measured")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--connections", type=int, default=0, help="of clients; a third of the descriptors")
    parser.add_argument("--lowered-mb", type=int, default=0, help="the limit after a reload under the load")
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
