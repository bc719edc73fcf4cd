"""Load patterns: when online requests and batch jobs come. Pure; seeded."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from random import Random

import msgspec

from testbed.placement.work_rate import EVEN, Unevenness

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
        item_spread: Relative standard deviation of an item's time.
        cut_s: When all machines lose power, 0 for never.
        cut_for_s: Time until another leader runs items.
        uneven: How back ends differ in speed.
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
    item_spread: float = 0.0
    cut_s: float = 0.0
    cut_for_s: float = 3.0
    uneven: Unevenness = EVEN


UNEVEN = Unevenness(speeds=(0.6, 1.0, 1.6), slow_share=0.15, slow_x=2.5)

PATTERNS: dict[str, Pattern] = {
    "calm": Pattern(lull=1.0, burst=1.0),
    "bursts": Pattern(),
    "short-bursts": Pattern(length_s=11.6),
    "busy": Pattern(online_share=0.5),
    "heap": Pattern(heap_x=6.0),
    "batch-overload": Pattern(batch_share=2.4),
    "beyond": Pattern(
        online_share=0.545,
        lull=0.391,
        burst=1.91,
        lull_s=3.6,
        lost_share=0.22,
        batch_share=0.004,
    ),
    "beyond-batch": Pattern(
        online_share=0.545,
        lull=0.391,
        burst=1.91,
        lull_s=3.6,
        lost_share=0.22,
        batch_share=0.3,
        item_s=4.7,
    ),
    "lost": Pattern(lost_share=0.33),
    "overload": Pattern(lost_share=0.33, length_s=40.6, item_spread=0.25),
    "overload-2": Pattern(lost_share=0.33, length_s=40.6, item_spread=0.25, batch_share=0.55),
    "overload-3": Pattern(lost_share=0.33, length_s=40.6, item_spread=0.25, batch_share=0.8),
    "uneven": Pattern(batch_share=0.29, uneven=UNEVEN),
    "uneven-busy": Pattern(online_share=0.48, batch_share=0.29, uneven=UNEVEN),
    "uneven-untold": Pattern(batch_share=0.29, uneven=msgspec.structs.replace(UNEVEN, tells=False)),
    "short-uneven": Pattern(online_share=0.48, batch_share=0.29, length_s=11.6, uneven=UNEVEN),
    "overload-cut": Pattern(lost_share=0.33, length_s=40.6, item_spread=0.25, cut_s=20.0),
}
"""By name: even load; bursts of twice the mean; a quarter more online; a heap of jobs; three times
the batch that fits; a third of the back ends gone; the same for longer, with 1.3, 2.1 and 3 times
the batch that fits beside online requests, and with a power cut. In the uneven ones, back ends have
three speeds, and each is 2.5 times slower for 0.15 of the time.
"""

LEAST_ITEM_SHARE = 0.3
"""Shortest item, as a share of the mean."""


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


def item_time(pattern: Pattern, random: Random) -> float:
    """Return the time in seconds for which one item has a slot."""
    if not pattern.item_spread:
        return pattern.item_s
    return pattern.item_s * max(LEAST_ITEM_SHARE, random.gauss(1.0, pattern.item_spread))


STEP_S = 0.1
"""Resolution of the bound on items in time."""


def items_bound(
    came: Sequence[tuple[float, float]],
    items: Sequence[tuple[float, float]],
    slots: int,
    pattern: Pattern,
) -> float:
    """Return a bound on the share of items in time, for any order in which they could run.

    Online requests take the slots first, as if all waited in one queue before all slots. Items
    share what is left as a fluid, the earliest due first, each at most one slot: that does the most
    work before it is due. A part of an item counts as that part.

    Args:
        came: When each online request came and for how long it has a slot, in seconds, in order.
        items: When each item came and for how long it has a slot, in seconds, in order.
        slots: Slots of all back ends.
        pattern: The load pattern, whose power cut leaves no slots.
    """
    end_s = pattern.length_s + pattern.due_s
    busy = _online_slots(came, slots, end_s)
    left = [run_s for _, run_s in items]
    first = 0
    for step, taken in enumerate(busy):
        now_s = step * STEP_S
        if pattern.cut_s and pattern.cut_s <= now_s < pattern.cut_s + pattern.cut_for_s:
            continue
        free_s = (slots - taken) * STEP_S
        while first < len(items) and items[first][0] + pattern.due_s <= now_s:
            first += 1
        for index in range(first, len(items)):
            if items[index][0] > now_s or free_s <= 0:
                break
            part_s = min(STEP_S, left[index], free_s)
            left[index] -= part_s
            free_s -= part_s
    shares = [1 - rest_s / run_s for rest_s, (_, run_s) in zip(left, items, strict=True)]
    return sum(shares) / max(1, len(shares))


def _online_slots(came: Sequence[tuple[float, float]], slots: int, end_s: float) -> list[float]:
    """Return how many slots online requests take in each step, all waiting in one queue."""
    free_s = [0.0] * slots
    busy = [0.0] * (int(end_s / STEP_S) + 1)
    for came_s, run_s in came:
        begun_s = max(came_s, heapq.heappop(free_s))
        heapq.heappush(free_s, begun_s + run_s)
        for step in range(int(begun_s / STEP_S), min(len(busy), int((begun_s + run_s) / STEP_S))):
            busy[step] += 1
    return busy


def pooled_in_time(
    came: Sequence[tuple[float, float]],
    slots: int,
    kind: OnlineKind,
    uneven: Unevenness = EVEN,
) -> float:
    """Return the share in time if all waited in one queue before all slots, without batch.

    Args:
        came: When each request came and for how long it has a slot, in seconds, in order.
        slots: Slots of all back ends.
        kind: Kind of the requests.
        uneven: How back ends differ; each request takes the fastest free slot, and slow stretches
            are spread evenly.
    """
    pace = len(uneven.speeds) * uneven.power / sum(uneven.speeds)
    rates = [pace * uneven.speeds[place % len(uneven.speeds)] for place in range(slots)]
    busy: list[tuple[float, float]] = []
    free = [-rate for rate in rates]
    heapq.heapify(free)
    in_time = 0
    for came_s, run_s in came:
        begun_s = came_s if free or busy[0][0] <= came_s else busy[0][0]
        while busy and busy[0][0] <= begun_s:
            heapq.heappush(free, heapq.heappop(busy)[1])
        rate = heapq.heappop(free)
        heapq.heappush(busy, (begun_s + (kind.read_s + run_s) / -rate, rate))
        in_time += begun_s + kind.read_s - came_s <= kind.aim_s
    return in_time / max(1, len(came))
