"""What all agents together send a cold server: many balancers in memory against the standing test's rule.

    python -m benchmarks.cold --agents 30 --servers 40 --seeds 5 --multiple 1.5 --span-s 3

Half of the servers are replaced within 7 s, cold; a tenth of the agents starts anew meanwhile; one server
in twenty falls and starts again under its id. Agents' shares of the traffic are log-normal. A cold server may
get N + 2 x sqrt(N) + 2 requests of mean work in the settings' span, N being `cold_multiple` x what it can do
then. Servers work through what they get in turn, at a speed that grows from `cold_from` to 1 in `cold_us`.
"""

from __future__ import annotations

import argparse
import heapq
from collections import deque
from dataclasses import dataclass, field, replace
from math import sqrt
from random import Random

from sorrelfront.decisions import interface as api
from sorrelfront.decisions.balancer import Balancer

SECOND = 1_000_000
CLASS = api.RequestClass("look", api.Effect.SAFE, aim_us=600_000, deadline_us=3_000_000)


@dataclass(frozen=True)
class Cold:
    """What a deployment says of its cold servers. `start`: their speed at first, of a warm one's."""

    multiple: float = 3.0
    span_s: float = 1.5
    start: float = 0.32
    warm_s: float = 9.0


def settings(number: int, agents: int, cold: Cold) -> api.Settings:
    return api.Settings(
        classes=(CLASS,), drain_grace_us=500_000, cold_from=cold.start, cold_us=int(cold.warm_s * SECOND),
        cold_multiple=cold.multiple, cold_span_us=int(cold.span_s * SECOND), answer_slack_us=5_000,
        max_attempts=4, number=number, agents=agents, may_cancel=True, max_retry_after_us=2 * SECOND,
        connect_timeout_us=250_000,
    )  # fmt: skip


@dataclass
class Server:
    """`work_us` of a request at full speed; `started_us` 0: warm for long."""

    name: str
    work_us: float
    started_us: int = 0
    free_at: float = 0.0
    recent: deque[int] = field(default_factory=deque)  # arrivals in the last span

    def speed(self, now: int, terms: api.Settings) -> float:
        if not self.started_us:
            return 1.0
        share = min(1.0, (now - self.started_us) / terms.cold_us)
        return terms.cold_from + (1 - terms.cold_from) * share

    def limit(self, now: int, terms: api.Settings) -> float:
        can = self.speed(now, terms) * terms.cold_span_us / self.work_us
        n = terms.cold_multiple * can
        return n + 2 * sqrt(n) + 2


@dataclass
class Result:
    """`worst`: the most that a cold server got of what it may, as a share."""

    worst: float = 0.0
    arrivals: int = 0
    cold_arrivals: int = 0
    falls: int = 0


class World:
    def __init__(
        self, agents: int, servers: int, seed: int, load: float, seconds: int, cold: Cold, work_us: float
    ) -> None:
        self.random = Random(seed)
        self.terms = settings(0, agents, cold)
        self.seconds = seconds
        self.now = 0
        self.result = Result()
        self.heap: list[tuple[int, int, str, int, int]] = []
        self.count = 0
        self.servers = {f"s{at:03}": Server(f"s{at:03}", work_us) for at in range(servers)}
        weights = [self.random.lognormvariate(0, 0.8) for _ in range(agents)]
        rate = load * sum(1e6 / server.work_us for server in self.servers.values())
        self.gaps = [1e6 * sum(weights) / weight / rate for weight in weights]
        self.agents = [self.agent(number, agents) for number in range(agents)]
        self.where: dict[tuple[int, int], str] = {}
        for number in range(agents):
            self.later(self.random.expovariate(1 / self.gaps[number]), "ask", number, 0)
        for at in range(servers // 2):  # within 7 s
            self.later(2 * SECOND + 7 * SECOND * at / (servers // 2), "start", at, 0)
        for at in range(servers // 20):  # one that has started falls, and starts again under its id
            self.later(6 * SECOND + 4 * SECOND * self.random.random(), "start", at, 0)
        for number in range(0, agents, 10):
            self.later(2 * SECOND + 7 * SECOND * self.random.random(), "restart", number, 0)

    def listed(self, server: Server) -> api.Backend:
        return api.Backend(server.name, started_us=server.started_us)

    def agent(self, number: int, agents: int) -> Balancer:
        made = Balancer(replace(self.terms, number=number), self.random.getrandbits(32), self.now)
        listed = tuple(map(self.listed, self.servers.values()))
        made.on_list(api.BackendList(api.ListKind.FULL, listed), self.now)
        return made

    def later(self, after: float, what: str, one: int, two: int) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + int(after), self.count, what, one, two))

    def play(self) -> Result:
        while self.heap and self.heap[0][0] <= self.seconds * SECOND:
            self.now, _, what, one, two = heapq.heappop(self.heap)
            getattr(self, what)(one, two)
        return self.result

    def ask(self, number: int, _: int) -> None:
        self.later(self.random.expovariate(1 / self.gaps[number]), "ask", number, 0)
        self.count += 1
        event = api.Request(self.count, "look", self.now + CLASS.deadline_us)
        self.carry(number, self.agents[number].on_request(event, self.now))

    def carry(self, number: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.arrive(number, action)

    def arrive(self, number: int, send: api.Send) -> None:
        server = self.servers[send.backend]
        self.result.arrivals += 1
        recent = server.recent
        recent.append(self.now)
        while recent[0] <= self.now - self.terms.cold_span_us:
            recent.popleft()
        if server.started_us and self.now - server.started_us < self.terms.cold_us:
            self.result.cold_arrivals += 1
            share = len(recent) / server.limit(self.now, self.terms)
            self.result.worst = max(self.result.worst, share)
            self.result.falls += share > 1
        took = server.work_us * self.random.expovariate(1) / server.speed(self.now, self.terms)
        server.free_at = max(server.free_at, self.now) + took
        self.later(server.free_at - self.now, "end", number, send.request_id)

    def end(self, number: int, request: int) -> None:
        made = self.agents[number]
        held = made.held.get(request)
        if held is None:
            return
        for attempt in sorted(held.open):
            event = api.AttemptEnded(request, attempt, api.Outcome.OK, self.now - held.arrived, True)
            self.carry(number, made.on_attempt_ended(event, self.now))

    def start(self, at: int, _: int) -> None:
        server = self.servers[f"s{at:03}"]
        server.started_us, server.free_at = max(1, self.now), 0.0
        server.recent.clear()
        told = api.BackendList(api.ListKind.DELTA, (self.listed(server),))
        for agent in self.agents:
            agent.on_list(told, self.now)

    def restart(self, number: int, _: int) -> None:
        self.agents[number] = self.agent(number, len(self.agents))


def run(
    agents: int,
    servers: int,
    seed: int,
    load: float = 0.9,
    seconds: int = 20,
    cold: Cold | None = None,
    work_us: float = 60_000.0,
) -> Result:
    return World(agents, servers, seed, load, seconds, cold or Cold(), work_us).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--agents", type=int, default=200)
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--load", type=float, default=0.9, help="of what all servers can do when warm")
    parser.add_argument("--multiple", type=float, default=3.0, help="of its part that a cold server bears")
    parser.add_argument("--span-s", type=float, default=1.5, help="in which that is counted")
    parser.add_argument("--start", type=float, default=0.32, help="its speed at first, of a warm one's")
    parser.add_argument("--warm-s", type=float, default=9.0, help="until it is warm")
    parser.add_argument("--work-ms", type=float, default=60.0, help="of a request at a warm server")
    told = parser.parse_args()
    cold = Cold(told.multiple, told.span_s, told.start, told.warm_s)
    for seed in range(1, told.seeds + 1):
        found = run(told.agents, told.servers, seed, told.load, cold=cold, work_us=told.work_ms * 1000)
        print(
            f"seed {seed}: {found.arrivals} arrivals, {found.cold_arrivals} at cold servers, "
            f"worst {found.worst:.2f} of what one may get, {found.falls} over it"
        )


if __name__ == "__main__":
    main()
