"""Edge cases of exchanges that run in callbacks on an idle connection."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from sorrelfront.decisions.interface import Outcome
from sorrelfront.messages import Address, AttemptResult, Call
from sorrelfront.net.budget import MemoryBudget
from sorrelfront.net.http import Payload, Wire
from sorrelfront.upstreams import http1
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import answer, until

OK = answer(b"served")


class IdleConnection:
    """An upstream with one idle connection, and the server's end of it."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.address = self.listening.getsockname()
        self.upstream = Upstream(8, 30_000_000, 1_000_000, MemoryBudget(1 << 26, 256))
        self.ended: list[AttemptResult] = []

    async def open(self) -> IdleConnection:
        wire = await self.upstream.connect(self.address)
        self.server, _ = self.listening.accept()
        self.upstream.release(self.address, wire)
        return self

    def begin(self, repeatable: bool, fit: Callable[[], bool] = lambda: True) -> Any:
        call = Call(b"r", "look", 1_000_000, Payload(b"GET", b"/look", [(b"host", b"a")]))
        call.repeatable = repeatable
        running = self.upstream.begin(call, self.address, 20_000_000, fit, self.ended.append)
        assert running is not None
        return running

    async def outcome(self) -> Outcome:
        await until(lambda: bool(self.ended))
        (result,) = self.ended
        self.upstream.close()
        self.server.close()
        self.listening.close()
        return result.outcome


@pytest.fixture(autouse=True)
def no_settle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http1, "SETTLED_S", 0.0)


def test_an_exchange_that_breaks_before_its_last_byte_moves_to_a_new_connection() -> None:
    async def scenario() -> None:
        made = await IdleConnection().open()
        made.begin(repeatable=False)
        made.server.close()
        made.listening.setblocking(False)
        second, _ = await asyncio.get_running_loop().sock_accept(made.listening)
        with second:
            data = b""
            while not data.endswith(b"\r\n\r\n"):
                data += await asyncio.get_running_loop().sock_recv(second, 65_536)
            second.send(OK)
            assert await made.outcome() is Outcome.OK

    asyncio.run(scenario())


def test_an_answer_that_is_unread_as_the_timeout_expires_counts() -> None:
    async def scenario() -> None:
        made = await IdleConnection().open()
        running = made.begin(repeatable=True)
        made.server.send(OK)
        time.sleep(0.05)  # the event loop is blocked, so nothing reads the answer
        running._on_timeout()
        assert await made.outcome() is Outcome.OK

    asyncio.run(scenario())


def test_a_partly_written_request_counts_as_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The server starts to drain before the rest is written: nothing has run, and the outcome says so."""
    monkeypatch.setattr(Wire, "send_now", lambda wire, data: wire.sock.send(data[:10]))

    async def scenario() -> None:
        made = await IdleConnection().open()
        fit = [True]
        made.begin(repeatable=True, fit=lambda: fit[0])
        fit[0] = False
        assert await made.outcome() is Outcome.UNREACHABLE

    asyncio.run(scenario())


def test_nothing_is_sent_to_a_server_that_drains() -> None:
    async def scenario() -> None:
        made = await IdleConnection().open()
        made.begin(repeatable=True, fit=lambda: False)
        assert made.server.recv(65_536) == b""
        assert await made.outcome() is Outcome.UNREACHABLE

    asyncio.run(scenario())


def test_a_cancelled_exchange_is_reported_once_and_later() -> None:
    async def scenario() -> None:
        made = await IdleConnection().open()
        running = made.begin(repeatable=True)
        running.cancel()
        running.cancel()
        assert made.ended == []
        assert await made.outcome() is Outcome.CANCELLED
        assert made.upstream.open_connections == 0

    asyncio.run(scenario())


def test_an_exchange_that_ends_in_a_task_leaves_the_next_one_on_its_connection_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against answers that are only read as the time is over.

    An answer in two parts is read in a task. Its connection is idle once the task has ended, and may be in
    use again before the end of the exchange is reported.
    """
    monkeypatch.setattr(http1._FastExchange, "_on_timeout", lambda exchange: None)

    async def scenario() -> None:
        made = await IdleConnection().open()
        release, second = made.upstream.release, asyncio.Event()

        def begin_next(address: Address, wire: Wire) -> None:
            release(address, wire)
            made.upstream.release = release  # type: ignore[method-assign]
            asyncio.get_running_loop().call_soon(made.begin, True)
            second.set()

        made.begin(repeatable=True)
        made.upstream.release = begin_next  # type: ignore[method-assign]
        made.server.setblocking(False)
        made.server.send(OK[:-1])
        await until(lambda: made.upstream.memory.answers_held == len(OK) - 1)
        made.server.send(OK[-1:])
        await second.wait()
        await until(lambda: made.upstream.requests_written == 2)
        made.server.send(OK)
        await until(lambda: len(made.ended) == 2)
        assert [result.outcome for result in made.ended] == [Outcome.OK, Outcome.OK]
        del made.ended[1]
        await made.outcome()

    asyncio.run(scenario())
