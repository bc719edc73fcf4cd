"""Messages between control processes, beside those of the consensus groups."""

from __future__ import annotations

import msgspec

from leverjunction.backends.types import Order
from leverjunction.consensus.api import GroupStatus
from leverjunction.wire.messages import GatewayState, PlacementStamp, RunnerDigest


class RunnerReading(msgspec.Struct, frozen=True, kw_only=True):
    """What the hub that watches a runner last read from its engine.

    Attributes:
        runner_id: The runner.
        reachable: False while the engine does not answer.
        incarnation: Start time of the engine, in milliseconds.
        models: Models and ``model:adapter`` that are loaded and ready.
        versions: Version of each of them.
        leaving: The engine's own word that it takes no new work.
    """

    runner_id: str
    reachable: bool = False
    incarnation: int = 0
    models: list[str] = []
    versions: dict[str, str] = {}
    leaving: bool = False


class Withdrawal(msgspec.Struct, frozen=True, order=True):
    """A model that gateways may not use on a runner, because it is about to be changed there.

    It covers the adapters of the model as well.
    """

    runner_id: str
    model: str


class PendingOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order that was, or is about to be, sent to the engine of a runner.

    Attributes:
        runner_id: The runner.
        address: ``host:port`` of its engine.
        order: The order with its fence.
        incarnation: Start time of the engine that it was planned for, in milliseconds; 0 if that
            is not known. An engine that started later knows no fence and takes any order.
    """

    runner_id: str
    address: str
    order: Order
    incarnation: int = 0


class PlacementRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a successor of the process that leads placement has to know.

    Every hub passes on the newest one it knows, so it outlives the process that made it.

    Attributes:
        term: Term of group root in which it leads.
        revision: Rises with each change within a term.
        withdrawn: Withdrawals in force.
        orders: Orders in progress, at most one for each runner.
    """

    term: int
    revision: int = 0
    withdrawn: list[Withdrawal]
    orders: list[PendingOrder]

    @property
    def stamp(self) -> PlacementStamp:
        """What orders records by age."""
        return PlacementStamp(self.term, self.revision)


class HubState(msgspec.Struct, frozen=True, kw_only=True):
    """A control process as the others and the operators see it.

    Attributes:
        name: Name from its configuration.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone it runs in.
        incarnation: Start time in milliseconds.
        settings_version: Version of the settings that it has applied.
        quorum_age_s: Seconds since it heard the leader of group root.
        machine_list_as_of_ms: The platform's time of its last reading of the machine list.
        groups: Its replicas of consensus groups.
        placement: The newest record of placement that it knows; None when the receiver has it.
        in_force: Oldest placement record whose withdrawals one of its gateways has in force; None
            without gateways.
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
    """What one hub knows at first hand, told to each other hub once a second; deltas only.

    Attributes:
        hub: The sender.
        from_version: Version of the sender's records that the receiver is taken to have.
        to_version: Version after this message.
        full: True when the lists are complete; everything else from the sender is forgotten.
        gateways: Gateways that exchange with the sender.
        gone_gateways: Ids of those that no longer do.
        readings: Readings of the runners that the sender watches.
        gone_readings: Ids of runners that it no longer watches.
        digests: Load digests that its gateways gave.
        sequence: Rises with each message of one incarnation, so that a late one is known as such.
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
    """What the receiver now has.

    Attributes:
        have_version: Version of the sender's records; 0 asks for a full message.
        placement: Stamp of the newest record of placement that it knows.
    """

    have_version: int
    placement: PlacementStamp = PlacementStamp()


class HeldLeases(msgspec.Struct, frozen=True):
    """Leases that one gateway says it holds in a group."""

    owner: str
    lease_ids: list[str]


class RenewLeases(msgspec.Struct, frozen=True):
    """A hub passes its gateways' renewals to the leader of a job group, in one batch."""

    held: list[HeldLeases]


class RenewedLeases(msgspec.Struct, frozen=True):
    """The leader's answer.

    Attributes:
        lost: Leases that are no longer valid.
        cancelled_jobs: Jobs cancelled lately.
        pending_services: Services with pending items; None when the leader cannot tell.
    """

    lost: list[HeldLeases]
    cancelled_jobs: list[str]
    pending_services: list[str] | None = None
