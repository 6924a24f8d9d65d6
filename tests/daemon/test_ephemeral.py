"""A daemon whose servers and instance seats are ephemeral ZooKeeper nodes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from sorrelfront.daemon import ephemeral
from sorrelfront.daemon.configuration import BadDocument, instance_table, parse
from sorrelfront.lab import demo
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, connect, request
from sorrelfront.lab.listing import PATH, EphemeralListing
from sorrelfront.lab.scripted_servers import Ledger, Server
from sorrelfront.platform.config import BadConfig
from tests.daemon.fleet import OK, Fleet
from tests.loopback import async_test


def test_a_demo_in_which_the_service_stalls_loses_a_member_and_expires_everybody() -> None:
    """Requests must be served while ZooKeeper stalls, loses an ensemble member and expires all sessions."""
    figures = demo.run_demo(8.0, 2, 1, True, "zookeeper")
    assert demo.broken_rules(figures) == [] and figures["daemon_exit"] == 0, figures
    assert figures["served"] > 0.95 * figures["offered"] > 0, figures


@contextlib.asynccontextmanager
async def serving(folder: Path, listing: EphemeralListing, instances: int) -> AsyncIterator[Fleet]:
    """Run a daemon by this listing; check at the end that it stops cleanly."""
    daemon = Fleet(folder, "", instances=instances)
    text = daemon.path.read_text().partition("[membership]")[0]
    daemon.path.write_text(f"{text}[membership]\n{listing.toml()}\n")
    await daemon.start()
    try:
        await daemon.ready()
        yield daemon
        assert (await daemon.ask("stop"))["ok"] and await daemon.ended() == 0
        assert "Traceback" not in daemon.log.read_text()
    finally:
        if daemon.process.returncode is None:
            daemon.process.kill()
            await daemon.process.wait()


async def ready_servers(daemon: Fleet, count: int) -> None:
    """Wait until the only instance knows this many ready servers."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while (await daemon.status())["i0"].get("ready_servers") != count:
            await asyncio.sleep(0.02)


@async_test
async def test_status_tells_of_the_service_the_seats_and_the_list(tmp_path: Path) -> None:
    """`status` shows the connection to ZooKeeper and a distinct seat for each instance."""
    listing = EphemeralListing(members=1)
    await listing.start()
    server = await Server("b0", Ledger(4.0)).start()
    await listing.add("b0", server.address)
    async with serving(tmp_path, listing, instances=2) as daemon:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while {item.get("seat") for item in (await daemon.status()).values()} != {0, 1}:
                await asyncio.sleep(0.02)
        shown = [*(await daemon.status()).values()]
        assert all(item["service"] == "connected" and item["suspects"] == 0 for item in shown)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while any(item["seats"] != 2 for item in (await daemon.status()).values()):
                await asyncio.sleep(0.02)
    server.stop()
    await listing.stop()


@async_test
async def test_a_server_that_registered_again_under_its_node_is_served_there_and_its_drain_applied(
    tmp_path: Path,
) -> None:
    """review/9 with a whole program: its requests went to the old address, and its drain was not seen."""
    listing = EphemeralListing(members=1)
    await listing.start()
    other, old, new = [await Backend(OK).start() for _ in range(3)]
    await listing.add("b0", other.address)
    await listing.add("b1", old.address)
    async with serving(tmp_path, listing, instances=1) as daemon:
        await ready_servers(daemon, 2)
        tree, node = listing.ensemble.tree, f"{PATH}/b1"
        tree.delete(node, -1, set())
        record = {"id": "b1", "address": new.address, "started_ms": 2_000}
        tree.create(node, json.dumps(record).encode(), tree.nodes["/"].acls, 0, 0, set(), 0)
        client = await connect(daemon.address)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not new.received:
                client.send(request(f"r{len(other.received) + len(old.received)}"))
                assert (await client.answer())[0] == 200
        served_by_old = len(old.received)
        tree.set(node, json.dumps({**record, "phase": "draining"}).encode(), -1, set(), 0)
        await ready_servers(daemon, 1)
        served_by_new = len(new.received)
        for number in range(20):
            client.send(request(f"after{number}"))
            assert (await client.answer())[0] == 200
        assert (len(old.received), len(new.received)) == (served_by_old, served_by_new)
        client.close()
    for backend in (other, old, new):
        backend.stop()
    await listing.stop()


@async_test
async def test_a_fixed_list_that_has_another_server_after_a_reload(tmp_path: Path) -> None:
    """A server added to a fixed list is used after a reload."""
    one, two = await Backend(OK).start(), await Backend(OK).start()
    daemon = Fleet(tmp_path, "", instances=1)
    daemon.servers = [("b0", one.address)]
    daemon.write()
    await daemon.start()
    try:
        await daemon.ready()
        daemon.servers.append(("b1", two.address))
        daemon.write()
        assert (await daemon.ask("reload"))["ok"]
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await daemon.status())["i0"].get("ready_servers") != 2:
                await asyncio.sleep(0.02)
        assert (await daemon.ask("stop"))["ok"] and await daemon.ended() == 0
    finally:
        if daemon.process.returncode is None:
            daemon.process.kill()
            await daemon.process.wait()
        one.stop()
        two.stop()


FILE = """
[daemon]
control = "c.sock"
[listeners.http]
address = "127.0.0.1:8080"
[classes.look]
repeat = "safe"
aim_ms = 300
deadline_ms = 2000
[membership]
"""


def faults(membership: str) -> set[str]:
    """Return the keys that the configuration file's errors name."""
    try:
        parse((FILE + membership).encode(), Path("f.toml"))
    except BadDocument as bad:
        return {item.key for item in bad.faults}
    return set()


GOOD = 'source = "zookeeper"\nhosts = ["127.0.0.1:2181"]\npath = "/services/stock"\n'


def test_the_file_says_what_is_wrong_with_its_service() -> None:
    """Each invalid key of [membership] must be reported by its name."""
    assert faults(GOOD) == set()
    assert faults('source = "zookeeper"') == {"hosts", "path"}
    assert faults(GOOD + 'address = "127.0.0.1:1"') == {"address"}
    assert faults(GOOD + 'fleet = "/services/stock"') == {"fleet"}
    assert faults(GOOD + 'chroot = "/a/../b"') == {"chroot"}
    assert faults(GOOD.replace("127.0.0.1:2181", "zk.example.org:2181")) == {"hosts"}
    assert faults('address = "127.0.0.1:1"\npath = "/a"') == {"path"}
    assert faults(GOOD + "session_ms = 1") == {"session_ms"}


def test_the_secret_stands_in_a_file_of_its_own(tmp_path: Path) -> None:
    """Credentials are read from their own file only, and an invalid file is rejected."""
    document = parse((FILE + GOOD + 'auth_file = "zk.secret"').encode(), tmp_path / "f.toml")
    table = instance_table(document, 0)["zookeeper"]
    with pytest.raises(BadConfig):
        ephemeral.source_settings(table)
    for bad in ("", "nobody", ":x", "a:", "a:b\nc", "a:" + "x" * 600):
        (tmp_path / "zk.secret").write_text(bad)
        with pytest.raises(BadConfig):
            ephemeral.source_settings(table)
    (tmp_path / "zk.secret").write_text("me:word\n")
    settings = ephemeral.source_settings(table)
    assert settings.session.auth == "me:word" and "word" not in str(table)
    assert settings.session.hosts == (("127.0.0.1", 2181),) and settings.path == "/services/stock"
