"""Measure the cost of a request: the agent against a byte splice, and against an earlier revision.

    .venv/bin/python -m benchmarks.capacity                     # CPU per request, added latency at 600/s
    .venv/bin/python -m benchmarks.capacity --against 1f773a6    # the same, and of another revision
    .venv/bin/python -m benchmarks.capacity --rate 2500 --runs 3
    .venv/bin/python -m benchmarks.capacity --find 50            # rate whose 99th percentile exceeds 50 ms
    .venv/bin/python -m benchmarks.capacity --connections 10000  # memory per idle connection
    .venv/bin/python -m benchmarks.capacity --rates 300,600,1200,2500 --plot docs/capacity.svg
    .venv/bin/python -m benchmarks.capacity --uvloop             # also the agent on uvloop, if installed

Servers, load and the measured program are separate processes, each pinned to a core where the machine allows
it. The load is open-loop: it sends at its rate however slow the answers are, and a latency counts from the
time when the request was due. Runs of several programs alternate.
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

from sorrelfront.lab.http1 import Registry, make_config, member

BACKENDS = 8
CONNECTIONS = 40
SERVICE_S = 0.002
WARM_UP_S = 1.5
BODY = b"b" * 600
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY), BODY,
)  # fmt: skip
CLASSES = ("look", "book", "pay")


# Servers


class ServerProtocol(asyncio.Protocol):
    """Answer each request SERVICE_S after it has been received completely."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and start with an empty buffer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        """Schedule an answer for every complete request in the buffer."""
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            at = self.buffer.lower().find(b"content-length:", 0, end)
            length = int(self.buffer[at + 15 : self.buffer.index(b"\r\n", at)]) if at >= 0 else 0
            if len(self.buffer) < end + 4 + length:
                return
            self.buffer = self.buffer[end + 4 + length :]
            asyncio.get_running_loop().call_later(SERVICE_S, self.transport.write, ANSWER)


async def servers() -> None:
    """Run the servers and a registry that lists them, and print their addresses, until stdin is closed."""
    loop = asyncio.get_running_loop()
    listeners = [
        await loop.create_server(ServerProtocol, "127.0.0.1", 0, backlog=1_024) for _ in range(BACKENDS)
    ]
    registry = await Registry().start()
    addresses = ["{}:{}".format(*item.sockets[0].getsockname()) for item in listeners]
    registry.members = [member(f"b{at}", address) for at, address in enumerate(addresses)]
    print(json.dumps({"registry": registry.address, "addresses": addresses}), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


# The splice


class SpliceSide(asyncio.Protocol):
    """Forward the data of one side of a spliced connection to the other side."""

    def __init__(self, address: tuple[str, int] | None) -> None:
        self.address = address  # the server to connect to, None on the server's side
        self.other: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the server if this is the client's side."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.address is not None:
            self.task = asyncio.create_task(self.open(self.address))

    async def open(self, address: tuple[str, int]) -> None:
        """Connect to the server and forward the data received meanwhile."""
        server_side = SpliceSide(None)
        server_side.other = self.transport
        other, _ = await asyncio.get_running_loop().create_connection(lambda: server_side, *address)
        for data in self.waiting:
            other.write(data)
        self.other = other

    def data_received(self, data: bytes) -> None:
        """Forward the data, or keep it until the other side is connected."""
        if self.other is None:
            self.waiting.append(data)
        else:
            self.other.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too."""
        if self.other is not None:
            self.other.close()


async def splice(listen: str, addresses: list[str]) -> None:
    """Accept connections and splice each to the next server in turn."""
    host, port = listen.rsplit(":", 1)
    round_robin = deque((item.rsplit(":", 1)[0], int(item.rsplit(":", 1)[1])) for item in addresses)

    def accept() -> SpliceSide:
        round_robin.rotate()
        return SpliceSide(round_robin[0])

    await asyncio.get_running_loop().create_server(accept, host, int(port), backlog=1_024)
    await asyncio.Event().wait()


# Load


class LoadConnection(asyncio.Protocol):
    """Send the requests of the load over one keep-alive connection, one at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.buffer = bytearray()
        self.due: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send(self, due: float, data: bytes) -> None:
        """Send a request that was due at the given time."""
        self.due = due
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Report a complete answer to the load and become idle."""
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self.due is None:
            return
        at = self.buffer.lower().find(b"content-length:", 0, end)
        length = int(self.buffer[at + 15 : self.buffer.index(b"\r\n", at)])
        if len(self.buffer) < end + 4 + length:
            return
        self.load.record_answer(self, bytes(self.buffer[9:12]), time.monotonic() - self.due)
        del self.buffer[:]
        self.due = None
        self.load.release(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the load."""
        self.load.on_lost(self)


class Load:
    """Send requests at a fixed rate over keep-alive connections; open more when all are busy."""

    def __init__(self, address: tuple[str, int], rate: float, seconds: float) -> None:
        self.address, self.rate, self.seconds = address, rate, seconds
        self.idle: deque[LoadConnection] = deque()
        self.queue: deque[tuple[float, bytes]] = deque()
        self.latencies: list[float] = []
        self.statuses: dict[str, int] = {}
        self.broken = 0
        self.started_at = 0.0

    def release(self, client: LoadConnection) -> None:
        """Send the next queued request over the connection, or mark it idle."""
        if self.queue:
            client.send(*self.queue.popleft())
        else:
            self.idle.append(client)

    def record_answer(self, client: LoadConnection, status: bytes, latency: float) -> None:
        """Count the status and the latency of an answer, except during the warm-up."""
        if time.monotonic() - self.started_at > WARM_UP_S:
            code = status.decode()
            self.statuses[code] = self.statuses.get(code, 0) + 1
            self.latencies.append(latency)

    def on_lost(self, client: LoadConnection) -> None:
        """Forget a closed connection; count it as broken if a request was in flight."""
        if client.due is not None:
            self.broken += 1
        with contextlib.suppress(ValueError):
            self.idle.remove(client)

    async def run(self) -> dict[str, Any]:
        """Send all requests and return the counts and the latencies."""
        loop = asyncio.get_running_loop()
        for _ in range(CONNECTIONS):
            _, client = await loop.create_connection(lambda: LoadConnection(self), *self.address)
            self.idle.append(client)
        self.started_at = started_at = time.monotonic()
        print("began", flush=True)
        count, total = 0, int(self.rate * (self.seconds + WARM_UP_S))
        while count < total:
            now = time.monotonic()
            while count < total and started_at + count / self.rate <= now:
                due = started_at + count / self.rate
                data = _request(count)
                if self.idle:
                    self.idle.popleft().send(due, data)
                else:
                    self.queue.append((due, data))
                count += 1
            await asyncio.sleep(max(0.0005, started_at + count / self.rate - time.monotonic()))
            if not self.idle and len(self.queue) > CONNECTIONS:
                with contextlib.suppress(OSError):
                    _, client = await loop.create_connection(lambda: LoadConnection(self), *self.address)
                    self.release(client)
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


# Measured processes


def pin(core: int) -> None:
    """Pin this process to one of its allowed cores, where the machine permits it."""
    cores = sorted(os.sched_getaffinity(0))
    with contextlib.suppress(OSError):
        os.sched_setaffinity(0, {cores[core % len(cores)]})


def cpu_us(pid: int) -> float:
    """Return the user and system CPU time of a process in microseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")


def free_address() -> str:
    """Return a local address whose port was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return "{}:{}".format(*sock.getsockname())


def start_role(*args: str, core: int) -> subprocess.Popen[str]:
    """Start this program in another process as servers, splice or load, pinned to a core."""
    return subprocess.Popen(
        [sys.executable, "-m", "benchmarks.capacity", "--role", *args, "--core", str(core)],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip


@contextlib.contextmanager
def running_program(
    variant: str, servers_info: dict[str, Any], folder: Path, sockets: int = 1_024
) -> Iterator[tuple[int, str]]:
    """Run the measured program; yield its process id and its address.

    `variant` is `splice`, `uvloop` (this tree's agent on uvloop), or the path of a tree that holds an
    agent.
    """
    listen = free_address()
    if variant == "splice":
        process = start_role("splice", listen, *servers_info["addresses"], core=2)
        pid = process.pid
    else:
        config = make_config(servers_info["registry"], [], maxRetryAfterUs=500_000)
        config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
        file = folder / "agent.json"
        file.write_text(json.dumps(config))
        environ = {
            **os.environ, "BALANCER_CONFIG": str(file), "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": servers_info["registry"],
        }  # fmt: skip
        # Older trees have the package under its former name.
        module = "sorrelfront.platform" if Path(variant, "sorrelfront").is_dir() else "clayscale"
        args = ["-m", module]
        if variant == "uvloop":
            variant, module = ".", "sorrelfront.platform"
            run = f"runpy.run_module({module!r}, {{}}, '__main__')"
            args = ["-c", f"import runpy, uvloop; uvloop.install(); {run}"]
        process = subprocess.Popen(
            [sys.executable, *args], cwd=variant, env=environ, stderr=subprocess.DEVNULL,
            preexec_fn=lambda: pin(2), text=True,
        )  # fmt: skip
        pid = process.pid
    try:
        host, port = listen.rsplit(":", 1)
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1.0).close()
                break
            time.sleep(0.02)
        time.sleep(0.3)
        yield pid, listen
    finally:
        process.kill()
        process.wait()


def run_once(variant: str, rate: float, seconds: float, folder: Path) -> dict[str, Any]:
    """Run the load once; return the CPU time of the program per request, and the figures of the load."""
    backends = start_role("servers", core=3)
    try:
        assert backends.stdout is not None
        servers_info = json.loads(backends.stdout.readline())
        with running_program(variant, servers_info, folder) as (pid, listen):
            load = start_role("load", listen, str(rate), str(seconds), core=4)
            assert load.stdout is not None
            assert load.stdout.readline().strip() == "began"
            time.sleep(WARM_UP_S)
            before, started_at = cpu_us(pid), time.monotonic()
            time.sleep(seconds)
            cpu_used_us, elapsed_s = cpu_us(pid) - before, time.monotonic() - started_at
            figures: dict[str, Any] = json.loads(load.stdout.readline())
            load.wait()
        figures["cpu_us"] = cpu_used_us / (rate * elapsed_s)
        figures["core_percent"] = cpu_used_us / elapsed_s / 1e4
        return figures
    finally:
        backends.kill()
        backends.wait()


def summary(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the median, minimum and maximum of each figure, and the sums of the counts."""
    results: dict[str, Any] = {}
    for key in ("cpu_us", "core_percent", "median_ms", "p99_ms", "most_ms"):
        values = [run[key] for run in runs]
        results[key] = {"median": round(statistics.median(values), 2), "least": round(min(values), 2),
                     "most": round(max(values), 2)}  # fmt: skip
    results["answered"] = sum(run["answered"] for run in runs)
    results["not_200"] = sum(
        count for run in runs for code, count in run["statuses"].items() if code != "200"
    )
    results["broken"] = sum(run["broken"] for run in runs)
    return results


def memory_per_connection(args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Measure the resident memory per connection.

    Opens and holds connections that have not sent a request yet.
    """
    backends = start_role("servers", core=3)
    open_sockets: list[socket.socket] = []
    results: dict[str, Any] = {}
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        assert backends.stdout is not None
        servers_info = json.loads(backends.stdout.readline())
        with running_program(".", servers_info, folder, sockets=hard) as (pid, listen):
            host, port = listen.rsplit(":", 1)
            before = resident_kb(pid)
            for wanted in sorted({100, 1_000, args.connections}):
                while len(open_sockets) < wanted:
                    open_sockets.append(socket.create_connection((host, int(port)), 5.0))
                time.sleep(0.3)  # well before the agent closes silent connections
                results[str(wanted)] = round((resident_kb(pid) - before) / wanted, 2)
    finally:
        for sock in open_sockets:
            sock.close()
        backends.kill()
        backends.wait()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return {"kb_a_connection": results}


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process in KB, 0 if the kernel does not report it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


@contextlib.contextmanager
def tree_of(revision: str) -> Iterator[str]:
    """Check out a revision as a temporary git worktree and yield its path."""
    with tempfile.TemporaryDirectory(prefix="sorrelfront-rev-") as folder:
        tree_path = str(Path(folder) / "tree")
        subprocess.run(["git", "worktree", "add", "-q", "--detach", tree_path, revision], check=True)
        try:
            yield tree_path
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", tree_path], check=True)


def measure(args: argparse.Namespace) -> dict[str, Any]:
    """Run the measurement that the options ask for."""
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="sorrelfront-")))
        if args.connections:
            return memory_per_connection(args, folder)
        variants = {"splice": "splice", "agent": "."}
        if args.against:
            variants[args.against] = stack.enter_context(tree_of(args.against))
        if args.uvloop:
            variants["uvloop"] = "uvloop"
        if args.find:
            return {name: find_max_rate(variant, args, folder) for name, variant in variants.items()}
        if args.rates:
            return {f"{rate:g}": compare_at_rate(rate, variants, args, folder) for rate in args.rates}
        return compare_at_rate(args.rate, variants, args, folder)


def compare_at_rate(
    rate: float, variants: dict[str, str], args: argparse.Namespace, folder: Path
) -> dict[str, Any]:
    """Run each variant at one rate and compare it with the splice.

    The runs of the variants alternate, so that a busy period of the machine affects all of them.
    """
    runs: dict[str, list[dict[str, Any]]] = {name: [] for name in variants}
    for _ in range(args.runs):
        for name, variant in variants.items():
            runs[name].append(run_once(variant, rate, args.seconds, folder))
    results: dict[str, Any] = {"rate": rate, "seconds": args.seconds, "runs": args.runs}
    results |= {name: summary(items) for name, items in runs.items()}
    for name in variants:
        if name != "splice":
            results[name]["times_the_splice"] = round(
                results[name]["cpu_us"]["median"] / results["splice"]["cpu_us"]["median"], 2
            )
            results[name]["added_median_ms"] = round(
                results[name]["median_ms"]["median"] - results["splice"]["median_ms"]["median"], 2
            )
    return results


def plot(results: dict[str, Any], file: Path) -> None:
    """Plot CPU per request and the 99th percentile by rate, as SVG.

    Each variant is a line with error bars from the minimum to the maximum of its runs; a single rate
    gives one point per variant.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "sorrelfront"  # makes the file reproducible
    from matplotlib import pyplot

    tables = [results] if "rate" in results else [*results.values()]
    names = [name for name, value in tables[0].items() if isinstance(value, dict)]
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, key, unit in zip(
        axes, ("cpu_us", "p99_ms"), ("CPU per request, us", "99th percentile, ms"), strict=True
    ):
        for name in names:
            spread = [table[name][key] for table in tables]
            medians = [item["median"] for item in spread]
            error_bars = [
                [item["median"] - item["least"] for item in spread],
                [item["most"] - item["median"] for item in spread],
            ]
            axis.errorbar(
                [table["rate"] for table in tables], medians, yerr=error_bars, marker="o", label=name
            )
        axis.set_xlabel("requests per second")
        axis.set_ylabel(unit)
        axis.set_ylim(bottom=0)
        axis.grid(True, alpha=0.3)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(file, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def find_max_rate(variant: str, args: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Find the highest rate at which the 99th percentile stays below the bound.

    The rate grows by 25% a step. It also counts as exceeded when fewer than 98% of the requests are
    answered.
    """
    rate, last_good = 500.0, 0.0
    while rate < 20_000:
        run = run_once(variant, rate, args.seconds, folder)
        if run["p99_ms"] > args.find or run["answered"] < 0.98 * rate * args.seconds:
            break
        last_good, rate = rate, rate * 1.25
    return {"rate": round(last_good), "first_above": round(rate)}


def _rates(text: str) -> list[float]:
    return [float(item) for item in text.split(",")]


def main() -> int:
    """Run a role in a child process, or measure and print the results as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rate", type=float, default=600.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=4.0, help="duration of each run, after the warm-up")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--against", metavar="REV", help="measure this git revision too")
    parser.add_argument("--find", type=float, metavar="MS")
    parser.add_argument("--connections", type=int, default=0)
    parser.add_argument("--rates", type=_rates, help="several, in place of --rate, as in 300,600")
    parser.add_argument("--plot", type=Path, metavar="SVG", help="plot the results (matplotlib)")
    parser.add_argument("--uvloop", action="store_true", help="measure the agent on uvloop too")
    parser.add_argument("--role", nargs="+", help=argparse.SUPPRESS)
    parser.add_argument("--core", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if not args.role:
        results = measure(args)
        print(json.dumps(results, indent=1))
        if args.plot:
            plot(results, args.plot)
        return 0
    pin(args.core)
    match args.role:
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
