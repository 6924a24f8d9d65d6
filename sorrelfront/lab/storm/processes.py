"""Processes that a storm starts: owned by handle and by a mark that all their children carry.

The mark is a word of the environment, which a child inherits and another program never has. By it every
process of a host is found, also one whose parent is gone, and none that has merely been given the same
number."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

from sorrelfront.daemon.processes import open_process, send_signal, start_ticks

MARK = "SORRELFRONT_STORM"
GONE_WITHIN_S = 5.0
KEEPER_EVERY_S = 0.1


def marked(mark: str) -> dict[int, int]:
    """Process numbers and start times of all that carry this mark, or one that it begins."""
    word = f"{MARK}={mark}".encode()
    found = {}
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit():
            continue
        with contextlib.suppress(OSError):
            environ = Path(f"/proc/{entry.name}/environ").read_bytes()
            words = environ.split(b"\x00")
            if any(item == word or item.startswith(word + b"/") for item in words):
                ticks = start_ticks(int(entry.name))
                if ticks is not None:
                    found[int(entry.name)] = ticks
    return found


def signal_all(mark: str, number: signal.Signals) -> int:
    """Send it to every process that carries this mark. How many."""
    count = 0
    for pid, ticks in marked(mark).items():
        # Risk: between the look and the signal the number passes to another program.
        handle = open_process(pid, ticks)
        if handle is not None:
            send_signal(handle, number)
            os.close(handle)
            count += 1
    return count


def kill_all(mark: str, within_s: float = GONE_WITHIN_S) -> bool:
    """SIGKILL until none is left: one may just be starting another. Whether none is left."""
    until = time.monotonic() + within_s
    while signal_all(mark, signal.SIGKILL):
        if time.monotonic() > until:
            return False
        time.sleep(0.005)
    return True


class Owned:
    """A process that the stage started, held by its pidfd. Its `ended` is set once it has, whoever ended
    it."""

    def __init__(self, words: list[str], environ: dict[str, str], cwd: Path, output: int) -> None:
        """`output`: a descriptor for what it writes. In a session of its own: a terminal's Ctrl-C is not for
        it."""
        self.process = subprocess.Popen(
            words, cwd=cwd, env=environ, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
            start_new_session=True,
        )  # fmt: skip
        self.pid = self.process.pid
        # Not reaped before this object does so, hence surely this process, even if it has ended already.
        self.pidfd = os.pidfd_open(self.pid)
        self.code: int | None = None
        self.asked = False  # it was told to end, and nothing else has ended it
        self.ended = asyncio.Event()
        asyncio.get_running_loop().add_reader(self.pidfd, self._on_end)

    def _on_end(self) -> None:
        code = self.process.poll()
        if code is None:
            return
        asyncio.get_running_loop().remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.pidfd = -1
        self.code = code
        self.ended.set()

    def signal(self, number: signal.Signals) -> None:
        if self.pidfd >= 0:
            send_signal(self.pidfd, number)

    async def reap(self, within_s: float = GONE_WITHIN_S) -> int | None:
        """Its exit code once it has ended; None if it does not in time."""
        try:
            await asyncio.wait_for(self.ended.wait(), within_s)
        except TimeoutError:
            return None
        return self.code


class Keeper:
    """A process that outlives the rig by a moment, ends all that it started and removes its folder, whatever
    ended the rig: it waits for the end of a pipe that only the rig holds."""

    def __init__(self, mark: str, folder: Path) -> None:
        read, self._write = os.pipe()
        environ = {name: value for name, value in os.environ.items() if name != MARK}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "sorrelfront.lab.storm.processes", mark, str(folder)],
            stdin=read, env=environ, start_new_session=True,
        )  # fmt: skip
        os.close(read)

    def close(self) -> None:
        """Have it look once more, and end."""
        os.close(self._write)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(GONE_WITHIN_S * 2)


def keep(mark: str, folder: Path) -> int:
    """What the keeper does."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    while os.read(0, 64):  # nothing is ever written: this returns when the rig is gone
        pass
    gone = kill_all(mark)
    shutil.rmtree(folder, ignore_errors=True)  # it lies in memory
    return 0 if gone else 1


if __name__ == "__main__":
    raise SystemExit(keep(sys.argv[1], Path(sys.argv[2])))
