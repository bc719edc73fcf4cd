"""The settings in force as this hub has them, and the deltas that it gives to gateways."""

from __future__ import annotations

import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.errors import Failure
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.settings.resolved import ResolvedSettings

SettingsSource = Callable[[GetSettings], SettingsDelta | Failure]
"""Reads applied settings: from the local replica of group root, or from another process's."""

MAX_CACHED_DELTAS = 8


class SettingsMirror:
    """Follows group root and remembers the last deltas, since all gateways ask for the same ones.

    Safe to share between threads. Never goes back: a source that lags changes nothing.
    """

    def __init__(self, source: SettingsSource) -> None:
        self._source = source
        self._lock = threading.Lock()
        self._settings = ResolvedSettings.empty()
        self._deltas: dict[int, SettingsDelta] = {}

    @property
    def settings(self) -> ResolvedSettings:
        """The settings in force here."""
        return self._settings

    @property
    def version(self) -> int:
        """Version of the settings in force here."""
        return self._settings.version

    def refresh(self) -> bool:
        """Read what changed; return whether the version rose. Called by one background task."""
        before = self._settings.version
        delta = self._source(GetSettings(after_version=before))
        if isinstance(delta, Failure) or delta.version <= before:
            return False
        with self._lock:
            self._settings = self._settings.apply(delta.rows, delta.version)
            self._deltas = {before: delta}
        logger.info("settings version {} in force, was {}", delta.version, before)
        return True

    def delta(self, after_version: int) -> SettingsDelta:
        """Return what a gateway at ``after_version`` lacks; nothing if it is ahead of this hub.

        The source is asked instead of the mirror's own rows: those hold no trace of leaves that
        were deleted before this process started.
        """
        if after_version >= self._settings.version:
            return SettingsDelta(version=after_version, rows=[])
        with self._lock:
            cached = self._deltas.get(after_version)
        if cached is not None:
            return cached
        read = self._source(GetSettings(after_version=after_version))
        if isinstance(read, Failure) or read.version <= after_version:
            return SettingsDelta(version=after_version, rows=[])
        self._remember(after_version, read)
        return read

    def _remember(self, after_version: int, delta: SettingsDelta) -> None:
        with self._lock:
            if delta.version != self._settings.version:
                return
            if len(self._deltas) >= MAX_CACHED_DELTAS:
                self._deltas.pop(next(iter(self._deltas)))
            self._deltas[after_version] = delta
