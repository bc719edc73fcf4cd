"""A map that tracks the version of each key's last change, for cheap deltas. Pure: no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

V = TypeVar("V")

MAX_REMOVED_KEYS = 4096
"""Number of removed keys that are remembered. A reader whose version precedes the oldest of them
gets the complete map.
"""


class VersionCounter:
    """A counter shared by the maps of one view, so that a single version covers all of them.

    It starts at 1; readers that have no data yet send 0.
    """

    def __init__(self) -> None:
        self.value = 1

    def next(self) -> int:
        """Return the next version."""
        self.value += 1
        return self.value


class MapDelta(msgspec.Struct, Generic[V], frozen=True):
    """The changes of a map after a version: new or changed values, and removed keys."""

    changed: list[V]
    removed: list[str]


class VersionedMap(Generic[V]):
    """A map ordered by the version of each key's last change.

    The cost of finding the changes after a version depends on the number of changes, not on the
    number of entries.
    """

    def __init__(self, counter: VersionCounter) -> None:
        self._counter = counter
        self._values: dict[str, V] = {}
        self._versions: dict[str, int] = {}
        self._removed: dict[str, int] = {}
        self._floor = 0

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, key: str) -> bool:
        return key in self._values

    def get(self, key: str) -> V | None:
        """Return the value of a key, or None if the key is absent."""
        return self._values.get(key)

    def keys(self) -> list[str]:
        """Return all keys."""
        return list(self._values)

    def values(self) -> list[V]:
        """Return all values."""
        return list(self._values.values())

    def put(self, key: str, value: V) -> bool:
        """Set a key; return False, without taking a new version, if the value is unchanged."""
        if key in self._values and self._values[key] == value:
            return False
        self._values[key] = value
        # Removed first, so that the dict stays in order of the versions.
        self._versions.pop(key, None)
        self._versions[key] = self._counter.next()
        self._removed.pop(key, None)
        return True

    def remove(self, key: str) -> bool:
        """Remove a key; return False if it was absent."""
        if key not in self._values:
            return False
        del self._values[key]
        del self._versions[key]
        self._removed[key] = self._counter.next()
        if len(self._removed) > MAX_REMOVED_KEYS:
            oldest = next(iter(self._removed))
            self._floor = self._removed.pop(oldest)
        return True

    def covers(self, version: int) -> bool:
        """Return whether ``since(version)`` contains every removal after ``version``."""
        return version >= self._floor

    def since(self, version: int) -> MapDelta[V]:
        """Return the changes after ``version``, newest first."""
        changed = [self._values[key] for key in _newer(self._versions, version)]
        return MapDelta(changed, list(_newer(self._removed, version)))


def _newer(versions: dict[str, int], than: int) -> Iterator[str]:
    for key, version in reversed(versions.items()):
        if version <= than:
            return
        yield key
