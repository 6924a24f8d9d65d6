"""Disabled servers on top of any list, compared with a model."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.interface import BackendList, ListKind, Outcome, Send, State
from sorrelfront.decisions.overrides import Overrides
from tests.helpers import SAFE, backends, ended, request
from tests.helpers import settings as balancer_settings

NAMES = ("b000", "b001", "b002", "b003")

server_ids = st.sampled_from(NAMES)
states = st.sampled_from([State.READY, State.DRAINING, State.GONE])
steps = st.one_of(
    st.tuples(st.just("full"), st.dictionaries(server_ids, states)),
    st.tuples(st.just("delta"), st.dictionaries(server_ids, states)),
    st.tuples(st.just("out"), st.sets(server_ids)),
)


@given(st.lists(steps, max_size=30))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_ready_servers_are_those_ready_on_the_list_and_not_disabled(script: list[tuple[str, object]]) -> None:
    """Ready servers are the ready ones of the list that are not disabled.

    This holds after any sequence of lists and orders. A server missing from one list must not lose its order.
    """
    orders = Overrides()
    lb = Balancer(balancer_settings(), 1, 0)
    template = {item.id: item for item in backends(len(NAMES))}
    listed: dict[str, State] = {}
    disabled: set[str] = set()
    for kind, value in script:
        if kind == "out":
            assert isinstance(value, set)
            disabled = value
            changed = orders.disable_only(value)
            lb.on_list(BackendList(ListKind.DELTA, changed), 0)
        else:
            assert isinstance(value, dict)
            entries = tuple(template[name]._replace(state=state) for name, state in value.items())
            complete = kind == "full"
            listed = {} if complete else listed
            listed = {**listed, **value}
            listed = {name: state for name, state in listed.items() if state is not State.GONE}
            as_is = ListKind.FULL if complete else ListKind.DELTA
            lb.on_list(BackendList(as_is, orders.apply_list(entries, complete)), 0)
        wanted = {name for name, state in listed.items() if state is State.READY and name not in disabled}
        assert {server.info.id for server in lb.ready} == wanted
        assert orders.listed_count == len(listed)
        assert sorted(orders.listed_disabled()) == sorted(disabled & set(listed))
        assert all(orders.knows(name) == (name in listed or name in disabled) for name in NAMES)


def test_an_enabled_server_has_its_state_on_the_present_list() -> None:
    """Restarted while it was disabled, it is cold."""
    orders = Overrides()
    lb = Balancer(balancer_settings(), 1, 20_000_000)
    lb.on_list(BackendList(ListKind.FULL, orders.apply_list(backends(2), True)), 20_000_000)
    lb.on_list(BackendList(ListKind.DELTA, orders.disable_only({"b000"})), 20_000_000)
    restarted = backends(1, started_us=25_000_000)
    lb.on_list(BackendList(ListKind.DELTA, orders.apply_list(restarted, False)), 25_000_000)
    assert [server.info.id for server in lb.ready] == ["b001"]
    lb.on_list(BackendList(ListKind.DELTA, orders.disable_only(())), 26_000_000)
    assert {server.info.id for server in lb.ready} == {"b000", "b001"}
    assert lb.servers["b000"].warm_at == 25_000_000 + lb.settings.cold_us


def test_an_enabled_server_is_drawn_again() -> None:
    orders = Overrides()
    lb = Balancer(balancer_settings(), 1, 0)
    lb.on_list(BackendList(ListKind.FULL, orders.apply_list(backends(3), True)), 0)

    def picked(first: int) -> set[str]:
        names = set()
        for number in range(first, first + 60):
            for action in request(lb, number, SAFE, 0):
                assert isinstance(action, Send)
                names.add(action.backend)
                ended(lb, number, 0, Outcome.OK, 0)
        return names

    assert picked(0) == {"b000", "b001", "b002"}
    lb.on_list(BackendList(ListKind.DELTA, orders.disable_only({"b001"})), 0)
    assert picked(100) == {"b000", "b002"}
    lb.on_list(BackendList(ListKind.DELTA, orders.disable_only(())), 0)
    assert picked(200) == {"b000", "b001", "b002"}
