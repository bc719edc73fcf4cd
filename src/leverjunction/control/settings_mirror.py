"""The settings in force as this hub has them, and the steps that it gives to gateways.

A full step can be megabytes, and after a restart of many gateways all of them ask for it at once.
So each step is read and encoded once for a version (the others wait for that one read), and few
replies that carry a large step, or need a read, are made at once. Whoever finds no slot gets a
reply without rows that says when to ask again; its heartbeat counts all the same.
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
"""Reads applied settings: from the local replica of group root, or from another process's."""

MAX_CACHED_STEPS = 8
LARGE_STEP_BYTES = 64 * 1024
"""A step above this needs a slot; smaller ones are given to everybody at once."""

LARGE_REPLIES_AT_ONCE = 4
RETRY_AFTER_S = 0.5
"""When a gateway that got no rows should ask again; a large reply takes some 10 ms."""

NO_ROWS = b"[]"
_ROWS = msgspec.json.Decoder(list[SettingRow])


class SettingsStep(msgspec.Struct, frozen=True, kw_only=True):
    """Changed leaves from one version to a later one, encoded once for all gateways.

    Attributes:
        version: Version that a gateway has after it.
        encoded: JSON array of the changed rows.
        retry_after_s: Above 0 when the rows were held back: when to ask again.
    """

    version: int
    encoded: bytes = NO_ROWS
    retry_after_s: float = 0.0

    @property
    def is_large(self) -> bool:
        """Whether a reply with it needs a slot."""
        return len(self.encoded) > LARGE_STEP_BYTES

    def rows(self) -> list[SettingRow]:
        """Return the rows decoded, for a caller in this process."""
        return _ROWS.decode(self.encoded)


class SettingsMirror:
    """Follows group root and remembers the last steps, since all gateways ask for the same ones.

    Safe to share between threads. Never goes back: a source that lags changes nothing.
    """

    def __init__(self, source: SettingsSource) -> None:
        self._source = source
        self._lock = threading.Lock()
        self._read_lock = threading.Lock()
        self._slots = threading.BoundedSemaphore(LARGE_REPLIES_AT_ONCE)
        self._settings = ResolvedSettings.empty()
        self._steps: dict[int, SettingsStep] = {}

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
        step = _step_of(delta)
        with self._lock:
            self._settings = self._settings.apply(delta.rows, delta.version)
            self._steps = {before: step}
        logger.info("settings version {} in force, was {}", delta.version, before)
        return True

    @contextmanager
    def step(self, after_version: int) -> Iterator[SettingsStep]:
        """Give what a gateway at ``after_version`` lacks, for the time that its reply is made.

        The step is empty when the gateway is ahead of this hub, and when no slot is free.
        """
        if after_version >= self._settings.version:
            yield SettingsStep(version=after_version)
            return
        known = self._cached(after_version)
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

    def _cached(self, after_version: int) -> SettingsStep | None:
        with self._lock:
            return self._steps.get(after_version)

    def _read(self, after_version: int) -> SettingsStep:
        """Read a step from the source, once for all that ask for it at the same time.

        The source is asked instead of the mirror's own rows: those hold no trace of leaves that
        were deleted before this process started.
        """
        with self._read_lock:
            known = self._cached(after_version)
            if known is not None:
                return known
            read = self._source(GetSettings(after_version=after_version))
            if isinstance(read, Failure) or read.version <= after_version:
                return SettingsStep(version=after_version)
            step = _step_of(read)
            self._remember(after_version, step)
            return step

    def _remember(self, after_version: int, step: SettingsStep) -> None:
        with self._lock:
            if step.version != self._settings.version:
                return
            if len(self._steps) >= MAX_CACHED_STEPS:
                self._steps.pop(next(iter(self._steps)))
            self._steps[after_version] = step


def _step_of(delta: SettingsDelta) -> SettingsStep:
    return SettingsStep(version=delta.version, encoded=encode(delta.rows))
