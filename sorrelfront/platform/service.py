"""One agent as its operators see it: orders, figures, drain, and the version that comes next."""

from __future__ import annotations

import asyncio
import logging
import time
from pathlib import Path

from sorrelfront.agent import Agent
from sorrelfront.fronts.http1 import Listener
from sorrelfront.net.budget import OTHER_DESCRIPTORS, BodyBudget, Descriptors
from sorrelfront.net.transient import until_possible
from sorrelfront.platform.orders_file import LOOK_S, OrdersFile
from sorrelfront.platform.upgrade import Predecessor, Succession
from sorrelfront.terms import Config
from sorrelfront.upstreams.http1 import Upstream

log = logging.getLogger(__name__)

# For discovery's first word before a next version serves, or one whose list is pushed. Risk: by the list it
# was started with, it would send to servers that have begun to drain since. Discovery may be down, and a
# version has 6 s in all.
LIST_WITHIN_S = 2.0
LOOK_LIST_S = 0.01  # between looks for it


class Service:
    """Puts the parts of one agent together, and carries operators' calls out (`control.Operated`)."""

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
        self._needed_there = config.sockets // 2 if predecessor is not None else 0
        self._orders = OrdersFile(folder)
        self._succession: Succession | None = None
        self.listener: Listener | None = None
        self.reloads = self.reload_faults = 0
        self._looking: asyncio.TimerHandle | None = None
        agent.put_out(self._orders.out)
        self.resize()
        self._look()

    async def listen(self) -> Listener:
        """Take clients, and tell the version before. Raises OSError."""
        address = self._config.listen
        if self._predecessor is not None:
            self._predecessor.watch(self._told_there)
            self._agent.ask()
        if self._predecessor is not None or self._agent.pushed:
            until = time.monotonic() + LIST_WITHIN_S
            while not self._agent.listed and time.monotonic() < until:
                await asyncio.sleep(LOOK_LIST_S)
        memory = self._config.memory_bytes if self._predecessor is None else self._config.memory_bytes // 2
        descriptors = self._descriptors()
        where = address if self._predecessor is None else self._predecessor.listening
        self.listener = await until_possible(
            lambda: Listener(self._agent, where, descriptors, BodyBudget(memory))
        )
        if self._folder is not None:
            try:
                self._succession = Succession(
                    self._folder, address, self.listener.fileno, self._needed, self._successor_changed
                )
            except OSError as fault:
                log.warning("the next version will have to listen beside this one: %s", fault)
        if self._predecessor is not None:
            self._predecessor.ready()
        return self.listener

    async def close(self) -> None:
        """Finish what is owed. A next version that serves has the queue."""
        assert self.listener is not None
        # Here but not yet ready, it holds the queue too, and will serve who waits there.
        others = self._succession is not None and self._succession.here
        await self.listener.close(others)
        if self._looking is not None:
            self._looking.cancel()
        if self._predecessor is not None:
            self._predecessor.close()
        if self._succession is not None:
            self._succession.close()

    def reload(self, config: Config) -> None:
        if config.control != self._config.control:
            log.warning("control is another address; that takes a restart")
        self._config = config
        self._agent.reload(config)
        self.resize()

    # What operators ask

    def ready(self) -> bool:
        return self.listener is not None and not self.listener.refusing

    def figures(self) -> dict[str, float]:
        agent = self._agent
        told: dict[str, float] = {}
        for name, tally in agent.tallies.items():
            told[f"success.{name}"] = tally.served
            told[f"overload.{name}"] = tally.refused
            told[f"error.{name}"] = tally.failed
        told["dispatches"] = self._upstream.written
        told["concurrent"] = 0 if self.listener is None else self.listener.taken
        told["targets"] = agent.targets
        told["targets_disabled"] = agent.avoided
        told["reload_success"] = self.reloads
        told["reload_failure"] = self.reload_faults
        return told

    def knows(self, server: str) -> bool:
        self._take_orders()
        return self._agent.knows(server)

    def put_out(self, server: str, out: bool) -> None:
        """Raises OSError or Full, and then nothing has changed."""
        self._orders.change(server, out)
        self._agent.put_out(self._orders.out)
        log.warning("by hand: %s is %s", server[:64], "out" if out else "back")

    def drain(self, on: bool) -> None:
        if self.listener is not None:
            self.listener.drain(on)
        log.warning("by hand: %s", "draining" if on else "clients are taken")

    # Beside another version

    def resize(self) -> None:
        """Limits as they are by now, alone or beside another version."""
        config, descriptors = self._config, self._descriptors()
        alone = self._predecessor is None and not (self._succession is not None and self._succession.here)
        self._upstream.resize(descriptors.backends, config.idle_us, config.settings.connect_timeout_us)
        if self.listener is not None:
            self.listener.resize(descriptors, config.memory_bytes if alone else config.memory_bytes // 2)

    def _descriptors(self) -> Descriptors:
        sockets = self._config.sockets
        if self._predecessor is not None:
            sockets = max(sockets // 2, sockets - self._needed_there)
        elif self._succession is not None and self._succession.here:
            sockets //= 2
        return Descriptors(sockets)

    def _needed(self) -> int:
        assert self.listener is not None
        return self.listener.connections + self._upstream.open + OTHER_DESCRIPTORS

    def _told_there(self, needed: int | None) -> None:
        """The version before still needs so many descriptors, or has ended."""
        if needed is None:
            log.info("the version before has ended")
            self._predecessor = None
        elif needed == self._needed_there:
            return
        else:
            self._needed_there = needed
        self.resize()

    def _successor_changed(self) -> None:
        assert self.listener is not None and self._succession is not None
        if not self.listener.closing:
            self.listener.retire(self._succession.ready)
        self.resize()

    def _look(self) -> None:
        """Follow orders given to another version."""
        self._take_orders()
        self._looking = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def _take_orders(self) -> None:
        if self._orders.look():
            self._agent.put_out(self._orders.out)
