"""What one scale run consists of."""

from __future__ import annotations

import msgspec

from testbed.scale.strikes import Strike

GATEWAYS_PER_PROCESS = 43
RUNNERS_PER_PROCESS = 150


class ScaleOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and rates of one run.

    Attributes:
        gateways: Hollow gateways.
        runners: Hollow runners.
        real_gateways: Real gateway processes beside the hollow ones.
        controls: Real control processes.
        job_groups: Job groups of the control processes.
        regions: Regions the fleet is spread over.
        zones: Zones the fleet is spread over, region by region.
        tenants: Tenants in the settings before the run.
        jobs: Batch jobs submitted before the measured window.
        items_per_job: Items of each job.
        items_per_s: Rate at which all hollow gateways together lease and complete items.
        lease_items: Items asked for by one GrantLease.
        item_bytes: Size of an item's request body; its result has the same size.
        idle_runners: Whether the hollow runners report no work, instead of a load that changes
            with each reading.
        digest_change_ratio: Share of owned runners whose load reading changes each second.
        exchange_interval_s: Time between two exchanges of a gateway.
        election_timeout_s: Of the control processes; more than the default for a machine so busy
            that processes stand still for longer.
        heartbeat_interval_s: Of the control processes.
        start_spread_s: Time over which the gateways start; 0 starts all within one interval.
        changes: Settings changes made during the window.
        warmup_s: Time before the window, after all gateways are in step.
        window_s: Measured time.
        strike: What fails half-way through the window.
        silence_s: How long a silenced region stands still.
        seed: Seed of every random choice.
    """

    gateways: int = 340
    runners: int = 1200
    real_gateways: int = 0
    controls: int = 3
    job_groups: int = 2
    regions: int = 6
    zones: int = 15
    tenants: int = 50
    jobs: int = 0
    items_per_job: int = 1000
    items_per_s: float = 0.0
    lease_items: int = 4
    item_bytes: int = 600
    idle_runners: bool = False
    digest_change_ratio: float = 1.0
    exchange_interval_s: float = 1.0
    election_timeout_s: float = 0.6
    heartbeat_interval_s: float = 0.1
    start_spread_s: float = 0.0
    changes: int = 0
    warmup_s: float = 3.0
    window_s: float = 15.0
    strike: Strike = Strike.NONE
    silence_s: float = 8.0
    seed: int = 1


def zone_name(index: int, zones: int) -> str:
    """Return the zone of the ``index``-th machine when machines are dealt to zones in turn."""
    return f"zone-{index % zones:02d}"


def region_name(zone_index: int, zones: int, regions: int) -> str:
    """Return the region that holds a zone."""
    return f"region-{zone_index * regions // zones}"
