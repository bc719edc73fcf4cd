"""The local copy of the settings: damaged or missing copies are reported and never used."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.cache import FILE_NAME, SettingsCache
from leverjunction.settings.flatten import leaves_of
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow

SETTINGS = ResolvedSettings.from_rows([SettingRow("services/s/models/m", {}, 4)], 6)


def test_round_trip_keeps_the_version(tmp_path: Path) -> None:
    assert SettingsCache(tmp_path).save(SETTINGS) is None
    loaded = SettingsCache(tmp_path).load()
    assert isinstance(loaded, ResolvedSettings)
    assert loaded.version == 6
    assert leaves_of(loaded.rows()) == {"services/s/models/m": {}}


def test_an_older_version_does_not_replace_a_newer_copy(tmp_path: Path) -> None:
    cache = SettingsCache(tmp_path)
    cache.save(SETTINGS)
    assert cache.save(ResolvedSettings.from_rows([], 5)) is None
    restarted = SettingsCache(tmp_path)
    restarted.load()
    restarted.save(ResolvedSettings.from_rows([], 5))
    loaded = SettingsCache(tmp_path).load()
    assert isinstance(loaded, ResolvedSettings)
    assert loaded.version == 6


@pytest.mark.parametrize(
    ("damage", "kind"),
    [
        (lambda content: content[:-1], FailureKind.CORRUPT),
        (lambda content: content[:40] + b"x" + content[41:], FailureKind.CORRUPT),
        (lambda content: b"", FailureKind.CORRUPT),
    ],
)
def test_damaged_copies_are_refused(
    tmp_path: Path, damage: Callable[[bytes], bytes], kind: FailureKind
) -> None:
    SettingsCache(tmp_path).save(SETTINGS)
    file = tmp_path / FILE_NAME
    file.write_bytes(damage(file.read_bytes()))
    loaded = SettingsCache(tmp_path).load()
    assert isinstance(loaded, Failure)
    assert loaded.kind == kind


def test_missing_copy_and_missing_folder(tmp_path: Path) -> None:
    cache = SettingsCache(tmp_path / "none")
    loaded = cache.load()
    assert isinstance(loaded, Failure)
    assert loaded.kind == FailureKind.NOT_FOUND
    assert isinstance(cache.save(SETTINGS), Failure)
