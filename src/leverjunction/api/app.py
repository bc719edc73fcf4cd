"""CherryPy application of the gateway: its handler tree and its configuration."""

from __future__ import annotations

from typing import Any

import cherrypy
from cherrypy._cptree import Tree
from loguru import logger

from leverjunction.api.batches import BatchApi
from leverjunction.api.completions import CompletionsApi
from leverjunction.api.decisions import DecisionsApi
from leverjunction.api.errors import error_body, execution_of_error_page
from leverjunction.api.models import ModelsApi
from leverjunction.api.probes import ProbesApi
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.online import new_request_id

_KIND_BY_STATUS = {
    400: FailureKind.BAD_REQUEST,
    404: FailureKind.NOT_FOUND,
    405: FailureKind.BAD_REQUEST,
    411: FailureKind.BAD_REQUEST,
    413: FailureKind.TOO_LARGE,
}


class _PathSegment:
    """Segment of a URL path that has no handler of its own."""


def build_app(
    completions: CompletionsApi,
    models: ModelsApi,
    batches: BatchApi,
    decisions: DecisionsApi,
    probes: ProbesApi,
) -> Tree:
    """Return the WSGI application that serves callers.

    The returned tree maps each URL path to the handler that is given for it.
    """
    root: Any = _PathSegment()
    root.health = probes.health
    root.ready = probes.ready
    root.metrics = probes.metrics
    root.operator = _PathSegment()
    root.operator.decisions = decisions
    root.v1 = _PathSegment()
    root.v1.chat = _PathSegment()
    root.v1.chat.completions = completions.chat
    root.v1.completions = completions.text
    root.v1.models = models.serve
    root.v1.batches = batches.batches
    root.v1.files = batches.files
    tree = Tree()
    application = tree.mount(root, "", {"/": app_config()})
    # Requests are counted in the metrics, so the access log is disabled: a line for each request
    # would cost more than its information is worth.
    application.log.access = _skip_access_log
    return tree


def _skip_access_log() -> None:
    """Replace the access log of CherryPy; writes nothing."""


def app_config() -> dict[str, object]:
    """Return the CherryPy configuration of the gateway's application."""
    return {
        # Handlers read the request body themselves, after authenticating the caller.
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        # CherryPy would log the headers of a failed request, which contain the caller's API key.
        # request.error_response logs the exception itself.
        "tools.log_headers.on": False,
        "tools.log_tracebacks.on": False,
        "error_page.default": _error_page,
        "request.error_response": _handle_unexpected_error,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
        "checker.on": False,
    }


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return the OpenAI-compatible error body of an error that CherryPy itself detected.

    Examples are an unknown path and a method that is not allowed.
    """
    code = int(status.split()[0])
    kind = _KIND_BY_STATUS.get(code, FailureKind.INTERNAL)
    request_id = new_request_id()
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers["X-Request-Id"] = request_id
    return error_body(
        Failure(
            kind=kind, reason=message, step=Step.PARSING, execution=execution_of_error_page(code)
        ),
        request_id,
    )


def _handle_unexpected_error() -> None:
    """Log an unhandled exception and respond with status 500, without internal details."""
    logger.exception("request handler failed")
    request_id = new_request_id()
    response = cherrypy.serving.response
    response.status = 500
    response.stream = False
    response.headers["Content-Type"] = "application/json"
    response.headers.pop("Content-Length", None)
    failure = Failure(
        kind=FailureKind.INTERNAL,
        reason="the gateway failed to handle this request",
        step=Step.RESPONDING,
        execution=Execution.UNKNOWN,
    )
    response.body = [error_body(failure, request_id)]
