"""Backend lists: parsing of updates, and the addresses and states of the listed backends. No I/O."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Any, NamedTuple

from sorrelfront.decisions import interface as api
from sorrelfront.errors import SorrelfrontError
from sorrelfront.messages import Address, Update

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
STATE_BY_PHASE = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


class MalformedList(SorrelfrontError):
    """A list or an address that cannot be parsed."""

    remedy = (
        "Look at what the list service sends for this server: the fields and their form "
        "stand in the protocol's page."
    )


def parse_address(text: Any) -> Address:
    """Parse an IPv4 address with a port.

    Host names are rejected, because there is no DNS. Raises Malformed.
    """
    host, _, port = str(text).rpartition(":")
    try:
        if PORT_PATTERN.fullmatch(port) and 0 < int(port) < 65_536:
            return str(IPv4Address(host)), int(port)
    except AddressValueError:
        pass
    raise MalformedList(f"not an address: {str(text)[:80]!r}")


def parse_update(value: Any) -> Update:
    """Parse a list in the discovery service's format; unknown fields are ignored. Raises Malformed."""
    try:
        backends, addresses = [], {}
        for member in value["members"]:
            backend = _parse_backend(member)
            backends.append(backend)
            if backend.state is not api.State.GONE:
                addresses[backend.id] = parse_address(member["host_port"])
        return Update(int(value["revision"]), bool(value["complete"]), tuple(backends), addresses)
    except KeyError as missing:
        raise MalformedList(f"{missing.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as fault:
        raise MalformedList(str(fault)) from None


def _parse_backend(member: dict[str, Any]) -> api.Backend:
    state = STATE_BY_PHASE.get(member["phase"])
    if state is None:
        raise MalformedList(f"phase is unknown: {member['phase']!r}")
    return api.Backend(
        id=str(member["id"]),
        zone=str(member.get("locality", "")),
        kind=str(member.get("flavor", "")),
        cell=int(member.get("cell", 0)),
        state=state,
        weight=float(member.get("size", 1.0)),
        started_us=int(member.get("up_since_ms", 0)) * 1000,
    )


class Target(NamedTuple):
    """The process behind the id of a backend; another address or start time is another process."""

    address: Address
    started_us: int


class Directory:
    """Addresses of the listed backends, and which of them accept new requests."""

    def __init__(self) -> None:
        self._addresses: dict[str, Address] = {}
        self._ready: dict[str, Target] = {}

    def apply(self, update: Update) -> dict[str, Address]:
        """Apply an update from the discovery service.

        Returns the addresses, by server, of the processes that no longer accept new requests: they drain, are
        gone, or were replaced by a restart or at another address.
        """
        ready = self._ready
        if update.complete:
            self._addresses, self._ready = {}, {}
        else:
            self._addresses, self._ready = dict(self._addresses), dict(ready)
        self._addresses.update(update.addresses)
        for backend in update.backends:
            address = self._addresses.get(backend.id)
            if backend.state is api.State.READY and address is not None:
                self._ready[backend.id] = Target(address, backend.started_us)
            else:
                self._ready.pop(backend.id, None)
            if backend.state is api.State.GONE:
                self._addresses.pop(backend.id, None)
        return {name: target.address for name, target in ready.items() if self._ready.get(name) != target}

    def target(self, backend: str) -> Target | None:
        """Return the process that new requests for a backend go to, or None if it accepts none."""
        return self._ready.get(backend)
