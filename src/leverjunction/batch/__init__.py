"""Batch jobs: the replicated state machine, leases, and running items on idle runner capacity."""
