"""Resolved settings: inheritance, look-ups, and versions that never decrease."""

from __future__ import annotations

import hashlib
import random

import pytest

from leverjunction.settings.flatten import flatten, leaves_of
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow

KEY_HASH = hashlib.sha256(b"secret").hexdigest()

DOCUMENT: dict[str, object] = {
    "defaults": {"serving": {"max_queue": 1}, "limits": {"burst": 7}},
    "regions": {"coast": {"serving": {"max_queue": 2}, "zones": {"a": {"serving": {}}, "b": {}}}},
    "services": {
        "chat": {
            "serving": {"deadline_s": 30.0},
            "models": {
                "m": {"version": "4", "adapters": {"x": {"serving": {"max_queue": 6}}}},
                "bare": {},
            },
            "draining_runners": ["r1"],
        },
        "empty": {},
    },
    "tenants": {"acme": {"api_key_hashes": [KEY_HASH], "limits": {"concurrency": 3}}},
    "batch_classes": {"night": {"deadline_s": 60.0, "results_retention_s": 90.0}},
}


def rows_of(document: dict[str, object], version: int = 1) -> list[SettingRow]:
    return [SettingRow(path, value, version) for path, value in flatten(document).items()]


@pytest.fixture
def settings() -> ResolvedSettings:
    return ResolvedSettings.from_rows(rows_of(DOCUMENT))


@pytest.mark.parametrize(
    ("place", "max_queue", "deadline_s"),
    [
        (("chat", "coast", "a"), 2, 30.0),
        (("chat", "coast", "a", "m", "x"), 6, 30.0),
        (("chat", "", "", "m", "unknown"), 1, 30.0),
        (("chat", "coast", "elsewhere"), 2, 30.0),
        (("unknown", "", ""), 1, 60.0),
        (("empty", "coast", "b", "m", "x"), 2, 60.0),
    ],
)
def test_the_most_specific_ancestor_provides_the_value(
    settings: ResolvedSettings, place: tuple[str, ...], max_queue: int, deadline_s: float
) -> None:
    serving = settings.serving(*place)
    assert (serving.max_queue, serving.deadline_s) == (max_queue, deadline_s)


def test_look_ups(settings: ResolvedSettings) -> None:
    assert settings.tenant_for_key("secret") == "acme"
    assert settings.tenant_for_key("wrong") is None
    assert settings.limits("acme").concurrency == 3
    assert settings.limits("acme").burst == settings.limits("stranger").burst == 7
    assert settings.service_for_model("m:x") == settings.service_for_model("bare") == "chat"
    assert settings.service_for_model("none") is None
    assert settings.region_of_zone("b") == "coast"
    assert settings.batch_class("night").deadline_s == 60.0
    assert settings.batch_class("night").results_retention_s == 90.0
    assert settings.batch_class("unknown").weight == 1.0
    assert settings.batch_class("unknown").results_retention_s == 7 * 86_400
    assert settings.names("services") == ["chat", "empty"]
    assert settings.draining_runners("chat") == ["r1"]
    models = [(item.name, item.version, item.adapters) for item in settings.models("chat")]
    assert models == [("bare", "1", {}), ("m", "4", {"x": "1"})]


def test_late_and_repeated_rows_change_nothing(settings: ResolvedSettings) -> None:
    path = "tenants/acme/limits/concurrency"
    newer = settings.apply([SettingRow(path, 9, 3)])
    gone = newer.apply([SettingRow(path, None, 4, deleted=True)])
    assert newer.apply([SettingRow(path, 5, 2)]) is newer
    assert gone.apply([SettingRow(path, 9, 3)]) is gone
    assert gone.limits("acme").concurrency != 9
    assert (settings.version, newer.version, gone.version) == (1, 3, 4)
    assert settings.limits("acme").concurrency == 3


def test_the_version_increases_without_rows(settings: ResolvedSettings) -> None:
    assert settings.apply([], 8).version == 8
    assert settings.apply([], 8).apply([], 5).version == 8


def test_deleted_tenant_loses_its_key_and_moved_key_changes_owner(
    settings: ResolvedSettings,
) -> None:
    moved = settings.apply(
        [
            SettingRow("tenants/acme/api_key_hashes", None, 2, deleted=True),
            SettingRow("tenants/zeta/api_key_hashes", [KEY_HASH], 2),
        ]
    )
    assert moved.tenant_for_key("secret") == "zeta"
    gone = moved.apply([SettingRow("tenants/zeta/api_key_hashes", None, 3, deleted=True)])
    assert gone.tenant_for_key("secret") is None
    assert settings.tenant_for_key("secret") == "acme"


def test_incremental_updates_equal_a_full_load() -> None:
    rng = random.Random(5)
    names = [f"tenants/t{n}/limits/burst" for n in range(40)] + ["services/s/models/m/version"]
    stepwise = ResolvedSettings.empty()
    leaves: dict[str, SettingRow] = {}
    for version in range(1, 300):
        path = rng.choice(names)
        row = SettingRow(path, rng.randrange(1, 9), version, deleted=rng.random() < 0.3)
        leaves[path] = row
        stepwise = stepwise.apply([row])
    whole = ResolvedSettings.from_rows(leaves.values(), 299)
    assert leaves_of(stepwise.rows()) == leaves_of(whole.rows()) == leaves_of(leaves.values())
    assert stepwise.version == whole.version
    assert stepwise.service_for_model("m") == whole.service_for_model("m")
