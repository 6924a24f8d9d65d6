"""A request that still arrives while its server has part of it already."""

from __future__ import annotations

from sorrelfront.decisions.interface import Outcome, Request, Send, Whole
from tests.helpers import SAFE, UNSAFE, balancer, ended, request, sends


def arriving(number: int, cls: str, left_us: int = 60_000_000) -> Request:
    return Request(number, cls, left_us, arriving=True)


def test_it_is_pending_from_its_last_byte_on() -> None:
    made = balancer(1)
    (send,) = made.on_request(arriving(1, "pay"), 0)
    assert isinstance(send, Send)
    server = made.servers["b000"]
    assert not server.pending
    assert server.load(30_000_000) == server.load(0)  # however long it takes to come
    made.on_whole(Whole(1, 31_000_000), 30_000_000)
    assert next(iter(server.pending.values()))[0] == 30_000_000
    ended(made, 1, 0, Outcome.OK, 30_050_000)
    assert not server.pending and not made.attempts and not made.held


def test_called_off_before_its_last_byte_it_says_nothing_of_the_server() -> None:
    made = balancer(1)
    made.on_request(arriving(1, "pay"), 0)
    before = made.servers["b000"].stamp
    ended(made, 1, 0, Outcome.CANCELLED, 9_000_000, elapsed_us=9_000_000)
    assert made.servers["b000"].stamp == before


def test_a_failure_before_its_last_byte_still_counts() -> None:
    made = balancer(1)
    made.on_request(arriving(1, "pay"), 0)
    ended(made, 1, 0, Outcome.ERROR, 1_000_000, elapsed_us=0)
    assert made.servers["b000"].stamp == 1_000_000


def test_its_deadline_counts_from_its_last_byte() -> None:
    made = balancer(3)
    made.on_request(arriving(1, "read"), 0)
    made.on_whole(Whole(1, 30_400_000), 30_000_000)
    (send,) = ended(made, 1, 0, Outcome.REJECTED, 30_100_000)
    assert isinstance(send, Send) and send.timeout_us == 300_000


def test_an_unsafe_one_that_may_have_run_is_not_repeated() -> None:
    made = balancer(3)
    made.on_request(arriving(1, UNSAFE.name), 0)
    made.on_whole(Whole(1, 2_000_000), 1_000_000)
    assert sends(ended(made, 1, 0, Outcome.RESET, 1_100_000)) == []


def test_whole_twice_or_of_one_not_held_changes_nothing() -> None:
    made = balancer(1)
    assert made.on_whole(Whole(7, 1), 0) == []
    request(made, 1, SAFE, 0)
    before = dict(made.servers["b000"].pending)
    made.on_whole(Whole(1, 99), 500)
    assert made.servers["b000"].pending == before
