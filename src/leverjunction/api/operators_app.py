"""The CherryPy application of a control process's operators' port."""

from __future__ import annotations

import cherrypy
from cherrypy._cptree import Tree
from loguru import logger

from leverjunction.api.errors import error_body
from leverjunction.api.operators import OperatorsApi
from leverjunction.api.probes import ProbesApi
from leverjunction.errors import Failure, FailureKind, Step

_KIND_BY_STATUS = {404: FailureKind.NOT_FOUND, 413: FailureKind.TOO_LARGE}


class _Root:
    """Path ``/``. The probes need no token: they tell nothing of callers or jobs."""

    def __init__(self, operators: OperatorsApi, probes: ProbesApi) -> None:
        self._probes = probes
        self.operator = operators

    @cherrypy.expose
    def health(self) -> bytes:
        """``GET /health``: 200 while the process runs."""
        return self._probes.health()

    @cherrypy.expose
    def ready(self) -> bytes:
        """``GET /ready``: 200 while the root group's leader is heard."""
        return self._probes.ready()

    @cherrypy.expose
    def metrics(self) -> bytes:
        """``GET /metrics``: all counters in the Prometheus text format."""
        return self._probes.metrics()


def build_operators_app(operators: OperatorsApi, probes: ProbesApi) -> Tree:
    """Return the WSGI application of the operators' port."""
    tree = Tree()
    application = tree.mount(_Root(operators, probes), "", {"/": _config()})
    # Counters tell of requests; a line for each would drown the changes of state.
    application.log.screen = False
    application.log.access_log.propagate = False
    return tree


def _config() -> dict[str, object]:
    return {
        "request.show_tracebacks": False,
        "request.show_mismatched_params": False,
        "request.error_response": _unexpected,
        "error_page.default": _error_page,
        "tools.trailing_slash.on": False,
        # Both write to stderr; the headers hold the operators' token.
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
    return error_body(Failure(kind=kind, reason=message, step=Step.PARSING), "")


def _unexpected() -> None:
    logger.exception("operators' request failed")
    cherrypy.response.status = 500
    cherrypy.response.headers["Content-Type"] = "application/json"
    reason = "unexpected error, see this process's log"
    failure = Failure(kind=FailureKind.INTERNAL, reason=reason, step=Step.RESPONDING)
    cherrypy.response.body = [error_body(failure, "")]
