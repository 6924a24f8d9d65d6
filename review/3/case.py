"""Case: a long request that is sent to a server that hangs gets no answer until long after its time."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import signal
import struct
import sys
import termios
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    LATE_S,
    SLACK_S,
    Agent,
    CannotRun,
    Discovery,
    Record,
    config,
    end_with_parent,
    free_port,
    main,
    read_answer,
    request_bytes,
)

SERVERS = 5
HANG_S = 18.0  # of one server, a fifth of them
CLIENTS = 6
BODIES = [1_000_000, 1_050_000, 1_100_000]  # bytes, in turn
PAUSE_S = 0.5  # of a client between two requests
BUDGET_MS = 2_000  # two thirds of the class's give-up time of 3 s
PLAY_S = 30.0  # of the clients, from the first request on
HANG_AT_S = 3.0
CONNECT_S = 5.0
MAX_WAIT_S = 30.0  # for an answer, before a client gives up


class Process:
    """A server process."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record

    async def start(self) -> dict[str, object]:
        """Start it and return its entry for the list."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(FOLDER / "server.py"),
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=end_with_parent,
        )
        assert self.process.stdout is not None
        port = int(await self.process.stdout.readline())
        self._reading = asyncio.create_task(self._read(self.process.stdout))
        return {
            "id": self.name, "host_port": f"127.0.0.1:{port}", "locality": "addis-bole",
            "flavor": "fast-single", "cell": 0, "phase": "ready", "size": 1.0, "up_since_ms": 0,
        }  # fmt: skip

    async def _read(self, out: asyncio.StreamReader) -> None:
        while line := await out.readline():
            self.record(f"{self.name}: {line.decode().strip()}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record(f"{self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self._reading


class Tally:
    """What became of the requests."""

    def __init__(self) -> None:
        self.by_status: dict[str, int] = {}
        self.lost: list[str] = []
        self.lost_in_machine = 0  # of the lost, those whose last byte the agent's machine had acknowledged


def unacknowledged(writer: asyncio.StreamWriter) -> int:
    """Return how many bytes the agent's machine has not acknowledged yet."""
    descriptor = writer.get_extra_info("socket").fileno()
    (count,) = struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)))
    return int(count)


async def client(number: int, port: int, record: Record, until: float, tally: Tally) -> None:
    """Send long keyed requests one after the other, each on a connection of its own."""
    await asyncio.sleep(number * 0.15)
    turn = 0
    while time.monotonic() < until:
        call_id = f"call-{number}-{turn}"
        body = bytes(BODIES[(number + turn) % len(BODIES)])
        turn += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except (OSError, TimeoutError) as fault:
            record(f"{call_id}: no connection: {fault!r}")  # nothing is owed
            continue
        writer.transport.set_write_buffer_limits(0)  # drained: the kernel has the last byte
        sent_at, left, status = 0.0, -1, ""
        try:
            writer.write(request_bytes(call_id, "consignment-book", BUDGET_MS, body))
            async with asyncio.timeout(MAX_WAIT_S):
                await writer.drain()
                sent_at = time.monotonic()
                waiting = asyncio.create_task(read_answer(reader))
                await asyncio.wait([waiting], timeout=0.5)
                left = unacknowledged(writer)
                status = str((await waiting)[0])
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
            status = f"no answer ({type(fault).__name__})"
        writer.close()
        if not sent_at:
            record(f"{call_id}: {status}, not written whole")  # not taken
            continue
        wait_s = time.monotonic() - sent_at
        lost = wait_s > BUDGET_MS / 1000 + LATE_S + SLACK_S
        text = f"{call_id}: body {len(body)}, {status} {wait_s:.3f} s after its last byte was written"
        record(f"{text}; {left} bytes unacknowledged after 0.5 s{', LOST' if lost else ''}")
        tally.by_status[status] = tally.by_status.get(status, 0) + 1
        if lost:
            tally.lost.append(call_id)
            tally.lost_in_machine += left == 0
        await asyncio.sleep(PAUSE_S)


async def case(scratch: Path, record: Record, trouble: bool) -> bool:
    """Play the case and return whether the rule held."""
    servers = [Process(f"s-{index}", record) for index in range(SERVERS)]
    members = [await server.start() for server in servers]
    discovery = Discovery(record)
    discovery.members = members
    found = await discovery.start()
    port = free_port()
    agent = Agent("n0", config(f"127.0.0.1:{port}", found, members), scratch, record)
    tally = Tally()
    tasks: list[asyncio.Task[None]] = []
    try:
        await agent.start()
        until = time.monotonic() + PLAY_S
        tasks = [asyncio.create_task(client(i, port, record, until, tally)) for i in range(CLIENTS)]
        await asyncio.sleep(HANG_AT_S)
        if trouble:
            servers[1].signal(signal.SIGSTOP)
            await asyncio.sleep(HANG_S)
            servers[1].signal(signal.SIGCONT)
        await asyncio.gather(*tasks)
        agent.check_running()
    finally:
        for task in tasks:
            task.cancel()
        await agent.end()
        discovery.stop()
        for server in servers:
            await server.end()
    sent = sum(tally.by_status.values())
    text = f"answers by status: {tally.by_status}; lost: {len(tally.lost)} of {sent}, "
    text += f"{tally.lost_in_machine} of them acknowledged whole by the agent's machine"
    record(text)
    print(text)
    if not sent:
        raise CannotRun("no request was sent")
    return not tally.lost


if __name__ == "__main__":
    main(case, FOLDER)
