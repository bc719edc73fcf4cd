"""The hub of a zone: answers the gateways' exchanges and keeps the view that they get."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from leverjunction.backends.machine_list import MachineList
from leverjunction.clock import Clock
from leverjunction.control.gateway_sessions import GatewaySessions
from leverjunction.control.hub_peers import PeerBook
from leverjunction.control.hub_types import (
    ClusterSnapshot,
    HubIdentity,
    list_unread,
    old_incarnation,
    settings_held_back,
    warming_up,
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
from leverjunction.control.renewals import RenewalBook
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

LIST_STANDSTILL_S = 1.0
"""Shortest standstill after which the machine list is read before a gateway is answered: with the
pauses between readings and exchanges, half a second and a second, it is below the 3 s in which a
leaving runner gets its last work. On a control process that is short of processor a shorter one
would turn gateways away.
"""

LIST_DOUBT_S = 1.0
"""How long gateways are put off when that reading does not succeed: two tries."""


class Hub:
    """Thread-safe shell around the membership, the gateways' sessions and the renewals.

    Attributes:
        on_change: Called when a gateway or a watched runner changed; must not block or call back.

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
        self._renewals = RenewalBook()
        self._sessions = GatewaySessions(identity, mirror, self._membership, self._renewals)
        self.on_change: Callable[[], None] = _nobody_to_tell
        self._peers = PeerBook()
        self._warm_up = WarmUp(clock.monotonic_s())
        self._listing = Freshness(LIST_STANDSTILL_S, LIST_DOUBT_S)

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
            now_s = self._note_alive()
            if not self._is_warm(now_s):
                return warming_up()
            if self._listing.is_in_doubt(now_s):
                return list_unread()
            known = self._membership.own_counter.value
            in_force = self._membership.own_oldest_placement()
            if not self._membership.update_gateway(request.gateway, now_s):
                return old_incarnation(request.gateway)
            self._tell_news(known)
            reply = self._sessions.answer(request, step, quorum_age_s)
            if self._membership.own_oldest_placement() != in_force:
                self.on_change()
            return reply

    def handle_sync(self, sync: HubSync) -> HubSyncReply:
        """Take another hub's message."""
        with self._lock:
            version = self._membership.handle_sync(sync, self._note_alive())
            return HubSyncReply(version, self._membership.placement_stamp)

    def make_sync(self, peer: str, state: HubState) -> HubSync:
        """Return the message for another hub: what changed since its last answer."""
        with self._lock:
            self._note_alive()
            return self._peers.message(peer, state, self._membership)

    def handle_sync_reply(self, peer: str, reply: HubSyncReply | Failure) -> None:
        """Note what another hub has; after a failure the same is sent again, or all of it."""
        with self._lock:
            if isinstance(reply, Failure):
                return
            self._peers.answered(peer, reply)

    def begin_machine_list_read(self, longest_s: float) -> float:
        """Note that a reading of the machine list, or the pause after one, begins.

        Returns:
            The time, in monotonic seconds.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._listing.step_begins(now_s, longest_s)
            return now_s

    def update_machine_list(self, listed: MachineList, asked_s: float | None = None) -> None:
        """Take a reading of the platform's machine list that was asked for at a moment."""
        with self._lock:
            self._membership.update_machine_list(listed)
            if asked_s is not None:
                self._listing.refreshed(asked_s)

    def standstills(self) -> int:
        """Return how often this process was found to have stood still."""
        with self._lock:
            self._note_alive()
            return self._warm_up.standstills

    def update_readings(
        self, readings: Iterable[RunnerReading], unwatched: Iterable[str], standstills: int = 0
    ) -> bool:
        """Take this hub's readings of the runners that it watches, and of those no longer.

        Args:
            readings: The readings.
            unwatched: Runners that it watches no longer.
            standstills: What ``standstills`` gave when the reading began.

        Returns:
            False when this process stood still meanwhile: what was read is out of date.
        """
        with self._lock:
            self._note_alive()
            if standstills != self._warm_up.standstills:
                return False
            known = self._membership.own_counter.value
            for reading in readings:
                self._membership.update_reading(reading)
            self._tell_news(known)
            for runner_id in unwatched:
                self._membership.remove_reading(runner_id)
            self._warm_up.runners_read = self._membership.machine_list_as_of_ms > 0
            return True

    def set_drains(self, runner_ids: Iterable[str]) -> None:
        """Take the operators' drain marks in force."""
        with self._lock:
            self._membership.set_drains(runner_ids)

    def set_placement(self, record: PlacementRecord | None) -> None:
        """Take the record of placement; called only by the process that leads it."""
        if record is not None:
            with self._lock:
                before = self._membership.placement_stamp
                self._membership.set_placement(record)
                if self._membership.placement_stamp != before:
                    self.on_change()

    def placement_record(self) -> PlacementRecord | None:
        """Return the last known record of placement, of whichever process led it."""
        with self._lock:
            return self._membership.placement

    def placement_in_force(self) -> PlacementStamp | None:
        """Return the oldest record whose withdrawals a live gateway has in force, None without."""
        with self._lock:
            return self._membership.oldest_placement_in_force()

    def placement_told_most(self, stamp: PlacementStamp) -> bool:
        """Return whether most hubs, this one included, have a record of placement or a later one.

        A later one of the same term: what a successor says in its term says nothing of this one.
        """
        with self._lock:
            return self._is_majority(self._peers.placement_known_by(stamp) + 1)

    def hears_majority(self) -> bool:
        """Return whether most hubs, this one included, were heard since it started, and lately."""
        with self._lock:
            return self._is_majority(len(self._membership.live_hubs()) + 1)

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
                self._sessions.lose(lost.owner, lost.lease_ids)

    def expire(self) -> None:
        """Drop gateways and hubs that have gone silent."""
        with self._lock:
            self._membership.expire(self._note_alive())
            self._sessions.forget_gone()

    def machine_list(self) -> MachineList:
        """Return the last reading of the platform's machine list."""
        with self._lock:
            return self._membership.machine_list()

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
            heard = {name: self._membership.hub_last_heard_s(name) for name in names}
            return {name: now_s - at_s for name, at_s in heard.items() if at_s is not None}

    def snapshot(self) -> ClusterSnapshot:
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
            return ClusterSnapshot(
                gateways=gateways,
                runners=runners,
                digests=own.digests.values(),
                readings={key: value for key, value in readings.items() if value is not None},
                hubs=own.live_hubs(),
            )

    def _is_majority(self, hubs: int) -> bool:
        return hubs * 2 > len(self._identity.peers)

    def _tell_news(self, known_version: int) -> None:
        """Have the other hubs told at once of gateways and runners that changed here."""
        if self._membership.own_counter.value != known_version:
            self.on_change()

    def _note_alive(self) -> float:
        """Return the time; after a standstill forget what this hub knew at first hand."""
        now_s = self._clock.monotonic_s()
        stood_s = self._warm_up.alive(now_s)
        if stood_s > 0:
            logger.warning("this process stood still for {:.1f} s, warms up again", stood_s)
            self._membership.clear_own_readings()
            self._membership.expire(now_s)
        return now_s

    def _is_warm(self, now_s: float) -> bool:
        heard = len(self._membership.live_hubs()) + 1
        return self._warm_up.is_warm(now_s, heard == len(self._identity.peers))


def _nobody_to_tell() -> None:
    """Stand in for the task that tells the other hubs."""
