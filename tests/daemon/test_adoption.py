"""The supervisor is killed, restarted or replaced: with real processes, checked from clients and backends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from sorrelfront.daemon import control
from sorrelfront.daemon.channel import bind_private, configure_socket, send
from sorrelfront.daemon.journal import Entry, Journal, RunFolder, encode
from sorrelfront.daemon.processes import boot_id, start_ticks
from sorrelfront.daemon.takeover import HandoverSender
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, connect, gated_script, member, request
from sorrelfront.lab.load_generator import LOST, LoadGenerator, ran_twice
from sorrelfront.lab.scripted_servers import Ledger, Server
from tests.daemon.fleet import OK, Fleet, fleet, hello
from tests.daemon.test_fleet import ServiceManager, alive
from tests.daemon.test_replacement import start_replacement, wait_for_control_socket, wait_for_handover
from tests.loopback import until
from tests.test_process import ROOT

ORPHAN_MS = 60_000  # longer than any of these tests


def check(crowd: LoadGenerator, *backends: Backend) -> None:
    assert not crowd.lost and crowd.outcomes[LOST] == 0 and crowd.refused_connects == 0, crowd.outcomes
    assert crowd.served
    assert not ran_twice([whole for backend in backends for whole in backend.received])


async def pids(made: Fleet) -> dict[str, int]:
    return {name: item["pid"] for name, item in (await made.status()).items()}


async def pids_of_ready(made: Fleet) -> dict[str, int]:
    return {name: item["pid"] for name, item in (await made.ready()).items()}


async def keep_orphans(made: Fleet, **changes: int) -> None:
    """Have the instances outlive their supervisor from now on."""
    made.orphan_ms = ORPHAN_MS
    made.write(**changes)
    assert (await made.ask("reload"))["ok"]


class DrainingServer:
    """A server that is told to drain at the moment of a kill, and the arrival times of its requests."""

    def __init__(self) -> None:
        self.arrivals: list[float] = []
        self.drained_at = 0.0
        self.backend = Backend(self._note)

    async def _note(self, _: bytes, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append(time.monotonic())
        writer.write(OK)

    def leave(self, made: Fleet) -> None:
        """Set it to draining; it is the second server of the fleet."""
        self.drained_at = time.monotonic()
        made.update_registry(member("b1", self.backend.address, "draining"))

    def drain_kept(self) -> bool:
        return bool(self.arrivals) and max(self.arrivals) - self.drained_at < 0.55


def test_a_supervisor_killed_under_load_loses_no_request_and_drains_are_kept(tmp_path: Path) -> None:
    async def play() -> None:
        leaving, staying = DrainingServer(), await Backend(OK).start()
        await leaving.backend.start()
        async with fleet(tmp_path, staying, leaving.backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            crowd = LoadGenerator(made.address, 40)
            await crowd.wait_for_answers(200)
            await made.kill()
            leaving.leave(made)
            await crowd.wait_for_answers(200)
            await made.start()
            assert {name: item["pid"] for name, item in (await made.ready()).items()} == before
            status = await made.ask("status")
            assert status["adopted"] == 2 and status["generation"] == 1
            assert all(item["adopted"] and item["run"] == 1 for item in status["instances"])
            await crowd.wait_for_answers(200)
            made.write(sockets=300)  # adopted instances accept a reload like others
            assert (await made.ask("reload"))["ok"]
            await crowd.wait_for_answers(200)
            await crowd.finish()
        check(crowd, leaving.backend, staying)
        assert leaving.drain_kept()

    asyncio.run(play())


def test_killed_while_idle_repeatedly_and_an_instance_that_died_meanwhile_is_started(tmp_path: Path) -> None:
    async def play() -> None:
        backend, leaving = await Backend(OK).start(), DrainingServer()
        await leaving.backend.start()
        async with fleet(tmp_path, backend, leaving.backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            crowd = LoadGenerator(made.address, 4)
            await crowd.wait_for_answers(100)  # both servers get requests
            await crowd.finish()
            for number in range(2):
                await made.kill()
                if not number:
                    leaving.leave(made)
                await made.start()
                assert {name: item["pid"] for name, item in (await made.ready()).items()} == before
            await made.kill()
            os.kill(before["i0"], signal.SIGKILL)
            await made.start()
            after = {name: item["pid"] for name, item in (await made.ready()).items()}
            assert after["i1"] == before["i1"] and after["i0"] != before["i0"]
            client = await connect(made.address)
            client.send(request("r"))
            assert (await client.answer())[0] == 200
            crowd = LoadGenerator(made.address, 4, name="d")
            await crowd.wait_for_answers(100)
            await crowd.finish()
        check(crowd, backend, leaving.backend)
        assert leaving.drain_kept()

    asyncio.run(play())


def test_killed_between_two_instances_of_a_reload_both_get_the_new_file(tmp_path: Path) -> None:
    async def play() -> None:
        backend, leaving = await Backend(OK).start(), DrainingServer()
        await leaving.backend.start()
        async with fleet(tmp_path, backend, leaving.backend) as made:
            await keep_orphans(made)
            crowd = LoadGenerator(made.address, 20)
            await crowd.wait_for_answers(50)
            numbers = await pids(made)
            os.kill(numbers["i1"], signal.SIGSTOP)
            made.write(classes=("look", "pay", "book"), sockets=300)
            reload = asyncio.create_task(made.ask("reload"))
            instance_socket = next(made.folder.glob(f"c.sock.d/i0-{numbers['i0']}.sock"))
            await until(lambda: hello(instance_socket)["generation"] == 2)  # the first one has applied it
            os.kill(numbers["i1"], signal.SIGCONT)
            await made.kill()
            leaving.leave(made)
            with contextlib.suppress(Exception):
                await reload
            await made.start()
            await made.ready()
            assert await pids(made) == numbers
            for name, number in numbers.items():
                instance_socket = next(made.folder.glob(f"c.sock.d/{name}-{number}.sock"))
                await until(lambda instance_socket=instance_socket: hello(instance_socket)["generation"] == 2)  # type: ignore[misc]
            digests = {hello(path)["digest"] for path in made.folder.glob("c.sock.d/*-*.sock")}
            assert len(digests) == 1
            await crowd.wait_for_answers(100)
            await crowd.finish()
        check(crowd, backend, leaving.backend)
        assert leaving.drain_kept()

    asyncio.run(play())


@pytest.mark.parametrize("which", ["old", "both"])
def test_killed_once_the_sockets_were_sent(tmp_path: Path, which: str) -> None:
    """A program is killed during a take-over, after the sockets were sent.

    If the old one is killed, the new one takes its place, and the old instances drain. If both are killed,
    the old one's instances continue to serve, and a third program adopts them.
    """

    async def play() -> None:
        backend, leaving = await Backend(OK).start(), DrainingServer()
        await leaving.backend.start()
        async with fleet(tmp_path, backend, leaving.backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            crowd = LoadGenerator(made.address, 20)
            await crowd.wait_for_answers(50)
            made.write(instances=4)  # so that it takes a while
            made.instances = 4
            new = await start_replacement(made)
            await wait_for_handover(made)
            if which == "both":
                # Some of the new program's instances have their configuration, and it is not active yet.
                await until(lambda: len(made.orphans()) > 2)
                new.send_signal(signal.SIGSTOP)
                new.kill()
                await new.wait()
            await made.kill()
            leaving.leave(made)
            if which == "both":
                await crowd.wait_for_answers(50)
                # The new program was not active: its instances drain, the old one's continue to serve.
                await until(lambda: set(made.orphans()) == set(before.values()))
                made.write(instances=2)
                made.instances = 2
                await made.start()
                await made.ready()
                assert set((await pids(made)).values()) <= set(before.values()) | set(made.orphans())
                assert (await made.ask("status"))["adopted"] >= 1
            else:
                made.process = new
                await wait_for_control_socket(made, new.pid)
                # Whether it had the sockets by then or starts in place of the old one: four are ready, and no
                # other instance serves.
                found = await made.ready()
                numbers = {item["pid"] for item in found.values()}
                await until(lambda: set(made.orphans()) == numbers)
                await until(lambda: not any(alive(pid) for pid in set(before.values()) - numbers))
            await crowd.wait_for_answers(50)
            await crowd.finish()
        check(crowd, backend, leaving.backend)
        assert leaving.drain_kept()

    asyncio.run(play())


@pytest.mark.parametrize("when", ["before it gives", "while the new one starts"])
def test_the_lock_of_a_killed_program_is_waited_for(tmp_path: Path, when: str) -> None:
    """A new program must not give up because the lock of a killed one is still held.

    The kernel closes the descriptors of a killed program one by one: its connection ends first, and the lock
    is free only later. The test plays the running program, so that it controls both moments.
    """

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            folder, given = RunFolder(tmp_path / "c.sock.d"), list[HandoverSender]()

            async def hand_over(message: dict[str, Any]) -> dict[str, Any]:
                given.append(HandoverSender(message["to"]))
                if when == "while the new one starts":
                    assert given[0].send_handover({made.address: listening}, {})
                return {"ok": True}

            assert folder.lock()
            played = control.Control(tmp_path / "c.sock", hand_over)
            await played.start()
            with socket.create_server(made.address) as listening:
                made.process = await start_replacement(made)
                await until(lambda: bool(given) and (when == "before it gives" or bool(made.orphans())))
                given[0].close()
                await until(lambda: "to let go of the lock" in made.log.read_text())
            await played.close()
            folder.unlock()
            await wait_for_control_socket(made, made.process.pid)
            await made.ready()

    asyncio.run(play())


def test_a_stop_during_the_handover_calls_the_replacement_off(tmp_path: Path) -> None:
    """A program that is stopped during a handover must not be taken for a crashed one and replaced.

    The test plays the running program, which is told to stop before it has sent anything.
    """

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0

            async def hand_over(message: dict[str, Any]) -> dict[str, Any]:
                bequest = HandoverSender(message["to"])
                assert send(bequest.sock, {"op": "off", "why": "the running program was told to stop"})
                bequest.close()
                return {"ok": True}

            played = control.Control(tmp_path / "c.sock", hand_over)
            await played.start()
            new = await start_replacement(made)
            assert await asyncio.wait_for(new.wait(), WAIT_TIMEOUT_S) == 2
            await played.close()
        assert "was told to stop" in made.log.read_text() and not made.orphans()

    asyncio.run(play())


def test_instances_of_a_supervisor_killed_during_its_start_are_adopted(tmp_path: Path) -> None:
    async def play() -> None:
        backend, draining = await Backend(OK).start(), await Backend(OK).start()
        async with fleet(tmp_path, backend, draining, instances=4) as made:
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            made.orphan_ms = ORPHAN_MS
            made.write()
            await made.start()
            await until(lambda: len(made.orphans()) >= 2)  # some have started, and not all are ready
            await made.kill()
            made.update_registry(member("b1", draining.address, "draining"))
            await made.start()
            found = await made.ready()
            assert len({item["pid"] for item in found.values()}) == 4
            crowd = LoadGenerator(made.address, 20)
            await crowd.wait_for_answers(50)
            await crowd.finish()
            # No instance runs twice: all processes belong to the fleet.
            await until(lambda: sorted(made.orphans()) == sorted(item["pid"] for item in found.values()))
        check(crowd, backend)
        assert not draining.received  # it was told to drain before the first request

    asyncio.run(play())


def test_of_two_supervisors_started_at_once_one_stays(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            await made.kill()
            await made.start()
            first = made.process
            await made.start()
            second = made.process
            done, _ = await asyncio.wait(
                [asyncio.create_task(first.wait()), asyncio.create_task(second.wait())],
                timeout=WAIT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED,
            )  # fmt: skip
            assert [task.result() for task in done] == [2]
            made.process = second if first.returncode is not None else first
            await made.ready()
            assert await pids(made) == before
            assert "another daemon runs by this file" in made.log.read_text()
            # And one more while this one runs.
            living = made.process
            await made.start()
            assert await made.ended() == 2
            made.process = living
            assert await pids(made) == before

    asyncio.run(play())


def test_a_process_number_that_another_program_has_by_now_is_left_alone(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        stranger = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(300)"])
        try:
            async with fleet(tmp_path, backend) as made:
                await keep_orphans(made)
                before = await pids(made)
                await made.kill()
                ticks = start_ticks(stranger.pid)
                assert ticks is not None
                entries = [Entry("i0", 1, stranger.pid, ticks - 1), Entry("i1", 1, before["i1"], 5)]
                journal = Journal(boot_id(), 1, "", entries)
                folder = made.folder / "c.sock.d"
                (folder / "journal").write_bytes(encode(journal))
                # And a socket on which another process listens instead of the instance.
                with bind_private(socket.SOCK_SEQPACKET, folder / f"i0-{before['i0']}x.sock") as odd:
                    configure_socket(odd)
                    odd.listen(1)
                    await made.start()
                    assert {name: item["pid"] for name, item in (await made.ready()).items()} == before
                assert stranger.poll() is None
        finally:
            stranger.kill()
            stranger.wait()

    asyncio.run(play())


def test_one_that_hangs_during_adoption_is_killed_and_started_again(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            os.kill(before["i0"], signal.SIGSTOP)
            await made.kill()
            made.write(hang_after_ms=1_000)
            await made.start()
            found = {name: item["pid"] for name, item in (await made.ready()).items()}
            assert found["i1"] == before["i1"] and found["i0"] != before["i0"]
            await until(lambda: not alive(before["i0"]))

    asyncio.run(play())


@pytest.mark.parametrize("how", ["late", "never"])
def test_one_that_is_slow_or_hangs_once_it_is_asked_to_be_adopted(tmp_path: Path, how: str) -> None:
    """One instance delays adoption while those already adopted send heartbeats.

    Nothing may be started in its place too early. An instance that answers late is adopted; one that never
    answers is replaced.
    """

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            digest = str(hello(next(made.folder.glob("c.sock.d/i0-*.sock")))["digest"])
            await made.kill()
            os.kill(before["i1"], signal.SIGKILL)
            await until(lambda: not alive(before["i1"]))
            arguments = ["-m", "tests.daemon.odd_instance", str(made.folder / "c.sock.d"), "i1", digest, how]
            odd = await asyncio.create_subprocess_exec(sys.executable, *arguments, cwd=ROOT)
            try:
                await until((made.folder / "c.sock.d" / f"i1-{odd.pid}.sock").exists)
                await made.start()
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while True:
                        with contextlib.suppress(control.DaemonUnavailable):
                            found = await made.status()
                            if all(item["phase"] == "ready" for item in found.values()):
                                break
                        await asyncio.sleep(0.02)
                assert found["i0"]["pid"] == before["i0"]
                assert (found["i1"]["pid"] == odd.pid) == (how == "late")
                assert "Traceback" not in made.log.read_text()
                made.signal(signal.SIGTERM)
                assert await made.ended() == 0
                if how == "late":
                    await asyncio.wait_for(odd.wait(), WAIT_TIMEOUT_S)
                await made.start()
                await made.ready()
            finally:
                if odd.returncode is None:
                    odd.kill()
                    await odd.wait()

    asyncio.run(play())


def test_one_that_is_leaving_hands_over_the_address_that_it_holds(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            power_cut(made)
            await made.process.wait()
            folder, port = str(made.folder / "c.sock.d"), str(made.address[1])
            arguments = ["-m", "tests.daemon.odd_instance", folder, "i1", "", "leaving", port]
            odd = await asyncio.create_subprocess_exec(sys.executable, *arguments, cwd=ROOT)
            try:
                await until((made.folder / "c.sock.d" / f"i1-{odd.pid}.sock").exists)
                waiting = await connect(made.address)  # in the accept queue that the instance leaves unserved
                waiting.send(request("r"))
                await made.start()
                await made.ready()
                assert (await waiting.answer())[0] == 200
                assert await asyncio.wait_for(odd.wait(), WAIT_TIMEOUT_S) == 0
            finally:
                if odd.returncode is None:
                    odd.kill()
                    await odd.wait()

    asyncio.run(play())


def test_orphans_drain_if_no_supervisor_comes(tmp_path: Path) -> None:
    async def play() -> None:
        go, later = gated_script(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            made.orphan_ms = 300
            made.write()
            assert (await made.ask("reload"))["ok"]
            before = await pids(made)
            client = await connect(made.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.received) == 1)
            await made.kill()
            await until(lambda: "no supervisor came" in made.log.read_text())
            # They drain and still hold the address: the next supervisor receives the sockets from them.
            await made.start()
            assert not set((await pids_of_ready(made)).values()) & set(before.values())
            go.set()
            assert (await client.answer())[0] == 200
            await until(lambda: not any(alive(pid) for pid in before.values()))
            assert set(made.orphans()) == set((await pids(made)).values())

    asyncio.run(play())


def test_a_file_that_no_adopted_instance_has_is_given_to_all(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await keep_orphans(made)
            before = await pids(made)
            await made.kill()
            made.write(classes=("look", "pay"))
            await made.start()
            await made.ready()
            assert await pids(made) == before
            client = await connect(made.address)
            instance_sockets = [*made.folder.glob("c.sock.d/*-*.sock")]
            await until(lambda: all(hello(path)["generation"] == 2 for path in instance_sockets))
            for name, status in (("book", 404), ("look", 200)):
                client.send(request(f"r{name}", name))
                assert (await client.answer())[0] == status
                client = await connect(made.address)
            assert (await made.ask("status"))["generation"] == 2

    asyncio.run(play())


def test_the_orphan_timeout_expires_during_adoption(tmp_path: Path) -> None:
    """An orphan may begin to drain at the moment of its adoption.

    Whichever comes first, all requests are served and two instances are there in the end.
    """

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.orphan_ms = 700  # about as long as a supervisor takes to find them
            made.write()
            assert (await made.ask("reload"))["ok"]
            crowd = LoadGenerator(made.address, 10, pause_s=0.005)
            for wait_s in (0.0, 0.15, 0.3, 0.45):
                await crowd.wait_for_answers(20)
                await made.kill()
                await asyncio.sleep(wait_s)
                await made.start()
                await made.ready()
                await crowd.wait_for_answers(20)
            await crowd.finish()
            found = await pids(made)
            await until(lambda: sorted(made.orphans()) == sorted(found.values()))
        assert not crowd.lost and crowd.outcomes[LOST] == 0, crowd.outcomes
        assert not ran_twice(backend.received)

    asyncio.run(play())


def test_the_service_managers_store_keeps_sockets_and_journal(tmp_path: Path) -> None:
    """All processes are killed, and the journal file is lost.

    The service manager returns the sockets, so that clients which connected meanwhile are served, and the
    journal in memory still holds the generation.
    """
    code = "import os, sys; os.environ['LISTEN_PID'] = str(os.getpid()); os.execv(sys.argv[1], sys.argv[1:])"

    async def play() -> None:
        backend = await Backend(OK).start()
        manager = ServiceManager(tmp_path)
        made = Fleet(tmp_path, "127.0.0.1:9", instances=1)
        made.environ["NOTIFY_SOCKET"] = str(manager.path)
        made.registry = "127.0.0.1:9"
        await made.start()
        again: asyncio.subprocess.Process | None = None
        try:
            assert (await manager.next_state()).startswith("READY=1")
            made.write(sockets=300)
            assert (await made.ask("reload"))["ok"]
            assert (await manager.next_state()).startswith("RELOADING=1")
            assert await manager.next_state() == "READY=1"
            numbers = await pids(made)
            await made.kill()
            for pid in numbers.values():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            assert set(manager.store) == {"sorrelfront-listener", "sorrelfront-state"}
            waiting = await connect(made.address)  # in the accept queue of the stored socket
            waiting.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            (made.folder / "c.sock.d" / "journal").unlink()
            kept = [*manager.store["sorrelfront-listener"], *manager.store["sorrelfront-state"]]
            names = "sorrelfront-listener:sorrelfront-state"
            environ = {**os.environ, **made.environ, "LISTEN_FDS": "2", "LISTEN_FDNAMES": names}
            again = await _exec_with(kept, code, made, environ)
            assert (await manager.next_state()).startswith("READY=1")
            assert (await waiting.answer())[0] == 200
            assert (await made.ask("status"))["generation"] == 1
            os.kill(again.pid, signal.SIGTERM)
            assert await manager.next_state() == "STOPPING=1"
            assert await asyncio.wait_for(again.wait(), WAIT_TIMEOUT_S) == 0
        finally:
            for process in (made.process, again):
                if process is not None and process.returncode is None:
                    process.kill()
                    await process.wait()
            for pid in made.orphans():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            backend.stop()

    asyncio.run(play())


async def _exec_with(
    descriptors: list[int], code: str, made: Fleet, environ: dict[str, str]
) -> asyncio.subprocess.Process:
    """Start the daemon with these as its descriptors 3, 4, ..., as a service manager does."""
    lay = (
        f"import os\nfor at, fd in enumerate({[fd + 100 for fd in descriptors]}): os.dup2(fd, 3 + at)\n{code}"
    )
    high = [os.dup2(fd, fd + 100, inheritable=True) for fd in descriptors]
    try:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-c", lay, sys.executable, "-m", "sorrelfront.cli.main", "serve", str(made.path),
            cwd=ROOT, env=environ, pass_fds=high,
        )  # fmt: skip
    finally:
        for fd in high:
            os.close(fd)


def power_cut(made: Fleet) -> None:
    """Kill all processes of the fleet at once."""
    for pid in [made.process.pid, *made.orphans()]:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


def test_after_a_power_cut_estimates_are_restored_and_no_cold_server_is_overloaded(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        book = Ledger(4.0)
        servers = [Server(f"b{at}", book, service_s=0.02, slots=4) for at in range(4)]
        for server in servers:
            await server.start()
        async with fleet(tmp_path, *servers) as made:
            made.extra_daemon_lines = 'state_dir = "state"\nstate_every_ms = 100'
            made.write()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            await made.start()
            await made.ready()
            crowd = LoadGenerator(made.address, 10)
            await crowd.wait_for_answers(200)
            learnt = made.folder / "state" / "learnt"
            await until(learnt.exists)
            await until(lambda: learnt.read_bytes().count(b'"b') >= 4)
            await crowd.finish()
            assert not crowd.lost
            power_cut(made)
            await made.process.wait()
            began_ms = time.time_ns() // 1_000_000
            for server in servers[:2]:
                server.mark_started()
                server.arrivals.clear()
                entry = member(server.name, server.address)
                made.update_registry({**entry, "up_since_ms": began_ms})
            await made.start()
            found = await made.ready()
            assert (await made.ask("status"))["state"]["restored"]
            crowd = LoadGenerator(made.address, 20, pause_s=0.002, name="d")
            await crowd.wait_for_answers(400)
            await crowd.finish()
            assert len(found) == 2
            # Two servers were restarted since: they are cold, and have no estimates.
            assert "estimates of 2 servers are taken up" in made.log.read_text()
            assert sum(server.cold_overruns(9.0, 0.3, 3.0, 1.5) for server in servers) == 0
        assert not crowd.lost and not book.duplicates, crowd.outcomes

    asyncio.run(play())


def test_a_faulty_file_and_the_one_that_was_in_force_last(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.extra_daemon_lines = 'state_dir = "state"\nstate_every_ms = 100'
            made.write()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            await made.start()
            await made.ready()
            await until((made.folder / "state" / "fleet").exists)
            power_cut(made)
            await made.process.wait()
            good = made.path.read_text()
            made.path.write_text(good + "[nonsense")
            await made.start()
            assert await made.ended() == 2  # the default, without the option
            await made.start(more=("--last-good", str(made.folder / "state")))
            await made.ready()
            assert "starting by the file that was in force last" in made.log.read_text()
            assert not (await made.ask("reload"))["ok"]
            made.path.write_text(good)
            assert (await made.ask("reload"))["ok"]

    asyncio.run(play())


# No file system can be mounted here: the program itself raises the error of a read-only one.
READ_ONLY = """
import errno, os
opened = os.open
def refuse(path, flags, *more, **named):
    if flags & os.O_CREAT and "/state/" in str(path):
        raise OSError(errno.EROFS, os.strerror(errno.EROFS))
    return opened(path, flags, *more, **named)
os.open = refuse
"""


def test_a_disk_that_hangs_in_each_write_blocks_nothing(tmp_path: Path) -> None:
    """Requests, a reload, the restart of a killed instance and a stop must not wait for the disk.

    Each write hangs for longer than any of these may take.
    """
    slow = "import os, time; os.fsync = lambda _: time.sleep(10 * 60)"

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.extra_daemon_lines = 'state_dir = "state"\nstate_every_ms = 100'
            made.write()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            await made.start(slow)
            before = await pids_of_ready(made)
            crowd = LoadGenerator(made.address, 10)
            await crowd.wait_for_answers(50)
            made.write(sockets=300)
            assert (await made.ask("reload"))["ok"]
            await crowd.wait_for_answers(50)
            await crowd.finish()
            os.kill(before["i0"], signal.SIGKILL)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await pids_of_ready(made))["i0"] == before["i0"]:
                    await asyncio.sleep(0.02)
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            await made.start()
            await made.ready()
        check(crowd, backend)

    asyncio.run(play())


@pytest.mark.parametrize(
    "how", ["a file in its place", "gone while it runs", "full while it runs", "read-only", "spoilt records"]
)
def test_state_that_cannot_be_kept_or_trusted_is_no_reason_not_to_serve(tmp_path: Path, how: str) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.extra_daemon_lines = 'state_dir = "state"\nstate_every_ms = 100'
            made.write()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            folder = made.folder / "state"
            if how == "a file in its place":
                folder.write_text("")
            elif how == "spoilt records":
                folder.mkdir()
                (folder / "fleet").write_bytes(b"SRLF" + bytes(100))
                os.mkfifo(folder / "learnt")
            await made.start(READ_ONLY if how == "read-only" else "")
            await made.ready()
            crowd = LoadGenerator(made.address, 10)
            await crowd.wait_for_answers(50)
            if how == "gone while it runs":
                await until((folder / "learnt").exists)
                folder.rename(made.folder / "elsewhere")
            if how == "full while it runs":
                await until((folder / "learnt").exists)
                # No file may grow any more: the kernel returns EFBIG, as it returns ENOSPC for a full disk.
                resource.prlimit(made.process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
            if how != "spoilt records":
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while not (await made.ask("status"))["state"]["fault"]:
                        await crowd.wait_for_answers(1)
            else:
                await until(lambda: (folder / "learnt").is_file())
                assert (folder / "fleet.bad").exists() and (folder / "learnt.bad").is_fifo()
            if how == "gone while it runs":
                (made.folder / "elsewhere").rename(folder)
            if how == "full while it runs":
                endless = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
                resource.prlimit(made.process.pid, resource.RLIMIT_FSIZE, endless)
            if how.endswith("runs"):
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    while (await made.ask("status"))["state"]["fault"]:
                        await crowd.wait_for_answers(1)
            await crowd.finish()
        check(crowd, backend)

    asyncio.run(play())
