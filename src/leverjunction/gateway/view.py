"""The cluster as a gateway last heard of it: gateways, runners and their load digests."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from leverjunction.clock import Clock, SystemClock
from leverjunction.standstills import Freshness
from leverjunction.wire.messages import (
    ExchangeReply,
    GatewayState,
    PlacementStamp,
    RunnerDigest,
    RunnerState,
)

DEFAULT_JOB_GROUPS = 2

STANDSTILL_S = 1.0
"""Shortest standstill after which a hub is asked before work is sent. With the interval between two
exchanges it is below the 2 s in which a leaving runner is known to every gateway.
"""

DOUBT_S = 3.0
"""How long work waits for a hub after a standstill: a hub that stood still as well warms up."""

LOOK_S = 0.05
"""Interval at which waiting work looks whether the doubt is over."""


class ClusterSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """One immutable state of the view; replaced as a whole, so readers need no lock.

    Attributes:
        view_version: Hub's version of this state, 0 when none was heard.
        hub_incarnation: Incarnation of the hub that gave it.
        gateways: Live gateways by id.
        runners: Listed runners by id.
        digests: Newest load reading of each runner by id.
        hubs: RPC addresses of the hubs, nearest first.
        quorum_age_s: Age of the hub's contact with the root group's leader.
        job_groups: Number of job groups.
        placement: Placement record whose withdrawals the runners' models reflect.
    """

    view_version: int = 0
    hub_incarnation: int = 0
    gateways: dict[str, GatewayState] = {}
    runners: dict[str, RunnerState] = {}
    digests: dict[str, RunnerDigest] = {}
    hubs: list[str] = []
    quorum_age_s: float = 0.0
    job_groups: int = DEFAULT_JOB_GROUPS
    placement: PlacementStamp = PlacementStamp()


def apply_reply(state: ClusterSnapshot, reply: ExchangeReply) -> ClusterSnapshot:
    """Return the state after a hub's reply; a full view replaces all that it lists.

    Members that did not change stay the same object, so that what follows from them is worked out
    only when they do: most replies carry digests alone.
    """
    gateways = state.gateways
    if reply.full_view or reply.gateways or reply.gone_gateways:
        gateways = {} if reply.full_view else dict(state.gateways)
        gateways.update((gateway.gateway_id, gateway) for gateway in reply.gateways)
        for gateway_id in reply.gone_gateways:
            gateways.pop(gateway_id, None)
    runners = state.runners
    if reply.full_view or reply.runners or reply.gone_runners:
        runners = {} if reply.full_view else dict(state.runners)
        runners.update((runner.runner_id, runner) for runner in reply.runners)
        for runner_id in reply.gone_runners:
            runners.pop(runner_id, None)
    digests = dict(state.digests)
    for digest in reply.digests:
        _put_newer(digests, digest)
    digests = {runner_id: digest for runner_id, digest in digests.items() if runner_id in runners}
    return ClusterSnapshot(
        view_version=reply.view_version,
        hub_incarnation=reply.hub_incarnation,
        gateways=gateways,
        runners=runners,
        digests=digests,
        hubs=list(reply.hubs) or state.hubs,
        quorum_age_s=reply.quorum_age_s,
        job_groups=getattr(reply, "job_groups", state.job_groups),
        placement=state.placement if reply.placement is None else reply.placement,
    )


def put_digest(state: ClusterSnapshot, digest: RunnerDigest) -> ClusterSnapshot:
    """Return the state with this gateway's own newer reading of a runner."""
    digests = dict(state.digests)
    _put_newer(digests, digest)
    return msgspec.structs.replace(state, digests=digests)


def _put_newer(digests: dict[str, RunnerDigest], digest: RunnerDigest) -> None:
    """Keep the newer reading: digests that crossed on their way must not turn time back."""
    known = digests.get(digest.runner_id)
    if known is None or digest.as_of_ms >= known.as_of_ms:
        digests[digest.runner_id] = digest


class ClusterView:
    """Holds the current snapshot. Written by the exchange and the owner loop, read by all.

    Attributes:
        on_doubt: Called when work waits for a hub's word; must not block.
        on_standstill: Called with the seconds for which this process stood still.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._told = threading.Condition()
        self._freshness = Freshness(STANDSTILL_S, DOUBT_S)
        self._snapshot = ClusterSnapshot()
        self.on_doubt: Callable[[], None] = _nobody_asks
        self.on_standstill: Callable[[float], None] = _nobody_is_told

    @property
    def snapshot(self) -> ClusterSnapshot:
        """Return the current state."""
        return self._snapshot

    def apply(self, reply: ExchangeReply) -> ClusterSnapshot:
        """Apply a hub's reply and return the new state."""
        with self._lock:
            self._snapshot = apply_reply(self._snapshot, reply)
            return self._snapshot

    def observe(self, digest: RunnerDigest) -> None:
        """Take in this gateway's own reading of a runner that it owns."""
        with self._lock:
            self._snapshot = put_digest(self._snapshot, digest)

    def step_begins(self, longest_s: float) -> float:
        """Note that the exchange begins a step of ``longest_s`` at most; returns the time."""
        now_s = self._clock.monotonic_s()
        with self._told:
            stood_s = self._freshness.step_begins(now_s, longest_s)
        if stood_s > 0:
            self.on_standstill(stood_s)
        return now_s

    def refreshed(self, asked_s: float, quorum_age_s: float) -> None:
        """Note that a hub, asked at a moment, told what it knows.

        A hub that stood still as well knows no more than this process until it hears its leader.
        """
        known_s = asked_s if quorum_age_s < STANDSTILL_S else asked_s - quorum_age_s
        with self._told:
            self._freshness.refreshed(known_s)
            self._told.notify_all()

    def is_in_doubt(self) -> bool:
        """Return whether this process stood still and has not heard a hub since."""
        return self._freshness.is_in_doubt(self._clock.monotonic_s())

    def wait_until_current(self, deadline_s: float) -> None:
        """Return once the view is not in doubt, or when a deadline has passed."""
        if not self.is_in_doubt():
            return
        self.on_doubt()
        with self._told:
            while self.is_in_doubt() and self._clock.monotonic_s() < deadline_s:
                self._told.wait(LOOK_S)


def _nobody_asks() -> None:
    """Stand in for the exchange."""


def _nobody_is_told(_stood_s: float) -> None:
    """Stand in for who counts standstills."""
