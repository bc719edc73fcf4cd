"""A hub's copy of the settings in force, and the steps (deltas) that it sends to gateways.

A full step can be megabytes, and after a restart of many gateways all of them request it at once.
Therefore each step is read and encoded once for a version, while other requests for it wait, and
the number of concurrent replies that carry a large step or need a read is limited. A gateway that
gets no slot receives a reply without rows that says when to retry. Its exchange counts as a
heartbeat nevertheless.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.codec import encode
from leverjunction.wire.messages import SettingRow

SettingsSource = Callable[[GetSettings], SettingsDelta | Failure]
"""Reads applied settings from the local replica of group root or from another process."""

MAX_CACHED_STEPS = 8
LARGE_STEP_BYTES = 64 * 1024
"""Largest step that is sent without a slot."""

MAX_LARGE_REPLIES = 4
RETRY_AFTER_S = 0.5
"""Delay after which a gateway without a slot should retry; a large reply takes about 10 ms."""

NO_ROWS = b"[]"
_ROWS = msgspec.json.Decoder(list[SettingRow])


class SettingsStep(msgspec.Struct, frozen=True, kw_only=True):
    """The leaves that change from one version to a later one, encoded once for all gateways.

    Attributes:
        version: Version that a gateway has after applying the step.
        encoded: JSON array of the changed rows.
        retry_after_s: Delay in seconds before the gateway should retry if the rows were held back,
            else 0.
    """

    version: int
    encoded: bytes = NO_ROWS
    retry_after_s: float = 0.0

    @property
    def is_large(self) -> bool:
        """Whether a reply that carries the step needs a slot."""
        return len(self.encoded) > LARGE_STEP_BYTES

    def rows(self) -> list[SettingRow]:
        """Return the decoded rows, for a caller in this process."""
        return _ROWS.decode(self.encoded)


class SettingsMirror:
    """Follows the settings of group root and caches steps, as all gateways request the same ones.

    Safe to share between threads. The version never decreases: an outdated source has no effect.
    """

    def __init__(self, source: SettingsSource) -> None:
        self._source = source
        self._lock = threading.Lock()
        self._read_lock = threading.Lock()
        self._slots = threading.BoundedSemaphore(MAX_LARGE_REPLIES)
        self._settings = ResolvedSettings.empty()
        self._steps: dict[int, SettingsStep] = {}

    @property
    def settings(self) -> ResolvedSettings:
        """The settings in force at this hub."""
        return self._settings

    @property
    def version(self) -> int:
        """Version of the settings in force at this hub."""
        return self._settings.version

    def refresh(self) -> bool:
        """Read changes and return whether the version increased. Called by one background task."""
        before = self._settings.version
        delta = self._source(GetSettings(after_version=before))
        if isinstance(delta, Failure) or delta.version <= before:
            return False
        step = _step_of(delta)
        with self._lock:
            self._settings = self._settings.apply(delta.rows, delta.version)
            self._steps = {before: step}
        logger.info("settings version {} in force, previously {}", delta.version, before)
        return True

    @contextmanager
    def step(self, after_version: int) -> Iterator[SettingsStep]:
        """Yield the step that a gateway at ``after_version`` needs, holding its slot meanwhile.

        The step is empty if the gateway is not behind this hub, or if no slot is free.
        """
        if after_version >= self._settings.version:
            yield SettingsStep(version=after_version)
            return
        known = self._cached_step(after_version)
        if known is not None and not known.is_large:
            yield known
            return
        if not self._slots.acquire(blocking=False):
            yield SettingsStep(version=after_version, retry_after_s=RETRY_AFTER_S)
            return
        try:
            yield known or self._read(after_version)
        finally:
            self._slots.release()

    def _cached_step(self, after_version: int) -> SettingsStep | None:
        with self._lock:
            return self._steps.get(after_version)

    def _read(self, after_version: int) -> SettingsStep:
        """Read a step from the source, once for concurrent requests.

        The mirror's own rows are not sufficient: they hold no trace of leaves that were deleted
        before this process started.
        """
        with self._read_lock:
            known = self._cached_step(after_version)
            if known is not None:
                return known
            read = self._source(GetSettings(after_version=after_version))
            if isinstance(read, Failure) or read.version <= after_version:
                return SettingsStep(version=after_version)
            step = _step_of(read)
            self._cache_step(after_version, step)
            return step

    def _cache_step(self, after_version: int, step: SettingsStep) -> None:
        with self._lock:
            if step.version != self._settings.version:
                return
            if len(self._steps) >= MAX_CACHED_STEPS:
                self._steps.pop(next(iter(self._steps)))
            self._steps[after_version] = step


def _step_of(delta: SettingsDelta) -> SettingsStep:
    return SettingsStep(version=delta.version, encoded=encode(delta.rows))
