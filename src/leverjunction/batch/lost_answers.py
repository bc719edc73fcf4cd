"""Runs whose answer will never come, though their runner lives. Pure: the time is passed in.

An answer may be lost on its way: its connection went silent for good, or a late submission under
the same id has replaced the run at its engine. The runner goes on reporting its load, and the
gateway goes on renewing the lease, so the item would wait for the ten minutes that an answer may
take. An engine lists the requests that it has; a run that is on no list will not be heard of.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.batch.harvest_types import OwnedRunner, Run

LOOK_AFTER_S = 5.0
"""Age of a run from which on its runner is asked: most items are over by then."""

LOOK_INTERVAL_S = 2.0
"""Between two looks at a runner. Each is one small request, and none while no run is old."""

SETTLE_S = 2.0
"""From the sending of a run until a list surely shows it: a request may be held up on its way."""

CONFIRM_S = 2.0
"""Time over which all lists lack a run that may repeat: its answer may just be on its way."""

CONFIRM_UNREPEATABLE_S = 30.0
"""The same for one that may not: its outcome would be unknown, as with a runner that is lost."""


def looks_due(runners: Iterable[OwnedRunner], runs: Iterable[Run], now_s: float) -> list[str]:
    """Return the ids of the runners to look at now; each counts as looked at from now on."""
    old = {run.runner_id for run in runs if _is_old(run, now_s)}
    due = [
        runner
        for runner in runners
        if runner.state.runner_id in old and now_s - runner.looked_s >= LOOK_INTERVAL_S
    ]
    for runner in due:
        runner.looked_s = now_s
    return [runner.state.runner_id for runner in due]


def find_lost(runs: Iterable[Run], held: set[str], asked_s: float) -> list[Run]:
    """Return the runs of one runner that it does not have any more.

    Args:
        runs: The runs that are under way there.
        held: Ids of the requests that it listed.
        asked_s: When it was asked.
    """
    lost: list[Run] = []
    for run in runs:
        if run.begun_s is None or asked_s - run.begun_s < SETTLE_S or run.request_id in held:
            run.missing_since_s = None
            continue
        run.missing_since_s = asked_s if run.missing_since_s is None else run.missing_since_s
        confirm_s = CONFIRM_S if run.work.leased.may_repeat else CONFIRM_UNREPEATABLE_S
        if asked_s - run.missing_since_s >= confirm_s:
            lost.append(run)
    return lost


def _is_old(run: Run, now_s: float) -> bool:
    return run.begun_s is not None and now_s - run.begun_s >= LOOK_AFTER_S


__all__ = ["find_lost", "looks_due"]
