"""The books that prove the rules can tell when one is broken."""

from __future__ import annotations

import asyncio
import time

from sorrelfront.lab.crowd import LOST, Crowd, ran_twice
from sorrelfront.lab.demo import broken
from sorrelfront.lab.http1 import PATIENCE_S, connect, request
from sorrelfront.lab.shop import Book, Server


def test_a_request_that_runs_twice_is_in_the_book_and_one_whose_key_is_remembered_is_not() -> None:
    book = Book(window_s=60.0)
    for _ in range(2):
        book.run("stamp", "")
        book.run("booking", "key")
    assert book.doubled == ["stamp"]
    forgetful = Book(window_s=0.0)
    for _ in range(2):
        forgetful.run("booking", "key")
    assert forgetful.doubled == ["key"]
    assert ran_twice([request("a", "pay"), request("a", "pay"), request("b", "pay")]) == ["a"]


def test_what_comes_to_a_drained_server_too_late_is_counted() -> None:
    async def play() -> None:
        server = Server("a", Book(4.0), service_s=0.0)
        host, _, port = (await server.start()).address.rpartition(":")
        client = await connect((host, int(port)))
        server.drain()
        client.send(request("in time"))
        await client.answer()
        assert server.late_drains == 0
        server.drained_at = time.monotonic() - 0.6
        client.send(request("late"))
        await client.answer()
        assert server.late_drains == 1
        client.close()
        server.stop()

    asyncio.run(play())


def test_a_cold_server_that_is_pushed_over_is_counted() -> None:
    async def play() -> None:
        server = Server("a", Book(4.0), service_s=0.01, slots=1)  # 100 a second, 30 while cold
        server.begin()
        assert server.began_at is not None
        server.arrivals.extend(server.began_at + 0.001 * number for number in range(100))
        assert server.cold_overruns(9.0, 0.3, 3.0, 1.5) == 0  # 135 may come in 1.5 s
        server.arrivals.extend(server.began_at + 0.1 + 0.001 * number for number in range(100))
        assert server.cold_overruns(9.0, 0.3, 3.0, 1.5) > 0

    asyncio.run(play())


def test_a_connection_that_ends_on_a_request_it_has_read_is_lost_and_an_unread_one_is_reset() -> None:
    async def play() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        crowd = Crowd(server.sockets[0].getsockname()[:2], 1, classes=("look",))
        async with asyncio.timeout(PATIENCE_S):
            while not crowd.book[LOST]:
                await asyncio.sleep(0.01)
        await crowd.stop()
        assert crowd.lost
        server.close()

    asyncio.run(play())


def test_any_broken_rule_has_the_demo_say_so() -> None:
    kept = {"lost": 0, "doubled": 0, "late_drains": 0, "cold_overruns": 0}
    assert broken(kept) == []
    for name in kept:
        assert broken({**kept, name: 1}) == [name]
