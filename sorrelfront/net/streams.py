"""The end of a stream of asyncio: closed, heard out, and bounded."""

from __future__ import annotations

import asyncio

END_WITHIN_S = 1.0  # seconds for the peer to take what is still unsent; then it is dropped


async def end_stream(writer: asyncio.StreamWriter, abort: bool = False) -> None:
    """Close it and hear how it ended, at once if `abort`, else in END_WITHIN_S seconds. Raises nothing of the
    connection's own; cancelled, it drops what is unsent.

    Risk: an end that nobody asks for is told as an error that nobody saw, if a reset came first. And a peer
    that takes nothing would keep the descriptor for as long as it likes.
    """
    if abort:
        writer.transport.abort()
    else:
        writer.close()
    try:
        async with asyncio.timeout(END_WITHIN_S):
            await writer.wait_closed()
    except OSError:
        pass  # its own, or the time is up
    finally:
        # Risk: a transport that has ended has no loop any more, and fails on `abort`.
        if writer.get_extra_info("socket").fileno() != -1:
            writer.transport.abort()
