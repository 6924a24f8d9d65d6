"""LD_PRELOAD shims between a process and its C library, compiled at the time of use."""

from __future__ import annotations

import mmap
import shutil
import subprocess
from pathlib import Path


def compiler() -> str | None:
    """Return the path of this machine's C compiler, or None."""
    return shutil.which("cc")


class Shim:
    """A library that is loaded into processes, and the shared page that controls it while they run."""

    def __init__(self, folder: Path, name: str, size: int) -> None:
        """Compile `name`.c of this package into `folder` and create a zeroed page of `size` bytes.

        Raises CalledProcessError if it does not compile.
        """
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
        """The variables to add to the environment of a process that loads the shim."""
        return {"LD_PRELOAD": str(self.library), self._variable: str(self._path)}

    def close(self) -> None:
        """Unmap the page in this process."""
        self.page.close()


def loaded(*shims: Shim) -> dict[str, str]:
    """Return the variables to add to the environment of a process that loads all these shims."""
    environ: dict[str, str] = {}
    for shim in shims:
        environ.update(shim.environ)
    environ["LD_PRELOAD"] = " ".join(str(shim.library) for shim in shims)
    return environ
