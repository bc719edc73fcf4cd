"""Messages between control processes, except those of the consensus groups."""

from __future__ import annotations

import msgspec

from leverjunction.backends.types import Order
from leverjunction.consensus.api import GroupStatus
from leverjunction.wire.messages import GatewayState, JobAlert, PlacementStamp, RunnerDigest


class RunnerReading(msgspec.Struct, frozen=True, kw_only=True):
    """The last state that a hub read from the engine of a runner that it watches.

    Attributes:
        runner_id: Id of the runner.
        reachable: False while the engine does not respond.
        incarnation: Start time of the engine, in milliseconds.
        models: Models, and adapters as ``model:adapter``, that are loaded and ready.
        versions: Version of each entry of ``models``.
        leaving: True if the engine reports that it takes no new work.
    """

    runner_id: str
    reachable: bool = False
    incarnation: int = 0
    models: list[str] = []
    versions: dict[str, str] = {}
    leaving: bool = False


class Withdrawal(msgspec.Struct, frozen=True, order=True):
    """A model that gateways may not use on a runner because it is about to change there.

    The adapters of the model are withdrawn with it.
    """

    runner_id: str
    model: str


class PendingOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order that was sent, or is about to be sent, to the engine of a runner.

    Attributes:
        runner_id: Id of the runner.
        address: ``host:port`` of the engine.
        order: The order with its fence.
        incarnation: Start time of the engine that the order was planned for, in milliseconds; 0 if
            unknown. An engine that started later knows no fence and accepts any order.
    """

    runner_id: str
    address: str
    order: Order
    incarnation: int = 0


class PlacementRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The state that the next leader of placement takes over.

    Every hub forwards the newest record that it knows, so a record outlives the process that
    created it.

    Attributes:
        term: Term of group root in which the process that created the record leads.
        revision: Number that increases with each change within a term.
        withdrawn: Withdrawals in force.
        orders: Orders in progress, at most one for each runner.
    """

    term: int
    revision: int = 0
    withdrawn: list[Withdrawal]
    orders: list[PendingOrder]

    @property
    def stamp(self) -> PlacementStamp:
        """Term and revision, by which records are ordered by age."""
        return PlacementStamp(self.term, self.revision)


class HubState(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a control process, as sent to other hubs and shown to operators.

    Attributes:
        name: Name from the configuration of the process.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone that it runs in.
        incarnation: Start time in milliseconds.
        settings_version: Version of the settings that it has applied.
        quorum_age_s: Seconds since its last contact with the leader of group root.
        machine_list_as_of_ms: Time of its machine list, by the platform's clock.
        groups: Status of its replicas of consensus groups.
        placement: Newest placement record that it knows; None if the receiver already has it.
        in_force: Oldest of the placement records that its gateways have applied; None if it has no
            gateways.
    """

    name: str
    rpc_address: str
    zone: str
    incarnation: int
    settings_version: int = 0
    quorum_age_s: float = 0.0
    machine_list_as_of_ms: int = 0
    groups: list[GroupStatus] = []
    placement: PlacementRecord | None = None
    in_force: PlacementStamp | None = None


class HubSync(msgspec.Struct, frozen=True, kw_only=True):
    """The changes of a hub's own records, sent to each other hub once a second.

    Attributes:
        hub: State of the sender.
        from_version: Version of the sender's records that the receiver is expected to have.
        to_version: Version of the sender's records after this message.
        full: True if the lists are complete; the receiver then drops the sender's other records.
        gateways: New or changed gateways that exchange state with the sender.
        gone_gateways: Ids of gateways that no longer do.
        readings: New or changed readings of the runners that the sender watches.
        gone_readings: Ids of runners that the sender no longer watches.
        digests: New or changed load digests from the sender's gateways.
        sequence: Number that increases with each message of an incarnation, so that the receiver
            detects messages that arrive out of order.
    """

    hub: HubState
    from_version: int
    to_version: int
    full: bool
    gateways: list[GatewayState]
    gone_gateways: list[str]
    readings: list[RunnerReading]
    gone_readings: list[str]
    digests: list[RunnerDigest]
    sequence: int = 0


class HubSyncReply(msgspec.Struct, frozen=True):
    """The receiver's reply to a ``HubSync``.

    Attributes:
        have_version: Version of the sender's records that the receiver now has; 0 requests a full
            message.
        placement: Stamp of the newest placement record that the receiver knows.
    """

    have_version: int
    placement: PlacementStamp = PlacementStamp()


class HeldLeases(msgspec.Struct, frozen=True):
    """Leases that a gateway reports to hold in a group."""

    owner: str
    lease_ids: list[str]


class RenewLeases(msgspec.Struct, frozen=True):
    """Request of a hub to the leader of a job group to renew the leases of the hub's gateways."""

    held: list[HeldLeases]


class RenewedLeases(msgspec.Struct, frozen=True):
    """The leader's reply to ``RenewLeases``.

    Attributes:
        lost: Leases that are no longer valid.
        cancelled_jobs: Ids of recently cancelled jobs.
        pending_services: Services with pending items; None if the leader does not know.
        alerts: Jobs that have lost runners lately.
    """

    lost: list[HeldLeases]
    cancelled_jobs: list[str]
    pending_services: list[str] | None = None
    alerts: list[JobAlert] = []
