"""The seeded deployment in virtual time: registry, its followers, operators of route tables.

``RegistryNode``, its hub, reconciler and group host, and ``RegistryFollower`` are the product's
own.
Stand-ins: the replica's threads and file, the RPC's sockets, periodic tasks.
"""
