"""Saves requests on disk until their response arrives.

When a response is lost, running the command again resends the same change id or idempotency key.
The server then returns the first outcome instead of making a second change or job.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

STATE_FOLDER_VARIABLE = "LEVERJUNCTION_STATE_FOLDER"


def default_state_folder() -> Path:
    """Return the folder for pending records: the one configured, or else the XDG state folder."""
    configured = os.environ.get(STATE_FOLDER_VARIABLE)
    if configured:
        return Path(configured)
    base = os.environ.get("XDG_STATE_HOME") or str(Path.home() / ".local" / "state")
    return Path(base) / "leverjunction"


class PendingRecord:
    """A pending record, in a file whose name is derived from what identifies the request."""

    def __init__(self, folder: Path, *names: str) -> None:
        """Identify the record by texts such as the settings directory and the addresses."""
        digest = hashlib.sha256("\0".join(names).encode()).hexdigest()
        self._path = folder / f"pending-{digest[:24]}.json"

    def load(self, record_type: type[T]) -> T | None:
        """Return the record, or None if it does not exist or cannot be read."""
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=record_type)
        except (OSError, msgspec.MsgspecError):
            return None

    def save(self, record: msgspec.Struct) -> None:
        """Write the record durably; call this before the request is sent."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(msgspec.json.encode(record))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)

    def clear(self) -> None:
        """Delete the record, once the response has arrived."""
        self._path.unlink(missing_ok=True)
