"""The ephemeral-node source against a scripted test ensemble: each hard case, up to the reported list."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from sorrelfront.agent import Agent, Clock
from sorrelfront.decisions.interface import State
from sorrelfront.decisions.membership import Answering
from sorrelfront.fronts.http1 import Listener
from sorrelfront.lab.http1 import Backend, answer, connect, make_config, request
from sorrelfront.lists import MalformedList, parse_address
from sorrelfront.net import zookeeper as net
from sorrelfront.net.budget import Descriptors, MemoryBudget
from sorrelfront.net.jute import Stat
from sorrelfront.platform.config import parse
from sorrelfront.sources import zookeeper as source
from sorrelfront.sources.zookeeper import EphemeralNodeSource, SourceSettings, parse_record
from sorrelfront.upstreams.http1 import Upstream
from tests.loopback import until
from tests.sources.ephemeral import PATH, SESSION_S, Environment, run_scenario


def test_a_drain_by_record_and_a_leave_reach_the_balancer() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(6)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        await env.registrar.drain("b1")
        await until(lambda: instance.states["b1"] is State.DRAINING)
        await env.registrar.deregister("b2")
        await until(lambda: instance.states["b2"] is State.DRAINING)
        assert instance.ready == everyone - {"b1", "b2"}

    run_scenario(scenario)


def test_a_server_whose_session_expires_is_drained_and_returns_warm() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(6)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        env.ensemble.expire(env.registrar.servers["b3"].session.id)
        await until(lambda: instance.states["b3"] is State.DRAINING or len(instance.history) > 6)
        await until(lambda: instance.ready == everyone)  # it has registered again
        assert instance.started["b3"] == 1_000_000

    run_scenario(scenario)


def test_a_server_that_dies_while_its_session_lives_costs_no_request() -> None:
    """A dead server stays listed while its session lives; failed attempts alone must keep requests off it."""

    async def scenario(env: Environment) -> None:
        backends = [await Backend(answer(b"served")).start() for _ in range(3)]
        for at, backend in enumerate(backends):
            await env.registrar.register(f"b{at}", backend.address)
        config = parse(make_config("127.0.0.1:9", []))
        descriptors = Descriptors(config.sockets)
        memory = MemoryBudget(config.memory_bytes, config.sockets)
        upstream = Upstream(descriptors.backends, config.idle_us, config.settings.connect_timeout_us, memory)
        hosts = tuple(parse_address(host) for host in env.ensemble.hosts.split(","))
        settings = SourceSettings(net.SessionSettings(hosts, SESSION_S), PATH)

        def source(_: Any, on_update: Any, __: Any) -> EphemeralNodeSource:
            return EphemeralNodeSource(settings, 1, "i0", Clock(), lambda *_: Answering.UNKNOWN, on_update)

        agent = Agent(config, upstream, source)
        listener = Listener(agent, ("127.0.0.1", 0), descriptors, memory)
        agent.start()
        await until(lambda: len(agent.balancer.ready) == 3)
        # The process no longer serves, but its session is kept alive, as when a process hangs partly.
        backends[1].stop()
        client = await connect(listener.address)
        for number in range(30):
            client.send(request(f"r{number}"))
            assert (await client.answer())[0] == 200
        assert f"{PATH}/b1" in env.ensemble.tree.nodes and len(agent.balancer.ready) == 3
        env.registrar.crash("b1")
        await until(lambda: len(agent.balancer.ready) == 2)
        client.close()
        agent.close()
        backends[0].stop()
        backends[2].stop()

    run_scenario(scenario)


def test_the_whole_list_vanishes_and_returns_with_a_drain_among_it() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(8)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        await env.registrar.drain("b5")
        await until(lambda: instance.states["b5"] is State.DRAINING)
        before = len(instance.history)
        env.registrar.servers["b5"].reregister = False
        env.ensemble.expire_under(PATH)
        await until(lambda: len(env.ensemble.tree.nodes[PATH].children) == 7)
        await until(lambda: instance.source.tracker.suspects == 0 and not instance.source._unread)
        assert instance.ready == everyone - {"b5"}
        assert [item for item in instance.history[before:] if item[2] is not State.READY] == []

    run_scenario(scenario)


def test_a_service_restored_without_data_removes_no_server() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(5)
        instance = env.instance(suspect_s=20.0)
        await until(lambda: instance.ready == everyone)
        env.ensemble.restore_from_nothing()
        await until(lambda: instance.source.tracker.suspects == 5)
        assert instance.ready == everyone
        await (
            env.registrar.create_path()
        )  # the owner of the path creates it again, and the servers register again
        await until(lambda: instance.source.tracker.suspects == 0)
        assert instance.ready == everyone and all(state is State.READY for _, _, state in instance.history)

    run_scenario(scenario)


def test_servers_missing_after_a_bulk_removal_leave_in_bounded_time() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(6)
        instance = env.instance(suspect_s=1.0)
        await until(lambda: instance.ready == everyone)
        for item in env.registrar.servers.values():
            item.reregister = item.name == "b0"
        env.ensemble.expire_under(PATH)
        await until(lambda: instance.source.tracker.suspects == 5)
        assert instance.ready == everyone
        await until(lambda: instance.ready == {"b0"})

    run_scenario(scenario)


def test_a_list_that_flaps_twice_in_a_second_causes_no_reports() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(5)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        before = len(instance.history)
        for _ in range(2):
            env.ensemble.expire_under(PATH)
            await until(lambda: len(env.ensemble.tree.nodes[PATH].children) == 5)
        await until(lambda: instance.source.tracker.suspects == 0 and len(instance.source._listed_nodes) == 5)
        assert instance.ready == everyone
        assert [item for item in instance.history[before:] if item[2] is not State.READY] == []

    run_scenario(scenario)


def test_a_watch_that_fires_before_the_response_of_its_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """A change between a read and its late response must be read again, or it would be lost."""
    monkeypatch.setattr(source, "REFRESH_INTERVAL_S", 1e6)  # the periodic read must not find the change

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(3)
        member, tree = env.ensemble.members[0], env.ensemble.tree
        member.answer_delay_s = 0.2
        asked = member.request_counts["GET_CHILDREN2"]
        instance = env.instance()
        await until(lambda: member.request_counts["GET_CHILDREN2"] > asked)  # sent, without a response yet
        late = json.dumps({"id": "late", "address": "127.0.0.1:8999"}).encode()
        tree.create(f"{PATH}/late", late, tree.nodes["/"].acls, 0, 0, set(), 0)
        await until(lambda: instance.ready == everyone | {"late"})

    run_scenario(scenario)


def test_a_change_between_two_watches_and_watches_that_come_late() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        env.ensemble.members[0].watch_delay_s = 0.08
        env.registrar.servers["b2"].record["zone"] = "z"
        for phase in ("ready", "ready", "draining"):
            env.registrar.servers["b2"].record["phase"] = phase
            record = json.dumps(env.registrar.servers["b2"].record).encode()
            await env.registrar.servers["b2"].session.put(f"{PATH}/b2", record)
        await env.registrar.deregister("b3")
        await until(lambda: instance.ready == {"b0", "b1"})

    run_scenario(scenario)


def test_a_drain_written_just_before_a_bulk_removal_is_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(8)
        instance = env.instance(suspect_s=1_000.0)  # as a suspect it would stay in the list
        await until(lambda: instance.ready == everyone)
        # It writes its drain and is deleted at the same moment as all others.
        env.registrar.servers["b6"].reregister = False
        record = json.dumps({"id": "b6", "address": "127.0.0.1:9006", "phase": "draining"}).encode()
        env.ensemble.tree.set(f"{PATH}/b6", record, -1, set(), 0)
        env.ensemble.expire_under(PATH)
        await until(lambda: instance.states["b6"] is State.DRAINING)
        await until(lambda: instance.source.tracker.suspects == 0)
        assert instance.ready == everyone - {"b6"}

    run_scenario(scenario)


def test_watches_are_set_again_at_a_member_that_lags() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(5)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        lagging = env.ensemble.members[0]
        lagging.freeze()
        await env.registrar.deregister("b1")
        await until(lambda: "b1" not in instance.ready)
        reported = len(instance.history)
        for member in env.ensemble.members:
            member.drop()
        await env.registrar.drain("b2")
        await until(lambda: "b2" not in instance.ready)
        lagging.thaw()
        assert instance.ready == everyone - {"b1", "b2"}
        assert all(state is not State.READY for _, _, state in instance.history[reported:])

    run_scenario(scenario, members=3)


def test_our_own_session_expires_in_a_partition() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(5)
        instance = env.instance(fleet="/fleet")
        await until(lambda: instance.ready == everyone and instance.seat_changes == [0])
        assert instance.source._session is not None
        env.ensemble.stall()
        env.ensemble.expire(instance.source._session.id)
        await until(lambda: instance.source.status()["service"] == "silent")
        assert instance.ready == everyone
        env.ensemble.resume()
        await until(lambda: instance.source.status()["service"] == "connected"
                    and instance.source.seats is not None
                    and instance.source.seats.allocator.held == 0)  # fmt: skip
        await env.registrar.drain("b3")
        await until(lambda: instance.ready == everyone - {"b3"})
        assert instance.seat_changes == [0]  # it kept its seat

    run_scenario(scenario)


def test_an_address_reused_by_a_new_server_within_one_read() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(5)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        env.ensemble.members[0].stall()
        env.ensemble.tree.close(env.registrar.servers["b1"].session.id)
        env.registrar.servers["b1"].reregister = False
        record = json.dumps({"id": "new", "address": "127.0.0.1:9001", "started_ms": 5_000}).encode()
        env.ensemble.tree.create(f"{PATH}/new", record, env.ensemble.tree.nodes["/"].acls, 0, 0, set(), 0)
        env.ensemble.resume()
        await until(lambda: "new" in instance.ready)
        assert instance.states["b1"] is State.GONE and instance.started["new"] == 5_000_000

    run_scenario(scenario)


def test_a_malformed_record_is_one_log_line_and_hides_no_server(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(env: Environment) -> None:
        tree = env.ensemble.tree
        everyone = await env.servers(3)
        bads = (b"", b"{", b"[]", b'{"id": 7}', b"x" * 5_000, b'{"id":"a","address":"here"}')
        for at, bad in enumerate(bads):
            tree.create(f"{PATH}/bad{at}", bad, tree.nodes["/"].acls, 0, 0, set(), 0)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        reads = instance.source.reads
        await env.registrar.drain("b0")
        await until(lambda: instance.ready == everyone - {"b0"} and instance.source.reads > reads)

    with caplog.at_level(logging.WARNING, "sorrelfront.sources.zookeeper"):
        run_scenario(scenario)
    lines = [record for record in caplog.records if "ignoring the record" in record.getMessage()]
    assert len(lines) == 6 and not any(record.exc_info for record in lines)


def test_fifty_instances_lose_and_regain_the_service_together() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(10)
        instances = [env.instance(fleet="/fleet") for _ in range(50)]
        await until(lambda: all(instance.ready == everyone for instance in instances))

        def held() -> set[int | None]:
            return {
                instance.source.seats.allocator.held
                for instance in instances
                if instance.source.seats is not None
            }

        await until(lambda: held() == set(range(50)))
        seat_changes = [list(instance.seat_changes) for instance in instances]
        before = dict(env.ensemble.request_counts)
        env.ensemble.members[0].vanish()
        await until(lambda: all(instance.source.status()["service"] == "silent" for instance in instances))
        await env.ensemble.members[0].come_back()
        await until(lambda: all(instance.source.status()["service"] == "connected" for instance in instances))
        await env.registrar.drain("b4")
        await until(lambda: all(instance.ready == everyone - {"b4"} for instance in instances))
        asked = {name: count - before.get(name, 0) for name, count in env.ensemble.request_counts.items()}
        # Watches are set again with one request each; only scenario changed and the seats are read.
        assert asked["SET_WATCHES"] >= 50
        assert held() == set(range(50))
        assert asked.get("GET_DATA", 0) <= 3 * 50 and asked.get("GET_CHILDREN2", 0) <= 4 * 50, asked
        assert [list(instance.seat_changes) for instance in instances] == seat_changes

    run_scenario(scenario)


def test_seats_follow_joins_and_leaves() -> None:
    async def scenario(env: Environment) -> None:
        await env.servers(1)
        instances = [env.instance(fleet="/fleet/seats") for _ in range(4)]
        await until(lambda: all(instance.seat_changes for instance in instances))
        assert sorted(
            instance.seat_changes[-1] for instance in instances if instance.seat_changes[-1] is not None
        ) == [0, 1, 2, 3]
        first = next(instance for instance in instances if instance.seat_changes[-1] == 0)
        last = next(instance for instance in instances if instance.seat_changes[-1] == 3)
        first.source.close()
        instances.remove(first)
        await until(lambda: last.seat_changes[-1] == 0)
        assert sorted(
            seat for instance in instances for seat in instance.seat_changes[1:] if seat is not None
        ) == [0]
        nodes = env.ensemble.tree.nodes
        await until(lambda: nodes["/fleet/seats"].children == {"seat-0000", "seat-0001", "seat-0002"})

    run_scenario(scenario)


def test_changed_settings_apply_without_losing_the_list() -> None:
    async def scenario(env: Environment) -> None:
        everyone = await env.servers(5)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        settings = instance.source._settings
        session = instance.source._session
        instance.source.change(settings)
        assert instance.source._session is session
        changed = SourceSettings(
            settings.session, "/elsewhere", settings.seats_path, settings.suspicion, settings.seats
        )
        instance.source.change(changed)
        await until(lambda: instance.source.tracker.suspects == 5)
        assert instance.ready == everyone and instance.source._session is not session

    run_scenario(scenario)


STAT = Stat(1, 7, 3_000, 0, 0, 0, 0, 5, 0, 0, 0)


def test_records() -> None:
    member = parse_record(b'{"id":"a","address":"127.0.0.1:80"}', STAT)
    # Without a start time the server is as old as its node.
    assert member == ("a", ("127.0.0.1", 80), "", "", 0, 1.0, 3_000_000, False, 1, 7)
    full = {"id": "a", "address": "127.0.0.1:80", "phase": "draining", "zone": "z", "kind": "k", "cell": 3,
            "size": 2, "started_ms": 9}  # fmt: skip
    assert parse_record(json.dumps(full).encode(), STAT).draining
    for key, bad in (
        ("id", ""), ("id", None), ("id", "x" * 200), ("address", "a:1"), ("address", None), ("phase", "gone"),
        ("cell", -1), ("cell", True), ("size", 0), ("size", "1"), ("started_ms", 2**60), ("zone", 5),
    ):  # fmt: skip
        with pytest.raises(MalformedList):
            parse_record(json.dumps({**full, key: bad}).encode(), STAT)


def test_more_children_than_are_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(source, "MAX_CHILDREN", 3)

    async def scenario(env: Environment) -> None:
        await env.servers(5)
        instance = env.instance()
        await until(lambda: len(instance.ready) == 3)

    run_scenario(scenario)


def test_a_claim_whose_response_was_lost_leaves_one_seat_and_not_two() -> None:
    async def scenario(env: Environment) -> None:
        await env.servers(1)
        first = env.instance(fleet="/fleet")
        await until(lambda: first.seat_changes == [0])
        member = env.ensemble.members[0]
        nodes = env.ensemble.tree.nodes
        member.answer_delay_s = 0.15
        instance = env.instance(fleet="/fleet")
        await until(lambda: "/fleet/seat-0001" in nodes)
        member.drop()
        member.answer_delay_s = 0.0
        await until(
            lambda: instance.source.seats is not None and instance.source.seats.allocator.held is not None
        )
        mine = instance.source._session
        assert mine is not None

        def owned() -> list[str]:
            return [path for path, node in nodes.items() if node.owner == mine.id]

        await until(lambda: len(owned()) == 1)
        assert instance.source.seats is not None
        assert owned() == [f"/fleet/seat-{instance.source.seats.allocator.held:04d}"]

    run_scenario(scenario)


def test_a_missing_path_is_not_an_empty_list() -> None:
    async def scenario(env: Environment) -> None:
        env.ensemble.tree.delete(PATH, -1, set())
        instance = env.instance()
        await until(lambda: instance.source.reads >= 2)
        assert not instance.history and instance.source.status()["list_age_ms"] is None
        await env.registrar.create_path()
        everyone = await env.servers(2)
        await until(lambda: instance.ready == everyone)

    run_scenario(scenario)
