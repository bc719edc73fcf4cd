"""Starts a program with one rule broken, to see that the soak finds it: ``broken.py RULE ROLE``."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "src"))

from leverjunction.clock import LOADED_S
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import client
from leverjunction.lots.attempts import Attempts
from leverjunction.lots.batch_capacity import OccupiedSlot
from leverjunction.lots.commands import EndLot, LotAccepted, SubmitLot
from leverjunction.lots.crash_limits import CrashLimits, Suspicion
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.placement import Placement
from leverjunction.lots.run_trace import RunEnd
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.slow_start import SlowStart
from leverjunction.platform.roles import main
from leverjunction.proxy import caller_connection, forwarding
from leverjunction.proxy.answer_owner import CarriedRequests
from leverjunction.proxy.stop_schedule import StopSchedule
from leverjunction.proxy.stream_origins import StreamOrigins
from leverjunction.quarantine import suspects
from leverjunction.quarantine.verdicts import Standing
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import DEFAULT_TIMEOUT_S, RpcClient

RULES: dict[str, Callable[[], None]] = {}
WAIT_S = 40.0


def _rule(apply: Callable[[], None]) -> Callable[[], None]:
    RULES[apply.__name__.strip("_")] = apply
    return apply


@_rule
def _repeat_anything() -> None:
    """What may run once is sent again after a reset."""
    forwarding.RoutedRequest.may_run_again = property(lambda routed: routed.runs < 3)  # type: ignore[assignment, method-assign]


@_rule
def _forget_suspects() -> None:
    """What became of back ends under a request is never held against it."""
    suspects.Suspects.standing = lambda _self, _key: Standing.SOUND  # type: ignore[method-assign]


@_rule
def _forget_origins() -> None:
    """The back ends that a job's items have crashed don't limit where its other items run."""

    def by_suspicion(
        _limits: CrashLimits, _origins: object, known: Suspicion, _s: float
    ) -> Placement:
        if known.is_refused:
            return Placement.HELD
        return Placement.APART if known.crashes else Placement.SHARED

    CrashLimits.placement = by_suspicion  # type: ignore[method-assign, assignment]
    SlowStart.may_run = lambda *_arguments: True  # type: ignore[method-assign]
    SlowStart.is_full = lambda *_arguments: False  # type: ignore[method-assign]


@_rule
def _judge_no_parts() -> None:
    """Back ends that crash under requests with a part in common are not held against it."""
    suspects.Suspects.parts = property(lambda _self: frozenset())  # type: ignore[assignment, method-assign]


@_rule
def _continue_anywhere() -> None:
    """A stream goes on at any version of the runners' software."""
    forwarding.RoutedRequest.version = property(lambda _routed: None)  # type: ignore[assignment, method-assign]


@_rule
def _trust_states_of_any_age() -> None:
    """A gateway takes the version in its state for the only one, however old the state is."""
    init = StreamOrigins.__init__

    def trusting(origins: StreamOrigins, *arguments: Any, **options: Any) -> None:
        init(origins, *arguments, **{**options, "view_age_s": lambda: 0.0})

    StreamOrigins.__init__ = trusting  # type: ignore[method-assign]


@_rule
def _lose_questions_about_origins() -> None:
    """No control process answers within the time what began a stream."""
    call = RpcClient.call

    def answered_too_late(
        client: RpcClient,
        peer: str,
        kind: MessageKind,
        message: object,
        result_type: type,
        *,
        group: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> object:
        if not kind.name.startswith(MessageKind.FIND_ORIGIN.name):
            return call(client, peer, kind, message, result_type, group=group, timeout_s=timeout_s)
        time.sleep(timeout_s)
        return Failure(
            kind=FailureKind.TIMEOUT,
            reason="no answer in time",
            step=Step.RESPONDING,
            peer=peer,
            execution=Execution.NOT_RUN,
        )

    RpcClient.call = answered_too_late  # type: ignore[method-assign, assignment]


@_rule
def _take_without_schedule() -> None:
    """A gateway that stops takes requests that it has no time for."""
    StopSchedule.refuses = lambda *_arguments: False  # type: ignore[method-assign]
    StopSchedule.may_cut = lambda *_arguments: False  # type: ignore[method-assign]


@_rule
def _repeat_ids() -> None:
    """A connection to a runner carries the same request again after a refusal."""
    CarriedRequests.has = lambda _self, _request_id: False  # type: ignore[method-assign]


@_rule
def _end_what_was_cut() -> None:
    """An answer that broke off looks whole."""
    caller_connection.Responder.abort = caller_connection.Responder.finish  # type: ignore[method-assign]


@_rule
def _accept_without_asking() -> None:
    """A batch job is accepted before any store has it."""
    propose = client.LotsClient.propose

    async def at_once(self: client.LotsClient, command: object, reply_type: type) -> object:
        if isinstance(command, SubmitLot):
            return LotAccepted(command.lot_id)
        assert isinstance(command, EndLot)
        return await propose(self, command, reply_type)

    client.LotsClient.propose = at_once  # type: ignore[method-assign, assignment]


@_rule
def _leave_what_was_cut() -> None:
    """An item whose run was cut waits for an end of that run that never comes."""

    def free_only(_runner: LotsRunner, _run: object, slot: OccupiedSlot) -> None:
        slot.free()

    LotsRunner._run_ended = free_only  # type: ignore[method-assign, assignment]


@_rule
def _wait_out_losses() -> None:
    """An item whose run was cut has no other one for longer than calm lasts."""
    load_progress = Attempts.load_progress
    seen_s: dict[tuple[ItemKey, int], float] = {}

    def patient(self: Attempts, run: ItemRun) -> bool:
        if run.trace.end in (RunEnd.CUT, RunEnd.NOT_ANSWERED):
            since_s = seen_s.setdefault((run.key, run.trace.runs), time.monotonic())
            if time.monotonic() < since_s + WAIT_S:
                return False
        return load_progress(self, run)

    Attempts.load_progress = patient  # type: ignore[method-assign]


if __name__ == "__main__":
    RULES[sys.argv[1]]()
    sys.exit(main(sys.argv[2:], LOADED_S))
