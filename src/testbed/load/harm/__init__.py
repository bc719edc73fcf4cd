"""The harm experiment: what batch does to the online tail, in virtual time over the real cores.

The same seeded work is run four ways: online alone, batch without yielding (baseline),
leverjunction's harvest (lagging reports, leases with a round trip), and an oracle with the same
interference target that sees every runner's state at once at no cost.
"""
