"""Detects runs whose answer was lost although their runner is alive.

An answer is the response of an engine to a run. It is lost if its connection goes silent for good,
or if a late submission with the same request id has replaced the run at its engine. The runner
still reports its load and the gateway still renews the lease, so the item would wait for the whole
answer timeout of ten minutes. An engine can list the requests that it holds. A run that is missing
from these lists for long enough is lost.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.batch.harvest_types import OwnedRunner, Run

QUERY_AFTER_S = 5.0
"""Age of a run after which its runner is queried; most items end earlier."""

QUERY_INTERVAL_S = 2.0
"""Minimum interval between two queries of a runner; each query is one small request."""

LISTED_AFTER_S = 2.0
"""Time after sending before a missing run counts; its request may be delayed in transit."""

MISSING_TIMEOUT_S = 2.0
"""How long a run that may repeat must be missing from all lists before it counts as lost.

Its answer may still be in transit.
"""

MISSING_UNREPEATABLE_TIMEOUT_S = 30.0
"""The same time for a run that may not repeat.

It is longer because the outcome of the item becomes unknown, as after the loss of a runner.
"""


def select_runners_to_query(
    runners: Iterable[OwnedRunner], runs: Iterable[Run], now_s: float
) -> list[str]:
    """Return the ids of the runners to query now, and record the query time of each."""
    with_old_runs = {run.runner_id for run in runs if _is_old(run, now_s)}
    due = [
        runner
        for runner in runners
        if runner.state.runner_id in with_old_runs and now_s - runner.queried_s >= QUERY_INTERVAL_S
    ]
    for runner in due:
        runner.queried_s = now_s
    return [runner.state.runner_id for runner in due]


def find_lost_runs(runs: Iterable[Run], held: set[str], asked_s: float) -> list[Run]:
    """Return the runs that a runner has lost, and update since when each run is missing.

    Args:
        runs: Runs of this gateway on the runner that have not ended.
        held: Ids of the requests that the runner listed.
        asked_s: Monotonic time at which the runner was asked.
    """
    lost: list[Run] = []
    for run in runs:
        if run.sent_s is None or asked_s - run.sent_s < LISTED_AFTER_S or run.request_id in held:
            run.missing_since_s = None
            continue
        run.missing_since_s = asked_s if run.missing_since_s is None else run.missing_since_s
        timeout_s = (
            MISSING_TIMEOUT_S if run.work.leased.may_repeat else MISSING_UNREPEATABLE_TIMEOUT_S
        )
        if asked_s - run.missing_since_s >= timeout_s:
            lost.append(run)
    return lost


def _is_old(run: Run, now_s: float) -> bool:
    return run.sent_s is not None and now_s - run.sent_s >= QUERY_AFTER_S


__all__ = ["find_lost_runs", "select_runners_to_query"]
