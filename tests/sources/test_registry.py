"""The watch on a scripted list service on loopback sockets.

The service goes silent, sends single bytes, indents, sends unreadable updates, hangs, moves and ends.
Times are scaled: a silence lasts a fraction of a second here.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from sorrelfront.decisions import discovery_timing
from sorrelfront.decisions.interface import State
from sorrelfront.lists import MalformedList
from sorrelfront.messages import Update
from sorrelfront.platform.config import parse
from sorrelfront.sources.registry import Discovery, UpdateSplitter, watch
from tests.loopback import async_test, make_config, member, until

SILENCE_US = 250_000
Send = Callable[[bytes], None]
Script = Callable[[Send, asyncio.Event], Awaitable[None]]


def update(
    revision: int, *members: dict[str, Any], complete: bool = False, indent: int | None = None
) -> bytes:
    text = json.dumps({"revision": revision, "complete": complete, "members": members}, indent=indent)
    return text.encode() + b"\n"


READY = member("a", "127.0.0.1:1")
DRAINS = member("a", "127.0.0.1:1", "draining")


class Service:
    """Runs one script per watch, then repeats the last one. `after`: the revision that each requested."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
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
            script = self.scripts[min(len(self.after), len(self.scripts)) - 1]
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            def send(data: bytes) -> None:
                if data:
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))

            await script(send, self.go)
        writer.close()


def sends(*lines: bytes, end: bool = False) -> Script:
    """Send these lines, then stay silent on the open connection, or close it."""

    async def script(send: Send, go: asyncio.Event) -> None:
        for line in lines:
            send(line)
        if not end:
            await go.wait()

    return script


def sends_heartbeats(*lines: bytes) -> Script:
    """Send these lines, then heartbeats."""

    async def script(send: Send, go: asyncio.Event) -> None:
        for line in lines:
            send(line)
        while not go.is_set():
            send(b"\n")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(go.wait(), SILENCE_US / 5e6)

    return script


async def sends_single_bytes(send: Send, go: asyncio.Event) -> None:
    """Send single bytes of a line that never ends."""
    send(update(2, READY, complete=True))
    while not go.is_set():
        send(b" ")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(go.wait(), SILENCE_US / 5e6)


class Received:
    """The updates and failures that a source has reported."""

    def __init__(self) -> None:
        self.updates: list[Update] = []
        self.failures = 0

    def failed(self) -> None:
        self.failures += 1

    @property
    def drained(self) -> bool:
        return any(item.state is State.DRAINING for entry in self.updates for item in entry.backends)


@pytest.fixture(autouse=True)
def scaled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_timing, "READ_TIMEOUT_US", SILENCE_US)
    monkeypatch.setattr(discovery_timing, "KNOWN_AFTER_SILENCE_US", 100 * SILENCE_US)
    monkeypatch.setattr(discovery_timing, "KNOWN_AFTER_MOVE_US", 100 * SILENCE_US)


@contextlib.asynccontextmanager
async def watching(service: Service, pushed: bool = False) -> Any:
    config = make_config("{}:{}".format(*service.address), [])
    if pushed:
        config["settings"]["registryMode"] = "automatic"
    received = Received()
    source = watch(parse(config), received.updates.append, received.failed)
    source.subscribe()
    try:
        yield received, source
    finally:
        source.close()
        service.go.set()
        service.server.close()


@pytest.mark.parametrize(
    "first",
    [
        sends(update(2, READY, complete=True)),
        sends(update(2, READY, complete=True), update(3, DRAINS)[:20]),
        sends_single_bytes,
    ],
    ids=["silent", "silent-in-a-line", "single-bytes"],
)
@async_test
async def test_a_watch_that_falls_silent_is_reopened_without_waiting_for_the_back_off(first: Script) -> None:
    service = await Service(first, sends_heartbeats(update(3, DRAINS))).start()
    async with watching(service) as (received, _):
        await until(lambda: received.drained)
        assert received.failures == 0
        assert service.after == [1, 2]


@async_test
async def test_after_a_silence_failed_calls_are_repeated_soon() -> None:
    ends = sends(end=True)
    service = await Service(
        sends(update(2, READY, complete=True)), ends, ends, ends, sends_heartbeats(update(3, DRAINS))
    ).start()
    async with watching(service) as (received, _):
        await until(lambda: received.drained)
        assert received.failures == 0


@async_test
async def test_a_watch_that_ends_without_a_line_is_left_to_the_back_off() -> None:
    service = await Service(sends(end=True)).start()
    async with watching(service) as (received, _):
        await until(lambda: received.failures == 1)
        assert len(service.after) == 1


@async_test
async def test_a_call_that_is_never_answered_counts_as_failed() -> None:
    async def nothing(send: Send, go: asyncio.Event) -> None:
        await go.wait()

    service = await Service(nothing).start()
    async with watching(service) as (received, _):
        await until(lambda: received.failures == 1)


@pytest.mark.parametrize("indent", [0, 1, 4])
@async_test
async def test_indented_lists_are_read(indent: int) -> None:
    whole, change = update(2, READY, complete=True, indent=indent), update(3, DRAINS, indent=indent)
    service = await Service(sends_heartbeats(whole, change)).start()
    async with watching(service) as (received, _):
        await until(lambda: received.drained)
        assert [entry.revision for entry in received.updates] == [2, 3]
        assert len(service.after) == 1


@pytest.mark.parametrize(
    "unreadable", [b"{nonsense}\n", update(3, DRAINS)[:30] + b"\n", update(3, DRAINS, indent=1)[:30] + b"\n"]
)
@async_test
async def test_an_unreadable_update_is_requested_again_at_once(unreadable: bytes) -> None:
    service = await Service(
        sends_heartbeats(update(2, READY, complete=True), unreadable), sends_heartbeats(update(3, DRAINS))
    ).start()
    async with watching(service) as (received, _):
        await until(lambda: received.drained)
        assert service.after == [1, 2] and received.failures == 0


@async_test
async def test_an_update_that_stays_unreadable_is_skipped_and_later_ones_are_applied() -> None:
    service = await Service(
        sends_heartbeats(update(2, READY, complete=True), b"{nonsense}\n", update(4, DRAINS))
    ).start()
    async with watching(service) as (received, _):
        await until(lambda: received.drained)
        assert len(service.after) == 2


@async_test
async def test_subscribing_keeps_an_open_call() -> None:
    """A timer set after a failure fires after a move has opened a call; reopening would lose its turn."""

    async def drains_later(send: Send, go: asyncio.Event) -> None:
        send(update(2, READY, complete=True))
        await go.wait()
        send(update(3, DRAINS))

    service = await Service(drains_later).start()
    async with watching(service) as (received, source):
        await until(lambda: len(received.updates) == 1)
        source.subscribe()
        service.go.set()
        await until(lambda: received.drained)
        assert len(service.after) == 1


@async_test
async def test_the_watch_on_a_pushed_list_is_reopened_through_an_outage() -> None:
    ends = sends(end=True)
    service = await Service(
        ends, ends, ends, ends, sends_heartbeats(update(2, DRAINS, complete=True))
    ).start()
    async with watching(service, pushed=True) as (received, _):
        await until(lambda: received.drained)
        assert received.failures == 0


@async_test
async def test_after_a_move_failed_calls_at_the_new_address_are_repeated() -> None:
    old = await Service(sends(update(2, READY, complete=True))).start()
    new = await Service(sends(end=True), sends(end=True), sends_heartbeats(update(3, DRAINS))).start()
    async with watching(old) as (received, source):
        await until(lambda: len(received.updates) == 1)
        assert isinstance(source, Discovery)
        source.move(new.address)
        await until(lambda: received.drained)
        assert received.failures == 0
        new.go.set()
        new.server.close()


def test_objects_are_split_as_the_service_wrote_them() -> None:
    splitter = UpdateSplitter()
    assert splitter.add(b"") is None
    assert splitter.add(b'{"a":1}') == b'{"a":1}'
    parts = [splitter.add(line) for line in b'{\n "a": "}{[",\n "b": [\n  {}\n ]\n}'.split(b"\n")]
    assert parts[:-1] == [None] * 5
    assert json.loads(parts[-1] or b"") == {"a": "}{[", "b": [{}]}
    assert splitter.add(b"{") is None
    with pytest.raises(MalformedList):
        splitter.add(b"")  # a heartbeat within an object
    assert splitter.add(b'{"a":2}') == b'{"a":2}'
    assert splitter.add(b'{"revision": 3, "members": [') is None
    with pytest.raises(MalformedList):
        splitter.add(update(4, DRAINS).strip())  # the next object after a truncated one
    assert splitter.add(update(4, DRAINS).strip()) is not None
