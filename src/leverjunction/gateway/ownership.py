"""Which gateway owns a runner: rendezvous hashing over the live gateways of its zone.

A gateway that comes or goes moves only the runners that it wins or loses.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from leverjunction.wire.messages import GatewayState, RunnerState


def owner_of(runner: RunnerState, gateways: Iterable[GatewayState]) -> GatewayState | None:
    """Return the gateway that owns a runner.

    Gateways of the runner's zone go first; a zone without one is looked after by all others.
    Stopping gateways own nothing, so that their runners move before they leave.
    """
    live = [gateway for gateway in gateways if not gateway.stopping]
    near = [gateway for gateway in live if gateway.zone == runner.zone]
    return max(near or live, key=lambda gateway: _weight(gateway, runner), default=None)


def owned_runners(
    gateway_id: str, runners: Iterable[RunnerState], gateways: Iterable[GatewayState]
) -> list[RunnerState]:
    """Return the runners that a gateway owns."""
    known = list(gateways)
    owned = []
    for runner in runners:
        owner = owner_of(runner, known)
        if owner is not None and owner.gateway_id == gateway_id:
            owned.append(runner)
    return owned


def _weight(gateway: GatewayState, runner: RunnerState) -> tuple[int, str]:
    # The id breaks ties, so that all gateways agree.
    key = f"{gateway.gateway_id}\0{runner.runner_id}".encode()
    return xxhash.xxh64_intdigest(key), gateway.gateway_id
