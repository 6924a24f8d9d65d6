"""Log format: one event per line whatever it contains, with fields, and a rate limit for each call site."""

from __future__ import annotations

import io
import json
import logging
from collections.abc import Iterator

import pytest

from sorrelfront.daemon.logs import configure
from sorrelfront.log_limits import MAX_KINDS, MAX_RECORDS_PER_WINDOW, WINDOW_S, RateLimit

log = logging.getLogger("sorrelfront.test")


@pytest.fixture(autouse=True)
def restored_logging() -> Iterator[None]:
    """Restore the root logger after each test."""
    root = logging.getLogger()
    before, level = [*root.handlers], root.level
    yield
    for handler in [*root.handlers]:
        root.removeHandler(handler)
    for handler in before:
        root.addHandler(handler)
    root.setLevel(level)


def lines(log_format: str, level: str = "info") -> list[str]:
    """Log an event, one with hostile text and one with a traceback; return the lines written."""
    out = io.StringIO()
    configure(log_format, level, out, instance="i0", run=3)
    log.info("well")
    fields = {"server": "b1", "class": "pay", "call": "c\n9"}
    log.warning("from %s", "a peer\nERROR forged\x1b[31m", extra=fields)
    try:
        raise ValueError("odd\nword")
    except ValueError:
        log.exception("it failed")
    return out.getvalue().splitlines()


def test_as_json_each_event_is_an_object_with_its_fields() -> None:
    """Line breaks and terminal sequences in an event must not forge another event."""
    well, warned, failed = map(json.loads, lines("json"))
    assert well["event"] == "well" and well["level"] == "info"
    assert well["instance"] == "i0" and well["run"] == 3
    assert warned["server"] == "b1" and warned["class"] == "pay" and warned["call"] == "c\\n9"
    assert "\\n" in warned["event"] and "\x1b" not in warned["event"]
    assert "Traceback" in failed["trace"] and "ValueError" in failed["trace"]
    assert well["at"].endswith("+00:00") and well["logger"] == "sorrelfront.test"


def test_as_text_each_event_is_a_line_with_its_fields() -> None:
    """The text format must escape the same characters, and show every field."""
    well, warned, failed = lines("text")
    assert "info    well  " in well and "instance=i0" in well and "run=3" in well
    assert "warning from a peer" in warned and "server=b1" in warned and "\x1b" not in warned
    assert "Traceback" in failed


def test_auto_is_json_where_no_terminal_is_and_the_level_holds() -> None:
    """`auto` writes JSON to a stream that is no terminal; events below the level are dropped."""
    assert all(line.startswith("{") for line in lines("auto"))
    assert len(lines("json", "error")) == 1


def test_one_place_is_bounded_others_are_not_and_what_was_left_out_is_counted() -> None:
    """One noisy call site must not suppress others; suppressed events are counted and memory is bounded."""
    now = 0.0
    filtered = RateLimit(lambda: now)

    def record(line: int) -> logging.LogRecord:
        return logging.LogRecord("n", logging.INFO, "place.py", line, "said", (), None)

    passed = [filtered.filter(record(1)) for _ in range(MAX_RECORDS_PER_WINDOW + 30)]
    assert (
        passed.count(True) == MAX_RECORDS_PER_WINDOW
        and passed[:MAX_RECORDS_PER_WINDOW] == [True] * MAX_RECORDS_PER_WINDOW
    )
    assert filtered.filter(record(2))
    now = WINDOW_S
    later = record(1)
    assert filtered.filter(later) and later.__dict__["left_out"] == 30
    assert "left_out" not in record(2).__dict__
    for line in range(10 * MAX_KINDS):  # the number of call sites that are counted is bounded, too
        filtered.filter(record(line))
    assert len(filtered._kinds) <= MAX_KINDS + 1
