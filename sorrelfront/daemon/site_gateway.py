"""The part of an instance that makes it a gateway of its site.

The modules for partner sites are imported only here, and only if the configuration has a [site] table.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from sorrelfront.agent_config import Config
from sorrelfront.daemon import records
from sorrelfront.daemon.configuration import ALL_PARTNERS
from sorrelfront.daemon.gate import GatedAgent
from sorrelfront.decisions.sites.admission import Admission
from sorrelfront.decisions.sites.offers import OfferId, Relation
from sorrelfront.decisions.sites.routes import (
    MAX_OFFER_IDS,
    Border,
    OfferConfig,
    OfferState,
    Partner,
    Settings,
)
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.fronts.http1 import Listener
from sorrelfront.lists import parse_address
from sorrelfront.net.budget import Descriptors, MemoryBudget
from sorrelfront.platform.config import BadConfig
from sorrelfront.sites.keys import BadSiteKey, Keys, load_private_key
from sorrelfront.sites.requests import Forwarder, ForwardingAgent, Gateway
from sorrelfront.sites.transport import PartnerTransport, now_us
from sorrelfront.upstreams.http1 import Upstream

if TYPE_CHECKING:
    from sorrelfront.fleet.replicator import Replicator

log = logging.getLogger("sorrelfront.sites")

_newest_decoder = msgspec.msgpack.Decoder(OfferState)
_encode = msgspec.msgpack.Encoder().encode


# Of the keys under which the newest states of offers are replicated.
OFFER_PREFIX, KEY_SEPARATOR = "offer/", "\x1f"
SHARE_INTERVAL_S = 0.2
LISTEN_RETRY_S = 0.25  # between attempts while another process holds the address


class GatedForwardingAgent(ForwardingAgent, GatedAgent):
    """A forwarding agent under the fleet's policy; requests that the policy refuses are not forwarded."""


def reserve_epoch(path: Path | None) -> int:
    """Reserve and return the epoch of this process.

    It is above every earlier one on the disk, and is stored before it is sent to anyone. Without a record on
    disk it is 1; partners that remember a later epoch report it.
    """
    if path is None:
        return 1
    payload = records.read_or_set_aside(path, records.RecordKind.SITE)
    previous = 0
    if payload is not None:
        try:
            previous = msgspec.msgpack.decode(payload, type=int) % 2**53
        except msgspec.DecodeError as error:
            log.warning("%s is not used: %s", path, error)
    store_epoch(path, previous + 1)
    return previous + 1


def store_epoch(path: Path, epoch: int) -> None:
    """Write the epoch to disk; a failure is logged only, as partners report a lost epoch."""
    try:
        records.write(path, records.encode_record(records.RecordKind.SITE, msgspec.msgpack.encode(epoch)))
    except OSError as error:
        log.warning("%s: %s; the epoch will be recovered from partners", path, error)


class SiteGateway:
    """This instance's gateway to partner sites: routes, advertisements and requests."""

    def __init__(self, table: dict[str, Any]) -> None:
        """Create it from the [site] table.

        Raises:
            BadConfig: The site's key or a partner's key cannot be used.
        """
        try:
            self._keys = Keys(load_private_key(Path(table["key_file"])), _keys(table))
        except BadSiteKey as error:
            raise BadConfig(f"site.key_file: {error.message_with_remedy()}") from None
        self._table = table
        self._path = Path(table["record"]) if table["record"] else None
        birth_id = int.from_bytes(os.urandom(6), "big")
        self.border = Border(
            table["name"], table["member"], table["gateway"], self._keys.sign, self._keys.verify,
            (reserve_epoch(self._path), birth_id), now_us(), _settings(table),
        )  # fmt: skip
        self._stored_epoch = self.border.incarnation[0]
        self._admission = Admission(table["name"])
        self._transport = PartnerTransport(self.border, self._keys, self._on_change)
        self._forwarder: Forwarder | None = None
        self._agent: ForwardingAgent | None = None
        self._listener: Listener | None = None
        self._starting: asyncio.Task[None] | None = None
        self._replicator: Replicator | None = None
        self._share_timer: asyncio.TimerHandle | None = None
        # (offer, its `until`) -> its end in monotonic time, as first computed
        self._end_times_us: dict[tuple[str, float], int] = {}

    def create_agent(
        self, config: Config, upstream: Upstream, source: Any, governed: bool
    ) -> ForwardingAgent:
        """Create the agent of this instance; `governed` if it is under the fleet's policy."""
        agent_class = GatedForwardingAgent if governed else ForwardingAgent
        self._agent = agent_class(config, upstream, source)
        self._forwarder = self._agent.forwarder = Forwarder(self.border, config, upstream)
        return self._agent

    def start_listening(self, config: Config, memory: MemoryBudget) -> None:
        """Start to listen for advertisements and requests from partners.

        Raises:
            BadConfig: The address for requests cannot be bound.
        """
        assert self._agent is not None
        gateway = Gateway(self._agent, self.border, self._admission, self._keys)
        try:
            self._listener = Listener(
                gateway,
                parse_address(self._table["gateway"]),
                Descriptors(config.sockets),
                memory,
            )
        except OSError as error:
            raise BadConfig(f"site.gateway: {self._table['gateway']}: {error.strerror}") from None
        self._starting = asyncio.get_running_loop().create_task(self._start())
        self._starting.add_done_callback(_log_failure)

    async def _start(self) -> None:
        self._apply(self._table)
        logged = False
        while True:
            try:
                await self._transport.start(parse_address(self._table["listen"]))
            except OSError as error:
                # The previous process may still hold the address while it exits.
                if not logged:
                    log.warning("site.listen: %s; partners cannot ask this gateway yet", error)
                logged = True
                await asyncio.sleep(LISTEN_RETRY_S)
            else:
                log.info("partners may ask at %s", self._table["listen"])
                return

    def change(self, table: dict[str, Any], config: Config) -> None:
        """Apply a new [site] table.

        Raises:
            BadConfig: A key cannot be used; the previous table stays in effect.
        """
        try:
            keys = Keys(load_private_key(Path(table["key_file"])), _keys(table))
        except BadSiteKey as error:
            raise BadConfig(f"site.key_file: {error.message_with_remedy()}") from None
        self._keys.replace_with(keys)
        self._table = table
        self._apply(table)
        if self._listener is not None:
            self._listener.resize(Descriptors(config.sockets))

    def _apply(self, table: dict[str, Any]) -> None:
        self.border.settings = _settings(table)
        lent = self._offers_of(table)
        self._admission.retain({item.name: item for item in lent})
        gateways = {
            address: (name, requests_to)
            for name, partner in table["partners"].items()
            for address, requests_to in zip(
                partner["at"], partner["gateways"] or [""] * len(partner["at"]), strict=True
            )
        }
        self._transport.change(_partners(table), lent, gateways)

    def _offers_of(self, table: dict[str, Any]) -> list[OfferConfig]:
        lent = []
        end_times_us: dict[tuple[str, float], int] = {}
        for name, offer in table["offers"].items():
            until_us = None
            if offer["until"] is not None:
                # The only use of the wall clock: the owner's own, once for each end. Computed again, the end
                # would differ by microseconds, and partners would see the offer as changed.
                until = (name, offer["until"])
                left_us = int((offer["until"] - time.time()) * 1e6)
                until_us = end_times_us[until] = self._end_times_us.get(until, now_us() + left_us)
                if until_us <= now_us():
                    continue
            offer_terms = terms(
                _site_names(offer["to"]), _site_names(offer["onward"]), offer["classes"], offer["rate"],
                int(offer["lifetime_ms"]),
            )  # fmt: skip
            lent.append(
                OfferConfig(name, offer_terms, offer["cost"], offer["capacity"], offer["group"], until_us)
            )
        self._end_times_us = end_times_us
        return lent

    def _on_change(self) -> None:
        if self._forwarder is not None:
            self._forwarder.on_routes_changed()
        if self.border.incarnation[0] != self._stored_epoch:
            self._stored_epoch = self.border.incarnation[0]
            if self._path is not None:
                store_epoch(self._path, self._stored_epoch)
        self._schedule_share()

    def replicate_offers(self, replicator: Replicator) -> None:
        """Replicate the newest state of each offer among the members of this site.

        Then a replayed old advertisement is rejected by all members, whichever of them saw the newer one.
        """
        self._replicator = replicator
        replicator.watch(OFFER_PREFIX, self._on_replicated)
        self._on_change()

    def _on_replicated(self, key: str) -> None:
        id = _offer_id(key)
        assert self._replicator is not None
        for book, value in self._replicator.store.values(key) if id is not None else ():
            if book.owner == self._replicator.store.member_name and id in self.border.newest:
                continue
            try:
                mark = _newest_decoder.decode(value)
            except msgspec.DecodeError as error:
                log.warning("a replicated state of an offer is not used: %s", error)
                continue
            assert id is not None
            self.border.on_state(id, mark, now_us())

    def _schedule_share(self) -> None:
        """Schedule the replication of changed offer states.

        Only the newest state of each offer is sent, every `SHARE_INTERVAL_S`. Otherwise a partner that
        changes its offers ten times a second would cause as many writes and messages among this site's
        members.
        """
        if self._share_timer is None and self.border.pending_states:
            self._share_timer = asyncio.get_running_loop().call_later(SHARE_INTERVAL_S, self._share_states)

    def _share_states(self) -> None:
        self._share_timer = None
        marks = self.border.take_states()
        if self._replicator is None:
            return
        for id, mark in marks.items():
            self._replicator.put(OFFER_PREFIX + KEY_SEPARATOR.join(id), _encode(mark))
        own = self._replicator.store.own_replica
        if own is not None and len(own.entries) > 2 * MAX_OFFER_IDS:
            for key in [key for key in own.entries if key.startswith(OFFER_PREFIX)]:
                if _offer_id(key) not in self.border.newest:
                    self._replicator.put(key, None)

    def status(self) -> dict[str, Any]:
        """Return the status of the gateway, for `ctl status`."""
        status = self._transport.status()
        status["requests"] = {
            "in": dict(self._admission.counts),
            "out": {} if self._forwarder is None else dict(self._forwarder.counts),
            "inside": dict(self._admission.in_flight),
        }
        return status

    async def drain(self) -> None:
        """Accept no further requests, and finish those that partners have sent."""
        if self._listener is not None:
            await self._listener.close()

    async def stop(self) -> None:
        """Stop the timers and the exchange of advertisements."""
        if self._starting is not None:
            self._starting.cancel()
        if self._share_timer is not None:
            self._share_timer.cancel()
        await self._transport.close()


def _offer_id(key: str) -> OfferId | None:
    parts = key.removeprefix(OFFER_PREFIX).split(KEY_SEPARATOR)
    return OfferId(*parts) if len(parts) == 3 else None


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("starting the site's gateway failed", exc_info=task.exception())


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


def _site_names(names: list[str]) -> list[str] | None:
    return None if ALL_PARTNERS in names else names
