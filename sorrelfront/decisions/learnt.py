"""What a balancer has learnt of servers and classes, as a bounded text that another one may take up. No I/O.

The text is one line of JSON behind its version and checksum. Who takes it up checks all of it first: torn,
of another version, or too old, it is refused whole. Times within are ages in microseconds, since the two
programs need not share a clock's start.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from math import isfinite
from typing import Any

import msgspec

from sorrelfront.decisions.balancer import Balancer, Baseline, Kind, Recent
from sorrelfront.errors import SorrelfrontError

VERSION = 1
SERVERS_MOST = 10_000  # those heard from last; the others start as unheard of, as all do without a snapshot
NAMES_MOST = 256  # classes, and kinds of servers
TEXT_MOST = 4 * 1024 * 1024  # bytes
AGE_MOST_US = 30_000_000  # older tells of another hour's load
KEPT_MOST_US = 3_600_000_000  # for one that was kept while nothing ran: for an hour better than nothing
VALUE_MOST = 1e17  # Unix time is the largest figure here, below 2e15


class Unusable(SorrelfrontError):
    """A snapshot that is not taken up, and why."""

    remedy = "Nothing has to be done: estimates are learnt anew within seconds."


def _recent(item: Recent, now: int) -> list[float]:
    return [item.baseline.value, item.baseline.count, item.value, now - item.stamp]


def snapshot(balancer: Balancer, now: int, at_us: int) -> str:
    """What this balancer has learnt by now. `at_us` is Unix time."""
    heard = [server for server in balancer.servers.values() if server.stamp >= 0]
    heard.sort(key=lambda server: server.stamp, reverse=True)
    body: dict[str, Any] = {
        "at_us": at_us,
        "common_us": balancer.common_us,
        "usual": {
            name: [item.value, item.count] for name, item in [*balancer.baselines.items()][:NAMES_MOST]
        },
        "hints": {name: [item.value, item.count] for name, item in [*balancer.hints.items()][:NAMES_MOST]},
        "kinds": {
            name: [*_recent(kind, now), kind.ahead] for name, kind in [*balancer.kinds.items()][:NAMES_MOST]
        },
        "late": _recent(balancer.late, now),
        "servers": {
            server.info.id: [
                server.info.started_us, server.estimate, server.mean, server.ahead, now - server.stamp,
                now - server.heard_at if server.heard_at >= 0 else -1,
            ]
            for server in heard[:SERVERS_MOST]
        },
    }  # fmt: skip
    return _bounded(body)


def _bounded(body: dict[str, Any]) -> str:
    """The body as a text; servers from the end are left out while it is too long."""
    text = _sealed(body)
    while len(text) > TEXT_MOST and body["servers"]:  # long names: fewer of them
        kept = [*body["servers"].items()]
        body["servers"] = dict(kept[: len(kept) // 2])
        text = _sealed(body)
    return text


def merged(texts: Iterable[str], at_us: int) -> str:
    """One snapshot of several, as of `at_us` (Unix time): of each server what was heard last, the rest of the
    newest. Those that cannot be used are passed over; empty if none can."""
    bodies = []
    for text in texts:
        try:
            body = opened(text, at_us, KEPT_MOST_US)
        except Unusable:
            continue
        bodies.append(body)
    if not bodies:
        return ""
    bodies.sort(key=lambda body: float(body["at_us"]))
    servers: dict[str, list[float]] = {}
    for body in bodies:  # the newest last
        older = max(0, at_us - int(body["at_us"]))
        for name, row in body["servers"].items():
            aged = [*row[:4], row[4] + older, row[5] if row[5] < 0 else row[5] + older]
            if aged[4] > KEPT_MOST_US:
                continue
            known = servers.get(name)
            # Of two processes of one server the later one; of one process the later word.
            if known is None or (aged[0], -aged[4]) > (known[0], -known[4]):
                servers[name] = aged
    heard = sorted(servers.items(), key=lambda item: item[1][4])
    newest = dict(bodies[-1])
    older = max(0, at_us - int(newest["at_us"]))
    newest["kinds"] = {name: [*row[:3], row[3] + older, row[4]] for name, row in newest["kinds"].items()}
    newest["late"] = [*newest["late"][:3], newest["late"][3] + older]
    newest["at_us"] = at_us
    newest["servers"] = dict(heard[:SERVERS_MOST])
    return _bounded(newest)


def _sealed(body: dict[str, Any]) -> str:
    data = msgspec.json.encode(body).decode()
    return f"{VERSION} {zlib.crc32(data.encode()):08x} {data}"


def _numbers(value: Any, count: int) -> list[float]:
    """Exactly so many finite numbers. Raises Unusable."""
    if not isinstance(value, list) or len(value) != count:
        raise Unusable("a row has another length")
    for item in value:
        if isinstance(item, bool) or not isinstance(item, (int, float)) or not isfinite(item):
            raise Unusable("a figure is no number")
        if not -1 <= item <= VALUE_MOST:
            raise Unusable("a figure is out of bounds")
    return value


def _rows(body: dict[str, Any], key: str, count: int, most: int) -> dict[str, list[float]]:
    table = body.get(key)
    if not isinstance(table, dict) or len(table) > most:
        raise Unusable(f"{key} is no table of at most {most} rows")
    return {name: _numbers(row, count) for name, row in table.items()}


def opened(text: str, at_us: int, age_most_us: int = AGE_MOST_US) -> dict[str, Any]:
    """The checked body of a snapshot. Raises Unusable."""
    if len(text) > TEXT_MOST:
        raise Unusable("it is too long")
    version, _, rest = text.partition(" ")
    checksum, _, data = rest.partition(" ")
    if version != str(VERSION):
        raise Unusable(f"it is of version {version[:8]!r}, not {VERSION}")
    if checksum != f"{zlib.crc32(data.encode('utf-8', 'surrogatepass')):08x}":
        raise Unusable("its checksum is wrong")
    try:
        body = msgspec.json.decode(data.encode("utf-8", "surrogatepass"))
    except (ValueError, RecursionError):
        raise Unusable("it is not JSON") from None
    if not isinstance(body, dict):
        raise Unusable("it is not an object")
    (made_us, _) = _numbers([body.get("at_us"), body.get("common_us")], 2)
    if not -AGE_MOST_US <= at_us - made_us <= age_most_us:
        raise Unusable(f"it is {(at_us - made_us) / 1e6:.0f} s old")
    for key, count in (("usual", 2), ("hints", 2), ("kinds", 5)):
        _rows(body, key, count, NAMES_MOST)
    _rows(body, "servers", 6, SERVERS_MOST)
    _numbers(body.get("late"), 4)
    return body


def adopt(
    balancer: Balancer, text: str, now: int, at_us: int, age_most_us: int = AGE_MOST_US, aging_us: int = 0
) -> int:
    """Take up a snapshot; returns of how many servers something is known now. Servers that the list does not
    have, or that have been started anew since, are left out: those are cold, or unheard of. Raises
    Unusable, and then changes nothing.

    `aging_us`, if not 0: while nothing ran, what was learnt ages by no more than this. Risk: an estimate that
    fades with the time that nobody asked says that a server that failed all day is as good as any.
    """
    body = opened(text, at_us, age_most_us)
    made_us, common_us = body["at_us"], body["common_us"]
    usual, hints, kinds, servers, late = (
        body[key] for key in ("usual", "hints", "kinds", "servers", "late")
    )  # fmt: skip
    older = max(0, int(at_us - made_us))  # since then
    if aging_us:
        older = min(older, aging_us)
    for table, rows in ((balancer.baselines, usual), (balancer.hints, hints)):
        for name, row in rows.items():
            if name in table:
                _set_baseline(table[name], row)
    for name, row in kinds.items():
        kind = balancer.kinds.setdefault(name, Kind(1.0, balancer.recent_us))
        _set_recent(kind, row, now, older)
        kind.ahead = max(0.0, row[4])
    _set_recent(balancer.late, late, now, older)
    balancer.common_us = max(0.0, common_us)
    count = 0
    for name, row in servers.items():
        server = balancer.servers.get(name)
        if server is None or server.info.started_us != row[0] or server.stamp >= 0:
            continue
        server.estimate, server.mean, server.ahead = row[1], row[2], row[3]
        server.stamp = max(0, now - older - int(row[4]))
        server.heard_at = -1 if row[5] < 0 else max(0, now - older - int(row[5]))
        count += 1
    return count


def _set_baseline(item: Baseline, row: list[float]) -> None:
    item.value, item.count = row[0], int(max(0, row[1]))


def _set_recent(item: Recent, row: list[float], now: int, older: int) -> None:
    _set_baseline(item.baseline, row)
    item.set(row[2], max(0, now - older - int(row[3])))
