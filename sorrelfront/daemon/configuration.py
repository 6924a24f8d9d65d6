"""Reads and checks the daemon's TOML file. All faults are reported at once, each with table and key.

A `Document` holds the values of a valid file. `instance_table` converts it for one instance to the form that
`sorrelfront.platform.config.parse` reads, so that the daemon's instances and the platform's program share
one parser. msgspec checks types and ranges; this module words the faults, finds the nearest known key and
checks the rules between keys.
"""

from __future__ import annotations

import dataclasses
import datetime
import difflib
import os
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Annotated, Any, ClassVar, Literal, get_args

import msgspec
from msgspec import NODEFAULT, Meta
from msgspec.structs import FieldInfo

from sorrelfront.errors import SorrelfrontError
from sorrelfront.lists import MalformedList, parse_address
from sorrelfront.messages import Address

MAX_FILE_BYTES = 4 * 1024 * 1024  # bytes; a fixed list of 10,000 servers takes about one million
MAX_SERVERS = 10_000  # in a fixed list
MAX_INSTANCES = 256
MAX_LISTENERS = 16
MAX_HOSTS = 16
MAX_VOTERS = 7  # of a fleet; more would slow down each change without making the fleet safer
# A Unix socket's address holds 107 bytes, and the instances' sockets add a suffix: .d/i255-4194304.sock
MAX_CONTROL_PATH_BYTES = 84

# What each value of a class's `repeat` key is called in an instance's terms.
REPEATS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a file: the table and key where it is, and a message."""

    table: str
    key: str
    message: str

    def __str__(self) -> str:
        location = f"[{self.table}] {self.key}" if self.key else f"[{self.table}]"
        return f"{location}: {self.message}" if self.table or self.key else self.message


class BadDocument(SorrelfrontError):
    """An invalid file, with every fault found in it."""

    remedy = "Mend each key that is named, and try it with `sorrelfront check FILE` first."

    def __init__(self, path: Path, faults: list[Fault]) -> None:
        super().__init__(f"{path}: {len(faults)} faults")
        self.path = path
        self.faults = faults

    def lines(self) -> list[str]:
        """Return one line for each fault, with file, table and key."""
        return [" ".join(f"{self.path}: {fault}".split()) for fault in self.faults]


def _check_address(value: str) -> str | None:
    try:
        parse_address(value)
    except MalformedList:
        return "is not an IPv4 address and a port, as in 127.0.0.1:8080"
    return None


def _check_control_path(value: str) -> str | None:
    return None if len(os.fsencode(value)) <= MAX_CONTROL_PATH_BYTES else "is too long for a Unix socket"


def _check_address_list(value: list[Any]) -> str | None:
    for host in value:
        if not isinstance(host, str) or _check_address(host) is not None:
            return f"has {_short_repr(host)}, which is not an IPv4 address and a port"
    return None


def _check_node_path(value: str) -> str | None:
    """Check the path of a node in a ZooKeeper-style service; it may be empty, for none."""
    parts = value.split("/")[1:]
    absolute = value.startswith("/") and "\x00" not in value
    valid = absolute and all(part not in ("", ".", "..") for part in parts)
    return None if valid or not value else "is not a path, as in /services/stock"


class Table(msgspec.Struct, kw_only=True):
    """Base of the file's tables: their keys with types, ranges and defaults.

    `CHECKS` has, by key, functions for rules that a range cannot express. Each returns what is wrong with a
    value, or None.
    """

    CHECKS: ClassVar[dict[str, Callable[[Any], str | None]]] = {}


class Daemon(Table, kw_only=True):
    """[daemon]: the supervisor, and the size and timeouts of its instances."""

    CHECKS = {"control": _check_control_path}

    name: Annotated[str, Meta(min_length=1, max_length=64)] = "sorrelfront"
    control: Annotated[str, Meta(min_length=1)]
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 1
    instances: Annotated[int, Meta(ge=1, le=MAX_INSTANCES)] = 2
    memory_mb: Annotated[int, Meta(ge=1, le=65_536)] = 64
    sockets: Annotated[int, Meta(ge=64, le=1_048_576)] = 512
    start_within_ms: Annotated[int, Meta(ge=100, le=600_000)] = 10_000
    reload_within_ms: Annotated[int, Meta(ge=50, le=600_000)] = 3_000
    hang_after_ms: Annotated[int, Meta(ge=1_000, le=600_000)] = 5_000
    restart_first_ms: Annotated[int, Meta(ge=1, le=600_000)] = 200
    restart_longest_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 30_000
    orphan_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 60_000
    state_dir: Annotated[str, Meta(max_length=1_024)] = ""
    state_every_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 2_000


class Log(Table, kw_only=True):
    """[log]: format and level of the log."""

    format: Literal["auto", "text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Listener(Table, kw_only=True):
    """[listeners.NAME]: an address on which the instances accept clients."""

    CHECKS = {"address": _check_address}

    address: str
    protocol: Literal["http1"] = "http1"


class Class(Table, kw_only=True):
    """[classes.NAME]: a class of requests, with its latency aim, deadline and rule for repeats."""

    repeat: Literal["safe", "keyed", "unsafe"]
    aim_ms: Annotated[float, Meta(ge=0.001, le=3_600_000)]
    deadline_ms: Annotated[float, Meta(ge=0.001, le=3_600_000)]
    window_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 0.0
    scope: Literal["all", "zone", "cell"] = "all"
    worth: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    # What a member does when it is cut off from the fleet's voters: go on with its last policy, or refuse
    # requests of this class.
    on_isolation: Literal["go-on", "refuse"] = "go-on"


class Limits(Table, kw_only=True):
    """[limits]: bounds on attempts, held requests and connections of each instance."""

    tries: Annotated[int, Meta(ge=1, le=16)] = 3
    held: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000
    connect_timeout_ms: Annotated[float, Meta(ge=1, le=60_000)] = 250.0
    retry_after_most_ms: Annotated[float, Meta(ge=0, le=60_000)] = 500.0
    idle_ms: Annotated[float, Meta(ge=1, le=3_600_000)] = 30_000.0
    cancel: bool = True


class Rules(Table, kw_only=True):
    """[rules]: parameters of the decisions: cold servers, drains, time kept for the answer, list requests."""

    answer_slack_ms: Annotated[float, Meta(ge=0, le=10_000)] = 20.0
    cold_from: Annotated[float, Meta(ge=0.001, le=1)] = 0.3
    cold_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 9_000.0
    cold_multiple: Annotated[float, Meta(ge=0.1, le=1_000)] = 3.0
    cold_span_ms: Annotated[float, Meta(ge=1, le=3_600_000)] = 1_500.0
    drain_grace_ms: Annotated[float, Meta(ge=1, le=60_000)] = 500.0
    ask_within_ms: Annotated[float, Meta(ge=1, le=600_000)] = 200.0


class Membership(Table, kw_only=True):
    """[membership]: the source of the list of servers."""

    CHECKS = {
        "address": lambda value: _check_address(value) if value else None,
        "hosts": _check_address_list,
        "path": _check_node_path,
        "chroot": _check_node_path,
        "fleet": _check_node_path,
    }

    source: Literal["registry", "fixed", "zookeeper"] = "registry"
    address: str = ""
    servers: Annotated[list[Any], Meta(max_length=MAX_SERVERS)] = []
    # With source = "zookeeper" only.
    hosts: Annotated[list[Any], Meta(max_length=MAX_HOSTS)] = []
    path: Annotated[str, Meta(max_length=512)] = ""
    chroot: Annotated[str, Meta(max_length=512)] = ""
    fleet: Annotated[str, Meta(max_length=512)] = ""
    auth_file: Annotated[str, Meta(max_length=1_024)] = ""
    session_ms: Annotated[float, Meta(ge=200, le=600_000)] = 6_000.0
    suspect_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 30_000.0
    confirm_ms: Annotated[float, Meta(ge=10, le=600_000)] = 1_000.0
    doubt_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 30_000.0
    hole_ms: Annotated[float, Meta(ge=10, le=3_600_000)] = 10_000.0


# Keys of [membership] that are valid with source = "zookeeper" only; each is empty when it is not set.
ZOOKEEPER_KEYS = ("hosts", "path", "chroot", "fleet", "auth_file")


class Server(Table, kw_only=True):
    """An item of [membership] servers: one server of a fixed list."""

    CHECKS = {"address": _check_address}

    id: Annotated[str, Meta(min_length=1, max_length=128)]
    address: str
    zone: Annotated[str, Meta(max_length=128)] = ""
    kind: Annotated[str, Meta(max_length=128)] = ""
    cell: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    size: Annotated[float, Meta(ge=0.001, le=1e6)] = 1.0


class FleetTable(Table, kw_only=True):
    """[fleet]: membership among the instances themselves, by gossip. Off without this table."""

    CHECKS = {
        "listen": _check_address,
        "advertise": lambda value: _check_address(value) if value else None,
        "join": _check_address_list,
    }

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: str  # of the first instance; the others use the following ports
    advertise: str = ""  # where other members reach it, if not at `listen`
    join: Annotated[list[Any], Meta(max_length=64)] = []
    key_file: Annotated[str, Meta(max_length=1_024)] = ""
    probe_ms: Annotated[float, Meta(ge=20, le=60_000)] = 1_000.0
    answer_ms: Annotated[float, Meta(ge=10, le=60_000)] = 500.0
    gossip_ms: Annotated[float, Meta(ge=10, le=60_000)] = 200.0
    exchange_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 30_000.0
    recall_ms: Annotated[float, Meta(ge=50, le=3_600_000)] = 2_000.0
    keep_ms: Annotated[float, Meta(ge=1_000, le=86_400_000)] = 3_600_000.0
    seats: bool = False  # the view of the fleet decides where each member's slice of the servers begins
    rest_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 5_000.0  # without a change, before a slice moves
    # Members that vote on one policy for the whole fleet; the same list in every member's file.
    voters: Annotated[list[Any], Meta(max_length=MAX_VOTERS)] = []
    lease_ms: Annotated[float, Meta(ge=500, le=600_000)] = 5_000.0
    policy_header: bool = False  # answers name the version of the policy that decided them
    # Replicate state to other members, so that a member that restarts recovers it from its peers.
    copies: bool = False
    copies_kb_s: Annotated[float, Meta(ge=1, le=1_000_000)] = 512.0  # sent to members that catch up, at most


SITE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")
PUBLIC_KEY = re.compile(r"ed25519:[A-Za-z0-9+/]{43}=")
RELATIONS = ("customer", "peer", "provider")
# An offer's lifetime is at least this many renewal intervals, so that it arrives in time over five hops.
MIN_LIFETIME_RENEWALS = 8


def _check_site_name(value: str) -> str | None:
    return None if SITE_NAME.fullmatch(value) else "is not a site's name: small letters, figures and dashes"


def _check_site_list(value: list[Any]) -> str | None:
    invalid = [item for item in value if not isinstance(item, str) or _check_site_name(item) is not None]
    return f"has {_short_repr(invalid[0])}, which is not a site's name" if invalid else None


def _check_public_keys(value: list[Any]) -> str | None:
    invalid = [item for item in value if not isinstance(item, str) or PUBLIC_KEY.fullmatch(item) is None]
    if invalid:
        return f"has {_short_repr(invalid[0])}, which is not ed25519: and 32 bytes in base64"
    return None if 1 <= len(value) <= 2 else "needs one key, or two while one takes the other's place"


def _check_name_list(value: list[Any]) -> str | None:
    invalid = [item for item in value if not isinstance(item, str) or not 0 < len(item) <= 64]
    return f"has {_short_repr(invalid[0])}, which is no name" if invalid else None


def _check_time(value: Any) -> str | None:
    valid = value is None or (isinstance(value, datetime.datetime) and value.tzinfo is not None)
    return None if valid else "is not a date and time with its zone, as in 2026-12-24T18:00:00+03:00"


class SiteTable(Table, kw_only=True):
    """[site]: this site's identity and addresses among partner sites. Off without this table."""

    CHECKS = {"name": _check_site_name, "listen": _check_address, "gateway": _check_address}

    name: str
    key_file: Annotated[str, Meta(min_length=1, max_length=1_024)]
    listen: str  # where partners connect to the first instance; the others use the following ports
    gateway: str  # where the first instance accepts partners' requests; the others likewise
    renew_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1_000.0
    stale_ms: Annotated[float, Meta(ge=100, le=600_000)] = 5_000.0


class PartnerTable(Table, kw_only=True):
    """[partners.NAME]: a site that is known by its key. It is polled for offers if it has addresses."""

    CHECKS = {
        "keys": _check_public_keys,
        "at": _check_address_list,
        "gateways": _check_address_list,
        "providers": _check_site_list,
    }

    keys: Annotated[list[Any], Meta(max_length=8)]
    at: Annotated[list[Any], Meta(max_length=64)] = []  # `listen` of each of its gateways
    # Where requests to each of them go, as through a tunnel; if empty, where the gateway itself says.
    gateways: Annotated[list[Any], Meta(max_length=64)] = []
    relation: Literal["customer", "peer", "provider"] = "peer"  # this partner's role towards this site
    cost: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    providers: Annotated[list[Any], Meta(max_length=64)] = []  # the partner's own, as far as known


class OfferTable(Table, kw_only=True):
    """[offers.NAME]: capacity that each gateway of this site lends to partners."""

    CHECKS = {
        "to": _check_name_list,
        "onward": _check_name_list,
        "classes": _check_name_list,
        "until": _check_time,
    }

    classes: Annotated[list[Any], Meta(min_length=1, max_length=256)]
    to: Annotated[list[Any], Meta(max_length=256)] = []  # sites, or "members" for all; empty for none
    onward: Annotated[list[Any], Meta(max_length=256)] = []  # sites that may pass the offer on, likewise
    until: Any = None
    rate: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000_000  # most requests per second, for each gateway
    cost: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    capacity: Annotated[int, Meta(ge=1, le=1_000_000)] = 64  # concurrent requests, for each gateway
    lifetime_ms: Annotated[float, Meta(ge=400, le=86_400_000)] = 15_000.0
    # The group that deduplicates repeats of a key; the gateway's own if empty.
    group: Annotated[str, Meta(max_length=64)] = ""


ALL_PARTNERS = "members"  # stands for all sites whose keys are known

TOP_LEVEL_KEYS = (
    "daemon", "log", "listeners", "classes", "limits", "rules", "membership", "fleet", "site", "partners",
    "offers",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Document:
    """A valid file. The tables hold checked values, with defaults filled in."""

    path: Path
    daemon: dict[str, Any]
    log: dict[str, Any]
    listeners: dict[str, dict[str, Any]]
    classes: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    rules: dict[str, Any]
    membership: dict[str, Any]
    fleet: dict[str, Any] | None = None  # None: the instances do not look for other members
    site: dict[str, Any] | None = None  # None: there are no partners either
    partners: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    offers: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    text: bytes = b""  # the file as it was read

    @property
    def control(self) -> Path:
        """The path of the control socket; a relative one starts at the file's folder."""
        return self.path.parent / str(self.daemon["control"])

    @property
    def run_folder(self) -> Path:
        """The folder of the instances' own sockets, the journal and the lock."""
        return self.control.with_name(self.control.name + ".d")

    @property
    def state_folder(self) -> Path | None:
        """The folder of persistent state, or None; a relative path starts at the file's folder."""
        state_dir = str(self.daemon["state_dir"])
        return self.path.parent / state_dir if state_dir else None

    @property
    def listener_addresses(self) -> dict[str, Address]:
        """The address of each listener, by the listener's name."""
        return {name: parse_address(table["address"]) for name, table in self.listeners.items()}

    @property
    def instance_names(self) -> list[str]:
        """The names of the instances: i0, i1 and so on."""
        return [f"i{number}" for number in range(self.daemon["instances"])]

    @property
    def longest_deadline_us(self) -> int:
        """The longest deadline of all classes, in microseconds."""
        return max(_to_us(table["deadline_ms"]) for table in self.classes.values())


class Checker:
    """Converts and checks tables. Collects all faults instead of stopping at the first."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def add_fault(self, table: str, key: str, message: str) -> None:
        """Record a fault. An empty `table` or `key` means that it concerns the whole file or table."""
        self.faults.append(Fault(table, key, message))

    def add_unknown_key(self, table: str, key: str, known: Mapping[str, Any] | tuple[str, ...]) -> None:
        """Record that `key` is unknown, and suggest the nearest of the `known` keys."""
        nearest = difflib.get_close_matches(key, list(known), n=1, cutoff=0.0)
        self.add_fault(table, key, f"is not a key known here; the nearest is {nearest[0]!r}")

    def check_table(self, value: Any, name: str, model: type[Table]) -> dict[str, Any]:
        """Convert and check one table, and return its values.

        A value with a fault is replaced by the key's default, or None. Each key is converted separately,
        because msgspec stops at the first fault of a whole table.
        """
        keys = _key_fields(model)
        if not isinstance(value, dict):
            self.add_fault(name, "", "is not a table")
            return {key: _default(spec) for key, spec in keys.items()}
        for key in value:
            if key not in keys:
                self.add_unknown_key(name, key, keys)
        return {key: self.check_value(value, name, key, spec, model) for key, spec in keys.items()}

    def check_value(
        self, table: dict[str, Any], name: str, key: str, spec: FieldInfo, model: type[Table]
    ) -> Any:
        """Convert and check one key of a table, and return its value, or its default after a fault."""
        if key not in table:
            if spec.required:
                self.add_fault(name, key, "is missing")
            return _default(spec)
        value = table[key]
        try:
            converted = msgspec.convert(value, type=spec.type)
        except msgspec.ValidationError as fault:
            self.add_fault(name, key, f"{_describe_error(str(fault), spec)}: {_short_repr(value)}")
            return _default(spec)
        if converted != converted:  # NaN passes msgspec's range checks
            self.add_fault(name, key, f"must be at least {_minimum(spec):g}: {_short_repr(value)}")
            return _default(spec)
        check = model.CHECKS.get(key)
        message = check(converted) if check is not None else None
        if message is not None:
            self.add_fault(name, key, f"{message}: {_short_repr(value)}")
            return _default(spec)
        return converted

    def check_named_tables(self, value: Any, name: str, model: type[Table]) -> dict[str, dict[str, Any]]:
        """Convert and check a table of tables whose names operators choose."""
        if not isinstance(value, dict) or not value:
            self.add_fault(name, "", "needs at least one table of its own, as in [" + name + ".NAME]")
            return {}
        return {item: self.check_table(value[item], f"{name}.{item}", model) for item in value}


@cache
def _key_fields(model: type[Table]) -> dict[str, FieldInfo]:
    return {item.name: item for item in msgspec.structs.fields(model)}


def _default(spec: FieldInfo) -> Any:
    if spec.default_factory is not NODEFAULT:
        return spec.default_factory()
    return None if spec.default is NODEFAULT else spec.default


def _minimum(spec: FieldInfo) -> float:
    meta = get_args(spec.type)[1]
    return float(meta.ge)


TYPE_NAMES = {
    "str": "a text", "int": "a whole number", "float": "a number", "bool": "true or false", "array": "a list",
}  # fmt: skip
BOUND_WORDS = {">=": "at least", "<=": "at most"}


def _describe_error(error: str, spec: FieldInfo) -> str:
    """Turn msgspec's message about a value into one for the author of the file."""
    if found := re.match(r"Expected `(\w+)`(?: of length)? (>=|<=) ([-+.\w]+)", error):
        return f"must be {BOUND_WORDS[found[2]]} {float(found[3]):g}"
    if found := re.match(r"Expected `(\w+)`, got", error):
        return f"is not {TYPE_NAMES.get(found[1], found[1])}"
    if error.startswith("Invalid enum value"):
        return f"must be one of {', '.join(get_args(spec.type))}"
    return error


def _short_repr(value: Any) -> str:
    return repr(value)[:80]


def _to_us(ms: float) -> int:
    return int(ms * 1000)


def read(path: Path) -> Document:
    """Read and check a file.

    Raises:
        BadDocument: the file cannot be read, or has faults.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as fault:
        raise BadDocument(path, [Fault("", "", fault.strerror or str(fault))]) from None
    return parse(data, path)


def parse(data: bytes, path: Path) -> Document:
    """Parse and check a file's bytes. `path` names the file in faults and resolves relative paths.

    Raises:
        BadDocument: the bytes have faults. No bytes raise anything else.
    """
    if len(data) > MAX_FILE_BYTES:
        raise BadDocument(path, [Fault("", "", f"is longer than {MAX_FILE_BYTES} bytes")])
    try:
        top = tomllib.loads(data.decode())
    except UnicodeDecodeError as fault:
        raise BadDocument(path, [Fault("", "", f"is not UTF-8: {fault.reason}")]) from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as fault:
        raise BadDocument(path, [Fault("", "", f"is not TOML: {fault}")]) from None
    return dataclasses.replace(check(top, path), text=data)


def check(top: dict[str, Any], path: Path) -> Document:
    """Check a file's parsed TOML tables.

    Raises:
        BadDocument: there are faults.
    """
    checker = Checker()
    for key in top:
        if key not in TOP_LEVEL_KEYS:
            checker.add_unknown_key("", key, TOP_LEVEL_KEYS)
    document = Document(
        path=path,
        daemon=checker.check_table(top.get("daemon", {}), "daemon", Daemon),
        log=checker.check_table(top.get("log", {}), "log", Log),
        listeners=checker.check_named_tables(top.get("listeners"), "listeners", Listener),
        classes=checker.check_named_tables(top.get("classes"), "classes", Class),
        limits=checker.check_table(top.get("limits", {}), "limits", Limits),
        rules=checker.check_table(top.get("rules", {}), "rules", Rules),
        membership=checker.check_table(top.get("membership", {}), "membership", Membership),
        fleet=checker.check_table(top["fleet"], "fleet", FleetTable) if "fleet" in top else None,
        site=checker.check_table(top["site"], "site", SiteTable) if "site" in top else None,
        partners=checker.check_named_tables(top["partners"], "partners", PartnerTable)
        if "partners" in top
        else {},
        offers=checker.check_named_tables(top["offers"], "offers", OfferTable) if "offers" in top else {},
    )
    _check_document(document, checker)
    if checker.faults:
        raise BadDocument(path, checker.faults)
    return document


def _check_document(document: Document, checker: Checker) -> None:
    """Check the rules between keys of the whole document."""
    if len(document.listeners) > MAX_LISTENERS:
        checker.add_fault("listeners", "", f"has more than {MAX_LISTENERS} tables")
    seen: dict[str, str] = {}
    for name, listener in document.listeners.items():
        other = seen.setdefault(listener["address"] or name, name)
        if other != name:
            checker.add_fault(f"listeners.{name}", "address", f"is that of listeners.{other} too")
    check_class_tables(document.classes, checker)
    daemon = document.daemon
    if daemon["restart_first_ms"] > daemon["restart_longest_ms"]:
        checker.add_fault("daemon", "restart_first_ms", "must not be above restart_longest_ms")
    _check_membership_table(document.membership, checker)
    if document.fleet is not None and document.fleet["listen"]:
        _check_fleet_table(document.fleet, document, checker)
    _check_site_table(document, checker)


def _check_site_table(document: Document, checker: Checker) -> None:
    site = document.site
    if site is None:
        for name in ("partners", "offers"):
            if getattr(document, name):
                checker.add_fault(name, "", "goes with [site] only")
        return
    if document.fleet is None:
        checker.add_fault("site", "", "needs [fleet]: the members of a site know of each other")
    count = document.daemon["instances"]
    taken = {item["address"]: f"listeners.{name}" for name, item in document.listeners.items()}
    for key in ("listen", "gateway"):
        if not site[key]:
            continue
        host, port = parse_address(site[key])
        if port + count - 1 > 65_535:
            checker.add_fault("site", key, f"has no {count} ports from {port} on, one for each instance")
        if not host.startswith("127."):
            # Messages between sites are signed, but requests are not encrypted: others could read them.
            checker.add_fault(
                "site", key, "is no loopback address: between machines, lead it through a tunnel"
            )
        for number in range(count):
            other = taken.setdefault(f"{host}:{port + number}", f"site.{key}")
            if other != f"site.{key}":
                checker.add_fault("site", key, f"with the ports that follow is that of {other} too")
    _check_partner_tables(document, site, checker)
    _check_offer_tables(document, site, checker)


def _check_partner_tables(document: Document, site: dict[str, Any], checker: Checker) -> None:
    from sorrelfront.decisions.sites.offers import provider_cycle

    partners = document.partners
    owners: dict[str, str] = {}
    for name, table in partners.items():
        where = f"partners.{name}"
        if _check_site_name(name) is not None:
            checker.add_fault(where, "", f"{_check_site_name(name)}: {_short_repr(name)}")
        if name == site["name"]:
            checker.add_fault(where, "", "is this site itself")
        if table["gateways"] and len(table["gateways"]) != len(table["at"]):
            checker.add_fault(where, "gateways", "must have as many addresses as `at`, in the same order")
        for key in table["keys"] or ():
            other = owners.setdefault(key, name)
            if other != name:
                checker.add_fault(
                    where, "keys", f"has one of partners.{other}: they could speak as each other"
                )
    providers = {name: frozenset(table["providers"] or ()) for name, table in partners.items()}
    for name, table in partners.items():
        if table["relation"] == "customer" and site["name"]:
            providers[name] |= {site["name"]}
    own = frozenset(name for name, table in partners.items() if table["relation"] == "provider")
    cycle = provider_cycle({**providers, site["name"]: own}) if site["name"] else []
    if cycle:
        chain = " -> ".join((*cycle, cycle[0]))
        checker.add_fault("partners", "relation", f"makes a circle in which each lends to the next: {chain}")


def _check_offer_tables(document: Document, site: dict[str, Any], checker: Checker) -> None:
    for name, table in document.offers.items():
        where = f"offers.{name}"
        for cls in table["classes"] or ():
            if cls not in document.classes:
                checker.add_fault(where, "classes", f"has {_short_repr(cls)}, which is not in [classes]")
        for key in ("to", "onward"):
            for other in table[key] or ():
                if other != ALL_PARTNERS and other not in document.partners:
                    checker.add_fault(where, key, f"has {_short_repr(other)}, which is not in [partners]")
        if table["lifetime_ms"] < MIN_LIFETIME_RENEWALS * site["renew_ms"]:
            checker.add_fault(
                where, "lifetime_ms", f"must be at least {MIN_LIFETIME_RENEWALS} times [site] renew_ms"
            )
        if len(name) > 64:
            checker.add_fault(where, "", "has a name of more than 64 characters")


def check_class_tables(classes: dict[str, dict[str, Any]], checker: Checker) -> None:
    """Check the rules between keys of each class."""
    for name, cls in classes.items():
        where = f"classes.{name}"
        if cls["repeat"] == "keyed" and not cls["window_ms"]:
            checker.add_fault(where, "window_ms", "is missing: for how long do servers remember a key?")
        if cls["repeat"] in ("safe", "unsafe") and cls["window_ms"]:
            checker.add_fault(where, "window_ms", "goes with repeat = 'keyed' only")
        if cls["aim_ms"] and cls["deadline_ms"] and cls["aim_ms"] > cls["deadline_ms"]:
            checker.add_fault(where, "aim_ms", "must not be above deadline_ms")


def _check_fleet_table(fleet: dict[str, Any], document: Document, checker: Checker) -> None:
    count = document.daemon["instances"]
    fleet["advertise"] = fleet["advertise"] or fleet["listen"]
    for key in ("listen", "advertise"):
        port = parse_address(fleet[key])[1]
        if port + count - 1 > 65_535:
            checker.add_fault("fleet", key, f"has no {count} ports from {port} on, one for each instance")
    _check_voters(fleet["voters"], document, checker)
    loopback = all(parse_address(fleet[key])[0].startswith("127.") for key in ("listen", "advertise"))
    if not fleet["key_file"] and not loopback:
        # Without a key, messages are not authenticated: anyone who reaches the port could forge them.
        checker.add_fault("fleet", "key_file", "is missing: without one only loopback addresses will do")
    if fleet["seats"] and document.membership["fleet"]:
        checker.add_fault("fleet", "seats", "does not go with [membership] fleet, which says the same")
    if fleet["answer_ms"] >= fleet["probe_ms"]:
        checker.add_fault(
            "fleet", "answer_ms", "must be below probe_ms: others are asked in the time between"
        )
    listen, listeners = parse_address(fleet["listen"]), document.listeners.values()
    taken = {(listen[0], listen[1] + number) for number in range(count)}
    if any(item["address"] and parse_address(item["address"]) in taken for item in listeners):
        checker.add_fault("fleet", "listen", "with the ports that follow is that of a listener too")


def _check_voters(voters: list[Any], document: Document, checker: Checker) -> None:
    if not voters:
        return
    if not all(isinstance(name, str) and 0 < len(name) <= 128 for name in voters):
        checker.add_fault("fleet", "voters", "is not a list of members' names, as in shop-a/i0")
    elif len(set(voters)) != len(voters) or len(voters) % 2 == 0:
        checker.add_fault("fleet", "voters", "must be 1, 3, 5 or 7 members, none of them twice")
    elif not document.daemon["state_dir"]:
        # A voter that loses its votes at a restart could vote twice, which breaks the quorum's guarantee.
        checker.add_fault("daemon", "state_dir", "is missing: [fleet] voters needs it")


def _check_membership_table(membership: dict[str, Any], checker: Checker) -> None:
    if membership["source"] != "zookeeper":
        for key in ZOOKEEPER_KEYS:
            if membership[key]:
                checker.add_fault("membership", key, "goes with source = 'zookeeper' only")
    if membership["source"] == "zookeeper":
        for key in ("hosts", "path"):
            if not membership[key]:
                checker.add_fault("membership", key, "is missing: source = 'zookeeper' needs it")
        for key in ("address", "servers"):
            if membership[key]:
                checker.add_fault("membership", key, "goes with other sources only")
        if membership["fleet"] and membership["fleet"] == membership["path"]:
            checker.add_fault("membership", "fleet", "is that of the servers")
        return
    if membership["source"] == "registry":
        if not membership["address"]:
            checker.add_fault("membership", "address", "is missing: source = 'registry' needs it")
        if membership["servers"]:
            checker.add_fault("membership", "servers", "goes with source = 'fixed' only")
        return
    if membership["address"]:
        checker.add_fault("membership", "address", "goes with source = 'registry' only")
    if not membership["servers"]:
        checker.add_fault("membership", "servers", "is missing: source = 'fixed' needs it")
    servers, ids = [], set()
    for number, server in enumerate(membership["servers"]):
        where = f"membership.servers.{number}"
        table = checker.check_table(server, where, Server)
        if table["id"] in ids:
            checker.add_fault(where, "id", f"is there twice: {_short_repr(table['id'])}")
        ids.add(table["id"])
        servers.append(table)
    membership["servers"] = servers


def instance_table(document: Document, number: int, known: Any = None) -> dict[str, Any]:
    """Return the terms of one instance, in the form that `sorrelfront.platform.config.parse` reads.

    `known` is the list of servers in that form, if the caller has built it before.
    """
    daemon, membership = document.daemon, document.membership
    fixed = membership["source"] == "fixed"
    if known is None:
        known = {"revision": 0, "complete": True, "members": [*map(_member_entry, membership["servers"])]}
    first = next(iter(document.listeners.values()))
    return {
        "name": f"{daemon['name']}-i{number}",
        "listen": first["address"],
        # The agent's terms require an address even for a fixed list, which is never watched.
        "discovery": membership["address"] or "127.0.0.1:9",
        "source": membership["source"],
        "zookeeper": _zookeeper_terms(document),
        "fleet": _fleet_terms(document, number),
        "site": _site_terms(document, number),
        "seed": f"{(daemon['seed'] * MAX_INSTANCES + number) & (2**64 - 1):x}",
        "limits": {"memory_mb": daemon["memory_mb"], "sockets": daemon["sockets"]},
        "known": known,
        "settings": {
            "instances": daemon["instances"],
            "ordinal": number,
            "registryMode": "fixed" if fixed else "subscribe",
            **decision_settings(document.classes, document.limits, document.rules),
        },
    }


def decision_settings(
    classes: dict[str, dict[str, Any]], limits: dict[str, Any], rules: dict[str, Any]
) -> dict[str, Any]:
    """Return the terms that govern an instance's decisions; a policy for the whole fleet may replace them."""
    return {
        "grades": [_class_terms(name, cls) for name, cls in classes.items()],
        "limits": {
            "mostTries": limits["tries"],
            "mayCancel": limits["cancel"],
            "maxRetryAfterUs": _to_us(limits["retry_after_most_ms"]),
            "connectTimeoutUs": _to_us(limits["connect_timeout_ms"]),
            "connIdleUs": _to_us(limits["idle_ms"]),
            "mostHeld": limits["held"],
        },
        "rules": {
            "answerSlackUs": _to_us(rules["answer_slack_ms"]),
            "askWithinUs": _to_us(rules["ask_within_ms"]),
            "coldFrom": rules["cold_from"],
            "coldUs": _to_us(rules["cold_ms"]),
            "overloadFactor": rules["cold_multiple"],
            "stopSendingWithinUs": _to_us(rules["drain_grace_ms"]),
            "tipAfterUs": _to_us(rules["cold_span_ms"]),
        },
    }


def _fleet_terms(document: Document, number: int) -> dict[str, Any] | None:
    """Return one instance's terms as a fleet member, with its own ports and the paths of its records."""
    fleet = document.fleet
    if fleet is None:
        return None
    terms = dict(fleet)
    for key in ("listen", "advertise"):
        host, port = parse_address(fleet[key])
        terms[key] = f"{host}:{port + number}"
    terms["member"] = f"{document.daemon['name']}/i{number}"
    terms["key_file"] = str(document.path.parent.absolute() / fleet["key_file"]) if fleet["key_file"] else ""
    state = document.state_folder
    for key, name in (
        ("record", "view"), ("vote_record", "vote"), ("held_record", "held"), ("copies_record", "copies"),
    ):  # fmt: skip
        terms[key] = str(state.absolute() / f"{name}-i{number}") if state is not None else ""
    if fleet["voters"]:
        terms["policy"] = {"classes": document.classes, "limits": document.limits, "rules": document.rules}
    terms["isolation"] = {name: cls["on_isolation"] for name, cls in document.classes.items()}
    return terms


def _site_terms(document: Document, number: int) -> dict[str, Any] | None:
    """Return one instance's terms as a gateway of its site, with its own ports and the path of its record."""
    site = document.site
    if site is None:
        return None
    terms = dict(site)
    for key in ("listen", "gateway"):
        host, port = parse_address(site[key])
        terms[key] = f"{host}:{port + number}"
    terms["member"] = f"{document.daemon['name']}/i{number}"
    terms["key_file"] = str(document.path.parent.absolute() / site["key_file"])
    state = document.state_folder
    terms["record"] = str(state.absolute() / f"site-i{number}") if state is not None else ""
    terms["partners"] = document.partners
    terms["offers"] = {
        name: table | {"until": None if table["until"] is None else table["until"].timestamp()}
        for name, table in document.offers.items()
    }
    return terms


def _zookeeper_terms(document: Document) -> dict[str, Any] | None:
    membership = document.membership
    if membership["source"] != "zookeeper":
        return None
    keys = (
        "hosts", "path", "chroot", "fleet", "session_ms", "suspect_ms", "confirm_ms", "doubt_ms", "hole_ms",
    )  # fmt: skip
    auth_file = membership["auth_file"]
    terms = {key: membership[key] for key in keys}
    return terms | {"auth_file": str(document.path.parent.absolute() / auth_file) if auth_file else ""}


def _member_entry(server: dict[str, Any]) -> dict[str, Any]:
    return {
        "id": server["id"], "host_port": server["address"], "locality": server["zone"],
        "flavor": server["kind"], "cell": server["cell"], "size": server["size"], "phase": "ready",
    }  # fmt: skip


def _class_terms(name: str, cls: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": name,
        "repeat": REPEATS[cls["repeat"]],
        "aimUs": _to_us(cls["aim_ms"]),
        "giveUpUs": _to_us(cls["deadline_ms"]),
        "windowUs": _to_us(cls["window_ms"]),
        "dedupScope": cls["scope"],
        "credit": cls["worth"],
        "lateWorth": cls["late_worth"],
    }
