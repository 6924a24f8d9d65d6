"""Wire format between two sites: frames of a four-byte length and a signed message.

    hello           from the listener: 16 random bytes, its challenge
    query           Envelope, signed by the querying site over the challenge and the message
    advertisement   Envelope, signed by the queried site; the message repeats the number of the query
    change notice   the same, unsolicited

Nothing is encrypted. Others can neither forge nor modify a message, nor replay a query on another connection.
A message has at most `MAX_ADVERTISEMENT_BYTES` bytes, one from a peer not yet authenticated
`MAX_QUERY_BYTES`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from sorrelfront.decisions.sites.offers import SIGNATURE_BYTES, Sign, Verify
from sorrelfront.decisions.sites.routes import Advertisement, ChangeNotice, OfferQuery
from sorrelfront.decisions.sites.terms import SiteName
from sorrelfront.errors import SorrelfrontError

CHALLENGE_BYTES = 16  # bytes
MAX_QUERY_BYTES = 8 * 1024  # bytes
MAX_ADVERTISEMENT_BYTES = 4 * 1024 * 1024  # bytes
LENGTH_BYTES = 4

Message = OfferQuery | Advertisement | ChangeNotice


class Envelope(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An encoded message with the name and the signature of the sending site."""

    site: SiteName
    payload: bytes
    signature: Annotated[bytes, Meta(max_length=SIGNATURE_BYTES)]


class BadPartnerMessage(SorrelfrontError):
    """A message from a partner site is malformed, too long, or not validly signed."""

    remedy = (
        "Compare the keys and names of both sites' files and the programs' versions; if they agree, call it."
    )


_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_message_decoder = msgspec.msgpack.Decoder(Message)
_encode = msgspec.msgpack.Encoder().encode


def _to_sign(challenge: bytes, site: str, message: bytes) -> bytes:
    return b"sorrelfront word 1\x00" + challenge + site.encode() + b"\x00" + message


def encode_frame(site: str, message: Message, challenge: bytes, sign: Sign) -> bytes:
    """Encode and sign a message; return the frame with its length."""
    data = _encode(message)
    whole = _encode(Envelope(site, data, sign(_to_sign(challenge, site, data))))
    return len(whole).to_bytes(LENGTH_BYTES, "big") + whole


def decode_frame(data: bytes, challenge: bytes, verify: Verify) -> Message:
    """Verify and decode the message in a frame without its length.

    Raises:
        BadPartnerMessage: If it is malformed or badly signed. Nothing else is raised, whatever the bytes are.
    """
    try:
        envelope = _envelope_decoder.decode(data)
        if not verify(
            envelope.site, envelope.signature, _to_sign(challenge, envelope.site, envelope.payload)
        ):
            raise BadPartnerMessage(f"a message from {envelope.site} is not signed by a key known here")
        message: Message = _message_decoder.decode(envelope.payload)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise BadPartnerMessage(f"the message cannot be read: {fault}") from None
    if message.site != envelope.site:
        raise BadPartnerMessage(f"a message signed by {envelope.site} names {message.site} as its sender")
    return message


async def read_frame(
    reader: asyncio.StreamReader, max_bytes: int, on_received: Callable[[int], None]
) -> bytes:
    """Read the next frame, without its length; `on_received` is called with its size in bytes.

    Raises:
        BadPartnerMessage: If the frame is longer than `max_bytes`.
        OSError: If the connection fails.
        EOFError: If the connection has ended.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > max_bytes:
        raise BadPartnerMessage(f"a message of {length} bytes; the limit is {max_bytes}")
    on_received(length + LENGTH_BYTES)
    return await reader.readexactly(length)
