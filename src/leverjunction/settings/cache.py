"""Local copy of the settings in force, for a gateway that restarts while no quorum is reachable.

A gateway first asks a quorum for the settings. If no quorum answers, it starts from this copy,
which holds the last version that was in force there, so a restart never reverts to an older one.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.messages import SettingRow

FILE_NAME = "settings.cache"
_DIGEST_BYTES = hashlib.sha256().digest_size


class _Copy(msgspec.Struct, frozen=True):
    version: int
    rows: list[SettingRow]


class SettingsCache:
    """Stores the copy in the data folder of a process. Not thread-safe."""

    def __init__(self, data_folder: Path) -> None:
        """Initialize the cache in a data folder, which must exist."""
        self._path = data_folder / FILE_NAME
        self._saved_version = 0

    def load(self) -> ResolvedSettings | Failure:
        """Return the saved settings, or NOT_FOUND without a copy, CORRUPT for an invalid one."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return self._failure(FailureKind.NOT_FOUND, "there is no saved copy")
        except OSError as error:
            return self._failure(FailureKind.CORRUPT, f"cannot be read: {error.strerror}")
        digest, body = content[:_DIGEST_BYTES], content[_DIGEST_BYTES:]
        if hashlib.sha256(body).digest() != digest:
            return self._failure(FailureKind.CORRUPT, "checksum does not match, ignored")
        try:
            copy = msgspec.json.decode(body, type=_Copy)
        except msgspec.MsgspecError as error:
            return self._failure(FailureKind.CORRUPT, str(error))
        self._saved_version = copy.version
        return ResolvedSettings.from_rows(copy.rows, copy.version)

    def save(self, settings: ResolvedSettings) -> Failure | None:
        """Save settings atomically and durably, unless the copy is already as new.

        I/O errors are returned for logging, not raised: the gateway can serve without a copy.
        """
        if settings.version <= self._saved_version:
            return None
        body = msgspec.json.encode(_Copy(settings.version, list(settings.rows())))
        try:
            self._write(hashlib.sha256(body).digest() + body)
        except OSError as error:
            return self._failure(FailureKind.INTERNAL, f"cannot be written: {error.strerror}")
        self._saved_version = settings.version
        return None

    def _write(self, content: bytes) -> None:
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _failure(self, kind: FailureKind, reason: str) -> Failure:
        return Failure(
            kind=kind,
            reason=f"{self._path}: {reason}",
            step=Step.STORING,
            execution=Execution.NOT_RUN,
        )
