"""Promise: a request that may not be repeated runs at most once."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.world import FINAL_STATES, World

from testbed.fleet.caller import CallerAnswer

pytestmark = pytest.mark.fleet

TOKENS = 32

scenarios("at_most_once.feature")


@when(parsers.parse("a request that may not be repeated is sent through every gateway {manner}"))
def sent_everywhere(world: World, manner: str) -> None:
    model = world.fleet.scenario.online_model()
    headers = {"X-Repeat": "never", "Idempotency-Key": world.label}

    def ask(gateway: str) -> CallerAnswer:
        caller = world.caller(gateway)
        return caller.chat(model, f"{world.label} once", TOKENS, stream=False, headers=headers)

    names = world.fleet.gateway_names()
    with ThreadPoolExecutor(len(names) if manner == "at once" else 1) as pool:
        world.answers = list(pool.map(ask, names))


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
