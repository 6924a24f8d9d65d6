"""An agent that admits requests under a lease on the policy: what waits, is refused, or is not retried."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, cast

from sorrelfront.agent import PendingRequest
from sorrelfront.daemon import gate
from sorrelfront.daemon.gate import MAX_WAITING, POLICY_HEADER, GatedAgent
from sorrelfront.decisions.interface import Outcome
from sorrelfront.fleet.policy_member import LeaseStatus, PolicyMember
from sorrelfront.lab.http1 import make_config, member
from sorrelfront.messages import Address, Answer, AttemptResult, Call, Failed, Refused
from sorrelfront.platform.config import parse


class FakePolicyMember:
    """The parts of a policy member that the gate uses."""

    def __init__(self) -> None:
        self.now, self.applied_version, self.free = LeaseStatus.LEASED, 1, False
        self.valid = True  # the lease on the applied version

    def lease_status(self) -> LeaseStatus:
        return self.now

    def may_attempt(self, version: int) -> bool:
        return self.valid and version == self.applied_version


class FakeUpstream:
    """Attempts end with the result that the test sets, in order."""

    def __init__(self) -> None:
        self.attempts: list[asyncio.Future[AttemptResult]] = []

    def begin(self, *arguments: Any) -> None:
        return None

    async def attempt(
        self, call: Call, address: Address, timeout_us: int, may_send: Callable[[], bool]
    ) -> AttemptResult:
        self.attempts.append(asyncio.get_running_loop().create_future())
        return await self.attempts[-1]

    def forget(self, address: Address) -> None: ...

    def reload(self, config: Any) -> None: ...

    def close(self) -> None: ...


class FakeSource:
    def subscribe(self) -> None: ...

    def reload(self, config: Any) -> None: ...

    def close(self) -> None: ...


class Setup:
    """An agent with a fake policy member, upstream and source."""

    def __init__(self) -> None:
        self.policy_member, self.upstream = FakePolicyMember(), FakeUpstream()
        servers = [member("s1", "127.0.0.1:1"), member("s2", "127.0.0.1:2")]
        config = parse(make_config("127.0.0.1:9", servers))
        self.agent = GatedAgent(config, self.upstream, lambda *arguments: FakeSource())
        self.agent.policy_member = cast(PolicyMember, self.policy_member)
        self.agent.adds_policy_header = True
        self.agent.start()
        self.count = 0

    def take(self, cls: str = "look") -> PendingRequest:
        self.count += 1
        return self.agent.submit(Call(b"c%d" % self.count, cls, 4_000_000, None))

    async def attempt(self, count: int) -> asyncio.Future[AttemptResult]:
        """Wait until `count` attempts have begun, and return the last of them."""
        async with asyncio.timeout(5):
            while len(self.upstream.attempts) < count:
                await asyncio.sleep(0)
        return self.upstream.attempts[count - 1]


def looped(test: Callable[[Setup], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    @wraps(test)
    def run() -> None:
        async def main() -> None:
            setup = Setup()
            try:
                await test(setup)
            finally:
                setup.agent.close()

        asyncio.run(main())

    del run.__wrapped__
    return run


def header(held: PendingRequest) -> bytes:
    answer = held.answer.result()
    assert isinstance(answer, Answer)
    return dict(answer.headers)[POLICY_HEADER]


@looped
async def test_an_answer_names_the_version_that_it_was_decided_under(setup: Setup) -> None:
    held = setup.take()
    assert not setup.agent.none_in_flight
    (await setup.attempt(1)).set_result(AttemptResult(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"1" and setup.agent.none_in_flight and setup.agent.admission_counts.inside == 1


@looped
async def test_a_request_during_a_change_waits_and_is_decided_under_the_newer_version(setup: Setup) -> None:
    setup.policy_member.now = LeaseStatus.WAIT
    held = setup.take()
    await asyncio.sleep(0)
    assert (
        not setup.upstream.attempts and setup.agent.none_in_flight
    )  # a waiting request does not delay the change
    setup.policy_member.now, setup.policy_member.applied_version = LeaseStatus.LEASED, 2
    setup.agent.on_lease_granted()
    (await setup.attempt(1)).set_result(AttemptResult(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"2"


@looped
async def test_a_waiting_client_may_leave_and_the_queue_is_bounded(setup: Setup) -> None:
    setup.policy_member.now = LeaseStatus.WAIT
    first = setup.take()
    setup.agent.abandon(first)
    waiting = [setup.take() for _ in range(MAX_WAITING)]
    refused = setup.take()
    assert isinstance(refused.answer.result(), Refused)
    setup.agent.fail_all()
    assert all(isinstance(held.answer.result(), Failed) for held in waiting)
    setup.policy_member.now = LeaseStatus.LEASED
    setup.agent.on_lease_granted()
    await asyncio.sleep(0)
    assert not setup.upstream.attempts and setup.agent.pending_requests == 0


@looped
async def test_a_request_that_has_waited_too_long_is_refused(setup: Setup) -> None:
    setup.policy_member.now = LeaseStatus.WAIT
    before, gate.MAX_WAIT_S = gate.MAX_WAIT_S, 0.0
    try:
        answer = await setup.take().answer
    finally:
        gate.MAX_WAIT_S = before
    assert isinstance(answer, Refused) and answer.retry_after_us > 0 and not setup.upstream.attempts


@looped
async def test_while_cut_off_each_class_goes_on_or_is_refused_as_configured(setup: Setup) -> None:
    setup.agent.isolation = {"pay": "refuse", "look": "go-on"}
    setup.policy_member.now, setup.policy_member.valid = LeaseStatus.CUT_OFF, False
    assert isinstance(setup.take("pay").answer.result(), Refused)
    held = setup.take("look")
    (await setup.attempt(1)).set_result(AttemptResult(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"1 outside" and setup.agent.admission_counts.outside == 1


@looped
async def test_no_retry_once_the_version_of_a_request_may_not_be_served(setup: Setup) -> None:
    """The first attempt never ran, so a retry would be safe, but the policy that allows it has expired."""
    setup.agent.isolation = {"look": "refuse"}
    held = setup.take()
    first = await setup.attempt(1)
    setup.policy_member.valid = False
    first.set_result(AttemptResult(Outcome.UNREACHABLE))
    assert isinstance(await held.answer, Failed)
    await asyncio.sleep(0)
    assert len(setup.upstream.attempts) == 1 and setup.agent.admission_counts.ended == 1
    assert setup.agent.none_in_flight and not setup.agent.balancer.held and not setup.agent.balancer.attempts


@looped
async def test_a_lease_that_expires_between_admission_and_sending_is_a_refusal(setup: Setup) -> None:
    setup.agent.isolation = {"pay": "refuse"}
    setup.policy_member.valid = False
    assert isinstance(await setup.take("pay").answer, Refused)
    await asyncio.sleep(0)
    assert not setup.upstream.attempts and not setup.agent.balancer.attempts


@looped
async def test_all_is_admitted_before_a_fleet_has_a_policy_and_without_a_policy_member(setup: Setup) -> None:
    setup.policy_member.now, setup.policy_member.free, setup.policy_member.valid = (
        LeaseStatus.FREE,
        True,
        False,
    )
    held = setup.take()
    (await setup.attempt(1)).set_result(AttemptResult(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"0"
    setup.agent.policy_member = None
    plain = setup.take()
    (await setup.attempt(2)).set_result(AttemptResult(Outcome.OK, Answer(200)))
    answer = await plain.answer
    assert isinstance(answer, Answer) and not answer.headers
