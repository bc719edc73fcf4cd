"""Opens a replica's file; if it is damaged, refuses it or replaces it with a blank one."""

from __future__ import annotations

from pathlib import Path
from random import Random

from loguru import logger

from leverjunction.consensus.commit_guard import GUARD_SUFFIX
from leverjunction.consensus.page_checksums import PAGES_SUFFIX
from leverjunction.consensus.store import MEMORY_PATH, Store, open_store
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Failure

COMPANION_SUFFIXES = ("", "-wal", GUARD_SUFFIX, PAGES_SUFFIX)


def open_or_rejoin(config: GroupConfig, random: Random) -> Store | Failure:
    """Open the replica's file.

    Returns:
        The store, or the failure of a damaged file. With ``rejoin_when_corrupt``, a damaged file
        is renamed and replaced with a blank one, which is barred from founding a group.
    """
    if config.data_path != MEMORY_PATH:
        Path(config.data_path).parent.mkdir(parents=True, exist_ok=True)
    opened = open_store(config.data_path, random)
    if not isinstance(opened, Failure) or not config.rejoin_when_corrupt:
        return opened
    logger.warning(
        "group {} replaces its damaged file and rejoins as a blank replica: {}",
        config.group,
        opened.reason,
    )
    _move_aside(Path(config.data_path))
    blank = open_store(config.data_path, random)
    if not isinstance(blank, Failure):
        blank.bar_from_founding()
        blank.commit()
    return blank


def _move_aside(path: Path) -> None:
    """Rename the damaged file and its companion files, without overwriting earlier ones."""
    number = 1
    while path.with_name(f"{path.name}.corrupt-{number}").exists():
        number += 1
    for suffix in COMPANION_SUFFIXES:
        source = path.with_name(path.name + suffix)
        if source.exists():
            source.rename(path.with_name(f"{path.name}.corrupt-{number}{suffix}"))
