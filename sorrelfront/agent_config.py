"""Validated configuration of one agent, independent of the format it was read from."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelfront.decisions.interface import Settings
from sorrelfront.messages import Address, Update


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one agent."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_bytes: int  # memory limit of the process
    sockets: int  # maximum number of open file descriptors
    settings: Settings
    cached_list: Update  # the cached list of backends
    max_pending: int  # maximum number of requests in flight
    idle_us: int  # the backends' idle timeout
    control: Address | None = None  # address of the control interface, if there is one
