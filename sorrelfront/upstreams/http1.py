"""The backend side: one attempt on one backend ends in one outcome. Idle connections are kept per address.

Nothing here sends a request again once its last byte may have left. What breaks before that never ran.
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
from sorrelfront.decisions.interface import Outcome
from sorrelfront.events import Event, EventCounter
from sorrelfront.messages import Address, Answer, Call, Ended, Upload
from sorrelfront.net.bodies import Broken
from sorrelfront.net.budget import BODY_MOST, STREAM_MOST, Descriptors
from sorrelfront.net.heads import HEAD_END, HEAD_MOST, AnswerHead, answer_head, framed
from sorrelfront.net.http import (
    KERNEL_BUFFER,
    PIECES_IN_A_ROW,
    SEND_BYTES,
    Payload,
    Wire,
    end_to_end,
)
from sorrelfront.terms import Config

log = logging.getLogger(__name__)

# The longest pause of a body that is passed on while it comes, or goes: nobody else waits for it, and cut off
# by the agent what a server would still give is lost. Harm: one that dies without a word holds its client for
# so long.
STREAM_STALL_S = 10.0
STALL_S = 0.3  # an answer that has begun and brings nothing for so long is broken; a lost packet costs 0.2
INFORMATIONAL_MOST = 16  # 1xx answers ahead of the one that counts; more are a flood
SETTLED_S = 0.02  # rested for so long and quiet, a connection has shown what followed its last answer
MOMENT_S = 0.005  # what a reset needs to come back after all but the last byte: a trip, and a busy peer
LAST_LOOKS = 64  # rounds, of a read or of PIECES_IN_A_ROW, through what has come when the time is up
RETIRE_S = 0.5  # between looks through all that rest
IDLE_SHARE = 0.8  # of the backend's idle limit: what has rested longer is not used again
# The most that any rests. Risk: after a crowded moment all that it opened would stay, and a backend holds
# only so many: other agents could not reach it. Harm: a quiet agent opens a new one now and then.
IDLE_MOST_S = 3.0


class NoDescriptor(Exception):
    """All descriptors for backends are in use by attempts under way."""


class Spoilt(Exception):
    """What came is no answer to the request. It may have run, and the backend is up."""


class _Stale(Exception):
    """A rested connection spoke before it was asked."""


class ServerCloseReason(StrEnum):
    """Why a connection to a server was closed."""

    UNFINISHED = "server-exchange-unfinished"  # the attempt's outcome tells more
    CONNECT_FAILED = "server-connect-failed"
    NOT_WANTED = "server-not-wanted"  # its request was ended, or its server withdrawn, while it came up
    STALE = "server-stale"  # it had rested too long, or said something, when it was to be used
    ENDED = "server-ended"  # the server ended it, or said something, at rest
    IDLE = "server-idle"
    EVICTED = "server-evicted"  # for another, or over a lower limit
    WITHDRAWN = "server-withdrawn"  # the list withdrew the server
    SHUTDOWN = "server-shutdown"


class Upstream:
    """Connections to backends: those in use are counted, those at rest watched for their end."""

    def __init__(self, descriptors: int, idle_us: int, connect_timeout_us: int) -> None:
        self.resize(descriptors, idle_us, connect_timeout_us)
        self._idle: dict[Address, deque[tuple[float, Wire]]] = {}  # each oldest first
        self.open = 0
        self.opened = 0
        self.written = 0  # requests written whole to backends
        self._retired = 0.0
        self.events = EventCounter()

    def resize(self, descriptors: int, idle_us: int, connect_timeout_us: int) -> None:
        """Take on other limits; what is open over a lower one goes as attempts end."""
        self._descriptors = descriptors
        self._idle_s = min(IDLE_MOST_S, idle_us * IDLE_SHARE / 1e6)
        self._connect_timeout_s = connect_timeout_us / 1e6 or None

    def reload(self, config: Config) -> None:
        self.resize(Descriptors(config.sockets).backends, config.idle_us, config.settings.connect_timeout_us)

    async def attempt(self, call: Call, address: Address, timeout_us: int, fit: Callable[[], bool]) -> Ended:
        """Send the request to this backend, once, and tell what came of it. `fit` tells whether something
        new may still go there."""
        exchange = _Exchange(self, call, address, timeout_us, fit)
        # The time of a body that is passed on while it comes is counted from its last byte.
        limit_s = max(0, timeout_us) / 1e6 if call.upload is None else None
        return await self.within(limit_s, exchange, exchange.run)

    def begin(
        self,
        call: Call,
        address: Address,
        timeout_us: int,
        fit: Callable[[], bool],
        done: Callable[[Ended], None],
    ) -> _Quick | None:
        """The same on a connection that rests, without a task of its own while nothing is unusual. `done` is
        called once, in a later step. None: no connection rests there, and nothing has begun."""
        if call.upload is not None or timeout_us <= 0:
            return None
        idle = self.take_idle(address, settled=call.repeatable)
        if idle is None:
            return None
        wire, settled = idle
        exchange = _Exchange(self, call, address, timeout_us, fit)
        try:
            data = exchange.frame()
        except Exception:  # told by the exchange that is begun in its place
            self.drop(wire)
            return None
        return _Quick(self, exchange, wire, data, settled and call.repeatable, timeout_us, done)

    async def within(
        self, limit_s: float | None, exchange: _Exchange, run: Callable[[], Awaitable[Ended]]
    ) -> Ended:
        """What an exchange comes to in its time."""
        try:
            async with asyncio.timeout(limit_s) as exchange.limit:
                return await run()
        except TimeoutError:
            return exchange.late or Ended(Outcome.TIMEOUT if exchange.sent else Outcome.UNREACHABLE)
        except NoDescriptor:
            return Ended(Outcome.UNSENT)
        except asyncio.CancelledError:
            if exchange.late is not None and exchange.late.answer is not None:
                stream = exchange.late.answer.stream
                if stream is not None:
                    stream.close()
            raise
        finally:
            exchange.limit = None  # Risk: a circle of it, its task and the traceback waits for a collection

    # Connections

    def take_idle(self, address: Address, settled: bool = False) -> tuple[Wire, bool] | None:
        """The connection that rested shortest and shows no end and no stray bytes, and whether it rested long
        enough for any to show. `settled`: one that did is asked for first. Harm: one connection or two more
        stay in use than would have to."""
        resting = self._idle.get(address)
        while resting:
            now = time.monotonic()
            at = len(resting) - 1
            if settled:
                at = next((i for i in range(at, -1, -1) if now - resting[i][0] >= SETTLED_S), at)
            since, wire = resting[at]
            del resting[at]
            wire.wake()
            if not resting:
                del self._idle[address]
            rested_s = now - since
            if rested_s < self._idle_s and wire.quiet():
                return wire, rested_s >= SETTLED_S
            self.drop(wire, ServerCloseReason.STALE)
        return None

    async def connect(self, address: Address) -> Wire:
        """A new connection. Raises OSError, TimeoutError too, or NoDescriptor."""
        if self.open >= self._descriptors and not self._drop_oldest_idle(ServerCloseReason.EVICTED):
            raise NoDescriptor
        self.open += 1
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:
            self.open -= 1
            raise
        wire = Wire(sock)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER)
            async with asyncio.timeout(self._connect_timeout_s):
                await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            self.drop(wire, ServerCloseReason.CONNECT_FAILED)
            raise
        self.opened += 1
        return wire

    def rest(self, address: Address, wire: Wire) -> None:
        """Keep a connection for the next request, and drop it at whatever the backend says meanwhile."""
        self._retire()
        if self.open > self._descriptors:
            self.drop(wire, ServerCloseReason.EVICTED)
            return
        self._idle.setdefault(address, deque()).append((time.monotonic(), wire))
        wire.rest(partial(self._ended_at_rest, address, wire))

    def drop(self, wire: Wire, reason: ServerCloseReason = ServerCloseReason.UNFINISHED) -> None:
        if not wire.closed:
            self.events.add(Event.CLOSED, reason)
            self.open -= 1
            wire.close()

    def forget(self, address: Address) -> None:
        """Drop what rests at an address whose backend is gone. Risk: another one comes up there, and a
        connection to a machine that vanished says nothing of its end."""
        for _, wire in self._idle.pop(address, ()):
            self.drop(wire, ServerCloseReason.WITHDRAWN)

    def close(self) -> None:
        """Drop all that rests."""
        while self._drop_oldest_idle(ServerCloseReason.SHUTDOWN):
            pass

    def _ended_at_rest(self, address: Address, wire: Wire) -> None:
        # Risk: an answer that comes late, or an end that went unseen, would meet the next request.
        resting = self._idle[address]
        self._idle[address] = deque(item for item in resting if item[1] is not wire)
        if not self._idle[address]:
            del self._idle[address]
        self.drop(wire, ServerCloseReason.ENDED)

    def _retire(self) -> None:
        """Drop what has rested too long, at every address. Risk: backends that are gone leave theirs."""
        now = time.monotonic()
        if now < self._retired + RETIRE_S:
            return
        self._retired = now
        self.events.report()
        oldest = now - self._idle_s
        for address, resting in list(self._idle.items()):
            while resting and resting[0][0] < oldest:
                self.drop(resting.popleft()[1], ServerCloseReason.IDLE)
            if not resting:
                del self._idle[address]

    def _drop_oldest_idle(self, reason: ServerCloseReason) -> bool:
        if not self._idle:
            return False
        address = min(self._idle, key=lambda address: self._idle[address][0][0])
        resting = self._idle[address]
        self.drop(resting.popleft()[1], reason)
        if not resting:
            del self._idle[address]
        return True


class _Exchange:
    """One request and its answer."""

    def __init__(
        self, upstream: Upstream, call: Call, address: Address, timeout_us: int, fit: Callable[[], bool]
    ) -> None:
        self._upstream = upstream
        self._call = call
        self._address = address
        self._due = time.monotonic() + timeout_us / 1e6
        self._fit = fit
        self.sent = False  # the last byte may have left: from here on the request may run
        self.late: Ended | None = None  # what had come, unread, when the time was up
        self.limit: asyncio.Timeout | None = None  # of the whole attempt

    async def run(self) -> Ended:
        upload = self._call.upload
        if upload is not None:
            # On a connection of its own. Risk: a rested one that breaks takes with it what cannot be sent
            # again.
            return await self.anew() if upload.begin() else Ended(Outcome.UNSENT)
        idle = self._upstream.take_idle(self._address, settled=self._call.repeatable)
        if idle is not None:
            wire, settled = idle
            ended = await self._on(wire, rested=True, at_once=settled and self._call.repeatable)
            if ended is not None:
                return ended
        return await self.anew()

    async def anew(self) -> Ended:
        """On a new connection."""
        if not self._fit():
            return Ended(Outcome.UNREACHABLE)
        try:
            wire = await self._upstream.connect(self._address)
        except OSError:
            return Ended(Outcome.UNREACHABLE)
        if not self._fit():  # it may have taken its time
            self._upstream.drop(wire, ServerCloseReason.NOT_WANTED)
            return Ended(Outcome.UNREACHABLE)
        return await self._on(wire, rested=False, at_once=False) or Ended(Outcome.UNREACHABLE)

    async def _on(self, wire: Wire, rested: bool, at_once: bool) -> Ended | None:
        """The exchange on this connection; None if it broke before the request's last byte was written."""
        try:
            data = self.frame()
        except BaseException:
            self._upstream.drop(wire)
            raise
        upload = self._call.upload
        # What goes at once and fits the kernel's buffer needs nobody beside the one that reads the answer.
        alone = at_once and len(data) <= SEND_BYTES
        writer: _Writer | _Uploader | None = None
        if upload is not None:
            writer = _Uploader(self, wire, data, upload)
        elif not alone:
            writer = _Writer(self, wire, data, rested, at_once)
        reader = _AnswerReader(self, wire, writer, rested)
        return await self.read(reader, data if writer is None else b"", at_once)

    async def go_on(self, reader: _AnswerReader, data: bytes) -> Ended:
        """An exchange that was begun on a rested connection, `data` of it still to be written."""
        return await self.read(reader, data, True) or await self.anew()

    async def read(self, reader: _AnswerReader, data: bytes, at_once: bool) -> Ended | None:
        """Write what is still to be written, and read the answer."""
        try:
            if data:
                await self.write(reader.wire, data, reader.rested, at_once)
            return await reader.run()
        except (OSError, _Stale, h11.RemoteProtocolError, Spoilt) as fault:
            return self.broke(reader, fault)
        except asyncio.CancelledError:
            # Risk: an answer that has come and waits for its turn would count as none, and the request as one
            # that may have run.
            self.late = reader.last_look()
            raise
        except BaseException:
            reader.close()
            raise

    def broke(self, reader: _AnswerReader, fault: Exception) -> Ended | None:
        """What an exchange that went wrong comes to; None if its last byte was not written."""
        reader.close()
        if not self.sent:
            return None
        # An end inside the answer is a broken connection. Noise and wrong lengths are an error: the backend
        # is there, and to be shut for it as if it were not would cost its good answers.
        if isinstance(fault, (OSError, _Stale)) or reader.ended:
            return Ended(Outcome.RESET)
        return Ended(Outcome.ERROR)

    def frame(self) -> bytes:
        """The request as it goes out. In one piece: each call to the kernel costs as much as framing does.
        Host comes first (RFC 9110, 7.2)."""
        payload: Payload = self._call.payload
        headers = [item for item in payload.headers if item[0] == b"host"]
        headers += [item for item in payload.headers if item[0] != b"host"]
        upload = self._call.upload
        # What is left now. Risk: told what was left at the decision, a server works on for a client that has
        # given up, by as long as the connection took to come up. A long body comes without its time being
        # counted.
        left_us = max(0, int((self._due - time.monotonic()) * 1e6))
        budget_us = left_us if upload is None else self._call.budget_us
        headers.append((b"X-Budget", b"%du" % budget_us))
        if upload is not None:
            if upload.length is None:
                headers.append((b"Transfer-Encoding", b"chunked"))
            else:
                headers.append((b"Content-Length", b"%d" % upload.length))
        elif payload.body or payload.method != b"GET":
            headers.append((b"Content-Length", b"%d" % len(payload.body)))
        return framed(b"%s %s HTTP/1.1\r\n" % (payload.method, payload.target), headers, payload.body)

    def strict_parser(self) -> h11.Connection:
        """One that has seen the request go out, for an answer that is not plain."""
        payload: Payload = self._call.payload
        parser = h11.Connection(h11.CLIENT, HEAD_MOST)
        headers = [(b"Host", b"a"), (b"Content-Length", b"0")]
        parser.send(h11.Request(method=payload.method, target=b"/", headers=headers))
        parser.send(h11.EndOfMessage())
        return parser

    async def write(self, wire: Wire, data: bytes, rested: bool, at_once: bool, begun: int = 0) -> None:
        """Write the request; `begun` bytes of it have gone already.

        Risk: a connection that rested, or is reset as soon as it is up, takes the whole request before the
        reset shows, and then the request may have run. So the last byte waits a moment by itself, but for
        a request that can be repeated on a connection that has settled: there the wait costs more than it
        saves. Harm: such a connection that ends just then costs a repeat."""
        last = data if at_once else data[-1:]
        with contextlib.suppress(OSError):  # the reader sees the break too, and any answer before it
            if not at_once:
                await wire.send(memoryview(data)[begun:-1])
                await asyncio.sleep(MOMENT_S)
            if not self.may_end(wire, rested):
                return
            self.sent = True
            try:
                await wire.send(last)
            except OSError:
                self.sent = False
                raise
            self.wrote()

    def wrote(self) -> None:
        """The last byte is the kernel's."""
        self._upstream.written += 1

    def may_end(self, wire: Wire, rested: bool) -> bool:
        """Whether the last byte may go; if not, the connection is shut."""
        # Risk: a drain broken by a request that was long on its way.
        # Risk: what is here before the request, and not yet read, would be taken for its answer.
        if self._fit() and not (rested and not wire.quiet()):
            return True
        wire.shutdown(socket.SHUT_RDWR)
        return False

    def goes(self) -> None:
        """The last byte of a body that was passed on while it came goes now. The time counts from when it
        came. Risk: counted from now, the agent would have to answer before the attempt is given up."""
        self.sent = True
        upload = self._call.upload
        if self.limit is not None and upload is not None and upload.whole_at is not None:
            spent_s = time.monotonic() - upload.whole_at
            left_s = (self._call.budget_us - DEADLINE_MARGIN_US) / 1e6 - spent_s
            self.limit.reschedule(asyncio.get_running_loop().time() + left_s)

    def keep(self, wire: Wire) -> None:
        self._upstream.rest(self._address, wire)

    def drop(self, wire: Wire) -> None:
        self._upstream.drop(wire)


class _Writer:
    """Writes a request while its answer is waited for: all but the last byte now, that a moment later. It
    takes a task only where the kernel does not take at once what it is given."""

    def __init__(self, exchange: _Exchange, wire: Wire, data: bytes, rested: bool, at_once: bool) -> None:
        self._exchange = exchange
        self._wire = wire
        self._last = data[-1:]
        self._rested = rested
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        begun = 0
        if not at_once:
            try:
                begun = wire.send_now(memoryview(data)[:-1])
            except OSError:
                return  # the reader sees the break too, and any answer before it
            if begun == len(data) - 1:
                self._timer = asyncio.get_running_loop().call_later(MOMENT_S, self._end)
                return
        self._task = asyncio.create_task(exchange.write(wire, data, rested, at_once, begun))

    def _end(self) -> None:
        self._timer = None
        exchange = self._exchange
        if not exchange.may_end(self._wire, self._rested):
            return
        exchange.sent = True
        try:
            if not self._wire.send_now(self._last):
                self._task = asyncio.create_task(self._end_later())
                return
        except OSError:
            exchange.sent = False
            return
        exchange.wrote()

    async def _end_later(self) -> None:
        """The kernel had no room for the last byte: it goes when there is some."""
        try:
            await self._wire.send(self._last)
        except OSError:
            self._exchange.sent = False
            return
        self._exchange.wrote()

    def done(self) -> bool:
        return self._timer is None and (self._task is None or self._task.done())

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()


class _Quick:
    """An exchange on a rested connection, in callbacks: the request goes in the step that decides on it, and
    an answer that is whole in one read ends it in the step that reads it. Whatever else comes goes on in a
    task, by the code that every other exchange takes."""

    def __init__(
        self,
        upstream: Upstream,
        exchange: _Exchange,
        wire: Wire,
        data: bytes,
        at_once: bool,
        timeout_us: int,
        done: Callable[[Ended], None],
    ) -> None:
        self._upstream = upstream
        self._exchange = exchange
        self._wire = wire
        self._done: Callable[[Ended], None] | None = done
        self._loop = asyncio.get_running_loop()
        self._due = self._loop.time() + timeout_us / 1e6
        self._task: asyncio.Task[Ended] | None = None
        self._began = False  # the task has had its first step
        alone = at_once and len(data) <= SEND_BYTES
        writer = None if alone else _Writer(exchange, wire, data, True, at_once)
        self._reader = _AnswerReader(exchange, wire, writer, True)
        self._timer = self._loop.call_later(timeout_us / 1e6, self._time_up)
        wire.listen(self._heard)
        if alone:
            self._write(data)

    def _write(self, data: bytes) -> None:
        """All of it at once; if the kernel has no room, the rest when it has."""
        exchange = self._exchange
        if not exchange.may_end(self._wire, True):
            return
        exchange.sent = True
        try:
            sent = self._wire.send_now(data)
        except OSError:
            exchange.sent = False  # the reader sees the break too, and any answer before it
            return
        if sent == len(data):
            exchange.wrote()
        else:
            exchange.sent = False
            self._go_on(data[sent:])

    def _heard(self, data: bytes | OSError) -> None:
        reader = self._reader
        try:
            if isinstance(data, OSError):
                raise data
            reader.heard(data)
            ended = reader.parse()
        except (OSError, _Stale, h11.RemoteProtocolError, Spoilt) as fault:
            ended = self._exchange.broke(reader, fault)
            if ended is None:
                self._go_on(None)
                return
        except Exception:
            log.exception("reading an answer failed")
            reader.close()
            ended = Ended(Outcome.UNKNOWN)
        if ended is None:
            self._go_on(b"")
        else:
            self._end(ended)

    def _time_up(self) -> None:
        late = self._reader.last_look()
        self._end(late or Ended(Outcome.TIMEOUT if self._exchange.sent else Outcome.UNREACHABLE))

    def cancel(self) -> None:
        """Call it off. Told in a later step: who calls it off is in the middle of a decision."""
        if self._task is not None:
            self._task.cancel()
        elif self._done is not None:
            done, self._done = self._done, None
            self._let_go()
            self._reader.close()
            self._loop.call_soon(done, Ended(Outcome.CANCELLED))

    def _let_go(self) -> None:
        self._timer.cancel()
        if not self._wire.closed:
            self._wire.listen(None)

    def _end(self, ended: Ended) -> None:
        done, self._done = self._done, None
        self._let_go()
        if done is not None:
            done(ended)

    def _go_on(self, data: bytes | None) -> None:
        """In a task: what is still to be written, and the rest of the answer; None: all of it anew."""
        self._let_go()
        self._task = asyncio.create_task(self._run(data))
        self._task.add_done_callback(self._ran)

    async def _run(self, data: bytes | None) -> Ended:
        self._began = True
        exchange = self._exchange
        left_s = max(0.0, self._due - self._loop.time())
        if data is None:
            return await self._upstream.within(left_s, exchange, exchange.anew)
        return await self._upstream.within(left_s, exchange, partial(exchange.go_on, self._reader, data))

    def _ran(self, task: asyncio.Task[Ended]) -> None:
        self._task = None  # Risk: a circle of it, its exception's frames and this, see `Agent._broke_off`
        if not self._began:
            self._reader.close()
        ended = Ended(Outcome.CANCELLED)
        if not task.cancelled():
            fault = task.exception()
            if fault is not None:
                log.error("an attempt failed", exc_info=fault)
            ended = Ended(Outcome.UNKNOWN) if fault is not None else task.result()
        self._end(ended)


class _Uploader:
    """Writes a request whose body is passed on while it comes. Its last byte goes a moment after the rest, as
    `_Exchange.write` says. That its server has begun to drain meanwhile does not end it: for the rule on
    drains a request goes when its first byte does."""

    def __init__(self, exchange: _Exchange, wire: Wire, head: bytes, upload: Upload) -> None:
        self._exchange = exchange
        self._wire = wire
        self._task = asyncio.create_task(self._run(head, upload))

    async def _run(self, data: bytes, upload: Upload) -> None:
        try:
            while piece := await upload.read():
                await self._wire.send(data, STREAM_STALL_S)
                data = b"%x\r\n%b\r\n" % (len(piece), piece) if upload.length is None else piece
            if upload.length is None:
                data += b"0\r\n\r\n"
            await self._wire.send(memoryview(data)[:-1], STREAM_STALL_S)
            await asyncio.sleep(MOMENT_S)
            self._exchange.goes()
            try:
                await self._wire.send(data[-1:], STREAM_STALL_S)
            except OSError:
                self._exchange.sent = False
                raise
            self._exchange.wrote()
        except OSError:
            # The reader sees the end of it, and any answer before that.
            self._wire.shutdown(socket.SHUT_RDWR)

    def done(self) -> bool:
        return self._task.done()

    def cancel(self) -> None:
        self._task.cancel()


class _Download:
    """The rest of an answer whose body goes on while it comes. Who has it closes it, whatever happens."""

    def __init__(
        self,
        reader: _AnswerReader,
        wire: Wire,
        length: int | None,
        parser: h11.Connection | None,
        body: bytes,
    ) -> None:
        """`body`: what of it has come. `parser`: of an answer that is not plain; None of one that is, whose
        `length` is known."""
        self.length = length
        self._reader = reader
        self._wire = wire
        self._parser = parser
        self._body = body
        self._left = length  # still to come; None of one that only its end tells
        self._taken = 0
        self._over = False  # more came than belongs to it
        self._closed = False

    async def read(self) -> bytes:
        """The next piece, empty at the end. Raises OSError if the rest does not come."""
        try:
            data = self._body or await self._next()
            self._body = b""
            self._taken += len(data)
            if self._taken > STREAM_MOST or (self._left is not None and len(data) > self._left):
                raise Broken("the answer is longer than one may be, or than it says")
            if self._left is not None:
                self._left -= len(data)
        except BaseException:
            self.close()
            raise
        return data

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._reader.close()

    def _end(self, whole: bool) -> bytes:
        """All of it has come. The connection is kept if nothing is left over."""
        if not self._closed:
            self._closed = True
            self._reader.done(whole)
        return b""

    async def _next(self) -> bytes:
        if self._closed:
            return b""
        if self._parser is not None:
            return await self._next_strictly(self._parser)
        assert self._left is not None
        if self._left == 0:
            return self._end(not self._over)
        data = await self._wire.receive(STREAM_STALL_S)
        if not data:
            raise Broken("the answer broke off")
        self._over = len(data) > self._left
        return data[: self._left]

    async def _next_strictly(self, parser: h11.Connection) -> bytes:
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await self._wire.receive(STREAM_STALL_S))
                    continue
            except h11.RemoteProtocolError as fault:
                raise Broken(str(fault)) from None
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._left:
                    raise Broken("the answer is not as long as it says")
                return self._end(_is_whole(parser))
            else:
                raise Broken("the answer broke off")


class _AnswerReader:
    """Reads one answer. One of up to BODY_MOST bytes is passed on only whole, so a broken or spoilt one can
    still be tried again; a longer one is passed on from its first bytes on."""

    def __init__(
        self,
        exchange: _Exchange,
        wire: Wire,
        writer: _Writer | _Uploader | None,
        rested: bool,
    ) -> None:
        self._exchange = exchange
        self._data = bytearray()  # what has come of a plain answer, or of one that may be
        self._searched = 0  # so much of it holds no end of a head
        self._head: AnswerHead | None = None  # of a plain answer
        self._at = 0  # where its body begins
        self._strict: h11.Connection | None = None  # parses an answer that is not plain
        self.wire = wire
        self._writer = writer
        self.rested = rested
        self._begun = False  # part of the answer has come
        self._first_at = 0.0  # when its first byte came
        self.ended = False  # the backend has ended its sending
        self._ahead = 0  # informational answers so far
        self._response: h11.Response | None = None  # the head of a 200
        self._length: int | None = None
        self._body = bytearray()
        self._last = False  # the connection ends with this long answer
        self._pieces = 0  # of the body, since the loop was last let go on

    async def run(self) -> Ended:
        """Read until the answer is whole. Raises Spoilt, _Stale, OSError and h11's errors."""
        while (ended := self.parse()) is None:
            paused, self._pieces = self._pieces >= PIECES_IN_A_ROW, 0
            if paused:
                await asyncio.sleep(0)
                continue
            try:
                data = await self.wire.receive(STALL_S if self._begun else None)
            except TimeoutError:
                # Risk: an answer that says it is longer than it is would hold its request until the deadline.
                raise Spoilt("the answer stood still") from None
            self.heard(data)
        ended.tail_us = int((time.monotonic() - self._first_at) * 1e6)
        return ended

    def close(self) -> None:
        if self._writer is not None:
            self._writer.cancel()
        self._exchange.drop(self.wire)

    def last_look(self) -> Ended | None:
        """The answer, if all of it is here though not yet read. Either way this reader is done."""
        try:
            for _ in range(LAST_LOOKS):
                ended = self.parse()
                if ended is not None:
                    return ended
                paused, self._pieces = self._pieces >= PIECES_IN_A_ROW, 0
                if not paused:
                    data = self.wire.unread()
                    if not data:
                        break
                    self.heard(data)
        except (OSError, _Stale, Spoilt, h11.RemoteProtocolError):
            pass
        self.close()
        return None

    def heard(self, data: bytes) -> None:
        if data and self.rested and not self._exchange.sent:
            # Risk: an answer to an earlier request, come late, would be taken for this one's.
            raise _Stale
        if not self._begun:
            self._begun = True
            self._first_at = time.monotonic()
        self.ended = not data
        if self._strict is not None:
            self._strict.receive_data(data)
        else:
            self._data += data

    def parse(self) -> Ended | None:
        """What has come so far; None if it is not yet the whole answer. Raises Spoilt, h11's errors."""
        if self._strict is None:
            if self._head is None and not self._read_head():
                return None
            if self._head is not None:
                return self._parse_plain(self._head)
        assert self._strict is not None
        return self._parse_strictly(self._strict)

    def _read_head(self) -> bool:
        """Whether more is known by now: a plain head, or that h11 has to judge."""
        data = self._data
        if not data and not self.ended:
            return False
        found = HEAD_END.search(data, self._searched)
        if found is not None:
            self._at = found.end()
            self._head = answer_head(bytes(data[: self._at]))
            if self._head is not None:
                return True
        elif not self.ended and len(data) <= HEAD_MOST and data[0] >= 0x21:
            self._searched = max(0, len(data) - 2)
            return False
        self._strict = self._exchange.strict_parser()
        if data:
            self._strict.receive_data(bytes(data))
        if self.ended:
            self._strict.receive_data(b"")
        self._data = bytearray()
        return True

    def _parse_plain(self, head: AnswerHead) -> Ended | None:
        here = len(self._data) - self._at
        if head.status != 200:
            # The status has told all, and the module is told at once; see `_skip_body`.
            self._done(here == head.length and not head.last)
            return Ended(_outcome(head.status, head.headers))
        if not self._exchange.sent:
            raise Spoilt("an answer to a request that was not sent whole")
        if head.length > STREAM_MOST:
            raise Spoilt("the answer is longer than one may be")
        if head.length > BODY_MOST and here:
            return self._goes_on(head, here)
        if here < head.length:
            if self.ended:
                raise Spoilt("the answer broke off")
            return None
        self._done(here == head.length and not head.last)
        body = self._data[self._at : self._at + head.length]
        return Ended(Outcome.OK, Answer(200, end_to_end(head.headers), body))

    def _goes_on(self, head: AnswerHead, here: int) -> Ended:
        """The first bytes of a long plain answer are here."""
        body = bytes(self._data[self._at : self._at + head.length])
        self._data = bytearray()
        self._last = head.last or here > head.length
        download = _Download(self, self.wire, head.length, None, body)
        return Ended(Outcome.OK, Answer(200, end_to_end(head.headers), b"", download))

    def done(self, whole: bool) -> None:
        """A long answer has come to its end."""
        self._done(whole and not self._last)

    def _parse_strictly(self, parser: h11.Connection) -> Ended | None:
        """Stops early, with `_pieces` above zero, in an answer of many small pieces."""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                return None
            if self._response is None:
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        self._skip_body(parser)
                        return Ended(_outcome(event.status_code, event.headers))
                    if not self._exchange.sent:
                        raise Spoilt("an answer to a request that was not sent whole")
                    self._length = _length(event)
                    self._response = event
                else:
                    self._informational(parser, event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > BODY_MOST or (self._length or 0) > BODY_MOST:
                    body, self._body = bytes(self._body), bytearray()
                    download = _Download(self, self.wire, self._length, parser, body)
                    return Ended(Outcome.OK, Answer(200, end_to_end(self._response.headers), b"", download))
                self._pieces += 1
                if self._pieces >= PIECES_IN_A_ROW:
                    return None
            elif isinstance(event, h11.EndOfMessage):
                if self._length is not None and len(self._body) != self._length:
                    raise Spoilt("the answer is not as long as it says")
                self._done(_is_whole(parser))
                return Ended(Outcome.OK, Answer(200, end_to_end(self._response.headers), self._body))
            else:
                raise Spoilt("the answer broke off")

    def _informational(self, parser: h11.Connection, event: object) -> None:
        """An answer ahead of the one that counts."""
        self._ahead += 1
        known = isinstance(event, h11.InformationalResponse) and event.status_code != 101
        if not known or self._ahead >= INFORMATIONAL_MOST:
            raise Spoilt("no answer came")
        self._begun = bool(parser.trailing_data[0])  # the answer itself may take its time yet

    def _skip_body(self, parser: h11.Connection) -> None:
        """The status has told all, and the module is told at once. What has come by now decides whether the
        connection is kept. Risk: waiting for the rest would hold back the request's next attempt, or its
        final answer."""
        try:
            for _ in range(1 + BODY_MOST // 64):
                event = parser.next_event()
                if isinstance(event, h11.EndOfMessage):
                    self._done(_is_whole(parser))
                    return
                if not isinstance(event, h11.Data):
                    break
        except h11.ProtocolError:
            pass
        self.close()

    def _written(self) -> bool:
        return self._writer is None or self._writer.done()

    def _done(self, whole: bool) -> None:
        """The answer has told what it tells. The connection is kept only if both messages are whole,
        nothing is left over (`whole`), and neither side ends it."""
        if whole and self._exchange.sent and self._written():
            self._exchange.keep(self.wire)
        else:
            self.close()


def _length(response: h11.Response) -> int | None:
    """The declared length, None of a chunked answer. Risk: one that ends with its connection cannot be told
    from one broken off, and one with two lengths may be cut at either."""
    lengths = [int(value) for name, value in response.headers if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in response.headers)
    if chunked == bool(lengths):
        raise Spoilt("the length of the answer is missing or ambiguous")
    if lengths and lengths[0] > STREAM_MOST:
        raise Spoilt("the answer is longer than one may be")
    return lengths[0] if lengths else None


def _is_whole(parser: h11.Connection) -> bool:
    done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
    return done and not parser.trailing_data[0]


def _outcome(status: int, headers: Iterable[tuple[bytes, bytes]]) -> Outcome:
    """What a status other than 200 says. Only the backend's own word proves that nothing ran."""
    rejected = any(name == b"x-rejected" and value == b"1" for name, value in headers)
    return Outcome.REJECTED if rejected and status in (503, 504) else Outcome.ERROR
