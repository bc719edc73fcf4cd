"""Broken rules of consensus, settings and jobs; each function returns the patches of one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import msgspec

from leverjunction.api.batches_upload import UploadTerms
from leverjunction.batch import leasing
from leverjunction.batch.commands import JobState
from leverjunction.batch.harvest_state import HarvestState
from leverjunction.batch.harvester import Harvester
from leverjunction.batch.item_run import RunEnd, RunResult
from leverjunction.batch.lease_timers import LeaseTimers
from leverjunction.batch.orphan_sweep import OrphanSweep
from leverjunction.batch.result_sender import ResultSender
from leverjunction.consensus.core_base import CoreBase
from leverjunction.consensus.core_election import ElectionCore
from leverjunction.consensus.core_founding import FoundingCore
from leverjunction.control.settings_mirror import SettingsMirror, SettingsStep
from leverjunction.errors import Failure
from leverjunction.settings import state_machine as settings_machine
from leverjunction.settings.resolved import ResolvedSettings
from testbed.simulation.gateway_front import GatewayFront
from testbed.simulation.gateway_node import SettingsDisk
from testbed.simulation.local_group import LocalGroup
from testbed.simulation.machine import Machine
from testbed.simulation.replica import ReplicaDisk

UNSYNCED_SHARE = 20


# Consensus.


def clock_stands_while_frozen() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(Machine, "clock_counts_frozen_time", False)]


def found_alone() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(FoundingCore, "_may_found", lambda _self, _attempt: True)]


def elect_only_once() -> list[Any]:
    """Return the patches."""
    may_campaign = ElectionCore._may_campaign

    def only_at_first(core: ElectionCore) -> bool:
        return core.term == 0 and may_campaign(core)

    return [mock.patch.object(ElectionCore, "_may_campaign", only_at_first)]


def leader_commits_alone() -> list[Any]:
    """Return the patches."""

    def highest(core: CoreBase, values: dict[str, float]) -> float:
        return max((values.get(voter, 0.0) for voter in core.configuration.voter_ids()), default=0)

    return [mock.patch.object(CoreBase, "_quorum_of", highest)]


def acknowledge_before_sync() -> list[Any]:
    """Return the patches."""
    commit = ReplicaDisk._commit

    def rarely(disk: ReplicaDisk, real: Callable[[], None]) -> None:
        disk.commits += 1
        if disk.commits % UNSYNCED_SHARE == 0 or disk.crash_in_sync:
            commit(disk, real)

    return [mock.patch.object(ReplicaDisk, "_commit", rarely)]


def read_from_any_replica() -> list[Any]:
    """Return the patches."""

    def query(group: LocalGroup, query: bytes, _timeout_s: float) -> bytes | Failure:
        return group.query_local(query)

    return [mock.patch.object(LocalGroup, "query", query)]


# Settings.


def ignore_base_version() -> list[Any]:
    """Return the patches."""
    decide = settings_machine._decide

    def on_any_base(connection: Any, context: Any, change: Any) -> Any:
        head = settings_machine._head(connection)
        new_hash = settings_machine._hash_after(connection, head, change.changes)
        rebased = msgspec.structs.replace(change, base_version=head.version, content_hash=new_hash)
        return decide(connection, context, rebased)

    return [mock.patch.object(settings_machine, "_decide", on_any_base)]


def forget_change_ids() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(settings_machine, "_apply_change", settings_machine._decide)]


def apply_older_version() -> list[Any]:
    """Break both guards: the hub's, which offers no older version, and the gateway's."""
    apply = ResolvedSettings.apply
    step = SettingsMirror.step

    @contextmanager
    def own_version(mirror: SettingsMirror, after_version: int) -> Iterator[SettingsStep]:
        if after_version > mirror.version:
            yield SettingsStep(version=mirror.version)
            return
        with step(mirror, after_version) as known:
            yield known

    def any_version(settings: ResolvedSettings, rows: Any, version: int = 0) -> ResolvedSettings:
        newer = apply(settings, rows, version)
        if 0 < version < newer.version:
            return ResolvedSettings(newer._entities, version, newer._index)
        return newer

    return [
        mock.patch.object(SettingsMirror, "step", own_version),
        mock.patch.object(ResolvedSettings, "apply", any_version),
    ]


def restart_on_first_copy() -> list[Any]:
    """Return the patches."""
    save = SettingsDisk.save

    def only_first(disk: SettingsDisk, settings: ResolvedSettings) -> Failure | None:
        return None if not isinstance(disk.load(), Failure) else save(disk, settings)

    return [mock.patch.object(SettingsDisk, "save", only_first)]


def drop_a_row() -> list[Any]:
    """Return the patches."""
    apply = ResolvedSettings.apply

    def all_but_last(settings: ResolvedSettings, rows: Any, version: int = 0) -> ResolvedSettings:
        kept = list(rows)
        return apply(settings, kept[:-1] if len(kept) > 1 else kept, version)

    return [mock.patch.object(ResolvedSettings, "apply", all_but_last)]


# Jobs.


def accept_second_result() -> list[Any]:
    """Return the patches."""
    commit = leasing._commit_result

    def always(connection: Any, jobs: Any, lease: int, result: Any) -> bool:
        if commit(connection, jobs, lease, result):
            return True
        job = jobs.by_id(result.job_id)
        final = result.state in leasing._FINAL_OUTCOMES
        if job is None or not final:
            return False
        key = leasing.row_key(job.number, result.index)
        leasing._store_outcome(connection, job, key, result.state, result.status_code, result.body)
        return True

    return [mock.patch.object(leasing, "_commit_result", always)]


def drop_uncommitted_results() -> list[Any]:
    """Return the patches."""

    def forget(sender: ResultSender, *_unsent: object) -> None:
        sender._sending = 0

    return [mock.patch.object(ResultSender, "_requeue", forget)]


def forget_job_keys() -> list[Any]:
    """Return the patches."""
    submit = GatewayFront.submit

    def without_key(front: GatewayFront, lines: Any, terms: UploadTerms) -> Any:
        return submit(front, lines, msgspec.structs.replace(terms, idempotency_key=""))

    return [mock.patch.object(GatewayFront, "submit", without_key)]


def cancel_before_commit() -> list[Any]:
    """Return the patches."""

    def acknowledge(front: GatewayFront, tenant: str, job_id: str) -> Any:
        job = front.show(tenant, job_id)
        if isinstance(job, Failure) or job.state is not JobState.ACCEPTED:
            return job
        left = job.pending + job.leased
        return msgspec.structs.replace(job, state=JobState.CANCELLED, cancelled=left)

    return [mock.patch.object(GatewayFront, "cancel", acknowledge)]


def never_expire_leases() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(LeaseTimers, "expired", lambda _self, _now_s: [])]


def run_on_after_cancel() -> list[Any]:
    """Return the patches."""
    revoke = Harvester.revoke

    def only_leases(harvester: Harvester, lost: list[str], _cancelled: list[str]) -> None:
        revoke(harvester, lost, [])

    return [mock.patch.object(Harvester, "revoke", only_leases)]


def skip_takeover_sweep() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(OrphanSweep, "take_due", lambda _self, _now_s: [])]


def rerun_unknown_items() -> list[Any]:
    """Return the patches."""
    ended = HarvestState.ended

    def as_not_run(state: HarvestState, run: Any, result: RunResult, now_s: float) -> Any:
        if result.end is RunEnd.BROKEN:
            result = msgspec.structs.replace(result, end=RunEnd.NOT_RUN)
        return ended(state, run, result, now_s)

    return [mock.patch.object(HarvestState, "ended", as_not_run)]


def return_unknown_items() -> list[Any]:
    """Return the patches."""

    def give_all_back(connection: Any, jobs: Any, lease: int) -> Any:
        items = leasing._open_items(connection, lease)
        for key, _attempt in items:
            leasing._return_item(connection, jobs.by_number(leasing.split_key(key)[0]), key)
        return leasing.ExpiredLeases(returned=len(items), unknown=0)

    return [mock.patch.object(leasing, "_end_lease", give_all_back)]
