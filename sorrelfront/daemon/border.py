"""An instance as a gateway of its site. What belongs to it is imported only here, and only if the file has
[site]."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from sorrelfront.daemon import records
from sorrelfront.daemon.configuration import MEMBERS
from sorrelfront.daemon.gate import GatedAgent
from sorrelfront.decisions.sites.offers import OfferId, Relation
from sorrelfront.decisions.sites.passage import Passage
from sorrelfront.decisions.sites.routes import IDS_MOST, Border, Lent, Newest, Partner, Settings
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.fronts.http1 import Listener
from sorrelfront.lists import parse_address
from sorrelfront.net.budget import BodyBudget, Descriptors
from sorrelfront.platform.config import BadConfig
from sorrelfront.sites.carrier import Carrier, now_us
from sorrelfront.sites.keys import BadSiteKey, Keys, private
from sorrelfront.sites.requests import BorderAgent, Gateway, Outward
from sorrelfront.terms import Config
from sorrelfront.upstreams.http1 import Upstream

if TYPE_CHECKING:
    from sorrelfront.fleet.copier import Copier

log = logging.getLogger("sorrelfront.sites")

_newest = msgspec.msgpack.Decoder(Newest)
_encode = msgspec.msgpack.Encoder().encode


OFFER, SEPARATOR = "offer/", "\x1f"  # of keys by which offers' newest states are copied
SHARE_EVERY_S = 0.2
LISTEN_AGAIN_S = 0.25  # while another process has the address


class GatedBorderAgent(BorderAgent, GatedAgent):
    """One that goes by the fleet's policy too: what the policy turns away goes nowhere."""


def reserved(path: Path | None) -> int:
    """The epoch of this life, above every earlier one that the disk knows, and durable before it is told.
    Without a disk it is 1, and partners that remember a later one say so."""
    if path is None:
        return 1
    payload = records.trusted(path, records.Kind.SITE)
    before = 0
    if payload is not None:
        try:
            before = msgspec.msgpack.decode(payload, type=int) % 2**53
        except msgspec.DecodeError as fault:
            log.warning("%s is not used: %s", path, fault)
    keep(path, before + 1)
    return before + 1


def keep(path: Path, epoch: int) -> None:
    try:
        records.write(path, records.seal(records.Kind.SITE, msgspec.msgpack.encode(epoch)))
    except OSError as fault:
        log.warning("%s: %s; partners will say which life this is", path, fault)


class Frontier:
    """This instance's border with partner sites."""

    def __init__(self, table: dict[str, Any]) -> None:
        """Raises BadConfig."""
        try:
            self._keys = Keys(private(Path(table["key_file"])), _keys(table))
        except BadSiteKey as bad:
            raise BadConfig(f"site.key_file: {bad.told()}") from None
        self._table = table
        self._path = Path(table["record"]) if table["record"] else None
        birth = int.from_bytes(os.urandom(6), "big")
        self.border = Border(
            table["name"], table["member"], table["gateway"], self._keys.sign, self._keys.verify,
            (reserved(self._path), birth), now_us(), _settings(table),
        )  # fmt: skip
        self._kept = self.border.life[0]
        self._passage = Passage(table["name"])
        self._carrier = Carrier(self.border, self._keys, self._changed)
        self._outward: Outward | None = None
        self._agent: BorderAgent | None = None
        self._listener: Listener | None = None
        self._starting: asyncio.Task[None] | None = None
        self._copier: Copier | None = None
        self._sharing: asyncio.TimerHandle | None = None
        self._untils: dict[tuple[str, float], int] = {}  # when offers end, as it was first worked out

    def agent(self, config: Config, upstream: Upstream, source: Any, governed: bool) -> BorderAgent:
        made = GatedBorderAgent if governed else BorderAgent
        self._agent = made(config, upstream, source)
        self._outward = self._agent.outward = Outward(self.border, config, upstream)
        return self._agent

    def open(self, config: Config, bodies: BodyBudget) -> None:
        """Listen for partners' words and requests. Raises BadConfig."""
        assert self._agent is not None
        gateway = Gateway(self._agent, self.border, self._passage, self._keys)
        try:
            self._listener = Listener(
                gateway,
                parse_address(self._table["gateway"]),
                Descriptors(config.sockets),
                bodies,
            )
        except OSError as fault:
            raise BadConfig(f"site.gateway: {self._table['gateway']}: {fault.strerror}") from None
        self._starting = asyncio.get_running_loop().create_task(self._start())
        self._starting.add_done_callback(_ended)

    async def _start(self) -> None:
        self._go_by(self._table)
        told = False
        while True:
            try:
                await self._carrier.start(parse_address(self._table["listen"]))
            except OSError as fault:
                # The one before, which is on its way out, may still have it.
                if not told:
                    log.warning("site.listen: %s; partners cannot ask this gateway yet", fault)
                told = True
                await asyncio.sleep(LISTEN_AGAIN_S)
            else:
                log.info("partners may ask at %s", self._table["listen"])
                return

    def change(self, table: dict[str, Any], config: Config) -> None:
        """Raises BadConfig, and then the file before holds."""
        try:
            keys = Keys(private(Path(table["key_file"])), _keys(table))
        except BadSiteKey as bad:
            raise BadConfig(f"site.key_file: {bad.told()}") from None
        self._keys.take(keys)
        self._table = table
        self._go_by(table)
        if self._listener is not None:
            self._listener.resize(Descriptors(config.sockets), config.memory_bytes)

    def _go_by(self, table: dict[str, Any]) -> None:
        self.border.settings = _settings(table)
        lent = self._lent(table)
        self._passage.keep({item.name: item for item in lent})
        places = {
            address: (name, told)
            for name, partner in table["partners"].items()
            for address, told in zip(
                partner["at"], partner["gateways"] or [""] * len(partner["at"]), strict=True
            )
        }
        self._carrier.change(_partners(table), lent, places)

    def _lent(self, table: dict[str, Any]) -> list[Lent]:
        found = []
        untils: dict[tuple[str, float], int] = {}
        for name, offer in table["offers"].items():
            until_us = None
            if offer["until"] is not None:
                # The one place where the time of day is looked at: the owner's own, once for each end. Risk:
                # worked out anew, it would be another by microseconds, and the offer another with it.
                until = (name, offer["until"])
                left_us = int((offer["until"] - time.time()) * 1e6)
                until_us = untils[until] = self._untils.get(until, now_us() + left_us)
                if until_us <= now_us():
                    continue
            told = terms(
                _sites(offer["to"]), _sites(offer["onward"]), offer["classes"], offer["rate"],
                int(offer["lifetime_ms"]),
            )  # fmt: skip
            found.append(Lent(name, told, offer["cost"], offer["capacity"], offer["group"], until_us))
        self._untils = untils
        return found

    def _changed(self) -> None:
        if self._outward is not None:
            self._outward.changed()
        if self.border.life[0] != self._kept:
            self._kept = self.border.life[0]
            if self._path is not None:
                keep(self._path, self._kept)
        self._share()

    def share(self, copier: Copier) -> None:
        """Have what this member hears of offers' newest states copied to the others, and go by what they
        heard: an old word that is told again finds no member that does not know better."""
        self._copier = copier
        copier.watch(OFFER, self._copied)
        self._changed()

    def _copied(self, key: str) -> None:
        id = _offer_id(key)
        assert self._copier is not None
        for book, value in self._copier.copies.values(key) if id is not None else ():
            if book.owner == self._copier.copies.me and id in self.border.newest:
                continue
            try:
                mark = _newest.decode(value)
            except msgspec.DecodeError as fault:
                log.warning("a copy of an offer's state is not used: %s", fault)
                continue
            assert id is not None
            self.border.on_mark(id, mark, now_us())

    def _share(self) -> None:
        """Risk: a partner that changes its offers ten times a second would have this site's members write and
        say as much to each other; so of each offer the newest state goes, now and then."""
        if self._sharing is None and self.border.marks:
            self._sharing = asyncio.get_running_loop().call_later(SHARE_EVERY_S, self._share_now)

    def _share_now(self) -> None:
        self._sharing = None
        marks = self.border.take_marks()
        if self._copier is None:
            return
        for id, mark in marks.items():
            self._copier.put(OFFER + SEPARATOR.join(id), _encode(mark))
        mine = self._copier.copies.mine
        if mine is not None and len(mine.entries) > 2 * IDS_MOST:
            for key in [key for key in mine.entries if key.startswith(OFFER)]:
                if _offer_id(key) not in self.border.newest:
                    self._copier.put(key, None)

    def figures(self) -> dict[str, Any]:
        told = self._carrier.figures()
        told["requests"] = {
            "in": dict(self._passage.counts),
            "out": {} if self._outward is None else dict(self._outward.counts),
            "inside": dict(self._passage.inside),
        }
        return told

    async def close(self) -> None:
        """Take on nothing more, and finish what partners have sent."""
        if self._listener is not None:
            await self._listener.close()

    async def end(self) -> None:
        if self._starting is not None:
            self._starting.cancel()
        if self._sharing is not None:
            self._sharing.cancel()
        await self._carrier.close()


def _offer_id(key: str) -> OfferId | None:
    parts = key.removeprefix(OFFER).split(SEPARATOR)
    return OfferId(*parts) if len(parts) == 3 else None


def _ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("opening the border failed", exc_info=task.exception())


def _settings(table: dict[str, Any]) -> Settings:
    return Settings(int(table["renew_ms"] * 1_000), int(table["stale_ms"] * 1_000))


def _keys(table: dict[str, Any]) -> dict[str, list[str]]:
    return {name: partner["keys"] for name, partner in table["partners"].items()}


def _partners(table: dict[str, Any]) -> list[Partner]:
    return [
        Partner(
            name, Relation[partner["relation"].upper()], partner["cost"], frozenset(partner["providers"]),
            bool(partner["at"]),
        )
        for name, partner in table["partners"].items()
    ]  # fmt: skip


def _sites(names: list[str]) -> list[str] | None:
    return None if MEMBERS in names else names
