"""What changed between two views of the registry.

A deployment has hundreds of machines and thousands of back ends, and each start, end or silence of
one changes the view. Watchers receive the records that changed instead of all; the digest of the
result proves that a watcher has the state of the process that it follows.
"""

from __future__ import annotations

import msgspec

from leverjunction.record_changes import (
    RecordChanges,
    apply_records,
    diff_records,
    none_if_empty,
)
from leverjunction.registry.records import (
    BaseVersion,
    FleetView,
    GroupRecord,
    MemberRecord,
    RunnerRecord,
)
from leverjunction.wire.codec import digest_of

VersionsRow = tuple[str, tuple[str, ...]]


class ViewChanges(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What turns one view into a later one; a part that did not change is None.

    Attributes:
        base: Revision of the view that the changes apply to.
        revision: Revision of the later view.
        digest: Digest of the later view (``codec.digest_of``).
        runners: Changes of the runners.
        members: Changes of the machines that may hold replicas.
        groups: Changes of the consensus groups.
        former_versions: Changes of the former versions, by service.
        settled_versions: Changes of the settled versions, by service.
        base_versions: Changes of the base versions, by service.
    """

    base: int
    revision: int
    digest: str
    runners: RecordChanges[RunnerRecord] | None = None
    members: RecordChanges[MemberRecord] | None = None
    groups: RecordChanges[GroupRecord] | None = None
    former_versions: RecordChanges[VersionsRow] | None = None
    settled_versions: RecordChanges[VersionsRow] | None = None
    base_versions: RecordChanges[BaseVersion] | None = None


def changes(old: FleetView, new: FleetView, digest: str) -> ViewChanges | None:
    """Return what turns ``old`` into ``new``, None if that cannot be expressed.

    Args:
        old: The earlier view.
        new: The later view.
        digest: Digest of the later view.
    """
    runners = diff_records(old.runners, new.runners, _runner)
    members = diff_records(old.members, new.members, _member)
    groups = diff_records(old.groups, new.groups, _group)
    former = diff_records(old.former_versions, new.former_versions, _row)
    settled = diff_records(old.settled_versions, new.settled_versions, _row)
    bases = diff_records(old.base_versions, new.base_versions, _base)
    if (
        runners is None
        or members is None
        or groups is None
        or former is None
        or settled is None
        or bases is None
    ):
        return None
    result = ViewChanges(
        base=old.revision,
        revision=new.revision,
        digest=digest,
        runners=none_if_empty(runners),
        members=none_if_empty(members),
        groups=none_if_empty(groups),
        former_versions=none_if_empty(former),
        settled_versions=none_if_empty(settled),
        base_versions=none_if_empty(bases),
    )
    return result if merge(old, result) == new else None


def merge(view: FleetView, change: ViewChanges) -> FleetView | None:
    """Return the later view, which shares unchanged records; None if it is for another view.

    The digest is not compared; see ``apply``.
    """
    if change.base != view.revision:
        return None
    runners = apply_records(view.runners, change.runners, _runner)
    members = apply_records(view.members, change.members, _member)
    groups = apply_records(view.groups, change.groups, _group)
    former = apply_records(view.former_versions, change.former_versions, _row)
    settled = apply_records(view.settled_versions, change.settled_versions, _row)
    bases = apply_records(view.base_versions, change.base_versions, _base)
    if (
        runners is None
        or members is None
        or groups is None
        or former is None
        or settled is None
        or bases is None
    ):
        return None
    return msgspec.structs.replace(
        view,
        revision=change.revision,
        runners=runners,
        members=members,
        groups=groups,
        former_versions=former,
        settled_versions=settled,
        base_versions=bases,
    )


def apply(view: FleetView, change: ViewChanges) -> FleetView | None:
    """Return the later view; None if the result is not the view that the sender has."""
    later = merge(view, change)
    return later if later is not None and digest_of(later) == change.digest else None


def _runner(record: RunnerRecord) -> str:
    return record.runner_id


def _member(record: MemberRecord) -> str:
    return record.name


def _group(record: GroupRecord) -> str:
    return record.name


def _row(row: VersionsRow) -> str:
    return row[0]


def _base(record: BaseVersion) -> str:
    return record.service


__all__ = ["ViewChanges", "apply", "changes", "merge"]
