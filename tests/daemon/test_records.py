"""Truncated, corrupt, foreign or hostile files are refused; disks that fail or hang block nothing."""

from __future__ import annotations

import asyncio
import errno
import os
import threading
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.daemon import records
from sorrelfront.daemon.journal import Entry, Journal, RunFolder, RunFolderError, StateMemory, decode, encode
from sorrelfront.daemon.records import (
    HEADER,
    MAX_PAYLOAD_BYTES,
    InvalidRecord,
    RecordKind,
    Writer,
    decode_record,
    encode_record,
    read,
    read_or_set_aside,
    write,
)
from sorrelfront.daemon.state import Failures, Remembered
from sorrelfront.daemon.state import decode as decode_fleet
from tests.loopback import until

PAYLOAD = msgspec.msgpack.encode(Remembered(5, 3, b"[daemon]\n" * 150, {"i0": Failures(2, 7)}))
WHOLE = encode_record(RecordKind.FLEET, PAYLOAD)
JOURNAL = Journal("boot", 7, "digest", [Entry("i0", 1, 4_242, 99)])


def test_a_record_cut_at_any_byte_is_refused() -> None:
    assert decode_record(RecordKind.FLEET, WHOLE) == PAYLOAD
    for length in range(len(WHOLE)):
        with pytest.raises(InvalidRecord):
            decode_record(RecordKind.FLEET, WHOLE[:length])


def test_a_record_with_any_bit_of_its_first_kilobyte_flipped_is_refused() -> None:
    assert len(WHOLE) > 1_024
    for at in range(8 * 1_024):
        corrupt = bytearray(WHOLE)
        corrupt[at // 8] ^= 1 << at % 8
        with pytest.raises(InvalidRecord):
            decode_record(RecordKind.FLEET, bytes(corrupt))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_refused_or_checked(data: bytes, sealed: bool) -> None:
    """A record with a valid checksum may still have invalid contents, which must be refused as well."""
    whole = encode_record(RecordKind.JOURNAL, data) if sealed else data
    for kind, check in ((RecordKind.JOURNAL, decode), (RecordKind.FLEET, decode_fleet)):
        try:
            check(decode_record(kind, whole))
        except InvalidRecord:
            pass
        else:
            assert sealed and kind is RecordKind.JOURNAL


def test_another_version_kind_or_length_is_told_apart() -> None:
    for changed, why in (
        (WHOLE[:4] + b"\0\2" + WHOLE[6:], "version 2"),
        (encode_record(RecordKind.LEARNT, PAYLOAD), "kind 3"),
        (WHOLE + b"x", "bytes and says"),
        (b"GIF8" + WHOLE[4:], "no record"),
    ):
        with pytest.raises(InvalidRecord, match=why):
            decode_record(RecordKind.FLEET, changed)


def test_anything_but_a_regular_file_of_this_user_is_set_aside(tmp_path: Path) -> None:
    good, place = tmp_path / "good", tmp_path / "place"
    write(good, WHOLE)
    assert read(good, RecordKind.FLEET) == PAYLOAD and read_or_set_aside(place, RecordKind.FLEET) is None

    def link() -> None:
        place.symlink_to(good)

    def writable() -> None:
        place.write_bytes(WHOLE)
        place.chmod(0o666)

    def too_long() -> None:
        with place.open("wb") as file:
            file.truncate(HEADER.size + MAX_PAYLOAD_BYTES + 1)

    for create in (link, writable, too_long, lambda: os.mkfifo(place), place.mkdir):
        create()
        assert read_or_set_aside(place, RecordKind.FLEET) is None
        assert not os.path.lexists(place), create  # set aside
        aside = tmp_path / "place.bad"
        aside.rmdir() if aside.is_dir() and not aside.is_symlink() else aside.unlink()
    assert read(good, RecordKind.FLEET) == PAYLOAD


def test_a_write_replaces_all_or_nothing_and_a_link_is_not_followed(tmp_path: Path) -> None:
    place, other = tmp_path / "place", tmp_path / "other"
    other.write_text("mine")
    (tmp_path / ".place.new").symlink_to(other)  # placed at the path of the temporary file
    write(place, WHOLE)
    write(place, WHOLE + b"")
    assert read(place, RecordKind.FLEET) == PAYLOAD and other.read_text() == "mine"
    assert place.stat().st_mode & 0o777 == 0o600
    assert sorted(path.name for path in tmp_path.iterdir()) == ["other", "place"]


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_fails_is_logged_once_and_tried_again(
    tmp_path: Path, number: int, caplog: pytest.LogCaptureFixture
) -> None:
    refuses = True

    def put(path: Path, data: bytes) -> None:
        if refuses:
            raise OSError(number, os.strerror(number))
        write(path, data)

    async def play() -> None:
        nonlocal refuses
        writer = Writer(put)
        place = tmp_path / "place"
        for count in range(1, 4):
            writer.put(place, WHOLE)
            assert await writer.wait_written(30.0)
            assert writer.failures == count and writer.fault == os.strerror(number)
        refuses = False
        writer.put(place, WHOLE)
        assert await writer.wait_written(30.0)
        assert writer.fault is None and writer.written == 1 and read(place, RecordKind.FLEET) == PAYLOAD
        writer.close()

    asyncio.run(play())
    assert sum("is not written" in record.message for record in caplog.records) == 1


def test_a_disk_that_hangs_blocks_nothing_and_the_latest_is_written(tmp_path: Path) -> None:
    go = threading.Event()
    begun: list[bytes] = []

    def put(_: Path, data: bytes) -> None:
        begun.append(data)
        go.wait(60.0)

    async def play() -> None:
        writer = Writer(put)
        for number in range(100):
            writer.put(tmp_path / "place", b"%d" % number)
            await asyncio.sleep(0)  # let the event loop run
            if not number:
                await until(lambda: len(begun) == 1)
        assert not await writer.wait_written(0.01) and len(begun) == 1
        go.set()
        assert await writer.wait_written(30.0)
        assert begun == [b"0", b"99"]  # a replaced version is not written
        for number in range(records.MAX_PENDING_FILES):
            writer.put(tmp_path / str(number), b"")
        writer.close()

    asyncio.run(play())


def test_the_journal_in_memory_survives_a_write_that_was_cut_off() -> None:
    memory = StateMemory()
    try:
        assert memory.read() is None
        memory.write(encode(JOURNAL))
        memory.write(encode(msgspec.structs.replace(JOURNAL, generation=8)))
        found = StateMemory(os.dup(memory.descriptor))
        kept = found.read()
        assert kept is not None and kept.generation == 8
        # The next write is cut off: its header is there, its end is not.
        for at in (0, StateMemory.SLOT_BYTES):
            before = os.pread(memory.descriptor, 64, at)
            count = StateMemory.SLOT_HEADER.unpack_from(before)[0]
            if count == 1:
                os.pwrite(memory.descriptor, StateMemory.SLOT_HEADER.pack(3, 60), at)
        kept = found.read()
        assert kept is not None and kept.generation == 8
        found.write(encode(msgspec.structs.replace(JOURNAL, generation=9)))
        kept = memory.read()
        assert kept is not None and kept.generation == 9
        memory.write(bytes(StateMemory.SLOT_BYTES))  # too long: the previous one stays
        kept = memory.read()
        assert kept is not None and kept.generation == 9
        found.close()
    finally:
        memory.close()


def test_a_run_folder_that_others_may_enter_is_refused_and_one_program_holds_the_lock(tmp_path: Path) -> None:
    first, second = RunFolder(tmp_path / "d"), RunFolder(tmp_path / "d")
    assert first.lock() and first.lock() and not second.lock()
    first.unlock()
    assert second.lock() and not first.lock()
    second.unlock()
    (tmp_path / "open").mkdir(mode=0o755)
    (tmp_path / "link").symlink_to(tmp_path / "d")
    (tmp_path / "file").write_text("")
    for name in ("open", "link", "file"):
        with pytest.raises(RunFolderError):
            RunFolder(tmp_path / name)
