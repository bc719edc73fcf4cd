"""Load patterns: when online requests and batch jobs come. Pure; seeded."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from random import Random

import msgspec

SERVICE = "model"


class OnlineKind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of online request.

    Attributes:
        run_s: Mean time for which it has a slot.
        read_s: Time to its first part once it has a slot.
        aim_s: Time to its first part within which it is in time.
        deadline_s: When its caller leaves.
        tokens_in: Length of its prompt.
    """

    name: str = "hint"
    run_s: float = 0.71
    read_s: float = 0.01
    aim_s: float = 0.3
    deadline_s: float = 5.0
    tokens_in: int = 450


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """A load pattern, in shares of the slots, so that it fits any number of back ends.

    Attributes:
        online_share: Slots that online requests take on average.
        lull, burst: Factors of the online rate by turns.
        lull_s, burst_s: How long each lasts.
        batch_share: Slots that batch takes on average.
        job_items: Items of a job.
        item_s: Time for which an item has a slot in all.
        due_s: Time in which an item is due.
        length_s: Time in which load comes.
        heap_x: Factor of the batch rate between 0.3 and 0.4 of that time.
        lost_share: Share of the back ends that are not there.
    """

    online_share: float = 0.4
    lull: float = 0.383
    burst: float = 1.87
    lull_s: float = 3.4
    burst_s: float = 2.4
    batch_share: float = 0.34
    job_items: int = 10
    item_s: float = 4.9
    due_s: float = 18.0
    length_s: float = 23.2
    heap_x: float = 1.0
    lost_share: float = 0.0


PATTERNS: dict[str, Pattern] = {
    "calm": Pattern(lull=1.0, burst=1.0),
    "bursts": Pattern(),
    "short-bursts": Pattern(length_s=11.6),
    "busy": Pattern(online_share=0.5),
    "heap": Pattern(heap_x=6.0),
    "batch-overload": Pattern(batch_share=2.4),
    "lost": Pattern(lost_share=0.33),
}
"""By name: even load; bursts of twice the mean; a quarter more online; a heap of jobs; three times
the batch that fits; a third of the back ends gone.
"""


def online_times(pattern: Pattern, slots: int, kind: OnlineKind, random: Random) -> Iterator[float]:
    """Yield when online requests come, in seconds."""
    mean_per_s = pattern.online_share * slots / kind.run_s
    now_s = 0.0
    most = mean_per_s * max(pattern.lull, pattern.burst)
    while True:
        now_s += random.expovariate(most)
        if now_s >= pattern.length_s:
            return
        in_turn_s = now_s % (pattern.lull_s + pattern.burst_s)
        factor = pattern.lull if in_turn_s < pattern.lull_s else pattern.burst
        if random.random() * most < mean_per_s * factor:
            yield now_s


def job_times(pattern: Pattern, slots: int, random: Random) -> Iterator[float]:
    """Yield when batch jobs come, in seconds."""
    per_s = pattern.batch_share * slots / pattern.item_s / pattern.job_items
    now_s = 0.0
    while True:
        is_heap = 0.3 <= now_s / pattern.length_s < 0.4
        now_s += random.expovariate(per_s * (pattern.heap_x if is_heap else 1.0))
        if now_s >= pattern.length_s:
            return
        yield now_s


def pooled_in_time(came: Sequence[tuple[float, float]], slots: int, kind: OnlineKind) -> float:
    """Return the share in time if all waited in one queue before all slots, without batch.

    Args:
        came: When each request came and for how long it has a slot, in seconds, in order.
        slots: Slots of all back ends.
        kind: Kind of the requests.
    """
    free_s = [0.0] * slots
    in_time = 0
    for came_s, run_s in came:
        begun_s = max(came_s, heapq.heappop(free_s))
        heapq.heappush(free_s, begun_s + kind.read_s + run_s)
        in_time += begun_s + kind.read_s - came_s <= kind.aim_s
    return in_time / max(1, len(came))
