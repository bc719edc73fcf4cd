"""Tests of the leader's decisions: expiry, founding of groups, and placement of voters."""

from __future__ import annotations

import pytest

from leverjunction.registry import (
    ExpireRunners,
    FleetView,
    GroupRecord,
    MemberRecord,
    MemberRole,
    PutGroup,
    RunnerRecord,
)
from leverjunction.registry.commands import DropMember, LivenessReport, RegistryCommand
from leverjunction.registry.reconciler import Reconciler, ReconcilerLimits
from leverjunction.registry.records import JOBS_GROUP

LIMITS = ReconcilerLimits(losses=1)


def member(name: str, role: MemberRole = MemberRole.STORE, zone: str = "z1") -> MemberRecord:
    return MemberRecord(name=name, role=role, address=f"{name}:1", zone=zone)


def view(*members: MemberRecord, voters: tuple[str, ...] = ()) -> FleetView:
    addresses = tuple(f"{name}:1" for name in voters)
    group = GroupRecord(name=JOBS_GROUP, founders=addresses, voters=addresses)
    return FleetView(revision=1, members=members, groups=(group,) if voters else ())


def put(*names: str) -> PutGroup:
    return PutGroup(JOBS_GROUP, tuple(f"{name}:1" for name in names))


def steps(
    reconciler: Reconciler, seen: FleetView, until_s: float, alive: tuple[str, ...] = ()
) -> list[RegistryCommand]:
    """Step every 0.5 s of test time; return each distinct command once."""
    due: list[RegistryCommand] = []
    now_s = 0.0
    while now_s <= until_s:
        reconciler.record_contact(LivenessReport((), alive), now_s)
        due += [item for item in reconciler.step(seen, (), now_s) if item not in due]
        now_s += 0.5
    return due


def test_the_group_is_founded_once_enough_stores_have_settled() -> None:
    reconciler = Reconciler(LIMITS, 0.0)
    stores = [member("a", zone="z1"), member("b", zone="z1"), member("c", zone="z2")]
    assert steps(reconciler, view(*stores[:2]), 0.5) == []
    assert steps(Reconciler(LIMITS, 0.0), view(*stores), 2.0) == [put("a", "b", "c")]


def test_founders_are_spread_over_zones() -> None:
    stores = [member(name, zone=zone) for name, zone in zip("abcd", "1123", strict=True)]
    assert steps(Reconciler(LIMITS, 0.0), view(*stores), 2.0) == [put("a", "c", "d")]


def test_with_too_few_stores_the_group_is_founded_after_the_longest_wait() -> None:
    stores = [member("a"), member("b")]
    assert steps(Reconciler(LIMITS, 0.0), view(*stores), 4.0) == []
    assert steps(Reconciler(LIMITS, 0.0), view(*stores), 6.0) == [put("a", "b")]


def test_a_silent_voter_is_replaced_by_a_spare() -> None:
    stores = [member(name) for name in "abcd"]
    seen = view(*stores, voters=("a", "b", "c"))
    due = steps(Reconciler(LIMITS, 0.0), seen, 2.0, alive=("a", "b", "d"))
    assert due == []
    due = steps(Reconciler(LIMITS, 0.0), seen, 3.0, alive=("a", "b", "d"))
    assert due == [put("a", "b", "d")]


def test_without_a_spare_a_silent_voter_stays() -> None:
    stores = [member(name) for name in "abc"]
    due = steps(Reconciler(LIMITS, 0.0), view(*stores, voters=("a", "b", "c")), 9.0, ("a", "b"))
    assert due == []


def test_a_retiring_voter_moves_at_once() -> None:
    retiring = MemberRecord(
        name="a", role=MemberRole.STORE, address="a:1", zone="z1", retiring=True
    )
    stores = [retiring, member("b"), member("c"), member("d")]
    due = steps(Reconciler(LIMITS, 0.0), view(*stores, voters=("a", "b", "c")), 0.5, tuple("abcd"))
    assert due == [put("b", "c", "d")]


def test_a_new_leader_waits_the_full_timeout_before_it_expires_a_runner() -> None:
    runner = RunnerRecord(runner_id="i-1", service="s", address="a:1", zone="z", slots=1)
    seen = FleetView(revision=1, runners=(runner,))
    reconciler = Reconciler(LIMITS, 100.0)
    assert reconciler.step(seen, (), 100.0) == []
    assert reconciler.step(seen, (), 105.0) == []
    assert reconciler.step(seen, (), 106.0) == [ExpireRunners(("i-1",))]


def test_a_machine_that_is_silent_for_long_and_holds_nothing_is_dropped() -> None:
    stores = [member(name) for name in "abcd"]
    seen = view(*stores, voters=("a", "b", "c"))
    due = steps(Reconciler(LIMITS, 0.0), seen, 12.0, alive=("a", "b", "c"))
    assert due == [DropMember("d")]


def test_the_silence_of_a_new_machine_counts_from_its_join() -> None:
    """Guards against removing a machine as it joins.

    The failure: its silence was counted from the leader's start instead of from its join.
    """
    stores = [member(name) for name in "abcd"]
    reconciler = Reconciler(LIMITS, 0.0)
    steps(reconciler, view(*stores[:3], voters=("a", "b", "c")), 30.0, alive=("a", "b", "c"))
    reconciler.record_contact(LivenessReport((), ("a", "b", "c")), 30.0)
    assert reconciler.step(view(*stores, voters=("a", "b", "c")), (), 30.5) == []


def controls(*names: str) -> FleetView:
    return view(*(member(name, MemberRole.CONTROL) for name in names))


@pytest.mark.parametrize(
    ("current", "alive", "at_s", "wanted"),
    [
        ("abc", "abcde", 0.5, "abcde"),
        ("abcde", "abcde", 20.0, "abcde"),
        # A new machine replaces a silent one.
        ("abcde", "abcdf", 3.0, "abcdf"),
        # Without a replacement a silent machine is removed later, if enough voters remain.
        ("abcde", "abcd", 3.0, "abcde"),
        ("abcde", "abcd", 11.0, "abcd"),
        ("abc", "ab", 30.0, "abc"),
    ],
)
def test_control_voters(current: str, alive: str, at_s: float, wanted: str) -> None:
    reconciler = Reconciler(LIMITS, 0.0)
    known = controls(*sorted(set(current) | set(alive)))
    reconciler.step(known, (), 0.0)
    reconciler.record_contact(LivenessReport((), tuple(alive)), at_s)
    before = tuple(f"{name}:1" for name in current)
    after = reconciler.control_voters(known, before, at_s)
    assert after == tuple(f"{name}:1" for name in wanted)
