"""Rule 4 over all agents together, in memory: a small run of the benchmark `cold`."""

from __future__ import annotations

import pytest

from benchmarks import cold
from sorrelfront.decisions.balancer import Server

AGENTS, SERVERS, SECONDS = 40, 40, 14


@pytest.mark.parametrize("seed", [1, 2])
def test_no_cold_server_gets_more_than_it_may_from_all_agents_together(seed: int) -> None:
    found = cold.run(AGENTS, SERVERS, seed, load=0.9, seconds=SECONDS)
    assert found.cold_arrivals > 100
    assert found.overruns == 0 and found.worst < 0.6


@pytest.mark.parametrize("multiple", [1.0, 1.5])
def test_a_cold_server_with_a_low_multiple_gets_less_of_its_share(multiple: float) -> None:
    """In overload: the agents together send more than all servers can handle."""
    found = cold.run(AGENTS, SERVERS, 1, load=1.3, seconds=SECONDS, cold=cold.ColdSettings(multiple))
    assert found.cold_arrivals > 100
    assert found.overruns == 0 and found.worst < 0.95


def test_without_the_cold_check_cold_servers_get_at_least_a_fifth_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limited = cold.run(AGENTS, SERVERS, 1, load=0.9, seconds=SECONDS).worst
    monkeypatch.setattr(Server, "is_available", Server.accepts)
    assert cold.run(AGENTS, SERVERS, 1, load=0.9, seconds=SECONDS).worst > 1.2 * limited
