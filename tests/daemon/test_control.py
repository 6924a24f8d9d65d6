"""The control socket: whatever comes ends in an answer or a closed connection, and others are served."""

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
from sorrelfront.daemon.configuration import INSTANCES_MOST
from sorrelfront.daemon.control import FRAME_MOST, HEAD, PEERS_MOST, Control, Unavailable, ask
from sorrelfront.lab.http1 import PATIENCE_S

NOISE = st.one_of(
    st.binary(max_size=200),
    st.binary(max_size=200).map(lambda data: HEAD.pack(len(data)) + data),
    st.integers(0, 2**32 - 1).map(HEAD.pack),
    st.recursive(
        st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=8)),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
        max_leaves=6,
    ).map(lambda value: HEAD.pack(len(json.dumps(value))) + json.dumps(value).encode()),
)


async def echo(message: Message) -> Message:
    return {"ok": True, "heard": message}


def played(test: Any) -> None:
    """Run with a control socket in a folder of its own."""

    async def play() -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.sock"
            made = Control(path, echo)
            await made.start()
            faults: list[Any] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
            try:
                await test(path)
            finally:
                await made.close()
            assert not faults and not path.exists()

    asyncio.run(play())


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.lists(NOISE, min_size=1, max_size=8))
def test_noise_ends_in_an_answer_or_a_closed_connection(pieces: list[bytes]) -> None:
    async def test(path: Path) -> None:
        for piece in pieces:
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(piece)
            writer.write_eof()
            said = await asyncio.wait_for(reader.read(), PATIENCE_S)
            if said:
                (length,) = HEAD.unpack(said[:4])
                assert json.loads(said[4 : 4 + length])["ok"]
            writer.close()
        assert (await ask(path, {"op": "x"}))["heard"] == {"op": "x"}

    played(test)


def test_peers_are_bounded_and_a_silent_one_has_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "SPEAK_S", 0.3)

    async def test(path: Path) -> None:
        silent = [await asyncio.open_unix_connection(path) for _ in range(PEERS_MOST + 4)]
        for reader, writer in silent:
            assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""
            writer.close()
        assert (await ask(path, {}))["ok"]

    played(test)


def test_an_answer_that_is_too_long_is_said_to_be() -> None:
    async def test(path: Path) -> None:
        answered = await ask(path, {"x": "y" * (FRAME_MOST - 20)})
        assert not answered["ok"] and answered["fault"] == "the answer is too long"

    played(test)


def test_a_second_daemon_finds_the_place_taken_and_one_left_behind_is_taken_up(tmp_path: Path) -> None:
    async def play() -> None:
        path = tmp_path / "c.sock"
        first = Control(path, echo)
        await first.start()
        with pytest.raises(OSError, match="in use"):
            Control(path, echo)
        assert (await ask(path, {}))["ok"]
        first._path = tmp_path / "elsewhere"  # as one that was killed leaves it
        await first.close()
        assert path.exists()
        second = Control(path, echo)
        await second.start()
        assert (await ask(path, {}))["ok"]
        await second.close()
        with pytest.raises(Unavailable):
            await ask(path, {})

    asyncio.run(play())


def test_a_status_of_the_largest_fleet_comes_whole() -> None:
    rows = [{"name": f"i{at}", "phase": "ready", "figures": "f" * (at * 4)} for at in range(INSTANCES_MOST)]

    async def answer(message: Message) -> Message:
        return {"ok": True, "name": "n", "instances": rows[: message["count"]]}

    async def test(path: Path) -> None:
        control = Control(path, answer)
        await control.start()
        try:
            for count in (0, 1, 17, INSTANCES_MOST):
                told = await ask(path, {"op": "status", "count": count})
                assert told == {"ok": True, "name": "n", "instances": rows[:count]}
        finally:
            await control.close()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(test(Path(folder) / "c"))
