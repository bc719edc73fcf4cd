"""Converts nested settings documents to leaves and back, and hashes sets of leaves.

A leaf is addressed by its slash-separated path. Lists are leaves. An empty mapping is a leaf with
the value ``{}``, because it can be significant: ``models: {m: {}}`` declares the model ``m``.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import msgspec

from leverjunction.settings.commands import LeafChange
from leverjunction.wire.messages import SettingRow

PATH_SEPARATOR = "/"
HASH_BYTES = 32
EMPTY_HASH = "0" * (2 * HASH_BYTES)

_HASH_MODULUS = 1 << (8 * HASH_BYTES)
_ENCODER = msgspec.json.Encoder(order="sorted")

Leaves = Mapping[str, object]


class FlattenError(ValueError):
    """Raised for a document with a key that cannot be part of a path."""


def flatten(document: Mapping[str, object]) -> dict[str, object]:
    """Return the leaves of a nested document by path.

    Args:
        document: Nested mapping with string keys. None values are treated as absent.

    Raises:
        FlattenError: A key is empty, is not a string or contains the path separator.
    """
    leaves: dict[str, object] = {}
    _flatten_into(leaves, "", document)
    return leaves


def _flatten_into(leaves: dict[str, object], prefix: str, node: Mapping[str, object]) -> None:
    for key, value in node.items():
        path = prefix + _checked_key(key, prefix)
        if value is None:
            continue
        if isinstance(value, Mapping) and value:
            _flatten_into(leaves, path + PATH_SEPARATOR, value)
            continue
        leaves[path] = {} if isinstance(value, Mapping) else value


def _checked_key(key: object, prefix: str) -> str:
    if not isinstance(key, str) or not key:
        raise FlattenError(f"key {key!r} under {prefix!r} must be a non-empty string")
    if PATH_SEPARATOR in key:
        raise FlattenError(f"key {key!r} under {prefix!r} may not contain {PATH_SEPARATOR!r}")
    return key


def unflatten(leaves: Leaves) -> dict[str, object]:
    """Return the nested document of the given leaves.

    If a leaf with an empty mapping has descendants, they become the content of that mapping.
    """
    document: dict[str, object] = {}
    for path in sorted(leaves):
        *parents, last = path.split(PATH_SEPARATOR)
        node = document
        for parent in parents:
            child = node.setdefault(parent, {})
            if not isinstance(child, dict):
                child = node[parent] = {}
            node = child
        value = leaves[path]
        node[last] = {} if isinstance(value, Mapping) else value
    return document


def difference(old: Leaves, new: Leaves) -> list[LeafChange]:
    """Return the changes that turn ``old`` into ``new``, sorted by path."""
    changes: list[LeafChange] = []
    for path in sorted(old.keys() | new.keys()):
        if path not in new:
            changes.append(LeafChange(path=path, deleted=True))
        elif path not in old or not same_value(old[path], new[path]):
            changes.append(LeafChange(path=path, value=new[path]))
    return changes


def same_value(left: object, right: object) -> bool:
    """Return whether two leaf values have the same JSON; 1, 1.0 and True all differ."""
    return left is right or _ENCODER.encode(left) == _ENCODER.encode(right)


def leaves_of(rows: Iterable[SettingRow]) -> dict[str, object]:
    """Return the leaves given by a complete set of rows."""
    return {row.path: row.value for row in rows if not row.deleted}


def encode_value(value: object) -> str:
    """Return the canonical JSON text of a leaf value."""
    return _ENCODER.encode(value).decode()


def content_hash(leaves: Leaves) -> str:
    """Return the hash of a whole set of leaves, as 64 hex digits.

    The hash is the sum of the SHA-256 of all leaves modulo 2**256, which is independent of order
    and cheap to update (``update_hash``). Paths are unique, so the sum identifies the set. The hash
    detects accidental differences between the trees of sender and replica, with a false match
    probability of 2**-256. It does not protect against deliberate forgery, which would require an
    operator's token in the first place.
    """
    total = sum(_leaf_number(path, encode_value(value)) for path, value in leaves.items())
    return _to_hex(total)


def update_hash(current: str, removed: Leaves, added: Leaves) -> str:
    """Return the content hash after leaves are removed and added.

    Args:
        current: Hash before the change.
        removed: Previous values of the leaves that were deleted or changed.
        added: New values of the leaves that were added or changed.
    """
    total = int(current, 16)
    total -= sum(_leaf_number(path, encode_value(value)) for path, value in removed.items())
    total += sum(_leaf_number(path, encode_value(value)) for path, value in added.items())
    return _to_hex(total)


def _leaf_number(path: str, value_json: str) -> int:
    digest = hashlib.sha256(path.encode() + b"\0" + value_json.encode()).digest()
    return int.from_bytes(digest, "big")


def _to_hex(total: int) -> str:
    return f"{total % _HASH_MODULUS:0{2 * HASH_BYTES}x}"
