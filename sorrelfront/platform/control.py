"""The operators' address: HTTP/1.1, one call to a connection.

    GET  /ready                         whether this process is ready to serve
    GET  /metrics                       the figures, a line each
    POST /backends/disable?target=ID    take a server out by hand
    POST /backends/enable?target=ID     put it back
    POST /drain, POST /undrain          take no more clients; take them again

2xx means yes; 4xx and 5xx mean no, with the reason as text. What a call does is done before it is answered.

A caller that says nothing costs a descriptor and a task, and PEERS_MOST are held: for one more, the one that
came first of those that have not said all goes. Risk: callers that stay silent keep out those that call.
Harm: a slow caller among so many has to call again.
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
from sorrelfront.net.heads import HEAD_MOST
from sorrelfront.net.http import Wire, frame
from sorrelfront.platform.orders_file import Full

log = logging.getLogger(__name__)

BACKLOG = 64  # callers that wait to be accepted
PEERS_MOST = 12  # callers at once, of the descriptors that are kept for such things
SPEAK_S = 5.0  # from a caller's connection to the end of its call
BODY_MOST = 4_096  # bytes of a call's body, which says nothing here
TAKE_S = 1.0  # for a caller to take its answer, and then to close
ACCEPT_AGAIN_S = 0.1  # after a failed accept


class Reply(NamedTuple):
    status: int
    text: str


class Operated(Protocol):
    """What the calls are about. Orders raise OSError or Full if they cannot be carried out."""

    def ready(self) -> bool: ...

    def figures(self) -> dict[str, float]: ...

    def knows(self, server: str) -> bool: ...

    def put_out(self, server: str, out: bool) -> None: ...

    def drain(self, on: bool) -> None: ...


def answer(operated: Operated, method: str, target: str) -> Reply:
    """What a call comes to, done by the time this returns."""
    path, _, query = target.partition("?")
    known: dict[str, tuple[str, Callable[[], Reply]]] = {
        "/ready": ("GET", lambda: _ready(operated)),
        "/metrics": ("GET", lambda: Reply(200, lines(operated.figures()))),
        "/backends/disable": ("POST", lambda: _put_out(operated, query, True)),
        "/backends/enable": ("POST", lambda: _put_out(operated, query, False)),
        "/drain": ("POST", lambda: _drain(operated, True)),
        "/undrain": ("POST", lambda: _drain(operated, False)),
    }
    if path not in known:
        return Reply(404, "no such call is known here\n")
    wanted, act = known[path]
    if method != wanted:
        return Reply(405, f"this call is a {wanted}\n")
    return act()


def lines(figures: dict[str, float]) -> str:
    """One `app.NAME=VALUE` a line."""
    return "".join(f"app.{name}={value:g}\n" if value % 1 else f"app.{name}={int(value)}\n"
                   for name, value in figures.items())  # fmt: skip


def _ready(operated: Operated) -> Reply:
    return Reply(200, "ready\n") if operated.ready() else Reply(503, "not ready\n")


def _put_out(operated: Operated, query: str, out: bool) -> Reply:
    try:
        targets = parse_qs(query, strict_parsing=True, max_num_fields=8, errors="strict").get("target", [])
    except ValueError:
        targets = []
    if len(targets) != 1:
        return Reply(400, "one target=ID is wanted\n")
    if not operated.knows(targets[0]):
        return Reply(404, "no server of that id is known here\n")
    try:
        operated.put_out(targets[0], out)
    except (OSError, Full) as fault:
        return Reply(503, f"not done: {fault}\n")
    return Reply(200, "it is out\n" if out else "it is back\n")


def _drain(operated: Operated, on: bool) -> Reply:
    operated.drain(on)
    return Reply(200, "draining\n" if on else "clients are taken\n")


class ControlPort:
    """Listens at the operators' address."""

    def __init__(self, address: Address, operated: Operated) -> None:
        """Raises OSError."""
        self._operated = operated
        self._sock = socket.create_server(address, backlog=BACKLOG)
        self._sock.setblocking(False)
        self._peers: dict[asyncio.Task[None], None] = {}  # oldest first
        self._speaking: dict[asyncio.Task[None], None] = {}  # those that have not said all, oldest first
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._sock.fileno(), self._accept)

    @property
    def address(self) -> Address:
        host, port = self._sock.getsockname()
        return host, port

    def close(self) -> None:
        """No more calls; those under way are cut."""
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()
        for task in [*self._peers]:
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
                self._loop.call_later(ACCEPT_AGAIN_S, self._resume)
                return
            if len(self._peers) >= PEERS_MOST:
                oldest = next(iter(self._speaking or self._peers))
                self._forget(oldest)
                oldest.cancel()
            sock.setblocking(False)
            task = asyncio.create_task(self._serve(Wire(sock)))
            self._peers[task] = self._speaking[task] = None
            task.add_done_callback(self._forget)

    def _resume(self) -> None:
        if self._sock.fileno() >= 0:
            self._loop.add_reader(self._sock.fileno(), self._accept)

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._peers.pop(task, None)
        self._speaking.pop(task, None)

    async def _serve(self, wire: Wire) -> None:
        parser = h11.Connection(h11.SERVER, HEAD_MOST)
        try:
            async with asyncio.timeout(SPEAK_S):
                reply = await self._heard(parser, wire)
            task = asyncio.current_task()
            if task is not None:
                self._speaking.pop(task, None)
            await self._say(parser, wire, reply)
        except (OSError, asyncio.CancelledError):  # TimeoutError is an OSError
            pass
        except Exception:
            log.exception("serving a call failed")
        finally:
            wire.close()

    async def _heard(self, parser: h11.Connection, wire: Wire) -> Reply:
        """Read a call and carry it out. Raises OSError if the caller went away or said nothing."""
        request: h11.Request | None = None
        body = 0
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    if parser.they_are_waiting_for_100_continue:
                        go_on = parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                        await wire.send(go_on or b"", TAKE_S)
                    data = await wire.receive()
                    if not data:
                        raise ConnectionResetError("the caller went away")
                    parser.receive_data(data)
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body += len(event.data)
                    if body > BODY_MOST:
                        return Reply(413, "the body of a call is too long\n")
                elif isinstance(event, h11.EndOfMessage):
                    assert request is not None
                    method, target = request.method.decode("ascii"), request.target.decode("ascii")
                    return answer(self._operated, method, target)
                else:
                    raise ConnectionResetError("the caller went away")
        except h11.RemoteProtocolError as fault:
            return Reply(fault.error_status_hint, f"{fault}\n")

    async def _say(self, parser: h11.Connection, wire: Wire, reply: Reply) -> None:
        """Answer, and give the caller time to read it. Risk: closed with bytes unread, a reset would overtake
        the answer."""
        data = reply.text.encode("utf-8", "replace")
        head = h11.Response(
            status_code=reply.status,
            headers=[
                ("Content-Type", "text/plain; charset=utf-8"), ("Content-Length", str(len(data))),
                ("Connection", "close"),
            ],
        )  # fmt: skip
        await wire.send(frame(parser, head, h11.Data(data=data), h11.EndOfMessage()), TAKE_S)
        wire.shutdown(socket.SHUT_WR)
        with contextlib.suppress(OSError):
            async with asyncio.timeout(TAKE_S):
                while await wire.receive():
                    pass
