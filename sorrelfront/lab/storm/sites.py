"""Sites in a storm: which host is of which, what each lends in which state of its file, relays between their
gateways, and the checker that reads what passed these relays and what servers did.

Site N has the hosts and servers that follow those of site N - 1. Who is whose customer stands in `RELATIONS`,
what is lent in `OFFERS`. A host's file names other sites' gateways by relays of its own, one for words and
one for requests each, so a link between two hosts can be cut, delayed or narrowed like any other. What
crosses a gateway's relay is read for its head, and is the book that the checker goes by."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sorrelfront.lab.storm.history import Event
from sorrelfront.sites.keys import make

WORDS_PORT, REQUESTS_PORT = 16_000, 16_100  # of a host's first instance
WORDS = "/words"  # behind a host's name: the links of what is said to its gateway
# A silent gateway's offers are believed until their lifetimes end, which is what storms are to test.
RENEW_MS, STALE_MS, LIFETIME_MS = 250, 60_000, 3_000
# One site -> another, and what the second is to the first. Providers stand ahead of their customers.
RELATIONS = {(1, 2): "customer", (1, 3): "customer", (2, 3): "peer", (2, 4): "customer"}
OTHER_WAY = {"customer": "provider", "provider": "customer", "peer": "peer"}
TOLD_S = 2.0  # within which a change is known where word of it can come
UNDER_WAY_S = 0.5  # for a request that was let in, to reach a server or another gateway
LOCAL = "127."
PATH = re.compile(rb"^X-Sorrelfront-Path: ([a-z0-9,-]+)\r$", re.MULTILINE | re.IGNORECASE)
CALL = re.compile(rb"^X-Call-Id: ([!-~]+)\r$", re.MULTILINE | re.IGNORECASE)
LINE = re.compile(rb"^(?:GET|POST) /([a-z]+)\?", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Lends:
    """What one class is lent for: sites by number, None for all."""

    to: tuple[int, ...] | None
    onward: tuple[int, ...] | None

    def allows(self, site: int, carriers: Iterable[int]) -> bool:
        lent = self.to is None or site in self.to
        return lent and all(self.onward is None or carrier in self.onward for carrier in carriers)


def lends(site: int, state: int, sites: int) -> dict[str, Lends]:
    """A site's offers in one state of its file: 0 as at first (look to all, who may pass it on; book to two
    named houses; pay to the one after it), 1 narrowed (look and book to one, pay to nobody), 2 nothing."""
    after = site % sites + 1
    before = (site - 2) % sites + 1
    if state == 0:
        return {
            "look": Lends(None, None), "book": Lends(tuple(sorted({after, before})), ()),
            "pay": Lends((after,), ()),
        }  # fmt: skip
    if state == 1:
        return {"look": Lends((after,), ()), "book": Lends((after,), ())}
    return {}


def neighbours(sites: int) -> dict[tuple[int, int], str]:
    """Both ways."""
    found = {}
    for (one, other), what in RELATIONS.items():
        if max(one, other) <= sites:
            found[one, other] = what
            found[other, one] = OTHER_WAY[what]
    return found


def site_of(number: int, hosts: int, sites: int) -> int:
    """Of host or server `number` (from 1) among so many."""
    return (number - 1) * sites // hosts + 1


class Keyring:
    """One pair of keys for each site."""

    def __init__(self, folder: Path, sites: int) -> None:
        self.folder = folder
        self.public = {site: make(folder / f"site{site}.key") for site in range(1, sites + 1)}

    def renew(self, site: int) -> str:
        """Another key for this site; who knows the old one does not know it."""
        path = self.folder / f"site{site}.key"
        path.unlink()
        self.public[site] = make(path)
        return self.public[site]


def text(site: int, sites: int, ip: str, key: Path, keyring: Keyring, state: int,
         places: dict[int, list[tuple[str, str]]]) -> str:  # fmt: skip
    """The tables of one host's file. `places`: of each neighbour, its gateways for words and requests."""
    known = neighbours(sites)
    rows = [
        f'[site]\nname = "site{site}"\nkey_file = "{key}"\nlisten = "{ip}:{WORDS_PORT}"\n'
        f'gateway = "{ip}:{REQUESTS_PORT}"\nrenew_ms = {RENEW_MS}\nstale_ms = {STALE_MS}'
    ]
    for other in range(1, sites + 1):
        if other == site:
            continue
        rows.append(f'[partners.site{other}]\nkeys = ["{keyring.public[other]}"]')
        if (site, other) in known:
            rows.append(f'relation = "{known[site, other]}"')
            rows.append(f"at = {_list(words for words, _ in places[other])}")
            rows.append(f"gateways = {_list(requests for _, requests in places[other])}")
    for cls, item in lends(site, state, sites).items():
        rows.append(
            f'[offers.{cls}]\nclasses = ["{cls}"]\nto = {_sites(item.to)}\nonward = {_sites(item.onward)}\n'
            f"lifetime_ms = {LIFETIME_MS}\ncapacity = 32"
        )
    return "\n".join(rows) + "\n"


def _list(items: Iterable[str]) -> str:
    return "[" + ", ".join(f'"{item}"' for item in items) + "]"


def _sites(sites: tuple[int, ...] | None) -> str:
    return '["members"]' if sites is None else _list(f"site{site}" for site in sites)


class Crossing:
    """Reads the heads of requests that pass a gateway's relay, and has them in the history."""

    def __init__(self, src: str, dst: str, add: Any) -> None:
        self._src, self._dst, self._add = src, dst, add
        self._rest: dict[int, bytes] = {}

    def __call__(self, connection: int, data: bytes) -> None:
        data = self._rest.pop(connection, b"") + data
        *heads, rest = data.split(b"\r\n\r\n")
        self._rest[connection] = rest[-8_192:]
        for head in heads:
            path, call, line = PATH.search(head + b"\r\n"), CALL.search(head + b"\r\n"), LINE.search(head)
            if path and call and line:
                self._add(
                    "cross", src=self._src, dst=self._dst, call=call[1].decode(), path=path[1].decode(),
                    **{"class": line[1].decode()},
                )  # fmt: skip


class _Files:
    """What each host's file said when."""

    def __init__(self, events: list[Event], head: Event) -> None:
        self.sites = int(head["sites"])
        self.hosts: dict[str, int] = head["site_of_hosts"]
        self._states: dict[str, list[tuple[float, int]]] = {host: [(0.0, 0)] for host in self.hosts}
        for event in events:
            if event["kind"] == "terms" and event["ok"]:
                self._states[event["host"]].append((event["t"], event["state"]))
                # From when it is written on a start takes it; the answer may come later than it holds.
                self._states[event["host"]].append((event["written"], event["state"]))
        for rows in self._states.values():
            rows.sort()

    def allowed(self, owner: int, cls: str, path: list[int], since: float, until: float) -> bool:
        """Whether any host of this site lent the class to the first of the path, by way of the others, at any
        moment of this time."""
        for host, site in self.hosts.items():
            if site != owner:
                continue
            rows = self._states[host]
            for at, (began, state) in enumerate(rows):
                ended = rows[at + 1][0] if at + 1 < len(rows) else float("inf")
                item = lends(owner, state, self.sites).get(cls)
                if began <= until and ended >= since and item is not None and item.allows(path[0], path[1:]):
                    return True
        return False


def check(events: list[Event]) -> list[tuple[float, str]]:
    """What is wrong, with its time. No request crosses a link by an offer whose terms forbid it, later than
    the offer's lifetime after the change, and later than `TOLD_S` after it while no fault was on; none is
    served at a site that does not lend it, but for what was under way; none visits a site twice; no claim of
    a path but by its own site. Excused: changes within a host's freeze, for it has not taken them."""
    head = next((event for event in events if event["kind"] == "storm"), {})
    if not head.get("sites"):
        return []
    files = _Files(events, head)
    quiet = _Quiet(events)
    found: list[tuple[float, str]] = []
    ways: dict[str, list[list[int]]] = defaultdict(list)
    for event in events:
        if event["kind"] != "cross":
            continue
        path = [int(name.removeprefix("site")) for name in event["path"].split(",")]
        src, dst = files.hosts[event["src"]], files.hosts[event["dst"]]
        ways[event["call"]].append([*path, dst])
        if src == head["hostile"]:
            continue  # what it sends is its own affair; what is served of it is judged below
        what = f"{event['call']} from {event['src']} to {event['dst']} by {event['path']}"
        if path[-1] != src:
            found.append((event["t"], f"{what}: it does not come from there"))
        if len(set(path)) != len(path) or dst in path:
            found.append((event["t"], f"{what}: it visits a site twice"))
        since = event["t"] - (LIFETIME_MS / 1e3 + 1.0)
        if quiet.since(event["t"]) < event["t"] - TOLD_S - LIFETIME_MS / 1e3:
            since = event["t"] - TOLD_S
        owners = _beyond(dst, path, files.sites)
        if not any(
            files.allowed(owner, event["class"], path + ([dst] if owner != dst else []), since, event["t"])
            for owner in owners
        ):
            found.append((event["t"], f"{what}: nobody lends {event['class']} so"))
    found += _served(events, files, head["site_of_servers"], ways)
    return found


def _beyond(site: int, path: list[int], sites: int) -> set[int]:
    """Sites that a request may come to by way of this one, without coming through any of its path again."""
    near = neighbours(sites)
    found, waiting = {site}, [site]
    while waiting:
        at = waiting.pop()
        for one, other in near:
            if one == at and other not in found and other not in path:
                found.add(other)
                waiting.append(other)
    return found


def _served(
    events: list[Event], files: _Files, servers: dict[str, int], ways: dict[str, list[list[int]]]
) -> list[tuple[float, str]]:
    found = []
    classes = {event["call"]: event["class"] for event in events if event["kind"] == "ask"}
    for event in events:
        if event["kind"] != "arrive" or event["call"] not in classes or event["server"] not in servers:
            continue
        origin, at = files.hosts[event["call"].partition("-")[0]], servers[event["server"]]
        if origin == at:
            continue
        paths = [way[:-1] for way in ways[event["call"]] if way[-1] == at]
        if not paths:
            found.append((event["t"], f"{event['call']} is served at {event['server']}, and never crossed"))
        elif not any(
            files.allowed(at, classes[event["call"]], path, event["t"] - UNDER_WAY_S - 2.5, event["t"])
            for path in paths
        ):
            found.append((event["t"], f"{event['call']} is served at {event['server']} against its terms"))
    return found


class _Quiet:
    """Since when no fault is on, at a moment."""

    def __init__(self, events: list[Event]) -> None:
        self._spans: list[tuple[float, float]] = []
        begun: dict[int, float] = {}
        for event in events:
            if event["kind"] == "fault" and event["what"] != "terms":
                if event["phase"] == "begin":
                    begun[event["number"]] = event["t"]
                elif event["number"] in begun:
                    self._spans.append((begun.pop(event["number"]), event["t"]))
        self._spans += [(began, float("inf")) for began in begun.values()]

    def since(self, at: float) -> float:
        ends = [min(ended, at) for began, ended in self._spans if began <= at]
        return max(ends, default=0.0)
