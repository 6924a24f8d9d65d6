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
    from sorrelfront.daemon.policies import Governed
    from sorrelfront.fleet.copier import Copier
    from sorrelfront.fleet.council import Council
    from sorrelfront.messages import Update

log = logging.getLogger("sorrelfront.daemon")


def load_incarnation(path: Path) -> int:
    """Return the incarnation that an earlier process reserved, or 0 if there is no valid record.

    It raises no exceptions.
    """
    payload = records.trusted(path, records.Kind.INCARNATION)
    if payload is None:
        return 0
    try:
        return msgspec.msgpack.decode(payload, type=int) % 2**53
    except msgspec.DecodeError as error:
        log.warning("%s is not used: %s", path, error)
        return 0


class Fellow:
    """This instance's membership of the fleet."""

    def __init__(self, table: dict[str, Any]) -> None:
        """Create the member from the [fleet] table and start it.

        Raises:
            BadConfig: The fleet's key cannot be used.
        """
        from sorrelfront.decisions.fleet.seats import Seat
        from sorrelfront.fleet.envelope import BadKey
        from sorrelfront.fleet.member import Member

        self._path = Path(table["record"]) if table["record"] else None
        self._writer = records.Writer() if self._path is not None else None
        incarnation = load_incarnation(self._path) if self._path is not None else 0
        try:
            self._member = Member(table, incarnation, _version(), self._store_incarnation)
        except BadKey as error:
            raise BadConfig(f"fleet.key_file: {error}") from None
        self._ring_position = Seat(table["member"], int(table["rest_ms"] * 1_000))
        self.council: Council | None = None
        self.copier: Copier | None = None
        self._member.start()

    def copy(self, list_is_numbered: bool, update: Callable[[Update], None]) -> None:
        """Start to replicate server states and drains among the members.

        Args:
            list_is_numbered: Whether this member's list service numbers its states, the same for all members.
            update: Passes a changed server list to the agent.
        """
        from sorrelfront.daemon.ledger import Ledger
        from sorrelfront.fleet.copier import Copier, Ports, changes, settings

        table, view = self._member.table, self._member.carrier.view
        ledger = Ledger(Path(table["copies_record"])) if table["copies_record"] else None
        stored = changes(ledger.load()) if ledger is not None else []

        async def write(payloads: list[bytes]) -> None:
            if ledger is not None:
                await asyncio.to_thread(ledger.write, payloads)

        async def snapshot(payloads: list[bytes]) -> None:
            if ledger is not None:
                await asyncio.to_thread(ledger.snapshot, payloads)

        ports = Ports(
            say=self._member.keep(lambda sender, data: copier.hear(sender, data)),
            members=view.alive, known=lambda: set(view.members), write=write, snapshot=snapshot,
            wants_snapshot=lambda: ledger is not None and ledger.wants_snapshot, update=update,
        )  # fmt: skip
        copier = Copier(
            table["member"], "registry" if list_is_numbered else "", settings(table), ports, stored
        )
        self.copier = copier
        copier.start()

    def govern(self, agent: GatedAgent, governed: Governed) -> None:
        """Take part in the fleet's policy.

        Args:
            agent: It checks the policy before it decides on a request.
            governed: It applies the version that is in force.
        """
        from sorrelfront.fleet.council import Council, Ports

        table, view = self._member.table, self._member.carrier.view
        vote_path, held_path = Path(table["vote_record"]), Path(table["held_record"])
        writer = self._writer
        assert writer is not None  # the configuration is checked to have a state_dir

        async def store_vote(data: bytes) -> None:
            await asyncio.to_thread(records.write, vote_path, records.seal(records.Kind.VOTE, data))

        ports = Ports(
            say=self._member.say, keep=store_vote,
            remember=lambda data: writer.put(held_path, records.seal(records.Kind.HELD, data)),
            members=view.alive, check=governed.refusal, take=governed.take,
            finished=lambda: agent.finished, opened=agent.opened,
        )  # fmt: skip
        self.council = Council(
            table["member"], tuple(table["voters"]), int(table["lease_ms"] * 1_000), ports,
            records.trusted(vote_path, records.Kind.VOTE), records.trusted(held_path, records.Kind.HELD),
        )  # fmt: skip
        agent.council = self.council
        self._member.sit(self.council)
        self.council.start()

    def _store_incarnation(self, incarnation: int) -> None:
        """Store the incarnation; if it is lost, it becomes the one that other members remember, plus one."""
        if self._writer is not None and self._path is not None:
            data = records.seal(records.Kind.INCARNATION, msgspec.msgpack.encode(incarnation))
            self._writer.put(self._path, data)

    def change(self, table: dict[str, Any]) -> None:
        """Apply a new [fleet] table.

        Raises:
            BadConfig: The fleet's key cannot be used.
        """
        from sorrelfront.fleet.envelope import BadKey

        try:
            self._member.change(table)
        except BadKey as error:
            raise BadConfig(f"fleet.key_file: {error}") from None

    def seat(self) -> int | None:
        """Return the new start of this instance's slice of the servers, or None if it is unchanged.

        The start is a point on a ring of `places.POINTS`. Call this periodically.
        """
        if not self._member.table["seats"]:
            return None
        view = self._member.carrier.view
        return self._ring_position.on_view(view.alive(), view.now)

    def told(self, after: int) -> dict[str, Any]:
        """Return all members and the events after this number, for `ctl members`."""
        carrier = self._member.carrier
        return {
            "fleet": self._member.table["name"], "self": carrier.view.me.name,
            "agreeing": carrier.view.agreeing(), "events": carrier.told(after), "members": carrier.members(),
        }  # fmt: skip

    def figures(self) -> dict[str, Any]:
        """Return the status of the membership, the policy and the replication, for `ctl status`."""
        status = self._member.carrier.figures()
        if self.council is not None:
            status["policy"] = self.council.figures()
        if self.copier is not None:
            status["copies"] = self.copier.figures()
        return status

    def close(self, leave: bool) -> None:
        """Stop all of it; `leave`: first announce that this member leaves for good."""
        if self.council is not None:
            self.council.close()
        if self.copier is not None:
            self.copier.close()
        self._member.carrier.close(leave)
        if self._writer is not None:
            self._writer.close()


def _version() -> str:
    import importlib.metadata  # here, as it takes a tenth of an instance's start time

    try:
        return importlib.metadata.version("sorrelfront")
    except importlib.metadata.PackageNotFoundError:
        return ""
