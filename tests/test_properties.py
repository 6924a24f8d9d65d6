"""Random legal event sequences: rules 1 to 3 hold after each step; same events give same actions."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.interface import (
    NEVER_RAN,
    Action,
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
    Scope,
    Send,
    SetTimer,
    State,
    Timer,
)
from tests.helpers import CLASSES, settings

Step = tuple[str, int, int]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "end", "end", "list", "delta", "gone", "wait", "timer"]),
        st.integers(0, 1_000),
        st.integers(0, 200_000),
    ),
    max_size=120,
)


class Model:
    """Records all events and actions of a balancer and checks the rules against them."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.settings = settings(subscribe=True, **changes)
        self.balancer = Balancer(self.settings, seed, 0)
        self.now = 0
        self.states: dict[str, Backend] = {}
        self.known: dict[str, Backend] = {}
        self.requests: dict[int, tuple[RequestClass, int]] = {}  # unanswered ones: class, deadline
        self.classes: dict[int, RequestClass] = {}
        self.history: dict[int, list[tuple[int, Backend, Outcome | None]]] = {}
        self.open: dict[tuple[int, int], int] = {}
        self.timers: list[tuple[int, str]] = []
        self.log: list[Action] = []
        self.execute(self.balancer.start())

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            self.log.append(action)
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, SetTimer):
                assert action.delay_us >= 0
                self.timers.append((self.now + action.delay_us, action.tag))
            elif isinstance(action, (Refuse, Fail)):
                self.check_answer(action)
            elif isinstance(action, CancelAttempt):
                assert (action.request_id, action.attempt) in self.open

    def check_send(self, action: Send) -> None:
        number = action.request_id
        assert number in self.requests, "rule 1: a send for a request already answered"
        cls, deadline = self.requests[number]
        assert 0 < action.timeout_us <= deadline - self.now
        assert self.states[action.backend].state is State.READY, "rule 3"
        past = self.history[number]
        assert len(past) < self.settings.max_attempts
        risky = [entry for entry in past if entry[2] not in NEVER_RAN]
        assert not any(entry[2] is None for entry in past), "two attempts at once"
        here = self.states[action.backend]
        if cls.effect is Effect.UNSAFE:
            assert not risky, "rule 2: unsafe twice"
        if cls.effect is Effect.KEYED and risky:
            sent, there, _ = risky[0]
            assert self.now < sent + cls.dedup_window_us, "rule 2: past the window"
            if cls.scope is Scope.ZONE:
                assert here.zone == there.zone
            if cls.scope is Scope.CELL:
                assert here.cell == there.cell
        self.open[(number, len(past))] = self.now
        past.append((self.now, here, None))

    def check_answer(self, action: Refuse | Fail) -> None:
        assert action.request_id in self.requests, "rule 1: answered twice"
        cls, deadline = self.requests.pop(action.request_id)
        assert self.now <= deadline + self.settings.answer_slack_us, "rule 1: too late"
        risky = [entry for entry in self.history[action.request_id] if entry[2] not in NEVER_RAN]
        if isinstance(action, Refuse) and risky and cls.effect is not Effect.SAFE:
            assert cls.effect is Effect.KEYED and cls.scope is Scope.ALL, "rule 2: refused, may have run"

    def end(self, key: tuple[int, int], outcome: Outcome) -> None:
        number, attempt = key
        sent = self.open.pop(key)
        at, where, _ = self.history[number][attempt]
        self.history[number][attempt] = (at, where, outcome)
        if outcome is Outcome.OK:
            self.requests.pop(number, None)
        event = AttemptEnded(number, attempt, outcome, self.now - sent, number not in self.requests)
        self.execute(self.balancer.on_attempt_ended(event, self.now))

    def advance(self, until: int) -> None:
        """Advance the time; timers and deadlines expire in order."""
        while True:
            due = [(max(when, self.now), 1, tag) for when, tag in self.timers if when <= until]
            for key in self.open:
                if key[0] in self.requests and self.requests[key[0]][1] <= until:
                    due.append((max(self.now, self.requests[key[0]][1]), 0, f"{key[0]} {key[1]}"))
            if not due:
                break
            when, kind, tag = min(due)
            self.now = when
            if kind:
                self.timers.remove(min(timer for timer in self.timers if timer[1] == tag))
                self.execute(self.balancer.on_timer(Timer(tag), self.now))
            else:
                number, attempt = map(int, tag.split())
                self.end((number, attempt), Outcome.TIMEOUT)
        self.now = until
        for number, (_, deadline) in self.requests.items():
            assert self.now <= deadline + self.settings.answer_slack_us, f"rule 1: {number} was lost"

    def send_list(self, kind: ListKind, entries: tuple[Backend, ...]) -> None:
        if kind is not ListKind.DELTA:
            self.states = {}
        for entry in entries:
            self.states[entry.id] = entry
        self.execute(self.balancer.on_list(BackendList(kind, entries), self.now))

    def step(self, step: Step) -> None:
        what, pick, wait = step
        self.advance(self.now + wait // 4)
        if what == "request":
            number = len(self.classes)
            cls = CLASSES[pick % len(CLASSES)]
            self.classes[number] = cls
            self.requests[number] = (cls, self.now + 50_000 + wait)
            self.history[number] = []
            event = Request(number, cls.name, self.now + 50_000 + wait, pick * 10)
            self.execute(self.balancer.on_request(event, self.now))
        elif what == "end" and self.open:
            key = sorted(self.open)[pick % len(self.open)]
            self.end(key, list(Outcome)[(pick // 7) % len(Outcome)])
        elif what == "list":
            entries = tuple(self.entry(i, pick + i * i) for i in range(pick % 7))
            self.send_list(ListKind.FULL if pick % 2 else ListKind.CACHED, entries)
        elif what == "delta":
            self.send_list(ListKind.DELTA, (self.entry(pick % 7, pick // 7),))
        elif what == "gone" and self.requests:
            number = sorted(self.requests)[pick % len(self.requests)]
            del self.requests[number]
            self.execute(self.balancer.on_client_gone(ClientGone(number), self.now))
        elif what == "timer":
            self.execute(self.balancer.on_timer(Timer(f"stray-{pick}"), self.now))

    def entry(self, index: int, salt: int) -> Backend:
        state = (State.READY, State.READY, State.READY, State.DRAINING, State.GONE)[salt % 5]
        started = self.now if salt % 3 == 0 else 0
        return Backend(f"b{index}", f"z{index % 2}", f"k{index % 3}", index % 3, state, started_us=started)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS, st.integers(0, 2**32), st.integers(1, 6))
def test_rules_one_to_three_hold_after_every_step(steps: list[Step], seed: int, attempts: int) -> None:
    model = Model(seed, max_attempts=attempts)
    for step in steps:
        model.step(step)
    model.advance(model.now + 5_000_000)
    assert not model.requests, "rule 1: a request without an answer"
    for key in sorted(model.open):
        model.end(key, Outcome.CANCELLED)
    assert not model.balancer.held and not model.balancer.attempts
    assert not any(server.pending for server in model.balancer.servers.values())


@hypothesis_settings(max_examples=50, deadline=None, derandomize=True, database=None)
@given(STEPS, st.integers(0, 2**32))
def test_the_same_events_give_the_same_actions(steps: list[Step], seed: int) -> None:
    logs = []
    for _ in range(2):
        model = Model(seed)
        for step in steps:
            model.step(step)
        logs.append(model.log)
    assert logs[0] == logs[1]
