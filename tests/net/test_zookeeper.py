"""The session: whatever a server sends, it ends in a log line and another connection."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import struct
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sorrelfront.lab.http1 import PATIENCE_S
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lists import parse_address
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import FRAME_MOST, OPEN_TO_ALL, Err, Event, Flag, Writer
from tests.loopback import looped, until

GREETING = Writer().int32(0).int32(1_000).int64(7).buffer(bytes(16)).flag(False).frame()


class Server:
    """Greets as a good server does, and then says what it was told to."""

    def __init__(self, says: bytes, greeting: bytes = GREETING) -> None:
        self.says, self.greeting = says, greeting
        self.connections = 0

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await reader.read(100)
        writer.write(self.greeting)
        await reader.read(100)  # the first request
        writer.write(self.says)
        writer.close()  # a frame that is not whole would wait for its rest

    def session(self) -> net.Session:
        place = self.server.sockets[0].getsockname()[:2]
        return net.Session(net.Terms((place,), 1.0), 1, lambda _: None, lambda *_: None)


async def answered(server: Server) -> str:
    """What a request comes to."""
    session = server.session()
    try:
        async with asyncio.timeout(PATIENCE_S):
            try:
                names, _ = await session.children("/a", watch=True)
                return f"{len(names)} names"
            except (net.Lost, net.NotDone) as fault:
                return type(fault).__name__
    finally:
        session.abandon()
        server.server.close()
        await asyncio.sleep(0)


@settings(
    derandomize=True, deadline=None, max_examples=80,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)  # fmt: skip
@given(
    says=st.one_of(
        st.binary(min_size=4, max_size=300),
        st.binary(max_size=200).map(lambda body: struct.pack(">i", len(body)) + body),
        # The right answer's head, and then anything.
        st.binary(max_size=200).map(lambda body: Writer().int32(1).int64(5).int32(0).raw(body).frame()),
        st.binary(max_size=60).map(lambda body: Writer().int32(-1).int64(-1).int32(0).raw(body).frame()),
        st.integers(FRAME_MOST + 1, 2**31 - 1).map(lambda length: struct.pack(">i", length) + bytes(99)),
    )
)
def test_whatever_a_server_says_ends_in_an_answer_or_a_loss(
    caplog: pytest.LogCaptureFixture, says: bytes
) -> None:
    caplog.clear()

    async def play() -> str:
        return await answered(await Server(says).start())

    assert asyncio.run(play()) in ("Lost", "NotDone")
    ours = [record for record in caplog.records if record.name.startswith("sorrelfront")]
    assert not [record for record in ours if record.exc_info or record.levelno >= logging.ERROR], caplog.text
    assert "never retrieved" not in caplog.text


@pytest.mark.parametrize(
    "greeting",
    [
        b"\x7f\xff\xff\xff",
        Writer().int32(3).frame(),
        Writer().int32(0).int32(0).int64(0).buffer(bytes(16)).frame(),  # expired, though it is new
        Writer().int32(9).int32(1_000).int64(7).buffer(bytes(16)).frame(),
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
    ],
)
def test_a_greeting_that_is_none_is_tried_again_with_a_pause(
    greeting: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def play() -> None:
        server = await Server(b"", greeting).start()
        session = server.session()
        await until(lambda: server.connections >= 3)
        assert session.life is None
        session.abandon()
        server.server.close()

    asyncio.run(play())
    assert "sent what cannot be read" in caplog.text
    ours = [record for record in caplog.records if record.name.startswith("sorrelfront")]
    assert not [record for record in ours if record.exc_info or record.levelno >= logging.ERROR], caplog.text


class Lives:
    def __init__(self, ensemble: Ensemble, timeout_s: float = 1.0, **terms: str) -> None:
        self.lives: list[net.Life] = []
        self.events: list[tuple[Event, str]] = []
        hosts = tuple(parse_address(host) for host in ensemble.hosts.split(","))
        self.session = net.Session(
            net.Terms(hosts, timeout_s, **terms), 3, self.lives.append,
            lambda event, path: self.events.append((event, path)),
        )  # fmt: skip

    async def get(self, path: str) -> bytes:
        """Asked again until the connection stands."""
        while True:
            with contextlib.suppress(net.Lost):
                return (await self.session.get(path, watch=False))[0]


def run(play: Callable[[Ensemble], object], members: int = 1) -> None:
    async def around() -> None:
        ensemble = await Ensemble(members).start()
        try:
            done = play(ensemble)
            assert asyncio.iscoroutine(done)
            async with asyncio.timeout(PATIENCE_S):
                await done
        finally:
            await ensemble.stop()

    asyncio.run(around())


def test_a_session_moves_to_another_member_with_its_watches() -> None:
    async def play(ensemble: Ensemble) -> None:
        one = Lives(ensemble)
        await one.session.create("/a", b"1")
        await one.session.get("/a", watch=True)
        await one.session.children("/", watch=True)
        number = one.session.id
        busy = [member for member in ensemble.members if member.open]
        ensemble.tree.set("/a", b"2", -1, set(), 0)
        for member in busy:
            member.drop()
        ensemble.tree.create("/b", b"", OPEN_TO_ALL, 0, 0, set(), 0)  # while nobody is connected
        await until(lambda: {(Event.CHANGED, "/a"), (Event.CHILD, "/")} <= set(one.events))
        assert one.session.id == number and net.Life.EXPIRED not in one.lives
        assert await one.get("/a") == b"2"
        one.session.abandon()

    run(play, members=3)


def test_a_member_that_lags_is_left_for_one_that_does_not() -> None:
    async def play(ensemble: Ensemble) -> None:
        behind, good = ensemble.members
        behind.freeze()
        one = Lives(ensemble)
        good_before = good.connections
        await one.session.create("/a", b"1")  # some member made it: what this session has seen is new
        good.drop()
        behind.drop()
        await until(lambda: good.connections > good_before and one.session.life is net.Life.CONNECTED)
        assert await one.get("/a") == b"1" and behind.open == 0
        one.session.abandon()

    run(play, members=2)


def test_a_member_that_falls_behind_is_left() -> None:
    """It answers with an older zxid than it has shown before."""

    async def play(ensemble: Ensemble) -> None:
        one = Lives(ensemble)
        await one.session.create("/a", b"1")
        first = one.session.connections
        ensemble.tree.zxid -= 1
        with pytest.raises(net.Lost):
            await one.session.get("/a", watch=False)
        ensemble.tree.zxid += 1
        await until(lambda: one.session.connections > first)
        assert await one.get("/a") == b"1"
        one.session.abandon()

    run(play)


def test_a_service_restored_from_nothing_gets_a_new_session() -> None:
    async def play(ensemble: Ensemble) -> None:
        one = Lives(ensemble, timeout_s=0.3)
        await one.session.create("/a", b"1")
        number = one.session.id
        ensemble.restore_from_nothing()
        await until(lambda: net.Life.EXPIRED in one.lives)
        await until(lambda: one.session.life is net.Life.CONNECTED)
        assert one.session.id != number
        with pytest.raises(net.NotDone) as refused:
            await one.session.get("/a", watch=False)
        assert refused.value.err == Err.NO_NODE
        one.session.abandon()

    run(play)


def test_a_stalled_service_is_slow_then_silent_and_the_session_lives_on() -> None:
    async def play(ensemble: Ensemble) -> None:
        one = Lives(ensemble)
        await one.session.create("/mine", b"", Flag.EPHEMERAL)
        ensemble.stall()
        waiting = asyncio.create_task(one.session.get("/mine", watch=False))
        await until(lambda: net.Life.SILENT in one.lives)
        with pytest.raises(net.Lost):
            await waiting
        assert one.lives == [net.Life.CONNECTED, net.Life.SLOW, net.Life.SILENT]
        ensemble.go_on()
        await until(lambda: one.session.life is net.Life.CONNECTED)
        assert (await one.session.get("/mine", watch=False))[1].owner == one.session.id
        await one.session.close()
        assert "/mine" not in ensemble.tree.nodes

    run(play)


def test_chroot_and_secret() -> None:
    async def play(ensemble: Ensemble) -> None:
        plain = Lives(ensemble)
        await plain.session.create("/root", b"")
        one = Lives(ensemble, chroot="/root", auth="me:word")
        await one.session.create("/a", b"1")
        await one.session.get("/a", watch=True)
        assert "/root/a" in ensemble.tree.nodes
        await plain.session.put("/root/a", b"2")
        await until(lambda: (Event.CHANGED, "/a") in one.events)
        await one.session.sync("/a")
        one.session.abandon()
        plain.session.abandon()

    run(play)


def test_requests_without_an_answer_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net, "WAITING_MOST", 5)
    monkeypatch.setattr(net, "PENDING_MOST", 2)

    async def play(ensemble: Ensemble) -> None:
        one = Lives(ensemble)
        await until(lambda: one.session.life is net.Life.CONNECTED)
        ensemble.stall()
        waiting = [asyncio.create_task(one.session.get("/", watch=False)) for _ in range(5)]
        await asyncio.sleep(0)
        assert len(one.session._pending) == 2
        with pytest.raises(net.Full):
            await one.session.get("/", watch=False)
        waiting.pop().cancel()
        ensemble.go_on()
        done = await asyncio.gather(*waiting, return_exceptions=True)
        assert all(isinstance(item, (tuple, net.Lost)) for item in done)
        one.session.abandon()

    run(play)


def test_terms_that_make_no_sense_are_refused() -> None:
    for hosts, timeout, chroot in (((), 1.0, ""), ((("127.0.0.1", 1),), 0.0, "")):
        with pytest.raises(ValueError):
            net.Terms(hosts, timeout, chroot)


@looped
async def test_a_session_that_is_let_go_leaves_nothing_waiting() -> None:
    ensemble = await Ensemble().start()
    one = Lives(ensemble)
    await until(lambda: one.session.life is net.Life.CONNECTED)
    ensemble.stall()
    waiting = asyncio.create_task(one.session.get("/", watch=False))
    await asyncio.sleep(0)
    one.session.abandon()
    with pytest.raises(net.Lost):
        await waiting
    await ensemble.stop()
