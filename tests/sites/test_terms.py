"""Algebraic properties of the lattice of terms."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sorrelfront.decisions.sites.terms import ANYTHING, NOTHING, Terms, canonical, meet, terms, within

NAMES = st.none() | st.sets(st.sampled_from(["a", "b", "c"]))
TERMS = st.builds(terms, NAMES, NAMES, NAMES, st.integers(0, 5), st.integers(0, 5))


@settings(derandomize=True, max_examples=300)
@given(TERMS, TERMS, TERMS)
def test_meet_is_the_greatest_lower_bound(one: Terms, other: Terms, third: Terms) -> None:
    both = meet(one, other)
    assert both == meet(other, one) and meet(one, one) == one
    assert meet(meet(one, other), third) == meet(one, meet(other, third))
    assert meet(one, ANYTHING) == one and meet(one, NOTHING) == NOTHING
    assert within(both, one) and within(both, other) and canonical(both)
    if within(third, one) and within(third, other):
        assert within(third, both)


@settings(derandomize=True, max_examples=300)
@given(TERMS, TERMS, st.sampled_from("abc"), st.sampled_from("abc"))
def test_the_meet_allows_exactly_what_both_allow(one: Terms, other: Terms, site: str, cls: str) -> None:
    both = meet(one, other)
    assert both.allows_use(site, cls) == (one.allows_use(site, cls) and other.allows_use(site, cls))
    assert both.allows_onward(site) == (one.allows_onward(site) and other.allows_onward(site))
    if both.empty:
        assert not both.allows_use(site, cls)


def test_an_offer_is_not_re_advertised_by_default() -> None:
    assert not terms().allows_onward("a") and terms(onward=None).allows_onward("a")
