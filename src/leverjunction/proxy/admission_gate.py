"""Applies admission control on the event loop: holds requests, and reads loads meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.admission import (
    AdmissionQueue,
    Decision,
    EstimateOf,
    LoadEstimate,
    Ticket,
    retry_after_s,
)
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import EngineLoad
from leverjunction.proxy.share_gate import ShareGate
from leverjunction.proxy.tenant_shares import SharePlan, Standing

RELEASE_INTERVAL_S = 0.02
"""Interval of checking the held requests: a loaded back end frees a slot every 10 to 100 ms."""

LOAD_READ_INTERVAL_S = 0.1
"""Interval between readings of the back ends' loads while requests are held."""

READS_PER_INTERVAL = 6
"""Back ends whose load is read per interval, those with the oldest loads first. Held requests thus
cost 60 readings per second and gateway, however many back ends there are.
"""


class AdmissionGate:
    """Admission control of all services; used by one event loop.

    Args:
        balancer: Provides the load of the back ends.
        sender: Reads it.
        on_change: Called with a service and the number of its held requests when that changes.
        shares: Shares of the tenants; None to make no difference between tenants.
    """

    __slots__ = (
        "_balancer",
        "_loop",
        "_on_change",
        "_queues",
        "_readings",
        "_sender",
        "_shares",
        "_waiters",
        "_workers",
    )

    def __init__(
        self,
        balancer: Balancer,
        sender: Sender,
        on_change: Callable[[str, int], None] | None = None,
        shares: ShareGate | None = None,
    ) -> None:
        self._balancer = balancer
        self._on_change = on_change
        self._sender = sender
        self._shares = shares
        self._loop = asyncio.get_running_loop()
        self._queues: dict[str, AdmissionQueue] = {}
        self._waiters: dict[Ticket, asyncio.Future[Failure | None]] = {}
        self._workers: dict[str, asyncio.Task[None]] = {}
        self._readings: set[asyncio.Task[EngineLoad | None]] = set()

    async def enter(self, service: str, ticket: Ticket) -> Failure | None:
        """Wait until a request may be sent.

        Returns:
            None if the request may be sent, or the refusal of one that has not run.
        """
        refusal = await self._enter(service, ticket)
        if self._shares is not None:
            self._shares.ended(ticket, refusal)
        return refusal

    async def _enter(self, service: str, ticket: Ticket) -> Failure | None:
        now_s = self._loop.time()
        queue = self._queues.setdefault(service, AdmissionQueue(now_s))
        service_load = self._balancer.estimate_load(service, now_s)
        plan = self._enter_shares(service, ticket, service_load, now_s)
        estimate = self._estimate_for(service, ticket, now_s)
        decision = queue.admit(ticket, estimate, now_s, plan, self._free(service, plan, now_s))
        if self._shares is not None and plan is not None:
            self._shares.decided(service, ticket, decision)
        if decision is Decision.SEND:
            return None
        if decision is Decision.REFUSE:
            return self._refusal(service, ticket, estimate, plan)
        return await self._wait(service, ticket)

    async def enter_again(self, service: str, ticket: Ticket) -> Failure | None:
        """Wait until a request may be sent that has entered before and that was declined.

        Returns:
            None if the request may be sent, or the refusal of one that has not run.
        """
        now_s = self._loop.time()
        queue = self._queues.setdefault(service, AdmissionQueue(now_s))
        if ticket.is_expired(now_s):
            estimate = self._estimate_for(service, ticket, now_s)
            return self._refusal(service, ticket, estimate, None)
        queue.hold(ticket)
        return await self._wait(service, ticket)

    async def _wait(self, service: str, ticket: Ticket) -> Failure | None:
        """Wait until a held request is released or refused."""
        queue = self._queues[service]
        waiter = self._waiters[ticket] = self._loop.create_future()
        self._notify(service)
        self._ensure_worker(service)
        try:
            return await waiter
        finally:
            del self._waiters[ticket]
            queue.discard(ticket)
            self._notify(service)

    def waiting(self) -> dict[str, tuple[int, float]]:
        """Return the number of held requests and the age in seconds of the oldest, by service.

        Contains every service that has had a request.
        """
        now_s = self._loop.time()
        return {
            name: (queue.held, queue.oldest_age_s(now_s)) for name, queue in self._queues.items()
        }

    def _enter_shares(
        self, service: str, ticket: Ticket, estimate: LoadEstimate | None, now_s: float
    ) -> SharePlan | None:
        if self._shares is None:
            return None
        return self._shares.enter(service, ticket, estimate, now_s)

    def _plan(self, service: str, estimate: LoadEstimate | None, now_s: float) -> SharePlan | None:
        if self._shares is None:
            return None
        holds_surplus = self._queues[service].holds_surplus
        return self._shares.plan(service, estimate, now_s, holds_surplus=holds_surplus)

    def _estimate_for(self, service: str, ticket: Ticket, now_s: float) -> LoadEstimate | None:
        """Return the load of the back ends that may run a request."""
        return self._balancer.estimate_load(service, now_s, ticket.only_version)

    def _estimates(self, service: str, now_s: float) -> EstimateOf:
        """Return a function for the loads of held requests that reads each load once."""
        known: dict[str | None, LoadEstimate | None] = {}

        def estimate_of(ticket: Ticket) -> LoadEstimate | None:
            version = ticket.only_version
            if version not in known:
                known[version] = self._estimate_for(service, ticket, now_s)
            return known[version]

        return estimate_of

    def _free(self, service: str, plan: SharePlan | None, now_s: float) -> float:
        """Return the slots without an online request, as far as known; used with a plan only."""
        if plan is None:
            return 0.0
        return sum(
            max(0.0, runner.slots - runner.load(now_s))
            for runner in self._balancer.available(service)
            if runner.ejected_until_s <= now_s
        )

    def _notify(self, service: str) -> None:
        if self._on_change is not None:
            self._on_change(service, self._queues[service].held)

    def _ensure_worker(self, service: str) -> None:
        worker = self._workers.get(service)
        if worker is None or worker.done():
            self._workers[service] = self._loop.create_task(self._run_queue(service))

    async def _run_queue(self, service: str) -> None:
        """Release or refuse requests until none is held."""
        queue = self._queues[service]
        last_read_s = float("-inf")
        while queue.held:
            now_s = self._loop.time()
            if now_s - last_read_s >= LOAD_READ_INTERVAL_S:
                last_read_s = now_s
                self._read_loads(service)
            for ticket in queue.pop_expired(now_s):
                plan = self._plan(service, self._balancer.estimate_load(service, now_s), now_s)
                estimate = self._estimate_for(service, ticket, now_s)
                self._resolve(ticket, self._refusal(service, ticket, estimate, plan))
            await self._release_ready(service, queue)
            await asyncio.sleep(RELEASE_INTERVAL_S)

    async def _release_ready(self, service: str, queue: AdmissionQueue) -> None:
        while True:
            now_s = self._loop.time()
            estimate = self._balancer.estimate_load(service, now_s)
            plan = self._plan(service, estimate, now_s)
            ticket = queue.pop_next(
                estimate,
                now_s,
                plan,
                self._free(service, plan, now_s),
                self._estimates(service, now_s),
            )
            if ticket is None:
                return
            self._resolve(ticket, None)
            # Lets the request be counted at its back end before the next decision.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _resolve(self, ticket: Ticket, outcome: Failure | None) -> None:
        waiter = self._waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def _refusal(
        self,
        service: str,
        ticket: Ticket,
        estimate: LoadEstimate | None,
        plan: SharePlan | None,
    ) -> Failure:
        queue = self._queues[service]
        if self._shares is None or plan is None or ticket.standing is Standing.WITHIN:
            return _overloaded(service, estimate, queue.held)
        place_s = queue.place_s(ticket)
        return self._shares.refusal(service, ticket, plan, place_s, self._loop.time())

    def _read_loads(self, service: str) -> None:
        runners = sorted(
            self._balancer.available(service), key=lambda runner: runner.load_updated_s
        )
        for runner in runners[:READS_PER_INTERVAL]:
            reading = self._loop.create_task(self._sender.read_load(runner))
            self._readings.add(reading)
            reading.add_done_callback(self._readings.discard)


def _overloaded(service: str, estimate: LoadEstimate | None, held: int) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"no back end of service {service} can answer in time; {held} requests are held",
        step=Step.QUEUEING,
        execution=Execution.NOT_RUN,
        retry_after_s=retry_after_s(estimate, held),
    )
