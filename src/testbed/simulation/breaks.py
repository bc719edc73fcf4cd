"""Rules that can be broken on purpose, to prove that each checker can fail.

Each break replaces one rule of the product by a wrong one; the product's own code is not changed.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from types import TracebackType
from typing import Any
from unittest import mock

import msgspec

from leverjunction.api.batches_upload import UploadTerms
from leverjunction.backends.types import LoadReport
from leverjunction.batch import leasing, pending
from leverjunction.batch.commands import JobState
from leverjunction.batch.harvest import HarvestController
from leverjunction.batch.harvest_state import HarvestState
from leverjunction.batch.harvester import Harvester
from leverjunction.batch.item_run import RunEnd, RunResult
from leverjunction.batch.lease_keeper import LeaseKeeper
from leverjunction.batch.result_sender import ResultSender
from leverjunction.consensus.core_base import CoreBase
from leverjunction.consensus.core_founding import FoundingCore
from leverjunction.errors import Execution, Failure
from leverjunction.gateway import claims, sender, stream_session
from leverjunction.gateway.claims import ClaimDesk, HeldClaim
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.settings import state_machine as settings_machine
from leverjunction.settings.resolved import ResolvedSettings
from testbed.simulation.engine_client import SimulatedEngines
from testbed.simulation.gateway_front import GatewayFront
from testbed.simulation.gateway_node import GatewayNode, SettingsDisk
from testbed.simulation.local_group import LocalGroup
from testbed.simulation.replica import ReplicaDisk

UNSYNCED_SHARE = 20
ONLINE_PRIORITY = 9

RUN_ENDS = "run_ends"
"""Stands for a checker where the product's own assertion ends the run."""

Patches = Callable[[], list[Any]]


@dataclass(frozen=True)
class Rule:
    """One rule and how to break it.

    Attributes:
        summary: What is done wrong.
        caught_by: Checker that shall notice.
        patches: Returns the patches that break it.
    """

    summary: str
    caught_by: str
    patches: Patches


class BrokenRule:
    """Context in which one rule is broken; with an empty name nothing is."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._stack = ExitStack()

    def __enter__(self) -> BrokenRule:
        if self._name:
            for patch in RULES[self._name].patches():
                self._stack.enter_context(patch)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self._stack.close()


# Consensus.


def _found_alone() -> list[Any]:
    return [mock.patch.object(FoundingCore, "_may_found", lambda _self, _attempt: True)]


def _leader_commits_alone() -> list[Any]:
    def highest(core: CoreBase, values: dict[str, float]) -> float:
        return max((values.get(voter, 0.0) for voter in core.configuration.voter_ids()), default=0)

    return [mock.patch.object(CoreBase, "_quorum_of", highest)]


def _acknowledge_before_sync() -> list[Any]:
    commit = ReplicaDisk._commit

    def rarely(disk: ReplicaDisk, real: Callable[[], None]) -> None:
        disk.commits += 1
        if disk.commits % UNSYNCED_SHARE == 0 or disk.crash_in_sync:
            commit(disk, real)

    return [mock.patch.object(ReplicaDisk, "_commit", rarely)]


def _read_from_any_replica() -> list[Any]:
    def query(group: LocalGroup, query: bytes, _timeout_s: float) -> bytes | Failure:
        return group.query_local(query)

    return [mock.patch.object(LocalGroup, "query", query)]


# Settings.


def _ignore_base_version() -> list[Any]:
    decide = settings_machine._decide

    def on_any_base(connection: Any, context: Any, change: Any) -> Any:
        head = settings_machine._head(connection)
        new_hash = settings_machine._hash_after(connection, head, change.changes)
        rebased = msgspec.structs.replace(change, base_version=head.version, content_hash=new_hash)
        return decide(connection, context, rebased)

    return [mock.patch.object(settings_machine, "_decide", on_any_base)]


def _forget_change_ids() -> list[Any]:
    return [mock.patch.object(settings_machine, "_apply_change", settings_machine._decide)]


def _apply_older_version() -> list[Any]:
    apply = ResolvedSettings.apply

    def any_version(settings: ResolvedSettings, rows: Any, version: int = 0) -> ResolvedSettings:
        newer = apply(settings, rows, version)
        if 0 < version < newer.version:
            return ResolvedSettings(newer._entities, version, newer._index)
        return newer

    return [mock.patch.object(ResolvedSettings, "apply", any_version)]


def _restart_on_first_copy() -> list[Any]:
    save = SettingsDisk.save

    def only_first(disk: SettingsDisk, settings: ResolvedSettings) -> Failure | None:
        return None if not isinstance(disk.load(), Failure) else save(disk, settings)

    return [mock.patch.object(SettingsDisk, "save", only_first)]


def _drop_a_row() -> list[Any]:
    apply = ResolvedSettings.apply

    def all_but_last(settings: ResolvedSettings, rows: Any, version: int = 0) -> ResolvedSettings:
        kept = list(rows)
        return apply(settings, kept[:-1] if len(kept) > 1 else kept, version)

    return [mock.patch.object(ResolvedSettings, "apply", all_but_last)]


# Jobs.


def _accept_second_result() -> list[Any]:
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


def _drop_uncommitted_results() -> list[Any]:
    def forget(sender: ResultSender, *_unsent: object) -> None:
        sender._sending = 0

    return [mock.patch.object(ResultSender, "_requeue", forget)]


def _forget_job_keys() -> list[Any]:
    submit = GatewayFront.submit

    def without_key(front: GatewayFront, lines: Any, terms: UploadTerms) -> Any:
        return submit(front, lines, msgspec.structs.replace(terms, idempotency_key=""))

    return [mock.patch.object(GatewayFront, "submit", without_key)]


def _cancel_before_commit() -> list[Any]:
    def acknowledge(front: GatewayFront, tenant: str, job_id: str) -> Any:
        job = front.show(tenant, job_id)
        if isinstance(job, Failure) or job.state is not JobState.ACCEPTED:
            return job
        left = job.pending + job.leased
        return msgspec.structs.replace(job, state=JobState.CANCELLED, cancelled=left)

    return [mock.patch.object(GatewayFront, "cancel", acknowledge)]


def _never_expire_leases() -> list[Any]:
    return [mock.patch.object(LeaseKeeper, "expired", lambda _self, _now_s: [])]


def _grant_cancelled_items() -> list[Any]:
    return [mock.patch.object(pending, "drop_job", lambda _connection, _job: None)]


def _run_on_after_cancel() -> list[Any]:
    revoke = Harvester.revoke

    def only_leases(harvester: Harvester, lost: list[str], _cancelled: list[str]) -> None:
        revoke(harvester, lost, [])

    return [mock.patch.object(Harvester, "revoke", only_leases)]


def _rerun_unknown_items() -> list[Any]:
    ended = HarvestState.ended

    def as_not_run(state: HarvestState, run: Any, result: RunResult, now_s: float) -> Any:
        if result.end is RunEnd.BROKEN:
            result = msgspec.structs.replace(result, end=RunEnd.NOT_RUN)
        return ended(state, run, result, now_s)

    return [mock.patch.object(HarvestState, "ended", as_not_run)]


def _return_unknown_items() -> list[Any]:
    def give_all_back(connection: Any, jobs: Any, lease: int) -> Any:
        items = leasing._open_items(connection, lease)
        for key, _attempt in items:
            leasing._give_back(connection, jobs.by_number(leasing.split_key(key)[0]), key)
        return leasing.ExpiredLeases(returned=len(items), unknown=0)

    return [mock.patch.object(leasing, "_end_lease", give_all_back)]


# Online.


def _retry_unrepeatable() -> list[Any]:
    return [mock.patch.object(sender, "may_repeat", lambda _failure, _repeatable: True)]


def _send_without_claim() -> list[Any]:
    def granted(desk: ClaimDesk, tenant: str, key: str, body: bytes) -> HeldClaim:
        group = claims.group_for_key(desk._groups(), tenant, key)
        return HeldClaim(group=group, tenant=tenant, key=key, attempt_id=key)

    return [mock.patch.object(ClaimDesk, "claim", granted)]


def _always_say_not_run() -> list[Any]:
    def as_not_run(failure: Failure, _executed: Execution) -> Failure:
        return msgspec.structs.replace(failure, execution=Execution.NOT_RUN)

    return [mock.patch.object(sender, "_with_execution", as_not_run)]


def _skip_echo_check() -> list[Any]:
    return [mock.patch.object(SimulatedEngines, "mismatch", lambda _self, _stream, _call: None)]


def _continue_from_the_start() -> list[Any]:
    return [mock.patch.object(stream_session, "with_continue_text", lambda body, _text: body)]


def _end_without_a_word() -> list[Any]:
    session = stream_session.StreamSession
    return [mock.patch.object(session, "error_event", lambda _self, _failure: b"")]


def _send_to_leaving() -> list[Any]:
    candidate = RunnerPool._candidate

    def not_leaving(pool: RunnerPool, runner: Any, *others: Any) -> Any:
        return candidate(pool, msgspec.structs.replace(runner, leaving=False), *others)

    return [mock.patch.object(RunnerPool, "_candidate", not_leaving)]


def _exit_at_once() -> list[Any]:
    def no_waiting(gateway: GatewayNode) -> None:
        gateway.inflight.begin_stop()

    return [mock.patch.object(GatewayNode, "drain", no_waiting)]


def _batch_at_online_priority() -> list[Any]:
    def highest(state: HarvestState, priorities: Any) -> None:
        state._priorities = dict.fromkeys(priorities, ONLINE_PRIORITY)

    return [mock.patch.object(HarvestState, "set_priorities", highest)]


def _never_yield() -> list[Any]:
    observe = HarvestController.observe

    def batch_only(controller: HarvestController, report: LoadReport, now_s: float) -> None:
        alone = msgspec.structs.replace(
            report, running=report.batch_running, waiting=report.batch_waiting
        )
        observe(controller, alone, now_s)

    return [
        mock.patch.object(HarvestController, "observe", batch_only),
        mock.patch.object(HarvestController, "online_arrived", lambda _self, _now_s: None),
        mock.patch.object(HarvestController, "notice_arrived", lambda _self, _now_s: None),
    ]


_ONCE = "accepted_item_completes_exactly_once"
_CANCEL = "cancelled_job_stops"
_FIRST = "online_never_waits_behind_batch"
_WHOLE = "caller_gets_whole_own_answer"
_NOT_RUN = "not_run_is_true"
_AT_MOST = "may_not_repeat_runs_at_most_once"
_LEAVING = "leaving_back_end_gets_no_new_work"
_STOP = "planned_stop_cuts_no_request"
_IN_FORCE = "settings_in_force"
_SETTINGS = "linearizable_settings"
_JOBS = "linearizable_jobs"

RULES: dict[str, Rule] = {
    "found_alone": Rule(
        "a blank first member founds a new group though others hold data", _IN_FORCE, _found_alone
    ),
    "leader_commits_alone": Rule(
        "a leader commits, and goes on leading, without a quorum", RUN_ENDS, _leader_commits_alone
    ),
    "acknowledge_before_sync": Rule(
        "most commits are acknowledged and never synced", _IN_FORCE, _acknowledge_before_sync
    ),
    "read_from_any_replica": Rule(
        "reads are answered from any replica's applied state", _SETTINGS, _read_from_any_replica
    ),
    "cancel_before_commit": Rule(
        "a cancellation is acknowledged and not yet committed", _JOBS, _cancel_before_commit
    ),
    "ignore_base_version": Rule(
        "a change is accepted on any base version", _SETTINGS, _ignore_base_version
    ),
    "forget_change_ids": Rule("a resent change is decided anew", _IN_FORCE, _forget_change_ids),
    "apply_older_version": Rule(
        "a gateway takes an older settings version from a hub", _IN_FORCE, _apply_older_version
    ),
    "restart_on_first_copy": Rule(
        "a gateway's saved settings are never renewed", _IN_FORCE, _restart_on_first_copy
    ),
    "drop_a_row": Rule("a settings step loses a row", _IN_FORCE, _drop_a_row),
    "accept_second_result": Rule(
        "a second result of an item is stored as well", _ONCE, _accept_second_result
    ),
    "drop_uncommitted_results": Rule(
        "results whose commit failed are forgotten", _ONCE, _drop_uncommitted_results
    ),
    "forget_job_keys": Rule("a resent job is a new job", _ONCE, _forget_job_keys),
    "never_expire_leases": Rule("leases of dead gateways never end", _ONCE, _never_expire_leases),
    "grant_cancelled_items": Rule(
        "items of cancelled jobs are still leased", _CANCEL, _grant_cancelled_items
    ),
    "run_on_after_cancel": Rule(
        "gateways ignore that a job was cancelled", _CANCEL, _run_on_after_cancel
    ),
    "rerun_unknown_items": Rule(
        "an item that may not repeat is run again after its run broke",
        _AT_MOST,
        _rerun_unknown_items,
    ),
    "return_unknown_items": Rule(
        "items that may not repeat return when their lease ends", _AT_MOST, _return_unknown_items
    ),
    "retry_unrepeatable": Rule(
        "a request that may not repeat is retried", _AT_MOST, _retry_unrepeatable
    ),
    "send_without_claim": Rule(
        "a keyed request is sent without a durable claim", _AT_MOST, _send_without_claim
    ),
    "always_say_not_run": Rule(
        "every refusal says that nothing ran", _NOT_RUN, _always_say_not_run
    ),
    "skip_echo_check": Rule("crossed answers are passed on", _WHOLE, _skip_echo_check),
    "continue_from_the_start": Rule(
        "a continued stream repeats its beginning", _WHOLE, _continue_from_the_start
    ),
    "end_without_a_word": Rule(
        "a stream that cannot be repaired ends without an error event",
        _WHOLE,
        _end_without_a_word,
    ),
    "send_to_leaving": Rule("leaving back ends are still chosen", _LEAVING, _send_to_leaving),
    "exit_at_once": Rule("a planned stop does not wait for open requests", _STOP, _exit_at_once),
    "batch_at_online_priority": Rule(
        "batch is sent with the highest priority", _FIRST, _batch_at_online_priority
    ),
    "never_yield": Rule("batch does not give way to online work", _FIRST, _never_yield),
}
