"""What one border believes of others, each hard case by its words."""

from __future__ import annotations

from itertools import permutations

import msgspec
import pytest

from sorrelfront.decisions.sites.offers import (
    FORGED_MOST,
    REMEDY,
    Chain,
    Hop,
    OfferId,
    Relation,
    Why,
    circle,
    content,
    passed_on,
    prove,
    signed,
)
from sorrelfront.decisions.sites.routes import OWN_MOST, Newest, later, settle
from sorrelfront.decisions.sites.terms import ANYTHING, terms
from tests.sites.borders import LEFT_MS, SECOND, SIGN, VERIFY, ask, border, lent, told, ways

ID = OfferId("c", "c/i", "x")


def test_an_offer_holds_for_its_lifetime_since_it_was_asked_for() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    ask(a, c, SECOND, came=4 * SECOND)  # three seconds on its way count
    assert ways(a, 10 * SECOND) == [("c",)]
    assert ways(a, 11 * SECOND) == []  # also where nobody has looked at the time since


def test_an_answer_to_an_earlier_question_is_none() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    first = told(a, c, SECOND)
    told(a, c, 2 * SECOND)
    assert not a.on_tell("c/i", first, 2 * SECOND) and ways(a, 2 * SECOND) == []


def test_the_same_as_before_renews_it_in_few_bytes() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    ask(a, c, SECOND)
    tell = ask(a, c, 3 * SECOND)
    assert tell.chains is None
    assert ways(a, 12 * SECOND) == [("c",)] and ways(a, 13 * SECOND) == []


def test_a_withdrawal_outweighs_whoever_still_tells_the_offer() -> None:
    c = border("c", {"a": "peer", "b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "peer"})
    ask(b, c, SECOND)
    ask(a, b, SECOND)
    ask(a, c, SECOND)
    c.configure(c.partners.values(), [], 2 * SECOND)
    ask(a, c, 2 * SECOND)
    assert ways(a, 2 * SECOND) == []
    ask(a, b, 2 * SECOND)
    assert ways(a, 2 * SECOND) == [] and [route.state for route in a.table] == [Why.WITHDRAWN]


def test_what_its_gateway_never_told_is_not_believed_of_others() -> None:
    c = border("c", {"a": "peer", "b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "peer"})
    ask(b, c, SECOND)
    narrowed = lent(terms=terms(["b"], [], ["look"], left_ms=LEFT_MS))
    c.configure(c.partners.values(), [narrowed], 2 * SECOND)
    ask(a, c, 2 * SECOND)
    ask(a, b, 2 * SECOND)  # b has yet to hear of it
    assert ways(a, 2 * SECOND) == []


def test_narrowed_terms_drop_what_is_held_of_the_wider_ones_by_any_way() -> None:
    c = border("c", {"a": "peer", "b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "peer"})
    ask(b, c, SECOND)
    ask(a, b, SECOND)
    ask(a, c, SECOND)
    c.configure(c.partners.values(), [lent(terms=terms(None, [], ["look"], left_ms=LEFT_MS))], 2 * SECOND)
    ask(a, c, 2 * SECOND)
    assert {route.sites for route in a.table if route.state is None} == {("c",)}
    assert next(route for route in a.table if route.sites == ("b", "c")).state is Why.OLD


def test_what_was_long_on_its_way_is_not_withdrawn_by_that() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    ask(a, c, SECOND)
    c.on_time(5 * SECOND)  # a fresh stamp, so that it is told whole
    ask(a, c, 5 * SECOND, came=25 * SECOND)
    assert a.peers["c/i"].refused == {"EXPIRED": 1}
    c.on_time(26 * SECOND)
    ask(a, c, 26 * SECOND)
    assert ways(a, 26 * SECOND) == [("c",)] and c.life == (1, 7)  # nor has it to begin another life


def test_old_words_told_again_begin_no_new_time() -> None:
    c = border("c", {"b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "provider"})
    ask(b, c, SECOND)
    first = ask(a, b, SECOND)
    again = told(a, b, 8 * SECOND)
    old = msgspec.structs.replace(again, chains=first.chains, ages_ms=(0,), have=b"other")
    a.on_tell("b/i", old, 8 * SECOND)
    assert ways(a, 10 * SECOND) == [("b", "c")] and ways(a, 11 * SECOND) == []


def test_stamps_that_were_kept_back_are_as_old_as_their_owner_made_them() -> None:
    c = border("c", {"b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "provider"})
    kept = []
    for second in range(1, 20, 3):
        c.on_time(second * SECOND)
        ask(b, c, second * SECOND)
        tell = told(a, b, second * SECOND)
        if second in (1, 19):
            a.on_tell("b/i", tell, second * SECOND)  # the freshest has been heard
        kept.append(tell)
    late = told(a, b, 40 * SECOND)
    hoarded = msgspec.structs.replace(late, chains=kept[3].chains, ages_ms=(0,), have=b"other")
    a.on_tell("b/i", hoarded, 40 * SECOND)
    assert ways(a, 40 * SECOND) == [] and a.peers["b/i"].refused == {"EXPIRED": 1}


@pytest.mark.parametrize("first", [0, 1])
def test_two_contents_under_one_state_are_used_by_nobody_whichever_came_first(first: int) -> None:
    one = border("c", {"a": "peer"}, [lent(cost=1)])
    other = border("c", {"a": "peer"}, [lent(cost=2)])
    a = border("a", {"c": "peer"})
    for clone in (one, other)[:: 1 - 2 * first]:
        tell = a.ask("c/i", SECOND)
        answer = clone.on_ask("a", tell, b"", SECOND)
        assert answer is not None
        a.on_tell("c/i", answer, SECOND)
    assert ways(a, SECOND) == [] and a.counts["forked"] == 1
    assert one.outlived(a.ask("c/i", SECOND)) == 1  # and its gateway is told to go on as another life


def test_a_gateway_that_lost_its_disk_rises_above_the_life_that_is_remembered() -> None:
    a = border("a", {"c": "peer"})
    ask(a, border("c", {"a": "peer"}, [lent()], life=(5, 1)), SECOND)
    fresh = border("c", {"a": "peer"}, [lent()], now=2 * SECOND, life=(1, 2))
    ask(a, fresh, 2 * SECOND)
    ask(a, fresh, 3 * SECOND)
    assert fresh.life == (6, 2) and ways(a, 3 * SECOND) == [("c",)]


def test_the_newest_states_join_in_any_order() -> None:
    found = [
        Newest(1, 1, b"x", 1), Newest(1, 1, b"y", 2), Newest(1, 1, b"", 1), Newest(1, 2, b"z", 1),
        Newest(2, 1, b"x", 1),
    ]  # fmt: skip
    for rows in permutations(found, 3):
        assert later(later(rows[0], rows[1]), rows[2]) == later(rows[0], later(rows[2], rows[1]))
        assert later(rows[0], rows[0]) == rows[0]
    assert later(found[0], found[1]).forked and not later(found[0], found[2]).sum


def chain_of(*sites: str, **told: object) -> Chain:
    """An offer of the last site's, passed on by the others to a."""
    owner = border(sites[-1], {}, [lent(**told)], gateway=f"{sites[-1]}/i")  # type: ignore[arg-type]
    chain = Chain(owner._own["x"][1])
    way = [*reversed(sites), "a"]
    for at in range(1, len(way) - 1):
        hop = Hop(way[at], way[at + 1], Relation.CUSTOMER, Relation.PEER, 1, chain.terms)
        chain = passed_on(chain, hop, SIGN[way[at]])
    return chain


def judged(chain: Chain, teller: str = "b", relation: str = "peer") -> str:
    """Why a does not believe it; "" if it does."""
    a = border("a", {"b": "peer", "c": "peer", "d": "peer", teller: relation})
    teller_border = border(teller, {"a": {"peer": "peer", "provider": "customer"}[relation]})
    tell = told(a, teller_border, SECOND)
    tell = msgspec.structs.replace(tell, chains=(chain,), ages_ms=(0,), have=b"h")
    assert a.on_tell(f"{teller}/i", tell, SECOND)
    return "".join(a.peers[f"{teller}/i"].refused)


def hop(chain: Chain, site: str = "b", to: str = "a", **more: object) -> Chain:
    told: dict[str, object] = {
        "learnt": Relation.CUSTOMER, "told": Relation.PEER, "cost": 1, "terms": chain.terms, **more,
    }  # fmt: skip
    return passed_on(chain, Hop(site, to, **told), SIGN[site])  # type: ignore[arg-type]


def test_a_hostile_partner_is_seen_through() -> None:
    good, nobody = chain_of("c"), chain_of("c", terms=terms(None, [], ["look"], left_ms=LEFT_MS))
    assert judged(hop(good)) == ""
    assert judged(hop(nobody)) == "NOT_PASSED_ON"
    assert judged(hop(hop(good, "b", "d"), "d", "b")) == "ADDRESSEE"
    assert judged(hop(hop(good, "d", "b", terms=nobody.terms))) == "NOT_PASSED_ON"
    assert judged(hop(hop(good, "d", "b", terms=nobody.terms), terms=good.terms)) == "NOT_PASSED_ON"
    narrowed = terms(["a", "b"], None, ["look"], left_ms=LEFT_MS)
    assert judged(hop(hop(good, "d", "b", terms=narrowed))) == ""
    assert judged(hop(hop(good, "d", "b", terms=narrowed), terms=good.terms)) == "WIDENED"
    assert judged(hop(good, terms=ANYTHING)) == "WIDENED"
    assert judged(hop(good, learnt=Relation.PEER)) == "VALLEY"
    assert judged(hop(good, told=Relation.CUSTOMER)) == "ROLE"
    assert judged(hop(good, "c", "a")) == "ADDRESSEE"
    assert judged(hop(hop(good, "b", "a"), "a", "b")) == "ADDRESSEE"
    assert judged(hop(chain_of("a"))) == "LOOP"
    forged = msgspec.structs.replace(good.offer, version=9, terms=ANYTHING)
    assert judged(hop(Chain(signed(forged, SIGN["b"])))) == "SIGNATURE"
    taken = hop(good)
    swapped = (msgspec.structs.replace(taken.hops[0], terms=narrowed),)
    assert judged(Chain(good.offer, swapped)) == "SIGNATURE"
    loose = terms(None, None, ["look"], left_ms=LEFT_MS)
    spelt = msgspec.structs.replace(loose, classes=("look", "look"))
    assert judged(hop(good, terms=spelt)) == "SPELLING"
    assert judged(hop(good, terms=msgspec.structs.replace(loose, to=()))) == "EMPTY"
    assert all(REMEDY[why].endswith(".") for why in Why)


def test_a_site_without_a_key_here_is_believed_by_nobody() -> None:
    a, b = border("a", {"b": "peer"}), border("b", {"a": "peer"})
    tell = told(a, b, SECOND)
    tell = msgspec.structs.replace(tell, chains=(hop(chain_of("c")),), ages_ms=(0,), have=b"h")
    a.on_tell("b/i", tell, SECOND)
    assert a.peers["b/i"].refused == {"UNKNOWN_SITE": 1}


def test_a_partner_that_sees_the_relation_otherwise_is_not_heard() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "customer"}, [lent()])
    ask(a, c, SECOND)
    assert ways(a, SECOND) == [] and not a.peers["c/i"].agrees


def test_an_offer_may_be_passed_on_to_those_it_is_not_used_by() -> None:
    c = border("c", {"b": "peer"}, [lent(terms=terms(["a"], ["b"], ["look"], left_ms=LEFT_MS))])
    b = border("b", {"a": "customer", "c": "peer"})
    a = border("a", {"b": "provider", "c": "peer"})
    ask(b, c, SECOND)
    ask(a, b, SECOND)
    assert ways(b, SECOND) == [] and ways(a, SECOND) == [("b", "c")]
    assert ways(b, SECOND, "a") == [("c",)]  # on its way
    assert ways(b, SECOND, "c") == [] and ways(b, SECOND, "a", "c") == []


def test_what_comes_from_peers_and_providers_goes_to_customers_alone() -> None:
    c = border("c", {"b": "peer"}, [lent()])
    for relation, known in (("customer", 1), ("peer", 0), ("provider", 0)):
        b = border("b", {"a": relation, "c": "peer"})
        a = border(
            "a", {"b": {"customer": "provider", "provider": "customer"}.get(relation, "peer"), "c": "peer"}
        )
        ask(b, c, SECOND)
        ask(a, b, SECOND)
        assert len(a.peers["b/i"].held) == known
        assert len(ways(b, SECOND, "a")) == known


def test_own_customers_first_then_cost_then_hops() -> None:
    a = border("a", {"b": "peer", "c": "customer", "d": "peer"})
    ask(a, border("c", {"a": "provider"}, [lent(cost=50)]), SECOND)
    ask(a, border("b", {"a": "peer"}, [lent(cost=3)]), SECOND)
    ask(a, border("d", {"a": "peer"}, [lent(cost=3)]), SECOND)
    assert ways(a, SECOND) == [("c",)]
    a.drop("c/i")
    assert ways(a, SECOND) == [("b",), ("d",)]  # equal ones together


def test_a_table_does_not_depend_on_the_order_of_what_it_is_made_of() -> None:
    a = border("a", {"b": "peer", "c": "customer", "d": "peer"})
    for other, what in (("b", "peer"), ("c", "provider"), ("d", "peer")):
        ask(a, border(other, {"a": what}, [lent("x"), lent("y", 2)]), SECOND)
    held = [item for peer in a.peers.values() for item in peer.held.values()]
    assert len({settle(rows, a.partners, {}) for rows in permutations(held)}) == 1


def test_what_comes_and_goes_is_damped_and_used_only_if_there_is_nothing_else() -> None:
    a = border("a", {"b": "peer", "c": "customer"})
    c = border("c", {"a": "provider"}, [lent()])
    ask(a, border("b", {"a": "peer"}, [lent()]), SECOND)
    for step in range(5):
        now = SECOND + step * 200_000
        c.configure(c.partners.values(), [lent(cost=2 + step)], now)
        ask(a, c, now)
    assert ways(a, 2 * SECOND) == [("b",)] and a.counts["damped"] == 1
    a.drop("b/i")
    assert ways(a, 2 * SECOND) == [("c",)]
    for second in range(3, 30):
        a.on_time(second * SECOND)
        ask(a, c, second * SECOND)
    assert next(iter(a.table)).state is None


def test_a_gateway_that_falls_silent_comes_last_and_goes_after_a_while() -> None:
    a = border("a", {"b": "peer", "c": "customer"})
    ask(a, border("c", {"a": "provider"}, [lent()]), SECOND)
    ask(a, border("b", {"a": "peer"}, [lent()]), SECOND)
    assert ways(a, SECOND) == [("c",)]
    a.silent("c/i", 2 * SECOND)
    assert ways(a, 2 * SECOND) == [("b",)]
    a.silent("b/i", 2 * SECOND)
    assert ways(a, 2 * SECOND) == [("c",)]  # nothing better is there
    a.on_time(7 * SECOND)
    assert a.table == () and ways(a, 7 * SECOND) == []


def test_an_end_by_the_clock_is_told_ahead_of_it() -> None:
    c = border("c", {"a": "peer"})
    offer = lent()
    c.configure(c.partners.values(), [offer.__class__("x", offer.terms, until_us=12 * SECOND)], SECOND)
    a = border("a", {"c": "peer"})
    for second in range(1, 12):
        c.on_time(second * SECOND)
        ask(a, c, second * SECOND)
    assert ways(a, 11 * SECOND) == [("c",)] and ways(a, 12 * SECOND) == []
    assert c.offers(11 * SECOND) and not c.offers(12 * SECOND)


def test_a_circle_of_providers_is_named_and_nothing_is_passed_on_in_it() -> None:
    assert circle({"a": frozenset("b"), "b": frozenset("c"), "c": frozenset("a")}) == ["a", "b", "c"]
    assert circle({"a": frozenset("bc"), "b": frozenset("c"), "c": frozenset()}) == []
    b = border("b", {"a": "customer", "c": "provider"})
    c = border("c", {"b": "customer", "a": "provider"}, [lent()])
    a = border("a", {"b": "provider", "c": "customer"})
    ask(b, c, SECOND)
    # c tells that a provides for it; that c and it itself provide for whom, b knows.
    assert b.circle == ["a", "b", "c"] and ways(b, SECOND) == [("c",)]
    ask(a, b, SECOND)
    assert a.circle == ["a", "b", "c"] and ways(a, SECOND) == []


def test_a_sites_owner_may_not_fill_the_memory_of_others() -> None:
    with pytest.raises(ValueError, match="offers"):
        border("c", {}, [lent(f"x{number}") for number in range(OWN_MOST + 1)])
    a = border("a", {"c": "peer"})
    a._ids["c"] = 4_096
    ask(a, border("c", {"a": "peer"}, [lent()]), SECOND)
    assert a.peers["c/i"].refused == {"TOO_MANY": 1}


def test_a_digest_of_content_leaves_out_the_stamp_alone() -> None:
    offer = chain_of("c").offer
    assert content(offer) == content(msgspec.structs.replace(offer, stamp_ms=9, signature=b""))
    for change in ({"cost": 9}, {"version": 9}, {"birth": 9}, {"terms": ANYTHING}):
        assert content(offer) != content(msgspec.structs.replace(offer, **change))


def test_of_thousands_of_forged_chains_a_few_are_looked_at() -> None:
    good = chain_of("c")
    forged = [Chain(msgspec.structs.replace(good.offer, name=f"x{number}")) for number in range(2_000)]
    looked = []

    def verify(site: str, signature: bytes, data: bytes) -> bool:
        looked.append(site)
        return VERIFY(site, signature, data)

    found = prove([good, *forged], verify, lambda site: True, ())
    assert found[0] is None and set(found[1:]) == {Why.SIGNATURE} and len(looked) == 1 + FORGED_MOST
