"""Closing of asyncio streams, within a bounded time."""

from __future__ import annotations

import asyncio

CLOSE_TIMEOUT_S = 1.0  # for the peer to read what is still unsent; then it is dropped


async def close_stream(writer: asyncio.StreamWriter, abort: bool = False) -> None:
    """Close the stream and wait until it is closed: at once if `abort`, else within CLOSE_TIMEOUT_S seconds.

    Raises no error of the connection. If cancelled, it drops what is unsent.

    If nobody awaited the close after a reset, asyncio would log an exception that was never retrieved. And a
    peer that reads nothing could keep the descriptor open without limit.
    """
    if abort:
        writer.transport.abort()
    else:
        writer.close()
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await writer.wait_closed()
    except OSError:
        pass  # of the connection, or the timeout
    finally:
        # A transport that is closed has no event loop any more, and `abort` would fail on it.
        if writer.get_extra_info("socket").fileno() != -1:
            writer.transport.abort()
