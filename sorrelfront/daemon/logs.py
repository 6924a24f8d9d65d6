"""Structured log: one event per line, as JSON or as aligned text, with the event's context as fields.

This package and its libraries log through the standard library; python-json-logger formats the records. A
call such as `log.warning("...", extra={"server": "b1"})` makes `server` a field.
"""

from __future__ import annotations

import logging
import sys
from datetime import datetime
from typing import Any, TextIO

import msgspec
from pythonjsonlogger.msgspec import MsgspecFormatter

from sorrelfront.log_limits import RateLimit

LEADING_FIELDS = ("instance", "run", "generation", "server", "class", "call")  # written first, in this order


class JsonFormatter(MsgspecFormatter):
    """Formats each event as one JSON object: time, level, event, logger and its fields."""

    def __init__(self, static_fields: dict[str, object]) -> None:
        super().__init__(
            ["levelname", "name", "message", "exc_info"],
            rename_fields={"levelname": "level", "name": "logger", "message": "event", "exc_info": "trace"},
            static_fields=static_fields, timestamp="at",
        )  # fmt: skip

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Order the fields and escape their values.

        Escaping keeps each event on one line: text from a peer, or a traceback, could otherwise break the
        line and look like a separate event.
        """
        data = super().process_log_record(log_data)
        data["level"] = str(data.get("level", "")).lower()
        first = [key for key in ("at", "level", "event", "logger", *LEADING_FIELDS) if key in data]
        rest = [key for key in data if key not in first]
        return {key: _printable(data[key]) for key in first + rest if data[key] is not None}


class TextFormatter(JsonFormatter):
    """Formats the same fields as aligned text: `time level event  key=value ...`."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the event as one line of text."""
        data = dict(log_data)
        head = f"{data.pop('at')} {data.pop('level'):<8}{data.pop('event', '')}"
        fields = " ".join(f"{key}={_quoted(value)}" for key, value in data.items())
        return f"{head}  {fields}"


def _printable(value: Any) -> Any:
    """Return numbers unchanged, and anything else as one line of text without terminal control sequences."""
    if isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, datetime):
        return value.isoformat(timespec="milliseconds")
    text = str(value)
    return text if text.isprintable() else text.encode("unicode_escape").decode()


def _quoted(value: Any) -> str:
    text = str(value)
    return text if text and " " not in text and '"' not in text else msgspec.json.encode(text).decode()


def configure(log_format: str, level: str, stream: TextIO | None = None, **static_fields: object) -> None:
    """Send all logging of this process to `stream`, by default standard error.

    `log_format` is `json`, `text` or `auto`, which is text for a terminal and JSON otherwise. `static_fields`
    are fields of every event. A further call replaces the earlier configuration.
    """
    out = stream or sys.stderr
    if log_format == "auto":
        log_format = "text" if out.isatty() else "json"
    handler = logging.StreamHandler(out)
    handler.addFilter(RateLimit())
    handler.setFormatter(
        TextFormatter(static_fields) if log_format == "text" else JsonFormatter(static_fields)
    )
    root = logging.getLogger()
    for old in [*root.handlers]:
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level.upper())
