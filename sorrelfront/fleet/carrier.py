"""Carries one member's words: datagrams, exchanges over connections, and time. What to say is the view's to
decide."""

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

from sorrelfront.decisions.fleet.view import Action, Exchange, Keep, Send, Told, View
from sorrelfront.decisions.fleet.words import (
    DATAGRAM_MOST,
    EXCHANGE_MOST,
    Address,
    Copy,
    Said,
    State,
    Unreadable,
    Whole,
    Word,
    decode,
    decode_whole,
    encode,
)
from sorrelfront.fleet.envelope import OVERHEAD, Seal
from sorrelfront.net.streams import end_stream

log = logging.getLogger("sorrelfront.fleet")

HEAD = struct.Struct(">I")  # length of what follows
EXCHANGE_S = 2.0  # for a whole exchange
EXCHANGES_MOST = 4  # of our own at once; further ones wait for the view to ask again
PEERS_MOST = 16  # exchanges of others at once; further connections are closed
PARCELS_MOST = 64  # words too long for a datagram, on their way at once; what comes beyond is lost
WORDS_A_SECOND = 4_000  # datagrams that are looked at; what comes beyond is dropped unread
EVENTS_MOST = 1_000  # remembered for whoever follows
BIND_AGAIN_S = 0.1  # while another process, one that is being replaced, has the address
TURN = 64  # datagrams that are read before others have their turn
LEVELS = {"suspected": logging.INFO, "died": logging.WARNING, "twin": logging.ERROR, "back": logging.ERROR}
WORDS = {
    "joined": "%s is in the fleet", "cleared": "%s is well after all", "suspected": "%s does not answer",
    "died": "%s is held for dead", "left": "%s has left",
    "twin": "another process goes by the name %s", "back": "%s stands back for an older process of this name",
}  # fmt: skip


def now_us() -> int:
    return time.monotonic_ns() // 1_000


class Carrier:
    """One member on real sockets. UDP and TCP on the same address."""

    def __init__(self, view: View, seal: Seal, listen: Address, keep: Callable[[int], None]) -> None:
        """`keep` is given the incarnation that the next life begins above. Use `start`."""
        self.view = view
        self.seal = seal
        self.listen = listen
        self.events: deque[dict[str, Any]] = deque(maxlen=EVENTS_MOST)
        self.count = 0  # events so far: the number of the latest
        self.counts = dict.fromkeys(
            ("sent", "sent_bytes", "heard", "heard_bytes", "strange", "unreadable", "too_many", "unsent"), 0
        )
        self._keep = keep
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_us = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._peers: set[asyncio.Task[None]] = set()
        self._ours = 0
        self._parcels = 0
        self.on_said: Callable[[Said], None] | None = None  # words about policy, if this member has a part
        self.on_copy: Callable[[Copy], None] | None = None  # words about copies, if it keeps any
        self._allowance = float(WORDS_A_SECOND)
        self._refilled = time.monotonic()
        self._closed = False

    async def start(self) -> None:
        """Open the address, once it is free, and begin."""
        told = False
        while not self._closed:
            try:
                self._open()
                break
            except OSError as fault:
                if not told:
                    log.warning("%s:%d cannot be opened yet: %s", *self.listen, fault.strerror)
                    told = True
                await asyncio.sleep(BIND_AGAIN_S)
        if self._closed or self._sock is None:
            return
        self._server = await asyncio.start_server(self._serve, sock=self._tcp, limit=64 * 1024)
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self._readable)
        self._do(self.view.on_time(now_us()))

    def _open(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            sock.bind(self.listen)
            self._tcp = socket.create_server(self.listen, backlog=PEERS_MOST)
        except OSError:
            sock.close()
            raise
        self._tcp.setblocking(False)
        self._sock = sock

    def spawn(self, work: Any) -> None:
        """A task that ends with this carrier."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("the view's carrier failed", exc_info=task.exception())

    def close(self, leave: bool = False) -> None:
        """Say nothing more; before that, if `leave`, that this member goes for good."""
        if self._closed:
            return
        if leave and self._sock is not None:
            self._do(self.view.leave(now_us()))
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for task in [*self._tasks, *self._peers]:
            task.cancel()
        if self._sock is not None:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self._sock = None
        if self._server is not None:
            self._server.close()

    # In

    def _readable(self) -> None:
        for _ in range(TURN):
            if self._sock is None:
                return
            try:
                data, _ = self._sock.recvfrom(DATAGRAM_MOST + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # a port that nobody listens at, told by the kernel
            self._one(data)
        self._schedule()

    def _one(self, data: bytes) -> None:
        now = time.monotonic()
        self._allowance = min(WORDS_A_SECOND, self._allowance + (now - self._refilled) * WORDS_A_SECOND)
        self._refilled = now
        if self._allowance < 1:
            self.counts["too_many"] += 1
            return
        self._allowance -= 1
        payload = self.seal.open(data) if len(data) <= DATAGRAM_MOST else None
        if payload is None:
            self.counts["strange"] += 1
            return
        try:
            word = decode(payload)
        except Unreadable:
            self.counts["unreadable"] += 1
            return
        self.counts["heard"] += 1
        self.counts["heard_bytes"] += len(data)
        self._heard_word(word)

    def _heard_word(self, word: Word) -> None:
        if isinstance(word, Copy):
            if self.on_copy is not None and word.to == self.view.me.name and not self.view.back:
                self.on_copy(word)
        elif not isinstance(word, Said):
            self._do(self.view.on_word(word, now_us()))
        elif self.on_said is not None and word.to == self.view.me.name and not self.view.back:
            self.on_said(word)

    # Out

    def say(self, said: Said | Copy) -> None:
        """To the member that it names, wherever the view has it; a word may be lost on the way."""
        news = self.view.members.get(said.to)
        if news is None or self._closed or self.view.back:
            self.counts["unsent"] += 1
            return
        data = self.seal.close(encode(said))
        if len(data) <= DATAGRAM_MOST:
            self._send(news.address, data)
        elif self._parcels < PARCELS_MOST:
            self._parcels += 1
            self.spawn(self._parcel(news.address, data))
        else:
            self.counts["unsent"] += 1

    async def _parcel(self, to: Address, data: bytes) -> None:
        """One word alone on a connection."""
        try:
            async with asyncio.timeout(EXCHANGE_S):
                _, writer = await asyncio.open_connection(*to, local_addr=(self.listen[0], 0))
                try:
                    writer.write(HEAD.pack(len(data)) + data)
                    self.counts["sent_bytes"] += len(data)
                    await writer.drain()
                finally:
                    await end_stream(writer)
        except OSError:
            self.counts["unsent"] += 1
        finally:
            self._parcels -= 1

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, word):
                    self._send(to, self.seal.close(encode(word)))
                case Exchange(to):
                    if self._ours < EXCHANGES_MOST:
                        self._ours += 1
                        self.spawn(self._exchange(to))
                case Keep(incarnation):
                    self._keep(incarnation)
                case Told():
                    self._tell(action)
        self._schedule()

    def _send(self, to: Address, data: bytes) -> None:
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, to)
            self.counts["sent"] += 1
            self.counts["sent_bytes"] += len(data)
        except OSError:  # a full buffer, or nobody there: as good as lost on the way
            self.counts["unsent"] += 1

    def _tell(self, told: Told) -> None:
        if told.what == "raised":
            return
        self.count += 1
        self.events.append(
            {
                "number": self.count, "at": time.time(), "what": told.what, "name": told.name,
                "incarnation": told.incarnation, "by": told.by, "address": "{}:{}".format(*told.address),
            }
        )  # fmt: skip
        about = {"member": told.name, "by": told.by}
        log.log(LEVELS.get(told.what, logging.INFO), WORDS[told.what], told.name, extra=about)

    def _schedule(self) -> None:
        if self._closed or self._sock is None:
            return
        due = self.view.next_us()
        if self._timer is not None and due == self._due_us:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due_us = due
        delay = max(0.0, (due - now_us()) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(delay, self._on_time)

    def _on_time(self) -> None:
        self._timer = None
        self._do(self.view.on_time(now_us()))

    # Exchanges

    async def _exchange(self, to: Address) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_S):
                reader, writer = await asyncio.open_connection(
                    *to, local_addr=(self.listen[0], 0), limit=64 * 1024
                )
                try:
                    self._write(writer, self.view.whole())
                    answer = await self._read(reader)
                finally:
                    await end_stream(writer)
            if isinstance(answer, Whole) and answer.reply:
                self._do(self.view.on_whole(answer, now_us()))
        except (OSError, asyncio.IncompleteReadError):
            pass  # nobody there: the view calls again
        finally:
            self._ours -= 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._peers) >= PEERS_MOST or self._closed:
            self.counts["too_many"] += 1
            writer.transport.abort()
            return
        self._peers.add(task)
        try:
            async with asyncio.timeout(EXCHANGE_S):
                asked = await self._read(reader)
                if isinstance(asked, Said | Copy):
                    self._heard_word(asked)
                elif asked is not None and not asked.reply:
                    self._do(self.view.on_whole(asked, now_us()))
                    self._write(writer, self.view.whole(reply=True))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await end_stream(writer)
            self._peers.discard(task)

    def _write(self, writer: asyncio.StreamWriter, whole: Whole) -> None:
        data = self.seal.close(encode(whole))
        writer.write(HEAD.pack(len(data)) + data)
        self.counts["sent_bytes"] += len(data)

    async def _read(self, reader: asyncio.StreamReader) -> Whole | Said | Copy | None:
        """What the other side knows or says; None if it is none of this fleet's."""
        (length,) = HEAD.unpack(await reader.readexactly(HEAD.size))
        if not OVERHEAD < length <= EXCHANGE_MOST + OVERHEAD:
            self.counts["strange"] += 1
            return None
        data = await reader.readexactly(length)
        payload = self.seal.open(data)
        if payload is None:
            self.counts["strange"] += 1
            return None
        try:
            whole = decode_whole(payload)
        except Unreadable:
            self.counts["unreadable"] += 1
            return None
        self.counts["heard_bytes"] += len(data)
        return whole

    # Told

    def members(self) -> list[dict[str, Any]]:
        """For `ctl members`: every member known, this one's view of it."""
        view = self.view
        now = now_us()
        rows = []
        for name in sorted(view.members):
            news = view.members[name]
            heard = view.heard.get(name)
            since = view.since.get(name, view.began_us)
            rows.append(
                {
                    "name": name, "host": name.rpartition("/")[0] or name,
                    "address": f"{news.ip}:{news.port}",
                    "state": State(news.state).name.lower(), "incarnation": news.incarnation,
                    "for_s": round(max(0, now - since) / 1e6, 3), "version": news.version,
                    "agrees": name == view.me.name or heard == view.digest,
                }
            )  # fmt: skip
        return rows

    def told(self, after: int) -> list[dict[str, Any]]:
        """Events since this number."""
        return [event for event in self.events if event["number"] > after]

    def figures(self) -> dict[str, Any]:
        """For status: what it holds and what it refused."""
        view = self.view
        return {
            "members": view.living, "agreeing": view.agreeing(), "known": len(view.members),
            "health": view.health,
            "back": view.back, "incarnation": view.me.incarnation,
            "tasks": len(self._tasks) + len(self._peers), **self.counts,
            "refused": view.figures.refused, "deaths": view.figures.deaths, "refuted": view.figures.refuted,
        }  # fmt: skip
