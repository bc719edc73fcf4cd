"""The promises to callers of routed requests, from what they and the back ends saw."""

from __future__ import annotations

from collections import Counter, defaultdict

from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from leverjunction.routes import RouteClass
from testbed.simulation.checkers.base import Finding, overlaps
from testbed.simulation.seeded.checkers import IN_FORCE_S
from testbed.simulation.seeded.history import (
    Asked,
    BackEndStart,
    PlannedStop,
    Run,
    SeededHistory,
    StreamTry,
)
from testbed.simulation.seeded.routed.callers import DEADLINE_S
from testbed.simulation.seeded.routed.faults import STOP_LASTS_S
from testbed.simulation.seeded.routed.resumption_checkers import ResumedStreamsGoOn
from testbed.simulation.seeded.routed.stop_checkers import StoppingGatewaysAnswer

NOT_FOUND = 404
MOST_ATTEMPTS = 2
"""Back ends that one request may run on, by the routes of ``testbed.routed.table``."""

ANSWERED_WITHIN_S = DEADLINE_S + 0.5
"""Time in which a caller of a well gateway has an answer, whatever it is."""

QUIET_BEFORE_S = 6.0
"""Stretch without a fault at a gateway or back end after which each request is served."""

IN_TOUCH_S = 3.0
FEWEST_OF_VERSION = 2
FEWEST_GONE_ON = 12

LEAVING_S = 3.0
"""Time from the acknowledgement that a back end leaves to its last new request."""


class RoutesAreFound:
    """No gateway denies a route that was accepted longer ago than the promised time."""

    name = "routes_are_found"

    def check(self, history: SeededHistory) -> Finding:
        """Check each answer that denies a route."""
        finding = Finding()
        accepted_s = _first_accepted(history)
        first_s = min(accepted_s.values(), default=history.ended_s)
        for asked in history.asked:
            _, _, version = asked.route.partition("added-")
            since_s = accepted_s.get(int(version)) if version else first_s
            if since_s is None or since_s + IN_FORCE_S > asked.at_s:
                continue
            finding.expect(
                asked.status != NOT_FOUND,
                f"{asked.gateway} denies {asked.route} at {asked.at_s:.3f} s, "
                f"accepted at {since_s:.3f} s",
            )
        return finding


class CallersAreAnswered:
    """A well gateway answers each request within its time, whatever the answer is."""

    name = "callers_are_answered"

    def check(self, history: SeededHistory) -> Finding:
        """Check each request to a gateway that no fault has in its hands."""
        finding = Finding()
        for asked in history.asked:
            if not _is_well(history, asked) or asked.at_s + ANSWERED_WITHIN_S > history.ended_s:
                continue
            took_s = asked.ended_s - asked.at_s
            is_told = asked.status != 0 or _may_be_broken_off(history, asked)
            finding.expect(
                is_told and took_s <= ANSWERED_WITHIN_S,
                f"{asked.gateway} gave {asked.request_id} ({asked.route}) status {asked.status} "
                f"after {took_s:.3f} s, asked at {asked.at_s:.3f} s",
            )
        return finding


class RequestsAreServed:
    """A well gateway serves each request while no fault has a back end in its hands.

    One that may run again is served with fewer back ends disturbed than it may run on.
    """

    name = "requests_are_served"

    def check(self, history: SeededHistory) -> Finding:
        """Check the requests to known routes; faults of control processes do not count."""
        finding = Finding()
        first_s = min(_first_accepted(history).values(), default=history.ended_s)
        for asked in history.asked:
            begin_s = asked.at_s - QUIET_BEFORE_S
            is_known = not asked.route.startswith("added-") and first_s < begin_s
            if not is_known or not _is_to_be_served(history, asked, begin_s):
                continue
            finding.expect(
                asked.status == 200,
                f"{asked.gateway} refuses {asked.request_id} ({asked.route}) with "
                f"{asked.status} at {asked.at_s:.3f} s",
            )
        return finding


class AnswersAreWhole:
    """An answer of success is all of the answer to its own request."""

    name = "answers_are_whole"

    def check(self, history: SeededHistory) -> Finding:
        """Check each answer."""
        finding = Finding()
        for asked in history.asked:
            if asked.status == 200:
                finding.expect(
                    asked.is_whole, f"{asked.gateway} gave {asked.request_id} another's, or a part"
                )
        return finding


class RunsAtMostOnce:
    """What may not repeat runs at most once, and what was "not run" did not run."""

    name = "runs_at_most_once"

    def check(self, history: SeededHistory) -> Finding:
        """Count the runs of each request."""
        finding = Finding()
        runs = Counter(run.request_id for run in history.runs)
        for asked in history.asked:
            count = runs[asked.request_id]
            if asked.kind is RouteClass.ONCE:
                finding.expect(count <= 1, f"{asked.request_id} ran {count} times")
            if asked.says_not_run:
                finding.expect(count == 0, f"{asked.request_id} is said not to have run, and did")
        return finding


def _could_know(history: SeededHistory, run: Run, left_s: float) -> bool:
    """Return whether a gateway could know that a back end leaves when it sent a request there.

    One that stood still, and did nothing else, could ask the control processes before it sent.
    """
    frozen = history.gateway_frozen[run.gateway]
    others = [span for span in history.gateway_disturbed[run.gateway] if span not in frozen]
    if overlaps(others, left_s, run.at_s):
        return False
    if not overlaps(frozen, left_s, run.at_s):
        return True
    control = history.control_disturbed.values()
    return not any(overlaps(spans, left_s, run.at_s) for spans in control)


class LeavingGetsNothingNew:
    """A back end that leaves gets no new request after the promised time."""

    name = "leaving_gets_nothing_new"

    def check(self, history: SeededHistory) -> Finding:
        """Check each run at a back end that has said that it leaves."""
        finding = Finding()
        runs: dict[tuple[str, int], list[Run]] = defaultdict(list)
        for run in history.runs:
            runs[run.back_end, run.start].append(run)
        for place, left_s in history.left.items():
            for run in runs[place]:
                late = run.at_s > left_s + LEAVING_S
                well = _could_know(history, run, left_s)
                finding.expect(
                    not (late and well),
                    f"{run.gateway} sends {run.request_id} to {run.back_end} at {run.at_s:.3f} s, "
                    f"which leaves since {left_s:.3f} s",
                )
        return finding


class PlannedStopsCutNothing:
    """A gateway that stops as planned ends in its time, and cuts no request that it has begun."""

    name = "planned_stops_cut_nothing"

    def check(self, history: SeededHistory) -> Finding:
        """Check each request to a gateway between the word to stop and its end."""
        finding = Finding()
        run = {run.request_id for run in history.runs}
        for stop in history.stops:
            took_s = stop.ended_s - stop.asked_s
            finding.expect(
                took_s <= STOP_LASTS_S, f"{stop.gateway} takes {took_s:.3f} s for a planned stop"
            )
            for asked in _asked_while_stopping(history, stop):
                is_early = asked.at_s < stop.asked_s + ACCEPT_AFTER_STOP_S
                finding.expect(
                    asked.status != 0 or not (is_early or asked.request_id in run),
                    f"{stop.gateway}, asked to stop at {stop.asked_s:.3f} s, cuts "
                    f"{asked.request_id} ({asked.route}) of {asked.at_s:.3f} s",
                )
        return finding


def _asked_while_stopping(history: SeededHistory, stop: PlannedStop) -> list[Asked]:
    """Return the requests whose answers only the stop can have cut."""
    begin_s = stop.asked_s - DEADLINE_S
    last_s = stop.asked_s + ACCEPT_AFTER_STOP_S
    # The stop itself counts as a fault from then on.
    faults = [span for span in history.gateway_disturbed[stop.gateway] if span.begin_s < last_s]
    return [
        asked
        for asked in history.asked
        if asked.gateway == stop.gateway
        and begin_s <= asked.at_s <= stop.ended_s
        and not overlaps(faults, begin_s, stop.ended_s)
        and not _may_be_broken_off(history, asked)
    ]


def _first_accepted(history: SeededHistory) -> dict[int, float]:
    first: dict[int, float] = {}
    for one in history.acknowledged:
        first.setdefault(one.version, one.at_s)
    return first


def _is_well(history: SeededHistory, asked: Asked) -> bool:
    spans = history.gateway_disturbed[asked.gateway]
    return not overlaps(spans, asked.at_s - 1.0, asked.at_s + ANSWERED_WITHIN_S)


def _may_be_broken_off(history: SeededHistory, asked: Asked) -> bool:
    """Return whether a stream that had begun may have lost its back end; no other goes on."""
    lost = any(
        overlaps(spans, asked.at_s - QUIET_BEFORE_S, asked.ended_s)
        for spans in history.back_end_disturbed.values()
    )
    return asked.kind is RouteClass.STREAM and lost


def _is_to_be_served(history: SeededHistory, asked: Asked, begin_s: float) -> bool:
    end_s = asked.at_s + DEADLINE_S
    if overlaps(history.gateway_disturbed[asked.gateway], begin_s, end_s):
        return False
    back_ends = history.back_end_disturbed.values()
    disturbed = sum(overlaps(spans, begin_s, end_s) for spans in back_ends)
    return disturbed == 0 or (asked.kind is RouteClass.REPEATABLE and disturbed < MOST_ATTEMPTS)


class StreamsKeepTheirVersion:
    """All events of a stream come from one version of the back ends, each event once, in order."""

    name = "streams_keep_their_version"

    def check(self, history: SeededHistory) -> Finding:
        """Check each stream over all tries of its caller."""
        finding = Finding()
        for stream in history.streams:
            versions = sorted({version for _, version in stream.events})
            finding.expect(
                len(versions) <= 1,
                f"stream {stream.request_id} holds events of {versions}, by way of "
                f"{[(one.gateway, round(one.at_s, 3)) for one in stream.tries]}",
            )
            numbers = [number for number, _ in stream.events]
            finding.expect(
                numbers == list(range(1, len(numbers) + 1)),
                f"stream {stream.request_id} has the events {numbers}",
            )
        return finding


class StreamsGoOn:
    """While two back ends of their version serve, streams go on half as often as new ones begin."""

    name = "streams_go_on"

    def check(self, history: SeededHistory) -> Finding:
        """Compare the shares over a whole run, if enough streams were taken up again."""
        finding = Finding()
        begun: list[bool] = []
        gone_on: list[bool] = []
        for stream in history.streams:
            version = stream.events[0][1] if stream.events else ""
            seen = 0
            for one in stream.tries:
                if _is_in_touch(history, one):
                    if not seen:
                        begun.append(not one.is_refused)
                    elif _serving(history, version, one.at_s) >= FEWEST_OF_VERSION:
                        gone_on.append(not one.is_refused)
                seen += len(one.events)
        if len(gone_on) < FEWEST_GONE_ON or not begun:
            return finding
        share, share_begun = sum(gone_on) / len(gone_on), sum(begun) / len(begun)
        finding.expect(
            share >= share_begun / 2,
            f"{share:.2f} of {len(gone_on)} streams went on, {share_begun:.2f} of new ones began",
        )
        return finding


def _is_in_touch(history: SeededHistory, one: StreamTry) -> bool:
    """Return whether no fault had a gateway or a control process in its hands lately."""
    begin_s = one.at_s - IN_TOUCH_S
    control = history.control_disturbed.values()
    return not overlaps(history.gateway_disturbed[one.gateway], begin_s, one.at_s) and not any(
        overlaps(spans, begin_s, one.at_s) for spans in control
    )


def _serving(history: SeededHistory, version: str, at_s: float) -> int:
    """Return how many back ends of a version serve undisturbed around a moment."""
    newest: dict[str, BackEndStart] = {}
    for start in history.back_end_starts:
        if start.at_s <= at_s - IN_TOUCH_S:
            newest[start.back_end] = start
    return sum(
        start.version == version
        and not overlaps(history.back_end_disturbed[name], at_s - IN_TOUCH_S, at_s + DEADLINE_S)
        for name, start in newest.items()
    )


ROUTED_CHECKERS = (
    RoutesAreFound(),
    CallersAreAnswered(),
    RequestsAreServed(),
    AnswersAreWhole(),
    RunsAtMostOnce(),
    LeavingGetsNothingNew(),
    PlannedStopsCutNothing(),
    StoppingGatewaysAnswer(),
)

STREAM_CHECKERS = (StreamsKeepTheirVersion(), StreamsGoOn(), ResumedStreamsGoOn())

RELEASE_CHECKERS = (StreamsKeepTheirVersion(), ResumedStreamsGoOn())
"""For callers that try often, of whom ``StreamsGoOn`` would count each refused try as a stream."""
