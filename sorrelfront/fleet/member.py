"""One instance's membership in its fleet, put together from the terms that its supervisor gives it."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from random import Random, SystemRandom
from typing import Any

from sorrelfront.decisions.fleet.policy import Word
from sorrelfront.decisions.fleet.said import pack, unpack
from sorrelfront.decisions.fleet.view import Settings, View
from sorrelfront.decisions.fleet.words import Address, Copy, News, Said, State, Unreadable
from sorrelfront.fleet.carrier import Carrier, now_us
from sorrelfront.fleet.council import Council
from sorrelfront.fleet.envelope import Seal, keys
from sorrelfront.lists import parse_address

log = logging.getLogger("sorrelfront.fleet")

FIXED = ("name", "listen", "advertise", "member")  # what a member keeps for its life


def settings(table: dict[str, Any]) -> Settings:
    """The times of the file's [fleet]."""
    return replace(
        Settings(),
        interval_us=int(table["probe_ms"] * 1_000),
        timeout_us=int(table["answer_ms"] * 1_000),
        gossip_us=int(table["gossip_ms"] * 1_000),
        exchange_us=int(table["exchange_ms"] * 1_000),
        recall_us=int(table["recall_ms"] * 1_000),
        keep_us=int(table["keep_ms"] * 1_000),
    )


def places(table: dict[str, Any]) -> tuple[Address, ...]:
    """The addresses to join by; its own among them does no harm."""
    return tuple(parse_address(item) for item in table["join"])


class Member:
    """This instance in its fleet."""

    def __init__(
        self, table: dict[str, Any], incarnation: int, version: str, keep: Callable[[int], None]
    ) -> None:
        """`incarnation`: the one that an earlier life has kept, or 0. Raises envelope.BadKey."""
        self.table = table
        seal = Seal(table["name"], keys(table["key_file"]))
        ip, port = parse_address(table["advertise"])
        me = News(
            table["member"], ip, port, State.ALIVE, incarnation + 1, SystemRandom().getrandbits(63),
            version=version[:32],
        )  # fmt: skip
        random = Random(int.from_bytes(os.urandom(8), "big"))  # no two members act alike
        view = View(me, settings(table), random, now_us(), places(table))
        self.carrier = Carrier(view, seal, parse_address(table["listen"]), keep)

    def start(self) -> None:
        self.carrier.spawn(self.carrier.start())

    def change(self, table: dict[str, Any]) -> None:
        """Go by other keys, times and addresses to join by. Raises envelope.BadKey."""
        seal = Seal(table["name"], keys(table["key_file"]))
        self.carrier.seal = seal
        self.carrier.view.retime(settings(table), places(table))
        self.table = table

    # Copies

    def keep(self, hear: Callable[[str, bytes], None]) -> Callable[[str, bytes], None]:
        """Have words about copies handed over; returns by what this member says them."""
        self.carrier.on_copy = lambda copy: hear(copy.sender, copy.word)
        return lambda to, data: self.carrier.say(Copy(self.carrier.view.me.name, to, data))

    # Policy

    def sit(self, council: Council) -> None:
        """Have this member take part in the fleet's policy."""
        self._terms = terms_of(council.voters, council.lease_us)
        self._council = council
        self.strangers = 0
        self.carrier.on_said = self._said

    def say(self, to: str, word: Word) -> None:
        kind, data = pack(word)
        self.carrier.say(Said(self.carrier.view.me.name, to, self._terms, kind, data))

    def _said(self, said: Said) -> None:
        if said.terms != self._terms:
            self.strangers += 1
            if self.strangers == 1:
                log.error("%s has other voters or another lease_ms in its file; it is not heard", said.sender)
            return
        try:
            word = unpack(said.kind, said.word)
        except Unreadable:
            self.carrier.counts["unreadable"] += 1
            return
        self._council.hear(said.sender, word)


def terms_of(voters: tuple[str, ...], lease_us: int) -> int:
    """A digest of what all members have to agree on before they agree on anything."""
    told = "\n".join([str(lease_us), *sorted(voters)])
    return int.from_bytes(blake2b(told.encode(), digest_size=6).digest(), "big")
