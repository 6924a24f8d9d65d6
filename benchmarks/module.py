"""What a decision costs, and whether two revisions decide alike.

    .venv/bin/python -m benchmarks.module                      # CPU a request of the decision module
    .venv/bin/python -m benchmarks.module --against 7f5a30f    # and whether that revision acts alike
    .venv/bin/python -m benchmarks.module --minutes 60         # a recorded hour

An hour of events is made once, from a seed, by a small model of servers (queues, pauses, a hung one, drains,
restarts, refused connections) that answers the module's own actions; it is recorded as events alone, and each
revision is handed these same events. So the two are compared on the same course of things also after a first
difference. Actions are told apart by a digest for each minute; the first minute that differs is named.
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


def terms(api: Any) -> Any:
    made = [
        api.RequestClass(name, api.Effect(effect), aim, deadline, api.Scope.ALL, 4_000_000, worth)
        for name, effect, aim, deadline, worth in CLASSES
    ]
    return api.Settings(
        classes=tuple(made), drain_grace_us=500_000, cold_from=0.3, cold_us=9_000_000, cold_multiple=3.0,
        cold_span_us=1_500_000, answer_slack_us=20_000, max_attempts=3, may_cancel=True,
        max_retry_after_us=500_000, connect_timeout_us=250_000,
    )  # fmt: skip


class World:
    """Servers that answer a balancer's actions, and the record of all that it was told."""

    def __init__(self, minutes: float) -> None:
        from sorrelfront.decisions import interface as api
        from sorrelfront.decisions.balancer import Balancer

        self.api = api
        self.random = Random(SEED)
        self.end = int(minutes * MINUTE_US)
        self.made = Balancer(terms(api), 1, 0)
        self.record: list[Event] = []
        self.queue: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self.count = 0
        self.open: dict[int, int] = {}  # attempts of a request so far
        self.free = [0] * SERVERS  # when each server has worked off what it has
        self.states = ["ready"] * SERVERS
        self.started = [0] * SERVERS
        self.down = [0] * SERVERS  # until when it refuses connections
        self.hung = [0] * SERVERS

    def at(self, when: int, what: str, *fields: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what, fields))

    def entry(self, at: int) -> tuple[Any, ...]:
        return (f"s{at:02}", "", f"kind{at % 3}", 0, self.states[at], 1.0, self.started[at])

    def tell(self, now: int, handler: str, fields: tuple[Any, ...]) -> None:
        self.record.append((handler, now, fields))
        for action in handed(self.made, self.api, handler, now, fields):
            kind = type(action).__name__
            if kind == "Send":
                number = self.open.get(action.request_id, 0)
                self.open[action.request_id] = number + 1
                self.attempt(now, action.request_id, number, int(action.backend[1:]), action.timeout_us)
            elif kind == "SetTimer":
                self.at(now + action.delay_us, "timer", action.tag)

    def attempt(self, now: int, request: int, number: int, server: int, timeout_us: int) -> None:
        if now < self.down[server]:
            self.at(now + 400, "ended", request, number, "unreachable", 400, False)
            return
        service = int(self.random.expovariate(1 / 18_000)) * (1 + server % 3) + 2_000
        begin = max(now, self.free[server], self.hung[server])
        self.free[server] = begin + service // 4
        elapsed = begin + service - now
        if elapsed > timeout_us:
            self.at(now + timeout_us, "ended", request, number, "timeout", timeout_us, False)
        elif self.random.random() < 0.004:
            self.at(now + 1_000, "ended", request, number, "error", 1_000, False)
        elif elapsed > 400_000 and self.random.random() < 0.5:
            self.at(now + 900, "ended", request, number, "rejected", 900, False)
        else:
            self.at(now + elapsed, "ended", request, number, "ok", elapsed, True)

    def play(self) -> list[Event]:
        self.tell(0, "list", ("full", tuple(self.entry(at) for at in range(SERVERS))))
        self.at(1, "arrive", 1)
        self.at(2_000_000, "trouble")
        while self.queue:
            now, _, what, fields = heapq.heappop(self.queue)
            if now > self.end:
                break
            if what == "arrive":
                (number,) = fields
                name, _, _, deadline, _ = CLASSES[number % 3]
                hint = 20_000 if number % 5 == 0 else 0
                self.tell(now, "request", (number, name, now + deadline, hint, "", f"k{number % 997}", False))
                crowd = 3.0 if now // 10_000_000 % 5 == 4 else 1.0
                self.at(now + 1 + int(self.random.expovariate(RATE * crowd / 1e6)), "arrive", number + 1)
            elif what == "trouble":
                self.trouble(now)
                self.at(now + int(self.random.uniform(0.5e6, 3e6)), "trouble")
            elif what == "change":
                (server,) = fields
                self.tell(now, "list", ("delta", (self.entry(server),)))
            elif what == "ended":
                request, attempt, outcome, elapsed, finished = fields
                held = request in self.made.held
                self.tell(now, "ended", (request, attempt, outcome, elapsed, finished or not held))
            else:
                self.tell(now, what, fields)
        return self.record

    def trouble(self, now: int) -> None:
        server = self.random.randrange(SERVERS)
        kind = self.random.choice(("pause", "hang", "down", "restart"))
        if kind == "pause":
            self.hung[server] = now + 300_000
        elif kind == "hang":
            self.hung[server] = now + 5_000_000
        elif kind == "down":
            self.down[server] = now + 2_000_000
        else:
            self.states[server] = "draining"
            self.tell(now, "list", ("delta", (self.entry(server),)))
            self.states[server] = "ready"
            self.started[server] = now + 3_000_000
            self.at(now + 3_000_000, "change", server)


def handed(made: Any, api: Any, handler: str, now: int, fields: tuple[Any, ...]) -> list[Any]:
    """Hand a recorded event to a balancer."""
    actions: list[Any]
    if handler == "request":
        actions = made.on_request(api.Request(*fields), now)
    elif handler == "ended":
        request, attempt, outcome, elapsed, finished = fields
        ended = api.AttemptEnded(request, attempt, api.Outcome(outcome), elapsed, finished)
        actions = made.on_attempt_ended(ended, now)
    elif handler == "timer":
        actions = made.on_timer(api.Timer(*fields), now)
    else:
        kind, rows = fields
        entries = [api.Backend(*row[:4], api.State(row[4]), *row[5:]) for row in rows]
        actions = made.on_list(api.BackendList(api.ListKind(kind), tuple(entries)), now)
    return actions


def replayed(path: Path) -> dict[str, Any]:
    """Hand the record to the module of the tree that this runs in."""
    from sorrelfront.decisions import interface as api
    from sorrelfront.decisions.balancer import Balancer

    with gzip.open(path, "rb") as file:
        record: deque[Event] = deque(pickle.load(file))  # written by this program a moment ago
    made = Balancer(terms(api), 1, 0)
    digest = hashlib.blake2b(digest_size=16)
    minutes: list[str] = []
    requests = spent = 0
    clock = time.process_time_ns
    while record:
        handler, now, fields = record.popleft()
        while now // MINUTE_US > len(minutes):
            minutes.append(digest.hexdigest())
        began = clock()
        actions = handed(made, api, handler, now, fields)
        spent += clock() - began
        requests += handler == "request"
        digest.update(repr(actions).encode())
    minutes.append(digest.hexdigest())
    return {"requests": requests, "us": spent / 1e3 / max(1, requests), "minutes": minutes}


def in_tree(tree: str, path: Path) -> dict[str, Any]:
    """The same in another process, on the modules of that tree."""
    environ = {**os.environ, "PYTHONPATH": os.pathsep.join([tree, os.getcwd()])}
    done = subprocess.run(
        [sys.executable, __file__, "--replay", str(path)],
        cwd=tree, env=environ, check=True, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    told: dict[str, Any] = json.loads(done.stdout)
    return told


def compared(minutes: float, runs: int, against: str | None) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        path = Path(folder) / "record"
        with gzip.open(path, "wb", compresslevel=1) as file:
            pickle.dump(World(minutes).play(), file)
        told: dict[str, Any] = {}
        trees = {"now": os.getcwd()}
        if against is None:
            told["now"] = [in_tree(trees["now"], path) for _ in range(runs)]
        else:
            with tree_of(against) as tree:
                trees[against] = tree
                for _ in range(runs):
                    for name, place in trees.items():
                        told.setdefault(name, []).append(in_tree(place, path))
    result: dict[str, Any] = {"requests": told["now"][0]["requests"], "minutes": minutes}
    for name, plays in told.items():
        result[name] = {"us_a_request": round(statistics.median(play["us"] for play in plays), 2),
                        "least": round(min(play["us"] for play in plays), 2)}  # fmt: skip
    if against is not None:
        pairs = zip(told["now"][0]["minutes"], told[against][0]["minutes"], strict=True)
        differs = next((at for at, (one, two) in enumerate(pairs) if one != two), None)
        result["same_actions"] = differs is None
        result["first_minute_that_differs"] = differs
    return result


def main() -> None:
    parser = argparse.ArgumentParser(description="what a decision costs")
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--against", metavar="REV")
    parser.add_argument("--replay", metavar="FILE", help=argparse.SUPPRESS)
    words = parser.parse_args()
    if words.replay:
        print(json.dumps(replayed(Path(words.replay))))
    else:
        print(json.dumps(compared(words.minutes, words.runs, words.against), indent=1))


if __name__ == "__main__":
    main()
