"""Disks whose syncs are slow: each at a time of its own, or one that several replicas share.

A kind is a word: ``300`` (each sync of a store takes 300 ms longer), ``uneven/SEED`` (from disk to
disk and over time), ``shared/SEED/FOLDER`` (the same, and the flushes of all replicas of a disk
wait for each other).
"""

from __future__ import annotations

import fcntl
import time
from pathlib import Path
from random import Random

MS_PER_S = 1_000
EVEN = "even"
UNEVEN = "uneven"
SHARED = "shared"
USUAL = "usual"
KINDS = (USUAL, UNEVEN, SHARED)
SYNCS_MS = (1, 5, 20, 60, 120)
"""Usual sync times, of which each disk draws one."""

SHARED_SYNCS_MS = (1, 4, 10, 20)
PERIOD_S = 2.0
"""Time for which a disk keeps its pace."""

PACES = (0.3, 1.0, 1.0, 1.0, 2.5)
DISKS = 2
"""Disks that all replicas share where they share any."""


def word(kind: str, seed: int, folder: Path) -> str:
    """Return the word by which the programs are told of their disks, empty for usual ones."""
    words = {USUAL: "", UNEVEN: f"{UNEVEN}/{seed}", SHARED: f"{SHARED}/{seed}/{folder}"}
    return words[kind]


def sync_s(kind: str, seed: str, disk: str, at_s: float) -> float:
    """Return how much longer a sync takes.

    Args:
        kind: ``uneven`` or ``shared``.
        seed: Seed of the paces.
        disk: Name of the disk.
        at_s: Current time in seconds, of any clock that all replicas share.
    """
    usual_ms = Random(f"{seed} {disk}").choice(SHARED_SYNCS_MS if kind == SHARED else SYNCS_MS)
    pace = Random(f"{seed} {disk} {at_s // PERIOD_S}").choice(PACES)
    return usual_ms * pace / MS_PER_S


class SlowDisk:
    """The disk of one replica.

    Args:
        told: Word of its kind.
        name: Name of the replica's machine.
    """

    __slots__ = ("_disk", "_even_s", "_kind", "_lock", "_seed")

    def __init__(self, told: str, name: str) -> None:
        self._lock = None
        self._even_s = 0.0
        self._disk = name
        if told.isdecimal():
            self._kind, self._seed = EVEN, ""
            self._even_s = int(told) / MS_PER_S
            return
        self._kind, self._seed, *folder = told.split("/", 2)
        if self._kind == SHARED:
            self._disk = f"disk-{Random(f'{self._seed} {name}').randrange(DISKS)}"
            self._lock = (Path(folder[0]) / self._disk).open("ab")

    def flush(self) -> None:
        """Wait as long as a sync takes longer."""
        if self._kind == EVEN:
            time.sleep(self._even_s)
            return
        if self._lock is not None:
            fcntl.flock(self._lock, fcntl.LOCK_EX)
        try:
            time.sleep(sync_s(self._kind, self._seed, self._disk, time.time()))
        finally:
            if self._lock is not None:
                fcntl.flock(self._lock, fcntl.LOCK_UN)
