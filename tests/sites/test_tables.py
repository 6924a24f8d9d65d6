"""Validation of [site], [partners.NAME] and [offers.NAME]: all errors are reported with their locations."""

from __future__ import annotations

import pytest

from sorrelfront.daemon.configuration import BadDocument, instance_table, parse
from tests.daemon.test_configuration import GOOD, PATH, faults

KEYS = ["ed25519:" + letter * 43 + "=" for letter in "ABC"]
FLEET = '[fleet]\nname = "f"\nlisten = "127.0.0.1:7000"\n'
SITE = '[site]\nname = "bole"\nkey_file = "site.key"\nlisten = "127.0.0.1:7100"\ngateway = "127.0.0.1:7200"\n'
PARTNER = f'[partners.hawassa]\nkeys = ["{KEYS[0]}"]\nat = ["127.0.0.2:7100"]\n'
OFFER = '[offers.stock]\nclasses = ["look"]\nto = ["members"]\n'
WHOLE = GOOD + FLEET + SITE + PARTNER + OFFER


def test_a_good_file_gives_each_instance_its_own_ports() -> None:
    document = parse((WHOLE + "until = 2030-01-01T00:00:00Z\nonward = ['hawassa']\n").encode(), PATH)
    site = instance_table(document, 1)["site"]
    assert (site["listen"], site["gateway"]) == ("127.0.0.1:7101", "127.0.0.1:7201")
    assert site["offers"]["stock"]["until"] == 1_893_456_000
    assert site["partners"]["hawassa"]["relation"] == "peer" and site["key_file"] == "/etc/site.key"
    assert instance_table(parse((GOOD + FLEET).encode(), PATH), 0)["site"] is None


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (GOOD + SITE, "[site]: needs [fleet]"),
        (GOOD + FLEET + PARTNER, "[partners]: goes with [site] only"),
        (WHOLE.replace('"bole"', '"Bole"'), "[site] name: is not a site's name"),
        (WHOLE.replace(":7200", ":7101"), ""),
        (WHOLE.replace(":7200", ":8080"), "[site] gateway: with the ports that follow is that of list"),
        (WHOLE.replace("127.0.0.1:7100", "10.0.0.1:7100"), "[site] listen: is no loopback address"),
        (WHOLE.replace(KEYS[0], "ed25519:x"), "[partners.hawassa] keys: has"),
        (WHOLE.replace("[partners.hawassa]", "[partners.bole]"), "[partners.bole]: is this site itself"),
        (WHOLE.replace("at = [", 'gateways = []\nat = ["127.0.0.3:1", '), ""),
        (WHOLE.replace("at = [", 'gateways = ["127.0.0.3:1", "127.0.0.3:2"]\nat = ['), "must have as many"),
        (WHOLE + PARTNER.replace("hawassa", "mekelle"), "has one of partners.hawassa"),
        (WHOLE.replace('["look"]', '["lock"]'), "[offers.stock] classes: has 'lock', which is not in"),
        (WHOLE.replace('["members"]', '["adama"]'), "[offers.stock] to: has 'adama', which is not in"),
        (WHOLE + "lifetime_ms = 7000\n", "[offers.stock] lifetime_ms: must be at least 8 times"),
        (WHOLE + "until = 2030-01-01\n", "[offers.stock] until: is not a date and time with its zone"),
        (WHOLE + "rate = 0\n", "[offers.stock] rate: must be at least 1"),
        (WHOLE.replace("[offers.stock]", "[offers.stock]\nrat = 1"), "the nearest is 'rate'"),
    ],
)  # fmt: skip
def test_an_error_is_reported_with_its_location(text: str, said: str) -> None:
    if not said:
        with pytest.raises(BadDocument) if ":7101" in text else _NoError():
            parse(text.replace("gateways = []\n", "").encode(), PATH)
            if ":7101" in text:
                parse(text.replace("[daemon]", "[daemon]\ninstances = 3").encode(), PATH)
        return
    assert any(said in line for line in faults(text)), faults(text)


class _NoError:
    def __enter__(self) -> None:
        pass

    def __exit__(self, *exc_info: object) -> None:
        pass


def test_a_cycle_of_providers_is_refused_and_its_sites_are_named() -> None:
    text = GOOD + FLEET + SITE
    text += f'[partners.hawassa]\nkeys = ["{KEYS[0]}"]\nrelation = "provider"\nproviders = ["mekelle"]\n'
    good = text + f'[partners.mekelle]\nkeys = ["{KEYS[1]}"]\nrelation = "peer"\n'
    parse(good.encode(), PATH)
    wrong = good.replace('relation = "peer"', 'relation = "customer"')
    assert "bole -> hawassa -> mekelle -> bole" in "\n".join(faults(wrong))
