"""Pure choice of a runner for one online request.

Own zone first. Among runners that are ready, not leaving, not ejected and not full, the score
weighs expected load against cached-prefix overlap; two random candidates and the one with the
longest overlap are compared, so that gateways with the same stale reports do not herd.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from leverjunction.observability.decisions import CandidateScore

RANDOM_CHOICES = 2


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


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """What the request and its service's settings bring to the choice.

    Attributes:
        zone: Zone of the gateway.
        prompt_blocks: Whole cache blocks of the prompt.
        prefix_weight: Requests of load that a wholly cached prompt outweighs.
    """

    zone: str
    prompt_blocks: int
    prefix_weight: float


def choose(candidates: Iterable[Candidate], query: RouteQuery, generator: random.Random) -> Choice:
    """Return the runner for a request; deterministic for a given state of ``generator``."""
    known = sorted(candidates, key=lambda candidate: candidate.runner_id)
    usable = [candidate for candidate in known if candidate.excluded is None]
    roomy = [candidate for candidate in usable if candidate.load < candidate.capacity]
    near = [candidate for candidate in roomy if candidate.zone == query.zone]
    pool = near or roomy
    record = [_scored(candidate, query) for candidate in known]
    if not pool:
        reason = "all usable runners are full" if usable else "no usable runner"
        return Choice(chosen=None, full=bool(usable), candidates=record, reason=reason)
    compared = _compared(pool, generator)
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
    """Return the candidates that are compared, each at most once."""
    compared = generator.sample(pool, min(RANDOM_CHOICES, len(pool)))
    # Random choice alone would seldom meet the one runner that holds the prefix.
    best = max(pool, key=lambda candidate: candidate.overlap_blocks)
    if best.overlap_blocks > 0 and best not in compared:
        compared.append(best)
    return compared


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
    place = "own zone" if chosen.zone == query.zone else f"zone {chosen.zone}, own zone has no room"
    return f"lowest score of {compared} compared, {place}, load {chosen.load:g}"
