"""Periodic exchange between a gateway and a hub of the control processes.

Each request is the gateway's heartbeat and carries the load digests of the runners that it owns.
Each reply carries changes of the settings, of the cluster's members and of other runners' load.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from typing import Protocol

import msgspec
from loguru import logger

from leverjunction.errors import Failure
from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.control_client import (
    EXCHANGE_TIMEOUT_S,
    FULL_EXCHANGE_TIMEOUT_S,
    MAX_QUORUM_AGE_S,
    ControlClient,
)
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    JobAlert,
    PendingWork,
    RunnerDigest,
)

BUSY_REFRESH_MS = 2000
"""Age of the last sent digest after which an unchanged digest of a busy runner is sent again."""

INITIAL_RETRY_DELAY_S = 0.2
"""Mean delay after the first failed exchange; doubles with each failure, up to the interval."""

STALE_INTERVAL_RATIO = 0.4
"""Fraction of the interval after which a hub without contact to a quorum is polled again.

Gateways are not notified of the end of an election. With full intervals, gateways in the simulator
were one settings version behind for 4.1 to 7.8 s; a change must be in force within 4 s.
"""

MAX_RETRY_DOUBLINGS = 8
VERSION_REPORT_DELAY_S = 0.1
"""Mean delay before the exchange that reports a newly applied settings version."""


class LeaseHolder(Protocol):
    """Interface of the batch harvester for the leases that it holds."""

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the ids of the held leases by job group."""
        ...

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop leases that are no longer valid and the work of cancelled jobs."""
        ...

    def alerted(self, alerts: list[JobAlert]) -> None:
        """Take note of jobs that have lost runners lately."""
        ...

    def update_pending(self, work: list[PendingWork]) -> None:
        """Update the job groups and services that have pending work according to the hub."""
        ...


class DigestOutbox:
    """Load digests of owned runners that are still to be sent to a hub. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[str, RunnerDigest] = {}
        self._last: dict[str, RunnerDigest] = {}

    def put(self, digest: RunnerDigest) -> None:
        """Queue a digest unless it repeats the runner's last one; see ``_has_changed``."""
        with self._lock:
            last = self._last.get(digest.runner_id)
            if last is not None and not _has_changed(last, digest):
                return
            self._last[digest.runner_id] = digest
            self._pending[digest.runner_id] = digest

    def take(self) -> list[RunnerDigest]:
        """Remove and return the queued digests; pass them to ``restore`` if the send fails."""
        with self._lock:
            taken = list(self._pending.values())
            self._pending.clear()
            return taken

    def restore(self, digests: list[RunnerDigest]) -> None:
        """Queue digests again whose send failed, except where a newer one is queued already."""
        with self._lock:
            for digest in digests:
                self._pending.setdefault(digest.runner_id, digest)

    def resend_all(self) -> None:
        """Queue the last digest of every runner, for a hub that has received none of them."""
        with self._lock:
            self._pending = dict(self._last) | self._pending

    def retain(self, runner_ids: set[str]) -> None:
        """Remove the digests of all runners except those in ``runner_ids``."""
        with self._lock:
            for digests in (self._pending, self._last):
                for runner_id in set(digests) - runner_ids:
                    del digests[runner_id]


class ExchangeLoop:
    """Performs the exchanges in a background thread.

    Args:
        control: Client of the hubs.
        identity: Returns this gateway's current state.
        view: Receives the members and their load.
        settings: Receives the settings.
        outbox: Digests to send.
        leases: Batch leases to renew and revoke.
        counters: Metrics of the gateway.
        interval_s: Time between exchanges in seconds.
        on_view: Called after every reply with the new view.
    """

    def __init__(
        self,
        control: ControlClient,
        identity: Callable[[], GatewayState],
        view: ClusterView,
        settings: SettingsStore,
        outbox: DigestOutbox,
        leases: LeaseHolder,
        counters: GatewayCounters,
        interval_s: float,
        on_view: Callable[[ClusterSnapshot], None],
    ) -> None:
        self._control = control
        self._identity = identity
        self._view = view
        self._settings = settings
        self._outbox = outbox
        self._leases = leases
        self._counters = counters
        self._interval_s = interval_s
        self._wait_s = interval_s
        self._failures = 0
        self._random = random.Random()
        self._on_view = on_view
        self._wake = threading.Event()
        self._stopped = False
        self._connected = False
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="exchange", daemon=True)
        view.on_doubt = self._exchange_early
        view.on_standstill = self._record_standstill

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread and wait for its end."""
        self._stopped = True
        self._wake.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped:
            try:
                self.exchange_once()
            except Exception:
                # The exchange carries this gateway's heartbeat, so the loop must survive any error.
                logger.exception("unexpected error during the exchange with the hub")
            self._wake.wait(self._wait_s)
            self._wake.clear()

    @property
    def wait_s(self) -> float:
        """Time in seconds between the last exchange and the next one."""
        return self._wait_s

    def exchange_once(self) -> Failure | None:
        """Perform one exchange; also called directly to report a planned stop immediately.

        Returns:
            The failure if no hub replied, otherwise None.
        """
        with self._lock:
            has_settings = self._settings.current.version > 0
            timeout_s = EXCHANGE_TIMEOUT_S if has_settings else FULL_EXCHANGE_TIMEOUT_S
            sent_s = self._view.begin_step(timeout_s)
            failure = self._exchange_once(sent_s)
            self._view.begin_step(self._wait_s)
            return failure

    def _exchange_early(self) -> None:
        """Start the next exchange immediately, except during the backoff after a failure."""
        if not self._failures:
            self._wake.set()

    def _record_standstill(self, duration_s: float) -> None:
        self._counters.standstills.inc()
        logger.warning(
            "this process was paused for {:.1f} s; requests wait for a reply from a hub", duration_s
        )

    def _exchange_once(self, sent_s: float) -> Failure | None:
        self._wait_s = self._interval_s
        digests = self._outbox.take()
        reply = self._control.exchange(self._request(digests))
        if isinstance(reply, Failure):
            self._outbox.restore(digests)
            self._record_failure(reply)
            self._wait_s = self._with_jitter(INITIAL_RETRY_DELAY_S * 2.0**self._failures)
            self._failures = min(self._failures + 1, MAX_RETRY_DOUBLINGS)
            return reply
        self._failures = 0
        self._counters.exchanges.labels("ok").inc()
        if reply.quorum_age_s > MAX_QUORUM_AGE_S:
            self._wait_s = self._interval_s * STALE_INTERVAL_RATIO
        self._apply(reply)
        self._view.mark_current(sent_s, reply.quorum_age_s)
        return None

    def _request(self, digests: list[RunnerDigest]) -> ExchangeRequest:
        snapshot = self._view.snapshot
        version = self._settings.current.version
        return ExchangeRequest(
            gateway=msgspec.structs.replace(self._identity(), settings_version=version),
            settings_version=version,
            view_version=snapshot.view_version,
            hub_incarnation=snapshot.hub_incarnation,
            digests=digests,
            lease_ids=self._leases.lease_ids(),
            placement=snapshot.placement,
        )

    def _apply(self, reply: ExchangeReply) -> None:
        before = self._view.snapshot
        self._apply_settings(reply)
        after = self._view.apply(reply)
        self._counters.hub_quorum_age_s.set(reply.quorum_age_s)
        if not self._connected or before.hub_incarnation != after.hub_incarnation:
            self._connected = True
            self._outbox.resend_all()
            logger.info("connected to hub {}", self._control.hub)
        if reply.lost_lease_ids or reply.cancelled_jobs:
            self._leases.revoke(reply.lost_lease_ids, reply.cancelled_jobs)
        if reply.job_alerts:
            self._leases.alerted(reply.job_alerts)
        if reply.pending_work is not None:
            self._leases.update_pending(reply.pending_work)
        self._on_view(after)

    def _apply_settings(self, reply: ExchangeReply) -> None:
        if self._settings.current.version == 0 and reply.quorum_age_s > MAX_QUORUM_AGE_S:
            # Without a saved copy of the settings, this gateway does not know whether it had a
            # newer version in force before its restart. A hub that is cut off from the quorum must
            # not revert it to an older version.
            self._wait_s = self._with_jitter(INITIAL_RETRY_DELAY_S)
            return
        if self._settings.apply(reply.settings, reply.settings_version):
            version = self._settings.current.version
            self._counters.settings_version.set(version)
            logger.info("settings version {} in force", version)
            # An early exchange reports the version to the hub, where operators watch the rollout.
            self._wait_s = self._with_jitter(VERSION_REPORT_DELAY_S)
        elif reply.settings_retry_after_s > 0:
            # The hub limits the number of full settings transfers at a time. The random part of
            # the delay spreads the retries of the gateways.
            self._wait_s = self._with_jitter(reply.settings_retry_after_s)

    def _with_jitter(self, wait_s: float) -> float:
        """Return ``wait_s`` with a random factor of 0.5 to 1.5, at most the interval."""
        return min(self._interval_s, wait_s * (0.5 + self._random.random()))

    def _record_failure(self, failure: Failure) -> None:
        self._counters.exchanges.labels("failed").inc()
        if self._connected:
            self._connected = False
            logger.warning("no hub replies: {}", failure.reason)


def _has_changed(last: RunnerDigest, digest: RunnerDigest) -> bool:
    """Return whether a digest contains information that the last one did not.

    For a busy runner, an unchanged load is worth sending again after ``BUSY_REFRESH_MS``: from the
    digest's time, gateways determine which of their requests the load already includes.
    """
    if _load_values(last) != _load_values(digest):
        return True
    is_busy = digest.running + digest.waiting > 0
    return is_busy and digest.as_of_ms - last.as_of_ms >= BUSY_REFRESH_MS


def _load_values(digest: RunnerDigest) -> tuple[object, ...]:
    return (
        digest.running,
        digest.waiting,
        digest.batch_running,
        digest.batch_waiting,
        round(digest.kv_used_ratio, 2),
        digest.healthy,
    )
