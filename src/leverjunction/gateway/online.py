"""Serves online requests: checks, admission, claim, send, and the hand-over to the relay."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import msgspec

from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission_gate import AdmissionGate
from leverjunction.gateway.claims import ClaimClient, HeldClaim, RecordedResponse
from leverjunction.gateway.http_server import Handover
from leverjunction.gateway.journal import Journal
from leverjunction.gateway.online_request import OnlineRequest, OpenAnswer, WholeAnswer
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
    """A request as it came over HTTP, from an authenticated tenant."""

    request_id: str
    tenant: str
    path: str
    body: bytes
    idempotency_key: str
    never_repeat: bool


class RelayedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A streaming answer: the HTTP layer writes the head, then passes its connection on.

    Attributes:
        handover: Takes the connection over.
        abandon: To be called in its place when the head could not be written.
    """

    handover: Handover
    abandon: Callable[[], None]


class BufferedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    content_type: str
    body: bytes


ServeResult = RelayedResponse | BufferedResponse | Failure


class GatewayLocation(msgspec.Struct, frozen=True, kw_only=True):
    """Where this gateway runs."""

    region: str
    zone: str


class OnlineService:
    """Thread-safe; ``serve`` holds the calling thread until the answer's head is known."""

    def __init__(
        self,
        place: GatewayLocation,
        settings: Callable[[], ResolvedSettings],
        gate: AdmissionGate,
        sender: Sender,
        claims: ClaimClient,
        relay: RelayLoop,
        streams: StreamDependencies,
        journal: Journal,
        counters: GatewayCounters,
        clock: Clock,
    ) -> None:
        self._place = place
        self._settings = settings
        self._gate = gate
        self._sender = sender
        self._claims = claims
        self._relay = relay
        self._streams = streams
        self._journal = journal
        self._counters = counters
        self._clock = clock

    def serve(self, caller: CallerRequest) -> ServeResult:
        """Answer a request; every refusal is recorded and final."""
        request = self._form(caller)
        if isinstance(request, Failure):
            return self._refuse(caller.request_id, "", request)
        refusal = self._gate.enter(caller.tenant, self._settings().limits(caller.tenant))
        if refusal is not None:
            return self._refuse(caller.request_id, request.service, refusal)
        claim = self._claim(caller, request)
        if not isinstance(claim, HeldClaim | None):
            self._gate.leave(caller.tenant)
            if isinstance(claim, Failure):
                return self._refuse(caller.request_id, request.service, claim)
            return _replayed(request, claim)
        return self._send(request, claim)

    def _form(self, caller: CallerRequest) -> OnlineRequest | Failure:
        """Check the body and the model, and gather the settings in force."""
        parsed = parse_request(caller.path, caller.body)
        if isinstance(parsed, Failure):
            return parsed
        settings = self._settings()
        service = settings.service_for_model(parsed.model)
        if service is None or not settings.may_call(caller.tenant, service):
            return _unknown_model(parsed)
        model, _, adapter = parsed.model.partition(":")
        serving = settings.serving(
            service, self._place.region, self._place.zone, model=model, adapter=adapter
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
            region_zones=_zones_of(settings, self._place.region),
            arrived_s=now_s,
            deadline_s=now_s + serving.deadline_s,
        )

    def _claim(
        self, caller: CallerRequest, request: OnlineRequest
    ) -> HeldClaim | RecordedResponse | Failure | None:
        """Claim the caller's key; None when the request needs no claim.

        Without a key no resend can be told from a new request: it is then enough that this
        gateway sends it once.
        """
        if not caller.idempotency_key:
            return None
        claim = self._claims.claim(caller.tenant, caller.idempotency_key, caller.body)
        if not isinstance(claim, Failure):
            return claim
        still_open = claim.kind is FailureKind.OUTCOME_UNKNOWN
        # A request that may run twice is served even when its first gateway died with the claim.
        return None if still_open and request.repeatable else claim

    def _send(self, request: OnlineRequest, claim: HeldClaim | None) -> ServeResult:
        self._sender.note_request(request)
        answer = self._sender.send(request)
        if isinstance(answer, OpenAnswer):
            return self._relayed(request, claim, answer)
        self._gate.leave(request.tenant)
        if isinstance(answer, Failure):
            self._finish_failed(request, claim, answer)
            return self._refuse(request.request_id, request.service, answer)
        if claim is not None:
            self._claims.finish(claim, answer.status, answer.body)
        self._completed(request, answer)
        return BufferedResponse(
            status=answer.status, content_type=answer.content_type, body=answer.body
        )

    def _relayed(
        self, request: OnlineRequest, claim: HeldClaim | None, answer: OpenAnswer
    ) -> RelayedResponse:
        def ended(transcript: bytes, failure: Failure | None) -> None:
            self._stream_ended(request, claim, transcript, failure)

        session = StreamSession(self._streams, request, answer, ended)
        self._observe_first_byte(request)
        # Counted before the head is written: a stop must not overlook a stream on its way.
        self._relay.expect()

        def abandon() -> None:
            answer.stream.close()
            session.abandon()
            self._relay.abandon()

        return RelayedResponse(
            handover=lambda client: self._relay.submit(session.relay_stream(answer, client)),
            abandon=abandon,
        )

    def _stream_ended(
        self,
        request: OnlineRequest,
        claim: HeldClaim | None,
        transcript: bytes,
        failure: Failure | None,
    ) -> None:
        self._gate.leave(request.tenant)
        outcome = DecisionOutcome.COMPLETED
        if failure is not None:
            cancelled = failure.kind is FailureKind.CANCELLED
            outcome = DecisionOutcome.CANCELLED if cancelled else DecisionOutcome.FAILED
        status = "200" if failure is None else failure.kind.value
        self._counters.requests.labels(request.service, status).inc()
        reason = "the whole stream was passed on" if failure is None else failure.reason
        self._journal.note(request, outcome, Step.RELAYING, reason)
        if failure is not None:
            self._finish_failed(request, claim, failure)
        elif claim is not None:
            self._claims.finish(claim, 200, transcript)

    def _completed(self, request: OnlineRequest, answer: WholeAnswer) -> None:
        self._observe_first_byte(request)
        self._counters.requests.labels(request.service, str(answer.status)).inc()
        self._journal.note(
            request,
            DecisionOutcome.COMPLETED,
            Step.RESPONDING,
            f"HTTP {answer.status}",
            answer.attempt.runner_id,
            answer.attempt.number,
        )

    def _finish_failed(
        self, request: OnlineRequest, claim: HeldClaim | None, failure: Failure
    ) -> None:
        """Give a claim up unless a back end may have run what must not run again."""
        if claim is None:
            return
        if request.repeatable or failure.execution is Execution.NOT_RUN:
            self._claims.give_up(claim)

    def _refuse(self, request_id: str, service: str, failure: Failure) -> Failure:
        self._counters.refusals.labels(failure.kind.value).inc()
        self._journal.refused(request_id, service, failure)
        return failure

    def _observe_first_byte(self, request: OnlineRequest) -> None:
        spent_s = self._clock.monotonic_s() - request.arrived_s
        self._counters.first_byte_s.labels(request.service).observe(spent_s)


def _zones_of(settings: ResolvedSettings, region: str) -> frozenset[str]:
    return frozenset(zone for zone in settings.zones() if settings.region_of_zone(zone) == region)


def new_request_id() -> str:
    """Return an id for a request; always this gateway's own, so that no two can be crossed."""
    return f"req-{uuid.uuid4().hex}"


def _replayed(request: OnlineRequest, recorded: RecordedResponse) -> BufferedResponse:
    content_type = SSE_TYPE if request.stream and recorded.status == 200 else JSON_TYPE
    return BufferedResponse(status=recorded.status, content_type=content_type, body=recorded.body)


def _unknown_model(parsed: ParsedRequest) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"model {parsed.model!r} does not exist; GET /v1/models lists those that do",
        step=Step.PARSING,
    )
