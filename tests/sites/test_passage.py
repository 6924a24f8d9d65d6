"""Admission of requests at a gateway."""

from __future__ import annotations

import pytest

from sorrelfront.decisions.sites.admission import Admission, Admitted, Rejected, Rejection, parse_path
from sorrelfront.decisions.sites.offers import Relation
from sorrelfront.decisions.sites.routes import OfferConfig, Partner
from sorrelfront.decisions.sites.terms import MAX_RATE, terms

SECOND = 1_000_000
PARTNERS = {name: Partner(name, Relation.PEER) for name in ("a", "b", "d")}


def lent(rate: int = MAX_RATE, capacity: int = 100) -> dict[str, OfferConfig]:
    return {"x": OfferConfig("x", terms(["a"], ["b"], ["look"], rate), 1, capacity)}


def judge(
    passage: Admission, partner: str | None, path: str, cls: str = "look", through: bool = False,
    offers: dict[str, OfferConfig] | None = None, now: int = 0,
) -> Admitted | Rejected:  # fmt: skip
    told = lent() if offers is None else offers
    return passage.admit(partner, parse_path(path), cls, PARTNERS, told, through, now)


@pytest.mark.parametrize(
    ("partner", "path", "cls", "why"),
    [
        ("a", "A", "look", Rejection.PATH),
        ("a", "a,a", "look", Rejection.PATH),
        ("a", "a" * 80, "look", Rejection.PATH),
        ("a", ",".join("abcdefghi"), "look", Rejection.PATH),
        (None, "a", "look", Rejection.STRANGER),
        ("b", "a", "look", Rejection.STRANGER),  # the ticket of another partner
        ("z", "z", "look", Rejection.STRANGER),
        ("b", "c,b", "look", Rejection.LOOP),
        ("a", "a", "pay", Rejection.FORBIDDEN),
        ("b", "b", "look", Rejection.FORBIDDEN),  # may forward a's requests, but not use the offer itself
        ("a", "b,a", "look", Rejection.FORBIDDEN),
        ("d", "a,d", "look", Rejection.FORBIDDEN),  # lent to a, but d may not forward
    ],
)
def test_rejections(partner: str | None, path: str, cls: str, why: Rejection) -> None:
    passage = Admission("c")
    found = judge(passage, partner, path, cls)
    assert isinstance(found, Rejected) and found.reason is why and found.retry_after_us > 0
    assert passage.counts[why.name.lower()] == 1 and not passage.in_flight


def test_direct_and_forwarded_requests_are_admitted() -> None:
    passage = Admission("c")
    assert judge(passage, "a", "a") == Admitted("x") and judge(passage, "b", "a,b") == Admitted("x")
    assert passage.in_flight == {"x": 2}
    passage.finished("x")
    passage.finished("x")
    passage.finished("x")
    assert passage.in_flight == {}


def test_a_request_for_another_site_is_forwarded_if_there_is_a_route() -> None:
    assert judge(Admission("c"), "b", "b", through=True) == Admitted(None)


def test_a_full_gateway_rejects_or_forwards() -> None:
    passage, offers = Admission("c"), lent(capacity=1)
    assert judge(passage, "a", "a", offers=offers) == Admitted("x")
    found = judge(passage, "a", "a", offers=offers)
    assert isinstance(found, Rejected) and found.reason is Rejection.FULL
    assert judge(passage, "a", "a", offers=offers, through=True) == Admitted(None)
    passage.finished("x")
    assert judge(passage, "a", "a", offers=offers) == Admitted("x")


@pytest.mark.parametrize("rate", [1, 2, 3, 10, 47, 200])
def test_no_second_has_more_than_the_rate(rate: int) -> None:
    passage, offers = Admission("c"), lent(rate, 1_000_000)
    taken = [
        now
        for now in range(0, 5 * SECOND, 2_500)
        if judge(passage, "a", "a", offers=offers, now=now) == Admitted("x")
    ]
    for at, began in enumerate(taken):
        assert sum(began <= other < began + SECOND for other in taken[at:]) <= rate
    assert len(taken) >= 0.45 * rate * 5
    now = 5 * SECOND
    while isinstance(away := judge(passage, "a", "a", offers=offers, now=now), Admitted):
        pass
    assert away.reason is Rejection.RATE
    assert judge(passage, "a", "a", offers=offers, now=now + away.retry_after_us + 1) == Admitted("x")
