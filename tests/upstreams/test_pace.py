"""How long a server may pause within an answer that is passed on."""

from __future__ import annotations

import pytest

from sorrelfront.upstreams.pace import LATE_S, MAX_LATE_WAIT_S, MAX_PAUSE_S, MIN_PAUSE_S, AnswerPace


@pytest.mark.parametrize("left_s", [0.0, 0.2, 1.0, 5.0, 60.0])
def test_a_pause_lasts_until_the_clients_time_is_over_and_hardly_longer(left_s: float) -> None:
    """Guards against a sound answer that is cut off in time, and a hung one that ends long after it."""
    limit_s = AnswerPace().limit_s(left_s)
    assert limit_s >= max(left_s + LATE_S, MIN_PAUSE_S)
    assert limit_s <= max(left_s + LATE_S, MIN_PAUSE_S) + 1e-9


def test_past_the_clients_time_a_pause_may_be_longer_than_those_before() -> None:
    """Guards against a late answer that is cut off between two of its usual lumps."""
    pace = AnswerPace()
    pace.paused(0.8, left_s=2.0, received=50_000)
    assert pace.limit_s(-0.5) == pytest.approx(1.6)
    assert pace.limit_s(0.1) == pytest.approx(1.6)
    pace.paused(5.0, left_s=5.0, received=50_000)
    assert pace.limit_s(-0.5) == MAX_PAUSE_S


def test_what_an_answer_has_paused_already_counts() -> None:
    """Guards against a hung answer that is given a whole pause more as it is passed on."""
    assert AnswerPace().limit_s(0.0, paused_s=2.0) == LATE_S
    assert AnswerPace().limit_s(0.0, paused_s=0.2) == pytest.approx(MIN_PAUSE_S - 0.2)


def test_a_server_that_trickles_past_the_clients_time_is_given_up() -> None:
    """Guards against an answer without an end that holds its client for as long as it likes."""
    pace = AnswerPace(longest_s=1.0)
    waited_s = 0.0
    while pace.limit_s(-1.0) > 0.9:
        pace.paused(0.9, left_s=-1.0, received=1)
        waited_s += 0.9
    assert MAX_LATE_WAIT_S - 2.0 < waited_s <= MAX_LATE_WAIT_S


def test_a_server_that_keeps_its_rate_past_the_clients_time_is_waited_for() -> None:
    pace = AnswerPace()
    for _ in range(500):
        pace.paused(0.9, left_s=-1.0, received=32 * 1024)
    assert pace.limit_s(-1.0) == pytest.approx(1.8)


def test_a_pause_within_the_clients_time_does_not_count_as_late() -> None:
    pace = AnswerPace()
    for _ in range(100):
        pace.paused(1.0, left_s=30.0, received=1)
    assert pace.late_s == 0.0
