"""The settings in force in a gateway. Versions only rise, also over a restart."""

from __future__ import annotations

import threading

from loguru import logger

from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.cache import SettingsCache
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow


class SettingsStore:
    """Holds the settings in force; read by all threads, written by the exchange loop."""

    def __init__(self, cache: SettingsCache) -> None:
        self._cache = cache
        self._lock = threading.Lock()
        self._settings = ResolvedSettings.empty()
        self._unsaved = False

    @property
    def current(self) -> ResolvedSettings:
        """Return the settings in force."""
        return self._settings

    def load_copy(self) -> int:
        """Put the synced copy in force, if there is one; returns the version in force.

        Called once at the start. The hub's first reply then brings what changed since; when no
        hub answers, the gateway serves on the copy.
        """
        loaded = self._cache.load()
        if isinstance(loaded, Failure):
            if loaded.kind is not FailureKind.NOT_FOUND:
                logger.warning("saved settings not used: {}", loaded.reason)
            return self._settings.version
        self._settings = loaded
        return loaded.version

    def apply(self, rows: list[SettingRow], version: int) -> bool:
        """Save a version step, then put it in force; returns whether anything changed.

        The copy is synced first: a crash between the two must not let a restart without a hub go
        back to an older version than one that was in force here.
        """
        with self._lock:
            newer = self._settings.apply(rows, version)
            changed = newer is not self._settings
            if changed or self._unsaved:
                self._save(newer)
            self._settings = newer
        return changed

    def _save(self, settings: ResolvedSettings) -> None:
        failure = self._cache.save(settings)
        if failure is not None and not self._unsaved:
            # The copy only helps a restart without a hub: the version comes in force, as everywhere
            # else, and saving is tried again at each exchange.
            logger.warning("settings not saved: {}", failure.reason)
        elif failure is None and self._unsaved:
            logger.info("settings are saved again")
        self._unsaved = failure is not None
