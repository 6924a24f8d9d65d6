"""Random errors of the system calls of another process (`system_calls.c`)."""

from __future__ import annotations

import struct
from enum import IntEnum
from pathlib import Path

from sorrelfront.lab.faults.shim import Shim

STATE = struct.Struct("=Q")
FAULT = struct.Struct("=II")  # probability in millionths, injections so far
MILLION = 1_000_000


class Call(IntEnum):
    """The kinds of fault, in the order of the page."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    POLL = 3  # a wait is interrupted
    SHORT_READ = 4
    SHORT_WRITE = 5
    BROKEN = 6  # a reset is reported as a timeout or an unreachable host


class SystemCalls(Shim):
    """Injects errors into the system calls of the processes that load it."""

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder, "system_calls", STATE.size + len(Call) * FAULT.size)
        STATE.pack_into(self.page, 0, seed)

    def set(self, call: Call, chance: float) -> None:
        """Inject this fault with probability `chance` (0 to 1) from now on."""
        struct.pack_into("=I", self.page, self._offset(call), int(chance * MILLION))

    def hits(self, call: Call) -> int:
        """Return how many faults of this kind were injected."""
        return int(FAULT.unpack_from(self.page, self._offset(call))[1])

    def _offset(self, call: Call) -> int:
        return STATE.size + call * FAULT.size
