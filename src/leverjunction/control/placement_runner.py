"""Carries out placement on the process that leads group root.

An order gets its own fence from group root, is told to most of the other hubs, and only then is
sent. So a successor finds every order that may have been sent: it sends it again with the same
fence and id, which an engine takes as a resend, before it gives orders of its own. An engine
refuses fences below the highest it has seen, so late orders can neither double nor overtake.
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
from leverjunction.control.hub_types import ClusterPicture
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
    RunnerFacts,
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
"""A runner whose engine refused an order gets no other one for this long."""

LEADER = "leader"


class PlacementRunner:
    """One round of placement for each tick. Called by one background task.

    Args:
        name: Name of this process.
        replica: Local replica of group root; None on a process that holds none.
        host: Takes fences through group root.
        hub: Gives the cluster's picture, takes withdrawals.
        mirror: Settings in force.
        engines: Sends orders.
        clock: Source of monotonic time.
        random: Source of order ids.
        counters: Counts orders.
        max_loads: Weight loads in progress at most.
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
        """Do one round if this process leads group root."""
        term = self._led_term()
        if term == 0:
            self._step_down()
            return
        if term != self._term and not self._take_over(term):
            return
        now_s = self._clock.monotonic_s()
        picture = self._hub.picture()
        self._settle(picture, now_s)
        self._plan(picture, now_s)
        self._publish(term)
        self._send_told()

    def _publish(self, term: int) -> None:
        """Give the hubs what they have to know, under a new revision if it changed."""
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
            self._withdrawals.told(record.stamp)
            for order in self._orders.values():
                order.told = order.told or record.stamp
        self._hub.placement_set(record)

    def status(self) -> PlacementStatus:
        """Return what the operators see."""
        orders = [order.pending for order in list(self._orders.values())]
        return PlacementStatus(
            leads=self._term != 0,
            in_progress=[
                f"{one.runner_id}: {one.order.action} {one.order.model} {one.order.adapter} "
                f"version {one.order.version}"
                for one in orders
            ],
            withdrawn=sorted(self._withdrawals.since_s),
            blocked=self._blocked,
        )

    def _led_term(self) -> int:
        if self._replica is None:
            return 0
        status = self._replica.status()
        return status.term if status.role == LEADER else 0

    def _step_down(self) -> None:
        if self._term == 0:
            return
        logger.info("placement: no longer leads")
        self._term = 0
        self._record = None
        self._orders.clear()
        self._withdrawals.take_over(None, 0.0)
        self._blocked = []

    def _take_over(self, term: int) -> bool:
        """Go on where the last leader was; return False while this process is not up to date.

        Each order was told to most hubs before it was sent. So a process that has heard most of
        them since it started knows each order that may have been sent.
        """
        if not self._hub.hears_majority():
            return False
        query = GetSettings(after_version=self._mirror.version)
        # Answered through the quorum: tells whether a change is committed but not applied here.
        delta = self._host.query(ROOT_GROUP, query, SettingsDelta, FENCE_TIMEOUT_S)
        if isinstance(delta, Failure) or delta.version > self._mirror.version:
            return False
        now_s = self._clock.monotonic_s()
        last = self._hub.placement_record()
        self._withdrawals.take_over(last, now_s)
        orders = last.orders if last is not None else []
        self._orders = {
            order.runner_id: OrderInProgress(pending=order, began_s=now_s) for order in orders
        }
        self._term = term
        self._record = None
        # Within one term records go on from the last one: an older one would not be taken.
        self._revision = last.revision if last is not None and last.term == term else 0
        logger.info("placement: leads in term {}, {} orders in progress", term, len(orders))
        return True

    def _settle(self, picture: ClusterPicture, now_s: float) -> None:
        """Forget orders that are done, lost with a restart of the engine, or out of time."""
        listed = {runner.runner_id for runner in picture.runners}
        for runner_id, order in list(self._orders.items()):
            reading = picture.readings.get(runner_id)
            if runner_id not in listed or order.is_over(reading, now_s):
                del self._orders[runner_id]

    def _plan(self, picture: ClusterPicture, now_s: float) -> None:
        loads = [
            one for one in self._orders.values() if one.pending.order.action is OrderAction.LOAD
        ]
        self._withdrawals.heard(self._hub.placement_in_force(), now_s)
        steps = plan(
            wanted_models(self._mirror.settings),
            self._facts(picture, now_s),
            self._withdrawals.since_s,
            self._withdrawals.kept_to(),
            len(loads),
            self._max_loads,
            now_s,
        )
        if steps.blocked != self._blocked:
            for reason in steps.blocked:
                logger.warning("placement: blocked: {}", reason)
        self._withdrawals.replace(steps.withdrawn)
        self._blocked = steps.blocked
        addresses = {runner.runner_id: runner.address for runner in picture.runners}
        for wanted in steps.orders:
            fence = self._host.propose(
                ROOT_GROUP, PlacementFence(controller=self._name), Fence, FENCE_TIMEOUT_S
            )
            if isinstance(fence, Failure):
                return
            reading = picture.readings[wanted.runner_id]
            self._orders[wanted.runner_id] = OrderInProgress(
                pending=self._pending(wanted, addresses[wanted.runner_id], reading, fence),
                began_s=self._clock.monotonic_s(),
            )

    def _pending(
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

    def _send_told(self) -> None:
        for order in list(self._orders.values()):
            told = order.told is not None and self._hub.placement_told_most(order.told)
            if told and not order.sent and self._led_term() == self._term:
                self._send(order)

    def _send(self, order: OrderInProgress) -> None:
        pending = order.pending
        report = self._engines.load(pending.address)
        if isinstance(report, Failure):
            self._counters.orders.labels("failed").inc()
            return
        if order.is_for_another_life(report):
            # The reading of the hub that watches it will tell, and the order ends.
            return
        if not self._may_change(order, report):
            return
        outcome = self._engines.order(pending.address, pending.order)
        if isinstance(outcome, Failure):
            # Sent again as it is in the next round: the engine knows a resend by fence and id.
            self._counters.orders.labels("failed").inc()
            return
        if outcome.accepted:
            self._counters.orders.labels("accepted").inc()
            order.sent = True
            return
        self._counters.orders.labels("refused").inc()
        logger.warning("placement: {} refused the order: {}", pending.runner_id, outcome.reason)
        del self._orders[pending.runner_id]
        self._paused_until_s[pending.runner_id] = self._clock.monotonic_s() + REFUSED_PAUSE_S

    def _may_change(self, order: OrderInProgress, report: LoadReport) -> bool:
        """Return whether no request meets the change by the engine's own word.

        The planner knows its load from digests, which are seconds old. An order whose withdrawal
        was lifted meanwhile is no longer wanted, and ends.
        """
        pending = order.pending
        name = order.listed_name
        if name not in report.models:
            return True
        withdrawal = Withdrawal(pending.runner_id, name)
        since_s = self._withdrawals.since_s.get(withdrawal)
        if since_s is None:
            logger.info("placement: {} is in use on {}, its order ends", name, pending.runner_id)
            del self._orders[pending.runner_id]
            return False
        now_s = self._clock.monotonic_s()
        is_idle = report.running + report.waiting == 0
        is_drained = is_idle and self._withdrawals.shows_all(withdrawal, now_s)
        return is_drained or now_s - since_s >= DRAIN_LIMIT_S

    def _facts(self, picture: ClusterPicture, now_s: float) -> list[RunnerFacts]:
        busy = {one.runner_id: one.running + one.waiting for one in picture.digests}
        facts = []
        for runner in picture.runners:
            reading = picture.readings.get(runner.runner_id)
            if reading is None:
                continue
            facts.append(
                RunnerFacts(
                    runner_id=runner.runner_id,
                    service=runner.service,
                    usable=reading.reachable and not runner.leaving,
                    models=reading.models,
                    versions=reading.versions,
                    busy=busy.get(runner.runner_id, 0),
                    up_s=now_s - self._seen_since(reading, now_s),
                    ordered=runner.runner_id in self._orders
                    or self._paused_until_s.get(runner.runner_id, now_s) > now_s,
                )
            )
        return facts

    def _seen_since(self, reading: RunnerReading, now_s: float) -> float:
        known = self._first_seen.get(reading.runner_id)
        if known is None or known[0] != reading.incarnation:
            known = self._first_seen[reading.runner_id] = (reading.incarnation, now_s)
        return known[1]


def wanted_models(settings: ResolvedSettings) -> list[WantedModel]:
    """Return every model and adapter that the settings want loaded."""
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
