"""What ends the wait of an open item, by the reason why it does not run. Decides nothing. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.item_status import ItemStatus, Reason
from leverjunction.lots.lost_runs import silence_s
from leverjunction.proxy.tracked_runner import MAX_EJECTION_S
from leverjunction.registry.follower import MAX_DOUBT_S

WHAT_ENDS: Mapping[str, str] = {
    Reason.NOT_TAKEN_IN.value: "the leader's next read of the open items, within seconds",
    Reason.NO_TABLE.value: "a route table from a control process",
    Reason.NO_ROUTE.value: "a route table with a route for the item",
    Reason.NO_BACK_END.value: "a back end of the service that takes work",
    Reason.EJECTED.value: f"the end of the ejection, at most {MAX_EJECTION_S:g} s after a failure",
    Reason.NOT_READ.value: "a load sample from a back end of the service",
    Reason.NO_ROOM.value: "a free slot at a back end of the service",
    Reason.WAITS_TURN.value: "one of the runner's next steps",
    Reason.HELD.value: "the end of the hold after the last crash of the item, its lot or caller",
    Reason.WAITS_IDLE.value: "a back end of the service where nothing else runs; after the item's"
    " patience, any with a free slot",
    Reason.IN_DOUBT.value: "a reply from a control process, or"
    f" {MAX_DOUBT_S:g} s after the last pause of the process",
    Reason.UNREADABLE.value: "a read of its body and events that succeeds",
    Reason.RUNS.value: "the response, or too long a silence of the back end",
    Reason.PAUSES.value: "a pause of less than a second, longer only after errors in a row",
    Reason.STOPS.value: "the end of the run's task, at once",
    Reason.RESULT_WAITS.value: "the group's reply to a command with the result",
    Reason.TASK_LEFT.value: "nothing but a restart of the store",
    Reason.NO_LEADER.value: "the election of a leader by more than half of the group's voters",
}
"""What ends a wait, by the value of its reason."""

HoldEnd = Callable[[ItemRun], float | None]
"""Returns when an item that is held, or waits for an idle back end, may run at the latest if no
further back end crashes, in monotonic seconds; None if that is not known.
"""


def wait_end_s(run: ItemRun, status: ItemStatus, hold_end_s: HoldEnd) -> float | None:
    """Return by when the wait of an item is over, in monotonic seconds; None if not known.

    Args:
        run: The item.
        status: Why it does not run, or that it does.
        hold_end_s: Knows the ends of holds.
    """
    if status.reason is Reason.HELD or status.reason is Reason.WAITS_IDLE:
        return hold_end_s(run)
    if status.reason is Reason.EJECTED and status.service is not None:
        return status.service.ejected_until_s
    if status.reason is Reason.RUNS:
        heard_s = max(run.trace.heard_s, run.trace.started_s)
        return heard_s + silence_s(run.item.due_ms, run.silent_runs)
    return None


__all__ = ["WHAT_ENDS", "HoldEnd", "wait_end_s"]
