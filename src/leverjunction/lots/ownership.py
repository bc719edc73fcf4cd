"""Stored ids of lots: each tenant has ids of its own.

The id under which a lot is stored contains the name of its tenant. A caller of another tenant
therefore finds nothing under the id that it asks for, whether such a lot exists or not.
"""

from __future__ import annotations

SEPARATOR = "/"
"""Between tenant and id; never part of an id that a caller chooses."""


def stored_id(tenant: str, lot_id: str) -> str:
    """Return the id under which a lot is stored.

    Args:
        tenant: Name of its tenant; empty if it has none.
        lot_id: Id that the caller chose, without ``SEPARATOR``.
    """
    return f"{tenant}{SEPARATOR}{lot_id}" if tenant else lot_id


def owner_of(stored: str) -> str:
    """Return the name of the tenant of a stored lot; empty if it has none."""
    return stored.rpartition(SEPARATOR)[0]


__all__ = ["SEPARATOR", "owner_of", "stored_id"]
