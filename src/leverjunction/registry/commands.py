"""Commands and queries of the registry group, and their replies."""

from __future__ import annotations

import msgspec

from leverjunction.quarantine.records import EndedRun, SuspectList
from leverjunction.registry.records import (
    FleetView,
    GroupRecord,
    MemberRecord,
    RunnerRecord,
    SettledVersion,
)
from leverjunction.registry.version_leases import SharedRevisions
from leverjunction.registry.view_changes import ViewChanges
from leverjunction.routes.table_changes import TableChanges
from leverjunction.routes.types import RouteTable


class PutTable(msgspec.Struct, frozen=True, tag="put_table"):
    """Replace the route table if its version is higher than the stored one.

    Attributes:
        table: The validated table.
        source: The table as the operator wrote it; reads return this text unchanged.
    """

    table: RouteTable
    source: str


class PutRunner(msgspec.Struct, frozen=True, tag="put_runner"):
    """Add or update the record of a runner's start; a start that is gone is not restored.

    Attributes:
        record: The new record.
        shown_alive: True if the record replaces a start with a later start time, because this start
            has sent messages for so long that they cannot be delayed ones.
    """

    record: RunnerRecord
    shown_alive: bool = False


class RemoveRunner(msgspec.Struct, frozen=True, tag="remove_runner"):
    """Mark a runner as gone after it reported its shutdown.

    Attributes:
        runner_id: Id of the runner.
        born_ms: Start time that identifies the start, in milliseconds since the Unix epoch; 0 for
            the start that the registry has stored.
    """

    runner_id: str
    born_ms: int = 0


class ExpireRunners(msgspec.Struct, frozen=True, tag="expire_runners"):
    """Mark runners as silent, or as gone if they were leaving.

    A silent runner becomes ready again with its next message.

    Attributes:
        runner_ids: Starts of the runners (``RunnerRecord.start``).
    """

    runner_ids: tuple[str, ...]


class JoinMember(msgspec.Struct, frozen=True, tag="join_member"):
    """Add or update a machine that may hold replicas, after its process has started."""

    record: MemberRecord


class DropMember(msgspec.Struct, frozen=True, tag="drop_member"):
    """Remove a machine that will not return."""

    name: str


class PutGroup(msgspec.Struct, frozen=True, tag="put_group"):
    """Found a consensus group, or set the target addresses of its voters."""

    name: str
    voters: tuple[str, ...]


class StartRetirement(msgspec.Struct, frozen=True, tag="start_retirement"):
    """Start moving all replicas off a machine at an operator's request.

    Attributes:
        name: Name of the machine.
        least_members: Minimum number of machines with the same role that must remain.
    """

    name: str
    least_members: int


class ReportRuns(msgspec.Struct, frozen=True, kw_only=True, tag="note_runs"):
    """Record the outcomes of runs of suspect requests, as one process saw them.

    Attributes:
        ended: Runs during which the back end crashed.
        answered: Keys of suspects that got a complete response, which clears them.
    """

    ended: tuple[EndedRun, ...] = ()
    answered: tuple[str, ...] = ()


class ReviewSuspects(msgspec.Struct, frozen=True, kw_only=True, tag="review_suspects"):
    """Update suspect records whose retention time is over.

    Attributes:
        on_trial: Keys of refused requests that may be tried again, since their verdict has expired.
        forgotten: Keys of suspects whose records are deleted.
    """

    on_trial: tuple[str, ...] = ()
    forgotten: tuple[str, ...] = ()


class ForgetVersions(msgspec.Struct, frozen=True, tag="forget_versions"):
    """No longer list versions as former ones; the records of their runners stay.

    A version that serves again, or has ended again after the log index that is given for it, stays
    as it is. A replica of a release without this command answers with a failure and keeps listing
    the versions, also after its upgrade: until a leader that lists them too proposes this again, or
    their records are pruned, a process that starts and reads that replica is in doubt about them
    for ``STREAM_LIFETIME_S``.

    Attributes:
        versions: The versions.
    """

    versions: tuple[SettledVersion, ...]


class GetSuspects(msgspec.Struct, frozen=True, tag="get_suspects"):
    """Read the suspect requests."""


class GetView(msgspec.Struct, frozen=True, tag="get_view"):
    """Read the registry without the route table."""


class GetTable(msgspec.Struct, frozen=True, tag="get_table"):
    """Read the route table."""


class GetVersions(msgspec.Struct, frozen=True, tag="get_versions"):
    """Read the versions of the route table and the view without their contents."""


class GetTableSource(msgspec.Struct, frozen=True, tag="get_table_source"):
    """Read the route table as the operator wrote it."""


RegistryCommand = (
    PutTable
    | PutRunner
    | RemoveRunner
    | ExpireRunners
    | JoinMember
    | DropMember
    | PutGroup
    | StartRetirement
    | ReportRuns
    | ReviewSuspects
    | ForgetVersions
)
RegistryQuery = GetView | GetTable | GetTableSource | GetSuspects | GetVersions


class StoredTableVersion(msgspec.Struct, frozen=True):
    """Reply to ``PutTable``: version of the table that is stored after the command."""

    version: int


class StateVersions(msgspec.Struct, frozen=True):
    """Reply to ``GetVersions``.

    Attributes:
        table_version: Version of the route table.
        revision: Revision of the view.
    """

    table_version: int
    revision: int


class Done(msgspec.Struct, frozen=True):
    """Reply to a command that always succeeds."""


class TableSource(msgspec.Struct, frozen=True):
    """Reply to ``GetTableSource``; version 0 if no table is stored."""

    version: int
    source: str


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Long poll of a control process for registry state newer than the sender's copy.

    Attributes:
        table_version: Version of the sender's table, -1 if it has none yet.
        revision: Revision of the sender's view, -1 if it has none yet.
        wait_ms: Longest time for which the reply may be held until something is newer, in
            milliseconds.
        member: Name of the sending machine if it may hold replicas, else empty.
        fresh: True to read from the group's leader; required for a process without any state.
        suspects_revision: Revision of the sender's list of suspects; None from a release without
            suspect lists.
        table_digest: Digest of the sender's table (``codec.digest_of``), which may then receive
            what changed since; empty if it needs a whole one.
        view_digest: The same for the sender's view.
        gateway: Name of the sending gateway, which trusts the reply for ``bounds.in_force_ms`` and
            uses no version before it is shared; empty from another process or an older release.
        awaits_revision: Revision at which the sender waits for all gateways, -1 for none.
    """

    table_version: int
    revision: int
    wait_ms: int
    member: str = ""
    fresh: bool = False
    suspects_revision: int | None = None
    table_digest: str = ""
    view_digest: str = ""
    gateway: str = ""
    awaits_revision: int = -1


class WatchReply(msgspec.Struct, frozen=True, kw_only=True):
    """Registry state newer than the copy of the requesting process.

    ``table``, ``view`` and ``suspects`` are None if the requester has the same or newer ones, or
    receives the changes of its own.

    Attributes:
        table: The route table.
        view: The registry without the route table.
        controls: RPC addresses of the control processes.
        contact_age_s: Upper bound of the state's age: seconds since it was last known to include
            everything committed.
        suspects: The suspect requests.
        table_version: Version of the table at the replying process; -1 from a release that does
            not send it.
        revision: Revision of the view at the replying process; -1 from a release that does not
            send it.
        held_s: Time for which the reply was held, in seconds.
        table_changes: What changed since the requester's table, in place of a whole one.
        view_changes: What changed since the requester's view, in place of a whole one.
        shared: Revisions that all processes have; None from a release that does not send it.
        verified_age_s: As ``contact_age_s``, but by a call to the leader (``VerifiedState``); None
            if there was none.
    """

    table: RouteTable | None
    view: FleetView | None
    controls: tuple[str, ...]
    contact_age_s: float
    suspects: SuspectList | None = None
    table_version: int = -1
    revision: int = -1
    held_s: float = 0.0
    table_changes: TableChanges | None = None
    view_changes: ViewChanges | None = None
    shared: SharedRevisions | None = None
    verified_age_s: float | None = None


class LivenessReport(msgspec.Struct, frozen=True):
    """Runners and machines that contacted a control process since its last report to the leader.

    Attributes:
        runner_ids: Starts of runners (``RunnerRecord.start``).
        members: Names of machines.
    """

    runner_ids: tuple[str, ...]
    members: tuple[str, ...]


class GroupMembership(msgspec.Struct, frozen=True, kw_only=True):
    """Membership of a group as one of its replicas sees it.

    Attributes:
        leads: True if the replica leads the group.
        voters: RPC addresses of the voters.
        members: RPC addresses of the voters and learners.
    """

    leads: bool
    voters: tuple[str, ...]
    members: tuple[str, ...]


__all__ = [
    "Done",
    "DropMember",
    "ExpireRunners",
    "ForgetVersions",
    "GetSuspects",
    "GetTable",
    "GetTableSource",
    "GetVersions",
    "GetView",
    "GroupMembership",
    "GroupRecord",
    "JoinMember",
    "LivenessReport",
    "PutGroup",
    "PutRunner",
    "PutTable",
    "RegistryCommand",
    "RegistryQuery",
    "RemoveRunner",
    "ReportRuns",
    "ReviewSuspects",
    "StartRetirement",
    "StateVersions",
    "StoredTableVersion",
    "TableSource",
    "WatchReply",
    "WatchRequest",
]
