"""The HTTP/1.1 front: accepts connections, reads requests, writes answers in the order of the requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import math
import socket
import struct
import time
from collections import OrderedDict
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import Any, Protocol, TypeVar

import h11

from sorrelfront.agent import DEADLINE_MARGIN_US, MIN_UPLOAD_RATE, PendingRequest, discard_answer
from sorrelfront.decisions.interface import RequestClass
from sorrelfront.events import Event, EventCounter
from sorrelfront.fronts.request_head import BadRequest, RejectReason, check_framing, parse_call, path_of
from sorrelfront.messages import Address, Answer, Call, FinalAnswer, Headers, Refused, Stream
from sorrelfront.net.bodies import CLIENT_IDLE_S, UnreadTime, Upload
from sorrelfront.net.budget import (
    MAX_BUFFERED_BODY,
    MAX_STREAMED_BODY,
    MIN_READ_BYTES,
    PIPELINED_REQUEST_BYTES,
    SMALL_BODY,
    USUAL_FIELDS,
    AnswerShare,
    Descriptors,
    MemoryBudget,
    MemoryShare,
    head_bytes,
)
from sorrelfront.net.heads import (
    HEAD_END,
    MAX_HEAD_BYTES,
    RequestHead,
    frame_message,
    has_too_many_fields,
    request_head,
)
from sorrelfront.net.http import (
    MAX_CHUNKS_PER_TURN,
    SOCKET_BUFFER_BYTES,
    Wire,
    frame_events,
)

log = logging.getLogger(__name__)

READY_PATH = b"/health/ready"
MAX_ACCEPTS_PER_WAKEUP = 16  # before the event loop runs other callbacks
# Offsets in the kernel's struct tcp_info, in bytes.
TCPI_UNACKED = 24
TCPI_LAST_DATA_RECV = 52
MIN_ACCEPT_DELAY_MS = 20  # from this wait on, the time in the accept queue is deducted from the budget
BACKLOG_POLL_S = 0.005  # between checks whether the backlog is empty, during shutdown
ACCEPT_RETRY_S = 0.01  # after a failed accept; descriptors are freed as attempts end
BACKLOG = 4096  # a surge waits here; a dropped SYN is resent only after a second
# Requests of one connection that are parsed before other connections have their turn. One read may hold a
# thousand short ones, and readiness checks are answered without a wait.
MAX_REQUESTS_PER_TURN = 8
MAX_PIPELINED = 16  # requests in flight per connection; one more is answered with 429
# From the start of the connection, or the first byte of a request, to its last byte. Clients that only open
# connections may be closed after 2 s, and those that send no complete request must be closed within 3 s.
REQUEST_TIMEOUT_S = 2.4
# A body that arrives at MIN_UPLOAD_RATE or faster may take longer if no pause in it exceeds this.
MAX_BODY_PAUSE_S = 1.0
MIN_COUNTED_WAIT_S = 0.1  # a wait in which a client is not read is counted in the log from here on
# Idle timeout between requests. Without it, clients that send one request and stay would hold a descriptor
# each, here and on their hosts, where descriptors are limited too: a later request would find none. The cost:
# clients with infrequent requests reconnect.
IDLE_S = 2.0
MIN_IDLE_S = 0.1  # no connection is shed before; the client may send its next request at once
IDLE_SHED_SHARE = 0.9  # of the connections allowed for requests; above it the longest idle are shed
SWEEP_S = 0.2  # between checks of all timeouts
MAX_BLANK_BYTES = 64  # empty lines before a request
# A client that takes nothing for this long has stalled. One that reads 7 kB a second takes 64 KiB meanwhile,
# by which the window of a connection over the loopback interface grows.
STALL_S = 10.0
MAX_DISCARD_BYTES = 256 * 1024  # read after the last request, so that no reset destroys its answer
DISCARD_PAUSE_S = 0.02  # between reads after that, while answers are pending: 3 MB/s at most
LINGER_S = 1.0  # lingering close: time to read the last answer, which a reset would destroy
RETRY_AFTER_S = b"1"  # Retry-After of refusals by the front itself: a surge is over by then
SHUTDOWN_GRACE_S = 0.5  # after SIGTERM new connections still arrive for up to 0.4 s
# A shutdown may take this much past the longest deadline. SIGKILL comes 0.7 s past it at the soonest.
SHUTDOWN_MARGIN_S = 0.55
LAST_ANSWERS_S = 0.08  # of the time left before SIGKILL, for clients to read the final answers

T = TypeVar("T")


class CloseReason(StrEnum):
    """Why a client connection was closed."""

    CLIENT = "client-closed"
    BROKEN = "client-broken"  # what it sends can no longer be parsed
    ANSWER_BROKEN = "answer-broken"  # its answer broke off
    NOT_READING = "client-not-reading"  # it did not take its answer for STALL_S
    UPLOAD_LATE = "upload-late"  # the rest of its streamed body did not come in time
    IDLE = "idle-timeout"
    EVICTED = "evicted"  # to make room for a new connection
    CROWDED = "crowded"  # clients hold nearly all connections allowed to them
    DRAINING = "draining"
    GOING_AWAY = "going-away"
    ANSWERED_LAST = "answered-last"


class WaitReason(StrEnum):
    """What a client was not read for, in the middle of its body."""

    ROOM = "room"  # memory for more of the body
    SERVER = "server"  # the server, or the attempt, that takes the body


class RequestHandler(Protocol):
    """What the front hands requests to."""

    @property
    def longest_deadline_us(self) -> int:
        """The longest deadline of all request classes, in microseconds."""
        ...

    @property
    def events(self) -> EventCounter:
        """Counts the closes and rejections that the front itself decides."""

    def request_class(self, name: str) -> RequestClass | None:
        """Return the request class of this name, None if there is none."""
        ...

    def has_seen(self, call: Call) -> bool:
        """Return whether its id is that of a request in flight, or of one that may not run again."""
        ...

    def submit(self, call: Call) -> PendingRequest:
        """Accept a call; its answer follows in what is returned."""
        ...

    def body_paused(self, held: PendingRequest) -> None:
        """Report that the client of a streamed body is not read until there is room for more of it."""
        ...

    def body_received(self, held: PendingRequest) -> None:
        """Report that the streamed body of the request is complete."""
        ...

    def abandon(self, held: PendingRequest) -> None:
        """Report that the client no longer wants the answer."""
        ...

    def fail(self, held: PendingRequest) -> None:
        """Answer the request as failed, at once."""
        ...


class _Disconnected(Exception):
    """The client has closed its connection."""


@dataclass(slots=True)
class _PendingAnswer:
    """A request whose answer is not yet sent, in the order of the requests."""

    parser: h11.Connection | None  # None for a plain request, whose answer is framed directly
    answer: asyncio.Future[FinalAnswer]
    share: MemoryShare | AnswerShare | None = None  # of the request, then of the answer while it waits
    held: PendingRequest | None = None
    last: bool = False  # no request after this one is read


@dataclass(slots=True)
class _IncomingBody:
    """The body of the request that is being read."""

    share: MemoryShare
    data: bytearray  # what is buffered of it
    unread: UnreadTime
    began: float  # monotonic seconds, later by the time in which it could not arrive
    length: int | None  # of the whole body, None if it is not declared
    unparsed: int = 0  # bytes that h11 keeps until the line is complete that they belong to

    def add(self, received: bytes | bytearray) -> None:
        """Buffer received bytes."""
        self.data += received
        self.share.add(len(received))

    def note_unparsed(self, parser: h11.Connection) -> None:
        """Account for what the parser keeps."""
        count = len(parser.trailing_data[0])
        self.share.add(count - self.unparsed)
        self.unparsed = count

    def parsed(self) -> None:
        """Note that the parser keeps nothing more of this body."""
        self.share.add(-self.unparsed)
        self.unparsed = 0

    def missing(self) -> int:
        """Return how many bytes at most are still to be buffered."""
        length = MAX_BUFFERED_BODY if self.length is None else min(self.length, MAX_BUFFERED_BODY)
        return max(length - len(self.data), MIN_READ_BYTES)

    def drop(self) -> None:
        """Free what is buffered: nobody will use it."""
        self.share.release()
        self.data.clear()


class Listener:
    """A listening socket and all client connections accepted from it."""

    def __init__(
        self,
        agent: RequestHandler,
        address: Address | socket.socket,
        descriptors: Descriptors,
        memory: MemoryBudget,
    ) -> None:
        """Listen at the address, or on a socket that listens already, which is owned from here on.

        The queue of such a socket may be shared with other processes. Raises OSError.
        """
        self.agent = agent
        self.memory = memory
        self.closing = False
        self._drained_at: float | None = None  # when operators started to drain clients from here
        self._retired = False  # another process accepts the new connections
        self.in_flight = 0  # accepted requests whose answers are not yet written
        self._max_clients = descriptors.clients
        self._max_active = descriptors.max_active
        self._clients: set[_Client] = set()
        # Connections without a pending answer, longest idle first. Those that have sent nothing yet are kept
        # apart and evicted first, or a surge of silent connections would displace the clients that send.
        self._silent: OrderedDict[_Client, None] = OrderedDict()
        self._idle: OrderedDict[_Client, None] = OrderedDict()
        self.uploading: set[_Client] = set()  # whose request bodies are being streamed
        self._changed = asyncio.Event()
        self._accepts_per_wakeup = MAX_ACCEPTS_PER_WAKEUP
        if isinstance(address, socket.socket):
            # With more, the first of several processes woken by a surge would accept all of it.
            self._accepts_per_wakeup = 1
            self._sock = address
            address.listen(BACKLOG)  # a process that shares it may have set its backlog to 0
        else:
            # Other versions of this program, of the same user only, may listen at this address (socket(7),
            # SO_REUSEPORT). The cost: two started by mistake share the clients, where the second should fail.
            self._sock = socket.create_server(address, backlog=BACKLOG, reuse_port=True)
        self._sock.setblocking(False)
        # Inherited by accepted sockets.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self._accepting = False
        self._accepted = 0  # connections accepted so far
        self._resume()
        self._sweeping = asyncio.create_task(self._sweep())

    @property
    def address(self) -> Address:
        """Host and port that the socket is bound to."""
        host, port = self._sock.getsockname()
        return host, port

    def fileno(self) -> int:
        """Return the descriptor of the listening socket; -1 once it is closed."""
        return self._sock.fileno()

    def owns(self, sock: socket.socket) -> bool:
        """Return whether this is the listening socket."""
        return self._sock is sock

    @property
    def connections(self) -> int:
        """The number of open client connections."""
        return len(self._clients)

    @property
    def refusing(self) -> bool:
        """Whether readiness checks are answered with 503."""
        return self.closing or self._drained_at is not None

    @property
    def closes_after_answer(self) -> bool:
        """Whether each connection closes after its next answer that no further request follows."""
        return self.refusing or self._retired

    def drain(self, on: bool) -> None:
        """Start or stop draining clients to other instances.

        While draining, readiness checks fail at once. Each connection is closed after its next answer, and
        idle ones are closed after SHUTDOWN_GRACE_S. Requests that still arrive are served, because clients
        that check readiness notice only a moment later.
        """
        if on and self._drained_at is None:
            self._drained_at = time.monotonic()
        elif not on:
            self._drained_at = None

    def retire(self, on: bool) -> None:
        """Stop accepting because another process accepts from the shared queue, or start again.

        Clients move to that process as their answers close their connections. If that process is gone, this
        one accepts again.
        """
        self._retired = on
        if on:
            self._pause()
        elif self._sock.fileno() >= 0:
            self._resume()

    def resize(self, descriptors: Descriptors) -> None:
        """Apply new limits. Connections over a lower limit are closed as they become idle."""
        clients = self._max_clients = descriptors.clients
        self._max_active = descriptors.max_active
        for _ in range(len(self._clients) - clients):
            if not self._evict():
                break
        self._notify_change()

    async def close(self, queue_shared: bool = False) -> None:
        """Shut down: finish requests in flight, and serve those that still arrive for a while.

        Idle connections are kept for SHUTDOWN_GRACE_S, and the next answer on each announces the close. If
        all were closed at once, their clients would reconnect together, to an agent that is shutting down.
        After that only the connections already in the backlog are accepted, and idle connections with nothing
        unread are closed.

        Args:
            queue_shared: Other processes share the queue and go on, so this one accepts nothing further.
        """
        until = time.monotonic() + self.agent.longest_deadline_us / 1e6 + SHUTDOWN_MARGIN_S
        self.closing = True
        if queue_shared:
            self.hand_over()
        await asyncio.sleep(SHUTDOWN_GRACE_S)
        await self._stop_accepting(until)
        while self._clients and time.monotonic() < until:
            self._close_idle()
            if self._clients:
                await self._wait_for_change(until)
        await self._fail_in_flight()
        self._sweeping.cancel()

    async def _fail_in_flight(self) -> None:
        """Answer everything in flight, because no time is left.

        A client that sends on a connection that stays open would be served until the end, with a deadline
        past it, and its request would be lost with the process. The cost: requests fail that could still have
        been served in the moment that SIGKILL leaves.
        """
        until = time.monotonic() + LAST_ANSWERS_S
        for client in [*self._clients]:
            client.fail_in_flight()
        while self._clients and time.monotonic() < until:
            self._close_idle()
            if self._clients:
                await self._wait_for_change(until)

    def hand_over(self) -> None:
        """Close the listening socket without touching its queue, for processes that share it and go on.

        If a process that shuts down shortened or emptied the queue, new connections would be refused.
        """
        self._pause()
        self._sock.close()

    async def _stop_accepting(self, until: float) -> None:
        """Close the listening socket once the connections in its backlog are accepted, as capacity allows."""
        # Clients that reconnect after each answer keep the backlog from ever being empty, and a connection
        # accepted late would outlive this agent. So only those that wait there now are served.
        if self._sock.fileno() < 0:
            return
        self._sock.listen(0)
        last = self._accepted + self._backlog()
        while self._accepted < last and self._backlog() and time.monotonic() < until:
            await asyncio.sleep(BACKLOG_POLL_S)
            if self._sock.fileno() < 0:  # closed by hand_over meanwhile
                return
        self._accept()  # connections that arrived since
        self._pause()
        self._sock.close()

    async def _wait_for_change(self, until: float) -> None:
        """Wait until a connection becomes idle or closes, for SWEEP_S at most.

        Then the caller checks again the connections that have arrived.
        """
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(SWEEP_S, max(0.0, until - time.monotonic()))):
                await self._changed.wait()

    def _close_idle(self) -> None:
        for client in [*self._silent, *self._idle]:
            client.close_if_idle(CloseReason.GOING_AWAY)

    async def _sweep(self) -> None:
        """Apply timeouts to all connections. One timer for all is cheaper than one per read."""
        while True:
            due = time.monotonic() + SWEEP_S
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            stalled_s = now - due
            for client in [*self._silent, *self._idle, *self.uploading]:
                if stalled_s > SWEEP_S:
                    client.extend_deadline(stalled_s)
                client.check_timeout(now)
            if self._drained_at is not None and not self.closing:
                self._close_drained(now - SHUTDOWN_GRACE_S)
            self._shed_idle()
            self.agent.events.report()

    def _close_drained(self, before: float) -> None:
        """Close connections that have been idle, and draining, since before this time.

        If they were closed sooner, a client that has just connected would find its connection closed and
        reconnect, again and again.
        """
        if self._drained_at is None or self._drained_at > before:
            return
        for client in [*self._silent, *self._idle]:
            if client.idle_since <= before:
                client.close_if_idle(CloseReason.DRAINING)

    # Accepting

    def _resume(self) -> None:
        if not self._accepting and not self._retired and self._sock.fileno() >= 0:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock.fileno(), self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._sock.fileno())

    def _accept(self) -> None:
        """Accept in the reader callback itself.

        A connection carried by a future would be lost if the future is cancelled, and may hold a whole
        request. asyncio's own server stops accepting for a second when descriptors run out, and all clients
        wait.
        """
        for _ in range(self._accepts_per_wakeup):
            if len(self._clients) >= self._max_clients and not self._evict():
                self._pause()  # until a client becomes idle or disconnects
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("accepting failed: %s", error)
                self._pause()
                asyncio.get_running_loop().call_later(ACCEPT_RETRY_S, self._resume)
                return
            self._accepted += 1
            self.serve(sock).waited_us = _waited_us(sock)

    def _backlog(self) -> int:
        """Return how many connections wait to be accepted: `tcpi_unacked` of a listening socket on Linux.

        Each of them may hold a whole request.
        """
        info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_UNACKED + 4)
        (waiting,) = struct.unpack_from("=I", info, TCPI_UNACKED)
        return int(waiting)

    def serve(self, sock: socket.socket) -> _Client:
        """Serve an accepted connection."""
        sock.setblocking(False)
        client = _Client(self, Wire(sock))
        self._clients.add(client)
        self._silent[client] = None
        client.start()
        return client

    def _evict(self) -> bool:
        """Close the connection that has been idle longest. Returns whether one was closed.

        If each of the candidates has sent part of a request, the oldest is rejected instead, and frees its
        place once its answer is sent. If it were closed, a client whose last byte is on its way would lose
        its request. The cost: clients that send slowly on purpose keep their places for that moment.
        """
        oldest_partial = None
        for client in itertools.chain(self._silent, self._idle):
            if client.close_if_idle(CloseReason.EVICTED):
                return True
            if oldest_partial is None and client.unfinished:
                oldest_partial = client
        if oldest_partial is not None:
            oldest_partial.reject(503, "no room for a request that comes so slowly", RejectReason.NO_ROOM)
        return False

    def _shed_idle(self) -> None:
        """Close the longest idle connections while clients hold nearly all that they may for requests.

        In a surge of clients that send one request and keep the connection, all of these would be idle, and
        no other client could send a request for IDLE_S. The same holds for connections that clients leave
        open. The cost: a tenth of the usual connections is reopened for each request.
        """
        spare = int(self._max_active * IDLE_SHED_SHARE) - (len(self._clients) - len(self._silent))
        now = time.monotonic()
        for client in [*itertools.islice(self._idle, max(0, -spare))]:
            if client.idle_s(now) < MIN_IDLE_S:
                return
            client.close_if_idle(CloseReason.CROWDED)

    # Reports from clients

    def received(self, client: _Client) -> None:
        """Note that the client has sent something: it is no longer silent, and was idle until now."""
        if client in self._silent:
            del self._silent[client]
            self._idle[client] = None
        elif client in self._idle:
            self._idle.move_to_end(client)

    def became_active(self, client: _Client) -> None:
        """Note that an answer is pending on the connection: it must not be closed as idle."""
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def became_idle(self, client: _Client) -> None:
        """Note that no answer is pending on the connection any more."""
        self._idle[client] = None
        self._shed_idle()
        self._notify_change()

    def closed(self, client: _Client) -> None:
        """Forget a closed connection."""
        self._clients.discard(client)
        self._silent.pop(client, None)
        self._idle.pop(client, None)
        self._notify_change()

    def _notify_change(self) -> None:
        self._changed.set()
        self._resume()


def _waited_us(sock: socket.socket) -> int:
    """Return how long the request on a connection accepted now has waited, in microseconds.

    0 if nothing has arrived, or only within MIN_ACCEPT_DELAY_MS. While accepting fails, the client's deadline
    runs on all the same.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_LAST_DATA_RECV + 4)
        (waited_ms,) = struct.unpack_from("=I", info, TCPI_LAST_DATA_RECV)
        if waited_ms < MIN_ACCEPT_DELAY_MS or not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            return 0
    except (OSError, struct.error):
        return 0
    return int(waited_ms) * 1_000


class _Client:
    """One client connection. It is read while answers are pending, so that a disconnect is noticed at once.

    An idle connection holds little memory: a list where a deque would allocate 600 bytes for its first item,
    and a future only while a caller waits.
    """

    __slots__ = (
        "__weakref__", "_abort", "_agent", "_answered_last", "_blank_bytes", "_deadline", "_discarding",
        "_had_request", "_idle_since", "_incoming", "_linger", "_listener", "_memory", "_partial", "_pending",
        "_task", "_unparsed", "_upload", "_writer", "waited_us", "wire",
    )  # fmt: skip

    def __init__(self, listener: Listener, wire: Wire) -> None:
        self.wire = wire
        self.waited_us = 0  # time that its first request spent in the accept queue
        self._listener = listener
        self._agent = listener.agent
        self._memory = listener.memory
        self._pending: list[_PendingAnswer] = []  # at most MAX_PIPELINED
        self._incoming: _IncomingBody | None = None  # until the request is accepted, or its upload complete
        self._partial = False  # part of a request has arrived
        self._had_request = False  # a request has started on this connection
        self._blank_bytes = 0  # of empty lines since the last request
        # Received, and not yet parsed. As arguments and variables of the methods below, these bytes would
        # stay in memory until the whole request is read.
        self._unparsed = b""
        self._abort: CloseReason | None = None  # why the connection is reset, once that is decided
        self._answered_last = False
        self._discarding = False  # input is read and discarded from now on
        self._upload: Upload | None = None  # the body that is being streamed
        self._deadline = (
            time.monotonic() + REQUEST_TIMEOUT_S
        )  # for a whole request, or if idle, for the next to start
        self._idle_since = time.monotonic()  # when the last pending answer was sent
        self._writer: asyncio.Task[None] | None = None
        self._linger: asyncio.TimerHandle | None = None
        wire.shortcut = self._take_complete
        wire.memory = self

    def read_limit(self) -> int:
        """Return how many bytes may be read now: little of a request for which there is no room."""
        if self._upload is not None:
            return self._memory.upload_read_limit()
        if self._incoming is not None:
            return self._incoming.share.read_limit()
        return self._memory.request_read_limit(len(self._unparsed))

    def hold(self, count: int) -> None:
        """Account for bytes that are read and not yet parsed."""
        self._memory.adjust(count)

    def start(self) -> None:
        """Start the task that reads requests."""
        self._task = asyncio.create_task(self._run())
        # A task that is cancelled before its first step does not run its `finally`.
        self._task.add_done_callback(lambda _: self._finish())

    def cancel(self) -> None:
        """Close the connection by cancelling its task."""
        self._task.cancel()

    def idle_s(self, now: float) -> float:
        """Return for how many seconds no answer has been pending."""
        return now - self._idle_since

    @property
    def idle_since(self) -> float:
        """When the last pending answer was sent, or the connection was accepted; monotonic seconds."""
        return self._idle_since

    @property
    def unfinished(self) -> bool:
        """Whether a partial request has arrived that can still be answered with a rejection."""
        return self._partial and not self._pending and not self._discarding and self._upload is None

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Close if no answer is pending and no part of a request has arrived. Returns whether it is closed.

        Check and close happen in one step. Otherwise bytes that arrive between them would be read, and
        dropped with the connection. Bytes that arrive at that very moment stay unread: the kernel then resets
        the connection, so that the client knows, and retries elsewhere.
        """
        owed = bool(self._pending) or (self._partial and not self._answered_last)
        if owed or not self.wire.nothing_unread():
            return False
        unread = False
        if self._listener.closes_after_answer:
            # Check again with the sending side shut (half-close): a request sent before the client could know
            # of the close stays unread, and the connection is reset, so that the client retries.
            self.wire.shutdown(socket.SHUT_WR)
            unread = not self.wire.nothing_unread()
        self.wire.close(abort=unread)
        self._agent.events.add(Event.CLOSED, reason)
        self.cancel()
        self._listener.closed(self)
        return True

    def extend_deadline(self, seconds: float) -> None:
        """Extend the deadlines by time in which this process did not run.

        Otherwise a pause of this process or of the whole host would time out requests whose rest is unread
        here or on its way.
        """
        self._deadline += seconds
        if self._incoming is not None:
            self._incoming.began += seconds

    def check_timeout(self, now: float) -> None:
        """On timeout, answer with an error if part of a request has arrived, otherwise close."""
        if now < self._deadline or self._discarding:
            return
        if self._upload is not None:
            self._abort_connection(
                CloseReason.UPLOAD_LATE
            )  # its answer is pending; no server has the last byte
        elif self._pending:
            return
        elif self._partial:
            self.reject(408, "the request did not come whole in time", RejectReason.INCOMPLETE)
        else:
            self.close_if_idle(CloseReason.IDLE)

    def fail_in_flight(self) -> None:
        """Answer everything at once: accepted requests as failed, a partial one as rejected."""
        for pending in [*self._pending]:
            if pending.held is not None:
                self._agent.fail(pending.held)
        if self.unfinished:
            self.reject(503, "going away", RejectReason.GOING_AWAY)

    def reject(self, status: int, text: str, reason: RejectReason) -> None:
        """Answer a partial request, as the last one; the rest of it is read and discarded."""
        self._agent.events.add(Event.REFUSED, reason)
        self._drop_incoming()
        self._discarding = True
        self._enqueue_text(None, status, text, last=True)

    async def _run(self) -> None:
        try:
            await self._read_requests()
        except (_Disconnected, OSError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("serving a client failed")
            self._abort = CloseReason.BROKEN

    def _finish(self) -> None:
        # A cancelled task keeps its exception, whose traceback keeps its frames, which keep this client: a
        # reference cycle that would hold socket, parser and task until a full collection, and those are rare.
        # So the owner of a task drops its reference when it cancels it.
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.cancel()
        if self._upload is not None:
            self._upload.abort()
            self._upload = None
            self._listener.uploading.discard(self)
        if self._linger is not None:
            self._linger.cancel()
        self._drop_incoming()
        self._set_unparsed(b"")
        for pending in self._pending:
            self._abandon(pending)
        self._pending.clear()
        if not self.wire.closed:
            self._agent.events.add(Event.CLOSED, self._close_reason())
        # An answer that ends here is not whole, and to an HTTP/1.0 client the close may be its only end.
        self.wire.close(abort=self._abort is not None or writer is not None)
        self._listener.closed(self)

    def _drop_incoming(self) -> None:
        """Free what is buffered of the request that is being read."""
        if self._incoming is not None:
            self._incoming.drop()
            self._incoming = None

    def _close_reason(self) -> CloseReason:
        """Return why the connection closes, if its task has ended by itself."""
        if self._abort is not None:
            return self._abort
        return CloseReason.ANSWERED_LAST if self._answered_last else CloseReason.CLIENT

    def _abandon(self, pending: _PendingAnswer) -> None:
        """Release what a pending answer holds, because the client will not get it."""
        if pending.share is not None:
            pending.share.release()
        if pending.held is not None:
            self._listener.in_flight -= 1
            # Otherwise request, callback and pending answer would wait for the garbage collector.
            pending.held.on_answered = None
            self._agent.abandon(pending.held)
        # A task that is cancelled before its first step, or while it writes, does not close its stream.
        if pending.answer.done() and not pending.answer.cancelled():
            discard_answer(pending.answer.result())

    # Requests

    async def _read_requests(self) -> None:
        for count in itertools.count(1):
            if count % MAX_REQUESTS_PER_TURN == 0 and self._unparsed:
                await asyncio.sleep(0)
            parser: h11.Connection | None = None
            try:
                at = await self._read_until_head()
                plain = request_head(self._unparsed[:at]) if at else None
                if plain is None and has_too_many_fields(self._unparsed[:at]):
                    raise BadRequest(431, "the head has too many fields")
                if plain is not None:
                    last = await self._read_plain(plain, at)
                else:
                    # Each request has its own parser: h11 does not parse the next request while an answer is
                    # pending.
                    parser = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
                    last = await self._read_with_h11(parser)
                    self._set_unparsed(parser.trailing_data[0])
            except BadRequest as bad:
                self._agent.events.add(Event.REFUSED, bad.reason)
                self._drop_incoming()
                self._set_unparsed(b"")
                # What follows is discarded, so the answer says that it is the last one.
                self._enqueue_text(parser, bad.status, str(bad), last=True)
                last = True
            plain = None  # otherwise it stays in memory while the connection is idle
            if last:
                await self._discard()

    def _set_unparsed(self, data: bytes) -> None:
        self._memory.adjust(len(data) - len(self._unparsed))
        self._unparsed = data

    def _take_unparsed(self) -> bytes:
        data = self._unparsed
        self._set_unparsed(b"")
        return data

    async def _read_until_head(self) -> int:
        """Read until a head is in `_unparsed`, and return where it ends; 0 if h11 has to decide.

        Empty lines before a request are skipped (RFC 9112, 2.2).
        """
        self._set_unparsed(self._unparsed.lstrip(b"\r\n"))
        searched = 0
        if self._unparsed:
            self._begin_request()
        while True:
            length = len(self._unparsed)
            if length:
                found = HEAD_END.search(self._unparsed, searched)
                if found is not None:
                    return found.end()
                if self._unparsed[0] < 0x21 or length > MAX_HEAD_BYTES:
                    return 0
                searched = max(0, length - 2)
                if length > SMALL_BODY and not self._memory.has_request_room():
                    raise BadRequest(503, "no room for so long a head", RejectReason.NO_ROOM)
            received = await self._receive()
            if not self._partial:
                self._blank_bytes += len(received)
                received = received.lstrip(b"\r\n")
                self._blank_bytes -= len(received)
                if self._blank_bytes > MAX_BLANK_BYTES:  # a client might send nothing else
                    raise BadRequest(400, "no request came")
                if received:
                    self._begin_request()
            self._set_unparsed(self._unparsed + received)
            received = b""

    async def _read_plain(self, head: RequestHead, at: int) -> bool:
        """Read the rest of a plain request, whose head ends at this offset, and accept it.

        Returns whether it is the last one of its connection.
        """
        self._check_pipelining()
        call = None if path_of(head) == READY_PATH else parse_call(head, self._agent)
        if head.length > MAX_STREAMED_BODY or (call is None and head.length > MAX_BUFFERED_BODY):
            raise BadRequest(413, "the body is too long")
        incoming = self._begin_body(call, head.length)
        self._add_head(incoming.share, head_bytes(at, len(head.headers)))
        self._set_unparsed(self._unparsed[at:])
        incoming.add(self._split_unparsed(head.length))
        while len(incoming.data) < min(head.length, MAX_BUFFERED_BODY):
            await self._wait_for_room(incoming, call)
            self._set_unparsed(await self._receive_body(incoming))
            incoming.add(self._split_unparsed(head.length - len(incoming.data)))
            self._note_progress(incoming, len(incoming.data))
        streamed_length = head.length if len(incoming.data) < head.length else -1
        upload = self._take(None, call, incoming.share, head.last, streamed_length)
        while upload is not None and upload.received < head.length:
            await self._wait_for_upload(incoming, upload)
            self._set_unparsed(await self._receive_body(incoming))
            upload.feed(self._split_unparsed(head.length - upload.received))
            self._note_progress(incoming, upload.received)
        self._finish_upload()
        return head.last

    def _split_unparsed(self, length: int) -> bytes:
        """Take up to so many bytes off the front of what is not yet parsed."""
        data = self._unparsed[:length]
        self._set_unparsed(self._unparsed[length:])
        return data

    def _check_pipelining(self) -> None:
        """Raise BadRequest if no request may wait behind those that are pending on this connection."""
        if len(self._pending) >= MAX_PIPELINED:
            raise BadRequest(429, "too many requests at once on one connection")
        if self._pending and not self._memory.has_request_room():
            raise BadRequest(503, "no room for a request behind requests that wait", RejectReason.NO_ROOM)

    def _add_head(self, share: MemoryShare, size: int) -> None:
        """Account for a head that is larger than usual, which is held until its request is answered.

        Raises BadRequest if there is no room for it.
        """
        if not size:
            return
        if not self._memory.has_request_room(size):
            raise BadRequest(503, "no room for so large a head", RejectReason.NO_ROOM)
        share.add(size)

    def _begin_body(self, call: Call | None, length: int | None) -> _IncomingBody:
        """Begin to read a body into the call; that of a readiness check (None) is read and dropped."""
        data = bytearray() if call is None else call.payload.body
        unread = UnreadTime(length)
        incoming = _IncomingBody(self._memory.share(), data, unread, time.monotonic(), length)
        self._incoming = incoming
        return incoming

    async def _wait_for_room(self, incoming: _IncomingBody, call: Call | None) -> None:
        """Wait until more of a body may be buffered; the client's time runs meanwhile.

        A client that is not read meanwhile is not seen to disconnect, and its earlier requests would be
        retried for nobody. The cost: where memory is short, a client that pipelines a long body behind
        pending requests gets an error for it.

        Raises BadRequest if there is no room before the client's time, or the time to send, is over, and
        _Disconnected if the client has gone.
        """
        share, unread = incoming.share, incoming.unread
        if share.has_room():
            return
        if self._pending:
            raise BadRequest(503, "no room for a body behind requests that wait", RejectReason.NO_ROOM)
        # A client that has sent nothing further needs no room yet.
        await self._wait_for_client(incoming, self.wire.wait_for_input())
        if self._discarding:
            return
        if self.wire.hung_up():
            raise _Disconnected
        began = time.monotonic()
        unread.pause(began, len(incoming.data))
        limit_s = self._deadline - began
        if call is not None and unread.paused:
            left_s = (call.budget_us - DEADLINE_MARGIN_US) / 1e6 - unread.seconds(began)
            limit_s = min(limit_s, left_s)
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                await share.wait_for_room(incoming.missing())
        except TimeoutError:
            raise BadRequest(503, "no room for the body in time", RejectReason.NO_ROOM) from None
        finally:
            now = time.monotonic()
            unread.resume(now)
            self._count_wait(WaitReason.ROOM, now - began, self._memory.describe())

    async def _receive_body(self, incoming: _IncomingBody) -> bytes:
        """Return the next bytes of a body."""
        return await self._wait_for_client(incoming, self._receive())

    async def _wait_for_client(self, incoming: _IncomingBody, arrival: Coroutine[Any, Any, T]) -> T:
        """Wait for more of a body to arrive; the body counts as stalled meanwhile."""
        began = time.monotonic()
        dry = incoming.unread.seconds(began) > 0.0 and self.wire.nothing_unread()
        incoming.share.stall(self._end_stalled)
        try:
            arrived = await arrival
        finally:
            incoming.share.resume()
        # Shorter waits may be those of the kernels; longer ones may be this process's, hence the look before.
        if dry and time.monotonic() - began >= CLIENT_IDLE_S:
            incoming.unread.client_was_read_dry()
        return arrived

    def _end_stalled(self) -> bool:
        """End a request that has stopped in the middle of its body, unless more has arrived meanwhile."""
        if not self.wire.nothing_unread():
            return False
        if self._upload is not None and self._incoming is not None:
            self._incoming.share.release()
            self._abort_connection(
                CloseReason.UPLOAD_LATE
            )  # its answer is pending; no server has the last byte
        elif self.unfinished:
            self.reject(503, "no room for a body that does not come", RejectReason.STALLED)
        else:
            return False
        return True

    def _count_wait(self, reason: WaitReason, seconds: float, detail: str = "") -> None:
        """Count, for the log, a wait in which the client was not read, with its length as the example."""
        if seconds >= MIN_COUNTED_WAIT_S:
            self._agent.events.add(Event.WAITED, reason, f"{seconds:.3f} s {detail}".rstrip())

    def _note_progress(self, incoming: _IncomingBody, received: int) -> None:
        """Extend the deadline of a body of which this many bytes have arrived fast enough.

        Without this, a client that sends a long body as fast as it can would time out. With any progress
        counted, one that sends a byte now and then would keep its place forever.
        """
        now = time.monotonic()
        if received >= MIN_UPLOAD_RATE * (now - incoming.began):
            self._deadline = max(self._deadline, now + MAX_BODY_PAUSE_S)

    async def _wait_for_upload(self, incoming: _IncomingBody, upload: Upload) -> None:
        """Wait until the server reads more of the body.

        The client may send for that much longer. But its time for the whole request runs: it may have sent
        its last byte already.
        """
        if upload.has_room():
            return
        began, until = time.monotonic(), self._deadline
        self._deadline = math.inf
        upload.unread.pause(began, upload.received)
        for pending in self._uploading():
            self._agent.body_paused(pending)
        try:
            await upload.wait_for_room()
        finally:
            now = time.monotonic()
            upload.unread.resume(now)
            waited = now - began
            self._count_wait(WaitReason.SERVER, waited, f"{upload.received} of {upload.length} bytes")
            incoming.began += waited
            self._deadline = until + waited

    def _uploading(self) -> list[PendingRequest]:
        """Return the request whose body is being streamed, if it was accepted and has no answer yet."""
        held = [pending.held for pending in self._pending if pending.held is not None]
        return [one for one in held if one.call.upload is not None and one.call.upload is self._upload]

    def _finish_upload(self) -> None:
        """Mark a streamed body as complete; does nothing if the body was not streamed."""
        upload = self._upload
        if upload is None:
            return
        self._incoming = None
        self._listener.uploading.discard(self)
        self._partial = False
        upload.end()
        for pending in self._uploading():
            self._agent.body_received(pending)
        self._upload = None
        self._deadline = time.monotonic() + IDLE_S

    def _take_complete(self, data: bytes) -> bool:
        """Accept a single, complete plain request in the callback that received it.

        Returns False, with nothing changed, for all other input and for a request that would be rejected:
        these take the usual path.
        """
        if self._partial or self._answered_last or self._discarding or len(self._pending) >= MAX_PIPELINED:
            return False
        found = HEAD_END.search(data)
        head = request_head(data[: found.end()]) if found is not None else None
        if found is None or head is None or head.last or found.end() + head.length != len(data):
            return False
        if head.length > MAX_BUFFERED_BODY or path_of(head) == READY_PATH:
            return False
        if found.end() > SMALL_BODY or len(head.headers) > USUAL_FIELDS:  # its head has to be accounted for
            return False
        try:
            call = parse_call(head, self._agent)
        except BadRequest:
            return False
        if self._agent.has_seen(call):
            return False
        if self._pending and not self._memory.has_request_room():
            return False
        self._listener.received(self)
        self._begin_request()
        call.payload.body += data[found.end() :]
        share = self._memory.share()
        share.add(head.length)
        # This runs in a callback of the event loop, where the exception must not escape. The end of stream is
        # still unread, and closes the connection next.
        with contextlib.suppress(_Disconnected):
            self._take(None, call, share, False, checked=True)
        return True

    async def _read_with_h11(self, parser: h11.Connection) -> bool:
        """Read one request that is not plain with h11 and accept it.

        Returns whether it is the last one of its connection.
        """
        try:
            head = await self._read_head(parser)
            check_framing(head)
            self._check_pipelining()
            call = None if path_of(head) == READY_PATH else parse_call(head, self._agent)
            lengths = [int(value) for name, value in head.headers if name == b"content-length"]
            if any(length > (MAX_STREAMED_BODY if call else MAX_BUFFERED_BODY) for length in lengths):
                raise BadRequest(413, "the body is too long")
            incoming = self._begin_body(call, lengths[0] if lengths else None)
            headers = list(head.headers)
            size = sum(len(name) + len(value) for name, value in headers)
            self._add_head(incoming.share, head_bytes(size, len(headers)))
            whole = await self._read_body(parser, incoming, call)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise BadRequest(status, str(error)) from None
        if whole:
            last = parser.their_state is h11.MUST_CLOSE
            self._take(parser, call, incoming.share, last)
            return last
        last = head.http_version != b"1.1" or any(
            name == b"connection" and b"close" in value.lower() for name, value in head.headers
        )
        upload = self._take(parser, call, incoming.share, last, lengths[0] if lengths else None)
        assert upload is not None
        await self._stream_upload(parser, incoming, upload)
        return last

    async def _stream_upload(self, parser: h11.Connection, incoming: _IncomingBody, upload: Upload) -> None:
        """Stream the rest of a body that is not plain.

        Any error in it aborts the connection: its answer is already pending, and its server does not have the
        last byte.
        """
        chunks = 0
        try:
            while True:
                event = parser.next_event()
                if isinstance(event, h11.EndOfMessage):
                    incoming.parsed()
                    self._finish_upload()
                    return
                if isinstance(event, h11.Data):
                    await self._wait_for_upload(incoming, upload)
                    upload.feed(bytes(event.data))
                    self._note_progress(incoming, upload.received)
                    if upload.received > MAX_STREAMED_BODY:
                        break
                    chunks += 1
                    if chunks % MAX_CHUNKS_PER_TURN == 0:
                        await asyncio.sleep(0)
                elif event is h11.NEED_DATA:
                    incoming.note_unparsed(parser)
                    parser.receive_data(await self._receive_body(incoming))
                else:
                    break
        except h11.RemoteProtocolError:
            pass
        self._abort = CloseReason.BROKEN
        raise _Disconnected

    def _take(
        self,
        parser: h11.Connection | None,
        call: Call | None,
        share: MemoryShare,
        last: bool,
        length: int | None = -1,
        checked: bool = False,
    ) -> Upload | None:
        """Accept a request: a call, or a readiness check (`call` is None).

        Args:
            parser: The h11 connection of a request that is not plain.
            call: The call, with the body received so far.
            share: What the body holds of the memory budget.
            last: Whether the connection closes after this request.
            length: -1 if the body is complete. Otherwise the length of the streamed body, None if unknown.
            checked: Whether the id of the call has just been looked at.

        Returns:
            Where the rest of a streamed body goes, None for a complete one.

        Raises:
            BadRequest: A request with this id is in flight, or may have run.
            _Disconnected: The client has gone.
        """
        incoming, self._incoming = self._incoming, None
        self._partial = False
        waited_us, self.waited_us = self.waited_us, 0
        share.complete()
        if call is not None and not checked and self._agent.has_seen(call):
            # Where requests are distinguished by id, one of the two would be mistaken for the other. And what
            # has run under an id must not run again, whoever sends it.
            share.release()
            raise BadRequest(
                409, "a request under this X-Call-Id is open or may have run", RejectReason.REPEATED_ID
            )
        if call is None:
            share.release()
            refusing = self._listener.refusing
            text = "going away" if refusing else "ready"
            self._enqueue_text(parser, 503 if refusing else 200, text, last)
        else:
            if self.wire.hung_up():
                # The client left while its request waited to be accepted or parsed: nothing is sent for it.
                share.release()
                raise _Disconnected
            call.client_gone = self.wire.hung_up
            if length != -1:
                assert incoming is not None
                call.upload = self._upload = Upload(call.payload.body, length, incoming.unread, share)
                call.payload.body = incoming.data = bytearray()
                self._incoming = incoming
                self._partial = True  # until the rest has arrived
                self._listener.uploading.add(self)
            call.budget_us -= waited_us
            if incoming is not None and call.upload is None:
                call.budget_us -= int(incoming.unread.seconds(time.monotonic()) * 1e6)
            if self._pending:
                share.add(PIPELINED_REQUEST_BYTES)
            held = self._agent.submit(call)
            self._enqueue(_PendingAnswer(parser, held.answer, share, held, last))
        return self._upload

    async def _read_head(self, parser: h11.Connection) -> h11.Request:
        parser.receive_data(self._take_unparsed())
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                raise _Disconnected
            parser.receive_data(await self._receive())

    def _begin_request(self) -> None:
        """Start the deadline of a request at its first byte.

        The deadline of the first request started with the connection.
        """
        self._partial = True
        self._blank_bytes = 0
        if self._had_request:
            self._deadline = time.monotonic() + REQUEST_TIMEOUT_S
        self._had_request = True

    async def _read_body(self, parser: h11.Connection, incoming: _IncomingBody, call: Call | None) -> bool:
        """Read a body of up to MAX_BUFFERED_BODY bytes, or the start of a longer one.

        `call` is None for a readiness check. Returns whether the body is complete.
        """
        if parser.they_are_waiting_for_100_continue and not self._pending:
            reply = parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.wire.send(reply or b"", STALL_S)
        chunks = 0
        while True:
            event = parser.next_event()
            if isinstance(event, h11.EndOfMessage):
                incoming.parsed()
                return True
            if isinstance(event, h11.Data):
                incoming.add(event.data)
                self._note_progress(incoming, len(incoming.data))
                if len(incoming.data) > MAX_BUFFERED_BODY:
                    if call is not None:
                        return False
                    raise BadRequest(413, "the body is too long")
                chunks += 1
                if chunks % MAX_CHUNKS_PER_TURN == 0:
                    await asyncio.sleep(0)
            elif event is h11.NEED_DATA:
                incoming.note_unparsed(parser)
                await self._wait_for_room(incoming, call)
                parser.receive_data(await self._receive_body(incoming))
            else:
                raise _Disconnected

    async def _receive(self) -> bytes:
        """Return the next bytes from the client. Raises _Disconnected at end of stream."""
        data = await self.wire.receive()
        if self._answered_last or self._discarding:
            # A request parsed now would run, and its answer could not be sent.
            await self._discard()
        if not data:
            raise _Disconnected
        self._listener.received(self)
        return data

    async def _discard(self) -> None:
        """Read and discard what follows the last request, so that a disconnect is noticed. Always raises.

        A client may send for as long as it is read, and cost CPU time. If it is read no further, its
        disconnect is hidden behind what it has sent, and its earlier requests are retried for nobody. So past
        MAX_DISCARD_BYTES it is read slowly, and not at all once no answer is pending.
        """
        self.wire.shortcut = None  # or a request after the last one would be accepted
        left = MAX_DISCARD_BYTES
        count = 1
        while left > 0 and count > 0:
            count = len(await self.wire.receive())  # not in a variable, which would keep it while this waits
            left -= count
        while left <= 0 and self._pending and await self.wire.receive():
            await asyncio.sleep(DISCARD_PAUSE_S)
        raise _Disconnected

    # Answers

    def _enqueue(self, pending: _PendingAnswer) -> None:
        if not self._pending:
            self._listener.became_active(self)
        self._pending.append(pending)
        if pending.held is not None:
            self._listener.in_flight += 1
            if pending.held.answer.done():
                # Of a streamed body no attempt will read the rest, and the client would wait.
                self._answered(pending, self._upload)
                return
            pending.held.on_answered = partial(self._answered, pending, self._upload)
        self._flush()

    def _enqueue_text(
        self, parser: h11.Connection | None, status: int, text: str, last: bool | None = None
    ) -> None:
        answer: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
        headers = [(b"Retry-After", RETRY_AFTER_S)] if status in (429, 503) else []
        answer.set_result(Answer(status, headers, text.encode("latin-1", "replace") + b"\n"))
        self._enqueue(_PendingAnswer(parser, answer, last=status not in (200, 503) if last is None else last))

    def _answered(self, pending: _PendingAnswer, upload: Upload | None) -> None:
        """Send the answer once its turn comes, and free the request: no further attempt needs it.

        The unread rest of a streamed body is discarded.
        """
        if upload is not None:
            upload.discard()
        if pending.share is not None:
            pending.share.release()
            pending.share = None
        if pending.held is not None:
            pending.held.call.payload.body.clear()
        if self._writer is not None or not self._pending or self._pending[0] is not pending:
            answer = pending.answer.result()
            if isinstance(answer, Answer):
                self._hold_answer(pending, len(answer.body) + head_bytes(0, len(answer.headers)))
        self._flush()

    def _hold_answer(self, pending: _PendingAnswer, count: int) -> None:
        """Account for an answer that cannot be sent at once. A streamed one accounts for itself."""
        if pending.share is not None:
            pending.share.release()
        pending.share = share = self._memory.answer_share()
        share.hold(count)

    def _flush(self) -> None:
        """Write the answers that are ready, in order, as far as the kernel takes them at once.

        A task writes what the kernel does not take, and the later answers follow it.
        """
        if self._answered_last:
            return
        try:
            while self._writer is None and self._pending and self._pending[0].answer.done():
                data, last, stream = self._encode(self._pending[0])
                if stream is not None:
                    self._writer = asyncio.create_task(
                        self._stream_answer(self._pending[0], data, last, stream)
                    )
                    return
                sent = self.wire.send_now(data)
                if sent < len(data):
                    self._hold_answer(self._pending[0], len(data))
                    self._writer = asyncio.create_task(self._write_rest(memoryview(data)[sent:], last))
                    return
                if self._answer_sent(last):
                    return
        except OSError:
            self._abort_connection(CloseReason.CLIENT)
        except Exception:
            log.exception("answering a client failed")
            self._abort_connection(CloseReason.BROKEN)

    async def _write_rest(self, rest: memoryview, last: bool) -> None:
        try:
            await self.wire.send(rest, STALL_S)
        except OSError as error:
            self._abort_connection(_reason_of_failed_send(error))
            return
        self._writer = None
        if not self._answer_sent(last):
            self._flush()

    async def _stream_answer(self, pending: _PendingAnswer, data: bytes, last: bool, stream: Stream) -> None:
        """Stream an answer with backpressure: one chunk at a time is buffered here.

        Any error aborts the connection, so that the client knows that the answer is incomplete.
        """
        chunked = pending.parser is None and stream.length is None
        writing = False
        try:
            while piece := await stream.read():
                if pending.parser is not None:
                    data += pending.parser.send(h11.Data(data=piece)) or b""
                else:
                    data += b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece
                piece = b""
                writing = True
                await self.wire.send(data, STALL_S)
                writing = False
                data = b""
            if pending.parser is not None:
                data += pending.parser.send(h11.EndOfMessage()) or b""
            elif chunked:
                data += b"0\r\n\r\n"
            writing = True
            await self.wire.send(data, STALL_S)
        except (OSError, h11.LocalProtocolError) as error:
            self._abort_connection(_reason_of_failed_send(error) if writing else CloseReason.ANSWER_BROKEN)
            return
        if pending.parser is not None:
            last = pending.parser.our_state is not h11.DONE
        self._writer = None
        if not self._answer_sent(last):
            self._flush()

    def _abort_connection(self, reason: CloseReason) -> None:
        # Without a reset the client could mistake what it has for the whole answer.
        self._abort = reason
        self.cancel()

    def _answer_sent(self, last: bool) -> bool:
        """Update the state after an answer was sent. Returns whether it was the last one.

        The last answer has announced the close, and the client gets LINGER_S to read it before the connection
        closes (lingering close).
        """
        self._dequeue()
        if last:
            self._answered_last = True
            self.wire.shutdown(socket.SHUT_WR)
            self._linger = asyncio.get_running_loop().call_later(LINGER_S, self.cancel)
        return last

    def _dequeue(self) -> None:
        pending = self._pending.pop(0)
        if pending.share is not None:
            pending.share.release()
        if pending.held is not None:
            self._listener.in_flight -= 1
        if not self._pending:
            self._idle_since = time.monotonic()
            self._deadline = self._idle_since + (REQUEST_TIMEOUT_S if self._partial else IDLE_S)
            self._listener.became_idle(self)

    def _encode(self, pending: _PendingAnswer) -> tuple[bytes, bool, Stream | None]:
        """Encode the next answer. Returns its bytes, whether the connection closes after it, and its stream.

        For a streamed answer the bytes are those of the head, and the stream yields the body; otherwise the
        stream is None.
        """
        answer = _to_answer(pending.answer.result())
        # While draining or shutting down, an answer announces the close only if no input follows its request:
        # a request that has arrived but is not yet parsed would be discarded after such an answer.
        close = pending.last or (
            self._listener.closes_after_answer
            and len(self._pending) == 1
            and not self._partial
            and self.wire.nothing_unread()
        )
        headers = _answer_headers(answer, close, pending.parser is None)
        stream = answer.stream
        body, answer.body = answer.body, b""
        answer.headers = []  # the answer stays until its last byte is sent
        if pending.parser is None:
            start = b"HTTP/1.1 %d \r\n" % answer.status
            return frame_message(start, headers, body), close, stream
        if stream is not None:
            response = h11.Response(status_code=answer.status, headers=headers)
            return frame_events(pending.parser, response), close, stream
        whole = _encode_with_h11(pending.parser, answer.status, headers, body)
        return whole, pending.parser.our_state is not h11.DONE, None


def _reason_of_failed_send(error: Exception) -> CloseReason:
    """Return why a connection closes whose client could not be sent its answer."""
    return CloseReason.NOT_READING if isinstance(error, TimeoutError) else CloseReason.CLIENT


def _to_answer(final: FinalAnswer) -> Answer:
    """Convert a final result to an HTTP answer."""
    if isinstance(final, Answer):
        return final
    if isinstance(final, Refused):
        return Answer(503, [(b"Retry-After", b"%.3f" % (final.retry_after_us / 1e6))], b"refused\n")
    return Answer(500, [], b"failed\n")


def _encode_with_h11(parser: h11.Connection, status: int, headers: Headers, body: bytes | bytearray) -> bytes:
    response = h11.Response(status_code=status, headers=headers)
    return frame_events(parser, response, h11.Data(data=bytes(body)), h11.EndOfMessage())


def _answer_headers(answer: Answer, close: bool, plain: bool) -> Headers:
    """Return the headers of an answer with those for framing and close.

    `plain`: framed here, and not by h11, which itself chooses the framing of a body of unknown length.
    """
    length = len(answer.body) if answer.stream is None else answer.stream.length
    headers = [*answer.headers]
    if length is not None:
        headers.append((b"Content-Length", b"%d" % length))
    elif plain:
        headers.append((b"Transfer-Encoding", b"chunked"))
    if close:
        headers.append((b"Connection", b"close"))
    return headers
