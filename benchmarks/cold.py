"""Simulate what many balancer instances together send to a cold server, against the slow-start limit.

    python -m benchmarks.cold --agents 30 --servers 40 --seeds 5 --multiple 1.5 --span-s 3

Half of the servers are replaced by cold ones within 7 s. Meanwhile a tenth of the agents restart, and one
server in twenty crashes and restarts under its id. The agents' shares of the traffic are log-normal. A cold
server may get at most N + 2 x sqrt(N) + 2 requests within the configured span, where N is `cold_multiple`
times the number of requests of mean work that it can serve in that span at its current speed. Each server
works off its requests in order, at a speed that grows from `cold_from` to 1 within `cold_us`.
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
REQUEST_CLASS = api.RequestClass("look", api.Effect.SAFE, aim_us=600_000, deadline_us=3_000_000)


@dataclass(frozen=True)
class ColdSettings:
    """Hold the slow-start settings of a deployment.

    `initial_speed` is the speed of a server that has just started, relative to a warm one.
    """

    multiple: float = 3.0
    span_s: float = 1.5
    initial_speed: float = 0.32
    warm_s: float = 9.0


def make_settings(number: int, agents: int, cold: ColdSettings) -> api.Settings:
    """Return the decision module's settings for agent `number` of `agents`."""
    return api.Settings(
        classes=(REQUEST_CLASS,), drain_grace_us=500_000, cold_from=cold.initial_speed,
        cold_us=int(cold.warm_s * SECOND),
        cold_multiple=cold.multiple, cold_span_us=int(cold.span_s * SECOND), answer_slack_us=5_000,
        max_attempts=4, number=number, agents=agents, may_cancel=True, max_retry_after_us=2 * SECOND,
        connect_timeout_us=250_000,
    )  # fmt: skip


@dataclass
class Server:
    """Model a server that processes its requests in order.

    `work_us` is the mean service time of a request at full speed. `started_us` is 0 for a server that has
    long been warm.
    """

    name: str
    work_us: float
    started_us: int = 0
    free_at_us: float = 0.0
    recent: deque[int] = field(default_factory=deque)  # arrivals (us) in the last `cold_span_us`

    def speed(self, now: int, settings: api.Settings) -> float:
        """Return the speed at `now`, relative to a warm server."""
        if not self.started_us:
            return 1.0
        share = min(1.0, (now - self.started_us) / settings.cold_us)
        return settings.cold_from + (1 - settings.cold_from) * share

    def limit(self, now: int, settings: api.Settings) -> float:
        """Return how many requests a cold server may get within `cold_span_us` at its current speed."""
        capacity = self.speed(now, settings) * settings.cold_span_us / self.work_us
        expected = settings.cold_multiple * capacity
        return expected + 2 * sqrt(expected) + 2


@dataclass
class Result:
    """Count the arrivals of one run.

    `worst` is the highest ratio of requests received to the limit at any cold server. `overruns` counts
    the arrivals above the limit.
    """

    worst: float = 0.0
    arrivals: int = 0
    cold_arrivals: int = 0
    overruns: int = 0


class Simulation:
    """Simulate agents and servers in virtual time, driven by a queue of events."""

    def __init__(
        self,
        agents: int,
        servers: int,
        seed: int,
        load: float,
        seconds: int,
        cold: ColdSettings,
        work_us: float,
    ) -> None:
        self.random = Random(seed)
        self.settings = make_settings(0, agents, cold)
        self.seconds = seconds
        self.now = 0
        self.result = Result()
        self.event_queue: list[tuple[int, int, str, int, int]] = []
        self.count = 0
        self.servers = {f"s{at:03}": Server(f"s{at:03}", work_us) for at in range(servers)}
        weights = [self.random.lognormvariate(0, 0.8) for _ in range(agents)]
        rate = load * sum(1e6 / server.work_us for server in self.servers.values())
        self.mean_gap_us = [1e6 * sum(weights) / weight / rate for weight in weights]
        self.agents = [self.agent(number, agents) for number in range(agents)]
        self.where: dict[tuple[int, int], str] = {}
        for number in range(agents):
            self.schedule(self.random.expovariate(1 / self.mean_gap_us[number]), "ask", number, 0)
        for at in range(servers // 2):  # spread over 7 s
            self.schedule(2 * SECOND + 7 * SECOND * at / (servers // 2), "start", at, 0)
        for at in range(servers // 20):  # a replaced one crashes, restarts under its id
            self.schedule(6 * SECOND + 4 * SECOND * self.random.random(), "start", at, 0)
        for number in range(0, agents, 10):
            self.schedule(2 * SECOND + 7 * SECOND * self.random.random(), "restart", number, 0)

    def listed(self, server: Server) -> api.Backend:
        """Return the list entry of a server."""
        return api.Backend(server.name, started_us=server.started_us)

    def agent(self, number: int, agents: int) -> Balancer:
        """Create a balancer that has received the full list of servers."""
        balancer = Balancer(replace(self.settings, number=number), self.random.getrandbits(32), self.now)
        listed = tuple(map(self.listed, self.servers.values()))
        balancer.on_list(api.BackendList(api.ListKind.FULL, listed), self.now)
        return balancer

    def schedule(self, after: float, what: str, first: int, second: int) -> None:
        """Schedule method `what` to run `after` microseconds from now with two arguments."""
        self.count += 1
        heapq.heappush(self.event_queue, (self.now + int(after), self.count, what, first, second))

    def play(self) -> Result:
        """Run all events up to the end of the simulated time and return the result."""
        while self.event_queue and self.event_queue[0][0] <= self.seconds * SECOND:
            self.now, _, what, first, second = heapq.heappop(self.event_queue)
            getattr(self, what)(first, second)
        return self.result

    def ask(self, number: int, _: int) -> None:
        """Hand a new request to an agent and schedule that agent's next one."""
        self.schedule(self.random.expovariate(1 / self.mean_gap_us[number]), "ask", number, 0)
        self.count += 1
        event = api.Request(self.count, "look", self.now + REQUEST_CLASS.deadline_us)
        self.apply(number, self.agents[number].on_request(event, self.now))

    def apply(self, number: int, actions: list[api.Action]) -> None:
        """Apply the sends among an agent's actions; ignore the other actions."""
        for action in actions:
            if isinstance(action, api.Send):
                self.arrive(number, action)

    def arrive(self, number: int, send: api.Send) -> None:
        """Count a request that arrives at a server and schedule its end."""
        server = self.servers[send.backend]
        self.result.arrivals += 1
        recent = server.recent
        recent.append(self.now)
        while recent[0] <= self.now - self.settings.cold_span_us:
            recent.popleft()
        if server.started_us and self.now - server.started_us < self.settings.cold_us:
            self.result.cold_arrivals += 1
            share = len(recent) / server.limit(self.now, self.settings)
            self.result.worst = max(self.result.worst, share)
            self.result.overruns += share > 1
        duration_us = server.work_us * self.random.expovariate(1) / server.speed(self.now, self.settings)
        server.free_at_us = max(server.free_at_us, self.now) + duration_us
        self.schedule(server.free_at_us - self.now, "end", number, send.request_id)

    def end(self, number: int, request: int) -> None:
        """Report to the agent that the attempts of a request have succeeded."""
        balancer = self.agents[number]
        call = balancer.held.get(request)
        if call is None:
            return
        for attempt in sorted(call.in_flight):
            event = api.AttemptEnded(request, attempt, api.Outcome.OK, self.now - call.arrived_at, True)
            self.apply(number, balancer.on_attempt_ended(event, self.now))

    def start(self, at: int, _: int) -> None:
        """Restart a server cold and send the new list entry to all agents."""
        server = self.servers[f"s{at:03}"]
        server.started_us, server.free_at_us = max(1, self.now), 0.0
        server.recent.clear()
        update = api.BackendList(api.ListKind.DELTA, (self.listed(server),))
        for agent in self.agents:
            agent.on_list(update, self.now)

    def restart(self, number: int, _: int) -> None:
        """Replace an agent by a new one without any state."""
        self.agents[number] = self.agent(number, len(self.agents))


def run(
    agents: int,
    servers: int,
    seed: int,
    load: float = 0.9,
    seconds: int = 20,
    cold: ColdSettings | None = None,
    work_us: float = 60_000.0,
) -> Result:
    """Run one simulation.

    `load` is the share of the capacity of all servers when warm; `work_us` is the mean service time at a
    warm server.
    """
    return Simulation(agents, servers, seed, load, seconds, cold or ColdSettings(), work_us).play()


def main() -> None:
    """Run the simulation for each seed and print one line per seed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--agents", type=int, default=200)
    parser.add_argument("--servers", type=int, default=200)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument(
        "--load", type=float, default=0.9, help="load as a share of the capacity of all servers when warm"
    )
    parser.add_argument(
        "--multiple",
        type=float,
        default=3.0,
        help="how many times its current capacity a cold server tolerates",
    )
    parser.add_argument(
        "--span-s", type=float, default=1.5, help="seconds over which requests to a cold server are counted"
    )
    parser.add_argument(
        "--start", type=float, default=0.32, help="initial speed of a cold server, relative to a warm one"
    )
    parser.add_argument("--warm-s", type=float, default=9.0, help="seconds until a cold server is warm")
    parser.add_argument(
        "--work-ms", type=float, default=60.0, help="mean service time of a request at a warm server"
    )
    args = parser.parse_args()
    cold = ColdSettings(args.multiple, args.span_s, args.start, args.warm_s)
    for seed in range(1, args.seeds + 1):
        outcome = run(args.agents, args.servers, seed, args.load, cold=cold, work_us=args.work_ms * 1000)
        print(
            f"seed {seed}: {outcome.arrivals} arrivals, {outcome.cold_arrivals} at cold servers, "
            f"worst {outcome.worst:.2f} of what one may get, {outcome.overruns} over it"
        )


if __name__ == "__main__":
    main()
