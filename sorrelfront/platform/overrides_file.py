"""Administrative overrides: the servers disabled by operators, in a file shared by versions of the program.

Two versions of one agent serve together for some seconds (`upgrade.py`), and an override may be given to
either. An override that only one process kept in memory would be ignored by the other, and lost when the
process ends. So the file is authoritative: the process that is given an override changes the file under a
lock, and each process polls it every POLL_INTERVAL_S. The file is replaced as a whole (rename(2)), so that a
process that is killed leaves either the old or the new content.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import logging
import os
import time
from collections.abc import Iterator
from pathlib import Path

from sorrelfront.decisions.overrides import MAX_DISABLED_SERVERS, MAX_ID_LENGTH
from sorrelfront.errors import SorrelfrontError

log = logging.getLogger(__name__)

LOCK_ATTEMPTS = 200
LOCK_RETRY_S = 0.001
POLL_INTERVAL_S = 0.1  # a drain must take effect within 500 ms of the override
MAX_FILE_BYTES = 4 * 1024 * 1024  # enough for MAX_DISABLED_SERVERS ids of MAX_ID_LENGTH ASCII characters


class TooManyDisabled(SorrelfrontError):
    """The limit on the number of disabled servers is reached, or a server's id is too long."""

    remedy = "Put servers back that need not be out, or take them out of the list itself."


class OverridesFile:
    """The ids of the servers that operators have disabled. Without a folder they are kept only in memory."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / "out-by-hand.json" if folder is not None else None
        self._file_state: tuple[int, int, int] | None = None  # inode, mtime, size of what was read last
        self.disabled: frozenset[str] = frozenset()
        self._failed = False
        self.refresh()

    def refresh(self) -> bool:
        """Read the file if it has changed, and return whether the set of disabled servers is another one.

        If the file is missing or cannot be read, the known set stays in force.
        """
        before = self.disabled
        if self._path is None:
            return False
        try:
            found = os.stat(self._path)
            file_state = (found.st_ino, found.st_mtime_ns, found.st_size)
            if file_state != self._file_state:
                self.disabled = self._read()
                self._file_state = file_state
        except FileNotFoundError:
            return False  # no override was ever given, or the folder was removed
        except (OSError, ValueError) as fault:
            # The known set stays: an unreadable file must not enable every server at once.
            if not self._failed:
                log.error("the orders of %s are not read: %s", self._path, fault)
            self._failed = True
            return False
        self._failed = False
        return self.disabled != before

    def set_disabled(self, server: str, disable: bool) -> None:
        """Disable a server, or enable it again. If this raises, nothing has changed.

        Raises:
            TooManyDisabled: The limit on the number of servers is reached, or the id is too long.
            OSError: The file cannot be locked or written.
        """
        with self._locked():
            self.refresh()
            wanted = self.disabled | {server} if disable else self.disabled - {server}
            if wanted == self.disabled:
                return
            if disable and (len(wanted) > MAX_DISABLED_SERVERS or len(server) > MAX_ID_LENGTH):
                raise TooManyDisabled(
                    f"{MAX_DISABLED_SERVERS} servers are out by hand already, or the id is too long"
                )
            if self._path is not None:
                temporary = self._path.with_suffix(".new")
                temporary.write_text(json.dumps(sorted(wanted)))
                temporary.replace(self._path)
            self.disabled = wanted

    def _read(self) -> frozenset[str]:
        """Read and validate the file. Raises OSError, or ValueError for invalid content."""
        assert self._path is not None
        with self._path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ValueError("it is too long")
        try:
            value = json.loads(data)
        except RecursionError:
            raise ValueError("it is not JSON") from None
        if not isinstance(value, list) or len(value) > MAX_DISABLED_SERVERS:
            raise ValueError(f"it is no list of at most {MAX_DISABLED_SERVERS} ids")
        if not all(isinstance(item, str) and len(item) <= MAX_ID_LENGTH for item in value):
            raise ValueError("an id in it is no text, or too long")
        return frozenset(value)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Hold the lock that excludes other writers. Raises OSError if another process keeps it."""
        if self._path is None:
            yield
            return
        descriptor = os.open(self._path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            _lock(descriptor)
            yield
        finally:
            os.close(descriptor)


def _lock(descriptor: int) -> None:
    """Take the lock, which is normally held for microseconds.

    The number of attempts is limited, because a process that was stopped while it held the lock would
    otherwise block this one for ever.

    Raises:
        OSError: The lock is still held after LOCK_ATTEMPTS attempts, or cannot be taken.
    """
    for _ in range(LOCK_ATTEMPTS):
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            time.sleep(LOCK_RETRY_S)
    raise TimeoutError("another process holds the lock of the orders")
