"""Replicated state: Raft (Ongaro, 2014) over groups of control processes.

``api`` holds the contract with the rest of the product: state machines are applied by a group
replica, and callers propose commands and ask queries through it.

From the inside out: ``types``, ``messages`` and ``events`` are values; ``core`` is the pure
protocol (its parts are the ``core_*`` modules); ``store`` and ``snapshot`` keep the state;
``engine`` carries out the core's effects without threads or a clock, for the simulator too;
``group`` runs an engine in a process.
"""
