"""The controller that decides how much batch a runner holds."""

from __future__ import annotations

import msgspec
import pytest

from leverjunction.backends.types import LoadReport
from leverjunction.batch.harvest import (
    NOTICE_HOLD_S,
    REFILL_DELAY_S,
    REPORT_STALE_S,
    HarvestController,
    HarvestTargets,
)
from leverjunction.batch.step_time import StepTimeModel

BASE_MS = 10.0
PER_SEQUENCE_MS = 0.4
PREFILL_MS = 8.0
TICK_S = 0.05


def report(online: int = 0, batch: int = 0) -> LoadReport:
    running = online + batch
    return LoadReport(
        as_of_ms=0,
        incarnation=1,
        running=running,
        waiting=0,
        batch_running=batch,
        batch_waiting=0,
        kv_blocks_used=0,
        kv_blocks_total=1,
        step_ms=BASE_MS + PER_SEQUENCE_MS * running if running else 0.0,
    )


def controller(interference: float = 0.0, floor: int = 0, most: int = 32) -> HarvestController:
    targets = HarvestTargets(interference=interference, batch_floor=floor, batch_max_running=most)
    made = HarvestController(targets, _known_model())
    made.observe(report(), 0.0)
    return made


def _known_model() -> StepTimeModel:
    model = StepTimeModel()
    for number in range(200):
        sequences, has_prefill = number % 20, number % 3 == 0
        step_ms = BASE_MS + PER_SEQUENCE_MS * sequences + PREFILL_MS * has_prefill
        model.observe(sequences, step_ms, has_prefill=has_prefill, with_online=False)
    return model


def fill(made: HarvestController, now_s: float = 0.0, prompt_tokens: int = 0) -> int:
    """Start all that may be started and return how many that was."""
    started = 0
    while made.decide(now_s).start:
        made.started(started, now_s, prompt_tokens=prompt_tokens)
        started += 1
    return started


def test_step_time_is_learned_from_readings() -> None:
    model = _known_model()
    assert model.base_ms == pytest.approx(BASE_MS, rel=0.05)
    assert model.per_sequence_ms == pytest.approx(PER_SEQUENCE_MS, rel=0.1)
    assert model.prefill_ms == pytest.approx(PREFILL_MS, rel=0.05)


def test_batch_is_never_believed_to_be_free() -> None:
    # A runner that is always full of prompts shows no cost of a sequence: seen in the harm
    # experiment, where the controller then parked nothing beside online work.
    model = StepTimeModel()
    for sequences, step_ms in [(20, 22.5), (31, 21.9), (32, 21.2)] * 30:
        model.observe(sequences, step_ms, has_prefill=True, with_online=False)
    assert model.per_sequence_ms >= 0.009 * model.base_ms
    assert model.predict_ms(2) < 22.0


def test_fills_an_idle_runner_and_parks_on_the_first_arrival() -> None:
    made = controller()
    count = fill(made)
    assert count > 5
    made.online_arrived(1.0)
    decision = made.decide(1.0)
    assert sorted(decision.park) == list(range(count))
    assert (decision.allowed, decision.start, made.held) == (0, 0, 0)
    assert made.decide(1.01).park == []


def test_refills_within_a_second_of_the_end_but_not_at_once() -> None:
    made = controller()
    made.online_arrived(0.0)
    made.online_finished(0.5)
    assert made.decide(0.5 + REFILL_DELAY_S / 2).start == 0
    assert made.decide(0.5 + REFILL_DELAY_S).start > 0
    made.notice_arrived(1.0)
    made.observe(report(online=1), 1.3)
    assert made.decide(1.0 + NOTICE_HOLD_S).start == 0
    made.observe(report(), 1.6)
    assert made.decide(1.6 + REFILL_DELAY_S).start > 0


@pytest.mark.parametrize(
    ("interference", "floor", "kept"), [(0.0, 0, 0), (0.0, 3, 3), (0.4, 0, 5), (0.4, 8, 8)]
)
def test_target_and_floor_bound_what_decodes_beside_online(
    interference: float, floor: int, kept: int
) -> None:
    made = controller(interference, floor)
    count = fill(made)
    made.online_arrived(1.0)
    decision = made.decide(1.0)
    assert decision.allowed == kept
    # The newest go first.
    assert sorted(decision.park) == list(range(kept, count))


def test_prompts_that_are_being_read_are_parked_even_below_the_floor() -> None:
    made = controller(floor=3)
    count = fill(made, prompt_tokens=100_000)
    made.online_arrived(1.0)
    assert len(made.decide(1.0).park) == count


def test_floor_is_not_starved_by_arrivals_that_never_end() -> None:
    made = controller(floor=2)
    made.online_arrived(0.0)
    started = 0
    for tick in range(int(600 / TICK_S)):
        now_s = tick * TICK_S
        made.observe(report(online=1), now_s)
        if made.decide(now_s).start:
            made.started(started, now_s)
            started += 1
        for request in range(started):
            made.ended(request)
    assert started >= 10


def test_prompts_are_rationed_beside_online_unless_the_target_covers_them() -> None:
    def starts(interference: float) -> int:
        made = controller(interference, floor=2)
        made.online_arrived(0.0)
        count = 0
        for tick in range(int(60 / TICK_S)):
            now_s = tick * TICK_S
            made.observe(report(online=1), now_s)
            for _ in range(made.decide(now_s).start):
                made.started(count, now_s, prompt_tokens=128)
                made.ended(count)
                count += 1
        return count

    assert starts(0.05) < starts(0.5) < starts(2.0)
    assert starts(0.05) <= 0.005 * 60_000 / BASE_MS
    # A target of 10% is far below a prompt step of 80%: such steps must stay out of the p99.
    assert starts(0.1) <= 0.0025 * 60_000 / BASE_MS
    assert starts(2.0) >= 600


def test_idle_time_without_decisions_earns_no_prompt_steps() -> None:
    made = controller(floor=2)
    made.observe(report(), 60.0)
    made.online_arrived(60.0)
    assert made.decide(60.0).start == 0


def test_idle_fill_grows_with_the_target() -> None:
    counts = [controller(interference).idle_capacity() for interference in (0.0, 0.05, 0.5)]
    assert counts == sorted(counts)
    assert counts[0] >= 1 and counts[-1] == 32


def test_nothing_starts_without_reports_and_lost_ends_are_forgotten() -> None:
    made = controller()
    assert made.decide(REPORT_STALE_S + 0.1).start == 0
    made.online_arrived(10.0)
    for tick in range(1, 40):
        made.observe(report(), 10.0 + tick * TICK_S)
    assert made.decide(12.0).start > 0


def test_requests_that_must_not_be_cancelled_are_not_parked() -> None:
    made = controller()
    made.started(1, 0.0, may_park=False)
    made.started(2, 0.0)
    made.online_arrived(1.0)
    assert made.decide(1.0).park == [2]


def test_targets_can_change_while_it_runs() -> None:
    made = controller()
    made.targets = msgspec.structs.replace(made.targets, batch_max_running=2)
    assert fill(made) == 2
