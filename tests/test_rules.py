"""Picks, the four rules and known faults; each test fails without the code that prevents its fault."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sorrelfront.decisions.balancer import RETRY_BURST, RETRY_SHARE, Balancer
from sorrelfront.decisions.interface import (
    AttemptEnded,
    Backend,
    BackendList,
    CancelAttempt,
    ClientGone,
    Effect,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    SetTimer,
    State,
    StreamStarted,
    Subscribe,
    Timer,
)
from tests.helpers import (
    BY_CELL,
    BY_ZONE,
    KEYED,
    SAFE,
    UNSAFE,
    backends,
    balancer,
    ended,
    request,
    sends,
    settings,
)

MAY_HAVE_RUN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
NEVER_RAN = [Outcome.REJECTED, Outcome.UNREACHABLE]


# The pick


def test_of_two_servers_the_less_loaded_is_picked() -> None:
    lb = balancer(2)
    lb.servers["b000"].observe(5.0, 0)
    lb.servers["b001"].observe(1.0, 0)
    for number in range(20):
        assert sends(request(lb, number, SAFE, 0)) == ["b001"]
        ended(lb, number, 0, Outcome.OK, 0)


def test_pending_requests_count() -> None:
    lb = balancer(2)
    picked = [sends(request(lb, number, SAFE, 0))[0] for number in range(10)]
    assert picked.count("b000") == picked.count("b001") == 5


def test_all_servers_of_a_small_list_are_used() -> None:
    lb = balancer(4)
    picked = {sends(request(lb, number, SAFE, 0))[0] for number in range(60)}
    assert picked == {"b000", "b001", "b002", "b003"}


def test_a_single_server_is_enough() -> None:
    assert sends(request(balancer(1), 1, SAFE, 0)) == ["b000"]


def test_slices_of_quiet_agents_cover_the_fleet_evenly() -> None:
    """If slices were not placed by agent number, they would overload a part of the fleet."""
    count: dict[str, int] = {}
    for number in range(40):
        lb = balancer(80, number=number, agents=40)
        for server in lb.slice:
            count[server.info.id] = count.get(server.info.id, 0) + 1
    assert len(count) == 80 and set(count.values()) == {2}


def test_a_busy_agent_widens_its_slice() -> None:
    lb = balancer(80)
    now = 0
    for number in range(1_000):
        now += 10_000  # 100 requests a second
        request(lb, number, SAFE, now)
        ended(lb, number, 0, Outcome.OK, now)
    assert 40 <= len(lb.slice) <= 60


def test_a_slice_moves_by_little_when_a_server_leaves() -> None:
    lb = balancer(80, number=20, agents=40)
    before = {server.info.id for server in lb.slice}
    lb.on_list(BackendList(ListKind.DELTA, (Backend("b000", state=State.GONE),)), 1)
    assert len(before & {server.info.id for server in lb.slice}) >= len(before) - 1


# Rule 1: no request lost


def test_a_request_without_any_server_is_held_with_a_timer_and_sent_later() -> None:
    lb = balancer(0)
    (timer,) = request(lb, 1, SAFE, 0)
    assert isinstance(timer, SetTimer) and timer.delay_us > 0
    lb.on_list(BackendList(ListKind.FULL, backends(2)), 10)
    assert len(sends(lb.on_timer(Timer(timer.tag), timer.delay_us))) == 1


def test_a_request_held_to_its_deadline_is_answered() -> None:
    lb = balancer(0)
    now = 0
    (action,) = request(lb, 1, SAFE, now)
    while isinstance(action, SetTimer):
        now += action.delay_us
        (action,) = lb.on_timer(Timer(action.tag), now)
    assert isinstance(action, Refuse) and now <= 1_000_000


def test_a_time_out_at_the_deadline_is_answered() -> None:
    lb = balancer(2)
    request(lb, 1, UNSAFE, 0)
    assert ended(lb, 1, 0, Outcome.TIMEOUT, 1_000_000) == [Fail(1)]


def test_events_of_a_request_no_longer_held_are_ignored() -> None:
    lb = balancer(2)
    request(lb, 1, SAFE, 0)
    ended(lb, 1, 0, Outcome.OK, 10)
    assert ended(lb, 1, 0, Outcome.OK, 11) == []
    assert ended(lb, 7, 3, Outcome.OK, 11) == []
    assert lb.on_client_gone(ClientGone(1), 12) == []
    assert lb.on_timer(Timer("1"), 13) == []
    assert lb.on_timer(Timer("nobody's"), 13) == []
    assert lb.on_stream_started(StreamStarted(1, 0), 14) == []


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    lb = balancer(2)
    request(lb, 1, SAFE, 0)
    assert lb.on_client_gone(ClientGone(1), 5) == [CancelAttempt(1, 0)]
    assert ended(lb, 1, 0, Outcome.CANCELLED, 6) == []
    assert not any(server.pending for server in lb.servers.values())


def test_nothing_is_cancelled_if_that_is_not_allowed() -> None:
    lb = balancer(2, may_cancel=False)
    request(lb, 1, SAFE, 0)
    assert lb.on_client_gone(ClientGone(1), 5) == []


def test_attempts_are_limited() -> None:
    lb = balancer(8, max_attempts=2)
    request(lb, 1, SAFE, 0)
    assert len(sends(ended(lb, 1, 0, Outcome.ERROR, 10))) == 1
    assert isinstance(ended(lb, 1, 1, Outcome.ERROR, 20)[0], Refuse)


# Rule 2: no effect twice


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_failed(outcome: Outcome) -> None:
    lb = balancer(4)
    request(lb, 1, UNSAFE, 0)
    assert ended(lb, 1, 0, outcome, 10) == [Fail(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_is_tried_again_and_may_be_refused(outcome: Outcome) -> None:
    lb = balancer(4)
    request(lb, 1, UNSAFE, 0)
    assert len(sends(ended(lb, 1, 0, outcome, 10))) == 1
    lb.retries = 0.0
    assert isinstance(ended(lb, 1, 1, outcome, 20)[0], Refuse)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("cls", [BY_ZONE, BY_CELL])
def test_a_keyed_request_stays_in_its_group(cls: RequestClass, outcome: Outcome) -> None:
    fleet = tuple(Backend(f"b{i:03}", zone=f"z{i % 3}", cell=i % 3) for i in range(9))
    for seed in range(30):
        lb = Balancer(settings(), seed, 0)
        lb.on_list(BackendList(ListKind.FULL, fleet), 0)
        (target,) = sends(request(lb, 1, cls, 0))
        (again,) = sends(ended(lb, 1, 0, outcome, 10))
        assert int(again[1:]) % 3 == int(target[1:]) % 3


@pytest.mark.parametrize(("at_us", "resent"), [(19_000, 1), (20_000, 0)])
def test_the_window_counts_from_the_first_attempt_that_may_have_run(at_us: int, resent: int) -> None:
    lb = Balancer(settings(classes=(replace(KEYED, dedup_window_us=20_000),)), 1, 0)
    lb.on_list(BackendList(ListKind.FULL, backends(6)), 0)
    request(lb, 1, KEYED, 0)
    assert len(sends(ended(lb, 1, 0, Outcome.ERROR, 5_000))) == 1
    assert len(sends(ended(lb, 1, 1, Outcome.ERROR, at_us))) == resent


def test_a_keyed_request_is_free_again_when_its_attempt_never_ran() -> None:
    fleet = tuple(Backend(f"b{i:03}", cell=i) for i in range(4))
    moved = 0
    for seed in range(20):
        lb = Balancer(settings(), seed, 0)
        lb.on_list(BackendList(ListKind.FULL, fleet), 0)
        first = sends(request(lb, 1, BY_CELL, 0))
        moved += sends(ended(lb, 1, 0, Outcome.REJECTED, 400_000)) != first
    assert moved > 10


@pytest.mark.parametrize("cls", [BY_ZONE, BY_CELL])
def test_a_refusal_is_not_given_where_a_repeat_could_run_twice(cls: RequestClass) -> None:
    lb = balancer(4)
    lb.retries = 0.0
    request(lb, 1, cls, 0)
    lb.retries = 0.0
    assert ended(lb, 1, 0, Outcome.ERROR, 10) == [Fail(1)]


# Rule 3: drains kept


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
@pytest.mark.parametrize("kind", [ListKind.CACHED, ListKind.FULL, ListKind.DELTA])
def test_nothing_new_goes_to_a_server_that_drains_or_is_gone(state: State, kind: ListKind) -> None:
    lb = balancer(3)
    entries = list(backends(3))
    entries[0] = entries[0]._replace(state=state)
    lb.on_list(BackendList(kind, tuple(entries)), 10)
    for number in range(50):
        assert "b000" not in sends(request(lb, number, SAFE, 10))


def test_a_server_missing_from_a_whole_list_is_gone() -> None:
    lb = balancer(3)
    lb.on_list(BackendList(ListKind.FULL, backends(2)), 10)
    for number in range(50):
        assert "b002" not in sends(request(lb, number, SAFE, 10))


def test_an_attempt_out_to_a_server_that_left_is_still_settled() -> None:
    lb = balancer(1)
    request(lb, 1, SAFE, 0)
    lb.on_list(BackendList(ListKind.FULL, ()), 5)
    assert isinstance(ended(lb, 1, 0, Outcome.RESET, 10)[0], Refuse)


# Rule 4: no cold server overloaded


def cold_share(
    cold: int, total: int, now: int, started_us: int, agents: int, each: int
) -> tuple[float, float]:
    """Return the most sent to one cold server, in multiples of the mean, and the share of requests sent."""
    sent: dict[str, int] = {}
    for number in range(agents):
        lb = Balancer(settings(number=number, agents=agents), number, now)
        fleet = tuple(Backend(f"b{i:03}", started_us=started_us if i < cold else 0) for i in range(total))
        lb.on_list(BackendList(ListKind.FULL, fleet), now)
        for index in range(each):
            for target in sends(request(lb, index, SAFE, now)):
                sent[target] = sent.get(target, 0) + 1
                ended(lb, index, 0, Outcome.OK, now)
    mean = agents * each / total
    highest = max(sent.get(f"b{i:03}", 0) for i in range(cold)) / mean
    return highest, sum(sent.values()) / (agents * each)


def test_many_agents_send_a_cold_server_no_more_than_its_warmth() -> None:
    started = 1_000_000
    highest, _ = cold_share(cold=4, total=20, now=started + 1, started_us=started, agents=200, each=50)
    assert 0.0 < highest <= 0.3 * 1.25  # warmth 0.3, with a margin for chance
    half = started + 4_500_000
    highest, _ = cold_share(cold=4, total=20, now=half, started_us=started, agents=200, each=50)
    assert 0.3 < highest <= 0.65 * 1.25


def test_a_fleet_of_cold_servers_is_not_overloaded_and_the_rest_is_refused() -> None:
    started = 1_000_000
    highest, served = cold_share(cold=20, total=20, now=started + 1, started_us=started, agents=200, each=50)
    assert highest <= 0.3 * 1.25 and served == pytest.approx(0.3, abs=0.05)


def test_retries_do_not_go_to_a_cold_server() -> None:
    fleet = (Backend("b000"), Backend("b001"), Backend("b002", started_us=1))
    for seed in range(40):
        lb = Balancer(settings(), seed, 2)
        lb.on_list(BackendList(ListKind.FULL, fleet), 2)
        request(lb, 1, SAFE, 2)
        assert sends(ended(lb, 1, 0, Outcome.ERROR, 10)) != ["b002"]


def test_a_restart_is_seen_by_its_new_start_time() -> None:
    lb = balancer(2, now=0)
    lb.servers["b000"].observe(9.0, 5)
    lb.on_list(BackendList(ListKind.DELTA, (Backend("b000", started_us=10),)), 20)
    assert lb.servers["b000"].warm_at == 20 + 9_000_000  # from when it is received, since clocks differ
    assert lb.servers["b000"].project(20) == pytest.approx(1.0)


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT])
def test_attempts_at_a_process_that_was_replaced_say_nothing_about_the_new_one(outcome: Outcome) -> None:
    """Their failures closed the circuit breaker of the process that has just started."""
    lb = balancer(1)
    for number in range(4):
        assert sends(request(lb, number, UNSAFE, 0)) == ["b000"]
    lb.on_list(BackendList(ListKind.DELTA, (Backend("b000", started_us=10),)), 20)
    assert not lb.servers["b000"].pending
    for number in range(4):
        ended(lb, number, 0, outcome, 30)
    assert lb.servers["b000"].accepts(31)
    assert lb.servers["b000"].project(31) == pytest.approx(1.0)


# Failures, retries and overload


def test_a_server_that_refuses_connections_is_left_alone_then_tried_once() -> None:
    lb = balancer(2)
    lb.servers["b000"].observe(0.1, 0)
    lb.servers["b001"].observe(3.0, 0)
    assert sends(request(lb, 1, SAFE, 0)) == ["b000"]
    ended(lb, 1, 0, Outcome.UNREACHABLE, 0, elapsed_us=100)
    for number in range(2, 20):
        assert sends(request(lb, number, SAFE, 1_000)) in ([], ["b001"])
    lb.servers["b001"].observe(99.0, 260_000)
    later = [target for n in range(20, 40) for target in sends(request(lb, n, SAFE, 260_000))]
    assert later.count("b000") == 1


def test_retries_are_limited_by_the_budget() -> None:
    """Without the budget each failure adds a retry, and the load doubles: a retry storm."""
    lb = balancer(40)
    retried = 0
    for number in range(100):
        lb.slice = lb.ready
        if sends(request(lb, number, SAFE, 0)):
            attempt = 0
            while sends(ended(lb, number, attempt, Outcome.REJECTED, 0)):
                retried += 1
                attempt += 1
    assert retried <= RETRY_BURST + RETRY_SHARE * 100 + 1


def test_in_overload_requests_are_refused_early_but_never_all() -> None:
    lb = balancer(4)
    now = 1_000_000
    number = 0
    for _ in range(30):
        number += 1
        request(lb, number, SAFE, now)
        ended(lb, number, 0, Outcome.OK, now, elapsed_us=20_000)
    for _ in range(200):
        now += 5_000
        number += 1
        if sends(request(lb, number, SAFE, now)):
            ended(lb, number, 0, Outcome.OK, now, elapsed_us=600_000)
    answers = [request(lb, number + n, SAFE, now)[0] for n in range(1, 300)]
    refused = sum(isinstance(answer, Refuse) for answer in answers)
    assert 0.8 * len(answers) < refused < len(answers)
    for answer in answers:
        if isinstance(answer, Send):
            ended(lb, answer.request_id, 0, Outcome.OK, now, elapsed_us=600_000)
    later = now + 60_000_000  # long after the overload no request may be refused
    assert all(isinstance(request(lb, 10_000 + n, SAFE, later)[0], Send) for n in range(3))


def test_in_overload_the_most_valuable_class_is_refused_last() -> None:
    """Compared by total latency, the class with the longest usual latency would be refused first."""
    cheap = RequestClass("cheap", Effect.SAFE, aim_us=1_000_000, deadline_us=5_000_000, worth=1.0)
    dear = RequestClass("dear", Effect.SAFE, aim_us=1_000_000, deadline_us=5_000_000, worth=10.0)
    sent = {"cheap": 0, "dear": 0}
    for seed in range(50):
        lb = Balancer(settings(classes=(cheap, dear), worth_by_work=True), seed, 0)
        lb.on_list(BackendList(ListKind.FULL, backends(2)), 0)
        lb.baselines["cheap"].value, lb.baselines["dear"].value = 200_000.0, 600_000.0
        lb.late_share.value = lb.late_share.baseline.value = 0.05
        for server in lb.servers.values():
            server.observe(1.4, 0)
            server.mean = 1.4  # an expected wait of 0.1 to 0.2 s
        for number, cls in enumerate((cheap, dear)):
            sent[cls.name] += len(sends(request(lb, number, cls, 0, 5_000_000)))
    assert sent["dear"] == 50 and sent["cheap"] < 10


@pytest.mark.parametrize(("late", "low", "high"), [(0.01, 0.0, 0.10), (0.9, 0.10, 0.25)])
def test_two_overloaded_servers_do_not_have_requests_refused_if_the_fleet_is_not(
    late: float, low: float, high: float
) -> None:
    """Two of four servers are overloaded: one draw in six has both, while the others are idle."""
    refused = 0
    for seed in range(300):
        lb = balancer(4, seed=seed)
        lb.late_share.value = lb.late_share.baseline.value = late
        for name in ("b000", "b001"):
            lb.servers[name].observe(300.0, 0)
        refused += isinstance(request(lb, 1, SAFE, 0)[0], Refuse)
    assert low <= refused / 300 <= high


def test_a_client_retry_is_refused_before_a_first_try() -> None:
    """Its aim counts from the first try; treated as a first try, it adds late answers to an overload."""
    refused = {False: 0, True: 0}
    for seed in range(50):
        for is_retry in (False, True):
            lb = balancer(2, seed=seed)
            lb.late_share.value = lb.late_share.baseline.value = 0.05
            for server in lb.servers.values():
                server.observe(1.6, 0)
                server.mean = 2.6  # expected wait: 53 ms of 60
            (answer,) = lb.on_request(Request(1, "read", 1_000_000, is_retry=is_retry), 0)
            refused[is_retry] += isinstance(answer, Refuse)
    assert refused[False] == 0 and refused[True] > 40


def test_a_costly_request_does_not_make_its_server_look_slow() -> None:
    lb = balancer(1)
    for number in range(20):
        lb.on_request(Request(number, "read", 1_000_000, cost_hint_us=10_000), 0)
        ended(lb, number, 0, Outcome.OK, 1, elapsed_us=10_000)
    lb.on_request(Request(50, "read", 1_000_000, cost_hint_us=70_000), 1)
    ended(lb, 50, 0, Outcome.OK, 1, elapsed_us=40_000)
    assert lb.servers["b000"].project(1) < 1.5


def test_errors_of_one_class_do_not_have_other_requests_refused() -> None:
    lb = balancer(4)
    now = 0
    answered = 0
    for number in range(400):
        now += 50_000
        cls = UNSAFE if number % 4 == 0 else SAFE
        if sends(request(lb, number, cls, now)):
            outcome = Outcome.ERROR if cls is UNSAFE else Outcome.OK
            ended(lb, number, 0, outcome, now + 20_000, elapsed_us=20_000)
            answered += outcome is Outcome.OK
    assert answered > 150


# Discovery


def test_the_subscription_is_asked_for_once_with_a_seeded_spread() -> None:
    delays = set()
    for seed in range(20):
        lb = Balancer(settings(subscribe=True), seed, 0)
        (timer,) = lb.start()
        assert isinstance(timer, SetTimer) and 0 <= timer.delay_us <= 5_000_000
        delays.add(timer.delay_us)
        assert lb.on_timer(Timer(timer.tag), timer.delay_us) == [Subscribe()]
    assert len(delays) == 20


def test_pushed_lists_are_not_asked_for() -> None:
    assert balancer(2).start() == []


def test_failed_discovery_backs_off_and_the_list_held_stays_in_use() -> None:
    # Eight times the first wait is still below the longest back-off.
    lb = balancer(2, subscribe=True)
    waits = []
    for _ in range(6):
        (timer,) = lb.on_list(BackendList(ListKind.FAILED), 0)
        assert isinstance(timer, SetTimer)
        waits.append(timer.delay_us)
        assert lb.on_list(BackendList(ListKind.FAILED), 0) == []  # one call at a time
        lb.on_timer(Timer(timer.tag), 0)
    assert waits[5] > 3 * waits[0]
    assert len(sends(request(lb, 1, SAFE, 0))) == 1


# Settings


@pytest.mark.parametrize(
    ("field", "value"),
    [("cold_us", -1), ("cold_from", 0.0), ("classes", ()), ("max_attempts", 0), ("number", 3)],
)
def test_invalid_settings_are_named_in_the_error(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_a_class_without_an_aim_is_named_in_the_error() -> None:
    with pytest.raises(ValueError, match="odd"):
        settings(classes=(RequestClass("odd", Effect.SAFE, 0, 5),))


def test_the_end_of_an_unknown_attempt_is_ignored() -> None:
    lb = balancer(2)
    assert lb.on_attempt_ended(AttemptEnded(5, 0, Outcome.OK, 5, True), 5) == []


def test_without_a_server_a_request_is_held_for_its_aim_and_not_to_its_deadline() -> None:
    lb = balancer(0)
    (timer,) = request(lb, 1, SAFE, 0, left_us=1_000_000)
    assert isinstance(timer, SetTimer)
    (timer,) = lb.on_timer(Timer(timer.tag), SAFE.aim_us - 1)
    assert timer == SetTimer(1, "1")
    (answer,) = lb.on_timer(Timer(timer.tag), SAFE.aim_us)
    assert isinstance(answer, Refuse) and answer.retry_after_us > 0
