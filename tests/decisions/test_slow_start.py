"""When a server counts as warm, by clocks that differ."""

from __future__ import annotations

import pytest

from sorrelfront.decisions.interface import Backend
from sorrelfront.decisions.slow_start import MAX_DEPARTED, SlowStart

SECOND = 1_000_000
HOUR = 3_600 * SECOND
NOW = 1_000_000 * SECOND
COLD = 9 * SECOND


def test_of_the_first_list_the_told_start_counts_and_never_later_than_now() -> None:
    made = SlowStart()
    assert made.warm_at(Backend("a"), NOW, COLD) == 0
    assert made.warm_at(Backend("b", started_us=NOW - 2 * SECOND), NOW, COLD) == NOW - 2 * SECOND + COLD
    assert made.warm_at(Backend("c", started_us=NOW + HOUR), NOW, COLD) == NOW + COLD


@pytest.mark.parametrize("off_us", [-HOUR, -SECOND, 0, HOUR])
def test_a_start_that_is_told_later_counts_from_when_it_is_heard(off_us: int) -> None:
    made = SlowStart()
    made.followed()
    assert made.warm_at(Backend("a", started_us=NOW + off_us), NOW, COLD) == NOW + COLD
    assert made.warm_at(Backend("b"), NOW, COLD) == 0


def test_a_server_that_was_off_the_list_comes_back_as_it_was_and_a_new_process_does_not() -> None:
    made = SlowStart()
    made.followed()
    server = Backend("a", started_us=NOW)
    made.departed(server, NOW + 3)
    assert made.warm_at(server, NOW + HOUR, COLD) == NOW + 3
    made.departed(server, NOW + 3)
    anew = server._replace(started_us=NOW + SECOND)
    assert made.warm_at(anew, NOW + HOUR, COLD) == NOW + HOUR + COLD


def test_so_many_that_have_left_are_remembered_and_no_more() -> None:
    made = SlowStart()
    made.followed()
    for number in range(MAX_DEPARTED + 1):
        made.departed(Backend(f"b{number}", started_us=1), 5)
    assert made.warm_at(Backend("b1", started_us=1), NOW, COLD) == 5
    assert made.warm_at(Backend("b0", started_us=1), NOW, COLD) == NOW + COLD
