"""Typed messages between gateways, hubs and the operators' command line.

A runner is a machine with an inference engine. Its owner is the gateway that polls its load and
shares the readings with the other gateways through the hubs.
"""

from __future__ import annotations

import msgspec


class RunnerState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a runner, as known by the hub.

    Attributes:
        runner_id: Name of the runner in the platform's machine list.
        address: ``host:port`` of its engine.
        zone: Zone that it runs in.
        service: Service that it belongs to.
        leaving: True once it takes no new work, according to the machine list or an operator's
            drain setting.
        models: Models, and adapters as ``model:adapter``, that are loaded and ready.
        incarnation: Start time of the engine, in milliseconds; increases with each restart.
    """

    runner_id: str
    address: str
    zone: str
    service: str
    leaving: bool = False
    models: list[str] = []
    incarnation: int = 0


class RunnerDigest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An owner gateway's last reading of a runner's load, shared through the hubs.

    Digests are the most frequent part of an exchange, so they are encoded by position, which takes
    60 bytes instead of 130.

    Attributes:
        runner_id: Id of the runner.
        running: Number of running sequences, of online and batch work together.
        waiting: Number of queued requests.
        batch_running: Number of batch sequences among those running.
        kv_used_ratio: Fraction of the KV cache blocks in use, 0 to 1.
        as_of_ms: Time of the reading by the engine's clock, in milliseconds.
        healthy: False while the owner cannot reach the runner.
        batch_waiting: Number of batch requests among those waiting.
    """

    runner_id: str
    running: int
    waiting: int
    batch_running: int
    kv_used_ratio: float
    as_of_ms: int
    healthy: bool = True
    batch_waiting: int = 0


class PlacementStamp(msgspec.Struct, frozen=True, order=True):
    """Version of a placement record, ordered by term, then by revision; zeros for no record."""

    term: int = 0
    revision: int = 0


class GatewayState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a live gateway.

    Attributes:
        gateway_id: Name from the configuration of the gateway.
        address: ``host:port`` of its public API.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone that it runs in.
        incarnation: Start time in milliseconds.
        stopping: True once it accepts no new requests.
        settings_version: Version of the settings that it has in force.
    """

    gateway_id: str
    address: str
    rpc_address: str
    zone: str
    incarnation: int
    stopping: bool = False
    settings_version: int = 0


class SettingRow(msgspec.Struct, frozen=True):
    """One leaf of the settings tree.

    Attributes:
        path: Path of the leaf, separated by slashes, such as ``services/llm/serving/max_queue``.
        value: JSON value of the leaf; None if ``deleted``.
        version: Version of the change that set or deleted it.
        deleted: True for a leaf that the change removed.
    """

    path: str
    value: object
    version: int
    deleted: bool = False


class PendingWork(msgspec.Struct, frozen=True):
    """Services that recently had pending items in a job group.

    It is a hint that may be late or lost. It tells a gateway when to request leases, but does not
    guarantee that any are available.
    """

    group: str
    services: list[str]


class RunnerCrash(msgspec.Struct, frozen=True, kw_only=True):
    """The loss of a runner during a run of a batch job.

    Attributes:
        runner_id: The runner.
        incarnation: Start time of its engine in milliseconds.
        is_alone: Whether the run had started alone on the runner.
        at_ms: Wall-clock time of the log entry that reported it.
    """

    runner_id: str
    incarnation: int
    is_alone: bool
    at_ms: int


class JobAlert(msgspec.Struct, frozen=True, kw_only=True):
    """The runners that a batch job has lost lately, as reported by all of its owners.

    Attributes:
        job_id: The job.
        as_of_ms: Time of the alert by the wall clock of the job group's leader.
        crashes: The lost runners, latest first.
        answered: Items that ended with a response since the latest of them.
        owners: Gateways that the job may be leased to now.
        is_full: Whether it is leased to no other gateway now. Others return the items that they
            have not started.
    """

    job_id: str
    as_of_ms: int
    crashes: list[RunnerCrash]
    answered: int
    owners: list[str]
    is_full: bool


class ExchangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The changes that a gateway sends to its hub once a second.

    Attributes:
        gateway: State of the sender.
        settings_version: Version of the settings that the gateway has; 0 if it has none.
        view_version: Version of the hub's view that the gateway last applied; 0 requests a full
            view.
        hub_incarnation: Incarnation of the hub that sent ``view_version``.
        digests: Changed load digests of the runners that the gateway owns.
        lease_ids: Batch leases that the gateway still holds and renews hereby, by group.
        placement: Stamp of the placement record whose withdrawals the gateway has in force.
    """

    gateway: GatewayState
    settings_version: int
    view_version: int
    hub_incarnation: int
    digests: list[RunnerDigest] = []
    lease_ids: dict[str, list[str]] = {}
    placement: PlacementStamp = PlacementStamp()


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """The hub's reply to an exchange: all changes since the gateway's versions.

    Attributes:
        settings_version: Version that the gateway has after it applied ``settings``.
        settings: All leaves that changed between the two versions, in no particular order.
        view_version: Version of the membership and load view after this reply.
        hub_incarnation: Incarnation of this hub; if it changed, the reply holds a full view.
        full_view: True if the following lists are complete instead of deltas.
        gateways: New or changed gateways.
        gone_gateways: Ids of gateways that are no longer live.
        runners: New or changed runners.
        gone_runners: Ids of runners that are no longer listed.
        digests: Changed load digests of runners that other gateways own.
        lost_lease_ids: Leases of this gateway that are no longer valid (expired or cancelled).
        cancelled_jobs: Jobs that were cancelled since the last exchange and may have items at the
            gateway.
        hubs: RPC addresses of all hubs, nearest first, for fail-over.
        quorum_age_s: Seconds since this hub's last contact with the leader of group root.
        job_groups: Number of job groups, ``jobs-0`` to ``jobs-(job_groups - 1)``.
        settings_retry_after_s: Above 0 if the hub held settings back because of too many concurrent
            requests: delay after which the gateway may send its next exchange, with jitter.
        pending_work: Services with pending work, for all job groups that the hub has information
            on; None if unchanged since the last reply to the gateway.
        hub_settings_version: Version of the hub's own settings; -1 from a hub that does not send
            it.
        placement: Stamp of the placement record whose withdrawals are applied to ``models`` of the
            runners; None if unchanged since the last reply to the gateway.
        job_alerts: Batch jobs that have lost runners lately.
    """

    settings_version: int
    settings: list[SettingRow]
    view_version: int
    hub_incarnation: int
    full_view: bool
    gateways: list[GatewayState]
    gone_gateways: list[str]
    runners: list[RunnerState]
    gone_runners: list[str]
    digests: list[RunnerDigest]
    lost_lease_ids: list[str]
    cancelled_jobs: list[str]
    hubs: list[str]
    quorum_age_s: float
    job_groups: int = 2
    settings_retry_after_s: float = 0.0
    pending_work: list[PendingWork] | None = None
    hub_settings_version: int = -1
    placement: PlacementStamp | None = None
    job_alerts: list[JobAlert] = []


class YieldNotice(msgspec.Struct, frozen=True, kw_only=True):
    """One-way notice to the owner of an idle runner that online work has arrived there."""

    runner_id: str
    sent_ms: int


class Acknowledged(msgspec.Struct, frozen=True):
    """Empty body of a message without content, or of a reply that only confirms receipt."""
