"""Every decision of the daemon about its instances: start, wait for, replace, give up. No I/O.

Events and a clock go in, actions come out, as with the balancer. Times are integer microseconds (`_us`) of a
clock that never goes back.

How an instance lives:

    BACKOFF --(its time is up)--> STARTING --(ready)--> READY --(told to)--> STOPPING --(ended)--> STOPPED
       ^                             |                    |
       +------(ended, or killed for silence or delay)-----+

An end that nobody asked for is a failure. After each, the wait before the next start doubles, with a seeded
spread; a run that lasted `settled_us` starts over. `loop_ends` failures within `loop_span_us` are a crash
loop: it is reported once and tried on at the longest wait, and nothing else is touched by it.

Time in which this program itself did not run (a host that was suspended, a process that was stopped) is
nobody's silence and nobody's delay: `next_us` asks for a look at the clock every `look_us`, and a longer gap
between events is added to whatever an instance has still to do.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, fields
from enum import Enum
from random import Random
from typing import NamedTuple


class Phase(Enum):
    BACKOFF = "backoff"
    STARTING = "starting"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"


AWAITED = (Phase.STARTING, Phase.READY, Phase.STOPPING)  # a process is there, and has to do something in time


@dataclass(frozen=True, slots=True)
class Policy:
    """The figures of supervision; all times in microseconds. Raises ValueError."""

    start_within_us: int = 10_000_000  # from start to ready; an interpreter on a busy core takes seconds
    silent_us: int = 5_000_000  # no heartbeat for so long is a hang
    first_wait_us: int = 200_000
    longest_wait_us: int = 30_000_000
    look_us: int = 250_000  # between looks at the clock, while any process is waited for
    settled_us: int = 10_000_000  # a run of so long forgives the failures before it
    loop_ends: int = 5
    loop_span_us: int = 60_000_000

    def __post_init__(self) -> None:
        for item in fields(self):
            if getattr(self, item.name) <= 0:
                raise ValueError(f"{item.name} must be positive: {getattr(self, item.name)}")
        if self.first_wait_us > self.longest_wait_us:
            raise ValueError("first_wait_us must not be above longest_wait_us")


# Actions


class Start(NamedTuple):
    """Start a process for this instance. `run` numbers its runs; events of an earlier run are passed over."""

    name: str
    run: int


class Stop(NamedTuple):
    """Tell it to finish what it owes and end."""

    name: str
    run: int


class Kill(NamedTuple):
    """End it at once: it hangs, or has had its time."""

    name: str
    run: int
    why: str


class Report(NamedTuple):
    """Something that an operator should read."""

    name: str
    what: str


Action = Start | Stop | Kill | Report


class _Instance:
    """One instance over all its runs."""

    __slots__ = (
        "ends", "failures", "killed", "looping", "name", "phase", "run", "since", "surplus", "until",
        "wanted",
    )  # fmt: skip

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.phase = Phase.BACKOFF
        self.run = 0
        self.since = now  # start of the phase
        self.until = now  # what the phase waits for is overdue from here on
        self.failures = 0  # in a row
        self.ends: deque[int] = deque()
        self.looping = False
        self.killed = False
        self.wanted = True
        self.surplus = False  # adopted only to be drained; forgotten with its end


@dataclass(frozen=True, slots=True)
class Standing:
    """How an instance stands, for status."""

    name: str
    phase: Phase
    run: int
    failures: int
    looping: bool


class Supervisor:
    """Which instance to start, wait for, replace or give up."""

    def __init__(self, names: Iterable[str], policy: Policy, seed: int, now: int) -> None:
        self.policy = policy
        self.stopping = False
        self._holds = False
        self._looked = now  # the latest event, whichever
        self._random = Random(seed).random
        self._instances = {name: _Instance(name, now) for name in names}

    # Events

    def hold(self) -> None:
        """Start nothing until `start`. Risk: while the processes of an earlier supervisor are adopted one
        by one, those that come later would be started a second time."""
        self._holds = True

    def start(self, now: int) -> list[Action]:
        """The first actions: every instance that has no process, at once."""
        self._holds = False
        return self.on_time(now)

    def on_adopted(self, name: str, run: int, ready: bool, now: int) -> None:
        """A process of an earlier supervisor is this instance from now on. A name that is not known is one
        that is adopted only to be drained. Raises ValueError if the instance has a process already."""
        self._look(now)
        instance = self._instances.get(name)
        if instance is None:
            instance = self._instances[name] = _Instance(name, now)
            instance.surplus = True
        if instance.phase is not Phase.BACKOFF:
            # Risk: two processes of one instance at once.
            raise ValueError(f"{name} has a process already")
        instance.run = run
        if ready:
            self._enter(instance, Phase.READY, now, self.policy.silent_us)
        else:
            self._enter(instance, Phase.STARTING, now, self.policy.start_within_us)

    def on_remembered(self, name: str, failures: int, age_us: int, now: int) -> None:
        """So many failures in a row were counted before this supervisor started, the last one so long ago.
        What is past `loop_span_us` is forgiven; a bound holds whatever is said."""
        instance = self._instances.get(name)
        if instance is None or failures <= 0 or not 0 <= age_us <= self.policy.loop_span_us:
            return
        instance.failures = min(failures, self.policy.loop_ends)
        instance.ends.extend([now - age_us] * instance.failures)

    def on_policy(self, policy: Policy, now: int) -> None:
        """Other figures from now on. Risk: a hang that begins before the next sign of life would be found
        only by the figure of a file that was replaced."""
        self._look(now)
        self.policy = policy
        for instance in self._instances.values():
            if instance.phase is Phase.READY:
                instance.until = min(instance.until, now + policy.silent_us)

    def on_ready(self, name: str, run: int, now: int) -> list[Action]:
        """It takes requests."""
        self._look(now)
        instance = self._current(name, run)
        if instance is None or instance.phase is not Phase.STARTING:
            return []
        self._enter(instance, Phase.READY, now, self.policy.silent_us)
        return []

    def on_beat(self, name: str, run: int, now: int) -> list[Action]:
        """It has shown that its loop goes round."""
        self._look(now)
        instance = self._current(name, run)
        if instance is None or instance.phase is not Phase.READY:
            return []
        instance.until = now + self.policy.silent_us
        if now - instance.since < self.policy.settled_us or not instance.failures:
            return []
        instance.failures = 0
        instance.ends.clear()
        if not instance.looping:
            return []
        instance.looping = False
        return [Report(name, "has settled after its crash loop")]

    def on_end(self, name: str, run: int, now: int) -> list[Action]:
        """Its process is gone, however it came to that."""
        self._look(now)
        instance = self._current(name, run)
        if instance is None or instance.phase in (Phase.BACKOFF, Phase.STOPPED):
            return []
        if not instance.wanted:
            self._enter(instance, Phase.STOPPED, now, 0)
            if instance.surplus:
                del self._instances[name]
            return []
        asked = instance.phase is Phase.STOPPING and not instance.killed
        instance.killed = False
        if asked:  # to be replaced: no failure, and nothing to wait for
            self._enter(instance, Phase.BACKOFF, now, 0)
            return self.on_time(now)
        return [*self._failed(instance, now), *self.on_time(now)]

    def on_restart(self, name: str, now: int) -> list[Action]:
        """Replace it: it finishes what it owes, and is started anew. Raises KeyError."""
        self._look(now)
        instance = self._instances[name]
        if self.stopping or not instance.wanted:
            return []
        if instance.phase is Phase.BACKOFF:
            instance.until = now
            return self.on_time(now)
        if instance.phase is Phase.STOPPING:
            return []
        return self._stop(instance, now, self.policy.start_within_us)

    def on_drain(self, name: str, now: int, within_us: int) -> list[Action]:
        """Take it out of service for good. Raises KeyError."""
        self._look(now)
        instance = self._instances[name]
        instance.wanted = False
        if instance.phase is Phase.BACKOFF:
            self._enter(instance, Phase.STOPPED, now, 0)
        if instance.phase in (Phase.STOPPED, Phase.STOPPING):
            return []
        return self._stop(instance, now, within_us)

    def on_names(self, names: Iterable[str], now: int, within_us: int) -> list[Action]:
        """Another set of instances: new ones start, those left out are drained. What was drained by hand and
        is still named stays so."""
        wanted = list(names)
        actions: list[Action] = []
        for name in wanted:
            if name not in self._instances:
                self._instances[name] = _Instance(name, now)
        for name in [name for name in self._instances if name not in wanted]:
            actions += self.on_drain(name, now, within_us)
            if self._instances[name].phase is Phase.STOPPED:
                del self._instances[name]
        return [*actions, *self.on_time(now)]

    def on_stop(self, now: int, within_us: int) -> list[Action]:
        """The daemon ends: every instance finishes what it owes, in this time at most. Told again, it changes
        nothing."""
        if self.stopping:
            return []
        self.stopping = True
        actions: list[Action] = []
        for name in self._instances:
            actions += self.on_drain(name, now, within_us)
        return actions

    def on_time(self, now: int) -> list[Action]:
        """What is overdue by now."""
        self._look(now)
        actions: list[Action] = []
        for instance in self._instances.values():
            if now < instance.until or not self._waits(instance):
                continue
            match instance.phase:
                case Phase.BACKOFF:
                    instance.run += 1
                    self._enter(instance, Phase.STARTING, now, self.policy.start_within_us)
                    actions.append(Start(instance.name, instance.run))
                case Phase.STARTING:
                    actions += self._kill(instance, now, "it did not become ready in time")
                case Phase.READY:
                    actions += self._kill(instance, now, "it gave no sign of life in time")
                case Phase.STOPPING:
                    actions += self._kill(instance, now, "it did not end in time")
        return actions

    def next_us(self) -> int | None:
        """When `on_time` has something to do at the soonest; None while nothing waits."""
        at = min((item.until for item in self._instances.values() if self._waits(item)), default=None)
        if at is not None and any(item.phase in AWAITED for item in self._instances.values()):
            return min(at, self._looked + self.policy.look_us)
        return at

    # What is known

    def standings(self) -> list[Standing]:
        return [
            Standing(item.name, item.phase, item.run, item.failures, item.looping)
            for item in self._instances.values()
        ]

    @property
    def ready(self) -> list[str]:
        return [item.name for item in self._instances.values() if item.phase is Phase.READY]

    @property
    def ended(self) -> bool:
        """Whether no process is left, after a stop."""
        return self.stopping and all(item.phase is Phase.STOPPED for item in self._instances.values())

    # Steps

    def _look(self, now: int) -> None:
        """Risk: a program that was itself stopped for longer than `silent_us`, as on a suspended host, would
        on its first step kill every instance for the silence of all, with the requests they hold."""
        gap = now - self._looked - self.policy.look_us
        self._looked = now
        if gap > self.policy.look_us:
            for instance in self._instances.values():
                if instance.phase in AWAITED:
                    instance.until += gap

    def _waits(self, instance: _Instance) -> bool:
        """Whether time alone has something done to it."""
        if instance.phase is Phase.BACKOFF:
            return not self._holds
        return instance.phase is not Phase.STOPPED

    def _current(self, name: str, run: int) -> _Instance | None:
        """Risk: what an earlier run's process says late, or its end, taken for the present one's."""
        instance = self._instances.get(name)
        return instance if instance is not None and instance.run == run else None

    def _enter(self, instance: _Instance, phase: Phase, now: int, within_us: int) -> None:
        instance.phase = phase
        instance.since = now
        instance.until = now + within_us

    def _stop(self, instance: _Instance, now: int, within_us: int) -> list[Action]:
        self._enter(instance, Phase.STOPPING, now, within_us)
        return [Stop(instance.name, instance.run)]

    def _kill(self, instance: _Instance, now: int, why: str) -> list[Action]:
        """Until its end is told, it is not started again. Risk: two processes of one instance at once."""
        instance.killed = True
        self._enter(instance, Phase.STOPPING, now, self.policy.start_within_us)
        return [Kill(instance.name, instance.run, why), Report(instance.name, f"killed: {why}")]

    def _failed(self, instance: _Instance, now: int) -> list[Action]:
        policy = self.policy
        if instance.phase is Phase.READY and now - instance.since >= policy.settled_us:
            instance.failures = 0
            instance.ends.clear()
        instance.failures += 1
        instance.ends.append(now)
        while instance.ends[0] < now - policy.loop_span_us:
            instance.ends.popleft()
        while len(instance.ends) > policy.loop_ends:  # a bound on what is kept
            instance.ends.popleft()
        actions: list[Action] = []
        if len(instance.ends) == policy.loop_ends and not instance.looping:
            instance.looping = True
            actions.append(Report(instance.name, f"crash loop: {policy.loop_ends} ends in a short time"))
        # Risk: many instances that fail for one reason start again together; hence the spread.
        wait = min(policy.longest_wait_us, policy.first_wait_us * 2 ** min(instance.failures - 1, 40))
        if instance.looping:
            wait = policy.longest_wait_us
        self._enter(instance, Phase.BACKOFF, now, int(wait * (0.5 + 0.5 * self._random())))
        return actions
