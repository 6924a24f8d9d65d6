"""The agent's configuration: environment variables and a JSON file, validated at start and reload."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from sorrelfront.agent_config import Config
from sorrelfront.errors import SorrelfrontError
from sorrelfront.lists import MalformedList, parse_address, parse_update
from sorrelfront.messages import Address, Update
from sorrelfront.platform.adapter import parse_settings

CONFIG = "BALANCER_CONFIG"
MIN_MEMORY_MB = 1
MIN_SOCKETS = 64  # fewer leave none for a client and a backend beside the descriptors that are always open


class BadConfig(SorrelfrontError):
    """The configuration is invalid or cannot be applied; the text is one line."""

    remedy = (
        "Mend the value that is named, in the file that BALANCER_CONFIG names, and start or reload again."
    )


def load(environ: Mapping[str, str], reloading: bool = False) -> Config:
    """Read the configuration that the environment names.

    Args:
        environ: The environment; its variables override values of the file.
        reloading: Take discovery's address from the file alone. A process's environment does not change, so
            at a reload it still holds the value of the start.

    Raises:
        BadConfig: A value is missing or invalid, or the file cannot be read.
    """
    path = environ.get(CONFIG)
    if not path:
        raise BadConfig(f"{CONFIG} is not set")
    try:
        table = json.loads(Path(path).read_bytes())
    except OSError as fault:
        raise BadConfig(f"{CONFIG}: {path}: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise BadConfig(f"{CONFIG}: {path}: not JSON: {fault}") from None
    if not isinstance(table, dict):
        raise BadConfig(f"{CONFIG}: {path}: not an object")
    for key in ("name", "listen", "control") if reloading else ("name", "listen", "control", "discovery"):
        if environ.get(f"BALANCER_{key.upper()}"):
            table[key] = environ[f"BALANCER_{key.upper()}"]
    return parse(table)


def parse(table: dict[str, Any]) -> Config:
    """Validate a configuration object. Raises BadConfig, which names the first invalid value."""
    limits = _object(table, "limits")
    settings = _object(table, "settings")
    rules_limits = _object(settings, "limits", "settings.limits")
    try:
        return Config(
            name=str(_value(table, "name")),
            listen=_address(table, "listen"),
            discovery=_address(table, "discovery"),
            seed=_seed(table),
            memory_bytes=_integer(limits, "memory_mb", "limits.memory_mb", MIN_MEMORY_MB) * 1024 * 1024,
            sockets=_sockets(limits),
            settings=parse_settings(settings),
            cached_list=_known(table),
            max_pending=_integer(rules_limits, "mostHeld", "settings.limits.mostHeld", 1),
            idle_us=_integer(rules_limits, "connIdleUs", "settings.limits.connIdleUs", 1),
            control=_address(table, "control") if table.get("control") else None,
        )
    except (ValueError, TypeError, OverflowError) as fault:  # json accepts Infinity and NaN
        raise BadConfig(f"settings: {fault}") from None


def _value(table: dict[str, Any], key: str, where: str = "") -> Any:
    if key not in table:
        raise BadConfig(f"{where or key} is missing")
    return table[key]


def _object(table: dict[str, Any], key: str, where: str = "") -> dict[str, Any]:
    value = _value(table, key, where)
    if not isinstance(value, dict):
        raise BadConfig(f"{where or key} is not an object")
    return value


def _integer(table: dict[str, Any], key: str, where: str, minimum: int) -> int:
    value = _value(table, key, where)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
        raise BadConfig(f"{where} is not a number of at least {minimum}: {value!r}")
    return int(value)


def _address(table: dict[str, Any], key: str) -> Address:
    try:
        return parse_address(_value(table, key))
    except MalformedList as fault:
        raise BadConfig(f"{key}: {fault}") from None


def _seed(table: dict[str, Any]) -> int:
    value = _value(table, "seed")
    try:
        return int(value, 16)
    except (ValueError, TypeError):
        raise BadConfig(f"seed is not a hexadecimal number: {value!r}") from None


def _known(table: dict[str, Any]) -> Update:
    try:
        return parse_update(_value(table, "known"))
    except MalformedList as fault:
        raise BadConfig(f"known: {fault}") from None


def _sockets(limits: dict[str, Any]) -> int:
    """Return the lower of the configured number of descriptors and the process's soft limit."""
    configured = _integer(limits, "sockets", "limits.sockets", MIN_SOCKETS)
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)
