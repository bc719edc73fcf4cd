"""Promise: a planned stop cuts no request."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.features.world import WAIT_S, World

from testbed.fleet.caller import CallerAnswer, expected_text

pytestmark = pytest.mark.fleet

LONG_TOKENS = 500
SHORT_TOKENS = 8

scenarios("planned_stop.feature")


@given(parsers.parse("{count:d} long streams are open at {gateway}"))
def long_streams(world: World, count: int, gateway: str) -> None:
    model = world.fleet.scenario.online_model()
    caller = world.caller(gateway)
    contents = [f"{world.label} long {number}" for number in range(count)]
    pool = ThreadPoolExecutor(count)
    streams = [pool.submit(caller.chat, model, text, LONG_TOKENS) for text in contents]
    pool.shutdown(wait=False)
    world.notes["streams"] = dict(zip(contents, streams, strict=True))
    running = f"{world.label} long"
    world.wait(lambda: len(world.fleet.executions(running)) == count, "all streams run")


@when(parsers.parse("{process} gets {signal}"))
def stopped(world: World, process: str, signal: str) -> None:
    world.notes["process"] = process
    if signal == "SIGKILL":
        world.fleet.kill(process)
    else:
        world.fleet.terminate(process)


@then("it exits with status 0")
def exits(world: World) -> None:
    process = world.fleet.process(world.notes["process"])
    assert process.wait(WAIT_S) == 0


@then(parsers.parse("{count:d} of the long streams come whole"))
def streams_whole(world: World, count: int) -> None:
    model = world.fleet.scenario.online_model()
    streams: dict[str, Future[CallerAnswer]] = world.notes["streams"]
    answers = {content: stream.result(WAIT_S) for content, stream in streams.items()}
    whole = [
        content
        for content, answer in answers.items()
        if answer.whole and answer.text == expected_text(model, content, LONG_TOKENS)
    ]
    assert len(whole) == count, answers


@then(parsers.parse("a new request to {gateway} does not run"))
def refused_at(world: World, gateway: str) -> None:
    content = f"{world.label} afterwards"
    model = world.fleet.scenario.online_model()
    answer = world.caller(gateway).chat(model, content, SHORT_TOKENS)
    assert answer.status != 200, answer
    assert not world.fleet.executions(content)
