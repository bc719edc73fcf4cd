"""What a hub remembers of one gateway between two exchanges, so that replies are deltas. Pure."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

import msgspec

from leverjunction.control.membership import Membership
from leverjunction.wire.messages import PendingWork, PlacementStamp, RunnerDigest

MAX_DIGESTS_PER_REPLY = 16
"""Digests in one reply: about 1 KB of a node's budget of 3 KB/s."""

MATERIAL_LOAD_RATIO = 0.15
"""A load within this share of the one told is no news; up to 6 requests each one counts."""

MATERIAL_KV_RATIO = 0.1
REFRESH_MS = 4000
"""A changed reading is told at the latest after this long, material or not."""


class GatewaySession:
    """Digests, lost leases, cancelled jobs and pending work that one gateway has been told.

    A gateway confirms a reply by sending its ``view_version`` with the next exchange. When it
    sends another one, the reply was lost: what was told since then is told again.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.stamp = 0
        self._hubs: list[str] = []
        self._hubs_version: int | None = None
        self._reported: dict[str, RunnerDigest] = {}
        self._sent: dict[str, _Sent] = {}
        self._told_unhealthy: set[str] = set()
        self._exchanges = 0
        self._lost: set[str] = set()
        self._told_jobs: set[str] = set()
        self._told_work: list[PendingWork] | None = None
        self._told_placement: PlacementStamp | None = None

    def reset(self) -> None:
        """Forget what was told: the gateway knows nothing, or a reply was lost."""
        self._sent.clear()
        self._told_unhealthy.clear()
        self._told_jobs.clear()
        self._told_work = None
        self._told_placement = None
        self._hubs = []
        self._hubs_version = None

    def report(self, digests: Iterable[RunnerDigest]) -> None:
        """Note the gateway's own digests, which need not go back to it."""
        for digest in digests:
            self._reported[digest.runner_id] = digest

    def lose(self, lease_ids: Iterable[str]) -> None:
        """Note leases that it holds no longer; told with the next reply."""
        self._lost.update(lease_ids)

    def take_lost(self) -> list[str]:
        """Return the lost leases once; one that is still renewed is lost, and told, again."""
        lost = sorted(self._lost)
        self._lost.clear()
        return lost

    def untold_jobs(self, cancelled: Iterable[str]) -> list[str]:
        """Return those of the lately cancelled jobs that were not told yet."""
        current = set(cancelled)
        fresh = sorted(current - self._told_jobs)
        self._told_jobs = current
        return fresh

    def untold_work(self, pending: list[PendingWork]) -> list[PendingWork] | None:
        """Return where work is pending, None when just that was told last."""
        if pending == self._told_work:
            return None
        self._told_work = pending
        return pending

    def untold_placement(self, stamp: PlacementStamp) -> PlacementStamp | None:
        """Return which placement record the view reflects, None when just that was told last."""
        if stamp == self._told_placement:
            return None
        self._told_placement = stamp
        return stamp

    def untold_hubs(self, settings_version: int, order: Callable[[], list[str]]) -> list[str]:
        """Return the order of hubs unless it was told; it can change only with the settings."""
        if self._hubs_version == settings_version:
            return []
        self._hubs_version = settings_version
        hubs = order()
        if hubs == self._hubs:
            return []
        self._hubs = hubs
        return hubs

    def digests(self, membership: Membership, zone: str) -> list[RunnerDigest]:
        """Return the most useful digests with news for a gateway of ``zone`` that fit in a reply.

        These are of the runners that it may send to as things are (see ``Membership.near``), and
        of others only that they turned healthy or unhealthy. Order: changes of health first, then
        those told longest ago.
        """
        self._exchanges += 1
        near = membership.relevant_runners(zone)
        news = [digest for digest in map(membership.digests.get, near) if self._is_news(digest)]
        far = (membership.unhealthy | self._told_unhealthy).difference(near)
        news += [
            digest
            for digest in map(membership.digests.get, sorted(far))
            if self._has_turned(digest)
        ]
        told = [digest for digest in news if digest is not None]
        if len(told) > MAX_DIGESTS_PER_REPLY:
            told = heapq.nsmallest(MAX_DIGESTS_PER_REPLY, told, self._rank)
        for digest in told:
            self._note_sent(digest)
        self._forget_removed(membership)
        return told

    def _is_news(self, digest: RunnerDigest | None) -> bool:
        if digest is None:
            return False
        sent = self._sent.get(digest.runner_id)
        if sent is None:
            # Its own reading need not go back to it.
            return self._reported.get(digest.runner_id) != digest
        # The map keeps the same object until the value changes: no need to compare the fields.
        if sent.digest is digest or not is_material(sent.digest, digest):
            return False
        return self._reported.get(digest.runner_id) != digest

    def _has_turned(self, digest: RunnerDigest | None) -> bool:
        if digest is None:
            return False
        sent = self._sent.get(digest.runner_id)
        return digest.healthy != (sent.digest.healthy if sent is not None else True)

    def _rank(self, digest: RunnerDigest) -> tuple[bool, int]:
        sent = self._sent.get(digest.runner_id)
        return not self._has_turned(digest), sent.exchange if sent is not None else 0

    def _note_sent(self, digest: RunnerDigest) -> None:
        self._sent[digest.runner_id] = _Sent(digest, self._exchanges)
        if digest.healthy:
            self._told_unhealthy.discard(digest.runner_id)
        else:
            self._told_unhealthy.add(digest.runner_id)

    def _forget_removed(self, membership: Membership) -> None:
        if len(self._sent) <= len(membership.digests):
            return
        for runner_id in [key for key in self._sent if key not in membership.digests]:
            del self._sent[runner_id]
            self._reported.pop(runner_id, None)
            self._told_unhealthy.discard(runner_id)


def is_material(told: RunnerDigest, digest: RunnerDigest) -> bool:
    """Return whether a reading differs from the one told so much that routing would.

    A busy runner's unchanged reading is told again now and then: its time says which of the
    gateway's own sends it already counts.
    """
    if told.healthy != digest.healthy or (told.batch_running > 0) != (digest.batch_running > 0):
        return True
    load, told_load = digest.running + digest.waiting, told.running + told.waiting
    if abs(load - told_load) > MATERIAL_LOAD_RATIO * told_load:
        return True
    if abs(digest.kv_used_ratio - told.kv_used_ratio) >= MATERIAL_KV_RATIO:
        return True
    return digest.as_of_ms - told.as_of_ms >= REFRESH_MS


class _Sent(msgspec.Struct, frozen=True):
    """A digest that was told, and in which exchange."""

    digest: RunnerDigest
    exchange: int
