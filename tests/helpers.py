"""Settings, backends and helpers to drive a Balancer, shared by the tests."""

from __future__ import annotations

from typing import Any

from sorrelfront.decisions.balancer import Balancer
from sorrelfront.decisions.interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendList,
    Effect,
    ListKind,
    Outcome,
    Request,
    RequestClass,
    Scope,
    Send,
    Settings,
)

SAFE = RequestClass("read", Effect.SAFE, aim_us=100_000, deadline_us=1_000_000)
UNSAFE = RequestClass("pay", Effect.UNSAFE, aim_us=100_000, deadline_us=1_000_000)
KEYED = RequestClass("book", Effect.KEYED, aim_us=100_000, deadline_us=1_000_000, dedup_window_us=300_000)
BY_ZONE = RequestClass("zonal", Effect.KEYED, 100_000, 1_000_000, Scope.ZONE, 300_000)
BY_CELL = RequestClass("cellular", Effect.KEYED, 100_000, 1_000_000, Scope.CELL, 300_000)
CLASSES = (SAFE, UNSAFE, KEYED, BY_ZONE, BY_CELL)

Actions = list[Action]


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "drain_grace_us": 500_000,
        "cold_from": 0.3,
        "cold_us": 9_000_000,
        "cold_multiple": 3.0,
        "cold_span_us": 1_500_000,
        "answer_slack_us": 20_000,
        "max_attempts": 4,
        "may_cancel": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 250_000,
    }
    values.update(changes)
    return Settings(**values)


def backends(count: int, **changes: Any) -> tuple[Backend, ...]:
    return tuple(Backend(f"b{i:03}", **changes) for i in range(count))


def balancer(count: int = 4, seed: int = 1, now: int = 0, **changes: Any) -> Balancer:
    made = Balancer(settings(**changes), seed, now)
    made.on_list(BackendList(ListKind.FULL, backends(count)), now)
    return made


def request(made: Balancer, number: int, cls: RequestClass, now: int, left_us: int = 1_000_000) -> Actions:
    return made.on_request(Request(number, cls.name, now + left_us), now)


def ended(
    made: Balancer,
    number: int,
    attempt: int,
    outcome: Outcome,
    now: int,
    elapsed_us: int = 30_000,
    **more: Any,
) -> Actions:
    finished = more.pop("finished", outcome is Outcome.OK)
    return made.on_attempt_ended(AttemptEnded(number, attempt, outcome, elapsed_us, finished, **more), now)


def sends(actions: Actions) -> list[str]:
    return [action.backend for action in actions if isinstance(action, Send)]
