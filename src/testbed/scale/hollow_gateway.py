"""A hollow gateway: the control side of a gateway, without callers, queue and engines.

It exchanges as a real one does (heartbeat, settings version, digests of the runners that it owns,
lease renewals) and keeps only what it needs for that: versions, zone membership, its leases.
"""

from __future__ import annotations

import random as random_module
import threading
from typing import Protocol

import msgspec
import xxhash

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    PlacementStamp,
    RunnerDigest,
)

MAX_RUNNING = 64


class GatewayProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Who a hollow gateway claims to be."""

    gateway_id: str
    zone: str
    hubs: list[str]


class InForce(msgspec.Struct, frozen=True):
    """A settings version came into force in a gateway, at a monotonic time of this machine."""

    gateway_id: str
    zone: str
    version: int
    monotonic_s: float


class ExchangeClient(Protocol):
    """The part of ``ControlClient`` that a hollow gateway uses for the exchange."""

    def exchange(self, request: ExchangeRequest) -> ExchangeReply | Failure:
        """Exchange state with a hub."""
        ...


class HollowGateway:
    """State of one hollow gateway. The exchange thread and the lease thread share it."""

    def __init__(
        self,
        profile: GatewayProfile,
        client: ExchangeClient,
        clock: Clock,
        random: random_module.Random,
        digest_change_ratio: float,
    ) -> None:
        self.profile = profile
        self.client = client
        self.in_force: list[InForce] = []
        self._clock = clock
        self._random = random
        self._digest_change_ratio = digest_change_ratio
        self._incarnation = clock.wall_ms()
        self._settings_version = 0
        self._view_version = 0
        self._hub_incarnation = 0
        self._placement = PlacementStamp()
        self._zone_gateways: set[str] = set()
        self._zone_runners: set[str] = set()
        self._owned: list[str] = []
        self._digests: dict[str, RunnerDigest] = {}
        self._lock = threading.Lock()
        self._lease_ids: dict[str, set[str]] = {}

    @property
    def owned(self) -> list[str]:
        """Ids of the runners that this gateway owns by its present view."""
        return self._owned

    @property
    def settings_version(self) -> int:
        """Settings version in force here."""
        return self._settings_version

    def exchange_once(self) -> ExchangeReply | Failure:
        """Send one exchange and apply its reply."""
        changed = self._changed_digests()
        reply = self.client.exchange(self._request(changed))
        if isinstance(reply, ExchangeReply):
            self._digests.update({digest.runner_id: digest for digest in changed})
            self._apply(reply)
        return reply

    def hold_lease(self, group: str, lease_id: str) -> None:
        """Renew a lease with each exchange from now on."""
        with self._lock:
            self._lease_ids.setdefault(group, set()).add(lease_id)

    def drop_lease(self, group: str, lease_id: str) -> None:
        """Stop renewing a lease."""
        with self._lock:
            self._lease_ids.get(group, set()).discard(lease_id)

    def _request(self, digests: list[RunnerDigest]) -> ExchangeRequest:
        with self._lock:
            lease_ids = {group: sorted(ids) for group, ids in self._lease_ids.items() if ids}
        return ExchangeRequest(
            gateway=self._state(),
            settings_version=self._settings_version,
            view_version=self._view_version,
            hub_incarnation=self._hub_incarnation,
            digests=digests,
            lease_ids=lease_ids,
            placement=self._placement,
        )

    def _state(self) -> GatewayState:
        return GatewayState(
            gateway_id=self.profile.gateway_id,
            address="127.0.0.1:1",
            rpc_address="127.0.0.1:1",
            zone=self.profile.zone,
            incarnation=self._incarnation,
            settings_version=self._settings_version,
        )

    def _changed_digests(self) -> list[RunnerDigest]:
        return [
            self._next_digest(runner_id)
            for runner_id in self._owned
            if runner_id not in self._digests or self._random.random() < self._digest_change_ratio
        ]

    def _next_digest(self, runner_id: str) -> RunnerDigest:
        last = self._digests.get(runner_id)
        running = self._random.randrange(MAX_RUNNING) if last is None else last.running
        running = min(MAX_RUNNING, max(0, running + self._random.choice((-3, -2, 2, 3))))
        return RunnerDigest(
            runner_id=runner_id,
            running=running,
            waiting=self._random.randrange(4),
            batch_running=running // 2,
            kv_used_ratio=round(running / MAX_RUNNING, 3),
            as_of_ms=self._clock.wall_ms(),
        )

    def _apply(self, reply: ExchangeReply) -> None:
        if reply.settings_version > self._settings_version:
            self._settings_version = reply.settings_version
            self.in_force.append(
                InForce(
                    self.profile.gateway_id,
                    self.profile.zone,
                    reply.settings_version,
                    self._clock.monotonic_s(),
                )
            )
        self._view_version = reply.view_version
        self._hub_incarnation = reply.hub_incarnation
        if reply.placement is not None:
            self._placement = reply.placement
        self._drop_lost_leases(set(reply.lost_lease_ids))
        if self._apply_view(reply):
            self._owned = self._compute_owned()

    def _apply_view(self, reply: ExchangeReply) -> bool:
        if reply.full_view:
            self._zone_gateways.clear()
            self._zone_runners.clear()
        gateways = {
            state.gateway_id
            for state in reply.gateways
            if state.zone == self.profile.zone and not state.stopping
        }
        runners = {
            state.runner_id
            for state in reply.runners
            if state.zone == self.profile.zone and not state.leaving
        }
        self._zone_gateways |= gateways
        self._zone_gateways -= set(reply.gone_gateways)
        self._zone_gateways -= {state.gateway_id for state in reply.gateways if state.stopping}
        self._zone_runners |= runners
        self._zone_runners -= set(reply.gone_runners)
        self._zone_runners -= {state.runner_id for state in reply.runners if state.leaving}
        return bool(
            reply.full_view
            or reply.gateways
            or reply.gone_gateways
            or reply.runners
            or reply.gone_runners
        )

    def _compute_owned(self) -> list[str]:
        mine = self.profile.gateway_id
        candidates = sorted(self._zone_gateways | {mine})
        return [
            runner_id
            for runner_id in sorted(self._zone_runners)
            if max(candidates, key=lambda gateway: _rendezvous(gateway, runner_id)) == mine
        ]

    def _drop_lost_leases(self, lost: set[str]) -> None:
        if not lost:
            return
        with self._lock:
            for ids in self._lease_ids.values():
                ids -= lost


def _rendezvous(gateway_id: str, runner_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{gateway_id}\0{runner_id}".encode())
