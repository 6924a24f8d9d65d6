"""One instance's membership in its fleet, built from the settings that its supervisor passes on."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from random import Random, SystemRandom
from typing import Any

from sorrelfront.decisions.fleet.messages import (
    Address,
    MalformedMessage,
    MemberUpdate,
    PolicyFrame,
    ReplicationFrame,
    State,
)
from sorrelfront.decisions.fleet.policy import PolicyMessage
from sorrelfront.decisions.fleet.policy_codec import decode_message, encode_message
from sorrelfront.decisions.fleet.view import Settings, View
from sorrelfront.fleet.envelope import EnvelopeCodec, read_keys
from sorrelfront.fleet.policy_member import PolicyMember
from sorrelfront.fleet.transport import MembershipTransport, now_us
from sorrelfront.lists import parse_address

log = logging.getLogger("sorrelfront.fleet")

IMMUTABLE_SETTINGS = ("name", "listen", "advertise", "member")  # settings that a running member cannot change


def view_settings(table: dict[str, Any]) -> Settings:
    """Convert the times of the configuration's [fleet] table."""
    return replace(
        Settings(),
        probe_interval_us=int(table["probe_ms"] * 1_000),
        probe_timeout_us=int(table["answer_ms"] * 1_000),
        gossip_interval_us=int(table["gossip_ms"] * 1_000),
        push_pull_interval_us=int(table["exchange_ms"] * 1_000),
        reconnect_interval_us=int(table["recall_ms"] * 1_000),
        dead_retention_us=int(table["keep_ms"] * 1_000),
    )


def join_addresses(table: dict[str, Any]) -> tuple[Address, ...]:
    """Return the addresses to join by; they may include this member's own."""
    return tuple(parse_address(item) for item in table["join"])


class Member:
    """This instance as a member of its fleet."""

    def __init__(
        self, table: dict[str, Any], incarnation: int, version: str, persist: Callable[[int], None]
    ) -> None:
        """Create the member; `start` opens its sockets.

        `incarnation`: the one that an earlier process persisted, or 0. Raises envelope.InvalidKeyFile.
        """
        self.table = table
        envelope = EnvelopeCodec(table["name"], read_keys(table["key_file"]))
        ip, port = parse_address(table["advertise"])
        me = MemberUpdate(
            table["member"], ip, port, State.ALIVE, incarnation + 1, SystemRandom().getrandbits(63),
            version=version[:32],
        )  # fmt: skip
        random = Random(int.from_bytes(os.urandom(8), "big"))  # so that members do not act in step
        view = View(me, view_settings(table), random, now_us(), join_addresses(table))
        self.transport = MembershipTransport(view, envelope, parse_address(table["listen"]), persist)

    def start(self) -> None:
        """Start the transport in the background."""
        self.transport.spawn(self.transport.start())

    def reconfigure(self, table: dict[str, Any]) -> None:
        """Apply other keys, times and join addresses; raises envelope.InvalidKeyFile."""
        envelope = EnvelopeCodec(table["name"], read_keys(table["key_file"]))
        self.transport.envelope = envelope
        self.transport.view.reconfigure(view_settings(table), join_addresses(table))
        self.table = table

    # Replication

    def attach_replication(self, receive: Callable[[str, bytes], None]) -> Callable[[str, bytes], None]:
        """Register the handler of replication messages; return the function that sends them."""
        self.transport.on_replication_message = lambda message: receive(message.sender, message.payload)
        return lambda to, data: self.transport.send(ReplicationFrame(self.transport.view.me.name, to, data))

    # Policy

    def attach_policy(self, policy_member: PolicyMember) -> None:
        """Connect this member with the fleet's policy."""
        self._terms_digest = terms_digest(policy_member.voters, policy_member.lease_us)
        self._policy_member = policy_member
        self.mismatches = 0
        self.transport.on_policy_message = self._on_policy_message

    def send_policy_message(self, to: str, message: PolicyMessage) -> None:
        """Send a policy message to a member; it may be lost."""
        kind, data = encode_message(message)
        self.transport.send(PolicyFrame(self.transport.view.me.name, to, self._terms_digest, kind, data))

    def _on_policy_message(self, message: PolicyFrame) -> None:
        if message.terms_digest != self._terms_digest:
            self.mismatches += 1
            if self.mismatches == 1:
                log.error(
                    "%s has other voters or another lease_ms in its file; it is not heard", message.sender
                )
            return
        try:
            decoded = decode_message(message.kind, message.payload)
        except MalformedMessage:
            self.transport.counters["unreadable"] += 1
            return
        self._policy_member.receive(message.sender, decoded)


def terms_digest(voters: tuple[str, ...], lease_us: int) -> int:
    """Return a digest of the settings that all members must share for agreement to be safe."""
    text = "\n".join([str(lease_us), *sorted(voters)])
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")
