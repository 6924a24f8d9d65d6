"""Partner sites run by their real command, without the lab's hooks.

Routes follow the owners' terms from the start and after each change. Answers, log events and the status show
when a change has taken effect.
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
from typing import Any

import pytest

from sorrelfront.sites.keys import create_key_file
from tests.daemon.fleet import Fleet
from tests.loopback import WAIT_TIMEOUT_S, Backend, answer, async_test, connect, request
from tests.test_process import free_address

NAMES = ("bole", "hawassa", "mekelle")
RELATIONS = {("bole", "hawassa"): "customer", ("hawassa", "mekelle"): "customer"}  # sites in a line
INVERSE = {"customer": "provider", "provider": "customer"}
OFFER = (
    '[offers.stock]\nclasses = ["look", "book", "pay"]\nto = {to}\nonward = {onward}\nlifetime_ms = 2000\n'
)


class Site:
    """One site: a daemon with one instance, and one server."""

    def __init__(self, folder: Path, name: str) -> None:
        folder.mkdir()
        self.name = name
        self.fleet = Fleet(folder, "127.0.0.1:1", instances=1)
        self.fleet.extra_daemon_lines = f'name = "{name}"\nstate_dir = "state"'
        self.public = create_key_file(folder / "site.key")
        self.exchange, self.gateway = free_address(), free_address()
        self.listen = free_address()
        self.offer = ""
        self._reserved: socket.socket | None = None  # of a server that is down
        self._read = 0

    async def start(self, others: list[Site], serves: bytes | None) -> None:
        """Start the site; `serves` is its server's answer, or None for a server that is down."""
        self.others = others
        self.server = Backend(answer(serves or b""))
        if serves is None:
            # Bound and not listened at: a port that is given back could become that of another test's server.
            self._reserved = socket.socket()
            self._reserved.bind(("127.0.0.1", 0))
            self.server.address = _host_port(self._reserved.getsockname())
        else:
            await self.server.start()
        self.fleet.servers = [("s", self.server.address)]
        self.write()
        await self.fleet.start()

    def write(self) -> None:
        text = (
            f'[fleet]\nname = "{self.name}"\nlisten = "{_host_port(self.listen)}"\n[log]\nformat = "json"\n'
        )
        text += (
            f'[site]\nname = "{self.name}"\nkey_file = "site.key"\nlisten = "{_host_port(self.exchange)}"\n'
        )
        text += f'gateway = "{_host_port(self.gateway)}"\nrenew_ms = 200\nstale_ms = 60000\n'
        for other in self.others:
            text += f'[partners.{other.name}]\nkeys = ["{other.public}"]\n'
            relation = RELATIONS.get((self.name, other.name))
            inverse = RELATIONS.get((other.name, self.name))
            if relation or inverse:
                text += (
                    f'relation = "{relation or INVERSE[inverse or ""]}"\n'
                    f'at = ["{_host_port(other.exchange)}"]\n'
                )
        self.fleet.extra_tables = text + self.offer
        self.fleet.write()

    async def set_offer(self, offer: str) -> None:
        """Put this offer into the site's file and reload it."""
        self.offer = offer
        self.write()
        assert (await self.fleet.ask("reload"))["ok"]

    async def status(self) -> dict[str, Any]:
        found = (await self.fleet.status())["i0"]["site"]
        assert isinstance(found, dict)
        return found

    async def wait_for_paths(self, *wanted: list[str]) -> None:
        """Wait until exactly these routes are in use."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(KeyError):
                    routes = (await self.status())["routes"]
                    if sorted(row["path"] for row in routes if row["state"] == "used") == sorted(wanted):
                        return
                await asyncio.sleep(0.02)

    async def wait_for_counts(self, way: str, **wanted: int) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while wanted.items() - (await self.status())["requests"][way].items():
                await asyncio.sleep(0.02)

    async def wait_for_memory(self, least: int, most: int) -> None:
        """Wait until the instance holds so many bytes for clients and servers."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not least <= (await self.fleet.status())["i0"]["memory"]["held"] <= most:
                await asyncio.sleep(0.02)

    async def send_request(self, name: str, cls: str = "look") -> tuple[int, bytes, bytes]:
        client = await connect(self.fleet.address)
        client.send(request(name, cls))
        try:
            return await client.answer()
        finally:
            client.close()

    def stop_server(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
        else:
            self.server.stop()

    async def end(self) -> None:
        if self.fleet.process.returncode is None:
            self.fleet.signal(signal.SIGTERM)
            assert await self.fleet.ended() == 0

    def has_logged(self, text: str) -> bool:
        return text in self.fleet.log.read_text()


def _host_port(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def offer(to: str = '["members"]', onward: str = '["members"]') -> str:
    return OFFER.format(to=to, onward=onward)


@contextlib.asynccontextmanager
async def line_of_sites(
    folder: Path, offers: dict[str, str], serves: dict[str, bytes | None]
) -> AsyncIterator[list[Site]]:
    """Run three sites in a line: bole is hawassa's provider, and hawassa mekelle's."""
    sites = [Site(folder / name, name) for name in NAMES]
    for site in sites:
        site.offer = offers.get(site.name, "")
        await site.start([other for other in sites if other is not site], serves.get(site.name))
    try:
        for site in sites:
            await site.fleet.ready()
        yield sites
    finally:
        for site in sites:
            await site.end()
            site.stop_server()


@async_test
async def test_requests_that_own_servers_cannot_serve_follow_the_routes_that_terms_allow(
    tmp_path: Path,
) -> None:
    """Guards against requests sent by routes that an owner has narrowed or withdrawn, and against headers of
    this program that reach a server."""
    async with line_of_sites(tmp_path, {"mekelle": offer()}, {"mekelle": b"of mekelle"}) as (
        bole,
        hawassa,
        mekelle,
    ):
        await hawassa.wait_for_paths(["mekelle"])
        await bole.wait_for_paths(["hawassa", "mekelle"])
        for number, cls in enumerate(("look", "book", "pay")):
            status, _, body = await bole.send_request(f"a{number}", cls)
            assert (status, body) == (200, b"of mekelle")
            assert (await hawassa.send_request(f"b{number}", cls))[2] == b"of mekelle"
        assert len(mekelle.server.received) == 6
        assert not any(b"sorrelfront" in whole.lower() for whole in mekelle.server.received)
        # A site with servers of its own forwards nothing.
        assert (await mekelle.send_request("c"))[2] == b"of mekelle"
        assert (await mekelle.status())["requests"]["out"]["sent"] == 0
        await hawassa.wait_for_counts("in", through=3, own=0)
        # Narrowed: for hawassa alone, not to be passed on.
        await mekelle.set_offer(offer('["hawassa"]', "[]"))
        await bole.wait_for_paths()
        assert (await bole.send_request("d"))[0] == 503 and (await hawassa.send_request("e"))[0] == 200
        await mekelle.set_offer("")
        await hawassa.wait_for_paths()
        status, head, _ = await hawassa.send_request("f", "pay")
        assert status == 503 and b"Retry-After" in head
        assert len(mekelle.server.received) == 8


@async_test
async def test_the_memory_of_a_forwarded_request_is_counted_at_each_site(tmp_path: Path) -> None:
    """Guards against bodies between sites that no memory budget counts, or that outlive their client."""
    silence = asyncio.Event()

    async def silent(_: bytes, writer: asyncio.StreamWriter) -> None:
        await silence.wait()

    async with line_of_sites(tmp_path, {"mekelle": offer()}, {"mekelle": b""}) as sites:
        bole, _, mekelle = sites
        await bole.wait_for_paths(["hawassa", "mekelle"])
        mekelle.server.script = silent
        client = await connect(bole.fleet.address)
        client.send(request("a", "book", bytes(30_000)))
        await mekelle.server.arrived.wait()
        for site in sites:
            await site.wait_for_memory(30_000, 40_000)
        client.close()
        for site in sites:
            await site.wait_for_memory(0, 0)
        silence.set()


@async_test
async def test_a_gateway_enforces_a_withdrawal_that_a_partner_has_not_received(tmp_path: Path) -> None:
    """Guards against serving a request under a withdrawn offer. The partner's process is stopped during the
    withdrawal, so it still has the route when it continues."""
    async with line_of_sites(tmp_path, {"mekelle": offer()}, {"mekelle": b"of mekelle"}) as (
        _,
        hawassa,
        mekelle,
    ):
        await hawassa.wait_for_paths(["mekelle"])
        instance = (await hawassa.fleet.status())["i0"]["pid"]
        os.kill(instance, signal.SIGSTOP)
        try:
            client = await connect(hawassa.fleet.address)
            client.send(request("a", "pay", budget="9000m"))
            await mekelle.set_offer("")
        finally:
            os.kill(instance, signal.SIGCONT)
        status, _, _ = await client.answer()
        # Nothing ran: the route went with a change notice, or the gateway refused the request.
        assert status == 503 and not mekelle.server.received
        client.close()


@pytest.mark.parametrize("cls", ["pay", "book"])
@async_test
async def test_a_forwarded_request_that_may_have_run_is_not_run_elsewhere(tmp_path: Path, cls: str) -> None:
    """Guards against an effect that happens twice: a partner's server takes the request and closes the
    connection without an answer, and another site could serve it."""
    offers = {"mekelle": offer(), "bole": offer()}
    async with line_of_sites(tmp_path, offers, {"mekelle": b"x", "bole": b"of bole"}) as (
        bole,
        hawassa,
        mekelle,
    ):
        await hawassa.wait_for_paths(["mekelle"], ["bole"])

        async def abort_connection(whole: bytes, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        mekelle.server.script = abort_connection  # takes the request, and does not answer
        assert (await hawassa.send_request("a", cls))[0] == 500
        assert mekelle.server.received and not bole.server.received
        assert cls == "book" or len(mekelle.server.received) == 1
        if cls == "book":
            # The key is remembered: a repeat goes to the site that may have run it, not to another.
            seen = len(mekelle.server.received)
            mekelle.server.script = answer(b"again")
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await hawassa.send_request("a", cls))[2] != b"again":
                    assert len(mekelle.server.received) >= seen and not bole.server.received


@async_test
async def test_a_gateway_restarted_without_its_disk_is_trusted_again(tmp_path: Path) -> None:
    """Guards against a gateway that starts with an old epoch after the loss of its disk: partners would take
    its advertisements for old ones until someone steps in."""
    async with line_of_sites(tmp_path, {"mekelle": offer()}, {"mekelle": b"of mekelle"}) as (
        bole,
        _,
        mekelle,
    ):
        await bole.wait_for_paths(["hawassa", "mekelle"])
        first = (await mekelle.status())["life"]
        pids = [item["pid"] for item in (await mekelle.fleet.status()).values()]
        await mekelle.fleet.kill()
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        for path in (tmp_path / "mekelle" / "state").iterdir():
            path.unlink()
        await mekelle.fleet.start()
        await mekelle.fleet.ready()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await mekelle.status())["life"] <= first:
                await asyncio.sleep(0.02)
        await bole.wait_for_paths(["hawassa", "mekelle"])
        assert (await bole.send_request("a"))[2] == b"of mekelle"
        assert mekelle.has_logged("knows of life")


@async_test
async def test_without_a_site_table_no_code_for_sites_is_loaded(tmp_path: Path) -> None:
    """Guards against loading the code for partner sites, and its memory, in a daemon without [site]."""
    fleet = Fleet(tmp_path, "127.0.0.1:1", instances=1)
    server = await Backend(answer(b"served")).start()
    fleet.servers = [("s", server.address)]
    fleet.write()
    await fleet.start()
    found = await fleet.ready()
    maps = Path(f"/proc/{found['i0']['pid']}/maps").read_text()
    assert "site" not in found["i0"] and "cryptography" not in maps
    fleet.signal(signal.SIGTERM)
    assert await fleet.ended() == 0
    server.stop()


@async_test
async def test_a_key_that_others_may_read_ends_the_start_and_names_the_remedy(tmp_path: Path) -> None:
    """Guards against a start with a private key that other users can read, and against an error that does not
    name the remedy."""
    site = Site(tmp_path / "bole", "bole")
    (tmp_path / "bole" / "site.key").chmod(0o644)
    await site.start([], b"x")
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not (site.fleet.log.exists() and site.has_logged("others may read it")):
            await asyncio.sleep(0.02)
    events = [json.loads(line)["event"] for line in site.fleet.log.read_text().splitlines() if line[0] == "{"]
    assert any("chmod 600" in event for event in events)
    site.fleet.signal(signal.SIGTERM)
    await site.fleet.ended()
    site.server.stop()
