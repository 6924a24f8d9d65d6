"""UDP and TCP transport of one member: datagrams, push-pull exchanges over connections, and timers.

The view decides what is sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from sorrelfront.decisions.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_STATE_BYTES,
    Address,
    FullState,
    MalformedMessage,
    Message,
    PolicyFrame,
    ReplicationFrame,
    State,
    decode,
    decode_stream,
    encode,
)
from sorrelfront.decisions.fleet.view import Action, MemberEvent, PersistIncarnation, PushPull, Send, View
from sorrelfront.fleet.envelope import ENVELOPE_BYTES, EnvelopeCodec
from sorrelfront.net.streams import close_stream

log = logging.getLogger("sorrelfront.fleet")

LENGTH_HEADER = struct.Struct(">I")  # number of bytes that follow
PUSH_PULL_TIMEOUT_S = 2.0  # for one exchange, from connecting to the answer
MAX_OUTGOING_PUSH_PULLS = 4  # started by this member; further ones wait until the view asks again
MAX_INCOMING_CONNECTIONS = 16  # open at once; further connections are closed
MAX_STREAM_MESSAGES = 64  # messages too long for a datagram, in flight at once; further ones are lost
MAX_DATAGRAMS_PER_S = 4_000  # token bucket of received datagrams; further ones are dropped unread
MAX_EVENTS = 1_000  # kept for subscribers
BIND_RETRY_S = 0.1  # while a process that is being replaced still has the address
MAX_DATAGRAMS_PER_WAKEUP = 64  # datagrams that are read before the event loop goes on
LOG_LEVELS = {
    "suspected": logging.INFO, "died": logging.WARNING, "twin": logging.ERROR, "back": logging.ERROR,
}  # fmt: skip
LOG_MESSAGES = {
    "joined": "%s has joined the fleet", "cleared": "%s is no longer suspected",
    "suspected": "%s does not answer",
    "died": "%s is held for dead", "left": "%s has left",
    "twin": "another process goes by the name %s", "back": "%s stands back for an older process of this name",
}  # fmt: skip


def now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1_000


class MembershipTransport:
    """One member's transport on real sockets, with UDP and TCP on the same address."""

    def __init__(
        self, view: View, envelope: EnvelopeCodec, listen: Address, persist: Callable[[int], None]
    ) -> None:
        """Create it without sockets; `start` opens them.

        `persist` receives the incarnation above which the next process has to start.
        """
        self.view = view
        self.envelope = envelope
        self.listen = listen
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_EVENTS)
        self.event_count = 0  # events so far; also the number of the latest
        self.counters = dict.fromkeys(
            ("sent", "sent_bytes", "heard", "heard_bytes", "strange", "unreadable", "too_many", "unsent"), 0
        )
        self._persist = persist
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._incoming: set[asyncio.Task[None]] = set()
        self._outgoing_push_pulls = 0
        self._stream_messages_in_flight = 0
        # Handlers of messages, if this member takes part in policy or in replication.
        self.on_policy_message: Callable[[PolicyFrame], None] | None = None
        self.on_replication_message: Callable[[ReplicationFrame], None] | None = None
        self._tokens = float(MAX_DATAGRAMS_PER_S)
        self._refilled_s = time.monotonic()
        self._closed = False

    async def start(self) -> None:
        """Bind the address, retrying while another process has it, and start the protocol."""
        warned = False
        while not self._closed:
            try:
                self._bind()
                break
            except OSError as error:
                if not warned:
                    log.warning("%s:%d cannot be bound yet: %s", *self.listen, error.strerror)
                    warned = True
                await asyncio.sleep(BIND_RETRY_S)
        if self._closed or self._sock is None:
            return
        self._server = await asyncio.start_server(self._serve, sock=self._tcp, limit=64 * 1024)
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._on_readable)
        self._perform(self.view.on_timer(now_us()))

    def _bind(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            sock.bind(self.listen)
            self._tcp = socket.create_server(self.listen, backlog=MAX_INCOMING_CONNECTIONS)
        except OSError:
            sock.close()
            raise
        self._tcp.setblocking(False)
        self._sock = sock

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task that is cancelled when this transport closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the membership transport failed", exc_info=task.exception())

    def close(self, leave: bool = False) -> None:
        """Close all sockets and tasks; with `leave`, first announce that this member leaves for good."""
        if self._closed:
            return
        if leave and self._sock is not None:
            self._perform(self.view.leave(now_us()))
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in [*self._tasks, *self._incoming]:
            task.cancel()
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        if self._server is not None:
            self._server.close()

    # Receiving

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            if self._sock is None:
                return
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # an ICMP error for an earlier datagram: the port was closed
            self._receive_datagram(data)
        self._schedule()

    def _receive_datagram(self, data: bytes) -> None:
        now = time.monotonic()
        self._tokens = min(MAX_DATAGRAMS_PER_S, self._tokens + (now - self._refilled_s) * MAX_DATAGRAMS_PER_S)
        self._refilled_s = now
        if self._tokens < 1:
            self.counters["too_many"] += 1
            return
        self._tokens -= 1
        payload = self.envelope.unwrap(data) if len(data) <= MAX_DATAGRAM_BYTES else None
        if payload is None:
            self.counters["strange"] += 1
            return
        try:
            message = decode(payload)
        except MalformedMessage:
            self.counters["unreadable"] += 1
            return
        self.counters["heard"] += 1
        self.counters["heard_bytes"] += len(data)
        self._dispatch(message)

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, ReplicationFrame):
            if (
                self.on_replication_message is not None
                and message.to == self.view.me.name
                and not self.view.yielded
            ):
                self.on_replication_message(message)
        elif not isinstance(message, PolicyFrame):
            self._perform(self.view.on_message(message, now_us()))
        elif self.on_policy_message is not None and message.to == self.view.me.name and not self.view.yielded:
            self.on_policy_message(message)

    # Sending

    def send(self, message: PolicyFrame | ReplicationFrame) -> None:
        """Send a message to the member that it names, at its address in the view; it may be lost."""
        member = self.view.members.get(message.to)
        if member is None or self._closed or self.view.yielded:
            self.counters["unsent"] += 1
            return
        data = self.envelope.wrap(encode(message))
        if len(data) <= MAX_DATAGRAM_BYTES:
            self._send_datagram(member.address, data)
        elif self._stream_messages_in_flight < MAX_STREAM_MESSAGES:
            self._stream_messages_in_flight += 1
            self.spawn(self._send_stream(member.address, data))
        else:
            self.counters["unsent"] += 1

    async def _send_stream(self, to: Address, data: bytes) -> None:
        """Send one message alone on a connection."""
        try:
            async with asyncio.timeout(PUSH_PULL_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*to, local_addr=(self.listen[0], 0))
                try:
                    writer.write(LENGTH_HEADER.pack(len(data)) + data)
                    self.counters["sent_bytes"] += len(data)
                    await writer.drain()
                finally:
                    await close_stream(writer)
        except OSError:
            self.counters["unsent"] += 1
        finally:
            self._stream_messages_in_flight -= 1

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self._send_datagram(to, self.envelope.wrap(encode(message)))
                case PushPull(to):
                    if self._outgoing_push_pulls < MAX_OUTGOING_PUSH_PULLS:
                        self._outgoing_push_pulls += 1
                        self.spawn(self._push_pull(to))
                case PersistIncarnation(incarnation):
                    self._persist(incarnation)
                case MemberEvent():
                    self._record_event(action)
        self._schedule()

    def _send_datagram(self, to: Address, data: bytes) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, to)
            self.counters["sent"] += 1
            self.counters["sent_bytes"] += len(data)
        except OSError:  # a full buffer, or a closed port: the same as a lost datagram
            self.counters["unsent"] += 1

    def _record_event(self, event: MemberEvent) -> None:
        if event.kind == "raised":
            return
        self.event_count += 1
        self.events.append(
            {
                "number": self.event_count, "at": time.time(), "what": event.kind, "name": event.name,
                "incarnation": event.incarnation, "by": event.reporter,
                "address": "{}:{}".format(*event.address),
            }
        )  # fmt: skip
        context = {"member": event.name, "by": event.reporter}
        log.log(LOG_LEVELS.get(event.kind, logging.INFO), LOG_MESSAGES[event.kind], event.name, extra=context)

    def _schedule(self) -> None:
        if self._closed or self._sock is None:
            return
        due = self.view.next_timer_us()
        if self._timer is not None and due == self._due_us:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due_us = due
        delay = max(0.0, (due - now_us()) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._perform(self.view.on_timer(now_us()))

    # Push-pull exchanges

    async def _push_pull(self, to: Address) -> None:
        try:
            async with asyncio.timeout(PUSH_PULL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *to, local_addr=(self.listen[0], 0), limit=64 * 1024
                )
                try:
                    self._write(writer, self.view.full_state())
                    answer = await self._read(reader)
                finally:
                    await close_stream(writer)
            if isinstance(answer, FullState) and answer.reply:
                self._perform(self.view.on_full_state(answer, now_us()))
        except (OSError, asyncio.IncompleteReadError):
            pass  # unreachable: the view tries again
        finally:
            self._outgoing_push_pulls -= 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._incoming) >= MAX_INCOMING_CONNECTIONS or self._closed:
            self.counters["too_many"] += 1
            writer.transport.abort()
            return
        self._incoming.add(task)
        try:
            async with asyncio.timeout(PUSH_PULL_TIMEOUT_S):
                request = await self._read(reader)
                if isinstance(request, PolicyFrame | ReplicationFrame):
                    self._dispatch(request)
                elif request is not None and not request.reply:
                    self._perform(self.view.on_full_state(request, now_us()))
                    self._write(writer, self.view.full_state(reply=True))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await close_stream(writer)
            self._incoming.discard(task)

    def _write(self, writer: asyncio.StreamWriter, state: FullState) -> None:
        data = self.envelope.wrap(encode(state))
        writer.write(LENGTH_HEADER.pack(len(data)) + data)
        self.counters["sent_bytes"] += len(data)

    async def _read(self, reader: asyncio.StreamReader) -> FullState | PolicyFrame | ReplicationFrame | None:
        """Read the peer's message, or None if it is invalid or from another fleet."""
        (length,) = LENGTH_HEADER.unpack(await reader.readexactly(LENGTH_HEADER.size))
        if not ENVELOPE_BYTES < length <= MAX_STATE_BYTES + ENVELOPE_BYTES:
            self.counters["strange"] += 1
            return None
        data = await reader.readexactly(length)
        payload = self.envelope.unwrap(data)
        if payload is None:
            self.counters["strange"] += 1
            return None
        try:
            message = decode_stream(payload)
        except MalformedMessage:
            self.counters["unreadable"] += 1
            return None
        self.counters["heard_bytes"] += len(data)
        return message

    # Reporting

    def members(self) -> list[dict[str, Any]]:
        """Return a row for each known member, as this member sees it, for `ctl members`."""
        view = self.view
        now = now_us()
        rows = []
        for name in sorted(view.members):
            member = view.members[name]
            digest = view.peer_digests.get(name)
            changed_us = view.changed_us.get(name, view.started_us)
            rows.append(
                {
                    "name": name, "host": name.rpartition("/")[0] or name,
                    "address": f"{member.ip}:{member.port}",
                    "state": State(member.state).name.lower(), "incarnation": member.incarnation,
                    "for_s": round(max(0, now - changed_us) / 1e6, 3), "version": member.version,
                    "agrees": name == view.me.name or digest == view.digest,
                }
            )  # fmt: skip
        return rows

    def events_after(self, after: int) -> list[dict[str, Any]]:
        """Return the events with numbers above `after`."""
        return [event for event in self.events if event["number"] > after]

    def status(self) -> dict[str, Any]:
        """Return the sizes and counters for the status."""
        view = self.view
        return {
            "members": view.living, "agreeing": view.agreeing(), "known": len(view.members),
            "health": view.health,
            "back": view.yielded, "incarnation": view.me.incarnation,
            "tasks": len(self._tasks) + len(self._incoming), **self.counters,
            "refused": view.counters.rejected, "deaths": view.counters.deaths,
            "refuted": view.counters.refutations,
        }  # fmt: skip
