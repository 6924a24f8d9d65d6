"""Jute records are decoded as they were encoded, and malformed input is rejected."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.net.jute import (
    MAX_FRAME_BYTES,
    MAX_VECTOR_ELEMENTS,
    Acl,
    Malformed,
    Reader,
    Stat,
    Writer,
    frame_length,
    parent_path,
    validated_path,
)

LONGS = st.integers(-(2**63), 2**63 - 1)
INTS = st.integers(-(2**31), 2**31 - 1)
STATS = st.builds(Stat, LONGS, LONGS, LONGS, LONGS, INTS, INTS, INTS, LONGS, INTS, INTS, LONGS)
ACLS = st.lists(st.builds(Acl, INTS, st.text(max_size=9), st.text(max_size=9)), max_size=5).map(tuple)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(INTS, LONGS, st.booleans(), st.binary(max_size=99), st.text(max_size=30),
       st.lists(st.text(max_size=9), max_size=9), ACLS, STATS)  # fmt: skip
def test_encoded_values_are_decoded(
    number: int, long: int, flag: bool, data: bytes, text: str, texts: list[str], acls: tuple[Acl, ...],
    stat: Stat,
) -> None:  # fmt: skip
    writer = Writer().int32(number).int64(long).flag(flag).buffer(data).buffer(None).text(text)
    frame = writer.texts(texts).acls(acls).stat(stat).frame()
    assert frame_length(frame[:4]) == len(frame) - 4
    reader = Reader(frame[4:])
    assert (reader.int32(), reader.int64(), reader.flag(), reader.buffer(), reader.buffer()) == (
        number, long, flag, data, None,
    )  # fmt: skip
    assert (reader.text(), reader.texts(), reader.acls(), reader.stat()) == (text, texts, acls, stat)
    reader.end()


READS = ("int32", "int64", "flag", "buffer", "text", "texts", "acls", "stat", "rest", "end")


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.binary(max_size=200), st.lists(st.sampled_from(READS), min_size=1, max_size=8))
def test_any_bytes_are_decoded_or_malformed(data: bytes, reads: list[str]) -> None:
    reader = Reader(data)
    for read in reads:
        before = reader.remaining_bytes
        try:
            getattr(reader, read)()
        except Malformed:
            return
        assert 0 <= reader.remaining_bytes <= before


@pytest.mark.parametrize("count", [MAX_VECTOR_ELEMENTS + 1, 2**31 - 1, -2, 3])
def test_an_impossible_vector_length_is_refused_before_reading_elements(count: int) -> None:
    with pytest.raises(Malformed):
        Reader(struct.pack(">i", count) + bytes(8)).texts()
    with pytest.raises(Malformed):
        Reader(struct.pack(">i", count) + bytes(20)).acls()


@pytest.mark.parametrize("length", [-1, MAX_FRAME_BYTES + 1, 2**31 - 1, -(2**31)])
def test_an_invalid_frame_length_is_refused(length: int) -> None:
    with pytest.raises(Malformed):
        frame_length(struct.pack(">i", length))


def test_paths() -> None:
    assert validated_path("/") == "/" and validated_path("/a/b") == "/a/b"
    assert parent_path("/a/b") == "/a" and parent_path("/a") == "/"
    for bad in ("", "a", "/a/", "//a", "/a/../b", "/./a", "/a\x00"):
        with pytest.raises(Malformed):
            validated_path(bad)
