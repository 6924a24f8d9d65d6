"""The operators' address: calls, callers that say nothing, and what they are told."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.fronts import http1 as front
from sorrelfront.lab.http1 import Client, Registry, connect, member
from sorrelfront.platform import control
from sorrelfront.platform.control import ControlPort, answer
from sorrelfront.platform.orders_file import Full
from sorrelfront.platform.service import Service
from tests.loopback import PATIENCE_S, Backend, World, request, until, world
from tests.loopback import answer as reply

OK = reply(b"served")


class Sheet:
    """What was ordered, with servers a and b."""

    def __init__(self) -> None:
        self.out: set[str] = set()
        self.drained = False
        self.fault: Exception | None = None

    def ready(self) -> bool:
        return not self.drained

    def figures(self) -> dict[str, float]:
        return {"success.look": 3, "concurrent": 0, "share": 0.25}

    def knows(self, server: str) -> bool:
        return server in ("a", "b c")

    def put_out(self, server: str, out: bool) -> None:
        if self.fault is not None:
            raise self.fault
        (self.out.add if out else self.out.discard)(server)

    def drain(self, on: bool) -> None:
        self.drained = on


def test_each_call_does_what_it_says() -> None:
    sheet = Sheet()
    for method, target, status in [
        ("GET", "/ready", 200),
        ("POST", "/ready", 405),
        ("GET", "/metrics", 200),
        ("POST", "/backends/disable?target=a", 200),
        ("POST", "/backends/disable?target=a", 200),  # may arrive twice
        ("POST", "/backends/disable?target=b%20c", 200),
        ("GET", "/backends/disable?target=a", 405),
        ("POST", "/backends/disable?target=x", 404),
        ("POST", "/backends/disable", 400),
        ("POST", "/backends/disable?target=a&target=b%20c", 400),
        ("POST", "/backends/disable?target=%ff", 400),
        ("POST", "/backends/enable?target=a", 200),  # and one call undoes both
        ("POST", "/drain", 200),
        ("GET", "/ready", 503),
        ("POST", "/undrain", 200),
        ("GET", "/ready", 200),
        ("GET", "/nothing", 404),
    ]:
        assert answer(sheet, method, target).status == status, (method, target)
    assert sheet.out == {"b c"} and not sheet.drained
    assert answer(sheet, "GET", "/metrics").text == "app.success.look=3\napp.concurrent=0\napp.share=0.25\n"
    for fault in (OSError("no room"), Full("too many")):
        sheet.fault = fault
        assert answer(sheet, "POST", "/backends/disable?target=a").status == 503


@given(st.text(max_size=8), st.text(max_size=40))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_no_call_is_too_odd_to_be_answered(method: str, target: str) -> None:
    assert 200 <= answer(Sheet(), method, target).status < 600


@contextlib.asynccontextmanager
async def port(sheet: Sheet) -> AsyncIterator[ControlPort]:
    made = ControlPort(("127.0.0.1", 0), sheet)
    try:
        yield made
    finally:
        made.close()


def call(target: str, method: str = "GET") -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


async def asked(address: tuple[str, int], target: str, method: str = "GET") -> tuple[int, bytes]:
    client = await connect(address)
    client.send(call(target, method))
    status, head, body = await client.answer()
    assert b"connection: close" in head.lower()
    assert await client.ended()
    client.close()
    return status, body


def test_callers_that_say_nothing_keep_nobody_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "SPEAK_S", 1_000.0)

    async def play() -> None:
        async with port(Sheet()) as made:
            silent = [await connect(made.address) for _ in range(3 * control.PEERS_MOST)]
            for number, client in enumerate(silent):
                if number % 2:
                    client.send(b"POST /drain HTT")
            for _ in range(5):
                assert (await asked(made.address, "/ready"))[0] == 200
            assert len(made._peers) <= control.PEERS_MOST
            for client in silent[: control.PEERS_MOST]:
                assert await client.ended()
            for client in silent:
                client.close()
            await until(lambda: not made._peers and not made._speaking)

    asyncio.run(play())


def test_half_a_call_ends_and_does_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "SPEAK_S", 0.2)

    async def play() -> None:
        sheet = Sheet()
        async with port(sheet) as made:
            client = await connect(made.address)
            client.send(call("/drain", "POST")[:-2])
            assert await client.ended()
            assert not sheet.drained and not made._peers

    asyncio.run(play())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x00\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\n\r\n", 400),  # no Host
        (b"GET /ready HTTP/1.1\r\nHost: a\r\n" + b"X-Filler: yes\r\n" * 2_000, 431),
        (b"POST /drain HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + bytes(9_000), 413),
        (b"POST /undrain HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", 200),
        (b"POST /undrain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200),
        (b"GET /ready HTTP/1.0\r\n\r\n", 200),
    ],
)
def test_what_callers_send_is_checked(data: bytes, status: int) -> None:
    async def play() -> None:
        async with port(Sheet()) as made:
            client = await connect(made.address)
            client.send(data)
            assert (await client.answer())[0] == status
            client.close()

    asyncio.run(play())


# With an agent behind it


@contextlib.asynccontextmanager
async def operated(*backends: Backend, registry: Registry) -> AsyncIterator[tuple[World, ControlPort]]:
    async with world(*backends, registry=registry) as made:
        service = Service(made.config, made.agent, made.upstream, None, None)
        service.listener = made.listener
        async with port(service) as calls:  # type: ignore[arg-type]
            yield made, calls


async def figures(calls: ControlPort) -> dict[str, float]:
    status, body = await asked(calls.address, "/metrics")
    assert status == 200
    pairs = (line.split("=") for line in body.decode().splitlines())
    return {name.removeprefix("app."): float(value) for name, value in pairs}


def test_figures_are_those_of_the_stand_ins_books() -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def script(whole: bytes, writer: asyncio.StreamWriter) -> None:
            if whole.startswith(b"POST /pay"):
                await go.wait()
                writer.write(reply(b"", "500 Bad"))
            else:
                writer.write(OK)

        backends = [await Backend(script).start() for _ in range(2)]
        registry = await Registry().start()
        async with operated(*backends, registry=registry) as (made, calls):
            told = await figures(calls)
            assert told["targets"] == 2 and told["targets_disabled"] == 0
            assert all(told[f"{word}.{cls}"] == 0
                       for word in ("success", "overload", "error") for cls in ("look", "book", "pay"))
            client, other = await made.client(), await made.client()
            for number in range(5):
                client.send(request(f"a{number}", "book" if number % 2 else "look"))
                assert (await client.answer())[0] == 200
            other.send(request("p", "pay", b"x"))
            await until(lambda: sum(len(backend.seen) for backend in backends) == 6)
            told = await figures(calls)
            assert told["concurrent"] == 1
            go.set()
            assert (await other.answer())[0] == 500
            told = await figures(calls)
            assert (told["success.look"], told["success.book"], told["error.pay"]) == (3, 2, 1)
            assert told["dispatches"] == sum(len(backend.seen) for backend in backends) == 6
            assert told["concurrent"] == 0
            made.agent.balancer.retries = 0.0
            # Refused: no server is known any more, and the class's aim passes.
            registry.tell(9, complete=True)
            await until(lambda: not made.agent.balancer.ready)
            client.send(request("late", budget="100m"))
            assert (await client.answer())[0] == 503
            told = await figures(calls)
            assert told["overload.look"] == 1 and told["targets"] == 0

    asyncio.run(play())


def test_a_server_out_by_hand_gets_nothing_whatever_the_list_says() -> None:
    async def play() -> None:
        backends = [await Backend(OK).start() for _ in range(2)]
        registry = await Registry().start()
        entries = [member(f"b{at}", backend.address) for at, backend in enumerate(backends)]
        async with operated(*backends, registry=registry) as (made, calls):
            await asyncio.wait_for(registry.asked.wait(), PATIENCE_S)
            client = await made.client()

            async def ask(name: str) -> None:
                for number in range(20):
                    client.send(request(f"{name}{number}", "pay"))
                    assert (await client.answer())[0] == 200

            await ask("before")
            assert all(backend.seen for backend in backends)
            for _ in range(2):
                assert (await asked(calls.address, "/backends/disable?target=b0", "POST"))[0] == 200
            assert (await figures(calls))["targets_disabled"] == 1
            before = len(backends[0].seen)
            await ask("out")
            registry.tell(5, *entries)
            registry.tell(6, *entries, complete=True)
            await until(lambda: made.agent.listed)
            await ask("told")
            assert len(backends[0].seen) == before
            # It leaves the list and comes back: the order is about its id.
            registry.tell(7, entries[1], complete=True)
            await until(lambda: made.agent.targets == 1)
            assert (await asked(calls.address, "/backends/disable?target=b0", "POST"))[0] == 200
            registry.tell(8, *entries, complete=True)
            await until(lambda: made.agent.targets == 2)
            await ask("again")
            assert len(backends[0].seen) == before
            assert (await asked(calls.address, "/backends/enable?target=b0", "POST"))[0] == 200
            await ask("back")
            assert len(backends[0].seen) > before
            assert (await asked(calls.address, "/backends/enable?target=b9", "POST"))[0] == 404

    asyncio.run(play())


def test_drained_it_says_no_and_its_connections_end_without_a_loss(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "GOING_AWAY_S", 0.1)
    monkeypatch.setattr(front, "IDLE_S", 1_000.0)  # none goes for having rested too long, or said nothing
    monkeypatch.setattr(front, "WHOLE_S", 1_000.0)

    async def play() -> None:
        go = asyncio.Event()

        async def later(whole: bytes, writer: asyncio.StreamWriter) -> None:
            if b"held" in whole:
                await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        registry = await Registry().start()
        async with operated(backend, registry=registry) as (made, calls):
            resting, held, silent = [await made.client() for _ in range(3)]
            resting.send(request("first"))
            assert (await resting.answer())[0] == 200
            held.send(request("held", "pay", b"x"))
            await until(lambda: made.agent.owed == 1)
            assert (await asked(calls.address, "/drain", "POST"))[0] == 200
            assert (await asked(calls.address, "/ready"))[0] == 503
            late = await made.client()  # one that has not heard of it yet is served, and told
            late.send(request("late"))
            status, head, _ = await late.answer()
            assert status == 200 and b"connection: close" in head.lower()
            assert await resting.ended() and await silent.ended()
            go.set()
            status, head, _ = await held.answer()
            assert status == 200 and b"connection: close" in head.lower()
            assert await held.ended()
            await until(lambda: made.listener.connections == 0)
            assert await health(made) == 503
            assert (await asked(calls.address, "/undrain", "POST"))[0] == 200
            assert await health(made) == 200
            client = await made.client()
            for number in range(3):  # kept again
                client.send(request(f"after{number}"))
                status, head, _ = await client.answer()
                assert status == 200 and b"connection: close" not in head.lower()
            made.listener._sweeping.cancel()

    asyncio.run(play())


def test_who_connects_to_a_drained_agent_has_time_to_ask(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "GOING_AWAY_S", 5.0)

    async def play() -> None:
        backend = await Backend(OK).start()
        registry = await Registry().start()
        async with operated(backend, registry=registry) as (made, _):
            made.listener.drain(True)
            assert made.listener._drained_at is not None
            made.listener._drained_at -= 10.0
            client = await made.client()
            await asyncio.sleep(3 * front.SWEEP_S)
            client.send(request("a"))
            assert (await client.answer())[0] == 200
            made.listener._sweeping.cancel()

    asyncio.run(play())


async def health(made: World) -> int:
    client: Client = await made.client()
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    status = (await client.answer())[0]
    client.close()
    return status


def test_an_order_given_to_another_version_holds_here(tmp_path: Path) -> None:
    async def play() -> None:
        backends = [await Backend(OK).start() for _ in range(2)]
        registry = await Registry().start()
        async with world(*backends, registry=registry) as made:
            one = Service(made.config, made.agent, made.upstream, tmp_path, None)
            other = World(made.config)
            two = Service(other.config, other.agent, other.upstream, tmp_path, None)
            one.put_out("b0", True)
            await until(lambda: [item.info.id for item in other.agent.balancer.ready] == ["b1"])
            two.put_out("b1", True)
            await until(lambda: not made.agent.balancer.ready)
            two.put_out("b0", False)
            await until(lambda: [item.info.id for item in made.agent.balancer.ready] == ["b0"])
            three = World(made.config)  # one that starts later
            Service(three.config, three.agent, three.upstream, tmp_path, None)
            assert [item.info.id for item in three.agent.balancer.ready] == ["b0"]
            other.agent.close()
            three.agent.close()

    asyncio.run(play())
