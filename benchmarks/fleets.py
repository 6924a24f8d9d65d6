"""Measure the view between real processes: detection time of a crash, cost, and effect on service.

    python -m benchmarks.fleets crash --hosts 2 --instances 4 [--plays 3]
    python -m benchmarks.fleets cpu --hosts 16 --instances 4 [--seconds 20] [--copies]
    python -m benchmarks.fleets service [--pairs 5]
    python -m benchmarks.fleets policy --hosts 6 --instances 4 [--plays 10] [--trouble down|cut]
    python -m benchmarks.fleets changes [--pairs 3]

`crash`: with one probe a second, one host of `--instances` members is killed. Reports the time until the
first view lacks one of them, and until no view has any. Views are polled every quarter of a second, which
adds at most that much. `cpu`: CPU time of the idle instances, alternating with the view and without it,
and the bytes that each sends; `--copies`: with the view, alternating with copies and without. `service`:
the storm `calm`, alternating with the view and without it. `policy`: `--plays` changes of policy, one
after the other, timed from proposal to in force, with leases of 5 s and no client requests; messages sent
per change, and per second when idle (for leases). `--trouble down` kills a tenth of the members just
before; `--trouble cut` isolates one voter. `changes`: the storm `calm`, alternating with one change a
second and without. Needs the machine's cores to itself.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import time
from pathlib import Path
from typing import Any

from sorrelfront.daemon import control, policies
from sorrelfront.lab.storm.harness import Harness
from sorrelfront.lab.storm.history import Event, History
from sorrelfront.lab.storm.processes import find_marked
from sorrelfront.lab.storm.run import play, verdict_of
from sorrelfront.lab.storm.scenario import Scenario, parse

SCENARIO = """
[storm]
name = "{name}"
seconds = {seconds}
hosts = {hosts}
instances = {instances}
servers = {servers}
fleet = {fleet}
probe_ms = 1000
{more}
[load]
clients = {clients}
pause_ms = 30
[expect]
settle_s = 200
answers = 0
[void]
lag_ms = 10000
relay_us = 1000000
"""
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def scenario(faults: str = "", **overrides: Any) -> Scenario:
    """Return a scenario with the given faults; `overrides` replace the default settings."""
    defaults = {"name": "bench", "hosts": 3, "instances": 4, "servers": 2, "fleet": "true", "clients": 0}
    values = {**defaults, "more": "", **overrides}
    return parse((SCENARIO.format(**values) + faults).encode(), Path("bench.toml"))


def crash(hosts: int, instances: int, plays: int) -> None:
    """Kill one host per play and print the detection times, then their medians."""
    fault = '[[faults]]\nwhat = "kill"\nat = 3.0\nhosts = ["h2"]\n'
    results = []
    for seed in range(plays):
        parsed = scenario(fault, hosts=hosts, instances=instances, seconds=4.0)
        history = History()
        asyncio.run(Harness(parsed, seed, history).play())
        results.append(_detected(history.events, instances))
        settled = verdict_of(history.events, parsed, seed)["rules"]["views"]["breaches"] == 0
        print(json.dumps({"members": hosts * instances, "play": seed, **results[-1], "settled": settled}))
    print(json.dumps({key: statistics.median(item[key] for item in results) for key in results[0]}))


def _detected(events: list[Event], instances: int) -> dict[str, float]:
    """Return the seconds from the crash of h2 to the first view without a member of it, and to the last."""
    at = next(event["t"] for event in events if event["kind"] == "fault" and event["phase"] == "begin")
    dead = {f"h2/i{number}" for number in range(instances)}
    later = [
        event for event in events if event["kind"] == "view" and event["t"] > at and event["host"] != "h2"
    ]
    first = min(event["t"] for event in later if dead - set(event["living"]))
    last = max(
        min(item["t"] for item in later if item["member"] == name and not dead & set(item["living"]))
        for name in {event["member"] for event in later}
    )
    return {"first_s": round(first - at, 2), "all_s": round(last - at, 2)}


class _IdleStage(Harness):
    """Run a storm without any event and measure the CPU time of its processes over its last part."""

    share = 0.0
    bytes_s = 0.0  # sent by each instance to the others

    async def _storm(self, show: Any) -> None:
        for task in list(self._tasks):
            if "follow_views" in repr(task) or "look" in repr(task):
                task.cancel()  # answering status requests costs the instances CPU time as well
        await asyncio.sleep(5.0)
        before, sent = _cpu_seconds(self.mark), await self._bytes_sent()
        seconds = self.scenario.storm["seconds"] - 5.0
        await asyncio.sleep(seconds)
        after = _cpu_seconds(self.mark)
        shares = [(after[pid] - before[pid]) / seconds for pid in after if pid in before]
        self.share = sum(shares) / len(shares)
        self.bytes_s = (await self._bytes_sent() - sent) / len(shares) / seconds
        self.history.add("rig", **self.figures())

    async def _bytes_sent(self) -> int:
        statuses = [item for host in self.hosts.values() for item in await host.status()]
        return sum(item.get("fleet", {}).get("sent_bytes", 0) for item in statuses)


def _cpu_seconds(mark: str) -> dict[int, float]:
    """Return the CPU seconds of each instance that carries the mark."""
    results = {}
    for pid in find_marked(mark):
        command = Path(f"/proc/{pid}/cmdline").read_bytes()
        if b"sorrelfront.daemon.instance" in command:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            results[pid] = (int(fields[11]) + int(fields[12])) * TICK_S
    return results


def cpu(hosts: int, instances: int, seconds: float, copies: bool) -> None:
    """Print the CPU share and the bytes sent of idle instances, alternating between two variants."""
    for on in ("false", "true", "false", "true"):
        settings = {"fleet": "true", "more": f"copies = {on}"} if copies else {"fleet": on}
        parsed = scenario(hosts=hosts, instances=instances, seconds=seconds + 5.0, **settings)
        stage = _IdleStage(parsed, 1, History())
        asyncio.run(stage.play())
        share = round(100 * stage.share, 3)
        variant = {"copies" if copies else "fleet": on, "bytes_s": round(stage.bytes_s)}
        print(json.dumps({"members": hosts * instances, "core_percent": share, **variant}), flush=True)


def service(pairs: int) -> None:
    """Print the clients' figures with the view and without it, alternating."""
    for pair in range(pairs):
        for fleet in ("false", "true") if pair % 2 else ("true", "false"):
            parsed = scenario(name="calm", clients=16, servers=9, seconds=12.0, fleet=fleet)
            figures = play(parsed, pair)["figures"]
            selected = {
                key: figures[key] for key in ("asked", "served", "refused", "failed", "p50_ms", "p99_ms")
            }
            print(json.dumps({"pair": pair, "fleet": fleet, **selected}))


class _ChangesStage(Harness):
    """Make policy changes one after the other, timed at the proposer."""

    plays, trouble = 10, ""

    async def _storm(self, show: Any) -> None:
        self.durations_s: list[float] = []
        self.states: list[str] = []
        await asyncio.sleep(3.0)
        before_idle, started_at = await self._messages_sent(), time.monotonic()
        await asyncio.sleep(10.0)
        self.idle_rate = (await self._messages_sent() - before_idle) / (time.monotonic() - started_at)
        if self.trouble == "down":
            count = max(1, round(len(self.hosts) / 10))
            for host in list(self.hosts.values())[-count:]:
                host.expected_up = False
                await host.kill()
        elif self.trouble == "cut":
            others = {name for name in self.hosts if name != "h3"}
            pairs = {("h3", name) for name in others} | {(name, "h3") for name in others}
            self.network.change(pairs, cut=True)
        before, started_at = await self._messages_sent(), time.monotonic()
        for number in range(1, self.plays + 1):
            await self._change(number)
        messages = await self._messages_sent() - before - self.idle_rate * (time.monotonic() - started_at)
        self.messages_per_change = messages / self.plays
        self.history.add("rig", **self.figures())

    async def _messages_sent(self) -> int:
        """Return how many messages about policy all instances have sent."""
        total = 0
        for host in self.hosts.values():
            for item in await host.status() if host.expected_up else ():
                total += item.get("fleet", {}).get("policy", {}).get("said", 0)
        return total

    async def _change(self, number: int) -> None:
        path = self.hosts["h1"].folder / "c.sock"
        policy_file = self.hosts["h1"].folder / "policy.toml"
        policy_file.write_text(self.policy(number))
        document = policies.encode_envelope(policies.read(policy_file), "bench", 0.0, "").decode()
        request = {"op": "policy", "what": "propose", "change": f"c{number}", "void": False, "onto": None}
        started_at = time.monotonic()
        answer = await control.send_request(path, {**request, "document": document})
        while answer["outcome"]["stage"] != "done":
            await asyncio.sleep(0.002)
            answer = await control.send_request(
                path, {"op": "policy", "what": "outcome", "instance": answer["instance"]}
            )
        self.durations_s.append(time.monotonic() - started_at)
        self.states.append(answer["outcome"]["state"])


def policy(hosts: int, instances: int, plays: int, trouble: str) -> None:
    """Time policy changes from proposal to in force and print a summary."""
    more = f"voters = {3 if hosts > 1 else 1}\nlease_ms = 5000"
    parsed = scenario(hosts=hosts, instances=instances, seconds=60.0, more=more)
    stage = _ChangesStage(parsed, 1, History())
    stage.plays, stage.trouble = plays, trouble
    asyncio.run(stage.play())
    durations_s = sorted(stage.durations_s)
    print(json.dumps({
        "members": hosts * instances, "trouble": trouble, "changes": plays,
        "in_force": stage.states.count("in force"), "first_s": round(stage.durations_s[0], 3),
        "median_s": round(statistics.median(durations_s), 3), "most_s": round(durations_s[-1], 3),
        "words_a_change": round(stage.messages_per_change), "words_s_at_rest": round(stage.idle_rate, 1),
    }))  # fmt: skip


def changes(pairs: int) -> None:
    """Print the clients' figures with a policy change every second and without, alternating."""
    for pair in range(pairs):
        for with_changes in (False, True) if pair % 2 else (True, False):
            faults = ""
            for number in range(1, 11 if with_changes else 1):
                faults += f'[[faults]]\nwhat = "propose"\nat = {number}.0\nhosts = ["h1"]\nsize = {number}\n'
            more = 'voters = 3\nlease_ms = 5000\nisolation = "refuse"'
            parsed = scenario(faults, name="calm", clients=16, servers=9, seconds=12.0, more=more)
            figures = play(parsed, pair)["figures"]
            selected = {
                key: figures[key] for key in ("asked", "served", "refused", "failed", "p50_ms", "p99_ms")
            }
            print(json.dumps({"pair": pair, "changes": 10 if with_changes else 0, **selected}))


def main() -> None:
    """Run the chosen benchmark."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("word", choices=("crash", "cpu", "service", "policy", "changes"))
    parser.add_argument("--hosts", type=int, default=2)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--trouble", choices=("", "down", "cut"), default="")
    parser.add_argument("--copies", action="store_true")
    args = parser.parse_args()
    if args.word == "crash":
        crash(args.hosts, args.instances, args.plays)
    elif args.word == "cpu":
        cpu(args.hosts, args.instances, args.seconds, args.copies)
    elif args.word == "policy":
        policy(args.hosts, args.instances, args.plays, args.trouble)
    elif args.word == "changes":
        changes(args.pairs)
    else:
        service(args.pairs)


if __name__ == "__main__":
    main()
