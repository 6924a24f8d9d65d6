"""Carries words between one agent's border (`decisions.sites.routes`) and those of partner sites. Decides
nothing: a task for each gateway that is asked, one for each connection that asks."""

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

from sorrelfront.decisions.sites.offers import REMEDY, Chain, Why, prove
from sorrelfront.decisions.sites.routes import Ask, Border, Lent, News, Partner, Tell
from sorrelfront.errors import SorrelfrontError
from sorrelfront.messages import Address
from sorrelfront.net.streams import end_stream
from sorrelfront.sites.keys import Keys
from sorrelfront.sites.wire import ASK_MOST, CHALLENGE, TELL_MOST, BadPartnerWord, Word, pack, read, unpack

log = logging.getLogger("sorrelfront.sites")

CONNECTIONS_MOST = 512  # that ask, all partners together; further ones are closed
FIRST_WITHIN_S = 2.0  # for a connection to show whose it is
CONNECT_WITHIN_S = 1.0
NEWS_EVERY_S = 0.1  # to one that asks
ASKS_A_SECOND = 50.0  # of one connection; one that asks more is closed
AGAIN_S = 0.05  # between two asks of one gateway at the least
INLINE_MOST = 4  # chains whose signatures are checked in the loop, at about 0.2 ms each; more in a thread
# Of the time that checking a partner's answer took, that passes before the next one of that partner is
# checked, whichever gateway sent it. Risk: one that tells very much and each time something else would have
# all of this process's time.
REST = 20
BUFFER_MOST = 256 * 1024  # bytes that wait to be read by one that asks; then it has no news
# What is told in the log; the rest comes and goes with links, files and processes.
WRONG = frozenset(
    {Why.UNKNOWN_SITE, Why.SIGNATURE, Why.WIDENED, Why.NOT_PASSED_ON, Why.ADDRESSEE, Why.VALLEY, Why.ROLE,
     Why.SPELLING, Why.FORKED, Why.TOO_MANY}
)  # fmt: skip
IDLE_S = 60.0  # a connection that asks nothing for so long is closed
CLOSE_WITHIN_S = 0.2
WORDS_MOST = 8  # that wait to be taken up; then the partner's are left in the kernel
ROUTES_TOLD = 64  # in figures


class SiteUnheard(SorrelfrontError):
    """A partner site's gateway does not answer."""

    remedy = (
        "Look at the link to it, and whether its `[site] listen` is the address in `[partners] at`; "
        "its routes are used until their time is over."
    )


def now_us() -> int:
    """Elapsed time, as routes count it."""
    return time.monotonic_ns() // 1_000


@dataclass(eq=False)
class _Asker:
    """A connection that has asked."""

    partner: str
    writer: asyncio.StreamWriter
    challenge: bytes
    news_at: float = -1e9
    timer: asyncio.TimerHandle | None = None
    tokens: float = ASKS_A_SECOND
    at: float = field(default_factory=time.monotonic)


class Carrier:
    """`start` it, `change` it with the file, `close` it."""

    def __init__(self, border: Border, keys: Keys, changed: Callable[[], None]) -> None:
        """`changed`: the table may be another."""
        self.border = border
        self.keys = keys
        self.counts = dict.fromkeys(("unreadable", "refused", "connections", "sent", "received"), 0)
        self.by_partner: Counter[str] = Counter()  # bytes, both ways
        self._changed = changed
        self._random = Random()  # no two agents ask in step
        self._server: asyncio.Server | None = None
        self._askers: set[_Asker] = set()
        self._open = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._serving: set[asyncio.Task[Any]] = set()
        self._seen = (-1, -1)
        self._timer: asyncio.TimerHandle | None = None
        self._places: dict[str, str] = {}
        self._proving: dict[str, asyncio.Lock] = {}  # by partner: one answer is checked at a time
        self._rests: dict[str, float] = {}  # partner -> until when nothing further of it is checked
        self._silent: set[str] = set()  # told of in the log
        self._refused: dict[str, str] = {}  # partner -> why its chains are refused, as the log was told
        self._closed = False

    async def start(self, listen: Address) -> None:
        """Raises OSError."""
        self._server = await asyncio.start_server(self._serve, *listen, limit=65_536)
        self._on_time()

    def change(
        self, partners: Iterable[Partner], lent: Iterable[Lent], places: dict[str, tuple[str, str]]
    ) -> None:
        """`places`: address of each gateway that is asked -> its partner, and where requests to it go if not
        where it says itself."""
        self.border.configure(partners, lent, now_us())
        self._places = {name: place for name, (_, place) in places.items() if place}
        for name in [name for name in self._tasks if places.get(name, ("",))[0] != self._partner(name)]:
            self._tasks.pop(name).cancel()
            self.border.drop(name)
        for name, (partner, _) in places.items():
            if name not in self._tasks:
                self.border.peer(name, partner, self._random.getrandbits(48))
                task = self._tasks[name] = asyncio.get_running_loop().create_task(self._ask_on(name))
                task.add_done_callback(_ended)
        for asker in [item for item in self._askers if item.partner not in self.border.partners]:
            asker.writer.close()
        self._after()

    def _partner(self, name: str) -> str:
        peer = self.border.peers.get(name)
        return peer.partner if peer is not None else ""

    async def close(self) -> None:
        """Ends its tasks, and waits for them."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for asker in self._askers:
            if asker.timer is not None:
                asker.timer.cancel()
        if self._server is not None:
            self._server.close()
        tasks = [*self._tasks.values(), *self._serving]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_WITHIN_S)

    # Time and changes

    def _on_time(self) -> None:
        self._timer = None
        self.border.on_time(now_us())
        self._after()

    def _after(self) -> None:
        """Whatever may have changed: the next look at the time, news for those that asked, requests."""
        if self._closed:
            return
        border, loop = self.border, asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_later(max(0.001, (border.next_us() - now_us()) / 1e6), self._on_time)
        state = (border.changed, border.told)
        if state == self._seen and not border.marks:
            return
        self._seen = state
        for asker in self._askers:
            if asker.timer is None:
                delay = max(0.0, asker.news_at + NEWS_EVERY_S - time.monotonic())
                asker.timer = loop.call_later(delay, self._tell_news, asker)
        self._changed()

    def _tell_news(self, asker: _Asker) -> None:
        asker.timer = None
        asker.news_at = time.monotonic()
        if asker.writer.transport.get_write_buffer_size() <= BUFFER_MOST:
            self._write(asker.writer, asker.partner, pack(self.border.site, News(self.border.site),
                                                          asker.challenge, self.keys.sign))  # fmt: skip

    def _write(self, writer: asyncio.StreamWriter, partner: str, frame: bytes) -> None:
        writer.write(frame)
        self.counts["sent"] += len(frame)
        self.by_partner[partner] += len(frame)

    def _received(self, count: int) -> None:
        self.counts["received"] += count

    # Those that ask

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self._open >= CONNECTIONS_MOST or self._closed:
            self.counts["refused"] += 1
            writer.transport.abort()
            return
        self._open += 1
        self._serving.add(task)
        asker: _Asker | None = None
        try:
            challenge = os.urandom(CHALLENGE)
            writer.write(challenge)
            async with asyncio.timeout(FIRST_WITHIN_S):
                first = await read(reader, ASK_MOST, self._received)
            ask = unpack(first, challenge, self.keys.verify)
            asker = _Asker(ask.site, writer, challenge)
            self._askers.add(asker)
            number = -1
            while isinstance(ask, Ask) and ask.site == asker.partner and ask.number > number:
                number = ask.number
                if not self._may_ask(asker) or not self._answer(asker, ask):
                    return
                async with asyncio.timeout(IDLE_S):
                    await writer.drain()
                    data = await read(reader, ASK_MOST, self._received)
                ask = unpack(data, challenge, self.keys.verify)
        except BadPartnerWord as bad:
            self.counts["unreadable"] += 1
            log.warning("%s: %s", "a partner" if asker is None else asker.partner, bad.told())
        except (OSError, EOFError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self._open -= 1
            if asker is not None:
                self._askers.discard(asker)
                if asker.timer is not None:
                    asker.timer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await end_stream(writer, abort=True)
            self._serving.discard(task)

    def _may_ask(self, asker: _Asker) -> bool:
        now = time.monotonic()
        asker.tokens = min(ASKS_A_SECOND, asker.tokens + (now - asker.at) * ASKS_A_SECOND)
        asker.at = now
        asker.tokens -= 1
        return asker.tokens >= 0

    def _answer(self, asker: _Asker, ask: Ask) -> bool:
        border, now = self.border, now_us()
        over = border.outlived(ask)
        if over is not None:
            log.warning("%s knows of life %d of this gateway; going on as life %d", ask.site, over, over + 1)
            border.live((over + 1, border.life[1]), now)
            border.counts["outlived"] += 1
        tell = border.on_ask(asker.partner, ask, self.keys.ticket(asker.partner), now)
        if tell is not None:
            frame = pack(border.site, tell, asker.challenge, self.keys.sign)
            self._write(asker.writer, asker.partner, frame)
        self._after()
        return tell is not None

    # Those that are asked

    async def _ask_on(self, name: str) -> None:
        """Ask this gateway, for as long as it is to be asked."""
        renew_s = self.border.settings.renew_us / 1e6
        while not self._closed:
            fault = ""
            try:
                await self._ask_while_open(name)
            except BadPartnerWord as bad:
                self.counts["unreadable"] += 1
                fault = str(bad)
            except TimeoutError:
                fault = "it does not answer"
            except (OSError, EOFError) as broken:
                fault = str(broken) or type(broken).__name__
            self._unheard(name, fault)
            await asyncio.sleep(renew_s * self._random.uniform(0.25, 0.75))

    def _unheard(self, name: str, fault: str) -> None:
        self.border.silent(name, now_us())
        if name not in self._silent:
            self._silent.add(name)
            what = SiteUnheard(f"{self._partner(name)} at {name}: {fault}")
            log.warning("%s", what.told())
        self._after()

    async def _ask_while_open(self, name: str) -> None:
        """Raises OSError, EOFError, TimeoutError and BadPartnerWord once the connection is of no more use."""
        host, _, port = name.rpartition(":")
        async with asyncio.timeout(CONNECT_WITHIN_S):
            reader, writer = await asyncio.open_connection(host, int(port), limit=65_536)
        words: asyncio.Queue[Word | Exception] = asyncio.Queue(WORDS_MOST)
        pump = None
        try:
            async with asyncio.timeout(CONNECT_WITHIN_S):
                challenge = await reader.readexactly(CHALLENGE)
            self.counts["connections"] += 1
            # A task of its own: a read that is cut off in a word would take its rest for another.
            pump = asyncio.create_task(self._pump(reader, challenge, self._partner(name), words))
            while name in self.border.peers:
                await self._ask_once(name, words, writer, challenge)
        finally:
            if pump is not None:
                pump.cancel()
            await end_stream(writer, abort=True)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        challenge: bytes,
        partner: str,
        words: asyncio.Queue[Word | Exception],
    ) -> None:
        try:
            while True:
                data = await read(reader, TELL_MOST, self._received)
                self.by_partner[partner] += len(data)
                word = unpack(data, challenge, self.keys.verify)
                if word.site != partner:
                    raise BadPartnerWord(f"{partner} is asked, and {word.site} answers")
                await words.put(word)
        except (BadPartnerWord, OSError, EOFError) as end:
            await words.put(end)

    async def _ask_once(
        self,
        name: str,
        words: asyncio.Queue[Word | Exception],
        writer: asyncio.StreamWriter,
        challenge: bytes,
    ) -> None:
        """One ask and its answer; then the time until the next one, or news."""
        border = self.border
        renew_s = border.settings.renew_us / 1e6
        frame = pack(border.site, border.ask(name, now_us()), challenge, self.keys.sign)
        self._write(writer, self._partner(name), frame)
        news = False
        async with asyncio.timeout(2 * renew_s):
            while not isinstance(word := await _next(words), Tell):
                news = True
        if name not in border.peers:
            return
        await self._heard(name, word)
        if not news:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(renew_s * self._random.uniform(0.8, 1.2)):
                    while not isinstance(await _next(words), News):
                        pass
        await asyncio.sleep(AGAIN_S)

    async def _heard(self, name: str, tell: Tell) -> None:
        """Hand over what was told."""
        border = self.border
        came = now_us()
        if name in self._places:
            tell = msgspec.structs.replace(tell, place=self._places[name])
        chains = tell.chains or ()
        known = set(border.partners) | {border.site}
        if len(chains) <= INLINE_MOST:
            proven = prove(chains, self.keys.verify, known.__contains__, border.good)
        else:
            proven = await self._prove(tell.site, chains, known)
        if border.on_tell(name, tell, came, proven):
            if name in self._silent:
                self._silent.discard(name)
                log.info("%s at %s answers", self._partner(name), name)
            self._tell_refused(name)
        self._after()

    async def _prove(self, partner: str, chains: tuple[Chain, ...], known: set[str]) -> list[Why | None]:
        lock = self._proving.setdefault(partner, asyncio.Lock())
        async with lock:
            await asyncio.sleep(max(0.0, self._rests.get(partner, 0.0) - time.monotonic()))
            found, took_s = await asyncio.to_thread(
                _timed, prove, chains, self.keys.verify, known.__contains__, self.border.good
            )
            self._rests[partner] = time.monotonic() + took_s * REST
        return found

    def _tell_refused(self, name: str) -> None:
        peer = self.border.peers[name]
        wrong = sorted(item for item in peer.refused if Why[item] in WRONG)
        why = ", ".join(wrong)
        if self._refused.get(name, "") != why:
            self._refused[name] = why
            if why:
                first = Why[wrong[0]]
                log.warning(
                    "routes of %s at %s are not used: %s; %s", peer.partner, name, first.value, REMEDY[first]
                )

    # Figures

    def figures(self) -> dict[str, Any]:
        """For `ctl status`."""
        border, now = self.border, now_us()
        return {
            "site": border.site, "gateway": border.gateway, "life": border.life[0], "circle": border.circle,
            "offers": sorted(border.offers(now)),
            "partners": {
                name: {
                    "partner": peer.partner, "gateway": peer.gateway, "answers": peer.silent_since is None,
                    "refused": dict(sorted(peer.refused.items())), "way_ms": peer.way_us / 1_000,
                    "agrees": peer.agrees,
                }
                for name, peer in sorted(border.peers.items())
            },
            "routes": [
                {
                    "offer": "/".join((route.id.gateway, route.id.name)), "partner": route.partner,
                    "peer": route.peer, "path": list(route.sites), "rank": list(route.rank),
                    "to": route.terms.to, "onward": route.terms.onward, "classes": route.terms.classes,
                    "rate": route.terms.rate, "left_ms": self._left_ms(route.peer, route.id, now),
                    "state": "used" if route.state is None else route.state.name.lower(),
                    "why": "" if route.state is None else f"{route.state.value}; {REMEDY[route.state]}",
                }
                for route in border.table[:ROUTES_TOLD]
            ],
            "bytes": dict(self.by_partner), **self.counts, **border.counts,
        }  # fmt: skip

    def _left_ms(self, peer: str, id: Any, now: int) -> int:
        held = self.border.peers[peer].held.get(id) if peer in self.border.peers else None
        return 0 if held is None else max(0, held.expires_us - now) // 1_000


def _timed(what: Callable[..., list[Why | None]], *told: Any) -> tuple[list[Why | None], float]:
    """What it returns, and the processor's time that it took in this thread, in seconds."""
    began = time.thread_time()
    found = what(*told)
    return found, time.thread_time() - began


async def _next(words: asyncio.Queue[Word | Exception]) -> Word:
    word = await words.get()
    if isinstance(word, Exception):
        raise word
    return word


def _ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("asking a partner failed", exc_info=task.exception())
