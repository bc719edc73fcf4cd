"""File with the group record, so that a store can restart without asking the registry."""

from __future__ import annotations

from pathlib import Path

import msgspec

from leverjunction.registry.records import GroupRecord
from leverjunction.storage import write_synced

GROUP_FILE = "group.json"


def read_group(folder: Path) -> GroupRecord | None:
    """Return the saved group record; None when the file is missing, unreadable or damaged."""
    try:
        return msgspec.json.decode((folder / GROUP_FILE).read_bytes(), type=GroupRecord)
    except (OSError, msgspec.MsgspecError):
        return None


def write_group(folder: Path, group: GroupRecord) -> None:
    """Save the record of a group whose replica was started on this machine.

    Args:
        folder: Data folder of the store.
        group: The record to save; nothing is written when it is saved already.

    Raises:
        OSError: The file cannot be written.
    """
    if read_group(folder) != group:
        write_synced(folder / GROUP_FILE, msgspec.json.encode(group))
