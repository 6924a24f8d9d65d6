"""Edge cases of socket I/O: heads split anywhere, a full kernel buffer, a thousand deadlines at once."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sorrelfront.decisions.interface import Outcome
from sorrelfront.lab.load_generator import SocketClient
from sorrelfront.messages import Address, Call
from sorrelfront.net.budget import MemoryBudget
from sorrelfront.net.http import Payload, Wire
from sorrelfront.upstreams.http1 import Upstream, _Exchange, _Writer
from tests.loopback import WAIT_TIMEOUT_S, Backend, answer, request, running_agent, until

OK = answer(b"served")
REQUEST = request("r", "book", b"a body of some bytes")


def test_a_request_cut_at_any_byte_is_one_request() -> None:
    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            for cut in range(1, len(REQUEST)):
                name = f"r{cut}"
                whole = request(name, "book", b"a body of some bytes")
                at = min(cut, len(whole) - 1)
                peer = SocketClient(made.listener.address)
                peer.send(whole[:at])
                for _ in range(3):
                    await asyncio.sleep(0)
                peer.send(whole[at:])
                assert (await peer.answer()).startswith(b"HTTP/1.1 200"), cut
                peer.close()
            assert made.agent.requests_taken == len(REQUEST) - 1
        assert len(backend.received) == len(REQUEST) - 1
        assert all(whole.endswith(b"a body of some bytes") for whole in backend.received)

    asyncio.run(scenario())


def test_requests_in_single_bytes_and_pipelined_are_answered_in_order() -> None:
    async def scenario() -> None:
        backend = await Backend(OK).start()
        async with running_agent(backend) as made:
            peer = SocketClient(made.listener.address)
            for at in range(len(REQUEST)):
                peer.send(REQUEST[at : at + 1])
                await asyncio.sleep(0)
            assert (await peer.answer()).startswith(b"HTTP/1.1 200")
            # Two complete requests and part of a third; then its rest and a fourth.
            three = [request(f"p{number}", "book", b"x" * number) for number in range(4)]
            peer.send(three[0] + three[1] + three[2][:40])
            await asyncio.sleep(0)
            peer.send(three[2][40:] + three[3])
            for _ in range(4):
                assert (await peer.answer()).startswith(b"HTTP/1.1 200")
            assert made.agent.requests_taken == 5
            peer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("pieces", [1, 10_000])
def test_an_answer_in_many_chunks_after_informational_ones_is_one_answer(pieces: int) -> None:
    async def scenario() -> None:
        ahead = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 3
        chunks = b"1\r\nc\r\n" * pieces + b"0\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        backend = await Backend(ahead + head + chunks).start()
        async with running_agent(backend) as made:
            client = await made.client()
            client.send(request("r"))
            status, _, body = await client.answer()
            assert status == 200 and body == b"c" * pieces
            client.send(request("s"))  # the connection is still usable
            assert (await client.answer())[0] == 200
            client.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("stray", [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", b"x"])
def test_bytes_after_a_complete_answer_reach_no_other_request(stray: bytes) -> None:
    async def scenario() -> None:
        backend = await Backend(OK + stray).start()
        async with running_agent(backend) as made:
            client = await made.client()
            for number in range(5):
                client.send(request(f"r{number}"))
                assert (await client.answer())[2] == b"served"
            assert backend.connections == 5  # none was kept
            client.close()

    asyncio.run(scenario())


def _writer(exchange: _Exchange, wire: Wire, data: bytes) -> _Writer:
    return _Writer(exchange, wire, data, reused=False, without_delay=False)


def _exchange(fit: bool = True) -> _Exchange:
    call = Call(b"r", "pay", 1_000_000, Payload(b"POST", b"/pay", []))
    address: Address = ("127.0.0.1", 9)
    return _Exchange(
        Upstream(8, 1_000_000, 1_000_000, MemoryBudget(1 << 26, 256)), call, address, 1_000_000, lambda: fit
    )


async def _pair() -> tuple[Wire, socket.socket]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    return Wire(ours), theirs


def _fill(wire: Wire) -> int:
    """Write until the kernel takes no more. Returns the number of bytes."""
    count = 0
    while sent := wire.send_now(b"f" * 65_536):
        count += sent
    return count


async def _read_all(sock: socket.socket, count: int) -> bytes:
    data = b""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while len(data) < count:
            data += await asyncio.get_running_loop().sock_recv(sock, 65_536)
    return data


def test_a_last_byte_is_sent_once_the_full_kernel_buffer_has_room() -> None:
    async def scenario() -> None:
        wire, theirs = await _pair()
        exchange = _exchange()
        writer = _writer(exchange, wire, b"request")
        assert not exchange.sent and not writer.done()
        filled = _fill(wire)  # after the first six bytes, before the last
        await until(lambda: exchange.sent)
        assert not writer.done()  # it waits, and counts as possibly executed
        assert (await _read_all(theirs, 6 + filled + 1))[-1:] == b"t"
        await until(writer.done)
        wire.close()
        theirs.close()

    asyncio.run(scenario())


def test_a_request_held_by_a_full_kernel_buffer_before_its_last_byte_is_not_sent() -> None:
    async def scenario() -> None:
        wire, theirs = await _pair()
        filled = _fill(wire)
        exchange = _exchange()
        writer = _writer(exchange, wire, b"request")
        for _ in range(50):
            await asyncio.sleep(0)
        assert not exchange.sent and not writer.done()
        assert (await _read_all(theirs, filled + 7))[-7:] == b"request"
        await until(writer.done)
        assert exchange.sent
        wire.close()
        theirs.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("how", ["the peer is gone", "it drains", "called off"])
def test_an_unsent_last_byte_proves_that_nothing_ran(how: str) -> None:
    async def scenario() -> None:
        wire, theirs = await _pair()
        exchange = _exchange(fit=how != "it drains")
        writer = _writer(exchange, wire, b"request")
        if how == "the peer is gone":
            theirs.close()
        if how == "called off":
            writer.cancel()
            for _ in range(20):
                await asyncio.sleep(0.001)
        else:
            await until(writer.done)
        assert not exchange.sent
        if how != "the peer is gone":
            assert await _read_all(theirs, 6) == b"reques"
            theirs.close()
        wire.close()

    asyncio.run(scenario())


def test_a_thousand_deadlines_at_once_are_each_answered_once() -> None:
    async def scenario() -> None:
        async def never(_: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        backend = await Backend(never).start()
        async with running_agent(backend) as made:
            headers = [(b"host", b"a")]
            held = []
            for number in range(1_000):
                payload = Payload(b"GET", b"/look", headers)
                call = Call(b"c%d" % number, "look", 400_000, payload, repeatable=True)
                held.append(made.agent.submit(call))
            finished: list[int] = []
            for item in held:
                item.answer.add_done_callback(lambda _, item=item: finished.append(item.id))  # type: ignore[misc]
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await asyncio.gather(*(item.answer for item in held))
            await until(lambda: made.agent.attempts == 0)
            assert made.agent.pending_requests == 0 and len(finished) == len(set(finished)) == len(held)
            assert made.agent.refused + made.agent.failed == 1_000 and made.agent.served == 0

    asyncio.run(scenario())


def test_an_outcome_that_arrives_as_its_attempt_is_cancelled_is_reported_once() -> None:
    async def scenario() -> None:
        go = asyncio.Event()

        async def later(_: bytes, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(OK)

        backend = await Backend(later).start()
        async with running_agent(backend) as made:
            outcomes: list[Outcome] = []
            handle = made.agent.balancer.on_attempt_ended

            def note(event: object, now: int) -> object:
                outcomes.append(event.outcome)  # type: ignore[attr-defined]
                return handle(event, now)  # type: ignore[arg-type]

            made.agent.balancer.on_attempt_ended = note  # type: ignore[method-assign, assignment]
            for number in range(20):
                go.clear()
                call = Call(b"r%d" % number, "look", 4_000_000, Payload(b"GET", b"/look", [(b"host", b"a")]))
                seen = len(backend.received)
                held = made.agent.submit(call)
                await until(lambda seen=seen: len(backend.received) > seen)  # type: ignore[misc]
                go.set()
                for _ in range(number):
                    await asyncio.sleep(0)
                made.agent.abandon(held)
                await until(lambda: made.agent.attempts == 0)
            assert len(outcomes) == 20 and set(outcomes) <= {Outcome.OK, Outcome.CANCELLED}

    asyncio.run(scenario())
