"""The settings in force in a gateway. Their version never decreases, not even over a restart."""

from __future__ import annotations

import threading

from loguru import logger

from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.cache import SettingsCache
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow


class SettingsStore:
    """Holds the settings in force; read by all threads, written by the exchange loop.

    Args:
        cache: Saved copy of the settings, for a restart without a hub.
    """

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
        """Put the saved copy in force if there is one.

        Called once at the start. The hub's first reply then contains the changes since the copy;
        if no hub replies, the gateway serves requests with the copy.

        Returns:
            The version in force, 0 without settings.
        """
        loaded = self._cache.load()
        if isinstance(loaded, Failure):
            if loaded.kind is not FailureKind.NOT_FOUND:
                logger.warning("could not load the saved settings: {}", loaded.reason)
            return self._settings.version
        self._settings = loaded
        return loaded.version

    def apply(self, rows: list[SettingRow], version: int) -> bool:
        """Save a new version, then put it in force.

        The copy is synced to disk first: after a crash, a restart without a hub must not put an
        older version in force than the one before the crash.

        Args:
            rows: Settings that changed.
            version: Version of the settings after the change.

        Returns:
            Whether the settings in force changed.
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
            # The copy is only needed for a restart without a hub. The version is put in force
            # nevertheless, as at the other gateways, and the save is retried at each exchange.
            logger.warning("could not save the settings: {}", failure.reason)
        elif failure is None and self._unsaved:
            logger.info("the settings are saved again")
        self._unsaved = failure is not None
