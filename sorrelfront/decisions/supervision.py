"""Decides when the daemon starts, waits for, replaces and stops its instances. No I/O.

Events and a clock go in, actions come out, as with the balancer. Times are integer microseconds (`_us`) of a
monotonic clock.

States of an instance:

    BACKOFF --(back-off over)--> STARTING --(ready)--> READY --(told to)--> STOPPING --(ended)--> STOPPED
       ^                            |                    |
       +-----(failure, also a kill)-+--------------------+

An end that was not requested is a failure. After each failure the back-off before the next start doubles,
with seeded jitter; a run that lasted `settled_us` resets it. `loop_ends` failures within `loop_span_us` are a
crash loop: it is reported once, restarts continue at the longest back-off, and other instances are not
affected.

Time in which this program itself did not run (a suspended host, a stopped process) does not count as a missed
heartbeat or a delay of an instance: `next_us` asks for a call at least every `look_us`, and a longer gap
between events is added to the deadline of each instance that has a process.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, fields
from enum import Enum
from random import Random
from typing import NamedTuple


class Phase(Enum):
    """Lifecycle state of an instance."""

    BACKOFF = "backoff"
    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"


PHASES_WITH_PROCESS = (Phase.STARTING, Phase.READY, Phase.STOPPING)  # the process has a deadline


@dataclass(frozen=True, slots=True)
class Policy:
    """Timeouts and limits of supervision; all times are in microseconds.

    Raises ValueError if a value is not positive, or the first back-off is above the longest.
    """

    start_within_us: int = 10_000_000  # from start to ready; the interpreter takes seconds on a busy core
    silent_us: int = 5_000_000  # an instance without a heartbeat for so long hangs
    first_wait_us: int = 200_000  # back-off after the first failure
    longest_wait_us: int = 30_000_000  # upper bound of the back-off
    look_us: int = 250_000  # longest time between two calls while any process has a deadline
    settled_us: int = 10_000_000  # a run of this length resets the failure count
    loop_ends: int = 5  # failures within `loop_span_us` that make a crash loop
    loop_span_us: int = 60_000_000

    def __post_init__(self) -> None:
        for item in fields(self):
            if getattr(self, item.name) <= 0:
                raise ValueError(f"{item.name} must be positive: {getattr(self, item.name)}")
        if self.first_wait_us > self.longest_wait_us:
            raise ValueError("first_wait_us must not be above longest_wait_us")


# Actions


class Start(NamedTuple):
    """Start a process for this instance.

    `run` numbers the runs of an instance; events of an earlier run are ignored.
    """

    name: str
    run: int


class Stop(NamedTuple):
    """Tell the process to finish its requests and exit."""

    name: str
    run: int


class Kill(NamedTuple):
    """Kill the process at once: it hangs, or has exceeded its deadline."""

    name: str
    run: int
    why: str


class Report(NamedTuple):
    """An event to log for the operator."""

    name: str
    what: str


Action = Start | Stop | Kill | Report


class _Instance:
    """State of one instance across all its runs."""

    __slots__ = (
        "end_times", "failures", "killed", "looping", "name", "phase", "run", "state_since", "surplus",
        "timeout_at", "wanted",
    )  # fmt: skip

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.phase = Phase.BACKOFF
        self.run = 0
        self.state_since = now  # when the current phase began
        self.timeout_at = now  # deadline of the current phase
        self.failures = 0  # consecutive
        self.end_times: deque[int] = deque()
        self.looping = False
        self.killed = False
        self.wanted = True
        self.surplus = False  # adopted only to be drained; removed once it has ended


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status of one instance, for `ctl status` and the stored state."""

    name: str
    phase: Phase
    run: int
    failures: int
    in_crash_loop: bool


class Supervisor:
    """State machine that decides which instances to start, replace, stop or kill."""

    def __init__(self, names: Iterable[str], policy: Policy, seed: int, now: int) -> None:
        self.policy = policy
        self.stopping = False
        self._starts_held = False
        self._last_event_at = now  # time of the latest event of any kind
        self._random = Random(seed).random
        self._instances = {name: _Instance(name, now) for name in names}

    # Events

    def hold(self) -> None:
        """Start nothing until `start` is called.

        The processes of an earlier supervisor are adopted one by one; without this, the instances whose
        processes are adopted last would meanwhile be started a second time.
        """
        self._starts_held = True

    def start(self, now: int) -> list[Action]:
        """Return the first actions: start every instance that has no process, all at once."""
        self._starts_held = False
        return self.on_timer(now)

    def on_adopted(self, name: str, run: int, ready: bool, now: int) -> None:
        """Take a process of an earlier supervisor as this instance.

        An unknown name is added for a process that is adopted only to be drained. Raises ValueError if the
        instance already has a process.
        """
        self._record_event(now)
        instance = self._instances.get(name)
        if instance is None:
            instance = self._instances[name] = _Instance(name, now)
            instance.surplus = True
        if instance.phase is not Phase.BACKOFF:
            # Otherwise two processes of one instance would run at once.
            raise ValueError(f"{name} has a process already")
        instance.run = run
        if ready:
            self._enter_phase(instance, Phase.READY, now, self.policy.silent_us)
        else:
            self._enter_phase(instance, Phase.STARTING, now, self.policy.start_within_us)

    def restore_failures(self, name: str, failures: int, age_us: int, now: int) -> None:
        """Restore the consecutive failures counted before this supervisor started.

        `age_us` is the time since the last of them; older ones than `loop_span_us` are dropped. The count is
        limited to `loop_ends`, whatever the stored value.
        """
        instance = self._instances.get(name)
        if instance is None or failures <= 0 or not 0 <= age_us <= self.policy.loop_span_us:
            return
        instance.failures = min(failures, self.policy.loop_ends)
        instance.end_times.extend([now - age_us] * instance.failures)

    def on_policy(self, policy: Policy, now: int) -> None:
        """Replace the policy, and shorten heartbeat deadlines to the new one.

        Otherwise a hang that begins before the next heartbeat would be detected only by the timeout of the
        replaced configuration.
        """
        self._record_event(now)
        self.policy = policy
        for instance in self._instances.values():
            if instance.phase is Phase.READY:
                instance.timeout_at = min(instance.timeout_at, now + policy.silent_us)

    def on_ready(self, name: str, run: int, now: int) -> list[Action]:
        """Handle an instance that reports that it is ready for requests."""
        self._record_event(now)
        instance = self._instance_of_run(name, run)
        if instance is None or instance.phase is not Phase.STARTING:
            return []
        self._enter_phase(instance, Phase.READY, now, self.policy.silent_us)
        return []

    def on_heartbeat(self, name: str, run: int, now: int) -> list[Action]:
        """Handle a heartbeat, which shows that the event loop of the instance runs."""
        self._record_event(now)
        instance = self._instance_of_run(name, run)
        if instance is None or instance.phase is not Phase.READY:
            return []
        instance.timeout_at = now + self.policy.silent_us
        if now - instance.state_since < self.policy.settled_us or not instance.failures:
            return []
        instance.failures = 0
        instance.end_times.clear()
        if not instance.looping:
            return []
        instance.looping = False
        return [Report(name, "has settled after its crash loop")]

    def on_end(self, name: str, run: int, now: int) -> list[Action]:
        """Handle the end of a process, whatever its cause."""
        self._record_event(now)
        instance = self._instance_of_run(name, run)
        if instance is None or instance.phase in (Phase.BACKOFF, Phase.STOPPED):
            return []
        if not instance.wanted:
            self._enter_phase(instance, Phase.STOPPED, now, 0)
            if instance.surplus:
                del self._instances[name]
            return []
        asked = instance.phase is Phase.STOPPING and not instance.killed
        instance.killed = False
        if asked:  # an intended restart is no failure and has no back-off
            self._enter_phase(instance, Phase.BACKOFF, now, 0)
            return self.on_timer(now)
        return [*self._on_failure(instance, now), *self.on_timer(now)]

    def on_restart(self, name: str, now: int) -> list[Action]:
        """Restart the instance once it has finished its requests. Raises KeyError for an unknown name."""
        self._record_event(now)
        instance = self._instances[name]
        if self.stopping or not instance.wanted:
            return []
        if instance.phase is Phase.BACKOFF:
            instance.timeout_at = now
            return self.on_timer(now)
        if instance.phase is Phase.STOPPING:
            return []
        return self._stop(instance, now, self.policy.start_within_us)

    def on_drain(self, name: str, now: int, within_us: int) -> list[Action]:
        """Drain the instance and do not start it again. Raises KeyError for an unknown name."""
        self._record_event(now)
        instance = self._instances[name]
        instance.wanted = False
        if instance.phase is Phase.BACKOFF:
            self._enter_phase(instance, Phase.STOPPED, now, 0)
        if instance.phase in (Phase.STOPPED, Phase.STOPPING):
            return []
        return self._stop(instance, now, within_us)

    def on_names(self, names: Iterable[str], now: int, within_us: int) -> list[Action]:
        """Replace the set of instances: start new ones, drain those that are no longer named.

        An instance that an operator has drained stays drained while it is still named.
        """
        wanted = list(names)
        actions: list[Action] = []
        for name in wanted:
            if name not in self._instances:
                self._instances[name] = _Instance(name, now)
        for name in [name for name in self._instances if name not in wanted]:
            actions += self.on_drain(name, now, within_us)
            if self._instances[name].phase is Phase.STOPPED:
                del self._instances[name]
        return [*actions, *self.on_timer(now)]

    def on_stop(self, now: int, within_us: int) -> list[Action]:
        """Stop every instance, each within `within_us`. A second call changes nothing."""
        if self.stopping:
            return []
        self.stopping = True
        actions: list[Action] = []
        for name in self._instances:
            actions += self.on_drain(name, now, within_us)
        return actions

    def on_timer(self, now: int) -> list[Action]:
        """Return the actions that are due: starts after back-off, kills after a missed deadline."""
        self._record_event(now)
        actions: list[Action] = []
        for instance in self._instances.values():
            if now < instance.timeout_at or not self._has_deadline(instance):
                continue
            match instance.phase:
                case Phase.BACKOFF:
                    instance.run += 1
                    self._enter_phase(instance, Phase.STARTING, now, self.policy.start_within_us)
                    actions.append(Start(instance.name, instance.run))
                case Phase.STARTING:
                    actions += self._kill(instance, now, "it did not become ready in time")
                case Phase.READY:
                    actions += self._kill(instance, now, "it gave no sign of life in time")
                case Phase.STOPPING:
                    actions += self._kill(instance, now, "it did not end in time")
        return actions

    def next_us(self) -> int | None:
        """Return when `on_timer` must be called at the latest; None while there is no deadline."""
        at = min(
            (item.timeout_at for item in self._instances.values() if self._has_deadline(item)), default=None
        )
        if at is not None and any(item.phase in PHASES_WITH_PROCESS for item in self._instances.values()):
            return min(at, self._last_event_at + self.policy.look_us)
        return at

    # Status

    def instance_statuses(self) -> list[InstanceStatus]:
        """Return the status of every instance."""
        return [
            InstanceStatus(item.name, item.phase, item.run, item.failures, item.looping)
            for item in self._instances.values()
        ]

    @property
    def ready(self) -> list[str]:
        """Names of the instances that are ready."""
        return [item.name for item in self._instances.values() if item.phase is Phase.READY]

    @property
    def ended(self) -> bool:
        """Whether the fleet was stopped and no process is left."""
        return self.stopping and all(item.phase is Phase.STOPPED for item in self._instances.values())

    # Helpers

    def _record_event(self, now: int) -> None:
        """Record the time of an event, and extend deadlines by the time this program did not run.

        Otherwise a program that was itself stopped for longer than `silent_us`, as on a suspended host, would
        on its first step kill every instance for a missed heartbeat, with the requests in flight.
        """
        gap = now - self._last_event_at - self.policy.look_us
        self._last_event_at = now
        if gap > self.policy.look_us:
            for instance in self._instances.values():
                if instance.phase in PHASES_WITH_PROCESS:
                    instance.timeout_at += gap

    def _has_deadline(self, instance: _Instance) -> bool:
        """Whether the passing of time alone causes an action for the instance."""
        if instance.phase is Phase.BACKOFF:
            return not self._starts_held
        return instance.phase is not Phase.STOPPED

    def _instance_of_run(self, name: str, run: int) -> _Instance | None:
        """Return the instance if `run` is its current run.

        A late message of an earlier run's process, or its end, must not be taken for the current one's.
        """
        instance = self._instances.get(name)
        return instance if instance is not None and instance.run == run else None

    def _enter_phase(self, instance: _Instance, phase: Phase, now: int, within_us: int) -> None:
        instance.phase = phase
        instance.state_since = now
        instance.timeout_at = now + within_us

    def _stop(self, instance: _Instance, now: int, within_us: int) -> list[Action]:
        self._enter_phase(instance, Phase.STOPPING, now, within_us)
        return [Stop(instance.name, instance.run)]

    def _kill(self, instance: _Instance, now: int, why: str) -> list[Action]:
        """Kill the process; the instance is restarted only after its end, so that two never run at once."""
        instance.killed = True
        self._enter_phase(instance, Phase.STOPPING, now, self.policy.start_within_us)
        return [Kill(instance.name, instance.run, why), Report(instance.name, f"killed: {why}")]

    def _on_failure(self, instance: _Instance, now: int) -> list[Action]:
        policy = self.policy
        if instance.phase is Phase.READY and now - instance.state_since >= policy.settled_us:
            instance.failures = 0
            instance.end_times.clear()
        instance.failures += 1
        instance.end_times.append(now)
        while instance.end_times[0] < now - policy.loop_span_us:
            instance.end_times.popleft()
        while len(instance.end_times) > policy.loop_ends:  # keep a bounded number
            instance.end_times.popleft()
        actions: list[Action] = []
        if len(instance.end_times) == policy.loop_ends and not instance.looping:
            instance.looping = True
            actions.append(Report(instance.name, f"crash loop: {policy.loop_ends} ends in a short time"))
        # Jitter: instances that fail for the same reason would otherwise all restart at the same moment.
        wait = min(policy.longest_wait_us, policy.first_wait_us * 2 ** min(instance.failures - 1, 40))
        if instance.looping:
            wait = policy.longest_wait_us
        self._enter_phase(instance, Phase.BACKOFF, now, int(wait * (0.5 + 0.5 * self._random())))
        return actions
