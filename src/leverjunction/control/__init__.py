"""The control process.

It serves gateways as their hub, runs replicas of the consensus groups, places models on runners and
offers the operators' HTTP API.
"""
