"""The program stopped and started again under load: by outside books nothing that it read is lost."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from pathlib import Path

import pytest

from tests.loopback import PATIENCE_S, Backend, Registry, answer, request
from tests.net.test_closing import Peer
from tests.test_process import program

CLIENTS = 200
OK = answer(b"served")


class Crowd:
    """Clients that keep their connections and ask without pause, and the book of what became of it."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.book: Counter[bytes] = Counter()
        self.answered = 0
        self._tasks = [asyncio.create_task(self._ask(number)) for number in range(CLIENTS)]

    async def _ask(self, number: int) -> None:
        peer: Peer | None = None
        asked = 0
        while True:
            if peer is None:
                try:
                    peer = await self._connect()
                except ConnectionError:  # between two runs of the program
                    await asyncio.sleep(0.02)
                    continue
            asked += 1
            try:
                peer.send(request(f"c{number}-{asked}", "pay" if asked % 3 == 0 else "look"))
            except ConnectionError:
                self.book[b"unsent"] += 1
                peer.close()
                peer = None
                continue
            got = await peer.answer()
            self.book[got] += 1
            self.answered += got.startswith(b"HTTP/1.1 ")
            if got in (b"reset", b"lost") or peer.told_to_close:
                peer.close()
                peer = None

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
                self.fault()
                await asyncio.sleep(0.01)

    def fault(self) -> None:
        for task in self._tasks:
            if task.done():
                task.result()

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)


@pytest.mark.parametrize(
    ("sockets", "restarts"),
    [pytest.param(512, 20, id="room for all"), pytest.param(256, 5, id="room for 134 of 200")],
)
def test_restarts_under_load_lose_nothing_that_was_read(tmp_path: Path, sockets: int, restarts: int) -> None:
    async def play() -> None:
        backend, registry = await Backend(OK).start(), await Registry().start()
        async with program(tmp_path, backend, registry, sockets) as made:
            crowd = Crowd(made.address)
            try:
                for _ in range(restarts):
                    await crowd.more(CLIENTS)
                    assert await made.end() == 0
                    await made.start()
                await crowd.more(CLIENTS)
            finally:
                await crowd.stop()
        assert crowd.book[b"lost"] == 0, crowd.book
        assert crowd.book[b"HTTP/1.1 200 "] > restarts * CLIENTS // 2
        ran = Counter(
            seen.lower().split(b"x-call-id: ")[1].split(b"\r\n")[0]
            for seen in backend.seen
            if seen.startswith(b"POST")
        )
        assert ran and max(ran.values()) == 1

    asyncio.run(play())
