"""Commands and queries of the registry group, and their replies."""

from __future__ import annotations

import msgspec

from leverjunction.quarantine.records import EndedRun, SuspectList
from leverjunction.registry.records import (
    FleetView,
    GroupRecord,
    MemberRecord,
    RunnerRecord,
)
from leverjunction.routes.types import RouteTable


class PutTable(msgspec.Struct, frozen=True, tag="put_table"):
    """Replace the route table if its version is higher than the one held.

    Attributes:
        table: The checked table.
        source: The operator's own text of it, which reads return unchanged.
    """

    table: RouteTable
    source: str


class PutRunner(msgspec.Struct, frozen=True, tag="put_runner"):
    """Register a start of a runner or change its record; never brings back one that is gone.

    Attributes:
        record: The record.
        shown_alive: It replaces a start that claims to be later: this one was heard for so long
            that its words can be no late ones.
    """

    record: RunnerRecord
    shown_alive: bool = False


class RemoveRunner(msgspec.Struct, frozen=True, tag="remove_runner"):
    """A runner said that it ends.

    Attributes:
        runner_id: Its id.
        born_ms: Which start of it; 0 for the one that is known.
    """

    runner_id: str
    born_ms: int = 0


class ExpireRunners(msgspec.Struct, frozen=True, tag="expire_runners"):
    """Runners fell silent; they return with their next message.

    Attributes:
        runner_ids: Their starts (``RunnerRecord.start``).
    """

    runner_ids: tuple[str, ...]


class JoinMember(msgspec.Struct, frozen=True, tag="join_member"):
    """A machine that may hold replicas has started."""

    record: MemberRecord


class DropMember(msgspec.Struct, frozen=True, tag="drop_member"):
    """A machine is gone for good."""

    name: str


class PutGroup(msgspec.Struct, frozen=True, tag="put_group"):
    """Found a group, or set where its voters shall be."""

    name: str
    voters: tuple[str, ...]


class StartRetirement(msgspec.Struct, frozen=True, tag="start_retirement"):
    """An operator asks that a machine be emptied.

    Attributes:
        name: Name of the machine.
        least_members: Machines of its role that must remain.
    """

    name: str
    least_members: int


class NoteRuns(msgspec.Struct, frozen=True, kw_only=True, tag="note_runs"):
    """A process tells what became of runs of suspect requests.

    Attributes:
        ended: Runs under which their back ends ended.
        answered: Keys of suspects that were answered whole, which clears them.
    """

    ended: tuple[EndedRun, ...] = ()
    answered: tuple[str, ...] = ()


class ReviewSuspects(msgspec.Struct, frozen=True, kw_only=True, tag="review_suspects"):
    """Change records of suspects, by their keys.

    Attributes:
        on_trial: Their verdict is over.
        forgotten: Nothing is held against them any more.
    """

    on_trial: tuple[str, ...] = ()
    forgotten: tuple[str, ...] = ()


class GetSuspects(msgspec.Struct, frozen=True, tag="get_suspects"):
    """Read the suspect requests."""


class GetView(msgspec.Struct, frozen=True, tag="get_view"):
    """Read the registry without the route table."""


class GetTable(msgspec.Struct, frozen=True, tag="get_table"):
    """Read the route table."""


class GetTableSource(msgspec.Struct, frozen=True, tag="get_table_source"):
    """Read the operator's own text of the route table."""


RegistryCommand = (
    PutTable
    | PutRunner
    | RemoveRunner
    | ExpireRunners
    | JoinMember
    | DropMember
    | PutGroup
    | StartRetirement
    | NoteRuns
    | ReviewSuspects
)
RegistryQuery = GetView | GetTable | GetTableSource | GetSuspects


class StoredTableVersion(msgspec.Struct, frozen=True):
    """Reply to ``PutTable``: the version held now."""

    version: int


class Done(msgspec.Struct, frozen=True):
    """Reply to a command that always succeeds."""


class TableSource(msgspec.Struct, frozen=True):
    """Reply to ``GetTableSource``; version 0 when there is none."""

    version: int
    source: str


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a control process for what is newer than the sender knows.

    Attributes:
        table_version: Version of the sender's table, -1 when it has none yet.
        revision: Revision of the sender's view, -1 when it has none yet.
        wait_ms: The answer may be held for so long until something is newer.
        member: Name of the sending machine if it may hold replicas, else empty.
        fresh: Ask the group's leader, as a process must that has known nothing so far.
        suspects_revision: Revision of the sender's list of suspects; None from a process that does
            not know of such lists.
    """

    table_version: int
    revision: int
    wait_ms: int
    member: str = ""
    fresh: bool = False
    suspects_revision: int | None = None


class WatchReply(msgspec.Struct, frozen=True, kw_only=True):
    """What is newer; None for what the sender has already.

    Attributes:
        table: The table.
        view: The rest of the registry.
        controls: RPC addresses of the control processes.
        contact_age_s: Seconds since what is told here was known to be all that is committed.
        suspects: The suspect requests.
        table_version: Version of the table that the answering process holds; -1 from one that does
            not say.
        revision: Revision of the view that it holds; -1 from one that does not say.
        held_s: How long the answer was held.
    """

    table: RouteTable | None
    view: FleetView | None
    controls: tuple[str, ...]
    contact_age_s: float
    suspects: SuspectList | None = None
    table_version: int = -1
    revision: int = -1
    held_s: float = 0.0


class Heard(msgspec.Struct, frozen=True):
    """A control process tells the leader whom it has heard since its last message.

    Attributes:
        runner_ids: Starts of runners (``RunnerRecord.start``).
        members: Names of machines.
    """

    runner_ids: tuple[str, ...]
    members: tuple[str, ...]


class GroupMembership(msgspec.Struct, frozen=True, kw_only=True):
    """Where a replica sees its group: RPC addresses.

    Attributes:
        leads: True when it leads the group.
        voters: Voters alone.
        members: Voters and learners.
    """

    leads: bool
    voters: tuple[str, ...]
    members: tuple[str, ...]


__all__ = [
    "Done",
    "DropMember",
    "ExpireRunners",
    "GetSuspects",
    "GetTable",
    "GetTableSource",
    "GetView",
    "GroupMembership",
    "GroupRecord",
    "Heard",
    "JoinMember",
    "NoteRuns",
    "PutGroup",
    "PutRunner",
    "PutTable",
    "RegistryCommand",
    "RegistryQuery",
    "RemoveRunner",
    "ReviewSuspects",
    "StartRetirement",
    "StoredTableVersion",
    "TableSource",
    "WatchReply",
    "WatchRequest",
]
