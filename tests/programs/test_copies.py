"""Two daemons, run by their real command: one restarts while the list service is down.

It has to serve by what the other one knows. The daemons run without the lab's hooks: the tests wait for
notifications to the service manager and for events in the log.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path

from tests.daemon.fleet import Fleet
from tests.loopback import WAIT_TIMEOUT_S, Backend, Registry, answer, async_test, connect, member, request
from tests.test_process import free_address


class Host:
    """One daemon and the socket on which it notifies its service manager."""

    def __init__(self, folder: Path, name: str, registry: str, listen: str, join: str) -> None:
        folder.mkdir()
        self.fleet = Fleet(folder, registry, instances=1)
        self.fleet.extra_daemon_lines = f'name = "{name}"\nstate_dir = "state"'
        self.fleet.extra_tables = (
            f'[fleet]\nname = "copies"\nlisten = "{listen}"\njoin = ["{join}"]\ncopies = true\n'
            'probe_ms = 200\nanswer_ms = 100\ngossip_ms = 50\n[log]\nformat = "json"\n'
        )
        self.fleet.write()
        self._manager = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._manager.setblocking(False)
        self._manager.bind(str(folder / "notify"))
        self.fleet.environ["NOTIFY_SOCKET"] = str(folder / "notify")
        self._next_line = 0

    async def start(self) -> None:
        await self.fleet.start()

    async def notified(self, state: str) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while state.encode() not in await asyncio.get_running_loop().sock_recv(self._manager, 4_096):
                pass

    async def logged(self, text: str) -> None:
        """Wait for an event in the log, after those that were waited for before."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                lines = self.fleet.log.read_text().splitlines() if self.fleet.log.exists() else []
                for at in range(self._next_line, len(lines)):
                    with contextlib.suppress(ValueError):
                        if text in json.loads(lines[at])["event"]:
                            self._next_line = at + 1
                            return
                await asyncio.sleep(0.02)

    async def power_off(self) -> None:
        """Kill every process of the host at once."""
        pids = [item["pid"] for item in (await self.fleet.status()).values()]
        self.fleet.process.kill()
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        await self.fleet.process.wait()

    async def end(self) -> None:
        if self.fleet.process.returncode is None:
            self.fleet.signal(signal.SIGTERM)
            assert await self.fleet.ended() == 0
        self._manager.close()


@contextlib.asynccontextmanager
async def two_hosts(folder: Path, registry: Registry) -> AsyncIterator[tuple[Host, Host]]:
    places = ["{}:{}".format(*free_address()) for _ in range(2)]
    a = Host(folder / "a", "a", registry.address, places[0], places[1])
    b = Host(folder / "b", "b", registry.address, places[1], places[0])
    for host in (a, b):
        await host.start()
    try:
        for host in (a, b):
            await host.notified("READY=1")
            await host.logged("the replicas have caught up")
        yield a, b
    finally:
        for host in (a, b):
            await host.end()


@async_test
async def test_a_host_restarted_while_the_list_is_down_serves_by_its_peers_replica(
    tmp_path: Path,
) -> None:
    server, drained = await Backend(answer(b"served")).start(), await Backend(answer(b"served")).start()
    registry = await Registry().start()
    registry.update(member("s1", server.address), member("s2", drained.address))
    async with two_hosts(tmp_path, registry) as (a, b):
        await a.fleet.ready()
        await b.fleet.ready()
        await b.power_off()
        registry.update(member("s2", drained.address, "draining"))  # sent only to the daemon that is up
        await wait_until_excluded(a)
        registry.stop()
        before = len(drained.received)
        await b.start()
        await b.notified("READY=1")
        await b.logged("serving by the fleet's copy of the list")
        client = await connect(b.fleet.address)
        for number in range(20):
            client.send(request(f"r{number}"))
            assert (await client.answer())[0] == 200
        assert len(drained.received) == before  # its own disk had it as ready
        # On a busy machine the process may have been suspended for longer than two comparison intervals. It
        # has to be in sync with its peers again before it reports that it has caught up.
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (status := (await b.fleet.status())["i0"]["fleet"]["copies"])["level"]:
                await asyncio.sleep(0.02)
        assert status["by_copy"] and not status["forked"]
    server.stop()
    drained.stop()


async def wait_until_excluded(host: Host) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while (await host.fleet.status())["i0"]["ready_servers"] != 1:
            await asyncio.sleep(0.02)


@async_test
async def test_without_the_setting_nothing_is_replicated(tmp_path: Path) -> None:
    server, registry = await Backend(answer(b"served")).start(), await Registry().start()
    registry.update(member("s1", server.address))
    host = Host(tmp_path / "a", "a", registry.address, "{}:{}".format(*free_address()), "127.0.0.1:1")
    host.fleet.extra_tables = host.fleet.extra_tables.replace("copies = true\n", "")
    host.fleet.write()
    await host.start()
    try:
        await host.notified("READY=1")
        found = await host.fleet.ready()
        assert "copies" not in found["i0"]["fleet"]
        assert not [*(tmp_path / "a/state").glob("copies*")]
    finally:
        await host.end()
        server.stop()
        registry.stop()
