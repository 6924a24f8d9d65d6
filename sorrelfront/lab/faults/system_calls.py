"""System calls of another process that fail now and then (`system_calls.c`)."""

from __future__ import annotations

import struct
from enum import IntEnum
from pathlib import Path

from sorrelfront.lab.faults.shim import Shim

STATE = struct.Struct("=Q")
FAULT = struct.Struct("=II")  # chance in a million calls, hits so far
MILLION = 1_000_000


class Call(IntEnum):
    """What may fail, in the order of the page."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    POLL = 3  # a wait is interrupted
    SHORT_READ = 4
    SHORT_WRITE = 5
    BROKEN = 6  # a reset shows as a time-out or an unreachable host


class SystemCalls(Shim):
    """Injects errors into the system calls of the processes that load it."""

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder, "system_calls", STATE.size + len(Call) * FAULT.size)
        STATE.pack_into(self.page, 0, seed)

    def set(self, call: Call, chance: float) -> None:
        """From now on this call fails with this chance."""
        struct.pack_into("=I", self.page, self._at(call), int(chance * MILLION))

    def hits(self, call: Call) -> int:
        """How many faults of this kind were injected."""
        return int(FAULT.unpack_from(self.page, self._at(call))[1])

    def _at(self, call: Call) -> int:
        return STATE.size + call * FAULT.size
