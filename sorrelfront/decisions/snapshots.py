"""Snapshots of a balancer's estimates, as a bounded text that another balancer can restore. No I/O.

The text is one line of JSON after its version and checksum. It is validated completely before it is restored:
if it is truncated, of another version or too old, all of it is refused. Times in it are ages in microseconds,
since the clocks of the two processes may have different origins.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from math import isfinite
from typing import Any

import msgspec

from sorrelfront.decisions.balancer import Balancer, Baseline, DecayingMean, KindStats
from sorrelfront.errors import SorrelfrontError

VERSION = 1
MAX_SERVERS = 10_000  # those sampled last; the others start without samples, as all do without a snapshot
MAX_NAMES = 256  # classes; also kinds of servers
MAX_TEXT_LENGTH = 4 * 1024 * 1024  # characters
MAX_AGE_US = 30_000_000  # an older snapshot describes another load
MAX_STORED_AGE_US = 3_600_000_000  # for a stored one while no process ran: for an hour, better than none
MAX_VALUE = 1e17  # Unix time is the largest figure here, below 2e15


class UnusableSnapshot(SorrelfrontError):
    """A snapshot cannot be restored; the text says why."""

    remedy = "Nothing has to be done: estimates are learnt anew within seconds."


def _mean_row(item: DecayingMean, now: int) -> list[float]:
    return [item.baseline.value, item.baseline.count, item.value, now - item.updated_at]


def take_snapshot(balancer: Balancer, now: int, at_us: int) -> str:
    """Return a snapshot of this balancer's estimates. `at_us` is the present Unix time."""
    sampled = [server for server in balancer.servers.values() if server.updated_at >= 0]
    sampled.sort(key=lambda server: server.updated_at, reverse=True)
    body: dict[str, Any] = {
        "at_us": at_us,
        "common_us": balancer.usual_us,
        "usual": {
            name: [item.value, item.count] for name, item in [*balancer.baselines.items()][:MAX_NAMES]
        },
        "hints": {
            name: [item.value, item.count] for name, item in [*balancer.cost_hints.items()][:MAX_NAMES]
        },
        "kinds": {
            name: [*_mean_row(kind, now), kind.ahead] for name, kind in [*balancer.kinds.items()][:MAX_NAMES]
        },
        "late": _mean_row(balancer.late_share, now),
        "servers": {
            server.info.id: [
                server.info.started_us, server.estimate, server.mean, server.ahead, now - server.updated_at,
                now - server.last_answer_at if server.last_answer_at >= 0 else -1,
            ]
            for server in sampled[:MAX_SERVERS]
        },
    }  # fmt: skip
    return _encode_bounded(body)


def _encode_bounded(body: dict[str, Any]) -> str:
    """Encode the body; while it is too long, leave out servers from the end."""
    text = _encode(body)
    while len(text) > MAX_TEXT_LENGTH and body["servers"]:  # possible with long names
        kept = [*body["servers"].items()]
        body["servers"] = dict(kept[: len(kept) // 2])
        text = _encode(body)
    return text


def merge_snapshots(texts: Iterable[str], at_us: int) -> str:
    """Merge several snapshots into one as of `at_us` (Unix time).

    It has the latest state of each server, and all else from the newest snapshot. Unusable snapshots are
    skipped; the result is empty if none is usable.
    """
    bodies = []
    for text in texts:
        try:
            body = decode_snapshot(text, at_us, MAX_STORED_AGE_US)
        except UnusableSnapshot:
            continue
        bodies.append(body)
    if not bodies:
        return ""
    bodies.sort(key=lambda body: float(body["at_us"]))
    servers: dict[str, list[float]] = {}
    for body in bodies:  # the newest is last
        passed_us = max(0, at_us - int(body["at_us"]))
        for name, row in body["servers"].items():
            aged = [*row[:4], row[4] + passed_us, row[5] if row[5] < 0 else row[5] + passed_us]
            if aged[4] > MAX_STORED_AGE_US:
                continue
            known = servers.get(name)
            # Of two processes of one server the later one; of the same process the later sample.
            if known is None or (aged[0], -aged[4]) > (known[0], -known[4]):
                servers[name] = aged
    sampled = sorted(servers.items(), key=lambda item: item[1][4])
    newest = dict(bodies[-1])
    passed_us = max(0, at_us - int(newest["at_us"]))
    newest["kinds"] = {name: [*row[:3], row[3] + passed_us, row[4]] for name, row in newest["kinds"].items()}
    newest["late"] = [*newest["late"][:3], newest["late"][3] + passed_us]
    newest["at_us"] = at_us
    newest["servers"] = dict(sampled[:MAX_SERVERS])
    return _encode_bounded(newest)


def _encode(body: dict[str, Any]) -> str:
    data = msgspec.json.encode(body).decode()
    return f"{VERSION} {zlib.crc32(data.encode()):08x} {data}"


def _numbers(value: Any, count: int) -> list[float]:
    """Check that `value` is a list of `count` finite numbers. Raises UnusableSnapshot."""
    if not isinstance(value, list) or len(value) != count:
        raise UnusableSnapshot("a row has the wrong length")
    for item in value:
        if isinstance(item, bool) or not isinstance(item, (int, float)) or not isfinite(item):
            raise UnusableSnapshot("a value is not a finite number")
        if not -1 <= item <= MAX_VALUE:
            raise UnusableSnapshot("a value is out of bounds")
    return value


def _rows(body: dict[str, Any], key: str, count: int, max_rows: int) -> dict[str, list[float]]:
    table = body.get(key)
    if not isinstance(table, dict) or len(table) > max_rows:
        raise UnusableSnapshot(f"{key} is not a table of at most {max_rows} rows")
    return {name: _numbers(row, count) for name, row in table.items()}


def decode_snapshot(text: str, at_us: int, max_age_us: int = MAX_AGE_US) -> dict[str, Any]:
    """Return the validated body of a snapshot. Raises UnusableSnapshot."""
    if len(text) > MAX_TEXT_LENGTH:
        raise UnusableSnapshot("it is too long")
    version, _, rest = text.partition(" ")
    checksum, _, data = rest.partition(" ")
    if version != str(VERSION):
        raise UnusableSnapshot(f"it is of version {version[:8]!r}, not {VERSION}")
    if checksum != f"{zlib.crc32(data.encode('utf-8', 'surrogatepass')):08x}":
        raise UnusableSnapshot("its checksum is wrong")
    try:
        body = msgspec.json.decode(data.encode("utf-8", "surrogatepass"))
    except (ValueError, RecursionError):
        raise UnusableSnapshot("it is not JSON") from None
    if not isinstance(body, dict):
        raise UnusableSnapshot("it is not an object")
    (taken_at_us, _) = _numbers([body.get("at_us"), body.get("common_us")], 2)
    if not -MAX_AGE_US <= at_us - taken_at_us <= max_age_us:
        raise UnusableSnapshot(f"it is {(at_us - taken_at_us) / 1e6:.0f} s old")
    for key, count in (("usual", 2), ("hints", 2), ("kinds", 5)):
        _rows(body, key, count, MAX_NAMES)
    _rows(body, "servers", 6, MAX_SERVERS)
    _numbers(body.get("late"), 4)
    return body


def restore_snapshot(
    balancer: Balancer, text: str, now: int, at_us: int, max_age_us: int = MAX_AGE_US, max_aging_us: int = 0
) -> int:
    """Restore a snapshot and return the number of servers whose estimates were restored.

    Servers that are not on the list or were restarted since are skipped: those are cold or without samples.
    Raises UnusableSnapshot before anything is changed.

    `max_aging_us`, if not 0, bounds the age added for the time while no process ran. An estimate that decays
    while nothing is sent would make a server that failed all day look as good as any.
    """
    body = decode_snapshot(text, at_us, max_age_us)
    taken_at_us, common_us = body["at_us"], body["common_us"]
    usual, hints, kinds, servers, late = (
        body[key] for key in ("usual", "hints", "kinds", "servers", "late")
    )  # fmt: skip
    passed_us = max(0, int(at_us - taken_at_us))  # since the snapshot
    if max_aging_us:
        passed_us = min(passed_us, max_aging_us)
    for table, rows in ((balancer.baselines, usual), (balancer.cost_hints, hints)):
        for name, row in rows.items():
            if name in table:
                _set_baseline(table[name], row)
    for name, row in kinds.items():
        kind = balancer.kinds.setdefault(name, KindStats(1.0, balancer.recent_us))
        _set_mean(kind, row, now, passed_us)
        kind.ahead = max(0.0, row[4])
    _set_mean(balancer.late_share, late, now, passed_us)
    balancer.usual_us = max(0.0, common_us)
    count = 0
    for name, row in servers.items():
        server = balancer.servers.get(name)
        if server is None or server.info.started_us != row[0] or server.updated_at >= 0:
            continue
        server.estimate, server.mean, server.ahead = row[1], row[2], row[3]
        server.updated_at = max(0, now - passed_us - int(row[4]))
        server.last_answer_at = -1 if row[5] < 0 else max(0, now - passed_us - int(row[5]))
        count += 1
    return count


def _set_baseline(item: Baseline, row: list[float]) -> None:
    item.value, item.count = row[0], int(max(0, row[1]))


def _set_mean(item: DecayingMean, row: list[float], now: int, passed_us: int) -> None:
    _set_baseline(item.baseline, row)
    item.set(row[2], max(0, now - passed_us - int(row[3])))
