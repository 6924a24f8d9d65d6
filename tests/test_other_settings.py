"""Settings of other deployments: the agent depends only on its settings, not on one deployment.

Names, effects, groups, windows and limits are drawn at random, including their bounds. The checks use the
requests that the servers recorded.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any
from urllib.parse import quote

from hypothesis import HealthCheck, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from sorrelfront.decisions.interface import Effect, Scope
from sorrelfront.platform.config import parse
from tests.loopback import AgentHarness, Backend, answer, make_config, member

METHODS = {"pure": "GET", "token": "POST", "side_effect": "POST"}
HOUR_US = 3_600_000_000

names = st.one_of(
    st.text("abcXYZ019-_.~", min_size=1, max_size=20).filter(lambda name: name.strip(".")),
    st.sampled_from(["health", "ready", "look", "order 66", "méthode", "100%", "a+b", "x" * 120]),
)
grades = st.lists(
    st.fixed_dictionaries(
        {
            "name": names,
            "repeat": st.sampled_from(sorted(METHODS)),
            "dedupScope": st.sampled_from([scope.value for scope in Scope]),
            "aimUs": st.sampled_from([1, 50_000, 10_000_000]),
            "giveUpUs": st.sampled_from([20_000, 1_000_000, HOUR_US]),
            "windowUs": st.sampled_from([0, 1, 800_000, 30_000_000, HOUR_US]),
            "credit": st.sampled_from([0.0, 0.5, 1e9]),
            "lateWorth": st.sampled_from([0.0, 1.0]),
        }
    ),
    min_size=1,
    max_size=5,
    unique_by=lambda grade: grade["name"],
)
limits = st.fixed_dictionaries(
    {
        "mostTries": st.integers(1, 20),
        "mayCancel": st.booleans(),
        "maxRetryAfterUs": st.sampled_from([0, 1, HOUR_US]),
        "connectTimeoutUs": st.sampled_from([0, 1, 250_000, HOUR_US]),
        "connIdleUs": st.sampled_from([1, 30_000_000, HOUR_US]),
        "mostHeld": st.sampled_from([1, 2, 1_000_000]),
    }
)
rules = st.fixed_dictionaries(
    {
        "askWithinUs": st.sampled_from([0, 1, 10_000_000, HOUR_US]),
        "coldFrom": st.sampled_from([0.001, 0.5, 1.0]),
        "coldUs": st.sampled_from([0, 1, HOUR_US]),
        "overloadFactor": st.sampled_from([0.1, 1.0, 100.0]),
        "stopSendingWithinUs": st.sampled_from([0, 50_000, 10_000_000]),
        "tipAfterUs": st.sampled_from([0, 1_500_000]),
        "answerSlackUs": st.sampled_from([0, 1_000_000]),
    }
)
other_settings = st.fixed_dictionaries(
    {
        "registryMode": st.sampled_from(["subscribe", "automatic"]),
        "valueBy": st.sampled_from(["work", "request"]),
        "ordinal": st.just(199),
        "instances": st.sampled_from([200, 10_000]),
    }
)
machines = st.fixed_dictionaries(
    {
        "cores": st.just(0.1),
        "memory_mb": st.sampled_from([1, 32, 2_048]),
        "sockets": st.sampled_from([64, 1_024]),
    }
)


def call(number: int, name: str, repeat: str) -> bytes:
    """Return a request of this class."""
    key = f"Idempotency-Key: k{number}\r\n" if repeat == "token" else ""
    length = "" if repeat == "pure" else "Content-Length: 1\r\n"
    head = f"{METHODS[repeat]} /{quote(name, safe='')}?k=1 HTTP/1.1\r\nHost: app\r\nX-Call-Id: c{number}\r\n"
    return f"{head}X-Budget: 900m\r\n{key}{length}\r\n{'' if repeat == 'pure' else 'x'}".encode()


def ids(backend: Backend) -> list[int]:
    """Return the numbers of the calls that ran on this backend."""
    lines = [line for seen in backend.received for line in seen.lower().split(b"\r\n")]
    return [int(line[12:]) for line in lines if line.startswith(b"x-call-id: c")]


async def run_requests(config: dict[str, Any], one_fails: bool) -> None:
    """Send two requests of each class in turn; one of two servers fails them if `one_fails`."""
    classes = {grade["name"]: grade for grade in config["settings"]["grades"]}
    first = await Backend(
        answer(b"", "500 Internal Server Error") if one_fails else answer(b"served")
    ).start()
    second = await Backend(answer(b"served")).start()
    config["known"]["members"] = [
        {**member(f"b{cell}", one.address), "locality": f"z{cell}", "cell": cell}
        for cell, one in enumerate((first, second))
    ]
    env = AgentHarness(parse(config))
    asked: dict[int, str] = {}
    try:
        for name in [*classes, *classes]:
            number = len(asked)
            asked[number] = name
            client = await env.client()
            client.send(call(number, name, classes[name]["repeat"]))
            status, _, body = await client.answer()
            assert status in (200, 500, 503) and (body == b"served") == (status == 200)
            client.close()
            if status == 503 and classes[name]["repeat"] == "side_effect":
                assert number not in ids(first) + ids(second)  # a refusal states that it did not run
        assert env.agent.pending_requests == 0
        ran = Counter(ids(first) + ids(second))
        for number, name in asked.items():
            cls = env.agent.request_class(name)
            assert cls is not None and ran[number] <= config["settings"]["limits"]["mostTries"]
            if cls.effect is Effect.UNSAFE:
                assert ran[number] <= 1
            if cls.effect is Effect.KEYED and (cls.dedup_window_us <= 1 or cls.scope is not Scope.ALL):
                assert not (number in ids(first) and number in ids(second))
    finally:
        env.agent.close()
        first.stop()
        second.stop()


@profile(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(grades, limits, rules, other_settings, machines, st.booleans())
def test_whatever_the_settings_each_request_has_one_answer_and_no_effect_twice(
    grades: list[dict[str, Any]],
    limits: dict[str, Any],
    rules: dict[str, Any],
    other_settings: dict[str, Any],
    machine: dict[str, Any],
    one_fails: bool,
) -> None:
    config = make_config("127.0.0.1:9", [], **limits)
    config["settings"] |= {"grades": grades, "rules": rules, **other_settings}
    config["limits"] = machine
    asyncio.run(run_requests(config, one_fails))
