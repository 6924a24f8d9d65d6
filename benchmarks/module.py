"""Measure the CPU cost of a decision, and check whether two revisions make the same decisions.

    .venv/bin/python -m benchmarks.module                      # CPU per request of the decision module
    .venv/bin/python -m benchmarks.module --against 7f5a30f    # also compare the actions of that revision
    .venv/bin/python -m benchmarks.module --minutes 60         # a recorded hour

The events are generated once, from a seed, by a small model of servers (queues, pauses, a hung server,
drains, restarts, refused connections) that reacts to the module's own actions. Only the events are recorded,
and each revision is given these same events. So the two are still compared on the same input after a first
difference. Actions are compared by a digest per minute; the first minute that differs is reported.
"""

from __future__ import annotations

import argparse
import gzip
import hashlib
import heapq
import json
import os
import pickle
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.capacity import tree_of

SERVERS = 24
RATE = 100.0  # requests a second
SEED = 20_261_201
MINUTE_US = 60_000_000
CLASSES = (
    ("look", "safe", 100_000, 1_000_000, 1.0),
    ("book", "keyed", 150_000, 1_500_000, 4.0),
    ("pay", "unsafe", 200_000, 1_500_000, 8.0),
)
Event = tuple[str, int, tuple[Any, ...]]  # handler, clock in microseconds, the event's fields


def make_settings(api: Any) -> Any:
    """Return the settings of the balancer, in the types of the given interface module."""
    classes = [
        api.RequestClass(name, api.Effect(effect), aim, deadline, api.Scope.ALL, 4_000_000, worth)
        for name, effect, aim, deadline, worth in CLASSES
    ]
    return api.Settings(
        classes=tuple(classes), drain_grace_us=500_000, cold_from=0.3, cold_us=9_000_000, cold_multiple=3.0,
        cold_span_us=1_500_000, answer_slack_us=20_000, max_attempts=3, may_cancel=True,
        max_retry_after_us=500_000, connect_timeout_us=250_000,
    )  # fmt: skip


class Simulation:
    """Simulate servers that react to a balancer's actions, and record every event that it is given."""

    def __init__(self, minutes: float) -> None:
        from sorrelfront.decisions import interface as api
        from sorrelfront.decisions.balancer import Balancer

        self.api = api
        self.random = Random(SEED)
        self.end = int(minutes * MINUTE_US)
        self.balancer = Balancer(make_settings(api), 1, 0)
        self.record: list[Event] = []
        self.event_queue: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self.count = 0
        self.attempt_counts: dict[int, int] = {}  # attempts so far, by request number
        self.busy_until = [0] * SERVERS  # when each server has processed its queue
        self.states = ["ready"] * SERVERS
        self.started = [0] * SERVERS
        self.down_until = [0] * SERVERS  # until when each server refuses connections
        self.hung_until = [0] * SERVERS

    def schedule(self, when: int, what: str, *fields: Any) -> None:
        """Schedule an event at a time in microseconds."""
        self.count += 1
        heapq.heappush(self.event_queue, (when, self.count, what, fields))

    def entry(self, at: int) -> tuple[Any, ...]:
        """Return the list entry of a server as a plain tuple, which can be pickled."""
        return (f"s{at:02}", "", f"kind{at % 3}", 0, self.states[at], 1.0, self.started[at])

    def deliver(self, now: int, handler: str, fields: tuple[Any, ...]) -> None:
        """Record an event, pass it to the balancer and carry out the resulting actions."""
        self.record.append((handler, now, fields))
        for action in dispatch(self.balancer, self.api, handler, now, fields):
            kind = type(action).__name__
            if kind == "Send":
                number = self.attempt_counts.get(action.request_id, 0)
                self.attempt_counts[action.request_id] = number + 1
                self.attempt(now, action.request_id, number, int(action.backend[1:]), action.timeout_us)
            elif kind == "SetTimer":
                self.schedule(now + action.delay_us, "timer", action.tag)

    def attempt(self, now: int, request: int, number: int, server: int, timeout_us: int) -> None:
        """Simulate an attempt at a server and schedule its end."""
        if now < self.down_until[server]:
            self.schedule(now + 400, "ended", request, number, "unreachable", 400, False)
            return
        service = int(self.random.expovariate(1 / 18_000)) * (1 + server % 3) + 2_000
        begin = max(now, self.busy_until[server], self.hung_until[server])
        self.busy_until[server] = begin + service // 4
        elapsed = begin + service - now
        if elapsed > timeout_us:
            self.schedule(now + timeout_us, "ended", request, number, "timeout", timeout_us, False)
        elif self.random.random() < 0.004:
            self.schedule(now + 1_000, "ended", request, number, "error", 1_000, False)
        elif elapsed > 400_000 and self.random.random() < 0.5:
            self.schedule(now + 900, "ended", request, number, "rejected", 900, False)
        else:
            self.schedule(now + elapsed, "ended", request, number, "ok", elapsed, True)

    def play(self) -> list[Event]:
        """Run all events up to the end and return the record."""
        self.deliver(0, "list", ("full", tuple(self.entry(at) for at in range(SERVERS))))
        self.schedule(1, "arrive", 1)
        self.schedule(2_000_000, "fault")
        while self.event_queue:
            now, _, what, fields = heapq.heappop(self.event_queue)
            if now > self.end:
                break
            if what == "arrive":
                (number,) = fields
                name, _, _, deadline, _ = CLASSES[number % 3]
                hint = 20_000 if number % 5 == 0 else 0
                self.deliver(
                    now, "request", (number, name, now + deadline, hint, "", f"k{number % 997}", False)
                )
                load_factor = 3.0 if now // 10_000_000 % 5 == 4 else 1.0
                self.schedule(
                    now + 1 + int(self.random.expovariate(RATE * load_factor / 1e6)), "arrive", number + 1
                )
            elif what == "fault":
                self.inject_fault(now)
                self.schedule(now + int(self.random.uniform(0.5e6, 3e6)), "fault")
            elif what == "change":
                (server,) = fields
                self.deliver(now, "list", ("delta", (self.entry(server),)))
            elif what == "ended":
                request, attempt, outcome, elapsed, finished = fields
                held = request in self.balancer.held
                self.deliver(now, "ended", (request, attempt, outcome, elapsed, finished or not held))
            else:
                self.deliver(now, what, fields)
        return self.record

    def inject_fault(self, now: int) -> None:
        """Pause, hang, take down or restart a random server."""
        server = self.random.randrange(SERVERS)
        kind = self.random.choice(("pause", "hang", "down", "restart"))
        if kind == "pause":
            self.hung_until[server] = now + 300_000
        elif kind == "hang":
            self.hung_until[server] = now + 5_000_000
        elif kind == "down":
            self.down_until[server] = now + 2_000_000
        else:
            self.states[server] = "draining"
            self.deliver(now, "list", ("delta", (self.entry(server),)))
            self.states[server] = "ready"
            self.started[server] = now + 3_000_000
            self.schedule(now + 3_000_000, "change", server)


def dispatch(balancer: Any, api: Any, handler: str, now: int, fields: tuple[Any, ...]) -> list[Any]:
    """Pass a recorded event to a balancer and return its actions."""
    actions: list[Any]
    if handler == "request":
        actions = balancer.on_request(api.Request(*fields), now)
    elif handler == "ended":
        request, attempt, outcome, elapsed, finished = fields
        ended = api.AttemptEnded(request, attempt, api.Outcome(outcome), elapsed, finished)
        actions = balancer.on_attempt_ended(ended, now)
    elif handler == "timer":
        actions = balancer.on_timer(api.Timer(*fields), now)
    else:
        kind, rows = fields
        entries = [api.Backend(*row[:4], api.State(row[4]), *row[5:]) for row in rows]
        actions = balancer.on_list(api.BackendList(api.ListKind(kind), tuple(entries)), now)
    return actions


def replay_record(path: Path) -> dict[str, Any]:
    """Replay the record with the module of the tree that this runs in; return its cost and digests."""
    from sorrelfront.decisions import interface as api
    from sorrelfront.decisions.balancer import Balancer

    with gzip.open(path, "rb") as file:
        record: deque[Event] = deque(pickle.load(file))  # written by this program itself
    balancer = Balancer(make_settings(api), 1, 0)
    digest = hashlib.blake2b(digest_size=16)
    minutes: list[str] = []
    requests = spent_ns = 0
    clock = time.process_time_ns
    while record:
        handler, now, fields = record.popleft()
        while now // MINUTE_US > len(minutes):
            minutes.append(digest.hexdigest())
        started_at = clock()
        actions = dispatch(balancer, api, handler, now, fields)
        spent_ns += clock() - started_at
        requests += handler == "request"
        digest.update(repr(actions).encode())
    minutes.append(digest.hexdigest())
    return {"requests": requests, "us": spent_ns / 1e3 / max(1, requests), "minutes": minutes}


def replay_in_tree(tree: str, path: Path) -> dict[str, Any]:
    """Replay the record in another process, with the modules of the given tree."""
    environ = {**os.environ, "PYTHONPATH": os.pathsep.join([tree, os.getcwd()])}
    process = subprocess.run(
        [sys.executable, __file__, "--replay", str(path)],
        cwd=tree, env=environ, check=True, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    summary: dict[str, Any] = json.loads(process.stdout)
    return summary


def compare(minutes: float, runs: int, against: str | None) -> dict[str, Any]:
    """Record `minutes` of events and replay them `runs` times.

    With `against`, the replays alternate between this tree and that revision, and their actions are
    compared.
    """
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        path = Path(folder) / "record"
        with gzip.open(path, "wb", compresslevel=1) as file:
            pickle.dump(Simulation(minutes).play(), file)
        replays: dict[str, Any] = {}
        trees = {"now": os.getcwd()}
        if against is None:
            replays["now"] = [replay_in_tree(trees["now"], path) for _ in range(runs)]
        else:
            with tree_of(against) as tree:
                trees[against] = tree
                for _ in range(runs):
                    for name, tree_path in trees.items():
                        replays.setdefault(name, []).append(replay_in_tree(tree_path, path))
    result: dict[str, Any] = {"requests": replays["now"][0]["requests"], "minutes": minutes}
    for name, runs_of_tree in replays.items():
        result[name] = {"us_a_request": round(statistics.median(play["us"] for play in runs_of_tree), 2),
                        "least": round(min(play["us"] for play in runs_of_tree), 2)}  # fmt: skip
    if against is not None:
        pairs = zip(replays["now"][0]["minutes"], replays[against][0]["minutes"], strict=True)
        first_difference = next((at for at, (one, two) in enumerate(pairs) if one != two), None)
        result["same_actions"] = first_difference is None
        result["first_minute_that_differs"] = first_difference
    return result


def main() -> None:
    """Print the comparison as one JSON object."""
    parser = argparse.ArgumentParser(description="what a decision costs")
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--against", metavar="REV")
    parser.add_argument("--replay", metavar="FILE", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.replay:
        print(json.dumps(replay_record(Path(args.replay))))
    else:
        print(json.dumps(compare(args.minutes, args.runs, args.against), indent=1))


if __name__ == "__main__":
    main()
