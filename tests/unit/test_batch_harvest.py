"""Tests of the controller that decides how many batch requests a runner holds."""

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


def load_report(online: int = 0, batch: int = 0) -> LoadReport:
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


def make_controller(
    interference: float = 0.0, floor: int = 0, maximum: int = 32
) -> HarvestController:
    targets = HarvestTargets(
        interference=interference, batch_floor=floor, batch_max_running=maximum
    )
    controller = HarvestController(targets, _known_model())
    controller.observe(load_report(), 0.0)
    return controller


def _known_model() -> StepTimeModel:
    model = StepTimeModel()
    for number in range(200):
        sequences, has_prefill = number % 20, number % 3 == 0
        step_ms = BASE_MS + PER_SEQUENCE_MS * sequences + PREFILL_MS * has_prefill
        model.observe(sequences, step_ms, has_prefill=has_prefill, with_online=False)
    return model


def fill(controller: HarvestController, now_s: float = 0.0, prompt_tokens: int = 0) -> int:
    """Start as many requests as the controller allows, and return their number."""
    started = 0
    while controller.decide(now_s).start:
        controller.started(started, now_s, prompt_tokens=prompt_tokens)
        started += 1
    return started


def test_step_time_model_converges_to_the_true_costs() -> None:
    model = _known_model()
    assert model.base_ms == pytest.approx(BASE_MS, rel=0.05)
    assert model.per_sequence_ms == pytest.approx(PER_SEQUENCE_MS, rel=0.1)
    assert model.prefill_ms == pytest.approx(PREFILL_MS, rel=0.05)


def test_estimated_cost_of_a_sequence_has_a_lower_bound() -> None:
    # The readings of a runner that is always full of prompts do not show the cost of a sequence.
    # Without the bound, the controller then parked nothing in the harm experiment while online
    # requests were running.
    model = StepTimeModel()
    for sequences, step_ms in [(20, 22.5), (31, 21.9), (32, 21.2)] * 30:
        model.observe(sequences, step_ms, has_prefill=True, with_online=False)
    assert model.per_sequence_ms >= 0.009 * model.base_ms
    assert model.predict_ms(2) < 22.0


def test_idle_runner_is_filled_and_parked_on_the_first_online_arrival() -> None:
    controller = make_controller()
    count = fill(controller)
    assert count > 5
    controller.online_arrived(1.0)
    decision = controller.decide(1.0)
    assert sorted(decision.park) == list(range(count))
    assert (decision.allowed, decision.start, controller.held) == (0, 0, 0)
    assert controller.decide(1.01).park == []


def test_refills_shortly_after_the_last_online_request_but_not_immediately() -> None:
    controller = make_controller()
    controller.online_arrived(0.0)
    controller.online_finished(0.5)
    assert controller.decide(0.5 + REFILL_DELAY_S / 2).start == 0
    assert controller.decide(0.5 + REFILL_DELAY_S).start > 0
    controller.notice_arrived(1.0)
    controller.observe(load_report(online=1), 1.3)
    assert controller.decide(1.0 + NOTICE_HOLD_S).start == 0
    controller.observe(load_report(), 1.6)
    assert controller.decide(1.6 + REFILL_DELAY_S).start > 0


@pytest.mark.parametrize(
    ("interference", "floor", "kept"), [(0.0, 0, 0), (0.0, 3, 3), (0.4, 0, 5), (0.4, 8, 8)]
)
def test_target_and_floor_limit_the_decoding_requests_while_online_requests_run(
    interference: float, floor: int, kept: int
) -> None:
    controller = make_controller(interference, floor)
    count = fill(controller)
    controller.online_arrived(1.0)
    decision = controller.decide(1.0)
    assert decision.allowed == kept
    # The newest requests are parked first.
    assert sorted(decision.park) == list(range(kept, count))


def test_requests_in_prefill_are_parked_even_below_the_floor() -> None:
    controller = make_controller(floor=3)
    count = fill(controller, prompt_tokens=100_000)
    controller.online_arrived(1.0)
    assert len(controller.decide(1.0).park) == count


def test_floor_is_refilled_while_online_requests_never_end() -> None:
    controller = make_controller(floor=2)
    controller.online_arrived(0.0)
    started = 0
    for tick in range(int(600 / TICK_S)):
        now_s = tick * TICK_S
        controller.observe(load_report(online=1), now_s)
        if controller.decide(now_s).start:
            controller.started(started, now_s)
            started += 1
        for request in range(started):
            controller.ended(request)
    assert started >= 10


def test_prefill_is_rationed_while_online_requests_run_unless_the_target_covers_it() -> None:
    def starts(interference: float) -> int:
        controller = make_controller(interference, floor=2)
        controller.online_arrived(0.0)
        count = 0
        for tick in range(int(60 / TICK_S)):
            now_s = tick * TICK_S
            controller.observe(load_report(online=1), now_s)
            for _ in range(controller.decide(now_s).start):
                controller.started(count, now_s, prompt_tokens=128)
                controller.ended(count)
                count += 1
        return count

    assert starts(0.05) < starts(0.5) < starts(2.0)
    assert starts(0.05) <= 0.005 * 60_000 / BASE_MS
    # A target of 10% is far below the growth of a prefill step, 80%. Such steps must not show in
    # the p99.
    assert starts(0.1) <= 0.0025 * 60_000 / BASE_MS
    assert starts(2.0) >= 600


def test_idle_time_without_decisions_earns_no_prefill_credit() -> None:
    controller = make_controller(floor=2)
    controller.observe(load_report(), 60.0)
    controller.online_arrived(60.0)
    assert controller.decide(60.0).start == 0


def test_idle_capacity_grows_with_the_target() -> None:
    counts = [make_controller(interference).idle_capacity() for interference in (0.0, 0.05, 0.5)]
    assert counts == sorted(counts)
    assert counts[0] >= 1 and counts[-1] == 32


def test_nothing_starts_without_reports_and_online_requests_without_an_end_time_out() -> None:
    controller = make_controller()
    assert controller.decide(REPORT_STALE_S + 0.1).start == 0
    controller.online_arrived(10.0)
    for tick in range(1, 40):
        controller.observe(load_report(), 10.0 + tick * TICK_S)
    assert controller.decide(12.0).start > 0


def test_requests_that_must_not_be_cancelled_are_never_parked() -> None:
    controller = make_controller()
    controller.started(1, 0.0, may_park=False)
    controller.started(2, 0.0)
    controller.online_arrived(1.0)
    assert controller.decide(1.0).park == [2]


def test_changed_targets_apply_to_the_next_decision() -> None:
    controller = make_controller()
    controller.targets = msgspec.structs.replace(controller.targets, batch_max_running=2)
    assert fill(controller) == 2
