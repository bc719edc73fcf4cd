"""What callers and runners have seen around planned stops, and which promises that breaks.

Pure: no input or output. All times are in monotonic seconds of one clock.
"""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

GRACE_S = 8.0
"""From SIGTERM to SIGKILL."""

IN_TIME_S = 3.0
"""A request that is sent so long after the SIGTERM, or earlier, may expect to be served."""

LAST_PART_S = GRACE_S * 5 / 6
"""From then on, what a runner still works on may be cut if it was sent in time."""

LOSS_SLACK_S = 0.2
"""A connection that ends later after a request was sent has not left it unread."""

CLOCKS_S = 0.05
"""By so much the time at which a caller sees an answer's end may differ from the gateway's."""

OK = 200
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OUT_OF_TIME = 504
RUN_ONCE = frozenset({"once", "stream"})
"""Kinds of requests that may run once at most."""


class StopRequest(NamedTuple):
    """One request and what its caller got.

    Attributes:
        request_id: Its id, which no other request has.
        kind: Its route.
        gateway: Name of the process that it was sent to.
        began_s: When its caller began to send it, from which its time counts.
        sent_s: When its last byte was sent.
        ended_s: When its answer or its connection ended.
        status: Status of the answer, 0 for none.
        is_whole: Whether the framing says that the answer is whole.
        events: Events that came.
        events_due: Events of a whole answer, 0 if it is no stream.
        limit_s: Its deadline and the timeout of its route, whichever is shorter.
    """

    request_id: str
    kind: str
    gateway: str
    began_s: float
    sent_s: float
    ended_s: float
    status: int
    is_whole: bool
    events: int
    events_due: int
    limit_s: float


class StopRun(NamedTuple):
    """One request as it reached a runner.

    Attributes:
        request_id: Its id.
        began_s: When it came.
        ended_s: When the runner was done with it, None if it works on.
        is_silent: The runner never answers, or had no slot for it: it does not work on it.
        has_broken_off: The runner broke its answer off by itself.
    """

    request_id: str
    began_s: float
    ended_s: float | None
    is_silent: bool
    has_broken_off: bool


class PlannedStop(NamedTuple):
    """One planned stop of a gateway.

    Attributes:
        gateway: Its name.
        at_s: When the SIGTERM was sent.
        ended_s: When the process had ended.
        status: Its exit status, None if it had to be killed.
        has_started: Whether it listened when the SIGTERM was sent; before that, a process may end
            by the signal itself.
    """

    gateway: str
    at_s: float
    ended_s: float
    status: int | None
    has_started: bool


class StopOutcome:
    """What became of the requests around planned stops.

    Attributes:
        stops: Planned stops.
        sent_after: Requests that were sent after the SIGTERM of their gateway.
        sent_late: Those of them that were sent later than ``IN_TIME_S`` after it.
        refused: Those that were sent after it and answered with a promise that they have not run.
        out_of_time: Those around a stop that were answered 504.
        unread: Those around a stop that nobody had read when their connection ended.
        at_work: Those that were cut while their runner was still at work in the last part.
        past_limit: Those that were cut once their time was over.
        cut: Each request that a stopping gateway had read and that got no whole answer.
        cut_elsewhere: The same for those that no stop was near.
        broken: Everything else that breaks a promise.
    """

    __slots__ = (
        "at_work",
        "broken",
        "cut",
        "cut_elsewhere",
        "out_of_time",
        "past_limit",
        "refused",
        "sent_after",
        "sent_late",
        "stops",
        "unread",
    )

    def __init__(self, stops: int) -> None:
        self.stops = stops
        self.sent_after = self.sent_late = self.refused = self.out_of_time = 0
        self.unread = self.at_work = self.past_limit = 0
        self.cut: list[str] = []
        self.cut_elsewhere: list[str] = []
        self.broken: list[str] = []

    def text(self) -> str:
        """Return the figures."""
        return (
            f"{self.stops} planned stops; {self.sent_after} requests sent after the SIGTERM, "
            f"{self.sent_late} later than {IN_TIME_S:g} s after it; refused: {self.refused}, "
            f"answered 504: {self.out_of_time}, cut: {len(self.cut)}; not counted: "
            f"{self.unread} closed unread, {self.at_work} at work in the last part of the grace, "
            f"{self.past_limit} out of time; cut without a stop: {len(self.cut_elsewhere)}"
        )


def judge_stops(
    requests: list[StopRequest], runs: list[StopRun], stops: list[PlannedStop]
) -> StopOutcome:
    """Return what became of requests around planned stops.

    Args:
        requests: All requests of callers.
        runs: All requests that reached runners and that these did not decline.
        stops: All planned stops that nothing else struck.
    """
    outcome = StopOutcome(len(stops))
    runs_of: dict[str, list[StopRun]] = defaultdict(list)
    for run in runs:
        runs_of[run.request_id].append(run)
    for stop in stops:
        outcome.broken += _of_stop(stop)
    for request in requests:
        own = runs_of[request.request_id]
        outcome.broken += _of_request(request, own)
        near = [stop for stop in stops if _is_near(request, stop)]
        if near:
            _count(request, near[-1], outcome)
        if not request.is_whole:
            _take_cut(request, own, near[-1] if near else None, outcome)
    return outcome


def _of_stop(stop: PlannedStop) -> list[str]:
    took_s = stop.ended_s - stop.at_s
    if stop.status is None:
        return [f"{stop.gateway} had to be killed {took_s:.2f} s after the SIGTERM"]
    if stop.status and stop.has_started:
        return [f"{stop.gateway} ended with {stop.status} {took_s:.2f} s after the SIGTERM"]
    return []


def _of_request(request: StopRequest, runs: list[StopRun]) -> list[str]:
    broken = []
    name = f"request {request.request_id} ({request.kind})"
    if request.kind in RUN_ONCE:
        if len(runs) > 1:
            broken.append(f"{name} ran {len(runs)} times")
        if runs and request.is_whole and request.status in NOT_RUN_STATUSES:
            broken.append(f"{name} ran, though it was answered {request.status}")
    if request.is_whole and request.status == OK and request.events != request.events_due:
        broken.append(f"{name} looks whole with {request.events} of {request.events_due} events")
    return broken


def _is_near(request: StopRequest, stop: PlannedStop) -> bool:
    return (
        request.gateway == stop.gateway
        and request.ended_s >= stop.at_s
        and request.sent_s <= stop.ended_s
    )


def _count(request: StopRequest, stop: PlannedStop, outcome: StopOutcome) -> None:
    outcome.out_of_time += request.is_whole and request.status == OUT_OF_TIME
    if request.sent_s < stop.at_s:
        return
    outcome.sent_after += 1
    outcome.sent_late += request.sent_s > stop.at_s + IN_TIME_S
    outcome.refused += request.is_whole and request.status in NOT_RUN_STATUSES


def _take_cut(
    request: StopRequest, runs: list[StopRun], stop: PlannedStop | None, outcome: StopOutcome
) -> None:
    if not runs and request.ended_s <= request.sent_s + LOSS_SLACK_S:
        outcome.unread += stop is not None
    elif request.ended_s >= request.began_s + request.limit_s - CLOCKS_S:
        outcome.past_limit += stop is not None
    elif any(run.has_broken_off for run in runs):
        return
    elif stop is None:
        outcome.cut_elsewhere.append(_told(request, runs, request.sent_s))
    elif _is_at_work(request, runs, stop):
        outcome.at_work += 1
    else:
        outcome.cut.append(_told(request, runs, stop.at_s))


def _is_at_work(request: StopRequest, runs: list[StopRun], stop: PlannedStop) -> bool:
    """Return whether a runner still worked on what was cut in the last part of the grace."""
    last_part_s = stop.at_s + LAST_PART_S
    if request.sent_s > stop.at_s + IN_TIME_S or request.ended_s < last_part_s:
        return False
    return any(
        not run.is_silent and (run.ended_s is None or run.ended_s >= last_part_s) for run in runs
    )


def _told(request: StopRequest, runs: list[StopRun], at_s: float) -> str:
    told = ", ".join(
        f"{run.began_s - at_s:.2f}.."
        + ("" if run.ended_s is None else f"{run.ended_s - at_s:.2f}")
        + (" silent" if run.is_silent else "")
        for run in runs
    )
    return (
        f"request {request.request_id} ({request.kind}) at {request.gateway}, sent "
        f"{request.sent_s - at_s:.2f} s after the SIGTERM, ended {request.ended_s - at_s:.2f} s "
        f"after it with status {request.status} and {request.events} of {request.events_due} "
        f"events; runs: {told or 'none'}"
    )


__all__ = [
    "GRACE_S",
    "IN_TIME_S",
    "PlannedStop",
    "StopOutcome",
    "StopRequest",
    "StopRun",
    "judge_stops",
]
