"""A new program takes over under load; no connection is refused, no request lost or repeated."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

import pytest

from sorrelfront.daemon import control
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, connect, gated_script, member, request
from sorrelfront.lab.load_generator import LOST, LoadGenerator, ran_twice
from tests.daemon.fleet import OK, Fleet, fleet
from tests.loopback import until
from tests.test_process import ROOT

REPLACEMENTS = 4


async def start_replacement(daemon: Fleet) -> asyncio.subprocess.Process:
    """Start a second daemon that is to replace the running one."""
    with daemon.log.open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sorrelfront.cli.main", "serve", str(daemon.path), "--replace",
            cwd=ROOT, stderr=log,
        )  # fmt: skip


async def wait_for_control_socket(daemon: Fleet, pid: int) -> None:
    """Wait until this process answers on the control socket."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            try:
                if (await daemon.ask("status"))["pid"] == pid:
                    return
            except control.DaemonUnavailable:
                pass
            await asyncio.sleep(0.01)


async def wait_for_handover(daemon: Fleet) -> None:
    """Wait until the running program has been asked to hand over."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not (await daemon.ask("status"))["replacing"]:
            await asyncio.sleep(0.002)


async def wait_for_log(daemon: Fleet, text: str) -> None:
    """Wait until the log contains this text."""
    await until(lambda: text in daemon.log.read_text())


def test_replacements_under_load_lose_and_double_nothing_and_refuse_no_connect(tmp_path: Path) -> None:
    """Repeated replacements must not drop or repeat requests, refuse connections or lose estimates."""

    async def scenario() -> None:
        backends = [await Backend(OK).start(), await Backend(OK).start()]
        async with fleet(tmp_path, *backends) as daemon:
            crowd = LoadGenerator(daemon.address, 40)
            await crowd.wait_for_answers(200)
            for _ in range(REPLACEMENTS):
                old, new = daemon.process, await start_replacement(daemon)
                await wait_for_control_socket(daemon, new.pid)
                assert await asyncio.wait_for(old.wait(), WAIT_TIMEOUT_S) == 0
                daemon.process = new
                await crowd.wait_for_answers(200)
            await crowd.finish()
            assert crowd.refused_connects == 0
        assert daemon.log.read_text().count("estimates of 2 servers are taken up") >= REPLACEMENTS
        assert not crowd.lost and crowd.outcomes[LOST] == 0, crowd.outcomes
        assert not ran_twice([whole for backend in backends for whole in backend.received])

    asyncio.run(scenario())


def test_one_that_does_not_become_ready_changes_nothing(tmp_path: Path) -> None:
    """A replacement that is not ready in time must end without affecting the running program.

    Its file asks for 24 instances to be ready within 100 ms.
    """

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            crowd = LoadGenerator(daemon.address, 20)
            await crowd.wait_for_answers(100)
            text = daemon.path.read_text()
            daemon.path.write_text(text.replace("[listeners", "start_within_ms = 100\n[listeners").replace(
                "instances = 2", "instances = 24"))  # fmt: skip
            new = await start_replacement(daemon)
            assert await asyncio.wait_for(new.wait(), WAIT_TIMEOUT_S) == 1
            daemon.path.write_text(text)
            assert (await daemon.ask("status"))["pid"] == daemon.process.pid
            await crowd.wait_for_answers(200)
            assert (await daemon.ask("reload"))["ok"]
            await crowd.finish()
            assert crowd.refused_connects == 0
        assert "the replacement is off" in daemon.log.read_text()
        assert not crowd.lost and not ran_twice(backend.received)

    asyncio.run(scenario())


@pytest.mark.parametrize("how", ["stopped", "killed"])
def test_a_stop_in_the_middle_of_a_replacement_ends_both(tmp_path: Path, how: str) -> None:
    """A replacement must not outlive a stop of the running program, nor take it down when it is killed.

    The new program hangs before it is ready; then the old one is told to stop, or the new one is killed.
    """

    async def scenario() -> None:
        go, later = gated_script(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as daemon:
            client = await connect(daemon.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.received) == 1)
            daemon.write(instances=8)  # so that the start takes long enough
            new = await start_replacement(daemon)
            try:
                await wait_for_handover(daemon)
                os.kill(new.pid, signal.SIGSTOP)
                if how == "stopped":
                    daemon.signal(signal.SIGTERM)
                    await wait_for_log(daemon, "stopping")
                    os.kill(new.pid, signal.SIGCONT)
                    assert await asyncio.wait_for(new.wait(), WAIT_TIMEOUT_S) != 0
                    go.set()
                    assert (await client.answer())[0] == 200
                    assert await daemon.ended() == 0
                else:
                    os.kill(new.pid, signal.SIGKILL)
                    await new.wait()
                    go.set()
                    assert (await client.answer())[0] == 200
                    client.send(request("again"))
                    assert (await client.answer())[0] == 200
                    async with asyncio.timeout(WAIT_TIMEOUT_S):
                        while not (await daemon.ask("reload"))["ok"]:
                            await asyncio.sleep(0.02)
            finally:
                if new.returncode is None:
                    new.kill()
                    await new.wait()

    asyncio.run(scenario())


def test_there_is_nothing_to_replace(tmp_path: Path) -> None:
    """`--replace` without a running daemon ends with status 2 and leaves no file behind."""

    async def scenario() -> None:
        daemon = Fleet(tmp_path, "127.0.0.1:9")
        new = await start_replacement(daemon)
        assert await asyncio.wait_for(new.wait(), WAIT_TIMEOUT_S) == 2
        assert daemon.log.read_text().startswith(f"{daemon.path}: [daemon] control: ")
        assert not [*tmp_path.glob(".takeover*")]

    asyncio.run(scenario())


def test_nothing_new_reaches_a_drained_server_though_a_replacement_is_on(tmp_path: Path) -> None:
    """A replacement must not delay the update that a server drains: 0.55 s later it gets no requests."""

    async def scenario() -> None:
        arrivals: list[float] = []

        async def note(_: bytes, writer: asyncio.StreamWriter) -> None:
            arrivals.append(time.monotonic())
            writer.write(OK)

        leaving, staying = await Backend(note).start(), await Backend(OK).start()
        async with fleet(tmp_path, leaving, staying) as daemon:
            crowd = LoadGenerator(daemon.address, 40)
            await crowd.wait_for_answers(100)
            old, new = daemon.process, await start_replacement(daemon)
            await wait_for_handover(daemon)
            told = time.monotonic()
            daemon.update_registry(member("b0", leaving.address, "draining"))
            await wait_for_control_socket(daemon, new.pid)
            assert await asyncio.wait_for(old.wait(), WAIT_TIMEOUT_S) == 0
            daemon.process = new
            await crowd.wait_for_answers(300)
            await crowd.finish()
        assert arrivals and max(arrivals) - told < 0.55
        assert not crowd.lost and not ran_twice([*leaving.received, *staying.received])

    asyncio.run(scenario())


# Guards against an id that runs twice since it comes to another instance, of this program or of the next one.
def test_an_id_runs_once_whichever_instance_it_comes_to(tmp_path: Path) -> None:
    async def scenario() -> None:
        backends = [await Backend(OK).start(), await Backend(OK).start()]
        async with fleet(tmp_path, *backends, instances=3) as daemon:

            async def ask(name: str) -> int:
                client = await connect(daemon.address)
                client.send(request(name, "pay", b"x"))
                status = (await client.answer())[0]
                client.close()
                return status

            names = [f"r{number}" for number in range(40)]
            assert [await ask(name) for name in names] == [200] * 40
            assert [await ask(name) for name in names for _ in range(4)] == [409] * 160
            statuses = await asyncio.gather(*(ask(f"both-{at // 4}") for at in range(160)))
            assert statuses.count(200) <= 40
            old, new = daemon.process, await start_replacement(daemon)
            await wait_for_control_socket(daemon, new.pid)
            daemon.process = new
            assert [await ask(name) for name in names for _ in range(4)] == [409] * 160
            assert ran_twice([whole for backend in backends for whole in backend.received]) == []
            assert await asyncio.wait_for(old.wait(), WAIT_TIMEOUT_S) == 0

    asyncio.run(scenario())
