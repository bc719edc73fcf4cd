"""Constants shared by all processes of a seeded deployment.

In a seeded deployment, machines find each other through a configured list of seed addresses.
"""

from __future__ import annotations

CLUSTER_KEY = b"leverjunction-seeded-cluster"
"""Identifies peers of the deployment. It is not a secret: it only rejects unrelated processes that
connect to the port by accident.
"""

CALLS_AT_ONCE = 24
"""Limit of concurrent proposals and queries at a process, once for clients and once for forwarded
calls; more are refused at once. Without a leader each call waits for over a second. Unlimited calls
would occupy all threads, so that votes would not get through and no leader would be elected.
"""

PEER_THREADS = 16
"""Threads of the RPC server reserved for messages between replicas and status calls."""

RPC_THREADS = 2 * CALLS_AT_ONCE + PEER_THREADS

MAX_WATCHERS = 128
"""Limit of the calls of followers held at a control process at the same time; each occupies a
thread of the RPC server.
"""
