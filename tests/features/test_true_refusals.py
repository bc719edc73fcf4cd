"""Promise: a refusal that says "not run" is true."""

from __future__ import annotations

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.steps_online import ask_many
from tests.features.world import World

from testbed.fleet.caller import CHAT_PATH, CallerAnswer

pytestmark = pytest.mark.fleet

TOKENS = 8

scenarios("true_refusals.feature")


@when(parsers.parse("a request is sent that {defect}"))
def defective_request(world: World, defect: str) -> None:
    gateway = world.fleet.gateway_names()[0]
    model = world.fleet.scenario.online_model()
    content = f"{world.label} defective"
    if defect == "is not JSON":
        world.answers = [_send_raw(world, gateway, f'{{"model": "{model}", {content}'.encode())]
        return
    key = "no-such-key" if defect == "has an unknown key" else ""
    model = "no-such-model" if defect == "names an unknown model" else model
    world.answers = [world.caller(gateway, key).chat(model, content, TOKENS)]


def _send_raw(world: World, gateway: str, body: bytes) -> CallerAnswer:
    headers = {"Authorization": f"Bearer {world.fleet.scenario.online_key}"}
    url = f"http://{world.fleet.planned(gateway).address}{CHAT_PATH}"
    response = world.fleet.http.request("POST", url, body=body, headers=headers)
    return CallerAnswer(status=response.status, error=response.json()["error"])


@then(parsers.parse("it is refused with status {status:d} and execution not_run"))
def refused(world: World, status: int) -> None:
    (answer,) = world.answers
    assert answer.status == status, answer
    assert answer.execution == "not_run", answer


@then("no runner has run it")
def nobody_ran_it(world: World) -> None:
    assert not world.fleet.executions(world.label)


@when(parsers.parse("{count:d} requests are sent that may not be repeated"))
def unrepeatable_requests(world: World, count: int) -> None:
    world.notes["contents"] = [f"{world.label} once {number}" for number in range(count)]
    world.answers = [
        answer
        for content in world.notes["contents"]
        for answer in ask_many(
            world,
            [content],
            TOKENS,
            stream=False,
            headers={"X-Repeat": "never", "Idempotency-Key": content.replace(" ", "-")},
        )
    ]


@then("no refusal of a request that has run says not_run")
def refusals_are_true(world: World) -> None:
    for content, answer in zip(world.notes["contents"], world.answers, strict=True):
        executions = world.fleet.executions(content)
        assert len(executions) <= 1, executions
        if executions and answer.status != 200:
            assert answer.execution in ("unknown", "ran"), (answer, executions)
