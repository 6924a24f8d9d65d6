"""A snapshot tells another balancer what one has learnt, or is refused whole."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.interface import Backend, BackendList, ListKind, Outcome
from sorrelfront.decisions.learnt import (
    AGE_MOST_US,
    SERVERS_MOST,
    TEXT_MOST,
    VERSION,
    Unusable,
    adopt,
    snapshot,
)
from tests.helpers import SAFE, balancer, ended, request, sends

NOW = 50_000_000
UNIX = 1_700_000_000_000_000


def experienced() -> Balancer:
    made = balancer(4)
    for number in range(200):
        at = number * 100_000
        (name,) = sends(request(made, number, SAFE, at))
        slow = name == "b001"
        ended(made, number, 0, Outcome.OK, at + 90_000, elapsed_us=90_000 if slow else 20_000)
    return made


def test_what_one_has_learnt_another_knows() -> None:
    old = experienced()
    text = snapshot(old, 20_100_000, UNIX)
    new = balancer(4, now=NOW)
    assert adopt(new, text, NOW + 1_000_000, UNIX + 1_000_000) == sum(
        server.stamp >= 0 for server in old.servers.values()
    )
    for name, server in old.servers.items():
        later = new.servers[name]
        assert later.project(NOW + 1_000_000) == pytest.approx(server.project(21_100_000))
        assert later.forecast(NOW + 1_000_000) == pytest.approx(server.forecast(21_100_000))
    assert new.baselines["read"].value == old.baselines["read"].value and new.common_us == old.common_us
    assert snapshot(new, NOW + 1_000_000, UNIX).split("late")[0]


def test_a_server_that_was_started_anew_or_has_left_is_unheard_of() -> None:
    text = snapshot(experienced(), 20_100_000, UNIX)
    new = balancer(4, now=NOW)
    new.on_list(BackendList(ListKind.FULL, (Backend("b000", started_us=5), Backend("b001"))), NOW)
    assert adopt(new, text, NOW, UNIX) <= 1
    assert new.servers["b000"].stamp == -1 and set(new.servers) == {"b000", "b001"}


@pytest.mark.parametrize(
    ("spoil", "why"),
    [
        (lambda text: text[:-5], "checksum"),
        (lambda text: text.replace("b001", "b009"), "checksum"),
        (lambda text: text.replace(f"{VERSION} ", f"{VERSION + 1} ", 1), "version"),
        (lambda text: "", "version"),
        (lambda text: text + " " * TEXT_MOST, "too long"),
    ],
)
def test_a_spoilt_one_is_refused_whole(spoil: object, why: str) -> None:
    assert callable(spoil)
    text = spoil(snapshot(experienced(), 20_100_000, UNIX))
    new = balancer(4, now=NOW)
    before = snapshot(new, NOW, UNIX)
    with pytest.raises(Unusable, match=why):
        adopt(new, text, NOW, UNIX)
    assert snapshot(new, NOW, UNIX) == before


def test_one_that_is_too_old_is_refused() -> None:
    text = snapshot(experienced(), 20_100_000, UNIX)
    with pytest.raises(Unusable, match="31 s old"):
        adopt(balancer(4, now=NOW), text, NOW, UNIX + AGE_MOST_US + 1_000_000)


def test_it_is_bounded_whatever_the_names_and_their_number() -> None:
    made = Balancer(balancer().settings, 1, 0)
    made.on_list(BackendList(ListKind.FULL, tuple(Backend("n" * 400 + str(at)) for at in range(2_000))), 0)
    for server in made.servers.values():
        server.observe(1.0, 10)
    text = snapshot(made, 20, UNIX)
    assert len(text) <= TEXT_MOST
    new = Balancer(balancer().settings, 1, 0)
    new.on_list(BackendList(ListKind.FULL, tuple(server.info for server in made.servers.values())), 0)
    assert 0 < adopt(new, text, 20, UNIX) <= SERVERS_MOST


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(max_size=200), st.booleans())
def test_any_text_is_refused_or_harmless(data: str, sealed: bool) -> None:
    text = f"{VERSION} {zlib.crc32(data.encode('utf-8', 'surrogatepass')):08x} {data}" if sealed else data
    with pytest.raises(Unusable):
        adopt(balancer(2), text, NOW, UNIX)
