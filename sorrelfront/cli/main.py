"""The commands `sorrelfront serve | check | ctl | policy | demo | storm`.

Exit codes: 0 done, 1 not done or faults found, 2 wrong use.
"""

from __future__ import annotations

import asyncio
import json
import time
from datetime import datetime
from pathlib import Path
from typing import Any

import click

from sorrelfront.cli.policy import policy
from sorrelfront.cli.storm import storm
from sorrelfront.daemon import control
from sorrelfront.daemon.configuration import BadDocument, Document, read

FILE = click.argument("file", type=click.Path(path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
STATUS_COLUMNS = {  # figures by heading; the table fits 80 columns with six-digit counts
    "asked": "offered", "served": "served", "refused": "refused", "failed": "failed", "held": "held",
    "conns": "connections", "servers": "ready_servers",
}  # fmt: skip
FOLLOW_INTERVAL_S = 0.5  # between two requests of `ctl members --follow`
PIPE_WIDTH = 1_000  # columns; output that does not go to a terminal is not cut off


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="sorrelfront")
def main() -> None:
    """A client-side load balancer, run as a fleet of instances."""


main.add_command(storm)
main.add_command(policy)


@main.command()
@FILE
@click.option("--replace", is_flag=True, help="Replace FILE's running daemon, without interruption.")
@click.option(
    "--last-good",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="If FILE is faulty, start with the last good file, as saved in the state folder DIR.",
)
def serve(file: Path, replace: bool, last_good: Path | None) -> None:
    """Run the daemon that FILE describes, in the foreground.

    SIGHUP reloads FILE, SIGTERM drains and ends, a second SIGINT ends at once.
    """
    from sorrelfront.daemon import supervisor

    raise SystemExit(supervisor.serve(file, lambda line: click.echo(line, err=True), replace, last_good))


@main.command()
@FILE
@JSON
def check(file: Path, as_json: bool) -> None:
    """Check FILE: exit code 0, or one line for each fault and exit code 1."""
    faults: list[dict[str, str]] = []
    lines: list[str] = []
    try:
        read(file)
    except BadDocument as bad:
        faults = [{"table": item.table, "key": item.key, "fault": item.message} for item in bad.faults]
        lines = bad.lines()
    if as_json:
        click.echo(json.dumps({"ok": not faults, "file": str(file), "faults": faults}))
    else:
        for line in lines:
            click.echo(line, err=True)
    raise SystemExit(1 if faults else 0)


@main.group()
@FILE
@click.pass_context
def ctl(context: click.Context, file: Path) -> None:
    """Control the running daemon of FILE."""
    try:
        context.obj = read(file)
    except BadDocument as bad:
        raise click.ClickException("\n".join(bad.lines())) from None


def _request(document: Document, message: dict[str, Any]) -> dict[str, Any]:
    try:
        return asyncio.run(control.send_request(document.control, message))
    except control.DaemonNotRunning:
        text = f"no daemon runs by this file: {document.path} (nobody answers at {document.control})"
        sockets = len([*document.run_folder.glob("*-*.sock")])
        if sockets:
            text += f"\nup to {sockets} instances may serve without one; `sorrelfront serve` adopts them"
        raise click.ClickException(text) from None
    except control.DaemonUnavailable as fault:
        raise click.ClickException(f"the daemon does not answer: {fault.message_with_remedy()}") from None


def _print_result(answer: dict[str, Any], as_json: bool, success: str) -> None:
    """Print the result of an operation, and exit. `success` is a format string for the answer's values."""
    if as_json:
        click.echo(json.dumps(answer))
    elif answer.get("ok"):
        click.echo(success.format(**answer))
    else:
        for fault in answer.get("faults", ["the daemon's answer is not known here"]):
            click.echo(fault, err=True)
    raise SystemExit(0 if answer.get("ok") else 1)


@ctl.command()
@JSON
@click.pass_obj
def status(document: Document, as_json: bool) -> None:
    """Show the instances with their state and figures."""
    answer = _request(document, {"op": "status"})
    if as_json or not answer.get("ok"):
        _print_result(answer, as_json, "")
    from rich.console import Console
    from rich.table import Table

    console = Console()
    table = Table(box=None, pad_edge=False)
    for name in ("name", "phase", "run", "pid", *STATUS_COLUMNS):
        table.add_column(name, no_wrap=True, justify="left" if name in ("name", "phase") else "right")
    for item in answer["instances"]:
        phase = "looping" if item["crash_loop"] else item["phase"]
        pid = "-" if item["pid"] is None else str(item["pid"])
        counts = [_format_count(item.get(name), console.is_terminal) for name in STATUS_COLUMNS.values()]
        table.add_row(item["name"], phase, str(item["run"]), pid, *counts)
    if not console.is_terminal:
        console = Console(width=PIPE_WIDTH)
    ready = sum(item["phase"] == "ready" for item in answer["instances"])
    in_progress = [word for word in ("stopping", "reloading", "replacing") if answer[word]]
    console.print(
        f"{answer['name']}, pid {answer['pid']}, up {answer['up_s']:.0f} s, file {answer['generation']}, "
        f"{ready} of {len(answer['instances'])} ready" + "".join(f", {word}" for word in in_progress),
        highlight=False,
    )
    if answer["adopted"]:
        console.print(f"{answer['adopted']} instances adopted at the start", highlight=False)
    state = answer["state"]
    if state is not None:
        text = f"written {state['written']} times" if not state["fault"] else f"not written: {state['fault']}"
        console.print(f"state in {state['folder']}: {text}", highlight=False, soft_wrap=True)
    console.print(table)


def _format_count(value: Any, short: bool) -> str:
    """Format a count, or "-" for None. With `short`, more than six digits end in k, M or G."""
    if not isinstance(value, int) or not short or value < 1_000_000:
        return "-" if value is None else str(value)
    for unit in ("k", "M", "G"):
        value /= 1_000
        if value < 10_000:
            return f"{value:.0f}{unit}"
    return f"{value:.0f}G"


@ctl.command()
@JSON
@click.pass_obj
def reload(document: Document, as_json: bool) -> None:
    """Apply the current file to all instances, or to none."""
    _print_result(_request(document, {"op": "reload"}), as_json, "{instances} instances go by the new file")


@ctl.command()
@JSON
@click.option("--instance", metavar="NAME", help="Show the view of this instance; without it, of any one.")
@click.option("--follow", is_flag=True, help="Keep running and print each change, until interrupted.")
@click.pass_obj
def members(document: Document, as_json: bool, instance: str | None, follow: bool) -> None:
    """Show the members of the fleet, as this daemon's instances see them."""
    message = {"op": "members", "instance": instance}
    answer = _request(document, message)
    if not answer.get("ok"):
        _print_result(answer, as_json, "")
    if follow:
        _follow(document, message, answer, as_json)
    if as_json:
        click.echo(json.dumps({key: answer[key] for key in ("fleet", "self", "agreeing", "members")}))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console()
    if not console.is_terminal:
        console = Console(width=PIPE_WIDTH)
    rows = answer["members"]
    living = sum(row["state"] in ("alive", "suspect") for row in rows)
    console.print(
        f"fleet {answer['fleet']}, seen by {answer['self']}: {living} living, "
        f"{answer['agreeing']} of them see the same",
        highlight=False,
    )
    table = Table(box=None, pad_edge=False)
    for name in ("name", "host", "address", "state", "inc", "for", "version", "agrees"):
        table.add_column(name, no_wrap=True)
    for row in rows:
        since, agrees = f"{row['for_s']:.0f} s", "yes" if row["agrees"] else "no"
        cells = (row["name"], row["host"], row["address"], row["state"], str(row["incarnation"]))
        table.add_row(*cells, since, row["version"], agrees)
    console.print(table)


def _follow(document: Document, message: dict[str, Any], answer: dict[str, Any], as_json: bool) -> None:
    """Print new events until interrupted.

    Each instance numbers its events itself, so another instance's answer starts from its own latest number.
    """
    last_number, responder = _latest_event_number(answer), answer["self"]
    while True:
        time.sleep(FOLLOW_INTERVAL_S)
        answer = _request(document, {**message, "after": last_number})
        if not answer.get("ok"):
            _print_result(answer, as_json, "")
        if answer["self"] != responder:
            last_number, responder = _latest_event_number(answer), answer["self"]
            continue
        for event in answer["events"]:
            last_number = event["number"]
            if as_json:
                click.echo(json.dumps(event))
            else:
                when = datetime.fromtimestamp(event["at"]).strftime("%H:%M:%S.%f")[:-3]
                found_by = f", found by {event['by']}" if event["by"] else ""
                click.echo(f"{when}  {event['name']}  {event['what']}{found_by}")


def _latest_event_number(answer: dict[str, Any]) -> int:
    return max((event["number"] for event in answer["events"]), default=0)


@ctl.command()
@click.argument("instance")
@JSON
@click.pass_obj
def drain(document: Document, instance: str, as_json: bool) -> None:
    """Take INSTANCE out of service: it finishes its requests and ends."""
    _print_result(_request(document, {"op": "drain", "instance": instance}), as_json, f"{instance} drains")


@ctl.command()
@JSON
@click.pass_obj
def stop(document: Document, as_json: bool) -> None:
    """Drain all instances and end the daemon."""
    _print_result(_request(document, {"op": "stop"}), as_json, "stopping")


@main.command()
@click.option("--seconds", type=click.FloatRange(1.0, 3_600.0), default=20.0, show_default=True)
@click.option("--instances", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option(
    "--membership",
    type=click.Choice(["registry", "zookeeper"]),
    default="registry",
    show_default=True,
    help="Source of the list of servers; with zookeeper, faults are injected into that service too.",
)
@JSON
def demo(seconds: float, instances: int, seed: int, membership: str, as_json: bool) -> None:
    """Run a daemon against simulated servers with faults; exit code 1 if a rule was broken."""
    from sorrelfront.lab import demo as demo_run

    try:
        figures = demo_run.run_demo(seconds, instances, seed, as_json, membership)
    except demo_run.CannotRun as fault:
        raise click.ClickException(str(fault)) from None
    broken = demo_run.broken_rules(figures)
    if as_json:
        click.echo(json.dumps(figures))
    else:
        click.echo()
        for name in ("offered", "served", "refused", "failed", "lost", "doubled", "late_drains",
                     "cold_overruns", "p50_ms", "p99_ms", "longest_gap_ms"):  # fmt: skip
            click.echo(f"{name:>15}  {figures[name]}")
        click.echo(f"rules broken: {', '.join(broken)}" if broken else "all four rules were kept")
    raise SystemExit(1 if broken or figures["daemon_exit"] else 0)


if __name__ == "__main__":
    main()
