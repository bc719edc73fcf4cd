"""Promise: a request that may not be repeated runs at most once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.world import FINAL_STATES, World

from testbed.fleet.caller import CallerAnswer

pytestmark = pytest.mark.fleet

TOKENS = 32
LONG_TOKENS = 400

scenarios("at_most_once.feature")


def ask_once(world: World, gateway: str, tokens: int) -> CallerAnswer:
    """Send the scenario's request, which may not be repeated, through a gateway."""
    model = world.fleet.scenario.online_model()
    headers = {"X-Repeat": "never", "Idempotency-Key": world.label}
    content = f"{world.label} once"
    return world.caller(gateway).chat(model, content, tokens, stream=False, headers=headers)


@when(parsers.parse("a request that may not be repeated is sent through every gateway {manner}"))
def sent_everywhere(world: World, manner: str) -> None:
    names = world.fleet.gateway_names()
    with ThreadPoolExecutor(len(names) if manner == "at once" else 1) as pool:
        world.answers = list(pool.map(lambda name: ask_once(world, name, TOKENS), names))


@when("a request that may not be repeated runs through gateway-1")
def runs_through_first(world: World) -> Iterator[None]:
    pool = ThreadPoolExecutor(1)
    world.notes["first"] = pool.submit(ask_once, world, "gateway-1", LONG_TOKENS)
    world.wait(lambda: bool(world.fleet.executions(world.label)), "the request runs")
    yield
    pool.shutdown()


@when("it is sent again through the other gateways")
def resent_elsewhere(world: World) -> None:
    resend(world, world.fleet.gateway_names()[1:])


@when("it is sent again through every gateway")
def resent_everywhere(world: World) -> None:
    resend(world, world.fleet.gateway_names())


def resend(world: World, gateways: list[str]) -> None:
    """Send the request again through several gateways at once."""
    with ThreadPoolExecutor(len(gateways)) as pool:
        world.answers += pool.map(lambda name: ask_once(world, name, LONG_TOKENS), gateways)


@then("no resend says that it has not run")
def resends_are_true(world: World) -> None:
    untrue = [answer for answer in world.answers if answer.execution == "not_run"]
    assert not untrue, untrue


@then("it has run at most once")
def ran_at_most_once(world: World) -> None:
    executions = world.fleet.executions(world.label)
    assert len(executions) <= 1, executions


@then("all whole answers to it are the same")
def same_answers(world: World) -> None:
    texts = {answer.text for answer in world.answers if answer.whole}
    assert len(texts) <= 1, world.answers


@then("the job comes to its end")
def job_ends(world: World) -> None:
    world.wait(
        lambda: world.job_now().get("status") in FINAL_STATES,
        "the job is final",
        lambda: str(world.job_now()),
    )


@then("every item has run at most once")
def items_ran_at_most_once(world: World) -> None:
    runs = Counter(execution.prompt for execution in world.fleet.executions(world.label))
    repeated = {prompt: count for prompt, count in runs.items() if count > 1}
    assert not repeated, repeated
    lines = world.batch_callers()[0].results(world.batch["id"])
    assert sorted(line["custom_id"] for line in lines) == sorted(world.contents)
