"""Gateway settings across restarts, with lagging hubs, late replies and damaged copies."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.settings.cache import FILE_NAME, SettingsCache
from leverjunction.settings.commands import SettingsDelta
from leverjunction.settings.flatten import leaves_of
from leverjunction.wire.messages import SettingRow


class Hubs:
    """The history of the settings, served by hubs that lag by different numbers of versions."""

    def __init__(self, generator: random.Random) -> None:
        self.trees: list[dict[str, object]] = [{}]
        self._generator = generator
        self._rows: dict[str, SettingRow] = {}
        self._snapshots: list[dict[str, SettingRow]] = [{}]

    def change(self) -> None:
        """Set or delete one leaf."""
        version = len(self.trees)
        path = f"tenants/t{self._generator.randrange(6)}/limits/burst"
        deleted = path in self.trees[-1] and self._generator.random() < 0.5
        self._rows[path] = SettingRow(path, None if deleted else version, version, deleted)
        self._snapshots.append(dict(self._rows))
        self.trees.append(leaves_of(self._rows.values()))

    def reply(self, after: int, lag: int) -> SettingsDelta:
        """Return the reply of a hub that lags by some versions."""
        version = max(after, len(self.trees) - 1 - lag)
        rows = [row for row in self._snapshots[version].values() if row.version > after]
        return SettingsDelta(version=version, rows=rows)


def start_store(folder: Path) -> SettingsStore:
    store = SettingsStore(SettingsCache(folder))
    store.load_copy()
    return store


@pytest.mark.parametrize("seed", range(5))
def test_the_version_never_decreases_with_restarts_and_lagging_hubs(
    tmp_path: Path, seed: int
) -> None:
    generator = random.Random(seed)
    hubs = Hubs(generator)
    store = start_store(tmp_path)
    highest = 0
    replies: list[SettingsDelta] = []
    for _ in range(300):
        hubs.change()
        replies.append(hubs.reply(store.current.version, generator.randrange(8)))
        for arrived in generator.sample(replies[-4:], k=min(len(replies), 2)):
            store.apply(arrived.rows, arrived.version)
        if generator.random() < 0.2:
            store = start_store(tmp_path)
        assert store.current.version >= highest
        highest = store.current.version
        assert leaves_of(store.current.rows()) == hubs.trees[highest]
    assert highest > 250


def test_a_gateway_without_a_reachable_hub_uses_its_copy(tmp_path: Path) -> None:
    store = start_store(tmp_path)
    store.apply([SettingRow("defaults/serving/max_queue", 7, 3)], 3)
    restarted = start_store(tmp_path)
    assert restarted.current.version == 3
    assert restarted.current.serving("s", "r", "z").max_queue == 7


def test_a_damaged_copy_is_ignored_and_all_settings_are_fetched(tmp_path: Path) -> None:
    hubs = Hubs(random.Random(1))
    for _ in range(20):
        hubs.change()
    whole = hubs.reply(0, 0)
    start_store(tmp_path).apply(whole.rows, whole.version)
    file = tmp_path / FILE_NAME
    file.write_bytes(file.read_bytes()[:-3])
    store = start_store(tmp_path)
    assert store.current.version == 0, "the next exchange must request all settings"
    assert store.apply(whole.rows, whole.version)
    assert leaves_of(start_store(tmp_path).current.rows()) == hubs.trees[-1]
