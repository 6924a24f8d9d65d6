"""An instance as a member of its fleet, and the record of its incarnation. What belongs to it is imported
only here, and only if the file has [fleet]."""

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


def kept(path: Path) -> int:
    """The incarnation that an earlier life has reserved; 0 if nothing there can be trusted. Raises
    nothing."""
    payload = records.trusted(path, records.Kind.INCARNATION)
    if payload is None:
        return 0
    try:
        return msgspec.msgpack.decode(payload, type=int) % 2**53
    except msgspec.DecodeError as fault:
        log.warning("%s is not used: %s", path, fault)
        return 0


class Fellow:
    """This instance's part in the fleet."""

    def __init__(self, table: dict[str, Any]) -> None:
        """Raises BadConfig."""
        from sorrelfront.decisions.fleet.seats import Seat
        from sorrelfront.fleet.envelope import BadKey
        from sorrelfront.fleet.member import Member

        self._path = Path(table["record"]) if table["record"] else None
        self._writer = records.Writer() if self._path is not None else None
        first = kept(self._path) if self._path is not None else 0
        try:
            self._member = Member(table, first, _version(), self._keep)
        except BadKey as bad:
            raise BadConfig(f"fleet.key_file: {bad}") from None
        self._seat = Seat(table["member"], int(table["rest_ms"] * 1_000))
        self.council: Council | None = None
        self.copier: Copier | None = None
        self._member.start()

    def copy(self, listed: bool, update: Callable[[Update], None]) -> None:
        """Keep copies with the others. `listed`: this member's list service counts its states, the same for
        all members. `update`: tells the agent of servers."""
        from sorrelfront.daemon.ledger import Ledger
        from sorrelfront.fleet.copier import Copier, Ports, changes, settings

        table, view = self._member.table, self._member.carrier.view
        ledger = Ledger(Path(table["copies_record"])) if table["copies_record"] else None
        kept = changes(ledger.load()) if ledger is not None else []

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
        copier = Copier(table["member"], "registry" if listed else "", settings(table), ports, kept)
        self.copier = copier
        copier.start()

    def govern(self, agent: GatedAgent, governed: Governed) -> None:
        """Take part in the fleet's policy: `agent` asks before it decides, `governed` goes by what is in
        force."""
        from sorrelfront.fleet.council import Council, Ports

        table, view = self._member.table, self._member.carrier.view
        vote, held = Path(table["vote_record"]), Path(table["held_record"])
        writer = self._writer
        assert writer is not None  # the file's check wants a state_dir

        async def keep(data: bytes) -> None:
            await asyncio.to_thread(records.write, vote, records.seal(records.Kind.VOTE, data))

        ports = Ports(
            say=self._member.say, keep=keep,
            remember=lambda data: writer.put(held, records.seal(records.Kind.HELD, data)),
            members=view.alive, check=governed.refusal, take=governed.take,
            finished=lambda: agent.finished, opened=agent.opened,
        )  # fmt: skip
        self.council = Council(
            table["member"], tuple(table["voters"]), int(table["lease_ms"] * 1_000), ports,
            records.trusted(vote, records.Kind.VOTE), records.trusted(held, records.Kind.HELD),
        )  # fmt: skip
        agent.council = self.council
        self._member.sit(self.council)
        self.council.start()

    def _keep(self, incarnation: int) -> None:
        """Lost, it is found out from the others: what they remember of this member, plus one."""
        if self._writer is not None and self._path is not None:
            data = records.seal(records.Kind.INCARNATION, msgspec.msgpack.encode(incarnation))
            self._writer.put(self._path, data)

    def change(self, table: dict[str, Any]) -> None:
        """Raises BadConfig."""
        from sorrelfront.fleet.envelope import BadKey

        try:
            self._member.change(table)
        except BadKey as bad:
            raise BadConfig(f"fleet.key_file: {bad}") from None

    def seat(self) -> int | None:
        """Where this instance's slice of the servers is to begin from now on, on a ring of `places.POINTS`;
        None if nothing changes. Call now and then."""
        if not self._member.table["seats"]:
            return None
        view = self._member.carrier.view
        return self._seat.on_view(view.alive(), view.now)

    def told(self, after: int) -> dict[str, Any]:
        """For `ctl members`: all members, and events after this number."""
        carrier = self._member.carrier
        return {
            "fleet": self._member.table["name"], "self": carrier.view.me.name,
            "agreeing": carrier.view.agreeing(), "events": carrier.told(after), "members": carrier.members(),
        }  # fmt: skip

    def figures(self) -> dict[str, Any]:
        told = self._member.carrier.figures()
        if self.council is not None:
            told["policy"] = self.council.figures()
        if self.copier is not None:
            told["copies"] = self.copier.figures()
        return told

    def close(self, leave: bool) -> None:
        if self.council is not None:
            self.council.close()
        if self.copier is not None:
            self.copier.close()
        self._member.carrier.close(leave)
        if self._writer is not None:
            self._writer.close()


def _version() -> str:
    import importlib.metadata  # takes a tenth of an instance's start

    try:
        return importlib.metadata.version("sorrelfront")
    except importlib.metadata.PackageNotFoundError:
        return ""
