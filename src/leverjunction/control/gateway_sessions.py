"""Makes the replies to the gateways of one hub from its view. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.control.fanout import GatewaySession
from leverjunction.control.hub_types import HubIdentity
from leverjunction.control.layout import hubs_for_gateway
from leverjunction.control.membership import Membership
from leverjunction.control.renewals import RenewalBook
from leverjunction.control.settings_mirror import SettingsMirror, SettingsStep
from leverjunction.wire.messages import ExchangeReply, ExchangeRequest, GatewayState


class GatewaySessions:
    """One session for each gateway, so that replies are deltas. Not safe between threads by itself.

    Args:
        identity: The hub.
        mirror: Settings in force here.
        membership: The hub's view.
        renewals: Takes renewals, gives cancelled jobs.
    """

    def __init__(
        self,
        identity: HubIdentity,
        mirror: SettingsMirror,
        membership: Membership,
        renewals: RenewalBook,
    ) -> None:
        self._identity = identity
        self._mirror = mirror
        self._membership = membership
        self._renewals = renewals
        self._sessions: dict[str, GatewaySession] = {}

    def answer(
        self, request: ExchangeRequest, step: SettingsStep, quorum_age_s: float
    ) -> ExchangeReply:
        """Take what a gateway says and return the reply, without settings rows."""
        session, since = self._session(request)
        session.report(request.digests)
        self._membership.update_digests(request.digests)
        self._membership.record_applied_placement(request.gateway.gateway_id, request.placement)
        self._renewals.held(request.gateway.gateway_id, request.lease_ids)
        gateways = self._membership.gateways.since(since)
        runners = self._membership.runners.since(since)
        # A stamp of its own for each reply: the next request tells whether this one arrived.
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
            lost_lease_ids=session.take_lost(),
            cancelled_jobs=session.untold_jobs(self._renewals.cancelled_jobs()),
            hubs=self._hubs_news(request.gateway, session),
            quorum_age_s=round(quorum_age_s, 2),
            job_groups=self._identity.job_groups,
            pending_work=session.untold_work(self._renewals.pending_work()),
            hub_settings_version=self._mirror.version,
            placement=session.untold_placement(self._membership.placement_stamp),
        )

    def lose(self, owner: str, lease_ids: Iterable[str]) -> None:
        """Note leases that a gateway holds no longer."""
        session = self._sessions.get(owner)
        if session is not None:
            session.lose(lease_ids)

    def forget_gone(self) -> None:
        """Drop the sessions of gateways that exchange with this hub no longer."""
        for gateway_id in list(self._sessions):
            if gateway_id not in self._membership.own_gateways:
                del self._sessions[gateway_id]

    def _session(self, request: ExchangeRequest) -> tuple[GatewaySession, int]:
        """Return the gateway's session, and the view version since which to send changes."""
        gateway = request.gateway
        session = self._sessions.get(gateway.gateway_id)
        if session is None or session.incarnation != gateway.incarnation:
            session = self._sessions[gateway.gateway_id] = GatewaySession(gateway.incarnation)
        if request.hub_incarnation != self._identity.incarnation:
            session.reset()
            return session, 0
        if request.view_version != session.stamp:
            session.reset()
        known = self._membership
        covered = known.gateways.covers(request.view_version)
        covered = covered and known.runners.covers(request.view_version)
        return session, request.view_version if covered else 0

    def _hubs_news(self, gateway: GatewayState, session: GatewaySession) -> list[str]:
        """Return the hubs for a gateway if it does not know them in this order yet."""

        def order() -> list[str]:
            identity, settings = self._identity, self._mirror.settings
            return hubs_for_gateway(
                gateway.gateway_id,
                gateway.zone,
                identity.peers,
                identity.zones,
                settings.region_of_zone,
            )

        return session.untold_hubs(self._mirror.version, order)
