"""The program of one agent in the cases 6 to 10: its configuration and its processes."""

from __future__ import annotations

import asyncio
import json
import os
import time
import tomllib
from pathlib import Path
from typing import Any

from common2 import ROOT, CannotRun, Case, free_port, read_message


def grade(name: str, repeat: str, aim_s: float, deadline_s: float, window_s: float = 4.0) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "aimUs": int(aim_s * 1e6), "credit": 1.0, "dedupScope": "all", "giveUpUs": int(deadline_s * 1e6),
        "lateWorth": 0.0, "name": name, "repeat": repeat, "stream": False, "windowUs": int(window_s * 1e6),
    }  # fmt: skip


GRADES = [
    grade("stock-lookup", "pure", 1.0, 5.0), grade("price-update", "pure", 1.5, 6.0),
    grade("consignment-book", "token", 1.5, 6.0), grade("excise-stamp", "side_effect", 2.5, 6.0),
]  # fmt: skip


def configuration(discovery: str, members: list[dict[str, Any]], revision: int) -> dict[str, Any]:
    """Return the configuration of one agent of a small deployment."""
    return {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
        "known": {"revision": revision, "complete": True, "members": members},
        "settings": {
            "family": "mesh", "grades": GRADES, "instances": 3, "ordinal": 0, "periodUs": 5000,
            "registryMode": "subscribe", "failureDomains": ["a"], "zone": "a", "kinds": ["m"], "tenants": [],
            "valueBy": "request", "weightKind": "off", "loadReport": {"fields": [], "how": "off"},
            "limits": {
                "connIdleUs": 30_000_000, "connectTimeoutUs": 250_000, "cpuUsPerRequest": 0.0,
                "cpuUsPerS": 0, "maxRetryAfterUs": 2_000_000, "mayCancel": True, "mostHeld": 20_000,
                "mostTries": 4, "peers": False, "probes": False, "retryAfter": True, "secondCopies": False,
                "streamsPerConn": 1,
            },
            "rules": {
                "answerSlackUs": 20_000, "askWithinUs": 10_000_000, "coldFrom": 0.32, "coldUs": 9_000_000,
                "overloadFactor": 3.0, "stopSendingWithinUs": 500_000, "tipAfterUs": 1_500_000,
            },
        },
    }  # fmt: skip


class Agent:
    """One process of the agent, started by the `run` line of the deploy file."""

    def __init__(self, case: Case, config: Path, listen: int, folder: Path) -> None:
        self.case, self.config, self.listen, self.folder = case, config, listen, folder
        self.control = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self._log = ""

    async def start(self, log: str) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.folder.mkdir(exist_ok=True)
        self._log = log
        self.process = await self.case.start(
            ["/bin/sh", "-c", run], log,
            {"BALANCER_CONFIG": str(self.config), "BALANCER_LISTEN": f"127.0.0.1:{self.listen}",
             "BALANCER_CONTROL": f"127.0.0.1:{self.control}", "TMPDIR": str(self.folder)},
        )  # fmt: skip

    async def call(self, method: str, target: str) -> tuple[int, str]:
        """Call the operators' address; status 0 if nobody answers."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        except OSError:
            return 0, ""
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode())
            message = await asyncio.wait_for(read_message(reader), 3.0)
        except (OSError, TimeoutError):
            return 0, ""
        finally:
            writer.close()
        return (0, "") if message is None else (int(message[0].split(" ")[1]), message[2].decode())

    async def ready(self, within_s: float = 15.0) -> None:
        """Wait until /ready succeeds. Raises CannotRun."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            answered = (await self.call("GET", "/ready"))[0] == 200
            if self.process is not None and self.process.returncode is not None:
                # Whoever answers at its address is another program.
                end = (self.case.temporary / self._log).read_text()[-300:]
                raise CannotRun(f"the agent ended with {self.process.returncode}: {end}")
            if answered:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the agent did not become ready")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.case.record(f"signal {number} to process {self.process.pid}")
        os.kill(self.process.pid, number)


def write_configuration(path: Path, table: dict[str, Any]) -> None:
    """Replace the file of the configuration as a whole."""
    new = path.with_suffix(".new")
    new.write_text(json.dumps(table))
    new.replace(path)
