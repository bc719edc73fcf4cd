"""``leverjunction status``: the deployment at a glance."""

from __future__ import annotations

from collections import Counter

import msgspec

from leverjunction.cli.options import Options
from leverjunction.cli.output import ExitCode, print_failure, print_json, print_table
from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Failure
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState

STALE_QUORUM_S = 2.0


class HubView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a control process's state that the status shows."""

    name: str
    rpc_address: str = ""
    zone: str = ""
    settings_version: int = 0
    quorum_age_s: float = 0.0
    machine_list_as_of_ms: int = 0
    groups: list[GroupStatus] = []


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of ``/operator/status`` that the command line shows; unknown keys are ignored."""

    settings_version: int = 0
    hubs: list[HubView] = []
    gateways: list[GatewayState] = []
    runners: list[RunnerState] = []
    digests: list[RunnerDigest] = []
    backlog: dict[str, int] = {}


def status(options: Options) -> int:
    """Print the status that the first control process which answers gives."""
    client = options.client()
    if isinstance(client, Failure):
        return print_failure(client)
    if options.as_json:
        raw = client.get("/operator/status", dict[str, object])
        if isinstance(raw, Failure):
            return print_failure(raw)
        print_json(raw)
        return ExitCode.OK
    view = client.get("/operator/status", StatusView)
    if isinstance(view, Failure):
        return print_failure(view)
    print_status(view)
    return ExitCode.OK


def print_status(view: StatusView) -> None:
    """Print a status as tables."""
    newest = newest_version(view)
    print(f"settings version {newest}")
    print_table("zones", ["zone", "gateways", "runners", "leaving"], zone_rows(view))
    print_table(
        "control processes",
        ["name", "zone", "settings", "quorum heard", "groups (role, term, applied)"],
        [hub_row(hub) for hub in view.hubs],
    )
    print_table(
        "gateways",
        ["gateway", "zone", "address", "settings", "state"],
        [gateway_row(gateway, newest) for gateway in view.gateways],
    )
    digests = {digest.runner_id: digest for digest in view.digests}
    print_table(
        "runners",
        ["runner", "zone", "service", "running", "batch", "waiting", "KV used", "models", "state"],
        [runner_row(runner, digests.get(runner.runner_id)) for runner in view.runners],
    )
    print_table("batch items pending", ["service", "items"], sorted(view.backlog.items()))


def newest_version(view: StatusView) -> int:
    """Return the newest version that any process is known to have."""
    known = [view.settings_version]
    known += [hub.settings_version for hub in view.hubs]
    known += [gateway.settings_version for gateway in view.gateways]
    return max(known)


def zone_rows(view: StatusView) -> list[tuple[object, ...]]:
    """Return a row of counts for each zone."""
    gateways = Counter(gateway.zone for gateway in view.gateways)
    runners = Counter(runner.zone for runner in view.runners)
    leaving = Counter(runner.zone for runner in view.runners if runner.leaving)
    zones = sorted({hub.zone for hub in view.hubs} | set(gateways) | set(runners))
    return [(zone, gateways[zone], runners[zone], leaving[zone]) for zone in zones]


def hub_row(hub: HubView) -> tuple[object, ...]:
    """Return a control process's row."""
    stale = " STALE" if hub.quorum_age_s > STALE_QUORUM_S else ""
    groups = "; ".join(
        f"{group.group} ({group.role}, {group.term}, {group.applied_index})" for group in hub.groups
    )
    heard = f"{hub.quorum_age_s:.1f} s ago{stale}"
    return (hub.name, hub.zone, hub.settings_version, heard, groups)


def gateway_row(gateway: GatewayState, newest: int) -> tuple[object, ...]:
    """Return a gateway's row; a version behind the newest one is marked."""
    behind = " BEHIND" if gateway.settings_version < newest else ""
    state = "stopping" if gateway.stopping else "live"
    version = f"{gateway.settings_version}{behind}"
    return (gateway.gateway_id, gateway.zone, gateway.address, version, state)


def runner_row(runner: RunnerState, digest: RunnerDigest | None) -> tuple[object, ...]:
    """Return a runner's row."""
    models = " ".join(runner.models) or "-"
    state = "leaving" if runner.leaving else "live"
    if digest is None:
        loads: tuple[object, ...] = ("?", "?", "?", "?")
    else:
        used = f"{digest.kv_used_ratio:.0%}"
        loads = (digest.running, digest.batch_running, digest.waiting, used)
        state += "" if digest.healthy else ", unreachable"
    return (runner.runner_id, runner.zone, runner.service, *loads, models, state)
