"""Backends in trouble, over loopback sockets: what one of them does must not cost the others' service."""

from __future__ import annotations

import asyncio

from sorrelfront.platform.config import parse
from tests.loopback import PATIENCE_S, Backend, Client, World, answer, member, request, table, until, world

OK = answer(b"served")
ERROR = answer(b"", "500 Internal Server Error")


def test_a_failed_request_is_tried_again_at_another_backend() -> None:
    """One that fails at once is idle for it, and would draw the next attempt too, and the one after that."""

    async def play() -> None:
        good, bad = await Backend(OK).start(), await Backend(ERROR).start()
        async with world(good, bad) as made:
            # Without it each further attempt goes to the lower load, which this holds down at the bad one.
            made.agent.balancer.servers["b0"].observe(1_000.0, made.agent.now())
            client = await made.client()
            for number in range(10):
                client.send(request(f"r{number}"))
                assert (await client.answer())[0] == 200
            assert len(bad.seen) == 10 and len(good.seen) == 10

    asyncio.run(play())


def test_a_backend_at_its_limit_of_connections_is_not_taken_for_dead() -> None:
    """It refuses further connections and goes on answering on those it has."""

    async def play() -> None:
        go = asyncio.Event()
        go.set()

        async def held(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(held).start()
        # The window in which a good answer counts is longer than the test may take.
        async with world(backend, connectTimeoutUs=int(PATIENCE_S * 1e6)) as made:
            holders: list[Client] = [await made.client(), await made.client()]
            holders[0].send(request("first", "pay", b"x"))
            assert (await holders[0].answer())[0] == 200
            go.clear()
            for number, holder in enumerate(holders):
                holder.send(request(f"held{number}", "pay", b"x"))
            await until(lambda: len(backend.seen) == 3)
            backend.server.close()  # those that are open stay; new ones are refused
            further = await made.client()
            further.send(request("further", "pay", b"x"))
            assert (await further.answer())[0] == 503
            go.set()
            for holder in holders:
                assert (await holder.answer())[0] == 200
            further.send(request("again", "pay", b"x"))
            assert (await further.answer())[0] == 200

    asyncio.run(play())


def test_a_crowd_that_is_over_does_not_have_the_next_request_refused() -> None:
    """Its answers came late and tell of the queue they stood in, and the backend has run empty since."""
    aim_us = 1_000_000

    async def play() -> None:
        go = asyncio.Event()
        go.set()

        async def held(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(held).start()
        config = table("127.0.0.1:9", [member("b0", backend.address)])
        grades = config["settings"]["grades"]
        config["settings"]["grades"] = [{**grade, "aimUs": aim_us} for grade in grades]
        made = World(parse(config))
        crowd = [await made.client() for _ in range(24)]
        for number in range(20):  # what is usual without a crowd
            crowd[0].send(request(f"usual{number}"))
            assert (await crowd[0].answer())[0] == 200
        go.clear()
        for number, client in enumerate(crowd):
            client.send(request(f"crowd{number}"))
        await until(lambda: len(backend.seen) == 20 + len(crowd))
        since = made.agent.now()
        await until(lambda: made.agent.now() - since > 1.5 * aim_us)
        go.set()
        for client in crowd:
            assert (await client.answer())[0] == 200
        assert made.agent.attempts == 0
        crowd[0].send(request("next"))
        assert (await crowd[0].answer())[0] == 200
        made.agent.close()
        backend.stop()

    asyncio.run(play())


def test_a_busy_backend_that_falls_silent_is_seen_by_the_answers_that_were_due() -> None:
    """Twelve wait for it: its silence tells long before the oldest is old. One good answer ends that."""

    async def play() -> None:
        go = asyncio.Event()
        held: list[asyncio.StreamWriter] = []

        async def script(_: bytes, writer: asyncio.StreamWriter) -> None:
            if go.is_set():
                held.append(writer)
            else:
                writer.write(OK)

        backend = await Backend(script).start()
        async with world(backend) as made:
            crowd = [await made.client() for _ in range(12)]
            for number in range(20):  # what is usual
                crowd[0].send(request(f"usual{number}"))
                assert (await crowd[0].answer())[0] == 200
            go.set()
            for number, client in enumerate(crowd):
                client.send(request(f"crowd{number}"))
            await until(lambda: len(held) == len(crowd))
            (server,) = made.agent.balancer.servers.values()
            sent_at, expected_us = next(iter(server.pending.values()))
            await until(lambda: made.agent.now() - sent_at > max(500_000, 10 * expected_us))
            now = made.agent.now()
            assert server.forecast(now) > 2 * (now - sent_at) / expected_us
            assert server.load(now) > 2 * 13 * (now - sent_at) / expected_us
            held[-1].write(OK)
            await until(lambda: len(server.pending) == len(crowd) - 1)
            assert server.at_least(0.0, server.heard_at) == 0.0
            for writer in held[:-1]:
                writer.write(OK)
            for client in crowd:
                assert (await client.answer())[0] == 200

    asyncio.run(play())


def test_a_backend_that_fails_at_once_does_not_beat_all_that_are_busy() -> None:
    """It has no queue, so without the others' counted in, it wins each draw against a backend that works."""

    async def play() -> None:
        go = asyncio.Event()

        async def held(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        good, bad = await Backend(held).start(), await Backend(ERROR).start()
        async with world(good, bad) as made:
            made.agent.balancer.kinds["m"].ahead = 8.0  # as in a crowd: so many were ahead of each
            clients = [await made.client() for _ in range(12)]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}"))
                await until(lambda number=number: len(good.seen) == number + 1)  # type: ignore[misc]
            assert len(bad.seen) == 1
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200

    asyncio.run(play())


def test_backends_that_answer_nothing_are_not_drawn_while_another_answers() -> None:
    """Of three two hang: one pair in three is both of them, and would hold its request to the deadline."""

    async def play() -> None:
        hung = asyncio.Event()
        go = asyncio.Event()

        async def hanging(_: bytes, writer: asyncio.StreamWriter) -> None:
            if hung.is_set():
                await go.wait()
            writer.write(OK)

        backends = [await Backend(hanging).start(), await Backend(hanging).start(), await Backend(OK).start()]
        async with world(*backends) as made:
            clients = [await made.client() for _ in range(24)]
            for number in range(20):  # what is usual
                clients[0].send(request(f"usual{number}"))
                assert (await clients[0].answer())[0] == 200
            hung.set()
            for number, client in enumerate(clients):
                client.send(request(f"crowd{number}"))
            servers = made.agent.balancer.servers
            await until(lambda: sum(len(one.seen) for one in backends) == 44 and not servers["b2"].pending)
            assert servers["b0"].pending and servers["b1"].pending
            for one in (servers["b0"], servers["b1"]):
                await until(lambda one=one: one.at_least(0.0, made.agent.now()) > 100)  # type: ignore[misc]
            before = len(backends[2].seen)
            usual = await made.client()
            for number in range(40):
                usual.send(request(f"next{number}"))
                assert (await usual.answer())[0] == 200
            assert len(backends[2].seen) == before + 40
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200

    asyncio.run(play())
