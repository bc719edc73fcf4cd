"""The leader's sums of the online request counts that gateways report."""

from __future__ import annotations

import pytest

from leverjunction.lots.gateway_loads import (
    BROADCAST_BYTES_PER_S,
    BROADCAST_DATAGRAMS_PER_S,
    BROADCAST_INTERVAL_S,
    GATEWAY_TIMEOUT_S,
    UPDATES_PER_S,
    GatewayLoads,
)
from leverjunction.proxy.online_loads import OnlineLoads

GATEWAY = ("10.0.0.1", 7)


def load_update(gateway: str, whole: bool = False, held: int = 0, **runners: int) -> OnlineLoads:
    return OnlineLoads(gateway=gateway, whole=whole, runners=runners, held={"s": held})


@pytest.fixture
def loads() -> GatewayLoads:
    loads = GatewayLoads()
    loads.apply_update(load_update("a", whole=True, held=1, i1=2, i2=1), 1, GATEWAY, 10.0)
    loads.apply_update(load_update("b", i1=3), 1, GATEWAY, 10.0)
    return loads


def test_counts_of_all_gateways_are_summed(loads: GatewayLoads) -> None:
    assert (loads.at_back_end("i1"), loads.at_back_end("i2"), loads.at_back_end("i3")) == (5, 1, 0)
    assert (loads.waiting("s"), loads.gateway_count) == (1, 2)


def test_partial_update_keeps_counts_of_other_back_ends(loads: GatewayLoads) -> None:
    loads.apply_update(load_update("a", i1=0), 1, GATEWAY, 10.1)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2"), loads.waiting("s")) == (3, 1, 0)


def test_full_update_corrects_a_lost_change(loads: GatewayLoads) -> None:
    loads.apply_update(load_update("a", whole=True, i2=4), 1, GATEWAY, 10.5)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2")) == (3, 4)


def test_silent_gateway_expires(loads: GatewayLoads) -> None:
    loads.apply_update(load_update("b", i1=3), 1, GATEWAY, 11.0)
    loads.expire(10.0 + GATEWAY_TIMEOUT_S + 0.1)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2"), loads.gateway_count) == (3, 0, 1)


def test_update_from_before_a_restart_is_ignored(loads: GatewayLoads) -> None:
    loads.apply_update(load_update("a", i1=1), 2, GATEWAY, 10.2)
    assert (loads.at_back_end("i1"), loads.at_back_end("i2")) == (4, 0)
    loads.apply_update(load_update("a", i1=9), 1, GATEWAY, 10.3)
    assert loads.at_back_end("i1") == 4


def test_update_interval_grows_with_the_number_of_gateways(loads: GatewayLoads) -> None:
    assert loads.update_interval_s() == 2 / UPDATES_PER_S
    for number in range(338):
        loads.apply_update(load_update(f"g{number}"), 1, GATEWAY, 10.0)
    assert loads.update_interval_s() == pytest.approx(0.34)


def test_addresses_of_all_live_gateways_are_returned(loads: GatewayLoads) -> None:
    loads.apply_update(load_update("b", i1=3), 1, ("10.0.0.2", 7), 10.1)
    assert loads.addresses() == [GATEWAY, ("10.0.0.2", 7)]


@pytest.mark.parametrize(
    ("gateways", "datagram_bytes", "pause_s"),
    [
        (2, 100, BROADCAST_INTERVAL_S),
        (165, 300, BROADCAST_INTERVAL_S),
        (340, 300, 340 / BROADCAST_DATAGRAMS_PER_S),
        (340, 1900, 1900 / BROADCAST_BYTES_PER_S),
    ],
    ids=["few", "hundreds", "the sender's limit", "the receivers' limit"],
)
def test_broadcast_rate_is_bounded(gateways: int, datagram_bytes: int, pause_s: float) -> None:
    loads = GatewayLoads()
    for number in range(gateways):
        loads.apply_update(load_update(f"g{number}"), 1, GATEWAY, 10.0)
    assert loads.broadcast_interval_s(datagram_bytes) == pytest.approx(pause_s)
