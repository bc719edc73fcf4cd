"""Small files of a data folder that must survive a loss of power."""

from __future__ import annotations

import json
import os
from pathlib import Path

FOUNDERS_FILE = "founders.json"


def write_synced(path: Path, content: bytes) -> None:
    """Replace a file so that after a loss of power it is the old or the new one, whole."""
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
    """Remember which addresses found the group, before anything is founded."""
    write_synced(folder / FOUNDERS_FILE, json.dumps(addresses).encode())


def read_founders(folder: Path) -> tuple[str, ...]:
    """Return the remembered addresses; none when there are none or the file is torn."""
    try:
        return tuple(json.loads((folder / FOUNDERS_FILE).read_bytes()))
    except (OSError, ValueError):
        return ()
