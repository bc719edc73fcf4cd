"""Guards against jobs that are limited for crashes which would have happened without them."""

from __future__ import annotations

import msgspec
import pytest
from tests.unit.test_lots_isolation import record

from leverjunction.lots.crash_rates import (
    MAX_LOG_RATIO,
    MIN_OTHER_CRASHES,
    RATE_WINDOW_S,
    CrashRates,
    log_likelihood_ratio,
)
from leverjunction.registry.records import RunnerState

JOB = ("lot", "job")
BACK_ENDS = 12
BESIDE = [f"beside-{number}" for number in range(6)]


def rates_after(others: int, run_s: float) -> CrashRates:
    """Return what is known after six crashes beside a job in 20 s, and others elsewhere."""
    rates = CrashRates()
    rates.back_ends[""] = BACK_ENDS
    for number, start in enumerate(BESIDE):
        rates.crashed(start, 100.0 + 4.0 * number)
    for number in range(others):
        rates.crashed(f"other-{number}", 100.0 + 20.0 * number / max(1, others))
    rates.ran("start", [JOB], run_s, 119.0)
    return rates


@pytest.mark.parametrize(
    ("others", "run_s", "is_explained"),
    [
        (0, 18.0, False),
        (MIN_OTHER_CRASHES - 1, 18.0, False),
        (60, 18.0, True),
        (60, 0.6, False),
        (30, 18.0, True),
        (15, 18.0, False),
    ],
    ids=["none", "few", "same rate", "right after each start", "twice", "four times"],
)
def test_crashes_beside_a_job_are_weighed_against_those_elsewhere(
    others: int, run_s: float, is_explained: bool
) -> None:
    assert rates_after(others, run_s).explain(JOB, BESIDE, 121.0) is is_explained


def test_jobs_that_crash_back_ends_do_not_explain_each_other() -> None:
    """Guards against several harmful jobs whose crashes in one second look like a common cause."""
    rates = rates_after(60, 18.0)
    for number in range(60):
        rates.crashed_in_run(f"other-{number}", 0.1)
    assert not rates.explain(JOB, BESIDE, 121.0)


def test_crashes_beside_runs_that_had_gone_on_tell_how_often_back_ends_crash() -> None:
    """Guards against a fleet of slow back ends, each with unproven runs, that tells nothing."""
    rates = rates_after(60, 18.0)
    for number in range(60):
        rates.crashed_in_run(f"other-{number}", 2.0)
    assert rates.explain(JOB, BESIDE, 121.0)


def test_crashes_of_another_service_explain_nothing() -> None:
    """Guards against a harmful job that escapes beside the crash loop of another service."""
    rates = CrashRates()
    loop = [record(number, "loop") for number in range(3)]
    rates.set_runners([*loop, *(record(number) for number in range(12))], 99.0)
    for number in range(6):
        rates.crashed(f"{record(number).runner_id}@1", 100.0 + number)
    for number in range(60):
        rates.crashed(f"{loop[number % 3].runner_id}@{number}", 100.0 + number / 10)
    starts = [f"{record(number).runner_id}@1" for number in range(6)]
    rates.ran(starts[0], [JOB], 6.0, 106.0)
    assert not rates.explain(JOB, starts, 107.0)


def test_old_crashes_explain_nothing() -> None:
    rates = rates_after(60, 18.0)
    rates.expire(121.0 + RATE_WINDOW_S)
    rates.crashed("now", 121.0 + RATE_WINDOW_S)
    assert not rates.explain(JOB, ["now"], 121.0 + RATE_WINDOW_S)


def test_the_ratio_is_zero_where_a_job_meets_fewer_crashes_than_others() -> None:
    assert log_likelihood_ratio(1, 10.0, 10, 100.0) == 0.0
    assert log_likelihood_ratio(0, 10.0, 0, 100.0) == 0.0
    assert log_likelihood_ratio(6, 0.6, 3, 700.0) > MAX_LOG_RATIO


@pytest.mark.parametrize(
    ("before", "after", "crashes"),
    [
        ({}, {"born_ms": 2}, 1),
        ({}, {"state": RunnerState.SILENT}, 1),
        ({}, {}, 0),
        ({"state": RunnerState.LEAVING}, {"born_ms": 2}, 0),
        ({"state": RunnerState.SILENT}, {"born_ms": 2}, 0),
        ({}, None, 0),
    ],
    ids=["replaced", "silent", "unchanged", "left as planned", "silent before", "gone"],
)
def test_crashes_are_known_from_the_registry_alone(
    before: dict[str, object], after: dict[str, object] | None, crashes: int
) -> None:
    first = msgspec.structs.replace(record(0), **{"born_ms": 1, **before})
    second = (
        [] if after is None else [msgspec.structs.replace(record(0), **{"born_ms": 1, **after})]
    )
    rates = CrashRates()
    rates.set_runners([first], 100.0)
    rates.set_runners(second, 101.0)
    assert len(rates._crashed_s) == crashes


def test_a_new_leader_does_not_hold_a_job_for_crashes_that_others_may_explain() -> None:
    rates = rates_after(20, 0.0)
    rates.adopt(JOB, BESIDE, 16, 121.0)
    assert rates.explain(JOB, BESIDE, 121.0)
    # What happens from now on is weighed by itself.
    for number in range(3):
        rates.crashed(f"again-{number}", 122.0 + number)
    again = [*BESIDE, *(f"again-{number}" for number in range(3))]
    assert not rates.explain(JOB, again, 125.0)


def test_the_age_of_a_crash_is_that_of_the_next_start() -> None:
    rates = CrashRates()
    known = msgspec.structs.replace(record(0), born_ms=50_000)
    rates.set_runners([known], 100.0)
    assert rates.crash_age_s(f"{known.runner_id}@1000", 58_000) == 8.0
    assert rates.crash_age_s(f"{known.runner_id}@1000", 40_000) == 0.0
    assert rates.crash_age_s(known.start, 58_000) == 0.0
    assert rates.crash_age_s("unknown@1000", 58_000) == 0.0
