"""Serves online requests: validation, admission, claim, send, and hand-over to the relay."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import msgspec

from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission_gate import AdmissionGate
from leverjunction.gateway.claims import ClaimClient, HeldClaim, RecordedResponse
from leverjunction.gateway.decision_log import DecisionLog
from leverjunction.gateway.http_server import Handover
from leverjunction.gateway.online_request import CompleteResponse, OnlineRequest, OpenResponse
from leverjunction.gateway.prompt import ParsedRequest, block_hashes, parse_request
from leverjunction.gateway.relay import RelayLoop
from leverjunction.gateway.sender import Sender
from leverjunction.gateway.stream_session import StreamDependencies, StreamSession
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionOutcome
from leverjunction.settings.resolved import ResolvedSettings

JSON_TYPE = "application/json"
SSE_TYPE = "text/event-stream"


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP request from an authenticated tenant, before its body is parsed.

    Attributes:
        request_id: Id given to the request by this gateway.
        tenant: Tenant that sent the request.
        path: API path.
        body: Request body.
        idempotency_key: Value of the header ``Idempotency-Key``, empty without one.
        never_repeat: True if the request may run at most once (``X-Repeat: never``).
    """

    request_id: str
    tenant: str
    path: str
    body: bytes
    idempotency_key: str
    never_repeat: bool


class RelayedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A streaming response: the HTTP layer writes the head, then hands its connection over.

    Attributes:
        handover: Takes over the connection and relays the stream.
        abandon: Called instead of ``handover`` if the head could not be written.
    """

    handover: Handover
    abandon: Callable[[], None]


class BufferedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response that was read completely from the engine or from the record of a claim."""

    status: int
    content_type: str
    body: bytes


ServeResult = RelayedResponse | BufferedResponse | Failure
"""Result of ``OnlineService.serve``."""


class GatewayLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Region and zone in which this gateway runs."""

    region: str
    zone: str


class OnlineService:
    """Serves callers' online requests.

    Thread-safe. ``serve`` blocks the calling thread until the head of the response is known.
    """

    def __init__(
        self,
        location: GatewayLocation,
        settings: Callable[[], ResolvedSettings],
        gate: AdmissionGate,
        sender: Sender,
        claims: ClaimClient,
        relay: RelayLoop,
        streams: StreamDependencies,
        decision_log: DecisionLog,
        counters: GatewayCounters,
        clock: Clock,
    ) -> None:
        self._location = location
        self._settings = settings
        self._gate = gate
        self._sender = sender
        self._claims = claims
        self._relay = relay
        self._streams = streams
        self._decision_log = decision_log
        self._counters = counters
        self._clock = clock

    def serve(self, caller: CallerRequest) -> ServeResult:
        """Serve a request; every rejection is final and is written to the decision record."""
        request = self._build_request(caller)
        if isinstance(request, Failure):
            return self._refuse(caller.request_id, "", request)
        refusal = self._sender.refusal(request)
        if refusal is not None:
            return self._refuse(caller.request_id, request.service, refusal)
        rejection = self._gate.acquire(caller.tenant, self._settings().limits(caller.tenant))
        if rejection is not None:
            return self._refuse(caller.request_id, request.service, rejection)
        claim = self._claim(caller, request)
        if not isinstance(claim, HeldClaim | None):
            self._gate.release(caller.tenant)
            if isinstance(claim, Failure):
                return self._refuse(caller.request_id, request.service, claim)
            return _replay_recorded(request, claim)
        return self._send(request, claim)

    def _build_request(self, caller: CallerRequest) -> OnlineRequest | Failure:
        """Validate the body and the model, and add the settings in force."""
        parsed = parse_request(caller.path, caller.body)
        if isinstance(parsed, Failure):
            return parsed
        settings = self._settings()
        service = settings.service_for_model(parsed.model)
        if service is None or not settings.may_call(caller.tenant, service):
            return _unknown_model(parsed)
        model, _, adapter = parsed.model.partition(":")
        serving = settings.serving(
            service, self._location.region, self._location.zone, model=model, adapter=adapter
        )
        now_s = self._clock.monotonic_s()
        return OnlineRequest(
            request_id=caller.request_id,
            tenant=caller.tenant,
            service=service,
            model=parsed.model,
            path=caller.path,
            body=caller.body,
            stream=parsed.stream,
            blocks=block_hashes(parsed.prompt),
            continues=parsed.continues,
            repeatable=not caller.never_repeat,
            serving=serving,
            region_zones=_zones_in(settings, self._location.region),
            arrived_s=now_s,
            deadline_s=now_s + serving.deadline_s,
        )

    def _claim(
        self, caller: CallerRequest, request: OnlineRequest
    ) -> HeldClaim | RecordedResponse | Failure | None:
        """Claim the caller's idempotency key.

        Returns:
            The claim; the recorded response of an earlier send; the failure to return; None if the
            request is sent without a claim. Without a key, a resend cannot be distinguished from a
            new request, so it is enough that this gateway sends the request once.
        """
        if not caller.idempotency_key:
            return None
        claim = self._claims.claim(caller.tenant, caller.idempotency_key, caller.body)
        if not isinstance(claim, Failure):
            return claim
        still_open = claim.kind is FailureKind.OUTCOME_UNKNOWN
        # A repeatable request is served even if the gateway that held the claim has crashed.
        return None if still_open and request.repeatable else claim

    def _send(self, request: OnlineRequest, claim: HeldClaim | None) -> ServeResult:
        self._sender.note_request(request)
        response = self._sender.send(request)
        if isinstance(response, OpenResponse):
            return self._relay_stream(request, claim, response)
        self._gate.release(request.tenant)
        if isinstance(response, Failure):
            self._finish_failed(request, claim, response)
            return self._refuse(request.request_id, request.service, response)
        if claim is not None:
            self._claims.finish(claim, response.status, response.body)
        self._record_completion(request, response)
        return BufferedResponse(
            status=response.status, content_type=response.content_type, body=response.body
        )

    def _relay_stream(
        self, request: OnlineRequest, claim: HeldClaim | None, response: OpenResponse
    ) -> RelayedResponse:
        def ended(transcript: bytes, failure: Failure | None) -> None:
            self._stream_ended(request, claim, transcript, failure)

        session = StreamSession(self._streams, request, response, ended)
        self._observe_first_byte(request)
        # Counted before the head is written, so that a shutdown waits for this stream too.
        self._relay.expect()

        def abandon() -> None:
            response.stream.close()
            session.abandon()
            self._relay.abandon()

        return RelayedResponse(
            handover=lambda client: self._relay.submit(session.relay_stream(response, client)),
            abandon=abandon,
        )

    def _stream_ended(
        self,
        request: OnlineRequest,
        claim: HeldClaim | None,
        transcript: bytes,
        failure: Failure | None,
    ) -> None:
        self._gate.release(request.tenant)
        outcome = DecisionOutcome.COMPLETED
        if failure is not None:
            cancelled = failure.kind is FailureKind.CANCELLED
            outcome = DecisionOutcome.CANCELLED if cancelled else DecisionOutcome.FAILED
        status = "200" if failure is None else failure.kind.value
        self._counters.requests.labels(request.service, status).inc()
        if failure is None:
            self._sender.answered(request)
        reason = "the stream was relayed to its end" if failure is None else failure.reason
        self._decision_log.note(request, outcome, Step.RELAYING, reason)
        if failure is not None:
            self._finish_failed(request, claim, failure)
        elif claim is not None:
            self._claims.finish(claim, 200, transcript)

    def _record_completion(self, request: OnlineRequest, response: CompleteResponse) -> None:
        self._sender.answered(request)
        self._observe_first_byte(request)
        self._counters.requests.labels(request.service, str(response.status)).inc()
        self._decision_log.note(
            request,
            DecisionOutcome.COMPLETED,
            Step.RESPONDING,
            f"HTTP {response.status}",
            response.attempt.runner_id,
            response.attempt.number,
        )

    def _finish_failed(
        self, request: OnlineRequest, claim: HeldClaim | None, failure: Failure
    ) -> None:
        """Release the claim of a failed request unless it may have run and must not run twice.

        A claim that stays open makes resends fail with OUTCOME_UNKNOWN.
        """
        if claim is None:
            return
        if request.repeatable or failure.execution is Execution.NOT_RUN:
            self._claims.release(claim)

    def _refuse(self, request_id: str, service: str, failure: Failure) -> Failure:
        self._counters.refusals.labels(failure.kind.value).inc()
        self._decision_log.refused(request_id, service, failure)
        return failure

    def _observe_first_byte(self, request: OnlineRequest) -> None:
        elapsed_s = self._clock.monotonic_s() - request.arrived_s
        self._counters.first_byte_s.labels(request.service).observe(elapsed_s)


def _zones_in(settings: ResolvedSettings, region: str) -> frozenset[str]:
    return frozenset(zone for zone in settings.zones() if settings.region_of_zone(zone) == region)


def new_request_id() -> str:
    """Return a unique id for a request.

    The gateway never takes the id from the caller, so that two requests cannot be confused.
    """
    return f"req-{uuid.uuid4().hex}"


def _replay_recorded(request: OnlineRequest, recorded: RecordedResponse) -> BufferedResponse:
    content_type = SSE_TYPE if request.stream and recorded.status == 200 else JSON_TYPE
    return BufferedResponse(status=recorded.status, content_type=content_type, body=recorded.body)


def _unknown_model(parsed: ParsedRequest) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"model {parsed.model!r} does not exist; GET /v1/models lists the available models",
        step=Step.PARSING,
        execution=Execution.NOT_RUN,
    )
