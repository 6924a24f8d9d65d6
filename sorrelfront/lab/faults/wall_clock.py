"""The wall clock of another process, stepped while it runs (`wall_clock.c`)."""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("wall_clock.c")
LAYOUT = struct.Struct("=qq")  # offset in nanoseconds, reads so far


def compiler() -> str | None:
    """The C compiler of this machine, if it has one."""
    return shutil.which("cc")


class WallClock:
    """Steps the wall clock of the processes that are started with `environ`."""

    def __init__(self, folder: Path) -> None:
        """Builds the library in `folder`. Raises CalledProcessError if it does not compile."""
        command = compiler()
        assert command is not None
        self._library = folder / "wall_clock.so"
        self._path = folder / "wall_clock.page"
        subprocess.run(
            [command, "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", self._library, SOURCE, "-ldl"],
            check=True,
        )
        self._path.write_bytes(bytes(LAYOUT.size))
        with self._path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), LAYOUT.size)

    @property
    def environ(self) -> dict[str, str]:
        """What a process's environment needs, beside what it has."""
        return {"LD_PRELOAD": str(self._library), "WALL_CLOCK_PAGE": str(self._path)}

    def set(self, offset_s: float) -> None:
        """From now on the wall clock is this far from the host's."""
        struct.pack_into("=q", self._page, 0, int(offset_s * 1e9))

    @property
    def reads(self) -> int:
        """How often the processes have read it."""
        return int(LAYOUT.unpack_from(self._page)[1])

    def close(self) -> None:
        self._page.close()
