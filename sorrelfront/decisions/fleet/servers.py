"""Replicated state of servers, and what an agent makes of it.

This module does no I/O. An agent goes by the list of its own list service, and by replicas only where they
are more cautious. A server that another member was told to drain, or that it was told is gone, gets nothing
new from this agent either, unless the agent's own service has sent a later version of the list. Nor does one
that a later version has with an earlier start, as another process then; a later start is taken over.

An agent whose service has sent nothing in this incarnation serves by the replica of the list, once it has
caught up with its peers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from sorrelfront.decisions.fleet.messages import Count
from sorrelfront.decisions.interface import Backend, State

MAX_TEXT_CHARS = 128  # of a zone or a kind
MAX_SERVERS = 10_000
DRAIN_PREFIX = "drain/"  # keys in a member's own map for what it was told of a server
PHASES = (State.READY, State.DRAINING, State.GONE)  # from the least to the most cautious

Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]


class Server(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A server in the replicated list; `phase` is an index into PHASES."""

    phase: Annotated[int, Meta(ge=0, le=2)]
    started_us: Count
    zone: Text = ""
    kind: Text = ""
    cell: Annotated[int, Meta(ge=-(2**31), le=2**31)] = 0
    weight: float = 1.0


class Drain(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a member was told of a server, and with which version of the list."""

    seq: Count
    started_us: Count
    phase: Annotated[int, Meta(ge=0, le=2)]


_server = msgspec.msgpack.Decoder(Server)
_drain = msgspec.msgpack.Decoder(Drain)
_encode = msgspec.msgpack.Encoder().encode


def encode(backend: Backend) -> bytes:
    """Encode a server for the replicated list."""
    phase = PHASES.index(backend.state)
    return _encode(
        Server(
            phase, backend.started_us, backend.zone[:MAX_TEXT_CHARS], backend.kind[:MAX_TEXT_CHARS],
            backend.cell, backend.weight,
        )
    )  # fmt: skip


def decode(name: str, value: bytes) -> Backend | None:
    """Decode a server; None if the value cannot be read, as after another program version wrote it."""
    server = _decode_or_none(_server, value)
    if server is None:
        return None
    return Backend(
        name, server.zone, server.kind, server.cell, PHASES[server.phase], server.weight, server.started_us
    )


def encode_drain(seq: int, backend: Backend) -> bytes:
    """Encode the phase of a server, as told with version `seq` of the list."""
    return _encode(Drain(seq, backend.started_us, PHASES.index(backend.state)))


def decode_drain(value: bytes) -> Drain | None:
    """Decode an entry on a drain; None if it cannot be read."""
    return _decode_or_none(_drain, value)  # type: ignore[no-any-return]


def _decode_or_none(decoder: msgspec.msgpack.Decoder[Any], value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return None


def merge(one: bytes, other: bytes) -> bytes:
    """Merge two values of a server under one version of the list.

    The later start, the more cautious phase and the higher labels win. Commutative, associative and
    idempotent; a value that cannot be read yields to one that can.
    """
    left, right = _decode_or_none(_server, one), _decode_or_none(_server, other)
    if left is None or right is None:
        return max(one, other) if left is right else one if right is None else other
    labels = max((item.zone, item.kind, item.cell, item.weight) for item in (left, right))
    return _encode(Server(max(left.phase, right.phase), max(left.started_us, right.started_us), *labels))


class ReplicatedServer(NamedTuple):
    """One server as the replicas have it.

    It has the entry of the list with its version, and what members were told, each with the version of the
    list that it came with.
    """

    seq: int
    listed: Backend | None
    drains: tuple[Drain, ...] = ()


class ConservativeView:
    """One agent's servers: those of its own list service, restricted by the replicas."""

    def __init__(self) -> None:
        self.seq = 0  # of the own service's latest update; 0: none was received
        self.own_list: dict[str, Backend] = {}
        self.delivered: dict[str, Backend] = {}  # as the agent received it

    def on_list(self, seq: int, complete: bool, backends: Iterable[Backend]) -> None:
        """Apply an update from the agent's own list service."""
        self.seq = seq
        if complete:
            self.own_list = {}
        for backend in backends:
            if backend.state is State.GONE:
                self.own_list.pop(backend.id, None)
            elif backend.id in self.own_list or len(self.own_list) < MAX_SERVERS:
                self.own_list[backend.id] = backend

    def effective(self, name: str, replicated: ReplicatedServer | None) -> Backend:
        """Return the state that the agent is to use for a server on its own list."""
        listed = self.own_list[name]
        if replicated is None:
            return listed
        phase, started_us = PHASES.index(listed.state), listed.started_us
        if replicated.seq > self.seq:
            if replicated.listed is None:
                phase = max(phase, PHASES.index(State.DRAINING))  # a later list does not have it
            elif replicated.listed.started_us >= started_us:
                phase = max(phase, PHASES.index(replicated.listed.state))
                started_us = replicated.listed.started_us
            else:
                # A later process with an earlier start, by a clock that was set back: the one that the own
                # service has sent is gone.
                phase = max(phase, PHASES.index(State.DRAINING))
        for drain in replicated.drains:
            if drain.seq > self.seq and drain.started_us >= listed.started_us:
                phase = max(phase, min(drain.phase, PHASES.index(State.DRAINING)))
        return listed._replace(state=PHASES[phase], started_us=started_us)

    def changes(self, replicated: Mapping[str, ReplicatedServer]) -> list[Backend]:
        """Return the servers whose effective state differs from the one delivered last."""
        changed = []
        for name in self.own_list:
            effective = self.effective(name, replicated.get(name))
            if self.delivered.get(name) != effective:
                self.delivered[name] = effective
                changed.append(effective)
        for name in [name for name in self.delivered if name not in self.own_list]:
            changed.append(self.delivered.pop(name)._replace(state=State.GONE))
        return changed
