"""The program before a server that reads a long request slowly, while the client has written all of it."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from tests.loopback import WAIT_TIMEOUT_S, Registry, async_test, make_config, member, request
from tests.test_process import Program

SEND_BUFFER_BYTES = 4 * 1024 * 1024
BODY_BYTES = 8_000_000
RATE = 1_000_000  # bytes per second that the server reads
SEGMENT_BYTES = 1_448  # as on an Ethernet; over the loopback interface the kernels buffer megabytes
SMALL_BUFFER_BYTES = 32_768


class SlowReader:
    """A server that reads at RATE, and counts what it has read."""

    def __init__(self) -> None:
        self.count = 0

    async def start(self) -> str:
        """Listen, and return the address."""
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=16_384)
        return "{}:{}".format(*sock.getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(16_384):
                self.count += len(data)
                await asyncio.sleep(len(data) / RATE)
        except OSError:
            pass
        finally:
            writer.transport.abort()


# Guards against a final answer seconds after its time: the client's kernel had taken the whole request.
@async_test
async def test_a_request_that_its_client_has_written_whole_is_answered_in_its_time(tmp_path: Path) -> None:
    server = SlowReader()
    registry = await Registry().start()
    program = Program(tmp_path, make_config(registry.address, [member("b0", await server.start())]))
    await program.start()
    client = socket.socket()
    try:
        (await program.ready()).close()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if client.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < BODY_BYTES:
            pytest.skip("this machine does not give clients so large a send buffer")
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, program.address)
        await loop.sock_sendall(client, request("r", "pay", bytes(BODY_BYTES), budget="1000m"))
        written = server.count
        answered = await asyncio.wait_for(loop.sock_recv(client, 1_000), WAIT_TIMEOUT_S)
        assert answered.startswith(b"HTTP/1.1 503")
        # Within its time and half a second, the server can have read 1.5 MB.
        assert server.count - written < 2 * RATE
    finally:
        client.close()
        await program.end()
        server.server.close()
        registry.stop()
