"""Records of the registry, as they are replicated and as gateways see them."""

from __future__ import annotations

from enum import StrEnum

import msgspec

REGISTRY_GROUP = "registry"
"""Name of the consensus group that holds the registry."""


JOBS_GROUP = "jobs-0"
"""Name of the group that keeps batch jobs."""


class RunnerState(StrEnum):
    """What a runner is to the gateways."""

    READY = "ready"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class MemberRole(StrEnum):
    """What a machine that holds state does."""

    CONTROL = "control"
    STORE = "store"


class RunnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a runner; a later one may have the same id.

    Attributes:
        runner_id: Id of the runner; the only name that it knows itself by.
        service: Service that it belongs to.
        address: ``host:port`` of its HTTP port; may have been another runner's before.
        zone: Zone it runs in.
        slots: Requests that it works on at a time.
        state: Whether it gets new work.
        sequence: Highest number of its own messages that was taken into account; each start
            counts anew.
        born_ms: When this start began, by its own clock, in milliseconds since the Unix epoch; 0
            when it does not say.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: RunnerState = RunnerState.READY
    sequence: int = 0
    born_ms: int = 0

    @property
    def start(self) -> str:
        """What tells this start from all others: key of all that is known of it elsewhere."""
        return f"{self.runner_id}@{self.born_ms}" if self.born_ms else self.runner_id


def runner_key(record: RunnerRecord) -> tuple[str, str, str, int, RunnerState, int]:
    """Return what must be replicated when it changes."""
    place = (record.service, record.address, record.zone)
    return (*place, record.slots, record.state, record.born_ms)


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One machine that may hold replicas.

    Attributes:
        name: Unique name of the machine.
        role: What it holds.
        address: RPC address, ``host:port``.
        zone: Zone it runs in.
        retiring: True once an operator asked that it be emptied.
    """

    name: str
    role: MemberRole
    address: str
    zone: str
    retiring: bool = False


class GroupRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Where a group's voters shall be.

    Attributes:
        name: Name of the group.
        founders: RPC addresses of the members that found it; never changes.
        voters: RPC addresses that shall hold its voters.
    """

    name: str
    founders: tuple[str, ...]
    voters: tuple[str, ...]


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """The registry without the route table.

    Attributes:
        revision: Log index of the last change.
        runners: All runners that are not gone.
        members: Machines that may hold replicas.
        groups: Groups besides the registry.
    """

    revision: int = 0
    runners: tuple[RunnerRecord, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    groups: tuple[GroupRecord, ...] = ()

    def group(self, name: str) -> GroupRecord | None:
        """Return a group by its name."""
        return next((group for group in self.groups if group.name == name), None)

    def voters(self, name: str) -> tuple[str, ...]:
        """Return where a group's voters shall be; nowhere before it is founded."""
        group = self.group(name)
        return group.voters if group is not None else ()

    def addresses(self, role: MemberRole) -> list[str]:
        """Return the RPC addresses of the members with a role."""
        return [member.address for member in self.members if member.role is role]
