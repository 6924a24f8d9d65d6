"""Adapter between balancers and the simulator's line protocol.

`python -m sorrelfront.platform.adapter` reads batches of events on standard input and answers each with one
batch of actions on standard output. It parses, routes, encodes and flushes, and makes no decisions itself.
Instances share nothing but immutable list entries.
"""

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
Fields = dict[str, str]


class MalformedLine(Exception):
    """A line of a known type lacks a required field, or a field has an invalid value."""


def _integer(fields: Fields, name: str) -> int:
    return int(fields[name])


def _object(value: Any, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"{name} is missing or not an object")
    return value


def _number(table: dict[str, Any], name: str, where: str) -> float:
    value = table.get(name)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{where}.{name} is missing or not a number")
    return value


def _request_class(grade: dict[str, Any]) -> api.RequestClass:
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
    """Convert the protocol's start options to settings; unknown keys are ignored.

    Raises:
        ValueError: An option is missing or invalid; the text names it.
    """
    rules = _object(options.get("rules"), "rules")
    limits = _object(options.get("limits", {}), "limits")
    grades = options.get("grades")
    if not isinstance(grades, list):
        raise ValueError("grades is missing or not a list")
    number = int(options.get("ordinal", 0))
    return api.Settings(
        classes=tuple(_request_class(_object(grade, "grades[]")) for grade in grades),
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


def parse_backend(fields: Fields) -> api.Backend:
    """Decode one member line of a list.

    Raises:
        MalformedLine: The mode is unknown.
        KeyError: The id is missing.
        ValueError: A number cannot be parsed.
    """
    state = STATES.get(fields.get("mode", "2"))
    if state is None:
        raise MalformedLine(f"mode is unknown: {fields['mode']}")
    return api.Backend(
        id=fields["backend"],
        zone=fields.get("zone", ""),
        kind=fields.get("classOfHost", ""),
        cell=int(fields.get("pack", "0")),
        state=state,
        weight=float(fields.get("powerHint", "1")),
        started_us=int(fields.get("readyAtUs", "0")),
    )


def encode(instance: str, action: api.Action) -> str:
    """Encode one action of an instance as a line, newline included."""
    match action:
        case api.Send(request_id, backend, timeout_us, _):
            return f"DISPATCH\twho={instance}\ttxn={request_id}\tbackend={backend}\ttimeoutUs={timeout_us}\n"
        case api.SetTimer(delay_us, tag):
            return f"SET_TIMER\twho={instance}\tfromNowUs={delay_us}\ttag={tag}\n"
        case api.Refuse(request_id, retry_after_us):
            return f"BUSY\twho={instance}\ttxn={request_id}\tcomeBackUs={retry_after_us}\n"
        case api.Fail(request_id):
            return f"LOSE\twho={instance}\ttxn={request_id}\n"
        case api.CancelAttempt(request_id, attempt):
            return f"DROP_ATTEMPT\twho={instance}\ttxn={request_id}\thop={attempt}\n"
        case api.Subscribe():
            return f"TRACK\twho={instance}\tenable=1\n"


class Adapter:
    """The balancer instances of one process and the numbered lists that their events refer to."""

    def __init__(self) -> None:
        self.balancers: dict[str, Balancer] = {}
        self.lists: dict[str, tuple[api.Backend, ...]] = {}
        self.now = 0
        self.out: list[str] = []
        self.handlers: dict[str, Callable[[str, Balancer, Fields], list[api.Action]]] = {
            "REQ": self.request,
            "ENDED": self.attempt_ended,
            "WAKEUP": lambda instance, b, p: b.on_timer(api.Timer(p["tag"]), self.now),
            "FLEET": self.backend_list,
            "CANCELLED_BY_CLIENT": lambda instance, b, p: b.on_client_gone(
                api.ClientGone(_integer(p, "txn")), self.now
            ),
            "ACCEPTED": lambda instance, b, p: b.on_stream_started(
                api.StreamStarted(_integer(p, "txn"), _integer(p, "hop")), self.now
            ),
        }

    def request(self, instance: str, balancer: Balancer, fields: Fields) -> list[api.Action]:
        """Handle REQ: a client's request. Raises MalformedLine if its class is unknown."""
        event = api.Request(
            int(fields["txn"]),
            fields["lane"],
            int(fields["validUntilUs"]),
            int(fields.get("weightHintUs", "0")),
            fields.get("billing", ""),
            fields.get("object", ""),
            fields.get("retry") == "1",
        )
        if event.class_name not in balancer.classes:
            raise MalformedLine(f"lane is not among the grades: {event.class_name}")
        return balancer.on_request(event, self.now)

    def attempt_ended(self, instance: str, balancer: Balancer, fields: Fields) -> list[api.Action]:
        """Handle ENDED: the outcome of one attempt, elapsed time in microseconds."""
        event = api.AttemptEnded(
            int(fields["txn"]),
            int(fields["hop"]),
            OUTCOMES.get(fields["outcome"], api.Outcome.UNKNOWN),
            int(fields["elapsedUs"]),
            fields.get("over") == "1",
        )
        return balancer.on_attempt_ended(event, self.now)

    def backend_list(self, instance: str, balancer: Balancer, fields: Fields) -> list[api.Action]:
        """Handle FLEET: a list from discovery, or its failure. Raises MalformedLine for an unknown list."""
        kind = LISTS.get(fields["scope"])
        if kind is None:
            raise MalformedLine(f"scope is unknown: {fields['scope']}")
        backends: tuple[api.Backend, ...] = ()
        if kind is not api.ListKind.FAILED:
            if fields["rosterId"] not in self.lists:
                raise MalformedLine(f"rosterId names no list: {fields['rosterId']}")
            backends = self.lists[fields["rosterId"]]
        return balancer.on_list(api.BackendList(kind, backends), self.now)

    def start_instance(self, fields: Fields) -> list[api.Action]:
        """Handle BOOT: create an instance, or replace the one of the same name, and start it."""
        options = json.loads(fields["options"])
        settings = parse_settings(_object(options, "options"))
        balancer = self.balancers[fields["who"]] = Balancer(settings, _integer(fields, "rngSeed"), self.now)
        return balancer.start()

    def handle_event(self, line_type: str, fields: Fields) -> None:
        """Route one event line to its instance and encode the resulting actions.

        Events of an unknown type or for an unknown instance are ignored.
        """
        if line_type == "BOOT":
            instance = fields["who"]
            actions = self.start_instance(fields)
        elif line_type == "RETIRE":
            self.balancers.pop(fields["who"], None)
            return
        else:
            handler = self.handlers.get(line_type)
            if handler is None:
                return
            instance = fields["who"]
            balancer = self.balancers.get(instance)
            if balancer is None:
                return
            actions = handler(instance, balancer, fields)
        for action in actions:
            self.out.append(encode(instance, action))


def parse_line(line: str) -> tuple[str, Fields]:
    """Split a line into its type and its name=value fields.

    The field `options` is text that extends to the end of the line, tabs included.
    """
    head, separator, text = line.partition("\toptions=")
    line_type, *pairs = head.split("\t")
    fields = dict([pair.split("=", 1) for pair in pairs if pair])
    if separator:
        fields["options"] = text
    return line_type, fields


def serve(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Answer batches until the input ends, and return the exit code: 2 after a malformed line."""
    adapter = Adapter()
    remaining = iter(lines)
    for number, raw in enumerate(remaining, 1):
        line = raw.rstrip("\n")
        try:
            line_type, fields = parse_line(line)
            if line_type == "TICK":
                adapter.now = _integer(fields, "wallUs")
            elif line_type == "FLUSH":
                adapter.out.append("OK\n")
                out.write("".join(adapter.out))
                out.flush()
                adapter.out.clear()
            elif line_type == "INVENTORY":
                entries = []
                for _ in range(_integer(fields, "hosts")):
                    entry_type, member_fields = parse_line(next(remaining, "").rstrip("\n"))
                    if entry_type != "M":
                        raise MalformedLine(f"an M line was due, not {entry_type!r}")
                    entries.append(parse_backend(member_fields))
                adapter.lists[fields["rosterId"]] = tuple(entries)
            elif line_type:
                adapter.handle_event(line_type, fields)
        except (MalformedLine, ValueError, KeyError) as fault:
            message = f"{fault.args[0]} is missing" if isinstance(fault, KeyError) else str(fault)
            if _from_decisions(fault):
                _report_bug(adapter, fields, fault, err)
                continue
            print(f"sorrelfront.platform.adapter: line {number}: {message}: {line[:200]}", file=err)
            return 2
        except Exception as fault:
            _report_bug(adapter, fields, fault, err)
    return 0


def _from_decisions(fault: BaseException) -> bool:
    """Tell whether the decision code raised the exception, and not the parsing of the line."""
    frames = [frame.f_code.co_filename for frame, _ in traceback.walk_tb(fault.__traceback__)]
    return any(name.endswith("balancer.py") for name in frames)


def _report_bug(adapter: Adapter, fields: Fields, fault: BaseException, err: TextIO) -> None:
    traceback.print_exception(fault, file=err)
    message = f"{type(fault).__name__}: {fault}".replace("\n", " ").replace("\r", " ")
    adapter.out.append(f"BUG\twho={fields.get('who', '')}\tmsg={message}\n")


def main() -> int:
    """Serve standard input and output until the input ends, and return the exit code."""
    # Little garbage here is cyclic, and the CPU time of full collections is counted against the program.
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    raise SystemExit(main())
