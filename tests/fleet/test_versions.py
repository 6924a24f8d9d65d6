"""A word of a newer version, at a member of an older one: left out, and nothing else."""

from __future__ import annotations

import msgspec
import pytest

from sorrelfront.decisions.fleet import words
from sorrelfront.decisions.fleet.words import Ack, Ask, Clash, Copy, Gossip, Nack, Ping, Said, Unreadable


def test_a_word_about_copies_is_unreadable_to_a_version_without_them(monkeypatch: pytest.MonkeyPatch) -> None:
    older = msgspec.msgpack.Decoder(Ping | Ack | Ask | Nack | Gossip | Clash | Said)
    data = words.encode(Copy("a/i0", "b/i0", b"word"))
    assert words.decode(data) == Copy("a/i0", "b/i0", b"word")
    monkeypatch.setattr(words, "_word", older)
    with pytest.raises(Unreadable):
        words.decode(data)


def test_a_longer_word_of_a_newer_version_is_read_without_what_is_new() -> None:
    kind, sender, to, word = "k", "a/i0", "b/i0", b"word"
    data = msgspec.msgpack.encode([kind, sender, to, word, "more", 7])
    assert words.decode(data) == Copy(sender, to, word)
