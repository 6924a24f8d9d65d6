"""The supervisor is killed, or starts where another was: over real processes, counted from outside books."""

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
from sorrelfront.daemon.channel import bind_private, prepare, send
from sorrelfront.daemon.journal import Entry, Journal, RunFolder, encode
from sorrelfront.daemon.processes import boot_id, start_ticks
from sorrelfront.daemon.takeover import Bequest
from sorrelfront.lab.crowd import LOST, Crowd, ran_twice
from sorrelfront.lab.http1 import PATIENCE_S, Backend, connect, gate, member, request
from sorrelfront.lab.shop import Book, Server
from tests.daemon.fleet import OK, Fleet, fleet, hello
from tests.daemon.test_fleet import Manager, alive
from tests.daemon.test_replacement import answers_as, replacement, replacing
from tests.loopback import until
from tests.test_process import ROOT

ORPHAN_MS = 60_000  # longer than any of these takes


def check(crowd: Crowd, *backends: Backend) -> None:
    assert not crowd.lost and crowd.book[LOST] == 0 and crowd.refused_connects == 0, crowd.book
    assert crowd.served
    assert not ran_twice([whole for backend in backends for whole in backend.seen])


async def pids(made: Fleet) -> dict[str, int]:
    return {name: item["pid"] for name, item in (await made.status()).items()}


async def pids_of_ready(made: Fleet) -> dict[str, int]:
    return {name: item["pid"] for name, item in (await made.ready()).items()}


async def lasting(made: Fleet, **changes: int) -> None:
    """From here on instances outlive their supervisor."""
    made.orphan_ms = ORPHAN_MS
    made.write(**changes)
    assert (await made.ask("reload"))["ok"]


class Leaving:
    """A server that is told to drain in the moment of a kill, and its book of arrivals."""

    def __init__(self) -> None:
        self.arrivals: list[float] = []
        self.told = 0.0
        self.backend = Backend(self._note)

    async def _note(self, _: bytes, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append(time.monotonic())
        writer.write(OK)

    def leave(self, made: Fleet) -> None:
        """It is the second one of the fleet's."""
        self.told = time.monotonic()
        made.tell_registry(member("b1", self.backend.address, "draining"))

    def kept(self) -> bool:
        return bool(self.arrivals) and max(self.arrivals) - self.told < 0.55


def test_a_supervisor_killed_under_load_costs_nothing_and_drains_are_kept(tmp_path: Path) -> None:
    async def play() -> None:
        leaving, staying = Leaving(), await Backend(OK).start()
        await leaving.backend.start()
        async with fleet(tmp_path, staying, leaving.backend) as made:
            await lasting(made)
            before = await pids(made)
            crowd = Crowd(made.address, 40)
            await crowd.more(200)
            await made.kill()
            leaving.leave(made)
            await crowd.more(200)
            await made.start()
            assert {name: item["pid"] for name, item in (await made.ready()).items()} == before
            status = await made.ask("status")
            assert status["adopted"] == 2 and status["generation"] == 1
            assert all(item["adopted"] and item["run"] == 1 for item in status["instances"])
            await crowd.more(200)
            made.write(sockets=300)  # adopted ones take another file, like others
            assert (await made.ask("reload"))["ok"]
            await crowd.more(200)
            await crowd.finish()
        check(crowd, leaving.backend, staying)
        assert leaving.kept()

    asyncio.run(play())


def test_at_rest_again_and_again_and_what_died_meanwhile_is_started(tmp_path: Path) -> None:
    async def play() -> None:
        backend, leaving = await Backend(OK).start(), Leaving()
        await leaving.backend.start()
        async with fleet(tmp_path, backend, leaving.backend) as made:
            await lasting(made)
            before = await pids(made)
            crowd = Crowd(made.address, 4)
            await crowd.more(100)  # both are drawn
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
            crowd = Crowd(made.address, 4, name="d")
            await crowd.more(100)
            await crowd.finish()
        check(crowd, backend, leaving.backend)
        assert leaving.kept()

    asyncio.run(play())


def test_killed_between_two_instances_of_a_reload_both_come_to_the_file(tmp_path: Path) -> None:
    async def play() -> None:
        backend, leaving = await Backend(OK).start(), Leaving()
        await leaving.backend.start()
        async with fleet(tmp_path, backend, leaving.backend) as made:
            await lasting(made)
            crowd = Crowd(made.address, 20)
            await crowd.more(50)
            numbers = await pids(made)
            os.kill(numbers["i1"], signal.SIGSTOP)
            made.write(classes=("look", "pay", "book"), sockets=300)
            reload = asyncio.create_task(made.ask("reload"))
            door = next(made.folder.glob(f"c.sock.d/i0-{numbers['i0']}.sock"))
            await until(lambda: hello(door)["generation"] == 2)  # the first one has taken it
            os.kill(numbers["i1"], signal.SIGCONT)
            await made.kill()
            leaving.leave(made)
            with contextlib.suppress(Exception):
                await reload
            await made.start()
            await made.ready()
            assert await pids(made) == numbers
            for name, number in numbers.items():
                door = next(made.folder.glob(f"c.sock.d/{name}-{number}.sock"))
                await until(lambda door=door: hello(door)["generation"] == 2)  # type: ignore[misc]
            digests = {hello(path)["digest"] for path in made.folder.glob("c.sock.d/*-*.sock")}
            assert len(digests) == 1
            await crowd.more(100)
            await crowd.finish()
        check(crowd, backend, leaving.backend)
        assert leaving.kept()

    asyncio.run(play())


@pytest.mark.parametrize("which", ["old", "both"])
def test_killed_once_the_sockets_went_over(tmp_path: Path, which: str) -> None:
    """The old program is killed: the new one goes on in its place, and what the old one left drains. Both are
    killed: the old one's instances serve on, and a third program adopts them."""

    async def play() -> None:
        backend, leaving = await Backend(OK).start(), Leaving()
        await leaving.backend.start()
        async with fleet(tmp_path, backend, leaving.backend) as made:
            await lasting(made)
            before = await pids(made)
            crowd = Crowd(made.address, 20)
            await crowd.more(50)
            made.write(instances=4)  # so that it takes a while
            made.instances = 4
            new = await replacement(made)
            await replacing(made)
            if which == "both":
                # Some of the new program's instances have their terms, and it is not in charge.
                await until(lambda: len(made.orphans()) > 2)
                new.send_signal(signal.SIGSTOP)
                new.kill()
                await new.wait()
            await made.kill()
            leaving.leave(made)
            if which == "both":
                await crowd.more(50)
                # The new program was not in charge: its instances drain, the old one's serve on.
                await until(lambda: set(made.orphans()) == set(before.values()))
                made.write(instances=2)
                made.instances = 2
                await made.start()
                await made.ready()
                assert set((await pids(made)).values()) <= set(before.values()) | set(made.orphans())
                assert (await made.ask("status"))["adopted"] >= 1
            else:
                made.process = new
                await answers_as(made, new.pid)
                # Whether it had the sockets by then or starts in the old one's place: four are ready, and
                # nobody else serves.
                found = await made.ready()
                numbers = {item["pid"] for item in found.values()}
                await until(lambda: set(made.orphans()) == numbers)
                await until(lambda: not any(alive(pid) for pid in set(before.values()) - numbers))
            await crowd.more(50)
            await crowd.finish()
        check(crowd, backend, leaving.backend)
        assert leaving.kept()

    asyncio.run(play())


@pytest.mark.parametrize("when", ["before it gives", "while the new one starts"])
def test_the_lock_of_a_killed_program_is_waited_for(tmp_path: Path, when: str) -> None:
    """The kernel closes what a killed program had one by one: its connection is seen to end, and the lock is
    free only later. The program is played here, so that both moments are known."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            folder, given = RunFolder(tmp_path / "c.sock.d"), list[Bequest]()

            async def hand_over(message: dict[str, Any]) -> dict[str, Any]:
                given.append(Bequest(message["to"]))
                if when == "while the new one starts":
                    assert given[0].give({made.address: listening}, {})
                return {"ok": True}

            assert folder.lock()
            played = control.Control(tmp_path / "c.sock", hand_over)
            await played.start()
            with socket.create_server(made.address) as listening:
                made.process = await replacement(made)
                await until(lambda: bool(given) and (when == "before it gives" or bool(made.orphans())))
                given[0].close()
                await until(lambda: "to let go of the lock" in made.log.read_text())
            await played.close()
            folder.unlock()
            await answers_as(made, made.process.pid)
            await made.ready()

    asyncio.run(play())


def test_told_to_stop_while_it_hands_over_nobody_starts_in_its_place(tmp_path: Path) -> None:
    """The running program is played here: it is told to stop before it has sent anything."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0

            async def hand_over(message: dict[str, Any]) -> dict[str, Any]:
                bequest = Bequest(message["to"])
                assert send(bequest.sock, {"op": "off", "why": "the running program was told to stop"})
                bequest.close()
                return {"ok": True}

            played = control.Control(tmp_path / "c.sock", hand_over)
            await played.start()
            new = await replacement(made)
            assert await asyncio.wait_for(new.wait(), PATIENCE_S) == 2
            await played.close()
        assert "was told to stop" in made.log.read_text() and not made.orphans()

    asyncio.run(play())


def test_killed_while_it_starts_what_it_began_is_taken_up(tmp_path: Path) -> None:
    async def play() -> None:
        backend, told = await Backend(OK).start(), await Backend(OK).start()
        async with fleet(tmp_path, backend, told, instances=4) as made:
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            made.orphan_ms = ORPHAN_MS
            made.write()
            await made.start()
            await until(lambda: len(made.orphans()) >= 2)  # some are there, and not all are ready
            await made.kill()
            made.tell_registry(member("b1", told.address, "draining"))
            await made.start()
            found = await made.ready()
            assert len({item["pid"] for item in found.values()}) == 4
            crowd = Crowd(made.address, 20)
            await crowd.more(50)
            await crowd.finish()
            # Nobody is there twice: all that serve are the fleet's.
            await until(lambda: sorted(made.orphans()) == sorted(item["pid"] for item in found.values()))
        check(crowd, backend)
        assert not told.seen  # it was told to drain before anything was asked

    asyncio.run(play())


def test_of_two_supervisors_started_at_once_one_stays(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await lasting(made)
            before = await pids(made)
            await made.kill()
            await made.start()
            first = made.process
            await made.start()
            second = made.process
            done, _ = await asyncio.wait(
                [asyncio.create_task(first.wait()), asyncio.create_task(second.wait())],
                timeout=PATIENCE_S, return_when=asyncio.FIRST_COMPLETED,
            )  # fmt: skip
            assert [task.result() for task in done] == [2]
            made.process = second if first.returncode is not None else first
            await made.ready()
            assert await pids(made) == before
            assert "another daemon runs by this file" in made.log.read_text()
            # And one more while this one lives.
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
                await lasting(made)
                before = await pids(made)
                await made.kill()
                ticks = start_ticks(stranger.pid)
                assert ticks is not None
                entries = [Entry("i0", 1, stranger.pid, ticks - 1), Entry("i1", 1, before["i1"], 5)]
                journal = Journal(boot_id(), 1, "", entries)
                folder = made.folder / "c.sock.d"
                (folder / "journal").write_bytes(encode(journal))
                # And its door: somebody else listens where an instance did.
                with bind_private(socket.SOCK_SEQPACKET, folder / f"i0-{before['i0']}x.sock") as odd:
                    prepare(odd)
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
            await lasting(made)
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
    """Meanwhile those adopted already give signs of life, and nothing is started in its place too early. A
    peer that answers late is adopted; one that never does is not waited for."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await lasting(made)
            before = await pids(made)
            digest = str(hello(next(made.folder.glob("c.sock.d/i0-*.sock")))["digest"])
            await made.kill()
            os.kill(before["i1"], signal.SIGKILL)
            await until(lambda: not alive(before["i1"]))
            words = ["-m", "tests.daemon.odd_instance", str(made.folder / "c.sock.d"), "i1", digest, how]
            odd = await asyncio.create_subprocess_exec(sys.executable, *words, cwd=ROOT)
            try:
                await until((made.folder / "c.sock.d" / f"i1-{odd.pid}.sock").exists)
                await made.start()
                async with asyncio.timeout(PATIENCE_S):
                    while True:
                        with contextlib.suppress(control.Unavailable):
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
                    await asyncio.wait_for(odd.wait(), PATIENCE_S)
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
            words = ["-m", "tests.daemon.odd_instance", folder, "i1", "", "leaving", port]
            odd = await asyncio.create_subprocess_exec(sys.executable, *words, cwd=ROOT)
            try:
                await until((made.folder / "c.sock.d" / f"i1-{odd.pid}.sock").exists)
                waiting = await connect(made.address)  # in the queue that it does not serve any more
                waiting.send(request("r"))
                await made.start()
                await made.ready()
                assert (await waiting.answer())[0] == 200
                assert await asyncio.wait_for(odd.wait(), PATIENCE_S) == 0
            finally:
                if odd.returncode is None:
                    odd.kill()
                    await odd.wait()

    asyncio.run(play())


def test_nobody_comes_and_the_orphans_drain(tmp_path: Path) -> None:
    async def play() -> None:
        go, later = gate(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            made.orphan_ms = 300
            made.write()
            assert (await made.ask("reload"))["ok"]
            before = await pids(made)
            client = await connect(made.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.seen) == 1)
            await made.kill()
            await until(lambda: "no supervisor came" in made.log.read_text())
            # They drain, and hold the address still: the next supervisor takes it over from them.
            await made.start()
            assert not set((await pids_of_ready(made)).values()) & set(before.values())
            go.set()
            assert (await client.answer())[0] == 200
            await until(lambda: not any(alive(pid) for pid in before.values()))
            assert set(made.orphans()) == set((await pids(made)).values())

    asyncio.run(play())


def test_another_file_than_any_of_them_knows_is_given_to_all(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            await lasting(made)
            before = await pids(made)
            await made.kill()
            made.write(classes=("look", "pay"))
            await made.start()
            await made.ready()
            assert await pids(made) == before
            client = await connect(made.address)
            doors = [*made.folder.glob("c.sock.d/*-*.sock")]
            await until(lambda: all(hello(door)["generation"] == 2 for door in doors))
            for name, status in (("book", 404), ("look", 200)):
                client.send(request(f"r{name}", name))
                assert (await client.answer())[0] == status
                client = await connect(made.address)
            assert (await made.ask("status"))["generation"] == 2

    asyncio.run(play())


def test_their_time_ends_in_the_moment_of_adoption(tmp_path: Path) -> None:
    """Whichever comes first, all are served and two are there in the end."""

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.orphan_ms = 700  # about what a supervisor takes to look for them
            made.write()
            assert (await made.ask("reload"))["ok"]
            crowd = Crowd(made.address, 10, pause_s=0.005)
            for wait_s in (0.0, 0.15, 0.3, 0.45):
                await crowd.more(20)
                await made.kill()
                await asyncio.sleep(wait_s)
                await made.start()
                await made.ready()
                await crowd.more(20)
            await crowd.finish()
            found = await pids(made)
            await until(lambda: sorted(made.orphans()) == sorted(found.values()))
        assert not crowd.lost and crowd.book[LOST] == 0, crowd.book
        assert not ran_twice(backend.seen)

    asyncio.run(play())


def test_the_service_managers_store_keeps_sockets_and_journal(tmp_path: Path) -> None:
    """All processes are killed, the run folder is lost: the sockets come back by the store, so that who
    connected meanwhile is served, and the journal's memory still tells the generation."""
    code = "import os, sys; os.environ['LISTEN_PID'] = str(os.getpid()); os.execv(sys.argv[1], sys.argv[1:])"

    async def play() -> None:
        backend = await Backend(OK).start()
        manager = Manager(tmp_path)
        made = Fleet(tmp_path, "127.0.0.1:9", instances=1)
        made.environ["NOTIFY_SOCKET"] = str(manager.path)
        made.registry = "127.0.0.1:9"
        await made.start()
        again: asyncio.subprocess.Process | None = None
        try:
            assert (await manager.told()).startswith("READY=1")
            made.write(sockets=300)
            assert (await made.ask("reload"))["ok"]
            assert (await manager.told()).startswith("RELOADING=1")
            assert await manager.told() == "READY=1"
            numbers = await pids(made)
            await made.kill()
            for pid in numbers.values():
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGKILL)
            assert set(manager.store) == {"sorrelfront-listener", "sorrelfront-state"}
            waiting = await connect(made.address)  # in the queue of the socket that is kept
            waiting.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            (made.folder / "c.sock.d" / "journal").unlink()
            kept = [*manager.store["sorrelfront-listener"], *manager.store["sorrelfront-state"]]
            names = "sorrelfront-listener:sorrelfront-state"
            environ = {**os.environ, **made.environ, "LISTEN_FDS": "2", "LISTEN_FDNAMES": names}
            again = await _exec_with(kept, code, made, environ)
            assert (await manager.told()).startswith("READY=1")
            assert (await waiting.answer())[0] == 200
            assert (await made.ask("status"))["generation"] == 1
            os.kill(again.pid, signal.SIGTERM)
            assert await manager.told() == "STOPPING=1"
            assert await asyncio.wait_for(again.wait(), PATIENCE_S) == 0
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
    """Start the daemon with these as its descriptors 3, 4, ... as a service manager does."""
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
    """Everything at once."""
    for pid in [made.process.pid, *made.orphans()]:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


def test_after_a_power_cut_what_was_learnt_is_known_and_no_cold_server_is_pushed_over(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        book = Book(4.0)
        servers = [Server(f"b{at}", book, service_s=0.02, slots=4) for at in range(4)]
        for server in servers:
            await server.start()
        async with fleet(tmp_path, *servers) as made:
            made.more = 'state_dir = "state"\nstate_every_ms = 100'
            made.write()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            await made.start()
            await made.ready()
            crowd = Crowd(made.address, 10)
            await crowd.more(200)
            learnt = made.folder / "state" / "learnt"
            await until(learnt.exists)
            await until(lambda: learnt.read_bytes().count(b'"b') >= 4)
            await crowd.finish()
            assert not crowd.lost
            power_cut(made)
            await made.process.wait()
            began_ms = time.time_ns() // 1_000_000
            for server in servers[:2]:
                server.begin()
                server.arrivals.clear()
                told = member(server.name, server.address)
                made.tell_registry({**told, "up_since_ms": began_ms})
            await made.start()
            found = await made.ready()
            assert (await made.ask("status"))["state"]["restored"]
            crowd = Crowd(made.address, 20, pause_s=0.002, name="d")
            await crowd.more(400)
            await crowd.finish()
            assert len(found) == 2
            # Two were started anew since: they are cold, and nothing is known of them.
            assert "estimates of 2 servers are taken up" in made.log.read_text()
            assert sum(server.cold_overruns(9.0, 0.3, 3.0, 1.5) for server in servers) == 0
        assert not crowd.lost and not book.doubled, crowd.book

    asyncio.run(play())


def test_a_faulty_file_and_the_one_that_was_in_force_last(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.more = 'state_dir = "state"\nstate_every_ms = 100'
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
            assert await made.ended() == 2  # as always, without being told otherwise
            await made.start(more=("--last-good", str(made.folder / "state")))
            await made.ready()
            assert "starting by the file that was in force last" in made.log.read_text()
            assert not (await made.ask("reload"))["ok"]
            made.path.write_text(good)
            assert (await made.ask("reload"))["ok"]

    asyncio.run(play())


# Nothing can be mounted here: the program itself is given the word that a read-only file system has for it.
READ_ONLY = """
import errno, os
opened = os.open
def refuse(path, flags, *more, **named):
    if flags & os.O_CREAT and "/state/" in str(path):
        raise OSError(errno.EROFS, os.strerror(errno.EROFS))
    return opened(path, flags, *more, **named)
os.open = refuse
"""


def test_a_disk_that_hangs_in_each_write_holds_up_nobody(tmp_path: Path) -> None:
    """Neither requests nor a reload, a killed instance or a stop. Longer than any of these may take."""
    slow = "import os, time; os.fsync = lambda _: time.sleep(10 * 60)"

    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.more = 'state_dir = "state"\nstate_every_ms = 100'
            made.write()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
            await made.start(slow)
            before = await pids_of_ready(made)
            crowd = Crowd(made.address, 10)
            await crowd.more(50)
            made.write(sockets=300)
            assert (await made.ask("reload"))["ok"]
            await crowd.more(50)
            await crowd.finish()
            os.kill(before["i0"], signal.SIGKILL)
            async with asyncio.timeout(PATIENCE_S):
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
            made.more = 'state_dir = "state"\nstate_every_ms = 100'
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
            crowd = Crowd(made.address, 10)
            await crowd.more(50)
            if how == "gone while it runs":
                await until((folder / "learnt").exists)
                folder.rename(made.folder / "elsewhere")
            if how == "full while it runs":
                await until((folder / "learnt").exists)
                # No file may grow any more: EFBIG of the kernel, as a full disk has ENOSPC.
                resource.prlimit(made.process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
            if how != "spoilt records":
                async with asyncio.timeout(PATIENCE_S):
                    while not (await made.ask("status"))["state"]["fault"]:
                        await crowd.more(1)
            else:
                await until(lambda: (folder / "learnt").is_file())
                assert (folder / "fleet.bad").exists() and (folder / "learnt.bad").is_fifo()
            if how == "gone while it runs":
                (made.folder / "elsewhere").rename(folder)
            if how == "full while it runs":
                endless = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
                resource.prlimit(made.process.pid, resource.RLIMIT_FSIZE, endless)
            if how.endswith("runs"):
                async with asyncio.timeout(PATIENCE_S):
                    while (await made.ask("status"))["state"]["fault"]:
                        await crowd.more(1)
            await crowd.finish()
        check(crowd, backend)

    asyncio.run(play())
