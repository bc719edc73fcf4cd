"""Which decisions are recorded, and which a follower receives."""

from __future__ import annotations

import random

import msgspec

from leverjunction.observability.decisions import (
    ORDINARY_RECORDS_PER_S,
    Decision,
    DecisionOutcome,
    DecisionRing,
)

ROUTED = Decision(
    wall_ms=5_000,
    request_id="r",
    service="s",
    step="routing",
    outcome=DecisionOutcome.ROUTED,
    reason="lowest score",
)


def ring() -> DecisionRing:
    return DecisionRing(random.Random(1), sample_ratio=0.0)


def numbered(count: int, **changes: object) -> list[Decision]:
    return [
        msgspec.structs.replace(ROUTED, request_id=f"r{number}", **changes)
        for number in range(count)
    ]


def test_ordinary_decisions_are_kept_up_to_a_rate() -> None:
    """All ordinary requests used to be sampled, so ``why`` found no record of most of them."""
    kept = ring()
    results = [kept.add(decision) for decision in numbered(ORDINARY_RECORDS_PER_S + 5)]
    assert results == [True] * ORDINARY_RECORDS_PER_S + [False] * 5
    assert kept.find("r0")
    assert kept.add(msgspec.structs.replace(ROUTED, wall_ms=6_000))


def test_refusals_and_slow_requests_are_kept_at_any_rate() -> None:
    kept = ring()
    for decision in numbered(ORDINARY_RECORDS_PER_S + 1):
        kept.add(decision)
    assert all(kept.add(item) for item in numbered(50, outcome=DecisionOutcome.REFUSED))
    assert all(kept.add(item) for item in numbered(50, waited_ms=1_000.0))


def test_a_follower_receives_every_decision() -> None:
    kept = ring()
    follower = kept.follow(service="s", idle_s=0.0)
    assert next(follower) is None
    decisions = numbered(ORDINARY_RECORDS_PER_S * 3)
    for decision in decisions:
        kept.add(decision)
    kept.add(msgspec.structs.replace(ROUTED, service="other"))
    seen = [next(follower) for _ in decisions]
    assert [record.request_id for record in seen if record] == [d.request_id for d in decisions]
    follower.close()
    assert not kept.add(numbered(1)[0])
