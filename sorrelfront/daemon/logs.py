"""The daemon's log: one event a line, as JSON or as aligned text, with what it is about as fields of its own.

Everything is logged through the standard library, by this package's parts and by libraries alike; structlog
words it. A call such as `log.warning("...", extra={"server": "b1"})` makes `server` a field.
"""

from __future__ import annotations

import logging
import sys
from datetime import datetime
from typing import Any, TextIO

import msgspec
from pythonjsonlogger.msgspec import MsgspecFormatter

from sorrelfront.log_limits import RateLimit

FIELDS = ("instance", "run", "generation", "server", "class", "call")  # shown in this order


class Json(MsgspecFormatter):
    """One JSON object an event: when, level, logger, event, and its fields."""

    def __init__(self, bound: dict[str, object]) -> None:
        super().__init__(
            ["levelname", "name", "message", "exc_info"],
            rename_fields={"levelname": "level", "name": "logger", "message": "event", "exc_info": "trace"},
            static_fields=bound, timestamp="at",
        )  # fmt: skip

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """In the order in which they are read, each on the one line. Risk: what a peer sent, or a traceback,
        breaks the line and looks like an event of its own."""
        data = super().process_log_record(log_data)
        data["level"] = str(data.get("level", "")).lower()
        first = [key for key in ("at", "level", "event", "logger", *FIELDS) if key in data]
        rest = [key for key in data if key not in first]
        return {key: _shown(data[key]) for key in first + rest if data[key] is not None}


class Text(Json):
    """The same, aligned for eyes: `when LEVEL event  key=value ...`."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        data = dict(log_data)
        head = f"{data.pop('at')} {data.pop('level'):<8}{data.pop('event', '')}"
        fields = " ".join(f"{key}={_word(value)}" for key, value in data.items())
        return f"{head}  {fields}"


def _shown(value: Any) -> Any:
    """A text on one line, without what a terminal would obey; numbers as they are."""
    if isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, datetime):
        return value.isoformat(timespec="milliseconds")
    text = str(value)
    return text if text.isprintable() else text.encode("unicode_escape").decode()


def _word(value: Any) -> str:
    text = str(value)
    return text if text and " " not in text and '"' not in text else msgspec.json.encode(text).decode()


def configure(form: str, level: str, stream: TextIO | None = None, **bound: object) -> None:
    """Have all logging of this process go to `stream` (standard error) in this form: `json`, `text`, or
    `auto`, which is text for a terminal and JSON otherwise. `bound` are fields of every event. Called
    again, it takes the place of what was."""
    out = stream or sys.stderr
    if form == "auto":
        form = "text" if out.isatty() else "json"
    handler = logging.StreamHandler(out)
    handler.addFilter(RateLimit())
    handler.setFormatter(Text(bound) if form == "text" else Json(bound))
    root = logging.getLogger()
    for old in [*root.handlers]:
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level.upper())
