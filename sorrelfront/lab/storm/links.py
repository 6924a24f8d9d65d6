"""TCP and UDP relays with faults: all traffic between hosts passes relays that delay, hold, drop or reset it.

A `Link` describes the faults on traffic from `src` to `dst`; a connection has one link for each direction. A
relay listens on an address of the storm in place of the service behind it. It has no logic of its own: it
reads its links whenever bytes arrive or a link is changed.

A cut behaves like a network that drops every packet (RFC 9293, 3.8.1): the sender sees silence, and what it
sent is delivered once the link works again, as if retransmitted. A new connection through a cut link stays
unanswered.
"""

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
MAX_BUFFERED_BYTES = 64 * 1024  # in the relay, for each connection and direction; then its sender waits
MAX_CONNECTIONS = 8_192  # of one relay; further ones are reset
MAX_UDP_SOURCES = 256  # of one relay; the one idle for longest is dropped
MAX_DELAYED_DATAGRAMS = 1_024  # in one relay; further ones are lost
CONNECT_TIMEOUT_S = 5.0  # to the service behind the relay, on the same machine
MAX_DELAY_SAMPLES = 50_000  # of the relay's own delay; the latest are kept
# Socket buffer: a burst of large datagrams is to be lost by the link, not by the kernel.
DATAGRAM_BUFFER = 4 * 1024 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with which close() sends a reset (socket(7))
NO_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(slots=True)
class Link:
    """The faults on traffic from one host to another. Times in seconds, probabilities from 0 to 1."""

    src: str
    dst: str
    cut: bool = False  # nothing passes
    refuse: bool = False  # new connections are refused
    delay: float = 0.0
    spread: float = 0.0  # extra delay, drawn evenly up to this; a connection's bytes keep their order
    loss: float = 0.0  # probability that a datagram is lost
    double: float = 0.0  # probability that a datagram is duplicated
    reorder: float = 0.0  # probability that a datagram is held back until the next one has passed
    rate: float = 0.0  # bytes a second; 0: unlimited
    free_at: float = field(default=0.0, repr=False)  # when a rate-limited link has passed all earlier bytes

    def due(self, now: float, size: int, rng: np.random.Generator) -> float:
        """Return when `size` bytes that are sent now arrive at the other end, in monotonic seconds."""
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
    """The host behind a connection that a service accepted from a relay."""

    host: str
    sent_at: float  # of its latest bytes, in monotonic seconds, when they reached the relay


class Network:
    """All links of one storm and the relays on them."""

    def __init__(self, rng: np.random.Generator) -> None:
        """Create a network without links or relays; `rng` decides on losses and delays."""
        self.rng = rng
        self.links: dict[tuple[str, str], Link] = {}
        self.relays: list[TcpRelay | UdpRelay] = []
        # Seconds that undelayed bytes spent in a relay.
        self.own_delays: deque[float] = deque(maxlen=MAX_DELAY_SAMPLES)
        self.refused = 0  # connections over a relay's limit or without a file descriptor
        self.connections: dict[Address, _RelayedConnection] = {}  # by the relay's own address

    def link(self, src: str, dst: str) -> Link:
        """Return the link from `src` to `dst`; it is created without faults if there is none."""
        return self.links.setdefault((src, dst), Link(src, dst))

    def change(self, pairs: Iterable[tuple[str, str]], **fields: Any) -> None:
        """Set these fields on the links of these pairs, and have the relays apply them."""
        changed = set(pairs)
        for src, dst in changed:
            link = self.link(src, dst)
            for name, value in fields.items():
                assert name in FIELDS
                setattr(link, name, value)
        for relay in self.relays:
            if relay.carries(changed):
                relay.apply_links()

    def reset(self, pairs: Iterable[tuple[str, str]]) -> int:
        """Reset every connection between these hosts on both sides at once; return how many."""
        wanted = set(pairs)
        return sum(relay.reset(wanted) for relay in self._tcp(wanted))

    def leave_half_open(self, pairs: Iterable[tuple[str, str]]) -> int:
        """Leave every connection between these hosts half open for good; return how many.

        Each side takes the connection to be open, but nothing passes any more.
        """
        wanted = set(pairs)
        return sum(relay.forget(wanted) for relay in self._tcp(wanted))

    def _tcp(self, wanted: set[tuple[str, str]]) -> list[TcpRelay]:
        return [item for item in self.relays if isinstance(item, TcpRelay) and item.carries(wanted)]

    def origin(self, peer: Address) -> Origin | None:
        """Return the host behind the connection that a service sees from `peer`, or None."""
        connection = self.connections.get(peer)
        return None if connection is None else Origin(connection.src, connection.sent_at)

    def figures(self) -> dict[str, float]:
        """Return the relays' own delay in microseconds, measured on bytes that no link delayed."""
        if not self.own_delays:
            return {"relayed": 0, "relay_p50_us": 0.0, "relay_p99_us": 0.0}
        p50, p99 = np.percentile(np.fromiter(self.own_delays, float), [50, 99]) * 1e6
        return {
            "relayed": len(self.own_delays), "relay_p50_us": round(float(p50), 1),
            "relay_p99_us": round(float(p99), 1),
        }  # fmt: skip

    def close(self) -> None:
        """Close all relays and their connections."""
        for relay in self.relays:
            relay.close()


class _Endpoint(asyncio.Protocol):
    """One side of a relayed connection, with the queue of bytes from it to the other side."""

    def __init__(self, connection: _RelayedConnection, link: Link) -> None:
        self.connection = connection
        self.link = link
        self.other: _Endpoint = self
        self.transport: asyncio.Transport | None = None
        self.full = False  # the kernel's send buffer to this side is full
        self.waiting: deque[tuple[float, bytes | None]] = deque()  # time due and data; None: end of stream
        self.buffered = 0
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
        connection = self.connection
        if connection.half_open:
            return
        received_at = time.monotonic()
        if self is connection.client_side:
            connection.sent_at = received_at
            if connection.relay.on_client_data is not None:
                connection.relay.on_client_data(connection.number, data)
        due = self.link.due(received_at, len(data), connection.relay.network.rng)
        other = self.other
        if (
            due <= received_at
            and not self.waiting
            and not self.link.cut
            and not other.full
            and other.transport
        ):
            self._pass(data)
            connection.relay.network.own_delays.append(time.monotonic() - received_at)
            return
        self._last_due = max(due, self._last_due)
        self.waiting.append((self._last_due, data))
        self.buffered += len(data)
        # A fast sender on a rate-limited or cut link has to wait, as it would on a real network.
        if self.buffered > MAX_BUFFERED_BYTES and not self._paused and self.transport is not None:
            self._paused = True
            self.transport.pause_reading()
        self.pump()

    def _pass(self, data: bytes) -> None:
        assert self.other.transport is not None
        other_ended = self.other._ended
        self.other.transport.write(data)
        # Data for the client after the client's own end is not read any more: the client has closed.
        if (
            self.connection.relay.on_service_data is not None
            and self is self.connection.service_side
            and not other_ended
        ):
            self.connection.relay.on_service_data(self.connection.number, data)

    def eof_received(self) -> bool:
        self._end()
        return True  # keep the transport: the other direction stays open (half-close)

    def connection_lost(self, fault: Exception | None) -> None:
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        if fault is not None:
            self.connection.broken = True
        self._end()
        self.connection.lost(self)

    def _end(self) -> None:
        if self._ended or self.connection.half_open:
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
        """Forward the bytes that are due, in order."""
        now = time.monotonic()
        other = self.other
        while self.waiting and not self.link.cut and not other.full and other.transport is not None:
            due, data = self.waiting[0]
            if due > now:
                self._schedule_pump(due - now)
                break
            self.waiting.popleft()
            if data is None:
                if self.connection.broken:
                    _reset(other.transport)
                elif other.transport.can_write_eof():
                    with contextlib.suppress(OSError):  # already reset; connection_lost follows
                        other.transport.write_eof()
                continue
            self.buffered -= len(data)
            self._pass(data)
        if self._paused and self.buffered <= MAX_BUFFERED_BYTES // 2 and self.transport is not None:
            self._paused = False
            self.transport.resume_reading()
        self.connection.settle()

    def _schedule_pump(self, delay: float) -> None:
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
    """Close the transport with a reset, discarding what the kernel still has to send."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


class _RelayedConnection:
    """A connection from a client to the relay, and the relay's connection to the service."""

    def __init__(self, relay: TcpRelay, number: int, src: str) -> None:
        network = relay.network
        self.relay = relay
        self.number = number
        self.src = src
        self.client_side = _Endpoint(self, network.link(src, relay.dst))
        self.service_side = _Endpoint(self, network.link(relay.dst, src))
        self.client_side.other, self.service_side.other = self.service_side, self.client_side
        self.sent_at = time.monotonic()
        self.half_open = False  # left half open for good
        self.broken = False  # ended by a reset
        self.opening: asyncio.Task[None] | None = None
        self._local_address: Address | None = None

    async def open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self.client_side, sock)
        except OSError:
            sock.close()
            self.relay.discard_connection(self)
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                ours, _ = await loop.create_connection(
                    lambda: self.service_side, *self.relay.target, local_addr=(self.relay.target[0], 0)
                )
        except OSError:
            # The client sees a reset here, where the service itself would have refused the connection.
            if self.client_side.transport is not None:
                _reset(self.client_side.transport)
            return
        local_address: Address = ours.get_extra_info("sockname")
        self._local_address = local_address
        self.relay.network.connections[local_address] = self
        if self.client_side.transport is None:
            self.client_side.pump()

    def lost(self, end: _Endpoint) -> None:
        self.settle()

    def settle(self) -> None:
        """Close sides that cannot receive anything more, and drop the connection once both are closed."""
        for end in (self.client_side, self.service_side):
            if end._ended and not end.waiting and end.transport is None and end.other.transport is not None:
                # This side is closed, and everything that it sent has been forwarded.
                if self.broken:
                    _reset(end.other.transport)
                elif end.other._ended or not end.other.transport.can_write_eof():
                    end.other.transport.close()
        both_ended = (
            self.client_side._ended
            and self.service_side._ended
            and not self.client_side.waiting
            and not self.service_side.waiting
        )
        for end in (self.client_side, self.service_side):
            if both_ended and end.transport is not None:
                end.transport.close()
        if (
            self.client_side.transport is None
            and self.service_side.transport is None
            and (self.opening is None or self.opening.done())
        ):
            self.relay.discard_connection(self)

    def reset(self) -> None:
        self.broken = True
        for end in (self.client_side, self.service_side):
            end.waiting.clear()
            if end.transport is not None:
                _reset(end.transport)

    def stop(self) -> None:
        if self.opening is not None:
            self.opening.cancel()
        for end in (self.client_side, self.service_side):
            end.stop()


class TcpRelay:
    """Listens on an address of `dst` for connections from `src`, and forwards them to the service."""

    def __init__(
        self,
        network: Network,
        src: str,
        dst: str,
        target: Address,
        on_service_data: Callable[[int, bytes], None] | None = None,
        hosts: dict[str, str] | None = None,
        address: Address | None = None,
    ) -> None:
        """Start to listen, and add the relay to the network.

        `on_service_data` is called with the number of a connection and the bytes that `src` was sent on it.
        With `hosts` (names by address) the relay serves all hosts, identified by the source address of their
        connections; a cut then holds a new connection open and silent, because the hosts share one accept
        queue in the kernel.
        """
        self.network = network
        self.src, self.dst = src, dst
        self.target = target
        self.on_service_data = on_service_data
        # Called with the number of a connection and the bytes that `src` sends on it, as they arrive.
        self.on_client_data: Callable[[int, bytes], None] | None = None
        self.address: Address = address or (target[0], 0)
        self._hosts = hosts
        self.down = False  # the service behind it does not listen
        self.accepted = 0
        self._connections: set[_RelayedConnection] = set()
        self._sock: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._listen()
        network.relays.append(self)

    def carries(self, pairs: set[tuple[str, str]]) -> bool:
        """Return whether the relay forwards traffic of one of these pairs of hosts."""
        if self._hosts is not None:
            return any(self.dst in pair for pair in pairs)
        return (self.src, self.dst) in pairs or (self.dst, self.src) in pairs

    @property
    def open(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def _listen(self) -> None:
        self._sock = socket.create_server(self.address, backlog=BACKLOG)
        self._sock.setblocking(False)
        self.address = self._sock.getsockname()
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(64):  # then other callbacks of the loop run
            if self._sock is None:
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as fault:
                if fault.errno in NO_RESOURCES:
                    self.network.refused += 1
                return
            self._relay_accepted(sock)

    def _relay_accepted(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        if len(self._connections) >= MAX_CONNECTIONS:
            self.network.refused += 1
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
            return
        self.accepted += 1
        src = self.src
        if self._hosts is not None:
            try:
                peer = sock.getpeername()[0]
            except OSError:  # already closed by its client
                sock.close()
                return
            src = self._hosts.get(peer, peer)
            if self.network.link(src, self.dst).refuse:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.close()
                return
        connection = _RelayedConnection(self, self.accepted, src)
        self._connections.add(connection)
        task = asyncio.create_task(connection.open(sock))
        connection.opening = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: connection.settle())

    def discard_connection(self, connection: _RelayedConnection) -> None:
        """Drop a connection whose sides are both closed."""
        self._connections.discard(connection)
        if (
            connection._local_address is not None
            and self.network.connections.get(connection._local_address) is connection
        ):
            del self.network.connections[connection._local_address]

    def set_service_listening(self, up: bool) -> None:
        """Set whether the service behind it listens; if not, new connections are refused as by its kernel."""
        self.down = not up
        self.apply_links()

    def apply_links(self) -> None:
        """Apply the current state of the links."""
        forward, reverse = self.network.link(self.src, self.dst), self.network.link(self.dst, self.src)
        one_source = self._hosts is None
        stalled = one_source and (forward.cut or reverse.cut) and not self.down
        if self.down or (one_source and forward.refuse):
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
        for connection in list(self._connections):
            connection.client_side.pump()
            connection.service_side.pump()

    def _stall(self) -> None:
        """Leave new connections unanswered, as if their SYN were lost.

        The accept queue is made as short as possible and filled with connections of the relay itself; the
        kernel then drops further SYNs (listen(2)).
        """
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
                self._relay_accepted(sock)

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

    def _between(self, wanted: set[tuple[str, str]]) -> list[_RelayedConnection]:
        return [
            connection
            for connection in self._connections
            if (connection.src, self.dst) in wanted or (self.dst, connection.src) in wanted
        ]

    def reset(self, wanted: set[tuple[str, str]]) -> int:
        """Reset the connections between these hosts; return how many."""
        connections = self._between(wanted)
        for connection in connections:
            connection.reset()
        return len(connections)

    def forget(self, wanted: set[tuple[str, str]]) -> int:
        """Leave the connections between these hosts half open; return how many."""
        connections = [connection for connection in self._between(wanted) if not connection.half_open]
        for connection in connections:
            connection.half_open = True
            for end in (connection.client_side, connection.service_side):
                end.waiting.clear()
                end.buffered = 0
        return len(connections)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        for filler in self._fillers:
            filler.close()
        for connection in list(self._connections):
            connection.stop()
        for task in self._tasks:
            task.cancel()


class _ReplyProtocol(asyncio.DatagramProtocol):
    """Receives the service's replies to one source and sends them back to it."""

    def __init__(self, relay: UdpRelay, source: Address) -> None:
        self.relay = relay
        self.source = source

    def datagram_received(self, data: bytes, _: Any) -> None:
        relay = self.relay
        link = relay.network.link(relay.dst, relay.host_of(self.source))
        relay.send(link, data, lambda: relay.reply(data, self.source))


class UdpRelay(asyncio.DatagramProtocol):
    """Listens on an address of `dst` for datagrams, and forwards them to the service.

    The sending host is identified by the source address. Datagrams on a cut link are lost, not delivered
    later.
    """

    def __init__(
        self,
        network: Network,
        dst: str,
        target: Address,
        hosts: dict[str, str],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the relay, which `start` opens; `hosts` has the names of hosts by address."""
        self.network = network
        self.dst = dst
        self.target = target
        self.address: Address = (target[0], 0)
        self.lost = 0
        self._hosts = hosts
        self._loop = loop
        self._transport: asyncio.DatagramTransport | None = None
        # By source; the one idle for longest is first.
        self._transports: dict[Address, asyncio.DatagramTransport] = {}
        self._opening: dict[Address, asyncio.Task[None]] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        # By link: the datagram that is held back until the next one has passed.
        self._held_back: dict[tuple[str, str], Callable[[], None]] = {}
        network.relays.append(self)

    async def start(self, address: Address | None = None) -> UdpRelay:
        """Open the socket, at this address or any free port; raises OSError."""
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=address or self.address
        )
        _enlarge_buffers(transport)
        self._transport = transport
        self.address = transport.get_extra_info("sockname")
        return self

    def carries(self, pairs: set[tuple[str, str]]) -> bool:
        """Return whether the relay's service is in one of these pairs of hosts."""
        return any(self.dst in pair for pair in pairs)

    def apply_links(self) -> None:
        """Do nothing: the links are read anew for each datagram."""

    def host_of(self, source: Address) -> str:
        """Return the name of the host with this address, or the IP address itself if it is unknown."""
        return self._hosts.get(source[0], source[0])

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Forward a datagram to the service as the link allows."""
        received_at = time.monotonic()
        link = self.network.link(self.host_of(source), self.dst)
        self.send(link, data, lambda: self._forward(data, source))
        if not link.delay and not link.spread and not link.rate:
            self.network.own_delays.append(time.monotonic() - received_at)

    def send(self, link: Link, data: bytes, deliver: Callable[[], None]) -> None:
        """Lose, duplicate, delay or deliver a datagram as the link says; `deliver` delivers it."""
        rng = self.network.rng
        if link.cut or (link.loss and rng.random() < link.loss):
            self.lost += 1
            return
        for _ in range(2 if link.double and rng.random() < link.double else 1):
            now = time.monotonic()
            due = link.due(now, len(data), rng)
            if due <= now:
                self._pass(link, deliver)
            elif len(self._timers) < MAX_DELAYED_DATAGRAMS:
                self._later(due - now, lambda: self._pass(link, deliver))
            else:
                self.lost += 1

    def _pass(self, link: Link, deliver: Callable[[], None]) -> None:
        key = (link.src, link.dst)
        earlier = self._held_back.pop(key, None)
        if earlier is None and link.reorder and self.network.rng.random() < link.reorder:
            self._held_back[key] = deliver
            self._later(0.05, lambda: self._release(key, deliver))  # if no other datagram follows
            return
        deliver()
        if earlier is not None:
            earlier()

    def _release(self, key: tuple[str, str], deliver: Callable[[], None]) -> None:
        if self._held_back.get(key) is deliver:
            del self._held_back[key]
            deliver()

    def _later(self, delay: float, action: Callable[[], None]) -> None:
        def run() -> None:
            self._timers.discard(timer)
            action()

        timer = self._loop.call_later(delay, run)
        self._timers.add(timer)

    def _forward(self, data: bytes, source: Address) -> None:
        transport = self._transports.pop(source, None)
        if transport is not None:
            self._transports[source] = transport
            transport.sendto(data)
        elif source not in self._opening and len(self._opening) < MAX_UDP_SOURCES:
            task = self._loop.create_task(self._open(data, source))
            self._opening[source] = task
            task.add_done_callback(lambda _: self._opening.pop(source, None))
        else:
            self.lost += 1

    async def _open(self, data: bytes, source: Address) -> None:
        try:
            transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _ReplyProtocol(self, source), local_addr=(self.target[0], 0), remote_addr=self.target
            )
        except OSError:
            self.lost += 1
            return
        _enlarge_buffers(transport)
        if len(self._transports) >= MAX_UDP_SOURCES:
            self._transports.pop(next(iter(self._transports))).close()
        self._transports[source] = transport
        transport.sendto(data)

    def reply(self, data: bytes, source: Address) -> None:
        """Send a reply of the service to the source."""
        if self._transport is not None:
            self._transport.sendto(data, source)

    def close(self) -> None:
        """Cancel delayed datagrams and close all sockets."""
        for timer in self._timers:
            timer.cancel()
        for task in list(self._opening.values()):
            task.cancel()
        for transport in self._transports.values():
            transport.close()
        if self._transport is not None:
            self._transport.close()


def _enlarge_buffers(transport: asyncio.DatagramTransport) -> None:
    sock = transport.get_extra_info("socket")
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, DATAGRAM_BUFFER)
