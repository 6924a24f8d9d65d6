"""A request's body on its way: the front feeds it as it comes, an attempt takes it as its server does.

A body of up to BODY_MOST bytes is held whole before anything is decided, so that it can be sent again. A
longer one is passed on while it comes: only its beginning is kept. Until an attempt has taken something
behind that, another attempt may begin anew; from then on none can, whatever the decisions would like.

Each body has at most one piece that waits beside its beginning, and its client is not read meanwhile: what
its server does not take, the client feels (RFC 9293, 3.8.6).
"""

from __future__ import annotations

import asyncio
import time


class Broken(ConnectionError):
    """The rest of a body does not come."""


class Upload:
    """One body; one feeder, and one taker at a time."""

    def __init__(self, beginning: bytes | bytearray, length: int | None) -> None:
        """`beginning`: what has come by now. `length` in bytes, None if only the end will tell."""
        self.length = length
        self.received = len(beginning)
        self.whole_at: float | None = None  # when its last byte came, on the monotonic clock
        self._beginning = bytes(beginning)
        self._piece = b""  # waits to be taken
        self._begun = False  # the taker has had the beginning
        self._passed = False  # something behind the beginning has been taken
        self._unwanted = False
        self._broken = False
        self._changed = asyncio.Event()

    # Feeding

    async def room(self) -> None:
        """Wait until the next piece may be fed."""
        while self._piece and not self._unwanted:
            self._changed.clear()
            await self._changed.wait()

    def feed(self, data: bytes) -> None:
        self.received += len(data)
        if not self._unwanted:
            self._piece += data
            self._changed.set()

    def end(self) -> None:
        """That was all."""
        self.whole_at = time.monotonic()
        self._changed.set()

    def break_off(self) -> None:
        """The rest does not come; nothing, if that was all."""
        if self.whole_at is None:
            self._broken = True
            self._changed.set()

    def drop(self) -> None:
        """Nobody will take any more of it: what still comes is passed over."""
        self._unwanted = True
        self._piece = self._beginning = b""
        self._changed.set()

    # Taking

    def begin(self) -> bool:
        """Take it from its start. False if that is no longer to be had."""
        self._begun = False
        return not (self._passed or self._unwanted)

    async def read(self) -> bytes:
        """The next piece, empty at the end. Raises Broken."""
        if not self._begun:
            self._begun = True
            return self._beginning
        while True:
            if self._piece:
                self._passed = True
                self._beginning = b""
                piece, self._piece = self._piece, b""
                self._changed.set()
                return piece
            if self._broken or self._unwanted:
                raise Broken("the rest of the request does not come")
            if self.whole_at is not None:
                return b""
            self._changed.clear()
            await self._changed.wait()
