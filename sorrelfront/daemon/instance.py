"""One instance: a process with one balancer, told by its supervisor over a channel what to do.

`python -m sorrelfront.daemon.instance FD NAME RUN FOLDER FORMAT LEVEL`, started by the supervisor alone.
When the channel ends, the supervisor is gone: the instance serves on by the terms that it has, for
`orphan_ms`, and can be found at its door (`door.py`) by the supervisor that comes next. Nobody having come,
it finishes what it owes and ends. Risk: an orphan serves on by old terms; hence the bound. An instance
without terms, or one whose supervisor was not in charge yet (a replacement under way), ends at once.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sorrelfront.agent import Agent, Source
from sorrelfront.daemon import logs
from sorrelfront.daemon.channel import BadMessage, Message, receive, send
from sorrelfront.daemon.door import Door
from sorrelfront.daemon.fellow import Fellow
from sorrelfront.daemon.processes import start_ticks
from sorrelfront.decisions import places
from sorrelfront.decisions.adoption import PROTOCOL, Life
from sorrelfront.decisions.learnt import KEPT_MOST_US, Unusable, adopt, snapshot
from sorrelfront.decisions.listing import SILENCE_US
from sorrelfront.decisions.membership import Answering
from sorrelfront.fronts.http1 import Listener
from sorrelfront.messages import Address, Update
from sorrelfront.net.budget import BodyBudget, Descriptors
from sorrelfront.platform.config import BadConfig, parse
from sorrelfront.signals import ignore_from_here, on_signal
from sorrelfront.sources import registry
from sorrelfront.terms import Config
from sorrelfront.upstreams.http1 import Upstream

if TYPE_CHECKING:
    from sorrelfront.daemon.border import Frontier
    from sorrelfront.daemon.policies import Governed, Policy
    from sorrelfront.sources.zookeeper import Ephemeral

log = logging.getLogger("sorrelfront.instance")

BEAT_S = 0.25  # between signs of life, each with the figures for status
FLUSH_S = 0.3  # for answers to leave, when all that is owed has been failed


class FixedList:
    """A membership source whose list never changes but by a reload."""

    def __init__(self, config: Config, on_update: Any) -> None:
        self._known = config.known
        self._on_update = on_update

    def subscribe(self) -> None:
        self._on_update(self._known)

    def reload(self, config: Config) -> None:
        if config.known != self._known:
            self._known = config.known
            self._on_update(self._known)

    def close(self) -> None:
        pass


class Instance:
    """The parts of one instance, and what its supervisor may have it do."""

    def __init__(self, channel: socket.socket, name: str, run: int, folder: Path) -> None:
        """Raises OSError if its door cannot be opened."""
        self._channel: socket.socket | None = channel
        self._name = name
        self._run = run
        self._generation = 0
        self._digest = ""
        self._provisional = True  # the supervisor is not in charge yet
        self._orphan_s = 0.0
        self._orphan_timer: asyncio.TimerHandle | None = None
        self._door = Door(folder, name, self._hello, self._adopted, self._others_come)
        self._agent: Agent | None = None
        self._table: Message = {}
        self._config: Config | None = None
        self._listeners: dict[Address, Listener] = {}
        self._wanted: set[Address] = set()
        self._learnt: object = None  # a snapshot that waits for the list
        self._leaving: set[asyncio.Task[None]] = set()  # listeners that were moved away, while they end
        self._bodies: BodyBudget | None = None
        self._ephemeral: Ephemeral | None = None  # the source, if it is one of ephemeral nodes
        self._registry: registry.Discovery | None = None  # the same, if it is a watch
        self._tell_list: Callable[[Update], None] = lambda update: None  # to the agent
        self._seat: int | None = None  # among the instances, if the service says
        self._fellow: Fellow | None = None  # among the members of its fleet, if the file has one
        self._governed: Governed | None = None  # by the fleet's policy, if it has voters
        self._frontier: Frontier | None = None  # with partner sites, if the file has [site]
        self._answering_policy: set[asyncio.Task[None]] = set()
        self._leave = False  # the fleet is told that it goes for good
        self.going_away = asyncio.Event()
        self.at_once = False
        self.others = False

    def watch(self) -> None:
        assert self._channel is not None
        asyncio.get_running_loop().add_reader(self._channel.fileno(), self._heard)

    def say(self, message: Message) -> None:
        """To the supervisor, if there is one."""
        if self._channel is not None:
            send(self._channel, message)

    # Without a supervisor

    @property
    def life(self) -> Life:
        if self.going_away.is_set():
            return Life.LEAVING
        return Life.STARTING if self._agent is None else Life.READY

    def _orphaned(self) -> None:
        """The channel has ended."""
        channel, self._channel = self._channel, None
        assert channel is not None
        asyncio.get_running_loop().remove_reader(channel.fileno())
        channel.close()
        if self.going_away.is_set():
            return
        if self._agent is None or self._provisional or self._orphan_s <= 0:
            log.warning("the supervisor is gone; draining")
            self.others = self._provisional  # those of the program before go on accepting
            self.going_away.set()
            return
        log.warning("the supervisor is gone; serving on for %g s", self._orphan_s)
        self._orphan_timer = asyncio.get_running_loop().call_later(self._orphan_s, self._nobody_came)

    def _nobody_came(self) -> None:
        log.warning("no supervisor came; draining")
        self._leave = True
        self.going_away.set()

    def _hello(self) -> tuple[Message, list[int]]:
        """What a supervisor asks of one that it does not know."""
        if self._channel is not None:
            self._heard()  # its end may be known to the kernel only
        listeners = [*self._listeners.values()]
        message = {
            "op": "hello", "protocol": PROTOCOL, "name": self._name, "pid": os.getpid(), "run": self._run,
            "ticks": start_ticks(os.getpid()), "generation": self._generation, "digest": self._digest,
            "life": self.life.value, "orphan": self._channel is None,
        }  # fmt: skip
        return message, [item.fileno() for item in listeners if item.fileno() >= 0]

    def _others_come(self) -> None:
        """A supervisor has taken the listening sockets; if this one is leaving, it leaves the queue to it."""
        if self.going_away.is_set():
            self.others = True
            for listener in self._listeners.values():
                listener.hand_over()

    def _adopted(self, message: Message, channel: socket.socket) -> str | None:
        """Take this connection as the channel, or tell why not."""
        if self._channel is not None:
            self._heard()
        if self._channel is not None:
            return "it has a supervisor"
        if self.going_away.is_set():
            return "it is leaving already"
        if self._orphan_timer is not None:
            self._orphan_timer.cancel()
            self._orphan_timer = None
        self._channel = channel
        self._provisional = False
        asyncio.get_running_loop().call_soon(self.watch)  # once the door has let go of it
        log.info("another supervisor has taken over")
        return None

    # Told by the supervisor

    def _heard(self) -> None:
        while self._channel is not None:
            try:
                got = receive(self._channel)
            except BlockingIOError:
                return
            except BadMessage as fault:
                log.warning("%s", fault)
                continue
            if got is None:
                self._orphaned()
                return
            self._told(*got)

    def _told(self, message: Message, descriptors: list[int]) -> None:
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        match message.get("op"):
            case "start" | "reload" | "commit" if self.going_away.is_set():
                # Risk: listeners that are being closed would be closed again, or opened.
                for sock in sockets:
                    sock.close()
            case "start" | "reload":
                self._take(message, sockets)
            case "commit":
                self._settle()
            case "charge":
                self._provisional = False
            case "learnt":
                self._tell_learnt(message.get("id"))
            case "members":
                after = message.get("after")
                told = self._fellow.told(after if isinstance(after, int) else 0) if self._fellow else {}
                self.say({"op": "members", "id": message.get("id"), **told})
            case "policy":
                task = asyncio.get_running_loop().create_task(self._policy(message))
                self._answering_policy.add(task)
                task.add_done_callback(self._answering_policy.discard)
            case "stop":
                self._leave = bool(message.get("leave"))
                self.others = bool(message.get("others"))
                self.going_away.set()
            case "abort":
                self.at_once = True
                self.going_away.set()
            case other:
                log.warning("the supervisor said what is not known here: %s", other)

    def _take(self, message: Message, sockets: list[socket.socket]) -> None:
        """Go by these terms, or tell why not; then the ones before stay."""
        fault = None
        before = (self._config, self._table) if self._config is not None else None
        try:
            governed = self._governed
            config = parse(message["table"] if governed is None else governed.terms(message["table"]))
            if self._agent is None:
                self._learnt = message.get("learnt")
                self._provisional = bool(message.get("provisional"))
                self._begin(config, message["table"])
            else:
                self._change(config, message["table"])
            self._listen(config, sockets)
            self._generation, self._digest = int(message["generation"]), str(message["digest"])
            self._orphan_s = float(message["orphan_ms"]) / 1e3
            self._log_by(message["log"])
        except BadConfig as bad:
            fault = str(bad)
        except Exception as failed:
            log.exception("taking new terms failed")
            fault = f"{type(failed).__name__}: {failed}"
        finally:
            if fault is not None and before is not None and self._agent is not None:
                self._config, self._table = before
                if self._config is not None:
                    self._agent.reload(self._config)
                    self._sit(self._seat)
            for sock in sockets:
                if fault is not None or not any(item.owns(sock) for item in self._listeners.values()):
                    sock.close()
        self.say({"op": "taken", "id": message.get("id"), "fault": fault})

    def _log_by(self, told: dict[str, str]) -> None:
        logs.configure(
            told["format"], told["level"], instance=self._name, run=self._run, generation=self._generation
        )

    def _begin(self, config: Config, table: Message) -> None:
        descriptors = Descriptors(config.sockets)
        upstream = Upstream(descriptors.backends, config.idle_us, config.settings.connect_timeout_us)
        self._bodies = BodyBudget(config.memory_bytes)
        self._table = table  # says which source it is
        governed = table.get("fleet") is not None and table["fleet"]["voters"]
        if table.get("site") is not None:
            from sorrelfront.daemon.border import Frontier

            self._frontier = Frontier(table["site"])
            self._agent = self._frontier.agent(config, upstream, self._source, governed)
        elif governed:
            self._agent = self._gated(config, upstream)
        else:
            self._agent = Agent(config, upstream, self._source)
        self._config = config
        self._agent.start()
        if table.get("fleet") is not None:
            self._fellow = Fellow(table["fleet"])
            if table["fleet"]["copies"]:
                self._fellow.copy(table["source"] == "registry", self._tell_list)
            if governed:
                self._govern(table)
        if self._frontier is not None:
            self._frontier.open(config, self._bodies)
            if self._fellow is not None and self._fellow.copier is not None:
                self._frontier.share(self._fellow.copier)
        if config.known.backends:
            learnt, self._learnt = self._learnt, None
            self._take_up(learnt)
        asyncio.get_running_loop().call_soon(self._beat)

    # Policy

    def _gated(self, config: Config, upstream: Upstream) -> Agent:
        from sorrelfront.daemon.gate import GatedAgent

        return GatedAgent(config, upstream, self._source)

    def _govern(self, table: Message) -> None:
        """Go by the fleet's policy, and ask before anything is decided."""
        from sorrelfront.daemon.gate import GatedAgent
        from sorrelfront.daemon.policies import Governed

        agent, fellow = self._agent, self._fellow
        assert isinstance(agent, GatedAgent) and fellow is not None
        self._governed = Governed(table, self._apply)
        agent.header = bool(table["fleet"]["policy_header"])
        agent.isolation = table["fleet"]["isolation"]
        fellow.govern(agent, self._governed)

    def _apply(self, terms: Message, policy: Policy | None) -> None:
        """Decide by these terms from now on. Raises BadConfig."""
        from sorrelfront.daemon.gate import GatedAgent

        agent = self._agent
        assert isinstance(agent, GatedAgent)
        config = parse(terms)
        agent.reload(config)
        agent.put_out(() if policy is None else policy.out)
        agent.isolation = terms["fleet"]["isolation"] if policy is None else policy.isolation
        self._config = config
        self._sit(self._seat)

    async def _policy(self, message: Message) -> None:
        council = self._fellow.council if self._fellow is not None else None
        told: Message = {"policy_ok": False, "fault": "this instance has no part in a policy"}
        if council is not None:
            from sorrelfront.daemon.policies import answer

            try:
                told = await answer(council, message)
            except (KeyError, TypeError, ValueError) as fault:
                told = {"policy_ok": False, "fault": f"it is not understood: {fault}"}
        self.say({"op": "policy", "id": message.get("id"), **told})

    def _take_up(self, text: object) -> None:
        """What another program's instance has learnt, once the list is known: from the instance's terms, or
        with the first word of the membership source."""
        agent = self._agent
        if agent is None or not isinstance(text, str):
            return
        try:
            # Estimates fade with `recent_us`; of a long pause, no more than that counts.
            count = adopt(
                agent.balancer, text, agent.now(), time.time_ns() // 1000,
                KEPT_MOST_US, int(agent.balancer.recent_us),
            )  # fmt: skip
        except Unusable as why:
            log.warning("what was learnt before is not taken up: %s", why)
            return
        log.info("estimates of %d servers are taken up", count)

    def _tell_learnt(self, number: object) -> None:
        agent = self._agent
        text = "" if agent is None else snapshot(agent.balancer, agent.now(), time.time_ns() // 1000)
        self.say({"op": "learnt", "id": number, "text": text})

    def _source(self, config: Config, on_update: Any, on_failure: Any) -> Source:
        def tell(heard: Update) -> None:
            on_update(heard)
            learnt, self._learnt = self._learnt, None
            if learnt is not None:  # a list is known now, so its servers can be told from others
                self._take_up(learnt)

        def update(heard: Update) -> None:
            copier = self._fellow.copier if self._fellow is not None else None
            tell(heard if copier is None else copier.heard(heard))

        self._tell_list = tell

        if self._table.get("source") == "fixed":
            return FixedList(config, update)
        if self._table.get("source") == "zookeeper":
            from sorrelfront.daemon import ephemeral

            terms = ephemeral.terms(self._table["zookeeper"])
            self._ephemeral = ephemeral.made(terms, config, self._answering, update, self._sit)
            return self._ephemeral
        self._registry = registry.watch(config, update, on_failure)
        return self._registry

    def _change(self, config: Config, table: Message) -> None:
        assert self._agent is not None
        if table.get("source") != self._table.get("source"):
            raise BadConfig("membership.source takes a restart")
        if self._ephemeral is not None:
            from sorrelfront.daemon import ephemeral

            self._ephemeral.change(ephemeral.terms(table["zookeeper"]))
        if self._fellow is not None and table.get("fleet") is not None:
            self._fellow.change(table["fleet"])
        if self._frontier is not None and table.get("site") is not None:
            self._frontier.change(table["site"], config)
        self._agent.reload(config)
        self._table, self._config = table, config
        if self._governed is not None and self._fellow is not None and self._fellow.council is not None:
            self._governed.table = table
            self._fellow.council.again()
        self._sit(self._seat)

    def _sit(self, seat: int | None) -> None:
        """Take this place among the instances; None: the one that the file says."""
        self._seat = seat
        if self._agent is None or self._config is None:
            return
        settings = self._config.settings
        if seat is None:
            self._agent.place(settings.number, settings.agents)
        else:
            self._agent.place(places.point(seat), places.POINTS)

    def _answering(self, server: str, since: int) -> Answering:
        """What attempts show of a server since then."""
        known = self._agent.balancer.servers.get(server) if self._agent is not None else None
        if known is None:
            return Answering.UNKNOWN
        if known.breaker.failures:
            return Answering.NO
        return Answering.YES if known.heard_at >= since else Answering.UNKNOWN

    def _listen(self, config: Config, sockets: list[socket.socket]) -> None:
        """Listen on these sockets too; those listened on already are told the new limits. What is not among
        them is listened on until all instances have taken the terms, so that they can go back."""
        assert self._agent is not None and self._bodies is not None
        wanted: dict[Address, socket.socket] = {sock.getsockname(): sock for sock in sockets}
        self._wanted = set(wanted)
        descriptors = Descriptors(config.sockets)
        share = max(1, len(wanted))
        descriptors.clients //= share
        descriptors.asking //= share
        for address, sock in wanted.items():
            if address in self._listeners:
                self._listeners[address].resize(descriptors, config.memory_bytes)
            else:
                self._listeners[address] = Listener(self._agent, sock, descriptors, self._bodies)

    def _settle(self) -> None:
        """The terms taken last hold for good: leave the listeners that they do not name, as at a stop."""
        for address in [address for address in self._listeners if address not in self._wanted]:
            task = asyncio.create_task(self._listeners.pop(address).close())
            self._leaving.add(task)
            task.add_done_callback(self._leaving.discard)

    def _beat(self) -> None:
        agent = self._agent
        assert agent is not None
        figures: dict[str, Any] = {
            "offered": agent.offered, "served": agent.served, "refused": agent.refused,
            "failed": agent.failed, "held": agent.owed, "attempts": agent.attempts,
            "connections": sum(listener.connections for listener in self._listeners.values()),
            "servers": len(agent.balancer.servers), "ready_servers": len(agent.balancer.ready),
        }  # fmt: skip
        if self._ephemeral is not None:
            figures |= self._ephemeral.figures()
        if self._fellow is not None:
            self._beat_copies(self._fellow)
            figures["fleet"] = self._fellow.figures()
            if self._governed is not None:
                figures["fleet"]["requests"] = self._gate_figures()
            if self._frontier is not None:
                figures["site"] = self._frontier.figures()
            point = self._fellow.seat()
            if point is not None:
                agent.place(point, places.POINTS)
        self.say({"op": "beat", "figures": figures})
        asyncio.get_running_loop().call_later(BEAT_S, self._beat)

    def _beat_copies(self, fellow: Fellow) -> None:
        if fellow.copier is None:
            return
        age_us = self._registry.clock.age_us(registry.now_us()) if self._registry is not None else None
        if age_us is not None and age_us <= SILENCE_US:
            fellow.copier.current()
        fellow.copier.beat()

    def _gate_figures(self) -> dict[str, int]:
        from sorrelfront.daemon.gate import GatedAgent

        return asdict(self._agent.gate) if isinstance(self._agent, GatedAgent) else {}

    async def close(self) -> None:
        """Finish what is owed, or fail it at once."""
        agent = self._agent
        if self._fellow is not None:
            # At once: the one that takes this name may be waiting for the address.
            self._fellow.close(self._leave)
        if self._orphan_timer is not None:
            self._orphan_timer.cancel()
        if agent is None:
            return
        if not self.at_once:
            ends = [item.close(self.others) for item in self._listeners.values()]
            if self._frontier is not None:
                ends.append(self._frontier.close())
            closing = {*map(asyncio.create_task, ends), *self._leaving}
            while closing and not self.at_once:
                _, closing = await asyncio.wait(closing, timeout=0.05)
            for task in closing:
                task.cancel()
        if self.at_once:
            agent.fail_all()
            await asyncio.sleep(FLUSH_S)
        if self._frontier is not None:
            await self._frontier.end()
        agent.close()

    def shut(self) -> None:
        """The last step: nobody finds it any more."""
        self._door.close()


async def run(channel: socket.socket, name: str, number: int, folder: Path) -> None:
    instance = Instance(channel, name, number, folder)
    on_signal(signal.SIGTERM, instance.going_away.set)
    instance.watch()
    await instance.going_away.wait()
    try:
        await instance.close()
    finally:
        instance.shut()
    ignore_from_here(signal.SIGTERM)


def main() -> int:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal sends it to all; the supervisor decides
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logs.configure(sys.argv[5], sys.argv[6], instance=sys.argv[2], run=int(sys.argv[3]))
    gc.freeze()
    gc.set_threshold(5_000, 4, 2)
    channel = socket.socket(fileno=int(sys.argv[1]))
    channel.setblocking(False)
    asyncio.run(run(channel, sys.argv[2], int(sys.argv[3]), Path(sys.argv[4])))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
