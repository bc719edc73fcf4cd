"""Choice of the back end of a request."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from leverjunction.proxy.balancer import MAX_LOAD_AGE_S, Balancer
from leverjunction.proxy.dialect import EngineLoad, PromptPart
from leverjunction.proxy.prompt import Prompt
from leverjunction.registry import RunnerRecord, RunnerState

SHORT = Prompt((), 500)


def records(count: int, **states: RunnerState) -> list[RunnerRecord]:
    return [
        RunnerRecord(
            runner_id=f"i{number}",
            service="s",
            address="a:1",
            zone="z",
            slots=8,
            state=states.get(f"i{number}", RunnerState.READY),
        )
        for number in range(count)
    ]


def balancer(count: int, seed: int = 1, **states: RunnerState) -> Balancer:
    made = Balancer("z", Random(seed))
    made.replace(records(count, **states))
    return made


def chosen(made: Balancer, prompt: Prompt, times: int = 60, now_s: float = 1.0) -> Counter[str]:
    """Count the choices; nothing is sent, so the loads stay the same."""
    choices = [made.choose("s", prompt, (), now_s) for _ in range(times)]
    return Counter(choice.runner.record.runner_id for choice in choices if choice is not None)


def long_prompt(key: str) -> Prompt:
    return Prompt((PromptPart(key, 20_000), PromptPart("own", 4_000)), 24_000)


def test_long_prompts_use_a_third_of_the_back_ends_and_short_ones_the_others() -> None:
    made = balancer(6)
    long_prompt_ids = set()
    for number in range(40):
        long_prompt_ids |= set(chosen(made, long_prompt(f"part-{number}"), times=3))
    assert len(long_prompt_ids) == 2
    assert not long_prompt_ids & set(chosen(made, SHORT))


def test_all_gateways_choose_the_same_back_ends_for_long_prompts() -> None:
    """Short requests waited behind long ones at any back end, since gateways don't coordinate."""
    seen = [set(chosen(balancer(6, seed), long_prompt("part"))) for seed in range(5)]
    assert all(item == seen[0] and len(item) == 1 for item in seen)


def test_a_service_without_recent_long_prompts_uses_all_back_ends() -> None:
    made = balancer(6)
    assert len(chosen(made, SHORT)) == 6
    chosen(made, long_prompt("part"), times=1)
    assert len(chosen(made, SHORT)) == 4
    assert len(chosen(made, SHORT, now_s=60.0)) == 6


def test_with_two_back_ends_none_is_set_apart_for_long_prompts() -> None:
    made = balancer(2)
    assert len(chosen(made, SHORT)) == 2


def test_long_prompt_runners_take_short_prompts_when_the_others_are_loaded() -> None:
    made = balancer(6)
    long_prompt_ids = {key for n in range(40) for key in chosen(made, long_prompt(f"part-{n}"), 3)}
    for runner in made.available("s"):
        if runner.record.runner_id not in long_prompt_ids:
            runner.report_load(EngineLoad(running=8, waiting=0, slots=8), 1.0)
    assert set(chosen(made, SHORT)) <= long_prompt_ids


def test_a_back_end_with_a_pending_prefill_is_avoided() -> None:
    made = balancer(2)
    made.available("s")[0].pending_prefill_ms = 300.0
    assert set(chosen(made, SHORT)) == {"i1"}


def test_leaving_silent_and_already_tried_back_ends_are_not_chosen() -> None:
    made = balancer(3, i0=RunnerState.LEAVING, i1=RunnerState.SILENT)
    assert set(chosen(made, SHORT)) == {"i2"}
    assert made.choose("s", SHORT, {"i2"}, 1.0) is None
    assert made.choose("other", SHORT, (), 1.0) is None


def test_silent_back_ends_are_used_if_none_is_ready() -> None:
    made = balancer(2, i0=RunnerState.SILENT, i1=RunnerState.LEAVING)
    assert set(chosen(made, SHORT)) == {"i0"}


def test_a_failed_back_end_is_ejected_for_a_while_unless_all_are() -> None:
    made = balancer(2)
    failing = made.available("s")[0]
    made.failed(failing, 1.0)
    assert set(chosen(made, SHORT, now_s=1.4)) == {"i1"}
    made.failed(made.available("s")[1], 1.0)
    assert len(chosen(made, SHORT, now_s=1.4)) == 2


def test_replacing_the_records_keeps_the_state_of_remaining_back_ends() -> None:
    made = balancer(2)
    made.available("s")[0].own_requests = 3
    made.replace(records(3))
    assert [runner.own_requests for runner in made.available("s")] == [3, 0, 0]


def test_the_load_of_other_gateways_decays_and_the_own_load_does_not() -> None:
    runner = balancer(1).available("s")[0]
    runner.own_requests = 2
    runner.report_load(EngineLoad(running=6, waiting=1, slots=8), 10.0)
    assert runner.load(10.0) == 7
    assert 2 < runner.load(15.0) < 4


def test_a_back_end_that_failed_once_is_tried_again_later() -> None:
    made = balancer(3)
    failing = made.available("s")[0]
    made.failed(failing, 1.0)
    assert "i0" not in chosen(made, SHORT, now_s=3.0)
    assert "i0" in chosen(made, SHORT, now_s=30.0)


def test_a_late_response_does_not_end_an_ejection() -> None:
    made = balancer(3)
    failing = made.available("s")[0]
    made.failed(failing, 1.0)
    made.succeeded(failing, 1.1)
    assert failing.ejected_until_s > 1.1
    assert "i0" not in chosen(made, SHORT, now_s=1.2)


def test_a_back_end_that_fails_every_other_request_is_ejected_for_longer_each_time() -> None:
    made = balancer(3)
    failing = made.available("s")[0]
    now_s = 1.0
    pauses_s = []
    for _ in range(5):
        made.failed(failing, now_s)
        pauses_s.append(failing.ejected_until_s - now_s)
        now_s = failing.ejected_until_s
        made.succeeded(failing, now_s)
    assert pauses_s[0] == 0.5
    assert pauses_s[-1] > pauses_s[0]
    assert max(pauses_s) <= 8.0
    assert failing.suspicion(now_s) > 0.4


def test_loads_sent_by_the_leader_of_batch_take_precedence_over_those_in_responses() -> None:
    """A back end full of batch work, which yields, looked as loaded as one full of requests."""
    made = balancer(2)
    first, second = made.available("s")
    made.set_other_loads({"i0": 1, "i1": 8, "gone": 3}, 1.0)
    first.report_load(EngineLoad(running=8, waiting=0, slots=8), 1.1)
    second.report_load(EngineLoad(running=8, waiting=0, slots=8), 1.1)
    assert (first.load(1.1) < 2, second.load(1.1) > 7) == (True, True)
    assert set(chosen(made, SHORT, now_s=1.1)) == {"i0"}
    first.report_load(EngineLoad(running=8, waiting=0, slots=8), 1.6)
    assert first.load(1.6) == 8


@pytest.mark.parametrize(
    ("loads", "queue", "backlog"),
    [((3, 8), -4, 0), ((8, 9), 1, 1), ((12, 11), 4, 7)],
    ids=["a free slot", "all taken", "overload"],
)
def test_the_load_estimate_is_that_of_the_least_loaded_back_end(
    loads: tuple[int, int], queue: float, backlog: float
) -> None:
    made = balancer(2)
    assert made.estimate_load("s", 1.0) is None, "no request has finished yet"
    made.record_run("s", 0.8)
    assert made.estimate_load("s", 1.0) is None, "no load is known"
    for runner, load in zip(made.available("s"), loads, strict=True):
        runner.report_load(EngineLoad(running=load, waiting=0, slots=8), 1.0)
    estimate = made.estimate_load("s", 1.0)
    assert estimate is not None
    assert (estimate.queue, estimate.backlog) == (queue, backlog)
    assert (estimate.slots, estimate.capacity, estimate.run_s) == (8, 16, 0.8)
    assert made.estimate_load("s", 1.0 + MAX_LOAD_AGE_S + 0.1) is None


def test_unreported_requests_of_other_gateways_are_allowed_for() -> None:
    """Each of 165 gateways sent to the back end that had been the least loaded one 0.2 s before."""
    made = balancer(10)
    made.record_run("s", 0.7)
    made.set_other_loads({f"i{number}": 4 + (number > 0) for number in range(10)}, 1.0, lag_s=0.1)
    fresh = chosen(made, SHORT, times=400, now_s=1.0)
    late = chosen(made, SHORT, times=400, now_s=1.2)
    assert late["i0"] < fresh["i0"] < 200
    assert len(late) == 10


def test_a_sample_of_very_many_back_ends_includes_the_preferred_one() -> None:
    made = balancer(1200)
    choice = made.choose("s", SHORT, (), 1.0)
    assert choice is not None
    assert choice.candidates == 1200
    prompt = Prompt((PromptPart("k", 6_000), PromptPart("own", 100)), 6_100)
    choices = chosen(made, prompt, times=20)
    assert len(choices) == 1, "always the same one, though a random sample seldom contains it"
