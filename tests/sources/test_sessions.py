"""What belongs to an earlier session of a source says nothing about the present one."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest

from sorrelfront.decisions.interface import State
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lists import parse_address
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import Flag
from sorrelfront.sources import zookeeper as source
from tests.loopback import until
from tests.sources.ephemeral import PATH, SESSION_S, Environment, run_scenario
from tests.sources.test_replaced_nodes import write_phase


@pytest.fixture(autouse=True)
def _no_refresh(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the periodic checks from finding what an event should have reported."""
    monkeypatch.setattr(source, "REFRESH_INTERVAL_S", 1e6)
    monkeypatch.setattr(source, "VERIFY_INTERVAL_S", 1e6)


def test_the_end_of_the_session_with_the_service_before_is_not_that_of_the_present_one() -> None:
    """A service that hangs is replaced by another: the source took the end of the old session for its own."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        other = await Ensemble(1, seed=2).start()
        acls = other.tree.nodes["/"].acls
        for path in ("/services", PATH):
            other.tree.create(path, b"", acls, 0, 0, set(), 0)
        for name in everyone:
            record = json.dumps({"id": name, "address": f"127.0.0.1:900{name[1]}", "started_ms": 1_000})
            other.tree.create(f"{PATH}/{name}", record.encode(), acls, 0, 0, set(), 0)
        try:
            env.ensemble.stall()
            old = instance.source._session
            assert old is not None
            hosts = tuple(parse_address(host) for host in other.hosts.split(","))
            settings = instance.source._settings
            instance.source.change(replace(settings, session=net.SessionSettings(hosts, SESSION_S)))
            await until(lambda: old._task.done())  # its close had no answer
            await asyncio.sleep(0)
            other.tree.set(f"{PATH}/b1", json.dumps(
                {"id": "b1", "address": "127.0.0.1:9001", "started_ms": 1_000, "phase": "draining"}
            ).encode(), -1, set(), 0)  # fmt: skip
            await until(lambda: instance.states["b1"] is State.DRAINING)
            assert instance.source.status()["service"] == "connected"
        finally:
            instance.source.close()
            await other.stop()

    run_scenario(scenario)


def test_a_new_session_does_not_go_back_to_what_a_lagging_member_has() -> None:
    """After an expired session a member that lags was taken: a server that had drained was served again."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        session = instance.source._session
        assert session is not None
        lagging = next(
            member for member in env.ensemble.members
            if not any(peer.session.id == session.id for peer in member._peers)
        )  # fmt: skip
        lagging.freeze()
        write_phase(env, "b1", "draining")
        await until(lambda: instance.ready == everyone - {"b1"})
        # It is tried first.
        session._hosts.sort(key=lambda host: "{}:{}".format(*host) != lagging.address)
        reported = len(instance.history)
        number = session.id
        env.ensemble.expire(number)
        await until(lambda: session.id not in (0, number) and not instance.source._children_stale)
        await until(lambda: not instance.source._unread and len(instance.source._listed_nodes) == 4)
        assert instance.ready == everyone - {"b1"}
        assert ("b1", State.READY) not in [(name, state) for _, name, state in instance.history[reported:]]

    run_scenario(scenario, members=3)


def test_a_request_that_waits_for_a_session_that_expires_is_not_made_in_the_next_one() -> None:
    """The release of a seat that waited so deleted the node of the instance that had taken the seat."""

    async def scenario(env: Environment) -> None:
        member, tree = env.ensemble.members[0], env.ensemble.tree
        first = env.instance(fleet="/fleet")
        await until(lambda: first.seat_changes == [0] and "/fleet/seat-0000" in tree.nodes)
        session = first.source._session
        assert session is not None
        number = session.id
        member.vanish()
        await until(lambda: session.state is net.SessionState.DISCONNECTED)
        release = asyncio.create_task(session.delete("/fleet/seat-0000"))
        await asyncio.sleep(0)  # it waits for a connection
        env.ensemble.expire(number)
        other = tree.open(60_000, env.ensemble.now_ms())
        tree.create("/fleet/seat-0000", b"other", tree.nodes["/"].acls, Flag.EPHEMERAL, other.id, set(), 0)
        await member.come_back()
        with pytest.raises(net.ConnectionLost):
            await release
        await until(lambda: session.id not in (0, number) and first.source.seats is not None
                    and first.source.seats.allocator.held == 1)  # fmt: skip
        assert tree.nodes["/fleet/seat-0000"].owner == other.id

    run_scenario(scenario)


def test_a_seat_whose_node_another_instance_has_made_is_given_up() -> None:
    """The name of its node was there, so both used the seat from then on."""

    async def scenario(env: Environment) -> None:
        tree = env.ensemble.tree
        first = env.instance(fleet="/fleet")
        await until(lambda: first.seat_changes == [0] and "/fleet/seat-0000" in tree.nodes)
        other = tree.open(60_000, env.ensemble.now_ms())
        tree.delete("/fleet/seat-0000", -1, set())  # by an operator
        tree.create("/fleet/seat-0000", b"other", tree.nodes["/"].acls, Flag.EPHEMERAL, other.id, set(), 0)
        await until(lambda: first.seat_changes == [0, 1])
        assert tree.nodes["/fleet/seat-0000"].owner == other.id

    run_scenario(scenario)
