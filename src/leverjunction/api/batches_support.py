"""What the handlers of batches and files share: context, body pieces, answers."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable

import cherrypy
import msgspec

from leverjunction.api.errors import error_response
from leverjunction.batch.directory import JobDirectory
from leverjunction.clock import Clock
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.gateway.http_server import refuse_body
from leverjunction.settings.resolved import ResolvedSettings
from leverjunction.wire.codec import encode

READ_BYTES = 65_536
MAX_KEY_CHARACTERS = 256


class BatchContext(msgspec.Struct, frozen=True, kw_only=True):
    """What every handler works with."""

    directory: JobDirectory
    settings: Callable[[], ResolvedSettings]
    clock: Clock
    random: random_module.Random

    def service_lookup(self, tenant: str) -> Callable[[str], str | None]:
        """Return the lookup of a model's service, blind to services closed to the tenant."""
        settings = self.settings()

        def lookup(model: str) -> str | None:
            service = settings.service_for_model(model)
            allowed = service is not None and settings.may_call(tenant, service)
            return service if allowed else None

        return lookup


def request_id(random: random_module.Random | None = None) -> str:
    """Return the caller's request id, or one for this call."""
    given = cherrypy.request.headers.get("X-Request-Id")
    if given:
        return str(given)
    generator = random or random_module
    return f"{generator.getrandbits(96):024x}"


def idempotency_key() -> str:
    """Return the caller's idempotency key, empty when there is none."""
    return str(cherrypy.request.headers.get("Idempotency-Key", ""))[:MAX_KEY_CHARACTERS]


def read_body(take: Callable[[bytes], object]) -> Failure | None:
    """Pass the request's body on piece by piece, as it arrives.

    A body may break off between two of its lines: its caller has died, or sends so slowly that
    the server has stopped reading. Only its declared end tells that from the whole.

    Args:
        take: Called with each piece.

    Returns:
        None when the whole body has been read.
    """
    source = cherrypy.request.rfile
    declared = cherrypy.request.headers.get("Content-Length")
    received = 0
    try:
        while piece := source.read(READ_BYTES):
            received += len(piece)
            take(piece)
    except (OSError, ValueError) as error:
        # A chunked body that breaks off: its next chunk has no head.
        return broken_body(f"after {received} bytes ({error})")
    if declared is not None and declared.isdigit() and received < int(declared):
        return broken_body(f"after {received} of {declared} bytes")
    return None


def broken_body(where: str) -> Failure:
    """Return the failure of a body that ended too early."""
    return bad_request(
        f"nothing was accepted: the body broke off {where}, or came too slowly; send it again, "
        "under the same Idempotency-Key if it had one"
    )


def drain_body() -> None:
    """Read and drop the rest of the body, so that a refusal reaches a caller that still sends."""
    read_body(len)


def answer_json(body: object) -> bytes:
    """Return a typed body as the JSON answer of the current request."""
    data = encode(body)
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers["Content-Length"] = str(len(data))
    return data


def fail(failure: Failure) -> bytes:
    """Return a failure as the answer of the current request, whether its body is read or not."""
    refuse_body(cherrypy.request.wsgi_environ)
    return error_response(failure, request_id())


def bad_request(reason: str) -> Failure:
    """Return the failure of a malformed request."""
    return Failure(kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.PARSING)


def method_not_allowed() -> bytes:
    """Answer a path or method that does not exist."""
    drain_body()
    path = cherrypy.request.path_info
    reason = f"{cherrypy.request.method} {path} does not exist; see the API page for the calls"
    return fail(Failure(kind=FailureKind.NOT_FOUND, reason=reason, step=Step.PARSING))
