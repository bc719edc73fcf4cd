"""Tests the share of all slots that one of many gateways uses in a burst beyond the slots."""

from __future__ import annotations

from random import Random

import pytest

from leverjunction.proxy.admission import AdmissionQueue, Decision, LoadEstimate, Ticket
from leverjunction.proxy.balancer import FLEET_LOAD_S, Balancer
from leverjunction.proxy.slot_share import (
    LULL_SHARE,
    SHARE_MARGIN,
    FleetLoad,
    held_for_want_of_slots,
)
from leverjunction.registry.records import RunnerRecord

SLOTS = 200


def fleet(**changes: float) -> FleetLoad:
    """A fleet of 40 back ends with 5 slots each; half of all requests are this gateway's."""
    fields = {
        "slots": SLOTS,
        "back_ends": 40,
        "running": SLOTS,
        "unreported": 0.0,
        "held": 0,
        "own_running": SLOTS // 2,
        "own_held": 0,
    }
    fields.update(changes)
    return FleetLoad(**fields)  # type: ignore[arg-type]


def test_with_free_slots_a_gateway_may_use_more_than_its_share() -> None:
    assert fleet(running=SLOTS / 2, own_running=SLOTS // 2).queue() <= 0


def test_slots_that_others_have_probably_taken_do_not_count_as_free() -> None:
    assert fleet(running=SLOTS - 20, own_running=SLOTS - 20, unreported=0.0).queue() <= 0
    assert fleet(running=SLOTS - 20, own_running=SLOTS - 20, unreported=20.0).queue() > 0


def test_with_all_slots_taken_a_gateway_uses_its_share_of_them() -> None:
    share = int(SHARE_MARGIN * SLOTS / 2)
    assert fleet(own_running=share - 1, own_held=SLOTS // 2 - share + 1).queue() <= 0
    assert fleet(own_running=share, own_held=SLOTS // 2 - share).queue() > 0


def test_the_share_follows_the_requests_that_wait() -> None:
    """A gateway with most of the held requests uses most of the slots that become free."""
    few = fleet(own_running=50, own_held=10, held=210)
    many = fleet(own_running=50, own_held=200, held=210)
    assert many.queue() < few.queue()


def test_a_gateway_without_requests_may_send_one_in_a_crowd() -> None:
    assert fleet(running=SLOTS * 2, own_running=0).queue() <= 5


class Gateways:
    """One gateway's balancer before two back ends of two slots each."""

    def __init__(self) -> None:
        self.balancer = Balancer("z", Random(1))
        self.balancer.replace(
            RunnerRecord(runner_id=key, service="s", address=f"{key}:1", zone="z", slots=2)
            for key in ("a", "b")
        )
        self.balancer.record_run("s", 1.0)

    def told(self, loads: dict[str, int], held: int, now_s: float) -> None:
        self.balancer.set_other_loads(loads, now_s)
        self.balancer.set_held({"s": held}, now_s)

    def estimate(self, now_s: float) -> LoadEstimate:
        estimate = self.balancer.estimate_load("s", now_s)
        assert estimate is not None
        return estimate


def test_one_back_end_that_seems_free_does_not_count_for_all_gateways() -> None:
    gateways = Gateways()
    gateways.told({"a": 6, "b": 1}, held=20, now_s=10.0)
    assert gateways.estimate(10.0).queue > 0
    assert gateways.estimate(10.0).backlog == pytest.approx(4 + 20)


def test_without_news_of_all_gateways_the_least_loaded_back_end_decides() -> None:
    gateways = Gateways()
    gateways.told({"a": 6, "b": 1}, held=20, now_s=10.0)
    assert gateways.estimate(10.0 + FLEET_LOAD_S + 0.05).queue <= 0


def test_a_lull_counts_that_came_while_no_request_did() -> None:
    """Symptom: 13 of 1,000 requests of a burst were refused at once at gateways that had seen none
    in the lull before it."""
    gateways = Gateways()
    queue = AdmissionQueue(0.0)
    gateways.told({"a": 1, "b": int(4 * LULL_SHARE) - 1}, held=0, now_s=9.0)
    gateways.told({"a": 6, "b": 6}, held=0, now_s=10.0)
    ticket = Ticket(10.0, 10.3, 14.0, 0.02)
    assert queue.admit(ticket, gateways.estimate(10.0), 10.0) is Decision.HOLD
    without = AdmissionQueue(0.0)
    gateways.balancer.set_held({}, -9.0)
    late = Ticket(20.0, 20.3, 24.0, 0.02)
    gateways.told({"a": 6, "b": 6}, held=0, now_s=20.0)
    assert without.admit(late, gateways.estimate(20.0), 20.0) is Decision.REFUSE


@pytest.mark.parametrize(("running", "yields"), [(0, 30), (170, 30), (190, 0), (400, 0)])
def test_batch_leaves_slots_only_where_online_requests_do_not_take_all(
    running: int, yields: int
) -> None:
    """Symptom: in bursts beyond the slots, batch left slots that no gateway used."""
    assert held_for_want_of_slots(30, running, SLOTS) == yields
