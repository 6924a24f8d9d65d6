"""`sorrelfront policy FILE show | check | propose | status | history | abandon | found`."""

from __future__ import annotations

import asyncio
import getpass
import json
import secrets
import time
from datetime import datetime
from pathlib import Path
from typing import Any

import click
import tomli_w

from sorrelfront.daemon import control, policies
from sorrelfront.daemon.configuration import BadDocument, Document, read
from sorrelfront.errors import SorrelfrontError

FILE = click.argument("file", type=click.Path(path_type=Path))
POLICY = click.argument("policy", type=click.Path(path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
WAIT = click.option(
    "--wait", type=click.FloatRange(0.1, 3_600), default=60.0, show_default=True, metavar="SECONDS",
    help="For the change to come to its end.",
)  # fmt: skip
POLL_S = 0.1  # between two queries of a change's progress


@click.group()
@FILE
@click.pass_context
def policy(context: click.Context, file: Path) -> None:
    """One policy for the whole fleet, decided by its voters. FILE is the daemon's."""
    try:
        context.obj = read(file)
    except BadDocument as bad:
        raise click.ClickException("\n".join(bad.lines())) from None


class DaemonUnreachable(SorrelfrontError):
    """No daemon, or none of its instances, answers."""

    remedy = "Call it at another member of the fleet, or start the daemon of this FILE."


def _request(daemon: Document, **command: Any) -> dict[str, Any]:
    """Send a policy command to the daemon; raises DaemonUnreachable without a valid answer."""
    try:
        answer = asyncio.run(control.send_request(daemon.control, {"op": "policy", **command}))
    except control.DaemonUnavailable as fault:
        raise DaemonUnreachable(f"the daemon does not answer: {fault}") from None
    if not answer.get("ok"):
        raise DaemonUnreachable("\n".join(map(str, answer.get("faults", ["the answer is not known here"]))))
    return answer


def _query(document: Document, history: bool = False) -> dict[str, Any]:
    try:
        return _request(document, what="look", history=history)
    except DaemonUnreachable as fault:
        raise click.ClickException(fault.message_with_remedy()) from None


def _latest(answer: dict[str, Any]) -> dict[str, Any] | None:
    """The state of the most advanced voter that answered; None without one."""
    known = [item for item in answer["shown"] if item["slot"] >= 0]
    return max(known, key=lambda item: int(item["slot"]), default=None)


def _has_quorum(answer: dict[str, Any]) -> bool:
    return len([item for item in answer["shown"] if item["slot"] >= 0]) > len(answer["voters"]) // 2


def _policy_in_force(answer: dict[str, Any]) -> tuple[policies.Policy, policies.Envelope] | None:
    """The newest policy in the history; void slots are skipped."""
    for item in reversed(answer["history"]):
        if not item["void"]:
            return policies.decode_envelope(item["document"].encode())
    return None


def _read(path: Path) -> policies.Policy:
    try:
        return policies.read(path)
    except BadDocument as bad:
        for line in bad.lines():
            click.echo(line, err=True)
        raise SystemExit(1) from None


def _summary(answer: dict[str, Any]) -> dict[str, Any]:
    """Combine the voters' answers: the state of the latest change, and each member's version and lease."""
    latest = _latest(answer)
    members: dict[str, dict[str, Any]] = {}
    for item in answer["shown"]:
        for name, version, left in item["leases"]:
            before = members.get(name)
            if before is None or version > before["version"]:
                members[name] = {"name": name, "version": version, "lease_left_s": round(left / 1e6, 3)}
    silent = sorted(set(answer["voters"]) - {item["voter"] for item in answer["shown"]})
    voters = {"voters": answer["voters"], "silent": silent}
    rows = [members[name] for name in sorted(members)]
    if latest is None:
        why = "this is no fleet yet: `policy FILE found`" if answer["shown"] else "no voter answers"
        return {**voters, "version": 0, "digest": "", "change": "", "state": "not in force", "quorum": False,
                "why": why, "members": rows}  # fmt: skip
    older = [row["name"] for row in rows if row["version"] < latest["slot"]]
    voted = [item["under_way"] for item in answer["shown"] if item["slot"] == latest["slot"]]
    under_way = next(filter(None, voted), "")
    state, why = "in force", ""
    if under_way:
        state, why = "under way", f"{under_way} is being voted on as version {latest['slot'] + 1}"
    elif older:
        state, why = "under way", f"older leases are out: {', '.join(older)}"
    elif not latest["slot"]:
        state, why = "not in force", "no policy was decided on yet: each host goes by its own file"
    if not _has_quorum(answer):
        why = "; ".join(filter(None, [why, "too few voters answer: leases end, and nothing can be changed"]))
    return {**voters, "version": latest["slot"], "digest": latest["digest"], "change": latest["change"],
            "state": state, "quorum": _has_quorum(answer), "why": why, "members": rows}  # fmt: skip


@policy.command()
@JSON
@click.pass_obj
def status(document: Document, as_json: bool) -> None:
    """Say what is in force, and by which version each member serves."""
    answer = _summary(_query(document))
    if as_json:
        click.echo(json.dumps(answer))
        return
    click.echo(f"version {answer['version']} ({answer['digest'] or 'no policy'}): {answer['state']}")
    if answer["why"]:
        click.echo(answer["why"])
    if answer["silent"]:
        click.echo(f"voters that do not answer: {', '.join(answer['silent'])}")
    for row in answer["members"]:
        click.echo(f"  {row['name']}  version {row['version']}, lease for {row['lease_left_s']:.1f} s")


@policy.command()
@JSON
@click.pass_obj
def show(document: Document, as_json: bool) -> None:
    """Print the policy in force; before the first, what FILE says."""
    answer = _query(document, history=True)
    latest, found = _latest(answer), _policy_in_force(answer)
    made = found[0] if found is not None else policies.from_document(document)
    if as_json:
        version = latest["slot"] if latest else 0
        click.echo(json.dumps({"version": version, "digest": made.digest, "policy": made.table()}))
        return
    click.echo(tomli_w.dumps(made.table()), nl=False)


@policy.command()
@POLICY
@JSON
@click.pass_obj
def check(document: Document, policy: Path, as_json: bool) -> None:
    """Check POLICY, and say what it would change."""
    made = _read(policy)
    try:
        found = _policy_in_force(_request(document, what="look", history=True))
        base = "the policy in force" if found is not None else "the file"
    except DaemonUnreachable:
        found, base = None, "the file (no daemon answers)"
    old = found[0] if found is not None else policies.from_document(document)
    lines = policies.differences(old, made)
    if as_json:
        click.echo(json.dumps({"ok": True, "digest": made.digest, "against": base, "differences": lines}))
        return
    click.echo(f"{policy} is good: {made.digest}; against {base}:")
    for line in lines or ["nothing changes"]:
        click.echo(f"  {line}")


@policy.command()
@POLICY
@click.option(
    "--id", "change", metavar="TEXT", help="The change's own name: said again, it is the same change."
)
@WAIT
@JSON
@click.pass_obj
def propose(document: Document, policy: Path, change: str | None, wait: float, as_json: bool) -> None:
    """Have the fleet go by POLICY, everywhere or nowhere.

    Exit code 0 in force, 1 not in force, 3 under way.
    """
    made = _read(policy)
    answer = _query(document, history=True)
    latest = _latest(answer)
    if latest is None:
        raise click.ClickException(_summary(answer)["why"])
    for item in answer["history"]:
        if change is not None and item["change"] == change:
            later = [other for other in answer["history"] if other["version"] > item["version"]]
            last = all(other["void"] for other in later)
            why = "it was decided on before" if last else "it was, and another has come after it"
            _report_and_exit(
                as_json, change, "in force" if last else "not in force", int(item["version"]), why, {}
            )
    found = _policy_in_force(answer)
    if change is None and found is not None and found[0].digest == made.digest:
        _report_and_exit(
            as_json, str(latest["change"]), "in force", int(latest["slot"]), "it is the policy there is", {}
        )
    name = change or f"{made.digest}-{latest['slot'] + 1}"
    encoded = policies.encode_envelope(made, getpass.getuser(), time.time(), str(policy))
    _propose_and_wait(document, name, encoded.decode(), False, int(latest["slot"]), wait, as_json)


@policy.command()
@WAIT
@JSON
@click.pass_obj
def abandon(document: Document, wait: float, as_json: bool) -> None:
    """Give up the change that is under way, for good; or learn that it was chosen."""
    latest = _latest(_query(document))
    if latest is None:
        raise click.ClickException("no voter answers, or this is no fleet yet")
    name = f"given-up-{latest['slot'] + 1}-{secrets.token_hex(4)}"
    _propose_and_wait(document, name, "", True, int(latest["slot"]), wait, as_json)


def _propose_and_wait(
    document: Document, change: str, encoded: str, void: bool, base_version: int, wait: float, as_json: bool
) -> None:
    """Propose the change at one instance, poll that instance until the change ends, and exit."""
    until = time.monotonic() + wait
    try:
        answer = _request(
            document, what="propose", change=change, document=encoded, void=void, onto=base_version
        )
        proposer = answer["instance"]
        if not answer["begun"]:
            other = answer["outcome"]["change"]
            why = f"another change, {other}, is under way at {answer['self']}"
            _report_and_exit(as_json, change, "not in force", 0, why, {})
        while answer["outcome"] is not None and answer["outcome"]["stage"] != "done":
            if time.monotonic() > until:
                waits = ", ".join(answer["outcome"]["waits"])
                _report_and_exit(
                    as_json, change, "under way", 0, f"waiting for {waits or 'the voters'}", answer["outcome"]
                )
            time.sleep(POLL_S)
            answer = _request(document, what="outcome", instance=proposer)
    except DaemonUnreachable as fault:
        # The proposer may have died; what it had proposed may still be chosen.
        _report_and_exit(
            as_json, change, "under way", 0, f"{fault}; run it again, or `policy FILE status`", {}
        )
    outcome = answer["outcome"]
    if outcome is None or outcome["change"] != change:
        _report_and_exit(
            as_json, change, "under way", 0, "whoever proposed it has started again; run it again", {}
        )
    state = outcome["state"]
    if void and state == "in force":
        _report_and_exit(
            as_json, change, "not in force", outcome["version"], "what was under way is given up", outcome, 0
        )
    _report_and_exit(as_json, change, state, outcome["version"], outcome["why"], outcome)


def _report_and_exit(
    as_json: bool,
    change: str,
    state: str,
    version: int,
    why: str,
    outcome: dict[str, Any],
    code: int | None = None,
) -> None:
    """Print the outcome of a change, and exit with the code of its state unless one is given."""
    answers = outcome.get("answers", {})
    if as_json:
        waits = outcome.get("waits", ())
        click.echo(json.dumps({"change": change, "state": state, "version": version, "why": why,
                               "waits": [*waits], "answers": answers}))  # fmt: skip
    else:
        place = f", version {version}" if version else ""
        click.echo(f"{change}: {state}{place}" + (f" ({why})" if why else ""))
        if answers:
            click.echo(f"{sum(not fault for fault in answers.values())} of {len(answers)} members said yes")
    raise SystemExit({"in force": 0, "not in force": 1, "under way": 3}[state] if code is None else code)


@policy.command()
@JSON
@click.pass_obj
def history(document: Document, as_json: bool) -> None:
    """Print what was decided: when, by whom, and what it changed."""
    before = policies.from_document(document)
    rows = []
    for item in _query(document, history=True)["history"]:
        version = item["version"]
        row: dict[str, Any] = {"version": version, "change": item["change"], "void": item["void"]}
        if not item["void"]:
            made, envelope = policies.decode_envelope(item["document"].encode())
            row |= {"digest": made.digest, "who": envelope.who, "at": envelope.at, "file": envelope.file}
            row["differences"] = policies.differences(before, made)
            before = made
        rows.append(row)
    if as_json:
        click.echo(json.dumps({"history": rows}))
        return
    for row in rows:
        if row["void"]:
            click.echo(f"{row['version']}  {row['change']}: nothing changed")
            continue
        when = datetime.fromtimestamp(row["at"]).strftime("%Y-%m-%d %H:%M:%S")
        click.echo(f"{row['version']}  {row['change']}, {when} by {row['who']} from {row['file']}")
        for line in row["differences"]:
            click.echo(f"     {line}")


@policy.command()
@click.option(
    "--force",
    type=click.Path(path_type=Path),
    metavar="POLICY",
    help="Too many voters are gone for good: go on by this policy, whatever was voted. History shows it.",
)
@JSON
@click.pass_obj
def found(document: Document, force: Path | None, as_json: bool) -> None:
    """Make the voters those of a new fleet. Once, when all of them run."""
    command: dict[str, Any] = {"what": "found"}
    if force is not None:
        encoded = policies.encode_envelope(_read(force), getpass.getuser(), time.time(), str(force))
        command |= {"document": encoded.decode(), "change": f"forced-{secrets.token_hex(4)}"}
    try:
        answer = _request(document, **command)
    except DaemonUnreachable as fault:
        raise click.ClickException(fault.message_with_remedy()) from None
    initialized = sorted(item["voter"] for item in answer["shown"] if item["slot"] >= 0)
    ok = not answer["fault"] and len(initialized) > len(answer["voters"]) // 2
    if as_json:
        click.echo(json.dumps({"ok": ok, "voters": initialized, "fault": answer["fault"]}))
    else:
        click.echo(answer["fault"] or f"voters of this fleet: {', '.join(initialized)}")
    raise SystemExit(0 if ok else 1)
