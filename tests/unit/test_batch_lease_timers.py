"""Tests of the expiry timers of leases."""

from __future__ import annotations

from leverjunction.batch.lease_timers import RETRY_S, LeaseTimers

DURATION_S = 10.0


def test_new_leader_gives_every_lease_a_full_duration() -> None:
    timers = LeaseTimers(DURATION_S)
    timers.granted("before", 0.0)
    timers.became_leader(["a", "b"], 100.0)
    assert timers.expired(109.9) == []
    assert timers.expired(110.0) == ["a", "b"]


def test_renewal_extends_open_leases_and_returns_lost_ones() -> None:
    timers = LeaseTimers(DURATION_S)
    timers.granted("a", 0.0)
    assert timers.renewed(["a", "gone"], 5.0) == ["gone"]
    assert timers.expired(14.9) == []
    assert timers.expired(15.0) == ["a"]


def test_expired_lease_is_returned_again_until_it_has_ended() -> None:
    timers = LeaseTimers(DURATION_S)
    timers.granted("a", 0.0)
    assert timers.expired(10.0) == ["a"]
    assert timers.expired(10.0 + RETRY_S / 2) == []
    assert timers.expired(10.0 + RETRY_S) == ["a"]
    timers.ended(["a"])
    assert timers.expired(100.0) == []


def test_retain_drops_ended_leases_and_adds_unknown_ones() -> None:
    timers = LeaseTimers(DURATION_S)
    timers.granted("kept", 0.0)
    timers.granted("ended", 0.0)
    timers.retain(["kept", "unknown"], 5.0)
    assert timers.expired(10.0) == ["kept"]
    assert timers.expired(15.0) == ["kept", "unknown"]
