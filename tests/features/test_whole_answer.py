"""Promise: a caller gets the whole answer to its own request."""

from __future__ import annotations

import threading

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.steps_online import ask_many
from tests.features.world import World

from testbed.fleet.caller import expected_text

pytestmark = pytest.mark.fleet

LONG_TOKENS = 400
ASKED_TOKENS = 16

scenarios("whole_answer.feature")


@when(parsers.parse("{count:d} {kind} requests are sent"))
def requests_are_sent(world: World, count: int, kind: str) -> None:
    model = world.fleet.scenario.online_model()
    contents = [f"{world.label} asked {number}" for number in range(count)]
    world.answers = ask_many(world, contents, ASKED_TOKENS, stream=kind == "streaming")
    world.notes["expected"] = [expected_text(model, text, ASKED_TOKENS) for text in contents]


@then("every online request is answered whole or refused, never with another's answer")
def answered_or_refused(world: World) -> None:
    for answer, text in zip(world.answers, world.notes["expected"], strict=True):
        if answer.whole:
            assert answer.text == text, answer
        else:
            assert answer.error.get("step"), answer
            assert text.startswith(answer.text), answer


@when("a long answer is being streamed")
def long_answer(world: World) -> None:
    def ask() -> None:
        caller = world.caller(world.fleet.gateway_names()[0])
        model = world.fleet.scenario.online_model()
        world.notes["answer"] = caller.chat(model, f"{world.label} long", LONG_TOKENS)

    world.notes["thread"] = threading.Thread(target=ask)
    world.notes["thread"].start()
    world.wait(lambda: bool(world.fleet.executions(world.label)), "the long answer runs")


@when(parsers.parse("the runner that gives it is {fault}"))
def its_runner_fails(world: World, fault: str) -> None:
    (execution,) = world.fleet.executions(world.label)
    assert not execution.finish, "the answer was over before the fault"
    {"killed": world.fleet.kill, "frozen": world.fleet.freeze}[fault](execution.runner_id)


@then("the long answer comes whole")
def long_answer_whole(world: World) -> None:
    world.notes["thread"].join()
    answer = world.notes["answer"]
    model = world.fleet.scenario.online_model()
    assert answer.text == expected_text(model, f"{world.label} long", LONG_TOKENS), answer
    assert answer.whole, answer
    assert len(world.fleet.executions(world.label)) > 1, "the fault came too late to matter"
