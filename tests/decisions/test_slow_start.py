"""When a server counts as warm if clocks differ."""

from __future__ import annotations

import pytest

from sorrelfront.decisions.interface import Backend
from sorrelfront.decisions.slow_start import MAX_DEPARTED, SlowStart

SECOND = 1_000_000
HOUR = 3_600 * SECOND
NOW = 1_000_000 * SECOND
COLD = 9 * SECOND


def test_on_the_first_list_the_reported_start_counts_but_never_later_than_now() -> None:
    slow_start = SlowStart()
    assert slow_start.warm_at(Backend("a"), NOW, COLD) == 0
    assert slow_start.warm_at(Backend("b", started_us=NOW - 2 * SECOND), NOW, COLD) == NOW - 2 * SECOND + COLD
    assert slow_start.warm_at(Backend("c", started_us=NOW + HOUR), NOW, COLD) == NOW + COLD


@pytest.mark.parametrize("off_us", [-HOUR, -SECOND, 0, HOUR])
def test_a_start_reported_later_counts_from_when_it_is_received(off_us: int) -> None:
    slow_start = SlowStart()
    slow_start.list_received()
    assert slow_start.warm_at(Backend("a", started_us=NOW + off_us), NOW, COLD) == NOW + COLD
    assert slow_start.warm_at(Backend("b"), NOW, COLD) == 0


def test_a_server_that_was_off_the_list_comes_back_as_it_was_and_a_new_process_does_not() -> None:
    slow_start = SlowStart()
    slow_start.list_received()
    server = Backend("a", started_us=NOW)
    slow_start.remember(server, NOW + 3)
    assert slow_start.warm_at(server, NOW + HOUR, COLD) == NOW + 3
    slow_start.remember(server, NOW + 3)
    anew = server._replace(started_us=NOW + SECOND)
    assert slow_start.warm_at(anew, NOW + HOUR, COLD) == NOW + HOUR + COLD


def test_the_number_of_remembered_servers_is_bounded() -> None:
    slow_start = SlowStart()
    slow_start.list_received()
    for number in range(MAX_DEPARTED + 1):
        slow_start.remember(Backend(f"b{number}", started_us=1), 5)
    assert slow_start.warm_at(Backend("b1", started_us=1), NOW, COLD) == 5
    assert slow_start.warm_at(Backend("b0", started_us=1), NOW, COLD) == NOW + COLD
