"""What copies say of servers, and what an agent makes of it. No I/O.

An agent goes by its own list service, and by copies only where that is more careful: a server that another
member was told to drain or to be gone is not sent anything new here either, unless this agent's own service
has spoken of a later state of the list; of two starts the later one counts. An agent whose service has not
spoken in this life serves by the copy of the list, once it is level with its peers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from sorrelfront.decisions.fleet.words import Count
from sorrelfront.decisions.interface import Backend, State

TEXT_MOST = 128  # characters of a zone or a kind
SERVERS_MOST = 10_000
DRAIN = "drain/"  # keys of what a member was told of a server, in its own book
PHASES = (State.READY, State.DRAINING, State.GONE)  # from bold to careful

Text = Annotated[str, Meta(max_length=TEXT_MOST)]


class Server(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A server in the list's copy. `phase` counts in PHASES."""

    phase: Annotated[int, Meta(ge=0, le=2)]
    started_us: Count
    zone: Text = ""
    kind: Text = ""
    cell: Annotated[int, Meta(ge=-(2**31), le=2**31)] = 0
    weight: float = 1.0


class Drain(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a member was told of a server, and with which state of the list."""

    seq: Count
    started_us: Count
    phase: Annotated[int, Meta(ge=0, le=2)]


_server = msgspec.msgpack.Decoder(Server)
_drain = msgspec.msgpack.Decoder(Drain)
_encode = msgspec.msgpack.Encoder().encode


def pack(backend: Backend) -> bytes:
    phase = PHASES.index(backend.state)
    return _encode(
        Server(
            phase, backend.started_us, backend.zone[:TEXT_MOST], backend.kind[:TEXT_MOST], backend.cell,
            backend.weight,
        )
    )  # fmt: skip


def unpack(name: str, value: bytes) -> Backend | None:
    """None if it is none: what another version of the program wrote."""
    server = _decoded(_server, value)
    if server is None:
        return None
    return Backend(
        name, server.zone, server.kind, server.cell, PHASES[server.phase], server.weight, server.started_us
    )


def pack_drain(seq: int, backend: Backend) -> bytes:
    return _encode(Drain(seq, backend.started_us, PHASES.index(backend.state)))


def unpack_drain(value: bytes) -> Drain | None:
    return _decoded(_drain, value)  # type: ignore[no-any-return]


def _decoded(decoder: msgspec.msgpack.Decoder[Any], value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return None


def merge(one: bytes, other: bytes) -> bytes:
    """Of two values under one state of the list: the later start, the more careful phase, and of labels the
    higher ones. Commutative, associative, idempotent; one that cannot be read yields to one that can."""
    left, right = _decoded(_server, one), _decoded(_server, other)
    if left is None or right is None:
        return max(one, other) if left is right else one if right is None else other
    labels = max((item.zone, item.kind, item.cell, item.weight) for item in (left, right))
    return _encode(Server(max(left.phase, right.phase), max(left.started_us, right.started_us), *labels))


class Seen(NamedTuple):
    """One server as the copies have it: the list's word, and what members were told, each with the state of
    the list that it came with."""

    seq: int
    listed: Backend | None
    drains: tuple[Drain, ...] = ()


class Careful:
    """One agent's servers: what its own service says, as copies leave it."""

    def __init__(self) -> None:
        self.seq = 0  # of its own service's latest word; 0: it has not spoken
        self.own: dict[str, Backend] = {}
        self.told: dict[str, Backend] = {}  # as the agent has it

    def heard(self, seq: int, complete: bool, backends: Iterable[Backend]) -> None:
        """Its own service speaks."""
        self.seq = seq
        if complete:
            self.own = {}
        for backend in backends:
            if backend.state is State.GONE:
                self.own.pop(backend.id, None)
            elif backend.id in self.own or len(self.own) < SERVERS_MOST:
                self.own[backend.id] = backend

    def view(self, name: str, seen: Seen | None) -> Backend:
        """What the agent is to hold of a server that its own service lists."""
        own = self.own[name]
        if seen is None:
            return own
        phase, started_us = PHASES.index(own.state), own.started_us
        if seen.seq > self.seq:
            if seen.listed is None:
                phase = max(phase, PHASES.index(State.DRAINING))  # it is gone from a later list
            elif seen.listed.started_us >= started_us:
                phase = max(phase, PHASES.index(seen.listed.state))
                started_us = seen.listed.started_us
        for drain in seen.drains:
            if drain.seq > self.seq and drain.started_us >= own.started_us:
                phase = max(phase, min(drain.phase, PHASES.index(State.DRAINING)))
        return own._replace(state=PHASES[phase], started_us=started_us)

    def changes(self, seen: Mapping[str, Seen]) -> list[Backend]:
        """Servers that the agent is to hold otherwise than it was told, by its own service and by copies."""
        found = []
        for name in self.own:
            now = self.view(name, seen.get(name))
            if self.told.get(name) != now:
                self.told[name] = now
                found.append(now)
        for name in [name for name in self.told if name not in self.own]:
            found.append(self.told.pop(name)._replace(state=State.GONE))
        return found
