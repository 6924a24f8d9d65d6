"""Clients that keep their connections and ask without pause, and the books of what became of it."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter

from sorrelfront.lab.http1 import PATIENCE_S, request

RESET = b"reset"
LOST = b"lost"
LEFT = b"left"  # the client closed its connection without waiting for the answer
CLASSES = ("look", "pay", "book")


class Peer:
    """A client by its socket alone: what it sends is in the agent's kernel when `send` returns."""

    def __init__(self, address: tuple[str, int], sock: socket.socket | None = None) -> None:
        self.sock = sock or socket.create_connection(address)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # a second piece goes out at once too
        self._read = bytearray()
        self.head = b""  # of the latest answer
        self.told_to_close = False
        self.left = False
        self.port = int(self.sock.getsockname()[1])

    def send(self, data: bytes) -> None:
        assert self.sock.send(data) == len(data)

    async def answer(self) -> bytes:
        """The next answer's status line; "reset" if the kernel says that bytes were never read."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE_S):
            while b"\r\n\r\n" not in self._read:
                if not await self._more(loop):
                    return b"reset" if await self.was_reset() else b"lost"
            head, _, rest = bytes(self._read).partition(b"\r\n\r\n")
            (length,) = (int(x[15:]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length"))
            while len(rest) < length:
                if not await self._more(loop):
                    return b"lost"
                rest = bytes(self._read).partition(b"\r\n\r\n")[2]
            del self._read[: len(head) + 4 + length]
            self.head = head
            self.told_to_close = b"connection: close" in head.lower()
            return head.split(b"\r\n")[0]

    async def _more(self, loop: asyncio.AbstractEventLoop) -> bool:
        try:
            data = await loop.sock_recv(self.sock, 65_536)
        except ConnectionError:
            return False
        self._read += data
        return bool(data)

    async def was_reset(self) -> bool:
        """After an end: the kernel's state is CLOSE (7) once a reset came, too, and stays CLOSE_WAIT (8) if
        all that was sent has been read. What crossed the end is reset a moment after it."""
        for _ in range(100):
            if self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == 7:
                return True
            await asyncio.sleep(0.005)
        return False

    def leave(self) -> None:
        """Close without waiting for what is owed."""
        self.left = True
        self.close()

    def close(self) -> None:
        self.sock.close()


class Crowd:
    """A number of clients, each with a connection of its own; they repeat nothing."""

    def __init__(
        self,
        address: tuple[str, int],
        clients: int,
        pause_s: float = 0.0,
        classes: tuple[str, ...] = CLASSES,
        name: str = "c",
    ) -> None:
        self.address = address
        self.book: Counter[bytes] = Counter()  # status lines, RESET, LOST, and "unsent"
        self.by_class: Counter[tuple[str, bytes]] = Counter()
        self.lost: list[str] = []  # names of requests
        self.served: set[str] = set()
        self.answered = 0
        self.latencies: list[float] = []  # seconds, of what was served
        self.gap_s = 0.0  # the longest time without an answer to anybody
        self.longest_wait_s = 0.0  # of one client, from wanting an answer to having one, connects and all
        self.refused_connects = 0
        self.cut_ports: list[int] = []  # our ports of connections that ended without an answer
        self.recovery_s: list[float] = []  # from the next connect after it to that client's next answer
        self._last = time.monotonic()
        self._pause_s = pause_s
        self._classes = classes
        self._asking = True
        self._name = name
        self.head = b""  # of the answer that is being told
        self._tasks = [asyncio.create_task(self._ask(number)) for number in range(clients)]

    def asks(self, name: str, cls: str) -> None:
        """Called as a request is sent, for whoever keeps a book of its own."""

    def heard(self, name: str, cls: str, got: bytes, seconds: float) -> None:
        """Called with each request's status line, or RESET or LOST, and how long it took."""

    async def await_answer(self, peer: Peer, name: str) -> bytes:
        """The status line, RESET, LOST, or LEFT by a client that has closed its connection by then."""
        return await peer.answer()

    async def _ask(self, number: int) -> None:
        peer: Peer | None = None
        asked = 0
        cut_at: float | None = None
        wants_at: float | None = None
        try:
            while self._asking:
                wants_at = wants_at or time.monotonic()
                if peer is None:
                    try:
                        peer = await self._connect()
                    except ConnectionError:
                        self.refused_connects += 1
                        await asyncio.sleep(0.02)
                        continue
                asked += 1
                before = self.answered
                goes_on = await self._one(peer, f"{self._name}{number}-{asked}", asked)
                if self.answered > before:
                    self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - wants_at)
                    wants_at = None
                if not goes_on:
                    if not peer.told_to_close and not peer.left and cut_at is None:
                        cut_at = time.monotonic()
                    peer.close()
                    peer = None
                elif cut_at is not None:
                    self.recovery_s.append(time.monotonic() - cut_at)
                    cut_at = None
                if self._pause_s:
                    await asyncio.sleep(self._pause_s)
        finally:
            if peer is not None:
                peer.close()

    async def _one(self, peer: Peer, name: str, asked: int) -> bool:
        """Ask once. Whether the connection can be used again."""
        cls = self._classes[asked % len(self._classes)]
        began = time.monotonic()
        try:
            peer.send(request(name, cls))
        except ConnectionError:
            self.book[b"unsent"] += 1
            return False
        self.asks(name, cls)
        got = await self.await_answer(peer, name)
        self.head = peer.head
        self.heard(name, cls, got, time.monotonic() - began)
        self.book[got] += 1
        self.by_class[cls, got[:12]] += 1
        if got == LOST:
            self.lost.append(name)
        if got in (LOST, RESET):
            self.cut_ports.append(peer.port)
        if not got.startswith(b"HTTP/1.1 "):
            return False
        now = time.monotonic()
        self.gap_s = max(self.gap_s, now - self._last)
        self._last = now
        self.answered += 1
        if got.startswith(b"HTTP/1.1 200"):
            self.served.add(name)
            self.latencies.append(now - began)
        return not peer.told_to_close

    async def _connect(self) -> Peer:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except BaseException:
            sock.close()
            raise
        return Peer(self.address, sock)

    async def more(self, count: int) -> None:
        """Wait until so many more have had an answer."""
        wanted = self.answered + count
        async with asyncio.timeout(PATIENCE_S):
            while self.answered < wanted:
                self._raise_faults()
                await asyncio.sleep(0.01)

    def _raise_faults(self) -> None:
        for task in self._tasks:
            if task.done():
                task.result()

    async def finish(self) -> None:
        """Ask nothing more, and wait for what is owed."""
        self._asking = False
        await asyncio.wait(self._tasks, timeout=PATIENCE_S)
        await self.stop()

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)


def ran_twice(seen: list[bytes]) -> list[str]:
    """Names of requests that a server's book holds more than once and that no server may run twice."""
    counts: Counter[str] = Counter()
    for whole in seen:
        head = whole.lower()
        if head.startswith(b"post /pay"):
            counts[head.split(b"x-call-id: ")[1].split(b"\r\n")[0].decode()] += 1
    return [name for name, count in counts.items() if count > 1]
