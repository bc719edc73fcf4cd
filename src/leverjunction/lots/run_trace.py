"""Notes about an item's runs, used to report why it does not run. Decides nothing. Pure."""

from __future__ import annotations

from enum import StrEnum

from leverjunction.errors import Failure, FailureKind

OK = 200
UNPROCESSABLE = 422
SERVER_ERROR = 500


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    REFUSED = "refused"
    """The back end answered that it did not run the item, or answered with an unexpected status."""

    NOT_ANSWERED = "not_answered"
    """No response head was received: connecting failed, the connection was reset, or the bytes were
    no valid response.
    """

    CUT = "cut"
    SILENT = "silent"
    """No response head, or nothing more of the response, arrived within the accepted silence."""

    PARKED = "parked"
    STOPPED = "stopped"
    """The item is no longer open, restarts from the group's recorded events, or leadership was
    lost.
    """

    NO_BODY = "no_body"
    NO_PROGRESS = "no_progress"
    """The number of events that the group has could not be read."""

    QUARANTINED = "quarantined"
    """The item is not run for a while, because back ends crashed while running it."""

    RAISED = "raised"


UNREADABLE = frozenset({RunEnd.NO_BODY, RunEnd.NO_PROGRESS})


class RunTrace:
    """Notes about the runs of one item. All times are monotonic seconds.

    Attributes:
        runs: Runs that this process started.
        started_s: When the last run was started.
        ended_s: When it ended.
        running_s: Time that ended runs took.
        parked_s: Time between runs.
        heard_s: Last sign of life: an event or the head of a response, else the monitor's first
            update.
        parts: Parts of the response that arrived in the last run.
        end: How the last run ended, None while it has not.
        detail: What the back end, or the connection to it, gave as the cause.
        status: Why the item does not run, as of the last update of the monitor.
        status_since_s: When that status began.
        logged_status: Status that was last logged, empty for none since the last sign of life.
        logged_s: When it was logged.
    """

    __slots__ = (
        "detail",
        "end",
        "ended_s",
        "heard_s",
        "logged_s",
        "logged_status",
        "parked_s",
        "parts",
        "running_s",
        "runs",
        "started_s",
        "status",
        "status_since_s",
    )

    def __init__(self) -> None:
        self.runs = 0
        self.started_s = 0.0
        self.ended_s = 0.0
        self.running_s = 0.0
        self.parked_s = 0.0
        self.heard_s = 0.0
        self.parts = 0
        self.end: RunEnd | None = None
        self.detail = ""
        self.status = ""
        self.status_since_s = 0.0
        self.logged_status = ""
        self.logged_s = 0.0

    def start(self, now_s: float) -> None:
        """Note the start of a run."""
        if self.runs:
            self.parked_s += now_s - self.ended_s
        self.runs += 1
        self.started_s = now_s
        self.parts = 0
        self.end = None
        self.detail = ""

    def stop(self, now_s: float) -> None:
        """Note that the run is over, whatever its end was."""
        self.running_s += now_s - self.started_s
        self.ended_s = now_s

    def mark_heard(self, now_s: float) -> None:
        """Note a part of the response."""
        self.heard_s = now_s
        self.parts += 1

    def set_end(self, end: RunEnd, detail: str = "") -> None:
        """Note how the run ended, unless that was noted before."""
        if self.end is None:
            self.end = end
            self.detail = detail

    def record_failure(self, failure: Failure) -> None:
        """Note that no response head was received."""
        self.set_end(_NO_HEAD.get(failure.kind, RunEnd.NOT_ANSWERED), failure.reason)

    def record_status(self, status: int, between_events: bool) -> None:
        """Note a response that ended properly.

        Args:
            status: Its HTTP status.
            between_events: Whether its last event is complete.
        """
        if status == OK:
            self.set_end(
                RunEnd.DONE if between_events else RunEnd.CUT,
                "" if between_events else CUT_IN_EVENT,
            )
        elif status == UNPROCESSABLE:
            self.set_end(RunEnd.IMPOSSIBLE)
        else:
            end = RunEnd.FAILED if status == SERVER_ERROR else RunEnd.REFUSED
            self.set_end(end, f"status {status}")


_NO_HEAD = {
    FailureKind.OVERLOADED: RunEnd.REFUSED,
    FailureKind.DEADLINE_EXCEEDED: RunEnd.SILENT,
}
CUT_IN_EVENT = "the response ended within an event"
