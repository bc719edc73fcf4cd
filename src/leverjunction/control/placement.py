"""Which models shall be loaded where, and the next steps towards it. Pure.

Rules:

* A model is wanted on ``replicas`` runners of its service, or on all of them. Runners that hold
  the wanted version are kept first, so a change moves as little as possible.
* Before a model is unloaded or reloaded on a runner it is withdrawn there: gateways stop using
  it, and the change waits until all of them have and the runner is idle. So no request meets an
  unloaded model.
* A withdrawal of a model covers its adapters, and waits until another runner has each of them.
* A withdrawal never takes the last ready runner, and leaves three quarters of a larger pool. A
  single replica is replaced by loading a spare runner first; without a spare the change is blocked
  and says so.
* Loads in progress are limited, since all share the rate of the weight store.
* Each runner has at most one order in progress. Models that the settings do not name stay alone.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

import msgspec
import xxhash

from leverjunction.backends.types import OrderAction
from leverjunction.control.messages import Withdrawal

SETTLE_S = 3.0
"""A withdrawal lasts at least this long before the change: a sync between hubs and an exchange, for
gateways of which no hub knows at the moment.
"""

DRAIN_LIMIT_S = 60.0
"""A withdrawn runner that is still in use after this long is changed all the same."""

START_GRACE_S = 3.0
"""A runner that has just started may still be loading by itself."""

MIN_READY_RATIO = 0.75


class WantedModel(msgspec.Struct, frozen=True, kw_only=True):
    """A model, or an adapter of one, that a service shall hold.

    Attributes:
        service: The service.
        model: Name of the model.
        adapter: Name of the adapter, empty for the model itself.
        version: Wanted version of the weights.
        replicas: Runners that shall hold it; 0 means all. Adapters follow their model.
    """

    service: str
    model: str
    adapter: str
    version: str
    replicas: int

    @property
    def name(self) -> str:
        """The name under which engines list it."""
        return listed_name(self.model, self.adapter)


class RunnerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a runner.

    Attributes:
        runner_id: The runner.
        service: Its service.
        usable: Listed, reachable and not leaving.
        models: What is loaded and ready.
        versions: Version of each.
        busy: Requests that run or wait on it.
        up_s: Seconds since this start of the engine was first seen.
        ordered: True while an order to it is in progress.
    """

    runner_id: str
    service: str
    usable: bool
    models: list[str]
    versions: dict[str, str]
    busy: int
    up_s: float
    ordered: bool


class WantedOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order that should be sent now; it has no fence yet."""

    runner_id: str
    action: OrderAction
    model: str
    adapter: str
    version: str


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The next steps.

    Attributes:
        orders: Orders to send.
        withdrawn: All withdrawals in force from now on, each with its time of beginning.
        blocked: Changes that cannot be made now, with the reason, for the operators.
    """

    orders: list[WantedOrder]
    withdrawn: dict[Withdrawal, float]
    blocked: list[str]


def plan(
    wanted: Iterable[WantedModel],
    runners: Iterable[RunnerFacts],
    withdrawn: Mapping[Withdrawal, float],
    kept_to: Collection[Withdrawal],
    loads_in_progress: int,
    max_loads: int,
    now_s: float,
) -> Plan:
    """Return the next steps towards what is wanted.

    Args:
        wanted: All models and adapters of all services.
        runners: All listed runners.
        withdrawn: Withdrawals in force, with the time at which each began.
        kept_to: Those of them that every gateway keeps to.
        loads_in_progress: Load orders that are not done yet.
        max_loads: Most loads in progress.
        now_s: Monotonic time in seconds.
    """
    entries = sorted(wanted, key=lambda one: (one.service, one.model, one.adapter))
    adapters = [one for one in entries if one.adapter]
    planner = _Planner(adapters, withdrawn, kept_to, max_loads - loads_in_progress, now_s)
    known = list(runners)
    placed: dict[tuple[str, str], list[RunnerFacts]] = {}
    # Models before their adapters, which go where the model is.
    for entry in entries:
        pool = [one for one in known if one.service == entry.service and one.usable]
        if entry.adapter:
            chosen = placed.get((entry.service, entry.model), [])
            chosen = [one for one in chosen if entry.model in one.models]
        else:
            chosen = _choose(entry, pool)
            placed[entry.service, entry.model] = chosen
        planner.place(entry, pool, chosen)
    return Plan(orders=planner.orders, withdrawn=planner.kept, blocked=planner.blocked)


class _Planner:
    """Collects the steps of one round."""

    def __init__(
        self,
        adapters: list[WantedModel],
        withdrawn: Mapping[Withdrawal, float],
        kept_to: Collection[Withdrawal],
        load_slots: int,
        now_s: float,
    ) -> None:
        self.orders: list[WantedOrder] = []
        self.kept: dict[Withdrawal, float] = {}
        self.blocked: list[str] = []
        self._adapters = adapters
        self._withdrawn = withdrawn
        self._kept_to = kept_to
        self._load_slots = load_slots
        self._now_s = now_s
        self._ordered: set[str] = set()

    def place(self, entry: WantedModel, pool: list[RunnerFacts], chosen: list[RunnerFacts]) -> None:
        """Add the steps for one model or adapter."""
        name = entry.name
        for runner in chosen:
            if name not in runner.models:
                self._load(entry, runner)
        serving = [one for one in pool if self._serves(one, entry)]
        outdated = [one for one in chosen if name in one.models and not _is_current(entry, one)]
        for runner in outdated:
            if self._take_out(entry, runner, serving, len(chosen)):
                self._load(entry, runner)
        if outdated:
            self._add_spare(entry, pool, serving)
        complete = all(name in one.models and _is_current(entry, one) for one in chosen)
        if chosen and complete:
            self._unload_surplus(entry, pool, chosen, serving)

    def _unload_surplus(
        self,
        entry: WantedModel,
        pool: list[RunnerFacts],
        chosen: list[RunnerFacts],
        serving: list[RunnerFacts],
    ) -> None:
        for runner in pool:
            surplus = entry.name in runner.models and runner not in chosen
            if surplus and self._take_out(entry, runner, serving, len(chosen)):
                self._order(entry, runner, OrderAction.UNLOAD)

    def _take_out(
        self, entry: WantedModel, runner: RunnerFacts, serving: list[RunnerFacts], target: int
    ) -> bool:
        """Withdraw a model from a runner if that is allowed; return True once it may change."""
        withdrawal = Withdrawal(runner.runner_id, entry.name)
        since_s = self._withdrawn.get(withdrawal)
        if since_s is None:
            if not _may_take_down(len(serving), target) or runner.ordered:
                return False
            if self._is_last_with_an_adapter(entry, runner, serving):
                return False
            serving.remove(runner)
            self.kept[withdrawal] = self._now_s
            return False
        self.kept[withdrawal] = since_s
        age_s = self._now_s - since_s
        is_drained = withdrawal in self._kept_to and runner.busy == 0
        return age_s >= SETTLE_S and (is_drained or age_s >= DRAIN_LIMIT_S)

    def _serves(self, runner: RunnerFacts, entry: WantedModel) -> bool:
        """Return whether gateways may use a model or an adapter on a runner."""
        covering = {
            Withdrawal(runner.runner_id, entry.name),
            Withdrawal(runner.runner_id, entry.model),
        }
        is_withdrawn = any(one in self._withdrawn or one in self.kept for one in covering)
        return entry.name in runner.models and not is_withdrawn

    def _is_last_with_an_adapter(
        self, entry: WantedModel, runner: RunnerFacts, serving: list[RunnerFacts]
    ) -> bool:
        """Return whether no other runner serves one of the wanted adapters of a model."""
        if entry.adapter:
            return False
        held = [
            one
            for one in self._adapters
            if (one.service, one.model) == (entry.service, entry.model)
            and one.name in runner.models
        ]
        others = [one for one in serving if one is not runner]
        return any(not any(self._serves(other, one) for other in others) for one in held)

    def _add_spare(
        self, entry: WantedModel, pool: list[RunnerFacts], serving: list[RunnerFacts]
    ) -> None:
        """With a single ready runner left, load another one first, or say that there is none."""
        taken_down = any(
            withdrawal.model in (entry.name, entry.model)
            and withdrawal.runner_id in {o.runner_id for o in pool}
            for withdrawal in self.kept
        )
        if len(serving) != 1 or taken_down:
            return
        spares = [one for one in pool if entry.name not in one.models]
        if entry.adapter:
            spares = [one for one in spares if entry.model in one.models]
        if not spares:
            self.blocked.append(
                f"{entry.service}: {entry.name} version {entry.version} would leave no ready "
                f"runner: {serving[0].runner_id} is the only one; add a runner"
            )
        elif not any(one.ordered or one.runner_id in self._ordered for one in spares):
            self._load(entry, min(spares, key=lambda one: _preference(entry, one)))

    def _load(self, entry: WantedModel, runner: RunnerFacts) -> None:
        if self._load_slots <= 0 or runner.up_s < START_GRACE_S:
            return
        if self._order(entry, runner, OrderAction.LOAD):
            self._load_slots -= 1

    def _order(self, entry: WantedModel, runner: RunnerFacts, action: OrderAction) -> bool:
        if runner.ordered or runner.runner_id in self._ordered:
            return False
        self._ordered.add(runner.runner_id)
        self.orders.append(
            WantedOrder(
                runner_id=runner.runner_id,
                action=action,
                model=entry.model,
                adapter=entry.adapter,
                version=entry.version,
            )
        )
        return True


def listed_name(model: str, adapter: str) -> str:
    """Return the name under which engines list a model, or an adapter of one."""
    return f"{model}:{adapter}" if adapter else model


def is_done(order: WantedOrder, models: Iterable[str], versions: Mapping[str, str]) -> bool:
    """Return whether an engine's reading shows that an order was carried out."""
    name = listed_name(order.model, order.adapter)
    if order.action is OrderAction.UNLOAD:
        return name not in models
    return name in models and versions.get(name, order.version) == order.version


def _choose(entry: WantedModel, pool: list[RunnerFacts]) -> list[RunnerFacts]:
    count = entry.replicas or len(pool)
    return sorted(pool, key=lambda one: _preference(entry, one))[:count]


def _preference(entry: WantedModel, runner: RunnerFacts) -> tuple[int, int]:
    """Order runners: those with the wanted version, then with any, then by a stable hash."""
    held_rank = 0 if _is_current(entry, runner) else 1
    rank = held_rank if entry.name in runner.models else 2
    weight = xxhash.xxh64_intdigest(f"{entry.service}\0{entry.model}\0{runner.runner_id}".encode())
    return rank, weight


def _is_current(entry: WantedModel, runner: RunnerFacts) -> bool:
    # An engine that reports no version for it is taken to hold the wanted one.
    return runner.versions.get(entry.name, entry.version) == entry.version


def _may_take_down(serving: int, target: int) -> bool:
    rest = serving - 1
    if rest >= max(1, math.ceil(target * MIN_READY_RATIO)):
        return True
    # Small pools go one by one: nothing may be out when the next one goes.
    return rest >= 1 and serving >= target
