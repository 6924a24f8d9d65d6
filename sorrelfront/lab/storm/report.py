"""The HTML report of a storm: one self-contained page.

It has a timeline in SVG, the verdicts, and the log around each breach.
"""

from __future__ import annotations

import html
import io
from collections import defaultdict
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from sorrelfront.lab.storm.history import HISTORY, Event, read
from sorrelfront.lab.storm.run import SCENARIO_FILE, VERDICT, rerun_command

LINES_AROUND = 6  # of the log, before and after a breach
BREACHES_SHOWN = 10
STEP_S = 0.2
COLOURS = {"up": "#cfe3f5", "ready": "#4c8c4a", "partly": "#b9d7a0", "frozen": "#5b7db1", "down": "#d9d9d9"}
STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.2em .8em .2em 0;text-align:left}
.held{color:#2c6b2a}.broken{color:#a61b1b}.void{color:#8a6100}pre{background:#f5f5f3;padding:.7em;
overflow-x:auto;font-size:12px}h1{font-size:1.4em}h2{font-size:1.1em;margin-top:1.6em}
svg{max-width:100%;height:auto}
"""


def write(folder: Path) -> Path:
    """Write `report.html` into the folder of a kept storm and return its path.

    Raises OSError, and ValueError if the history or the verdict cannot be read.
    """
    events = read(folder / HISTORY)
    verdict = msgspec.json.decode((folder / VERDICT).read_bytes())
    path = folder / "report.html"
    path.write_text(page(events, verdict, folder))
    return path


def page(events: list[Event], verdict: dict[str, Any], folder: Path) -> str:
    """Return the HTML of the whole page."""
    result = verdict["result"]
    rules = "".join(
        f"<tr><td>{html.escape(name)}</td><td class={'broken' if row['breaches'] else 'held'}>"
        f"{row['breaches'] or 'kept'}</td>"
        f"<td>{html.escape(row['first'][0]['what']) if row['first'] else ''}</td></tr>"
        for name, row in verdict["rules"].items()
    )
    figures = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{html.escape(str(value))}</td></tr>"
        for name, value in {**verdict["figures"], **verdict["rig"]}.items()
    )
    plan = "".join(
        f"<tr><td>{event['t']:.2f} s</td><td>{html.escape(event['words'])}</td></tr>"
        for event in events
        if event["kind"] == "fault" and event["phase"] == "begin"
    )
    void = "".join(f"<p class=void>{html.escape(why)}</p>" for why in verdict["void"])
    return f"""<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(verdict["storm"])}</title>
<style>{STYLE}</style>
<h1>Storm {html.escape(verdict["storm"])}, seed {verdict["seed"]}: <span class={result}>{result}</span></h1>
{void}{timeline(events)}
<h2>Rules</h2><table><tr><th>rule</th><th>breaches</th><th>first</th></tr>{rules}</table>
{_breaches(events, verdict)}
<h2>Faults</h2><table>{plan}</table>
<h2>Figures</h2><table>{figures}</table>
<h2>Once more</h2><pre>{html.escape(rerun_command(folder / SCENARIO_FILE, verdict["seed"]))}</pre></html>
"""


def _breaches(events: list[Event], verdict: dict[str, Any]) -> str:
    """Return the HTML of the first breaches, each with the log around it."""
    log_events = [event for event in events if event["kind"] in ("said", "fault")]
    times = [event["t"] for event in log_events]
    parts = []
    found = [item for row in verdict["rules"].values() for item in row["first"]]
    for item in sorted(found, key=lambda one: float(one["t"]))[:BREACHES_SHOWN]:
        at = int(np.searchsorted(times, item["t"]))
        lines = "\n".join(
            f"{event['t']:8.3f}  {event.get('host', '--')}  {event.get('line') or event.get('words', 'over')}"
            for event in log_events[max(0, at - LINES_AROUND) : at + LINES_AROUND]
        )
        parts.append(
            f"<h2 class=broken>{item['rule']} at {item['t']:.3f} s: {html.escape(item['what'])}</h2>"
            f"<pre>{html.escape(lines)}</pre>"
        )
    return "".join(parts)


PHASES = {"ready": "ready", "starting": "up", "stopping": "partly", "draining": "partly"}


def bars(events: list[Event], host: str, end: float, instance: str = "") -> list[tuple[float, float, str]]:
    """Return consecutive states as (begin, end, state), in seconds.

    They are those of a host's supervisor, or of one of its instances if `instance` is given.
    """
    state, ready, wanted, running, phase = "down", 0, 1, 0, "down"
    marks: list[tuple[float, str]] = [(0.0, "down")]
    freezes: set[int] = set()
    for event in events:
        kind = event["kind"]
        if kind == "fault" and host in event["hosts"]:
            if event["phase"] == "begin" and event["what"] == "freeze":
                freezes.add(event["number"])
            elif event["phase"] == "over":
                freezes.discard(event["number"])
            if event["phase"] == "begin" and event["what"] in ("kill", "power"):
                running, ready, phase = 0, 0, "down"
            elif event["phase"] == "begin" and event["what"] == "kill-supervisor":
                running = 0  # its instances keep running
        elif event.get("host") != host:
            continue
        elif kind == "start":
            running += 1
        elif kind == "end":
            running = max(0, running - 1)
            if event["asked"]:
                phase = "down"
        elif kind == "ready":
            ready, wanted = event["ready"], event["wanted"]
        elif kind == "phase" and event["instance"] == instance:
            phase = PHASES.get(event["phase"], "down")
        else:
            continue
        if instance:
            state = phase
        else:
            state = "down" if not running else "ready" if ready >= wanted else "partly" if ready else "up"
        if freezes and state != "down":
            state = "frozen"
        if marks[-1][1] != state:
            marks.append((event["t"], state))
    times = [at for at, _ in marks[1:]] + [end]
    return [(at, until, name) for (at, name), until in zip(marks, times, strict=True)]


def _timeline_rows(events: list[Event]) -> list[tuple[str, str, str]]:
    """Return the rows of the timeline: label, host, and instance or an empty text."""
    head = next(event for event in events if event["kind"] == "storm")
    host_instances = {(event["host"], event["instance"]) for event in events if event["kind"] == "phase"}
    rows = []
    for host in head["hosts"]:
        rows.append((host, host, ""))
        rows += [(f"{host}/{name}", host, name) for owner, name in sorted(host_instances) if owner == host]
    return rows


def timeline(events: list[Event]) -> str:
    """Return the SVG with hosts, faults, answers and latency over time."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot
    from matplotlib.patches import Patch

    end = events[-1]["t"]
    rows = _timeline_rows(events)
    faults = _faults(events, end)
    figure, (host_axes, fault_axes, rate_axes, latency_axes) = pyplot.subplots(
        4, 1, sharex=True, figsize=(11, 5.0 + 0.2 * len(rows) + 0.24 * len(faults)),
        height_ratios=[0.5 + 0.3 * len(rows), 0.5 + 0.4 * max(1, len(faults)), 3, 2], layout="constrained",
    )  # fmt: skip
    for row, (_, host, instance) in enumerate(rows):
        for since, until, state in bars(events, host, end, instance):
            height = 0.5 if instance else 0.8
            host_axes.barh(row, until - since, left=since, height=height, color=COLOURS[state])
    host_axes.set_yticks(range(len(rows)), [label for label, _, _ in rows], fontsize=8)
    host_axes.invert_yaxis()
    host_axes.legend(
        handles=[Patch(color=colour, label=name) for name, colour in COLOURS.items()], ncols=5, fontsize=8,
        loc="lower left", bbox_to_anchor=(0, 1.0), frameon=False,
    )  # fmt: skip
    for row, (since, until, words) in enumerate(faults):
        fault_axes.barh(row, max(until - since, end / 200), left=since, height=0.6, color="#c96f4a")
        near = since < end * 0.6
        fault_axes.annotate(
            words,
            (until if near else since, row),
            xytext=(4 if near else -4, 0),
            textcoords="offset points",
            va="center",
            ha="left" if near else "right",
            fontsize=8,
        )
    fault_axes.set_yticks([])
    fault_axes.set_ylabel("faults")
    fault_axes.invert_yaxis()
    _plot_answers(events, end, rate_axes, latency_axes)
    text = io.StringIO()
    figure.savefig(text, format="svg")
    pyplot.close(figure)
    svg = text.getvalue()
    return svg[svg.index("<svg") :]


def _faults(events: list[Event], end: float) -> list[tuple[float, float, str]]:
    over = {
        event["number"]: event["t"]
        for event in events
        if event["kind"] == "fault" and event["phase"] == "over"
    }
    return [
        (event["t"], over.get(event["number"], end), event["words"])
        for event in events
        if event["kind"] == "fault" and event["phase"] == "begin"
    ]


def _add_legend(axes: Any) -> None:
    """Put the legend above the axes, where it hides nothing."""
    position = {"loc": "lower right", "bbox_to_anchor": (1, 0.98), "borderaxespad": 0}
    axes.legend(fontsize=8, frameon=False, ncols=3, **position)


def _plot_answers(events: list[Event], end: float, rate_axes: Any, latency_axes: Any) -> None:
    edges = np.arange(0.0, end + STEP_S, STEP_S)
    groups: dict[str, list[float]] = defaultdict(list)
    latencies: dict[int, list[float]] = defaultdict(list)
    for event in events:
        if event["kind"] != "answer" or event["status"] == "left":
            continue
        status = event["status"]
        name = "served" if status == "200" else "refused" if status in ("429", "503") else "failed or lost"
        groups[name].append(event["t"])
        if name == "served":
            latencies[int(event["t"] / STEP_S)].append(event["ms"])
    for name, colour in (("served", "#2c6b2a"), ("refused", "#c49a1a"), ("failed or lost", "#a61b1b")):
        counts, _ = np.histogram(groups[name], edges)
        rate_axes.step(edges[:-1], counts / STEP_S, where="post", color=colour, label=name, lw=1.2)
    rate_axes.set_ylabel("answers / s")
    _add_legend(rate_axes)
    steps = sorted(latencies)
    for percentile, colour in ((50, "#5b7db1"), (99, "#333333")):
        latency_axes.plot(
            [step * STEP_S for step in steps],
            [float(np.percentile(latencies[step], percentile)) for step in steps],
            color=colour,
            lw=1.1,
            label=f"{percentile}th percentile",
        )
    if steps:
        latency_axes.set_yscale("log")
    latency_axes.set_ylabel("ms to 200")
    _add_legend(latency_axes)
    latency_axes.set_xlabel("seconds since the storm's set-up began")
    latency_axes.set_xlim(0, end)
