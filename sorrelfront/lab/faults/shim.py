"""Libraries of our own that stand between one process and its C library, built where they are used."""

from __future__ import annotations

import mmap
import shutil
import subprocess
from pathlib import Path


def compiler() -> str | None:
    """The C compiler of this machine, if it has one."""
    return shutil.which("cc")


class Shim:
    """A library that is loaded into processes, and the page of memory that steers it while they run."""

    def __init__(self, folder: Path, name: str, size: int) -> None:
        """Builds `name`.c of this package in `folder`. `size`: bytes of the page, all zero at first. Raises
        CalledProcessError if it does not compile."""
        command = compiler()
        assert command is not None
        source = Path(__file__).with_name(f"{name}.c")
        self.library = folder / f"{name}.so"
        self._path = folder / f"{name}.page"
        self._variable = f"{name.upper()}_PAGE"
        subprocess.run(
            [command, "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", self.library, source, "-ldl"],
            check=True,
        )
        self._path.write_bytes(bytes(size))
        with self._path.open("r+b") as file:
            self.page = mmap.mmap(file.fileno(), size)

    @property
    def environ(self) -> dict[str, str]:
        """What a process's environment needs for it, beside what it has."""
        return {"LD_PRELOAD": str(self.library), self._variable: str(self._path)}

    def close(self) -> None:
        self.page.close()


def loaded(*shims: Shim) -> dict[str, str]:
    """The environment of a process that loads all of these."""
    environ: dict[str, str] = {}
    for shim in shims:
        environ.update(shim.environ)
    environ["LD_PRELOAD"] = " ".join(str(shim.library) for shim in shims)
    return environ
