"""Finds the tenant of a request by its API key. Performs no I/O.

Revocation: a table that is recent enough to be in force decides. While this gateway cannot know
whether its table is, a key that the table lacks is refused as 503 instead of 401, and a key that it
has stays valid unless the deployment demands the opposite (``max_key_age_s``).
"""

from __future__ import annotations

import math

from leverjunction.errors import Failure
from leverjunction.proxy.dialect import PresentedKey
from leverjunction.proxy.failures import key_unconfirmed, unauthenticated
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import Route, Tenant

NO_KEY = "no API key; this route needs the key of a tenant"


class CallerIdentity:
    """Identifies callers.

    Args:
        in_force_s: Time within which a change of the route table must take effect, in seconds.
        max_key_age_s: Age of the table from which no key is accepted any more, in seconds;
            infinite to serve known keys however long the control processes are unreachable.
    """

    __slots__ = ("_in_force_s", "_max_key_age_s")

    def __init__(self, in_force_s: float, max_key_age_s: float = math.inf) -> None:
        self._in_force_s = in_force_s
        self._max_key_age_s = max_key_age_s

    def identify(
        self, index: RouteIndex, key: PresentedKey | None, table_age_s: float
    ) -> Tenant | Failure | None:
        """Return the tenant of a key, None without a key or tenants, or why the key is refused.

        Args:
            index: The route table.
            key: The key that the caller presented.
            table_age_s: Longest time since the table was the newest one, in seconds.
        """
        if key is None or not index.has_tenants:
            return None
        if key.problem:
            return unauthenticated(key.problem)
        tenant = index.tenant_of_key(key.key_hash)
        if table_age_s > (self._in_force_s if tenant is None else self._max_key_age_s):
            return key_unconfirmed(table_age_s)
        return unauthenticated("unknown API key") if tenant is None else tenant


def require(index: RouteIndex, route: Route, caller: Tenant | Failure | None) -> Failure | None:
    """Return why a caller may not use a route, None if it may.

    Args:
        index: The route table.
        route: The route; a public one needs no key, and ignores one that is not valid.
        caller: Result of ``CallerIdentity.identify``.
    """
    if route.is_public or not index.has_tenants:
        return None
    if caller is None:
        return unauthenticated(NO_KEY)
    return caller if isinstance(caller, Failure) else None


__all__ = ["NO_KEY", "CallerIdentity", "require"]
