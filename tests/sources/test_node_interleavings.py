"""Every order of a few changes and faults of one node among the requests of the source that reads it.

A model says what stands in the end: the phase, start time and address of the last node. A last change, made
when all is quiet, must be noticed too: it shows that a watch stands on that node.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Awaitable, Callable, Iterator
from itertools import combinations_with_replacement
from typing import Any, NamedTuple

import pytest

from sorrelfront.decisions import membership
from sorrelfront.decisions.interface import State
from sorrelfront.lab.zookeeper.ensemble import Member, Peer
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import Op, Reader, Writer
from sorrelfront.sources import zookeeper as source
from tests.sources.ephemeral import PATH, SESSION_S, Environment, Instance, run_scenario

MAX_EVENTS = int(os.environ.get("INTERLEAVED_EVENTS", "3"))  # of a play; 4 takes ten times as long
PARTS = 4  # tests that may run side by side
POSITIONS = 6  # before and right after the answer of each of the first three requests
PLAYS_PER_SOURCE = 30  # a new source then: it keeps what it knew of the servers of earlier plays
QUIET_S = 0.02  # without a request for so long, the events left are applied
DELETE, CREATE, WRITE, LOSE, DROP = "delete", "create", "write", "lose watches", "drop connections"
WHILE_PRESENT = (DELETE, WRITE, LOSE, DROP)
WHILE_ABSENT = (CREATE, LOSE, DROP)


class Event(NamedTuple):
    """A change or fault, and after how many steps of the source's requests it comes."""

    position: int
    kind: str


def kinds(count: int, present: bool) -> Iterator[tuple[str, ...]]:
    """Return each possible sequence of this many events."""
    if not count:
        yield ()
        return
    for kind in WHILE_PRESENT if present else WHILE_ABSENT:
        for rest in kinds(count - 1, kind == CREATE or (present and kind != DELETE)):
            yield (kind, *rest)


def plays(with_lost_watches: bool) -> list[tuple[Event, ...]]:
    """Return all plays in which watches are lost, or not; the first event comes while all is quiet."""
    found = []
    for count in range(1, MAX_EVENTS + 1):
        for later in combinations_with_replacement(range(POSITIONS), count - 1):
            positions = (0, *later)
            for sequence in kinds(count, present=True):
                if (LOSE in sequence) is with_lost_watches:
                    found.append(tuple(Event(*pair) for pair in zip(positions, sequence, strict=True)))
    return found


class Play:
    """One node, changed by the events of one play; also the model of what stands."""

    def __init__(self, env: Environment, number: int, events: tuple[Event, ...]) -> None:
        self._env, self._path = env, f"{PATH}/n{number}"
        self.name = f"b{number}"
        self._events = [*events]
        self.position = 0
        self._incarnation = 0
        self.record: dict[str, Any] | None = None

    def advance(self, step: int = 1) -> None:
        """Apply the events that come at the next step."""
        self.position += step
        while self._events and self._events[0].position <= self.position:
            self.apply(self._events.pop(0).kind)

    @property
    def finished(self) -> bool:
        """Whether all events have been applied."""
        return not self._events

    def apply(self, kind: str) -> None:
        """Apply one event to the service and to the model."""
        tree, member = self._env.ensemble.tree, self._env.ensemble.members[0]
        match kind:
            case "delete":
                tree.delete(self._path, -1, set())
                self.record = None
            case "create":
                self._incarnation += 1
                self.record = {
                    "id": self.name, "address": f"127.0.0.1:{20_000 + self._incarnation}",
                    "started_ms": 1_000 + self._incarnation, "phase": "ready", "zone": self.name,
                }  # fmt: skip
                data = json.dumps(self.record).encode()
                tree.create(self._path, data, tree.nodes["/"].acls, 0, 0, set(), 0)
            case "write":
                assert self.record is not None
                self.record["phase"] = "ready" if self.record["phase"] == "draining" else "draining"
                tree.set(self._path, json.dumps(self.record).encode(), -1, set(), 0)
            case "lose watches":
                member.lose_watches()
            case _:
                member.drop()

    def holds(self, instance: Instance) -> bool:
        """Whether the instance has the server as its node says, or not ready without a node."""
        state = instance.states.get(self.name)
        if self.record is None:
            return state is not State.READY
        host, _, port = self.record["address"].partition(":")
        return (
            state is (State.READY if self.record["phase"] == "ready" else State.DRAINING)
            and instance.started[self.name] == self.record["started_ms"] * 1_000
            and instance.addresses[self.name] == (host, int(port))
        )


async def settle(play: Play, instance: Instance, events: tuple[Event, ...]) -> None:
    """Wait until the instance has what stands. Raises AssertionError after a whole session and more."""
    loop = asyncio.get_running_loop()
    until = loop.time() + 10 * SESSION_S
    while not play.holds(instance):
        assert loop.time() < until, (events, play.record, instance.states.get(play.name))
        await asyncio.sleep(0.001)


class Interleaver:
    """Advances the play under way with each step of the source's requests at the service."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.instance: Instance | None = None
        self.play: Play | None = None
        execute, handle = Member._execute, Member._handle_request

        def execute_and_advance(member: Member, op: Op, request: Reader, peer: Peer) -> Writer:
            self._advance(peer)
            return execute(member, op, request, peer)

        async def handle_and_advance(member: Member, reader: asyncio.StreamReader, peer: Peer) -> bool:
            stays_open = await handle(member, reader, peer)
            self._advance(peer)  # in the step that has written the answer
            return stays_open

        monkeypatch.setattr(Member, "_execute", execute_and_advance)
        monkeypatch.setattr(Member, "_handle_request", handle_and_advance)

    def _advance(self, peer: Peer) -> None:
        session = None if self.instance is None else self.instance.source._session
        if self.play is not None and session is not None and peer.session.id == session.id:
            self.play.advance()

    async def run(self, env: Environment, number: int, events: tuple[Event, ...]) -> None:
        """Run one play on a node of its own."""
        assert self.instance is not None
        play = Play(env, number, events)
        play.apply(CREATE)
        await settle(play, self.instance, events)
        self.play = play
        play.advance(0)
        while not play.finished:
            before = play.position
            await asyncio.sleep(QUIET_S)
            if play.position == before:
                play.advance(POSITIONS)
        self.play = None
        await settle(play, self.instance, events)
        play.apply(CREATE if play.record is None else WRITE)
        await settle(play, self.instance, events)
        assert play.record is not None
        if play.record["phase"] == "ready":
            play.apply(
                WRITE
            )  # else it could count as one of many that are lost at once, and be kept for a while
            await settle(play, self.instance, events)
        play.apply(DELETE)


@pytest.fixture(autouse=True)
def _without_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the waits that a play would otherwise spend, and keep the periodic read away."""
    monkeypatch.setattr(source, "REFRESH_INTERVAL_S", 1e6)
    monkeypatch.setattr(source, "MIN_CHILDREN_INTERVAL_S", 0.0)
    monkeypatch.setattr(net, "BACKOFF_RANGE_S", (0.001, 0.01))
    monkeypatch.setattr(membership, "SETTLE_DELAY_US", 1_000)


@pytest.mark.parametrize("part", range(PARTS))
@pytest.mark.parametrize("with_lost_watches", [False, True])
def test_every_order_of_a_few_changes_and_faults_of_a_node(
    monkeypatch: pytest.MonkeyPatch, with_lost_watches: bool, part: int
) -> None:
    # Only lost watches need the checks; they would hide a change that an event should have reported.
    monkeypatch.setattr(source, "VERIFY_INTERVAL_S", 0.005 if with_lost_watches else 1e6)
    interleaver = Interleaver(monkeypatch)
    chosen = plays(with_lost_watches)[part::PARTS]

    def scenario_of(some: list[tuple[Event, ...]]) -> Callable[[Environment], Awaitable[None]]:
        async def scenario(env: Environment) -> None:
            everyone = await env.servers(3)
            instance = interleaver.instance = env.instance()
            while instance.ready != everyone:
                await asyncio.sleep(0.001)
            for number, events in enumerate(some, start=10):
                await interleaver.run(env, number, events)

        return scenario

    for start in range(0, len(chosen), PLAYS_PER_SOURCE):
        run_scenario(scenario_of(chosen[start : start + PLAYS_PER_SOURCE]))
    assert len(chosen) > 50
