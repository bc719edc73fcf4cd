"""The engine model: continuous batching with priorities, KV limit and prefix cache. Pure.

The caller decides what time is: the stand-in process steps the model in real time, the simulator
and the harm experiment in virtual time. ``step`` says how long the step takes; its tokens appear
at the end of that time, and the caller calls ``step`` again then.

Step time = base + per decoding sequence + per prompt token read (chunked prefill).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator

from testbed.engine.placement import Placement
from testbed.engine.prefix_cache import PrefixCache
from testbed.engine.sequence import Sequence
from testbed.engine.types import (
    BATCH_PRIORITY_MAX,
    CacheEvent,
    Emission,
    EngineConfig,
    EngineOrder,
    EngineRequest,
    HeldRequest,
    LoadReading,
    OrderAnswer,
    StepOutcome,
    Submission,
)

_MS_PER_S = 1000
_READINGS_KEPT = 64


class EngineModel:
    """One engine. Not safe for threads: the caller serialises calls.

    Invariants: at most ``max_running`` sequences run; the KV blocks of running sequences never
    exceed ``kv_blocks`` unless one alone is larger; a request emits each token of its answer at
    most once, in order.

    Args:
        config: Speeds and limits.
        generator: Source of randomness (lost cache events).
        incarnation: Start time in milliseconds, reported in load readings.
    """

    def __init__(
        self, config: EngineConfig, generator: random.Random, incarnation: int = 0
    ) -> None:
        self.config = config
        self.leaving = False
        self.placement = Placement(config.models, config.weights_bytes, config.weights_bytes_per_s)
        self.cache = PrefixCache(
            config.cache_event_delay_s, config.cache_event_gap_ratio, generator
        )
        self._incarnation = incarnation
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._by_id: dict[str, Sequence] = {}
        self._arrivals = 0
        self._last_step_s = 0.0
        self._readings: deque[LoadReading] = deque(maxlen=_READINGS_KEPT)
        self._next_reading_s = float("-inf")

    def submit(self, request: EngineRequest, now_s: float) -> Submission:
        """Queue a request, or refuse it without running anything."""
        self._observe(now_s)
        if self.leaving:
            return Submission.LEAVING
        if not self.placement.is_ready(request.model):
            return Submission.MODEL_NOT_LOADED
        if len(self._waiting) >= self.config.max_waiting:
            return Submission.FULL
        self.cancel(request.request_id)
        self._arrivals += 1
        sequence = Sequence(request, self._arrivals, self.config)
        self._by_id[request.request_id] = sequence
        self._waiting.append(sequence)
        return Submission.ACCEPTED

    def cancel(self, request_id: str) -> Emission | None:
        """Stop a request; returns its last emission, or None when it is not here any more."""
        sequence = self._by_id.pop(request_id, None)
        if sequence is None:
            return None
        if sequence in self._running:
            self._running.remove(sequence)
        else:
            self._waiting.remove(sequence)
        return sequence.cancelled()

    def held_requests(self) -> list[HeldRequest]:
        """Return the requests here that were sent with an owner label."""
        return [
            HeldRequest(request_id, sequence.owner)
            for request_id, sequence in self._by_id.items()
            if sequence.owner
        ]

    def set_priority(self, request_id: str, priority: int) -> bool:
        """Change the priority of a request that is here."""
        sequence = self._by_id.get(request_id)
        if sequence is None:
            return False
        sequence.priority = priority
        return True

    def has_work(self) -> bool:
        """Return whether a step would do anything."""
        return bool(self._running or self._waiting)

    def step(self, now_s: float) -> StepOutcome:
        """Run one step that begins now; its tokens appear ``duration_s`` later."""
        self._observe(now_s)
        self._schedule(now_s)
        if not self._running:
            return StepOutcome(0.0, [])
        prefill_tokens = self._prefill(now_s)
        decoding = [sequence for sequence in self._running if sequence.prefilled]
        duration_s = (
            self.config.base_step_s
            + self.config.per_sequence_s * len(decoding)
            + self.config.per_prefill_token_s * prefill_tokens
        )
        emissions = [sequence.decode() for sequence in decoding]
        self._drop_finished(emissions)
        self._last_step_s = duration_s
        return StepOutcome(duration_s, emissions, len(decoding), prefill_tokens)

    def order(self, order: EngineOrder, now_s: float) -> OrderAnswer:
        """Carry out a fenced order; a fence below the highest one seen is refused."""
        self._observe(now_s)
        return self.placement.order(order, now_s)

    def held_by(self, model: str) -> int:
        """Return how many requests of a model, and of its adapters, run or wait here."""
        asked = [sequence.model for sequence in self._by_id.values()]
        return sum(1 for name in asked if name == model or name.startswith(f"{model}:"))

    def load_report(self, now_s: float) -> LoadReading:
        """Return the newest reading that is old enough to be reported (reports lag)."""
        self._observe(now_s)
        visible_ms = int((now_s - self.config.load_lag_s) * _MS_PER_S)
        for reading in reversed(self._readings):
            if reading.as_of_ms <= visible_ms:
                return reading
        return self._readings[0]

    def load_now(self, now_s: float) -> LoadReading:
        """Return the load without lag; for checkers and oracles only."""
        running_batch = sum(1 for s in self._running if s.priority <= BATCH_PRIORITY_MAX)
        waiting_batch = sum(1 for s in self._waiting if s.priority <= BATCH_PRIORITY_MAX)
        return LoadReading(
            as_of_ms=int(now_s * _MS_PER_S),
            incarnation=self._incarnation,
            running=len(self._running),
            waiting=len(self._waiting),
            batch_running=running_batch,
            batch_waiting=waiting_batch,
            kv_blocks_used=self._kv_used(),
            kv_blocks_total=self.config.kv_blocks,
            step_ms=self._last_step_s * _MS_PER_S,
            models=self.placement.models(),
            versions=self.placement.versions(),
            leaving=self.leaving,
        )

    def cache_events(self, after_sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the cache events after a sequence number that can be read by now."""
        return self.cache.events_after(after_sequence, now_s)

    def import_blocks(self, blocks: list[str], now_s: float) -> None:
        """Take over the KV cache of a prefix that another engine exported."""
        self.cache.store(blocks, self.config.kv_blocks - self._kv_used(), now_s)

    def _observe(self, now_s: float) -> None:
        """Make ready what has been loaded, and take a reading when one is due.

        Nothing else has changed since the last event.
        """
        self.placement.advance(now_s)
        if now_s < self._next_reading_s:
            return
        self._readings.append(self.load_now(now_s))
        self._next_reading_s = now_s + self.config.load_interval_s

    def _schedule(self, now_s: float) -> None:
        """Admit waiting requests by priority, preempting lower ones when there is no room."""
        self._waiting.sort(key=Sequence.order)
        self._preempt_for_growth()
        while self._waiting and self._make_room(self._waiting[0]):
            sequence = self._waiting.pop(0)
            sequence.start(self.cache.match(sequence.hashes))
            self._running.append(sequence)
        self.cache.shrink(self.config.kv_blocks - self._kv_needed(), now_s)

    def _make_room(self, sequence: Sequence) -> bool:
        """Make room for ``sequence`` by preempting lower priorities; False if there is none."""
        victims = self._victims_for(sequence)
        while not self._fits(sequence):
            victim = next(victims, None)
            if victim is None:
                return not self._running
            self._preempt(victim)
        return True

    def _victims_for(self, sequence: Sequence) -> Iterator[Sequence]:
        lower = [s for s in self._running if s.priority < sequence.priority]
        return iter(sorted(lower, key=Sequence.order, reverse=True))

    def _fits(self, sequence: Sequence) -> bool:
        if len(self._running) >= self.config.max_running:
            return False
        return self._kv_needed() + sequence.blocks_for_step() <= self.config.kv_blocks

    def _preempt_for_growth(self) -> None:
        """Preempt the lowest sequences while the others' next tokens would not fit."""
        while len(self._running) > 1 and self._kv_needed() > self.config.kv_blocks:
            self._preempt(max(self._running, key=Sequence.order))

    def _preempt(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        sequence.preempted()
        self._waiting.append(sequence)
        self._waiting.sort(key=Sequence.order)

    def _prefill(self, now_s: float) -> int:
        """Read prompt chunks, higher priorities first; returns the tokens read."""
        budget = self.config.prefill_chunk_tokens
        batch_budget = self.config.batch_prefill_chunk_tokens
        total = 0
        for sequence in sorted(self._running, key=Sequence.order):
            is_batch = sequence.priority <= BATCH_PRIORITY_MAX
            read = sequence.prefill(min(budget, batch_budget) if is_batch else budget)
            budget -= read
            batch_budget -= read if is_batch else 0
            total += read
            if read and sequence.prefilled:
                capacity = self.config.kv_blocks - self._kv_used()
                self.cache.store(sequence.hashes, capacity, now_s)
        return total

    def _drop_finished(self, emissions: list[Emission]) -> None:
        for emission in emissions:
            if emission.finish_reason is not None:
                self._running.remove(self._by_id.pop(emission.request_id))

    def _kv_used(self) -> int:
        return sum(sequence.blocks_held() for sequence in self._running)

    def _kv_needed(self) -> int:
        return sum(sequence.blocks_for_step() for sequence in self._running)
