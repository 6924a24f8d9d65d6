"""Messages of a newer version at a member of an older one: ignored, without other effects."""

from __future__ import annotations

import msgspec
import pytest

from sorrelfront.decisions.fleet import messages
from sorrelfront.decisions.fleet.messages import (
    Ack,
    Gossip,
    MalformedMessage,
    Nack,
    NameConflict,
    Ping,
    PingRequest,
    PolicyFrame,
    ReplicationFrame,
)


def test_older_version_rejects_replication_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    older = msgspec.msgpack.Decoder(Ping | Ack | PingRequest | Nack | Gossip | NameConflict | PolicyFrame)
    data = messages.encode(ReplicationFrame("a/i0", "b/i0", b"word"))
    assert messages.decode(data) == ReplicationFrame("a/i0", "b/i0", b"word")
    monkeypatch.setattr(messages, "_datagram_decoder", older)
    with pytest.raises(MalformedMessage):
        messages.decode(data)


def test_appended_fields_of_a_newer_version_are_ignored() -> None:
    kind, sender, to, payload = "k", "a/i0", "b/i0", b"word"
    data = msgspec.msgpack.encode([kind, sender, to, payload, "more", 7])
    assert messages.decode(data) == ReplicationFrame(sender, to, payload)
