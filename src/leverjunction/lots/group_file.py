"""What a store remembers of its group, so that it starts again without asking the registry."""

from __future__ import annotations

from pathlib import Path

import msgspec

from leverjunction.registry.records import GroupRecord
from leverjunction.storage import write_synced

GROUP_FILE = "group.json"


def read_group(folder: Path) -> GroupRecord | None:
    """Return the remembered group; None when there is none or the file is torn."""
    try:
        return msgspec.json.decode((folder / GROUP_FILE).read_bytes(), type=GroupRecord)
    except (OSError, msgspec.MsgspecError):
        return None


def write_group(folder: Path, group: GroupRecord) -> None:
    """Remember a group whose replica has been started here.

    Raises:
        OSError: The disk refuses to be written.
    """
    if read_group(folder) != group:
        write_synced(folder / GROUP_FILE, msgspec.json.encode(group))
