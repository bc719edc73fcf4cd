"""What the processes of a seeded deployment have in common."""

from __future__ import annotations

CLUSTER_KEY = b"leverjunction-seeded-cluster"
"""Processes of such a deployment have no secret in common: the key only tells a peer from a
stranger that happens to use the port.
"""

CALLS_AT_ONCE = 24
"""Proposals and queries in progress at a process, for clients and for forwarded ones each. Beyond
it they are refused at once: without a leader each waits for over a second, and together they would
hold all threads, so that no vote came through and no leader was ever elected.
"""

PEER_THREADS = 16
"""Threads of the RPC server that are left for messages between replicas and for status."""

RPC_THREADS = 2 * CALLS_AT_ONCE + PEER_THREADS
