"""The promises around planned stops: a whole answer to each request that was read."""

from __future__ import annotations

from collections import defaultdict

from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from leverjunction.routes import RouteClass
from testbed.simulation.checkers.base import Finding, overlaps
from testbed.simulation.history import Span
from testbed.simulation.seeded.history import Asked, PlannedStop, Run, SeededHistory, Worked
from testbed.simulation.seeded.operators import LONG_ROUTE, LONG_TIMEOUT_S
from testbed.simulation.seeded.routed.callers import DEADLINE_S
from testbed.simulation.seeded.routed.faults import STOP_LASTS_S

GRACE_S = STOP_LASTS_S
LAST_SIXTH_S = GRACE_S * 5 / 6
"""Time after the stop request from which a request that is worked on need not be answered."""

CONTACT_S = 3.0
"""Time after a fault of the gateway during which a request does not count."""


class StoppingGatewaysAnswer:
    """A stopping gateway ends in its time, and answers whole what it has read whole."""

    name = "stopping_gateways_answer_what_they_read"

    def check(self, history: SeededHistory) -> Finding:
        """Check each planned stop, and each request that was read around it."""
        finding = Finding()
        seen = _Seen(history)
        for stop in history.stops:
            frozen = history.gateway_frozen[stop.gateway]
            # One that stands still as it is asked learns of it later.
            is_told = not overlaps(frozen, stop.asked_s - 0.001, stop.asked_s + 0.001)
            took_s = stop.ended_s - stop.asked_s
            finding.expect(
                not is_told or (took_s <= GRACE_S and not stop.is_killed),
                f"{stop.gateway} takes {took_s:.3f} s for a planned stop",
            )
            for asked in seen.read_around(stop):
                finding.expect(
                    (asked.status != 0 and asked.is_whole) or seen.is_excused(asked, stop),
                    f"{stop.gateway}, asked to stop at {stop.asked_s:.3f} s, gave "
                    f"{asked.request_id} ({asked.route}) of {asked.at_s:.3f} s "
                    f"no whole answer until {asked.ended_s:.3f} s",
                )
        for asked in history.asked_at_stops:
            seen.check_runs(finding, asked)
        return finding


class _Seen:
    """What callers, gateways and back ends saw of requests, by request."""

    def __init__(self, history: SeededHistory) -> None:
        self._history = history
        self._runs: dict[str, list[Run]] = defaultdict(list)
        self._worked: dict[str, list[Worked]] = defaultdict(list)
        for run in history.runs:
            self._runs[run.request_id].append(run)
        for worked in history.worked:
            self._worked[worked.request_id].append(worked)

    def read_around(self, stop: PlannedStop) -> list[Asked]:
        """Return the requests that were read whole, and under way between a stop and its end."""
        history = self._history
        return [
            asked
            for asked in (*history.asked, *history.asked_at_stops)
            if asked.gateway == stop.gateway
            and asked.request_id in history.read
            and asked.ended_s >= stop.asked_s
            and history.read[asked.request_id] <= stop.ended_s
        ]

    def is_excused(self, asked: Asked, stop: PlannedStop) -> bool:
        """Return whether a request need not be answered."""
        time_s = LONG_TIMEOUT_S if asked.route == LONG_ROUTE else DEADLINE_S
        # One that was sent ahead was there before its caller had read the answer before it.
        begun_s = min(asked.at_s, self._history.read[asked.request_id])
        is_out_of_time = asked.ended_s - begun_s >= time_s
        return (
            is_out_of_time
            or self._is_disturbed(asked)
            or self._is_broken_off(asked)
            or self._is_worked_on(asked, stop)
        )

    def _is_disturbed(self, asked: Asked) -> bool:
        history = self._history
        stops = history.gateway_stopping[asked.gateway]
        spans = [one for one in history.gateway_disturbed[asked.gateway] if one not in stops]
        return overlaps(spans, asked.at_s - CONTACT_S, asked.ended_s)

    def _is_broken_off(self, asked: Asked) -> bool:
        """Return whether a fault had the back end of one of its runs in its hands."""
        return any(
            overlaps(self._faults(run.back_end), run.at_s, asked.ended_s)
            for run in self._runs[asked.request_id]
        )

    def _faults(self, back_end: str) -> list[Span]:
        hindered = self._history.back_end_hindered[back_end]
        return [one for one in self._history.back_end_disturbed[back_end] if one not in hindered]

    def _is_worked_on(self, asked: Asked, stop: PlannedStop) -> bool:
        is_early = asked.at_s <= stop.asked_s + ACCEPT_AFTER_STOP_S
        last_s = stop.asked_s + LAST_SIXTH_S
        worked = self._worked[asked.request_id]
        return is_early and any(
            one.begin_s <= asked.ended_s and one.end_s > last_s for one in worked
        )

    def check_runs(self, finding: Finding, asked: Asked) -> None:
        """Check that what was "not run" did not run, and what may run once did not run twice."""
        count = len(self._runs[asked.request_id])
        if asked.kind is RouteClass.ONCE:
            finding.expect(count <= 1, f"{asked.request_id} ran {count} times")
        if asked.says_not_run:
            finding.expect(count == 0, f"{asked.request_id} is said not to have run, and did")


__all__ = ["StoppingGatewaysAnswer"]
