"""Arithmetic of the estimates, compared with values computed by hand."""

from dataclasses import replace
from math import exp

import pytest

from sorrelfront.decisions.balancer import (
    FAILURE_PENALTY,
    PROBE_PROBABILITY,
    Baseline,
    DecayingMean,
    KindStats,
    Server,
)
from sorrelfront.decisions.interface import Backend, Outcome
from tests.helpers import CLASSES, SAFE, balancer, ended, request, sends, settings


def server(decay_us: float = 1_000_000.0) -> Server:
    return Server(Backend("b"), KindStats(1.0, 1e12), 9_000_000, decay_us)


def test_a_sample_above_the_projection_replaces_it() -> None:
    tested = server()
    tested.observe(3.0, 1)
    assert tested.estimate == 3.0
    tested.observe(2.5, 1_000_001)  # projected: 1 + 2/e = 1.74
    assert tested.estimate == 2.5


def test_a_sample_below_the_projection_is_blended_in() -> None:
    tested = server()
    tested.observe(4.0, 1)
    tested.observe(1.0, 500_001)
    weight = exp(-0.5)
    assert tested.estimate == pytest.approx(4.0 * weight + 1.0 * (1.0 - weight))


def test_the_projection_decays_to_the_kind_and_not_to_zero() -> None:
    tested = server()
    tested.kind.value = tested.kind.baseline.value = 2.0
    tested.observe(6.0, 1)
    assert tested.project(1_000_001) == pytest.approx(2.0 + 4.0 * exp(-1.0))
    assert tested.project(60_000_001) == pytest.approx(2.0)


def test_a_server_without_samples_has_the_estimate_of_its_kind() -> None:
    tested = server()
    tested.kind.value = tested.kind.baseline.value = 1.7
    assert tested.project(5) == pytest.approx(1.7)
    assert tested.load(5) == pytest.approx(1.7)


def test_load_is_latency_times_pending_and_one() -> None:
    tested = server()
    tested.observe(3.0, 10)
    tested.pending[(1, 0)] = (10, 1000.0)
    tested.pending[(2, 0)] = (10, 1000.0)
    assert tested.load(10) == pytest.approx(9.0)


def test_the_age_of_the_oldest_pending_attempt_is_a_lower_bound() -> None:
    tested = server()
    tested.observe(1.0, 0)
    tested.pending[(1, 0)] = (0, 10_000.0)
    assert tested.load(200_000) == pytest.approx(20.0 * 2)
    assert tested.forecast(200_000) == pytest.approx(20.0)


def test_the_baseline_is_weighted_towards_low_samples() -> None:
    usual = Baseline(5.0)
    for _ in range(200):
        usual.add(1.0)
        usual.add(3.0)
    assert 1.0 < usual.value < 1.8


def test_the_recent_mean_decays_to_the_baseline() -> None:
    recent = DecayingMean(1.0, 1_000_000.0)
    for _ in range(20):
        recent.add(1.0, 0)
    for _ in range(20):
        recent.add(9.0, 0)
    high = recent.read(0)
    usual = recent.baseline.value
    assert high > 5.0
    assert recent.read(1_000_000) == pytest.approx(usual + (high - usual) * exp(-1.0))


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.RESET])
def test_a_fast_failure_enters_as_the_penalty(outcome: Outcome) -> None:
    """Without the penalty, the short elapsed times of a dead server would attract every pick."""
    lb = balancer(2)
    (target,) = sends(request(lb, 1, SAFE, 0))
    ended(lb, 1, 0, outcome, 1_000, elapsed_us=200)
    assert lb.servers[target].estimate >= FAILURE_PENALTY


def test_a_cancelled_attempt_never_improves_the_estimate() -> None:
    lb = balancer(2)
    (target,) = sends(request(lb, 1, SAFE, 0))
    before = lb.servers[target].project(1_000)
    ended(lb, 1, 0, Outcome.CANCELLED, 1_000, elapsed_us=1_000)
    assert lb.servers[target].project(1_000) >= before


def test_the_first_answers_of_a_class_say_nothing_of_its_servers() -> None:
    """Relative to the guess, a third of the aim, every server would look three times slower than usual."""
    lb = balancer(1)
    for number in range(4):
        request(lb, number, SAFE, 0)
    for number in range(4):  # all were sent before the first answer
        ended(lb, number, 0, Outcome.OK, 100_000, elapsed_us=SAFE.aim_us)
    (tested,) = lb.servers.values()
    assert lb.baselines[SAFE.name].value == pytest.approx(SAFE.aim_us)
    assert tested.kind.baseline.value == pytest.approx(1.0) and tested.forecast(100_000) == pytest.approx(1.0)


def never_probe() -> float:
    """Return a random number with which no infeasible request is sent."""
    return 0.999


def test_a_usual_latency_learnt_in_overload_does_not_have_requests_to_idle_servers_refused() -> None:
    """Once the usual latency reaches the aim, no class has a wait budget, and all would be refused."""
    lb = balancer(4)
    for cls in lb.classes.values():
        lb.baselines[cls.name].value = cls.aim_us
    lb.usual_us, lb.requests, lb.random = SAFE.aim_us, 64, never_probe
    for kind in lb.kinds.values():
        kind.value = kind.baseline.value = 1.1  # 10 % above the usual latency
    lb.last_sent_at = 1_000_000
    assert len(sends(request(lb, 1, SAFE, 1_000_000))) == 1


def test_an_agent_that_refuses_everything_sends_one_request_per_mean_aim() -> None:
    """It gets no new samples: with little traffic, one request in a hundred is none for many seconds."""
    lb = balancer(4)
    lb.late_share.set(1.0, 0)
    lb.late_share.baseline.value = 1.0
    lb.usual_us, lb.requests, lb.random = SAFE.aim_us, 64, never_probe
    for kind in lb.kinds.values():
        kind.value = kind.baseline.value = 100.0
    sent = []
    for number in range(60):  # a request every 20 ms; one is sent per mean aim of 100 ms
        now = number * 20_000
        if sends(request(lb, number, SAFE, now)):
            sent.append(now)
            ended(lb, number, 0, Outcome.TIMEOUT, now, elapsed_us=SAFE.aim_us)
    assert sent == [*range(100_000, 1_200_000, 100_000)]


def test_the_probe_probability_is_small() -> None:
    assert 0 < PROBE_PROBABILITY < 0.2


def test_a_lost_attempt_does_not_make_a_server_that_answers_others_look_slow() -> None:
    lb = balancer(1)
    request(lb, 1, SAFE, 0)  # is never answered
    request(lb, 2, SAFE, 500_000)
    ended(lb, 2, 0, Outcome.OK, 530_000)
    (tested,) = lb.servers.values()
    assert tested.forecast(530_000) < 2.0
    assert sends(request(lb, 3, SAFE, 530_000)) == ["b000"]
    # It answers nothing from now on, and the forecast rises.
    assert tested.forecast(1_530_000) > 10.0


def test_estimates_decay_by_the_current_aims() -> None:
    """A server known before the aims changed has the decay times of a process started with them."""
    longer = tuple(replace(cls, aim_us=cls.aim_us * 8, deadline_us=cls.deadline_us * 8) for cls in CLASSES)
    began, changed = balancer(1, classes=longer), balancer(1)
    changed.on_settings(settings(classes=longer), 0)
    for lb in (began, changed):
        for number in range(12):  # enough to replace the guesses derived from other aims
            request(lb, number, longer[0], 0, 8_000_000)
            ended(lb, number, 0, Outcome.OK, 1_000, elapsed_us=300_000 if number < 11 else 3_000_000)
    loads = [lb.servers["b000"].load(2_000_000) for lb in (began, changed)]
    lates = [lb.late_share.read(2_000_000) for lb in (began, changed)]
    kinds = [next(iter(lb.kinds.values())).read(2_000_000) for lb in (began, changed)]
    for before, after in (loads, lates, kinds):
        assert after == pytest.approx(before)
    assert began.probe_us == changed.probe_us
