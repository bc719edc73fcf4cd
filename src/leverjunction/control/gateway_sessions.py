"""Builds the replies to the exchanges of one hub's gateways. Pure: no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.control.fanout import GatewaySession
from leverjunction.control.hub_types import HubIdentity
from leverjunction.control.layout import hubs_for_gateway
from leverjunction.control.membership import Membership
from leverjunction.control.renewals import RenewalBuffer
from leverjunction.control.settings_mirror import SettingsMirror, SettingsStep
from leverjunction.wire.messages import ExchangeReply, ExchangeRequest, GatewayState


class GatewaySessions:
    """Keeps a session for each gateway, so that replies are deltas. Not thread-safe.

    Args:
        identity: Identity of the hub.
        mirror: Settings in force in this process.
        membership: The hub's view of the cluster.
        renewals: Collects lease renewals and provides cancelled jobs and pending work.
    """

    def __init__(
        self,
        identity: HubIdentity,
        mirror: SettingsMirror,
        membership: Membership,
        renewals: RenewalBuffer,
    ) -> None:
        self._identity = identity
        self._mirror = mirror
        self._membership = membership
        self._renewals = renewals
        self._sessions: dict[str, GatewaySession] = {}

    def make_reply(
        self, request: ExchangeRequest, step: SettingsStep, quorum_age_s: float
    ) -> ExchangeReply:
        """Apply a gateway's exchange request and return the reply, without settings rows.

        Args:
            request: The request.
            step: Settings step for the gateway.
            quorum_age_s: Seconds since the last contact with the root group's leader.
        """
        session, since = self._session(request)
        session.record_reported(request.digests)
        self._membership.update_digests(request.digests)
        self._membership.record_applied_placement(request.gateway.gateway_id, request.placement)
        self._renewals.record(request.gateway.gateway_id, request.lease_ids)
        gateways = self._membership.gateways.since(since)
        runners = self._membership.runners.since(since)
        # Each reply gets its own stamp, so the next request shows whether this reply arrived.
        session.stamp = self._membership.view_counter.next()
        return ExchangeReply(
            settings_version=step.version,
            settings=[],
            settings_retry_after_s=step.retry_after_s,
            view_version=session.stamp,
            hub_incarnation=self._identity.incarnation,
            full_view=since == 0,
            gateways=gateways.changed,
            gone_gateways=gateways.removed if since else [],
            runners=runners.changed,
            gone_runners=runners.removed if since else [],
            digests=session.digests(self._membership, request.gateway.zone),
            lost_lease_ids=session.take_lost_leases(),
            cancelled_jobs=session.new_cancelled_jobs(self._renewals.cancelled_jobs()),
            hubs=self._changed_hubs(request.gateway, session),
            quorum_age_s=round(quorum_age_s, 2),
            job_groups=self._identity.job_groups,
            pending_work=session.changed_pending_work(self._renewals.pending_work()),
            hub_settings_version=self._mirror.version,
            placement=session.changed_placement(self._membership.placement_stamp),
            job_alerts=self._renewals.job_alerts(),
        )

    def record_lost_leases(self, owner: str, lease_ids: Iterable[str]) -> None:
        """Record leases that a gateway has lost, for its next reply."""
        session = self._sessions.get(owner)
        if session is not None:
            session.add_lost_leases(lease_ids)

    def drop_expired(self) -> None:
        """Drop the sessions of gateways that no longer exchange with this hub."""
        for gateway_id in list(self._sessions):
            if gateway_id not in self._membership.own_gateways:
                del self._sessions[gateway_id]

    def _session(self, request: ExchangeRequest) -> tuple[GatewaySession, int]:
        """Return the gateway's session and the view version after which changes are sent."""
        gateway = request.gateway
        session = self._sessions.get(gateway.gateway_id)
        if session is None or session.incarnation != gateway.incarnation:
            session = self._sessions[gateway.gateway_id] = GatewaySession(gateway.incarnation)
        if request.hub_incarnation != self._identity.incarnation:
            session.reset()
            return session, 0
        if request.view_version != session.stamp:
            session.reset()
        membership = self._membership
        covered = membership.gateways.covers(request.view_version)
        covered = covered and membership.runners.covers(request.view_version)
        return session, request.view_version if covered else 0

    def _changed_hubs(self, gateway: GatewayState, session: GatewaySession) -> list[str]:
        """Return the hubs for a gateway in order of preference, or [] if it has this order."""

        def order() -> list[str]:
            identity, settings = self._identity, self._mirror.settings
            return hubs_for_gateway(
                gateway.gateway_id,
                gateway.zone,
                identity.peers,
                identity.zones,
                settings.region_of_zone,
            )

        return session.changed_hubs(self._mirror.version, order)
