"""The daemon's file: TOML, checked whole. Every fault is told in one go, with its table and key.

A `Document` is what a good file says. `instance_table` words it for one instance in the form that
`sorrelfront.platform.config.parse` reads, so that both programs take their terms through one door. Types and
ranges are msgspec's; the words, the nearest key and what one key says of another are ours.
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
from sorrelfront.lists import Malformed, parse_address
from sorrelfront.messages import Address

FILE_MOST = 4 * 1024 * 1024  # bytes; 10,000 servers in a fixed list take about one million
SERVERS_MOST = 10_000  # in a fixed list
INSTANCES_MOST = 256
LISTENERS_MOST = 16
HOSTS_MOST = 16
VOTERS_MOST = 7  # of a fleet: more make each change slower and no fleet safer
# Bytes. A Unix socket's address holds 107, and the doors of the instances lie below it: .d/i255-4194304.sock
CONTROL_PATH_MOST = 84

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


class BadDocument(SorrelfrontError):
    """A file that cannot be used, with every fault found in it."""

    remedy = "Mend each key that is named, and try it with `sorrelfront check FILE` first."

    def __init__(self, path: Path, faults: list[Fault]) -> None:
        super().__init__(f"{path}: {len(faults)} faults")
        self.path = path
        self.faults = faults

    def lines(self) -> list[str]:
        """One line a fault, each with file, table and key."""
        return [" ".join(f"{self.path}: {fault}".split()) for fault in self.faults]


def _address(value: str) -> str | None:
    try:
        parse_address(value)
    except Malformed:
        return "is not an IPv4 address and a port, as in 127.0.0.1:8080"
    return None


def _control(value: str) -> str | None:
    return None if len(os.fsencode(value)) <= CONTROL_PATH_MOST else "is too long for a Unix socket"


def _hosts(value: list[Any]) -> str | None:
    for host in value:
        if not isinstance(host, str) or _address(host) is not None:
            return f"has {_shown(host)}, which is not an IPv4 address and a port"
    return None


def _node(value: str) -> str | None:
    """Of a ZooKeeper-style service; empty for none."""
    parts = value.split("/")[1:]
    whole = value.startswith("/") and "\x00" not in value
    good = whole and all(part not in ("", ".", "..") for part in parts)
    return None if good or not value else "is not a path, as in /services/stock"


class Table(msgspec.Struct, kw_only=True):
    """A table of the file: its keys, their types, ranges and defaults. `CHECKS` are for what a range cannot
    say, each telling what is wrong, or None."""

    CHECKS: ClassVar[dict[str, Callable[[Any], str | None]]] = {}


class Daemon(Table, kw_only=True):
    CHECKS = {"control": _control}

    name: Annotated[str, Meta(min_length=1, max_length=64)] = "sorrelfront"
    control: Annotated[str, Meta(min_length=1)]
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 1
    instances: Annotated[int, Meta(ge=1, le=INSTANCES_MOST)] = 2
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
    format: Literal["auto", "text", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Listener(Table, kw_only=True):
    CHECKS = {"address": _address}

    address: str
    protocol: Literal["http1"] = "http1"


class Class(Table, kw_only=True):
    repeat: Literal["safe", "keyed", "unsafe"]
    aim_ms: Annotated[float, Meta(ge=0.001, le=3_600_000)]
    deadline_ms: Annotated[float, Meta(ge=0.001, le=3_600_000)]
    window_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 0.0
    scope: Literal["all", "zone", "cell"] = "all"
    worth: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1e9)] = 0.0
    # Of a member that is cut off from the fleet's voters: go by the policy that it has, or turn away.
    on_isolation: Literal["go-on", "refuse"] = "go-on"


class Limits(Table, kw_only=True):
    tries: Annotated[int, Meta(ge=1, le=16)] = 3
    held: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000
    connect_timeout_ms: Annotated[float, Meta(ge=1, le=60_000)] = 250.0
    retry_after_most_ms: Annotated[float, Meta(ge=0, le=60_000)] = 500.0
    idle_ms: Annotated[float, Meta(ge=1, le=3_600_000)] = 30_000.0
    cancel: bool = True


class Rules(Table, kw_only=True):
    answer_slack_ms: Annotated[float, Meta(ge=0, le=10_000)] = 20.0
    cold_from: Annotated[float, Meta(ge=0.001, le=1)] = 0.3
    cold_ms: Annotated[float, Meta(ge=0, le=3_600_000)] = 9_000.0
    cold_multiple: Annotated[float, Meta(ge=0.1, le=1_000)] = 3.0
    cold_span_ms: Annotated[float, Meta(ge=1, le=3_600_000)] = 1_500.0
    drain_grace_ms: Annotated[float, Meta(ge=1, le=60_000)] = 500.0
    ask_within_ms: Annotated[float, Meta(ge=1, le=600_000)] = 200.0


class Membership(Table, kw_only=True):
    CHECKS = {
        "address": lambda value: _address(value) if value else None,
        "hosts": _hosts,
        "path": _node,
        "chroot": _node,
        "fleet": _node,
    }

    source: Literal["registry", "fixed", "zookeeper"] = "registry"
    address: str = ""
    servers: Annotated[list[Any], Meta(max_length=SERVERS_MOST)] = []
    # Of a ZooKeeper-style service.
    hosts: Annotated[list[Any], Meta(max_length=HOSTS_MOST)] = []
    path: Annotated[str, Meta(max_length=512)] = ""
    chroot: Annotated[str, Meta(max_length=512)] = ""
    fleet: Annotated[str, Meta(max_length=512)] = ""
    auth_file: Annotated[str, Meta(max_length=1_024)] = ""
    session_ms: Annotated[float, Meta(ge=200, le=600_000)] = 6_000.0
    suspect_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 30_000.0
    confirm_ms: Annotated[float, Meta(ge=10, le=600_000)] = 1_000.0
    doubt_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 30_000.0
    hole_ms: Annotated[float, Meta(ge=10, le=3_600_000)] = 10_000.0


# Keys of [membership] that go with one source only, by what each means when it is not set.
ZOOKEEPER_KEYS = ("hosts", "path", "chroot", "fleet", "auth_file")


class Server(Table, kw_only=True):
    CHECKS = {"address": _address}

    id: Annotated[str, Meta(min_length=1, max_length=128)]
    address: str
    zone: Annotated[str, Meta(max_length=128)] = ""
    kind: Annotated[str, Meta(max_length=128)] = ""
    cell: Annotated[int, Meta(ge=0, le=1_000_000)] = 0
    size: Annotated[float, Meta(ge=0.001, le=1e6)] = 1.0


class FleetTable(Table, kw_only=True):
    """[fleet]: who else there is, as the instances find out among themselves. Off without it."""

    CHECKS = {
        "listen": _address,
        "advertise": lambda value: _address(value) if value else None,
        "join": _hosts,
    }

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: str  # of the first instance; the others have the ports that follow
    advertise: str = ""  # by which others reach it, if that is not `listen`
    join: Annotated[list[Any], Meta(max_length=64)] = []
    key_file: Annotated[str, Meta(max_length=1_024)] = ""
    probe_ms: Annotated[float, Meta(ge=20, le=60_000)] = 1_000.0
    answer_ms: Annotated[float, Meta(ge=10, le=60_000)] = 500.0
    gossip_ms: Annotated[float, Meta(ge=10, le=60_000)] = 200.0
    exchange_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 30_000.0
    recall_ms: Annotated[float, Meta(ge=50, le=3_600_000)] = 2_000.0
    keep_ms: Annotated[float, Meta(ge=1_000, le=86_400_000)] = 3_600_000.0
    seats: bool = False  # slices of the servers begin where the view says
    rest_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 5_000.0  # without a change, before one moves
    # One policy for all: members that vote on it, the same in every file.
    voters: Annotated[list[Any], Meta(max_length=VOTERS_MOST)] = []
    lease_ms: Annotated[float, Meta(ge=500, le=600_000)] = 5_000.0
    policy_header: bool = False  # answers say by which version they were decided
    # Copies of what matters, so that one that returns knows what its neighbours know.
    copies: bool = False
    copies_kb_s: Annotated[float, Meta(ge=1, le=1_000_000)] = 512.0  # given to those that catch up


SITE = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")
PUBLIC_KEY = re.compile(r"ed25519:[A-Za-z0-9+/]{43}=")
RELATIONS = ("customer", "peer", "provider")
# A lifetime has at least so many times between two asks, so that an offer comes in time over five hops.
LIFETIME_LEAST = 8


def _site(value: str) -> str | None:
    return None if SITE.fullmatch(value) else "is not a site's name: small letters, figures and dashes"


def _sites(value: list[Any]) -> str | None:
    wrong = [item for item in value if not isinstance(item, str) or _site(item) is not None]
    return f"has {_shown(wrong[0])}, which is not a site's name" if wrong else None


def _keys(value: list[Any]) -> str | None:
    wrong = [item for item in value if not isinstance(item, str) or PUBLIC_KEY.fullmatch(item) is None]
    if wrong:
        return f"has {_shown(wrong[0])}, which is not ed25519: and 32 bytes in base64"
    return None if 1 <= len(value) <= 2 else "needs one key, or two while one takes the other's place"


def _names(value: list[Any]) -> str | None:
    wrong = [item for item in value if not isinstance(item, str) or not 0 < len(item) <= 64]
    return f"has {_shown(wrong[0])}, which is no name" if wrong else None


def _moment(value: Any) -> str | None:
    good = value is None or (isinstance(value, datetime.datetime) and value.tzinfo is not None)
    return None if good else "is not a date and time with its zone, as in 2026-12-24T18:00:00+03:00"


class SiteTable(Table, kw_only=True):
    """[site]: this site among partners. Off without it."""

    CHECKS = {"name": _site, "listen": _address, "gateway": _address}

    name: str
    key_file: Annotated[str, Meta(min_length=1, max_length=1_024)]
    listen: str  # where partners ask, of the first instance; the others have the ports that follow
    gateway: str  # where their requests come, likewise
    renew_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1_000.0
    stale_ms: Annotated[float, Meta(ge=100, le=600_000)] = 5_000.0


class PartnerTable(Table, kw_only=True):
    """[partners.NAME]: a site that is known by its key, and one that is asked if it has addresses."""

    CHECKS = {"keys": _keys, "at": _hosts, "gateways": _hosts, "providers": _sites}

    keys: Annotated[list[Any], Meta(max_length=8)]
    at: Annotated[list[Any], Meta(max_length=64)] = []  # `listen` of each of its gateways
    # Where requests to each of these go, if not where the gateway itself says: through a tunnel.
    gateways: Annotated[list[Any], Meta(max_length=64)] = []
    relation: Literal["customer", "peer", "provider"] = "peer"  # what it is to this site
    cost: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    providers: Annotated[list[Any], Meta(max_length=64)] = []  # of its own, as far as is known


class OfferTable(Table, kw_only=True):
    """[offers.NAME]: what each gateway of this site lends."""

    CHECKS = {"to": _names, "onward": _names, "classes": _names, "until": _moment}

    classes: Annotated[list[Any], Meta(min_length=1, max_length=256)]
    to: Annotated[list[Any], Meta(max_length=256)] = []  # sites, or "members" for all; nobody
    onward: Annotated[list[Any], Meta(max_length=256)] = []  # who may pass it on, likewise
    until: Any = None
    rate: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000_000  # requests a second at most, by each gateway
    cost: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    capacity: Annotated[int, Meta(ge=1, le=1_000_000)] = 64  # requests at once, by each gateway
    lifetime_ms: Annotated[float, Meta(ge=400, le=86_400_000)] = 15_000.0
    group: Annotated[str, Meta(max_length=64)] = ""  # who drops repeats of a key; the gateway's own if empty


MEMBERS = "members"  # all sites whose keys are known

TOP = (
    "daemon", "log", "listeners", "classes", "limits", "rules", "membership", "fleet", "site", "partners",
    "offers",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Document:
    """A good file. Tables hold checked values, with defaults filled in."""

    path: Path
    daemon: dict[str, Any]
    log: dict[str, Any]
    listeners: dict[str, dict[str, Any]]
    classes: dict[str, dict[str, Any]]
    limits: dict[str, Any]
    rules: dict[str, Any]
    membership: dict[str, Any]
    fleet: dict[str, Any] | None = None  # None: the instances know of nobody
    site: dict[str, Any] | None = None  # None: no partners either
    partners: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    offers: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    text: bytes = b""  # the file as it was read

    @property
    def control(self) -> Path:
        """The control socket; a relative path counts from the file."""
        return self.path.parent / str(self.daemon["control"])

    @property
    def run_folder(self) -> Path:
        """Where the instances' own sockets, the journal and the lock lie."""
        return self.control.with_name(self.control.name + ".d")

    @property
    def state_folder(self) -> Path | None:
        """Where state is kept on disk, if it is; a relative path counts from the file."""
        told = str(self.daemon["state_dir"])
        return self.path.parent / told if told else None

    @property
    def addresses(self) -> dict[str, Address]:
        return {name: parse_address(table["address"]) for name, table in self.listeners.items()}

    @property
    def names(self) -> list[str]:
        return [f"i{number}" for number in range(self.daemon["instances"])]

    @property
    def longest_deadline_us(self) -> int:
        return max(_us(table["deadline_ms"]) for table in self.classes.values())


class Checker:
    """Collects faults and goes on."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def fault(self, table: str, key: str, what: str) -> None:
        self.faults.append(Fault(table, key, what))

    def unknown(self, table: str, key: str, known: Mapping[str, Any] | tuple[str, ...]) -> None:
        near = difflib.get_close_matches(key, list(known), n=1, cutoff=0.0)
        self.fault(table, key, f"is not a key known here; the nearest is {near[0]!r}")

    def table(self, value: Any, name: str, model: type[Table]) -> dict[str, Any]:
        """The table's values, as good as they are: a fault leaves the default, or None, in its place. Each
        key is converted by itself, since a whole table's conversion ends at its first fault."""
        keys = _fields(model)
        if not isinstance(value, dict):
            self.fault(name, "", "is not a table")
            return {key: _default(spec) for key, spec in keys.items()}
        for key in value:
            if key not in keys:
                self.unknown(name, key, keys)
        return {key: self.value(value, name, key, spec, model) for key, spec in keys.items()}

    def value(
        self, table: dict[str, Any], name: str, key: str, spec: FieldInfo, model: type[Table]
    ) -> Any:
        if key not in table:
            if spec.required:
                self.fault(name, key, "is missing")
            return _default(spec)
        value = table[key]
        try:
            made = msgspec.convert(value, type=spec.type)
        except msgspec.ValidationError as fault:
            self.fault(name, key, f"{_in_words(str(fault), spec)}: {_shown(value)}")
            return _default(spec)
        if made != made:  # a number that is none passes every range
            self.fault(name, key, f"must be at least {_least(spec):g}: {_shown(value)}")
            return _default(spec)
        check = model.CHECKS.get(key)
        wrong = check(made) if check is not None else None
        if wrong is not None:
            self.fault(name, key, f"{wrong}: {_shown(value)}")
            return _default(spec)
        return made

    def named(self, value: Any, name: str, model: type[Table]) -> dict[str, dict[str, Any]]:
        """A table of tables, by names that operators choose."""
        if not isinstance(value, dict) or not value:
            self.fault(name, "", "needs at least one table of its own, as in [" + name + ".NAME]")
            return {}
        return {item: self.table(value[item], f"{name}.{item}", model) for item in value}


@cache
def _fields(model: type[Table]) -> dict[str, FieldInfo]:
    return {item.name: item for item in msgspec.structs.fields(model)}


def _default(spec: FieldInfo) -> Any:
    if spec.default_factory is not NODEFAULT:
        return spec.default_factory()
    return None if spec.default is NODEFAULT else spec.default


def _least(spec: FieldInfo) -> float:
    meta = get_args(spec.type)[1]
    return float(meta.ge)


KINDS = {
    "str": "a text", "int": "a whole number", "float": "a number", "bool": "true or false", "array": "a list",
}  # fmt: skip
BOUNDS = {">=": "at least", "<=": "at most"}


def _in_words(said: str, spec: FieldInfo) -> str:
    """What msgspec says of a value, for whoever wrote the file."""
    if found := re.match(r"Expected `(\w+)`(?: of length)? (>=|<=) ([-+.\w]+)", said):
        return f"must be {BOUNDS[found[2]]} {float(found[3]):g}"
    if found := re.match(r"Expected `(\w+)`, got", said):
        return f"is not {KINDS.get(found[1], found[1])}"
    if said.startswith("Invalid enum value"):
        return f"must be one of {', '.join(get_args(spec.type))}"
    return said


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
    return dataclasses.replace(check(top, path), text=data)


def check(top: dict[str, Any], path: Path) -> Document:
    """Check what a file says. Raises BadDocument."""
    checker = Checker()
    for key in top:
        if key not in TOP:
            checker.unknown("", key, TOP)
    document = Document(
        path=path,
        daemon=checker.table(top.get("daemon", {}), "daemon", Daemon),
        log=checker.table(top.get("log", {}), "log", Log),
        listeners=checker.named(top.get("listeners"), "listeners", Listener),
        classes=checker.named(top.get("classes"), "classes", Class),
        limits=checker.table(top.get("limits", {}), "limits", Limits),
        rules=checker.table(top.get("rules", {}), "rules", Rules),
        membership=checker.table(top.get("membership", {}), "membership", Membership),
        fleet=checker.table(top["fleet"], "fleet", FleetTable) if "fleet" in top else None,
        site=checker.table(top["site"], "site", SiteTable) if "site" in top else None,
        partners=checker.named(top["partners"], "partners", PartnerTable) if "partners" in top else {},
        offers=checker.named(top["offers"], "offers", OfferTable) if "offers" in top else {},
    )
    _cross(document, checker)
    if checker.faults:
        raise BadDocument(path, checker.faults)
    return document


def _cross(document: Document, checker: Checker) -> None:
    """What one key says of another."""
    if len(document.listeners) > LISTENERS_MOST:
        checker.fault("listeners", "", f"has more than {LISTENERS_MOST} tables")
    seen: dict[str, str] = {}
    for name, listener in document.listeners.items():
        other = seen.setdefault(listener["address"] or name, name)
        if other != name:
            checker.fault(f"listeners.{name}", "address", f"is that of listeners.{other} too")
    cross_classes(document.classes, checker)
    daemon = document.daemon
    if daemon["restart_first_ms"] > daemon["restart_longest_ms"]:
        checker.fault("daemon", "restart_first_ms", "must not be above restart_longest_ms")
    _cross_membership(document.membership, checker)
    if document.fleet is not None and document.fleet["listen"]:
        _cross_fleet(document.fleet, document, checker)
    _cross_site(document, checker)


def _cross_site(document: Document, checker: Checker) -> None:
    site = document.site
    if site is None:
        for name in ("partners", "offers"):
            if getattr(document, name):
                checker.fault(name, "", "goes with [site] only")
        return
    if document.fleet is None:
        checker.fault("site", "", "needs [fleet]: the members of a site know of each other")
    count = document.daemon["instances"]
    taken = {item["address"]: f"listeners.{name}" for name, item in document.listeners.items()}
    for key in ("listen", "gateway"):
        if not site[key]:
            continue
        host, port = parse_address(site[key])
        if port + count - 1 > 65_535:
            checker.fault("site", key, f"has no {count} ports from {port} on, one for each instance")
        if not host.startswith("127."):
            # Risk: words between sites are signed, and requests are not hidden from who reads the line.
            checker.fault("site", key, "is no loopback address: between machines, lead it through a tunnel")
        for number in range(count):
            other = taken.setdefault(f"{host}:{port + number}", f"site.{key}")
            if other != f"site.{key}":
                checker.fault("site", key, f"with the ports that follow is that of {other} too")
    _cross_partners(document, site, checker)
    _cross_offers(document, site, checker)


def _cross_partners(document: Document, site: dict[str, Any], checker: Checker) -> None:
    from sorrelfront.decisions.sites.offers import circle

    partners = document.partners
    owners: dict[str, str] = {}
    for name, table in partners.items():
        where = f"partners.{name}"
        if _site(name) is not None:
            checker.fault(where, "", f"{_site(name)}: {_shown(name)}")
        if name == site["name"]:
            checker.fault(where, "", "is this site itself")
        if table["gateways"] and len(table["gateways"]) != len(table["at"]):
            checker.fault(where, "gateways", "must have as many addresses as `at`, in the same order")
        for key in table["keys"] or ():
            other = owners.setdefault(key, name)
            if other != name:
                checker.fault(where, "keys", f"has one of partners.{other}: they could speak as each other")
    providers = {name: frozenset(table["providers"] or ()) for name, table in partners.items()}
    for name, table in partners.items():
        if table["relation"] == "customer" and site["name"]:
            providers[name] |= {site["name"]}
    own = frozenset(name for name, table in partners.items() if table["relation"] == "provider")
    found = circle({**providers, site["name"]: own}) if site["name"] else []
    if found:
        way = " -> ".join((*found, found[0]))
        checker.fault("partners", "relation", f"makes a circle in which each lends to the next: {way}")


def _cross_offers(document: Document, site: dict[str, Any], checker: Checker) -> None:
    for name, table in document.offers.items():
        where = f"offers.{name}"
        for cls in table["classes"] or ():
            if cls not in document.classes:
                checker.fault(where, "classes", f"has {_shown(cls)}, which is not in [classes]")
        for key in ("to", "onward"):
            for other in table[key] or ():
                if other != MEMBERS and other not in document.partners:
                    checker.fault(where, key, f"has {_shown(other)}, which is not in [partners]")
        if table["lifetime_ms"] < LIFETIME_LEAST * site["renew_ms"]:
            checker.fault(where, "lifetime_ms", f"must be at least {LIFETIME_LEAST} times [site] renew_ms")
        if len(name) > 64:
            checker.fault(where, "", "has a name of more than 64 characters")


def cross_classes(classes: dict[str, dict[str, Any]], checker: Checker) -> None:
    for name, cls in classes.items():
        where = f"classes.{name}"
        if cls["repeat"] == "keyed" and not cls["window_ms"]:
            checker.fault(where, "window_ms", "is missing: for how long do servers remember a key?")
        if cls["repeat"] in ("safe", "unsafe") and cls["window_ms"]:
            checker.fault(where, "window_ms", "goes with repeat = 'keyed' only")
        if cls["aim_ms"] and cls["deadline_ms"] and cls["aim_ms"] > cls["deadline_ms"]:
            checker.fault(where, "aim_ms", "must not be above deadline_ms")


def _cross_fleet(fleet: dict[str, Any], document: Document, checker: Checker) -> None:
    count = document.daemon["instances"]
    fleet["advertise"] = fleet["advertise"] or fleet["listen"]
    for key in ("listen", "advertise"):
        port = parse_address(fleet[key])[1]
        if port + count - 1 > 65_535:
            checker.fault("fleet", key, f"has no {count} ports from {port} on, one for each instance")
    _cross_voters(fleet["voters"], document, checker)
    loopback = all(parse_address(fleet[key])[0].startswith("127.") for key in ("listen", "advertise"))
    if not fleet["key_file"] and not loopback:
        # Risk: whoever reaches the port would be believed.
        checker.fault("fleet", "key_file", "is missing: without one only loopback addresses will do")
    if fleet["seats"] and document.membership["fleet"]:
        checker.fault("fleet", "seats", "does not go with [membership] fleet, which says the same")
    if fleet["answer_ms"] >= fleet["probe_ms"]:
        checker.fault("fleet", "answer_ms", "must be below probe_ms: others are asked in the time between")
    listen, ours = parse_address(fleet["listen"]), document.listeners.values()
    taken = {(listen[0], listen[1] + number) for number in range(count)}
    if any(item["address"] and parse_address(item["address"]) in taken for item in ours):
        checker.fault("fleet", "listen", "with the ports that follow is that of a listener too")


def _cross_voters(voters: list[Any], document: Document, checker: Checker) -> None:
    if not voters:
        return
    if not all(isinstance(name, str) and 0 < len(name) <= 128 for name in voters):
        checker.fault("fleet", "voters", "is not a list of members' names, as in shop-a/i0")
    elif len(set(voters)) != len(voters) or len(voters) % 2 == 0:
        checker.fault("fleet", "voters", "must be 1, 3, 5 or 7 members, none of them twice")
    elif not document.daemon["state_dir"]:
        # Risk: a voter that forgets its votes at each start is none.
        checker.fault("daemon", "state_dir", "is missing: [fleet] voters needs it")


def _cross_membership(membership: dict[str, Any], checker: Checker) -> None:
    if membership["source"] != "zookeeper":
        for key in ZOOKEEPER_KEYS:
            if membership[key]:
                checker.fault("membership", key, "goes with source = 'zookeeper' only")
    if membership["source"] == "zookeeper":
        for key in ("hosts", "path"):
            if not membership[key]:
                checker.fault("membership", key, "is missing: source = 'zookeeper' needs it")
        for key in ("address", "servers"):
            if membership[key]:
                checker.fault("membership", key, "goes with other sources only")
        if membership["fleet"] and membership["fleet"] == membership["path"]:
            checker.fault("membership", "fleet", "is that of the servers")
        return
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
        table = checker.table(server, where, Server)
        if table["id"] in ids:
            checker.fault(where, "id", f"is there twice: {_shown(table['id'])}")
        ids.add(table["id"])
        servers.append(table)
    membership["servers"] = servers


def instance_table(document: Document, number: int, known: Any = None) -> dict[str, Any]:
    """The terms of one instance, in the form that `sorrelfront.platform.config.parse` reads. `known`: the
    list of servers, if it has been worded before."""
    daemon, membership = document.daemon, document.membership
    fixed = membership["source"] == "fixed"
    if known is None:
        known = {"revision": 0, "complete": True, "members": [*map(_member, membership["servers"])]}
    first = next(iter(document.listeners.values()))
    return {
        "name": f"{daemon['name']}-i{number}",
        "listen": first["address"],
        # A fixed list is never watched; the agent's terms want an address all the same.
        "discovery": membership["address"] or "127.0.0.1:9",
        "source": membership["source"],
        "zookeeper": _zookeeper(document),
        "fleet": _fleet(document, number),
        "site": _site_terms(document, number),
        "seed": f"{(daemon['seed'] * INSTANCES_MOST + number) & (2**64 - 1):x}",
        "limits": {"memory_mb": daemon["memory_mb"], "sockets": daemon["sockets"]},
        "known": known,
        "settings": {
            "instances": daemon["instances"],
            "ordinal": number,
            "registryMode": "fixed" if fixed else "subscribe",
            **how_to_decide(document.classes, document.limits, document.rules),
        },
    }


def how_to_decide(
    classes: dict[str, dict[str, Any]], limits: dict[str, Any], rules: dict[str, Any]
) -> dict[str, Any]:
    """What of an instance's terms says how it decides, and may be one policy for a whole fleet."""
    return {
        "grades": [_grade(name, cls) for name, cls in classes.items()],
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
    }


def _fleet(document: Document, number: int) -> dict[str, Any] | None:
    """What one instance goes by as a member: `listen` and `advertise` with its own port, and its record."""
    fleet = document.fleet
    if fleet is None:
        return None
    own = dict(fleet)
    for key in ("listen", "advertise"):
        host, port = parse_address(fleet[key])
        own[key] = f"{host}:{port + number}"
    own["member"] = f"{document.daemon['name']}/i{number}"
    own["key_file"] = str(document.path.parent.absolute() / fleet["key_file"]) if fleet["key_file"] else ""
    state = document.state_folder
    for key, name in (
        ("record", "view"), ("vote_record", "vote"), ("held_record", "held"), ("copies_record", "copies"),
    ):  # fmt: skip
        own[key] = str(state.absolute() / f"{name}-i{number}") if state is not None else ""
    if fleet["voters"]:
        own["policy"] = {"classes": document.classes, "limits": document.limits, "rules": document.rules}
    own["isolation"] = {name: cls["on_isolation"] for name, cls in document.classes.items()}
    return own


def _site_terms(document: Document, number: int) -> dict[str, Any] | None:
    """What one instance goes by as a gateway of its site: addresses with its own ports."""
    site = document.site
    if site is None:
        return None
    own = dict(site)
    for key in ("listen", "gateway"):
        host, port = parse_address(site[key])
        own[key] = f"{host}:{port + number}"
    own["member"] = f"{document.daemon['name']}/i{number}"
    own["key_file"] = str(document.path.parent.absolute() / site["key_file"])
    state = document.state_folder
    own["record"] = str(state.absolute() / f"site-i{number}") if state is not None else ""
    own["partners"] = document.partners
    own["offers"] = {
        name: table | {"until": None if table["until"] is None else table["until"].timestamp()}
        for name, table in document.offers.items()
    }
    return own


def _zookeeper(document: Document) -> dict[str, Any] | None:
    membership = document.membership
    if membership["source"] != "zookeeper":
        return None
    keys = (
        "hosts", "path", "chroot", "fleet", "session_ms", "suspect_ms", "confirm_ms", "doubt_ms", "hole_ms",
    )  # fmt: skip
    auth_file = membership["auth_file"]
    told = {key: membership[key] for key in keys}
    return told | {"auth_file": str(document.path.parent.absolute() / auth_file) if auth_file else ""}


def _member(server: dict[str, Any]) -> dict[str, Any]:
    return {
        "id": server["id"], "host_port": server["address"], "locality": server["zone"],
        "flavor": server["kind"], "cell": server["cell"], "size": server["size"], "phase": "ready",
    }  # fmt: skip


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
