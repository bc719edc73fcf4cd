"""Capacity for batch runs beside online requests."""

from __future__ import annotations

import pytest

from leverjunction.lots.batch_capacity import (
    BUCKET_S,
    GATEWAY_REACTION_S,
    MAX_RISE_SHARE_PER_S,
    REACTION_S,
    SAMPLE_LAG_S,
    STALE_S,
    WINDOW_S,
    LoopLag,
    RunnerCapacity,
    ServiceCapacity,
)

NOW_S = 100.0
SLOTS = 12


def service(*online: int) -> ServiceCapacity:
    """Return a service that was watched for long; ``online`` is what each back end has now."""
    capacity = ServiceCapacity()
    sample(capacity, NOW_S - WINDOW_S * 2, *(0 for _ in online))
    sample(capacity, NOW_S, *online)
    return capacity


def sample(capacity: ServiceCapacity, now_s: float, *online: int) -> None:
    for number, count in enumerate(online):
        runner = capacity.runner(str(number), SLOTS)
        runner.record_sample(count + runner.own_runs, 0, now_s)
    capacity.update(now_s)


def test_without_a_sample_nothing_is_added() -> None:
    assert ServiceCapacity().allowance(NOW_S) == 0
    assert RunnerCapacity(SLOTS).free(NOW_S) == 0


def test_an_idle_service_is_filled_but_for_a_margin() -> None:
    capacity = service(0, 0)
    assert capacity.allowance(NOW_S) == 22
    assert capacity.runners["0"].free(NOW_S) == 12


def test_an_idle_service_is_filled_where_gateways_report_their_requests() -> None:
    """Guards against a slot of each back end staying free although gateways report no request."""
    capacity = reported_service(0, 0)
    assert capacity.allowance(NOW_S + 2) == 24


def test_a_reserve_is_kept_up_to_the_latest_peak_of_the_service() -> None:
    capacity = service(7, 1)
    sample(capacity, NOW_S + 1, 1, 1)
    # 24 slots, 2 online requests, and a third of the 8 that were online a second ago.
    assert capacity.allowance(NOW_S + 1) == 24 - 2 - 3
    sample(capacity, NOW_S + WINDOW_S + 0.5, 1, 1)
    sample(capacity, NOW_S + WINDOW_S + 1.5, 1, 1)
    assert capacity.allowance(NOW_S + WINDOW_S + 1.5) == 20


def test_a_lull_after_a_high_peak_is_filled_but_for_the_reserve() -> None:
    """Guards against keeping free slots for the whole peak, which held batch to its floor."""
    capacity = service(11, 11)
    sample(capacity, NOW_S + 1, 1, 1)
    assert capacity.allowance(NOW_S + 1) == 24 - 2 - 7


@pytest.mark.parametrize(
    ("step_s", "reserve"),
    [(REACTION_S * 1.01, 3), (REACTION_S / 2 * 1.01, 6), (REACTION_S / 4, 7)],
    ids=["slowly", "faster", "at most a third of the peak"],
)
def test_the_reserve_is_what_arrived_lately_within_the_reaction_time(
    step_s: float, reserve: int
) -> None:
    """Guards against a fixed reserve, which left a third of the slots empty in each lull."""
    capacity = service(0, 0)
    for step in range(8):
        sample(capacity, NOW_S + 1 + step * step_s, 3 * step, 0)
    sample(capacity, NOW_S + 4, 0, 0)
    assert capacity.allowance(NOW_S + 4) == 24 - reserve


def test_peaks_of_single_back_ends_at_different_times_do_not_add_up() -> None:
    """Guards against adding up each back end's own peak, which starved batch."""
    capacity = service(8, 2)
    sample(capacity, NOW_S + 1, 2, 8)
    assert capacity.allowance(NOW_S + 1) == 12


def test_many_small_back_ends_are_not_left_half_empty() -> None:
    """Guards against a margin slot per back end on top of the reserve.

    Fluctuating load samples made the reserve large: batch had 24 of 72 slots with 26 online
    requests, and hundreds of items waited.
    """
    capacity = ServiceCapacity()
    sample(capacity, NOW_S - WINDOW_S * 2, *[3] * 8)
    sample(capacity, NOW_S, *[5] * 8)
    sample(capacity, NOW_S + 1, *[3] * 8)
    assert capacity.allowance(NOW_S + 1) == 8 * SLOTS - 24 - round(40 / 3)


def test_batch_is_parked_as_online_requests_arrive() -> None:
    capacity = service(10, 10)
    sample(capacity, NOW_S + 1, 0, 0)
    for runner in capacity.runners.values():
        for _ in range(7):
            runner.add_run()
    assert (capacity.allowance(NOW_S + 1), capacity.excess(NOW_S + 1)) == (24 - 7 - 14, 0)
    sample(capacity, NOW_S + 2, 4, 4)
    assert capacity.excess(NOW_S + 2) == 14 - (24 - 8 - 7)
    sample(capacity, NOW_S + 3, 10, 10)
    assert capacity.excess(NOW_S + 3) == 14 - (24 - 2 - 20)
    assert [runner.excess(NOW_S + 3) for runner in capacity.runners.values()] == [5, 5]


def test_without_samples_nothing_is_parked() -> None:
    capacity = service(0)
    for _ in range(9):
        capacity.runners["0"].add_run()
    assert capacity.excess(NOW_S + STALE_S + 0.1) == 0


@pytest.mark.parametrize("counted", [0, 5])
def test_own_runs_are_not_taken_for_online_ones(counted: int) -> None:
    """A sample is slightly out of date and may or may not count runs that have just started."""
    capacity = service(0)
    runner = capacity.runners["0"]
    for _ in range(5):
        runner.add_run()
    runner.record_sample(counted, 0, NOW_S + 0.1)
    assert (runner.online, runner.free(NOW_S + 0.1)) == (0, 7)
    runner.record_sample(5, 0, NOW_S + 0.3)
    capacity.update(NOW_S + 0.3)
    assert capacity.allowance(NOW_S + 0.3) == 6
    runner.remove_run()
    runner.record_sample(5, 0, NOW_S + 0.5)
    assert (runner.online, runner.free(NOW_S + 0.5)) == (0, 8)


def test_online_requests_show_beside_runs_that_have_just_begun() -> None:
    runner = service(0).runners["0"]
    for _ in range(3):
        runner.add_run()
    runner.record_sample(8, 1, NOW_S + 0.1)
    assert runner.online == 6


def test_a_few_run_even_beside_a_high_peak_but_not_in_a_queue() -> None:
    capacity = service(15, 4)
    assert capacity.allowance(NOW_S) == 3
    assert [runner.free(NOW_S) for runner in capacity.runners.values()] == [0, 8]


@pytest.mark.parametrize(("age_s", "allowed"), [(STALE_S - 0.1, 11), (STALE_S + 0.1, 0)])
def test_an_old_sample_is_not_used(age_s: float, allowed: int) -> None:
    capacity = service(0)
    assert capacity.runners["0"].free(NOW_S + age_s) == (12 if allowed else 0)
    assert capacity.allowance(NOW_S + age_s) == allowed


def test_a_lull_is_not_filled_before_a_burst_can_have_been_seen() -> None:
    """Guards against a new leader filling the first lull, ahead of the next burst."""
    capacity = ServiceCapacity()
    sample(capacity, NOW_S, 0, 0)
    assert capacity.allowance(NOW_S) == 24 - 8
    sample(capacity, NOW_S + 1, 9, 9)
    sample(capacity, NOW_S + 2, 0, 0)
    assert capacity.allowance(NOW_S + 2) == 24 - 8
    sample(capacity, NOW_S + WINDOW_S + 2, 0, 0)
    assert capacity.allowance(NOW_S + WINDOW_S + 2) == 22


def test_back_ends_that_are_gone_are_forgotten() -> None:
    capacity = service(0, 0)
    capacity.retain(frozenset({"1"}))
    assert capacity.allowance(NOW_S) == 11


def report(capacity: ServiceCapacity, now_s: float, *online: int, waiting_online: int = 0) -> None:
    """Report how many online requests each back end has, as gateways do."""
    for number, count in enumerate(online):
        capacity.runner(str(number), SLOTS).report_online(count, now_s)
    capacity.set_gateway_reports(gateway_count=2, interval_s=0.0, waiting_online=waiting_online)
    capacity.update(now_s)


def reported_service(*online: int) -> ServiceCapacity:
    """Return a service whose online requests gateways have reported for long."""
    capacity = service(*online)
    for step in range(3):
        report(capacity, NOW_S + step, *online)
        sample(capacity, NOW_S + step, *online)
    return capacity


def test_reported_requests_are_not_counted_again_when_a_sample_shows_them() -> None:
    capacity = reported_service(4, 2)
    assert [
        (runner.reported_online, runner.unreported_online) for runner in capacity.runners.values()
    ] == [(4, 0), (2, 0)]
    sample(capacity, NOW_S + 2.1, 6, 2)
    assert [
        (runner.reported_online, runner.unreported_online) for runner in capacity.runners.values()
    ] == [(4, 2), (2, 0)]


@pytest.mark.parametrize(
    ("age_s", "unreported_online"),
    [(0.05, 0), (SAMPLE_LAG_S - 0.05, 0), (SAMPLE_LAG_S + BUCKET_S + 0.05, 4)],
)
def test_a_request_whose_end_was_reported_is_not_unreported_while_samples_lag(
    age_s: float, unreported_online: int
) -> None:
    """Guards against taking each reported end for the arrival of an unreported request."""
    capacity = reported_service(4)
    report(capacity, NOW_S + 3, 0)
    sample(capacity, NOW_S + 3 + age_s, 4)
    assert capacity.runners["0"].unreported_online == unreported_online


def test_batch_is_parked_as_soon_as_a_request_is_reported() -> None:
    """Guards against a request waiting 0.2 s behind batch until a load sample shows it."""
    capacity = reported_service(2, 2)
    for runner in capacity.runners.values():
        for _ in range(10):
            runner.add_run()
    report(capacity, NOW_S + 2.01, 4, 2)
    assert [runner.excess(NOW_S + 2.01) for runner in capacity.runners.values()] == [2, 0]


def test_the_reserve_is_smaller_where_batch_yields_sooner() -> None:
    """Guards against a third of the slots staying empty in each lull while dozens of items wait."""
    sampled, reported = service(0, 0), reported_service(0, 0)
    for step in range(12):
        sample(sampled, NOW_S + 3 + step * REACTION_S / 6, step, 0)
        report(reported, NOW_S + 3 + step * REACTION_S / 6, step, 0)
    sample(sampled, NOW_S + 5, 0, 0)
    report(reported, NOW_S + 5, 0, 0)
    sample(reported, NOW_S + 5, 0, 0)
    assert sampled.allowance(NOW_S + 5) == 24 - 4
    assert reported.allowance(NOW_S + 5) == 24 - 1


@pytest.mark.parametrize("together", [1, 2, 5, 10])
def test_reports_that_come_together_do_not_enlarge_the_reserve(together: int) -> None:
    """Guards against a third of batch's slots staying idle in each lull.

    The largest number of reports in one step of a busy leader was taken for the arrival rate.
    """
    capacity = reported_service(0, 0)
    at_s = NOW_S + 3
    for count in range(0, 11, together):
        report(capacity, at_s + count * REACTION_S / 10.5, count, 0)
    report(capacity, NOW_S + 5, 0, 0)
    sample(capacity, NOW_S + 5, 0, 0)
    assert capacity.allowance(NOW_S + 5) == 24 - round(10 * GATEWAY_REACTION_S / REACTION_S)


def test_a_leader_that_is_busy_keeps_a_larger_reserve() -> None:
    """Guards against online requests that wait behind batch while the leader has no time for them.

    With 96 slots and a store of a third of a core, 0.02 to 0.05 of the online worth was lost.
    """
    allowed = []
    for lag_s in (0.0, 0.05):
        capacity = reported_service(0, 0)
        for count in range(11):
            report(capacity, NOW_S + 3 + count * REACTION_S / 10.5, count, 0)
        report(capacity, NOW_S + 5, 0, 0)
        sample(capacity, NOW_S + 5, 0, 0)
        capacity.set_gateway_reports(1, 0.0, 0, lag_s)
        capacity.update(NOW_S + 5)
        allowed.append(capacity.allowance(NOW_S + 5))
    assert allowed[0] - allowed[1] >= 2


@pytest.mark.parametrize(
    ("late_s", "expected_s"),
    [
        ([0.02] * 60, 0.02),
        ([0.0] * 59 + [0.2], 0.1),
        ([-0.01] * 60, 0.0),
    ],
    ids=["always", "a single stall counts by half", "early timers count as punctual"],
)
def test_the_lag_of_the_loop_is_an_average(late_s: list[float], expected_s: float) -> None:
    lag = LoopLag()
    for number, each_s in enumerate(late_s):
        lag.record(NOW_S + number * 0.1, each_s)
    assert lag.recent_s == pytest.approx(expected_s, abs=0.001)


def test_a_lag_is_forgotten_after_a_while() -> None:
    lag = LoopLag()
    for number in range(60):
        lag.record(NOW_S + number * 0.01, 0.1)
    for number in range(200):
        lag.record(NOW_S + 1 + number * 0.1, 0.0)
    assert lag.recent_s < 0.001


def test_the_reports_of_one_more_gateway_are_no_rise() -> None:
    """Guards against taking all running requests for a burst, for 8 s after a change of leader."""
    capacity = ServiceCapacity()
    sample(capacity, NOW_S - WINDOW_S, 8, 8)
    sample(capacity, NOW_S, 8, 8)
    report(capacity, NOW_S + 0.01, 8, 8)
    sample(capacity, NOW_S + 0.02, 8, 8)
    report(capacity, NOW_S + 1, 0, 0)
    sample(capacity, NOW_S + 1, 0, 0)
    assert capacity.allowance(NOW_S + 1) == 24


def test_slots_are_kept_for_requests_that_wait_at_gateways() -> None:
    capacity = reported_service(1, 1)
    report(capacity, NOW_S + 2.1, 1, 1, waiting_online=5)
    assert capacity.allowance(NOW_S + 2.1) == 24 - 2 - 5


def test_a_new_leader_keeps_a_smaller_reserve_where_gateways_report() -> None:
    capacity = ServiceCapacity()
    sample(capacity, NOW_S, 0, 0)
    report(capacity, NOW_S, 0, 0)
    kept = round(24 * MAX_RISE_SHARE_PER_S * GATEWAY_REACTION_S)
    assert capacity.allowance(NOW_S) == 24 - kept == 23


def test_a_back_end_without_load_samples_holds_up_no_other() -> None:
    """Guards against items being started and stopped repeatedly, or not at all, beside free slots.

    One back end is full of batch runs and answers no more load samples, while another one is idle.
    The runs at both were counted against the slots of the sampled one alone: with two back ends of
    12 slots, 0 runs were allowed instead of 11. Items had ten or more runs of one event each (0.1
    to 0.3 s).
    """
    capacity = service(0, 0)
    for _ in range(SLOTS):
        capacity.runners["0"].add_run()
    sample(capacity, NOW_S + 1, 0, 0)
    now_s = NOW_S + 1 + STALE_S + 0.5
    capacity.runners["1"].record_sample(0, 0, now_s)
    capacity.update(now_s)
    assert capacity.allowance(now_s) == 11
    for _ in range(11):
        capacity.runners["1"].add_run()
    assert (capacity.allowance(now_s), capacity.excess(now_s)) == (0, 0)
