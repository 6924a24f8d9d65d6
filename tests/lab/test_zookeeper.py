"""The test ensemble speaks the real protocol: third-party clients can use it, and its faults take effect."""

from __future__ import annotations

import asyncio
import json
import struct
import sys
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiozk
import pytest
from kazoo.client import KazooClient, KazooState
from kazoo.exceptions import (
    AuthFailedError,
    BadVersionError,
    NoAuthError,
    NodeExistsError,
    NoNodeError,
    NotEmptyError,
    RolledBackError,
)
from kazoo.handlers.threading import KazooTimeoutError
from kazoo.security import make_digest_acl

from sorrelfront.lab.http1 import WAIT_TIMEOUT_S
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.tree import Refused, Tree
from sorrelfront.net.jute import OPEN_ACL_UNSAFE, Err, Event
from tests.loopback import async_test
from tests.test_process import ROOT


@asynccontextmanager
async def ensemble(members: int = 1) -> AsyncIterator[Ensemble]:
    env = await Ensemble(members).start()
    try:
        yield env
    finally:
        await env.stop()


async def with_kazoo(env: Ensemble, use: Callable[[Any], None], **terms: Any) -> None:
    """Run `use` with a kazoo client in a thread, because kazoo is synchronous and has its own threads."""

    def run() -> None:
        client = KazooClient(hosts=env.hosts, timeout=5.0, **terms)
        client.start(WAIT_TIMEOUT_S)
        try:
            use(client)
        finally:
            client.stop()
            client.close()

    await asyncio.to_thread(run)


@async_test
async def test_kazoo_creates_reads_changes_and_deletes() -> None:
    def use(client: Any) -> None:
        assert client.create("/a", b"1") == "/a"
        data, stat = client.get("/a")
        assert data == b"1" and stat.version == 0 and stat.dataLength == 1
        with pytest.raises(NodeExistsError):
            client.create("/a", b"")
        assert client.set("/a", b"22", version=0).version == 1
        with pytest.raises(BadVersionError):
            client.set("/a", b"", version=0)
        client.create("/a/b", b"")
        assert client.get_children("/a") == ["b"]
        names, stat = client.get_children("/a", include_data=True)
        assert names == ["b"] and stat.numChildren == 1 and stat.cversion == 1
        with pytest.raises(NotEmptyError):
            client.delete("/a")
        assert client.create("/a/s-", b"", sequence=True) == "/a/s-0000000001"
        client.delete("/a/b")
        assert client.exists("/a/b") is None and client.exists("/a").version == 1
        with pytest.raises(NoNodeError):
            client.get("/nothing")
        assert client.sync("/a") == "/a"
        assert client.create("/x/y/z", b"", makepath=True) == "/x/y/z"

    async with ensemble() as env:
        await with_kazoo(env, use)
        assert env.open == 0 and env.request_counts["CREATE"] >= 5


@async_test
async def test_kazoo_transactions_are_all_or_nothing() -> None:
    def use(client: Any) -> None:
        client.create("/t", b"0")
        fired: list[Any] = []
        watch_fired = threading.Event()

        def watch(event: Any) -> None:  # called in a thread of the client
            fired.append(event)
            watch_fired.set()

        client.get_children("/t", watch=watch)
        bad = client.transaction()
        bad.create("/t/a", b"")
        bad.set_data("/t", b"1")
        bad.check("/t", 9)
        bad.delete("/t")
        answers = bad.commit()
        kinds = [type(item) for item in answers]
        assert kinds[2] is BadVersionError and kinds[0] is RolledBackError
        assert client.get("/t")[0] == b"0" and not client.get_children("/t") and not fired
        good = client.transaction()
        good.create("/t/a", b"")
        good.set_data("/t", b"1")
        assert good.commit()[0] == "/t/a"
        assert client.get("/t")[0] == b"1" and watch_fired.wait(WAIT_TIMEOUT_S) and len(fired) == 1

    async with ensemble() as env:
        await with_kazoo(env, use)


@async_test
async def test_kazoo_watches_fire_once_and_ephemeral_nodes_go_with_their_session() -> None:
    async with ensemble() as env:

        def use(client: Any) -> None:
            client.create("/e")
            seen: list[tuple[str, str]] = []
            last = threading.Event()

            def note(event: Any) -> None:
                seen.append((event.type, event.path))

            other = KazooClient(hosts=env.hosts, timeout=5.0)
            other.start(WAIT_TIMEOUT_S)
            other.create("/e/n", b"", ephemeral=True)
            assert client.exists("/e/n", watch=note).owner_session_id == other.client_id[0]
            client.get_children("/e", watch=note)
            other.stop()
            other.close()
            # The client delivers events in order in its own thread: after this one, all have been delivered.
            client.create("/e/m")
            client.exists("/e/z", watch=lambda _: last.set())
            client.create("/e/z")
            assert last.wait(WAIT_TIMEOUT_S)
            assert sorted(seen) == [("CHILD", "/e"), ("DELETED", "/e/n")]

        await with_kazoo(env, use)


@async_test
async def test_kazoo_is_refused_without_permission_and_served_with_it() -> None:
    def use(client: Any) -> None:
        client.create("/p", b"s", acl=[make_digest_acl("me", "word", all=True)])
        with pytest.raises(NoAuthError):
            client.get("/p")
        client.add_auth("digest", "me:word")
        assert client.get("/p")[0] == b"s" and client.get_acls("/p")[0][0].id.scheme == "digest"

    def bad(client: Any) -> None:
        with pytest.raises(AuthFailedError):
            client.add_auth("nothing", "x")

    async with ensemble() as env:
        await with_kazoo(env, use)
        await with_kazoo(env, bad)


@async_test
async def test_kazoo_survives_a_lost_member_and_learns_of_its_expiry() -> None:
    async with ensemble(3) as env:
        loop = asyncio.get_running_loop()

        def run_in_loop(callback: Callable[[], object]) -> None:
            done = threading.Event()

            def run() -> None:
                callback()
                done.set()

            loop.call_soon_threadsafe(run)
            assert done.wait(WAIT_TIMEOUT_S)

        def use(client: Any) -> None:
            states: list[str] = []
            lost, back = threading.Event(), threading.Event()

            def listen(state: str) -> None:
                states.append(state)
                if state == KazooState.LOST:
                    lost.set()
                if state == KazooState.CONNECTED:
                    back.set()

            client.add_listener(listen)
            client.create("/mine", b"", ephemeral=True)
            session = client.client_id[0]
            busy = next(member for member in env.members if member.open)
            run_in_loop(busy.vanish)
            assert back.wait(WAIT_TIMEOUT_S) and client.client_id[0] == session
            assert client.exists("/mine") is not None
            run_in_loop(lambda: env.expire(session))
            assert lost.wait(WAIT_TIMEOUT_S)
            assert client.retry(client.exists, "/mine") is None and client.client_id[0] != session

        await with_kazoo(env, use)


@async_test
async def test_a_service_without_quorum_accepts_no_client() -> None:
    async with ensemble() as env:
        env.members[0].lose_quorum()

        def run() -> None:
            client = KazooClient(hosts=env.hosts, timeout=1.0)
            with pytest.raises(KazooTimeoutError):
                client.start(0.5)
            client.stop()
            client.close()

        await asyncio.to_thread(run)
        env.members[0].lose_quorum(read_only=True)

        def use(client: Any) -> None:
            assert client.get_children("/") == []

        await with_kazoo(env, use, read_only=True)


@async_test
async def test_aiozk_works_with_the_ensemble() -> None:
    async with ensemble(2) as env:
        client = aiozk.ZKClient(env.hosts, session_timeout=5)
        await client.start()
        try:
            assert await client.create("/z", b"d") == "/z"
            assert await client.get_data("/z") == b"d"
            await client.set_data("/z", b"e")
            await client.create("/z/e", ephemeral=True)
            assert await client.get_children("/z") == ["e"]
            changed = asyncio.get_running_loop().create_future()

            async def note(data: Any) -> None:
                if data == b"f" and not changed.done():
                    changed.set_result(data)

            watcher = client.recipes.DataWatcher()
            watcher.add_callback("/z", note)
            await client.set_data("/z", b"f")
            assert await asyncio.wait_for(changed, WAIT_TIMEOUT_S) == b"f"
            watcher.remove_callback("/z", note)
        finally:
            await client.close()


@async_test
async def test_malformed_input_ends_only_its_own_connection() -> None:
    async with ensemble() as env:
        host, port = env.members[0].address.split(":")
        for junk in (
            b"\xff\xff\xff\xff", struct.pack(">i", 1 << 30), struct.pack(">i", 3) + b"abc",
            struct.pack(">i", 12) + bytes(8) + b"\x7f\xff\xff\xff",
        ):  # fmt: skip
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(junk)
            assert await asyncio.wait_for(reader.read(100), WAIT_TIMEOUT_S) == b""
            writer.close()
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"ruok")
        assert await asyncio.wait_for(reader.read(100), WAIT_TIMEOUT_S) == b"imok"
        writer.close()
        await with_kazoo(env, lambda client: client.get_children("/"))


@async_test
async def test_the_ensemble_runs_as_a_process_and_executes_commands() -> None:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "sorrelfront.lab.zookeeper", *("--listen", "127.0.0.1:0") * 2,
        cwd=ROOT, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stdin is not None and process.stdout is not None
    hosts = json.loads(await asyncio.wait_for(process.stdout.readline(), WAIT_TIMEOUT_S))["hosts"]
    assert len(hosts.split(",")) == 2

    async def send_command(**order: Any) -> dict[str, Any]:
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(json.dumps(order).encode() + b"\n")
        reply = json.loads(await asyncio.wait_for(process.stdout.readline(), WAIT_TIMEOUT_S))
        assert isinstance(reply, dict)
        return reply

    for do in ("stall", "go_on", "freeze", "thaw", "drop", "vanish", "come_back", "restore_from_nothing"):
        assert await send_command(do=do) == {"ok": True}
    assert (await send_command(do="quorum", how="lost", member=1))["ok"]
    assert (await send_command(do="asked"))["open"] == 0
    for bad in ({"do": "nothing"}, {"do": "quorum", "how": "maybe"}, {"do": "drop", "member": 9}, {}):
        assert not (await send_command(**bad))["ok"]
    process.stdin.close()
    assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0


def test_the_tree_refuses_what_zookeeper_refuses() -> None:
    tree = Tree()
    session = tree.open(5_000, 0)
    tree.create("/e", b"", OPEN_ACL_UNSAFE, 1, session.id, set(), 0)
    for err, path, acls, flags in (
        (Err.NO_CHILDREN_FOR_EPHEMERALS, "/e/x", OPEN_ACL_UNSAFE, 0), (Err.INVALID_ACL, "/y", (), 0),
        (Err.NO_NODE, "/q/x", OPEN_ACL_UNSAFE, 0), (Err.BAD_ARGUMENTS, "/z", OPEN_ACL_UNSAFE, 7),
    ):  # fmt: skip
        with pytest.raises(Refused) as refused:
            tree.create(path, b"", acls, flags, session.id, set(), 0)
        assert refused.value.err is err
    events: list[tuple[Event, str]] = []
    tree.listeners.append(lambda event, path, _: events.append((event, path)))
    assert tree.expired_sessions(5_000) == [] and tree.expired_sessions(5_001) == [session.id]
    tree.close(session.id)
    assert events == [(Event.DELETED, "/e"), (Event.CHILD, "/")] and "/e" not in tree.nodes
    assert tree.resume(session.id, session.password, 0) is None
