"""Scale runs: hollow gateways and runners against real control processes, and fitted slopes.

A hollow process does everything that costs the control side something (real exchange, real
leases, real RPC) and nothing that costs itself much, so that hundreds fit into a few processes.
Modules named ``slopes_*`` measure one part in one process, without a fleet.
"""
