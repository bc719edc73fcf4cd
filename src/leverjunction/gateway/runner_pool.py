"""The runners as this gateway routes to them: view, own sends, prefix index and ejection."""

from __future__ import annotations

import random
import threading
from collections.abc import Sequence

import msgspec

from leverjunction.backends.types import CacheEvent
from leverjunction.clock import Clock
from leverjunction.gateway.ejection import Ejection
from leverjunction.gateway.prefix_index import PrefixIndex
from leverjunction.gateway.routing import Candidate, Choice, Exclusion, RouteQuery, choose
from leverjunction.gateway.send_ledger import SendLedger
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.settings.resolved import ResolvedServing
from leverjunction.wire.messages import RunnerState


class RouteNeeds(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs of a runner.

    Attributes:
        service: Service that serves its model.
        model: ``model`` or ``model:adapter``.
        blocks: Hashes of its prompt's cache blocks.
        serving: Settings in force for it.
        tried: Runners that failed it before.
    """

    service: str
    model: str
    blocks: Sequence[str]
    serving: ResolvedServing
    tried: frozenset[str] = frozenset()


class RunnerPool:
    """Thread-safe shell around the pure cores of routing."""

    def __init__(
        self, view: ClusterView, zone: str, clock: Clock, generator: random.Random
    ) -> None:
        self._view = view
        self._zone = zone
        self._clock = clock
        self._random = generator
        self._lock = threading.Lock()
        self._ledger = SendLedger()
        self._prefixes = PrefixIndex()
        self._ejection = Ejection()

    def candidates(self, needs: RouteNeeds) -> list[Candidate]:
        """Return all runners of the service, with the reason for each that is left out."""
        snapshot = self._view.snapshot
        runners = [item for item in snapshot.runners.values() if item.service == needs.service]
        with self._lock:
            now_s = self._clock.monotonic_s()
            blocked = self._ejection.blocked([item.runner_id for item in runners], now_s)
            return [self._candidate(item, needs, snapshot, blocked) for item in runners]

    def choose(
        self, candidates: list[Candidate], needs: RouteNeeds, *, ignore_full: bool = False
    ) -> Choice:
        """Choose a runner; ``ignore_full`` for a request whose turn in the queue has come."""
        query = RouteQuery(
            zone=self._zone,
            prompt_blocks=len(needs.blocks),
            prefix_weight=needs.serving.prefix_weight,
        )
        if ignore_full:
            candidates = [_roomy(candidate) for candidate in candidates]
        with self._lock:
            return choose(candidates, query, self._random)

    def sent(self, runner_id: str, attempt_key: str, blocks: Sequence[str]) -> int:
        """Note a send; returns the own sends that were open on the runner before it."""
        with self._lock:
            before = self._ledger.open_count(runner_id)
            self._ledger.sent(runner_id, attempt_key, self._clock.wall_ms())
            self._prefixes.sent(runner_id, blocks)
            self._ejection.chosen(runner_id, self._clock.monotonic_s())
            return before

    def finished(self, runner_id: str, attempt_key: str) -> None:
        """Note that a send ended."""
        with self._lock:
            self._ledger.finished(runner_id, attempt_key, self._clock.wall_ms())

    def succeeded(self, runner_id: str) -> None:
        """Note a proper answer of a runner."""
        with self._lock:
            self._ejection.succeeded(runner_id)

    def failed(self, runner_id: str) -> float | None:
        """Note a runner's failure; returns for how long it is ejected, None when it is not."""
        with self._lock:
            return self._ejection.failed(runner_id, self._clock.monotonic_s(), self._random)

    def abandoned(self, runner_id: str) -> None:
        """Note an end that says nothing about the runner."""
        with self._lock:
            self._ejection.abandoned(runner_id)

    def observe_cache(self, runner_id: str, event: CacheEvent) -> bool:
        """Take in a cache event; returns False when a snapshot is needed."""
        with self._lock:
            return self._prefixes.apply(runner_id, event)

    def forget(self, runner_id: str) -> None:
        """Drop what is known of a runner that is gone."""
        with self._lock:
            self._ledger.forget(runner_id)
            self._prefixes.forget(runner_id)
            self._ejection.succeeded(runner_id)

    def is_healthy(self, runner_id: str) -> bool:
        """Return whether a runner is listed and its owner can reach it."""
        snapshot = self._view.snapshot
        digest = snapshot.digests.get(runner_id)
        return runner_id in snapshot.runners and (digest is None or digest.healthy)

    def _candidate(
        self,
        runner: RunnerState,
        needs: RouteNeeds,
        snapshot: ClusterSnapshot,
        blocked: set[str],
    ) -> Candidate:
        digest = snapshot.digests.get(runner.runner_id)
        excluded: Exclusion | None = None
        if runner.leaving:
            excluded = Exclusion.LEAVING
        elif needs.model not in runner.models:
            excluded = Exclusion.NOT_READY
        elif digest is not None and not digest.healthy:
            excluded = Exclusion.UNHEALTHY
        elif runner.runner_id in blocked:
            excluded = Exclusion.EJECTED
        elif runner.runner_id in needs.tried:
            excluded = Exclusion.TRIED
        return Candidate(
            runner_id=runner.runner_id,
            address=runner.address,
            zone=runner.zone,
            load=self._ledger.expected_load(runner.runner_id, digest),
            capacity=needs.serving.max_running_per_runner,
            overlap_blocks=self._prefixes.overlap(runner.runner_id, needs.blocks),
            excluded=excluded,
        )


def _roomy(candidate: Candidate) -> Candidate:
    # A grant from the queue was given for a slot; a race for it must not send the holder back.
    return msgspec.structs.replace(
        candidate, capacity=max(candidate.capacity, int(candidate.load) + 1)
    )
