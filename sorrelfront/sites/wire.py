"""What is on a connection between two sites: frames of four bytes of length and a signed word.

    hello   from the one that listens: 16 random bytes, its challenge
    ask     Envelope, signed by the one that asks over the challenge and the word
    tell    Envelope, signed by the one that is asked; the word names the number of the ask
    news    the same, unasked

Nothing is secret on it; a word cannot be made or changed by others, nor an ask be said again on another
connection. A word is at most `TELL_MOST` bytes, of one that is not known yet `ASK_MOST`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from sorrelfront.decisions.sites.offers import SIGNATURE, Sign, Verify
from sorrelfront.decisions.sites.routes import Ask, News, Tell
from sorrelfront.decisions.sites.terms import SiteName
from sorrelfront.errors import SorrelfrontError

CHALLENGE = 16
ASK_MOST = 8 * 1024
TELL_MOST = 4 * 1024 * 1024
LENGTH = 4

Word = Ask | Tell | News


class Envelope(msgspec.Struct, frozen=True, array_like=True, gc=False):
    site: SiteName
    word: bytes
    signature: Annotated[bytes, Meta(max_length=SIGNATURE)]


class BadPartnerWord(SorrelfrontError):
    """What came from a partner site is no word, is too long, or bears no good signature."""

    remedy = (
        "Compare the keys and names of both sites' files and the programs' versions; if they agree, call it."
    )


_envelope = msgspec.msgpack.Decoder(Envelope)
_word = msgspec.msgpack.Decoder(Word)
_encode = msgspec.msgpack.Encoder().encode


def _signed(challenge: bytes, site: str, word: bytes) -> bytes:
    return b"sorrelfront word 1\x00" + challenge + site.encode() + b"\x00" + word


def pack(site: str, word: Word, challenge: bytes, sign: Sign) -> bytes:
    """A frame."""
    data = _encode(word)
    whole = _encode(Envelope(site, data, sign(_signed(challenge, site, data))))
    return len(whole).to_bytes(LENGTH, "big") + whole


def unpack(data: bytes, challenge: bytes, verify: Verify) -> Word:
    """The word in a frame. Raises BadPartnerWord, and nothing else whatever the bytes are."""
    try:
        envelope = _envelope.decode(data)
        if not verify(envelope.site, envelope.signature, _signed(challenge, envelope.site, envelope.word)):
            raise BadPartnerWord(f"a word in the name of {envelope.site} is not signed by a key known here")
        word: Word = _word.decode(envelope.word)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise BadPartnerWord(f"it cannot be read: {fault}") from None
    if word.site != envelope.site:
        raise BadPartnerWord(f"{envelope.site} speaks as {word.site}")
    return word


async def read(reader: asyncio.StreamReader, most: int, counted: Callable[[int], None]) -> bytes:
    """The next frame. Raises BadPartnerWord, OSError, and EOFError at the end."""
    length = int.from_bytes(await reader.readexactly(LENGTH), "big")
    if length > most:
        raise BadPartnerWord(f"a word of {length} bytes; {most} are the most")
    counted(length + LENGTH)
    return await reader.readexactly(length)
