"""Sends a settings change so that it can be resent safely, and waits until it is in force."""

from __future__ import annotations

import time

import msgspec

from leverjunction.cli.output import ExitCode, format_utc, print_failure, print_json, print_progress
from leverjunction.cli.pending import PendingRecord
from leverjunction.cli_client import OperatorClient
from leverjunction.clock import steady_s
from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.change import gateways_behind
from leverjunction.settings.commands import ApplyChange, ChangeOutcome, SettingsDelta
from leverjunction.wire.messages import GatewayState

POLL_INTERVAL_S = 0.3

REJECTED_BEFORE_PROPOSAL = frozenset(
    {
        FailureKind.BAD_REQUEST,
        FailureKind.TOO_LARGE,
        FailureKind.UNAUTHENTICATED,
        FailureKind.FORBIDDEN,
    }
)
"""Kinds of failure that are returned before a change is proposed, so nothing was committed."""


class GatewayVersions(msgspec.Struct, frozen=True, kw_only=True):
    """The part of ``/operator/status`` that lists live gateways and their settings versions."""

    gateways: list[GatewayState] = []
    silent_hubs: list[str] = []


def send_change(
    client: OperatorClient, change: ApplyChange, pending: PendingRecord
) -> ChangeOutcome | Failure:
    """Send a change and return its outcome.

    The change is saved to disk before it is first sent and deleted once its outcome is known, so
    running the command again after a lost response resends the same change id.
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
    if not isinstance(outcome, Failure) or outcome.kind in REJECTED_BEFORE_PROPOSAL:
        pending.clear()
    return outcome


def report_outcome(
    outcome: ChangeOutcome | Failure,
    change: ApplyChange,
    client: OperatorClient,
    directory: str,
    as_json: bool,
) -> ExitCode:
    """Print the outcome of a change and, if it was not made, what the operator can do next."""
    if isinstance(outcome, Failure):
        if outcome.kind not in REJECTED_BEFORE_PROPOSAL:
            print_progress("the outcome is unknown: run the same command again to find out")
        return print_failure(outcome)
    if as_json:
        print_json(outcome)
    if not outcome.accepted:
        return print_refusal(outcome, change.base_version, directory)
    if not as_json:
        print(outcome.reason or f"version {outcome.version} is committed")
    if outcome.replayed:
        print_newer_version(client, outcome.version)
    return ExitCode.OK


def print_refusal(outcome: ChangeOutcome, base_version: int, directory: str) -> ExitCode:
    """Print which change caused the conflict, where the settings differ and what to do next."""
    if not outcome.winner:
        print_progress(f"refused: {outcome.reason}")
        return ExitCode.CONFLICT
    print_progress(
        f"conflict: {outcome.winner} committed version {outcome.version} at "
        f"{format_utc(outcome.winner_ms)} UTC, but this change was planned against version "
        f"{base_version}"
    )
    for path in outcome.differing_paths:
        print_progress(f"  differs: {path}")
    print_progress(
        f"nothing was changed: review 'leverjunction settings plan {directory}', then apply again"
    )
    return ExitCode.CONFLICT


def print_newer_version(client: OperatorClient, version: int) -> None:
    """Print a notice if a newer version was committed after the first send of a resent change."""
    since = client.get("/operator/settings", SettingsDelta, {"after": str(version)})
    if not isinstance(since, Failure) and since.version > version:
        print_progress(
            f"this change was committed by an earlier attempt; version {since.version} is now in "
            "force: see 'leverjunction settings history'"
        )


def wait_until_in_force(client: OperatorClient, version: int, deadline_s: float) -> ExitCode:
    """Wait until a version is in force at every live gateway; on timeout, list the other gateways.

    Args:
        client: Client of the control processes.
        version: Version to wait for.
        deadline_s: Monotonic time at which to stop waiting, in seconds.
    """
    last_line = ""
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
                _warn_about_silent_hubs(status.silent_hubs)
                print_progress(f"version {version} is in force at all {live} gateways")
                return ExitCode.OK
            last_line = _print_waiting(behind, version, last_line)
        if steady_s() >= deadline_s:
            break
        time.sleep(POLL_INTERVAL_S)
    if failure is not None:
        print_progress(
            f"version {version} is committed; it is unknown at which gateways it is in force"
        )
        return print_failure(failure)
    if not live:
        print_progress(f"version {version} is committed but no gateway is live")
        return ExitCode.NOT_IN_FORCE
    names = ", ".join(
        f"{gateway.gateway_id} (has {gateway.settings_version})" for gateway in behind
    )
    print_progress(f"version {version} is committed but not in force at: {names}")
    return ExitCode.NOT_IN_FORCE


def _warn_about_silent_hubs(silent_hubs: list[str]) -> None:
    # Gateways that can reach only a silent control process are not listed in the status, so
    # wait_until_in_force does not wait for them.
    if silent_hubs:
        print_progress(f"warning: no contact with control processes: {', '.join(silent_hubs)}")
        print_progress("gateways that can reach only these keep serving with their last settings")


def _print_waiting(behind: list[GatewayState], version: int, last_line: str) -> str:
    count = f"{len(behind)} gateways" if behind else "the first gateway"
    line = f"waiting for version {version} at {count}"
    if line != last_line:
        print_progress(line)
    return line
