"""The ``leverjunction status`` command: an overview of the deployment."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from leverjunction.batch.commands import JobView
from leverjunction.cli.options import Options
from leverjunction.cli.output import ExitCode, print_failure, print_json, print_table
from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.types import Role
from leverjunction.control.messages import Withdrawal
from leverjunction.errors import Failure
from leverjunction.wire.messages import GatewayState, RunnerState

STALE_QUORUM_S = 2.0


class HubView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a control process's state that the command shows."""

    name: str
    rpc_address: str = ""
    zone: str = ""
    settings_version: int = 0
    quorum_age_s: float = 0.0
    machine_list_as_of_ms: int = 0
    groups: list[GroupStatus] = []


class LoadView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a runner's load that the command shows."""

    runner_id: str
    running: int = 0
    waiting: int = 0
    batch_running: int = 0
    kv_used_ratio: float = 0.0
    healthy: bool = True


class PlacementView(msgspec.Struct, frozen=True, kw_only=True):
    """The state of model placement, as reported by the control process that leads it."""

    leads: bool = False
    in_progress: list[str] = []
    withdrawn: list[Withdrawal] = []
    blocked: list[str] = []


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """The part of ``/operator/status`` that the command shows; unknown keys are ignored."""

    name: str = ""
    settings_version: int = 0
    hubs: list[HubView] = []
    silent_hubs: list[str] = []
    gateways: list[GatewayState] = []
    runners: list[RunnerState] = []
    loads: list[LoadView] = []
    backlog: dict[str, int] = {}
    leases: dict[str, int] = {}
    unknown_groups: list[str] = []
    placement: PlacementView = PlacementView()


def status(options: Options) -> int:
    """Print the status reported by the first control process that responds."""
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
    jobs = client.get("/operator/jobs", list[JobView])
    print_status(view, [] if isinstance(jobs, Failure) else jobs)
    return print_failure(jobs) if isinstance(jobs, Failure) else ExitCode.OK


def print_status(view: StatusView, jobs: list[JobView]) -> None:
    """Print a status as tables, with the newest jobs counted by state."""
    newest_version_seen = newest_version(view)
    print(f"settings version {newest_version_seen}, as reported by {view.name}")
    for warning in collect_warnings(view):
        print(f"WARNING: {warning}")
    print_table("zones", ["zone", "gateways", "runners", "leaving"], zone_rows(view))
    print_table(
        "control processes",
        ["name", "zone", "settings", "quorum contact", "leads", "follows", "other roles"],
        [hub_row(hub) for hub in view.hubs],
    )
    print_table(
        "gateways",
        ["gateway", "zone", "address", "settings", "state"],
        [gateway_row(gateway, newest_version_seen) for gateway in view.gateways],
    )
    loads = {load.runner_id: load for load in view.loads}
    print_table(
        "runners",
        ["runner", "zone", "service", "running", "batch", "waiting", "KV used", "models", "state"],
        [runner_row(runner, loads.get(runner.runner_id)) for runner in view.runners],
    )
    print_table("batch items pending", ["service", "items"], sorted(view.backlog.items()))
    print_table("batch leases", ["gateway", "leases"], sorted(view.leases.items()))
    states = Counter(job.state.value for job in jobs)
    print_table("newest jobs", ["state", "jobs"], sorted(states.items()))
    print_table("orders in progress", ["order"], [[order] for order in view.placement.in_progress])
    print_table(
        "temporarily withdrawn from gateways",
        ["runner", "model"],
        [[item.runner_id, item.model] for item in view.placement.withdrawn],
    )


def collect_warnings(view: StatusView) -> list[str]:
    """Return the warnings to show first: silent processes, partial counts, blocked placement."""
    found = [f"no contact with control process {name}" for name in view.silent_hubs]
    found += [
        f"control process {hub.name} has not heard from a quorum for {hub.quorum_age_s:.1f} s"
        for hub in view.hubs
        if hub.quorum_age_s > STALE_QUORUM_S
    ]
    found += [f"group {group} did not respond: counts are partial" for group in view.unknown_groups]
    found += [f"placement is blocked: {reason}" for reason in view.placement.blocked]
    return found


def newest_version(view: StatusView) -> int:
    """Return the newest settings version reported by any process."""
    known = [view.settings_version]
    known += [hub.settings_version for hub in view.hubs]
    known += [gateway.settings_version for gateway in view.gateways]
    return max(known)


def zone_rows(view: StatusView) -> list[tuple[object, ...]]:
    """Return a table row for each zone with its gateways, runners and leaving runners."""
    gateways = Counter(gateway.zone for gateway in view.gateways)
    runners = Counter(runner.zone for runner in view.runners)
    leaving = Counter(runner.zone for runner in view.runners if runner.leaving)
    zones = sorted({hub.zone for hub in view.hubs} | set(gateways) | set(runners))
    return [(zone, gateways[zone], runners[zone], leaving[zone]) for zone in zones]


def hub_row(hub: HubView) -> tuple[object, ...]:
    """Return the table row of a control process, with a stale quorum marked."""
    stale = " STALE" if hub.quorum_age_s > STALE_QUORUM_S else ""
    heard = f"{hub.quorum_age_s:.1f} s ago{stale}"
    leads = _join_names(group.group for group in hub.groups if group.role == Role.LEADER)
    follows = _join_names(group.group for group in hub.groups if group.role == Role.FOLLOWER)
    others = _join_names(
        f"{group.group} ({group.role})"
        for group in hub.groups
        if group.role not in (Role.LEADER, Role.FOLLOWER)
    )
    return (hub.name, hub.zone, hub.settings_version, heard, leads, follows, others)


def _join_names(names: Iterable[str]) -> str:
    return " ".join(names) or "-"


def gateway_row(gateway: GatewayState, newest_version_seen: int) -> tuple[object, ...]:
    """Return the table row of a gateway; a version older than the newest is marked."""
    behind = " BEHIND" if gateway.settings_version < newest_version_seen else ""
    state = "stopping" if gateway.stopping else "live"
    version = f"{gateway.settings_version}{behind}"
    return (gateway.gateway_id, gateway.zone, gateway.address, version, state)


def runner_row(runner: RunnerState, load: LoadView | None) -> tuple[object, ...]:
    """Return the table row of a runner, with ``?`` for an unknown load."""
    models = " ".join(runner.models) or "-"
    state = "leaving" if runner.leaving else "live"
    if load is None:
        loads: tuple[object, ...] = ("?", "?", "?", "?")
    else:
        used = f"{load.kv_used_ratio:.0%}"
        loads = (load.running, load.batch_running, load.waiting, used)
        state += "" if load.healthy else ", unreachable"
    return (runner.runner_id, runner.zone, runner.service, *loads, models, state)
