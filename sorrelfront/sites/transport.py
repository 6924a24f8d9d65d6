"""Exchange of advertisements with the gateways of partner sites.

Transports messages between this agent's `Border` (`decisions.sites.routes`) and those of partner sites. It
makes no decisions. One task polls each partner gateway, and one task serves each inbound connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from sorrelfront.decisions.sites.offers import REMEDY, Chain, UnusedReason, verify_chains
from sorrelfront.decisions.sites.routes import (
    Advertisement,
    Border,
    ChangeNotice,
    OfferConfig,
    OfferQuery,
    Partner,
)
from sorrelfront.errors import SorrelfrontError
from sorrelfront.messages import Address
from sorrelfront.net.streams import close_stream
from sorrelfront.sites.keys import Keys
from sorrelfront.sites.wire import (
    CHALLENGE_BYTES,
    MAX_ADVERTISEMENT_BYTES,
    MAX_QUERY_BYTES,
    BadPartnerMessage,
    Message,
    decode_frame,
    encode_frame,
    read_frame,
)

log = logging.getLogger("sorrelfront.sites")

MAX_CONNECTIONS = 512  # inbound, over all partners; further ones are closed
FIRST_MESSAGE_TIMEOUT_S = 2.0  # for an inbound connection to authenticate
CONNECT_TIMEOUT_S = 1.0
MIN_NOTICE_INTERVAL_S = 0.1  # between two change notices on one connection
MAX_QUERIES_PER_S = 50.0  # on one connection; it is closed if the peer sends more
MIN_QUERY_INTERVAL_S = 0.05  # between two requests to one gateway
MAX_INLINE_CHAINS = 4  # verified in the event loop, at about 0.2 ms each; more are verified in a thread
# After an advertisement is verified, the next one from the same partner, whichever gateway sent it, waits for
# this multiple of the time that the verification took. Without the pause, a partner that sends large and
# ever-changing advertisements would use all of this process's time.
VERIFY_PAUSE_FACTOR = 20
MAX_WRITE_BUFFER = 256 * 1024  # unsent bytes of a connection, above which it is sent no change notices
# Refusals that are logged. The others come and go with links, configuration changes and processes.
LOGGED_REASONS = frozenset(
    {
        UnusedReason.UNKNOWN_SITE,
        UnusedReason.SIGNATURE,
        UnusedReason.WIDENED,
        UnusedReason.NOT_PASSED_ON,
        UnusedReason.ADDRESSEE,
        UnusedReason.VALLEY,
        UnusedReason.ROLE,
        UnusedReason.SPELLING,
        UnusedReason.FORKED,
        UnusedReason.TOO_MANY,
    }
)
IDLE_TIMEOUT_S = 60.0  # an inbound connection without a request for this long is closed
CLOSE_TIMEOUT_S = 0.2
MAX_QUEUED_MESSAGES = 8  # received and not yet processed; further ones stay in the kernel's buffer
MAX_STATUS_ROUTES = 64  # listed in `status`


class GatewayUnreachable(SorrelfrontError):
    """A partner site's gateway does not answer."""

    remedy = (
        "Look at the link to it, and whether its `[site] listen` is the address in `[partners] at`; "
        "its routes are used until their time is over."
    )


def now_us() -> int:
    """Return the monotonic time in microseconds, the clock of routes and lifetimes."""
    return time.monotonic_ns() // 1_000


@dataclass(eq=False)
class _Subscriber:
    """An inbound connection that has authenticated with its first request."""

    partner: str
    writer: asyncio.StreamWriter
    challenge: bytes
    notified_at: float = -1e9
    timer: asyncio.TimerHandle | None = None
    tokens: float = MAX_QUERIES_PER_S
    refilled_at: float = field(default_factory=time.monotonic)


class PartnerTransport:
    """Exchanges advertisements with all partner gateways.

    Call `start` once, `change` after each load of the configuration, and `close` at the end.
    """

    def __init__(self, border: Border, keys: Keys, on_change: Callable[[], None]) -> None:
        """Create it; `on_change` is called when the routing table may have changed."""
        self.border = border
        self.keys = keys
        self.counts = dict.fromkeys(("unreadable", "refused", "connections", "sent", "received"), 0)
        self.bytes_by_partner: Counter[str] = Counter()  # sent and received
        self._on_change = on_change
        self._random = Random()  # so that agents do not poll in step
        self._server: asyncio.Server | None = None
        self._subscribers: set[_Subscriber] = set()
        self._open_connections = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._serving: set[asyncio.Task[Any]] = set()
        self._notified_state = (-1, -1)
        self._timer: asyncio.TimerHandle | None = None
        self._address_overrides: dict[str, str] = {}
        self._verify_locks: dict[str, asyncio.Lock] = {}  # by partner: one verification at a time
        self._verify_not_before: dict[str, float] = {}  # partner -> earliest time of its next verification
        self._logged_silent: set[str] = set()  # gateways that were logged as unreachable
        self._logged_refusals: dict[str, str] = {}  # gateway -> reasons for refused chains, as last logged
        self._closed = False

    async def start(self, listen: Address) -> None:
        """Listen for partner gateways.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await asyncio.start_server(self._serve, *listen, limit=65_536)
        self._on_timer()

    def change(
        self, partners: Iterable[Partner], lent: Iterable[OfferConfig], gateways: dict[str, tuple[str, str]]
    ) -> None:
        """Apply a new configuration.

        Args:
            partners: The partner sites.
            lent: The offers of this gateway.
            gateways: Address of each polled gateway -> its partner, and the address that requests are sent
                to, or "" to use the address that the gateway itself advertises.
        """
        self.border.configure(partners, lent, now_us())
        self._address_overrides = {name: address for name, (_, address) in gateways.items() if address}
        for name in [name for name in self._tasks if gateways.get(name, ("",))[0] != self._partner_of(name)]:
            self._tasks.pop(name).cancel()
            self.border.remove_peer(name)
        for name, (partner, _) in gateways.items():
            if name not in self._tasks:
                self.border.add_peer(name, partner, self._random.getrandbits(48))
                task = self._tasks[name] = asyncio.get_running_loop().create_task(self._poll_gateway(name))
                task.add_done_callback(_log_failure)
        for subscriber in [item for item in self._subscribers if item.partner not in self.border.partners]:
            subscriber.writer.close()
        self._propagate_changes()

    def _partner_of(self, name: str) -> str:
        peer = self.border.peers.get(name)
        return peer.partner if peer is not None else ""

    async def close(self) -> None:
        """Cancel all tasks and wait up to `CLOSE_TIMEOUT_S` for them."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for subscriber in self._subscribers:
            if subscriber.timer is not None:
                subscriber.timer.cancel()
        if self._server is not None:
            self._server.close()
        tasks = [*self._tasks.values(), *self._serving]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)

    # Timer and change notices

    def _on_timer(self) -> None:
        self._timer = None
        self.border.on_timer(now_us())
        self._propagate_changes()

    def _propagate_changes(self) -> None:
        """Reset the timer and, if the routing state changed, schedule notices and call `on_change`."""
        if self._closed:
            return
        border, loop = self.border, asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_later(max(0.001, (border.next_us() - now_us()) / 1e6), self._on_timer)
        state = (border.table_version, border.offers_version)
        if state == self._notified_state and not border.pending_states:
            return
        self._notified_state = state
        for subscriber in self._subscribers:
            if subscriber.timer is None:
                delay = max(0.0, subscriber.notified_at + MIN_NOTICE_INTERVAL_S - time.monotonic())
                subscriber.timer = loop.call_later(delay, self._send_notice, subscriber)
        self._on_change()

    def _send_notice(self, subscriber: _Subscriber) -> None:
        subscriber.timer = None
        subscriber.notified_at = time.monotonic()
        if subscriber.writer.transport.get_write_buffer_size() <= MAX_WRITE_BUFFER:
            self._write(
                subscriber.writer,
                subscriber.partner,
                encode_frame(
                    self.border.site, ChangeNotice(self.border.site), subscriber.challenge, self.keys.sign
                ),
            )

    def _write(self, writer: asyncio.StreamWriter, partner: str, frame: bytes) -> None:
        writer.write(frame)
        self.counts["sent"] += len(frame)
        self.bytes_by_partner[partner] += len(frame)

    def _count_received(self, count: int) -> None:
        self.counts["received"] += count

    # Inbound connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self._open_connections >= MAX_CONNECTIONS or self._closed:
            self.counts["refused"] += 1
            writer.transport.abort()
            return
        self._open_connections += 1
        self._serving.add(task)
        subscriber: _Subscriber | None = None
        try:
            challenge = os.urandom(CHALLENGE_BYTES)
            writer.write(challenge)
            async with asyncio.timeout(FIRST_MESSAGE_TIMEOUT_S):
                first = await read_frame(reader, MAX_QUERY_BYTES, self._count_received)
            ask = decode_frame(first, challenge, self.keys.verify)
            subscriber = _Subscriber(ask.site, writer, challenge)
            self._subscribers.add(subscriber)
            number = -1
            while isinstance(ask, OfferQuery) and ask.site == subscriber.partner and ask.number > number:
                number = ask.number
                if not self._within_rate(subscriber) or not self._answer(subscriber, ask):
                    return
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    await writer.drain()
                    data = await read_frame(reader, MAX_QUERY_BYTES, self._count_received)
                ask = decode_frame(data, challenge, self.keys.verify)
        except BadPartnerMessage as error:
            self.counts["unreadable"] += 1
            log.warning(
                "%s: %s",
                "a partner" if subscriber is None else subscriber.partner,
                error.message_with_remedy(),
            )
        except (OSError, EOFError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._open_connections -= 1
            if subscriber is not None:
                self._subscribers.discard(subscriber)
                if subscriber.timer is not None:
                    subscriber.timer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await close_stream(writer, abort=True)
            self._serving.discard(task)

    def _within_rate(self, subscriber: _Subscriber) -> bool:
        now = time.monotonic()
        subscriber.tokens = min(
            MAX_QUERIES_PER_S, subscriber.tokens + (now - subscriber.refilled_at) * MAX_QUERIES_PER_S
        )
        subscriber.refilled_at = now
        subscriber.tokens -= 1
        return subscriber.tokens >= 0

    def _answer(self, subscriber: _Subscriber, ask: OfferQuery) -> bool:
        border, now = self.border, now_us()
        known_epoch = border.epoch_to_exceed(ask)
        if known_epoch is not None:
            log.warning(
                "%s knows of life %d of this gateway; going on as life %d",
                ask.site, known_epoch, known_epoch + 1,
            )  # fmt: skip
            border.set_incarnation((known_epoch + 1, border.incarnation[1]), now)
            border.counts["outlived"] += 1
        tell = border.on_query(subscriber.partner, ask, self.keys.ticket(subscriber.partner), now)
        if tell is not None:
            frame = encode_frame(border.site, tell, subscriber.challenge, self.keys.sign)
            self._write(subscriber.writer, subscriber.partner, frame)
        self._propagate_changes()
        return tell is not None

    # Polled gateways

    async def _poll_gateway(self, name: str) -> None:
        """Poll this gateway and reconnect after each failure, until the task is cancelled."""
        renew_s = self.border.settings.renew_us / 1e6
        while not self._closed:
            reason = ""
            try:
                await self._poll_connection(name)
            except BadPartnerMessage as error:
                self.counts["unreadable"] += 1
                reason = str(error)
            except TimeoutError:
                reason = "it does not answer"
            except (OSError, EOFError) as error:
                reason = str(error) or type(error).__name__
            self._mark_silent(name, reason)
            await asyncio.sleep(renew_s * self._random.uniform(0.25, 0.75))

    def _mark_silent(self, name: str, reason: str) -> None:
        self.border.on_silence(name, now_us())
        if name not in self._logged_silent:
            self._logged_silent.add(name)
            error = GatewayUnreachable(f"{self._partner_of(name)} at {name}: {reason}")
            log.warning("%s", error.message_with_remedy())
        self._propagate_changes()

    async def _poll_connection(self, name: str) -> None:
        """Connect to a gateway and poll it over that connection.

        Raises:
            OSError: The connection failed.
            EOFError: The gateway closed the connection.
            TimeoutError: The gateway did not answer in time.
            BadPartnerMessage: The gateway sent an invalid message.
        """
        host, _, port = name.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port), limit=65_536)
        messages: asyncio.Queue[Message | Exception] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        receiver = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                challenge = await reader.readexactly(CHALLENGE_BYTES)
            self.counts["connections"] += 1
            # Reading has its own task: after a read cancelled inside a message, the next read would take
            # the rest of that message for a new one.
            receiver = asyncio.create_task(
                self._receive_messages(reader, challenge, self._partner_of(name), messages)
            )
            while name in self.border.peers:
                await self._poll_once(name, messages, writer, challenge)
        finally:
            if receiver is not None:
                receiver.cancel()
            await close_stream(writer, abort=True)

    async def _receive_messages(
        self,
        reader: asyncio.StreamReader,
        challenge: bytes,
        partner: str,
        messages: asyncio.Queue[Message | Exception],
    ) -> None:
        try:
            while True:
                data = await read_frame(reader, MAX_ADVERTISEMENT_BYTES, self._count_received)
                self.bytes_by_partner[partner] += len(data)
                message = decode_frame(data, challenge, self.keys.verify)
                if message.site != partner:
                    raise BadPartnerMessage(f"a message from {message.site} on a connection to {partner}")
                await messages.put(message)
        except (BadPartnerMessage, OSError, EOFError) as error:
            await messages.put(error)

    async def _poll_once(
        self,
        name: str,
        messages: asyncio.Queue[Message | Exception],
        writer: asyncio.StreamWriter,
        challenge: bytes,
    ) -> None:
        """Send one request and process its answer, then wait for the next poll or a change notice."""
        border = self.border
        renew_s = border.settings.renew_us / 1e6
        frame = encode_frame(border.site, border.query(name, now_us()), challenge, self.keys.sign)
        self._write(writer, self._partner_of(name), frame)
        news = False
        async with asyncio.timeout(2 * renew_s):
            while not isinstance(message := await _next_message(messages), Advertisement):
                news = True
        if name not in border.peers:
            return
        await self._process_advertisement(name, message)
        if not news:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(renew_s * self._random.uniform(0.8, 1.2)):
                    while not isinstance(await _next_message(messages), ChangeNotice):
                        pass
        await asyncio.sleep(MIN_QUERY_INTERVAL_S)

    async def _process_advertisement(self, name: str, tell: Advertisement) -> None:
        """Verify the chains of an advertisement and apply it to the routing state."""
        border = self.border
        received_us = now_us()
        if name in self._address_overrides:
            tell = msgspec.structs.replace(tell, address=self._address_overrides[name])
        chains = tell.chains or ()
        known = set(border.partners) | {border.site}
        if len(chains) <= MAX_INLINE_CHAINS:
            reasons = verify_chains(chains, self.keys.verify, known.__contains__, border.verified)
        else:
            reasons = await self._verify_chains(tell.site, chains, known)
        if border.on_advertisement(name, tell, received_us, reasons):
            if name in self._logged_silent:
                self._logged_silent.discard(name)
                log.info("%s at %s answers", self._partner_of(name), name)
            self._log_refused(name)
        self._propagate_changes()

    async def _verify_chains(
        self, partner: str, chains: tuple[Chain, ...], known: set[str]
    ) -> list[UnusedReason | None]:
        lock = self._verify_locks.setdefault(partner, asyncio.Lock())
        async with lock:
            await asyncio.sleep(max(0.0, self._verify_not_before.get(partner, 0.0) - time.monotonic()))
            reasons, cpu_s = await asyncio.to_thread(
                _timed_call, verify_chains, chains, self.keys.verify, known.__contains__, self.border.verified
            )
            self._verify_not_before[partner] = time.monotonic() + cpu_s * VERIFY_PAUSE_FACTOR
        return reasons

    def _log_refused(self, name: str) -> None:
        peer = self.border.peers[name]
        names = sorted(item for item in peer.refused if UnusedReason[item] in LOGGED_REASONS)
        joined = ", ".join(names)
        if self._logged_refusals.get(name, "") != joined:
            self._logged_refusals[name] = joined
            if joined:
                first = UnusedReason[names[0]]
                log.warning(
                    "routes of %s at %s are not used: %s; %s", peer.partner, name, first.value, REMEDY[first]
                )

    # Status

    def status(self) -> dict[str, Any]:
        """Return the status of the exchange, for `ctl status`."""
        border, now = self.border, now_us()
        return {
            "site": border.site,
            "gateway": border.gateway,
            "life": border.incarnation[0],
            "circle": border.provider_cycle,
            "offers": sorted(border.offers(now)),
            "partners": {
                name: {
                    "partner": peer.partner,
                    "gateway": peer.gateway,
                    "answers": peer.silent_since is None,
                    "refused": dict(sorted(peer.refused.items())),
                    "way_ms": peer.round_trip_us / 1_000,
                    "agrees": peer.agrees,
                }
                for name, peer in sorted(border.peers.items())
            },
            "routes": [
                {
                    "offer": "/".join((route.id.gateway, route.id.name)),
                    "partner": route.partner,
                    "peer": route.peer,
                    "path": list(route.sites),
                    "rank": list(route.rank),
                    "to": route.terms.to,
                    "onward": route.terms.onward,
                    "classes": route.terms.classes,
                    "rate": route.terms.rate,
                    "left_ms": self._remaining_ms(route.peer, route.id, now),
                    "state": "used" if route.state is None else route.state.name.lower(),
                    "why": "" if route.state is None else f"{route.state.value}; {REMEDY[route.state]}",
                }
                for route in border.table[:MAX_STATUS_ROUTES]
            ],
            "bytes": dict(self.bytes_by_partner),
            **self.counts,
            **border.counts,
        }

    def _remaining_ms(self, peer: str, id: Any, now: int) -> int:
        held = self.border.peers[peer].held.get(id) if peer in self.border.peers else None
        return 0 if held is None else max(0, held.expires_us - now) // 1_000


def _timed_call(
    function: Callable[..., list[UnusedReason | None]], *arguments: Any
) -> tuple[list[UnusedReason | None], float]:
    """Return the function's result and the CPU time that it took in this thread, in seconds."""
    began = time.thread_time()
    result = function(*arguments)
    return result, time.thread_time() - began


async def _next_message(messages: asyncio.Queue[Message | Exception]) -> Message:
    message = await messages.get()
    if isinstance(message, Exception):
        raise message
    return message


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("polling a partner's gateway failed", exc_info=task.exception())
