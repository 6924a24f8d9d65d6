"""The words of a change of policy as bytes, checked before anything is done with them.

A word is a pair of its kind's number and its fields. Numbers are for good: a kind that goes leaves a gap."""

from __future__ import annotations

from typing import Any

import msgspec

from sorrelfront.decisions.fleet import policy
from sorrelfront.decisions.fleet.words import Unreadable

POLICY_MOST = 32 * 1024  # bytes of one policy
TEXT_MOST = 512  # characters of a name, a change's id, a fault
WHOLE_MOST = 2**53  # above any count, and JSON's safe whole numbers
ITEMS_MOST = 4_096  # of a list: more leases than members of a large fleet

TYPES: tuple[type[Any], ...] = (
    policy.Prepare, policy.Promise, policy.Accept, policy.Accepted, policy.Reject, policy.Chosen,
    policy.Current, policy.Need, policy.Renew, policy.Grant, policy.Release, policy.Ask, policy.Known,
    policy.Blank, policy.Found, policy.Look, policy.Shown, policy.Check, policy.Checked,
)  # fmt: skip
NUMBERS = {kind: number for number, kind in enumerate(TYPES)}
_decoders = [msgspec.msgpack.Decoder(kind) for kind in TYPES]
_encode = msgspec.msgpack.Encoder().encode
_record = msgspec.msgpack.Decoder(policy.Record)
Held = tuple[int, bytes]  # what a member remembers: the version that it served by, and its policy
_held = msgspec.msgpack.Decoder(Held)


def pack(word: policy.Word) -> tuple[int, bytes]:
    return NUMBERS[type(word)], _encode(word)


def unpack(kind: int, data: bytes) -> policy.Word:
    """Raises Unreadable, and nothing else whatever the bytes are."""
    if not 0 <= kind < len(TYPES):
        raise Unreadable(f"no word has the number {kind}")
    return _checked(_decoders[kind], data)  # type: ignore[no-any-return]


def pack_record(record: policy.Record) -> bytes:
    return _encode(record)


def unpack_record(data: bytes) -> policy.Record:
    """Raises Unreadable."""
    return _checked(_record, data)  # type: ignore[no-any-return]


def pack_held(version: int, document: bytes) -> bytes:
    return _encode((version, document))


def unpack_held(data: bytes) -> Held:
    """Raises Unreadable."""
    return _checked(_held, data)  # type: ignore[no-any-return]


def _checked(decoder: msgspec.msgpack.Decoder[Any], data: bytes) -> Any:
    try:
        made = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Unreadable(str(fault)) from None
    _bounded(made)
    return made


def _bounded(value: Any) -> None:
    """Risk: a number near the end of its range, once raised by one, can be written by nobody."""
    match value:
        case bool() | None:
            return
        case int() if not -1 <= value < WHOLE_MOST:
            raise Unreadable("a number is out of bounds")
        case str() if len(value) > TEXT_MOST:
            raise Unreadable("a text is too long")
        case bytes() if len(value) > POLICY_MOST:
            raise Unreadable("a policy is too long")
        case tuple():
            if len(value) > ITEMS_MOST:
                raise Unreadable("a list is too long")
            for item in value:
                _bounded(item)
