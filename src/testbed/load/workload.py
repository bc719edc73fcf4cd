"""Seeded open-loop workloads: online arrivals in phases, and heaps of batch jobs.

Arrival times are fixed before the run and do not depend on how fast answers come, so slow answers
cannot thin the load out (no coordinated omission).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

WORDS = ("crash", "token", "ledger", "frame", "claim", "scan", "field", "stack", "page", "index")


@dataclass(frozen=True)
class OnlinePhase:
    """A stretch of Poisson arrivals.

    Attributes:
        duration_s: Length of the phase, in seconds.
        requests_per_s: Mean rate over the whole fleet; 0 makes an idle gap.
    """

    duration_s: float
    requests_per_s: float


@dataclass(frozen=True)
class RequestShape:
    """Distribution of request sizes, uniform between the bounds, in tokens."""

    prompt_min: int
    prompt_max: int
    output_min: int
    output_max: int
    shared_prefix: int = 0


@dataclass(frozen=True)
class BatchHeap:
    """Batch jobs arriving in heaps.

    Attributes:
        interval_s: Time between heaps, in seconds.
        items: Items of a heap.
        shape: Sizes of the items.
    """

    interval_s: float
    items: int
    shape: RequestShape


@dataclass(frozen=True)
class Workload:
    """Online and batch work of one scenario."""

    name: str
    model: str
    phases: tuple[OnlinePhase, ...]
    online: RequestShape
    batch: BatchHeap

    @property
    def duration_s(self) -> float:
        """Return the length of all phases together, in seconds."""
        return sum(phase.duration_s for phase in self.phases)


@dataclass(frozen=True)
class Arrival:
    """One online request or batch item, fixed before the run."""

    at_s: float
    request_id: str
    prompt: str
    output_tokens: int


def online_arrivals(workload: Workload, generator: random.Random) -> list[Arrival]:
    """Return the online requests in the order of their arrival."""
    arrivals: list[Arrival] = []
    phase_start_s = 0.0
    for phase in workload.phases:
        phase_end_s = phase_start_s + phase.duration_s
        at_s = phase_start_s
        while phase.requests_per_s > 0:
            at_s += generator.expovariate(phase.requests_per_s)
            if at_s >= phase_end_s:
                break
            name = f"online-{len(arrivals)}"
            arrivals.append(_draw(name, at_s, workload.online, generator))
        phase_start_s = phase_end_s
    return arrivals


def batch_arrivals(workload: Workload, generator: random.Random) -> list[Arrival]:
    """Return the batch items; all items of a heap arrive together."""
    arrivals: list[Arrival] = []
    at_s = 0.0
    while at_s < workload.duration_s:
        for _ in range(workload.batch.items):
            name = f"batch-{len(arrivals)}"
            arrivals.append(_draw(name, at_s, workload.batch.shape, generator))
        at_s += workload.batch.interval_s
    return arrivals


def _draw(request_id: str, at_s: float, shape: RequestShape, generator: random.Random) -> Arrival:
    prompt_tokens = generator.randint(shape.prompt_min, shape.prompt_max)
    return Arrival(
        at_s=at_s,
        request_id=request_id,
        prompt=_prompt(request_id, prompt_tokens, shape.shared_prefix, generator),
        output_tokens=generator.randint(shape.output_min, shape.output_max),
    )


def _prompt(request_id: str, tokens: int, shared_prefix: int, generator: random.Random) -> str:
    shared = [WORDS[position % len(WORDS)] for position in range(min(shared_prefix, tokens))]
    own = [generator.choice(WORDS) for _ in range(max(tokens - len(shared) - 1, 0))]
    return " ".join([*shared, request_id, *own])
