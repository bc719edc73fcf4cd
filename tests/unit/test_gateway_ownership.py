"""The runners that a gateway owns, and when they are computed again."""

from __future__ import annotations

import msgspec
import pytest

from leverjunction.gateway.ownership import OwnedRunners, owned_runners
from leverjunction.gateway.view import ClusterSnapshot, apply_reply
from leverjunction.wire.messages import ExchangeReply, GatewayState, RunnerDigest, RunnerState

GATEWAYS = [
    GatewayState(
        gateway_id=f"g{number}", address="a", rpc_address="r", zone="z", incarnation=1,
    )
    for number in range(3)
]  # fmt: skip
RUNNERS = [
    RunnerState(runner_id=f"r{number}", address="a", zone="z", service="llm")
    for number in range(12)
]
DIGEST = RunnerDigest(
    runner_id="r1", running=1, waiting=0, batch_running=0, kv_used_ratio=0.0, as_of_ms=5
)
NEW_RUNNER = RunnerState(runner_id="r99", address="a", zone="z", service="llm")


def reply(full_view: bool = False, **changes: list[object]) -> ExchangeReply:
    values: dict[str, object] = {
        name: []
        for name in (
            "settings", "gateways", "gone_gateways", "runners", "gone_runners", "digests",
            "lost_lease_ids", "cancelled_jobs", "hubs",
        )
    }  # fmt: skip
    values |= {
        "settings_version": 1,
        "view_version": 2,
        "hub_incarnation": 1,
        "full_view": full_view,
        "quorum_age_s": 0.0,
    }
    return ExchangeReply(**(values | changes))  # type: ignore[arg-type]


@pytest.fixture
def state() -> ClusterSnapshot:
    return apply_reply(
        ClusterSnapshot(), reply(full_view=True, gateways=[*GATEWAYS], runners=[*RUNNERS])
    )


def test_a_reply_without_members_keeps_the_same_objects(state: ClusterSnapshot) -> None:
    after = apply_reply(state, reply(digests=[DIGEST]))
    assert after.digests == {"r1": DIGEST}
    assert after.runners is state.runners
    assert after.gateways is state.gateways


@pytest.mark.parametrize(
    "changes",
    [
        {"runners": [NEW_RUNNER]},
        {"gone_runners": ["r1"]},
        {"gateways": [msgspec.structs.replace(GATEWAYS[1], stopping=True)]},
        {"gone_gateways": ["g1"]},
        {"gone_gateways": ["g1", "g2"]},
        {},
    ],
)
def test_owned_runners_are_updated_for_every_change_of_members(
    state: ClusterSnapshot, changes: dict[str, list[object]]
) -> None:
    owned = OwnedRunners("g0")
    owned.update(state)
    after = apply_reply(state, reply(**changes))
    assert owned.update(after) == owned_runners(
        "g0", after.runners.values(), after.gateways.values()
    )
    assert {digest in after.runners for digest in after.digests} <= {True}


def test_owned_runners_are_not_computed_again_without_a_change(state: ClusterSnapshot) -> None:
    owned = OwnedRunners("g0")
    first = owned.update(state)
    assert first
    assert owned.update(apply_reply(state, reply(digests=[DIGEST]))) is first
