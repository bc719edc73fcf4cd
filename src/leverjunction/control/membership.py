"""One hub's view of the gateways and runners. Pure: time and readings are passed in.

A hub is the control process of a zone. It merges these sources:

* Gateways: their exchanges with this hub, and the gateway states that the other hubs report. The
  highest incarnation wins; within one incarnation, ``stopping`` is never reset.
* Runners: the platform's machine list, which lags, and readings of the engines themselves. A
  listed runner that does not answer stays listed, with an unhealthy digest. A runner that still
  answers but is no longer listed counts as leaving, and is removed once it stops answering.
* ``leaving`` is true if the machine list, the engine or an operator's drain mark says so. Stopping
  new work too early costs little; sending new work to a runner that has left breaks a guarantee.
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
"""A gateway is no longer live after this long without an exchange: three missed exchanges."""

HUB_TIMEOUT_S = 4.0
"""The state of a silent hub is dropped after this long; its gateways have moved by then."""

SMALL_CLUSTER_RUNNERS = 16
"""Up to this many runners, their load is sent to gateways of all zones: at most 1 KB/s."""


class _PeerHub:
    """The state that another hub last reported."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.sequence = 0
        self.last_heard_s = 0.0
        self.state: HubState | None = None
        self.gateways: dict[str, GatewayState] = {}
        self.readings: dict[str, RunnerReading] = {}


class Membership:
    """One hub's view of the cluster, updated by events and read as versioned maps.

    The maps of ``view_counter`` are sent to gateways and cover the whole region. The ``own_`` maps
    hold what this hub has observed itself and sends to the other hubs. Not thread-safe.
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
        self._last_heard_s: dict[str, float] = {}
        self._in_force: dict[str, PlacementStamp] = {}
        self._machines: dict[str, Machine] = {}
        self._unlisted: dict[str, Machine] = {}
        self._peers: dict[str, _PeerHub] = {}
        self._last_readings: dict[str, RunnerReading] = {}
        self._relevant_by_zone: dict[str, tuple[str, ...]] = {}
        self._draining: frozenset[str] = frozenset()
        self._withdrawn: frozenset[Withdrawal] = frozenset()

    def update_gateway(self, state: GatewayState, now_s: float) -> bool:
        """Record an exchange of a gateway; return False if a newer incarnation is known."""
        known = self.own_gateways.get(state.gateway_id)
        if known is not None and known.incarnation > state.incarnation:
            return False
        self._last_heard_s[state.gateway_id] = now_s
        if self.own_gateways.put(state.gateway_id, state):
            self._merge_gateway(state.gateway_id)
        return True

    def update_digests(self, digests: Iterable[RunnerDigest]) -> None:
        """Merge load digests from a gateway of this hub that owns the runners."""
        for digest in digests:
            if self._merge_digest(digest):
                self.own_digests.put(digest.runner_id, digest)

    def update_machine_list(self, listed: MachineList) -> None:
        """Apply a reading of the platform's machine list; ignore it if older than the last one."""
        if listed.as_of_ms < self.machine_list_as_of_ms:
            return
        self.machine_list_as_of_ms = listed.as_of_ms
        before = self._machines
        self._machines = {machine.id: machine for machine in listed.machines}
        for machine_id in listed.unreadable:
            # An unreadable entry does not mean that a machine in use has left.
            if machine_id in before:
                self._machines.setdefault(machine_id, before[machine_id])
        for runner_id in self._machines:
            self._unlisted.pop(runner_id, None)
        for runner_id, machine in before.items():
            if runner_id not in self._machines:
                self._unlisted[runner_id] = machine
        # Fixed order, here and below: the order of a set differs between processes, and with it
        # the order in which gateways learn of runners.
        for runner_id in dict.fromkeys([*before, *self._machines]):
            if before.get(runner_id) != self._machines.get(runner_id):
                self._merge_runner(runner_id)

    def machine_list(self) -> MachineList:
        """Return the last reading of the platform's machine list."""
        return MachineList(
            as_of_ms=self.machine_list_as_of_ms, machines=list(self._machines.values())
        )

    def clear_own_readings(self) -> None:
        """Drop this hub's readings after a pause: other hubs have read the runners since."""
        outdated = self.own_readings.keys()
        for runner_id in outdated:
            self.remove_reading(runner_id)

    def update_reading(self, reading: RunnerReading) -> None:
        """Apply this hub's reading of a runner that it watches."""
        self._last_readings[reading.runner_id] = reading
        if self.own_readings.put(reading.runner_id, reading):
            self._merge_runner(reading.runner_id)

    def remove_reading(self, runner_id: str) -> None:
        """Remove the reading of a runner that this hub no longer watches."""
        if self.own_readings.remove(runner_id):
            self._merge_runner(runner_id)

    def set_drains(self, runner_ids: Iterable[str]) -> None:
        """Replace the set of runners that operators have marked for draining."""
        draining = frozenset(runner_ids)
        changed = draining ^ self._draining
        self._draining = draining
        for runner_id in changed:
            self._merge_runner(runner_id)

    def set_placement(self, record: PlacementRecord) -> None:
        """Apply a placement record; ignore it if it is older than the known one.

        The record stays in force while the process that leads placement is silent, until a
        successor replaces it.
        """
        if record.stamp < self.placement_stamp:
            return
        self.placement = record
        self._set_withdrawn(frozenset(record.withdrawn))

    @property
    def placement_stamp(self) -> PlacementStamp:
        """Stamp of the newest placement record known to this hub."""
        return self.placement.stamp if self.placement is not None else PlacementStamp()

    def record_applied_placement(self, gateway_id: str, stamp: PlacementStamp) -> None:
        """Record which placement record a gateway of this hub has in force."""
        self._in_force[gateway_id] = stamp

    def own_oldest_placement(self) -> PlacementStamp | None:
        """Return the oldest placement record that a gateway of this hub has in force, or None."""
        return min(self._in_force.values(), default=None)

    def oldest_placement_in_force(self) -> PlacementStamp | None:
        """Return the oldest placement record that any live gateway has in force, or None."""
        reported = [hub.in_force for hub in self.live_hubs()]
        known = [stamp for stamp in [*reported, self.own_oldest_placement()] if stamp is not None]
        return min(known, default=None)

    def handle_sync(self, sync: HubSync, now_s: float) -> int:
        """Apply another hub's message; return the version of its state that this hub now has.

        Returns 0 if the message leaves a gap after the known version; the sender then sends its
        full state. A message that starts before the known version repeats known changes and is
        applied.
        """
        name = sync.hub.name
        peer = self._peers.get(name)
        if peer is not None and peer.incarnation > sync.hub.incarnation:
            return 0
        same_process = peer is not None and peer.incarnation == sync.hub.incarnation
        if peer is not None and same_process and sync.sequence < peer.sequence:
            # The message was delayed and is older than the known state.
            return peer.version
        if sync.full or peer is None or peer.incarnation != sync.hub.incarnation:
            if not sync.full:
                return 0
            self._remove_peer(name)
            peer = self._peers[name] = _PeerHub(sync.hub.incarnation)
        elif sync.from_version > peer.version:
            return 0
        elif sync.to_version < peer.version:
            return peer.version
        peer.last_heard_s = now_s
        peer.sequence = sync.sequence
        peer.version = sync.to_version
        peer.state = sync.hub
        self._apply_lists(peer, sync)
        if sync.hub.placement is not None:
            self.set_placement(sync.hub.placement)
        return peer.version

    def expire(self, now_s: float) -> None:
        """Drop gateways and hubs that have been silent for longer than their timeout."""
        for gateway_id, heard_s in list(self._last_heard_s.items()):
            if now_s - heard_s > GATEWAY_TIMEOUT_S:
                del self._last_heard_s[gateway_id]
                self._in_force.pop(gateway_id, None)
                self.own_gateways.remove(gateway_id)
                self._merge_gateway(gateway_id)
        for name, peer in list(self._peers.items()):
            if now_s - peer.last_heard_s > HUB_TIMEOUT_S:
                self._remove_peer(name)

    def live_hubs(self) -> list[HubState]:
        """Return the state of each other hub that is live."""
        return [peer.state for peer in self._peers.values() if peer.state is not None]

    def hub_last_heard_s(self, name: str) -> float | None:
        """Return the monotonic time of another hub's last message, or None if it is not live."""
        peer = self._peers.get(name)
        return peer.last_heard_s if peer is not None else None

    def relevant_runners(self, zone: str) -> tuple[str, ...]:
        """Return the ids of the runners whose load is relevant to gateways of a zone.

        These are the runners of the zone, the runners of services that have no ready runner in the
        zone, and all runners of a cluster of up to ``SMALL_CLUSTER_RUNNERS``.
        """
        known = self._relevant_by_zone.get(zone)
        if known is None:
            known = self._relevant_by_zone[zone] = tuple(
                _relevant_runners(zone, self.runners.values())
            )
        return known

    def reading(self, runner_id: str) -> RunnerReading | None:
        """Return the best reading of a runner: a reachable one, of the newest incarnation.

        After the hub that watched the runner has gone, its last reading is used until another hub
        reads the runner.
        """
        readings = [peer.readings.get(runner_id) for peer in self._peers.values()]
        readings.append(self.own_readings.get(runner_id))
        known = [reading for reading in readings if reading is not None]
        return max(
            known,
            key=lambda reading: (reading.reachable, reading.incarnation),
            default=self._last_readings.get(runner_id),
        )

    def _apply_lists(self, peer: _PeerHub, sync: HubSync) -> None:
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

    def _remove_peer(self, name: str) -> None:
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
        # Gateways do not use each other's settings version, and in a cluster of 340 gateways one
        # settings change would send 340 updates to each of them.
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
                self._relevant_by_zone.clear()
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
            self._relevant_by_zone.clear()

    def _may_use(self, runner_id: str, model: str) -> bool:
        # An adapter cannot run while the weights of its base model are replaced.
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


def _relevant_runners(zone: str, runners: list[RunnerState]) -> Iterator[str]:
    served_in_zone = {
        runner.service
        for runner in runners
        if runner.zone == zone and runner.models and not runner.leaving
    }
    is_small = len(runners) <= SMALL_CLUSTER_RUNNERS
    for runner in runners:
        if is_small or runner.zone == zone or runner.service not in served_in_zone:
            yield runner.runner_id
