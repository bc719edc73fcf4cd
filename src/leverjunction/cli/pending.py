"""What a command has sent but not seen answered, kept on disk until it is.

A command that loses its answer can then be run again and resends the same change id or key, which
gets the first answer instead of a second change or job.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

STATE_FOLDER_VARIABLE = "LEVERJUNCTION_STATE_FOLDER"


def default_folder() -> Path:
    """Return the folder for pending records, by the XDG convention unless it is set."""
    given = os.environ.get(STATE_FOLDER_VARIABLE)
    if given:
        return Path(given)
    base = os.environ.get("XDG_STATE_HOME") or str(Path.home() / ".local" / "state")
    return Path(base) / "leverjunction"


class PendingRecord:
    """One pending record, named by what it belongs to."""

    def __init__(self, folder: Path, *names: str) -> None:
        """Name the record by any texts, such as the directory and the addresses."""
        digest = hashlib.sha256("\0".join(names).encode()).hexdigest()
        self._path = folder / f"pending-{digest[:24]}.json"

    def load(self, record_type: type[T]) -> T | None:
        """Return the record, None when there is none or it cannot be read."""
        try:
            return msgspec.json.decode(self._path.read_bytes(), type=record_type)
        except (OSError, msgspec.MsgspecError):
            return None

    def save(self, record: msgspec.Struct) -> None:
        """Keep a record, synced, before it is sent."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        draft = self._path.with_suffix(".new")
        with draft.open("wb") as file:
            file.write(msgspec.json.encode(record))
            file.flush()
            os.fsync(file.fileno())
        draft.replace(self._path)

    def clear(self) -> None:
        """Forget the record, once its answer is known."""
        self._path.unlink(missing_ok=True)
