"""Servers out by hand, laid over any list: a model beside the real thing."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.interface import BackendList, ListKind, Outcome, Send, State
from sorrelfront.decisions.orders import Orders
from tests.helpers import SAFE, backends, ended, request
from tests.helpers import settings as terms

NAMES = ("b000", "b001", "b002", "b003")

one = st.sampled_from(NAMES)
states = st.sampled_from([State.READY, State.DRAINING, State.GONE])
steps = st.one_of(
    st.tuples(st.just("full"), st.dictionaries(one, states)),
    st.tuples(st.just("delta"), st.dictionaries(one, states)),
    st.tuples(st.just("out"), st.sets(one)),
)


@given(st.lists(steps, max_size=30))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_what_holds_is_the_list_as_told_less_what_is_out(script: list[tuple[str, object]]) -> None:
    """Through any course of lists and orders a balancer that is told of it has ready what the list has ready
    and nobody has put out."""
    orders = Orders()
    made = Balancer(terms(), 1, 0)
    template = {item.id: item for item in backends(len(NAMES))}
    told: dict[str, State] = {}
    out: set[str] = set()
    for kind, value in script:
        if kind == "out":
            assert isinstance(value, set)
            out = value
            changed = orders.ordered(value)
            made.on_list(BackendList(ListKind.DELTA, changed), 0)
        else:
            assert isinstance(value, dict)
            entries = tuple(template[name]._replace(state=state) for name, state in value.items())
            complete = kind == "full"
            told = {} if complete else told
            told = {**told, **value}
            told = {name: state for name, state in told.items() if state is not State.GONE}
            as_is = ListKind.FULL if complete else ListKind.DELTA
            made.on_list(BackendList(as_is, orders.heard(entries, complete)), 0)
        wanted = {name for name, state in told.items() if state is State.READY and name not in out}
        assert {server.info.id for server in made.ready} == wanted
        assert orders.listed == len(told)
        assert sorted(orders.listed_out()) == sorted(out & set(told))
        assert all(orders.knows(name) == (name in told or name in out) for name in NAMES)


def test_a_server_put_back_is_what_the_list_says_by_then() -> None:
    """Restarted while it was out, it comes back cold."""
    orders = Orders()
    made = Balancer(terms(), 1, 20_000_000)
    made.on_list(BackendList(ListKind.FULL, orders.heard(backends(2), True)), 20_000_000)
    made.on_list(BackendList(ListKind.DELTA, orders.ordered({"b000"})), 20_000_000)
    restarted = backends(1, started_us=25_000_000)
    made.on_list(BackendList(ListKind.DELTA, orders.heard(restarted, False)), 25_000_000)
    assert [server.info.id for server in made.ready] == ["b001"]
    made.on_list(BackendList(ListKind.DELTA, orders.ordered(())), 26_000_000)
    assert {server.info.id for server in made.ready} == {"b000", "b001"}
    assert made.servers["b000"].warm_at == 25_000_000 + made.settings.cold_us


def test_a_server_put_back_is_drawn_again() -> None:
    orders = Orders()
    made = Balancer(terms(), 1, 0)
    made.on_list(BackendList(ListKind.FULL, orders.heard(backends(3), True)), 0)

    def picked(first: int) -> set[str]:
        names = set()
        for number in range(first, first + 60):
            for action in request(made, number, SAFE, 0):
                assert isinstance(action, Send)
                names.add(action.backend)
                ended(made, number, 0, Outcome.OK, 0)
        return names

    assert picked(0) == {"b000", "b001", "b002"}
    made.on_list(BackendList(ListKind.DELTA, orders.ordered({"b001"})), 0)
    assert picked(100) == {"b000", "b002"}
    made.on_list(BackendList(ListKind.DELTA, orders.ordered(())), 0)
    assert picked(200) == {"b000", "b001", "b002"}

