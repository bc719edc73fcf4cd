"""Replicated state: Raft (Ongaro, 2014) over groups of control processes.

``api`` holds the contract with the rest of the product: state machines are applied by a group
replica, and callers propose commands and ask queries through it.
"""
