"""`python -m sorrelfront.lab.zookeeper --listen HOST:PORT [--listen HOST:PORT ...]`: one ensemble.

It prints its addresses as one JSON line, then reads commands from standard input, one JSON object per line,
and exits at the end of the input:

    {"do": "stall"}  {"do": "go_on"}  {"do": "drop"}  {"do": "vanish"}  {"do": "come_back"}
    {"do": "quorum", "how": "lost" | "read-only" | "kept"}  {"do": "slow", "s": 0.1}  {"do": "late", "s": 0.1}
    {"do": "freeze"}  {"do": "thaw"}  {"do": "expire", "session": 17}  {"do": "expire_under", "path": "/p"}
    {"do": "restore_from_nothing"}  {"do": "asked"}

`"member": N` selects one member by index; without it a command goes to all. Each line is answered by one.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import click

from sorrelfront.lab.zookeeper.ensemble import Ensemble, Member
from sorrelfront.lists import MalformedList, parse_address


async def execute(ensemble: Ensemble, command: dict[str, Any]) -> dict[str, Any]:
    """Execute one command. Raises KeyError, ValueError, TypeError or IndexError if it is invalid."""
    members = ensemble.members if "member" not in command else [ensemble.members[int(command["member"])]]
    do = command["do"]
    if do == "asked":
        return {"asked": dict(ensemble.request_counts), "open": ensemble.open, "watches": ensemble.watches}
    if do == "expire":
        ensemble.expire(int(command["session"]))
    elif do == "expire_under":
        ensemble.expire_under(str(command["path"]))
    elif do == "restore_from_nothing":
        ensemble.restore_from_nothing()
    else:
        for member in members:
            await _inject_fault(member, do, command)
    return {"ok": True}


async def _inject_fault(member: Member, do: str, command: dict[str, Any]) -> None:
    match do:
        case "stall" | "go_on" | "drop" | "vanish" | "freeze" | "thaw" | "lose_watches":
            getattr(member, do)()
        case "come_back":
            await member.come_back()
        case "quorum" if command["how"] in ("lost", "read-only", "kept"):
            member.quorum = command["how"]
            member.drop()
        case "slow":
            member.delay_s = float(command["s"])
        case "late":
            member.watch_delay_s = float(command["s"])
        case _:
            raise ValueError(do)


async def serve(addresses: list[tuple[str, int]], seed: int) -> None:
    """Run an ensemble at these addresses until standard input ends."""
    ensemble = await Ensemble(len(addresses), seed).start(addresses)
    print(json.dumps({"hosts": ensemble.hosts}), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        try:
            answer = await execute(ensemble, json.loads(line))
        except (KeyError, ValueError, TypeError, IndexError, OSError) as fault:
            answer = {"ok": False, "fault": f"{type(fault).__name__}: {fault}"}
        print(json.dumps(answer), flush=True)
    await ensemble.stop()


@click.command()
@click.option("--listen", multiple=True, required=True, metavar="HOST:PORT", help="Port 0: any free one.")
@click.option("--seed", type=int, default=1, show_default=True)
def main(listen: tuple[str, ...], seed: int) -> None:
    """Present one ensemble at these addresses."""
    addresses = []
    for item in listen:
        host, _, port = item.rpartition(":")
        try:
            addresses.append((host, 0) if port == "0" else parse_address(item))
        except MalformedList as fault:
            raise click.BadParameter(str(fault)) from None
    asyncio.run(serve(addresses, seed))


if __name__ == "__main__":
    main()
