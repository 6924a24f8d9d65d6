"""The budget of the bytes that the process holds: what may be read, what is counted, and that it is freed."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.net.budget import (
    MAX_BUFFERED_BODY,
    MAX_REQUEST_SHARE,
    MIN_BUDGET,
    MIN_READ_BYTES,
    RECEIVE_BYTES,
    SMALL_BODY,
    USABLE_MEMORY_SHARE,
    AnswerShare,
    MemoryBudget,
    MemoryShare,
)
from tests.loopback import async_test

MB = 1024 * 1024


class Model:
    """Drives a budget as connections do, and keeps its own count of what they hold."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.budget = MemoryBudget(32 * MB, 512)
        self.requests: list[MemoryShare] = []
        self.answers: list[AnswerShare] = []
        self.highest = self.budget.max_bytes

    def step(self) -> None:
        """Do one thing that a connection does."""
        actions = [self.begin, self.read_request, self.read_answer, self.end_request, self.end_answer]
        self.random.choice([*actions, self.read_request, self.read_answer, self.resize])()

    def begin(self) -> None:
        self.requests.append(self.budget.share())
        self.answers.append(self.budget.answer_share())

    def read_request(self) -> None:
        for share in self.requests[-1:] and self.random.sample(self.requests, 1):
            if share.has_room():
                share.add(self.random.randint(1, share.read_limit()))

    def read_answer(self) -> None:
        for share in self.answers[-1:] and self.random.sample(self.answers, 1):
            share.streamed = share.streamed or not share.has_room()
            if share.streamed:
                share.release()
            share.hold(self.random.randint(1, share.read_limit()))

    def end_request(self) -> None:
        if self.requests:
            share = self.requests.pop(self.random.randrange(len(self.requests)))
            self.random.choice([share.complete, share.resume])()
            share.release()
            share.release()
            share.add(5)  # what comes after the end is dropped

    def end_answer(self) -> None:
        if self.answers:
            share = self.answers.pop(self.random.randrange(len(self.answers)))
            share.hold(-share.held - 1)  # more than is held

    def resize(self) -> None:
        self.budget.resize(self.random.choice([32, 48, 64]) * MB, 512)
        self.highest = max(self.highest, self.budget.max_bytes)

    def check(self) -> None:
        """Compare the budget with the model."""
        assert self.budget.requests_held == sum(share.held for share in self.requests)
        assert self.budget.answers_held == sum(share.held for share in self.answers)
        small = SMALL_BODY + MIN_READ_BYTES
        assert self.budget.requests_held <= self.highest * MAX_REQUEST_SHARE + len(self.requests) * small
        assert self.budget.held <= self.highest + (len(self.requests) + len(self.answers)) * small


@given(st.integers(0, 2**32))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_the_budget_is_what_its_shares_hold_and_stays_within_its_limit(seed: int) -> None:
    """Guards against bytes that are counted twice, never freed, or read without room."""
    model = Model(seed)
    for _ in range(300):
        model.step()
        model.check()
    for request in model.requests:
        request.release()
    for answer in model.answers:
        answer.release()
    assert model.budget.held == 0


@pytest.mark.parametrize("sockets", [256, 512, 1024])
@pytest.mark.parametrize("memory_mb", [32, 64, 128, 192])
def test_the_budget_leaves_room_for_the_process_and_its_connections(memory_mb: int, sockets: int) -> None:
    """Guards against a budget that takes what the process needs for itself."""
    usable = memory_mb * MB * USABLE_MEMORY_SHARE
    for process_bytes in (0, 25 * MB):
        budget = MemoryBudget(memory_mb * MB, sockets, process_bytes)
        spare = usable - process_bytes - sockets * SMALL_BODY
        assert MIN_BUDGET <= budget.max_bytes < max(spare, MIN_BUDGET + 1)


@async_test
async def test_waiting_bodies_are_not_given_the_same_room() -> None:
    """Guards against a limit exceeded by all the bodies that wait when room for one is freed."""
    budget = MemoryBudget(32 * MB, 512)
    full, limit = budget.share(), int(budget.max_bytes * MAX_REQUEST_SHARE)
    full.add(limit)
    shares = [budget.share() for _ in range(3)]
    for share in shares:
        share.add(SMALL_BODY)
    waits = [asyncio.create_task(share.wait_for_room(30_000)) for share in shares]
    await asyncio.sleep(0)
    assert not any(wait.done() for wait in waits)
    full.add(-70_000)
    for _ in range(5):
        await asyncio.sleep(0)
    assert [wait.done() for wait in waits] == [True, True, False]  # the oldest may go over by its own size
    assert budget.requests_held == full.held + 3 * SMALL_BODY + 2 * 30_000
    assert shares[0].read_limit() == 30_000
    for share in shares:
        share.release()
    await asyncio.gather(*waits)
    full.release()
    assert budget.held == 0


def test_slow_answers_leave_room_for_requests_and_requests_for_answers() -> None:
    """Guards against one kind of traffic that takes all the memory from the other."""
    budget = MemoryBudget(64 * MB, 512)
    answers = [budget.answer_share() for _ in range(10_000)]
    for answer in answers:
        if answer.has_room():
            answer.hold(RECEIVE_BYTES)
    assert not answers[0].has_room() and budget.has_request_room()
    for answer in answers:
        answer.release()
    requests = [budget.share() for _ in range(10_000)]
    for request in requests:
        if request.has_room() and budget.has_request_room():
            request.add(MAX_BUFFERED_BODY)
    assert not budget.has_request_room() and answers[0].has_room()
