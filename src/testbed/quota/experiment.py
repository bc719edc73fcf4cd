"""Plays one tenant's requests through many gateways and counts what a limit let through."""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from random import Random

import msgspec

from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.ledger import Ledger
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.quota.token_bucket import TokenBucket
from leverjunction.routes.types import RateLimit, Tenant
from testbed.quota.ways import WAYS, Limiter

NAME = "tenant"
REPORT_S = 0.1
WHOLE_EVERY = 5
DELAY_S = (0.002, 0.06)
"""Range of a datagram's delay, with the wait for a busy process."""

LOSS = 0.01


class Play(msgspec.Struct, kw_only=True):
    """One play. All times are seconds from its start.

    Attributes:
        way: Key of ``WAYS``.
        gateways: Number of gateways.
        per_s: Rate and burst of the tenant's limit.
        use: Usual requests per second, as a share of the rate.
        clients: Number of callers; each sends through one gateway, drawn at random.
        hot_x: Factor of the requests while the tenant is hot.
        hot: Beginning and end of that time.
        owner_lost: Beginning and end of a time without an owner; the next one knows nothing.
        cut: Beginning and end of a time in which ``cut_share`` of the gateways are cut off.
        cut_share: Share of the gateways.
        restart: When all gateways and the owner restart; negative for never.
        lowered: When the limit is divided by four; negative for never.
        moves: When all callers move to other gateways; negative for never.
        length_s: End of the play.
    """

    way: str = "flow"
    gateways: int = 50
    per_s: float = 5.0
    use: float = 0.4
    clients: int = 20
    hot_x: float = 7.5
    hot: tuple[float, float] = (-1.0, -1.0)
    owner_lost: tuple[float, float] = (-1.0, -1.0)
    cut: tuple[float, float] = (-1.0, -1.0)
    cut_share: float = 0.0
    restart: float = -1.0
    lowered: float = -1.0
    moves: float = -1.0
    length_s: float = 40.0


class Outcome(msgspec.Struct, kw_only=True):
    """What one play showed.

    Attributes:
        sent: Requests that callers sent.
        within: Requests that one bucket before all gateways would have admitted.
        refused_within: Refusals while, counted by seconds, fewer requests were admitted than that
            bucket would have.
        over: Requests beyond what is tolerated in the worst window; not above 0 if the limit held.
    """

    sent: int
    within: int
    refused_within: int
    over: float


def run(play: Play, seed: int, bounds: QuotaBounds) -> Outcome:
    """Play once."""
    return _Run(play, seed, bounds).run()


class _Run:
    def __init__(self, play: Play, seed: int, bounds: QuotaBounds) -> None:
        self._play = play
        self._bounds = bounds
        self._random = Random(f"{seed} {play.way} {play.gateways}")
        self._traffic = Random(f"{seed} {play.gateways}")
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0
        self._tenant = Tenant(name=NAME, limit=RateLimit(per_s=play.per_s, burst=play.per_s))
        self._ideal = TokenBucket(play.per_s, 0.0)
        self._admitted: list[float] = []
        self._sent = 0
        self._within: Counter[int] = Counter()
        self._refused: Counter[int] = Counter()
        self._incarnation = 1
        self._clients = self._draw_clients()
        self._cut = {number for number in range(play.gateways) if self._is_drawn_for_cut()}
        self._start_all()

    def run(self) -> Outcome:
        play = self._play
        self._at(self._next_arrival(-10.0), self._arrive)
        for number in range(play.gateways):
            self._at(-10.0 + self._random.uniform(0, REPORT_S), self._reporter(number, 0))
        self._at(-10.0, self._tell)
        if play.restart >= 0:
            self._at(play.restart, lambda _now_s: self._start_all())
        if play.owner_lost[1] >= 0:
            self._at(play.owner_lost[1], self._new_owner)
        if play.lowered >= 0:
            self._at(play.lowered, self._lower)
        if play.moves >= 0:
            self._at(play.moves, lambda _now_s: self._move())
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            if now_s > play.length_s:
                break
            action(now_s)
        return Outcome(
            sent=self._sent,
            within=self._within.total(),
            refused_within=self._refused_within(),
            over=self._over(),
        )

    def _at(self, at_s: float, action: Callable[[float], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, action))

    def _draw_clients(self) -> list[int]:
        return [self._traffic.randrange(self._play.gateways) for _ in range(self._play.clients)]

    def _is_drawn_for_cut(self) -> bool:
        return self._traffic.random() < self._play.cut_share

    def _start_all(self) -> None:
        self._incarnation += 1
        make = WAYS[self._play.way]
        self._limiters: list[Limiter] = [
            make(Random(f"{self._incarnation} {number}"), self._bounds, self._play.gateways)
            for number in range(self._play.gateways)
        ]
        self._new_owner(self._play.restart if self._incarnation > 2 else -10.0)

    def _new_owner(self, now_s: float) -> None:
        self._ledger = Ledger(self._bounds)
        self._ledger.set_limits({NAME: self._tenant.limit}, now_s)

    def _lower(self, now_s: float) -> None:
        per_s = self._tenant.limit.per_s / 4
        self._tenant = Tenant(name=NAME, limit=RateLimit(per_s=per_s, burst=per_s))
        self._ledger.set_limits({NAME: self._tenant.limit}, now_s)

    def _move(self) -> None:
        self._clients = self._draw_clients()

    def _rate(self, now_s: float) -> float:
        play = self._play
        is_hot = play.hot[0] <= now_s < play.hot[1]
        return play.per_s * play.use * (play.hot_x if is_hot else 1.0)

    def _next_arrival(self, now_s: float) -> float:
        return now_s + self._traffic.expovariate(self._rate(now_s))

    def _arrive(self, now_s: float) -> None:
        self._at(self._next_arrival(now_s), self._arrive)
        gateway = self._traffic.choice(self._clients)
        limit = self._tenant.limit
        self._ideal.refill(limit.per_s, limit.burst, now_s)
        is_within = self._ideal.tokens >= 1
        if is_within:
            self._ideal.tokens -= 1
        is_admitted = self._limiters[gateway].admit(self._tenant, now_s) is None
        if is_admitted:
            self._admitted.append(now_s)
        if now_s < 0:
            return
        self._sent += 1
        self._within[int(now_s)] += is_within
        self._refused[int(now_s)] += not is_admitted

    def _is_reachable(self, number: int, now_s: float) -> bool:
        play = self._play
        if play.owner_lost[0] <= now_s < play.owner_lost[1]:
            return False
        is_cut = number in self._cut and play.cut[0] <= now_s < play.cut[1]
        return not is_cut and self._random.random() >= LOSS

    def _reporter(self, number: int, count: int) -> Callable[[float], None]:
        def report(now_s: float) -> None:
            self._at(now_s + REPORT_S, self._reporter(number, count + 1))
            whole = count % WHOLE_EVERY == 0
            usage = self._limiters[number].report(str(number), now_s, whole)
            if (usage.tenants or whole) and self._is_reachable(number, now_s):
                self._deliver(now_s, lambda at_s: self._receive(number, usage, at_s))

        return report

    def _receive(self, number: int, usage: TenantUsage, now_s: float) -> None:
        self._ledger.apply_usage(usage, self._incarnation, ("", number), now_s)

    def _tell(self, now_s: float) -> None:
        self._at(now_s + self._ledger.interval_s(), self._tell)
        for levels in self._ledger.levels(now_s):
            for _, number in self._ledger.addresses():
                if self._is_reachable(number, now_s):
                    self._deliver(now_s, self._teller(number, levels))

    def _teller(self, number: int, levels: TenantLevels) -> Callable[[float], None]:
        return lambda at_s: self._limiters[number].apply_levels(levels, at_s)

    def _deliver(self, now_s: float, action: Callable[[float], None]) -> None:
        self._at(now_s + self._random.uniform(*DELAY_S), action)

    def _refused_within(self) -> int:
        admitted = Counter(int(at_s) for at_s in self._admitted if at_s >= 0)
        return sum(
            min(refused, max(0, self._within[second] - admitted[second]))
            for second, refused in self._refused.items()
        )

    def _over(self) -> float:
        """Return by how much the worst window exceeds what is tolerated."""
        bounds = self._bounds
        limit = RateLimit(per_s=self._play.per_s, burst=self._play.per_s)
        worst = 0
        window: deque[float] = deque()
        for at_s in self._admitted:
            window.append(at_s)
            while window[0] <= at_s - bounds.window_s:
                window.popleft()
            worst = max(worst, len(window))
        allowed = limit.per_s * bounds.window_s + limit.burst + bounds.excess(limit)
        return worst - allowed
