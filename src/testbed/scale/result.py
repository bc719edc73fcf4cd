"""What one scale run measured."""

from __future__ import annotations

import msgspec

from testbed.scale.lease_traffic import LeaseCount
from testbed.scale.options import ScaleOptions
from testbed.scale.resources import ThreadUsage, Usage
from testbed.scale.strikes import Struck


class Quantiles(msgspec.Struct, frozen=True):
    """Median, 99th percentile and maximum of some values."""

    p50: float
    p99: float
    maximum: float
    count: int


class ControlResult(msgspec.Struct, frozen=True, kw_only=True):
    """One control process in the window.

    Attributes:
        name: Its name.
        usage: Processor time, memory and disk.
        wire_bytes_per_s: Its TCP traffic, both ways, with packet headers.
        struck: Whether the run's strike hit it.
        data_bytes: Size of its data folder at the end.
    """

    name: str
    usage: Usage | None
    wire_bytes_per_s: float
    struck: bool
    data_bytes: int


class GatewaySide(msgspec.Struct, frozen=True, kw_only=True):
    """All hollow gateways in the window; ``per_gateway`` figures are means.

    Attributes:
        exchanges_per_s: Answered exchanges of all gateways.
        failed_exchanges: Exchanges that failed.
        full_views: Replies with a full view.
        exchange_ms: Latency of the exchange.
        payload_bytes_per_gateway_s: TCP payload both ways.
        wire_bytes_per_gateway_s: The same with packet headers.
        sent_payload_bytes_per_gateway_s: Payload sent.
        received_payload_bytes_per_gateway_s: Payload received.
        digests_per_gateway_s: Load digests received.
        core_ratio_per_gateway: Processor time of the hollow workers over wall time.
        rss_bytes_per_gateway: Resident memory of the hollow workers.
        leases: Batch traffic.
        failure_reasons: Failed exchanges since the start, by reason.
    """

    exchanges_per_s: float
    failed_exchanges: int
    full_views: int
    exchange_ms: Quantiles
    payload_bytes_per_gateway_s: float
    wire_bytes_per_gateway_s: float
    sent_payload_bytes_per_gateway_s: float
    received_payload_bytes_per_gateway_s: float
    digests_per_gateway_s: float
    core_ratio_per_gateway: float
    rss_bytes_per_gateway: float
    leases: LeaseCount
    failure_reasons: dict[str, int]


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """One settings change.

    Attributes:
        version: Its version.
        acknowledged_s: From sending it to its acknowledgement.
        in_force_s: From sending it until it was in force, over all gateways that got it and are
            not in a zone that the strike hit.
        reached: Gateways that had it in force, those in such zones included.
        caught_up_s: From the end of a silence until it was in force at the gateways that it hit.
        after_strike: Whether it was sent after the strike.
    """

    version: int
    acknowledged_s: float
    in_force_s: Quantiles
    reached: int
    caught_up_s: Quantiles
    after_strike: bool


class ScaleResult(msgspec.Struct, frozen=True, kw_only=True):
    """One run.

    Attributes:
        options: What was run.
        commit: Commit of the code, with ``+`` when the work tree had changes.
        command: Command line that repeats it.
        window_s: Length of the measured window.
        load_before: Load average of the machine before the fleet started.
        load_after: Load average at the end of the window.
        start_s: From the start of the gateways until all were in step.
        controls: Control processes.
        gateways: Hollow gateways.
        real_gateways: Real gateways, by usage.
        real_gateway_wire_bytes_per_s: Traffic of the real gateways between themselves, control
            and runners.
        real_gateway_control_bytes_per_s: Of these, towards control processes.
        real_gateway_threads: Processor time of each real gateway's threads, largest first.
        changes: Settings changes.
        struck: What the strike hit; None when there was none.
        machine_list_polls_per_s: Polls of the machine list, all control processes together.
        jobs_submitted_s: Time that it took to submit the jobs.
        outcome: ``complete``, or what was not reached.
    """

    options: ScaleOptions
    commit: str
    command: str
    window_s: float
    load_before: float
    load_after: float
    start_s: float
    controls: list[ControlResult]
    gateways: GatewaySide
    real_gateways: list[Usage]
    real_gateway_wire_bytes_per_s: list[float]
    real_gateway_control_bytes_per_s: list[float]
    real_gateway_threads: list[list[ThreadUsage]] = []
    changes: list[ChangeResult]
    struck: Struck | None
    machine_list_polls_per_s: float
    jobs_submitted_s: float
    outcome: str
