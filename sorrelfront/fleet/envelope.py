"""The envelope of each message between members: a version, and a hash keyed by the fleet's key and name.

    version  1 byte      1
    hash     16 bytes    BLAKE2b (RFC 7693) of version and payload, keyed
    payload  the rest

The fleet's name is the salt, so messages of another fleet are never accepted, whatever their key. A message
of an unknown version is ignored silently: one fleet may have members of two versions during an upgrade.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import stat
from dataclasses import dataclass
from pathlib import Path

from sorrelfront.errors import SorrelfrontError

VERSION = 1
HASH_BYTES = 16
ENVELOPE_BYTES = 1 + HASH_BYTES
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # BLAKE2b takes 64 at most
MAX_KEYS = 2  # the current one and the previous one
HASH_PERSONALIZATION = b"sorrelfront-view"


class InvalidKeyFile(SorrelfrontError):
    """A key file that cannot be used; the text says why in one line."""

    remedy = (
        "Write one or two lines of 16 to 64 bytes into the key file, and restrict it to this "
        "user with mode 0600."
    )


@dataclass(frozen=True, slots=True)
class EnvelopeCodec:
    """Wraps payloads with the first key, and unwraps envelopes of any key."""

    fleet: str
    keys: tuple[bytes, ...] = (b"",)

    def _hash(self, key: bytes, version: int, payload: bytes) -> bytes:
        salt = hashlib.blake2b(self.fleet.encode(), digest_size=16).digest()
        keyed_hash = hashlib.blake2b(
            bytes([version]), digest_size=HASH_BYTES, key=key, salt=salt, person=HASH_PERSONALIZATION
        )
        keyed_hash.update(payload)
        return keyed_hash.digest()

    def wrap(self, payload: bytes) -> bytes:
        """Return the payload in an envelope."""
        return bytes([VERSION]) + self._hash(self.keys[0], VERSION, payload) + payload

    def unwrap(self, data: bytes) -> bytes | None:
        """Return the payload, or None if the data is cut, corrupt, or of another version, fleet or key."""
        if len(data) <= ENVELOPE_BYTES or data[0] != VERSION:
            return None
        received_hash, payload = data[1:ENVELOPE_BYTES], data[ENVELOPE_BYTES:]
        for key in self.keys:
            # In constant time, so that timing does not reveal a hash byte by byte.
            if hmac.compare_digest(received_hash, self._hash(key, VERSION, payload)):
                return payload
        return None


def read_keys(path: str) -> tuple[bytes, ...]:
    """Read the keys of a key file: one or two lines of 16 to 64 bytes, the first of which is current.

    An empty path means no key. Raises InvalidKeyFile, also if anybody but the owner may read the file.
    """
    if not path:
        return (b"",)
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            status = os.fstat(descriptor)
            if (
                not stat.S_ISREG(status.st_mode)
                or status.st_uid not in (0, os.geteuid())
                or status.st_mode & 0o077
            ):
                raise InvalidKeyFile(
                    f"{path}: must be a regular file of this user that nobody else may read (mode 0600)"
                )
            lines = [line.strip() for line in file.read(4_096).split(b"\n")]
    except OSError as error:
        raise InvalidKeyFile(f"{path}: {error.strerror}") from None
    file_keys = tuple(line for line in lines if line)
    if (
        not file_keys
        or len(file_keys) > MAX_KEYS
        or any(not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in file_keys)
    ):
        raise InvalidKeyFile(
            f"{path}: must hold one or two lines of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
        )
    return file_keys


def key_file_error(path: Path) -> str | None:
    """Return what is wrong with a key file, or None if it is valid."""
    try:
        read_keys(str(path))
    except InvalidKeyFile as error:
        return str(error)
    return None
