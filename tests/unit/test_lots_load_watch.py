"""The availability that is logged for a service agrees with the decisions about its runs."""

from __future__ import annotations

import asyncio
import time
from random import Random

import pytest

from leverjunction.lots.item_status import Reason, ServiceAvailability
from leverjunction.lots.load_watch import LoadWatch
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.registry.records import RunnerRecord
from testbed.routed import SERVICE

SLOTS = 8


def make_watch(count: int) -> tuple[LoadWatch, Balancer]:
    balancer = Balancer("z", Random(1))
    balancer.replace(
        RunnerRecord(runner_id=f"i{n}", service=SERVICE, address="a:1", zone="z", slots=SLOTS)
        for n in range(count)
    )
    sender = Sender(RunnerPool(), balancer, PlatformDialect())
    return LoadWatch(sender, balancer, "z", lambda: None), balancer


def observe(
    sampled: list[int], ejected: list[int], running: int
) -> tuple[ServiceAvailability, bool]:
    """Return availability and choice for three back ends, some sampled and some ejected."""

    async def scenario() -> tuple[ServiceAvailability, bool]:
        watch, balancer = make_watch(3)
        now_s = asyncio.get_running_loop().time()
        for number, runner in enumerate(balancer.available(SERVICE)):
            if number in sampled:
                watch.capacity_at(runner).record_sample(running, 0, now_s)
            if number in ejected:
                runner.ejected_until_s = now_s + 5.0
        return watch.availability(SERVICE), watch.pick_runner(SERVICE) is not None

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("sampled", "ejected", "running", "reason"),
    [
        ([0, 1, 2], [], 0, Reason.WAITS_TURN),
        ([0, 1, 2], [0, 1], 0, Reason.WAITS_TURN),
        ([0, 1, 2], [0, 1, 2], 0, Reason.EJECTED),
        ([0, 1], [0, 1], 0, Reason.NOT_READ),
        ([], [], 0, Reason.NOT_READ),
        ([0, 1, 2], [], SLOTS, Reason.NO_ROOM),
    ],
)
def test_the_availability_agrees_with_the_choice(
    sampled: list[int], ejected: list[int], running: int, reason: Reason
) -> None:
    availability, has_seat = observe(sampled, ejected, running)
    assert availability.reason() is reason
    assert has_seat is (availability.startable_runs > 0)
    assert (availability.known, availability.not_ejected) == (3, 3 - len(ejected))


def test_a_service_that_is_not_known_has_no_back_ends() -> None:
    async def scenario() -> ServiceAvailability:
        return make_watch(1)[0].availability("other")

    assert asyncio.run(scenario()).reason() is Reason.NO_BACK_END


def test_the_availability_of_a_thousand_back_ends_is_found_quickly() -> None:
    async def scenario() -> float:
        watch, balancer = make_watch(1200)
        now_s = asyncio.get_running_loop().time()
        for runner in balancer.available(SERVICE):
            watch.capacity_at(runner).record_sample(0, 0, now_s)
            runner.ejected_until_s = now_s + 5.0 * (runner.record.runner_id.endswith("1"))
        started_s = time.thread_time()
        assert watch.availability(SERVICE).startable_runs > 0
        return time.thread_time() - started_s

    took_s = asyncio.run(scenario())
    print(f"availability of 1,200 back ends: {took_s * 1000:.1f} ms")
    assert took_s < 0.05
