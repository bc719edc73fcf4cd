"""Helpers shared by the handlers of batches and files: context, request bodies, responses."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable

import cherrypy
import msgspec

from leverjunction.api.errors import error_response, stopping_failure
from leverjunction.batch.directory import JobDirectory
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.http_server import refuse_body
from leverjunction.gateway.inflight import InflightRequests
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.codec import encode

READ_BYTES = 65_536
MAX_KEY_CHARACTERS = 256


class BatchContext(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies of the handlers of batches and files.

    Attributes:
        directory: Finds jobs and the groups that store them.
        settings: Returns the resolved settings that are in force.
        clock: Source of the current time.
        random: Generator of request ids.
        uploads: Counts the requests whose bodies are jobs.
    """

    directory: JobDirectory
    settings: Callable[[], ResolvedSettings]
    clock: Clock
    random: random_module.Random
    uploads: InflightRequests

    def service_lookup(self, tenant: str) -> Callable[[str], str | None]:
        """Return a function that finds a model's service among those the tenant may call."""
        settings = self.settings()

        def lookup(model: str) -> str | None:
            service = settings.service_for_model(model)
            allowed = service is not None and settings.may_call(tenant, service)
            return service if allowed else None

        return lookup

    def upload(self, handle: Callable[[], bytes]) -> bytes:
        """Handle an upload, which a planned stop waits for; refuse it once the stop has begun."""
        with self.uploads.track() as accepted:
            return handle() if accepted else failure_response(stopping_failure())

    def incomplete_upload(self, failure: Failure) -> Failure:
        """Return why a truncated upload is refused: ``failure``, or that the gateway stops."""
        return stopping_failure() if self.uploads.refusing_unread else failure


def request_id(random: random_module.Random | None = None) -> str:
    """Return the request id that the caller sent, or a newly generated one."""
    header_value = cherrypy.request.headers.get("X-Request-Id")
    if header_value:
        return str(header_value)
    generator = random or random_module
    return f"{generator.getrandbits(96):024x}"


def idempotency_key() -> str:
    """Return the caller's idempotency key, or an empty string when there is none.

    A longer key is cut to ``MAX_KEY_CHARACTERS``.
    """
    return str(cherrypy.request.headers.get("Idempotency-Key", ""))[:MAX_KEY_CHARACTERS]


def read_body(on_piece: Callable[[bytes], object]) -> Failure | None:
    """Read the request body and pass on each piece as it arrives.

    A body may be truncated between two lines, because the caller died or sent so slowly that the
    server stopped reading. Only the declared length, or the last chunk of a chunked body, shows
    that a body is complete.

    Args:
        on_piece: Called with each piece.

    Returns:
        None when the whole body has been read, otherwise the Failure.
    """
    source = cherrypy.request.rfile
    content_length = cherrypy.request.headers.get("Content-Length")
    received_bytes = 0
    try:
        while piece := source.read(READ_BYTES):
            received_bytes += len(piece)
            on_piece(piece)
    except (OSError, ValueError) as error:
        # A chunked body was truncated: the header of its next chunk is missing.
        return incomplete_body(f"after {received_bytes} bytes ({error})")
    if (
        content_length is not None
        and content_length.isdigit()
        and received_bytes < int(content_length)
    ):
        return incomplete_body(f"after {received_bytes} of {content_length} bytes")
    return None


def incomplete_body(where: str) -> Failure:
    """Return the Failure of a truncated body; ``where`` says where the body ended."""
    return bad_request(
        f"nothing was accepted: the body was cut off {where}, or arrived too slowly; send it "
        "again, with the same Idempotency-Key if it had one"
    )


def drain_body() -> None:
    """Read and discard the rest of the body, so that a caller that still sends gets the error."""
    read_body(len)


def json_response(body: object) -> bytes:
    """Encode a message as the JSON response to the current request."""
    data = encode(body)
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers["Content-Length"] = str(len(data))
    return data


def failure_response(failure: Failure) -> bytes:
    """Turn a Failure into the response to the current request.

    The request body may be unread; the server then closes the connection after the response.
    """
    refuse_body(cherrypy.request.wsgi_environ)
    return error_response(failure, request_id())


def bad_request(reason: str) -> Failure:
    """Return the Failure of a malformed request."""
    return Failure(
        kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.PARSING, execution=Execution.NOT_RUN
    )


def method_not_allowed() -> bytes:
    """Respond to an unknown path, or to a method that the path does not support."""
    drain_body()
    path = cherrypy.request.path_info
    reason = f"{cherrypy.request.method} {path} does not exist; see the API page for the calls"
    return failure_response(
        Failure(
            kind=FailureKind.NOT_FOUND,
            reason=reason,
            step=Step.PARSING,
            execution=Execution.NOT_RUN,
        )
    )
