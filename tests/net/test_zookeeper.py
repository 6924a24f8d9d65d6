"""The client session: any data from a server leads to a log line and a new connection at worst."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import struct
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sorrelfront.lab.http1 import WAIT_TIMEOUT_S
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lists import parse_address
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import MAX_FRAME_BYTES, OPEN_ACL_UNSAFE, Err, Event, Flag, Writer
from tests.loopback import async_test, until

CONNECT_RESPONSE = Writer().int32(0).int32(1_000).int64(7).buffer(bytes(16)).flag(False).frame()


class Server:
    """Accepts a session as a real server does, and then sends the given bytes."""

    def __init__(self, sends: bytes, connect_response: bytes = CONNECT_RESPONSE) -> None:
        self.sends, self.connect_response = sends, connect_response
        self.connections = 0

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await reader.read(100)
        writer.write(self.connect_response)
        await reader.read(100)  # the first request
        writer.write(self.sends)
        writer.close()  # otherwise the client would wait for the rest of an incomplete frame

    def session(self) -> net.Session:
        address = self.server.sockets[0].getsockname()[:2]
        return net.Session(net.SessionSettings((address,), 1.0), 1, lambda _: None, lambda *_: None)


async def request_result(server: Server) -> str:
    """Return the result of one request: the number of names, or the type of the exception."""
    session = server.session()
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            try:
                names, _ = await session.children("/a", watch=True)
                return f"{len(names)} names"
            except (net.ConnectionLost, net.ZooKeeperError) as fault:
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
    sends=st.one_of(
        st.binary(min_size=4, max_size=300),
        st.binary(max_size=200).map(lambda body: struct.pack(">i", len(body)) + body),
        # A valid response header, followed by arbitrary bytes.
        st.binary(max_size=200).map(lambda body: Writer().int32(1).int64(5).int32(0).raw(body).frame()),
        st.binary(max_size=60).map(lambda body: Writer().int32(-1).int64(-1).int32(0).raw(body).frame()),
        st.integers(MAX_FRAME_BYTES + 1, 2**31 - 1).map(lambda length: struct.pack(">i", length) + bytes(99)),
    )
)
def test_whatever_a_server_sends_a_request_fails_cleanly(
    caplog: pytest.LogCaptureFixture, sends: bytes
) -> None:
    caplog.clear()

    async def scenario() -> str:
        return await request_result(await Server(sends).start())

    assert asyncio.run(scenario()) in ("ConnectionLost", "ZooKeeperError")
    ours = [record for record in caplog.records if record.name.startswith("sorrelfront")]
    assert not [record for record in ours if record.exc_info or record.levelno >= logging.ERROR], caplog.text
    assert "never retrieved" not in caplog.text


@pytest.mark.parametrize(
    "connect_response",
    [
        b"\x7f\xff\xff\xff",
        Writer().int32(3).frame(),
        Writer().int32(0).int32(0).int64(0).buffer(bytes(16)).frame(),  # expired, for a new session
        Writer().int32(9).int32(1_000).int64(7).buffer(bytes(16)).frame(),
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
    ],
)
def test_an_invalid_connect_response_is_retried_with_a_pause(
    connect_response: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        server = await Server(b"", connect_response).start()
        session = server.session()
        await until(lambda: server.connections >= 3)
        assert session.state is None
        session.abandon()
        server.server.close()

    asyncio.run(scenario())
    assert "sent malformed data" in caplog.text
    ours = [record for record in caplog.records if record.name.startswith("sorrelfront")]
    assert not [record for record in ours if record.exc_info or record.levelno >= logging.ERROR], caplog.text


class Client:
    def __init__(self, ensemble: Ensemble, timeout_s: float = 1.0, **terms: str) -> None:
        self.states: list[net.SessionState] = []
        self.events: list[tuple[Event, str]] = []
        hosts = tuple(parse_address(host) for host in ensemble.hosts.split(","))
        self.session = net.Session(
            net.SessionSettings(hosts, timeout_s, **terms), 3, self.states.append,
            lambda event, path: self.events.append((event, path)),
        )  # fmt: skip

    async def get(self, path: str) -> bytes:
        """Read the data of a node, and retry until there is a connection."""
        while True:
            with contextlib.suppress(net.ConnectionLost):
                return (await self.session.get(path, watch=False))[0]


def run(scenario: Callable[[Ensemble], object], members: int = 1) -> None:
    async def with_ensemble() -> None:
        ensemble = await Ensemble(members).start()
        try:
            done = scenario(ensemble)
            assert asyncio.iscoroutine(done)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await done
        finally:
            await ensemble.stop()

    asyncio.run(with_ensemble())


def test_a_session_moves_to_another_member_with_its_watches() -> None:
    async def scenario(ensemble: Ensemble) -> None:
        client = Client(ensemble)
        await client.session.create("/a", b"1")
        await client.session.get("/a", watch=True)
        await client.session.children("/", watch=True)
        number = client.session.id
        busy = [member for member in ensemble.members if member.open]
        ensemble.tree.set("/a", b"2", -1, set(), 0)
        for member in busy:
            member.drop()
        ensemble.tree.create("/b", b"", OPEN_ACL_UNSAFE, 0, 0, set(), 0)  # while there is no connection
        await until(lambda: {(Event.CHANGED, "/a"), (Event.CHILD, "/")} <= set(client.events))
        assert client.session.id == number and net.SessionState.EXPIRED not in client.states
        assert await client.get("/a") == b"2"
        client.session.abandon()

    run(scenario, members=3)


def test_a_lagging_member_is_replaced_by_an_up_to_date_one() -> None:
    async def scenario(ensemble: Ensemble) -> None:
        lagging, good = ensemble.members
        lagging.freeze()
        client = Client(ensemble)
        good_before = good.connections
        await client.session.create("/a", b"1")  # written by some member: the session has seen a new zxid
        good.drop()
        lagging.drop()
        await until(
            lambda: good.connections > good_before and client.session.state is net.SessionState.CONNECTED
        )
        assert await client.get("/a") == b"1" and lagging.open == 0
        client.session.abandon()

    run(scenario, members=2)


def test_a_member_whose_zxid_goes_back_is_disconnected() -> None:
    """A response with an older zxid than before must end the connection, not be returned."""

    async def scenario(ensemble: Ensemble) -> None:
        client = Client(ensemble)
        await client.session.create("/a", b"1")
        first = client.session.connections
        ensemble.tree.zxid -= 1
        with pytest.raises(net.ConnectionLost):
            await client.session.get("/a", watch=False)
        ensemble.tree.zxid += 1
        await until(lambda: client.session.connections > first)
        assert await client.get("/a") == b"1"
        client.session.abandon()

    run(scenario)


def test_a_service_restored_from_nothing_gets_a_new_session() -> None:
    async def scenario(ensemble: Ensemble) -> None:
        client = Client(ensemble, timeout_s=0.3)
        await client.session.create("/a", b"1")
        number = client.session.id
        ensemble.restore_from_nothing()
        await until(lambda: net.SessionState.EXPIRED in client.states)
        await until(lambda: client.session.state is net.SessionState.CONNECTED)
        assert client.session.id != number
        with pytest.raises(net.ZooKeeperError) as refused:
            await client.session.get("/a", watch=False)
        assert refused.value.err == Err.NO_NODE
        client.session.abandon()

    run(scenario)


def test_a_stalled_service_is_slow_then_disconnected_and_the_session_survives() -> None:
    async def scenario(ensemble: Ensemble) -> None:
        client = Client(ensemble)
        await client.session.create("/mine", b"", Flag.EPHEMERAL)
        ensemble.stall()
        waiting = asyncio.create_task(client.session.get("/mine", watch=False))
        await until(lambda: net.SessionState.DISCONNECTED in client.states)
        with pytest.raises(net.ConnectionLost):
            await waiting
        assert client.states == [
            net.SessionState.CONNECTED,
            net.SessionState.SLOW,
            net.SessionState.DISCONNECTED,
        ]
        ensemble.resume()
        await until(lambda: client.session.state is net.SessionState.CONNECTED)
        assert (await client.session.get("/mine", watch=False))[1].ephemeral_owner == client.session.id
        await client.session.close()
        assert "/mine" not in ensemble.tree.nodes

    run(scenario)


def test_chroot_and_authentication() -> None:
    async def scenario(ensemble: Ensemble) -> None:
        plain = Client(ensemble)
        await plain.session.create("/root", b"")
        client = Client(ensemble, chroot="/root", auth="me:word")
        await client.session.create("/a", b"1")
        await client.session.get("/a", watch=True)
        assert "/root/a" in ensemble.tree.nodes
        await plain.session.put("/root/a", b"2")
        await until(lambda: (Event.CHANGED, "/a") in client.events)
        await client.session.sync("/a")
        client.session.abandon()
        plain.session.abandon()

    run(scenario)


def test_requests_without_a_response_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(net, "MAX_REQUESTS", 5)
    monkeypatch.setattr(net, "MAX_IN_FLIGHT", 2)

    async def scenario(ensemble: Ensemble) -> None:
        client = Client(ensemble)
        await until(lambda: client.session.state is net.SessionState.CONNECTED)
        ensemble.stall()
        waiting = [asyncio.create_task(client.session.get("/", watch=False)) for _ in range(5)]
        await asyncio.sleep(0)
        assert len(client.session._in_flight) == 2
        with pytest.raises(net.TooManyRequests):
            await client.session.get("/", watch=False)
        waiting.pop().cancel()
        ensemble.resume()
        done = await asyncio.gather(*waiting, return_exceptions=True)
        assert all(isinstance(item, (tuple, net.ConnectionLost)) for item in done)
        client.session.abandon()

    run(scenario)


def test_invalid_settings_are_refused() -> None:
    for hosts, timeout, chroot in (((), 1.0, ""), ((("127.0.0.1", 1),), 0.0, "")):
        with pytest.raises(ValueError):
            net.SessionSettings(hosts, timeout, chroot)


@async_test
async def test_an_abandoned_session_leaves_no_request_waiting() -> None:
    ensemble = await Ensemble().start()
    client = Client(ensemble)
    await until(lambda: client.session.state is net.SessionState.CONNECTED)
    ensemble.stall()
    waiting = asyncio.create_task(client.session.get("/", watch=False))
    await asyncio.sleep(0)
    client.session.abandon()
    with pytest.raises(net.ConnectionLost):
        await waiting
    await ensemble.stop()
