"""One member's part in agreeing on the fleet's policy: its voter if it is one, its lease, and its proposals.

This module does the I/O: messages, records and timers. The protocol is in `decisions.fleet`.

A voter's record is on disk before any message that depends on it is sent. A member that learns of a newer
version admits nothing more under the previous one, lets requests in flight finish, applies the newer version,
and only then releases its lease on the previous one.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

from sorrelfront.decisions.fleet.change import Change, Outcome
from sorrelfront.decisions.fleet.messages import MalformedMessage
from sorrelfront.decisions.fleet.policy import (
    Accepted,
    Chosen,
    Current,
    Grant,
    Initialize,
    LearnRequest,
    LeaseHolder,
    Persist,
    PolicyMessage,
    Promise,
    Record,
    Reject,
    Release,
    Renew,
    Send,
    StateQuery,
    Uninitialized,
    ValidationReply,
    ValidationRequest,
    Value,
    Voter,
    VoterState,
    digest_of,
    start_voter,
)
from sorrelfront.decisions.fleet.policy_codec import (
    decode_record,
    decode_remembered,
    encode_record,
    encode_remembered,
)
from sorrelfront.fleet.transport import now_us

log = logging.getLogger("sorrelfront.fleet")

MAX_INBOX_MESSAGES = 1_024  # messages that wait for a voter's disk; beyond this they are dropped and counted
RENEWALS_PER_LEASE = 4  # three may be lost without losing the lease
# Between two requests while it has no lease; the interval doubles from the first to the second. Other members
# release theirs within milliseconds, or it takes up to a whole lease.
MIN_REQUEST_INTERVAL_US, MAX_REQUEST_INTERVAL_US = 20_000, 160_000
TICK_RANGE_US = (5_000, 100_000)  # the shortest and the longest sleep
QUERY_TIMEOUT_S = 1.0  # for voters to answer an operator's query
FORCED_SLOT_GAP = 100  # slots that a forced policy skips, so that no slot that was voted in is used again


class LeaseStatus(Enum):
    """Whether a request that arrives now may be admitted."""

    LEASED = "leased"  # served under a version that a majority has granted
    FREE = "free"  # the fleet has no policy yet: served by this host's file
    WAIT = "wait"  # no lease yet, but one may be granted shortly
    CUT_OFF = "cut off"  # no lease, and none was granted in time


@dataclass(frozen=True, slots=True)
class Ports:
    """The operations that a policy member needs from its surroundings."""

    send: Callable[[str, PolicyMessage], None]  # send a message to the member of this name
    persist_vote: Callable[
        [bytes], Awaitable[None]
    ]  # persist the vote; durable once it returns; raises OSError
    store_served: Callable[[bytes], None]  # store the served version in the background
    live_members: Callable[[], list[str]]  # the live members
    rejection_reason: Callable[
        [bytes], str
    ]  # the reason why this member would reject a policy; empty if it accepts
    apply: Callable[[int, bytes], str]  # apply a version; returns a fault if that is not possible
    none_in_flight: Callable[[], bool]  # whether no request is in flight under the previous version
    on_lease_granted: Callable[[], None]  # a lease was granted: requests that wait for one may be admitted


class PolicyMember:
    """This member's part in the agreement. `start` it, pass messages to `receive`, and `close` it."""

    def __init__(
        self, name: str, voters: tuple[str, ...], lease_us: int, ports: Ports,
        vote: bytes | None, held: bytes | None,
    ) -> None:  # fmt: skip
        """Restore the voter from `vote` and the served version from `held`, the stored records or None."""
        now = now_us()
        self.name, self.voters, self.lease_us = name, voters, lease_us
        self._ports = ports
        self.voter: Voter | None = None
        if name in voters:
            self.voter = start_voter(name, voters, _decode_record(vote), lease_us, now, new_fleet=False)
        version, document = _decode_held(held)
        self.holder = LeaseHolder(name, voters, lease_us, version, document)
        self._founded = held is not None
        self._stored_version = version if held is not None else -1
        self.applied_version = 0  # the version that is applied, and that requests are decided under
        self._switching = False  # a newer version is known, and requests are in flight under the previous one
        self._previous_lease_until = 0  # when the lease on the previous version expires
        self._wait_until = now + self._grant_timeout_us  # for a lease; past it, the member is cut off
        self._without_lease = True  # has no lease, as of the last check
        self._uninitialized: set[str] = set()
        self.fault = ""
        self.change: Change | None = None
        self._states: dict[str, VoterState] = {}
        self._query_id = 0
        self._random = Random()  # seeded differently in each member, so that their timers spread
        self._inbox: deque[tuple[str, PolicyMessage]] = deque()
        self._inbox_filled = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._next_renewal = 0
        self._request_interval_us = MIN_REQUEST_INTERVAL_US
        self._next_catch_up = 0
        self.counts = dict.fromkeys(("said", "heard", "dropped", "unkept", "moves"), 0)

    def start(self) -> None:
        """Apply the stored version, if there is one, and start the timers."""
        if self.holder.version:
            self._apply()
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._tick())]
        if self.voter is not None:
            self._tasks.append(loop.create_task(self._run_voter()))
        for task in self._tasks:
            task.add_done_callback(_log_failure)

    def close(self) -> None:
        """Stop taking part. The lease is not released; it expires."""
        for task in self._tasks:
            task.cancel()

    # Requests

    def lease_status(self) -> LeaseStatus:
        """Whether a request that arrives now may be admitted.

        Checked for each request: a process that was suspended notices an expired lease only by checking.
        """
        now = now_us()
        if not self._switching and not self.fault and self.holder.serving_version(now) is not None:
            return LeaseStatus.LEASED
        if self.free:
            return LeaseStatus.FREE
        if not self._without_lease and not self._switching:
            self._without_lease = True  # it has expired, after several attempts to renew it
            log.warning("the lease on version %d has expired and was not renewed", self.applied_version)
        return LeaseStatus.WAIT if now < self._wait_until else LeaseStatus.CUT_OFF

    @property
    def _grant_timeout_us(self) -> int:
        """How long a starting or switching member waits for a grant: older leases may have to expire."""
        return int(self.lease_us * 1.25)

    @property
    def free(self) -> bool:
        """Whether a majority of the voters is uninitialized, and this member has never seen a policy."""
        return not self._founded and len(self._uninitialized) > len(self.voters) // 2

    def may_attempt(self, version: int) -> bool:
        """Whether a request that was admitted under a lease on this version may start an attempt now."""
        now = now_us()
        if self._switching:
            return version == self.applied_version and now < self._previous_lease_until
        return version == self.applied_version and self.holder.serving_version(now) == version

    # Messages

    def receive(self, sender: str, message: PolicyMessage) -> None:
        """Handle a message from another member, or from this one."""
        self.counts["heard"] += 1
        now = now_us()
        match message:
            case Grant():
                self._on_grant(message, now)
            case Current():
                self._on_current(message)
                self._to_voter(sender, message)
            case Uninitialized():
                self._uninitialized.add(message.voter)
            case ValidationRequest():
                self._send(
                    message.requester,
                    ValidationReply(
                        message.number, self.name, self._ports.rejection_reason(message.document)[:400]
                    ),
                )
            case VoterState():
                if message.number == self._query_id:
                    self._states[message.voter] = message
                self._to_change(message, now)
            case Promise() | Accepted() | Reject() | ValidationReply():
                self._to_change(message, now)
            case Renew() | Release() | StateQuery():
                self._step_leases(sender, message)
            case LearnRequest() | Chosen():
                self._to_voter(sender, message)
                self._to_change(message, now)
            case _:
                self._to_voter(sender, message)

    def _to_change(self, message: PolicyMessage, now: int) -> None:
        if self.change is not None:
            for send in self.change.on_message(message, now):
                self._send(send.to, send.message)

    def _to_voter(self, sender: str, message: PolicyMessage) -> None:
        if self.voter is None:
            return
        if len(self._inbox) >= MAX_INBOX_MESSAGES:
            self.counts["dropped"] += 1
            return
        self._inbox.append((sender, message))
        self._inbox_filled.set()

    def _send(self, to: str, message: PolicyMessage) -> None:
        self.counts["said"] += 1
        if to == self.name:
            asyncio.get_running_loop().call_soon(self.receive, self.name, message)
        else:
            self._ports.send(to, message)

    # Voting

    async def _run_voter(self) -> None:
        """Handle all waiting messages in order, persist one record for all of them, then send the answers.

        With one write per message, a slow disk would fall further and further behind.
        """
        while True:
            await self._inbox_filled.wait()
            self._inbox_filled.clear()
            assert self.voter is not None
            before = after = self.voter
            actions: list[Persist | Send] = []
            while self._inbox:
                sender, message = self._inbox.popleft()
                after, more = after.step(message, sender, now_us())
                actions += more
            if not await self._persist(before.record, after.record):
                continue  # as if the messages had been lost
            # Keep leases that were granted during the write, from the state on disk.
            self.voter = self.voter._replace(
                record=after.record,
                recovery_replies=after.recovery_replies,
                no_grants_until_us=after.no_grants_until_us,
            )
            for action in actions:
                if isinstance(action, Send):
                    self._send(action.to, action.message)
            self._follow_voter(before.record, after.record)

    async def _persist(self, before: Record | None, after: Record | None) -> bool:
        if after is None or after == before:
            return True
        try:
            await self._ports.persist_vote(encode_record(after))
        except OSError as fault:
            self.counts["unkept"] += 1
            log.warning(
                "a vote is not given, since its record cannot be written: %s", fault.strerror or fault
            )
            return False
        return True

    def _step_leases(self, sender: str, message: PolicyMessage) -> None:
        """Handle messages that do not change the record, at once: leases must not wait for a slow disk."""
        if self.voter is not None:
            self.voter, actions = self.voter.step(message, sender, now_us())
            for action in actions:
                if isinstance(action, Send):
                    self._send(action.to, action.message)

    def _follow_voter(self, before: Record | None, after: Record | None) -> None:
        """Pass a newer version that this process's voter has learned to its member."""
        assert self.voter is not None
        if after is not None and (before is None or after.slot > before.slot):
            for current in self.voter.current():
                self._on_current(current)

    # Serving

    def _on_grant(self, message: Grant, now: int) -> None:
        self._uninitialized.discard(message.voter)
        self.holder = self.holder.on_grant(message, now)
        if self._switching or self.fault or self.holder.serving_version(now) is None:
            return
        self._founded = True
        self._wait_until = 0
        if self._without_lease:
            self._without_lease = False
            log.info("version %d is in force on this member", self.holder.version)
            self._ports.on_lease_granted()
        if self._stored_version != self.holder.version:
            self._stored_version = self.holder.version
            self._ports.store_served(encode_remembered(self.holder.version, self.holder.document))

    def _on_current(self, message: Current) -> None:
        now = now_us()
        before = self.holder
        after, newer = before.on_current(message)
        if not newer:
            return
        self._founded = True
        if not self._switching:
            self._previous_lease_until = before.lease_until_us()
            self._switching = True
        if now >= self._wait_until:
            self._wait_until = now + self._grant_timeout_us
        self._without_lease = True
        self.holder = after
        self.counts["moves"] += 1
        self._finish_switch()

    def _finish_switch(self) -> None:
        """Apply the newer version once no request is in flight under the previous one, or its lease ended."""
        if not self._switching or not (
            self._ports.none_in_flight() or now_us() >= self._previous_lease_until
        ):
            return
        self._switching = False
        self._apply()
        for send in self.holder.release_messages():
            self._send(send.to, send.message)
        self._request_interval_us = MIN_REQUEST_INTERVAL_US
        self._renew(now_us())

    def _apply(self) -> None:
        self.applied_version = self.holder.version
        self.fault = self._ports.apply(self.holder.version, self.holder.document)
        if self.fault:
            log.error("version %d cannot be applied: %s", self.holder.version, self.fault)

    def _renew(self, now: int) -> None:
        leased = self.holder.serving_version(now) is not None
        self._next_renewal = now + (
            self.lease_us // RENEWALS_PER_LEASE if leased else self._request_interval_us
        )
        self._request_interval_us = (
            MIN_REQUEST_INTERVAL_US if leased else min(2 * self._request_interval_us, MAX_REQUEST_INTERVAL_US)
        )
        if self._switching or self.fault:
            return  # a request for the newer version would imply that no older one is served any more
        for send in self.holder.renew(now):
            self._send(send.to, send.message)

    # Timers

    async def _tick(self) -> None:
        while True:
            now = now_us()
            self._finish_switch()
            if now >= self._next_renewal:
                self._renew(now)
            if self.voter is not None and now >= self._next_catch_up:
                self._next_catch_up = now + self.lease_us // 2
                self._catch_up(self.voter)
            if self.change is not None and not self.change.done:
                for send in self.change.on_timer(now):
                    self._send(send.to, send.message)
            await asyncio.sleep(self._pause_us(now) / 1e6)

    def _pause_us(self, now: int) -> int:
        shortest, longest = TICK_RANGE_US
        due = self._next_renewal
        if self.change is not None and not self.change.done:
            due = min(due, self.change.next_due_us())
        return shortest if self._switching else min(longest, max(shortest, due - now))

    def _catch_up(self, voter: Voter) -> None:
        """Ask the other voters for newer values; a voter without a record asks for their latest slots."""
        for send in voter.recovery_actions():
            if isinstance(send, Send):
                self._send(send.to, send.message)
        if voter.record is not None:
            for other in self.voters:
                if other != self.name:
                    self._send(other, LearnRequest(voter.record.slot + 1, self.name))

    def reapply(self) -> None:
        """Apply the version again after this host's file has changed.

        A policy that could not be applied may be applicable now; one in force has to overlay the new file.
        """
        if not self._switching and self.holder.version:
            self._apply()

    # Operators

    def propose(self, value: Value, base_version: int | None) -> bool:
        """Start a change. Returns False if this member has another one under way."""
        if self.change is not None and not self.change.done:
            return self.change.value.change == value.change
        self.change = Change(
            self.name,
            self.voters,
            value,
            base_version,
            self.lease_us,
            self._ports.live_members(),
            self._random,
            now_us(),
        )
        for send in self.change.on_timer(now_us()):
            self._send(send.to, send.message)
        return True

    def latest_proposal(self) -> tuple[str, Outcome] | None:
        """The id and the outcome so far of the change that this member proposed last."""
        return None if self.change is None else (self.change.value.change, self.change.outcome)

    async def query_voters(self, history: bool) -> dict[str, VoterState]:
        """Query the voters' states; returns those that arrive within a second."""
        self._query_id = self._random.getrandbits(52)
        self._states = {}
        for voter in self.voters:
            self._send(voter, StateQuery(self._query_id, self.name, history))
        until = now_us() + int(QUERY_TIMEOUT_S * 1e6)
        while len(self._states) < len(self.voters) and now_us() < until:
            await asyncio.sleep(0.01)
        return dict(self._states)

    async def found_fleet(self, forced: Value | None) -> tuple[dict[str, VoterState], str]:
        """Initialize all voters for a new fleet or, with `forced`, continue from this value.

        Returns the voters' states afterwards, and a fault, empty if there is none.
        """
        known = await self.query_voters(False)
        latest = max((item.slot for item in known.values()), default=-1)
        if forced is None and (latest > 0 or self.holder.version > 0):
            return known, f"this fleet has a policy: version {max(latest, self.holder.version)}"
        if forced is None and len(known) < len(self.voters):
            missing = ", ".join(sorted(set(self.voters) - set(known)))
            return known, f"a new fleet takes all voters; silent: {missing}"
        slot = 0 if forced is None else max(latest, self.holder.version) + FORCED_SLOT_GAP
        for voter in self.voters:
            self._send(voter, Initialize(slot, forced, self.name))
        await asyncio.sleep(MAX_REQUEST_INTERVAL_US / 1e6)
        return await self.query_voters(False), ""

    # Metrics

    def status(self) -> dict[str, Any]:
        """Version, lease and message counts, for status and metrics."""
        now = now_us()
        return {
            "version": self.applied_version,
            "digest": digest_of(self.holder.document) if not self._switching else "",
            "standing": self.lease_status().value, "fault": self.fault,
            "lease_left_s": round(max(0, self.holder.lease_until_us() - now) / 1e6, 3),
            "inbox": len(self._inbox),
            **self.counts,
        }  # fmt: skip


def _decode_record(data: bytes | None) -> Record | None:
    if data is None:
        return None
    try:
        return decode_record(data)
    except MalformedMessage as fault:
        log.warning("this voter's record cannot be decoded: %s", fault)
        return None


def _decode_held(data: bytes | None) -> tuple[int, bytes]:
    if data is None:
        return 0, b""
    try:
        return decode_remembered(data)
    except MalformedMessage as fault:
        log.warning("the stored policy cannot be decoded: %s", fault)
        return 0, b""


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("a task of the policy member has failed", exc_info=task.exception())
