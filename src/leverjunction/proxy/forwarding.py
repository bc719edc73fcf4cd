"""Handles one request: finds its route, sends it to a back end and relays the response.

A request is sent again after a failure only where its route allows that.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.admission import SEND_MARGIN_S, Ticket
from leverjunction.proxy.admission_gate import LOAD_READ_INTERVAL_S, AdmissionGate
from leverjunction.proxy.answer_bounds import MAX_EVENT_BYTES, PART_TIME_S, PartialBound
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_connection import EndCause, Responder
from leverjunction.proxy.caller_identity import CallerIdentity, require
from leverjunction.proxy.caller_request import CallerRequest, request_content
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.dialect import Dialect, RequestMetadata
from leverjunction.proxy.dispatch import OpenedResponse
from leverjunction.proxy.events import EventSplitter
from leverjunction.proxy.failures import (
    no_route,
    no_table,
    out_of_time,
    route_unconfirmed,
    service_not_routed,
    status_of,
    stopping,
    unknown_origin,
)
from leverjunction.proxy.first_table import FirstTable
from leverjunction.proxy.freshness import FreshnessGate
from leverjunction.proxy.headers import end_to_end, ends_with_connection, find
from leverjunction.proxy.quarantine import Quarantine, is_lost_run
from leverjunction.proxy.retrying_sender import RetryingSender
from leverjunction.proxy.return_times import spread_return_s
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.runner_connection import ResponseEnd, ResponseHead, endless_failure
from leverjunction.proxy.stop_schedule import StopSchedule
from leverjunction.proxy.stream_origins import StreamOrigins, stream_key
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.quarantine.prompt_parts import is_part_key
from leverjunction.quarantine.request_key import request_key
from leverjunction.quota.local_limiter import LocalLimiter
from leverjunction.registry.origins import (
    RENEW_INTERVAL_S,
    OriginSource,
    Resumption,
    StreamOrigin,
)
from leverjunction.routes.matching import RouteIndex, draw_service
from leverjunction.routes.types import Route, RouteClass, Tenant

BUFFERED_BODY_BYTES = 512 * 1024
"""Bodies up to this size are held until complete, so that a retry can replace a broken response."""

MIN_HOLD_S = 0.001
"""Shorter times at the admission gate are not logged: the gate decided without waiting."""

MAX_RELAY_S = 0.002
"""Time to pass on an event beyond which the next pause tells of the caller, not the back end."""

DECLINED_PAUSE_S = LOAD_READ_INTERVAL_S
"""Time until a resumed stream that its version's back ends declined is sent again; it doubles."""

MAX_DECLINED_PAUSE_S = 0.4

STREAM_SILENCE_S = 2.0
"""Time without data after which a resumable stream is continued on another back end."""

DEFAULT_TIMEOUT_MS = 30_000.0

ORIGIN_NOT_RECORDED = Failure(
    kind=FailureKind.NO_BACKEND,
    reason="too few control processes stored what began the stream",
    step=Step.RELAYING,
    execution=Execution.UNKNOWN,
)

_NEEDS_ATTEMPT_ID = (
    OriginSource.BASE_VERSION,
    OriginSource.NOBODY_KNOWS,
    OriginSource.RESTARTED,
)
"""Results of a lookup that say something only of the attempt that the caller named."""

Caller = Tenant | Failure | None
"""Tenant of a request, None without a key or tenants, or why its key is refused."""

LocalHandler = Callable[
    [CallerRequest, Responder, RouteIndex, Route | None, Caller], Awaitable[bool]
]
"""Answers requests that the gateway handles itself; returns whether it answered this one."""


class Forwarder:
    """Routes requests, sends them to back ends and relays the responses.

    All calls must come from one event loop.
    """

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        dialect: Dialect,
        decision_log: DecisionLog,
        random: Random,
        local_handler: LocalHandler,
        gate: AdmissionGate | None = None,
        quarantine: Quarantine | None = None,
        table_age_s: Callable[[], float] = lambda: 0.0,
        in_force_s: float = math.inf,
        is_in_doubt: Callable[[], bool] = lambda: False,
        origins: StreamOrigins | None = None,
        max_key_age_s: float = math.inf,
        limiter: LocalLimiter | None = None,
        last_pause_end_s: Callable[[], float] = lambda: -math.inf,
        schedule: StopSchedule | None = None,
    ) -> None:
        """Create a forwarder without a route table.

        Args:
            sender: Sends requests to back ends.
            balancer: Chooses back ends.
            dialect: Translates headers.
            decision_log: Records decisions.
            random: Chooses among the services of a split route.
            local_handler: Answers requests that the gateway handles itself.
            gate: Holds requests that no back end could answer in time; None to send every request
                at once.
            quarantine: Tracks requests during which back ends crashed; None to create one that
                knows only the requests of this gateway.
            table_age_s: Returns the maximum age of the route table, in seconds.
            in_force_s: Time within which a change of the route table must take effect, in seconds.
                While the table is older, an unknown route is refused as 503 instead of 404.
            is_in_doubt: Returns whether this process stalled and has not heard from the registry
                since; requests wait until it has.
            origins: Knows which version began a stream; None to create one that knows only the
                streams of this gateway.
            max_key_age_s: Age of the route table from which no API key is accepted, in seconds.
            limiter: Applies the tenants' limits; None to create one that knows only the requests of
                this gateway.
            last_pause_end_s: Returns when the last detected stall of this process ended; back ends
                that were chosen before are chosen again.
            schedule: Times of a planned stop; None for a process that never stops.
        """
        self._sender = sender
        self._balancer = balancer
        self._dialect = dialect
        self._decision_log = decision_log
        self._random = random
        self._local_handler = local_handler
        self._loop = asyncio.get_running_loop()
        self._index: RouteIndex | None = None
        self._gate = gate
        self._quarantine = quarantine or Quarantine()
        self._origins = origins or StreamOrigins()
        self._first_table = FirstTable()
        self._freshness = FreshnessGate(is_in_doubt, last_pause_end_s)
        self._retrying_sender = RetryingSender(
            sender,
            balancer,
            decision_log,
            self._quarantine,
            self._freshness,
            self._beginning_version,
            self._origins.reachable_departures,
        )
        self._table_age_s = table_age_s
        self._in_force_s = in_force_s
        self._identity = CallerIdentity(in_force_s, max_key_age_s)
        self._limiter = limiter or LocalLimiter(random)
        self._schedule = schedule or StopSchedule()
        self._in_progress: set[RoutedRequest] = set()

    def set_table(self, index: RouteIndex) -> None:
        """Replace the route table; requests in progress keep the table they started with."""
        self._index = index
        self._first_table.arrived()

    def begin_stop(self) -> None:
        """Bound the requests in progress by the stop schedule, which has begun."""
        for routed in self._in_progress:
            routed.until_s = min(routed.until_s, self._schedule.answer_by_s)
            if routed.ticket is not None:
                latest_s = self._head_deadline_s(routed)
                routed.ticket.deadline_s = min(routed.ticket.deadline_s, latest_s)

    async def handle(self, request: CallerRequest, responder: Responder) -> None:
        """Answer one request; a cancelled call means that its caller left or the process ends."""
        request.metadata = self._dialect.read_request(request.headers)
        if self._schedule.refuses(request.arrived_s):
            self._refuse(request, request.metadata, responder, stopping(request.execution))
            return
        try:
            await self._answer(request, request.metadata, responder)
        except asyncio.CancelledError:
            if responder.end_cause is not EndCause.STOPPED or responder.started:
                raise
            self._refuse(request, request.metadata, responder, stopping(request.execution))

    async def _answer(
        self, request: CallerRequest, metadata: RequestMetadata, responder: Responder
    ) -> None:
        """Answer a request that was accepted."""
        deadline_s = request.arrived_s + (metadata.deadline_ms or DEFAULT_TIMEOUT_MS) / 1000
        await self._first_table.wait(deadline_s - SEND_MARGIN_S)
        await self._freshness.wait(deadline_s)
        index = self._index
        if index is None:
            self._refuse(request, metadata, responder, no_table())
            return
        host = (find(request.headers, b"host") or b"").decode("latin-1")
        route = index.find(host, request.path)
        caller = self._identity.identify(index, metadata.key, self._table_age_s())
        if await self._answered_here(request, responder, index, route, caller):
            return
        if route is None:
            self._refuse(request, metadata, responder, self._no_route(host, request.path))
            return
        refusal = require(index, route, caller)
        if refusal is not None:
            self._refuse(request, metadata, responder, refusal)
            return
        routed = self._make_routed(request, route, caller, index)
        refusal = self._refuse_unfinished(routed) or self._limit(routed)
        if refusal is not None:
            self._refuse(request, metadata, responder, refusal)
            return
        self._retrying_sender.record_admission(routed)
        self._in_progress.add(routed)
        try:
            await self._forward(routed, responder)
            self._give_back_allowance(routed)
        except asyncio.CancelledError:
            if not routed.sent_s:
                self._give_back_allowance(routed)
            cause = responder.end_cause
            if responder.started or cause is not EndCause.STOPPED:
                outcome = "cut" if cause is EndCause.STOPPED else "cancelled"
                self._decision_log.ended(routed, outcome, cause.value, self._loop.time())
            raise
        finally:
            self._in_progress.discard(routed)
            if _is_resumption(routed):
                self._decision_log.resumption_ended(routed)
            for key, start in routed.trials:
                self._quarantine.trial_ended(key, start)

    async def _answered_here(
        self,
        request: CallerRequest,
        responder: Responder,
        index: RouteIndex,
        route: Route | None,
        caller: Caller,
    ) -> bool:
        """Return whether the gateway handles a request itself; if so, it is answered."""
        try:
            return await self._local_handler(request, responder, index, route, caller)
        except asyncio.CancelledError:
            # It waited for a store, which may have taken the call.
            request.execution = Execution.UNKNOWN
            raise

    def _refuse_unfinished(self, routed: RoutedRequest) -> Failure | None:
        """Return the refusal of a request that would outlast this process, otherwise None."""
        if not self._schedule.has_begun:
            return None
        route = routed.route
        head_s = self._retrying_sender.head_latencies(route).unqueued_s() or 0.0
        run_s = head_s + self._balancer.usual_run_s(routed.service, route.name)
        deadline_s = routed.request.arrived_s + _timeout_ms(routed.metadata, route) / 1000
        if self._schedule.may_cut(self._loop.time(), run_s, deadline_s):
            return stopping(Execution.NOT_RUN)
        return None

    def _make_routed(
        self, request: CallerRequest, route: Route, caller: Caller, index: RouteIndex
    ) -> RoutedRequest:
        """Choose the service of a request, and set the tenant that back ends are told."""
        metadata = request.metadata
        tenant = caller if isinstance(caller, Tenant) else None
        metadata.tenant = "" if tenant is None else tenant.name
        deadline_s = request.arrived_s + _timeout_ms(metadata, route) / 1000
        until_s = min(deadline_s, self._schedule.answer_by_s)
        stream = _stream_of(request, route)
        # A caller that continues a stream must be given the same part of a split route again.
        is_split = len(route.services) > 1
        random = self._random if stream is None or not is_split else Random(stream)
        service = draw_service(route, random)
        routed = RoutedRequest(request, metadata, route, service, index.table.version, until_s)
        routed.stream = stream
        routed.tenant = tenant
        return routed

    def _limit(self, routed: RoutedRequest) -> Failure | None:
        """Return why a request is beyond its tenant's limit, None if it is within it."""
        if routed.tenant is None:
            return None
        return self._limiter.admit(routed.tenant, self._loop.time())

    def _give_back_allowance(self, routed: RoutedRequest) -> None:
        """Return the allowance of a request that was answered although no back end ran it."""
        if routed.tenant is not None and routed.execution is Execution.NOT_RUN:
            self._limiter.give_back(routed.tenant)

    def _no_route(self, host: str, path: str) -> Failure:
        """Return NOT_FOUND only while the table is recent enough to be in force."""
        age_s = self._table_age_s()
        if age_s > self._in_force_s:
            return route_unconfirmed(host, path, age_s)
        return no_route(host, path)

    async def _forward(self, routed: RoutedRequest, responder: Responder) -> None:
        refusal = (
            self._retrying_sender.quarantine_refusal(routed)
            or await self._find_origin(routed)
            or await self._admit(routed)
        )
        if refusal is not None:
            self._refuse(routed.request, routed.metadata, responder, refusal)
            return
        response = await self._send_admitted(routed)
        while not isinstance(response, Failure):
            head_at_s = self._loop.time()
            is_stream = routed.route.kind is RouteClass.STREAM and response.head.status == 200
            failure = await (
                self._relay_stream(routed, response, responder)
                if is_stream
                else self._relay_response(routed, response, responder)
            )
            if is_lost_run(failure) and not is_stream:
                await self._retrying_sender.run_lost(routed, response.runner, failure)
            if failure is None:
                self._clear_suspect(routed)
                self._record_run_time(routed, response.runner, head_at_s)
                self._decision_log.ended(routed, "answered", "", self._loop.time())
                return
            is_final = failure is ORIGIN_NOT_RECORDED or not routed.may_run_again
            if responder.started or is_final:
                response = failure
                break
            response = await self._retrying_sender.send(routed, "")
        if responder.started:
            self._decision_log.ended(routed, "broken_off", response.reason, self._loop.time())
            responder.abort()
            return
        self._refuse(
            routed.request, routed.metadata, responder, _with_execution(response, routed.execution)
        )

    async def _send_admitted(self, routed: RoutedRequest) -> OpenedResponse | Failure:
        """Send an admitted request; a resumed stream that was declined waits for the next slot.

        The back ends of its version may be full of requests that any version could run. Their loads
        may be unknown, or not tell why they decline, so the pauses between the rounds grow.
        """
        pause_s = DECLINED_PAUSE_S
        while True:
            response = await self._retrying_sender.send(routed, "")
            if not self._may_wait_again(routed, response) or self._gate is None:
                return response
            routed.tried.clear()
            entered_s = self._loop.time()
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_DECLINED_PAUSE_S)
            refusal = await self._gate.enter_again(routed.service, self._ticket_of(routed))
            self._log_hold(routed, refusal, entered_s)
            if refusal is not None:
                return refusal

    def _may_wait_again(self, routed: RoutedRequest, response: OpenedResponse | Failure) -> bool:
        """Return whether no back end has run a resumed stream, and some may take it later."""
        return (
            isinstance(response, Failure)
            and response.kind is FailureKind.NO_BACKEND
            and response.execution is Execution.NOT_RUN
            and routed.execution is Execution.NOT_RUN
            and routed.version is not None
            and self._has_back_end(routed.service, routed.version)
        )

    def _has_back_end(self, service: str, version: str) -> bool:
        """Return whether a resumed stream of a version may be sent to a back end."""
        departing = self._origins.reachable_departures()
        return bool(
            self._balancer.available(service, version)
            or self._balancer.departing(service, version, departing)
        )

    async def _find_origin(self, routed: RoutedRequest) -> Failure | None:
        """Find what began a stream that the caller continues; return why it is refused, or None."""
        if not _is_resumption(routed):
            return None
        resumes = routed.metadata.resumes
        stream = stream_key(routed.request, resumes)
        asked_s = self._loop.time()
        resumption = await self._origins.find(stream, routed.service)
        if not resumes and resumption.source in _NEEDS_ATTEMPT_ID:
            resumption = Resumption(None, OriginSource.NOT_NAMED)
        routed.origin = origin = resumption.origin
        now_s = self._loop.time()
        self._decision_log.resumed(routed, resumption, now_s - asked_s, now_s)
        if origin is None:
            return unknown_origin(routed.service, resumes, resumption.source)
        if all(part.service != origin.service for part in routed.route.services):
            return service_not_routed(origin)
        routed.service = origin.service
        return None

    def _beginning_version(self, service: str) -> str | None:
        """Return the version at which a new stream must begin, None for any."""
        preferred = self._origins.preferred_version(service)
        return self._origins.widely_known_version(service) if preferred is None else preferred

    async def _begin_stream(
        self, routed: RoutedRequest, response: OpenedResponse
    ) -> Failure | None:
        """Record what began a stream, before its first event is passed on.

        Returns:
            ``ORIGIN_NOT_RECORDED`` if the stream must not begin, since another gateway would take
            it for one of the base version.
        """
        is_known = routed.origin is not None
        if routed.origin is None:
            routed.origin = StreamOrigin(routed.service, response.runner.record.version)
        if routed.stream is None or routed.origin_kept_s:
            return None
        routed.origin_kept_s = self._loop.time()
        if await self._origins.began(routed.stream, routed.origin) or is_known:
            return None
        self._decision_log.origin_not_recorded()
        base = self._origins.preferred_version(routed.service)
        if base is None or base == routed.origin.version:
            return None
        has_base = bool(self._balancer.available(routed.service, base))
        return ORIGIN_NOT_RECORDED if has_base else None

    async def _renew_origin(self, routed: RoutedRequest) -> None:
        """Keep the origin of a stream that goes on for as long as a caller may continue it."""
        if routed.stream is None or routed.origin is None:
            return
        kept_s, now_s = routed.origin_kept_s, self._loop.time()
        if now_s - kept_s >= RENEW_INTERVAL_S:
            routed.origin_kept_s = now_s
            await self._origins.renew(routed.stream, routed.origin, kept_s)

    async def _admit(self, routed: RoutedRequest) -> Failure | None:
        """Wait for the admission gate; return None to send the request, or its refusal."""
        if self._gate is None:
            return None
        entered_s = self._loop.time()
        refusal = await self._gate.enter(routed.service, self._ticket_of(routed))
        self._log_hold(routed, refusal, entered_s)
        return refusal

    def _log_hold(self, routed: RoutedRequest, refusal: Failure | None, entered_s: float) -> None:
        """Log that the admission gate held a request, unless it decided without waiting."""
        now_s = self._loop.time()
        if now_s - entered_s >= MIN_HOLD_S:
            self._decision_log.held(routed, "sent" if refusal is None else "refused", now_s)

    def _clear_suspect(self, routed: RoutedRequest) -> None:
        """Clear a suspect request, which has now been answered completely, and its parts."""
        self._quarantine.parts_answered(routed.request, routed.route.name)
        is_suspect = bool(routed.key) and not is_part_key(routed.key)
        if is_suspect or self._quarantine.find(routed.request):
            self._quarantine.answered(routed.request)

    def _ticket_of(self, routed: RoutedRequest) -> Ticket:
        """Return the ticket of a request, which keeps its standing whenever it enters the gate."""
        if routed.ticket is None:
            routed.ticket = self._admission_ticket(routed)
        return routed.ticket

    def _head_deadline_s(self, routed: RoutedRequest) -> float:
        """Return when the response head must be there for the answer to end in time."""
        if routed.origin is not None:
            return routed.until_s
        return routed.until_s - (self._balancer.mean_run_s(routed.service) or 0.0)

    def _admission_ticket(self, routed: RoutedRequest) -> Ticket:
        """Return the times by which the admission gate decides on a request."""
        route, arrived_s = routed.route, routed.request.arrived_s
        deadline_s = self._head_deadline_s(routed)
        if route.head_within_ms:
            deadline_s = min(deadline_s, arrived_s + route.head_within_ms / 1000)
        unqueued_s = self._retrying_sender.head_latencies(route).unqueued_s() or 0.0
        return Ticket(
            arrived_s=arrived_s,
            target_s=arrived_s + route.target_ms / 1000,
            deadline_s=deadline_s,
            head_latency_s=routed.head_latency_s(unqueued_s),
            rank=(routed.tenant.priority if routed.tenant else 0, route.priority),
            tenant=routed.metadata.tenant,
            content=lambda: request_key(request_content(routed.request)),
            version=routed.version,
            begins_at=lambda: self._retrying_sender.required_version(routed),
        )

    def _record_run_time(
        self, routed: RoutedRequest, runner: TrackedRunner, head_at_s: float
    ) -> None:
        """Update the service's run time after a complete response to a request that ran once."""
        unqueued_s = self._retrying_sender.head_latencies(routed.route).unqueued_s()
        if unqueued_s is not None and routed.runs == 1:
            now_s = self._loop.time()
            self._balancer.record_run(routed.service, now_s - head_at_s + unqueued_s)
            self._balancer.record_run_at(runner, routed.route.name, now_s - head_at_s, now_s)

    async def _relay_response(
        self, routed: RoutedRequest, response: OpenedResponse, responder: Responder
    ) -> Failure | None:
        """Relay a response that is no stream; return None once all of it has been sent."""
        _describe(routed, responder)
        whole = False
        body: list[bytes] = []
        size_bytes = 0
        headers = end_to_end(response.head.headers)
        try:
            async with asyncio.timeout_at(routed.until_s):
                while True:
                    event = await response.connection.next_event()
                    if isinstance(event, ResponseEnd):
                        whole = True
                        break
                    if isinstance(event, Failure):
                        return self._note_endless(response, event)
                    if isinstance(event, ResponseHead):
                        return _unexpected_event(response)
                    routed.note_output(self._loop.time())
                    size_bytes += len(event)
                    body.append(event)
                    if size_bytes > BUFFERED_BODY_BYTES:
                        if not responder.started:
                            responder.send_head(response.head.status, headers)
                        await responder.send_data(b"".join(body), routed.until_s)
                        body = []
        except TimeoutError:
            return self._out_of_time(routed)
        finally:
            self._sender.finish(response, whole)
        if responder.started:
            try:
                await responder.send_data(b"".join(body), routed.until_s)
            except TimeoutError:
                return self._out_of_time(routed)
            responder.finish()
        else:
            responder.respond(response.head.status, headers, b"".join(body))
        return None

    async def _relay_stream(
        self, routed: RoutedRequest, response: OpenedResponse, responder: Responder
    ) -> Failure | None:
        """Relay a stream by whole events; continue it on another back end if the route allows."""
        _describe(routed, responder)
        splitter = EventSplitter(routed.metadata.last_event_id)
        while True:
            failure = await self._relay_events(routed, response, splitter, responder)
            if failure is None:
                responder.finish()
                return None
            if failure is ORIGIN_NOT_RECORDED:
                return failure
            if is_lost_run(failure):
                await self._retrying_sender.run_lost(routed, response.runner, failure)
            may_continue = routed.may_run_again and splitter.can_continue
            if not may_continue or self._loop.time() >= routed.until_s:
                return self._note_endless(response, failure)
            self._balancer.failed(response.runner, self._loop.time())
            continued = await self._retrying_sender.send(routed, splitter.last_id)
            if isinstance(continued, Failure):
                return failure
            if continued.head.status != 200:
                self._sender.finish(continued, False)
                return failure
            response = continued
            splitter = EventSplitter(splitter.last_id)

    async def _relay_events(
        self,
        routed: RoutedRequest,
        response: OpenedResponse,
        splitter: EventSplitter,
        responder: Responder,
    ) -> Failure | None:
        """Relay a stream's events from one back end; return None at its regular end."""
        whole = False
        bound = PartialBound()
        event_s = 0.0
        try:
            while True:
                async with asyncio.timeout_at(self._read_deadline_s(routed)):
                    event = await response.connection.next_event()
                if isinstance(event, Failure):
                    return event
                if isinstance(event, ResponseHead):
                    return _unexpected_event(response)
                if isinstance(event, ResponseEnd):
                    if _may_be_cut(routed, response, splitter):
                        return _unexpected_event(response)
                    if not responder.started:
                        responder.send_head(response.head.status, end_to_end(response.head.headers))
                    if splitter.pending_bytes:
                        return _unexpected_event(response)
                    whole = True
                    return None
                routed.note_output(self._loop.time())
                is_first = not splitter.has_events
                events = splitter.feed(event)
                is_late = bound.is_late(
                    bool(splitter.pending_bytes), bool(events), self._loop.time()
                )
                if is_late or splitter.pending_bytes > MAX_EVENT_BYTES:
                    reason = (
                        f"an event was not whole after {PART_TIME_S:.0f} s"
                        if is_late
                        else f"an event exceeds {MAX_EVENT_BYTES} bytes"
                    )
                    return endless_failure(response.runner.record.address, reason)
                if events:
                    event_s = self._note_event(routed, response.runner, event_s)
                    if is_first:
                        self._note_resumed(routed)
                        failure = await self._begin_stream(routed, response)
                        if failure is not None:
                            return failure
                    if not responder.started:
                        responder.send_head(response.head.status, end_to_end(response.head.headers))
                    await self._renew_origin(routed)
                    await responder.send_data(events, routed.until_s)
                    if self._loop.time() - event_s > MAX_RELAY_S:
                        event_s = 0.0
        except TimeoutError:
            return self._out_of_time(routed)
        finally:
            self._sender.finish(response, whole)

    def _out_of_time(self, routed: RoutedRequest) -> Failure:
        """Return the failure of a request that has run and whose time is up."""
        if self._schedule.has_begun and routed.until_s >= self._schedule.answer_by_s:
            return stopping(Execution.UNKNOWN)
        return out_of_time(Execution.UNKNOWN)

    def _note_resumed(self, routed: RoutedRequest) -> None:
        """Record the first event of a stream that its caller resumed."""
        if _is_resumption(routed) and not routed.went_on:
            routed.went_on = True
            self._decision_log.went_on(routed, self._loop.time())

    def _note_endless(self, response: OpenedResponse, failure: Failure) -> Failure:
        """Count a back end as failed if its bytes are no answer; return the failure."""
        if failure.kind is FailureKind.BACKEND_MISMATCH:
            self._balancer.failed(response.runner, self._loop.time())
        return failure

    def _note_event(self, routed: RoutedRequest, runner: TrackedRunner, last_s: float) -> float:
        """Record the pause before an event that has arrived now; return the time."""
        now_s = self._loop.time()
        if last_s and runner.rate.has_told:
            self._balancer.record_pause_at(runner, routed.route.name, now_s - last_s, now_s)
        return now_s

    def _read_deadline_s(self, routed: RoutedRequest) -> float:
        """Return how long to wait for a stream's next data, in the loop's seconds."""
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
        """Answer a request with a failure of the proxy's own."""
        status = status_of(failure)
        version = 0 if self._index is None else self._index.table.version
        waited_s = self._loop.time() - request.arrived_s
        self._decision_log.refused(metadata, version, status, failure, waited_s)
        retry_after_s = failure.retry_after_s
        if retry_after_s is not None:
            retry_after_s = spread_return_s(retry_after_s, self._random)
        headers = self._dialect.own_response_headers(metadata.request_id, retry_after_s)
        responder.respond(status, headers, failure.reason.encode())


def _timeout_ms(metadata: RequestMetadata, route: Route) -> float:
    """Return the time limit of a request by its caller and its route, in milliseconds."""
    return min(metadata.deadline_ms or DEFAULT_TIMEOUT_MS, route.timeout_ms)


def _describe(routed: RoutedRequest, responder: Responder) -> None:
    """Tell the caller's connection what an answer is worth if callers read too slowly."""
    responder.describe(
        "" if routed.tenant is None else routed.tenant.name,
        (routed.tenant.priority if routed.tenant else 0, routed.route.priority),
        routed.stream is not None,
        routed.until_s,
    )


def _is_resumption(routed: RoutedRequest) -> bool:
    """Return whether the caller continues a stream that broke."""
    return routed.route.kind is RouteClass.STREAM and bool(routed.metadata.last_event_id)


def _stream_of(request: CallerRequest, route: Route) -> int | None:
    """Return the key by which a caller may continue a stream, None if it cannot."""
    metadata = request.metadata
    attempt_id = metadata.resumes if metadata.last_event_id else metadata.request_id
    if route.kind is not RouteClass.STREAM or not route.repeatable or not attempt_id:
        return None
    return stream_key(request, attempt_id)


def _with_execution(failure: Failure, execution: Execution) -> Failure:
    """Return a failure with the request's execution state, unless the request has not run.

    A failure may state NOT_RUN for the last attempt only, while an earlier one may have run.
    """
    if execution is Execution.NOT_RUN or failure.execution is execution:
        return failure
    return Failure(
        kind=failure.kind,
        reason=failure.reason,
        step=failure.step,
        peer=failure.peer,
        execution=execution,
    )


def _may_be_cut(routed: RoutedRequest, response: OpenedResponse, splitter: EventSplitter) -> bool:
    """Return whether a stream that has ended may have been broken off right after its head.

    A stream that is continued may have no further event: then a second run ends alike.
    """
    if splitter.has_events or not ends_with_connection(response.head.headers):
        return False
    is_first = routed.ended_after != splitter.last_id
    routed.ended_after = splitter.last_id
    return not splitter.last_id or is_first


def _unexpected_event(response: OpenedResponse) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason="unexpected response head or end of the stream inside an event",
        step=Step.RELAYING,
        peer=response.runner.record.address,
        execution=Execution.UNKNOWN,
    )
