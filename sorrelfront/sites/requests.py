"""Requests forwarded to partner sites, and requests received from them.

A forwarding agent serves what it can with its own servers. A request that its own balancer refuses, and of
which no attempt can have run, is forwarded to a partner site if a route permits it. A balancer like the
agent's own picks among the gateways. A forwarded request is cancelled and answered once, like any other.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from sorrelfront.agent import ANSWER_GRACE_US, DEADLINE_MARGIN_US, Agent, PendingRequest
from sorrelfront.agent import Upstream as AnyUpstream
from sorrelfront.agent_config import Config
from sorrelfront.decisions import interface as api
from sorrelfront.decisions.sites.admission import FULL_RETRY_US, Admission, Admitted, Rejected, parse_path
from sorrelfront.decisions.sites.routes import Border, Route
from sorrelfront.events import EventCounter
from sorrelfront.lists import parse_address
from sorrelfront.messages import (
    Address,
    Answer,
    AttemptResult,
    Call,
    Failed,
    FinalAnswer,
    Headers,
    Refused,
    Update,
)
from sorrelfront.net.http import Payload
from sorrelfront.sites.keys import Keys
from sorrelfront.sites.transport import now_us

PATH_HEADER = b"X-Sorrelfront-Path"
PASS_HEADER = b"X-Sorrelfront-Pass"
INTERNAL_HEADERS = (PATH_HEADER.lower(), PASS_HEADER.lower())
MAX_KEYS = 65_536  # idempotency keys remembered for their window; above it the oldest is dropped
MAX_POOLS = 32  # balancers over gateways, one for each set of gateways in use
# With less time left than this a request is not forwarded: it would arrive too late to be served.
MIN_BUDGET_US = 10_000
REJECTED_HEADER = (b"X-Rejected", b"1")  # tells the sending site that no attempt ran


class _TicketUpstream:
    """An upstream that adds this site's ticket for the gateway to each request."""

    def __init__(self, upstream: AnyUpstream) -> None:
        self._upstream = upstream
        self.tickets: dict[Address, bytes] = {}

    def _with_ticket(self, call: Call, address: Address) -> Call:
        payload: Payload = call.payload
        headers = [*payload.headers, (PASS_HEADER, base64.b64encode(self.tickets.get(address, b"")))]
        return replace(call, payload=replace(payload, headers=headers))

    def begin(
        self,
        call: Call,
        address: Address,
        timeout_us: int,
        may_send: Callable[[], bool],
        done: Callable[[AttemptResult], None],
    ) -> Any:
        return self._upstream.begin(self._with_ticket(call, address), address, timeout_us, may_send, done)

    async def attempt(
        self, call: Call, address: Address, timeout_us: int, may_send: Callable[[], bool]
    ) -> AttemptResult:
        return await self._upstream.attempt(self._with_ticket(call, address), address, timeout_us, may_send)

    def forget(self, address: Address) -> None:
        self._upstream.forget(address)

    def reload(self, config: Config) -> None:
        pass  # the wrapped upstream belongs to the agent, which reloads it

    def close(self) -> None:
        pass


class _GatewaySource:
    """A membership source that lists the gateways of a pool's routes."""

    def __init__(self, on_update: Callable[[Update], None]) -> None:
        self._on_update = on_update
        self._known = Update(0, True, (), {})

    def publish(self, backends: tuple[api.Backend, ...], addresses: dict[str, Address]) -> None:
        self._known = Update(self._known.revision + 1, True, backends, addresses)
        self._on_update(self._known)

    def subscribe(self) -> None:
        self._on_update(self._known)

    def reload(self, config: Config) -> None:
        pass

    def close(self) -> None:
        pass


def dedup_group(route: Route) -> str:
    """Return the deduplication group of a route.

    That is the group that the owner names, or else the gateway's own servers.
    """
    return route.group or f"{route.id.owner}/{route.id.gateway}"


class _GatewayPool:
    """A balancer over one set of gateways."""

    def __init__(self, config: Config, upstream: _TicketUpstream) -> None:
        self.routes: tuple[Route, ...] = ()
        self.source: _GatewaySource | None = None
        self.agent = Agent(config, upstream, self._source)
        self.agent.start()

    def _source(self, config: Config, on_update: Any, on_failure: Any) -> _GatewaySource:
        self.source = _GatewaySource(on_update)
        return self.source

    def use_routes(self, routes: tuple[Route, ...]) -> None:
        self.routes = routes
        backends, addresses = [], {}
        for route in routes:
            name = f"{route.partner}@{route.peer}"
            if name not in addresses:
                # Attempts of a keyed request that may have run stay in one deduplication group, here a zone.
                backends.append(
                    api.Backend(name, dedup_group(route), "gateway", 0, weight=float(route.capacity))
                )
                addresses[name] = parse_address(route.address)
        assert self.source is not None
        self.source.publish(tuple(backends), addresses)


def pool_config(config: Config) -> Config:
    """Return the configuration of a pool.

    It is the agent's, except that the servers are gateways pushed by the pool and that the zones are
    deduplication groups.
    """
    classes = tuple(
        replace(cls, scope=api.Scope.ZONE) if cls.effect is api.Effect.KEYED else cls
        for cls in config.settings.classes
    )
    settings = replace(config.settings, classes=classes, subscribe=False, number=0, agents=1)
    return replace(config, settings=settings, cached_list=Update(0, True, (), {}))


class Forwarder:
    """Forwards requests to the gateways of partner sites."""

    def __init__(self, border: Border, config: Config, upstream: AnyUpstream) -> None:
        self.border = border
        self.counts = dict.fromkeys(
            ("sent", "served", "refused", "failed", "no_way", "no_time", "no_lane"), 0
        )
        self._config = pool_config(config)
        self._ticket_upstream = _TicketUpstream(upstream)
        self._pools: list[_GatewayPool] = []

    def reload(self, config: Config) -> None:
        """Apply a new configuration to all pools."""
        self._config = pool_config(config)
        for pool in self._pools:
            pool.agent.reload(self._config)

    def on_routes_changed(self) -> None:
        """Take over the tickets and routes of a routing table that may have changed.

        Gateways without a route are sent nothing new. Otherwise a further attempt of a request in flight
        could use a route that no longer exists.
        """
        self._ticket_upstream.tickets = {
            parse_address(peer.address): peer.ticket for peer in self.border.peers.values() if peer.address
        }
        now = now_us()
        for pool in self._pools:
            if pool.routes:
                valid = tuple(route for route in pool.routes if self.border.is_valid(route, now))
                if valid != pool.routes:
                    pool.use_routes(valid)

    def groups(self, cls: str, path: tuple[str, ...]) -> set[str]:
        """Return the deduplication groups at partner sites that the routes in use lead to."""
        return {dedup_group(route) for route in self.border.best_routes(cls, now_us(), path)}

    def send(
        self,
        call: Call,
        path: tuple[str, ...],
        remaining_us: int,
        done: Callable[[FinalAnswer], None],
        group: str | None = None,
    ) -> Callable[[], None] | None:
        """Forward a request if a route permits it and enough time is left.

        Args:
            call: The request.
            path: The sites that the request came through.
            remaining_us: Time until its answer is due.
            done: Called once with the final answer, unless the request is cancelled.
            group: The only deduplication group to forward to, or None for any.

        Returns:
            A function that cancels the request, or None if nothing was sent.
        """
        routes = self.border.best_routes(call.class_name, now_us(), path)
        if group is not None:
            routes = tuple(route for route in routes if dedup_group(route) == group)
        if not routes or call.upload is not None:
            self.counts["no_way"] += 1
            return None
        round_trip_us = max(self.border.peers[route.peer].round_trip_us for route in routes)
        if remaining_us - round_trip_us < MIN_BUDGET_US:
            self.counts["no_time"] += 1
            return None
        pool = self._pool_for(routes)
        if pool is None:
            self.counts["no_lane"] += 1
            return None
        self.counts["sent"] += 1
        return self._submit(
            pool.agent, _outgoing_call(call, (*path, self.border.site), remaining_us - round_trip_us), done
        )

    def _submit(self, agent: Agent, call: Call, done: Callable[[FinalAnswer], None]) -> Callable[[], None]:
        held = agent.submit(call)
        active = [True]

        def deliver() -> None:
            if not active:
                return
            active.clear()
            final = held.answer.result()
            refused = isinstance(final, Refused)
            self.counts["refused" if refused else "failed" if isinstance(final, Failed) else "served"] += 1
            done(final)

        def cancel() -> None:
            active.clear()
            agent.abandon(held)

        if held.answer.done():
            # Not within the caller's own step: the caller has yet to record that the request is in flight.
            asyncio.get_running_loop().call_soon(deliver)
        else:
            held.on_answered = deliver
        return cancel

    def _pool_for(self, routes: tuple[Route, ...]) -> _GatewayPool | None:
        wanted = {(route.peer, route.address) for route in routes}
        for pool in self._pools:
            if {(route.peer, route.address) for route in pool.routes} == wanted:
                return pool
        idle = next(
            (pool for pool in self._pools if not pool.agent.pending_requests and not pool.agent.attempts),
            None,
        )
        if len(self._pools) < MAX_POOLS:
            idle = _GatewayPool(self._config, self._ticket_upstream)
            self._pools.append(idle)
        if idle is not None:
            idle.use_routes(routes)
        return idle

    def close(self) -> None:
        """Close the balancers of all pools."""
        for pool in self._pools:
            pool.agent.close()


def _idempotency_key(call: Call) -> bytes:
    """Return the request's idempotency key, or b"" if it has none."""
    for name, value in call.payload.headers:
        if name.lower() == b"idempotency-key":
            return bytes(value)
    return b""


def _outgoing_call(call: Call, path: tuple[str, ...], budget_us: int) -> Call:
    payload: Payload = call.payload
    headers = [*_without_internal(payload.headers), (PATH_HEADER, ",".join(path).encode())]
    return replace(call, budget_us=budget_us, payload=replace(payload, headers=headers))


def _without_internal(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    return [(name, value) for name, value in headers if name.lower() not in INTERNAL_HEADERS]


class ForwardingAgent(Agent):
    """An agent that forwards what its own servers cannot serve.

    Requests go to the gateways of partner sites through `forwarder`. While that is None, it behaves like any
    other agent.
    """

    forwarder: Forwarder | None = None

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._forwarded: dict[int, Callable[[], None]] = {}  # request -> cancels it at a partner site
        self.paths: dict[int, tuple[str, ...]] = {}  # request from a partner -> sites it came through
        self._never_ran: dict[int, int] = {}  # request -> attempts that are proven not to have run
        # Key of a request that may have run -> the deduplication group it may have run in ("" for this site's
        # servers), the end of its window in loop time, and the request that used it.
        self._dedup_keys: OrderedDict[bytes, tuple[str, float, int]] = OrderedDict()

    def reload(self, config: Config) -> None:
        """Apply a new configuration to this agent and its forwarder."""
        super().reload(config)
        if self.forwarder is not None:
            self.forwarder.reload(config)

    def remaining_us(self, held: PendingRequest) -> int:
        """Return the time until the request's answer is due, in microseconds; 0 if it has no timer."""
        if held.deadline_timer is None:
            return 0
        return int((held.deadline_timer.when() - self._loop.time()) * 1e6) - ANSWER_GRACE_US

    def _answer(self, request_id: int, answer: FinalAnswer) -> None:
        held = self._pending.get(request_id)
        if held is not None and isinstance(answer, Refused) and self._forward_refused(held, answer):
            return
        super()._answer(request_id, answer)

    def _forward_refused(self, held: PendingRequest, refused: Refused) -> bool:
        forwarder = self.forwarder
        if forwarder is None or held.id in self._forwarded:
            return False
        # Otherwise an effect could happen twice. A repeat of a key is dropped only by servers that remember
        # the key, and a partner's servers do not: a local refusal does not prove that a request that may
        # have run here is safe to run there.
        if not self._safe_elsewhere(held):
            return False
        key = _idempotency_key(held.call)
        if key and self._dedup_keys.get(key, ("", 0.0, 0))[2] == held.id:
            del self._dedup_keys[key]  # none of this request's attempts has run
        if key and (held.call.is_retry or self._group_of_key(key) is not None):
            return False
        return self._forward(held, key, None, refused.retry_after_us)

    def _forward(self, held: PendingRequest, key: bytes, group: str | None, retry_after_us: int) -> bool:
        forwarder, path = self.forwarder, self.paths.get(held.id, ())
        if forwarder is None:
            return False
        if key and group is None:
            # The key selects the group, so that a repeat reaches the same group from any agent.
            groups = sorted(forwarder.groups(held.call.class_name, path))
            group = groups[zlib.crc32(key) % len(groups)] if groups else ""

        def done(final: FinalAnswer) -> None:
            self._forwarded.pop(held.id, None)
            if isinstance(final, Refused):
                final = Refused(max(final.retry_after_us, retry_after_us))
            self._finish(held, final)

        cancel = forwarder.send(held.call, path, self.remaining_us(held), done, group)
        if cancel is None:
            return False
        self._forwarded[held.id] = cancel
        if key and group:
            self._remember_key(held, key, group)
        return True

    # Idempotency keys

    def _remember_key(self, held: PendingRequest, key: bytes, group: str) -> None:
        """Record that an attempt with this key may run in this group.

        Without the record, a repeat by the caller could be served by another group, which does not know the
        key.
        """
        cls = self._classes.get(held.call.class_name)
        until = self._loop.time() + (0 if cls is None else cls.dedup_window_us) / 1e6
        self._dedup_keys.setdefault(key, (group, until, held.id))
        while len(self._dedup_keys) > MAX_KEYS:
            self._dedup_keys.popitem(last=False)

    def _group_of_key(self, key: bytes) -> str | None:
        now = self._loop.time()
        while self._dedup_keys and next(iter(self._dedup_keys.values()))[1] <= now:
            self._dedup_keys.popitem(last=False)
        entry = self._dedup_keys.get(key)
        return None if entry is None or entry[1] <= now else entry[0]

    def submit(self, call: Call) -> PendingRequest:
        """Accept a request; a repeat of a key that was forwarded goes to the same group again."""
        key = _idempotency_key(call) if self.forwarder is not None else b""
        group = self._group_of_key(key) if key else None
        if not group:
            return super().submit(call)
        # A request with this key was forwarded before and may have run at the partner site.
        self._requests_taken += 1
        held = PendingRequest(self._requests_taken, call, self._loop.create_future())
        self._pending[held.id] = held
        self._open_ids.add(call.client_id)
        remaining_us = call.budget_us - DEADLINE_MARGIN_US
        held.deadline_timer = self._loop.call_later(
            (remaining_us + ANSWER_GRACE_US) / 1e6, self._on_deadline_passed, held
        )
        if not self._forward(held, key, group, 0):
            self._finish(held, Failed())
        return held

    def _send(self, action: api.Send) -> None:
        held = self._pending.get(action.request_id)
        key = _idempotency_key(held.call) if held is not None and self.forwarder is not None else b""
        if held is not None and key:
            self._remember_key(held, key, "")
        super()._send(action)

    def _safe_elsewhere(self, held: PendingRequest) -> bool:
        """Whether servers that know nothing of earlier attempts may get this request.

        An unsafe request is refused only if no attempt can have run. Of a keyed one it must be proven of
        every attempt.
        """
        cls = self._classes.get(held.call.class_name)
        if cls is None or cls.effect is not api.Effect.KEYED:
            return cls is not None
        return held.attempts == self._never_ran.get(held.id, 0)

    def _on_attempt_ended(
        self, held: PendingRequest, key: tuple[int, int], ended: AttemptResult, elapsed_us: int
    ) -> None:
        if ended.outcome in api.NEVER_RAN and held.id in self._pending:
            self._never_ran[held.id] = self._never_ran.get(held.id, 0) + 1
        super()._on_attempt_ended(held, key, ended, elapsed_us)

    def _finish(self, held: PendingRequest, answer: FinalAnswer) -> bool:
        crosses_sites = held.id in self.paths or self.forwarder is not None
        if crosses_sites and isinstance(answer, Refused) and not self._safe_elsewhere(held):
            # A refusal tells the caller that a repeat is safe. Servers that have the key drop a repeat only
            # within this site, and a repeat may reach another site.
            answer = Failed()
        return super()._finish(held, answer)

    def _remove_pending(self, held: PendingRequest) -> bool:
        self.paths.pop(held.id, None)
        self._never_ran.pop(held.id, None)
        ended = super()._remove_pending(held)
        cancel = self._forwarded.pop(held.id, None)
        if cancel is not None:
            cancel()
        return ended

    def close(self) -> None:
        """Close this agent and its forwarder."""
        super().close()
        if self.forwarder is not None:
            self.forwarder.close()


class Gateway:
    """The agent of the listener for requests from partner sites.

    It admits what the terms allow, and marks its refusals as proof that nothing ran.
    """

    def __init__(self, agent: ForwardingAgent, border: Border, passage: Admission, keys: Keys) -> None:
        self._agent = agent
        self._border = border
        self._admission = passage
        self._keys = keys
        self._count = 0
        self._cancel_by_id: dict[int, Callable[[], None]] = {}  # cancels an admitted request
        self._uploads: dict[int, PendingRequest] = {}  # the agent's requests whose bodies are still arriving
        self._offers: dict[int, str] = {}

    @property
    def longest_deadline_us(self) -> int:
        """The longest deadline of any request class, in microseconds."""
        return self._agent.longest_deadline_us

    @property
    def events(self) -> EventCounter:
        """The event counter of the agent."""
        return self._agent.events

    def request_class(self, name: str) -> api.RequestClass | None:
        """Return the request class of this name, or None if there is none."""
        return self._agent.request_class(name)

    def has_seen(self, call: Call) -> bool:
        """Return False: callers of different sites may use the same request ids."""
        return False

    def body_paused(self, held: PendingRequest) -> None:
        """Tell the agent that the body of a request is not read for a while."""
        inner = self._uploads.get(held.id)
        if inner is not None:
            self._agent.body_paused(inner)

    def body_received(self, held: PendingRequest) -> None:
        """Tell the agent that the body of a request has arrived completely."""
        inner = self._uploads.pop(held.id, None)
        if inner is not None:
            self._agent.body_received(inner)

    def abandon(self, held: PendingRequest) -> None:
        """Cancel a request whose answer is no longer wanted."""
        cancel = self._cancel_by_id.pop(held.id, None)
        self._release(held.id)
        if cancel is not None:
            cancel()

    def fail(self, held: PendingRequest) -> None:
        """Answer a request as failed and cancel it at the agent."""
        cancel = self._cancel_by_id.pop(held.id, None)
        self._finish(held, Failed())
        if cancel is not None:
            cancel()

    def submit(self, call: Call) -> PendingRequest:
        """Admit a request from a partner site, or refuse it."""
        self._count += 1
        outer = PendingRequest(self._count, call, asyncio.get_running_loop().create_future())
        fields = {name.lower(): value for name, value in call.payload.headers}
        path = parse_path(fields.get(INTERNAL_HEADERS[0], b"").decode("latin-1"))
        now = now_us()
        border = self._border
        routes = border.best_routes(call.class_name, now, path) if path else ()
        decision = self._admission.admit(
            self._partner(path, fields.get(INTERNAL_HEADERS[1], b"")), path, call.class_name, border.partners,
            border.offers(now), bool(routes) and call.upload is None, now,
        )  # fmt: skip
        if isinstance(decision, Rejected):
            outer.answer.set_result(refusal_answer(decision))
            return outer
        assert path is not None
        if decision.offer is not None:
            self._offers[outer.id] = decision.offer
        self._admit(outer, path, decision)
        return outer

    def _admit(self, outer: PendingRequest, path: tuple[str, ...], decision: Admitted) -> None:
        call, agent = outer.call, self._agent
        payload: Payload = call.payload
        # Requests from two sites may have the same id; with a new one they are not taken for one request.
        inner_call = replace(
            call, client_id=b"%s %d" % (path[-1].encode(), outer.id),
            payload=replace(payload, headers=_without_internal(payload.headers)),
        )  # fmt: skip
        if decision.offer is None:
            self._pass_through(outer, inner_call, path)
            return
        number = agent.requests_taken + 1
        # Before the agent decides: where it may forward the request depends on the path.
        agent.paths[number] = path
        inner = agent.submit(inner_call)
        if inner.answer.done():
            agent.paths.pop(number, None)
            self._done(outer, inner.answer.result())
            return
        self._cancel_by_id[outer.id] = lambda: agent.abandon(inner)
        if call.upload is not None:
            self._uploads[outer.id] = inner
        inner.on_answered = lambda: self._done(outer, inner.answer.result())

    def _pass_through(self, outer: PendingRequest, call: Call, path: tuple[str, ...]) -> None:
        """Forward a request that is in transit to another site, without this site's servers."""
        forwarder = self._agent.forwarder

        def done(final: FinalAnswer) -> None:
            self._finish(outer, rejection(final.retry_after_us) if isinstance(final, Refused) else final)

        cancel = None if forwarder is None else forwarder.send(call, path, call.budget_us, done)
        if cancel is None:
            self._finish(outer, rejection(FULL_RETRY_US))
        else:
            self._cancel_by_id[outer.id] = cancel

    def _partner(self, path: tuple[str, ...] | None, ticket: bytes) -> str | None:
        if not path:
            return None
        try:
            shown = base64.b64decode(ticket, validate=True)
        except (binascii.Error, ValueError):
            return None
        return path[-1] if self._keys.check_ticket(path[-1], shown) else None

    def _release(self, number: int) -> None:
        self._uploads.pop(number, None)
        offer = self._offers.pop(number, None)
        if offer is not None:
            self._admission.finished(offer)

    def _done(self, outer: PendingRequest, final: FinalAnswer) -> None:
        if isinstance(final, Refused):
            final = rejection(final.retry_after_us)
        self._finish(outer, final)

    def _finish(self, outer: PendingRequest, final: FinalAnswer) -> None:
        self._cancel_by_id.pop(outer.id, None)
        self._release(outer.id)
        if not outer.answer.done():
            outer.answer.set_result(final)
            on_answer, outer.on_answered = outer.on_answered, None
            if on_answer is not None:
                on_answer()


def rejection(retry_after_us: int, text: bytes = b"refused\n") -> Answer:
    """Return the answer to a request of which nothing ran, with the time to wait before a retry."""
    return Answer(503, [REJECTED_HEADER, (b"Retry-After", b"%.3f" % (retry_after_us / 1e6))], text)


def refusal_answer(refusal: Rejected) -> Answer:
    """Return the answer to a request that was not admitted, with the reason as its body."""
    return rejection(refusal.retry_after_us, refusal.reason.value.encode() + b"\n")
