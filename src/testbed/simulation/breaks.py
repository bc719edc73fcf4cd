"""Rules that can be broken on purpose, to prove that each checker can fail.

Each break replaces one rule of the product by a wrong one; the product's own code is not changed.
"""

from __future__ import annotations

from contextlib import ExitStack
from types import TracebackType

from testbed.simulation import broken_online, broken_state
from testbed.simulation.rule import Rule
from testbed.simulation.seeded.broken import SEEDED_RULES
from testbed.simulation.seeded.routed.broken import ROUTED_RULES
from testbed.simulation.seeded.routed.broken_streams import STREAM_RULES

RUN_ENDS = "run_ends"
"""Stands for a checker where the product's own assertion ends the run."""


class BrokenRule:
    """Context in which one rule is broken; with an empty name nothing is."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._stack = ExitStack()

    def __enter__(self) -> BrokenRule:
        if self._name:
            for patch in rule_of(self._name).patches():
                self._stack.enter_context(patch)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        self._stack.close()


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
_MOVES = "moves_again_after_the_last_fault"

RULES: dict[str, Rule] = {
    "found_alone": Rule(
        "a blank first member founds a new group though others hold data",
        _IN_FORCE,
        broken_state.found_alone,
    ),
    "elect_only_once": Rule(
        "a replica that has seen a leader never campaigns again",
        _MOVES,
        broken_state.elect_only_once,
    ),
    "leader_commits_alone": Rule(
        "a leader commits, and goes on leading, without a quorum",
        RUN_ENDS,
        broken_state.leader_commits_alone,
    ),
    "acknowledge_before_sync": Rule(
        "most commits are acknowledged and never synced",
        _IN_FORCE,
        broken_state.acknowledge_before_sync,
    ),
    "clock_stands_while_frozen": Rule(
        "leases and freshness are judged by a clock that stands still while a machine is suspended",
        _ONCE,
        broken_state.clock_stands_while_frozen,
    ),
    "read_from_any_replica": Rule(
        "reads are answered from any replica's applied state",
        _SETTINGS,
        broken_state.read_from_any_replica,
    ),
    "cancel_before_commit": Rule(
        "a cancellation is acknowledged and not yet committed",
        _JOBS,
        broken_state.cancel_before_commit,
    ),
    "ignore_base_version": Rule(
        "a change is accepted on any base version", _SETTINGS, broken_state.ignore_base_version
    ),
    "forget_change_ids": Rule(
        "a resent change is decided anew", _IN_FORCE, broken_state.forget_change_ids
    ),
    "apply_older_version": Rule(
        "a hub offers an older settings version and a gateway takes it",
        _IN_FORCE,
        broken_state.apply_older_version,
    ),
    "restart_on_first_copy": Rule(
        "a gateway's saved settings are never renewed",
        _IN_FORCE,
        broken_state.restart_on_first_copy,
    ),
    "drop_a_row": Rule("a settings step loses a row", _IN_FORCE, broken_state.drop_a_row),
    "accept_second_result": Rule(
        "a second result of an item is stored as well", _ONCE, broken_state.accept_second_result
    ),
    "drop_uncommitted_results": Rule(
        "results whose commit failed are forgotten", _ONCE, broken_state.drop_uncommitted_results
    ),
    "forget_job_keys": Rule("a resent job is a new job", _ONCE, broken_state.forget_job_keys),
    "never_expire_leases": Rule(
        "leases of dead gateways never end", _ONCE, broken_state.never_expire_leases
    ),
    "run_on_after_cancel": Rule(
        "gateways ignore that a job was cancelled", _CANCEL, broken_state.run_on_after_cancel
    ),
    "skip_takeover_sweep": Rule(
        "nobody looks for the batch that a dead gateway left on its runners",
        _CANCEL,
        broken_state.skip_takeover_sweep,
    ),
    "rerun_unknown_items": Rule(
        "an item that may not repeat is run again after its run broke",
        _AT_MOST,
        broken_state.rerun_unknown_items,
    ),
    "return_unknown_items": Rule(
        "items that may not repeat return when their lease ends",
        _AT_MOST,
        broken_state.return_unknown_items,
    ),
    "retry_unrepeatable": Rule(
        "a request that may not repeat is retried", _AT_MOST, broken_online.retry_unrepeatable
    ),
    "send_without_claim": Rule(
        "a keyed request is sent without a durable claim",
        _AT_MOST,
        broken_online.send_without_claim,
    ),
    "always_say_not_run": Rule(
        "every refusal says that nothing ran", _NOT_RUN, broken_online.always_say_not_run
    ),
    "skip_echo_check": Rule("crossed answers are passed on", _WHOLE, broken_online.skip_echo_check),
    "continue_from_the_start": Rule(
        "a continued stream repeats its beginning", _WHOLE, broken_online.continue_from_the_start
    ),
    "end_without_a_word": Rule(
        "a stream that cannot be repaired ends without an error event",
        _WHOLE,
        broken_online.end_without_a_word,
    ),
    "send_to_leaving": Rule(
        "leaving back ends are still chosen", _LEAVING, broken_online.send_to_leaving
    ),
    "exit_at_once": Rule(
        "a planned stop does not wait for open requests", _STOP, broken_online.exit_at_once
    ),
    "batch_at_online_priority": Rule(
        "batch is sent with the highest priority", _FIRST, broken_online.batch_at_online_priority
    ),
    "never_yield": Rule(
        "batch does not give way to online work", _FIRST, broken_online.never_yield
    ),
}


def rule_of(name: str) -> Rule:
    """Return a rule of any scenario by its name."""
    return (RULES | SEEDED_RULES | ROUTED_RULES | STREAM_RULES)[name]
