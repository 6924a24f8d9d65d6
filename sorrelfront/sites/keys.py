"""Keys of sites: Ed25519 (RFC 8032) by the `cryptography` library.

A private key is 32 bytes in base64, one line in a file that only its owner reads; the public one is told to
partners as `ed25519:` and base64. `python -m sorrelfront.sites.keys FILE` makes a pair and prints what to
tell them."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import os
import stat
import sys
from collections.abc import Iterable, Mapping
from pathlib import Path

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from sorrelfront.errors import SorrelfrontError

PREFIX = "ed25519:"
KEY = 32  # bytes of either
FILE_MOST = 256  # bytes
KEYS_MOST = 2  # of one partner: the one in use, and the one that takes its place
TICKET = 24  # bytes


class BadSiteKey(SorrelfrontError):
    """A site's key that cannot be used."""

    remedy = "Make a new pair with `python -m sorrelfront.sites.keys FILE`, and tell partners its public key."


def public(text: str) -> Ed25519PublicKey:
    """A partner's key as a file has it. Raises BadSiteKey."""
    if not text.startswith(PREFIX):
        raise BadSiteKey(f"a public key begins with {PREFIX}", remedy="Ask the partner for its public key.")
    return Ed25519PublicKey.from_public_bytes(_decoded(text.removeprefix(PREFIX), "a public key"))


def told(key: Ed25519PrivateKey) -> str:
    """What partners are told."""
    return PREFIX + base64.b64encode(key.public_key().public_bytes_raw()).decode()


def private(path: Path) -> Ed25519PrivateKey:
    """Raises BadSiteKey."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(FILE_MOST + 1)
    except OSError as fault:
        raise BadSiteKey(f"{path}: {fault.strerror}") from None
    if not stat.S_ISREG(mode) or mode & 0o077:
        # Risk: whoever reads it speaks in this site's name.
        raise BadSiteKey(f"{path}: others may read it", remedy=f"chmod 600 {path}, or make a new pair.")
    return Ed25519PrivateKey.from_private_bytes(_decoded(data.decode("latin-1").strip(), str(path)))


def _decoded(text: str, what: str) -> bytes:
    try:
        data = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        data = b""
    if len(data) != KEY:
        raise BadSiteKey(f"{what}: is not {KEY} bytes in base64")
    return data


class Keys:
    """This site's key, and those of all sites that it knows."""

    def __init__(self, own: Ed25519PrivateKey, partners: Mapping[str, Iterable[str]]) -> None:
        """Raises BadSiteKey."""
        self._own = own
        self._secret = hashlib.blake2b(own.private_bytes_raw(), person=b"sorrel-ticket").digest()
        self._known: dict[str, tuple[Ed25519PublicKey, ...]] = {}
        self.change(partners)

    def change(self, partners: Mapping[str, Iterable[str]]) -> None:
        """Raises BadSiteKey, and nothing has changed."""
        self._known = {site: tuple(map(public, keys)) for site, keys in partners.items()}

    def take(self, other: Keys) -> None:
        """Go by these from now on."""
        self._own, self._secret, self._known = other._own, other._secret, other._known

    def sign(self, data: bytes) -> bytes:
        return self._own.sign(data)

    def verify(self, site: str, signature: bytes, data: bytes) -> bool:
        for key in self._known.get(site, ()):
            try:
                key.verify(signature, data)
            except InvalidSignature:
                continue
            return True
        return False

    def ticket(self, site: str) -> bytes:
        """What this site's gateways know requests of that site by; the same at each of them, in every life.
        It changes with this site's key."""
        return hmac.digest(self._secret, site.encode(), "sha256")[:TICKET]

    def shows(self, site: str, ticket: bytes) -> bool:
        """Whether that is this site's ticket for it."""
        return site in self._known and hmac.compare_digest(self.ticket(site), ticket)


def make(path: Path) -> str:
    """Write a new private key, readable by its owner alone, and return what partners are told. Raises
    OSError, also if the file is there."""
    key = Ed25519PrivateKey.generate()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
    with open(descriptor, "wb") as file:
        file.write(base64.b64encode(key.private_bytes_raw()) + b"\n")
    return told(key)


def main() -> int:
    if len(sys.argv) != 2:
        print("python -m sorrelfront.sites.keys FILE", file=sys.stderr)
        return 2
    try:
        print(make(Path(sys.argv[1])))
    except OSError as fault:
        print(f"{sys.argv[1]}: {fault.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
