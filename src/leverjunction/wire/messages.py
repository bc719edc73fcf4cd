"""Typed messages between gateways, hubs and the operators' command line."""

from __future__ import annotations

import msgspec


class RunnerState(msgspec.Struct, frozen=True, kw_only=True):
    """A back end as the hub knows it.

    Attributes:
        runner_id: Name in the platform's machine list.
        address: ``host:port`` of its engine protocol.
        zone: Zone it runs in.
        service: Service it belongs to.
        leaving: True once it takes no new work (machine list, or an operator's drain mark).
        models: Models (and adapters, as ``model:adapter``) that are loaded and ready.
        incarnation: Start time of the engine, in milliseconds; rises with each restart.
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

    It is the most frequent part of an exchange, so it is encoded by position: 60 bytes for 130.

    Attributes:
        runner_id: The runner.
        running: Sequences in its batch, online and batch work together.
        waiting: Requests in its queue.
        batch_running: Batch sequences among those running.
        kv_used_ratio: Share of its KV blocks in use, 0 to 1.
        as_of_ms: The engine's own time of the reading.
        healthy: False while the owner cannot reach it.
        batch_waiting: Batch requests among those waiting.
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
    """Age of a placement record: by term, then by revision; zeros for none."""

    term: int = 0
    revision: int = 0


class GatewayState(msgspec.Struct, frozen=True, kw_only=True):
    """A live gateway.

    Attributes:
        gateway_id: Name from its configuration.
        address: ``host:port`` for callers.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone it runs in.
        incarnation: Start time in milliseconds.
        stopping: True once it takes no new requests.
        settings_version: Version of the settings it has in force.
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
        path: Slash-separated path of the leaf, such as ``services/llm/serving/max_queue``.
        value: JSON value of the leaf; None when ``deleted``.
        version: Version of the change that set or deleted it.
        deleted: True for a leaf that the change removed.
    """

    path: str
    value: object
    version: int
    deleted: bool = False


class PendingWork(msgspec.Struct, frozen=True):
    """Services that had pending items in one job group lately.

    A hint that may be late or lost: it says when to ask for leases, never whether there are any.
    """

    group: str
    services: list[str]


class ExchangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a gateway tells its hub once a second; deltas only.

    Attributes:
        gateway: The sender.
        settings_version: Version up to which the gateway has all settings (0: none).
        view_version: Hub's view version the gateway last applied (0: none, send everything).
        hub_incarnation: Incarnation of the hub that gave ``view_version``.
        digests: Changed load digests of the runners that it owns.
        lease_ids: Batch leases that it still holds, by group: a renewal.
        placement: Placement record whose withdrawals the gateway has in force.
    """

    gateway: GatewayState
    settings_version: int
    view_version: int
    hub_incarnation: int
    digests: list[RunnerDigest] = []
    lease_ids: dict[str, list[str]] = {}
    placement: PlacementStamp = PlacementStamp()


class ExchangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """What the hub answers: everything that changed since the gateway's versions.

    Attributes:
        settings_version: Version that the gateway has after applying ``settings``.
        settings: Changed leaves, in no special order; complete for the version step.
        view_version: Version of the membership and load view after this reply.
        hub_incarnation: Incarnation of this hub; a change means a full view follows.
        full_view: True when the lists below are complete instead of deltas.
        gateways: New or changed gateways.
        gone_gateways: Ids of gateways that are no longer live.
        runners: New or changed runners.
        gone_runners: Ids of runners that are no longer listed.
        digests: Changed load digests of runners that others own.
        lost_lease_ids: Leases of this gateway that are no longer valid (expired or cancelled).
        cancelled_jobs: Jobs cancelled since the last exchange that the gateway may hold.
        hubs: RPC addresses of all hubs, nearest first, for fail-over.
        quorum_age_s: Seconds since this hub heard the leader of the root group.
        job_groups: Number of job groups, ``jobs-0`` to ``jobs-(job_groups - 1)``.
        settings_retry_after_s: Above 0 when the hub held settings back because many ask at once;
            the next exchange may come that soon, with jitter.
        pending_work: Where work is pending, for all job groups of which the hub knows; None when
            that is what the gateway was told last.
        hub_settings_version: Version that the hub itself has; -1 from one that does not say.
        placement: Placement record whose withdrawals the runners' models reflect; None when the
            gateway was told it last.
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


class YieldNotice(msgspec.Struct, frozen=True, kw_only=True):
    """One-way notice to a runner's owner: online work has arrived at an idle runner."""

    runner_id: str
    sent_ms: int


class Acknowledged(msgspec.Struct, frozen=True):
    """Empty result of a message that needs no answer."""
