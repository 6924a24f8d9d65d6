"""What members of a fleet say to each other, and its bounds. Types only; msgspec checks each value when it is
read.

A word is an array whose first item names its kind. A further version may append fields with defaults: an
older reader leaves out what it does not know (msgspec, "schema evolution")."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from sorrelfront.errors import SorrelfrontError

Address = tuple[str, int]

DATAGRAM_MOST = 1_400  # bytes with everything: passes an Ethernet frame whole
NAME_MOST = 128
NEWS_MOST = 64  # items in one datagram
MEMBERS_MOST = 8_192  # of a fleet, living and dead

Name = Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Mark = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Port = Annotated[int, Meta(ge=1, le=65_535)]


class State(IntEnum):
    """Of a member. At one incarnation the higher one overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class News(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One member's state as somebody tells it.

    `birth` is drawn anew by each process; `by` is whoever found this state first hand.
    """

    name: Name
    ip: Annotated[str, Meta(max_length=15)]
    port: Port
    state: State
    incarnation: Count
    birth: Mark
    by: Annotated[str, Meta(max_length=NAME_MOST)] = ""
    version: Annotated[str, Meta(max_length=32)] = ""

    @property
    def address(self) -> Address:
        return self.ip, self.port


Items = Annotated[list[News], Meta(max_length=NEWS_MOST)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p", gc=False):
    """Are you there? Answered by an Ack to the sender's own address. `to`: whom it is meant for."""

    seq: Count
    sender: News
    to: Name
    digest: Mark
    news: Items


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a", gc=False):
    """I am; or, from a member that was asked, the one you asked about is."""

    seq: Count
    name: Name
    digest: Mark
    news: Items


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="i", gc=False):
    """Ping this one for me (SWIM's ping-req). Answered by its Ack, or by a Nack."""

    seq: Count
    sender: News
    to: Name
    ip: Annotated[str, Meta(max_length=15)]
    port: Port
    news: Items


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n", gc=False):
    """I am well, and had no answer from the one you asked about (Lifeguard)."""

    seq: Count
    name: Name


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="g", gc=False):
    """News alone."""

    news: Items


class Clash(msgspec.Struct, frozen=True, array_like=True, tag="c", gc=False):
    """I go by your name. Whoever has been up for less stands back."""

    name: Name
    ip: Annotated[str, Meta(max_length=15)]
    port: Port
    birth: Mark
    up_ms: Count
    answer: bool


class Said(msgspec.Struct, frozen=True, array_like=True, tag="s", gc=False):
    """A word about policy (`said.unpack`), in a datagram if it fits and alone on a connection if not.

    `terms` is a digest of who the voters are and how long a lease is. Risk: between two members whose files
    differ in these, two majorities need have no voter in common."""

    sender: Name
    to: Name
    terms: Count
    kind: Annotated[int, Meta(ge=0, le=255)]
    word: bytes


class Copy(msgspec.Struct, frozen=True, array_like=True, tag="k", gc=False):
    """A word about copies (`copies.unpack`), carried as `Said` is."""

    sender: Name
    to: Name
    word: bytes


class Whole(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """All that a member knows, for an exchange over a connection. `reply`: it is the answer."""

    sender: News
    members: Annotated[list[News], Meta(max_length=MEMBERS_MOST)]
    reply: bool


Word = Ping | Ack | Ask | Nack | Gossip | Clash | Said | Copy
EXCHANGE_MOST = MEMBERS_MOST * (2 * NAME_MOST + 96)  # bytes of a Whole at the most


class Unreadable(SorrelfrontError):
    """Bytes that are no word, and why."""

    remedy = (
        "Bring the members to versions of the program that may stand in one fleet; until "
        "then the word is left out."
    )


_word = msgspec.msgpack.Decoder(Word)
_whole = msgspec.msgpack.Decoder(Whole | Said | Copy)
_encode = msgspec.msgpack.Encoder().encode


def encode(word: Word | Whole) -> bytes:
    return _encode(word)


def size(news: News) -> int:
    """Bytes that it takes in a datagram."""
    return len(_encode(news))


def decode(data: bytes) -> Word:
    """Raises Unreadable, and nothing else whatever the bytes are."""
    try:
        return _word.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Unreadable(str(fault)) from None


def decode_whole(data: bytes) -> Whole | Said | Copy:
    """What came alone on a connection. Raises Unreadable."""
    try:
        return _whole.decode(data)  # type: ignore[no-any-return]
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Unreadable(str(fault)) from None
