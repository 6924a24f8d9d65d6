"""Partner sites by their real command, without the lab's seams: routes as owners' terms have them, from the
first moment on and after each change. Events in the log and answers say when."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from sorrelfront.sites.keys import make
from tests.daemon.fleet import Fleet
from tests.loopback import PATIENCE_S, Backend, answer, connect, looped, request
from tests.test_process import free_address

NAMES = ("bole", "hawassa", "mekelle")
RELATIONS = {("bole", "hawassa"): "customer", ("hawassa", "mekelle"): "customer"}  # a line
OTHER_WAY = {"customer": "provider", "provider": "customer"}
OFFER = (
    '[offers.stock]\nclasses = ["look", "book", "pay"]\nto = {to}\nonward = {onward}\nlifetime_ms = 2000\n'
)


class Site:
    """One site: a daemon of one instance, and its one server."""

    def __init__(self, folder: Path, name: str) -> None:
        folder.mkdir()
        self.name = name
        self.fleet = Fleet(folder, "127.0.0.1:1", instances=1)
        self.fleet.more = f'name = "{name}"\nstate_dir = "state"'
        self.public = make(folder / "site.key")
        self.words, self.requests = free_address(), free_address()
        self.listen = free_address()
        self.offer = ""
        self._read = 0

    async def start(self, others: list[Site], serves: bytes | None) -> None:
        """`serves`: what its server answers; None for a server that is not there."""
        self.others = others
        self.server = Backend(answer(serves or b""))
        await self.server.start()
        if serves is None:
            self.server.stop()
        self.fleet.servers = [("s", self.server.address)]
        self.write()
        await self.fleet.start()

    def write(self) -> None:
        text = f'[fleet]\nname = "{self.name}"\nlisten = "{_place(self.listen)}"\n[log]\nformat = "json"\n'
        text += f'[site]\nname = "{self.name}"\nkey_file = "site.key"\nlisten = "{_place(self.words)}"\n'
        text += f'gateway = "{_place(self.requests)}"\nrenew_ms = 200\nstale_ms = 60000\n'
        for other in self.others:
            text += f'[partners.{other.name}]\nkeys = ["{other.public}"]\n'
            relation = RELATIONS.get((self.name, other.name))
            back = RELATIONS.get((other.name, self.name))
            if relation or back:
                text += f'relation = "{relation or OTHER_WAY[back or ""]}"\nat = ["{_place(other.words)}"]\n'
        self.fleet.tables = text + self.offer
        self.fleet.write()

    async def lends(self, offer: str) -> None:
        """Its file has this offer from now on, and it is told so."""
        self.offer = offer
        self.write()
        assert (await self.fleet.ask("reload"))["ok"]

    async def told(self) -> dict[str, Any]:
        found = (await self.fleet.status())["i0"]["site"]
        assert isinstance(found, dict)
        return found

    async def until_paths(self, *wanted: list[str]) -> None:
        """Wait until just these routes are used."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                with contextlib.suppress(KeyError):
                    routes = (await self.told())["routes"]
                    if sorted(row["path"] for row in routes if row["state"] == "used") == sorted(wanted):
                        return
                await asyncio.sleep(0.02)

    async def until_counted(self, way: str, **wanted: int) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while wanted.items() - (await self.told())["requests"][way].items():
                await asyncio.sleep(0.02)

    async def asks(self, name: str, cls: str = "look") -> tuple[int, bytes, bytes]:
        client = await connect(self.fleet.address)
        client.send(request(name, cls))
        try:
            return await client.answer()
        finally:
            client.close()

    async def end(self) -> None:
        if self.fleet.process.returncode is None:
            self.fleet.signal(signal.SIGTERM)
            assert await self.fleet.ended() == 0

    def logged(self, text: str) -> bool:
        return text in self.fleet.log.read_text()


def _place(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def offer(to: str = '["members"]', onward: str = '["members"]') -> str:
    return OFFER.format(to=to, onward=onward)


@contextlib.asynccontextmanager
async def line(
    folder: Path, offers: dict[str, str], serves: dict[str, bytes | None]
) -> AsyncIterator[list[Site]]:
    """bole provides for hawassa, and hawassa for mekelle."""
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
            site.server.stop()


@looped
async def test_what_own_servers_cannot_serve_goes_by_the_routes_that_terms_leave(tmp_path: Path) -> None:
    async with line(tmp_path, {"mekelle": offer()}, {"mekelle": b"of mekelle"}) as (bole, hawassa, mekelle):
        await hawassa.until_paths(["mekelle"])
        await bole.until_paths(["hawassa", "mekelle"])
        for number, cls in enumerate(("look", "book", "pay")):
            status, _, body = await bole.asks(f"a{number}", cls)
            assert (status, body) == (200, b"of mekelle")
            assert (await hawassa.asks(f"b{number}", cls))[2] == b"of mekelle"
        assert len(mekelle.server.seen) == 6
        assert not any(b"sorrelfront" in whole.lower() for whole in mekelle.server.seen)
        # The one that has servers of its own goes nowhere.
        assert (await mekelle.asks("c"))[2] == b"of mekelle"
        assert (await mekelle.told())["requests"]["out"]["sent"] == 0
        await hawassa.until_counted("in", through=3, own=0)
        # Narrowed: to hawassa alone, and not to be passed on.
        await mekelle.lends(offer('["hawassa"]', "[]"))
        await bole.until_paths()
        assert (await bole.asks("d"))[0] == 503 and (await hawassa.asks("e"))[0] == 200
        await mekelle.lends("")
        await hawassa.until_paths()
        status, head, _ = await hawassa.asks("f", "pay")
        assert status == 503 and b"Retry-After" in head
        assert len(mekelle.server.seen) == 8


@looped
async def test_a_gateway_has_the_last_word_while_a_partner_hears_nothing(tmp_path: Path) -> None:
    async with line(tmp_path, {"mekelle": offer()}, {"mekelle": b"of mekelle"}) as (_, hawassa, mekelle):
        await hawassa.until_paths(["mekelle"])
        instance = (await hawassa.fleet.status())["i0"]["pid"]
        os.kill(instance, signal.SIGSTOP)
        try:
            client = await connect(hawassa.fleet.address)
            client.send(request("a", "pay", budget="9000m"))
            await mekelle.lends("")
        finally:
            os.kill(instance, signal.SIGCONT)
        status, _, _ = await client.answer()
        assert status == 503 and not mekelle.server.seen  # by news, or refused there: nothing ran
        client.close()


@pytest.mark.parametrize("cls", ["pay", "book"])
@looped
async def test_what_may_have_run_beyond_the_border_runs_nowhere_again(tmp_path: Path, cls: str) -> None:
    offers = {"mekelle": offer(), "bole": offer()}
    async with line(tmp_path, offers, {"mekelle": b"x", "bole": b"of bole"}) as (bole, hawassa, mekelle):
        await hawassa.until_paths(["mekelle"], ["bole"])

        async def breaks(whole: bytes, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        mekelle.server.script = breaks  # it has it, and says nothing
        assert (await hawassa.asks("a", cls))[0] == 500
        assert mekelle.server.seen and not bole.server.seen
        assert cls == "book" or len(mekelle.server.seen) == 1
        if cls == "book":
            # Its key is remembered: a repeat comes to those who may have run it, not to others.
            seen = len(mekelle.server.seen)
            mekelle.server.script = answer(b"again")
            async with asyncio.timeout(PATIENCE_S):
                while (await hawassa.asks("a", cls))[2] != b"again":
                    assert len(mekelle.server.seen) >= seen and not bole.server.seen


@looped
async def test_a_restarted_gateway_without_its_disk_is_believed_again(tmp_path: Path) -> None:
    async with line(tmp_path, {"mekelle": offer()}, {"mekelle": b"of mekelle"}) as (bole, _, mekelle):
        await bole.until_paths(["hawassa", "mekelle"])
        first = (await mekelle.told())["life"]
        pids = [item["pid"] for item in (await mekelle.fleet.status()).values()]
        await mekelle.fleet.kill()
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        for path in (tmp_path / "mekelle" / "state").iterdir():
            path.unlink()
        await mekelle.fleet.start()
        await mekelle.fleet.ready()
        async with asyncio.timeout(PATIENCE_S):
            while (await mekelle.told())["life"] <= first:
                await asyncio.sleep(0.02)
        await bole.until_paths(["hawassa", "mekelle"])
        assert (await bole.asks("a"))[2] == b"of mekelle"
        assert mekelle.logged("knows of life")


@looped
async def test_without_site_nothing_of_it_is_there(tmp_path: Path) -> None:
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


@looped
async def test_a_key_that_others_may_read_ends_the_start_with_what_to_do(tmp_path: Path) -> None:
    site = Site(tmp_path / "bole", "bole")
    (tmp_path / "bole" / "site.key").chmod(0o644)
    await site.start([], b"x")
    async with asyncio.timeout(PATIENCE_S):
        while not (site.fleet.log.exists() and site.logged("others may read it")):
            await asyncio.sleep(0.02)
    events = [json.loads(line)["event"] for line in site.fleet.log.read_text().splitlines() if line[0] == "{"]
    assert any("chmod 600" in event for event in events)
    site.fleet.signal(signal.SIGTERM)
    await site.fleet.ended()
    site.server.stop()
