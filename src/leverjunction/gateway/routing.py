"""Pure choice of a runner for one online request.

Own zone first. Among runners that are ready, not leaving, not ejected and not full, the score
weighs expected load against cached-prefix overlap; two random candidates and the one with the
longest overlap are compared, so that gateways with the same stale reports do not herd.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec
import xxhash

from leverjunction.observability.decisions import CandidateScore

RANDOM_CHOICES = 2
MIN_FAR_BLOCKS = 16
"""Blocks (of 16 tokens) that take far longer to read than the way to another zone takes."""

MIN_HOME_BLOCKS = 16
HOME_GROWTH = 2
FIRST_TURN_WEIGHT = 2.0
"""From this ``prefix_weight`` on, prompts that continue no earlier one go to a home as well."""


class Exclusion(StrEnum):
    """Why a runner was not weighed."""

    LEAVING = "leaving"
    NOT_READY = "model not loaded"
    EJECTED = "ejected"
    UNHEALTHY = "unreachable for its owner"
    TRIED = "tried before"
    FULL = "full"


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A runner as the choice sees it.

    Attributes:
        runner_id: Its id.
        address: ``host:port`` of its engine protocol.
        zone: Its zone.
        load: Online requests expected on it: last report plus own sends since.
        capacity: Online requests that it may hold.
        overlap_blocks: Blocks of the prompt that its cache is thought to hold.
        excluded: Why it must not be chosen, None when it may.
    """

    runner_id: str
    address: str
    zone: str
    load: float
    capacity: int
    overlap_blocks: int = 0
    excluded: Exclusion | None = None


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a choice.

    Attributes:
        chosen: The runner, None when there is none.
        full: True when runners could serve the request but all are full: it may wait.
        candidates: What was weighed and what was left out, for the record.
        reason: One sentence.
    """

    chosen: Candidate | None
    full: bool
    candidates: list[CandidateScore]
    reason: str


class AffinityPrefix(msgspec.Struct, frozen=True, kw_only=True):
    """A leading part of a prompt that all gateways send to the same runner, its home.

    They need not tell each other: the home follows from rendezvous hashing.

    Attributes:
        block: Hash of the part's last block; it covers all blocks before it.
        blocks: Length of the part.
    """

    block: str
    blocks: int


def affinity_prefix(
    blocks: Sequence[str], *, continues: bool, prefix_weight: float
) -> AffinityPrefix | None:
    """Return the part of a prompt by which its home is chosen, None when there is none.

    Its length is a power of ``HOME_GROWTH``, so that a conversation that grows keeps its home but
    for the few turns in which it passes such a length. A prompt that may never come again is better
    sent by load alone: it has a home only where the service's weight says that prompts do come
    again.

    Args:
        blocks: Hashes of the prompt's cache blocks.
        continues: Whether the prompt goes on with an earlier one.
        prefix_weight: Weight of the service.
    """
    depth = MIN_HOME_BLOCKS
    if len(blocks) < depth or not (continues or prefix_weight >= FIRST_TURN_WEIGHT):
        return None
    while depth * HOME_GROWTH <= len(blocks):
        depth *= HOME_GROWTH
    return AffinityPrefix(block=blocks[depth - 1], blocks=depth)


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """What the request and its service's settings bring to the choice.

    Attributes:
        zone: Zone of the gateway.
        region_zones: Zones so near that a long cached prefix there outweighs the way.
        prompt_blocks: Whole cache blocks of the prompt.
        prefix_weight: Requests of load that a wholly cached prompt outweighs.
        home: Prefix whose home is likely to hold it, None for a short prompt.
    """

    zone: str
    prompt_blocks: int
    prefix_weight: float
    region_zones: frozenset[str] = frozenset()
    affinity: AffinityPrefix | None = None


def choose(candidates: Iterable[Candidate], query: RouteQuery, generator: random.Random) -> Choice:
    """Return the runner for a request; deterministic for a given state of ``generator``."""
    known = sorted(candidates, key=lambda candidate: candidate.runner_id)
    known = _with_home(known, query)
    usable = [candidate for candidate in known if candidate.excluded is None]
    roomy = [candidate for candidate in usable if candidate.load < candidate.capacity]
    near = [candidate for candidate in roomy if candidate.zone == query.zone]
    pool = near or roomy
    record = [_scored(candidate, query) for candidate in known]
    if not pool:
        reason = "all usable runners are full" if usable else "no usable runner"
        return Choice(chosen=None, full=bool(usable), candidates=record, reason=reason)
    compared = _compared(pool, generator)
    compared += _with_prefix(roomy, pool, query, compared)
    chosen = min(compared, key=lambda candidate: (_score(candidate, query), candidate.runner_id))
    return Choice(
        chosen=chosen, full=False, candidates=record, reason=_reason(chosen, query, len(compared))
    )


def free_slots(candidates: Iterable[Candidate]) -> int:
    """Return how many more requests the usable candidates may hold."""
    return sum(
        max(0, int(candidate.capacity - candidate.load))
        for candidate in candidates
        if candidate.excluded is None
    )


def _compared(pool: list[Candidate], generator: random.Random) -> list[Candidate]:
    """Return candidates drawn at random, each at most once."""
    return generator.sample(pool, min(RANDOM_CHOICES, len(pool)))


def _with_prefix(
    roomy: list[Candidate], pool: list[Candidate], query: RouteQuery, compared: list[Candidate]
) -> list[Candidate]:
    """Return the runner that holds the longest prefix, which chance alone would seldom meet.

    One of another zone of the region is taken only when it holds ``MIN_FAR_BLOCKS`` more.
    """
    if query.prefix_weight <= 0:
        return []
    best = max(pool, key=_overlap)
    far = [candidate for candidate in roomy if candidate.zone in query.region_zones]
    farthest = max(far, key=_overlap, default=best)
    if _overlap(farthest) >= _overlap(best) + MIN_FAR_BLOCKS:
        best = farthest
    return [best] if _overlap(best) > 0 and best not in compared else []


def _with_home(known: list[Candidate], query: RouteQuery) -> list[Candidate]:
    """Return the candidates with the prompt's home thought to hold its part."""
    if query.affinity is None or query.prefix_weight <= 0:
        return known
    zones = query.region_zones | {query.zone}
    near = [item for item in known if item.excluded is None and item.zone in zones]
    block = query.affinity.block
    affinity = max(near, key=lambda item: _home_weight(block, item.runner_id), default=None)
    if affinity is None or affinity.overlap_blocks >= query.affinity.blocks:
        return known
    thought = msgspec.structs.replace(affinity, overlap_blocks=query.affinity.blocks)
    return [thought if item is affinity else item for item in known]


def _home_weight(block: str, runner_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{block}\0{runner_id}".encode())


def _overlap(candidate: Candidate) -> int:
    return candidate.overlap_blocks


def _score(candidate: Candidate, query: RouteQuery) -> float:
    overlap = min(candidate.overlap_blocks, query.prompt_blocks)
    share = overlap / query.prompt_blocks if query.prompt_blocks else 0.0
    return candidate.load - query.prefix_weight * share


def _scored(candidate: Candidate, query: RouteQuery) -> CandidateScore:
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


def _reason(chosen: Candidate, query: RouteQuery, compared: int) -> str:
    place = "own zone"
    if chosen.zone != query.zone:
        why = (
            "it is thought to hold the prefix" if chosen.overlap_blocks else "own zone has no room"
        )
        place = f"zone {chosen.zone}, {why}"
    return f"lowest score of {compared} compared, {place}, load {chosen.load:g}"
