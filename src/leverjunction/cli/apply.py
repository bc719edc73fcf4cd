"""Sends a settings change so that resends are safe, and waits until it is in force."""

from __future__ import annotations

import time

import msgspec

from leverjunction.cli.output import ExitCode, print_failure, print_json, print_progress, when
from leverjunction.cli.pending import PendingRecord
from leverjunction.cli_client import OperatorClient
from leverjunction.clock import steady_s
from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.change import gateways_behind
from leverjunction.settings.commands import ApplyChange, ChangeOutcome, SettingsDelta
from leverjunction.wire.messages import GatewayState

POLL_S = 0.3

NOT_PROPOSED = frozenset(
    {
        FailureKind.BAD_REQUEST,
        FailureKind.TOO_LARGE,
        FailureKind.UNAUTHENTICATED,
        FailureKind.FORBIDDEN,
    }
)
"""Failures that are answered before a change is proposed: nothing can have been committed."""


class GatewayVersions(msgspec.Struct, frozen=True, kw_only=True):
    """The part of ``/operator/status`` that says which gateways are live and how far they are."""

    gateways: list[GatewayState] = []
    silent_hubs: list[str] = []


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
    if not isinstance(outcome, Failure) or outcome.kind in NOT_PROPOSED:
        pending.clear()
    return outcome


def report_outcome(
    outcome: ChangeOutcome | Failure,
    change: ApplyChange,
    client: OperatorClient,
    directory: str,
    as_json: bool,
) -> ExitCode:
    """Print what became of a change, and how to go on when it was not made."""
    if isinstance(outcome, Failure):
        if outcome.kind not in NOT_PROPOSED:
            print_progress("the outcome is not known: run the same command again to learn it")
        return print_failure(outcome)
    if as_json:
        print_json(outcome)
    if not outcome.accepted:
        return tell_refusal(outcome, change.base_version, directory)
    if not as_json:
        print(outcome.reason or f"version {outcome.version} is committed")
    if outcome.replayed:
        tell_newer_version(client, outcome.version)
    return ExitCode.OK


def tell_refusal(outcome: ChangeOutcome, base_version: int, directory: str) -> ExitCode:
    """Print who changed the settings first, when and where, and how to go on."""
    if not outcome.winner:
        print_progress(f"refused: {outcome.reason}")
        return ExitCode.CONFLICT
    print_progress(
        f"conflict: {outcome.winner} made version {outcome.version} at {when(outcome.winner_ms)} "
        f"UTC, this change was planned on version {base_version}"
    )
    for path in outcome.differing_paths:
        print_progress(f"  differs: {path}")
    print_progress(
        f"nothing was changed: look at 'leverjunction settings plan {directory}', then apply again"
    )
    return ExitCode.CONFLICT


def tell_newer_version(client: OperatorClient, version: int) -> None:
    """Print that a resent change was overtaken since its first send, if it was."""
    since = client.get("/operator/settings", SettingsDelta, {"after": str(version)})
    if not isinstance(since, Failure) and since.version > version:
        print_progress(
            f"this change was committed by an earlier send; version {since.version} is in force "
            "by now: look at 'leverjunction settings history'"
        )


def wait_in_force(client: OperatorClient, version: int, give_up_s: float) -> ExitCode:
    """Wait until every live gateway has a version in force; name those that have not.

    Args:
        client: Client of the control processes.
        version: Version to wait for.
        give_up_s: Monotonic time at which to give up.
    """
    told = ""
    live = 0
    failure: Failure | None = None
    behind: list[GatewayState] = []
    while True:
        status = client.get("/operator/status", GatewayVersions)
        if isinstance(status, Failure):
            failure = status
        else:
            failure = None
            live = len(status.gateways)
            behind = gateways_behind(status.gateways, version)
            if live and not behind:
                _warn_of_silence(status.silent_hubs)
                print_progress(f"version {version} is in force at all {live} gateways")
                return ExitCode.OK
            told = _tell(behind, version, told)
        if steady_s() >= give_up_s:
            break
        time.sleep(POLL_S)
    if failure is not None:
        print_progress(f"version {version} is committed; where it is in force is not known")
        return print_failure(failure)
    if not live:
        print_progress(f"version {version} is committed but no gateway is live")
        return ExitCode.NOT_IN_FORCE
    names = ", ".join(f"{one.gateway_id} (has {one.settings_version})" for one in behind)
    print_progress(f"version {version} is committed but not in force at: {names}")
    return ExitCode.NOT_IN_FORCE


def _warn_of_silence(silent_hubs: list[str]) -> None:
    # Gateways that exchange with such a process alone are not known, and so not waited for.
    if silent_hubs:
        print_progress(f"warning: not heard: {', '.join(silent_hubs)}; gateways cut off with it")
        print_progress("serve on their last settings until they reach another control process")


def _tell(behind: list[GatewayState], version: int, told: str) -> str:
    count = f"{len(behind)} gateways" if behind else "the first gateway"
    line = f"waiting for version {version} at {count}"
    if line != told:
        print_progress(line)
    return line
