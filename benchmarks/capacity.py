"""What a request costs: the agent beside a byte splice, and beside an earlier revision.

    .venv/bin/python -m benchmarks.capacity                     # CPU a request, added latency at 600 a second
    .venv/bin/python -m benchmarks.capacity --against 1f773a6    # and those of another revision, in turn
    .venv/bin/python -m benchmarks.capacity --rate 2500 --runs 3
    .venv/bin/python -m benchmarks.capacity --find 50            # the rate whose 99th percentile passes 50 ms
    .venv/bin/python -m benchmarks.capacity --connections 10000  # memory a connection, at rest
    .venv/bin/python -m benchmarks.capacity --rates 300,600,1200,2500 --plot docs/capacity.svg
    .venv/bin/python -m benchmarks.capacity --uvloop             # the agent on that loop too, if installed

Servers, load and the measured program are processes of their own, each pinned to a core where the machine
allows it. The load is open: it asks at its rate however slow the answers are, and a latency counts from when
the request was due.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from sorrelfront.lab.http1 import Registry, member, table

BACKENDS = 8
CONNECTIONS = 40
SERVICE_S = 0.002
WARM_S = 1.5
BODY = b"b" * 600
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY), BODY,
)  # fmt: skip
CLASSES = ("look", "book", "pay")


# Servers


class Served(asyncio.Protocol):
    """Answers each request SERVICE_S after it has come whole."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            at = self.buffer.lower().find(b"content-length:", 0, end)
            length = int(self.buffer[at + 15 : self.buffer.index(b"\r\n", at)]) if at >= 0 else 0
            if len(self.buffer) < end + 4 + length:
                return
            self.buffer = self.buffer[end + 4 + length :]
            asyncio.get_running_loop().call_later(SERVICE_S, self.transport.write, ANSWER)


async def servers() -> None:
    loop = asyncio.get_running_loop()
    made = [await loop.create_server(Served, "127.0.0.1", 0, backlog=1_024) for _ in range(BACKENDS)]
    registry = await Registry().start()
    addresses = ["{}:{}".format(*item.sockets[0].getsockname()) for item in made]
    registry.known = [member(f"b{at}", address) for at, address in enumerate(addresses)]
    print(json.dumps({"registry": registry.address, "addresses": addresses}), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


# The splice


class Half(asyncio.Protocol):
    """One side of a spliced connection; what comes here goes out there."""

    def __init__(self, address: tuple[str, int] | None) -> None:
        self.address = address  # to connect to, of a client's side
        self.other: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.address is not None:
            self.task = asyncio.create_task(self.open(self.address))

    async def open(self, address: tuple[str, int]) -> None:
        back = Half(None)
        back.other = self.transport
        other, _ = await asyncio.get_running_loop().create_connection(lambda: back, *address)
        for data in self.waiting:
            other.write(data)
        self.other = other

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.waiting.append(data)
        else:
            self.other.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.close()


async def splice(listen: str, addresses: list[str]) -> None:
    host, port = listen.rsplit(":", 1)
    turn = deque((item.rsplit(":", 1)[0], int(item.rsplit(":", 1)[1])) for item in addresses)

    def accept() -> Half:
        turn.rotate()
        return Half(turn[0])

    await asyncio.get_running_loop().create_server(accept, host, int(port), backlog=1_024)
    await asyncio.Event().wait()


# Load


class Asking(asyncio.Protocol):
    """One kept connection of the load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.buffer = bytearray()
        self.due: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, due: float, data: bytes) -> None:
        self.due = due
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self.due is None:
            return
        at = self.buffer.lower().find(b"content-length:", 0, end)
        length = int(self.buffer[at + 15 : self.buffer.index(b"\r\n", at)])
        if len(self.buffer) < end + 4 + length:
            return
        self.load.answered(self, bytes(self.buffer[9:12]), time.monotonic() - self.due)
        del self.buffer[:]
        self.due = None
        self.load.rests(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.load.lost(self)


class Load:
    """Asks at a rate, over connections that are kept; more are opened when all are busy."""

    def __init__(self, address: tuple[str, int], rate: float, seconds: float) -> None:
        self.address, self.rate, self.seconds = address, rate, seconds
        self.free: deque[Asking] = deque()
        self.queue: deque[tuple[float, bytes]] = deque()
        self.latencies: list[float] = []
        self.statuses: dict[str, int] = {}
        self.broken = 0
        self.began = 0.0

    def rests(self, client: Asking) -> None:
        if self.queue:
            client.ask(*self.queue.popleft())
        else:
            self.free.append(client)

    def answered(self, client: Asking, status: bytes, latency: float) -> None:
        if time.monotonic() - self.began > WARM_S:
            word = status.decode()
            self.statuses[word] = self.statuses.get(word, 0) + 1
            self.latencies.append(latency)

    def lost(self, client: Asking) -> None:
        if client.due is not None:
            self.broken += 1
        with contextlib.suppress(ValueError):
            self.free.remove(client)

    async def run(self) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        for _ in range(CONNECTIONS):
            _, client = await loop.create_connection(lambda: Asking(self), *self.address)
            self.free.append(client)
        self.began = began = time.monotonic()
        print("began", flush=True)
        count, total = 0, int(self.rate * (self.seconds + WARM_S))
        while count < total:
            now = time.monotonic()
            while count < total and began + count / self.rate <= now:
                due = began + count / self.rate
                data = _request(count)
                if self.free:
                    self.free.popleft().ask(due, data)
                else:
                    self.queue.append((due, data))
                count += 1
            await asyncio.sleep(max(0.0005, began + count / self.rate - time.monotonic()))
            if not self.free and len(self.queue) > CONNECTIONS:
                with contextlib.suppress(OSError):
                    _, client = await loop.create_connection(lambda: Asking(self), *self.address)
                    self.rests(client)
        await asyncio.sleep(1.0)
        ordered = sorted(self.latencies) or [0.0]
        return {
            "asked": total, "answered": len(self.latencies), "statuses": self.statuses, "broken": self.broken,
            "median_ms": 1e3 * ordered[len(ordered) // 2], "p99_ms": 1e3 * ordered[len(ordered) * 99 // 100],
            "most_ms": 1e3 * ordered[-1],
        }  # fmt: skip


def _request(number: int) -> bytes:
    cls = CLASSES[number % 3]
    method, body = ("GET", b"") if cls == "look" else ("POST", b"c" * (400 + number % 400))
    key = f"Idempotency-Key: k{number}\r\n" if cls == "book" else ""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} /{cls}/{number}?k=v{number % 97} HTTP/1.1\r\nHost: stock.example.org\r\n"
        f"X-Call-Id: r{number}\r\nX-Budget: 2000m\r\nUser-Agent: load/1\r\nAccept: */*\r\n"
        f"Content-Type: application/json\r\n{key}{length}\r\n"
    )
    return head.encode() + body


# The rig


def pin(core: int) -> None:
    cores = sorted(os.sched_getaffinity(0))
    with contextlib.suppress(OSError):
        os.sched_setaffinity(0, {cores[core % len(cores)]})


def cpu_us(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def role(*words: str, core: int) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.capacity", "--role", *words, "--core", str(core)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip


@contextlib.contextmanager
def program(
    what: str, there: dict[str, Any], folder: Path, sockets: int = 1_024
) -> Iterator[tuple[int, str]]:
    """The measured program, by its process number and address: `splice`, or a tree that holds an agent;
    `uvloop` is this tree's on that loop."""
    listen = free_address()
    if what == "splice":
        process = role("splice", listen, *there["addresses"], core=2)
        pid = process.pid
    else:
        config = table(there["registry"], [], maxRetryAfterUs=500_000)
        config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
        file = folder / "agent.json"
        file.write_text(json.dumps(config))
        environ = {
            **os.environ, "BALANCER_CONFIG": str(file), "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": there["registry"],
        }  # fmt: skip
        module = "sorrelfront.platform" if Path(what, "sorrelfront").is_dir() else "clayscale"  # as it was
        words = ["-m", module]
        if what == "uvloop":
            what, module = ".", "sorrelfront.platform"
            run = f"runpy.run_module({module!r}, {{}}, '__main__')"
            words = ["-c", f"import runpy, uvloop; uvloop.install(); {run}"]
        process = subprocess.Popen(
            [sys.executable, *words], cwd=what, env=environ, stderr=subprocess.DEVNULL,
            preexec_fn=lambda: pin(2), text=True,
        )  # fmt: skip
        pid = process.pid
    try:
        host, port = listen.rsplit(":", 1)
        until = time.monotonic() + 15
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1.0).close()
                break
            time.sleep(0.02)
        time.sleep(0.3)
        yield pid, listen
    finally:
        process.kill()
        process.wait()


def once(what: str, rate: float, seconds: float, folder: Path) -> dict[str, Any]:
    """One run: CPU of the program for each answer, and the load's figures."""
    back = role("servers", core=3)
    try:
        assert back.stdout is not None
        there = json.loads(back.stdout.readline())
        with program(what, there, folder) as (pid, listen):
            load = role("load", listen, str(rate), str(seconds), core=4)
            assert load.stdout is not None
            assert load.stdout.readline().strip() == "began"
            time.sleep(WARM_S)
            before, began = cpu_us(pid), time.monotonic()
            time.sleep(seconds)
            used, lasted = cpu_us(pid) - before, time.monotonic() - began
            figures: dict[str, Any] = json.loads(load.stdout.readline())
            load.wait()
        figures["cpu_us"] = used / (rate * lasted)
        figures["core_percent"] = used / lasted / 1e4
        return figures
    finally:
        back.kill()
        back.wait()


def summary(runs: list[dict[str, Any]]) -> dict[str, Any]:
    told: dict[str, Any] = {}
    for key in ("cpu_us", "core_percent", "median_ms", "p99_ms", "most_ms"):
        values = [run[key] for run in runs]
        told[key] = {"median": round(statistics.median(values), 2), "least": round(min(values), 2),
                     "most": round(max(values), 2)}  # fmt: skip
    told["answered"] = sum(run["answered"] for run in runs)
    told["not_200"] = sum(count for run in runs for word, count in run["statuses"].items() if word != "200")
    told["broken"] = sum(run["broken"] for run in runs)
    return told


def at_rest(words: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Resident memory a connection: so many that have asked nothing yet are opened and held."""
    back = role("servers", core=3)
    held: list[socket.socket] = []
    told: dict[str, Any] = {}
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        assert back.stdout is not None
        there = json.loads(back.stdout.readline())
        with program(".", there, folder, sockets=hard) as (pid, listen):
            host, port = listen.rsplit(":", 1)
            before = resident_kb(pid)
            for wanted in sorted({100, 1_000, words.connections}):
                while len(held) < wanted:
                    held.append(socket.create_connection((host, int(port)), 5.0))
                time.sleep(0.3)  # well before silent ones are closed
                told[str(wanted)] = round((resident_kb(pid) - before) / wanted, 2)
    finally:
        for sock in held:
            sock.close()
        back.kill()
        back.wait()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return {"kb_a_connection": told}


def resident_kb(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


@contextlib.contextmanager
def tree_of(revision: str) -> Iterator[str]:
    with tempfile.TemporaryDirectory(prefix="sorrelfront-rev-") as folder:
        place = str(Path(folder) / "tree")
        subprocess.run(["git", "worktree", "add", "-q", "--detach", place, revision], check=True)
        try:
            yield place
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", place], check=True)


def measure(words: argparse.Namespace) -> dict[str, Any]:
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="sorrelfront-")))
        if words.connections:
            return at_rest(words, folder)
        whats = {"splice": "splice", "agent": "."}
        if words.against:
            whats[words.against] = stack.enter_context(tree_of(words.against))
        if words.uvloop:
            whats["uvloop"] = "uvloop"
        if words.find:
            return {name: find(what, words, folder) for name, what in whats.items()}
        if words.rates:
            return {f"{rate:g}": at_rate(rate, whats, words, folder) for rate in words.rates}
        return at_rate(words.rate, whats, words, folder)


def at_rate(
    rate: float, whats: dict[str, str], words: argparse.Namespace, folder: Path
) -> dict[str, Any]:
    """Runs of each program at this rate, in turn, so that a busy moment of the machine meets all of them."""
    runs: dict[str, list[dict[str, Any]]] = {name: [] for name in whats}
    for _ in range(words.runs):
        for name, what in whats.items():
            runs[name].append(once(what, rate, words.seconds, folder))
    told: dict[str, Any] = {"rate": rate, "seconds": words.seconds, "runs": words.runs}
    told |= {name: summary(items) for name, items in runs.items()}
    for name in whats:
        if name != "splice":
            told[name]["times_the_splice"] = round(
                told[name]["cpu_us"]["median"] / told["splice"]["cpu_us"]["median"], 2
            )
            told[name]["added_median_ms"] = round(
                told[name]["median_ms"]["median"] - told["splice"]["median_ms"]["median"], 2
            )
    return told


def plot(told: dict[str, Any], file: Path) -> None:
    """CPU a request and the 99th percentile by rate, a line a program with least and most of its runs; one
    rate alone is one point each. Written as SVG."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "sorrelfront"  # the same figures give the same file
    from matplotlib import pyplot

    tables = [told] if "rate" in told else [*told.values()]
    names = [name for name, value in tables[0].items() if isinstance(value, dict)]
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, key, unit in zip(
        axes, ("cpu_us", "p99_ms"), ("CPU a request, us", "99th percentile, ms"), strict=True
    ):
        for name in names:
            spread = [table[name][key] for table in tables]
            middle = [item["median"] for item in spread]
            bars = [
                [item["median"] - item["least"] for item in spread],
                [item["most"] - item["median"] for item in spread],
            ]
            axis.errorbar([table["rate"] for table in tables], middle, yerr=bars, marker="o", label=name)
        axis.set_xlabel("requests a second")
        axis.set_ylabel(unit)
        axis.set_ylim(bottom=0)
        axis.grid(True, alpha=0.3)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(file, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def find(what: str, words: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """The highest rate, in steps of a tenth, at which the 99th percentile stays below the bound."""
    rate, good = 500.0, 0.0
    while rate < 20_000:
        run = once(what, rate, words.seconds, folder)
        if run["p99_ms"] > words.find or run["answered"] < 0.98 * rate * words.seconds:
            break
        good, rate = rate, rate * 1.25
    return {"rate": round(good), "first_above": round(rate)}


def _rates(text: str) -> list[float]:
    return [float(item) for item in text.split(",")]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rate", type=float, default=600.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=4.0, help="of each run, after its start")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--against", metavar="REV", help="measure this git revision too")
    parser.add_argument("--find", type=float, metavar="MS")
    parser.add_argument("--connections", type=int, default=0)
    parser.add_argument("--rates", type=_rates, help="several, in place of --rate, as in 300,600")
    parser.add_argument("--plot", type=Path, metavar="SVG", help="draw what was measured (matplotlib)")
    parser.add_argument("--uvloop", action="store_true", help="measure the agent on uvloop too")
    parser.add_argument("--role", nargs="+", help=argparse.SUPPRESS)
    parser.add_argument("--core", type=int, default=0, help=argparse.SUPPRESS)
    words = parser.parse_args()
    if not words.role:
        told = measure(words)
        print(json.dumps(told, indent=1))
        if words.plot:
            plot(told, words.plot)
        return 0
    pin(words.core)
    match words.role:
        case ["servers"]:
            asyncio.run(servers())
        case ["splice", listen, *addresses]:
            asyncio.run(splice(listen, addresses))
        case ["load", listen, rate, seconds]:
            host, port = listen.rsplit(":", 1)
            print(json.dumps(asyncio.run(Load((host, int(port)), float(rate), float(seconds)).run())))
    return 0


if __name__ == "__main__":
    sys.exit(main())
