"""The exchange with the zone's hub, once a second: heartbeat, digests, settings, membership."""

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
    PendingWork,
    RunnerDigest,
)

BUSY_REFRESH_MS = 2000
FIRST_RETRY_S = 0.2
"""Wait after the first failed exchange, for the next hub; doubles up to the interval."""

STALE_SHARE = 0.4
"""Share of the interval after which a hub without a quorum is asked again. An election is over at a
moment that nobody tells: with whole intervals gateways were a version behind for 4.1 to 7.8 s
(simulator), of the 4 s in which a change is to be in force.
"""

MAX_DOUBLINGS = 8
REPORT_VERSION_S = 0.1
"""Wait before the exchange that reports a new version in force."""


class LeaseHolder(Protocol):
    """The harvester's part that holds batch leases."""

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the leases held, by job group."""
        ...

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop leases that are no longer valid and work of cancelled jobs."""
        ...

    def update_pending(self, work: list[PendingWork]) -> None:
        """Take the hub's word of where work is pending."""
        ...


class DigestOutbox:
    """Digests of owned runners that the hub has not confirmed yet. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: dict[str, RunnerDigest] = {}
        self._last: dict[str, RunnerDigest] = {}

    def put(self, digest: RunnerDigest) -> None:
        """Queue a reading if it differs from the last one in more than its time."""
        with self._lock:
            last = self._last.get(digest.runner_id)
            if last is not None and not _is_news(last, digest):
                return
            self._last[digest.runner_id] = digest
            self._pending[digest.runner_id] = digest

    def take(self) -> list[RunnerDigest]:
        """Return the readings to send; give them back with ``restore`` when that fails."""
        with self._lock:
            taken = list(self._pending.values())
            self._pending.clear()
            return taken

    def restore(self, digests: list[RunnerDigest]) -> None:
        """Queue readings again that were not sent, unless newer ones came meanwhile."""
        with self._lock:
            for digest in digests:
                self._pending.setdefault(digest.runner_id, digest)

    def resend_all(self) -> None:
        """Queue the last reading of every runner: a new hub knows none of them."""
        with self._lock:
            self._pending = dict(self._last) | self._pending

    def retain(self, runner_ids: set[str]) -> None:
        """Forget runners that this gateway no longer owns."""
        with self._lock:
            for known in (self._pending, self._last):
                for runner_id in set(known) - runner_ids:
                    del known[runner_id]


class ExchangeLoop:
    """Runs the exchange in its own thread.

    Args:
        control: Client of the hubs.
        identity: Returns this gateway's state as it is now.
        view: Takes in membership and load.
        settings: Takes in settings.
        outbox: Digests to send.
        leases: Batch leases to renew and revoke.
        counters: Counters.
        interval_s: Time between exchanges.
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
        view.on_doubt = self._ask_soon
        view.on_standstill = self._note_standstill

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped = True
        self._wake.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped:
            try:
                self.exchange_once()
            except Exception:
                # The exchange carries the heartbeat: it must outlive any fault.
                logger.exception("exchange failed")
            self._wake.wait(self._wait_s)
            self._wake.clear()

    @property
    def wait_s(self) -> float:
        """Time until the next exchange."""
        return self._wait_s

    def exchange_once(self) -> Failure | None:
        """Do one exchange; also called directly to tell the hub of a stop at once."""
        with self._lock:
            has_settings = self._settings.current.version > 0
            longest_s = EXCHANGE_TIMEOUT_S if has_settings else FULL_EXCHANGE_TIMEOUT_S
            asked_s = self._view.step_begins(longest_s)
            failure = self._exchange_once(asked_s)
            self._view.step_begins(self._wait_s)
            return failure

    def _ask_soon(self) -> None:
        """Exchange now rather than after the interval; after failures the pauses stay."""
        if not self._failures:
            self._wake.set()

    def _note_standstill(self, stood_s: float) -> None:
        self._counters.standstills.inc()
        logger.warning("this process stood still for {:.1f} s; work waits for a hub", stood_s)

    def _exchange_once(self, asked_s: float) -> Failure | None:
        self._wait_s = self._interval_s
        digests = self._outbox.take()
        reply = self._control.exchange(self._request(digests))
        if isinstance(reply, Failure):
            self._outbox.restore(digests)
            self._note_lost(reply)
            self._wait_s = self._spread(FIRST_RETRY_S * 2.0**self._failures)
            self._failures = min(self._failures + 1, MAX_DOUBLINGS)
            return reply
        self._failures = 0
        self._counters.exchanges.labels("ok").inc()
        if reply.quorum_age_s > MAX_QUORUM_AGE_S:
            self._wait_s = self._interval_s * STALE_SHARE
        self._apply(reply)
        self._view.refreshed(asked_s, reply.quorum_age_s)
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
        if reply.pending_work is not None:
            self._leases.update_pending(reply.pending_work)
        self._on_view(after)

    def _apply_settings(self, reply: ExchangeReply) -> None:
        if self._settings.current.version == 0 and reply.quorum_age_s > MAX_QUORUM_AGE_S:
            # Without a copy this gateway cannot tell whether it had a newer version in force: a hub
            # that is cut off from the quorum must not take it back to an older one.
            self._wait_s = self._spread(FIRST_RETRY_S)
            return
        if self._settings.apply(reply.settings, reply.settings_version):
            version = self._settings.current.version
            self._counters.settings_version.set(version)
            logger.info("settings version {} in force", version)
            # The next exchange tells the hub, so that operators see soon where it is in force.
            self._wait_s = self._spread(REPORT_VERSION_S)
        elif reply.settings_retry_after_s > 0:
            # The hub serves only so many whole sets of settings at once: ask again, but spread.
            self._wait_s = self._spread(reply.settings_retry_after_s)

    def _spread(self, wait_s: float) -> float:
        """Return a random wait of about ``wait_s``, never above the interval."""
        return min(self._interval_s, wait_s * (0.5 + self._random.random()))

    def _note_lost(self, failure: Failure) -> None:
        self._counters.exchanges.labels("failed").inc()
        if self._connected:
            self._connected = False
            logger.warning("no hub answers: {}", failure.reason)


def _is_news(last: RunnerDigest, digest: RunnerDigest) -> bool:
    """Return whether a reading is worth its bytes.

    A busy runner's unchanged reading is: its newer time tells which sends it already counts.
    """
    if _load_of(last) != _load_of(digest):
        return True
    is_busy = digest.running + digest.waiting > 0
    return is_busy and digest.as_of_ms - last.as_of_ms >= BUSY_REFRESH_MS


def _load_of(digest: RunnerDigest) -> tuple[object, ...]:
    return (
        digest.running,
        digest.waiting,
        digest.batch_running,
        digest.batch_waiting,
        round(digest.kv_used_ratio, 2),
        digest.healthy,
    )
