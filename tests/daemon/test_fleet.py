"""The daemon over real processes and sockets; lost and doubled are counted from the stand-ins' books."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path

import pytest

from sorrelfront.daemon import control
from sorrelfront.lab.crowd import LOST, Crowd, ran_twice
from sorrelfront.lab.http1 import PATIENCE_S, Backend, connect, gate, member, request
from tests.daemon.fleet import OK, Fleet, fleet, hello
from tests.loopback import until
from tests.test_process import ROOT, free_address

CLIENTS = 40


def check(crowd: Crowd, *backends: Backend) -> None:
    assert not crowd.lost and crowd.book[LOST] == 0, crowd.book
    assert crowd.served
    assert not ran_twice([whole for backend in backends for whole in backend.seen])


def test_reloads_under_load_lose_and_double_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        backends = [await Backend(OK).start(), await Backend(OK).start()]
        async with fleet(tmp_path, *backends) as made:
            crowd = Crowd(made.address, CLIENTS)
            for number in range(12):
                made.write(sockets=400 + number)
                assert (await made.ask("reload"))["ok"]
                await crowd.more(10)
            assert (await made.ask("status"))["generation"] == 12
            made.signal(signal.SIGHUP)
            async with asyncio.timeout(PATIENCE_S):
                while (await made.ask("status"))["generation"] < 13:
                    await crowd.more(1)
            await crowd.finish()
        check(crowd, *backends)
        assert crowd.refused_connects == 0

    asyncio.run(play())


def test_a_reload_keeps_the_terms_of_requests_under_way_and_one_may_follow_another(tmp_path: Path) -> None:
    """Among them one whose class the new file no longer has; and a reload comes in the middle of a reload."""

    async def play() -> None:
        go, later = gate(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            clients = [await connect(made.address) for _ in range(4)]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}", "book" if number % 2 else "pay"))
            await until(lambda: len(backend.seen) == 4)
            made.write(classes=("look", "pay"))
            answers = await asyncio.gather(*(made.ask("reload") for _ in range(3)))
            assert any(item["ok"] for item in answers)
            assert all(item["ok"] or item["faults"] == ["another reload waits already"] for item in answers)
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200
            clients[0].send(request("gone", "book"))
            assert (await clients[0].answer())[0] == 404

    asyncio.run(play())


def test_a_keyed_retry_goes_on_through_a_reload(tmp_path: Path) -> None:
    """Its first attempt may have run; within the window of its key it is repeated, by the old terms."""

    async def play() -> None:
        go = asyncio.Event()

        seen: list[bytes] = []

        async def broken_first(whole: bytes, writer: asyncio.StreamWriter) -> None:
            seen.append(whole)
            await go.wait()
            if len(seen) == 1:
                writer.close()  # in the middle: it may have run
            else:
                writer.write(OK)

        backends = [await Backend(broken_first).start(), await Backend(broken_first).start()]
        async with fleet(tmp_path, *backends) as made:
            client = await connect(made.address)
            client.send(request("r", "book"))
            await until(lambda: len(seen) == 1)
            made.write(sockets=300)
            reload = asyncio.create_task(made.ask("reload"))
            go.set()
            assert (await client.answer())[0] == 200
            assert (await reload)["ok"] and len(seen) == 2
            keys = {whole.lower().split(b"idempotency-key: ")[1].split(b"\r\n")[0] for whole in seen}
            assert keys == {b"kr"}

    asyncio.run(play())


def test_one_of_eight_that_does_not_take_the_file_has_all_go_back(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend, instances=8) as made:
            crowd = Crowd(made.address, CLIENTS)
            await crowd.more(100)
            pid = (await made.status())["i6"]["pid"]
            # How long an instance may take stands in the file in force.
            made.write(reload_within_ms=1_000)
            assert (await made.ask("reload"))["ok"]
            os.kill(pid, signal.SIGSTOP)
            made.write(reload_within_ms=1_000, classes=("look",))
            answered = await made.ask("reload")
            os.kill(pid, signal.SIGCONT)
            assert not answered["ok"] and "i6: it did not take the file in time" in answered["faults"][0]
            await crowd.more(200)
            crowd.book.clear()
            await crowd.more(200)
            # None goes by the file that was taken back.
            assert not any(got.startswith(b"HTTP/1.1 404") for got in crowd.book), crowd.book
            await crowd.finish()
        check(crowd, backend)

    asyncio.run(play())


def test_a_bad_file_changes_nothing_and_every_fault_is_told(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.path.write_text(made.text(instances=0, sockets=1))
            answered = await made.ask("reload")
            assert not answered["ok"] and len(answered["faults"]) == 2
            client = await connect(made.address)
            client.send(request("a", "book"))
            assert (await client.answer())[0] == 200

    asyncio.run(play())


def test_a_file_that_moves_a_listener_and_adds_an_instance(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            crowd = Crowd(made.address, 10)
            await crowd.more(50)
            other = free_address()
            made.write(address=other, instances=3)
            assert (await made.ask("reload"))["ok"]
            await made.ready(3)
            moved = Crowd(other, 10, name="m")
            await moved.more(50)
            async with asyncio.timeout(PATIENCE_S):
                while not crowd.refused_connects:  # the old one is left once nobody waits there
                    await asyncio.sleep(0.02)
            await crowd.stop()
            await moved.finish()
            check(moved, backend)
        assert not crowd.lost

    asyncio.run(play())


def test_a_killed_instance_costs_its_own_requests_only_and_is_started_again(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend, instances=3) as made:
            crowd = Crowd(made.address, CLIENTS)
            await crowd.more(200)
            before = await made.status()
            name = max(before, key=lambda item: len(peers_of(before[item]["pid"], made.address[1])))
            os.kill(before[name]["pid"], signal.SIGSTOP)  # its connections stay as they are from here on
            its = peers_of(before[name]["pid"], made.address[1])
            os.kill(before[name]["pid"], signal.SIGKILL)
            await crowd.more(500)
            after = await made.ready()
            assert after[name]["run"] == 2 and after[name]["failures"] == 1
            assert [item for item in after if after[item]["pid"] != before[item]["pid"]] == [name]
            await crowd.finish()
        # What the killed one held ends with its connections, and nothing else does.
        assert its and crowd.cut_ports and set(crowd.cut_ports) <= its
        assert not ran_twice(backend.seen)
        assert crowd.refused_connects == 0

    asyncio.run(play())


def test_a_host_that_stood_still_for_longer_than_a_hang_goes_on_as_it_was(tmp_path: Path) -> None:
    """Supervisor and instances stopped together, with a request in flight: nobody is killed for it."""

    async def play() -> None:
        go, later = gate(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            made.write(hang_after_ms=1_000)
            assert (await made.ask("reload"))["ok"]
            before = await made.ready()
            client = await connect(made.address)
            client.send(request("held", "pay"))
            await until(lambda: len(backend.seen) == 1)
            pids = [made.process.pid, *(item["pid"] for item in before.values())]
            for pid in pids:
                os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(1.5)  # the fault itself: longer than `hang_after_ms`
            for pid in pids:
                os.kill(pid, signal.SIGCONT)
            assert (await made.ask("status"))["ok"]  # the supervisor has gone round
            go.set()
            assert (await client.answer())[0] == 200
            after = await made.ready()
            assert {name: item["pid"] for name, item in after.items()} == {
                name: item["pid"] for name, item in before.items()
            }
        assert "killed" not in made.log.read_text()

    asyncio.run(play())


def peers_of(pid: int, port: int) -> set[int]:
    """The client ports of the connections that this process holds on a listening port."""
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(entry).removeprefix("socket:[").removesuffix("]"))
    found = set()
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes and int(fields[1].partition(":")[2], 16) == port:
            found.add(int(fields[2].partition(":")[2], 16))
    return found - {0}  # that is the listening socket's own


def test_a_drained_instance_ends_and_the_others_serve(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            crowd = Crowd(made.address, CLIENTS)
            await crowd.more(100)
            assert (await made.ask("drain", instance="i0"))["ok"]
            async with asyncio.timeout(PATIENCE_S):
                while (await made.status())["i0"]["phase"] != "stopped":
                    await asyncio.sleep(0.02)
            await crowd.more(100)
            assert not (await made.ask("drain", instance="i7"))["ok"]
            await crowd.finish()
        check(crowd, backend)

    asyncio.run(play())


@pytest.mark.parametrize("when", ["alone", "in a reload"])
def test_two_sigterms_end_it_once_all_is_answered(tmp_path: Path, when: str) -> None:
    async def play() -> None:
        go, later = gate(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            clients = [await connect(made.address) for _ in range(6)]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}", "pay"))
            await until(lambda: len(backend.seen) == 6)
            if when != "alone":
                made.write(sockets=300)
                made.signal(signal.SIGHUP)
            made.signal(signal.SIGTERM)
            made.signal(signal.SIGTERM)
            async with asyncio.timeout(PATIENCE_S):
                while not (await made.ask("status"))["stopping"]:
                    await asyncio.sleep(0.01)
            made.signal(signal.SIGTERM)
            doors = [*made.folder.glob("c.sock.d/*-*.sock")]
            await until(lambda: all(hello(door)["life"] == "leaving" for door in doors))
            go.set()
            for client in clients:
                status, head, _ = await client.answer()
                assert status == 200 and b"connection: close" in head.lower()
            assert await made.ended() == 0

    asyncio.run(play())


def test_two_sigints_answer_what_is_owed_as_failed(tmp_path: Path) -> None:
    async def play() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0)

        backend = await Backend(never).start()
        async with fleet(tmp_path, backend) as made:
            client = await connect(made.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.seen) == 1)
            made.signal(signal.SIGINT)
            async with asyncio.timeout(PATIENCE_S):
                while not (await made.ask("status"))["stopping"]:
                    await asyncio.sleep(0.01)
            made.signal(signal.SIGINT)
            assert (await client.answer())[0] == 500
            assert await made.ended() == 0

    asyncio.run(play())


def test_when_the_supervisor_is_killed_no_orphan_stays(tmp_path: Path) -> None:
    async def play() -> None:
        go, later = gate(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as made:
            pids = [item["pid"] for item in (await made.status()).values()]
            client = await connect(made.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.seen) == 1)
            made.process.kill()
            await made.process.wait()
            go.set()
            assert (await client.answer())[0] == 200
            await until(lambda: not any(alive(pid) for pid in pids))
            # Another takes up the place, control socket and all.
            await made.start()
            await made.ready()

    asyncio.run(play())


def alive(pid: int) -> bool:
    with contextlib.suppress(OSError):
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        return state != "Z"
    return False


def test_nothing_new_reaches_a_drained_server_though_a_reload_is_on(tmp_path: Path) -> None:
    async def play() -> None:
        arrivals: list[float] = []

        async def note(_: bytes, writer: asyncio.StreamWriter) -> None:
            arrivals.append(time.monotonic())
            writer.write(OK)

        leaving, staying = await Backend(note).start(), await Backend(OK).start()
        async with fleet(tmp_path, leaving, staying) as made:
            crowd = Crowd(made.address, CLIENTS)
            await crowd.more(100)
            made.write(sockets=300)
            reload = asyncio.create_task(made.ask("reload"))
            told = time.monotonic()
            made.tell_registry(member("b0", leaving.address, "draining"))
            assert (await reload)["ok"]
            await crowd.more(500)
            await crowd.finish()
        check(crowd, leaving, staying)
        assert arrivals and max(arrivals) - told < 0.55

    asyncio.run(play())


class Manager:
    """A service manager's side of sd_notify: what it is told, in order."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "notify"
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(str(self.path))
        self.store: dict[str, list[int]] = {}  # descriptors that it was told to keep, by name

    async def told(self) -> str:
        """The next state; what it is told of its store is done, and passed over."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                try:
                    data, descriptors, _, _ = socket.recv_fds(self.sock, 4_096, 64)
                except BlockingIOError:
                    await asyncio.sleep(0.005)
                    continue
                words = dict(line.split("=", 1) for line in data.decode().split("\n"))
                if "FDSTORE" not in words and "FDSTOREREMOVE" not in words:
                    return data.decode()
                for descriptor in self.store.pop(words["FDNAME"], []):
                    os.close(descriptor)
                if "FDSTORE" in words:
                    self.store[words["FDNAME"]] = descriptors


def test_the_service_manager_passes_sockets_and_is_told_the_states(tmp_path: Path) -> None:
    code = "import os, sys; os.environ['LISTEN_PID'] = str(os.getpid()); os.execv(sys.argv[1], sys.argv[1:])"

    async def play() -> None:
        backend = await Backend(OK).start()
        manager = Manager(tmp_path)
        made = Fleet(tmp_path, "127.0.0.1:9", instances=1)
        sock = socket.create_server(made.address)  # bound here: the daemon could not bind it itself
        names = {"LISTEN_FDS": "1", "LISTEN_FDNAMES": "http", "NOTIFY_SOCKET": str(manager.path)}
        environ = {**os.environ, **names}
        saved = os.dup(3) if fd_is_open(3) else None
        os.dup2(sock.fileno(), 3, inheritable=True)
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, sys.executable, "-m", "sorrelfront.cli.main", "serve",
                str(made.path), cwd=ROOT, env=environ, pass_fds=[3],
            )  # fmt: skip
        finally:
            os.close(3)
            if saved is not None:
                os.dup2(saved, 3)
                os.close(saved)
        sock.close()
        try:
            assert (await manager.told()).split("\n")[0] == "READY=1"
            client = await connect(made.address)
            client.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await client.answer())[0] == 200
            os.kill(process.pid, signal.SIGHUP)
            assert (await manager.told()).startswith("RELOADING=1\nMONOTONIC_USEC=")
            assert await manager.told() == "READY=1"
            os.kill(process.pid, signal.SIGTERM)
            assert await manager.told() == "STOPPING=1"
            assert await asyncio.wait_for(process.wait(), PATIENCE_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            backend.stop()

    asyncio.run(play())


def fd_is_open(number: int) -> bool:
    try:
        os.fstat(number)
    except OSError:
        return False
    return True


def test_the_control_socket_is_the_owners_and_noise_or_silence_holds_up_nobody(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            path = made.folder / "c.sock"
            assert path.stat().st_mode & 0o777 == 0o600
            silent = [await asyncio.open_unix_connection(path) for _ in range(4)]
            for noise in (
                b"\xff\xff\xff\xff", struct.pack(">I", 3) + b"[1]", struct.pack(">I", 4) + b"nope",
                struct.pack(">I", 60_000) + b"[" * 60_000,
            ):  # fmt: skip
                reader, writer = await asyncio.open_unix_connection(path)
                writer.write(noise)
                assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""
                writer.close()
            odds: list[dict[str, object]] = [
                {}, {"op": 5}, {"op": "drain"}, {"op": "drain", "instance": ["i0"]}, {"op": "x" * 9_000},
            ]  # fmt: skip
            for odd in odds:  # none of these is an operation
                assert not (await control.ask(path, odd))["ok"]
            assert (await made.ask("status"))["ok"]
            for _, writer in silent:
                writer.close()

    asyncio.run(play())


def test_the_platforms_program_imports_none_of_the_new_parts() -> None:
    code = "import sys, sorrelfront.platform.__main__; print(' '.join(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    loaded = run.stdout.split()
    assert "sorrelfront.fronts.http1" in loaded
    extras = (
        "sorrelfront.daemon", "sorrelfront.cli", "sorrelfront.lab", "click", "rich", "msgspec",
        "pythonjsonlogger", "sorrelfront.decisions.supervision", "sorrelfront.decisions.adoption",
        "sorrelfront.decisions.learnt", "sorrelfront.decisions.membership", "sorrelfront.decisions.places",
        "sorrelfront.sources.zookeeper", "sorrelfront.net.zookeeper", "sorrelfront.net.jute",
        "sorrelfront.fleet", "sorrelfront.decisions.fleet", "numpy", "matplotlib",
    )  # fmt: skip
    assert not [name for name in loaded if name.startswith(extras)]


def test_an_instance_without_a_fleet_imports_nothing_of_it() -> None:
    code = "import sys, sorrelfront.daemon.instance; print(' '.join(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    loaded = run.stdout.split()
    assert "sorrelfront.daemon.fellow" in loaded
    parts = ("sorrelfront.fleet", "sorrelfront.decisions.fleet", "sorrelfront.lab", "numpy")
    assert not [name for name in loaded if name.startswith(parts)]


def test_a_hung_instance_is_replaced_and_the_rest_is_left_alone(tmp_path: Path) -> None:
    async def play() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as made:
            made.write(hang_after_ms=2_000)
            assert (await made.ask("reload"))["ok"]
            before = await made.ready()
            os.kill(before["i0"]["pid"], signal.SIGSTOP)
            async with asyncio.timeout(PATIENCE_S):
                while (await made.status())["i0"]["run"] < 2:
                    await asyncio.sleep(0.02)
            after = await made.ready()
            assert after["i1"]["pid"] == before["i1"]["pid"]
            client = await connect(made.address)
            client.send(request("a", "pay"))
            assert (await client.answer())[0] == 200
        assert "i0 killed: it gave no sign of life in time" in made.log.read_text()

    asyncio.run(play())
