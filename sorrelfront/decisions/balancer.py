"""Every decision of the balancer. The types, events and actions it speaks stand in interface.py.

How a server is picked: two distinct ready servers are drawn at random from this agent's slice of the list,
and the request goes to the one with the lower peak-EWMA latency x (pending + 1). Estimates come from this
balancer's own outcomes; a failure enters as at least a penalty. Each departure from that is marked with the
risk it covers.
"""

from __future__ import annotations

from math import exp
from random import Random

from sorrelfront.decisions import interface as api
from sorrelfront.decisions.listing import BackOff
from sorrelfront.decisions.slow_start import SlowStart

# Latencies are kept as multiples of what is usual for the request's class and cost hint, so none of these
# is in units of one deployment.
DECAY_AIMS = 1.5  # an estimate fades over so many mean aims. Risk: the peak of a pause outlasts it by seconds
RECENT_AIMS = 10.0  # a mean over many servers fades later: it tells how the fleet does
PENALTY = 4.0  # a failure counts as four usual latencies: worse than a loaded server, no verdict for good
SLICE_LEAST = 4  # servers drawn from at least: two to compare and two to spare
SLICE_US = 500_000  # one more server for each request in this time, so that each is heard from that often
DRAWS = 8  # tries to draw a fit server before giving up: keeps a pick O(1) when most are cold or broken off
RETRY_SHARE = 0.2  # retries a request earns: a storm cannot add more than this to the load
RETRY_BURST = 20.0  # retries saved up at most: one bad backend's share of a second or two
MEMORY = 64  # samples that a usual value looks back on
RECENT = 0.1  # weight of a new sample in a recent mean
SERVER_RECENT = 0.3  # the same for one server, which is heard from less often
SLACK = 0.9  # share of the room between usual latency and aim that a request may be expected to wait
LATE = 0.05  # late share tolerated before refusing in earnest; what late answers still earn is added
LET_THROUGH = 0.01  # hopeless requests sent all the same: without samples nobody would see the trouble end
# And one whenever nothing was sent for a mean aim, this at most: an agent with little traffic has no hundred
# requests in the seconds for which a trouble lasts.
PROBE_MOST_US = 1_000_000
# Of what all servers can do, the most that all agents together are taken to send, clients' repeats among it.
# A cold server whose multiple is less gets that much less of its share.
LOAD_MOST = 2.0
ROOM_LEAST = 0.25  # share of its aim that a request may be expected to wait, however long its usual latency
COME_BACK = 0.25  # share of its aim that a refused client is told to stay away
SILENT = 3.0  # intervals between answers that a silence may last by chance: one in twenty is longer
SILENT_LONG = 8.0  # usual latencies: one that looks silent for longer is drawn only where all others do too
BREAKER_LONGEST = 16  # connect time-outs; up to here the back-off from a server that refuses them doubles
ROOM_TIMES = 4  # connect time-outs for which a server's refusal of further connections is remembered


class Baseline:
    """A running usual value that leans to the low samples: what is common without congestion."""

    __slots__ = ("count", "value")

    def __init__(self, value: float) -> None:
        self.value = value
        self.count = 0

    def add(self, sample: float) -> None:
        if self.count < MEMORY:
            self.count += 1
        value = self.value
        step = (sample - value) / self.count
        if step > 0.0 and self.count > 8:
            # Risk: an overload taken for usual. Then nobody sees it, and nothing is left to fall back to.
            step = min(step, value / self.count) * 0.2
        self.value = value + step


class Recent:
    """What samples say of late, falling back to the usual value as they age. Risk: an agent that refuses on a
    few slow samples gets no new ones, and would go on refusing for ever."""

    __slots__ = ("_read", "_read_at", "baseline", "decay_us", "stamp", "value")

    def __init__(self, value: float, decay_us: float) -> None:
        self.baseline = Baseline(value)
        self.value = value
        self.stamp = 0
        self.decay_us = decay_us
        self._read = 0.0
        self._read_at = -1  # when it was read last, if it has not changed since: one event reads it often

    def set(self, value: float, stamp: int) -> None:
        self.value = value
        self.stamp = stamp
        self._read_at = -1

    def read(self, now: int) -> float:
        if now != self._read_at:
            usual = self.baseline.value
            self._read = usual + (self.value - usual) * exp((self.stamp - now) / self.decay_us)
            self._read_at = now
        return self._read

    def add(self, sample: float, now: int) -> None:
        self.baseline.add(sample)
        self._read_at = -1
        value = self.read(now)
        self.value = value + (sample - value) * RECENT
        self.stamp = now
        self._read_at = -1


class Kind(Recent):
    """What servers of one kind do of late, and how many of our own were ahead of what the samples tell of."""

    __slots__ = ("ahead",)

    def __init__(self, value: float, decay_us: float) -> None:
        super().__init__(value, decay_us)
        self.ahead = 0.0

    def hear(self, sample: float, ahead: int, now: int) -> None:
        self.add(sample, now)
        self.ahead += (ahead - self.ahead) * RECENT


class CircuitBreaker:
    """A way that failed is left alone for a while that doubles; then a single trial decides on the next."""

    __slots__ = ("failures", "until")

    def __init__(self) -> None:
        self.failures = self.until = 0

    def fail(self, now: int, unit_us: int) -> None:
        self.until = now + min(BREAKER_LONGEST, 2**self.failures) * unit_us
        self.failures = min(self.failures + 1, BREAKER_LONGEST)

    def mend(self) -> None:
        self.failures = self.until = 0

    def try_once(self, now: int, unit_us: int) -> None:
        """If it was open this attempt is the trial: nobody else until its outcome or another back-off."""
        if self.until:
            self.until = now + unit_us * BREAKER_LONGEST


class Server:
    """What this balancer knows of one backend: a peak estimate to pick by, a plain mean to forecast by."""

    __slots__ = ("ahead", "breaker", "decay_us", "estimate", "heard_at", "info", "kind", "mean", "pending",
                 "room", "room_until", "stamp", "warm_at")  # fmt: skip

    def __init__(self, info: api.Backend, kind: Kind, warm_at: int, decay_us: float) -> None:
        self.decay_us = decay_us
        self.pending: dict[tuple[int, int], tuple[int, float]] = {}  # oldest first: sent at, expected latency
        self.start(info, kind, warm_at)

    def start(self, info: api.Backend, kind: Kind, warm_at: int) -> None:
        """A new process: what was learnt of the old one does not hold."""
        self.info = info
        self.kind = kind
        self.estimate = self.mean = 0.0
        self.ahead = 0.0  # of our own pending, when what `mean` tells of was sent
        self.stamp = -1  # never heard from
        self.heard_at = -1  # its last good answer
        self.room = self.room_until = 0  # what it was seen to hold of ours, and for how long that counts
        self.breaker = CircuitBreaker()
        self.warm_at = warm_at

    def fit(self, now: int) -> bool:
        # `open`, written out: it is asked of each server drawn.
        return (
            self.warm_at <= now
            and self.breaker.until <= now
            and (self.room_until <= now or len(self.pending) < self.room)
        )

    def open(self, now: int) -> bool:
        """Whether anything may be sent to it, be it cold."""
        return self.breaker.until <= now and (self.room_until <= now or len(self.pending) < self.room)

    def silent(self, now: int) -> bool:
        """Whether it answers nothing of what waits for it. Risk: with two of seven hung, one draw in twenty
        has both, and what is sent there waits for its whole time. It is drawn again with its next good
        answer, or for a trial once nothing waits there. Harm: one that stops for a moment is left out for as
        long, and its share goes to the others."""
        return bool(self.pending) and self.at_least(0.0, now) > SILENT_LONG

    def crowded(self, now: int, for_us: int) -> None:
        """It takes no further connection and still answers. Risk: a server at its limit of connections taken
        for a dead one: what it served would go to the others, and they reach theirs. So it is sent what it
        was seen to hold. Harm: one that has just died draws attempts for one connect time-out more."""
        self.room = max(1, len(self.pending))
        self.room_until = now + for_us

    def weight(self, now: int) -> float:
        return exp((self.stamp - now) / self.decay_us) if self.stamp >= 0 else 0.0

    def at_least(self, value: float, now: int) -> float:
        """Raised to the age of the oldest pending attempt, counted from the last good answer. Risk: a hung
        server answers nothing, so its estimate would stay low while requests pile up on it; but of one that
        goes on answering, a single lost attempt tells nothing, and would have all of it refused. Harm: one
        that serves some and lets the others wait shows by their time-outs only.

        The more wait for it, the sooner silence tells: what is pending over the rate of answers is the
        latency (Little's law), and the rate is at most one in that silence. Risk: a busy server that stops
        for a second is sent as much again before its age shows. So too one that dies, hangs or is cut off.
        Harm: answers that come in batches pass for silence; hence a chance of SILENT, and no less than the
        usual latency of the oldest is waited for."""
        pending = self.pending
        if not pending:
            return value
        sent_at, expected_us = next(iter(pending.values()))
        heard_at = self.heard_at
        age = (now - (heard_at if heard_at > sent_at else sent_at)) / expected_us
        due_at = sent_at + expected_us
        silent = (now - (heard_at if heard_at > due_at else due_at)) / expected_us * len(pending) / SILENT
        if age > value:
            value = age
        return silent if silent > value else value

    def project(self, now: int) -> float:
        """The estimate, decayed to now towards what servers of its kind do. Risk: decaying to nothing, a slow
        server that was not sent to for a while would look the fastest of all."""
        kind = self.kind.read(now)
        if self.stamp < 0:
            return kind + (self.estimate - kind) * 0.0
        return kind + (self.estimate - kind) * exp((self.stamp - now) / self.decay_us)

    def observe(self, sample: float, now: int, waited: bool = True, ahead: int = 0) -> None:
        """The peak rule: a sample above the estimate projected to now replaces it, another is blended in.
        `ahead`: our own that were pending there when it was sent.
        `waited`: the sample is a latency, or a lower bound of one. Risk: a penalty taken for a wait. Then a
        server that errs or turns away at once looks crowded to the forecast, and what it could have served is
        refused. Harm: a server so crowded that it errs is seen by the pick alone."""
        weight = self.weight(now)
        kind = self.kind.read(now)
        self.mean = kind + (self.mean - kind) * weight
        self.ahead = self.usually_ahead(weight)
        if waited:
            self.mean += (sample - self.mean) * SERVER_RECENT
            self.ahead += (ahead - self.ahead) * SERVER_RECENT
        if sample > kind + (self.estimate - kind) * weight:  # `project`
            self.estimate = sample
        else:
            self.estimate = self.estimate * weight + sample * (1.0 - weight)
        self.stamp = now

    def load(self, now: int) -> float:
        projected = self.project(now)
        if not self.pending:
            return projected
        return self.at_least(projected, now) * (len(self.pending) + 1)

    def usually_ahead(self, weight: float) -> float:
        return self.kind.ahead + (self.ahead - self.kind.ahead) * weight

    def forecast(self, now: int) -> float:
        """The latency to expect. Not the peak: one costly request would have everything refused. What it is
        above the usual is the wait, and that grows and shrinks with what is pending.

        Risk: answers tell of the queue that they stood in, not of the one there is now. Read as they are, a
        crowd refuses everybody until its last answer has faded, long after the servers have run empty; then
        all are let in at once, and make the next crowd. So too after a pause, a hang that ends, or any wave.
        Harm: where others make the wait, our own pending says little of it, and the forecast is noisier."""
        kind, weight = self.kind.read(now), self.weight(now)
        mean = kind + (self.mean - kind) * weight
        wait = mean - self.kind.baseline.value
        if wait > 0.0:
            mean += wait * ((len(self.pending) + 1) / (self.usually_ahead(weight) + 1) - 1.0)
        return self.at_least(mean, now)


class Held:
    """A request that still owes its final answer."""

    __slots__ = ("arrived", "arriving", "attempts", "cls", "open", "request", "risky", "tried", "units")

    def __init__(self, request: api.Request, cls: api.RequestClass, units: float, now: int) -> None:
        self.request = request
        self.cls = cls
        self.units = units  # of its class's usual latency, that it may be expected to take
        self.arrived = now
        self.arriving = request.arriving
        self.attempts = 0
        self.open: set[int] = set()
        self.tried: list[Server] = []  # as many as attempts
        self.risky: dict[int, tuple[int, api.Backend]] = {}  # attempts that may have run yet: when, where


class Balancer:
    """One agent's decisions, sans-IO: hand each event to its handler, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.started = now
        self.baselines: dict[str, Baseline] = {}
        self.hints: dict[str, Baseline] = {}
        self.sent_at = now  # the last attempt
        self._adopt_classes(settings)
        self.common_us = 0.0  # the usual latency of a request of any class
        self.late = Recent(0.0, self.recent_us)  # share of recent attempts that missed their aim
        self.kinds: dict[str, Kind] = {}
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.slice: list[Server] = []
        self.held: dict[int, Held] = {}
        # What is out: where, units of its class's usual latency, class, and how many of our own were ahead.
        self.attempts: dict[tuple[int, int], tuple[Server, float, api.RequestClass, int]] = {}
        self.requests = 0
        self.retries = RETRY_BURST
        self.asking = False
        self.back_off = BackOff(self.random)
        self.slow_start = SlowStart()

    def _adopt_classes(self, settings: api.Settings) -> None:
        """Before its first answer a class is taken to need a third of its aim; that answer replaces the
        guess."""
        self.classes = {cls.name: cls for cls in settings.classes}
        mean_us = sum(cls.aim_us for cls in settings.classes) / len(settings.classes)
        self.decay_us, self.recent_us = DECAY_AIMS * mean_us, RECENT_AIMS * mean_us
        self.probe_us = min(PROBE_MOST_US, mean_us)
        for cls in settings.classes:
            self.baselines.setdefault(cls.name, Baseline(cls.aim_us / 3))
            self.hints.setdefault(cls.name, Baseline(0.0))
        by_work = settings.worth_by_work
        value = {cls.name: cls.worth / (1 if by_work else cls.aim_us) for cls in settings.classes}
        self.dearest = max(settings.classes, key=lambda cls: value[cls.name])
        top = value[self.dearest.name] or 1.0
        self.rank = {name: worth / top for name, worth in value.items()}

    def on_settings(self, settings: api.Settings, now: int) -> list[api.Action]:
        """Other settings, from now on. What was learnt of servers and classes stays; requests held keep the
        terms that they came under."""
        self.settings = settings
        self._adopt_classes(settings)
        # Risk: by aims that are ten times as short, what was learnt fades ten times too slowly for them.
        for recent in (self.late, *self.kinds.values()):
            recent.decay_us = self.recent_us
        for server in self.servers.values():
            server.decay_us = self.decay_us
        self._choose_slice(now)
        return []

    # Keeping up with the list of servers

    def start(self) -> list[api.Action]:
        """The first actions."""
        settings = self.settings
        return self._ask(self.back_off.first(settings.ask_within_us, settings.drain_grace_us))

    def _ask(self, wait_us: int) -> list[api.Action]:
        if self.asking or not self.settings.subscribe:
            return []
        self.asking = True
        return [api.SetTimer(wait_us, "subscribe")]

    def on_list(self, event: api.BackendList, now: int) -> list[api.Action]:
        if event.kind is api.ListKind.FAILED:
            # The list held stays in use.
            settings = self.settings
            return self._ask(self.back_off.failed(settings.ask_within_us, settings.drain_grace_us))
        known, kept = self.servers, self.servers
        if event.kind is not api.ListKind.DELTA:
            kept = self.servers = {}
        for info in event.backends:
            server = known.get(info.id)
            if info.state is api.State.GONE:
                if kept.pop(info.id, None) is not None and server is not None:
                    self.slow_start.departed(server.info, server.warm_at)
                continue
            kind = self.kinds.setdefault(info.kind, Kind(1.0, self.recent_us))
            if server is None or server.info.started_us != info.started_us:
                warm_at = self.slow_start.warm_at(info, now, self.settings.cold_us)
                if server is None:
                    server = Server(info, kind, warm_at, self.decay_us)
                else:
                    server.start(info, kind, warm_at)
            server.info = info
            kept[info.id] = server
        if known is not kept:
            for name, server in known.items():
                if name not in kept:
                    self.slow_start.departed(server.info, server.warm_at)
        if event.kind is not api.ListKind.CACHED:
            self.back_off.heard()
            self.slow_start.followed()
        # Draining and gone leave the draw at once. Risk: a drain broken within its grace by a late request.
        self.ready = [server for server in kept.values() if server.info.state is api.State.READY]
        self.ready.sort(key=lambda server: server.info.id)
        self._choose_slice(now)
        return []

    def _choose_slice(self, now: int) -> None:
        """The part of the fleet this agent draws from: a stable slice of the sorted list, placed by its
        number so that the slices of all agents cover the fleet evenly, and sized by its traffic so that a
        busy agent does not crowd it. Risk: drawn from the whole list, a quiet agent hears too seldom from
        any one server."""
        size = len(self.ready)
        rate = self.requests / max(1_000_000, now - self.started)
        wanted = min(size, max(SLICE_LEAST, int(rate * SLICE_US)))
        begin = self.settings.number * size // self.settings.agents
        self.slice = (self.ready[begin:] + self.ready[:begin])[:wanted]

    # From request to final answer

    def on_request(self, event: api.Request, now: int) -> list[api.Action]:
        cls = self.classes[event.class_name]
        units = 1.0
        if event.cost_hint_us > 0:
            # Risk: one costly request brands a healthy server. Half, since waiting does not grow with the
            # cost.
            hints = self.hints[cls.name]
            hints.add(event.cost_hint_us)
            units = 0.5 + 0.5 * min(8.0, event.cost_hint_us / hints.value)
        self.common_us += (self.baselines[cls.name].value - self.common_us) / min(MEMORY, self.requests + 1)
        held = self.held[event.id] = Held(event, cls, units, now)
        retries = self.retries + RETRY_SHARE
        self.retries = retries if retries < RETRY_BURST else RETRY_BURST
        self.requests += 1
        if not self.requests & 31:
            self._choose_slice(now)
        return self._place(held, now)

    def on_timer(self, event: api.Timer, now: int) -> list[api.Action]:
        if event.tag == "subscribe":
            self.asking = False
            return [api.Subscribe()]
        held = self.held.get(int(event.tag)) if event.tag.isdigit() else None
        return [] if held is None or held.open else self._place(held, now)

    def on_whole(self, event: api.Whole, now: int) -> list[api.Action]:
        """An arriving request is whole: what is out for it is pending from now on."""
        held = self.held.get(event.request_id)
        if held is None or not held.arriving:
            return []
        held.arriving = False
        held.arrived = now
        held.request = held.request._replace(deadline_us=event.deadline_us, arriving=False)
        for attempt in sorted(held.open):
            key = (event.request_id, attempt)
            server, units, cls, _ = self.attempts[key]
            self.attempts[key] = (server, units, cls, len(server.pending))
            server.pending[key] = (now, self._expected_us(units, cls))
        return []

    def on_stream_started(self, event: api.StreamStarted, now: int) -> list[api.Action]:
        return []  # the client has it now, with no deadline; the attempt's end will be told as any other

    def on_client_gone(self, event: api.ClientGone, now: int) -> list[api.Action]:
        held = self.held.pop(event.request_id, None)
        return self._cancel(held) if held else []

    def on_attempt_ended(self, event: api.AttemptEnded, now: int) -> list[api.Action]:
        key = (event.request_id, event.attempt)
        if key not in self.attempts:
            return []
        server, units, cls, ahead = self.attempts.pop(key)
        worked = server.pending.pop(key, None) is not None
        # Called off before the server had all of it, it tells nothing of the server.
        if worked or event.outcome is not api.Outcome.CANCELLED:
            self._learn(server, event, units, cls, ahead, now)
        held = self.held.get(event.request_id)
        if held is None:
            return []
        held.open.discard(event.attempt)
        if event.finished:
            del self.held[event.request_id]
            return self._cancel(held)
        if event.outcome in api.NEVER_RAN:
            held.risky.pop(event.attempt, None)
        if held.open:
            return []
        # Risk: a retry storm. What cannot be paid from the budget ends here.
        if event.outcome is api.Outcome.UNSENT:
            return self._end(held, api.EndReason.UNSENT)
        if self.retries < 1.0:
            return self._end(held, api.EndReason.RETRY_BUDGET)
        self.retries -= 1.0
        return self._place(held, now)

    def _expected_us(self, units: float, cls: api.RequestClass) -> float:
        return max(1.0, units * self.baselines[cls.name].value)

    def _learn(
        self,
        server: Server,
        event: api.AttemptEnded,
        units: float,
        cls: api.RequestClass,
        ahead: int,
        now: int,
    ) -> None:
        outcome = event.outcome
        if outcome is api.Outcome.UNSENT:
            return
        if outcome is api.Outcome.OK:
            # Ahead of what is made of it. Risk: where the guess for a class was a third of what is usual, its
            # first answers say that all servers take three times as long; the class learns at once, they
            # do not, and idle servers pass for crowded ones.
            self.baselines[cls.name].add(event.elapsed_us)
        sample = event.elapsed_us / self._expected_us(units, cls)
        if outcome is api.Outcome.CANCELLED or outcome is api.Outcome.TIMEOUT:
            # It would have taken longer: never a reason to think better of the server.
            server.observe(max(sample, server.project(now)), now, ahead=ahead)
        elif outcome is not api.Outcome.OK:
            # Risk: a dead server refuses connections at once, and its tiny elapsed times would draw every
            # pick. Nor does it have a queue, so it is charged for the one that the others have: counted
            # without, any server that fails fast beats all that are busy. Harm: in a crowd, one stray
            # failure has a good server passed over until the peak has faded.
            penalty = PENALTY * (1.0 + server.kind.ahead)
            server.observe(max(penalty, sample), now, waited=False)
        else:
            server.observe(sample, now, ahead=ahead)
            server.kind.hear(sample, ahead, now)
        unit_us = self.settings.connect_timeout_us
        if outcome is api.Outcome.UNREACHABLE or outcome is api.Outcome.RESET:
            if server.heard_at < 0 or now - server.heard_at > unit_us or server.breaker.failures:
                server.breaker.fail(now, unit_us)
            elif outcome is api.Outcome.UNREACHABLE:
                server.crowded(now, ROOM_TIMES * unit_us)
        elif outcome is api.Outcome.OK:
            server.heard_at = now
            server.breaker.mend()
        # Only what was waited for tells whether the fleet is late. Risk: errors, whatever their cause, taken
        # for crowding; then the whole fleet is spared for what a part of it, or one class, brings on itself.
        if outcome is api.Outcome.OK:
            self.late.add(0.0 if event.elapsed_us <= cls.aim_us else 1.0, now)
        elif outcome is api.Outcome.TIMEOUT:
            self.late.add(1.0, now)

    def _place(self, held: Held, now: int) -> list[api.Action]:
        """Send the request, hold it until a server is known, or end it."""
        left_us = held.request.deadline_us - now
        if left_us <= 0:
            return self._end(held, api.EndReason.DEADLINE)
        if held.attempts >= self.settings.max_attempts:
            return self._end(held, api.EndReason.MAX_ATTEMPTS)
        if not self.ready and not held.attempts:
            # No server is known: hold while an answer could still make its aim, and not longer. No outcome
            # will wake a held request, so a timer. Risk: it would be lost.
            hold_us = min(left_us, held.arrived + held.cls.aim_us - now)
            if hold_us <= 0:
                return self._end(held, api.EndReason.NO_BACKEND)
            return [api.SetTimer(min(hold_us, max(1, held.cls.aim_us // 8)), str(held.request.id))]
        pool = self._allowed(held, now)
        if held.tried:
            # Risk: a server that fails at once, and is idle for it, draws the next attempt too. Where no
            # other is left the same may be tried again.
            pool = [server for server in pool if server not in held.tried] or pool
        server = self._pick(pool, held, now)
        reason = api.EndReason.UNAVAILABLE if pool else api.EndReason.MAY_HAVE_RUN
        if server is not None and self._hopeless(held, server, now):
            reason = api.EndReason.INFEASIBLE
            # While no more come late than tolerated, suspect the pair and not the fleet: one pair more.
            calm = self.late.read(now) < LATE + held.cls.late_worth
            server = self._pick(pool, held, now) if calm else None
            if server is not None and self._hopeless(held, server, now):
                server = None
        if server is None:
            return self._end(held, reason)
        key = (held.request.id, held.attempts)
        self.attempts[key] = (server, held.units, held.cls, len(server.pending))
        self.sent_at = now
        if not held.arriving:
            # Risk: a client that sends slowly would make its server look silent, and crowded for as long.
            server.pending[key] = (now, self._expected_us(held.units, held.cls))
        # Risk: decided within the window and begun behind it, where a connection comes up late.
        begin_before_us = min(held.request.deadline_us, self._window_end(held))
        held.risky[held.attempts] = (now, server.info)
        held.open.add(held.attempts)
        held.tried.append(server)
        held.attempts += 1
        server.breaker.try_once(now, self.settings.connect_timeout_us)
        return [api.Send(held.request.id, server.info.id, left_us, begin_before_us)]

    def _allowed(self, held: Held, now: int) -> list[Server]:
        """The servers a request may go to. Risk: an effect twice. Once an attempt may have run, an unsafe
        request goes nowhere, and a keyed one only to the group that drops its repeats and while it
        remembers, counted from the first such attempt."""
        if not held.risky or held.cls.effect is api.Effect.SAFE:
            return self.slice
        if held.cls.effect is api.Effect.UNSAFE:
            return []
        if now >= self._window_end(held):
            return []
        _, info = next(iter(held.risky.values()))
        if held.cls.scope is api.Scope.ZONE:
            return [server for server in self.ready if server.info.zone == info.zone]
        if held.cls.scope is api.Scope.CELL:
            return [server for server in self.ready if server.info.cell == info.cell]
        return self.slice

    def _window_end(self, held: Held) -> int:
        """When the servers may forget a keyed request, so that no repeat may begin any more; its deadline
        where nothing has to be remembered."""
        if not held.risky or held.cls.effect is not api.Effect.KEYED:
            return held.request.deadline_us
        sent_at, _ = next(iter(held.risky.values()))
        return sent_at + held.cls.dedup_window_us

    def _pick(self, pool: list[Server], held: Held, now: int) -> Server | None:
        """The less loaded of two random servers. A cold one takes part only as the first drawn, kept by the
        chance of its warmth, and never in a retry: so its share is at most this agent's mean rate for a
        server times its warmth. Risk: all agents prefer the idle newcomer and push it over, also when the
        whole fleet is cold."""
        if not pool:
            return None
        one: Server | None = pool[int(self.random() * len(pool))]
        if one is not None and not one.fit(now):
            left = min(1.0, max(0.0, (one.warm_at - now) / max(1, self.settings.cold_us)))
            warmth = 1.0 - (1.0 - self.settings.cold_from) * left
            # What all agents send it is their load x this chance, and the multiple x warmth is what it bears.
            warmth *= min(1.0, self.settings.cold_multiple / LOAD_MOST)
            if not one.open(now) or one.silent(now) or held.attempts or self.random() >= warmth:
                one = self._draw(pool, None, now)
        elif one is not None and one.silent(now):
            one = self._draw(pool, None, now)
        if one is None:
            return None
        two = self._draw(pool, one, now)
        return one if two is None or one.load(now) <= two.load(now) else two

    def _draw(self, pool: list[Server], other: Server | None, now: int) -> Server | None:
        """A random server that is warm, whose breaker is closed, and not `other`; a silent one only if no
        other is found. The last draws walk on from a random place, so that a small pool is searched
        through."""
        size = len(pool)
        random = self.random
        start = int(random() * size)
        silent = None
        for draw in range(2 * DRAWS):
            server = pool[int(random() * size) if draw < DRAWS else (start + draw) % size]
            if server is not other and server.fit(now):
                if not server.pending or not server.silent(now):
                    return server
                silent = server
        return silent

    def _hopeless(self, held: Held, server: Server, now: int) -> bool:
        """Whether even the better of two servers is expected to answer too late. Risk: in overload, work
        that comes too late to count keeps everybody else late too, and clients come back for more. The
        fewer answers have come late of late, the less a bad forecast is believed; where nothing was sent
        for a while it is not believed at all."""
        if now - self.sent_at >= self.probe_us:
            return False
        cls, dearest = held.cls, self.dearest
        # All classes wait in the same queues, so the wait that each may expect is laddered by worth below
        # that of the dearest, and what has no room of its own goes first. Risk: the class of longest usual
        # latency makes way for cheaper ones.
        rank = self.rank.get(cls.name, 1.0)  # the class may have left the settings since
        room_us = min(self._room_us(cls), self._room_us(dearest) * rank)
        tolerance = max(1.0, (LATE + cls.late_worth) / (self.late.read(now) + 1e-9))
        # A repeat has spent at least the time it was told to stay away.
        spent_us = now - held.arrived + (cls.aim_us * COME_BACK if held.request.is_retry else 0.0)
        wait_us = (server.forecast(now) - 1.0) * self.common_us
        return wait_us > SLACK * room_us * tolerance - spent_us and self.random() >= LET_THROUGH

    def _room_us(self, cls: api.RequestClass) -> float:
        """What a request of this class may wait beyond its usual latency. Risk: what a process learns in a
        crowd, it takes for usual. Where that comes to the aim no wait at all is left, the dearest class takes
        the others' room with it, and with every server idle everything is refused. Harm: a class that can
        hardly be served in time at rest is sent all the same."""
        return max(cls.aim_us - self.baselines[cls.name].value, ROOM_LEAST * cls.aim_us)

    def _end(self, held: Held, reason: api.EndReason) -> list[api.Action]:
        """The final answer. A refusal says that a retry does no harm: only where no attempt may have run,
        or where the repeat is dropped or borne by every server."""
        del self.held[held.request.id]
        cls = held.cls
        everywhere = cls.effect is api.Effect.KEYED and cls.scope is api.Scope.ALL
        if not held.risky or cls.effect is api.Effect.SAFE or everywhere:
            stay_away_us = min(self.settings.max_retry_after_us, int(cls.aim_us * COME_BACK))
            return [api.Refuse(held.request.id, stay_away_us, reason)]
        return [api.Fail(held.request.id, reason)]

    def _cancel(self, held: Held) -> list[api.Action]:
        """Call off what is still out for a finished request."""
        if not held.open or not self.settings.may_cancel:
            return []
        return [api.CancelAttempt(held.request.id, attempt) for attempt in sorted(held.open)]
