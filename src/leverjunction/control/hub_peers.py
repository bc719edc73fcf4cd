"""What this hub has told each other hub, so that messages are deltas. Pure."""

from __future__ import annotations

import msgspec

from leverjunction.control.membership import Membership
from leverjunction.control.messages import HubState, HubSync, HubSyncReply
from leverjunction.wire.messages import PlacementStamp


class PeerBook:
    """Versions and placement records that the other hubs confirmed.

    Not safe between threads by itself.
    """

    def __init__(self) -> None:
        self._acknowledged: dict[str, int] = {}
        self._placement: dict[str, PlacementStamp] = {}
        self._sequence = 0

    def message(self, peer: str, state: HubState, own: Membership) -> HubSync:
        """Return the message for another hub: what changed since its last answer.

        Args:
            peer: Name of the other hub.
            state: This process as it is now.
            own: What this hub knows.
        """
        since = self._acknowledged.get(peer, 0)
        if not (own.own_gateways.covers(since) and own.own_readings.covers(since)):
            since = 0
        gateways = own.own_gateways.since(since)
        readings = own.own_readings.since(since)
        record = own.placement
        if record is not None and self._placement.get(peer, PlacementStamp()) >= record.stamp:
            record = None
        self._sequence += 1
        return HubSync(
            hub=msgspec.structs.replace(
                state, placement=record, in_force=own.own_oldest_placement()
            ),
            sequence=self._sequence,
            from_version=since,
            to_version=own.own_counter.value,
            full=since == 0,
            gateways=gateways.changed,
            gone_gateways=gateways.removed if since else [],
            readings=readings.changed,
            gone_readings=readings.removed if since else [],
            digests=own.own_digests.since(since).changed,
        )

    def answered(self, peer: str, reply: HubSyncReply) -> None:
        """Note what another hub has."""
        self._acknowledged[peer] = reply.have_version
        self._placement[peer] = reply.placement

    def placement_known_by(self, stamp: PlacementStamp) -> int:
        """Return how many other hubs have a record of placement, or a later one of its term."""
        return sum(1 for at in self._placement.values() if at.term == stamp.term and at >= stamp)
