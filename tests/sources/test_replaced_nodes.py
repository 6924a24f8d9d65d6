"""A node that is deleted and created again under its name, between any two reads of the source."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest

from sorrelfront.decisions.interface import State
from sorrelfront.net.jute import Acl, Perm
from sorrelfront.sources import zookeeper as source
from tests.lab.test_zookeeper import with_kazoo
from tests.loopback import until
from tests.sources.ephemeral import PATH, Environment, run_scenario


@pytest.fixture(autouse=True)
def _no_refresh(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the periodic checks from finding what an event should have reported."""
    monkeypatch.setattr(source, "REFRESH_INTERVAL_S", 1e6)
    monkeypatch.setattr(source, "VERIFY_INTERVAL_S", 1e6)


def replace_node(env: Environment, name: str, **record: Any) -> None:
    """Delete the node of a server and create it again at once, as a process that restarts does."""
    tree = env.ensemble.tree
    tree.delete(f"{PATH}/{name}", -1, set())
    data = json.dumps({"id": name, **record}).encode()
    tree.create(f"{PATH}/{name}", data, tree.nodes["/"].acls, 0, 0, set(), 0)


def create_node(env: Environment, node: str, **record: Any) -> None:
    """Create a node with this record."""
    tree = env.ensemble.tree
    tree.create(f"{PATH}/{node}", json.dumps(record).encode(), tree.nodes["/"].acls, 0, 0, set(), 0)


def write_phase(env: Environment, name: str, phase: str) -> None:
    """Write another phase into the record of a server."""
    tree = env.ensemble.tree
    record = {**json.loads(tree.nodes[f"{PATH}/{name}"].data), "phase": phase}
    tree.set(f"{PATH}/{name}", json.dumps(record).encode(), -1, set(), 0)


def test_a_server_that_registered_again_under_its_node_is_read_and_its_drain_applied() -> None:
    """review/9: the new node was not read, and no watch stood on it, so its drain was never seen."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        replace_node(env, "b1", address="127.0.0.1:9901", started_ms=7_000)
        await until(lambda: instance.started["b1"] == 7_000_000)
        assert instance.addresses["b1"] == ("127.0.0.1", 9_901)
        write_phase(env, "b1", "draining")
        await until(lambda: instance.ready == everyone - {"b1"})

    run_scenario(scenario)


def test_servers_below_the_path_of_the_seats_are_told_apart_from_seats() -> None:
    """The events of nodes below both paths are those of servers."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance(fleet=PATH.rpartition("/")[0])
        await until(lambda: instance.ready == everyone and instance.seat_changes == [0])
        replace_node(env, "b1", address="127.0.0.1:9901", started_ms=7_000)
        await until(lambda: instance.started["b1"] == 7_000_000)
        write_phase(env, "b1", "draining")
        await until(lambda: instance.ready == everyone - {"b1"})

    run_scenario(scenario)


def test_a_server_that_comes_back_draining_gets_nothing_new() -> None:
    """The new record says that it drains: it went on being served by the record of the old node."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        replace_node(env, "b2", address="127.0.0.1:9002", started_ms=1_000, phase="draining")
        await until(lambda: instance.states["b2"] is State.DRAINING)

    run_scenario(scenario)


def test_a_server_that_is_replaced_many_times_in_a_row_is_known_by_its_last_node() -> None:
    """Nodes that come and go within one read, before and after its answer, must not hide the last one."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        member = env.ensemble.members[0]
        for number in range(1, 41):
            member.answer_delay_s = 0.003 * (number % 3)
            asked = member.request_counts["GET_DATA"]
            replace_node(env, "b3", address="127.0.0.1:9003", started_ms=10_000 + number)
            if number % 4:  # the next one follows while the record is read, or before it is
                await until(lambda seen=asked: member.request_counts["GET_DATA"] > seen)  # type: ignore[misc]
        await until(lambda: instance.started["b3"] == 10_040_000)
        write_phase(env, "b3", "draining")
        await until(lambda: instance.ready == everyone - {"b3"})

    run_scenario(scenario)


def test_a_node_that_names_another_server_than_the_one_before_it() -> None:
    """The name of a node says nothing about its server: the one of the old node has left."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        tree = env.ensemble.tree
        tree.delete(f"{PATH}/b0", -1, set())
        record = json.dumps({"id": "other", "address": "127.0.0.1:9990", "started_ms": 7_000}).encode()
        tree.create(f"{PATH}/b0", record, tree.nodes["/"].acls, 0, 0, set(), 0)
        await until(lambda: instance.ready == everyone - {"b0"} | {"other"})

    run_scenario(scenario)


def test_a_node_that_could_not_be_read_is_read_once_another_one_has_its_name() -> None:
    """A refused read sets no watch, so only the list of names tells of the node that replaces it."""

    async def scenario(env: Environment) -> None:
        tree = env.ensemble.tree
        everyone = await env.servers(3)
        record = json.dumps({"id": "b9", "address": "127.0.0.1:9009"}).encode()
        tree.create(f"{PATH}/b9", record, (Acl(Perm.WRITE, "world", "anyone"),), 0, 0, set(), 0)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        replace_node(env, "b9", address="127.0.0.1:9009")
        await until(lambda: instance.ready == everyone | {"b9"})
        write_phase(env, "b9", "draining")
        await until(lambda: instance.ready == everyone)

    run_scenario(scenario)


def test_of_two_nodes_of_a_server_the_later_one_counts_whatever_its_clock_says() -> None:
    """After its clock was set back, a server's new node yielded to the one of the session before."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        create_node(env, "before", id="b8", address="127.0.0.1:9008", started_ms=9_000)
        instance = env.instance()
        await until(lambda: instance.ready == everyone | {"b8"})
        create_node(env, "after", id="b8", address="127.0.0.1:9908", started_ms=8_000)
        await until(lambda: instance.addresses["b8"] == ("127.0.0.1", 9_908))
        write_phase(env, "after", "draining")
        await until(lambda: instance.ready == everyone)

    run_scenario(scenario)


def test_of_two_servers_at_an_address_the_later_one_counts_whatever_its_clock_says() -> None:
    """The server that had the address before was taken for the one behind it, and its drain was missed."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        create_node(env, "before", id="b8", address="127.0.0.1:9008", started_ms=9_000)
        instance = env.instance()
        await until(lambda: instance.ready == everyone | {"b8"})
        create_node(env, "after", id="b9", address="127.0.0.1:9008", started_ms=8_000)
        await until(lambda: instance.ready == everyone | {"b9"})
        assert instance.states["b8"] is State.GONE

    run_scenario(scenario)


def _change_nodes(client: Any, names: list[str], random: Random) -> dict[str, dict[str, Any]]:
    """Replace nodes, in one transaction or two steps, and write phases; return the last records."""
    records: dict[str, dict[str, Any]] = {}
    for number in range(150):
        name = random.choice(names)
        path = f"{PATH}/{name}"
        record = {"id": name, "address": f"127.0.0.1:{20_000 + number}", "started_ms": 10_000 + number}
        records[name] = {**record, "phase": random.choice(("ready", "draining"))}
        data = json.dumps(records[name]).encode()
        match random.randrange(3):
            case 0:
                transaction = client.transaction()
                transaction.delete(path)
                transaction.create(path, data)
                assert transaction.commit() == [True, path]
            case 1:
                client.delete(path)
                client.create(path, data)
            case _:
                client.set(path, data)
    return records


def test_what_another_client_of_the_service_writes_is_followed_to_the_last() -> None:
    """Changes by kazoo, from a thread of its own, so that they meet the reads of the source anywhere."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        last: dict[str, dict[str, Any]] = {}

        def use(client: Any) -> None:
            last.update(_change_nodes(client, sorted(everyone), Random(7)))

        await with_kazoo(env.ensemble, use)
        for name, record in last.items():
            await until(lambda name=name, record=record: (  # type: ignore[misc]
                instance.started[name] == record["started_ms"] * 1_000
                and (instance.states[name] is State.DRAINING) == (record["phase"] == "draining")
                and "{}:{}".format(*instance.addresses[name]) == record["address"]
            ))  # fmt: skip
        for name in last:
            write_phase(env, name, "draining")
        await until(lambda: not instance.ready)

    run_scenario(scenario)
