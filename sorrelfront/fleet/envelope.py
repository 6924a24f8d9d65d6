"""What is around each word between members: a version, and a hash keyed by the fleet's key and name.

    version  1 byte      1
    hash     16 bytes    BLAKE2b (RFC 7693) of version and payload, keyed
    payload  the rest

The fleet's name goes in as the salt, so members of another fleet are never heard, whatever their key. A
version that is not known here is left out in silence: members of two versions may stand in one fleet while it
is replaced."""

from __future__ import annotations

import hashlib
import hmac
import os
import stat
from dataclasses import dataclass
from pathlib import Path

from sorrelfront.errors import SorrelfrontError

VERSION = 1
HASH = 16
OVERHEAD = 1 + HASH
KEY_LEAST, KEY_MOST = 16, 64  # bytes of a key; BLAKE2b takes 64 at most
KEYS_MOST = 2  # the one in use, and the one before it
PERSON = b"sorrelfront-view"


class BadKey(SorrelfrontError):
    """A key file that cannot be used, in one line."""

    remedy = (
        "Write one or two lines of 16 to 64 bytes into the key file, and make it this "
        "user's alone with mode 0600."
    )


@dataclass(frozen=True, slots=True)
class Seal:
    """Puts words into envelopes by the first key, and opens those of any."""

    fleet: str
    keys: tuple[bytes, ...] = (b"",)

    def _hash(self, key: bytes, version: int, payload: bytes) -> bytes:
        salt = hashlib.blake2b(self.fleet.encode(), digest_size=16).digest()
        made = hashlib.blake2b(bytes([version]), digest_size=HASH, key=key, salt=salt, person=PERSON)
        made.update(payload)
        return made.digest()

    def close(self, payload: bytes) -> bytes:
        return bytes([VERSION]) + self._hash(self.keys[0], VERSION, payload) + payload

    def open(self, data: bytes) -> bytes | None:
        """The payload, or None: cut, spoilt, of another version, another fleet or another key."""
        if len(data) <= OVERHEAD or data[0] != VERSION:
            return None
        told, payload = data[1:OVERHEAD], data[OVERHEAD:]
        for key in self.keys:
            # In constant time: nobody learns a hash byte by byte.
            if hmac.compare_digest(told, self._hash(key, VERSION, payload)):
                return payload
        return None


def keys(path: str) -> tuple[bytes, ...]:
    """The keys in this file, one a line, the first in use: text of 16 to 64 bytes. Only its owner may read
    it. Raises BadKey."""
    if not path:
        return (b"",)
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            told = os.fstat(descriptor)
            if not stat.S_ISREG(told.st_mode) or told.st_uid not in (0, os.geteuid()) or told.st_mode & 0o077:
                raise BadKey(
                    f"{path}: must be a plain file of this user's that nobody else may read (mode 0600)"
                )
            lines = [line.strip() for line in file.read(4_096).split(b"\n")]
    except OSError as fault:
        raise BadKey(f"{path}: {fault.strerror}") from None
    found = tuple(line for line in lines if line)
    if not found or len(found) > KEYS_MOST or any(not KEY_LEAST <= len(key) <= KEY_MOST for key in found):
        raise BadKey(f"{path}: must hold one or two lines of {KEY_LEAST} to {KEY_MOST} bytes")
    return found


def readable(path: Path) -> str | None:
    """What is wrong with this key file, or None."""
    try:
        keys(str(path))
    except BadKey as bad:
        return str(bad)
    return None
