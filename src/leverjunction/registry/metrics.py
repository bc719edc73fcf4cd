"""Metrics of the registry's spread: counted by control processes, and by their watchers."""

from __future__ import annotations

from prometheus_client import Counter

WATCH_PARTS = Counter(
    "registry_watch_parts",
    "Tables and views sent to watchers, whole or as changes",
    ["part", "form"],
)
WATCH_BYTES = Counter("registry_watch_bytes", "Bytes of these tables and views", ["part", "form"])
UNFIT_CHANGES = Counter(
    "registry_unfit_changes", "Replies whose changes did not fit the state of this watcher"
)

__all__ = ["UNFIT_CHANGES", "WATCH_BYTES", "WATCH_PARTS"]
