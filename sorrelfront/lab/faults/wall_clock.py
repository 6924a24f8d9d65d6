"""Steps of the wall clock of another process while it runs (`wall_clock.c`)."""

from __future__ import annotations

import struct
from pathlib import Path

from sorrelfront.lab.faults.shim import Shim

LAYOUT = struct.Struct("=qq")  # offset in nanoseconds, reads so far


class WallClock(Shim):
    """Steps the wall clock of the processes that load it."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, "wall_clock", LAYOUT.size)

    def set(self, offset_s: float) -> None:
        """Set the offset from the host's wall clock, in seconds."""
        struct.pack_into("=q", self.page, 0, int(offset_s * 1e9))

    @property
    def reads(self) -> int:
        """How often the processes have read their wall clock."""
        return int(LAYOUT.unpack_from(self.page)[1])
