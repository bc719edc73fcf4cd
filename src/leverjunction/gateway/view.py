"""A gateway's view of the cluster: gateways, runners and their load digests.

The view is that of the last reply from a hub. It is in doubt if the gateway's own process was
paused since then (a standstill); requests then wait for the next reply.
"""

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
"""Shortest pause of the process after which requests wait for a reply of a hub.

Its sum with the interval between two exchanges is below the 2 s within which every gateway must
know of a leaving runner.
"""

DOUBT_S = 3.0
"""Longest wait for a reply after a standstill; a hub that was paused as well warms up first."""

CHECK_INTERVAL_S = 0.05
"""Interval at which a waiting request checks whether the view is current again."""


class ClusterSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """One immutable state of the view; replaced as a whole, so readers need no lock.

    Attributes:
        view_version: The hub's version of this state, 0 before the first reply.
        hub_incarnation: Incarnation of the hub that sent it.
        gateways: Live gateways by id.
        runners: Listed runners by id.
        digests: Newest load digest of each runner, by runner id.
        hubs: RPC addresses of the hubs, nearest first.
        quorum_age_s: Seconds since the hub's last contact with the leader of the root group.
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
    """Return the state after a hub's reply; a full view replaces all gateways and runners.

    Most replies carry digests only. Mappings of members that did not change stay the same objects,
    so that results derived from them are recomputed only after a change.
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
    """Return the state with a digest that this gateway measured, unless it has a newer one."""
    digests = dict(state.digests)
    _put_newer(digests, digest)
    return msgspec.structs.replace(state, digests=digests)


def _put_newer(digests: dict[str, RunnerDigest], digest: RunnerDigest) -> None:
    """Store a digest unless a newer one is stored; digests may arrive out of order."""
    stored = digests.get(digest.runner_id)
    if stored is None or digest.as_of_ms >= stored.as_of_ms:
        digests[digest.runner_id] = digest


class ClusterView:
    """Holds the current snapshot. Thread-safe.

    The exchange loop and the runner poller write it; all other threads only read it.

    Attributes:
        on_doubt: Called when a request starts to wait for a hub's reply; must not block.
        on_standstill: Called with the duration in seconds of a pause of this process.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._updated = threading.Condition()
        self._freshness = Freshness(STANDSTILL_S, DOUBT_S)
        self._snapshot = ClusterSnapshot()
        self.on_doubt: Callable[[], None] = _ignore_doubt
        self.on_standstill: Callable[[float], None] = _ignore_standstill

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
        """Add a load digest of a runner that this gateway owns."""
        with self._lock:
            self._snapshot = put_digest(self._snapshot, digest)

    def begin_step(self, max_duration_s: float) -> float:
        """Record the start of a step of the exchange loop, to detect pauses of this process.

        The process was paused if the next step starts much later than this one may end.

        Args:
            max_duration_s: Longest duration of the step in seconds.

        Returns:
            The current monotonic time in seconds.
        """
        now_s = self._clock.monotonic_s()
        with self._updated:
            paused_s = self._freshness.step_begins(now_s, max_duration_s)
        if paused_s > 0:
            self.on_standstill(paused_s)
        return now_s

    def mark_current(self, sent_s: float, quorum_age_s: float) -> None:
        """Record a hub's reply, which ends the doubt about the view if it is recent enough.

        A hub that was paused as well has no newer state until its next contact with its leader.

        Args:
            sent_s: Monotonic time at which the request was sent.
            quorum_age_s: Seconds since the hub's last contact with its leader.
        """
        known_s = sent_s if quorum_age_s < STANDSTILL_S else sent_s - quorum_age_s
        with self._updated:
            self._freshness.refreshed(known_s)
            self._updated.notify_all()

    def is_in_doubt(self) -> bool:
        """Return whether the view may be outdated by a recent pause of this process.

        The doubt ends with a hub's reply, or without one after ``DOUBT_S``.
        """
        return self._freshness.is_in_doubt(self._clock.monotonic_s())

    def last_pause_end_s(self) -> float:
        """Return when the last detected pause of this process ended; see ``Freshness``.

        A decision by this view must not be carried out if the value has changed since.
        """
        return self._freshness.last_pause_end_s(self._clock.monotonic_s())

    def wait_until_current(self, deadline_s: float) -> float:
        """Wait until the view is no longer in doubt.

        Args:
            deadline_s: Monotonic time at which the wait ends in any case.

        Returns:
            ``last_pause_end_s`` from before the view was found to be current.
        """
        pause_end_s = self.last_pause_end_s()
        if not self.is_in_doubt():
            return pause_end_s
        self.on_doubt()
        with self._updated:
            while self.is_in_doubt() and self._clock.monotonic_s() < deadline_s:
                self._updated.wait(CHECK_INTERVAL_S)
                pause_end_s = self.last_pause_end_s()
        return pause_end_s


def _ignore_doubt() -> None:
    """Do nothing; used while no exchange loop has set ``on_doubt``."""


def _ignore_standstill(_duration_s: float) -> None:
    """Do nothing; used while no exchange loop has set ``on_standstill``."""
