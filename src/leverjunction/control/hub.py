"""The hub of a zone: answers the gateways' exchanges and keeps the view that they get."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import msgspec

from leverjunction.clock import Clock
from leverjunction.control.fanout import GatewaySession
from leverjunction.control.hub_types import (
    ClusterPicture,
    old_incarnation,
    settings_held_back,
    warming_up,
)
from leverjunction.control.layout import hubs_for_gateway
from leverjunction.control.membership import Membership
from leverjunction.control.messages import (
    HeldLeases,
    HubState,
    HubSync,
    HubSyncReply,
    PlacementRecord,
    RenewedLeases,
    RunnerReading,
)
from leverjunction.control.renewals import RenewalBook
from leverjunction.control.settings_mirror import SettingsMirror, SettingsStep
from leverjunction.errors import Failure
from leverjunction.platform.machine_list import MachineList
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    RunnerState,
)

WARM_UP_S = 3.0
"""A hub that started less than this ago, and has not heard all others, gives no view yet."""


class HubIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """What does not change while this process runs.

    Attributes:
        name: Name of this control process.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone it runs in.
        incarnation: Start time in milliseconds.
        peers: RPC addresses of all control processes, by name, this one included.
        zones: Their zones, by name.
        job_groups: Number of job groups.
    """

    name: str
    rpc_address: str
    zone: str
    incarnation: int
    peers: dict[str, str]
    zones: dict[str, str]
    job_groups: int


class Hub:
    """Thread-safe shell around the membership, the gateways' sessions and the renewals.

    Args:
        identity: This process.
        mirror: Settings in force here.
        clock: Source of monotonic time.
        quorum_age_s: Returns the seconds since the root group's leader was heard.
    """

    def __init__(
        self,
        identity: HubIdentity,
        mirror: SettingsMirror,
        clock: Clock,
        quorum_age_s: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._mirror = mirror
        self._clock = clock
        self._quorum_age_s = quorum_age_s
        self._lock = threading.Lock()
        self._membership = Membership()
        self._sessions: dict[str, GatewaySession] = {}
        self._renewals = RenewalBook()
        self._acknowledged: dict[str, int] = {}
        self._started_s = clock.monotonic_s()
        self._runners_read = False
        self._warm = False

    def exchange(self, request: ExchangeRequest) -> ExchangeReply | Failure:
        """Answer a gateway's exchange."""
        with self._mirror.step(request.settings_version) as step:
            reply = self._answer(request, step)
            if isinstance(reply, Failure):
                return reply
            return msgspec.structs.replace(reply, settings=step.rows())

    def exchange_encoded(self, request: ExchangeRequest) -> bytes:
        """Answer a gateway's exchange with the bytes of the reply; settings are encoded once."""
        with self._mirror.step(request.settings_version) as step:
            reply = self._answer(request, step)
            if isinstance(reply, Failure):
                return encode_reply(reply)
            rows = msgspec.Raw(step.encoded)
            return encode_reply(msgspec.structs.replace(reply, settings=rows))

    def settings_encoded(self, query: GetSettings) -> bytes:
        """Answer another hub that follows the settings of this one with the bytes of the reply."""
        with self._mirror.step(query.after_version) as step:
            if step.retry_after_s:
                return encode_reply(settings_held_back(step.retry_after_s))
            delta = SettingsDelta(version=step.version, rows=[])
            rows = msgspec.Raw(step.encoded)
            return encode_reply(msgspec.structs.replace(delta, rows=rows))

    def _answer(self, request: ExchangeRequest, step: SettingsStep) -> ExchangeReply | Failure:
        """Return the reply without settings rows."""
        quorum_age_s = self._quorum_age_s()
        with self._lock:
            now_s = self._clock.monotonic_s()
            if not self._is_warm(now_s):
                return warming_up()
            if not self._membership.gateway_heard(request.gateway, now_s):
                return old_incarnation(request.gateway)
            session, since = self._session(request)
            session.report(request.digests)
            self._membership.digests_heard(request.digests)
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
                hubs=self._hubs_for(request.gateway, session, full=since == 0),
                quorum_age_s=round(quorum_age_s, 2),
                job_groups=self._identity.job_groups,
            )

    def sync_received(self, sync: HubSync) -> HubSyncReply:
        """Take another hub's message."""
        with self._lock:
            version = self._membership.sync_received(sync, self._clock.monotonic_s())
        return HubSyncReply(have_version=version)

    def sync_for(self, peer: str, state: HubState) -> HubSync:
        """Return the message for another hub: what changed since its last answer."""
        with self._lock:
            own = self._membership
            since = self._acknowledged.get(peer, 0)
            if not (own.own_gateways.covers(since) and own.own_readings.covers(since)):
                since = 0
            gateways = own.own_gateways.since(since)
            readings = own.own_readings.since(since)
            return HubSync(
                hub=state,
                from_version=since,
                to_version=own.own_counter.value,
                full=since == 0,
                gateways=gateways.changed,
                gone_gateways=gateways.removed if since else [],
                readings=readings.changed,
                gone_readings=readings.removed if since else [],
                digests=own.own_digests.since(since).changed,
            )

    def sync_answered(self, peer: str, reply: HubSyncReply | Failure) -> None:
        """Note what another hub has; after a failure the same is sent again, or all of it."""
        with self._lock:
            if isinstance(reply, Failure):
                return
            self._acknowledged[peer] = reply.have_version

    def machines_listed(self, listed: MachineList) -> None:
        """Take a reading of the platform's machine list."""
        with self._lock:
            self._membership.machines_listed(listed)

    def runners_read(self, readings: Iterable[RunnerReading], unwatched: Iterable[str]) -> None:
        """Take this hub's readings of the runners that it watches, and of those no longer."""
        with self._lock:
            for reading in readings:
                self._membership.runner_read(reading)
            for runner_id in unwatched:
                self._membership.runner_dropped(runner_id)
            self._runners_read = self._membership.machine_list_as_of_ms > 0

    def drains_set(self, runner_ids: Iterable[str]) -> None:
        """Take the operators' drain marks in force."""
        with self._lock:
            self._membership.drains_set(runner_ids)

    def placement_set(self, record: PlacementRecord | None) -> None:
        """Take the record of placement; called only by the process that leads it."""
        if record is not None:
            with self._lock:
                self._membership.placement_set(record)

    def placement_record(self) -> PlacementRecord | None:
        """Return the last known record of placement, of whichever process led it."""
        with self._lock:
            return self._membership.placement

    def reading(self, runner_id: str) -> RunnerReading | None:
        """Return the best reading of a runner."""
        with self._lock:
            return self._membership.reading(runner_id)

    def take_renewals(self, group: str) -> list[HeldLeases]:
        """Return the renewals for the leader of a job group."""
        with self._lock:
            return self._renewals.take(group)

    def renewals_answered(
        self, group: str, held: list[HeldLeases], answer: RenewedLeases | Failure
    ) -> None:
        """Take the answer of a job group's leader to a batch of renewals."""
        with self._lock:
            if isinstance(answer, Failure):
                self._renewals.put_back(group, held)
                return
            self._renewals.answered(group, answer)
            for lost in answer.lost:
                session = self._sessions.get(lost.owner)
                if session is not None:
                    session.lose(lost.lease_ids)

    def expire(self) -> None:
        """Drop gateways and hubs that have gone silent."""
        with self._lock:
            self._membership.expire(self._clock.monotonic_s())
            for gateway_id in list(self._sessions):
                if gateway_id not in self._membership.own_gateways:
                    del self._sessions[gateway_id]

    def machine_list_as_of_ms(self) -> int:
        """Return the platform's time of the last reading of the machine list."""
        with self._lock:
            return self._membership.machine_list_as_of_ms

    def live_hubs(self) -> list[HubState]:
        """Return the other hubs that are heard."""
        with self._lock:
            return self._membership.live_hubs()

    def runners(self) -> list[RunnerState]:
        """Return all listed runners."""
        with self._lock:
            return self._membership.runners.values()

    def gateway_count(self) -> int:
        """Return the number of live gateways in the region."""
        with self._lock:
            return len(self._membership.gateways)

    def hub_heard_ages_s(self) -> dict[str, float]:
        """Return the seconds since each live other hub was heard, by name."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            names = [hub.name for hub in self._membership.live_hubs()]
            heard = {name: self._membership.hub_heard_s(name) for name in names}
            return {name: now_s - at_s for name, at_s in heard.items() if at_s is not None}

    def picture(self) -> ClusterPicture:
        """Return a copy of the view; gateways carry the settings version they have in force."""
        with self._lock:
            own = self._membership
            versions = own.settings_versions
            gateways = [
                msgspec.structs.replace(state, settings_version=versions.get(state.gateway_id, 0))
                for state in own.gateways.values()
            ]
            runners = own.runners.values()
            readings = {runner.runner_id: own.reading(runner.runner_id) for runner in runners}
            return ClusterPicture(
                gateways=gateways,
                runners=runners,
                digests=own.digests.values(),
                readings={key: value for key, value in readings.items() if value is not None},
                hubs=own.live_hubs(),
            )

    def _is_warm(self, now_s: float) -> bool:
        """Return whether this hub knows enough to give a full view.

        A gateway replaces its view by a full one, so a hub that has just started must not hand
        out an empty one: the gateway then stays with, or goes to, another hub.
        """
        if not self._warm:
            heard = len(self._membership.live_hubs()) + 1
            complete = self._runners_read and heard == len(self._identity.peers)
            self._warm = complete or now_s - self._started_s > WARM_UP_S
        return self._warm

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

    def _hubs_for(self, gateway: GatewayState, session: GatewaySession, full: bool) -> list[str]:
        """Return the hubs for a gateway if it does not know them in this order yet."""
        version = self._mirror.version
        if not full and session.hubs_version == version:
            return []
        session.hubs_version = version
        hubs = hubs_for_gateway(
            gateway.gateway_id,
            gateway.zone,
            self._identity.peers,
            self._identity.zones,
            self._mirror.settings.region_of_zone,
        )
        if not full and session.hubs == hubs:
            return []
        session.hubs = hubs
        return hubs
