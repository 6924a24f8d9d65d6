"""The operations of one agent: administrative overrides, metrics, drain, reload and hot upgrade."""

from __future__ import annotations

import asyncio
import logging
import time
from pathlib import Path

from sorrelfront.agent import Agent
from sorrelfront.agent_config import Config
from sorrelfront.fronts.http1 import Listener
from sorrelfront.net.budget import RESERVED_DESCRIPTORS, Descriptors
from sorrelfront.net.process_memory import anonymous_bytes
from sorrelfront.net.transient import retry_transient
from sorrelfront.platform.overrides_file import POLL_INTERVAL_S, OverridesFile
from sorrelfront.platform.upgrade import Predecessor, Successor
from sorrelfront.upstreams.http1 import Upstream

log = logging.getLogger(__name__)

# How long a next version, or one whose list is pushed, waits for discovery's first list before it serves. The
# list that it was started with may still name servers that have begun to drain since. The wait is limited,
# since discovery may be down and a version has 6 s in all to start.
LIST_TIMEOUT_S = 2.0
LIST_POLL_S = 0.01  # between checks for the list


class Service:
    """Connects the parts of one agent and implements the operators' requests (`control.AgentOperations`)."""

    def __init__(
        self,
        config: Config,
        agent: Agent,
        upstream: Upstream,
        folder: Path | None,
        predecessor: Predecessor | None,
    ) -> None:
        self._config = config
        self._agent = agent
        self._upstream = upstream
        self._folder = folder
        self._predecessor = predecessor
        self._predecessor_needs = config.sockets // 2 if predecessor is not None else 0
        self._overrides = OverridesFile(folder)
        self._successor: Successor | None = None
        self.listener: Listener | None = None
        self.reloads = self.reload_failures = 0
        self._poll_timer: asyncio.TimerHandle | None = None
        agent.set_disabled(self._overrides.disabled)
        self.resize()
        self._poll_overrides()

    async def listen(self) -> Listener:
        """Accept clients, and tell the previous version that this one serves. Raises OSError."""
        address = self._config.listen
        if self._predecessor is not None:
            self._predecessor.watch(self._predecessor_changed, self._agent.request_ids)
            self._agent.subscribe_early()
        if self._predecessor is not None or self._agent.source_is_local:
            give_up_at = time.monotonic() + LIST_TIMEOUT_S
            while not self._agent.list_received and time.monotonic() < give_up_at:
                await asyncio.sleep(LIST_POLL_S)
        descriptors = self._descriptors()
        where = address if self._predecessor is None else self._predecessor.listening
        self.listener = await retry_transient(
            lambda: Listener(self._agent, where, descriptors, self._upstream.memory)
        )
        if self._folder is not None:
            try:
                self._successor = Successor(
                    self._folder,
                    address,
                    self.listener.fileno,
                    self._descriptors_needed,
                    self._successor_changed,
                    self._agent.request_ids,
                )
            except OSError as fault:
                log.warning("the next version will have to listen beside this one: %s", fault)
        if self._predecessor is not None:
            self._predecessor.ready()
        return self.listener

    async def close(self) -> None:
        """Finish the requests in flight and stop. A next version keeps the listening socket's queue."""
        assert self.listener is not None
        # A next version that is connected but not yet ready shares the queue too, and will serve it.
        others = self._successor is not None and self._successor.connected
        await self.listener.close(others)
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        if self._predecessor is not None:
            self._predecessor.close()
        if self._successor is not None:
            self._successor.close()

    def reload(self, config: Config) -> None:
        """Apply a new configuration; another control address takes a restart."""
        if config.control != self._config.control:
            log.warning("the control address has changed; that takes a restart")
        self._config = config
        self._agent.reload(config)
        self.resize()

    # Operators' requests

    def ready(self) -> bool:
        """Tell whether the agent accepts clients."""
        return self.listener is not None and not self.listener.refusing

    def metrics(self) -> dict[str, float]:
        """Return the current value of each metric by its name."""
        agent = self._agent
        values: dict[str, float] = {}
        for name, tally in agent.tallies.items():
            values[f"success.{name}"] = tally.served
            values[f"overload.{name}"] = tally.refused
            values[f"error.{name}"] = tally.failed
        values["dispatches"] = self._upstream.requests_written
        values["answers_unfinished"] = self._upstream.answers.unfinished
        values["answers_cut"] = self._upstream.answers.cut
        values["concurrent"] = 0 if self.listener is None else self.listener.in_flight
        values["targets"] = agent.targets
        values["targets_disabled"] = agent.targets_excluded
        values["memory_held"] = self._upstream.memory.held
        values["memory_budget"] = self._upstream.memory.max_bytes
        anonymous = anonymous_bytes()
        if anonymous is not None:
            values["memory_anonymous"] = anonymous
        values["reload_success"] = self.reloads
        values["reload_failure"] = self.reload_failures
        return values

    def knows(self, server: str) -> bool:
        """Tell whether the server is listed, or disabled by an override of any version."""
        self._apply_overrides()
        return self._agent.knows(server)

    def set_disabled(self, server: str, disabled: bool) -> None:
        """Disable a server, or enable it again. After OSError or TooManyDisabled nothing has changed."""
        self._overrides.set_disabled(server, disabled)
        self._agent.set_disabled(self._overrides.disabled)
        log.warning("administrative override: %s is %s", server[:64], "disabled" if disabled else "enabled")

    def drain(self, on: bool) -> None:
        """Start or end draining the clients."""
        if self.listener is not None:
            self.listener.drain(on)
        log.warning("administrative override: %s", "draining" if on else "accepting clients")

    # Hot upgrade

    def resize(self) -> None:
        """Adapt the limits on descriptors and memory to whether another version runs beside this one."""
        config, descriptors = self._config, self._descriptors()
        alone = self._predecessor is None and not (self._successor is not None and self._successor.connected)
        self._upstream.resize(descriptors.backends, config.idle_us, config.settings.connect_timeout_us)
        memory_bytes = config.memory_bytes if alone else config.memory_bytes // 2
        self._upstream.memory.resize(memory_bytes, descriptors.sockets)
        if self.listener is not None:
            self.listener.resize(descriptors)

    def _descriptors(self) -> Descriptors:
        sockets = self._config.sockets
        if self._predecessor is not None:
            sockets = max(sockets // 2, sockets - self._predecessor_needs)
        elif self._successor is not None and self._successor.connected:
            sockets //= 2
        return Descriptors(sockets)

    def _descriptors_needed(self) -> int:
        assert self.listener is not None
        return self.listener.connections + self._upstream.open_connections + RESERVED_DESCRIPTORS

    def _predecessor_changed(self, needed: int | None) -> None:
        """Handle a report from the previous version: the descriptors it still needs, or None at its end."""
        if needed is None:
            log.info("the version before has ended")
            self._predecessor = None
        elif needed == self._predecessor_needs:
            return
        else:
            self._predecessor_needs = needed
        self.resize()

    def _successor_changed(self) -> None:
        assert self.listener is not None and self._successor is not None
        if not self.listener.closing:
            self.listener.retire(self._successor.ready)
        self.resize()

    def _poll_overrides(self) -> None:
        """Apply overrides given to another version, every POLL_INTERVAL_S."""
        self._apply_overrides()
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll_overrides)

    def _apply_overrides(self) -> None:
        if self._overrides.refresh():
            self._agent.set_disabled(self._overrides.disabled)
