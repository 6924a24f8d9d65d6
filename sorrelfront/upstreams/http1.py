"""HTTP/1.1 client side: runs one attempt on one backend, with a pool of idle connections per address.

This module never sends a request again once its last byte may have left. An attempt that breaks before that
has never run.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from functools import partial

import h11

from sorrelfront.agent import DEADLINE_MARGIN_US
from sorrelfront.agent_config import Config
from sorrelfront.decisions.interface import Outcome
from sorrelfront.events import Event, EventCounter
from sorrelfront.messages import Address, Answer, AttemptResult, Call, Upload
from sorrelfront.net.bodies import BodyAborted
from sorrelfront.net.budget import (
    MAX_BUFFERED_BODY,
    MAX_STREAMED_BODY,
    SMALL_BODY,
    AnswerShare,
    Descriptors,
    MemoryBudget,
    head_bytes,
)
from sorrelfront.net.heads import (
    HEAD_END,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    AnswerHead,
    answer_head,
    count_fields,
    frame_message,
)
from sorrelfront.net.http import (
    MAX_CHUNKS_PER_TURN,
    SEND_BYTES,
    SOCKET_BUFFER_BYTES,
    Payload,
    Wire,
    end_to_end,
)
from sorrelfront.upstreams.answer_faults import (
    AnswerFault,
    AnswerLog,
    BrokenAnswer,
    InvalidAnswer,
    TruncatedAnswer,
    fault_of,
)
from sorrelfront.upstreams.pace import AnswerPace

log = logging.getLogger(__name__)

# The longest pause of a server that takes a streamed body. It is long because only this request waits for it.
# The client's time ends it sooner, except while its request cannot be complete.
STREAM_IDLE_TIMEOUT_S = 10.0
# Of the head of an answer whose fields are not counted; so long a head has hardly more than the usual ones.
MAX_UNCOUNTED_HEAD_BYTES = 256
MAX_INFORMATIONAL = 16  # 1xx responses before the final one; more count as a flood
SETTLED_S = 0.02  # idle time after which a close or stray bytes that follow an answer have arrived
LAST_BYTE_DELAY_S = 0.005  # for a reset after all but the last byte to arrive: a round trip, and a busy peer
MAX_FINAL_READS = 64  # reads, or runs of MAX_CHUNKS_PER_TURN, of the data already received at a timeout
IDLE_SCAN_INTERVAL_S = 0.5  # between scans of all idle connections
IDLE_TIMEOUT_SHARE = 0.8  # of the backend's idle timeout: connections idle for longer are not reused
# Upper bound of the idle time. Without it the connections opened in a burst would stay open, and since a
# backend accepts only a limited number, other agents could not reach it. The drawback is that an agent with
# few requests opens new connections more often.
MAX_IDLE_S = 3.0


class NoDescriptor(Exception):
    """All file descriptors for backend connections are used by attempts in flight."""


class _UnexpectedData(Exception):
    """A reused connection delivered data before the request was sent."""


class ServerCloseReason(StrEnum):
    """Why a connection to a server was closed."""

    UNFINISHED = "server-exchange-unfinished"  # the attempt's outcome has the details
    CONNECT_FAILED = "server-connect-failed"
    NOT_WANTED = "server-not-wanted"  # the request ended or the server was withdrawn during the connect
    STALE = "server-stale"  # at reuse it was idle for too long, closed by the server or had unexpected data
    ENDED = "server-ended"  # the server closed it, or sent data, while it was idle
    IDLE = "server-idle"
    EVICTED = "server-evicted"  # to make room for another, or because the limit was lowered
    WITHDRAWN = "server-withdrawn"  # the list withdrew the server
    SHUTDOWN = "server-shutdown"


class Upstream:
    """Connection pool to the backends: counts open connections and watches idle ones for a close."""

    def __init__(self, descriptors: int, idle_us: int, connect_timeout_us: int, memory: MemoryBudget) -> None:
        self.memory = memory
        self.resize(descriptors, idle_us, connect_timeout_us)
        self._idle: dict[Address, deque[tuple[float, Wire]]] = {}  # per address, longest idle first
        self._in_use: dict[Wire, Address | None] = {}  # None: its backend was withdrawn meanwhile
        self.open_connections = 0
        self.connections_opened = 0
        self.requests_written = 0  # requests completely written to backends
        self._last_idle_scan = 0.0
        self.events = EventCounter()
        self.answers = AnswerLog(self.events)

    def resize(self, descriptors: int, idle_us: int, connect_timeout_us: int) -> None:
        """Apply other limits; connections over a lower one are closed as attempts end."""
        self._descriptors = descriptors
        self._idle_s = min(MAX_IDLE_S, idle_us * IDLE_TIMEOUT_SHARE / 1e6)
        self._connect_timeout_s = connect_timeout_us / 1e6 or None

    def reload(self, config: Config) -> None:
        """Apply the limits of another configuration."""
        self.resize(Descriptors(config.sockets).backends, config.idle_us, config.settings.connect_timeout_us)

    async def attempt(
        self, call: Call, address: Address, timeout_us: int, may_send: Callable[[], bool]
    ) -> AttemptResult:
        """Send the request to this backend, at most once, and return how the attempt ended.

        `may_send` returns whether the attempt may still be sent there. `timeout_us` is in microseconds.
        """
        exchange = _Exchange(self, call, address, timeout_us, may_send)
        # The timeout of a request with a streamed body starts at the body's last byte.
        limit_s = max(0, timeout_us) / 1e6 if call.upload is None else None
        if call.upload is None:
            return await self.run_with_timeout(limit_s, exchange, exchange.run)
        call.upload.on_stop(exchange.stop)
        try:
            return await self.run_with_timeout(limit_s, exchange, exchange.run)
        finally:
            # Otherwise call and exchange form a reference cycle, which keeps what is buffered of the body.
            call.upload.on_stop(None)

    def begin(
        self,
        call: Call,
        address: Address,
        timeout_us: int,
        may_send: Callable[[], bool],
        done: Callable[[AttemptResult], None],
    ) -> _FastExchange | None:
        """Do the same on an idle connection, without a task unless the exchange needs one.

        `done` is called exactly once, in a later step of the event loop. Returns None if there is no idle
        connection to this address; nothing was started then.
        """
        if call.upload is not None or timeout_us <= 0:
            return None
        idle = self.take_idle(address, settled=call.repeatable)
        if idle is None:
            return None
        wire, settled = idle
        exchange = _Exchange(self, call, address, timeout_us, may_send)
        try:
            data = exchange.frame()
        except Exception:  # raised again, and handled, by the `attempt` that follows
            self.drop(wire)
            return None
        return _FastExchange(self, exchange, wire, data, settled and call.repeatable, timeout_us, done)

    async def run_with_timeout(
        self, limit_s: float | None, exchange: _Exchange, run: Callable[[], Awaitable[AttemptResult]]
    ) -> AttemptResult:
        """Run an exchange with a time limit in seconds and return how it ended."""
        try:
            async with asyncio.timeout(limit_s) as exchange.time_limit:
                return await run()
        except TimeoutError:
            return exchange.unread_result or AttemptResult(
                Outcome.TIMEOUT if exchange.sent else Outcome.UNREACHABLE
            )
        except NoDescriptor:
            return AttemptResult(Outcome.UNSENT)
        except asyncio.CancelledError:
            if exchange.unread_result is not None and exchange.unread_result.answer is not None:
                stream = exchange.unread_result.answer.stream
                if stream is not None:
                    stream.close()
            raise
        finally:
            exchange.time_limit = None  # else a cycle with task and traceback waits for the collector

    # Connections

    def take_idle(self, address: Address, settled: bool = False) -> tuple[Wire, bool] | None:
        """Take an idle connection that is open and has no unexpected data.

        Returns the most recently used one, and whether it was idle for at least SETTLED_S, so that a close or
        stray bytes would have arrived; None if there is none. With `settled`, one idle for that long is
        preferred. The drawback is that one or two more connections than necessary stay open.
        """
        idle_wires = self._idle.get(address)
        while idle_wires:
            now = time.monotonic()
            at = len(idle_wires) - 1
            if settled:
                at = next((i for i in range(at, -1, -1) if now - idle_wires[i][0] >= SETTLED_S), at)
            since, wire = idle_wires[at]
            del idle_wires[at]
            wire.unwatch_idle()
            if not idle_wires:
                del self._idle[address]
            idle_s = now - since
            if idle_s < self._idle_s and wire.nothing_unread():
                self._in_use[wire] = address
                return wire, idle_s >= SETTLED_S
            self.drop(wire, ServerCloseReason.STALE)
        return None

    async def connect(self, address: Address) -> Wire:
        """Open a new connection.

        Raises:
            OSError: The connection failed; TimeoutError if it took too long.
            NoDescriptor: There is no file descriptor for it.
        """
        if self.open_connections >= self._descriptors and not self._drop_oldest_idle(
            ServerCloseReason.EVICTED
        ):
            raise NoDescriptor
        self.open_connections += 1
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:
            self.open_connections -= 1
            raise
        wire = Wire(sock)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            await self._connect(sock, address)
        except BaseException:
            self.drop(wire, ServerCloseReason.CONNECT_FAILED)
            raise
        self.connections_opened += 1
        self._in_use[wire] = address
        return wire

    async def _connect(self, sock: socket.socket, address: Address) -> None:
        """Connect a socket. Raises OSError, TimeoutError if it takes longer than the connect time-out.

        After a pause of this process the time may be over although the connection has come up meanwhile. It
        is used then: as a time-out, the pause would count as a failure of the server, or of all of them.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, address)
        except TimeoutError:
            try:
                sock.getpeername()
            except OSError:
                raise TimeoutError from None

    def release(self, address: Address, wire: Wire) -> None:
        """Keep a connection for the next request; close it if the backend sends or closes in between."""
        self._close_expired()
        if self._in_use.pop(wire, None) is None:
            self.drop(wire, ServerCloseReason.WITHDRAWN)
            return
        if self.open_connections > self._descriptors:
            self.drop(wire, ServerCloseReason.EVICTED)
            return
        self._idle.setdefault(address, deque()).append((time.monotonic(), wire))
        wire.watch_idle(partial(self._on_idle_event, address, wire))

    def drop(self, wire: Wire, reason: ServerCloseReason = ServerCloseReason.UNFINISHED) -> None:
        """Close a connection and count the reason; do nothing if it is closed."""
        self._in_use.pop(wire, None)
        if not wire.closed:
            self.events.add(Event.CLOSED, reason)
            self.open_connections -= 1
            wire.close()

    def forget(self, address: Address) -> None:
        """Close the connections to an address whose backend was withdrawn, those in use after their answer.

        Another backend may start at this address, and a connection to a machine that vanished shows no close.
        """
        for _, wire in self._idle.pop(address, ()):
            self.drop(wire, ServerCloseReason.WITHDRAWN)
        for wire, used_for in self._in_use.items():
            if used_for == address:
                self._in_use[wire] = None

    def close(self) -> None:
        """Close all idle connections."""
        while self._drop_oldest_idle(ServerCloseReason.SHUTDOWN):
            pass

    def _on_idle_event(self, address: Address, wire: Wire) -> None:
        # A late answer, or a close that went unnoticed, would otherwise affect the next request.
        idle_wires = self._idle[address]
        self._idle[address] = deque(item for item in idle_wires if item[1] is not wire)
        if not self._idle[address]:
            del self._idle[address]
        self.drop(wire, ServerCloseReason.ENDED)

    def _close_expired(self) -> None:
        """Close connections idle for too long, at every address: some belong to backends that are gone."""
        now = time.monotonic()
        if now < self._last_idle_scan + IDLE_SCAN_INTERVAL_S:
            return
        self._last_idle_scan = now
        self.events.report()
        oldest = now - self._idle_s
        for address, idle_wires in list(self._idle.items()):
            while idle_wires and idle_wires[0][0] < oldest:
                self.drop(idle_wires.popleft()[1], ServerCloseReason.IDLE)
            if not idle_wires:
                del self._idle[address]

    def _drop_oldest_idle(self, reason: ServerCloseReason) -> bool:
        if not self._idle:
            return False
        address = min(self._idle, key=lambda address: self._idle[address][0][0])
        idle_wires = self._idle[address]
        self.drop(idle_wires.popleft()[1], reason)
        if not idle_wires:
            del self._idle[address]
        return True


class _Exchange:
    """One attempt: a request sent to a backend and the answer to it."""

    def __init__(
        self, upstream: Upstream, call: Call, address: Address, timeout_us: int, may_send: Callable[[], bool]
    ) -> None:
        self._upstream = upstream
        self._call = call
        self._address = address
        self._deadline = time.monotonic() + timeout_us / 1e6
        self._may_send = may_send
        self.sent = False  # the last byte may have left, so the request may run
        # What `read` has to write first. Passed as an argument, it would stay in memory, in the frames of all
        # callers, until the answer has come.
        self.unwritten = b""
        self._stopped = False  # the last byte may not be sent any more
        self.share = upstream.memory.answer_share()  # what the connection holds
        # The answer, if it was received but not read at the timeout
        self.unread_result: AttemptResult | None = None
        self.time_limit: asyncio.Timeout | None = None  # of the whole attempt

    async def run(self) -> AttemptResult:
        """Run the exchange on an idle connection, or on a new one if there is none or it breaks early."""
        upload = self._call.upload
        if upload is not None:
            # On a new connection: if a reused one broke, the streamed body that was sent on it would be lost,
            # and it cannot be sent again.
            return await self.run_on_new_connection() if upload.begin() else AttemptResult(Outcome.UNSENT)
        idle = self._upstream.take_idle(self._address, settled=self._call.repeatable)
        if idle is not None:
            wire, settled = idle
            ended = await self._run_on(wire, reused=True, without_delay=settled and self._call.repeatable)
            if ended is not None:
                return ended
        return await self.run_on_new_connection()

    async def run_on_new_connection(self) -> AttemptResult:
        """Run the exchange on a new connection."""
        if not self._may_send():
            return AttemptResult(Outcome.UNREACHABLE)
        try:
            wire = await self._upstream.connect(self._address)
        except OSError:
            return AttemptResult(Outcome.UNREACHABLE)
        if not self._may_send():  # checked again: the connect may have taken long
            self._upstream.drop(wire, ServerCloseReason.NOT_WANTED)
            return AttemptResult(Outcome.UNREACHABLE)
        return await self._run_on(wire, reused=False, without_delay=False) or AttemptResult(
            Outcome.UNREACHABLE
        )

    async def _run_on(self, wire: Wire, reused: bool, without_delay: bool) -> AttemptResult | None:
        """Run the exchange on this connection; None if it broke before the last byte was written."""
        try:
            reader = self._start(wire, reused, without_delay)
        except BaseException:
            self._upstream.drop(wire)
            raise
        return await self.read(reader, without_delay)

    def _start(self, wire: Wire, reused: bool, without_delay: bool) -> _AnswerReader:
        """Start to write the request, or leave it in `unwritten`; return the reader of its answer."""
        data = self.frame()
        upload = self._call.upload
        # A request that is sent without delay and fits the kernel's buffer needs no separate writer.
        inline = without_delay and len(data) <= SEND_BYTES
        writer: _Writer | _StreamingWriter | None = None
        if upload is not None:
            writer = _StreamingWriter(self, wire, data, upload)
        elif not inline:
            writer = _Writer(self, wire, data, reused, without_delay)
        if writer is None:
            self.unwritten = data
        return _AnswerReader(self, wire, writer, reused)

    async def resume(self, reader: _AnswerReader) -> AttemptResult:
        """Continue an exchange begun on a reused connection."""
        return await self.read(reader, True) or await self.run_on_new_connection()

    async def read(self, reader: _AnswerReader, without_delay: bool) -> AttemptResult | None:
        """Write what is left of the request and read the answer."""
        try:
            if self.unwritten:
                await self.write(reader.wire, self._take_unwritten(), reader.reused, without_delay)
            return await reader.run()
        except (OSError, _UnexpectedData, h11.RemoteProtocolError, InvalidAnswer) as fault:
            return self.failure_result(reader, fault)
        except asyncio.CancelledError:
            # Otherwise an answer that was received but not read yet would be lost, and the request would
            # count as one that may have run.
            self.unread_result = reader.read_available()
            raise
        except BaseException:
            reader.close()
            raise

    def _take_unwritten(self) -> bytes:
        data, self.unwritten = self.unwritten, b""
        return data

    def failure_result(self, reader: _AnswerReader, fault: Exception) -> AttemptResult | None:
        """Return the result of an exchange that failed; None if its last byte was not written."""
        reader.note_fault(fault)
        reader.close()
        if not self.sent:
            return None
        # A close inside the answer is a broken connection. A malformed answer is an error: the backend is up,
        # and treating it as unreachable would lose the valid answers that it gives.
        if isinstance(fault, (OSError, _UnexpectedData)) or reader.eof:
            return AttemptResult(Outcome.RESET)
        return AttemptResult(Outcome.ERROR)

    def frame(self) -> bytes:
        """Return the serialized request, with the Host header first (RFC 9110, 7.2).

        It is in one piece, because each system call costs as much as the framing.
        """
        payload: Payload = self._call.payload
        headers = [item for item in payload.headers if item[0] == b"host"]
        headers += [item for item in payload.headers if item[0] != b"host"]
        upload = self._call.upload
        # The time left now. With the time left at the decision, the server would go on working for a client
        # that has given up, for as long as the connect took. A streamed body counts against the time only
        # where it may lie unread.
        left_us = max(0, int((self._deadline - time.monotonic()) * 1e6))
        budget_us = left_us if upload is None else max(0, int(self._upload_budget_s(upload) * 1e6))
        headers.append((b"X-Budget", b"%du" % budget_us))
        if upload is not None:
            if upload.length is None:
                headers.append((b"Transfer-Encoding", b"chunked"))
            else:
                headers.append((b"Content-Length", b"%d" % upload.length))
        elif payload.body or payload.method != b"GET":
            headers.append((b"Content-Length", b"%d" % len(payload.body)))
        return frame_message(b"%s %s HTTP/1.1\r\n" % (payload.method, payload.target), headers, payload.body)

    def new_h11_parser(self) -> h11.Connection:
        """Return an h11 parser for an answer that the fast parser does not handle.

        It is in the state after the request was sent.
        """
        payload: Payload = self._call.payload
        parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        headers = [(b"Host", b"a"), (b"Content-Length", b"0")]
        parser.send(h11.Request(method=payload.method, target=b"/", headers=headers))
        parser.send(h11.EndOfMessage())
        return parser

    async def write(self, wire: Wire, data: bytes, reused: bool, without_delay: bool, begun: int = 0) -> None:
        """Write the request, of which `begun` bytes are already written.

        A reused connection, or one that is reset right after the connect, accepts the whole request before
        the reset arrives, and then the request may have run. So the last byte is sent LAST_BYTE_DELAY_S after
        the rest. With `without_delay` it is not held back: for a repeatable request on a settled connection
        the delay costs more than it saves. The drawback is that a close at that moment costs a retry.
        """
        last = data if without_delay else data[-1:]
        self.share.hold(len(data))
        try:
            await self._write(wire, data, last, reused, without_delay, begun)
        finally:
            self.share.hold(-len(data))

    async def _write(
        self, wire: Wire, data: bytes, last: bytes, reused: bool, without_delay: bool, begun: int
    ) -> None:
        with contextlib.suppress(OSError):  # the reader gets the error too, after any answer before it
            if not without_delay:
                await wire.send(memoryview(data)[begun:-1])
                await asyncio.sleep(LAST_BYTE_DELAY_S)
            if not self.may_send_last_byte(wire, reused):
                return
            self.sent = True
            try:
                await wire.send(last)
            except OSError:
                self.sent = False
                raise
            self.count_written()

    def count_written(self) -> None:
        """Count the request: the kernel has accepted its last byte."""
        self._upstream.requests_written += 1

    def may_send_last_byte(self, wire: Wire, reused: bool) -> bool:
        """Return whether the last byte may be sent; if not, shut the connection down."""
        # The server may have begun to drain since the request was decided on. Unread data received before the
        # request would be taken for its answer.
        if self._may_send() and not (reused and not wire.nothing_unread()):
            return True
        wire.shutdown(socket.SHUT_RDWR)
        return False

    def left_s(self) -> float:
        """Return how many seconds of its time the client has left, less than zero past it."""
        upload = self._call.upload
        if upload is None:
            return self._deadline - time.monotonic()
        return self._upload_budget_s(upload) - DEADLINE_MARGIN_US / 1e6

    def note_broken(
        self, fault: AnswerFault, received: int, began: float, latest: float, streamed: bool
    ) -> None:
        """Count and log an answer that ended before it was whole, with the times of its bytes so far."""
        now, left_s = time.monotonic(), self.left_s()
        client_id, server = self._call.client_id, self._address
        self._upstream.answers.add(
            BrokenAnswer(fault, client_id, server, received, now - began, now - latest, left_s, streamed)
        )

    def _upload_budget_s(self, upload: Upload) -> float:
        """Return how much of its time the client of a streamed body has left, if it has sent everything."""
        now = time.monotonic()
        since_s = 0.0 if upload.completed_at is None else now - upload.completed_at
        return self._call.budget_us / 1e6 - upload.unread.seconds(now) - since_s

    def begin_last_byte(self, upload: Upload) -> bool:
        """Mark the request as sent and start its time limit; called before a streamed body's last byte.

        The time counts from when that byte arrived. If it counted from now, the agent would have to answer
        before the attempt times out. Returns False, with nothing changed, if no time is left or the client
        has left: while it was not read, its close was hidden behind what it had sent.
        """
        left_s = self._upload_budget_s(upload) - DEADLINE_MARGIN_US / 1e6
        client_gone = self._call.client_gone
        if self._stopped or left_s <= 0.0 or (client_gone is not None and client_gone()):
            return False
        self.sent = True
        if self.time_limit is not None:
            self.time_limit.reschedule(asyncio.get_running_loop().time() + left_s)
        return True

    def stop(self) -> None:
        """End the attempt as one that was not sent, whatever it waits for, unless its last byte is sent."""
        if self.sent or self._stopped:
            return
        self._stopped = True
        if self.time_limit is not None:
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def keep(self, wire: Wire) -> None:
        """Return the connection to the pool."""
        self.share.release()
        wire.memory = None
        self._upstream.release(self._address, wire)

    def drop(self, wire: Wire) -> None:
        """Close the connection."""
        self._upstream.drop(wire)
        self.share.release()


class _Writer:
    """Writes a request while the answer is awaited.

    All but the last byte is written now, the last byte LAST_BYTE_DELAY_S later.
    It needs a task only if the kernel does not accept the data immediately.
    """

    def __init__(
        self, exchange: _Exchange, wire: Wire, data: bytes, reused: bool, without_delay: bool
    ) -> None:
        self._exchange = exchange
        self._wire = wire
        self._last_byte = data[-1:]
        self._reused = reused
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        begun = 0
        if not without_delay:
            try:
                begun = wire.send_now(memoryview(data)[:-1])
            except OSError:
                return  # the reader gets the error too, after any answer before it
            if begun == len(data) - 1:
                self._timer = asyncio.get_running_loop().call_later(LAST_BYTE_DELAY_S, self._send_last_byte)
                return
        self._task = asyncio.create_task(exchange.write(wire, data, reused, without_delay, begun))

    def _send_last_byte(self) -> None:
        self._timer = None
        exchange = self._exchange
        if not exchange.may_send_last_byte(self._wire, self._reused):
            return
        exchange.sent = True
        try:
            if not self._wire.send_now(self._last_byte):
                self._task = asyncio.create_task(self._send_last_byte_later())
                return
        except OSError:
            exchange.sent = False
            return
        exchange.count_written()

    async def _send_last_byte_later(self) -> None:
        """Send the last byte when the kernel's buffer has room again."""
        try:
            await self._wire.send(self._last_byte)
        except OSError:
            self._exchange.sent = False
            return
        self._exchange.count_written()

    def done(self) -> bool:
        """Return whether nothing is left to write, or writing has failed."""
        return self._timer is None and (self._task is None or self._task.done())

    def cancel(self) -> None:
        """Stop writing."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()


class _FastExchange:
    """Fast path: an exchange on a reused connection that runs in callbacks instead of a task.

    The request is sent in the step that decides on it, and an answer that is complete in one read ends the
    exchange in the step that reads it. Everything else continues in a task, with the code of all other
    exchanges.
    """

    def __init__(
        self,
        upstream: Upstream,
        exchange: _Exchange,
        wire: Wire,
        data: bytes,
        without_delay: bool,
        timeout_us: int,
        done: Callable[[AttemptResult], None],
    ) -> None:
        self._upstream = upstream
        self._exchange = exchange
        self._wire = wire
        self._on_done: Callable[[AttemptResult], None] | None = done
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + timeout_us / 1e6
        self._task: asyncio.Task[AttemptResult] | None = None
        self._task_started = False  # the task has run its first step
        inline = without_delay and len(data) <= SEND_BYTES
        writer = None if inline else _Writer(exchange, wire, data, True, without_delay)
        self._reader = _AnswerReader(exchange, wire, writer, True)
        self._timer = self._loop.call_later(timeout_us / 1e6, self._on_timeout)
        wire.on_receive(self._on_data)
        if inline:
            self._write(data)

    def _write(self, data: bytes) -> None:
        """Write all of the request; if the kernel's buffer is full, leave the rest to a task."""
        exchange = self._exchange
        if not exchange.may_send_last_byte(self._wire, True):
            return
        exchange.sent = True
        try:
            sent = self._wire.send_now(data)
        except OSError:
            exchange.sent = False  # the reader gets the error too, after any answer before it
            return
        if sent == len(data):
            exchange.count_written()
        else:
            exchange.sent = False
            exchange.unwritten = data[sent:]
            self._continue_in_task()

    def _on_data(self, data: bytes | OSError) -> None:
        reader = self._reader
        try:
            if isinstance(data, OSError):
                raise data
            reader.feed(data)
            ended = reader.parse()
        except (OSError, _UnexpectedData, h11.RemoteProtocolError, InvalidAnswer) as fault:
            ended = self._exchange.failure_result(reader, fault)
            if ended is None:
                self._continue_in_task(new_connection=True)
                return
        except Exception:
            log.exception("reading an answer raised an exception")
            reader.close()
            ended = AttemptResult(Outcome.UNKNOWN)
        if ended is None:
            self._continue_in_task()
        else:
            self._detach()
            self._report(ended)

    def _on_timeout(self) -> None:
        late = self._reader.read_available()
        self._detach()
        self._report(late or AttemptResult(Outcome.TIMEOUT if self._exchange.sent else Outcome.UNREACHABLE))

    def cancel(self) -> None:
        """Cancel the exchange. Its end is reported in a later step, because the caller is in a decision."""
        if self._task is not None:
            self._task.cancel()
        elif self._on_done is not None:
            done, self._on_done = self._on_done, None
            self._detach()
            self._reader.close()
            self._loop.call_soon(done, AttemptResult(Outcome.CANCELLED))

    def _detach(self) -> None:
        self._timer.cancel()
        if not self._wire.closed:
            self._wire.on_receive(None)

    def _report(self, ended: AttemptResult) -> None:
        """Report the end of the exchange, once. It is detached from its connection by now."""
        done, self._on_done = self._on_done, None
        if done is not None:
            done(ended)

    def _continue_in_task(self, new_connection: bool = False) -> None:
        """Continue in a task: write what is left, then read; or start on a new connection."""
        self._detach()  # now and not at the end, when the connection may be in use by another exchange
        self._task = asyncio.create_task(self._run(new_connection))
        self._task.add_done_callback(self._on_task_done)

    async def _run(self, new_connection: bool) -> AttemptResult:
        self._task_started = True
        exchange = self._exchange
        left_s = max(0.0, self._deadline - self._loop.time())
        if new_connection:
            return await self._upstream.run_with_timeout(left_s, exchange, exchange.run_on_new_connection)
        return await self._upstream.run_with_timeout(left_s, exchange, partial(exchange.resume, self._reader))

    def _on_task_done(self, task: asyncio.Task[AttemptResult]) -> None:
        self._task = None  # a cycle with its exception's frames would wait for the garbage collector
        if not self._task_started:
            self._reader.close()
        ended = AttemptResult(Outcome.CANCELLED)
        if not task.cancelled():
            fault = task.exception()
            if fault is not None:
                log.error("an attempt raised an exception", exc_info=fault)
            ended = AttemptResult(Outcome.UNKNOWN) if fault is not None else task.result()
        self._report(ended)


class _StreamingWriter:
    """Writes a request whose body is streamed from the client.

    The last byte is sent LAST_BYTE_DELAY_S after the rest, for the reason given in `_Exchange.write`. The
    request is not stopped if its server begins to drain meanwhile: for the rule on drains a request is sent
    when its first byte is.
    """

    def __init__(self, exchange: _Exchange, wire: Wire, head: bytes, upload: Upload) -> None:
        self._exchange = exchange
        self._wire = wire
        self._task = asyncio.create_task(self._run(head, upload))

    async def _run(self, data: bytes, upload: Upload) -> None:
        """Write the head in `data` and the body. Only the last byte of what has come is held back."""
        try:
            while piece := await upload.read():
                data += b"%x\r\n%b\r\n" % (len(piece), piece) if upload.length is None else piece
                piece = b""
                await self._wire.send(memoryview(data)[:-1], STREAM_IDLE_TIMEOUT_S)
                data = data[-1:]
            if upload.length is None:
                data += b"0\r\n\r\n"
            await self._wire.send(memoryview(data)[:-1], STREAM_IDLE_TIMEOUT_S)
            await asyncio.sleep(LAST_BYTE_DELAY_S)
            if not self._exchange.begin_last_byte(upload):
                raise BodyAborted("the client's time is over, or it has left")
            try:
                await self._wire.send(data[-1:], STREAM_IDLE_TIMEOUT_S)
            except OSError:
                self._exchange.sent = False
                raise
            self._exchange.count_written()
        except OSError:
            # The reader gets the end of the connection, after any answer before it.
            self._wire.shutdown(socket.SHUT_RDWR)

    def done(self) -> bool:
        """Return whether nothing is left to write, or writing has failed."""
        return self._task.done()

    def cancel(self) -> None:
        """Stop writing."""
        self._task.cancel()


class _Download:
    """The streamed body of a long answer. Whoever holds it must close it in every case."""

    def __init__(
        self,
        reader: _AnswerReader,
        wire: Wire,
        length: int | None,
        parser: h11.Connection | None,
        body: bytes,
        share: AnswerShare,
        paused_since: float = 0.0,
    ) -> None:
        """Continue an answer whose first bytes are in `body`, and are held by `share`.

        `parser` is the h11 parser of the answer, or None for a plain answer, whose `length` is known.
        `paused_since` is when the last bytes came, in monotonic seconds, if none have come for a while.
        """
        self.length = length
        # None once closed. The reader leads to the request, whose answer leads here: such a reference cycle
        # would keep the bodies of both until the garbage collector comes.
        self._reader: _AnswerReader | None = reader
        self._pace = AnswerPace(longest_s=reader.longest_pause_s)
        self._paused_since = paused_since  # monotonic seconds; 0: not before the next read
        self._wire = wire
        self._share = share
        share.streamed = True
        self._parser = parser
        self._body = body
        self._remaining = length  # bytes still to come; None if the length was not declared
        self._received = 0
        self._excess = False  # more bytes came than the declared length

    async def read(self) -> bytes:
        """Return the next piece, empty at the end. Raises OSError if the body is truncated or too long."""
        try:
            data = self._body or await self._read_next()
            self._body = b""
            self._received += len(data)
            if self._received > MAX_STREAMED_BODY or (
                self._remaining is not None and len(data) > self._remaining
            ):
                raise TruncatedAnswer(
                    AnswerFault.TOO_LONG, "the answer exceeds a limit or its declared length"
                )
            if self._remaining is not None:
                self._remaining -= len(data)
        except BaseException as error:
            self._abort(fault_of(error))
            raise
        return data

    def close(self) -> None:
        """Close the connection unless the body has been read to its end."""
        self._abort(AnswerFault.CANCELLED)

    def _abort(self, fault: AnswerFault) -> None:
        reader = self._detach()
        if reader is not None:
            reader.note_broken_stream(fault, self._received)
            reader.close()

    def _finish(self, complete: bool) -> bytes:
        """Finish the body. The connection is kept if nothing follows the answer."""
        reader = self._detach()
        if reader is not None:
            reader.finish_stream(complete)
        return b""

    def _detach(self) -> _AnswerReader | None:
        """Free what is held; return the reader, or None if the body is closed already."""
        reader, self._reader = self._reader, None
        self._body, self._parser = b"", None
        return reader

    async def _read_next(self) -> bytes:
        if self._reader is None:
            return b""
        if self._parser is not None:
            return await self._read_next_h11(self._parser)
        assert self._remaining is not None
        if self._remaining == 0:
            return self._finish(not self._excess)
        data = await self._receive()
        if not data:
            raise TruncatedAnswer(AnswerFault.TRUNCATED, "the answer is truncated")
        self._excess = len(data) > self._remaining
        return data[: self._remaining]

    async def _receive(self) -> bytes:
        """Read from the server. What was read before has been passed on by now, but for what h11 keeps."""
        self._share.release()
        if self._parser is not None:
            self._share.hold(len(self._parser.trailing_data[0]))
        if self._reader is None:
            raise TruncatedAnswer(AnswerFault.CANCELLED, "the answer was closed while it was read")
        now = time.monotonic()
        # The first pause may have begun before the answer was passed on. Later ones begin with the read: what
        # the server has sent may have waited for the client until then.
        paused_s, self._paused_since = now - (self._paused_since or now), 0.0
        left_s = self._reader.left_s()
        data = await self._wire.receive(self._pace.limit_s(left_s, paused_s))
        self._pace.paused(time.monotonic() - now + paused_s, left_s + paused_s, len(data))
        self._share.hold(len(data))
        if data and self._reader is not None:
            self._reader.note_received()
        return data

    async def _read_next_h11(self, parser: h11.Connection) -> bytes:
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self._receive())
                    continue
            except h11.RemoteProtocolError as fault:
                ended = AnswerFault.TRUNCATED if parser.trailing_data[1] else AnswerFault.MALFORMED
                raise TruncatedAnswer(ended, str(fault)) from None
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._remaining:
                    raise TruncatedAnswer(
                        AnswerFault.TRUNCATED, "the answer lacks bytes of its declared length"
                    )
                return self._finish(_is_complete(parser))
            else:
                raise TruncatedAnswer(AnswerFault.TRUNCATED, "the answer is truncated")


class _AnswerReader:
    """Reads one answer.

    An answer of up to MAX_BUFFERED_BODY bytes is passed on only when complete, so the request can still be
    retried after a truncated or malformed one. A longer answer is streamed from its first bytes, and so is
    one of more than SMALL_BODY bytes for which there is no memory.
    """

    def __init__(
        self,
        exchange: _Exchange,
        wire: Wire,
        writer: _Writer | _StreamingWriter | None,
        reused: bool,
    ) -> None:
        self._exchange = exchange
        self._data = bytearray()  # received data of an answer that is plain or not yet known to be otherwise
        self._scanned = 0  # offset before which there is no end of the head
        self._head: AnswerHead | None = None  # of a plain answer
        self._body_start = 0  # offset of the body in the data
        self._h11: h11.Connection | None = None  # parses an answer that is not plain
        self.wire = wire
        self._share = wire.memory = exchange.share
        self._writer = writer
        self.reused = reused
        self._started = False  # part of the answer was received
        self._first_byte_at = self._last_byte_at = 0.0  # when bytes of it were received
        self.longest_pause_s = 0.0  # within the answer
        self.eof = False  # end of file: the backend has closed its sending side
        self._informational_count = 0  # number of informational (1xx) responses
        self._response: h11.Response | None = None  # the head of a 200
        self._length: int | None = None
        self._body = bytearray()
        self._close_after = False  # the connection is closed after this long answer
        self._pieces = 0  # parsed pieces of the body since the last yield to the event loop

    async def run(self) -> AttemptResult:
        """Read until the answer is complete.

        Raises InvalidAnswer, _UnexpectedData, OSError and h11's errors.
        """
        while (ended := self.parse()) is None:
            paused, self._pieces = self._pieces >= MAX_CHUNKS_PER_TURN, 0
            if paused:
                await asyncio.sleep(0)
                continue
            # Without a limit of its own: a slow server looks like one that hangs, and the client waits
            # until its time is over. Not in a variable, which would keep the bytes during the next read.
            self.feed(await self.wire.receive())
        ended.answer_duration_us = int((time.monotonic() - self._first_byte_at) * 1e6)
        return ended

    def close(self) -> None:
        """Stop the writer and close the connection."""
        if self._writer is not None:
            self._writer.cancel()
        self._exchange.drop(self.wire)

    def note_fault(self, error: BaseException) -> None:
        """Note, for the log, that this error has ended an answer of which nothing has been passed on."""
        if self._last_byte_at:
            truncated = self.eof and isinstance(error, (InvalidAnswer, h11.RemoteProtocolError))
            self._note(AnswerFault.TRUNCATED if truncated else fault_of(error), self._received(), False)

    def note_broken_stream(self, fault: AnswerFault, received: int) -> None:
        """Note, for the log, that an answer broke off of which this many bytes have been read."""
        self._note(fault, received, True)

    def note_received(self) -> None:
        """Note that more of a long answer has come."""
        self._last_byte_at = time.monotonic()

    def _note(self, fault: AnswerFault, received: int, streamed: bool) -> None:
        self._exchange.note_broken(fault, received, self._first_byte_at, self._last_byte_at, streamed)

    def _received(self) -> int:
        """Return how many bytes of the body are buffered."""
        if self._h11 is not None:
            return len(self._body)
        return max(0, len(self._data) - self._body_start) if self._body_start else 0

    def read_available(self) -> AttemptResult | None:
        """Return the answer as the attempt's time is over, None if there is none to pass on.

        It is received completely by then, or begun (`_begin_late`).
        """
        try:
            for _ in range(MAX_FINAL_READS):
                ended = self.parse()
                if ended is not None:
                    return ended
                paused, self._pieces = self._pieces >= MAX_CHUNKS_PER_TURN, 0
                if not paused:
                    data = self.wire.receive_now()
                    if not data:
                        break
                    self.feed(data)
        except (OSError, _UnexpectedData, InvalidAnswer, h11.RemoteProtocolError) as fault:
            self.note_fault(fault)
        else:
            begun = self._begin_late()
            if begun is not None:
                return begun
            self.note_fault(TimeoutError())
        self.close()
        return None

    def _begin_late(self) -> AttemptResult | None:
        """Begin to stream an answer of unknown length when there is no time left to buffer it.

        It may be a long one, which would have been passed on already if it had declared its length. What
        comes of it past the client's time is limited by its pace.
        """
        if self._h11 is None or self._response is None or self._length is not None or not self._body:
            return None
        return self._stream_h11(self._h11, self._response, self._last_byte_at)

    def feed(self, data: bytes) -> None:
        """Add received data; empty data is the end of the connection. Raises _UnexpectedData."""
        if data and self.reused and not self._exchange.sent:
            # A late answer to an earlier request would otherwise be taken for the answer to this one.
            raise _UnexpectedData
        if not self._started:
            self._started = True
            self._first_byte_at = time.monotonic()
            if data:
                self._last_byte_at = self._first_byte_at
        elif data:
            self._note_pause(time.monotonic())
        self.eof = not data
        self._share.hold(len(data))
        if self._h11 is not None:
            self._h11.receive_data(data)
        else:
            self._data += data

    def _note_pause(self, now: float) -> None:
        """Note that more of the answer has come."""
        if now - self._last_byte_at > self.longest_pause_s:
            self.longest_pause_s = now - self._last_byte_at
        self._last_byte_at = now

    def parse(self) -> AttemptResult | None:
        """Parse the received data; None if incomplete. Raises InvalidAnswer and h11's errors."""
        if self._h11 is None:
            if self._head is None and not self._read_head():
                return None
            if self._head is not None:
                return self._parse_plain(self._head)
        assert self._h11 is not None
        return self._parse_h11(self._h11)

    def _read_head(self) -> bool:
        """Return whether the kind of answer is known: a plain head was parsed or h11 has to parse it."""
        data = self._data
        if not data and not self.eof:
            return False
        found = HEAD_END.search(data, self._scanned)
        if found is not None:
            self._body_start = found.end()
            head = bytes(data[: self._body_start])
            if self._body_start > MAX_UNCOUNTED_HEAD_BYTES:
                self._check_fields(count_fields(head))
            self._head = answer_head(head)
            if self._head is not None:
                return True
        elif not self.eof and len(data) <= MAX_HEAD_BYTES and data[0] >= 0x21:
            self._scanned = max(0, len(data) - 2)
            return False
        self._h11 = self._exchange.new_h11_parser()
        if data:
            self._h11.receive_data(bytes(data))
        if self.eof:
            self._h11.receive_data(b"")
        self._data = bytearray()
        return True

    def _check_fields(self, count: int) -> None:
        """Account for the header fields of the answer. Raises InvalidAnswer if there are too many."""
        if count > MAX_FIELDS:
            raise InvalidAnswer(AnswerFault.TOO_LONG, "the head of the answer has too many fields")
        self._share.hold(head_bytes(0, count))

    def _parse_plain(self, head: AnswerHead) -> AttemptResult | None:
        received = len(self._data) - self._body_start
        if head.status != 200:
            # The status is all that is needed, so the attempt ends now; see `_skip_body`.
            self._finish(received == head.length and not head.last)
            return AttemptResult(_outcome_of_status(head.status, head.headers))
        if not self._exchange.sent:
            raise InvalidAnswer(AnswerFault.EARLY, "the answer came before its request was sent")
        if head.length > MAX_STREAMED_BODY:
            raise InvalidAnswer(AnswerFault.TOO_LONG, "the answer exceeds the size limit")
        if head.length > MAX_BUFFERED_BODY and received:
            return self._start_stream(head, received)
        if received < head.length:
            if self.eof:
                raise InvalidAnswer(AnswerFault.TRUNCATED, "the answer is truncated")
            if received and self._lacks_room(head.length):
                return self._start_stream(head, received)
            return None
        self._finish(received == head.length and not head.last)
        body = self._data[self._body_start : self._body_start + head.length]
        return AttemptResult(Outcome.OK, Answer(200, end_to_end(head.headers), body))

    def _lacks_room(self, length: int) -> bool:
        """Return whether an answer of at least so many bytes cannot be buffered whole."""
        return length > SMALL_BODY and not self._share.has_room()

    def _start_stream(self, head: AnswerHead, received: int) -> AttemptResult:
        """Begin to stream a long plain answer whose first bytes were received."""
        body = bytes(self._data[self._body_start : self._body_start + head.length])
        self._data = bytearray()
        self._close_after = head.last or received > head.length
        download = _Download(self, self.wire, head.length, None, body, self._share)
        return AttemptResult(Outcome.OK, Answer(200, end_to_end(head.headers), b"", download))

    def left_s(self) -> float:
        """Return how many seconds of its time the client has left, less than zero past it."""
        return self._exchange.left_s()

    def finish_stream(self, complete: bool) -> None:
        """Finish a long answer; the connection is kept if `complete` and neither side closes it."""
        self._finish(complete and not self._close_after)

    def _parse_h11(self, parser: h11.Connection) -> AttemptResult | None:
        """Parse with h11; returns None with `_pieces` above zero to yield in an answer of many pieces."""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                return None
            if self._response is None:
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        self._skip_body(parser)
                        return AttemptResult(_outcome_of_status(event.status_code, event.headers))
                    if not self._exchange.sent:
                        raise InvalidAnswer(AnswerFault.EARLY, "the answer came before its request was sent")
                    self._length = _declared_length(event)
                    self._response = event
                else:
                    self._on_informational(parser, event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if max(len(self._body), self._length or 0) > MAX_BUFFERED_BODY or self._lacks_room(
                    max(len(self._body), self._length or 0)
                ):
                    return self._stream_h11(parser, self._response)
                self._pieces += 1
                if self._pieces >= MAX_CHUNKS_PER_TURN:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                if self._length is not None and len(self._body) != self._length:
                    raise InvalidAnswer(AnswerFault.TRUNCATED, "the answer does not have its declared length")
                self._finish(_is_complete(parser))
                return AttemptResult(Outcome.OK, Answer(200, end_to_end(self._response.headers), self._body))
            else:
                raise InvalidAnswer(AnswerFault.TRUNCATED, "the answer is truncated")

    def _stream_h11(
        self, parser: h11.Connection, response: h11.Response, paused_since: float = 0.0
    ) -> AttemptResult:
        """Begin to stream an answer that h11 parses."""
        body, self._body = bytes(self._body), bytearray()
        download = _Download(self, self.wire, self._length, parser, body, self._share, paused_since)
        return AttemptResult(Outcome.OK, Answer(200, end_to_end(response.headers), b"", download))

    def _on_informational(self, parser: h11.Connection, event: object) -> None:
        """Count an informational response (1xx) that precedes the final one."""
        self._informational_count += 1
        known = isinstance(event, h11.InformationalResponse) and event.status_code != 101
        if not known or self._informational_count >= MAX_INFORMATIONAL:
            raise InvalidAnswer(AnswerFault.MALFORMED, "no final response was received")
        self._started = bool(parser.trailing_data[0])  # the final response may still take long

    def _skip_body(self, parser: h11.Connection) -> None:
        """Skip the body of an answer whose status is all that is needed.

        The connection is kept only if the rest of the answer is already received. Waiting for it would delay
        the request's next attempt or its final answer.
        """
        try:
            for _ in range(1 + MAX_BUFFERED_BODY // 64):
                event = parser.next_event()
                if isinstance(event, h11.EndOfMessage):
                    self._finish(_is_complete(parser))
                    return
                if not isinstance(event, h11.Data):
                    break
        except h11.ProtocolError:
            pass
        self.close()

    def _request_written(self) -> bool:
        return self._writer is None or self._writer.done()

    def _finish(self, complete: bool) -> None:
        """Finish the answer and keep or close the connection.

        It is kept only if both messages are complete, nothing follows the answer and neither side closes it;
        `complete` says so for the answer.
        """
        if complete and self._exchange.sent and self._request_written():
            self._exchange.keep(self.wire)
        else:
            self.close()


def _declared_length(response: h11.Response) -> int | None:
    """Return the declared length of an answer; None if it is chunked or ends with its connection.

    An orderly end of the connection ends the latter (RFC 9112, 6.3), a reset breaks it off. An answer with
    two lengths could end at either. Raises InvalidAnswer.
    """
    lengths = [int(value) for name, value in response.headers if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in response.headers)
    if chunked and lengths:
        raise InvalidAnswer(AnswerFault.AMBIGUOUS_LENGTH, "the answer has two lengths")
    if lengths and lengths[0] > MAX_STREAMED_BODY:
        raise InvalidAnswer(AnswerFault.TOO_LONG, "the answer exceeds the size limit")
    return lengths[0] if lengths else None


def _is_complete(parser: h11.Connection) -> bool:
    done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
    return done and not parser.trailing_data[0]


def _outcome_of_status(status: int, headers: Iterable[tuple[bytes, bytes]]) -> Outcome:
    """Return the outcome of a status other than 200.

    Only the backend's `X-Rejected: 1` header with 503 or 504 proves that the request did not run.
    """
    rejected = any(name == b"x-rejected" and value == b"1" for name, value in headers)
    return Outcome.REJECTED if rejected and status in (503, 504) else Outcome.ERROR
