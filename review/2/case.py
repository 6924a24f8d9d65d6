"""Case: bad clients that stop in the middle of a body keep usual clients from their answers."""

from __future__ import annotations

import asyncio
import contextlib
import sys
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
    Request,
    Server,
    config,
    free_port,
    grade,
    main,
    read_answer,
    request_bytes,
    whole,
)

# The classes of addis-trade with aims and deadlines scaled by 0.36.
GRADES = [
    grade("stock-lookup", "pure", 360, 1800, 1.0, 1800),
    grade("price-update", "pure", 540, 2160, 5.0, 1800),
    grade("consignment-book", "token", 540, 2160, 10.0, 1440),
    grade("excise-stamp", "side_effect", 900, 2160, 3.0, 1800),
]
SERVERS = 5
WORK_S = 0.25  # of each request
BAD_CLIENTS = 255
BAD_LENGTH, BAD_SENT = 64_000, 63_000  # bytes of a body: announced, and sent before the client stops
USUAL_CLIENTS = 8
REQUESTS = 6  # of each usual client
PAUSE_S = 0.5  # between two requests of one client
BODY = bytes(24_000)
PIECE, PIECE_PAUSE_S = 1_448, 0.0005  # as packets of an Ethernet
BUDGET_MS = 950  # 44% of the class's give-up time of 2.16 s


async def answer(server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Answer after the time that the work takes."""
    await asyncio.sleep(WORK_S)
    writer.write(whole(f"done {request.id}".encode()))
    return True


async def bad_client(number: int, port: int, stop: asyncio.Event, record: Record) -> None:
    """Send most of a request, stop, read the answer, and do the same again once turned away."""
    turn = 0
    while not stop.is_set():
        turn += 1
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            data = request_bytes(f"bad-{number}-{turn}", "consignment-book", BUDGET_MS, bytes(BAD_LENGTH))
            writer.write(data[: BAD_SENT - BAD_LENGTH])
            async with asyncio.timeout(6):
                status, _, _ = await read_answer(reader)
                record(f"bad-{number}-{turn}: {status} after {time.monotonic() - began:.3f} s")
        writer.close()


async def usual_client(
    number: int, port: int, record: Record, late: list[str], counts: dict[str, int]
) -> None:
    """Send keyed requests one after the other; count those whose answer is overdue."""
    await asyncio.sleep(number * 0.06)
    for turn in range(REQUESTS):
        call_id = f"call-{number}-{turn}"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError as fault:
            record(f"{call_id}: no connection: {fault}")  # the agent could not be reached: nothing is owed
            continue
        status, wait_s = "no answer", 0.0
        sent_at = 0.0
        try:
            data = request_bytes(call_id, "consignment-book", BUDGET_MS, BODY)
            for start in range(0, len(data), PIECE):
                writer.write(data[start : start + PIECE])
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
            sent_at = time.monotonic()
            record(f"{call_id}: last byte written")
            async with asyncio.timeout(10):
                status = str((await read_answer(reader))[0])
        except TimeoutError:
            status = "no answer"
        except (OSError, asyncio.IncompleteReadError):
            status = "closed"  # the agent may shut a connection that it has not read: not counted as lost
        wait_s = time.monotonic() - sent_at if sent_at else 0.0
        writer.close()
        limit_s = BUDGET_MS / 1000 + LATE_S + SLACK_S
        lost = sent_at > 0 and status != "closed" and wait_s > limit_s
        record(f"{call_id}: {status} {wait_s:.3f} s after its last byte{', LOST' if lost else ''}")
        counts[status] = counts.get(status, 0) + 1
        if lost:
            late.append(call_id)
        await asyncio.sleep(PAUSE_S)


async def case(scratch: Path, record: Record, trouble: bool) -> bool:
    """Play the case and return whether the rule held."""
    servers = [Server(f"s-{index}", record, answer) for index in range(SERVERS)]
    members = [await server.start() for server in servers]
    discovery = Discovery(record)
    discovery.members = members
    found = await discovery.start()
    port = free_port()
    agent = Agent(
        "n0",
        config(f"127.0.0.1:{port}", found, members, memory_mb=64, sockets=512, grades=GRADES),
        scratch,
        record,
    )
    stop = asyncio.Event()
    tasks: list[asyncio.Task[None]] = []
    late: list[str] = []
    counts: dict[str, int] = {}
    try:
        await agent.start()
        if trouble:
            tasks = [asyncio.create_task(bad_client(i, port, stop, record)) for i in range(BAD_CLIENTS)]
        await asyncio.sleep(1.0)
        await asyncio.gather(*(usual_client(i, port, record, late, counts) for i in range(USUAL_CLIENTS)))
        agent.check_running()
    finally:
        stop.set()
        for task in tasks:
            task.cancel()
        await agent.end()
        discovery.stop()
        for server in servers:
            server.stop()
    if not counts:
        raise CannotRun("no request was sent")
    record(f"answers by status: {counts}; lost: {len(late)} of {sum(counts.values())}")
    print(f"answers by status: {counts}; lost: {len(late)} of {sum(counts.values())}")
    return not late


if __name__ == "__main__":
    main(case, FOLDER)
