"""Create the ZooKeeper membership source that an instance's table describes."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from sorrelfront.agent import Clock
from sorrelfront.agent_config import Config
from sorrelfront.decisions import membership, seat_allocation
from sorrelfront.lists import parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.platform.config import BadConfig
from sorrelfront.sources.zookeeper import EphemeralNodeSource, SourceSettings

MAX_AUTH_BYTES = 512  # of user and password
# An instance keeps using its seat for this many session timeouts after its service stopped answering.
SEAT_RETENTION_SESSIONS = 2.5


def read_credentials(path: str) -> str:
    """Read `user:password` from its own file, so that it appears in no journal and no log.

    Raises:
        BadConfig: The file cannot be read, or is not one line of user:password.
    """
    if not path:
        return ""
    try:
        with Path(path).open("rb") as file:
            text = file.read(MAX_AUTH_BYTES + 1).decode().strip()
    except (OSError, UnicodeDecodeError) as fault:
        raise BadConfig(f"membership.auth_file: {path}: {fault}") from None
    user, colon, password = text.partition(":")
    if not user or not colon or not password or len(text) > MAX_AUTH_BYTES or "\n" in text:
        raise BadConfig(f"membership.auth_file: {path}: not one line of user:password")
    return text


def source_settings(table: dict[str, Any]) -> SourceSettings:
    """Return the source's settings from an instance's table.

    Raises:
        BadConfig: The file with the credentials cannot be read.
    """
    session_us = int(table["session_ms"] * 1000)
    return SourceSettings(
        session=net.SessionSettings(
            hosts=tuple(parse_address(host) for host in table["hosts"]),
            timeout_s=session_us / 1e6,
            chroot=table["chroot"],
            auth=read_credentials(table["auth_file"]),
        ),
        path=table["path"],
        seats_path=table["fleet"],
        suspicion=membership.Settings(
            suspect_us=int(table["suspect_ms"] * 1000),
            confirm_us=int(table["confirm_ms"] * 1000),
            doubt_us=int(table["doubt_ms"] * 1000),
        ),
        seats=seat_allocation.Settings(
            hole_us=int(table["hole_ms"] * 1000), keep_us=int(SEAT_RETENTION_SESSIONS * session_us)
        ),
    )


def create_source(
    settings: SourceSettings,
    config: Config,
    evidence: membership.Evidence,
    on_update: Callable[[Update], None],
    set_seat: Callable[[int | None], None],
) -> EphemeralNodeSource:
    """Return a source of ephemeral nodes.

    `evidence` tells what attempts show of a server, `set_seat` is called with the instance's seat.
    """
    return EphemeralNodeSource(settings, config.seed, config.name, Clock(), evidence, on_update, set_seat)
