"""Records of the registry, as they are replicated and as they are sent to gateways and stores."""

from __future__ import annotations

from enum import StrEnum

import msgspec

REGISTRY_GROUP = "registry"
"""Name of the consensus group that holds the registry."""


JOBS_GROUP = "jobs-0"
"""Name of the consensus group that stores batch jobs."""


class RunnerState(StrEnum):
    """Availability of a runner for the gateways.

    ``READY``: gets new work. ``LEAVING``: finishes its work before it ends. ``SILENT``: has sent no
    message for too long. ``GONE``: has ended; kept only to reject delayed messages.
    """

    READY = "ready"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class MemberRole(StrEnum):
    """Kind of replica that a machine may hold."""

    CONTROL = "control"
    STORE = "store"


class RunnerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a runner: one lifetime of its process. A later start may have the same id.

    Attributes:
        runner_id: Id of the runner; the only name that the runner itself knows.
        service: Service that the runner belongs to.
        address: ``host:port`` of the runner's HTTP port; another runner may have used it before.
        zone: Zone that the runner is in.
        slots: Number of requests that the runner processes at the same time.
        state: Availability of the runner.
        sequence: Highest sequence number among the runner's messages that were applied; numbers
            begin anew with each start.
        born_ms: Start time by the runner's own clock, in milliseconds since the Unix epoch; 0 if
            the runner does not send it.
        version: Version of the runner's software; empty if the runner does not report it. Parts of
            one response that different versions wrote do not fit together.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    state: RunnerState = RunnerState.READY
    sequence: int = 0
    born_ms: int = 0
    version: str = ""

    @property
    def start(self) -> str:
        """Unique key of this start: the id, with the start time if it is known."""
        return f"{self.runner_id}@{self.born_ms}" if self.born_ms else self.runner_id


def runner_key(record: RunnerRecord) -> tuple[str, str, str, int, RunnerState, int, str]:
    """Return the fields whose change must be replicated; all but the id and sequence number."""
    location = (record.service, record.address, record.zone)
    return (*location, record.slots, record.state, record.born_ms, record.version)


class MemberRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One machine that may hold replicas.

    Attributes:
        name: Unique name of the machine.
        role: Kind of replica that the machine may hold.
        address: RPC address, ``host:port``.
        zone: Zone that the machine is in.
        retiring: True after an operator asked to move all replicas off the machine.
    """

    name: str
    role: MemberRole
    address: str
    zone: str
    retiring: bool = False


class GroupRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Target placement of a consensus group's voters.

    Attributes:
        name: Name of the group.
        founders: RPC addresses of the members that form the group at first; never changes.
        voters: RPC addresses of the machines that are to hold the voters.
    """

    name: str
    founders: tuple[str, ...]
    voters: tuple[str, ...]


class SettledVersion(msgspec.Struct, frozen=True):
    """A former version of a service's software of which no stream can be alive any more.

    Attributes:
        service: The service.
        version: The version.
        through: Log index up to which the ends of its runners are settled; a later end is not.
    """

    service: str
    version: str
    through: int


class BaseVersion(msgspec.Struct, frozen=True):
    """The version of a service that was the only one last, while back ends of it serve.

    Attributes:
        service: The service.
        version: The version.
    """

    service: str
    version: str


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """The registry without the route table.

    Attributes:
        revision: Log index of the last change.
        runners: All runners except those that are gone.
        members: Machines that may hold replicas.
        groups: Consensus groups other than the registry group.
        former_versions: Versions of the software of runners that are gone, by service, as far as
            their records are kept and a stream of them may be alive.
        settled_versions: The other versions in records of gone runners, by service; always empty
            from a release that does not settle versions.
        base_versions: Base version of each service that has one; always empty from a release that
            does not record them.
    """

    revision: int = 0
    runners: tuple[RunnerRecord, ...] = ()
    members: tuple[MemberRecord, ...] = ()
    groups: tuple[GroupRecord, ...] = ()
    former_versions: tuple[tuple[str, tuple[str, ...]], ...] = ()
    settled_versions: tuple[tuple[str, tuple[str, ...]], ...] = ()
    base_versions: tuple[BaseVersion, ...] = ()

    def group(self, name: str) -> GroupRecord | None:
        """Return the group with a name, None if it is not founded."""
        return next((group for group in self.groups if group.name == name), None)

    def voters(self, name: str) -> tuple[str, ...]:
        """Return the target addresses of a group's voters; empty before the group is founded."""
        group = self.group(name)
        return group.voters if group is not None else ()

    def addresses(self, role: MemberRole) -> list[str]:
        """Return the RPC addresses of the members with a role."""
        return [member.address for member in self.members if member.role is role]
