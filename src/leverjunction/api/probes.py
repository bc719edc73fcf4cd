"""Probe endpoints of a process: ``/health``, ``/ready`` and ``/metrics``."""

from __future__ import annotations

from collections.abc import Callable

import cherrypy
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest


class ProbesApi:
    """Handlers that need no authentication, since they reveal nothing about callers.

    Args:
        registry: Metrics that ``/metrics`` exports.
        not_ready: Returns why the process is not ready, or None when it is.
    """

    def __init__(self, registry: CollectorRegistry, not_ready: Callable[[], str | None]) -> None:
        self._registry = registry
        self._not_ready = not_ready

    @cherrypy.expose
    def health(self) -> bytes:
        """Return 200 while the process runs."""
        cherrypy.response.headers["Content-Type"] = "text/plain"
        return b"ok\n"

    @cherrypy.expose
    def ready(self) -> bytes:
        """Return 200 when the process accepts requests, otherwise 503 and the reason."""
        cherrypy.response.headers["Content-Type"] = "text/plain"
        reason = self._not_ready()
        if reason is None:
            return b"ready\n"
        cherrypy.response.status = 503
        return f"not ready: {reason}\n".encode()

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE_LATEST
        return generate_latest(self._registry)
