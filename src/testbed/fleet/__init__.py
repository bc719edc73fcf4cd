"""Launcher of whole fleets as real processes, with a stand-in network and machine list."""
