"""Expiry of leases by the leader's monotonic clock."""

from __future__ import annotations

from leverjunction.batch.lease_keeper import RETRY_S, LeaseKeeper

DURATION_S = 10.0


def test_new_leader_gives_every_lease_a_whole_duration() -> None:
    keeper = LeaseKeeper(DURATION_S)
    keeper.granted("before", 0.0)
    keeper.became_leader(["a", "b"], 100.0)
    assert keeper.expired(109.9) == []
    assert keeper.expired(110.0) == ["a", "b"]


def test_renewal_extends_and_names_lost_leases() -> None:
    keeper = LeaseKeeper(DURATION_S)
    keeper.granted("a", 0.0)
    assert keeper.renewed(["a", "gone"], 5.0) == ["gone"]
    assert keeper.expired(14.9) == []
    assert keeper.expired(15.0) == ["a"]


def test_expiry_is_offered_again_until_the_lease_is_gone() -> None:
    keeper = LeaseKeeper(DURATION_S)
    keeper.granted("a", 0.0)
    assert keeper.expired(10.0) == ["a"]
    assert keeper.expired(10.0 + RETRY_S / 2) == []
    assert keeper.expired(10.0 + RETRY_S) == ["a"]
    keeper.ended(["a"])
    assert keeper.expired(100.0) == []


def test_retain_follows_the_applied_state() -> None:
    keeper = LeaseKeeper(DURATION_S)
    keeper.granted("kept", 0.0)
    keeper.granted("ended", 0.0)
    keeper.retain(["kept", "unknown"], 5.0)
    assert keeper.expired(10.0) == ["kept"]
    assert keeper.expired(15.0) == ["kept", "unknown"]
