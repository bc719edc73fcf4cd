"""What the processes of a seeded deployment have in common."""

from __future__ import annotations

CLUSTER_KEY = b"leverjunction-seeded-cluster"
"""Processes of such a deployment have no secret in common: the key only tells a peer from a
stranger that happens to use the port.
"""

HEARTBEAT_S = 0.2
ELECTION_MIN_S = 0.6
ELECTION_MAX_S = 1.2
"""Times of all its consensus groups (``GroupConfig``)."""
