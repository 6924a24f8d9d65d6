"""Links between hosts: whatever one host sends to another passes a relay that can delay, hold, lose or end
it.

A `Link` says what happens to what `src` sends to `dst`; a connection has one for each direction. A relay
stands in the place of the service that it leads to, on addresses of the storm's own, and decides nothing: it
looks at its links whenever bytes come or a link is changed.

What a cut does is what a network does that drops every packet (RFC 9293, 3.8.1): a sender sees silence, and
what it sent passes once the link is whole again, as if sent again. A new connection through a cut link stays
unanswered."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from sorrelfront.messages import Address

BACKLOG = 1_024
HELD_MOST = 64 * 1024  # bytes of one connection and direction that wait in the relay; then its sender waits
PAIRS_MOST = 8_192  # connections of one relay; further ones are reset
SOURCES_MOST = 256  # senders of datagrams that a relay tells apart; the longest silent one is forgotten
DATAGRAMS_MOST = 1_024  # that wait in one direction of one relay; further ones are lost
CONNECT_WITHIN_S = 5.0  # to the service behind the relay, on the same machine
COSTS_MOST = 50_000  # of the relay's own delays that are remembered, the latest
# of the kernel's: a burst of large datagrams is lost by the link, not by it
DATAGRAM_BUFFER = 4 * 1024 * 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER that has close() send a reset (socket(7))
REFUSED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(slots=True)
class Link:
    """What happens to what one host sends to another. Times in seconds, shares from 0 to 1."""

    src: str
    dst: str
    cut: bool = False  # nothing passes
    refuse: bool = False  # new connections are refused
    delay: float = 0.0
    spread: float = 0.0  # up to so much more, drawn evenly; bytes of a connection keep their order
    loss: float = 0.0  # of datagrams
    double: float = 0.0
    reorder: float = 0.0  # share of datagrams that are held back behind later ones
    rate: float = 0.0  # bytes a second; 0: any
    free_at: float = field(default=0.0, repr=False)  # when what was sent before has passed a narrow link

    def due(self, now: float, size: int, rng: np.random.Generator) -> float:
        """When so many bytes, sent now, come out at the other end."""
        if not self.delay and not self.spread and not self.rate:
            return now
        at = now + self.delay + (self.spread * float(rng.random()) if self.spread else 0.0)
        if self.rate:
            self.free_at = max(now, self.free_at) + size / self.rate
            at += self.free_at - now
        return at


FIELDS = ("cut", "refuse", "delay", "spread", "loss", "double", "reorder", "rate")


@dataclass(frozen=True, slots=True)
class Origin:
    """Who sent what a server takes from a relay's connection."""

    host: str
    sent_at: float  # of its latest bytes, in monotonic seconds, when they reached the relay


class Network:
    """All links of one storm and the relays on them."""

    def __init__(self, rng: np.random.Generator) -> None:
        self.rng = rng
        self.links: dict[tuple[str, str], Link] = {}
        self.relays: list[TcpRelay | UdpRelay] = []
        self.costs: deque[float] = deque(maxlen=COSTS_MOST)  # seconds that undelayed bytes spent in a relay
        self.refused = 0  # connections that a relay had no room for
        self.places: dict[Address, _Pair] = {}  # by our address at the service

    def link(self, src: str, dst: str) -> Link:
        return self.links.setdefault((src, dst), Link(src, dst))

    def change(self, pairs: Iterable[tuple[str, str]], **fields: Any) -> None:
        """Have these links be otherwise from now on."""
        changed = set(pairs)
        for src, dst in changed:
            link = self.link(src, dst)
            for name, value in fields.items():
                assert name in FIELDS
                setattr(link, name, value)
        for relay in self.relays:
            if relay.on(changed):
                relay.changed()

    def reset(self, pairs: Iterable[tuple[str, str]]) -> int:
        """End every connection between these hosts at both sides at once. How many."""
        wanted = set(pairs)
        return sum(relay.reset(wanted) for relay in self._tcp(wanted))

    def forget(self, pairs: Iterable[tuple[str, str]]) -> int:
        """Leave every connection between these hosts half open for good: each side believes in it, and
        nothing passes any more. How many."""
        wanted = set(pairs)
        return sum(relay.forget(wanted) for relay in self._tcp(wanted))

    def _tcp(self, wanted: set[tuple[str, str]]) -> list[TcpRelay]:
        return [item for item in self.relays if isinstance(item, TcpRelay) and item.on(wanted)]

    def origin(self, peer: Address) -> Origin | None:
        """Who is behind the connection that a service sees from `peer`."""
        pair = self.places.get(peer)
        return None if pair is None else Origin(pair.src, pair.sent_at)

    def figures(self) -> dict[str, float]:
        """The relays' own delay in microseconds: of the bytes that no link delayed."""
        if not self.costs:
            return {"relayed": 0, "relay_p50_us": 0.0, "relay_p99_us": 0.0}
        p50, p99 = np.percentile(np.fromiter(self.costs, float), [50, 99]) * 1e6
        return {
            "relayed": len(self.costs), "relay_p50_us": round(float(p50), 1),
            "relay_p99_us": round(float(p99), 1),
        }  # fmt: skip

    def close(self) -> None:
        for relay in self.relays:
            relay.close()


class _End(asyncio.Protocol):
    """One side of a relayed connection, and the way from it to the other side."""

    def __init__(self, pair: _Pair, link: Link) -> None:
        self.pair = pair
        self.link = link
        self.other: _End = self
        self.transport: asyncio.Transport | None = None
        self.full = False  # the kernel takes nothing more to this side for now
        self.waiting: deque[tuple[float, bytes | None]] = deque()  # None: the end
        self.held = 0
        self._paused = False
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._last_due = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.other.pump()

    def data_received(self, data: bytes) -> None:
        pair = self.pair
        if pair.silent:
            return
        came = time.monotonic()
        if self is pair.near:
            pair.sent_at = came
            if pair.relay.sent is not None:
                pair.relay.sent(pair.number, data)
        due = self.link.due(came, len(data), pair.relay.network.rng)
        other = self.other
        if due <= came and not self.waiting and not self.link.cut and not other.full and other.transport:
            self._pass(data)
            pair.relay.network.costs.append(time.monotonic() - came)
            return
        self._last_due = max(due, self._last_due)
        self.waiting.append((self._last_due, data))
        self.held += len(data)
        # Risk: a fast sender on a narrow or cut link. Harm: none, a real one would wait as well.
        if self.held > HELD_MOST and not self._paused and self.transport is not None:
            self._paused = True
            self.transport.pause_reading()
        self.pump()

    def _pass(self, data: bytes) -> None:
        assert self.other.transport is not None
        other_ended = self.other._ended
        self.other.transport.write(data)
        # What comes after its own end is read by nobody at the near side: it has closed.
        if self.pair.relay.passed is not None and self is self.pair.far and not other_ended:
            self.pair.relay.passed(self.pair.number, data)

    def eof_received(self) -> bool:
        self._end()
        return True  # the other direction goes on: a half-close

    def connection_lost(self, fault: Exception | None) -> None:
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        if fault is not None:
            self.pair.broken = True
        self._end()
        self.pair.lost(self)

    def _end(self) -> None:
        if self._ended or self.pair.silent:
            return
        self._ended = True
        self.waiting.append((self._last_due, None))
        self.pump()

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self.other.pump()

    def pump(self) -> None:
        """Pass on what is due."""
        now = time.monotonic()
        other = self.other
        while self.waiting and not self.link.cut and not other.full and other.transport is not None:
            due, data = self.waiting[0]
            if due > now:
                self._wake(due - now)
                break
            self.waiting.popleft()
            if data is None:
                if self.pair.broken:
                    _reset(other.transport)
                elif other.transport.can_write_eof():
                    with contextlib.suppress(OSError):  # it was reset a moment ago, and is told in a moment
                        other.transport.write_eof()
                continue
            self.held -= len(data)
            self._pass(data)
        if self._paused and self.held <= HELD_MOST // 2 and self.transport is not None:
            self._paused = False
            self.transport.resume_reading()
        self.pair.settle()

    def _wake(self, delay: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay, self.pump)

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.waiting.clear()
        if self.transport is not None:
            self.transport.abort()


def _reset(transport: asyncio.Transport) -> None:
    """End it by a reset, whatever the kernel still holds to send."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()


class _Pair:
    """A connection at the relay and the one that it made to the service."""

    def __init__(self, relay: TcpRelay, number: int, src: str) -> None:
        network = relay.network
        self.relay = relay
        self.number = number
        self.src = src
        self.near = _End(self, network.link(src, relay.dst))
        self.far = _End(self, network.link(relay.dst, src))
        self.near.other, self.far.other = self.far, self.near
        self.sent_at = time.monotonic()
        self.silent = False  # half open for good
        self.broken = False  # ended by a reset
        self.opening: asyncio.Task[None] | None = None
        self._place: Address | None = None

    async def open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self.near, sock)
        except OSError:
            sock.close()
            self.relay.forget_pair(self)
            return
        try:
            async with asyncio.timeout(CONNECT_WITHIN_S):
                ours, _ = await loop.create_connection(
                    lambda: self.far, *self.relay.target, local_addr=(self.relay.target[0], 0)
                )
        except OSError:
            # Harm: the caller sees a reset where the service itself would have refused the connection.
            if self.near.transport is not None:
                _reset(self.near.transport)
            return
        place: Address = ours.get_extra_info("sockname")
        self._place = place
        self.relay.network.places[place] = self
        if self.near.transport is None:
            self.near.pump()

    def lost(self, end: _End) -> None:
        self.settle()

    def settle(self) -> None:
        """Close what nothing can come from any more, and forget it once both sides are gone."""
        for end in (self.near, self.far):
            if end._ended and not end.waiting and end.transport is None and end.other.transport is not None:
                # Its peer has gone for good, and has all that was sent.
                if self.broken:
                    _reset(end.other.transport)
                elif end.other._ended or not end.other.transport.can_write_eof():
                    end.other.transport.close()
        both_said = self.near._ended and self.far._ended and not self.near.waiting and not self.far.waiting
        for end in (self.near, self.far):
            if both_said and end.transport is not None:
                end.transport.close()
        if (
            self.near.transport is None
            and self.far.transport is None
            and (self.opening is None or self.opening.done())
        ):
            self.relay.forget_pair(self)

    def reset(self) -> None:
        self.broken = True
        for end in (self.near, self.far):
            end.waiting.clear()
            if end.transport is not None:
                _reset(end.transport)

    def stop(self) -> None:
        if self.opening is not None:
            self.opening.cancel()
        for end in (self.near, self.far):
            end.stop()


class TcpRelay:
    """Stands on an address of `dst` for connections that come from `src`."""

    def __init__(
        self,
        network: Network,
        src: str,
        dst: str,
        target: Address,
        passed: Callable[[int, bytes], None] | None = None,
        hosts: dict[str, str] | None = None,
        address: Address | None = None,
    ) -> None:
        """`passed` is called with a connection's number and what `src` has been sent on it. With `hosts`,
        names by addresses, it is for all hosts, each told by where its connections come from; a cut then
        holds a new connection open and silent, since the kernel's queue is one for all."""
        self.network = network
        self.src, self.dst = src, dst
        self.target = target
        self.passed = passed
        # Called with a connection's number and what `src` sends on it, as it comes.
        self.sent: Callable[[int, bytes], None] | None = None
        self.address: Address = address or (target[0], 0)
        self._hosts = hosts
        self.down = False  # nobody listens behind it
        self.accepted = 0
        self._pairs: set[_Pair] = set()
        self._sock: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._listen()
        network.relays.append(self)

    def on(self, pairs: set[tuple[str, str]]) -> bool:
        if self._hosts is not None:
            return any(self.dst in pair for pair in pairs)
        return (self.src, self.dst) in pairs or (self.dst, self.src) in pairs

    @property
    def open(self) -> int:
        return len(self._pairs)

    def _listen(self) -> None:
        self._sock = socket.create_server(self.address, backlog=BACKLOG)
        self._sock.setblocking(False)
        self.address = self._sock.getsockname()
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(64):  # then others have their turn
            if self._sock is None:
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as fault:
                if fault.errno in REFUSED:
                    self.network.refused += 1
                return
            self._take(sock)

    def _take(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        if len(self._pairs) >= PAIRS_MOST:
            self.network.refused += 1
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            return
        self.accepted += 1
        src = self.src
        if self._hosts is not None:
            try:
                peer = sock.getpeername()[0]
            except OSError:  # it has ended already
                sock.close()
                return
            src = self._hosts.get(peer, peer)
            if self.network.link(src, self.dst).refuse:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
                return
        pair = _Pair(self, self.accepted, src)
        self._pairs.add(pair)
        task = asyncio.create_task(pair.open(sock))
        pair.opening = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: pair.settle())

    def forget_pair(self, pair: _Pair) -> None:
        self._pairs.discard(pair)
        if pair._place is not None and self.network.places.get(pair._place) is pair:
            del self.network.places[pair._place]

    def serve(self, up: bool) -> None:
        """Whether anybody listens behind it: if not, connections are refused as by the service's kernel."""
        self.down = not up
        self.changed()

    def changed(self) -> None:
        """Go by the links as they are now."""
        there, back = self.network.link(self.src, self.dst), self.network.link(self.dst, self.src)
        alone = self._hosts is None
        stalled = alone and (there.cut or back.cut) and not self.down
        if self.down or (alone and there.refuse):
            self._unstall()
            if self._sock is not None:
                asyncio.get_running_loop().remove_reader(self._sock.fileno())
                self._sock.close()
                self._sock = None
        elif self._sock is None:
            self._listen()
        if self._sock is not None:
            if stalled and not self._fillers:
                self._stall()
            elif not stalled:
                self._unstall()
        for pair in list(self._pairs):
            pair.near.pump()
            pair.far.pump()

    def _stall(self) -> None:
        """Leave new connections unanswered, as if their first packet were lost: the queue is made as short as
        it can be and filled by connections of our own (listen(2): the kernel then drops what comes)."""
        assert self._sock is not None
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        self._accept_waiting()
        self._sock.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def _accept_waiting(self) -> None:
        own = {item.getsockname() for item in self._fillers}
        while self._sock is not None:
            try:
                sock, peer = self._sock.accept()
            except OSError:
                return
            if peer in own:
                sock.close()
            else:
                self._take(sock)

    def _unstall(self) -> None:
        if not self._fillers:
            return
        if self._sock is not None:
            self._accept_waiting()
            self._sock.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _between(self, wanted: set[tuple[str, str]]) -> list[_Pair]:
        return [
            pair for pair in self._pairs if (pair.src, self.dst) in wanted or (self.dst, pair.src) in wanted
        ]

    def reset(self, wanted: set[tuple[str, str]]) -> int:
        pairs = self._between(wanted)
        for pair in pairs:
            pair.reset()
        return len(pairs)

    def forget(self, wanted: set[tuple[str, str]]) -> int:
        pairs = [pair for pair in self._between(wanted) if not pair.silent]
        for pair in pairs:
            pair.silent = True
            for end in (pair.near, pair.far):
                end.waiting.clear()
                end.held = 0
        return len(pairs)

    def close(self) -> None:
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        for filler in self._fillers:
            filler.close()
        for pair in list(self._pairs):
            pair.stop()
        for task in self._tasks:
            task.cancel()


class _Back(asyncio.DatagramProtocol):
    """Brings what the service answers back to the one who asked."""

    def __init__(self, relay: UdpRelay, source: Address) -> None:
        self.relay = relay
        self.source = source

    def datagram_received(self, data: bytes, _: Any) -> None:
        relay = self.relay
        link = relay.network.link(relay.dst, relay.host_of(self.source))
        relay.send(link, data, lambda: relay.back(data, self.source))


class UdpRelay(asyncio.DatagramProtocol):
    """Stands on an address of `dst` for datagrams; who sent one is told by its source address. What is cut or
    lost is gone."""

    def __init__(
        self,
        network: Network,
        dst: str,
        target: Address,
        hosts: dict[str, str],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """`hosts`: names of hosts by their addresses. Use `start`."""
        self.network = network
        self.dst = dst
        self.target = target
        self.address: Address = (target[0], 0)
        self.lost = 0
        self._hosts = hosts
        self._loop = loop
        self._transport: asyncio.DatagramTransport | None = None
        self._ways: dict[Address, asyncio.DatagramTransport] = {}  # by source, the longest silent first
        self._opening: dict[Address, asyncio.Task[None]] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        self._after: dict[tuple[str, str], Callable[[], None]] = {}  # held back until the next one has gone
        network.relays.append(self)

    async def start(self, address: Address | None = None) -> UdpRelay:
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=address or self.address
        )
        _roomy(transport)
        self._transport = transport
        self.address = transport.get_extra_info("sockname")
        return self

    def on(self, pairs: set[tuple[str, str]]) -> bool:
        return any(self.dst in pair for pair in pairs)

    def changed(self) -> None:
        """Each datagram looks at the links when it comes."""

    def host_of(self, source: Address) -> str:
        return self._hosts.get(source[0], source[0])

    def datagram_received(self, data: bytes, source: Any) -> None:
        came = time.monotonic()
        link = self.network.link(self.host_of(source), self.dst)
        self.send(link, data, lambda: self._forward(data, source))
        if not link.delay and not link.spread and not link.rate:
            self.network.costs.append(time.monotonic() - came)

    def send(self, link: Link, data: bytes, go: Callable[[], None]) -> None:
        """Have the datagram fare as the link has it."""
        rng = self.network.rng
        if link.cut or (link.loss and rng.random() < link.loss):
            self.lost += 1
            return
        for _ in range(2 if link.double and rng.random() < link.double else 1):
            now = time.monotonic()
            due = link.due(now, len(data), rng)
            if due <= now:
                self._pass(link, go)
            elif len(self._timers) < DATAGRAMS_MOST:
                self._later(due - now, lambda: self._pass(link, go))
            else:
                self.lost += 1

    def _pass(self, link: Link, go: Callable[[], None]) -> None:
        key = (link.src, link.dst)
        earlier = self._after.pop(key, None)
        if earlier is None and link.reorder and self.network.rng.random() < link.reorder:
            self._after[key] = go
            self._later(0.05, lambda: self._release(key, go))  # if nothing comes after it
            return
        go()
        if earlier is not None:
            earlier()

    def _release(self, key: tuple[str, str], go: Callable[[], None]) -> None:
        if self._after.get(key) is go:
            del self._after[key]
            go()

    def _later(self, delay: float, then: Callable[[], None]) -> None:
        def run() -> None:
            self._timers.discard(timer)
            then()

        timer = self._loop.call_later(delay, run)
        self._timers.add(timer)

    def _forward(self, data: bytes, source: Address) -> None:
        way = self._ways.pop(source, None)
        if way is not None:
            self._ways[source] = way
            way.sendto(data)
        elif source not in self._opening and len(self._opening) < SOURCES_MOST:
            task = self._loop.create_task(self._open(data, source))
            self._opening[source] = task
            task.add_done_callback(lambda _: self._opening.pop(source, None))
        else:
            self.lost += 1

    async def _open(self, data: bytes, source: Address) -> None:
        try:
            way, _ = await self._loop.create_datagram_endpoint(
                lambda: _Back(self, source), local_addr=(self.target[0], 0), remote_addr=self.target
            )
        except OSError:
            self.lost += 1
            return
        _roomy(way)
        if len(self._ways) >= SOURCES_MOST:
            self._ways.pop(next(iter(self._ways))).close()
        self._ways[source] = way
        way.sendto(data)

    def back(self, data: bytes, source: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, source)

    def close(self) -> None:
        for timer in self._timers:
            timer.cancel()
        for task in list(self._opening.values()):
            task.cancel()
        for way in self._ways.values():
            way.close()
        if self._transport is not None:
            self._transport.close()


def _roomy(transport: asyncio.DatagramTransport) -> None:
    sock = transport.get_extra_info("socket")
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, DATAGRAM_BUFFER)
