"""How an open item may run."""

from __future__ import annotations

from enum import StrEnum


class Placement(StrEnum):
    """How an item may run now.

    ``SHARED``: beside other requests. ``APART``: at a back end where nothing else runs. ``HELD``:
    not now.
    """

    SHARED = "shared"
    APART = "apart"
    HELD = "held"


__all__ = ["Placement"]
