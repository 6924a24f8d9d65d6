"""The client side: connections are accepted, requests read and taken, answers written in their order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import re
import socket
import struct
import time
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from itertools import chain, islice
from typing import Protocol
from urllib.parse import parse_qs, unquote

import h11

from sorrelfront.agent import UPLOAD_RATE_LEAST, Held, close
from sorrelfront.decisions.interface import Effect, RequestClass
from sorrelfront.events import Event, EventCounter
from sorrelfront.messages import Address, Answer, Call, Final, Headers, Refused, Stream
from sorrelfront.net.bodies import Upload
from sorrelfront.net.budget import BODY_MOST, STREAM_MOST, BodyBudget, BodyShare, Descriptors
from sorrelfront.net.heads import HEAD_END, HEAD_MOST, RequestHead, framed, request_head
from sorrelfront.net.http import KERNEL_BUFFER, PIECES_IN_A_ROW, Payload, Wire, end_to_end, frame

log = logging.getLogger(__name__)

READY = b"/health/ready"
ACCEPTS_IN_A_ROW = 16  # connections accepted before the loop is let go on
# Places in the kernel's struct tcp_info, in bytes.
TCPI_UNACKED = 24
TCPI_LAST_DATA_RECV = 52
ACCEPTED_LATE_MS = 20  # from here on the time that a request waited to be accepted is taken off what it has
AWAITED_S = 0.005  # between looks at whether the backlog is empty, while going away
ACCEPT_AGAIN_S = 0.01  # after a failed accept: descriptors come back as attempts end
BACKLOG = 4096  # a crowd waits here and not in lost SYNs, which come again only after a second
PIPELINE_MOST = 16  # requests open on one connection; whoever sends more at once is turned away
# From the connection's start, or a request's first byte, to the request's last. Clients that only open
# connections may be closed after 2 s, and those that send no whole request are owed an end within 3 s.
WHOLE_S = 2.4
# A body that comes at UPLOAD_RATE_LEAST or faster may take its time, as long as no pause in it is longer.
PAUSE_S = 1.0
# Between requests. Risk: those that ask once and stay hold a descriptor each for good, here and where they
# run, and clients have only so many: their next request then finds none. Harm: who asks seldom connects anew.
IDLE_S = 2.0
REST_S = 0.1  # what a client may rest for in any case, to ask again at once
ASKING_SHARE = 0.9  # of what clients may hold for requests: from here on the longest at rest go
SWEEP_S = 0.2  # between looks at who has had its time
BLANK_MOST = 64  # bytes of empty lines ahead of a request
STALL_S = 5.0  # a client that takes nothing for so long has stalled; answers here have 64 KiB at most
DISCARD_MOST = 256 * 1024  # read past the last request, so that its answer is not overtaken by a reset
DISCARD_PAUSE_S = 0.02  # between reads past that, while answers are owed: 3 MB a second at most
LINGER_S = 1.0  # for the client to read the last answer and close. Risk: a reset would overtake the answer
COME_BACK_S = b"1"  # told with a refusal that the module had no part in: by then the crowd is over
GOING_AWAY_S = 0.5  # after SIGTERM new connections go on coming for up to 0.4 s
# Past the longest deadline, the most that SIGTERM may take: SIGKILL comes 0.7 s past it at the soonest.
GOING_AWAY_MORE_S = 0.55
LAST_ANSWERS_S = 0.08  # of what is left to SIGKILL, for the clients to read what is answered at the very last

TOKEN = re.compile(rb"[!-~]{1,128}")
BUDGET = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])")
BUDGET_UNITS_US = {b"m": 1000.0, b"u": 1.0}


class BadRequest(Exception):
    """A request that never reaches the module, and the status that answers it."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Head(Protocol):
    """What of a request's head is asked for here, whoever parsed it."""

    @property
    def method(self) -> bytes: ...

    @property
    def target(self) -> bytes: ...

    @property
    def headers(self) -> Iterable[tuple[bytes, bytes]]: ...


class CloseReason(StrEnum):
    """Why a connection of a client's was closed."""

    CLIENT = "client-closed"
    BROKEN = "client-broken"  # what it sends cannot be followed any more
    IDLE = "idle-timeout"
    EVICTED = "evicted"  # for one that has just come
    CROWDED = "crowded"  # clients hold nearly all connections that they may
    DRAINING = "draining"
    GOING_AWAY = "going-away"
    ANSWERED_LAST = "answered-last"


class RejectReason(StrEnum):
    """Why a request was answered before it was taken."""

    INCOMPLETE = "incomplete"  # it did not come whole in time
    NO_ROOM = "no-room"
    GOING_AWAY = "going-away"
    BAD_REQUEST = "bad-request"  # it cannot be read, is not allowed, or is too long


class RequestHandler(Protocol):
    """What the front hands requests to."""

    @property
    def longest_deadline_us(self) -> int: ...

    @property
    def events(self) -> EventCounter:
        """Where closes and refusals of the front's own are counted."""

    def request_class(self, name: str) -> RequestClass | None: ...

    def has_open(self, client_id: bytes) -> bool: ...

    def take(self, call: Call) -> Held: ...

    def whole(self, held: Held) -> None: ...

    def abandon(self, held: Held) -> None: ...

    def fail(self, held: Held) -> None: ...


class _Gone(Exception):
    """The client has closed its connection."""


@dataclass(slots=True)
class _Turn:
    """A request's place in the order of answers."""

    parser: h11.Connection | None  # None: of a plain request, whose answer is framed directly
    answer: asyncio.Future[Final]
    share: BodyShare | None = None
    held: Held | None = None
    last: bool = False  # nothing after it will be read


class Listener:
    """All clients of this agent."""

    def __init__(
        self,
        agent: RequestHandler,
        address: Address | socket.socket,
        descriptors: Descriptors,
        bodies: BodyBudget,
    ) -> None:
        """Listens at the address, or on a socket that is listened on already, which it owns from here on; its
        queue may be shared with other processes. Raises OSError."""
        self.agent = agent
        self.bodies = bodies
        self.closing = False
        self._drained_at: float | None = None  # operators want no clients here, since then
        self._retired = False  # another process takes the connections that come
        self.taken = 0  # requests taken whose answers are not yet written
        self._clients_most = descriptors.clients
        self._asking_most = descriptors.asking
        self._clients: set[_Client] = set()
        # Those owed nothing, longest idle first. Risk: a crowd that says nothing displaces the clients that
        # do; so who has sent nothing yet stands apart, and goes first.
        self._silent: OrderedDict[_Client, None] = OrderedDict()
        self._resting: OrderedDict[_Client, None] = OrderedDict()
        self.uploading: set[_Client] = set()  # whose requests are passed on while they come
        self._changed = asyncio.Event()
        self._in_a_row = ACCEPTS_IN_A_ROW
        if isinstance(address, socket.socket):
            # Risk: of several processes that wake for a crowd, the first would take all of it.
            self._in_a_row = 1
            self._sock = address
            address.listen(BACKLOG)  # another that shares it may have stopped letting in more
        else:
            # Other versions of this program may listen beside it (socket(7), SO_REUSEPORT), and those of the
            # same user alone. Harm: two started here by mistake share the clients, where one would fail.
            self._sock = socket.create_server(address, backlog=BACKLOG, reuse_port=True)
        self._sock.setblocking(False)
        # Accepted sockets inherit it.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER)
        self._accepting = False
        self._accepted = 0  # connections so far
        self._resume()
        self._sweeping = asyncio.create_task(self._sweep())

    @property
    def address(self) -> Address:
        host, port = self._sock.getsockname()
        return host, port

    def fileno(self) -> int:
        """Of the listening socket; -1 once it is closed."""
        return self._sock.fileno()

    def owns(self, sock: socket.socket) -> bool:
        return self._sock is sock

    @property
    def connections(self) -> int:
        return len(self._clients)

    @property
    def refusing(self) -> bool:
        """Whether who asks if this is ready is told no."""
        return self.closing or self._drained_at is not None

    @property
    def leaving(self) -> bool:
        """Whether each connection ends with its next answer that has nothing behind it."""
        return self.refusing or self._retired

    def drain(self, on: bool) -> None:
        """Have all clients go elsewhere, or take them again. Who asks is told no at once; each connection
        ends with its next answer, and those that rest end once they have rested for GOING_AWAY_S since. What
        still comes is served: those who ask who is ready learn of it a moment later."""
        if on and self._drained_at is None:
            self._drained_at = time.monotonic()
        elif not on:
            self._drained_at = None

    def retire(self, on: bool) -> None:
        """Another process takes the connections that come from the shared queue, and clients go over to it as
        their answers tell them; or it has gone, and this one takes them again."""
        self._retired = on
        if on:
            self._pause()
        elif self._sock.fileno() >= 0:
            self._resume()

    def resize(self, descriptors: Descriptors, memory_bytes: int) -> None:
        """Take on other limits; what is open over a lower one goes as it comes to rest."""
        clients = self._clients_most = descriptors.clients
        self._asking_most = descriptors.asking
        self.bodies.resize(memory_bytes)
        for _ in range(len(self._clients) - clients):
            if not self._evict():
                break
        self._changed_now()

    async def close(self, others: bool = False) -> None:
        """Going away: finish what is owed, and take on what still comes while it comes. `others`: processes
        that go on share the queue, so nothing further is taken on here.

        Connections that rest are kept for GOING_AWAY_S, and the next answer on each says that it is the last.
        Risk: cut at once, all their clients connect anew together, to an agent that is going away. Then no
        more are let in than wait already, and what rests with nothing unread is closed.
        """
        until = time.monotonic() + self.agent.longest_deadline_us / 1e6 + GOING_AWAY_MORE_S
        self.closing = True
        if others:
            self.hand_over()
        await asyncio.sleep(GOING_AWAY_S)
        await self._end_accepting(until)
        while self._clients and time.monotonic() < until:
            self._end_resting()
            if self._clients:
                await self._change(until)
        await self._give_up()
        self._sweeping.cancel()

    async def _give_up(self) -> None:
        """No time is left. Risk: who sends on a connection that stays open is taken on until the end, with a
        deadline behind it, and would be lost with the process. Harm: what could still be served in the
        moment that SIGKILL leaves is failed."""
        until = time.monotonic() + LAST_ANSWERS_S
        for client in [*self._clients]:
            client.give_up()
        while self._clients and time.monotonic() < until:
            self._end_resting()
            if self._clients:
                await self._change(until)

    def hand_over(self) -> None:
        """Processes that go on share the queue: take nothing further from it. Risk: shortened or emptied by
        one that goes away, their queue refuses who comes to them."""
        self._pause()
        self._sock.close()

    async def _end_accepting(self, until: float) -> None:
        # Risk: clients that connect anew after each answer keep the backlog from ever being empty, and what
        # is taken from it late ends after this agent does. Who waits there now is served as room comes.
        if self._sock.fileno() < 0:
            return
        self._sock.listen(0)
        last = self._accepted + self._backlog()
        while self._accepted < last and self._backlog() and time.monotonic() < until:
            await asyncio.sleep(AWAITED_S)
            if self._sock.fileno() < 0:  # handed over meanwhile
                return
        self._accept()  # who has come since
        self._pause()
        self._sock.close()

    async def _change(self, until: float) -> None:
        """Wait for a client to rest or end, for SWEEP_S at most: what has just come is looked at again."""
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(SWEEP_S, max(0.0, until - time.monotonic()))):
                await self._changed.wait()

    def _end_resting(self) -> None:
        for client in [*self._silent, *self._resting]:
            client.end(CloseReason.GOING_AWAY)

    async def _sweep(self) -> None:
        """End those who have had their time. One timer for all: a timer for each read would cost more."""
        while True:
            due = time.monotonic() + SWEEP_S
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            stood_still = now - due
            for client in [*self._silent, *self._resting, *self.uploading]:
                if stood_still > SWEEP_S:
                    client.excuse(stood_still)
                client.expire(now)
            if self._drained_at is not None and not self.closing:
                self._end_drained(now - GOING_AWAY_S)
            self._relieve()
            self.agent.events.report()

    def _end_drained(self, before: float) -> None:
        """End those that have rested since before this time, and since the drain was asked for. Risk: ended
        sooner, who has just connected would find nobody, and ask once more, again and again."""
        if self._drained_at is None or self._drained_at > before:
            return
        for client in [*self._silent, *self._resting]:
            if client.since <= before:
                client.end(CloseReason.DRAINING)

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
        """Accept in the step in which it is known that somebody waits. Risk: a connection that travels in a
        future is dropped with it, and may hold a whole request.

        Risk: asyncio's own server stops for a second when descriptors run out, and everybody waits."""
        for _ in range(self._in_a_row):
            if len(self._clients) >= self._clients_most and not self._evict():
                self._pause()  # until a client rests or ends
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                log.warning("accepting failed: %s", fault)
                self._pause()
                asyncio.get_running_loop().call_later(ACCEPT_AGAIN_S, self._resume)
                return
            self._accepted += 1
            self.begin(sock).waited_us = _waited_us(sock)

    def _backlog(self) -> int:
        """How many connections the machine has accepted that wait for us: `tcpi_unacked` of a listening
        socket on Linux. Risk: each of them may hold a whole request."""
        info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_UNACKED + 4)
        (waiting,) = struct.unpack_from("=I", info, TCPI_UNACKED)
        return int(waiting)

    def begin(self, sock: socket.socket) -> _Client:
        """Serve an accepted connection."""
        sock.setblocking(False)
        client = _Client(self, Wire(sock))
        self._clients.add(client)
        self._silent[client] = None
        client.start()
        return client

    def _evict(self) -> bool:
        """Close the client that has been idle longest of those that are owed nothing. Where all of these have
        begun a request, the oldest is refused instead and makes room once it has its answer. Risk: cut, a
        client whose last byte is on its way would have a request lost. Harm: those who send slowly on purpose
        hold their places for that moment longer."""
        begun = None
        for client in chain(self._silent, self._resting):
            if client.end(CloseReason.EVICTED):
                return True
            if begun is None and client.unfinished:
                begun = client
        if begun is not None:
            begun.turn_away(503, "no room for a request that comes so slowly", RejectReason.NO_ROOM)
        return False

    def _relieve(self) -> None:
        """Close those that have rested longest while clients hold nearly all that they may for requests.
        Risk: in a crowd that asks once and stays, all of these rest, and nobody can ask for IDLE_S more.
        So too where clients leave connections behind. Harm: the last tenth of the usual clients' connections
        is opened anew for each request."""
        spare = int(self._asking_most * ASKING_SHARE) - (len(self._clients) - len(self._silent))
        now = time.monotonic()
        for client in [*islice(self._resting, max(0, -spare))]:
            if client.rested(now) < REST_S:
                return
            client.end(CloseReason.CROWDED)

    # What clients report

    def heard(self, client: _Client) -> None:
        if client in self._silent:
            del self._silent[client]
            self._resting[client] = None
        elif client in self._resting:
            self._resting.move_to_end(client)

    def owed(self, client: _Client) -> None:
        self._silent.pop(client, None)
        self._resting.pop(client, None)

    def rests(self, client: _Client) -> None:
        self._resting[client] = None
        self._relieve()
        self._changed_now()

    def ended(self, client: _Client) -> None:
        self._clients.discard(client)
        self._silent.pop(client, None)
        self._resting.pop(client, None)
        self._changed_now()

    def _changed_now(self) -> None:
        self._changed.set()
        self._resume()


def _waited_us(sock: socket.socket) -> int:
    """For how long a request has waited on a connection that is accepted now, in microseconds; 0 if nothing
    has come, or a moment ago. Where accepting fails for a while, a client's time runs all the same."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_LAST_DATA_RECV + 4)
        (waited_ms,) = struct.unpack_from("=I", info, TCPI_LAST_DATA_RECV)
        if waited_ms < ACCEPTED_LATE_MS or not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            return 0
    except (OSError, struct.error):
        return 0
    return int(waited_ms) * 1_000


class _Client:
    """One connection. It reads on while answers are due, so that a client's going is seen at once.

    What a resting one holds is kept small: a list where a deque would take 600 bytes for its first place, and
    a future only while somebody waits."""

    __slots__ = (
        "__weakref__", "_abort", "_agent", "_answered", "_answered_last", "_asked", "_begun", "_blank",
        "_body_since", "_deaf", "_linger", "_listener", "_share", "_task", "_turns", "_until",
        "_upload", "_writer", "waited_us", "wire",
    )  # fmt: skip

    def __init__(self, listener: Listener, wire: Wire) -> None:
        self.wire = wire
        self.waited_us = 0  # for which its first request lay in the kernel before it was accepted
        self._listener = listener
        self._agent = listener.agent
        self._turns: list[_Turn] = []  # PIPELINE_MOST at most
        self._share: BodyShare | None = None  # of the request being read
        self._begun = False  # part of a request has come
        self._asked = False  # some request has begun here
        self._blank = 0  # bytes of empty lines since the last request
        self._abort = False
        self._answered_last = False
        self._deaf = False  # what comes from now on is read past
        self._upload: Upload | None = None  # the body that is passed on while it comes
        self._body_since = 0.0  # when the body that is being read began
        self._until = time.monotonic() + WHOLE_S  # for a whole request, or at rest for the next to begin
        self._answered = time.monotonic()  # when it was last owed nothing more
        self._writer: asyncio.Task[None] | None = None
        self._linger: asyncio.TimerHandle | None = None
        wire.shortcut = self._take_whole

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())
        # Risk: a task that is cancelled before its first step runs no `finally` of its own.
        self._task.add_done_callback(lambda _: self._finish())

    def cancel(self) -> None:
        self._task.cancel()

    def rested(self, now: float) -> float:
        return now - self._answered

    @property
    def since(self) -> float:
        """When it was last owed nothing more, or connected."""
        return self._answered

    @property
    def unfinished(self) -> bool:
        """Whether part of a request has come, and is owed an answer once no more of it is waited for."""
        return self._begun and not self._turns and not self._deaf and self._upload is None

    def end(self, reason: CloseReason) -> bool:
        """Close if it is owed nothing and nothing of a request has come. Whether it is closed.

        Look and close are one step. Risk: what came between them would be read, and dropped with the
        connection. What comes at that very moment stays unread: the kernel resets the connection for it, by
        which the client knows, and it asks once more elsewhere."""
        owed = bool(self._turns) or (self._begun and not self._answered_last)
        if owed or not self.wire.quiet():
            return False
        crossed = False
        if self._listener.leaving:
            # Looked at once more with the sending side shut: what came before the client could know of the
            # end is left unread, and reset, so that the client asks again.
            self.wire.shutdown(socket.SHUT_WR)
            crossed = not self.wire.quiet()
        self.wire.close(abort=crossed)
        self._agent.events.add(Event.CLOSED, reason)
        self.cancel()
        self._listener.ended(self)
        return True

    def excuse(self, seconds: float) -> None:
        """Time in which this program did not run is not the client's. Risk: after a pause of this process, or
        of the whole host, requests are cut off whose rest lies unread here, or is on its way."""
        self._until += seconds
        self._body_since += seconds

    def expire(self, now: float) -> None:
        """Its time may be up: an answer if part of a request has come, the end if nothing has."""
        if now < self._until or self._deaf:
            return
        if self._upload is not None:
            self._broken()  # its answer has its place already, and the request is not yet taken
        elif self._turns:
            return
        elif self._begun:
            self.turn_away(408, "the request did not come whole in time", RejectReason.INCOMPLETE)
        else:
            self.end(CloseReason.IDLE)

    def give_up(self) -> None:
        """Answer at once whatever is owed: what was taken as failed, what has not come whole as refused."""
        for turn in [*self._turns]:
            if turn.held is not None:
                self._agent.fail(turn.held)
        if self.unfinished:
            self.turn_away(503, "going away", RejectReason.GOING_AWAY)

    def turn_away(self, status: int, text: str, reason: RejectReason) -> None:
        """Answer a request that has not come whole, as the last; what still comes of it is read past."""
        self._agent.events.add(Event.REFUSED, reason)
        self._deaf = True
        self._push_text(None, status, text, last=True)

    async def _run(self) -> None:
        try:
            await self._read_requests()
        except (_Gone, OSError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("serving a client failed")
            self._abort = True

    def _finish(self) -> None:
        # Risk: a cancelled task keeps its exception, whose traceback keeps its frames, and those this client:
        # a circle that waits for a full collection with socket, parser and task, of which there are few. So
        # for every task that its owner cancels: let go of it.
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.cancel()
        if self._upload is not None:
            self._upload.break_off()
            self._upload = None
            self._listener.uploading.discard(self)
        if self._linger is not None:
            self._linger.cancel()
        if self._share is not None:
            self._share.release()
        for turn in self._turns:
            self._drop(turn)
        self._turns.clear()
        if not self.wire.closed:
            self._agent.events.add(Event.CLOSED, self._close_reason())
        self.wire.close(self._abort)
        self._listener.ended(self)

    def _close_reason(self) -> CloseReason:
        """Why this connection ends, where its task has come to its end by itself."""
        if self._abort:
            return CloseReason.BROKEN
        return CloseReason.ANSWERED_LAST if self._answered_last else CloseReason.CLIENT

    def _drop(self, turn: _Turn) -> None:
        """The client will not have this answer."""
        if turn.share is not None:
            turn.share.release()
        if turn.held is not None:
            self._listener.taken -= 1
            self._agent.abandon(turn.held)
        # Risk: a task that is cancelled before its first step, or that writes, closes no stream of its own.
        if turn.answer.done() and not turn.answer.cancelled():
            close(turn.answer.result())

    # Requests

    async def _read_requests(self) -> None:
        rest = b""
        while True:
            parser: h11.Connection | None = None
            try:
                data, at = await self._read_until_head(rest)
                plain = request_head(data[:at]) if at else None
                if plain is not None:
                    last, rest = await self._read_plain(plain, data, at)
                else:
                    # Each request has a parser of its own: h11 reads no further on one while an answer is
                    # due.
                    parser = h11.Connection(h11.SERVER, HEAD_MOST)
                    last = await self._read_strictly(parser, data)
                    rest = parser.trailing_data[0]
            except BadRequest as bad:
                self._agent.events.add(Event.REFUSED, RejectReason.BAD_REQUEST)
                self._push_text(parser, bad.status, str(bad))
                last = True
            # Risk: kept by name, a request's bytes stay with each connection that waits for the next.
            data, plain = b"", None
            if last:
                await self._discard()

    async def _read_until_head(self, data: bytes) -> tuple[bytes, int]:
        """What has come of the next request, and where its head ends; 0 if that is for h11 to say. Empty
        lines ahead of a request are passed over (RFC 9112, 2.2)."""
        data = data.lstrip(b"\r\n")
        searched = 0
        if data:
            self._begins()
        while True:
            if data:
                found = HEAD_END.search(data, searched)
                if found is not None:
                    return data, found.end()
                if data[0] < 0x21 or len(data) > HEAD_MOST:
                    return data, 0
                searched = max(0, len(data) - 2)
            came = await self._receive()
            if not self._begun:
                self._blank += len(came)
                came = came.lstrip(b"\r\n")
                self._blank -= len(came)
                if self._blank > BLANK_MOST:  # Risk: nothing else comes
                    raise BadRequest(400, "no request came")
                if came:
                    self._begins()
            data += came

    async def _read_plain(self, head: RequestHead, data: bytes, at: int) -> tuple[bool, bytes]:
        """Read the rest of a plain request and take it. Returns whether it is the last of its connection, and
        what came behind it."""
        if len(self._turns) >= PIPELINE_MOST:
            raise BadRequest(429, "too many requests at once on one connection")
        call = None if _path(head) == READY else parse_call(head, self._agent)
        if head.length > STREAM_MOST or (call is None and head.length > BODY_MOST):
            raise BadRequest(413, "the body is too long")
        body = call.payload.body if call else bytearray()
        share = self._share = self._listener.bodies.share()
        end = at + head.length
        body += data[at:end]
        share.add(len(body))
        rest = data[end:]
        self._body_since = time.monotonic()
        while len(body) < min(head.length, BODY_MOST):
            await self._room(share)
            came = await self._receive()
            missing = head.length - len(body)
            rest = came[missing:]
            share.add(min(len(came), missing))
            body += came[:missing]
            self._progressed(len(body))
        upload = self._take(None, call, share, head.last, head.length if len(body) < head.length else -1)
        while upload is not None and upload.received < head.length:
            await self._may_go_on(upload)
            came = await self._receive()
            missing = head.length - upload.received
            rest = came[missing:]
            upload.feed(came[:missing])
            self._progressed(upload.received)
        self._uploaded()
        return head.last, rest

    async def _room(self, share: BodyShare) -> None:
        """Wait until more of a body may be read. Risk: while its client is not read its end is not seen, and
        what it asked before is sent on for nobody. Harm: who sends long bodies behind requests that wait is
        refused one where memory is short."""
        if self._turns and share.must_wait():
            raise BadRequest(503, "no room for a body behind requests that wait")
        await share.room()

    def _progressed(self, received: int) -> None:
        """So much of a body has come. Risk: a client that sends a long body as fast as it can would be cut
        off, or one that sends a byte now and then would hold its place for ever."""
        now = time.monotonic()
        if received >= UPLOAD_RATE_LEAST * (now - self._body_since):
            self._until = max(self._until, now + PAUSE_S)

    async def _may_go_on(self, upload: Upload) -> None:
        """Wait until the body's server takes more of it. That time is not the client's."""
        began, until = time.monotonic(), self._until
        self._until = math.inf
        try:
            await upload.room()
        finally:
            waited = time.monotonic() - began
            self._body_since += waited
            self._until = until + waited

    def _uploaded(self) -> None:
        """The body has come whole, if it was passed on while it came."""
        upload, self._upload = self._upload, None
        if upload is None:
            return
        self._listener.uploading.discard(self)
        self._begun = False
        upload.end()
        for turn in self._turns:
            if turn.held is not None and turn.held.call.upload is upload:
                self._agent.whole(turn.held)
        self._until = time.monotonic() + IDLE_S

    def _take_whole(self, data: bytes) -> bool:
        """Take what is one plain request, whole and nothing else, in the step in which it comes. Whatever
        is not, or would be refused, changes nothing here and goes the usual way."""
        if self._begun or self._answered_last or self._deaf or len(self._turns) >= PIPELINE_MOST:
            return False
        found = HEAD_END.search(data)
        head = request_head(data[: found.end()]) if found is not None else None
        if found is None or head is None or head.last or found.end() + head.length != len(data):
            return False
        if head.length > BODY_MOST or _path(head) == READY:
            return False
        try:
            call = parse_call(head, self._agent)
        except BadRequest:
            return False
        if self._agent.has_open(call.client_id):
            return False
        self._listener.heard(self)
        self._begins()
        call.payload.body += data[found.end() :]
        share = self._listener.bodies.share()
        share.add(head.length)
        # Risk: this runs in the loop's own callback, which knows nothing of who has gone; the client's end is
        # still unread, and ends the connection next.
        with contextlib.suppress(_Gone):
            self._take(None, call, share, False)
        return True

    async def _read_strictly(self, parser: h11.Connection, data: bytes) -> bool:
        """Read one request that is not plain, as far as h11 accepts it, and take it. Returns whether it is
        the last of its connection."""
        try:
            head = await self._read_head(parser, data)
            check_framing(head)
            if len(self._turns) >= PIPELINE_MOST:
                raise BadRequest(429, "too many requests at once on one connection")
            call = None if _path(head) == READY else parse_call(head, self._agent)
            body = call.payload.body if call else bytearray()
            share = self._share = self._listener.bodies.share()
            lengths = [int(value) for name, value in head.headers if name == b"content-length"]
            if any(length > (STREAM_MOST if call else BODY_MOST) for length in lengths):
                raise BadRequest(413, "the body is too long")
            whole = await self._read_body(parser, body, share, call is not None)
        except h11.RemoteProtocolError as fault:
            status = fault.error_status_hint
            raise BadRequest(status, str(fault)) from None
        if whole:
            last = parser.their_state is h11.MUST_CLOSE
            self._take(parser, call, share, last)
            return last
        last = head.http_version != b"1.1" or any(
            name == b"connection" and b"close" in value.lower() for name, value in head.headers
        )
        upload = self._take(parser, call, share, last, lengths[0] if lengths else None)
        assert upload is not None
        await self._pass_on(parser, upload)
        return last

    async def _pass_on(self, parser: h11.Connection, upload: Upload) -> None:
        """Read the rest of a body that is not plain. Whatever is wrong with it ends the connection: its
        answer has its place already, and its server has not had the last byte."""
        pieces = 0
        try:
            while True:
                event = parser.next_event()
                if isinstance(event, h11.EndOfMessage):
                    self._uploaded()
                    return
                if isinstance(event, h11.Data):
                    await self._may_go_on(upload)
                    upload.feed(bytes(event.data))
                    self._progressed(upload.received)
                    if upload.received > STREAM_MOST:
                        break
                    pieces += 1
                    if pieces % PIECES_IN_A_ROW == 0:
                        await asyncio.sleep(0)
                elif event is h11.NEED_DATA:
                    parser.receive_data(await self._receive())
                else:
                    break
        except h11.RemoteProtocolError:
            pass
        self._abort = True
        raise _Gone

    def _take(
        self,
        parser: h11.Connection | None,
        call: Call | None,
        share: BodyShare,
        last: bool,
        length: int | None = -1,
    ) -> Upload | None:
        """A request has come whole: a call, or the question whether this is ready. Or a call whose body, of
        this length (None: not known), goes on; then what it goes on by is returned."""
        self._share = None
        self._begun = False
        waited_us, self.waited_us = self.waited_us, 0
        share.whole()
        if call is not None and self._agent.has_open(call.client_id):
            # Risk: where requests are told apart by id, one of the two would be taken for the other.
            share.release()
            raise BadRequest(409, "a request under this X-Call-Id is open")
        if call is None:
            share.release()
            refusing = self._listener.refusing
            text = "going away" if refusing else "ready"
            self._push_text(parser, 503 if refusing else 200, text, last)
        else:
            if self.wire.hung_up():
                # Risk: who has asked and left while it waited to be accepted, or for its turn, is sent for.
                share.release()
                raise _Gone
            call.left = self.wire.hung_up
            if length != -1:
                call.upload = self._upload = Upload(call.payload.body, length)
                call.payload.body = bytearray()
                self._begun = True  # until the rest is here
                self._listener.uploading.add(self)
            call.budget_us -= waited_us
            held = self._agent.take(call)
            self._push(_Turn(parser, held.answer, share, held, last))
        return self._upload

    async def _read_head(self, parser: h11.Connection, rest: bytes) -> h11.Request:
        parser.receive_data(rest)
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                raise _Gone
            parser.receive_data(await self._receive())

    def _begins(self) -> None:
        """The first byte of a request. The first of a connection has its time from the connection's start."""
        self._begun = True
        self._blank = 0
        if self._asked:
            self._until = time.monotonic() + WHOLE_S
        self._asked = True

    async def _read_body(
        self, parser: h11.Connection, body: bytearray, share: BodyShare, may_go_on: bool
    ) -> bool:
        """Read a body of up to BODY_MOST bytes, or the beginning of a longer one that `may_go_on`. Returns
        whether it is whole."""
        self._body_since = time.monotonic()
        if parser.they_are_waiting_for_100_continue and not self._turns:
            reply = parser.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.wire.send(reply or b"", STALL_S)
        pieces = 0
        while True:
            event = parser.next_event()
            if isinstance(event, h11.EndOfMessage):
                return True
            if isinstance(event, h11.Data):
                body += event.data
                share.add(len(event.data))
                self._progressed(len(body))
                if len(body) > BODY_MOST:
                    if may_go_on:
                        return False
                    raise BadRequest(413, "the body is too long")
                pieces += 1
                if pieces % PIECES_IN_A_ROW == 0:
                    await asyncio.sleep(0)
            elif event is h11.NEED_DATA:
                await self._room(share)
                parser.receive_data(await self._receive())
            else:
                raise _Gone

    async def _receive(self) -> bytes:
        """The next bytes of the client. Raises _Gone at their end."""
        data = await self.wire.receive()
        if self._answered_last or self._deaf:
            # Risk: a request read now would run, and its answer could not be written.
            await self._discard()
        if not data:
            raise _Gone
        self._listener.heard(self)
        return data

    async def _discard(self) -> None:
        """Read on past the last request, so that the client's going is seen. Risk: a client may go on sending
        for as long as it is read, at our core's cost. Read no further, its end is behind what it has sent,
        and what it asked before is sent on for nobody. So past DISCARD_MOST it is read slowly, and not once
        it is owed nothing."""
        self.wire.shortcut = None  # Risk: a request that comes behind the last one would be taken
        left = DISCARD_MOST
        while left > 0 and (data := await self.wire.receive()):
            left -= len(data)
        while left <= 0 and self._turns and await self.wire.receive():
            await asyncio.sleep(DISCARD_PAUSE_S)
        raise _Gone

    # Answers

    def _push(self, turn: _Turn) -> None:
        if not self._turns:
            self._listener.owed(self)
        self._turns.append(turn)
        if turn.held is not None:
            turn.held.told = self._pump
            self._listener.taken += 1
            if self._upload is not None:
                turn.held.told = partial(self._answered_early, self._upload)
                if turn.held.answer.done():  # Risk: its client would wait for a taker who never comes
                    self._upload.drop()
        self._pump()

    def _push_text(
        self, parser: h11.Connection | None, status: int, text: str, last: bool | None = None
    ) -> None:
        answer: asyncio.Future[Final] = asyncio.get_running_loop().create_future()
        headers = [(b"Retry-After", COME_BACK_S)] if status in (429, 503) else []
        answer.set_result(Answer(status, headers, text.encode("latin-1", "replace") + b"\n"))
        self._push(_Turn(parser, answer, last=status not in (200, 503) if last is None else last))

    def _answered_early(self, upload: Upload) -> None:
        """The answer is known; what of the body nobody has taken, nobody will."""
        upload.drop()
        self._pump()

    def _pump(self) -> None:
        """Write the answers that are there, in their order, as far as the kernel takes them at once. What
        it does not take goes on in a task, and the next ones after it."""
        if self._answered_last:
            return
        try:
            while self._writer is None and self._turns and self._turns[0].answer.done():
                data, last, stream = self._word(self._turns[0])
                if stream is not None:
                    self._writer = asyncio.create_task(self._stream_on(self._turns[0], data, last, stream))
                    return
                sent = self.wire.send_now(data)
                if sent < len(data):
                    self._writer = asyncio.create_task(self._write_on(memoryview(data)[sent:], last))
                    return
                if self._written(last):
                    return
        except OSError:
            self._broken()
        except Exception:
            log.exception("answering a client failed")
            self._broken()

    async def _write_on(self, rest: memoryview, last: bool) -> None:
        try:
            await self.wire.send(rest, STALL_S)
        except OSError:
            self._broken()
            return
        self._writer = None
        if not self._written(last):
            self._pump()

    async def _stream_on(self, turn: _Turn, data: bytes, last: bool, stream: Stream) -> None:
        """Pass on an answer while it comes. One piece at a time is held here: what the client does not take,
        the server feels. Whatever goes wrong cuts the client off, which then knows that it is not whole."""
        chunked = turn.parser is None and stream.length is None
        try:
            while piece := await stream.read():
                if turn.parser is not None:
                    data += turn.parser.send(h11.Data(data=piece)) or b""
                else:
                    data += b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece
                await self.wire.send(data, STALL_S)
                data = b""
            if turn.parser is not None:
                data += turn.parser.send(h11.EndOfMessage()) or b""
            elif chunked:
                data += b"0\r\n\r\n"
            await self.wire.send(data, STALL_S)
        except (OSError, h11.LocalProtocolError):
            self._broken()
            return
        if turn.parser is not None:
            last = turn.parser.our_state is not h11.DONE
        self._writer = None
        if not self._written(last):
            self._pump()

    def _broken(self) -> None:
        # Risk: the client would take what has come for the whole.
        self._abort = True
        self.cancel()

    def _written(self, last: bool) -> bool:
        """An answer has gone out. Whether it was the last: then it has said so, and the client is given
        time to read it before the connection goes."""
        self._done()
        if last:
            self._answered_last = True
            self.wire.shutdown(socket.SHUT_WR)
            self._linger = asyncio.get_running_loop().call_later(LINGER_S, self.cancel)
        return last

    def _done(self) -> None:
        turn = self._turns.pop(0)
        if turn.share is not None:
            turn.share.release()
        if turn.held is not None:
            self._listener.taken -= 1
        if not self._turns:
            self._answered = time.monotonic()
            self._until = self._answered + (WHOLE_S if self._begun else IDLE_S)
            self._listener.rests(self)

    def _word(self, turn: _Turn) -> tuple[bytes, bool, Stream | None]:
        """The next answer as it goes out, and whether the connection ends with it; of one that is passed on
        while it comes, the head, and what brings the rest."""
        answer = _worded(turn.answer.result())
        if turn.share is not None:
            turn.share.release()
        turn.share = self._listener.bodies.share()
        turn.share.add(len(answer.body) if answer.stream is None else BODY_MOST)
        # Going away, the last answer is one with nothing behind it. Risk: a request that has come and is not
        # yet parsed would be read past after an answer that says it is the last.
        close = turn.last or (
            self._listener.leaving
            and len(self._turns) == 1
            and not self._begun
            and self.wire.quiet()
        )
        headers = _headers(answer, close, turn.parser is None)
        stream = answer.stream
        if turn.parser is None:
            start = b"HTTP/1.1 %d \r\n" % answer.status
            return framed(start, headers, answer.body), close, stream
        if stream is not None:
            response = h11.Response(status_code=answer.status, headers=headers)
            return frame(turn.parser, response), close, stream
        whole = _whole(turn.parser, answer, headers)
        return whole, turn.parser.our_state is not h11.DONE, None


def _worded(final: Final) -> Answer:
    """A final answer in HTTP's words."""
    if isinstance(final, Answer):
        return final
    if isinstance(final, Refused):
        return Answer(503, [(b"Retry-After", b"%.3f" % (final.retry_after_us / 1e6))], b"refused\n")
    return Answer(500, [], b"failed\n")


def _whole(parser: h11.Connection, answer: Answer, headers: Headers) -> bytes:
    response = h11.Response(status_code=answer.status, headers=headers)
    return frame(parser, response, h11.Data(data=bytes(answer.body)), h11.EndOfMessage())


def _headers(answer: Answer, close: bool, plain: bool) -> Headers:
    """`plain`: framed here, and not by h11, which says itself how a body of unknown length is framed."""
    length = len(answer.body) if answer.stream is None else answer.stream.length
    headers = [*answer.headers]
    if length is not None:
        headers.append((b"Content-Length", b"%d" % length))
    elif plain:
        headers.append((b"Transfer-Encoding", b"chunked"))
    if close:
        headers.append((b"Connection", b"close"))
    return headers


def _path(head: Head) -> bytes:
    return head.target.partition(b"?")[0]


def check_framing(head: h11.Request) -> None:
    """Refuse a head whose body another reader could end elsewhere. Risk: what this one takes for a body, that
    one takes for the next request (RFC 9112, 6.1 and 11.2). h11 passes on both of these."""
    items = list(head.headers)
    chunked = any(name == b"transfer-encoding" for name, _ in items)
    lengths = [int(value) for name, value in items if name == b"content-length"]
    if chunked and (lengths or head.http_version != b"1.1"):
        raise BadRequest(400, "the length of the body is ambiguous")
    if head.method == b"GET" and (chunked or any(lengths)):
        raise BadRequest(400, "a GET here has no body")


def parse_call(head: Head, agent: RequestHandler) -> Call:
    """What the module is told and what goes on to a backend."""
    if head.method not in (b"GET", b"POST"):
        raise BadRequest(405, "the method is neither GET nor POST")
    fields = _fields(head)
    path, _, query = head.target.partition(b"?")
    whole_path = path.decode("ascii")
    if "%" in whole_path:
        whole_path = unquote(whole_path)
    class_name = whole_path.removeprefix("/").partition("/")[0]
    cls = agent.request_class(class_name)
    if not path.startswith(b"/") or cls is None:
        raise BadRequest(404, "the path names no class of request")
    if fields.get(b"host") is None:
        raise BadRequest(400, "Host is missing")  # as HTTP/1.0 may; what goes on is HTTP/1.1 and needs it
    client_id = fields.get(b"x-call-id") or b""
    if not TOKEN.fullmatch(client_id):
        raise BadRequest(400, "X-Call-Id is missing or unreadable")
    budget = BUDGET.fullmatch(fields.get(b"x-budget") or b"")
    if budget is None:
        raise BadRequest(400, "X-Budget is missing or unreadable")
    _check_effect(head.method, fields, cls)
    cost = fields.get(b"x-call-cost") or b""
    return Call(
        client_id=client_id,
        class_name=class_name,
        # Risk: a time without end would hold the request, its body and its attempts as long.
        budget_us=min(int(float(budget[1]) * BUDGET_UNITS_US[budget[2]]), cls.deadline_us),
        payload=Payload(
            head.method,
            head.target,
            [(name, value) for name, value in end_to_end(head.headers) if name != b"x-budget"],
        ),
        key=_key_of(query),
        tenant=(fields.get(b"x-caller") or b"").decode("latin-1"),
        cost_hint_us=int(cost) if cost.isdigit() and len(cost) <= 12 else 0,
        is_retry=fields.get(b"x-again") == b"1",
        repeatable=cls.effect is not Effect.UNSAFE,
    )


def _key_of(query: bytes) -> str:
    """The first value of `k` that is not empty."""
    if not query:
        return ""
    if b"%" in query or b"+" in query:
        return parse_qs(query.decode("ascii")).get("k", [""])[0]
    for pair in query.split(b"&"):
        if pair[:2] == b"k=" and len(pair) > 2:
            return pair[2:].decode("ascii")
    return ""


def _check_effect(method: bytes, fields: Mapping[bytes, bytes | None], cls: RequestClass) -> None:
    """The method and the key follow from the class. Risk: a keyed request without its key would be repeated
    as one whose repeats are dropped, and would run twice."""
    if (method == b"GET") != (cls.effect is Effect.SAFE):
        raise BadRequest(405, "the method is not that of the class")
    keyed = TOKEN.fullmatch(fields.get(b"idempotency-key") or b"") is not None
    if keyed != (cls.effect is Effect.KEYED):
        raise BadRequest(400, "Idempotency-Key is missing, unreadable or out of place")


def _fields(head: Head) -> dict[bytes, bytes | None]:
    """Each header's value, None of one that comes more than once. Made once: h11's list is slow to walk."""
    fields: dict[bytes, bytes | None] = {}
    for name, value in head.headers:
        fields[name] = None if name in fields else value
    return fields
