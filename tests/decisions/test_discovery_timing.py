"""Timing of the list: when changes count as known, and when to call again."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelfront.decisions.discovery_timing import (
    KNOWN_AFTER_MOVE_US,
    KNOWN_AFTER_SILENCE_US,
    MAX_BACK_OFF_US,
    MIN_CALL_DURATION_US,
    READ_TIMEOUT_US,
    REOPEN_DELAY_US,
    BackOff,
    WatchTimer,
)

SECOND = 1_000_000
GRACE = 500_000
WITHIN = 10 * SECOND
STALL = 150_000  # a process may be stalled for this long


def watch_timer(pushed: bool = False) -> WatchTimer:
    return WatchTimer(pushed, Random(1).random, WITHIN, GRACE)


def test_a_call_is_broken_without_a_whole_line_even_if_bytes_arrive() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    assert call.timeout_at == READ_TIMEOUT_US
    call.response_started(SECOND)
    timer.line_received(call, 2 * SECOND)
    assert call.timeout_at == 2 * SECOND + READ_TIMEOUT_US


def test_after_a_silence_it_calls_soon_until_missed_changes_count_and_then_the_back_off_decides() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    timer.line_received(call, SECOND)
    now = call.timeout_at
    calls = 0
    while (wait := timer.call_ended(call, now, silent=True)) is not None:
        assert 0 <= wait <= 1.5 * MAX_BACK_OFF_US
        now += wait
        if now >= SECOND + KNOWN_AFTER_SILENCE_US:
            break
        calls += 1
        call = timer.call_opened(now)  # refused at once
    assert calls >= 4
    assert timer.call_ended(call, SECOND + KNOWN_AFTER_SILENCE_US, silent=False) is None
    assert timer.known_at is None


def test_a_line_of_the_new_call_ends_the_short_waits() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    timer.line_received(call, 0)
    assert timer.call_ended(call, READ_TIMEOUT_US, silent=True) is not None
    again = timer.call_opened(READ_TIMEOUT_US + GRACE)
    timer.line_received(again, READ_TIMEOUT_US + GRACE)
    assert timer.known_at is None
    assert timer.call_ended(again, READ_TIMEOUT_US + 2 * GRACE, silent=False) is None


def test_a_watch_that_ends_is_opened_again_at_once() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    timer.line_received(call, SECOND)
    wait = timer.call_ended(call, 2 * SECOND, silent=False)
    assert wait is not None and wait <= 1.5 * REOPEN_DELAY_US


@pytest.mark.parametrize(("heard", "lasted_us"), [(True, MIN_CALL_DURATION_US - 1), (False, 2 * SECOND)])
def test_a_call_that_ends_early_or_without_a_line_is_left_to_the_back_off(
    heard: bool, lasted_us: int
) -> None:
    """A service that ends each call at once, or accepts calls and sends nothing, is not called at once."""
    timer = watch_timer()
    call = timer.call_opened(0)
    if heard:
        timer.line_received(call, 0)
    assert timer.call_ended(call, lasted_us, silent=False) is None


def test_a_call_without_any_line_adds_no_missed_changes() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    assert timer.call_ended(call, READ_TIMEOUT_US, silent=True) is None


def test_after_a_change_of_address_it_calls_soon_until_changes_there_count() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    timer.line_received(call, SECOND)
    timer.address_changed(2 * SECOND)
    new = timer.call_opened(2 * SECOND)
    # The earlier call still receives lines, which do not count for the new address.
    timer.line_received(call, 2 * SECOND + 1)
    assert timer.known_at == 2 * SECOND + KNOWN_AFTER_MOVE_US
    assert timer.call_ended(new, 3 * SECOND, silent=False) is not None
    newer = timer.call_opened(3 * SECOND)
    timer.line_received(newer, 3 * SECOND)
    assert timer.known_at is None


def test_after_a_silence_and_a_change_of_address_the_earlier_time_counts() -> None:
    timer = watch_timer()
    call = timer.call_opened(0)
    timer.line_received(call, 0)
    timer.address_changed(0)
    timer.call_ended(call, READ_TIMEOUT_US, silent=True)
    assert timer.known_at == min(KNOWN_AFTER_MOVE_US, KNOWN_AFTER_SILENCE_US)


def test_a_pushed_list_is_called_again_at_once_in_any_case() -> None:
    timer = watch_timer(pushed=True)
    call = timer.call_opened(0)
    for now in range(0, 100 * SECOND, SECOND):
        wait = timer.call_ended(call, now, silent=False)
        assert wait is not None and 0 < wait < SECOND
        call = timer.call_opened(now)


@pytest.mark.parametrize("within_us", [400_000, SECOND, 10 * SECOND])
def test_the_back_off_doubles_up_to_its_bounds_and_is_reset(within_us: int) -> None:
    back_off = BackOff(Random(3).random)
    assert 0 <= back_off.first(within_us, GRACE) <= 0.2 * min(within_us, GRACE)
    waits = [back_off.failed(within_us, GRACE) for _ in range(12)]
    assert waits[0] <= 0.15 * GRACE and max(waits) <= min(3 * within_us, 1.05 * SECOND)
    assert min(waits[6:]) >= min(within_us, 350_000)  # a service with too many callers gets fewer calls
    back_off.reset()
    assert back_off.failed(within_us, GRACE) <= 0.15 * GRACE


def test_an_unreachable_service_is_called_without_growing_waits() -> None:
    timer = watch_timer()
    for now in range(0, 100 * SECOND, SECOND):
        wait = timer.call_ended(timer.call_opened(now), now, silent=False, unreachable=True)
        assert wait is not None and 0.1 * GRACE <= wait <= 0.3 * GRACE


def test_calls_that_fail_after_a_silence_are_made_less_and_less_often() -> None:
    """All watches may fall silent together; then all agents call the service together."""
    timer = watch_timer()
    call = timer.call_opened(0)
    timer.line_received(call, 0)
    waits = []
    for _ in range(4):
        wait = timer.call_ended(call, READ_TIMEOUT_US, silent=True)
        assert wait is not None
        waits.append(wait)
    assert waits[0] <= 0.15 * GRACE and waits[3] >= 0.4 * GRACE


@given(
    st.integers(0, 600 * SECOND),
    st.integers(GRACE, 10 * SECOND),
    st.integers(0, 2**32),
    st.integers(0, 5_000),
)
def test_the_waits_after_failed_calls_fit_in_the_drain_grace(
    within_us: int, grace_us: int, seed: int, failures: int
) -> None:
    """A watch ends in place of reporting a change, and the service rejects the next two calls.

    The number of failed calls before that watch must not matter.
    """
    back_off = BackOff(Random(seed).random)
    for _ in range(failures):
        back_off.failed(within_us, grace_us)
    back_off.reset()
    waited = back_off.failed(within_us, grace_us) + back_off.failed(within_us, grace_us)
    assert waited >= 50_000 and waited + 1.5 * REOPEN_DELAY_US + STALL <= grace_us + 50_000
    first = BackOff(Random(seed).random).first(within_us, grace_us)
    assert first >= 0 and first + waited + STALL <= grace_us + 50_000


def test_the_age_of_the_list() -> None:
    timer = watch_timer()
    assert timer.age_us(5) is None
    call = timer.call_opened(0)
    timer.line_received(call, SECOND)
    assert timer.age_us(3 * SECOND) == 2 * SECOND
