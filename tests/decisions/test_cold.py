"""Rule 4 over all agents together, in memory: what the benchmark plays at full size, in small."""

from __future__ import annotations

import pytest

from benchmarks import cold
from sorrelfront.decisions.balancer import Server

AGENTS, SERVERS, SECONDS = 40, 40, 14


@pytest.mark.parametrize("seed", [1, 2])
def test_no_cold_server_gets_more_than_it_may_from_all_agents_together(seed: int) -> None:
    found = cold.run(AGENTS, SERVERS, seed, load=0.9, seconds=SECONDS)
    assert found.cold_arrivals > 100
    assert found.falls == 0 and found.worst < 0.6


@pytest.mark.parametrize("multiple", [1.0, 1.5])
def test_a_cold_server_that_bears_little_more_than_its_part_gets_less_of_its_share(multiple: float) -> None:
    """In a crowd: what agents send is over what all servers can do."""
    found = cold.run(AGENTS, SERVERS, 1, load=1.3, seconds=SECONDS, cold=cold.Cold(multiple))
    assert found.cold_arrivals > 100
    assert found.falls == 0 and found.worst < 0.95


def test_without_the_part_that_holds_agents_back_they_get_a_fifth_more_at_least(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held_back = cold.run(AGENTS, SERVERS, 1, load=0.9, seconds=SECONDS).worst
    monkeypatch.setattr(Server, "fit", Server.open)
    assert cold.run(AGENTS, SERVERS, 1, load=0.9, seconds=SECONDS).worst > 1.2 * held_back
