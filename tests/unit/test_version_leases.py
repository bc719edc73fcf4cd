"""Tests of the leases on the set of versions of each service."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from tests.unit.seeded_support import wait_until
from tests.unit.test_registry_follower import Hubs

from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.commands import WatchRequest
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.origins import STREAM_LIFETIME_S
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.registry.version_leases import (
    CONTROL_LEASE_S,
    LEASE_MARGIN_S,
    ControlLease,
    FirstSeen,
    FollowedViews,
    ReportViews,
    SharedRevisions,
    VersionChanges,
    ViewReports,
)

NOT_HEARD = Failure(
    kind=FailureKind.UNREACHABLE,
    reason="nobody listens",
    step=Step.SENDING,
    execution=Execution.NOT_RUN,
)
VIEW_LEASE_S = 2.0
CONTROLS = ("c:1", "c:2", "c:3")
HELD = SharedRevisions(controls=5, gateways=5, are_held=True)


def runner(version: str, number: int = 0) -> RunnerRecord:
    return RunnerRecord(
        runner_id=f"i-{number}", service="pool", address="", zone="a", slots=1, version=version
    )


def report(control: str, revision: int, *, is_unsure: bool = False, **gateways: int) -> ReportViews:
    return ReportViews(control=control, revision=revision, gateways=gateways, is_unsure=is_unsure)


def all_report(reports: ViewReports, now_s: float, revision: int = 5) -> None:
    for control in CONTROLS:
        reports.record(report(control, revision), now_s)


def followed_views() -> FollowedViews:
    """Return those of a process that has run for long enough at 100 s."""
    return FollowedViews(VIEW_LEASE_S, 0.0)


def test_a_gateway_is_listed_until_its_lease_is_over() -> None:
    views = followed_views()
    views.asked("front-1", 4)
    assert views.report("c:1", 5, 100.0).gateways == {"front-1": 4}
    views.replied("front-1", 100.9)
    assert views.report("c:1", 5, 102.8).gateways == {"front-1": 4}
    assert views.report("c:1", 5, 103.0).gateways == {}


def test_a_gateway_whose_call_is_held_stays_listed() -> None:
    views = followed_views()
    views.asked("front-1", 4)
    assert views.report("c:1", 5, 500.0).gateways == {"front-1": 4}


def test_what_a_former_start_of_a_gateway_acknowledged_does_not_count_for_the_next() -> None:
    """Symptom: a gateway that followed a lagging process after its restart was taken for current,
    and took the former version of a service for the only one.
    """
    views = {control: followed_views() for control in CONTROLS}
    starts = [first_gateway_name(seed) for seed in (1, 2)]
    views["c:2"].asked(starts[0], 12)
    views["c:2"].replied(starts[0], 100.0)
    views["c:1"].asked(starts[1], 0)
    views["c:1"].replied(starts[1], 100.5)
    reports = ViewReports(0.0)
    for control in CONTROLS:
        reports.record(views[control].report(control, 12, 100.6), 100.6)
    assert reports.shared(CONTROLS, 100.6).gateways < 12


def first_gateway_name(seed: int) -> str:
    """Return the name in the first watch call of a start of gateway ``front-1``."""
    names: list[str] = []

    def answer(_hub: str, request: WatchRequest) -> Failure:
        names.append(request.gateway)
        return NOT_HEARD

    follower = RegistryFollower(
        Hubs(answer),  # type: ignore[arg-type]
        ("c:1",),
        "",
        SystemClock(),
        Random(seed),
        lambda _snapshot: None,
        gateway="front-1",
    )
    follower.start()
    wait_until(lambda: bool(names), 5.0)
    follower.stop()
    return names[0]


def test_a_gateway_acknowledges_with_its_next_call() -> None:
    views = followed_views()
    views.asked("front-1", 4)
    views.replied("front-1", 100.0)
    views.asked("front-1", 5)
    assert views.report("c:1", 5, 100.1).gateways == {"front-1": 5}


def test_a_process_that_has_just_started_does_not_know_all_gateways() -> None:
    """A former start of it may have sent one a state without the newest version."""
    views = FollowedViews(VIEW_LEASE_S, 100.0)
    assert views.report("c:1", 5, 101.9).is_unsure
    assert not views.report("c:1", 5, 102.1).is_unsure


def test_a_gateway_of_an_older_build_makes_the_report_unsure() -> None:
    views = followed_views()
    views.asked("", 5)
    views.replied("", 100.0)
    assert views.report("c:1", 5, 101.9).is_unsure
    assert not views.report("c:1", 5, 102.1).is_unsure


def test_the_lowest_revision_of_all_processes_is_shared() -> None:
    reports = ViewReports(0.0)
    reports.record(report("c:1", 9, front_1=9), 100.0)
    reports.record(report("c:2", 8, front_2=7), 100.0)
    assert reports.shared(CONTROLS, 100.0).gateways == -1
    reports.record(report("c:3", 9), 100.0)
    assert reports.shared(CONTROLS, 100.0) == SharedRevisions(controls=8, gateways=7, are_held=True)


def test_a_gateway_that_turned_to_another_control_process_is_known_by_its_newest_call() -> None:
    reports = ViewReports(0.0)
    reports.record(report("c:1", 9, front_1=4), 100.0)
    reports.record(report("c:2", 9, front_1=9), 100.0)
    reports.record(report("c:3", 9), 100.0)
    assert reports.shared(CONTROLS, 100.0).gateways == 9


def test_unknown_gateways_share_nothing() -> None:
    reports = ViewReports(0.0)
    all_report(reports, 100.0)
    reports.record(report("c:2", 5, is_unsure=True), 100.0)
    assert reports.shared(CONTROLS, 100.0) == SharedRevisions(controls=5, gateways=-1)


def test_a_silent_control_process_is_waited_for_until_its_lease_is_over() -> None:
    reports = ViewReports(0.0)
    all_report(reports, 100.0, 4)
    for control in CONTROLS[:2]:
        reports.record(report(control, 5), 100.0 + CONTROL_LEASE_S)
    assert reports.shared(CONTROLS, 100.0 + CONTROL_LEASE_S).controls == 4
    over_s = 100.1 + CONTROL_LEASE_S
    # Gateways that it served may have an older state, for as long as they trust one.
    assert reports.shared(CONTROLS, over_s) == SharedRevisions(
        controls=5, gateways=4, are_held=True
    )


def test_a_new_leader_waits_for_the_leases_of_the_former_one() -> None:
    reports = ViewReports(100.0)
    reports.record(report("c:1", 5), 101.0)
    shared = reports.shared(CONTROLS, 100.0 + CONTROL_LEASE_S)
    assert shared == SharedRevisions()
    reports.record(report("c:1", 5), 108.0)
    assert reports.shared(CONTROLS, 100.1 + CONTROL_LEASE_S).controls == 5


def test_a_control_process_that_was_removed_is_waited_for() -> None:
    reports = ViewReports(0.0)
    all_report(reports, 100.0, 4)
    reports.shared(CONTROLS, 100.0)
    for control in CONTROLS[:2]:
        reports.record(report(control, 5), 101.0)
    assert reports.shared(CONTROLS[:2], 101.0).controls == 4


def test_a_lease_ends_before_others_stop_to_wait_for_it() -> None:
    lease = ControlLease()
    lease.granted(HELD, 100.0)
    assert lease.is_valid(0.1, 100.0 + CONTROL_LEASE_S - LEASE_MARGIN_S - 0.1)
    assert not lease.is_valid(0.1, 100.0 + CONTROL_LEASE_S - LEASE_MARGIN_S + 0.1)
    assert not lease.is_valid(CONTROL_LEASE_S, 100.0)


def test_no_lease_is_granted_beside_gateways_of_an_older_build() -> None:
    lease = ControlLease()
    lease.granted(HELD, 100.0)
    lease.granted(SharedRevisions(controls=5), 101.0)
    assert not lease.is_valid(0.1, 101.0)
    assert lease.shared.gateways == 5


@pytest.mark.parametrize(
    ("shared", "held_s"),
    [
        (SharedRevisions(), CONTROL_LEASE_S),
        (SharedRevisions(controls=4, gateways=4), CONTROL_LEASE_S),
        (SharedRevisions(controls=5, gateways=4), VIEW_LEASE_S),
        (HELD, 0.0),
    ],
)
def test_a_version_is_held_back_until_nobody_takes_another_for_the_only_one(
    shared: SharedRevisions, held_s: float
) -> None:
    seen = FirstSeen(100.0, 5)
    if held_s:
        assert not seen.is_widely_known(shared, 100.0 + held_s, VIEW_LEASE_S)
    assert seen.is_widely_known(shared, 100.1 + held_s, VIEW_LEASE_S)


def test_a_version_that_may_have_come_back_unseen_waits_again() -> None:
    view = FleetView(revision=3, runners=(runner("v1"),))
    changes = VersionChanges()
    changes.update(view, 0.0)
    changes.update(msgspec.structs.replace(view, revision=9), STREAM_LIFETIME_S)
    assert changes.revision == 3
    changes.update(msgspec.structs.replace(view, revision=12), 0.1 + 2 * STREAM_LIFETIME_S)
    assert changes.revision == 12


def test_only_another_version_waits_for_acknowledgements() -> None:
    def view(revision: int, *versions: str) -> FleetView:
        runners = tuple(runner(version, number) for number, version in enumerate(versions))
        return FleetView(revision=revision, runners=runners)

    changes = VersionChanges()
    changes.update(view(3, "v1"), 99.0)
    changes.update(view(4, "v1", "v1"), 100.0)
    assert changes.revision == 3
    changes.update(view(5, "v1", "v2"), 100.0)
    assert changes.is_pending(SharedRevisions(gateways=4), 100.0)
    assert not changes.is_pending(HELD, 100.0)
    assert not changes.is_pending(SharedRevisions(), 100.1 + CONTROL_LEASE_S)


def test_versions_are_unknown_after_a_reply_that_does_not_tell_them() -> None:
    """Symptom: a version that joined since counted as known to all gateways."""
    told = SharedRevisions(controls=12, gateways=12, are_held=True, versions=12)
    assert told.merged(None).versions == -1
    assert told.merged(SharedRevisions(controls=20)).versions == -1
    assert told.merged(SharedRevisions(versions=8)).versions == 12
    assert told.merged(SharedRevisions(versions=20)).versions == 20
