"""Online requests: never behind batch, whole answers, true refusals, at most once, clean stops."""

from __future__ import annotations

from collections import defaultdict

from leverjunction.errors import Execution
from testbed.simulation.checkers.base import Finding, undisturbed_by
from testbed.simulation.history import EngineRun, History, OnlineRecord

LEFT_WITHIN_S = 6.0
"""Longest time from a back end's listing as leaving until it gets no new work.

The machine list is read each second, the exchange runs each second, and a hub may fail between.
"""


class OnlineNeverBehindBatch:
    """Online requests never wait behind batch work."""

    name = "online_never_waits_behind_batch"

    def check(self, history: History) -> Finding:
        """Check that no batch work enters a step while an online request waits on its runner."""
        finding = Finding()
        batch_starts: dict[str, list[EngineRun]] = defaultdict(list)
        for run in history.runs:
            if run.batch:
                batch_starts[run.runner].append(run)
        for run in history.runs:
            if not run.batch:
                self._check_run(run, batch_starts[run.runner], finding)
        return finding

    def _check_run(self, run: EngineRun, batch: list[EngineRun], finding: Finding) -> None:
        overtaken = [other for other in batch if run.received_s < other.started_s < run.started_s]
        finding.expect(
            not overtaken,
            f"{run.work_id} waited on {run.runner} from {run.received_s:.3f} s while "
            f"{len(overtaken)} batch items started",
        )


class WholeOwnAnswer:
    """A caller gets the whole answer to its own request."""

    name = "caller_gets_whole_own_answer"

    def check(self, history: History) -> Finding:
        """Check every finished answer word by word, and that none ends in silence."""
        finding = Finding()
        for record in history.online:
            if record.status != 200:
                continue
            if record.whole:
                finding.expect(
                    record.text == record.expected,
                    f"{record.request_id} got another text than its own answer",
                )
            else:
                finding.expect(
                    record.expected.startswith(record.text),
                    f"{record.request_id} got words that are not of its own answer",
                )
                finding.expect(
                    record.explicit_error or record.gateway_lost,
                    f"{record.request_id} was cut without an error",
                )
        return finding


class NotRunIsTrue:
    """A refusal that says "not run" is true."""

    name = "not_run_is_true"

    def check(self, history: History) -> Finding:
        """Check that no back end received a request refused as not run."""
        finding = Finding()
        ran = {run.work_id for run in history.runs}
        for record in history.online:
            if record.execution is Execution.NOT_RUN:
                finding.expect(
                    record.request_id not in ran,
                    f"{record.request_id} was refused as not run, and a back end ran it",
                )
        return finding


class AtMostOnce:
    """A request that may not be repeated runs at most once."""

    name = "may_not_repeat_runs_at_most_once"

    def check(self, history: History) -> Finding:
        """Count the runs of each key, and of each batch item that may not repeat."""
        finding = Finding()
        keys = {record.request_id: record.key for record in history.online if record.key}
        runs: dict[str, int] = defaultdict(int)
        for run in history.runs:
            if not run.may_repeat:
                runs[keys.get(run.work_id, run.work_id)] += 1
        for work, count in runs.items():
            finding.expect(count <= 1, f"{work} may not be repeated and ran {count} times")
        return finding


class LeavingGetsNoWork:
    """A leaving back end gets no new work after a few seconds."""

    name = "leaving_back_end_gets_no_new_work"

    def check(self, history: History) -> Finding:
        """Check when each leaving back end got its last new work, and from whom."""
        finding = Finding()
        for run in history.runs:
            leaving_s = history.leaving.get(run.runner)
            if leaving_s is None:
                continue
            impaired = [*history.gateway_impaired.get(run.gateway, []), *history.control_impaired]
            limit_s = undisturbed_by(leaving_s, LEFT_WITHIN_S, impaired)
            finding.expect(
                run.received_s <= limit_s,
                f"{run.runner} was leaving since {leaving_s:.3f} s and got {run.work_id} "
                f"from {run.gateway} at {run.received_s:.3f} s",
            )
        return finding


class PlannedStopCutsNothing:
    """A planned stop cuts no request."""

    name = "planned_stop_cuts_no_request"

    def check(self, history: History) -> Finding:
        """Check that every request of a stopping gateway got its end."""
        finding = Finding()
        for stop in history.stops:
            for record in history.online:
                if self._concerns(stop.gateway, stop.asked_s, record):
                    finding.expect(
                        record.status != 0 and (record.status != 200 or record.whole),
                        f"{record.request_id} was cut by the planned stop of {stop.gateway}",
                    )
        return finding

    def _concerns(self, gateway: str, asked_s: float, record: OnlineRecord) -> bool:
        open_then = record.sent_s <= asked_s < record.ended_s
        return record.gateway == gateway and open_then and not record.excused
