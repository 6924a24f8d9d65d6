"""Each checker finds its breaches in an artificial history, and excuses only what its docstring names."""

from __future__ import annotations

from typing import Any

from sorrelfront.lab.storm import checkers
from sorrelfront.lab.storm.checkers import CHECKERS, run_checkers
from sorrelfront.lab.storm.history import Event


def history(*rows: tuple[float, str, dict[str, Any]]) -> list[Event]:
    head: list[Event] = [{"t": 0.0, "kind": "storm", "deadline_ms": 1000.0, "hosts": ["h1", "h2"]}]
    rest = [{"t": t, "kind": kind, **what} for t, kind, what in sorted(rows, key=lambda row: row[0])]
    return [*head, *rest, {"t": 99.0, "kind": "settled", "ok": True, "why": ""}]


def ask(t: float, call: str, host: str = "h1", cls: str = "pay") -> tuple[float, str, dict[str, Any]]:
    return t, "ask", {"call": call, "host": host, "class": cls}


def answer(
    t: float, call: str, status: str = "200", ms: float = 10.0, host: str = "h1"
) -> tuple[float, str, dict[str, Any]]:
    return t, "answer", {"call": call, "host": host, "status": status, "ms": ms, "class": "pay"}


def fault(
    t: float, what: str, phase: str = "begin", host: str = "h1", number: int = 1
) -> tuple[float, str, dict[str, Any]]:
    return t, "fault", {"what": what, "phase": phase, "hosts": [host], "number": number}


def breached_rules(events: list[Event]) -> set[str]:
    return {name for name, found in run_checkers(events).items() if found}


def test_a_history_without_faults_has_no_breach() -> None:
    assert breached_rules(history(ask(1, "a"), answer(1.01, "a"))) == set()
    assert set(run_checkers([])) == set(CHECKERS)


def test_a_lost_duplicate_or_missing_answer() -> None:
    assert breached_rules(history(ask(1, "a"), answer(2, "a", "lost"))) == {"answered"}
    assert breached_rules(history(ask(1, "a"), answer(2, "a"), answer(3, "a"))) == {"answered"}
    assert breached_rules(history(ask(1, "a"))) == {"answered"}
    # the kernel's reset shows that no process had read it
    assert breached_rules(history(ask(1, "a"), answer(2, "a", "reset"))) == set()


def test_requests_on_a_killed_host_are_excused_and_those_on_others_are_not() -> None:
    ready = (6.0, "ready", {"host": "h1", "ready": 2, "wanted": 2})
    kill = (fault(1.5, "kill"), fault(3, "kill", "over"), ready)
    assert breached_rules(history(ask(1, "a"), answer(1.6, "a", "lost"), *kill)) == set()
    assert breached_rules(history(ask(1, "a", "h2"), answer(1.6, "a", "lost", host="h2"), *kill)) == {
        "answered"
    }
    assert breached_rules(history(ask(7, "a"), answer(7.5, "a", "lost"), *kill)) == {"answered"}
    one = fault(1.5, "kill-instance"), fault(1.6, "kill-instance", "over")
    assert breached_rules(history(ask(1.4, "a"), answer(1.7, "a", "lost"), *one)) == set()
    assert breached_rules(history(ask(2.5, "a"), answer(2.7, "a", "lost"), *one)) == {"answered"}


def test_a_late_answer_unless_frozen_or_the_harness_lagged() -> None:
    late = ask(1, "a"), answer(2.7, "a", ms=1_700.0)
    assert breached_rules(history(*late)) == {"in-time"}
    assert breached_rules(history(*late, fault(1.2, "freeze"), fault(2.5, "freeze", "over"))) == set()
    assert breached_rules(history(*late, (2.6, "lag", {"ms": 300.0}))) == set()
    assert breached_rules(history(*late, fault(1.2, "cut"), fault(2.5, "cut", "over"))) == {"in-time"}


def test_an_effect_that_happens_twice_and_a_refusal_of_what_ran() -> None:
    ran = {"key": "a", "call": "a", "server": "s1", "class": "pay"}
    assert breached_rules(
        history(ask(1, "a"), answer(2, "a"), (1.1, "effect", ran), (1.2, "effect", ran))
    ) == {"once"}
    refused = ask(1, "a"), answer(2, "a", "503"), (1.1, "effect", ran)
    assert breached_rules(history(*refused)) == {"refusals"}
    assert breached_rules(history(ask(1, "a"), answer(2, "a", "502"), (1.1, "effect", ran))) == set()


def test_a_request_sent_to_a_server_that_drains() -> None:
    drains = (1.0, "told", {"host": "h1", "server": "s1", "phase": "draining"})

    def sent(at: float, host: str = "h1") -> tuple[float, str, dict[str, Any]]:
        return at + 0.01, "arrive", {"host": host, "server": "s1", "sent": at, "call": "a"}

    assert breached_rules(history(drains, sent(1.5))) == set()
    assert breached_rules(history(drains, sent(1.6))) == {"drains"}
    assert breached_rules(history(drains, sent(1.6, "h2"))) == set()  # the other host was not told
    two = history(drains, sent(1.6), sent(2.7), (2.0, "told", drains[2]))
    two[0]["instances"] = 2
    assert [item.t for item in run_checkers(two)["drains"]] == [2.71]  # from when its second watch was told
    ready = (1.2, "told", {"host": "h1", "server": "s1", "phase": "ready"})
    assert breached_rules(history(drains, ready, sent(1.6))) == set()
    assert (
        breached_rules(history(drains, sent(1.9), fault(1.1, "freeze"), fault(1.8, "freeze", "over")))
        == set()
    )


def test_a_drain_that_a_host_ignores_though_it_can_reach_the_list() -> None:
    drain = {"what": "server-drain", "phase": "begin", "hosts": [], "to": ["s1"], "number": 9}
    drains = (1.0, "fault", drain)
    list_down = (
        0.5,
        "fault",
        {"what": "list-down", "phase": "begin", "hosts": [], "to": ["list"], "number": 1},
    )
    back = (2.0, "fault", {"what": "list-down", "phase": "over", "hosts": [], "number": 1})
    cut = (0.5, "fault", {"what": "cut", "phase": "begin", "hosts": ["h1"], "to": ["list"], "number": 2})
    healed = (3.0, "fault", {"what": "cut", "phase": "over", "hosts": ["h1"], "number": 2})

    def sent(at: float, host: str = "h1", server: str = "s1") -> tuple[float, str, dict[str, Any]]:
        return at, "arrive", {"host": host, "server": server, "sent": at, "call": "a"}

    assert breached_rules(history(drains, sent(7.5))) == set()
    assert breached_rules(history(drains, sent(7.6))) == {"told"}
    assert breached_rules(history(drains, sent(7.6, server="s2"))) == set()
    assert breached_rules(history(drains, list_down, sent(20.0))) == set()  # the list cannot be reached
    assert breached_rules(history(drains, list_down, back, sent(8.5))) == set()
    assert breached_rules(history(drains, list_down, back, sent(8.6))) == {"told"}
    assert breached_rules(history(drains, cut, healed, sent(9.5))) == set()
    assert breached_rules(history(drains, cut, healed, sent(9.6))) == {"told"}
    assert breached_rules(history(drains, cut, healed, sent(7.6, "h2"))) == {
        "told"
    }  # the other host was cut off
    frozen = fault(5, "freeze", number=3), fault(8, "freeze", "over", number=3)
    assert breached_rules(history(drains, *frozen, sent(8.1))) == set()


def test_attempts_that_begin_after_the_client_left() -> None:
    def sent(at: float, host: str = "h1") -> tuple[float, str, dict[str, Any]]:
        return at, "arrive", {"host": host, "server": "s1", "sent": at, "call": "a"}

    left = ask(1, "a"), (1.2, "left", {"host": "h1", "call": "a"}), answer(1.2, "a", "left")
    assert breached_rules(history(*left, sent(1.3), sent(1.31), sent(1.32))) == set()
    assert breached_rules(history(*left, sent(1.4), sent(1.5))) == set()  # two late attempts are allowed
    assert breached_rules(history(*left, sent(1.4), sent(1.5), sent(1.6))) == {"gone"}
    frozen = fault(1.3, "freeze"), fault(1.5, "freeze", "over")
    assert breached_rules(history(*left, *frozen, sent(1.51), sent(1.52), sent(1.53))) == set()


def test_a_cold_server_that_all_hosts_together_overload() -> None:
    row = {"server": "s1", "capacity": 100.0, "from": 0.3, "multiple": 3.0, "span_s": 1.0, "cold_s": 9.0}
    some = [
        (1 + number / 100, "arrive", {"host": "h1", "server": "s1", "sent": 1.0, "call": ""})
        for number in range(60)
    ]
    more = [
        (1 + number / 100, "arrive", {"host": "h2", "server": "s1", "sent": 1.0, "call": ""})
        for number in range(60)
    ]
    assert breached_rules(history((0.9, "cold", row), *some)) == set()
    assert breached_rules(history((0.9, "cold", row), *some, *more)) == {"cold"}


def test_exits_logs_records_and_settling() -> None:
    assert breached_rules(history((1, "end", {"host": "h1", "code": 1, "asked": True}))) == {"exits"}
    assert breached_rules(history((1, "end", {"host": "h1", "code": -9, "asked": False}))) == set()
    assert breached_rules(
        history((1, "said", {"host": "h1", "line": "Traceback (most recent call last):"}))
    ) == {"exits"}
    torn = (2, "said", {"host": "h1", "line": "x/fleet is not used: its checksum is wrong; set aside"})
    assert breached_rules(history(torn)) == {"records"}
    assert breached_rules(history(fault(1, "disk-torn"), torn)) == set()
    assert breached_rules(history((1, "disk", {"host": "h1", "broken": ["fleet"]}))) == {"records"}
    assert breached_rules(history()[:-1]) == {"settled"}


def _answered_by(call: str, asked: float, t: float, version: int, inside: bool = True) -> list[Event]:
    return [
        {"t": asked, "kind": "ask", "host": "h1", "call": call, "class": "look"},
        {
            "t": t, "kind": "answer", "host": "h1", "call": call, "class": "look", "status": "200", "ms": 1.0,
            "version": version, "inside": inside,
        },
    ]  # fmt: skip


def _change(name: str, t: float, state: str, version: int) -> Event:
    return {"t": t, "kind": "change", "host": "h1", "change": name, "state": state, "version": version}


def _policies(*events: Event) -> list[str]:
    return [item.what for item in checkers.policies(sorted(events, key=lambda event: event["t"]))]


def test_an_older_version_after_a_newer_was_served_is_a_breach() -> None:
    newer, older = _answered_by("a", 1.0, 2.0, 2), _answered_by("b", 3.0, 4.0, 1)
    assert len(_policies(*newer, *older)) == 1
    assert not _policies(*newer, *_answered_by("c", 1.5, 4.0, 1))  # sent before the newer one was seen
    assert not _policies(*newer, *_answered_by("d", 3.0, 4.0, 1, inside=False))  # outside the promise
    assert len(_policies(_change("x", 2.0, "in force", 2), *older)) == 1  # an operator was told of it


def test_a_change_has_one_outcome() -> None:
    kept: Event = {
        "t": 9.0, "kind": "decided", "host": "h1", "history": [{"version": 1, "change": "x", "void": False}],
    }  # fmt: skip
    assert not _policies(_change("x", 1.0, "in force", 1), kept)
    assert _policies(_change("x", 1.0, "not in force", 0), kept)  # reported as not in force, but decided on
    assert _policies(_change("y", 1.0, "in force", 2), kept)  # in force, but later missing
    assert _policies(_change("x", 1.0, "in force", 1), _change("y", 2.0, "in force", 1))


def test_what_an_unsafe_class_sends_twice_after_the_change_is_a_breach() -> None:
    change = _change("x", 1.0, "in force", 1)
    proposed: Event = {"t": 0.5, "kind": "propose", "host": "h1", "change": "x", "unsafe": True}
    arrivals: list[Event] = [
        {"t": 2.0 + number, "kind": "arrive", "server": "s1", "host": "h1", "sent": 2.0, "call": "a"}
        for number in range(2)
    ]
    assert len(_policies(proposed, change, *_answered_by("a", 1.5, 4.0, 1), *arrivals)) == 1
    assert not _policies(proposed, change, *_answered_by("a", 0.8, 4.0, 0), *arrivals)
