"""The operators' HTTP/1.1 port, with one request per connection.

    GET  /ready                         whether this process is ready to serve
    GET  /metrics                       the metrics, one per line
    POST /backends/disable?target=ID    disable a server by an administrative override
    POST /backends/enable?target=ID     remove the override
    POST /drain, POST /undrain          accept no more clients; accept them again

A 2xx answer means that the request was carried out, which is done before it is answered. 4xx and 5xx answers
give the reason as text.

An idle connection costs a descriptor and a task, so at most MAX_CONNECTIONS are open. For one more, the
oldest of those whose request is incomplete is closed, so that idle callers cannot lock out others. A slow
caller among that many connections has to repeat its request.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import parse_qs

import h11

from sorrelfront.messages import Address
from sorrelfront.net.heads import MAX_HEAD_BYTES
from sorrelfront.net.http import Wire, frame_events
from sorrelfront.platform.overrides_file import TooManyDisabled

log = logging.getLogger(__name__)

BACKLOG = 64  # connections that wait to be accepted
MAX_CONNECTIONS = 12  # open at once; they count against the descriptors reserved for other uses
REQUEST_TIMEOUT_S = 5.0  # from accepting a connection to the end of its request
MAX_BODY_BYTES = 4_096  # of a request; bodies are ignored
SEND_TIMEOUT_S = 1.0  # for a caller to receive its answer, and again to close
ACCEPT_RETRY_S = 0.1  # pause after a failed accept


class Reply(NamedTuple):
    """The status and the text of an answer."""

    status: int
    text: str


class AgentOperations(Protocol):
    """The operations that the port offers. Overrides raise OSError or TooManyDisabled if they fail."""

    def ready(self) -> bool:
        """Tell whether the process is ready to serve."""
        ...

    def metrics(self) -> dict[str, float]:
        """Return the current value of each metric by its name."""
        ...

    def knows(self, server: str) -> bool:
        """Tell whether the server is listed or disabled."""
        ...

    def set_disabled(self, server: str, disabled: bool) -> None:
        """Disable a server, or enable it again."""
        ...

    def drain(self, on: bool) -> None:
        """Start or end draining the clients."""
        ...


def handle_request(operations: AgentOperations, method: str, target: str) -> Reply:
    """Carry out a request and return its answer."""
    path, _, query = target.partition("?")
    routes: dict[str, tuple[str, Callable[[], Reply]]] = {
        "/ready": ("GET", lambda: _ready(operations)),
        "/metrics": ("GET", lambda: Reply(200, format_metrics(operations.metrics()))),
        "/backends/disable": ("POST", lambda: _set_disabled(operations, query, True)),
        "/backends/enable": ("POST", lambda: _set_disabled(operations, query, False)),
        "/drain": ("POST", lambda: _drain(operations, True)),
        "/undrain": ("POST", lambda: _drain(operations, False)),
    }
    if path not in routes:
        return Reply(404, "no such call is known here\n")
    allowed, action = routes[path]
    if method != allowed:
        return Reply(405, f"this call is a {allowed}\n")
    return action()


def format_metrics(metrics: dict[str, float]) -> str:
    """Write the metrics as text, with one `app.NAME=VALUE` per line."""
    return "".join(f"app.{name}={value:g}\n" if value % 1 else f"app.{name}={int(value)}\n"
                   for name, value in metrics.items())  # fmt: skip


def _ready(operations: AgentOperations) -> Reply:
    return Reply(200, "ready\n") if operations.ready() else Reply(503, "not ready\n")


def _set_disabled(operations: AgentOperations, query: str, disabled: bool) -> Reply:
    try:
        targets = parse_qs(query, strict_parsing=True, max_num_fields=8, errors="strict").get("target", [])
    except ValueError:
        targets = []
    if len(targets) != 1:
        return Reply(400, "one target=ID is wanted\n")
    if not operations.knows(targets[0]):
        return Reply(404, "no server of that id is known here\n")
    try:
        operations.set_disabled(targets[0], disabled)
    except (OSError, TooManyDisabled) as fault:
        return Reply(503, f"not done: {fault}\n")
    return Reply(200, "it is out\n" if disabled else "it is back\n")


def _drain(operations: AgentOperations, on: bool) -> Reply:
    operations.drain(on)
    return Reply(200, "draining\n" if on else "clients are taken\n")


class ControlPort:
    """Accepts operators' connections and answers their requests."""

    def __init__(self, address: Address, operations: AgentOperations) -> None:
        """Listen at the address. Raises OSError if that fails."""
        self._operations = operations
        self._sock = socket.create_server(address, backlog=BACKLOG)
        self._sock.setblocking(False)
        self._tasks: dict[asyncio.Task[None], None] = {}  # one per connection, oldest first
        self._reading: dict[asyncio.Task[None], None] = {}  # those with an incomplete request, oldest first
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._sock.fileno(), self._accept)

    @property
    def address(self) -> Address:
        """The address that the port listens at."""
        host, port = self._sock.getsockname()
        return host, port

    def close(self) -> None:
        """Stop listening and abort the requests in progress."""
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
        for task in [*self._tasks]:
            task.cancel()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                log.warning("accepting a call failed: %s", fault)
                self._loop.remove_reader(self._sock.fileno())
                self._loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)
                return
            if len(self._tasks) >= MAX_CONNECTIONS:
                oldest = next(iter(self._reading or self._tasks))
                self._remove_task(oldest)
                oldest.cancel()
            sock.setblocking(False)
            task = asyncio.create_task(self._serve(Wire(sock)))
            self._tasks[task] = self._reading[task] = None
            task.add_done_callback(self._remove_task)

    def _resume_accepting(self) -> None:
        if self._sock.fileno() >= 0:
            self._loop.add_reader(self._sock.fileno(), self._accept)

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        self._reading.pop(task, None)

    async def _serve(self, wire: Wire) -> None:
        parser = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                reply = await self._receive_request(parser, wire)
            task = asyncio.current_task()
            if task is not None:
                self._reading.pop(task, None)
            await self._send_reply(parser, wire, reply)
        except (OSError, asyncio.CancelledError):  # TimeoutError is an OSError
            pass
        except Exception:
            log.exception("serving a call failed")
        finally:
            wire.close()

    async def _receive_request(self, parser: h11.Connection, wire: Wire) -> Reply:
        """Read a request and carry it out. Raises OSError if the caller closes the connection."""
        request: h11.Request | None = None
        body = 0
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    if parser.they_are_waiting_for_100_continue:
                        interim = parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                        await wire.send(interim or b"", SEND_TIMEOUT_S)
                    data = await wire.receive()
                    if not data:
                        raise ConnectionResetError("the caller went away")
                    parser.receive_data(data)
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += len(event.data)
                    if body > MAX_BODY_BYTES:
                        return Reply(413, "the body of a call is too long\n")
                elif isinstance(event, h11.EndOfMessage):
                    assert request is not None
                    method, target = request.method.decode("ascii"), request.target.decode("ascii")
                    return handle_request(self._operations, method, target)
                else:
                    raise ConnectionResetError("the caller went away")
        except h11.RemoteProtocolError as fault:
            return Reply(fault.error_status_hint, f"{fault}\n")

    async def _send_reply(self, parser: h11.Connection, wire: Wire, reply: Reply) -> None:
        """Send the answer, then wait for the caller to close.

        Closing a socket with unread bytes sends a reset, which can reach the caller before the answer.
        """
        data = reply.text.encode("utf-8", "replace")
        head = h11.Response(
            status_code=reply.status,
            headers=[
                ("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", str(len(data))),
                ("Connection", "close"),
            ],
        )  # fmt: skip
        await wire.send(frame_events(parser, head, h11.Data(data=data), h11.EndOfMessage()), SEND_TIMEOUT_S)
        wire.shutdown(socket.SHUT_WR)
        with contextlib.suppress(OSError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                while await wire.receive():
                    pass
