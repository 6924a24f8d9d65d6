"""A policy: the part of the configuration that says how agents decide, one document for a whole fleet.

As a file it is TOML with the tables [classes.NAME], [limits] and [rules] of the daemon's file, and `out`, ids
of servers that are out by hand. As it is voted on it is JSON with every key, in one order, so that two that
mean the same are the same bytes but for who proposed them and when."""

from __future__ import annotations

import logging
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta

from sorrelfront.daemon.configuration import (
    BadDocument,
    Checker,
    Class,
    Document,
    Fault,
    Limits,
    Rules,
    cross_classes,
    how_to_decide,
)
from sorrelfront.decisions.fleet.policy import Shown, Value, digest_of
from sorrelfront.decisions.fleet.said import POLICY_MOST
from sorrelfront.platform.config import BadConfig, parse

if TYPE_CHECKING:
    from sorrelfront.fleet.council import Council

log = logging.getLogger("sorrelfront.daemon")

TOLD_MOST = 8  # differences in one line of the log
CHANGE_MOST = 96  # characters of a change's id
TOP = ("classes", "limits", "rules", "out")
OUT_MOST = 1_000  # servers out by hand
WHO_MOST = 128


class Out(msgspec.Struct, frozen=True):
    servers: Annotated[
        list[Annotated[str, Meta(min_length=1, max_length=128)]], Meta(max_length=OUT_MOST)
    ] = msgspec.field(default_factory=list)


class Envelope(msgspec.Struct, frozen=True):
    """What is voted on."""

    policy: dict[str, Any]
    who: Annotated[str, Meta(max_length=WHO_MOST)] = ""
    at: float = 0.0  # Unix time, as the proposer's clock had it: for people alone
    file: Annotated[str, Meta(max_length=256)] = ""


@dataclass(frozen=True, slots=True)
class Policy:
    """A good policy, with defaults filled in."""

    classes: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    rules: dict[str, Any]
    out: tuple[str, ...] = field(default=())

    def table(self) -> dict[str, Any]:
        return {"classes": self.classes, "limits": self.limits, "rules": self.rules, "out": [*self.out]}

    def encoded(self) -> bytes:
        return msgspec.json.encode(self.table(), order="sorted")

    @property
    def digest(self) -> str:
        """The same for policies that mean the same, whoever proposed them."""
        return digest_of(self.encoded())

    @property
    def isolation(self) -> dict[str, str]:
        return {name: str(cls["on_isolation"]) for name, cls in self.classes.items()}


def of(document: Document) -> Policy:
    """The policy that a daemon's own file says."""
    return Policy(document.classes, document.limits, document.rules)


def check(top: Any, path: Path) -> Policy:
    """Raises BadDocument, with every fault."""
    checker = Checker()
    if not isinstance(top, dict):
        raise BadDocument(path, [Fault("", "", "is not a table")])
    for key in top:
        if key not in TOP:
            checker.unknown("", key, TOP)
    try:
        out = msgspec.convert({"servers": top.get("out", [])}, type=Out).servers
    except msgspec.ValidationError as fault:
        checker.fault("", "out", f"is not a list of servers' ids: {fault}")
        out = []
    made = Policy(
        classes=checker.named(top.get("classes"), "classes", Class),
        limits=checker.table(top.get("limits", {}), "limits", Limits),
        rules=checker.table(top.get("rules", {}), "rules", Rules),
        out=tuple(sorted(set(out))),
    )
    cross_classes(made.classes, checker)
    if not checker.faults and len(made.encoded()) > POLICY_MOST - 1_024:
        checker.fault("", "", f"is longer than {POLICY_MOST - 1_024} bytes")
    if checker.faults:
        raise BadDocument(path, checker.faults)
    return made


def read(path: Path) -> Policy:
    """A policy's file. Raises BadDocument."""
    try:
        with path.open("rb") as file:
            data = file.read(4 * POLICY_MOST + 1)
        top = tomllib.loads(data.decode())
    except OSError as fault:
        raise BadDocument(path, [Fault("", "", fault.strerror or str(fault))]) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError, ValueError) as fault:
        raise BadDocument(path, [Fault("", "", f"is not TOML: {fault}")]) from None
    return check(top, path)


def seal(policy: Policy, who: str, at: float, file: str) -> bytes:
    """As it is voted on."""
    return msgspec.json.encode(Envelope(policy.table(), who[:WHO_MOST], at, file[:256]), order="sorted")


def unseal(document: bytes) -> tuple[Policy, Envelope]:
    """Raises BadDocument: cut, or a key that this version of the program does not know."""
    place = Path("the policy")
    if len(document) > POLICY_MOST:
        raise BadDocument(place, [Fault("", "", "is too long")])
    try:
        envelope = msgspec.json.decode(document, type=Envelope)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise BadDocument(place, [Fault("", "", f"cannot be read: {fault}")]) from None
    return check(envelope.policy, place), envelope


def laid_over(table: dict[str, Any], policy: Policy) -> dict[str, Any]:
    """An instance's terms with this policy in place of what its host's file says."""
    words = how_to_decide(policy.classes, policy.limits, policy.rules)
    return {**table, "settings": {**table["settings"], **words}}


def refusal(document: bytes, table: dict[str, Any]) -> str:
    """Why an instance with these terms would not go by this policy; empty if it would."""
    try:
        policy, _ = unseal(document)
        parse(laid_over(table, policy))
    except BadDocument as bad:
        return "; ".join(str(fault) for fault in bad.faults)
    except BadConfig as bad:
        return str(bad)
    return ""


class Governed:
    """What of one instance goes by the fleet's policy: its terms as its host's file has them, with the policy
    in force laid over them."""

    def __init__(self, table: dict[str, Any], apply: Callable[[dict[str, Any], Policy | None], None]) -> None:
        """`apply` has the instance go by these terms; it raises BadConfig if that cannot be."""
        self.table = table
        self.policy: Policy | None = None
        self._apply = apply

    def terms(self, table: dict[str, Any]) -> dict[str, Any]:
        """These terms of the host's file, as they hold."""
        return table if self.policy is None else laid_over(table, self.policy)

    def refusal(self, document: bytes) -> str:
        return refusal(document, self.table)

    def take(self, version: int, document: bytes) -> str:
        """Go by this version from now on. What is wrong with it, if that cannot be."""
        try:
            policy = unseal(document)[0] if document else None
            self._apply(self.table if policy is None else laid_over(self.table, policy), policy)
        except BadDocument as bad:
            return "; ".join(str(fault) for fault in bad.faults)
        except BadConfig as bad:
            return str(bad)
        if policy is not None and policy != self.policy:
            self._tell(version, policy)
        self.policy = policy
        return ""

    def _tell(self, version: int, policy: Policy) -> None:
        """What differs from this host's file, which may be an old one."""
        try:
            lines = differences(check(self.table["fleet"]["policy"], Path("the file")), policy)
        except BadDocument as bad:
            # Risk: a file that is good and longer than a policy may be would end this member's part.
            lines = [f"the file could be no policy: {bad.faults[0]}"]
        if lines:
            more = f" and {len(lines) - TOLD_MOST} more" if len(lines) > TOLD_MOST else ""
            said = "; ".join(lines[:TOLD_MOST])
            log.info("version %d is not what the file here says: %s%s", version, said, more)


async def answer(council: Council, message: dict[str, Any]) -> dict[str, Any]:
    """What an instance says to a word of `sorrelfront policy`. Raises KeyError, TypeError and ValueError for
    one that is none."""
    told: dict[str, Any] = {"self": council.name, "voters": [*council.voters], "policy_ok": True}
    match message["what"]:
        case "look":
            shown = await council.look(bool(message.get("history")))
            latest = max(shown.values(), key=lambda item: item.slot, default=None)
            rows = _history(latest) if latest is not None else []
            return told | {"shown": [_shown(item) for item in shown.values()], "history": rows}
        case "propose":
            value = Value(str(message["change"]), str(message["document"]).encode(), bool(message["void"]))
            if not 0 < len(value.change) <= CHANGE_MOST or len(value.document) > POLICY_MOST:
                raise ValueError("a change that is too long")
            begun = council.propose(value, None if message["onto"] is None else int(message["onto"]))
            return told | {"begun": begun, **_outcome(council)}
        case "outcome":
            return told | _outcome(council)
        case "found":
            forced = message.get("document")
            mark = None if forced is None else Value(str(message["change"]), str(forced).encode())
            shown, fault = await council.found(mark)
            return told | {"shown": [_shown(item) for item in shown.values()], "fault": fault}
    raise ValueError("a word that is not known here")


def _shown(item: Shown) -> dict[str, Any]:
    return {key: value for key, value in item._asdict().items() if key != "history"}


def _history(item: Shown) -> list[dict[str, Any]]:
    """What the voter that knows most remembers, the oldest first."""
    first = item.slot - len(item.history) + 1
    return [
        {
            "version": version,
            "change": value.change,
            "void": value.void,
            "document": value.document.decode(errors="replace"),
        }
        for version, value in enumerate(item.history, first)
    ]


def _outcome(council: Council) -> dict[str, Any]:
    proposed = council.proposed()
    if proposed is None:
        return {"outcome": None}
    change, outcome = proposed
    words = {"change": change, "state": outcome.state.value, "stage": outcome.stage.value}
    return {"outcome": {**outcome._asdict(), **words}}


def differences(old: Policy, new: Policy) -> list[str]:
    """What another policy changes, a line each."""
    found = []
    for name in sorted(old.classes.keys() | new.classes.keys()):
        if name not in new.classes:
            found.append(f"[classes.{name}] is taken out")
        elif name not in old.classes:
            found.append(f"[classes.{name}] is new: {_words(new.classes[name])}")
        else:
            found += _changed(f"[classes.{name}]", old.classes[name], new.classes[name])
    found += _changed("[limits]", old.limits, new.limits)
    found += _changed("[rules]", old.rules, new.rules)
    found += [f"server {name} is out" for name in sorted(set(new.out) - set(old.out))]
    found += [f"server {name} is back" for name in sorted(set(old.out) - set(new.out))]
    return found


def _changed(where: str, old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    return [f"{where} {key}: {old[key]!r} -> {new[key]!r}" for key in new if old.get(key) != new[key]]


def _words(table: dict[str, Any]) -> str:
    return ", ".join(f"{key} = {value!r}" for key, value in table.items())
