"""An agent that takes requests by a policy that the fleet has granted: what waits, what is refused, what is
not tried again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, cast

from sorrelfront.agent import Held
from sorrelfront.daemon import gate
from sorrelfront.daemon.gate import HEADER, WAITING_MOST, GatedAgent
from sorrelfront.decisions.interface import Outcome
from sorrelfront.fleet.council import Council, Standing
from sorrelfront.lab.http1 import member, table
from sorrelfront.messages import Address, Answer, Call, Ended, Failed, Refused
from sorrelfront.platform.config import parse


class FakeCouncil:
    """What the gate asks of one."""

    def __init__(self) -> None:
        self.now, self.taken, self.free = Standing.LEASED, 1, False
        self.valid = True  # the lease on the version taken

    def standing(self) -> Standing:
        return self.now

    def may_go_on(self, version: int) -> bool:
        return self.valid and version == self.taken


class FakeUpstream:
    """Attempts end as the test says, one after the other; none begins by itself."""

    def __init__(self) -> None:
        self.attempts: list[asyncio.Future[Ended]] = []

    def begin(self, *told: Any) -> None:
        return None

    async def attempt(self, call: Call, address: Address, timeout_us: int, fit: Callable[[], bool]) -> Ended:
        self.attempts.append(asyncio.get_running_loop().create_future())
        return await self.attempts[-1]

    def forget(self, address: Address) -> None: ...

    def reload(self, config: Any) -> None: ...

    def close(self) -> None: ...


class FakeSource:
    def subscribe(self) -> None: ...

    def reload(self, config: Any) -> None: ...

    def close(self) -> None: ...


class Made:
    """An agent between fakes."""

    def __init__(self) -> None:
        self.council, self.upstream = FakeCouncil(), FakeUpstream()
        servers = [member("s1", "127.0.0.1:1"), member("s2", "127.0.0.1:2")]
        config = parse(table("127.0.0.1:9", servers))
        self.agent = GatedAgent(config, self.upstream, lambda *told: FakeSource())
        self.agent.council = cast(Council, self.council)
        self.agent.header = True
        self.agent.start()
        self.count = 0

    def take(self, cls: str = "look") -> Held:
        self.count += 1
        return self.agent.take(Call(b"c%d" % self.count, cls, 4_000_000, None))

    async def attempt(self, count: int) -> asyncio.Future[Ended]:
        """Wait until so many have begun."""
        async with asyncio.timeout(5):
            while len(self.upstream.attempts) < count:
                await asyncio.sleep(0)
        return self.upstream.attempts[count - 1]


def looped(test: Callable[[Made], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    @wraps(test)
    def run() -> None:
        async def main() -> None:
            made = Made()
            try:
                await test(made)
            finally:
                made.agent.close()

        asyncio.run(main())

    del run.__wrapped__
    return run


def header(held: Held) -> bytes:
    answer = held.answer.result()
    assert isinstance(answer, Answer)
    return dict(answer.headers)[HEADER]


@looped
async def test_an_answer_says_by_which_version_it_was_decided(made: Made) -> None:
    held = made.take()
    assert not made.agent.finished
    (await made.attempt(1)).set_result(Ended(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"1" and made.agent.finished and made.agent.gate.inside == 1


@looped
async def test_what_comes_while_a_change_takes_hold_waits_and_is_decided_by_the_newer(made: Made) -> None:
    made.council.now = Standing.WAIT
    held = made.take()
    await asyncio.sleep(0)
    assert not made.upstream.attempts and made.agent.finished  # it holds the change up no longer
    made.council.now, made.council.taken = Standing.LEASED, 2
    made.agent.opened()
    (await made.attempt(1)).set_result(Ended(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"2"


@looped
async def test_who_waits_may_go_away_and_only_so_many_wait(made: Made) -> None:
    made.council.now = Standing.WAIT
    first = made.take()
    made.agent.abandon(first)
    waiting = [made.take() for _ in range(WAITING_MOST)]
    turned_away = made.take()
    assert isinstance(turned_away.answer.result(), Refused)
    made.agent.fail_all()
    assert all(isinstance(held.answer.result(), Failed) for held in waiting)
    made.council.now = Standing.LEASED
    made.agent.opened()
    await asyncio.sleep(0)
    assert not made.upstream.attempts and made.agent.owed == 0


@looped
async def test_what_has_waited_for_long_enough_is_refused(made: Made) -> None:
    made.council.now = Standing.WAIT
    before, gate.WAIT_S = gate.WAIT_S, 0.0
    try:
        answer = await made.take().answer
    finally:
        gate.WAIT_S = before
    assert isinstance(answer, Refused) and answer.retry_after_us > 0 and not made.upstream.attempts


@looped
async def test_cut_off_each_class_goes_on_or_is_refused_as_its_operator_says(made: Made) -> None:
    made.agent.isolation = {"pay": "refuse", "look": "go-on"}
    made.council.now, made.council.valid = Standing.CUT_OFF, False
    assert isinstance(made.take("pay").answer.result(), Refused)
    held = made.take("look")
    (await made.attempt(1)).set_result(Ended(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"1 outside" and made.agent.gate.outside == 1


@looped
async def test_nothing_is_tried_again_once_its_version_is_not_served_by_any_more(made: Made) -> None:
    """The first attempt never ran, so another would be allowed; the policy that allows it is gone."""
    made.agent.isolation = {"look": "refuse"}
    held = made.take()
    first = await made.attempt(1)
    made.council.valid = False
    first.set_result(Ended(Outcome.UNREACHABLE))
    assert isinstance(await held.answer, Failed)
    await asyncio.sleep(0)
    assert len(made.upstream.attempts) == 1 and made.agent.gate.ended == 1
    assert made.agent.finished and not made.agent.balancer.held and not made.agent.balancer.attempts


@looped
async def test_a_lease_that_ends_between_taking_and_sending_is_a_refusal(made: Made) -> None:
    made.agent.isolation = {"pay": "refuse"}
    made.council.valid = False
    assert isinstance(await made.take("pay").answer, Refused)
    await asyncio.sleep(0)
    assert not made.upstream.attempts and not made.agent.balancer.attempts


@looped
async def test_before_a_fleet_is_founded_and_without_a_council_all_is_as_without(made: Made) -> None:
    made.council.now, made.council.free, made.council.valid = Standing.FREE, True, False
    held = made.take()
    (await made.attempt(1)).set_result(Ended(Outcome.OK, Answer(200)))
    await held.answer
    assert header(held) == b"0"
    made.agent.council = None
    plain = made.take()
    (await made.attempt(2)).set_result(Ended(Outcome.OK, Answer(200)))
    answer = await plain.answer
    assert isinstance(answer, Answer) and not answer.headers
