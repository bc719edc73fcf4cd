"""Hashes of API keys: routes, settings and processes hold no key in plain text."""

from __future__ import annotations

import hashlib

MAX_KEY_BYTES = 256
"""Longest key that is accepted from a caller; a longer one is refused without being hashed."""


def hash_key(raw_key: str) -> str:
    """Return the hash by which a key is compared and stored, in hexadecimal digits."""
    return hashlib.sha256(raw_key.encode()).hexdigest()


EMPTY_KEY_HASH = hash_key("")


__all__ = ["EMPTY_KEY_HASH", "MAX_KEY_BYTES", "hash_key"]
