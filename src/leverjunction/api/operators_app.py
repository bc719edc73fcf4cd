"""CherryPy application of the operators' port of a control process."""

from __future__ import annotations

import cherrypy
from cherrypy._cptree import Tree
from loguru import logger

from leverjunction.api.errors import error_body, execution_of_error_page
from leverjunction.api.operators import OperatorsApi
from leverjunction.api.probes import ProbesApi
from leverjunction.errors import Execution, Failure, FailureKind, Step

_KIND_BY_STATUS = {404: FailureKind.NOT_FOUND, 413: FailureKind.TOO_LARGE}


class _Root:
    """Handlers of ``/``. Probes need no token, since they reveal nothing about callers or jobs."""

    def __init__(self, operators: OperatorsApi, probes: ProbesApi) -> None:
        self._probes = probes
        self.operator = operators

    @cherrypy.expose
    def health(self) -> bytes:
        """Serve ``GET /health``: 200 while the process runs."""
        return self._probes.health()

    @cherrypy.expose
    def ready(self) -> bytes:
        """Serve ``GET /ready``: 200 while the root group's leader was heard recently."""
        return self._probes.ready()

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Serve ``GET /metrics``: all metrics in the Prometheus text format."""
        return self._probes.metrics()


def build_operators_app(operators: OperatorsApi, probes: ProbesApi) -> Tree:
    """Return the WSGI application of the operators' port."""
    tree = Tree()
    application = tree.mount(_Root(operators, probes), "", {"/": _app_config()})
    # Requests are counted in the metrics; access log lines would bury the log of state changes.
    application.log.screen = False
    application.log.access_log.propagate = False
    return tree


def _app_config() -> dict[str, object]:
    return {
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "request.error_response": _handle_unexpected_error,
        "error_page.default": _error_page,
        "tools.trailing_slash.on": False,
        # Both tools write to stderr, and the headers contain the operators' token.
        "tools.log_headers.on": False,
        "tools.log_tracebacks.on": False,
        "tools.encode.on": False,
        "checker.on": False,
    }


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    code = int(status.split(" ", 1)[0])
    kind = _KIND_BY_STATUS.get(
        code, FailureKind.BAD_REQUEST if code < 500 else FailureKind.INTERNAL
    )
    cherrypy.response.headers["Content-Type"] = "application/json"
    return error_body(
        Failure(
            kind=kind, reason=message, step=Step.PARSING, execution=execution_of_error_page(code)
        ),
        "",
    )


def _handle_unexpected_error() -> None:
    logger.exception("operator request failed")
    cherrypy.response.status = 500
    cherrypy.response.headers["Content-Type"] = "application/json"
    reason = "unexpected error; see the log of this process"
    failure = Failure(
        kind=FailureKind.INTERNAL, reason=reason, step=Step.RESPONDING, execution=Execution.UNKNOWN
    )
    cherrypy.response.body = [error_body(failure, "")]
