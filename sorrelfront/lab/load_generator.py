"""A load generator: clients on persistent connections, and counts of the outcome of each request."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter

from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, request

RESET = b"reset"
LOST = b"lost"
LEFT = b"left"  # the client closed its connection before the answer
CLASSES = ("look", "pay", "book")


class SocketClient:
    """A client on a plain socket: the data is in the kernel of the agent's host when `send` returns."""

    def __init__(self, address: tuple[str, int], sock: socket.socket | None = None) -> None:
        self.sock = sock or socket.create_connection(address)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # sends a second segment at once
        self._read = bytearray()
        self.head = b""  # of the latest answer
        self.close_requested = False
        self.abandoned = False
        self.port = int(self.sock.getsockname()[1])

    def send(self, data: bytes) -> None:
        """Send all of `data` in one call; raises AssertionError on a partial write."""
        assert self.sock.send(data) == len(data)

    async def answer(self) -> bytes:
        """Return the next answer's status line, RESET if the agent never read some sent bytes, or LOST."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while b"\r\n\r\n" not in self._read:
                if not await self._receive(loop):
                    return b"reset" if await self.was_reset() else b"lost"
            head, _, rest = bytes(self._read).partition(b"\r\n\r\n")
            (length,) = (int(x[15:]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length"))
            while len(rest) < length:
                if not await self._receive(loop):
                    return b"lost"
                rest = bytes(self._read).partition(b"\r\n\r\n")[2]
            del self._read[: len(head) + 4 + length]
            self.head = head
            self.close_requested = b"connection: close" in head.lower()
            return head.split(b"\r\n")[0]

    async def _receive(self, loop: asyncio.AbstractEventLoop) -> bool:
        try:
            data = await loop.sock_recv(self.sock, 65_536)
        except ConnectionError:
            return False
        self._read += data
        return bool(data)

    async def was_reset(self) -> bool:
        """Return whether the agent reset the connection after it had closed it.

        The kernel's state is CLOSE (7) after a reset, and stays CLOSE_WAIT (8) if all sent bytes were read.
        Data that was in flight during the close is reset a moment later, hence the polling (up to 0.5 s).
        """
        for _ in range(100):
            if self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == 7:
                return True
            await asyncio.sleep(0.005)
        return False

    def abandon(self) -> None:
        """Close the connection without waiting for outstanding answers."""
        self.abandoned = True
        self.close()

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


class LoadGenerator:
    """Generates load from a number of clients, each on its own connection; they never retry."""

    def __init__(
        self,
        address: tuple[str, int],
        clients: int,
        pause_s: float = 0.0,
        classes: tuple[str, ...] = CLASSES,
        name: str = "c",
    ) -> None:
        self.address = address
        self.outcomes: Counter[bytes] = Counter()  # by status line, RESET, LOST, LEFT or "unsent"
        self.by_class: Counter[tuple[str, bytes]] = Counter()
        self.lost: list[str] = []  # names of requests
        self.served: set[str] = set()
        self.answered = 0
        self.latencies: list[float] = []  # seconds, of served requests
        self.longest_gap_s = 0.0  # the longest time without an answer to any client
        self.longest_wait_s = 0.0  # of one client for an answer, including its connects
        self.refused_connects = 0
        self.aborted_ports: list[int] = []  # local ports of connections that ended without an answer
        self.recovery_s: list[float] = []  # from such an end to that client's next answer
        self._last_answer_at = time.monotonic()
        self._pause_s = pause_s
        self._classes = classes
        self._running = True
        self._name = name
        self.head = b""  # of the answer that `on_outcome` is called with
        self._tasks = [asyncio.create_task(self._run_client(number)) for number in range(clients)]

    def on_request_sent(self, name: str, cls: str) -> None:
        """Handle a sent request; a hook for subclasses that keep their own records."""

    def on_outcome(self, name: str, cls: str, outcome: bytes, seconds: float) -> None:
        """Handle the outcome of a request, as of `await_answer`, and its duration; a hook for subclasses."""

    async def await_answer(self, peer: SocketClient, name: str) -> bytes:
        """Return the status line, RESET or LOST, or LEFT if the client has closed its connection itself."""
        return await peer.answer()

    async def _run_client(self, number: int) -> None:
        peer: SocketClient | None = None
        asked = 0
        cut_at: float | None = None
        waiting_since: float | None = None
        try:
            while self._running:
                waiting_since = waiting_since or time.monotonic()
                if peer is None:
                    try:
                        peer = await self._connect()
                    except ConnectionError:
                        self.refused_connects += 1
                        await asyncio.sleep(0.02)
                        continue
                asked += 1
                answered_before = self.answered
                reusable = await self._send_request(peer, f"{self._name}{number}-{asked}", asked)
                if self.answered > answered_before:
                    self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - waiting_since)
                    waiting_since = None
                if not reusable:
                    if not peer.close_requested and not peer.abandoned and cut_at is None:
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

    async def _send_request(self, peer: SocketClient, name: str, asked: int) -> bool:
        """Send one request and return whether the connection can be reused."""
        cls = self._classes[asked % len(self._classes)]
        began = time.monotonic()
        try:
            peer.send(request(name, cls))
        except ConnectionError:
            self.outcomes[b"unsent"] += 1
            return False
        self.on_request_sent(name, cls)
        got = await self.await_answer(peer, name)
        self.head = peer.head
        self.on_outcome(name, cls, got, time.monotonic() - began)
        self.outcomes[got] += 1
        self.by_class[cls, got[:12]] += 1
        if got == LOST:
            self.lost.append(name)
        if got in (LOST, RESET):
            self.aborted_ports.append(peer.port)
        if not got.startswith(b"HTTP/1.1 "):
            return False
        now = time.monotonic()
        self.longest_gap_s = max(self.longest_gap_s, now - self._last_answer_at)
        self._last_answer_at = now
        self.answered += 1
        if got.startswith(b"HTTP/1.1 200"):
            self.served.add(name)
            self.latencies.append(now - began)
        return not peer.close_requested

    async def _connect(self) -> SocketClient:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except BaseException:
            sock.close()
            raise
        return SocketClient(self.address, sock)

    async def wait_for_answers(self, count: int) -> None:
        """Wait until `count` more requests have been answered; raises TimeoutError after WAIT_TIMEOUT_S."""
        wanted = self.answered + count
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.answered < wanted:
                self._raise_client_errors()
                await asyncio.sleep(0.01)

    def _raise_client_errors(self) -> None:
        for task in self._tasks:
            if task.done():
                task.result()

    async def finish(self) -> None:
        """Send no new requests, wait for outstanding answers, and stop."""
        self._running = False
        await asyncio.wait(self._tasks, timeout=WAIT_TIMEOUT_S)
        await self.stop()

    async def stop(self) -> None:
        """Cancel all clients at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)


def ran_twice(seen: list[bytes]) -> list[str]:
    """Return the names of side-effecting requests (POST /pay) that the servers received more than once."""
    counts: Counter[str] = Counter()
    for whole in seen:
        head = whole.lower()
        if head.startswith(b"post /pay"):
            counts[head.split(b"x-call-id: ")[1].split(b"\r\n")[0].decode()] += 1
    return [name for name, count in counts.items() if count > 1]
