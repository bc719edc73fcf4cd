"""Plans on which runners models are loaded, and the next orders to get there. Pure: no I/O.

A runner is an inference engine process; a service is a pool of runners. Rules:

* A model is placed on ``replicas`` runners of its service, or on all of them. Runners that already
  hold the wanted version are chosen first, which keeps the number of changes low.
* Before a model is unloaded or reloaded on a runner, it is withdrawn there: the change waits until
  every gateway has stopped using the model on that runner and the runner is idle. No request
  therefore reaches an unloaded model.
* A withdrawal of a model also covers its adapters, and waits until other runners serve them.
* A withdrawal never takes the last ready runner, and leaves three quarters of a larger pool. A
  single replica is replaced by loading the model on a spare runner first. Without a spare, the
  change is reported as blocked.
* The number of loads in progress is limited, because all loads share the bandwidth of the weight
  store.
* Each runner has at most one order in progress. Models that are not in the settings are left
  untouched.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

import msgspec
import xxhash

from leverjunction.backends.types import OrderAction
from leverjunction.control.messages import Withdrawal

SETTLE_S = 3.0
"""Minimum time between a withdrawal and the change. It covers one sync between hubs and one
exchange, for gateways that no hub knows at the moment.
"""

DRAIN_LIMIT_S = 60.0
"""A runner that is still in use this long after the withdrawal is changed regardless."""

START_GRACE_S = 3.0
"""No load is ordered this soon after a start: the runner may still be loading its own models."""

MIN_READY_RATIO = 0.75


class WantedModel(msgspec.Struct, frozen=True, kw_only=True):
    """A model, or an adapter of a model, that the settings assign to a service.

    Attributes:
        service: The service.
        model: Name of the model.
        adapter: Name of the adapter, empty for the model itself.
        version: Wanted version of the weights.
        replicas: Number of runners that should hold it; 0 means all. Adapters follow their model.
    """

    service: str
    model: str
    adapter: str
    version: str
    replicas: int

    @property
    def name(self) -> str:
        """The name under which engines list this model or adapter."""
        return engine_model_name(self.model, self.adapter)


class RunnerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a runner as the planner sees it.

    Attributes:
        runner_id: The runner.
        service: Its service.
        usable: True if the runner is listed, reachable and not leaving.
        models: Models and adapters that are loaded and ready.
        versions: Version of each loaded model or adapter, by name.
        busy: Number of requests that run or wait on the runner.
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
    """An order that should be sent now and has no fencing token yet."""

    runner_id: str
    action: OrderAction
    model: str
    adapter: str
    version: str


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one planning round.

    Attributes:
        orders: Orders to send.
        withdrawn: All withdrawals in force from now on, each with its start time.
        blocked: Changes that cannot be made now, with the reason, for the operators.
    """

    orders: list[WantedOrder]
    withdrawn: dict[Withdrawal, float]
    blocked: list[str]


def plan(
    wanted: Iterable[WantedModel],
    runners: Iterable[RunnerStatus],
    withdrawn: Mapping[Withdrawal, float],
    applied: Collection[Withdrawal],
    loads_in_progress: int,
    max_loads: int,
    now_s: float,
) -> Plan:
    """Plan the next steps towards the wanted placement.

    Args:
        wanted: All models and adapters of all services.
        runners: All listed runners.
        withdrawn: Withdrawals in force, each with its start time.
        applied: The withdrawals that every gateway has applied.
        loads_in_progress: Number of load orders that are not done yet.
        max_loads: Maximum number of loads in progress.
        now_s: Monotonic time in seconds.
    """
    entries = sorted(wanted, key=lambda entry: (entry.service, entry.model, entry.adapter))
    adapters = [entry for entry in entries if entry.adapter]
    planner = _Planner(adapters, withdrawn, applied, max_loads - loads_in_progress, now_s)
    all_runners = list(runners)
    placed: dict[tuple[str, str], list[RunnerStatus]] = {}
    # Models sort before their adapters, which are placed on the runners of their model.
    for entry in entries:
        pool = [
            runner for runner in all_runners if runner.service == entry.service and runner.usable
        ]
        if entry.adapter:
            chosen = placed.get((entry.service, entry.model), [])
            chosen = [runner for runner in chosen if entry.model in runner.models]
        else:
            chosen = _choose_runners(entry, pool)
            placed[entry.service, entry.model] = chosen
        planner.place(entry, pool, chosen)
    return Plan(orders=planner.orders, withdrawn=planner.withdrawn, blocked=planner.blocked)


class _Planner:
    """Collects the orders, withdrawals and blocked changes of one planning round."""

    def __init__(
        self,
        adapters: list[WantedModel],
        withdrawn: Mapping[Withdrawal, float],
        applied: Collection[Withdrawal],
        load_slots: int,
        now_s: float,
    ) -> None:
        self.orders: list[WantedOrder] = []
        self.withdrawn: dict[Withdrawal, float] = {}
        self.blocked: list[str] = []
        self._adapters = adapters
        self._previously_withdrawn = withdrawn
        self._applied = applied
        self._load_slots = load_slots
        self._now_s = now_s
        self._ordered: set[str] = set()

    def place(
        self, entry: WantedModel, pool: list[RunnerStatus], chosen: list[RunnerStatus]
    ) -> None:
        """Add the steps for one model or adapter.

        Args:
            entry: The model or adapter.
            pool: Usable runners of its service.
            chosen: Runners of the pool that should hold it.
        """
        name = entry.name
        for runner in chosen:
            if name not in runner.models:
                self._load(entry, runner)
        serving = [runner for runner in pool if self._serves(runner, entry)]
        outdated = [
            runner for runner in chosen if name in runner.models and not _is_current(entry, runner)
        ]
        for runner in outdated:
            if self._withdraw(entry, runner, serving, len(chosen)):
                self._load(entry, runner)
        if outdated:
            self._add_spare(entry, pool, serving)
        complete = all(name in runner.models and _is_current(entry, runner) for runner in chosen)
        if chosen and complete:
            self._unload_surplus(entry, pool, chosen, serving)

    def _unload_surplus(
        self,
        entry: WantedModel,
        pool: list[RunnerStatus],
        chosen: list[RunnerStatus],
        serving: list[RunnerStatus],
    ) -> None:
        for runner in pool:
            surplus = entry.name in runner.models and runner not in chosen
            if surplus and self._withdraw(entry, runner, serving, len(chosen)):
                self._order(entry, runner, OrderAction.UNLOAD)

    def _withdraw(
        self, entry: WantedModel, runner: RunnerStatus, serving: list[RunnerStatus], target: int
    ) -> bool:
        """Withdraw a model from a runner if allowed; return True once it may be changed there."""
        withdrawal = Withdrawal(runner.runner_id, entry.name)
        since_s = self._previously_withdrawn.get(withdrawal)
        if since_s is None:
            if not _may_withdraw_one(len(serving), target) or runner.ordered:
                return False
            if self._is_last_with_an_adapter(entry, runner, serving):
                return False
            serving.remove(runner)
            self.withdrawn[withdrawal] = self._now_s
            return False
        self.withdrawn[withdrawal] = since_s
        age_s = self._now_s - since_s
        is_drained = withdrawal in self._applied and runner.busy == 0
        return age_s >= SETTLE_S and (is_drained or age_s >= DRAIN_LIMIT_S)

    def _serves(self, runner: RunnerStatus, entry: WantedModel) -> bool:
        """Return whether gateways may use a model or an adapter on a runner."""
        covering = {
            Withdrawal(runner.runner_id, entry.name),
            Withdrawal(runner.runner_id, entry.model),
        }
        is_withdrawn = any(
            withdrawal in self._previously_withdrawn or withdrawal in self.withdrawn
            for withdrawal in covering
        )
        return entry.name in runner.models and not is_withdrawn

    def _is_last_with_an_adapter(
        self, entry: WantedModel, runner: RunnerStatus, serving: list[RunnerStatus]
    ) -> bool:
        """Return whether no other runner serves one of the wanted adapters of a model."""
        if entry.adapter:
            return False
        held = [
            adapter
            for adapter in self._adapters
            if (adapter.service, adapter.model) == (entry.service, entry.model)
            and adapter.name in runner.models
        ]
        others = [other for other in serving if other is not runner]
        return any(not any(self._serves(other, adapter) for other in others) for adapter in held)

    def _add_spare(
        self, entry: WantedModel, pool: list[RunnerStatus], serving: list[RunnerStatus]
    ) -> None:
        """Load a spare runner if one ready runner is left, or report the change as blocked."""
        taken_down = any(
            withdrawal.model in (entry.name, entry.model)
            and withdrawal.runner_id in {o.runner_id for o in pool}
            for withdrawal in self.withdrawn
        )
        if len(serving) != 1 or taken_down:
            return
        spares = [spare for spare in pool if entry.name not in spare.models]
        if entry.adapter:
            spares = [spare for spare in spares if entry.model in spare.models]
        if not spares:
            self.blocked.append(
                f"{entry.service}: {entry.name} version {entry.version} would leave no ready "
                f"runner: {serving[0].runner_id} is the only one; add a runner"
            )
        elif not any(spare.ordered or spare.runner_id in self._ordered for spare in spares):
            self._load(entry, min(spares, key=lambda spare: _placement_rank(entry, spare)))

    def _load(self, entry: WantedModel, runner: RunnerStatus) -> None:
        if self._load_slots <= 0 or runner.up_s < START_GRACE_S:
            return
        if self._order(entry, runner, OrderAction.LOAD):
            self._load_slots -= 1

    def _order(self, entry: WantedModel, runner: RunnerStatus, action: OrderAction) -> bool:
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


def engine_model_name(model: str, adapter: str) -> str:
    """Return the name under which engines list a model or an adapter of a model."""
    return f"{model}:{adapter}" if adapter else model


def is_done(order: WantedOrder, models: Iterable[str], versions: Mapping[str, str]) -> bool:
    """Return whether what an engine reports as loaded shows that an order was carried out."""
    name = engine_model_name(order.model, order.adapter)
    if order.action is OrderAction.UNLOAD:
        return name not in models
    return name in models and versions.get(name, order.version) == order.version


def _choose_runners(entry: WantedModel, pool: list[RunnerStatus]) -> list[RunnerStatus]:
    count = entry.replicas or len(pool)
    return sorted(pool, key=lambda runner: _placement_rank(entry, runner))[:count]


def _placement_rank(entry: WantedModel, runner: RunnerStatus) -> tuple[int, int]:
    """Return a sort key: runners with the wanted version, then any version, then a stable hash."""
    held_rank = 0 if _is_current(entry, runner) else 1
    rank = held_rank if entry.name in runner.models else 2
    weight = xxhash.xxh64_intdigest(f"{entry.service}\0{entry.model}\0{runner.runner_id}".encode())
    return rank, weight


def _is_current(entry: WantedModel, runner: RunnerStatus) -> bool:
    # An engine that reports no version for the model is assumed to hold the wanted version.
    return runner.versions.get(entry.name, entry.version) == entry.version


def _may_withdraw_one(serving: int, target: int) -> bool:
    remaining = serving - 1
    if remaining >= max(1, math.ceil(target * MIN_READY_RATIO)):
        return True
    # Small pools are changed one runner at a time: all others must be serving.
    return remaining >= 1 and serving >= target
