"""A scripted instance: `python -m tests.daemon.odd_instance FOLDER NAME DIGEST HOW [PORT]`.

It identifies itself as an orphan that is ready. It answers `adopt` a second later (`late`), or never
(`never`). Once adopted it sends heartbeats until it is told to stop. With a port it is an instance that is
leaving and still holds its listening socket, which it sends with `hello`; it ends once told that others have
the socket.
"""

from __future__ import annotations

import os
import select
import socket
import sys
import time
from pathlib import Path

from sorrelfront.daemon.channel import bind_private, receive, send
from sorrelfront.daemon.processes import start_ticks


def main(folder: str, name: str, digest: str, how: str, port: str = "") -> None:
    """Listen in the run folder, and answer one supervisor as scripted."""
    pid = os.getpid()
    listening = [socket.create_server(("127.0.0.1", int(port)))] if port else []
    life = "leaving" if listening else "ready"
    hidden = Path(folder) / f".{name}-{pid}"
    listener = bind_private(socket.SOCK_SEQPACKET, hidden)
    listener.listen(4)
    hidden.rename(Path(folder) / f"{name}-{pid}.sock")
    channel, _ = listener.accept()
    while True:
        readable, _, _ = select.select([channel], [], [], 0.1)
        if not readable:
            send(channel, {"op": "beat", "figures": {}})
            continue
        got = receive(channel)
        if got is None:
            return
        match got[0].get("op"):
            case "hello":
                who = {"name": name, "pid": pid, "run": 7, "ticks": start_ticks(pid), "life": life}
                terms = {"protocol": 1, "generation": 0, "digest": digest, "orphan": True}
                send(channel, {"op": "hello", **who, **terms}, [sock.fileno() for sock in listening])
            case "adopt":
                time.sleep(1.0 if how == "late" else 600.0)
                send(channel, {"op": "adopted", "id": got[0]["id"], "fault": None})
            case "others" | "stop":
                return


if __name__ == "__main__":
    main(*sys.argv[1:6])
