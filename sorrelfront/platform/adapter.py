"""Hosts Balancers on the operators' wire: `python -m sorrelfront.platform.adapter` reads batches of events on
standard input and answers each with one batch of actions on standard output. Parses, routes, encodes,
flushes; decides nothing. Instances share nothing but immutable list entries."""

from __future__ import annotations

import gc
import json
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from sorrelfront.decisions import interface as api
from sorrelfront.decisions.balancer import Balancer

OUTCOMES = {
    "200": api.Outcome.OK,
    "502": api.Outcome.ERROR,
    "429": api.Outcome.REJECTED,
    "408": api.Outcome.TIMEOUT,
    "521": api.Outcome.UNREACHABLE,
    "520": api.Outcome.RESET,
    "444": api.Outcome.CANCELLED,
    "409": api.Outcome.UNSENT,
}
STATES = {"2": api.State.READY, "0": api.State.DRAINING, "1": api.State.GONE}
LISTS = {
    "0": api.ListKind.CACHED,
    "1": api.ListKind.DELTA,
    "2": api.ListKind.FAILED,
    "3": api.ListKind.FULL,
}
EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
Parts = dict[str, str]


class Malformed(Exception):
    """A known line that does not say what it must."""


def _whole(parts: Parts, name: str) -> int:
    return int(parts[name])


def _table(value: Any, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{name} is missing or not an object")
    return value


def _number(table: dict[str, Any], name: str, where: str) -> float:
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{where}.{name} is missing or not a number")
    return value


def _class(grade: dict[str, Any]) -> api.RequestClass:
    name = str(grade.get("name", ""))
    where = f"grades[{name}]"
    effect = EFFECTS.get(str(grade.get("repeat")))
    if effect is None:
        raise ValueError(f"{where}.repeat is missing or unknown")
    try:
        scope = api.Scope(grade.get("dedupScope", "all"))
    except ValueError:
        raise ValueError(f"{where}.dedupScope is unknown: {grade.get('dedupScope')}") from None
    return api.RequestClass(
        name=name,
        effect=effect,
        aim_us=int(_number(grade, "aimUs", where)),
        deadline_us=int(_number(grade, "giveUpUs", where)),
        scope=scope,
        dedup_window_us=int(grade.get("windowUs", 0)),
        worth=float(grade.get("credit", 1.0)),
        late_worth=float(grade.get("lateWorth", 0.0)),
    )


def parse_settings(options: dict[str, Any]) -> api.Settings:
    """The wire's start settings in the library's terms; keys it does not know are passed over."""
    rules = _table(options.get("rules"), "rules")
    limits = _table(options.get("limits", {}), "limits")
    grades = options.get("grades")
    if not isinstance(grades, list):
        raise ValueError("grades is missing or not a list")
    number = int(options.get("ordinal", 0))
    return api.Settings(
        classes=tuple(_class(_table(grade, "grades[]")) for grade in grades),
        drain_grace_us=int(_number(rules, "stopSendingWithinUs", "rules")),
        cold_from=_number(rules, "coldFrom", "rules"),
        cold_us=int(_number(rules, "coldUs", "rules")),
        cold_multiple=_number(rules, "overloadFactor", "rules"),
        cold_span_us=int(_number(rules, "tipAfterUs", "rules")),
        answer_slack_us=int(_number(rules, "answerSlackUs", "rules")),
        ask_within_us=int(rules.get("askWithinUs", 10_000_000)),
        max_attempts=int(limits.get("mostTries", 1)),
        number=number,
        agents=int(options.get("instances", number + 1)),
        may_cancel=bool(limits.get("mayCancel", False)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs", 0)),
        connect_timeout_us=int(limits.get("connectTimeoutUs", 0)),
        subscribe=options.get("registryMode") == "subscribe",
        worth_by_work=options.get("valueBy") == "work",
    )


def parse_backend(parts: Parts) -> api.Backend:
    state = STATES.get(parts.get("mode", "2"))
    if state is None:
        raise Malformed(f"mode is unknown: {parts['mode']}")
    return api.Backend(
        id=parts["backend"],
        zone=parts.get("zone", ""),
        kind=parts.get("classOfHost", ""),
        cell=int(parts.get("pack", "0")),
        state=state,
        weight=float(parts.get("powerHint", "1")),
        started_us=int(parts.get("readyAtUs", "0")),
    )


def encode(who: str, action: api.Action) -> str:
    match action:
        case api.Send(request_id, backend, timeout_us, _):
            return f"DISPATCH\twho={who}\ttxn={request_id}\tbackend={backend}\ttimeoutUs={timeout_us}\n"
        case api.SetTimer(delay_us, tag):
            return f"SET_TIMER\twho={who}\tfromNowUs={delay_us}\ttag={tag}\n"
        case api.Refuse(request_id, retry_after_us):
            return f"BUSY\twho={who}\ttxn={request_id}\tcomeBackUs={retry_after_us}\n"
        case api.Fail(request_id):
            return f"LOSE\twho={who}\ttxn={request_id}\n"
        case api.CancelAttempt(request_id, attempt):
            return f"DROP_ATTEMPT\twho={who}\ttxn={request_id}\thop={attempt}\n"
        case api.Subscribe():
            return f"TRACK\twho={who}\tenable=1\n"


class Host:
    """The instances of one process and the numbered lists they refer to."""

    def __init__(self) -> None:
        self.balancers: dict[str, Balancer] = {}
        self.lists: dict[str, tuple[api.Backend, ...]] = {}
        self.now = 0
        self.out: list[str] = []
        self.handlers: dict[str, Callable[[str, Balancer, Parts], list[api.Action]]] = {
            "REQ": self.request,
            "ENDED": self.ended,
            "WAKEUP": lambda who, b, p: b.on_timer(api.Timer(p["tag"]), self.now),
            "FLEET": self.fleet,
            "CANCELLED_BY_CLIENT": lambda who, b, p: b.on_client_gone(
                api.ClientGone(_whole(p, "txn")), self.now
            ),
            "ACCEPTED": lambda who, b, p: b.on_stream_started(
                api.StreamStarted(_whole(p, "txn"), _whole(p, "hop")), self.now
            ),
        }

    def request(self, who: str, balancer: Balancer, parts: Parts) -> list[api.Action]:
        event = api.Request(
            int(parts["txn"]),
            parts["lane"],
            int(parts["validUntilUs"]),
            int(parts.get("weightHintUs", "0")),
            parts.get("billing", ""),
            parts.get("object", ""),
            parts.get("retry") == "1",
        )
        if event.class_name not in balancer.classes:
            raise Malformed(f"lane is not among the grades: {event.class_name}")
        return balancer.on_request(event, self.now)

    def ended(self, who: str, balancer: Balancer, parts: Parts) -> list[api.Action]:
        event = api.AttemptEnded(
            int(parts["txn"]),
            int(parts["hop"]),
            OUTCOMES.get(parts["outcome"], api.Outcome.UNKNOWN),
            int(parts["elapsedUs"]),
            parts.get("over") == "1",
        )
        return balancer.on_attempt_ended(event, self.now)

    def fleet(self, who: str, balancer: Balancer, parts: Parts) -> list[api.Action]:
        kind = LISTS.get(parts["scope"])
        if kind is None:
            raise Malformed(f"scope is unknown: {parts['scope']}")
        backends: tuple[api.Backend, ...] = ()
        if kind is not api.ListKind.FAILED:
            if parts["rosterId"] not in self.lists:
                raise Malformed(f"rosterId names no list: {parts['rosterId']}")
            backends = self.lists[parts["rosterId"]]
        return balancer.on_list(api.BackendList(kind, backends), self.now)

    def boot(self, parts: Parts) -> list[api.Action]:
        options = json.loads(parts["options"])
        settings = parse_settings(_table(options, "options"))
        balancer = self.balancers[parts["who"]] = Balancer(settings, _whole(parts, "rngSeed"), self.now)
        return balancer.start()

    def event(self, word: str, parts: Parts) -> None:
        """One event line: route it and encode what the decisions answer."""
        if word == "BOOT":
            who = parts["who"]
            actions = self.boot(parts)
        elif word == "RETIRE":
            self.balancers.pop(parts["who"], None)
            return
        else:
            handler = self.handlers.get(word)
            if handler is None:
                return
            who = parts["who"]
            balancer = self.balancers.get(who)
            if balancer is None:
                return
            actions = handler(who, balancer, parts)
        for action in actions:
            self.out.append(encode(who, action))


def split(line: str) -> tuple[str, Parts]:
    """A line's first part and its name=value pairs; the text fields extend to the end of the line."""
    head, mark, text = line.partition("\toptions=")
    word, *pairs = head.split("\t")
    parts = dict([pair.split("=", 1) for pair in pairs if pair])
    if mark:
        parts["options"] = text
    return word, parts


def serve(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Answer batches until the input ends. Returns the exit code."""
    host = Host()
    reading = iter(lines)
    for number, raw in enumerate(reading, 1):
        line = raw.rstrip("\n")
        try:
            word, parts = split(line)
            if word == "TICK":
                host.now = _whole(parts, "wallUs")
            elif word == "FLUSH":
                host.out.append("OK\n")
                out.write("".join(host.out))
                out.flush()
                host.out.clear()
            elif word == "INVENTORY":
                entries = []
                for _ in range(_whole(parts, "hosts")):
                    entry, fields = split(next(reading, "").rstrip("\n"))
                    if entry != "M":
                        raise Malformed(f"an M line was due, not {entry!r}")
                    entries.append(parse_backend(fields))
                host.lists[parts["rosterId"]] = tuple(entries)
            elif word:
                host.event(word, parts)
        except (Malformed, ValueError, KeyError) as fault:
            what = f"{fault.args[0]} is missing" if isinstance(fault, KeyError) else str(fault)
            if _from_decisions(fault):
                _report_bug(host, parts, fault, err)
                continue
            print(f"sorrelfront.platform.adapter: line {number}: {what}: {line[:200]}", file=err)
            return 2
        except Exception as fault:
            _report_bug(host, parts, fault, err)
    return 0


def _from_decisions(fault: BaseException) -> bool:
    """Whether the decisions raised it, and not the reading of the line."""
    frames = [frame.f_code.co_filename for frame, _ in traceback.walk_tb(fault.__traceback__)]
    return any(name.endswith("balancer.py") for name in frames)


def _report_bug(host: Host, parts: Parts, fault: BaseException, err: TextIO) -> None:
    traceback.print_exception(fault, file=err)
    what = f"{type(fault).__name__}: {fault}".replace("\n", " ").replace("\r", " ")
    host.out.append(f"BUG\twho={parts.get('who', '')}\tmsg={what}\n")


def main() -> int:
    gc.freeze()  # nothing here makes cycles worth collecting often; a full collection would be booked as CPU
    gc.set_threshold(50_000, 20, 50)
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    raise SystemExit(main())
