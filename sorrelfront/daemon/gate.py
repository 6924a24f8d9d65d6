"""An agent with an admission filter: it takes requests only under a lease on the fleet's policy.

Each request is admitted under one version, and finishes under that version. An attempt is started only while
that version may still be served. A request that arrives while the member waits for a lease is queued briefly;
one that may not be admitted at all is refused at once, before anything ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from sorrelfront.agent import ANSWER_GRACE_US, DEADLINE_MARGIN_US, Agent, PendingRequest
from sorrelfront.decisions import interface as api
from sorrelfront.fleet.policy_member import LeaseStatus, PolicyMember
from sorrelfront.messages import Answer, AttemptResult, Call, Failed, FinalAnswer, Refused

MAX_WAITING = 512  # requests that wait for a lease
MAX_WAIT_S = 0.5  # how long a request waits for a lease; then it is refused, and the client may retry
RETRY_AFTER_US = 500_000  # when a retry may succeed: leases are renewed more often than that
POLICY_HEADER = b"X-Sorrelfront-Policy"


class Admission(NamedTuple):
    """The version that a request was admitted under, and whether under a lease or while cut off."""

    version: int
    leased: bool


@dataclass(slots=True)
class Counts:
    """Requests by how they were admitted."""

    inside: int = 0  # under a lease, or before the fleet has a policy
    outside: int = 0  # while cut off, under the last known policy
    waited: int = 0  # queued for a lease
    refused: int = 0  # for lack of a lease
    ended: int = 0  # ended before an attempt, since their version may not be served any more


class GatedAgent(Agent):
    """An agent that admits requests by the lease of its policy member; without one, it admits all."""

    policy_member: PolicyMember | None = None
    isolation: dict[str, str]
    adds_policy_header = False

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.isolation = {}
        self.admission_counts = Counts()
        self._admissions: dict[int, Admission] = {}
        self._waiting: dict[int, tuple[PendingRequest, int]] = {}  # with its deadline by the agent's clock

    # Admission

    def _admit(self, cls: str) -> Admission | LeaseStatus:
        policy_member = self.policy_member
        assert policy_member is not None
        standing = policy_member.lease_status()
        if standing is LeaseStatus.LEASED:
            return Admission(policy_member.applied_version, True)
        if standing is LeaseStatus.FREE:
            return Admission(0, True)
        if standing is LeaseStatus.CUT_OFF and self.isolation.get(cls, "go-on") == "go-on":
            return Admission(policy_member.applied_version, False)
        return standing

    def submit(self, call: Call) -> PendingRequest:
        """Admit a request, queue it until a lease is granted, or refuse it."""
        if self.policy_member is None:
            return super().submit(call)
        admission = self._admit(call.class_name)
        if isinstance(admission, Admission):
            number = self._requests_taken + 1
            self._admissions[number] = admission  # before it is decided: the first attempt looks it up
            held = super().submit(call)
            if number not in self._pending:
                self._admissions.pop(number, None)
            self._count_admission(admission)
            return held
        if admission is LeaseStatus.WAIT and call.upload is None and len(self._waiting) < MAX_WAITING:
            return self._wait(call)
        return self._refuse(call)

    def _count_admission(self, admission: Admission) -> None:
        if admission.leased:
            self.admission_counts.inside += 1
        else:
            self.admission_counts.outside += 1

    def _refuse(self, call: Call) -> PendingRequest:
        self._requests_taken += 1
        self.admission_counts.refused += 1
        held = PendingRequest(self._requests_taken, call, self._loop.create_future())
        self.tallies[call.class_name].refused += 1
        held.answer.set_result(Refused(RETRY_AFTER_US))
        return held

    def _wait(self, call: Call) -> PendingRequest:
        self._requests_taken += 1
        self.admission_counts.waited += 1
        held = PendingRequest(self._requests_taken, call, self._loop.create_future())
        self._pending[held.id] = held
        self._open_ids.add(call.client_id)
        left_us = call.budget_us - DEADLINE_MARGIN_US
        held.deadline_timer = self._loop.call_later(
            (left_us + ANSWER_GRACE_US) / 1e6, self._on_deadline_passed, held
        )
        self._waiting[held.id] = (held, self.now() + left_us)
        self._loop.call_later(min(MAX_WAIT_S, max(0.0, left_us / 2e6)), self._on_wait_timeout, held)
        return held

    def _on_wait_timeout(self, held: PendingRequest) -> None:
        """Decide a request that has waited for as long as it may."""
        waiting = self._waiting.pop(held.id, None)
        if waiting is not None:
            self._decide_queued(*waiting)

    def on_lease_granted(self) -> None:
        """A lease was granted: decide the requests that wait for one."""
        waiting, self._waiting = self._waiting, {}
        for held, until in waiting.values():
            self._decide_queued(held, until)

    def _decide_queued(self, held: PendingRequest, until: int) -> None:
        if held.id not in self._pending:
            return
        call = held.call
        admission = self._admit(call.class_name)
        if not isinstance(admission, Admission):
            self.admission_counts.refused += 1
            self._finish(held, Refused(RETRY_AFTER_US))
            return
        self._admissions[held.id] = admission
        self._count_admission(admission)
        event = api.Request(
            held.id, call.class_name, until, call.cost_hint_us, call.tenant, call.key, call.is_retry, False
        )
        self._dispatch(self.balancer.on_request, event, held)

    # Attempts

    def _send(self, action: api.Send) -> None:
        held = self._pending.get(action.request_id)
        if self.policy_member is None or held is None or self._may_attempt(held):
            super()._send(action)
            return
        self.admission_counts.ended += 1
        key = (held.id, held.attempts)
        # Before the first attempt nothing was sent, so a refusal is safe to retry. Later it may have run.
        self._finish(held, Failed() if held.attempts else Refused(RETRY_AFTER_US))
        # The balancer counts the attempt that it has just ordered, so its end has to be reported.
        self._loop.call_soon(self._on_attempt_ended, held, key, AttemptResult(api.Outcome.CANCELLED), 0)

    def _may_attempt(self, held: PendingRequest) -> bool:
        policy_member, admission = self.policy_member, self._admissions.get(held.id)
        if policy_member is None or admission is None:
            return True
        if policy_member.free:
            return admission.version == 0
        if admission.leased and policy_member.may_attempt(admission.version):
            return True
        serves_cut_off = self.isolation.get(held.call.class_name, "go-on") == "go-on"
        if (
            serves_cut_off
            and admission.version == policy_member.applied_version
            and policy_member.lease_status() is LeaseStatus.CUT_OFF
        ):
            self.admission_counts.outside += admission.leased
            self._admissions[held.id] = admission._replace(leased=False)
            return True
        return False

    @property
    def none_in_flight(self) -> bool:
        """Whether no admitted request is in flight."""
        return not self._admissions

    # End

    def _remove_pending(self, held: PendingRequest) -> bool:
        self._waiting.pop(held.id, None)
        ended = super()._remove_pending(held)
        if ended:
            self._admissions.pop(held.id, None)
        return ended

    def _finish(self, held: PendingRequest, answer: FinalAnswer) -> bool:
        admission = self._admissions.get(held.id)
        if self.adds_policy_header and admission is not None and isinstance(answer, Answer):
            value = b"%d" % admission.version + (b"" if admission.leased else b" outside")
            answer.headers.append((POLICY_HEADER, value))
        return super()._finish(held, answer)
