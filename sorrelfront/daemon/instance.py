"""One instance: a process with one balancer, controlled by its supervisor over a channel.

`python -m sorrelfront.daemon.instance FD NAME RUN FOLDER FORMAT LEVEL`, started by the supervisor only.
The end of the channel means that the supervisor has ended. The instance then goes on serving with its current
configuration for `orphan_ms`, and the next supervisor can adopt it through its own socket (`door.py`). If
none does, it completes its requests in flight and ends: the time is bounded because an orphan serves with an
old configuration. An instance without a configuration, or whose supervisor was not in charge yet (during a
replacement), drains and ends without this wait.
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
from sorrelfront.agent_config import Config
from sorrelfront.daemon import logs
from sorrelfront.daemon.channel import BadMessage, Message, receive, send
from sorrelfront.daemon.fleet_membership import FleetMembership
from sorrelfront.daemon.instance_ids import InstanceIds
from sorrelfront.daemon.instance_socket import InstanceSocket
from sorrelfront.daemon.processes import start_ticks
from sorrelfront.decisions import seat_allocation
from sorrelfront.decisions.adoption import PROTOCOL_VERSION, LifecycleState
from sorrelfront.decisions.discovery_timing import READ_TIMEOUT_US
from sorrelfront.decisions.membership import Answering
from sorrelfront.decisions.snapshots import (
    MAX_STORED_AGE_US,
    UnusableSnapshot,
    restore_snapshot,
    take_snapshot,
)
from sorrelfront.fronts.http1 import Listener
from sorrelfront.messages import Address, Update
from sorrelfront.net.budget import Descriptors, MemoryBudget
from sorrelfront.net.process_memory import anonymous_bytes, map_long_blocks
from sorrelfront.platform.config import BadConfig, parse
from sorrelfront.signals import ignore_until_exit, on_signal
from sorrelfront.sources import registry
from sorrelfront.upstreams.answer_faults import AnswerLog
from sorrelfront.upstreams.http1 import Upstream

if TYPE_CHECKING:
    from sorrelfront.daemon.policies import Policy, PolicyOverlay
    from sorrelfront.daemon.site_gateway import SiteGateway
    from sorrelfront.sources.zookeeper import EphemeralNodeSource

log = logging.getLogger("sorrelfront.instance")

HEARTBEAT_INTERVAL_S = 0.25  # between heartbeats, each with the figures for status
FLUSH_DELAY_S = 0.3  # for the answers to be sent after all requests in flight were failed


class FixedList:
    """A membership source whose list changes only by a reload."""

    def __init__(self, config: Config, on_update: Any) -> None:
        self._known = config.cached_list
        self._on_update = on_update

    def subscribe(self) -> None:
        """Deliver the list."""
        self._on_update(self._known)

    def reload(self, config: Config) -> None:
        """Deliver the list of the new configuration if it differs."""
        if config.cached_list != self._known:
            self._known = config.cached_list
            self._on_update(self._known)

    def close(self) -> None:
        """Do nothing: the source holds no resources."""
        pass


class Instance:
    """The components of one instance and the operations that its supervisor can request."""

    def __init__(self, channel: socket.socket, name: str, run: int, folder: Path) -> None:
        """Open the adoption socket.

        Raises:
            OSError: That socket cannot be opened.
        """
        self._channel: socket.socket | None = channel
        self._name = name
        self._run = run
        self._generation = 0
        self._digest = ""
        self._provisional = True  # the supervisor is not in charge yet
        self._orphan_s = 0.0
        self._orphan_timer: asyncio.TimerHandle | None = None
        self._adoption_socket = InstanceSocket(
            folder, name, self._hello_message, self._accept_supervisor, self._on_sockets_taken,
            self._accept_ids,
        )  # fmt: skip
        self._instance_ids: InstanceIds | None = None
        self._agent: Agent | None = None
        self._table: Message = {}
        self._config: Config | None = None
        self._listeners: dict[Address, Listener] = {}
        self._current_addresses: set[Address] = set()
        self._pending_estimates: object = None  # a snapshot to be adopted once the list is known
        self._closing_listeners: set[asyncio.Task[None]] = set()  # of listeners that a reload removed
        self._memory_budget: MemoryBudget | None = None
        self._answers: AnswerLog | None = None
        self._zookeeper_source: EphemeralNodeSource | None = None  # the membership source, if it is ZooKeeper
        self._registry_source: registry.Discovery | None = None  # the same, if it is the registry
        self._update_agent: Callable[[Update], None] = lambda update: None  # delivers to the agent
        self._seat: int | None = None  # among the instances, if ZooKeeper assigns it
        self._fleet_member: FleetMembership | None = None  # if the file has [fleet]
        self._policy_overlay: PolicyOverlay | None = None  # if the fleet has voters
        self._partner_sites: SiteGateway | None = None  # if the file has [site]
        self._policy_tasks: set[asyncio.Task[None]] = set()
        self._leave_fleet = False  # whether to tell the fleet that this member leaves
        self.stop_requested = asyncio.Event()
        self.abort_requested = False
        self.others_accept = False

    def watch(self) -> None:
        """Watch the channel for messages of the supervisor."""
        assert self._channel is not None
        asyncio.get_running_loop().add_reader(self._channel.fileno(), self._on_readable)

    def send_to_supervisor(self, message: Message) -> None:
        """Send a message to the supervisor, if there is one."""
        if self._channel is not None:
            send(self._channel, message)

    # Without a supervisor

    @property
    def lifecycle(self) -> LifecycleState:
        """Whether the instance is starting, ready or leaving."""
        if self.stop_requested.is_set():
            return LifecycleState.LEAVING
        return LifecycleState.STARTING if self._agent is None else LifecycleState.READY

    def _on_supervisor_lost(self) -> None:
        """Serve on for a bounded time, or drain, after the channel has ended."""
        channel, self._channel = self._channel, None
        assert channel is not None
        asyncio.get_running_loop().remove_reader(channel.fileno())
        channel.close()
        if self.stop_requested.is_set():
            return
        if self._agent is None or self._provisional or self._orphan_s <= 0:
            log.warning("the supervisor has ended; draining")
            self.others_accept = self._provisional  # the running program's instances go on accepting
            self.stop_requested.set()
            return
        log.warning("the supervisor has ended; serving on for %g s", self._orphan_s)
        self._orphan_timer = asyncio.get_running_loop().call_later(self._orphan_s, self._on_orphan_timeout)

    def _on_orphan_timeout(self) -> None:
        log.warning("no supervisor came; draining")
        self._leave_fleet = True
        self.stop_requested.set()

    def _hello_message(self) -> tuple[Message, list[int]]:
        """Return what a new supervisor needs to know of this instance, and its listening sockets."""
        if self._channel is not None:
            self._on_readable()  # the channel may have ended, unread so far
        listeners = [*self._listeners.values()]
        message = {
            "op": "hello",
            "protocol": PROTOCOL_VERSION,
            "name": self._name,
            "pid": os.getpid(),
            "run": self._run,
            "ticks": start_ticks(os.getpid()),
            "generation": self._generation,
            "digest": self._digest,
            "life": self.lifecycle.value,
            "orphan": self._channel is None,
        }
        return message, [item.fileno() for item in listeners if item.fileno() >= 0]

    def _on_sockets_taken(self) -> None:
        """If this instance is stopping, leave queued connections to the new owner of the sockets."""
        if self.stop_requested.is_set():
            self.others_accept = True
            for listener in self._listeners.values():
                listener.hand_over()

    def _accept_supervisor(self, message: Message, channel: socket.socket) -> str | None:
        """Use this connection as the channel, or return why not."""
        if self._channel is not None:
            self._on_readable()
        if self._channel is not None:
            return "it has a supervisor"
        if self.stop_requested.is_set():
            return "it is leaving already"
        if self._orphan_timer is not None:
            self._orphan_timer.cancel()
            self._orphan_timer = None
        self._channel = channel
        self._provisional = False
        asyncio.get_running_loop().call_soon(self.watch)  # once the adoption socket no longer watches it
        log.info("another supervisor has taken over")
        return None

    def _accept_ids(self, connection: socket.socket) -> None:
        """Exchange request ids with another instance; before this one has an agent, it connects itself."""
        if self._instance_ids is None:
            connection.close()
        else:
            self._instance_ids.add(connection)

    # Messages of the supervisor

    def _on_readable(self) -> None:
        while self._channel is not None:
            try:
                received = receive(self._channel)
            except BlockingIOError:
                return
            except BadMessage as fault:
                log.warning("%s", fault)
                continue
            if received is None:
                self._on_supervisor_lost()
                return
            self._handle_message(*received)

    def _handle_message(self, message: Message, descriptors: list[int]) -> None:
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        match message.get("op"):
            case "start" | "reload" | "commit" if self.stop_requested.is_set():
                # Otherwise listeners that are being closed would be closed again, or opened.
                for sock in sockets:
                    sock.close()
            case "start" | "reload":
                self._apply_config(message, sockets)
            case "commit":
                self._commit()
            case "charge":
                self._provisional = False
            case "learnt":
                self._send_estimates(message.get("id"))
            case "members":
                after = message.get("after")
                reply = (
                    self._fleet_member.members_since(after if isinstance(after, int) else 0)
                    if self._fleet_member
                    else {}
                )
                self.send_to_supervisor({"op": "members", "id": message.get("id"), **reply})
            case "policy":
                task = asyncio.get_running_loop().create_task(self._answer_policy_command(message))
                self._policy_tasks.add(task)
                task.add_done_callback(self._policy_tasks.discard)
            case "stop":
                self._leave_fleet = bool(message.get("leave"))
                self.others_accept = bool(message.get("others"))
                self.stop_requested.set()
            case "abort":
                self.abort_requested = True
                self.stop_requested.set()
            case other:
                log.warning("unknown message from the supervisor: %s", other)

    def _apply_config(self, message: Message, sockets: list[socket.socket]) -> None:
        """Apply a configuration, or report why not and keep the one before."""
        fault = None
        before = (self._config, self._table) if self._config is not None else None
        try:
            governed = self._policy_overlay
            config = parse(message["table"] if governed is None else governed.terms(message["table"]))
            if self._agent is None:
                self._pending_estimates = message.get("learnt")
                self._provisional = bool(message.get("provisional"))
                self._start_agent(config, message["table"])
            else:
                self._reconfigure(config, message["table"])
            self._update_listeners(config, sockets)
            self._generation, self._digest = int(message["generation"]), str(message["digest"])
            self._orphan_s = float(message["orphan_ms"]) / 1e3
            self._configure_logging(message["log"])
        except BadConfig as bad:
            fault = str(bad)
        except Exception as failed:
            log.exception("applying a new configuration failed")
            fault = f"{type(failed).__name__}: {failed}"
        finally:
            if fault is not None and before is not None and self._agent is not None:
                self._config, self._table = before
                if self._config is not None:
                    self._agent.reload(self._config)
                    self._set_seat(self._seat)
            for sock in sockets:
                if fault is not None or not any(item.owns(sock) for item in self._listeners.values()):
                    sock.close()
        self.send_to_supervisor({"op": "taken", "id": message.get("id"), "fault": fault})

    def _configure_logging(self, settings: dict[str, str]) -> None:
        logs.configure(
            settings["format"],
            settings["level"],
            instance=self._name,
            run=self._run,
            generation=self._generation,
        )

    def _start_agent(self, config: Config, table: Message) -> None:
        descriptors = Descriptors(config.sockets)
        self._memory_budget = MemoryBudget(config.memory_bytes, config.sockets, anonymous_bytes())
        upstream = Upstream(
            descriptors.backends,
            config.idle_us,
            config.settings.connect_timeout_us,
            self._memory_budget,
        )
        self._answers = upstream.answers
        self._table = table  # its `source` selects the membership source
        governed = table.get("fleet") is not None and table["fleet"]["voters"]
        if table.get("site") is not None:
            from sorrelfront.daemon.site_gateway import SiteGateway

            self._partner_sites = SiteGateway(table["site"])
            self._agent = self._partner_sites.create_agent(config, upstream, self._create_source, governed)
        elif governed:
            self._agent = self._create_gated_agent(config, upstream)
        else:
            self._agent = Agent(config, upstream, self._create_source)
        self._config = config
        self._agent.request_ids.passes_on = False  # every instance is told by each
        self._instance_ids = InstanceIds(self._agent.request_ids, self._adoption_socket.path)
        self._agent.start()
        if table.get("fleet") is not None:
            self._fleet_member = FleetMembership(table["fleet"])
            if table["fleet"]["copies"]:
                self._fleet_member.start_replication(table["source"] == "registry", self._update_agent)
            if governed:
                self._enable_policy(table)
        if self._partner_sites is not None:
            self._partner_sites.start_listening(config, self._memory_budget)
            if self._fleet_member is not None and self._fleet_member.replicator is not None:
                self._partner_sites.replicate_offers(self._fleet_member.replicator)
        if config.cached_list.backends:
            learnt, self._pending_estimates = self._pending_estimates, None
            self._adopt_estimates(learnt)
        asyncio.get_running_loop().call_soon(self._send_heartbeat)

    # Policy

    def _create_gated_agent(self, config: Config, upstream: Upstream) -> Agent:
        from sorrelfront.daemon.gate import GatedAgent

        return GatedAgent(config, upstream, self._create_source)

    def _enable_policy(self, table: Message) -> None:
        """Apply the fleet's policy, and ask for permission before the agent decides anything."""
        from sorrelfront.daemon.gate import GatedAgent
        from sorrelfront.daemon.policies import PolicyOverlay

        agent, member = self._agent, self._fleet_member
        assert isinstance(agent, GatedAgent) and member is not None
        self._policy_overlay = PolicyOverlay(table, self._apply_policy)
        agent.adds_policy_header = bool(table["fleet"]["policy_header"])
        agent.isolation = table["fleet"]["isolation"]
        member.join_policy(agent, self._policy_overlay)

    def _apply_policy(self, table: Message, policy: Policy | None) -> None:
        """Balance with this configuration and policy from now on. Raises BadConfig."""
        from sorrelfront.daemon.gate import GatedAgent

        agent = self._agent
        assert isinstance(agent, GatedAgent)
        config = parse(table)
        agent.reload(config)
        agent.set_disabled(() if policy is None else policy.out)
        agent.isolation = table["fleet"]["isolation"] if policy is None else policy.isolation
        self._config = config
        self._set_seat(self._seat)

    async def _answer_policy_command(self, message: Message) -> None:
        policy_member = self._fleet_member.policy_member if self._fleet_member is not None else None
        reply: Message = {"policy_ok": False, "fault": "this instance has no part in a policy"}
        if policy_member is not None:
            from sorrelfront.daemon.policies import handle_command

            try:
                reply = await handle_command(policy_member, message)
            except (KeyError, TypeError, ValueError) as fault:
                reply = {"policy_ok": False, "fault": f"it is not understood: {fault}"}
        self.send_to_supervisor({"op": "policy", "id": message.get("id"), **reply})

    def _adopt_estimates(self, text: object) -> None:
        """Adopt the estimates of another program's instance.

        Called once the list of servers is known: from the configuration, or with the first update of the
        membership source.
        """
        agent = self._agent
        if agent is None or not isinstance(text, str):
            return
        try:
            # Estimates decay over `recent_us`, so of a longer pause only that much counts.
            count = restore_snapshot(
                agent.balancer, text, agent.now(), time.time_ns() // 1000,
                MAX_STORED_AGE_US, int(agent.balancer.recent_us),
            )  # fmt: skip
        except UnusableSnapshot as why:
            log.warning("earlier estimates are not used: %s", why)
            return
        log.info("estimates of %d servers are taken up", count)

    def _send_estimates(self, number: object) -> None:
        agent = self._agent
        text = "" if agent is None else take_snapshot(agent.balancer, agent.now(), time.time_ns() // 1000)
        self.send_to_supervisor({"op": "learnt", "id": number, "text": text})

    def _create_source(self, config: Config, on_update: Any, on_failure: Any) -> Source:
        def deliver(received: Update) -> None:
            on_update(received)
            learnt, self._pending_estimates = self._pending_estimates, None
            if learnt is not None:  # the list is known now, so estimates of other servers can be recognised
                self._adopt_estimates(learnt)

        def update(received: Update) -> None:
            replicator = self._fleet_member.replicator if self._fleet_member is not None else None
            deliver(received if replicator is None else replicator.on_list(received))

        self._update_agent = deliver

        if self._table.get("source") == "fixed":
            return FixedList(config, update)
        if self._table.get("source") == "zookeeper":
            from sorrelfront.daemon import ephemeral

            settings = ephemeral.source_settings(self._table["zookeeper"])
            self._zookeeper_source = ephemeral.create_source(
                settings, config, self._evidence, update, self._set_seat
            )
            return self._zookeeper_source
        self._registry_source = registry.watch(config, update, on_failure)
        return self._registry_source

    def _reconfigure(self, config: Config, table: Message) -> None:
        assert self._agent is not None
        if table.get("source") != self._table.get("source"):
            raise BadConfig("membership.source takes a restart")
        if self._zookeeper_source is not None:
            from sorrelfront.daemon import ephemeral

            self._zookeeper_source.change(ephemeral.source_settings(table["zookeeper"]))
        if self._fleet_member is not None and table.get("fleet") is not None:
            self._fleet_member.change(table["fleet"])
        if self._partner_sites is not None and table.get("site") is not None:
            self._partner_sites.change(table["site"], config)
        self._agent.reload(config)
        self._table, self._config = table, config
        if (
            self._policy_overlay is not None
            and self._fleet_member is not None
            and self._fleet_member.policy_member is not None
        ):
            self._policy_overlay.table = table
            self._fleet_member.policy_member.reapply()
        self._set_seat(self._seat)

    def _set_seat(self, seat: int | None) -> None:
        """Use this seat among the instances; None is the number that the file gives."""
        self._seat = seat
        if self._agent is None or self._config is None:
            return
        settings = self._config.settings
        if seat is None:
            self._agent.set_subset(settings.number, settings.agents)
        else:
            self._agent.set_subset(seat_allocation.ring_point(seat), seat_allocation.RING_POINTS)

    def _evidence(self, server: str, since: int) -> Answering:
        """Return what attempts since `since` (agent time, us) show about a server."""
        known = self._agent.balancer.servers.get(server) if self._agent is not None else None
        if known is None:
            return Answering.UNKNOWN
        if known.breaker.failures:
            return Answering.NO
        return Answering.YES if known.last_answer_at >= since else Answering.UNKNOWN

    def _update_listeners(self, config: Config, sockets: list[socket.socket]) -> None:
        """Listen on these sockets too, and resize the limits of existing listeners.

        Listeners whose socket is not among them stay until the commit, when all instances have applied the
        configuration, so that a rollback is possible.
        """
        assert self._agent is not None and self._memory_budget is not None
        wanted: dict[Address, socket.socket] = {sock.getsockname(): sock for sock in sockets}
        self._current_addresses = set(wanted)
        self._memory_budget.resize(config.memory_bytes, config.sockets)
        descriptors = Descriptors(config.sockets)
        share = max(1, len(wanted))
        descriptors.clients //= share
        descriptors.max_active //= share
        for address, sock in wanted.items():
            if address in self._listeners:
                self._listeners[address].resize(descriptors)
            else:
                self._listeners[address] = Listener(self._agent, sock, descriptors, self._memory_budget)

    def _commit(self) -> None:
        """Commit the last configuration: drain and close the listeners that it does not name."""
        for address in [address for address in self._listeners if address not in self._current_addresses]:
            task = asyncio.create_task(self._listeners.pop(address).close())
            self._closing_listeners.add(task)
            task.add_done_callback(self._closing_listeners.discard)

    def _send_heartbeat(self) -> None:
        agent = self._agent
        assert agent is not None
        figures: dict[str, Any] = {
            "offered": agent.requests_taken, "served": agent.served, "refused": agent.refused,
            "failed": agent.failed, "held": agent.pending_requests, "attempts": agent.attempts,
            "connections": sum(listener.connections for listener in self._listeners.values()),
            "servers": len(agent.balancer.servers), "ready_servers": len(agent.balancer.ready),
        }  # fmt: skip
        if self._memory_budget is not None:
            figures["memory"] = {
                "held": self._memory_budget.held,
                "budget": self._memory_budget.max_bytes,
                "anonymous": anonymous_bytes(),
            }
        if self._answers is not None:
            figures["answers"] = {"unfinished": self._answers.unfinished, "cut": self._answers.cut}
        if self._zookeeper_source is not None:
            figures |= self._zookeeper_source.status()
        if self._fleet_member is not None:
            self._update_replication(self._fleet_member)
            figures["fleet"] = self._fleet_member.status()
            if self._policy_overlay is not None:
                figures["fleet"]["requests"] = self._admission_figures()
            if self._partner_sites is not None:
                figures["site"] = self._partner_sites.status()
            point = self._fleet_member.new_slice_start()
            if point is not None:
                agent.set_subset(point, seat_allocation.RING_POINTS)
        self.send_to_supervisor({"op": "beat", "figures": figures})
        asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _update_replication(self, member: FleetMembership) -> None:
        if member.replicator is None:
            return
        age_us = (
            self._registry_source.clock.age_us(registry.now_us())
            if self._registry_source is not None
            else None
        )
        if age_us is not None and age_us <= READ_TIMEOUT_US:
            member.replicator.on_list_unchanged()
        member.replicator.maintain()

    def _admission_figures(self) -> dict[str, int]:
        from sorrelfront.daemon.gate import GatedAgent

        return asdict(self._agent.admission_counts) if isinstance(self._agent, GatedAgent) else {}

    async def close(self) -> None:
        """Complete the requests in flight, or fail them at once after an abort."""
        agent = self._agent
        if self._fleet_member is not None:
            # First, because the successor with this name may be waiting for the address.
            self._fleet_member.close(self._leave_fleet)
        if self._orphan_timer is not None:
            self._orphan_timer.cancel()
        if agent is None:
            return
        if not self.abort_requested:
            ends = [item.close(self.others_accept) for item in self._listeners.values()]
            if self._partner_sites is not None:
                ends.append(self._partner_sites.drain())
            closing = {*map(asyncio.create_task, ends), *self._closing_listeners}
            while closing and not self.abort_requested:
                _, closing = await asyncio.wait(closing, timeout=0.05)
            for task in closing:
                task.cancel()
        if self.abort_requested:
            agent.fail_all()
            await asyncio.sleep(FLUSH_DELAY_S)
        if self._partner_sites is not None:
            await self._partner_sites.stop()
        agent.close()

    def close_adoption_socket(self) -> None:
        """Close the adoption socket, the last step."""
        self._adoption_socket.close()
        if self._instance_ids is not None:
            self._instance_ids.close()


async def run(channel: socket.socket, name: str, number: int, folder: Path) -> None:
    """Run one instance until it is told to stop. Raises OSError if its adoption socket cannot be opened."""
    instance = Instance(channel, name, number, folder)
    on_signal(signal.SIGTERM, instance.stop_requested.set)
    instance.watch()
    await instance.stop_requested.wait()
    try:
        await instance.close()
    finally:
        instance.close_adoption_socket()
    ignore_until_exit(signal.SIGTERM)


def main() -> int:
    """Run the instance that the command line describes and return its exit status."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # a terminal signals the whole group; the supervisor decides
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logs.configure(sys.argv[5], sys.argv[6], instance=sys.argv[2], run=int(sys.argv[3]))
    gc.freeze()
    gc.set_threshold(5_000, 4, 2)
    map_long_blocks()
    channel = socket.socket(fileno=int(sys.argv[1]))
    channel.setblocking(False)
    asyncio.run(run(channel, sys.argv[2], int(sys.argv[3]), Path(sys.argv[4])))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
