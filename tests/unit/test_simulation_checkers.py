"""Checkers and the linearizability search on small histories made by hand."""

from __future__ import annotations

import pytest

from leverjunction.batch.commands import JobState
from leverjunction.errors import Execution
from testbed.simulation.checkers.base import undisturbed_by
from testbed.simulation.checkers.jobs import CancelledJobStops, JobsModel
from testbed.simulation.checkers.liveness import MovesAgain
from testbed.simulation.checkers.online import (
    AtMostOnce,
    LeavingGetsNoWork,
    NotRunIsTrue,
    OnlineNeverBehindBatch,
    PlannedStopCutsNothing,
    WholeOwnAnswer,
)
from testbed.simulation.checkers.settings import SettingsInForce, SettingsModel
from testbed.simulation.history import (
    EngineRun,
    GatewayStop,
    GroupAtRest,
    History,
    JobAction,
    JobAnswer,
    JobRecord,
    JobRequest,
    OnlineRecord,
    SettingsAnswer,
    SettingsRequest,
    SharedStep,
    Span,
    VersionInForce,
)
from testbed.simulation.linearizability import NEVER_S, Operation, is_linearizable


def _record(**changes: object) -> OnlineRecord:
    record = OnlineRecord(
        work_id="online/1",
        gateway="gateway-0",
        may_repeat=False,
        key="",
        service="llm",
        stream=True,
        expected="ba ke mi",
        sent_s=10.0,
        served_id="gateway-0-1",
        ended_s=12.0,
        text="ba ke mi",
        whole=True,
        status=200,
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def _run(
    work_id: str = "online/1", received_s: float = 10.1, sent_s: float | None = None
) -> EngineRun:
    sent_s = received_s if sent_s is None else sent_s
    return EngineRun(work_id, "gateway-0-1", "llm-0", "gateway-0", False, sent_s, received_s)


def _read(call_s: float, version: int) -> Operation[SettingsRequest, SettingsAnswer]:
    answer = SettingsAnswer(version, False)
    return Operation(call_s, call_s + 0.5, SettingsRequest("", 0), answer)


def _change(
    call_s: float, base: int, version: int, accepted: bool
) -> Operation[SettingsRequest, SettingsAnswer]:
    request = SettingsRequest(f"change-{call_s}", base)
    return Operation(call_s, call_s + 0.5, request, SettingsAnswer(version, accepted))


@pytest.mark.parametrize(
    ("sent_s", "received_s", "ended_s", "problems"),
    [
        (20.5, 24.8, 24.9, 0),
        (20.5, 24.8, 29.9, 1),
        (24.1, 24.2, 24.3, 1),
        (19.0, 19.1, 24.9, 0),
        (19.0, 19.1, 25.1, 1),
    ],
    ids=[
        "sent before the gateway knew, held up on its way",
        "held up on its way and left running",
        "sent when the gateway had to know",
        "ran already and was stopped",
        "ran already and was left running",
    ],
)
def test_items_of_a_cancelled_job(
    sent_s: float, received_s: float, ended_s: float, problems: int
) -> None:
    """Cancelled at 20 s; 4 s to learn of it, 5 s to stop what runs or still arrives."""
    job = JobRecord("bima", "job-1", 1, True, 0, [""], cancelled_s=20.0)
    run = _run(job.work_id(0), received_s, sent_s)
    run.ended_s = ended_s
    history = History(batch_allowed=2, jobs={"job-1": job}, runs=[run], ended_s=76.0)
    assert len(CancelledJobStops().check(history).violations) == problems


@pytest.mark.parametrize(
    ("whole_voters", "commits", "problems"),
    [(3, True, 0), (2, False, 1), (1, False, 0)],
    ids=["moves", "stands still with a majority of disks", "has lost a majority of disks"],
)
def test_a_group_commits_again_while_a_majority_of_disks_is_whole(
    whole_voters: int, commits: bool, problems: int
) -> None:
    group = GroupAtRest("root", 44.0, whole_voters, 2, commits)
    history = History(batch_allowed=2, groups_at_rest=[group])
    assert len(MovesAgain().check(history).violations) == problems


def test_a_gateway_that_ends_behind_the_others_is_told() -> None:
    in_force = [VersionInForce(1.0, name, 1, 7, {}) for name in ("gateway-0", "gateway-1")]
    in_force.append(VersionInForce(2.0, "gateway-0", 1, 8, {}))
    history = History(batch_allowed=2, in_force=in_force)
    (text,) = MovesAgain().check(history).violations
    assert "gateway-1 ends with version 7" in text


def test_settings_history_in_order_is_linearizable() -> None:
    history = [_change(0, 0, 1, True), _read(1, 1), _change(2, 0, 1, False), _read(3, 1)]
    assert is_linearizable(SettingsModel(), history)


@pytest.mark.parametrize(
    "history",
    [
        [_change(0, 0, 1, True), _read(1, 0)],
        [_change(0, 0, 1, True), _change(1, 0, 2, True)],
        [_change(0, 0, 1, True), _change(0.1, 0, 1, True)],
        [_read(0, 3)],
    ],
    ids=["stale read", "lost update", "two winners on one base", "version from nowhere"],
)
def test_impossible_settings_history_is_refused(
    history: list[Operation[SettingsRequest, SettingsAnswer]],
) -> None:
    assert not is_linearizable(SettingsModel(), history)


def test_a_lost_answer_may_have_taken_effect_or_not() -> None:
    lost = Operation(0.0, NEVER_S, SettingsRequest("change-a", 0), None)
    assert is_linearizable(SettingsModel(), [lost, _read(1, 1)])
    assert is_linearizable(SettingsModel(), [lost, _read(1, 0), _read(2, 1)])
    assert not is_linearizable(SettingsModel(), [lost, _read(1, 1), _read(2, 0)])


def _job(call_s: float, action: str, state: JobState, final: int) -> Operation:
    return Operation(call_s, call_s + 0.5, JobRequest(action), JobAnswer(state, final))


def test_job_states_only_move_on() -> None:
    accept = _job(0, JobAction.ACCEPT, JobState.ACCEPTED, 0)
    done = _job(2, JobAction.READ, JobState.COMPLETED, 3)
    assert is_linearizable(
        JobsModel(3), [accept, _job(1, JobAction.READ, JobState.ACCEPTED, 2), done]
    )
    back = _job(3, JobAction.READ, JobState.ACCEPTED, 2)
    assert not is_linearizable(JobsModel(3), [accept, done, back])
    cancelled = _job(1, JobAction.READ, JobState.CANCELLED, 3)
    assert not is_linearizable(JobsModel(3), [accept, cancelled])


def test_whole_answer_checker() -> None:
    def violations(record: OnlineRecord) -> list[str]:
        return WholeOwnAnswer().check(History(online=[record], ended_s=50.0)).violations

    assert violations(_record()) == []
    assert violations(_record(text="ba ke")) != []
    assert violations(_record(text="no tu ra")) != []
    assert violations(_record(text="ba", whole=False)) != []
    assert violations(_record(text="ba", whole=False, explicit_error=True)) == []


def test_not_run_and_at_most_once_checkers() -> None:
    refused = _record(execution=Execution.NOT_RUN, status=503, whole=False, text="")
    assert NotRunIsTrue().check(History(online=[refused])).violations == []
    assert NotRunIsTrue().check(History(online=[refused], runs=[_run()])).violations != []
    twice = History(online=[_record()], runs=[_run(), _run(received_s=11.0)])
    assert AtMostOnce().check(twice).violations != []


def test_leaving_checker_gives_a_gateway_that_was_cut_off_its_time() -> None:
    history = History(runs=[_run(received_s=17.0)], leaving={"llm-0": 10.0})
    assert LeavingGetsNoWork().check(history).violations != []
    history.gateway_impaired["gateway-0"] = [Span(9.0, 15.0)]
    assert LeavingGetsNoWork().check(history).violations == []


def test_leaving_checker_counts_the_time_of_sending() -> None:
    """Kilimo 1029: a frozen back end read, when it woke, what was sent before it was to leave."""
    history = History(runs=[_run(received_s=17.0, sent_s=9.0)], leaving={"llm-0": 10.0})
    assert LeavingGetsNoWork().check(history).violations == []
    history.runs = [_run(received_s=17.0, sent_s=16.9)]
    assert LeavingGetsNoWork().check(history).violations != []


def test_planned_stop_checker() -> None:
    broken = _record(broken=True, whole=False, ended_s=12.0)
    history = History(online=[broken], stops=[GatewayStop("gateway-0", 11.0, 12.0)])
    assert PlannedStopCutsNothing().check(history).violations != []
    history.stops = [GatewayStop("gateway-1", 11.0, 12.0)]
    assert PlannedStopCutsNothing().check(history).violations == []


def test_planned_stop_checker_excuses_no_request_that_was_sent_shortly_before() -> None:
    unread = _record(broken=True, whole=False, status=0, sent_s=11.95, ended_s=12.0)
    history = History(online=[unread], stops=[GatewayStop("gateway-0", 11.0, 12.0)])
    assert PlannedStopCutsNothing().check(history).violations != []


def test_online_first_checker() -> None:
    behind = SharedStep("llm-0", 10.0, 0.1, 10.0, 1, 2, (), ("online/1",))
    assert OnlineNeverBehindBatch().check(History(steps=[behind])).violations != []
    crowded = [
        SharedStep("llm-0", 20.0 + number, 0.1, 10.0, 1, 4, ("gateway-0",) * 4, ())
        for number in range(10)
    ]
    history = History(steps=crowded, batch_allowed=2)
    assert OnlineNeverBehindBatch().check(history).violations != []
    history.batch_allowed = 4
    assert OnlineNeverBehindBatch().check(history).violations == []


def test_settings_in_force_checker_sees_a_step_back() -> None:
    entries = [VersionInForce(float(v), "gateway-0", 1, v, {}) for v in (2, 1)]
    history = History(in_force=entries, audited_changes=[])
    texts = SettingsInForce().check(history).violations
    assert any("went from version 2 to 1" in text for text in texts)


def test_undisturbed_time_begins_anew_after_an_impairment() -> None:
    assert undisturbed_by(10.0, 4.0, [Span(12.0, 13.0)]) == 17.0
    assert undisturbed_by(10.0, 4.0, [Span(15.0, 16.0)]) == 14.0
