"""What a hub remembers of one gateway between two exchanges, so that replies are deltas. Pure."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec

from leverjunction.control.membership import Membership
from leverjunction.wire.messages import RunnerDigest

MAX_DIGESTS_PER_REPLY = 32
"""Digests in one reply: about 2 KB of a node's budget of 3 KB/s."""


class GatewaySession:
    """Digests, lost leases and cancelled jobs that one gateway has been told.

    A gateway confirms a reply by sending its ``view_version`` with the next exchange. When it
    sends another one, the reply was lost: what was told since then is told again.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.stamp = 0
        self._reported: dict[str, RunnerDigest] = {}
        self._sent: dict[str, _Sent] = {}
        self._exchanges = 0
        self._lost: set[str] = set()
        self._told_jobs: set[str] = set()

    def reset(self) -> None:
        """Forget what was told: the gateway knows nothing, or a reply was lost."""
        self._sent.clear()
        self._told_jobs.clear()

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

    def digests(self, membership: Membership, zone: str) -> list[RunnerDigest]:
        """Return the most useful changed digests that fit in one reply.

        Order: runners that turned healthy or unhealthy, then those of the gateway's zone, then
        those told longest ago. With few runners all changes fit.
        """
        self._exchanges += 1
        changed = [digest for digest in membership.digests.values() if self._is_news(digest)]
        if len(changed) > MAX_DIGESTS_PER_REPLY:
            changed = heapq.nsmallest(
                MAX_DIGESTS_PER_REPLY, changed, lambda digest: self._rank(digest, membership, zone)
            )
        for digest in changed:
            self._sent[digest.runner_id] = _Sent(digest, self._exchanges)
        self._forget_removed(membership)
        return changed

    def _is_news(self, digest: RunnerDigest) -> bool:
        sent = self._sent.get(digest.runner_id)
        # The map keeps the same object until the value changes: no need to compare the fields.
        if sent is not None and sent.digest is digest:
            return False
        reported = self._reported.get(digest.runner_id)
        return reported is None or reported != digest

    def _rank(
        self, digest: RunnerDigest, membership: Membership, zone: str
    ) -> tuple[bool, bool, int]:
        sent = self._sent.get(digest.runner_id)
        same_health = sent is not None and sent.digest.healthy == digest.healthy
        runner = membership.runners.get(digest.runner_id)
        far = runner is None or runner.zone != zone
        return same_health, far, sent.exchange if sent is not None else 0

    def _forget_removed(self, membership: Membership) -> None:
        if len(self._sent) <= len(membership.digests):
            return
        for runner_id in [key for key in self._sent if key not in membership.digests]:
            del self._sent[runner_id]
            self._reported.pop(runner_id, None)


class _Sent(msgspec.Struct, frozen=True):
    """A digest that was told, and in which exchange."""

    digest: RunnerDigest
    exchange: int
