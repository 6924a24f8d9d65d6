"""What operators have ordered about servers, laid over what the list says of them. No I/O.

A server that is out by hand is told to the balancer as draining: it finishes what it has and is sent nothing
new, by the same path and in the same time as a drain that the list tells (rule 3). The list goes on being
heard for it, so that once it is back it is what the list says by then: restarted meanwhile, it is cold
(rule 4).

An order holds by a server's id until the order that undoes it. Risk: held by address or by entry, it would
end with a move, a restart, or a moment in which the list leaves the server out.
"""

from __future__ import annotations

from collections.abc import Iterable

from sorrelfront.decisions.interface import Backend, State

OUT_MOST = 10_000  # servers out by hand; a list here has no more
ID_MOST = 256  # characters of a server's id


class Orders:
    """The list as told, and the list as it holds."""

    def __init__(self) -> None:
        self._told: dict[str, Backend] = {}
        self._out: frozenset[str] = frozenset()

    @property
    def out(self) -> frozenset[str]:
        """Ids of the servers out by hand, listed or not."""
        return self._out

    @property
    def listed(self) -> int:
        return len(self._told)

    def listed_out(self) -> list[str]:
        """Those of the list that are out by hand."""
        return [name for name in self._out if name in self._told]

    def knows(self, server: str) -> bool:
        """Whether an order about this id means anything: it is listed, or out by hand."""
        return server in self._told or server in self._out

    def heard(self, backends: Iterable[Backend], complete: bool) -> tuple[Backend, ...]:
        """What the list says, as it holds. `complete`: it is the whole list, and what it lacks is gone."""
        backends = tuple(backends)
        if complete:
            self._told = {}
        for backend in backends:
            if backend.state is State.GONE:
                self._told.pop(backend.id, None)
            else:
                self._told[backend.id] = backend
        if not self._out:
            return backends
        return tuple(self._held(backend) for backend in backends)

    def ordered(self, out: Iterable[str]) -> tuple[Backend, ...]:
        """These servers, and no others, are out from here on. Returns the listed ones for which that is new,
        as they hold now."""
        before, self._out = self._out, frozenset(out)
        changed = sorted(before ^ self._out)
        return tuple(self._held(self._told[name]) for name in changed if name in self._told)

    def _held(self, backend: Backend) -> Backend:
        if backend.id in self._out and backend.state is State.READY:
            return backend._replace(state=State.DRAINING)
        return backend
