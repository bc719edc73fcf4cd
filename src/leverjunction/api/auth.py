"""Authenticates callers by API key and operators by bearer token."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import Protocol

from leverjunction.errors import Execution, Failure, FailureKind, Step

BEARER_PREFIX = "Bearer "


class RequestLike(Protocol):
    """The part of ``cherrypy.request`` that authentication reads."""

    headers: Mapping[str, str]


class TenantLookup(Protocol):
    """The part of the resolved settings that maps API keys to tenants."""

    def tenant_for_key(self, raw_key: str) -> str | None:
        """Return the tenant that owns an API key, or None when the key is unknown."""
        ...


def bearer_token(request: RequestLike) -> str | None:
    """Return the bearer token of a request, or None when it has none."""
    header = request.headers.get("Authorization") or ""
    if not header.startswith(BEARER_PREFIX):
        return None
    return header[len(BEARER_PREFIX) :].strip() or None


def authenticate(request: RequestLike, settings: TenantLookup) -> str | Failure:
    """Return the tenant that owns a request's API key, or a Failure of kind UNAUTHENTICATED.

    Every handler calls this before it reads the request body.

    Args:
        request: ``cherrypy.request``.
        settings: Resolved settings that are in force.
    """
    key = bearer_token(request)
    if key is None:
        return _unauthenticated("no API key; send it as 'Authorization: Bearer KEY'")
    tenant = settings.tenant_for_key(key)
    if tenant is None:
        return _unauthenticated("unknown API key")
    return tenant


def authenticate_operator(request: RequestLike, token: str | None) -> Failure | None:
    """Return None when a request carries the operators' token, otherwise the Failure.

    Args:
        request: ``cherrypy.request``.
        token: The expected token, or None when none is configured; every request is then refused.
    """
    given = bearer_token(request)
    if token is None:
        return Failure(
            kind=FailureKind.FORBIDDEN,
            reason="no operator_token_file is configured in this process",
            step=Step.AUTHENTICATION,
            execution=Execution.NOT_RUN,
        )
    if given is None or not hmac.compare_digest(given.encode(), token.encode()):
        return _unauthenticated("the operators' token is missing or wrong")
    return None


def _unauthenticated(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.UNAUTHENTICATED,
        reason=reason,
        step=Step.AUTHENTICATION,
        execution=Execution.NOT_RUN,
    )
