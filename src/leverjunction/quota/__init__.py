"""Rate limits of tenants that hold over all gateways together.

Load pattern: a tenant's callers reach many gateways unevenly, and one gateway sees few of a
tenant's requests per second. No request waits for another process: a gateway decides by what the
*owner* last told it, and reports afterwards what it admitted.

* ``LocalLimiter`` decides at each gateway.
* ``Ledger`` keeps the token buckets of all tenants at the owner.
* ``QuotaOwner`` is the owner, while its control process leads the registry group; ``OwnerSocket``
  its datagram socket.
* ``messages`` are the datagrams between them. A lost one is made up for by the next.

All but the socket perform no I/O: the time is passed in.
"""
