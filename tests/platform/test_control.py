"""The operators' HTTP port: requests, idle and malformed callers, metrics and administrative overrides."""

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
from sorrelfront.platform.control import ControlPort, handle_request
from sorrelfront.platform.overrides_file import TooManyDisabled
from sorrelfront.platform.service import Service
from tests.loopback import WAIT_TIMEOUT_S, AgentHarness, Backend, request, running_agent, until
from tests.loopback import answer as reply

OK = reply(b"served")


class FakeAgent:
    """Records the operations that were requested; it knows the servers `a` and `b c`."""

    def __init__(self) -> None:
        self.disabled: set[str] = set()
        self.drained = False
        self.fault: Exception | None = None

    def ready(self) -> bool:
        return not self.drained

    def metrics(self) -> dict[str, float]:
        return {"success.look": 3, "concurrent": 0, "share": 0.25}

    def knows(self, server: str) -> bool:
        return server in ("a", "b c")

    def set_disabled(self, server: str, disabled: bool) -> None:
        if self.fault is not None:
            raise self.fault
        (self.disabled.add if disabled else self.disabled.discard)(server)

    def drain(self, on: bool) -> None:
        self.drained = on


def test_each_request_is_carried_out_once_and_answered_with_its_status() -> None:
    agent = FakeAgent()
    for method, target, status in [
        ("GET", "/ready", 200),
        ("POST", "/ready", 405),
        ("GET", "/metrics", 200),
        ("POST", "/backends/disable?target=a", 200),
        ("POST", "/backends/disable?target=a", 200),  # a repeated request changes nothing
        ("POST", "/backends/disable?target=b%20c", 200),
        ("GET", "/backends/disable?target=a", 405),
        ("POST", "/backends/disable?target=x", 404),
        ("POST", "/backends/disable", 400),
        ("POST", "/backends/disable?target=a&target=b%20c", 400),
        ("POST", "/backends/disable?target=%ff", 400),
        ("POST", "/backends/enable?target=a", 200),  # one request undoes both
        ("POST", "/drain", 200),
        ("GET", "/ready", 503),
        ("POST", "/undrain", 200),
        ("GET", "/ready", 200),
        ("GET", "/nothing", 404),
    ]:
        assert handle_request(agent, method, target).status == status, (method, target)
    assert agent.disabled == {"b c"} and not agent.drained
    assert (
        handle_request(agent, "GET", "/metrics").text
        == "app.success.look=3\napp.concurrent=0\napp.share=0.25\n"
    )
    for fault in (OSError("no room"), TooManyDisabled("too many")):
        agent.fault = fault
        assert handle_request(agent, "POST", "/backends/disable?target=a").status == 503


@given(st.text(max_size=8), st.text(max_size=40))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_arbitrary_methods_and_targets_get_an_answer(method: str, target: str) -> None:
    assert 200 <= handle_request(FakeAgent(), method, target).status < 600


@contextlib.asynccontextmanager
async def port(agent: FakeAgent) -> AsyncIterator[ControlPort]:
    made = ControlPort(("127.0.0.1", 0), agent)
    try:
        yield made
    finally:
        made.close()


def call(target: str, method: str = "GET") -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


async def send_request(address: tuple[str, int], target: str, method: str = "GET") -> tuple[int, bytes]:
    client = await connect(address)
    client.send(call(target, method))
    status, head, body = await client.answer()
    assert b"connection: close" in head.lower()
    assert await client.wait_closed()
    client.close()
    return status, body


def test_idle_callers_do_not_lock_out_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "REQUEST_TIMEOUT_S", 1_000.0)

    async def play() -> None:
        async with port(FakeAgent()) as made:
            idle = [await connect(made.address) for _ in range(3 * control.MAX_CONNECTIONS)]
            for number, client in enumerate(idle):
                if number % 2:
                    client.send(b"POST /drain HTT")
            for _ in range(5):
                assert (await send_request(made.address, "/ready"))[0] == 200
            assert len(made._tasks) <= control.MAX_CONNECTIONS
            for client in idle[: control.MAX_CONNECTIONS]:
                assert await client.wait_closed()
            for client in idle:
                client.close()
            await until(lambda: not made._tasks and not made._reading)

    asyncio.run(play())


def test_an_incomplete_request_times_out_and_has_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "REQUEST_TIMEOUT_S", 0.2)

    async def play() -> None:
        agent = FakeAgent()
        async with port(agent) as made:
            client = await connect(made.address)
            client.send(call("/drain", "POST")[:-2])
            assert await client.wait_closed()
            assert not agent.drained and not made._tasks

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
def test_malformed_and_oversized_requests_are_rejected(data: bytes, status: int) -> None:
    async def play() -> None:
        async with port(FakeAgent()) as made:
            client = await connect(made.address)
            client.send(data)
            assert (await client.answer())[0] == status
            client.close()

    asyncio.run(play())


# With an agent


@contextlib.asynccontextmanager
async def agent_with_port(
    *backends: Backend, registry: Registry
) -> AsyncIterator[tuple[AgentHarness, ControlPort]]:
    async with running_agent(*backends, registry=registry) as made:
        service = Service(made.config, made.agent, made.upstream, None, None)
        service.listener = made.listener
        async with port(service) as calls:  # type: ignore[arg-type]
            yield made, calls


async def metrics(calls: ControlPort) -> dict[str, float]:
    status, body = await send_request(calls.address, "/metrics")
    assert status == 200
    pairs = (line.split("=") for line in body.decode().splitlines())
    return {name.removeprefix("app."): float(value) for name, value in pairs}


def test_metrics_agree_with_what_the_servers_received() -> None:
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
        async with agent_with_port(*backends, registry=registry) as (made, calls):
            values = await metrics(calls)
            assert values["targets"] == 2 and values["targets_disabled"] == 0
            assert all(
                values[f"{word}.{cls}"] == 0
                for word in ("success", "overload", "error")
                for cls in ("look", "book", "pay")
            )
            client, other = await made.client(), await made.client()
            for number in range(5):
                client.send(request(f"a{number}", "book" if number % 2 else "look"))
                assert (await client.answer())[0] == 200
            other.send(request("p", "pay", b"x"))
            await until(lambda: sum(len(backend.received) for backend in backends) == 6)
            values = await metrics(calls)
            assert values["concurrent"] == 1
            assert 1 <= values["memory_held"] < values["memory_budget"] < values["memory_anonymous"]
            go.set()
            assert (await other.answer())[0] == 500
            values = await metrics(calls)
            assert (values["success.look"], values["success.book"], values["error.pay"]) == (3, 2, 1)
            assert values["dispatches"] == sum(len(backend.received) for backend in backends) == 6
            assert values["concurrent"] == 0
            made.agent.balancer.retries = 0.0
            # Refused: the list is empty, and the time that the class aims at passes.
            registry.send_update(9, complete=True)
            await until(lambda: not made.agent.balancer.ready)
            client.send(request("late", budget="100m"))
            assert (await client.answer())[0] == 503
            values = await metrics(calls)
            assert values["overload.look"] == 1 and values["targets"] == 0

    asyncio.run(play())


def test_a_disabled_server_gets_no_requests_whatever_the_list_says() -> None:
    async def play() -> None:
        backends = [await Backend(OK).start() for _ in range(2)]
        registry = await Registry().start()
        entries = [member(f"b{at}", backend.address) for at, backend in enumerate(backends)]
        async with agent_with_port(*backends, registry=registry) as (made, calls):
            await asyncio.wait_for(registry.watch_opened.wait(), WAIT_TIMEOUT_S)
            client = await made.client()

            async def send_requests(name: str) -> None:
                for number in range(20):
                    client.send(request(f"{name}{number}", "pay"))
                    assert (await client.answer())[0] == 200

            await send_requests("before")
            assert all(backend.received for backend in backends)
            for _ in range(2):
                assert (await send_request(calls.address, "/backends/disable?target=b0", "POST"))[0] == 200
            assert (await metrics(calls))["targets_disabled"] == 1
            before = len(backends[0].received)
            await send_requests("out")
            registry.send_update(5, *entries)
            registry.send_update(6, *entries, complete=True)
            await until(lambda: made.agent.list_received)
            await send_requests("told")
            assert len(backends[0].received) == before
            # It leaves the list and comes back: the override applies to its id.
            registry.send_update(7, entries[1], complete=True)
            await until(lambda: made.agent.targets == 1)
            assert (await send_request(calls.address, "/backends/disable?target=b0", "POST"))[0] == 200
            registry.send_update(8, *entries, complete=True)
            await until(lambda: made.agent.targets == 2)
            await send_requests("again")
            assert len(backends[0].received) == before
            assert (await send_request(calls.address, "/backends/enable?target=b0", "POST"))[0] == 200
            await send_requests("back")
            assert len(backends[0].received) > before
            assert (await send_request(calls.address, "/backends/enable?target=b9", "POST"))[0] == 404

    asyncio.run(play())


def test_a_drained_agent_closes_its_connections_and_loses_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "SHUTDOWN_GRACE_S", 0.1)
    monkeypatch.setattr(front, "IDLE_S", 1_000.0)  # no connection is closed as idle
    monkeypatch.setattr(front, "REQUEST_TIMEOUT_S", 1_000.0)

    async def play() -> None:
        go = asyncio.Event()

        async def later(whole: bytes, writer: asyncio.StreamWriter) -> None:
            if b"held" in whole:
                await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        registry = await Registry().start()
        async with agent_with_port(backend, registry=registry) as (made, calls):
            idle, held, silent = [await made.client() for _ in range(3)]
            idle.send(request("first"))
            assert (await idle.answer())[0] == 200
            held.send(request("held", "pay", b"x"))
            await until(lambda: made.agent.pending_requests == 1)
            assert (await send_request(calls.address, "/drain", "POST"))[0] == 200
            assert (await send_request(calls.address, "/ready"))[0] == 503
            late = await made.client()  # a new connection is served, and closed with its answer
            late.send(request("late"))
            status, head, _ = await late.answer()
            assert status == 200 and b"connection: close" in head.lower()
            assert await idle.wait_closed() and await silent.wait_closed()
            go.set()
            status, head, _ = await held.answer()
            assert status == 200 and b"connection: close" in head.lower()
            assert await held.wait_closed()
            await until(lambda: made.listener.connections == 0)
            assert await health(made) == 503
            assert (await send_request(calls.address, "/undrain", "POST"))[0] == 200
            assert await health(made) == 200
            client = await made.client()
            for number in range(3):  # connections are kept open again
                client.send(request(f"after{number}"))
                status, head, _ = await client.answer()
                assert status == 200 and b"connection: close" not in head.lower()
            made.listener._sweeping.cancel()

    asyncio.run(play())


def test_a_new_connection_to_a_drained_agent_has_time_for_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "SHUTDOWN_GRACE_S", 5.0)

    async def play() -> None:
        backend = await Backend(OK).start()
        registry = await Registry().start()
        async with agent_with_port(backend, registry=registry) as (made, _):
            made.listener.drain(True)
            assert made.listener._drained_at is not None
            made.listener._drained_at -= 10.0
            client = await made.client()
            await asyncio.sleep(3 * front.SWEEP_S)
            client.send(request("a"))
            assert (await client.answer())[0] == 200
            made.listener._sweeping.cancel()

    asyncio.run(play())


async def health(made: AgentHarness) -> int:
    client: Client = await made.client()
    client.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
    status = (await client.answer())[0]
    client.close()
    return status


def test_an_override_given_to_another_version_applies_here(tmp_path: Path) -> None:
    async def play() -> None:
        backends = [await Backend(OK).start() for _ in range(2)]
        registry = await Registry().start()
        async with running_agent(*backends, registry=registry) as made:
            first = Service(made.config, made.agent, made.upstream, tmp_path, None)
            other = AgentHarness(made.config)
            second = Service(other.config, other.agent, other.upstream, tmp_path, None)
            first.set_disabled("b0", True)
            await until(lambda: [item.info.id for item in other.agent.balancer.ready] == ["b1"])
            second.set_disabled("b1", True)
            await until(lambda: not made.agent.balancer.ready)
            second.set_disabled("b0", False)
            await until(lambda: [item.info.id for item in made.agent.balancer.ready] == ["b0"])
            third = AgentHarness(made.config)  # a version that starts later
            Service(third.config, third.agent, third.upstream, tmp_path, None)
            assert [item.info.id for item in third.agent.balancer.ready] == ["b0"]
            other.agent.close()
            third.agent.close()

    asyncio.run(play())
