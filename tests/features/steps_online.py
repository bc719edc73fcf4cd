"""Sending online requests, and counting the faults that struck them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor

from tests.features.strikes import online_runners
from tests.features.world import World

from testbed.fleet.caller import CallerAnswer

PARALLEL = 4


def ask_many(
    world: World,
    contents: Sequence[str],
    tokens: int,
    *,
    stream: bool,
    headers: Mapping[str, str] | None = None,
) -> list[CallerAnswer]:
    """Ask questions through the gateways in turn, a few at a time; answers in their order."""
    model = world.fleet.scenario.online_model()
    names = world.fleet.gateway_names()

    def ask(number: int) -> CallerAnswer:
        caller = world.caller(names[number % len(names)])
        return caller.chat(model, contents[number], tokens, stream=stream, headers=headers)

    with ThreadPoolExecutor(PARALLEL) as pool:
        return list(pool.map(ask, range(len(contents))))


def faults_struck(world: World) -> int:
    """Return how many answers of the online service's runners a fault has struck so far."""
    return sum(world.fleet.struck_faults(runner) for runner in online_runners(world))
