"""Fixtures and steps that all features share: one fleet a scenario, whole again for each test."""

from __future__ import annotations

import re
from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, then, when
from tests.features.fleet_pool import FleetPool
from tests.features.steps_online import faults_struck
from tests.features.strikes import STRIKES, lose_disk, online_runners, set_answer_faults, strike
from tests.features.world import FINAL_STATES, World

from testbed.fleet.caller import result_text
from testbed.fleet.health import is_repaired

DEFAULT_SCENARIO = "kilimo"
TRAFFIC_ANSWERS = 12


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the scenarios of one deployment after those of the other: each fleet starts once."""
    items.sort(key=_deployment)


def _deployment(item: pytest.Item) -> str:
    callspec = getattr(item, "callspec", None)
    example = callspec.params.get("_pytest_bdd_example", {}) if callspec else {}
    return str(example.get("scenario", DEFAULT_SCENARIO))


@pytest.fixture(scope="session")
def fleet_pool(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FleetPool]:
    """Give the session's fleets, and stop them at its end."""
    pool = FleetPool(tmp_path_factory)
    yield pool
    pool.stop()


@given(parsers.parse("a healthy {scenario} fleet"), target_fixture="world")
def healthy_fleet(fleet_pool: FleetPool, scenario: str) -> Iterator[World]:
    world = World(fleet_pool.healthy(scenario))
    yield world
    if world.traffic is not None:
        world.traffic.stop()
    fleet_pool.make_whole()
    _leave_nothing(world)


def _leave_nothing(world: World) -> None:
    """Leave no mark and no job behind that would disturb the next scenario."""
    drained = world.notes.pop("drained_path", "")
    if drained:
        world.operator.set(drained, [])
    if world.batch and world.job_now().get("status") not in FINAL_STATES:
        world.batch_callers()[0].cancel_job(world.batch["id"])


@given(parsers.parse("an accepted job of {count:d} items"))
def accepted_job(world: World, count: int) -> None:
    _submit(world, world.job_lines(count), {})


@given(parsers.parse("an accepted job of {count:d} items of {tokens:d} tokens"))
def accepted_job_of_long_items(world: World, count: int, tokens: int) -> None:
    _submit(world, world.job_lines(count, tokens), {})


@given(parsers.parse("an accepted job of {count:d} items that may not be repeated"))
def accepted_unrepeatable_job(world: World, count: int) -> None:
    _submit(world, world.job_lines(count), {"X-Repeat": "never"})


def _submit(world: World, lines: list[dict[str, object]], headers: dict[str, str]) -> None:
    world.notes["lines"] = lines
    world.batch = world.batch_callers()[0].submit_job(
        world.notes["lines"], idempotency_key=world.label, headers=headers
    )
    assert world.batch.get("status") in ("in_progress", "completed"), world.batch


@given("some of its items have run")
def some_items_have_run(world: World) -> None:
    world.wait(lambda: len(world.fleet.executions(world.label)) > 20, "items run")


@given("online traffic")
def online_traffic(world: World) -> None:
    world.traffic = world.fleet.online_traffic(world.label)
    world.traffic.__enter__()
    assert world.traffic.wait_more(TRAFFIC_ANSWERS), "the traffic gets no answers"


@when(parsers.re(f"(?P<fault>{'|'.join(map(re.escape, STRIKES))})"))
def fault_strikes(world: World, fault: str) -> None:
    strike(world, fault)


@when(parsers.parse("the next answers of every runner are {word}"))
def answers_go_wrong(world: World, word: str) -> None:
    set_answer_faults(world, word, online_runners(world))


@when(parsers.parse("the next answers of one runner are {word}"))
def answers_of_one_go_wrong(world: World, word: str) -> None:
    set_answer_faults(world, word, online_runners(world)[:1])


@then("the fault has struck")
def fault_has_struck(world: World) -> None:
    assert faults_struck(world) > 0


@when("the fault passes")
@then("the fault passes")
def fault_passes(world: World) -> None:
    world.fleet.recover()


@when(parsers.re(r"(?P<control>control-\d) loses its disk"))
def control_loses_disk(world: World, control: str) -> None:
    lose_disk(world, control)


@when("its repair is reported done")
def repair_reported(world: World) -> None:
    control, lost_ids = world.notes["wiped"], world.notes["lost_ids"]
    world.wait(lambda: is_repaired(world.fleet, control, lost_ids), f"{control} is repaired")


@given("the job completes")
@then("the job completes")
def job_completes(world: World) -> None:
    world.wait(
        lambda: world.job_now().get("status") == "completed",
        "the job is completed",
        lambda: str(world.job_now()),
    )


@then("every item has exactly one right result through every gateway")
def every_item_once(world: World) -> None:
    first: list[dict[str, object]] = []
    for caller in world.batch_callers():
        lines = caller.results(world.batch["id"])
        assert sorted(line["custom_id"] for line in lines) == sorted(world.contents)
        for line in lines:
            assert result_text(line) == world.expected_item(line["custom_id"]), line
        first = first or lines
        assert lines == first, "results differ between gateways"


@when(parsers.parse("{count:d} more answers have come"))
@then(parsers.parse("{count:d} more answers have come"))
def more_answers(world: World, count: int) -> None:
    assert world.traffic is not None
    assert world.traffic.wait_more(count), "the traffic stopped"


@then("no online request was cut")
def nothing_cut(world: World) -> None:
    assert world.traffic is not None
    world.traffic.stop()  # so that the last answers, too, are looked at
    sent = world.traffic.sent()
    cut = [request for request in sent if request.is_cut]
    assert not cut, cut[:3]
    refused = [request for request in sent if request.is_refused]
    begun = {execution.prompt for execution in world.fleet.executions(world.label)}
    untrue = [r for r in refused if any(r.content in prompt for prompt in begun)]
    assert not untrue, [(r.content, r.started_ms, r.answer.status) for r in untrue[:3]]


@then("every online request is answered whole")
def answered_whole(world: World) -> None:
    expected = world.notes["expected"]
    assert len(world.answers) == len(expected)
    for answer, text in zip(world.answers, expected, strict=True):
        assert answer.whole and answer.text == text, answer
