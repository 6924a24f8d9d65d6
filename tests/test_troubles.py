"""Faulty backends over loopback sockets: a fault of one must not affect requests that others can serve."""

from __future__ import annotations

import asyncio

from sorrelfront.platform.config import parse
from tests.loopback import (
    WAIT_TIMEOUT_S,
    AgentHarness,
    Backend,
    Client,
    answer,
    make_config,
    member,
    request,
    running_agent,
    until,
)

OK = answer(b"served")
ERROR = answer(b"", "500 Internal Server Error")


def test_a_failed_request_is_tried_again_at_another_backend() -> None:
    """A backend that fails at once is idle, and would attract each further attempt too."""

    async def scenario() -> None:
        good, bad = await Backend(OK).start(), await Backend(ERROR).start()
        async with running_agent(good, bad) as env:
            # b0 is the good one: with the higher load, it is picked only because the other was tried.
            env.agent.balancer.servers["b0"].observe(1_000.0, env.agent.now())
            client = await env.client()
            for number in range(10):
                client.send(request(f"r{number}"))
                assert (await client.answer())[0] == 200
            assert len(bad.received) == 10 and len(good.received) == 10

    asyncio.run(scenario())


def test_a_backend_at_its_limit_of_connections_is_not_taken_for_dead() -> None:
    """It refuses further connections but still answers on the open ones."""

    async def scenario() -> None:
        go = asyncio.Event()
        go.set()

        async def held(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(held).start()
        # A good answer counts for the connect time-out, so that is longer than the test may take.
        async with running_agent(backend, connectTimeoutUs=int(WAIT_TIMEOUT_S * 1e6)) as env:
            holders: list[Client] = [await env.client(), await env.client()]
            holders[0].send(request("first", "pay", b"x"))
            assert (await holders[0].answer())[0] == 200
            go.clear()
            for number, holder in enumerate(holders):
                holder.send(request(f"held{number}", "pay", b"x"))
            await until(lambda: len(backend.received) == 3)
            backend.server.close()  # open connections stay; new ones are refused
            further = await env.client()
            further.send(request("further", "pay", b"x"))
            assert (await further.answer())[0] == 503
            go.set()
            for holder in holders:
                assert (await holder.answer())[0] == 200
            further.send(request("again", "pay", b"x"))
            assert (await further.answer())[0] == 200

    asyncio.run(scenario())


def test_an_overload_that_is_over_does_not_have_the_next_request_refused() -> None:
    """Its late answers describe the queue they waited in, but the backend is idle since."""
    aim_us = 1_000_000

    async def scenario() -> None:
        go = asyncio.Event()
        go.set()

        async def held(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(held).start()
        config = make_config("127.0.0.1:9", [member("b0", backend.address)])
        grades = config["settings"]["grades"]
        config["settings"]["grades"] = [{**grade, "aimUs": aim_us} for grade in grades]
        env = AgentHarness(parse(config))
        crowd = [await env.client() for _ in range(24)]
        for number in range(20):  # to learn the usual latency without overload
            crowd[0].send(request(f"usual{number}"))
            assert (await crowd[0].answer())[0] == 200
        go.clear()
        for number, client in enumerate(crowd):
            client.send(request(f"crowd{number}"))
        await until(lambda: len(backend.received) == 20 + len(crowd))
        since = env.agent.now()
        await until(lambda: env.agent.now() - since > 1.5 * aim_us)
        go.set()
        for client in crowd:
            assert (await client.answer())[0] == 200
        assert env.agent.attempts == 0
        crowd[0].send(request("next"))
        assert (await crowd[0].answer())[0] == 200
        env.agent.close()
        backend.stop()

    asyncio.run(scenario())


def test_a_busy_backend_that_stops_answering_is_detected_by_overdue_answers() -> None:
    """With twelve pending, a silence is significant before the oldest is overdue; a good answer ends it."""

    async def scenario() -> None:
        go = asyncio.Event()
        held: list[asyncio.StreamWriter] = []

        async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
            if go.is_set():
                held.append(writer)
            else:
                writer.write(OK)

        backend = await Backend(script).start()
        async with running_agent(backend) as env:
            crowd = [await env.client() for _ in range(12)]
            for number in range(20):  # to learn the usual latency
                crowd[0].send(request(f"usual{number}"))
                assert (await crowd[0].answer())[0] == 200
            go.set()
            for number, client in enumerate(crowd):
                client.send(request(f"crowd{number}"))
            await until(lambda: len(held) == len(crowd))
            (server,) = env.agent.balancer.servers.values()
            sent_at, expected_us = next(iter(server.pending.values()))
            await until(lambda: env.agent.now() - sent_at > max(500_000, 10 * expected_us))
            now = env.agent.now()
            assert server.forecast(now) > 2 * (now - sent_at) / expected_us
            assert server.load(now) > 2 * 13 * (now - sent_at) / expected_us
            held[-1].write(OK)
            await until(lambda: len(server.pending) == len(crowd) - 1)
            assert server.lower_bound(0.0, server.last_answer_at) == 0.0
            for writer in held[:-1]:
                writer.write(OK)
            for client in crowd:
                assert (await client.answer())[0] == 200

    asyncio.run(scenario())


def test_a_backend_that_fails_at_once_is_not_preferred_to_busy_ones() -> None:
    """It has no queue, so unless its penalty includes that of the others, it wins every draw."""

    async def scenario() -> None:
        go = asyncio.Event()

        async def held(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        good, bad = await Backend(held).start(), await Backend(ERROR).start()
        async with running_agent(good, bad) as env:
            env.agent.balancer.kinds["m"].ahead = 8.0  # as under load: so many attempts were ahead of each
            clients = [await env.client() for _ in range(12)]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}"))
                await until(lambda number=number: len(good.received) == number + 1)  # type: ignore[misc]
            assert len(bad.received) == 1
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200

    asyncio.run(scenario())


def test_backends_that_answer_nothing_are_not_drawn_while_another_answers() -> None:
    """Two of three hang: one draw in three has both, and its request would wait until the deadline."""

    async def scenario() -> None:
        hung = asyncio.Event()
        go = asyncio.Event()

        async def hanging(_: bytes, writer: asyncio.StreamWriter) -> None:
            if hung.is_set():
                await go.wait()
            writer.write(OK)

        backends = [await Backend(hanging).start(), await Backend(hanging).start(), await Backend(OK).start()]
        async with running_agent(*backends) as env:
            clients = [await env.client() for _ in range(24)]
            for number in range(20):  # to learn the usual latency
                clients[0].send(request(f"usual{number}"))
                assert (await clients[0].answer())[0] == 200
            hung.set()
            for number, client in enumerate(clients):
                client.send(request(f"crowd{number}"))
            servers = env.agent.balancer.servers
            await until(
                lambda: sum(len(one.received) for one in backends) == 44 and not servers["b2"].pending
            )
            assert servers["b0"].pending and servers["b1"].pending
            for one in (servers["b0"], servers["b1"]):
                await until(lambda one=one: one.lower_bound(0.0, env.agent.now()) > 100)  # type: ignore[misc]
            before = len(backends[2].received)
            usual = await env.client()
            for number in range(40):
                usual.send(request(f"next{number}"))
                assert (await usual.answer())[0] == 200
            assert len(backends[2].received) == before + 40
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200

    asyncio.run(scenario())
