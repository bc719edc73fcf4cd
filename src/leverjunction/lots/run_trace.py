"""What is noted of an item's runs, to tell why it does not run now. Decides nothing. Pure."""

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
    """The back end says that it has not run it, or answers with another status."""

    NOT_ANSWERED = "not_answered"
    """No head of an answer: not connected, reset, or not an answer of a back end."""

    CUT = "cut"
    SILENT = "silent"
    """No head of an answer, or nothing more of it, for as long as that is borne."""

    PARKED = "parked"
    STOPPED = "stopped"
    """The item is not open any more, goes on from what the group has, or the lead is lost."""

    NO_BODY = "no_body"
    NO_PROGRESS = "no_progress"
    """How many events the group has cannot be read."""

    QUARANTINED = "quarantined"
    """Back ends ended under this item: it is not run for a while."""

    RAISED = "raised"


UNREADABLE = frozenset({RunEnd.NO_BODY, RunEnd.NO_PROGRESS})


class RunTrace:
    """Times are monotonic seconds.

    Attributes:
        runs: Runs that this process started.
        started_s: When the last one was started.
        heard_s: Last sign of life: an event, the head of an answer, or that the item was taken in.
        parts: Pieces of the answer that came in the last run.
        end: How the last run ended, None while it has not.
        why: What the back end or the path to it said.
        standing: Why the item does not run, as of the last look.
        since_s: Since when.
        told: The standing that a line has told, empty for none since the last sign of life.
        told_s: When.
    """

    __slots__ = (
        "detail",
        "end",
        "heard_s",
        "logged_s",
        "logged_status",
        "parts",
        "runs",
        "started_s",
        "status",
        "status_since_s",
    )

    def __init__(self) -> None:
        self.runs = 0
        self.started_s = 0.0
        self.heard_s = 0.0
        self.parts = 0
        self.end: RunEnd | None = None
        self.detail = ""
        self.status = ""
        self.status_since_s = 0.0
        self.logged_status = ""
        self.logged_s = 0.0

    def start(self, now_s: float) -> None:
        """Note that a run was started."""
        self.runs += 1
        self.started_s = now_s
        self.parts = 0
        self.end = None
        self.detail = ""

    def mark_heard(self, now_s: float) -> None:
        """Note a piece of the answer."""
        self.heard_s = now_s
        self.parts += 1

    def set_end(self, end: RunEnd, detail: str = "") -> None:
        """Note how the run ended; the first word stands."""
        if self.end is None:
            self.end = end
            self.detail = detail

    def record_failure(self, failure: Failure) -> None:
        """Note a send without the head of an answer."""
        self.set_end(_NO_HEAD.get(failure.kind, RunEnd.NOT_ANSWERED), failure.reason)

    def record_status(self, status: int, between_events: bool) -> None:
        """Note an answer that came whole."""
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
CUT_IN_EVENT = "the answer ended in an event"
