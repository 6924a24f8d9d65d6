"""Passes events to the decision module and carries out the actions it returns; makes no decisions itself."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import StrEnum
from functools import partial
from typing import Protocol, TypeVar

from sorrelfront.agent_config import Config
from sorrelfront.decisions import interface as api
from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.overrides import Overrides
from sorrelfront.decisions.request_ids import RequestIds
from sorrelfront.events import Event, EventCounter
from sorrelfront.lists import Directory, Target
from sorrelfront.messages import Address, Answer, AttemptResult, Call, Failed, FinalAnswer, Refused, Update
from sorrelfront.net.budget import MAX_STREAMED_BODY

log = logging.getLogger(__name__)

# Subtracted from each deadline: on a shared CPU core an answer is sent some time after it was decided on.
DEADLINE_MARGIN_US = 5_000
# How long past the deadline the agent waits for a decision before it answers the request itself. This is less
# than the slack that the rules allow.
ANSWER_GRACE_US = 10_000
# Minimum rate of a streamed request body, in bytes per second; a front ends slower ones. It bounds the time
# that a request takes to reach its server.
MIN_UPLOAD_RATE = 16_000
# Sent with a refusal when the maximum number of requests is in flight: about how long one request takes.
FULL_RETRY_AFTER_US = 500_000
# Of the memory limit for each remembered request id. An id has 128 bytes at most, and with its place in a set
# takes some 200.
MEMORY_PER_ID = 8_192
MAX_NAMES_LOGGED = 8  # maximum number of servers named in one log line

E = TypeVar("E")


class IdReason(StrEnum):
    """Why a request fails because of its id."""

    SENT_ELSEWHERE = "id-sent-elsewhere"  # by the other process of an upgrade, at the same time


class Clock:
    """Monotonic clock in microseconds with an offset to Unix time that is set once.

    Start times of backends are given in Unix time.
    """

    def __init__(self) -> None:
        self._anchor_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def __call__(self) -> int:
        """Return the current time in microseconds."""
        return self._anchor_us + time.monotonic_ns() // 1000


class AttemptHandle(Protocol):
    """An attempt in flight."""

    def cancel(self) -> object:
        """Cancel the attempt."""
        ...


class Upstream(Protocol):
    """Executes attempts on backends."""

    def begin(
        self,
        call: Call,
        address: Address,
        timeout_us: int,
        may_send: Callable[[], bool],
        done: Callable[[AttemptResult], None],
    ) -> AttemptHandle | None:
        """Start an attempt like `attempt` does, if that needs no wait for a connection.

        `done` is called exactly once, in a later step of the event loop, even if the attempt is cancelled.
        Returns None if nothing was started.
        """

    async def attempt(
        self, call: Call, address: Address, timeout_us: int, may_send: Callable[[], bool]
    ) -> AttemptResult:
        """Send the request to the backend at this address and return how the attempt ended.

        `may_send` returns whether the attempt may still be sent.
        """
        ...

    def forget(self, address: Address) -> None:
        """Close the connections to this address, those in use after their answer."""
        ...

    def reload(self, config: Config) -> None:
        """Apply the limits of another configuration."""
        ...

    def close(self) -> None:
        """Close all idle connections."""
        ...


class Source(Protocol):
    """Membership source: delivers the list of backends and its updates."""

    def subscribe(self) -> None:
        """Request the list and subscribe to its updates."""
        ...

    def reload(self, config: Config) -> None:
        """Apply another configuration."""
        ...

    def close(self) -> None:
        """Stop delivering updates and release all resources."""
        ...


SourceFactory = Callable[[Config, Callable[[Update], None], Callable[[], None]], Source]


class PendingRequest:
    """A request in flight: taken, without its final answer yet."""

    __slots__ = (
        "answer", "attempts", "call", "deadline_timer", "id", "latest_at", "may_have_run", "on_answered",
        "outcome",
    )  # fmt: skip

    def __init__(self, number: int, call: Call, answer: asyncio.Future[FinalAnswer]) -> None:
        self.id = number
        self.call = call
        self.answer = answer
        self.attempts = 0
        self.may_have_run = 0  # attempts in flight, or ended without a proof that they never ran
        self.outcome: api.Outcome | None = None  # of the last attempt that ended
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.latest_at = 0.0  # when it is answered at the latest, on the event loop's clock
        # Called as soon as the answer is set, synchronously
        self.on_answered: Callable[[], None] | None = None


class Tally:
    """Counts the requests of one class by type of final answer, since the start."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        self.served = self.refused = self.failed = 0


def discard_answer(answer: FinalAnswer) -> None:
    """Discard an answer that will not be delivered, and close its stream."""
    if isinstance(answer, Answer) and answer.stream is not None:
        answer.stream.close()


def _log_id(call: Call) -> str:
    """Return the client's id of the request as text, truncated for the log."""
    return call.client_id.decode("latin-1")[:64]


def _log_fields(call: Call) -> dict[str, str]:
    """Return the structured log fields of this call."""
    return {"class": call.class_name, "call": _log_id(call)}


class Agent:
    """Runs one Balancer with a real clock, real backends and a membership source."""

    def __init__(self, config: Config, upstream: Upstream, make_source: SourceFactory) -> None:
        """Create an agent; `start` has to be called before requests are taken.

        `make_source` is called with the configuration, a callback for updates and a callback for failures.
        """
        self._config = config
        self._upstream = upstream
        self.now = Clock()
        self._loop = asyncio.get_running_loop()
        self.balancer = Balancer(config.settings, config.seed, self.now())
        self._classes = {cls.name: cls for cls in config.settings.classes}
        self._directory = Directory()
        self._overrides = Overrides()
        self.list_received = False  # the membership source has delivered a list
        self._subscribed_early = False  # subscribed before the decision module asked for it
        self._source = make_source(config, self._on_update, self._on_failure)
        self._pending: dict[int, PendingRequest] = {}
        self._open_ids: set[bytes] = set()  # client ids of the requests in flight
        self.request_ids = RequestIds(config.memory_bytes // MEMORY_PER_ID)
        self._running: dict[tuple[int, int], AttemptHandle] = {}
        self._closed = False
        self._requests_taken = 0
        self.tallies = {name: Tally() for name in self._classes}
        self._events = EventCounter()

    @property
    def events(self) -> EventCounter:
        """Counter of refused, failed and retried requests and of failed attempts."""
        return self._events

    @property
    def served(self) -> int:
        """Number of requests that got an answer from a backend, since the start."""
        return sum(tally.served for tally in self.tallies.values())

    @property
    def refused(self) -> int:
        """Number of requests that were refused, since the start."""
        return sum(tally.refused for tally in self.tallies.values())

    @property
    def failed(self) -> int:
        """Number of requests that failed, since the start."""
        return sum(tally.failed for tally in self.tallies.values())

    def start(self) -> None:
        """Start the decision module with the cached list; subscribe at once if the source is local."""
        self._execute(self.balancer.start())
        self._apply_with_orders(self._config.cached_list, api.ListKind.CACHED)
        if self.source_is_local:
            self._source.subscribe()

    @property
    def source_is_local(self) -> bool:
        """Whether the list comes from this machine, at no cost.

        The decision module requests the list only from a remote source. With a local source the cached list
        counts as received from the start.
        """
        return not self._config.settings.subscribe

    def subscribe_early(self) -> None:
        """Request the list now instead of at the random time that the decision module has chosen.

        Otherwise a process started beside another version would use its initial list for seconds and miss a
        drain. The drawback is that many processes that start together also request the list together.
        """
        self._subscribed_early = True
        self._source.subscribe()

    def reload(self, config: Config) -> None:
        """Apply another configuration. Requests in flight keep the settings they were taken with."""
        if config.listen != self._config.listen:
            log.warning("the listen address was changed; this takes effect after a restart")
        self._config = config
        self._classes = {cls.name: cls for cls in config.settings.classes}
        for name in self._classes:
            self.tallies.setdefault(name, Tally())
        self._dispatch(self.balancer.on_settings, config.settings)
        self._upstream.reload(config)
        self._source.reload(config)

    def set_subset(self, number: int, agents: int) -> None:
        """Move the start of this agent's subset of servers to part `number` of the list's `agents` parts."""
        settings = replace(self._config.settings, number=number, agents=agents)
        self._config = replace(self._config, settings=settings)
        self._dispatch(self.balancer.on_settings, settings)

    def close(self) -> None:
        """Fail all requests in flight, cancel all attempts and start nothing more."""
        self._closed = True
        self.fail_all()
        self._source.close()
        for task in self._running.values():
            task.cancel()
        self._upstream.close()

    @property
    def pending_requests(self) -> int:
        """Number of requests without a final answer yet."""
        return len(self._pending)

    @property
    def requests_taken(self) -> int:
        """Number of requests received since the start, refused ones included."""
        return self._requests_taken

    @property
    def attempts(self) -> int:
        """Number of attempts in flight, including cancelled ones that have not ended yet."""
        return len(self._running)

    @property
    def longest_deadline_us(self) -> int:
        """Longest deadline of all request classes, in microseconds."""
        return max(cls.deadline_us for cls in self._classes.values())

    def request_class(self, name: str) -> api.RequestClass | None:
        """Return the request class with this name, or None if there is none."""
        return self._classes.get(name)

    def has_seen(self, call: Call) -> bool:
        """Return whether its id is that of a request in flight, or one with an effect that may have run."""
        if call.client_id in self._open_ids:
            return True
        return call.has_effect and self.request_ids.known(call.client_id)

    # Events

    def submit(self, call: Call) -> PendingRequest:
        """Accept a request; the `answer` future of the returned object gets its final answer.

        The request is complete, except for the body if that is streamed.
        """
        now = self.now()
        self._requests_taken += 1
        held = PendingRequest(self._requests_taken, call, self._loop.create_future())
        if len(self._pending) >= self._config.max_pending:
            self.tallies[call.class_name].refused += 1
            self._events.add(Event.REFUSED, api.EndReason.UNSENT, _log_id(call))
            held.answer.set_result(Refused(FULL_RETRY_AFTER_US))
            return held
        self._pending[held.id] = held
        self._open_ids.add(call.client_id)
        left_us = call.budget_us - DEADLINE_MARGIN_US
        if call.upload is not None:
            # Its deadline counts from its last byte (`body_received`); until then, from the latest time at
            # which that byte has to arrive.
            longest = MAX_STREAMED_BODY if call.upload.length is None else call.upload.length
            left_us += longest * 1_000_000 // MIN_UPLOAD_RATE
        held.latest_at = self._loop.time() + (left_us + ANSWER_GRACE_US) / 1e6
        self._set_timer(held, held.latest_at, self._on_deadline_passed)
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
        self._dispatch(self.balancer.on_request, event, held)
        return held

    def _set_timer(self, held: PendingRequest, at: float, callback: Callable[[PendingRequest], None]) -> None:
        if held.deadline_timer is not None:
            held.deadline_timer.cancel()
        held.deadline_timer = self._loop.call_at(at, callback, held)

    def body_paused(self, held: PendingRequest) -> None:
        """Note that the client of a streamed body is not read until there is room for more of it.

        The body may lie unread to its last byte, so the client's time runs and ends the request if need be.
        """
        timer, upload = held.deadline_timer, held.call.upload
        if held.id not in self._pending or timer is None or upload is None or not upload.unread.paused:
            return
        at = self._loop.time() + self._body_time_left_s(held)
        if at < timer.when():
            self._set_timer(held, at, self._on_body_time_over)

    def body_received(self, held: PendingRequest) -> None:
        """Record that the last byte of a streamed body has arrived.

        Its deadline counts from now, less the time for which that byte may have lain unread.
        """
        if held.id in self._pending and held.deadline_timer is not None:
            left_s = self._body_time_left_s(held)
            self._set_timer(held, self._loop.time() + left_s, self._expire_body)
            event = api.BodyReceived(held.id, self.now() + int(left_s * 1e6))
            self._dispatch(self.balancer.on_body_received, event, held)

    def _body_time_left_s(self, held: PendingRequest) -> float:
        """Return how much is left of the client's time if its body is complete, in seconds."""
        upload = held.call.upload
        unread_s = 0.0 if upload is None else upload.unread.seconds(time.monotonic())
        return (held.call.budget_us - DEADLINE_MARGIN_US) / 1e6 - unread_s

    def _on_body_time_over(self, held: PendingRequest) -> None:
        """End a request that may have lain unread for its client's whole time, unless it was read since."""
        left_s, upload = self._body_time_left_s(held), held.call.upload
        if left_s <= 0.0:
            self._dispatch(self.balancer.on_deadline_moved, api.DeadlineMoved(held.id, self.now()), held)
            self._expire_body(held)
        elif upload is not None and upload.unread.paused:
            self._set_timer(held, self._loop.time() + left_s, self._on_body_time_over)
        else:
            self._set_timer(held, held.latest_at, self._on_deadline_passed)

    def _expire_body(self, held: PendingRequest) -> None:
        """End the attempt that has not sent the whole body; its end decides the request's final answer."""
        self._set_timer(held, self._loop.time() + ANSWER_GRACE_US / 1e6, self._on_deadline_passed)
        if held.call.upload is not None:
            held.call.upload.expire()

    def abandon(self, held: PendingRequest) -> None:
        """Drop a request whose client has disconnected."""
        held.on_answered = None  # what it refers to may refer to the request
        if self._remove_pending(held):
            self._dispatch(self.balancer.on_client_gone, api.ClientGone(held.id))

    def _on_deadline_passed(self, held: PendingRequest) -> None:
        """Answer a request that nothing else has answered, once its attempts have had time to end."""
        if any(request_id == held.id for request_id, _ in self._running):
            # Their time is over too, and their ends decide more: whether a repeat is harmless. After a pause
            # of this process, this timer runs in the same step as theirs.
            self._set_timer(held, self._loop.time() + ANSWER_GRACE_US / 1e6, self._fail_unanswered)
        else:
            self._fail_unanswered(held)

    def _fail_unanswered(self, held: PendingRequest) -> None:
        # A request that was taken is answered even if deciding on it went wrong.
        late_s = 0.0 if held.deadline_timer is None else self._loop.time() - held.deadline_timer.when()
        log.error("no answer to request %d by its deadline, timer %.3f s late", held.id, late_s,
                  extra=_log_fields(held.call))  # fmt: skip
        self._finish(held, Failed())
        self._dispatch(self.balancer.on_client_gone, api.ClientGone(held.id))

    def _on_update(self, update: Update) -> None:
        self.list_received = True
        self._apply_with_orders(update, api.ListKind.FULL if update.complete else api.ListKind.DELTA)

    def _apply_with_orders(self, update: Update, kind: api.ListKind) -> None:
        """Apply a list from the source with the operators' orders laid over it."""
        self._apply_update(
            update._replace(backends=self._overrides.apply_list(update.backends, update.complete)), kind
        )

    def _apply_update(self, update: Update, kind: api.ListKind) -> None:
        withdrawn = self._directory.apply(update)
        if withdrawn:
            names = ", ".join(sorted(withdrawn)[:MAX_NAMES_LOGGED])
            log.info("list %d (%s): no new attempts go to %d of the servers: %s", update.revision, kind.value,
                     len(withdrawn), names)  # fmt: skip
        for address in withdrawn.values():
            self._upstream.forget(address)
        self._dispatch(self.balancer.on_list, api.BackendList(kind, update.backends))

    # Operators

    def set_disabled(self, servers: Iterable[str]) -> None:
        """Replace the set of servers that operators have disabled; no new attempts go to these."""
        changed = self._overrides.disable_only(servers)
        if changed:
            self._apply_update(Update(0, False, changed, {}), api.ListKind.DELTA)

    def knows(self, server: str) -> bool:
        """Return whether this server is listed or disabled by operators."""
        return self._overrides.knows(server)

    @property
    def targets(self) -> int:
        """Number of servers in the list."""
        return self._overrides.listed_count

    @property
    def targets_excluded(self) -> int:
        """Number of listed servers that get no attempts now.

        They are disabled by operators or closed by the decision module.
        """
        now = self.now()
        return len(self._overrides.listed_disabled()) + sum(
            not item.accepts(now) for item in self.balancer.ready
        )

    def _on_failure(self) -> None:
        self._subscribed_early = False
        self._dispatch(self.balancer.on_list, api.BackendList(api.ListKind.FAILED))

    def _dispatch(
        self, handler: Callable[[E, int], list[api.Action]], event: E, held: PendingRequest | None = None
    ) -> None:
        """Pass an event to the decision module and execute the actions that it returns."""
        try:
            self._execute(handler(event, self.now()))
        except Exception:
            log_fields = _log_fields(held.call) if held is not None else None
            log.exception("the decision on %s raised an exception", type(event).__name__, extra=log_fields)
            if held is not None and self._finish(held, Failed()):
                self._dispatch(self.balancer.on_client_gone, api.ClientGone(held.id))

    # Actions

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send() | api.SetTimer() | api.Subscribe() if self._closed:
                    # A timer set before `close` would open a request to the list service that is never
                    # closed.
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
                    self._loop.call_later(
                        delay_us / 1e6, self._dispatch, self.balancer.on_timer, api.Timer(tag)
                    )
                case api.Subscribe():
                    if not self._subscribed_early:
                        self._source.subscribe()
                    self._subscribed_early = False

    def _count_end(self, event: Event, reason: api.EndReason, request_id: int) -> None:
        held = self._pending.get(request_id)
        if held is not None:
            self._events.add(event, reason, _log_id(held.call))

    def _answer(self, request_id: int, answer: FinalAnswer) -> None:
        held = self._pending.get(request_id)
        if held is not None:
            self._finish(held, answer)

    def _remove_pending(self, held: PendingRequest) -> bool:
        """Remove a request from those in flight. Returns False if it was not in flight."""
        if self._pending.pop(held.id, None) is None:
            return False
        self._open_ids.discard(held.call.client_id)
        if held.deadline_timer is not None:
            held.deadline_timer.cancel()
        return True

    def _finish(self, held: PendingRequest, answer: FinalAnswer) -> bool:
        if not self._remove_pending(held):
            return False
        tally = self.tallies[held.call.class_name]
        if isinstance(answer, Refused):
            tally.refused += 1
        elif isinstance(answer, Failed):
            tally.failed += 1
        else:
            tally.served += 1
        if held.answer.done():
            discard_answer(answer)
        else:
            held.answer.set_result(answer)
            # Cleared, since a reference cycle of request and connection would wait for the garbage collector.
            told, held.on_answered = held.on_answered, None
            if told is not None:
                told()
        return True

    def fail_all(self) -> None:
        """Answer every request in flight as failed, because there is no time left."""
        for held in [*self._pending.values()]:
            self.fail(held)

    def fail(self, held: PendingRequest) -> None:
        """Answer this request as failed, if it is in flight, and have its attempts cancelled."""
        if self._finish(held, Failed()):
            self._dispatch(self.balancer.on_client_gone, api.ClientGone(held.id))

    def _send(self, action: api.Send) -> None:
        held = self._pending.get(action.request_id)
        if held is None:
            log.error("an attempt was decided on for request %d, which is not in flight", action.request_id)
            return
        if held.outcome is not None:
            self._events.add(Event.RETRIED, held.outcome, _log_id(held.call))
        first = not held.may_have_run
        held.may_have_run += 1
        key = (held.id, held.attempts)
        held.attempts += 1
        if first and held.call.has_effect and not self.request_ids.claim(held.call.client_id):
            self._events.add(Event.FAILED, IdReason.SENT_ELSEWHERE, _log_id(held.call))
            self._loop.call_soon(self._fail_unsent, held, key)  # not within the decision that has sent it
            return
        started = self.now()
        backend = action.backend
        target = self._directory.target(backend)
        if target is not None:
            running = self._upstream.begin(
                held.call, target.address, action.timeout_us,
                partial(self._may_send, held, action, target),
                partial(self._on_attempt_done, held, key, started),
            )  # fmt: skip
            if running is not None:
                self._running[key] = running
                return
        task = self._running[key] = asyncio.create_task(self._exchange(held, key, action, target, started))
        task.add_done_callback(lambda done: self._on_task_done(held, key, backend, done, started))

    def _fail_unsent(self, held: PendingRequest, key: tuple[int, int]) -> None:
        """Answer a request as failed of which an attempt was decided on and not begun."""
        self.fail(held)
        self._on_attempt_ended(held, key, AttemptResult(api.Outcome.UNSENT), 0)

    def _may_send(self, held: PendingRequest, action: api.Send, target: Target) -> bool:
        """Return whether an attempt may still be sent; checked before each of its steps.

        By the time its connection is established, its client may have disconnected, its server may drain or
        be another process, or the deduplication window of an earlier attempt may have passed.
        """
        if held.id not in self._pending or self.now() >= action.begin_before_us:
            return False
        # On a shared CPU core one iteration of the event loop can take long, and until it ends the client's
        # disconnect is known only to the kernel.
        if held.call.client_gone is not None and held.call.client_gone():
            return False
        return self._directory.target(action.backend) == target

    def _on_attempt_done(
        self, held: PendingRequest, key: tuple[int, int], started: int, ended: AttemptResult
    ) -> None:
        """Handle the end of an attempt that `Upstream.begin` has started."""
        del self._running[key]
        self._on_attempt_ended(held, key, ended, self._elapsed_us(held, started))

    def _on_task_done(
        self, held: PendingRequest, key: tuple[int, int], backend: str, task: asyncio.Task[None], started: int
    ) -> None:
        """Report the end of an attempt whose task was cancelled or has raised.

        It is called for every task that ends; a task that completed has reported its outcome itself. A task
        cancelled before its first step runs none of its own code, and without this callback the decision
        module would count the attempt as pending forever.
        """
        if self._running.pop(key, None) is None:
            return
        ended = AttemptResult(api.Outcome.CANCELLED)
        if not task.cancelled():
            log_fields = {**_log_fields(held.call), "server": backend}
            log.error("an attempt raised an exception", exc_info=task.exception(), extra=log_fields)
            ended = AttemptResult(api.Outcome.UNKNOWN)
        self._on_attempt_ended(held, key, ended, self._elapsed_us(held, started))

    def _elapsed_us(self, held: PendingRequest, started: int) -> int:
        """Return how long the server had for the attempt, in microseconds.

        The time of a streamed body is left out, since a slow client would make its server look slow.
        """
        upload, now = held.call.upload, self.now()
        if upload is None:
            return now - started
        if upload.completed_at is None:
            return 0
        return min(now - started, int((time.monotonic() - upload.completed_at) * 1e6))

    async def _exchange(
        self,
        held: PendingRequest,
        key: tuple[int, int],
        action: api.Send,
        target: Target | None,
        started: int,
    ) -> None:
        """Run one attempt and report its outcome.

        Both happen in one step, because a callback would cost an iteration of the event loop.
        """
        # A server without a process for new requests: UNSENT would mean that this agent has no room, and the
        # request would be refused although other servers could serve it.
        ended = AttemptResult(api.Outcome.UNREACHABLE)
        if target is not None:
            ended = await self._upstream.attempt(
                held.call, target.address, action.timeout_us, partial(self._may_send, held, action, target)
            )
        del self._running[key]
        self._on_attempt_ended(held, key, ended, self._elapsed_us(held, started))

    def _on_attempt_ended(
        self, held: PendingRequest, key: tuple[int, int], ended: AttemptResult, elapsed_us: int
    ) -> None:
        if ended.answer is not None and not self._finish(held, ended.answer):
            discard_answer(ended.answer)
        finished = held.id not in self._pending
        # The time until the answer's first byte. Counted to its last byte, a server that writes its answer
        # slowly would look like one with a queue, and requests that it could serve in time would be refused.
        waited_us = max(0, elapsed_us - ended.answer_duration_us)
        outcome = held.outcome = ended.outcome
        if outcome is not api.Outcome.OK:
            self._events.add(Event.ATTEMPT, outcome, _log_id(held.call))
            if outcome in api.NEVER_RAN:
                held.may_have_run -= 1
                if not held.may_have_run and held.call.has_effect:
                    self.request_ids.forget(held.call.client_id)
        if outcome is api.Outcome.UNREACHABLE and held.id not in self._pending:
            # Nothing may have been sent only because the client had disconnected, and the server must not be
            # closed as unreachable for that. If it is in fact unreachable, the next attempt shows it.
            outcome = api.Outcome.UNSENT
        event = api.AttemptEnded(*key, outcome, waited_us, finished)
        self._dispatch(self.balancer.on_attempt_ended, event, held)
