"""Replicated registry: the route table, the runners and the machines that hold state."""

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
from leverjunction.registry.state_machine import RegistryStateMachine

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
    "RegistryStateMachine",
    "RemoveRunner",
    "RunnerRecord",
    "RunnerState",
    "StartRetirement",
    "runner_key",
]
