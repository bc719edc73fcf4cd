"""Durable writes of small files in a data folder."""

from __future__ import annotations

import json
import os
from pathlib import Path

FOUNDERS_FILE = "founders.json"


def write_synced(path: Path, content: bytes) -> None:
    """Replace a file durably; after a power loss, either the old or the new content is complete."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def write_founders(folder: Path, addresses: tuple[str, ...]) -> None:
    """Store the addresses that found the group; called before the group is founded."""
    write_synced(folder / FOUNDERS_FILE, json.dumps(addresses).encode())


def read_founders(folder: Path) -> tuple[str, ...]:
    """Return the stored addresses, or an empty tuple if the file is missing or corrupt."""
    try:
        return tuple(json.loads((folder / FOUNDERS_FILE).read_bytes()))
    except (OSError, ValueError):
        return ()
