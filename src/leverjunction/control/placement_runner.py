"""Carries out placement orders on the process that leads group root.

Each order gets a fencing token (fence) from group root, is announced to a majority of the hubs,
and only then is sent. A successor therefore knows every order that may have been sent. Before it
sends orders of its own, it resends these with the same fence and id, which the engine recognises
as a resend. An engine refuses fences below the highest it has seen, so a delayed order can be
neither executed twice nor overtake a newer one.
"""

from __future__ import annotations

import random as random_module

import msgspec
from loguru import logger

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport, Order, OrderAction
from leverjunction.clock import Clock
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub
from leverjunction.control.hub_types import ClusterSnapshot
from leverjunction.control.layout import ROOT_GROUP
from leverjunction.control.messages import (
    PendingOrder,
    PlacementRecord,
    RunnerReading,
    Withdrawal,
)
from leverjunction.control.metrics import ControlMetrics
from leverjunction.control.order_in_progress import OrderInProgress
from leverjunction.control.placement import (
    DRAIN_LIMIT_S,
    RunnerStatus,
    WantedModel,
    WantedOrder,
    plan,
)
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.control.status import PlacementStatus
from leverjunction.control.withdrawals import Withdrawals
from leverjunction.errors import Failure
from leverjunction.settings.commands import Fence, GetSettings, PlacementFence, SettingsDelta
from leverjunction.settings.resolved import ResolvedSettings

FENCE_TIMEOUT_S = 2.0
REFUSED_PAUSE_S = 10.0
"""A runner whose engine refused an order gets no further order for this long."""

LEADER = "leader"


class PlacementRunner:
    """Runs one round of placement per tick, on the process that leads group root.

    ``tick`` is called by a single background task.

    Args:
        name: Name of this process.
        replica: Local replica of group root; None on a process without one.
        host: Obtains fences and reads settings through group root.
        hub: Provides snapshots of the cluster and distributes placement records.
        mirror: Settings in force.
        engines: Client that sends orders to engines.
        clock: Source of monotonic time.
        random: Source of order ids.
        counters: Counts orders by outcome.
        max_loads: Maximum number of weight loads in progress.
    """

    def __init__(
        self,
        name: str,
        replica: ReplicatedGroup | None,
        host: GroupHost,
        hub: Hub,
        mirror: SettingsMirror,
        engines: EngineClient,
        clock: Clock,
        random: random_module.Random,
        counters: ControlMetrics,
        max_loads: int,
    ) -> None:
        self._name = name
        self._replica = replica
        self._host = host
        self._hub = hub
        self._mirror = mirror
        self._engines = engines
        self._clock = clock
        self._random = random
        self._counters = counters
        self._max_loads = max_loads
        self._term = 0
        self._record: PlacementRecord | None = None
        self._revision = 0
        self._orders: dict[str, OrderInProgress] = {}
        self._withdrawals = Withdrawals()
        self._blocked: list[str] = []
        self._paused_until_s: dict[str, float] = {}
        self._first_seen: dict[str, tuple[int, float]] = {}

    def tick(self) -> None:
        """Run one round if this process leads group root."""
        term = self._current_leader_term()
        if term == 0:
            self._step_down()
            return
        if term != self._term and not self._take_over(term):
            return
        now_s = self._clock.monotonic_s()
        snapshot = self._hub.snapshot()
        self._drop_ended_orders(snapshot, now_s)
        self._plan(snapshot, now_s)
        self._publish(term)
        self._send_announced()

    def _publish(self, term: int) -> None:
        """Pass the placement record to the hub, under a new revision if it changed."""
        last = self._record
        record = PlacementRecord(
            term=term,
            revision=self._revision,
            withdrawn=sorted(self._withdrawals.since_s),
            orders=[order.pending for order in self._orders.values()],
        )
        if record != last:
            self._revision += 1
            record = msgspec.structs.replace(record, revision=self._revision)
            self._record = record
            self._withdrawals.record_announced(record.stamp)
            for order in self._orders.values():
                order.announced = order.announced or record.stamp
        self._hub.set_placement(record)

    def status(self) -> PlacementStatus:
        """Return the state of placement for operators."""
        orders = [order.pending for order in list(self._orders.values())]
        return PlacementStatus(
            leads=self._term != 0,
            in_progress=[
                f"{pending.runner_id}: {pending.order.action} {pending.order.model} "
                f"{pending.order.adapter} version {pending.order.version}"
                for pending in orders
            ],
            withdrawn=sorted(self._withdrawals.since_s),
            blocked=self._blocked,
        )

    def _current_leader_term(self) -> int:
        if self._replica is None:
            return 0
        status = self._replica.status()
        return status.term if status.role == LEADER else 0

    def _step_down(self) -> None:
        if self._term == 0:
            return
        logger.info("placement: this process no longer leads")
        self._term = 0
        self._record = None
        self._orders.clear()
        self._withdrawals.take_over(None, 0.0)
        self._blocked = []

    def _take_over(self, term: int) -> bool:
        """Continue the work of the last leader; return False while this process is not up to date.

        Each order was announced to a majority of hubs before it was sent. A process that has heard
        from a majority since its start therefore knows every order that may have been sent.
        """
        if not self._hub.hears_majority():
            return False
        query = GetSettings(after_version=self._mirror.version)
        # Answered through the quorum, so it shows committed changes that are not applied here yet.
        delta = self._host.query(ROOT_GROUP, query, SettingsDelta, FENCE_TIMEOUT_S)
        if isinstance(delta, Failure) or delta.version > self._mirror.version:
            return False
        now_s = self._clock.monotonic_s()
        last = self._hub.placement_record()
        self._withdrawals.take_over(last, now_s)
        orders = last.orders if last is not None else []
        self._orders = {
            order.runner_id: OrderInProgress(pending=order, started_s=now_s) for order in orders
        }
        self._term = term
        self._record = None
        # Within a term, revisions continue from the last record: hubs ignore an older record.
        self._revision = last.revision if last is not None and last.term == term else 0
        logger.info("placement: leading in term {}, {} orders in progress", term, len(orders))
        return True

    def _drop_ended_orders(self, snapshot: ClusterSnapshot, now_s: float) -> None:
        """Drop orders that are done, were lost with a restart of the engine, or timed out."""
        listed = {runner.runner_id for runner in snapshot.runners}
        for runner_id, order in list(self._orders.items()):
            reading = snapshot.readings.get(runner_id)
            if runner_id not in listed or order.has_ended(reading, now_s):
                del self._orders[runner_id]

    def _plan(self, snapshot: ClusterSnapshot, now_s: float) -> None:
        loads = [
            order
            for order in self._orders.values()
            if order.pending.order.action is OrderAction.LOAD
        ]
        self._withdrawals.update_in_force(self._hub.oldest_placement_in_force(), now_s)
        steps = plan(
            wanted_models(self._mirror.settings),
            self._runner_statuses(snapshot, now_s),
            self._withdrawals.since_s,
            self._withdrawals.applied(),
            len(loads),
            self._max_loads,
            now_s,
        )
        if steps.blocked != self._blocked:
            for reason in steps.blocked:
                logger.warning("placement: blocked: {}", reason)
        self._withdrawals.replace(steps.withdrawn)
        self._blocked = steps.blocked
        addresses = {runner.runner_id: runner.address for runner in snapshot.runners}
        for wanted in steps.orders:
            fence = self._host.propose(
                ROOT_GROUP, PlacementFence(controller=self._name), Fence, FENCE_TIMEOUT_S
            )
            if isinstance(fence, Failure):
                return
            reading = snapshot.readings[wanted.runner_id]
            self._orders[wanted.runner_id] = OrderInProgress(
                pending=self._make_pending_order(
                    wanted, addresses[wanted.runner_id], reading, fence
                ),
                started_s=self._clock.monotonic_s(),
            )

    def _make_pending_order(
        self, wanted: WantedOrder, address: str, reading: RunnerReading, fence: Fence
    ) -> PendingOrder:
        order = Order(
            fence=fence,
            order_id=f"{self._random.getrandbits(64):016x}",
            action=wanted.action,
            model=wanted.model,
            adapter=wanted.adapter,
            version=wanted.version,
        )
        logger.info("placement: {} {} on {}", wanted.action, wanted, address)
        return PendingOrder(
            runner_id=wanted.runner_id,
            address=address,
            order=order,
            incarnation=reading.incarnation,
        )

    def _send_announced(self) -> None:
        for order in list(self._orders.values()):
            announced = order.announced is not None and self._hub.is_placement_known_to_majority(
                order.announced
            )
            if announced and not order.sent and self._current_leader_term() == self._term:
                self._send(order)

    def _send(self, order: OrderInProgress) -> None:
        pending = order.pending
        report = self._engines.load(pending.address)
        if isinstance(report, Failure):
            self._counters.orders.labels("failed").inc()
            return
        if order.targets_other_incarnation(report):
            # The order ends as soon as the hub that watches the runner reports the restart.
            return
        if not self._may_send(order, report):
            return
        outcome = self._engines.order(pending.address, pending.order)
        if isinstance(outcome, Failure):
            # Resent unchanged in the next round: the engine recognises a resend by fence and id.
            self._counters.orders.labels("failed").inc()
            return
        if outcome.accepted:
            self._counters.orders.labels("accepted").inc()
            order.sent = True
            return
        self._counters.orders.labels("refused").inc()
        logger.warning("placement: {} refused its order: {}", pending.runner_id, outcome.reason)
        del self._orders[pending.runner_id]
        self._paused_until_s[pending.runner_id] = self._clock.monotonic_s() + REFUSED_PAUSE_S

    def _may_send(self, order: OrderInProgress, report: LoadReport) -> bool:
        """Return whether the order may be sent, judged by the engine's own load report.

        The planner knows the load only from digests, which are seconds old, so the report must
        show that no request uses the model, unless ``DRAIN_LIMIT_S`` has passed. An order whose
        withdrawal has been lifted in the meantime is obsolete and is dropped.
        """
        pending = order.pending
        name = order.engine_model_name
        if name not in report.models:
            return True
        withdrawal = Withdrawal(pending.runner_id, name)
        since_s = self._withdrawals.since_s.get(withdrawal)
        if since_s is None:
            logger.info(
                "placement: {} is in use again on {}; order dropped", name, pending.runner_id
            )
            del self._orders[pending.runner_id]
            return False
        now_s = self._clock.monotonic_s()
        is_idle = report.running + report.waiting == 0
        is_drained = is_idle and self._withdrawals.report_covers_all_requests(withdrawal, now_s)
        return is_drained or now_s - since_s >= DRAIN_LIMIT_S

    def _runner_statuses(self, snapshot: ClusterSnapshot, now_s: float) -> list[RunnerStatus]:
        busy = {digest.runner_id: digest.running + digest.waiting for digest in snapshot.digests}
        statuses = []
        for runner in snapshot.runners:
            reading = snapshot.readings.get(runner.runner_id)
            if reading is None:
                continue
            statuses.append(
                RunnerStatus(
                    runner_id=runner.runner_id,
                    service=runner.service,
                    usable=reading.reachable and not runner.leaving,
                    models=reading.models,
                    versions=reading.versions,
                    busy=busy.get(runner.runner_id, 0),
                    up_s=now_s - self._first_seen_s(reading, now_s),
                    ordered=runner.runner_id in self._orders
                    or self._paused_until_s.get(runner.runner_id, now_s) > now_s,
                )
            )
        return statuses

    def _first_seen_s(self, reading: RunnerReading, now_s: float) -> float:
        known = self._first_seen.get(reading.runner_id)
        if known is None or known[0] != reading.incarnation:
            known = self._first_seen[reading.runner_id] = (reading.incarnation, now_s)
        return known[1]


def wanted_models(settings: ResolvedSettings) -> list[WantedModel]:
    """Return every model and adapter that the settings assign to a service."""
    wanted: list[WantedModel] = []
    for service in settings.names("services"):
        for model in settings.models(service):
            versions = {"": model.version, **model.adapters}
            wanted += [
                WantedModel(
                    service=service,
                    model=model.name,
                    adapter=adapter,
                    version=version,
                    replicas=model.replicas,
                )
                for adapter, version in versions.items()
            ]
    return wanted
