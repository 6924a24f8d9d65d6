"""The scenario file of a storm: TOML with hosts, load, faults (scheduled or drawn) and expectations.

The file is checked as a whole. Distributions of drawn faults: their number is uniform in `count`, the begin
of each uniform in `within_s`, its duration log-uniform in `lasts_s`, its kind by the weights of `kinds`, its
host uniform. A fault that would overlap with another on the same host or link is drawn again, and left out
after 50 draws. Sizes of a kind (such as a delay or a rate) are drawn log-uniformly in the range of its row in
`KINDS`; a step of the clock is drawn uniformly.
"""

from __future__ import annotations

import dataclasses
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import numpy as np
from msgspec import Meta

from sorrelfront.daemon.configuration import BadDocument, Checker, Fault, Table

MAX_HOSTS = 16
MAX_FILE_BYTES = 256 * 1024
MAX_FAULTS = 256
MAX_DRAWS = 50  # of one fault, until it does not overlap
KINDS_BY_PART = {
    "host": (
        "kill",
        "kill-supervisor",
        "kill-instance",
        "freeze",
        "late",
        "move",
        "starve",
        "restart",
        "replace",
        "reload",
        "rekey",
        "twin",
        "propose",
        "abandon",
        "terms",
        "power",
        "clock-step",
        "clock-fast",
        "disk-full",
        "disk-readonly",
        "disk-slow",
        "disk-torn",
        "disk-back",
        "disk-gone",
    ),
    "link": (
        "cut",
        "island",
        "one-way",
        "ring",
        "refuse",
        "reset",
        "forget",
        "delay",
        "narrow",
        "datagrams",
        "deaf",
    ),
    "server": ("server-kill", "server-slow", "server-hang", "server-fail", "server-drain", "server-new"),
    "list": ("list-down",),
}


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault: which part of the stage it affects, whether it lasts, and the range of its size."""

    part: str
    lasts: bool = True
    size: tuple[float, float] | None = None  # of drawn faults, in the unit that the operators' page names


def _kinds() -> dict[str, Kind]:
    once = {
        "kill-instance",
        "replace",
        "reload",
        "rekey",
        "propose",
        "abandon",
        "terms",
        "restart",
        "disk-torn",
        "disk-back",
        "disk-gone",
        "reset",
        "forget",
        "server-drain",
        "server-new",
        "clock-step",
    }
    sizes = {
        "clock-step": (-3_600.0, 3_600.0), "clock-fast": (50.0, 200.0), "disk-slow": (10.0, 500.0),
        "delay": (1.0, 50.0), "narrow": (20_000.0, 1_000_000.0), "datagrams": (0.01, 0.3),
        "server-slow": (2.0, 10.0),
        "rekey": (1.0, 2.0), "propose": (1.0, 99.0), "terms": (1.0, 2.0),
    }  # fmt: skip
    return {
        name: Kind(part, name not in once, sizes.get(name))
        for part, names in KINDS_BY_PART.items()
        for name in names
    }


KINDS = _kinds()
DAEMONS_ONLY = {
    name for name in KINDS_BY_PART["host"] if name.startswith(("kill-", "re", "power", "clock", "disk"))
} - {"restart"}


class Storm(Table, kw_only=True):
    """The table `[storm]`: the hosts, servers and programs of a storm."""

    name: Annotated[str, Meta(min_length=1, max_length=64, pattern="^[a-z0-9-]+$")]
    about: Annotated[str, Meta(max_length=400)] = ""
    seconds: Annotated[float, Meta(ge=0.5, le=600)] = 8.0
    hosts: Annotated[int, Meta(ge=1, le=MAX_HOSTS)] = 2
    instances: Annotated[int, Meta(ge=1, le=16)] = 2
    servers: Annotated[int, Meta(ge=1, le=64)] = 6
    platform: bool = False  # each host runs one `sorrelfront.platform` instead of a daemon
    state: bool = True  # a state folder for each host
    fleet: bool = False  # [fleet]: the instances keep a view of each other
    copies: bool = False  # the instances keep copies of important state; needs `fleet`
    sites: Annotated[int, Meta(ge=0, le=4)] = 0  # partner sites, with equal shares of hosts and servers
    hostile: Annotated[int, Meta(ge=0, le=4)] = 0  # number of the site that lies to its partners
    probe_ms: Annotated[float, Meta(ge=50, le=10_000)] = 200.0  # probe interval of the view
    voters: Annotated[int, Meta(ge=0, le=7)] = 0  # on this many hosts the first instance votes on the policy
    lease_ms: Annotated[float, Meta(ge=500, le=60_000)] = 1_500.0
    hang_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 3_000.0  # hang_after_ms of each daemon
    isolation: Literal["go-on", "refuse"] = "refuse"  # `on_isolation` of all classes, in a storm with voters
    plant: Literal[
        "",
        "repeats-unsafe",
        "forgets-drains",
        "skips-sync",
        "ignores-leases",
        "trusts-old-copies",
        "believes-widened",
        "wall-lifetimes",
        "asks-late",
        "sends-for-gone",
    ] = ""


class Load(Table, kw_only=True):
    """The table `[load]`: the clients of each host and the servers' speed."""

    clients: Annotated[int, Meta(ge=0, le=1_000)] = 6  # of each host
    pause_ms: Annotated[float, Meta(ge=0, le=60_000)] = 20.0
    service_ms: Annotated[float, Meta(ge=0.1, le=10_000)] = 8.0
    slots: Annotated[int, Meta(ge=1, le=1_000)] = 8
    deadline_ms: Annotated[float, Meta(ge=50, le=60_000)] = 2_500.0
    leave: Annotated[float, Meta(ge=0, le=1)] = 0.0  # share of the requests whose caller may leave early
    # Longest time before such a caller closes its connection; the time is drawn uniformly up to it.
    leave_ms: Annotated[float, Meta(ge=1, le=60_000)] = 300.0


class Expect(Table, kw_only=True):
    """The table `[expect]`: what must hold besides the rules."""

    settle_s: Annotated[float, Meta(ge=0.1, le=300)] = 30.0  # until all hosts serve again after the end
    answers: Annotated[int, Meta(ge=0, le=100_000)] = 20  # that each host must give after the end
    served: Annotated[float, Meta(ge=0, le=1)] = 0.0  # least share of the requests that must be served
    # For a planted defect: the rule that must be found broken.
    breach: Annotated[str, Meta(max_length=64)] = ""


class Void(Table, kw_only=True):
    """The table `[void]`: limits of the harness's own delays above which a storm is void."""

    lag_ms: Annotated[float, Meta(ge=1, le=60_000)] = 400.0  # 99th percentile of the harness's own lag
    relay_us: Annotated[float, Meta(ge=1, le=1_000_000)] = 2_000.0  # 99th percentile of a relay's own delay


class FaultEntry(Table, kw_only=True):
    """An entry of `[[faults]]`; `at` is in seconds since the load began, `lasts` in seconds."""

    what: Annotated[str, Meta(min_length=1)]
    at: Annotated[float, Meta(ge=0, le=600)]
    lasts: Annotated[float, Meta(ge=0, le=600)] = 0.0
    hosts: Annotated[list[str], Meta(max_length=MAX_HOSTS)] = msgspec.field(default_factory=list)
    to: Annotated[list[str], Meta(max_length=96)] = msgspec.field(default_factory=list)
    size: float = 0.0
    part: Annotated[int, Meta(ge=0, le=255)] = 0  # which instance
    # For a cut between hosts: it lasts at least until each side sees exactly its own members, however long
    # that takes on a busy machine (`settle_s` at most).
    given_up: bool = False


Range = Annotated[list[float], Meta(min_length=2, max_length=2)]


class Draw(Table, kw_only=True):
    """The table `[draw]`: distributions of the faults that are drawn from the seed."""

    count: Annotated[list[int], Meta(min_length=2, max_length=2)]
    within_s: Range
    lasts_s: Range
    kinds: dict[str, float]


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of the schedule."""

    what: str
    at: float
    lasts: float
    hosts: tuple[str, ...]
    to: tuple[str, ...] = ()
    size: float = 0.0
    part: int = 0
    given_up: bool = False

    @property
    def until(self) -> float:
        """Return the end of the fault, in seconds since the load began."""
        return self.at + self.lasts

    @property
    def targets(self) -> set[str]:
        """Return what the fault affects; two faults on one target at a time could not be told apart."""
        kind = KINDS[self.what]
        if kind.part == "link":
            return {f"{kind.part}:{src}>{dst}" for src, dst in self.pairs}
        if kind.part == "host":
            apart = self.what.startswith(("clock", "disk", "rekey", "twin", "propose", "abandon", "terms"))
            group = self.what.partition("-")[0] if apart else "process"
            return {f"{group}:{name}" for name in self.hosts}
        return {f"{kind.part}:{name}" for name in self.to or ("list",)}

    @property
    def pairs(self) -> set[tuple[str, str]]:
        """Return the directed links (source, destination) that the fault affects."""
        if self.what == "ring":
            ring = list(self.hosts)
            neighbours = {
                (name, ring[(at + step) % len(ring)]) for at, name in enumerate(ring) for step in (1, -1)
            }
            return {(a, b) for a in ring for b in ring if a != b} - neighbours
        forward = {(src, dst) for src in self.hosts for dst in self.to if src != dst}
        return forward if self.what == "one-way" else forward | {(dst, src) for src, dst in forward}

    def describe(self) -> str:
        """Return a short description for the log and the report."""
        size = f" ({self.size:g})" if self.size else ""
        to = (
            f" to {', '.join(_abbreviate_servers(self.to))}"
            if self.to and self.hosts
            else ", ".join(_abbreviate_servers(self.to))
        )
        return f"{self.what}{size} {', '.join(self.hosts)}{to}".strip()


def _abbreviate_servers(names: tuple[str, ...]) -> list[str]:
    """Shorten four servers or more to the first and the last."""
    servers = [name for name in names if name[0] == "s"]
    return [name for name in names if name[0] != "s"] + (
        servers if len(servers) < 4 else [f"{servers[0]}..{servers[-1]}"]
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """A valid scenario file."""

    path: Path
    storm: dict[str, Any]
    load: dict[str, Any]
    expect: dict[str, Any]
    void: dict[str, Any]
    faults: tuple[PlannedFault, ...]
    draw: dict[str, Any] | None
    text: bytes = b""

    @property
    def hosts(self) -> list[str]:
        """Return the names of the hosts: h1, h2 and so on."""
        return [f"h{number}" for number in range(1, self.storm["hosts"] + 1)]

    @property
    def servers(self) -> list[str]:
        """Return the names of the servers: s1, s2 and so on."""
        return [f"s{number}" for number in range(1, self.storm["servers"] + 1)]

    def schedule(self, seed: int) -> list[PlannedFault]:
        """Return all faults in order of time; the same file and seed always give the same schedule."""
        planned = list(self.faults)
        if self.draw is not None:
            planned += _draw_faults(self, np.random.default_rng([seed, 1]), planned)
        return sorted(planned, key=lambda item: (item.at, item.what, item.hosts, item.to))


def read(path: Path) -> Scenario:
    """Read and check a file; raises BadDocument with every error found."""
    try:
        data = path.read_bytes()[: MAX_FILE_BYTES + 1]
    except OSError as fault:
        raise BadDocument(path, [Fault("", "", fault.strerror or str(fault))]) from None
    return parse(data, path)


def parse(data: bytes, path: Path) -> Scenario:
    """Check the bytes of a file; raises BadDocument with every error found."""
    if len(data) > MAX_FILE_BYTES:
        raise BadDocument(path, [Fault("", "", f"is longer than {MAX_FILE_BYTES} bytes")])
    try:
        top = tomllib.loads(data.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError, ValueError) as fault:
        raise BadDocument(path, [Fault("", "", f"is not TOML: {fault}")]) from None
    checker = Checker()
    tables = ("storm", "load", "expect", "void", "faults", "draw")
    for key in top:
        if key not in tables:
            checker.add_unknown_key("", key, tables)
    scenario = Scenario(
        path=path,
        storm=checker.check_table(top.get("storm", {}), "storm", Storm),
        load=checker.check_table(top.get("load", {}), "load", Load),
        expect=checker.check_table(top.get("expect", {}), "expect", Expect),
        void=checker.check_table(top.get("void", {}), "void", Void),
        faults=(),
        draw=checker.check_table(top["draw"], "draw", Draw) if "draw" in top else None,
        text=data,
    )
    if checker.faults:
        raise BadDocument(path, checker.faults)
    if scenario.storm["voters"] and not (
        scenario.storm["fleet"] and scenario.storm["voters"] <= scenario.storm["hosts"]
    ):
        checker.add_fault("storm", "voters", "needs fleet = true, and as many hosts")
    if scenario.storm["copies"] and not scenario.storm["fleet"]:
        checker.add_fault("storm", "copies", "needs fleet = true")
    sites = scenario.storm["sites"]
    if sites and not scenario.storm["fleet"]:
        checker.add_fault("storm", "sites", "needs fleet = true")
    if sites and (sites < 2 or scenario.storm["hosts"] % sites or scenario.storm["servers"] % sites):
        checker.add_fault("storm", "sites", "must be two to four, and divide hosts and servers")
    if scenario.storm["hostile"] > sites:
        checker.add_fault("storm", "hostile", f"there are {sites} sites")
    faults = _faults(scenario, top.get("faults", []), checker)
    if scenario.draw is not None:
        _check_draw(scenario.draw, scenario, checker)
    if checker.faults:
        raise BadDocument(path, checker.faults)
    return dataclasses.replace(scenario, faults=faults)


def _faults(scenario: Scenario, rows: Any, checker: Checker) -> tuple[PlannedFault, ...]:
    if not isinstance(rows, list) or len(rows) > MAX_FAULTS:
        checker.add_fault("faults", "", f"is not a list of at most {MAX_FAULTS} tables")
        return ()
    planned: list[tuple[str, PlannedFault]] = []
    for number, row in enumerate(rows, 1):
        name = f"faults.{number}"
        before = len(checker.faults)
        values = checker.check_table(row, name, FaultEntry)
        if len(checker.faults) == before:
            item = _plan_fault(scenario, name, values, checker)
            if item is not None:
                planned.append((name, item))
    for at, (name, item) in enumerate(planned):
        for earlier, other in planned[:at]:
            if _overlap(item, other):
                checker.add_fault(
                    name, "at", f"overlaps with [{earlier}] on {min(item.targets & other.targets)}"
                )
    return tuple(item for _, item in planned)


def _plan_fault(
    scenario: Scenario, name: str, values: dict[str, Any], checker: Checker
) -> PlannedFault | None:
    """Return the planned fault of one entry, or report its errors and return None."""
    before = len(checker.faults)
    what = values["what"]
    if what not in KINDS:
        checker.add_unknown_key(name, what, KINDS)
        return None
    kind = KINDS[what]
    hosts = _names(
        scenario,
        name,
        "hosts",
        values["hosts"] or (scenario.hosts if kind.part in ("host", "link") else []),
        checker,
        ("host",),
    )
    to = _names(scenario, name, "to", values["to"], checker, ("host", "server", "list"))
    if what == "island":
        to = tuple(item for item in (*scenario.hosts, *scenario.servers, "list") if item not in hosts)
    if kind.part == "link" and what not in ("ring", "island") and not to:
        checker.add_fault(name, "to", 'is missing: hosts, servers, "servers" or "list"')
    if kind.part == "server" and (not to or any(item[0] != "s" for item in to)):
        checker.add_fault(name, "to", "names no server")
    if what == "server-new":
        to = to[:1]
    if values["lasts"] and not kind.lasts:
        checker.add_fault(name, "lasts", f"does not go with {what!r}, which is done once")
    if what == "late" and values["at"]:
        checker.add_fault(name, "at", "must be 0: a host that starts late")
    if values["at"] + values["lasts"] > scenario.storm["seconds"]:
        checker.add_fault(name, "at", f"goes on after the end at {scenario.storm['seconds']:g} s")
    if what in ("kill-instance",) and values["part"] >= scenario.storm["instances"]:
        checker.add_fault(name, "part", f"there are {scenario.storm['instances']} instances")
    if kind.size is not None and not values["size"] and what != "terms":
        checker.add_fault(name, "size", f"is missing: {what!r} has one, such as {kind.size[1]:g}")
    if values["given_up"] and not (what == "cut" and values["lasts"] and scenario.storm["fleet"]):
        checker.add_fault(name, "given_up", "needs a cut that lasts, and [storm] fleet")
    if what in ("terms", "deaf") and not scenario.storm["sites"]:
        checker.add_fault(name, "what", f"{what!r} needs [storm] sites")
    if what in ("propose", "abandon") and not scenario.storm["voters"]:
        checker.add_fault(name, "what", f"{what!r} needs [storm] voters")
    if scenario.storm["platform"] and what in DAEMONS_ONLY:
        checker.add_fault(name, "what", f"{what!r} needs daemons: [storm] platform is set")
    if len(checker.faults) > before:
        return None
    return PlannedFault(
        what, values["at"], values["lasts"], hosts, to, values["size"], values["part"], values["given_up"]
    )


def _names(
    scenario: Scenario, table: str, key: str, names: list[str], checker: Checker, parts: tuple[str, ...]
) -> tuple[str, ...]:
    """Expand the groups "hosts" and "servers" and check the names; sx1, sx2 and so on are added servers."""
    known = {"host": scenario.hosts, "server": scenario.servers, "list": ["list"]}
    allowed = [name for part in parts for name in known[part]]
    found: list[str] = []
    for name in names:
        if name == "hosts" and "host" in parts:
            found += scenario.hosts
        elif name == "servers" and "server" in parts:
            found += scenario.servers
        elif name in allowed or ("server" in parts and name.startswith("sx") and name[2:].isdigit()):
            found.append(name)
        else:
            checker.add_unknown_key(table, name, tuple(allowed))
    return tuple(dict.fromkeys(found))


def _overlap(one: PlannedFault, other: PlannedFault) -> bool:
    if not one.targets & other.targets:
        return False
    return one.at <= other.until and other.at <= one.until


def _check_draw(draw: dict[str, Any], scenario: Scenario, checker: Checker) -> None:
    for key in ("count", "within_s", "lasts_s"):
        low, high = draw[key]
        if not 0 <= low <= high:
            checker.add_fault("draw", key, f"is not a range from low to high: {draw[key]}")
    if not draw["kinds"]:
        checker.add_fault("draw", "kinds", "names no kind")
    for name, weight in draw["kinds"].items():
        if name not in KINDS:
            checker.add_unknown_key("draw.kinds", name, KINDS)
        elif not 0 < weight < 1e6:
            checker.add_fault("draw.kinds", name, "is not a weight above 0")
    if draw["lasts_s"][0] <= 0:
        checker.add_fault("draw", "lasts_s", "must begin above 0")
    if draw["within_s"][1] + draw["lasts_s"][1] > scenario.storm["seconds"]:
        checker.add_fault(
            "draw", "within_s", f"with lasts_s goes on after the end at {scenario.storm['seconds']:g} s"
        )


def _draw_faults(
    scenario: Scenario, rng: np.random.Generator, planned: list[PlannedFault]
) -> list[PlannedFault]:
    draw = scenario.draw
    assert draw is not None
    names = sorted(draw["kinds"])
    weights = np.array([draw["kinds"][name] for name in names])
    found: list[PlannedFault] = []
    for _ in range(int(rng.integers(draw["count"][0], draw["count"][1] + 1))):
        for _ in range(MAX_DRAWS):
            item = _draw_one(scenario, rng, str(rng.choice(names, p=weights / weights.sum())))
            if not any(_overlap(item, other) for other in [*planned, *found]):
                found.append(item)
                break
    return found


def _draw_one(scenario: Scenario, rng: np.random.Generator, what: str) -> PlannedFault:
    draw = scenario.draw
    assert draw is not None
    kind = KINDS[what]
    at = 0.0 if what == "late" else round(float(rng.uniform(*draw["within_s"])), 3)
    low, high = np.log(draw["lasts_s"])
    lasts = round(float(np.exp(rng.uniform(low, high))), 3) if kind.lasts else 0.0
    hosts: tuple[str, ...] = (str(rng.choice(scenario.hosts)),)
    to: tuple[str, ...] = ()
    if what in ("power", "ring"):
        hosts = tuple(scenario.hosts)
    elif scenario.storm["sites"] and (what == "terms" or (kind.part == "link" and rng.random() < 0.7)):
        # The fault affects a whole site, and links between sites more often than links to its own servers.
        hosts_per_site = len(scenario.hosts) // scenario.storm["sites"]
        groups = [
            scenario.hosts[at : at + hosts_per_site] for at in range(0, len(scenario.hosts), hosts_per_site)
        ]
        one, other = rng.permutation(len(groups))[:2]
        hosts = tuple(groups[one])
        to = tuple(groups[other]) if kind.part == "link" else ()
    elif kind.part == "link":
        to = [
            tuple(scenario.servers),
            ("list",),
            (*scenario.servers, "list"),
            (str(rng.choice(scenario.servers)),),
        ][int(rng.integers(0, 4))]
    elif kind.part == "server":
        hosts, to = (), (str(rng.choice(scenario.servers)),)
        if what == "server-new":
            to = (f"sx{int(rng.integers(1, 1_000_000))}",)
    elif kind.part == "list":
        hosts = ()
    size = 0.0
    if what == "terms":
        size = float(rng.integers(0, 3))
    elif what == "clock-step":
        size = round(float(rng.uniform(*kind.size or (0, 0))), 3)
    elif kind.size is not None:
        size = round(float(np.exp(rng.uniform(*np.log(kind.size)))), 4)
    part = int(rng.integers(0, scenario.storm["instances"])) if what == "kill-instance" else 0
    return PlannedFault(what, at, lasts, hosts, to, size, part)
