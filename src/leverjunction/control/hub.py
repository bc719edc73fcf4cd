"""The hub of a zone: maintains the view of the cluster and answers the gateways' exchanges."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from leverjunction.backends.machine_list import MachineList
from leverjunction.clock import Clock
from leverjunction.control.gateway_sessions import GatewaySessions
from leverjunction.control.hub_peers import PeerVersions
from leverjunction.control.hub_types import (
    ClusterSnapshot,
    HubIdentity,
    machine_list_stale_failure,
    old_incarnation_failure,
    settings_throttled_failure,
    warming_up_failure,
)
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
from leverjunction.control.renewals import RenewalBuffer
from leverjunction.control.settings_mirror import SettingsMirror, SettingsStep
from leverjunction.control.warm_up import WarmUp
from leverjunction.errors import Failure
from leverjunction.settings.commands import GetSettings, SettingsDelta
from leverjunction.standstills import Freshness
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    PlacementStamp,
    RunnerState,
)

__all__ = ["Hub", "HubIdentity"]

LIST_PAUSE_THRESHOLD_S = 1.0
"""Shortest pause of this process after which the machine list is read again before a gateway is
answered. Together with the intervals of list reads (0.5 s) and exchanges (1 s) it stays below the
3 s in which a leaving runner still gets work. A shorter threshold would refuse gateways whenever
the control process is short of CPU.
"""

LIST_REFUSAL_LIMIT_S = 1.0
"""Gateways are refused for at most this long while that read fails: two attempts."""


class Hub:
    """Thread-safe facade for the membership, the gateways' sessions and the lease renewals.

    Attributes:
        on_change: Called when a gateway, a watched runner or the placement state changed; must
            neither block nor call the hub.

    Args:
        identity: Identity of this process and its peers.
        mirror: Settings in force in this process.
        clock: Source of monotonic time.
        quorum_age_s: Returns the seconds since the last contact with the root group's leader.
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
        self._renewals = RenewalBuffer()
        self._sessions = GatewaySessions(identity, mirror, self._membership, self._renewals)
        self.on_change: Callable[[], None] = _ignore_change
        self._peers = PeerVersions()
        self._warm_up = WarmUp(clock.monotonic_s())
        self._list_freshness = Freshness(LIST_PAUSE_THRESHOLD_S, LIST_REFUSAL_LIMIT_S)

    def exchange(self, request: ExchangeRequest) -> ExchangeReply | Failure:
        """Answer a gateway's exchange."""
        with self._mirror.step(request.settings_version) as step:
            reply = self._make_reply(request, step)
            if isinstance(reply, Failure):
                return reply
            return msgspec.structs.replace(reply, settings=step.rows())

    def exchange_encoded(self, request: ExchangeRequest) -> bytes:
        """Answer a gateway's exchange with the encoded reply, reusing the encoded settings."""
        with self._mirror.step(request.settings_version) as step:
            reply = self._make_reply(request, step)
            if isinstance(reply, Failure):
                return encode_reply(reply)
            rows = msgspec.Raw(step.encoded)
            return encode_reply(msgspec.structs.replace(reply, settings=rows))

    def settings_encoded(self, query: GetSettings) -> bytes:
        """Answer a settings query of another hub with the encoded reply."""
        with self._mirror.step(query.after_version) as step:
            if step.retry_after_s:
                return encode_reply(settings_throttled_failure(step.retry_after_s))
            delta = SettingsDelta(version=step.version, rows=[])
            rows = msgspec.Raw(step.encoded)
            return encode_reply(msgspec.structs.replace(delta, rows=rows))

    def _make_reply(self, request: ExchangeRequest, step: SettingsStep) -> ExchangeReply | Failure:
        """Return the reply to an exchange, without settings rows."""
        quorum_age_s = self._quorum_age_s()
        with self._lock:
            now_s = self._check_for_pause()
            if not self._is_warm(now_s):
                return warming_up_failure()
            if self._list_freshness.is_in_doubt(now_s):
                return machine_list_stale_failure()
            known = self._membership.own_counter.value
            in_force = self._membership.own_oldest_placement()
            if not self._membership.update_gateway(request.gateway, now_s):
                return old_incarnation_failure(request.gateway)
            self._notify_if_changed(known)
            reply = self._sessions.make_reply(request, step, quorum_age_s)
            if self._membership.own_oldest_placement() != in_force:
                self.on_change()
            return reply

    def handle_sync(self, sync: HubSync) -> HubSyncReply:
        """Apply a sync message of another hub and acknowledge it."""
        with self._lock:
            version = self._membership.handle_sync(sync, self._check_for_pause())
            return HubSyncReply(version, self._membership.placement_stamp)

    def make_sync(self, peer: str, state: HubState) -> HubSync:
        """Return the sync message for another hub: the changes since its last reply."""
        with self._lock:
            self._check_for_pause()
            return self._peers.make_sync(peer, state, self._membership)

    def handle_sync_reply(self, peer: str, reply: HubSyncReply | Failure) -> None:
        """Record what another hub has acknowledged; after a failure the changes are resent."""
        with self._lock:
            if isinstance(reply, Failure):
                return
            self._peers.record_reply(peer, reply)

    def begin_machine_list_read(self, longest_s: float) -> float:
        """Record the start of a machine list read, or of the wait until the next read.

        Args:
            longest_s: Longest expected duration of the read or the wait, in seconds.

        Returns:
            The current monotonic time in seconds.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._list_freshness.step_begins(now_s, longest_s)
            return now_s

    def update_machine_list(self, listed: MachineList, asked_s: float | None = None) -> None:
        """Apply a reading of the platform's machine list.

        Args:
            listed: The reading.
            asked_s: Monotonic time at which the read started, in seconds; None if unknown.
        """
        with self._lock:
            self._membership.update_machine_list(listed)
            if asked_s is not None:
                self._list_freshness.refreshed(asked_s)

    def standstills(self) -> int:
        """Return how many pauses of this process were detected."""
        with self._lock:
            self._check_for_pause()
            return self._warm_up.standstills

    def update_readings(
        self, readings: Iterable[RunnerReading], unwatched: Iterable[str], standstills: int = 0
    ) -> bool:
        """Apply this hub's readings of the runners that it watches.

        Args:
            readings: The readings.
            unwatched: Ids of runners that this hub no longer watches.
            standstills: Result of ``standstills()`` when the readings were started.

        Returns:
            False if this process was paused in the meantime: the readings are then outdated and
            are dropped.
        """
        with self._lock:
            self._check_for_pause()
            if standstills != self._warm_up.standstills:
                return False
            known = self._membership.own_counter.value
            for reading in readings:
                self._membership.update_reading(reading)
            self._notify_if_changed(known)
            for runner_id in unwatched:
                self._membership.remove_reading(runner_id)
            self._warm_up.runners_read = self._membership.machine_list_as_of_ms > 0
            return True

    def set_drains(self, runner_ids: Iterable[str]) -> None:
        """Replace the set of runners that operators have marked for draining."""
        with self._lock:
            self._membership.set_drains(runner_ids)

    def set_placement(self, record: PlacementRecord | None) -> None:
        """Apply a placement record; called only by the process that leads placement."""
        if record is not None:
            with self._lock:
                before = self._membership.placement_stamp
                self._membership.set_placement(record)
                if self._membership.placement_stamp != before:
                    self.on_change()

    def placement_record(self) -> PlacementRecord | None:
        """Return the newest known placement record, from whichever process led placement."""
        with self._lock:
            return self._membership.placement

    def oldest_placement_in_force(self) -> PlacementStamp | None:
        """Return the oldest placement record that a live gateway has in force, or None."""
        with self._lock:
            return self._membership.oldest_placement_in_force()

    def is_placement_known_to_majority(self, stamp: PlacementStamp) -> bool:
        """Return whether a majority of hubs, including this one, has this placement record.

        A later record of the same term counts as well. A record of a later term does not: its
        author may not have known this record.
        """
        with self._lock:
            return self._is_majority(self._peers.count_with_placement(stamp) + 1)

    def hears_majority(self) -> bool:
        """Return whether a majority of hubs, including this one, is live as seen from here."""
        with self._lock:
            return self._is_majority(len(self._membership.live_hubs()) + 1)

    def reading(self, runner_id: str) -> RunnerReading | None:
        """Return the best reading of a runner."""
        with self._lock:
            return self._membership.reading(runner_id)

    def take_renewals(self, group: str) -> list[HeldLeases]:
        """Return and clear the lease renewals for the leader of a job group."""
        with self._lock:
            return self._renewals.take(group)

    def handle_renewal_reply(
        self, group: str, held: list[HeldLeases], answer: RenewedLeases | Failure
    ) -> None:
        """Apply the reply of a job group's leader to a batch of renewals."""
        with self._lock:
            if isinstance(answer, Failure):
                self._renewals.restore(group, held)
                return
            self._renewals.record_reply(group, answer)
            for lost in answer.lost:
                self._sessions.record_lost_leases(lost.owner, lost.lease_ids)

    def expire(self) -> None:
        """Drop gateways and hubs that have been silent for longer than their timeout."""
        with self._lock:
            self._membership.expire(self._check_for_pause())
            self._sessions.drop_expired()

    def machine_list(self) -> MachineList:
        """Return the last reading of the platform's machine list."""
        with self._lock:
            return self._membership.machine_list()

    def machine_list_as_of_ms(self) -> int:
        """Return the platform's timestamp of the last machine list reading, in milliseconds."""
        with self._lock:
            return self._membership.machine_list_as_of_ms

    def live_hubs(self) -> list[HubState]:
        """Return the state of each other hub that is live."""
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
        """Return the seconds since the last message of each other live hub, by name."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            names = [hub.name for hub in self._membership.live_hubs()]
            heard = {name: self._membership.hub_last_heard_s(name) for name in names}
            return {name: now_s - at_s for name, at_s in heard.items() if at_s is not None}

    def snapshot(self) -> ClusterSnapshot:
        """Return a copy of the view, with the settings version that each gateway has in force."""
        with self._lock:
            own = self._membership
            versions = own.settings_versions
            gateways = [
                msgspec.structs.replace(state, settings_version=versions.get(state.gateway_id, 0))
                for state in own.gateways.values()
            ]
            runners = own.runners.values()
            readings = {runner.runner_id: own.reading(runner.runner_id) for runner in runners}
            return ClusterSnapshot(
                gateways=gateways,
                runners=runners,
                digests=own.digests.values(),
                readings={key: value for key, value in readings.items() if value is not None},
                hubs=own.live_hubs(),
            )

    def _is_majority(self, hubs: int) -> bool:
        return hubs * 2 > len(self._identity.peers)

    def _notify_if_changed(self, known_version: int) -> None:
        """Call ``on_change`` if the state that is sent to the other hubs has changed."""
        if self._membership.own_counter.value != known_version:
            self.on_change()

    def _check_for_pause(self) -> float:
        """Return the monotonic time; after a pause, drop readings and enter the warm-up again."""
        now_s = self._clock.monotonic_s()
        paused_s = self._warm_up.record_activity(now_s)
        if paused_s > 0:
            logger.warning("this process was paused for {:.1f} s; warming up again", paused_s)
            self._membership.clear_own_readings()
            self._membership.expire(now_s)
        return now_s

    def _is_warm(self, now_s: float) -> bool:
        heard = len(self._membership.live_hubs()) + 1
        return self._warm_up.is_warm(now_s, heard == len(self._identity.peers))


def _ignore_change() -> None:
    """Do nothing; the default of ``on_change``."""
