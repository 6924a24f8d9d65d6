"""Policies: the part of the configuration that governs how agents decide, one document for a whole fleet.

A policy's file is TOML with the tables [classes.NAME], [limits] and [rules] of the daemon's file, and `out`,
the ids of servers that an operator has disabled. The document that is voted on is JSON with every key, in a
fixed order, so that equivalent policies have the same bytes except for who proposed them and when.
"""

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
    check_class_tables,
    decision_settings,
)
from sorrelfront.decisions.fleet.policy import Value, VoterState, digest_of
from sorrelfront.decisions.fleet.policy_codec import MAX_POLICY_BYTES
from sorrelfront.platform.config import BadConfig, parse

if TYPE_CHECKING:
    from sorrelfront.fleet.policy_member import PolicyMember

log = logging.getLogger("sorrelfront.daemon")

MAX_LOGGED_DIFFERENCES = 8  # differences in one log line
MAX_CHANGE_ID_LENGTH = 96  # characters
TOP_LEVEL_KEYS = ("classes", "limits", "rules", "out")
MAX_DISABLED_SERVERS = 1_000  # servers disabled by an operator
MAX_WHO_LENGTH = 128  # characters


class Out(msgspec.Struct, frozen=True):
    """The ids of servers that an operator has disabled; used to validate `out`."""

    servers: Annotated[
        list[Annotated[str, Meta(min_length=1, max_length=128)]], Meta(max_length=MAX_DISABLED_SERVERS)
    ] = msgspec.field(default_factory=list)


class Envelope(msgspec.Struct, frozen=True):
    """The document that is voted on: a policy, and who proposed it when and from which file."""

    policy: dict[str, Any]
    who: Annotated[str, Meta(max_length=MAX_WHO_LENGTH)] = ""
    at: float = 0.0  # Unix time by the proposer's clock, for display only
    file: Annotated[str, Meta(max_length=256)] = ""


@dataclass(frozen=True, slots=True)
class Policy:
    """A valid policy, with defaults filled in."""

    classes: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    rules: dict[str, Any]
    out: tuple[str, ...] = field(default=())

    def table(self) -> dict[str, Any]:
        """The policy as plain data, as its file has it."""
        return {"classes": self.classes, "limits": self.limits, "rules": self.rules, "out": [*self.out]}

    def encoded(self) -> bytes:
        """The policy as JSON with sorted keys; equivalent policies have the same bytes."""
        return msgspec.json.encode(self.table(), order="sorted")

    @property
    def digest(self) -> str:
        """The digest of the policy, equal for equivalent policies whoever proposed them."""
        return digest_of(self.encoded())

    @property
    def isolation(self) -> dict[str, str]:
        """For each class, whether its requests go on or are refused while the member is cut off."""
        return {name: str(cls["on_isolation"]) for name, cls in self.classes.items()}


def from_document(document: Document) -> Policy:
    """Return the policy that a daemon's own file contains."""
    return Policy(document.classes, document.limits, document.rules)


def check(top: Any, path: Path) -> Policy:
    """Validate a policy's table. Raises BadDocument with every fault."""
    checker = Checker()
    if not isinstance(top, dict):
        raise BadDocument(path, [Fault("", "", "is not a table")])
    for key in top:
        if key not in TOP_LEVEL_KEYS:
            checker.add_unknown_key("", key, TOP_LEVEL_KEYS)
    try:
        out = msgspec.convert({"servers": top.get("out", [])}, type=Out).servers
    except msgspec.ValidationError as fault:
        checker.add_fault("", "out", f"is not a list of servers' ids: {fault}")
        out = []
    made = Policy(
        classes=checker.check_named_tables(top.get("classes"), "classes", Class),
        limits=checker.check_table(top.get("limits", {}), "limits", Limits),
        rules=checker.check_table(top.get("rules", {}), "rules", Rules),
        out=tuple(sorted(set(out))),
    )
    check_class_tables(made.classes, checker)
    if not checker.faults and len(made.encoded()) > MAX_POLICY_BYTES - 1_024:
        checker.add_fault("", "", f"is longer than {MAX_POLICY_BYTES - 1_024} bytes")
    if checker.faults:
        raise BadDocument(path, checker.faults)
    return made


def read(path: Path) -> Policy:
    """Read and validate a policy's file. Raises BadDocument."""
    try:
        with path.open("rb") as file:
            data = file.read(4 * MAX_POLICY_BYTES + 1)
        top = tomllib.loads(data.decode())
    except OSError as fault:
        raise BadDocument(path, [Fault("", "", fault.strerror or str(fault))]) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError, ValueError) as fault:
        raise BadDocument(path, [Fault("", "", f"is not TOML: {fault}")]) from None
    return check(top, path)


def encode_envelope(policy: Policy, who: str, at: float, file: str) -> bytes:
    """Encode the document that is voted on."""
    return msgspec.json.encode(Envelope(policy.table(), who[:MAX_WHO_LENGTH], at, file[:256]), order="sorted")


def decode_envelope(document: bytes) -> tuple[Policy, Envelope]:
    """Decode and validate a document that was voted on.

    Raises BadDocument if it is damaged, or has a key that this version of the program does not know.
    """
    place = Path("the policy")
    if len(document) > MAX_POLICY_BYTES:
        raise BadDocument(place, [Fault("", "", "is too long")])
    try:
        envelope = msgspec.json.decode(document, type=Envelope)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise BadDocument(place, [Fault("", "", f"cannot be read: {fault}")]) from None
    return check(envelope.policy, place), envelope


def overlay(table: dict[str, Any], policy: Policy) -> dict[str, Any]:
    """Return an instance's terms with this policy in place of its host's file."""
    settings = decision_settings(policy.classes, policy.limits, policy.rules)
    return {**table, "settings": {**table["settings"], **settings}}


def rejection_reason(document: bytes, table: dict[str, Any]) -> str:
    """Return why an instance with these terms cannot apply this policy; empty if it can."""
    try:
        policy, _ = decode_envelope(document)
        parse(overlay(table, policy))
    except BadDocument as bad:
        return "; ".join(str(fault) for fault in bad.faults)
    except BadConfig as bad:
        return str(bad)
    return ""


class PolicyOverlay:
    """One instance's terms: those of its host's file, overlaid with the fleet's policy in force."""

    def __init__(self, table: dict[str, Any], apply: Callable[[dict[str, Any], Policy | None], None]) -> None:
        """Start with the terms of the host's file.

        `apply` makes the instance use the given terms and policy; it raises BadConfig if it cannot.
        """
        self.table = table
        self.policy: Policy | None = None
        self._apply = apply

    def terms(self, table: dict[str, Any]) -> dict[str, Any]:
        """These terms of a host's file, overlaid with the policy in force."""
        return table if self.policy is None else overlay(table, self.policy)

    def rejection_reason(self, document: bytes) -> str:
        """Return why this instance cannot apply a policy; empty if it can."""
        return rejection_reason(document, self.table)

    def apply_version(self, version: int, document: bytes) -> str:
        """Apply this version. Returns a fault if that is not possible, else an empty text."""
        try:
            policy = decode_envelope(document)[0] if document else None
            self._apply(self.table if policy is None else overlay(self.table, policy), policy)
        except BadDocument as bad:
            return "; ".join(str(fault) for fault in bad.faults)
        except BadConfig as bad:
            return str(bad)
        if policy is not None and policy != self.policy:
            self._log_differences(version, policy)
        self.policy = policy
        return ""

    def _log_differences(self, version: int, policy: Policy) -> None:
        """Log how the policy differs from this host's file, which may be out of date."""
        try:
            lines = differences(check(self.table["fleet"]["policy"], Path("the file")), policy)
        except BadDocument as bad:
            # A valid file may be longer than a policy may be; unhandled, that would stop the member's part.
            lines = [f"the file is not a valid policy: {bad.faults[0]}"]
        if lines:
            more = (
                f" and {len(lines) - MAX_LOGGED_DIFFERENCES} more"
                if len(lines) > MAX_LOGGED_DIFFERENCES
                else ""
            )
            shown = "; ".join(lines[:MAX_LOGGED_DIFFERENCES])
            log.info("version %d is not what the file here says: %s%s", version, shown, more)


async def handle_command(policy_member: PolicyMember, message: dict[str, Any]) -> dict[str, Any]:
    """Handle a command of `sorrelfront policy` at an instance, and return its answer.

    Raises KeyError, TypeError or ValueError for a malformed or unknown command.
    """
    reply: dict[str, Any] = {"self": policy_member.name, "voters": [*policy_member.voters], "policy_ok": True}
    match message["what"]:
        case "look":
            states = await policy_member.query_voters(bool(message.get("history")))
            latest = max(states.values(), key=lambda item: item.slot, default=None)
            rows = _history_rows(latest) if latest is not None else []
            return reply | {"shown": [_state_table(item) for item in states.values()], "history": rows}
        case "propose":
            value = Value(str(message["change"]), str(message["document"]).encode(), bool(message["void"]))
            if not 0 < len(value.change) <= MAX_CHANGE_ID_LENGTH or len(value.document) > MAX_POLICY_BYTES:
                raise ValueError("a change that is too long")
            begun = policy_member.propose(value, None if message["onto"] is None else int(message["onto"]))
            return reply | {"begun": begun, **_outcome_table(policy_member)}
        case "outcome":
            return reply | _outcome_table(policy_member)
        case "found":
            forced = message.get("document")
            initial = None if forced is None else Value(str(message["change"]), str(forced).encode())
            states, fault = await policy_member.found_fleet(initial)
            return reply | {"shown": [_state_table(item) for item in states.values()], "fault": fault}
    raise ValueError("a word that is not known here")


def _state_table(item: VoterState) -> dict[str, Any]:
    """A voter's state without its history, under the fields' own names."""
    return {key: value for key, value in item._asdict().items() if key != "history"}


def _history_rows(item: VoterState) -> list[dict[str, Any]]:
    """The chosen values in a voter's history, the oldest first."""
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


def _outcome_table(policy_member: PolicyMember) -> dict[str, Any]:
    proposal = policy_member.latest_proposal()
    if proposal is None:
        return {"outcome": None}
    change, outcome = proposal
    texts = {"change": change, "state": outcome.state.value, "stage": outcome.stage.value}
    return {"outcome": {**outcome._asdict(), **texts}}


def differences(old: Policy, new: Policy) -> list[str]:
    """Describe how one policy differs from another, one line per difference."""
    lines = []
    for name in sorted(old.classes.keys() | new.classes.keys()):
        if name not in new.classes:
            lines.append(f"[classes.{name}] is taken out")
        elif name not in old.classes:
            lines.append(f"[classes.{name}] is new: {_settings_text(new.classes[name])}")
        else:
            lines += _setting_differences(f"[classes.{name}]", old.classes[name], new.classes[name])
    lines += _setting_differences("[limits]", old.limits, new.limits)
    lines += _setting_differences("[rules]", old.rules, new.rules)
    lines += [f"server {name} is out" for name in sorted(set(new.out) - set(old.out))]
    lines += [f"server {name} is back" for name in sorted(set(old.out) - set(new.out))]
    return lines


def _setting_differences(where: str, old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    return [f"{where} {key}: {old[key]!r} -> {new[key]!r}" for key in new if old.get(key) != new[key]]


def _settings_text(table: dict[str, Any]) -> str:
    return ", ".join(f"{key} = {value!r}" for key, value in table.items())
