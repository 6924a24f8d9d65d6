"""The daemon with real processes and sockets; backends and clients record lost and repeated requests."""

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
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S, Backend, connect, gated_script, member, request
from sorrelfront.lab.load_generator import LOST, LoadGenerator, ran_twice
from tests.daemon.fleet import OK, Fleet, fleet, hello
from tests.loopback import until
from tests.test_process import ROOT, free_address

CLIENTS = 40


def check(crowd: LoadGenerator, *backends: Backend) -> None:
    """Check that no request was lost or executed twice, and that some were served."""
    assert not crowd.lost and crowd.outcomes[LOST] == 0, crowd.outcomes
    assert crowd.served
    assert not ran_twice([whole for backend in backends for whole in backend.received])


def test_reloads_under_load_lose_and_double_nothing(tmp_path: Path) -> None:
    """Repeated reloads must not drop or repeat requests, or refuse connections."""

    async def scenario() -> None:
        backends = [await Backend(OK).start(), await Backend(OK).start()]
        async with fleet(tmp_path, *backends) as daemon:
            crowd = LoadGenerator(daemon.address, CLIENTS)
            for number in range(12):
                daemon.write(sockets=400 + number)
                assert (await daemon.ask("reload"))["ok"]
                await crowd.wait_for_answers(10)
            assert (await daemon.ask("status"))["generation"] == 12
            daemon.signal(signal.SIGHUP)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await daemon.ask("status"))["generation"] < 13:
                    await crowd.wait_for_answers(1)
            await crowd.finish()
        check(crowd, *backends)
        assert crowd.refused_connects == 0

    asyncio.run(scenario())


def test_a_reload_keeps_the_terms_of_requests_under_way_and_one_may_follow_another(tmp_path: Path) -> None:
    """Requests in flight must end under the configuration that they began with.

    The class of some is missing in the new file. Three reloads at once: one runs, one waits, others are
    refused.
    """

    async def scenario() -> None:
        go, later = gated_script(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as daemon:
            clients = [await connect(daemon.address) for _ in range(4)]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}", "book" if number % 2 else "pay"))
            await until(lambda: len(backend.received) == 4)
            daemon.write(classes=("look", "pay"))
            answers = await asyncio.gather(*(daemon.ask("reload") for _ in range(3)))
            assert any(item["ok"] for item in answers)
            assert all(item["ok"] or item["faults"] == ["another reload waits already"] for item in answers)
            go.set()
            for client in clients:
                assert (await client.answer())[0] == 200
            clients[0].send(request("gone", "book"))
            assert (await clients[0].answer())[0] == 404

    asyncio.run(scenario())


def test_a_keyed_retry_goes_on_through_a_reload(tmp_path: Path) -> None:
    """A request whose first attempt may have run is retried with its key, under the old configuration."""

    async def scenario() -> None:
        go = asyncio.Event()

        seen: list[bytes] = []

        async def broken_first(whole: bytes, writer: asyncio.StreamWriter) -> None:
            seen.append(whole)
            await go.wait()
            if len(seen) == 1:
                writer.close()  # without an answer: the request may have run
            else:
                writer.write(OK)

        backends = [await Backend(broken_first).start(), await Backend(broken_first).start()]
        async with fleet(tmp_path, *backends) as daemon:
            client = await connect(daemon.address)
            client.send(request("r", "book"))
            await until(lambda: len(seen) == 1)
            daemon.write(sockets=300)
            reload = asyncio.create_task(daemon.ask("reload"))
            go.set()
            assert (await client.answer())[0] == 200
            assert (await reload)["ok"] and len(seen) == 2
            keys = {whole.lower().split(b"idempotency-key: ")[1].split(b"\r\n")[0] for whole in seen}
            assert keys == {b"kr"}

    asyncio.run(scenario())


def test_one_of_eight_that_does_not_take_the_file_has_all_go_back(tmp_path: Path) -> None:
    """A reload that one hung instance does not confirm must be rolled back at all the others."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend, instances=8) as daemon:
            crowd = LoadGenerator(daemon.address, CLIENTS)
            await crowd.wait_for_answers(100)
            pid = (await daemon.status())["i6"]["pid"]
            # The time limit of a reload is that of the file in force.
            daemon.write(reload_within_ms=1_000)
            assert (await daemon.ask("reload"))["ok"]
            os.kill(pid, signal.SIGSTOP)
            daemon.write(reload_within_ms=1_000, classes=("look",))
            answered = await daemon.ask("reload")
            os.kill(pid, signal.SIGCONT)
            assert not answered["ok"] and "i6: it did not take the file in time" in answered["faults"][0]
            await crowd.wait_for_answers(200)
            crowd.outcomes.clear()
            await crowd.wait_for_answers(200)
            # No instance uses the file that was rolled back.
            assert not any(got.startswith(b"HTTP/1.1 404") for got in crowd.outcomes), crowd.outcomes
            await crowd.finish()
        check(crowd, backend)

    asyncio.run(scenario())


def test_a_bad_file_changes_nothing_and_every_fault_is_told(tmp_path: Path) -> None:
    """An invalid file must not affect the running configuration, and all its errors are reported."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            daemon.path.write_text(daemon.text(instances=0, sockets=1))
            answered = await daemon.ask("reload")
            assert not answered["ok"] and len(answered["faults"]) == 2
            client = await connect(daemon.address)
            client.send(request("a", "book"))
            assert (await client.answer())[0] == 200

    asyncio.run(scenario())


def test_a_file_that_moves_a_listener_and_adds_an_instance(tmp_path: Path) -> None:
    """A changed address opens the new listener and closes the old one without losing requests."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            crowd = LoadGenerator(daemon.address, 10)
            await crowd.wait_for_answers(50)
            other = free_address()
            daemon.write(address=other, instances=3)
            assert (await daemon.ask("reload"))["ok"]
            await daemon.ready(3)
            moved = LoadGenerator(other, 10, name="m")
            await moved.wait_for_answers(50)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not crowd.refused_connects:  # the old listener closes once no connection is queued
                    await asyncio.sleep(0.02)
            await crowd.stop()
            await moved.finish()
            check(moved, backend)
        assert not crowd.lost

    asyncio.run(scenario())


def test_a_killed_instance_costs_its_own_requests_only_and_is_started_again(tmp_path: Path) -> None:
    """A killed instance must affect only its own connections, and no other instance is restarted."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend, instances=3) as daemon:
            crowd = LoadGenerator(daemon.address, CLIENTS)
            await crowd.wait_for_answers(200)
            before = await daemon.status()
            name = max(before, key=lambda item: len(peers_of(before[item]["pid"], daemon.address[1])))
            os.kill(before[name]["pid"], signal.SIGSTOP)  # so that its set of connections no longer changes
            its = peers_of(before[name]["pid"], daemon.address[1])
            os.kill(before[name]["pid"], signal.SIGKILL)
            await crowd.wait_for_answers(500)
            after = await daemon.ready()
            assert after[name]["run"] == 2 and after[name]["failures"] == 1
            assert [item for item in after if after[item]["pid"] != before[item]["pid"]] == [name]
            await crowd.finish()
        # Only connections of the killed instance were cut.
        assert its and crowd.aborted_ports and set(crowd.aborted_ports) <= its
        assert not ran_twice(backend.received)
        assert crowd.refused_connects == 0

    asyncio.run(scenario())


def test_a_host_that_stood_still_for_longer_than_a_hang_goes_on_as_it_was(tmp_path: Path) -> None:
    """A suspended host must not make the supervisor kill instances for a missing heartbeat.

    Supervisor and instances are stopped together for longer than `hang_after_ms`, with a request in flight.
    """

    async def scenario() -> None:
        go, later = gated_script(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as daemon:
            daemon.write(hang_after_ms=1_000)
            assert (await daemon.ask("reload"))["ok"]
            before = await daemon.ready()
            client = await connect(daemon.address)
            client.send(request("held", "pay"))
            await until(lambda: len(backend.received) == 1)
            pids = [daemon.process.pid, *(item["pid"] for item in before.values())]
            for pid in pids:
                os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(1.5)  # the injected fault: longer than `hang_after_ms`
            for pid in pids:
                os.kill(pid, signal.SIGCONT)
            assert (await daemon.ask("status"))["ok"]  # the supervisor's loop has run since
            go.set()
            assert (await client.answer())[0] == 200
            after = await daemon.ready()
            assert {name: item["pid"] for name, item in after.items()} == {
                name: item["pid"] for name, item in before.items()
            }
        assert "killed" not in daemon.log.read_text()

    asyncio.run(scenario())


def peers_of(pid: int, port: int) -> set[int]:
    """Return the client ports of this process's connections to a listening port."""
    inodes = set()
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(os.readlink(entry).removeprefix("socket:[").removesuffix("]"))
    found = set()
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes and int(fields[1].partition(":")[2], 16) == port:
            found.add(int(fields[2].partition(":")[2], 16))
    return found - {0}  # the listening socket itself


def test_a_drained_instance_ends_and_the_others_serve(tmp_path: Path) -> None:
    """Draining one instance must not lose requests; an unknown instance is an error."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            crowd = LoadGenerator(daemon.address, CLIENTS)
            await crowd.wait_for_answers(100)
            assert (await daemon.ask("drain", instance="i0"))["ok"]
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await daemon.status())["i0"]["phase"] != "stopped":
                    await asyncio.sleep(0.02)
            await crowd.wait_for_answers(100)
            assert not (await daemon.ask("drain", instance="i7"))["ok"]
            await crowd.finish()
        check(crowd, backend)

    asyncio.run(scenario())


@pytest.mark.parametrize("when", ["alone", "in a reload"])
def test_two_sigterms_end_it_once_all_is_answered(tmp_path: Path, when: str) -> None:
    """A repeated SIGTERM, also during a reload, must not abort requests in flight."""

    async def scenario() -> None:
        go, later = gated_script(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as daemon:
            clients = [await connect(daemon.address) for _ in range(6)]
            for number, client in enumerate(clients):
                client.send(request(f"r{number}", "pay"))
            await until(lambda: len(backend.received) == 6)
            if when != "alone":
                daemon.write(sockets=300)
                daemon.signal(signal.SIGHUP)
            daemon.signal(signal.SIGTERM)
            daemon.signal(signal.SIGTERM)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not (await daemon.ask("status"))["stopping"]:
                    await asyncio.sleep(0.01)
            daemon.signal(signal.SIGTERM)
            paths = [*daemon.folder.glob("c.sock.d/*-*.sock")]
            await until(lambda: all(hello(path)["life"] == "leaving" for path in paths))
            go.set()
            for client in clients:
                status, head, _ = await client.answer()
                assert status == 200 and b"connection: close" in head.lower()
            assert await daemon.ended() == 0

    asyncio.run(scenario())


def test_two_sigints_answer_what_is_owed_as_failed(tmp_path: Path) -> None:
    """A second SIGINT ends the daemon at once: requests in flight are answered with an error."""

    async def scenario() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0)

        backend = await Backend(never).start()
        async with fleet(tmp_path, backend) as daemon:
            client = await connect(daemon.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.received) == 1)
            daemon.signal(signal.SIGINT)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not (await daemon.ask("status"))["stopping"]:
                    await asyncio.sleep(0.01)
            daemon.signal(signal.SIGINT)
            assert (await client.answer())[0] == 500
            assert await daemon.ended() == 0

    asyncio.run(scenario())


def test_when_the_supervisor_is_killed_no_orphan_stays(tmp_path: Path) -> None:
    """With `orphan_ms` 0, instances finish their requests and end when the supervisor is killed."""

    async def scenario() -> None:
        go, later = gated_script(OK)
        backend = await Backend(later).start()
        async with fleet(tmp_path, backend) as daemon:
            pids = [item["pid"] for item in (await daemon.status()).values()]
            client = await connect(daemon.address)
            client.send(request("r", "pay"))
            await until(lambda: len(backend.received) == 1)
            daemon.process.kill()
            await daemon.process.wait()
            go.set()
            assert (await client.answer())[0] == 200
            await until(lambda: not any(alive(pid) for pid in pids))
            # A new daemon can start in the same folder, with the stale control socket.
            await daemon.start()
            await daemon.ready()

    asyncio.run(scenario())


def alive(pid: int) -> bool:
    """Return whether the process exists and is not a zombie."""
    with contextlib.suppress(OSError):
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        return state != "Z"
    return False


def test_nothing_new_reaches_a_drained_server_though_a_reload_is_on(tmp_path: Path) -> None:
    """A reload must not delay the update that a server drains: 0.55 s later it gets no requests."""

    async def scenario() -> None:
        arrivals: list[float] = []

        async def note(_: bytes, writer: asyncio.StreamWriter) -> None:
            arrivals.append(time.monotonic())
            writer.write(OK)

        leaving, staying = await Backend(note).start(), await Backend(OK).start()
        async with fleet(tmp_path, leaving, staying) as daemon:
            crowd = LoadGenerator(daemon.address, CLIENTS)
            await crowd.wait_for_answers(100)
            daemon.write(sockets=300)
            reload = asyncio.create_task(daemon.ask("reload"))
            told = time.monotonic()
            daemon.update_registry(member("b0", leaving.address, "draining"))
            assert (await reload)["ok"]
            await crowd.wait_for_answers(500)
            await crowd.finish()
        check(crowd, leaving, staying)
        assert arrivals and max(arrivals) - told < 0.55

    asyncio.run(scenario())


class ServiceManager:
    """A service manager's side of sd_notify: receives the states in order."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "notify"
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(str(self.path))
        self.store: dict[str, list[int]] = {}  # stored descriptors, by name

    async def next_state(self) -> str:
        """Return the next state; messages for the descriptor store are executed and skipped."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
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
    """The daemon uses a passed listening socket, and reports ready, reloading and stopping."""
    code = "import os, sys; os.environ['LISTEN_PID'] = str(os.getpid()); os.execv(sys.argv[1], sys.argv[1:])"

    async def scenario() -> None:
        backend = await Backend(OK).start()
        manager = ServiceManager(tmp_path)
        daemon = Fleet(tmp_path, "127.0.0.1:9", instances=1)
        sock = socket.create_server(daemon.address)  # bound here, so the daemon cannot bind it itself
        names = {"LISTEN_FDS": "1", "LISTEN_FDNAMES": "http", "NOTIFY_SOCKET": str(manager.path)}
        environ = {**os.environ, **names}
        saved = os.dup(3) if fd_is_open(3) else None
        os.dup2(sock.fileno(), 3, inheritable=True)
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, sys.executable, "-m", "sorrelfront.cli.main", "serve",
                str(daemon.path), cwd=ROOT, env=environ, pass_fds=[3],
            )  # fmt: skip
        finally:
            os.close(3)
            if saved is not None:
                os.dup2(saved, 3)
                os.close(saved)
        sock.close()
        try:
            assert (await manager.next_state()).split("\n")[0] == "READY=1"
            client = await connect(daemon.address)
            client.send(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await client.answer())[0] == 200
            os.kill(process.pid, signal.SIGHUP)
            assert (await manager.next_state()).startswith("RELOADING=1\nMONOTONIC_USEC=")
            assert await manager.next_state() == "READY=1"
            os.kill(process.pid, signal.SIGTERM)
            assert await manager.next_state() == "STOPPING=1"
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            backend.stop()

    asyncio.run(scenario())


def fd_is_open(number: int) -> bool:
    try:
        os.fstat(number)
    except OSError:
        return False
    return True


def test_the_control_socket_is_the_owners_and_noise_or_silence_holds_up_nobody(tmp_path: Path) -> None:
    """Malformed or silent clients of the control socket must not block others; its mode is 0600."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            path = daemon.folder / "c.sock"
            assert path.stat().st_mode & 0o777 == 0o600
            silent = [await asyncio.open_unix_connection(path) for _ in range(4)]
            for noise in (
                b"\xff\xff\xff\xff", struct.pack(">I", 3) + b"[1]", struct.pack(">I", 4) + b"nope",
                struct.pack(">I", 60_000) + b"[" * 60_000,
            ):  # fmt: skip
                reader, writer = await asyncio.open_unix_connection(path)
                writer.write(noise)
                assert await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S) == b""
                writer.close()
            odds: list[dict[str, object]] = [
                {}, {"op": 5}, {"op": "drain"}, {"op": "drain", "instance": ["i0"]}, {"op": "x" * 9_000},
            ]  # fmt: skip
            for odd in odds:  # none of these is a valid operation
                assert not (await control.send_request(path, odd))["ok"]
            assert (await daemon.ask("status"))["ok"]
            for _, writer in silent:
                writer.close()

    asyncio.run(scenario())


def test_the_platforms_program_imports_none_of_the_new_parts() -> None:
    """The platform's program must start without the daemon's modules and their dependencies."""
    code = "import sys, sorrelfront.platform.__main__; print(' '.join(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    loaded = run.stdout.split()
    assert "sorrelfront.fronts.http1" in loaded
    extras = (
        "sorrelfront.daemon",
        "sorrelfront.cli",
        "sorrelfront.lab",
        "click",
        "rich",
        "msgspec",
        "pythonjsonlogger",
        "sorrelfront.decisions.supervision",
        "sorrelfront.decisions.adoption",
        "sorrelfront.decisions.snapshots",
        "sorrelfront.decisions.membership",
        "sorrelfront.decisions.seat_allocation",
        "sorrelfront.sources.zookeeper",
        "sorrelfront.net.zookeeper",
        "sorrelfront.net.jute",
        "sorrelfront.fleet",
        "sorrelfront.decisions.fleet",
        "numpy",
        "matplotlib",
    )
    assert not [name for name in loaded if name.startswith(extras)]


def test_an_instance_without_a_fleet_imports_nothing_of_it() -> None:
    """An instance without [fleet] must not pay for importing the fleet's modules."""
    code = "import sys, sorrelfront.daemon.instance; print(' '.join(sorted(sys.modules)))"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    loaded = run.stdout.split()
    assert "sorrelfront.daemon.fleet_membership" in loaded
    parts = ("sorrelfront.fleet", "sorrelfront.decisions.fleet", "sorrelfront.lab", "numpy")
    assert not [name for name in loaded if name.startswith(parts)]


def test_a_hung_instance_is_replaced_and_the_rest_is_left_alone(tmp_path: Path) -> None:
    """An instance without heartbeats is killed and restarted; the others keep their processes."""

    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with fleet(tmp_path, backend) as daemon:
            daemon.write(hang_after_ms=2_000)
            assert (await daemon.ask("reload"))["ok"]
            before = await daemon.ready()
            os.kill(before["i0"]["pid"], signal.SIGSTOP)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await daemon.status())["i0"]["run"] < 2:
                    await asyncio.sleep(0.02)
            after = await daemon.ready()
            assert after["i1"]["pid"] == before["i1"]["pid"]
            client = await connect(daemon.address)
            client.send(request("a", "pay"))
            assert (await client.answer())[0] == 200
        assert "i0 killed: it gave no sign of life in time" in daemon.log.read_text()

    asyncio.run(scenario())
