"""Control socket: any input ends in an answer or a closed connection, and other peers are still served."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.daemon import control
from sorrelfront.daemon.channel import Message
from sorrelfront.daemon.configuration import MAX_INSTANCES
from sorrelfront.daemon.control import (
    LENGTH_PREFIX,
    MAX_CONNECTIONS,
    MAX_FRAME_BYTES,
    Control,
    DaemonUnavailable,
    send_request,
)
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S

NOISE = st.one_of(
    st.binary(max_size=200),
    st.binary(max_size=200).map(lambda data: LENGTH_PREFIX.pack(len(data)) + data),
    st.integers(0, 2**32 - 1).map(LENGTH_PREFIX.pack),
    st.recursive(
        st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=8)),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
        max_leaves=6,
    ).map(lambda value: LENGTH_PREFIX.pack(len(json.dumps(value))) + json.dumps(value).encode()),
)


async def echo(message: Message) -> Message:
    return {"ok": True, "heard": message}


def run_with_control(test: Any) -> None:
    """Run a test with a control socket in its own temporary folder, and check that no task failed."""

    async def scenario() -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.sock"
            server = Control(path, echo)
            await server.start()
            faults: list[Any] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
            try:
                await test(path)
            finally:
                await server.close()
            assert not faults and not path.exists()

    asyncio.run(scenario())


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.lists(NOISE, min_size=1, max_size=8))
def test_noise_ends_in_an_answer_or_a_closed_connection(pieces: list[bytes]) -> None:
    """Malformed frames from one peer must neither crash the server nor affect later requests."""

    async def test(path: Path) -> None:
        for piece in pieces:
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(piece)
            writer.write_eof()
            data = await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S)
            if data:
                (length,) = LENGTH_PREFIX.unpack(data[:4])
                assert json.loads(data[4 : 4 + length])["ok"]
            writer.close()
        assert (await send_request(path, {"op": "x"}))["heard"] == {"op": "x"}

    run_with_control(test)


def test_peers_are_bounded_and_a_silent_one_has_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Peers that connect and send nothing must not occupy all connections forever."""
    monkeypatch.setattr(control, "EXCHANGE_TIMEOUT_S", 0.3)

    async def test(path: Path) -> None:
        silent = [await asyncio.open_unix_connection(path) for _ in range(MAX_CONNECTIONS + 4)]
        for reader, writer in silent:
            assert await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S) == b""
            writer.close()
        assert (await send_request(path, {}))["ok"]

    run_with_control(test)


def test_an_answer_that_is_too_long_is_said_to_be() -> None:
    """An answer above the frame limit that cannot be split is replaced by an error."""

    async def test(path: Path) -> None:
        answered = await send_request(path, {"x": "y" * (MAX_FRAME_BYTES - 20)})
        assert not answered["ok"] and answered["fault"] == "the answer is too long"

    run_with_control(test)


def test_a_second_daemon_is_refused_and_a_stale_socket_is_replaced(tmp_path: Path) -> None:
    """A socket in use must not be taken from a running daemon; one left by a killed daemon must not block."""

    async def scenario() -> None:
        path = tmp_path / "c.sock"
        first = Control(path, echo)
        await first.start()
        with pytest.raises(OSError, match="in use"):
            Control(path, echo)
        assert (await send_request(path, {}))["ok"]
        first._path = tmp_path / "elsewhere"  # leaves the file behind, as a killed daemon does
        await first.close()
        assert path.exists()
        second = Control(path, echo)
        await second.start()
        assert (await send_request(path, {}))["ok"]
        await second.close()
        with pytest.raises(DaemonUnavailable):
            await send_request(path, {})

    asyncio.run(scenario())


def test_a_status_of_the_largest_fleet_comes_whole() -> None:
    """A list that is split over several frames must arrive complete and in order."""
    rows = [{"name": f"i{at}", "phase": "ready", "figures": "f" * (at * 4)} for at in range(MAX_INSTANCES)]

    async def answer(message: Message) -> Message:
        return {"ok": True, "name": "n", "instances": rows[: message["count"]]}

    async def test(path: Path) -> None:
        control = Control(path, answer)
        await control.start()
        try:
            for count in (0, 1, 17, MAX_INSTANCES):
                told = await send_request(path, {"op": "status", "count": count})
                assert told == {"ok": True, "name": "n", "instances": rows[:count]}
        finally:
            await control.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(test(Path(folder) / "c"))
