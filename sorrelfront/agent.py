"""The only caller of the decision module: events in, actions out. It carries decisions out and makes none."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from typing import Protocol, TypeVar

from sorrelfront.decisions import interface as api
from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.orders import Orders
from sorrelfront.events import Event, EventCounter
from sorrelfront.lists import Directory
from sorrelfront.messages import Address, Answer, Call, Ended, Failed, Final, Refused, Update
from sorrelfront.net.budget import STREAM_MOST
from sorrelfront.terms import Config

log = logging.getLogger(__name__)

# Taken off each deadline: an answer leaves some time after the module's word, on a core that others share.
DEADLINE_MARGIN_US = 5_000
# Given to the module past its deadline before the agent answers in its place; the rules' slack is longer.
OVERDUE_US = 10_000
# The least rate of a long body from its client, in bytes a second: a front ends slower ones. It bounds how
# long a request may be on its way to its server.
UPLOAD_RATE_LEAST = 16_000
# When all places for requests are taken; about how long a request holds one.
FULL_RETRY_AFTER_US = 500_000
NAMES_SHOWN = 8  # servers that one line of the log names

E = TypeVar("E")


class Clock:
    """Monotonic microseconds, anchored once to Unix time, in which starts of backends are told."""

    def __init__(self) -> None:
        self._anchor_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        return self._anchor_us + time.monotonic_ns() // 1000


class Running(Protocol):
    """An attempt under way."""

    def cancel(self) -> object: ...


class Upstream(Protocol):
    """What carries attempts out."""

    def begin(
        self,
        call: Call,
        address: Address,
        timeout_us: int,
        fit: Callable[[], bool],
        done: Callable[[Ended], None],
    ) -> Running | None:
        """As `attempt`, where that takes no waiting for a connection. `done` is called once, in a later step,
        also if it is called off. None: nothing has begun."""

    async def attempt(
        self, call: Call, address: Address, timeout_us: int, fit: Callable[[], bool]
    ) -> Ended: ...

    def forget(self, address: Address) -> None: ...

    def reload(self, config: Config) -> None: ...

    def close(self) -> None: ...


class Source(Protocol):
    """What tells of the list of backends."""

    def subscribe(self) -> None: ...

    def reload(self, config: Config) -> None: ...

    def close(self) -> None: ...


MakeSource = Callable[[Config, Callable[[Update], None], Callable[[], None]], Source]


class Held:
    """A request that is owed its final answer."""

    __slots__ = ("answer", "attempts", "call", "id", "outcome", "overdue", "told")

    def __init__(self, number: int, call: Call, answer: asyncio.Future[Final]) -> None:
        self.id = number
        self.call = call
        self.answer = answer
        self.attempts = 0
        self.outcome: api.Outcome | None = None  # of the attempt that ended last
        self.overdue: asyncio.TimerHandle | None = None
        self.told: Callable[[], None] | None = None  # called once the answer is there, in the same step


class Tally:
    """Requests of one class by their final answers, since the start."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        self.served = self.refused = self.failed = 0


def close(answer: Final) -> None:
    """Nobody will have this answer."""
    if isinstance(answer, Answer) and answer.stream is not None:
        answer.stream.close()


def _id(call: Call) -> str:
    """The request's id, as its client named it."""
    return call.client_id.decode("latin-1")[:64]


def _about(call: Call) -> dict[str, str]:
    """Fields of a log event about this call."""
    return {"class": call.class_name, "call": _id(call)}


class Agent:
    """One Balancer on real time, real backends and a real list."""

    def __init__(self, config: Config, upstream: Upstream, source: MakeSource) -> None:
        """`source` is told where to hand updates, and where to tell that it failed."""
        self._config = config
        self._upstream = upstream
        self.now = Clock()
        self._loop = asyncio.get_running_loop()
        self.balancer = Balancer(config.settings, config.seed, self.now())
        self._classes = {cls.name: cls for cls in config.settings.classes}
        self._directory = Directory()
        self._orders = Orders()
        self.listed = False  # the membership source has told of the list
        self._early = False  # asked for ahead of the module's time, and heard since
        self._source = source(config, self._on_update, self._on_failure)
        self._held: dict[int, Held] = {}
        self._open_ids: set[bytes] = set()  # of the held requests, as their clients named them
        self._running: dict[tuple[int, int], Running] = {}
        self._closed = False
        self._count = 0
        self.tallies = {name: Tally() for name in self._classes}
        self._events = EventCounter()

    @property
    def events(self) -> EventCounter:
        return self._events

    @property
    def served(self) -> int:
        return sum(tally.served for tally in self.tallies.values())

    @property
    def refused(self) -> int:
        return sum(tally.refused for tally in self.tallies.values())

    @property
    def failed(self) -> int:
        return sum(tally.failed for tally in self.tallies.values())

    def start(self) -> None:
        self._run(self.balancer.start())
        self._hear(self._config.known, api.ListKind.CACHED)
        if self.pushed:
            self._source.subscribe()

    @property
    def pushed(self) -> bool:
        """Whether the list comes from this machine, at no cost. The module asks only where asking costs, and
        what is known there counts as told from the first moment."""
        return not self._config.settings.subscribe

    def ask(self) -> None:
        """Ask for the list now, ahead of the time that the module has drawn. Risk: started beside another
        version, this one would serve for seconds by the list it was started with, and miss a drain. Harm: of
        many that are started together, all ask together."""
        self._early = True
        self._source.subscribe()

    def reload(self, config: Config) -> None:
        """Go by another configuration. What is held goes on, under the terms it was taken on."""
        if config.listen != self._config.listen:
            log.warning("listen is another address; that takes a restart")
        self._config = config
        self._classes = {cls.name: cls for cls in config.settings.classes}
        for name in self._classes:
            self.tallies.setdefault(name, Tally())
        self._tell(self.balancer.on_settings, config.settings)
        self._upstream.reload(config)
        self._source.reload(config)

    def place(self, number: int, agents: int) -> None:
        """Have the slice of the servers begin elsewhere: at `number` of `agents` parts of the list."""
        settings = replace(self._config.settings, number=number, agents=agents)
        self._config = replace(self._config, settings=settings)
        self._tell(self.balancer.on_settings, settings)

    def close(self) -> None:
        """The end: what is still owed is failed, what is out is called off, and nothing more begins."""
        self._closed = True
        self.fail_all()
        self._source.close()
        for task in self._running.values():
            task.cancel()
        self._upstream.close()

    @property
    def owed(self) -> int:
        """How many requests still wait for their final answer."""
        return len(self._held)

    @property
    def offered(self) -> int:
        """How many requests have been taken."""
        return self._count

    @property
    def attempts(self) -> int:
        """How many attempts are under way, called-off ones too until they have ended."""
        return len(self._running)

    @property
    def longest_deadline_us(self) -> int:
        return max(cls.deadline_us for cls in self._classes.values())

    def request_class(self, name: str) -> api.RequestClass | None:
        return self._classes.get(name)

    def has_open(self, client_id: bytes) -> bool:
        """Whether a request under this id still waits for its answer."""
        return client_id in self._open_ids

    # Events

    def take(self, call: Call) -> Held:
        """A request has come whole. Its final answer will be the held future's result."""
        now = self.now()
        self._count += 1
        held = Held(self._count, call, self._loop.create_future())
        if len(self._held) >= self._config.most_held:
            self.tallies[call.class_name].refused += 1
            self._events.add(Event.REFUSED, api.EndReason.UNSENT, _id(call))
            held.answer.set_result(Refused(FULL_RETRY_AFTER_US))
            return held
        self._held[held.id] = held
        self._open_ids.add(call.client_id)
        left_us = call.budget_us - DEADLINE_MARGIN_US
        if call.upload is not None:
            # Its time counts from its last byte (`whole`), and until then from when that must have come.
            longest = STREAM_MOST if call.upload.length is None else call.upload.length
            left_us += longest * 1_000_000 // UPLOAD_RATE_LEAST
        held.overdue = self._loop.call_later((left_us + OVERDUE_US) / 1e6, self._overdue, held)
        event = api.Request(
            held.id,
            call.class_name,
            now + left_us,
            call.cost_hint_us,
            call.tenant,
            call.key,
            call.is_retry,
            call.upload is not None,
        )
        self._tell(self.balancer.on_request, event, held)
        return held

    def whole(self, held: Held) -> None:
        """The last byte of a body that was passed on while it came is here: its time counts from now."""
        if held.id in self._held and held.overdue is not None:
            held.overdue.cancel()
            left_us = held.call.budget_us - DEADLINE_MARGIN_US + OVERDUE_US
            held.overdue = self._loop.call_later(left_us / 1e6, self._overdue, held)
            self._tell(self.balancer.on_whole, api.Whole(held.id, self.now() + left_us - OVERDUE_US), held)

    def abandon(self, held: Held) -> None:
        """The client has gone away."""
        if self._end(held):
            self._tell(self.balancer.on_client_gone, api.ClientGone(held.id))

    def _overdue(self, held: Held) -> None:
        # Whatever goes wrong with a decision, a request that was taken is answered. Where this process stood
        # still, its timer may also come ahead of the end of an attempt whose time was up before it.
        late_s = 0.0 if held.overdue is None else self._loop.time() - held.overdue.when()
        log.error("request %d was overdue, %.3f s ago", held.id, late_s, extra=_about(held.call))
        self._finish(held, Failed())
        self._tell(self.balancer.on_client_gone, api.ClientGone(held.id))

    def _on_update(self, update: Update) -> None:
        self.listed = True
        self._hear(update, api.ListKind.FULL if update.complete else api.ListKind.DELTA)

    def _hear(self, update: Update, kind: api.ListKind) -> None:
        """What the list says, as operators' orders leave it."""
        self._apply(update._replace(backends=self._orders.heard(update.backends, update.complete)), kind)

    def _apply(self, update: Update, kind: api.ListKind) -> None:
        withdrawn = self._directory.apply(update)
        if withdrawn:
            names = ", ".join(sorted(withdrawn)[:NAMES_SHOWN])
            log.info("list %d (%s): nothing new goes to %d of the servers: %s", update.revision, kind.value,
                     len(withdrawn), names)  # fmt: skip
        for address in withdrawn.values():
            self._upstream.forget(address)
        self._tell(self.balancer.on_list, api.BackendList(kind, update.backends))

    # Operators

    def put_out(self, servers: Iterable[str]) -> None:
        """These servers, and no others, are out by hand from here on: nothing new goes to them."""
        changed = self._orders.ordered(servers)
        if changed:
            self._apply(Update(0, False, changed, {}), api.ListKind.DELTA)

    def knows(self, server: str) -> bool:
        """Whether this server is listed, or out by hand."""
        return self._orders.knows(server)

    @property
    def targets(self) -> int:
        """How many servers the list has."""
        return self._orders.listed

    @property
    def avoided(self) -> int:
        """How many of these are sent nothing now: out by hand, or shut by the decisions."""
        now = self.now()
        return len(self._orders.listed_out()) + sum(not item.open(now) for item in self.balancer.ready)

    def _on_failure(self) -> None:
        self._early = False
        self._tell(self.balancer.on_list, api.BackendList(api.ListKind.FAILED))

    def _tell(
        self, handler: Callable[[E, int], list[api.Action]], event: E, held: Held | None = None
    ) -> None:
        """Hand an event to the module and carry out what it answers."""
        try:
            self._run(handler(event, self.now()))
        except Exception:
            about = _about(held.call) if held is not None else None
            log.exception("deciding on %s failed", type(event).__name__, extra=about)
            if held is not None and self._finish(held, Failed()):
                self._tell(self.balancer.on_client_gone, api.ClientGone(held.id))

    # Actions

    def _run(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send() | api.SetTimer() | api.Subscribe() if self._closed:
                    # Risk: a timer that was set before the end opens a call to the list service that nobody
                    # closes.
                    continue
                case api.Send():
                    self._send(action)
                case api.Refuse(request_id, retry_after_us, reason):
                    self._count_end(Event.REFUSED, reason, request_id)
                    self._answer(request_id, Refused(retry_after_us))
                case api.Fail(request_id, reason):
                    self._count_end(Event.FAILED, reason, request_id)
                    self._answer(request_id, Failed())
                case api.CancelAttempt(request_id, attempt):
                    task = self._running.get((request_id, attempt))
                    if task is not None:
                        task.cancel()
                case api.SetTimer(delay_us, tag):
                    self._loop.call_later(delay_us / 1e6, self._tell, self.balancer.on_timer, api.Timer(tag))
                case api.Subscribe():
                    if not self._early:
                        self._source.subscribe()
                    self._early = False

    def _count_end(self, event: Event, reason: api.EndReason, request_id: int) -> None:
        held = self._held.get(request_id)
        if held is not None:
            self._events.add(event, reason, _id(held.call))

    def _answer(self, request_id: int, answer: Final) -> None:
        held = self._held.get(request_id)
        if held is not None:
            self._finish(held, answer)

    def _end(self, held: Held) -> bool:
        """It is owed nothing more. False if it was not owed anything."""
        if self._held.pop(held.id, None) is None:
            return False
        self._open_ids.discard(held.call.client_id)
        if held.overdue is not None:
            held.overdue.cancel()
        return True

    def _finish(self, held: Held, answer: Final) -> bool:
        if not self._end(held):
            return False
        tally = self.tallies[held.call.class_name]
        if isinstance(answer, Refused):
            tally.refused += 1
        elif isinstance(answer, Failed):
            tally.failed += 1
        else:
            tally.served += 1
        if held.answer.done():
            close(answer)
        else:
            held.answer.set_result(answer)
            # Risk: a circle of request and connection that waits for a collection.
            told, held.told = held.told, None
            if told is not None:
                told()
        return True

    def fail_all(self) -> None:
        """Answer every request that is still owed its answer as failed: there is no time left for more."""
        for held in [*self._held.values()]:
            self.fail(held)

    def fail(self, held: Held) -> None:
        """Answer this request as failed, if it is still owed its answer, and call off what is out for it."""
        if self._finish(held, Failed()):
            self._tell(self.balancer.on_client_gone, api.ClientGone(held.id))

    def _send(self, action: api.Send) -> None:
        held = self._held.get(action.request_id)
        if held is None:
            log.error("an attempt for request %d, which is not held", action.request_id)
            return
        if held.outcome is not None:
            self._events.add(Event.RETRIED, held.outcome, _id(held.call))
        key = (held.id, held.attempts)
        held.attempts += 1
        started = self.now()
        backend = action.backend
        address = self._directory.address(backend)
        if address is not None:
            running = self._upstream.begin(
                held.call, address, action.timeout_us,
                partial(self._may_begin, held, action), partial(self._done, held, key, started),
            )  # fmt: skip
            if running is not None:
                self._running[key] = running
                return
        task = self._running[key] = asyncio.create_task(self._exchange(held, key, action, started))
        task.add_done_callback(lambda done: self._broke_off(held, key, backend, done, started))

    def _may_begin(self, held: Held, action: api.Send) -> bool:
        """Asked whenever an attempt that was decided on goes a step further. Risk: by the time its connection
        is up, its client has left, its server drains, or its servers have forgotten the attempt before it."""
        if held.id not in self._held or self.now() >= action.begin_before_us:
            return False
        # Risk: on a core that others share a turn of the loop lasts, and its client's end waits in the kernel
        # for as long.
        if held.call.left is not None and held.call.left():
            return False
        return self._directory.is_ready(action.backend)

    def _done(self, held: Held, key: tuple[int, int], started: int, ended: Ended) -> None:
        """An attempt without a task of the agent's has ended."""
        del self._running[key]
        self._ended(held, key, ended, self._elapsed_us(held, started))

    def _broke_off(
        self, held: Held, key: tuple[int, int], backend: str, task: asyncio.Task[None], started: int
    ) -> None:
        """Told however the task ends; one that ran to its end has told its outcome itself. Risk: one that is
        cancelled before its first step runs none of its own code, and the module would count the attempt as
        pending for ever."""
        if self._running.pop(key, None) is None:
            return
        ended = Ended(api.Outcome.CANCELLED)
        if not task.cancelled():
            about = {**_about(held.call), "server": backend}
            log.error("an attempt failed", exc_info=task.exception(), extra=about)
            ended = Ended(api.Outcome.UNKNOWN)
        self._ended(held, key, ended, self._elapsed_us(held, started))

    def _elapsed_us(self, held: Held, started: int) -> int:
        """How long the server had for it. Risk: a client that sends slowly makes its server look slow."""
        upload, now = held.call.upload, self.now()
        if upload is None:
            return now - started
        if upload.whole_at is None:
            return 0
        return min(now - started, int((time.monotonic() - upload.whole_at) * 1e6))

    async def _exchange(self, held: Held, key: tuple[int, int], action: api.Send, started: int) -> None:
        """One attempt, and what follows from it, in one step: told by a callback, it would cost a turn of the
        loop."""
        backend = action.backend
        address = self._directory.address(backend)
        # Risk: told as unsent for want of room, a request whose server has left the list between decision and
        # first step would be refused, where others could serve it.
        ended = Ended(api.Outcome.UNREACHABLE)
        if address is not None:
            ended = await self._upstream.attempt(
                held.call, address, action.timeout_us, partial(self._may_begin, held, action)
            )
        del self._running[key]
        self._ended(held, key, ended, self._elapsed_us(held, started))

    def _ended(self, held: Held, key: tuple[int, int], ended: Ended, elapsed_us: int) -> None:
        if ended.answer is not None and not self._finish(held, ended.answer):
            close(ended.answer)
        finished = held.id not in self._held
        # Risk: a peer that writes its answer slowly, piece by piece, passes for one with a queue, and what
        # would be served in time is refused. What was waited for is the answer's first byte.
        waited_us = max(0, elapsed_us - ended.tail_us)
        outcome = held.outcome = ended.outcome
        if outcome is not api.Outcome.OK:
            self._events.add(Event.ATTEMPT, outcome, _id(held.call))
        if outcome is api.Outcome.UNREACHABLE and held.id not in self._held:
            # Risk: a server is shut as unreachable since nothing was begun for a client that had left. Harm:
            # one that could not be reached in fact shows by the next attempt.
            outcome = api.Outcome.UNSENT
        event = api.AttemptEnded(*key, outcome, waited_us, finished)
        self._tell(self.balancer.on_attempt_ended, event, held)
