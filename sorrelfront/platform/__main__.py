"""The program of one agent, `python -m sorrelfront.platform`, configured by its environment."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Mapping
from functools import partial
from pathlib import Path

from sorrelfront.agent import Agent
from sorrelfront.agent_config import Config
from sorrelfront.log_limits import RateLimit
from sorrelfront.messages import Address
from sorrelfront.net.budget import Descriptors, MemoryBudget
from sorrelfront.net.process_memory import anonymous_bytes, map_long_blocks
from sorrelfront.net.transient import retry_transient
from sorrelfront.platform.config import BadConfig, load
from sorrelfront.platform.control import ControlPort
from sorrelfront.platform.service import Service
from sorrelfront.platform.upgrade import find_predecessor
from sorrelfront.signals import ignore_until_exit, on_signal
from sorrelfront.sources.registry import watch
from sorrelfront.upstreams.http1 import Upstream

log = logging.getLogger("sorrelfront")


class MonotonicFormatter(logging.Formatter):
    """Adds the monotonic time in seconds to each line, so that steps of the wall clock can be seen.

    A record that follows suppressed records of its kind (`RateLimit`) tells how many were suppressed.
    """

    def __init__(self) -> None:
        super().__init__("%(asctime)s [%(monotonic).3f] %(levelname)s %(name)s: %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Format a record, with the number of records of its kind suppressed before it."""
        record.monotonic = time.monotonic()
        text = super().format(record)
        left_out = getattr(record, "left_out", 0)
        return f"{text} ({left_out} such lines before it were left out)" if left_out else text


def reload(environ: Mapping[str, str], service: Service) -> None:
    """Apply a new configuration, or keep the old one if it is invalid. Requests in flight continue."""
    try:
        config = load(environ, reloading=True)
    except BadConfig as fault:
        log.error("the new configuration is not used: %s", " ".join(str(fault).split()))
        service.reload_failures += 1
        return
    service.reload(config)
    service.reloads += 1
    log.warning("a new configuration is in force: discovery %s:%d", *config.discovery)


def shared_folder(environ: Mapping[str, str]) -> Path | None:
    """Return the directory shared with other versions of this agent, if TMPDIR names one."""
    folder = environ.get("TMPDIR")
    return Path(folder) if folder and Path(folder).is_dir() else None


def _cannot_listen(key: str, address: Address, fault: OSError) -> BadConfig:
    return BadConfig(f"{key}: {address[0]}:{address[1]}: {fault.strerror}")


async def serve(config: Config) -> None:
    """Run until SIGTERM, then finish the requests in flight.

    Raises:
        BadConfig: An address cannot be listened at.
    """
    folder = shared_folder(os.environ)
    predecessor = find_predecessor(folder, config.listen)
    descriptors = Descriptors(config.sockets)
    memory = MemoryBudget(config.memory_bytes, config.sockets, anonymous_bytes())
    upstream = Upstream(descriptors.backends, config.idle_us, config.settings.connect_timeout_us, memory)
    agent = Agent(config, upstream, watch)
    stop_requested = asyncio.Event()
    on_signal(signal.SIGTERM, stop_requested.set)
    service = Service(config, agent, upstream, folder, predecessor)
    control = None
    if config.control is not None:
        address = config.control
        try:
            control = await retry_transient(lambda: ControlPort(address, service))
        except OSError as fault:
            raise _cannot_listen("control", config.control, fault) from None
    agent.start()
    try:
        await service.listen()
    except OSError as fault:
        raise _cannot_listen("listen", config.listen, fault) from None
    on_signal(signal.SIGHUP, partial(reload, os.environ, service))
    log.info(
        "%s: list %d of %d servers known, asks within %.3f s, drain grace %.3f s",
        config.name, config.cached_list.revision, len(config.cached_list.backends),
        config.settings.ask_within_us / 1e6, config.settings.drain_grace_us / 1e6,
    )  # fmt: skip
    log.info(
        "%s: %d MB, %d descriptors, settings %s",
        config.name, config.memory_bytes >> 20, config.sockets, config.settings,
    )  # fmt: skip
    await stop_requested.wait()
    await service.close()
    if control is not None:
        control.close()
    agent.close()
    ignore_until_exit(signal.SIGTERM, signal.SIGHUP)


def main() -> int:
    """Run the agent and return the exit code: 2 for an invalid configuration."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the default would end the process before it can reload
    handler = logging.StreamHandler()
    handler.addFilter(RateLimit())
    handler.setFormatter(MonotonicFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    # Modules loaded by now are never freed, so collections skip them. Exceptions and tasks form reference
    # cycles that keep buffers and bodies alive until they are collected, so collections have to be frequent.
    # A full one of the remaining objects takes a few milliseconds. With 10 and 10 for the last two thresholds
    # it would come once in four minutes under misbehaving clients, and garbage that had survived two
    # collections would stay as long.
    gc.freeze()
    gc.set_threshold(5_000, 4, 2)
    map_long_blocks()
    try:
        config = load(os.environ)
        asyncio.run(serve(config))
    except BadConfig as fault:
        print(f"sorrelfront: {fault.message_with_remedy()}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
