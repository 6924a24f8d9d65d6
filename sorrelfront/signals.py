"""Signals that stay harmless from the first line of a program to its last."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable
from types import FrameType


def ignore_from_here(*numbers: signal.Signals) -> None:
    """For a program's last lines: the interpreter puts the default back for a handler, but leaves what is
    ignored."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


def on_signal(number: signal.Signals, callback: Callable[[], None]) -> None:
    """Have the running loop call this for each such signal. Risk: the loop's own handlers go with the loop
    and leave the default behind, so a second SIGTERM during the last steps kills, and it looks like a crash.
    """
    loop = asyncio.get_running_loop()

    def handle(_: int, frame: FrameType | None) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has closed: nothing is left to be done
            loop.call_soon_threadsafe(callback)

    signal.signal(number, handle)
