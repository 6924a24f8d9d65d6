"""The watch on a list service that falls silent, drips, indents, spoils, hangs, moves and goes away: a
scripted one on loopback sockets. Times are scaled: a silence lasts a fraction of a second here."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from sorrelfront.decisions import listing
from sorrelfront.decisions.interface import State
from sorrelfront.lists import Malformed
from sorrelfront.messages import Update
from sorrelfront.platform.config import parse
from sorrelfront.sources.registry import Discovery, Texts, watch
from tests.loopback import looped, member, table, until

SILENCE_US = 250_000
Line = Callable[[bytes], None]
Part = Callable[[Line, asyncio.Event], Awaitable[None]]


def update(
    revision: int, *members: dict[str, Any], complete: bool = False, indent: int | None = None
) -> bytes:
    text = json.dumps({"revision": revision, "complete": complete, "members": members}, indent=indent)
    return text.encode() + b"\n"


READY = member("a", "127.0.0.1:1")
DRAINS = member("a", "127.0.0.1:1", "draining")


class Service:
    """Plays one part for each watch, the last one again and again. `after`: what each asked for."""

    def __init__(self, *parts: Part) -> None:
        self.parts = list(parts)
        self.after: list[int] = []
        self.go = asyncio.Event()

    async def start(self) -> Service:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.after.append(int(head.split(b"after=")[1].split()[0]))
            part = self.parts[min(len(self.after), len(self.parts)) - 1]
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            def say(data: bytes) -> None:
                if data:
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))

            await part(say, self.go)
        writer.close()


def says(*lines: bytes, end: bool = False) -> Part:
    """These lines, and then silence on an open connection, or its end."""

    async def part(say: Line, go: asyncio.Event) -> None:
        for line in lines:
            say(line)
        if not end:
            await go.wait()

    return part


def lives(*lines: bytes) -> Part:
    """These lines, and then signs of life."""

    async def part(say: Line, go: asyncio.Event) -> None:
        for line in lines:
            say(line)
        while not go.is_set():
            say(b"\n")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(go.wait(), SILENCE_US / 5e6)

    return part


async def drips(say: Line, go: asyncio.Event) -> None:
    """A byte now and then of a line that never ends."""
    say(update(2, READY, complete=True))
    while not go.is_set():
        say(b" ")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(go.wait(), SILENCE_US / 5e6)


class Heard:
    def __init__(self) -> None:
        self.updates: list[Update] = []
        self.failures = 0

    def failed(self) -> None:
        self.failures += 1

    @property
    def drained(self) -> bool:
        return any(item.state is State.DRAINING for told in self.updates for item in told.backends)


@pytest.fixture(autouse=True)
def scaled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listing, "SILENCE_US", SILENCE_US)
    monkeypatch.setattr(listing, "COUNTS_US", 100 * SILENCE_US)
    monkeypatch.setattr(listing, "MOVED_US", 100 * SILENCE_US)


@contextlib.asynccontextmanager
async def watching(service: Service, pushed: bool = False) -> Any:
    config = table("{}:{}".format(*service.address), [])
    if pushed:
        config["settings"]["registryMode"] = "automatic"
    heard = Heard()
    source = watch(parse(config), heard.updates.append, heard.failed)
    source.subscribe()
    try:
        yield heard, source
    finally:
        source.close()
        service.go.set()
        service.server.close()


@pytest.mark.parametrize(
    "first",
    [
        says(update(2, READY, complete=True)),
        says(update(2, READY, complete=True), update(3, DRAINS)[:20]),
        drips,
    ],
    ids=["silent", "silent-in-a-line", "drips"],
)
@looped
async def test_a_watch_that_falls_silent_is_opened_anew_without_waiting_for_the_back_off(first: Part) -> None:
    service = await Service(first, lives(update(3, DRAINS))).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.drained)
        assert heard.failures == 0
        assert service.after == [1, 2]


@looped
async def test_while_it_counts_further_calls_that_fail_are_made_again_soon() -> None:
    refused = says(end=True)
    service = await Service(
        says(update(2, READY, complete=True)), refused, refused, refused, lives(update(3, DRAINS))
    ).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.drained)
        assert heard.failures == 0


@looped
async def test_what_ends_before_it_was_heard_is_left_to_the_back_off() -> None:
    service = await Service(says(end=True)).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.failures == 1)
        assert len(service.after) == 1


@looped
async def test_a_call_that_is_never_answered_is_broken_too() -> None:
    async def nothing(say: Line, go: asyncio.Event) -> None:
        await go.wait()

    service = await Service(nothing).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.failures == 1)


@pytest.mark.parametrize("indent", [0, 1, 4])
@looped
async def test_lists_may_come_indented(indent: int) -> None:
    whole, change = update(2, READY, complete=True, indent=indent), update(3, DRAINS, indent=indent)
    service = await Service(lives(whole, change)).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.drained)
        assert [told.revision for told in heard.updates] == [2, 3]
        assert len(service.after) == 1


@pytest.mark.parametrize(
    "spoilt", [b"{nonsense}\n", update(3, DRAINS)[:30] + b"\n", update(3, DRAINS, indent=1)[:30] + b"\n"]
)
@looped
async def test_an_update_that_cannot_be_read_is_asked_for_again_at_once(spoilt: bytes) -> None:
    service = await Service(lives(update(2, READY, complete=True), spoilt), lives(update(3, DRAINS))).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.drained)
        assert service.after == [1, 2] and heard.failures == 0


@looped
async def test_one_that_stays_unreadable_is_passed_over_and_what_follows_is_heard() -> None:
    service = await Service(
        lives(update(2, READY, complete=True), b"{nonsense}\n", update(4, DRAINS))
    ).start()
    async with watching(service) as (heard, _):
        await until(lambda: heard.drained)
        assert len(service.after) == 2


@looped
async def test_a_call_that_is_open_keeps_its_turn_whoever_asks_for_one() -> None:
    """A timer set after a failure fires behind a move that has opened a call."""

    async def drains_later(say: Line, go: asyncio.Event) -> None:
        say(update(2, READY, complete=True))
        await go.wait()
        say(update(3, DRAINS))

    service = await Service(drains_later).start()
    async with watching(service) as (heard, source):
        await until(lambda: len(heard.updates) == 1)
        source.subscribe()
        service.go.set()
        await until(lambda: heard.drained)
        assert len(service.after) == 1


@looped
async def test_a_pushed_list_is_watched_again_through_an_outage() -> None:
    out = says(end=True)
    service = await Service(out, out, out, out, lives(update(2, DRAINS, complete=True))).start()
    async with watching(service, pushed=True) as (heard, _):
        await until(lambda: heard.drained)
        assert heard.failures == 0


@looped
async def test_a_silence_that_begins_with_a_move_is_heard_at_the_new_address() -> None:
    old = await Service(says(update(2, READY, complete=True))).start()
    new = await Service(says(end=True), says(end=True), lives(update(3, DRAINS))).start()
    async with watching(old) as (heard, source):
        await until(lambda: len(heard.updates) == 1)
        assert isinstance(source, Discovery)
        source.move(new.address)
        await until(lambda: heard.drained)
        assert heard.failures == 0
        new.go.set()
        new.server.close()


def test_texts_are_cut_as_the_service_wrote_them() -> None:
    texts = Texts()
    assert texts.add(b"") is None
    assert texts.add(b'{"a":1}') == b'{"a":1}'
    parts = [texts.add(line) for line in b'{\n "a": "}{[",\n "b": [\n  {}\n ]\n}'.split(b"\n")]
    assert parts[:-1] == [None] * 5
    assert json.loads(parts[-1] or b"") == {"a": "}{[", "b": [{}]}
    assert texts.add(b"{") is None
    with pytest.raises(Malformed):
        texts.add(b"")  # a sign of life within an object
    assert texts.add(b'{"a":2}') == b'{"a":2}'
    assert texts.add(b'{"revision": 3, "members": [') is None
    with pytest.raises(Malformed):
        texts.add(update(4, DRAINS).strip())  # the next one, behind half of the one before
    assert texts.add(update(4, DRAINS).strip()) is not None
