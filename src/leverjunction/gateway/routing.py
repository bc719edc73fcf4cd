"""Selects the runner for one online request. Pure: no I/O, no clock.

Runners in the gateway's own zone are preferred. Only runners that are ready, not leaving, not
ejected and not full are eligible. The score weighs the expected load against the part of the
prompt that is already in the runner's prefix cache. Two random candidates and the one with the
longest cached prefix are compared: choosing the minimum over all runners would send the requests of
all gateways that hold the same stale reports to the same runner.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec
import xxhash

from leverjunction.observability.decisions import CandidateScore

RANDOM_CANDIDATES = 2
MIN_REMOTE_ADVANTAGE_BLOCKS = 16
"""Additional cached blocks of 16 tokens that justify a runner in another zone.

Prefilling that many blocks takes far longer than the round trip between zones.
"""

MIN_AFFINITY_BLOCKS = 16
"""Shortest prompt prefix, in blocks, that is assigned a preferred runner."""

AFFINITY_LENGTH_FACTOR = 2
MIN_FIRST_TURN_WEIGHT = 2.0
"""Lowest ``prefix_weight`` at which the first prompt of a conversation has a preferred runner."""


class Exclusion(StrEnum):
    """Reason for which a runner is not eligible; the value appears in the decision record."""

    LEAVING = "leaving"
    NOT_READY = "model not loaded"
    EJECTED = "ejected"
    UNHEALTHY = "unreachable for its owner"
    TRIED = "tried before"
    FULL = "full"


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A runner with the state that the selection depends on.

    Attributes:
        runner_id: Id of the runner.
        address: ``host:port`` at which the runner serves the engine protocol.
        zone: Zone of the runner.
        load: Expected number of online requests on the runner: the last load report, plus the
            requests that this gateway has sent since.
        capacity: Maximum number of online requests on the runner.
        overlap_blocks: Leading blocks of the prompt that are expected to be in the runner's cache.
        excluded: Reason for which the runner is not eligible, None for an eligible runner.
    """

    runner_id: str
    address: str
    zone: str
    load: float
    capacity: int
    overlap_blocks: int = 0
    excluded: Exclusion | None = None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Result of ``choose``.

    Attributes:
        chosen: The selected runner, None if no runner was selected.
        full: True if there are eligible runners but all of them are full, so that the request
            may wait in the queue.
        candidates: Scores of all runners, including the excluded ones, for the decision record.
        reason: Explanation of the result in one sentence.
    """

    chosen: Candidate | None
    full: bool
    candidates: list[CandidateScore]
    reason: str


class AffinityPrefix(msgspec.Struct, frozen=True, kw_only=True):
    """Leading part of a prompt that selects the prompt's preferred runner.

    All gateways prefer the same runner for the same prefix, so that the prefix is cached there.
    The preferred runner follows from rendezvous hashing, without any exchange between gateways.

    Attributes:
        block: Chained hash of the last block of the prefix; it covers all blocks before it.
        blocks: Length of the prefix in blocks.
    """

    block: str
    blocks: int


def affinity_prefix(
    blocks: Sequence[str], *, continues: bool, prefix_weight: float
) -> AffinityPrefix | None:
    """Return the prefix that selects a prompt's preferred runner.

    The length of the prefix doubles in steps (``AFFINITY_LENGTH_FACTOR``), so that a growing
    conversation changes its preferred runner only in the few turns that reach the next step. A
    first prompt may never be repeated and is then better routed by load alone; it has a preferred
    runner only if the service's ``prefix_weight`` indicates that its prompts are repeated.

    Args:
        blocks: Hashes of the prompt's cache blocks.
        continues: True if the prompt continues an earlier conversation.
        prefix_weight: The service's setting ``prefix_weight``.

    Returns:
        The prefix; None if the prompt is routed without a preferred runner.
    """
    depth = MIN_AFFINITY_BLOCKS
    if len(blocks) < depth or not (continues or prefix_weight >= MIN_FIRST_TURN_WEIGHT):
        return None
    while depth * AFFINITY_LENGTH_FACTOR <= len(blocks):
        depth *= AFFINITY_LENGTH_FACTOR
    return AffinityPrefix(block=blocks[depth - 1], blocks=depth)


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a request and of its service's settings that the selection depends on.

    Attributes:
        zone: Zone of the gateway.
        prompt_blocks: Number of complete cache blocks in the prompt.
        prefix_weight: Additional load, in requests, that is accepted for a fully cached prompt.
        region_zones: Zones of the gateway's region; a long cached prefix in one of them justifies
            the longer network path.
        affinity: Prefix that selects the preferred runner, None for a prompt without one.
    """

    zone: str
    prompt_blocks: int
    prefix_weight: float
    region_zones: frozenset[str] = frozenset()
    affinity: AffinityPrefix | None = None


def choose(candidates: Iterable[Candidate], query: RouteQuery, generator: random.Random) -> Choice:
    """Select the runner for a request; deterministic for a given state of ``generator``."""
    ordered = sorted(candidates, key=lambda candidate: candidate.runner_id)
    ordered = _with_affinity(ordered, query)
    usable = [candidate for candidate in ordered if candidate.excluded is None]
    available = [candidate for candidate in usable if candidate.load < candidate.capacity]
    local = [candidate for candidate in available if candidate.zone == query.zone]
    pool = local or available
    scores = [_candidate_score(candidate, query) for candidate in ordered]
    if not pool:
        reason = "all usable runners are full" if usable else "no usable runner"
        return Choice(chosen=None, full=bool(usable), candidates=scores, reason=reason)
    sample = _random_sample(pool, generator)
    sample += _longest_overlap(available, pool, query, sample)
    chosen = min(sample, key=lambda candidate: (_score(candidate, query), candidate.runner_id))
    return Choice(
        chosen=chosen, full=False, candidates=scores, reason=_reason(chosen, query, len(sample))
    )


def free_slots(candidates: Iterable[Candidate]) -> int:
    """Return the number of additional requests that the eligible candidates can take."""
    return sum(
        max(0, int(candidate.capacity - candidate.load))
        for candidate in candidates
        if candidate.excluded is None
    )


def _random_sample(pool: list[Candidate], generator: random.Random) -> list[Candidate]:
    """Return up to ``RANDOM_CANDIDATES`` distinct candidates drawn at random."""
    return generator.sample(pool, min(RANDOM_CANDIDATES, len(pool)))


def _longest_overlap(
    available: list[Candidate], pool: list[Candidate], query: RouteQuery, sample: list[Candidate]
) -> list[Candidate]:
    """Return the runner with the longest cached prefix, which the random sample would often miss.

    A runner in another zone of the region is selected only if it holds at least
    ``MIN_REMOTE_ADVANTAGE_BLOCKS`` more blocks than the best runner of the pool. The list is empty
    if no runner holds any part of the prompt or if the runner is in the sample already.
    """
    if query.prefix_weight <= 0:
        return []
    best = max(pool, key=_overlap)
    remote = [candidate for candidate in available if candidate.zone in query.region_zones]
    best_remote = max(remote, key=_overlap, default=best)
    if _overlap(best_remote) >= _overlap(best) + MIN_REMOTE_ADVANTAGE_BLOCKS:
        best = best_remote
    return [best] if _overlap(best) > 0 and best not in sample else []


def _with_affinity(ordered: list[Candidate], query: RouteQuery) -> list[Candidate]:
    """Return the candidates with the affinity prefix assumed to be cached on the preferred runner.

    The preferred runner is the eligible runner of the region with the highest rendezvous weight.
    """
    if query.affinity is None or query.prefix_weight <= 0:
        return ordered
    zones = query.region_zones | {query.zone}
    nearby = [item for item in ordered if item.excluded is None and item.zone in zones]
    block = query.affinity.block
    preferred = max(
        nearby, key=lambda item: _rendezvous_weight(block, item.runner_id), default=None
    )
    if preferred is None or preferred.overlap_blocks >= query.affinity.blocks:
        return ordered
    assumed = msgspec.structs.replace(preferred, overlap_blocks=query.affinity.blocks)
    return [assumed if item is preferred else item for item in ordered]


def _rendezvous_weight(block: str, runner_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{block}\0{runner_id}".encode())


def _overlap(candidate: Candidate) -> int:
    return candidate.overlap_blocks


def _score(candidate: Candidate, query: RouteQuery) -> float:
    overlap = min(candidate.overlap_blocks, query.prompt_blocks)
    share = overlap / query.prompt_blocks if query.prompt_blocks else 0.0
    return candidate.load - query.prefix_weight * share


def _candidate_score(candidate: Candidate, query: RouteQuery) -> CandidateScore:
    note = candidate.excluded.value if candidate.excluded is not None else ""
    if not note and candidate.load >= candidate.capacity:
        note = Exclusion.FULL.value
    return CandidateScore(
        runner_id=candidate.runner_id,
        score=round(_score(candidate, query), 4),
        load=candidate.load,
        overlap_blocks=candidate.overlap_blocks,
        note=note,
    )


def _reason(chosen: Candidate, query: RouteQuery, sample_size: int) -> str:
    location = "own zone"
    if chosen.zone != query.zone:
        cause = (
            "which is expected to have the prefix cached"
            if chosen.overlap_blocks
            else "own zone is full"
        )
        location = f"zone {chosen.zone}, {cause}"
    return f"lowest score of {sample_size} candidates, {location}, load {chosen.load:g}"
