"""Which advertisements one border accepts, and the routes that follow, case by case."""

from __future__ import annotations

from itertools import permutations

import msgspec
import pytest

from sorrelfront.decisions.sites.offers import (
    MAX_FORGED,
    REMEDY,
    Chain,
    Hop,
    OfferId,
    Relation,
    UnusedReason,
    add_hop,
    content_digest,
    provider_cycle,
    sign_offer,
    verify_chains,
)
from sorrelfront.decisions.sites.routes import MAX_OWN_OFFERS, OfferState, build_table, join_states
from sorrelfront.decisions.sites.terms import ANYTHING, terms
from tests.sites.borders import LEFT_MS, SECOND, SIGN, VERIFY, ask, border, lent, told, ways

ID = OfferId("c", "c/i", "x")


def test_a_lifetime_starts_when_the_query_is_sent() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    ask(a, c, SECOND, came=4 * SECOND)  # the three seconds in transit count
    assert ways(a, 10 * SECOND) == [("c",)]
    assert ways(a, 11 * SECOND) == []  # also without a call of `on_timer`


def test_an_answer_to_an_earlier_query_is_ignored() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    first = told(a, c, SECOND)
    told(a, c, 2 * SECOND)
    assert not a.on_advertisement("c/i", first, 2 * SECOND) and ways(a, 2 * SECOND) == []


def test_an_unchanged_advertisement_renews_lifetimes_without_chains() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    ask(a, c, SECOND)
    tell = ask(a, c, 3 * SECOND)
    assert tell.chains is None
    assert ways(a, 12 * SECOND) == [("c",)] and ways(a, 13 * SECOND) == []


def test_a_withdrawal_outweighs_sites_that_still_advertise_the_offer() -> None:
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
    assert ways(a, 2 * SECOND) == [] and [route.state for route in a.table] == [UnusedReason.WITHDRAWN]


def test_an_offer_that_its_gateway_does_not_advertise_is_refused_from_others() -> None:
    c = border("c", {"a": "peer", "b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "peer"})
    ask(b, c, SECOND)
    narrowed = lent(terms=terms(["b"], [], ["look"], left_ms=LEFT_MS))
    c.configure(c.partners.values(), [narrowed], 2 * SECOND)
    ask(a, c, 2 * SECOND)
    ask(a, b, 2 * SECOND)  # b has not received the change yet
    assert ways(a, 2 * SECOND) == []


def test_narrowed_terms_invalidate_the_wider_ones_on_every_path() -> None:
    c = border("c", {"a": "peer", "b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "peer"})
    ask(b, c, SECOND)
    ask(a, b, SECOND)
    ask(a, c, SECOND)
    c.configure(c.partners.values(), [lent(terms=terms(None, [], ["look"], left_ms=LEFT_MS))], 2 * SECOND)
    ask(a, c, 2 * SECOND)
    assert {route.sites for route in a.table if route.state is None} == {("c",)}
    assert next(route for route in a.table if route.sites == ("b", "c")).state is UnusedReason.OLD


def test_a_delayed_advertisement_withdraws_nothing() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "peer"}, [lent()])
    ask(a, c, SECOND)
    c.on_timer(5 * SECOND)  # a new stamp, so that chains are sent
    ask(a, c, 5 * SECOND, came=25 * SECOND)
    assert a.peers["c/i"].refused == {"EXPIRED": 1}
    c.on_timer(26 * SECOND)
    ask(a, c, 26 * SECOND)
    assert ways(a, 26 * SECOND) == [("c",)] and c.incarnation == (1, 7)  # and no new incarnation is requested


def test_a_replayed_message_starts_no_new_lifetime() -> None:
    c = border("c", {"b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "provider"})
    ask(b, c, SECOND)
    first = ask(a, b, SECOND)
    again = told(a, b, 8 * SECOND)
    old = msgspec.structs.replace(again, chains=first.chains, ages_ms=(0,), digest=b"other")
    a.on_advertisement("b/i", old, 8 * SECOND)
    assert ways(a, 10 * SECOND) == [("b", "c")] and ways(a, 11 * SECOND) == []


def test_stamps_that_were_held_back_keep_their_age() -> None:
    c = border("c", {"b": "provider"}, [lent()])
    b = border("b", {"a": "peer", "c": "customer"})
    a = border("a", {"b": "peer", "c": "provider"})
    kept = []
    for second in range(1, 20, 3):
        c.on_timer(second * SECOND)
        ask(b, c, second * SECOND)
        tell = told(a, b, second * SECOND)
        if second in (1, 19):
            a.on_advertisement("b/i", tell, second * SECOND)  # the freshest stamp has been received
        kept.append(tell)
    late = told(a, b, 40 * SECOND)
    replayed = msgspec.structs.replace(late, chains=kept[3].chains, ages_ms=(0,), digest=b"other")
    a.on_advertisement("b/i", replayed, 40 * SECOND)
    assert ways(a, 40 * SECOND) == [] and a.peers["b/i"].refused == {"EXPIRED": 1}


@pytest.mark.parametrize("first", [0, 1])
def test_neither_content_of_a_fork_is_used_in_any_order_of_arrival(first: int) -> None:
    one = border("c", {"a": "peer"}, [lent(cost=1)])
    other = border("c", {"a": "peer"}, [lent(cost=2)])
    a = border("a", {"c": "peer"})
    for clone in (one, other)[:: 1 - 2 * first]:
        tell = a.query("c/i", SECOND)
        answer = clone.on_query("a", tell, b"", SECOND)
        assert answer is not None
        a.on_advertisement("c/i", answer, SECOND)
    assert ways(a, SECOND) == [] and a.counts["forked"] == 1
    assert (
        one.epoch_to_exceed(a.query("c/i", SECOND)) == 1
    )  # its gateway has to continue as another incarnation


def test_a_gateway_that_lost_its_disk_raises_its_epoch_above_the_remembered_one() -> None:
    a = border("a", {"c": "peer"})
    ask(a, border("c", {"a": "peer"}, [lent()], life=(5, 1)), SECOND)
    fresh = border("c", {"a": "peer"}, [lent()], now=2 * SECOND, life=(1, 2))
    ask(a, fresh, 2 * SECOND)
    ask(a, fresh, 3 * SECOND)
    assert fresh.incarnation == (6, 2) and ways(a, 3 * SECOND) == [("c",)]


def test_joining_states_is_commutative_associative_and_idempotent() -> None:
    found = [
        OfferState(1, 1, b"x", 1),
        OfferState(1, 1, b"y", 2),
        OfferState(1, 1, b"", 1),
        OfferState(1, 2, b"z", 1),
        OfferState(2, 1, b"x", 1),
    ]
    for rows in permutations(found, 3):
        assert join_states(join_states(rows[0], rows[1]), rows[2]) == join_states(
            rows[0], join_states(rows[2], rows[1])
        )
        assert join_states(rows[0], rows[0]) == rows[0]
    assert join_states(found[0], found[1]).forked and not join_states(found[0], found[2]).content


def chain_of(*sites: str, **told: object) -> Chain:
    """Return an offer of the last site, re-advertised by the others to a."""
    owner = border(sites[-1], {}, [lent(**told)], gateway=f"{sites[-1]}/i")  # type: ignore[arg-type]
    chain = Chain(owner._own["x"][1])
    way = [*reversed(sites), "a"]
    for at in range(1, len(way) - 1):
        hop = Hop(way[at], way[at + 1], Relation.CUSTOMER, Relation.PEER, 1, chain.terms)
        chain = add_hop(chain, hop, SIGN[way[at]])
    return chain


def refusal(chain: Chain, teller: str = "b", relation: str = "peer") -> str:
    """Return why a refuses the chain; "" if it accepts it."""
    a = border("a", {"b": "peer", "c": "peer", "d": "peer", teller: relation})
    teller_border = border(teller, {"a": {"peer": "peer", "provider": "customer"}[relation]})
    tell = told(a, teller_border, SECOND)
    tell = msgspec.structs.replace(tell, chains=(chain,), ages_ms=(0,), digest=b"h")
    assert a.on_advertisement(f"{teller}/i", tell, SECOND)
    return "".join(a.peers[f"{teller}/i"].refused)


def hop(chain: Chain, site: str = "b", to: str = "a", **more: object) -> Chain:
    told: dict[str, object] = {
        "import_relation": Relation.CUSTOMER, "export_relation": Relation.PEER,
        "cost": 1, "terms": chain.terms, **more,
    }  # fmt: skip
    return add_hop(chain, Hop(site, to, **told), SIGN[site])  # type: ignore[arg-type]


def test_manipulated_chains_are_refused() -> None:
    good, nobody = chain_of("c"), chain_of("c", terms=terms(None, [], ["look"], left_ms=LEFT_MS))
    assert refusal(hop(good)) == ""
    assert refusal(hop(nobody)) == "NOT_PASSED_ON"
    assert refusal(hop(hop(good, "b", "d"), "d", "b")) == "ADDRESSEE"
    assert refusal(hop(hop(good, "d", "b", terms=nobody.terms))) == "NOT_PASSED_ON"
    assert refusal(hop(hop(good, "d", "b", terms=nobody.terms), terms=good.terms)) == "NOT_PASSED_ON"
    narrowed = terms(["a", "b"], None, ["look"], left_ms=LEFT_MS)
    assert refusal(hop(hop(good, "d", "b", terms=narrowed))) == ""
    assert refusal(hop(hop(good, "d", "b", terms=narrowed), terms=good.terms)) == "WIDENED"
    assert refusal(hop(good, terms=ANYTHING)) == "WIDENED"
    assert refusal(hop(good, import_relation=Relation.PEER)) == "VALLEY"
    assert refusal(hop(good, export_relation=Relation.CUSTOMER)) == "ROLE"
    assert refusal(hop(good, "c", "a")) == "ADDRESSEE"
    assert refusal(hop(hop(good, "b", "a"), "a", "b")) == "ADDRESSEE"
    assert refusal(hop(chain_of("a"))) == "LOOP"
    forged = msgspec.structs.replace(good.offer, version=9, terms=ANYTHING)
    assert refusal(hop(Chain(sign_offer(forged, SIGN["b"])))) == "SIGNATURE"
    taken = hop(good)
    swapped = (msgspec.structs.replace(taken.hops[0], terms=narrowed),)
    assert refusal(Chain(good.offer, swapped)) == "SIGNATURE"
    loose = terms(None, None, ["look"], left_ms=LEFT_MS)
    spelt = msgspec.structs.replace(loose, classes=("look", "look"))
    assert refusal(hop(good, terms=spelt)) == "SPELLING"
    assert refusal(hop(good, terms=msgspec.structs.replace(loose, to=()))) == "EMPTY"
    assert all(REMEDY[why].endswith(".") for why in UnusedReason)


def test_a_chain_through_a_site_without_a_known_key_is_refused() -> None:
    a, b = border("a", {"b": "peer"}), border("b", {"a": "peer"})
    tell = told(a, b, SECOND)
    tell = msgspec.structs.replace(tell, chains=(hop(chain_of("c")),), ages_ms=(0,), digest=b"h")
    a.on_advertisement("b/i", tell, SECOND)
    assert a.peers["b/i"].refused == {"UNKNOWN_SITE": 1}


def test_a_partner_that_configures_another_relation_is_refused() -> None:
    a, c = border("a", {"c": "peer"}), border("c", {"a": "customer"}, [lent()])
    ask(a, c, SECOND)
    assert ways(a, SECOND) == [] and not a.peers["c/i"].agrees


def test_an_offer_may_be_re_advertised_by_a_site_that_may_not_use_it() -> None:
    c = border("c", {"b": "peer"}, [lent(terms=terms(["a"], ["b"], ["look"], left_ms=LEFT_MS))])
    b = border("b", {"a": "customer", "c": "peer"})
    a = border("a", {"b": "provider", "c": "peer"})
    ask(b, c, SECOND)
    ask(a, b, SECOND)
    assert ways(b, SECOND) == [] and ways(a, SECOND) == [("b", "c")]
    assert ways(b, SECOND, "a") == [("c",)]  # forwarded for a
    assert ways(b, SECOND, "c") == [] and ways(b, SECOND, "a", "c") == []


def test_offers_of_peers_and_providers_are_re_advertised_to_customers_only() -> None:
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


def test_customers_are_preferred_then_cost_then_hops() -> None:
    a = border("a", {"b": "peer", "c": "customer", "d": "peer"})
    ask(a, border("c", {"a": "provider"}, [lent(cost=50)]), SECOND)
    ask(a, border("b", {"a": "peer"}, [lent(cost=3)]), SECOND)
    ask(a, border("d", {"a": "peer"}, [lent(cost=3)]), SECOND)
    assert ways(a, SECOND) == [("c",)]
    a.remove_peer("c/i")
    assert ways(a, SECOND) == [("b",), ("d",)]  # routes of equal rank together


def test_the_table_does_not_depend_on_the_order_of_its_inputs() -> None:
    a = border("a", {"b": "peer", "c": "customer", "d": "peer"})
    for other, what in (("b", "peer"), ("c", "provider"), ("d", "peer")):
        ask(a, border(other, {"a": what}, [lent("x"), lent("y", 2)]), SECOND)
    held = [item for peer in a.peers.values() for item in peer.held.values()]
    assert len({build_table(rows, a.partners, {}) for rows in permutations(held)}) == 1


def test_a_flapping_route_is_damped_and_used_only_as_a_last_resort() -> None:
    a = border("a", {"b": "peer", "c": "customer"})
    c = border("c", {"a": "provider"}, [lent()])
    ask(a, border("b", {"a": "peer"}, [lent()]), SECOND)
    for step in range(5):
        now = SECOND + step * 200_000
        c.configure(c.partners.values(), [lent(cost=2 + step)], now)
        ask(a, c, now)
    assert ways(a, 2 * SECOND) == [("b",)] and a.counts["damped"] == 1
    a.remove_peer("b/i")
    assert ways(a, 2 * SECOND) == [("c",)]
    for second in range(3, 30):
        a.on_timer(second * SECOND)
        ask(a, c, second * SECOND)
    assert next(iter(a.table)).state is None


def test_routes_of_a_silent_gateway_are_a_last_resort_and_then_removed() -> None:
    a = border("a", {"b": "peer", "c": "customer"})
    ask(a, border("c", {"a": "provider"}, [lent()]), SECOND)
    ask(a, border("b", {"a": "peer"}, [lent()]), SECOND)
    assert ways(a, SECOND) == [("c",)]
    a.on_silence("c/i", 2 * SECOND)
    assert ways(a, 2 * SECOND) == [("b",)]
    a.on_silence("b/i", 2 * SECOND)
    assert ways(a, 2 * SECOND) == [("c",)]  # there is nothing better
    a.on_timer(7 * SECOND)
    assert a.table == () and ways(a, 7 * SECOND) == []


def test_lifetimes_are_shortened_ahead_of_a_configured_end() -> None:
    c = border("c", {"a": "peer"})
    offer = lent()
    c.configure(c.partners.values(), [offer.__class__("x", offer.terms, until_us=12 * SECOND)], SECOND)
    a = border("a", {"c": "peer"})
    for second in range(1, 12):
        c.on_timer(second * SECOND)
        ask(a, c, second * SECOND)
    assert ways(a, 11 * SECOND) == [("c",)] and ways(a, 12 * SECOND) == []
    assert c.offers(11 * SECOND) and not c.offers(12 * SECOND)


def test_a_cycle_of_providers_is_named_and_stops_re_advertisement() -> None:
    assert provider_cycle({"a": frozenset("b"), "b": frozenset("c"), "c": frozenset("a")}) == ["a", "b", "c"]
    assert provider_cycle({"a": frozenset("bc"), "b": frozenset("c"), "c": frozenset()}) == []
    b = border("b", {"a": "customer", "c": "provider"})
    c = border("c", {"b": "customer", "a": "provider"}, [lent()])
    a = border("a", {"b": "provider", "c": "customer"})
    ask(b, c, SECOND)
    # c reports that a is its provider; the other two relations are in b's own configuration.
    assert b.provider_cycle == ["a", "b", "c"] and ways(b, SECOND) == [("c",)]
    ask(a, b, SECOND)
    assert a.provider_cycle == ["a", "b", "c"] and ways(a, SECOND) == []


def test_the_number_of_offers_remembered_per_owner_is_bounded() -> None:
    with pytest.raises(ValueError, match="offers"):
        border("c", {}, [lent(f"x{number}") for number in range(MAX_OWN_OFFERS + 1)])
    a = border("a", {"c": "peer"})
    a._id_counts["c"] = 4_096
    ask(a, border("c", {"a": "peer"}, [lent()]), SECOND)
    assert a.peers["c/i"].refused == {"TOO_MANY": 1}


def test_the_content_digest_leaves_out_only_stamp_and_signature() -> None:
    offer = chain_of("c").offer
    assert content_digest(offer) == content_digest(msgspec.structs.replace(offer, stamp_ms=9, signature=b""))
    for change in ({"cost": 9}, {"version": 9}, {"boot_id": 9}, {"terms": ANYTHING}):
        assert content_digest(offer) != content_digest(msgspec.structs.replace(offer, **change))


def test_only_a_few_of_thousands_of_forged_chains_are_verified() -> None:
    good = chain_of("c")
    forged = [Chain(msgspec.structs.replace(good.offer, name=f"x{number}")) for number in range(2_000)]
    verified = []

    def verify(site: str, signature: bytes, data: bytes) -> bool:
        verified.append(site)
        return VERIFY(site, signature, data)

    found = verify_chains([good, *forged], verify, lambda site: True, ())
    assert found[0] is None and set(found[1:]) == {UnusedReason.SIGNATURE} and len(verified) == 1 + MAX_FORGED
