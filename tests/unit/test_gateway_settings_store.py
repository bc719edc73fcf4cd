"""Settings in force in a gateway: saved first, retried after a failed save, never older."""

from __future__ import annotations

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow


class StubCache:
    """Cache that records each saved version and the version in force during its save."""

    def __init__(self) -> None:
        self.store: SettingsStore | None = None
        self.fails = False
        self.saved: list[tuple[int, int]] = []

    def save(self, settings: ResolvedSettings) -> Failure | None:
        assert self.store is not None
        if self.fails:
            return Failure(
                kind=FailureKind.INTERNAL,
                reason="disk full",
                step=Step.STORING,
                execution=Execution.NOT_RUN,
            )
        self.saved.append((settings.version, self.store.current.version))
        return None


def make_store() -> tuple[SettingsStore, StubCache]:
    cache = StubCache()
    cache.store = SettingsStore(cache)  # type: ignore[arg-type]
    return cache.store, cache


def rows(version: int) -> list[SettingRow]:
    return [SettingRow("services/s/models/m/version", str(version), version)]


def test_a_version_is_saved_before_it_is_in_force() -> None:
    store, cache = make_store()
    assert store.apply(rows(3), 3)
    assert store.apply(rows(4), 4)
    assert cache.saved == [(3, 0), (4, 3)]
    assert store.current.version == 4


def test_a_version_whose_save_failed_is_put_in_force_and_saved_later() -> None:
    store, cache = make_store()
    cache.fails = True
    assert store.apply(rows(3), 3)
    assert store.current.version == 3
    cache.fails = False
    assert not store.apply([], 3)
    assert not store.apply([], 3)
    assert cache.saved == [(3, 3)]


def test_an_older_version_changes_nothing() -> None:
    store, cache = make_store()
    store.apply(rows(5), 5)
    assert not store.apply(rows(4), 4)
    assert store.current.lookup("services/s/models/m/version") == "5"
    assert cache.saved == [(5, 0)]
