"""A watch that the service has lost is noticed, and set again, without reading what has not changed."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from sorrelfront.decisions.interface import State
from sorrelfront.sources import zookeeper as source
from tests.loopback import until
from tests.sources.ephemeral import PATH, Environment, Instance, run_scenario
from tests.sources.test_replaced_nodes import replace_node, write_phase


@pytest.fixture(autouse=True)
def _verify_often(monkeypatch: pytest.MonkeyPatch) -> None:
    """Verify the watches often, and keep the periodic read of the names from finding anything."""
    monkeypatch.setattr(source, "REFRESH_INTERVAL_S", 1e6)
    monkeypatch.setattr(source, "VERIFY_INTERVAL_S", 0.05)


def _drain(env: Environment) -> None:
    write_phase(env, "b1", "draining")


def _restart(env: Environment) -> None:
    replace_node(env, "b1", address="127.0.0.1:9901", started_ms=7_000)


def _join(env: Environment) -> None:
    tree = env.ensemble.tree
    record = json.dumps({"id": "b9", "address": "127.0.0.1:9009"}).encode()
    tree.create(f"{PATH}/b9", record, tree.nodes["/"].acls, 0, 0, set(), 0)


def _leave(env: Environment) -> None:
    env.ensemble.tree.delete(f"{PATH}/b1", -1, set())


@pytest.mark.parametrize(
    ("change", "noticed"),
    [
        (_drain, lambda instance: instance.states["b1"] is State.DRAINING),
        (_restart, lambda instance: instance.addresses["b1"] == ("127.0.0.1", 9_901)),
        (_join, lambda instance: "b9" in instance.ready),
        (_leave, lambda instance: instance.states["b1"] is State.DRAINING),
    ],
)
@pytest.mark.parametrize("recent", [False, True])
def test_a_change_behind_a_lost_watch_is_noticed(
    change: Callable[[Environment], None], noticed: Callable[[Instance], bool], recent: bool
) -> None:
    """Nothing compared the records with what was read of them: such a drain was never seen."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        checked = env.ensemble.request_counts["SET_WATCHES"]
        await until(lambda: env.ensemble.request_counts["SET_WATCHES"] > checked)
        if recent:  # since the last check, so that it is verified by itself
            replace_node(env, "b1", address="127.0.0.1:9001", started_ms=5_000)
            await until(lambda: instance.started["b1"] == 5_000_000)
        env.ensemble.members[0].lose_watches()
        change(env)
        assert instance.source._session is not None
        await instance.source._session.sync(PATH)  # so that it has seen a zxid behind that of the change
        await until(lambda: noticed(instance))

    run_scenario(scenario)


def test_a_node_that_nothing_watches_is_read_again() -> None:
    """A fault in the bookkeeping, as that of review/9, hides a drain for seconds and not for ever."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        assert instance.source._session is not None
        env.ensemble.members[0].lose_watches()
        instance.source._session.forget_watch(f"{PATH}/b1")
        write_phase(env, "b1", "draining")
        await until(lambda: instance.states["b1"] is State.DRAINING)

    run_scenario(scenario)


def test_nothing_is_read_while_no_watch_is_lost() -> None:
    """Also of nodes that have changed since the last check, whose watches have fired."""

    async def scenario(env: Environment) -> None:
        everyone = await env.servers(4)
        instance = env.instance()
        await until(lambda: instance.ready == everyone)
        counts = env.ensemble.request_counts
        write_phase(env, "b1", "draining")
        replace_node(env, "b2", address="127.0.0.1:9002", started_ms=5_000)
        await until(lambda: instance.states["b1"] is State.DRAINING and instance.started["b2"] == 5_000_000)
        checks = env.ensemble.request_counts["SET_WATCHES"]
        await until(lambda: env.ensemble.request_counts["SET_WATCHES"] > checks + 10)
        read = env.ensemble.request_counts - counts
        assert read["GET_DATA"] == 2 and read["GET_CHILDREN2"] == 1

    run_scenario(scenario)
