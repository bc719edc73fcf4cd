"""Replicated registry: the route table, the runners, and the machines that hold replicas.

A *runner* is a back-end process that serves requests. Control processes replicate the
registry by consensus; gateways and stores keep a copy of it and watch for changes. A *suspect* is a
request during which a back end crashed.
"""

from leverjunction.registry.commands import (
    DropMember,
    ExpireRunners,
    JoinMember,
    PutGroup,
    PutRunner,
    PutTable,
    RemoveRunner,
    StartRetirement,
)
from leverjunction.registry.records import (
    REGISTRY_GROUP,
    FleetView,
    GroupRecord,
    MemberRecord,
    MemberRole,
    RunnerRecord,
    RunnerState,
    runner_key,
)

__all__ = [
    "REGISTRY_GROUP",
    "DropMember",
    "ExpireRunners",
    "FleetView",
    "GroupRecord",
    "JoinMember",
    "MemberRecord",
    "MemberRole",
    "PutGroup",
    "PutRunner",
    "PutTable",
    "RemoveRunner",
    "RunnerRecord",
    "RunnerState",
    "StartRetirement",
    "runner_key",
]
