"""Requests that go on to partner sites, and those that come from them.

An agent with a border serves what it can by its own servers. What its own decisions turn away, and what no
attempt can have run of, goes over the border if a route permits it: a balancer like the agent's own picks
among the gateways. It is called off and answered like any other, once."""

from __future__ import annotations

import asyncio
import base64
import binascii
import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from sorrelfront.agent import DEADLINE_MARGIN_US, OVERDUE_US, Agent, Held
from sorrelfront.agent import Upstream as AnyUpstream
from sorrelfront.decisions import interface as api
from sorrelfront.decisions.sites.passage import FULL_US, Away, In, Passage, parse_path
from sorrelfront.decisions.sites.routes import Border, Route
from sorrelfront.events import EventCounter
from sorrelfront.lists import parse_address
from sorrelfront.messages import Address, Answer, Call, Ended, Failed, Final, Headers, Refused, Update
from sorrelfront.net.http import Payload
from sorrelfront.sites.carrier import now_us
from sorrelfront.sites.keys import Keys
from sorrelfront.terms import Config

PATH = b"X-Sorrelfront-Path"
PASS = b"X-Sorrelfront-Pass"
OURS = (PATH.lower(), PASS.lower())
KEYS_MOST = 65_536  # that are remembered for their window; the oldest goes
LANES_MOST = 32  # balancers over gateways, one for each set of them that is in use
# A way that is shorter than this is not worth a request: it would come too late to be served.
LEFT_LEAST_US = 10_000
REJECTED = (b"X-Rejected", b"1")  # proof to the one that sent it that nothing ran


class _Passes:
    """An upstream that shows each gateway this site's ticket there."""

    def __init__(self, upstream: AnyUpstream) -> None:
        self._upstream = upstream
        self.tickets: dict[Address, bytes] = {}

    def _with_pass(self, call: Call, address: Address) -> Call:
        payload: Payload = call.payload
        headers = [*payload.headers, (PASS, base64.b64encode(self.tickets.get(address, b"")))]
        return replace(call, payload=replace(payload, headers=headers))

    def begin(
        self,
        call: Call,
        address: Address,
        timeout_us: int,
        fit: Callable[[], bool],
        done: Callable[[Ended], None],
    ) -> Any:
        return self._upstream.begin(self._with_pass(call, address), address, timeout_us, fit, done)

    async def attempt(self, call: Call, address: Address, timeout_us: int, fit: Callable[[], bool]) -> Ended:
        return await self._upstream.attempt(self._with_pass(call, address), address, timeout_us, fit)

    def forget(self, address: Address) -> None:
        self._upstream.forget(address)

    def reload(self, config: Config) -> None:
        pass  # it is the agent's, which tells it

    def close(self) -> None:
        pass


class _Gateways:
    """A membership source whose list follows from routes."""

    def __init__(self, on_update: Callable[[Update], None]) -> None:
        self._on_update = on_update
        self._known = Update(0, True, (), {})

    def tell(self, backends: tuple[api.Backend, ...], addresses: dict[str, Address]) -> None:
        self._known = Update(self._known.revision + 1, True, backends, addresses)
        self._on_update(self._known)

    def subscribe(self) -> None:
        self._on_update(self._known)

    def reload(self, config: Config) -> None:
        pass

    def close(self) -> None:
        pass


def group_of(route: Route) -> str:
    """Who drops repeats of a key there: those that the owner names, or the gateway's own servers."""
    return route.group or f"{route.id.owner}/{route.id.gateway}"


class _Lane:
    """One balancer over some gateways."""

    def __init__(self, config: Config, upstream: _Passes) -> None:
        self.routes: tuple[Route, ...] = ()
        self.source: _Gateways | None = None
        self.agent = Agent(config, upstream, self._source)
        self.agent.start()

    def _source(self, config: Config, on_update: Any, on_failure: Any) -> _Gateways:
        self.source = _Gateways(on_update)
        return self.source

    def go_by(self, routes: tuple[Route, ...]) -> None:
        self.routes = routes
        backends, addresses = [], {}
        for route in routes:
            name = f"{route.partner}@{route.peer}"
            if name not in addresses:
                # Attempts of a keyed request that may have run stay in one group, which is a zone here.
                backends.append(
                    api.Backend(name, group_of(route), "gateway", 0, weight=float(route.capacity))
                )
                addresses[name] = parse_address(route.place)
        assert self.source is not None
        self.source.tell(tuple(backends), addresses)


def lane_config(config: Config) -> Config:
    """What a lane goes by: the agent's terms, its servers being gateways that are pushed, and groups that
    drop repeats of keys being zones."""
    classes = tuple(
        replace(cls, scope=api.Scope.ZONE) if cls.effect is api.Effect.KEYED else cls
        for cls in config.settings.classes
    )
    settings = replace(config.settings, classes=classes, subscribe=False, number=0, agents=1)
    return replace(config, settings=settings, known=Update(0, True, (), {}))


class Outward:
    """Sends requests over the border."""

    def __init__(self, border: Border, config: Config, upstream: AnyUpstream) -> None:
        self.border = border
        self.counts = dict.fromkeys(
            ("sent", "served", "refused", "failed", "no_way", "no_time", "no_lane"), 0
        )
        self._config = lane_config(config)
        self._passes = _Passes(upstream)
        self._lanes: list[_Lane] = []

    def reload(self, config: Config) -> None:
        self._config = lane_config(config)
        for lane in self._lanes:
            lane.agent.reload(self._config)

    def changed(self) -> None:
        """The table may be another: gateways that no route leads to any more are sent nothing new. Risk: a
        further attempt of a request under way would go by a route that is gone."""
        self._passes.tickets = {
            parse_address(peer.place): peer.ticket for peer in self.border.peers.values() if peer.place
        }
        now = now_us()
        for lane in self._lanes:
            if lane.routes:
                live = tuple(route for route in lane.routes if self.border.holds(route, now))
                if live != lane.routes:
                    lane.go_by(live)

    def groups(self, cls: str, path: tuple[str, ...]) -> set[str]:
        """Who drops repeats of a key beyond the border, by the routes that are in use."""
        return {group_of(route) for route in self.border.ways(cls, now_us(), path)}

    def send(
        self,
        call: Call,
        path: tuple[str, ...],
        left_us: int,
        done: Callable[[Final], None],
        group: str | None = None,
    ) -> Callable[[], None] | None:
        """Send it on, if a route permits it and there is time. `path`: sites that it came through. `group`:
        only to these. `done` is called once with the final answer, unless it is called off by what is
        returned. None: nothing was sent."""
        ways = self.border.ways(call.class_name, now_us(), path)
        if group is not None:
            ways = tuple(route for route in ways if group_of(route) == group)
        if not ways or call.upload is not None:
            self.counts["no_way"] += 1
            return None
        way_us = max(self.border.peers[route.peer].way_us for route in ways)
        if left_us - way_us < LEFT_LEAST_US:
            self.counts["no_time"] += 1
            return None
        lane = self._lane(ways)
        if lane is None:
            self.counts["no_lane"] += 1
            return None
        self.counts["sent"] += 1
        return self._take(lane.agent, _on_its_way(call, (*path, self.border.site), left_us - way_us), done)

    def _take(self, agent: Agent, call: Call, done: Callable[[Final], None]) -> Callable[[], None]:
        held = agent.take(call)
        wanted = [True]

        def told() -> None:
            if not wanted:
                return
            wanted.clear()
            final = held.answer.result()
            refused = isinstance(final, Refused)
            self.counts["refused" if refused else "failed" if isinstance(final, Failed) else "served"] += 1
            done(final)

        def call_off() -> None:
            wanted.clear()
            agent.abandon(held)

        if held.answer.done():
            # Not within the caller's step: it has yet to note that the request is under way.
            asyncio.get_running_loop().call_soon(told)
        else:
            held.told = told
        return call_off

    def _lane(self, ways: tuple[Route, ...]) -> _Lane | None:
        wanted = {(route.peer, route.place) for route in ways}
        for lane in self._lanes:
            if {(route.peer, route.place) for route in lane.routes} == wanted:
                return lane
        idle = next((lane for lane in self._lanes if not lane.agent.owed and not lane.agent.attempts), None)
        if len(self._lanes) < LANES_MOST:
            idle = _Lane(self._config, self._passes)
            self._lanes.append(idle)
        if idle is not None:
            idle.go_by(ways)
        return idle

    def close(self) -> None:
        for lane in self._lanes:
            lane.agent.close()


def _key(call: Call) -> bytes:
    """By which servers drop repeats of it; empty if they do not."""
    for name, value in call.payload.headers:
        if name.lower() == b"idempotency-key":
            return bytes(value)
    return b""


def _on_its_way(call: Call, path: tuple[str, ...], budget_us: int) -> Call:
    payload: Payload = call.payload
    headers = [*_without(payload.headers), (PATH, ",".join(path).encode())]
    return replace(call, budget_us=budget_us, payload=replace(payload, headers=headers))


def _without(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    return [(name, value) for name, value in headers if name.lower() not in OURS]


class BorderAgent(Agent):
    """With `outward` set, what its own servers cannot serve goes over the border; without, it is an agent
    like any other."""

    outward: Outward | None = None

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self._outside: dict[int, Callable[[], None]] = {}  # requests under way beyond the border
        self.paths: dict[int, tuple[str, ...]] = {}  # of requests that came from partners
        self._never_ran: dict[int, int] = {}  # request -> attempts of which that is proven
        # Keys of requests that may have run -> in which group ("" for this site's servers), until when, and
        # by which request.
        self._keys: OrderedDict[bytes, tuple[str, float, int]] = OrderedDict()

    def reload(self, config: Config) -> None:
        super().reload(config)
        if self.outward is not None:
            self.outward.reload(config)

    def left_us(self, held: Held) -> int:
        """Until its answer is due."""
        if held.overdue is None:
            return 0
        return int((held.overdue.when() - self._loop.time()) * 1e6) - OVERDUE_US

    def _answer(self, request_id: int, answer: Final) -> None:
        held = self._held.get(request_id)
        if held is not None and isinstance(answer, Refused) and self._goes_outside(held, answer):
            return
        super()._answer(request_id, answer)

    def _goes_outside(self, held: Held, refused: Refused) -> bool:
        outward = self.outward
        if outward is None or held.id in self._outside:
            return False
        # Risk: an effect twice. A repeat of a key is dropped only by those that remember it, which servers
        # beyond the border do not; a refusal of one that may have run here is no proof for there.
        if not self._harmless_elsewhere(held):
            return False
        key = _key(held.call)
        if key and self._keys.get(key, ("", 0.0, 0))[2] == held.id:
            del self._keys[key]  # none of its own attempts has run
        if key and (held.call.is_retry or self._remembered(key) is not None):
            return False
        return self._send_outside(held, key, None, refused.retry_after_us)

    def _send_outside(self, held: Held, key: bytes, group: str | None, retry_after_us: int) -> bool:
        outward, path = self.outward, self.paths.get(held.id, ())
        if outward is None:
            return False
        if key and group is None:
            # One group, by the key: a repeat has to come to the same one, from another agent too.
            groups = sorted(outward.groups(held.call.class_name, path))
            group = groups[zlib.crc32(key) % len(groups)] if groups else ""

        def done(final: Final) -> None:
            self._outside.pop(held.id, None)
            if isinstance(final, Refused):
                final = Refused(max(final.retry_after_us, retry_after_us))
            self._finish(held, final)

        call_off = outward.send(held.call, path, self.left_us(held), done, group)
        if call_off is None:
            return False
        self._outside[held.id] = call_off
        if key and group:
            self._remember(held, key, group)
        return True

    # Keys

    def _remember(self, held: Held, key: bytes, group: str) -> None:
        """An attempt of this key may run in this group. Risk: a caller that repeats it is served by others,
        who do not know of it."""
        cls = self._classes.get(held.call.class_name)
        until = self._loop.time() + (0 if cls is None else cls.dedup_window_us) / 1e6
        self._keys.setdefault(key, (group, until, held.id))
        while len(self._keys) > KEYS_MOST:
            self._keys.popitem(last=False)

    def _remembered(self, key: bytes) -> str | None:
        now = self._loop.time()
        while self._keys and next(iter(self._keys.values()))[1] <= now:
            self._keys.popitem(last=False)
        known = self._keys.get(key)
        return None if known is None or known[1] <= now else known[0]

    def take(self, call: Call) -> Held:
        key = _key(call) if self.outward is not None else b""
        group = self._remembered(key) if key else None
        if not group:
            return super().take(call)
        # It has gone over the border before, and may have run there.
        self._count += 1
        held = Held(self._count, call, self._loop.create_future())
        self._held[held.id] = held
        self._open_ids.add(call.client_id)
        left_us = call.budget_us - DEADLINE_MARGIN_US
        held.overdue = self._loop.call_later((left_us + OVERDUE_US) / 1e6, self._overdue, held)
        if not self._send_outside(held, key, group, 0):
            self._finish(held, Failed())
        return held

    def _send(self, action: api.Send) -> None:
        held = self._held.get(action.request_id)
        key = _key(held.call) if held is not None and self.outward is not None else b""
        if held is not None and key:
            self._remember(held, key, "")
        super()._send(action)

    def _harmless_elsewhere(self, held: Held) -> bool:
        """Whether servers that know nothing of this one's attempts may have it: an unsafe request is refused
        only if none can have run; of a keyed one that has to be known as well."""
        cls = self._classes.get(held.call.class_name)
        if cls is None or cls.effect is not api.Effect.KEYED:
            return cls is not None
        return held.attempts == self._never_ran.get(held.id, 0)

    def _ended(self, held: Held, key: tuple[int, int], ended: Ended, elapsed_us: int) -> None:
        if ended.outcome in api.NEVER_RAN and held.id in self._held:
            self._never_ran[held.id] = self._never_ran.get(held.id, 0) + 1
        super()._ended(held, key, ended, elapsed_us)

    def _finish(self, held: Held, answer: Final) -> bool:
        away = held.id in self.paths or self.outward is not None
        if away and isinstance(answer, Refused) and not self._harmless_elsewhere(held):
            # A refusal says that a repeat does no harm. That those who have it would drop it is so in this
            # site alone, and a repeat may come to another.
            answer = Failed()
        return super()._finish(held, answer)

    def _end(self, held: Held) -> bool:
        self.paths.pop(held.id, None)
        self._never_ran.pop(held.id, None)
        ended = super()._end(held)
        call_off = self._outside.pop(held.id, None)
        if call_off is not None:
            call_off()
        return ended

    def close(self) -> None:
        super().close()
        if self.outward is not None:
            self.outward.close()


class Gateway:
    """What a listener for partners' requests takes for its agent: lets in what the terms allow, and says of
    what it turns away that nothing ran."""

    def __init__(self, agent: BorderAgent, border: Border, passage: Passage, keys: Keys) -> None:
        self._agent = agent
        self._border = border
        self._passage = passage
        self._keys = keys
        self._count = 0
        self._call_off: dict[int, Callable[[], None]] = {}  # of requests that are inside
        self._uploads: dict[int, Held] = {}  # as the agent holds those whose bodies still come
        self._offers: dict[int, str] = {}

    @property
    def longest_deadline_us(self) -> int:
        return self._agent.longest_deadline_us

    @property
    def events(self) -> EventCounter:
        return self._agent.events

    def request_class(self, name: str) -> api.RequestClass | None:
        return self._agent.request_class(name)

    def has_open(self, client_id: bytes) -> bool:
        return False  # ids of different sites' callers may be alike

    def whole(self, held: Held) -> None:
        inner = self._uploads.pop(held.id, None)
        if inner is not None:
            self._agent.whole(inner)

    def abandon(self, held: Held) -> None:
        call_off = self._call_off.pop(held.id, None)
        self._left(held.id)
        if call_off is not None:
            call_off()

    def fail(self, held: Held) -> None:
        call_off = self._call_off.pop(held.id, None)
        self._finish(held, Failed())
        if call_off is not None:
            call_off()

    def take(self, call: Call) -> Held:
        self._count += 1
        outer = Held(self._count, call, asyncio.get_running_loop().create_future())
        fields = {name.lower(): value for name, value in call.payload.headers}
        path = parse_path(fields.get(OURS[0], b"").decode("latin-1"))
        now = now_us()
        border = self._border
        ways = border.ways(call.class_name, now, path) if path else ()
        found = self._passage.judge(
            self._partner(path, fields.get(OURS[1], b"")), path, call.class_name, border.partners,
            border.offers(now), bool(ways) and call.upload is None, now,
        )  # fmt: skip
        if isinstance(found, Away):
            outer.answer.set_result(turned_away(found))
            return outer
        assert path is not None
        if found.offer is not None:
            self._offers[outer.id] = found.offer
        self._let_in(outer, path, found)
        return outer

    def _let_in(self, outer: Held, path: tuple[str, ...], found: In) -> None:
        call, agent = outer.call, self._agent
        payload: Payload = call.payload
        # Risk: two sites' callers that name their requests alike would be taken for one.
        own = replace(
            call, client_id=b"%s %d" % (path[-1].encode(), outer.id),
            payload=replace(payload, headers=_without(payload.headers)),
        )  # fmt: skip
        if found.offer is None:
            self._through(outer, own, path)
            return
        number = agent.offered + 1
        agent.paths[number] = path  # before it is decided: where it may go on depends on it
        inner = agent.take(own)
        if inner.answer.done():
            agent.paths.pop(number, None)
            self._done(outer, inner.answer.result())
            return
        self._call_off[outer.id] = lambda: agent.abandon(inner)
        if call.upload is not None:
            self._uploads[outer.id] = inner
        inner.told = lambda: self._done(outer, inner.answer.result())

    def _through(self, outer: Held, call: Call, path: tuple[str, ...]) -> None:
        """On its way to another site: this one's servers have no part in it."""
        outward = self._agent.outward

        def done(final: Final) -> None:
            self._finish(outer, rejected(final.retry_after_us) if isinstance(final, Refused) else final)

        call_off = None if outward is None else outward.send(call, path, call.budget_us, done)
        if call_off is None:
            self._finish(outer, rejected(FULL_US))
        else:
            self._call_off[outer.id] = call_off

    def _partner(self, path: tuple[str, ...] | None, ticket: bytes) -> str | None:
        if not path:
            return None
        try:
            shown = base64.b64decode(ticket, validate=True)
        except (binascii.Error, ValueError):
            return None
        return path[-1] if self._keys.shows(path[-1], shown) else None

    def _left(self, number: int) -> None:
        self._uploads.pop(number, None)
        offer = self._offers.pop(number, None)
        if offer is not None:
            self._passage.left(offer)

    def _done(self, outer: Held, final: Final) -> None:
        if isinstance(final, Refused):
            final = rejected(final.retry_after_us)
        self._finish(outer, final)

    def _finish(self, outer: Held, final: Final) -> None:
        self._call_off.pop(outer.id, None)
        self._left(outer.id)
        if not outer.answer.done():
            outer.answer.set_result(final)
            told, outer.told = outer.told, None
            if told is not None:
                told()


def rejected(retry_after_us: int, text: bytes = b"refused\n") -> Answer:
    """Nothing ran, and when it is worth another try."""
    return Answer(503, [REJECTED, (b"Retry-After", b"%.3f" % (retry_after_us / 1e6))], text)


def turned_away(away: Away) -> Answer:
    return rejected(away.retry_after_us, away.why.value.encode() + b"\n")
