"""What one agent goes by: its terms, checked, whoever read them from wherever."""

from __future__ import annotations

from dataclasses import dataclass

from sorrelfront.decisions.interface import Settings
from sorrelfront.messages import Address, Update


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_bytes: int
    sockets: int
    settings: Settings
    known: Update
    most_held: int
    idle_us: int
    control: Address | None = None  # where operators call, if anywhere
