"""The daemon's decisions about its instances: one case per rule, and random events against a model."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.supervision import Action, Kill, Phase, Policy, Report, Start, Stop, Supervisor

S = 1_000_000
POLICY = Policy(look_us=1_000 * S)  # no step of these tests is taken for a pause of the program


def supervisor(count: int = 3, seed: int = 7) -> Supervisor:
    return Supervisor([f"i{number}" for number in range(count)], POLICY, seed, 0)


def phase(made: Supervisor, name: str) -> Phase:
    return next(item.phase for item in made.instance_statuses() if item.name == name)


def test_all_start_at_once_and_a_ready_one_is_killed_without_heartbeats() -> None:
    made = supervisor()
    assert made.start(0) == [Start("i0", 1), Start("i1", 1), Start("i2", 1)]
    assert made.on_ready("i0", 1, S) == []
    assert made.ready == ["i0"]
    assert made.on_timer(S) == []
    made.on_heartbeat("i0", 1, 5 * S)
    assert not any(isinstance(action, Kill) and action.name == "i0" for action in made.on_timer(9 * S))
    assert Kill("i0", 1, "it gave no sign of life in time") in made.on_timer(10 * S)


def test_one_that_does_not_become_ready_is_killed_and_started_only_after_its_end() -> None:
    made = supervisor(1)
    made.start(0)
    kills = made.on_timer(POLICY.start_within_us)
    assert kills[0] == Kill("i0", 1, "it did not become ready in time")
    assert not any(isinstance(action, Start) for action in made.on_timer(15 * S))
    made.on_end("i0", 1, 16 * S)
    assert made.on_timer(17 * S) == [Start("i0", 2)]


def test_the_wait_doubles_and_a_settled_run_starts_over() -> None:
    made, now, waits = supervisor(1), 0, []
    made.start(now)
    for run in range(1, 4):
        made.on_ready("i0", run, now)
        made.on_end("i0", run, now)
        at = made.next_us()
        assert at is not None
        waits.append(at - now)
        now = at
        made.on_timer(now)
    for index, wait in enumerate(waits):
        full = POLICY.first_wait_us * 2**index
        assert full // 2 <= wait <= full
    made.on_ready("i0", 4, now)
    now += POLICY.settled_us
    made.on_end("i0", 4, now)
    at = made.next_us()
    assert at is not None and at - now <= POLICY.first_wait_us


def test_a_crash_loop_is_reported_once_and_leaves_the_others_alone() -> None:
    made, now, reports = supervisor(2), 0, 0
    made.start(0)
    made.on_ready("i1", 1, 0)
    for run in range(1, 12):
        reports += sum(isinstance(action, Report) for action in made.on_end("i0", run, now))
        while phase(made, "i0") is Phase.BACKOFF:
            now += 100_000
            made.on_heartbeat("i1", 1, now)
            made.on_timer(now)
    assert reports == 1
    assert [item.in_crash_loop for item in made.instance_statuses()] == [True, False]
    assert phase(made, "i1") is Phase.READY
    run = made.instance_statuses()[0].run
    made.on_ready("i0", run, now)
    settled: list[Action] = []
    for _ in range(12):
        now += S
        settled += made.on_heartbeat("i0", run, now)
    assert settled == [Report("i0", "has settled after its crash loop")]


def test_a_late_message_of_an_earlier_run_is_ignored() -> None:
    made = supervisor(1)
    made.start(0)
    made.on_end("i0", 1, 0)
    made.on_timer(S)
    assert made.on_ready("i0", 1, S) == [] and made.on_end("i0", 1, S) == []
    assert phase(made, "i0") is Phase.STARTING


def test_a_second_stop_changes_nothing_and_what_ends_is_not_started_again() -> None:
    made = supervisor(2)
    made.start(0)
    made.on_ready("i0", 1, 0)
    made.on_ready("i1", 1, 0)
    assert made.on_stop(S, 5 * S) == [Stop("i0", 1), Stop("i1", 1)]
    assert made.on_stop(2 * S, 5 * S) == []
    made.on_end("i0", 1, 2 * S)
    assert not made.ended
    assert Kill("i1", 1, "it did not end in time") in made.on_timer(6 * S)
    made.on_end("i1", 1, 6 * S)
    assert made.ended and made.next_us() is None


def test_a_drained_one_stays_out_and_a_restarted_one_comes_back() -> None:
    made = supervisor(2)
    made.start(0)
    made.on_ready("i0", 1, 0)
    made.on_ready("i1", 1, 0)
    assert made.on_drain("i0", S, 5 * S) == [Stop("i0", 1)]
    assert made.on_end("i0", 1, 2 * S) == []
    assert made.on_restart("i1", 2 * S) == [Stop("i1", 1)]
    assert made.on_end("i1", 1, 2 * S) == [Start("i1", 2)]
    assert made.on_timer(4 * S) == [] and phase(made, "i0") is Phase.STOPPED


def test_another_set_of_names_starts_the_new_and_drains_the_rest() -> None:
    made = supervisor(2)
    made.start(0)
    made.on_ready("i0", 1, 0)
    made.on_ready("i1", 1, 0)
    assert made.on_names(["i0", "i5"], S, 5 * S) == [Stop("i1", 1), Start("i5", 1)]


def run_until(made: Supervisor, now: int, until: int) -> list[Action]:
    """Return the actions from `now` to `until` of a program that runs without a pause."""
    actions: list[Action] = []
    while (at := made.next_us()) is not None and at <= until:
        now = max(now, at)
        actions += made.on_timer(now)
    return actions + made.on_timer(until)


def test_a_pause_of_this_program_is_not_taken_for_missed_heartbeats() -> None:
    """After a suspend every deadline has passed at once, and all instances would be killed."""
    made = Supervisor(["i0", "i1", "i2", "i3"], Policy(), 7, 0)
    made.start(0)
    for name in ("i0", "i1", "i3"):
        made.on_ready(name, 1, S)
    made.on_drain("i3", S, 3 * S)
    assert run_until(made, S, 2 * S) == []
    # The host is suspended for ten minutes; the first event afterwards is a heartbeat, or an end.
    back = 602 * S
    made.on_heartbeat("i0", 1, back)
    made.on_end("i1", 1, back)
    acted = made.on_timer(back) + run_until(made, back, back + S)
    assert not any(isinstance(action, Kill) for action in acted)
    # From here on each has the remainder of its time, and no more.
    acted = run_until(made, back + S, back + 9 * S)
    kills = [action for action in acted if isinstance(action, Kill)]
    assert Kill("i3", 1, "it did not end in time") in kills
    assert Kill("i2", 1, "it did not become ready in time") in kills
    assert Kill("i0", 1, "it gave no sign of life in time") in kills


def test_a_hang_before_the_next_heartbeat_is_detected_by_the_new_policy() -> None:
    made = supervisor(1)
    made.start(0)
    made.on_ready("i0", 1, 0)
    made.on_policy(Policy(silent_us=S, look_us=1_000 * S), S)
    assert made.on_timer(2 * S - 1) == []
    assert Kill("i0", 1, "it gave no sign of life in time") in made.on_timer(2 * S)


def test_a_hang_is_detected_in_time_by_a_program_that_is_a_little_late() -> None:
    """Short delays of this program must not extend the deadlines of instances again and again."""
    made, now = Supervisor(["i0"], Policy(), 7, 0), 0
    made.start(0)
    made.on_ready("i0", 1, 0)
    while made.ready:
        at = made.next_us()
        assert at is not None
        now = max(now, at) + Policy().look_us // 2  # a busy machine
        made.on_timer(now)
    assert Policy().silent_us <= now <= Policy().silent_us + 2 * Policy().look_us


@pytest.mark.parametrize("name", ["silent_us", "loop_ends", "first_wait_us"])
def test_a_policy_value_out_of_range_is_refused(name: str) -> None:
    with pytest.raises(ValueError, match=name):
        Policy(**{name: 0})


EVENTS = st.lists(
    st.tuples(st.sampled_from(["ready", "beat", "end", "restart", "drain", "time", "stop"]),
              st.integers(0, 2), st.integers(0, 12 * S)),
    max_size=60,
)  # fmt: skip


@settings(derandomize=True, deadline=None, max_examples=300)
@given(EVENTS, st.sampled_from([Policy(), POLICY]))
def test_there_is_never_more_than_one_process_and_each_wanted_one_comes_back(
    events: list[tuple[str, int, int]],
    policy: Policy,
) -> None:
    """The model is the set of running processes.

    Only an instance without a process may be started, only one with a process may be stopped or killed, and
    every instance that was not drained has a process in the end. A violation is two processes of one
    instance, or an instance that stays down.
    """
    made, now, running = Supervisor(["i0", "i1", "i2"], policy, 7, 0), 0, dict[str, int]()
    drained: set[str] = set()

    def carry_out(actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start(name, run):
                    assert name not in running and name not in drained
                    running[name] = run
                case Stop(name, run) | Kill(name, run, _):
                    assert running[name] == run

    carry_out(made.start(now))
    for what, index, later in events:
        now, name = now + later, f"i{index}"
        run = running.get(name, 0)
        if what == "ready":
            carry_out(made.on_ready(name, run, now))
        elif what == "beat":
            carry_out(made.on_heartbeat(name, run, now))
        elif what == "end" and name in running:
            del running[name]
            carry_out(made.on_end(name, run, now))
        elif what == "restart":
            carry_out(made.on_restart(name, now))
        elif what == "drain":
            drained.add(name)
            carry_out(made.on_drain(name, now, 5 * S))
        elif what == "stop":
            drained |= {"i0", "i1", "i2"}
            carry_out(made.on_stop(now, 5 * S))
        else:
            carry_out(made.on_timer(now))
    for _ in range(8):  # every killed process ends, and time passes
        for name, run in [*running.items()]:
            if phase(made, name) is Phase.STOPPING:
                del running[name]
                carry_out(made.on_end(name, run, now))
        now += POLICY.longest_wait_us
        carry_out(made.on_timer(now))
        for name, run in [*running.items()]:
            carry_out(made.on_ready(name, run, now))
            carry_out(made.on_heartbeat(name, run, now))
    assert set(running) == {"i0", "i1", "i2"} - drained
    assert made.ended == made.stopping
