"""Hot upgrades of real processes under load, judged by what clients and servers have recorded."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from sorrelfront.decisions.request_ids import RequestIds
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, Registry, answer, make_config, member, request
from sorrelfront.lab.load_generator import LOST, RESET, LoadGenerator, SocketClient, ran_twice
from sorrelfront.platform import upgrade
from sorrelfront.platform.upgrade import Successor, find_predecessor
from tests.loopback import until
from tests.platform.test_control import send_request
from tests.test_process import ROOT, free_address

OK = answer(b"served")
SERVERS = 3


class Version:
    """One process of the agent."""

    def __init__(self, deployment: Deployment) -> None:
        self.control = free_address()
        environ = {
            **os.environ, "BALANCER_CONFIG": str(deployment.path), "TMPDIR": str(deployment.shared),
            "BALANCER_LISTEN": "{}:{}".format(*deployment.address),
            "BALANCER_CONTROL": "{}:{}".format(*self.control),
        }  # fmt: skip
        if deployment.shared is None:
            environ.pop("TMPDIR")
        self.environ = environ
        self.log = deployment.folder / f"log-{self.control[1]}"

    async def start(self) -> Version:
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "sorrelfront.platform", cwd=ROOT, env=self.environ, stderr=log
            )
        return self

    async def ready(self) -> Version:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await send_request(self.control, "/ready"))[0] == 200:
                        return self
                await asyncio.sleep(0.02)

    async def metrics(self) -> dict[str, float]:
        _, body = await send_request(self.control, "/metrics")
        pairs = (line.split("=") for line in body.decode().splitlines())
        return {name.removeprefix("app."): float(value) for name, value in pairs}

    async def ended(self) -> int:
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)

    async def stop(self) -> int:
        os.kill(self.process.pid, signal.SIGTERM)
        return await self.ended()

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """Servers, a registry, one address for clients, and the versions of the agent started so far."""

    def __init__(self, folder: Path, shared: bool = True) -> None:
        self.folder = folder
        # Longer than a Unix socket's address may be.
        self.shared = folder / "/".join(["a-folder-of-some-length"] * 6) if shared else None
        self.address = free_address()
        self.path = folder / "config.json"
        self.versions: list[Version] = []

    async def begin(self, **limits: Any) -> None:
        self.servers = [await Backend(OK).start() for _ in range(SERVERS)]
        self.registry = await Registry().start()
        entries = [member(f"b{at}", server.address) for at, server in enumerate(self.servers)]
        for entry in entries:
            self.registry.update(entry)
        config = make_config(self.registry.address, entries)
        config["settings"]["rules"]["askWithinUs"] = limits.pop("ask_within_us", 200_000)
        config["limits"].update(limits)
        self.path.write_text(json.dumps(config))
        if self.shared is not None:
            self.shared.mkdir(parents=True)

    async def version(self) -> Version:
        made = Version(self)
        self.versions.append(made)
        return await made.start()

    async def end(self) -> None:
        for version in self.versions:
            await version.kill()
        for server in self.servers:
            server.stop()
        self.registry.stop()

    @property
    def seen(self) -> list[bytes]:
        return [whole for server in self.servers for whole in server.received]


@contextlib.asynccontextmanager
async def deployment(folder: Path, shared: bool = True, **limits: Any) -> AsyncIterator[Deployment]:
    made = Deployment(folder, shared)
    await made.begin(**limits)
    try:
        yield made
    finally:
        await made.end()


def check_nothing_lost(crowd: LoadGenerator, made: Deployment) -> None:
    """Check that no request was lost or ran twice, and that no connection was refused."""
    assert crowd.lost == [] and not crowd.outcomes[LOST]
    assert crowd.refused_connects == 0
    assert set(crowd.outcomes) <= {b"HTTP/1.1 200 ", RESET}, crowd.outcomes
    # A connection that closes while a request is on its way is reset unread, and its client sends it again.
    assert crowd.outcomes[RESET] <= 2
    assert ran_twice(made.seen) == []


def test_three_upgrades_under_load_lose_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with deployment(tmp_path) as made:
            old = await (await made.version()).ready()
            crowd = LoadGenerator(made.address, 12, pause_s=0.002)
            await crowd.wait_for_answers(100)
            for _ in range(3):
                new = await (await made.version()).ready()
                await crowd.wait_for_answers(100)
                assert await old.stop() == 0
                await crowd.wait_for_answers(100)
                assert (await new.metrics())["success.look"] > 0
                old = new
            await crowd.finish()
            check_nothing_lost(crowd, made)
            assert len(crowd.served) > 600

    asyncio.run(play())


def test_once_the_next_version_serves_the_old_one_accepts_no_connections(tmp_path: Path) -> None:
    """The old version also closes each connection that it has with the next answer."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            old = await (await made.version()).ready()
            peer = SocketClient(made.address)
            peer.send(request("first"))
            assert await peer.answer() == b"HTTP/1.1 200 " and not peer.close_requested
            new = await (await made.version()).ready()
            await until(lambda: "the next version serves" in old.log.read_text())
            for number in range(40):
                other = SocketClient(made.address)
                other.send(request(f"new{number}"))
                assert await other.answer() == b"HTTP/1.1 200 "
                other.close()
            assert (await new.metrics())["success.look"] == 40
            peer.send(request("last"))
            assert await peer.answer() == b"HTTP/1.1 200 " and peer.close_requested
            assert (await old.metrics())["success.look"] == 2

    asyncio.run(play())


def test_the_next_version_requests_the_list_at_once(tmp_path: Path) -> None:
    """It calls discovery once, although its start has several reasons to, and then it is ready."""

    async def play() -> None:
        async with deployment(tmp_path, ask_within_us=600_000_000) as made:
            await (await made.version()).ready()
            await until(lambda: made.registry.watches == 1)
            made.registry.update(member("b9", made.servers[0].address))
            new = await (await made.version()).ready()
            assert made.registry.watches == 2
            assert (await new.metrics())["targets"] == SERVERS + 1

    asyncio.run(play())


def test_the_old_version_does_not_shorten_the_accept_queue(tmp_path: Path) -> None:
    """The socket is shared: with a shorter backlog, clients would wait for a SYN retransmission."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            old = await (await made.version()).ready()
            new = await (await made.version()).ready()
            assert await old.stop() == 0
            os.kill(new.process.pid, signal.SIGSTOP)
            try:
                waiting = []
                for number in range(60):
                    sock = socket.create_connection(made.address, 0.9)  # the SYN is retransmitted after 1 s
                    waiting.append(SocketClient(made.address, sock))
                    waiting[-1].send(request(f"w{number}"))
            finally:
                os.kill(new.process.pid, signal.SIGCONT)
            for peer in waiting:
                assert await peer.answer() == b"HTTP/1.1 200 "
                peer.close()

    asyncio.run(play())


def test_without_a_shared_folder_the_next_version_listens_separately(tmp_path: Path) -> None:
    async def play() -> None:
        async with deployment(tmp_path, shared=False) as made:
            old = await (await made.version()).ready()
            crowd = LoadGenerator(made.address, 6, pause_s=0.002)
            await crowd.wait_for_answers(50)
            await (await made.version()).ready()
            await crowd.wait_for_answers(50)
            assert await old.stop() == 0
            await crowd.wait_for_answers(50)
            await crowd.finish()
            assert crowd.lost == [] and ran_twice(made.seen) == []

    asyncio.run(play())


def test_if_the_next_version_dies_the_old_one_goes_on(tmp_path: Path) -> None:
    """The next version is killed before it is ready, then after. A later one can still take over."""

    async def play() -> None:
        async with deployment(tmp_path) as made:
            old = await (await made.version()).ready()
            crowd = LoadGenerator(made.address, 6, pause_s=0.002)
            for wait in (False, True):
                new = await made.version()
                if wait:
                    await new.ready()
                    await crowd.wait_for_answers(30)
                else:
                    await until(lambda: "has come" in old.log.read_text())
                await new.kill()
                await crowd.wait_for_answers(100)  # served by the old version alone
                assert old.process.returncode is None
            last = await (await made.version()).ready()
            assert await old.stop() == 0
            await crowd.wait_for_answers(50)
            await crowd.finish()
            assert (await last.metrics())["success.look"] > 0
            assert ran_twice(made.seen) == []
            # Requests that the killed version had read are lost with it; no others are.
            assert len(crowd.lost) <= 6

    asyncio.run(play())


def test_overrides_hold_over_an_upgrade_and_can_be_removed_at_the_next_version(tmp_path: Path) -> None:
    async def play() -> None:
        async with deployment(tmp_path) as made:
            old = await (await made.version()).ready()
            assert (await send_request(old.control, "/backends/disable?target=b1", "POST"))[0] == 200
            new = await (await made.version()).ready()
            assert (await new.metrics())["targets_disabled"] == 1
            # While both serve, an override given to either applies to both.
            assert (await send_request(new.control, "/backends/disable?target=b2", "POST"))[0] == 200
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await old.metrics())["targets_disabled"] != 2:
                    await asyncio.sleep(0.02)
            before = [len(server.received) for server in made.servers]
            crowd = LoadGenerator(made.address, 4, pause_s=0.002)
            await crowd.wait_for_answers(60)
            assert await old.stop() == 0
            await crowd.wait_for_answers(60)
            assert [len(server.received) for server in made.servers[1:]] == before[1:]
            assert (await send_request(new.control, "/backends/enable?target=b1", "POST"))[0] == 200
            await until(lambda: len(made.servers[1].received) > before[1])
            assert len(made.servers[2].received) == before[2]
            await crowd.finish()
            check_nothing_lost(crowd, made)

    asyncio.run(play())


def test_a_drain_announced_during_an_upgrade_holds_in_both(tmp_path: Path) -> None:
    async def play() -> None:
        async with deployment(tmp_path) as made:
            old = await (await made.version()).ready()
            crowd = LoadGenerator(made.address, 6, pause_s=0.002)
            await crowd.wait_for_answers(30)
            new = await (await made.version()).ready()
            made.registry.update(member("b0", made.servers[0].address, "draining"))
            await asyncio.sleep(0.6)
            count = len(made.servers[0].received)
            await crowd.wait_for_answers(100)
            assert await old.stop() == 0
            await crowd.wait_for_answers(100)
            assert len(made.servers[0].received) == count
            await crowd.finish()
            check_nothing_lost(crowd, made)
            assert (await new.metrics())["targets"] == SERVERS

    asyncio.run(play())


# Guards against an id that runs twice since it comes to the other version of an upgrade.
def test_an_id_runs_once_whichever_version_it_comes_to(tmp_path: Path) -> None:
    async def play() -> None:
        async with deployment(tmp_path) as made:
            await (await made.version()).ready()

            async def ask(client: SocketClient, name: str) -> int:
                client.send(request(name, "pay", b"x"))
                return int((await client.answer()).split()[1])

            async def ask_anew(name: str) -> int:
                client = SocketClient(made.address)
                status = await ask(client, name)
                client.close()
                return status

            async def hold(whole: bytes, writer: asyncio.StreamWriter) -> None:
                if whole.startswith(b"GET"):
                    await go.wait()
                writer.write(OK)

            go = asyncio.Event()
            before = [f"before-{number}" for number in range(300)]
            assert {await ask_anew(name) for name in before} == {200}
            for server in made.servers:
                server.script = hold
            old = [SocketClient(made.address) for _ in range(20)]
            for at, client in enumerate(old):  # an unanswered request keeps each at the old version
                client.send(request(f"held-{at}"))
            await until(lambda: sum(whole.startswith(b"GET") for whole in made.seen) == 20)
            await (await made.version()).ready()
            # Ids that the new version has sent come to the old one, and ids that come to both at once.
            assert [await ask_anew(f"new-{at}") for at in range(10)] == [200] * 10
            for at, client in enumerate(old[:10]):
                client.send(request(f"new-{at}", "pay", b"x"))
            for at, client in enumerate(old[10:]):
                client.send(request(f"both-{at}", "pay", b"x"))
                await ask_anew(f"both-{at}")
            go.set()
            for client in old:
                assert await client.answer() == b"HTTP/1.1 200 "
            assert {await client.answer() for client in old[:10]} == {b"HTTP/1.1 409 "}
            # Ids that the old version has sent come to the new one.
            assert {await ask_anew(name) for name in before} == {409}
            assert ran_twice(made.seen) == []
            for client in old:
                client.close()

    asyncio.run(play())


def test_both_together_use_no_more_descriptors_than_one_may(tmp_path: Path) -> None:
    """Idle connections stay at the old version while other clients connect to the new one."""

    async def play() -> None:
        async with deployment(tmp_path, sockets=128) as made:
            old = await (await made.version()).ready()
            idle: list[SocketClient] = []
            for _ in range(40):
                peer = SocketClient(made.address)
                peer.send(request(f"r{len(idle)}"))
                assert await peer.answer() == b"HTTP/1.1 200 "
                idle.append(peer)
            new = await (await made.version()).ready()
            crowd = LoadGenerator(made.address, 80, pause_s=0.01)
            most = 0
            for _ in range(20):
                await crowd.wait_for_answers(20)
                most = max(most, sum(len(os.listdir(f"/proc/{item.process.pid}/fd")) for item in (old, new)))
            assert most <= 128
            assert await old.stop() == 0
            await crowd.wait_for_answers(100)
            await crowd.finish()
            assert crowd.lost == [] and ran_twice(made.seen) == []
            for peer in idle:
                peer.close()

    asyncio.run(play())


# The hand-over protocol alone


def test_an_invalid_hello_is_rejected(tmp_path: Path) -> None:
    """Covers another address or version, noise, no descriptor or several, an early end, and no listener."""
    ours = ("127.0.0.1", 4_000)
    with socket.create_server(("127.0.0.1", 0)) as other, contextlib.ExitStack() as stack:
        listen = other.getsockname()
        good = json.dumps({"version": upgrade.PROTOCOL_VERSION, "listen": [*listen]}).encode()
        wrong = json.dumps({"version": 99, "listen": [*listen]}).encode()
        server = stack.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
        assert find_predecessor(tmp_path, ours) is None  # no socket
        assert find_predecessor(tmp_path / "none", ours) is None
        assert find_predecessor(None, ours) is None
        server.bind(str(tmp_path / upgrade.SOCKET_NAME))
        assert find_predecessor(tmp_path, ours) is None  # not listening
        server.listen(8)

        def accepts(data: bytes, count: int, wanted: tuple[str, int]) -> bool:
            """Tell whether a predecessor that sends this hello, with so many descriptors, is accepted."""
            import threading

            def serve() -> None:
                channel, _ = server.accept()
                with channel:
                    if data:
                        socket.send_fds(channel, [data], [other.fileno()] * count)

            thread = threading.Thread(target=serve)
            thread.start()
            found = find_predecessor(tmp_path, wanted)
            thread.join()
            if found is not None:
                found.listening.close()
                found.close()
            return found is not None

        assert accepts(good, 1, listen)
        assert not accepts(good, 1, ours)
        assert not accepts(wrong, 1, listen)
        assert not accepts(b"[", 1, listen)
        assert not accepts(b"[1]", 1, listen)
        assert not accepts(good, 0, listen)
        assert not accepts(good, 3, listen)
        assert not accepts(b"", 0, listen)


@pytest.mark.parametrize("noise", [b"[", b"{}", b'{"ready": 1}', b"\xff" * 4_000])
def test_malformed_messages_from_a_next_version_are_ignored(noise: bytes, tmp_path: Path) -> None:
    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            changes: list[int] = []
            made = Successor(
                tmp_path, listening.getsockname(), listening.fileno, lambda: 7, lambda: changes.append(1),
                RequestIds(100),
            )  # fmt: skip
            found = await asyncio.to_thread(find_predecessor, tmp_path, listening.getsockname())
            assert found is not None and found.listening.getsockname() == listening.getsockname()
            reports: list[int | None] = []
            found.watch(reports.append, RequestIds(100))
            await until(lambda: reports[:1] == [7])
            found._channel.send(noise)
            # A second version is rejected while the first is connected.
            assert await asyncio.to_thread(find_predecessor, tmp_path, listening.getsockname()) is None
            assert made.connected and not made.ready and len(changes) == 1
            found.ready()
            await until(lambda: made.ready)
            found.listening.close()
            found.close()
            await until(lambda: not made.connected)
            assert not made.ready and len(changes) == 3
            # It listens again.
            again = await asyncio.to_thread(find_predecessor, tmp_path, listening.getsockname())
            assert again is not None
            again.listening.close()
            again.watch(reports.append, RequestIds(100))
            made.close()
            await until(lambda: reports[-1] is None)

    asyncio.run(play())
