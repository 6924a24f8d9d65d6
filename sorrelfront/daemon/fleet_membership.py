"""The part of an instance that makes it a member of its fleet, with the record of its incarnation.

The modules of the fleet are imported only here, and only if the configuration has a [fleet] table.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from sorrelfront.daemon import records
from sorrelfront.platform.config import BadConfig

if TYPE_CHECKING:
    from sorrelfront.daemon.gate import GatedAgent
    from sorrelfront.daemon.policies import PolicyOverlay
    from sorrelfront.fleet.policy_member import PolicyMember
    from sorrelfront.fleet.replicator import Replicator
    from sorrelfront.messages import Update

log = logging.getLogger("sorrelfront.daemon")


def load_incarnation(path: Path) -> int:
    """Return the incarnation that an earlier process reserved, or 0 if there is no valid record.

    It raises no exceptions.
    """
    payload = records.read_or_set_aside(path, records.RecordKind.INCARNATION)
    if payload is None:
        return 0
    try:
        return msgspec.msgpack.decode(payload, type=int) % 2**53
    except msgspec.DecodeError as error:
        log.warning("%s is not used: %s", path, error)
        return 0


class FleetMembership:
    """This instance's membership of the fleet."""

    def __init__(self, table: dict[str, Any]) -> None:
        """Create the member from the [fleet] table and start it.

        Raises:
            BadConfig: The fleet's key cannot be used.
        """
        from sorrelfront.decisions.fleet.placement import RingPosition
        from sorrelfront.fleet.envelope import InvalidKeyFile
        from sorrelfront.fleet.member import Member

        self._path = Path(table["record"]) if table["record"] else None
        self._writer = records.Writer() if self._path is not None else None
        incarnation = load_incarnation(self._path) if self._path is not None else 0
        try:
            self._member = Member(table, incarnation, _version(), self._store_incarnation)
        except InvalidKeyFile as error:
            raise BadConfig(f"fleet.key_file: {error}") from None
        self._ring_position = RingPosition(table["member"], int(table["rest_ms"] * 1_000))
        self.policy_member: PolicyMember | None = None
        self.replicator: Replicator | None = None
        self._member.start()

    def start_replication(self, list_is_numbered: bool, update: Callable[[Update], None]) -> None:
        """Start to replicate server states and drains among the members.

        Args:
            list_is_numbered: Whether this member's list service numbers its states, the same for all members.
            update: Passes a changed server list to the agent.
        """
        from sorrelfront.daemon.replica_log import ReplicaLog
        from sorrelfront.fleet.replicator import Ports, Replicator, decode_changes, replication_settings

        table, view = self._member.table, self._member.transport.view
        ledger = ReplicaLog(Path(table["copies_record"])) if table["copies_record"] else None
        stored = decode_changes(ledger.load()) if ledger is not None else []

        async def write(payloads: list[bytes]) -> None:
            if ledger is not None:
                await asyncio.to_thread(ledger.write, payloads)

        async def snapshot(payloads: list[bytes]) -> None:
            if ledger is not None:
                await asyncio.to_thread(ledger.snapshot, payloads)

        ports = Ports(
            send=self._member.attach_replication(lambda sender, data: replicator.on_message(sender, data)),
            live_members=view.alive, known_members=lambda: set(view.members), write=write, snapshot=snapshot,
            needs_snapshot=lambda: ledger is not None and ledger.needs_snapshot, update_agent=update,
        )  # fmt: skip
        replicator = Replicator(
            table["member"],
            "registry" if list_is_numbered else "",
            replication_settings(table),
            ports,
            stored,
        )
        self.replicator = replicator
        replicator.start()

    def join_policy(self, agent: GatedAgent, governed: PolicyOverlay) -> None:
        """Take part in the fleet's policy.

        Args:
            agent: It checks the policy before it decides on a request.
            governed: It applies the version that is in force.
        """
        from sorrelfront.fleet.policy_member import PolicyMember, Ports

        table, view = self._member.table, self._member.transport.view
        vote_path, held_path = Path(table["vote_record"]), Path(table["held_record"])
        writer = self._writer
        assert writer is not None  # the configuration is checked to have a state_dir

        async def store_vote(data: bytes) -> None:
            await asyncio.to_thread(
                records.write, vote_path, records.encode_record(records.RecordKind.VOTE, data)
            )

        ports = Ports(
            send=self._member.send_policy_message,
            persist_vote=store_vote,
            store_served=lambda data: writer.put(
                held_path, records.encode_record(records.RecordKind.HELD, data)
            ),
            live_members=view.alive,
            rejection_reason=governed.rejection_reason,
            apply=governed.apply_version,
            none_in_flight=lambda: agent.none_in_flight,
            on_lease_granted=agent.on_lease_granted,
        )
        self.policy_member = PolicyMember(
            table["member"],
            tuple(table["voters"]),
            int(table["lease_ms"] * 1_000),
            ports,
            records.read_or_set_aside(vote_path, records.RecordKind.VOTE),
            records.read_or_set_aside(held_path, records.RecordKind.HELD),
        )
        agent.policy_member = self.policy_member
        self._member.attach_policy(self.policy_member)
        self.policy_member.start()

    def _store_incarnation(self, incarnation: int) -> None:
        """Store the incarnation; if it is lost, it becomes the one that other members remember, plus one."""
        if self._writer is not None and self._path is not None:
            data = records.encode_record(records.RecordKind.INCARNATION, msgspec.msgpack.encode(incarnation))
            self._writer.put(self._path, data)

    def change(self, table: dict[str, Any]) -> None:
        """Apply a new [fleet] table.

        Raises:
            BadConfig: The fleet's key cannot be used.
        """
        from sorrelfront.fleet.envelope import InvalidKeyFile

        try:
            self._member.reconfigure(table)
        except InvalidKeyFile as error:
            raise BadConfig(f"fleet.key_file: {error}") from None

    def new_slice_start(self) -> int | None:
        """Return the new start of this instance's slice of the servers, or None if it is unchanged.

        The start is a point on a ring of `seat_allocation.RING_POINTS`. Call this periodically.
        """
        if not self._member.table["seats"]:
            return None
        view = self._member.transport.view
        return self._ring_position.on_view(view.alive(), view.now)

    def members_since(self, after: int) -> dict[str, Any]:
        """Return all members and the events after this number, for `ctl members`."""
        carrier = self._member.transport
        return {
            "fleet": self._member.table["name"],
            "self": carrier.view.me.name,
            "agreeing": carrier.view.agreeing(),
            "events": carrier.events_after(after),
            "members": carrier.members(),
        }

    def status(self) -> dict[str, Any]:
        """Return the status of the membership, the policy and the replication, for `ctl status`."""
        status = self._member.transport.status()
        if self.policy_member is not None:
            status["policy"] = self.policy_member.status()
        if self.replicator is not None:
            status["copies"] = self.replicator.status()
        return status

    def close(self, leave: bool) -> None:
        """Stop all of it; `leave`: first announce that this member leaves for good."""
        if self.policy_member is not None:
            self.policy_member.close()
        if self.replicator is not None:
            self.replicator.close()
        self._member.transport.close(leave)
        if self._writer is not None:
            self._writer.close()


def _version() -> str:
    import importlib.metadata  # here, as it takes a tenth of an instance's start time

    try:
        return importlib.metadata.version("sorrelfront")
    except importlib.metadata.PackageNotFoundError:
        return ""
