"""Messages between members of a fleet, and their bounds.

Types only; msgspec validates each value when it decodes it. A message is an array whose first item is its
tag. A later version may append fields with defaults: an older reader ignores items that it does not know
(msgspec, "schema evolution").
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from sorrelfront.errors import SorrelfrontError

Address = tuple[str, int]

MAX_DATAGRAM_BYTES = 1_400  # with the envelope; fits one Ethernet frame without fragmentation
MAX_NAME_LENGTH = 128  # characters
MAX_UPDATES = 64  # piggybacked on one datagram
MAX_MEMBERS = 8_192  # of one fleet, living and dead

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Hash = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Port = Annotated[int, Meta(ge=1, le=65_535)]


class State(IntEnum):
    """State of a member; at one incarnation the higher state overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member's state as reported by another member or by itself.

    `process_nonce` is drawn at random by each process; `reporter` is the member that observed this state
    itself.
    """

    name: Name
    ip: Annotated[str, Meta(max_length=15)]
    port: Port
    state: State
    incarnation: Count
    process_nonce: Hash
    reporter: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    version: Annotated[str, Meta(max_length=32)] = ""

    @property
    def address(self) -> Address:
        """Return the IP address and port that the member listens on."""
        return self.ip, self.port


Updates = Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p", gc=False):
    """A probe, answered by an Ack to the sender's own address; `to` is the member it is meant for."""

    seq: Count
    sender: MemberUpdate
    to: Name
    digest: Hash
    updates: Updates


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a", gc=False):
    """The answer to a Ping, or to a PingRequest once the member in question has answered."""

    seq: Count
    name: Name
    digest: Hash
    updates: Updates


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="i", gc=False):
    """A request to ping `to` on the sender's behalf (SWIM's ping-req), answered by an Ack or a Nack."""

    seq: Count
    sender: MemberUpdate
    to: Name
    ip: Annotated[str, Meta(max_length=15)]
    port: Port
    updates: Updates


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n", gc=False):
    """The helper is alive but got no answer from the member that it was asked to ping (Lifeguard)."""

    seq: Count
    name: Name


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="g", gc=False):
    """Membership updates alone."""

    updates: Updates


class NameConflict(msgspec.Struct, frozen=True, array_like=True, tag="c", gc=False):
    """Two processes use one name; the one that has been up for less yields it."""

    name: Name
    ip: Annotated[str, Meta(max_length=15)]
    port: Port
    process_nonce: Hash
    up_ms: Count
    is_reply: bool


class PolicyFrame(msgspec.Struct, frozen=True, array_like=True, tag="s", gc=False):
    """Carries an encoded policy message, in a datagram if it fits, else alone on a connection.

    `terms_digest` covers the set of voters and the length of a lease. Between two members whose files differ
    in these, two majorities need not share a voter.
    """

    sender: Name
    to: Name
    terms_digest: Count
    kind: Annotated[int, Meta(ge=0, le=255)]
    payload: bytes


class ReplicationFrame(msgspec.Struct, frozen=True, array_like=True, tag="k", gc=False):
    """Carries an encoded replication message, sent the same way as `PolicyFrame`."""

    sender: Name
    to: Name
    payload: bytes


class FullState(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A member's full state, for a push-pull exchange over a connection; `reply` marks the answer."""

    sender: MemberUpdate
    members: Annotated[list[MemberUpdate], Meta(max_length=MAX_MEMBERS)]
    reply: bool


Message = Ping | Ack | PingRequest | Nack | Gossip | NameConflict | PolicyFrame | ReplicationFrame
MAX_STATE_BYTES = MAX_MEMBERS * (2 * MAX_NAME_LENGTH + 96)  # size limit of an encoded full state


class MalformedMessage(SorrelfrontError):
    """Bytes that do not decode to a valid message; the text says why."""

    remedy = (
        "Bring the members to versions of the program that are compatible within one fleet; until "
        "then the message is ignored."
    )


_datagram_decoder = msgspec.msgpack.Decoder(Message)
_stream_decoder = msgspec.msgpack.Decoder(FullState | PolicyFrame | ReplicationFrame)
_encode = msgspec.msgpack.Encoder().encode


def encode(message: Message | FullState) -> bytes:
    """Encode a message as MessagePack."""
    return _encode(message)


def encoded_size(update: MemberUpdate) -> int:
    """Return the bytes that an update takes in a datagram."""
    return len(_encode(update))


def decode(data: bytes) -> Message:
    """Decode a datagram's payload.

    Raises MalformedMessage for any bytes that are no valid message, and no other exception.
    """
    try:
        return _datagram_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedMessage(str(error)) from None


def decode_stream(data: bytes) -> FullState | PolicyFrame | ReplicationFrame:
    """Decode a message received on a connection.

    Raises MalformedMessage for any bytes that are no valid message, and no other exception.
    """
    try:
        return _stream_decoder.decode(data)  # type: ignore[no-any-return]
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedMessage(str(error)) from None
