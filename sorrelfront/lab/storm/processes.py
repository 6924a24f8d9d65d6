"""Processes that a storm starts, tracked by pidfd and by a mark that all their children inherit.

The mark is an environment variable, which a child inherits and no other program has. It finds every process
of a host, including one whose parent is gone, and never an unrelated process that was given the same pid.
"""

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
EXIT_TIMEOUT_S = 5.0
CLEANUP_INTERVAL_S = 0.1


def find_marked(mark: str) -> dict[int, int]:
    """Return pid and start time of all processes whose mark is this one or is below it (`mark/...`)."""
    setting = f"{MARK}={mark}".encode()
    found = {}
    for entry in os.scandir("/proc"):
        if not entry.name.isdigit():
            continue
        with contextlib.suppress(OSError):
            environ = Path(f"/proc/{entry.name}/environ").read_bytes()
            variables = environ.split(b"\x00")
            if any(item == setting or item.startswith(setting + b"/") for item in variables):
                ticks = start_ticks(int(entry.name))
                if ticks is not None:
                    found[int(entry.name)] = ticks
    return found


def signal_marked(mark: str, number: signal.Signals) -> int:
    """Send a signal to every process that carries this mark; return how many."""
    count = 0
    for pid, ticks in find_marked(mark).items():
        # The pid may pass to another program between the scan and the signal: the start time is checked.
        handle = open_process(pid, ticks)
        if handle is not None:
            send_signal(handle, number)
            os.close(handle)
            count += 1
    return count


def kill_marked(mark: str, timeout_s: float = EXIT_TIMEOUT_S) -> bool:
    """Repeat SIGKILL until no process carries this mark; return whether that succeeded in time.

    One pass is not enough, since a process may be starting another one at that moment.
    """
    deadline = time.monotonic() + timeout_s
    while signal_marked(mark, signal.SIGKILL):
        if time.monotonic() > deadline:
            return False
        time.sleep(0.005)
    return True


class ManagedProcess:
    """A process that the stage started, held by its pidfd.

    The event `ended` is set once the process has ended, whatever ended it.
    """

    def __init__(self, words: list[str], environ: dict[str, str], cwd: Path, output: int) -> None:
        """Start the process; `output` is the descriptor for its stdout and stderr.

        It runs in its own session, so that Ctrl-C in a terminal does not reach it.
        """
        self.process = subprocess.Popen(
            words, cwd=cwd, env=environ, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
            start_new_session=True,
        )  # fmt: skip
        self.pid = self.process.pid
        # Only this object reaps the process, so the pid is still its own, even if it has already ended.
        self.pidfd = os.pidfd_open(self.pid)
        self.code: int | None = None
        self.stop_requested = False  # it was told to stop, and nothing else has ended it
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
        """Send a signal, unless the process has ended."""
        if self.pidfd >= 0:
            send_signal(self.pidfd, number)

    async def reap(self, timeout_s: float = EXIT_TIMEOUT_S) -> int | None:
        """Wait for the end and return the exit code, or None if the process does not end in time."""
        try:
            await asyncio.wait_for(self.ended.wait(), timeout_s)
        except TimeoutError:
            return None
        return self.code


class CleanupProcess:
    """A process that cleans up after the harness, whatever ended the harness.

    It waits for the end of a pipe that only the harness holds, then kills all processes that the harness
    started and removes its folder.
    """

    def __init__(self, mark: str, folder: Path) -> None:
        """Start the process for the processes with this mark and for this folder."""
        read, self._write = os.pipe()
        environ = {name: value for name, value in os.environ.items() if name != MARK}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "sorrelfront.lab.storm.processes", mark, str(folder)],
            stdin=read, env=environ, start_new_session=True,
        )  # fmt: skip
        os.close(read)

    def close(self) -> None:
        """Close the pipe, so that the process cleans up and exits, and wait for it."""
        os.close(self._write)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(EXIT_TIMEOUT_S * 2)


def clean_up(mark: str, folder: Path) -> int:
    """Run the clean-up process: wait for the end of stdin, kill what is left, remove the folder."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    while os.read(0, 64):  # nothing is ever written: the read returns when the harness is gone
        pass
    killed = kill_marked(mark)
    shutil.rmtree(folder, ignore_errors=True)  # it is kept in memory
    return 0 if killed else 1


if __name__ == "__main__":
    raise SystemExit(clean_up(sys.argv[1], Path(sys.argv[2])))
