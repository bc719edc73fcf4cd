"""Sends a settings change so that resends are safe, and waits until it is in force."""

from __future__ import annotations

import time

import msgspec

from leverjunction.cli.output import ExitCode, print_failure, print_progress
from leverjunction.cli.pending import PendingRecord
from leverjunction.cli_client import OperatorClient
from leverjunction.errors import Failure
from leverjunction.settings.change import gateways_behind
from leverjunction.settings.commands import ApplyChange, ChangeOutcome
from leverjunction.wire.messages import GatewayState

POLL_S = 0.3


class GatewayVersions(msgspec.Struct, frozen=True, kw_only=True):
    """The part of ``/operator/status`` that says which gateways are live and how far they are."""

    gateways: list[GatewayState] = []


def apply_plan(
    client: OperatorClient, change: ApplyChange, pending: PendingRecord
) -> ChangeOutcome | Failure:
    """Send a change and return what became of it.

    The change is on disk before the first send and is forgotten once its outcome is known, so
    running the command again after a lost answer resends the same change id.
    """
    if not change.changes:
        return ChangeOutcome(
            accepted=True,
            version=change.base_version,
            replayed=False,
            winner="",
            winner_ms=0,
            differing_paths=[],
            reason=f"nothing to change, version {change.base_version} is in force",
        )
    pending.save(change)
    outcome = client.post("/operator/settings/apply", change, ChangeOutcome)
    if not isinstance(outcome, Failure):
        pending.clear()
    return outcome


def wait_in_force(client: OperatorClient, version: int, give_up_s: float) -> ExitCode:
    """Wait until every live gateway has a version in force; name those that have not.

    Args:
        client: Client of the control processes.
        version: Version to wait for.
        give_up_s: Monotonic time at which to give up.
    """
    told = ""
    failure: Failure | None = None
    behind: list[GatewayState] = []
    while True:
        status = client.get("/operator/status", GatewayVersions)
        if isinstance(status, Failure):
            failure = status
        else:
            failure = None
            behind = gateways_behind(status.gateways, version)
            if not behind:
                print_progress(
                    f"version {version} is in force at all {len(status.gateways)} gateways"
                )
                return ExitCode.OK
            told = _tell(behind, version, told)
        if time.monotonic() >= give_up_s:
            break
        time.sleep(POLL_S)
    if failure is not None:
        print_progress(f"version {version} is committed; where it is in force is not known")
        return print_failure(failure)
    names = ", ".join(f"{one.gateway_id} (has {one.settings_version})" for one in behind)
    print_progress(f"version {version} is committed but not in force at: {names}")
    return ExitCode.NOT_IN_FORCE


def _tell(behind: list[GatewayState], version: int, told: str) -> str:
    line = f"waiting for version {version} at {len(behind)} gateways"
    if line != told:
        print_progress(line)
    return line
