"""Assigns each runner to an owner gateway, by rendezvous hashing over the gateways of its zone.

When a gateway joins or leaves, only the runners that it gains or loses change their owner.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from leverjunction.gateway.view import ClusterSnapshot
from leverjunction.wire.messages import GatewayState, RunnerState


def owner_of(runner: RunnerState, gateways: Iterable[GatewayState]) -> GatewayState | None:
    """Return the gateway that owns a runner, None if there is no gateway to own it.

    The owner is a gateway of the runner's zone, or of any zone if the runner's zone has none.
    A gateway that is stopping owns nothing, so that its runners change their owner before it exits.
    """
    active = [gateway for gateway in gateways if not gateway.stopping]
    local = [gateway for gateway in active if gateway.zone == runner.zone]
    return max(local or active, key=lambda gateway: _weight(gateway, runner), default=None)


def owned_runners(
    gateway_id: str, runners: Iterable[RunnerState], gateways: Iterable[GatewayState]
) -> list[RunnerState]:
    """Return the runners that a gateway owns, in the order of ``runners``."""
    live_gateways = list(gateways)
    owned = []
    for runner in runners:
        owner = owner_of(runner, live_gateways)
        if owner is not None and owner.gateway_id == gateway_id:
            owned.append(runner)
    return owned


class OwnedRunners:
    """Caches the runners that one gateway owns until runners or gateways change.

    Computing them takes about 60 ms with 340 gateways and 1,200 runners, and the gateway receives a
    new view every second.
    """

    def __init__(self, gateway_id: str) -> None:
        self._gateway_id = gateway_id
        self._last_snapshot: ClusterSnapshot | None = None
        self._owned: list[RunnerState] = []

    def update(self, snapshot: ClusterSnapshot) -> list[RunnerState]:
        """Return the runners that the gateway owns in a view.

        The result is computed again only if the view's runners or gateways are other objects than
        those of the previous call.
        """
        last_snapshot = self._last_snapshot
        is_current = last_snapshot is not None and (
            last_snapshot.runners is snapshot.runners
            and last_snapshot.gateways is snapshot.gateways
        )
        if not is_current:
            self._owned = owned_runners(
                self._gateway_id, snapshot.runners.values(), snapshot.gateways.values()
            )
        self._last_snapshot = snapshot
        return self._owned


def _weight(gateway: GatewayState, runner: RunnerState) -> tuple[int, str]:
    # The gateway's id breaks ties, so that all gateways determine the same owner.
    key = f"{gateway.gateway_id}\0{runner.runner_id}".encode()
    return xxhash.xxh64_intdigest(key), gateway.gateway_id
