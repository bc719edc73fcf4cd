"""Sustained slow steps extend a replica's timeouts; a single slow step does not."""

from __future__ import annotations

from random import Random

import pytest

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.slow_steps import SlowSteps
from leverjunction.consensus.types import Configuration, DurableState, GroupConfig, Member


@pytest.mark.parametrize(
    ("steps", "now_s", "sustained_s"),
    [
        ([], 10.0, 0.0),
        ([(1.0, 4.0)], 1.0, 0.0),
        ([(1.0, 4.0), (2.0, 3.0)], 2.0, 0.0),
        ([(1.0, 0.3), (2.0, 0.3), (3.0, 0.2)], 3.0, 0.2),
        ([(1.0, 4.0), (2.0, 0.3), (3.0, 0.2), (3.5, 0.1)], 4.0, 0.2),
        ([(1.0, 0.04), (2.0, 0.04), (3.0, 0.04)], 3.0, 0.0),
        ([(1.0, 0.3), (2.0, 0.3), (3.0, 0.3)], 6.5, 0.0),
    ],
    ids=[
        "none",
        "one freeze",
        "two",
        "three syncs",
        "the third longest",
        "short ones",
        "long ago",
    ],
)
def test_sustained_step_duration(
    steps: list[tuple[float, float]], now_s: float, sustained_s: float
) -> None:
    slow = SlowSteps()
    for at_s, took_s in steps:
        slow.record(at_s, took_s)
    assert slow.sustained_s(now_s) == sustained_s


@pytest.mark.parametrize(
    ("took_s", "timeouts_s"),
    [(0.06, (0.4, 0.8)), (0.2, (0.8, 1.6)), (0.3, (1.2, 2.4)), (5.0, (1.5, 3.0))],
    ids=["fast enough", "slow", "slower", "bounded"],
)
def test_a_slow_replica_extends_its_timeouts(
    took_s: float, timeouts_s: tuple[float, float]
) -> None:
    members = tuple(Member(replica_id=item, address=item) for item in ("a", "b", "c"))
    durable = DurableState(
        replica_id="a", founding_id="f", base_configuration=Configuration(members)
    )
    config = GroupConfig(
        group="g",
        address="a",
        first_members=(),
        election_timeout_min_s=0.4,
        election_timeout_max_s=0.8,
    )
    core = RaftCore(config, durable, Random(1), 10.0)
    for _ in range(3):
        core.slow_steps.record(10.0, took_s)
    assert (core.timeout_min_s, core.timeout_max_s) == pytest.approx(timeouts_s)
    assert core.lease_s < core.timeout_min_s
