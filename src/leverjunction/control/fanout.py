"""State that a hub keeps for each gateway, so that exchange replies are deltas. Pure: no I/O."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

import msgspec

from leverjunction.control.membership import Membership
from leverjunction.wire.messages import PendingWork, PlacementStamp, RunnerDigest

MAX_DIGESTS_PER_REPLY = 16
"""Maximum number of digests in one reply: about 1 KB of a node's budget of 3 KB/s."""

MATERIAL_LOAD_RATIO = 0.15
"""A load that differs from the sent one by at most this ratio is not resent. At up to 6 requests,
any difference is resent.
"""

MATERIAL_KV_RATIO = 0.1
REFRESH_MS = 4000
"""A changed digest is resent after this long even if the change is not material."""


class GatewaySession:
    """Tracks what has been sent to one gateway: digests, lost leases, cancelled jobs, pending work.

    A gateway acknowledges a reply by sending its ``view_version`` with the next exchange. Any other
    version means that the reply was lost, and what was sent is sent again.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.stamp = 0
        self._hubs: list[str] = []
        self._hubs_version: int | None = None
        self._reported: dict[str, RunnerDigest] = {}
        self._sent_digests: dict[str, _SentDigest] = {}
        self._sent_unhealthy: set[str] = set()
        self._exchanges = 0
        self._lost: set[str] = set()
        self._sent_jobs: set[str] = set()
        self._sent_work: list[PendingWork] | None = None
        self._sent_placement: PlacementStamp | None = None

    def reset(self) -> None:
        """Forget what was sent, because the gateway has no state or a reply was lost."""
        self._sent_digests.clear()
        self._sent_unhealthy.clear()
        self._sent_jobs.clear()
        self._sent_work = None
        self._sent_placement = None
        self._hubs = []
        self._hubs_version = None

    def record_reported(self, digests: Iterable[RunnerDigest]) -> None:
        """Record the digests that the gateway reported; they need not be sent back to it."""
        for digest in digests:
            self._reported[digest.runner_id] = digest

    def add_lost_leases(self, lease_ids: Iterable[str]) -> None:
        """Record leases that the gateway has lost, for the next reply."""
        self._lost.update(lease_ids)

    def take_lost_leases(self) -> list[str]:
        """Return and clear the lost leases.

        If a reply is lost, the gateway renews the lease again, and it is again reported as lost.
        """
        lost = sorted(self._lost)
        self._lost.clear()
        return lost

    def new_cancelled_jobs(self, cancelled: Iterable[str]) -> list[str]:
        """Return the recently cancelled jobs that have not been sent yet."""
        current = set(cancelled)
        new = sorted(current - self._sent_jobs)
        self._sent_jobs = current
        return new

    def changed_pending_work(self, pending: list[PendingWork]) -> list[PendingWork] | None:
        """Return the pending work, or None if it is unchanged since it was last sent."""
        if pending == self._sent_work:
            return None
        self._sent_work = pending
        return pending

    def changed_placement(self, stamp: PlacementStamp) -> PlacementStamp | None:
        """Return the placement stamp, or None if it is unchanged since it was last sent."""
        if stamp == self._sent_placement:
            return None
        self._sent_placement = stamp
        return stamp

    def changed_hubs(self, settings_version: int, order: Callable[[], list[str]]) -> list[str]:
        """Return the hubs in order of preference, or [] if this order was sent.

        Args:
            settings_version: Version of the settings; the order changes only with it.
            order: Computes the order.
        """
        if self._hubs_version == settings_version:
            return []
        self._hubs_version = settings_version
        hubs = order()
        if hubs == self._hubs:
            return []
        self._hubs = hubs
        return hubs

    def digests(self, membership: Membership, zone: str) -> list[RunnerDigest]:
        """Return the changed digests for a gateway of ``zone``, at most ``MAX_DIGESTS_PER_REPLY``.

        Runners to which the gateway may currently send requests are covered in full (see
        ``Membership.relevant_runners``); of other runners only changes of health are sent. If
        there are too many digests, changes of health come first, then those sent longest ago.
        """
        self._exchanges += 1
        relevant = membership.relevant_runners(zone)
        changed = [
            digest
            for digest in map(membership.digests.get, relevant)
            if self._needs_sending(digest)
        ]
        other = (membership.unhealthy | self._sent_unhealthy).difference(relevant)
        changed += [
            digest
            for digest in map(membership.digests.get, sorted(other))
            if self._health_changed(digest)
        ]
        selected = [digest for digest in changed if digest is not None]
        if len(selected) > MAX_DIGESTS_PER_REPLY:
            selected = heapq.nsmallest(MAX_DIGESTS_PER_REPLY, selected, self._send_rank)
        for digest in selected:
            self._record_sent(digest)
        self._drop_removed(membership)
        return selected

    def _needs_sending(self, digest: RunnerDigest | None) -> bool:
        if digest is None:
            return False
        sent = self._sent_digests.get(digest.runner_id)
        if sent is None:
            # The gateway's own digest need not be sent back to it.
            return self._reported.get(digest.runner_id) != digest
        # The map keeps the same object until the value changes, so identity implies equality.
        if sent.digest is digest or not is_material(sent.digest, digest):
            return False
        return self._reported.get(digest.runner_id) != digest

    def _health_changed(self, digest: RunnerDigest | None) -> bool:
        if digest is None:
            return False
        sent = self._sent_digests.get(digest.runner_id)
        return digest.healthy != (sent.digest.healthy if sent is not None else True)

    def _send_rank(self, digest: RunnerDigest) -> tuple[bool, int]:
        sent = self._sent_digests.get(digest.runner_id)
        return not self._health_changed(digest), sent.exchange if sent is not None else 0

    def _record_sent(self, digest: RunnerDigest) -> None:
        self._sent_digests[digest.runner_id] = _SentDigest(digest, self._exchanges)
        if digest.healthy:
            self._sent_unhealthy.discard(digest.runner_id)
        else:
            self._sent_unhealthy.add(digest.runner_id)

    def _drop_removed(self, membership: Membership) -> None:
        if len(self._sent_digests) <= len(membership.digests):
            return
        for runner_id in [key for key in self._sent_digests if key not in membership.digests]:
            del self._sent_digests[runner_id]
            self._reported.pop(runner_id, None)
            self._sent_unhealthy.discard(runner_id)


def is_material(sent: RunnerDigest, digest: RunnerDigest) -> bool:
    """Return whether a digest differs enough from the sent one to affect routing.

    A digest of unchanged load also counts after ``REFRESH_MS``: its timestamp tells the gateway
    which of its own requests the load already includes.

    Args:
        sent: The digest that the gateway was last sent.
        digest: The current digest.
    """
    if sent.healthy != digest.healthy or (sent.batch_running > 0) != (digest.batch_running > 0):
        return True
    load, sent_load = digest.running + digest.waiting, sent.running + sent.waiting
    if abs(load - sent_load) > MATERIAL_LOAD_RATIO * sent_load:
        return True
    if abs(digest.kv_used_ratio - sent.kv_used_ratio) >= MATERIAL_KV_RATIO:
        return True
    return digest.as_of_ms - sent.as_of_ms >= REFRESH_MS


class _SentDigest(msgspec.Struct, frozen=True):
    """A digest that was sent, and the number of the exchange in which it was sent."""

    digest: RunnerDigest
    exchange: int
