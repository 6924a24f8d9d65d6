"""A server as a process of its own: prints its port, then answers requests until it is killed."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Request, read_message, whole

WORK_S = 0.3
# TCP segments as on an Ethernet: with those of 64 kB of the loopback interface, the kernels between agent and
# server buffer some megabytes more.
SEGMENT_BYTES = 1_448


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer the requests of one connection in turn."""
    try:
        while True:
            request = Request(*await read_message(reader))
            print(f"runs {request.cls} {request.id}, body {len(request.body)}", flush=True)
            await asyncio.sleep(WORK_S)
            writer.write(whole(f"done {request.id}".encode()))
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Listen at a free port."""
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=sock, limit=1 << 20)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
