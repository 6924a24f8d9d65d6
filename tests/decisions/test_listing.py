"""The list's clock: what counts as told when, and when to ask again."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelfront.decisions.listing import (
    AT_ONCE_US,
    BACK_OFF_LONGEST_US,
    COUNTS_US,
    LASTED_US,
    MOVED_US,
    SILENCE_US,
    BackOff,
    WatchTimer,
)

SECOND = 1_000_000
GRACE = 500_000
WITHIN = 10 * SECOND
HELD_UP = 150_000  # a process may stand still for so long


def clock(pushed: bool = False) -> WatchTimer:
    return WatchTimer(pushed, Random(1).random, WITHIN, GRACE)


def test_a_call_is_broken_without_a_whole_line_however_it_drips() -> None:
    made = clock()
    call = made.opened(0)
    assert call.due == SILENCE_US
    call.began(SECOND)
    made.line(call, 2 * SECOND)
    assert call.due == 2 * SECOND + SILENCE_US


def test_after_a_silence_it_asks_soon_until_what_was_missed_counts_and_then_leaves_it_to_the_back_off() -> (
    None
):
    made = clock()
    call = made.opened(0)
    made.line(call, SECOND)
    now = call.due
    calls = 0
    while (wait := made.ended(call, now, silent=True)) is not None:
        assert 0 <= wait <= 1.5 * BACK_OFF_LONGEST_US
        now += wait
        if now >= SECOND + COUNTS_US:
            break
        calls += 1
        call = made.opened(now)  # refused at once
    assert calls >= 4
    assert made.ended(call, SECOND + COUNTS_US, silent=False) is None
    assert made.counts_at is None


def test_a_line_of_the_new_call_ends_the_haste() -> None:
    made = clock()
    call = made.opened(0)
    made.line(call, 0)
    assert made.ended(call, SILENCE_US, silent=True) is not None
    again = made.opened(SILENCE_US + GRACE)
    made.line(again, SILENCE_US + GRACE)
    assert made.counts_at is None
    assert made.ended(again, SILENCE_US + 2 * GRACE, silent=False) is None


def test_a_watch_that_ends_may_end_instead_of_telling_and_is_opened_again_at_once() -> None:
    made = clock()
    call = made.opened(0)
    made.line(call, SECOND)
    wait = made.ended(call, 2 * SECOND, silent=False)
    assert wait is not None and wait <= 1.5 * AT_ONCE_US


@pytest.mark.parametrize(("heard", "lasted_us"), [(True, LASTED_US - 1), (False, 2 * SECOND)])
def test_a_call_that_ends_early_or_unheard_is_the_back_offs(heard: bool, lasted_us: int) -> None:
    """A service that answers and ends each call, or takes calls and says nothing, is not called at once."""
    made = clock()
    call = made.opened(0)
    if heard:
        made.line(call, 0)
    assert made.ended(call, lasted_us, silent=False) is None


def test_a_call_that_never_said_anything_adds_nothing_to_what_was_missed() -> None:
    made = clock()
    call = made.opened(0)
    assert made.ended(call, SILENCE_US, silent=True) is None


def test_after_a_move_it_asks_soon_for_as_long_as_the_move_counts() -> None:
    made = clock()
    call = made.opened(0)
    made.line(call, SECOND)
    made.moved(2 * SECOND)
    new = made.opened(2 * SECOND)
    made.line(call, 2 * SECOND + 1)  # the earlier one is still heard, and settles nothing there
    assert made.counts_at == 2 * SECOND + MOVED_US
    assert made.ended(new, 3 * SECOND, silent=False) is not None
    newer = made.opened(3 * SECOND)
    made.line(newer, 3 * SECOND)
    assert made.counts_at is None


def test_a_silence_that_begins_as_it_moves_counts_from_whichever_is_first() -> None:
    made = clock()
    call = made.opened(0)
    made.line(call, 0)
    made.moved(0)
    made.ended(call, SILENCE_US, silent=True)
    assert made.counts_at == min(MOVED_US, COUNTS_US)


def test_a_pushed_list_is_asked_again_at_once_whatever_happened() -> None:
    made = clock(pushed=True)
    call = made.opened(0)
    for now in range(0, 100 * SECOND, SECOND):
        wait = made.ended(call, now, silent=False)
        assert wait is not None and 0 < wait < SECOND
        call = made.opened(now)


@pytest.mark.parametrize("within_us", [400_000, SECOND, 10 * SECOND])
def test_the_back_off_doubles_up_to_its_bounds_and_is_forgotten(within_us: int) -> None:
    back_off = BackOff(Random(3).random)
    assert 0 <= back_off.first(within_us, GRACE) <= 0.2 * min(within_us, GRACE)
    waits = [back_off.failed(within_us, GRACE) for _ in range(12)]
    assert waits[0] <= 0.15 * GRACE and max(waits) <= min(3 * within_us, 1.05 * SECOND)
    assert min(waits[6:]) >= min(within_us, 350_000)  # a service with too many callers is spared
    back_off.heard()
    assert back_off.failed(within_us, GRACE) <= 0.15 * GRACE


def test_a_service_that_nobody_runs_is_tried_without_growing_waits() -> None:
    made = clock()
    for now in range(0, 100 * SECOND, SECOND):
        wait = made.ended(made.opened(now), now, silent=False, unreachable=True)
        assert wait is not None and 0.1 * GRACE <= wait <= 0.3 * GRACE


def test_calls_that_fail_after_a_silence_are_made_less_and_less_often() -> None:
    """All watches may fall silent together, and all agents then call together."""
    made = clock()
    call = made.opened(0)
    made.line(call, 0)
    waits = []
    for _ in range(4):
        wait = made.ended(call, SILENCE_US, silent=True)
        assert wait is not None
        waits.append(wait)
    assert waits[0] <= 0.15 * GRACE and waits[3] >= 0.4 * GRACE


@given(
    st.integers(0, 600 * SECOND),
    st.integers(GRACE, 10 * SECOND),
    st.integers(0, 2**32),
    st.integers(0, 5_000),
)
def test_no_failures_in_a_row_keep_what_changed_from_being_heard_in_the_grace(
    within_us: int, grace_us: int, seed: int, failures: int
) -> None:
    """The watch ends instead of telling, and the service turns the next two calls away; whatever failed ahead
    of that watch."""
    back_off = BackOff(Random(seed).random)
    for _ in range(failures):
        back_off.failed(within_us, grace_us)
    back_off.heard()
    waited = back_off.failed(within_us, grace_us) + back_off.failed(within_us, grace_us)
    assert waited >= 50_000 and waited + 1.5 * AT_ONCE_US + HELD_UP <= grace_us + 50_000
    first = BackOff(Random(seed).random).first(within_us, grace_us)
    assert first >= 0 and first + waited + HELD_UP <= grace_us + 50_000


def test_how_old_what_is_known_may_be() -> None:
    made = clock()
    assert made.age_us(5) is None
    call = made.opened(0)
    made.line(call, SECOND)
    assert made.age_us(3 * SECOND) == 2 * SECOND
