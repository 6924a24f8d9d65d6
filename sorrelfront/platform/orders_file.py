"""The servers out by hand, in a file that the next version of this program finds.

Two versions of one agent serve together for some seconds (`upgrade.py`), and an order may be given to either.
So the file is what holds: who is given an order changes the file, under a lock, and each looks at it every
LOOK_S. It is replaced whole (rename(2)), so that a process that is killed leaves the old or the new one.

Risk: an order that is only in one process's memory is broken by the other one, or forgotten with it.
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

from sorrelfront.decisions.orders import ID_MOST, OUT_MOST
from sorrelfront.errors import SorrelfrontError

log = logging.getLogger(__name__)

LOCK_TRIES = 200
LOCK_PAUSE_S = 0.001
LOOK_S = 0.1  # between looks: a drain has to hold within 500 ms of the order
BYTES_MOST = 4 * 1024 * 1024  # above OUT_MOST ids of ID_MOST characters at four bytes less than a third


class Full(SorrelfrontError):
    """More servers are out by hand than may be."""

    remedy = "Put servers back that need not be out, or take them out of the list itself."


class OrdersFile:
    """The ids that are out by hand. Without a folder they are kept in memory alone."""

    def __init__(self, folder: Path | None) -> None:
        self._path = folder / "out-by-hand.json" if folder is not None else None
        self._stamp: tuple[int, int, int] | None = None  # what was read last: inode, time of change, size
        self.out: frozenset[str] = frozenset()
        self._failed = False
        self.look()

    def look(self) -> bool:
        """Read the file if it is another one than before. Whether other servers are out now."""
        before = self.out
        if self._path is None:
            return False
        try:
            found = os.stat(self._path)
            stamp = (found.st_ino, found.st_mtime_ns, found.st_size)
            if stamp != self._stamp:
                self.out = self._read()
                self._stamp = stamp
        except FileNotFoundError:
            return False  # nobody has given an order, or the folder went: what is known holds on
        except (OSError, ValueError) as fault:
            # What was known holds on. Risk: an unreadable file would put every server back at once.
            if not self._failed:
                log.error("the orders of %s are not read: %s", self._path, fault)
            self._failed = True
            return False
        self._failed = False
        return self.out != before

    def change(self, server: str, out: bool) -> None:
        """Put a server out, or back. Raises Full, or OSError if the file cannot be written; then nothing has
        changed."""
        with self._locked():
            self.look()
            wanted = self.out | {server} if out else self.out - {server}
            if wanted == self.out:
                return
            if out and (len(wanted) > OUT_MOST or len(server) > ID_MOST):
                raise Full(f"{OUT_MOST} servers are out by hand already, or the id is too long")
            if self._path is not None:
                fresh = self._path.with_suffix(".new")
                fresh.write_text(json.dumps(sorted(wanted)))
                fresh.replace(self._path)
            self.out = wanted

    def _read(self) -> frozenset[str]:
        """Raises OSError and ValueError."""
        assert self._path is not None
        with self._path.open("rb") as file:
            data = file.read(BYTES_MOST + 1)
        if len(data) > BYTES_MOST:
            raise ValueError("it is too long")
        try:
            value = json.loads(data)
        except RecursionError:
            raise ValueError("it is not JSON") from None
        if not isinstance(value, list) or len(value) > OUT_MOST:
            raise ValueError(f"it is no list of at most {OUT_MOST} ids")
        if not all(isinstance(item, str) and len(item) <= ID_MOST for item in value):
            raise ValueError("an id in it is no text, or too long")
        return frozenset(value)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Nobody else changes the file meanwhile. Raises OSError if somebody holds on to it."""
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
    """Take the lock, which is held for a read and a write of memory: microseconds. Raises OSError.

    Risk: waited for without end, a process that was stopped while it held the lock would stop this one."""
    for _ in range(LOCK_TRIES):
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        except BlockingIOError:
            time.sleep(LOCK_PAUSE_S)
    raise TimeoutError("another process holds the lock of the orders")
