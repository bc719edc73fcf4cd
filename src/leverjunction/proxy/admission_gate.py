"""Thin shell of admission: holds requests on the event loop, and reads loads while it does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.admission import (
    AdmissionQueue,
    Prospect,
    Ticket,
    Verdict,
    retry_after_s,
)
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import EngineLoad

STEP_S = 0.02
"""Between two looks at what is held: a slot is freed every 10 to 100 ms at a loaded back end."""

READ_INTERVAL_S = 0.1
"""Between two readings of the back ends' load, while requests are held."""

READS_AT_ONCE = 6
"""Back ends that are read in one interval, those first that told longest ago: what is held costs
60 readings a second and gateway, however many back ends there are.
"""


class AdmissionGate:
    """Used by one event loop.

    Args:
        balancer: Knows the back ends' load.
        sender: Reads it.
        changed: Called with a service and how many of its requests are held now.
    """

    __slots__ = (
        "_balancer",
        "_changed",
        "_loop",
        "_queues",
        "_readings",
        "_sender",
        "_waiters",
        "_workers",
    )

    def __init__(
        self,
        balancer: Balancer,
        sender: Sender,
        changed: Callable[[str, int], None] | None = None,
    ) -> None:
        self._balancer = balancer
        self._changed = changed
        self._sender = sender
        self._loop = asyncio.get_running_loop()
        self._queues: dict[str, AdmissionQueue] = {}
        self._waiters: dict[Ticket, asyncio.Future[Failure | None]] = {}
        self._workers: dict[str, asyncio.Task[None]] = {}
        self._readings: set[asyncio.Task[EngineLoad | None]] = set()

    async def enter(self, service: str, ticket: Ticket) -> Failure | None:
        """Return once the request is to be sent, or the refusal of one that has not run."""
        now_s = self._loop.time()
        queue = self._queues.setdefault(service, AdmissionQueue(now_s))
        prospect = self._balancer.prospect(service, now_s)
        verdict = queue.arrive(ticket, prospect, now_s)
        if verdict is Verdict.SEND:
            return None
        if verdict is Verdict.REFUSE:
            return _refusal(service, prospect, queue.held)
        waiter = self._waiters[ticket] = self._loop.create_future()
        self._tell(service)
        self._work(service)
        try:
            return await waiter
        finally:
            del self._waiters[ticket]
            queue.drop(ticket)
            self._tell(service)

    def waiting(self) -> dict[str, tuple[int, float]]:
        """Return, by service that ever held one, its held requests and the age of the oldest."""
        now_s = self._loop.time()
        return {name: (queue.held, queue.oldest_s(now_s)) for name, queue in self._queues.items()}

    def _tell(self, service: str) -> None:
        if self._changed is not None:
            self._changed(service, self._queues[service].held)

    def _work(self, service: str) -> None:
        worker = self._workers.get(service)
        if worker is None or worker.done():
            self._workers[service] = self._loop.create_task(self._serve(service))

    async def _serve(self, service: str) -> None:
        """Let requests go or refuse them, until none is held."""
        queue = self._queues[service]
        read_s = float("-inf")
        while queue.held:
            now_s = self._loop.time()
            if now_s - read_s >= READ_INTERVAL_S:
                read_s = now_s
                self._read_loads(service)
            for ticket in queue.over(now_s):
                refusal = _refusal(service, self._balancer.prospect(service, now_s), queue.held)
                self._settle(ticket, refusal)
            await self._let_go(service, queue)
            await asyncio.sleep(STEP_S)

    async def _let_go(self, service: str, queue: AdmissionQueue) -> None:
        while True:
            now_s = self._loop.time()
            ticket = queue.next(self._balancer.prospect(service, now_s), now_s)
            if ticket is None:
                return
            self._settle(ticket, None)
            # It is counted at its back end before the next one is looked at.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _settle(self, ticket: Ticket, outcome: Failure | None) -> None:
        waiter = self._waiters.get(ticket)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome)

    def _read_loads(self, service: str) -> None:
        runners = sorted(
            self._balancer.available(service), key=lambda runner: runner.load_updated_s
        )
        for runner in runners[:READS_AT_ONCE]:
            reading = self._loop.create_task(self._sender.read_load(runner))
            self._readings.add(reading)
            reading.add_done_callback(self._readings.discard)


def _refusal(service: str, prospect: Prospect | None, held: int) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"no back end of service {service} can answer in time, and {held} requests wait",
        step=Step.QUEUEING,
        execution=Execution.NOT_RUN,
        retry_after_s=retry_after_s(prospect, held),
    )
