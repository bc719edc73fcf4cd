"""One checker for each promise, and linearizability; each reads the history of a run only."""

from __future__ import annotations

from testbed.simulation.checkers.base import Checker
from testbed.simulation.checkers.jobs import CancelledJobStops, ExactlyOnce, LinearizableJobs
from testbed.simulation.checkers.liveness import MovesAgain
from testbed.simulation.checkers.online import (
    AtMostOnce,
    LeavingGetsNoWork,
    NoInternalErrors,
    NotRunIsTrue,
    OnlineNeverBehindBatch,
    PlannedStopCutsNothing,
    WholeOwnAnswer,
)
from testbed.simulation.checkers.settings import LinearizableSettings, SettingsInForce


def all_checkers() -> list[Checker]:
    """Return a checker for each promise."""
    return [
        ExactlyOnce(),
        CancelledJobStops(),
        OnlineNeverBehindBatch(),
        WholeOwnAnswer(),
        NotRunIsTrue(),
        AtMostOnce(),
        LeavingGetsNoWork(),
        PlannedStopCutsNothing(),
        SettingsInForce(),
        LinearizableSettings(),
        LinearizableJobs(),
        MovesAgain(),
        NoInternalErrors(),
    ]
