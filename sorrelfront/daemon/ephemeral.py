"""What an instance's table says of a ZooKeeper-style service, and the source made from it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from sorrelfront.agent import Clock
from sorrelfront.decisions import membership, places
from sorrelfront.lists import parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.platform.config import BadConfig
from sorrelfront.sources.zookeeper import Ephemeral, Terms
from sorrelfront.terms import Config

AUTH_MOST = 512  # bytes of user and password
# An instance goes by its seat for so many session time-outs after its service fell silent.
KEEP_SESSIONS = 2.5


def secret(path: str) -> str:
    """`user:password` from a file of its own, so that it stands in no journal and no log. Raises
    BadConfig."""
    if not path:
        return ""
    try:
        with Path(path).open("rb") as file:
            text = file.read(AUTH_MOST + 1).decode().strip()
    except (OSError, UnicodeDecodeError) as fault:
        raise BadConfig(f"membership.auth_file: {path}: {fault}") from None
    user, colon, password = text.partition(":")
    if not user or not colon or not password or len(text) > AUTH_MOST or "\n" in text:
        raise BadConfig(f"membership.auth_file: {path}: not one line of user:password")
    return text


def terms(table: dict[str, Any]) -> Terms:
    """Raises BadConfig if the file with the secret cannot be read."""
    session_us = int(table["session_ms"] * 1000)
    return Terms(
        session=net.Terms(
            hosts=tuple(parse_address(host) for host in table["hosts"]),
            timeout_s=session_us / 1e6,
            chroot=table["chroot"],
            auth=secret(table["auth_file"]),
        ),
        path=table["path"],
        fleet=table["fleet"],
        trust=membership.Terms(
            suspect_us=int(table["suspect_ms"] * 1000),
            confirm_us=int(table["confirm_ms"] * 1000),
            doubt_us=int(table["doubt_ms"] * 1000),
        ),
        seats=places.Terms(
            hole_us=int(table["hole_ms"] * 1000), keep_us=int(KEEP_SESSIONS * session_us)
        ),
    )


def made(
    by: Terms,
    config: Config,
    evidence: membership.Evidence,
    on_update: Callable[[Update], None],
    sit: Callable[[int | None], None],
) -> Ephemeral:
    return Ephemeral(by, config.seed, config.name, Clock(), evidence, on_update, sit)
