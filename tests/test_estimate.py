"""The estimate's arithmetic, against values worked by hand."""

from dataclasses import replace
from math import exp

import pytest

from sorrelfront.decisions.balancer import LET_THROUGH, PENALTY, Baseline, Kind, Recent, Server
from sorrelfront.decisions.interface import Backend, Outcome
from tests.helpers import CLASSES, SAFE, balancer, ended, request, sends, settings


def server(decay_us: float = 1_000_000.0) -> Server:
    return Server(Backend("b"), Kind(1.0, 1e12), 9_000_000, decay_us)


def test_a_sample_above_the_projection_replaces_it() -> None:
    one = server()
    one.observe(3.0, 1)
    assert one.estimate == 3.0
    one.observe(2.5, 1_000_001)  # projected: 1 + 2/e = 1.74
    assert one.estimate == 2.5


def test_a_sample_below_the_projection_is_blended_in() -> None:
    one = server()
    one.observe(4.0, 1)
    one.observe(1.0, 500_001)
    weight = exp(-0.5)
    assert one.estimate == pytest.approx(4.0 * weight + 1.0 * (1.0 - weight))


def test_the_projection_fades_to_the_kind_and_not_to_zero() -> None:
    one = server()
    one.kind.value = one.kind.baseline.value = 2.0
    one.observe(6.0, 1)
    assert one.project(1_000_001) == pytest.approx(2.0 + 4.0 * exp(-1.0))
    assert one.project(60_000_001) == pytest.approx(2.0)


def test_an_unseen_server_stands_as_its_kind_does() -> None:
    one = server()
    one.kind.value = one.kind.baseline.value = 1.7
    assert one.project(5) == pytest.approx(1.7)
    assert one.load(5) == pytest.approx(1.7)


def test_load_is_latency_times_pending_and_one() -> None:
    one = server()
    one.observe(3.0, 10)
    one.pending[(1, 0)] = (10, 1000.0)
    one.pending[(2, 0)] = (10, 1000.0)
    assert one.load(10) == pytest.approx(9.0)


def test_the_age_of_the_oldest_pending_attempt_is_a_lower_bound() -> None:
    one = server()
    one.observe(1.0, 0)
    one.pending[(1, 0)] = (0, 10_000.0)
    assert one.load(200_000) == pytest.approx(20.0 * 2)
    assert one.forecast(200_000) == pytest.approx(20.0)


def test_usual_leans_to_the_low_samples() -> None:
    usual = Baseline(5.0)
    for _ in range(200):
        usual.add(1.0)
        usual.add(3.0)
    assert 1.0 < usual.value < 1.8


def test_recent_falls_back_to_the_usual_value() -> None:
    recent = Recent(1.0, 1_000_000.0)
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
    """Without it a dead server's tiny elapsed times would draw every pick."""
    made = balancer(2)
    (target,) = sends(request(made, 1, SAFE, 0))
    ended(made, 1, 0, outcome, 1_000, elapsed_us=200)
    assert made.servers[target].estimate >= PENALTY


def test_a_withdrawn_attempt_is_never_a_reason_to_think_better_of_a_server() -> None:
    made = balancer(2)
    (target,) = sends(request(made, 1, SAFE, 0))
    before = made.servers[target].project(1_000)
    ended(made, 1, 0, Outcome.CANCELLED, 1_000, elapsed_us=1_000)
    assert made.servers[target].project(1_000) >= before


def test_the_first_answers_of_a_class_say_nothing_of_its_servers() -> None:
    """The guess is a third of the aim. Counted against it, every server takes three times what is usual."""
    made = balancer(1)
    for number in range(4):
        request(made, number, SAFE, 0)
    for number in range(4):  # all were sent under the guess
        ended(made, number, 0, Outcome.OK, 100_000, elapsed_us=SAFE.aim_us)
    (one,) = made.servers.values()
    assert made.baselines[SAFE.name].value == pytest.approx(SAFE.aim_us)
    assert one.kind.baseline.value == pytest.approx(1.0) and one.forecast(100_000) == pytest.approx(1.0)


def never() -> float:
    """A draw by which nothing is let through."""
    return 0.999


def test_what_was_learnt_in_a_crowd_does_not_have_idle_servers_refuse() -> None:
    """Its usual latency has come to the aim: no wait is left, and the dearest takes the others' room."""
    made = balancer(4)
    for cls in made.classes.values():
        made.baselines[cls.name].value = cls.aim_us
    made.common_us, made.requests, made.random = SAFE.aim_us, 64, never
    for kind in made.kinds.values():
        kind.value = kind.baseline.value = 1.1  # a tenth of it above the usual
    made.sent_at = 1_000_000
    assert len(sends(request(made, 1, SAFE, 1_000_000))) == 1


def test_an_agent_that_refuses_everything_tries_once_a_mean_aim() -> None:
    """Nothing of what it goes by is news: with little traffic, one in a hundred is none in many seconds."""
    made = balancer(4)
    made.late.set(1.0, 0)
    made.late.baseline.value = 1.0
    made.common_us, made.requests, made.random = SAFE.aim_us, 64, never
    for kind in made.kinds.values():
        kind.value = kind.baseline.value = 100.0
    sent = []
    for number in range(60):  # a request each 20 ms, every mean aim of 100 ms one goes
        now = number * 20_000
        if sends(request(made, number, SAFE, now)):
            sent.append(now)
            ended(made, number, 0, Outcome.TIMEOUT, now, elapsed_us=SAFE.aim_us)
    assert sent == [*range(100_000, 1_200_000, 100_000)]


def test_the_let_through_share_is_small() -> None:
    assert 0 < LET_THROUGH < 0.2


def test_a_lost_attempt_does_not_brand_a_server_that_answers_others() -> None:
    made = balancer(1)
    request(made, 1, SAFE, 0)  # falls silent
    request(made, 2, SAFE, 500_000)
    ended(made, 2, 0, Outcome.OK, 530_000)
    (one,) = made.servers.values()
    assert one.forecast(530_000) < 2.0
    assert sends(request(made, 3, SAFE, 530_000)) == ["b000"]
    # From then on it answers nothing more: that shows.
    assert one.forecast(1_530_000) > 10.0


def test_what_was_learnt_fades_by_the_aims_in_force() -> None:
    """Also of a server that was known before the aims changed: as by a process that began with them."""
    longer = tuple(replace(cls, aim_us=cls.aim_us * 8, deadline_us=cls.deadline_us * 8) for cls in CLASSES)
    began, changed = balancer(1, classes=longer), balancer(1)
    changed.on_settings(settings(classes=longer), 0)
    for made in (began, changed):
        for number in range(12):  # so many that the guesses made of other aims are forgotten
            request(made, number, longer[0], 0, 8_000_000)
            ended(made, number, 0, Outcome.OK, 1_000, elapsed_us=300_000 if number < 11 else 3_000_000)
    loads = [made.servers["b000"].load(2_000_000) for made in (began, changed)]
    lates = [made.late.read(2_000_000) for made in (began, changed)]
    kinds = [next(iter(made.kinds.values())).read(2_000_000) for made in (began, changed)]
    for before, after in (loads, lates, kinds):
        assert after == pytest.approx(before)
    assert began.probe_us == changed.probe_us
