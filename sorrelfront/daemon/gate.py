"""An agent that takes a request only by a policy that the fleet has granted, and sees it through by that one.

Each request bears a mark: the version that it was taken by, and whether that was inside the promise. A
further attempt is made only while that version may still be served by. What cannot be decided now, since a
change is taking hold, waits for a moment; what may not be decided at all is refused at once: nothing ran."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from sorrelfront.agent import DEADLINE_MARGIN_US, OVERDUE_US, Agent, Held
from sorrelfront.decisions import interface as api
from sorrelfront.fleet.council import Council, Standing
from sorrelfront.messages import Answer, Call, Ended, Failed, Final, Refused

WAITING_MOST = 512  # requests that wait for a change to take hold
WAIT_S = 0.5  # for it; one that has not come then is refused, and may come again
COME_BACK_US = 500_000  # about when it is worth another try: leases are renewed more often
HEADER = b"X-Sorrelfront-Policy"


class Mark(NamedTuple):
    """How a request was taken. `inside`: of what is promised."""

    version: int
    inside: bool


@dataclass(slots=True)
class Counts:
    """Requests by how they stood with the promise."""

    inside: int = 0
    outside: int = 0  # taken while cut off, by the policy that was there
    waited: int = 0
    refused: int = 0  # for want of a lease
    ended: int = 0  # not tried again, since their version was not served by any more


class GatedAgent(Agent):
    """With `council` set it goes by its word; without, it is an agent like any other."""

    council: Council | None = None
    isolation: dict[str, str]
    header = False

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self.isolation = {}
        self.gate = Counts()
        self._marks: dict[int, Mark] = {}
        self._waiting: dict[int, tuple[Held, int]] = {}  # with when its time is up, on the agent's clock

    # Taking

    def _mark(self, cls: str) -> Mark | Standing:
        council = self.council
        assert council is not None
        standing = council.standing()
        if standing is Standing.LEASED:
            return Mark(council.taken, True)
        if standing is Standing.FREE:
            return Mark(0, True)
        if standing is Standing.CUT_OFF and self.isolation.get(cls, "go-on") == "go-on":
            return Mark(council.taken, False)
        return standing

    def take(self, call: Call) -> Held:
        if self.council is None:
            return super().take(call)
        mark = self._mark(call.class_name)
        if isinstance(mark, Mark):
            number = self._count + 1
            self._marks[number] = mark  # before it is decided: its first attempt asks for it
            held = super().take(call)
            if number not in self._held:
                self._marks.pop(number, None)
            self._counted(mark)
            return held
        if mark is Standing.WAIT and call.upload is None and len(self._waiting) < WAITING_MOST:
            return self._wait(call)
        return self._turned_away(call)

    def _counted(self, mark: Mark) -> None:
        if mark.inside:
            self.gate.inside += 1
        else:
            self.gate.outside += 1

    def _turned_away(self, call: Call) -> Held:
        self._count += 1
        self.gate.refused += 1
        held = Held(self._count, call, self._loop.create_future())
        self.tallies[call.class_name].refused += 1
        held.answer.set_result(Refused(COME_BACK_US))
        return held

    def _wait(self, call: Call) -> Held:
        self._count += 1
        self.gate.waited += 1
        held = Held(self._count, call, self._loop.create_future())
        self._held[held.id] = held
        self._open_ids.add(call.client_id)
        left_us = call.budget_us - DEADLINE_MARGIN_US
        held.overdue = self._loop.call_later((left_us + OVERDUE_US) / 1e6, self._overdue, held)
        self._waiting[held.id] = (held, self.now() + left_us)
        self._loop.call_later(min(WAIT_S, max(0.0, left_us / 2e6)), self._waited, held)
        return held

    def _waited(self, held: Held) -> None:
        """Long enough."""
        waiting = self._waiting.pop(held.id, None)
        if waiting is not None:
            self._decide_late(*waiting)

    def opened(self) -> None:
        """The fleet has granted a version: decide what waits for one."""
        waiting, self._waiting = self._waiting, {}
        for held, until in waiting.values():
            self._decide_late(held, until)

    def _decide_late(self, held: Held, until: int) -> None:
        if held.id not in self._held:
            return
        call = held.call
        mark = self._mark(call.class_name)
        if not isinstance(mark, Mark):
            self.gate.refused += 1
            self._finish(held, Refused(COME_BACK_US))
            return
        self._marks[held.id] = mark
        self._counted(mark)
        event = api.Request(
            held.id, call.class_name, until, call.cost_hint_us, call.tenant, call.key, call.is_retry, False
        )
        self._tell(self.balancer.on_request, event, held)

    # Going on

    def _send(self, action: api.Send) -> None:
        held = self._held.get(action.request_id)
        if self.council is None or held is None or self._may_go_on(held):
            super()._send(action)
            return
        self.gate.ended += 1
        key = (held.id, held.attempts)
        # Nothing was sent yet: a refusal that promises so. Else it may have run.
        self._finish(held, Failed() if held.attempts else Refused(COME_BACK_US))
        # The module counts the attempt that it has just ordered.
        self._loop.call_soon(self._ended, held, key, Ended(api.Outcome.CANCELLED), 0)

    def _may_go_on(self, held: Held) -> bool:
        council, mark = self.council, self._marks.get(held.id)
        if council is None or mark is None:
            return True
        if council.free:
            return mark.version == 0
        if mark.inside and council.may_go_on(mark.version):
            return True
        goes_on = self.isolation.get(held.call.class_name, "go-on") == "go-on"
        if goes_on and mark.version == council.taken and council.standing() is Standing.CUT_OFF:
            self.gate.outside += mark.inside
            self._marks[held.id] = mark._replace(inside=False)
            return True
        return False

    @property
    def finished(self) -> bool:
        """Nothing is under way by the version before."""
        return not self._marks

    # Ending

    def _end(self, held: Held) -> bool:
        self._waiting.pop(held.id, None)
        ended = super()._end(held)
        if ended:
            self._marks.pop(held.id, None)
        return ended

    def _finish(self, held: Held, answer: Final) -> bool:
        mark = self._marks.get(held.id)
        if self.header and mark is not None and isinstance(answer, Answer):
            word = b"%d" % mark.version + (b"" if mark.inside else b" outside")
            answer.headers.append((HEADER, word))
        return super()._finish(held, answer)
