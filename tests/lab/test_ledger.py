"""Tests that the ledger and the counters that check the rules detect a broken rule."""

from __future__ import annotations

import asyncio
import time

from sorrelfront.lab.demo import broken_rules
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, connect, request
from sorrelfront.lab.load_generator import LOST, LoadGenerator, ran_twice
from sorrelfront.lab.scripted_servers import Ledger, Server


def test_ledger_counts_a_request_that_ran_twice_but_not_a_deduplicated_key() -> None:
    """A ledger that misses a second execution would hide unsafe retries in every test that uses it."""
    ledger = Ledger(window_s=60.0)
    for _ in range(2):
        ledger.run("stamp", "")
        ledger.run("booking", "key")
    assert ledger.duplicates == ["stamp"]
    without_window = Ledger(window_s=0.0)
    for _ in range(2):
        without_window.run("booking", "key")
    assert without_window.duplicates == ["key"]
    assert ran_twice([request("a", "pay"), request("a", "pay"), request("b", "pay")]) == ["a"]


def test_requests_to_a_drained_server_after_the_limit_are_counted() -> None:
    """Without the count, an agent that goes on sending to a draining server would pass unnoticed."""

    async def run() -> None:
        server = Server("a", Ledger(4.0), service_s=0.0)
        host, _, port = (await server.start()).address.rpartition(":")
        client = await connect((host, int(port)))
        server.mark_draining()
        client.send(request("in time"))
        await client.answer()
        assert server.late_drains == 0
        server.drained_at = time.monotonic() - 0.6
        client.send(request("late"))
        await client.answer()
        assert server.late_drains == 1
        client.close()
        server.stop()

    asyncio.run(run())


def test_overload_of_a_cold_server_is_counted() -> None:
    """Without the count, an agent that ignores the slow start of a new server would pass unnoticed."""

    async def run() -> None:
        server = Server("a", Ledger(4.0), service_s=0.01, slots=1)  # 100 requests a second, 30 at the start
        server.mark_started()
        assert server.started_at is not None
        server.arrivals.extend(server.started_at + 0.001 * number for number in range(100))
        assert server.cold_overruns(9.0, 0.3, 3.0, 1.5) == 0  # 135 are allowed in 1.5 s
        server.arrivals.extend(server.started_at + 0.1 + 0.001 * number for number in range(100))
        assert server.cold_overruns(9.0, 0.3, 3.0, 1.5) > 0

    asyncio.run(run())


def test_a_connection_closed_after_the_request_was_read_counts_as_lost() -> None:
    """The server reads the request and closes: counting that as a reset would hide lost requests."""

    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        load = LoadGenerator(server.sockets[0].getsockname()[:2], 1, classes=("look",))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not load.outcomes[LOST]:
                await asyncio.sleep(0.01)
        await load.stop()
        assert load.lost
        server.close()

    asyncio.run(run())


def test_the_demo_reports_each_broken_rule() -> None:
    """A figure left out of the check would let the demo succeed although the rule was broken."""
    kept = {"lost": 0, "doubled": 0, "late_drains": 0, "cold_overruns": 0}
    assert broken_rules(kept) == []
    for name in kept:
        assert broken_rules({**kept, name: 1}) == [name]
