"""The service manager's side: states by sd_notify(3), descriptors by sd_listen_fds(3).

Its store keeps descriptors while no supervisor runs (FDSTORE=1 with FDNAME=, sd_pid_notify_with_fds(3));
they come back at the next start beside those of socket units, named by LISTEN_FDNAMES.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import stat
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass, field

FIRST = 3  # SD_LISTEN_FDS_START
MOST = 64  # descriptors that are looked at
SOCKETS_NAME = "sorrelfront-listener"  # in the store: a name holds no colon, so listeners go by address
STATE_NAME = "sorrelfront-state"


def notify(environ: MutableMapping[str, str], *states: str) -> bool:
    """Tell the service manager, as in `notify(os.environ, "READY=1")`. Whether there is one that was told."""
    path = environ.get("NOTIFY_SOCKET", "")
    if not path.startswith(("/", "@")):
        return False
    with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.sendto("\n".join(states).encode(), path.replace("@", "\0", 1) if path[0] == "@" else path)
        return True
    return False


def keep(environ: MutableMapping[str, str], name: str, descriptors: Sequence[int]) -> bool:
    """Have the service manager's store keep these under this name, in place of what it had there; none to
    have it let go. Whether there is one that was told."""
    if not notify(environ, "FDSTOREREMOVE=1", f"FDNAME={name}"):
        return False
    path = environ["NOTIFY_SOCKET"].replace("@", "\0", 1)
    if not descriptors:
        return True
    words = f"FDSTORE=1\nFDNAME={name}".encode()
    with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))
        sock.sendmsg([words], [rights], 0, path)
        return True
    return False


@dataclass(slots=True)
class Passed:
    """What the service manager has passed: listening sockets, each with its name, and the state's memory."""

    sockets: list[tuple[str, socket.socket]] = field(default_factory=list)
    state: int = -1


def passed(environ: MutableMapping[str, str]) -> Passed:
    """The variables are taken out, so that no child takes them for its own. What is neither a listening TCP
    socket nor the state's memory is closed."""
    pid, count = environ.pop("LISTEN_PID", ""), environ.pop("LISTEN_FDS", "")
    names = environ.pop("LISTEN_FDNAMES", "").split(":")
    if pid != str(os.getpid()) or not count.isdigit():
        return Passed()
    given = Passed()
    for at in range(min(int(count), MOST)):
        name = names[at] if at < len(names) else ""
        if name == STATE_NAME and given.state < 0 and _is_memory(FIRST + at):
            given.state = FIRST + at
            os.set_inheritable(given.state, False)
            continue
        try:
            sock = socket.socket(fileno=FIRST + at)
        except OSError:
            with contextlib.suppress(OSError):
                os.close(FIRST + at)
            continue
        listens = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM
        if not listens or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.close()
            continue
        sock.setblocking(False)
        os.set_inheritable(sock.fileno(), False)
        given.sockets.append((name, sock))
    return given


def _is_memory(descriptor: int) -> bool:
    """Whether it is a plain file in memory: without a name, of a bounded size."""
    with contextlib.suppress(OSError):
        told = os.fstat(descriptor)
        return stat.S_ISREG(told.st_mode) and told.st_nlink == 0 and told.st_size <= 1024 * 1024
    return False
