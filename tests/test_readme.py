"""Checks that the Python example in the README runs without changes."""

import re
from pathlib import Path


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
