"""Batch jobs: the replicated job state machine, leases, and the harvest of idle capacity."""
