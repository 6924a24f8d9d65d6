"""A new program takes over from a running one, under load: no connect refused, nothing lost or doubled."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

import pytest

from sorrelfront.daemon import control
from sorrelfront.lab.crowd import LOST, Crowd, ran_twice
from sorrelfront.lab.http1 import PATIENCE_S, Backend, connect, gate, member, request
from tests.daemon.fleet import OK, Fleet, fleet
from tests.loopback import until
from tests.test_process import ROOT

REPLACEMENTS = 4


async def replacement(made: Fleet) -> asyncio.subprocess.Process:
    with made.log.open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sorrelfront.cli.main", "serve", str(made.path), "--replace",
            cwd=ROOT, stderr=log,
        )  # fmt: skip


async def answers_as(made: Fleet, pid: int) -> None:
    """Wait until this process has the control socket."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            try:
                if (await made.ask("status"))["pid"] == pid:
                    return
            except control.Unavailable:
                pass
            await asyncio.sleep(0.01)


async def replacing(made: Fleet) -> None:
    """Wait until the running program has been asked to hand over."""
    async with asyncio.timeout(PATIENCE_S):
        while not (await made.ask("status"))["replacing"]:
            await asyncio.sleep(0.002)


async def logged(made: Fleet, text: str) -> None:
    await until(lambda: text in made.log.read_text())


def test_replacements_under_load_lose_and_double_nothing_and_refuse_no_connect(tmp_path: Path) -> None:
    async def play() -> None:
        backends = [await Backend(OK).start(), await Backend(OK).start()]
        async with fleet(tmp_path, *backends) as made:
            crowd = Crowd(made.address, 40)
            await crowd.more(200)
            for _ in range(REPLACEMENTS):
                old, new = made.process, await replacement(made)
                await answers_as(made, new.pid)
                assert await asyncio.wait_for(old.wait(), PATIENCE_S) == 0
                made.process = new
                await crowd.more(200)
            await crowd.finish()
            assert crowd.refused_connects == 0
        assert made.log.read_text().count("estimates of 2 servers are taken up") >= REPLACEMENTS
        assert not crowd.lost and crowd.book[LOST] == 0, crowd.book
        assert not ran_twice([whole for backend in backends for whole in backend.seen])

    asyncio.run(play())


def test_one_that_does_not_become_ready_changes_nothing(tmp_path: Path) -> None:
    """Its file asks for more instances than are ready within its time, which is none at all."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            crowd = Crowd(made.address, 20)
            await crowd.more(100)
            text = made.path.read_text()
            made.path.write_text(text.replace("[listeners", "start_within_ms = 100\n[listeners").replace(
                "instances = 2", "instances = 24"))  # fmt: skip
            new = await replacement(made)
            assert await asyncio.wait_for(new.wait(), PATIENCE_S) == 1
            made.path.write_text(text)
            assert (await made.ask("status"))["pid"] == made.process.pid
            await crowd.more(200)
            assert (await made.ask("reload"))["ok"]
            await crowd.finish()
            assert crowd.refused_connects == 0
        assert "the replacement is off" in made.log.read_text()
        assert not crowd.lost and not ran_twice(backend.seen)

    asyncio.run(play())


@pytest.mark.parametrize("how", ["stopped", "killed"])
def test_a_stop_in_the_middle_of_a_replacement_ends_both(tmp_path: Path, how: str) -> None:
    """The new program hangs before it is ready; the old one is told to stop, or the new one is killed."""

    async def play() -> None:
        go, later = gate(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            client = await connect(made.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.seen) == 1)
            made.write(instances=8)  # so that it takes a while
            new = await replacement(made)
            try:
                await replacing(made)
                os.kill(new.pid, signal.SIGSTOP)
                if how == "stopped":
                    made.signal(signal.SIGTERM)
                    await logged(made, "stopping")
                    os.kill(new.pid, signal.SIGCONT)
                    assert await asyncio.wait_for(new.wait(), PATIENCE_S) != 0
                    go.set()
                    assert (await client.answer())[0] == 200
                    assert await made.ended() == 0
                else:
                    os.kill(new.pid, signal.SIGKILL)
                    await new.wait()
                    go.set()
                    assert (await client.answer())[0] == 200
                    client.send(request("again"))
                    assert (await client.answer())[0] == 200
                    async with asyncio.timeout(PATIENCE_S):
                        while not (await made.ask("reload"))["ok"]:
                            await asyncio.sleep(0.02)
            finally:
                if new.returncode is None:
                    new.kill()
                    await new.wait()

    asyncio.run(play())


def test_there_is_nothing_to_replace(tmp_path: Path) -> None:
    async def play() -> None:
        made = Fleet(tmp_path, "127.0.0.1:9")
        new = await replacement(made)
        assert await asyncio.wait_for(new.wait(), PATIENCE_S) == 2
        assert made.log.read_text().startswith(f"{made.path}: [daemon] control: ")
        assert not [*tmp_path.glob(".takeover*")]

    asyncio.run(play())


def test_nothing_new_reaches_a_drained_server_though_a_replacement_is_on(tmp_path: Path) -> None:
    async def play() -> None:
        arrivals: list[float] = []

        async def note(_: bytes, writer: asyncio.StreamWriter) -> None:
            arrivals.append(time.monotonic())
            writer.write(OK)

        leaving, staying = await Backend(note).start(), await Backend(OK).start()
        async with fleet(tmp_path, leaving, staying) as made:
            crowd = Crowd(made.address, 40)
            await crowd.more(100)
            old, new = made.process, await replacement(made)
            await replacing(made)
            told = time.monotonic()
            made.tell_registry(member("b0", leaving.address, "draining"))
            await answers_as(made, new.pid)
            assert await asyncio.wait_for(old.wait(), PATIENCE_S) == 0
            made.process = new
            await crowd.more(300)
            await crowd.finish()
        assert arrivals and max(arrivals) - told < 0.55
        assert not crowd.lost and not ran_twice([*leaving.seen, *staying.seen])

    asyncio.run(play())
