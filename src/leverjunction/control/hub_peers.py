"""Tracks what each other hub has acknowledged, so that sync messages are deltas. Pure: no I/O."""

from __future__ import annotations

import msgspec

from leverjunction.control.membership import Membership
from leverjunction.control.messages import HubState, HubSync, HubSyncReply
from leverjunction.wire.messages import PlacementStamp


class PeerVersions:
    """Versions and placement records that the other hubs have acknowledged. Not thread-safe."""

    def __init__(self) -> None:
        self._acknowledged: dict[str, int] = {}
        self._placement: dict[str, PlacementStamp] = {}
        self._sequence = 0

    def make_sync(self, peer: str, state: HubState, own: Membership) -> HubSync:
        """Return the sync message for another hub: the changes since its last reply.

        Args:
            peer: Name of the other hub.
            state: Current state of this process.
            own: This hub's view of the cluster.
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

    def record_reply(self, peer: str, reply: HubSyncReply) -> None:
        """Record the versions that another hub has acknowledged."""
        self._acknowledged[peer] = reply.have_version
        self._placement[peer] = reply.placement

    def count_with_placement(self, stamp: PlacementStamp) -> int:
        """Return how many other hubs have a placement record, or a later one of the same term."""
        return sum(
            1 for known in self._placement.values() if known.term == stamp.term and known >= stamp
        )
