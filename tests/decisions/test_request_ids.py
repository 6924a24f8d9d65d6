"""The memory of request ids, of one process and of two that serve at one address."""

from __future__ import annotations

from collections import deque
from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelfront.decisions.request_ids import RequestIds


class Link:
    """One process's end of a connection to another, whose messages wait until they are looked at."""

    def __init__(self, own: RequestIds) -> None:
        self.own = own
        self.inbox: deque[bytes] = deque()
        self.peer: Link

    def tell(self, request_id: bytes) -> None:
        self.peer.inbox.append(request_id)

    def listen(self) -> None:
        while self.inbox:
            self.own.add_told(self.inbox.popleft(), self)


def connected(left: RequestIds, right: RequestIds) -> None:
    one, other = Link(left), Link(right)
    one.peer, other.peer = other, one
    left.connect(one)
    right.connect(other)


@given(st.lists(st.integers(0, 40)), st.integers(2, 20))
def test_the_latest_ids_are_known_and_their_number_is_bounded(numbers: list[int], most: int) -> None:
    """Guards against a memory that grows with ever new ids, and one that forgets recent ones."""
    ids = RequestIds(most)
    for number in numbers:
        ids.claim(b"%d" % number)
        assert len(ids) <= most
    latest = list(dict.fromkeys(reversed(numbers)))[: most // 2]
    assert all(ids.known(b"%d" % number) for number in latest)


def test_an_id_that_never_ran_is_forgotten() -> None:
    ids = RequestIds(10)
    assert ids.claim(b"a") and ids.known(b"a")
    ids.forget(b"a")
    assert not ids.known(b"a") and ids.claim(b"a")


def test_an_id_that_another_process_has_sent_is_known_and_stays_so() -> None:
    """Guards against an id that runs at both processes of an upgrade."""
    old, new = RequestIds(10), RequestIds(10)
    connected(old, new)
    assert old.claim(b"a")
    assert new.known(b"a") and not new.claim(b"a")
    new.forget(b"a")
    assert new.known(b"a")


def test_ids_reach_every_process_of_a_row_of_upgrades() -> None:
    first, second, third = RequestIds(10), RequestIds(10), RequestIds(10)
    connected(first, second)
    connected(second, third)
    first.claim(b"a")
    third.claim(b"b")
    second.known(b"x")
    assert third.known(b"a") and first.known(b"b")


@pytest.mark.parametrize("order", sorted(set(permutations(["left", "left", "right", "right"]))))
def test_two_processes_never_both_send_one_id(order: tuple[str, ...]) -> None:
    """Every order of the two steps of both, the check of a request that comes and the claim that sends it."""
    left, right = RequestIds(10), RequestIds(10)
    connected(left, right)
    ids = {"left": left, "right": right}
    refused = {"left": False, "right": False}
    checked: set[str] = set()
    sent = 0
    for name in order:
        if name not in checked:
            checked.add(name)
            refused[name] = ids[name].known(b"a")
        elif not refused[name]:
            sent += ids[name].claim(b"a")
    assert sent <= 1
