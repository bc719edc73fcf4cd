"""The gateway's CherryPy application: the tree of handlers and its configuration."""

from __future__ import annotations

from typing import Any

import cherrypy
from cherrypy._cptree import Tree
from loguru import logger

from leverjunction.api.batches import BatchApi
from leverjunction.api.completions import CompletionsApi
from leverjunction.api.decisions import DecisionsApi
from leverjunction.api.errors import error_body
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


class _Node:
    """A path without a handler of its own."""


def build_app(
    completions: CompletionsApi,
    models: ModelsApi,
    batches: BatchApi,
    decisions: DecisionsApi,
    probes: ProbesApi,
) -> Tree:
    """Return the WSGI application of the callers' port."""
    root: Any = _Node()
    root.health = probes.health
    root.ready = probes.ready
    root.metrics = probes.metrics
    root.operator = _Node()
    root.operator.decisions = decisions
    root.v1 = _Node()
    root.v1.chat = _Node()
    root.v1.chat.completions = completions.chat
    root.v1.completions = completions.text
    root.v1.models = models.serve
    root.v1.batches = batches.batches
    root.v1.files = batches.files
    tree = Tree()
    application = tree.mount(root, "", {"/": app_config()})
    # Counters tell of requests; a line for each would cost more than it says.
    application.log.access = _log_nothing
    return tree


def _log_nothing() -> None:
    """Write no line for a request."""


def app_config() -> dict[str, object]:
    """Return the configuration of the application."""
    return {
        # Handlers read bodies themselves, after they know the caller.
        "request.process_request_body": False,
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        # CherryPy would log a failed request's headers, the caller's key among them; the fault
        # itself is logged by request.error_response.
        "tools.log_headers.on": False,
        "tools.log_tracebacks.on": False,
        "error_page.default": _error_page,
        "request.error_response": _unexpected,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
        "checker.on": False,
    }


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    """Return CherryPy's own errors (unknown path, wrong method) in the callers' error shape."""
    code = int(status.split()[0])
    kind = _KIND_BY_STATUS.get(code, FailureKind.INTERNAL)
    request_id = new_request_id()
    cherrypy.response.headers["Content-Type"] = "application/json"
    cherrypy.response.headers["X-Request-Id"] = request_id
    return error_body(Failure(kind=kind, reason=message, step=Step.PARSING), request_id)


def _unexpected() -> None:
    """Answer a fault of this program without telling its inner workings."""
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
