"""The load balancer. Its settings, events and actions are defined in interface.py.

A request goes to the less loaded, by peak-EWMA latency x (pending + 1), of two random ready servers of this
agent's slice of the list. Estimates come from its own outcomes; a failure counts as at least a penalty.
"""

from __future__ import annotations

from math import exp
from random import Random

from sorrelfront.decisions import interface as api
from sorrelfront.decisions.circuit_breaker import CircuitBreaker
from sorrelfront.decisions.discovery_timing import BackOff
from sorrelfront.decisions.slow_start import SlowStart

# Latencies are kept as multiples of the usual latency for the request's class and cost hint, so that these
# constants do not depend on the time scale of a deployment.
DECAY_AIMS = 1.5  # decay time of an estimate, in mean aims; if longer, the peak of a pause stays for seconds
RECENT_AIMS = 10.0  # decay time of a mean over many servers: longer, since it describes the whole fleet
FAILURE_PENALTY = 4.0  # usual latencies that a failure counts as: worse than a loaded server, but it decays
MIN_SLICE_SERVERS = 4  # servers to draw from at least: two to compare and two to spare
SLICE_INTERVAL_US = 500_000  # one more server per request in this time, so that each is sampled that often
RANDOM_DRAWS = 8  # then the pool is searched in order; keeps a pick O(1) if most servers are cold or failing
RETRY_SHARE = 0.2  # retries earned per request, so that a retry storm adds at most this share to the load
RETRY_BURST = 20.0  # maximum of saved retries: what one bad backend needs in a second or two
MAX_COUNT = 64  # samples that a baseline averages over, at most
RECENT_SAMPLE_WEIGHT = 0.1  # weight of a new sample in a recent mean
SERVER_SAMPLE_WEIGHT = 0.3  # the same for one server, which gives fewer samples
WAIT_SHARE = 0.9  # share of the budget, between usual latency and aim, that a request may be expected to wait
LATE_TOLERANCE = 0.05  # share of late answers tolerated before refusing; `late_worth` is added to it
PROBE_PROBABILITY = 0.01  # share of infeasible requests sent all the same, to see when a fault ends
# One is also sent if nothing was sent for a mean aim, at most this long: an agent with little traffic does
# not have a hundred requests while a fault lasts.
MAX_PROBE_INTERVAL_US = 1_000_000
# The most that all agents together are assumed to send, client retries included, relative to the capacity of
# all servers. A cold server whose multiple is lower gets that much less of its share.
MAX_LOAD_FACTOR = 2.0
MIN_WAIT_SHARE = 0.25  # share of its aim that a request may wait, however long its usual latency
RETRY_AFTER_SHARE = 0.25  # share of its aim that a refused client is told to wait before it retries
SILENCE_RATIO = 3.0  # intervals between answers that a silence may last: one in twenty is longer by chance
UNRESPONSIVE_LATENCIES = 8.0  # usual latencies; a server silent for longer is drawn only if all are
CAP_TIMEOUTS = 4  # connect time-outs for which the cap holds after a server refused further connections


class Baseline:
    """Running average weighted towards low samples: the usual value without congestion."""

    __slots__ = ("count", "value")

    def __init__(self, value: float) -> None:
        self.value = value
        self.count = 0

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self.count < MAX_COUNT:
            self.count += 1
        value = self.value
        step = (sample - value) / self.count
        if step > 0.0 and self.count > 8:
            # Otherwise overload becomes the baseline: it goes undetected, and the usual value is lost.
            step = min(step, value / self.count) * 0.2
        self.value = value + step


class DecayingMean:
    """Recent mean that decays to the baseline, lest an agent without new samples refuse requests forever."""

    __slots__ = ("_cached", "_cached_at", "baseline", "decay_us", "updated_at", "value")

    def __init__(self, value: float, decay_us: float) -> None:
        self.baseline = Baseline(value)
        self.value = value
        self.updated_at = 0
        self.decay_us = decay_us
        self._cached = 0.0
        self._cached_at = -1  # time of the cached value, or -1; one event reads it often

    def set(self, value: float, updated_at: int) -> None:
        """Replace the recent mean; the baseline stays."""
        self.value = value
        self.updated_at = updated_at
        self._cached_at = -1

    def read(self, now: int) -> float:
        """Return the mean, decayed to `now`."""
        if now != self._cached_at:
            usual = self.baseline.value
            self._cached = usual + (self.value - usual) * exp((self.updated_at - now) / self.decay_us)
            self._cached_at = now
        return self._cached

    def add(self, sample: float, now: int) -> None:
        """Add a sample to the mean and to the baseline."""
        self.baseline.add(sample)
        self._cached_at = -1
        value = self.read(now)
        self.value = value + (sample - value) * RECENT_SAMPLE_WEIGHT
        self.updated_at = now
        self._cached_at = -1


class KindStats(DecayingMean):
    """Recent latency of servers of one kind, and how many of our attempts were ahead of each sample."""

    __slots__ = ("ahead",)

    def __init__(self, value: float, decay_us: float) -> None:
        super().__init__(value, decay_us)
        self.ahead = 0.0

    def add_answer(self, sample: float, ahead: int, now: int) -> None:
        """Add the latency of an answer, with `ahead` attempts pending when it was sent."""
        self.add(sample, now)
        self.ahead += (ahead - self.ahead) * RECENT_SAMPLE_WEIGHT


class Server:
    """State of one process of a backend: a peak estimate for picking and a mean for forecasting."""

    __slots__ = ("ahead", "breaker", "cap", "cap_until", "decay_us", "estimate", "info", "kind",
                 "last_answer_at", "mean", "pending", "updated_at", "warm_at")  # fmt: skip

    def __init__(self, info: api.Backend, kind: KindStats, warm_at: int, decay_us: float) -> None:
        self.decay_us = decay_us
        self.pending: dict[tuple[int, int], tuple[int, float]] = {}  # oldest first: sent at, expected latency
        self.info = info
        self.kind = kind
        self.estimate = self.mean = 0.0
        self.ahead = 0.0  # our own pending attempts when the samples of `mean` were sent
        self.updated_at = -1  # -1: no sample yet
        self.last_answer_at = -1  # time of its last good answer, or -1
        self.cap = self.cap_until = 0  # bound on our pending attempts, and how long it holds
        self.breaker = CircuitBreaker()
        self.warm_at = warm_at

    def is_available(self, now: int) -> bool:
        """Whether it is warm and accepts attempts; `accepts` is inlined, since this runs for each draw."""
        return (
            self.warm_at <= now
            and self.breaker.open_until <= now
            and (self.cap_until <= now or len(self.pending) < self.cap)
        )

    def accepts(self, now: int) -> bool:
        """Whether attempts may be sent to it, even while it is cold."""
        return self.breaker.open_until <= now and (self.cap_until <= now or len(self.pending) < self.cap)

    def is_unresponsive(self, now: int) -> bool:
        """Whether it answers none of its pending attempts.

        With two of seven servers hung, one draw in twenty has both, and its request would wait until its
        deadline. The server is drawn again after its next good answer, or for a trial once nothing is
        pending. One that only pauses is left out for that time too, and its share goes to the others.
        """
        return bool(self.pending) and self.lower_bound(0.0, now) > UNRESPONSIVE_LATENCIES

    def limit_pending(self, now: int, for_us: int) -> None:
        """Cap the pending attempts of a server that refuses further connections but still answers.

        Taken for dead, a server at its connection limit would pass its load to the others until they reach
        theirs. A server that has just died gets attempts for one connect time-out longer.
        """
        self.cap = max(1, len(self.pending))
        self.cap_until = now + for_us

    def weight(self, now: int) -> float:
        """Return how much of the estimate is left after its decay to `now`, 0 to 1."""
        return exp((self.updated_at - now) / self.decay_us) if self.updated_at >= 0 else 0.0

    def lower_bound(self, value: float, now: int) -> float:
        """Raise `value` to the latency that the silence of this server implies.

        One bound is the age of the oldest pending attempt: the estimate of a hung server would stay low while
        requests pile up on it. It counts from the last good answer, so that a single lost attempt does not
        have all requests refused; a server that answers only some is detected by the others' time-outs.

        The other is pending over the rate of answers (Little's law), at most one in the silence: a busy
        server that pauses, dies, hangs or is cut off would get as many requests again before the age shows.
        Batched answers look like silence: hence SILENCE_RATIO and a start after the oldest's usual latency.
        """
        pending = self.pending
        if not pending:
            return value
        sent_at, expected_us = next(iter(pending.values()))
        ok_at = self.last_answer_at
        age = (now - (ok_at if ok_at > sent_at else sent_at)) / expected_us
        due_at = sent_at + expected_us
        silent = (now - (ok_at if ok_at > due_at else due_at)) / expected_us * len(pending) / SILENCE_RATIO
        if age > value:
            value = age
        return silent if silent > value else value

    def project(self, now: int) -> float:
        """Return the estimate, decayed towards its kind's mean; to zero, idle slow servers would win."""
        kind = self.kind.read(now)
        if self.updated_at < 0:
            return kind + (self.estimate - kind) * 0.0
        return kind + (self.estimate - kind) * exp((self.updated_at - now) / self.decay_us)

    def observe(self, sample: float, now: int, waited: bool = True, ahead: int = 0) -> None:
        """Add a sample: one above the projected estimate replaces it, a lower one is blended in.

        `ahead`: our own attempts pending there when it was sent. `waited`: the sample is a latency or a lower
        bound of one. A penalty in the mean would have requests refused that a server failing or rejecting
        at once could serve. So a server that fails because of overload is avoided only by the pick.
        """
        weight = self.weight(now)
        kind = self.kind.read(now)
        self.mean = kind + (self.mean - kind) * weight
        self.ahead = self.expected_ahead(weight)
        if waited:
            self.mean += (sample - self.mean) * SERVER_SAMPLE_WEIGHT
            self.ahead += (ahead - self.ahead) * SERVER_SAMPLE_WEIGHT
        if sample > kind + (self.estimate - kind) * weight:  # `project`
            self.estimate = sample
        else:
            self.estimate = self.estimate * weight + sample * (1.0 - weight)
        self.updated_at = now

    def load(self, now: int) -> float:
        """Return the figure by which servers are compared: latency x (pending + 1)."""
        projected = self.project(now)
        if not self.pending:
            return projected
        return self.lower_bound(projected, now) * (len(self.pending) + 1)

    def expected_ahead(self, weight: float) -> float:
        """Return `ahead`, decayed by `weight` towards that of its kind."""
        return self.kind.ahead + (self.ahead - self.kind.ahead) * weight

    def forecast(self, now: int) -> float:
        """Return the expected latency.

        It is not the peak, since one costly request would have everything refused. The part above the usual
        latency is the wait, scaled with what is pending, because answers describe the queue they waited in.
        Unscaled, an overload, a pause, a hang or any burst has everything refused until its last answer has
        decayed, long after the queues are empty; then all requests are admitted at once, and overload recurs.
        If other agents cause the wait, our own pending says little about it, and the forecast is noisier.
        """
        kind, weight = self.kind.read(now), self.weight(now)
        mean = kind + (self.mean - kind) * weight
        wait = mean - self.kind.baseline.value
        if wait > 0.0:
            mean += wait * ((len(self.pending) + 1) / (self.expected_ahead(weight) + 1) - 1.0)
        return self.lower_bound(mean, now)


class HeldRequest:
    """A request without its final answer yet."""

    __slots__ = ("arrived_at", "arriving", "attempts", "cls", "cost", "in_flight", "may_have_run", "request",
                 "tried")  # fmt: skip

    def __init__(self, request: api.Request, cls: api.RequestClass, cost: float, now: int) -> None:
        self.request = request
        self.cls = cls
        self.cost = cost  # expected latency as a multiple of its class's usual one
        self.arrived_at = now
        self.arriving = request.arriving
        self.attempts = 0
        self.in_flight: set[int] = set()  # attempts in flight
        self.tried: list[Server] = []  # one for each attempt
        self.may_have_run: dict[int, tuple[int, api.Backend]] = {}  # time sent and backend of such attempts


class Balancer:
    """The balancer of one agent, sans-IO: pass each event to its handler, execute the returned actions."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = Random(seed).random
        self.started_at = now
        self.baselines: dict[str, Baseline] = {}
        self.cost_hints: dict[str, Baseline] = {}
        self.last_sent_at = now  # time of the last attempt
        self._apply_classes(settings)
        self.usual_us = 0.0  # the usual latency of a request of any class
        self.late_share = DecayingMean(0.0, self.recent_us)  # share of recent attempts that missed their aim
        self.kinds: dict[str, KindStats] = {}
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.slice: list[Server] = []
        self.held: dict[int, HeldRequest] = {}
        # Attempts in flight: server, relative cost, class, and how many of our own were pending ahead.
        self.attempts: dict[tuple[int, int], tuple[Server, float, api.RequestClass, int]] = {}
        self.requests = 0
        self.retries = RETRY_BURST
        self.subscribe_scheduled = False
        self.back_off = BackOff(self.random)
        self.slow_start = SlowStart()

    def _apply_classes(self, settings: api.Settings) -> None:
        """Apply the request classes; a third of its aim is a class's usual latency until its first answer."""
        self.classes = {cls.name: cls for cls in settings.classes}
        mean_us = sum(cls.aim_us for cls in settings.classes) / len(settings.classes)
        self.decay_us, self.recent_us = DECAY_AIMS * mean_us, RECENT_AIMS * mean_us
        self.probe_us = min(MAX_PROBE_INTERVAL_US, mean_us)
        for cls in settings.classes:
            self.baselines.setdefault(cls.name, Baseline(cls.aim_us / 3))
            self.cost_hints.setdefault(cls.name, Baseline(0.0))
        by_work = settings.worth_by_work
        value = {cls.name: cls.worth / (1 if by_work else cls.aim_us) for cls in settings.classes}
        self.most_valuable = max(settings.classes, key=lambda cls: value[cls.name])
        top_value = value[self.most_valuable.name] or 1.0
        self.relative_worth = {name: worth / top_value for name, worth in value.items()}

    def on_settings(self, settings: api.Settings, now: int) -> list[api.Action]:
        """Apply other settings. Estimates stay, and held requests keep the settings they came with."""
        self.settings = settings
        self._apply_classes(settings)
        # With aims ten times shorter, the old decay times would be ten times too slow.
        for recent in (self.late_share, *self.kinds.values()):
            recent.decay_us = self.recent_us
        for server in self.servers.values():
            server.decay_us = self.decay_us
        self._choose_slice(now)
        return []

    # The list of servers

    def start(self) -> list[api.Action]:
        """Return the first actions."""
        settings = self.settings
        return self._subscribe_in(self.back_off.first(settings.ask_within_us, settings.drain_grace_us))

    def _subscribe_in(self, wait_us: int) -> list[api.Action]:
        if self.subscribe_scheduled or not self.settings.subscribe:
            return []
        self.subscribe_scheduled = True
        return [api.SetTimer(wait_us, "subscribe")]

    def on_list(self, event: api.BackendList, now: int) -> list[api.Action]:
        """Apply a list update; after a failure the present list stays in use."""
        if event.kind is api.ListKind.FAILED:
            settings = self.settings
            return self._subscribe_in(self.back_off.failed(settings.ask_within_us, settings.drain_grace_us))
        known, kept = self.servers, self.servers
        if event.kind is not api.ListKind.DELTA:
            kept = self.servers = {}
        for info in event.backends:
            server = known.get(info.id)
            if info.state is api.State.GONE:
                if kept.pop(info.id, None) is not None and server is not None:
                    self.slow_start.remember(server.info, server.warm_at)
                continue
            kind = self.kinds.setdefault(info.kind, KindStats(1.0, self.recent_us))
            if server is None or server.info.started_us != info.started_us:
                # Attempts at an old process keep their own: their outcomes say nothing about the new one.
                warm_at = self.slow_start.warm_at(info, now, self.settings.cold_us)
                server = Server(info, kind, warm_at, self.decay_us)
            server.info = info
            kept[info.id] = server
        if known is not kept:
            for name, server in known.items():
                if name not in kept:
                    self.slow_start.remember(server.info, server.warm_at)
        if event.kind is not api.ListKind.CACHED:
            self.back_off.reset()
            self.slow_start.list_received()
        # Draining and gone servers are not drawn any more, lest a late request violate the drain grace.
        self.ready = [server for server in kept.values() if server.info.state is api.State.READY]
        self.ready.sort(key=lambda server: server.info.id)
        self._choose_slice(now)
        return []

    def _choose_slice(self, now: int) -> None:
        """Choose the servers to draw from: a stable slice of the sorted list.

        Its place follows from the agent's number, so that all slices cover the fleet evenly, and its size
        from traffic, so that a busy agent does not overload it. From the whole list, a quiet agent would get
        too few samples of each server.
        """
        size = len(self.ready)
        rate = self.requests / max(1_000_000, now - self.started_at)
        wanted = min(size, max(MIN_SLICE_SERVERS, int(rate * SLICE_INTERVAL_US)))
        begin = self.settings.number * size // self.settings.agents
        self.slice = (self.ready[begin:] + self.ready[:begin])[:wanted]

    # Requests, attempts and final answers

    def on_request(self, event: api.Request, now: int) -> list[api.Action]:
        """Handle a new request."""
        cls = self.classes[event.class_name]
        cost = 1.0
        if event.cost_hint_us > 0:
            # One costly request must not make a healthy server look slow. Only half of it is scaled, since
            # waits do not grow with the cost.
            hints = self.cost_hints[cls.name]
            hints.add(event.cost_hint_us)
            cost = 0.5 + 0.5 * min(8.0, event.cost_hint_us / hints.value)
        self.usual_us += (self.baselines[cls.name].value - self.usual_us) / min(MAX_COUNT, self.requests + 1)
        held = self.held[event.id] = HeldRequest(event, cls, cost, now)
        retries = self.retries + RETRY_SHARE
        self.retries = retries if retries < RETRY_BURST else RETRY_BURST
        self.requests += 1
        if not self.requests & 31:
            self._choose_slice(now)
        return self._try_send(held, now)

    def on_timer(self, event: api.Timer, now: int) -> list[api.Action]:
        """Handle the subscription timer or the timer of a held request."""
        if event.tag == "subscribe":
            self.subscribe_scheduled = False
            return [api.Subscribe()]
        held = self.held.get(int(event.tag)) if event.tag.isdigit() else None
        return [] if held is None or held.in_flight else self._try_send(held, now)

    def on_body_received(self, event: api.BodyReceived, now: int) -> list[api.Action]:
        """Handle the last byte of an arriving request: its attempts are pending from now on."""
        held = self.held.get(event.request_id)
        if held is None or not held.arriving:
            return []
        held.arriving = False
        held.arrived_at = now
        held.request = held.request._replace(deadline_us=event.deadline_us, arriving=False)
        for attempt in sorted(held.in_flight):
            key = (event.request_id, attempt)
            server, cost, cls, _ = self.attempts[key]
            self.attempts[key] = (server, cost, cls, len(server.pending))
            server.pending[key] = (now, self._expected_us(cost, cls))
        return []

    def on_deadline_moved(self, event: api.DeadlineMoved, now: int) -> list[api.Action]:
        """Note another deadline, and answer if it is over. An attempt in flight ends by its own limit."""
        held = self.held.get(event.request_id)
        if held is None:
            return []
        held.request = held.request._replace(deadline_us=event.deadline_us)
        if held.in_flight or event.deadline_us > now:
            return []
        return self._final_answer(held, api.EndReason.DEADLINE)

    def on_stream_started(self, event: api.StreamStarted, now: int) -> list[api.Action]:
        """Do nothing: the client has its answer, and the end of the attempt is reported like any other."""
        return []

    def on_client_gone(self, event: api.ClientGone, now: int) -> list[api.Action]:
        """Drop the request of a client that disconnected."""
        held = self.held.pop(event.request_id, None)
        return self._cancel_attempts(held) if held else []

    def on_attempt_ended(self, event: api.AttemptEnded, now: int) -> list[api.Action]:
        """Record the outcome of an attempt, then retry or answer a request that is still held."""
        key = (event.request_id, event.attempt)
        if key not in self.attempts:
            return []
        server, cost, cls, ahead = self.attempts.pop(key)
        was_pending = server.pending.pop(key, None) is not None
        # An attempt cancelled before the server had all of it says nothing about the server.
        if was_pending or event.outcome is not api.Outcome.CANCELLED:
            self._record_outcome(server, event, cost, cls, ahead, now)
        held = self.held.get(event.request_id)
        if held is None:
            return []
        held.in_flight.discard(event.attempt)
        if event.finished:
            del self.held[event.request_id]
            return self._cancel_attempts(held)
        if event.outcome in api.NEVER_RAN:
            held.may_have_run.pop(event.attempt, None)
        if held.in_flight:
            return []
        # Without the retry budget, failures would cause a retry storm.
        if event.outcome is api.Outcome.UNSENT:
            return self._final_answer(held, api.EndReason.UNSENT)
        if self.retries < 1.0:
            return self._final_answer(held, api.EndReason.RETRY_BUDGET)
        self.retries -= 1.0
        return self._try_send(held, now)

    def _expected_us(self, cost: float, cls: api.RequestClass) -> float:
        return max(1.0, cost * self.baselines[cls.name].value)

    def _record_outcome(
        self, server: Server, end: api.AttemptEnded, cost: float, cls: api.RequestClass, ahead: int, now: int
    ) -> None:
        outcome = end.outcome
        if outcome is api.Outcome.UNSENT:
            return
        if outcome is api.Outcome.OK:
            # Before the sample: if the initial guess is a third of the usual latency, the first answers make
            # all servers look three times slower. The class adapts at once, the servers do not, even if idle.
            self.baselines[cls.name].add(end.elapsed_us)
        sample = end.elapsed_us / self._expected_us(cost, cls)
        if outcome is api.Outcome.CANCELLED or outcome is api.Outcome.TIMEOUT:
            # It would have taken longer, so the estimate must not improve.
            server.observe(max(sample, server.project(now)), now, ahead=ahead)
        elif outcome is not api.Outcome.OK:
            # A dead server refuses connections at once, and its short elapsed times would attract every pick.
            # Nor does it have a queue, so the penalty includes that of the others; else a server that fails
            # fast beats all busy ones. Under load, a stray failure has a good server avoided until it decays.
            penalty = FAILURE_PENALTY * (1.0 + server.kind.ahead)
            server.observe(max(penalty, sample), now, waited=False)
        else:
            server.observe(sample, now, ahead=ahead)
            server.kind.add_answer(sample, ahead, now)
        unit_us = self.settings.connect_timeout_us
        if outcome is api.Outcome.UNREACHABLE or outcome is api.Outcome.RESET:
            if server.last_answer_at < 0 or now - server.last_answer_at > unit_us or server.breaker.failures:
                server.breaker.record_failure(now, unit_us)
            elif outcome is api.Outcome.UNREACHABLE:
                server.limit_pending(now, CAP_TIMEOUTS * unit_us)
        elif outcome is api.Outcome.OK:
            server.last_answer_at = now
            server.breaker.reset()
        # Only answers and time-outs show whether the fleet is late. If errors counted as overload, those of
        # some servers or of one class would have requests to the whole fleet refused.
        if outcome is api.Outcome.OK:
            self.late_share.add(0.0 if end.elapsed_us <= cls.aim_us else 1.0, now)
        elif outcome is api.Outcome.TIMEOUT:
            self.late_share.add(1.0, now)

    def _try_send(self, held: HeldRequest, now: int) -> list[api.Action]:
        """Send the request, hold it until a server is known, or answer it."""
        left_us = held.request.deadline_us - now
        if left_us <= 0:
            return self._final_answer(held, api.EndReason.DEADLINE)
        if held.attempts >= self.settings.max_attempts:
            return self._final_answer(held, api.EndReason.MAX_ATTEMPTS)
        if not self.ready and not held.attempts:
            # No server is known: hold it while an answer within its aim is possible. No outcome will resume
            # it, so it would be lost without a timer.
            hold_us = min(left_us, held.arrived_at + held.cls.aim_us - now)
            if hold_us <= 0:
                return self._final_answer(held, api.EndReason.NO_BACKEND)
            return [api.SetTimer(min(hold_us, max(1, held.cls.aim_us // 8)), str(held.request.id))]
        pool = self._allowed_servers(held, now)
        if held.tried:
            # A server that fails at once is idle and would attract the next attempt too. The same server is
            # retried only if no other is left.
            pool = [server for server in pool if server not in held.tried] or pool
        server = self._pick(pool, held, now)
        reason = api.EndReason.UNAVAILABLE if pool else api.EndReason.MAY_HAVE_RUN
        if server is not None and self._is_infeasible(held, server, now):
            reason = api.EndReason.INFEASIBLE
            # While late answers are within tolerance, blame the pair and not the fleet: try another pair.
            within_tolerance = self.late_share.read(now) < LATE_TOLERANCE + held.cls.late_worth
            server = self._pick(pool, held, now) if within_tolerance else None
            if server is not None and self._is_infeasible(held, server, now):
                server = None
        if server is None:
            return self._final_answer(held, reason)
        key = (held.request.id, held.attempts)
        self.attempts[key] = (server, held.cost, held.cls, len(server.pending))
        self.last_sent_at = now
        if not held.arriving:
            # Otherwise a slow client would make its server look silent and overloaded.
            server.pending[key] = (now, self._expected_us(held.cost, held.cls))
        # An attempt decided within the window must not begin after it, if connecting takes long.
        begin_before_us = min(held.request.deadline_us, self._window_end(held))
        held.may_have_run[held.attempts] = (now, server.info)
        held.in_flight.add(held.attempts)
        held.tried.append(server)
        held.attempts += 1
        server.breaker.start_trial(now, self.settings.connect_timeout_us)
        return [api.Send(held.request.id, server.info.id, left_us, begin_before_us)]

    def _allowed_servers(self, held: HeldRequest, now: int) -> list[Server]:
        """Return the servers that a request may be sent to without a duplicate effect.

        Once an attempt may have run, an unsafe request is not sent again. A keyed one goes only to the group
        that drops its repeats, within the deduplication window from the first such attempt.
        """
        if not held.may_have_run or held.cls.effect is api.Effect.SAFE:
            return self.slice
        if held.cls.effect is api.Effect.UNSAFE:
            return []
        if now >= self._window_end(held):
            return []
        _, info = next(iter(held.may_have_run.values()))
        if held.cls.scope is api.Scope.ZONE:
            return [server for server in self.ready if server.info.zone == info.zone]
        if held.cls.scope is api.Scope.CELL:
            return [server for server in self.ready if server.info.cell == info.cell]
        return self.slice

    def _window_end(self, held: HeldRequest) -> int:
        """Return when servers may forget a keyed request, so that no repeat may begin; else its deadline."""
        if not held.may_have_run or held.cls.effect is not api.Effect.KEYED:
            return held.request.deadline_us
        sent_at, _ = next(iter(held.may_have_run.values()))
        return sent_at + held.cls.dedup_window_us

    def _pick(self, pool: list[Server], held: HeldRequest, now: int) -> Server | None:
        """Return the less loaded of two random servers.

        A cold one takes part only as the first drawn, with the probability of its warmth, and never in a
        retry. So its share is at most this agent's mean rate per server times its warmth. Otherwise all
        agents prefer the idle new server and overload it, also if the whole fleet is cold.
        """
        if not pool:
            return None
        first: Server | None = pool[int(self.random() * len(pool))]
        if first is not None and not first.is_available(now):
            remaining = min(1.0, max(0.0, (first.warm_at - now) / max(1, self.settings.cold_us)))
            warmth = 1.0 - (1.0 - self.settings.cold_from) * remaining
            # All agents send it their load x this probability; it can take the multiple x its warmth.
            warmth *= min(1.0, self.settings.cold_multiple / MAX_LOAD_FACTOR)
            if (not first.accepts(now) or first.is_unresponsive(now) or held.attempts
                    or self.random() >= warmth):  # fmt: skip
                first = self._draw(pool, None, now)
        elif first is not None and first.is_unresponsive(now):
            first = self._draw(pool, None, now)
        if first is None:
            return None
        second = self._draw(pool, first, now)
        return first if second is None or first.load(now) <= second.load(now) else second

    def _draw(self, pool: list[Server], other: Server | None, now: int) -> Server | None:
        """Return a random available server but not `other`; an unresponsive one only if there is no other."""
        # The last draws scan from a random position, so that a small pool is searched completely.
        size = len(pool)
        random = self.random
        start = int(random() * size)
        silent = None
        for draw in range(2 * RANDOM_DRAWS):
            server = pool[int(random() * size) if draw < RANDOM_DRAWS else (start + draw) % size]
            if server is not other and server.is_available(now):
                if not server.pending or not server.is_unresponsive(now):
                    return server
                silent = server
        return silent

    def _is_infeasible(self, held: HeldRequest, server: Server, now: int) -> bool:
        """Whether even the better of two servers is expected to answer too late.

        In overload, late work delays all other requests too, and clients retry. The lower the recent share of
        late answers, the less a bad forecast counts; after `probe_us` without an attempt it does not count.
        """
        if now - self.last_sent_at >= self.probe_us:
            return False
        cls, most_valuable = held.cls, self.most_valuable
        # All classes share the same queues, so the wait budget of each is scaled by worth below that of the
        # most valuable, and a class without a budget of its own is refused first. Otherwise the class with
        # the longest usual latency would give way to less valuable ones.
        relative_worth = self.relative_worth.get(cls.name, 1.0)  # the class may be removed
        budget_us = min(self._wait_budget_us(cls), self._wait_budget_us(most_valuable) * relative_worth)
        tolerance = max(1.0, (LATE_TOLERANCE + cls.late_worth) / (self.late_share.read(now) + 1e-9))
        # A client retry has spent at least the wait that it was told.
        spent_us = now - held.arrived_at + (cls.aim_us * RETRY_AFTER_SHARE if held.request.is_retry else 0.0)
        wait_us = (server.forecast(now) - 1.0) * self.usual_us
        return wait_us > WAIT_SHARE * budget_us * tolerance - spent_us and self.random() >= PROBE_PROBABILITY

    def _wait_budget_us(self, cls: api.RequestClass) -> float:
        """Return how long a request of this class may wait beyond its usual latency.

        What a process learns in overload becomes its usual latency. If that reaches the aim of the most
        valuable class, no class has a budget, and everything is refused with all servers idle. Hence the
        minimum, also for a class that is hardly ever served in time.
        """
        return max(cls.aim_us - self.baselines[cls.name].value, MIN_WAIT_SHARE * cls.aim_us)

    def _final_answer(self, held: HeldRequest, reason: api.EndReason) -> list[api.Action]:
        """Answer finally. A refusal says that a retry is safe: none may have run, or repeats do no harm."""
        del self.held[held.request.id]
        cls = held.cls
        everywhere = cls.effect is api.Effect.KEYED and cls.scope is api.Scope.ALL
        if not held.may_have_run or cls.effect is api.Effect.SAFE or everywhere:
            retry_after_us = min(self.settings.max_retry_after_us, int(cls.aim_us * RETRY_AFTER_SHARE))
            return [api.Refuse(held.request.id, retry_after_us, reason)]
        return [api.Fail(held.request.id, reason)]

    def _cancel_attempts(self, held: HeldRequest) -> list[api.Action]:
        """Cancel the attempts in flight for a finished request."""
        if not held.in_flight or not self.settings.may_cancel:
            return []
        return [api.CancelAttempt(held.request.id, attempt) for attempt in sorted(held.in_flight)]
