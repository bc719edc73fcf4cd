"""Online requests that gateways tell of, as the leader sums them up."""

from __future__ import annotations

import pytest

from leverjunction.lots.gateway_loads import (
    SHARE_INTERVAL_S,
    SHARED_BYTES_PER_S,
    SHARES_PER_S,
    SILENT_S,
    WORDS_PER_S,
    GatewayLoads,
)
from leverjunction.proxy.online_loads import OnlineLoads

GATEWAY = ("10.0.0.1", 7)


def word(gateway: str, whole: bool = False, held: int = 0, **runners: int) -> OnlineLoads:
    return OnlineLoads(gateway=gateway, whole=whole, runners=runners, held={"s": held})


@pytest.fixture
def loads() -> GatewayLoads:
    made = GatewayLoads()
    made.take(word("a", whole=True, held=1, i1=2, i2=1), 1, GATEWAY, 10.0)
    made.take(word("b", i1=3), 1, GATEWAY, 10.0)
    return made


def test_counts_of_all_gateways_add_up(loads: GatewayLoads) -> None:
    assert (loads.at_back_end("i1"), loads.at_back_end("i2"), loads.at_back_end("i3")) == (5, 1, 0)
    assert (loads.waiting("s"), loads.gateway_count) == (1, 2)


def test_a_change_leaves_other_back_ends_as_they_were(loads: GatewayLoads) -> None:
    loads.take(word("a", i1=0), 1, GATEWAY, 10.1)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2"), loads.waiting("s")) == (3, 1, 0)


def test_a_whole_word_makes_a_lost_change_good(loads: GatewayLoads) -> None:
    loads.take(word("a", whole=True, i2=4), 1, GATEWAY, 10.5)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2")) == (3, 4)


def test_a_silent_gateway_is_not_counted(loads: GatewayLoads) -> None:
    loads.take(word("b", i1=3), 1, GATEWAY, 11.0)
    loads.expire(10.0 + SILENT_S + 0.1)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2"), loads.gateway_count) == (3, 0, 1)


def test_a_word_from_before_a_restart_changes_nothing(loads: GatewayLoads) -> None:
    loads.take(word("a", i1=1), 2, GATEWAY, 10.2)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2")) == (4, 0)
    loads.take(word("a", i1=9), 1, GATEWAY, 10.3)
    assert loads.at_back_end("i1") == 4


def test_many_gateways_tell_less_often(loads: GatewayLoads) -> None:
    assert loads.update_interval_s() == 2 / WORDS_PER_S
    for number in range(338):
        loads.take(word(f"g{number}"), 1, GATEWAY, 10.0)
    assert loads.update_interval_s() == pytest.approx(0.34)


def test_each_gateway_that_is_heard_is_told(loads: GatewayLoads) -> None:
    loads.take(word("b", i1=3), 1, ("10.0.0.2", 7), 10.1)
    assert loads.addresses() == [GATEWAY, ("10.0.0.2", 7)]


@pytest.mark.parametrize(
    ("gateways", "word_bytes", "pause_s"),
    [
        (2, 100, SHARE_INTERVAL_S),
        (165, 300, SHARE_INTERVAL_S),
        (340, 300, 340 / SHARES_PER_S),
        (340, 1900, 1900 / SHARED_BYTES_PER_S),
    ],
    ids=["few", "hundreds", "the sender's limit", "the receivers' limit"],
)
def test_what_is_told_is_bounded(gateways: int, word_bytes: int, pause_s: float) -> None:
    loads = GatewayLoads()
    for number in range(gateways):
        loads.take(word(f"g{number}"), 1, GATEWAY, 10.0)
    assert loads.share_interval_s(word_bytes) == pytest.approx(pause_s)
