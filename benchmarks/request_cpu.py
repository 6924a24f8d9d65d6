"""Measure CPU time per request of the platform adapter, alternating between source trees.

    .venv/bin/python -m benchmarks.request_cpu TREE [TREE ...] --requests 4000 --rounds 3

Each round restarts the program of each tree and sends requests over keep-alive connections. CPU is the user
and system time of the process after the first 500 answers, in microseconds per request. Prints one JSON
object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from pathlib import Path

from sorrelfront.lab.http1 import Backend, Registry, answer, connect, make_config, member
from sorrelfront.lab.load_generator import LoadGenerator
from tests.test_process import free_address


def cpu_us(pid: int) -> float:
    """Return the user and system CPU time of a process in microseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1e6 / os.sysconf("SC_CLK_TCK")


async def measure(tree: str, requests: int, clients: int) -> float:
    """Start the program of one tree and return its CPU time per request in microseconds.

    The first 500 answers are warm-up and are not counted.
    """
    backends = [await Backend(answer(b"served")).start() for _ in range(4)]
    registry = await Registry().start()
    address = free_address()
    members = [member(f"b{at}", backend.address) for at, backend in enumerate(backends)]
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(make_config(registry.address, members), file)
        file.flush()
        environ = {
            **os.environ, "BALANCER_CONFIG": file.name, "BALANCER_DISCOVERY": registry.address,
            "BALANCER_LISTEN": "{}:{}".format(*address),
        }  # fmt: skip
        # Older trees have the package under its former name.
        program = "sorrelfront.platform" if Path(tree, "sorrelfront").is_dir() else "clayscale"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", program, cwd=tree, env=environ, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            while True:
                try:
                    (await connect(address)).close()
                    break
                except OSError:
                    await asyncio.sleep(0.02)
            load = LoadGenerator(address, clients, 0.01)
            await load.wait_for_answers(500)
            before, at = cpu_us(process.pid), load.answered
            await load.wait_for_answers(requests)
            cost_us = (cpu_us(process.pid) - before) / (load.answered - at)
            await load.stop()
            return cost_us
        finally:
            process.kill()
            await process.wait()
            registry.stop()
            for backend in backends:
                backend.stop()


async def run(args: argparse.Namespace) -> dict[str, dict[str, float | list[float]]]:
    """Measure every tree in each round; return the median and all values per tree."""
    samples: dict[str, list[float]] = {tree: [] for tree in args.trees}
    for _ in range(args.rounds):
        for tree in args.trees:
            samples[tree].append(round(await measure(tree, args.requests, args.clients), 1))
    return {tree: {"median_us": statistics.median(values), "us": values} for tree, values in samples.items()}


def main() -> int:
    """Print the measurements as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trees", nargs="+")
    parser.add_argument("--requests", type=int, default=4_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--clients", type=int, default=20)
    print(json.dumps(asyncio.run(run(parser.parse_args())), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
