"""Which gateways and runners there are, as one hub sees it. Pure: time and readings are passed in.

Sources and how they are weighed:

* Gateways: their exchanges with this hub, and what the other hubs say of theirs. The highest
  incarnation wins; within one incarnation a gateway that is stopping never comes back.
* Runners: the platform's machine list, which lags, beside readings of the engines themselves.
  A listed runner that does not answer stays listed, with an unhealthy digest. One that still
  answers but is no longer listed is leaving, and gone once it stops answering.
* ``leaving`` is true if the list, the engine or an operator's drain mark says so: taking no new
  work too early costs little, taking new work too late breaks a promise.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.control.messages import (
    HubState,
    HubSync,
    PlacementRecord,
    RunnerReading,
    Withdrawal,
)
from leverjunction.control.versioned import VersionCounter, VersionedMap
from leverjunction.wire.messages import (
    GatewayState,
    PlacementStamp,
    RunnerDigest,
    RunnerState,
)

GATEWAY_TIMEOUT_S = 3.5
"""A gateway is no longer live after this long without an exchange: three missed ones."""

HUB_TIMEOUT_S = 4.0
"""What a silent hub said is forgotten after this long; its gateways have moved by then."""

FEW_RUNNERS = 16
"""Up to this many runners their load is told to gateways of all zones: at most 1 KB/s."""


class _PeerHub:
    """What another hub last told."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.sequence = 0
        self.heard_s = 0.0
        self.state: HubState | None = None
        self.gateways: dict[str, GatewayState] = {}
        self.readings: dict[str, RunnerReading] = {}


class Membership:
    """State of one hub's view of the cluster, changed by events, read as versioned maps.

    ``view`` maps are what gateways get: everything in the region. ``own`` maps are what this hub
    knows at first hand and tells the other hubs. Not safe between threads by itself.
    """

    def __init__(self) -> None:
        self.view_counter = VersionCounter()
        self.gateways: VersionedMap[GatewayState] = VersionedMap(self.view_counter)
        self.runners: VersionedMap[RunnerState] = VersionedMap(self.view_counter)
        self.digests: VersionedMap[RunnerDigest] = VersionedMap(VersionCounter())
        self.own_counter = VersionCounter()
        self.own_gateways: VersionedMap[GatewayState] = VersionedMap(self.own_counter)
        self.own_readings: VersionedMap[RunnerReading] = VersionedMap(self.own_counter)
        self.own_digests: VersionedMap[RunnerDigest] = VersionedMap(self.own_counter)
        self.settings_versions: dict[str, int] = {}
        self.machine_list_as_of_ms = 0
        self.placement: PlacementRecord | None = None
        self.unhealthy: set[str] = set()
        self._heard_s: dict[str, float] = {}
        self._in_force: dict[str, PlacementStamp] = {}
        self._machines: dict[str, Machine] = {}
        self._unlisted: dict[str, Machine] = {}
        self._peers: dict[str, _PeerHub] = {}
        self._last_readings: dict[str, RunnerReading] = {}
        self._near: dict[str, tuple[str, ...]] = {}
        self._draining: frozenset[str] = frozenset()
        self._withdrawn: frozenset[Withdrawal] = frozenset()

    def gateway_heard(self, state: GatewayState, now_s: float) -> bool:
        """Note an exchange of a gateway; return False when a newer incarnation is known."""
        known = self.own_gateways.get(state.gateway_id)
        if known is not None and known.incarnation > state.incarnation:
            return False
        self._heard_s[state.gateway_id] = now_s
        if self.own_gateways.put(state.gateway_id, state):
            self._merge_gateway(state.gateway_id)
        return True

    def digests_heard(self, digests: Iterable[RunnerDigest]) -> None:
        """Take load digests from an owner gateway of this hub."""
        for digest in digests:
            if self._merge_digest(digest):
                self.own_digests.put(digest.runner_id, digest)

    def update_machine_list(self, listed: MachineList) -> None:
        """Take a reading of the platform's list; an older one than the last is ignored."""
        if listed.as_of_ms < self.machine_list_as_of_ms:
            return
        self.machine_list_as_of_ms = listed.as_of_ms
        before = self._machines
        self._machines = {machine.id: machine for machine in listed.machines}
        for machine_id in listed.unreadable:
            # An entry that cannot be read is no word that a machine in use has left.
            if machine_id in before:
                self._machines.setdefault(machine_id, before[machine_id])
        for runner_id in self._machines:
            self._unlisted.pop(runner_id, None)
        for runner_id, machine in before.items():
            if runner_id not in self._machines:
                self._unlisted[runner_id] = machine
        # In a fixed order, as below: a set's order differs from process to process, and with it
        # the order in which gateways learn of runners.
        for runner_id in dict.fromkeys([*before, *self._machines]):
            if before.get(runner_id) != self._machines.get(runner_id):
                self._merge_runner(runner_id)

    def listed(self) -> MachineList:
        """Return the last reading of the platform's list."""
        return MachineList(
            as_of_ms=self.machine_list_as_of_ms, machines=list(self._machines.values())
        )

    def own_readings_outdated(self) -> None:
        """Forget this hub's own readings: it stood still, and others read the runners since."""
        outdated = self.own_readings.keys()
        for runner_id in outdated:
            self.runner_dropped(runner_id)

    def runner_read(self, reading: RunnerReading) -> None:
        """Take this hub's own reading of a runner that it watches."""
        self._last_readings[reading.runner_id] = reading
        if self.own_readings.put(reading.runner_id, reading):
            self._merge_runner(reading.runner_id)

    def runner_dropped(self, runner_id: str) -> None:
        """Note that this hub no longer watches a runner."""
        if self.own_readings.remove(runner_id):
            self._merge_runner(runner_id)

    def set_drains(self, runner_ids: Iterable[str]) -> None:
        """Take the operators' drain marks in force."""
        draining = frozenset(runner_ids)
        changed = draining ^ self._draining
        self._draining = draining
        for runner_id in changed:
            self._merge_runner(runner_id)

    def set_placement(self, record: PlacementRecord) -> None:
        """Take a record of placement; one that is older than the known one is ignored.

        It stays in force when that process is silent, until a successor says something else.
        """
        if record.stamp < self.placement_stamp:
            return
        self.placement = record
        self._set_withdrawn(frozenset(record.withdrawn))

    @property
    def placement_stamp(self) -> PlacementStamp:
        """Age of the newest record of placement that is known here."""
        return self.placement.stamp if self.placement is not None else PlacementStamp()

    def withdrawals_heard(self, gateway_id: str, stamp: PlacementStamp) -> None:
        """Note which placement record's withdrawals a gateway of this hub has in force."""
        self._in_force[gateway_id] = stamp

    def own_in_force(self) -> PlacementStamp | None:
        """Return the oldest record that one of this hub's gateways has in force."""
        return min(self._in_force.values(), default=None)

    def in_force(self) -> PlacementStamp | None:
        """Return the oldest record that any live gateway has in force, None without gateways."""
        told = [hub.in_force for hub in self.live_hubs()]
        known = [stamp for stamp in [*told, self.own_in_force()] if stamp is not None]
        return min(known, default=None)

    def handle_sync(self, sync: HubSync, now_s: float) -> int:
        """Take another hub's message; return the version that this hub now has of it.

        Returns 0 when the message does not follow on what is known: the sender then sends all.
        One that starts further back than what is known only repeats, and is taken.
        """
        name = sync.hub.name
        peer = self._peers.get(name)
        if peer is not None and peer.incarnation > sync.hub.incarnation:
            return 0
        same_process = peer is not None and peer.incarnation == sync.hub.incarnation
        if peer is not None and same_process and sync.sequence < peer.sequence:
            # A late one: what it says is older than what is known.
            return peer.version
        if sync.full or peer is None or peer.incarnation != sync.hub.incarnation:
            if not sync.full:
                return 0
            self._forget_peer(name)
            peer = self._peers[name] = _PeerHub(sync.hub.incarnation)
        elif sync.from_version > peer.version:
            return 0
        elif sync.to_version < peer.version:
            return peer.version
        peer.heard_s = now_s
        peer.sequence = sync.sequence
        peer.version = sync.to_version
        peer.state = sync.hub
        self._take_lists(peer, sync)
        if sync.hub.placement is not None:
            self.set_placement(sync.hub.placement)
        return peer.version

    def expire(self, now_s: float) -> None:
        """Drop gateways and hubs that were not heard for their timeout."""
        for gateway_id, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > GATEWAY_TIMEOUT_S:
                del self._heard_s[gateway_id]
                self._in_force.pop(gateway_id, None)
                self.own_gateways.remove(gateway_id)
                self._merge_gateway(gateway_id)
        for name, peer in list(self._peers.items()):
            if now_s - peer.heard_s > HUB_TIMEOUT_S:
                self._forget_peer(name)

    def live_hubs(self) -> list[HubState]:
        """Return the other hubs that are heard."""
        return [peer.state for peer in self._peers.values() if peer.state is not None]

    def hub_heard_s(self, name: str) -> float | None:
        """Return when another hub was last heard, or None when it is not live."""
        peer = self._peers.get(name)
        return peer.heard_s if peer is not None else None

    def near(self, zone: str) -> tuple[str, ...]:
        """Return the runners whose load matters to gateways of a zone.

        Those of the zone; those of services that have no ready runner there; and all of them
        where they are so few that it costs nothing.
        """
        known = self._near.get(zone)
        if known is None:
            known = self._near[zone] = tuple(_near(zone, self.runners.values()))
        return known

    def reading(self, runner_id: str) -> RunnerReading | None:
        """Return the best reading of a runner: one that reached it, and the newest engine.

        When the hub that watched it has gone, its last reading holds until another hub reads it.
        """
        readings = [peer.readings.get(runner_id) for peer in self._peers.values()]
        readings.append(self.own_readings.get(runner_id))
        known = [reading for reading in readings if reading is not None]
        return max(
            known,
            key=lambda reading: (reading.reachable, reading.incarnation),
            default=self._last_readings.get(runner_id),
        )

    def _take_lists(self, peer: _PeerHub, sync: HubSync) -> None:
        for state in sync.gateways:
            peer.gateways[state.gateway_id] = state
            self._merge_gateway(state.gateway_id)
        for gateway_id in sync.gone_gateways:
            peer.gateways.pop(gateway_id, None)
            self._merge_gateway(gateway_id)
        for reading in sync.readings:
            peer.readings[reading.runner_id] = reading
            self._last_readings[reading.runner_id] = reading
            self._merge_runner(reading.runner_id)
        for runner_id in sync.gone_readings:
            peer.readings.pop(runner_id, None)
            self._merge_runner(runner_id)
        for digest in sync.digests:
            self._merge_digest(digest)

    def _forget_peer(self, name: str) -> None:
        peer = self._peers.pop(name, None)
        if peer is None:
            return
        for gateway_id in peer.gateways:
            self._merge_gateway(gateway_id)
        for runner_id in peer.readings:
            self._merge_runner(runner_id)

    def _set_withdrawn(self, withdrawn: frozenset[Withdrawal]) -> None:
        changed = withdrawn ^ self._withdrawn
        self._withdrawn = withdrawn
        for runner_id in sorted({withdrawal.runner_id for withdrawal in changed}):
            self._merge_runner(runner_id)

    def _merge_gateway(self, gateway_id: str) -> None:
        candidates = [peer.gateways.get(gateway_id) for peer in self._peers.values()]
        candidates.append(self.own_gateways.get(gateway_id))
        known = [state for state in candidates if state is not None]
        if not known:
            self.gateways.remove(gateway_id)
            self.settings_versions.pop(gateway_id, None)
            return
        incarnation = max(state.incarnation for state in known)
        current = [state for state in known if state.incarnation == incarnation]
        newest = max(current, key=lambda state: state.settings_version)
        stopping = any(state.stopping for state in current)
        self.settings_versions[gateway_id] = newest.settings_version
        # Other gateways have no use for it, and each change would go to all of them 340 times.
        merged = msgspec.structs.replace(newest, stopping=stopping, settings_version=0)
        self.gateways.put(gateway_id, merged)

    def _merge_runner(self, runner_id: str) -> None:
        listed = self._machines.get(runner_id)
        machine = listed or self._unlisted.get(runner_id)
        reading = self.reading(runner_id)
        answers = reading is not None and reading.reachable
        if machine is None or (listed is None and not answers):
            self._unlisted.pop(runner_id, None)
            self._last_readings.pop(runner_id, None)
            if self.runners.remove(runner_id):
                self._near.clear()
            self.digests.remove(runner_id)
            self.unhealthy.discard(runner_id)
            return
        leaving = (
            listed is None
            or listed.state is MachineState.LEAVING
            or runner_id in self._draining
            or (reading is not None and reading.leaving)
        )
        models = reading.models if reading is not None else []
        state = RunnerState(
            runner_id=runner_id,
            address=machine.address,
            zone=machine.zone,
            service=machine.service,
            leaving=leaving,
            models=[model for model in models if self._may_use(runner_id, model)],
            incarnation=max(machine.incarnation, reading.incarnation if reading else 0),
        )
        if self.runners.put(runner_id, state):
            self._near.clear()

    def _may_use(self, runner_id: str, model: str) -> bool:
        # An adapter cannot run while the weights under it are replaced.
        base = model.partition(":")[0]
        return not self._withdrawn & {Withdrawal(runner_id, model), Withdrawal(runner_id, base)}

    def _merge_digest(self, digest: RunnerDigest) -> bool:
        known = self.digests.get(digest.runner_id)
        if known is not None and digest.as_of_ms < known.as_of_ms:
            return False
        if digest.healthy:
            self.unhealthy.discard(digest.runner_id)
        else:
            self.unhealthy.add(digest.runner_id)
        return self.digests.put(digest.runner_id, digest)


def _near(zone: str, runners: list[RunnerState]) -> Iterator[str]:
    here = {one.service for one in runners if one.zone == zone and one.models and not one.leaving}
    few = len(runners) <= FEW_RUNNERS
    for runner in runners:
        if few or runner.zone == zone or runner.service not in here:
            yield runner.runner_id
