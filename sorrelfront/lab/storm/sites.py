"""Sites in a storm: their hosts, their offers in each state of the file, and the checker of crossings.

Site N has the hosts and servers that follow those of site N - 1. `RELATIONS` says who is whose customer, and
`offers` what each site offers. A host's file names other sites' gateways by the addresses of its own relays,
one for messages and one for requests each, so a link between two hosts can be cut, delayed or narrowed like
any other. The heads of requests that pass a gateway's relay are recorded; the checker judges by them and by
what servers received.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sorrelfront.lab.storm.history import Event
from sorrelfront.sites.keys import create_key_file

MESSAGES_PORT, REQUESTS_PORT = 16_000, 16_100  # of a host's first instance
MESSAGES_SUFFIX = "/words"  # suffix of a host's name: the links of messages to its gateway
# Long enough that the offers of a silent gateway stay valid until their lifetime ends, which storms test.
RENEW_MS, STALE_MS, LIFETIME_MS = 250, 60_000, 3_000
# (first site, second site): what the second is to the first. Providers come before their customers.
RELATIONS = {(1, 2): "customer", (1, 3): "customer", (2, 3): "peer", (2, 4): "customer"}
REVERSE_RELATIONS = {"customer": "provider", "provider": "customer", "peer": "peer"}
PROPAGATION_S = 2.0  # for a change to be known wherever messages about it can arrive
IN_FLIGHT_S = 0.5  # for an admitted request to reach a server or another gateway
LOCAL = "127."
PATH_HEADER = re.compile(rb"^X-Sorrelfront-Path: ([a-z0-9,-]+)\r$", re.MULTILINE | re.IGNORECASE)
CALL_HEADER = re.compile(rb"^X-Call-Id: ([!-~]+)\r$", re.MULTILINE | re.IGNORECASE)
REQUEST_LINE = re.compile(rb"^(?:GET|POST) /([a-z]+)\?", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class OfferTerms:
    """To whom one class is offered, by site number; None means all sites."""

    to: tuple[int, ...] | None
    onward: tuple[int, ...] | None

    def allows(self, site: int, carriers: Iterable[int]) -> bool:
        """Return whether a request of `site` is permitted by way of all the `carriers`."""
        permitted = self.to is None or site in self.to
        return permitted and all(self.onward is None or carrier in self.onward for carrier in carriers)


def offers(site: int, state: int, sites: int) -> dict[str, OfferTerms]:
    """Return a site's offers by class, in one state of its file.

    State 0 is the initial one: look to all, who may pass it on; book to the sites after and before it, which
    may not pass it on; pay to the site after it. State 1 is narrowed: look and book to the site after it, pay
    to none. State 2 offers nothing.
    """
    after = site % sites + 1
    before = (site - 2) % sites + 1
    if state == 0:
        return {
            "look": OfferTerms(None, None), "book": OfferTerms(tuple(sorted({after, before})), ()),
            "pay": OfferTerms((after,), ()),
        }  # fmt: skip
    if state == 1:
        return {"look": OfferTerms((after,), ()), "book": OfferTerms((after,), ())}
    return {}


def neighbours(sites: int) -> dict[tuple[int, int], str]:
    """Return the relations among the first `sites` sites, in both directions."""
    found = {}
    for (one, other), what in RELATIONS.items():
        if max(one, other) <= sites:
            found[one, other] = what
            found[other, one] = REVERSE_RELATIONS[what]
    return found


def site_of(number: int, hosts: int, sites: int) -> int:
    """Return the site of host or server `number` (from 1) among `hosts` of them."""
    return (number - 1) * sites // hosts + 1


class Keyring:
    """One key pair for each site."""

    def __init__(self, folder: Path, sites: int) -> None:
        self.folder = folder
        self.public = {site: create_key_file(folder / f"site{site}.key") for site in range(1, sites + 1)}

    def renew(self, site: int) -> str:
        """Replace a site's key pair and return the new public key; partners still have the old one."""
        path = self.folder / f"site{site}.key"
        path.unlink()
        self.public[site] = create_key_file(path)
        return self.public[site]


def site_tables(site: int, sites: int, ip: str, key: Path, keyring: Keyring, state: int,
         places: dict[int, list[tuple[str, str]]]) -> str:  # fmt: skip
    """Return the site tables of one host's file.

    `places` has, for each neighbour, the addresses of its gateways for messages and for requests.
    """
    known = neighbours(sites)
    rows = [
        f'[site]\nname = "site{site}"\nkey_file = "{key}"\nlisten = "{ip}:{MESSAGES_PORT}"\n'
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
    for cls, item in offers(site, state, sites).items():
        rows.append(
            f'[offers.{cls}]\nclasses = ["{cls}"]\nto = {_sites(item.to)}\nonward = {_sites(item.onward)}\n'
            f"lifetime_ms = {LIFETIME_MS}\ncapacity = 32"
        )
    return "\n".join(rows) + "\n"


def _list(items: Iterable[str]) -> str:
    return "[" + ", ".join(f'"{item}"' for item in items) + "]"


def _sites(sites: tuple[int, ...] | None) -> str:
    return '["members"]' if sites is None else _list(f"site{site}" for site in sites)


class CrossingRecorder:
    """Records in the history the heads of requests that pass a gateway's relay."""

    def __init__(self, src: str, dst: str, add: Any) -> None:
        self._src, self._dst, self._add = src, dst, add
        self._rest: dict[int, bytes] = {}

    def __call__(self, connection: int, data: bytes) -> None:
        """Read the next bytes of a connection; of an incomplete head at most 8,192 bytes are kept."""
        data = self._rest.pop(connection, b"") + data
        *heads, rest = data.split(b"\r\n\r\n")
        self._rest[connection] = rest[-8_192:]
        for head in heads:
            path, call, line = (
                PATH_HEADER.search(head + b"\r\n"),
                CALL_HEADER.search(head + b"\r\n"),
                REQUEST_LINE.search(head),
            )
            if path and call and line:
                self._add(
                    "cross", src=self._src, dst=self._dst, call=call[1].decode(), path=path[1].decode(),
                    **{"class": line[1].decode()},
                )  # fmt: skip


class _OfferHistory:
    """The states of each host's file over time."""

    def __init__(self, events: list[Event], head: Event) -> None:
        self.sites = int(head["sites"])
        self.hosts: dict[str, int] = head["site_of_hosts"]
        self._states: dict[str, list[tuple[float, int]]] = {host: [(0.0, 0)] for host in self.hosts}
        for event in events:
            if event["kind"] == "terms" and event["ok"]:
                self._states[event["host"]].append((event["t"], event["state"]))
                # A start after the write uses it, and the reload may be answered after it took effect.
                self._states[event["host"]].append((event["written"], event["state"]))
        for rows in self._states.values():
            rows.sort()

    def allowed(self, owner: int, cls: str, path: list[int], since: float, until: float) -> bool:
        """Return whether a host of `owner` allowed the class on this path at some time in the interval.

        The first site of `path` is the one that asks; the others carry the request.
        """
        for host, site in self.hosts.items():
            if site != owner:
                continue
            rows = self._states[host]
            for at, (began, state) in enumerate(rows):
                ended = rows[at + 1][0] if at + 1 < len(rows) else float("inf")
                item = offers(owner, state, self.sites).get(cls)
                if began <= until and ended >= since and item is not None and item.allows(path[0], path[1:]):
                    return True
        return False


def check(events: list[Event]) -> list[tuple[float, str]]:
    """Return each violation as its time and a description.

    - No request crosses a link under an offer whose terms forbid it, later than the offer's lifetime after
      the change, or later than `PROPAGATION_S` after it while no fault was active.
    - No request is served at a site that does not offer the class, except requests in flight at the change.
    - No request visits a site twice.
    - A path is claimed only by the site it names last.

    Exempt are changes while the host is frozen, because it has not loaded them.
    """
    head = next((event for event in events if event["kind"] == "storm"), {})
    if not head.get("sites"):
        return []
    history = _OfferHistory(events, head)
    intervals = _FaultIntervals(events)
    found: list[tuple[float, str]] = []
    paths_by_call: dict[str, list[list[int]]] = defaultdict(list)
    for event in events:
        if event["kind"] != "cross":
            continue
        path = [int(name.removeprefix("site")) for name in event["path"].split(",")]
        src, dst = history.hosts[event["src"]], history.hosts[event["dst"]]
        paths_by_call[event["call"]].append([*path, dst])
        if src == head["hostile"]:
            continue  # it may send anything; what others serve of it is checked below
        what = f"{event['call']} from {event['src']} to {event['dst']} by {event['path']}"
        if path[-1] != src:
            found.append((event["t"], f"{what}: it does not come from there"))
        if len(set(path)) != len(path) or dst in path:
            found.append((event["t"], f"{what}: it visits a site twice"))
        since = event["t"] - (LIFETIME_MS / 1e3 + 1.0)
        if intervals.quiet_since(event["t"]) < event["t"] - PROPAGATION_S - LIFETIME_MS / 1e3:
            since = event["t"] - PROPAGATION_S
        owners = _reachable_sites(dst, path, history.sites)
        if not any(
            history.allowed(owner, event["class"], path + ([dst] if owner != dst else []), since, event["t"])
            for owner in owners
        ):
            found.append((event["t"], f"{what}: nobody lends {event['class']} so"))
    found += _check_served(events, history, head["site_of_servers"], paths_by_call)
    return found


def _reachable_sites(site: int, path: list[int], sites: int) -> set[int]:
    """Return the sites that a request can reach through `site` without passing its path again."""
    near = neighbours(sites)
    found, waiting = {site}, [site]
    while waiting:
        at = waiting.pop()
        for one, other in near:
            if one == at and other not in found and other not in path:
                found.add(other)
                waiting.append(other)
    return found


def _check_served(
    events: list[Event],
    history: _OfferHistory,
    servers: dict[str, int],
    paths_by_call: dict[str, list[list[int]]],
) -> list[tuple[float, str]]:
    found = []
    classes = {event["call"]: event["class"] for event in events if event["kind"] == "ask"}
    for event in events:
        if event["kind"] != "arrive" or event["call"] not in classes or event["server"] not in servers:
            continue
        origin, at = history.hosts[event["call"].partition("-")[0]], servers[event["server"]]
        if origin == at:
            continue
        paths = [path[:-1] for path in paths_by_call[event["call"]] if path[-1] == at]
        if not paths:
            found.append((event["t"], f"{event['call']} is served at {event['server']}, and never crossed"))
        elif not any(
            history.allowed(at, classes[event["call"]], path, event["t"] - IN_FLIGHT_S - 2.5, event["t"])
            for path in paths
        ):
            found.append((event["t"], f"{event['call']} is served at {event['server']} against its terms"))
    return found


class _FaultIntervals:
    """The intervals in which faults other than changes of offers were active."""

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

    def quiet_since(self, at: float) -> float:
        """Return since when no fault has been active, as of `at`; `at` itself while one is."""
        ends = [min(ended, at) for began, ended in self._spans if began <= at]
        return max(ends, default=0.0)
