"""The daemon's file: TOML, checked whole. Every fault is told in one go, with its table and key.

A `Document` is what a good file says. `instance_table` words it for one instance in the form that
`sorrelfront.platform.config.parse` reads, so that both programs take their terms through one door.
"""

from __future__ import annotations

import difflib
import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sorrelfront.lists import Malformed, parse_address
from sorrelfront.messages import Address

FILE_MOST = 1024 * 1024  # bytes; some thousand servers in a fixed list
TABLE_MOST = 96 * 1024  # bytes of one instance's terms as JSON: they go over a socket in one message
INSTANCES_MOST = 256
LISTENERS_MOST = 16
CONTROL_PATH_MOST = 100  # bytes; a Unix socket's address holds 107

REPEATS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong: where, and what."""

    table: str
    key: str
    what: str

    def __str__(self) -> str:
        place = f"[{self.table}] {self.key}" if self.key else f"[{self.table}]"
        return f"{place}: {self.what}" if self.table or self.key else self.what


class BadDocument(Exception):
    """A file that cannot be used, with every fault found in it."""

    def __init__(self, path: Path, faults: list[Fault]) -> None:
        super().__init__(f"{path}: {len(faults)} faults")
        self.path = path
        self.faults = faults

    def lines(self) -> list[str]:
        """One line a fault, each with file, table and key."""
        return [" ".join(f"{self.path}: {fault}".split()) for fault in self.faults]


@dataclass(frozen=True, slots=True)
class Key:
    """What a key may hold. `least` and `most` bound a number, or a text's length."""

    kind: type
    default: Any = None
    required: bool = False
    least: float | None = None
    most: float | None = None
    among: tuple[str, ...] = ()
    check: Callable[[Any], str | None] | None = None


def _address(value: str) -> str | None:
    try:
        parse_address(value)
    except Malformed:
        return "is not an IPv4 address and a port, as in 127.0.0.1:8080"
    return None


def _control(value: str) -> str | None:
    return None if len(os.fsencode(value)) <= CONTROL_PATH_MOST else "is too long for a Unix socket"


DAEMON = {
    "name": Key(str, "sorrelfront", least=1, most=64),
    "control": Key(str, required=True, least=1, check=_control),
    "seed": Key(int, 1, least=0, most=2**63 - 1),
    "instances": Key(int, 2, least=1, most=INSTANCES_MOST),
    "memory_mb": Key(int, 64, least=1, most=65_536),
    "sockets": Key(int, 512, least=64, most=1_048_576),
    "start_within_ms": Key(int, 10_000, least=100, most=600_000),
    "reload_within_ms": Key(int, 3_000, least=50, most=600_000),
    "hang_after_ms": Key(int, 5_000, least=1_000, most=600_000),
    "restart_first_ms": Key(int, 200, least=1, most=600_000),
    "restart_longest_ms": Key(int, 30_000, least=1, most=3_600_000),
}
LISTENER = {
    "address": Key(str, required=True, check=_address),
    "protocol": Key(str, "http1", among=("http1",)),
}
CLASS = {
    "repeat": Key(str, required=True, among=tuple(REPEATS)),
    "aim_ms": Key(float, required=True, least=0.001, most=3_600_000),
    "deadline_ms": Key(float, required=True, least=0.001, most=3_600_000),
    "window_ms": Key(float, 0.0, least=0, most=3_600_000),
    "scope": Key(str, "all", among=("all", "zone", "cell")),
    "worth": Key(float, 1.0, least=0, most=1e9),
    "late_worth": Key(float, 0.0, least=0, most=1e9),
}
LIMITS = {
    "tries": Key(int, 3, least=1, most=16),
    "held": Key(int, 1_000, least=1, most=1_000_000),
    "connect_timeout_ms": Key(float, 250.0, least=1, most=60_000),
    "retry_after_most_ms": Key(float, 500.0, least=0, most=60_000),
    "idle_ms": Key(float, 30_000.0, least=1, most=3_600_000),
    "cancel": Key(bool, True),
}
RULES = {
    "answer_slack_ms": Key(float, 20.0, least=0, most=10_000),
    "cold_from": Key(float, 0.3, least=0.001, most=1),
    "cold_ms": Key(float, 9_000.0, least=0, most=3_600_000),
    "cold_multiple": Key(float, 3.0, least=0.1, most=1_000),
    "cold_span_ms": Key(float, 1_500.0, least=1, most=3_600_000),
    "drain_grace_ms": Key(float, 500.0, least=1, most=60_000),
    "ask_within_ms": Key(float, 200.0, least=1, most=600_000),
}
MEMBERSHIP = {
    "source": Key(str, "registry", among=("registry", "fixed")),
    "address": Key(str, "", check=lambda value: _address(value) if value else None),
    "servers": Key(list, ()),
}
SERVER = {
    "id": Key(str, required=True, least=1, most=128),
    "address": Key(str, required=True, check=_address),
    "zone": Key(str, "", most=128),
    "kind": Key(str, "", most=128),
    "cell": Key(int, 0, least=0, most=1_000_000),
    "size": Key(float, 1.0, least=0.001, most=1e6),
}
TOP = ("daemon", "listeners", "classes", "limits", "rules", "membership")


@dataclass(frozen=True, slots=True)
class Document:
    """A good file. Tables hold checked values, with defaults filled in."""

    path: Path
    daemon: dict[str, Any]
    listeners: dict[str, dict[str, Any]]
    classes: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    rules: dict[str, Any]
    membership: dict[str, Any]

    @property
    def control(self) -> Path:
        """The control socket; a relative path counts from the file."""
        return self.path.parent / str(self.daemon["control"])

    @property
    def addresses(self) -> dict[str, Address]:
        return {name: parse_address(table["address"]) for name, table in self.listeners.items()}

    @property
    def names(self) -> list[str]:
        return [f"i{number}" for number in range(self.daemon["instances"])]

    @property
    def longest_deadline_us(self) -> int:
        return max(_us(table["deadline_ms"]) for table in self.classes.values())


class _Checker:
    """Collects faults and goes on."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def fault(self, table: str, key: str, what: str) -> None:
        self.faults.append(Fault(table, key, what))

    def unknown(self, table: str, key: str, known: Mapping[str, Any] | tuple[str, ...]) -> None:
        near = difflib.get_close_matches(key, list(known), n=1, cutoff=0.0)
        self.fault(table, key, f"is not a key known here; the nearest is {near[0]!r}")

    def table(self, value: Any, name: str, keys: Mapping[str, Key]) -> dict[str, Any]:
        """The table's values, as good as they are."""
        if not isinstance(value, dict):
            self.fault(name, "", "is not a table")
            return {key: spec.default for key, spec in keys.items()}
        for key in value:
            if key not in keys:
                self.unknown(name, key, keys)
        return {key: self.value(value, name, key, spec) for key, spec in keys.items()}

    def value(self, table: dict[str, Any], name: str, key: str, spec: Key) -> Any:
        if key not in table:
            if spec.required:
                self.fault(name, key, "is missing")
            return spec.default
        value = table[key]
        if spec.kind is float and type(value) is int:
            value = float(value)
        if type(value) is not spec.kind:
            self.fault(name, key, f"is not {_kind(spec.kind)}: {_shown(value)}")
            return spec.default
        size: Any = len(value) if isinstance(value, (str, list)) else value
        if spec.least is not None and not size >= spec.least:
            self.fault(name, key, f"must be at least {spec.least:g}: {_shown(value)}")
        elif spec.most is not None and not size <= spec.most:
            self.fault(name, key, f"must be at most {spec.most:g}: {_shown(value)}")
        elif spec.among and value not in spec.among:
            self.fault(name, key, f"must be one of {', '.join(spec.among)}: {_shown(value)}")
        elif spec.check is not None and (wrong := spec.check(value)):
            self.fault(name, key, f"{wrong}: {_shown(value)}")
        else:
            return value
        return spec.default

    def named(self, value: Any, name: str, keys: Mapping[str, Key]) -> dict[str, dict[str, Any]]:
        """A table of tables, by names that operators choose."""
        if not isinstance(value, dict) or not value:
            self.fault(name, "", "needs at least one table of its own, as in [" + name + ".NAME]")
            return {}
        return {item: self.table(value[item], f"{name}.{item}", keys) for item in value}


def _kind(kind: type) -> str:
    words = {str: "a text", int: "a whole number", float: "a number", bool: "true or false", list: "a list"}
    return words[kind]


def _shown(value: Any) -> str:
    return repr(value)[:80]


def _us(ms: float) -> int:
    return int(ms * 1000)


def read(path: Path) -> Document:
    """Read and check a file. Raises BadDocument."""
    try:
        with path.open("rb") as file:
            data = file.read(FILE_MOST + 1)
    except OSError as fault:
        raise BadDocument(path, [Fault("", "", fault.strerror or str(fault))]) from None
    return parse(data, path)


def parse(data: bytes, path: Path) -> Document:
    """Check a file's bytes. Raises BadDocument, and nothing else whatever the bytes are."""
    if len(data) > FILE_MOST:
        raise BadDocument(path, [Fault("", "", f"is longer than {FILE_MOST} bytes")])
    try:
        top = tomllib.loads(data.decode())
    except UnicodeDecodeError as fault:
        raise BadDocument(path, [Fault("", "", f"is not UTF-8: {fault.reason}")]) from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as fault:
        raise BadDocument(path, [Fault("", "", f"is not TOML: {fault}")]) from None
    return check(top, path)


def check(top: dict[str, Any], path: Path) -> Document:
    """Check what a file says. Raises BadDocument."""
    checker = _Checker()
    for key in top:
        if key not in TOP:
            checker.unknown("", key, TOP)
    document = Document(
        path=path,
        daemon=checker.table(top.get("daemon", {}), "daemon", DAEMON),
        listeners=checker.named(top.get("listeners"), "listeners", LISTENER),
        classes=checker.named(top.get("classes"), "classes", CLASS),
        limits=checker.table(top.get("limits", {}), "limits", LIMITS),
        rules=checker.table(top.get("rules", {}), "rules", RULES),
        membership=checker.table(top.get("membership", {}), "membership", MEMBERSHIP),
    )
    _cross(document, checker)
    if checker.faults:
        raise BadDocument(path, checker.faults)
    return document


def _cross(document: Document, checker: _Checker) -> None:
    """What one key says of another."""
    if len(document.listeners) > LISTENERS_MOST:
        checker.fault("listeners", "", f"has more than {LISTENERS_MOST} tables")
    seen: dict[str, str] = {}
    for name, listener in document.listeners.items():
        other = seen.setdefault(listener["address"] or name, name)
        if other != name:
            checker.fault(f"listeners.{name}", "address", f"is that of listeners.{other} too")
    for name, cls in document.classes.items():
        where = f"classes.{name}"
        if cls["repeat"] == "keyed" and not cls["window_ms"]:
            checker.fault(where, "window_ms", "is missing: for how long do servers remember a key?")
        if cls["repeat"] in ("safe", "unsafe") and cls["window_ms"]:
            checker.fault(where, "window_ms", "goes with repeat = 'keyed' only")
        if cls["aim_ms"] and cls["deadline_ms"] and cls["aim_ms"] > cls["deadline_ms"]:
            checker.fault(where, "aim_ms", "must not be above deadline_ms")
    daemon = document.daemon
    if daemon["restart_first_ms"] > daemon["restart_longest_ms"]:
        checker.fault("daemon", "restart_first_ms", "must not be above restart_longest_ms")
    _cross_membership(document.membership, checker)


def _cross_membership(membership: dict[str, Any], checker: _Checker) -> None:
    if membership["source"] == "registry":
        if not membership["address"]:
            checker.fault("membership", "address", "is missing: source = 'registry' needs it")
        if membership["servers"]:
            checker.fault("membership", "servers", "goes with source = 'fixed' only")
        return
    if membership["address"]:
        checker.fault("membership", "address", "goes with source = 'registry' only")
    if not membership["servers"]:
        checker.fault("membership", "servers", "is missing: source = 'fixed' needs it")
    servers, ids = [], set()
    for number, server in enumerate(membership["servers"]):
        where = f"membership.servers.{number}"
        table = checker.table(server, where, SERVER)
        if table["id"] in ids:
            checker.fault(where, "id", f"is there twice: {_shown(table['id'])}")
        ids.add(table["id"])
        servers.append(table)
    membership["servers"] = servers


def instance_table(document: Document, number: int) -> dict[str, Any]:
    """The terms of one instance, in the form that `sorrelfront.platform.config.parse` reads."""
    daemon, membership, limits, rules = (
        document.daemon, document.membership, document.limits, document.rules,
    )  # fmt: skip
    fixed = membership["source"] == "fixed"
    members = [
        {
            "id": server["id"], "host_port": server["address"], "locality": server["zone"],
            "flavor": server["kind"], "cell": server["cell"], "size": server["size"], "phase": "ready",
        }
        for server in membership["servers"]
    ]  # fmt: skip
    first = next(iter(document.listeners.values()))
    return {
        "name": f"{daemon['name']}-i{number}",
        "listen": first["address"],
        # A fixed list is never watched; the agent's terms want an address all the same.
        "discovery": "127.0.0.1:9" if fixed else membership["address"],
        "source": membership["source"],
        "seed": f"{(daemon['seed'] * INSTANCES_MOST + number) & (2**64 - 1):x}",
        "limits": {"memory_mb": daemon["memory_mb"], "sockets": daemon["sockets"]},
        "known": {"revision": 0, "complete": True, "members": members},
        "settings": {
            "grades": [_grade(name, cls) for name, cls in document.classes.items()],
            "instances": daemon["instances"],
            "ordinal": number,
            "registryMode": "fixed" if fixed else "subscribe",
            "limits": {
                "mostTries": limits["tries"],
                "mayCancel": limits["cancel"],
                "maxRetryAfterUs": _us(limits["retry_after_most_ms"]),
                "connectTimeoutUs": _us(limits["connect_timeout_ms"]),
                "connIdleUs": _us(limits["idle_ms"]),
                "mostHeld": limits["held"],
            },
            "rules": {
                "answerSlackUs": _us(rules["answer_slack_ms"]),
                "askWithinUs": _us(rules["ask_within_ms"]),
                "coldFrom": rules["cold_from"],
                "coldUs": _us(rules["cold_ms"]),
                "overloadFactor": rules["cold_multiple"],
                "stopSendingWithinUs": _us(rules["drain_grace_ms"]),
                "tipAfterUs": _us(rules["cold_span_ms"]),
            },
        },
    }


def _grade(name: str, cls: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": REPEATS[cls["repeat"]],
        "aimUs": _us(cls["aim_ms"]),
        "giveUpUs": _us(cls["deadline_ms"]),
        "windowUs": _us(cls["window_ms"]),
        "dedupScope": cls["scope"],
        "credit": cls["worth"],
        "lateWorth": cls["late_worth"],
    }
