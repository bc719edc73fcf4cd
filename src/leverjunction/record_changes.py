"""Differences between two ordered collections of records that have unique keys.

They answer states of thousands of records of which few change at a time: what is sent and applied
then grows with the change and not with the state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

R = TypeVar("R")


class RecordChanges(msgspec.Struct, Generic[R], frozen=True, omit_defaults=True):
    """What turns one collection of records into another.

    Attributes:
        removed: Keys of the records that the newer collection does not have.
        put: Records that are new or replace the one with the same key, in ascending order, each
            with its position in the newer collection.
    """

    removed: tuple[str, ...] = ()
    put: tuple[tuple[int, R], ...] = ()


def diff_records(
    old: tuple[R, ...], new: tuple[R, ...], key: Callable[[R], str]
) -> RecordChanges[R] | None:
    """Return what turns ``old`` into ``new``.

    Returns:
        The changes; None if they cannot be expressed, because two records have the same key or
        unchanged records have another order.
    """
    if old == new:
        return RecordChanges()
    before = {key(record): record for record in old}
    after = {key(record): record for record in new}
    if len(before) < len(old) or len(after) < len(new):
        return None
    kept = [name for name, record in before.items() if after.get(name) == record]
    if kept != [name for name, record in after.items() if before.get(name) == record]:
        return None
    same = frozenset(kept)
    return RecordChanges(
        removed=tuple(name for name in before if name not in after),
        put=tuple((at, item) for at, item in enumerate(new) if key(item) not in same),
    )


def apply_records(
    old: tuple[R, ...], changes: RecordChanges[R] | None, key: Callable[[R], str]
) -> tuple[R, ...] | None:
    """Return the newer records; None if the changes do not belong to ``old``.

    Args:
        old: The records that the changes were made for.
        changes: The changes, None for none.
        key: Returns the unique key of a record.
    """
    if changes is None:
        return old
    dropped = {*changes.removed, *(key(record) for _, record in changes.put)}
    kept = [record for record in old if key(record) not in dropped]
    result: list[R] = []
    used = 0
    for position, record in changes.put:
        count = position - len(result)
        if count < 0 or used + count > len(kept):
            return None
        result += kept[used : used + count]
        result.append(record)
        used += count
    return (*result, *kept[used:])


def none_if_empty(changes: RecordChanges[R]) -> RecordChanges[R] | None:
    """Return the changes, None if there are none."""
    return changes if changes.put or changes.removed else None


__all__ = ["RecordChanges", "apply_records", "diff_records", "none_if_empty"]
