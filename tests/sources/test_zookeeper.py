"""The source between a scripted ensemble and a balancer's ear: each hard case of ephemeral nodes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from sorrelfront.agent import Agent, Clock
from sorrelfront.decisions import membership, places
from sorrelfront.decisions.interface import State
from sorrelfront.decisions.membership import Answering
from sorrelfront.fronts.http1 import Listener
from sorrelfront.lab.http1 import PATIENCE_S, Backend, answer, connect, request, table
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.registrar import Registrar
from sorrelfront.lists import Malformed, parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.net.budget import BodyBudget, Descriptors
from sorrelfront.net.jute import Stat
from sorrelfront.platform.config import parse
from sorrelfront.sources import zookeeper as source
from sorrelfront.sources.zookeeper import Ephemeral, Terms, parse_record
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import until

PATH = "/services/stock"
SESSION_S = 0.6


class Ear:
    """An instance's source, and what its balancer is told."""

    def __init__(self, ensemble: Ensemble, seed: int = 1, fleet: str = "", suspect_s: float = 5.0) -> None:
        self.hosts = tuple(parse_address(host) for host in ensemble.hosts.split(","))
        self.states: dict[str, State] = {}
        self.started: dict[str, int] = {}
        self.history: list[tuple[float, str, State]] = []
        self.answering: dict[str, Answering] = {}
        self.sits: list[int | None] = []
        terms = Terms(
            net.Terms(self.hosts, SESSION_S), PATH, fleet,
            membership.Terms(int(suspect_s * 1e6), 200_000, 5_000_000),
            places.Terms(hole_us=300_000, keep_us=1_000_000, spread_us=20_000),
        )  # fmt: skip
        self.source = Ephemeral(
            terms, seed, f"i{seed}", Clock(), lambda name, _: self.answering.get(name, Answering.UNKNOWN),
            self.hear, self.sits.append,
        )  # fmt: skip
        self.source.subscribe()

    def hear(self, update: Update) -> None:
        if update.complete:
            self.states.clear()
        for backend in update.backends:
            self.states[backend.id] = backend.state
            self.started[backend.id] = backend.started_us
            self.history.append((asyncio.get_running_loop().time(), backend.id, backend.state))

    @property
    def ready(self) -> set[str]:
        return {name for name, state in self.states.items() if state is State.READY}


class Scene:
    def __init__(self, ensemble: Ensemble, registrar: Registrar) -> None:
        self.ensemble, self.registrar = ensemble, registrar
        self.ears: list[Ear] = []

    def ear(self, **more: Any) -> Ear:
        made = Ear(self.ensemble, seed=len(self.ears) + 1, **more)
        self.ears.append(made)
        return made

    async def servers(self, count: int) -> set[str]:
        for at in range(count):
            await self.registrar.register(f"b{at}", f"127.0.0.1:{9_000 + at}")
        return {f"b{at}" for at in range(count)}


@contextlib.asynccontextmanager
async def scene(members: int = 1) -> AsyncIterator[Scene]:
    ensemble = await Ensemble(members).start()
    registrar = Registrar(ensemble.hosts, PATH, SESSION_S)
    made = Scene(ensemble, registrar)
    try:
        await registrar.make_path()
        yield made
    finally:
        for ear in made.ears:
            ear.source.close()
        await registrar.close()
        await ensemble.stop()


def play(what: Callable[[Scene], Awaitable[None]], members: int = 1) -> None:
    async def run() -> None:
        async with asyncio.timeout(PATIENCE_S), scene(members) as made:
            await what(made)

    asyncio.run(run())


def test_a_drain_by_record_and_one_that_leaves_reach_the_balancer() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(6)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        await made.registrar.drain("b1")
        await until(lambda: ear.states["b1"] is State.DRAINING)
        await made.registrar.leave("b2")
        await until(lambda: ear.states["b2"] is State.DRAINING)
        assert ear.ready == everyone - {"b1", "b2"}

    play(what)


def test_a_session_that_expires_while_its_server_answers_costs_a_drain_and_comes_back_warm() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(6)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        made.ensemble.expire(made.registrar.servers["b3"].session.id)
        await until(lambda: ear.states["b3"] is State.DRAINING or len(ear.history) > 6)
        await until(lambda: ear.ready == everyone)  # it has registered again
        assert ear.started["b3"] == 1_000_000

    play(what)


def test_a_server_that_dies_while_its_session_lives_costs_no_request() -> None:
    """The list says ready for as long; the balancer goes by what attempts show."""

    async def what(made: Scene) -> None:
        backends = [await Backend(answer(b"served")).start() for _ in range(3)]
        for at, backend in enumerate(backends):
            await made.registrar.register(f"b{at}", backend.address)
        config = parse(table("127.0.0.1:9", []))
        descriptors = Descriptors(config.sockets)
        upstream = Upstream(descriptors.backends, config.idle_us, config.settings.connect_timeout_us)
        hosts = tuple(parse_address(host) for host in made.ensemble.hosts.split(","))
        terms = Terms(net.Terms(hosts, SESSION_S), PATH)

        def source(_: Any, on_update: Any, __: Any) -> Ephemeral:
            return Ephemeral(terms, 1, "i0", Clock(), lambda *_: Answering.UNKNOWN, on_update)

        agent = Agent(config, upstream, source)
        listener = Listener(agent, ("127.0.0.1", 0), descriptors, BodyBudget(config.memory_bytes))
        agent.start()
        await until(lambda: len(agent.balancer.ready) == 3)
        # The process is gone, and its session is kept alive, as by a process that hangs half dead.
        backends[1].stop()
        client = await connect(listener.address)
        for number in range(30):
            client.send(request(f"r{number}"))
            assert (await client.answer())[0] == 200
        assert f"{PATH}/b1" in made.ensemble.tree.nodes and len(agent.balancer.ready) == 3
        made.registrar.crash("b1")
        await until(lambda: len(agent.balancer.ready) == 2)
        client.close()
        agent.close()
        backends[0].stop()
        backends[2].stop()

    play(what)


def test_the_whole_list_vanishes_and_comes_back_with_a_drain_hidden_in_it() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(8)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        await made.registrar.drain("b5")
        await until(lambda: ear.states["b5"] is State.DRAINING)
        before = len(ear.history)
        made.registrar.servers["b5"].again = False
        made.ensemble.expire_under(PATH)
        await until(lambda: len(made.ensemble.tree.nodes[PATH].children) == 7)
        await until(lambda: ear.source.trust.suspects == 0 and not ear.source._dirty)
        assert ear.ready == everyone - {"b5"}
        assert [item for item in ear.history[before:] if item[2] is not State.READY] == []

    play(what)


def test_a_service_restored_from_nothing_takes_no_server_away() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(5)
        ear = made.ear(suspect_s=20.0)
        await until(lambda: ear.ready == everyone)
        made.ensemble.restore_from_nothing()
        await until(lambda: ear.source.trust.suspects == 5)
        assert ear.ready == everyone
        await made.registrar.make_path()  # whoever owns the path makes it anew; the servers register again
        await until(lambda: ear.source.trust.suspects == 0)
        assert ear.ready == everyone and all(state is State.READY for _, _, state in ear.history)

    play(what)


def test_what_stays_away_after_a_crowd_leaves_in_bounded_time() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(6)
        ear = made.ear(suspect_s=1.0)
        await until(lambda: ear.ready == everyone)
        for item in made.registrar.servers.values():
            item.again = item.name == "b0"
        made.ensemble.expire_under(PATH)
        await until(lambda: ear.source.trust.suspects == 5)
        assert ear.ready == everyone
        await until(lambda: ear.ready == {"b0"})

    play(what)


def test_a_list_that_flaps_twice_in_a_second_is_not_felt() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(5)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        before = len(ear.history)
        for _ in range(2):
            made.ensemble.expire_under(PATH)
            await until(lambda: len(made.ensemble.tree.nodes[PATH].children) == 5)
        await until(lambda: ear.source.trust.suspects == 0 and len(ear.source._names) == 5)
        assert ear.ready == everyone
        assert [item for item in ear.history[before:] if item[2] is not State.READY] == []

    play(what)


def test_a_watch_that_fires_before_the_answer_it_belongs_to(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers are late, watches are not: what changes between the read and its answer is read again."""
    monkeypatch.setattr(source, "REFRESH_S", 1e6)  # nor is it found by the read that needs no reason

    async def what(made: Scene) -> None:
        everyone = await made.servers(3)
        member, tree = made.ensemble.members[0], made.ensemble.tree
        member.answer_delay_s = 0.2
        asked = member.asked["GET_CHILDREN2"]
        ear = made.ear()
        await until(lambda: member.asked["GET_CHILDREN2"] > asked)  # read, and not answered yet
        late = json.dumps({"id": "late", "address": "127.0.0.1:8999"}).encode()
        tree.create(f"{PATH}/late", late, tree.nodes["/"].acls, 0, 0, set(), 0)
        await until(lambda: ear.ready == everyone | {"late"})

    play(what)


def test_a_change_between_two_watches_and_watches_that_come_late() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(4)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        made.ensemble.members[0].watch_delay_s = 0.08
        made.registrar.servers["b2"].record["zone"] = "z"
        for phase in ("ready", "ready", "draining"):
            made.registrar.servers["b2"].record["phase"] = phase
            record = json.dumps(made.registrar.servers["b2"].record).encode()
            await made.registrar.servers["b2"].session.put(f"{PATH}/b2", record)
        await made.registrar.leave("b3")
        await until(lambda: ear.ready == {"b0", "b1"})

    play(what)


def test_a_drain_written_just_before_the_node_goes_is_a_drain_in_a_crowd_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(8)
        ear = made.ear(suspect_s=1_000.0)  # told as a suspect, it would stay
        await until(lambda: ear.ready == everyone)
        # It says so and is gone in the same moment as everybody else.
        made.registrar.servers["b6"].again = False
        record = json.dumps({"id": "b6", "address": "127.0.0.1:9006", "phase": "draining"}).encode()
        made.ensemble.tree.set(f"{PATH}/b6", record, -1, set(), 0)
        made.ensemble.expire_under(PATH)
        await until(lambda: ear.states["b6"] is State.DRAINING)
        await until(lambda: ear.source.trust.suspects == 0)
        assert ear.ready == everyone - {"b6"}

    play(what)


def test_watches_are_set_again_at_a_member_that_lags() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(5)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        behind = made.ensemble.members[0]
        behind.freeze()
        await made.registrar.leave("b1")
        await until(lambda: "b1" not in ear.ready)
        told = len(ear.history)
        for member in made.ensemble.members:
            member.drop()
        await made.registrar.drain("b2")
        await until(lambda: "b2" not in ear.ready)
        behind.thaw()
        assert ear.ready == everyone - {"b1", "b2"}
        assert all(state is not State.READY for _, _, state in ear.history[told:])

    play(what, members=3)


def test_our_own_session_expires_in_a_partition() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(5)
        ear = made.ear(fleet="/fleet")
        await until(lambda: ear.ready == everyone and ear.sits == [0])
        assert ear.source._session is not None
        made.ensemble.stall()
        made.ensemble.expire(ear.source._session.id)
        await until(lambda: ear.source.figures()["service"] == "silent")
        assert ear.ready == everyone
        made.ensemble.go_on()
        await until(lambda: ear.source.figures()["service"] == "connected" and ear.source.seats is not None
                    and ear.source.seats.places.held == 0)  # fmt: skip
        await made.registrar.drain("b3")
        await until(lambda: ear.ready == everyone - {"b3"})
        assert ear.sits == [0]  # it kept its place

    play(what)


def test_an_address_reused_by_a_new_server_within_one_read() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(5)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        made.ensemble.members[0].stall()
        made.ensemble.tree.close(made.registrar.servers["b1"].session.id)
        made.registrar.servers["b1"].again = False
        record = json.dumps({"id": "new", "address": "127.0.0.1:9001", "started_ms": 5_000}).encode()
        made.ensemble.tree.create(f"{PATH}/new", record, made.ensemble.tree.nodes["/"].acls, 0, 0, set(), 0)
        made.ensemble.go_on()
        await until(lambda: "new" in ear.ready)
        assert ear.states["b1"] is State.GONE and ear.started["new"] == 5_000_000

    play(what)


def test_a_record_that_cannot_be_read_is_one_log_line_and_hides_nobody(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def what(made: Scene) -> None:
        tree = made.ensemble.tree
        everyone = await made.servers(3)
        bads = (b"", b"{", b"[]", b'{"id": 7}', b"x" * 5_000, b'{"id":"a","address":"here"}')
        for at, bad in enumerate(bads):
            tree.create(f"{PATH}/bad{at}", bad, tree.nodes["/"].acls, 0, 0, set(), 0)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        reads = ear.source.reads
        await made.registrar.drain("b0")
        await until(lambda: ear.ready == everyone - {"b0"} and ear.source.reads > reads)

    with caplog.at_level(logging.WARNING, "sorrelfront.sources.zookeeper"):
        play(what)
    lines = [record for record in caplog.records if "left out" in record.getMessage()]
    assert len(lines) == 6 and not any(record.exc_info for record in lines)


def test_fifty_instances_lose_and_regain_the_service_together() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(10)
        ears = [made.ear(fleet="/fleet") for _ in range(50)]
        await until(lambda: all(ear.ready == everyone for ear in ears))

        def held() -> set[int | None]:
            return {ear.source.seats.places.held for ear in ears if ear.source.seats is not None}

        await until(lambda: held() == set(range(50)))
        sits = [list(ear.sits) for ear in ears]
        before = dict(made.ensemble.asked)
        made.ensemble.members[0].vanish()
        await until(lambda: all(ear.source.figures()["service"] == "silent" for ear in ears))
        await made.ensemble.members[0].come_back()
        await until(lambda: all(ear.source.figures()["service"] == "connected" for ear in ears))
        await made.registrar.drain("b4")
        await until(lambda: all(ear.ready == everyone - {"b4"} for ear in ears))
        asked = {name: count - before.get(name, 0) for name, count in made.ensemble.asked.items()}
        # Watches were set again, in one request each; nothing was read but what had changed, and the seats.
        assert asked["SET_WATCHES"] >= 50
        assert held() == set(range(50))
        assert asked.get("GET_DATA", 0) <= 3 * 50 and asked.get("GET_CHILDREN2", 0) <= 4 * 50, asked
        assert [list(ear.sits) for ear in ears] == sits

    play(what)


def test_seats_follow_who_comes_and_goes() -> None:
    async def what(made: Scene) -> None:
        await made.servers(1)
        ears = [made.ear(fleet="/fleet/seats") for _ in range(4)]
        await until(lambda: all(ear.sits for ear in ears))
        assert sorted(ear.sits[-1] for ear in ears if ear.sits[-1] is not None) == [0, 1, 2, 3]
        first = next(ear for ear in ears if ear.sits[-1] == 0)
        last = next(ear for ear in ears if ear.sits[-1] == 3)
        first.source.close()
        ears.remove(first)
        await until(lambda: last.sits[-1] == 0)
        assert sorted(sit for ear in ears for sit in ear.sits[1:] if sit is not None) == [0]
        nodes = made.ensemble.tree.nodes
        await until(lambda: nodes["/fleet/seats"].children == {"seat-0000", "seat-0001", "seat-0002"})

    play(what)


def test_other_terms_are_gone_by_without_losing_the_list() -> None:
    async def what(made: Scene) -> None:
        everyone = await made.servers(5)
        ear = made.ear()
        await until(lambda: ear.ready == everyone)
        terms = ear.source._terms
        session = ear.source._session
        ear.source.change(terms)
        assert ear.source._session is session
        changed = Terms(terms.session, "/elsewhere", terms.fleet, terms.trust, terms.seats)
        ear.source.change(changed)
        await until(lambda: ear.source.trust.suspects == 5)
        assert ear.ready == everyone and ear.source._session is not session

    play(what)


STAT = Stat(1, 7, 3_000, 0, 0, 0, 0, 5, 0, 0, 0)


def test_records() -> None:
    member = parse_record(b'{"id":"a","address":"127.0.0.1:80"}', STAT)
    # Who does not say since when it runs is as old as its node.
    assert member == ("a", ("127.0.0.1", 80), "", "", 0, 1.0, 3_000_000, False, 7)
    full = {"id": "a", "address": "127.0.0.1:80", "phase": "draining", "zone": "z", "kind": "k", "cell": 3,
            "size": 2, "started_ms": 9}  # fmt: skip
    assert parse_record(json.dumps(full).encode(), STAT).draining
    for key, bad in (
        ("id", ""), ("id", None), ("id", "x" * 200), ("address", "a:1"), ("address", None), ("phase", "gone"),
        ("cell", -1), ("cell", True), ("size", 0), ("size", "1"), ("started_ms", 2**60), ("zone", 5),
    ):  # fmt: skip
        with pytest.raises(Malformed):
            parse_record(json.dumps({**full, key: bad}).encode(), STAT)


def test_more_children_than_are_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source, "CHILDREN_MOST", 3)

    async def what(made: Scene) -> None:
        await made.servers(5)
        ear = made.ear()
        await until(lambda: len(ear.ready) == 3)

    play(what)


def test_a_claim_whose_answer_was_lost_leaves_one_seat_and_not_two() -> None:
    async def what(made: Scene) -> None:
        await made.servers(1)
        first = made.ear(fleet="/fleet")
        await until(lambda: first.sits == [0])
        member = made.ensemble.members[0]
        nodes = made.ensemble.tree.nodes
        member.answer_delay_s = 0.15
        ear = made.ear(fleet="/fleet")
        await until(lambda: "/fleet/seat-0001" in nodes)
        member.drop()
        member.answer_delay_s = 0.0
        await until(lambda: ear.source.seats is not None and ear.source.seats.places.held is not None)
        mine = ear.source._session
        assert mine is not None

        def owned() -> list[str]:
            return [path for path, node in nodes.items() if node.owner == mine.id]

        await until(lambda: len(owned()) == 1)
        assert ear.source.seats is not None
        assert owned() == [f"/fleet/seat-{ear.source.seats.places.held:04d}"]

    play(what)


def test_a_path_that_is_not_there_is_no_empty_list() -> None:
    async def what(made: Scene) -> None:
        made.ensemble.tree.delete(PATH, -1, set())
        ear = made.ear()
        await until(lambda: ear.source.reads >= 2)
        assert not ear.history and ear.source.figures()["list_age_ms"] is None
        await made.registrar.make_path()
        everyone = await made.servers(2)
        await until(lambda: ear.ready == everyone)

    play(what)
