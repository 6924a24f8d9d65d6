"""Runs the case of the folder named, and exits with 2 for whatever keeps it from being carried out."""

from __future__ import annotations

import os
import runpy
import sys
import traceback
from types import TracebackType


def cannot_run(kind: type[BaseException], fault: BaseException, trace: TracebackType | None) -> None:
    """Exit with 2 where Python would exit with 1, which says that the rule was broken."""
    traceback.print_exception(kind, fault, trace)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = cannot_run
runpy.run_path(os.path.join(sys.argv[1], "case.py"), run_name="__main__")
