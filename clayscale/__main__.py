"""One agent: `python -m clayscale`, told by the environment what it is."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time

from clayscale.agent import Agent
from clayscale.config import BadConfig, Config, load
from clayscale.net.budget import BodyBudget, Descriptors
from clayscale.net.listener import Listener
from clayscale.net.upstream import Upstream

LOG_SPAN_S = 10.0
LOG_MOST = 20  # lines in a span. Risk: a log that grows with every failure, where files are memory


class Sparse(logging.Filter):
    """Passes so many lines in a span, and tells how many it left out."""

    def __init__(self) -> None:
        super().__init__()
        self._began = 0.0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        if now - self._began > LOG_SPAN_S:
            left_out = self._count - LOG_MOST
            if left_out > 0:
                record.msg = f"{record.msg} ({left_out} lines before it were left out)"
            self._began, self._count = now, 0
        self._count += 1
        return self._count <= LOG_MOST


async def serve(config: Config) -> None:
    """Run until SIGTERM, then finish what is owed."""
    descriptors = Descriptors(config.sockets)
    upstream = Upstream(descriptors.backends, config.idle_us, config.settings.connect_timeout_us)
    agent = Agent(config, upstream)
    going_away = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, going_away.set)
    try:
        listener = Listener(agent, config.listen, descriptors.clients, BodyBudget(config.memory_bytes))
    except OSError as fault:
        raise BadConfig(f"listen: {config.listen[0]}:{config.listen[1]}: {fault.strerror}") from None
    agent.start()
    await going_away.wait()
    await listener.close()
    agent.close()


def main() -> int:
    handler = logging.StreamHandler()
    handler.addFilter(Sparse())
    logging.basicConfig(format="%(asctime)s %(levelname)s %(name)s: %(message)s", handlers=[handler])
    # What is loaded by now stays; young garbage goes by reference counts, so cycles need little looking for.
    gc.freeze()
    gc.set_threshold(10_000, 20, 50)
    try:
        config = load(os.environ)
        asyncio.run(serve(config))
    except BadConfig as fault:
        print(f"clayscale: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
