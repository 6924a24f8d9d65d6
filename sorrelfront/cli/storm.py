"""The commands `sorrelfront storm ...`: fault-injection runs with several daemons.

The verdict comes from records that are kept outside the daemons under test.
"""

from __future__ import annotations

import importlib.util
import json
from pathlib import Path
from typing import Any

import click

from sorrelfront.daemon.configuration import BadDocument

FOLDER = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
SEED = click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
KEEP = click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="Keep history and verdict in this folder.",
)


@click.group()
def storm() -> None:
    """Run several processes of the program under injected faults.

    Exit codes: 0 all rules hold, 1 a rule is broken, 3 the run is void.
    """
    if importlib.util.find_spec("numpy") is None:
        raise click.ClickException("storms need numpy, which comes with the extra `lab`")


def _read_scenario(file: str) -> Any:
    from sorrelfront.lab.storm import run, scenario

    try:
        return scenario.read(run.find(file))
    except BadDocument as bad:
        for line in bad.lines():
            click.echo(line, err=True)
        raise SystemExit(2) from None


@storm.command("run")
@click.argument("file")
@SEED
@KEEP
@JSON
def run_one(file: str, seed: int, keep: Path | None, as_json: bool) -> None:
    """Run FILE, or the storm of that name, with one seed."""
    _run_scenario(_read_scenario(file), seed, keep, as_json)


def _run_scenario(scenario: Any, seed: int, keep: Path | None, as_json: bool) -> None:
    from sorrelfront.lab.storm import harness, run

    print_line = (lambda _: None) if as_json else (lambda line: click.echo(line, err=True))
    try:
        verdict = run.play(scenario, seed, keep, print_line)
    except harness.StormSetupError as fault:
        click.echo(f"void: {fault.message_with_remedy()}", err=True)
        raise SystemExit(run.VOID) from None
    except run.Interrupted as fault:
        click.echo(f"ended by {fault}; nothing is left running", err=True)
        raise SystemExit(1) from None
    if as_json:
        click.echo(json.dumps(verdict))
    else:
        _print_verdict(verdict)
        if verdict["result"] != "held":
            click.echo(f"again: {run.rerun_command(scenario.path, seed)}")
    raise SystemExit({"held": run.HELD, "broken": run.BROKEN, "void": run.VOID}[verdict["result"]])


def _print_verdict(verdict: dict[str, Any]) -> None:
    for name, row in verdict["rules"].items():
        first = f"  {row['first'][0]['t']:.3f} s: {row['first'][0]['what']}" if row["first"] else ""
        click.echo(f"{name:>12}  {row['breaches'] or 'kept'}{first}")
    for name, value in verdict["figures"].items():
        click.echo(f"{name:>16}  {value}")
    rig = verdict["rig"]
    if rig:
        click.echo(
            f"the rig: relays {rig['relay_p50_us']} us (99th {rig['relay_p99_us']}), "
            f"late by {rig['lag_p99_ms']} ms (99th), {rig['lag_max_ms']} at most"
        )
    for reason in verdict["void"]:
        click.echo(f"void: {reason}")
    click.echo(f"{verdict['storm']}, seed {verdict['seed']}: {verdict['result']}")


@storm.command("list")
def list_all() -> None:
    """List the storms that come with the program."""
    from sorrelfront.lab.storm import run, scenario

    for path in run.list_scenarios():
        loaded = scenario.read(path)
        click.echo(f"{path.stem:>22}  {loaded.storm['about']}")


@storm.command()
@click.argument("file")
@click.option("--seeds", required=True, metavar="A..B", help="The first and the last seed.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, show_default=True, help="Storms in parallel.")
@KEEP
@JSON
def soak(file: str, seeds: str, jobs: int, keep: Path | None, as_json: bool) -> None:
    """Run FILE once for each seed. With --keep, only storms that did not hold are kept."""
    from sorrelfront.lab.storm import run

    scenario = _read_scenario(file)
    first, separator, last = seeds.partition("..")
    if not separator or not first.isdigit() or not last.isdigit() or int(first) > int(last):
        raise click.UsageError("--seeds takes a range such as 1..200")
    counts = {"held": 0, "broken": 0, "void": 0}
    failed: list[dict[str, Any]] = []
    for verdict in run.soak(scenario, range(int(first), int(last) + 1), jobs, keep):
        counts[verdict["result"]] += 1
        if verdict["result"] != "held":
            failed.append(verdict)
            if not as_json:
                rules = [name for name, row in verdict["rules"].items() if row["breaches"]]
                reason = "; ".join(verdict["void"]) or ", ".join(rules)
                click.echo(f"seed {verdict['seed']}: {verdict['result']}: {reason}")
                click.echo(f"  again: {run.rerun_command(scenario.path, verdict['seed'])}")
    if as_json:
        click.echo(json.dumps({**counts, "failed": failed}))
    else:
        click.echo(f"{counts['held']} held, {counts['broken']} broken, {counts['void']} void")
    raise SystemExit(run.BROKEN if counts["broken"] else run.VOID if counts["void"] else run.HELD)


@storm.command()
@FOLDER
@JSON
def replay(folder: Path, as_json: bool) -> None:
    """Run a kept storm again, with the same file and seed and so the same faults."""
    from sorrelfront.lab.storm import run

    try:
        scenario, seed = run.load_kept(folder)
    except (OSError, ValueError, BadDocument) as fault:
        raise click.ClickException(str(fault)) from None
    _run_scenario(scenario, seed, None, as_json)


@storm.command()
@FOLDER
def report(folder: Path) -> None:
    """Write report.html for a kept storm, with its timeline. Needs matplotlib (the extra `lab`)."""
    try:
        from sorrelfront.lab.storm import report as report_page

        click.echo(report_page.write(folder))
    except ImportError as fault:
        raise click.ClickException(f"{fault}; it comes with the extra `lab`") from None
    except (OSError, ValueError) as fault:
        raise click.ClickException(str(fault)) from None
