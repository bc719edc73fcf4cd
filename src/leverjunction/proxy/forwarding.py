"""Answers a routed request: route, send, repeat where that is allowed, pass the answer on."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.admission import Ticket
from leverjunction.proxy.admission_gate import AdmissionGate
from leverjunction.proxy.asking import Asker
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_connection import CallerRequest, Responder
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.dialect import Dialect, RequestMetadata
from leverjunction.proxy.dispatch import OpenedResponse
from leverjunction.proxy.doubt import Doubt
from leverjunction.proxy.events import EventSplitter
from leverjunction.proxy.failures import (
    no_route,
    no_table,
    out_of_time,
    status_of,
    unsure_of_route,
)
from leverjunction.proxy.headers import end_to_end, find
from leverjunction.proxy.quarantine import Quarantine, is_lost_run
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.runner_connection import ResponseEnd, ResponseHead
from leverjunction.routes.matching import RouteIndex, draw_service
from leverjunction.routes.types import Route, RouteClass

BUFFERED_BODY_BYTES = 512 * 1024
"""A longer answer is passed on as it comes, so it can no longer be replaced by another."""

HELD_LEAST_S = 0.001
"""A request that passed sooner did not wait: it was decided on in one step of the event loop."""

STREAM_SILENCE_S = 2.0
"""Silence after which a stream that may be continued moves to another back end."""

DEFAULT_TIMEOUT_MS = 30_000.0

LocalHandler = Callable[[CallerRequest, Responder, RouteIndex, Route | None], Awaitable[bool]]
"""Answers what is no request for a back end; returns whether it did."""


class Forwarder:
    """Thin over ``Sender``; used by one event loop."""

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        dialect: Dialect,
        decision_log: DecisionLog,
        random: Random,
        local: LocalHandler,
        gate: AdmissionGate | None = None,
        quarantine: Quarantine | None = None,
        table_age_s: Callable[[], float] = lambda: 0.0,
        in_force_s: float = math.inf,
        is_in_doubt: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare for requests.

        Args:
            sender: Sends them to back ends.
            balancer: Chooses these.
            dialect: Words of the headers.
            decision_log: Takes the decisions.
            random: Draws the services of split routes.
            local: Answers what is no request for a back end.
            gate: Holds requests that cannot be in time; None to send all at once.
            quarantine: Knows requests under which back ends ended; None for one that only sees
                what passes here.
            table_age_s: Returns how old the route table may be, in seconds.
            in_force_s: Time in which a change is to be in force; with an older table no caller is
                told that a route does not exist.
            is_in_doubt: Returns whether this process stood still and has not heard the registry
                since; requests wait meanwhile.
        """
        self._sender = sender
        self._balancer = balancer
        self._dialect = dialect
        self._decision_log = decision_log
        self._random = random
        self._local = local
        self._loop = asyncio.get_running_loop()
        self._index: RouteIndex | None = None
        self._gate = gate
        self._quarantine = quarantine or Quarantine()
        self._doubt = Doubt(is_in_doubt)
        self._asker = Asker(sender, balancer, decision_log, self._quarantine, self._doubt)
        self._table_age_s = table_age_s
        self._in_force_s = in_force_s

    def set_table(self, index: RouteIndex) -> None:
        """Take a newer route table; requests under way keep theirs."""
        self._index = index

    async def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Answer one request."""
        metadata = self._dialect.read_request(request.headers)
        await self._doubt.over(
            request.arrived_s + (metadata.deadline_ms or DEFAULT_TIMEOUT_MS) / 1000
        )
        index = self._index
        if index is None:
            self._refuse(request, metadata, responder, no_table())
            return
        host = (find(request.headers, b"host") or b"").decode("latin-1")
        route = index.find(host, request.path)
        if await self._local(request, responder, index, route):
            return
        if route is None:
            self._refuse(request, metadata, responder, self._no_route(host, request.path))
            return
        timeout_ms = min(metadata.deadline_ms or DEFAULT_TIMEOUT_MS, route.timeout_ms)
        until_s = request.arrived_s + timeout_ms / 1000
        service = draw_service(route, self._random)
        routed = RoutedRequest(request, metadata, route, service, index.table.version, until_s)
        self._asker.admitted(routed)
        try:
            await self._forward(routed, responder)
        except asyncio.CancelledError:
            self._decision_log.ended(routed, "cancelled", "the caller left", self._loop.time())
            raise
        finally:
            for start in routed.trials:
                self._quarantine.over(routed.key, start)

    def _no_route(self, host: str, path: str) -> Failure:
        """Return "not found" only while the table is known to be the one in force."""
        age_s = self._table_age_s()
        if age_s > self._in_force_s:
            return unsure_of_route(host, path, age_s)
        return no_route(host, path)

    async def _forward(self, routed: RoutedRequest, responder: Responder) -> None:
        refusal = self._asker.held_back(routed) or await self._admit(routed)
        if refusal is not None:
            self._refuse(routed.request, routed.metadata, responder, refusal)
            return
        answer = await self._asker.answer(routed, "")
        while not isinstance(answer, Failure):
            headed_s = self._loop.time()
            streams = routed.route.kind is RouteClass.STREAM and answer.head.status == 200
            passed = await (
                self._pass_stream(routed, answer, responder)
                if streams
                else self._pass_whole(routed, answer, responder)
            )
            if is_lost_run(passed) and not streams:
                await self._asker.lost(routed, answer.seat, passed)
            if passed is None:
                self._clear(routed)
                self._note_run(routed, headed_s)
                self._decision_log.ended(routed, "answered", "", self._loop.time())
                return
            if responder.started or not routed.may_run_again:
                answer = passed
                break
            answer = await self._asker.answer(routed, "")
        if responder.started:
            self._decision_log.ended(routed, "broken_off", answer.reason, self._loop.time())
            responder.abort()
            return
        self._refuse(
            routed.request, routed.metadata, responder, _with_execution(answer, routed.execution)
        )

    async def _admit(self, routed: RoutedRequest) -> Failure | None:
        """Return once a request is to be sent, or its refusal."""
        if self._gate is None:
            return None
        entered_s = self._loop.time()
        refusal = await self._gate.enter(routed.service, self._ticket(routed))
        now_s = self._loop.time()
        if now_s - entered_s >= HELD_LEAST_S:
            self._decision_log.held(routed, "sent" if refusal is None else "refused", now_s)
        return refusal

    def _clear(self, routed: RoutedRequest) -> None:
        """Note a whole answer: if the request was a suspect, it is none."""
        key = routed.key or self._quarantine.find(routed.request)
        if key:
            self._quarantine.answered(key)

    def _ticket(self, routed: RoutedRequest) -> Ticket:
        route, arrived_s = routed.route, routed.request.arrived_s
        last_s = routed.until_s - (self._balancer.run_s(routed.service) or 0.0)
        if route.head_within_ms:
            last_s = min(last_s, arrived_s + route.head_within_ms / 1000)
        return Ticket(
            arrived_s=arrived_s,
            aim_s=arrived_s + route.target_ms / 1000,
            last_s=last_s,
            head_s=self._asker.times_of(route).unqueued_s() or 0.0,
        )

    def _note_run(self, routed: RoutedRequest, headed_s: float) -> None:
        """Learn from an answer that came whole for how long a slot was taken."""
        unqueued_s = self._asker.times_of(routed.route).unqueued_s()
        if unqueued_s is not None and routed.runs == 1:
            self._balancer.ran(routed.service, self._loop.time() - headed_s + unqueued_s)

    async def _pass_whole(
        self, routed: RoutedRequest, answer: OpenedResponse, responder: Responder
    ) -> Failure | None:
        """Pass an ordinary answer on; returns a failure when it did not come whole."""
        whole = False
        body: list[bytes] = []
        size_bytes = 0
        headers = end_to_end(answer.head.headers)
        try:
            async with asyncio.timeout_at(routed.until_s):
                while True:
                    event = await answer.connection.next_event()
                    if isinstance(event, ResponseEnd):
                        whole = True
                        break
                    if isinstance(event, Failure):
                        return event
                    if isinstance(event, ResponseHead):
                        return _stray(answer)
                    routed.note_output(self._loop.time())
                    size_bytes += len(event)
                    body.append(event)
                    if size_bytes > BUFFERED_BODY_BYTES:
                        if not responder.started:
                            responder.send_head(answer.head.status, headers)
                        await responder.send_data(b"".join(body), routed.until_s)
                        body = []
        except TimeoutError:
            return out_of_time(Execution.UNKNOWN)
        finally:
            self._sender.finish(answer, whole)
        if responder.started:
            try:
                await responder.send_data(b"".join(body), routed.until_s)
            except TimeoutError:
                return out_of_time(Execution.UNKNOWN)
            responder.finish()
        else:
            responder.respond(answer.head.status, headers, b"".join(body))
        return None

    async def _pass_stream(
        self, routed: RoutedRequest, answer: OpenedResponse, responder: Responder
    ) -> Failure | None:
        """Pass a stream on, event by event; continue it elsewhere where that is allowed."""
        splitter = EventSplitter(routed.metadata.last_event_id)
        while True:
            broken = await self._relay(routed, answer, splitter, responder)
            if broken is None:
                responder.finish()
                return None
            if is_lost_run(broken):
                await self._asker.lost(routed, answer.seat, broken)
            again = routed.may_run_again and splitter.can_continue
            if not again or self._loop.time() >= routed.until_s:
                return broken
            self._balancer.failed(answer.seat, self._loop.time())
            continued = await self._asker.answer(routed, splitter.last_id)
            if isinstance(continued, Failure):
                return broken
            if continued.head.status != 200:
                self._sender.finish(continued, False)
                return broken
            answer = continued
            splitter = EventSplitter(splitter.last_id)

    async def _relay(
        self,
        routed: RoutedRequest,
        answer: OpenedResponse,
        splitter: EventSplitter,
        responder: Responder,
    ) -> Failure | None:
        whole = False
        try:
            while True:
                async with asyncio.timeout_at(self._silent_until_s(routed)):
                    event = await answer.connection.next_event()
                if isinstance(event, Failure):
                    return event
                if isinstance(event, ResponseHead):
                    return _stray(answer)
                if not responder.started:
                    responder.send_head(answer.head.status, end_to_end(answer.head.headers))
                if isinstance(event, ResponseEnd):
                    if splitter.pending_bytes:
                        return _stray(answer)
                    whole = True
                    return None
                routed.note_output(self._loop.time())
                events = splitter.feed(event)
                if events:
                    await responder.send_data(events, routed.until_s)
        except TimeoutError:
            return out_of_time(Execution.UNKNOWN)
        finally:
            self._sender.finish(answer, whole)

    def _silent_until_s(self, routed: RoutedRequest) -> float:
        if not routed.may_run_again:
            return routed.until_s
        return min(routed.until_s, self._loop.time() + STREAM_SILENCE_S)

    def _refuse(
        self,
        request: CallerRequest,
        metadata: RequestMetadata,
        responder: Responder,
        failure: Failure,
    ) -> None:
        status = status_of(failure)
        version = 0 if self._index is None else self._index.table.version
        waited_s = self._loop.time() - request.arrived_s
        self._decision_log.refused(metadata, version, status, failure, waited_s)
        headers = self._dialect.own_response_headers(metadata.request_id, failure.retry_after_s)
        responder.respond(status, headers, failure.reason.encode())


def _with_execution(failure: Failure, execution: Execution) -> Failure:
    """Return a failure that says "not run" only when no back end can have run the request."""
    if execution is Execution.NOT_RUN or failure.execution is execution:
        return failure
    return Failure(
        kind=failure.kind,
        reason=failure.reason,
        step=failure.step,
        peer=failure.peer,
        execution=execution,
    )


def _stray(answer: OpenedResponse) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason="the answer did not end where it should",
        step=Step.RELAYING,
        peer=answer.seat.record.address,
        execution=Execution.UNKNOWN,
    )
