"""A snapshot restores the estimates of a balancer in another one, or is refused as a whole."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.interface import Backend, BackendList, ListKind, Outcome
from sorrelfront.decisions.snapshots import (
    MAX_AGE_US,
    MAX_SERVERS,
    MAX_TEXT_LENGTH,
    VERSION,
    UnusableSnapshot,
    restore_snapshot,
    take_snapshot,
)
from tests.helpers import SAFE, balancer, ended, request, sends

NOW = 50_000_000
UNIX = 1_700_000_000_000_000


def balancer_with_samples() -> Balancer:
    lb = balancer(4)
    for number in range(200):
        at = number * 100_000
        (name,) = sends(request(lb, number, SAFE, at))
        slow = name == "b001"
        ended(lb, number, 0, Outcome.OK, at + 90_000, elapsed_us=90_000 if slow else 20_000)
    return lb


def test_a_restored_balancer_has_the_same_estimates() -> None:
    old = balancer_with_samples()
    text = take_snapshot(old, 20_100_000, UNIX)
    new = balancer(4, now=NOW)
    assert restore_snapshot(new, text, NOW + 1_000_000, UNIX + 1_000_000) == sum(
        server.updated_at >= 0 for server in old.servers.values()
    )
    for name, server in old.servers.items():
        restored = new.servers[name]
        assert restored.project(NOW + 1_000_000) == pytest.approx(server.project(21_100_000))
        assert restored.forecast(NOW + 1_000_000) == pytest.approx(server.forecast(21_100_000))
    assert new.baselines["read"].value == old.baselines["read"].value and new.usual_us == old.usual_us
    assert take_snapshot(new, NOW + 1_000_000, UNIX).split("late")[0]


def test_a_server_that_was_restarted_or_left_the_list_is_not_restored() -> None:
    text = take_snapshot(balancer_with_samples(), 20_100_000, UNIX)
    new = balancer(4, now=NOW)
    new.on_list(BackendList(ListKind.FULL, (Backend("b000", started_us=5), Backend("b001"))), NOW)
    assert restore_snapshot(new, text, NOW, UNIX) <= 1
    assert new.servers["b000"].updated_at == -1 and set(new.servers) == {"b000", "b001"}


@pytest.mark.parametrize(
    ("corrupt", "message"),
    [
        (lambda text: text[:-5], "checksum"),
        (lambda text: text.replace("b001", "b009"), "checksum"),
        (lambda text: text.replace(f"{VERSION} ", f"{VERSION + 1} ", 1), "version"),
        (lambda text: "", "version"),
        (lambda text: text + " " * MAX_TEXT_LENGTH, "too long"),
    ],
)
def test_a_corrupt_snapshot_is_refused_as_a_whole(corrupt: object, message: str) -> None:
    assert callable(corrupt)
    text = corrupt(take_snapshot(balancer_with_samples(), 20_100_000, UNIX))
    new = balancer(4, now=NOW)
    before = take_snapshot(new, NOW, UNIX)
    with pytest.raises(UnusableSnapshot, match=message):
        restore_snapshot(new, text, NOW, UNIX)
    assert take_snapshot(new, NOW, UNIX) == before


def test_a_snapshot_that_is_too_old_is_refused() -> None:
    text = take_snapshot(balancer_with_samples(), 20_100_000, UNIX)
    with pytest.raises(UnusableSnapshot, match="31 s old"):
        restore_snapshot(balancer(4, now=NOW), text, NOW, UNIX + MAX_AGE_US + 1_000_000)


def test_a_snapshot_is_bounded_whatever_the_names_and_their_number() -> None:
    lb = Balancer(balancer().settings, 1, 0)
    lb.on_list(BackendList(ListKind.FULL, tuple(Backend("n" * 400 + str(at)) for at in range(2_000))), 0)
    for server in lb.servers.values():
        server.observe(1.0, 10)
    text = take_snapshot(lb, 20, UNIX)
    assert len(text) <= MAX_TEXT_LENGTH
    new = Balancer(balancer().settings, 1, 0)
    new.on_list(BackendList(ListKind.FULL, tuple(server.info for server in lb.servers.values())), 0)
    assert 0 < restore_snapshot(new, text, 20, UNIX) <= MAX_SERVERS


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.text(max_size=200), st.booleans())
def test_any_text_is_refused_or_harmless(data: str, with_checksum: bool) -> None:
    text = (
        f"{VERSION} {zlib.crc32(data.encode('utf-8', 'surrogatepass')):08x} {data}" if with_checksum else data
    )
    with pytest.raises(UnusableSnapshot):
        restore_snapshot(balancer(2), text, NOW, UNIX)
