"""Replicated state machine of the registry group.

State is kept in SQLite tables, which are written in the consensus group's own transaction. A
*start* is one lifetime of a runner's process, identified by the runner's id and the start time. The
rules are:

* A route table is replaced only by one with a higher version. An equal or lower version changes
  nothing and is acknowledged.
* A start that is gone never returns. Of two starts with the same id the later one is kept. Within
  one start, a message with a lower sequence number than an applied one changes nothing.
* The founders of a group are set once.
* Each crashed start of a back end counts once against a suspect request; a complete response clears
  the request.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.schema import create_missing_tables, decode_failure
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.quarantine.records import SuspectRecord
from leverjunction.quarantine.verdicts import on_trial, with_ended_run
from leverjunction.registry import commands
from leverjunction.registry.records import (
    REGISTRY_GROUP,
    GroupRecord,
    MemberRecord,
    MemberRole,
    RunnerRecord,
    RunnerState,
)
from leverjunction.registry.tables import (
    GROUP,
    MEMBER,
    RUNNER,
    SUSPECT,
    TABLES,
    RegistryTables,
)
from leverjunction.wire.codec import encode_reply

_COMMANDS = msgspec.json.Decoder(commands.RegistryCommand)
_QUERIES = msgspec.json.Decoder(commands.RegistryQuery)

C = TypeVar("C", bound=msgspec.Struct)
Handler = Callable[["RegistryTables", Any], msgspec.Struct]
_HANDLERS: dict[type[msgspec.Struct], Handler] = {}


def _handles(
    command: type[C],
) -> Callable[
    [Callable[[RegistryTables, C], msgspec.Struct]], Callable[[RegistryTables, C], msgspec.Struct]
]:
    def register(
        handler: Callable[[RegistryTables, C], msgspec.Struct],
    ) -> Callable[[RegistryTables, C], msgspec.Struct]:
        _HANDLERS[command] = handler
        return handler

    return register


class RegistryStateMachine:
    """State machine of group ``registry`` (``consensus.api.StateMachine``)."""

    __slots__ = ()

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create the tables if they are missing."""
        create_missing_tables(connection, TABLES)

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply."""
        try:
            decoded = _COMMANDS.decode(command)
        except msgspec.MsgspecError as error:
            return encode_reply(decode_failure(REGISTRY_GROUP, error, Step.APPLYING))
        tables = RegistryTables(connection, context.index)
        tables.renew_base_versions()
        return encode_reply(_HANDLERS[type(decoded)](tables, decoded))

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Run a read-only query and return its encoded reply."""
        try:
            decoded = _QUERIES.decode(query)
        except msgspec.MsgspecError as error:
            return encode_reply(decode_failure(REGISTRY_GROUP, error, Step.QUERYING))
        tables = RegistryTables(connection, 0)
        if isinstance(decoded, commands.GetView):
            return encode_reply(tables.view())
        if isinstance(decoded, commands.GetTable):
            return encode_reply(tables.route_table())
        if isinstance(decoded, commands.GetVersions):
            return encode_reply(tables.versions())
        if isinstance(decoded, commands.GetSuspects):
            return encode_reply(tables.suspects())
        return encode_reply(tables.source())


@_handles(commands.PutTable)
def _put_table(tables: RegistryTables, change: commands.PutTable) -> commands.StoredTableVersion:
    stored = tables.table_version()
    if change.table.version <= stored:
        return commands.StoredTableVersion(stored)
    tables.set_table(change)
    return commands.StoredTableVersion(change.table.version)


@_handles(commands.PutRunner)
def _put_runner(tables: RegistryTables, change: commands.PutRunner) -> commands.Done:
    record = change.record
    known = tables.record(RUNNER, record.runner_id, RunnerRecord)
    if known is None or _supersedes(record, known, change.shown_alive):
        if known is None or not _replaces_version(record, known):
            tables.put(RUNNER, record.runner_id, record)
        else:
            # Streams of the former version may still be continued; its record is replaced.
            _keep_former(tables, known)
            tables.put(RUNNER, record.runner_id, record)
            tables.prune_gone_runners()
        _update_base_versions(tables, record, known)
    return commands.Done()


def _update_base_versions(
    tables: RegistryTables, record: RunnerRecord, known: RunnerRecord | None
) -> None:
    if known is not None and (known.service, known.version) != (record.service, record.version):
        tables.update_base_version(known.service)
    # Another back end of the base version changes nothing.
    if tables.base_version(record.service) != record.version:
        tables.update_base_version(record.service)


def _keep_former(tables: RegistryTables, known: RunnerRecord) -> None:
    name = f"{known.runner_id} {known.version}"
    if not known.service:
        # Only the leave of that start is known; a record of the same name may be of a real one.
        return
    kept = tables.record(RUNNER, name, RunnerRecord)
    if kept is not None and kept.service != known.service:
        name = f"{name} {known.service}"
    if known.state is RunnerState.GONE:
        tables.copy_gone(known, name)
    else:
        tables.put_ended(name, known)


def _replaces_version(record: RunnerRecord, known: RunnerRecord) -> bool:
    """Return whether a record is of another version or service.

    A version that was not reported before is not another one.
    """
    is_reported_late = record.start == known.start and not known.version
    is_other = (record.service, record.version) != (known.service, known.version)
    return is_other and not is_reported_late


def _supersedes(record: RunnerRecord, known: RunnerRecord, shown_alive: bool) -> bool:
    if record.born_ms != known.born_ms:
        # The later start wins: the earlier process has ended, whatever state it last reported.
        return record.born_ms > known.born_ms or shown_alive
    if known.state is RunnerState.GONE:
        return False
    # A leaving runner stays leaving until it starts again, even if a delayed message says READY.
    if known.state is RunnerState.LEAVING and record.state is not RunnerState.LEAVING:
        return False
    return record.sequence >= known.sequence or record.state is RunnerState.LEAVING


@_handles(commands.RemoveRunner)
def _remove_runner(tables: RegistryTables, change: commands.RemoveRunner) -> commands.Done:
    known = tables.record(RUNNER, change.runner_id, RunnerRecord)
    service = known.service if known is not None else ""
    if known is None or known.born_ms < change.born_ms:
        if known is not None:
            _keep_former(tables, known)
        # The id is stored anyway, because the runner's first message may still be in transit.
        known = RunnerRecord(
            runner_id=change.runner_id,
            service="",
            address="",
            zone="",
            slots=0,
            born_ms=change.born_ms,
        )
    if change.born_ms and change.born_ms != known.born_ms:
        # The leave message belongs to an earlier start.
        return commands.Done()
    if known.state is not RunnerState.GONE:
        tables.put_ended(change.runner_id, known)
        tables.prune_gone_runners()
        tables.update_base_version(service)
    return commands.Done()


@_handles(commands.ExpireRunners)
def _expire_runners(tables: RegistryTables, change: commands.ExpireRunners) -> commands.Done:
    silent = frozenset(change.runner_ids)
    ended_services = set()
    for known in tables.records(RUNNER, RunnerRecord):
        if known.start not in silent:
            continue
        if known.state is RunnerState.LEAVING:
            tables.put_ended(known.runner_id, known)
            ended_services.add(known.service)
        elif known.state is RunnerState.READY:
            expired = msgspec.structs.replace(known, state=RunnerState.SILENT)
            tables.put(RUNNER, known.runner_id, expired)
    for service in sorted(ended_services):
        tables.update_base_version(service)
    return commands.Done()


@_handles(commands.JoinMember)
def _join_member(tables: RegistryTables, change: commands.JoinMember) -> commands.Done:
    known = tables.record(MEMBER, change.record.name, MemberRecord)
    retiring = known is not None and known.retiring
    record = msgspec.structs.replace(change.record, retiring=retiring)
    tables.put(MEMBER, record.name, record)
    return commands.Done()


@_handles(commands.DropMember)
def _drop_member(tables: RegistryTables, change: commands.DropMember) -> commands.Done:
    known = tables.record(MEMBER, change.name, MemberRecord)
    tables.delete(MEMBER, change.name)
    if known is not None and known.role is MemberRole.CONTROL:
        # What only the members that are gone had stored is not asked for any more.
        tables.reset_base_versions()
    return commands.Done()


@_handles(commands.PutGroup)
def _put_group(tables: RegistryTables, change: commands.PutGroup) -> commands.Done:
    known = tables.record(GROUP, change.name, GroupRecord)
    founders = known.founders if known is not None else change.voters
    group = GroupRecord(name=change.name, founders=founders, voters=change.voters)
    tables.put(GROUP, change.name, group)
    return commands.Done()


@_handles(commands.StartRetirement)
def _start_retirement(
    tables: RegistryTables, change: commands.StartRetirement
) -> commands.Done | Failure:
    member = tables.record(MEMBER, change.name, MemberRecord)
    if member is None:
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"there is no machine {change.name!r}",
            step=Step.APPLYING,
            execution=Execution.NOT_RUN,
        )
    if member.retiring:
        return commands.Done()
    others = [
        other
        for other in tables.records(MEMBER, MemberRecord)
        if other.role is member.role and not other.retiring and other.name != member.name
    ]
    if len(others) < change.least_members:
        return Failure(
            kind=FailureKind.CONFLICT,
            reason=f"{len(others)} machines would be left, at least {change.least_members} must",
            step=Step.APPLYING,
            execution=Execution.NOT_RUN,
        )
    tables.put(MEMBER, member.name, msgspec.structs.replace(member, retiring=True))
    return commands.Done()


@_handles(commands.ReportRuns)
def _report_runs(tables: RegistryTables, change: commands.ReportRuns) -> commands.Done:
    for run in change.ended:
        known = tables.record(SUSPECT, run.key, SuspectRecord)
        tables.put(SUSPECT, run.key, with_ended_run(known, run))
        tables.evict_excess_suspect(run.route)
    for key in change.answered:
        if tables.record(SUSPECT, key, SuspectRecord) is not None:
            tables.delete(SUSPECT, key)
    return commands.Done()


@_handles(commands.ReviewSuspects)
def _review_suspects(tables: RegistryTables, change: commands.ReviewSuspects) -> commands.Done:
    for key in change.on_trial:
        known = tables.record(SUSPECT, key, SuspectRecord)
        if known is not None:
            tables.put(SUSPECT, key, on_trial(known))
    for key in change.forgotten:
        if tables.record(SUSPECT, key, SuspectRecord) is not None:
            tables.delete(SUSPECT, key)
    return commands.Done()


@_handles(commands.ForgetVersions)
def _forget_versions(tables: RegistryTables, change: commands.ForgetVersions) -> commands.Done:
    former = {(name, item) for name, items in tables.view().former_versions for item in items}
    runners = tables.records(RUNNER, RunnerRecord)
    live = {(item.service, item.version) for item in runners if item.state is not RunnerState.GONE}
    ended = tables.ended_versions()
    for item in change.versions:
        key = (item.service, item.version)
        if key in former - live and ended[key] <= item.through:
            tables.settle(item)
    tables.drop_unused_settled()
    for service in sorted({item.service for item in change.versions}):
        tables.update_base_version(service)
    return commands.Done()
