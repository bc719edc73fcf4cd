"""State replication with Raft (Ongaro, 2014) between groups of control processes.

``api`` defines the interface to the rest of the product: the state machines that a group replica
applies commands to, and the calls that propose commands and run queries.

Modules, from the inner layer outwards: ``types``, ``messages`` and ``events`` define values;
``core`` and the ``core_*`` modules implement the protocol without I/O; ``store`` and ``snapshot``
hold the durable state; ``engine`` executes the core's effects without threads or a clock, so that
the simulator can run it too; ``group`` runs an engine in a process.
"""
