"""A request whose body is still being received while it is streamed to its server."""

from __future__ import annotations

from sorrelfront.decisions.interface import (
    BodyReceived,
    DeadlineMoved,
    EndReason,
    Outcome,
    Refuse,
    Request,
    Send,
)
from tests.helpers import SAFE, UNSAFE, balancer, ended, request, sends


def arriving(number: int, cls: str, left_us: int = 60_000_000) -> Request:
    return Request(number, cls, left_us, arriving=True)


def test_it_is_pending_from_its_last_byte_on() -> None:
    lb = balancer(1)
    (send,) = lb.on_request(arriving(1, "pay"), 0)
    assert isinstance(send, Send)
    server = lb.servers["b000"]
    assert not server.pending
    assert server.load(30_000_000) == server.load(0)  # however long its body takes
    lb.on_body_received(BodyReceived(1, 31_000_000), 30_000_000)
    assert next(iter(server.pending.values()))[0] == 30_000_000
    ended(lb, 1, 0, Outcome.OK, 30_050_000)
    assert not server.pending and not lb.attempts and not lb.held


def test_cancelled_before_its_last_byte_it_does_not_change_the_estimate() -> None:
    lb = balancer(1)
    lb.on_request(arriving(1, "pay"), 0)
    before = lb.servers["b000"].updated_at
    ended(lb, 1, 0, Outcome.CANCELLED, 9_000_000, elapsed_us=9_000_000)
    assert lb.servers["b000"].updated_at == before


def test_a_failure_before_its_last_byte_still_counts() -> None:
    lb = balancer(1)
    lb.on_request(arriving(1, "pay"), 0)
    ended(lb, 1, 0, Outcome.ERROR, 1_000_000, elapsed_us=0)
    assert lb.servers["b000"].updated_at == 1_000_000


def test_its_deadline_counts_from_its_last_byte() -> None:
    lb = balancer(3)
    lb.on_request(arriving(1, "read"), 0)
    lb.on_body_received(BodyReceived(1, 30_400_000), 30_000_000)
    (send,) = ended(lb, 1, 0, Outcome.REJECTED, 30_100_000)
    assert isinstance(send, Send) and send.timeout_us == 300_000


def test_an_unsafe_request_that_may_have_run_is_not_repeated() -> None:
    lb = balancer(3)
    lb.on_request(arriving(1, UNSAFE.name), 0)
    lb.on_body_received(BodyReceived(1, 2_000_000), 1_000_000)
    assert sends(ended(lb, 1, 0, Outcome.RESET, 1_100_000)) == []


def test_a_second_last_byte_or_one_of_an_unknown_request_changes_nothing() -> None:
    lb = balancer(1)
    assert lb.on_body_received(BodyReceived(7, 1), 0) == []
    request(lb, 1, SAFE, 0)
    before = dict(lb.servers["b000"].pending)
    lb.on_body_received(BodyReceived(1, 99), 500)
    assert lb.servers["b000"].pending == before


def test_a_deadline_moved_to_now_ends_it_with_its_attempt() -> None:
    lb = balancer(3)
    lb.on_request(arriving(1, "pay"), 0)
    assert lb.on_deadline_moved(DeadlineMoved(1, 2_000_000), 2_000_000) == []
    (refusal,) = ended(lb, 1, 0, Outcome.UNREACHABLE, 2_001_000, elapsed_us=0)
    assert isinstance(refusal, Refuse) and refusal.reason is EndReason.DEADLINE


def test_a_deadline_moved_to_now_is_answered_at_once_without_an_attempt() -> None:
    lb = balancer(0)
    lb.on_request(arriving(1, "pay"), 0)
    assert lb.on_deadline_moved(DeadlineMoved(1, 20_000), 10_000) == []
    (refusal,) = lb.on_deadline_moved(DeadlineMoved(1, 10_000), 10_000)
    assert isinstance(refusal, Refuse) and refusal.reason is EndReason.DEADLINE
    assert lb.on_deadline_moved(DeadlineMoved(1, 10_000), 10_000) == [] and not lb.held
