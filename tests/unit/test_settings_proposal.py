"""Changes that would make the settings invalid are refused before they are proposed."""

from __future__ import annotations

import pytest

from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.commands import ApplyChange, LeafChange, SettingsDelta
from leverjunction.settings.proposal import check_proposal
from leverjunction.wire.messages import SettingRow

IN_FORCE = SettingsDelta(
    version=4,
    rows=[
        SettingRow("defaults/serving/max_queue", 5, 1),
        SettingRow("services/s/models/m", {}, 2),
        SettingRow("services/gone/models/x", {}, 3, True),
    ],
)


def change(*leaves: LeafChange, base: int = 4) -> ApplyChange:
    return ApplyChange(
        change_id="c", base_version=base, content_hash="", author="ann", changes=list(leaves)
    )


@pytest.mark.parametrize(
    ("leaf", "message"),
    [
        (LeafChange("defaults/serving/max_queue", "lots"), "a valid integer, got 'lots'"),
        (LeafChange("defaults/serving/maxqueue", 1), "defaults/serving/maxqueue: expected one of"),
        (LeafChange("services/t/models/m", {}), "a model of one service only"),
        (LeafChange("tenants/t/services", ["s"]), "tenants/t/api_key_hashes"),
        (LeafChange("", 1), "expected one of the keys"),
        (LeafChange("services//models/m", {}), "a name of letters"),
    ],
)
def test_invalid_trees_are_refused(leaf: LeafChange, message: str) -> None:
    refusal = check_proposal(change(leaf), IN_FORCE)
    assert isinstance(refusal, Failure)
    assert refusal.kind is FailureKind.BAD_REQUEST
    assert message in refusal.reason


@pytest.mark.parametrize(
    "leaf",
    [
        LeafChange("defaults/serving/max_queue", 6),
        LeafChange("defaults/serving/max_queue", deleted=True),
        LeafChange("services/s/models/m", deleted=True),
        LeafChange("services/gone/models/x", {}),
    ],
)
def test_valid_trees_pass(leaf: LeafChange) -> None:
    assert check_proposal(change(leaf), IN_FORCE) is None


@pytest.mark.parametrize("base", [3, 5])
def test_a_change_on_another_base_is_left_to_the_compare_and_set(base: int) -> None:
    bad = LeafChange("defaults/serving/max_queue", "lots")
    assert check_proposal(change(bad, base=base), IN_FORCE) is None
