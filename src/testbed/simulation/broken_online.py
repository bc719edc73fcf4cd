"""Broken rules of online requests; each function returns the patches of one."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec

from leverjunction.backends.types import LoadReport
from leverjunction.batch.harvest import HarvestController
from leverjunction.batch.harvest_state import HarvestState
from leverjunction.errors import Execution, Failure
from leverjunction.gateway import claims, sender, stream_session
from leverjunction.gateway.claims import ClaimClient, HeldClaim
from leverjunction.gateway.runner_pool import RunnerPool
from testbed.simulation.engine_client import SimulatedEngines
from testbed.simulation.gateway_node import GatewayNode

ONLINE_PRIORITY = 9


# Online.


def retry_unrepeatable() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(sender, "may_retry", lambda _failure, _repeatable: True)]


def send_without_claim() -> list[Any]:
    """Return the patches."""

    def granted(desk: ClaimClient, tenant: str, key: str, body: bytes) -> HeldClaim:
        group = claims.group_for_key(desk._groups(), tenant, key)
        return HeldClaim(group=group, tenant=tenant, key=key, attempt_id=key)

    return [mock.patch.object(ClaimClient, "claim", granted)]


def always_say_not_run() -> list[Any]:
    """Return the patches."""

    def as_not_run(failure: Failure, _executed: Execution) -> Failure:
        return msgspec.structs.replace(failure, execution=Execution.NOT_RUN)

    return [mock.patch.object(sender, "_with_execution", as_not_run)]


def skip_echo_check() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(SimulatedEngines, "mismatch", lambda _self, _stream, _call: None)]


def continue_from_the_start() -> list[Any]:
    """Return the patches."""
    return [mock.patch.object(stream_session, "with_continue_text", lambda body, _text: body)]


def end_without_a_word() -> list[Any]:
    """Return the patches."""
    session = stream_session.StreamSession
    return [mock.patch.object(session, "error_event", lambda _self, _failure: b"")]


def send_to_leaving() -> list[Any]:
    """Return the patches."""
    candidate = RunnerPool._candidate

    def not_leaving(pool: RunnerPool, runner: Any, *others: Any) -> Any:
        return candidate(pool, msgspec.structs.replace(runner, leaving=False), *others)

    return [mock.patch.object(RunnerPool, "_candidate", not_leaving)]


def exit_at_once() -> list[Any]:
    """Return the patches."""

    def no_waiting(gateway: GatewayNode) -> None:
        gateway.inflight.begin_stop()

    return [mock.patch.object(GatewayNode, "drain", no_waiting)]


def batch_at_online_priority() -> list[Any]:
    """Return the patches."""

    def highest(state: HarvestState, priorities: Any) -> None:
        state._priorities = dict.fromkeys(priorities, ONLINE_PRIORITY)

    return [mock.patch.object(HarvestState, "set_priorities", highest)]


def never_yield() -> list[Any]:
    """Return the patches."""
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
