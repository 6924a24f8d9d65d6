"""Signal handlers that stay in place until the process ends."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable
from types import FrameType


def ignore_until_exit(*numbers: signal.Signals) -> None:
    """Ignore these signals until the process ends; called right before a program exits.

    At exit the interpreter restores the default action of handled signals, but leaves ignored ones ignored.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


def on_signal(number: signal.Signals, callback: Callable[[], None]) -> None:
    """Call `callback` in the running event loop whenever this signal arrives.

    The loop's own signal handlers are removed with the loop, which restores the default action. A second
    SIGTERM during the last steps would then kill the process and look like a crash.
    """
    loop = asyncio.get_running_loop()

    def handle(_: int, frame: FrameType | None) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed, and the program is ending
            loop.call_soon_threadsafe(callback)

    signal.signal(number, handle)
