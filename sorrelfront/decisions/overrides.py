"""Operators' orders that disable servers, applied on top of the list. No I/O.

A disabled server is reported to the balancer as draining: it finishes its requests and gets no new ones, by
the same path and in the same time as a drain on the list (rule 3). Its list updates are still recorded, so
that once it is enabled again it has its state on the list at that time: if it was restarted meanwhile, it is
cold (rule 4).

An order applies to a server's id until it is revoked. If it applied to an address or a list entry, it would
end when the server moves, restarts or is missing from the list for a moment.
"""

from __future__ import annotations

from collections.abc import Iterable

from sorrelfront.decisions.interface import Backend, State

MAX_DISABLED_SERVERS = 10_000  # disabled servers; no list has more entries
MAX_ID_LENGTH = 256  # characters of a server's id


class Overrides:
    """Keeps the list as received and the disabled servers, and computes the effective list."""

    def __init__(self) -> None:
        self._listed: dict[str, Backend] = {}
        self._disabled: frozenset[str] = frozenset()

    @property
    def disabled(self) -> frozenset[str]:
        """Ids of the disabled servers, listed or not."""
        return self._disabled

    @property
    def listed_count(self) -> int:
        """Number of servers on the list."""
        return len(self._listed)

    def listed_disabled(self) -> list[str]:
        """Return the ids of the disabled servers that are on the list."""
        return [name for name in self._disabled if name in self._listed]

    def knows(self, server: str) -> bool:
        """Whether this id is listed or disabled, so that an order for it has a meaning."""
        return server in self._listed or server in self._disabled

    def apply_list(self, backends: Iterable[Backend], complete: bool) -> tuple[Backend, ...]:
        """Record a list update and return its effective entries.

        `complete`: it is the whole list, and servers missing from it are gone.
        """
        backends = tuple(backends)
        if complete:
            self._listed = {}
        for backend in backends:
            if backend.state is State.GONE:
                self._listed.pop(backend.id, None)
            else:
                self._listed[backend.id] = backend
        if not self._disabled:
            return backends
        return tuple(self._effective(backend) for backend in backends)

    def disable_only(self, out: Iterable[str]) -> tuple[Backend, ...]:
        """Disable these servers and no others.

        Returns the effective entries of the listed servers for which that is a change.
        """
        previous, self._disabled = self._disabled, frozenset(out)
        changed = sorted(previous ^ self._disabled)
        return tuple(self._effective(self._listed[name]) for name in changed if name in self._listed)

    def _effective(self, backend: Backend) -> Backend:
        if backend.id in self._disabled and backend.state is State.READY:
            return backend._replace(state=State.DRAINING)
        return backend
