"""Encoding of policy messages, with validation before any use.

A message is a pair of its type's number and its fields. Numbers are permanent: a removed type leaves a gap.
"""

from __future__ import annotations

from typing import Any

import msgspec

from sorrelfront.decisions.fleet import policy
from sorrelfront.decisions.fleet.messages import MalformedMessage

MAX_POLICY_BYTES = 32 * 1024  # bytes of one policy
MAX_TEXT_LENGTH = 512  # characters of a name, a change's id, an error
INTEGER_LIMIT = 2**53  # above any counter; JSON's safe integers end here
MAX_LIST_ITEMS = 4_096  # of a list; there are fewer leases, one a member, even in a large fleet

MESSAGE_TYPES: tuple[type[Any], ...] = (
    policy.Prepare,
    policy.Promise,
    policy.Accept,
    policy.Accepted,
    policy.Reject,
    policy.Chosen,
    policy.Current,
    policy.LearnRequest,
    policy.Renew,
    policy.Grant,
    policy.Release,
    policy.RecoveryQuery,
    policy.LatestSlot,
    policy.Uninitialized,
    policy.Initialize,
    policy.StateQuery,
    policy.VoterState,
    policy.ValidationRequest,
    policy.ValidationReply,
)
TYPE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
_decoders = [msgspec.msgpack.Decoder(kind) for kind in MESSAGE_TYPES]
_encode = msgspec.msgpack.Encoder().encode
_record_decoder = msgspec.msgpack.Decoder(policy.Record)
RememberedPolicy = tuple[int, bytes]  # the version that a member last applied, and its policy
_remembered_decoder = msgspec.msgpack.Decoder(RememberedPolicy)


def encode_message(message: policy.PolicyMessage) -> tuple[int, bytes]:
    """Encode a policy message as its type's number and its fields."""
    return TYPE_NUMBERS[type(message)], _encode(message)


def decode_message(kind: int, data: bytes) -> policy.PolicyMessage:
    """Decode the fields of the message type numbered `kind`.

    Raises MalformedMessage for any bytes that are no valid message, and no other exception.
    """
    if not 0 <= kind < len(MESSAGE_TYPES):
        raise MalformedMessage(f"unknown message type {kind}")
    return _decode_checked(_decoders[kind], data)  # type: ignore[no-any-return]


def encode_record(record: policy.Record) -> bytes:
    """Encode a voter's record for its file."""
    return _encode(record)


def decode_record(data: bytes) -> policy.Record:
    """Decode a voter's record; raises MalformedMessage."""
    return _decode_checked(_record_decoder, data)  # type: ignore[no-any-return]


def encode_remembered(version: int, document: bytes) -> bytes:
    """Encode the version and the policy that a member remembers."""
    return _encode((version, document))


def decode_remembered(data: bytes) -> RememberedPolicy:
    """Decode a remembered version and policy; raises MalformedMessage."""
    return _decode_checked(_remembered_decoder, data)  # type: ignore[no-any-return]


def _decode_checked(decoder: msgspec.msgpack.Decoder[Any], data: bytes) -> Any:
    try:
        value = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedMessage(str(error)) from None
    _check_bounds(value)
    return value


def _check_bounds(value: Any) -> None:
    """Check all bounds; a number near the end of its range could not be encoded once incremented."""
    match value:
        case bool() | None:
            return
        case int() if not -1 <= value < INTEGER_LIMIT:
            raise MalformedMessage("a number is out of range")
        case str() if len(value) > MAX_TEXT_LENGTH:
            raise MalformedMessage("a text is too long")
        case bytes() if len(value) > MAX_POLICY_BYTES:
            raise MalformedMessage("a policy is too long")
        case tuple():
            if len(value) > MAX_LIST_ITEMS:
                raise MalformedMessage("a list is too long")
            for item in value:
                _check_bounds(item)
