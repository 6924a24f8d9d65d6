"""The service manager's side: states by sd_notify(3), listening sockets by sd_listen_fds(3)."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import MutableMapping

FIRST = 3  # SD_LISTEN_FDS_START
MOST = 64  # descriptors that are looked at


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


def passed_sockets(environ: MutableMapping[str, str]) -> list[tuple[str, socket.socket]]:
    """The listening sockets that the service manager has passed, each with its name. The variables are taken
    out, so that no child takes them for its own. What is no listening TCP socket is closed."""
    pid, count = environ.pop("LISTEN_PID", ""), environ.pop("LISTEN_FDS", "")
    names = environ.pop("LISTEN_FDNAMES", "").split(":")
    if pid != str(os.getpid()) or not count.isdigit():
        return []
    passed = []
    for at in range(min(int(count), MOST)):
        try:
            sock = socket.socket(fileno=FIRST + at)
        except OSError:
            continue
        listens = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM
        if not listens or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.close()
            continue
        sock.setblocking(False)
        os.set_inheritable(sock.fileno(), False)
        passed.append((names[at] if at < len(names) else "", sock))
    return passed
