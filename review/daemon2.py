"""The daemon in the cases 6 to 10: its file, its commands and its processes."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from common2 import PYTHON, CannotRun, Case, free_port, wait_ready

ENTRY = "import sys; from sorrelfront.cli.main import main; sys.argv[0] = 'sorrelfront'; main()"


class Host:
    """One host of a fleet: its folder, its file and the daemon that runs by it."""

    def __init__(self, case: Case, name: str, instances: int = 1) -> None:
        self.case, self.name, self.instances = case, name, instances
        self.folder = case.temporary / name
        self.folder.mkdir()
        self.path = self.folder / "sorrelfront.toml"
        self.listen = free_port()
        self.fleet = free_port(instances)

    def write(self, servers: list[tuple[str, str]], classes: str, fleet: str, join: list[int]) -> None:
        """Write the daemon's file."""
        listed = ", ".join(f'{{ id = "{name}", address = "{address}" }}' for name, address in servers)
        joined = ", ".join(f'"127.0.0.1:{port}"' for port in join)
        self.path.write_text(f"""
[daemon]
name = "{self.name}"
control = "c.sock"
instances = {self.instances}
state_dir = "state"
[listeners.http]
address = "127.0.0.1:{self.listen}"
protocol = "http1"
{classes}
[membership]
source = "fixed"
servers = [{listed}]
[fleet]
name = "addis"
listen = "127.0.0.1:{self.fleet}"
join = [{joined}]
policy_header = true
{fleet}
""")

    def arguments(self, *words: str) -> list[str]:
        """Return the command line of the project's command."""
        return [PYTHON, "-c", ENTRY, *words]

    async def serve(self, log: str, *more: str) -> asyncio.subprocess.Process:
        """Start a daemon by this file."""
        return await self.case.start(self.arguments("serve", str(self.path), *more), log)

    async def ready(self) -> None:
        """Wait until it serves."""
        await wait_ready(self.listen)

    async def command(self, *words: str, within_s: float = 30.0) -> tuple[int, str]:
        """Run a command and record its outcome."""
        code, text = await self.case.output_of(self.arguments(*words), within_s)
        said = " ".join(word for word in words if not word.startswith("/"))
        self.case.record(f"operator: {said}: exit {code}: {text[:300]}")
        return code, text

    async def policy(self, *words: str) -> tuple[int, str]:
        """Run a policy command."""
        return await self.command("policy", str(self.path), *words)

    async def status(self) -> dict[str, Any]:
        """Return what `ctl status --json` prints."""
        code, text = await self.case.output_of(self.arguments("ctl", str(self.path), "status", "--json"))
        if code:
            raise CannotRun(f"status: {text}")
        found: dict[str, Any] = json.loads(text)
        return found

    async def found(self) -> None:
        """Make the voters those of a new fleet, as soon as all answer."""
        for _ in range(40):
            if (await self.policy("found"))[0] == 0:
                return
            await asyncio.sleep(0.25)
        raise CannotRun("the fleet could not be founded")
