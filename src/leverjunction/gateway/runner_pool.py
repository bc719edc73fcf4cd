"""State of the runners that routing depends on: view, own sends, prefix index and ejection."""

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
    """Requirements of a request on its runner.

    Attributes:
        service: Service that serves the request's model.
        model: ``model`` or ``model:adapter``.
        blocks: Hashes of the prompt's cache blocks.
        serving: Settings in force for the request.
        region_zones: Zones of the gateway's region.
        continues: True if the prompt continues an earlier conversation.
        tried: Ids of runners on which the request has failed already.
    """

    service: str
    model: str
    blocks: Sequence[str]
    serving: ResolvedServing
    region_zones: frozenset[str] = frozenset()
    continues: bool = False
    tried: frozenset[str] = frozenset()


class SendStart(msgspec.Struct, frozen=True, kw_only=True):
    """State of a runner when a send to it started.

    Attributes:
        open_before: Number of this gateway's sends that were already open on the runner.
        is_probe: True if the send probes a runner after its ejection.
    """

    open_before: int
    is_probe: bool


class RunnerPool:
    """Thread-safe access to the state that routing depends on.

    Args:
        view: The cluster's state as received from the hub.
        zone: Zone of this gateway.
        clock: Clock.
        generator: Random generator for the selection of runners and the jitter of ejections.
    """

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

    def wait_for_current_view(self, deadline_s: float) -> float:
        """After a pause of this process, wait until a hub has replied or a deadline has passed.

        During a pause, for example while the machine is suspended, the view becomes outdated.

        Args:
            deadline_s: Monotonic time in seconds.

        Returns:
            Argument of ``was_paused_since`` for a choice that is made by this view.
        """
        return self._view.wait_until_current(deadline_s)

    def was_paused_since(self, pause_end_s: float) -> bool:
        """Return whether this process was paused after ``wait_for_current_view`` returned."""
        return self._view.last_pause_end_s() != pause_end_s

    def candidates(self, needs: RouteNeeds) -> list[Candidate]:
        """Return all runners of a service, each with the reason for its exclusion, if any."""
        snapshot = self._view.snapshot
        runners = [item for item in snapshot.runners.values() if item.service == needs.service]
        with self._lock:
            now_s = self._clock.monotonic_s()
            blocked = self._ejection.blocked([item.runner_id for item in runners], now_s)
            return [self._candidate(item, needs, snapshot, blocked) for item in runners]

    def choose(self, candidates: list[Candidate], needs: RouteNeeds) -> Choice:
        """Select a runner for an admitted request.

        Admission counts free slots but does not reserve them. If another request has taken the last
        slot in the meantime, the request is sent to a full runner rather than queued again.
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
                choice = choose(map(_with_free_slot, candidates), query, self._random)
            return choice

    def record_send(self, runner_id: str, attempt_key: str, blocks: Sequence[str]) -> SendStart:
        """Record a send that starts now."""
        with self._lock:
            before = self._ledger.open_count(runner_id)
            self._ledger.sent(runner_id, attempt_key, self._clock.wall_ms())
            self._prefixes.sent(runner_id, blocks)
            is_probe = self._ejection.start_probe_if_due(runner_id, self._clock.monotonic_s())
            return SendStart(open_before=before, is_probe=is_probe)

    def record_finish(self, runner_id: str, attempt_key: str) -> None:
        """Record the end of a send."""
        with self._lock:
            self._ledger.finished(runner_id, attempt_key, self._clock.wall_ms())

    def start_of(self, runner_id: str) -> str:
        """Return the name of a runner's current incarnation, empty if it is leaving or unknown."""
        runner = self._view.snapshot.runners.get(runner_id)
        return "" if runner is None or runner.leaving else f"{runner_id}@{runner.incarnation}"

    def open_sends(self, runner_id: str) -> int:
        """Return the number of this gateway's open sends on a runner."""
        with self._lock:
            return self._ledger.open_count(runner_id)

    def record_success(self, runner_id: str) -> None:
        """Record a valid response of a runner."""
        with self._lock:
            self._ejection.record_success(runner_id)

    def record_failure(self, runner_id: str) -> float | None:
        """Record a failure of a runner.

        Returns:
            Duration of the runner's ejection in seconds, None if it is not ejected.
        """
        with self._lock:
            return self._ejection.record_failure(runner_id, self._clock.monotonic_s(), self._random)

    def record_crash(self, runner_id: str) -> float | None:
        """Record that a runner's process has ended.

        Returns:
            Duration of the runner's ejection in seconds, None if it is ejected already.
        """
        with self._lock:
            return self._ejection.record_crash(runner_id, self._clock.monotonic_s(), self._random)

    def start_check_if_due(self, runner_id: str) -> bool:
        """Return whether a crashed runner must be checked before a request is sent to it.

        The caller must then call ``end_check``.
        """
        with self._lock:
            return self._ejection.start_check_if_due(runner_id, self._clock.monotonic_s())

    def end_check(self, runner_id: str, *, is_running: bool) -> float | None:
        """Record the result of a check.

        Returns:
            Duration of the runner's next ejection in seconds, None if it is not ejected.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            return self._ejection.end_check(runner_id, is_running, now_s, self._random)

    def record_inconclusive(self, runner_id: str) -> None:
        """Record the end of a request that gives no information about the runner's health."""
        with self._lock:
            self._ejection.record_inconclusive(runner_id)

    def observe_cache(self, runner_id: str, event: CacheEvent) -> bool:
        """Apply a cache event of a runner; returns False if a snapshot is needed."""
        with self._lock:
            return self._prefixes.apply(runner_id, event)

    def apply_snapshot(self, snapshot: ClusterSnapshot) -> None:
        """Discard the state of removed runners and the cached prefixes of restarted runners."""
        incarnations = {item.runner_id: item.incarnation for item in snapshot.runners.values()}
        with self._lock:
            for runner_id, incarnation in self._incarnations.items():
                if incarnations.get(runner_id) != incarnation:
                    self._prefixes.forget(runner_id)
                if runner_id not in incarnations:
                    self._ejection.record_success(runner_id)
                    self._ledger.forget(runner_id)
            self._incarnations = incarnations

    def usable_runners(self, snapshot: ClusterSnapshot) -> dict[str, int]:
        """Return the number of usable runners by service.

        A runner is usable if it is not leaving, is reachable for its owner and is not ejected.
        """
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
        """Return whether a runner is in the view and its owner gateway can reach it."""
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


def _with_free_slot(candidate: Candidate) -> Candidate:
    # The request was admitted for a slot; losing a race for that slot must not queue it again.
    return msgspec.structs.replace(
        candidate, capacity=max(candidate.capacity, int(candidate.load) + 1)
    )
