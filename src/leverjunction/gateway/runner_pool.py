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
from leverjunction.gateway.routing import (
    Candidate,
    Choice,
    Exclusion,
    RouteQuery,
    affinity_prefix,
    choose,
)
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
        region_zones: Zones of the gateway's region.
        continues: Whether its prompt goes on with an earlier one.
        tried: Runners that failed it before.
    """

    service: str
    model: str
    blocks: Sequence[str]
    serving: ResolvedServing
    region_zones: frozenset[str] = frozenset()
    continues: bool = False
    tried: frozenset[str] = frozenset()


class SendStart(msgspec.Struct, frozen=True, kw_only=True):
    """What the pool knew when a send started.

    Attributes:
        open_before: Own sends that were open on the runner.
        is_probe: True when the send tries a runner that was ejected.
    """

    open_before: int
    is_probe: bool


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
        self._incarnations: dict[str, int] = {}

    def wait_told(self, deadline_s: float) -> None:
        """Wait for a hub's word after a standstill of this process, or until a deadline."""
        self._view.wait_told(deadline_s)

    def candidates(self, needs: RouteNeeds) -> list[Candidate]:
        """Return all runners of the service, with the reason for each that is left out."""
        snapshot = self._view.snapshot
        runners = [item for item in snapshot.runners.values() if item.service == needs.service]
        with self._lock:
            now_s = self._clock.monotonic_s()
            blocked = self._ejection.blocked([item.runner_id for item in runners], now_s)
            return [self._candidate(item, needs, snapshot, blocked) for item in runners]

    def choose(self, candidates: list[Candidate], needs: RouteNeeds) -> Choice:
        """Choose a runner for a request whose turn has come.

        Slots are counted, not held: when a race took the last one, the request goes to a full
        runner rather than back into the queue.
        """
        query = RouteQuery(
            zone=self._zone,
            prompt_blocks=len(needs.blocks),
            prefix_weight=needs.serving.prefix_weight,
            region_zones=needs.region_zones,
            affinity=affinity_prefix(
                needs.blocks,
                continues=needs.continues,
                prefix_weight=needs.serving.prefix_weight,
            ),
        )
        with self._lock:
            choice = choose(candidates, query, self._random)
            if choice.full:
                choice = choose(map(_roomy, candidates), query, self._random)
            return choice

    def sent(self, runner_id: str, attempt_key: str, blocks: Sequence[str]) -> SendStart:
        """Note a send that starts now."""
        with self._lock:
            before = self._ledger.open_count(runner_id)
            self._ledger.sent(runner_id, attempt_key, self._clock.wall_ms())
            self._prefixes.sent(runner_id, blocks)
            is_probe = self._ejection.chosen(runner_id, self._clock.monotonic_s())
            return SendStart(open_before=before, is_probe=is_probe)

    def finished(self, runner_id: str, attempt_key: str) -> None:
        """Note that a send ended."""
        with self._lock:
            self._ledger.finished(runner_id, attempt_key, self._clock.wall_ms())

    def open_sends(self, runner_id: str) -> int:
        """Return the number of own sends that are open on a runner."""
        with self._lock:
            return self._ledger.open_count(runner_id)

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

    def apply_snapshot(self, snapshot: ClusterSnapshot) -> None:
        """Drop what is known of runners that are gone, and the caches of restarted ones."""
        incarnations = {item.runner_id: item.incarnation for item in snapshot.runners.values()}
        with self._lock:
            for runner_id, known in self._incarnations.items():
                if incarnations.get(runner_id) != known:
                    self._prefixes.forget(runner_id)
                if runner_id not in incarnations:
                    self._ejection.succeeded(runner_id)
                    self._ledger.forget(runner_id)
            self._incarnations = incarnations

    def usable_runners(self, snapshot: ClusterSnapshot) -> dict[str, int]:
        """Return by service the runners that are neither leaving, unreachable nor ejected."""
        by_service: dict[str, list[str]] = {}
        for runner in snapshot.runners.values():
            by_service.setdefault(runner.service, [])
            if not runner.leaving and self.is_healthy(runner.runner_id):
                by_service[runner.service].append(runner.runner_id)
        now_s = self._clock.monotonic_s()
        with self._lock:
            return {
                service: len(ids) - len(self._ejection.blocked(ids, now_s))
                for service, ids in by_service.items()
            }

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
