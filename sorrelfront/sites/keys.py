"""Keys of sites: Ed25519 (RFC 8032), with the `cryptography` library.

A private key is 32 bytes in base64, one line in a file that only its owner can read. Partners get the public
key as `ed25519:` and base64. `python -m sorrelfront.sites.keys FILE` makes a pair and prints the public key.
"""

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
KEY_BYTES = 32  # of a private or a public key
MAX_FILE_BYTES = 256
MAX_KEYS = 2  # of one partner: the current one and its replacement
TICKET_BYTES = 24


class BadSiteKey(SorrelfrontError):
    """A site's key that cannot be used."""

    remedy = "Make a new pair with `python -m sorrelfront.sites.keys FILE`, and tell partners its public key."


def parse_public_key(text: str) -> Ed25519PublicKey:
    """Parse a partner's public key as written in a configuration file.

    Raises:
        BadSiteKey: If the text is not a public key.
    """
    if not text.startswith(PREFIX):
        raise BadSiteKey(f"a public key begins with {PREFIX}", remedy="Ask the partner for its public key.")
    return Ed25519PublicKey.from_public_bytes(_decoded(text.removeprefix(PREFIX), "a public key"))


def public_key_text(key: Ed25519PrivateKey) -> str:
    """Return the public key as text, as given to partners."""
    return PREFIX + base64.b64encode(key.public_key().public_bytes_raw()).decode()


def load_private_key(path: Path) -> Ed25519PrivateKey:
    """Load a private key from its file.

    Raises:
        BadSiteKey: If the file is missing or malformed, or others than its owner may read it.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as fault:
        raise BadSiteKey(f"{path}: {fault.strerror}") from None
    if not stat.S_ISREG(mode) or mode & 0o077:
        # Whoever can read the key can sign in this site's name.
        raise BadSiteKey(f"{path}: others may read it", remedy=f"chmod 600 {path}, or make a new pair.")
    return Ed25519PrivateKey.from_private_bytes(_decoded(data.decode("latin-1").strip(), str(path)))


def _decoded(text: str, what: str) -> bytes:
    try:
        data = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        data = b""
    if len(data) != KEY_BYTES:
        raise BadSiteKey(f"{what}: is not {KEY_BYTES} bytes in base64")
    return data


class Keys:
    """This site's private key and the public keys of all sites that it knows."""

    def __init__(self, own: Ed25519PrivateKey, partners: Mapping[str, Iterable[str]]) -> None:
        """Parse the partners' keys.

        Raises:
            BadSiteKey: If a key cannot be parsed.
        """
        self._own = own
        self._secret = hashlib.blake2b(own.private_bytes_raw(), person=b"sorrel-ticket").digest()
        self._known: dict[str, tuple[Ed25519PublicKey, ...]] = {}
        self.set_partners(partners)

    def set_partners(self, partners: Mapping[str, Iterable[str]]) -> None:
        """Replace all partners' keys.

        Raises:
            BadSiteKey: If a key cannot be parsed; the old keys then stay.
        """
        self._known = {site: tuple(map(parse_public_key, keys)) for site, keys in partners.items()}

    def replace_with(self, other: Keys) -> None:
        """Replace all keys by those of another set."""
        self._own, self._secret, self._known = other._own, other._secret, other._known

    def sign(self, data: bytes) -> bytes:
        """Sign data with this site's private key."""
        return self._own.sign(data)

    def verify(self, site: str, signature: bytes, data: bytes) -> bool:
        """Whether any known key of the site made this signature; False for an unknown site."""
        for key in self._known.get(site, ()):
            try:
                key.verify(signature, data)
            except InvalidSignature:
                continue
            return True
        return False

    def ticket(self, site: str) -> bytes:
        """Return the ticket that authenticates a partner's requests to this site's gateways.

        It is the same at all of them and after restarts. It changes with this site's key.
        """
        return hmac.digest(self._secret, site.encode(), "sha256")[:TICKET_BYTES]

    def check_ticket(self, site: str, ticket: bytes) -> bool:
        """Whether this is the ticket of a known partner site."""
        return site in self._known and hmac.compare_digest(self.ticket(site), ticket)


def create_key_file(path: Path) -> str:
    """Write a new private key, readable by its owner only, and return the public key as text.

    Raises:
        OSError: If the file exists or cannot be written.
    """
    key = Ed25519PrivateKey.generate()
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
    with open(descriptor, "wb") as file:
        file.write(base64.b64encode(key.private_bytes_raw()) + b"\n")
    return public_key_text(key)


def main() -> int:
    """Make a key pair in the file named on the command line and print its public key."""
    if len(sys.argv) != 2:
        print("python -m sorrelfront.sites.keys FILE", file=sys.stderr)
        return 2
    try:
        print(create_key_file(Path(sys.argv[1])))
    except OSError as fault:
        print(f"{sys.argv[1]}: {fault.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
