"""Service manager protocol: states by sd_notify(3), descriptors by sd_listen_fds(3).

The service manager's store keeps descriptors while no supervisor runs (FDSTORE=1 with FDNAME=,
sd_pid_notify_with_fds(3)). They are passed at the next start together with those of socket units, named by
LISTEN_FDNAMES.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
import stat
from collections.abc import MutableMapping, Sequence
from dataclasses import dataclass, field

FIRST_DESCRIPTOR = 3  # SD_LISTEN_FDS_START
MAX_DESCRIPTORS = 64  # further ones are ignored
# One name for all listeners, which are told apart by address: a stored name cannot hold a colon.
SOCKETS_FDNAME = "sorrelfront-listener"
STATE_FDNAME = "sorrelfront-state"


def notify(environ: MutableMapping[str, str], *states: str) -> bool:
    """Send states to the service manager, as in `notify(os.environ, "READY=1")`.

    Returns whether there is a service manager and the states were sent.
    """
    path = environ.get("NOTIFY_SOCKET", "")
    if not path.startswith(("/", "@")):
        return False
    with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.sendto("\n".join(states).encode(), path.replace("@", "\0", 1) if path[0] == "@" else path)
        return True
    return False


def store_descriptors(environ: MutableMapping[str, str], name: str, descriptors: Sequence[int]) -> bool:
    """Replace the descriptors that the service manager's store holds under this name.

    No descriptors remove the name from the store. Returns whether there is a service manager and it was told.
    """
    if not notify(environ, "FDSTOREREMOVE=1", f"FDNAME={name}"):
        return False
    path = environ["NOTIFY_SOCKET"].replace("@", "\0", 1)
    if not descriptors:
        return True
    payload = f"FDSTORE=1\nFDNAME={name}".encode()
    with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))
        sock.sendmsg([payload], [rights], 0, path)
        return True
    return False


@dataclass(slots=True)
class PassedDescriptors:
    """What the service manager passed: listening sockets with their names, and the state's memory file.

    `state_descriptor` is the descriptor of that file, -1 if there is none.
    """

    sockets: list[tuple[str, socket.socket]] = field(default_factory=list)
    state_descriptor: int = -1


def take_passed_descriptors(environ: MutableMapping[str, str]) -> PassedDescriptors:
    """Return the descriptors that the service manager passed to this process.

    The environment variables are removed, so that no child process takes them for its own. A descriptor that
    is neither a listening TCP socket nor the state's memory file is closed.
    """
    pid, count = environ.pop("LISTEN_PID", ""), environ.pop("LISTEN_FDS", "")
    names = environ.pop("LISTEN_FDNAMES", "").split(":")
    if pid != str(os.getpid()) or not count.isdigit():
        return PassedDescriptors()
    result = PassedDescriptors()
    for index in range(min(int(count), MAX_DESCRIPTORS)):
        name = names[index] if index < len(names) else ""
        if name == STATE_FDNAME and result.state_descriptor < 0 and _is_memory(FIRST_DESCRIPTOR + index):
            result.state_descriptor = FIRST_DESCRIPTOR + index
            os.set_inheritable(result.state_descriptor, False)
            continue
        try:
            sock = socket.socket(fileno=FIRST_DESCRIPTOR + index)
        except OSError:
            with contextlib.suppress(OSError):
                os.close(FIRST_DESCRIPTOR + index)
            continue
        listens = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM
        if not listens or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.close()
            continue
        sock.setblocking(False)
        os.set_inheritable(sock.fileno(), False)
        result.sockets.append((name, sock))
    return result


def _is_memory(descriptor: int) -> bool:
    """Return whether it is a regular file without a name (in memory) of at most 1 MiB."""
    with contextlib.suppress(OSError):
        status = os.fstat(descriptor)
        return stat.S_ISREG(status.st_mode) and status.st_nlink == 0 and status.st_size <= 1024 * 1024
    return False
